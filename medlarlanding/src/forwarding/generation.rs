//! Generations on model engines: one run per request, moved while its engine leaves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::admit::{AdmittedRequest, retry_after};
use super::answer::{CallerAnswer, OwnAnswer, pass_on};
use super::engine_calls::{MOVE_TIMEOUT, MoveAnswer, MoveCall, release_copy};
use super::peer_link::PeerLink;
use super::relay::server_request;
use super::shared::{LoadGuard, Placement, SharedState};
use super::stream_events::{EventSplitter, StreamPiece};
use crate::answer_body::{AnswerBody, StreamCut, TaskGuard};
use crate::exchange::{self, Exchange, ExchangeFault};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    MovePlan, MoveStep, PatienceParams, PatienceStep, PlacePurpose, PlacementRequest,
    RepeatPurpose, RunPatience, RunWeight, ServerEntry, ServerKey,
};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{
    AnswerProof, RunContinuation, check_answer, promises_not_run,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use tokio::sync::{mpsc, oneshot, watch};

/// Events that wait for a slow caller.
const PIECE_BACKLOG: usize = 16;
/// Period in which a run that waits asks for room.
const ROOM_PERIOD: Duration = Duration::from_millis(40);
/// Servers that refuse or cannot be reached before the request is given up.
const UNSENT_LIMIT: u32 = 4;
/// Sends of a moved run before it is given up.
const RESUME_LIMIT: u32 = 4;
/// Pause before a moved run is sent again.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Longest answer of an engine that is no stream in bytes.
const WHOLE_ANSWER_LIMIT: usize = 64 << 10;
/// After a run was stopped for a move its stream ends within this time.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

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

/// A copy of the run's memory at another engine. A complete copy that is not used is freed when
/// this is dropped.
struct RunDestination {
    key: ServerKey,
    entry: ServerEntry,
    /// Handle of the newest complete copy.
    handle: Option<String>,
    /// Memory that the copy takes there.
    _load: LoadGuard,
    /// Engine that the memory came from.
    source: SocketAddr,
}

impl Drop for RunDestination {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            tokio::task::spawn_local(release_copy(self.source, handle));
        }
    }
}

/// What ended the reading of a stream.
enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The connection broke.
    Broken,
    /// The run was stopped to go on elsewhere.
    Stopped,
    /// The time ran out.
    Late,
    /// The caller has left.
    CallerGone,
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

    async fn start(&mut self) -> Result<(RunPlace, StatusCode, hyper::HeaderMap), StartEnd> {
        let mut tried: Vec<ServerKey> = Vec::new();
        loop {
            let now = self.state.now();
            let time_left = self.admitted.time_left(now);
            if time_left.is_zero() {
                return Err(StartEnd::Own(OwnAnswer::LateUnsent));
            }
            let zone = Arc::from(self.state.settings.zone.as_str());
            let (key, entry) = self.choose_start(&tried, &zone).await.map_err(StartEnd::Own)?;
            if !tried.is_empty()
                && !self.state.try_repeat(&self.admitted.service, RepeatPurpose::Restart)
            {
                return Err(StartEnd::Own(OwnAnswer::ServersFull));
            }
            tried.push(key);
            let load = LoadGuard::begin(&self.state, key, self.admitted.weight);
            let request = server_request(
                &self.admitted,
                &entry.id,
                time_left,
                Some(self.admitted.priority),
                None,
            );
            let sent = exchange::send(entry.address, request, time_left).await;
            let elapsed = self.state.now().since(now);
            let outcome = match &sent {
                Ok((response, _)) => response.status().as_str().to_owned(),
                Err(fault) => format!("{fault:?}"),
            };
            event(
                EventKind::RequestSent,
                &[
                    &self.admitted.id,
                    &self.admitted.rule.name,
                    &entry.id,
                    &tried.len(),
                    &time_left.as_millis(),
                    &outcome,
                    &elapsed.as_millis(),
                    &self.admitted.config_version,
                ],
            );
            let (response, exchange) = match sent {
                Ok(sent) => sent,
                Err(ExchangeFault::NotConnected) => {
                    self.note_failure(key, &entry, "not_connected");
                    if tried.len() as u32 >= UNSENT_LIMIT {
                        return Err(StartEnd::Own(OwnAnswer::ServersFull));
                    }
                    continue;
                },
                Err(ExchangeFault::Broken) => {
                    self.note_failure(key, &entry, "broken");
                    return Err(StartEnd::Own(OwnAnswer::AnswerLost));
                },
                Err(ExchangeFault::TimedOut) => {
                    self.note_failure(key, &entry, "timed_out");
                    return Err(StartEnd::Own(OwnAnswer::LateSent));
                },
            };
            let (parts, body) = response.into_parts();
            match check_answer(parts.status, &parts.headers, &self.admitted.id) {
                AnswerProof::NotRun => {
                    if tried.len() as u32 >= UNSENT_LIMIT {
                        return Err(StartEnd::Own(OwnAnswer::ServersFull));
                    }
                    continue;
                },
                AnswerProof::Foreign => return Err(StartEnd::Own(OwnAnswer::AnswerLost)),
                AnswerProof::Stamped | AnswerProof::Unstamped => {},
            }
            if promises_not_run(parts.status) {
                return Err(StartEnd::Own(OwnAnswer::AnswerLost));
            }
            if !parts.status.is_success() {
                let answer = self.whole_answer(parts.status, &parts.headers, body).await;
                return Err(answer.map_or(StartEnd::Own(OwnAnswer::AnswerLost), |answer| {
                    StartEnd::Server(answer, entry.id.to_string())
                }));
            }
            self.state.directory.borrow_mut().record_success(key);
            let is_framed = is_framed(&parts.headers);
            let place = RunPlace { key, entry, body, is_framed, _exchange: exchange, load };
            return Ok((place, parts.status, parts.headers));
        }
    }

    /// Reads a whole answer that is not a stream.
    async fn whole_answer(
        &self,
        status: StatusCode,
        server_headers: &hyper::HeaderMap,
        body: Incoming,
    ) -> Option<CallerAnswer> {
        let left = self.admitted.time_left(self.state.now());
        let reading = Limited::new(body, WHOLE_ANSWER_LIMIT).collect();
        let collected = tokio::time::timeout(left, reading).await.ok()?.ok()?;
        Some(pass_on(status, server_headers, AnswerBody::Whole(Some(collected.to_bytes()))))
    }

    fn note_failure(&self, key: ServerKey, entry: &ServerEntry, fault: &'static str) {
        self.state.telemetry.faults.with_label_values(&[fault]).inc();
        if self.state.directory.borrow_mut().record_failure(self.state.now(), key) {
            event(EventKind::ServerSuspected, &[&entry.id, &fault]);
        }
    }

    /// Chooses an engine for the start; waits for room as long as its caller does.
    async fn choose_start(
        &self,
        tried: &[ServerKey],
        zone: &Arc<str>,
    ) -> Result<(ServerKey, ServerEntry), OwnAnswer> {
        let arrived_at = self.admitted.arrived_at;
        let patience = RunPatience::new(
            PatienceParams::default(),
            arrived_at,
            self.admitted.rule.objective,
            self.admitted.time_left(arrived_at),
            self.admitted.weight.prompt,
        );
        loop {
            let (purpose, due) = patience.question(self.state.now());
            match self.choose(purpose, tried, zone, due).await {
                Placement::Server(key) => {
                    return self.entry_of(key).ok_or(OwnAnswer::NoServer);
                },
                Placement::Nowhere if tried.is_empty() => return Err(OwnAnswer::NoServer),
                Placement::Nowhere => return Err(OwnAnswer::ServersFull),
                Placement::Full(ahead) => match patience.after_full(self.state.now(), ahead) {
                    PatienceStep::Wait => {
                        let pause = ROOM_PERIOD.mul_f64(0.75 + self.state.draw() / 2.0);
                        tokio::time::sleep(pause).await;
                    },
                    PatienceStep::RefuseEarly => {
                        self.note_refusal("others_first", ahead);
                        return Err(OwnAnswer::Overloaded);
                    },
                    PatienceStep::RefuseLate => {
                        self.note_refusal("waited", ahead);
                        return Err(OwnAnswer::Overloaded);
                    },
                },
            }
        }
    }

    fn note_refusal(&self, reason: &'static str, ahead: u16) {
        let now = self.state.now();
        let keeper = self.state.peers.borrow().keeper(now).unwrap_or(self.state.settings.peers);
        event(
            EventKind::RunRefused,
            &[
                &self.admitted.id,
                &self.admitted.rule.name,
                &reason,
                &ahead,
                &now.since(self.admitted.arrived_at).as_millis(),
                &keeper,
            ],
        );
    }

    fn entry_of(&self, key: ServerKey) -> Option<(ServerKey, ServerEntry)> {
        Some((key, self.state.directory.borrow().get(key)?.entry.clone()))
    }

    /// Asks the instance that places generations, or decides here when it does not answer.
    async fn choose(
        &self,
        purpose: PlacePurpose,
        excluded: &[ServerKey],
        zone: &Arc<str>,
        due: Duration,
    ) -> Placement {
        let request = PlacementRequest {
            service: &self.admitted.service,
            memory_tokens: self.admitted.engine.map(|engine| engine.memory_tokens),
            weight: self.run_weight(),
            excluded,
            zone,
            due: (purpose == PlacePurpose::Start).then_some(due),
            is_urgent: self.admitted.priority == 0,
        };
        let run = stable_hash(self.admitted.id.as_bytes());
        self.link.place(&self.state, purpose, run, &self.admitted.service, &request).await
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

    async fn read_until_end(
        &mut self,
        place: &mut RunPlace,
        sender: &mpsc::Sender<Result<Bytes, StreamCut>>,
        destination: &mut Option<RunDestination>,
    ) -> StreamEnd {
        let mut plan: Option<MovePlan> = None;
        let mut call: Option<MoveCall> = None;
        let mut refused: Vec<ServerKey> = vec![place.key];
        loop {
            let now = self.state.now();
            if plan.is_none() {
                plan = self.notice(place);
            }
            let mut wake_at = self.admitted.deadline;
            if let (Some(plan), None) = (&mut plan, &call) {
                match plan.next(now) {
                    MoveStep::Stay => {},
                    MoveStep::Wait(until) => wake_at = wake_at.min(until),
                    MoveStep::Copy => {
                        call = self.begin_copy(place, destination, &refused).await;
                        plan.copy_begun();
                        if call.is_none() {
                            self.note_move(place, destination, "no_room");
                            plan.refused(now);
                        }
                        continue;
                    },
                    MoveStep::Finish => {
                        if let Some(target) = &destination {
                            call = Some(self.move_call(place, target.entry.address, true));
                        }
                    },
                }
            }
            let answered = tokio::select! {
                biased;
                frame = place.body.frame() => {
                    match frame {
                        Some(Ok(frame)) => {
                            let Ok(data) = frame.into_data() else { continue };
                            if !self.splitter.push(&data) {
                                return StreamEnd::Broken;
                            }
                            while let Some(piece) = self.splitter.next_piece() {
                                if !self.pass_on(place, sender, piece).await {
                                    return StreamEnd::CallerGone;
                                }
                            }
                            continue;
                        },
                        Some(Err(_)) => {
                            return match call.take() {
                                Some(call) if call.is_last => {
                                    self.last_move = Some(call);
                                    StreamEnd::Stopped
                                },
                                Some(call) => self.await_move(call, destination).await,
                                None => StreamEnd::Broken,
                            };
                        },
                        None => {
                            let rest = self.splitter.take_rest();
                            // The end of a framed body is the end of the answer, also while
                            // the run is being stopped.
                            if let Some(call) = call.take_if(|call| call.is_last && !place.is_framed)
                            {
                                self.last_move = Some(call);
                                return StreamEnd::Stopped;
                            }
                            if !rest.is_empty() && sender.send(Ok(rest)).await.is_err() {
                                return StreamEnd::CallerGone;
                            }
                            return StreamEnd::Complete;
                        },
                    }
                },
                answer = wait_for_move(&mut call), if call.is_some() => answer,
                _ = self.changes.changed(), if plan.is_none() => continue,
                () = sender.closed() => return StreamEnd::CallerGone,
                () = sleep_until(&self.state, wake_at) => {
                    if self.state.now() >= self.admitted.deadline {
                        return StreamEnd::Late;
                    }
                    continue;
                },
            };
            let is_last = call.take().is_some_and(|call| call.is_last);
            let Some(plan) = &mut plan else { continue };
            match answered {
                MoveAnswer::Copied(copy) => {
                    let target = destination.as_mut();
                    event(
                        EventKind::RunCopied,
                        &[
                            &self.admitted.id,
                            &place.entry.id,
                            &target.as_ref().map_or("", |target| &target.entry.id),
                            &if is_last { "last" } else { "copied" },
                            &self.events,
                        ],
                    );
                    if let Some(target) = target {
                        target.handle = Some(copy.handle);
                    }
                    plan.copy_done();
                    if is_last {
                        return self.drain_stopped(place, sender).await;
                    }
                },
                MoveAnswer::NoRun
                | MoveAnswer::Failed
                | MoveAnswer::Rejected(_)
                | MoveAnswer::Refused(None) => {
                    self.note_move(place, destination, answered.name());
                    if let Some(target) = destination.take_if(|_| !is_last) {
                        refused.push(target.key);
                    }
                    plan.refused(self.state.now());
                },
                MoveAnswer::Refused(Some(handle)) => {
                    self.note_move(place, destination, "refused");
                    if is_last {
                        // The run was stopped and its source keeps the memory under the handle
                        // of the copy, which must not be freed.
                        if let Some(target) = destination {
                            target.handle = None;
                        }
                        let load = LoadGuard::begin(&self.state, place.key, self.run_weight());
                        *destination = Some(RunDestination {
                            key: place.key,
                            entry: place.entry.clone(),
                            handle: Some(handle),
                            _load: load,
                            source: place.entry.address,
                        });
                        return self.drain_stopped(place, sender).await;
                    }
                    if let Some(target) = destination.take() {
                        refused.push(target.key);
                    }
                    plan.refused(self.state.now());
                },
            }
        }
    }

    /// Begins a plan if the engine leaves and its runs can be moved.
    fn notice(&self, place: &RunPlace) -> Option<MovePlan> {
        let can_move = self.admitted.engine.is_some_and(|engine| engine.can_move);
        let leaving = self.state.directory.borrow().get(place.key)?.leaving_since?;
        (can_move && self.events > 0).then(|| MovePlan::new(self.state.move_params, leaving))
    }

    async fn begin_copy(
        &self,
        place: &RunPlace,
        destination: &mut Option<RunDestination>,
        refused: &[ServerKey],
    ) -> Option<MoveCall> {
        let zone = &place.entry.zone;
        let purpose = if refused.len() > 1 { PlacePurpose::MoveAgain } else { PlacePurpose::Move };
        let Placement::Server(key) = self.choose(purpose, refused, zone, Duration::ZERO).await
        else {
            return None;
        };
        let (key, entry) = self.entry_of(key)?;
        let address = entry.address;
        event(EventKind::MoveBegun, &[&self.admitted.id, &place.entry.id, &entry.id, &self.events]);
        let mut load = LoadGuard::begin(&self.state, key, self.run_weight());
        load.begun();
        *destination = Some(RunDestination {
            key,
            entry,
            handle: None,
            _load: load,
            source: place.entry.address,
        });
        Some(self.move_call(place, address, false))
    }

    /// What the run takes at an engine by now.
    fn run_weight(&self) -> RunWeight {
        let made = (self.events * TOKENS_PER_EVENT) as u32;
        let RunWeight { prompt, output } = self.admitted.weight;
        RunWeight { prompt: prompt + made, output: output.saturating_sub(made) }
    }

    fn move_call(&self, place: &RunPlace, to: SocketAddr, is_last: bool) -> MoveCall {
        MoveCall::begin(place.entry.address, &self.admitted.id, to, is_last)
    }

    fn note_move(
        &self,
        place: &RunPlace,
        destination: &Option<RunDestination>,
        outcome: &'static str,
    ) {
        self.state.telemetry.moves.with_label_values(&[outcome]).inc();
        event(
            EventKind::RunCopied,
            &[
                &self.admitted.id,
                &place.entry.id,
                &destination.as_ref().map_or("", |target| &target.entry.id),
                &outcome,
                &self.events,
            ],
        );
    }

    /// Waits for a move whose stream has already ended.
    async fn await_move(
        &mut self,
        mut call: MoveCall,
        destination: &mut Option<RunDestination>,
    ) -> StreamEnd {
        let answer = tokio::time::timeout(MOVE_TIMEOUT, call.answer()).await;
        if let Ok(MoveAnswer::Copied(copy)) = answer
            && let Some(target) = destination
        {
            target.handle = Some(copy.handle);
            return StreamEnd::Stopped;
        }
        StreamEnd::Broken
    }

    /// Passes on what a stopped run had made.
    async fn drain_stopped(
        &mut self,
        place: &mut RunPlace,
        sender: &mpsc::Sender<Result<Bytes, StreamCut>>,
    ) -> StreamEnd {
        let draining = async {
            while let Some(Ok(frame)) = place.body.frame().await {
                let Ok(data) = frame.into_data() else { continue };
                if !self.splitter.push(&data) {
                    break;
                }
                while let Some(piece) = self.splitter.next_piece() {
                    if !self.pass_on(place, sender, piece).await {
                        return StreamEnd::CallerGone;
                    }
                }
            }
            StreamEnd::Stopped
        };
        tokio::time::timeout(STOP_TIMEOUT, draining).await.unwrap_or(StreamEnd::Stopped)
    }

    /// Continues a run with a copy of its memory.
    async fn resume(
        &mut self,
        place: RunPlace,
        destination: Option<RunDestination>,
        is_stopped: bool,
    ) -> Option<RunPlace> {
        let RunPlace { key: source_key, entry: source, load, .. } = place;
        drop(load);
        self.splitter = EventSplitter::default();
        let mut destination = destination?;
        let (key, entry) = (destination.key, destination.entry.clone());
        let handle = destination.handle.take()?;
        drop(destination);
        let continuation =
            RunContinuation { source: source.address, handle, last_event: self.last_event.clone() };
        let mut targets = vec![(key, entry)];
        if is_stopped && key != source_key {
            targets.push((source_key, source.clone()));
        }
        for attempt in 0..RESUME_LIMIT {
            let (key, entry) = &targets[attempt as usize % targets.len()];
            let now = self.state.now();
            let time_left = self.admitted.time_left(now);
            if time_left.is_zero() {
                return None;
            }
            let load = LoadGuard::begin(&self.state, *key, self.run_weight());
            let request = server_request(
                &self.admitted,
                &entry.id,
                time_left,
                Some(self.admitted.priority),
                Some(&continuation),
            );
            let sent = exchange::send(entry.address, request, time_left).await;
            let outcome = match &sent {
                Ok((response, _)) => response.status().as_str().to_owned(),
                Err(fault) => format!("{fault:?}"),
            };
            event(
                EventKind::RunResumed,
                &[
                    &self.admitted.id,
                    &source.id,
                    &entry.id,
                    &outcome,
                    &self.state.now().since(now).as_millis(),
                    &self.last_event.as_deref().unwrap_or(""),
                ],
            );
            match sent {
                Ok((response, exchange)) => {
                    let (parts, body) = response.into_parts();
                    let proof = check_answer(parts.status, &parts.headers, &self.admitted.id);
                    if parts.status.is_success() && proof != AnswerProof::Foreign {
                        self.moves += 1;
                        self.state.telemetry.moves.with_label_values(&["resumed"]).inc();
                        let entry = entry.clone();
                        return Some(RunPlace {
                            key: *key,
                            entry,
                            body,
                            is_framed: is_framed(&parts.headers),
                            _exchange: exchange,
                            load,
                        });
                    }
                    if proof != AnswerProof::NotRun {
                        return None;
                    }
                },
                Err(ExchangeFault::NotConnected) => {},
                Err(_) => return None,
            }
            match self.last_move.take() {
                // The destination takes the run only once its last part has arrived.
                Some(mut call) => {
                    let _ = tokio::time::timeout(MOVE_TIMEOUT, call.answer()).await;
                },
                None => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
        None
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

/// Tells whether the end of a body is marked by its length or its last chunk.
fn is_framed(headers: &hyper::HeaderMap) -> bool {
    headers.contains_key(TRANSFER_ENCODING) || headers.contains_key(CONTENT_LENGTH)
}

/// Tokens of one event where the configuration does not say; engines of today's installations
/// put four into each.
const TOKENS_PER_EVENT: u64 = 4;

/// Why a run did not start.
enum StartEnd {
    Own(OwnAnswer),
    Server(CallerAnswer, String),
}

async fn wait_for_move(call: &mut Option<MoveCall>) -> MoveAnswer {
    match call {
        Some(call) => call.answer().await,
        None => std::future::pending().await,
    }
}

async fn sleep_until(state: &SharedState, until: Timestamp) {
    tokio::time::sleep(until.since(state.now())).await;
}
