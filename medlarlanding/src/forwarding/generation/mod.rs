//! Generations on model engines: one run per request, moved while its engine leaves.

mod moving;
mod start;

use std::rc::Rc;
use std::time::Duration;

use self::moving::StreamEnd;
use self::start::StartEnd;
use super::admit::{AdmittedRequest, retry_after};
use super::answer::{CallerAnswer, OwnAnswer, pass_on};
use super::engine_calls::MoveCall;
use super::load_guard::LoadGuard;
use super::peer_link::PeerLink;
use super::shared::SharedState;
use super::stream_events::{EventSplitter, StreamPiece};
use crate::answer_body::{AnswerBody, StreamCut, TaskGuard};
use crate::exchange::{Exchange, ExchangeFault};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{RunWeight, ServerEntry, ServerKey};
use medlarlanding_core::time::Timestamp;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot, watch};

/// Tokens of one event where the configuration does not say; engines of today's installations
/// put four into each.
const TOKENS_PER_EVENT: u64 = 4;
/// Events that wait for a slow caller.
const PIECE_BACKLOG: usize = 16;

/// Serves a generation.
pub async fn serve(
    state: &SharedState,
    link: Rc<PeerLink>,
    admitted: AdmittedRequest,
) -> CallerAnswer {
    let (head_sender, head) = oneshot::channel();
    let id = admitted.id.clone();
    let run = GenerationRun::new(Rc::clone(state), link, admitted);
    let guard = TaskGuard(tokio::task::spawn_local(run.drive(head_sender)));
    match head.await {
        Ok(RunHead::Answer(answer)) => answer,
        Ok(RunHead::Stream { status, headers, pieces }) => {
            pass_on(status, &headers, AnswerBody::Streamed { pieces, _task: guard })
        },
        // The task ended without an answer, which only a defect can cause.
        Err(_) => OwnAnswer::AnswerLost.answer(&id, None),
    }
}

/// Beginning of the answer to a caller.
enum RunHead {
    Answer(CallerAnswer),
    Stream {
        status: StatusCode,
        headers: hyper::HeaderMap,
        pieces: mpsc::Receiver<Result<Bytes, StreamCut>>,
    },
}

/// The engine that a run is on, with the connection that carries its stream.
struct RunPlace {
    key: ServerKey,
    entry: ServerEntry,
    body: Incoming,
    /// The body's end is marked, so that a cut one is told from a whole one.
    is_framed: bool,
    _exchange: Exchange,
    load: LoadGuard,
}

struct GenerationRun {
    state: SharedState,
    link: Rc<PeerLink>,
    admitted: AdmittedRequest,
    changes: watch::Receiver<u64>,
    splitter: EventSplitter,
    /// Id of the last event passed on.
    last_event: Option<String>,
    events: u64,
    moves: u32,
    last_piece_at: Timestamp,
    /// Largest pause between events.
    longest_gap: Duration,
    first_after: Option<Duration>,
    /// Call that stopped the run and still copies its last part.
    last_move: Option<MoveCall>,
    /// The end was logged.
    is_finished: bool,
}

impl Drop for GenerationRun {
    fn drop(&mut self) {
        // The task is dropped when the caller's connection closes.
        if !self.is_finished {
            self.finish("caller_gone", 0, "");
        }
    }
}

impl GenerationRun {
    fn new(state: SharedState, link: Rc<PeerLink>, admitted: AdmittedRequest) -> Self {
        let changes = state.directory_changes();
        let now = state.now();
        Self {
            state,
            link,
            admitted,
            changes,
            splitter: EventSplitter::default(),
            last_event: None,
            events: 0,
            moves: 0,
            last_piece_at: now,
            longest_gap: Duration::ZERO,
            first_after: None,
            last_move: None,
            is_finished: false,
        }
    }

    async fn drive(mut self, head: oneshot::Sender<RunHead>) {
        self.state.record_request(&self.admitted.service);
        let (place, status, server_headers) = match self.start().await {
            Ok(started) => started,
            Err(StartEnd::Own(refusal)) => {
                let answer = refusal.answer(&self.admitted.id, retry_after(refusal, &self.state));
                self.finish(refusal.code(), answer.status().as_u16(), "");
                // A caller that has left needs no answer.
                let _ = head.send(RunHead::Answer(answer));
                return;
            },
            Err(StartEnd::Server(answer, server)) => {
                self.finish("answered", answer.status().as_u16(), &server);
                let _ = head.send(RunHead::Answer(answer));
                return;
            },
        };
        let (sender, pieces) = mpsc::channel(PIECE_BACKLOG);
        if head.send(RunHead::Stream { status, headers: server_headers, pieces }).is_err() {
            self.finish("caller_gone", 0, &place.entry.id);
            return;
        }
        self.stream(place, status, sender).await;
    }

    /// Passes the stream on, from one engine to the next, until it ends.
    async fn stream(
        mut self,
        mut place: RunPlace,
        status: StatusCode,
        sender: mpsc::Sender<Result<Bytes, StreamCut>>,
    ) {
        loop {
            let mut destination = None;
            let end = self.read_until_end(&mut place, &sender, &mut destination).await;
            let server = place.entry.id.to_string();
            let outcome = match end {
                StreamEnd::Complete => "complete",
                StreamEnd::CallerGone => "caller_gone",
                StreamEnd::Late => "late",
                StreamEnd::Broken | StreamEnd::Stopped => {
                    if matches!(end, StreamEnd::Broken) && !self.is_leaving(place.key) {
                        self.link.report_fault(&self.state, place.key);
                    }
                    match self.resume(place, destination, matches!(end, StreamEnd::Stopped)).await {
                        Some(next) => {
                            place = next;
                            continue;
                        },
                        None => "broken",
                    }
                },
            };
            if matches!(outcome, "broken" | "late") {
                // The caller sees a connection that closes before the end of the body.
                let _ = sender.send(Err(StreamCut)).await;
            }
            self.finish(outcome, status.as_u16(), &server);
            return;
        }
    }

    fn is_leaving(&self, key: ServerKey) -> bool {
        let directory = self.state.directory.borrow();
        directory.get(key).is_none_or(|record| record.leaving_since.is_some())
    }

    /// What the run takes at an engine by now.
    fn run_weight(&self) -> RunWeight {
        let made = (self.events * TOKENS_PER_EVENT) as u32;
        let RunWeight { prompt, output } = self.admitted.weight;
        RunWeight { prompt: prompt + made, output: output.saturating_sub(made) }
    }

    /// Passes one event on. Returns false if the caller has left.
    async fn pass_on(
        &mut self,
        place: &mut RunPlace,
        sender: &mpsc::Sender<Result<Bytes, StreamCut>>,
        piece: StreamPiece,
    ) -> bool {
        if let (Some(id), Some(last)) = (&piece.id, &self.last_event)
            && let (Ok(id), Ok(last)) = (id.parse::<u64>(), last.parse::<u64>())
            && id <= last
        {
            return true;
        }
        let now = self.state.now();
        if self.events == 0 {
            let first = now.since(self.admitted.arrived_at);
            self.state.telemetry.first_answer.observe(first.as_secs_f64());
            self.first_after = Some(first);
        } else {
            let gap = now.since(self.last_piece_at);
            self.state.telemetry.event_gap.observe(gap.as_secs_f64());
            self.longest_gap = self.longest_gap.max(gap);
        }
        place.load.begun();
        place.load.grow(TOKENS_PER_EVENT);
        self.last_piece_at = now;
        self.events += 1;
        if piece.id.is_some() {
            self.last_event = piece.id;
        }
        sender.send(Ok(piece.bytes)).await.is_ok()
    }

    fn finish(&mut self, outcome: &str, status: u16, server: &str) {
        self.is_finished = true;
        self.state.telemetry.requests.with_label_values(&["stream", outcome]).inc();
        event(
            EventKind::GenerationFinished,
            &[
                &self.admitted.id,
                &self.admitted.rule.name,
                &outcome,
                &status,
                &server,
                &self.events,
                &self.moves,
                &self.first_after.map_or(0, |first| first.as_millis()),
                &self.longest_gap.as_millis(),
                &self.state.now().since(self.admitted.arrived_at).as_millis(),
            ],
        );
    }
}

/// Outcome of sending a request to an engine.
type SentRequest = Result<(Response<Incoming>, Exchange), ExchangeFault>;

/// Name of an outcome in logs: the status, or the fault.
fn outcome_name(sent: &SentRequest) -> String {
    match sent {
        Ok((response, _)) => response.status().as_str().to_owned(),
        Err(fault) => fault.name().to_owned(),
    }
}

/// Tells whether the end of a body is marked by its length or its last chunk.
fn is_framed(headers: &hyper::HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}
