//! Directory of the backend servers with their load and health as this instance sees them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::cold_share::{ColdServer, ColdShare};
use super::regions::{RegionKey, RegionLimit, ZoneRegions};
use super::server_access::ServerAccess;
use super::server_speed::SpeedRatios;
use crate::pacing::PaceLimit;
use crate::time::Timestamp;

use indexmap::IndexMap;

/// How long the record of a removed server is kept for requests that still run there. Longer than
/// any request runs (39 s on the measured installations).
const REMOVED_RETENTION: Duration = Duration::from_secs(60);
/// How long the record of a server that said itself that it leaves is kept after its entry was removed,
/// in case an old entry comes back.
const ANNOUNCED_RETENTION: Duration = Duration::from_secs(300);
/// Consecutive failures after which a server is avoided.
const FAILURE_LIMIT: u32 = 3;
/// First period for which a failing server is avoided; doubles with each further failure up to
/// `AVOID_MAX`.
const AVOID_MIN: Duration = Duration::from_millis(500);
/// Longest period for which a failing server is avoided before requests try it again.
const AVOID_MAX: Duration = Duration::from_secs(4);

/// Key of a server record, local to this instance. A server that restarts gets a new key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(u32);

value_type! { copy
    /// State that a server reports.
    pub enum ServerPhase {
        /// Accepts new requests.
        Ready,
        /// Finishes its open requests and then stops.
        Draining,
    }
}

value_type! {
    /// Entry of a server in the platform's store.
    pub struct ServerEntry {
        /// Id under which the server is registered.
        pub id: Arc<str>,
        /// Service that the server belongs to.
        pub service: Arc<str>,
        /// Address of the server.
        pub address: SocketAddr,
        /// Availability zone of the server.
        pub zone: Arc<str>,
        /// Requests that the server runs at the same time.
        pub slots: u32,
        /// State that the server reported.
        pub phase: ServerPhase,
        /// Start time of the server in Unix milliseconds; 0 if the entry does not state it.
        pub born_millis: u64,
    }
}

value_type! {
    /// A change of a server's entry.
    pub enum DirectoryChange {
        /// The entry was written.
        Written(ServerEntry),
        /// The entry with this id was removed or no longer describes a usable server.
        Removed(Arc<str>),
    }
}

impl DirectoryChange {
    /// Returns the id of the server.
    pub fn id(&self) -> &Arc<str> {
        match self {
            Self::Written(entry) => &entry.id,
            Self::Removed(id) => id,
        }
    }
}

/// A server with its load and health as this instance sees them.
#[derive(Clone, Debug)]
pub struct ServerRecord {
    /// The last entry that was received.
    pub entry: ServerEntry,
    /// When this instance learned that the server is draining or removed; `None` while it accepts
    /// requests.
    pub leaving_since: Option<Timestamp>,
    /// When the server itself first said that it leaves. Kept until its next start: an entry that calls
    /// it ready is late or old. `leaving_since` is set if this is.
    announced_at: Option<Timestamp>,
    /// Until when the server wants no requests from this instance. Kept until its next start.
    hold_until: Option<Timestamp>,
    /// The entry was removed, or the server has restarted since.
    pub is_removed: bool,
    /// When this instance learned that the server's zone is evacuated; `None` while it is not. Follows
    /// `ServerDirectory::evacuated`.
    evacuated_since: Option<Timestamp>,
    /// Region of the server's zone; `None` if it is unknown. Follows `ServerDirectory::zone_regions`.
    region: Option<RegionKey>,
    /// When this instance first saw the server.
    pub seen_at: Timestamp,
    /// Requests that this instance has open at the server.
    pub open_requests: u32,
    /// Tokens that these requests occupy in the server's memory.
    pub open_tokens: u64,
    /// Prompt tokens of those among them whose answer has not begun.
    pub waiting_tokens: u64,
    /// Tokens that the requests are expected to generate until they end.
    pub expected_growth: u64,
    /// Speed compared with the median of the service; that of an average server from the start on and
    /// while servers are not compared.
    pub speed: SpeedRatios,
    /// Consecutive failures that this instance has seen.
    failures: u32,
    avoid_until: Option<Timestamp>,
    /// Cold time of this start and the requests that count towards its rate limit.
    cold: ColdServer,
    /// Limit of `open_requests` while the server is in slow start; `None` otherwise.
    pace: Option<PaceLimit>,
}

impl ServerRecord {
    /// Returns how long the record is kept after the server was removed.
    fn retention(&self) -> Duration {
        if self.announced_at.is_some() { ANNOUNCED_RETENTION } else { REMOVED_RETENTION }
    }

    /// Returns whether new requests may be sent to the server.
    pub fn accepts_work(&self) -> bool {
        self.leaving_since.is_none()
    }

    /// Returns whether the server may get a request without a region limit now.
    pub fn access(&self, now: Timestamp) -> ServerAccess {
        if self.evacuated_since.is_some() {
            ServerAccess::Evacuated
        } else if !self.accepts_work() {
            ServerAccess::Leaving
        } else if self.cold.is_used_up(now) {
            ServerAccess::Limited
        } else if !self.hold_left(now).is_zero() {
            ServerAccess::Held
        } else if self.is_avoided(now) {
            ServerAccess::Avoided
        } else if self.is_paced(now) {
            ServerAccess::Paced
        } else {
            ServerAccess::Open
        }
    }

    /// Returns whether the server may get a request with a region limit now. All requests to servers
    /// pass this check, whether they are new, sent again, moved or resumed.
    pub fn access_for(&self, now: Timestamp, regions: &RegionLimit) -> ServerAccess {
        if regions.allows(self.region) { self.access(now) } else { ServerAccess::OutsideRegions }
    }

    /// Returns when this instance learned that the server's zone is evacuated; `None` while it is not.
    pub fn evacuated_since(&self) -> Option<Timestamp> {
        self.evacuated_since
    }

    /// Returns the cold time of this start and the requests that count towards its rate limit.
    pub fn cold(&self) -> &ColdServer {
        &self.cold
    }

    /// Returns how long the server wants no requests from this instance; zero if it takes them.
    pub fn hold_left(&self, now: Timestamp) -> Duration {
        self.hold_until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns whether the server is leaving, for less than `limit`, and still has its entry.
    pub fn is_draining_within(&self, now: Timestamp, limit: Duration) -> bool {
        !self.is_removed && self.leaving_since.is_some_and(|since| now.since(since) < limit)
    }

    /// Returns whether the server is in slow start and has as many requests as its limit allows.
    pub fn is_paced(&self, now: Timestamp) -> bool {
        self.pace.is_some_and(|pace| self.open_requests >= pace.in_flight || now < pace.next_start)
    }

    /// Returns whether the server is avoided because of recent failures.
    pub fn is_avoided(&self, now: Timestamp) -> bool {
        self.avoid_until.is_some_and(|until| now < until)
    }
}

/// All servers with an entry in the store, and recently removed ones.
#[derive(Clone, Debug, Default)]
pub struct ServerDirectory {
    records: IndexMap<ServerKey, ServerRecord>,
    /// Key of the latest record of each id.
    current: IndexMap<Arc<str>, ServerKey>,
    /// Evacuated zones, with the times when this instance learned of it.
    evacuated: IndexMap<Arc<str>, Timestamp>,
    zone_regions: ZoneRegions,
    next_key: u32,
}

impl ServerDirectory {
    /// Sets the regions of the zones.
    pub fn set_zone_regions(&mut self, zone_regions: ZoneRegions) {
        self.zone_regions = zone_regions;
        for record in self.records.values_mut() {
            record.region = self.zone_regions.region_of(&record.entry.zone);
        }
    }

    /// Replaces the set of evacuated zones.
    pub fn set_evacuated<'a>(
        &mut self,
        now: Timestamp,
        zones: impl IntoIterator<Item = &'a Arc<str>>,
    ) {
        let zones = zones.into_iter().map(|zone| {
            let since = self.evacuated.get(zone).copied().unwrap_or(now);
            (Arc::clone(zone), since)
        });
        self.evacuated = zones.collect();
        for record in self.records.values_mut() {
            record.evacuated_since = self.evacuated.get(&record.entry.zone).copied();
        }
    }

    /// Applies one change. Returns the server's key and whether the server starts to leave with
    /// this change, or `None` for the removal of an unknown server.
    pub fn apply(&mut self, now: Timestamp, change: DirectoryChange) -> Option<(ServerKey, bool)> {
        self.evict_removed(now);
        match change {
            DirectoryChange::Written(entry) => Some(self.write(now, entry)),
            DirectoryChange::Removed(id) => {
                let key = *self.current.get(&id)?;
                let record = self.records.get_mut(&key)?;
                record.is_removed = true;
                let starts_leaving = record.leaving_since.is_none();
                record.leaving_since.get_or_insert(now);
                Some((key, starts_leaving))
            },
        }
    }

    fn write(&mut self, now: Timestamp, mut entry: ServerEntry) -> (ServerKey, bool) {
        let (mut announced_at, mut hold_until) = (None, None);
        if let Some(&key) = self.current.get(&entry.id) {
            let record = &mut self.records[&key];
            if entry.born_millis == 0 {
                // An entry that does not state its start is not that of a later one.
                entry.born_millis = record.entry.born_millis;
            }
            let is_same_start = record.entry.born_millis == entry.born_millis
                && record.entry.address == entry.address
                && record.entry.service == entry.service;
            if is_same_start {
                let starts_leaving =
                    entry.phase == ServerPhase::Draining && record.leaving_since.is_none();
                if entry.phase == ServerPhase::Draining {
                    record.leaving_since.get_or_insert(now);
                } else {
                    // The entry expired while the store was unreachable and is now written again;
                    // the server did not restart.
                    record.leaving_since = record.announced_at;
                }
                record.is_removed = false;
                record.evacuated_since = self.evacuated.get(&entry.zone).copied();
                record.region = self.zone_regions.region_of(&entry.zone);
                record.entry = entry;
                return (key, starts_leaving);
            }
            record.is_removed = true;
            record.leaving_since.get_or_insert(now);
            // An entry that is not of a later start does not undo what the server has said.
            if entry.born_millis <= record.entry.born_millis {
                (announced_at, hold_until) = (record.announced_at, record.hold_until);
            }
        }
        let key = ServerKey(self.next_key);
        self.next_key += 1;
        let draining_since = (entry.phase == ServerPhase::Draining).then_some(now);
        let leaving_since = announced_at.or(draining_since);
        self.current.insert(Arc::clone(&entry.id), key);
        self.records.insert(
            key,
            ServerRecord {
                leaving_since,
                announced_at,
                hold_until,
                is_removed: false,
                evacuated_since: self.evacuated.get(&entry.zone).copied(),
                region: self.zone_regions.region_of(&entry.zone),
                seen_at: now,
                open_requests: 0,
                open_tokens: 0,
                waiting_tokens: 0,
                expected_growth: 0,
                speed: SpeedRatios::default(),
                failures: 0,
                avoid_until: None,
                cold: ColdServer::default(),
                pace: None,
                entry,
            },
        );
        (key, leaving_since.is_some())
    }

    /// Records that a server said itself that it is leaving. Returns false if it was known as leaving.
    pub fn mark_leaving(&mut self, now: Timestamp, key: ServerKey) -> bool {
        let Some(record) = self.records.get_mut(&key) else { return false };
        record.announced_at.get_or_insert(now);
        let is_new = record.leaving_since.is_none();
        record.leaving_since.get_or_insert(now);
        is_new
    }

    /// Records that a server wants no requests from this instance until the given time; never shortens
    /// the period in force.
    pub fn hold(&mut self, key: ServerKey, until: Timestamp) {
        if let Some(record) = self.records.get_mut(&key) {
            record.hold_until = record.hold_until.max(Some(until));
        }
    }

    /// Records that a server stays cold for `remaining`, as `ColdServer::extend` does.
    pub fn extend_cold(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        remaining: Duration,
        lateness: Duration,
    ) -> bool {
        let record = self.records.get_mut(&key);
        record.is_some_and(|record| record.cold.extend(now, remaining, lateness))
    }

    /// Sets this instance's share of the rate limit of each server, as `share` returns it; `None` for
    /// servers without a limit.
    pub fn set_cold_shares(&mut self, share: impl Fn(&ServerRecord) -> Option<ColdShare>) {
        for record in self.records.values_mut() {
            let share = share(record);
            record.cold.set_share(share);
        }
    }

    /// Counts a request towards the rate limit of a cold server when it is sent, or when a peer is
    /// allowed to send it. Returns whether the server is cold.
    pub fn record_send(&mut self, now: Timestamp, key: ServerKey) -> bool {
        self.records.get_mut(&key).is_some_and(|record| record.cold.record_send(now))
    }

    /// Iterates over the servers of a service that are cold and for which this instance's share of the
    /// rate limit is used up.
    pub fn limited<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        let limited = move |record: &ServerRecord| record.access(now) == ServerAccess::Limited;
        self.candidates(service).filter(move |(_, record)| limited(record))
    }

    /// Iterates over the servers of a service that want no requests from this instance.
    pub fn held<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        let held = self.iter().filter(move |(_, record)| !record.hold_left(now).is_zero());
        held.filter(move |(_, record)| &*record.entry.service == service)
    }

    /// Returns the time until a server of a service takes requests with a region limit again, if all on
    /// which they may be placed want none.
    pub fn shortest_hold(
        &self,
        now: Timestamp,
        service: &str,
        regions: &RegionLimit,
    ) -> Option<Duration> {
        let placeable = self.placeable(now, service, regions);
        let left = placeable.map(|(_, record)| record.hold_left(now)).min();
        left.filter(|left| !left.is_zero())
    }

    /// Replaces all entries by a snapshot. Returns the servers that start to leave with it.
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
            .filter_map(|(key, starts_leaving)| starts_leaving.then_some(key))
            .collect()
    }

    fn evict_removed(&mut self, now: Timestamp) {
        self.records.retain(|_, record| {
            !record.is_removed
                || record.open_requests > 0
                || !record.hold_left(now).is_zero()
                || record.leaving_since.is_none_or(|at| now.since(at) < record.retention())
        });
        self.current.retain(|_, key| self.records.contains_key(key));
    }

    /// Returns the latest record of the server with this id.
    pub fn find(&self, id: &str) -> Option<&ServerRecord> {
        self.records.get(self.current.get(id)?)
    }

    /// Returns the latest record of the server with this id, with its key.
    pub fn find_key(&self, id: &str) -> Option<(ServerKey, &ServerRecord)> {
        let key = *self.current.get(id)?;
        Some((key, self.records.get(&key)?))
    }

    /// Returns the record with this key; `None` once it has been evicted.
    pub fn get(&self, key: ServerKey) -> Option<&ServerRecord> {
        self.records.get(&key)
    }

    /// Iterates over the servers of a service.
    fn of_service<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        self.iter().filter(move |(_, record)| &*record.entry.service == service)
    }

    /// Iterates over the servers of a service that are not leaving, including those of evacuated zones.
    pub fn staying<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        self.of_service(service).filter(|(_, record)| record.accepts_work())
    }

    /// Iterates over the servers of a service that accept new requests.
    pub fn candidates<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        self.staying(service).filter(|(_, record)| record.evacuated_since.is_none())
    }

    /// Iterates over the servers of a service on which a request with a region limit may be placed.
    pub fn placeable<'a>(
        &'a self,
        now: Timestamp,
        service: &'a str,
        regions: &'a RegionLimit,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> + 'a {
        let of_service = self.of_service(service);
        of_service.filter(move |(_, record)| record.access_for(now, regions).may_place())
    }

    /// Iterates over the entries of the servers that have reported that they are leaving while their
    /// entries still call them ready.
    pub fn reported_leaving(&self) -> impl Iterator<Item = &ServerEntry> {
        let is_reported = |record: &&ServerRecord| {
            let is_ready = record.entry.phase == ServerPhase::Ready && !record.is_removed;
            record.leaving_since.is_some() && is_ready
        };
        self.records.values().filter(is_reported).map(|record| &record.entry)
    }

    /// Iterates over all records, including those of leaving and removed servers.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, &ServerRecord)> {
        self.records.iter().map(|(key, record)| (*key, record))
    }

    /// Iterates over the latest records of all servers, including those of leaving and removed ones.
    pub fn latest(&self) -> impl Iterator<Item = &ServerRecord> {
        self.current.values().filter_map(|key| self.records.get(key))
    }

    /// Iterates over the entries that have not been removed.
    pub fn entries(&self) -> impl Iterator<Item = &ServerEntry> {
        let records = self.current.values().filter_map(|key| self.records.get(key));
        records.filter(|record| !record.is_removed).map(|record| &record.entry)
    }

    /// Counts a request that is about to be sent and the tokens that it occupies.
    pub fn begin_request(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.open_requests += 1;
            record.open_tokens += tokens;
        }
    }

    /// Adds to and subtracts from the prompt tokens that wait to be processed at a server.
    pub fn adjust_waiting(&mut self, key: ServerKey, added: u64, removed: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.waiting_tokens = (record.waiting_tokens + added).saturating_sub(removed);
        }
    }

    /// Adds tokens that a running request has generated.
    pub fn add_tokens(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.open_tokens += tokens;
        }
    }

    /// Adds to and subtracts from the tokens that running requests are expected to generate.
    pub fn adjust_growth(&mut self, key: ServerKey, added: u64, removed: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            record.expected_growth = (record.expected_growth + added).saturating_sub(removed);
        }
    }

    /// Subtracts a request that `begin_request` counted. `tokens` includes those that
    /// `add_tokens` added.
    pub fn finish_request(&mut self, key: ServerKey, tokens: u64) {
        if let Some(record) = self.records.get_mut(&key) {
            debug_assert!(record.open_requests > 0, "finish_request without begin_request");
            record.open_requests = record.open_requests.saturating_sub(1);
            record.open_tokens = record.open_tokens.saturating_sub(tokens);
        }
    }

    /// Sets the speeds of all servers. `speed` gets the key and the service of each.
    pub fn set_speeds(&mut self, speed: impl Fn(ServerKey, &str) -> SpeedRatios) {
        for (key, record) in &mut self.records {
            record.speed = speed(*key, &record.entry.service);
        }
    }

    /// Records a successful answer, which ends the avoidance of the server.
    pub fn record_success(&mut self, key: ServerKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.failures = 0;
            record.avoid_until = None;
        }
    }

    /// Records that a server is unreachable. It is avoided at once, without `FAILURE_LIMIT`
    /// failures.
    pub fn record_unreachable(&mut self, now: Timestamp, key: ServerKey) {
        if let Some(record) = self.records.get_mut(&key) {
            record.failures = record.failures.max(FAILURE_LIMIT);
            record.avoid_until = Some(now + AVOID_MIN * 2);
        }
    }

    /// Sets the limit of the requests of this instance to a server in slow start.
    pub fn set_pace(&mut self, key: ServerKey, pace: Option<PaceLimit>) {
        if let Some(record) = self.records.get_mut(&key) {
            record.pace = pace;
        }
    }

    /// Avoids a server until the given time; never shortens the period in force.
    pub fn avoid(&mut self, key: ServerKey, until: Timestamp) {
        if let Some(record) = self.records.get_mut(&key) {
            record.avoid_until = record.avoid_until.max(Some(until));
        }
    }

    /// Records a failure attributed to the server. Returns whether the server is now avoided.
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
