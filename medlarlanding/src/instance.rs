//! State that the tasks of one instance share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, RwLock};

use crate::clock::{ProcessClock, wall_millis};
use crate::gate::RequestGate;
use crate::logging::event;
use crate::metrics::MetricSet;
use crate::runtime;
use crate::runtime::links::NodeLinks;
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
use medlarlanding_core::{ErrorKind, Result, ServeError};

use rand::Rng;
use serde_json::json;
use tokio::sync::Notify;

/// A configuration tree with its version.
#[derive(Debug)]
pub struct ActiveTree {
    /// Version of the tree.
    pub version: u64,
    /// The tree.
    pub tree: ConfigTree,
}

/// A desk and the customer that uses it, under one configuration version.
#[derive(Clone)]
pub struct DeskAccess {
    active: Arc<ActiveTree>,
    desk: DeskKey,
    customer: CustomerKey,
}

impl DeskAccess {
    /// Gets the desk.
    pub fn desk(&self) -> &DeskConfig {
        &self.active.tree[self.desk]
    }

    /// Gets the customer.
    pub fn customer(&self) -> &CustomerConfig {
        &self.active.tree[self.customer]
    }

    /// Gets the configuration version of the tree.
    pub fn version(&self) -> u64 {
        self.active.version
    }

    /// Gets a route of the tree.
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

/// What all tasks of an instance share.
pub struct InstanceShared {
    /// Settings of the process.
    pub settings: InstanceSettings,
    /// Identity at the start; refutations are counted by the node.
    pub identity: InstanceIdentity,
    /// Clock of the process.
    pub clock: ProcessClock,
    /// Signs resume handles and minted keys.
    pub signer: HandleSigner,
    /// Metrics.
    pub metrics: MetricSet,
    /// Requests in progress.
    pub gate: Arc<RequestGate>,
    /// Queues to the children that perform the node's effects.
    pub links: NodeLinks,
    /// Requests that wait for a decision of the node.
    pub waiters: WaiterTable,
    /// Recent steps of requests.
    pub traces: TraceRing,
    /// Wakes the ticker after each input of the node.
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
            links: NodeLinks::default(),
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

    /// Locks the node. A node whose invariant broke must not go on, so a poisoned lock ends
    /// every task that needs it.
    pub fn node(&self) -> MutexGuard<'_, EntryNode> {
        self.node.lock().expect("an invariant of the node broke")
    }

    /// Draws a number that is unique within the process.
    pub fn next_number(&self) -> u64 {
        self.next_number.fetch_add(1, Ordering::Relaxed)
    }

    /// Draws the id of a new request.
    pub fn next_request(&self) -> RequestId {
        RequestId {
            instance: self.identity.id,
            started: self.identity.incarnation.started,
            number: self.next_number(),
        }
    }

    /// Gets the configuration in effect.
    pub fn active(&self) -> Option<Arc<ActiveTree>> {
        self.active.read().expect("no panic under the lock").clone()
    }

    /// Puts a configuration into effect. Older versions are ignored.
    pub fn activate(&self, next: ActiveTree) {
        let mut active = self.active.write().expect("no panic under the lock");
        if active.as_ref().is_none_or(|current| current.version < next.version) {
            self.metrics.config_version.set(next.version as i64);
            *active = Some(Arc::new(next));
        }
    }

    /// Finds the customer of a credential and the desk that it names.
    ///
    /// # Errors
    ///
    /// `NotReady`, `Unauthorized`, or `NotFound` for a desk that does not exist or that the
    /// customer may not use; the two cannot be told apart.
    pub fn access(&self, credential: Option<&str>, desk: &str) -> Result<DeskAccess> {
        let active = self.active().ok_or(ErrorKind::NotReady)?;
        let digest = credential_digest(credential.ok_or(ErrorKind::Unauthorized)?);
        let customer = active.tree.customer_by_digest(&digest).ok_or(ErrorKind::Unauthorized)?;
        let desk = active.tree.desk(desk).ok_or(ErrorKind::NotFound)?;
        if !active.tree[desk].admits(customer) {
            return Err(ErrorKind::NotFound.into());
        }
        Ok(DeskAccess { active, desk, customer })
    }

    /// Gets the address of a server in the configuration in effect.
    pub fn server_address(&self, server: ServerId) -> Option<SocketAddr> {
        let active = self.active()?;
        let key = active.tree.server_by_id(server)?;
        Some(active.tree[key].address)
    }
}

/// Bookkeeping of requests.
impl InstanceShared {
    /// Counts a request by its result.
    pub fn count_result(&self, endpoint: &str, result: &str) {
        self.metrics.requests.with_label_values(&[endpoint, result]).inc();
    }

    /// Records a step of a request.
    pub fn trace(&self, request: RequestId, step: TraceStep) {
        self.traces.record(request, self.clock.uptime(), step);
    }

    /// Gets the name of a server, or its id if the configuration does not name it.
    pub fn server_name(&self, server: ServerId) -> String {
        let active = self.active();
        let key = active.as_ref().and_then(|active| active.tree.server_by_id(server));
        match (active, key) {
            (Some(active), Some(key)) => active.tree[key].name.clone(),
            _ => server.to_string(),
        }
    }

    /// Counts, records and logs a refusal.
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

    /// Returns whether a server is known to be leaving before the configuration says so.
    pub fn server_leaving(&self, server: ServerId) -> bool {
        self.node().is_server_leaving(server)
    }

    /// Takes a retry from the budget. Returns whether one was left.
    pub fn spend_retry(&self) -> bool {
        let granted = self.budget().try_spend();
        if granted {
            self.metrics.retries.inc();
        }
        granted
    }

    /// Credits the retry budget with a success.
    pub fn earn_retry(&self) {
        self.budget().record_success();
    }

    fn budget(&self) -> MutexGuard<'_, RetryBudget> {
        self.budget.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reports that an exchange with a server failed.
    pub fn suspect_server(&self, server: ServerId, reason: &str) {
        event(EventKind::ServerSuspected, &[&server, &reason]);
        let _ = self.apply(NodeInput::Admission(AdmissionInput::ServerSuspect(server)));
    }

    /// Returns whether the process accepts requests.
    pub fn is_ready(&self) -> bool {
        !self.gate.draining() && self.active().is_some() && self.node().is_ready()
    }

    /// Updates the gauges that follow the node's state.
    pub fn refresh_gauges(&self) {
        let node = self.node();
        self.metrics.live_instances.set(node.live_count() as i64);
        self.metrics.list_version.set(node.list_version() as i64);
    }

    /// Gets the state of the process for operators; with `request` only the decisions on it.
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

/// Collects the decisions on one request: finished ones and the one in progress.
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
