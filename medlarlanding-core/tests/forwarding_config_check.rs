//! Check of configurations and comparison with the version in effect.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    ChangeStep, ColdPolicy, ConfigField, ConfigPart, ConfigParts, ConfigPlace, ConfigProblem,
    CustomerRecord, EngineLimits, FieldValue, FindingSeverity, InvalidField, InvalidValue,
    RegionLimit, RequestKind, RequestLimits, RouteRule, RouteTarget, ServicePolicy, StatedCustomer,
    StatedRoute, check_config, compare_configs,
};

fn target(service: &str, weight: u32) -> RouteTarget {
    RouteTarget { service: service.into(), weight }
}

fn route(name: &str, prefix: &str, service: &str) -> StatedRoute {
    let rule = RouteRule {
        name: name.into(),
        host: "a.example".to_owned(),
        prefix: prefix.to_owned(),
        kind: RequestKind::Stream,
        timeout: Duration::from_secs(6),
        objective: Duration::from_secs(2),
        gap_objective: Some(Duration::from_millis(180)),
        priority: 1,
        targets: vec![target(service, 1)],
        max_servers: 1,
        is_public: false,
        regions: RegionLimit::Any,
    };
    StatedRoute { rule, region_names: Vec::new(), idle_services: Vec::new(), has_idle_split: false }
}

fn service(name: &str) -> ServicePolicy {
    ServicePolicy {
        name: name.into(),
        max_connections: 10,
        health_path: None,
        engine: Some(EngineLimits {
            slots: 24,
            memory_tokens: 26_837,
            token_bytes: 0,
            link_mbps: 0.0,
            can_move: false,
        }),
        cold: ColdPolicy { start: Duration::from_secs(20), per_second: 30.0 },
    }
}

fn customer(name: &str, keys: &[&str]) -> StatedCustomer {
    let record = CustomerRecord { name: name.into(), priority: Some(1), regions: RegionLimit::Any };
    let keys = keys.iter().map(|key| (*key).to_owned()).collect();
    StatedCustomer { record, region_names: Vec::new(), keys }
}

/// A configuration without findings: two routes, two services, two customers.
fn parts() -> ConfigParts {
    ConfigParts {
        version: 7,
        limits: RequestLimits {
            header_bytes: 16_384,
            body_bytes: 4 << 20,
            idle: Duration::from_secs(15),
        },
        routes: vec![route("long", "/long/", "engines"), route("short", "/", "others")],
        services: vec![service("engines"), service("others")],
        customers: Some(vec![customer("north", &["k1", "k2"]), customer("south", &["k3"])]),
        invalid: Vec::new(),
    }
}

type Finding = (ConfigPlace, ConfigField, ConfigProblem);

/// Guards against mistakes that are not reported, that are reported at the wrong place, and against
/// findings where there is no mistake.
fn finds((spoil, expected): (fn(&mut ConfigParts), &[Finding])) {
    let mut parts = parts();
    spoil(&mut parts);
    let findings = check_config(&parts, None);
    let found: Vec<Finding> =
        findings.into_iter().map(|it| (it.place, it.field, it.problem)).collect();
    assert_eq!(found, expected);
}

fn rule(parts: &mut ConfigParts, index: usize) -> &mut RouteRule {
    &mut parts.routes[index].rule
}

fn engine(parts: &mut ConfigParts) -> &mut EngineLimits {
    parts.services[1].engine.as_mut().expect("an engine")
}

fn customers(parts: &mut ConfigParts) -> &mut Vec<StatedCustomer> {
    parts.customers.as_mut().expect("customers")
}

const ROUTE: ConfigPlace = ConfigPlace::Route(1);
const SERVICE: ConfigPlace = ConfigPlace::Service(1);
const CUSTOMER: ConfigPlace = ConfigPlace::Customer(1);

cases! { finds;
    valid => (|_| {}, &[]),
    shorter_prefix_is_reachable => (|parts| parts.routes.reverse(), &[]),
    same_prefix => (
        |parts| rule(parts, 1).prefix = "/long/".to_owned(),
        &[(ROUTE, ConfigField::Prefix, ConfigProblem::Unreachable { first: 0 })],
    ),
    same_prefix_of_another_host => (
        |parts| {
            rule(parts, 1).prefix = "/long/".to_owned();
            rule(parts, 1).host = "b.example".to_owned();
        },
        &[],
    ),
    repeated_route_name => (
        |parts| rule(parts, 1).name = "long".into(),
        &[(ROUTE, ConfigField::Name, ConfigProblem::RepeatedName { first: 0 })],
    ),
    repeated_service_name => (
        |parts| parts.services.push(service("engines")),
        &[(ConfigPlace::Service(2), ConfigField::Name, ConfigProblem::RepeatedName { first: 0 })],
    ),
    repeated_customer_name => (
        |parts| customers(parts)[1].record.name = "north".into(),
        &[(CUSTOMER, ConfigField::Name, ConfigProblem::RepeatedName { first: 0 })],
    ),
    unused_service => (
        |parts| rule(parts, 1).targets = vec![target("engines", 1)],
        &[(SERVICE, ConfigField::Name, ConfigProblem::UnusedService)],
    ),
    service_with_weight_0_is_named => (
        |parts| {
            rule(parts, 1).targets = vec![target("engines", 1)];
            parts.routes[1].idle_services.push("others".into());
        },
        &[],
    ),
    missing_service => (
        |parts| rule(parts, 1).targets.push(target("none", 1)),
        &[(ROUTE, ConfigField::Split, ConfigProblem::MissingService { service: "none".into() })],
    ),
    route_without_service => (
        |parts| {
            rule(parts, 1).targets.clear();
            parts.services.pop();
        },
        &[(ROUTE, ConfigField::Target, ConfigProblem::NoService)],
    ),
    split_of_zeros => (
        |parts| parts.routes[1].has_idle_split = true,
        &[(ROUTE, ConfigField::Split, ConfigProblem::IdleSplit)],
    ),
    split_of_weights_that_are_too_small => (
        |parts| rule(parts, 1).targets = vec![target("engines", 0), target("others", 0)],
        &[(ROUTE, ConfigField::Split, ConfigProblem::IdleSplit)],
    ),
    objective_above_time_limit => (
        |parts| rule(parts, 1).objective = Duration::from_secs(7),
        &[(ROUTE, ConfigField::Objective, ConfigProblem::AboveTimeout {
            target: Duration::from_secs(7),
            timeout: Duration::from_secs(6),
        })],
    ),
    objective_equal_to_time_limit => (
        |parts| rule(parts, 1).objective = Duration::from_secs(6),
        &[],
    ),
    gap_objective_above_time_limit => (
        |parts| rule(parts, 1).gap_objective = Some(Duration::from_secs(7)),
        &[(ROUTE, ConfigField::GapObjective, ConfigProblem::AboveTimeout {
            target: Duration::from_secs(7),
            timeout: Duration::from_secs(6),
        })],
    ),
    attempts_of_a_stream => (
        |parts| rule(parts, 1).max_servers = 2,
        &[(ROUTE, ConfigField::MaxServers, ConfigProblem::RepeatedRun { servers: 2 })],
    ),
    attempts_of_an_unsafe_route => (
        |parts| {
            rule(parts, 1).kind = RequestKind::Unsafe;
            rule(parts, 1).max_servers = 3;
        },
        &[(ROUTE, ConfigField::MaxServers, ConfigProblem::RepeatedRun { servers: 3 })],
    ),
    attempts_of_a_safe_route => (
        |parts| {
            rule(parts, 1).kind = RequestKind::Safe;
            rule(parts, 1).max_servers = 3;
        },
        &[],
    ),
    header_limit_0 => (
        |parts| parts.limits.header_bytes = 0,
        &[(ConfigPlace::Limits, ConfigField::HeaderBytes, ConfigProblem::ZeroLimit)],
    ),
    body_limit_0 => (
        |parts| parts.limits.body_bytes = 0,
        &[(ConfigPlace::Limits, ConfigField::BodyBytes, ConfigProblem::ZeroLimit)],
    ),
    engine_without_slots => (
        |parts| engine(parts).slots = 0,
        &[(SERVICE, ConfigField::Slots, ConfigProblem::ZeroLimit)],
    ),
    engine_without_memory => (
        |parts| engine(parts).memory_tokens = 0,
        &[(SERVICE, ConfigField::Memory, ConfigProblem::ZeroLimit)],
    ),
    cold_rate_without_cold_time => (
        |parts| parts.services[1].cold.start = Duration::ZERO,
        &[(SERVICE, ConfigField::ColdRate, ConfigProblem::NeverCold)],
    ),
    cold_time_that_is_invalid => (
        |parts| {
            parts.services[1].cold.start = Duration::ZERO;
            parts.invalid.push(InvalidValue {
                service: "others".into(),
                field: InvalidField::ColdStart,
                reason: "-1".to_owned(),
            });
        },
        &[(SERVICE, ConfigField::ColdStart, ConfigProblem::InvalidValue { reason: "-1".to_owned() })],
    ),
    shared_keys_are_one_finding => (
        |parts| customers(parts)[1].keys.extend(["k1".to_owned(), "k2".to_owned()]),
        &[(CUSTOMER, ConfigField::Keys, ConfigProblem::SharedKey { first: 0 })],
    ),
    key_repeated_by_its_customer => (
        |parts| customers(parts)[1].keys.push("k3".to_owned()),
        &[],
    ),
}

/// Guards against a version that all instances would ignore because it is not higher.
fn compares_versions((current, is_refused): (u64, bool)) {
    let findings = check_config(&parts(), Some(&ConfigParts { version: current, ..parts() }));
    assert_eq!(!findings.is_empty(), is_refused);
    assert!(findings.iter().all(|it| it.problem.severity() == FindingSeverity::Error));
}

cases! { compares_versions;
    lower_version => (8, true),
    same_version => (7, true),
    higher_version => (6, false),
}

fn changed(field: ConfigField, old: f64, new: f64) -> ChangeStep {
    ChangeStep::Changed { field, old: FieldValue::Number(old), new: FieldValue::Number(new) }
}

type Change = (ConfigPart, ChangeStep);

/// Guards against differences that are not shown, and against differences where there are none.
fn compares((spoil, expected): (fn(&mut ConfigParts), Vec<Change>)) {
    let mut new = parts();
    spoil(&mut new);
    let changes = compare_configs(&new, &parts());
    let found: Vec<_> = changes.into_iter().map(|it| (it.part, it.step)).collect();
    assert_eq!(found, expected);
}

fn service_part(name: &str) -> ConfigPart {
    ConfigPart::Service(Arc::from(name))
}

fn customer_part(name: &str) -> ConfigPart {
    ConfigPart::Customer(Arc::from(name))
}

cases! { compares;
    same => (|_| {}, Vec::new()),
    other_order => (|parts| parts.services.reverse(), Vec::new()),
    weight_of_a_single_service => (|parts| rule(parts, 1).targets[0].weight = 90, Vec::new()),
    added_route => (
        |parts| parts.routes.push(route("new", "/new/", "engines")),
        vec![(ConfigPart::Route("new".into()), ChangeStep::Added)],
    ),
    removed_route => (
        |parts| drop(parts.routes.pop()),
        vec![(ConfigPart::Route("short".into()), ChangeStep::Removed)],
    ),
    route_priority => (
        |parts| rule(parts, 1).priority = 2,
        vec![(ConfigPart::Route("short".into()), changed(ConfigField::Priority, 1.0, 2.0))],
    ),
    route_regions => (
        |parts| parts.routes[1].region_names.push("east".to_owned()),
        vec![(ConfigPart::Route("short".into()), ChangeStep::Changed {
            field: ConfigField::Regions,
            old: FieldValue::Absent,
            new: FieldValue::Names(vec!["east".to_owned()]),
        })],
    ),
    route_split => (
        |parts| rule(parts, 1).targets.push(target("engines", 2)),
        vec![(ConfigPart::Route("short".into()), ChangeStep::Changed {
            field: ConfigField::Target,
            old: FieldValue::Text("others".to_owned()),
            new: FieldValue::Split(vec![target("others", 1), target("engines", 2)]),
        })],
    ),
    added_and_removed_service => (
        |parts| parts.services[1].name = "new".into(),
        vec![
            (service_part("new"), ChangeStep::Added),
            (service_part("others"), ChangeStep::Removed),
        ],
    ),
    service_slots => (
        |parts| engine(parts).slots = 12,
        vec![(service_part("others"), changed(ConfigField::Slots, 24.0, 12.0))],
    ),
    limit => (
        |parts| parts.limits.header_bytes = 1,
        vec![(ConfigPart::Limits, changed(ConfigField::HeaderBytes, 16_384.0, 1.0))],
    ),
    customer_keys => (
        |parts| customers(parts)[0].keys = vec!["k4".to_owned(), "k2".to_owned(), "k5".to_owned()],
        vec![(customer_part("north"), ChangeStep::Keys { added: 2, removed: 1 })],
    ),
    removed_customer => (
        |parts| drop(customers(parts).pop()),
        vec![
            (customer_part("south"), ChangeStep::Removed),
            (customer_part("south"), ChangeStep::Keys { added: 0, removed: 1 }),
        ],
    ),
    list_of_customers_that_is_removed => (
        |parts| parts.customers = None,
        vec![
            (ConfigPart::Whole, ChangeStep::Changed {
                field: ConfigField::Customers,
                old: FieldValue::Number(2.0),
                new: FieldValue::Absent,
            }),
            (customer_part("north"), ChangeStep::Removed),
            (customer_part("south"), ChangeStep::Removed),
            (customer_part("north"), ChangeStep::Keys { added: 0, removed: 2 }),
            (customer_part("south"), ChangeStep::Keys { added: 0, removed: 1 }),
        ],
    ),
}
