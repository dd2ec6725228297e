//! Changes of the server directory, and what servers say of themselves.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::shared::{ConfigInForce, ForwardState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ChangeSource, DRAIN_FALLBACK_DIVISOR, DirectoryChange, RegionLimit, RequiredPart, ServerAccess,
    ServerEntry, ServerKey, ServerPhase, ServerRecord,
};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::{announces_leaving, requested_hold};

use hyper::{HeaderMap, StatusCode};
use indexmap::IndexMap;

impl ForwardState {
    /// Applies a change of one server entry in the known history of the store. Returns whether peers have
    /// to be told: the entry differs from the recorded one, or from that of the server in use.
    pub fn change_server(
        &self,
        change: DirectoryChange,
        changed_at: u64,
        source: ChangeSource,
    ) -> bool {
        let recorded = self.store.view_mut().record_change(&change, changed_at);
        recorded.is_some_and(|is_news| self.update_directory(change, source.name()) || is_news)
    }

    /// Applies a change to the directory. `source` names in logs where it comes from. Returns whether the
    /// entry differs from the known one.
    pub(super) fn update_directory(&self, change: DirectoryChange, source: &'static str) -> bool {
        if !self.has_new_content(&change) {
            return false;
        }
        let id = Arc::clone(change.id());
        let written = match &change {
            DirectoryChange::Written(entry) => match entry.phase {
                ServerPhase::Ready => "ready",
                ServerPhase::Draining => "draining",
            },
            DirectoryChange::Removed(_) => "removed",
        };
        let now = self.now();
        let applied = self.directory.borrow_mut().apply(now, change);
        if let Some((key, _)) = applied {
            let directory = self.directory.borrow();
            let service = directory.get(key).map_or("", |record| &record.entry.service);
            event(EventKind::ServerChanged, &[&id, &service, &written, &source]);
        }
        self.directory_changes.send_modify(|count| *count += 1);
        true
    }

    /// Returns whether a change differs from the known entry. Servers also rewrite their entries when
    /// only values changed that are not used here.
    fn has_new_content(&self, change: &DirectoryChange) -> bool {
        let directory = self.directory.borrow();
        match change {
            DirectoryChange::Written(entry) => directory
                .find(&entry.id)
                .is_none_or(|record| record.is_removed || record.entry != *entry),
            DirectoryChange::Removed(id) => {
                directory.find(id).is_some_and(|record| !record.is_removed)
            },
        }
    }

    /// Records that a server reported that it is leaving. Returns false if this was known.
    pub fn mark_leaving(&self, key: ServerKey) -> bool {
        let is_new = self.directory.borrow_mut().mark_leaving(self.now(), key);
        if is_new {
            if let Some(record) = self.directory.borrow().get(key) {
                let (id, service) = (&record.entry.id, &record.entry.service);
                event(EventKind::ServerChanged, &[id, service, &"leaving", &"server"]);
            }
            self.directory_changes.send_modify(|count| *count += 1);
        }
        is_new
    }

    /// Records what a server says of itself in the head of an answer to a request: that it leaves, or
    /// that it wants no requests from this instance for a while. Returns whether it is news that the
    /// server leaves.
    pub fn note_answer(
        &self,
        key: ServerKey,
        request: &str,
        status: StatusCode,
        answer: &HeaderMap,
    ) -> bool {
        if let Some(hold) = requested_hold(status, answer) {
            self.directory.borrow_mut().hold(key, self.now() + hold);
            self.telemetry.server_holds.inc();
            if let Some(record) = self.directory.borrow().get(key) {
                event(EventKind::ServerHold, &[&request, &record.entry.id, &hold.as_millis()]);
            }
        }
        announces_leaving(answer) && self.mark_leaving(key)
    }

    /// Returns the time until a request may be sent to a server that was chosen for it; zero if it may
    /// be sent now, and `Duration::MAX` if the server leaves for too long or may not get the request.
    pub fn send_delay(
        &self,
        key: ServerKey,
        arrived_at: Timestamp,
        regions: &RegionLimit,
    ) -> Duration {
        let directory = self.directory.borrow();
        let Some(record) = directory.get(key) else { return Duration::MAX };
        let limit = self.settings.drain_limit / DRAIN_FALLBACK_DIVISOR;
        let is_late = record.leaving_since.is_some_and(|since| arrived_at > since + limit);
        match record.access_for(self.now(), regions) {
            ServerAccess::Evacuated | ServerAccess::OutsideRegions => Duration::MAX,
            ServerAccess::Leaving if is_late => Duration::MAX,
            ServerAccess::Open
            | ServerAccess::Paced
            | ServerAccess::Avoided
            | ServerAccess::Held
            | ServerAccess::Limited
            | ServerAccess::Leaving => record.hold_left(self.now()),
        }
    }

    /// Adds the servers of a service that want no requests from this instance to those that a request
    /// must not be sent to.
    pub fn with_held(&self, service: &str, excluded: &[ServerKey]) -> Vec<ServerKey> {
        let directory = self.directory.borrow();
        let held = directory.held(self.now(), service).map(|(key, _)| key);
        excluded.iter().copied().chain(held.filter(|key| !excluded.contains(key))).collect()
    }

    /// Returns the time until a server of a service takes requests with a region limit from this instance
    /// again, if all that may get them want none.
    pub fn shortest_hold(&self, service: &str, regions: &RegionLimit) -> Option<Duration> {
        self.directory.borrow().shortest_hold(self.now(), service, regions)
    }

    /// Returns the model engines that are not known to be leaving, including those of evacuated zones,
    /// whose runs continue.
    pub fn engines(&self) -> Vec<(ServerKey, SocketAddr)> {
        let Some(ConfigInForce { config, .. }) = self.config() else { return Vec::new() };
        let directory = self.directory.borrow();
        let policies = config.engine_services();
        policies
            .flat_map(|(policy, _)| directory.staying(&policy.name))
            .map(|(key, record)| (key, record.entry.address))
            .collect()
    }

    /// Replaces all server entries by a snapshot at a revision of the known history of the store.
    pub fn replace_servers(
        &self,
        revision: u64,
        changes: Vec<DirectoryChange>,
        source: ChangeSource,
    ) {
        let now = self.now();
        let listed =
            self.store.view_mut().record_list(now, &self.directory.borrow(), changes, revision);
        if listed.is_first && listed.retained > 0 {
            event(EventKind::ServersRetained, &[&listed.retained, &revision, &source.name()]);
        }
        for change in listed.changes {
            self.update_directory(change, source.name());
        }
        if listed.is_first {
            // Peers that lack the list wait for it.
            self.digest_wanted.notify_one();
        }
        self.readiness.borrow_mut().record(self.now(), RequiredPart::Servers, source);
    }

    /// Returns the key of the server whose id has this hash.
    pub fn find_server(&self, hash: u64) -> Option<ServerKey> {
        let directory = self.directory.borrow();
        let found = directory
            .iter()
            .find(|(_, record)| !record.is_removed && server_hash(&record.entry.id) == hash);
        found.map(|(key, _)| key)
    }

    /// Returns the keys of the servers that are not removed, by the hashes of their starts.
    pub fn start_keys(&self) -> IndexMap<u64, ServerKey> {
        let directory = self.directory.borrow();
        let present = directory.iter().filter(|(_, record)| !record.is_removed);
        present.map(|(key, record)| (start_hash(&record.entry), key)).collect()
    }

    /// Returns the key of the server of whose current start this is the hash. A server that was
    /// registered anew with another address or service has several records of one start.
    pub fn find_start(&self, hash: u64) -> Option<ServerKey> {
        let directory = self.directory.borrow();
        let of_start = |record: &ServerRecord| start_hash(&record.entry) == hash;
        let found = directory.iter().filter(|(_, record)| of_start(record));
        found.max_by_key(|(key, record)| (!record.is_removed, *key)).map(|(key, _)| key)
    }

    /// Returns whether a server is known and is not leaving.
    pub fn is_staying(&self, key: ServerKey) -> bool {
        let directory = self.directory.borrow();
        directory.get(key).is_some_and(|record| record.leaving_since.is_none())
    }

    /// Returns the hash of a server's id, which identifies the server in messages between instances.
    pub fn hash_of(&self, key: ServerKey) -> Option<u64> {
        Some(server_hash(&self.directory.borrow().get(key)?.entry.id))
    }
}

/// Returns the hash of one start of a server, which is the same on all instances.
pub fn start_hash(entry: &ServerEntry) -> u64 {
    stable_hash(format!("{}/{}", entry.id, entry.born_millis).as_bytes())
}

/// Returns the hash of a server's id, which is the same on all instances.
pub fn server_hash(id: &str) -> u64 {
    stable_hash(id.as_bytes())
}
