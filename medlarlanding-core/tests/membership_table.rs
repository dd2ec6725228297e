//! Tests the membership table with short fixed sequences of inputs.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::distribution::VersionStatus;
use medlarlanding_core::ids::{Incarnation, InstanceId, InstanceIdentity, ServerId, ZoneId};
use medlarlanding_core::membership::{
    MemberContact, MemberRecord, MemberStatus, MembershipEffect, MembershipInput,
    MembershipMessage, MembershipParams, MembershipTable, MembershipUpdate,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};
use medlarlanding_core::wire::{PeerCodec, PeerFrame, PeerMessage, PeerTransport};

use rand::SeedableRng;
use rand::rngs::SmallRng;

const STARTED: u64 = 1_800_000_000_000;

fn entry(number: u16) -> InstanceEntry {
    let name = format!("entry-{number}");
    let address = SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000));
    InstanceEntry {
        id: InstanceId::from_name(&name),
        name,
        zone: ZoneId::from_name("zone"),
        state: InstanceState::Live,
        udp: address,
        tcp: address,
    }
}

fn identity(number: u16, started: u64) -> InstanceIdentity {
    InstanceIdentity { id: entry(number).id, incarnation: Incarnation::new(started) }
}

struct Fixture {
    table: MembershipTable,
    now: Timestamp,
}

impl Fixture {
    /// Creates the table of instance 0, which has received a frame from each of the instances 1
    /// to `peers`.
    fn new(peers: u16, params: MembershipParams) -> Self {
        let seeds: Vec<_> = (1..=peers).map(entry).collect();
        let rng = SmallRng::seed_from_u64(1);
        let table = MembershipTable::new(params, STARTED, &entry(0), &seeds, rng);
        let mut fixture = Self { table, now: Timestamp::from_millis(1_000_000) };
        fixture.handle(MembershipInput::Tick);
        for number in 1..=peers {
            fixture.handle(MembershipInput::FrameReceived(identity(number, STARTED)));
        }
        fixture
    }

    fn handle(&mut self, input: MembershipInput) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.table.handle(self.now, input, &mut effects);
        effects
    }

    /// Advances the time by `duration` and runs the timers that come due. No peer answers.
    fn advance(&mut self, duration: Duration) -> Vec<MembershipEffect> {
        let end = self.now + duration;
        let mut effects = Vec::new();
        while let Some(at) = self.table.next_wakeup().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.table.handle(self.now, MembershipInput::Tick, &mut effects);
        }
        self.now = end;
        effects
    }

    /// Passes a gossip message from one instance with a record of another.
    fn receive_record(
        &mut self,
        from: u16,
        about: u16,
        record: MemberRecord,
    ) -> Vec<MembershipEffect> {
        let id = entry(about).id;
        let updates = vec![MembershipUpdate::Member { id, record, contact: None }];
        let message = MembershipMessage::Gossip { updates };
        self.handle(MembershipInput::Message { from: identity(from, STARTED), message })
    }

    fn status(&self, number: u16) -> Option<MemberStatus> {
        self.table.record(entry(number).id).map(|record| record.status)
    }
}

fn record(status: MemberStatus, refutations: u32) -> MemberRecord {
    let incarnation = Incarnation { started: STARTED, refutations };
    MemberRecord { incarnation, status, leaving: false }
}

/// Guards against a running process that doesn't refute a suspicion and is recorded as dead.
#[test]
fn refutes_a_suspicion_with_a_higher_counter() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    let effects = fixture.receive_record(1, 0, record(MemberStatus::Suspect, 0));
    let refuted = effects.iter().any(|effect| {
        matches!(effect, MembershipEffect::IdentityChanged(identity)
            if identity.incarnation == Incarnation { started: STARTED, refutations: 1 })
    });
    assert!(refuted, "{effects:?}");
    // The same suspicion from another instance is already refuted.
    fixture.receive_record(2, 0, record(MemberStatus::Suspect, 0));
    assert_eq!(fixture.table.identity().incarnation.refutations, 1);
}

/// Guards against a process that restarts after its wall clock was set back and keeps the earlier
/// start time: the records of its previous process would take precedence over its own.
#[test]
fn exceeds_the_start_time_that_peers_have_recorded() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    let later = MemberRecord::alive(Incarnation::new(STARTED + 500));
    fixture.receive_record(1, 0, later);
    assert_eq!(fixture.table.identity().incarnation, Incarnation::new(STARTED + 501));
}

/// Guards against a restarted peer that never learns that its peers know a later start time: as
/// its frames are dropped, it can only learn it from the answer to them.
#[test]
fn sends_a_replaced_process_the_start_time_to_exceed() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    let old = identity(1, STARTED - 1000);
    let effects = fixture.handle(MembershipInput::FrameReceived(old));
    assert!(fixture.table.is_replaced(old));
    let answered = effects.iter().any(|effect| {
        matches!(effect, MembershipEffect::Send { to, message, .. }
            if *to == old.id && message.updates().iter().any(|update| matches!(
                update, MembershipUpdate::Member { id, record, .. }
                    if *id == old.id && record.incarnation.started == STARTED)))
    });
    assert!(answered, "{effects:?}");
}

/// Guards against running members being recorded as dead at the end of a network partition, when
/// each side reports the other as dead: the member must have time to refute.
#[test]
fn an_alive_member_reported_dead_becomes_suspect_first() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    fixture.receive_record(1, 2, record(MemberStatus::Dead, 0));
    assert_eq!(fixture.status(2), Some(MemberStatus::Suspect));
    fixture.receive_record(3, 2, record(MemberStatus::Dead, 0));
    assert_eq!(fixture.status(2), Some(MemberStatus::Dead));
}

/// Guards against an instance that can send but not receive: it suspects all others, which must
/// be ignored once it is recorded as dead.
#[test]
fn suspicions_of_a_dead_sender_are_ignored() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    fixture.receive_record(2, 1, record(MemberStatus::Suspect, 0));
    fixture.receive_record(2, 1, record(MemberStatus::Dead, 0));
    fixture.receive_record(1, 3, record(MemberStatus::Suspect, 0));
    assert_eq!(fixture.status(3), Some(MemberStatus::Alive));
}

/// Checks the time until a silent peer is recorded as dead: a probe interval, then a suspicion timeout of
/// 3 s with up to 9 instances.
#[test]
fn a_silent_peer_is_suspected_and_then_dead() {
    let mut fixture = Fixture::new(1, MembershipParams::default());
    fixture.advance(Duration::from_millis(2100));
    assert_eq!(fixture.status(1), Some(MemberStatus::Suspect));
    fixture.advance(Duration::from_millis(3100));
    assert_eq!(fixture.status(1), Some(MemberStatus::Dead));
    assert_eq!(fixture.table.live().count(), 0);
}

fn check_pause((limit, survives): (Duration, bool)) {
    let params = MembershipParams { pause_limit: limit, ..MembershipParams::default() };
    let mut fixture = Fixture::new(1, params);
    fixture.advance(Duration::from_millis(2100));
    assert_eq!(fixture.status(1), Some(MemberStatus::Suspect));
    fixture.now = fixture.now + Duration::from_secs(20);
    let effects = fixture.handle(MembershipInput::Tick);
    let paused = effects.iter().any(|effect| matches!(effect, MembershipEffect::Paused(_)));
    assert_eq!(paused, survives);
    assert_eq!(fixture.status(1) != Some(MemberStatus::Dead), survives);
}

cases! { check_pause;
    /// Guards against a paused process that records peers as dead because it didn't read their
    /// answers during the pause.
    a_pause_extends_suspicions => (Duration::from_secs(2), true),
    /// Shows that the suspect is recorded as dead without pause detection.
    without_pause_detection_a_suspect_is_recorded_as_dead => (Duration::from_secs(3600), false),
}

/// Guards against datagrams above the size limit when more updates are queued than fit in one.
#[test]
fn datagrams_stay_within_the_limit_with_many_updates() {
    let codec = PeerCodec::new("secret");
    let mut fixture = Fixture::new(350, MembershipParams::default());
    let mut effects = Vec::new();
    for server in 0..600 {
        let server = ServerId::from_name(&format!("engine-{server}"));
        effects.extend(fixture.handle(MembershipInput::MarkServer { server, leaving: true }));
    }
    // Many servers marked at once must not cause a round of datagrams each.
    assert!(effects.len() < 700, "{} effects", effects.len());
    effects.extend(fixture.advance(Duration::from_secs(5)));
    let ping = MembershipMessage::Ping {
        probe: u32::MAX,
        versions: VersionStatus::default(),
        digest: u32::MAX,
        updates: Vec::new(),
    };
    effects.extend(
        fixture.handle(MembershipInput::Message { from: identity(1, STARTED), message: ping }),
    );
    let mut largest = 0;
    for effect in effects {
        if let MembershipEffect::Send { to, transport, message } = effect {
            let from = fixture.table.identity();
            let message = PeerMessage::Membership(message);
            let frame = PeerFrame { from, to, to_started: Some(u64::MAX), message };
            let bytes = codec.encode(&frame, transport).expect("within the limit");
            if transport == PeerTransport::Datagram {
                largest = largest.max(bytes.len());
            }
        }
    }
    println!("largest datagram: {largest} bytes");
    assert!(largest > 1000, "the largest datagram is too small to test the limit: {largest} bytes");
}

/// Guards against a server that stays marked as leaving after it is back, and against an old mark
/// that replaces a newer one.
#[test]
fn the_newest_mark_of_a_server_wins() {
    let mut fixture = Fixture::new(3, MembershipParams::default());
    let server = ServerId::from_name("engine-1");
    fixture.handle(MembershipInput::MarkServer { server, leaving: true });
    assert!(fixture.table.is_server_leaving(server));
    let effects = fixture.handle(MembershipInput::MarkServer { server, leaving: false });
    let marks: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            MembershipEffect::ServerMarked(mark) => Some(*mark),
            _ => None,
        })
        .collect();
    assert_eq!(marks.len(), 1);
    assert_eq!((marks[0].revision, marks[0].leaving), (2, false));
    let mut old = marks[0];
    (old.revision, old.leaving) = (1, true);
    let message = MembershipMessage::Gossip { updates: vec![MembershipUpdate::Server(old)] };
    fixture.handle(MembershipInput::Message { from: identity(1, STARTED), message });
    assert!(!fixture.table.is_server_leaving(server));
}

/// Guards against a restarted instance that peers reach only at its old address: the list lags
/// behind, and a peer that learns of the restart must not send on the old address as the new one.
#[test]
fn a_restarted_instance_is_reached_at_its_new_address() {
    let mut fixture = Fixture::new(1, MembershipParams::default());
    let moved = entry(9);
    let contact = MemberContact { zone: moved.zone, udp: moved.udp, tcp: moved.tcp };
    let mut effects = fixture.handle(MembershipInput::FrameReceived(identity(1, STARTED + 1)));
    effects.extend(fixture.advance(Duration::from_millis(500)));
    let sent = effects.iter().filter_map(|effect| match effect {
        MembershipEffect::Send { message, .. } => Some(message.updates().to_vec()),
        _ => None,
    });
    for update in sent.flatten() {
        if let MembershipUpdate::Member { id, contact, .. } = update
            && id == entry(1).id
        {
            assert_eq!(contact, None);
        }
    }
    let record = MemberRecord::alive(Incarnation::new(STARTED + 1));
    let updates =
        vec![MembershipUpdate::Member { id: entry(1).id, record, contact: Some(contact) }];
    let message = MembershipMessage::Gossip { updates };
    fixture.handle(MembershipInput::Message { from: identity(1, STARTED + 1), message });
    assert_eq!(fixture.table.contact(entry(1).id), Some(contact));
    // The list still has the old address, which must not replace the announced one.
    let list = InstanceList { version: ListVersion(2), entries: vec![entry(0), entry(1)] };
    fixture.handle(MembershipInput::List(Arc::new(list)));
    assert_eq!(fixture.table.contact(entry(1).id), Some(contact));
}

/// Guards against a suspicion timeout for an instance that announced its exit.
#[test]
fn an_announced_exit_takes_effect_at_once() {
    let mut fixture = Fixture::new(2, MembershipParams::default());
    fixture.handle(MembershipInput::Leave);
    let effects = fixture.handle(MembershipInput::Depart);
    let update = effects.iter().find_map(|effect| match effect {
        MembershipEffect::Send { message, .. } => message.updates().first().copied(),
        _ => None,
    });
    let Some(MembershipUpdate::Member { record, .. }) = update else {
        panic!("no record of the departing member in {effects:?}");
    };
    assert!(record.leaving);
    fixture.receive_record(1, 2, record);
    assert_eq!(fixture.status(2), Some(MemberStatus::Dead));
}

/// Guards against running members being removed when they are no longer listed, and against listed
/// members counting as live although nothing was received from them.
#[test]
fn listed_members_become_peers_but_not_live() {
    let mut fixture = Fixture::new(1, MembershipParams::default());
    let list = InstanceList { version: ListVersion(2), entries: vec![entry(0), entry(5)] };
    fixture.handle(MembershipInput::List(Arc::new(list)));
    let live: Vec<_> = fixture.table.live().map(|live| live.identity.id).collect();
    assert_eq!(live, vec![entry(1).id]);
    let peers: Vec<_> = fixture.table.peers().collect();
    assert_eq!(peers, vec![entry(1).id, entry(5).id]);
}
