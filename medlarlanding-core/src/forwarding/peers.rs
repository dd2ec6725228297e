//! What instances tell one another, and the table of peers heard from.
//!
//! A few instances, the hubs, are the best ranked ones that are alive. They watch the platform's
//! store and tell all others; everyone tells the hubs its load, and the best ranked one places
//! generations for all. Ranks follow from what each instance says of itself, so that no
//! election is needed: instances that disagree for a moment only do some work twice.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use super::placement::RunWeight;
use crate::ids::stable_hash;
use crate::time::Timestamp;

use indexmap::IndexMap;

value_type! { copy
    /// Load that one instance puts on one server.
    pub struct LoadReport {
        /// Hash of the server's id.
        pub server: u64,
        /// Requests in progress.
        pub requests: u16,
        /// Tokens in memory that they take.
        pub tokens: u32,
        /// Prompt tokens of requests whose answer has not begun.
        pub waiting_tokens: u32,
        /// Tokens that the requests are expected to add.
        pub growth: u32,
    }
}

value_type! {
    /// Periodic message of an instance to its peers.
    pub struct PeerDigest {
        /// Address of the sender's peer port.
        pub sender: SocketAddr,
        /// Start of the sending process; differs between starts.
        pub boot: u64,
        /// Number of the digest within one start; older ones are dropped.
        pub sequence: u64,
        /// Processor and link of the sender's machine; stronger ones are better ranked.
        pub strength: u16,
        /// The sender watches the store and its last call was answered.
        pub reaches_store: bool,
        /// Version of the configuration in force at the sender; 0 for none.
        pub config_version: u64,
        /// Revision of the last change that told the sender anything new of the servers; 0 for
        /// none.
        pub servers_revision: u64,
        /// Some of the peers that the sender hears.
        pub peers: Vec<SocketAddr>,
        /// Highest number of a grant of the receiver that `loads` contains.
        pub granted: u64,
        /// Load that the sender puts on servers; only for hubs.
        pub loads: Vec<LoadReport>,
    }
}

/// Figures of the peer table.
#[derive(Clone, Copy, Debug)]
pub struct PeerTableParams {
    /// Period between two digests of one instance.
    pub interval: Duration,
    /// A peer counts as live for this long after its last digest: four lost in a row.
    pub live: Duration,
    /// A silent peer is forgotten after this time, unless it is a seed.
    pub forget: Duration,
    /// Number of hubs: two may fail at the same moment and no change is late.
    pub hubs: usize,
    /// Peers beside the hubs that are told in each period, so that parts of a divided fleet
    /// find one another again.
    pub others: usize,
    /// Addresses in one digest; bounds the size of a datagram.
    pub sample: usize,
}

impl Default for PeerTableParams {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            live: Duration::from_millis(1100),
            forget: Duration::from_secs(30),
            hubs: 3,
            others: 2,
            sample: 12,
        }
    }
}

#[derive(Debug, Default)]
struct PeerRecord {
    /// Last digest of the peer itself.
    heard_at: Option<Timestamp>,
    /// Last mention by anybody.
    known_at: Option<Timestamp>,
    boot: u64,
    sequence: u64,
    strength: u16,
    reaches_store: bool,
    config_version: u64,
    servers_revision: u64,
    loads: Vec<LoadReport>,
    /// Grants to the peer that its digests do not contain yet.
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

/// Load on one server as peers reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteLoad {
    /// Requests in progress.
    pub requests: f64,
    /// Tokens in memory.
    pub tokens: f64,
    /// Prompt tokens that wait to be read.
    pub waiting_tokens: f64,
    /// Tokens that the requests are expected to add.
    pub growth: f64,
}

/// Place of an instance among the others; a higher one is better.
type PeerRank = (u16, u64);

/// Peers that this instance knows.
#[derive(Debug)]
pub struct PeerTable {
    params: PeerTableParams,
    own: SocketAddr,
    strength: u16,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, PeerRecord>,
    /// Position of the next peer to tell beside the hubs.
    cursor: usize,
    next_grant: u64,
}

impl PeerTable {
    /// Creates a table that knows only the seeds.
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
            seeds: Vec::new(),
            peers: IndexMap::new(),
            cursor: 0,
            next_grant: 1,
        };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds.
    pub fn set_seeds(&mut self, seeds: Vec<SocketAddr>) {
        self.seeds = seeds.into_iter().filter(|seed| *seed != self.own).collect();
        for seed in &self.seeds {
            self.peers.entry(*seed).or_default();
        }
    }

    /// Own strength, for digests.
    pub fn strength(&self) -> u16 {
        self.strength
    }

    /// Takes a digest. Returns whether it was newer than what was known of its sender.
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
            servers_revision: digest.servers_revision,
            loads: digest.loads,
            grants,
        };
        true
    }

    /// Records that a peer did not answer, so that it counts as silent until it is heard again.
    pub fn record_silence(&mut self, address: SocketAddr) {
        if let Some(record) = self.peers.get_mut(&address) {
            record.heard_at = None;
        }
    }

    fn is_live(&self, now: Timestamp, record: &PeerRecord) -> bool {
        record.heard_at.is_some_and(|at| now.since(at) < self.params.live)
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

    /// Live peers that are better ranked than this instance, best first.
    fn better(&self, now: Timestamp) -> Vec<(SocketAddr, &PeerRecord)> {
        let own = self.own_rank();
        let mut better: Vec<(PeerRank, SocketAddr, &PeerRecord)> = self
            .peers
            .iter()
            .filter(|(_, record)| self.is_live(now, record))
            .map(|(address, record)| (Self::rank(address, record.strength), *address, record))
            .filter(|(rank, _, _)| *rank > own)
            .collect();
        better.sort_by_key(|(rank, _, _)| std::cmp::Reverse(*rank));
        better.into_iter().map(|(_, address, record)| (address, record)).collect()
    }

    /// Tells whether this instance watches the store: fewer better ranked peers than there are
    /// hubs do so successfully.
    pub fn watches_store(&self, now: Timestamp) -> bool {
        let watching = self.better(now).iter().filter(|(_, record)| record.reaches_store).count();
        watching < self.params.hubs
    }

    /// Gets how many groups of hubs are better ranked and alive: 0 for the hubs themselves.
    ///
    /// Instances that step in because the hubs do not reach the store wait in proportion, so
    /// that a store that is down is not asked by the whole fleet.
    pub fn standby_level(&self, now: Timestamp) -> u32 {
        (self.better(now).len() / self.params.hubs.max(1)) as u32
    }

    /// Gets the peer that places generations; `None` if it is this instance.
    pub fn keeper(&self, now: Timestamp) -> Option<SocketAddr> {
        self.better(now).first().map(|(address, _)| *address)
    }

    /// Chooses the peers to tell in this period, with whether each takes loads.
    pub fn targets(&mut self, now: Timestamp) -> Vec<(SocketAddr, bool)> {
        let (forget, seeds) = (self.params.forget, &self.seeds);
        self.peers.retain(|address, record| {
            seeds.contains(address) || record.known_at.is_some_and(|at| now.since(at) < forget)
        });
        let better: Vec<SocketAddr> =
            self.better(now).into_iter().map(|(address, _)| address).collect();
        let is_hub = better.len() < self.params.hubs || self.watches_store(now);
        let hubs = &better[..better.len().min(self.params.hubs)];
        let mut targets: Vec<(SocketAddr, bool)> =
            hubs.iter().map(|address| (*address, true)).collect();
        let count = self.peers.len();
        let others = if is_hub { count } else { self.params.others.min(count) };
        for step in 0..others {
            if let Some((address, _)) = self.peers.get_index((self.cursor + step) % count)
                && !hubs.contains(address)
            {
                targets.push((*address, false));
            }
        }
        self.cursor = if count == 0 { 0 } else { (self.cursor + others) % count };
        targets
    }

    /// All peers that may be up.
    pub fn known(&self) -> Vec<SocketAddr> {
        self.peers.keys().copied().collect()
    }

    /// Addresses of peers to pass on, starting at `offset`.
    pub fn sample(&self, now: Timestamp, offset: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self
            .peers
            .iter()
            .filter(|(_, record)| self.is_live(now, record))
            .map(|(address, _)| *address)
            .collect();
        let count = live.len();
        (0..count.min(self.params.sample))
            .map(|step| live[(offset * self.params.sample + step) % count])
            .collect()
    }

    /// Number of instances, including this one. Counts known but silent peers, so that shares
    /// are too small rather than too large while a fleet starts.
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Gets one of the live peers with the highest configuration version above `version`.
    /// `draw` from 0 to 1 chooses among them, which spreads the fetches over the fleet.
    pub fn ahead_of_config(&self, now: Timestamp, version: u64, draw: f64) -> Option<SocketAddr> {
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let newest = live.clone().map(|(_, record)| record.config_version).max()?;
        if newest <= version {
            return None;
        }
        let holders: Vec<&SocketAddr> = live
            .filter(|(_, record)| record.config_version == newest)
            .map(|(address, _)| address)
            .collect();
        holders.get((draw * holders.len() as f64) as usize).map(|address| **address)
    }

    /// Gets one of the live peers that know news of servers after `revision`. `draw` from 0 to 1
    /// chooses among them: the one that is furthest ahead would be asked by the whole fleet.
    pub fn ahead_of_servers(&self, now: Timestamp, revision: u64, draw: f64) -> Option<SocketAddr> {
        let live = self.peers.iter().filter(|(_, record)| self.is_live(now, record));
        let ahead: Vec<&SocketAddr> = live
            .filter(|(_, record)| record.servers_revision > revision)
            .map(|(address, _)| address)
            .collect();
        ahead.get((draw * ahead.len() as f64) as usize).map(|address| **address)
    }

    /// Counts a placement for a peer until its digests contain it. Returns its number.
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
        let live = self.params.live;
        let record = self.peers.entry(peer).or_default();
        record.grants.retain(|grant| now.since(grant.at) < live);
        record.grants.push(PeerGrant { number, at: now, server, weight, waiting_tokens });
        number
    }

    /// Sums the load that live peers report for a server and what was granted since.
    pub fn remote_load(&self, now: Timestamp, server: u64) -> RemoteLoad {
        let mut sum = RemoteLoad::default();
        for record in self.peers.values().filter(|record| self.is_live(now, record)) {
            for load in record.loads.iter().filter(|load| load.server == server) {
                sum.requests += f64::from(load.requests);
                sum.tokens += f64::from(load.tokens);
                sum.waiting_tokens += f64::from(load.waiting_tokens);
                sum.growth += f64::from(load.growth);
            }
            let fresh = |grant: &&PeerGrant| {
                grant.server == server && now.since(grant.at) < self.params.live
            };
            for grant in record.grants.iter().filter(fresh) {
                sum.requests += 1.0;
                sum.tokens += f64::from(grant.weight.prompt);
                sum.growth += f64::from(grant.weight.output);
                sum.waiting_tokens += f64::from(grant.waiting_tokens);
            }
        }
        sum
    }
}
