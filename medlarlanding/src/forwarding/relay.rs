//! Requests to plain services: repeated at another server if allowed, run at most once if unsafe.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::admit::{AdmittedRequest, retry_after};
use super::answer::{CallerAnswer, ErrorAnswer, forward_answer};
use super::answer_end::EndingAnswer;
use super::answer_lengths::AnswerLength;
use super::evacuations::SendPurpose;
use super::hedging::{self, RequestTarget, ServerResult};
use super::load_guard::LoadGuard;
use super::peer_link::PeerLink;
use super::placing::Placement;
use super::prompt_runs::PromptRun;
use super::request_record::RequestRecord;
use super::server_liveness::BrokenAnswer;
use super::server_pace::answer_kind;
use super::shared::SharedState;
use crate::answer_body::{AnswerBody, StreamPiece, TaskGuard};
use crate::answer_buffer::AnswerBuffer;
use crate::exchange::{self, BodyFraming, Exchange, ExchangeFault};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EndVerdict, LatencyClass, PlacePurpose, PlacementRequest, RepeatPurpose, RequestKind, RunStop,
    ServerKey, ServerLiveness,
};
use medlarlanding_core::pacing::{AnswerPart, AnswerSample};
use medlarlanding_core::prompts::RunPhase;
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{
    self, AnswerCheck, RunContinuation, SendHeaders, check_answer, status_implies_not_run,
};

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::sync::mpsc;

/// Answers up to this size in bytes are received completely before they are forwarded, so that a
/// truncated one can be replaced. Answers of the measured services have at most 4,800 bytes.
const BUFFERED_ANSWER_LIMIT: usize = 64 << 10;
/// Chunks of a longer answer that are buffered for a slow caller.
const CHUNK_BACKLOG: usize = 8;
/// Number of servers after which a request fails, if each refuses it or cannot be reached.
const NOT_RUN_LIMIT: u32 = 4;
/// Shortest time left with which a request is sent; with less, a server's work would be wasted.
const SEND_TIME_MIN: Duration = Duration::from_millis(5);
/// While a safe request may still be sent to another server, each server gets the time left divided
/// by this.
const SAFE_TIME_DIVISOR: u32 = 2;
/// A server gets at least the route's objective times this for a safe request.
const SAFE_TIME_FACTOR: u32 = 3;

/// Outcome of sending a request to one server.
pub(super) enum SendOutcome {
    /// The server sent a complete answer, or the beginning of a long one.
    Answered(StatusCode, HeaderMap, AnswerBody),
    /// The server did not run the request and never will, or was not sent it.
    NotRun,
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The request may have run.
    Lost(ExchangeFault),
    /// The request has run. Its answer has ended and cannot be taken for complete.
    Incomplete(EndVerdict),
    /// The request may have run. Its prompt was blocked before the answer arrived.
    Blocked,
    /// The request may have run. This process ends before the answer arrives.
    Stopping,
}

impl SendOutcome {
    /// Returns whether a server answered without an error of its own.
    pub(super) fn is_success(&self) -> bool {
        matches!(self, Self::Answered(status, ..) if !status.is_server_error())
    }

    /// Returns whether the outcome decides the request although another server may still answer.
    pub(super) fn is_final(&self) -> bool {
        self.is_success() || matches!(self, Self::Blocked | Self::Stopping)
    }

    pub(super) fn name(&self) -> &'static str {
        match self {
            Self::Answered(..) => "answered",
            Self::NotRun => "not_run",
            Self::NotConnected => "not_connected",
            Self::Lost(ExchangeFault::TimedOut) => "timed_out",
            Self::Lost(_) => "broken",
            Self::Incomplete(verdict) => verdict.name(),
            Self::Blocked => "blocked",
            Self::Stopping => "stopping",
        }
    }
}

/// Builds the request for a server.
pub fn server_request(
    admitted: &AdmittedRequest,
    server: &str,
    time_left: Duration,
    priority: Option<u8>,
    continuation: Option<&RunContinuation>,
) -> Request<Full<Bytes>> {
    let send = SendHeaders {
        server,
        time_left,
        customer: admitted.customer.as_deref(),
        priority,
        continuation,
    };
    let mut request = Request::new(Full::new(admitted.body.clone()));
    *request.method_mut() = admitted.method.clone();
    *request.uri_mut() = admitted.uri.clone();
    *request.headers_mut() = headers::server_headers(&admitted.headers, &send);
    request
}

/// Serves a request to a plain service.
pub async fn serve(
    state: &SharedState,
    link: Rc<PeerLink>,
    admitted: AdmittedRequest,
) -> CallerAnswer {
    let is_safe = admitted.rule.kind.is_repeatable();
    let mut record = RequestRecord::new(state, &admitted);
    let mut tried: Vec<ServerKey> = Vec::new();
    // Number of servers on which the request may have run.
    let mut run_count = 0;
    // Number of servers that refused the request or could not be reached.
    let mut not_run_count = 0;
    let mut fallback: Option<(StatusCode, HeaderMap, AnswerBody)> = None;
    let mut last_server = String::new();
    state.record_request(&admitted.service);
    let (outcome, answer) = loop {
        state.wait_for_news().await;
        let now = state.now();
        let time_left = admitted.time_left(now);
        if time_left < SEND_TIME_MIN {
            break fallback_or_error(
                fallback,
                if run_count > 0 { ErrorAnswer::LateSent } else { ErrorAnswer::LateUnsent },
            );
        }
        if !admitted.fits_stop(state) {
            let error = if run_count > 0 { ErrorAnswer::AnswerLost } else { ErrorAnswer::Stopping };
            break fallback_or_error(fallback, error);
        }
        let excluded = state.with_held(&admitted.service, &tried);
        let placed = state.place(PlacePurpose::Start, &plain_request(state, &admitted, &excluded));
        let Placement::Server(key) = placed else {
            state.log_cold_refusal(&admitted.id, &admitted.service, &excluded);
            let error = match (run_count, not_run_count) {
                (0, 0) => ErrorAnswer::NoServer,
                (0, _) => ErrorAnswer::ServersFull,
                _ => ErrorAnswer::AnswerLost,
            };
            break fallback_or_error(fallback, error);
        };
        let is_repeat = !tried.is_empty();
        if is_repeat && !state.try_repeat(&admitted.service, RepeatPurpose::Retry) {
            break fallback_or_error(fallback, error_without_answer(run_count));
        }
        if let Some(refusal) = admitted.prompt_error(state) {
            let error = if run_count == 0 { refusal } else { ErrorAnswer::AnswerLost };
            break fallback_or_error(fallback, error);
        }
        tried.push(key);
        let limit = if is_safe && admitted.rule.max_servers > run_count + 1 {
            let share = time_left / SAFE_TIME_DIVISOR;
            share.max(admitted.rule.objective * SAFE_TIME_FACTOR).min(time_left)
        } else {
            time_left
        };
        let target = RequestTarget { key, time_left, limit };
        let may_hedge = is_safe && run_count + 2 <= admitted.rule.max_servers;
        let sent = hedging::send(state, &link, &admitted, target, &mut tried, may_hedge).await;
        run_count += u32::from(sent.is_abandoned);
        match sent.failure.map(|failure| failure.outcome) {
            Some(SendOutcome::Answered(status, server_headers, body)) => {
                run_count += 1;
                fallback = Some((status, server_headers, body));
            },
            Some(SendOutcome::NotRun | SendOutcome::NotConnected) => not_run_count += 1,
            Some(_) => run_count += 1,
            None => {},
        }
        let ServerResult { key, server, outcome } = sent.last;
        last_server = server;
        match outcome {
            SendOutcome::Answered(status, server_headers, body) => {
                run_count += 1;
                let may_repeat = is_safe && run_count < admitted.rule.max_servers;
                if status.is_server_error() && may_repeat {
                    state.telemetry.repeats.with_label_values(&["server_error"]).inc();
                    fallback = Some((status, server_headers, body));
                    continue;
                }
                break ("answered", Answer::Server(forward_answer(status, &server_headers, body)));
            },
            SendOutcome::NotRun | SendOutcome::NotConnected => {
                state.telemetry.repeats.with_label_values(&["not_run"]).inc();
                not_run_count += 1;
                if not_run_count >= NOT_RUN_LIMIT {
                    break fallback_or_error(fallback, error_without_answer(run_count));
                }
            },
            SendOutcome::Blocked | SendOutcome::Stopping => {
                break fallback_or_error(fallback, ErrorAnswer::AnswerLost);
            },
            SendOutcome::Lost(_) | SendOutcome::Incomplete(_) => {
                run_count += 1;
                let may_repeat = is_safe && run_count < admitted.rule.max_servers;
                let is_late = matches!(outcome, SendOutcome::Lost(ExchangeFault::TimedOut));
                if !is_late {
                    let known = match outcome {
                        SendOutcome::Incomplete(verdict) => verdict.liveness(),
                        _ => None,
                    };
                    examine_break(state, &link, &admitted, key, known, may_repeat).await;
                }
                if may_repeat {
                    state.telemetry.repeats.with_label_values(&["lost"]).inc();
                    continue;
                }
                let error = if is_late { ErrorAnswer::LateSent } else { ErrorAnswer::AnswerLost };
                break fallback_or_error(fallback, error);
            },
        }
    };
    let answer = match answer {
        Answer::Server(answer) => {
            if matches!(answer.body(), AnswerBody::Whole(_))
                && let Some(length) = AnswerLength::of(state, &admitted)
            {
                length.record(true);
            }
            answer
        },
        Answer::Error(error) => {
            error.to_answer(&admitted.id, retry_after(error, state, Some(&admitted)))
        },
    };
    record.finish(outcome, answer.status().as_u16(), &last_server);
    answer
}

/// Examines the server of an answer that broke off, unless its state is `known`. Waits for the result
/// only if the request may be sent to another server, which it might end as well.
async fn examine_break(
    state: &SharedState,
    link: &Rc<PeerLink>,
    admitted: &AdmittedRequest,
    key: ServerKey,
    known: Option<ServerLiveness>,
    may_repeat: bool,
) {
    let phase = RunPhase::Hidden;
    let broken = BrokenAnswer::new(state, admitted, key, phase, Duration::ZERO);
    let Some(broken) = broken else { return };
    if may_repeat {
        broken.examine(state, link, known).await;
    } else {
        let (state, link) = (Rc::clone(state), Rc::clone(link));
        tokio::task::spawn_local(async move { broken.examine(&state, &link, known).await });
    }
}

/// Answer to the caller, by its origin.
enum Answer {
    Server(CallerAnswer),
    Error(ErrorAnswer),
}

fn error_without_answer(run_count: u32) -> ErrorAnswer {
    if run_count == 0 { ErrorAnswer::ServersFull } else { ErrorAnswer::AnswerLost }
}

/// Returns a server's earlier answer if there is one, or else the error.
fn fallback_or_error(
    fallback: Option<(StatusCode, HeaderMap, AnswerBody)>,
    error: ErrorAnswer,
) -> (&'static str, Answer) {
    match fallback {
        Some((status, server_headers, body)) => {
            ("answered", Answer::Server(forward_answer(status, &server_headers, body)))
        },
        None => (error.code(), Answer::Error(error)),
    }
}

/// Describes a request to a plain service for the choice of a server.
pub(super) fn plain_request<'a>(
    state: &'a SharedState,
    admitted: &'a AdmittedRequest,
    excluded: &'a [ServerKey],
) -> PlacementRequest<'a> {
    PlacementRequest {
        service: &admitted.service,
        memory_tokens: None,
        weight: admitted.weight,
        excluded,
        regions: &admitted.regions,
        zone: &state.settings.zone,
        due: None,
        is_urgent: admitted.priority == 0,
        drain_limit: state.settings.drain_limit,
        latency: LatencyClass::Uniform,
        reserve: None,
    }
}

pub(super) async fn send_to_server(
    state: &SharedState,
    link: &Rc<PeerLink>,
    admitted: &AdmittedRequest,
    key: ServerKey,
    time_left: Duration,
    limit: Duration,
) -> (String, SendOutcome) {
    let target = state.directory.borrow().get(key).map(|record| record.entry.clone());
    let Some(entry) = target else { return (String::new(), SendOutcome::NotConnected) };
    state.record_send(key);
    let load = LoadGuard::begin(state, key, admitted.weight);
    let open = state.directory.borrow().get(key).map_or(1, |record| record.open_requests);
    let request = server_request(admitted, &entry.id, time_left, None, None);
    let started = state.now();
    let prompt_run = PromptRun::begin(state, link, admitted, (key, &entry), false);
    let answering = async {
        let may_send =
            async || state.may_send(key, SendPurpose::New).await && admitted.fits_stop(state);
        match exchange::send_checked(entry.address, request, limit, may_send).await {
            Ok(None) => {
                PromptRun::discard(prompt_run);
                SendOutcome::NotRun
            },
            Ok(Some((response, exchange))) => {
                if state.note_answer(key, &admitted.id, response.status(), response.headers()) {
                    link.report_leaving(state, key);
                }
                let left = limit.saturating_sub(state.now().since(started));
                let ending = EndingAnswer {
                    request: admitted.id.clone(),
                    rule: Arc::clone(&admitted.rule),
                    key,
                    entry: entry.clone(),
                    framing: BodyFraming::of_response(&response),
                    run_stop: RunStop::NotStopped,
                };
                let mut source = Some(AnswerSource {
                    ending,
                    state: Rc::clone(state),
                    link: Rc::clone(link),
                    server: Arc::clone(&entry.id),
                    broken: BrokenAnswer::new(
                        state,
                        admitted,
                        key,
                        RunPhase::Hidden,
                        Duration::ZERO,
                    ),
                    prompt_run,
                    _exchange: exchange,
                    _load: load,
                });
                let outcome = read_answer(admitted, response, &mut source, left).await;
                check_end(state, admitted, source, outcome).await
            },
            Err(ExchangeFault::NotConnected) => {
                PromptRun::discard(prompt_run);
                SendOutcome::NotConnected
            },
            Err(fault) => SendOutcome::Lost(fault),
        }
    };
    // Closing the connection keeps the engine from writing on a prompt that is blocked while it waits
    // there.
    let outcome = tokio::select! {
        outcome = answering => outcome,
        () = admitted.wait_for_block(state) => SendOutcome::Blocked,
        () = state.stop_within(Duration::ZERO) => SendOutcome::Stopping,
    };
    if let SendOutcome::Answered(status, _, AnswerBody::Whole(_)) = &outcome
        && status.is_success()
    {
        state.record_answer_time(key, &admitted.rule, state.now().since(started), open);
    }
    let mut directory = state.directory.borrow_mut();
    match &outcome {
        SendOutcome::Answered(status, ..) if !status.is_server_error() => {
            directory.record_success(key);
        },
        SendOutcome::Answered(..)
        | SendOutcome::NotRun
        | SendOutcome::Blocked
        | SendOutcome::Stopping => {},
        SendOutcome::NotConnected | SendOutcome::Lost(_) | SendOutcome::Incomplete(_) => {
            state.telemetry.faults.with_label_values(&[outcome.name()]).inc();
            if directory.record_failure(state.now(), key) {
                event(EventKind::ServerSuspected, &[&entry.id, &outcome.name()]);
            }
        },
    }
    drop(directory);
    match &outcome {
        SendOutcome::Answered(status, ..) if !status.is_server_error() => {
            let time = state.now().since(started);
            let (kind, part) = (answer_kind(&admitted.rule), AnswerPart::First);
            let sample = AnswerSample { kind, part, sent_at: started, time };
            state.note_answer_time(link, &admitted.service, key, &sample);
        },
        SendOutcome::Answered(..)
        | SendOutcome::NotRun
        | SendOutcome::NotConnected
        | SendOutcome::Lost(_)
        | SendOutcome::Incomplete(_) => state.note_pace_failure(key),
        SendOutcome::Blocked | SendOutcome::Stopping => {},
    }
    (entry.id.to_string(), outcome)
}

/// Checks the end of an answer. `source` is `None` if the answer is still forwarded.
async fn check_end(
    state: &SharedState,
    admitted: &AdmittedRequest,
    source: Option<AnswerSource>,
    outcome: SendOutcome,
) -> SendOutcome {
    let Some(AnswerSource { ending, mut prompt_run, .. }) = source else { return outcome };
    match &outcome {
        SendOutcome::Answered(status, ..) => {
            let left = admitted.time_left(state.now());
            let verdict = ending.judge(state, false, left).await;
            if verdict != EndVerdict::Complete {
                return SendOutcome::Incomplete(verdict);
            }
            if let Some(run) = prompt_run.as_mut().filter(|_| status.is_success()) {
                run.complete();
            }
        },
        SendOutcome::NotRun => {
            PromptRun::discard(prompt_run);
        },
        _ => {},
    }
    outcome
}

/// Connection to the server that sends an answer.
struct AnswerSource {
    state: SharedState,
    link: Rc<PeerLink>,
    /// Id of the server.
    server: Arc<str>,
    ending: EndingAnswer,
    /// What to examine if the answer breaks off; `None` if the request has no prompt.
    broken: Option<BrokenAnswer>,
    /// Whether the engine survives the prompt; `None` without one.
    prompt_run: Option<PromptRun>,
    _exchange: Exchange,
    _load: LoadGuard,
}

async fn read_answer(
    admitted: &AdmittedRequest,
    response: Response<Incoming>,
    source: &mut Option<AnswerSource>,
    limit: Duration,
) -> SendOutcome {
    let (parts, body) = response.into_parts();
    match check_answer(parts.status, &parts.headers, &admitted.id) {
        AnswerCheck::WrongRequest | AnswerCheck::Unusable => {
            return SendOutcome::Lost(ExchangeFault::Broken);
        },
        AnswerCheck::NotRun => return SendOutcome::NotRun,
        AnswerCheck::Stamped | AnswerCheck::Unstamped => {},
    }
    // For a request that must not run twice, the status alone does not show that it has not run: the
    // header in which the server states it is missing.
    if status_implies_not_run(parts.status) && admitted.rule.kind != RequestKind::Safe {
        return SendOutcome::Lost(ExchangeFault::Broken);
    }
    let collecting = collect(body, source, admitted);
    match tokio::time::timeout(limit, collecting).await {
        Ok(Ok(body)) => SendOutcome::Answered(parts.status, parts.headers, body),
        Ok(Err(_)) => SendOutcome::Lost(ExchangeFault::Broken),
        Err(_) => SendOutcome::Lost(ExchangeFault::TimedOut),
    }
}

/// Receives a short body completely; forwards the rest of a long one as it arrives, for which it takes
/// the source.
async fn collect(
    mut body: Incoming,
    source: &mut Option<AnswerSource>,
    admitted: &AdmittedRequest,
) -> Result<AnswerBody, hyper::Error> {
    let mut collected = BytesMut::new();
    while let Some(frame) = body.frame().await {
        if let Ok(data) = frame?.into_data() {
            collected.extend_from_slice(&data);
        }
        if collected.len() > BUFFERED_ANSWER_LIMIT
            && let Some(source) = source.take()
        {
            let (sender, pieces) = mpsc::channel(CHUNK_BACKLOG);
            let rest = LongAnswer {
                request: admitted.id.clone(),
                length: AnswerLength::of(&source.state, admitted),
                buffer: AnswerBuffer::new(&source.state.answer_memory),
                source,
                deadline: admitted.deadline,
                bytes: 0,
            };
            let forwarding = rest.forward(collected.freeze(), body, sender);
            let task = TaskGuard(tokio::task::spawn_local(forwarding));
            return Ok(AnswerBody::Streamed { pieces, _task: Some(task) });
        }
    }
    Ok(AnswerBody::Whole(Some(collected.freeze())))
}

/// Reason in logs for an answer whose connection broke.
const BROKEN: &str = "broken";

/// Answer that is forwarded while it arrives.
struct LongAnswer {
    source: AnswerSource,
    /// Id of the request.
    request: String,
    /// Measures the answer of a plain service.
    length: Option<AnswerLength>,
    /// Deadline of the request, after which the answer is cut. A server may send bytes, or one byte
    /// now and then, without end.
    deadline: Timestamp,
    /// Counts the bytes that the caller has not read.
    buffer: AnswerBuffer,
    /// Bytes forwarded so far.
    bytes: u64,
}

impl LongAnswer {
    async fn forward(
        mut self,
        beginning: Bytes,
        body: Incoming,
        sender: mpsc::Sender<StreamPiece>,
    ) {
        let left = self.deadline.since(self.source.state.now());
        let forwarding = self.forward_pieces(beginning, body, &sender);
        let (cut, is_complete) = match tokio::time::timeout(left, forwarding).await {
            Ok(Ok(is_complete)) => (None, Some(is_complete)),
            Ok(Err(reason)) => (Some(reason), None),
            Err(_) => (Some("late"), Some(false)),
        };
        if let (Some(length), Some(is_complete)) = (&self.length, is_complete) {
            length.record(is_complete);
        }
        if let Some(run) = self.source.prompt_run.as_mut().filter(|_| is_complete == Some(true)) {
            run.complete();
        }
        let Some(cut) = cut else { return };
        let AnswerSource { state, link, server, broken, .. } = &mut self.source;
        state.telemetry.faults.with_label_values(&["answer_cut"]).inc();
        event(EventKind::AnswerCut, &[&self.request, server, &cut, &self.bytes]);
        if let Some(broken) = broken.take().filter(|_| cut == BROKEN) {
            broken.examine(state, link, None).await;
        }
    }

    /// Forwards the body up to its end, or until the caller disconnects. Returns whether it is complete.
    ///
    /// # Errors
    ///
    /// Returns the reason if the server's connection breaks.
    async fn forward_pieces(
        &mut self,
        beginning: Bytes,
        mut body: Incoming,
        sender: &mpsc::Sender<StreamPiece>,
    ) -> Result<bool, &'static str> {
        let mut next = Some(beginning);
        while let Some(data) = next {
            let length = data.len() as u64;
            let piece = self.buffer.hold(&data).await;
            drop(data);
            if sender.send(StreamPiece::Data(piece)).await.is_err() {
                return Ok(false);
            }
            self.bytes += length;
            next = loop {
                match body.frame().await {
                    Some(Ok(frame)) => {
                        if let Ok(data) = frame.into_data() {
                            break Some(data);
                        }
                    },
                    Some(Err(_)) => return Err(BROKEN),
                    None => break None,
                }
            };
        }
        let left = self.deadline.since(self.source.state.now());
        let verdict = self.source.ending.judge(&self.source.state, false, left).await;
        if verdict != EndVerdict::Complete {
            return Err(verdict.name());
        }
        // Sending fails if the caller has disconnected.
        let _ = sender.send(StreamPiece::End).await;
        Ok(true)
    }
}
