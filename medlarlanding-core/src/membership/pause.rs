//! Detection of pauses of this process.

use std::time::Duration;

use crate::time::Timestamp;

/// Infers a pause of the process from a call that comes much later than it was due.
#[derive(Debug)]
pub(super) struct PauseDetector {
    limit: Duration,
    due: Option<Timestamp>,
}

impl PauseDetector {
    pub fn new(limit: Duration) -> Self {
        Self { limit, due: None }
    }

    /// Returns the delay of a call at `now` if it exceeds the limit.
    pub fn check(&self, now: Timestamp) -> Option<Duration> {
        let delay = now.since(self.due?);
        (delay > self.limit).then_some(delay)
    }

    /// Sets the time at which the next call is due.
    pub fn set_due(&mut self, due: Option<Timestamp>) {
        self.due = due;
    }
}
