//! Evacuated zones and region limits: what instances know of them, and which servers get requests.

mod random_runs;

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, EvacuationTable, LatencyClass, MoveParams, MovePlan, MoveStep, PauseGate,
    PauseParams, PlacementPolicy, PlacementRequest, RegionLimit, RemoteLoad, RunWeight,
    ServerAccess, ServerDirectory, ServerEntry, ServerKey, ServerPhase, ZoneEntry, ZoneEntryState,
    ZoneRegions,
};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexSet;

/// Random cases for each seed in CI; `MEDLARLANDING_TEST_FACTOR` multiplies them.
const CASES: u64 = 2_000;
const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn item(zone: &str, revision: u64, state: ZoneEntryState) -> ZoneEntry {
    ZoneEntry { zone: Arc::from(zone), revision, state }
}

fn evacuated(zone: &str, revision: u64) -> ZoneEntry {
    item(zone, revision, ZoneEntryState::Evacuated)
}

fn restored(zone: &str, revision: u64) -> ZoneEntry {
    item(zone, revision, ZoneEntryState::Restored)
}

fn unreadable(zone: &str, revision: u64) -> ZoneEntry {
    item(zone, revision, ZoneEntryState::Unreadable)
}

/// Returns the table of an instance that read these items at a revision.
fn snapshot(entries: &[ZoneEntry], revision: u64) -> EvacuationTable {
    let mut table = EvacuationTable::default();
    table.read_snapshot(entries, revision);
    table
}

fn zones(table: &EvacuationTable) -> Vec<&str> {
    let mut zones: Vec<&str> = table.evacuated().map(|zone| &**zone).collect();
    zones.sort_unstable();
    zones
}

/// What arrives at an instance that has read that zone `a` is evacuated at revision 5, up to revision
/// 10, and which zones it then holds for evacuated.
struct ArrivalCase {
    arrives: fn(&mut EvacuationTable),
    expected: &'static [&'static str],
}

/// Guards against a late reading or a late peer that reverts the state, and against news that is not
/// taken in.
fn takes_in(case: ArrivalCase) {
    let mut table = snapshot(&[evacuated("a", 5)], 10);
    (case.arrives)(&mut table);
    assert_eq!(zones(&table), case.expected, "{table:?}");
}

cases! { takes_in;
    second_zone_is_evacuated_too => ArrivalCase {
        arrives: |table| drop(table.read_changes(&[evacuated("b", 12)], 10, 12)),
        expected: &["a", "b"],
    },
    removed_key_restores_the_zone => ArrivalCase {
        arrives: |table| drop(table.read_changes(&[restored("a", 12)], 10, 12)),
        expected: &[],
    },
    snapshot_without_the_key_restores_the_zone => ArrivalCase {
        arrives: |table| drop(table.read_snapshot(&[], 12)),
        expected: &[],
    },
    peer_without_the_zone_restores_it => ArrivalCase {
        arrives: |table| drop(table.merge(&snapshot(&[], 12))),
        expected: &[],
    },
    old_snapshot_without_the_key_changes_nothing => ArrivalCase {
        arrives: |table| drop(table.read_snapshot(&[], 4)),
        expected: &["a"],
    },
    late_peer_without_the_zone_changes_nothing => ArrivalCase {
        arrives: |table| drop(table.merge(&snapshot(&[], 4))),
        expected: &["a"],
    },
    late_peer_does_not_evacuate_a_restored_zone => ArrivalCase {
        arrives: |table| {
            table.read_changes(&[restored("a", 12)], 10, 12);
            table.merge(&snapshot(&[evacuated("a", 5)], 11));
        },
        expected: &[],
    },
    old_change_does_not_evacuate_a_restored_zone => ArrivalCase {
        arrives: |table| {
            table.read_changes(&[restored("a", 12)], 10, 12);
            table.read_changes(&[evacuated("a", 5)], 3, 5);
        },
        expected: &[],
    },
    peer_that_knows_nothing_changes_nothing => ArrivalCase {
        arrives: |table| drop(table.merge(&EvacuationTable::default())),
        expected: &["a"],
    },
    zone_is_evacuated_again => ArrivalCase {
        arrives: |table| {
            table.read_changes(&[restored("a", 12)], 10, 12);
            table.read_changes(&[evacuated("a", 13)], 12, 13);
        },
        expected: &["a"],
    },
    both_changes_of_a_zone_in_one_answer => ArrivalCase {
        arrives: |table| drop(table.read_changes(&[evacuated("a", 13), restored("a", 12)], 10, 13)),
        expected: &["a"],
    },
    invalid_value_keeps_the_last_valid_one => ArrivalCase {
        arrives: |table| drop(table.read_changes(&[unreadable("a", 12)], 10, 12)),
        expected: &["a"],
    },
    invalid_value_in_a_snapshot_keeps_the_last_valid_one => ArrivalCase {
        arrives: |table| drop(table.read_snapshot(&[unreadable("a", 12)], 12)),
        expected: &["a"],
    },
    started_peer_that_saw_only_the_invalid_value_restores_nothing => ArrivalCase {
        arrives: |table| {
            table.read_changes(&[unreadable("a", 12)], 10, 12);
            table.merge(&snapshot(&[unreadable("a", 12)], 14));
        },
        expected: &["a"],
    },
    zone_is_restored_beside_an_invalid_value => ArrivalCase {
        arrives: |table| drop(table.read_snapshot(&[unreadable("b", 12)], 14)),
        expected: &[],
    },
    zone_restored_beside_an_invalid_value_stays_so => ArrivalCase {
        arrives: |table| {
            table.read_snapshot(&[unreadable("b", 12)], 14);
            table.merge(&snapshot(&[evacuated("a", 5)], 11));
        },
        expected: &[],
    },
    removed_key_after_an_invalid_value_restores_the_zone => ArrivalCase {
        arrives: |table| {
            table.read_changes(&[unreadable("a", 12)], 10, 12);
            table.read_changes(&[restored("a", 13)], 12, 13);
        },
        expected: &[],
    },
}

/// Guards against an instance that takes its table for complete although it has only seen an invalid
/// value of a zone, and therefore restores the zone at peers that know the last valid value.
#[test]
fn changes_after_a_gap_do_not_complete_the_table() {
    let mut known = snapshot(&[evacuated("a", 5)], 10);
    let mut started = snapshot(&[unreadable("a", 12)], 12);
    started.read_changes(&[evacuated("b", 13)], 12, 13);
    known.merge(&started);
    assert_eq!(zones(&known), ["a", "b"]);
    started.merge(&known);
    assert_eq!(zones(&started), ["a", "b"]);
}

/// Guards against instances that go on exchanging equal tables, and against two that never notice that
/// theirs differ.
#[test]
fn fingerprints_tell_different_tables() {
    let both = snapshot(&[evacuated("a", 5), evacuated("b", 7)], 9);
    let same = snapshot(&[evacuated("b", 7), evacuated("a", 5)], 12);
    assert_eq!(both.fingerprint(), same.fingerprint());
    assert_ne!(both.fingerprint(), snapshot(&[evacuated("a", 5)], 9).fingerprint());
    assert_ne!(
        both.fingerprint(),
        snapshot(&[evacuated("a", 6), evacuated("b", 7)], 9).fingerprint()
    );
    assert_eq!(snapshot(&[], 20).fingerprint(), EvacuationTable::default().fingerprint());
    assert_eq!(snapshot(&[], 20).fingerprint(), 0, "an empty field while no zone is evacuated");
}

/// Guards against a table that grows with each zone that was ever restored.
#[test]
fn restored_zones_are_not_kept() {
    let mut table = snapshot(&[], 1);
    for revision in (2..2_000).step_by(2) {
        let zone = format!("z{revision}");
        table.read_changes(&[evacuated(&zone, revision)], revision - 1, revision);
        table.read_changes(&[restored(&zone, revision + 1)], revision, revision + 1);
    }
    let bytes = postcard::to_stdvec(&table).expect("a table can be encoded");
    assert!(bytes.len() < 10, "{} bytes", bytes.len());
}

/// Zones of the random histories.
const ZONES: [&str; 3] = ["a", "b", "c"];
/// Step of a random history: its kind, the instance, and the revision or message.
type HistoryStep = (u8, u8, u8);
/// Instances of the random histories.
const INSTANCES: usize = 4;

/// Returns the items of zones at a revision. At revision R, zone `changes[R - 1]` is evacuated or
/// restored, whichever it was not.
fn items_at(changes: &[u8], revision: u64) -> Vec<ZoneEntry> {
    let mut last: [(u64, bool); ZONES.len()] = Default::default();
    for (index, change) in changes.iter().take(revision as usize).enumerate() {
        let zone = usize::from(*change) % ZONES.len();
        last[zone] = (index as u64 + 1, !last[zone].1);
    }
    let zones = ZONES.iter().zip(last).filter(|(_, (revision, _))| *revision > 0);
    let entry = |(zone, (revision, is_evacuated)): (&&str, (u64, bool))| match is_evacuated {
        true => evacuated(zone, revision),
        false => restored(zone, revision),
    };
    zones.map(entry).collect()
}

fn true_zones(changes: &[u8], revision: u64) -> Vec<String> {
    let items = items_at(changes, revision);
    let present = items.into_iter().filter(|it| it.state == ZoneEntryState::Evacuated);
    present.map(|it| it.zone.to_string()).collect()
}

/// Guards against any order of old and new readings and of late and repeated messages after which an
/// instance holds something for true that was not so at the revision that it claims to know, goes back,
/// or differs for ever from the others.
#[test]
fn tables_follow_the_history_in_any_order() {
    fn property(changes: Vec<u8>, steps: Vec<HistoryStep>) -> bool {
        let mut tables: Vec<EvacuationTable> = vec![EvacuationTable::default(); INSTANCES];
        let mut in_flight: Vec<EvacuationTable> = Vec::new();
        let latest = changes.len() as u64;
        let revision_of = |number: u8| u64::from(number) % (latest + 1);
        for (kind, first, second) in steps {
            let instance = usize::from(first) % INSTANCES;
            let known = tables[instance].complete();
            match kind % 4 {
                0 => {
                    // Removed items are not in a snapshot. Stores answer with revisions above 0.
                    let revision = revision_of(second);
                    let mut items = items_at(&changes, revision);
                    items.retain(|it| it.state == ZoneEntryState::Evacuated);
                    tables[instance].read_snapshot(&items, revision);
                },
                1 if known > 0 => {
                    let revision = revision_of(second).max(known);
                    let mut items = items_at(&changes, revision);
                    items.retain(|it| it.revision > known);
                    tables[instance].read_changes(&items, known, revision);
                },
                2 => in_flight.push(tables[instance].clone()),
                _ => {
                    if let Some(message) =
                        in_flight.get(usize::from(second) % in_flight.len().max(1))
                    {
                        tables[instance].merge(message);
                        if !tables[instance].merge(message).is_empty() {
                            return false;
                        }
                    }
                },
            }
            let table = &tables[instance];
            if table.complete() < known || zones(table) != true_zones(&changes, table.complete()) {
                return false;
            }
        }
        for index in 0..INSTANCES {
            for other in 0..INSTANCES {
                let message = tables[other].clone();
                tables[index].merge(&message);
            }
        }
        let fingerprints: IndexSet<u64> = tables.iter().map(EvacuationTable::fingerprint).collect();
        fingerprints.len() == 1
    }
    let property: fn(Vec<u8>, Vec<HistoryStep>) -> bool = property;
    random_runs::check("histories of zones", &[81, 82, 83], CASES, 40, property);
}

fn entry(id: &str, zone: &str, born_millis: u64, phase: ServerPhase) -> ServerEntry {
    ServerEntry {
        id: Arc::from(id),
        service: Arc::from("orders"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from(zone),
        slots: 4,
        phase,
        born_millis,
    }
}

fn write(directory: &mut ServerDirectory, millis: u64, entry: ServerEntry) -> ServerKey {
    directory.apply(at(millis), DirectoryChange::Written(entry)).expect("a server").0
}

fn evacuate(directory: &mut ServerDirectory, millis: u64, zones: &[&str]) {
    let zones: Vec<Arc<str>> = zones.iter().map(|zone| Arc::from(*zone)).collect();
    directory.set_evacuated(at(millis), &zones);
}

/// Places a new request and a moved run. Returns the ids of the servers that get them.
fn place(
    directory: &ServerDirectory,
    millis: u64,
    regions: &RegionLimit,
) -> (Option<String>, Option<String>) {
    let request = PlacementRequest {
        service: "orders",
        memory_tokens: Some(30_000),
        weight: RunWeight { prompt: 100, output: 10 },
        excluded: &[],
        regions,
        zone: "a",
        due: None,
        is_urgent: false,
        drain_limit: DRAIN_LIMIT,
        reserve: None,
        latency: LatencyClass::Uniform,
    };
    let (policy, now) = (PlacementPolicy::default(), at(millis));
    let id_of = |key| directory.get(key).map(|record| record.entry.id.to_string());
    let remote = |_: &_| RemoteLoad::default();
    let choice = policy.choose(now, directory, &request, remote, || 0.5);
    let destination = policy.choose_destination(now, directory, &request, remote, || 0.5);
    (choice.and_then(|it| id_of(it.key)), destination.and_then(id_of))
}

fn chosen(directory: &ServerDirectory, millis: u64) -> Option<String> {
    let (new, moved) = place(directory, millis, &RegionLimit::Any);
    assert_eq!(new, moved, "new requests and moved runs pass the same check");
    new
}

/// Returns a directory with a server in each of the zones `a` and `b`.
fn two_zones() -> ServerDirectory {
    let mut directory = ServerDirectory::default();
    write(&mut directory, 0, entry("s-a", "a", 50, ServerPhase::Ready));
    write(&mut directory, 0, entry("s-b", "b", 50, ServerPhase::Ready));
    directory
}

/// Guards against requests to servers of evacuated zones when one, two or all zones are evacuated, and
/// against servers that get none after their zone is restored.
#[test]
fn servers_of_evacuated_zones_get_nothing() {
    let mut directory = two_zones();
    assert_eq!(chosen(&directory, 0).as_deref(), Some("s-a"));
    evacuate(&mut directory, 10, &["a"]);
    assert_eq!(chosen(&directory, 10).as_deref(), Some("s-b"));
    evacuate(&mut directory, 20, &["a", "b"]);
    assert_eq!(chosen(&directory, 20), None);
    evacuate(&mut directory, 30, &["b"]);
    assert_eq!(chosen(&directory, 30).as_deref(), Some("s-a"));
    evacuate(&mut directory, 40, &[]);
    assert_eq!(directory.candidates("orders").count(), 2);
}

/// Guards against a server that registers, restarts or changes its zone after its zone was evacuated and
/// gets requests all the same.
#[test]
fn entries_written_later_are_covered() {
    let mut directory = ServerDirectory::default();
    evacuate(&mut directory, 0, &["a"]);
    write(&mut directory, 10, entry("s-a", "a", 50, ServerPhase::Ready));
    assert_eq!(chosen(&directory, 10), None);
    write(&mut directory, 20, entry("s-a", "a", 60, ServerPhase::Ready));
    assert_eq!(chosen(&directory, 20), None);
    let key = write(&mut directory, 30, entry("s-a", "b", 60, ServerPhase::Ready));
    assert_eq!(chosen(&directory, 30).as_deref(), Some("s-a"));
    write(&mut directory, 40, entry("s-a", "a", 60, ServerPhase::Ready));
    assert_eq!(chosen(&directory, 40), None);
    let since = directory.get(key).and_then(|record| record.evacuated_since());
    assert_eq!(since, Some(at(0)), "the zone has been evacuated all the time");
}

/// Guards against draining servers of an evacuated zone that get requests because no other server is
/// left, and against draining servers of other zones that do not.
#[test]
fn draining_servers_of_evacuated_zones_get_nothing() {
    let mut directory = two_zones();
    write(&mut directory, 100, entry("s-a", "a", 50, ServerPhase::Draining));
    evacuate(&mut directory, 100, &["a", "b"]);
    assert_eq!(place(&directory, 200, &RegionLimit::Any), (None, None));
    // The ready server is in an evacuated zone, so the draining one of the other zone is needed.
    evacuate(&mut directory, 300, &["b"]);
    assert_eq!(place(&directory, 400, &RegionLimit::Any).0.as_deref(), Some("s-a"));
    // Evacuated again a second later; the notice stays in force when the zone is restored.
    evacuate(&mut directory, 1_050, &["a", "b"]);
    assert_eq!(place(&directory, 1_060, &RegionLimit::Any), (None, None));
    evacuate(&mut directory, 1_900, &["b"]);
    assert_eq!(place(&directory, 1_910, &RegionLimit::Any), (None, None));
}

/// Guards against a server whose period of evacuation begins anew with each message, and against one that
/// keeps the old begin after the zone was restored and is evacuated again a second later.
#[test]
fn evacuation_begins_anew_after_a_restoration() {
    let mut directory = two_zones();
    let (key, _) = directory.iter().next().expect("a server");
    let since =
        |directory: &ServerDirectory| directory.get(key).and_then(|it| it.evacuated_since());
    evacuate(&mut directory, 100, &["a"]);
    evacuate(&mut directory, 200, &["a", "b"]);
    assert_eq!(since(&directory), Some(at(100)));
    evacuate(&mut directory, 300, &["b"]);
    assert_eq!(since(&directory), None);
    evacuate(&mut directory, 1_300, &["a", "b"]);
    assert_eq!(since(&directory), Some(at(1_300)));
}

/// Guards against an access that hides a reason with fewer exceptions behind one with more.
#[test]
fn strictest_reason_counts() {
    let mut directory = two_zones();
    directory.set_zone_regions(ZoneRegions::new([("a", "north"), ("b", "south")]));
    let (key, _) = directory.iter().next().expect("a server");
    let north = RegionLimit::only(["north"]);
    let access = |directory: &ServerDirectory, limit: &RegionLimit| {
        directory.get(key).expect("a record").access_for(at(100), limit)
    };
    assert_eq!(access(&directory, &north), ServerAccess::Open);
    directory.avoid(key, at(2_000));
    assert_eq!(access(&directory, &north), ServerAccess::Avoided);
    directory.hold(key, at(2_000));
    assert_eq!(access(&directory, &north), ServerAccess::Held);
    directory.mark_leaving(at(50), key);
    assert_eq!(access(&directory, &north), ServerAccess::Leaving);
    evacuate(&mut directory, 60, &["a"]);
    assert_eq!(access(&directory, &north), ServerAccess::Evacuated);
    let south = RegionLimit::only(["south"]);
    assert_eq!(access(&directory, &south), ServerAccess::OutsideRegions);
}

/// Guards against callers that are told to come back after the pause of a server in an evacuated zone or
/// another region, which will not serve them.
#[test]
fn pauses_of_other_servers_do_not_count() {
    let mut directory = two_zones();
    directory.set_zone_regions(ZoneRegions::new([("a", "north"), ("b", "south")]));
    let keys: Vec<ServerKey> = directory.iter().map(|(key, _)| key).collect();
    directory.hold(keys[0], at(2_000));
    directory.hold(keys[1], at(9_000));
    let south = RegionLimit::only(["south"]);
    let hold = |directory: &ServerDirectory, limit: &RegionLimit| {
        directory.shortest_hold(at(0), "orders", limit)
    };
    assert_eq!(hold(&directory, &RegionLimit::Any), Some(Duration::from_secs(2)));
    assert_eq!(hold(&directory, &south), Some(Duration::from_secs(9)));
    evacuate(&mut directory, 0, &["a"]);
    assert_eq!(hold(&directory, &RegionLimit::Any), Some(Duration::from_secs(9)));
}

/// A region limit, and the server that then gets a request while both zones are open.
struct LimitCase {
    route: RegionLimit,
    customer: RegionLimit,
    expected: Option<&'static str>,
}

/// Guards against requests to servers outside the regions of their route or customer.
fn keeps_regions(case: LimitCase) {
    let mut directory = two_zones();
    write(&mut directory, 0, entry("s-c", "c", 50, ServerPhase::Ready));
    directory.set_zone_regions(ZoneRegions::new([("a", "north"), ("b", "south")]));
    let limit = case.route.intersect(&case.customer);
    let (new, moved) = place(&directory, 0, &limit);
    assert_eq!((new.as_deref(), moved.as_deref()), (case.expected, case.expected));
    // What this instance asks the coordinator for has the same limit.
    let bytes = postcard::to_stdvec(&limit).expect("a limit can be encoded");
    assert_eq!(postcard::from_bytes::<RegionLimit>(&bytes).expect("a limit"), limit);
}

cases! { keeps_regions;
    route_in_one_region => LimitCase {
        route: RegionLimit::only(["south"]), customer: RegionLimit::Any, expected: Some("s-b"),
    },
    customer_in_one_region => LimitCase {
        route: RegionLimit::Any, customer: RegionLimit::only(["south"]), expected: Some("s-b"),
    },
    both_limits_apply => LimitCase {
        route: RegionLimit::only(["south", "north"]),
        customer: RegionLimit::only(["west", "south"]),
        expected: Some("s-b"),
    },
    limits_without_a_common_region => LimitCase {
        route: RegionLimit::only(["south"]),
        customer: RegionLimit::only(["north"]),
        expected: None,
    },
    region_without_servers => LimitCase {
        route: RegionLimit::only(["west"]), customer: RegionLimit::Any, expected: None,
    },
    zone_of_an_unknown_region_is_in_none => LimitCase {
        route: RegionLimit::only(["c"]), customer: RegionLimit::Any, expected: None,
    },
}

/// Guards against a draining server outside the regions of a request that gets it because no other
/// server is left, and against one inside them that does not.
#[test]
fn draining_servers_keep_regions() {
    let mut directory = two_zones();
    directory.set_zone_regions(ZoneRegions::new([("a", "north"), ("b", "south")]));
    write(&mut directory, 100, entry("s-a", "a", 50, ServerPhase::Draining));
    assert_eq!(place(&directory, 200, &RegionLimit::only(["north"])).0.as_deref(), Some("s-a"));
    assert_eq!(place(&directory, 200, &RegionLimit::Any).0.as_deref(), Some("s-b"));
    write(&mut directory, 100, entry("s-b", "b", 50, ServerPhase::Draining));
    assert_eq!(place(&directory, 200, &RegionLimit::only(["west"])), (None, None));
}

/// Guards against a run that stays at a leaving engine because the zone of its first destination was
/// evacuated after the copy.
#[test]
fn move_begins_again_after_a_lost_copy() {
    let mut plan = MovePlan::new(MoveParams::default(), at(0));
    plan.copy_begun();
    plan.copy_done();
    assert_eq!(plan.next(at(10)), MoveStep::Finish);
    plan.copy_lost();
    assert_eq!(plan.next(at(10)), MoveStep::Copy);
}

/// Guards against an instance that sends requests right after a pause, as it knew the zones before; and
/// against one that is cut off and never sends any again.
#[test]
fn paused_instance_waits_for_a_peer() {
    let params = PauseParams::default();
    let mut gate = PauseGate::new(params, at(0));
    let limit = params.pause_limit.as_millis() as u64;
    assert_eq!(gate.check(at(limit - 1)), None, "a busy process");
    assert!(gate.is_open(at(limit - 1)));
    let resumed = 3 * limit;
    assert!(gate.check(at(resumed)).is_some());
    assert_eq!(gate.check(at(resumed + 10)), None, "the same pause");
    assert!(!gate.is_open(at(resumed + 10)));
    let mut answered = gate;
    answered.open();
    assert!(answered.is_open(at(resumed + 11)));
    assert!(gate.is_open(at(resumed) + params.answer_limit));
}
