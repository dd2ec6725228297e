//! Log line and metrics of the end of a request to a plain service.

use super::admit::AdmittedRequest;
use super::shared::SharedState;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::RequestKind;

/// Logs the end of a request, including one whose caller disconnects before the answer.
pub(super) struct RequestRecord<'a> {
    state: &'a SharedState,
    admitted: &'a AdmittedRequest,
    is_finished: bool,
}

impl<'a> RequestRecord<'a> {
    /// Begins the record of a request.
    pub(super) fn new(state: &'a SharedState, admitted: &'a AdmittedRequest) -> Self {
        Self { state, admitted, is_finished: false }
    }

    /// Logs the outcome of the request, the status of its answer, and the id of the server that sent it.
    pub(super) fn finish(&mut self, outcome: &str, status: u16, server: &str) {
        self.is_finished = true;
        let elapsed = self.state.now().since(self.admitted.arrived_at);
        let kind = match self.admitted.rule.kind {
            RequestKind::Safe => "safe",
            RequestKind::Unsafe => "unsafe",
            RequestKind::Stream => "stream",
        };
        self.state.telemetry.first_answer.observe(elapsed.as_secs_f64());
        self.state.telemetry.requests.with_label_values(&[kind, outcome]).inc();
        event(
            EventKind::RequestFinished,
            &[
                &self.admitted.id,
                &self.admitted.rule.name,
                &kind,
                &outcome,
                &status,
                &server,
                &elapsed.as_millis(),
            ],
        );
    }
}

impl Drop for RequestRecord<'_> {
    fn drop(&mut self) {
        // The future is dropped when the caller's connection closes.
        if !self.is_finished {
            self.finish("caller_gone", 0, "");
        }
    }
}
