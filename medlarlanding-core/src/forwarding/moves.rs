//! Moves of running generations off an engine that is leaving.
//!
//! Load pattern: a sixth of the engines is taken away every few seconds with a notice of 1.5 to
//! 2.1 s, and most long answers outlast the engine that began them. All copies share the link of
//! the leaving engine, so the memory of all its runs is copied first, while the runs continue. Each
//! run is then stopped, and only its short remainder is copied when the link is free again.

use std::time::Duration;

use crate::time::Timestamp;

value_type! { copy
    /// What the end of a call that was to stop a run shows.
    pub enum StopOutcome {
        /// The engine has stopped the run.
        Stopped,
        /// The call stopped nothing: it was not sent, the engine does not know the run, or it refused
        /// the call because of another one.
        NotStopped,
        /// The engine may have stopped the run: the call may have reached it, and its answer is missing
        /// or says nothing of the run.
        Unknown,
    }
}

value_type! { copy
    /// Whether a call has stopped a run, as far as this instance knows.
    #[derive(Default)]
    pub enum RunStop {
        /// No call has stopped the run, so its stream ends only with its answer or its engine.
        #[default]
        NotStopped,
        /// A call may have stopped the run. Whatever later calls show, the end of the stream does not
        /// prove that the answer is complete.
        Possible,
        /// A call has stopped the run.
        Stopped,
    }
}

impl RunStop {
    /// Returns what is known after one more call has ended.
    pub fn after(self, outcome: StopOutcome) -> Self {
        match (self, outcome) {
            (Self::Stopped, _) | (_, StopOutcome::Stopped) => Self::Stopped,
            (Self::Possible, _) | (_, StopOutcome::Unknown) => Self::Possible,
            (Self::NotStopped, StopOutcome::NotStopped) => Self::NotStopped,
        }
    }
}

/// Parameters of moves.
#[derive(Clone, Copy, Debug)]
pub struct MoveParams {
    /// Destinations that are tried before the run stays where it is.
    pub attempts: u32,
    /// Pause after a refusal before another destination, or the final copy, is tried.
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
    /// Gives up the move; the run stays where it is.
    Stay,
    /// Waits until the given time.
    Wait(Timestamp),
    /// Copies the run's memory to a new destination while the run continues.
    Copy,
    /// Stops the run and copies the tokens added since the first copy to the same destination.
    Finish,
}

/// Plan for moving one run off one engine.
///
/// The destination stays the same once the first copy is complete: if the engine stops before the
/// final copy, the run resumes from the first one.
#[derive(Clone, Copy, Debug)]
pub struct MovePlan {
    params: MoveParams,
    /// First copies begun; never above `params.attempts`.
    attempts: u32,
    is_copied: bool,
    retry_at: Timestamp,
}

impl MovePlan {
    /// Creates the plan. `notice_at` is when it became known that the engine is leaving.
    pub fn new(params: MoveParams, notice_at: Timestamp) -> Self {
        Self { params, attempts: 0, is_copied: false, retry_at: notice_at }
    }

    /// Returns the next step.
    pub fn next(&self, now: Timestamp) -> MoveStep {
        if !self.is_copied && self.attempts >= self.params.attempts {
            return MoveStep::Stay;
        }
        if now < self.retry_at {
            return MoveStep::Wait(self.retry_at);
        }
        if self.is_copied { MoveStep::Finish } else { MoveStep::Copy }
    }

    /// Records that the copy to a new destination was begun.
    pub fn copy_begun(&mut self) {
        self.attempts += 1;
    }

    /// Records that the copy is complete.
    pub fn copy_done(&mut self) {
        self.is_copied = true;
    }

    /// Records that the copy can no longer be used, so that another destination is needed.
    pub fn copy_lost(&mut self) {
        self.is_copied = false;
    }

    /// Records that the first or the final copy was refused.
    pub fn refused(&mut self, now: Timestamp) {
        self.retry_at = now + self.params.retry_pause;
    }
}
