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
    /// Factor applied to the expected time of a generation; estimated lengths are often only half
    /// of the real ones.
    pub length_factor: f64,
    /// Longest time assumed for a plain request, as a multiple of its route's objective.
    pub objective_factor: u32,
}

impl Default for DrainParams {
    fn default() -> Self {
        Self {
            token_time: Duration::from_millis(12),
            prompt_time: Duration::from_micros(200),
            length_factor: 2.0,
            objective_factor: 4,
        }
    }
}

impl DrainParams {
    /// Returns whether a request is expected to finish within `left`, the time until the instance
    /// stops.
    pub fn can_finish(
        &self,
        kind: RequestKind,
        weight: RunWeight,
        objective: Duration,
        left: Duration,
    ) -> bool {
        match kind {
            RequestKind::Safe | RequestKind::Unsafe => objective * self.objective_factor <= left,
            RequestKind::Stream => {
                let expected = self.token_time * weight.output + self.prompt_time * weight.prompt;
                expected.mul_f64(self.length_factor) <= left
            },
        }
    }
}
