//! Limits of membership and configuration distribution in a simulated fleet. Weakened variants must
//! exceed them, which shows that the checks can fail.
//!
//! `MEDLARLANDING_TEST_FACTOR` multiplies the number of rounds with random faults.

use std::collections::HashSet;
use std::time::Duration;

use medlarlanding_bench::fleet_trials::{
    CALL_LIMIT, FleetSim, MeasureOptions, NodeParams, SECOND, StressOptions, config_text, measure,
    stress,
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
    let measurement = measure(&options);
    println!("size {size} seed 1: {measurement:?}");
    assert!(measurement.violations.is_empty(), "{:#?}", measurement.violations);
    for (name, value, limit) in [
        ("change", measurement.change_s, 4.0),
        ("change with loss", measurement.change_loss_s, 4.0),
        ("change with the platform down", measurement.change_down_s, 4.0),
        ("change with a paused watcher", measurement.change_paused_s, 4.0),
        ("resumed watcher", measurement.resumed_s, 4.0),
        ("leaving mark", measurement.mark_s, 5.0),
        ("leaving mark with loss", measurement.mark_loss_s, 5.0),
    ] {
        assert!(value.is_some_and(|value| value <= limit), "{name}: {value:?} > {limit}");
    }
    assert_eq!(
        (measurement.false_bad_link, measurement.false_one_way, measurement.false_loss),
        (0, 0, 0)
    );
    assert!(
        measurement.sent_max + measurement.received_max <= 12_000.0
            && measurement.loss_max <= 12_000.0,
        "{measurement:?}"
    );
    assert!(
        measurement.calls_steady <= CALL_LIMIT && measurement.calls_outage <= CALL_LIMIT,
        "{measurement:?}"
    );
}

cases! { check_limits;
    /// Guards the limits at the size of today's deployments.
    limits_hold_with_8_instances => 8,
    /// Guards the limits at a size at which updates need several hops.
    limits_hold_with_30_instances => 30,
}

/// Starts a fleet and runs it for 10 s.
fn start_fleet(size: usize, seed: u64, params: NodeParams) -> FleetSim {
    println!("size {size} seed {seed}");
    let mut sim = FleetSim::new(size, params, seed, config_text(512, 1));
    for node in 0..size {
        sim.start(node, 0);
    }
    run_for(&mut sim, 10);
    sim
}

fn run_for(sim: &mut FleetSim, seconds: u64) {
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

fn evictions_with_a_blocked_link(params: NodeParams) -> usize {
    let mut sim = start_fleet(8, 1, params);
    sim.block(0, 7);
    sim.block(7, 0);
    run_for(&mut sim, 30);
    false_evictions(&sim)
}

/// Guards against evictions because of a single blocked link. Without a suspicion timeout, only
/// the indirect probes prevent them.
#[test]
fn indirect_probes_alone_tolerate_a_blocked_link() {
    let immediate = |params: &mut MembershipParams| params.suspicion_base = Duration::ZERO;
    assert_eq!(evictions_with_a_blocked_link(with_membership(immediate)), 0);
    let weakened = with_membership(|params| {
        immediate(params);
        params.indirect_peers = 0;
    });
    assert!(evictions_with_a_blocked_link(weakened) > 0);
}

/// Guards against running instances that others never contact because the list does not contain
/// them yet: they announce their addresses themselves, and exchanges of full states make up for
/// lost announcements.
#[test]
fn instances_outside_the_list_are_found() {
    let mut sim = FleetSim::new(20, NodeParams::default(), 1, config_text(512, 1));
    sim.limit_listed(3);
    sim.set_faults(0.3, 0.0, 0.0);
    for node in 0..sim.len() {
        sim.start(node, 0);
    }
    run_for(&mut sim, 10);
    sim.set_faults(0.0, 0.0, 0.0);
    let found = sim.wait_until(sim.now + 20 * SECOND, FleetSim::views_agree);
    assert!(found.is_some());
}

fn evictions_with_loss(params: NodeParams) -> usize {
    let mut sim = start_fleet(20, 1, params);
    sim.set_faults(0.2, 0.0, 0.0);
    run_for(&mut sim, 30);
    false_evictions(&sim)
}

/// Guards against evictions because of datagram loss: the suspicion timeout leaves a suspected
/// instance the time to refute.
#[test]
fn suspicion_tolerates_loss() {
    assert_eq!(evictions_with_loss(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_with_loss(weakened) > 0);
}

fn evictions_after_an_outage(params: NodeParams) -> usize {
    let mut sim = start_fleet(20, 1, params);
    sim.set_faults(1.0, 0.0, 0.0);
    run_for(&mut sim, 2);
    sim.set_faults(0.0, 0.0, 0.0);
    run_for(&mut sim, 15);
    false_evictions(&sim)
}

/// Guards against evictions because of a network switch that drops everything for 2 s.
#[test]
fn a_short_outage_of_the_network_evicts_nobody() {
    assert_eq!(evictions_after_an_outage(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_after_an_outage(weakened) > 0);
}

/// Returns the number of evictions of other instances than node 0 at other instances than node 0,
/// while node 0 sends but receives nothing.
fn evictions_by_an_instance_that_only_sends(params: NodeParams) -> usize {
    let mut sim = start_fleet(20, 1, params);
    for node in 1..sim.len() {
        sim.block(node, 0);
    }
    run_for(&mut sim, 60);
    let evictions = sim.log.evictions.iter();
    evictions.filter(|&&(_, observer, evicted, _)| observer != 0 && evicted != 0).count()
}

/// Guards against evictions because of an instance that receives nothing and therefore sends
/// suspicions of all others.
#[test]
fn an_instance_that_receives_nothing_evicts_nobody_else() {
    assert_eq!(evictions_by_an_instance_that_only_sends(NodeParams::default()), 0);
    let weakened = with_membership(|params| params.suspicion_base = Duration::ZERO);
    assert!(evictions_by_an_instance_that_only_sends(weakened) > 0);
}

/// Returns the time until a leaving mark is known everywhere, at most 60 s.
fn mark_time(params: NodeParams) -> f64 {
    let mut sim = start_fleet(20, 1, params);
    let (server, start) = (ServerId::from_name("engine-1"), sim.now);
    sim.mark_server(0, server, true);
    let end = sim.wait_until(start + 60 * SECOND, |sim| {
        sim.log.marks.get(&server).is_some_and(|known| known.len() == sim.len())
    });
    end.map_or(60.0, |end| (end - start) as f64 / SECOND as f64)
}

/// Guards the limit of 5 s after which a leaving server receives no new work.
#[test]
fn repeated_updates_spread_leaving_marks() {
    assert!(mark_time(NodeParams::default()) <= 5.0);
    // Each update is sent only once, and full states are not exchanged during the test.
    let weakened = with_membership(|params| {
        params.retransmit_factor = 0;
        params.sync_delay = Duration::from_secs(3600);
    });
    assert!(mark_time(weakened) > 5.0);
}

/// Returns the time until a configuration that a single watcher could read is in effect everywhere,
/// at most 60 s. The platform is down from the read on.
fn change_time_with_the_platform_down(params: NodeParams) -> f64 {
    let mut sim = start_fleet(20, 1, params);
    let all: HashSet<_> = (0..sim.len()).collect();
    let reader = all.into_iter().find(|&node| {
        sim.process(node).is_some_and(|process| process.distributor.dump(Default::default()).ranked)
    });
    let reader = reader.expect("a fleet has watchers");
    sim.limit_platform(Some(HashSet::from([reader])));
    run_for(&mut sim, 1);
    sim.publish(2, config_text(512, 2));
    let read = sim.wait_until(sim.now + 10 * SECOND, |sim| sim.platform.readers.contains(&reader));
    let start = read.expect("the watcher reads the change");
    sim.set_platform_down(true);
    let end = sim.wait_until(start + 60 * SECOND, |sim| sim.all_in_effect(Subject::Config, 2));
    end.map_or(60.0, |end| (end - start) as f64 / SECOND as f64)
}

/// Guards the limit of 4 s within which a change is in effect everywhere.
#[test]
fn announcements_spread_a_change_without_the_platform() {
    assert!(change_time_with_the_platform_down(NodeParams::default()) <= 4.0);
    // Without announcements and heartbeats, peers learn of versions only from probes.
    let mut weakened = with_membership(|params| params.probe_interval = Duration::from_secs(10));
    weakened.distribution.announce_fanout = 0;
    weakened.distribution.heartbeat_fanout = 0;
    assert!(change_time_with_the_platform_down(weakened) > 4.0);
}

/// Returns the maximum number of calls per second to the platform while it is down, pending ones
/// included.
fn peak_calls_of_an_outage(params: NodeParams) -> u64 {
    let mut sim = start_fleet(20, 1, params);
    sim.set_platform_down(true);
    run_for(&mut sim, 4);
    let load = sim.platform.load.values();
    load.map(|load| load.started + load.pending).max().unwrap_or(0)
}

/// Guards the limit of calls to the platform while it is down.
#[test]
fn backoff_limits_calls_during_an_outage() {
    assert!(peak_calls_of_an_outage(NodeParams::default()) < CALL_LIMIT / 10);
    let mut weakened = NodeParams::default();
    weakened.distribution.call_interval = Duration::from_millis(1);
    weakened.distribution.other_backoff = Duration::from_millis(1);
    weakened.distribution.watcher_backoff = Duration::from_millis(1);
    assert!(peak_calls_of_an_outage(weakened) > CALL_LIMIT);
}

/// Checks that one of 20 rounds with random faults reports a violation that contains `expected`.
fn check_weakened((expected, params): (&str, NodeParams)) {
    let found = (1..=20).find_map(|seed| {
        let options = StressOptions { seed, node: params.clone(), ..StressOptions::default() };
        let violations = stress(&options).violations;
        let text = violations.into_iter().find(|text| text.contains(expected))?;
        Some((seed, text))
    });
    println!("{found:?}");
    assert!(found.is_some(), "no round reported a violation with `{expected}`");
}

fn weakened(change: impl FnOnce(&mut NodeParams)) -> NodeParams {
    let mut params = NodeParams::default();
    change(&mut params);
    params
}

cases! { check_weakened;
    /// Shows that random faults detect a return to a lower version if such versions are accepted.
    accepting_lower_versions_reverts => (
        "went from config",
        weakened(|params| params.distribution.version_rule = VersionRule::Latest),
    ),
    /// Shows that random faults detect a restart with an old version if peers are not queried.
    not_querying_peers_restarts_with_old_versions => (
        "restarted from",
        weakened(|params| {
            params.distribution.query_peers = 0;
            params.distribution.query_timeout = Duration::ZERO;
        }),
    ),
    /// Shows that random faults detect a list that is assumed newer than it is if the ages in
    /// unsolicited reports are trusted.
    trusting_unsolicited_ages_makes_old_lists_look_fresh => (
        "as confirmed at",
        weakened(|params| params.trust_unsolicited_ages = true),
    ),
}

/// Guards every invariant under random faults: restarts with wrong wall clocks, pauses, network
/// partitions, one-way links, loss, reordering, and a platform that is down or returns to an old
/// revision.
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
