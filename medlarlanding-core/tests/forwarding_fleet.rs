//! Tests of several instances together: hubs, grants, placement and the repeat budget.

mod random_runs;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::forwarding::{
    BudgetParams, DirectoryChange, LatencyClass, LoadReport, PeerDigest, PeerTable,
    PeerTableParams, PlacementPolicy, PlacementRequest, RegionLimit, RemoteLoad, RepeatBudget,
    RepeatPurpose, RunWeight, ServerDirectory, ServerEntry, ServerKey, ServerPhase, ServerRecord,
    StoreEra, ZoneKey,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Memory of one engine in tokens, as on the enlarged installations.
const MEMORY: u32 = 21_805;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7200))
}

fn digest(number: u16, sequence: u64, strength: u16) -> PeerDigest {
    PeerDigest {
        sender: address(number),
        boot: 1,
        sequence,
        strength,
        reaches_store: true,
        config_version: 3,
        servers_revision: 9,
        era: StoreEra::UNSTATED,
        evacuations: 0,
        peers: Vec::new(),
        granted: 0,
        loads: Vec::new(),
        fleet: None,
        zone: ZoneKey::UNKNOWN,
    }
}

/// Instances that exchange digests; none is lost between instances that are up.
struct TestFleet {
    tables: Vec<PeerTable>,
    sequence: u64,
    down: Vec<usize>,
    without_store: Vec<usize>,
}

impl TestFleet {
    fn new(count: u16) -> Self {
        let params = PeerTableParams::default();
        let seeds: Vec<SocketAddr> = (0..count.min(3)).map(address).collect();
        let tables = (0..count)
            .map(|number| PeerTable::new(params, address(number), 100, seeds.clone()))
            .collect();
        Self { tables, sequence: 0, down: Vec::new(), without_store: Vec::new() }
    }

    /// Simulates one digest interval. Returns the number of datagrams sent.
    fn step(&mut self, millis: u64) -> usize {
        self.sequence += 1;
        let mut sent = 0;
        for index in 0..self.tables.len() {
            if self.down.contains(&index) {
                continue;
            }
            let targets = self.tables[index].targets(at(millis), self.sequence);
            let mut message = digest(index as u16, self.sequence, 100);
            message.peers = self.tables[index].sample(at(millis), self.sequence);
            message.reaches_store = !self.without_store.contains(&index);
            for (target, _) in targets {
                sent += 1;
                let target = usize::from(u16::from_be_bytes(match target {
                    SocketAddr::V4(target) => [target.ip().octets()[2], target.ip().octets()[3]],
                    SocketAddr::V6(_) => unreachable!("the fleet uses IPv4"),
                }));
                if !self.down.contains(&target) {
                    self.tables[target].receive(at(millis), message.clone());
                }
            }
        }
        sent
    }

    fn hubs(&self, millis: u64) -> Vec<usize> {
        let live = (0..self.tables.len()).filter(|index| !self.down.contains(index));
        live.filter(|index| self.tables[*index].watches_store(at(millis))).collect()
    }

    fn coordinators(&self, millis: u64) -> Vec<SocketAddr> {
        let live = (0..self.tables.len()).filter(|index| !self.down.contains(index));
        let mut coordinators: Vec<SocketAddr> = live
            .map(|index| {
                self.tables[index].coordinator(at(millis)).unwrap_or(address(index as u16))
            })
            .collect();
        coordinators.sort();
        coordinators.dedup();
        coordinators
    }
}

/// Guards against a fleet in which all instances or none watch the store, and against instances
/// that disagree on the coordinator.
#[test]
fn fleet_agrees_on_its_hubs() {
    for count in [1, 2, 8, 88] {
        let mut fleet = TestFleet::new(count);
        let mut sent = 0;
        for step in 0..40 {
            sent = fleet.step(step * 250);
        }
        let hubs = fleet.hubs(39 * 250);
        assert_eq!(hubs.len(), usize::from(count).min(3), "{count} instances");
        assert_eq!(fleet.coordinators(39 * 250).len(), 1, "{count} instances");
        // Each of the 3 hubs sends to all others; every instance sends to the 3 hubs and 2 more.
        assert!(sent <= usize::from(count) * (3 + 3 + 2), "{count} instances: {sent} datagrams");
    }
}

/// Guards against digests whose number grows with the square of the fleet: a hub of 300 instances must
/// send no more datagrams a second than one of 100, and its failure must still be noticed.
#[test]
fn digests_of_a_large_fleet_are_bounded() {
    const SENDS_PER_SECOND: f64 = 420.0;
    for count in [100, 300] {
        let mut fleet = TestFleet::new(count);
        let mut millis = 0;
        let mut step = |fleet: &mut TestFleet, rounds| {
            for _ in 0..rounds {
                millis += fleet.tables[0].digest_interval().as_millis() as u64;
                fleet.step(millis);
            }
            millis
        };
        let now = step(&mut fleet, 60);
        let hubs = fleet.hubs(now);
        assert_eq!((hubs.len(), fleet.coordinators(now).len()), (3, 1), "{count} instances");
        let sequence = fleet.sequence + 1;
        let table = &mut fleet.tables[hubs[0]];
        assert_eq!(table.instance_count(), usize::from(count));
        let targets = table.targets(at(now), sequence).len();
        let rate = targets as f64 / table.digest_interval().as_secs_f64();
        assert!(rate <= SENDS_PER_SECOND, "{count} instances: {rate} datagrams a second");
        fleet.down = hubs;
        let later = step(&mut fleet, 6);
        assert!(fleet.hubs(later).len() >= 3, "{count} instances");
    }
}

/// Guards against changes of the store that no instance sees after the hubs have failed.
#[test]
fn other_instances_replace_failed_hubs() {
    let mut fleet = TestFleet::new(20);
    (0..40).for_each(|step| {
        fleet.step(step * 250);
    });
    fleet.down = fleet.hubs(39 * 250);
    // Peers count as silent after 1.1 s, which is before a configuration has to be in force.
    (40..46).for_each(|step| {
        fleet.step(step * 250);
    });
    assert!(fleet.hubs(45 * 250).len() >= 3);
    (46..60).for_each(|step| {
        fleet.step(step * 250);
    });
    assert_eq!(fleet.hubs(59 * 250).len(), 3);
    assert_eq!(fleet.coordinators(59 * 250).len(), 1);
}

/// Guards against a fleet that gets no changes because the store refuses the hubs' calls while the
/// other instances rely on them.
#[test]
fn other_instances_replace_hubs_that_do_not_reach_the_store() {
    let mut fleet = TestFleet::new(20);
    (0..40).for_each(|step| {
        fleet.step(step * 250);
    });
    fleet.without_store = fleet.hubs(39 * 250);
    fleet.step(40 * 250);
    fleet.step(41 * 250);
    let watching = fleet.hubs(41 * 250);
    let reaching = watching.iter().filter(|hub| !fleet.without_store.contains(hub)).count();
    assert!(reaching >= 3, "{watching:?}");
    let levels: Vec<u32> =
        watching.iter().map(|hub| fleet.tables[*hub].standby_level(at(41 * 250))).collect();
    // The next group of three replaces them first.
    assert!(levels.iter().filter(|level| **level == 1).count() >= 3, "{levels:?}");
}

/// Guards against weak machines as hubs, because hubs send to all others.
#[test]
fn stronger_machines_rank_first() {
    let mut table = PeerTable::new(PeerTableParams::default(), address(0), 10, Vec::new());
    for number in 1..=3 {
        table.receive(at(0), digest(number, 1, 200));
    }
    assert!(!table.watches_store(at(0)));
    let mut strong = PeerTable::new(PeerTableParams::default(), address(0), 400, Vec::new());
    for number in 1..=3 {
        strong.receive(at(0), digest(number, 1, 200));
    }
    assert!(strong.watches_store(at(0)) && strong.coordinator(at(0)).is_none());
}

/// Guards against grants that stop counting before the peer's load reports include them, that count
/// twice afterwards, or that count for ever if the peer never reports them.
#[test]
fn grants_count_until_they_are_reported() {
    let params = PeerTableParams::default();
    let mut table = PeerTable::new(params, address(0), 100, Vec::new());
    table.receive(at(0), digest(1, 1, 100));
    let weight = RunWeight { prompt: 3_000, output: 400 };
    let grant = table.grant(at(0), address(1), 77, weight, 3_000);
    let load = table.remote_load(at(0), 77);
    assert_eq!((load.requests, load.tokens, load.growth), (1.0, 3_000.0, 400.0));
    // This digest was sent before the grant arrived at the peer.
    table.receive(at(100), digest(1, 2, 100));
    assert_eq!(table.remote_load(at(100), 77).requests, 1.0);
    let mut reported = digest(1, 3, 100);
    reported.granted = grant;
    reported.loads = vec![LoadReport {
        server: 77,
        requests: 1,
        tokens: 3_000,
        waiting_tokens: 3_000,
        growth: 400,
        speed: None,
    }];
    table.receive(at(350), reported);
    assert_eq!(table.remote_load(at(350), 77).requests, 1.0);
    table.grant(at(400), address(1), 77, weight, 0);
    table.receive(at(1_600), digest(1, 4, 100));
    assert_eq!(table.remote_load(at(1_600), 77), RemoteLoad::default());
}

/// Guards against applying digests that arrive late or twice.
#[test]
fn older_digests_are_dropped() {
    let mut table = PeerTable::new(PeerTableParams::default(), address(0), 100, Vec::new());
    assert!(table.receive(at(0), digest(1, 5, 100)));
    assert!(!table.receive(at(1), digest(1, 5, 100)));
    assert!(!table.receive(at(1), digest(1, 4, 100)));
    let mut restarted = digest(1, 1, 100);
    restarted.boot = 2;
    assert!(table.receive(at(2), restarted));
    assert!(!table.receive(at(3), digest(0, 9, 100)), "own digests are dropped");
}

fn engines(count: usize) -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    for index in 0..count {
        directory.apply(
            at(0),
            DirectoryChange::Written(ServerEntry {
                id: Arc::from(format!("e{index}")),
                service: Arc::from("llm"),
                address: SocketAddr::from(([10, 2, 0, index as u8], 8000)),
                zone: Arc::from(["z0", "z1", "z2"][index % 3]),
                slots: 24,
                phase: ServerPhase::Ready,
                born_millis: 1,
            }),
        );
    }
    directory
}

fn request(prompt: u32, due: Option<Duration>) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "llm",
        memory_tokens: Some(MEMORY),
        weight: RunWeight { prompt, output: 400 },
        excluded: &[],
        regions: &RegionLimit::Any,
        zone: "z0",
        due,
        is_urgent: false,
        drain_limit: Duration::ZERO,
        reserve: None,
        latency: LatencyClass::Uniform,
    }
}

fn no_remote_load(_: &ServerRecord) -> RemoteLoad {
    RemoteLoad::default()
}

/// Guards against an engine whose memory overflows while another has room, when arriving runs fill
/// the fleet.
#[test]
fn placement_fills_engines_evenly() {
    let mut directory = engines(12);
    let policy = PlacementPolicy::default();
    let mut random = SmallRng::seed_from_u64(5);
    let mut placed = 0;
    loop {
        let prompt = random.random_range(2_000..4_000);
        let demand = request(prompt, Some(Duration::from_secs(30)));
        let choice = policy
            .choose(at(0), &directory, &demand, no_remote_load, || random.random())
            .expect("an engine");
        if choice.servers_with_room == 0 {
            break;
        }
        let key = choice.key;
        directory.begin_request(key, u64::from(prompt));
        directory.adjust_growth(key, 400, 0);
        placed += 1;
    }
    let loads: Vec<u64> = directory.iter().map(|(_, record)| record.open_tokens).collect();
    assert!(loads.iter().all(|tokens| *tokens <= u64::from(MEMORY)), "{loads:?}");
    assert!(placed >= 12 * 5, "{placed} runs");
}

/// Guards against runs placed on an engine where their answer cannot begin in time, and against
/// late runs that occupy room which runs that can be in time need.
#[test]
fn room_follows_the_due_time() {
    let mut directory = engines(1);
    let policy = PlacementPolicy::default();
    let (key, _) = directory.candidates("llm").next().expect("an engine");
    let has_room = |directory: &ServerDirectory, due| {
        let chosen = policy.choose(at(0), directory, &request(3_000, due), no_remote_load, || 0.0);
        chosen.expect("an engine").servers_with_room > 0
    };
    let (soon, later) = (Some(Duration::from_millis(500)), Some(Duration::from_millis(1_500)));
    assert!(has_room(&directory, soon) && has_room(&directory, None));
    directory.begin_request(key, 6_000);
    directory.adjust_waiting(key, 6_000, 0);
    assert!(!has_room(&directory, soon) && has_room(&directory, later));
    assert!(!has_room(&directory, None), "a late run waits for runs that can be in time");
    directory.adjust_waiting(key, 0, 6_000);
    directory.begin_request(key, 9_600);
    assert!(has_room(&directory, later) && !has_room(&directory, None));
    directory.begin_request(key, 3_000);
    assert!(!has_room(&directory, later));
}

/// Guards against moves that overload the link or the memory of one engine, when an engine with ten
/// runs is leaving and all instances choose destinations at once from the same load reports.
#[test]
fn moves_spread_over_the_fleet() {
    let policy = PlacementPolicy::default();
    let mut random = SmallRng::seed_from_u64(9);
    let mut same_zone = 0;
    for _ in 0..100 {
        let mut directory = engines(12);
        let keys: Vec<ServerKey> = directory.iter().map(|(key, _)| key).collect();
        for key in &keys {
            directory.begin_request(*key, 10_000);
        }
        let source = keys[0];
        let excluded = [source];
        let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
        for _ in 0..10 {
            let demand = PlacementRequest { excluded: &excluded, ..request(3_000, None) };
            let chosen = policy
                .choose_destination(at(0), &directory, &demand, no_remote_load, || random.random())
                .expect("a destination");
            *counts.entry(chosen).or_default() += 1;
            let zone = directory.get(chosen).map(|record| record.entry.zone.to_string());
            same_zone += usize::from(zone.as_deref() == Some("z0"));
        }
        assert!(counts.values().all(|count| *count <= 7), "{counts:?}");
    }
    // 3 of the 11 destinations are in the same zone; they are preferred, but do not get all runs.
    assert!((450..800).contains(&same_zone), "{same_zone} of 1,000 moves stay in the zone");
}

/// Guards against a move to an engine without memory for the run, which would preempt other runs.
#[test]
fn full_engines_are_no_destinations() {
    let mut directory = engines(2);
    let policy = PlacementPolicy::default();
    let keys: Vec<ServerKey> = directory.iter().map(|(key, _)| key).collect();
    directory.begin_request(keys[1], 20_000);
    let demand = PlacementRequest { excluded: &keys[..1], ..request(3_000, None) };
    assert_eq!(policy.choose_destination(at(0), &directory, &demand, no_remote_load, || 0.5), None);
}

/// Checks the platform's rule: summed over all instances, the repeats in any window are at most
/// `ratio` times the requests of that window or the one before, plus `slack`.
fn repeats_stay_in_budget(seed: u64) -> bool {
    const INSTANCES: usize = 8;
    let params = BudgetParams { ratio: 0.2, window: Duration::from_secs(10), slack: 56.0 };
    let mut random = SmallRng::seed_from_u64(seed);
    let mut budgets: Vec<RepeatBudget> = (0..INSTANCES).map(|_| RepeatBudget::default()).collect();
    let mut move_budget = RepeatBudget::default();
    let (mut requests, mut repeats) = (Vec::new(), Vec::new());
    let rate = random.random_range(1..20);
    let is_engine = random.random();
    for millis in (0..40_000).step_by(10) {
        let index = random.random_range(0..INSTANCES);
        if random.random_range(0..20) < rate {
            budgets[index].record_request(at(millis), &params);
            move_budget.record_request(at(millis), &params);
            requests.push(millis);
        }
        let purpose = if is_engine { RepeatPurpose::Restart } else { RepeatPurpose::Retry };
        if budgets[index].try_repeat(at(millis), &params, purpose, INSTANCES) {
            repeats.push(millis);
        }
        let purpose = RepeatPurpose::Move;
        if is_engine && move_budget.try_repeat(at(millis), &params, purpose, 1) {
            repeats.push(millis);
        }
    }
    let count = |times: &[u64], from: u64, to: u64| {
        times.iter().filter(|time| (from..to).contains(*time)).count() as f64
    };
    (0..30_000u64).step_by(500).all(|start| {
        let end = start + 10_000;
        let most_requests = [0, 5_000, 10_000]
            .map(|back| count(&requests, start.saturating_sub(back), end - back))
            .into_iter()
            .fold(0.0, f64::max);
        count(&repeats, start, end) <= params.ratio * most_requests + params.slack
    })
}

#[test]
fn repeats_of_all_instances_stay_in_budget() {
    random_runs::check("repeats", &[1, 2, 3], 20, 10, repeats_stay_in_budget as fn(u64) -> bool);
}
