//! Admission controller of one instance: requests permits from managers, and is itself the
//! manager of some servers and customers.

mod customers;
mod pacing;
mod receive;
mod requests;
mod send;
mod topology;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::admission::account::{AccountDump, BackendAccount};
use crate::admission::engine_pace::EnginePaces;
use crate::admission::lengths::{LengthEstimator, RouteLengthsDump};
use crate::admission::messages::{AdmissionMessage, DeclineReason, ReleasedWork, ServerStatus};
use crate::admission::params::AdmissionParams;
use crate::admission::quota::{CustomerQuota, CustomerQuotaDump};
use crate::admission::record::{DecisionReason, DecisionRecord};
use crate::config::DeskObjective;
use crate::errors::ErrorKind;
use crate::ids::{CustomerId, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId};
use crate::pacing::PaceChange;
use crate::time::Timestamp;

use indexmap::IndexMap;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;

/// Number of messages about a waiting request whose send times are kept.
const SENT_LIMIT: usize = 8;
/// Time for which the sequence numbers of a process that sends nothing are kept.
const SEQUENCE_RETENTION: Duration = Duration::from_secs(600);
/// Number of report intervals in which a release is repeated.
const RELEASE_REPEATS: u8 = 2;

value_type! { copy
    /// Capacity of a model engine according to the configuration.
    pub struct ServerCapacity {
        /// The engine's id.
        pub server: ServerId,
        /// Memory for the key-value cache, in tokens.
        pub kv_tokens: u64,
        /// Largest number of requests that run at the same time.
        pub max_batch: u32,
        /// Whether the engine accepts new requests; false while it is leaving.
        pub accepting: bool,
        /// Number of requests with which the engine starts; `None` without slow start.
        pub slow_start: Option<u32>,
    }
}

value_type! {
    /// A caller's request for a generation.
    pub struct AdmissionRequest {
        /// Id of the request; its number is unique within the process.
        pub request: RequestId,
        /// Route, which selects the length distribution.
        pub route: RouteId,
        /// Servers of the route.
        pub candidates: Vec<ServerId>,
        /// Customer whose limit and share apply.
        pub customer: CustomerId,
        /// Weight of the customer in the servers' queues.
        pub share: u32,
        /// Limit of the customer's open requests over all instances.
        pub open_limit: u32,
        /// Length of the prompt in tokens.
        pub prompt_tokens: u32,
        /// Upper limit of output tokens.
        pub max_tokens: u32,
        /// Priority from 0 to 9; 9 is the most urgent.
        pub priority: u8,
        /// Objective of the desk.
        pub objective: DeskObjective,
        /// Time by which the answer must be complete.
        pub deadline: Timestamp,
        /// Hash of the part of the prompt that an engine may have cached; absent if there is none.
        pub prefix: Option<u64>,
    }
}

value_type! {
    /// A running generation that this instance takes over, for example because the caller
    /// reconnected here.
    pub struct AdoptedWork {
        /// The request; `candidates` and `prefix` are not used.
        pub request: AdmissionRequest,
        /// The server that runs the generation.
        pub server: ServerId,
        /// Tokens decoded so far.
        pub decoded: u32,
    }
}

/// Input of an [`AdmissionController`].
#[derive(Clone, Debug)]
pub enum AdmissionInput {
    /// The servers of the configuration. Replaces the earlier list.
    Servers(Vec<ServerCapacity>),
    /// The live instances, including this one. Replaces the earlier list.
    Live(Vec<InstanceIdentity>),
    /// A caller's request. Leads to `Granted` or `Refused`.
    Request(Box<AdmissionRequest>),
    /// A running generation that this instance takes over.
    Adopt(Box<AdoptedWork>),
    /// Progress of a granted request.
    Progress {
        /// Id of the request.
        request: RequestId,
        /// Number of tokens decoded so far.
        decoded: u32,
    },
    /// The server did not start a granted request, so a permit for another server is needed.
    /// Leads to `Granted` or `Refused`.
    Retry {
        /// Id of the request.
        request: RequestId,
    },
    /// A request ended, was cancelled or is no longer needed. Ignored for unknown requests.
    Finished {
        /// Id of the request.
        request: RequestId,
        /// Number of tokens decoded in all.
        decoded: u32,
        /// Whether the model ended the answer by itself.
        natural_end: bool,
    },
    /// A server does not respond.
    ServerSuspect(ServerId),
    /// A message of another instance was received.
    Message {
        /// Identity of the sending instance.
        from: InstanceIdentity,
        /// Content of the frame.
        message: AdmissionMessage,
    },
    /// Time has passed.
    Tick,
}

/// Action that the runtime performs for an [`AdmissionController`].
#[derive(Clone, Debug, PartialEq)]
pub enum AdmissionEffect {
    /// Sends one datagram.
    Send {
        /// The receiver. The frame must name the receiver's process, so that a process that was
        /// started later drops it.
        to: InstanceIdentity,
        /// Content of the frame.
        message: AdmissionMessage,
    },
    /// The request may start.
    Granted {
        /// Id of the request.
        request: RequestId,
        /// The server that the permit is for.
        server: ServerId,
        /// Time up to which the request may be sent to the server; after it `Retry` is needed.
        /// The runtime checks it immediately before it sends.
        start_by: Timestamp,
    },
    /// The request was not run and will not be. The controller keeps no state of it.
    Refused {
        /// Id of the request.
        request: RequestId,
        /// Error kind of the answer to the caller.
        kind: ErrorKind,
        /// Time after which a retry is useful; absent if the kind's default applies.
        retry_after: Option<Duration>,
    },
    /// The limit of requests to an engine in slow start changed, which the runtime logs.
    PaceChanged {
        /// The engine.
        server: ServerId,
        /// The change.
        change: PaceChange,
    },
}

/// State of a [`PermitRequest`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestState {
    /// Sent; the manager has not replied yet.
    Sent,
    /// The manager replied that the request is in its queue.
    Queued,
    /// The manager did not reply in time, or does not regard itself as the manager.
    Unreachable,
    /// The manager grants no permit.
    Declined(DeclineReason),
}

/// Request to a server's manager for a permit, on behalf of one open request.
#[derive(Clone, Debug)]
struct PermitRequest {
    server: ServerId,
    state: RequestState,
    /// Time of the first message, or of the first one to the present manager.
    since: Timestamp,
    /// Sequence numbers and send times of the latest messages to the manager about the request.
    sent: VecDeque<(u64, Timestamp)>,
}

/// Stage of an [`OpenRequest`].
#[derive(Clone, Debug)]
enum OpenStage {
    /// Waits for room in the customer's allotment; at `until` the instance decides on its own.
    CustomerCheck { until: Timestamp },
    /// Waits for a permit from one of the managers.
    AwaitingPermit { ranked: Vec<ServerId>, permit_requests: Vec<PermitRequest>, by_prefix: bool },
    /// Has a permit; `local` if it was admitted without the manager.
    Running { server: ServerId, local: bool },
}

/// A request that has neither ended nor been refused.
#[derive(Clone, Debug)]
struct OpenRequest {
    request: AdmissionRequest,
    arrived: Timestamp,
    decoded: u32,
    stage: OpenStage,
    /// Servers that failed to start the request.
    failed: Vec<ServerId>,
    record: DecisionRecord,
    /// Time of the request's entry in `timers`; absent while the request has none.
    due: Option<Timestamp>,
    /// Time and tokens from which the next pause between tokens is measured; absent while the request
    /// has decoded none.
    pause_from: Option<(Timestamp, u32)>,
}

/// Latest status of a server that its manager sent.
#[derive(Clone, Copy, Debug)]
struct KnownServer {
    status: ServerStatus,
    received_at: Timestamp,
    /// Expected load of the permits requested since, as a fraction of the capacity.
    requested_load: f64,
}

/// Sequence numbers received from one process, to drop messages delayed by two leases or more.
///
/// Once per lease `floor` takes the value of `mark`, and `mark` that of `highest`.
#[derive(Clone, Copy, Debug)]
struct PeerSequence {
    /// Highest sequence number received.
    highest: u64,
    /// Value of `highest` at `marked_at`.
    mark: u64,
    marked_at: Timestamp,
    /// Messages with a sequence number up to this one are dropped.
    floor: u64,
}

/// A customer's open requests at this instance.
#[derive(Clone, Copy, Debug)]
struct CustomerUsage {
    limit: u32,
    /// Number of requests that wait for a permit or run.
    open_count: u32,
    /// Number of requests that may be open. Invariant: while a count is unanswered, this is not
    /// above the count, because the manager may already have allotted the rest to another
    /// instance.
    allotment: u32,
    /// End of the allotment's lease.
    valid_until: Timestamp,
    /// Sequence number and send time of the unanswered count, if there is one.
    sent: Option<(u64, Timestamp)>,
    /// Whether the customer has more requests open, over all instances, than its soft limit.
    over_soft_limit: bool,
    last_active: Timestamp,
}

value_type! {
    /// One open request in the dump.
    pub struct OpenDump {
        /// Record of the decision so far.
        pub record: DecisionRecord,
        /// `customer_check`, `asking` with the number of permit requests, `running` or
        /// `running_local`.
        pub stage: String,
        /// Number of tokens decoded so far.
        pub decoded: u32,
        /// Time since the request arrived or was adopted, ms.
        pub age_ms: u64,
    }
}

/// State of an [`AdmissionController`] in the dump.
#[derive(Clone, Debug, Serialize)]
pub struct AdmissionDump {
    /// Number of live instances.
    pub live: usize,
    /// Requests that have neither ended nor been refused.
    pub open: Vec<OpenDump>,
    /// Accounts of the servers that this instance manages.
    pub accounts: Vec<AccountDump>,
    /// Quotas of the customers that this instance manages.
    pub customers: Vec<CustomerQuotaDump>,
    /// Latest status of each server that its manager sent, with the status's age in ms.
    pub servers: Vec<(ServerStatus, u64)>,
    /// Managers that did not reply in time.
    pub unreachable: Vec<InstanceId>,
    /// Length distribution of each route.
    pub lengths: Vec<RouteLengthsDump>,
    /// Latest decisions, oldest first.
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
    /// Time of the latest change of `live`, or of the end of a later pause of the process.
    live_since: Timestamp,
    /// Open requests by number. Invariant: a request that does not run has a timer that is due
    /// not later than its deadline.
    open: BTreeMap<u64, OpenRequest>,
    /// Due times and numbers of open requests.
    timers: BTreeSet<(Timestamp, u64)>,
    /// Accounts of the servers that this instance manages.
    accounts: BTreeMap<ServerId, BackendAccount>,
    /// Quotas of the customers that this instance manages.
    customers: BTreeMap<CustomerId, CustomerQuota>,
    usages: BTreeMap<CustomerId, CustomerUsage>,
    known_servers: BTreeMap<ServerId, KnownServer>,
    /// Manager that last sent the status of each server.
    confirmed_managers: BTreeMap<ServerId, InstanceIdentity>,
    /// Managers that did not reply in time and have sent nothing since.
    unreachable: BTreeSet<InstanceId>,
    /// Servers that this instance suspects, with the end of the suspicion.
    suspects: BTreeMap<ServerId, Timestamp>,
    /// Received sequence numbers by instance and start of its process.
    peers: BTreeMap<(InstanceId, u64), PeerSequence>,
    /// Recent releases, each with the number of repetitions left.
    releases: Vec<(ReleasedWork, u8)>,
    lengths: LengthEstimator,
    /// Slow start of the engines.
    paces: EnginePaces,
    decisions: VecDeque<DecisionRecord>,
    /// Latest sequence number that was used.
    seq: u64,
    next_report: Timestamp,
    next_summary: Timestamp,
    /// Index of the peer that got the latest summary.
    summary_peer: usize,
    /// Index in `servers` of the server that was polled last.
    last_polled: usize,
    /// Messages from this instance to itself as a manager.
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
            live_since: Timestamp::default(),
            open: BTreeMap::new(),
            timers: BTreeSet::new(),
            accounts: BTreeMap::new(),
            customers: BTreeMap::new(),
            usages: BTreeMap::new(),
            known_servers: BTreeMap::new(),
            confirmed_managers: BTreeMap::new(),
            unreachable: BTreeSet::new(),
            suspects: BTreeMap::new(),
            peers: BTreeMap::new(),
            releases: Vec::new(),
            lengths,
            paces: EnginePaces::default(),
            decisions: VecDeque::new(),
            seq: 0,
            next_report: Timestamp::default(),
            next_summary: Timestamp::default(),
            summary_peer: 0,
            last_polled: 0,
            loopback: VecDeque::new(),
        }
    }

    /// Processes one input and appends the resulting actions to `effects`.
    ///
    /// # Panics
    ///
    /// If an invariant of the open requests, the accounts or the quotas is violated.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: AdmissionInput,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if !self.started {
            self.started = true;
            (self.live_since, self.next_report, self.next_summary) = (now, now, now);
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
            AdmissionInput::Finished { request, decoded, natural_end } => {
                self.finish(request, decoded, natural_end, effects);
            },
            AdmissionInput::ServerSuspect(server) => self.suspect(server, effects),
            AdmissionInput::Message { from, message } => self.receive(from, message, effects),
            AdmissionInput::Tick => {},
        }
        self.drain_loopback(effects);
        self.run_timers(effects);
        self.drain_loopback(effects);
    }

    /// Returns the time at which to call `handle` with `Tick`; `None` until the live instances
    /// are known.
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
                        OpenStage::AwaitingPermit { permit_requests, .. } => {
                            format!("asking {}", permit_requests.len())
                        },
                        OpenStage::Running { local: false, .. } => "running".to_owned(),
                        OpenStage::Running { local: true, .. } => "running_local".to_owned(),
                    },
                    decoded: open.decoded,
                    age_ms: self.now.since(open.arrived).as_millis() as u64,
                })
                .collect(),
            accounts: self.accounts.values().map(|a| a.dump(self.now, &self.lengths)).collect(),
            customers: self.customers.values().map(CustomerQuota::dump).collect(),
            servers: self
                .known_servers
                .values()
                .map(|known| (known.status, self.now.since(known.received_at).as_millis() as u64))
                .collect(),
            unreachable: self.unreachable.iter().copied().collect(),
            lengths: self.lengths.dump(),
            decisions: self.decisions.iter().cloned().collect(),
        }
    }

    /// Returns the number of requests that have neither ended nor been refused.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    fn run_timers(&mut self, effects: &mut Vec<AdmissionEffect>) {
        while let Some(&(due, number)) = self.timers.first() {
            if due > self.now {
                break;
            }
            self.set_due(number, None);
            self.handle_timer(number, effects);
        }
        if self.now >= self.next_report && !self.live.is_empty() {
            self.next_report = self.now + self.params.report_interval;
            self.tick_accounts(effects);
            self.report_all(false, effects);
            self.report_counts(effects);
            self.repeat_releases(effects);
            self.share_lengths(effects);
            self.retry_local(effects);
            self.check_invariants();
        }
    }

    fn handle_timer(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        match open.stage {
            OpenStage::CustomerCheck { until } if self.now >= until => {
                let customer = open.request.customer;
                let allowed = self.local_allotment(open.request.open_limit);
                let open_count = self.usages.get(&customer).map_or(0, |usage| usage.open_count);
                if open_count < allowed {
                    self.count_and_request(number, effects);
                } else {
                    self.refuse(number, DecisionReason::CustomerLimit, effects);
                }
            },
            OpenStage::CustomerCheck { until } => self.set_due(number, Some(until)),
            OpenStage::AwaitingPermit { .. } => self.advance(number, effects),
            OpenStage::Running { .. } => {},
        }
    }

    fn tick_accounts(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let servers: Vec<_> = self.accounts.keys().copied().collect();
        for server in servers {
            self.update_pace(server, effects);
            let mut decisions = Vec::new();
            if let Some(account) = self.accounts.get_mut(&server) {
                account.tick(self.now, &self.lengths, &mut decisions);
            }
            self.send_decisions(server, decisions, effects);
        }
        let now = self.now;
        self.customers.retain(|_, quota| quota.tick(now));
        self.peers.retain(|_, peer| now.since(peer.marked_at) <= SEQUENCE_RETENTION);
        self.suspects.retain(|_, until| now < *until);
    }

    /// Checks the invariants of the open requests.
    ///
    /// # Panics
    ///
    /// If a waiting request has no timer and would wait forever, a running one has a timer, or the
    /// customers' counts do not match the open requests.
    fn check_invariants(&self) {
        for (number, open) in &self.open {
            let running = matches!(open.stage, OpenStage::Running { .. });
            assert_eq!(
                running,
                open.due.is_none(),
                "request {number} must have a timer unless it runs"
            );
            if let Some(due) = open.due {
                assert!(self.timers.contains(&(due, *number)));
            }
        }
        let counted: u32 = self.usages.values().map(|usage| usage.open_count).sum();
        let open_count = self
            .open
            .values()
            .filter(|open| !matches!(open.stage, OpenStage::CustomerCheck { .. }))
            .count();
        assert_eq!(
            counted as usize, open_count,
            "the customers' counts must add up to the open requests"
        );
    }
}
