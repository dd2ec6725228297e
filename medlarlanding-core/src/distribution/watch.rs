//! Calls to the platform that wait for a new version of one subject.

use std::time::Duration;

use crate::time::Timestamp;

/// Call that has not returned yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchCall {
    pub number: u32,
    pub started: Timestamp,
}

/// Pending call and results of earlier calls on one subject.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    pub pending: Option<WatchCall>,
    /// Time before which no call is started.
    pub next_call: Timestamp,
    /// Number of calls that failed since the last answer.
    pub failures: u32,
    /// Time of the last answer.
    pub answered: Option<Timestamp>,
    /// Highest revision that was read, also if it was rejected. The next call waits for a higher
    /// one; otherwise the platform would return a rejected version at once to every call.
    pub seen: u64,
}

impl WatchState {
    /// Returns the start of the pending call if it has the given number.
    pub fn started(&self, number: u32) -> Option<Timestamp> {
        self.pending.filter(|call| call.number == number).map(|call| call.started)
    }

    /// Records that the platform answered.
    pub fn answer(&mut self, now: Timestamp, revision: u64, interval: Duration) {
        let started = self.pending.take().map_or(now, |call| call.started);
        self.answered = Some(now);
        self.failures = 0;
        // A platform that returns an old revision without waiting must not be called in a tight
        // loop.
        self.next_call = if revision > self.seen { now } else { now.max(started + interval) };
        self.seen = self.seen.max(revision);
    }

    /// Records a failed call and delays the next one exponentially, by `max_delay` at most.
    /// `jitter` is a random factor from 0.5 to 1.
    pub fn fail(&mut self, now: Timestamp, interval: Duration, max_delay: Duration, jitter: f64) {
        self.pending = None;
        let delay = interval.saturating_mul(1 << self.failures.min(10)).min(max_delay);
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + delay.mul_f64(jitter);
    }

    /// Returns whether the last call succeeded and was answered within the last `limit`.
    pub fn is_healthy(&self, now: Timestamp, limit: Duration) -> bool {
        self.failures == 0 && self.answered.is_some_and(|at| now.since(at) <= limit)
    }
}
