//! Ages that were received in a message.

use std::time::Duration;

use crate::time::Timestamp;

/// An age as of a moment of this process's clock.
///
/// Kept as a pair because the start of the age may lie before the start of the clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct AgedMoment {
    age: Duration,
    at: Timestamp,
}

impl AgedMoment {
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
