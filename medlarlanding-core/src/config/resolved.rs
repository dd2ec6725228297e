//! Resolved configuration of models, servers, routes, customers and desks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::Serialize;

use crate::ids::{CustomerId, DeskId, RouteId, ServerId, ZoneId};

macro_rules! index_key {
    ($(#[$meta:meta])* $name:ident) => {
        value_type! { copy
            $(#[$meta])*
            ///
            /// Valid only in the tree that returned it.
            pub struct $name(pub(super) u32);
        }
    };
}

index_key! {
    /// Index of a model in one [`ConfigTree`](super::ConfigTree).
    ModelKey
}
index_key! {
    /// Index of a server in one [`ConfigTree`](super::ConfigTree).
    ServerKey
}
index_key! {
    /// Index of a route in one [`ConfigTree`](super::ConfigTree).
    RouteKey
}
index_key! {
    /// Index of a customer in one [`ConfigTree`](super::ConfigTree).
    CustomerKey
}
index_key! {
    /// Index of a desk in one [`ConfigTree`](super::ConfigTree).
    DeskKey
}

/// A model and the versions that routes may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ModelConfig {
    /// Name, unique among models.
    pub name: String,
    /// Names of its versions; at least one.
    pub versions: IndexSet<String>,
}

value_type! {
    /// One version of a model, written `MODEL@VERSION` in the tree.
    #[derive(Hash)]
    pub struct ModelVersion {
        /// Name of the model.
        pub model: String,
        /// Name of the version.
        pub version: String,
    }
}

value_type! { copy
    /// Whether a server takes new work.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum ServerState {
        /// Takes new work.
        #[default]
        Live,
        /// Finishes its work and takes no new work.
        Leaving,
    }
}

/// Kind of a server, with the settings of that kind.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service(ServiceConfig),
}

/// Settings of model engines only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineConfig {
    /// Model versions that the engine may serve; at least one.
    pub models: Vec<ModelVersion>,
    /// Capacity in tokens of its key-value cache, which holds prompts and decoded tokens.
    pub kv_tokens: u64,
    /// Maximum number of requests that the engine decodes in one step.
    pub max_batch: u32,
    /// Number of requests with which the engine starts; `None` without slow start.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub slow_start_batch: Option<u32>,
    /// Whether the engine refuses commands with a lower fencing number than it has seen.
    pub checks_fencing: bool,
}

/// Settings of plain services only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceConfig {
    /// Whether the service itself runs an order at most once per idempotency key.
    pub checks_idempotency_keys: bool,
}

/// A backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ServerConfig {
    /// Stable id, derived from the name.
    pub id: ServerId,
    /// Name, unique among servers.
    pub name: String,
    /// Address of its HTTP interface, unique among servers.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Name of the availability zone.
    pub zone_name: String,
    /// Whether it takes new work.
    pub state: ServerState,
    /// Engine or plain service.
    pub kind: ServerKind,
}

impl ServerConfig {
    /// Gets the configuration of a model engine, or `None` for a plain service.
    pub fn engine(&self) -> Option<&EngineConfig> {
        match &self.kind {
            ServerKind::Engine(engine) => Some(engine),
            ServerKind::Service(_) => None,
        }
    }

    /// Gets the configuration of a plain service, or `None` for a model engine.
    pub fn service(&self) -> Option<&ServiceConfig> {
        match &self.kind {
            ServerKind::Engine(_) => None,
            ServerKind::Service(service) => Some(service),
        }
    }
}

/// A set of servers of one kind that can take the same request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct RouteConfig {
    /// Stable id, derived from the name.
    pub id: RouteId,
    /// Name, unique among routes.
    pub name: String,
    /// The model version that the route's engines serve, or `None` for plain services.
    pub model: Option<ModelVersion>,
    /// Servers in the order of the tree, without repetition; at least one. All are engines
    /// that list `model`, or all are plain services.
    pub servers: Vec<ServerKey>,
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct CustomerConfig {
    /// Stable id, derived from the name.
    pub id: CustomerId,
    /// Name, unique among customers.
    pub name: String,
    /// BLAKE3 digest of the credential, unique among customers; left out of dumps.
    #[serde(skip)]
    pub credential_digest: [u8; 32],
    /// Weight in the division of capacity.
    pub share: u32,
    /// Maximum number of open requests over all instances.
    pub open_limit: u32,
}

value_type! { copy
    /// Scheduling objective of a desk's requests.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum DeskObjective {
        /// Minimises stall time and the longest times between tokens.
        #[default]
        LeastStall,
        /// Minimises preemptions, so that responses complete, even if slowly.
        FewestPreemptions,
    }
}

value_type! { copy
    /// How a generation is delivered.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum DeliveryMode {
        /// Token by token.
        #[default]
        Stream,
        /// In one piece once it is complete.
        Whole,
    }
}

/// A desk, which is a leaf of the desk tree, with all inherited values.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DeskConfig {
    /// Stable id, derived from the name.
    pub id: DeskId,
    /// Name in URLs, unique over the whole tree.
    pub name: String,
    /// Names from the root of the tree to the desk, joined by `/`.
    pub path: String,
    /// Scheduling objective of its requests.
    pub objective: DeskObjective,
    /// How generations are delivered if the caller does not say.
    pub delivery: DeliveryMode,
    /// Priority from 0 to 9 of requests that set none; 9 is the most urgent.
    pub priority: u8,
    /// Time allowed from receipt of a request to the end of its response, unless the caller sets
    /// a shorter one.
    pub deadline: Duration,
    /// Maximum output of a generation in tokens, unless the caller sets a lower one.
    pub max_tokens: u32,
    /// Maximum number of open requests over all instances.
    pub open_limit: u32,
    /// Customers that may use the desk. Desks that inherit one list share its memory.
    pub customers: Arc<IndexSet<CustomerKey>>,
    /// Route for generations, or `None` if the desk offers none.
    pub generations: Option<RouteKey>,
    /// Route for look-ups, or `None` if the desk offers none.
    pub lookups: Option<RouteKey>,
    /// Route for orders, or `None` if the desk offers none.
    pub orders: Option<RouteKey>,
}

impl DeskConfig {
    /// Returns whether the customer may use the desk.
    pub fn admits(&self, customer: CustomerKey) -> bool {
        self.customers.contains(&customer)
    }
}

/// Computes the BLAKE3 digest that the tree stores in place of a credential.
pub fn credential_digest(credential: &str) -> [u8; 32] {
    *blake3::hash(credential.as_bytes()).as_bytes()
}
