//! Configuration of the forwarding role: routes, services, customers and limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// Whether a request may run more than once, and how it is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Idempotent; may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A generation; runs at most once and is answered with a stream of events.
    Stream,
}

impl RequestKind {
    /// Returns whether a request that may already have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        self == Self::Safe
    }
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the route's traffic, relative to the weights of its other targets.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Path prefix; begins and ends with a slash.
    pub prefix: String,
    /// Kind of the route's requests.
    pub kind: RequestKind,
    /// Longest time that a caller waits for the complete answer.
    pub timeout: Duration,
    /// Target time until the answer or, for a generation, its first event.
    pub objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services of the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Largest number of servers that one request is sent to, including the first.
    pub max_servers: u32,
    /// Requests need no customer key.
    pub is_public: bool,
}

impl RouteRule {
    /// Selects a service in proportion to the weights. `draw` is a random number from 0
    /// (inclusive) to 1 (exclusive).
    pub fn target(&self, draw: f64) -> &Arc<str> {
        let total: u64 = self.targets.iter().map(|target| u64::from(target.weight)).sum();
        let mut left = draw * total as f64;
        for target in &self.targets {
            left -= f64::from(target.weight);
            if left < 0.0 {
                return &target.service;
            }
        }
        &self.targets[self.targets.len() - 1].service
    }
}

/// Configured capacity of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests that one engine runs at the same time.
    pub slots: u32,
    /// Key-value memory of one engine in tokens.
    pub memory_tokens: u32,
    /// Bytes sent for each token when a run is copied to another engine.
    pub token_bytes: u32,
    /// Bandwidth in Mbit/s of an engine's link that carries copies.
    pub link_mbps: f64,
    /// Whether a running request can be moved to another engine.
    pub can_move: bool,
}

/// A service and the limits of its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Path of the servers' health check; `None` if the configuration names none.
    pub health_path: Option<Arc<str>>,
    /// Capacity of the model engines; `None` for a plain service.
    pub engine: Option<EngineLimits>,
    /// Time for which a server is cold after its start; zero if the configuration states none.
    pub cold_start: Duration,
    /// Requests per second that a cold server tolerates; 0 if the configuration states no limit.
    pub cold_rate: f64,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Size of the request head in bytes.
    pub header_bytes: usize,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Longest time that a connection may be idle between requests.
    pub idle: Duration,
}

/// A customer and its priority.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRecord {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Priority that replaces the route's; `None` keeps the route's.
    pub priority: Option<u8>,
}

/// Result of checking the customer key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// The route needs no key, and the request has none that identifies a customer.
    Anonymous,
    /// The key belongs to a customer.
    Customer(CustomerRecord),
    /// The key is required, but missing or not assigned to any customer.
    Unknown,
}

/// Reason why a configuration cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardConfigError(pub String);

impl std::fmt::Display for ForwardConfigError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for ForwardConfigError {}

/// One complete version of the configuration, indexed for lookup.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    /// Version; increases with each change of the configuration.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: RequestLimits,
    services: IndexMap<Arc<str>, ServicePolicy>,
    /// Routes by host, those with the longest prefixes first.
    hosts: IndexMap<String, Vec<Arc<RouteRule>>>,
    keys: IndexMap<String, CustomerRecord>,
    has_customers: bool,
}

impl ForwardConfig {
    /// Indexes the parts of a configuration. `customers` lists each customer with its keys; it
    /// is `None` for an installation without customers, where no route needs a key.
    ///
    /// # Errors
    ///
    /// Fails if a route has no target.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<RouteRule>,
        services: Vec<ServicePolicy>,
        customers: Option<Vec<(CustomerRecord, Vec<String>)>>,
    ) -> Result<Self, ForwardConfigError> {
        let mut hosts: IndexMap<String, Vec<Arc<RouteRule>>> = IndexMap::new();
        for rule in routes {
            if rule.targets.is_empty() {
                return Err(ForwardConfigError(format!("route {} names no service", rule.name)));
            }
            hosts.entry(rule.host.clone()).or_default().push(Arc::new(rule));
        }
        for rules in hosts.values_mut() {
            rules.sort_by_key(|rule| std::cmp::Reverse(rule.prefix.len()));
        }
        let has_customers = customers.is_some();
        let mut keys = IndexMap::new();
        for (record, customer_keys) in customers.into_iter().flatten() {
            for key in customer_keys {
                keys.insert(key, record.clone());
            }
        }
        let services =
            services.into_iter().map(|policy| (Arc::clone(&policy.name), policy)).collect();
        Ok(Self { version, limits, services, hosts, keys, has_customers })
    }

    /// Returns the host's route whose prefix is the longest that matches the path. `host` may
    /// include a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(name) {
            Some(rules) => rules,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Returns the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Iterates over the services whose servers are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServicePolicy, EngineLimits)> {
        self.services.values().filter_map(|policy| Some((policy, policy.engine?)))
    }

    /// Checks the customer key that a request on a route presents.
    pub fn check_key(&self, rule: &RouteRule, key: Option<&str>) -> KeyCheck {
        if let Some(record) = key.and_then(|key| self.keys.get(key)) {
            return KeyCheck::Customer(record.clone());
        }
        if rule.is_public || !self.has_customers { KeyCheck::Anonymous } else { KeyCheck::Unknown }
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
