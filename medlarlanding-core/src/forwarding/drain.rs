//! Decides which requests an instance still sends to servers while it is stopping.
//!
//! Load pattern: new connections arrive for two seconds or longer after an instance begins to
//! stop, and most generations take longer than the time left until it is killed. A caller that is
//! refused at once is served by another instance; a caller whose answer is cut off loses it. Requests
//! whose bodies are still read, or that wait for room on a full engine, have less time left at each
//! moment, so the decision is made again whenever one has waited. A stream of a plain service has no
//! stated length and may last until its deadline. The events of a generation may follow one another as
//! slowly as its route allows, however fast engines usually are.

use std::time::Duration;

use super::config::{RequestKind, RouteRule};
use super::load::RunWeight;
use super::speed_samples::TOKENS_PER_EVENT;

/// What a route promises about the times of its answers.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTerms {
    /// Kind of the route's requests.
    pub kind: RequestKind,
    /// Target time until the answer or, for a generation, its first event.
    pub objective: Duration,
    /// Longest pause between two events of a generation that is on time; `None` if it is not stated.
    pub gap_objective: Option<Duration>,
}

impl AnswerTerms {
    /// Returns the terms of a route.
    pub fn of(rule: &RouteRule) -> Self {
        let &RouteRule { kind, objective, gap_objective, .. } = rule;
        Self { kind, objective, gap_objective }
    }

    /// Returns the time within which an engine that is on time streams a generation with this many
    /// output tokens; `Duration::MAX` if the terms do not bound it.
    fn stream_time(&self, output: u32) -> Duration {
        let events = output.div_ceil(TOKENS_PER_EVENT as u32);
        let gap = self.gap_objective.unwrap_or(Duration::MAX);
        self.objective.saturating_add(gap.saturating_mul(events))
    }
}

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct DrainParams {
    /// Time that a busy engine takes for one output token.
    pub token_time: Duration,
    /// Time that a busy engine takes for one prompt token.
    pub prompt_time: Duration,
    /// Factor applied to the time of a generation, for an engine that is slower than usual, and to the
    /// longest observed time of an answer.
    pub time_factor: f64,
    /// Longest time assumed for the answer of a plain service, as a multiple of its route's objective.
    /// Servers that are slow after their start or nearly full take several objectives.
    pub objective_factor: u32,
}

impl Default for DrainParams {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(12),
            prompt_time: Duration::from_micros(200),
            time_factor: 2.0,
            objective_factor: 20,
        }
    }
}

impl DrainParams {
    /// Returns the time within which a server that is sound answers a request completely;
    /// `Duration::MAX` if nothing bounds it.
    ///
    /// `longest` is the size of a generation with the highest output that it is allowed, because
    /// callers' estimates are often far too low; `None` for plain services. `observed` is the longest
    /// time that answers of the route took lately; `None` if too few are known.
    ///
    /// The usual pace of engines only lengthens the time that the terms allow them: a busy engine that
    /// is late must not be cut off either.
    pub fn longest_time(
        &self,
        terms: AnswerTerms,
        longest: Option<RunWeight>,
        observed: Option<Duration>,
    ) -> Duration {
        let expected = longest.map(|size| self.expected_time(size));
        let observed = observed.map(|time| time.mul_f64(self.time_factor));
        match terms.kind {
            RequestKind::Safe | RequestKind::Unsafe => {
                let objectives = terms.objective * self.objective_factor;
                objectives.max(expected.or(observed).unwrap_or_default())
            },
            RequestKind::Stream => {
                let streaming = longest.map(|size| terms.stream_time(size.output)).max(expected);
                streaming.or(observed).unwrap_or(Duration::MAX)
            },
        }
    }

    /// Returns the time within which a generation of this size usually ends.
    pub fn expected_time(&self, size: RunWeight) -> Duration {
        let expected = self.token_time.saturating_mul(size.output) + self.prompt_time * size.prompt;
        expected.mul_f64(self.time_factor)
    }
}

/// Returns whether a request that is sent now is answered before the instance ends, or its caller has
/// given up until then. `longest` is the time that its answer may take, `time_left` that until its
/// deadline, and `stop_left` that until the instance ends.
pub fn can_finish(longest: Duration, time_left: Duration, stop_left: Duration) -> bool {
    longest.min(time_left) <= stop_left
}
