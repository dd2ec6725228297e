//! Monotonic time of one process.

use std::ops::{Add, Sub};
use std::time::Duration;

value_type! { copy
    /// Microseconds of a process's monotonic clock.
    ///
    /// Clocks of two processes are not comparable, so messages contain ages instead of timestamps.
    #[derive(Default)]
    pub struct Timestamp(pub u64);
}

impl Timestamp {
    /// Creates a timestamp from milliseconds.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis * 1000)
    }

    /// Returns the timestamp in milliseconds, rounded down.
    pub fn as_millis(self) -> u64 {
        self.0 / 1000
    }

    /// Returns the time that passed since `earlier`, or zero if `earlier` is the later time.
    pub fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the earlier of two optional times; `None` only if both are absent.
    pub fn earliest(first: Option<Self>, second: Option<Self>) -> Option<Self> {
        match (first, second) {
            (Some(first), Some(second)) => Some(first.min(second)),
            (first, second) => first.or(second),
        }
    }
}

impl Add<Duration> for Timestamp {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        Self(self.0.saturating_add(duration.as_micros() as u64))
    }
}

impl Sub<Duration> for Timestamp {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        Self(self.0.saturating_sub(duration.as_micros() as u64))
    }
}
