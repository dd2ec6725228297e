//! State machine of one generation request, from its permit to the end of the response.

use std::time::Duration;

use crate::ErrorKind;
use crate::config::DeliveryMode;
use crate::ids::{RequestId, ServerId};
use crate::time::Timestamp;

use super::cursor::{CursorDump, CursorVerdict, EndVerdict, StreamCursor};
use super::messages::{ExchangeId, FinishReason, LostReason, SessionEffect, SessionInput};
use super::monitor::DeliveryMonitor;
use super::stall::{StallDetector, StallParams};

/// Parameters of a [`GenerationSession`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionParams {
    /// Longest wait for the headers of a new generation.
    pub attach_timeout: Duration,
    /// Longest wait for the headers of a resumed generation. The engine already has the tokens,
    /// so a longer silence means that the second connection failed as well.
    pub resume_timeout: Duration,
    /// Time without a successful resume after which the generation counts as lost. Engines
    /// keep a generation without attachment for 10 s.
    pub resume_window: Duration,
    /// Delay before the second resume in a row; doubles with each further one.
    pub resume_backoff: Duration,
    /// Longest delay between two resumes.
    pub max_resume_backoff: Duration,
    /// Number of consecutive resumes after failures, none of which brought a token, after which
    /// the generation counts as lost, even if each of them attached.
    pub resume_limit: u32,
    /// Most generations that are started for one request, including the first.
    pub generation_limit: u32,
    /// Time within which a disconnected caller can reconnect.
    pub caller_grace: Duration,
    /// Parameters of the stall detector.
    pub stall: StallParams,
}

impl Default for SessionParams {
    fn default() -> Self {
        Self {
            attach_timeout: Duration::from_secs(10),
            resume_timeout: Duration::from_secs(2),
            resume_window: Duration::from_secs(10),
            resume_backoff: Duration::from_millis(250),
            max_resume_backoff: Duration::from_secs(2),
            resume_limit: 16,
            generation_limit: 3,
            caller_grace: Duration::from_secs(10),
            stall: StallParams::default(),
        }
    }
}

/// Attachments by other instances that a session with an adopted generation tolerates. With a
/// limit of 2, 9 of 20,000 random runs under heavy faults ended as cancelled while the caller
/// still waited; with 16, none did.
const MAX_FOREIGN_ATTACHMENTS: u64 = 16;

value_type! { copy
    /// What a session waits for.
    #[serde(rename_all = "snake_case")]
    pub enum SessionPhase {
        /// A server and its permit.
        Waiting,
        /// Tokens or headers from the engine.
        Running,
        /// The reconnection of a caller that was disconnected when the generation ended.
        Ended,
        /// Nothing; the response has ended.
        Finished,
    }
}

/// An exchange whose headers have not arrived.
#[derive(Clone, Copy, Debug)]
struct PendingExchange {
    exchange: u32,
    resume: bool,
    /// The last token accepted when the request was sent.
    after: u64,
    expires: Timestamp,
}

/// Progress of the resumes after a failure.
#[derive(Clone, Copy, Debug)]
struct StreamRecovery {
    /// The first failure since the last successful resume.
    since: Timestamp,
    /// Resumes since the last token.
    attempts: u32,
    /// When the next resume is sent; `None` if none is scheduled.
    next: Option<Timestamp>,
    /// Whether the server was reported as suspect since the last successful resume.
    suspected: bool,
}

/// Counts the attachments of the session's current generation.
///
/// Distinguishes the session's own attachments, some of whose headers it never received, from
/// those of another instance.
#[derive(Clone, Copy, Debug, Default)]
struct AttachmentCounts {
    /// Number of the first attachment. Each own resume raises the number by at most one; a
    /// higher number means that another instance attached as well.
    first: Option<u64>,
    /// Resumes sent.
    resumes: u64,
    /// Resumes that ended before their headers arrived. The engine may have counted any of them
    /// as an attachment.
    unanswered: u64,
    /// Times that the engine ended a stream because of a later attachment.
    superseded: u64,
}

impl AttachmentCounts {
    /// Records the number of a new attachment. Returns the least number of attachments that
    /// other instances must have made.
    fn record_attachment(&mut self, attachment: u64) -> u64 {
        let first = *self.first.get_or_insert(attachment);
        attachment.saturating_sub(first.saturating_add(self.resumes))
    }

    /// Records that a later attachment exists. Returns the least number of later attachments
    /// that other instances must have made.
    fn record_supersession(&mut self) -> u64 {
        self.superseded += 1;
        self.superseded.saturating_sub(self.unanswered)
    }
}

/// Delivers the tokens of one generation exactly once and in order.
///
/// Each exchange that starts or resumes the generation attaches to it. The engine numbers these
/// attachments and sends tokens only to the latest one; it ends the others as superseded.
///
/// Uses at most two exchanges at a time: the current one, from which tokens are accepted, and a
/// pending one, which replaces it when its headers arrive. Events of any other exchange are
/// dropped. At [`Self::next_wakeup`] the runtime first passes on the events that its connections
/// have already received and then `Tick`; otherwise a pause of the process looks like a stall.
#[derive(Clone, Debug)]
pub struct GenerationSession {
    params: SessionParams,
    request: RequestId,
    delivery: DeliveryMode,
    deadline: Timestamp,
    phase: SessionPhase,
    cursor: StreamCursor,
    stall: StallDetector,
    monitor: DeliveryMonitor,
    server: Option<ServerId>,
    /// Number of exchanges so far.
    exchanges: u32,
    /// The exchange that tokens are accepted from.
    current: Option<u32>,
    pending: Option<PendingExchange>,
    recovery: Option<StreamRecovery>,
    /// Exchanges that started a generation, kept to cancel a generation whose headers arrive
    /// late.
    opened: Vec<(u32, ServerId)>,
    /// Servers that failed this request.
    avoid: Vec<ServerId>,
    /// Set by the first headers, which show that a generation has run.
    attached: bool,
    /// Set for a generation that another session started. The caller holds its resume handle,
    /// so no other generation can replace it.
    adopted: bool,
    attachments: AttachmentCounts,
    /// Set when the response failed and its generation was cancelled. A late attachment of the
    /// generation is then cancelled as well.
    abandoned: bool,
    /// Number of the caller's latest connection.
    caller_connection: u32,
    /// End of the caller's grace period; `None` while the caller is connected.
    grace_end: Option<Timestamp>,
    read_paused: bool,
    /// Text collected for whole delivery.
    text: String,
    stray: u64,
    resumes: u64,
}

value_type! {
    /// State of a [`GenerationSession`] for a dump.
    pub struct SessionDump {
        /// The caller's request.
        pub request: RequestId,
        /// What the session waits for.
        pub phase: SessionPhase,
        /// The engine, if one was chosen.
        pub server: Option<ServerId>,
        /// Position in the stream.
        pub cursor: CursorDump,
        /// Exchanges so far.
        pub exchanges: u32,
        /// The exchange that tokens are accepted from.
        pub current: Option<u32>,
        /// The exchange whose headers are awaited.
        pub pending: Option<u32>,
        /// Resumes so far.
        pub resumes: u64,
        /// Events dropped because their exchange had been replaced or closed.
        pub stray: u64,
        /// Whether the caller is disconnected.
        pub caller_gone: bool,
        /// The deadline, in microseconds of this process's clock.
        pub deadline: Timestamp,
    }
}

impl GenerationSession {
    /// Creates a session that waits for `Start`, `Adopt` or `Refused`.
    pub fn new(
        request: RequestId,
        delivery: DeliveryMode,
        deadline: Timestamp,
        params: SessionParams,
    ) -> Self {
        Self {
            params,
            request,
            delivery,
            deadline,
            phase: SessionPhase::Waiting,
            cursor: StreamCursor::default(),
            stall: StallDetector::new(params.stall),
            monitor: DeliveryMonitor::default(),
            server: None,
            exchanges: 0,
            current: None,
            pending: None,
            recovery: None,
            opened: Vec::new(),
            avoid: Vec::new(),
            attached: false,
            adopted: false,
            attachments: AttachmentCounts::default(),
            abandoned: false,
            caller_connection: 1,
            grace_end: None,
            read_paused: false,
            text: String::new(),
            stray: 0,
            resumes: 0,
        }
    }

    /// Gets what the session waits for.
    pub fn phase(&self) -> SessionPhase {
        self.phase
    }

    /// Gets the engine and the generation for a resume handle; `None` before the first headers.
    pub fn generation(&self) -> Option<(ServerId, &str)> {
        Some((self.server?, self.cursor.generation()?))
    }

    /// Gets the id that is sent to the engine for an exchange.
    pub fn exchange_id(&self, exchange: u32) -> ExchangeId {
        ExchangeId { request: self.request, number: exchange }
    }

    /// Gets the time at which `Tick` is due, or `None` after the end of the response.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        if self.phase == SessionPhase::Finished {
            return None;
        }
        let stall = self.stall.expires_at().filter(|_| self.pending.is_none());
        [
            Some(self.deadline),
            self.grace_end,
            self.pending.map(|pending| pending.expires),
            self.recovery.and_then(|recovery| recovery.next).filter(|_| self.pending.is_none()),
            stall,
        ]
        .into_iter()
        .fold(None, Timestamp::earliest)
    }

    /// Describes the state.
    pub fn dump(&self) -> SessionDump {
        SessionDump {
            request: self.request,
            phase: self.phase,
            server: self.server,
            cursor: self.cursor.dump(),
            exchanges: self.exchanges,
            current: self.current,
            pending: self.pending.map(|pending| pending.exchange),
            resumes: self.resumes,
            stray: self.stray,
            caller_gone: self.grace_end.is_some(),
            deadline: self.deadline,
        }
    }

    /// Handles an input and appends the effects to perform.
    ///
    /// # Panics
    /// Panics if a guarantee of the session would be broken, or if the runtime passes a second
    /// permit while one is held.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: SessionInput,
        effects: &mut Vec<SessionEffect>,
    ) {
        if self.phase == SessionPhase::Finished {
            self.handle_late(input, effects);
            return;
        }
        match input {
            SessionInput::Start { server } => self.start(now, server, effects),
            SessionInput::Adopt { server, generation, after } => {
                self.adopt(now, server, generation, after, effects);
            },
            SessionInput::Refused(kind) => {
                if self.phase == SessionPhase::Waiting {
                    self.refused(kind, effects);
                }
            },
            SessionInput::Attached { exchange, echo, generation, attachment } => {
                self.attach(now, exchange, echo, &generation, attachment, effects);
            },
            SessionInput::Token { exchange, generation, attachment, seq, text } => {
                if self.accepts_from(exchange) {
                    self.token(now, &generation, attachment, seq, text, effects);
                }
            },
            SessionInput::End { exchange, generation, attachment, tokens, finish } => {
                if self.accepts_from(exchange) {
                    self.end(now, &generation, attachment, tokens, finish, effects);
                }
            },
            SessionInput::Lost { exchange, reason } => self.lost(now, exchange, reason, effects),
            SessionInput::ReadPaused => {
                self.read_paused = true;
                self.stall.disarm();
            },
            SessionInput::ReadContinued => {
                self.read_paused = false;
                self.arm_stall(now);
            },
            SessionInput::CallerDisconnected { connection } => {
                if connection == self.caller_connection {
                    self.caller_disconnected(now);
                }
            },
            SessionInput::CallerReconnected { connection, after } => {
                if connection > self.caller_connection {
                    self.caller_connection = connection;
                    self.caller_reconnected(now, after, effects);
                }
            },
            SessionInput::CallerCancelled => self.fail(ErrorKind::Cancelled, effects),
            SessionInput::Tick => self.tick(now, effects),
        }
    }

    fn start(&mut self, now: Timestamp, server: ServerId, effects: &mut Vec<SessionEffect>) {
        self.monitor.take_permit(server);
        self.server = Some(server);
        self.phase = SessionPhase::Running;
        if now >= self.deadline {
            self.fail(self.deadline_kind(), effects);
            return;
        }
        self.monitor.start_generation();
        let exchange = self.next_exchange();
        self.opened.push((exchange, server));
        let expires = now + self.params.attach_timeout;
        self.pending = Some(PendingExchange { exchange, resume: false, after: 0, expires });
        effects.push(SessionEffect::Open { exchange, server });
    }

    fn adopt(
        &mut self,
        now: Timestamp,
        server: ServerId,
        generation: String,
        after: u64,
        effects: &mut Vec<SessionEffect>,
    ) {
        assert!(
            self.opened.is_empty(),
            "a session adopts a generation after it started one: {:?}",
            self.opened
        );
        self.monitor.take_permit(server);
        // A whole response needs every token from the first.
        let after = if self.delivery == DeliveryMode::Whole { 0 } else { after };
        self.monitor.begin_connection(after);
        self.server = Some(server);
        self.phase = SessionPhase::Running;
        self.cursor = StreamCursor::adopt(generation, after);
        self.adopted = true;
        self.attached = true;
        self.resume(now, effects);
    }

    fn refused(&mut self, kind: ErrorKind, effects: &mut Vec<SessionEffect>) {
        // An earlier attempt may have run, so a kind with the state `not_run` would be wrong.
        let kind = if self.opened.is_empty() { kind } else { ErrorKind::BackendFailed };
        self.fail(kind, effects);
    }

    fn attach(
        &mut self,
        now: Timestamp,
        exchange: u32,
        echo: Option<ExchangeId>,
        generation: &str,
        attachment: u64,
        effects: &mut Vec<SessionEffect>,
    ) {
        let Some(pending) = self.pending.filter(|pending| pending.exchange == exchange) else {
            self.stray += 1;
            self.cancel_orphan(exchange, echo, generation, attachment, effects);
            return;
        };
        let misdelivered = echo.is_some_and(|echo| echo != self.exchange_id(exchange));
        if misdelivered || self.cursor.attach(generation, attachment).is_err() {
            effects.push(SessionEffect::Close { exchange });
            self.pending_failed(now, pending, LostReason::Misdelivered, effects);
            return;
        }
        self.pending = None;
        self.attached = true;
        if self.attachments.record_attachment(attachment) > self.max_foreign_attachments() {
            effects.push(SessionEffect::Close { exchange });
            self.finish_superseded(effects);
            return;
        }
        if let Some(replaced) = self.current.replace(exchange) {
            effects.push(SessionEffect::Close { exchange: replaced });
        }
        if let Some(recovery) = &mut self.recovery {
            *recovery = StreamRecovery { since: now, next: None, suspected: false, ..*recovery };
        }
        self.arm_stall(now);
    }

    fn token(
        &mut self,
        now: Timestamp,
        generation: &str,
        attachment: u64,
        seq: u64,
        text: String,
        effects: &mut Vec<SessionEffect>,
    ) {
        if self.caller_absent() {
            return;
        }
        match self.cursor.accept(generation, attachment, seq) {
            CursorVerdict::Drop(_) => {},
            CursorVerdict::Gap { .. } => self.current_failed(now, LostReason::Gap, true, effects),
            CursorVerdict::Deliver => {
                self.recovery = None;
                if !self.read_paused {
                    self.stall.record_token(now);
                }
                let Some(server) = self.server else { return };
                let streamed = self.delivery == DeliveryMode::Stream;
                self.monitor.record_token(server, generation, seq, streamed);
                if streamed {
                    effects.push(SessionEffect::Deliver { seq, text });
                } else {
                    self.text.push_str(&text);
                }
            },
        }
    }

    fn end(
        &mut self,
        now: Timestamp,
        generation: &str,
        attachment: u64,
        tokens: u64,
        finish: FinishReason,
        effects: &mut Vec<SessionEffect>,
    ) {
        match self.cursor.accept_end(generation, attachment, tokens) {
            EndVerdict::Drop(_) => {},
            _ if self.caller_absent() => {
                // The caller can still reconnect and fetch the tokens that it lacks.
                self.current = None;
                self.phase = SessionPhase::Ended;
                self.close_exchanges(effects);
                self.release_permit(effects);
            },
            EndVerdict::Gap { .. } => self.current_failed(now, LostReason::Gap, true, effects),
            EndVerdict::TooShort => {
                self.current_failed(now, LostReason::Malformed, true, effects);
            },
            EndVerdict::Complete => {
                // The response was read to its end, so its connection can be reused and no
                // `Close` is sent for it.
                self.current = None;
                self.close_exchanges(effects);
                self.release_permit(effects);
                self.monitor.finish();
                self.phase = SessionPhase::Finished;
                let whole = self.delivery == DeliveryMode::Whole;
                let text = whole.then(|| std::mem::take(&mut self.text));
                effects.push(SessionEffect::Complete { tokens, finish, text });
            },
        }
    }

    fn lost(
        &mut self,
        now: Timestamp,
        exchange: u32,
        reason: LostReason,
        effects: &mut Vec<SessionEffect>,
    ) {
        match self.pending {
            Some(pending) if pending.exchange == exchange => {
                self.pending_failed(now, pending, reason, effects);
            },
            _ if self.current == Some(exchange) => {
                self.current_failed(now, reason, false, effects);
            },
            _ => self.stray += 1,
        }
    }

    /// Handles the failure of the current exchange. `open` tells whether it must be closed.
    fn current_failed(
        &mut self,
        now: Timestamp,
        reason: LostReason,
        open: bool,
        effects: &mut Vec<SessionEffect>,
    ) {
        if let Some(exchange) = self.current.take().filter(|_| open) {
            effects.push(SessionEffect::Close { exchange });
        }
        self.stall.disarm();
        if self.pending.is_some() || self.caller_absent() {
            return;
        }
        match reason {
            LostReason::NotFound => self.give_up_generation(effects),
            LostReason::Superseded => self.handle_superseded(now, effects),
            _ => self.plan_resume(now, effects),
        }
    }

    /// Handles the failure of the pending exchange.
    fn pending_failed(
        &mut self,
        now: Timestamp,
        pending: PendingExchange,
        reason: LostReason,
        effects: &mut Vec<SessionEffect>,
    ) {
        self.pending = None;
        if !pending.resume {
            self.suspect(reason, effects);
            if self.grace_end.is_some() {
                self.fail(ErrorKind::Cancelled, effects);
            } else {
                self.restart(effects);
            }
            return;
        }
        self.attachments.unanswered += 1;
        let recovered = self.current.is_some() && self.cursor.last() > pending.after;
        if self.caller_absent() || recovered {
            return;
        }
        match reason {
            LostReason::NotFound => {
                self.give_up_generation(effects);
                return;
            },
            LostReason::Superseded => {
                self.handle_superseded(now, effects);
                return;
            },
            _ => {},
        }
        let recovery = self.recovery.get_or_insert(StreamRecovery {
            since: now,
            attempts: 1,
            next: None,
            suspected: false,
        });
        if !std::mem::replace(&mut recovery.suspected, true) {
            self.suspect(reason, effects);
        }
        if self.cursor.last() == 0 && !self.adopted {
            // No token would be lost by starting another generation, so resuming again has no
            // advantage.
            self.give_up_generation(effects);
        } else {
            self.plan_resume(now, effects);
        }
    }

    /// Resumes immediately after the first failure and with a backoff after further ones.
    fn plan_resume(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        let SessionParams {
            resume_backoff, max_resume_backoff, resume_window, resume_limit, ..
        } = self.params;
        let recovery = self.recovery.get_or_insert(StreamRecovery {
            since: now,
            attempts: 0,
            next: None,
            suspected: false,
        });
        if recovery.next.is_some() {
            return;
        }
        if recovery.attempts >= resume_limit || now >= recovery.since + resume_window {
            self.give_up_generation(effects);
            return;
        }
        let doublings = recovery.attempts.saturating_sub(1).min(16);
        let backoff = resume_backoff.saturating_mul(1 << doublings).min(max_resume_backoff);
        recovery.attempts += 1;
        if recovery.attempts == 1 {
            self.resume(now, effects);
        } else {
            recovery.next = Some(now + backoff);
        }
    }

    fn resume(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        let (Some(server), Some(generation)) = (self.server, self.cursor.generation()) else {
            return;
        };
        let (generation, after) = (generation.to_owned(), self.cursor.last());
        let exchange = self.next_exchange();
        self.resumes += 1;
        self.attachments.resumes += 1;
        let expires = now + self.params.resume_timeout;
        self.pending = Some(PendingExchange { exchange, resume: true, after, expires });
        effects.push(SessionEffect::Resume { exchange, server, generation, after });
    }

    /// Ends the response or starts another generation, because this one cannot be resumed.
    fn give_up_generation(&mut self, effects: &mut Vec<SessionEffect>) {
        if self.adopted || self.monitor.has_delivered() {
            self.fail(ErrorKind::GenerationLost, effects);
        } else {
            self.restart(effects);
        }
    }

    /// Handles the engine's report that a later attachment exists.
    fn handle_superseded(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        if self.attachments.record_supersession() > self.max_foreign_attachments() {
            self.finish_superseded(effects);
        } else {
            self.plan_resume(now, effects);
        }
    }

    /// Gets the number of attachments by other instances that the session tolerates.
    ///
    /// More of them mean that the caller has reconnected at another instance. When two sessions
    /// keep superseding each other, the later one must win, so the session that started the
    /// generation tolerates none.
    fn max_foreign_attachments(&self) -> u64 {
        if self.adopted { MAX_FOREIGN_ATTACHMENTS } else { 0 }
    }

    /// Ends the response without cancelling the generation, which another instance continues.
    fn finish_superseded(&mut self, effects: &mut Vec<SessionEffect>) {
        self.close_exchanges(effects);
        self.release_permit(effects);
        self.finish_with(ErrorKind::Cancelled, effects);
    }

    /// Cancels the generation and requests another one. Allowed only while no token was
    /// delivered.
    fn restart(&mut self, effects: &mut Vec<SessionEffect>) {
        if self.opened.len() >= self.params.generation_limit as usize {
            self.fail(ErrorKind::BackendFailed, effects);
            return;
        }
        self.close_exchanges(effects);
        self.cancel_generation(effects);
        self.release_permit(effects);
        self.avoid.extend(self.server.take());
        self.cursor = StreamCursor::default();
        self.stall = StallDetector::new(self.params.stall);
        self.recovery = None;
        self.attachments = AttachmentCounts::default();
        self.text.clear();
        self.phase = SessionPhase::Waiting;
        effects.push(SessionEffect::RequestServer { avoid: self.avoid.clone() });
    }

    fn caller_disconnected(&mut self, now: Timestamp) {
        self.grace_end.get_or_insert(now + self.params.caller_grace);
        if self.caller_absent() {
            self.stall.disarm();
            self.recovery = None;
        }
    }

    fn caller_reconnected(&mut self, now: Timestamp, after: u64, effects: &mut Vec<SessionEffect>) {
        self.grace_end = None;
        let known = self.cursor.generation().is_some();
        if !known || self.delivery == DeliveryMode::Whole {
            self.arm_stall(now);
            return;
        }
        // Tokens may have been lost on the caller's old connection, so the engine must resend
        // those after the last one that the caller has.
        self.close_exchanges(effects);
        self.read_paused = false;
        self.recovery = None;
        self.cursor.rewind(after);
        self.monitor.begin_connection(after);
        self.phase = SessionPhase::Running;
        self.resume(now, effects);
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        if now >= self.deadline {
            self.fail(self.deadline_kind(), effects);
            return;
        }
        if self.grace_end.is_some_and(|end| end <= now) {
            self.fail(ErrorKind::Cancelled, effects);
            return;
        }
        if let Some(pending) = self.pending.filter(|pending| pending.expires <= now) {
            effects.push(SessionEffect::Close { exchange: pending.exchange });
            self.pending_failed(now, pending, LostReason::Silent, effects);
        }
        if self.pending.is_some() || self.phase != SessionPhase::Running {
            return;
        }
        if let Some(recovery) = &mut self.recovery
            && recovery.next.is_some_and(|next| next <= now)
        {
            recovery.next = None;
            self.resume(now, effects);
        } else if self.current.is_some() && self.stall.take_expiry(now) {
            self.resume(now, effects);
        }
    }

    /// Handles an input that arrives after the end of the response.
    fn handle_late(&mut self, input: SessionInput, effects: &mut Vec<SessionEffect>) {
        match input {
            SessionInput::Start { server } | SessionInput::Adopt { server, .. } => {
                effects.push(SessionEffect::ReleasePermit { server });
            },
            SessionInput::Attached { exchange, echo, generation, attachment } => {
                self.cancel_orphan(exchange, echo, &generation, attachment, effects);
            },
            _ => {},
        }
    }

    /// Cancels a generation whose headers arrive on an exchange that was closed. Without a
    /// matching echo the generation could belong to another request, so it is not cancelled.
    fn cancel_orphan(
        &mut self,
        exchange: u32,
        echo: Option<ExchangeId>,
        generation: &str,
        attachment: u64,
        effects: &mut Vec<SessionEffect>,
    ) {
        if echo != Some(self.exchange_id(exchange)) {
            return;
        }
        let opened = self.opened.iter().find(|(opened, _)| *opened == exchange);
        let own = self.cursor.generation() == Some(generation);
        let server = match opened {
            Some(&(_, server)) if !own || self.server != Some(server) => Some(server),
            _ if own && self.abandoned => self.server,
            _ => None,
        };
        if let Some(server) = server {
            let generation = generation.to_owned();
            effects.push(SessionEffect::Cancel { server, generation, attachment });
        }
    }

    /// Ends the response with an error and cancels the generation.
    fn fail(&mut self, kind: ErrorKind, effects: &mut Vec<SessionEffect>) {
        self.close_exchanges(effects);
        if self.phase == SessionPhase::Running {
            self.cancel_generation(effects);
        }
        self.release_permit(effects);
        self.abandoned = true;
        self.finish_with(kind, effects);
    }

    fn finish_with(&mut self, kind: ErrorKind, effects: &mut Vec<SessionEffect>) {
        self.monitor.finish();
        self.phase = SessionPhase::Finished;
        self.text = String::new();
        effects.push(SessionEffect::Fail(kind));
    }

    fn deadline_kind(&self) -> ErrorKind {
        if self.attached {
            ErrorKind::DeadlineRan
        } else if self.opened.is_empty() {
            ErrorKind::DeadlineNotRun
        } else {
            // The engine sent no headers, so it is unknown whether it ran the request.
            ErrorKind::BackendFailed
        }
    }

    /// Returns whether an event of the exchange is accepted; counts it as stray otherwise.
    fn accepts_from(&mut self, exchange: u32) -> bool {
        let accepted = self.phase == SessionPhase::Running && self.current == Some(exchange);
        self.stray += u64::from(!accepted);
        accepted
    }

    /// Returns whether a streamed response has no caller to receive it. Whole delivery continues
    /// without a connected caller.
    fn caller_absent(&self) -> bool {
        self.grace_end.is_some() && self.delivery == DeliveryMode::Stream
    }

    fn arm_stall(&mut self, now: Timestamp) {
        if self.current.is_some() && !self.read_paused && !self.caller_absent() {
            self.stall.arm(now);
        }
    }

    fn suspect(&self, reason: LostReason, effects: &mut Vec<SessionEffect>) {
        // An engine that answers 429 or 503 is alive.
        if let Some(server) = self.server.filter(|_| reason != LostReason::Rejected) {
            effects.push(SessionEffect::Suspect { server, reason });
        }
    }

    fn next_exchange(&mut self) -> u32 {
        self.exchanges += 1;
        self.exchanges
    }

    fn close_exchanges(&mut self, effects: &mut Vec<SessionEffect>) {
        let pending = self.pending.take();
        self.attachments.unanswered += u64::from(pending.is_some_and(|pending| pending.resume));
        let open = [self.current.take(), pending.map(|pending| pending.exchange)];
        effects
            .extend(open.into_iter().flatten().map(|exchange| SessionEffect::Close { exchange }));
        self.stall.disarm();
    }

    fn cancel_generation(&self, effects: &mut Vec<SessionEffect>) {
        if let (Some(server), Some(generation)) = (self.server, self.cursor.generation()) {
            let (generation, attachment) = (generation.to_owned(), self.cursor.attachment());
            effects.push(SessionEffect::Cancel { server, generation, attachment });
        }
    }

    fn release_permit(&mut self, effects: &mut Vec<SessionEffect>) {
        if let Some(server) = self.monitor.release_permit() {
            effects.push(SessionEffect::ReleasePermit { server });
        }
    }
}
