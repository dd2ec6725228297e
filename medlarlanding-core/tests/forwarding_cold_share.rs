//! Replays the decisions of a whole fleet against the rate limit of cold servers, without a network.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    ColdServer, ColdShare, ColdTarget, DirectoryChange, FleetNote, LatencyClass, PeerDigest,
    PeerTable, PeerTableParams, PlacementPolicy, PlacementRequest, RegionLimit, RemoteLoad,
    RunWeight, ServerAccess, ServerDirectory, ServerEntry, ServerKey, ServerPhase, ServerRecord,
    ShareAllocator, StoreEra, ZoneKey,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second that a cold server may get: 30 x 1.5 + 5, as on deployment A.
const LIMIT: u32 = 50;
/// Part of the limit that has to be used while work waits.
const USE_MIN: f64 = 0.8;
/// Step of the simulation.
const STEP_MS: u64 = 5;
/// Mean interval at which waiting work asks for a server.
const ASK_PERIOD_MS: u64 = 40;
/// Interval at which an instance computes its shares.
const SHARE_PERIOD_MS: u64 = 50;
/// Longest time from a decision to the arrival of the request.
const LATENCY_MS: u64 = 30;
/// Time in which the instances hear of one another before anything else happens.
const WARM_UP_MS: u64 = 6_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn address(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7200))
}

fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            usize::from(u16::from_be_bytes([address.ip().octets()[2], address.ip().octets()[3]]))
        },
        SocketAddr::V6(_) => unreachable!("the fleet uses IPv4"),
    }
}

struct Instance {
    peers: PeerTable,
    allocator: ShareAllocator,
    directory: ServerDirectory,
    keys: Vec<ServerKey>,
    boot: u64,
    sequence: u64,
    digest_at: u64,
    ask_at: u64,
    share_at: u64,
    is_down: bool,
    is_frozen: bool,
    /// Digests that have not been read.
    inbox: VecDeque<PeerDigest>,
}

impl Instance {
    fn new(number: usize, millis: u64, boot: u64, servers: usize) -> Self {
        let seeds = (0..3).map(address).collect();
        let peers = PeerTable::new(PeerTableParams::default(), address(number), 100, seeds);
        let mut directory = ServerDirectory::default();
        let keys = (0..servers)
            .map(|server| {
                let entry = ServerEntry {
                    id: Arc::from(format!("s-{server}")),
                    service: Arc::from("s"),
                    address: "10.2.0.1:80".parse().expect("an address"),
                    zone: Arc::from("z"),
                    slots: 24,
                    phase: ServerPhase::Ready,
                    born_millis: 1,
                };
                let change = DirectoryChange::Written(entry);
                directory.apply(at(millis), change).expect("a server").0
            })
            .collect();
        Self {
            peers,
            allocator: ShareAllocator::new(at(millis)),
            directory,
            keys,
            boot,
            sequence: 0,
            digest_at: millis,
            ask_at: millis,
            share_at: 0,
            is_down: false,
            is_frozen: false,
            inbox: VecDeque::new(),
        }
    }

    fn update(&mut self, millis: u64, is_engine: bool) {
        let now = at(millis);
        self.allocator.note_running(now, self.peers.live_timeout());
        if millis < self.share_at {
            return;
        }
        self.share_at = millis + SHARE_PERIOD_MS;
        let view = self.peers.fleet_view(now);
        self.allocator.update(now, &view);
        let allocator = &self.allocator;
        self.directory.set_cold_shares(|record| {
            if !record.cold().is_cold(now) {
                return Some(ColdShare::default());
            }
            let start = record.entry.id.bytes().fold(77, |sum: u64, byte| {
                sum.wrapping_mul(0x9e37_79b9_7f4a_7c15).wrapping_add(byte.into())
            });
            let target = ColdTarget { start, limit: LIMIT, is_engine };
            Some(allocator.share(now, &view, target))
        });
    }

    fn is_running(&self) -> bool {
        !self.is_down && !self.is_frozen
    }

    /// Counts one request to a server if the instance's share allows it.
    fn try_send(&mut self, millis: u64, server: usize, is_engine: bool) -> bool {
        self.update(millis, is_engine);
        let key = self.keys[server];
        let access = self.directory.get(key).expect("a server").access(at(millis));
        let may_send = access == ServerAccess::Open;
        if may_send {
            self.directory.record_send(at(millis), key);
        }
        may_send
    }
}

/// Which messages get lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Cut {
    Nothing,
    /// All messages between the two halves.
    Halves,
    /// All messages from and to an instance.
    Instance(usize),
    /// All messages from an instance.
    From(usize),
    /// All messages between two instances.
    Link(usize, usize),
}

struct FleetSim {
    instances: Vec<Instance>,
    servers: usize,
    is_engine: bool,
    cut: Cut,
    random: SmallRng,
    millis: u64,
    /// When the servers became cold; requests before do not count.
    cold_at: u64,
    /// Whether work waits at all instances.
    has_work: bool,
    /// Arrivals at each server in milliseconds, not sorted.
    arrivals: Vec<Vec<u64>>,
}

impl FleetSim {
    /// Creates a fleet whose instances know one another.
    fn new(count: usize, servers: usize, is_engine: bool) -> Self {
        let mut random = SmallRng::seed_from_u64(count as u64 * 10 + servers as u64);
        let mut instances: Vec<Instance> =
            (0..count).map(|number| Instance::new(number, 0, 1, servers)).collect();
        for (number, instance) in instances.iter_mut().enumerate() {
            let sender = usize::from(number == 0);
            instance.digest_at = random.random_range(0..250);
            instance.peers.receive(
                at(0),
                PeerDigest {
                    sender: address(sender),
                    boot: 1,
                    sequence: 0,
                    strength: 100,
                    reaches_store: true,
                    config_version: 1,
                    servers_revision: 1,
                    era: StoreEra::UNSTATED,
                    evacuations: 0,
                    zone: ZoneKey::UNKNOWN,
                    peers: (0..count).map(address).collect(),
                    granted: 0,
                    loads: Vec::new(),
                    fleet: None,
                },
            );
        }
        let mut sim = Self {
            instances,
            servers,
            is_engine,
            cut: Cut::Nothing,
            random,
            millis: 0,
            cold_at: u64::MAX,
            has_work: false,
            arrivals: vec![Vec::new(); servers],
        };
        sim.run(WARM_UP_MS * if count > 100 { 2 } else { 1 });
        sim
    }

    fn passes(&self, from: usize, to: usize) -> bool {
        let half = self.instances.len() / 2;
        match self.cut {
            Cut::Nothing => true,
            Cut::Halves => (from < half) == (to < half),
            Cut::Instance(cut) => from != cut && to != cut,
            Cut::From(cut) => from != cut,
            Cut::Link(a, b) => (from, to) != (a, b) && (from, to) != (b, a),
        }
    }

    /// Makes all servers cold for `seconds`.
    fn make_cold(&mut self, seconds: u64) {
        self.cold_at = self.millis;
        for instance in &mut self.instances {
            for key in instance.keys.clone() {
                let remaining = Duration::from_secs(seconds);
                instance.directory.extend_cold(at(self.millis), key, remaining, Duration::ZERO);
            }
            instance.share_at = 0;
        }
    }

    fn run(&mut self, millis: u64) {
        let end = self.millis + millis;
        while self.millis < end {
            self.millis += STEP_MS;
            for index in 0..self.instances.len() {
                self.exchange(index);
            }
            for index in 0..self.instances.len() {
                self.ask(index);
            }
        }
    }

    /// Reads the digests that an instance has received and sends its own when it is due.
    fn exchange(&mut self, index: usize) {
        let millis = self.millis;
        let instance = &mut self.instances[index];
        if !instance.is_running() {
            return;
        }
        while let Some(digest) = instance.inbox.pop_front() {
            instance.peers.receive(at(millis), digest);
        }
        if millis < instance.digest_at {
            return;
        }
        instance.update(millis, self.is_engine);
        instance.digest_at = millis + instance.peers.digest_interval().as_millis() as u64;
        instance.sequence += 1;
        let sequence = instance.sequence;
        let targets = instance.peers.targets(at(millis), sequence);
        let digest = PeerDigest {
            sender: address(index),
            boot: instance.boot,
            sequence,
            strength: 100,
            reaches_store: true,
            config_version: 1,
            servers_revision: 1,
            era: StoreEra::UNSTATED,
            evacuations: 0,
            zone: ZoneKey::UNKNOWN,
            peers: instance.peers.sample(at(millis), sequence),
            granted: 0,
            loads: Vec::new(),
            fleet: Some(instance.peers.fleet_note(at(millis))),
        };
        for (target, _) in targets {
            let target = number_of(target);
            if self.passes(index, target) && !self.instances[target].is_down {
                self.instances[target].inbox.push_back(digest.clone());
            }
        }
    }

    /// Places the work that waits at an instance, one request to each server that takes it.
    fn ask(&mut self, index: usize) {
        let (millis, is_engine) = (self.millis, self.is_engine);
        let instance = &mut self.instances[index];
        if !self.has_work || !instance.is_running() || millis < instance.ask_at {
            return;
        }
        instance.ask_at =
            millis + self.random.random_range(ASK_PERIOD_MS / 2..=ASK_PERIOD_MS * 3 / 2);
        let coordinator = match is_engine {
            true => instance.peers.coordinator(at(millis)).map(number_of),
            false => None,
        };
        for server in 0..self.servers {
            let mut is_sent = false;
            if let Some(coordinator) = coordinator {
                let is_asked = self.passes(index, coordinator) && self.passes(coordinator, index);
                let keeper = &mut self.instances[coordinator];
                is_sent =
                    is_asked && keeper.is_running() && keeper.try_send(millis, server, is_engine);
            }
            is_sent = is_sent || self.instances[index].try_send(millis, server, is_engine);
            if is_sent {
                let arrival = millis + self.random.random_range(1..=LATENCY_MS);
                self.arrivals[server].push(arrival);
            }
        }
    }

    /// Returns the number of requests that an instance sent to the first server in the last second.
    fn sends(&self, index: usize) -> u32 {
        let instance = &self.instances[index];
        let record = instance.directory.get(instance.keys[0]).expect("a server");
        record.cold().sent_count(at(self.millis))
    }

    fn coordinator(&self) -> usize {
        let now = at(self.millis);
        let coordinates = |instance: &&Instance| instance.peers.coordinator(now).is_none();
        let found: Vec<usize> = (0..self.instances.len())
            .filter(|index| coordinates(&&self.instances[*index]))
            .collect();
        assert_eq!(found.len(), 1, "one coordinator");
        found[0]
    }

    /// Returns the largest number of arrivals at one server within a second.
    fn peak(&self) -> usize {
        let mut peak = 0;
        for arrivals in &self.arrivals {
            let mut sorted: Vec<u64> =
                arrivals.iter().copied().filter(|at| *at >= self.cold_at).collect();
            sorted.sort_unstable();
            for (index, first) in sorted.iter().enumerate() {
                let later = sorted[index..].partition_point(|at| *at < first + 1000);
                peak = peak.max(later);
            }
        }
        peak
    }

    /// Returns the part of the limit that was used in the last `millis`, of the server that got least.
    fn used(&self, millis: u64) -> f64 {
        let from = self.millis - millis;
        let count = |arrivals: &Vec<u64>| arrivals.iter().filter(|at| **at >= from).count();
        let least = self.arrivals.iter().map(count).min().expect("a server");
        least as f64 / (millis as f64 / 1e3) / f64::from(LIMIT)
    }

    fn check(&self, what: &str, used_within: Option<u64>) {
        let (peak, used) = (self.peak(), used_within.map(|millis| self.used(millis)));
        let count = self.instances.len();
        println!("{what}, {count} instances: peak {peak} of {LIMIT} per second, used {used:.2?}");
        assert!(peak <= LIMIT as usize, "{what}: {peak} requests within a second");
        assert!(used.is_none_or(|used| used >= USE_MIN), "{what}: used {used:?} of the limit");
    }
}

/// A fleet and the kind of its servers.
#[derive(Clone, Copy)]
struct FleetCase {
    instances: usize,
    is_engine: bool,
}

const PLAIN_12: FleetCase = FleetCase { instances: 12, is_engine: false };
const PLAIN_30: FleetCase = FleetCase { instances: 30, is_engine: false };
const PLAIN_60: FleetCase = FleetCase { instances: 60, is_engine: false };
const PLAIN_300: FleetCase = FleetCase { instances: 300, is_engine: false };
const ENGINE_12: FleetCase = FleetCase { instances: 12, is_engine: true };
const ENGINE_60: FleetCase = FleetCase { instances: 60, is_engine: true };
const ENGINE_300: FleetCase = FleetCase { instances: 300, is_engine: true };

/// Returns a fleet whose only server has just become cold while work waits at all instances.
fn cold_fleet(case: FleetCase) -> FleetSim {
    let mut sim = FleetSim::new(case.instances, 1, case.is_engine);
    sim.make_cold(120);
    sim.has_work = true;
    sim.run(3_000);
    sim
}

/// Guards against a cold server that crashes under the requests of all instances together, and against
/// one that is left idle while work waits.
fn limit_is_kept_and_used(case: FleetCase) {
    let mut sim = cold_fleet(case);
    sim.run(4_400);
    sim.check("steady", Some(4_400));
}

cases! { limit_is_kept_and_used;
    steady_plain_12 => PLAIN_12,
    steady_plain_30 => PLAIN_30,
    steady_plain_60 => PLAIN_60,
    steady_plain_300 => PLAIN_300,
    steady_engine_12 => ENGINE_12,
    steady_engine_60 => ENGINE_60,
    steady_engine_300 => ENGINE_300,
}

/// Time after a fault in which silent instances are noticed and the next coordinator has waited.
fn settle_time(case: FleetCase) -> u64 {
    if case.instances > 100 { 9_000 } else { 4_000 }
}

/// Guards against two coordinators that allocate the same share when the first one dies.
fn coordinator_dies(case: FleetCase) {
    let mut sim = cold_fleet(case);
    let coordinator = sim.coordinator();
    sim.instances[coordinator].is_down = true;
    sim.run(settle_time(case));
    let used = sim.used(settle_time(case) - 1_000);
    println!("while the next coordinator waits: used {used:.2}");
    assert!(used > 0.1, "the part for decisions without the coordinator was not used");
    sim.run(4_000);
    sim.check("coordinator dies", Some(3_300));
}

cases! { coordinator_dies;
    coordinator_of_60_dies => ENGINE_60,
    coordinator_of_300_dies => ENGINE_300,
}

/// Guards against a coordinator that allocates the share of its successor after a pause.
fn coordinator_freezes((case, frozen_ms): (FleetCase, u64)) {
    let mut sim = cold_fleet(case);
    let coordinator = sim.coordinator();
    sim.instances[coordinator].is_frozen = true;
    sim.run(frozen_ms);
    sim.instances[coordinator].is_frozen = false;
    sim.run(settle_time(case));
    sim.run(4_000);
    sim.check("coordinator freezes", Some(3_300));
}

cases! { coordinator_freezes;
    coordinator_of_60_freezes_briefly => (ENGINE_60, 900),
    coordinator_of_60_freezes_until_it_counts_as_silent => (ENGINE_60, 1_200),
    coordinator_of_60_freezes_while_its_successor_waits => (ENGINE_60, 1_900),
    coordinator_of_60_freezes_until_its_successor_allocates => (ENGINE_60, 3_300),
    coordinator_of_300_freezes_until_its_successor_allocates => (ENGINE_300, 8_300),
}

/// How a coordinator is cut off.
#[derive(Clone, Copy)]
enum CutMode {
    Whole,
    /// It hears the others, which do not hear it.
    Outgoing,
    /// Only from the instance that would replace it.
    FromNext,
}

/// Guards against a coordinator that goes on to allocate its share while it is cut off from those that
/// have chosen another one, and after it is back.
fn coordinator_is_cut_off((case, mode): (FleetCase, CutMode)) {
    let mut sim = cold_fleet(case);
    let coordinator = sim.coordinator();
    sim.cut = match mode {
        CutMode::Whole => Cut::Instance(coordinator),
        CutMode::Outgoing => Cut::From(coordinator),
        CutMode::FromNext => {
            sim.instances[coordinator].is_down = true;
            let next = {
                let now = at(sim.millis);
                // The instance that most would follow without the coordinator.
                let mut ranked: Vec<usize> = Vec::new();
                for (index, instance) in sim.instances.iter_mut().enumerate() {
                    if index != coordinator {
                        instance.peers.record_silence(address(coordinator));
                        ranked.extend(instance.peers.coordinator(now).map(number_of));
                    }
                }
                ranked.sort_unstable();
                ranked.chunk_by(|a, b| a == b).max_by_key(|same| same.len()).expect("one")[0]
            };
            sim.instances[coordinator].is_down = false;
            Cut::Link(coordinator, next)
        },
    };
    sim.run(settle_time(case));
    sim.run(4_000);
    sim.check("coordinator is cut off", Some(3_300));
    sim.cut = Cut::Nothing;
    sim.run(settle_time(case));
    sim.run(4_000);
    sim.check("coordinator is back", Some(3_300));
}

cases! { coordinator_is_cut_off;
    coordinator_of_60_is_cut_off => (ENGINE_60, CutMode::Whole),
    coordinator_of_60_is_not_heard => (ENGINE_60, CutMode::Outgoing),
    coordinator_of_60_is_cut_off_from_the_next => (ENGINE_60, CutMode::FromNext),
    coordinator_of_300_is_cut_off => (ENGINE_300, CutMode::Whole),
}

/// Guards against two halves that each use the whole limit, at the cut, while it lasts, when it is healed,
/// and after the halves have forgotten one another.
fn halves_share_the_limit((case, cut_ms): (FleetCase, u64)) {
    let mut sim = cold_fleet(case);
    sim.cut = Cut::Halves;
    sim.run(cut_ms);
    sim.check("partition", Some(3_300));
    sim.cut = Cut::Nothing;
    sim.run(settle_time(case));
    sim.check("after the partition", None);
}

cases! { halves_share_the_limit;
    halves_of_60_plain => (PLAIN_60, 8_000),
    halves_of_300_plain => (PLAIN_300, 12_000),
    halves_of_60_engine => (ENGINE_60, 8_000),
    halves_of_300_engine => (ENGINE_300, 15_000),
    halves_of_12_engine_that_forget_one_another => (ENGINE_12, 45_000),
    halves_of_60_plain_that_forget_one_another => (PLAIN_60, 45_000),
}

/// Guards against an instance that sends as if it were alone because it has just started, or hears from
/// nobody at all.
fn instance_knows_nothing((case, is_deaf): (FleetCase, bool)) {
    let mut sim = cold_fleet(case);
    for index in [5, 6, 7] {
        let millis = sim.millis;
        sim.instances[index] = Instance::new(index, millis, 2, 1);
        let key = sim.instances[index].keys[0];
        let remaining = Duration::from_secs(120);
        sim.instances[index].directory.extend_cold(at(millis), key, remaining, Duration::ZERO);
    }
    if is_deaf {
        // One starts without a peer in reach; its digests would be the only ones it sends.
        sim.cut = Cut::Instance(6);
    }
    let started = sim.millis;
    sim.run(450);
    let direct = sim.sends(6);
    if is_deaf {
        assert_eq!(direct, 0, "it has no share before {} ms", sim.millis - started);
    }
    sim.run(6_000);
    let direct = sim.sends(6);
    if is_deaf || !case.is_engine {
        assert!(direct <= 1, "{direct} requests within a second");
    }
    sim.check("new instances", None);
}

cases! { instance_knows_nothing;
    new_instances_of_60_plain => (PLAIN_60, false),
    new_instances_of_60_engine => (ENGINE_60, false),
    deaf_instance_of_60_plain => (PLAIN_60, true),
    deaf_instance_of_60_engine => (ENGINE_60, true),
    new_instances_of_300_plain => (PLAIN_300, false),
}

/// Guards against a zone of servers that all turn cold under a burst and get more than their limits.
fn whole_zone_turns_cold(case: FleetCase) {
    let mut sim = FleetSim::new(case.instances, 12, case.is_engine);
    sim.make_cold(60);
    sim.has_work = true;
    sim.run(3_000);
    sim.check("whole zone", Some(2_200));
}

cases! { whole_zone_turns_cold;
    zone_of_plain_servers_and_60_instances => PLAIN_60,
    zone_of_engines_and_60_instances => ENGINE_60,
    zone_of_plain_servers_and_300_instances => PLAIN_300,
}

/// Guards against a server that gets more than its limit from the moment at which the instances learn
/// that it has turned cold under load, and against the limit staying in effect after the cold time.
/// Requests that were sent before the news come on top.
fn server_turns_cold_at_any_moment(case: FleetCase) {
    /// Time until the last instance learns of the cold time.
    const NEWS_MS: u64 = 250;
    for moment in 0..6 {
        let mut sim = FleetSim::new(case.instances, 1, case.is_engine);
        let send_some = |sim: &mut FleetSim, millis: u64| {
            // The server gets some 40 requests per second.
            let end = sim.millis + millis;
            while sim.millis < end {
                let index = sim.random.random_range(0..sim.instances.len());
                let sender = if case.is_engine { sim.coordinator() } else { index };
                let (millis, is_engine) = (sim.millis, sim.is_engine);
                if sim.instances[sender].try_send(millis, 0, is_engine) {
                    sim.arrivals[0].push(millis);
                }
                sim.run(25);
            }
        };
        send_some(&mut sim, 2_000 + moment * 17);
        let turned_at = sim.millis;
        send_some(&mut sim, NEWS_MS);
        let before = sim.arrivals[0].iter().filter(|at| **at >= turned_at).count();
        sim.make_cold(3);
        sim.has_work = true;
        sim.run(2_900);
        sim.check("server turns cold", Some(2_200));
        sim.cold_at = turned_at;
        println!("{before} requests before the news, peak with them {}", sim.peak());
        assert!(sim.peak() <= LIMIT as usize + before);
        sim.run(600);
        assert!(sim.used(200) > 2.0, "the limit is still in effect");
    }
}

cases! { server_turns_cold_at_any_moment;
    plain_server_turns_cold => PLAIN_60,
    engine_turns_cold => ENGINE_60,
}

/// Guards against an instance that tells peers each second that a server is still cold, and against one
/// that does not tell them when a server is cold again. Each report is a time, the remaining cold time and
/// whether it is news.
fn reports_are_news((lateness, reports): (u64, &[(u64, u64, bool)])) {
    let mut cold = ColdServer::default();
    for &(millis, remaining, is_news) in reports {
        let lateness = Duration::from_millis(lateness);
        let news = cold.extend(at(millis), Duration::from_millis(remaining), lateness);
        assert_eq!(news, is_news, "after {millis} ms");
    }
}

cases! { reports_are_news;
    cold_time_counts_down => (0, &[(0, 0, false), (10, 3_000, true), (1_030, 2_000, false), (2_010, 1_000, false), (3_200, 0, false)]),
    server_is_cold_again_before_its_end => (0, &[(0, 1_000, true), (600, 1_000, true), (1_600, 0, false)]),
    server_is_cold_again_for_the_same_time => (0, &[(0, 1_000, true), (1_000, 1_000, true)]),
    shorter_time_is_ignored => (0, &[(0, 3_000, true), (100, 500, false), (200, 2_800, false)]),
    late_reader_of_a_time_that_counts_down => (1_000, &[(900, 5_000, true), (2_700, 4_000, false), (6_500, 200, false)]),
    late_reader_of_a_server_that_is_cold_again => (1_000, &[(900, 1_000, true), (4_000, 1_000, true)]),
}

/// Chooses a server for a request to a plain service.
fn place(directory: &ServerDirectory, millis: u64, excluded: &[ServerKey]) -> Option<ServerKey> {
    let request = PlacementRequest {
        service: "s",
        memory_tokens: None,
        weight: RunWeight::default(),
        excluded,
        zone: "z",
        due: None,
        is_urgent: false,
        drain_limit: Duration::from_secs(2),
        reserve: None,
        latency: LatencyClass::Uniform,
        regions: &RegionLimit::Any,
    };
    let policy = PlacementPolicy::default();
    let remote = |_: &ServerRecord| RemoteLoad::default();
    policy.choose(at(millis), directory, &request, remote, || 0.5).map(|choice| choice.key)
}

/// Guards against requests to a server whose share is used up, against a cold server that is passed over
/// before, and against one reason that hides another that lasts longer.
#[test]
fn placement_skips_servers_whose_share_is_used_up() {
    let mut instance = Instance::new(0, 0, 1, 2);
    let [cold, other] = instance.keys[..] else { unreachable!("two servers") };
    let directory = &mut instance.directory;
    let access = |directory: &ServerDirectory, millis: u64| {
        directory.get(cold).expect("a server").access(at(millis))
    };
    let second = Duration::from_secs(1);
    assert!(directory.extend_cold(at(0), cold, 3 * second, Duration::ZERO));
    for _ in 0..9 {
        assert!(!directory.record_send(at(5), cold), "its service has no limit");
    }
    assert_eq!(access(directory, 10), ServerAccess::Open);
    directory.set_cold_shares(|_| Some(ColdShare { direct: 1, coordinated: 2 }));
    for millis in [10, 20, 30] {
        assert_eq!(place(directory, millis, &[other]), Some(cold), "after {millis} ms");
        assert!(directory.record_send(at(millis), cold), "it is cold");
    }
    assert_eq!(access(directory, 40), ServerAccess::Limited);
    assert_eq!(place(directory, 40, &[]), Some(other));
    assert_eq!(place(directory, 40, &[other]), None);
    assert_eq!(directory.limited(at(40), "s").map(|(key, _)| key).collect::<Vec<_>>(), [cold]);
    // The first request has left the window, the second has not.
    assert_eq!(place(directory, 1_115, &[other]), Some(cold));
    directory.record_send(at(1_115), cold);
    assert_eq!(place(directory, 1_116, &[other]), None);
    directory.hold(cold, at(1_500));
    // No instance may place a request on it until its share allows one; then the pause remains.
    assert_eq!(access(directory, 1_116), ServerAccess::Limited);
    assert_eq!(access(directory, 1_140), ServerAccess::Held);
    directory.mark_leaving(at(1_116), cold);
    assert_eq!(access(directory, 1_116), ServerAccess::Leaving);
    // A later start has neither.
    let mut entry = directory.get(cold).expect("a server").entry.clone();
    entry.born_millis = 2;
    let change = DirectoryChange::Written(entry);
    let (next, _) = directory.apply(at(1_117), change).expect("a server");
    assert_eq!(directory.get(next).expect("a server").access(at(1_117)), ServerAccess::Open);
}

/// Guards against a draining server that is cold and gets requests beyond its limit because no other
/// server accepts any.
#[test]
fn draining_fallback_keeps_the_limit_of_a_cold_server() {
    let mut instance = Instance::new(0, 0, 1, 1);
    let (server, directory) = (instance.keys[0], &mut instance.directory);
    directory.extend_cold(at(0), server, Duration::from_secs(3), Duration::ZERO);
    directory.set_cold_shares(|_| Some(ColdShare { direct: 1, coordinated: 0 }));
    directory.mark_leaving(at(0), server);
    assert_eq!(place(directory, 10, &[]), Some(server));
    directory.record_send(at(10), server);
    assert_eq!(place(directory, 20, &[]), None);
}

/// Guards against notes that grow beyond what a digest has room for.
#[test]
fn fleet_note_is_short() {
    let note = FleetNote { instances: 350, coordinator: u16::MAX };
    assert!(postcard::to_stdvec(&Some(note)).expect("a note").len() <= 6);
}
