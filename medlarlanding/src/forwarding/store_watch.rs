//! Keeps configuration and servers current from the platform's store.

use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::peer_link::PeerLink;
use super::shared::{ChangeSource, SharedState};
use super::store_client::{StoreClient, WatchAnswer};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::DirectoryChange;
use medlarlanding_platform::config::CONFIG_KEY;
use medlarlanding_platform::servers::{SERVERS_PREFIX, decode_item};
use medlarlanding_platform::store::StoreItem;

/// Time that a watch waits at the store. A call whose answer is lost shows only then, and a
/// configuration must be in force 2 s after the store has been sound for 3 s.
const WATCH_WAIT: Duration = Duration::from_millis(2500);
/// The same at the best ranked hub for servers: a store that is down may leave a waiting call
/// unanswered, and only the next call shows it. Engines give 1.5 s of notice.
const FIRST_WAIT: Duration = Duration::from_millis(400);
/// Pause after a failed call; doubles up to `RETRY_MAX`. Calls are charged, refused ones too.
const RETRY_MIN: Duration = Duration::from_millis(100);
/// Longest pause after failed calls; a change must be in force 2 s after its confirmation.
const RETRY_MAX: Duration = Duration::from_millis(800);
/// Pause between two watches that returned changes, so that changes that come together need
/// one call: an engine that leaves gives 1.5 s of notice.
const BATCH_PAUSE: Duration = Duration::from_millis(50);
/// Longer pause for each peer that is told, which bounds the datagrams of a hub.
const BATCH_PAUSE_PER_PEER: Duration = Duration::from_micros(500);
/// The same at the hubs that stand by; the best ranked hub tells them of changes, and when it
/// fails they are still in time for a configuration that must be in force after 2 s.
const STANDBY_PAUSE: Duration = Duration::from_millis(900);

/// Period in which an instance that does not watch looks whether it has to.
const TURN_PERIOD: Duration = Duration::from_millis(200);
/// Time for which a group of instances waits for the group ranked before it to step in.
const STEP_IN_DELAY: Duration = Duration::from_millis(150);

/// A part of the store that is watched.
#[derive(Clone, Copy, Debug)]
pub enum WatchedPart {
    /// The newest configuration.
    Config,
    /// Entries of servers.
    Servers,
}

impl WatchedPart {
    fn prefix(self) -> &'static str {
        match self {
            Self::Config => CONFIG_KEY,
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

/// Reads a part and follows its changes until the process ends.
pub async fn run(state: SharedState, link: Rc<PeerLink>, part: WatchedPart) -> anyhow::Result<()> {
    let mut watch = PartWatch {
        client: StoreClient::new(state.settings.store),
        state: Rc::clone(&state),
        link,
        part,
        revision: None,
    };
    let mut is_lost = false;
    let mut pause = RETRY_MIN;
    loop {
        watch.wait_for_turn().await;
        match watch.step().await {
            Ok(()) => {
                state.telemetry.store_calls.with_label_values(&["ok"]).inc();
                state.reaches_store.set(true);
                if is_lost {
                    event(EventKind::PlatformReachable, &[&part.name()]);
                }
                is_lost = false;
                pause = RETRY_MIN;
            },
            Err(error) => {
                state.telemetry.store_calls.with_label_values(&["failed"]).inc();
                if state.reaches_store.replace(false) {
                    // Another instance takes the watch over.
                    state.digest_wanted.notify_one();
                    state.store_lost.notify_one();
                }
                if !is_lost {
                    event(EventKind::PlatformUnreachable, &[&part.name(), &format!("{error:#}")]);
                }
                is_lost = true;
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
    /// Revision up to which changes are known; `None` before the part was read.
    revision: Option<u64>,
}

impl PartWatch {
    /// Waits until this instance has to call the store: the part was never read, or this
    /// instance watches for others.
    async fn wait_for_turn(&mut self) {
        while self.revision.is_some() {
            let level = self.state.peers.borrow().standby_level(self.state.now());
            if self.is_watching() && level == 0 {
                break;
            }
            if !self.is_watching() {
                // What the last call showed says nothing of the store now.
                self.state.reaches_store.set(false);
            }
            tokio::time::sleep(TURN_PERIOD).await;
            if self.is_watching() {
                // The hubs may only just have lost the store, and a better ranked instance may
                // step in first.
                tokio::time::sleep(STEP_IN_DELAY * level).await;
                if self.is_watching() {
                    break;
                }
            }
        }
        if let (WatchedPart::Servers, Some(revision)) = (self.part, self.revision) {
            // Peers told of changes while another instance watched.
            self.revision = Some(self.state.entries.borrow().revision().max(revision));
        }
    }

    fn is_watching(&self) -> bool {
        self.state.peers.borrow().watches_store(self.state.now())
    }

    fn is_first(&self) -> bool {
        self.state.peers.borrow().coordinator(self.state.now()).is_none()
    }

    async fn step(&mut self) -> anyhow::Result<()> {
        let Some(revision) = self.revision else {
            return self.read_all().await;
        };
        let wait = match self.part {
            WatchedPart::Servers if self.is_first() => FIRST_WAIT,
            WatchedPart::Servers | WatchedPart::Config => WATCH_WAIT,
        };
        match self.client.watch(self.part.prefix(), revision, wait).await? {
            WatchAnswer::HistoryGone => self.revision = None,
            WatchAnswer::Changes(changes) => {
                let revision = changes.revision.max(revision);
                self.take_changes(changes.items, revision).await;
            },
        }
        Ok(())
    }

    async fn take_changes(&mut self, items: Vec<StoreItem>, revision: u64) {
        let has_changes = !items.is_empty();
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
            self.link.push_servers(&self.state, after, revision, changed);
        }
        if has_changes {
            tokio::time::sleep(self.batch_pause()).await;
        }
    }

    fn batch_pause(&self) -> Duration {
        if !self.is_first() {
            return STANDBY_PAUSE;
        }
        let peers = self.state.peers.borrow().instance_count() as u32;
        BATCH_PAUSE + BATCH_PAUSE_PER_PEER * peers
    }

    /// Reads all pages. Later pages may be newer than the first, whose revision is the one from
    /// which the watch goes on.
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
        }
        match self.part {
            WatchedPart::Config => items.into_iter().for_each(|item| {
                self.apply(item);
            }),
            WatchedPart::Servers => {
                let changes = items.iter().filter_map(read_entry).collect();
                let revision = first_revision.unwrap_or(0);
                self.state.replace_servers(revision, changes, ChangeSource::Store);
            },
        }
        self.advance(first_revision.unwrap_or(0));
        Ok(())
    }

    /// Applies a changed item. Returns the id of the server of which it says something new.
    fn apply(&self, item: StoreItem) -> Option<Arc<str>> {
        match self.part {
            WatchedPart::Config if item.key == CONFIG_KEY => {
                match item.value {
                    Some(text) => self.state.offer_config(&text, ChangeSource::Store),
                    None => log::warn!("the store holds no configuration that can be read"),
                }
                None
            },
            WatchedPart::Config => None,
            WatchedPart::Servers => {
                let change = read_entry(&item)?;
                let id = Arc::clone(change.id());
                let is_news = self.state.change_server(change, item.revision, ChangeSource::Store);
                is_news.then_some(id)
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

/// Reads the entry of a server. One that cannot be read names no server, which is logged.
fn read_entry(item: &StoreItem) -> Option<DirectoryChange> {
    let change = decode_item(item)?;
    if let (Some(_), DirectoryChange::Removed(id)) = (&item.value, &change) {
        log::warn!("entry of server {id} at revision {} cannot be read", item.revision);
    }
    Some(change)
}
