//! How long a new generation waits for room on an engine.
//!
//! Load pattern: for seconds on end more generations arrive than the engines can hold. A run
//! with many others before it does not begin in time, and its caller is told so at once, while
//! it has lost nothing; a run that waits with few before it is worth its wait.

use std::time::Duration;

use super::messages::PlacePurpose;
use super::placement::PROMPT_TOKEN_TIME;
use crate::time::Timestamp;

/// Figures of the wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PatienceParams {
    /// Part of the objective for which a run asks before its place in the order counts: a few
    /// questions, so that the runs before it have asked too.
    pub settle_part: f64,
    /// Part of the objective within which a run is refused for its place. Afterwards it has
    /// waited so long that it goes on.
    pub early_part: f64,
    /// Runs in the order before one that is refused for its place. Full engines take about 25
    /// runs a second, and runs that go first keep arriving.
    pub ahead_limit: u16,
    /// Part of the objective within which the first event is aimed for; the estimate of the
    /// time to read prompts is rough.
    pub first_event_part: f64,
    /// A run that is late waits up to this multiple of its objective; callers give up at four
    /// times the objective.
    pub late_objectives: u32,
    /// Time for one prompt token on a busy engine.
    pub prompt_token_time: Duration,
}

impl Default for PatienceParams {
    fn default() -> Self {
        Self {
            settle_part: 0.066,
            early_part: 0.125,
            ahead_limit: 5,
            first_event_part: 0.85,
            late_objectives: 3,
            prompt_token_time: PROMPT_TOKEN_TIME,
        }
    }
}

/// What a run does that found no room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PatienceStep {
    /// Asks again.
    Wait,
    /// Is refused: others that wait go before it.
    RefuseEarly,
    /// Is refused: it has waited as long as its caller does.
    RefuseLate,
}

/// Wait of one run.
#[derive(Clone, Copy, Debug)]
pub struct RunPatience {
    params: PatienceParams,
    arrived_at: Timestamp,
    objective: Duration,
    /// When the run is given up; never after the caller's deadline.
    latest: Timestamp,
    /// Time that an engine takes to read the prompt.
    prompt_time: Duration,
}

impl RunPatience {
    /// Begins the wait of a run whose caller waits for `time_left` after its arrival.
    pub fn new(
        params: PatienceParams,
        arrived_at: Timestamp,
        objective: Duration,
        time_left: Duration,
        prompt: u32,
    ) -> Self {
        let latest = arrived_at + (objective * params.late_objectives).min(time_left / 2);
        let prompt_time = params.prompt_token_time * prompt;
        Self { params, arrived_at, objective, latest, prompt_time }
    }

    /// Gets what to ask for, with the time until the first event is due.
    pub fn question(&self, now: Timestamp) -> (PlacePurpose, Duration) {
        let due_at = self.arrived_at + self.objective.mul_f64(self.params.first_event_part);
        let due = due_at.since(now);
        if due > self.prompt_time {
            (PlacePurpose::Start, due)
        } else {
            (PlacePurpose::StartLate, due)
        }
    }

    /// Decides for a run that found no room while `ahead` others go before it.
    pub fn after_full(&self, now: Timestamp, ahead: u16) -> PatienceStep {
        let held = now.since(self.arrived_at);
        let is_early = held >= self.objective.mul_f64(self.params.settle_part)
            && held < self.objective.mul_f64(self.params.early_part);
        if now >= self.latest {
            PatienceStep::RefuseLate
        } else if is_early && ahead >= self.params.ahead_limit {
            PatienceStep::RefuseEarly
        } else {
            PatienceStep::Wait
        }
    }
}
