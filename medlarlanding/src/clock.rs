//! Clock of the process. The core reads no clock; all times passed to it come from here.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use medlarlanding_core::time::Timestamp;

/// Time that the clock shows at the start of the process. Ages that peers report are subtracted
/// from the current time, and a result before zero could not be represented.
const START: Duration = Duration::from_secs(7 * 24 * 3600);

/// Monotonic clock that shows `START` when the process starts.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Gets the current time.
    pub fn now(&self) -> Timestamp {
        Timestamp::default() + START + self.origin.elapsed()
    }

    /// Gets the time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.origin.elapsed()
    }
}

/// Gets the wall clock time in milliseconds since the Unix epoch, 0 if the clock is set before it.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
