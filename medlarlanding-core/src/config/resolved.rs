//! Resolved configuration of servers, routes, customers and desks.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;
use serde::Serialize;

use crate::ids::{CustomerId, DeskId, RouteId, ServerId, ZoneId};

macro_rules! arena_key {
    ($(#[$meta:meta])* $name:ident) => {
        value_type! { copy
            $(#[$meta])*
            ///
            /// Valid only for the tree that returned it.
            pub struct $name(pub(super) u32);
        }
    };
}

arena_key! {
    /// Refers to a model of one [`ConfigTree`](super::ConfigTree).
    ModelKey
}
arena_key! {
    /// Refers to a server of one [`ConfigTree`](super::ConfigTree).
    ServerKey
}
arena_key! {
    /// Refers to a route of one [`ConfigTree`](super::ConfigTree).
    RouteKey
}
arena_key! {
    /// Refers to a customer of one [`ConfigTree`](super::ConfigTree).
    CustomerKey
}
arena_key! {
    /// Refers to a desk of one [`ConfigTree`](super::ConfigTree).
    DeskKey
}

/// A model and the versions that routes may name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ModelConfig {
    /// Name, unique among models.
    pub name: String,
    /// Versions; at least one.
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

/// What a server is.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ServerKind {
    /// A model engine.
    Engine(EngineConfig),
    /// A plain service.
    Service(ServiceConfig),
}

/// What applies to model engines only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EngineConfig {
    /// Model versions that the engine may serve; at least one.
    pub models: Vec<ModelVersion>,
    /// Memory for prompts and decoded tokens, in tokens.
    pub kv_tokens: u64,
    /// Requests that the engine decodes in one step.
    pub max_batch: u32,
    /// Whether the engine refuses commands with an old fencing number.
    pub checks_fencing: bool,
}

/// What applies to plain services only.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct ServiceConfig {
    /// Whether the service itself runs an order key at most once.
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
    /// What it is.
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
    /// Open requests over all instances.
    pub open_limit: u32,
}

value_type! { copy
    /// What a desk's requests weigh highest.
    #[derive(Default)]
    #[serde(rename_all = "snake_case")]
    pub enum DeskObjective {
        /// Stall time and the tail of the time between tokens.
        #[default]
        LeastStall,
        /// Preemptions: responses arrive complete, even if slowly.
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

/// A leaf of the desk tree with everything it inherits.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct DeskConfig {
    /// Stable id, derived from the name.
    pub id: DeskId,
    /// Name in URLs, unique over the whole tree.
    pub name: String,
    /// Names from the root of the tree to the desk, joined by `/`.
    pub path: String,
    /// What its requests weigh highest.
    pub objective: DeskObjective,
    /// Delivery if the caller names none.
    pub delivery: DeliveryMode,
    /// Priority from 0 to 9 if the caller names none; 9 is the most urgent.
    pub priority: u8,
    /// Time from receipt of a request to the end of its response, if the caller names none;
    /// a caller can only shorten it.
    pub deadline: Duration,
    /// Longest output of a generation in tokens; a caller can only shorten it.
    pub max_tokens: u32,
    /// Open requests over all instances.
    pub open_limit: u32,
    /// Customers that may use the desk; shared by the desks that inherit one list.
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

/// Computes the digest under which the tree stores a credential.
pub fn credential_digest(credential: &str) -> [u8; 32] {
    *blake3::hash(credential.as_bytes()).as_bytes()
}
