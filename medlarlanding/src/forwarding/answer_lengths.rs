//! How long answers of plain services take, whose length nobody states.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::shared::{ForwardState, SharedState};
use medlarlanding_core::forwarding::{AnswerTimes, RouteRule};
use medlarlanding_core::time::Timestamp;

/// Times that answers took.
#[derive(Default)]
pub struct AnswerLengths(RefCell<AnswerTimes>);

impl ForwardState {
    /// Returns the longest time that an answer of a plain service took lately; `None` if too few are
    /// known.
    pub fn longest_answer(&self, rule: &RouteRule, service: &Arc<str>) -> Option<Duration> {
        self.answer_lengths.0.borrow().longest(self.now(), &rule.name, service)
    }
}

/// Measures one answer of a plain service.
pub struct AnswerLength {
    state: SharedState,
    rule: Arc<RouteRule>,
    service: Arc<str>,
    arrived_at: Timestamp,
}

impl AnswerLength {
    /// Measures the answer to a request; `None` if an engine gives it, whose size is stated.
    pub fn of(state: &SharedState, admitted: &AdmittedRequest) -> Option<Self> {
        admitted.engine.is_none().then(|| Self {
            state: Rc::clone(state),
            rule: Arc::clone(&admitted.rule),
            service: Arc::clone(&admitted.service),
            arrived_at: admitted.arrived_at,
        })
    }

    /// Records the end of the answer. One that its caller or its deadline broke off would have taken
    /// longer; one that its server broke off is not recorded.
    pub fn record(&self, is_complete: bool) {
        let now = self.state.now();
        let elapsed = now.since(self.arrived_at);
        let mut times = self.state.answer_lengths.0.borrow_mut();
        times.record(now, &self.rule.name, &self.service, elapsed, is_complete);
    }
}
