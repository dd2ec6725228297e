//! Clock of the process: the only place where the binary reads time for the core.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use medlarlanding_core::time::Timestamp;

/// Reading of the clock at the start of the process. Peers report ages, and an age that lies
/// before zero could not be represented.
const START: Duration = Duration::from_secs(7 * 24 * 3600);

/// Monotonic clock that starts at `START`.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Gets the present time.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + START + self.origin.elapsed()
    }

    /// Gets the time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// Gets the wall clock in milliseconds since 1970.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
