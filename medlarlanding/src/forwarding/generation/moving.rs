//! Forwards the stream of a running generation and moves the run if its engine is leaving.

use std::net::SocketAddr;
use std::time::Duration;

use super::{EngineStream, GenerationRun, outcome_name};
use crate::answer_body::StreamPiece;
use crate::exchange::{self, BodyFraming, ExchangeFault};
use crate::forwarding::engine_calls::{
    MOVE_TIMEOUT, MoveAnswer, MoveCall, STOP_PAUSE, release_copy,
};
use crate::forwarding::evacuations::SendPurpose;
use crate::forwarding::load_guard::LoadGuard;
use crate::forwarding::placing::Placement;
use crate::forwarding::prompt_runs::PromptRun;
use crate::forwarding::relay::server_request;
use crate::forwarding::shared::SharedState;
use crate::forwarding::stream_events::{EventSplitter, has_events};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EndVerdict, EngineFault, LatencyClass, MovePlan, MoveStep, PlacePurpose, RunStop, ServerEntry,
    ServerKey, ServerLiveness, StopOutcome, StreamSampler,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{AnswerCheck, RunContinuation, check_answer};

use http_body_util::BodyExt;
use hyper::StatusCode;
use tokio::sync::mpsc;

/// Number of attempts to resume a moved run.
const RESUME_LIMIT: u32 = 4;
/// Pause between two attempts to resume a moved run.
const RESUME_PAUSE: Duration = Duration::from_millis(20);
/// Longest time for which a run waits for the remainder of its memory. Callers give a stream up after a
/// pause of two seconds.
const COPY_WAIT: Duration = Duration::from_millis(1500);
/// Longest time for which a moved run waits for an engine that wants no requests. Callers give a stream up
/// after a pause of two seconds.
const RESUME_DELAY_LIMIT: Duration = Duration::from_secs(1);
/// An engine that has not begun the answer to a moved run after this time admits no requests; usually
/// it takes 20 to 150 ms.
const RESUME_SILENCE: Duration = Duration::from_millis(500);
/// Time limit for the stream to end after its run was stopped for a move.
const STOP_TIMEOUT: Duration = Duration::from_millis(500);

/// Engine that a run moves to, with the copy of the run's memory. Dropping it frees a complete copy
/// that was not used.
pub(super) struct RunDestination {
    key: ServerKey,
    entry: ServerEntry,
    /// Handle of the latest complete copy; `None` before the first.
    handle: Option<String>,
    /// Counts the memory that the copy occupies at the engine.
    _load: LoadGuard,
    /// Engine from which the memory is copied.
    source: SocketAddr,
}

impl Drop for RunDestination {
    fn drop(&mut self) {
        if let Some(handle) = self.handle.take() {
            tokio::task::spawn_local(release_copy(self.source, handle));
        }
    }
}

/// Result of resuming a run.
pub(super) enum ResumeOutcome {
    /// The run continues with this stream.
    Resumed(Box<EngineStream>),
    /// The run cannot be resumed. Its engine did not know it any more when it was to be stopped, so it
    /// may have completed before.
    NotStopped,
    /// The run cannot be resumed.
    Failed,
}

/// Reason why a stream is no longer read.
pub(super) enum StreamEnd {
    /// The stream is complete.
    Complete,
    /// The answer broke off or an event exceeded the limit. Contains the state of the engine if it is
    /// known.
    Broken(Option<ServerLiveness>),
    /// The run was stopped, or may have been, and continues on another engine, or on the same one if
    /// the move was refused.
    Stopped {
        /// The stream ended as that of a complete run does, while the call that was to stop the run
        /// was not answered. An engine that does not know the run had completed it.
        may_be_complete: bool,
    },
    /// The deadline has passed.
    Late,
    /// The caller has disconnected.
    CallerGone,
}

impl GenerationRun {
    /// Forwards the events of one stream until it ends. If the engine is leaving, also copies the
    /// run's memory to another engine while the run continues, then stops the run and copies the
    /// remainder. `destination` is set to the engine with the copy.
    pub(super) async fn read_until_end(
        &mut self,
        stream: &mut EngineStream,
        sender: &mpsc::Sender<StreamPiece>,
        destination: &mut Option<RunDestination>,
    ) -> StreamEnd {
        let mut plan: Option<MovePlan> = None;
        let mut call: Option<MoveCall> = None;
        let mut refused: Vec<ServerKey> = vec![stream.key];
        loop {
            let now = self.state.now();
            // While the stream always has bytes ready, the timer below is never polled.
            if now >= self.admitted.deadline {
                return StreamEnd::Late;
            }
            if plan.is_none() {
                plan = self.plan_move(stream);
                if plan.is_some() {
                    // Copies share the engine and its link with the events.
                    let sample = stream.sampler.stop();
                    self.state.record_stream_sample(stream.key, sample);
                }
            }
            let mut wake_at = self.admitted.deadline;
            if let (Some(plan), None) = (&mut plan, &call) {
                match plan.next(now) {
                    MoveStep::Copy | MoveStep::Finish if self.is_fatal() => {},
                    MoveStep::Stay => {},
                    MoveStep::Wait(until) => wake_at = wake_at.min(until),
                    MoveStep::Finish if self.is_barred(destination) => {
                        // The first copy went to a zone that has been evacuated since.
                        refused.extend(destination.take().map(|target| target.key));
                        plan.copy_lost();
                        continue;
                    },
                    MoveStep::Copy => {
                        call = self.begin_copy(stream, destination, &refused).await;
                        if call.is_some() || self.admitted.latency == LatencyClass::Uniform {
                            plan.copy_begun();
                        }
                        if call.is_none() {
                            self.record_move(stream, destination, "no_room");
                            plan.refused(now);
                        }
                        continue;
                    },
                    MoveStep::Finish => {
                        if let Some(target) = &destination {
                            call = Some(self.move_call(stream, target.entry.address, true));
                        }
                    },
                }
            }
            let answer = tokio::select! {
                biased;
                frame = stream.body.frame() => {
                    match frame {
                        Some(Ok(frame)) => {
                            let Ok(data) = frame.into_data() else { continue };
                            if let Err(end) = self.forward_data(stream, sender, &data).await {
                                return end;
                            }
                            continue;
                        },
                        Some(Err(_)) => {
                            return self.await_copy(call.take(), destination, None).await;
                        },
                        None => {
                            let is_within_event =
                                stream.has_events && self.splitter.is_within_event();
                            let rest = self.splitter.take_rest();
                            let is_delimited = stream.framing == BodyFraming::Delimited;
                            // The end of a delimited body is the end of the answer, even while the
                            // run is being stopped.
                            if let Some(call) = call.take_if(|call| call.is_final && !is_delimited)
                            {
                                self.final_call = Some(call);
                                return StreamEnd::Stopped { may_be_complete: !is_within_event };
                            }
                            let ending = self.ending(stream);
                            let left = self.admitted.time_left(self.state.now());
                            let verdict = ending.judge(&self.state, is_within_event, left).await;
                            if verdict == EndVerdict::RunStopped {
                                return StreamEnd::Stopped { may_be_complete: false };
                            }
                            if verdict != EndVerdict::Complete {
                                let known = verdict.liveness();
                                return self.await_copy(call.take(), destination, known).await;
                            }
                            if !rest.is_empty()
                                && let Err(end) = self.send_piece(sender, StreamPiece::Data(rest)).await
                            {
                                return end;
                            }
                            return match self.send_piece(sender, StreamPiece::End).await {
                                Ok(()) => StreamEnd::Complete,
                                Err(end) => end,
                            };
                        },
                    }
                },
                answer = wait_for_move(&mut call), if call.is_some() => answer,
                _ = self.directory_changes.changed(), if plan.is_none() => continue,
                () = sender.closed() => return StreamEnd::CallerGone,
                () = sleep_until(&self.state, wake_at) => continue,
            };
            let is_final = call.take().is_some_and(|call| call.is_final);
            if is_final {
                stream.run_stop = stream.run_stop.after(answer.stop_outcome());
            }
            let Some(plan) = &mut plan else { continue };
            match answer {
                MoveAnswer::Copied(copy) => {
                    let target = destination.as_mut();
                    event(
                        EventKind::RunCopied,
                        &[
                            &self.admitted.id,
                            &stream.entry.id,
                            &target.as_ref().map_or("", |target| &target.entry.id),
                            &if is_final { "last" } else { "copied" },
                            &self.events,
                        ],
                    );
                    if let Some(target) = target {
                        target.handle = Some(copy.handle);
                    }
                    plan.copy_done();
                    if is_final {
                        return self.drain_stopped(stream, sender).await;
                    }
                },
                MoveAnswer::NoRun
                | MoveAnswer::NotSent
                | MoveAnswer::Failed
                | MoveAnswer::Rejected(_)
                | MoveAnswer::Refused(None) => {
                    self.record_move(stream, destination, answer.name());
                    if let Some(target) = destination.take_if(|_| !is_final) {
                        refused.push(target.key);
                    }
                    plan.refused(self.state.now());
                },
                MoveAnswer::Refused(Some(handle)) => {
                    self.record_move(stream, destination, "refused");
                    if is_final {
                        // The run was stopped, and its engine keeps the memory under the handle of
                        // the copy, which therefore must not be freed.
                        if let Some(target) = destination {
                            target.handle = None;
                        }
                        let load = LoadGuard::begin(&self.state, stream.key, self.run_weight());
                        *destination = Some(RunDestination {
                            key: stream.key,
                            entry: stream.entry.clone(),
                            handle: Some(handle),
                            _load: load,
                            source: stream.entry.address,
                        });
                        return self.drain_stopped(stream, sender).await;
                    }
                    if let Some(target) = destination.take() {
                        refused.push(target.key);
                    }
                    plan.refused(self.state.now());
                },
            }
        }
    }

    /// Creates a plan if the engine is leaving, its runs can be moved, the run has produced events,
    /// and engines do not end on its prompt.
    fn plan_move(&self, stream: &EngineStream) -> Option<MovePlan> {
        let can_move = self.admitted.engine.is_some_and(|engine| engine.can_move);
        let leaving = self.state.directory.borrow().get(stream.key)?.leaving_since?;
        (can_move && self.events > 0 && !self.is_fatal())
            .then(|| MovePlan::new(self.state.move_params, leaving))
    }

    async fn begin_copy(
        &self,
        stream: &EngineStream,
        destination: &mut Option<RunDestination>,
        refused: &[ServerKey],
    ) -> Option<MoveCall> {
        let zone = &stream.entry.zone;
        let purpose = if refused.len() > 1 { PlacePurpose::MoveAgain } else { PlacePurpose::Move };
        let Placement::Server(key) = self.choose(purpose, refused, zone, Duration::ZERO).await
        else {
            return None;
        };
        let (key, entry) = self.entry_of(key)?;
        let address = entry.address;
        event(
            EventKind::MoveBegun,
            &[&self.admitted.id, &stream.entry.id, &entry.id, &self.events],
        );
        let mut load = LoadGuard::begin(&self.state, key, self.run_weight());
        load.answer_begun();
        *destination = Some(RunDestination {
            key,
            entry,
            handle: None,
            _load: load,
            source: stream.entry.address,
        });
        Some(self.move_call(stream, address, false))
    }

    /// Returns whether the engine with the copy no longer takes the run because its zone is evacuated.
    fn is_barred(&self, destination: &Option<RunDestination>) -> bool {
        let target = destination.as_ref();
        target.is_some_and(|target| self.state.is_evacuated_for_long(target.key))
    }

    fn move_call(&self, stream: &EngineStream, to: SocketAddr, is_final: bool) -> MoveCall {
        MoveCall::begin(stream.entry.address, &self.admitted.id, to, is_final)
    }

    fn record_move(
        &self,
        stream: &EngineStream,
        destination: &Option<RunDestination>,
        outcome: &'static str,
    ) {
        self.state.telemetry.moves.with_label_values(&[outcome]).inc();
        event(
            EventKind::RunCopied,
            &[
                &self.admitted.id,
                &stream.entry.id,
                &destination.as_ref().map_or("", |target| &target.entry.id),
                &outcome,
                &self.events,
            ],
        );
    }

    /// Keeps what the move of a run needs after its stream broke off: a call that is to stop the run, or
    /// the first copy, for which it waits. The run can resume from it. `known` is the state of the
    /// engine.
    async fn await_copy(
        &mut self,
        call: Option<MoveCall>,
        destination: &mut Option<RunDestination>,
        known: Option<ServerLiveness>,
    ) -> StreamEnd {
        match call {
            Some(call) if call.is_final => {
                self.final_call = Some(call);
                StreamEnd::Stopped { may_be_complete: false }
            },
            Some(mut call) => {
                let answer = tokio::time::timeout(MOVE_TIMEOUT, call.answer()).await;
                if let (Ok(MoveAnswer::Copied(copy)), Some(target)) = (answer, destination) {
                    target.handle = Some(copy.handle);
                }
                StreamEnd::Broken(known)
            },
            None => StreamEnd::Broken(known),
        }
    }

    /// Stops a run whose stream has ended before it resumes elsewhere: its engine may still work on it,
    /// because the break of a connection does not end every run.
    pub(super) fn stop_source(
        &mut self,
        stream: &EngineStream,
        destination: &Option<RunDestination>,
    ) {
        let copied = destination.as_ref().filter(|target| target.handle.is_some());
        let is_open = self.final_call.is_none() && stream.run_stop != RunStop::Stopped;
        if let Some(target) = copied.filter(|_| is_open && !self.is_fatal()) {
            self.final_call = Some(self.move_call(stream, target.entry.address, true));
        }
    }

    /// Forwards the remaining events of a stopped run.
    async fn drain_stopped(
        &mut self,
        stream: &mut EngineStream,
        sender: &mpsc::Sender<StreamPiece>,
    ) -> StreamEnd {
        let draining = async {
            while let Some(Ok(frame)) = stream.body.frame().await {
                let Ok(data) = frame.into_data() else { continue };
                match self.forward_data(stream, sender, &data).await {
                    Ok(()) => {},
                    Err(StreamEnd::Broken(_)) => break,
                    Err(end) => return end,
                }
            }
            StreamEnd::Stopped { may_be_complete: false }
        };
        let stopped = StreamEnd::Stopped { may_be_complete: false };
        tokio::time::timeout(STOP_TIMEOUT, draining).await.unwrap_or(stopped)
    }

    /// Resumes a run from the copy of its memory at the destination. Fails if there is no
    /// copy or the run cannot be resumed.
    ///
    /// If the source may have stopped the run, it is tried as well.
    pub(super) async fn resume(
        &mut self,
        stream: EngineStream,
        destination: Option<RunDestination>,
        end: StreamEnd,
    ) -> ResumeOutcome {
        let (is_stopped, may_be_complete) = match end {
            StreamEnd::Stopped { may_be_complete } => (true, may_be_complete),
            _ => (false, false),
        };
        let EngineStream { key: source_key, entry: source, load, mut run_stop, .. } = stream;
        drop(load);
        self.splitter = EventSplitter::default();
        let Some(mut destination) = destination else { return ResumeOutcome::Failed };
        let (key, entry) = (destination.key, destination.entry.clone());
        let Some(handle) = destination.handle.take() else { return ResumeOutcome::Failed };
        drop(destination);
        let copied_to = entry.clone();
        let mut continuation =
            RunContinuation { source: source.address, handle, last_event: self.last_event.clone() };
        let mut targets = vec![(key, entry)];
        if is_stopped && key != source_key {
            targets.push((source_key, source.clone()));
        }
        let mut next_target = 0;
        for _ in 0..RESUME_LIMIT {
            let (key, entry) = &targets[next_target % targets.len()];
            next_target += 1;
            self.state.wait_for_news().await;
            let now = self.state.now();
            let time_left = self.admitted.time_left(now);
            if time_left.is_zero() || self.is_fatal() {
                return ResumeOutcome::Failed;
            }
            let delay =
                self.state.resume_delay(*key, self.admitted.arrived_at, &self.admitted.regions);
            if delay > RESUME_DELAY_LIMIT.min(time_left) {
                continue;
            }
            if !delay.is_zero() {
                tokio::time::sleep(delay).await;
            }
            let limit = RESUME_DELAY_LIMIT.min(time_left - delay);
            let Some(waited) = self.link.await_cold_share(&self.state, *key, limit).await else {
                continue;
            };
            let delay = (delay + waited).min(time_left);
            let (now, time_left) = (now + delay, time_left - delay);
            let load = LoadGuard::begin(&self.state, *key, self.run_weight());
            let request = server_request(
                &self.admitted,
                &entry.id,
                time_left,
                Some(self.admitted.priority),
                Some(&continuation),
            );
            let mut prompt_run =
                PromptRun::begin(&self.state, &self.link, &self.admitted, (*key, entry), true);
            let may_send = async || self.state.may_send(*key, SendPurpose::Resumed).await;
            let sending = exchange::send_checked(entry.address, request, time_left, may_send);
            let fault = EngineFault::Unresponsive;
            let sent = self.report_silence(*key, RESUME_SILENCE, fault, sending).await;
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
                Ok(None) => {
                    PromptRun::discard(prompt_run);
                    continue;
                },
                Ok(Some((response, exchange))) => {
                    self.note_answer(*key, &response);
                    let framing = BodyFraming::of_response(&response);
                    let (parts, body) = response.into_parts();
                    let check = check_answer(parts.status, &parts.headers, &self.admitted.id);
                    if parts.status.is_success() && check == AnswerCheck::Stamped {
                        self.moves += 1;
                        self.state.telemetry.moves.with_label_values(&["resumed"]).inc();
                        match self.final_call.take() {
                            // A further call would stop the run that the source has resumed.
                            Some(call) if *key == source_key => call.detach(),
                            Some(call) => call.detach_until_stopped(),
                            None => {},
                        }
                        let entry = entry.clone();
                        if let Some(run) = &mut prompt_run {
                            run.answer_begun();
                        }
                        return ResumeOutcome::Resumed(Box::new(EngineStream {
                            key: *key,
                            entry,
                            body,
                            framing,
                            has_events: has_events(&parts.headers),
                            begun_at: self.state.now(),
                            prompt_run,
                            sampler: StreamSampler::disabled(),
                            // A call without an answer may still reach the source.
                            run_stop: match run_stop {
                                RunStop::Possible if *key == source_key => RunStop::Possible,
                                _ => RunStop::NotStopped,
                            },
                            _exchange: exchange,
                            load,
                            clock: None,
                        }));
                    }
                    if check != AnswerCheck::NotRun {
                        return ResumeOutcome::Failed;
                    }
                    PromptRun::discard(prompt_run);
                },
                Err(ExchangeFault::NotConnected) => {
                    PromptRun::discard(prompt_run);
                },
                Err(_) => return ResumeOutcome::Failed,
            }
            // The destination accepts the run only after its remainder has arrived. The next attempt
            // shows whether it has, however the call ends.
            let Some(call) = self.final_call.take() else {
                tokio::time::sleep(RESUME_PAUSE).await;
                continue;
            };
            let answer = self.await_remainder(call, &source, &copied_to, &mut run_stop).await;
            match answer {
                MoveAnswer::NoRun if may_be_complete && run_stop == RunStop::NotStopped => {
                    return ResumeOutcome::NotStopped;
                },
                MoveAnswer::Copied(copy) => {
                    continuation.handle = copy.handle;
                    // The destination has the remainder now.
                    next_target = 0;
                },
                MoveAnswer::Refused(Some(handle)) => {
                    continuation.handle = handle;
                    targets = vec![(source_key, source.clone())];
                },
                _ => {},
            }
        }
        ResumeOutcome::Failed
    }

    /// Waits for the answer to a call that is to stop a run, and records in `run_stop` what the answers
    /// show. A call whose answer is lost or says nothing of the run is repeated once. While an earlier
    /// call still copies the remainder, the engine refuses further ones and is asked again.
    async fn await_remainder(
        &self,
        mut call: MoveCall,
        source: &ServerEntry,
        destination: &ServerEntry,
        run_stop: &mut RunStop,
    ) -> MoveAnswer {
        let until = self.state.now() + COPY_WAIT;
        let mut may_repeat = true;
        loop {
            let answer = tokio::time::timeout(MOVE_TIMEOUT, call.answer()).await;
            let answer = answer.unwrap_or(MoveAnswer::Failed);
            *run_stop = run_stop.after(answer.stop_outcome());
            event(
                EventKind::RunCopied,
                &[&self.admitted.id, &source.id, &destination.id, &answer.name(), &self.events],
            );
            let is_unknown = answer.stop_outcome() == StopOutcome::Unknown;
            let is_asked_again = match answer {
                MoveAnswer::Rejected(StatusCode::CONFLICT) => self.state.now() < until,
                _ => is_unknown && may_repeat,
            };
            if !is_asked_again {
                return answer;
            }
            may_repeat &= !is_unknown;
            tokio::time::sleep(STOP_PAUSE).await;
            call = MoveCall::begin(source.address, &self.admitted.id, destination.address, true);
        }
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
