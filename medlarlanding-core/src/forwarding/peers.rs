//! What instances tell one another, and the table of peers heard from.

use std::net::SocketAddr;
use std::time::Duration;

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
        /// Version of the configuration in force at the sender; 0 for none.
        pub config_version: u64,
        /// Revision of the store up to which the sender knows the servers; 0 for none.
        pub servers_revision: u64,
        /// Some of the peers that the sender hears.
        pub peers: Vec<SocketAddr>,
        /// Load that the sender puts on servers.
        pub loads: Vec<LoadReport>,
    }
}

/// Figures of the peer table.
#[derive(Clone, Copy, Debug)]
pub struct PeerTableParams {
    /// Period between two digests of one instance.
    pub interval: Duration,
    /// A peer counts as live for this long after its last digest: six lost in a row.
    pub live: Duration,
    /// A silent peer is forgotten after this time, unless it is a seed.
    pub forget: Duration,
    /// Peers that are told in each period; with fewer peers all are told. Keeps the traffic of
    /// an instance constant in the size of the fleet.
    pub fanout: usize,
    /// Addresses in one digest; bounds the size of a datagram.
    pub sample: usize,
}

impl Default for PeerTableParams {
    fn default() -> Self {
        Self {
            interval: Duration::from_millis(250),
            live: Duration::from_millis(1500),
            forget: Duration::from_secs(30),
            fanout: 10,
            sample: 8,
        }
    }
}

#[derive(Debug, Default)]
struct PeerRecord {
    heard_at: Option<Timestamp>,
    boot: u64,
    sequence: u64,
    config_version: u64,
    servers_revision: u64,
    loads: Vec<LoadReport>,
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
}

/// Peers that this instance knows.
#[derive(Debug)]
pub struct PeerTable {
    params: PeerTableParams,
    own: SocketAddr,
    seeds: Vec<SocketAddr>,
    peers: IndexMap<SocketAddr, PeerRecord>,
    /// Position of the next peer to tell when there are more than the fan-out.
    cursor: usize,
}

impl PeerTable {
    /// Creates a table that knows only the seeds.
    pub fn new(params: PeerTableParams, own: SocketAddr, seeds: Vec<SocketAddr>) -> Self {
        let mut table = Self { params, own, seeds: Vec::new(), peers: IndexMap::new(), cursor: 0 };
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

    /// Takes a digest. Returns whether it was newer than what was known of its sender.
    pub fn receive(&mut self, now: Timestamp, digest: PeerDigest) -> bool {
        if digest.sender == self.own {
            return false;
        }
        for peer in digest.peers {
            if peer != self.own {
                self.peers.entry(peer).or_insert_with(|| PeerRecord {
                    heard_at: Some(now - self.params.live),
                    ..PeerRecord::default()
                });
            }
        }
        let record = self.peers.entry(digest.sender).or_default();
        if record.boot == digest.boot && digest.sequence <= record.sequence {
            return false;
        }
        *record = PeerRecord {
            heard_at: Some(now),
            boot: digest.boot,
            sequence: digest.sequence,
            config_version: digest.config_version,
            servers_revision: digest.servers_revision,
            loads: digest.loads,
        };
        true
    }

    /// Chooses the peers to tell in this period.
    pub fn targets(&mut self, now: Timestamp) -> Vec<SocketAddr> {
        let (forget, seeds) = (self.params.forget, &self.seeds);
        self.peers.retain(|address, record| {
            seeds.contains(address) || record.heard_at.is_some_and(|at| now.since(at) < forget)
        });
        let count = self.peers.len();
        let picked = count.min(self.params.fanout);
        let targets =
            (0..picked).filter_map(|step| self.peers.get_index((self.cursor + step) % count));
        let targets = targets.map(|(address, _)| *address).collect();
        self.cursor = if count == 0 { 0 } else { (self.cursor + picked) % count };
        targets
    }

    /// Addresses of live peers to pass on, starting at `offset`.
    pub fn sample(&self, now: Timestamp, offset: usize) -> Vec<SocketAddr> {
        let live: Vec<SocketAddr> = self.live(now).map(|(address, _)| *address).collect();
        let count = live.len();
        (0..count.min(self.params.sample)).map(|step| live[(offset + step) % count]).collect()
    }

    fn live(&self, now: Timestamp) -> impl Iterator<Item = (&SocketAddr, &PeerRecord)> {
        let period = self.params.live;
        self.peers
            .iter()
            .filter(move |(_, record)| record.heard_at.is_some_and(|at| now.since(at) < period))
            .filter(|(_, record)| record.boot != 0)
    }

    /// Number of live instances, including this one. Counts known but silent peers as live,
    /// so that shares are too small rather than too large while a fleet starts.
    pub fn instance_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Gets the live peer with the highest configuration version above `version`.
    pub fn ahead_of_config(&self, now: Timestamp, version: u64) -> Option<(SocketAddr, u64)> {
        self.live(now)
            .map(|(address, record)| (*address, record.config_version))
            .filter(|(_, theirs)| *theirs > version)
            .max_by_key(|(_, theirs)| *theirs)
    }

    /// Gets the live peer that knows the servers up to the highest revision above `revision`.
    pub fn ahead_of_servers(&self, now: Timestamp, revision: u64) -> Option<(SocketAddr, u64)> {
        self.live(now)
            .map(|(address, record)| (*address, record.servers_revision))
            .filter(|(_, theirs)| *theirs > revision)
            .max_by_key(|(_, theirs)| *theirs)
    }

    /// Sums the load that live peers report for a server, scaled up to the whole fleet when
    /// only some of the peers were heard recently.
    pub fn remote_load(&self, now: Timestamp, server: u64) -> RemoteLoad {
        let mut sum = RemoteLoad::default();
        let mut heard = 0usize;
        for (_, record) in self.live(now) {
            heard += 1;
            for load in record.loads.iter().filter(|load| load.server == server) {
                sum.requests += f64::from(load.requests);
                sum.tokens += f64::from(load.tokens);
                sum.waiting_tokens += f64::from(load.waiting_tokens);
            }
        }
        if heard > 0 && self.peers.len() > self.params.fanout {
            let scale = self.peers.len() as f64 / heard as f64;
            sum.requests *= scale;
            sum.tokens *= scale;
            sum.waiting_tokens *= scale;
        }
        sum
    }
}
