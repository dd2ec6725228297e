//! Start of a generation: waits for room on an engine, sends the request and checks the head of the
//! answer.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::{EngineStream, GenerationRun, SentRequest, outcome_name};
use crate::answer_body::AnswerBody;
use crate::exchange::{self, BodyFraming, ExchangeFault};
use crate::forwarding::answer::{CallerAnswer, ErrorAnswer, forward_answer};
use crate::forwarding::answer_end::EndingAnswer;
use crate::forwarding::evacuations::SendPurpose;
use crate::forwarding::load_guard::LoadGuard;
use crate::forwarding::placing::Placement;
use crate::forwarding::prompt_runs::PromptRun;
use crate::forwarding::relay::server_request;
use crate::forwarding::server_liveness::examine_unreachable;
use crate::forwarding::server_pace::AnswerClock;
use crate::forwarding::stream_events::has_events;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EndVerdict, EngineFault, EngineQueue, LatencyClass, PlacePurpose, PlacementRequest,
    RepeatPurpose, RunBacklog, RunStop, ServerEntry, ServerKey, StreamSampler, WaitDecision,
    WaitLimit, WaitLimitParams,
};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::RunPhase;
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{AnswerCheck, check_answer, status_implies_not_run};

use http_body_util::{BodyExt, Limited};
use hyper::StatusCode;
use hyper::body::Incoming;

/// Mean interval at which a waiting run asks for room.
const ASK_PERIOD: Duration = Duration::from_millis(40);
/// Number of engines after which a request fails, if each refuses it or cannot be reached.
const NOT_RUN_LIMIT: u32 = 4;
/// An engine whose answer has not begun after the route's objective times this is reported as
/// faulty.
const SILENCE_FACTOR: u32 = 2;
/// Largest answer in bytes that an engine sends instead of a stream.
const WHOLE_ANSWER_LIMIT: usize = 64 << 10;

/// Reason in logs for a run that is refused because this process ends.
const STOPPING: &str = "stopping";

/// Why a run did not start.
pub(super) enum StartFailure {
    Error(ErrorAnswer),
    /// An engine's answer that is not a stream, and the id of the engine.
    Server(CallerAnswer, String),
}

impl GenerationRun {
    pub(super) async fn start(
        &mut self,
    ) -> Result<(EngineStream, StatusCode, hyper::HeaderMap), StartFailure> {
        let mut tried: Vec<ServerKey> = Vec::new();
        loop {
            if self.admitted.time_left(self.state.now()).is_zero() {
                return Err(StartFailure::Error(ErrorAnswer::LateUnsent));
            }
            let zone = Arc::from(self.state.settings.zone.as_str());
            let (key, entry) =
                self.choose_start(&tried, &zone).await.map_err(StartFailure::Error)?;
            // The wait for room has used some of it.
            let now = self.state.now();
            let time_left = self.admitted.time_left(now);
            if time_left.is_zero() {
                return Err(StartFailure::Error(ErrorAnswer::LateUnsent));
            }
            if let Some(refusal) = self.admitted.prompt_error(&self.state) {
                return Err(StartFailure::Error(refusal));
            }
            if !tried.is_empty()
                && !self.state.try_repeat(&self.admitted.service, RepeatPurpose::Restart)
            {
                return Err(StartFailure::Error(ErrorAnswer::ServersFull));
            }
            tried.push(key);
            let queue = self.state.queue_at(key);
            self.log_choice(&entry, queue);
            let load = LoadGuard::begin(&self.state, key, self.admitted.weight);
            let clock = AnswerClock::start(&self.state, key, &self.admitted);
            let mut prompt_run =
                PromptRun::begin(&self.state, &self.link, &self.admitted, (key, &entry), true);
            let request = server_request(
                &self.admitted,
                &entry.id,
                time_left,
                Some(self.admitted.priority),
                None,
            );
            let silence = self.admitted.rule.objective * SILENCE_FACTOR;
            let state = Rc::clone(&self.state);
            let admitted = &self.admitted;
            // Placement and connecting may have taken a while.
            let may_send = async move || {
                state.may_send(key, SendPurpose::New).await && admitted.fits_stop(&state)
            };
            let sending = exchange::send_checked(entry.address, request, time_left, may_send);
            let sending = self.report_silence(key, silence, EngineFault::Failed, sending);
            // Closing the connection keeps the engine from writing on a prompt that is blocked while
            // it waits there.
            let sent = tokio::select! {
                sent = sending => Ok(sent),
                () = self.admitted.wait_for_block(&self.state) => Err("blocked"),
                () = self.state.stop_within(Duration::ZERO) => Err("stopping"),
            };
            let elapsed = self.state.now().since(now);
            let outcome = match &sent {
                Ok(sent) => outcome_name(sent),
                Err(reason) => (*reason).to_owned(),
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
            // A request that the engine has accepted may have run.
            let Ok(sent) = sent else {
                return Err(StartFailure::Error(ErrorAnswer::AnswerLost));
            };
            let (response, exchange) = match sent {
                Ok(Some(sent)) => sent,
                Ok(None) => {
                    PromptRun::discard(prompt_run);
                    if tried.len() as u32 >= NOT_RUN_LIMIT {
                        return Err(StartFailure::Error(ErrorAnswer::ServersFull));
                    }
                    continue;
                },
                Err(ExchangeFault::NotConnected) => {
                    PromptRun::discard(prompt_run);
                    self.record_failure(key, &entry, "not_connected");
                    let (state, link) = (Rc::clone(&self.state), Rc::clone(&self.link));
                    tokio::task::spawn_local(async move {
                        examine_unreachable(&state, &link, key).await;
                    });
                    if tried.len() as u32 >= NOT_RUN_LIMIT {
                        return Err(StartFailure::Error(ErrorAnswer::ServersFull));
                    }
                    continue;
                },
                Err(ExchangeFault::Broken) => {
                    self.examine_break(key, RunPhase::Waiting, Duration::ZERO, None);
                    self.record_failure(key, &entry, "broken");
                    return Err(StartFailure::Error(ErrorAnswer::AnswerLost));
                },
                Err(ExchangeFault::TimedOut) => {
                    self.record_failure(key, &entry, "timed_out");
                    return Err(StartFailure::Error(ErrorAnswer::LateSent));
                },
            };
            self.note_answer(key, &response);
            let framing = BodyFraming::of_response(&response);
            let (parts, body) = response.into_parts();
            match check_answer(parts.status, &parts.headers, &self.admitted.id) {
                AnswerCheck::NotRun => {
                    PromptRun::discard(prompt_run);
                    self.state.note_engine_refusal(&self.link, key, now);
                    if tried.len() as u32 >= NOT_RUN_LIMIT {
                        return Err(StartFailure::Error(ErrorAnswer::ServersFull));
                    }
                    continue;
                },
                AnswerCheck::WrongRequest | AnswerCheck::Unusable => {
                    self.record_failure(key, &entry, "foreign_answer");
                    return Err(StartFailure::Error(ErrorAnswer::AnswerLost));
                },
                AnswerCheck::Stamped | AnswerCheck::Unstamped => {},
            }
            if status_implies_not_run(parts.status) {
                return Err(StartFailure::Error(ErrorAnswer::AnswerLost));
            }
            if !parts.status.is_success() {
                let ending = self.whole_ending(key, &entry, framing);
                let answer =
                    self.read_whole_answer(parts.status, &parts.headers, body, &ending).await;
                return Err(answer
                    .map_or(StartFailure::Error(ErrorAnswer::AnswerLost), |answer| {
                        StartFailure::Server(answer, entry.id.to_string())
                    }));
            }
            self.state.directory.borrow_mut().record_success(key);
            let begun_at = self.state.now();
            if let Some(run) = &mut prompt_run {
                run.answer_begun();
            }
            let stream = EngineStream {
                key,
                entry,
                body,
                framing,
                has_events: has_events(&parts.headers),
                begun_at,
                prompt_run,
                sampler: self.sampler(now, queue),
                run_stop: RunStop::NotStopped,
                _exchange: exchange,
                load,
                clock,
            };
            return Ok((stream, parts.status, parts.headers));
        }
    }

    /// Creates the sampler for a run that was sent at `sent_at` to an engine with other work.
    fn sampler(&self, sent_at: Timestamp, queue: EngineQueue) -> StreamSampler {
        if self.state.compares_speeds() {
            StreamSampler::new(sent_at, self.admitted.weight.prompt, queue)
        } else {
            StreamSampler::disabled()
        }
    }

    /// Logs on which engine the run was placed, and why.
    fn log_choice(&self, entry: &ServerEntry, queue: EngineQueue) {
        if self.state.compares_speeds() {
            event(
                EventKind::EngineChosen,
                &[
                    &self.admitted.id,
                    &entry.id,
                    &queue.running,
                    &queue.ahead,
                    &queue.token_percent,
                    &queue.first_percent,
                ],
            );
        }
    }

    /// Receives an answer that is not a stream. Returns `None` if it cannot be received completely.
    async fn read_whole_answer(
        &self,
        status: StatusCode,
        server_headers: &hyper::HeaderMap,
        body: Incoming,
        ending: &EndingAnswer,
    ) -> Option<CallerAnswer> {
        let left = self.admitted.time_left(self.state.now());
        let reading = Limited::new(body, WHOLE_ANSWER_LIMIT).collect();
        let collected = tokio::select! {
            read = tokio::time::timeout(left, reading) => read.ok()?.ok()?,
            () = self.state.stop_within(Duration::ZERO) => return None,
        };
        let left = self.admitted.time_left(self.state.now());
        if ending.judge(&self.state, false, left).await != EndVerdict::Complete {
            return None;
        }
        Some(forward_answer(status, server_headers, AnswerBody::Whole(Some(collected.to_bytes()))))
    }

    /// Waits for the head of an answer. If it has not begun after `silence`, the engine is reported
    /// as faulty while the request continues to wait: the engine may have accepted it and never
    /// answer.
    pub(super) async fn report_silence(
        &self,
        key: ServerKey,
        silence: Duration,
        fault: EngineFault,
        sending: impl Future<Output = SentRequest>,
    ) -> SentRequest {
        let mut sending = std::pin::pin!(sending);
        match tokio::time::timeout(silence, sending.as_mut()).await {
            Ok(sent) => sent,
            Err(_) => {
                self.link.report_fault(&self.state, key, fault);
                sending.await
            },
        }
    }

    fn record_failure(&self, key: ServerKey, entry: &ServerEntry, fault: &'static str) {
        self.state.telemetry.faults.with_label_values(&[fault]).inc();
        self.link.report_fault(&self.state, key, EngineFault::Failed);
        if self.state.directory.borrow_mut().record_failure(self.state.now(), key) {
            event(EventKind::ServerSuspected, &[&entry.id, &fault]);
        }
    }

    /// Chooses an engine for a new run. Waits for room for as long as `WaitLimit` allows.
    async fn choose_start(
        &self,
        tried: &[ServerKey],
        zone: &Arc<str>,
    ) -> Result<(ServerKey, ServerEntry), ErrorAnswer> {
        let arrived_at = self.admitted.arrived_at;
        let limit = WaitLimit::new(
            WaitLimitParams::default(),
            self.admitted.latency,
            arrived_at,
            self.admitted.rule.objective,
            self.admitted.time_left(arrived_at),
            self.admitted.weight.prompt,
        );
        loop {
            self.state.wait_for_news().await;
            if !self.admitted.fits_stop(&self.state) {
                self.log_refusal(STOPPING, 0);
                return Err(ErrorAnswer::Stopping);
            }
            let (purpose, due) = limit.purpose_and_due(self.state.now());
            match self.choose(purpose, tried, zone, due).await {
                Placement::Server(key) => {
                    self.record_wait("placed");
                    return self.entry_of(key).ok_or(ErrorAnswer::NoServer);
                },
                Placement::Nowhere if tried.is_empty() => return Err(ErrorAnswer::NoServer),
                Placement::Nowhere => return Err(ErrorAnswer::ServersFull),
                // `PeerLink::place` lets a run wait for the share of a cold engine.
                Placement::Limited => return Err(ErrorAnswer::ServersFull),
                Placement::Full(backlog) => match limit.decide(self.state.now(), backlog) {
                    WaitDecision::Wait => {
                        let pause = ASK_PERIOD.mul_f64(0.75 + self.state.draw() / 2.0);
                        tokio::time::sleep(pause).await;
                    },
                    WaitDecision::RefuseEarly => {
                        self.log_refusal("others_first", backlog.ahead);
                        self.record_refusal("others_first", &limit, backlog, due);
                        return Err(ErrorAnswer::Overloaded);
                    },
                    WaitDecision::RefuseLate => {
                        self.log_refusal("waited", backlog.ahead);
                        self.record_refusal("waited", &limit, backlog, due);
                        return Err(ErrorAnswer::Overloaded);
                    },
                },
            }
        }
    }

    /// Records the wait of the run since its arrival.
    fn record_wait(&self, outcome: &str) {
        let waited = self.state.now().since(self.admitted.arrived_at);
        let labels = [self.admitted.latency.name(), outcome];
        self.state.telemetry.run_wait.with_label_values(&labels).observe(waited.as_secs_f64());
    }

    /// Sets the time after which the caller of the refused run is asked to return, and records what the
    /// refusal was decided from. `due` is the time until the first event was due.
    fn record_refusal(
        &self,
        reason: &'static str,
        limit: &WaitLimit,
        backlog: RunBacklog,
        due: Duration,
    ) {
        self.record_wait("refused");
        let (now, draw) = (self.state.now(), self.state.draw());
        let delay = limit.return_delay(now, backlog, draw);
        self.return_delay.set(delay);
        if self.admitted.latency != LatencyClass::Uniform {
            let weight = self.admitted.weight;
            event(
                EventKind::WaitRefused,
                &[
                    &self.admitted.id,
                    &self.admitted.customer.as_deref().unwrap_or_default(),
                    &self.admitted.latency.name(),
                    &reason,
                    &backlog.ahead,
                    &backlog.wait_ms,
                    &due.as_millis(),
                    &weight.prompt,
                    &weight.output,
                    &delay.unwrap_or_default().as_millis(),
                ],
            );
        }
    }

    fn log_refusal(&self, reason: &'static str, ahead: u16) {
        if reason != STOPPING {
            self.state.log_cold_refusal(&self.admitted.id, &self.admitted.service, &[]);
        }
        let now = self.state.now();
        let coordinator =
            self.state.peers.borrow().coordinator(now).unwrap_or(self.state.settings.peers);
        event(
            EventKind::RunRefused,
            &[
                &self.admitted.id,
                &self.admitted.rule.name,
                &reason,
                &ahead,
                &now.since(self.admitted.arrived_at).as_millis(),
                &coordinator,
            ],
        );
    }

    pub(super) fn entry_of(&self, key: ServerKey) -> Option<(ServerKey, ServerEntry)> {
        Some((key, self.state.directory.borrow().get(key)?.entry.clone()))
    }

    /// Chooses an engine, as `PeerLink::place` does, for the run in its current size.
    pub(super) async fn choose(
        &self,
        purpose: PlacePurpose,
        excluded: &[ServerKey],
        zone: &Arc<str>,
        due: Duration,
    ) -> Placement {
        let excluded = self.state.with_held(&self.admitted.service, excluded);
        let request = PlacementRequest {
            service: &self.admitted.service,
            memory_tokens: self.admitted.engine.map(|engine| engine.memory_tokens),
            weight: self.run_weight(),
            excluded: &excluded,
            regions: &self.admitted.regions,
            zone,
            due: (purpose == PlacePurpose::Start).then_some(due),
            is_urgent: self.admitted.priority == 0,
            drain_limit: self.state.settings.drain_limit,
            reserve: None,
            latency: self.admitted.latency,
        };
        let run = stable_hash(self.admitted.id.as_bytes());
        self.link.place(&self.state, purpose, run, &self.admitted.service, &request).await
    }
}
