//! Tests of the comparison of plain servers by speed, and of the budget for hedged requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    BudgetParams, DirectoryChange, LatencyClass, PlacementPolicy, PlacementRequest, RegionLimit,
    RemoteLoad, RepeatBudget, RepeatPurpose, RunWeight, SampleSource, ServerDirectory, ServerEntry,
    ServerKey, ServerPhase, SpeedRatios, SpeedSums, SpeedTable, SpeedTarget, StreamSample,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Plain servers of deployment B.
const SERVERS: usize = 6;
/// Answer time of a common server relative to the objective of its route: 60 ms of 300 ms.
const COMMON_RATIO: f64 = 0.2;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

struct PlainFleet {
    directory: ServerDirectory,
    table: SpeedTable,
    keys: Vec<ServerKey>,
}

impl PlainFleet {
    fn new() -> Self {
        let mut directory = ServerDirectory::default();
        for index in 0..SERVERS {
            let entry = ServerEntry {
                id: Arc::from(format!("p{index}")),
                service: Arc::from("orders"),
                address: SocketAddr::from(([10, 3, 0, index as u8], 8000)),
                zone: Arc::from("z0"),
                slots: 6,
                phase: ServerPhase::Ready,
                born_millis: 1,
            };
            directory.apply(at(0), DirectoryChange::Written(entry));
        }
        let keys = directory.iter().map(|(key, _)| key).collect();
        Self { directory, table: SpeedTable::default(), keys }
    }

    fn answer(&mut self, millis: u64, index: usize, slowness: f64) {
        let mut first = SpeedSums::default();
        first.add(COMMON_RATIO * slowness, 2);
        let sample = StreamSample { first, ..StreamSample::default() };
        self.table.record(at(millis), self.keys[index], SampleSource::PlainServer, sample);
    }

    /// Answers four requests a second at each server until `end`; the last server is `slowness` times
    /// as slow.
    fn answer_until(&mut self, start: u64, end: u64, slowness: f64) {
        for millis in (start..end).step_by(250) {
            for index in 0..SERVERS {
                let is_last = index == SERVERS - 1;
                self.answer(millis, index, if is_last { slowness } else { 1.0 });
            }
            self.refresh(millis);
        }
    }

    fn refresh(&mut self, millis: u64) {
        let target = SpeedTarget { is_engine: false, gap_objective: None };
        self.table.refresh(at(millis), &self.directory, |_| Some(target));
        let table = &self.table;
        self.directory.set_speeds(|key, service| table.ratios(key, service));
    }

    fn last_ratio(&self) -> f64 {
        self.table.ratios(self.keys[SERVERS - 1], "orders").first
    }

    /// Chooses a server `count` times without load and returns how often each was chosen.
    fn choose(&self, count: usize) -> Vec<usize> {
        let policy = PlacementPolicy::default();
        let mut random = SmallRng::seed_from_u64(8);
        let request = PlacementRequest {
            service: "orders",
            memory_tokens: None,
            weight: RunWeight::default(),
            excluded: &[],
            zone: "z0",
            due: None,
            is_urgent: false,
            drain_limit: Duration::ZERO,
            reserve: None,
            latency: LatencyClass::Uniform,
            regions: &RegionLimit::Any,
        };
        let mut counts = vec![0; SERVERS];
        for _ in 0..count {
            let load = |_: &_| RemoteLoad::default();
            let choice = policy
                .choose(at(0), &self.directory, &request, load, || random.random())
                .expect("a server");
            let index = self.keys.iter().position(|key| *key == choice.key).expect("a key");
            counts[index] += 1;
        }
        counts
    }
}

/// Guards against a server in a slow period that is noticed only after the period, and against one that
/// counts as slow long after it.
#[test]
fn slow_period_is_noticed_and_forgotten() {
    let mut fleet = PlainFleet::new();
    fleet.answer_until(0, 10_000, 1.0);
    assert_eq!(fleet.last_ratio(), 1.0);
    fleet.answer_until(10_000, 11_000, 10.0);
    assert!(fleet.last_ratio() > 1.6, "{}", fleet.last_ratio());
    fleet.answer_until(11_000, 13_000, 10.0);
    assert!(fleet.last_ratio() > 4.0, "{}", fleet.last_ratio());
    fleet.answer_until(13_000, 18_000, 1.0);
    assert_eq!(fleet.last_ratio(), 1.0);
}

/// Guards against a slow server that is never tried again because it gets no requests.
#[test]
fn unused_server_is_tried_again() {
    let mut fleet = PlainFleet::new();
    fleet.answer_until(0, 3_000, 10.0);
    assert_eq!(fleet.choose(600)[SERVERS - 1], 0);
    fleet.refresh(10_000);
    assert!(fleet.choose(600)[SERVERS - 1] > 50);
}

/// Guards against a server in a slow period that still gets requests while the next best one is fast,
/// and against all requests on one fast server.
#[test]
fn the_sooner_of_two_is_chosen() {
    let mut fleet = PlainFleet::new();
    fleet.answer_until(0, 3_000, 10.0);
    let counts = fleet.choose(600);
    assert_eq!(counts[SERVERS - 1], 0);
    assert!(counts[..SERVERS - 1].iter().all(|count| (60..240).contains(count)), "{counts:?}");
    let fast = SpeedRatios { first: 0.3, ..SpeedRatios::default() };
    let key = fleet.keys[0];
    fleet.directory.set_speeds(|it, _| if it == key { fast } else { SpeedRatios::default() });
    // The fast one is among two of six in a third of all choices.
    let counts = fleet.choose(600);
    assert!((150..260).contains(&counts[0]), "{counts:?}");
}

/// Guards against other choices than before while all servers are alike.
#[test]
fn alike_servers_are_chosen_as_before() {
    let mut fleet = PlainFleet::new();
    let before = fleet.choose(600);
    let mut random = SmallRng::seed_from_u64(2);
    for millis in (0..5_000).step_by(100) {
        for index in 0..SERVERS {
            fleet.answer(millis, index, random.random_range(0.8..1.3));
        }
        fleet.refresh(millis);
    }
    assert_eq!(fleet.choose(600), before);
}

/// Guards against a usual time that follows a slow period, so that late requests are not noticed, and
/// against one that a single answer decides.
#[test]
fn usual_time_outlasts_a_slow_period() {
    let mut fleet = PlainFleet::new();
    fleet.answer(0, SERVERS - 1, 1.0);
    let usual = |fleet: &PlainFleet, millis| {
        fleet.table.usual_first(at(millis), fleet.keys[SERVERS - 1], &fleet.keys)
    };
    assert_eq!(usual(&fleet, 0), None);
    fleet.answer_until(250, 20_000, 1.0);
    fleet.answer_until(20_000, 23_000, 8.0);
    let during = usual(&fleet, 23_000).expect("a usual time");
    assert!(during < 1.7 * COMMON_RATIO, "{during}");
    fleet.refresh(40_000);
    assert!(usual(&fleet, 40_000).is_some(), "forgotten while the server is not used");
    fleet.refresh(100_000);
    assert_eq!(usual(&fleet, 100_000), None);
}

/// Guards against hedged requests beyond the budget, and against those that use up the part of it
/// without which failed requests cannot be sent again. `hedges` are tried for 100 requests.
fn hedges_leave_budget_for_retries((hedges, expected, retries): (usize, usize, usize)) {
    let params = BudgetParams::default();
    let mut budget = RepeatBudget::default();
    (0..100).for_each(|_| budget.record_request(at(0), &params));
    let mut count = |purpose, tries| {
        (0..tries).filter(|_| budget.try_repeat(at(10), &params, purpose, 1)).count()
    };
    assert_eq!(count(RepeatPurpose::Hedge, hedges), expected);
    assert_eq!(count(RepeatPurpose::Retry, 100), retries);
}

cases! { hedges_leave_budget_for_retries;
    no_hedge => (0, 0, 17),
    few_hedges => (5, 5, 12),
    all_requests_late => (100, 12, 5),
}
