//! Digests that instances exchange, and the table of peers built from them.
//!
//! The highest-ranked live instances are the hubs. They watch the platform's store and report
//! changes to all others. Every instance reports its load to the hubs, and the highest-ranked hub
//! is the coordinator, which places generations for all instances. An instance's rank follows from
//! its own digests, so no election is needed; while instances disagree, the only effect is that
//! some work is done twice.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::cold_share::{FleetNote, FleetView};
use super::load::{LoadReport, RemoteLoad, RunWeight};
use super::store_position::{StoreEra, StorePosition};
use super::zone::ZoneKey;
use crate::ids::stable_hash;
use crate::time::Timestamp;

use indexmap::IndexMap;

value_type! {
    /// Periodic message of an instance to its peers.
    pub struct PeerDigest {
        /// Address of the sender's peer port.
        pub sender: SocketAddr,
        /// Identifies the sending process; differs after each restart.
        pub boot: u64,
        /// Number of the digest within one `boot`; receivers drop older ones.
        pub sequence: u64,
        /// Processor and link capacity of the sender's machine; a higher one gives a higher rank.
        pub strength: u16,
        /// The sender watches the store and its last call was answered.
        pub reaches_store: bool,
        /// Version of the configuration in force at the sender; 0 for none.
        pub config_version: u64,
        /// Store revision at which server entries last changed, as far as the sender knows; 0 for
        /// none.
        pub servers_revision: u64,
        /// Fingerprint of the sender's table of evacuated zones; 0 if none is evacuated.
        pub evacuations: u64,
        /// Addresses of some peers that the sender considers live.
        pub peers: Vec<SocketAddr>,
        /// Highest number of a grant from the receiver whose load `loads` contains.
        pub granted: u64,
        /// Load that the sender puts on servers; empty unless the receiver is a hub.
        pub loads: Vec<LoadReport>,
        /// For the division of the rate limits of cold servers; `None` while no service has one.
        pub fleet: Option<FleetNote>,
        /// Availability zone of the sender. Digests of earlier versions end before this field; see
        /// `PeerMessage::decode`.
        pub zone: ZoneKey,
        /// History of the store to which `servers_revision` belongs; unstated in digests of earlier
        /// versions.
        pub era: StoreEra,
    }
}

/// Parameters of the peer table.
#[derive(Clone, Copy, Debug)]
pub struct PeerTableParams {
    /// Interval between two digests of one instance in a fleet of up to `full_rate_size`. This and
    /// the two times below grow in proportion to a larger fleet, so that the traffic of a hub, which
    /// sends to all instances, does not grow with its square.
    pub interval: Duration,
    /// How long a peer counts as live after its last digest; passes when four in a row are lost.
    pub live_timeout: Duration,
    /// How long a peer is kept after its address was last received; seeds are kept for ever.
    pub retention: Duration,
    /// Number of instances up to which the times hold.
    pub full_rate_size: usize,
    /// Number of hubs. With three, two may fail at the same time without delaying any change.
    pub hub_count: usize,
    /// Number of hubs that are sent the loads: the coordinator and the one that replaces it.
    pub load_targets: usize,
    /// Peers besides the hubs that get each digest with addresses, so that the parts of a partitioned
    /// fleet find one another again.
    pub extra_targets: usize,
    /// Most peer addresses in one digest; limits the size of the datagram.
    pub sample_size: usize,
    /// One in so many digests contains addresses.
    pub sample_period: u64,
    /// Number of the first digests of a process that all contain addresses, so that a fleet that
    /// starts finds itself quickly.
    pub sampled_start: u64,
}

impl Default for PeerTableParams {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            live_timeout: Duration::from_millis(1100),
            retention: Duration::from_secs(30),
            full_rate_size: 100,
            hub_count: 3,
            load_targets: 2,
            extra_targets: 2,
            sample_size: 12,
            sample_period: 4,
            sampled_start: 20,
        }
    }
}

#[derive(Debug, Default)]
struct PeerRecord {
    /// When the peer's last digest arrived; `None` if it counts as silent.
    heard_at: Option<Timestamp>,
    /// When the peer's address was last received, in its own digest or another peer's.
    known_at: Option<Timestamp>,
    boot: u64,
    sequence: u64,
    strength: u16,
    reaches_store: bool,
    config_version: u64,
    /// Position at which server entries last changed, as far as the peer knows.
    servers: StorePosition,
    evacuations: u64,
    loads: Vec<LoadReport>,
    fleet: Option<FleetNote>,
    /// Kept while the peer is silent; unknown until its first digest.
    zone: ZoneKey,
    /// Placements granted to the peer that its reported loads do not include yet.
    grants: Vec<PeerGrant>,
}

#[derive(Clone, Copy, Debug)]
struct PeerGrant {
    number: u64,
    at: Timestamp,
    server: u64,
    weight: RunWeight,
    waiting_tokens: u32,
}

/// Rank of an instance: its strength, then a hash of its address. The highest rank comes first.
type PeerRank = (u16, u64);

/// Peers known to this instance.
#[derive(Debug)]
pub struct PeerTable {
    params: PeerTableParams,
    own: SocketAddr,
    strength: u16,
    /// Availability zone of this instance.
    zone: ZoneKey,
    /// Without this instance.
    seeds: Vec<SocketAddr>,
    /// This instance is one of the seeds.
    is_seed: bool,
    peers: IndexMap<SocketAddr, PeerRecord>,
    /// Index of the next peer that gets a digest without being a hub.
    next_target: usize,
    next_grant: u64,
    /// A digest of a peer was ever received.
    has_heard: bool,
}

impl PeerTable {
    /// Creates a table that contains only the seeds.
    pub fn new(
        params: PeerTableParams,
        own: SocketAddr,
        strength: u16,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let mut table = Self {
            params,
            own,
            strength,
            zone: ZoneKey::UNKNOWN,
            seeds: Vec::new(),
            is_seed: false,
            peers: IndexMap::new(),
            next_target: 0,
            next_grant: 1,
            has_heard: false,
        };
        table.set_seeds(seeds);
        table
    }

    /// Sets the availability zone of this instance, which is unknown otherwise.
    pub fn in_zone(mut self, zone: ZoneKey) -> Self {
        self.zone = zone;
        self
    }

    /// Returns the availability zone of this instance.
    pub fn own_zone(&self) -> ZoneKey {
        self.zone
    }

    /// Returns the availability zone of a peer.
    pub fn zone(&self, address: SocketAddr) -> ZoneKey {
        self.peers.get(&address).map_or(ZoneKey::UNKNOWN, |record| record.zone)
    }

    /// Iterates over all peers with their zones, including silent ones.
    pub fn zones(&self) -> impl Iterator<Item = (SocketAddr, ZoneKey)> {
        self.peers.iter().map(|(address, record)| (*address, record.zone))
    }

    /// Iterates over the live peers with their zones, the highest-ranked first.
    pub fn live_by_rank(&self, now: Timestamp) -> impl Iterator<Item = (SocketAddr, ZoneKey)> {
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let mut ranked: Vec<(PeerRank, SocketAddr, ZoneKey)> = live
            .map(|(address, record)| (Self::rank(address, record.strength), *address, record.zone))
            .collect();
        ranked.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, address, zone)| (address, zone))
    }

    /// Replaces the seeds, which are kept in the table even when silent.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.is_seed = seeds.contains(&self.own);
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.peers.entry(*seed).or_default();
        }
    }

    /// Returns whether this instance is one of the seeds.
    pub fn is_seed(&self) -> bool {
        self.is_seed
    }

    /// Returns the strength of this instance's own machine.
    pub fn strength(&self) -> u16 {
        self.strength
    }

    /// Applies a digest. Returns false if it is from this instance or not newer than the last one
    /// of its sender.
    pub fn receive(&mut self, now: Timestamp, digest: PeerDigest) -> bool {
        if digest.sender == self.own {
            return false;
        }
        for peer in digest.peers.into_iter().filter(|peer| *peer != self.own) {
            self.peers.entry(peer).or_default().known_at = Some(now);
        }
        let record = self.peers.entry(digest.sender).or_default();
        let is_restarted = record.boot != digest.boot;
        if !is_restarted && digest.sequence <= record.sequence {
            return false;
        }
        self.has_heard = true;
        let mut grants = std::mem::take(&mut record.grants);
        grants.retain(|grant| !is_restarted && grant.number > digest.granted);
        *record = PeerRecord {
            heard_at: Some(now),
            known_at: Some(now),
            boot: digest.boot,
            sequence: digest.sequence,
            strength: digest.strength,
            reaches_store: digest.reaches_store,
            config_version: digest.config_version,
            servers: StorePosition { era: digest.era, revision: digest.servers_revision },
            evacuations: digest.evacuations,
            loads: digest.loads,
            fleet: digest.fleet,
            zone: digest.zone,
            grants,
        };
        true
    }

    /// Records that a peer did not answer; it counts as silent until its next digest.
    pub fn record_silence(&mut self, address: SocketAddr) {
        if let Some(record) = self.peers.get_mut(&address) {
            record.heard_at = None;
        }
    }

    /// Returns whether a peer is live.
    pub fn is_live_peer(&self, now: Timestamp, address: SocketAddr) -> bool {
        self.peers.get(&address).is_some_and(|record| self.is_live(now, record))
    }

    /// Returns the number that identifies a peer's process; `None` if no digest of the peer is known.
    pub fn boot(&self, address: SocketAddr) -> Option<u64> {
        self.peers
            .get(&address)
            .filter(|record| record.known_at.is_some())
            .map(|record| record.boot)
    }

    /// Returns the strength of a peer's machine; 0 if it is unknown.
    pub fn peer_strength(&self, address: SocketAddr) -> u16 {
        self.peers.get(&address).map_or(0, |record| record.strength)
    }

    /// Returns the interval between two digests of this instance.
    pub fn digest_interval(&self) -> Duration {
        self.params.interval.mul_f64(self.size_factor())
    }

    /// Returns the time after which a peer without a digest counts as silent.
    pub fn live_timeout(&self) -> Duration {
        self.params.live_timeout.mul_f64(self.size_factor())
    }

    fn size_factor(&self) -> f64 {
        (self.instance_count() as f64 / self.params.full_rate_size as f64).max(1.0)
    }

    /// Returns whether the digest with this number contains addresses of peers.
    fn is_sampled(&self, sequence: u64) -> bool {
        sequence <= self.params.sampled_start || sequence.is_multiple_of(self.params.sample_period)
    }

    fn is_live(&self, now: Timestamp, record: &PeerRecord) -> bool {
        record.heard_at.is_some_and(|at| now.since(at) < self.live_timeout())
    }

    fn rank(address: &SocketAddr, strength: u16) -> PeerRank {
        let mut bytes = [0; 18];
        match address.ip() {
            IpAddr::V4(ip) => bytes[..4].copy_from_slice(&ip.octets()),
            IpAddr::V6(ip) => bytes[..16].copy_from_slice(&ip.octets()),
        }
        bytes[16..].copy_from_slice(&address.port().to_be_bytes());
        (strength, stable_hash(&bytes))
    }

    fn own_rank(&self) -> PeerRank {
        Self::rank(&self.own, self.strength)
    }

    /// Returns the live peers ranked higher than this instance, highest first.
    fn higher_ranked(&self, now: Timestamp) -> Vec<(SocketAddr, &PeerRecord)> {
        let own = self.own_rank();
        let mut ranked: Vec<(PeerRank, SocketAddr, &PeerRecord)> = self
            .peers
            .iter()
            .filter(|(_, record)| self.is_live(now, record))
            .map(|(address, record)| (Self::rank(address, record.strength), *address, record))
            .filter(|(rank, _, _)| *rank > own)
            .collect();
        ranked.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        ranked.into_iter().map(|(_, address, record)| (address, record)).collect()
    }

    /// Returns whether this instance has to watch the store: it does while fewer than `hub_count`
    /// higher-ranked live peers reach the store.
    pub fn watches_store(&self, now: Timestamp) -> bool {
        let watching =
            self.higher_ranked(now).iter().filter(|(_, record)| record.reaches_store).count();
        watching < self.params.hub_count
    }

    /// Returns the number of higher-ranked live peers divided by the number of hubs; 0 for the
    /// hubs themselves.
    ///
    /// Instances that replace hubs which do not reach the store wait in proportion to this level,
    /// so that the whole fleet does not call a store that is down.
    pub fn standby_level(&self, now: Timestamp) -> u32 {
        (self.higher_ranked(now).len() / self.params.hub_count.max(1)) as u32
    }

    /// Returns whether this instance is one of the hubs by its rank.
    pub fn is_hub(&self, now: Timestamp) -> bool {
        self.higher_ranked(now).len() < self.params.hub_count
    }

    /// Returns the coordinator, which places generations for all instances; `None` if it is this
    /// instance.
    pub fn coordinator(&self, now: Timestamp) -> Option<SocketAddr> {
        let own = self.own_rank();
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let ranked = live.map(|(address, record)| (Self::rank(address, record.strength), *address));
        ranked.filter(|(rank, _)| *rank > own).max().map(|(_, address)| address)
    }

    /// Returns what this instance tells its peers for the division of the rate limits.
    pub fn fleet_note(&self, now: Timestamp) -> FleetNote {
        let coordinator = self.coordinator(now).unwrap_or(self.own);
        FleetNote {
            instances: self.instance_count().min(usize::from(u16::MAX)) as u16,
            coordinator: Self::tag(&coordinator),
        }
    }

    /// Returns the instances as this one knows them, for the division of the rate limits.
    pub fn fleet_view(&self, now: Timestamp) -> FleetView {
        let own_tag = Self::tag(&self.own);
        let live = self.peers.values().filter(|record| self.is_live(now, record));
        let notes = live.filter_map(|record| record.fleet);
        FleetView {
            own: Self::rank(&self.own, 0).1,
            others: self.peers.keys().map(|address| Self::rank(address, 0).1).collect(),
            told: notes.clone().map(|note| usize::from(note.instances)).max().unwrap_or(0),
            followers: 1 + notes.filter(|note| note.coordinator == own_tag).count(),
            is_coordinator: self.coordinator(now).is_none(),
            has_heard: self.has_heard,
            live_timeout: self.live_timeout(),
        }
    }

    /// Returns a short hash of an address.
    fn tag(address: &SocketAddr) -> u16 {
        Self::rank(address, 0).1 as u16
    }

    /// Returns the peers that get the digest with the number `sequence`, each with whether it is sent
    /// the loads too.
    pub fn targets(&mut self, now: Timestamp, sequence: u64) -> Vec<(SocketAddr, bool)> {
        let retention = self.params.retention.mul_f64(self.size_factor());
        let seeds = &self.seeds;
        self.peers.retain(|address, record| {
            seeds.contains(address) || record.known_at.is_some_and(|at| now.since(at) < retention)
        });
        let higher: Vec<SocketAddr> =
            self.higher_ranked(now).into_iter().map(|(address, _)| address).collect();
        let is_hub = higher.len() < self.params.hub_count || self.watches_store(now);
        let hubs = &higher[..higher.len().min(self.params.hub_count)];
        let mut targets: Vec<(SocketAddr, bool)> = hubs
            .iter()
            .enumerate()
            .map(|(rank, hub)| (*hub, rank < self.params.load_targets))
            .collect();
        let count = self.peers.len();
        let extra =
            if self.is_sampled(sequence) { self.params.extra_targets.min(count) } else { 0 };
        let others = if is_hub { count } else { extra };
        for step in 0..others {
            if let Some((address, _)) = self.peers.get_index((self.next_target + step) % count)
                && !hubs.contains(address)
            {
                targets.push((*address, false));
            }
        }
        self.next_target = if count == 0 { 0 } else { (self.next_target + others) % count };
        targets
    }

    /// Returns the addresses of all peers in the table, including silent ones.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Returns the live peers to list in the digest with the number `sequence`. Successive samples go
    /// through all of them in turn.
    pub fn sample(&self, now: Timestamp, sequence: u64) -> Vec<SocketAddr> {
        if !self.is_sampled(sequence) {
            return Vec::new();
        }
        let offset = if sequence <= self.params.sampled_start {
            sequence
        } else {
            sequence / self.params.sample_period
        } as usize;
        let live: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, record)| self.is_live(now, record))
            .map(|(address, _)| *address)
            .collect();
        let count = live.len();
        (0..count.min(self.params.sample_size))
            .map(|step| live[(offset * self.params.sample_size + step) % count])
            .collect()
    }

    /// Returns the number of instances, including this one. Silent peers count too, so that an
    /// instance's share of a budget is too small rather than too large while a fleet starts.
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the newest configuration version among the live peers; 0 for none.
    pub fn newest_config_version(&self, now: Timestamp) -> u64 {
        let live = self.peers.values().filter(|record| self.is_live(now, record));
        live.map(|record| record.config_version).max().unwrap_or(0)
    }

    /// Returns the live peers with the newest configuration, with their zones, if that is newer than
    /// `version`; none otherwise.
    pub fn config_holders(&self, now: Timestamp, version: u64) -> Vec<(SocketAddr, ZoneKey)> {
        let newest = self.newest_config_version(now);
        if newest <= version {
            return Vec::new();
        }
        self.peers
            .iter()
            .filter(|(_, record)| self.is_live(now, record) && record.config_version == newest)
            .map(|(address, record)| (*address, record.zone))
            .collect()
    }

    /// Returns one of the live peers that know of changed server entries after `known`, of the own
    /// zone if there is one. `draw`, a random number from 0 to 1, selects among them; if the one with
    /// the latest position were always selected, the whole fleet would ask that one.
    pub fn peer_with_newer_servers(
        &self,
        now: Timestamp,
        known: StorePosition,
        draw: f64,
    ) -> Option<SocketAddr> {
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let mut ahead: Vec<(&SocketAddr, ZoneKey)> = live
            .filter(|(_, record)| record.servers.is_known() && record.servers > known)
            .map(|(address, record)| (address, record.zone))
            .collect();
        let is_near = |zone: ZoneKey| zone.is_known() && zone == self.zone;
        if ahead.iter().any(|(_, zone)| is_near(*zone)) {
            ahead.retain(|(_, zone)| is_near(*zone));
        }
        ahead.get((draw * ahead.len() as f64) as usize).map(|(address, _)| **address)
    }

    /// Returns one of the live peers whose table of evacuated zones has another fingerprint. `draw`, a
    /// random number from 0 to 1, selects among them.
    pub fn peer_with_other_evacuations(
        &self,
        now: Timestamp,
        fingerprint: u64,
        draw: f64,
    ) -> Option<SocketAddr> {
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let others: Vec<&SocketAddr> = live
            .filter(|(_, record)| record.evacuations != fingerprint)
            .map(|(address, _)| address)
            .collect();
        others.get((draw * others.len() as f64) as usize).map(|address| **address)
    }

    /// Returns the latest position of server entries among the live peers.
    pub fn newest_servers(&self, now: Timestamp) -> StorePosition {
        let live = self.peers.values().filter(|record| self.is_live(now, record));
        live.map(|record| record.servers).max().unwrap_or_default()
    }

    /// Counts a placement granted to a peer as load until the peer's digests include it or
    /// `live_timeout` has passed. Returns the number of the grant.
    pub fn grant(
        &mut self,
        now: Timestamp,
        peer: SocketAddr,
        server: u64,
        weight: RunWeight,
        waiting_tokens: u32,
    ) -> u64 {
        let number = self.next_grant;
        self.next_grant += 1;
        let timeout = self.live_timeout();
        let record = self.peers.entry(peer).or_default();
        record.grants.retain(|grant| now.since(grant.at) < timeout);
        record.grants.push(PeerGrant { number, at: now, server, weight, waiting_tokens });
        number
    }

    /// Returns the load that live peers report for a server, plus the grants not yet included in
    /// their reports.
    pub fn remote_load(&self, now: Timestamp, server: u64) -> RemoteLoad {
        let mut sum = RemoteLoad::default();
        for record in self.peers.values().filter(|record| self.is_live(now, record)) {
            for load in record.loads.iter().filter(|load| load.server == server) {
                sum.requests += f64::from(load.requests);
                sum.tokens += f64::from(load.tokens);
                sum.waiting_tokens += f64::from(load.waiting_tokens);
                sum.growth += f64::from(load.growth);
            }
            let is_pending = |grant: &&PeerGrant| {
                grant.server == server && now.since(grant.at) < self.live_timeout()
            };
            for grant in record.grants.iter().filter(is_pending) {
                sum.requests += 1.0;
                sum.tokens += f64::from(grant.weight.prompt);
                sum.growth += f64::from(grant.weight.output);
                sum.waiting_tokens += f64::from(grant.waiting_tokens);
            }
        }
        sum
    }
}
