//! Directory of backend servers with what this instance knows of each.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::time::Timestamp;

use indexmap::IndexMap;

/// Records of servers that are gone are kept this long, so that requests still running there
/// find their record. Longer than any request lives (39 s on the measured installations).
const GONE_RETENTION: Duration = Duration::from_secs(60);
/// Failures in a row after which a server is avoided.
const FAILURE_LIMIT: u32 = 3;
/// A server that failed is avoided this long at first; doubles up to `AVOID_MAX`.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Longest time for which a failing server is avoided before one request tries it again.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// Key of a server record. A server that restarts gets a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(u32);

value_type! { copy
    /// What a server says of itself.
    pub enum ServerPhase {
        /// Takes work.
        Ready,
        /// Finishes its work and leaves.
        Draining,
    }
}

value_type! {
    /// Entry of a server in the platform's store.
    pub struct ServerEntry {
        /// Id of this start of the server.
        pub id: Arc<str>,
        /// Service that the server belongs to.
        pub service: Arc<str>,
        /// Address of the server.
        pub address: SocketAddr,
        /// Availability zone of the server.
        pub zone: Arc<str>,
        /// Requests that the server runs at once.
        pub slots: u32,
        /// State that the server reported.
        pub phase: ServerPhase,
        /// Time of the server's start in Unix milliseconds; 0 if it is not stated.
        pub born_millis: u64,
    }
}

value_type! {
    /// A change of the directory.
    pub enum DirectoryChange {
        /// The entry was written.
        Written(ServerEntry),
        /// The entry was removed, or no longer names a usable server.
        Removed(Arc<str>),
    }
}

impl DirectoryChange {
    /// Id of the server.
    pub fn id(&self) -> &Arc<str> {
        match self {
            Self::Written(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

/// One server and this instance's view of it.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The last entry that was read.
    pub entry: ServerEntry,
    /// When this instance learned that the server is leaving or gone.
    pub leaving_since: Option<Timestamp>,
    /// The entry was removed.
    pub is_gone: bool,
    /// When this instance first saw the server.
    pub seen_at: Timestamp,
    /// Requests of this instance at the server.
    pub open_requests: u32,
    /// Tokens in memory that the requests of this instance take at the server.
    pub open_tokens: u64,
    /// Prompt tokens of requests of this instance whose answer has not begun.
    pub waiting_tokens: u64,
    /// Tokens that the requests of this instance are expected to add.
    pub open_growth: u64,
    /// Failures in a row, seen by this instance.
    failures: u32,
    avoid_until: Option<Timestamp>,
}

impl ServerRecord {
    /// Tells whether new work may be sent to the server.
    pub fn accepts_work(&self) -> bool {
        self.leaving_since.is_none()
    }

    /// Tells whether recent failures speak against the server.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// All servers that the store names, by key.
#[derive(Debug, Default)]
pub struct ServerDirectory {
    records: IndexMap<ServerKey, ServerRecord>,
    /// Key of the current start of each id.
    current: IndexMap<Arc<str>, ServerKey>,
    next_key: u32,
}

impl ServerDirectory {
    /// Applies one change. Returns the key and whether the server began to leave with it.
    pub fn apply(&mut self, now: Timestamp, change: DirectoryChange) -> Option<(ServerKey, bool)> {
        self.forget_gone(now);
        match change {
            DirectoryChange::Written(entry) => Some(self.write(now, entry)),
            DirectoryChange::Removed(id) => {
                let key = *self.current.get(&id)?;
                let record = self.records.get_mut(&key)?;
                record.is_gone = true;
                let begins = record.leaving_since.is_none();
                record.leaving_since.get_or_insert(now);
                Some((key, begins))
            },
        }
    }

    fn write(&mut self, now: Timestamp, entry: ServerEntry) -> (ServerKey, bool) {
        if let Some(&key) = self.current.get(&entry.id) {
            let record = &mut self.records[&key];
            let is_same_start = record.entry.born_millis == entry.born_millis
                && record.entry.address == entry.address
                && record.entry.service == entry.service;
            if is_same_start {
                let begins = entry.phase == ServerPhase::Draining && record.leaving_since.is_none();
                if entry.phase == ServerPhase::Draining {
                    record.leaving_since.get_or_insert(now);
                } else {
                    // An entry that lapsed while the store was away names the same start again.
                    record.leaving_since = None;
                }
                record.is_gone = false;
                record.entry = entry;
                return (key, begins);
            }
            record.is_gone = true;
            record.leaving_since.get_or_insert(now);
        }
        let key = ServerKey(self.next_key);
        self.next_key += 1;
        let is_leaving = entry.phase == ServerPhase::Draining;
        self.current.insert(Arc::clone(&entry.id), key);
        self.records.insert(
            key,
            ServerRecord {
                leaving_since: is_leaving.then_some(now),
                is_gone: false,
                seen_at: now,
                open_requests: 0,
                open_tokens: 0,
                waiting_tokens: 0,
                open_growth: 0,
                failures: 0,
                avoid_until: None,
                entry,
            },
        );
        (key, is_leaving)
    }

    /// Records that a server said itself that it leaves. Returns whether that was unknown.
    pub fn mark_leaving(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let record = self.records.get_mut(&key).filter(|record| record.leaving_since.is_none());
        if let Some(record) = record {
            record.leaving_since = Some(now);
            return true;
        }
        false
    }

    /// Replaces the whole directory by a snapshot. Returns servers that began to leave.
    pub fn replace(&mut self, now: Timestamp, entries: Vec<ServerEntry>) -> Vec<ServerKey> {
        let removed: Vec<Arc<str>> = self
            .entries()
            .filter(|known| !entries.iter().any(|entry| entry.id == known.id))
            .map(|known| Arc::clone(&known.id))
            .collect();
        let removals = removed.into_iter().map(DirectoryChange::Removed);
        let writes = entries.into_iter().map(DirectoryChange::Written);
        removals
            .chain(writes)
            .filter_map(|change| self.apply(now, change))
            .filter_map(|(key, begins)| begins.then_some(key))
            .collect()
    }

    fn forget_gone(&mut self, now: Timestamp) {
        self.records.retain(|_, record| {
            !record.is_gone
                || record.open_requests > 0
                || record.leaving_since.is_none_or(|at| now.since(at) < GONE_RETENTION)
        });
        self.current.retain(|_, key| self.records.contains_key(key));
    }

    /// Gets the record of the current start of a server.
    pub fn find(&self, id: &str) -> Option<&ServerRecord> {
        self.records.get(self.current.get(id)?)
    }

    /// Gets a record.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.records.get(&key)
    }

    /// Iterates over the servers of a service that take work.
    pub fn candidates<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        self.records
            .iter()
            .filter(move |(_, record)| record.accepts_work() && &*record.entry.service == service)
            .map(|(key, record)| (*key, record))
    }

    /// Iterates over all records, also of servers that are leaving.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Iterates over the entries that the store holds.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let records = self.current.values().filter_map(|key| self.records.get(key));
        records.filter(|record| !record.is_gone).map(|record| &record.entry)
    }

    /// Counts a request that is about to be sent.
    pub fn begin(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.open_requests += 1;
            record.open_tokens += tokens;
        }
    }

    /// Changes the prompt tokens that wait to be read at a server.
    pub fn set_waiting(&mut self, key: ServerKey, added: u64, removed: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.waiting_tokens = (record.waiting_tokens + added).saturating_sub(removed);
        }
    }

    /// Adds tokens that a running request made.
    pub fn grow(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.open_tokens += tokens;
        }
    }

    /// Changes the tokens that running requests are expected to add.
    pub fn set_growth(&mut self, key: ServerKey, added: u64, removed: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.open_growth = (record.open_growth + added).saturating_sub(removed);
        }
    }

    /// Ends what `begin` counted; `tokens` includes what `grow` added.
    pub fn finish(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            debug_assert!(record.open_requests > 0, "finish without begin");
            record.open_requests = record.open_requests.saturating_sub(1);
            record.open_tokens = record.open_tokens.saturating_sub(tokens);
        }
    }

    /// Records that a server answered as a sound one does.
    pub fn record_success(&mut self, key: ServerKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.failures = 0;
            record.avoid_until = None;
        }
    }

    /// Records that a server cannot be reached, so that it is avoided at once.
    pub fn record_unreachable(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.failures = record.failures.max(FAILURE_LIMIT);
            record.avoid_until = Some(now + AVOID_MIN * 2);
        }
    }

    /// Avoids a server until a time, or longer if it is avoided longer already.
    pub fn avoid(&mut self, key: ServerKey, until: Timestamp) {
        if let Some(record) = self.records.get_mut(&key) {
            record.avoid_until = record.avoid_until.max(Some(until));
        }
    }

    /// Records a failure that speaks against the server. Returns whether it is avoided now.
    pub fn record_failure(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let Some(record) = self.records.get_mut(&key) else { return false };
        record.failures += 1;
        if record.failures < FAILURE_LIMIT {
            return false;
        }
        let doublings = (record.failures - FAILURE_LIMIT).min(3);
        let period = (AVOID_MIN * 2u32.pow(doublings)).min(AVOID_MAX);
        record.avoid_until = Some(now + period);
        true
    }
}
