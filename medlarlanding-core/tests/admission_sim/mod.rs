//! Simulation of a fleet of admission controllers with a faulty network, in virtual time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionInput, AdmissionMessage, AdmissionParams,
    AdmissionRequest, ServerCapacity,
};
use medlarlanding_core::config::DeskObjective;
use medlarlanding_core::ids::{
    CustomerId, Incarnation, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Configuration of a simulated run.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub instances: usize,
    pub servers: usize,
    pub customers: usize,
    pub kv_tokens: u64,
    pub max_batch: u32,
    pub open_limit: u32,
    /// Requests per second over all instances.
    pub rate: f64,
    /// Time during which requests arrive.
    pub arrivals: Duration,
    /// Probability that a message is lost.
    pub loss: f64,
    /// Probability that a message is delivered twice.
    pub doubled: f64,
    /// Probability that a copy is delayed by up to 20 s instead of up to 2 ms.
    pub late: f64,
    /// Number of times that an instance is killed. The last live instance is spared.
    pub kills: usize,
    /// Number of times that an instance pauses, for 0.5 s to 15 s each.
    pub pauses: usize,
    pub params: AdmissionParams,
}

impl Default for FleetPlan {
    fn default() -> Self {
        Self {
            instances: 5,
            servers: 4,
            customers: 3,
            kv_tokens: 20_000,
            max_batch: 16,
            open_limit: 40,
            rate: 8.0,
            arrivals: Duration::from_secs(30),
            loss: 0.0,
            doubled: 0.0,
            late: 0.0,
            kills: 0,
            pauses: 0,
            params: AdmissionParams::default(),
        }
    }
}

enum FleetEvent {
    Wake(usize),
    Deliver(usize, InstanceIdentity, AdmissionMessage),
    Arrive,
    Kill(usize),
    Pause(usize, Duration),
    /// The instance receives the present list of live instances.
    UpdateLive(usize),
    Token(usize, u64),
    SetServers(Vec<ServerCapacity>),
}

struct RunningWork {
    server: ServerId,
    customer: CustomerId,
    decoded: u32,
    length: u32,
}

struct FleetMember {
    identity: InstanceIdentity,
    controller: AdmissionController,
    alive: bool,
    paused_until: Timestamp,
    waiting: BTreeMap<u64, AdmissionRequest>,
    running: BTreeMap<u64, RunningWork>,
    next_number: u64,
    wake_at: Option<Timestamp>,
}

/// Counts and maxima of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetOutcome {
    pub requests: u64,
    pub granted: u64,
    pub refused: u64,
    pub completed: u64,
    /// Refusals at or after the deadline.
    pub late_refusals: u64,
    pub largest_batch: usize,
    pub largest_open: usize,
    pub largest_datagram: usize,
    /// Grants at a server after it was closed.
    pub grants_at_closed: u64,
    /// Permits and queue entries left at live instances at the end of the run.
    pub permits_left: usize,
    /// Open requests left at live instances at the end of the run.
    pub open_left: usize,
}

/// A fleet with its network and its engines.
pub struct FleetSim {
    plan: FleetPlan,
    random: SmallRng,
    now: Timestamp,
    /// Number of events scheduled so far; orders events of the same time.
    order: u64,
    events: BTreeMap<(Timestamp, u64), FleetEvent>,
    members: Vec<FleetMember>,
    servers: Vec<ServerCapacity>,
    closed: BTreeMap<ServerId, Timestamp>,
    pub outcome: FleetOutcome,
}

impl FleetSim {
    pub fn new(plan: FleetPlan, seed: u64) -> Self {
        let servers: Vec<_> = (0..plan.servers)
            .map(|at| ServerCapacity {
                server: ServerId::from_name(&format!("server-{at}")),
                kv_tokens: plan.kv_tokens,
                max_batch: plan.max_batch,
                accepting: true,
                slow_start: None,
            })
            .collect();
        let members = (0..plan.instances)
            .map(|at| {
                let id = InstanceId::from_name(&format!("instance-{at}"));
                let identity = InstanceIdentity { id, incarnation: Incarnation::new(1000) };
                FleetMember {
                    identity,
                    controller: AdmissionController::new(
                        plan.params.clone(),
                        identity,
                        seed ^ at as u64,
                    ),
                    alive: true,
                    paused_until: Timestamp::default(),
                    waiting: BTreeMap::new(),
                    running: BTreeMap::new(),
                    next_number: 0,
                    wake_at: None,
                }
            })
            .collect();
        let random = SmallRng::seed_from_u64(seed);
        let start = Timestamp::from_millis(1000);
        let mut sim = Self {
            plan,
            random,
            now: start,
            order: 0,
            events: BTreeMap::new(),
            members,
            servers,
            closed: BTreeMap::new(),
            outcome: FleetOutcome::default(),
        };
        sim.plan_events(start);
        sim
    }

    fn plan_events(&mut self, start: Timestamp) {
        for at in 0..self.members.len() {
            let servers = self.servers.clone();
            self.input(at, AdmissionInput::Servers(servers));
            self.update_live(at);
        }
        self.schedule(start + Duration::from_millis(10), FleetEvent::Arrive);
        let span = self.plan.arrivals.as_millis() as u64;
        for _ in 0..self.plan.kills {
            let at = self.random.random_range(0..self.members.len());
            let time = start + Duration::from_millis(self.random.random_range(span / 4..span));
            self.schedule(time, FleetEvent::Kill(at));
        }
        for _ in 0..self.plan.pauses {
            let at = self.random.random_range(0..self.members.len());
            let time = start + Duration::from_millis(self.random.random_range(0..span));
            let length = Duration::from_millis(self.random.random_range(500..15_000));
            self.schedule(time, FleetEvent::Pause(at, length));
        }
    }

    /// Schedules a configuration in which a server accepts no new requests, `after` from now.
    pub fn close_server(&mut self, at: usize, after: Duration) {
        let mut servers = self.servers.clone();
        servers[at].accepting = false;
        let time = self.now + after;
        self.closed.insert(servers[at].server, time);
        self.schedule(time, FleetEvent::SetServers(servers));
    }

    fn schedule(&mut self, time: Timestamp, event: FleetEvent) {
        self.order += 1;
        self.events.insert((time, self.order), event);
    }

    /// Runs for 200 s after the last arrival. By then all requests have ended and all permits must
    /// have lapsed.
    pub fn run(&mut self) -> FleetOutcome {
        let end = self.now + self.plan.arrivals + Duration::from_secs(200);
        while let Some((&(time, order), _)) = self.events.first_key_value() {
            if time > end {
                break;
            }
            self.now = time;
            if let Some(event) = self.events.remove(&(time, order)) {
                self.process(event);
            }
        }
        for member in self.members.iter().filter(|member| member.alive) {
            let dump = member.controller.dump();
            self.outcome.permits_left +=
                dump.accounts.iter().map(|a| a.permits.len() + a.queued).sum::<usize>();
            self.outcome.open_left += dump.open.len();
        }
        self.outcome.clone()
    }

    fn process(&mut self, event: FleetEvent) {
        match event {
            FleetEvent::Wake(at) => {
                self.members[at].wake_at = None;
                self.input(at, AdmissionInput::Tick);
            },
            FleetEvent::Deliver(at, from, message) => {
                self.input(at, AdmissionInput::Message { from, message });
            },
            FleetEvent::Arrive => self.arrive(),
            FleetEvent::Kill(at) => {
                if self.members.iter().filter(|member| member.alive).count() > 1 {
                    self.members[at].alive = false;
                    for other in 0..self.members.len() {
                        let delay = self.random.random_range(2000..5000);
                        let time = self.now + Duration::from_millis(delay);
                        self.schedule(time, FleetEvent::UpdateLive(other));
                    }
                }
            },
            FleetEvent::Pause(at, length) => {
                self.members[at].paused_until = self.now + length;
            },
            FleetEvent::UpdateLive(at) => self.update_live(at),
            FleetEvent::Token(at, number) => self.token(at, number),
            FleetEvent::SetServers(servers) => {
                self.servers = servers.clone();
                for at in 0..self.members.len() {
                    self.input(at, AdmissionInput::Servers(servers.clone()));
                }
            },
        }
    }

    fn update_live(&mut self, at: usize) {
        let live: Vec<_> =
            self.members.iter().filter(|m| m.alive).map(|member| member.identity).collect();
        self.input(at, AdmissionInput::Live(live));
    }

    fn arrive(&mut self) {
        let gap = -(1.0 - self.random.random::<f64>()).ln() / self.plan.rate;
        let next = self.now + Duration::from_secs_f64(gap);
        if next < Timestamp::from_millis(1000) + self.plan.arrivals {
            self.schedule(next, FleetEvent::Arrive);
        }
        let live: Vec<_> = (0..self.members.len())
            .filter(|&at| self.members[at].alive && self.members[at].paused_until <= self.now)
            .collect();
        if live.is_empty() {
            return;
        }
        let at = live[self.random.random_range(0..live.len())];
        let customer = self.random.random_range(0..self.plan.customers);
        let short = self.random.random_bool(0.5);
        let deadline = self.now + Duration::from_millis(if short { 10_000 } else { 60_000 });
        let member = &mut self.members[at];
        member.next_number += 1;
        let number = member.next_number;
        let request = AdmissionRequest {
            request: RequestId {
                instance: member.identity.id,
                started: member.identity.incarnation.started,
                number,
            },
            route: RouteId(u64::from(short)),
            candidates: self.servers.iter().map(|server| server.server).collect(),
            customer: CustomerId(customer as u64),
            share: 1 + customer as u32,
            open_limit: self.plan.open_limit,
            prompt_tokens: self.random.random_range(20..600),
            max_tokens: 2000,
            priority: if short { 7 } else { 2 },
            objective: if short {
                DeskObjective::LeastStall
            } else {
                DeskObjective::FewestPreemptions
            },
            deadline,
            prefix: self.random.random_bool(0.5).then(|| self.random.random_range(0..5)),
        };
        member.waiting.insert(number, request.clone());
        self.outcome.requests += 1;
        self.input(at, AdmissionInput::Request(Box::new(request)));
    }

    fn token(&mut self, at: usize, number: u64) {
        if !self.members[at].alive {
            return;
        }
        if self.members[at].paused_until > self.now {
            let time = self.members[at].paused_until;
            self.schedule(time, FleetEvent::Token(at, number));
            return;
        }
        let member = &mut self.members[at];
        let Some(work) = member.running.get_mut(&number) else { return };
        // Decoding five tokens per event keeps the runs fast in debug builds.
        work.decoded = (work.decoded + 5).min(work.length);
        let (decoded, ended) = (work.decoded, work.decoded >= work.length);
        let request = RequestId {
            instance: member.identity.id,
            started: member.identity.incarnation.started,
            number,
        };
        if ended {
            member.running.remove(&number);
            self.outcome.completed += 1;
            self.input(at, AdmissionInput::Finished { request, decoded, natural_end: true });
        } else {
            self.input(at, AdmissionInput::Progress { request, decoded });
            let time = self.now + Duration::from_millis(125);
            self.schedule(time, FleetEvent::Token(at, number));
        }
    }

    fn input(&mut self, at: usize, input: AdmissionInput) {
        if !self.members[at].alive {
            return;
        }
        let paused = self.members[at].paused_until;
        if paused > self.now {
            // Input that arrives during a pause is buffered until its end.
            match input {
                AdmissionInput::Message { from, message } => {
                    self.schedule(paused, FleetEvent::Deliver(at, from, message));
                },
                AdmissionInput::Live(_) => self.schedule(paused, FleetEvent::UpdateLive(at)),
                AdmissionInput::Servers(servers) => {
                    self.schedule(paused, FleetEvent::SetServers(servers));
                },
                _ => self.wake(at, paused),
            }
            return;
        }
        let mut effects = Vec::new();
        self.members[at].controller.handle(self.now, input, &mut effects);
        for effect in effects {
            self.effect(at, effect);
        }
        if let Some(time) = self.members[at].controller.next_wakeup() {
            self.wake(at, time.max(self.now));
        }
        self.measure();
    }

    fn wake(&mut self, at: usize, time: Timestamp) {
        if self.members[at].wake_at.is_none_or(|known| time < known || known < self.now) {
            self.members[at].wake_at = Some(time);
            self.schedule(time, FleetEvent::Wake(at));
        }
    }

    fn effect(&mut self, at: usize, effect: AdmissionEffect) {
        match effect {
            AdmissionEffect::Send { to, message } => self.send(at, to, message),
            AdmissionEffect::Granted { request, server, start_by } => {
                let now = self.now;
                assert!(start_by > now, "a grant must leave time to start");
                if self.closed.get(&server).is_some_and(|&closed| now > closed) {
                    self.outcome.grants_at_closed += 1;
                }
                let length = if self.random.random_bool(0.1) { 900 } else { 60 };
                let length = self.random.random_range(5..length);
                let member = &mut self.members[at];
                let asked = member.waiting.remove(&request.number);
                let asked = asked.expect("only a waiting request may be granted, and only once");
                self.outcome.granted += 1;
                let work = RunningWork { server, customer: asked.customer, decoded: 0, length };
                member.running.insert(request.number, work);
                self.schedule(
                    now + Duration::from_millis(200),
                    FleetEvent::Token(at, request.number),
                );
            },
            // No engine of these runs starts slowly.
            AdmissionEffect::PaceChanged { server, .. } => {
                panic!("server {server:?} has a limit without slow start")
            },
            AdmissionEffect::Refused { request, .. } => {
                let asked = self.members[at].waiting.remove(&request.number);
                let asked = asked.expect("only a waiting request may be refused, and only once");
                self.outcome.refused += 1;
                if self.now >= asked.deadline {
                    self.outcome.late_refusals += 1;
                }
            },
        }
    }

    fn send(&mut self, at: usize, to: InstanceIdentity, message: AdmissionMessage) {
        let from = self.members[at].identity;
        let size = encoded_size(from, to, &message);
        self.outcome.largest_datagram = self.outcome.largest_datagram.max(size);
        let Some(target) = self.members.iter().position(|member| member.identity == to) else {
            return;
        };
        if self.random.random_bool(self.plan.loss) {
            return;
        }
        let copies = 1 + usize::from(self.random.random_bool(self.plan.doubled));
        for _ in 0..copies {
            let late = self.random.random_bool(self.plan.late);
            let delay = if late { 20_000_000 } else { 2000 };
            let delay = Duration::from_micros(self.random.random_range(500..delay));
            let event = FleetEvent::Deliver(target, from, message.clone());
            self.schedule(self.now + delay, event);
        }
    }

    fn measure(&mut self) {
        let mut batches: BTreeMap<ServerId, usize> = BTreeMap::new();
        let mut open: BTreeMap<CustomerId, usize> = BTreeMap::new();
        for work in self.members.iter().filter(|m| m.alive).flat_map(|m| m.running.values()) {
            *batches.entry(work.server).or_default() += 1;
            *open.entry(work.customer).or_default() += 1;
        }
        let outcome = &mut self.outcome;
        outcome.largest_batch = outcome.largest_batch.max(batches.into_values().max().unwrap_or(0));
        outcome.largest_open = outcome.largest_open.max(open.into_values().max().unwrap_or(0));
    }

    /// Returns the requests at live instances that neither ended nor were refused.
    pub fn unanswered(&self) -> BTreeSet<(usize, u64)> {
        let live = self.members.iter().enumerate().filter(|(_, member)| member.alive);
        live.flat_map(|(at, member)| {
            member.waiting.keys().chain(member.running.keys()).map(move |&number| (at, number))
        })
        .collect()
    }
}

/// Returns the size of a message with its frame, in bytes.
pub fn encoded_size(
    from: InstanceIdentity,
    to: InstanceIdentity,
    message: &AdmissionMessage,
) -> usize {
    use medlarlanding_core::wire::{PeerCodec, PeerFrame, PeerMessage, PeerTransport};
    let frame = PeerFrame {
        from,
        to: to.id,
        to_started: Some(to.incarnation.started),
        message: PeerMessage::Admission(message.clone()),
    };
    let codec = PeerCodec::new("test");
    codec.encode(&frame, PeerTransport::Stream).expect("frames encode").len()
}
