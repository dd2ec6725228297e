//! Generations on model engines: each request starts one run, which is moved if its engine leaves.

mod moving;
mod start;

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use self::moving::{ResumeOutcome, StreamEnd};
use self::start::StartFailure;
use super::admit::{AdmittedRequest, retry_after};
use super::answer::{CallerAnswer, ErrorAnswer, forward_answer};
use super::answer_end::EndingAnswer;
use super::answer_lengths::AnswerLength;
use super::engine_calls::MoveCall;
use super::load_guard::LoadGuard;
use super::peer_link::PeerLink;
use super::prompt_runs::PromptRun;
use super::server_liveness::BrokenAnswer;
use super::server_pace::AnswerClock;
use super::shared::SharedState;
use super::stream_events::{EventSplitter, StreamEvent};
use crate::answer_body::{AnswerBody, StreamPiece, TaskGuard};
use crate::answer_buffer::AnswerBuffer;
use crate::exchange::{BodyFraming, Exchange, ExchangeFault};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EndVerdict, EngineFault, RunStop, RunWeight, ServerEntry, ServerKey, ServerLiveness,
    StreamSampler, TOKENS_PER_EVENT,
};
use medlarlanding_core::prompts::RunPhase;
use medlarlanding_core::time::Timestamp;

use hyper::body::Incoming;
use hyper::{Response, StatusCode};
use tokio::sync::{mpsc, oneshot, watch};

/// Number of events that are buffered for a slow caller.
const EVENT_BACKLOG: usize = 16;
/// Bytes of a stream that are scanned for events at a time.
const SCANNED_BYTES: usize = 8 << 10;

/// Serves a request for a generation.
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
        Ok(AnswerHead::Answer(answer)) => answer,
        Ok(AnswerHead::Stream { status, headers, pieces }) => {
            forward_answer(status, &headers, AnswerBody::Streamed { pieces, _task: Some(guard) })
        },
        // The task ended without an answer, which only a programming error can cause.
        Err(_) => ErrorAnswer::AnswerLost.to_answer(&id, None),
    }
}

/// Complete answer to a caller, or the head of a streamed one.
enum AnswerHead {
    Answer(CallerAnswer),
    Stream { status: StatusCode, headers: hyper::HeaderMap, pieces: mpsc::Receiver<StreamPiece> },
}

/// Stream of events of a run from the engine that it runs on.
struct EngineStream {
    /// Key of the engine.
    key: ServerKey,
    /// Entry of the engine.
    entry: ServerEntry,
    body: Incoming,
    /// How the end of the body is marked.
    framing: BodyFraming,
    /// The body consists of events, so that one which ends within an event is broken off.
    has_events: bool,
    /// When the head of the answer arrived, at which the engine began to write.
    begun_at: Timestamp,
    /// Whether the engine survives the prompt; `None` without one.
    prompt_run: Option<PromptRun>,
    /// Whether a call has stopped the run at this engine.
    run_stop: RunStop,
    /// Measures how fast the engine writes.
    sampler: StreamSampler,
    _exchange: Exchange,
    load: LoadGuard,
    /// Measures the answer; `None` for a run that was moved here, and without slow start.
    clock: Option<AnswerClock>,
}

struct GenerationRun {
    state: SharedState,
    link: Rc<PeerLink>,
    admitted: AdmittedRequest,
    /// Notified when a server entry changes or a server starts to leave.
    directory_changes: watch::Receiver<u64>,
    splitter: EventSplitter,
    /// Counts the bytes of the answer.
    buffer: AnswerBuffer,
    /// Id of the last event that was forwarded.
    last_event: Option<String>,
    /// Number of events forwarded to the caller.
    events: u64,
    /// Number of moves that succeeded.
    moves: u32,
    last_event_at: Timestamp,
    /// Longest pause between two events.
    longest_gap: Duration,
    /// Time from the request's arrival to its first event.
    first_event_after: Option<Duration>,
    /// Time after which the caller should return, from the forecast at the refusal of the run.
    return_delay: Cell<Option<Duration>>,
    /// Call that is to stop the run and has not yet copied its remainder.
    final_call: Option<MoveCall>,
    /// The end of the request was logged.
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
        let directory_changes = state.directory_changes();
        let now = state.now();
        let buffer = AnswerBuffer::new(&state.answer_memory);
        Self {
            buffer,
            state,
            link,
            admitted,
            directory_changes,
            splitter: EventSplitter::default(),
            last_event: None,
            events: 0,
            moves: 0,
            last_event_at: now,
            longest_gap: Duration::ZERO,
            first_event_after: None,
            return_delay: Cell::default(),
            final_call: None,
            is_finished: false,
        }
    }

    /// Starts the run, sends the head of the answer to `head`, and forwards the stream.
    async fn drive(mut self, head: oneshot::Sender<AnswerHead>) {
        self.state.record_request(&self.admitted.service);
        let (stream, status, server_headers) = match self.start().await {
            Ok(started) => started,
            Err(StartFailure::Error(error)) => {
                let delay = match (error, self.return_delay.get()) {
                    (ErrorAnswer::Overloaded, Some(delay)) => Some(delay),
                    _ => retry_after(error, &self.state, Some(&self.admitted)),
                };
                if let (ErrorAnswer::Overloaded, Some(delay)) = (error, delay) {
                    let labels = [self.admitted.latency.name()];
                    let return_time = &self.state.telemetry.return_time;
                    return_time.with_label_values(&labels).observe(delay.as_secs_f64());
                }
                let answer = error.to_answer(&self.admitted.id, delay);
                self.finish(error.code(), answer.status().as_u16(), "");
                // Sending fails if the caller has disconnected; it then needs no answer.
                let _ = head.send(AnswerHead::Answer(answer));
                return;
            },
            Err(StartFailure::Server(answer, server)) => {
                self.finish("answered", answer.status().as_u16(), &server);
                let _ = head.send(AnswerHead::Answer(answer));
                return;
            },
        };
        let (sender, pieces) = mpsc::channel(EVENT_BACKLOG);
        if head.send(AnswerHead::Stream { status, headers: server_headers, pieces }).is_err() {
            self.finish("caller_gone", 0, &stream.entry.id);
            return;
        }
        self.forward_stream(stream, status, sender).await;
    }

    /// Forwards the run's events to the caller until the run ends. Continues with the stream of
    /// another engine when the run is moved.
    async fn forward_stream(
        mut self,
        mut stream: EngineStream,
        status: StatusCode,
        sender: mpsc::Sender<StreamPiece>,
    ) {
        loop {
            let mut destination = None;
            let end = self.read_until_end(&mut stream, &sender, &mut destination).await;
            let server = stream.entry.id.to_string();
            let outcome = match end {
                StreamEnd::Complete => {
                    let sample = stream.sampler.finish();
                    self.state.record_stream_sample(stream.key, sample);
                    if let Some(run) = &mut stream.prompt_run {
                        run.complete();
                    }
                    "complete"
                },
                StreamEnd::CallerGone => "caller_gone",
                StreamEnd::Late => "late",
                StreamEnd::Broken(_) | StreamEnd::Stopped { .. } => {
                    let source = self.ending(&stream);
                    let has_ended = matches!(end, StreamEnd::Broken(Some(ServerLiveness::Ended)));
                    if let StreamEnd::Broken(known) = end
                        && !self.is_leaving(stream.key)
                    {
                        let writing = self.state.now().since(stream.begun_at);
                        let phase = RunPhase::of_stream(writing);
                        self.examine_break(stream.key, phase, writing, known);
                        self.link.report_fault(&self.state, stream.key, EngineFault::Failed);
                    }
                    if !has_ended {
                        self.stop_source(&stream, &destination);
                    }
                    match self.resume(stream, destination, end).await {
                        ResumeOutcome::Resumed(next) => {
                            stream = *next;
                            continue;
                        },
                        ResumeOutcome::NotStopped if self.is_complete_at(&source).await => {
                            match self.send_piece(&sender, StreamPiece::End).await {
                                Ok(()) => "complete",
                                Err(_) => "caller_gone",
                            }
                        },
                        ResumeOutcome::NotStopped | ResumeOutcome::Failed => "broken",
                    }
                },
            };
            // Without `StreamPiece::End`, the connection is closed before the end of the body, which
            // tells the caller that the answer is incomplete.
            self.finish(outcome, status.as_u16(), &server);
            return;
        }
    }

    /// Returns whether a stream that ended while its run was being stopped is complete because the run
    /// had completed before.
    async fn is_complete_at(&self, source: &EndingAnswer) -> bool {
        let left = self.admitted.time_left(self.state.now());
        source.judge(&self.state, false, left).await == EndVerdict::Complete
    }

    /// Examines the engine of an answer that broke off, without delaying the end of the answer.
    fn examine_break(
        &self,
        key: ServerKey,
        phase: RunPhase,
        writing: Duration,
        known: Option<ServerLiveness>,
    ) {
        let broken = BrokenAnswer::new(&self.state, &self.admitted, key, phase, writing);
        let Some(broken) = broken else { return };
        let (state, link) = (Rc::clone(&self.state), Rc::clone(&self.link));
        tokio::task::spawn_local(async move { broken.examine(&state, &link, known).await });
    }

    /// Describes the stream of an engine, for the check of its end.
    fn ending(&self, stream: &EngineStream) -> EndingAnswer {
        EndingAnswer {
            run_stop: stream.run_stop,
            ..self.whole_ending(stream.key, &stream.entry, stream.framing)
        }
    }

    /// Describes an answer of an engine that is not a stream, for the check of its end.
    fn whole_ending(
        &self,
        key: ServerKey,
        entry: &ServerEntry,
        framing: BodyFraming,
    ) -> EndingAnswer {
        EndingAnswer {
            request: self.admitted.id.clone(),
            rule: Arc::clone(&self.admitted.rule),
            key,
            entry: entry.clone(),
            framing,
            run_stop: RunStop::NotStopped,
        }
    }

    /// Records what an engine says of itself in the head of an answer.
    fn note_answer(&self, key: ServerKey, answer: &Response<Incoming>) {
        let (status, headers) = (answer.status(), answer.headers());
        if self.state.note_answer(key, &self.admitted.id, status, headers) {
            self.link.report_leaving(&self.state, key);
        }
    }

    /// Returns whether engines end on the prompt of this run.
    fn is_fatal(&self) -> bool {
        self.admitted.prompt_error(&self.state).is_some()
    }

    fn is_leaving(&self, key: ServerKey) -> bool {
        let directory = self.state.directory.borrow();
        directory.get(key).is_none_or(|record| record.leaving_since.is_some())
    }

    /// Returns the current size of the run. Generated tokens count as prompt tokens, because they
    /// occupy memory already.
    fn run_weight(&self) -> RunWeight {
        let generated = (self.events * TOKENS_PER_EVENT) as u32;
        let RunWeight { prompt, output } = self.admitted.weight;
        RunWeight { prompt: prompt + generated, output: output.saturating_sub(generated) }
    }

    /// Forwards the events that some bytes of the stream complete.
    ///
    /// # Errors
    ///
    /// Returns how the stream ends if the caller does not take an event, or if an event exceeds the limit
    /// or the memory that is left.
    async fn forward_data(
        &mut self,
        stream: &mut EngineStream,
        sender: &mpsc::Sender<StreamPiece>,
        data: &[u8],
    ) -> Result<(), StreamEnd> {
        // While a caller reads slowly, much data arrives at once; only what is scanned is copied.
        for part in data.chunks(SCANNED_BYTES) {
            let fits = self.splitter.push(part) && self.buffer.set_pending(self.splitter.memory());
            if !fits {
                return Err(StreamEnd::Broken(None));
            }
            while let Some(event) = self.splitter.next_event() {
                self.forward_event(stream, sender, event).await?;
            }
        }
        self.splitter.compact();
        // Not more than before, so that it fits.
        self.buffer.set_pending(self.splitter.memory());
        Ok(())
    }

    /// Forwards one event unless its id shows that it was forwarded before.
    ///
    /// # Errors
    ///
    /// Returns how the stream ends if the caller does not take the event.
    async fn forward_event(
        &mut self,
        stream: &mut EngineStream,
        sender: &mpsc::Sender<StreamPiece>,
        event: StreamEvent,
    ) -> Result<(), StreamEnd> {
        if let (Some(id), Some(last)) = (&event.id, &self.last_event)
            && let (Ok(id), Ok(last)) = (id.parse::<u64>(), last.parse::<u64>())
            && id <= last
        {
            return Ok(());
        }
        let now = self.state.now();
        if self.events == 0 {
            let first = now.since(self.admitted.arrived_at);
            self.state.telemetry.first_answer.observe(first.as_secs_f64());
            self.first_event_after = Some(first);
        } else {
            let gap = now.since(self.last_event_at);
            self.state.telemetry.event_gap.observe(gap.as_secs_f64());
            self.longest_gap = self.longest_gap.max(gap);
        }
        let sample = stream.sampler.record_event(now);
        self.state.record_stream_sample(stream.key, sample);
        if let Some(clock) = &mut stream.clock {
            clock.count_event(&self.state, &self.link);
        }
        stream.load.answer_begun();
        stream.load.add_output(TOKENS_PER_EVENT);
        self.last_event_at = now;
        if let Some(run) = &mut stream.prompt_run {
            run.part_arrived();
        }
        if sender.capacity() == 0 || self.buffer.is_full(event.bytes.len()) {
            // The caller reads more slowly than the engine writes.
            stream.sampler.interrupt();
        }
        self.send_piece(sender, StreamPiece::Data(event.bytes)).await?;
        // Not before: if sending is given up, the run goes on with this event elsewhere.
        self.events += 1;
        if event.id.is_some() {
            self.last_event = event.id;
        }
        Ok(())
    }

    /// Passes a part of the body on to the caller, who may read slowly, until the deadline.
    async fn send_piece(
        &self,
        sender: &mpsc::Sender<StreamPiece>,
        piece: StreamPiece,
    ) -> Result<(), StreamEnd> {
        let left = self.admitted.time_left(self.state.now());
        let sending = async {
            let piece = match piece {
                StreamPiece::Data(bytes) => StreamPiece::Data(self.buffer.hold(&bytes).await),
                StreamPiece::End => StreamPiece::End,
            };
            sender.send(piece).await
        };
        match tokio::time::timeout(left, sending).await {
            Ok(Ok(())) => Ok(()),
            Ok(Err(_)) => Err(StreamEnd::CallerGone),
            Err(_) => Err(StreamEnd::Late),
        }
    }

    fn finish(&mut self, outcome: &str, status: u16, server: &str) {
        self.is_finished = true;
        if let Some(length) = AnswerLength::of(&self.state, &self.admitted) {
            match outcome {
                "complete" => length.record(true),
                "caller_gone" | "late" if self.events > 0 => length.record(false),
                _ => {},
            }
        }
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
                &self.first_event_after.map_or(0, |first| first.as_millis()),
                &self.longest_gap.as_millis(),
                &self.state.now().since(self.admitted.arrived_at).as_millis(),
            ],
        );
    }
}

/// Outcome of sending a request to an engine; `None` if the engine may no longer get it.
type SentRequest = Result<Option<(Response<Incoming>, Exchange)>, ExchangeFault>;

/// Returns the name of an outcome in logs: the status, or the name of the fault.
fn outcome_name(sent: &SentRequest) -> String {
    match sent {
        Ok(Some((response, _))) => response.status().as_str().to_owned(),
        Ok(None) => "withheld".to_owned(),
        Err(fault) => fault.name().to_owned(),
    }
}
