//! One run in virtual time: callers, instances, engines and the messages between them.

use std::cmp::Ordering;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use medlarlanding_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionInput, AdmissionParams, AdmissionRequest,
    ServerCapacity,
};
use medlarlanding_core::errors::ErrorKind;
use medlarlanding_core::ids::{
    CustomerId, Incarnation, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::engine_model::{
    EngineInput, EngineModel, EngineOutput, EngineStats, GoneReason, Submission,
};

use super::measures::{GroupMeasures, RunFigures};
use super::plan::{Deployment, FaultKind, PolicyKind};
use super::workload::Arrival;

/// Range of the delay of a message between two processes, µs.
const MESSAGE_DELAY: std::ops::Range<u64> = 500..1500;
/// Tokens arrive at the instance this long after the engine decoded them, µs. Constant, so
/// that it does not change the time between tokens.
const STREAM_DELAY: u64 = 500;
/// Shortest distance of two progress inputs of one request, µs. Reports leave each 500 ms, so
/// more would not be seen by any manager.
const PROGRESS_DISTANCE: u64 = 200_000;
/// Length of the pause of an instance, µs.
const PAUSE: u64 = 10_000_000;
/// Most retries that an instance saves up, as on the design page.
const RETRY_CEILING: f64 = 20.0;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// How requests are distributed.
    pub policy: PolicyKind,
    /// Disturbance.
    pub fault: FaultKind,
    /// Number of instances.
    pub instances: usize,
    /// Times in seconds.
    pub warmup_s: f64,
    /// Time of the measurement.
    pub window_s: f64,
    /// Longest time after the measurement.
    pub drain_s: f64,
    /// Parameters of the admission subsystem.
    pub params: AdmissionParams,
    /// Seed of everything but the arrivals.
    pub seed: u64,
}

#[derive(Clone, Debug)]
enum SimEvent {
    Arrive(usize),
    EngineTick(usize),
    /// A submission reaches its engine.
    Submit {
        call: usize,
        attempt: u32,
        server: usize,
    },
    Cancel {
        server: usize,
        generation: u64,
        attachment: u32,
    },
    Wake(usize),
    Input(usize, Box<AdmissionInput>),
    /// The instance learns that the exchange of an attempt is broken.
    Broken {
        call: usize,
        attempt: u32,
    },
    Deadline(usize),
    KillServer(usize),
    Pause(usize),
    WindowStart,
    WindowEnd,
    Sample,
}

struct TimedEvent {
    at: u64,
    order: u64,
    event: SimEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.order == other.order
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    /// The earliest event is the greatest, as the heap needs it.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// Not arrived yet.
    Future,
    /// Without a server.
    Waiting,
    /// Sent to a server.
    Running,
    /// The caller has its answer.
    Ended,
}

#[derive(Clone, Debug)]
struct Call {
    state: CallState,
    server: usize,
    /// Distinguishes the outputs of an earlier attempt.
    attempt: u32,
    generation: Option<(u64, u32)>,
    /// Tokens received in order.
    tokens: u32,
    last_at: u64,
    progressed_at: u64,
    /// The runtime must not start it later.
    start_by: u64,
    /// The first token was delivered to the caller.
    delivered: bool,
}

struct Engine {
    model: EngineModel,
    alive: bool,
    tick_at: Option<u64>,
    /// Requests sent there that have not ended, counted without lag.
    outstanding: usize,
    /// Reserved tokens of the reservation baseline.
    reserved: u64,
    at_window: EngineStats,
}

struct Instance {
    identity: InstanceIdentity,
    controller: Option<AdmissionController>,
    paused_until: u64,
    wake_at: Option<u64>,
    next_server: usize,
    /// Retries that may be spent.
    retries: f64,
}

/// A run in progress.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    settings: RunSettings,
    arrivals: &'a [Arrival],
    calls: Vec<Call>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    server_ids: Vec<ServerId>,
    server_index: HashMap<ServerId, usize>,
    /// Queue of the reservation baseline.
    reservation_queue: VecDeque<usize>,
    events: BinaryHeap<TimedEvent>,
    order: u64,
    now: u64,
    random: SmallRng,
    window: (u64, u64),
    total: GroupMeasures,
    classes: Vec<GroupMeasures>,
    customers: Vec<GroupMeasures>,
    datagrams: u64,
    samples: u64,
    memory_sum: f64,
    batch_sum: f64,
}

impl<'a> Simulation<'a> {
    /// Creates a run over prepared arrivals.
    pub fn new(deployment: &'a Deployment, settings: RunSettings, arrivals: &'a [Arrival]) -> Self {
        let server_ids: Vec<_> = (0..deployment.servers)
            .map(|at| ServerId::from_name(&format!("{}-gpu-{at}", deployment.name)))
            .collect();
        let engines = (0..deployment.servers)
            .map(|at| Engine {
                model: EngineModel::new(
                    deployment.engine.clone(),
                    settings.seed.wrapping_mul(1000) + at as u64,
                ),
                alive: true,
                tick_at: None,
                outstanding: 0,
                reserved: 0,
                at_window: EngineStats::default(),
            })
            .collect();
        let instances: Vec<_> = (0..settings.instances)
            .map(|at| {
                let id = InstanceId::from_name(&format!("{}-{at}", deployment.name));
                let identity = InstanceIdentity { id, incarnation: Incarnation::new(1) };
                let controller = (settings.policy == PolicyKind::Admission).then(|| {
                    let seed = settings.seed ^ (at as u64) << 32;
                    AdmissionController::new(settings.params.clone(), identity, seed)
                });
                Instance {
                    identity,
                    controller,
                    paused_until: 0,
                    wake_at: None,
                    next_server: at,
                    retries: RETRY_CEILING,
                }
            })
            .collect();
        let call = Call {
            state: CallState::Future,
            server: 0,
            attempt: 0,
            generation: None,
            tokens: 0,
            last_at: 0,
            progressed_at: 0,
            start_by: u64::MAX,
            delivered: false,
        };
        let start = (settings.warmup_s * 1e6) as u64;
        let window = (start, start + (settings.window_s * 1e6) as u64);
        let random = SmallRng::seed_from_u64(settings.seed ^ 0x0073_696d);
        let mut simulation = Self {
            deployment,
            calls: vec![call; arrivals.len()],
            engines,
            instances,
            server_index: server_ids.iter().enumerate().map(|(at, &id)| (id, at)).collect(),
            server_ids,
            reservation_queue: VecDeque::new(),
            events: BinaryHeap::new(),
            order: 0,
            now: 0,
            random,
            window,
            total: GroupMeasures::default(),
            classes: vec![GroupMeasures::default(); deployment.classes.len()],
            customers: vec![GroupMeasures::default(); deployment.customers.len()],
            datagrams: 0,
            samples: 0,
            memory_sum: 0.0,
            batch_sum: 0.0,
            settings,
            arrivals,
        };
        simulation.prepare();
        simulation
    }

    fn prepare(&mut self) {
        let (start, end) = self.window;
        if let Some(first) = self.arrivals.first() {
            self.push(first.at, SimEvent::Arrive(0));
        }
        self.push(start, SimEvent::WindowStart);
        self.push(end, SimEvent::WindowEnd);
        if self.settings.fault == FaultKind::KillAndPause {
            self.push(start + (end - start) / 3, SimEvent::KillServer(0));
            self.push(start + (end - start) * 2 / 3, SimEvent::Pause(1));
        }
        let live: Vec<_> = self.instances.iter().map(|instance| instance.identity).collect();
        let servers = self.capacities();
        for at in 0..self.instances.len() {
            self.input(at, AdmissionInput::Live(live.clone()));
            self.input(at, AdmissionInput::Servers(servers.clone()));
        }
    }

    fn capacities(&self) -> Vec<ServerCapacity> {
        self.server_ids
            .iter()
            .map(|&server| ServerCapacity {
                server,
                kv_tokens: self.deployment.engine.kv_tokens,
                max_batch: self.deployment.engine.max_batch as u32,
                accepting: true,
            })
            .collect()
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        self.order += 1;
        self.events.push(TimedEvent { at: at.max(self.now), order: self.order, event });
    }

    fn delay(&mut self) -> u64 {
        self.random.random_range(MESSAGE_DELAY)
    }

    /// Runs to the end and returns the figures.
    pub fn run(mut self) -> RunFigures {
        let limit = self.window.1 + (self.settings.drain_s * 1e6) as u64;
        while let Some(event) = self.events.pop() {
            if event.at > limit {
                break;
            }
            self.now = event.at;
            self.perform(event.event);
            if self.now > self.window.1 && self.finished() {
                break;
            }
        }
        self.figures()
    }

    /// Returns whether every request that arrived in the window has ended.
    fn finished(&self) -> bool {
        let ends = &self.total.ends;
        ends.arrived == ends.complete + ends.rejected + ends.deadline + ends.lost
    }

    fn perform(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(call) => self.arrive(call),
            SimEvent::EngineTick(server) => {
                self.engines[server].tick_at = None;
                self.engine(server, EngineInput::Tick);
            },
            SimEvent::Submit { call, attempt, server } => self.submit(call, attempt, server),
            SimEvent::Cancel { server, generation, attachment } => {
                self.engine(server, EngineInput::Cancel { generation, attachment });
            },
            SimEvent::Wake(at) => {
                self.instances[at].wake_at = None;
                self.input(at, AdmissionInput::Tick);
            },
            SimEvent::Input(at, input) => self.input(at, *input),
            SimEvent::Broken { call, attempt } => self.broken(call, attempt),
            SimEvent::Deadline(call) => self.deadline(call),
            SimEvent::KillServer(server) => self.kill_server(server),
            SimEvent::Pause(at) => self.instances[at].paused_until = self.now + PAUSE,
            SimEvent::WindowStart => {
                for engine in &mut self.engines {
                    engine.at_window = engine.model.stats();
                }
                self.datagrams = 0;
                self.push(self.now, SimEvent::Sample);
            },
            SimEvent::WindowEnd => self.close_window(),
            SimEvent::Sample => {
                self.samples += 1;
                let count = self.engines.len() as f64;
                for engine in &self.engines {
                    let load = engine.model.load_now();
                    self.memory_sum += load.kv_used as f64 / load.kv_total as f64 / count;
                    self.batch_sum += load.running as f64 / count;
                }
                if self.now < self.window.1 {
                    self.push(self.now + 1_000_000, SimEvent::Sample);
                }
            },
        }
    }

    /// Replaces the counters at the window's start by what was counted in the window.
    fn close_window(&mut self) {
        for engine in &mut self.engines {
            let (before, after) = (engine.at_window, engine.model.stats());
            engine.at_window = EngineStats {
                preemptions: after.preemptions - before.preemptions,
                recomputed_tokens: after.recomputed_tokens - before.recomputed_tokens,
                tokens: after.tokens - before.tokens,
                ..after
            };
        }
    }

    // Callers.

    fn in_window(&self, at: u64) -> bool {
        self.window.0 <= at && at < self.window.1
    }

    fn groups(&mut self, call: usize) -> [&mut GroupMeasures; 3] {
        let arrival = &self.arrivals[call];
        [&mut self.total, &mut self.classes[arrival.class], &mut self.customers[arrival.customer]]
    }

    fn arrive(&mut self, call: usize) {
        if let Some(next) = self.arrivals.get(call + 1) {
            let at = next.at;
            self.push(at, SimEvent::Arrive(call + 1));
        }
        let arrival = self.arrivals[call];
        if self.in_window(arrival.at) {
            for group in self.groups(call) {
                group.ends.arrived += 1;
            }
        }
        self.calls[call].state = CallState::Waiting;
        let class = &self.deployment.classes[arrival.class];
        let deadline = self.now + class.deadline.as_micros() as u64;
        self.push(deadline, SimEvent::Deadline(call));
        match self.settings.policy {
            PolicyKind::Reservation => {
                self.reservation_queue.push_back(call);
                self.start_reserved();
            },
            PolicyKind::Admission => {
                let request = self.request(call);
                self.input(arrival.instance, AdmissionInput::Request(Box::new(request)));
            },
            _ => self.start_baseline(call),
        }
    }

    fn request(&self, call: usize) -> AdmissionRequest {
        let arrival = &self.arrivals[call];
        let class = &self.deployment.classes[arrival.class];
        let part = self.deployment.customers[arrival.customer];
        AdmissionRequest {
            request: self.request_id(call),
            route: RouteId(arrival.class as u64),
            candidates: self.server_ids.clone(),
            customer: CustomerId(arrival.customer as u64),
            share: (part * 100.0).round() as u32,
            open_limit: (part * self.deployment.open_total).round() as u32,
            prompt_tokens: arrival.prompt_tokens,
            max_tokens: class.max_tokens,
            priority: class.priority,
            objective: class.objective,
            deadline: Timestamp(arrival.at) + class.deadline,
            prefix: Some(arrival.prefix),
        }
    }

    fn request_id(&self, call: usize) -> RequestId {
        let identity = self.instances[self.arrivals[call].instance].identity;
        RequestId {
            instance: identity.id,
            started: identity.incarnation.started,
            number: call as u64 + 1,
        }
    }

    /// Sends a request to a server.
    fn start(&mut self, call: usize, server: usize) {
        let state = &mut self.calls[call];
        state.state = CallState::Running;
        state.server = server;
        state.attempt += 1;
        state.generation = None;
        state.tokens = 0;
        let attempt = state.attempt;
        self.engines[server].outstanding += 1;
        let at = self.now.max(self.paused_until(call)) + self.delay();
        self.push(at, SimEvent::Submit { call, attempt, server });
    }

    fn paused_until(&self, call: usize) -> u64 {
        self.instances[self.arrivals[call].instance].paused_until
    }

    fn submit(&mut self, call: usize, attempt: u32, server: usize) {
        if self.calls[call].state != CallState::Running || self.calls[call].attempt != attempt {
            return;
        }
        if !self.engines[server].alive || self.now > self.calls[call].start_by {
            let at = self.now + self.delay();
            self.push(at, SimEvent::Broken { call, attempt });
            return;
        }
        let arrival = &self.arrivals[call];
        let class = &self.deployment.classes[arrival.class];
        let submission = Submission {
            request: (call as u64) << 16 | u64::from(attempt),
            prompt_tokens: arrival.prompt_tokens,
            prefix: Some(arrival.prefix),
            prefix_tokens: arrival.prefix_tokens,
            output_tokens: arrival.output_tokens,
            max_tokens: class.max_tokens,
            priority: class.priority,
        };
        self.engine(server, EngineInput::Submit(submission));
    }

    /// Ends a call and leaves its server.
    fn end(&mut self, call: usize, count: impl Fn(&mut GroupMeasures, bool)) {
        if self.calls[call].state == CallState::Running {
            self.leave_server(call);
        }
        self.calls[call].state = CallState::Ended;
        let counted = self.in_window(self.arrivals[call].at);
        for group in self.groups(call) {
            count(group, counted);
        }
    }

    fn leave_server(&mut self, call: usize) {
        let server = self.calls[call].server;
        self.engines[server].outstanding -= 1;
        if self.settings.policy == PolicyKind::Reservation {
            let reserved = self.reservation(call);
            self.engines[server].reserved -= reserved;
        }
    }

    fn deadline(&mut self, call: usize) {
        if self.calls[call].state == CallState::Ended {
            return;
        }
        let paused = self.paused_until(call);
        if paused > self.now {
            self.push(paused, SimEvent::Deadline(call));
            return;
        }
        let waiting = self.calls[call].state == CallState::Waiting;
        self.cancel_generation(call);
        self.end(call, |group, counted| {
            if counted && waiting {
                group.ends.rejected += 1;
            } else if counted {
                group.ends.deadline += 1;
            }
        });
        self.tell_finished(call, false);
        self.start_reserved();
    }

    fn cancel_generation(&mut self, call: usize) {
        let state = &self.calls[call];
        if let (CallState::Running, Some((generation, attachment))) =
            (state.state, state.generation)
        {
            let server = state.server;
            let at = self.now + self.delay();
            self.push(at, SimEvent::Cancel { server, generation, attachment });
        }
    }

    fn tell_finished(&mut self, call: usize, whole: bool) {
        if self.settings.policy != PolicyKind::Admission {
            return;
        }
        let request = self.request_id(call);
        let decoded = self.calls[call].tokens;
        let at = self.arrivals[call].instance;
        self.input(at, AdmissionInput::Finished { request, decoded, natural_end: whole });
    }

    // Engines.

    fn engine(&mut self, server: usize, input: EngineInput) {
        if !self.engines[server].alive {
            return;
        }
        let mut outputs = Vec::new();
        let engine = &mut self.engines[server];
        engine.model.handle(Timestamp(self.now), input, &mut outputs);
        if let Some(next) = engine.model.next_wakeup()
            && engine.tick_at.is_none_or(|at| next.0 < at)
        {
            engine.tick_at = Some(next.0);
            self.push(next.0, SimEvent::EngineTick(server));
        }
        for output in outputs {
            self.output(output);
        }
    }

    /// Finds the call of an exchange, unless a later attempt replaced it.
    fn call_of(&self, exchange: u64) -> Option<usize> {
        let (call, attempt) = ((exchange >> 16) as usize, exchange & 0xffff);
        let state = &self.calls[call];
        (state.state == CallState::Running && u64::from(state.attempt) == attempt).then_some(call)
    }

    fn output(&mut self, output: EngineOutput) {
        match output {
            EngineOutput::Started { request, generation, attachment } => {
                if let Some(call) = self.call_of(request) {
                    self.calls[call].generation = Some((generation, attachment));
                }
            },
            EngineOutput::Token { request, seq, .. } => {
                if let Some(call) = self.call_of(request) {
                    self.token(call, seq);
                }
            },
            EngineOutput::Ended { request, tokens, .. } => {
                if let Some(call) = self.call_of(request) {
                    self.complete(call, tokens);
                }
            },
            EngineOutput::Gone { request, reason, .. } => {
                if let (Some(call), GoneReason::Refused) = (self.call_of(request), reason) {
                    let attempt = self.calls[call].attempt;
                    self.push(self.now + STREAM_DELAY, SimEvent::Broken { call, attempt });
                }
            },
            EngineOutput::Cache { .. } => {},
        }
    }

    fn token(&mut self, call: usize, seq: u32) {
        // A paused instance reads its buffers when it wakes up.
        let at = (self.now + STREAM_DELAY).max(self.paused_until(call));
        let state = &mut self.calls[call];
        let expected = state.tokens + 1;
        let (last_at, first) = (state.last_at, expected == 1 && !state.delivered);
        state.tokens = seq;
        state.last_at = at;
        state.delivered = true;
        let progress = at.saturating_sub(state.progressed_at) >= PROGRESS_DISTANCE;
        if progress {
            state.progressed_at = at;
        }
        let arrived = self.arrivals[call].at;
        let (counted_first, counted_gap) = (self.in_window(arrived), self.in_window(at));
        for group in self.groups(call) {
            if seq != expected {
                group.ends.inaccurate += 1;
            }
            if first {
                if counted_first {
                    group.first.saturating_record(at - arrived);
                }
            } else if counted_gap {
                group.gap(at - last_at);
            }
        }
        if progress && self.settings.policy == PolicyKind::Admission {
            let request = self.request_id(call);
            let instance = self.arrivals[call].instance;
            self.input(instance, AdmissionInput::Progress { request, decoded: seq });
        }
    }

    fn complete(&mut self, call: usize, tokens: u32) {
        let at = (self.now + STREAM_DELAY).max(self.paused_until(call));
        let in_window = self.in_window(at);
        let accurate =
            tokens == self.calls[call].tokens && tokens == self.arrivals[call].output_tokens.max(1);
        let arrived = self.arrivals[call].at;
        let instance = self.arrivals[call].instance;
        self.instances[instance].retries =
            (self.instances[instance].retries + 0.1).min(RETRY_CEILING);
        self.end(call, |group, counted| {
            if in_window {
                group.completed_in_window += 1;
            }
            if counted {
                group.ends.complete += 1;
                group.whole.saturating_record(at - arrived);
                if !accurate {
                    group.ends.inaccurate += 1;
                }
            }
        });
        self.tell_finished(call, true);
        self.start_reserved();
    }

    /// Handles an attempt that ended without an answer.
    fn broken(&mut self, call: usize, attempt: u32) {
        if self.calls[call].state != CallState::Running || self.calls[call].attempt != attempt {
            return;
        }
        let paused = self.paused_until(call);
        if paused > self.now {
            self.push(paused, SimEvent::Broken { call, attempt });
            return;
        }
        let arrival = self.arrivals[call];
        let server = self.calls[call].server;
        let late = self.engines[server].alive && self.now > self.calls[call].start_by;
        let whole = self.deployment.classes[arrival.class].whole;
        let again = late || !self.calls[call].delivered || whole;
        let spend = if late { 0.0 } else { 1.0 };
        let admission = self.settings.policy == PolicyKind::Admission;
        if admission && !late {
            let suspect = AdmissionInput::ServerSuspect(self.server_ids[server]);
            self.input(arrival.instance, suspect);
        }
        if !again || self.instances[arrival.instance].retries < spend {
            self.end(call, |group, counted| {
                if counted {
                    group.ends.lost += 1;
                }
            });
            self.tell_finished(call, false);
            return;
        }
        self.instances[arrival.instance].retries -= spend;
        self.leave_server(call);
        self.calls[call].state = CallState::Waiting;
        self.calls[call].tokens = 0;
        self.calls[call].generation = None;
        match self.settings.policy {
            PolicyKind::Admission => {
                let request = self.request_id(call);
                self.input(arrival.instance, AdmissionInput::Retry { request });
            },
            PolicyKind::Reservation => {
                self.reservation_queue.push_front(call);
                self.start_reserved();
            },
            _ => self.start_baseline(call),
        }
    }

    fn kill_server(&mut self, server: usize) {
        self.engines[server].alive = false;
        for call in 0..self.calls.len() {
            let state = &self.calls[call];
            if state.state == CallState::Running
                && state.server == server
                && state.generation.is_some()
            {
                let attempt = state.attempt;
                let at = self.now + self.delay();
                self.push(at, SimEvent::Broken { call, attempt });
            }
        }
    }

    // Baselines.

    fn start_baseline(&mut self, call: usize) {
        let alive: Vec<_> =
            (0..self.engines.len()).filter(|&server| self.engines[server].alive).collect();
        let instance = self.arrivals[call].instance;
        let server = match self.settings.policy {
            PolicyKind::RoundRobin => {
                let next = &mut self.instances[instance].next_server;
                *next += 1;
                alive[*next % alive.len()]
            },
            PolicyKind::TwoChoices => {
                let first = alive[self.random.random_range(0..alive.len())];
                let second = alive[self.random.random_range(0..alive.len())];
                let now = Timestamp(self.now);
                let mut load = |server: usize| {
                    let report = self.engines[server].model.load_report(now);
                    // Waiting requests hold no memory yet; they count with an equal part each.
                    report.kv_used as f64 / report.kv_total as f64
                        + report.waiting as f64 / self.deployment.engine.max_batch as f64
                };
                if load(first) <= load(second) { first } else { second }
            },
            _ => {
                let mut best = alive[0];
                for &server in &alive {
                    if self.engines[server].outstanding < self.engines[best].outstanding {
                        best = server;
                    }
                }
                best
            },
        };
        self.start(call, server);
    }

    fn reservation(&self, call: usize) -> u64 {
        let arrival = &self.arrivals[call];
        let max_tokens = self.deployment.classes[arrival.class].max_tokens;
        u64::from(arrival.prompt_tokens) + u64::from(max_tokens)
    }

    /// Starts queued requests, most urgent first, while their largest need fits somewhere.
    fn start_reserved(&mut self) {
        if self.settings.policy != PolicyKind::Reservation {
            return;
        }
        let calls = &self.calls;
        self.reservation_queue.retain(|&call| calls[call].state == CallState::Waiting);
        while let Some(position) = self.most_urgent() {
            let call = self.reservation_queue[position];
            let need = self.reservation(call);
            let kv = self.deployment.engine.kv_tokens;
            let batch = self.deployment.engine.max_batch;
            let free = |engine: &Engine| {
                let room =
                    engine.alive && engine.outstanding < batch && engine.reserved + need <= kv;
                room.then(|| kv - engine.reserved)
            };
            let best = (0..self.engines.len())
                .filter_map(|server| Some((free(&self.engines[server])?, server)))
                .max();
            let Some((_, server)) = best else { break };
            self.reservation_queue.remove(position);
            self.engines[server].reserved += need;
            self.start(call, server);
        }
    }

    fn most_urgent(&self) -> Option<usize> {
        let priority = |call: usize| self.deployment.classes[self.arrivals[call].class].priority;
        let mut best: Option<(u8, usize)> = None;
        for (position, &call) in self.reservation_queue.iter().enumerate() {
            if best.is_none_or(|(known, _)| priority(call) > known) {
                best = Some((priority(call), position));
            }
        }
        best.map(|(_, position)| position)
    }

    // Instances.

    fn input(&mut self, at: usize, input: AdmissionInput) {
        let paused = self.instances[at].paused_until;
        if paused > self.now {
            self.push(paused, SimEvent::Input(at, Box::new(input)));
            return;
        }
        let Some(controller) = &mut self.instances[at].controller else { return };
        let mut effects = Vec::new();
        controller.handle(Timestamp(self.now), input, &mut effects);
        let wakeup = controller.next_wakeup();
        for effect in effects {
            self.effect(at, effect);
        }
        if let Some(next) = wakeup {
            let next = next.0.max(self.now);
            if self.instances[at].wake_at.is_none_or(|known| next < known) {
                self.instances[at].wake_at = Some(next);
                self.push(next, SimEvent::Wake(at));
            }
        }
    }

    fn effect(&mut self, at: usize, effect: AdmissionEffect) {
        match effect {
            AdmissionEffect::Send { to, message } => {
                self.datagrams += 1;
                let from = self.instances[at].identity;
                let target = self.instances.iter().position(|other| other.identity == to);
                let Some(target) = target else { return };
                let time = self.now + self.delay();
                let input = AdmissionInput::Message { from, message };
                self.push(time, SimEvent::Input(target, Box::new(input)));
            },
            AdmissionEffect::Granted { request, server, start_by } => {
                let call = request.number as usize - 1;
                if self.calls[call].state == CallState::Waiting {
                    self.calls[call].start_by = start_by.0;
                    let server = self.server_index[&server];
                    self.start(call, server);
                }
            },
            AdmissionEffect::Refused { request, kind, .. } => {
                let call = request.number as usize - 1;
                // After a failed first attempt the request was run, so the answer is a loss.
                let not_run = self.calls[call].attempt == 0
                    && matches!(
                        kind,
                        ErrorKind::Overloaded | ErrorKind::CustomerLimit | ErrorKind::NoBackend
                    );
                self.end(call, |group, counted| {
                    if counted && not_run {
                        group.ends.rejected += 1;
                        group.ends.over_limit += u64::from(kind == ErrorKind::CustomerLimit);
                    } else if counted {
                        group.ends.lost += 1;
                    }
                });
            },
        }
    }

    fn figures(mut self) -> RunFigures {
        for call in 0..self.calls.len() {
            let open = !matches!(self.calls[call].state, CallState::Ended | CallState::Future);
            if open && self.in_window(self.arrivals[call].at) {
                for group in self.groups(call) {
                    group.ends.open += 1;
                }
            }
        }
        let window_s = self.settings.window_s;
        let sum = |field: fn(&EngineStats) -> u64| {
            self.engines.iter().map(|engine| field(&engine.at_window)).sum::<u64>()
        };
        let submitted: u64 = self.engines.iter().map(|e| e.model.stats().submitted).sum();
        let hits: u64 = self.engines.iter().map(|e| e.model.stats().cache_hits).sum();
        let mix =
            self.classes.iter().zip(&self.deployment.classes).map(|(measures, class)| {
                measures.completed_in_window as f64 / window_s / class.part
            });
        let samples = self.samples.max(1) as f64;
        RunFigures {
            total: self.total.figures(window_s),
            classes: self
                .classes
                .iter()
                .zip(&self.deployment.classes)
                .map(|(measures, class)| (class.name.to_owned(), measures.figures(window_s)))
                .collect(),
            customers: self.customers.iter().map(|group| group.figures(window_s)).collect(),
            preemptions: sum(|stats| stats.preemptions),
            recomputed_tokens: sum(|stats| stats.recomputed_tokens),
            tokens: sum(|stats| stats.tokens),
            cache_hit_part: hits as f64 / submitted.max(1) as f64,
            memory_part: self.memory_sum / samples,
            batch: self.batch_sum / samples,
            datagrams_per_s: self.datagrams as f64 / window_s / self.instances.len() as f64,
            mix_complete_per_s: mix.fold(f64::INFINITY, f64::min),
        }
    }
}
