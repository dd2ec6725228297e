//! Detection of pauses of the own process.

use std::time::Duration;

use crate::time::Timestamp;

/// Compares the time of each call with the time at which the next call was due.
#[derive(Debug)]
pub(super) struct PauseDetector {
    limit: Duration,
    due: Option<Timestamp>,
}

impl PauseDetector {
    pub fn new(limit: Duration) -> Self {
        Self { limit, due: None }
    }

    /// Returns for how long the process was paused if that exceeds the limit.
    pub fn check(&self, now: Timestamp) -> Option<Duration> {
        let late = now.since(self.due?);
        (late > self.limit).then_some(late)
    }

    /// Sets the time at which the next call is due.
    pub fn expect(&mut self, due: Option<Timestamp>) {
        self.due = due;
    }
}
