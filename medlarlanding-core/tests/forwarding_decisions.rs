//! Tests of the forwarding role's routes, customer keys, server directory, drain and moves.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    AnswerTerms, ColdPolicy, CustomerRecord, DirectoryChange, DrainParams, ForwardConfig, KeyCheck,
    MoveParams, MovePlan, MoveStep, RegionLimit, RequestKind, RequestLimits, RouteRule,
    RouteTarget, RunWeight, ServerDirectory, ServerEntry, ServerPhase, ServicePolicy, can_finish,
};
use medlarlanding_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn rule(name: &str, prefix: &str, is_public: bool) -> RouteRule {
    RouteRule {
        name: Arc::from(name),
        host: "desk.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Safe,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        gap_objective: None,
        priority: 1,
        targets: vec![
            RouteTarget { service: Arc::from("a"), weight: 90 },
            RouteTarget { service: Arc::from("b"), weight: 10 },
        ],
        max_servers: 1,
        is_public,
        regions: RegionLimit::Any,
    }
}

fn config() -> ForwardConfig {
    let limits = RequestLimits { header_bytes: 1, body_bytes: 1, idle: Duration::ZERO };
    let record =
        CustomerRecord { name: Arc::from("museum"), priority: Some(0), regions: RegionLimit::Any };
    let policy = ServicePolicy {
        name: Arc::from("a"),
        max_connections: 1,
        health_path: None,
        engine: None,
        cold: ColdPolicy::default(),
    };
    let rules =
        vec![rule("short", "/a/", false), rule("long", "/a/b/", false), rule("open", "/o/", true)];
    let customers = Some(vec![(record, vec!["key".to_owned()])]);
    ForwardConfig::new(7, limits, rules, vec![policy], customers).expect("a configuration")
}

/// Guards against a request that is assigned to a route other than the one for its host and path.
fn selects_route((host, path, expected): (&str, &str, Option<&str>)) {
    let config = config();
    assert_eq!(config.route(host, path).map(|rule| &*rule.name), expected);
}

cases! { selects_route;
    longest_prefix_wins => ("desk.example", "/a/b/c", Some("long")),
    shorter_prefix_serves_the_rest => ("desk.example", "/a/c", Some("short")),
    host_is_compared_without_case_and_port => ("Desk.Example:80", "/a/c", Some("short")),
    prefix_ends_at_a_slash => ("desk.example", "/a", None),
    other_host_has_no_route => ("other.example", "/a/c", None),
}

/// Guards against keys that identify the wrong customer and against unknown keys that are
/// accepted.
fn checks_key((route, key, expected): (&str, Option<&str>, &str)) {
    let config = config();
    let rule = config.route("desk.example", route).expect("a route");
    let found = match config.check_key(rule, key) {
        KeyCheck::Anonymous => "anonymous".to_owned(),
        KeyCheck::Customer(record) => record.name.to_string(),
        KeyCheck::Unknown => "unknown".to_owned(),
    };
    assert_eq!(found, expected);
}

cases! { checks_key;
    known_key_names_its_customer => ("/a/x", Some("key"), "museum"),
    unknown_key_is_refused => ("/a/x", Some("other"), "unknown"),
    missing_key_is_refused => ("/a/x", None, "unknown"),
    public_route_needs_no_key => ("/o/x", None, "anonymous"),
    key_identifies_on_a_public_route_too => ("/o/x", Some("key"), "museum"),
}

/// Guards against a service that gets more or less than its share of a route with two services.
#[test]
fn split_follows_the_weights() {
    let rule = rule("split", "/a/", false);
    let count = |service: &str| {
        (0..1000).filter(|step| &**rule.target(f64::from(*step) / 1000.0) == service).count()
    };
    assert_eq!((count("a"), count("b")), (900, 100));
}

fn entry(id: &str, phase: ServerPhase, born_millis: u64) -> ServerEntry {
    ServerEntry {
        id: Arc::from(id),
        service: Arc::from("a"),
        address: "127.0.0.1:9000".parse().expect("an address"),
        zone: Arc::from("z"),
        slots: 4,
        phase,
        born_millis,
    }
}

fn candidates(directory: &ServerDirectory) -> Vec<String> {
    directory.candidates("a").map(|(_, record)| record.entry.id.to_string()).collect()
}

/// Guards against new requests for a server that is draining or removed.
fn server_gets_no_requests(changes: Vec<DirectoryChange>) {
    let mut directory = ServerDirectory::default();
    directory.apply(at(0), DirectoryChange::Written(entry("s", ServerPhase::Ready, 1)));
    assert_eq!(candidates(&directory), ["s"]);
    for change in changes {
        directory.apply(at(1), change);
    }
    assert!(candidates(&directory).is_empty());
}

cases! { server_gets_no_requests;
    draining_server => vec![
        DirectoryChange::Written(entry("s", ServerPhase::Draining, 1)),
    ],
    removed_server => vec![DirectoryChange::Removed(Arc::from("s"))],
    removed_server_and_unknown_server => vec![
        DirectoryChange::Removed(Arc::from("s")),
        DirectoryChange::Removed(Arc::from("t")),
    ],
}

/// Guards against a server that stays unused after its entry expired while the store was
/// unreachable and was then written again.
#[test]
fn expired_entry_is_used_again() {
    let mut directory = ServerDirectory::default();
    let ready = || DirectoryChange::Written(entry("s", ServerPhase::Ready, 1));
    let key = directory.apply(at(0), ready()).map(|(key, _)| key);
    directory.apply(at(1), DirectoryChange::Removed(Arc::from("s")));
    assert_eq!(directory.apply(at(2), ready()).map(|(key, _)| key), key);
    assert_eq!(candidates(&directory), ["s"]);
}

/// Guards against load and failures from before a server's restart that count for the restarted
/// server.
#[test]
fn restarted_server_gets_a_new_record() {
    let mut directory = ServerDirectory::default();
    let started = |born| DirectoryChange::Written(entry("s", ServerPhase::Ready, born));
    let (first, _) = directory.apply(at(0), started(1)).expect("a key");
    directory.begin_request(first, 100);
    let (second, _) = directory.apply(at(1), started(2)).expect("a key");
    assert_ne!(first, second);
    assert_eq!(directory.get(second).map(|record| record.open_tokens), Some(0));
    assert!(directory.get(first).is_some_and(|record| record.is_removed));
    directory.finish_request(first, 100);
    assert_eq!(candidates(&directory), ["s"]);
}

/// Guards against a failing server that is avoided for ever or not at all.
#[test]
fn failing_server_is_avoided_for_a_while() {
    let mut directory = ServerDirectory::default();
    let written = DirectoryChange::Written(entry("s", ServerPhase::Ready, 1));
    let (key, _) = directory.apply(at(0), written).expect("a key");
    let is_avoided = |directory: &ServerDirectory, millis| {
        directory.get(key).is_some_and(|record| record.is_avoided(at(millis)))
    };
    directory.record_failure(at(0), key);
    directory.record_failure(at(0), key);
    assert!(!is_avoided(&directory, 0));
    directory.record_failure(at(0), key);
    assert!(is_avoided(&directory, 100) && !is_avoided(&directory, 600));
    directory.record_success(key);
    assert!(!is_avoided(&directory, 100));
}

/// Guards against servers that stay in the directory although a snapshot does not contain them.
#[test]
fn snapshot_replaces_all_servers() {
    let mut directory = ServerDirectory::default();
    let ready = |id| entry(id, ServerPhase::Ready, 1);
    directory.replace(at(0), vec![ready("s"), ready("t")]);
    let leaving = directory.replace(at(1), vec![ready("t"), ready("u")]);
    assert_eq!(candidates(&directory), ["t", "u"]);
    assert_eq!(leaving.len(), 1);
}

/// A request to a stopping instance. Times are in milliseconds.
struct StopCase {
    kind: RequestKind,
    /// Highest output in tokens; `None` for plain services.
    output: Option<u32>,
    /// Longest pause between two events that the route allows; `None` if it is not stated.
    gap: Option<u64>,
    /// Longest time that answers of the route took lately; `None` if too few are known.
    observed: Option<u64>,
    /// Time until the deadline of the request.
    time_left: u64,
    /// Time until the instance ends.
    stop_left: u64,
    is_accepted: bool,
}

/// Guards against a stopping instance that accepts a request which it cannot finish, or refuses
/// one that it can.
fn accepts_while_stopping(case: StopCase) {
    let longest = case.output.map(|output| RunWeight { prompt: 2_000, output });
    let terms = AnswerTerms {
        kind: case.kind,
        objective: Duration::from_millis(100),
        gap_objective: case.gap.map(Duration::from_millis),
    };
    let observed = case.observed.map(Duration::from_millis);
    let longest = DrainParams::default().longest_time(terms, longest, observed);
    let time_left = Duration::from_millis(case.time_left);
    let stop_left = Duration::from_millis(case.stop_left);
    assert_eq!(can_finish(longest, time_left, stop_left), case.is_accepted);
}

cases! { accepts_while_stopping;
    short_generation_early => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: Some(180), observed: None, time_left: 39_000, stop_left: 7_000,
        is_accepted: true,
    },
    long_generation_early => StopCase {
        kind: RequestKind::Stream, output: Some(1_000), gap: Some(180), observed: None, time_left: 39_000, stop_left: 7_000,
        is_accepted: false,
    },
    long_generation_with_an_early_deadline => StopCase {
        kind: RequestKind::Stream, output: Some(1_000), gap: Some(180), observed: None, time_left: 6_000, stop_left: 7_000,
        is_accepted: true,
    },
    short_generation_at_the_end => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: Some(180), observed: None, time_left: 39_000, stop_left: 1_000,
        is_accepted: false,
    },
    unsafe_generation_at_the_end => StopCase {
        kind: RequestKind::Unsafe, output: Some(300), gap: None, observed: None, time_left: 39_000, stop_left: 5_000,
        is_accepted: false,
    },
    // A sound server may need more than four objectives.
    slow_plain_answer_late => StopCase {
        kind: RequestKind::Unsafe, output: None, gap: None, observed: None, time_left: 2_500, stop_left: 500,
        is_accepted: false,
    },
    plain_request_with_an_early_deadline_late => StopCase {
        kind: RequestKind::Unsafe, output: None, gap: None, observed: None, time_left: 450, stop_left: 500,
        is_accepted: true,
    },
    plain_request_with_a_late_deadline_early => StopCase {
        kind: RequestKind::Safe, output: None, gap: None, observed: None, time_left: 39_000, stop_left: 4_000,
        is_accepted: true,
    },
    plain_request_at_the_end => StopCase {
        kind: RequestKind::Safe, output: None, gap: None, observed: None, time_left: 39_000, stop_left: 300,
        is_accepted: false,
    },
    // Streams of plain services state no size (review case 9).
    stream_of_unknown_length_early => StopCase {
        kind: RequestKind::Stream, output: None, gap: None, observed: None, time_left: 39_000, stop_left: 7_000,
        is_accepted: false,
    },
    stream_of_unknown_length_with_an_early_deadline => StopCase {
        kind: RequestKind::Stream, output: None, gap: None, observed: None, time_left: 3_000, stop_left: 4_000,
        is_accepted: true,
    },
    stream_of_a_route_with_short_answers => StopCase {
        kind: RequestKind::Stream, output: None, gap: None, observed: Some(1_000), time_left: 39_000,
        stop_left: 2_500, is_accepted: true,
    },
    stream_of_a_route_with_long_answers => StopCase {
        kind: RequestKind::Stream, output: None, gap: None, observed: Some(4_000), time_left: 39_000,
        stop_left: 7_000, is_accepted: false,
    },
    plain_request_of_a_route_with_long_answers => StopCase {
        kind: RequestKind::Unsafe, output: None, gap: None, observed: Some(3_000), time_left: 39_000,
        stop_left: 5_000, is_accepted: false,
    },
    plain_request_of_a_route_with_short_answers => StopCase {
        kind: RequestKind::Unsafe, output: None, gap: None, observed: Some(50), time_left: 39_000,
        stop_left: 4_000, is_accepted: true,
    },
    // The stated size of a generation goes before what others took.
    short_generation_of_a_route_with_long_ones => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: Some(180), observed: Some(30_000), time_left: 39_000,
        stop_left: 7_000, is_accepted: true,
    },
    // An engine on time may take the whole pause for each event of four tokens (review case 11).
    generation_of_thirty_events_late => StopCase {
        kind: RequestKind::Stream, output: Some(120), gap: Some(180), observed: None,
        time_left: 39_000, stop_left: 4_400, is_accepted: false,
    },
    generation_of_thirty_events_early => StopCase {
        kind: RequestKind::Stream, output: Some(120), gap: Some(180), observed: None,
        time_left: 39_000, stop_left: 5_500, is_accepted: true,
    },
    generation_of_one_event_late => StopCase {
        kind: RequestKind::Stream, output: Some(4), gap: Some(180), observed: None,
        time_left: 39_000, stop_left: 1_000, is_accepted: true,
    },
    last_event_with_one_token => StopCase {
        kind: RequestKind::Stream, output: Some(121), gap: Some(180), observed: None,
        time_left: 39_000, stop_left: 5_500, is_accepted: false,
    },
    generation_with_long_pauses => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: Some(1_000), observed: None,
        time_left: 39_000, stop_left: 5_000, is_accepted: false,
    },
    // Pauses that engines cannot keep do not shorten the time that they need.
    generation_with_short_pauses => StopCase {
        kind: RequestKind::Stream, output: Some(120), gap: Some(10), observed: None,
        time_left: 39_000, stop_left: 3_000, is_accepted: false,
    },
    generation_without_stated_pauses => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: None, observed: None,
        time_left: 39_000, stop_left: 7_000, is_accepted: false,
    },
    generation_without_stated_pauses_with_an_early_deadline => StopCase {
        kind: RequestKind::Stream, output: Some(20), gap: None, observed: None,
        time_left: 3_000, stop_left: 3_000, is_accepted: true,
    },
    generation_of_unlimited_output => StopCase {
        kind: RequestKind::Stream, output: Some(u32::MAX), gap: Some(180), observed: None,
        time_left: 39_000, stop_left: 7_000, is_accepted: false,
    },
}

/// Guards against a final copy before the first one is complete, against retries without a pause,
/// and against a complete first copy that is made again after a refusal.
#[test]
fn move_copies_first_and_keeps_its_copy() {
    let params = MoveParams::default();
    let mut plan = MovePlan::new(params, at(0));
    assert_eq!(plan.next(at(0)), MoveStep::Copy);
    plan.copy_begun();
    plan.refused(at(10));
    assert_eq!(plan.next(at(10)), MoveStep::Wait(at(10) + params.retry_pause));
    assert_eq!(plan.next(at(500)), MoveStep::Copy);
    plan.copy_begun();
    plan.copy_done();
    assert_eq!(plan.next(at(600)), MoveStep::Finish);
    plan.refused(at(600));
    assert_eq!(plan.next(at(900)), MoveStep::Finish);
}

/// Guards against endless attempts to copy a run while no engine has room.
#[test]
fn move_gives_up_after_its_attempts() {
    let params = MoveParams::default();
    let mut plan = MovePlan::new(params, at(0));
    for _ in 0..params.attempts {
        assert_eq!(plan.next(at(10_000)), MoveStep::Copy);
        plan.copy_begun();
    }
    assert_eq!(plan.next(at(10_000)), MoveStep::Stay);
}
