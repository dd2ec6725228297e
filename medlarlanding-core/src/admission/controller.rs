//! Admission of one instance: asks managers for permits and manages accounts itself.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::errors::ErrorKind;
use crate::ids::{
    CustomerId, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId, stable_hash,
};
use crate::rendezvous;
use crate::time::Timestamp;

use super::account::{AccountDump, BackendAccount, Verdict, VerdictKind};
use super::allotment::{CustomerAccount, CustomerAccountDump};
use super::lengths::{LengthEstimator, RouteLengthsDump};
use super::memory::{MemoryForecast, MemoryNeed};
use super::messages::{
    AdmissionMessage, CustomerAllotment, CustomerCount, DeclineReason, Objective, ReleasedWork,
    ServerStatus, WorkItem, WorkStage, split_for_datagrams,
};
use super::params::AdmissionParams;
use super::record::{CandidateView, DecisionReason, DecisionRecord};
use super::routing::{ServerView, rank_servers};

/// Number of messages about a waiting request whose send times are remembered.
const SENT_LIMIT: usize = 8;
/// Time for which the message numbers of a silent process are remembered.
const PEER_MEMORY: Duration = Duration::from_secs(600);
/// Number of report intervals in which a release is sent again.
const RELEASE_REPEATS: u8 = 2;

value_type! { copy
    /// A model engine as the configuration describes it.
    pub struct ServerCapacity {
        /// The server.
        pub server: ServerId,
        /// Memory in tokens.
        pub kv_tokens: u64,
        /// Largest batch.
        pub max_batch: u32,
        /// Whether it takes new work; false while it is leaving.
        pub accepting: bool,
    }
}

value_type! {
    /// A caller's request for a generation.
    pub struct AdmissionRequest {
        /// The request; its number is unique within the process.
        pub request: RequestId,
        /// Route, which selects the length distribution.
        pub route: RouteId,
        /// Servers of the route.
        pub candidates: Vec<ServerId>,
        /// Customer.
        pub customer: CustomerId,
        /// Share of the customer.
        pub share: u32,
        /// Limit of the customer's open requests over the fleet.
        pub open_limit: u32,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Largest number of output tokens.
        pub max_tokens: u32,
        /// 0 to 9, 9 most urgent.
        pub priority: u8,
        /// Objective of the desk.
        pub objective: Objective,
        /// Time by which the answer must be complete.
        pub deadline: Timestamp,
        /// Hash of the prompt's reusable prefix.
        pub prefix: Option<u64>,
    }
}

value_type! {
    /// A generation that already runs and is taken over, as after a caller's reconnect.
    pub struct AdoptedWork {
        /// The request; `candidates` and `prefix` are not used.
        pub request: AdmissionRequest,
        /// The server that runs it.
        pub server: ServerId,
        /// Tokens decoded so far.
        pub decoded: u32,
    }
}

/// What happens to an [`AdmissionController`].
#[derive(Clone, Debug)]
pub enum AdmissionInput {
    /// The servers of the configuration. Replaces the earlier list.
    Servers(Vec<ServerCapacity>),
    /// The live instances, including this one. Replaces the earlier list.
    Live(Vec<InstanceIdentity>),
    /// A caller's request; ends with `Granted` or `Refused`.
    Request(Box<AdmissionRequest>),
    /// A running generation that this instance serves from now on.
    Adopt(Box<AdoptedWork>),
    /// Tokens decoded so far by a granted request.
    Progress {
        /// The request.
        request: RequestId,
        /// Number of tokens.
        decoded: u32,
    },
    /// The server did not start a granted request; another one is wanted. Ends with `Granted`
    /// or `Refused`.
    Retry {
        /// The request.
        request: RequestId,
    },
    /// A request ended, was cancelled or is no longer wanted. Ignored for unknown requests.
    Finished {
        /// The request.
        request: RequestId,
        /// Number of tokens.
        decoded: u32,
        /// Whether the model ended it by itself.
        whole: bool,
    },
    /// A server does not respond.
    ServerSuspect(ServerId),
    /// A message of another instance.
    Message {
        /// The sender.
        from: InstanceIdentity,
        /// The message.
        message: AdmissionMessage,
    },
    /// Time has passed.
    Tick,
}

/// What the runtime has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Sends one datagram.
    Send {
        /// The receiver. The frame must name its process, so that a restarted one drops it.
        to: InstanceIdentity,
        /// The message.
        message: AdmissionMessage,
    },
    /// The request may start.
    Granted {
        /// The request.
        request: RequestId,
        /// The server.
        server: ServerId,
        /// Time up to which it may start; afterwards `Retry` is needed. Checked immediately
        /// before the send.
        start_by: Timestamp,
    },
    /// The request was not run and will not be. It is forgotten.
    Refused {
        /// The request.
        request: RequestId,
        /// Kind of the answer.
        kind: ErrorKind,
        /// Time after which a retry can help, if known better than the kind says.
        retry_after: Option<Duration>,
    },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AskState {
    /// Sent; no reply yet.
    Sent,
    /// The manager has it in its queue.
    Queued,
    /// The manager did not reply in time.
    Unreachable,
    /// The manager gives no permit.
    Declined(DeclineReason),
}

#[derive(Clone, Debug)]
struct PermitAsk {
    server: ServerId,
    state: AskState,
    since: Timestamp,
    /// Numbers and times of the latest messages about the request to this manager.
    sent: VecDeque<(u64, Timestamp)>,
}

#[derive(Clone, Debug)]
enum OpenStage {
    /// Waits for a larger allotment of its customer.
    CustomerCheck { until: Timestamp },
    /// Waits for a permit.
    Asking { ranked: Vec<ServerId>, asks: Vec<PermitAsk>, by_prefix: bool },
    /// Has a permit.
    Running { server: ServerId, local: bool },
}

#[derive(Clone, Debug)]
struct OpenRequest {
    request: AdmissionRequest,
    arrived: Timestamp,
    decoded: u32,
    stage: OpenStage,
    /// Servers that failed to start the request.
    failed: Vec<ServerId>,
    record: DecisionRecord,
    /// Time of the request's entry in `timers`.
    due: Option<Timestamp>,
}

#[derive(Clone, Copy, Debug)]
struct SeenServer {
    status: ServerStatus,
    at: Timestamp,
    /// Load of requests sent there since the status, in parts of the capacity.
    sent_load: f64,
}

/// Recognises messages of one process that are later than two leases.
#[derive(Clone, Copy, Debug)]
struct PeerSequence {
    highest: u64,
    /// Highest number at `marked_at`.
    mark: u64,
    marked_at: Timestamp,
    /// Messages up to this number are dropped.
    floor: u64,
}

/// A customer's open requests at this instance.
#[derive(Clone, Copy, Debug)]
struct CustomerUse {
    limit: u32,
    /// Requests that wait for a permit or run.
    opened: u32,
    /// Number of requests that may be open. Invariant: while a count is sent and not replied
    /// to, it is not above what the count said, because the manager may have given the rest
    /// to another instance.
    allotment: u32,
    valid_until: Timestamp,
    /// Number and time of the count that was not replied to yet.
    sent: Option<(u64, Timestamp)>,
    active_at: Timestamp,
}

value_type! {
    /// One open request for the dump.
    pub struct OpenDump {
        /// The decision so far.
        pub record: DecisionRecord,
        /// Name of the stage.
        pub stage: String,
        /// Tokens decoded.
        pub decoded: u32,
        /// Age in ms.
        pub age_ms: u64,
    }
}

/// State of an [`AdmissionController`] for the dump.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionDump {
    /// Number of live instances.
    pub live: usize,
    /// Open requests.
    pub open: Vec<OpenDump>,
    /// Accounts that this instance manages.
    pub accounts: Vec<AccountDump>,
    /// Customers whose limit this instance divides.
    pub customers: Vec<CustomerAccountDump>,
    /// Servers as last reported by their managers, with the age in ms.
    pub servers: Vec<(ServerStatus, u64)>,
    /// Managers that do not reply.
    pub unreachable: Vec<InstanceId>,
    /// Length distributions.
    pub lengths: Vec<RouteLengthsDump>,
    /// Latest decisions.
    pub decisions: Vec<DecisionRecord>,
}

/// Decides on the admission of generations at one instance.
#[derive(Debug)]
pub struct AdmissionController {
    params: AdmissionParams,
    own: InstanceIdentity,
    random: SmallRng,
    now: Timestamp,
    started: bool,
    servers: IndexMap<ServerId, ServerCapacity>,
    live: Vec<InstanceIdentity>,
    /// Time of the latest change of `live` or end of a pause.
    view_at: Timestamp,
    /// Each open request by its number. Invariant: it has exactly one stage, and all but
    /// running ones have a timer not later than their deadline.
    open: BTreeMap<u64, OpenRequest>,
    timers: BTreeSet<(Timestamp, u64)>,
    accounts: BTreeMap<ServerId, BackendAccount>,
    customers: BTreeMap<CustomerId, CustomerAccount>,
    uses: BTreeMap<CustomerId, CustomerUse>,
    seen: BTreeMap<ServerId, SeenServer>,
    /// Manager that last sent the state of each server.
    confirmed: BTreeMap<ServerId, InstanceIdentity>,
    unreachable: BTreeSet<InstanceId>,
    suspects: BTreeMap<ServerId, Timestamp>,
    peers: BTreeMap<(InstanceId, u64), PeerSequence>,
    releases: Vec<(ReleasedWork, u8)>,
    lengths: LengthEstimator,
    decisions: VecDeque<DecisionRecord>,
    seq: u64,
    next_report: Timestamp,
    next_summary: Timestamp,
    summary_peer: usize,
    poll_at: usize,
    loopback: VecDeque<AdmissionMessage>,
}

impl AdmissionController {
    /// Creates the controller of an instance that knows no servers and no peers.
    pub fn new(params: AdmissionParams, own: InstanceIdentity, seed: u64) -> Self {
        let lengths = LengthEstimator::new(params.length_half_life);
        Self {
            params,
            own,
            random: SmallRng::seed_from_u64(seed),
            now: Timestamp::default(),
            started: false,
            servers: IndexMap::new(),
            live: Vec::new(),
            view_at: Timestamp::default(),
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            accounts: BTreeMap::new(),
            customers: BTreeMap::new(),
            uses: BTreeMap::new(),
            seen: BTreeMap::new(),
            confirmed: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            suspects: BTreeMap::new(),
            peers: BTreeMap::new(),
            releases: Vec::new(),
            lengths,
            decisions: VecDeque::new(),
            seq: 0,
            next_report: Timestamp::default(),
            next_summary: Timestamp::default(),
            summary_peer: 0,
            poll_at: 0,
            loopback: VecDeque::new(),
        }
    }

    /// Takes in one input and appends what the runtime has to do.
    ///
    /// # Panics
    ///
    /// If an invariant of the accounts is violated.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: AdmissionInput,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if !self.started {
            self.started = true;
            (self.view_at, self.next_report, self.next_summary) = (now, now, now);
        } else if now.since(self.now) > self.params.lease {
            self.resume_after_pause(now);
        }
        self.now = now.max(self.now);
        match input {
            AdmissionInput::Servers(servers) => self.set_servers(servers, effects),
            AdmissionInput::Live(live) => self.set_live(live, effects),
            AdmissionInput::Request(request) => self.accept(*request, effects),
            AdmissionInput::Adopt(adopted) => self.adopt(*adopted, effects),
            AdmissionInput::Progress { request, decoded } => self.progress(request, decoded),
            AdmissionInput::Retry { request } => self.retry(request, effects),
            AdmissionInput::Finished { request, decoded, whole } => {
                self.finish(request, decoded, whole, effects);
            },
            AdmissionInput::ServerSuspect(server) => self.suspect(server, effects),
            AdmissionInput::Message { from, message } => self.receive(from, message, effects),
            AdmissionInput::Tick => {},
        }
        self.drain_loopback(effects);
        self.run_timers(effects);
        self.drain_loopback(effects);
    }

    /// Returns when to call `handle` with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let timer = self.timers.first().map(|&(due, _)| due);
        let periodic = (self.started && !self.live.is_empty()).then_some(self.next_report);
        Timestamp::earliest(timer, periodic)
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> AdmissionDump {
        AdmissionDump {
            live: self.live.len(),
            open: self
                .open
                .values()
                .map(|open| OpenDump {
                    record: open.record.clone(),
                    stage: match &open.stage {
                        OpenStage::CustomerCheck { .. } => "customer_check".to_owned(),
                        OpenStage::Asking { asks, .. } => format!("asking {}", asks.len()),
                        OpenStage::Running { local: false, .. } => "running".to_owned(),
                        OpenStage::Running { local: true, .. } => "running_local".to_owned(),
                    },
                    decoded: open.decoded,
                    age_ms: self.now.since(open.arrived).as_millis() as u64,
                })
                .collect(),
            accounts: self.accounts.values().map(|a| a.dump(self.now, &self.lengths)).collect(),
            customers: self.customers.values().map(CustomerAccount::dump).collect(),
            servers: self
                .seen
                .values()
                .map(|seen| (seen.status, self.now.since(seen.at).as_millis() as u64))
                .collect(),
            unreachable: self.unreachable.iter().copied().collect(),
            lengths: self.lengths.dump(),
            decisions: self.decisions.iter().cloned().collect(),
        }
    }

    /// Gets the number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    // Views.

    fn set_servers(&mut self, servers: Vec<ServerCapacity>, effects: &mut Vec<AdmissionEffect>) {
        self.servers = servers.into_iter().map(|server| (server.server, server)).collect();
        self.seen.retain(|server, _| self.servers.contains_key(server));
        self.rebuild_accounts();
        self.report_all(true, effects);
    }

    fn set_live(&mut self, live: Vec<InstanceIdentity>, effects: &mut Vec<AdmissionEffect>) {
        if live == self.live {
            return;
        }
        let before: Vec<_> =
            self.servers.keys().map(|&server| (server, self.manager(server))).collect();
        let customers: Vec<_> = self.uses.keys().map(|&c| (c, self.customer_manager(c))).collect();
        self.live = live;
        self.view_at = self.now;
        let ids: BTreeSet<_> = self.live.iter().map(|instance| instance.id).collect();
        self.unreachable.retain(|id| ids.contains(id));
        self.rebuild_accounts();
        let own_id = self.own.id;
        let ranked: Vec<_> = self.customers.keys().copied().collect();
        for customer in ranked {
            if self.customer_manager(customer).is_some_and(|manager| manager.id != own_id) {
                self.customers.remove(&customer);
            }
        }
        for (customer, manager) in customers {
            if self.customer_manager(customer) != manager
                && let Some(used) = self.uses.get_mut(&customer)
            {
                (used.allotment, used.sent) = (used.opened, None);
            }
        }
        let moved: BTreeSet<_> = before
            .into_iter()
            .filter(|&(server, manager)| self.manager(server) != manager)
            .map(|(server, _)| server)
            .collect();
        let now = self.now;
        let mut waiting = Vec::new();
        for (&number, open) in &mut self.open {
            let OpenStage::Asking { asks, .. } = &mut open.stage else { continue };
            for ask in asks.iter_mut().filter(|ask| moved.contains(&ask.server)) {
                (ask.state, ask.since) = (AskState::Sent, now);
                ask.sent.clear();
                waiting.push(number);
            }
        }
        self.report_all(true, effects);
        for number in waiting {
            self.advance(number, effects);
        }
    }

    /// Creates the accounts that this instance manages and drops the others.
    fn rebuild_accounts(&mut self) {
        let managed: BTreeMap<_, _> = self
            .servers
            .values()
            .filter(|capacity| {
                self.manager(capacity.server).is_some_and(|manager| manager.id == self.own.id)
            })
            .map(|capacity| (capacity.server, *capacity))
            .collect();
        self.accounts.retain(|server, _| managed.contains_key(server));
        for (server, capacity) in managed {
            match self.accounts.get_mut(&server) {
                Some(account) => {
                    account.set_capacity(capacity);
                    account.set_live(&self.live);
                },
                None => {
                    let params = self.params.clone();
                    let account = BackendAccount::new(params, capacity, &self.live, self.now);
                    self.accounts.insert(server, account);
                },
            }
        }
    }

    /// Forgets what others may have replaced while this process did not run.
    fn resume_after_pause(&mut self, now: Timestamp) {
        self.view_at = now;
        for account in self.accounts.values_mut() {
            account.start_warm_up(&self.live, now);
        }
        for account in self.customers.values_mut() {
            account.set_warm_until(now + self.params.lease);
        }
        for used in self.uses.values_mut() {
            (used.allotment, used.sent) = (used.opened, None);
        }
        self.confirmed.clear();
        self.next_report = now;
    }

    fn manager(&self, server: ServerId) -> Option<InstanceIdentity> {
        self.first_live(server.0)
    }

    fn customer_manager(&self, customer: CustomerId) -> Option<InstanceIdentity> {
        let mut key = *b"customer........";
        key[8..].copy_from_slice(&customer.0.to_le_bytes());
        self.first_live(stable_hash(&key))
    }

    fn first_live(&self, key: u64) -> Option<InstanceIdentity> {
        let id = rendezvous::first(key, self.live.iter().map(|instance| instance.id))?;
        self.live.iter().copied().find(|instance| instance.id == id)
    }

    fn suspect(&mut self, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        self.suspects.insert(server, self.now + self.params.suspect_hold);
        if let Some(manager) = self.manager(server) {
            let seq = self.next_seq();
            self.send(manager, AdmissionMessage::Suspect { seq, server }, effects);
        }
    }

    // Requests.

    fn accept(&mut self, request: AdmissionRequest, effects: &mut Vec<AdmissionEffect>) {
        let number = request.request.number;
        if self.open.contains_key(&number) {
            return;
        }
        let record = DecisionRecord {
            request: request.request,
            candidates: Vec::new(),
            asked: Vec::new(),
            chosen: None,
            reason: DecisionReason::Pending,
            waited_ms: 0,
        };
        let until = self.now + self.params.reply_timeout;
        let customer = request.customer;
        let limit = request.open_limit;
        let open = OpenRequest {
            request,
            arrived: self.now,
            decoded: 0,
            stage: OpenStage::CustomerCheck { until },
            failed: Vec::new(),
            record,
            due: None,
        };
        self.open.insert(number, open);
        self.set_due(number, Some(until));
        self.use_of(customer, limit).active_at = self.now;
        if self.has_room(customer) {
            self.count_open(number, effects);
        } else {
            self.send_counts(&[customer], effects);
        }
    }

    fn adopt(&mut self, adopted: AdoptedWork, effects: &mut Vec<AdmissionEffect>) {
        let AdoptedWork { request, server, decoded } = adopted;
        let number = request.request.number;
        let record = DecisionRecord {
            request: request.request,
            candidates: Vec::new(),
            asked: Vec::new(),
            chosen: Some(server),
            reason: DecisionReason::Adopted,
            waited_ms: 0,
        };
        self.keep_record(record.clone());
        let open = OpenRequest {
            request,
            arrived: self.now,
            decoded,
            stage: OpenStage::Running { server, local: false },
            failed: Vec::new(),
            record,
            due: None,
        };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.open.insert(number, open);
        self.use_of(customer, limit).opened += 1;
        self.report_one(number, server, effects);
    }

    fn progress(&mut self, request: RequestId, decoded: u32) {
        let Some(open) = self.open.get_mut(&request.number) else { return };
        if open.request.request != request || decoded <= open.decoded {
            return;
        }
        self.lengths.observe(open.request.route, open.decoded, decoded, false);
        open.decoded = decoded;
    }

    fn retry(&mut self, request: RequestId, effects: &mut Vec<AdmissionEffect>) {
        let number = request.number;
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Running { server, .. } = open.stage else { return };
        open.failed.push(server);
        open.decoded = 0;
        self.release(number, server, 0, effects);
        self.start_asking(number, effects);
    }

    fn finish(
        &mut self,
        request: RequestId,
        decoded: u32,
        whole: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let number = request.number;
        if self.open.get(&number).is_none_or(|open| open.request.request != request) {
            return;
        }
        self.set_due(number, None);
        let Some(open) = self.open.remove(&number) else { return };
        match &open.stage {
            OpenStage::CustomerCheck { .. } => {},
            OpenStage::Asking { asks, .. } => {
                for ask in asks {
                    self.release(number, ask.server, 0, effects);
                }
            },
            OpenStage::Running { server, .. } => {
                let decoded = decoded.max(open.decoded);
                self.lengths.observe(open.request.route, open.decoded, decoded, whole);
                self.release(number, *server, decoded, effects);
            },
        }
        if !matches!(open.stage, OpenStage::CustomerCheck { .. }) {
            self.uncount_open(open.request.customer, effects);
        }
    }

    fn use_of(&mut self, customer: CustomerId, limit: u32) -> &mut CustomerUse {
        let now = self.now;
        let used = self.uses.entry(customer).or_insert(CustomerUse {
            limit,
            opened: 0,
            allotment: 0,
            valid_until: now,
            sent: None,
            active_at: now,
        });
        used.limit = limit;
        used
    }

    /// Returns whether the customer's allotment allows one more request.
    fn has_room(&self, customer: CustomerId) -> bool {
        self.uses
            .get(&customer)
            .is_some_and(|used| used.opened < used.allotment && self.now <= used.valid_until)
    }

    /// Counts a request towards its customer's limit and looks for a server.
    fn count_open(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.use_of(customer, limit).opened += 1;
        self.start_asking(number, effects);
    }

    fn uncount_open(&mut self, customer: CustomerId, effects: &mut Vec<AdmissionEffect>) {
        let now = self.now;
        if let Some(used) = self.uses.get_mut(&customer) {
            used.opened = used.opened.saturating_sub(1);
            used.active_at = now;
        }
        self.admit_waiting(customer, effects);
    }

    /// Returns the requests of a customer that wait for its allotment.
    fn waiting_for_allotment(&self, customer: CustomerId) -> Vec<u64> {
        let waits = |open: &OpenRequest| {
            open.request.customer == customer
                && matches!(open.stage, OpenStage::CustomerCheck { .. })
        };
        self.open.iter().filter(|(_, open)| waits(open)).map(|(&number, _)| number).collect()
    }

    /// Starts requests of a customer that waited for its allotment.
    fn admit_waiting(&mut self, customer: CustomerId, effects: &mut Vec<AdmissionEffect>) {
        for number in self.waiting_for_allotment(customer) {
            if !self.has_room(customer) {
                break;
            }
            self.count_open(number, effects);
        }
    }

    /// Returns what this instance allows a customer whose manager cannot be reached.
    fn local_allotment(&self, limit: u32) -> u32 {
        let part = f64::from(limit) * self.params.local_part / self.live.len().max(1) as f64;
        (part as u32).max(1)
    }

    fn start_asking(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let now = self.now;
        let views: Vec<_> = open
            .request
            .candidates
            .iter()
            .filter(|server| self.usable(**server, &open.failed))
            .map(|&server| {
                let seen = self.seen.get(&server);
                ServerView {
                    server,
                    load: seen.map_or(0.0, |seen| {
                        f64::from(seen.status.load_permille) / 1000.0 + seen.sent_load
                    }),
                    // A server without a reachable manager only has this instance's small
                    // share, so it comes last.
                    wait_ms: match self.manager(server) {
                        Some(manager) if !self.unreachable.contains(&manager.id) => seen
                            .map_or(0, |seen| {
                                seen.status.wait_ms.max(u32::from(seen.status.queued > 0))
                            }),
                        _ => u32::MAX,
                    },
                }
            })
            .collect();
        let prefix = open.request.prefix;
        let bound = self.params.affinity_bound;
        let (ranked, by_prefix) = rank_servers(views, prefix, bound, &mut self.random);
        let Some(open) = self.open.get_mut(&number) else { return };
        open.record.candidates = ranked
            .iter()
            .map(|view| CandidateView {
                server: view.server,
                load_permille: (view.load * 1000.0) as u32,
                wait_ms: view.wait_ms,
            })
            .collect();
        open.record.waited_ms = now.since(open.arrived).as_millis() as u64;
        let ranked = ranked.iter().map(|view| view.server).collect();
        open.stage = OpenStage::Asking { ranked, asks: Vec::new(), by_prefix };
        self.advance(number, effects);
    }

    /// Returns whether a server can be asked for.
    fn usable(&self, server: ServerId, failed: &[ServerId]) -> bool {
        self.servers.get(&server).is_some_and(|capacity| capacity.accepting)
            && self.suspects.get(&server).is_none_or(|&until| self.now >= until)
            && !failed.contains(&server)
            && self.seen.get(&server).is_none_or(|seen| {
                seen.status.open || self.now.since(seen.at) > self.params.suspect_hold
            })
    }

    /// Moves a waiting request on: notes late replies, asks further managers, refuses.
    fn advance(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&number) else { return };
        let deadline = open.request.deadline - self.params.answer_margin;
        let OpenStage::Asking { ranked, asks, .. } = &mut open.stage else { return };
        if now >= deadline {
            self.refuse(number, DecisionReason::DeadlineReached, effects);
            return;
        }
        for ask in asks.iter_mut() {
            if ask.state == AskState::Sent && now.since(ask.since) >= self.params.reply_timeout {
                ask.state = AskState::Unreachable;
            }
        }
        let lost: Vec<_> = asks
            .iter()
            .filter(|ask| ask.state == AskState::Unreachable)
            .map(|ask| ask.server)
            .collect();
        let pending = asks.iter().any(|ask| ask.state == AskState::Sent);
        let waiting = asks.iter().filter(|ask| ask.state == AskState::Queued).count();
        let known: Vec<_> = asks.iter().map(|ask| ask.server).collect();
        let next = ranked.iter().copied().find(|server| !known.contains(server));
        for server in lost {
            if let Some(manager) = self.manager(server)
                && manager.id != self.own.id
            {
                self.unreachable.insert(manager.id);
            }
            if self.admit_locally(number, server, effects) {
                return;
            }
        }
        if !pending && waiting < self.params.ask_width {
            match next {
                Some(server) => {
                    self.ask(number, server, effects);
                    return;
                },
                None if waiting == 0 => {
                    self.refuse_if_declined(number, effects);
                },
                None => {},
            }
        }
        self.update_due(number);
    }

    fn refuse_if_declined(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::Asking { asks, .. } = &open.stage else { return };
        if asks.iter().any(|ask| !matches!(ask.state, AskState::Declined(_))) {
            return;
        }
        let full = asks.iter().any(|ask| {
            matches!(
                ask.state,
                AskState::Declined(
                    DeclineReason::QueueFull | DeclineReason::WaitTooLong | DeclineReason::TooLarge
                )
            )
        });
        let reason = if full { DecisionReason::Overloaded } else { DecisionReason::NoServer };
        self.refuse(number, reason, effects);
    }

    fn update_due(&mut self, number: u64) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::Asking { asks, .. } = &open.stage else { return };
        let reply = asks
            .iter()
            .filter(|ask| ask.state == AskState::Sent)
            .map(|ask| ask.since + self.params.reply_timeout)
            .min();
        let deadline = open.request.deadline - self.params.answer_margin;
        let due = Timestamp::earliest(reply, Some(deadline));
        self.set_due(number, due);
    }

    fn ask(&mut self, number: u64, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        let now = self.now;
        let reachable = self.manager(server).is_some_and(|m| !self.unreachable.contains(&m.id));
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Asking { asks, .. } = &mut open.stage else { return };
        open.record.asked.push(server);
        // A manager that is known not to reply is asked all the same, but not waited for.
        let state = if reachable { AskState::Sent } else { AskState::Unreachable };
        asks.push(PermitAsk { server, state, since: now, sent: VecDeque::new() });
        let need = f64::from(open.request.prompt_tokens)
            + self.lengths.curve(open.request.route).mean_remaining(0, open.request.max_tokens);
        if let (Some(seen), Some(capacity)) =
            (self.seen.get_mut(&server), self.servers.get(&server))
        {
            seen.sent_load += need / capacity.kv_tokens.max(1) as f64;
        }
        self.update_due(number);
        self.report_one(number, server, effects);
        if !reachable {
            self.advance(number, effects);
        }
    }

    /// Admits a request to a server whose manager cannot be reached, within this instance's
    /// conservative share. Returns whether it was admitted.
    fn admit_locally(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) -> bool {
        let Some(capacity) = self.servers.get(&server).copied() else { return false };
        if !self.usable(server, &[]) {
            return false;
        }
        let part = self.params.local_part / self.live.len().max(1) as f64;
        let Some(open) = self.open.get(&number) else { return false };
        let mut forecast = MemoryForecast::default();
        let mut running = 1;
        forecast.add(&self.need(open));
        for other in self.open.values() {
            if matches!(other.stage, OpenStage::Running { server: at, .. } if at == server) {
                forecast.add(&self.need(other));
                running += 1;
            }
        }
        let batch = (f64::from(capacity.max_batch) * part).max(1.0);
        if f64::from(running) > batch || forecast.peak(0.0) > capacity.kv_tokens as f64 * part {
            return false;
        }
        let start_by = self.now + self.params.lease;
        self.start(number, server, true, start_by, effects);
        true
    }

    fn need(&self, open: &OpenRequest) -> MemoryNeed<'_> {
        MemoryNeed {
            prompt_tokens: open.request.prompt_tokens,
            decoded: open.decoded,
            max_tokens: open.request.max_tokens,
            curve: self.lengths.curve(open.request.route),
        }
    }

    /// Puts a request on a server and withdraws it from the other managers.
    fn start(
        &mut self,
        number: u64,
        server: ServerId,
        local: bool,
        start_by: Timestamp,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let stage = std::mem::replace(&mut open.stage, OpenStage::Running { server, local });
        let OpenStage::Asking { ranked, asks, by_prefix } = stage else { return };
        open.record.chosen = Some(server);
        open.record.waited_ms = self.now.since(open.arrived).as_millis() as u64;
        open.record.reason = if local {
            DecisionReason::LocalShare
        } else if asks.len() > 1 || asks.iter().any(|ask| ask.state == AskState::Queued) {
            DecisionReason::FirstRoom
        } else if by_prefix && ranked.first() == Some(&server) {
            DecisionReason::PrefixAffinity
        } else {
            DecisionReason::LeastLoaded
        };
        let (record, request) = (open.record.clone(), open.request.request);
        self.keep_record(record);
        self.set_due(number, None);
        for ask in asks.iter().filter(|ask| ask.server != server) {
            self.release(number, ask.server, 0, effects);
        }
        if local {
            self.report_one(number, server, effects);
        }
        effects.push(AdmissionEffect::Granted { request, server, start_by });
    }

    fn refuse(&mut self, number: u64, reason: DecisionReason, effects: &mut Vec<AdmissionEffect>) {
        self.set_due(number, None);
        let Some(mut open) = self.open.remove(&number) else { return };
        let mut retry_after = None;
        if let OpenStage::Asking { asks, .. } = &open.stage {
            for ask in asks {
                self.release(number, ask.server, 0, effects);
            }
            let shortest = asks.iter().filter_map(|ask| self.seen.get(&ask.server));
            retry_after = shortest
                .map(|seen| seen.status.wait_ms)
                .min()
                .filter(|&wait| wait > 1000)
                .map(|wait| Duration::from_millis(u64::from(wait)));
        }
        open.record.reason = reason;
        open.record.waited_ms = self.now.since(open.arrived).as_millis() as u64;
        let kind = match reason {
            DecisionReason::CustomerLimit => ErrorKind::CustomerLimit,
            DecisionReason::NoServer => ErrorKind::NoBackend,
            _ => ErrorKind::Overloaded,
        };
        self.keep_record(open.record);
        let request = open.request.request;
        effects.push(AdmissionEffect::Refused { request, kind, retry_after });
        if !matches!(open.stage, OpenStage::CustomerCheck { .. }) {
            self.uncount_open(open.request.customer, effects);
        }
    }

    fn keep_record(&mut self, record: DecisionRecord) {
        if self.decisions.len() >= self.params.record_limit {
            self.decisions.pop_front();
        }
        self.decisions.push_back(record);
    }

    fn set_due(&mut self, number: u64, due: Option<Timestamp>) {
        let Some(open) = self.open.get_mut(&number) else { return };
        if let Some(before) = open.due.take() {
            self.timers.remove(&(before, number));
        }
        open.due = due;
        if let Some(due) = due {
            self.timers.insert((due, number));
        }
    }

    // Messages.

    fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    fn send(
        &mut self,
        to: InstanceIdentity,
        message: AdmissionMessage,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if to.id == self.own.id {
            self.loopback.push_back(message);
        } else {
            effects.push(AdmissionEffect::Send { to, message });
        }
    }

    fn drain_loopback(&mut self, effects: &mut Vec<AdmissionEffect>) {
        while let Some(message) = self.loopback.pop_front() {
            self.receive(self.own, message, effects);
        }
    }

    fn receive(
        &mut self,
        from: InstanceIdentity,
        message: AdmissionMessage,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        self.unreachable.remove(&from.id);
        match message {
            AdmissionMessage::Report { seq, items, polls, complete } => {
                if self.current(from, seq) {
                    self.receive_report(from, seq, &items, &polls, complete, effects);
                }
            },
            AdmissionMessage::Release { seq, items } => {
                if self.current(from, seq) {
                    self.receive_release(from, &items, effects);
                }
            },
            AdmissionMessage::Suspect { seq, server } => {
                if self.current(from, seq)
                    && let Some(account) = self.accounts.get_mut(&server)
                {
                    account.suspect(self.now);
                }
            },
            AdmissionMessage::Grant { heard, number, status } => {
                self.see(from, status);
                self.receive_grant(heard, number, status.server, effects);
            },
            AdmissionMessage::Decline { heard, number, server, reason } => {
                self.receive_decline(heard, number, server, reason, effects);
            },
            AdmissionMessage::Status { seq, servers } => {
                for status in servers {
                    self.see(from, status);
                }
                self.receive_status(seq, effects);
            },
            AdmissionMessage::Counts { seq, counts } => {
                if self.current(from, seq) {
                    self.receive_counts(from, seq, &counts, effects);
                }
            },
            AdmissionMessage::Allot { seq, allotments } => {
                self.receive_allotments(seq, &allotments, effects);
            },
            AdmissionMessage::Lengths { seq, route, bins } => {
                self.lengths.merge(from.id, from.incarnation.started, seq, route, &bins);
            },
        }
    }

    /// Returns whether a message is not later than two leases.
    fn current(&mut self, from: InstanceIdentity, seq: u64) -> bool {
        if !self.params.check_sequence {
            return true;
        }
        let (now, lease) = (self.now, self.params.lease);
        let key = (from.id, from.incarnation.started);
        let peer = self.peers.entry(key).or_insert(PeerSequence {
            highest: 0,
            mark: 0,
            marked_at: now,
            floor: 0,
        });
        let elapsed = now.since(peer.marked_at);
        if elapsed >= lease * 2 {
            // Nothing was received for at least one lease.
            (peer.floor, peer.mark, peer.marked_at) = (peer.highest, peer.highest, now);
        } else if elapsed >= lease {
            (peer.floor, peer.mark, peer.marked_at) = (peer.mark, peer.highest, now);
        }
        peer.highest = peer.highest.max(seq);
        seq > peer.floor
    }

    fn receive_report(
        &mut self,
        from: InstanceIdentity,
        seq: u64,
        items: &[WorkItem],
        polls: &[ServerId],
        complete: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let mut verdicts = Vec::new();
        let mut named = BTreeSet::new();
        let mut declined = Vec::new();
        for item in items {
            let Some(account) = self.accounts.get_mut(&item.server) else {
                if item.stage != WorkStage::Running {
                    declined.push((item.number, item.server));
                }
                continue;
            };
            account.report(self.now, from, seq, *item, &self.lengths, &mut verdicts);
            named.insert(item.server);
        }
        named.extend(polls.iter().copied().filter(|server| self.accounts.contains_key(server)));
        for &server in &named {
            self.flush(server, std::mem::take(&mut verdicts), effects);
        }
        if complete {
            for account in self.accounts.values_mut() {
                account.hear(from.id);
            }
        }
        for &server in &named {
            let Some(account) = self.accounts.get_mut(&server) else { continue };
            let mut verdicts = Vec::new();
            account.grant(self.now, &self.lengths, &mut verdicts);
            self.flush(server, verdicts, effects);
        }
        for (number, server) in declined {
            let reason = DeclineReason::NotManager;
            let message = AdmissionMessage::Decline { heard: seq, number, server, reason };
            self.send(from, message, effects);
        }
        let statuses: Vec<_> = named
            .iter()
            .filter_map(|server| self.accounts.get(server))
            .map(|account| account.status(self.now, &self.lengths))
            .collect();
        for servers in split_for_datagrams(&statuses) {
            self.send(from, AdmissionMessage::Status { seq, servers }, effects);
        }
    }

    fn receive_release(
        &mut self,
        from: InstanceIdentity,
        items: &[ReleasedWork],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for item in items {
            let Some(account) = self.accounts.get_mut(&item.server) else { continue };
            account.release(self.now, from, item);
            let mut verdicts = Vec::new();
            account.grant(self.now, &self.lengths, &mut verdicts);
            self.flush(item.server, verdicts, effects);
        }
    }

    /// Sends the decisions of an account.
    fn flush(
        &mut self,
        server: ServerId,
        verdicts: Vec<Verdict>,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if verdicts.is_empty() {
            return;
        }
        let Some(account) = self.accounts.get(&server) else { return };
        let status = account.status(self.now, &self.lengths);
        for Verdict { to, number, heard, kind } in verdicts {
            let message = match kind {
                VerdictKind::Grant => AdmissionMessage::Grant { heard, number, status },
                VerdictKind::Decline(reason) => {
                    AdmissionMessage::Decline { heard, number, server, reason }
                },
            };
            self.send(to, message, effects);
        }
    }

    fn see(&mut self, from: InstanceIdentity, status: ServerStatus) {
        let server = status.server;
        if self.manager(server).is_some_and(|manager| manager.id == from.id) {
            self.confirmed.insert(server, from);
            self.seen.insert(server, SeenServer { status, at: self.now, sent_load: 0.0 });
        }
    }

    fn receive_grant(
        &mut self,
        heard: u64,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let lease = self.params.lease;
        let (mut sent_at, mut asked) = (None, false);
        if let Some(open) = self.open.get_mut(&number) {
            match &mut open.stage {
                OpenStage::Running { server: at, .. } if *at == server => return,
                OpenStage::Asking { asks, .. } => {
                    if let Some(ask) = asks.iter_mut().find(|ask| ask.server == server) {
                        asked = true;
                        sent_at = ask.sent.iter().find(|sent| sent.0 == heard).map(|s| s.1);
                    }
                },
                _ => {},
            }
        }
        if !asked {
            self.release(number, server, 0, effects);
            return;
        }
        // The manager counts the lease from a time not before it received that message.
        let start_by = sent_at.map(|sent| sent + lease).filter(|&by| by > self.now);
        match start_by {
            Some(start_by) => self.start(number, server, false, start_by, effects),
            // Too late: a fresh report makes the manager grant again with a new lease.
            None => self.report_one(number, server, effects),
        }
    }

    fn receive_decline(
        &mut self,
        heard: u64,
        number: u64,
        server: ServerId,
        reason: DeclineReason,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Asking { asks, .. } = &mut open.stage else { return };
        let ask = asks.iter_mut().find(|ask| ask.server == server);
        let Some(ask) = ask.filter(|ask| ask.sent.iter().any(|sent| sent.0 == heard)) else {
            return;
        };
        // A receiver that does not see itself as the manager has an older or newer list;
        // until the lists agree it is the same as a manager that cannot be reached.
        ask.state = match reason {
            DeclineReason::NotManager => AskState::Unreachable,
            _ => AskState::Declined(reason),
        };
        self.advance(number, effects);
    }

    fn receive_status(&mut self, seq: u64, effects: &mut Vec<AdmissionEffect>) {
        let mut changed = Vec::new();
        for (&number, open) in &mut self.open {
            let OpenStage::Asking { asks, .. } = &mut open.stage else { continue };
            for ask in asks {
                if matches!(ask.state, AskState::Sent | AskState::Unreachable)
                    && ask.sent.iter().any(|sent| sent.0 == seq)
                {
                    ask.state = AskState::Queued;
                    changed.push(number);
                }
            }
        }
        for number in changed {
            self.advance(number, effects);
        }
    }

    fn receive_counts(
        &mut self,
        from: InstanceIdentity,
        seq: u64,
        counts: &[CustomerCount],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let (now, lease, live) = (self.now, self.params.lease, self.live.len());
        let warm_until = self.view_at + lease;
        let mut allotments = Vec::with_capacity(counts.len());
        for count in counts {
            if self.customer_manager(count.customer).is_none_or(|m| m.id != self.own.id) {
                continue;
            }
            let account = self
                .customers
                .entry(count.customer)
                .or_insert_with(|| CustomerAccount::new(count.customer, lease, warm_until));
            let started = from.incarnation.started;
            if let Some(allotment) = account.count(now, from.id, started, seq, count, live) {
                allotments.push(CustomerAllotment { customer: count.customer, allotment });
            }
        }
        if !allotments.is_empty() {
            self.send(from, AdmissionMessage::Allot { seq, allotments }, effects);
        }
    }

    fn receive_allotments(
        &mut self,
        seq: u64,
        allotments: &[CustomerAllotment],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for allotment in allotments {
            let customer = allotment.customer;
            let Some(used) = self.uses.get_mut(&customer) else { continue };
            // Only the reply to the latest count is valid: the manager may have given to
            // others what an older one said.
            let Some((_, sent_at)) = used.sent.filter(|sent| sent.0 == seq) else { continue };
            (used.allotment, used.sent) = (allotment.allotment, None);
            used.valid_until = sent_at + self.params.lease;
            self.admit_waiting(customer, effects);
            let waiting = self.waiting_for_allotment(customer);
            let (told, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|number| {
                self.open.get(number).is_some_and(|open| open.arrived <= sent_at)
            });
            for number in told {
                self.refuse(number, DecisionReason::CustomerLimit, effects);
            }
            if !later.is_empty() {
                self.send_counts(&[customer], effects);
            }
        }
    }

    /// Sends the counts of customers to their managers, unless a reply is outstanding.
    fn send_counts(&mut self, customers: &[CustomerId], effects: &mut Vec<AdmissionEffect>) {
        let (now, timeout) = (self.now, self.params.reply_timeout);
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<CustomerCount>)> =
            BTreeMap::new();
        for &customer in customers {
            let Some(manager) = self.customer_manager(customer) else { continue };
            let wanted = self.waiting_for_allotment(customer).len() as u32;
            let Some(used) = self.uses.get(&customer) else { continue };
            if used.sent.is_some_and(|(_, sent_at)| now.since(sent_at) < timeout) {
                continue;
            }
            let count = CustomerCount { customer, limit: used.limit, open: used.opened, wanted };
            groups.entry(manager.id).or_insert((manager, Vec::new())).1.push(count);
        }
        for (manager, counts) in groups.into_values() {
            for counts in split_for_datagrams(&counts) {
                let seq = self.next_seq();
                for count in &counts {
                    if let Some(used) = self.uses.get_mut(&count.customer) {
                        used.sent = Some((seq, now));
                        used.allotment = used.opened;
                    }
                }
                self.send(manager, AdmissionMessage::Counts { seq, counts }, effects);
            }
        }
    }

    // Reports.

    fn item(&self, open: &OpenRequest, server: ServerId) -> WorkItem {
        let request = &open.request;
        let stage = match &open.stage {
            OpenStage::Running { .. } => WorkStage::Running,
            OpenStage::Asking { asks, .. } => WorkStage::Waiting {
                patience_ms: request.deadline.since(self.now).as_millis() as u32,
                asks: asks.len().min(usize::from(u8::MAX)) as u8,
            },
            OpenStage::CustomerCheck { .. } => WorkStage::Waiting { patience_ms: 0, asks: 1 },
        };
        WorkItem {
            number: request.request.number,
            server,
            route: request.route,
            customer: request.customer,
            share: request.share,
            prompt_tokens: request.prompt_tokens,
            decoded: open.decoded,
            max_tokens: request.max_tokens,
            priority: request.priority,
            objective: request.objective,
            stage,
        }
    }

    /// Sends reports and notes their numbers at the requests that wait.
    fn send_report(
        &mut self,
        manager: InstanceIdentity,
        items: Vec<WorkItem>,
        polls: Vec<ServerId>,
        complete: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let seq = self.next_seq();
        for item in items.iter().filter(|item| item.stage != WorkStage::Running) {
            let Some(open) = self.open.get_mut(&item.number) else { continue };
            let OpenStage::Asking { asks, .. } = &mut open.stage else { continue };
            let Some(ask) = asks.iter_mut().find(|ask| ask.server == item.server) else { continue };
            if ask.sent.len() >= SENT_LIMIT {
                ask.sent.pop_front();
            }
            ask.sent.push_back((seq, self.now));
        }
        self.send(manager, AdmissionMessage::Report { seq, items, polls, complete }, effects);
    }

    fn report_one(&mut self, number: u64, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        let Some(manager) = self.manager(server) else { return };
        let Some(open) = self.open.get(&number) else { return };
        let item = self.item(open, server);
        self.send_report(manager, vec![item], Vec::new(), false, effects);
    }

    /// Reports all work to its managers and asks for the state of further servers: those whose
    /// manager has not replied yet and, unless only `unconfirmed` ones are wanted, some others.
    fn report_all(&mut self, unconfirmed: bool, effects: &mut Vec<AdmissionEffect>) {
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<WorkItem>, Vec<ServerId>)> =
            BTreeMap::new();
        let managers: BTreeMap<_, _> = self
            .servers
            .keys()
            .filter_map(|&server| Some((server, self.manager(server)?)))
            .collect();
        let mut polls: BTreeSet<_> = managers
            .iter()
            .filter(|(server, manager)| self.confirmed.get(server) != Some(manager))
            .map(|(&server, _)| server)
            .collect();
        if !unconfirmed && !self.servers.is_empty() {
            for _ in 0..self.params.poll_width.min(self.servers.len()) {
                self.poll_at = (self.poll_at + 1) % self.servers.len();
                polls.extend(self.servers.get_index(self.poll_at).map(|(&server, _)| server));
            }
        }
        for open in self.open.values() {
            let servers: Vec<_> = match &open.stage {
                OpenStage::CustomerCheck { .. } => continue,
                OpenStage::Running { server, .. } => vec![*server],
                OpenStage::Asking { asks, .. } => asks
                    .iter()
                    .filter(|ask| !matches!(ask.state, AskState::Declined(_)))
                    .map(|ask| ask.server)
                    .collect(),
            };
            for server in servers {
                let Some(&manager) = managers.get(&server) else { continue };
                let group = groups.entry(manager.id).or_insert((manager, Vec::new(), Vec::new()));
                group.1.push(self.item(open, server));
                polls.remove(&server);
            }
        }
        for server in polls {
            let Some(&manager) = managers.get(&server) else { continue };
            groups.entry(manager.id).or_insert((manager, Vec::new(), Vec::new())).2.push(server);
        }
        for (manager, items, polls) in groups.into_values() {
            let item_parts = split_for_datagrams(&items);
            let poll_parts = split_for_datagrams(&polls);
            let small =
                item_parts.len() + poll_parts.len() <= 1 || (items.len() <= 8 && polls.len() <= 16);
            if small {
                self.send_report(manager, items, polls, true, effects);
                continue;
            }
            for items in item_parts {
                self.send_report(manager, items, Vec::new(), false, effects);
            }
            for polls in poll_parts {
                self.send_report(manager, Vec::new(), polls, false, effects);
            }
        }
    }

    fn release(
        &mut self,
        number: u64,
        server: ServerId,
        decoded: u32,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(manager) = self.manager(server) else { return };
        let seq = self.next_seq();
        let released = ReleasedWork { server, number, seq, decoded };
        self.send(manager, AdmissionMessage::Release { seq, items: vec![released] }, effects);
        if manager.id != self.own.id {
            self.releases.push((released, RELEASE_REPEATS));
        }
    }

    fn repeat_releases(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<ReleasedWork>)> =
            BTreeMap::new();
        for &(released, _) in &self.releases {
            let Some(manager) = self.manager(released.server) else { continue };
            groups.entry(manager.id).or_insert((manager, Vec::new())).1.push(released);
        }
        for (manager, items) in groups.into_values() {
            for items in split_for_datagrams(&items) {
                let seq = self.next_seq();
                self.send(manager, AdmissionMessage::Release { seq, items }, effects);
            }
        }
        for (_, left) in &mut self.releases {
            *left -= 1;
        }
        self.releases.retain(|&(_, left)| left > 0);
    }

    /// Sends the own length observations to one peer in turn.
    fn share_lengths(&mut self, effects: &mut Vec<AdmissionEffect>) {
        self.lengths.tick(self.now);
        if self.now < self.next_summary {
            return;
        }
        self.next_summary = self.now + self.params.summary_interval;
        let peers: Vec<_> =
            self.live.iter().copied().filter(|peer| peer.id != self.own.id).collect();
        if peers.is_empty() {
            return;
        }
        self.summary_peer = (self.summary_peer + 1) % peers.len();
        let to = peers[self.summary_peer];
        for (route, bins) in self.lengths.summaries() {
            let seq = self.next_seq();
            self.send(to, AdmissionMessage::Lengths { seq, route, bins }, effects);
        }
    }

    // Timers.

    fn run_timers(&mut self, effects: &mut Vec<AdmissionEffect>) {
        while let Some(&(due, number)) = self.timers.first() {
            if due > self.now {
                break;
            }
            self.set_due(number, None);
            self.fire(number, effects);
        }
        if self.now >= self.next_report && !self.live.is_empty() {
            self.next_report = self.now + self.params.report_interval;
            self.run_accounts(effects);
            self.report_all(false, effects);
            self.report_counts(effects);
            self.repeat_releases(effects);
            self.share_lengths(effects);
            self.retry_local(effects);
            self.check();
        }
    }

    fn fire(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        match open.stage {
            OpenStage::CustomerCheck { until } if self.now >= until => {
                let customer = open.request.customer;
                let allowed = self.local_allotment(open.request.open_limit);
                let opened = self.uses.get(&customer).map_or(0, |used| used.opened);
                if opened < allowed {
                    self.count_open(number, effects);
                } else {
                    self.refuse(number, DecisionReason::CustomerLimit, effects);
                }
            },
            OpenStage::CustomerCheck { until } => self.set_due(number, Some(until)),
            OpenStage::Asking { .. } => self.advance(number, effects),
            OpenStage::Running { .. } => {},
        }
    }

    fn run_accounts(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let servers: Vec<_> = self.accounts.keys().copied().collect();
        for server in servers {
            let mut verdicts = Vec::new();
            if let Some(account) = self.accounts.get_mut(&server) {
                account.tick(self.now, &self.lengths, &mut verdicts);
            }
            self.flush(server, verdicts, effects);
        }
        let now = self.now;
        self.customers.retain(|_, account| account.tick(now));
        self.peers.retain(|_, peer| now.since(peer.marked_at) <= PEER_MEMORY);
        self.suspects.retain(|_, until| now < *until);
    }

    fn report_counts(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let (now, lease) = (self.now, self.params.lease);
        self.uses.retain(|_, used| used.opened > 0 || now.since(used.active_at) <= lease);
        let customers: Vec<_> = self.uses.keys().copied().collect();
        self.send_counts(&customers, effects);
    }

    /// Tries the own share again for requests whose manager cannot be reached.
    fn retry_local(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let waiting: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| match &open.stage {
                OpenStage::Asking { asks, .. } => {
                    asks.iter().any(|ask| ask.state == AskState::Unreachable)
                },
                _ => false,
            })
            .map(|(&number, _)| number)
            .collect();
        for number in waiting {
            self.advance(number, effects);
        }
    }

    /// Checks that every request that does not run has a timer.
    ///
    /// # Panics
    ///
    /// If a request would wait forever.
    fn check(&self) {
        for (number, open) in &self.open {
            let running = matches!(open.stage, OpenStage::Running { .. });
            assert_eq!(running, open.due.is_none(), "request {number} waits without a timer");
            if let Some(due) = open.due {
                assert!(self.timers.contains(&(due, *number)));
            }
        }
        let counted: u32 = self.uses.values().map(|used| used.opened).sum();
        let opened = self
            .open
            .values()
            .filter(|open| !matches!(open.stage, OpenStage::CustomerCheck { .. }))
            .count();
        assert_eq!(counted as usize, opened, "open requests per customer must add up");
    }
}
