//! Admission of one instance: asks managers for permits and manages accounts itself.

mod customers;
mod inbox;
mod reports;
mod requests;
mod views;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::admission::account::{AccountDump, BackendAccount};
use crate::admission::allotment::{CustomerAccount, CustomerAccountDump};
use crate::admission::lengths::{LengthEstimator, RouteLengthsDump};
use crate::admission::messages::{AdmissionMessage, DeclineReason, ReleasedWork, ServerStatus};
use crate::admission::params::AdmissionParams;
use crate::admission::record::{DecisionReason, DecisionRecord};
use crate::config::DeskObjective;
use crate::errors::ErrorKind;
use crate::ids::{CustomerId, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId};
use crate::time::Timestamp;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

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
        /// DeskObjective of the desk.
        pub objective: DeskObjective,
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
    /// Whether the customer uses so much of its limit that others come first.
    surplus: bool,
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
