//! Hedged requests: a safe request is sent to a second plain server once the first one is late.
//!
//! Load pattern: one of a few plain servers answers 5 to 20 times later than usual for some seconds. Its
//! requests are late against its own recent times long before they are late for their callers.

use std::rc::Rc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::peer_link::PeerLink;
use super::placing::Placement;
use super::relay::{SendOutcome, plain_request, send_to_server};
use super::shared::SharedState;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{PlacePurpose, RepeatPurpose, RequestKind, ServerKey};
use medlarlanding_core::time::Timestamp;

/// Outcome in logs of a request whose connection was closed because another server answered first.
const ABANDONED: &str = "abandoned";

/// Server that a request is sent to.
#[derive(Clone, Copy)]
pub(super) struct RequestTarget {
    /// Key of the server.
    pub key: ServerKey,
    /// Time that the caller still waits.
    pub time_left: Duration,
    /// Longest time for the answer of this server.
    pub limit: Duration,
}

/// Result of one server.
pub(super) struct ServerResult {
    /// Key of the server.
    pub key: ServerKey,
    /// Id of the server.
    pub server: String,
    /// What became of the request there.
    pub outcome: SendOutcome,
}

/// Results of sending a request to one server or to two.
pub(super) struct SentRequest {
    /// Result that decides: the first success, or else the last failure.
    pub last: ServerResult,
    /// Failure of the other server, which ended before.
    pub failure: Option<ServerResult>,
    /// The request was dropped at another server, where it may have run.
    pub is_abandoned: bool,
}

impl SentRequest {
    fn single(last: ServerResult) -> Self {
        Self { last, failure: None, is_abandoned: false }
    }
}

/// Sends a request to a server. If `may_hedge` and the server is late, sends it to another one as well,
/// which is added to `tried`; the first success counts, and the connection to the other server is closed.
pub(super) async fn send(
    state: &SharedState,
    link: &Rc<PeerLink>,
    admitted: &AdmittedRequest,
    target: RequestTarget,
    tried: &mut Vec<ServerKey>,
    may_hedge: bool,
) -> SentRequest {
    let attempt = tried.len();
    let mut first = std::pin::pin!(send_logged(state, link, admitted, target, attempt));
    let delay = if may_hedge { hedge_delay(state, admitted, target) } else { None };
    let Some(delay) = delay else { return SentRequest::single(first.await) };
    let sent_at = state.now();
    if let Ok(result) = tokio::time::timeout(delay, first.as_mut()).await {
        return SentRequest::single(result);
    }
    let Some(second_target) = choose_second(state, admitted, tried) else {
        return SentRequest::single(first.await);
    };
    tried.push(second_target.key);
    let hedge = HedgeRecord { state, admitted, sent_at, first: target.key };
    hedge.log_begin(second_target.key);
    let second_at = state.now();
    let mut second = std::pin::pin!(send_logged(state, link, admitted, second_target, attempt + 1));
    let (result, other_key, other_at) = tokio::select! {
        biased;
        result = first.as_mut() => (result, second_target.key, second_at),
        result = second.as_mut() => (result, target.key, sent_at),
    };
    if result.outcome.is_final() {
        hedge.finish(&result);
        hedge.log_abandoned(other_key, other_at, attempt);
        return SentRequest { last: result, failure: None, is_abandoned: true };
    }
    let last = if result.key == target.key { second.await } else { first.await };
    hedge.finish(&last);
    SentRequest { last, failure: Some(result), is_abandoned: false }
}

/// Returns the time after which a request is late at a server; `None` if it must not be sent to a second
/// one: it is not safe, has a prompt, on which both servers might end, or the usual time is unknown.
fn hedge_delay(
    state: &SharedState,
    admitted: &AdmittedRequest,
    target: RequestTarget,
) -> Option<Duration> {
    let is_hedgeable = admitted.rule.kind == RequestKind::Safe && admitted.parts.is_empty();
    let delay = state.late_after(target.key, &admitted.rule).filter(|_| is_hedgeable)?;
    (delay < target.limit.min(target.time_left)).then_some(delay)
}

/// Chooses the second server for a request and counts it in the budget for repeats.
fn choose_second(
    state: &SharedState,
    admitted: &AdmittedRequest,
    tried: &[ServerKey],
) -> Option<RequestTarget> {
    let time_left = admitted.time_left(state.now());
    if time_left.is_zero() || !admitted.fits_stop(state) {
        return None;
    }
    let excluded = state.with_held(&admitted.service, tried);
    let request = plain_request(state, admitted, &excluded);
    let Placement::Server(key) = state.place(PlacePurpose::Start, &request) else { return None };
    let is_usable = {
        let directory = state.directory.borrow();
        directory.get(key).is_some_and(|it| it.accepts_work() && !it.is_avoided(state.now()))
    };
    let may_repeat = is_usable && state.try_repeat(&admitted.service, RepeatPurpose::Hedge);
    may_repeat.then_some(RequestTarget { key, time_left, limit: time_left })
}

/// Sends a request to one server and logs what became of it.
async fn send_logged(
    state: &SharedState,
    link: &Rc<PeerLink>,
    admitted: &AdmittedRequest,
    target: RequestTarget,
    attempt: usize,
) -> ServerResult {
    let RequestTarget { key, time_left, limit } = target;
    let sent_at = state.now();
    let (server, outcome) = send_to_server(state, link, admitted, key, time_left, limit).await;
    let elapsed = state.now().since(sent_at);
    log_sent(admitted, &server, attempt, time_left, outcome.name(), elapsed);
    ServerResult { key, server, outcome }
}

fn log_sent(
    admitted: &AdmittedRequest,
    server: &str,
    attempt: usize,
    time_left: Duration,
    outcome: &str,
    elapsed: Duration,
) {
    event(
        EventKind::RequestSent,
        &[
            &admitted.id,
            &admitted.rule.name,
            &server,
            &attempt,
            &time_left.as_millis(),
            &outcome,
            &elapsed.as_millis(),
            &admitted.config_version,
        ],
    );
}

/// A request that was sent to two servers.
struct HedgeRecord<'a> {
    state: &'a SharedState,
    admitted: &'a AdmittedRequest,
    /// When the request was sent to the first server.
    sent_at: Timestamp,
    first: ServerKey,
}

impl HedgeRecord<'_> {
    fn server_id(&self, key: ServerKey) -> String {
        let directory = self.state.directory.borrow();
        directory.get(key).map_or_else(String::new, |record| record.entry.id.to_string())
    }

    fn log_begin(&self, second: ServerKey) {
        self.state.telemetry.repeats.with_label_values(&["late"]).inc();
        event(
            EventKind::RequestHedged,
            &[
                &self.admitted.id,
                &self.admitted.rule.name,
                &self.server_id(self.first),
                &self.server_id(second),
                &self.state.now().since(self.sent_at).as_millis(),
            ],
        );
    }

    /// Records which server's answer counts.
    fn finish(&self, last: &ServerResult) {
        let (winner, outcome) = match (last.outcome.is_success(), last.key == self.first) {
            (true, true) => ("first", "lost"),
            (true, false) => ("second", "won"),
            (false, _) => ("none", "failed"),
        };
        self.state.telemetry.hedges.with_label_values(&[outcome]).inc();
        let elapsed = self.state.now().since(self.sent_at);
        event(
            EventKind::HedgeEnded,
            &[&self.admitted.id, &winner, &last.server, &elapsed.as_millis()],
        );
    }

    /// Logs the server whose answer is not waited for. Its time so far is a sample if it is the first
    /// one, which took longer than that.
    fn log_abandoned(&self, key: ServerKey, sent_at: Timestamp, first_attempt: usize) {
        let elapsed = self.state.now().since(sent_at);
        let is_first = key == self.first;
        let attempt = if is_first { first_attempt } else { first_attempt + 1 };
        let time_left = self.admitted.time_left(sent_at);
        log_sent(self.admitted, &self.server_id(key), attempt, time_left, ABANDONED, elapsed);
        if is_first {
            self.state.record_answer_time(key, &self.admitted.rule, elapsed, 1);
        }
    }
}
