//! Which requests a stopping instance still takes.
//!
//! Load pattern: new connections reach a stopping instance for two seconds or longer, and most
//! generations need more time than is left until it is killed. A caller that is refused at once
//! is served by another instance; one whose answer is cut has lost it.

use std::time::Duration;

use super::config::RequestKind;
use super::placement::RunWeight;

/// Figures of the decision.
#[derive(Clone, Copy, Debug)]
pub struct DrainParams {
    /// Time for one output token of a generation on a busy engine.
    pub token_time: Duration,
    /// Time for one prompt token on a busy engine.
    pub prompt_time: Duration,
    /// Factor on the time of a generation; estimates of the length are often too low by half.
    pub length_factor: f64,
    /// A plain request takes at most this multiple of its route's objective.
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
    /// Tells whether a request is expected to finish within the time left.
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
