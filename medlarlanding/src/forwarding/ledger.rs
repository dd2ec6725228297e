//! Ledger of the runs that the ends of engines broke off, and the parts of prompts blocked for them.

use std::cell::RefCell;
use std::net::SocketAddr;

use super::servers::start_hash;
use super::shared::ForwardState;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::ServerEntry;
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::{
    BlockedPart, CrashKey, CrashLedger, LedgerNews, PartId, PromptParts, PromptVerdict, RunPhase,
};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexSet;
use tokio::sync::{mpsc, watch};

/// The ledger of this instance.
pub struct LedgerState {
    /// Runs that the ends of engines broke off, as all instances reported them.
    entries: RefCell<CrashLedger>,
    /// Parts of prompts that were blocked when the ledger last changed.
    blocked_parts: RefCell<IndexSet<PartId>>,
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
            blocked_parts: RefCell::default(),
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
        let is_fatal = || self.check_prompt(parts).is_some_and(|blocked| !blocked.is_familiar);
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

    /// Adds the entries of a peer's ledger. What the coordinator may not know is told to the peers.
    pub fn merge_ledger(&self, source: SocketAddr, received: LedgerNews) {
        let merged = self.ledger.entries.borrow_mut().merge(self.now(), received);
        if !merged.received.is_empty() {
            self.update_blocked_parts();
        }
        let is_from_coordinator = self.peers.borrow().coordinator(self.now()) == Some(source);
        let news = if is_from_coordinator { merged.own } else { merged.into_all() };
        self.apply_ledger_change(news);
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

    fn apply_ledger_change(&self, news: LedgerNews) {
        if news.is_empty() {
            return;
        }
        self.update_blocked_parts();
        // Sending fails only while the process ends.
        let _ = self.ledger.news.send(news);
    }

    /// Logs which parts were blocked or released since the last call.
    pub fn update_blocked_parts(&self) {
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
