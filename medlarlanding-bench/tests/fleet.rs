//! Guards the limits of membership and configuration distribution in a simulated fleet, and
//! shows that each check fails for a weakened variant.
//!
//! `MEDLARLANDING_TEST_FACTOR` multiplies the number of rounds with random faults.

use std::collections::HashSet;
use std::time::Duration;

use medlarlanding_bench::fleet_trials::{
    CALL_LIMIT, FleetSim, MeasureOptions, NodeParams, SECOND, StressOptions, measure, stress, text,
};
use medlarlanding_core::cases;
use medlarlanding_core::distribution::{Subject, VersionRule};
use medlarlanding_core::ids::ServerId;
use medlarlanding_core::membership::MembershipParams;

use quickcheck::{Gen, QuickCheck};

const SEED: u64 = 20_261_204;

fn check_limits(size: usize) {
    let options = MeasureOptions {
        size,
        seed: 1,
        text_bytes: 4096,
        steady_s: 10,
        bad_link_s: 30,
        ..MeasureOptions::default()
    };
    let m = measure(&options);
    println!("size {size} seed 1: {m:?}");
    assert!(m.violations.is_empty(), "{:#?}", m.violations);
    for (name, value, limit) in [
        ("change", m.change_s, 4.0),
        ("change with loss", m.change_loss_s, 4.0),
        ("change with the platform down", m.change_down_s, 4.0),
        ("change with a paused watcher", m.change_paused_s, 4.0),
        ("resumed watcher", m.resumed_s, 4.0),
        ("leaving mark", m.mark_s, 5.0),
        ("leaving mark with loss", m.mark_loss_s, 5.0),
    ] {
        assert!(value.is_some_and(|value| value <= limit), "{name}: {value:?} > {limit}");
    }
    assert_eq!((m.false_bad_link, m.false_one_way, m.false_loss), (0, 0, 0));
    assert!(m.sent_max + m.received_max <= 12_000.0 && m.loss_max <= 12_000.0, "{m:?}");
    assert!(m.calls_steady <= CALL_LIMIT && m.calls_outage <= CALL_LIMIT, "{m:?}");
}

cases! { check_limits;
    /// Guards the limits in a deployment of today.
    limits_hold_with_8_instances => 8,
    /// Guards the limits at a size at which updates take several hops.
    limits_hold_with_30_instances => 30,
}

/// Starts a fleet and lets it settle.
fn fleet(size: usize, seed: u64, params: NodeParams) -> FleetSim {
    println!("size {size} seed {seed}");
    let mut sim = FleetSim::new(size, params, seed, text(512, 1));
    for node in 0..size {
        sim.start(node, 0);
    }
    run(&mut sim, 10);
    sim
}

fn run(sim: &mut FleetSim, seconds: u64) {
    sim.run_until(sim.now + seconds * SECOND);
}

fn with_membership(change: impl FnOnce(&mut MembershipParams)) -> NodeParams {
    let mut params = NodeParams::default();
    change(&mut params.membership);
    params
}

fn false_evictions(sim: &FleetSim) -> usize {
    sim.log.evictions.iter().filter(|&&(_, _, _, running)| running).count()
}

fn evictions_with_a_bad_link(params: NodeParams) -> usize {
    let mut sim = fleet(8, 1, params);
    sim.block(0, 7);
    sim.block(7, 0);
    run(&mut sim, 30);
    false_evictions(&sim)
}

/// Guards against evictions by a single bad link; suspicion is switched off, so that only the
/// indirect probes prevent them.
#[test]
fn indirect_probes_alone_tolerate_a_bad_link() {
    let immediate = |params: &mut MembershipParams| params.suspicion_base = Duration::ZERO;
    assert_eq!(evictions_with_a_bad_link(with_membership(immediate)), 0);
    let weakened = with_membership(|params| {
        immediate(params);
        params.indirect_peers = 0;
    });
    assert!(evictions_with_a_bad_link(weakened) > 0);
}

/// Guards against instances that run but stay out of reach because the list lags: they announce
/// their addresses themselves, and full states repair lost announcements.
#[test]
fn instances_outside_the_list_are_found() {
    let mut sim = FleetSim::new(20, NodeParams::default(), 1, text(512, 1));
    sim.name_only(3);
    sim.set_faults(0.3, 0.0, 0.0);
    for node in 0..sim.len() {
        sim.start(node, 0);
    }
    run(&mut sim, 10);
    sim.set_faults(0.0, 0.0, 0.0);
    let found = sim.run_while(sim.now + 20 * SECOND, FleetSim::views_agree);
    assert!(found.is_some());
}

fn evictions_with_loss(params: NodeParams) -> usize {
    let mut sim = fleet(20, 1, params);
    sim.set_faults(0.2, 0.0, 0.0);
    run(&mut sim, 30);
    false_evictions(&sim)
}

/// Guards against evictions by loss: a suspected instance gets the time to refute.
#[test]
fn suspicion_tolerates_loss() {
    assert_eq!(evictions_with_loss(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_with_loss(weakened) > 0);
}

fn evictions_after_an_outage(params: NodeParams) -> usize {
    let mut sim = fleet(20, 1, params);
    sim.set_faults(1.0, 0.0, 0.0);
    run(&mut sim, 2);
    sim.set_faults(0.0, 0.0, 0.0);
    run(&mut sim, 15);
    false_evictions(&sim)
}

/// Guards against evictions by a switch that drops everything for 2 s.
#[test]
fn a_short_outage_of_the_network_evicts_nobody() {
    assert_eq!(evictions_after_an_outage(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_after_an_outage(weakened) > 0);
}

/// Returns the evictions of other instances than node 0, seen by others, while node 0 sends but
/// receives nothing.
fn evictions_by_a_one_way_instance(params: NodeParams) -> usize {
    let mut sim = fleet(20, 1, params);
    for node in 1..sim.len() {
        sim.block(node, 0);
    }
    run(&mut sim, 60);
    let evictions = sim.log.evictions.iter();
    evictions.filter(|&&(_, observer, evicted, _)| observer != 0 && evicted != 0).count()
}

/// Guards against an instance that receives nothing and spreads suspicions of everybody else.
#[test]
fn an_instance_that_receives_nothing_evicts_nobody_else() {
    assert_eq!(evictions_by_a_one_way_instance(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_by_a_one_way_instance(weakened) > 0);
}

/// Returns the time until a leaving mark is known everywhere, up to 60 s.
fn mark_time(params: NodeParams) -> f64 {
    let mut sim = fleet(20, 1, params);
    let (server, start) = (ServerId::from_name("engine-1"), sim.now);
    sim.mark_leaving(0, server, true);
    let end = sim.run_while(start + 60 * SECOND, |sim| {
        sim.log.marks.get(&server).is_some_and(|known| known.len() == sim.len())
    });
    end.map_or(60.0, |end| (end - start) as f64 / SECOND as f64)
}

/// Guards the limit of 5 s after which a leaving server receives no new work.
#[test]
fn repeated_updates_spread_leaving_marks() {
    assert!(mark_time(NodeParams::default()) <= 5.0);
    // Each update is sent once, and differences are not repaired.
    let weakened = with_membership(|params| {
        params.retransmit_factor = 0;
        params.sync_delay = Duration::from_secs(3600);
    });
    assert!(mark_time(weakened) > 5.0);
}

/// Returns the time until a change that one watcher read is in effect everywhere, up to 60 s.
fn change_time_with_the_platform_down(params: NodeParams) -> f64 {
    let mut sim = fleet(20, 1, params);
    let all: HashSet<_> = (0..sim.len()).collect();
    let reader = all.into_iter().find(|&node| {
        sim.node(node).is_some_and(|process| process.distributor.dump(Default::default()).ranked)
    });
    let reader = reader.expect("a fleet has watchers");
    sim.limit_platform(Some(HashSet::from([reader])));
    run(&mut sim, 1);
    sim.publish(2, text(512, 2));
    let read = sim.run_while(sim.now + 10 * SECOND, |sim| sim.platform.readers.contains(&reader));
    let start = read.expect("the watcher reads the change");
    sim.set_platform_down(true);
    let end = sim.run_while(start + 60 * SECOND, |sim| sim.all_hold(Subject::Config, 2));
    end.map_or(60.0, |end| (end - start) as f64 / SECOND as f64)
}

/// Guards the limit of 4 s after which a change is in effect everywhere.
#[test]
fn announcements_spread_a_change_without_the_platform() {
    assert!(change_time_with_the_platform_down(NodeParams::default()) <= 4.0);
    // Without announcements and confirmations only the versions on probes are left.
    let mut weakened = with_membership(|params| params.probe_interval = Duration::from_secs(10));
    weakened.distribution.announce_fanout = 0;
    weakened.distribution.heartbeat_fanout = 0;
    assert!(change_time_with_the_platform_down(weakened) > 4.0);
}

fn busiest_second_of_an_outage(params: NodeParams) -> u64 {
    let mut sim = fleet(20, 1, params);
    sim.set_platform_down(true);
    run(&mut sim, 4);
    let load = sim.platform.load.values();
    load.map(|load| load.started + load.pending).max().unwrap_or(0)
}

/// Guards the limit of calls on the platform while it is down.
#[test]
fn backoff_limits_calls_during_an_outage() {
    assert!(busiest_second_of_an_outage(NodeParams::default()) < CALL_LIMIT / 10);
    let mut weakened = NodeParams::default();
    weakened.distribution.call_interval = Duration::from_millis(1);
    weakened.distribution.other_backoff = Duration::from_millis(1);
    weakened.distribution.watcher_backoff = Duration::from_millis(1);
    assert!(busiest_second_of_an_outage(weakened) > CALL_LIMIT);
}

/// Checks that one of 20 rounds with random faults violates the invariant named by `what`.
fn check_weakened((what, params): (&str, NodeParams)) {
    let found = (1..=20).find_map(|seed| {
        let options = StressOptions { seed, node: params.clone(), ..StressOptions::default() };
        let violations = stress(&options).violations;
        let text = violations.into_iter().find(|text| text.contains(what))?;
        Some((seed, text))
    });
    println!("{found:?}");
    assert!(found.is_some(), "no round violated `{what}`");
}

fn weakened(change: impl FnOnce(&mut NodeParams)) -> NodeParams {
    let mut params = NodeParams::default();
    change(&mut params);
    params
}

cases! { check_weakened;
    /// Shows that random faults find a reversal if lower versions are accepted.
    accepting_lower_versions_reverts => (
        "went from config",
        weakened(|params| params.distribution.version_rule = VersionRule::Latest),
    ),
    /// Shows that random faults find a restart with an old version if peers are not asked.
    not_asking_peers_restarts_with_old_versions => (
        "restarted from",
        weakened(|params| {
            params.distribution.query_peers = 0;
            params.distribution.query_timeout = Duration::ZERO;
        }),
    ),
    /// Shows that random faults find a list that looks fresh if unasked ages are believed.
    believing_unasked_ages_makes_old_lists_look_fresh => (
        "as confirmed at",
        weakened(|params| params.trust_unasked_ages = true),
    ),
}

/// Guards every invariant under random faults: restarts with wrong wall clocks, pauses, network
/// partitions, one-way links, loss, reordering, and a platform that is down or goes back.
#[test]
fn invariants_hold_under_random_faults() {
    fn property(seed: u16) -> bool {
        let options = StressOptions { seed: seed.into(), ..StressOptions::default() };
        let report = stress(&options);
        if !report.violations.is_empty() {
            println!("seed {seed}: {report:#?}");
        }
        report.violations.is_empty()
    }
    let factor = std::env::var("MEDLARLANDING_TEST_FACTOR").ok();
    let rounds = 25 * factor.and_then(|factor| factor.parse::<u64>().ok()).unwrap_or(1);
    println!("seed {SEED}, {rounds} rounds");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(usize::from(u16::MAX), SEED))
        .tests(rounds)
        .quickcheck(property as fn(u16) -> bool);
}
