//! Simulates one trial in virtual time: nodes, network, platform, service and callers.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::errors::RunState;
use medlarlanding_core::handles::HandleSigner;
use medlarlanding_core::ids::{
    CustomerId, DeskId, Incarnation, InstanceId, InstanceIdentity, ZoneId,
};
use medlarlanding_core::orders::{
    OrderAnswer, OrderId, OrderInput, OrderKey, OrderMessage, OrderResult, QueryId,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::defect::TrialDefect;
use super::machine::{TrialDesign, TrialEffect, TrialMachine, TrialMessage};
use super::plan::{SECOND, TrialFault, TrialPlan, TrialTime};
use super::report::TrialReport;
use super::service::{FakeService, OrderIndex};

const CUSTOMER: CustomerId = CustomerId(1);
const DESK: DeskId = DeskId(2);
/// Time after the end of arrivals in which open orders are decided.
const COOL_DOWN: TrialTime = 30 * SECOND;
/// Time without contact after which failure detection considers a process dead.
const DEAD_AFTER: TrialTime = 4 * SECOND;
/// Most times that a caller retries a request that found no process or whose answer does not
/// say that the order was run.
const CALLER_RETRIES: u32 = 3;
/// Number of inputs of a process between two checks of its invariants. Not checked after every
/// input because the check visits every record.
const CHECK_EVERY: u64 = 64;

#[derive(Clone, Debug)]
enum TrialEvent {
    /// A message arrives at a node.
    Deliver {
        to: usize,
        /// Start time of the process that the message is meant for, if the sender names it.
        to_started: Option<u64>,
        from: InstanceIdentity,
        message: TrialMessage,
    },
    /// The time returned by `next_wakeup` has been reached.
    Wake { node: usize, start_time: TrialTime },
    /// The node refreshes its instance list and its set of live processes.
    Refresh { node: usize, start_time: TrialTime },
    /// The pause of a process ends.
    Resume { node: usize, start_time: TrialTime },
    /// A caller submits an order.
    Submit { order: OrderIndex, node: usize, other_body: bool, retries: u32, first: bool },
    /// A caller asks for the outcome of an order.
    Query { order: OrderIndex, node: usize },
    /// The runtime of a node is about to send an order.
    Dispatch {
        node: usize,
        start_time: TrialTime,
        order: OrderId,
        key: OrderKey,
        permit_deadline: Timestamp,
    },
    /// The order arrives at the service.
    Arrive { node: usize, start_time: TrialTime, order: OrderId, key: OrderKey },
    /// The answer of the service arrives at the node, or its time-out ends.
    Finish { node: usize, start_time: TrialTime, order: OrderId, result: OrderResult },
    /// The fault with this index in the plan occurs.
    Fault(usize),
}

/// An event in the queue, which is ordered by time and then by order of scheduling.
struct ScheduledEvent {
    at: TrialTime,
    number: u64,
    event: TrialEvent,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.number) == (other.at, other.number)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// A running process.
struct Process {
    machine: TrialMachine,
    identity: InstanceIdentity,
    /// Time of the start. Identifies the process among those of its node, which may share an
    /// incarnation.
    start_time: TrialTime,
    /// Total length of the pauses for which its clock stood still.
    clock_lag: TrialTime,
    /// Start of the current pause, if any, and whether the clock stands still during it.
    paused: Option<(TrialTime, bool)>,
    /// Events deferred to the end of the pause.
    deferred: Vec<TrialEvent>,
    /// Time of the next scheduled `Wake`.
    wake_at: Option<TrialTime>,
    list: Option<Arc<InstanceList>>,
    /// Time at which the list was last read from the platform.
    confirmed: TrialTime,
    /// Last contact per node, with the start time of its process.
    contacts: HashMap<usize, (TrialTime, u64)>,
    /// List version and live processes of the last `View` input.
    last_view: Option<(ListVersion, Vec<InstanceIdentity>)>,
    /// Number of inputs so far.
    inputs: u64,
}

struct Node {
    id: InstanceId,
    name: String,
    zone: ZoneId,
    /// Start time in the incarnation of its last process, in milliseconds.
    last_started: u64,
    process: Option<Process>,
    /// Probability that a refresh reads the list.
    fetch_probability: f64,
}

/// A request of a caller for an order.
struct Submission {
    order: OrderIndex,
    at: TrialTime,
    first: bool,
    retries: u32,
    other_body: bool,
    /// Whether the order arrived at the service through this submission.
    executed: bool,
    answer: Option<OrderAnswer>,
}

/// State of the simulation of one trial.
pub struct TrialSimulation<'a> {
    plan: &'a TrialPlan,
    design: TrialDesign,
    defect: TrialDefect,
    now: TrialTime,
    next_number: u64,
    queue: BinaryHeap<Reverse<ScheduledEvent>>,
    rng: SmallRng,
    nodes: Vec<Node>,
    /// Side of each node; nodes on different sides cannot reach each other.
    sides: Vec<u8>,
    /// Probability that a datagram is lost.
    loss: f64,
    platform_down: bool,
    published: Arc<InstanceList>,
    service: FakeService,
    signer: HandleSigner,
    /// Idempotency key of each order, once its caller has one.
    keys: Vec<Option<String>>,
    orders_by_key: HashMap<OrderKey, OrderIndex>,
    submissions: HashMap<(usize, TrialTime, OrderId), Submission>,
    /// Order and time of each open query.
    queries: HashMap<(usize, TrialTime, QueryId), (OrderIndex, TrialTime)>,
    /// Submissions that wait for a minted key.
    minting: HashMap<(usize, TrialTime, QueryId), TrialEvent>,
    next_order: u64,
    report: TrialReport,
}

/// Runs one trial.
pub fn run_trial(plan: &TrialPlan, design: TrialDesign, defect: TrialDefect) -> TrialReport {
    let mut simulation = TrialSimulation::new(plan, design, defect);
    simulation.run();
    simulation.finish()
}

impl<'a> TrialSimulation<'a> {
    fn new(plan: &'a TrialPlan, design: TrialDesign, defect: TrialDefect) -> Self {
        let nodes: Vec<_> = (0..plan.nodes)
            .map(|node| {
                let name = format!("node-{node}");
                Node {
                    id: InstanceId::from_name(&name),
                    name,
                    zone: ZoneId(node as u64 % 3),
                    last_started: 0,
                    process: None,
                    fetch_probability: 0.7,
                }
            })
            .collect();
        let mut simulation = Self {
            plan,
            design,
            defect,
            now: 0,
            next_number: 0,
            queue: BinaryHeap::new(),
            rng: SmallRng::seed_from_u64(plan.seed ^ 0x5eed),
            sides: vec![0; plan.nodes],
            nodes,
            loss: 0.01,
            platform_down: false,
            published: Arc::default(),
            service: FakeService::default(),
            signer: HandleSigner::new("trial"),
            keys: vec![None; plan.orders.len()],
            orders_by_key: HashMap::new(),
            submissions: HashMap::new(),
            queries: HashMap::new(),
            minting: HashMap::new(),
            next_order: 0,
            report: TrialReport { trials: 1, ..TrialReport::default() },
        };
        simulation.publish(&plan.listed);
        for node in 0..plan.nodes {
            simulation.start(node);
        }
        for (index, (at, _)) in plan.faults.iter().enumerate() {
            simulation.schedule(*at, TrialEvent::Fault(index));
        }
        for (order, planned) in plan.orders.iter().enumerate() {
            let event = |node, other_body, first| TrialEvent::Submit {
                order,
                node,
                other_body,
                retries: 0,
                first,
            };
            simulation.schedule(planned.at, event(planned.node, false, true));
            for &(delay, node, other_body) in &planned.repeats {
                simulation.schedule(planned.at + delay, event(node, other_body, false));
            }
            for &(delay, node) in &planned.queries {
                simulation.schedule(planned.at + delay, TrialEvent::Query { order, node });
            }
        }
        simulation
    }

    fn schedule(&mut self, at: TrialTime, event: TrialEvent) {
        self.next_number += 1;
        self.queue.push(Reverse(ScheduledEvent { at, number: self.next_number, event }));
    }

    fn run(&mut self) {
        let end = self.plan.end + COOL_DOWN;
        while let Some(Reverse(next)) = self.queue.pop() {
            if next.at > end {
                break;
            }
            self.now = next.at;
            self.handle_event(next.event);
        }
    }

    fn handle_event(&mut self, event: TrialEvent) {
        let node = match &event {
            TrialEvent::Deliver { to, .. } => Some((*to, None)),
            TrialEvent::Wake { node, start_time }
            | TrialEvent::Refresh { node, start_time }
            | TrialEvent::Dispatch { node, start_time, .. }
            | TrialEvent::Finish { node, start_time, .. } => Some((*node, Some(*start_time))),
            TrialEvent::Submit { node, .. } | TrialEvent::Query { node, .. } => Some((*node, None)),
            TrialEvent::Resume { .. } | TrialEvent::Arrive { .. } | TrialEvent::Fault(_) => None,
        };
        if let Some((node, start_time)) = node {
            let Some(process) = &mut self.nodes[node].process else {
                self.handle_without_process(&event);
                return;
            };
            if start_time.is_some_and(|start_time| start_time != process.start_time) {
                return;
            }
            if process.paused.is_some() {
                process.deferred.push(event);
                return;
            }
        }
        match event {
            TrialEvent::Deliver { to, to_started, from, message } => {
                self.receive(to, to_started, from, message);
            },
            TrialEvent::Wake { node, .. } => {
                if let Some(process) = &mut self.nodes[node].process
                    && process.wake_at.take().is_some()
                {
                    self.pass_input(node, OrderInput::Tick);
                }
            },
            TrialEvent::Refresh { node, start_time } => {
                self.refresh(node);
                let interval = if self.now < self.plan.warm_up.saturating_sub(30 * SECOND) {
                    // Between the first 60 s and the last 30 s of the warm-up, nothing happens
                    // but the end of the doubt after the empty start, so few refreshes suffice.
                    if self.now < 60 * SECOND { SECOND } else { 200 * SECOND }
                } else {
                    SECOND
                };
                let interval = interval.min(self.plan.warm_up.saturating_sub(self.now).max(SECOND));
                let interval = interval.min(self.plan.params.list_limit.as_micros() as u64 / 3);
                self.schedule(self.now + interval, TrialEvent::Refresh { node, start_time });
            },
            TrialEvent::Resume { node, start_time } => self.resume(node, start_time),
            TrialEvent::Submit { order, node, other_body, retries, first } => {
                self.submit(order, node, other_body, retries, first);
            },
            TrialEvent::Query { order, node } => self.submit_query(order, node),
            TrialEvent::Dispatch { node, start_time, order, key, permit_deadline } => {
                self.dispatch(node, start_time, order, key, permit_deadline);
            },
            TrialEvent::Arrive { node, start_time, order, key } => {
                self.arrive(node, start_time, order, key);
            },
            TrialEvent::Finish { node, order, result, .. } => {
                self.pass_input(node, OrderInput::Finished { order, result });
            },
            TrialEvent::Fault(index) => self.apply_fault(index),
        }
    }

    /// Handles an event for a node without a process. The load balancer refuses an order, and the
    /// caller submits it again at the next node; other events are dropped.
    fn handle_without_process(&mut self, event: &TrialEvent) {
        if let TrialEvent::Submit { order, node, other_body, retries, first } = *event
            && retries < CALLER_RETRIES
        {
            let node = (node + 1) % self.plan.nodes;
            let retries = retries + 1;
            let event = TrialEvent::Submit { order, node, other_body, retries, first };
            self.schedule(self.now + SECOND / 100, event);
        }
    }

    // Processes

    fn start(&mut self, node: usize) {
        if self.nodes[node].process.is_some() {
            return;
        }
        let slot = &mut self.nodes[node];
        if self.defect != TrialDefect::SameIncarnation || slot.last_started == 0 {
            slot.last_started = (self.now / 1000).max(slot.last_started + 1);
        }
        let incarnation = Incarnation::new(slot.last_started);
        let identity = InstanceIdentity { id: slot.id, incarnation };
        let seed = self.rng.random();
        slot.process = Some(Process {
            machine: TrialMachine::new(self.design, &self.plan.params, identity, seed),
            identity,
            start_time: self.now,
            clock_lag: 0,
            paused: None,
            deferred: Vec::new(),
            wake_at: None,
            list: None,
            confirmed: 0,
            contacts: HashMap::new(),
            last_view: None,
            inputs: 0,
        });
        let at = self.now + self.rng.random_range(1000..=300_000);
        self.schedule(at, TrialEvent::Refresh { node, start_time: self.now });
    }

    fn local_time(&self, node: usize) -> Option<Timestamp> {
        let process = self.nodes[node].process.as_ref()?;
        Some(Timestamp(self.now - process.start_time - process.clock_lag))
    }

    fn pass_input(&mut self, node: usize, input: OrderInput) {
        let Some(now) = self.local_time(node) else { return };
        let Some(process) = &mut self.nodes[node].process else { return };
        let mut effects = Vec::new();
        process.machine.handle(now, input, &mut effects);
        self.after_input(node, effects);
    }

    fn receive(
        &mut self,
        node: usize,
        to_started: Option<u64>,
        from: InstanceIdentity,
        message: TrialMessage,
    ) {
        let Some(now) = self.local_time(node) else { return };
        let Some(process) = &mut self.nodes[node].process else { return };
        if to_started.is_some_and(|started| started != process.identity.incarnation.started) {
            return;
        }
        let mut effects = Vec::new();
        if self.defect.discards_state(&message) {
            process.machine.clone().receive(now, from, message, &mut effects);
        } else {
            for (from, message) in self.defect.apply(from, message) {
                process.machine.receive(now, from, message, &mut effects);
            }
        }
        self.after_input(node, effects);
    }

    fn after_input(&mut self, node: usize, effects: Vec<TrialEffect>) {
        let Some(process) = &mut self.nodes[node].process else { return };
        process.inputs += 1;
        if process.inputs.is_multiple_of(CHECK_EVERY)
            && let Err(violation) = process.machine.check()
        {
            self.report.violations.push(format!("seed {}: {violation}", self.plan.seed));
        }
        for effect in effects {
            self.perform(node, effect);
        }
        self.schedule_wake(node);
    }

    fn schedule_wake(&mut self, node: usize) {
        let Some(process) = &mut self.nodes[node].process else { return };
        let Some(next) = process.machine.next_wakeup() else { return };
        let at = (next.0 + process.start_time + process.clock_lag).max(self.now + 1);
        if process.wake_at.is_none_or(|planned| at < planned) {
            process.wake_at = Some(at);
            let start_time = process.start_time;
            self.schedule(at, TrialEvent::Wake { node, start_time });
        }
    }

    fn resume(&mut self, node: usize, start_time: TrialTime) {
        let now = self.now;
        let detected_first = self.rng.random_bool(0.5);
        let Some(process) = &mut self.nodes[node].process else { return };
        let Some((since, clock_stops)) =
            process.paused.take().filter(|_| process.start_time == start_time)
        else {
            return;
        };
        if clock_stops {
            process.clock_lag += now - since;
        }
        let deferred = std::mem::take(&mut process.deferred);
        let long = now - since > 2 * SECOND;
        process.last_view = None;
        // After a pause, a process may handle the messages that wait in its sockets before its
        // timer detects the pause.
        if long && detected_first {
            self.pass_input(node, OrderInput::Paused);
        }
        for event in deferred {
            self.handle_event(event);
        }
        if long && !detected_first {
            self.pass_input(node, OrderInput::Paused);
        }
        self.schedule_wake(node);
    }

    // Views

    fn publish(&mut self, listed: &[usize]) {
        let version = ListVersion(self.published.version.0 + 1);
        let address = ([127, 0, 0, 1], 1).into();
        let entries = listed
            .iter()
            .map(|&node| InstanceEntry {
                id: self.nodes[node].id,
                name: self.nodes[node].name.clone(),
                zone: self.nodes[node].zone,
                state: InstanceState::Live,
                udp: address,
                tcp: address,
            })
            .collect();
        self.published = Arc::new(InstanceList { version, entries });
    }

    fn refresh(&mut self, node: usize) {
        let now = self.now;
        let reachable: Vec<_> = (0..self.nodes.len())
            .filter(|&other| other != node && self.sides[other] == self.sides[node])
            .filter_map(|other| {
                let process = self.nodes[other].process.as_ref()?;
                process.paused.is_none().then_some((other, process.identity))
            })
            .collect();
        // In 2 % of the refreshes, failure detection misses one node.
        let missed = self.rng.random_bool(0.02).then(|| self.rng.random_range(0..self.nodes.len()));
        let fetches_list =
            !self.platform_down && self.rng.random_bool(self.nodes[node].fetch_probability);
        let published = self.published.clone();
        let ids: Vec<_> = self.nodes.iter().map(|node| node.id).collect();
        let warming_up = now < self.plan.warm_up;
        let Some(process) = &mut self.nodes[node].process else { return };
        for (other, identity) in reachable {
            if Some(other) != missed {
                process.contacts.insert(other, (now, identity.incarnation.started));
            }
        }
        if fetches_list || process.list.is_none() && !self.platform_down {
            process.list = Some(published);
            process.confirmed = now;
        }
        let Some(list) = process.list.clone() else { return };
        let dead_after = if warming_up { 600 * SECOND } else { DEAD_AFTER };
        let mut live: Vec<_> = process
            .contacts
            .iter()
            .filter(|&(&other, &(at, _))| now - at <= dead_after && Some(other) != missed)
            .map(|(&other, &(_, started))| InstanceIdentity {
                id: ids[other],
                incarnation: Incarnation::new(started),
            })
            .collect();
        live.push(process.identity);
        live.sort();
        let view = Some((list.version, live.clone()));
        let age = Duration::from_micros(now - process.confirmed);
        if process.last_view == view {
            self.pass_input(node, OrderInput::ListConfirmed { age });
        } else {
            process.last_view = view;
            self.pass_input(node, OrderInput::View { list, live, list_age: age });
        }
    }

    // Network and service

    fn perform(&mut self, node: usize, effect: TrialEffect) {
        let Some(process) = &self.nodes[node].process else { return };
        let (identity, start_time) = (process.identity, process.start_time);
        match effect {
            TrialEffect::Send { to, reliable, message } => {
                self.send(node, identity, to, reliable, message);
            },
            TrialEffect::Run { order, key, permit_deadline } => {
                if let Some(submission) = self.submissions.get(&(node, start_time, order)) {
                    self.report.record_latency(self.now - submission.at);
                }
                let wait = match self.rng.random_range(0..100) {
                    0 => self.rng.random_range(0..=3 * SECOND),
                    _ => self.rng.random_range(0..=2000),
                };
                let event = TrialEvent::Dispatch { node, start_time, order, key, permit_deadline };
                self.schedule(self.now + wait, event);
            },
            TrialEffect::Answer { order, answer } => self.answered(node, start_time, order, answer),
            TrialEffect::QueryAnswer { query, answer } => {
                self.query_answered(node, start_time, query, answer);
            },
            TrialEffect::Minted { query, key } => self.minted(node, start_time, query, key),
        }
    }

    fn send(
        &mut self,
        node: usize,
        from: InstanceIdentity,
        to: InstanceId,
        reliable: bool,
        message: TrialMessage,
    ) {
        if self.now >= self.plan.warm_up {
            let copies = matches!(
                message,
                TrialMessage::Majority(
                    OrderMessage::Pull(_) | OrderMessage::Copies(_) | OrderMessage::Lineages(_)
                ) | TrialMessage::Pair(
                    super::pair::PairMessage::Pull { .. } | super::pair::PairMessage::Copies { .. }
                )
            );
            if copies {
                self.report.copy_messages += 1;
            } else {
                self.report.order_messages += 1;
            }
        }
        let Some(target) = self.nodes.iter().position(|other| other.id == to) else { return };
        if self.sides[target] != self.sides[node] {
            return;
        }
        let loss = if reliable { 0.005 } else { self.loss };
        if self.rng.random_bool(loss) {
            return;
        }
        // A sender that knows the target process names it in half of its messages.
        let known_start = self.nodes[node]
            .process
            .as_ref()
            .and_then(|process| process.contacts.get(&target).map(|&(_, started)| started));
        let to_started = known_start.filter(|_| self.rng.random_bool(0.5));
        let copies = if !reliable && self.rng.random_bool(0.02) { 2 } else { 1 };
        let same_zone = self.nodes[target].zone == self.nodes[node].zone;
        for _ in 0..copies {
            let base = if same_zone { 200 } else { 1000 };
            let delay = match self.rng.random_range(0..1000) {
                0 => self.rng.random_range(0..=10 * SECOND),
                1..=20 => self.rng.random_range(base..=SECOND / 10),
                _ => self.rng.random_range(base..=base * 3 / 2),
            };
            let message = message.clone();
            let event = TrialEvent::Deliver { to: target, to_started, from, message };
            self.schedule(self.now + delay, event);
        }
    }

    fn dispatch(
        &mut self,
        node: usize,
        start_time: TrialTime,
        order: OrderId,
        key: OrderKey,
        permit_deadline: Timestamp,
    ) {
        let refused = match self.local_time(node) {
            Some(now) if now > permit_deadline => Some(ErrorKind::DeadlineNotRun),
            _ if self.rng.random_bool(0.01) => Some(ErrorKind::NoBackend),
            _ => None,
        };
        if let Some(kind) = refused {
            let result = OrderResult::NotSent(kind);
            self.pass_input(node, OrderInput::Finished { order, result });
            return;
        }
        self.pass_input(node, OrderInput::Sent { order });
        let delay = match self.rng.random_range(0..100) {
            0..=1 => self.rng.random_range(0..=6 * SECOND),
            _ => self.rng.random_range(300..=2000),
        };
        self.schedule(self.now + delay, TrialEvent::Arrive { node, start_time, order, key });
    }

    fn arrive(&mut self, node: usize, start_time: TrialTime, order: OrderId, key: OrderKey) {
        let lost_before = self.rng.random_bool(0.005);
        let lost_after = self.rng.random_bool(0.02);
        let service_time = self.rng.random_range(1000..=30_000);
        let timeout = self.rng.random_range(SECOND..=2 * SECOND);
        let result = if lost_before {
            None
        } else if let Some(&index) = self.orders_by_key.get(&key) {
            let checks = match self.design {
                TrialDesign::DelegateChecked => true,
                TrialDesign::DelegateUnchecked => false,
                _ => self.plan.orders[index].service_checks_keys,
            };
            if let Some(submission) = self.submissions.get_mut(&(node, start_time, order)) {
                submission.executed = true;
            }
            Some(self.service.execute(self.now, index, checks))
        } else {
            None
        };
        let (at, result) = match result.filter(|_| !lost_after) {
            Some(body) => (service_time, OrderResult::Answered { status: 200, body }),
            None => (timeout, OrderResult::Unknown),
        };
        self.schedule(self.now + at, TrialEvent::Finish { node, start_time, order, result });
    }

    // Callers

    fn submit(
        &mut self,
        order: OrderIndex,
        node: usize,
        other_body: bool,
        retries: u32,
        first: bool,
    ) {
        let Some(start_time) = self.nodes[node].process.as_ref().map(|process| process.start_time)
        else {
            return;
        };
        let planned = &self.plan.orders[order];
        let Some(key) = self.keys[order].clone() else {
            let mints = planned.minted || self.design == TrialDesign::Ticket;
            if mints && self.design != TrialDesign::Pair {
                self.next_order += 1;
                let query = QueryId(self.next_order);
                self.report.fetches += 1;
                let event = TrialEvent::Submit { order, node, other_body, retries, first };
                self.minting.insert((node, start_time, query), event);
                self.pass_input(node, OrderInput::Mint { query, customer: CUSTOMER, desk: DESK });
            } else {
                self.set_key(order, format!("order-{order}"));
                self.submit(order, node, other_body, retries, first);
            }
            return;
        };
        self.next_order += 1;
        let id = OrderId(self.next_order);
        self.submissions.insert(
            (node, start_time, id),
            Submission {
                order,
                at: self.now,
                first,
                retries,
                other_body,
                executed: false,
                answer: None,
            },
        );
        let Some(now) = self.local_time(node) else { return };
        let deadline = now + Duration::from_micros(self.rng.random_range(2 * SECOND..=5 * SECOND));
        self.pass_input(
            node,
            OrderInput::Submit {
                order: id,
                customer: CUSTOMER,
                desk: DESK,
                key,
                body_digest: [u8::from(other_body); 32],
                deadline,
                service_checks_keys: planned.service_checks_keys,
            },
        );
    }

    fn set_key(&mut self, order: OrderIndex, key: String) {
        let id = match self.signer.open_key(&key) {
            Some(key) if self.design == TrialDesign::Majority => OrderKey::from_minted(&key),
            _ => OrderKey::from_text(CUSTOMER, DESK, &key),
        };
        self.orders_by_key.insert(id, order);
        self.keys[order] = Some(key);
    }

    fn minted(
        &mut self,
        node: usize,
        start_time: TrialTime,
        query: QueryId,
        key: Result<String, ErrorKind>,
    ) {
        let Some(event) = self.minting.remove(&(node, start_time, query)) else { return };
        let TrialEvent::Submit { order, .. } = event else { return };
        if self.keys[order].is_none() {
            // A caller that gets no minted key chooses its own.
            self.set_key(order, key.unwrap_or_else(|_| format!("order-{order}")));
        }
        // The answer to the caller and its next request take 2 ms together.
        self.schedule(self.now + 2000, event);
    }

    fn answered(&mut self, node: usize, start_time: TrialTime, id: OrderId, answer: OrderAnswer) {
        let Some(submission) = self.submissions.get_mut(&(node, start_time, id)) else { return };
        if submission.answer.is_some() {
            self.report
                .violations
                .push(format!("seed {}: request {} was answered twice", self.plan.seed, id.0));
            return;
        }
        let (order, retries, other_body) =
            (submission.order, submission.retries, submission.other_body);
        submission.answer = Some(answer.clone());
        if submission.first {
            self.report.record_answer(&answer);
        }
        if let OrderAnswer::Answered { body, .. } = &answer {
            let retention = self.plan.params.retention.as_micros() as TrialTime;
            if !self.service.is_first_answer(order, body, retention) {
                self.report.differing_answers += 1;
                self.report.violations.push(format!(
                    "seed {}: order {order} was not answered with the result of its first execution",
                    self.plan.seed
                ));
            }
        }
        let retry_after = match answer.run_state() {
            RunState::NotRun => Some(self.rng.random_range(SECOND / 10..=2 * SECOND)),
            RunState::OutcomeUnknown => Some(self.rng.random_range(SECOND..=6 * SECOND)),
            RunState::Ran => None,
        };
        if let Some(delay) = retry_after
            && retries < CALLER_RETRIES
        {
            let node = self.rng.random_range(0..self.plan.nodes);
            let retries = retries + 1;
            let event = TrialEvent::Submit { order, node, other_body, retries, first: false };
            self.schedule(self.now + delay, event);
        }
    }

    fn submit_query(&mut self, order: OrderIndex, node: usize) {
        let Some(start_time) = self.nodes[node].process.as_ref().map(|process| process.start_time)
        else {
            return;
        };
        let (Some(key), Some(now)) = (self.keys[order].clone(), self.local_time(node)) else {
            return;
        };
        self.next_order += 1;
        let query = QueryId(self.next_order);
        self.queries.insert((node, start_time, query), (order, self.now));
        let deadline = now + Duration::from_secs(2);
        self.pass_input(
            node,
            OrderInput::Query { query, customer: CUSTOMER, desk: DESK, key, deadline },
        );
    }

    fn query_answered(
        &mut self,
        node: usize,
        start_time: TrialTime,
        query: QueryId,
        answer: OrderAnswer,
    ) {
        let Some((order, asked)) = self.queries.remove(&(node, start_time, query)) else { return };
        let retention = self.plan.params.retention.as_micros() as TrialTime;
        let wrong = match &answer {
            OrderAnswer::Answered { body, .. } => {
                !self.service.is_first_answer(order, body, retention)
            },
            OrderAnswer::Refused(ErrorKind::NotFound) => {
                let last = self.service.executions(order).last();
                last.is_some_and(|last| last.at < asked && self.now - last.at < retention)
            },
            _ => false,
        };
        self.report.queries += 1;
        if wrong {
            self.report.wrong_queries += 1;
            self.report.violations.push(format!(
                "seed {}: the answer to a query of order {order} contradicts its executions",
                self.plan.seed
            ));
        }
    }

    // Faults

    fn apply_fault(&mut self, index: usize) {
        match self.plan.faults[index].1.clone() {
            TrialFault::Crash { node } => self.nodes[node].process = None,
            TrialFault::Start { node } => self.start(node),
            TrialFault::Pause { node, length, clock_stops } => {
                let now = self.now;
                if let Some(process) = &mut self.nodes[node].process
                    && process.paused.is_none()
                {
                    process.paused = Some((now, clock_stops));
                    let start_time = process.start_time;
                    self.schedule(now + length, TrialEvent::Resume { node, start_time });
                }
            },
            TrialFault::Split { sides } => self.sides = sides,
            TrialFault::Heal => self.sides.fill(0),
            TrialFault::Loss { share } => self.loss = share,
            TrialFault::List { nodes } => self.publish(&nodes),
            TrialFault::FetchProbability { node, probability } => {
                self.nodes[node].fetch_probability = probability;
            },
            TrialFault::PlatformDown { down } => self.platform_down = down,
        }
    }

    fn finish(mut self) -> TrialReport {
        let retention = self.plan.params.retention.as_micros() as TrialTime;
        let answered: HashSet<_> = self
            .submissions
            .values()
            .filter(|submission| {
                let answer = submission.answer.as_ref();
                answer.is_some_and(|answer| answer.run_state() == RunState::Ran)
            })
            .map(|submission| submission.order)
            .collect();
        self.report.answered = answered.len();
        self.report.orders = self.plan.orders.len();
        self.report.executed = self.service.executed_orders();
        self.report.double_executions = self.service.repeated_executions(retention);
        for submission in self.submissions.values() {
            self.report.submissions += 1;
            match &submission.answer {
                Some(answer) if submission.executed && answer.run_state() == RunState::NotRun => {
                    self.report.false_not_run += 1;
                    self.report.violations.push(format!(
                        "seed {}: a request of order {} was run but answered with {answer:?}",
                        self.plan.seed, submission.order
                    ));
                },
                Some(_) => {},
                None => self.report.unanswered += 1,
            }
        }
        // Arrivals ended 30 s earlier. The last fault ended at least 18 s earlier, because a pause
        // may outlast the arrivals by 12 s. Every partition must be synchronised by now.
        let processes = self.nodes.iter().filter_map(|node| node.process.as_ref());
        self.report.unsynchronised = processes.map(|process| process.machine.syncing()).sum();
        if self.report.unsynchronised > 0 && self.defect == TrialDefect::None {
            self.report.violations.push(format!(
                "seed {}: {} replicas of partitions are not synchronised after the cool-down",
                self.plan.seed, self.report.unsynchronised
            ));
        }
        if self.report.double_executions > 0 {
            self.report.violations.push(format!(
                "seed {}: {} double executions, of orders {:?}",
                self.plan.seed,
                self.report.double_executions,
                self.service.repeated_orders(retention)
            ));
        }
        self.report
    }
}
