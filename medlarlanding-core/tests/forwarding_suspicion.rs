//! Engines that many instances see fail.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, FaultLog, PlacementPolicy, PlacementRequest, RemoteLoad, RunWeight,
    ServerDirectory, ServerEntry, ServerPhase, SuspicionParams,
};
use medlarlanding_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Guards against callers of 88 instances that each lose answers at an engine which only a
/// count over all of them shows to be bad, and against engines that are avoided for single
/// faults.
fn avoids_after((faults, expected): (Vec<u64>, Option<u64>)) {
    let mut log = FaultLog::default();
    let found = faults.into_iter().filter_map(|millis| log.record(at(millis), 7)).last();
    assert_eq!(found, expected.map(Duration::from_millis));
}

cases! { avoids_after;
    two_faults_are_no_pattern => (vec![0, 10], None),
    three_faults_at_once => (vec![0, 10, 20], Some(1_000)),
    rare_faults => (vec![0, 2_000, 4_000, 6_000], None),
    faults_of_runs_sent_before => (vec![0, 1, 2, 3, 4, 5], Some(1_000)),
    one_fault_after_the_first_time => (vec![0, 1, 2, 1_100], Some(2_000)),
    never_longer_than_the_limit => (vec![0, 1, 2, 1_100, 3_200, 5_300, 7_400], Some(2_000)),
    forgotten_after_a_quiet_time => (vec![0, 1, 2, 10_002, 10_003, 10_004], Some(1_000)),
}

/// Guards against faults of one engine that count for another.
#[test]
fn engines_are_counted_apart() {
    let mut log = FaultLog::default();
    assert!((0..20).all(|engine| log.record(at(engine), engine).is_none()));
}

/// Replays an engine that resets every request while it has the least load: after three faults
/// the other engine is chosen, and it comes back when the time is over.
#[test]
fn placement_leaves_a_bad_engine_out() {
    let mut directory = ServerDirectory::default();
    let mut keys = Vec::new();
    for (id, born) in [("bad", 1), ("sound", 2)] {
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
    let (bad, sound) = (keys[0], keys[1]);
    directory.begin(sound, 9_000);
    let chosen = |directory: &ServerDirectory, millis: u64| {
        let request = PlacementRequest {
            service: "llm",
            memory_tokens: Some(21_805),
            weight: RunWeight { prompt: 3_000, output: 700 },
            excluded: &[],
            zone: "z",
            due: Some(Duration::from_secs(1)),
            is_urgent: false,
        };
        let policy = PlacementPolicy::default();
        let nothing = |_: &_| RemoteLoad::default();
        let choice = policy.choose(at(millis), directory, &request, nothing, || 0.0);
        choice.expect("an engine").key
    };
    assert_eq!(chosen(&directory, 0), bad);
    let mut log = FaultLog::default();
    let mut lost = 0;
    while chosen(&directory, lost) == bad {
        lost += 1;
        if let Some(period) = log.record(at(lost), 1) {
            directory.avoid(bad, at(lost) + period);
        }
    }
    assert_eq!(lost, SuspicionParams::default().limit as u64);
    assert_eq!(chosen(&directory, lost + 1_000), bad);
}
