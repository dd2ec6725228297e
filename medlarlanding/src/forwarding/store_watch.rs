//! Reads the configuration and the server entries from the platform's store and watches them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::peer_link::PeerLink;
use super::servers::start_hash;
use super::shared::SharedState;
use super::store_client::{StoreAnswer, StoreClient, WatchAnswer};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, ColdReadParams, DirectoryChange, StoreEra, StorePosition,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::config::{CONFIG_KEY, OPERATOR_PREFIX};
use medlarlanding_platform::servers::{SERVERS_PREFIX, ServerReport, decode_item};
use medlarlanding_platform::store::StoreItem;

use anyhow::bail;
use indexmap::IndexMap;

/// Time for which a watch waits at the store. A lost answer is noticed only after this time, and a
/// configuration must be in force 2 s after the store has worked again for 3 s.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// Time for which the coordinator's watch of the server entries waits. A store that goes down may
/// leave a waiting call without an answer, and only the next call shows it; engines give 1.5 s of
/// notice.
const COORDINATOR_WATCH_WAIT: Duration = Duration::from_millis(400);
/// First pause after a failed call; doubles with each further failure up to `RETRY_MAX`. All calls
/// are charged, including refused ones.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause after a failed call; a change must be in force 2 s after its confirmation.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Pause of the coordinator after a watch that returned changes, so that changes made at about the
/// same time need only one call; short compared with the 1.5 s of notice of a leaving engine.
const BATCH_PAUSE: Duration = Duration::from_millis(50);
/// Addition to `BATCH_PAUSE` for each instance, which limits the rate of datagrams that the
/// coordinator sends.
const BATCH_PAUSE_PER_INSTANCE: Duration = Duration::from_micros(500);
/// Pause of the other hubs after a watch that returned changes. The coordinator reports changes to
/// them; if it fails, they are still in time for a configuration that must be in force after 2 s.
const STANDBY_PAUSE: Duration = Duration::from_millis(900);
/// Age of entries that the other hubs read: their pause and the time of a call.
const STANDBY_LATENESS: Duration = Duration::from_millis(1000);

/// Interval at which an instance that waits for the list of a peer checks whether it has arrived.
const PEER_LIST_CHECK: Duration = Duration::from_millis(20);
/// Interval at which an instance that does not watch the store checks whether it has to.
const WATCH_CHECK_PERIOD: Duration = Duration::from_millis(200);
/// Time that an instance waits, for each standby level, for higher-ranked instances to take over the
/// watch.
const TAKEOVER_DELAY: Duration = Duration::from_millis(150);

/// Part of the store that is watched.
#[derive(Clone, Copy, Debug)]
pub enum WatchedPart {
    /// The current configuration and the evacuated zones. One watch covers both, because calls to the
    /// store are charged.
    Config,
    /// The server entries.
    Servers,
}

impl WatchedPart {
    fn prefix(self) -> &'static str {
        match self {
            Self::Config => OPERATOR_PREFIX,
            Self::Servers => SERVERS_PREFIX,
        }
    }

    fn name(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Servers => "servers",
        }
    }
}

/// Reads a part of the store and watches it for changes until the process ends.
pub async fn run(state: SharedState, link: Rc<PeerLink>, part: WatchedPart) -> anyhow::Result<()> {
    let mut watch = PartWatch {
        client: StoreClient::new(state.settings.store),
        state: Rc::clone(&state),
        link,
        part,
        position: None,
        has_followed: true,
        started: state.now(),
        has_waited: false,
    };
    let mut is_unreachable = false;
    let mut pause = RETRY_MIN;
    loop {
        watch.wait_until_needed().await;
        match watch.step().await {
            Ok(CallOutcome::Abandoned) => {},
            Ok(CallOutcome::Answered) => {
                state.telemetry.store_calls.with_label_values(&["ok"]).inc();
                state.reaches_store.set(true);
                if is_unreachable {
                    event(EventKind::PlatformReachable, &[&part.name()]);
                }
                is_unreachable = false;
                pause = RETRY_MIN;
            },
            Err(error) => {
                state.telemetry.store_calls.with_label_values(&["failed"]).inc();
                if state.reaches_store.replace(false) {
                    // The digest tells other instances to take over the watch.
                    state.digest_wanted.notify_one();
                    state.store_lost.notify_one();
                }
                if !is_unreachable {
                    event(EventKind::PlatformUnreachable, &[&part.name(), &format!("{error:#}")]);
                }
                is_unreachable = true;
                let level = state.peers.borrow().standby_level(state.now());
                let spread = 0.75 + state.draw() / 2.0;
                tokio::time::sleep(pause.mul_f64(spread) * (level + 1)).await;
                pause = (pause * 2).min(RETRY_MAX);
            },
        }
    }
}

/// Outcome of a call that did not fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// The store answered.
    Answered,
    /// The call was given up, because the store has left the history that it asked for.
    Abandoned,
}

struct PartWatch {
    client: StoreClient,
    state: SharedState,
    link: Rc<PeerLink>,
    part: WatchedPart,
    /// Position up to which changes are known; `None` if the part has to be read completely. It also has
    /// to be once the store has left the history of the position.
    position: Option<StorePosition>,
    /// A watch has succeeded since the part was last read completely.
    has_followed: bool,
    /// When the process began to read the store.
    started: Timestamp,
    /// This process has waited in vain for the list of a peer.
    has_waited: bool,
}

impl PartWatch {
    /// Waits until this instance has to call the store: either the part must be read completely, or
    /// this instance watches the store for the others.
    async fn wait_until_needed(&mut self) {
        while self.position.is_some() {
            self.wait_for_first_watch().await;
            let level = self.state.peers.borrow().standby_level(self.state.now());
            if self.is_watching() && level == 0 {
                break;
            }
            if !self.is_watching() {
                // The result of the last call is out of date.
                self.state.reaches_store.set(false);
            }
            tokio::time::sleep(WATCH_CHECK_PERIOD).await;
            if self.is_watching() {
                // The hubs may have lost the store only a moment ago; a higher-ranked instance may
                // take over first.
                tokio::time::sleep(TAKEOVER_DELAY * level).await;
                if self.is_watching() {
                    break;
                }
            }
        }
        if let (WatchedPart::Servers, Some(position)) = (self.part, self.position) {
            // While another instance watched, peers have reported changes up to this position.
            let reported = self.state.store.view().entries_position();
            if reported.is_known() {
                self.position = Some(reported.max(position));
            }
        }
    }

    /// Waits until this instance has had the time to hear of its peers.
    async fn wait_for_first_watch(&self) {
        let is_seed = self.state.peers.borrow().is_seed();
        let elapsed = self.state.now().since(self.started);
        let left = ColdReadParams::default().first_watch(is_seed).saturating_sub(elapsed);
        if !left.is_zero() {
            tokio::time::sleep(left).await;
        }
    }

    fn is_watching(&self) -> bool {
        self.state.peers.borrow().watches_store(self.state.now())
    }

    fn is_coordinator(&self) -> bool {
        self.state.peers.borrow().coordinator(self.state.now()).is_none()
    }

    async fn step(&mut self) -> anyhow::Result<CallOutcome> {
        let is_current = |position: &StorePosition| position.era == self.state.store.era();
        let Some(StorePosition { era, revision }) = self.position.filter(is_current) else {
            return self.read_all().await;
        };
        let wait = match self.part {
            WatchedPart::Servers if self.is_coordinator() => COORDINATOR_WATCH_WAIT,
            WatchedPart::Servers | WatchedPart::Config => WATCH_WAIT,
        };
        let answer = tokio::select! {
            answer = self.client.watch(self.part.prefix(), revision, wait) => answer?,
            // The other part or a peer has found that the store has left the history. A watch of a
            // connection from before may never be answered.
            () = self.state.store.history_after(era) => return Ok(CallOutcome::Abandoned),
        };
        if self.observe(answer.era)? != era {
            return Ok(CallOutcome::Answered);
        }
        match answer.content {
            WatchAnswer::HistoryGone => {
                self.position = None;
                if !self.has_followed {
                    // The store dropped the history while it was read. It must not be called in a tight
                    // loop.
                    tokio::time::sleep(RETRY_MIN).await;
                }
            },
            WatchAnswer::Changes(changes) => {
                self.has_followed = true;
                let revision = changes.revision.max(revision);
                if let WatchedPart::Servers = self.part {
                    self.state.store.view_mut().note_heard(self.state.now());
                }
                self.apply_changes(changes.items, revision).await;
            },
        }
        Ok(CallOutcome::Answered)
    }

    /// Records the history that an answer belongs to. Returns the history that is known now.
    ///
    /// # Errors
    ///
    /// Fails if the store has left the history: the answer was under way for long, or its sender does
    /// not know of the later one.
    fn observe(&mut self, era: StoreEra) -> anyhow::Result<StoreEra> {
        if !self.state.observe_history(era, ChangeSource::Store) {
            self.client.disconnect();
            bail!("the answer is of a history that the store has left");
        }
        Ok(self.state.store.era())
    }

    async fn apply_changes(&mut self, mut items: Vec<StoreItem>, revision: u64) {
        // Peers take a datagram with older revisions than the one before for known.
        items.sort_by_key(|item| item.revision);
        let has_changes = !items.is_empty();
        if let (WatchedPart::Config, Some(after)) = (self.part, self.position)
            && self.state.change_evacuations(&items, after.revision, revision)
        {
            self.link.send_evacuations(&self.state);
        }
        let mut changed = Vec::new();
        for item in items {
            let changed_at = item.revision;
            if let Some(id) = self.apply(item) {
                changed.push((id, changed_at));
            }
        }
        self.advance(revision);
        if !changed.is_empty() {
            let after = self.state.store.view().changed_position().revision;
            self.state.store.view_mut().entries_mut().advance_with_changes(revision);
            self.link.send_changes(&self.state, after, revision, changed);
        }
        if has_changes {
            tokio::time::sleep(self.batch_pause()).await;
        }
    }

    /// Returns how long ago an entry may have been written that a watch returns, apart from the batch
    /// pause of the coordinator.
    fn entry_lateness(&self) -> Duration {
        if self.is_coordinator() { Duration::ZERO } else { STANDBY_LATENESS }
    }

    fn batch_pause(&self) -> Duration {
        if !self.is_coordinator() {
            return STANDBY_PAUSE;
        }
        let instances = self.state.peers.borrow().instance_count() as u32;
        BATCH_PAUSE + BATCH_PAUSE_PER_INSTANCE * instances
    }

    /// Reads all pages. The watch continues from the revision of the first page, because later pages
    /// may be newer. Pages of two histories do not make up a list.
    async fn read_all(&mut self) -> anyhow::Result<CallOutcome> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut first_position = None;
        let first = loop {
            let after = items.last().map(|item| item.key.clone());
            let answer = self.client.read_page(self.part.prefix(), after.as_deref()).await?;
            let StoreAnswer { era, content: page } = answer;
            let era = self.observe(era)?;
            let first =
                *first_position.get_or_insert(StorePosition { era, revision: page.revision });
            if first.era != era {
                // The next call begins again.
                self.position = None;
                return Ok(CallOutcome::Answered);
            }
            let is_done = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_done {
                break first;
            }
            if self.wait_for_peers().await {
                self.position = Some(self.state.store.view().entries_position());
                return Ok(CallOutcome::Answered);
            }
        };
        match self.part {
            WatchedPart::Config => {
                // The configuration makes this instance ready, so the evacuated zones come first.
                let is_news = self.state.read_evacuations(&items, first.revision);
                if is_news {
                    self.link.send_evacuations(&self.state);
                }
                items.into_iter().for_each(|item| {
                    self.apply(item);
                });
            },
            WatchedPart::Servers => {
                let reports: Vec<ServerReport> = items.iter().filter_map(decode_entry).collect();
                let changes = reports.iter().map(|report| report.change.clone()).collect();
                let is_first = !self.state.store.view().entries_position().is_known();
                let known = if is_first { self.state.start_keys() } else { IndexMap::new() };
                self.state.replace_servers(first.revision, changes, ChangeSource::Store);
                for report in reports {
                    let id = report.change.id();
                    // The entry in an older copy states a cold time that has mostly passed.
                    let start =
                        self.state.directory.borrow().find(id).map(|it| start_hash(&it.entry));
                    if start.is_none_or(|start| !known.contains_key(&start)) {
                        self.state.note_cold_entry(id, &report.cold, Duration::ZERO);
                    }
                }
            },
        }
        self.has_followed = false;
        self.advance(first.revision);
        Ok(CallOutcome::Answered)
    }

    /// Waits for the list of servers from a peer, as long as `ColdReadParams` allows. Returns whether
    /// it was received; an instance that has had a list before does not wait.
    async fn wait_for_peers(&mut self) -> bool {
        let is_known = || self.state.store.view().entries_position().is_known();
        if !matches!(self.part, WatchedPart::Servers) || self.has_waited || is_known() {
            return false;
        }
        let started = self.state.now();
        loop {
            let limit = {
                let peers = self.state.peers.borrow();
                let level = peers.standby_level(self.state.now());
                ColdReadParams::default().wait(peers.is_seed(), level)
            };
            if self.state.now().since(started) >= limit {
                break;
            }
            tokio::time::sleep(PEER_LIST_CHECK).await;
            if is_known() {
                return true;
            }
        }
        self.has_waited = true;
        false
    }

    /// Applies a changed item. Returns the id of the server if the item changes its entry.
    fn apply(&self, item: StoreItem) -> Option<Arc<str>> {
        match self.part {
            WatchedPart::Config if item.key == CONFIG_KEY => {
                match item.value {
                    Some(text) => self.state.offer_config(&text, ChangeSource::Store),
                    None => log::warn!(
                        "configuration at revision {} is removed or not valid base64",
                        item.revision
                    ),
                }
                None
            },
            WatchedPart::Config => None,
            WatchedPart::Servers => {
                let ServerReport { change, cold } = decode_entry(&item)?;
                let id = Arc::clone(change.id());
                let is_known = self.state.store.view().entries().confirms(&id, item.revision);
                let is_new = self.state.change_server(change, item.revision, ChangeSource::Store);
                // An entry whose cold time counts down is no news; one that is cold again is.
                let is_cold = !is_known
                    && self.state.note_cold_entry(&id, &cold, self.entry_lateness())
                    && self.state.store.view_mut().entries_mut().touch(&id, item.revision);
                (is_new || is_cold).then_some(id)
            },
        }
    }

    /// Records that all changes up to a revision of the known history were applied.
    fn advance(&mut self, revision: u64) {
        self.position = Some(StorePosition { era: self.state.store.era(), revision });
        if let WatchedPart::Servers = self.part {
            self.state.store.view_mut().entries_mut().advance(revision);
        }
    }
}

/// Decodes a server entry. Logs an invalid one, which is treated as removed.
fn decode_entry(item: &StoreItem) -> Option<ServerReport> {
    let report = decode_item(item)?;
    if let (Some(_), DirectoryChange::Removed(id)) = (&item.value, &report.change) {
        log::warn!(
            "entry of server {id} at revision {} is invalid; treated as removed",
            item.revision
        );
    }
    Some(report)
}
