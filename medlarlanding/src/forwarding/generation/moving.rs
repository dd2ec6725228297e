//! The way of a running generation: reads its stream and moves it while its engine leaves.

use std::net::SocketAddr;
use std::time::Duration;

use super::{GenerationRun, RunPlace, is_framed, outcome_name};
use crate::answer_body::StreamCut;
use crate::exchange::{self, ExchangeFault};
use crate::forwarding::engine_calls::{MOVE_TIMEOUT, MoveAnswer, MoveCall, release_copy};
use crate::forwarding::load_guard::LoadGuard;
use crate::forwarding::relay::server_request;
use crate::forwarding::shared::{Placement, SharedState};
use crate::forwarding::stream_events::EventSplitter;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{MovePlan, MoveStep, PlacePurpose, ServerEntry, ServerKey};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{AnswerProof, RunContinuation, check_answer};

use bytes::Bytes;
use http_body_util::BodyExt;
use tokio::sync::mpsc;

/// Sends of a moved run before it is given up.
const RESUME_LIMIT: u32 = 4;
/// Pause before a moved run is sent again.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// After a run was stopped for a move its stream ends within this time.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// A copy of the run's memory at another engine. A complete copy that is not used is freed when
/// this is dropped.
pub(super) struct RunDestination {
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
pub(super) enum StreamEnd {
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

impl GenerationRun {
    pub(super) async fn read_until_end(
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
    pub(super) async fn resume(
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
            let outcome = outcome_name(&sent);
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
                // The destination takes the run only once its last part has arrived. However the
                // call ends, the next send shows whether it did.
                Some(mut call) => {
                    let _ = tokio::time::timeout(MOVE_TIMEOUT, call.answer()).await;
                },
                None => tokio::time::sleep(RESUME_PAUSE).await,
            }
        }
        None
    }
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
