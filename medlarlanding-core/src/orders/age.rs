//! Ages of events that may predate this process's clock.

use std::time::Duration;

use crate::time::Timestamp;

/// The age that an event had at a given time of this process's clock.
///
/// The time of the event itself is not stored, because it may lie before the start of the clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgeReading {
    age: Duration,
    at: Timestamp,
}

impl AgeReading {
    pub(super) fn new(age: Duration, at: Timestamp) -> Self {
        Self { age, at }
    }

    pub(super) fn from_millis(age_ms: u64, at: Timestamp) -> Self {
        Self::new(Duration::from_millis(age_ms), at)
    }

    pub(super) fn age(self, now: Timestamp) -> Duration {
        self.age.saturating_add(now.since(self.at))
    }

    pub(super) fn age_ms(self, now: Timestamp) -> u64 {
        self.age(now).as_millis() as u64
    }
}
