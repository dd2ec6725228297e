//! Configuration of the forwarding role: routes, services, customers and limits.

use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;

/// What a request may be repeated as.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Safe,
    /// Runs at most once.
    Unsafe,
    /// A generation: runs at most once and answers with a stream of events.
    Stream,
}

impl RequestKind {
    /// Tells whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        self == Self::Safe
    }
}

/// A service that a route may use, with its weight among the route's services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: Arc<str>,
    /// Share of the traffic, relative to the other targets of the route.
    pub weight: u32,
}

/// One route of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Name of the route.
    pub name: Arc<str>,
    /// Host in lower case, without a port.
    pub host: String,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time that a request may be kept waiting for its final answer.
    pub timeout: Duration,
    /// Time within which an answer, or its first event, is wanted.
    pub objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Services of the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Servers that one request may be sent to.
    pub max_servers: u32,
    /// Needs no customer key.
    pub is_public: bool,
}

impl RouteRule {
    /// Gets the service for a draw from 0 (inclusive) to 1 (exclusive).
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

/// What the configuration says of the engines of a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EngineLimits {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Memory of one engine in tokens.
    pub memory_tokens: u32,
    /// Bytes that one token takes when it is copied to another engine.
    pub token_bytes: u32,
    /// Bandwidth of an engine's link for copies in Mbit/s.
    pub link_mbps: f64,
    /// Running requests can be moved.
    pub can_move: bool,
}

/// A service and what its servers accept.
#[derive(Clone, Debug, PartialEq)]
pub struct ServicePolicy {
    /// Name of the service.
    pub name: Arc<str>,
    /// Connections that one server accepts from all callers together.
    pub max_connections: u32,
    /// Set for services whose servers are model engines.
    pub engine: Option<EngineLimits>,
}

/// Limits on what a caller may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestLimits {
    /// Size of the request head in bytes.
    pub header_bytes: usize,
    /// Size of the request body in bytes.
    pub body_bytes: u64,
    /// Time that a connection may stay idle between requests.
    pub idle: Duration,
}

/// A customer and its rank.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CustomerRecord {
    /// Name of the customer.
    pub name: Arc<str>,
    /// Rank that takes precedence over that of the route.
    pub priority: Option<u8>,
}

/// What a key entitles a request to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyCheck {
    /// No key is needed and none identifies a customer.
    Open,
    /// The key belongs to a customer.
    Customer(CustomerRecord),
    /// The key is missing or belongs to nobody.
    Unknown,
}

/// A configuration that cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ForwardError(pub String);

impl std::fmt::Display for ForwardError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(&self.0)
    }
}

impl std::error::Error for ForwardError {}

/// One complete version of the configuration, indexed for look-ups.
#[derive(Clone, Debug, PartialEq)]
pub struct ForwardConfig {
    /// Version; later configurations have higher ones.
    pub version: u64,
    /// Limits on what a caller may send.
    pub limits: RequestLimits,
    services: IndexMap<Arc<str>, ServicePolicy>,
    /// Routes by host; those of one host are ordered by falling length of the prefix.
    hosts: IndexMap<String, Vec<Arc<RouteRule>>>,
    keys: IndexMap<String, CustomerRecord>,
    has_customers: bool,
}

impl ForwardConfig {
    /// Indexes the parts of a configuration. `customers` lists each customer with its keys, or
    /// is absent where the installation has no customers.
    ///
    /// # Errors
    ///
    /// Fails on a route without a service.
    pub fn new(
        version: u64,
        limits: RequestLimits,
        routes: Vec<RouteRule>,
        services: Vec<ServicePolicy>,
        customers: Option<Vec<(CustomerRecord, Vec<String>)>>,
    ) -> Result<Self, ForwardError> {
        let mut hosts: IndexMap<String, Vec<Arc<RouteRule>>> = IndexMap::new();
        for rule in routes {
            if rule.targets.is_empty() {
                return Err(ForwardError(format!("route {} names no service", rule.name)));
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

    /// Gets the route with the longest prefix that begins the path. `host` may carry a port.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<RouteRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(name) {
            Some(rules) => rules,
            None => self.hosts.get(&name.to_ascii_lowercase())?,
        };
        rules.iter().find(|rule| path.starts_with(&rule.prefix))
    }

    /// Gets a service by name.
    pub fn service(&self, name: &str) -> Option<&ServicePolicy> {
        self.services.get(name)
    }

    /// Iterates over the services whose servers are model engines.
    pub fn engine_services(&self) -> impl Iterator<Item = (&ServicePolicy, EngineLimits)> {
        self.services.values().filter_map(|policy| Some((policy, policy.engine?)))
    }

    /// Checks the key of a request on a route.
    pub fn check_key(&self, rule: &RouteRule, key: Option<&str>) -> KeyCheck {
        if let Some(record) = key.and_then(|key| self.keys.get(key)) {
            return KeyCheck::Customer(record.clone());
        }
        if rule.is_public || !self.has_customers { KeyCheck::Open } else { KeyCheck::Unknown }
    }

    /// Number of routes.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
