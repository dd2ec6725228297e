//! Random tests of the datagrams between instances of the forwarding role.

mod random_runs;

use std::net::SocketAddr;
use std::sync::Arc;

use medlarlanding_core::forwarding::{
    AnswerOutcome, AnswerReport, ColdQuestion, ColdReport, DirectoryChange, EvacuationSync,
    EvacuationTable, FleetNote, LoadReport, PeerDigest, PeerMessage, PeerTable, PeerTableParams,
    PlainSpeed, RelayedMessage, ServerChanges, ServerEntry, ServerPhase, SpeedReport, SpeedSums,
    StoreEra, SyncPurpose, ZoneEntry, ZoneEntryState, ZoneKey,
};
use medlarlanding_core::pacing::AnswerPart;
use medlarlanding_core::time::Timestamp;

use quickcheck::TestResult;

/// Random cases for each seed in CI; `MEDLARLANDING_TEST_FACTOR` multiplies them.
const CASES: u64 = 20_000;

fn address(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 1, 0, number], 7200))
}

fn evacuations() -> EvacuationSync {
    let zone = Arc::from("regina");
    let entry = ZoneEntry { zone, revision: 5, state: ZoneEntryState::Evacuated };
    let mut table = EvacuationTable::default();
    table.read_snapshot(&[entry], 8);
    EvacuationSync { table, purpose: SyncPurpose::Ask(3), era: StoreEra::stated(4) }
}
const COLD: ColdReport = ColdReport { server: 7, remaining_ms: 900 };

fn messages() -> Vec<PeerMessage> {
    let entry = ServerEntry {
        id: Arc::from("i-1"),
        service: Arc::from("llm"),
        address: address(9),
        zone: Arc::from("z"),
        slots: 24,
        phase: ServerPhase::Ready,
        born_millis: 1,
    };
    let changes = vec![DirectoryChange::Written(entry), DirectoryChange::Removed(Arc::from("i-2"))];
    let servers = PeerMessage::Servers(ServerChanges {
        after: 3,
        revision: 9,
        changes,
        cold: vec![COLD],
        era: StoreEra::stated(4),
    });
    let sums = SpeedSums { weight: 16, log_sum: -40 };
    let speed = SpeedReport { start: 9, token: sums, first: SpeedSums::default() };
    let load = LoadReport {
        server: 7,
        requests: 1,
        tokens: 2_000,
        waiting_tokens: 100,
        growth: 50,
        speed: Some(speed),
    };
    let digest = PeerDigest {
        sender: address(2),
        boot: 5,
        sequence: 6,
        strength: 100,
        reaches_store: true,
        config_version: 3,
        servers_revision: 9,
        era: StoreEra::stated(4),
        evacuations: 0,
        peers: vec![address(3), address(4)],
        granted: 8,
        loads: vec![load],
        fleet: Some(FleetNote { instances: 60, coordinator: 7 }),
        zone: ZoneKey::of("z"),
    };
    let relayed = RelayedMessage {
        targets: vec![address(5)],
        message: postcard::to_stdvec(&servers).expect("a datagram"),
    };
    vec![
        PeerMessage::Digest(digest),
        servers,
        PeerMessage::Leaving(vec![1, 2, 3]),
        PeerMessage::Fault(4),
        PeerMessage::Relayed(relayed),
        PeerMessage::Unresponsive(4),
        PeerMessage::Evacuations(evacuations()),
        PeerMessage::Cold(vec![COLD]),
        PeerMessage::ColdQuestion(ColdQuestion { number: 4, server: 7 }),
        PeerMessage::Speeds(vec![PlainSpeed { server: 7, start: 9, percent: 500 }]),
        PeerMessage::Answered(AnswerReport {
            server: 7,
            age_ms: 250,
            outcome: AnswerOutcome::Answered(AnswerPart::First, 104),
        }),
    ]
}

/// Guards against an upgrade in which the news of instances of the version before is dropped: it does not
/// state the history of the store, as the last field of a message.
#[test]
fn messages_without_a_history_are_decoded() {
    let without = |message: PeerMessage| {
        let bytes = postcard::to_stdvec(&message).expect("a datagram");
        PeerMessage::decode(&bytes[..bytes.len() - 1]).expect("a message of the version before")
    };
    let unstated = |message: &mut PeerMessage| match message {
        PeerMessage::Digest(digest) | PeerMessage::ZoneDigest(digest) => {
            digest.era = StoreEra::UNSTATED;
        },
        PeerMessage::PassedDigest(digest) => digest.era = StoreEra::UNSTATED,
        PeerMessage::Servers(changes) => changes.era = StoreEra::UNSTATED,
        PeerMessage::Evacuations(sync) => sync.era = StoreEra::UNSTATED,
        other => panic!("{other:?} has no history"),
    };
    let stated = |message: &PeerMessage| {
        matches!(message, PeerMessage::Digest(_) | PeerMessage::Servers(_))
            || matches!(message, PeerMessage::Evacuations(_))
    };
    let mut checked: Vec<PeerMessage> = messages().into_iter().filter(stated).collect();
    if let Some(PeerMessage::Digest(digest)) = checked.first().cloned() {
        checked.push(PeerMessage::ZoneDigest(digest.clone()));
        checked.push(PeerMessage::PassedDigest(digest));
    }
    assert_eq!(checked.len(), 5);
    for mut message in checked {
        let decoded = without(message.clone());
        assert_ne!(decoded, message);
        unstated(&mut message);
        assert_eq!(decoded, message);
    }
}

/// Guards against datagrams of a faulty sender that end an instance, and against decoded values that
/// take more memory than the datagram explains.
#[test]
fn damaged_datagrams_are_dropped_or_decoded() {
    fn property(choice: usize, length: usize, edits: Vec<(usize, u8)>) -> TestResult {
        let all = messages();
        let mut bytes = postcard::to_stdvec(&all[choice % all.len()]).expect("a datagram");
        bytes.truncate(bytes.len() - length % bytes.len());
        for (position, value) in edits.into_iter().take(8) {
            let position = position % bytes.len();
            bytes[position] = value;
        }
        let Ok(message) = postcard::from_bytes::<PeerMessage>(&bytes) else {
            return TestResult::passed();
        };
        let again = postcard::to_stdvec(&message).expect("a decoded message can be encoded");
        let has_bounded_size = again.len() <= bytes.len() + 64;
        if let PeerMessage::Evacuations(sync) = &message {
            evacuations().table.merge(&sync.table);
        }
        if let PeerMessage::Digest(digest) = message {
            let mut table =
                PeerTable::new(PeerTableParams::default(), address(1), 100, vec![address(2)]);
            table.receive(Timestamp::from_millis(1), digest);
            table.targets(Timestamp::from_millis(2), 1);
        }
        TestResult::from_bool(has_bounded_size)
    }
    let property: fn(usize, usize, Vec<(usize, u8)>) -> TestResult = property;
    random_runs::check("damaged datagrams", &[71, 72], CASES, 40, property);
}

/// Guards against random bytes that end an instance.
#[test]
fn random_bytes_are_dropped_or_decoded() {
    fn property(bytes: Vec<u8>) -> bool {
        postcard::from_bytes::<PeerMessage>(&bytes)
            .map_or(true, |message| postcard::to_stdvec(&message).is_ok())
    }
    let property: fn(Vec<u8>) -> bool = property;
    random_runs::check("random datagrams", &[73, 74], CASES, 200, property);
}
