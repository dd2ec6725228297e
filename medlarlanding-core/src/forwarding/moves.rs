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
    /// The last part is moved no earlier than this after the notice: by then the bulk of a
    /// half-full engine has been copied over a link of 2.7 Gbit/s.
    pub final_delay: Duration,
    /// Destinations that are tried before the run is left where it is.
    pub attempts: u32,
    /// Pause before another destination is tried.
    pub retry_pause: Duration,
}

impl Default for MoveParams {
    fn default() -> Self {
        Self {
            final_delay: Duration::ZERO,
            attempts: 4,
            retry_pause: Duration::from_millis(60),
        }
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
#[derive(Clone, Copy, Debug)]
pub struct MovePlan {
    params: MoveParams,
    notice_at: Timestamp,
    /// Copies begun; never above `params.attempts`.
    attempts: u32,
    is_copied: bool,
    retry_at: Timestamp,
}

impl MovePlan {
    /// Begins a plan when the engine's leaving became known.
    pub fn new(params: MoveParams, notice_at: Timestamp) -> Self {
        Self { params, notice_at, attempts: 0, is_copied: false, retry_at: notice_at }
    }

    /// Gets the next step.
    pub fn next(&self, now: Timestamp) -> MoveStep {
        if self.is_copied {
            let due = self.notice_at + self.params.final_delay;
            return if now >= due { MoveStep::Finish } else { MoveStep::Wait(due) };
        }
        if self.attempts >= self.params.attempts {
            return MoveStep::Stay;
        }
        if now < self.retry_at { MoveStep::Wait(self.retry_at) } else { MoveStep::Copy }
    }

    /// Records that a copy was begun.
    pub fn copy_begun(&mut self) {
        self.attempts += 1;
    }

    /// Records that the copy is complete.
    pub fn copy_done(&mut self) {
        self.is_copied = true;
    }

    /// Records that a copy was refused or its destination was lost.
    pub fn copy_failed(&mut self, now: Timestamp) {
        self.is_copied = false;
        self.retry_at = now + self.params.retry_pause;
    }
}
