//! State shared by all tasks of one instance.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crate::clock::{ProcessClock, wall_millis};
use crate::gate::RequestGate;
use crate::logging::event;
use crate::metrics::MetricSet;
use crate::runtime;
use crate::runtime::queues::EffectQueues;
use crate::runtime::waiters::WaiterTable;
use crate::settings::InstanceSettings;
use crate::trace::{TraceRing, TraceStep};
use medlarlanding_core::admission::AdmissionInput;
use medlarlanding_core::config::{
    ConfigTree, CustomerConfig, CustomerKey, DeskConfig, DeskKey, RouteConfig, RouteKey,
    ServerConfig, credential_digest,
};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::generations::{BudgetParams, RetryBudget};
use medlarlanding_core::handles::HandleSigner;
use medlarlanding_core::ids::{Incarnation, InstanceId, InstanceIdentity, RequestId, ServerId};
use medlarlanding_core::node::{EntryNode, NodeDump, NodeInput};
use medlarlanding_core::prompts::{BlockedPart, PromptInput, PromptParts, PromptVerdict};
use medlarlanding_core::{ErrorKind, Result, ServeError};

use rand::Rng;
use serde_json::json;
use tokio::sync::Notify;

/// Configuration tree in effect, with its version.
#[derive(Debug)]
pub struct ActiveTree {
    /// Configuration version of the tree.
    pub version: u64,
    /// Parsed and validated configuration.
    pub tree: ConfigTree,
}

/// Access of a customer to a desk, with the configuration version under which it was granted. A
/// request keeps this version when a newer one is put into effect.
#[derive(Clone)]
pub struct DeskAccess {
    active: Arc<ActiveTree>,
    desk: DeskKey,
    customer: CustomerKey,
}

impl DeskAccess {
    pub fn desk(&self) -> &DeskConfig {
        &self.active.tree[self.desk]
    }

    pub fn customer(&self) -> &CustomerConfig {
        &self.active.tree[self.customer]
    }

    /// Gets the configuration version under which the access was granted.
    pub fn version(&self) -> u64 {
        self.active.version
    }

    pub fn route(&self, route: RouteKey) -> &RouteConfig {
        &self.active.tree[route]
    }

    /// Gets the tree under which the access was granted.
    pub fn tree(&self) -> &ConfigTree {
        &self.active.tree
    }

    /// Iterates over the servers of a route.
    pub fn servers(&self, route: RouteKey) -> impl Iterator<Item = &ServerConfig> {
        self.route(route).servers.iter().map(|&server| &self.active.tree[server])
    }
}

/// Shared state of one instance.
pub struct InstanceShared {
    /// Contents of the settings file.
    pub settings: InstanceSettings,
    /// Identity at the start of the process. Refutations of suspicions are counted in the node's
    /// copy only.
    pub identity: InstanceIdentity,
    /// Clock from which the node's times are read.
    pub clock: ProcessClock,
    /// Signs resume handles and minted keys.
    pub signer: HandleSigner,
    /// Metrics served to operators.
    pub metrics: MetricSet,
    /// Counts requests in progress, and refuses new ones above the limit and during a drain.
    pub gate: Arc<RequestGate>,
    /// Queues to the supervised children that perform the node's effects.
    pub queues: EffectQueues,
    /// Tasks that wait for a decision of the node.
    pub waiters: WaiterTable,
    /// Recent steps of requests, for dumps.
    pub traces: TraceRing,
    /// Wakes the ticker after each input to the node, as the next wake-up time may have changed.
    pub ticker: Notify,
    node: Mutex<EntryNode>,
    active: RwLock<Option<Arc<ActiveTree>>>,
    budget: Mutex<RetryBudget>,
    next_number: AtomicU64,
}

impl InstanceShared {
    /// Creates the shared state.
    ///
    /// # Errors
    ///
    /// Fails if the metrics cannot be registered.
    pub fn new(settings: InstanceSettings) -> anyhow::Result<Arc<Self>> {
        let metrics = MetricSet::new()?;
        let gate = RequestGate::new(settings.limits.open_requests, metrics.open_requests.clone());
        let started = wall_millis();
        let signer = HandleSigner::new(&settings.cluster_secret);
        let node = EntryNode::new(
            runtime::node::params(&settings),
            runtime::node::own_entry(&settings),
            &runtime::node::seed_entries(&settings),
            started,
            signer.clone(),
            rand::rng().random(),
        );
        Ok(Arc::new(Self {
            identity: InstanceIdentity {
                id: InstanceId::from_name(&settings.instance),
                incarnation: Incarnation::new(started),
            },
            clock: ProcessClock::start(),
            signer,
            metrics,
            gate,
            queues: EffectQueues::default(),
            waiters: WaiterTable::default(),
            traces: TraceRing::default(),
            ticker: Notify::new(),
            node: Mutex::new(node),
            active: RwLock::new(None),
            budget: Mutex::new(RetryBudget::new(BudgetParams::default())),
            next_number: AtomicU64::new(1),
            settings,
        }))
    }

    /// Locks the node.
    ///
    /// # Panics
    ///
    /// Panics if a task panicked while it held the lock. The node may then violate an invariant and
    /// must not be used any more, so this panic ends each task that needs it.
    pub fn node(&self) -> MutexGuard<'_, EntryNode> {
        self.node.lock().expect("no panic while the node was locked")
    }

    /// Returns a new number, unique within the process.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns the id for a new request.
    pub fn next_request(&self) -> RequestId {
        RequestId {
            instance: self.identity.id,
            started: self.identity.incarnation.started,
            number: self.next_number(),
        }
    }

    /// Gets the configuration in effect, or `None` before the first one.
    pub fn active(&self) -> Option<Arc<ActiveTree>> {
        self.active.read().expect("no panic under the lock").clone()
    }

    /// Puts a configuration into effect. Ignored unless it is newer than the one in effect.
    pub fn activate(&self, next: ActiveTree) {
        let mut active = self.active.write().expect("no panic under the lock");
        if active.as_ref().is_none_or(|current| current.version < next.version) {
            self.metrics.config_version.set(next.version as i64);
            *active = Some(Arc::new(next));
        }
    }

    /// Authenticates a credential and checks that its customer may use the desk.
    ///
    /// # Errors
    ///
    /// `NotReady` before the first configuration, `Unauthorized` without a known credential, and
    /// `NotFound` for a desk that does not exist or that the customer may not use, so that a caller
    /// cannot learn which desks other customers have.
    pub fn authorize(&self, credential: Option<&str>, desk: &str) -> Result<DeskAccess> {
        let active = self.active().ok_or(ErrorKind::NotReady)?;
        let digest = credential_digest(credential.ok_or(ErrorKind::Unauthorized)?);
        let customer = active.tree.customer_by_digest(&digest).ok_or(ErrorKind::Unauthorized)?;
        let desk = active.tree.desk(desk).ok_or(ErrorKind::NotFound)?;
        if !active.tree[desk].admits(customer) {
            return Err(ErrorKind::NotFound.into());
        }
        Ok(DeskAccess { active, desk, customer })
    }

    /// Gets the address of a server, or `None` if the configuration in effect does not contain it.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        let active = self.active()?;
        let key = active.tree.server_by_id(server)?;
        Some(active.tree[key].address)
    }
}

/// Metrics, traces, retries and dumps.
impl InstanceShared {
    /// Counts a request by endpoint and result.
    pub fn count_result(&self, endpoint: &str, result: &str) {
        self.metrics.requests.with_label_values(&[endpoint, result]).inc();
    }

    /// Records a step of a request with the time.
    pub fn trace(&self, request: RequestId, step: TraceStep) {
        self.traces.record(request, self.clock.uptime(), step);
    }

    /// Gets the name of a server, or its id if the configuration in effect does not contain it.
    pub fn server_name(&self, server: ServerId) -> String {
        let active = self.active();
        let key = active.as_ref().and_then(|active| active.tree.server_by_id(server));
        match (active, key) {
            (Some(active), Some(key)) => active.tree[key].name.clone(),
            _ => server.to_string(),
        }
    }

    /// Counts and logs a refused request, and traces it if it has an id.
    pub fn count_refusal(&self, endpoint: &str, error: &ServeError, request: Option<RequestId>) {
        let descriptor = error.kind.descriptor();
        if let Some(request) = request {
            self.trace(request, TraceStep::Refused { kind: descriptor.code });
        }
        self.count_result(endpoint, "refused");
        self.metrics.refusals.with_label_values(&[descriptor.code]).inc();
        let request = request.map_or_else(|| "-".to_owned(), |request| request.to_string());
        let detail = error.detail.as_deref().unwrap_or("");
        event(
            EventKind::RequestRefused,
            &[&request, &descriptor.code, &descriptor.run.as_str(), &detail],
        );
    }

    /// Returns whether instances have marked a server as leaving. The mark spreads earlier than a
    /// configuration in which the server is leaving.
    pub fn server_leaving(&self, server: ServerId) -> bool {
        self.node().is_server_leaving(server)
    }

    /// Spends one retry of the budget and counts it. Returns `false` if none is available.
    pub fn spend_retry(&self) -> bool {
        let granted = self.budget().try_spend();
        if granted {
            self.metrics.retries.inc();
        }
        granted
    }

    /// Credits the retry budget with a request that succeeded.
    pub fn credit_retry_budget(&self) {
        self.budget().record_success();
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Logs that an exchange with a server failed, and tells admission to suspect the server.
    pub fn suspect_server(&self, server: ServerId, reason: &str) {
        event(EventKind::ServerSuspected, &[&server, &reason]);
        let _ = self.apply(NodeInput::Admission(AdmissionInput::ServerSuspect(server)));
    }

    /// Returns the part for which requests with a prompt are refused because engines ended on it.
    pub fn blocked_part(&self, parts: &PromptParts) -> Option<BlockedPart> {
        self.node().check_prompt(self.clock.now(), parts)
    }

    /// Returns whether it matters that a run with a prompt survives it.
    pub fn wants_evidence(&self, parts: &PromptParts) -> bool {
        self.node().wants_evidence(self.clock.now(), parts)
    }

    /// Decides on a new request with a prompt.
    pub fn admit_prompt(&self, request: RequestId, parts: &PromptParts) -> PromptVerdict {
        let verdict = self.node().admit_prompt(self.clock.now(), parts);
        if let PromptVerdict::Trial(blocked) = verdict {
            event(EventKind::PartTried, &[&request, &blocked.part, &blocked.ends]);
        }
        verdict
    }

    /// Records what a run showed about its prompt, and tells the peers.
    pub fn record_prompt(&self, input: PromptInput) {
        // Only frames can be rejected.
        let _ = self.apply(NodeInput::Prompt(input));
    }

    /// Returns whether the process accepts requests: it is not draining, and a current
    /// configuration is in effect.
    pub fn is_ready(&self) -> bool {
        !self.gate.draining() && self.active().is_some() && self.node().is_ready()
    }

    /// Updates the gauges of live instances and list version from the node.
    pub fn refresh_gauges(&self) {
        let node = self.node();
        self.metrics.live_instances.set(node.live_count() as i64);
        self.metrics.list_version.set(node.list_version() as i64);
        let blocked = node.blocked_part_count(self.clock.now());
        self.metrics.blocked_parts.set(blocked as i64);
    }

    /// Returns the state of the process for operators. With `request`, returns only the steps of
    /// that request and the decisions of admission on it.
    pub fn dump(&self, request: Option<&str>) -> serde_json::Value {
        let node = self.node().dump(self.clock.now());
        if let Some(request) = request {
            let mut decisions = request_decisions(&node, request);
            decisions["steps"] = json!(self.traces.steps_of(request));
            return decisions;
        }
        let active = self.active();
        json!({
            "process": {
                "instance": self.settings.instance,
                "zone": self.settings.zone,
                "incarnation": self.identity.incarnation,
                "uptime_ms": self.clock.uptime().as_millis() as u64,
                "ready": self.is_ready(),
            },
            "requests": {
                "open": self.gate.open(),
                "draining": self.gate.draining(),
                "recorded_steps": self.traces.len(),
            },
            "retries": self.budget().dump(),
            "configuration": active.as_ref().map(|active| json!({
                "version": active.version, "tree": active.tree,
            })),
            "membership": node.membership,
            "distribution": node.distribution,
            "orders": node.orders,
            "admission": node.admission,
            "commands": node.commands,
        })
    }
}

/// Collects the finished and the pending decisions of admission on one request.
fn request_decisions(node: &NodeDump, request: &str) -> serde_json::Value {
    let admission = &node.admission;
    let finished =
        admission.decisions.iter().filter(|record| record.request.to_string() == request);
    let open = admission.open.iter().filter(|open| open.record.request.to_string() == request);
    json!({
        "request": request,
        "decisions": finished.collect::<Vec<_>>(),
        "open": open.collect::<Vec<_>>(),
    })
}
