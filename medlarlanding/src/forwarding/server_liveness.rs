//! Examines a server after one of its answers broke off: did the server end, or only the connection?

use std::sync::Arc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::engine_calls;
use super::peer_link::PeerLink;
use super::shared::SharedState;
use crate::exchange::{self, ListenerState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{RouteRule, ServerEntry, ServerKey};
use medlarlanding_core::prompts::{PromptParts, RunPhase, SURVIVAL_TIME};
use medlarlanding_platform::engines;

use hyper::StatusCode;

/// Time limit for the report of a server that accepts connections.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

/// State of a server after an answer broke off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerLiveness {
    /// The process that wrote the answer still runs.
    Alive,
    /// The process has ended: nothing listens at the address, or another process does.
    Ended,
    /// The server cannot be reached, which a network fault can cause as well.
    Unknown,
}

impl ServerLiveness {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Alive => "alive",
            Self::Ended => "ended",
            Self::Unknown => "unknown",
        }
    }
}

/// Returns whether a server has ended though it was not to leave.
async fn has_ended_early(state: &SharedState, key: ServerKey) -> bool {
    let entry = {
        let directory = state.directory.borrow();
        let record = directory.get(key).filter(|record| record.leaving_since.is_none());
        record.map(|record| record.entry.clone())
    };
    match entry {
        Some(entry) => exchange::probe_listener(entry.address).await == ListenerState::Absent,
        None => false,
    }
}

/// Examines an engine to which no connection could be established.
pub async fn examine_unreachable(state: &SharedState, link: &PeerLink, key: ServerKey) {
    if has_ended_early(state, key).await {
        link.report_end(state, key);
    }
}

/// Finds out whether the process described by `entry` still runs.
async fn probe_process(entry: &ServerEntry) -> ServerLiveness {
    match exchange::probe_listener_again(entry.address).await {
        ListenerState::Absent => return ServerLiveness::Ended,
        ListenerState::Unknown => return ServerLiveness::Unknown,
        ListenerState::Listening if entry.born_millis == 0 => return ServerLiveness::Alive,
        ListenerState::Listening => {},
    }
    let report = engine_calls::read_report(entry.address, REPORT_TIMEOUT).await;
    let Ok((StatusCode::OK, body)) = report else { return ServerLiveness::Unknown };
    match engines::decode_birth(&body) {
        Ok(Some(born)) if born != entry.born_millis => ServerLiveness::Ended,
        Ok(_) => ServerLiveness::Alive,
        Err(error) => {
            event(EventKind::ReportRefused, &[&entry.address, &format!("{error:#}")]);
            ServerLiveness::Unknown
        },
    }
}

/// Answer to a request with a prompt that broke off at its server.
pub struct BrokenAnswer {
    /// Id of the request.
    request: String,
    rule: Arc<RouteRule>,
    parts: PromptParts,
    /// Key of the server.
    key: ServerKey,
    /// Entry of the server.
    entry: ServerEntry,
    phase: RunPhase,
    /// Time since the server began to write; zero before.
    writing: Duration,
    /// The server has written for long enough to show that it survives the prompt.
    is_settled: bool,
}

impl BrokenAnswer {
    /// Describes an answer that broke off. Returns `None` if the request has no prompt, or if the
    /// server is leaving and was expected to end.
    pub fn new(
        state: &SharedState,
        admitted: &AdmittedRequest,
        key: ServerKey,
        phase: RunPhase,
        writing: Duration,
    ) -> Option<Self> {
        let directory = state.directory.borrow();
        let record = directory.get(key).filter(|record| record.leaving_since.is_none())?;
        if admitted.parts.is_empty() {
            return None;
        }
        Some(Self {
            request: admitted.id.clone(),
            rule: Arc::clone(&admitted.rule),
            parts: admitted.parts.clone(),
            key,
            entry: record.entry.clone(),
            phase,
            writing,
            is_settled: writing >= SURVIVAL_TIME,
        })
    }

    /// Examines the server, logs what is found, and records the run if the server has ended.
    pub async fn examine(self, state: &SharedState, link: &PeerLink) {
        let liveness = probe_process(&self.entry).await;
        if liveness == ServerLiveness::Ended {
            link.report_end(state, self.key);
            if !self.is_settled {
                state.record_broken_run(&self.entry, &self.request, self.phase, &self.parts);
            }
        }
        let labels = [self.phase.name(), liveness.name()];
        state.telemetry.broken_answers.with_label_values(&labels).inc();
        event(
            EventKind::AnswerBroken,
            &[
                &self.request,
                &self.rule.name,
                &self.entry.id,
                &self.phase.name(),
                &self.writing.as_millis(),
                &liveness.name(),
                &self.parts,
            ],
        );
    }
}
