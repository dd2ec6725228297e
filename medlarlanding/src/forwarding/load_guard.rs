//! Counts one request in the load of its server.

use std::rc::Rc;

use super::shared::SharedState;
use medlarlanding_core::forwarding::{RunWeight, ServerKey};

/// Load that one request puts on a server; subtracted from the server's load when dropped.
pub struct LoadGuard {
    state: SharedState,
    key: ServerKey,
    /// Prompt tokens and generated tokens that the server's `open_tokens` includes.
    tokens: u64,
    /// Prompt tokens that the server's `waiting_tokens` includes; 0 once the answer has begun.
    waiting: u64,
    /// Output tokens generated so far.
    generated: u64,
    /// Output tokens expected at the start.
    expected: u64,
    /// Tokens that the server's `expected_growth` includes.
    growth: u64,
}

/// The expected growth of a run is at least its output so far divided by this, so that a run which
/// reaches or exceeds its estimate is expected to continue.
const OVERRUN_DIVISOR: u64 = 4;

impl LoadGuard {
    /// Adds a request to the load of a server.
    pub fn begin(state: &SharedState, key: ServerKey, weight: RunWeight) -> Self {
        let (tokens, waiting) = (u64::from(weight.prompt), u64::from(weight.prompt));
        let expected = u64::from(weight.output);
        let mut directory = state.directory.borrow_mut();
        directory.begin_request(key, tokens);
        directory.adjust_waiting(key, waiting, 0);
        directory.adjust_growth(key, expected, 0);
        drop(directory);
        let state = Rc::clone(state);
        Self { state, key, tokens, waiting, generated: 0, expected, growth: expected }
    }

    /// Records that the answer has begun, so that the prompt no longer waits to be processed.
    pub fn answer_begun(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        if waiting > 0 {
            self.state.directory.borrow_mut().adjust_waiting(self.key, 0, waiting);
        }
    }

    /// Adds generated tokens to the request's memory and updates its expected growth.
    pub fn add_output(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.generated += tokens;
        let left =
            self.expected.saturating_sub(self.generated).max(self.generated / OVERRUN_DIVISOR);
        let before = std::mem::replace(&mut self.growth, left);
        let mut directory = self.state.directory.borrow_mut();
        directory.add_tokens(self.key, tokens);
        directory.adjust_growth(self.key, left, before);
    }
}

impl Drop for LoadGuard {
    fn drop(&mut self) {
        let mut directory = self.state.directory.borrow_mut();
        directory.adjust_waiting(self.key, 0, self.waiting);
        directory.adjust_growth(self.key, 0, self.growth);
        directory.finish_request(self.key, self.tokens);
    }
}
