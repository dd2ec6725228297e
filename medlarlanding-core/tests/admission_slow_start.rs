//! Slow start of engines in the admission controller of their manager.

use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionInput, AdmissionParams, AdmissionRequest,
    ServerCapacity,
};
use medlarlanding_core::config::DeskObjective;
use medlarlanding_core::ids::{
    CustomerId, Incarnation, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId,
};
use medlarlanding_core::pacing::{PaceChange, PaceReason, RampCause};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;

const OWN: InstanceId = InstanceId(1);
const PEER: ServerId = ServerId(1);
const JOINED: ServerId = ServerId(2);
const MAX_BATCH: u32 = 16;
/// Time of a step of the simulation.
const STEP: Duration = Duration::from_millis(50);

struct RunningCall {
    server: ServerId,
    started_at: Timestamp,
}

/// An instance that manages two engines and always has requests for them.
struct SlowStartSim {
    controller: AdmissionController,
    now: Timestamp,
    effects: Vec<AdmissionEffect>,
    next: u64,
    open: u32,
    running: IndexMap<u64, RunningCall>,
    slow_start: Option<u32>,
    changes: Vec<(Timestamp, ServerId, PaceChange)>,
    /// Time per token in milliseconds at the engine that joined.
    joined_token_ms: u64,
    /// Tokens of each request.
    tokens: u64,
}

/// Tokens of each request unless a test sets another number.
const TOKENS: u64 = 60;
/// Time per token of the other engine in milliseconds.
const TOKEN_MS: u64 = 30;

impl SlowStartSim {
    fn new(slow_start: Option<u32>) -> Self {
        let own = InstanceIdentity { id: OWN, incarnation: Incarnation::new(1) };
        let controller = AdmissionController::new(AdmissionParams::default(), own, 5);
        let mut sim = Self {
            controller,
            now: Timestamp::from_millis(1_000),
            effects: Vec::new(),
            next: 1,
            open: 0,
            running: IndexMap::new(),
            slow_start,
            changes: Vec::new(),
            joined_token_ms: TOKEN_MS,
            tokens: TOKENS,
        };
        sim.input(AdmissionInput::Live(vec![own]));
        sim.set_servers(&[(PEER, true)]);
        sim
    }

    fn set_servers(&mut self, servers: &[(ServerId, bool)]) {
        let capacities = servers.iter().map(|&(server, accepting)| ServerCapacity {
            server,
            kv_tokens: 1_000_000,
            max_batch: MAX_BATCH,
            accepting,
            slow_start: self.slow_start,
        });
        self.input(AdmissionInput::Servers(capacities.collect()));
    }

    fn input(&mut self, input: AdmissionInput) {
        self.controller.handle(self.now, input, &mut self.effects);
        for effect in std::mem::take(&mut self.effects) {
            match effect {
                AdmissionEffect::Granted { request, server, .. } => {
                    let call = RunningCall { server, started_at: self.now };
                    self.running.insert(request.number, call);
                },
                AdmissionEffect::Refused { .. } => self.open -= 1,
                AdmissionEffect::PaceChanged { server, change } => {
                    self.changes.push((self.now, server, change));
                },
                AdmissionEffect::Send { .. } => {},
            }
        }
    }

    fn id(number: u64) -> RequestId {
        RequestId { instance: OWN, started: 1, number }
    }

    fn request(&mut self) {
        let number = self.next;
        self.next += 1;
        self.open += 1;
        self.input(AdmissionInput::Request(Box::new(AdmissionRequest {
            request: Self::id(number),
            route: RouteId(1),
            candidates: vec![PEER, JOINED],
            customer: CustomerId(1),
            share: 1,
            open_limit: 1_000,
            prompt_tokens: 50,
            max_tokens: 100,
            priority: 5,
            objective: DeskObjective::FewestPreemptions,
            deadline: self.now + Duration::from_secs(60),
            prefix: None,
        })));
    }

    /// Keeps `open` requests open for a time.
    fn run(&mut self, time: Duration, open: u32) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + STEP;
            while self.open < open {
                self.request();
            }
            let numbers: Vec<u64> = self.running.keys().copied().collect();
            for number in numbers {
                let call = &self.running[&number];
                let token_ms = if call.server == JOINED { self.joined_token_ms } else { TOKEN_MS };
                let elapsed = self.now.since(call.started_at).as_millis() as u64;
                let decoded = (elapsed / token_ms).min(self.tokens) as u32;
                let request = Self::id(number);
                if u64::from(decoded) == self.tokens {
                    self.running.swap_remove(&number);
                    self.open -= 1;
                    let finished = AdmissionInput::Finished { request, decoded, natural_end: true };
                    self.input(finished);
                } else {
                    self.input(AdmissionInput::Progress { request, decoded });
                }
            }
            self.input(AdmissionInput::Tick);
        }
    }

    fn running_at(&self, server: ServerId) -> usize {
        self.running.values().filter(|call| call.server == server).count()
    }

    /// Runs until the engine that joined has requests, and returns how many it got at once. A new account
    /// grants none before its warm-up of 3 s ends.
    fn first_batch(&mut self) -> usize {
        for _ in 0..100 {
            self.run(STEP, 80);
            if self.running_at(JOINED) > 0 {
                self.run(STEP, 80);
                return self.running_at(JOINED);
            }
        }
        panic!("no requests in 5 s: {:?}", self.changes);
    }

    /// Runs the first engine alone for a time and then adds the second.
    fn join(&mut self) {
        self.run(Duration::from_secs(8), 40);
        self.set_servers(&[(PEER, true), (JOINED, true)]);
    }

    fn reasons(&self) -> Vec<PaceReason> {
        let joined = self.changes.iter().filter(|(_, server, _)| *server == JOINED);
        joined.map(|(_, _, change)| change.reason).collect()
    }
}

/// Guards against an engine that joins and gets its whole batch at once, or never gets it.
#[test]
fn joined_engine_starts_slowly() {
    let mut sim = SlowStartSim::new(Some(2));
    sim.join();
    assert_eq!(sim.first_batch(), 2);
    sim.run(Duration::from_secs(12), 40);
    let begun = PaceReason::Began(RampCause::Started);
    assert_eq!(sim.reasons(), [begun, PaceReason::Full], "{:?}", sim.changes);
    assert_eq!(sim.running_at(JOINED), MAX_BATCH as usize);
    assert!(sim.changes.iter().all(|(_, server, _)| *server == JOINED), "{:?}", sim.changes);
}

/// Guards against an engine that keeps its first limit because its answers end between two reports to its
/// manager, 500 ms apart.
#[test]
fn short_answers_raise_the_limit() {
    let mut sim = SlowStartSim::new(Some(2));
    sim.tokens = 1;
    sim.join();
    sim.first_batch();
    sim.run(Duration::from_secs(4), 80);
    assert!(sim.reasons().contains(&PaceReason::Full), "{:?}", sim.changes);
}

/// Guards against slow start where the configuration does not ask for it.
#[test]
fn without_the_key_nothing_is_limited() {
    let mut sim = SlowStartSim::new(None);
    sim.join();
    assert_eq!(sim.first_batch(), MAX_BATCH as usize);
    assert_eq!(sim.changes, []);
}

/// Guards against an engine that decodes far more slowly than the others and still gets its whole batch, and
/// against one that is left without requests.
#[test]
fn slow_engine_gets_few_requests() {
    let mut sim = SlowStartSim::new(Some(2));
    sim.joined_token_ms = TOKEN_MS * 16;
    sim.join();
    let mut most = 0;
    let mut least = usize::MAX;
    for second in 0..60 {
        sim.run(Duration::from_secs(1), 40);
        if second > 5 {
            most = most.max(sim.running_at(JOINED));
            least = least.min(sim.running_at(JOINED));
        }
    }
    assert!(sim.reasons().contains(&PaceReason::Slow), "{:?}", sim.changes);
    assert!(most <= 8, "{most} requests at the slow engine: {:?}", sim.changes);
    assert!(least >= 1, "the slow engine was left without requests: {:?}", sim.changes);
}

/// Guards against an engine that was suspected and gets its whole batch in one burst.
#[test]
fn suspected_engine_returns_slowly() {
    let mut sim = SlowStartSim::new(Some(2));
    sim.join();
    sim.run(Duration::from_secs(12), 40);
    sim.input(AdmissionInput::ServerSuspect(JOINED));
    sim.run(Duration::from_millis(6_000), 40);
    let recovered = PaceReason::Began(RampCause::Recovered);
    assert!(sim.reasons().contains(&recovered), "{:?}", sim.changes);
    sim.run(Duration::from_secs(12), 40);
    assert_eq!(sim.running_at(JOINED), MAX_BATCH as usize);
}

/// Guards against an engine that left and came back and counts as one that was there all the time.
#[test]
fn returned_engine_starts_slowly() {
    let mut sim = SlowStartSim::new(Some(2));
    sim.join();
    sim.run(Duration::from_secs(12), 40);
    sim.set_servers(&[(PEER, true), (JOINED, false)]);
    sim.run(Duration::from_secs(12), 40);
    assert_eq!(sim.running_at(JOINED), 0);
    sim.set_servers(&[(PEER, true), (JOINED, true)]);
    assert_eq!(sim.first_batch(), 2);
}
