//! Check of a configuration before it is sent to the store.
//!
//! Addresses changes by hand, several hundred a day, whose mistakes otherwise show only in the
//! traffic of callers. The results carry no names of the platform's protocol; the adapter adds them.

use std::sync::Arc;
use std::time::Duration;

use super::config::{InvalidField, RequestKind, ServicePolicy};
use super::config_parts::{ConfigParts, StatedRoute};

use indexmap::{IndexMap, IndexSet};

value_type! { copy
    /// How serious a finding is.
    pub enum FindingSeverity {
        /// The configuration works, probably not as intended.
        Warning,
        /// Requests are refused or misdirected, or the configuration does not take effect.
        Error,
    }
}

value_type! { copy
    /// Part of a configuration, by its position in the list that states it.
    pub enum ConfigPlace {
        /// The whole configuration.
        Whole,
        /// Limits on what a caller may send.
        Limits,
        /// A route.
        Route(usize),
        /// A service.
        Service(usize),
        /// A customer.
        Customer(usize),
    }
}

value_type! { copy
    /// Field of a part of a configuration.
    pub enum ConfigField {
        /// `ConfigParts::version`.
        Version,
        /// Name of a route, service or customer.
        Name,
        /// `RouteRule::host`.
        Host,
        /// `RouteRule::prefix`.
        Prefix,
        /// `RouteRule::kind`.
        Kind,
        /// `RouteRule::timeout`.
        Timeout,
        /// `RouteRule::objective`.
        Objective,
        /// `RouteRule::gap_objective`.
        GapObjective,
        /// Priority of a route or customer.
        Priority,
        /// Single service of a route.
        Target,
        /// Split of a route between services.
        Split,
        /// `RouteRule::max_servers`.
        MaxServers,
        /// `RouteRule::is_public`.
        Public,
        /// Regions of a route or customer.
        Regions,
        /// `ServicePolicy::max_connections`.
        MaxConnections,
        /// `ServicePolicy::health_path`.
        HealthPath,
        /// `EngineLimits::slots`.
        Slots,
        /// `EngineLimits::memory_tokens`.
        Memory,
        /// `EngineLimits::token_bytes`.
        TokenBytes,
        /// `EngineLimits::link_mbps`.
        LinkRate,
        /// `EngineLimits::can_move`.
        Moves,
        /// `ColdPolicy::start`.
        ColdStart,
        /// `ColdPolicy::per_second`.
        ColdRate,
        /// `ConfigParts::customers`.
        Customers,
        /// `StatedCustomer::keys`.
        Keys,
        /// `RequestLimits::header_bytes`.
        HeaderBytes,
        /// `RequestLimits::body_bytes`.
        BodyBytes,
        /// `RequestLimits::idle`.
        Idle,
    }
}

value_type! {
    /// What is wrong with a field.
    pub enum ConfigProblem {
        /// An earlier route of the same host has the same prefix and gets all requests.
        Unreachable {
            /// Position of the earlier one.
            first: usize,
        },
        /// An earlier part of the same kind has the same name.
        RepeatedName {
            /// Position of the earlier one.
            first: usize,
        },
        /// An earlier customer has the same key, which counts only for the last one.
        SharedKey {
            /// Position of the earlier one.
            first: usize,
        },
        /// No route names the service.
        UnusedService,
        /// The route names a service that does not exist.
        MissingService {
            /// Name of the missing service.
            service: Arc<str>,
        },
        /// The route has no service.
        NoService,
        /// No weight of the split is above 0.
        IdleSplit,
        /// A target is longer than the time limit of the route.
        AboveTimeout {
            /// The target.
            target: Duration,
            /// The time limit.
            timeout: Duration,
        },
        /// A request that runs at most once may be sent to several servers.
        RepeatedRun {
            /// Largest number of servers.
            servers: u32,
        },
        /// A limit of 0 lets nothing pass.
        ZeroLimit,
        /// Cold servers have a limit, but no server is ever cold.
        NeverCold,
        /// The value cannot be used, and the last valid one stays in effect.
        InvalidValue {
            /// The value and what is wrong with it.
            reason: String,
        },
        /// The version is not higher than the one in effect.
        OldVersion {
            /// Version of the checked configuration.
            stated: u64,
            /// Version in effect.
            current: u64,
        },
    }
}

impl ConfigProblem {
    /// Returns how serious the problem is.
    pub fn severity(&self) -> FindingSeverity {
        match self {
            Self::SharedKey { .. }
            | Self::MissingService { .. }
            | Self::NoService
            | Self::ZeroLimit
            | Self::InvalidValue { .. }
            | Self::OldVersion { .. } => FindingSeverity::Error,
            Self::Unreachable { .. }
            | Self::RepeatedName { .. }
            | Self::UnusedService
            | Self::IdleSplit
            | Self::AboveTimeout { .. }
            | Self::RepeatedRun { .. }
            | Self::NeverCold => FindingSeverity::Warning,
        }
    }
}

value_type! {
    /// One problem and its place.
    pub struct ConfigFinding {
        /// Part of the configuration.
        pub place: ConfigPlace,
        /// Field of the part.
        pub field: ConfigField,
        /// What is wrong.
        pub problem: ConfigProblem,
    }
}

/// Returns the problems of a configuration. `current` is the configuration in effect, if known.
pub fn check_config(parts: &ConfigParts, current: Option<&ConfigParts>) -> Vec<ConfigFinding> {
    let mut check = PartsCheck { parts, findings: Vec::new() };
    if let Some(current) = current.map(|parts| parts.version).filter(|it| parts.version <= *it) {
        let problem = ConfigProblem::OldVersion { stated: parts.version, current };
        check.add(ConfigPlace::Whole, ConfigField::Version, problem);
    }
    check.routes();
    check.services();
    check.customers();
    check.limits();
    check.findings
}

struct PartsCheck<'a> {
    parts: &'a ConfigParts,
    findings: Vec<ConfigFinding>,
}

impl<'a> PartsCheck<'a> {
    fn add(&mut self, place: ConfigPlace, field: ConfigField, problem: ConfigProblem) {
        self.findings.push(ConfigFinding { place, field, problem });
    }

    /// Reports names that several parts of one kind have.
    fn names(
        &mut self,
        names: impl Iterator<Item = &'a Arc<str>>,
        place: impl Fn(usize) -> ConfigPlace,
    ) {
        let mut seen: IndexMap<&str, usize> = IndexMap::new();
        for (index, name) in names.enumerate() {
            let first = *seen.entry(name).or_insert(index);
            if first != index {
                let problem = ConfigProblem::RepeatedName { first };
                self.add(place(index), ConfigField::Name, problem);
            }
        }
    }

    fn routes(&mut self) {
        let parts = self.parts;
        self.names(parts.routes.iter().map(|route| &route.rule.name), ConfigPlace::Route);
        let services: IndexSet<&str> = parts.services.iter().map(|policy| &*policy.name).collect();
        let mut prefixes: IndexMap<(&str, &str), usize> = IndexMap::new();
        for (index, route) in parts.routes.iter().enumerate() {
            let place = ConfigPlace::Route(index);
            let rule = &route.rule;
            let first = *prefixes.entry((&rule.host, &rule.prefix)).or_insert(index);
            if first != index {
                self.add(place, ConfigField::Prefix, ConfigProblem::Unreachable { first });
            }
            self.targets(place, route, &services);
            let timeout = rule.timeout;
            let gap = rule.gap_objective.unwrap_or_default();
            for (field, target) in
                [(ConfigField::Objective, rule.objective), (ConfigField::GapObjective, gap)]
            {
                if target > timeout {
                    self.add(place, field, ConfigProblem::AboveTimeout { target, timeout });
                }
            }
            let runs_once = match rule.kind {
                RequestKind::Unsafe | RequestKind::Stream => true,
                RequestKind::Safe => false,
            };
            if runs_once && rule.max_servers > 1 {
                let problem = ConfigProblem::RepeatedRun { servers: rule.max_servers };
                self.add(place, ConfigField::MaxServers, problem);
            }
        }
    }

    fn targets(&mut self, place: ConfigPlace, route: &StatedRoute, services: &IndexSet<&str>) {
        let targets = &route.rule.targets;
        // Positive weights that are too small to be represented have become 0.
        if route.has_idle_split
            || !targets.is_empty() && targets.iter().all(|target| target.weight == 0)
        {
            self.add(place, ConfigField::Split, ConfigProblem::IdleSplit);
        }
        if targets.is_empty() {
            self.add(place, ConfigField::Target, ConfigProblem::NoService);
        }
        let field = if targets.len() > 1 { ConfigField::Split } else { ConfigField::Target };
        for target in targets.iter().filter(|target| !services.contains(&*target.service)) {
            let service = Arc::clone(&target.service);
            self.add(place, field, ConfigProblem::MissingService { service });
        }
    }

    fn services(&mut self) {
        let parts = self.parts;
        self.names(parts.services.iter().map(|policy| &policy.name), ConfigPlace::Service);
        let mut named: IndexSet<&str> = IndexSet::new();
        for route in &parts.routes {
            named.extend(route.rule.targets.iter().map(|target| &*target.service));
            named.extend(route.idle_services.iter().map(|service| &**service));
        }
        for (index, policy) in parts.services.iter().enumerate() {
            let place = ConfigPlace::Service(index);
            if !named.contains(&*policy.name) {
                self.add(place, ConfigField::Name, ConfigProblem::UnusedService);
            }
            if let Some(engine) = policy.engine {
                for (field, limit) in [
                    (ConfigField::Slots, engine.slots),
                    (ConfigField::Memory, engine.memory_tokens),
                ] {
                    if limit == 0 {
                        self.add(place, field, ConfigProblem::ZeroLimit);
                    }
                }
            }
            self.cold(place, policy);
        }
    }

    fn cold(&mut self, place: ConfigPlace, policy: &ServicePolicy) {
        let mut is_start_known = true;
        for value in self.parts.invalid.iter().filter(|value| value.service == policy.name) {
            let field = match value.field {
                InvalidField::ColdStart => {
                    is_start_known = false;
                    ConfigField::ColdStart
                },
                InvalidField::ColdRate => ConfigField::ColdRate,
            };
            let reason = value.reason.clone();
            self.add(place, field, ConfigProblem::InvalidValue { reason });
        }
        if is_start_known && policy.cold.per_second > 0.0 && policy.cold.start.is_zero() {
            self.add(place, ConfigField::ColdRate, ConfigProblem::NeverCold);
        }
    }

    fn customers(&mut self) {
        let customers = self.parts.customers.as_deref().unwrap_or_default();
        self.names(customers.iter().map(|customer| &customer.record.name), ConfigPlace::Customer);
        let mut owners: IndexMap<&str, usize> = IndexMap::new();
        for (index, customer) in customers.iter().enumerate() {
            // Several keys may be shared with the same customer, which is one finding.
            let mut firsts: IndexSet<usize> = IndexSet::new();
            for key in &customer.keys {
                firsts.insert(*owners.entry(key).or_insert(index));
            }
            for first in firsts.into_iter().filter(|first| *first != index) {
                let problem = ConfigProblem::SharedKey { first };
                self.add(ConfigPlace::Customer(index), ConfigField::Keys, problem);
            }
        }
    }

    fn limits(&mut self) {
        let limits = self.parts.limits;
        for (field, is_zero) in [
            (ConfigField::HeaderBytes, limits.header_bytes == 0),
            (ConfigField::BodyBytes, limits.body_bytes == 0),
        ] {
            if is_zero {
                self.add(ConfigPlace::Limits, field, ConfigProblem::ZeroLimit);
            }
        }
    }
}
