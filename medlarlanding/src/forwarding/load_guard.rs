//! Share of one request in the load of its server.

use std::rc::Rc;

use super::shared::SharedState;
use medlarlanding_core::forwarding::{RunWeight, ServerKey};

/// A request's share of a server's load; given back when it is dropped.
pub struct LoadGuard {
    state: SharedState,
    key: ServerKey,
    tokens: u64,
    waiting: u64,
    /// Output tokens that were made.
    made: u64,
    /// Output tokens that were expected at the start.
    expected: u64,
    /// Growth that is counted at the server.
    growth: u64,
}

/// A run that outlived its estimate is expected to add this part of what it made.
const OVERRUN_DIVISOR: u64 = 4;

impl LoadGuard {
    /// Counts a request at a server.
    pub fn begin(state: &SharedState, key: ServerKey, weight: RunWeight) -> Self {
        let (tokens, waiting) = (u64::from(weight.prompt), u64::from(weight.prompt));
        let expected = u64::from(weight.output);
        let mut directory = state.directory.borrow_mut();
        directory.begin_request(key, tokens);
        directory.adjust_waiting(key, waiting, 0);
        directory.adjust_growth(key, expected, 0);
        drop(directory);
        let state = Rc::clone(state);
        Self { state, key, tokens, waiting, made: 0, expected, growth: expected }
    }

    /// Records that the answer began, so that no prompt waits any more.
    pub fn begun(&mut self) {
        let waiting = std::mem::take(&mut self.waiting);
        if waiting > 0 {
            self.state.directory.borrow_mut().adjust_waiting(self.key, 0, waiting);
        }
    }

    /// Adds tokens that were made.
    pub fn grow(&mut self, tokens: u64) {
        self.tokens += tokens;
        self.made += tokens;
        let left = self.expected.saturating_sub(self.made).max(self.made / OVERRUN_DIVISOR);
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
