//! Calls that watch one subject on the platform.

use std::time::Duration;

use crate::time::Timestamp;

/// A call that has not ended.
#[derive(Clone, Copy, Debug)]
pub(super) struct WatchCall {
    pub number: u32,
    pub started: Timestamp,
}

/// Pending call and outcome of earlier calls on one subject.
#[derive(Debug, Default)]
pub(super) struct WatchState {
    /// The pending call.
    pub pending: Option<WatchCall>,
    /// Earliest time of the next call.
    pub next_call: Timestamp,
    /// Number of calls that failed since the last answer.
    pub failures: u32,
    /// Time of the last answer.
    pub answered: Option<Timestamp>,
    /// Highest revision that was read, also if it was rejected. The next call waits for a
    /// higher one; otherwise a rejected version would be returned at once, again and again.
    pub seen: u64,
}

impl WatchState {
    /// Returns the start of the pending call if it has the given number.
    pub fn started(&self, number: u32) -> Option<Timestamp> {
        self.pending.filter(|call| call.number == number).map(|call| call.started)
    }

    /// Records an answer.
    pub fn answer(&mut self, now: Timestamp, revision: u64, interval: Duration) {
        let started = self.pending.take().map_or(now, |call| call.started);
        self.answered = Some(now);
        self.failures = 0;
        // A platform that answers at once without news must not be called in a tight loop.
        self.next_call = if revision > self.seen { now } else { now.max(started + interval) };
        self.seen = self.seen.max(revision);
    }

    /// Records a failed call. `spread` is a random factor from 0.5 to 1.
    pub fn fail(&mut self, now: Timestamp, interval: Duration, backoff: Duration, spread: f64) {
        self.pending = None;
        let delay = interval.saturating_mul(1 << self.failures.min(10)).min(backoff);
        self.failures = self.failures.saturating_add(1);
        self.next_call = now + delay.mul_f64(spread);
    }

    /// Returns whether the platform answered within `limit`.
    pub fn works(&self, now: Timestamp, limit: Duration) -> bool {
        self.failures == 0 && self.answered.is_some_and(|at| now.since(at) <= limit)
    }
}
