//! Tests of the detection of failing engines from the faults that all instances report.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, EngineFault, FaultLog, LatencyClass, PlacementPolicy, PlacementRequest,
    RegionLimit, RemoteLoad, RunWeight, ServerDirectory, ServerEntry, ServerPhase, SuspicionParams,
};
use medlarlanding_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Guards against an engine that stays in use while callers of 88 instances lose answers there,
/// because each instance alone sees too few faults, and against engines avoided after one fault.
fn avoids_after((faults, expected): (Vec<u64>, Option<u64>)) {
    let mut log = FaultLog::default();
    let found = faults
        .into_iter()
        .filter_map(|millis| log.record(at(millis), 7, EngineFault::Failed))
        .last();
    assert_eq!(found, expected.map(Duration::from_millis));
}

cases! { avoids_after;
    two_faults_are_too_few => (vec![0, 10], None),
    three_faults_at_once => (vec![0, 10, 20], Some(1_000)),
    rare_faults => (vec![0, 2_000, 4_000, 6_000], None),
    faults_while_avoided_do_not_count => (vec![0, 1, 2, 3, 4, 5], Some(1_000)),
    one_fault_after_the_first_period => (vec![0, 1, 2, 1_100], Some(2_000)),
    period_never_exceeds_the_maximum => (vec![0, 1, 2, 1_100, 3_200, 5_300, 7_400], Some(2_000)),
    history_ends_after_the_retention => (vec![0, 1, 2, 10_002, 10_003, 10_004], Some(1_000)),
}

/// Guards against further runs that are moved to an engine which admits none: on
/// austral-cuenta-grown inc-1f56 four runs were lost at one engine, the last one 4.1 s after the first.
#[test]
fn unresponsive_engine_is_avoided_at_once() {
    let mut log = FaultLog::default();
    let period = log.record(at(0), 7, EngineFault::Unresponsive);
    assert_eq!(period, Some(Duration::from_secs(1)));
    let again = log.record(at(1_600), 7, EngineFault::Unresponsive);
    assert_eq!(again, Some(Duration::from_secs(2)));
}

/// Guards against faults of one engine that count for another one.
#[test]
fn engines_are_counted_apart() {
    let mut log = FaultLog::default();
    assert!((0..20).all(|engine| log.record(at(engine), engine, EngineFault::Failed).is_none()));
}

/// Guards against placing further runs on an engine that resets every request and therefore has
/// the least load. It is avoided after three faults and chosen again after the period.
#[test]
fn placement_avoids_a_failing_engine() {
    let mut directory = ServerDirectory::default();
    let mut keys = Vec::new();
    for (id, born) in [("failing", 1), ("healthy", 2)] {
        let entry = ServerEntry {
            id: Arc::from(id),
            service: Arc::from("llm"),
            address: "10.1.0.7:8000".parse().expect("an address"),
            zone: Arc::from("z"),
            slots: 24,
            phase: ServerPhase::Ready,
            born_millis: born,
        };
        let (key, _) = directory.apply(at(0), DirectoryChange::Written(entry)).expect("a key");
        keys.push(key);
    }
    let (failing, healthy) = (keys[0], keys[1]);
    directory.begin_request(healthy, 9_000);
    let chosen = |directory: &ServerDirectory, millis: u64| {
        let request = PlacementRequest {
            service: "llm",
            memory_tokens: Some(21_805),
            weight: RunWeight { prompt: 3_000, output: 700 },
            excluded: &[],
            regions: &RegionLimit::Any,
            zone: "z",
            due: Some(Duration::from_secs(1)),
            is_urgent: false,
            drain_limit: Duration::ZERO,
            reserve: None,
            latency: LatencyClass::Uniform,
        };
        let policy = PlacementPolicy::default();
        let no_remote_load = |_: &_| RemoteLoad::default();
        let choice = policy.choose(at(millis), directory, &request, no_remote_load, || 0.0);
        choice.expect("an engine").key
    };
    assert_eq!(chosen(&directory, 0), failing);
    let mut log = FaultLog::default();
    let mut lost = 0;
    while chosen(&directory, lost) == failing {
        lost += 1;
        if let Some(period) = log.record(at(lost), 1, EngineFault::Failed) {
            directory.avoid(failing, at(lost) + period);
        }
    }
    assert_eq!(lost, SuspicionParams::default().fault_limit as u64);
    assert_eq!(chosen(&directory, lost + 1_000), failing);
}

/// Guards against an engine that has ended and is tried again every second until its entry expires.
#[test]
fn ended_engine_is_avoided_until_its_entry_expires() {
    let mut log = FaultLog::default();
    let period = Duration::from_secs(4);
    assert_eq!(log.record(at(0), 7, EngineFault::Ended), Some(period));
    assert_eq!(log.record(at(5), 7, EngineFault::Ended), None);
    assert_eq!(log.record(at(1_500), 7, EngineFault::Failed), None);
    assert_eq!(log.record(at(4_100), 7, EngineFault::Ended), Some(period));
}
