//! Configuration of the forwarding role: routes, services, customers and limits.

use std::sync::Arc;
use std::time::Duration;

use super::cold_share::ColdPolicy;
use super::load::LatencyClass;
use super::regions::RegionLimit;

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
    /// Target for the longest pause between two events of a generation; `None` without one.
    pub gap_objective: Option<Duration>,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Services of the route; never empty.
    pub targets: Vec<RouteTarget>,
    /// Largest number of servers that one request is sent to, including the first.
    pub max_servers: u32,
    /// Requests need no customer key.
    pub is_public: bool,
    /// Regions whose servers may get the route's requests.
    pub regions: RegionLimit,
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
    /// Limit on the requests to cold servers.
    pub cold: ColdPolicy,
}

/// Field of a service whose value cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InvalidField {
    /// `ColdPolicy::start`.
    ColdStart,
    /// `ColdPolicy::per_second`.
    ColdRate,
}

/// Value of a service's field that cannot be used. The last valid one stays in effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidValue {
    /// Name of the service.
    pub service: Arc<str>,
    /// The field.
    pub field: InvalidField,
    /// The value and what is wrong with it.
    pub reason: String,
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
    /// Regions whose servers may get the customer's requests, in addition to the limit of the route.
    pub regions: RegionLimit,
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
    /// Shortest and longest objective of the routes for generations, by service.
    objectives: IndexMap<Arc<str>, (Duration, Duration)>,
    /// Values that `keep_last` replaces.
    invalid: Vec<InvalidValue>,
}

/// Objectives of a service's routes are of different latency classes if the longest is at least the
/// shortest times this.
const LATENCY_RATIO: u32 = 2;

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
        let mut objectives: IndexMap<Arc<str>, (Duration, Duration)> = IndexMap::new();
        for rule in routes {
            if rule.targets.is_empty() {
                return Err(ForwardConfigError(format!("route {} names no service", rule.name)));
            }
            let is_stream = rule.kind == RequestKind::Stream && !rule.objective.is_zero();
            for target in rule.targets.iter().filter(|_| is_stream) {
                let range = objectives
                    .entry(Arc::clone(&target.service))
                    .or_insert((rule.objective, rule.objective));
                *range = (range.0.min(rule.objective), range.1.max(rule.objective));
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
        Ok(Self {
            version,
            limits,
            services,
            hosts,
            keys,
            has_customers,
            objectives,
            invalid: Vec::new(),
        })
    }

    /// Adds the values of services that cannot be used.
    pub fn with_invalid(self, invalid: Vec<InvalidValue>) -> Self {
        Self { invalid, ..self }
    }

    /// Replaces values that cannot be used by those of the configuration that was in effect before.
    /// Returns the values that were replaced.
    pub fn keep_last(&mut self, last: Option<&Self>) -> Vec<InvalidValue> {
        let invalid = std::mem::take(&mut self.invalid);
        for value in &invalid {
            let Some(policy) = self.services.get_mut(&value.service) else { continue };
            let last = last.and_then(|config| config.service(&value.service));
            let last = last.map(|policy| policy.cold).unwrap_or_default();
            match value.field {
                InvalidField::ColdStart => policy.cold.start = last.start,
                InvalidField::ColdRate => policy.cold.per_second = last.per_second,
            }
        }
        invalid
    }

    /// Returns whether a service limits the requests to its cold servers.
    pub fn has_cold_limits(&self) -> bool {
        self.services.values().any(|policy| policy.cold.per_second > 0.0)
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

    /// Returns how the objective of a route compares with those of the other routes of a service. A route
    /// without an objective has no class.
    pub fn latency_class(&self, rule: &RouteRule, service: &str) -> LatencyClass {
        match self.objectives.get(service) {
            Some((shortest, longest))
                if *longest >= *shortest * LATENCY_RATIO && !rule.objective.is_zero() =>
            {
                if rule.objective >= *shortest * LATENCY_RATIO {
                    LatencyClass::Tolerant
                } else {
                    LatencyClass::Critical
                }
            },
            Some(_) | None => LatencyClass::Uniform,
        }
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

    /// Returns whether servers are compared by speed. A configuration asks for it with a target for the
    /// pauses between events.
    pub fn compares_speeds(&self) -> bool {
        self.hosts.values().flatten().any(|rule| rule.gap_objective.is_some())
    }

    /// Returns the shortest target for pauses among the routes of a service; `None` without any.
    pub fn gap_objective(&self, service: &str) -> Option<Duration> {
        let routes = self.hosts.values().flatten();
        let serving = routes.filter(|rule| rule.targets.iter().any(|it| &*it.service == service));
        serving.filter_map(|rule| rule.gap_objective).min()
    }

    /// Returns the number of routes of all hosts.
    pub fn route_count(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }
}
