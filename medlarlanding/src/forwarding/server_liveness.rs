//! Examines a server after one of its answers broke off: did the server end, or only the connection?

use std::sync::Arc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::engine_calls;
use super::peer_link::PeerLink;
use super::servers::start_hash;
use super::shared::SharedState;
use crate::exchange::{self, ExchangeFault, ListenerState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ProcessIdentity, RouteRule, ServerEntry, ServerKey, ServerLiveness,
};
use medlarlanding_core::prompts::{PromptParts, RunPhase, SURVIVAL_TIME};
use medlarlanding_platform::engines;
use medlarlanding_platform::headers::stated_server_id;

use hyper::StatusCode;

/// Time limit for the report of a server that accepts connections.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time after which a process that has not answered is asked once more.
const PROOF_PAUSE: Duration = Duration::from_millis(80);
/// Longest time for which the end of an answer is held back to find out whether its server lives.
const PROOF_TIMEOUT: Duration = Duration::from_millis(250);

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

/// What a process is asked to learn which one it is.
#[derive(Clone, Debug, PartialEq, Eq)]
enum IdentityQuery {
    /// The report of an engine, for which it needs no slot.
    Report,
    /// A health check with this path.
    Health(Arc<str>),
}

/// Returns the question that servers of a service answer best, and one to ask if it is not answered.
fn identity_queries(state: &SharedState, service: &str) -> [IdentityQuery; 2] {
    let config = state.config();
    let policy = config.as_ref().and_then(|in_force| in_force.config.service(service));
    let health = policy.and_then(|policy| policy.health_path.clone());
    let health = health.map_or(IdentityQuery::Report, IdentityQuery::Health);
    match policy.and_then(|policy| policy.engine) {
        Some(_) => [IdentityQuery::Report, health],
        None => [health, IdentityQuery::Report],
    }
}

/// Finds out whether the process that wrote an answer still runs after the end of that answer. Asks
/// once more if the first question is not answered, and takes at most `PROOF_TIMEOUT`.
pub async fn prove_liveness(state: &SharedState, entry: &ServerEntry) -> ServerLiveness {
    let [first, second] = identity_queries(state, &entry.service);
    let asking = async {
        let mut first = std::pin::pin!(ask_process(state, entry, &first));
        match tokio::time::timeout(PROOF_PAUSE, &mut first).await {
            Ok(ServerLiveness::Unknown) => return ask_process(state, entry, &second).await,
            Ok(liveness) => return liveness,
            Err(_) => {},
        }
        let mut second = std::pin::pin!(ask_process(state, entry, &second));
        tokio::select! {
            liveness = &mut first => match liveness {
                ServerLiveness::Unknown => second.await,
                ServerLiveness::Alive | ServerLiveness::Ended => liveness,
            },
            liveness = &mut second => match liveness {
                ServerLiveness::Unknown => first.await,
                ServerLiveness::Alive | ServerLiveness::Ended => liveness,
            },
        }
    };
    tokio::time::timeout(PROOF_TIMEOUT, asking).await.unwrap_or(ServerLiveness::Unknown)
}

/// Asks the process at a server's address which one it is.
async fn ask_process(
    state: &SharedState,
    entry: &ServerEntry,
    question: &IdentityQuery,
) -> ServerLiveness {
    let address = entry.address;
    let answer = match question {
        IdentityQuery::Report => engine_calls::read_report(address, REPORT_TIMEOUT).await,
        IdentityQuery::Health(path) => {
            engine_calls::read_health(address, path, REPORT_TIMEOUT).await
        },
    };
    let answer = match answer {
        Ok(answer) => answer,
        // A refused connection is told from one that was not established in time.
        Err(ExchangeFault::NotConnected) => {
            return match exchange::probe_listener(address).await {
                ListenerState::Absent => ServerLiveness::Ended,
                ListenerState::Listening | ListenerState::Unknown => ServerLiveness::Unknown,
            };
        },
        Err(_) => return ServerLiveness::Unknown,
    };
    let born_millis = match (question, engines::decode_birth(&answer.body)) {
        (_, Ok(born_millis)) => born_millis,
        (IdentityQuery::Report, Err(error)) if answer.status == StatusCode::OK => {
            event(EventKind::ReportRefused, &[&address, &format!("{error:#}")]);
            None
        },
        // Other servers have no report, and a health check may answer with any text.
        (IdentityQuery::Report | IdentityQuery::Health(_), Err(_)) => None,
    };
    let found = ProcessIdentity { born_millis, id: stated_server_id(&answer.headers) };
    let expected = ProcessIdentity {
        born_millis: (entry.born_millis > 0).then_some(entry.born_millis),
        id: Some(&entry.id),
    };
    let liveness = ServerLiveness::of_process(expected, found);
    if liveness == ServerLiveness::Alive
        && let Some(key) = state.find_start(start_hash(entry))
    {
        state.note_cold_answer(key, &answer.headers);
    }
    liveness
}

/// Finds out whether the process described by `entry` still runs after a connection to it broke.
async fn probe_process(state: &SharedState, entry: &ServerEntry) -> ServerLiveness {
    match exchange::probe_listener_again(entry.address).await {
        ListenerState::Absent => ServerLiveness::Ended,
        ListenerState::Unknown => ServerLiveness::Unknown,
        ListenerState::Listening if entry.born_millis == 0 => ServerLiveness::Alive,
        ListenerState::Listening => ask_process(state, entry, &IdentityQuery::Report).await,
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

    /// Examines the server unless its state is `known`, logs what is found, and records the run if the
    /// server has ended.
    pub async fn examine(
        self,
        state: &SharedState,
        link: &PeerLink,
        known: Option<ServerLiveness>,
    ) {
        let liveness = match known {
            Some(liveness) => liveness,
            None => probe_process(state, &self.entry).await,
        };
        if liveness == ServerLiveness::Ended {
            if !self.is_settled {
                state.record_broken_run(&self.entry, &self.request, self.phase, &self.parts);
            }
            link.report_end(state, self.key);
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
