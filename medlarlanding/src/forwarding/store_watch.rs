//! Reads the configuration and the server entries from the platform's store and watches them.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::peer_link::PeerLink;
use super::shared::SharedState;
use super::store_client::{StoreClient, WatchAnswer};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{ChangeSource, ColdReadParams, DirectoryChange};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::config::{CONFIG_KEY, OPERATOR_PREFIX};
use medlarlanding_platform::servers::{SERVERS_PREFIX, ServerReport, decode_item};
use medlarlanding_platform::store::StoreItem;

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
        revision: None,
        started: state.now(),
        has_waited: false,
    };
    let mut is_unreachable = false;
    let mut pause = RETRY_MIN;
    loop {
        watch.wait_until_needed().await;
        match watch.step().await {
            Ok(()) => {
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

struct PartWatch {
    client: StoreClient,
    state: SharedState,
    link: Rc<PeerLink>,
    part: WatchedPart,
    /// Store revision up to which changes are known; `None` if the part has to be read completely.
    revision: Option<u64>,
    /// When the process began to read the store.
    started: Timestamp,
    /// This process has waited in vain for the list of a peer.
    has_waited: bool,
}

impl PartWatch {
    /// Waits until this instance has to call the store: either the part must be read completely, or
    /// this instance watches the store for the others.
    async fn wait_until_needed(&mut self) {
        while self.revision.is_some() {
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
        if let (WatchedPart::Servers, Some(revision)) = (self.part, self.revision) {
            // While another instance watched, peers have reported changes up to this revision.
            self.revision = Some(self.state.entries.borrow().revision().max(revision));
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

    async fn step(&mut self) -> anyhow::Result<()> {
        let Some(revision) = self.revision else {
            return self.read_all().await;
        };
        let wait = match self.part {
            WatchedPart::Servers if self.is_coordinator() => COORDINATOR_WATCH_WAIT,
            WatchedPart::Servers | WatchedPart::Config => WATCH_WAIT,
        };
        match self.client.watch(self.part.prefix(), revision, wait).await? {
            WatchAnswer::HistoryGone => self.revision = None,
            WatchAnswer::Changes(changes) => {
                let revision = changes.revision.max(revision);
                self.apply_changes(changes.items, revision).await;
            },
        }
        Ok(())
    }

    async fn apply_changes(&mut self, mut items: Vec<StoreItem>, revision: u64) {
        // Peers take a datagram with older revisions than the one before for known.
        items.sort_by_key(|item| item.revision);
        let has_changes = !items.is_empty();
        if let (WatchedPart::Config, Some(after)) = (self.part, self.revision)
            && self.state.change_evacuations(&items, after, revision)
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
            let after = self.state.entries.borrow().changed_revision();
            self.state.entries.borrow_mut().advance_with_changes(revision);
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
    /// may be newer.
    async fn read_all(&mut self) -> anyhow::Result<()> {
        let mut items: Vec<StoreItem> = Vec::new();
        let mut first_revision = None;
        loop {
            let after = items.last().map(|item| item.key.clone());
            let page = self.client.read_page(self.part.prefix(), after.as_deref()).await?;
            first_revision.get_or_insert(page.revision);
            let is_done = !page.has_more || page.items.is_empty();
            items.extend(page.items);
            if is_done {
                break;
            }
            if self.wait_for_peers().await {
                self.revision = Some(self.state.entries.borrow().revision());
                return Ok(());
            }
        }
        match self.part {
            WatchedPart::Config => {
                // The configuration makes this instance ready, so the evacuated zones come first.
                let is_news = self.state.read_evacuations(&items, first_revision.unwrap_or(0));
                if is_news {
                    self.link.send_evacuations(&self.state);
                }
                items.into_iter().for_each(|item| {
                    self.apply(item);
                });
            },
            WatchedPart::Servers => {
                let reports: Vec<ServerReport> = items.iter().filter_map(decode_entry).collect();
                let revision = first_revision.unwrap_or(0);
                let changes = reports.iter().map(|report| report.change.clone()).collect();
                self.state.replace_servers(revision, changes, ChangeSource::Store);
                for report in reports {
                    self.state.note_cold_entry(report.change.id(), &report.cold, Duration::ZERO);
                }
            },
        }
        self.advance(first_revision.unwrap_or(0));
        Ok(())
    }

    /// Waits for the list of servers from a peer, as long as `ColdReadParams` allows. Returns whether
    /// it was received; an instance that has had a list before does not wait.
    async fn wait_for_peers(&mut self) -> bool {
        let is_known = || self.state.entries.borrow().revision() > 0;
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
                let is_known = self.state.entries.borrow().confirms(&id, item.revision);
                let is_new = self.state.change_server(change, item.revision, ChangeSource::Store);
                // An entry whose cold time counts down is no news; one that is cold again is.
                let is_cold = !is_known
                    && self.state.note_cold_entry(&id, &cold, self.entry_lateness())
                    && self.state.entries.borrow_mut().touch(&id, item.revision);
                (is_new || is_cold).then_some(id)
            },
        }
    }

    fn advance(&mut self, revision: u64) {
        self.revision = Some(revision);
        if let WatchedPart::Servers = self.part {
            self.state.entries.borrow_mut().advance(revision);
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
