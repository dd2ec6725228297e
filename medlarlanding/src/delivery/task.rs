//! Task that drives the session of one generation request and performs its effects.

use std::sync::Arc;
use std::time::Duration;

use super::exchanges::{ExchangeSet, ExchangeStart};
use super::permit::{PermitOutcome, RequestPermit};
use super::sink::{CallerSink, WholeResponse, token_event};
use crate::backends::engine::{self, GenerationRequest};
use crate::exchange::{self, ListenerState};
use crate::gate::{DrainStage, RequestGuard};
use crate::instance::InstanceShared;
use crate::logging::event;
use crate::trace::TraceStep;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::generations::{
    GenerationSession, LostReason, SessionEffect, SessionInput, SessionPhase,
};
use medlarlanding_core::handles::ResumeHandle;
use medlarlanding_core::ids::{CustomerId, DeskId, RequestId, ServerId, stable_hash};
use medlarlanding_core::prompts::{
    BlockedPart, CrashKey, PromptInput, PromptParts, RunPhase, SURVIVAL_TIME,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::{ErrorKind, ServeError};

use tokio::sync::mpsc;

const ENDPOINT: &str = "generations";
/// The caller's only connection closed. A caller that reconnects gets a new session, so a
/// session never has a second connection.
const CALLER_DISCONNECTED: SessionInput = SessionInput::CallerDisconnected { connection: 1 };
/// Time for which a finished session still receives response headers of abandoned exchanges, in
/// order to cancel the generations that they started.
const LATE_HEADERS_WINDOW: Duration = Duration::from_millis(200);

/// Describes the request that a task serves.
pub struct DeliveryPlan {
    /// Id of the request.
    pub request: RequestId,
    /// Customer that the resume handle is bound to.
    pub customer: CustomerId,
    /// Desk that the resume handle is bound to.
    pub desk: DeskId,
    /// Request to the engine; `None` when resuming a generation that is already running.
    pub generation: Option<Arc<GenerationRequest>>,
    /// Last token that the caller already has; 0 for none.
    pub after: u64,
    /// Parts of the prompt; empty when resuming.
    pub parts: PromptParts,
    /// The request shows whether engines survive a part that is blocked.
    pub is_trial: bool,
}

/// Serves one request until its response has ended.
pub struct DeliveryTask {
    shared: Arc<InstanceShared>,
    plan: DeliveryPlan,
    session: GenerationSession,
    permit: RequestPermit,
    sink: CallerSink,
    exchanges: ExchangeSet,
    inputs: mpsc::Receiver<SessionInput>,
    handle: String,
    caller_present: bool,
    /// When the last generation was opened on an engine; `None` before.
    opened_at: Option<Timestamp>,
    /// The last generation may have reached its engine: a connection to it was established.
    is_sent: bool,
    /// When the first token of the response was received.
    first_token_at: Option<Timestamp>,
    /// The engine has written for long enough to show that it survives the prompt.
    is_settled: bool,
    arrived: Timestamp,
    last_delivery: Option<Timestamp>,
    _guard: RequestGuard,
}

impl DeliveryTask {
    /// Creates the task.
    pub fn new(
        shared: Arc<InstanceShared>,
        plan: DeliveryPlan,
        session: GenerationSession,
        permit: RequestPermit,
        sink: CallerSink,
        guard: RequestGuard,
    ) -> Self {
        let (exchanges, inputs) = ExchangeSet::new();
        Self {
            arrived: shared.clock.now(),
            shared,
            plan,
            session,
            permit,
            sink,
            exchanges,
            inputs,
            handle: String::new(),
            caller_present: true,
            opened_at: None,
            is_sent: false,
            first_token_at: None,
            is_settled: false,
            last_delivery: None,
            _guard: guard,
        }
    }

    /// Runs the session to its end. `initial` is `Adopt` for a resumed generation; without it
    /// the session begins when the permit is granted.
    pub async fn run(mut self, initial: Option<SessionInput>) {
        if let Some(input) = initial {
            self.handle_input(input).await;
        }
        while self.session.phase() != SessionPhase::Finished {
            let input = self.next_input().await;
            self.is_sent |= shows_connection(&input);
            if matches!(input, SessionInput::Token { .. }) {
                self.note_token();
            }
            self.handle_input(input).await;
        }
        self.permit.release(false);
        self.cancel_late_attachments().await;
        let dump = self.session.dump();
        self.shared.metrics.dropped_tokens.inc_by(dump.cursor.dropped + dump.stray);
    }

    async fn next_input(&mut self) -> SessionInput {
        // A generation that was not opened has not run.
        let is_unsent = self.opened_at.is_none() && self.permit.is_waiting();
        let shared = Arc::clone(&self.shared);
        let delay = self
            .session
            .next_wakeup()
            .map_or(Duration::MAX, |at| at.since(self.shared.clock.now()));
        tokio::select! {
            // Received input is handled before a timeout: it may show that the engine is alive.
            biased;
            Some(input) = self.inputs.recv() => input,
            outcome = self.permit.decided() => match outcome {
                // The part may have been blocked while the request waited.
                PermitOutcome::Start(server) => match self.blocked_part() {
                    Some(blocked) => SessionInput::Refused(match self.opened_at {
                        Some(_) => ErrorKind::BackendFailed,
                        None => blocked.error_kind(),
                    }),
                    None => {
                        let name = self.shared.server_name(server);
                        self.trace(TraceStep::PermitGranted { server: name });
                        SessionInput::Start { server }
                    },
                },
                PermitOutcome::Refused(kind) => SessionInput::Refused(kind),
            },
            () = shared.gate.drain_stage(DrainStage::RefusingWaiting), if is_unsent => {
                SessionInput::Refused(ErrorKind::Draining)
            },
            () = self.sink.closed(), if self.caller_present => {
                self.caller_present = false;
                self.trace(TraceStep::CallerGone);
                CALLER_DISCONNECTED
            },
            () = tokio::time::sleep(delay.min(Duration::from_secs(3600))) => SessionInput::Tick,
        }
    }

    async fn handle_input(&mut self, input: SessionInput) {
        let mut effects = Vec::new();
        self.session.handle(self.shared.clock.now(), input, &mut effects);
        let wants_server =
            effects.iter().any(|effect| matches!(effect, SessionEffect::RequestServer { .. }));
        for effect in effects {
            match effect {
                // With `RequestServer`, the retry replaces the permit and admission must still know
                // the request.
                SessionEffect::ReleasePermit { .. } if wants_server => {},
                effect => self.perform(effect).await,
            }
        }
    }

    async fn perform(&mut self, effect: SessionEffect) {
        match effect {
            SessionEffect::Open { exchange, server } => {
                let name = self.shared.server_name(server);
                self.trace(TraceStep::Opened { exchange, server: name });
                self.opened_at = Some(self.shared.clock.now());
                (self.first_token_at, self.is_settled, self.is_sent) = (None, false, false);
                match self.plan.generation.clone() {
                    Some(request) => self.begin(exchange, server, ExchangeStart::Open(request)),
                    None => debug_assert!(false, "a resumed generation was started again"),
                }
            },
            SessionEffect::Resume { exchange, server, generation, after } => {
                self.shared.metrics.resumes.inc();
                let name = self.shared.server_name(server);
                event(EventKind::GenerationResumed, &[&self.plan.request, &name, &after]);
                self.trace(TraceStep::Resumed { exchange, server: name, after });
                self.begin(exchange, server, ExchangeStart::Resume { generation, after });
            },
            SessionEffect::Close { exchange } => self.exchanges.close(exchange),
            SessionEffect::Deliver { seq, text } => self.deliver(seq, &text).await,
            SessionEffect::Complete { tokens, finish, text } => {
                self.permit.progress(tokens);
                self.permit.release(true);
                self.settle_later();
                self.shared.credit_retry_budget();
                self.trace(TraceStep::Completed { tokens });
                self.shared.count_result(ENDPOINT, "whole");
                let handle = self.handle();
                let text = text.unwrap_or_default();
                self.sink.complete(WholeResponse { text, tokens, finish, handle }).await;
            },
            SessionEffect::Fail(kind) => self.fail(kind).await,
            SessionEffect::Cancel { server, generation, attachment } => {
                self.cancel(server, generation, attachment);
            },
            SessionEffect::Suspect { server, reason } => {
                // An engine that was not reached has not ended on the prompt.
                let may_have_run = self.is_sent || reason != LostReason::Unreachable;
                let reason = format!("{reason:?}");
                self.shared.suspect_server(server, &reason);
                if may_have_run {
                    self.examine_engine(server).await;
                }
                let server = self.shared.server_name(server);
                self.trace(TraceStep::ServerFailed { server, reason });
            },
            SessionEffect::RequestServer { .. } => {
                // A trial is one run.
                let is_fatal = self.plan.is_trial || self.blocked_part().is_some();
                if !is_fatal && self.shared.spend_retry() {
                    event(EventKind::GenerationRetried, &[&self.plan.request]);
                    self.trace(TraceStep::Retried);
                    self.permit.retry();
                } else {
                    let mut effects = Vec::new();
                    let refused = SessionInput::Refused(ErrorKind::BackendFailed);
                    self.session.handle(self.shared.clock.now(), refused, &mut effects);
                    for effect in effects {
                        Box::pin(self.perform(effect)).await;
                    }
                }
            },
            SessionEffect::ReleasePermit { .. } => self.permit.release(false),
        }
    }

    /// Returns the part for which the generation must not be started on an engine.
    fn blocked_part(&self) -> Option<BlockedPart> {
        self.shared.blocked_part(&self.plan.parts).filter(|_| !self.plan.is_trial)
    }

    /// Records the run if its engine has ended before it survived the prompt.
    async fn examine_engine(&self, server: ServerId) {
        if self.opened_at.is_none() || self.is_settled || self.plan.parts.is_empty() {
            return;
        }
        let Some(address) = self.shared.server_address(server) else { return };
        let is_leaving = self.shared.server_leaving(server);
        if is_leaving || exchange::probe_listener_again(address).await != ListenerState::Absent {
            return;
        }
        let key = CrashKey { server: server.0, run: self.run_hash() };
        let phase = match self.first_token_at {
            Some(first) => RunPhase::of_stream(self.shared.clock.now().since(first)),
            None => RunPhase::Hidden,
        };
        let parts = self.plan.parts.clone();
        self.shared.record_prompt(PromptInput::Broken { key, phase, parts });
    }

    /// Finds out later whether the engine has survived the prompt of a complete answer, unless that is
    /// known or does not matter. An engine ends only a while after it has begun to write.
    fn settle_later(&self) {
        let server = self.session.generation().map(|(server, _)| server);
        let (Some(server), Some(begun_at)) = (server, self.opened_at) else { return };
        if self.is_settled || self.plan.parts.is_empty() {
            return;
        }
        let now = self.shared.clock.now();
        let written_at = self.first_token_at.unwrap_or(now);
        let run = CompleteRun {
            shared: Arc::clone(&self.shared),
            server,
            key: CrashKey { server: server.0, run: self.run_hash() },
            phase: RunPhase::of_stream(now.since(written_at)),
            parts: self.plan.parts.clone(),
            begun_at,
        };
        tokio::task::spawn_local(run.settle(written_at + SURVIVAL_TIME));
    }

    fn run_hash(&self) -> u64 {
        stable_hash(self.plan.request.to_string().as_bytes())
    }

    /// Records that the engine survives the prompt.
    fn record_survival(&mut self) {
        let Some(begun_at) = self.opened_at.filter(|_| !self.plan.parts.is_empty()) else { return };
        self.is_settled = true;
        let parts = self.plan.parts.clone();
        self.shared.record_prompt(PromptInput::Survived { begun_at, parts });
    }

    /// Records that the engine survives the prompt once it has written for long enough.
    fn note_token(&mut self) {
        if self.is_settled {
            return;
        }
        let now = self.shared.clock.now();
        let first = *self.first_token_at.get_or_insert(now);
        if now.since(first) >= SURVIVAL_TIME {
            self.record_survival();
        }
    }

    fn trace(&self, step: TraceStep) {
        self.shared.trace(self.plan.request, step);
    }

    fn begin(&mut self, exchange: u32, server: ServerId, start: ExchangeStart) {
        match self.shared.server_address(server) {
            Some(address) => {
                self.exchanges.begin(self.session.exchange_id(exchange), address, start);
            },
            // The server was removed from the configuration. The session's timeout for response
            // headers ends the exchange.
            None => event(EventKind::ServerSuspected, &[&server, &"not in the configuration"]),
        }
    }

    async fn deliver(&mut self, seq: u64, text: &str) {
        let now = self.shared.clock.now();
        if self.last_delivery.is_none() {
            self.trace(TraceStep::FirstToken);
        }
        match self.last_delivery.replace(now) {
            Some(last) => {
                self.shared.metrics.token_gap.observe(now.since(last).as_secs_f64());
            },
            None if self.plan.after == 0 => {
                self.shared.metrics.first_token.observe(now.since(self.arrived).as_secs_f64());
            },
            None => {},
        }
        self.shared.metrics.tokens.inc();
        self.permit.progress(seq);
        let handle = self.handle();
        let event = token_event(&handle, seq, text);
        match self.sink.try_send(event) {
            Ok(()) => {},
            Err(None) => self.disconnect_caller(),
            Err(Some(event)) => {
                let mut ignored = Vec::new();
                let now = self.shared.clock.now();
                self.session.handle(now, SessionInput::ReadPaused, &mut ignored);
                if !self.sink.send(event).await {
                    self.disconnect_caller();
                }
                let now = self.shared.clock.now();
                self.session.handle(now, SessionInput::ReadContinued, &mut ignored);
                debug_assert!(
                    ignored.is_empty(),
                    "pausing or continuing the reader caused effects"
                );
            },
        }
    }

    fn disconnect_caller(&mut self) {
        if std::mem::take(&mut self.caller_present) {
            let mut ignored = Vec::new();
            self.session.handle(self.shared.clock.now(), CALLER_DISCONNECTED, &mut ignored);
            debug_assert!(
                ignored.is_empty(),
                "the caller's disconnection caused immediate effects"
            );
        }
    }

    async fn fail(&mut self, kind: ErrorKind) {
        let error = ServeError::from(kind);
        if kind == ErrorKind::GenerationLost {
            self.shared.metrics.lost.inc();
            let server = self.session.generation().map(|(server, _)| server.to_string());
            let server = server.unwrap_or_default();
            event(EventKind::GenerationLost, &[&self.plan.request, &server]);
        }
        if kind == ErrorKind::Cancelled {
            self.shared.count_result(ENDPOINT, "cancelled");
        } else {
            self.shared.count_refusal(ENDPOINT, &error, Some(self.plan.request));
        }
        self.sink.fail(error, self.plan.request).await;
    }

    fn cancel(&self, server: ServerId, generation: String, attachment: u64) {
        let Some(address) = self.shared.server_address(server) else { return };
        tokio::task::spawn_local(async move {
            // A failure needs no handling: the engine itself drops a generation that stays
            // without an attachment.
            let _ = engine::cancel(address, &generation, attachment).await;
        });
    }

    fn handle(&mut self) -> String {
        if self.handle.is_empty()
            && let Some((server, generation)) = self.session.generation()
        {
            self.handle = self.shared.signer.sign_handle(&ResumeHandle {
                customer: self.plan.customer,
                desk: self.plan.desk,
                server,
                generation: generation.to_owned(),
            });
        }
        self.handle.clone()
    }

    /// Handles late inputs of abandoned exchanges: the session cancels each generation whose
    /// headers still arrive.
    async fn cancel_late_attachments(&mut self) {
        let _ = tokio::time::timeout(LATE_HEADERS_WINDOW, async {
            while let Some(input) = self.inputs.recv().await {
                self.handle_input(input).await;
            }
        })
        .await;
    }
}

/// A generation whose answer is complete and whose engine may still end on its prompt.
struct CompleteRun {
    shared: Arc<InstanceShared>,
    server: ServerId,
    key: CrashKey,
    phase: RunPhase,
    parts: PromptParts,
    begun_at: Timestamp,
}

impl CompleteRun {
    async fn settle(self, settles_at: Timestamp) {
        let Self { shared, server, key, phase, parts, begun_at } = self;
        tokio::time::sleep(settles_at.since(shared.clock.now())).await;
        if !shared.wants_evidence(&parts) {
            return;
        }
        let Some(address) = shared.server_address(server) else { return };
        match exchange::probe_listener(address).await {
            ListenerState::Listening => {
                shared.record_prompt(PromptInput::Survived { begun_at, parts });
            },
            ListenerState::Absent if !shared.server_leaving(server) => {
                shared.record_prompt(PromptInput::Broken { key, phase, parts });
            },
            ListenerState::Absent | ListenerState::Unknown => {},
        }
    }
}

/// Returns whether an input shows that a connection to the engine was established.
fn shows_connection(input: &SessionInput) -> bool {
    match input {
        SessionInput::Attached { .. } | SessionInput::Token { .. } | SessionInput::End { .. } => {
            true
        },
        SessionInput::Lost { reason, .. } => *reason != LostReason::Unreachable,
        _ => false,
    }
}
