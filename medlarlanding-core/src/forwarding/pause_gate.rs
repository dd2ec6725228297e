//! Keeps an instance that was paused from sending requests until it has heard from a peer.
//!
//! Load pattern: a process is stopped or starved for seconds, as with a migration of its machine, and
//! then continues with requests under way. Zones may have been evacuated meanwhile. The datagrams that
//! wait in its socket are as old as its own state, so only an answer to a new question counts.

use std::time::Duration;

use crate::time::Timestamp;

/// Parameters of the gate.
#[derive(Clone, Copy, Debug)]
pub struct PauseParams {
    /// Interval at which a running process checks the time.
    pub check_period: Duration,
    /// Time without a check after which the process was paused: that after which peers count an
    /// instance as silent. An evacuation must be in effect after 5 s.
    pub pause_limit: Duration,
    /// Longest time for which requests wait for an answer of a peer, which takes a few milliseconds. An
    /// instance that is cut off then continues with what it knows.
    pub answer_limit: Duration,
}

impl Default for PauseParams {
    fn default() -> Self {
        Self {
            check_period: Duration::from_millis(100),
            pause_limit: Duration::from_millis(1100),
            answer_limit: Duration::from_millis(400),
        }
    }
}

/// Whether requests may be sent since the last pause of the process.
#[derive(Clone, Copy, Debug)]
pub struct PauseGate {
    params: PauseParams,
    /// When the process last checked the time.
    checked_at: Timestamp,
    /// When the process found that it had been paused; `None` once a peer has answered since. Never
    /// later than `checked_at`.
    resumed_at: Option<Timestamp>,
}

impl PauseGate {
    /// Creates the gate of a process that starts now, which is open.
    pub fn new(params: PauseParams, now: Timestamp) -> Self {
        Self { params, checked_at: now, resumed_at: None }
    }

    /// Checks the time. Returns for how long the process was paused, if it was.
    pub fn check(&mut self, now: Timestamp) -> Option<Duration> {
        let elapsed = now.since(self.checked_at);
        self.checked_at = now;
        if elapsed < self.params.pause_limit {
            return None;
        }
        self.resumed_at = Some(now);
        Some(elapsed)
    }

    /// Records that a peer has answered a question that was asked after the last pause.
    pub fn open(&mut self) {
        self.resumed_at = None;
    }

    /// Returns whether requests may be sent.
    pub fn is_open(&self, now: Timestamp) -> bool {
        self.resumed_at.is_none_or(|at| now.since(at) >= self.params.answer_limit)
    }
}
