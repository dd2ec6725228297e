//! One request for a generation, from its permit to the end of the response.

use std::time::Duration;

use crate::ErrorKind;
use crate::config::DeliveryMode;
use crate::ids::{RequestId, ServerId};
use crate::time::Timestamp;

use super::cursor::{CursorDump, CursorVerdict, EndVerdict, StreamCursor};
use super::ledger::DeliveryLedger;
use super::messages::{ExchangeId, FinishReason, LostReason, SessionEffect, SessionInput};
use super::stall::{StallDetector, StallParams};

/// Parameters of a [`GenerationSession`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SessionParams {
    /// Longest wait for the headers of a new generation.
    pub attach_timeout: Duration,
    /// Longest wait for the headers of a resumed generation. The engine has the tokens at
    /// hand, so a longer silence means that the second connection failed too.
    pub resume_timeout: Duration,
    /// Time without a successful resume after which the generation counts as lost. Engines
    /// keep a generation without attachment for 10 s.
    pub resume_window: Duration,
    /// Pause before the second resume in a row; doubles with each further one.
    pub resume_pause: Duration,
    /// Longest pause between two resumes.
    pub resume_pause_limit: Duration,
    /// Resumes after failures in a row without a token after which the generation counts as
    /// lost, even if each of them attached.
    pub resume_limit: u32,
    /// Generations started for one request, the first included.
    pub generation_limit: u32,
    /// Time for which a caller that is gone may come back.
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
            resume_pause: Duration::from_millis(250),
            resume_pause_limit: Duration::from_secs(2),
            resume_limit: 16,
            generation_limit: 3,
            caller_grace: Duration::from_secs(10),
            stall: StallParams::default(),
        }
    }
}

/// Foreign attachments that a session tolerates which adopted its generation. With 2, 9 of
/// 20,000 random runs under heavy faults ended as cancelled while the caller waited; with 16,
/// none did.
const ADOPTED_SUPERSESSIONS: u64 = 16;

value_type! { copy
    /// What a session waits for.
    #[serde(rename_all = "snake_case")]
    pub enum SessionPhase {
        /// A server and its permit.
        Waiting,
        /// The engine.
        Running,
        /// A caller that is gone, after the engine ended the generation.
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
    /// The last token when it was sent.
    after: u64,
    expires: Timestamp,
}

/// Resumes after failures.
#[derive(Clone, Copy, Debug)]
struct StreamRecovery {
    /// The first failure since the last successful resume.
    since: Timestamp,
    /// Resumes since the last token.
    attempts: u32,
    /// When the next resume is sent, unless one is pending.
    next: Option<Timestamp>,
    suspected: bool,
}

/// What the session knows about the attachments of its current generation.
///
/// Tells its own attachments, some of which it never saw, from those of another instance.
#[derive(Clone, Copy, Debug, Default)]
struct AttachmentAccount {
    /// Number of the first attachment; later ones rise by at most one per resume unless
    /// another instance attaches too.
    first: Option<u64>,
    /// Resumes sent.
    resumes: u64,
    /// Resumes that ended before their headers arrived. The engine may have counted each as
    /// the latest attachment.
    unanswered: u64,
    /// Times that the engine named a later attachment.
    supersessions: u64,
}

impl AttachmentAccount {
    /// Records the number of an attachment. Returns how many attachments must be foreign.
    fn record(&mut self, attachment: u64) -> u64 {
        let first = *self.first.get_or_insert(attachment);
        attachment.saturating_sub(first.saturating_add(self.resumes))
    }

    /// Records that a later attachment exists. Returns how many of them must be foreign.
    fn record_supersession(&mut self) -> u64 {
        self.supersessions += 1;
        self.supersessions.saturating_sub(self.unanswered)
    }
}

/// Delivers one generation exactly once and in order.
///
/// Takes part in at most two exchanges at a time: the one that tokens are accepted from, and
/// a pending one that replaces it once its headers arrive. Whatever arrives on any other
/// exchange is dropped. The runtime gives `Tick` at [`Self::next_wakeup`], after what its
/// connections already hold; otherwise a pause of the process looks like a stall.
#[derive(Clone, Debug)]
pub struct GenerationSession {
    params: SessionParams,
    request: RequestId,
    delivery: DeliveryMode,
    deadline: Timestamp,
    phase: SessionPhase,
    cursor: StreamCursor,
    stall: StallDetector,
    ledger: DeliveryLedger,
    server: Option<ServerId>,
    /// Number of exchanges so far.
    exchanges: u32,
    /// The exchange that tokens are accepted from.
    current: Option<u32>,
    pending: Option<PendingExchange>,
    recovery: Option<StreamRecovery>,
    /// Exchanges that started a generation, for cancelling one that attaches late.
    opened: Vec<(u32, ServerId)>,
    avoid: Vec<ServerId>,
    /// Set by the first headers: a generation has run.
    attached: bool,
    /// Set for a generation that began elsewhere: its handle is with the caller, so no other
    /// generation can take its place.
    adopted: bool,
    attachments: AttachmentAccount,
    /// Set when the response ended before the generation.
    abandoned: bool,
    /// Number of the caller's latest connection.
    caller_connection: u32,
    /// End of the grace period of a caller that is gone.
    grace_end: Option<Timestamp>,
    read_paused: bool,
    /// Collected for whole delivery.
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
        /// Inputs from exchanges that had been replaced.
        pub stray: u64,
        /// Whether the caller is gone.
        pub caller_gone: bool,
        /// The deadline, microseconds of this process's clock.
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
            ledger: DeliveryLedger::default(),
            server: None,
            exchanges: 0,
            current: None,
            pending: None,
            recovery: None,
            opened: Vec::new(),
            avoid: Vec::new(),
            attached: false,
            adopted: false,
            attachments: AttachmentAccount::default(),
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

    /// Gets the engine and the generation, which a resume handle names; `None` before the
    /// first headers.
    pub fn generation(&self) -> Option<(ServerId, &str)> {
        Some((self.server?, self.cursor.generation()?))
    }

    /// Gets the name under which an exchange is sent to the engine.
    pub fn exchange_id(&self, exchange: u32) -> ExchangeId {
        ExchangeId { request: self.request, number: exchange }
    }

    /// Gets the time at which `Tick` is due.
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

    /// Takes an input and pushes the effects to perform.
    ///
    /// # Panics
    /// Panics when a guarantee of the session would be broken, and when the runtime gives a
    /// second permit while one is held.
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
            SessionInput::CallerGone { connection } => {
                if connection == self.caller_connection {
                    self.caller_gone(now);
                }
            },
            SessionInput::CallerBack { connection, after } => {
                if connection > self.caller_connection {
                    self.caller_connection = connection;
                    self.caller_back(now, after, effects);
                }
            },
            SessionInput::CallerCancelled => self.fail(ErrorKind::Cancelled, effects),
            SessionInput::Tick => self.tick(now, effects),
        }
    }

    fn start(&mut self, now: Timestamp, server: ServerId, effects: &mut Vec<SessionEffect>) {
        self.ledger.take_permit(server);
        self.server = Some(server);
        self.phase = SessionPhase::Running;
        if now >= self.deadline {
            self.fail(self.deadline_kind(), effects);
            return;
        }
        self.ledger.start_generation();
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
        assert!(self.opened.is_empty(), "a session adopts a generation after it started one");
        self.ledger.take_permit(server);
        // A whole response needs the tokens from the first on.
        let after = if self.delivery == DeliveryMode::Whole { 0 } else { after };
        self.ledger.begin_connection(after);
        self.server = Some(server);
        self.phase = SessionPhase::Running;
        self.cursor = StreamCursor::adopt(generation, after);
        self.adopted = true;
        self.attached = true;
        self.resume(now, effects);
    }

    fn refused(&mut self, kind: ErrorKind, effects: &mut Vec<SessionEffect>) {
        // An earlier attempt may have run, so a kind that says `not_run` would be wrong.
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
        if self.attachments.record(attachment) > self.foreign_limit() {
            effects.push(SessionEffect::Close { exchange });
            self.step_back(effects);
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
                self.ledger.record_token(server, generation, seq, streamed);
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
                // The caller may still come back for the tokens it lacks.
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
                // The response was read to its end, so its connection may be reused.
                self.current = None;
                self.close_exchanges(effects);
                self.release_permit(effects);
                self.ledger.finish();
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

    /// The exchange that tokens came from is of no further use. `open` tells whether it has to
    /// be closed.
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
            LostReason::Superseded => self.superseded(now, effects),
            _ => self.plan_resume(now, effects),
        }
    }

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
                self.superseded(now, effects);
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
            // Nothing would be lost by a new generation, so waiting has no use.
            self.give_up_generation(effects);
        } else {
            self.plan_resume(now, effects);
        }
    }

    /// Resumes at once after a first failure and after a pause otherwise.
    fn plan_resume(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        let SessionParams { resume_pause, resume_pause_limit, resume_window, resume_limit, .. } =
            self.params;
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
        let pause = resume_pause.saturating_mul(1 << doublings).min(resume_pause_limit);
        recovery.attempts += 1;
        if recovery.attempts == 1 {
            self.resume(now, effects);
        } else {
            recovery.next = Some(now + pause);
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

    /// The generation cannot be resumed.
    fn give_up_generation(&mut self, effects: &mut Vec<SessionEffect>) {
        if self.adopted || self.ledger.has_delivered() {
            self.fail(ErrorKind::GenerationLost, effects);
        } else {
            self.restart(effects);
        }
    }

    /// The engine says that a later attachment exists.
    fn superseded(&mut self, now: Timestamp, effects: &mut Vec<SessionEffect>) {
        if self.attachments.record_supersession() > self.foreign_limit() {
            self.step_back(effects);
        } else {
            self.plan_resume(now, effects);
        }
    }

    /// Gets the number of attachments of other instances that the session tolerates.
    ///
    /// More than these mean that the caller has reconnected elsewhere. Of two sessions that
    /// take the generation from each other the later one must stay, so the session that began
    /// the generation tolerates none.
    fn foreign_limit(&self) -> u64 {
        if self.adopted { ADOPTED_SUPERSESSIONS } else { 0 }
    }

    /// Ends the response and leaves the generation to the instance that continues it.
    fn step_back(&mut self, effects: &mut Vec<SessionEffect>) {
        self.close_exchanges(effects);
        self.release_permit(effects);
        self.finish_with(ErrorKind::Cancelled, effects);
    }

    /// Gives up the generation and asks for another one. Nothing was delivered.
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
        self.attachments = AttachmentAccount::default();
        self.text.clear();
        self.phase = SessionPhase::Waiting;
        effects.push(SessionEffect::RequestServer { avoid: self.avoid.clone() });
    }

    fn caller_gone(&mut self, now: Timestamp) {
        self.grace_end.get_or_insert(now + self.params.caller_grace);
        if self.caller_absent() {
            self.stall.disarm();
            self.recovery = None;
        }
    }

    fn caller_back(&mut self, now: Timestamp, after: u64, effects: &mut Vec<SessionEffect>) {
        self.grace_end = None;
        let known = self.cursor.generation().is_some();
        if !known || self.delivery == DeliveryMode::Whole {
            self.arm_stall(now);
            return;
        }
        // Tokens may have been lost on the caller's old connection, so the engine sends again
        // what follows the last one that the caller has.
        self.close_exchanges(effects);
        self.read_paused = false;
        self.recovery = None;
        self.cursor.rewind(after);
        self.ledger.begin_connection(after);
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

    /// Takes an input after the end of the response.
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

    /// Cancels a generation that attaches on an exchange that was given up. Without the echo
    /// it could belong to another request, whose response was swapped with this one.
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

    /// Ends the response with an error and the generation with it.
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
        self.ledger.finish();
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
            // The engine never answered, so whether it ran the request is unknown.
            ErrorKind::BackendFailed
        }
    }

    fn accepts_from(&mut self, exchange: u32) -> bool {
        let accepted = self.phase == SessionPhase::Running && self.current == Some(exchange);
        self.stray += u64::from(!accepted);
        accepted
    }

    /// Returns whether tokens have no receiver. Whole delivery goes on without its caller.
    fn caller_absent(&self) -> bool {
        self.grace_end.is_some() && self.delivery == DeliveryMode::Stream
    }

    fn arm_stall(&mut self, now: Timestamp) {
        if self.current.is_some() && !self.read_paused && !self.caller_absent() {
            self.stall.arm(now);
        }
    }

    fn suspect(&self, reason: LostReason, effects: &mut Vec<SessionEffect>) {
        // An engine that answers `Rejected` works.
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
        if let Some(server) = self.ledger.release_permit() {
            effects.push(SessionEffect::ReleasePermit { server });
        }
    }
}
