//! Tests of the limits of slow start in the server directory, the placement and the datagrams.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    AnswerOutcome, AnswerReport, DirectoryChange, LatencyClass, PeerMessage, PlaceVerdict,
    PlacementChoice, PlacementPolicy, PlacementRequest, RegionLimit, RemoteLoad, RunWeight,
    ServerAccess, ServerDirectory, ServerEntry, ServerKey, ServerPhase,
};
use medlarlanding_core::pacing::{AnswerPart, PaceLimit};
use medlarlanding_core::time::Timestamp;

/// Memory of an engine in tokens.
const MEMORY: u32 = 26_837;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Returns a directory with a server that has just started and one with some load.
fn directory() -> (ServerDirectory, ServerKey, ServerKey) {
    let mut directory = ServerDirectory::default();
    let mut add = |id: &str| {
        let entry = ServerEntry {
            id: Arc::from(id),
            service: Arc::from("llm"),
            address: "10.1.0.7:8000".parse().expect("an address"),
            zone: Arc::from("z"),
            slots: 24,
            phase: ServerPhase::Ready,
            born_millis: 1,
        };
        directory.apply(at(0), DirectoryChange::Written(entry)).expect("a key").0
    };
    let (started, busy) = (add("started"), add("busy"));
    for _ in 0..4 {
        directory.begin_request(busy, 3_000);
    }
    (directory, started, busy)
}

fn limit(in_flight: u32, next_start: Timestamp) -> Option<PaceLimit> {
    Some(PaceLimit { in_flight, next_start })
}

fn request(memory_tokens: Option<u32>, excluded: &[ServerKey]) -> PlacementRequest<'_> {
    PlacementRequest {
        service: "llm",
        memory_tokens,
        weight: RunWeight { prompt: 3_000, output: 700 },
        excluded,
        zone: "z",
        due: Some(Duration::from_secs(4)),
        is_urgent: false,
        drain_limit: Duration::ZERO,
        reserve: None,
        latency: LatencyClass::Uniform,
        regions: &RegionLimit::Any,
    }
}

fn choose(
    directory: &ServerDirectory,
    memory_tokens: Option<u32>,
    excluded: &[ServerKey],
) -> Option<PlacementChoice> {
    let request = request(memory_tokens, excluded);
    let no_remote_load = |_: &_| RemoteLoad::default();
    PlacementPolicy::default().choose(at(0), directory, &request, no_remote_load, || 0.0)
}

/// Guards against the one check of servers that does not know the limit, or puts it before a reason
/// that forbids requests.
#[test]
fn access_names_the_limit() {
    let (mut directory, started, _) = directory();
    let access = |directory: &ServerDirectory| directory.get(started).expect("it").access(at(0));
    assert_eq!(access(&directory), ServerAccess::Open);
    directory.set_pace(started, limit(1, at(0)));
    assert_eq!(access(&directory), ServerAccess::Open);
    directory.begin_request(started, 100);
    assert_eq!(access(&directory), ServerAccess::Paced);
    directory.set_pace(started, limit(2, at(1)));
    assert_eq!(access(&directory), ServerAccess::Paced);
    directory.hold(started, at(50));
    assert_eq!(access(&directory), ServerAccess::Held);
    directory.mark_leaving(at(0), started);
    assert_eq!(access(&directory), ServerAccess::Leaving);
}

/// Guards against a server that has just started and gets every request because it has the least load,
/// and against a request that is refused though only the limit of slow start speaks against a server.
fn placement_keeps_the_limit((memory, in_flight, is_spaced): (Option<u32>, u32, bool)) {
    let (mut directory, started, busy) = directory();
    let next_start = if is_spaced { at(10) } else { at(0) };
    directory.set_pace(started, limit(in_flight, next_start));
    let choice = choose(&directory, memory, &[]).expect("a server");
    let is_open = in_flight > 0 && !is_spaced;
    assert_eq!(choice.key, if is_open { started } else { busy });
    // Without another server, an engine has no room for now, and a plain server gets the request.
    let choice = choose(&directory, memory, &[busy]).expect("a server");
    assert_eq!(choice.key, started);
    assert_eq!(choice.servers_with_room > 0, is_open || memory.is_none());
}

cases! { placement_keeps_the_limit;
    engine_below_the_limit => (Some(MEMORY), 1, false),
    engine_at_the_limit => (Some(MEMORY), 0, false),
    engine_with_a_start_just_before => (Some(MEMORY), 6, true),
    plain_server_below_the_limit => (None, 1, false),
    plain_server_at_the_limit => (None, 0, false),
}

/// Guards against a limited server that is left for one that is avoided after failures.
#[test]
fn limited_server_comes_before_an_avoided_one() {
    let (mut directory, started, busy) = directory();
    directory.set_pace(started, limit(0, at(0)));
    directory.avoid(busy, at(1_000));
    assert_eq!(choose(&directory, None, &[]).expect("a server").key, started);
}

/// Guards against a moved run that burdens an engine in slow start, or is lost because only such an
/// engine has room.
#[test]
fn moved_runs_prefer_other_engines() {
    let (mut directory, started, busy) = directory();
    directory.set_pace(started, limit(0, at(0)));
    let destination = |excluded: &[ServerKey]| {
        let request = request(Some(MEMORY), excluded);
        let no_remote_load = |_: &_| RemoteLoad::default();
        let policy = PlacementPolicy::default();
        policy.choose_destination(at(0), &directory, &request, no_remote_load, || 0.5)
    };
    assert_eq!(destination(&[]), Some(busy));
    assert_eq!(destination(&[busy]), Some(started));
}

/// Guards against datagrams of slow start that the receiver cannot read.
fn survives_encoding(message: PeerMessage) {
    let bytes = postcard::to_stdvec(&message).expect("a datagram");
    assert!(bytes.len() <= 24, "{} bytes", bytes.len());
    assert_eq!(postcard::from_bytes::<PeerMessage>(&bytes).ok().as_ref(), Some(&message));
    assert!(!message.may_be_relayed());
}

fn report(outcome: AnswerOutcome) -> PeerMessage {
    PeerMessage::Answered(AnswerReport { server: u64::MAX, age_ms: 250, outcome })
}

cases! { survives_encoding;
    first_event => report(AnswerOutcome::Answered(AnswerPart::First, 104)),
    pause => report(AnswerOutcome::Answered(AnswerPart::Pause, 0)),
    refusal => report(AnswerOutcome::Refused),
    ramping_server => PeerMessage::Answer(medlarlanding_core::forwarding::PlaceAnswer {
        number: 7,
        verdict: PlaceVerdict::Ramping(u64::MAX),
        grant: 9,
        queue: None,
    }),
}
