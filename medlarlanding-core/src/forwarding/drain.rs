//! Decides which new requests an instance still accepts while it is stopping.
//!
//! Load pattern: new connections arrive for two seconds or longer after an instance begins to
//! stop, and most generations take longer than the time left until it is killed. A caller that is
//! refused at once is served by another instance; a caller whose answer is cut off loses it.

use std::time::Duration;

use super::config::RequestKind;
use super::placement::RunWeight;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct DrainParams {
    /// Time that a busy engine takes for one output token.
    pub token_time: Duration,
    /// Time that a busy engine takes for one prompt token.
    pub prompt_time: Duration,
    /// Factor applied to the time of a generation, for a wait for room and for an engine that is
    /// slower than usual.
    pub time_factor: f64,
    /// Longest time assumed for a plain request, as a multiple of its route's objective.
    pub objective_factor: u32,
}

impl Default for DrainParams {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(12),
            prompt_time: Duration::from_micros(200),
            time_factor: 2.0,
            objective_factor: 4,
        }
    }
}

impl DrainParams {
    /// Returns whether a request finishes within `left`, the time until the instance stops.
    ///
    /// `longest` is the size of a generation with the highest output that it is allowed; callers'
    /// estimates are often far too low.
    pub fn can_finish(
        &self,
        kind: RequestKind,
        longest: RunWeight,
        objective: Duration,
        left: Duration,
    ) -> bool {
        match kind {
            RequestKind::Safe | RequestKind::Unsafe => objective * self.objective_factor <= left,
            RequestKind::Stream => self.expected_time(longest) <= left,
        }
    }

    /// Returns the time within which a generation of this size ends.
    pub fn expected_time(&self, size: RunWeight) -> Duration {
        let expected = self.token_time.saturating_mul(size.output) + self.prompt_time * size.prompt;
        expected.mul_f64(self.time_factor)
    }
}
