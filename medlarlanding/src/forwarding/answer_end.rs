//! Finds out whether an answer that ended with its connection is complete.

use std::sync::Arc;
use std::time::Duration;

use super::server_liveness::prove_liveness;
use super::shared::SharedState;
use crate::exchange::BodyFraming;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    BodyDelimiter, EndVerdict, RouteRule, RunStop, ServerEntry, ServerKey, ServerLiveness,
};

/// Answer whose end is examined.
#[derive(Clone, Debug)]
pub struct EndingAnswer {
    /// Id of the request.
    pub request: String,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Key of the server that sent the answer.
    pub key: ServerKey,
    /// Entry of that server when the request was sent.
    pub entry: ServerEntry,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// Whether a call may have stopped the run of the answer.
    pub run_stop: RunStop,
}

impl EndingAnswer {
    /// Judges an answer that ended without an error. Takes at most `limit`.
    pub async fn judge(
        &self,
        state: &SharedState,
        is_within_event: bool,
        limit: Duration,
    ) -> EndVerdict {
        let delimiter = match self.framing {
            BodyFraming::Delimited => BodyDelimiter::Declared,
            BodyFraming::UnchunkedCoding | BodyFraming::Closed => BodyDelimiter::Connection,
        };
        let begun = state.now();
        let unasked = EndVerdict::without_proof(delimiter, is_within_event, self.run_stop);
        let (liveness, verdict) = match unasked {
            Some(verdict) => (None, verdict),
            None => {
                let proving = tokio::time::timeout(limit, prove_liveness(state, &self.entry));
                let liveness = proving.await.unwrap_or(ServerLiveness::Unknown);
                (Some(liveness), EndVerdict::with_proof(liveness))
            },
        };
        if delimiter == BodyDelimiter::Declared && verdict == EndVerdict::Complete {
            return verdict;
        }
        let found = liveness.map_or("unasked", ServerLiveness::name);
        state.telemetry.undelimited_answers.with_label_values(&[verdict.name(), found]).inc();
        let is_leaving = {
            let directory = state.directory.borrow();
            directory.get(self.key).is_none_or(|record| record.leaving_since.is_some())
        };
        event(
            EventKind::AnswerEnd,
            &[
                &self.request,
                &self.rule.name,
                &self.entry.id,
                &self.framing.name(),
                &if is_leaving { "leaving" } else { "ready" },
                &found,
                &state.now().since(begun).as_millis(),
                &verdict.name(),
            ],
        );
        verdict
    }
}
