//! Differences between two configurations, for the operator who is about to send one.
//!
//! Addresses changes that touch more than was intended. Keys of customers are only counted.

use std::sync::Arc;
use std::time::Duration;

use super::config::{RequestKind, RequestLimits, RouteTarget, ServicePolicy};
use super::config_check::ConfigField;
use super::config_parts::{ConfigParts, StatedCustomer, StatedRoute};

use indexmap::{IndexMap, IndexSet};

/// Part of a configuration that differs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ConfigPart {
    /// The whole configuration.
    Whole,
    /// Limits on what a caller may send.
    Limits,
    /// The route with this name.
    Route(Arc<str>),
    /// The service with this name.
    Service(Arc<str>),
    /// The customer with this name.
    Customer(Arc<str>),
}

/// Value of a field.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldValue {
    /// The field is not stated.
    Absent,
    /// A text.
    Text(String),
    /// A number.
    Number(f64),
    /// A time.
    Time(Duration),
    /// Whether something holds.
    Flag(bool),
    /// Kind of requests.
    Kind(RequestKind),
    /// A list of names.
    Names(Vec<String>),
    /// Services and their weights.
    Split(Vec<RouteTarget>),
}

/// How a part differs.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeStep {
    /// The part is new.
    Added,
    /// The part no longer exists.
    Removed,
    /// A field has another value.
    Changed {
        /// The field.
        field: ConfigField,
        /// Value in the version in effect.
        old: FieldValue,
        /// Value in the new version.
        new: FieldValue,
    },
    /// Customer keys differ.
    Keys {
        /// Number of keys that are new for the customer.
        added: usize,
        /// Number of keys that the customer no longer has.
        removed: usize,
    },
}

/// One difference between two configurations.
#[derive(Clone, Debug, PartialEq)]
pub struct ConfigChange {
    /// The part that differs.
    pub part: ConfigPart,
    /// How it differs.
    pub step: ChangeStep,
}

type FieldList = Vec<(ConfigField, FieldValue)>;

/// Returns what `parts` changes of the configuration in effect. Of several parts of one kind with the
/// same name only the last is compared.
pub fn compare_configs(parts: &ConfigParts, current: &ConfigParts) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    // Without a list of customers no route needs a key, unlike with an empty one.
    let lists = [current, parts].map(|parts| {
        let count = parts.customers.as_ref().map(Vec::len);
        count.map_or(FieldValue::Absent, |count| FieldValue::Number(count as f64))
    });
    if lists[0] != lists[1] && lists.contains(&FieldValue::Absent) {
        let [old, new] = lists;
        let step = ChangeStep::Changed { field: ConfigField::Customers, old, new };
        changes.push(ConfigChange { part: ConfigPart::Whole, step });
    }
    let fields = [&current.limits, &parts.limits].map(limit_fields);
    changes.extend(changed_fields(&ConfigPart::Limits, fields));
    let by_name = |parts| index(parts, |route: &StatedRoute| &route.rule.name);
    let routes = [by_name(&current.routes), by_name(&parts.routes)];
    changes.extend(compare_parts(&routes, ConfigPart::Route, route_fields));
    let by_name = |parts| index(parts, |policy: &ServicePolicy| &policy.name);
    let services = [by_name(&current.services), by_name(&parts.services)];
    changes.extend(compare_parts(&services, ConfigPart::Service, service_fields));
    let customers = [current, parts].map(|parts| {
        let customers = parts.customers.as_deref().unwrap_or_default();
        index(customers, |customer: &StatedCustomer| &customer.record.name)
    });
    changes.extend(compare_parts(&customers, ConfigPart::Customer, customer_fields));
    changes.extend(compare_keys(&customers));
    changes
}

type PartIndex<'a, T> = IndexMap<&'a Arc<str>, &'a T>;

fn index<T>(parts: &[T], name: impl Fn(&T) -> &Arc<str>) -> PartIndex<'_, T> {
    parts.iter().map(|part| (name(part), part)).collect()
}

fn compare_parts<T>(
    [old, new]: &[PartIndex<'_, T>; 2],
    part: impl Fn(Arc<str>) -> ConfigPart,
    fields: impl Fn(&T) -> FieldList,
) -> Vec<ConfigChange> {
    let mut changes = Vec::new();
    for (&name, stated) in new {
        let part = part(Arc::clone(name));
        match old.get(name) {
            Some(current) => {
                changes.extend(changed_fields(&part, [fields(current), fields(stated)]));
            },
            None => changes.push(ConfigChange { part, step: ChangeStep::Added }),
        }
    }
    for &name in old.keys().filter(|name| !new.contains_key(*name)) {
        let part = part(Arc::clone(name));
        changes.push(ConfigChange { part, step: ChangeStep::Removed });
    }
    changes
}

fn changed_fields(part: &ConfigPart, [old, new]: [FieldList; 2]) -> Vec<ConfigChange> {
    let pairs = old.into_iter().zip(new).filter(|((_, old), (_, new))| old != new);
    pairs
        .map(|((field, old), (_, new))| ConfigChange {
            part: part.clone(),
            step: ChangeStep::Changed { field, old, new },
        })
        .collect()
}

fn compare_keys([old, new]: &[PartIndex<'_, StatedCustomer>; 2]) -> Vec<ConfigChange> {
    let keys = |customer: Option<&&StatedCustomer>| -> IndexSet<String> {
        customer.into_iter().flat_map(|customer| customer.keys.iter().cloned()).collect()
    };
    let names: IndexSet<&Arc<str>> = new.keys().chain(old.keys()).copied().collect();
    let mut changes = Vec::new();
    for name in names {
        let [old, new] = [keys(old.get(name)), keys(new.get(name))];
        let (added, removed) = (new.difference(&old).count(), old.difference(&new).count());
        if added + removed > 0 {
            let part = ConfigPart::Customer(Arc::clone(name));
            changes.push(ConfigChange { part, step: ChangeStep::Keys { added, removed } });
        }
    }
    changes
}

fn limit_fields(limits: &RequestLimits) -> FieldList {
    vec![
        (ConfigField::HeaderBytes, FieldValue::Number(limits.header_bytes as f64)),
        (ConfigField::BodyBytes, FieldValue::Number(limits.body_bytes as f64)),
        (ConfigField::Idle, FieldValue::Time(limits.idle)),
    ]
}

fn region_value(names: &[String]) -> FieldValue {
    if names.is_empty() { FieldValue::Absent } else { FieldValue::Names(names.to_vec()) }
}

fn priority_value(priority: Option<u8>) -> FieldValue {
    priority.map_or(FieldValue::Absent, |priority| FieldValue::Number(f64::from(priority)))
}

fn route_fields(route: &StatedRoute) -> FieldList {
    let rule = &route.rule;
    // The weight of a single service has no effect.
    let targets = match &*rule.targets {
        [] => FieldValue::Absent,
        [target] => FieldValue::Text(target.service.to_string()),
        targets => FieldValue::Split(targets.to_vec()),
    };
    vec![
        (ConfigField::Host, FieldValue::Text(rule.host.clone())),
        (ConfigField::Prefix, FieldValue::Text(rule.prefix.clone())),
        (ConfigField::Kind, FieldValue::Kind(rule.kind)),
        (ConfigField::Timeout, FieldValue::Time(rule.timeout)),
        (ConfigField::Objective, FieldValue::Time(rule.objective)),
        (
            ConfigField::GapObjective,
            rule.gap_objective.map_or(FieldValue::Absent, FieldValue::Time),
        ),
        (ConfigField::Priority, priority_value(Some(rule.priority))),
        (ConfigField::Target, targets),
        (ConfigField::MaxServers, FieldValue::Number(f64::from(rule.max_servers))),
        (ConfigField::Public, FieldValue::Flag(rule.is_public)),
        (ConfigField::Regions, region_value(&route.region_names)),
    ]
}

fn service_fields(policy: &ServicePolicy) -> FieldList {
    let path = policy.health_path.as_deref();
    let engine = policy.engine;
    let number = |value: Option<f64>| value.map_or(FieldValue::Absent, FieldValue::Number);
    vec![
        (ConfigField::MaxConnections, FieldValue::Number(f64::from(policy.max_connections))),
        (
            ConfigField::HealthPath,
            path.map_or(FieldValue::Absent, |path| FieldValue::Text(path.to_owned())),
        ),
        (ConfigField::Slots, number(engine.map(|engine| f64::from(engine.slots)))),
        (ConfigField::Memory, number(engine.map(|engine| f64::from(engine.memory_tokens)))),
        (ConfigField::TokenBytes, number(engine.map(|engine| f64::from(engine.token_bytes)))),
        (ConfigField::LinkRate, number(engine.map(|engine| engine.link_mbps))),
        (
            ConfigField::Moves,
            engine.map_or(FieldValue::Absent, |engine| FieldValue::Flag(engine.can_move)),
        ),
        (ConfigField::ColdStart, FieldValue::Number(policy.cold.start.as_secs_f64())),
        (ConfigField::ColdRate, FieldValue::Number(policy.cold.per_second)),
    ]
}

fn customer_fields(customer: &StatedCustomer) -> FieldList {
    vec![
        (ConfigField::Priority, priority_value(customer.record.priority)),
        (ConfigField::Regions, region_value(&customer.region_names)),
    ]
}
