//! What servers say of themselves: that they leave, and that they want no requests for a while.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, LatencyClass, PlacementPolicy, PlacementRequest, RegionLimit, RemoteLoad,
    RunWeight, ServerDirectory, ServerEntry, ServerKey, ServerPhase,
};
use medlarlanding_core::time::Timestamp;

const DRAIN_LIMIT: Duration = Duration::from_secs(2);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn entry(id: &str, born_millis: u64, phase: ServerPhase) -> ServerEntry {
    ServerEntry {
        id: Arc::from(id),
        service: Arc::from("orders"),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: Arc::from("z0"),
        slots: 4,
        phase,
        born_millis,
    }
}

fn write(directory: &mut ServerDirectory, millis: u64, entry: ServerEntry) -> ServerKey {
    directory.apply(at(millis), DirectoryChange::Written(entry)).expect("a server").0
}

/// Places a request of `weight` on an engine, or on a plain server if it has none.
fn place(
    directory: &ServerDirectory,
    millis: u64,
    weight: Option<RunWeight>,
    excluded: &[ServerKey],
) -> Option<ServerKey> {
    let request = PlacementRequest {
        service: "orders",
        memory_tokens: weight.map(|_| 30_000),
        weight: weight.unwrap_or_default(),
        excluded,
        regions: &RegionLimit::Any,
        zone: "z0",
        due: None,
        is_urgent: false,
        drain_limit: DRAIN_LIMIT,
        reserve: None,
        latency: LatencyClass::Uniform,
    };
    let policy = PlacementPolicy::default();
    let choice = policy.choose(at(millis), directory, &request, |_| RemoteLoad::default(), || 0.5);
    choice.map(|choice| choice.key)
}

/// What happens to the entry of a server after it has said that it leaves.
enum LaterChange {
    Written(u64, ServerPhase),
    RemovedAndWritten(u64),
    RemovedForAWhile(u64),
}

/// Guards against a server that is used again because an entry that is late or old calls it ready after
/// it has said itself that it leaves.
fn outlasts_entries((change, is_used): (LaterChange, bool)) {
    let mut directory = ServerDirectory::default();
    let key = write(&mut directory, 0, entry("a", 50, ServerPhase::Ready));
    assert!(directory.mark_leaving(at(10), key), "news");
    assert!(!directory.mark_leaving(at(20), key), "known");
    let id = Arc::from("a");
    let millis = match change {
        LaterChange::Written(born, phase) => {
            write(&mut directory, 30, entry("a", born, phase));
            3_000
        },
        LaterChange::RemovedAndWritten(born) => {
            directory.apply(at(30), DirectoryChange::Removed(id));
            write(&mut directory, 2_000, entry("a", born, ServerPhase::Ready));
            3_000
        },
        LaterChange::RemovedForAWhile(born) => {
            directory.apply(at(30), DirectoryChange::Removed(id));
            // Further changes evict the records of removed servers.
            let other = entry("b", 50, ServerPhase::Draining);
            write(&mut directory, 90_000, other);
            write(&mut directory, 91_000, entry("a", born, ServerPhase::Ready));
            95_000
        },
    };
    assert_eq!(place(&directory, millis, None, &[]).is_some(), is_used);
}

cases! { outlasts_entries;
    late_entry_of_the_same_start_is_not_used => (LaterChange::Written(50, ServerPhase::Ready), false),
    entry_that_comes_back_is_not_used => (LaterChange::RemovedAndWritten(50), false),
    entry_that_comes_back_after_a_while_is_not_used => (LaterChange::RemovedForAWhile(50), false),
    old_entry_of_an_earlier_start_is_not_used => (LaterChange::Written(40, ServerPhase::Ready), false),
    old_entry_without_a_start_is_not_used => (LaterChange::Written(0, ServerPhase::Ready), false),
    later_start_is_used => (LaterChange::Written(60, ServerPhase::Ready), true),
    later_start_after_a_removal_is_used => (LaterChange::RemovedAndWritten(60), true),
}

/// Guards against a service that is refused although its servers, which all leave, still serve; and
/// against requests that reach them later than they may or that they cannot finish.
fn serves_while_all_leave(case: (u64, Option<RunWeight>, bool)) {
    let (millis, weight, is_served) = case;
    let mut directory = ServerDirectory::default();
    let own_word = write(&mut directory, 0, entry("a", 50, ServerPhase::Ready));
    directory.mark_leaving(at(0), own_word);
    write(&mut directory, 0, entry("b", 50, ServerPhase::Draining));
    assert_eq!(place(&directory, millis, weight, &[]).is_some(), is_served);
}

const SHORT: RunWeight = RunWeight { prompt: 500, output: 20 };
const LONG: RunWeight = RunWeight { prompt: 3_000, output: 900 };

cases! { serves_while_all_leave;
    plain_request_is_served_at_first => (900, None, true),
    plain_request_is_refused_later => (1_100, None, false),
    short_run_is_served_at_first => (900, Some(SHORT), true),
    long_run_is_refused => (100, Some(LONG), false),
}

/// Guards against requests to a leaving server while another one of the service accepts them, however
/// loaded or held that one is.
#[test]
fn leaving_server_is_not_used_beside_another() {
    let mut directory = ServerDirectory::default();
    let leaving = write(&mut directory, 0, entry("a", 50, ServerPhase::Ready));
    let other = write(&mut directory, 0, entry("b", 50, ServerPhase::Ready));
    directory.mark_leaving(at(0), leaving);
    assert_eq!(place(&directory, 10, None, &[]), Some(other));
    assert_eq!(place(&directory, 10, None, &[other]), None);
}

/// Guards against requests to a server that wants none for a while, against a later refusal that
/// shortens that time, and against callers that are not told when to come back.
#[test]
fn hold_lasts_as_long_as_the_server_says() {
    let mut directory = ServerDirectory::default();
    let first = write(&mut directory, 0, entry("a", 50, ServerPhase::Ready));
    let second = write(&mut directory, 0, entry("b", 50, ServerPhase::Ready));
    directory.hold(first, at(2_000));
    directory.hold(first, at(500));
    let held: Vec<_> = directory.held(at(1_000), "orders").map(|(key, _)| key).collect();
    assert_eq!(held, [first]);
    assert_eq!(
        directory.shortest_hold(at(1_000), "orders", &RegionLimit::Any),
        None,
        "another server takes requests"
    );
    directory.hold(second, at(3_000));
    let left = directory.shortest_hold(at(1_000), "orders", &RegionLimit::Any);
    assert_eq!(left, Some(Duration::from_secs(1)));
    assert_eq!(directory.held(at(2_500), "orders").count(), 1);
    // Neither an old entry nor one that comes back ends a pause.
    write(&mut directory, 1_000, entry("b", 40, ServerPhase::Ready));
    assert_eq!(
        directory.shortest_hold(at(1_000), "orders", &RegionLimit::Any),
        Some(Duration::from_secs(1))
    );
    directory.apply(at(1_000), DirectoryChange::Removed(Arc::from("a")));
    write(&mut directory, 1_000, entry("a", 50, ServerPhase::Ready));
    assert_eq!(
        directory.shortest_hold(at(1_000), "orders", &RegionLimit::Any),
        Some(Duration::from_secs(1))
    );
    // The next start has said nothing.
    write(&mut directory, 1_000, entry("a", 60, ServerPhase::Ready));
    assert_eq!(directory.shortest_hold(at(1_000), "orders", &RegionLimit::Any), None);
}

/// Guards against a leaving server that is used again, or a pause that is cut short, because an entry
/// that does not state its start came between two that do.
#[test]
fn entry_without_a_start_keeps_the_word() {
    let mut directory = ServerDirectory::default();
    let key = write(&mut directory, 0, entry("s", 5, ServerPhase::Ready));
    directory.hold(key, at(60_000));
    directory.mark_leaving(at(100), key);
    let unstated = write(&mut directory, 200, entry("s", 0, ServerPhase::Ready));
    let again = write(&mut directory, 300, entry("s", 5, ServerPhase::Ready));
    assert_eq!((unstated, again), (key, key));
    let record = directory.get(key).expect("a record");
    assert_eq!(record.leaving_since, Some(at(100)));
    assert_eq!(record.hold_left(at(1_000)), Duration::from_secs(59));
    assert!(place(&directory, 30_000, None, &[]).is_none());
    // A later start is another server.
    let later = write(&mut directory, 31_000, entry("s", 6, ServerPhase::Ready));
    assert_eq!(place(&directory, 31_000, None, &[]), Some(later));
}
