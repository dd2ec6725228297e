//! Detection of pauses of this process.

use std::time::Duration;

use crate::time::Timestamp;

/// Detects that the process was paused by calls that come much later than they were due.
#[derive(Debug)]
pub(super) struct PauseDetector {
    limit: Duration,
    due: Option<Timestamp>,
}

impl PauseDetector {
    pub fn new(limit: Duration) -> Self {
        Self { limit, due: None }
    }

    /// Returns by how much the call is late, if by more than the limit.
    pub fn check(&self, now: Timestamp) -> Option<Duration> {
        let delay = now.since(self.due?);
        (delay > self.limit).then_some(delay)
    }

    /// Sets the time at which the next call is due.
    pub fn set_due(&mut self, due: Option<Timestamp>) {
        self.due = due;
    }
}
