//! The history of the store that this instance follows, and what begins with a later one.
//!
//! All news passes through `ForwardState::observe_history` before its revisions are compared.
//! `medlarlanding_core::forwarding::StoreView` decides.

use std::cell::{Ref, RefCell, RefMut};

use super::shared::ForwardState;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, HistoryOrder, PeerDigest, RetentionParams, StoreEra, StorePosition, StoreView,
};

use tokio::sync::watch;

/// Source in logs of a listed entry that applies because nothing else was heard of the server.
const SETTLED: &str = "settled";

/// What this instance knows of the store.
pub struct StoreState {
    view: RefCell<StoreView>,
    /// History of `view`.
    era: watch::Sender<StoreEra>,
}

impl StoreState {
    /// Creates the state of a process that knows nothing of the store.
    pub fn new(params: RetentionParams) -> Self {
        Self { view: RefCell::new(StoreView::new(params)), era: watch::Sender::default() }
    }

    /// Returns what is known.
    pub fn view(&self) -> Ref<'_, StoreView> {
        self.view.borrow()
    }

    /// Returns what is known, for news of its history.
    pub fn view_mut(&self) -> RefMut<'_, StoreView> {
        self.view.borrow_mut()
    }

    /// Returns the history that is known.
    pub fn era(&self) -> StoreEra {
        self.view().era()
    }

    /// Waits until a history after `era` is known.
    pub async fn history_after(&self, era: StoreEra) {
        let mut current = self.era.subscribe();
        // The sender lives as long as this state.
        let _ = current.wait_for(|current| *current > era).await;
    }
}

impl ForwardState {
    /// Records the history that news belongs to; unstated if the news does not tell. Returns whether the
    /// news applies: revisions of earlier histories have no meaning any more.
    pub fn observe_history(&self, era: StoreEra, source: ChangeSource) -> bool {
        let (known, position) = (self.store.era(), self.store.view().entries_position());
        let order = self.store.view_mut().observe(era);
        match order {
            HistoryOrder::Earlier => {
                self.telemetry.stale_news.with_label_values(&[source.name()]).inc();
                false
            },
            HistoryOrder::Current => true,
            HistoryOrder::Later => {
                self.begin_history(known, position, source);
                true
            },
        }
    }

    /// Records what a digest says of the store. One that does not state the history is of the known one.
    pub fn observe_digest(&self, digest: &mut PeerDigest) {
        // One of an earlier history is no news, but shows that the sender lives.
        self.observe_history(digest.era, ChangeSource::Peer);
        digest.era = digest.era.or(self.store.era());
        let coordinator = self.peers.borrow().coordinator(self.now());
        if digest.reaches_store && coordinator == Some(digest.sender) {
            // The coordinator repeats its watch of the server entries all the time.
            let changed = StorePosition { era: digest.era, revision: digest.servers_revision };
            self.store.view_mut().note_peer(self.now(), changed);
        }
    }

    /// Tells tasks and peers of a history that has begun. `position` is the last one of the history
    /// `known` before it.
    fn begin_history(&self, known: StoreEra, position: StorePosition, source: ChangeSource) {
        let era = self.store.era();
        self.telemetry.store_era.set(era_number(era));
        self.store.era.send_replace(era);
        if known != StoreEra::UNSTATED || position.is_known() {
            self.telemetry.store_restores.inc();
            event(
                EventKind::StoreRestored,
                &[&era_number(known), &position.revision, &era_number(era), &source.name()],
            );
        }
        self.digest_wanted.notify_one();
        self.zone.fetch_wanted.notify_one();
    }

    /// Applies what was retained from earlier histories and is now known to be gone.
    pub fn settle_retained(&self) {
        let now = self.now();
        let due = self.store.view_mut().take_due_entries(&self.directory.borrow());
        for change in due {
            self.update_directory(change, SETTLED);
        }
        let changes = self.store.view_mut().expire_zones(now);
        self.apply_zone_changes(&changes, ChangeSource::Store);
    }
}

/// Returns the store's own number of a history for logs and metrics; -1 if it was not stated.
fn era_number(era: StoreEra) -> i64 {
    era.number().map_or(-1, |number| i64::try_from(number).unwrap_or(i64::MAX))
}
