//! Clock of the process: the only place where the binary reads time for the core.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use medlarlanding_core::time::Timestamp;

/// Monotonic clock whose zero is shortly before the start of the process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessClock {
    origin: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { origin: Instant::now() }
    }

    /// Gets the time since the start.
    pub fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }
}

/// Gets the wall clock in milliseconds since 1970.
pub fn wall_millis() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |elapsed| elapsed.as_millis() as u64)
}
