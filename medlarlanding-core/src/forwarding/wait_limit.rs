//! Limits how long a new generation waits for room on an engine.
//!
//! Load pattern: for several seconds more generations arrive than the engines can hold. A run with
//! many others ahead of it will not begin in time, so it is refused early, before its caller has
//! lost time by waiting. A run with few others ahead of it is kept waiting.

use std::time::Duration;

use super::load::LatencyClass;
use super::messages::{PlacePurpose, RunBacklog};
use super::placement::PROMPT_TOKEN_TIME;
use crate::time::Timestamp;

/// Parameters of the wait.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitLimitParams {
    /// Fraction of the objective during which a run is not refused for the number of runs ahead of
    /// it. It asks a few times meanwhile, so that the runs ahead of it have asked as well.
    pub settle_fraction: f64,
    /// Fraction of the objective after which a run is no longer refused for the number of runs
    /// ahead of it, because it has already waited so long.
    pub early_fraction: f64,
    /// Number of runs ahead from which a run is refused early. Full engines accept about 25 runs a
    /// second, and runs that are served first keep arriving.
    pub ahead_limit: u16,
    /// Fraction of the objective at which the first event is due; less than 1 because the time for
    /// processing prompts is only a rough estimate.
    pub first_event_fraction: f64,
    /// Longest wait of a run as a multiple of its objective; callers give up at four times the
    /// objective.
    pub late_factor: u32,
    /// Longest wait of a latency-tolerant run as a multiple of its objective.
    pub tolerant_factor: f64,
    /// Shortest time after which the caller of a refused run is asked to return. A run that finds room
    /// sooner waits instead, and a caller that returns within the same burst is refused again.
    pub return_min: Duration,
    /// Longest such time before it is spread, and that where more runs arrive than are placed. Bursts
    /// last 3 to 10 s on the measured installations.
    pub return_max: Duration,
    /// Part of a return time by which it is lengthened at random, so that callers which are refused at
    /// once do not return at once.
    pub return_spread: f64,
    /// A return time is at most the time that the caller has left divided by this. Callers do not
    /// honour a longer one.
    pub return_divisor: u32,
    /// Time that a busy engine takes for one prompt token.
    pub prompt_token_time: Duration,
}

impl Default for WaitLimitParams {
    fn default() -> Self {
        Self {
            settle_fraction: 0.066,
            early_fraction: 0.125,
            ahead_limit: 5,
            first_event_fraction: 0.85,
            late_factor: 3,
            tolerant_factor: 1.1,
            return_min: Duration::from_secs(8),
            return_max: Duration::from_secs(10),
            return_spread: 0.5,
            return_divisor: 3,
            prompt_token_time: PROMPT_TOKEN_TIME,
        }
    }
}

/// Decision on a run for which no engine has room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WaitDecision {
    /// The run waits and asks again.
    Wait,
    /// The run is refused because too many waiting runs are ahead of it.
    RefuseEarly,
    /// The run is refused because it has waited for the longest time allowed.
    RefuseLate,
}

/// Limit on the wait of one run.
#[derive(Clone, Copy, Debug)]
pub struct WaitLimit {
    params: WaitLimitParams,
    latency: LatencyClass,
    arrived_at: Timestamp,
    objective: Duration,
    /// When the caller stops waiting.
    deadline: Timestamp,
    /// When the run is refused if it still waits; at the latest halfway to the caller's deadline.
    latest: Timestamp,
    /// Time that a busy engine takes for the prompt.
    prompt_time: Duration,
}

impl WaitLimit {
    /// Creates the limit for a run of `prompt` tokens whose caller waits for `time_left` after
    /// `arrived_at`.
    pub fn new(
        params: WaitLimitParams,
        latency: LatencyClass,
        arrived_at: Timestamp,
        objective: Duration,
        time_left: Duration,
        prompt: u32,
    ) -> Self {
        let longest = match latency {
            LatencyClass::Uniform | LatencyClass::Critical => objective * params.late_factor,
            // Few runs that are late already find room; the caller returns later instead.
            LatencyClass::Tolerant => objective.mul_f64(params.tolerant_factor),
        };
        let latest = arrived_at + longest.min(time_left / 2);
        let prompt_time = params.prompt_token_time * prompt;
        let deadline = arrived_at + time_left;
        Self { params, latency, arrived_at, objective, deadline, latest, prompt_time }
    }

    /// Returns the purpose to ask the coordinator with, and the time until the first event is due.
    pub fn purpose_and_due(&self, now: Timestamp) -> (PlacePurpose, Duration) {
        let due_at = self.arrived_at + self.objective.mul_f64(self.params.first_event_fraction);
        let due = due_at.since(now);
        if due > self.prompt_time {
            (PlacePurpose::Start, due)
        } else {
            (PlacePurpose::StartLate, due)
        }
    }

    /// Returns whether a run that waits is expected not to begin in time.
    fn is_hopeless(&self, now: Timestamp, backlog: RunBacklog) -> bool {
        match self.latency {
            LatencyClass::Uniform => backlog.ahead >= self.params.ahead_limit,
            // A short run finds room as soon as any run ends.
            LatencyClass::Critical => false,
            LatencyClass::Tolerant => {
                let (_, due) = self.purpose_and_due(now);
                let wait = Duration::from_millis(backlog.wait_ms.into());
                wait > due.saturating_sub(self.prompt_time)
            },
        }
    }

    /// Returns the time after which the caller of a refused run should return; `None` if there is no
    /// forecast for its class. `draw` is a random number from 0 to 1, which spreads the returns.
    pub fn return_delay(&self, now: Timestamp, backlog: RunBacklog, draw: f64) -> Option<Duration> {
        match self.latency {
            LatencyClass::Uniform | LatencyClass::Critical => None,
            LatencyClass::Tolerant => {
                let wait = Duration::from_millis(backlog.wait_ms.into());
                let honoured = self.deadline.since(now) / self.params.return_divisor;
                let delay =
                    wait.clamp(self.params.return_min, self.params.return_max).min(honoured);
                let latest = delay.mul_f64(1.0 + self.params.return_spread).min(honoured);
                Some(delay + (latest - delay).mul_f64(draw))
            },
        }
    }

    /// Decides on a run for which no engine has room.
    pub fn decide(&self, now: Timestamp, backlog: RunBacklog) -> WaitDecision {
        let waited = now.since(self.arrived_at);
        let is_early = waited >= self.objective.mul_f64(self.params.settle_fraction)
            && waited < self.objective.mul_f64(self.params.early_fraction);
        if now >= self.latest {
            WaitDecision::RefuseLate
        } else if is_early && self.is_hopeless(now, backlog) {
            WaitDecision::RefuseEarly
        } else {
            WaitDecision::Wait
        }
    }
}
