//! Tests of slow start that replay the answers of servers in simulated time.

use std::collections::BTreeMap;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::ids::{InstanceId, stable_hash};
use medlarlanding_core::pacing::{
    AnswerKind, AnswerPart, AnswerSample, InstanceShare, JudgedAnswer, PaceChange, PaceParams,
    PaceReason, PaceScope, PaceTable, RampCause, ServerSight, ServerStanding,
};
use medlarlanding_core::time::Timestamp;

/// Key of the server that starts.
const SERVER: u32 = 1;
/// Key of a server that was there before.
const PEER: u32 = 2;
const KIND: AnswerKind = AnswerKind(7);
/// Length of a step of the simulation in milliseconds.
const STEP_MS: u64 = 5;
/// When the server is first seen, in milliseconds after its peer.
const START_MS: u64 = 60_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + START_MS + millis)
}

/// Behaviour of a server under test.
#[derive(Clone, Copy)]
struct StubServer {
    slots: u32,
    is_stream: bool,
    /// Time of its peers until the answer or its first event, in milliseconds.
    usual_ms: u64,
    /// Time between the first event and the end of the answer, in milliseconds.
    rest_ms: u64,
    /// Factor on the time until the answer, by time since the start in milliseconds and requests open.
    slowness: fn(u64, u32) -> f64,
    /// Whether a request that begins at this time fails.
    fails: fn(u64) -> bool,
}

/// Engine with 24 slots and a prompt of 3,000 tokens.
const ENGINE: StubServer = StubServer {
    slots: 24,
    is_stream: true,
    usual_ms: 250,
    rest_ms: 4_000,
    slowness: |_, _| 1.0,
    fails: |_| false,
};

/// Plain server with 6 slots and 60 ms of work.
const PLAIN: StubServer =
    StubServer { slots: 6, is_stream: false, usual_ms: 60, rest_ms: 0, ..ENGINE };

#[derive(Clone, Copy)]
enum StubEvent {
    Answered { sent_ms: u64, took_ms: u64 },
    Failed,
    Ended,
}

/// One instance, or one coordinator, with the requests that it has open at the server.
struct PaceSim {
    table: PaceTable<u32>,
    stub: StubServer,
    scope: PaceScope,
    open: u32,
    events: BTreeMap<(u64, u64), StubEvent>,
    next_event: u64,
    changes: Vec<(u64, PaceChange)>,
    /// Smallest whole limit that was in force.
    least_limit: u32,
    seen_at: Timestamp,
    standing: ServerStanding,
}

impl PaceSim {
    fn new(stub: StubServer, scope: PaceScope) -> Self {
        let mut table = PaceTable::new(PaceParams::default(), stub.is_stream);
        let sim_start = at(0) - Duration::from_millis(START_MS);
        let sight = ServerSight {
            standing: ServerStanding::Serving,
            slots: stub.slots,
            start_limit: None,
            seen_at: sim_start,
            scope,
            in_use: Some(0),
        };
        assert!(table.observe(sim_start, PEER, sight).is_empty(), "servers of the first list");
        let mut sim = Self {
            table,
            stub,
            scope,
            open: 0,
            events: BTreeMap::new(),
            next_event: 0,
            changes: Vec::new(),
            least_limit: u32::MAX,
            seen_at: at(0),
            standing: ServerStanding::Serving,
        };
        sim.refresh_peers(0);
        sim
    }

    /// The peers keep answering, as fast as usual with a spread of 40 %.
    fn refresh_peers(&mut self, millis: u64) {
        for part in [AnswerPart::First, AnswerPart::Pause] {
            for step in 0..8 {
                let time_ms = self.stub.usual_ms * (80 + 5 * step) / 100;
                let sample = AnswerSample {
                    kind: KIND,
                    part,
                    sent_at: at(millis),
                    time: Duration::from_millis(time_ms),
                };
                self.table.judge(at(millis), PEER, false, &sample);
            }
        }
    }

    fn note(&mut self, millis: u64, changes: impl IntoIterator<Item = PaceChange>) {
        self.changes.extend(changes.into_iter().map(|change| (millis, change)));
    }

    fn observe(&mut self, millis: u64, in_use: u32) {
        let sight = ServerSight {
            standing: self.standing,
            slots: self.stub.slots,
            start_limit: None,
            seen_at: self.seen_at,
            scope: self.scope,
            in_use: (self.scope == PaceScope::Whole).then_some(in_use),
        };
        let changes = self.table.observe(at(millis), SERVER, sight);
        self.note(millis, changes);
        if let Some((_, limit)) = self.table.ramping().find(|(key, _)| *key == SERVER) {
            self.least_limit = self.least_limit.min(limit);
        }
    }

    /// Returns whether the limit lets this instance send a request.
    fn may_send(&self, millis: u64) -> bool {
        let limit = self.table.limit(SERVER);
        limit.is_none_or(|limit| self.open < limit.in_flight && at(millis) >= limit.next_start)
    }

    fn schedule(&mut self, millis: u64, event: StubEvent) {
        self.next_event += 1;
        self.events.insert((millis, self.next_event), event);
    }

    /// Sends one request. `total_open` counts the requests of all instances at the server.
    fn send(&mut self, millis: u64, total_open: u32) {
        self.table.began(at(millis), SERVER);
        self.open += 1;
        if (self.stub.fails)(millis) {
            self.schedule(millis + self.stub.usual_ms, StubEvent::Failed);
            return;
        }
        // Answers of the server spread as those of its peers do.
        let spread = 0.8 + 0.4 * (stable_hash(&millis.to_le_bytes()) % 1000) as f64 / 1000.0;
        let factor = (self.stub.slowness)(millis, total_open + 1) * spread;
        let took_ms = (self.stub.usual_ms as f64 * factor) as u64;
        self.schedule(millis + took_ms, StubEvent::Answered { sent_ms: millis, took_ms });
        self.schedule(millis + took_ms + self.stub.rest_ms, StubEvent::Ended);
    }

    fn handle_due(&mut self, millis: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= millis
        {
            let change = match entry.remove() {
                StubEvent::Answered { sent_ms, took_ms } => {
                    let sample = AnswerSample {
                        kind: KIND,
                        part: AnswerPart::First,
                        sent_at: at(sent_ms),
                        time: Duration::from_millis(took_ms),
                    };
                    let judged = self.table.judge(at(millis), SERVER, false, &sample);
                    self.table.answered(at(millis), SERVER, judged)
                },
                StubEvent::Failed => {
                    self.open -= 1;
                    self.table.failed(at(millis), SERVER)
                },
                StubEvent::Ended => {
                    self.open -= 1;
                    None
                },
            };
            self.note(millis, change);
        }
    }

    /// Runs one instance that always has a request to send, up to the server's slots.
    fn run(&mut self, from_ms: u64, until_ms: u64) {
        for millis in (from_ms..until_ms).step_by(STEP_MS as usize) {
            if millis % 10_000 == 0 {
                self.refresh_peers(millis);
            }
            self.handle_due(millis);
            self.observe(millis, self.open);
            if self.open < self.stub.slots
                && self.standing == ServerStanding::Serving
                && self.may_send(millis)
            {
                self.send(millis, self.open);
            }
        }
    }

    /// Returns when the server last left the ramp.
    fn steady_at(&self) -> Option<u64> {
        let left = self.changes.iter().rev().find(|(_, change)| change.limit.is_none());
        left.filter(|_| !self.table.is_ramping(SERVER)).map(|(millis, _)| *millis)
    }

    fn count(&self, reason: PaceReason) -> usize {
        self.changes.iter().filter(|(_, change)| change.reason == reason).count()
    }
}

/// Guards against a server that answers like its peers and is left idle by its ramp.
fn ramp_is_short((stub, limit_ms): (StubServer, u64)) {
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, 5_000);
    let steady_at = sim.steady_at().expect("a server without faults leaves the ramp");
    assert!(steady_at <= limit_ms, "left the ramp after {steady_at} ms: {:?}", sim.changes);
    assert_eq!(sim.count(PaceReason::Slow), 0);
}

cases! { ramp_is_short;
    stream_of_seconds => (ENGINE, 2_000),
    answer_of_60_ms => (PLAIN, 500),
    stream_with_answers_of_60_ms => (StubServer { usual_ms: 60, rest_ms: 600, ..ENGINE }, 1_500),
    server_with_one_slot => (StubServer { slots: 1, ..PLAIN }, 200),
}

/// Guards against a burst of requests at a server that has just started: without a limit it would get
/// 24 in the first 120 ms.
#[test]
fn start_is_not_a_burst() {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.run(0, 250);
    assert!((1..=4).contains(&sim.open), "{} requests in the first 250 ms", sim.open);
}

/// Guards against a cold server that is overloaded while it is slow, or left idle once it is fast.
fn cold_server_recovers((stub, least_ms, limit_ms): (StubServer, u64, u64)) {
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, limit_ms);
    assert!(sim.least_limit <= stub.slots / 8 + 1, "{:?}", sim.changes);
    let steady_at = sim.steady_at().expect("the server is as fast as its peers");
    assert!((least_ms..limit_ms).contains(&steady_at), "{:?}", sim.changes);
}

cases! { cold_server_recovers;
    engine_slow_for_two_seconds =>
        (StubServer { slowness: |ms, _| if ms < 2_000 { 6.0 } else { 1.0 }, ..ENGINE }, 2_000, 8_000),
    plain_server_slow_for_one_second =>
        (StubServer { slowness: |ms, _| if ms < 1_000 { 6.0 } else { 1.0 }, ..PLAIN }, 1_000, 4_000),
}

/// Guards against a server whose hardware is slower than that of its peers and which is held at one
/// request for ever though fewer requests do not make it faster.
#[test]
fn own_speed_is_accepted() {
    let stub = StubServer { slowness: |_, _| 3.2, ..ENGINE };
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, 60_000);
    assert_eq!(sim.count(PaceReason::OwnSpeed), 1, "{:?}", sim.changes);
    assert!(sim.steady_at().is_some_and(|millis| millis < 40_000), "{:?}", sim.changes);
    assert!(sim.least_limit >= 1);
}

/// Guards against a server far slower than its peers that gets a full load, or none at all.
#[test]
fn very_slow_server_keeps_one_request() {
    let stub = StubServer { slowness: |_, _| 8.0, ..ENGINE };
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, 120_000);
    assert_eq!(sim.least_limit, 1);
    assert!(sim.open <= 3, "{} requests in flight", sim.open);
    let limit = sim.table.limit(SERVER).expect("the server stays in slow start");
    assert!(limit.in_flight >= 1);
    assert!(limit.next_start <= at(120_000) + Duration::from_millis(500));
}

/// Guards against a server that fails requests and gets more of them, and one that works again and is
/// left idle.
#[test]
fn failures_lower_the_limit() {
    let stub = StubServer { fails: |ms| ms < 3_000, ..ENGINE };
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, 3_000);
    assert_eq!(sim.table.ramping().next(), Some((SERVER, 1)));
    sim.run(3_000, 25_000);
    assert!(sim.steady_at().is_some_and(|millis| millis < 20_000), "{:?}", sim.changes);
}

/// Guards against a server that is held back for failures which its peers have as well, such as those of a
/// route whose answers are errors.
fn common_failures_do_not_count((peer_failures, is_lowered): (u32, bool)) {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    for _ in 0..peer_failures {
        assert_eq!(sim.table.failed(at(0), PEER), None);
    }
    sim.observe(0, 6);
    sim.observe(1_000, 6);
    let change = sim.table.failed(at(1_000), SERVER);
    assert_eq!(change.is_some(), is_lowered);
}

cases! { common_failures_do_not_count;
    peers_without_failures => (0, true),
    peers_with_a_rare_failure => (1, true),
    peers_that_fail_too => (8, false),
}

/// Guards against a server that begins its answers quickly, goes on far too slowly and passes for one that
/// is slow in between.
#[test]
fn slower_part_decides() {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.observe(0, 6);
    let mut change = None;
    for millis in 1..=6 {
        let (part, ratio) = match millis % 2 {
            0 => (AnswerPart::First, 1.0),
            _ => (AnswerPart::Pause, 4.0),
        };
        let answer = JudgedAnswer { part, sent_at: at(millis), ratio: Some(ratio) };
        change = change.or(sim.table.answered(at(millis), SERVER, answer));
    }
    assert_eq!(change.map(|change| change.reason), Some(PaceReason::Slow));
}

/// Guards against a server that was avoided, or whose zone was evacuated, and which gets its full load
/// in one burst, or is left idle though it answers like its peers.
fn returns_with_a_short_ramp((standing, cause): (ServerStanding, RampCause)) {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.run(0, 5_000);
    assert!(!sim.table.is_ramping(SERVER));
    sim.standing = standing;
    sim.run(5_000, 12_000);
    assert_eq!(sim.open, 0);
    sim.standing = ServerStanding::Serving;
    sim.run(12_000, 12_020);
    assert_eq!(sim.table.ramping().next(), Some((SERVER, 12)));
    assert_eq!(sim.count(PaceReason::Began(cause)), 1);
    sim.run(12_020, 14_000);
    let steady_at = sim.steady_at().expect("the server answers like its peers");
    assert!(steady_at <= 13_000, "{:?}", sim.changes);
}

cases! { returns_with_a_short_ramp;
    avoided_server => (ServerStanding::Avoided, RampCause::Recovered),
    server_of_restored_zone => (ServerStanding::Evacuated, RampCause::ZoneRestored),
}

/// Guards against a server that is idle at night and is limited in the first burst of the morning.
#[test]
fn idle_server_leaves_the_ramp() {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.observe(0, 0);
    assert!(sim.table.is_ramping(SERVER));
    sim.observe(9_900, 0);
    assert!(sim.table.is_ramping(SERVER));
    sim.observe(10_100, 0);
    assert_eq!(sim.count(PaceReason::Calm), 1);
}

/// Guards against a service whose servers all start at once and have no peers: they are not limited for
/// lack of a comparison.
#[test]
fn answers_without_peers_raise_the_limit() {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.table = PaceTable::new(PaceParams::default(), true);
    let first = ServerSight {
        standing: ServerStanding::Serving,
        slots: 24,
        start_limit: None,
        seen_at: at(0) - Duration::from_millis(START_MS),
        scope: PaceScope::Whole,
        in_use: Some(0),
    };
    sim.table.observe(at(0), PEER, first);
    for millis in (0..5_000).step_by(STEP_MS as usize) {
        sim.handle_due(millis);
        sim.observe(millis, sim.open);
        if sim.open < 24 && sim.may_send(millis) {
            sim.send(millis, sim.open);
        }
    }
    assert!(sim.steady_at().is_some_and(|millis| millis <= 2_000), "{:?}", sim.changes);
}

/// Guards against a new coordinator that cuts a server in the middle of its ramp back to the first
/// limit, or takes it for steady.
#[test]
fn new_coordinator_continues_the_ramp() {
    let mut sim = PaceSim::new(ENGINE, PaceScope::Whole);
    sim.run(0, 900);
    let in_use = sim.open;
    let limit = sim.table.limit(SERVER).expect("the server is ramping").in_flight;
    assert!(in_use > 6 && limit < 24, "limit {limit}, in use {in_use}");
    // The new coordinator has known the server as long, and applied no limit to it.
    let mut next = PaceSim::new(ENGINE, PaceScope::Whole);
    next.observe(900, in_use);
    let adopted = next.table.limit(SERVER).expect("the server is still ramping").in_flight;
    assert!((in_use.max(6)..24).contains(&adopted), "adopted {adopted} with {in_use} in use");
    assert_eq!(next.count(PaceReason::Adopted), 1);
    // It may also have applied its part of the limit while the coordinator did not answer.
    let share = InstanceShare::of_instance(1, InstanceId(1), (2..75).map(InstanceId));
    let mut fallback = PaceSim::new(ENGINE, PaceScope::Divided(share));
    fallback.observe(100, 0);
    fallback.scope = PaceScope::Whole;
    fallback.observe(900, in_use);
    let adopted = fallback.table.limit(SERVER).expect("the server is still ramping").in_flight;
    assert!(adopted >= in_use, "adopted {adopted} with {in_use} in use");
}

/// Instances that decide independently about one server.
struct HerdSim {
    instances: Vec<PaceSim>,
    /// Largest number of requests in flight in each period of `PERIOD_MS`.
    peaks: Vec<u32>,
    sent: u64,
}

/// Length in milliseconds of the periods of which `HerdSim` keeps the peaks.
const PERIOD_MS: u64 = 500;

impl HerdSim {
    fn new(stub: StubServer, count: u64) -> Self {
        let ids = || (1..=count).map(InstanceId);
        let instance = |id| {
            let share = InstanceShare::of_instance(99, id, ids());
            let scope = if count == 1 { PaceScope::Whole } else { PaceScope::Divided(share) };
            PaceSim::new(stub, scope)
        };
        Self { instances: ids().map(instance).collect(), peaks: Vec::new(), sent: 0 }
    }

    /// Every instance gets requests for this server at random intervals with the given mean.
    fn run(&mut self, until_ms: u64, mean_ms: f64) {
        let count = self.instances.len();
        let interval = |index: usize, millis: u64| {
            let hash = stable_hash(&[millis.to_le_bytes(), index.to_le_bytes()].concat());
            let draw = (hash % 1_000_000 + 1) as f64 / 1e6;
            (-draw.ln() * mean_ms) as u64
        };
        let mut next: Vec<u64> = (0..count).map(|index| interval(index, 0)).collect();
        for millis in (0..until_ms).step_by(STEP_MS as usize) {
            if millis % PERIOD_MS == 0 {
                self.peaks.push(0);
            }
            for (index, next_at) in next.iter_mut().enumerate() {
                let sim = &mut self.instances[index];
                if millis % 20_000 == 0 {
                    sim.refresh_peers(millis);
                }
                sim.handle_due(millis);
                if *next_at > millis {
                    continue;
                }
                *next_at = millis + interval(index, millis + 1);
                sim.observe(millis, 0);
                if sim.may_send(millis) {
                    let total = self.instances.iter().map(|sim| sim.open).sum();
                    self.instances[index].send(millis, total);
                    self.sent += 1;
                    let peak = self.peaks.last_mut().expect("a period");
                    *peak = (*peak).max(total + 1);
                }
            }
        }
    }

    fn ramping(&self) -> usize {
        self.instances.iter().filter(|sim| sim.table.is_ramping(SERVER)).count()
    }
}

/// Guards against a herd that sends a burst to a server that has just started, and against one that
/// leaves it idle because most instances never see its answers.
fn herd_ramps_up(count: u64) {
    let mut herd = HerdSim::new(PLAIN, count);
    // 100 requests per second in all, which keep the server's 6 slots busy.
    herd.run(10_000, 10.0 * count as f64);
    assert!(herd.peaks[0] <= 6, "{:?}", herd.peaks);
    assert!(herd.sent > 800, "{} of 1,000 requests", herd.sent);
    let lowered = herd.instances.iter().map(|sim| sim.count(PaceReason::Slow)).sum::<usize>();
    assert_eq!(lowered, 0);
    assert!(herd.ramping() <= count as usize / 10, "{} still ramp", herd.ramping());
}

cases! { herd_ramps_up;
    herd_of_12 => 12,
    herd_of_74 => 74,
}

/// Guards against a herd whose instances each allow a request to a server that stays slow, so that it
/// gets 74 at once, and against one that gives it none.
fn herd_backs_off(count: u64) {
    let stub = StubServer { slowness: |_, open| 8.0 + f64::from(open), ..PLAIN };
    let mut herd = HerdSim::new(stub, count);
    herd.run(120_000, 10.0 * count as f64);
    let late: Vec<u32> = herd.peaks[40..].to_vec();
    let mean = late.iter().sum::<u32>() as f64 / late.len() as f64;
    assert!(mean <= 4.0, "{mean} requests in flight: {late:?}");
    assert!(late.iter().any(|peak| *peak > 0), "the server gets no requests");
    // In every instance some rank first, whose limit leaves them at least one request.
    let first = herd
        .instances
        .iter()
        .filter(|sim| sim.table.limit(SERVER).is_none_or(|limit| limit.in_flight >= 1));
    assert!(first.count() >= 1);
}

cases! { herd_backs_off;
    slow_server_and_12_instances => 12,
    slow_server_and_74_instances => 74,
}

/// Guards against limits that rise and fall without end: an hour of a server that can take 10 of its 24
/// streams, of a plain server that can take 2 of 6 requests, and of sound ones.
fn hour_is_calm((stub, most_decreases): (StubServer, usize)) {
    let mut sim = PaceSim::new(stub, PaceScope::Whole);
    sim.run(0, 3_600_000);
    let decreases = sim.count(PaceReason::Slow) + sim.count(PaceReason::Failed);
    assert!(decreases <= most_decreases, "{decreases} decreases: {:?}", sim.changes);
    let late = sim.changes.iter().filter(|(millis, _)| *millis > 1_800_000).count();
    assert!(late <= most_decreases / 2 + 1, "{late} changes in the second half hour");
}

cases! { hour_is_calm;
    sound_engine => (ENGINE, 0),
    sound_plain_server => (PLAIN, 0),
    engine_with_less_capacity => (
        StubServer {
            slowness: |_, open| if open > 10 { 1.0 + f64::from(open - 10) / 2.0 } else { 1.0 },
            ..ENGINE
        },
        70,
    ),
    plain_server_with_less_capacity => (
        StubServer {
            slowness: |_, open| if open > 2 { 1.0 + f64::from(open - 2) * 2.0 } else { 1.0 },
            ..PLAIN
        },
        70,
    ),
}

/// Guards against limits of independent instances that rise and fall without end.
fn hour_of_herd_is_calm((count, stub, most_changes): (u64, StubServer, usize)) {
    let mut herd = HerdSim::new(stub, count);
    herd.run(3_600_000, 20.0 * count as f64);
    let late = |sim: &PaceSim| sim.changes.iter().filter(|(at, _)| *at > 600_000).count();
    let most = herd.instances.iter().map(late).max().expect("an instance");
    assert!(most <= most_changes, "{most} changes of one instance in 50 minutes");
    assert!(herd.sent > 3_600, "{} requests in an hour", herd.sent);
}

cases! { hour_of_herd_is_calm;
    hour_of_12_and_a_sound_server => (12, PLAIN, 0),
    hour_of_74_and_a_sound_server => (74, PLAIN, 0),
    hour_of_12_and_a_slow_server =>
        (12, StubServer { slowness: |_, open| 8.0 + f64::from(open), ..PLAIN }, 100),
    hour_of_74_and_a_slow_server =>
        (74, StubServer { slowness: |_, open| 8.0 + f64::from(open), ..PLAIN }, 100),
}
