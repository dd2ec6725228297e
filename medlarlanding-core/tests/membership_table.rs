//! Guards the state machine of the membership table on sequences written out by hand.

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

struct Bench {
    table: MembershipTable,
    now: Timestamp,
}

impl Bench {
    /// Creates a table of instance 0 that has heard of instances 1 to `peers`.
    fn new(peers: u16, params: MembershipParams) -> Self {
        let seeds: Vec<_> = (1..=peers).map(entry).collect();
        let rng = SmallRng::seed_from_u64(1);
        let table = MembershipTable::new(params, STARTED, &entry(0), &seeds, rng);
        let mut bench = Self { table, now: Timestamp::from_millis(1_000_000) };
        bench.pass(MembershipInput::Tick);
        for number in 1..=peers {
            bench.pass(MembershipInput::Heard(identity(number, STARTED)));
        }
        bench
    }

    fn pass(&mut self, input: MembershipInput) -> Vec<MembershipEffect> {
        let mut effects = Vec::new();
        self.table.handle(self.now, input, &mut effects);
        effects
    }

    /// Runs all timers for a while; no peer answers.
    fn run(&mut self, duration: Duration) -> Vec<MembershipEffect> {
        let end = self.now + duration;
        let mut effects = Vec::new();
        while let Some(at) = self.table.next_wakeup().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.table.handle(self.now, MembershipInput::Tick, &mut effects);
        }
        self.now = end;
        effects
    }

    fn claim(&mut self, from: u16, about: u16, record: MemberRecord) -> Vec<MembershipEffect> {
        let id = entry(about).id;
        let updates = vec![MembershipUpdate::Member { id, record, contact: None }];
        let message = MembershipMessage::Gossip { updates };
        self.pass(MembershipInput::Message { from: identity(from, STARTED), message })
    }

    fn status(&self, number: u16) -> Option<MemberStatus> {
        self.table.record(entry(number).id).map(|record| record.status)
    }
}

fn record(status: MemberStatus, refutations: u32) -> MemberRecord {
    let incarnation = Incarnation { started: STARTED, refutations };
    MemberRecord { incarnation, status, leaving: false }
}

/// Guards against a process that doesn't defend itself and is evicted although it runs.
#[test]
fn refutes_a_suspicion_with_a_higher_counter() {
    let mut bench = Bench::new(3, MembershipParams::default());
    let effects = bench.claim(1, 0, record(MemberStatus::Suspect, 0));
    let raised = effects.iter().any(|effect| {
        matches!(effect, MembershipEffect::IdentityChanged(identity)
            if identity.incarnation == Incarnation { started: STARTED, refutations: 1 })
    });
    assert!(raised, "{effects:?}");
    // A repeated older claim changes nothing.
    bench.claim(2, 0, record(MemberStatus::Suspect, 0));
    assert_eq!(bench.table.identity().incarnation.refutations, 1);
}

/// Guards against a restarted process with a wall clock that went back: its claims would lose
/// against those about its predecessor.
#[test]
fn exceeds_the_start_time_that_peers_hold() {
    let mut bench = Bench::new(3, MembershipParams::default());
    let later = MemberRecord::alive(Incarnation::new(STARTED + 500));
    bench.claim(1, 0, later);
    assert_eq!(bench.table.identity().incarnation, Incarnation::new(STARTED + 501));
}

/// Guards against a peer that never learns that a later process is known: its frames are
/// dropped, so the answer is its only way to find out.
#[test]
fn tells_a_replaced_process_what_it_must_exceed() {
    let mut bench = Bench::new(3, MembershipParams::default());
    let old = identity(1, STARTED - 1000);
    let effects = bench.pass(MembershipInput::Heard(old));
    assert!(bench.table.is_replaced(old));
    let told = effects.iter().any(|effect| {
        matches!(effect, MembershipEffect::Send { to, message, .. }
            if *to == old.id && message.updates().iter().any(|update| matches!(
                update, MembershipUpdate::Member { id, record, .. }
                    if *id == old.id && record.incarnation.started == STARTED)))
    });
    assert!(told, "{effects:?}");
}

/// Guards against evictions at the end of a network partition, when each side claims that the
/// other is dead: the member gets the time to refute.
#[test]
fn a_claim_of_death_about_a_live_member_starts_a_suspicion() {
    let mut bench = Bench::new(3, MembershipParams::default());
    bench.claim(1, 2, record(MemberStatus::Dead, 0));
    assert_eq!(bench.status(2), Some(MemberStatus::Suspect));
    bench.claim(3, 2, record(MemberStatus::Dead, 0));
    assert_eq!(bench.status(2), Some(MemberStatus::Dead));
}

/// Guards against an instance that is cut off on one side: its suspicions of everybody else
/// must not be believed once it counts as dead.
#[test]
fn suspicions_of_a_dead_sender_are_ignored() {
    let mut bench = Bench::new(3, MembershipParams::default());
    bench.claim(2, 1, record(MemberStatus::Suspect, 0));
    bench.claim(2, 1, record(MemberStatus::Dead, 0));
    bench.claim(1, 3, record(MemberStatus::Suspect, 0));
    assert_eq!(bench.status(3), Some(MemberStatus::Alive));
}

/// Guards the time until a silent peer is dead: one probe cycle, then 3 s for up to 9 instances.
#[test]
fn a_silent_peer_is_suspected_and_then_dead() {
    let mut bench = Bench::new(1, MembershipParams::default());
    bench.run(Duration::from_millis(2100));
    assert_eq!(bench.status(1), Some(MemberStatus::Suspect));
    bench.run(Duration::from_millis(3100));
    assert_eq!(bench.status(1), Some(MemberStatus::Dead));
    assert_eq!(bench.table.live().count(), 0);
}

fn check_pause((limit, survives): (Duration, bool)) {
    let params = MembershipParams { pause_limit: limit, ..MembershipParams::default() };
    let mut bench = Bench::new(1, params);
    bench.run(Duration::from_millis(2100));
    assert_eq!(bench.status(1), Some(MemberStatus::Suspect));
    bench.now = bench.now + Duration::from_secs(20);
    let effects = bench.pass(MembershipInput::Tick);
    let paused = effects.iter().any(|effect| matches!(effect, MembershipEffect::Paused(_)));
    assert_eq!(paused, survives);
    assert_eq!(bench.status(1) != Some(MemberStatus::Dead), survives);
}

cases! { check_pause;
    /// Guards against evictions by a process that was paused and read no answers meanwhile.
    a_pause_extends_suspicions => (Duration::from_secs(2), true),
    /// Shows that the check fails without pause detection.
    without_pause_detection_a_pause_evicts => (Duration::from_secs(3600), false),
}

/// Guards against datagrams above the limit when more news waits than fits.
#[test]
fn datagrams_stay_within_the_limit_with_many_updates() {
    let codec = PeerCodec::new("secret");
    let mut bench = Bench::new(350, MembershipParams::default());
    let mut effects = Vec::new();
    for server in 0..600 {
        let server = ServerId::from_name(&format!("engine-{server}"));
        effects.extend(bench.pass(MembershipInput::MarkServer { server, leaving: true }));
    }
    // News about many servers at once must not cause a burst of datagrams per server.
    assert!(effects.len() < 700, "{} effects", effects.len());
    effects.extend(bench.run(Duration::from_secs(5)));
    let ping = MembershipMessage::Ping {
        probe: u32::MAX,
        versions: VersionStatus::default(),
        digest: u32::MAX,
        updates: Vec::new(),
    };
    effects
        .extend(bench.pass(MembershipInput::Message { from: identity(1, STARTED), message: ping }));
    let mut largest = 0;
    for effect in effects {
        if let MembershipEffect::Send { to, transport, message } = effect {
            let from = bench.table.identity();
            let message = PeerMessage::Membership(message);
            let frame = PeerFrame { from, to, to_started: Some(u64::MAX), message };
            let bytes = codec.encode(&frame, transport).expect("within the limit");
            if transport == PeerTransport::Datagram {
                largest = largest.max(bytes.len());
            }
        }
    }
    println!("largest datagram: {largest} bytes");
    assert!(largest > 1000, "the limit is not approached: {largest}");
}

/// Guards against a server that is marked as leaving and never returns, and against an old mark
/// that overrides a newer one.
#[test]
fn the_newest_mark_of_a_server_wins() {
    let mut bench = Bench::new(3, MembershipParams::default());
    let server = ServerId::from_name("engine-1");
    bench.pass(MembershipInput::MarkServer { server, leaving: true });
    assert!(bench.table.is_server_leaving(server));
    let effects = bench.pass(MembershipInput::MarkServer { server, leaving: false });
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
    bench.pass(MembershipInput::Message { from: identity(1, STARTED), message });
    assert!(!bench.table.is_server_leaving(server));
}

/// Guards against a restarted instance that is reached at its old address: the list lags, and
/// whoever heard of the restart first must not spread the old address as the new one.
#[test]
fn a_restarted_instance_is_reached_at_its_new_address() {
    let mut bench = Bench::new(1, MembershipParams::default());
    let moved = entry(9);
    let contact = MemberContact { zone: moved.zone, udp: moved.udp, tcp: moved.tcp };
    let mut effects = bench.pass(MembershipInput::Heard(identity(1, STARTED + 1)));
    effects.extend(bench.run(Duration::from_millis(500)));
    let spread = effects.iter().filter_map(|effect| match effect {
        MembershipEffect::Send { message, .. } => Some(message.updates().to_vec()),
        _ => None,
    });
    for update in spread.flatten() {
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
    bench.pass(MembershipInput::Message { from: identity(1, STARTED + 1), message });
    assert_eq!(bench.table.contact(entry(1).id), Some(contact));
    // A list that lags doesn't bring the old address back.
    let list = InstanceList { version: ListVersion(2), entries: vec![entry(0), entry(1)] };
    bench.pass(MembershipInput::List(Arc::new(list)));
    assert_eq!(bench.table.contact(entry(1).id), Some(contact));
}

/// Guards against a suspicion timeout for an instance that announced its end.
#[test]
fn an_announced_end_takes_effect_at_once() {
    let mut bench = Bench::new(2, MembershipParams::default());
    bench.pass(MembershipInput::Leave);
    let effects = bench.pass(MembershipInput::Depart);
    let claim = effects.iter().find_map(|effect| match effect {
        MembershipEffect::Send { message, .. } => message.updates().first().copied(),
        _ => None,
    });
    let Some(MembershipUpdate::Member { record, .. }) = claim else {
        panic!("no claim in {effects:?}");
    };
    assert!(record.leaving);
    bench.claim(1, 2, record);
    assert_eq!(bench.status(2), Some(MemberStatus::Dead));
}

/// Guards against members that vanish from the list being forgotten while they run, and against
/// listed members that were never heard counting as live.
#[test]
fn the_list_adds_peers_but_not_live_ones() {
    let mut bench = Bench::new(1, MembershipParams::default());
    let list = InstanceList { version: ListVersion(2), entries: vec![entry(0), entry(5)] };
    bench.pass(MembershipInput::List(Arc::new(list)));
    let live: Vec<_> = bench.table.live().map(|live| live.identity.id).collect();
    assert_eq!(live, vec![entry(1).id]);
    let peers: Vec<_> = bench.table.peers().collect();
    assert_eq!(peers, vec![entry(1).id, entry(5).id]);
}
