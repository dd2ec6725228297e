//! Simulation of callers, instances, engines and their messages in virtual time.

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
/// Delay from the decoding of a token to its arrival at the instance, µs. Constant, so that it
/// does not change the time between tokens.
const STREAM_DELAY: u64 = 500;
/// Minimum time between two progress inputs of one request, µs. Reports to managers are sent every
/// 500 ms, so more frequent inputs would have no effect.
const PROGRESS_INTERVAL: u64 = 200_000;
/// Duration of the pause of an instance, µs.
const PAUSE_DURATION: u64 = 10_000_000;
/// Maximum number of retries in the budget of an instance, the default of the core's retry budget.
const RETRY_BUDGET_LIMIT: f64 = 20.0;

/// Settings of one run.
#[derive(Clone, Debug)]
pub struct RunSettings {
    /// Policy by which requests are distributed.
    pub policy: PolicyKind,
    /// Fault that is injected.
    pub fault: FaultKind,
    /// Number of instances.
    pub instances: usize,
    /// Time before the measurement window, s.
    pub warmup_s: f64,
    /// Length of the measurement window, s.
    pub window_s: f64,
    /// Maximum time after the window for which the run continues, s.
    pub drain_s: f64,
    /// Parameters of the admission subsystem.
    pub params: AdmissionParams,
    /// Seed of all random numbers but those of the arrivals.
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
    /// The instance learns that an attempt ended without a complete answer.
    AttemptFailed {
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
    /// Order of events with the same time.
    sequence: u64,
    event: SimEvent,
}

impl PartialEq for TimedEvent {
    fn eq(&self, other: &Self) -> bool {
        self.sequence == other.sequence
    }
}

impl Eq for TimedEvent {}

impl PartialOrd for TimedEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for TimedEvent {
    /// Orders the earliest event as the greatest, because `BinaryHeap` pops the greatest.
    fn cmp(&self, other: &Self) -> Ordering {
        (other.at, other.sequence).cmp(&(self.at, self.sequence))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallState {
    /// The request has not arrived yet.
    NotArrived,
    /// The request waits for a server.
    Waiting,
    /// The request was sent to a server.
    Running,
    /// The caller was told the outcome.
    Ended,
}

/// Request of a caller. Its index is the same as that of its arrival.
#[derive(Clone, Debug)]
struct CallRecord {
    state: CallState,
    server: usize,
    /// Number of the current attempt, by which outputs of earlier attempts are recognised.
    attempt: u32,
    /// Generation and attachment at the engine, once it has started.
    generation: Option<(u64, u32)>,
    /// Position of the last token received.
    tokens: u32,
    /// Time of the last token.
    last_token_at: u64,
    /// Time of the last progress input.
    last_progress_at: u64,
    /// Time after which the request must not be started at its server.
    start_by: u64,
    /// Whether a token was delivered to the caller.
    delivered: bool,
}

struct Engine {
    model: EngineModel,
    alive: bool,
    tick_at: Option<u64>,
    /// Requests sent to the engine that have not ended, counted without delay.
    outstanding: usize,
    /// Tokens reserved by the reservation baseline.
    reserved: u64,
    /// Until the end of the window, the counters at its start; afterwards, what was counted in the
    /// window.
    window_stats: EngineStats,
}

struct Instance {
    identity: InstanceIdentity,
    controller: Option<AdmissionController>,
    paused_until: u64,
    wake_at: Option<u64>,
    /// Counter of the round-robin baseline. Modulo the number of live servers, it is the server
    /// that was chosen last.
    next_server: usize,
    /// Number of retries that are allowed at present.
    retry_budget: f64,
}

/// Simulation of one run.
pub struct Simulation<'a> {
    deployment: &'a Deployment,
    settings: RunSettings,
    arrivals: &'a [Arrival],
    calls: Vec<CallRecord>,
    engines: Vec<Engine>,
    instances: Vec<Instance>,
    server_ids: Vec<ServerId>,
    server_index: HashMap<ServerId, usize>,
    /// Queue of the reservation baseline.
    reservation_queue: VecDeque<usize>,
    events: BinaryHeap<TimedEvent>,
    last_sequence: u64,
    now: u64,
    random: SmallRng,
    /// Start and end of the measurement window, µs.
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
    /// Creates the simulation of a run with the given arrivals.
    pub fn new(deployment: &'a Deployment, settings: RunSettings, arrivals: &'a [Arrival]) -> Self {
        let server_ids: Vec<_> = (0..deployment.servers)
            .map(|server| ServerId::from_name(&format!("{}-gpu-{server}", deployment.name)))
            .collect();
        let engines = (0..deployment.servers)
            .map(|server| Engine {
                model: EngineModel::new(
                    deployment.engine.clone(),
                    settings.seed.wrapping_mul(1000) + server as u64,
                ),
                alive: true,
                tick_at: None,
                outstanding: 0,
                reserved: 0,
                window_stats: EngineStats::default(),
            })
            .collect();
        let instances: Vec<_> = (0..settings.instances)
            .map(|instance| {
                let id = InstanceId::from_name(&format!("{}-{instance}", deployment.name));
                let identity = InstanceIdentity { id, incarnation: Incarnation::new(1) };
                let controller = (settings.policy == PolicyKind::Admission).then(|| {
                    let seed = settings.seed ^ (instance as u64) << 32;
                    AdmissionController::new(settings.params.clone(), identity, seed)
                });
                Instance {
                    identity,
                    controller,
                    paused_until: 0,
                    wake_at: None,
                    next_server: instance,
                    retry_budget: RETRY_BUDGET_LIMIT,
                }
            })
            .collect();
        let call = CallRecord {
            state: CallState::NotArrived,
            server: 0,
            attempt: 0,
            generation: None,
            tokens: 0,
            last_token_at: 0,
            last_progress_at: 0,
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
            server_index: server_ids.iter().enumerate().map(|(index, &id)| (id, index)).collect(),
            server_ids,
            reservation_queue: VecDeque::new(),
            events: BinaryHeap::new(),
            last_sequence: 0,
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
        simulation.initialize();
        simulation
    }

    /// Schedules the first events and passes the live instances and servers to the controllers.
    fn initialize(&mut self) {
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
        for instance in 0..self.instances.len() {
            self.handle_admission(instance, AdmissionInput::Live(live.clone()));
            self.handle_admission(instance, AdmissionInput::Servers(servers.clone()));
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
                slow_start: None,
            })
            .collect()
    }

    fn push(&mut self, at: u64, event: SimEvent) {
        self.last_sequence += 1;
        self.events.push(TimedEvent { at: at.max(self.now), sequence: self.last_sequence, event });
    }

    /// Draws the delay of a message.
    fn draw_delay(&mut self) -> u64 {
        self.random.random_range(MESSAGE_DELAY)
    }

    /// Runs the simulation to its end and returns the figures.
    pub fn run(mut self) -> RunFigures {
        let limit = self.window.1 + (self.settings.drain_s * 1e6) as u64;
        while let Some(event) = self.events.pop() {
            if event.at > limit {
                break;
            }
            self.now = event.at;
            self.handle_event(event.event);
            if self.now > self.window.1 && self.all_ended() {
                break;
            }
        }
        self.figures()
    }

    /// Returns whether every request that arrived in the window has ended.
    fn all_ended(&self) -> bool {
        let ends = &self.total.ends;
        ends.arrived == ends.complete + ends.rejected + ends.deadline + ends.lost
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrive(call) => self.arrive(call),
            SimEvent::EngineTick(server) => {
                self.engines[server].tick_at = None;
                self.handle_engine(server, EngineInput::Tick);
            },
            SimEvent::Submit { call, attempt, server } => self.submit(call, attempt, server),
            SimEvent::Cancel { server, generation, attachment } => {
                self.handle_engine(server, EngineInput::Cancel { generation, attachment });
            },
            SimEvent::Wake(instance) => {
                self.instances[instance].wake_at = None;
                self.handle_admission(instance, AdmissionInput::Tick);
            },
            SimEvent::Input(instance, input) => self.handle_admission(instance, *input),
            SimEvent::AttemptFailed { call, attempt } => self.handle_failed_attempt(call, attempt),
            SimEvent::Deadline(call) => self.handle_deadline(call),
            SimEvent::KillServer(server) => self.kill_server(server),
            SimEvent::Pause(instance) => {
                self.instances[instance].paused_until = self.now + PAUSE_DURATION;
            },
            SimEvent::WindowStart => {
                for engine in &mut self.engines {
                    engine.window_stats = engine.model.stats();
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

    /// Computes what the engines counted in the window.
    fn close_window(&mut self) {
        for engine in &mut self.engines {
            let (before, after) = (engine.window_stats, engine.model.stats());
            engine.window_stats = EngineStats {
                preemptions: after.preemptions - before.preemptions,
                recomputed_tokens: after.recomputed_tokens - before.recomputed_tokens,
                tokens: after.tokens - before.tokens,
                ..after
            };
        }
    }

    fn in_window(&self, at: u64) -> bool {
        self.window.0 <= at && at < self.window.1
    }

    /// Returns the measurements to which a call contributes.
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
                self.start_queued();
            },
            PolicyKind::Admission => {
                let request = self.admission_request(call);
                self.handle_admission(arrival.instance, AdmissionInput::Request(Box::new(request)));
            },
            _ => self.start_baseline(call),
        }
    }

    fn admission_request(&self, call: usize) -> AdmissionRequest {
        let arrival = &self.arrivals[call];
        let class = &self.deployment.classes[arrival.class];
        let fraction = self.deployment.customers[arrival.customer];
        AdmissionRequest {
            request: self.request_id(call),
            route: RouteId(arrival.class as u64),
            candidates: self.server_ids.clone(),
            customer: CustomerId(arrival.customer as u64),
            share: (fraction * 100.0).round() as u32,
            open_limit: (fraction * self.deployment.open_limit_total).round() as u32,
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
        let record = &mut self.calls[call];
        record.state = CallState::Running;
        record.server = server;
        record.attempt += 1;
        record.generation = None;
        record.tokens = 0;
        let attempt = record.attempt;
        self.engines[server].outstanding += 1;
        let at = self.now.max(self.paused_until(call)) + self.draw_delay();
        self.push(at, SimEvent::Submit { call, attempt, server });
    }

    /// Returns the time until which the instance of a call is paused.
    fn paused_until(&self, call: usize) -> u64 {
        self.instances[self.arrivals[call].instance].paused_until
    }

    fn submit(&mut self, call: usize, attempt: u32, server: usize) {
        if self.calls[call].state != CallState::Running || self.calls[call].attempt != attempt {
            return;
        }
        if !self.engines[server].alive || self.now > self.calls[call].start_by {
            let at = self.now + self.draw_delay();
            self.push(at, SimEvent::AttemptFailed { call, attempt });
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
        self.handle_engine(server, EngineInput::Submit(submission));
    }

    /// Ends a call, frees its place at the server and calls `count` for each of its groups. The
    /// argument of `count` tells whether the request arrived in the window.
    fn end(&mut self, call: usize, count: impl Fn(&mut GroupMeasures, bool)) {
        if self.calls[call].state == CallState::Running {
            self.release_server(call);
        }
        self.calls[call].state = CallState::Ended;
        let counted = self.in_window(self.arrivals[call].at);
        for group in self.groups(call) {
            count(group, counted);
        }
    }

    fn release_server(&mut self, call: usize) {
        let server = self.calls[call].server;
        self.engines[server].outstanding -= 1;
        if self.settings.policy == PolicyKind::Reservation {
            let reserved = self.reservation(call);
            self.engines[server].reserved -= reserved;
        }
    }

    fn handle_deadline(&mut self, call: usize) {
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
        self.report_finished(call, false);
        self.start_queued();
    }

    fn cancel_generation(&mut self, call: usize) {
        let record = &self.calls[call];
        if let (CallState::Running, Some((generation, attachment))) =
            (record.state, record.generation)
        {
            let server = record.server;
            let at = self.now + self.draw_delay();
            self.push(at, SimEvent::Cancel { server, generation, attachment });
        }
    }

    /// Tells the admission subsystem that a request has ended.
    fn report_finished(&mut self, call: usize, natural_end: bool) {
        if self.settings.policy != PolicyKind::Admission {
            return;
        }
        let request = self.request_id(call);
        let decoded = self.calls[call].tokens;
        let instance = self.arrivals[call].instance;
        self.handle_admission(instance, AdmissionInput::Finished { request, decoded, natural_end });
    }

    /// Passes an input to an engine and handles the outputs.
    fn handle_engine(&mut self, server: usize, input: EngineInput) {
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
            self.handle_engine_output(output);
        }
    }

    /// Returns the call of a submission, unless it has ended or a later attempt has started.
    fn current_call(&self, submission: u64) -> Option<usize> {
        let (call, attempt) = ((submission >> 16) as usize, submission & 0xffff);
        let record = &self.calls[call];
        (record.state == CallState::Running && u64::from(record.attempt) == attempt).then_some(call)
    }

    fn handle_engine_output(&mut self, output: EngineOutput) {
        match output {
            EngineOutput::Started { request, generation, attachment } => {
                if let Some(call) = self.current_call(request) {
                    self.calls[call].generation = Some((generation, attachment));
                }
            },
            EngineOutput::Token { request, seq, .. } => {
                if let Some(call) = self.current_call(request) {
                    self.handle_token(call, seq);
                }
            },
            EngineOutput::Ended { request, tokens, .. } => {
                if let Some(call) = self.current_call(request) {
                    self.handle_completion(call, tokens);
                }
            },
            EngineOutput::Gone { request, reason, .. } => {
                if let (Some(call), GoneReason::Refused) = (self.current_call(request), reason) {
                    let attempt = self.calls[call].attempt;
                    self.push(self.now + STREAM_DELAY, SimEvent::AttemptFailed { call, attempt });
                }
            },
            EngineOutput::Cache { .. } => {},
        }
    }

    fn handle_token(&mut self, call: usize, seq: u32) {
        // A paused instance reads its buffered tokens when it is resumed.
        let at = (self.now + STREAM_DELAY).max(self.paused_until(call));
        let record = &mut self.calls[call];
        let expected = record.tokens + 1;
        let (last_token_at, first) = (record.last_token_at, expected == 1 && !record.delivered);
        record.tokens = seq;
        record.last_token_at = at;
        record.delivered = true;
        let progress_due = at.saturating_sub(record.last_progress_at) >= PROGRESS_INTERVAL;
        if progress_due {
            record.last_progress_at = at;
        }
        let arrived = self.arrivals[call].at;
        let (counted_first, counted_gap) = (self.in_window(arrived), self.in_window(at));
        for group in self.groups(call) {
            if seq != expected {
                group.ends.inaccurate += 1;
            }
            if first {
                if counted_first {
                    group.first_token.saturating_record(at - arrived);
                }
            } else if counted_gap {
                group.record_token_gap(at - last_token_at);
            }
        }
        if progress_due && self.settings.policy == PolicyKind::Admission {
            let request = self.request_id(call);
            let instance = self.arrivals[call].instance;
            self.handle_admission(instance, AdmissionInput::Progress { request, decoded: seq });
        }
    }

    fn handle_completion(&mut self, call: usize, tokens: u32) {
        let at = (self.now + STREAM_DELAY).max(self.paused_until(call));
        let in_window = self.in_window(at);
        let accurate =
            tokens == self.calls[call].tokens && tokens == self.arrivals[call].output_tokens.max(1);
        let arrived = self.arrivals[call].at;
        let instance = self.arrivals[call].instance;
        self.instances[instance].retry_budget =
            (self.instances[instance].retry_budget + 0.1).min(RETRY_BUDGET_LIMIT);
        self.end(call, |group, counted| {
            if in_window {
                group.completed_in_window += 1;
            }
            if counted {
                group.ends.complete += 1;
                group.completion.saturating_record(at - arrived);
                if !accurate {
                    group.ends.inaccurate += 1;
                }
            }
        });
        self.report_finished(call, true);
        self.start_queued();
    }

    /// Retries a request whose attempt ended without a complete answer, or ends it.
    fn handle_failed_attempt(&mut self, call: usize, attempt: u32) {
        if self.calls[call].state != CallState::Running || self.calls[call].attempt != attempt {
            return;
        }
        let paused = self.paused_until(call);
        if paused > self.now {
            self.push(paused, SimEvent::AttemptFailed { call, attempt });
            return;
        }
        let arrival = self.arrivals[call];
        let server = self.calls[call].server;
        let late = self.engines[server].alive && self.now > self.calls[call].start_by;
        let whole = self.deployment.classes[arrival.class].whole;
        let may_retry = late || !self.calls[call].delivered || whole;
        let cost = if late { 0.0 } else { 1.0 };
        let admission = self.settings.policy == PolicyKind::Admission;
        if admission && !late {
            let suspect = AdmissionInput::ServerSuspect(self.server_ids[server]);
            self.handle_admission(arrival.instance, suspect);
        }
        if !may_retry || self.instances[arrival.instance].retry_budget < cost {
            self.end(call, |group, counted| {
                if counted {
                    group.ends.lost += 1;
                }
            });
            self.report_finished(call, false);
            return;
        }
        self.instances[arrival.instance].retry_budget -= cost;
        self.release_server(call);
        self.calls[call].state = CallState::Waiting;
        self.calls[call].tokens = 0;
        self.calls[call].generation = None;
        match self.settings.policy {
            PolicyKind::Admission => {
                let request = self.request_id(call);
                self.handle_admission(arrival.instance, AdmissionInput::Retry { request });
            },
            PolicyKind::Reservation => {
                self.reservation_queue.push_front(call);
                self.start_queued();
            },
            _ => self.start_baseline(call),
        }
    }

    fn kill_server(&mut self, server: usize) {
        self.engines[server].alive = false;
        for call in 0..self.calls.len() {
            let record = &self.calls[call];
            if record.state == CallState::Running
                && record.server == server
                && record.generation.is_some()
            {
                let attempt = record.attempt;
                let at = self.now + self.draw_delay();
                self.push(at, SimEvent::AttemptFailed { call, attempt });
            }
        }
    }

    /// Sends a request to the server that a baseline policy other than `Reservation` chooses.
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
                    // Waiting requests use no memory yet; each counts as an equal share of the
                    // batch.
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

    /// Returns the tokens that the reservation baseline reserves for a request.
    fn reservation(&self, call: usize) -> u64 {
        let arrival = &self.arrivals[call];
        let max_tokens = self.deployment.classes[arrival.class].max_tokens;
        u64::from(arrival.prompt_tokens) + u64::from(max_tokens)
    }

    /// Starts requests of the reservation baseline, the most urgent first, as long as the next
    /// reservation fits at a server.
    fn start_queued(&mut self) {
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
                let fits =
                    engine.alive && engine.outstanding < batch && engine.reserved + need <= kv;
                fits.then(|| kv - engine.reserved)
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

    /// Returns the position of the most urgent request in the queue, the first one of equals.
    fn most_urgent(&self) -> Option<usize> {
        let priority = |call: usize| self.deployment.classes[self.arrivals[call].class].priority;
        let mut best: Option<(u8, usize)> = None;
        for (position, &call) in self.reservation_queue.iter().enumerate() {
            if best.is_none_or(|(highest, _)| priority(call) > highest) {
                best = Some((priority(call), position));
            }
        }
        best.map(|(_, position)| position)
    }

    /// Passes an input to the admission controller of an instance and applies the effects. The
    /// input waits while the instance is paused.
    fn handle_admission(&mut self, instance: usize, input: AdmissionInput) {
        let paused_until = self.instances[instance].paused_until;
        if paused_until > self.now {
            self.push(paused_until, SimEvent::Input(instance, Box::new(input)));
            return;
        }
        let Some(controller) = &mut self.instances[instance].controller else { return };
        let mut effects = Vec::new();
        controller.handle(Timestamp(self.now), input, &mut effects);
        let wakeup = controller.next_wakeup();
        for effect in effects {
            self.apply_effect(instance, effect);
        }
        if let Some(next) = wakeup {
            let next = next.0.max(self.now);
            if self.instances[instance].wake_at.is_none_or(|wake_at| next < wake_at) {
                self.instances[instance].wake_at = Some(next);
                self.push(next, SimEvent::Wake(instance));
            }
        }
    }

    fn apply_effect(&mut self, instance: usize, effect: AdmissionEffect) {
        match effect {
            AdmissionEffect::Send { to, message } => {
                self.datagrams += 1;
                let from = self.instances[instance].identity;
                let target = self.instances.iter().position(|other| other.identity == to);
                let Some(target) = target else { return };
                let time = self.now + self.draw_delay();
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
            // No engine of the experiments starts slowly.
            AdmissionEffect::PaceChanged { .. } => {},
            AdmissionEffect::Refused { request, kind, .. } => {
                let call = request.number as usize - 1;
                // After a failed attempt the request has run, so it counts as lost.
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
            let open = !matches!(self.calls[call].state, CallState::Ended | CallState::NotArrived);
            if open && self.in_window(self.arrivals[call].at) {
                for group in self.groups(call) {
                    group.ends.open += 1;
                }
            }
        }
        let window_s = self.settings.window_s;
        let sum = |field: fn(&EngineStats) -> u64| {
            self.engines.iter().map(|engine| field(&engine.window_stats)).sum::<u64>()
        };
        let submitted: u64 = self.engines.iter().map(|e| e.model.stats().submitted).sum();
        let hits: u64 = self.engines.iter().map(|e| e.model.stats().cache_hits).sum();
        let mix = self.classes.iter().zip(&self.deployment.classes).map(|(measures, class)| {
            measures.completed_in_window as f64 / window_s / class.fraction
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
            cache_hit_fraction: hits as f64 / submitted.max(1) as f64,
            memory_fraction: self.memory_sum / samples,
            batch: self.batch_sum / samples,
            datagrams_per_s: self.datagrams as f64 / window_s / self.instances.len() as f64,
            mix_complete_per_s: mix.fold(f64::INFINITY, f64::min),
        }
    }
}
