//! Ledger of the runs that the ends of engines broke off, and the parts of prompts blocked for them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use super::servers::start_hash;
use super::shared::{ForwardState, SharedState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::ServerEntry;
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::{
    BlockedPart, CrashKey, CrashLedger, CrashReport, FinishedRun, FinishedRuns, LedgerNews, PartId,
    PromptParts, PromptVerdict, RunPhase,
};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexSet;
use tokio::sync::{Notify, mpsc, watch};

/// Time for which the end of an engine is news: runs that finish there meanwhile may have caused it.
const END_NEWS_TIME: Duration = Duration::from_secs(2);

/// Most finished runs of an engine that are blamed for its end although all their parts were survived
/// lately.
const FAMILIAR_RUNS_LIMIT: usize = 2;
/// Pause in which entries of the same end arrive, before the blocked parts are derived from them.
const REFRESH_PAUSE: Duration = Duration::from_millis(3);

/// Keeps the blocked parts up to date with the entries until the process ends.
pub async fn refresh_blocked_parts(state: SharedState) -> anyhow::Result<()> {
    loop {
        state.ledger.refresh_wanted.notified().await;
        tokio::time::sleep(REFRESH_PAUSE).await;
        state.update_blocked_parts();
    }
}

/// The ledger of this instance.
pub struct LedgerState {
    /// Runs that the ends of engines broke off, as all instances reported them.
    entries: RefCell<CrashLedger>,
    /// Runs of this instance whose answers ended before their engines had survived the prompts.
    finished: RefCell<FinishedRuns>,
    /// Parts of prompts that were blocked when the ledger last changed.
    blocked_parts: RefCell<IndexSet<PartId>>,
    /// Notified when entries were added.
    refresh_wanted: Notify,
    /// Notified when a part is blocked.
    block_changes: watch::Sender<u64>,
    /// Entries of the ledger that are to be sent to peers.
    news: mpsc::UnboundedSender<LedgerNews>,
}

impl LedgerState {
    /// Creates an empty ledger, whose new entries are passed to `news`.
    pub fn new(news: mpsc::UnboundedSender<LedgerNews>) -> Self {
        Self {
            entries: RefCell::default(),
            finished: RefCell::default(),
            blocked_parts: RefCell::default(),
            refresh_wanted: Notify::new(),
            block_changes: watch::Sender::new(0),
            news,
        }
    }
}

impl ForwardState {
    /// Returns the part of a prompt on which engines ended, if requests with it are refused.
    pub fn check_prompt(&self, parts: &PromptParts) -> Option<BlockedPart> {
        self.ledger.entries.borrow().check(self.now(), parts)
    }

    /// Decides on a new request with a prompt. Only the coordinator tries requests with a blocked part.
    pub fn admit_prompt(&self, request: &str, parts: &PromptParts) -> PromptVerdict {
        let now = self.now();
        let is_coordinator = self.peers.borrow().coordinator(now).is_none();
        let verdict = self.ledger.entries.borrow_mut().admit(now, parts, is_coordinator);
        if let PromptVerdict::Trial(blocked) = verdict {
            event(EventKind::PartTried, &[&request, &blocked.part, &blocked.ends]);
        }
        verdict
    }

    /// Waits until engines are taken to end on this prompt. A part that runs survived before may be
    /// sound, which those in progress show.
    pub async fn wait_for_block(&self, parts: &PromptParts) {
        let is_fatal = || self.check_prompt(parts).is_some_and(|blocked| !blocked.is_doubtful);
        let mut changes = self.ledger.block_changes.subscribe();
        // The sender lives as long as this state.
        let _ = changes.wait_for(|_| is_fatal()).await;
    }

    /// Records a run that the end of its engine broke off, and tells the peers.
    pub fn record_broken_run(
        &self,
        entry: &ServerEntry,
        request: &str,
        phase: RunPhase,
        parts: &PromptParts,
    ) {
        let (server, run) = (start_hash(entry), stable_hash(request.as_bytes()));
        let key = CrashKey { server, run };
        let news =
            self.ledger.entries.borrow_mut().record_crash(self.now(), key, phase, parts.clone());
        self.apply_ledger_change(news);
    }

    /// Records that a run which began at `begun_at` survived the parts of its prompt, and tells the
    /// peers if any of them is suspected.
    pub fn record_survival(&self, begun_at: Timestamp, parts: &PromptParts) {
        let news = self.ledger.entries.borrow_mut().record_survival(self.now(), begun_at, parts);
        self.apply_ledger_change(news);
    }

    /// Records that an engine has written on a prompt for longer than it does on a fatal part.
    pub fn record_writing(&self, parts: &PromptParts) {
        self.ledger.entries.borrow_mut().record_writing(self.now(), parts);
    }

    /// Records a sign of life of an engine, given with the hash of its start.
    pub fn hear_engine(&self, engine: u64) {
        let survivors = self.ledger.finished.borrow_mut().hear(self.now(), engine);
        for run in survivors {
            self.record_survival(run.begun_at, &run.parts);
        }
    }

    /// Keeps a run whose answer has ended. Returns false if its engine has just ended, which counts
    /// against the run at once.
    pub fn finish_run(&self, engine: u64, run: FinishedRun) -> bool {
        let now = self.now();
        self.ledger.finished.borrow_mut().add(now, engine, run);
        let has_ended = self.ledger.entries.borrow().has_end_since(now - END_NEWS_TIME, engine);
        if has_ended {
            self.blame_finished_runs(engine);
        }
        !has_ended
    }

    /// Returns whether it is worth asking an engine for a sign of life because of a finished run.
    pub fn wants_proof(&self, engine: u64, run: u64, parts: &PromptParts) -> bool {
        self.ledger.finished.borrow().is_open(engine, run)
            && self.ledger.entries.borrow().wants_evidence(self.now(), parts)
    }

    /// Records that an engine has ended, and tells the peers, which may have finished runs there.
    pub fn record_engine_end(&self, engine: u64) {
        self.blame_finished_runs(engine);
        let now = self.now();
        if !self.ledger.entries.borrow().has_end_since(now - END_NEWS_TIME, engine) {
            let news = self.ledger.entries.borrow_mut().record_end(now, engine);
            self.apply_ledger_change(news);
        }
    }

    /// Records the finished runs on which an engine may have ended.
    fn blame_finished_runs(&self, engine: u64) {
        let now = self.now();
        let runs = self.ledger.finished.borrow_mut().end(engine);
        let is_familiar =
            |run: &FinishedRun| !self.ledger.entries.borrow().wants_evidence(now, &run.parts);
        let (familiar, others): (Vec<FinishedRun>, Vec<FinishedRun>) =
            runs.into_iter().partition(is_familiar);
        // The run on which an engine ended is among the last ones.
        let last = familiar.into_iter().rev().take(FAMILIAR_RUNS_LIMIT);
        let mut news = LedgerNews::default();
        for run in others.into_iter().chain(last) {
            let key = CrashKey { server: engine, run: run.run };
            let mut entries = self.ledger.entries.borrow_mut();
            let added = entries.record_crash(now, key, run.phase, run.parts);
            news.crashes.extend(added.crashes);
            news.clears.extend(added.clears);
        }
        self.apply_ledger_change(news);
    }

    /// Adds the entries of a peer's ledger. What the coordinator may not know is told to the peers.
    pub fn merge_ledger(&self, source: SocketAddr, received: LedgerNews) {
        let is_new = |crash: &&CrashReport| u128::from(crash.age_ms) < END_NEWS_TIME.as_millis();
        let ended: IndexSet<u64> =
            received.crashes.iter().filter(is_new).map(|crash| crash.key.server).collect();
        let merged = self.ledger.entries.borrow_mut().absorb(self.now(), received);
        if !merged.received.is_empty() {
            self.ledger.refresh_wanted.notify_one();
        }
        let is_from_coordinator = self.peers.borrow().coordinator(self.now()) == Some(source);
        let news = if is_from_coordinator { merged.own } else { merged.into_all() };
        self.apply_ledger_change(news);
        ended.into_iter().for_each(|engine| self.blame_finished_runs(engine));
    }

    /// Returns all entries of the ledger and its fingerprint.
    pub fn ledger_snapshot(&self) -> (LedgerNews, u64) {
        let ledger = self.ledger.entries.borrow();
        (ledger.snapshot(self.now()), ledger.fingerprint())
    }

    /// Returns the fingerprint of the ledger; `None` if it is empty.
    pub fn ledger_fingerprint(&self) -> Option<u64> {
        let ledger = self.ledger.entries.borrow();
        (!ledger.is_empty()).then(|| ledger.fingerprint())
    }

    /// Shares what is new and lets `refresh_blocked_parts` take notice of it.
    fn apply_ledger_change(&self, news: LedgerNews) {
        if news.is_empty() {
            return;
        }
        self.ledger.refresh_wanted.notify_one();
        // Sending fails only while the process ends.
        let _ = self.ledger.news.send(news);
    }

    /// Logs which parts were blocked or released since the last call.
    pub fn update_blocked_parts(&self) {
        self.ledger.entries.borrow_mut().refresh();
        let blocked = self.ledger.entries.borrow().blocked(self.now());
        let current: IndexSet<PartId> = blocked.iter().map(|rule| rule.part).collect();
        let known = self.ledger.blocked_parts.replace(current.clone());
        for rule in blocked.iter().filter(|rule| !known.contains(&rule.part)) {
            event(EventKind::PartBlocked, &[&rule.part, &rule.ends, &rule.remaining.as_secs()]);
        }
        for part in known.difference(&current) {
            event(EventKind::PartReleased, &[part]);
        }
        self.telemetry.blocked_parts.set(current.len() as i64);
        if current.difference(&known).next().is_some() {
            self.ledger.block_changes.send_modify(|count| *count += 1);
        }
    }
}
