//! Decides whether an answer that ended with its connection is complete.

use std::sync::Arc;

use super::shared::SharedState;
use crate::exchange::{self, BodyFraming, ListenerState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{RouteRule, ServerKey};

/// Answer whose end is examined.
#[derive(Clone, Debug)]
pub struct EndingAnswer {
    /// Id of the request.
    pub request: String,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Server that sent the answer.
    pub server: ServerKey,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    /// The request has a prompt.
    pub has_prompt: bool,
}

impl EndingAnswer {
    /// Returns whether an answer that has ended in order is complete.
    pub async fn is_complete(&self, state: &SharedState) -> bool {
        if self.framing == BodyFraming::Delimited {
            return true;
        }
        let begun = state.now();
        let (id, leaving, address) = {
            let directory = state.directory.borrow();
            let Some(record) = directory.get(self.server) else { return true };
            let entry = &record.entry;
            (Arc::clone(&entry.id), record.leaving_since.is_some(), entry.address)
        };
        let is_asked = self.has_prompt && self.framing == BodyFraming::Closed && !leaving;
        let found = match is_asked {
            true => Some(exchange::probe_listener(address).await),
            false => None,
        };
        let is_complete = found != Some(ListenerState::Absent);
        let found = match found {
            None => "unasked",
            Some(ListenerState::Listening) => "listening",
            Some(ListenerState::Absent) => "absent",
            Some(ListenerState::Unknown) => "unknown",
        };
        let verdict = if is_complete { "complete" } else { "broken" };
        state.telemetry.undelimited_answers.with_label_values(&[verdict, found]).inc();
        event(
            EventKind::AnswerEnd,
            &[
                &self.request,
                &self.rule.name,
                &id,
                &self.framing.name(),
                &if leaving { "leaving" } else { "ready" },
                &found,
                &state.now().since(begun).as_millis(),
                &verdict,
            ],
        );
        is_complete
    }
}
