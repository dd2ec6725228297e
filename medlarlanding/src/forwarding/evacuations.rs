//! Evacuated availability zones: what the store and peers say of them, and when it is exchanged.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::peer_link::{PeerLink, relay_routes};
use super::shared::{ForwardState, SharedState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, EvacuationSync, EvacuationTable, PauseGate, PauseParams, PeerMessage,
    RegionLimit, ServerAccess, ServerKey, ServerRecord, SyncPurpose, ZoneChange, ZoneEntry,
    ZoneRegions,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::evacuations::{EvacuationItem, decode_evacuation};
use medlarlanding_platform::settings::PlatformSettings;
use medlarlanding_platform::store::StoreItem;

use indexmap::IndexMap;
use tokio::sync::Notify;

/// A run that is being moved may still be resumed in a zone for the limit of evacuations divided by this
/// after this instance has learned of the evacuation. The copy of a run takes about a second, and 3 s are
/// left for the news to arrive.
const RESUME_DIVISOR: u32 = 4;
/// Limit of evacuations where the settings do not state it.
const DEFAULT_LIMIT: Duration = Duration::from_secs(5);
/// Interval at which a request that may not be sent yet checks again.
const GATE_PERIOD: Duration = Duration::from_millis(10);
/// Most bytes of an encoded table in a datagram. Peers fetch a longer one over TCP.
const TABLE_LIMIT: usize = 3_000;
/// How long the table of a live peer may differ from the own one before it is fetched. Usually the
/// exchange that the next digest causes ends the difference.
const DIFFERENCE_LIMIT: Duration = Duration::from_millis(600);
/// How long after the start differences between tables keep an instance from being ready. Later ones
/// show a peer that cannot be reached.
const START_LIMIT: Duration = Duration::from_secs(3);
/// Size in bytes of a zone in a message without its name.
const ZONE_LENGTH: usize = 14;
/// Peers that are asked at the same time after a pause; some of them may have ended.
const ASKED_PEERS: usize = 8;
/// Numbers from which that of a question is drawn.
const QUESTION_NUMBERS: f64 = 1e15;
/// Most items whose faults are remembered, so that each is logged once.
const LOGGED_LIMIT: usize = 1_000;

/// Whether a request that is sent to a server begins something there.
#[derive(Clone, Copy, Debug)]
pub enum SendPurpose {
    /// The request has not run, or may run again.
    New,
    /// The request resumes a run whose memory the server has.
    Resumed,
}

/// Evacuated zones as this instance knows them.
pub struct EvacuationState {
    /// Ignored keys with the revisions at which that was logged; the oldest are dropped first.
    logged: RefCell<IndexMap<String, u64>>,
    /// Since when a live peer has had another table; `None` while all have the same.
    differs_since: Cell<Option<Timestamp>>,
    gate: RefCell<PauseGate>,
    /// Number of the question to peers after the last pause, drawn at random; 0 before the first.
    question: Cell<u64>,
    /// Notified when a pause has ended.
    pause_ended: Notify,
    started_at: Timestamp,
}

impl EvacuationState {
    /// Creates the state of a process that starts now and knows of no evacuated zone.
    pub fn new(now: Timestamp) -> Self {
        Self {
            logged: RefCell::default(),
            differs_since: Cell::default(),
            gate: RefCell::new(PauseGate::new(PauseParams::default(), now)),
            question: Cell::default(),
            pause_ended: Notify::new(),
            started_at: now,
        }
    }
}

/// Returns the regions of the zones that the settings name.
pub fn zone_regions(settings: &PlatformSettings) -> ZoneRegions {
    let zones = &settings.zone_regions;
    ZoneRegions::new(zones.iter().map(|(zone, region)| (zone.as_str(), region.as_str())))
}

impl ForwardState {
    /// Returns the table of evacuated zones.
    pub fn evacuations(&self) -> EvacuationTable {
        self.store.view().evacuations().clone()
    }

    /// Returns the fingerprint of the table, which digests carry.
    pub fn evacuation_fingerprint(&self) -> u64 {
        self.store.view().evacuations().fingerprint()
    }

    /// Applies the complete list of items that the store returned at a revision. Returns whether a zone
    /// was evacuated or restored by it.
    pub fn read_evacuations(&self, items: &[StoreItem], revision: u64) -> bool {
        let entries = self.decode_evacuations(items);
        let changes = self.store.view_mut().read_zones(self.now(), &entries, revision);
        self.apply_zone_changes(&changes, ChangeSource::Store);
        !changes.is_empty()
    }

    /// Applies items that changed in the store after the revision `after` and up to `revision`. Returns
    /// whether a zone was evacuated or restored by them.
    pub fn change_evacuations(&self, items: &[StoreItem], after: u64, revision: u64) -> bool {
        let entries = self.decode_evacuations(items);
        let now = self.now();
        let changes = self.store.view_mut().change_listed_zones(now, &entries, after, revision);
        self.apply_zone_changes(&changes, ChangeSource::Store);
        !changes.is_empty()
    }

    /// Merges the table of a peer, which is of the known history of the store.
    pub fn merge_evacuations(&self, table: &EvacuationTable) {
        let changes = self.store.view_mut().merge_zones(self.now(), table);
        self.apply_zone_changes(&changes, ChangeSource::Peer);
    }

    fn decode_evacuations(&self, items: &[StoreItem]) -> Vec<ZoneEntry> {
        let decode = |item: &StoreItem| {
            let EvacuationItem { entry, fault } = decode_evacuation(item)?;
            if let Some(fault) = fault {
                self.log_refusal(&item.key, item.revision, fault.name());
            }
            entry
        };
        items.iter().filter_map(decode).collect()
    }

    pub(super) fn apply_zone_changes(&self, changes: &[ZoneChange], source: ChangeSource) {
        if changes.is_empty() {
            return;
        }
        for ZoneChange { zone, state } in changes {
            if state.is_evacuated && !self.is_known_zone(zone) {
                // The zone stays in the table: its servers may register later.
                self.log_refusal(zone, state.revision, "unknown_zone");
                continue;
            }
            let kind = match state.is_evacuated {
                true => EventKind::ZoneEvacuated,
                false => EventKind::ZoneRestored,
            };
            event(kind, &[zone, &state.revision, &source.name()]);
        }
        let evacuated = self.store.view().evacuated();
        self.directory.borrow_mut().set_evacuated(self.now(), evacuated.iter());
        let known = evacuated.iter().filter(|zone| self.is_known_zone(zone)).count();
        self.telemetry.evacuated_zones.set(known as i64);
        self.digest_wanted.notify_one();
        self.directory_changes.send_modify(|count| *count += 1);
    }

    /// Returns whether the settings or a server entry name a zone. Before the server entries are known,
    /// all zones of settings without a list count as known.
    fn is_known_zone(&self, zone: &str) -> bool {
        let settings = &self.settings;
        settings.zone == zone
            || settings.zone_regions.iter().any(|(name, _)| name == zone)
            || self.directory.borrow().entries().any(|entry| &*entry.zone == zone)
            || settings.zone_regions.is_empty() && !self.store.view().entries_position().is_known()
    }

    /// Logs an ignored item once.
    fn log_refusal(&self, key: &str, revision: u64, reason: &'static str) {
        let mut logged = self.evacuation.logged.borrow_mut();
        if logged.get(key) == Some(&revision) {
            return;
        }
        logged.shift_remove(key);
        if logged.len() >= LOGGED_LIMIT {
            logged.shift_remove_index(0);
        }
        logged.insert(key.to_owned(), revision);
        event(EventKind::EvacuationRefused, &[&key, &revision, &reason]);
    }

    /// Returns a live peer from which the table has to be fetched because it has differed for a while.
    pub fn peer_with_other_table(&self, now: Timestamp) -> Option<SocketAddr> {
        let fingerprint = self.evacuation_fingerprint();
        let peer = self.peers.borrow().peer_with_other_evacuations(now, fingerprint, self.draw());
        let since = peer.map(|_| self.evacuation.differs_since.get().unwrap_or(now));
        self.evacuation.differs_since.set(since);
        peer.filter(|_| since.is_some_and(|since| now.since(since) >= DIFFERENCE_LIMIT))
    }

    /// Records that a fetch has begun that also returns the table.
    pub fn begin_table_fetch(&self) {
        self.evacuation.differs_since.set(None);
    }

    /// Returns whether this instance has just started and a live peer knows other evacuated zones.
    pub fn lacks_evacuations(&self, now: Timestamp) -> bool {
        let fingerprint = self.evacuation_fingerprint();
        let peers = self.peers.borrow();
        now.since(self.evacuation.started_at) < START_LIMIT
            && peers.peer_with_other_evacuations(now, fingerprint, 0.0).is_some()
    }

    /// Returns the time until a moved run may be resumed at a server, as `send_delay` does. A server in a
    /// zone that was evacuated during the move still takes the run for a while, because no other one has
    /// its memory.
    pub fn resume_delay(
        &self,
        key: ServerKey,
        arrived_at: Timestamp,
        regions: &RegionLimit,
    ) -> Duration {
        let now = self.now();
        let directory = self.directory.borrow();
        let Some(record) = directory.get(key) else { return Duration::MAX };
        match record.access_for(now, regions) {
            ServerAccess::Evacuated if !self.is_evacuated_for_long(key) => record.hold_left(now),
            _ => self.send_delay(key, arrived_at, regions),
        }
    }

    /// Returns whether the zone of a server has been evacuated for so long that it no longer takes moved
    /// runs.
    pub fn is_evacuated_for_long(&self, key: ServerKey) -> bool {
        let grace = self.settings.evacuate_limit.unwrap_or(DEFAULT_LIMIT) / RESUME_DIVISOR;
        let directory = self.directory.borrow();
        let since = directory.get(key).and_then(ServerRecord::evacuated_since);
        since.is_some_and(|since| self.now().since(since) >= grace)
    }

    /// Returns whether a request may be sent to a server over a connection that was just opened. The
    /// process may have been paused, or the zone evacuated, since the server was chosen.
    pub async fn may_send(&self, key: ServerKey, purpose: SendPurpose) -> bool {
        self.wait_for_news().await;
        match purpose {
            SendPurpose::New => {
                let directory = self.directory.borrow();
                directory.get(key).is_none_or(|record| record.evacuated_since().is_none())
            },
            SendPurpose::Resumed => !self.is_evacuated_for_long(key),
        }
    }

    /// Waits until requests may be sent after a pause of the process. Does not wait where the settings
    /// do not limit the time for which an evacuated zone may get requests.
    pub async fn wait_for_news(&self) {
        while self.settings.evacuate_limit.is_some() && !self.is_gate_open() {
            tokio::time::sleep(GATE_PERIOD).await;
        }
    }

    /// Checks whether the process was paused. Peers are then asked for their tables.
    fn check_pause(&self, now: Timestamp) {
        let paused = self.evacuation.gate.borrow_mut().check(now);
        if let Some(paused) = paused {
            event(EventKind::PauseDetected, &[&paused.as_millis()]);
            self.evacuation.question.set((self.draw() * QUESTION_NUMBERS) as u64 + 1);
            self.evacuation.pause_ended.notify_one();
        }
    }

    /// Returns whether requests may be sent. Checks for a pause first, because after one the tasks of the
    /// process continue in any order.
    fn is_gate_open(&self) -> bool {
        let now = self.now();
        self.check_pause(now);
        self.evacuation.gate.borrow().is_open(now)
    }
}

impl PeerLink {
    /// Sends the table to all peers after a change.
    pub fn send_evacuations(&self, state: &ForwardState) {
        if let Some(message) = table_message(state, SyncPurpose::Share) {
            self.send_to_groups(state, &message, &relay_routes(state));
        }
    }

    /// Sends the table to a peer whose digest shows that its table differs.
    pub fn compare_evacuations(&self, state: &ForwardState, peer: SocketAddr, fingerprint: u64) {
        if state.evacuation_fingerprint() != fingerprint {
            self.send_table(state, SyncPurpose::Share, &[peer]);
        }
    }

    /// Merges a table of a peer and sends the own one if the peer needs it.
    pub fn receive_evacuations(
        &self,
        state: &ForwardState,
        peer: SocketAddr,
        sync: &EvacuationSync,
    ) {
        let is_current = state.observe_history(sync.era, ChangeSource::Peer);
        if is_current {
            state.merge_evacuations(&sync.table);
        }
        match sync.purpose {
            SyncPurpose::Share => {
                if state.evacuation_fingerprint() != sync.table.fingerprint() {
                    self.send_table(state, SyncPurpose::Answer(0), &[peer]);
                }
            },
            // An instance that was itself paused knows no more than the one that asks.
            SyncPurpose::Ask(number) if state.is_gate_open() => {
                self.send_table(state, SyncPurpose::Answer(number), &[peer]);
            },
            SyncPurpose::Ask(_) => {},
            SyncPurpose::Answer(number) => {
                // A peer of an earlier history may know less than this instance.
                if is_current && number != 0 && number == state.evacuation.question.get() {
                    state.evacuation.gate.borrow_mut().open();
                }
            },
        }
    }

    fn send_table(&self, state: &ForwardState, purpose: SyncPurpose, targets: &[SocketAddr]) {
        if let Some(message) = table_message(state, purpose) {
            self.send(state, &message, targets);
        }
    }
}

/// Returns the message with the table; `None` if the table is too long for a datagram.
fn table_message(state: &ForwardState, purpose: SyncPurpose) -> Option<PeerMessage> {
    let table = state.evacuations();
    let length: usize = table.evacuated().map(|zone| zone.len() + ZONE_LENGTH).sum();
    let sync = EvacuationSync { table, purpose, era: state.store.era() };
    (length <= TABLE_LIMIT).then_some(PeerMessage::Evacuations(sync))
}

/// Detects pauses of the process, and then asks peers for their tables until one has answered.
pub async fn watch_pauses(link: Rc<PeerLink>, state: SharedState) -> anyhow::Result<()> {
    let period = PauseParams::default().check_period;
    if state.settings.evacuate_limit.is_none() {
        return Ok(());
    }
    loop {
        // The next check is due after a timeout too.
        let _ = tokio::time::timeout(period, state.evacuation.pause_ended.notified()).await;
        if state.is_gate_open() {
            continue;
        }
        let peers = state.peers.borrow().addresses();
        let first = (state.draw() * peers.len() as f64) as usize;
        let asked = peers.iter().cycle().skip(first).take(peers.len().min(ASKED_PEERS));
        let asked: Vec<SocketAddr> = asked.copied().collect();
        let question = SyncPurpose::Ask(state.evacuation.question.get());
        link.send_table(&state, question, &asked);
    }
}
