//! Moves of a running generation off an engine that leaves.
//!
//! Load pattern: a sixth of the engines is taken away every few seconds with a notice of 1.5
//! to 2.1 s, and most long answers outlive the engine that began them. Copies share the link of
//! the leaving engine, so the bulk of all runs is copied first, while they go on, and the short
//! last parts follow when the link is free again.

use std::time::Duration;

use crate::time::Timestamp;

/// Figures of moves.
#[derive(Clone, Copy, Debug)]
pub struct MoveParams {
    /// Destinations that are tried before the run is left where it is.
    pub attempts: u32,
    /// Pause before another destination is tried, or the last part once more.
    pub retry_pause: Duration,
}

impl Default for MoveParams {
    fn default() -> Self {
        Self { attempts: 6, retry_pause: Duration::from_millis(100) }
    }
}

/// Next step of a move.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MoveStep {
    /// Nothing is left to do; the run stays where it is.
    Stay,
    /// Waits until the time given.
    Wait(Timestamp),
    /// Copies the run's memory to a new destination while it goes on.
    Copy,
    /// Stops the run and copies what is new to the same destination.
    Finish,
}

/// Plan for moving one run off one engine.
///
/// Once a copy is complete its destination is kept: should the engine end before the last part
/// could be moved, the run goes on from the copy.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan {
    params: MoveParams,
    /// Copies begun; never above `params.attempts`.
    attempts: u32,
    is_copied: bool,
    retry_at: Timestamp,
}

impl MovePlan {
    /// Begins a plan when the engine's leaving became known.
    pub fn new(params: MoveParams, notice_at: Timestamp) -> Self {
        Self { params, attempts: 0, is_copied: false, retry_at: notice_at }
    }

    /// Gets the next step.
    pub fn next(&self, now: Timestamp) -> MoveStep {
        if !self.is_copied && self.attempts >= self.params.attempts {
            return MoveStep::Stay;
        }
        if now < self.retry_at {
            return MoveStep::Wait(self.retry_at);
        }
        if self.is_copied { MoveStep::Finish } else { MoveStep::Copy }
    }

    /// Records that a copy was begun.
    pub fn copy_begun(&mut self) {
        self.attempts += 1;
    }

    /// Records that the copy is complete.
    pub fn copy_done(&mut self) {
        self.is_copied = true;
    }

    /// Records that a copy, or its last part, was refused.
    pub fn refused(&mut self, now: Timestamp) {
        self.retry_at = now + self.params.retry_pause;
    }
}
