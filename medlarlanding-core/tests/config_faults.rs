//! Invalid configuration trees: each fault is reported with its line, column and path.

use medlarlanding_core::cases;
use medlarlanding_core::config::{ConfigFault, ConfigTree, limits};

/// Valid sections in 11 lines, without desks. Each case appends desks, and may replace a part.
const VALID: &str = "\
models:
  m: { versions: [v1] }
servers:
  e: { kind: engine, address: 127.0.0.1:1, zone: z, models: [m@v1], kv_tokens: 9, max_batch: 2 }
  s: { kind: service, address: 127.0.0.1:2, zone: z }
routes:
  gen: { model: m, version: v1, servers: [e] }
  svc: { servers: [s] }
customers:
  c: { credential_digest: 1111111111111111111111111111111111111111111111111111111111111111 }
desks:
";

fn faults(text: &str) -> Vec<ConfigFault> {
    ConfigTree::parse(text).expect_err("the document has a fault")
}

struct Refusal {
    /// Desks appended to `VALID`.
    desks: &'static str,
    /// Text of `VALID` to replace, nothing if empty, and its replacement.
    replace: (&'static str, &'static str),
    /// Beginning of each fault in the form `LINE:COLUMN: PATH: MESSAGE`.
    expected: &'static [&'static str],
}

const DESK: &str = "  d: { customers: [c], lookups: svc }\n";

fn replaced(from: &'static str, to: &'static str, expected: &'static [&'static str]) -> Refusal {
    Refusal { desks: DESK, replace: (from, to), expected }
}

fn desks(desks: &'static str, expected: &'static [&'static str]) -> Refusal {
    Refusal { desks, replace: ("", ""), expected }
}

fn check_refusal(case: Refusal) {
    let (from, to) = case.replace;
    assert!(VALID.contains(from));
    let text = if from.is_empty() { VALID.to_owned() } else { VALID.replacen(from, to, 1) };
    let found: Vec<_> = faults(&(text + case.desks)).iter().map(ToString::to_string).collect();
    let matches = found.len() == case.expected.len()
        && found.iter().zip(case.expected).all(|(found, expected)| found.starts_with(expected));
    assert!(matches, "found {found:#?}\nexpected {:#?}", case.expected);
}

/// Guards against faults in `VALID` itself, which would appear in every case.
#[test]
fn valid_part_is_accepted() {
    ConfigTree::parse(&format!("{VALID}{DESK}")).unwrap();
}

// Each case guards against a kind of fault that is accepted, is reported at the wrong position
// or causes further reports that are only its consequences.
cases! { check_refusal;
    unknown_section => replaced("models:", "modles: {}\nmodels:", &["1:1: modles: unknown key; known keys are models, servers"]),
    unknown_model_key => replaced("versions: [v1]", "versions: [v1], size: 7", &["2:24: models.m.size: unknown key"]),
    unknown_server_key => replaced("zone: z, models", "zone: z, rack: 4, models", &["4:53: servers.e.rack: unknown key"]),
    unknown_route_key => replaced("svc: { ", "svc: { weight: 1, ", &["8:10: routes.svc.weight: unknown key"]),
    unknown_customer_key => replaced("  c: { ", "  c: { name: 1, ", &["10:8: customers.c.name: unknown key"]),
    unknown_desk_key => desks("  d: { customers: [c], lookups: svc, colour: red }\n", &["12:38: desks.d.colour: unknown key"]),
    section_of_wrong_type => replaced("models:\n  m: { versions: [v1] }", "models: [m]", &[
        "1:9: models: expected a mapping, found a list",
        "3:62: servers.e.models[0]: unknown model version \"m@v1\"",
        "6:17: routes.gen.model: unknown model \"m\"",
    ]),
    empty_section_value => desks("", &["11:1: desks: expected a mapping, found nothing"]),
    node_of_wrong_type => desks("  d: 7\n", &["12:6: desks.d: expected a mapping, found a scalar"]),
    missing_server_keys => replaced("kind: service, address: 127.0.0.1:2, zone: z", "kind: service", &[
        "5:6: servers.s: missing key address", "5:6: servers.s: missing key zone",
    ]),
    missing_engine_keys => replaced(", models: [m@v1], kv_tokens: 9, max_batch: 2", "", &[
        "4:6: servers.e: missing key models",
        "4:6: servers.e: missing key kv_tokens",
        "4:6: servers.e: missing key max_batch",
    ]),
    missing_kind => replaced("kind: service, ", "", &["5:6: servers.s: missing key kind"]),
    unknown_kind => replaced("kind: service", "kind: cache", &["5:14: servers.s.kind: \"cache\" is not one of engine, service"]),
    unknown_state => replaced("kind: service", "state: gone, kind: service", &["5:15: servers.s.state: \"gone\" is not one of live, leaving"]),
    engine_key_in_service => replaced("kind: service", "kind: service, kv_tokens: 9", &["5:23: servers.s.kv_tokens: applies to servers of kind engine only"]),
    service_key_in_engine => replaced("kind: engine", "kind: engine, checks_idempotency_keys: true", &["4:22: servers.e.checks_idempotency_keys: applies to servers of kind service only"]),
    flag_of_wrong_type => replaced("kind: engine", "kind: engine, checks_fencing: yes", &["4:38: servers.e.checks_fencing: \"yes\" is not one of true, false"]),
    address_without_port => replaced("127.0.0.1:2", "127.0.0.1", &["5:32: servers.s.address: \"127.0.0.1\" is not an IP address and port"]),
    address_of_any_host => replaced("127.0.0.1:2", "0.0.0.0:2", &["5:32: servers.s.address: \"0.0.0.0:2\" is not"]),
    address_with_port_zero => replaced("127.0.0.1:2", "127.0.0.1:0", &["5:32: servers.s.address:"]),
    address_with_host_name => replaced("127.0.0.1:2", "localhost:2", &["5:32: servers.s.address:"]),
    duplicate_address => replaced("127.0.0.1:2", "127.0.0.1:1", &["5:32: servers.s.address: e has the same address"]),
    bad_zone => replaced("127.0.0.1:2, zone: z", "127.0.0.1:2, zone: 'a b'", &["5:51: servers.s.zone: \"a b\" is not a valid name"]),
    unknown_model => replaced("m@v1", "n@v1", &[
        "4:62: servers.e.models[0]: unknown model version \"n@v1\"",
    ]),
    unknown_version => replaced("m@v1", "m@v2", &["4:62: servers.e.models[0]: unknown model version \"m@v2\""]),
    model_without_version => replaced("m@v1", "m", &["4:62: servers.e.models[0]: \"m\" is not MODEL@VERSION"]),
    repeated_model_version => replaced("m@v1", "m@v1, m@v1", &["4:68: servers.e.models[1]: m@v1 is listed twice"]),
    engine_without_models => replaced("[m@v1]", "[]", &["4:61: servers.e.models: an engine must list at least one"]),
    model_without_versions => replaced("[v1]", "[]", &["2:6: models.m.versions: lists no valid version"]),
    number_below_range => replaced("kv_tokens: 9", "kv_tokens: 0", &["4:80: servers.e.kv_tokens: 0 is out of range; expected 1 to 1000000000 (tokens)"]),
    number_above_range => replaced("max_batch: 2", "max_batch: 65537", &["4:94: servers.e.max_batch: 65537 is out of range"]),
    slow_start_below_range => replaced("max_batch: 2", "max_batch: 2, slow_start_batch: 0", &["4:115: servers.e.slow_start_batch: 0 is out of range"]),
    slow_start_above_range => replaced("max_batch: 2", "max_batch: 2, slow_start_batch: 65537", &["4:115: servers.e.slow_start_batch: 65537 is out of range"]),
    slow_start_that_is_no_number => replaced("max_batch: 2", "max_batch: 2, slow_start_batch: 1e400", &["4:115: servers.e.slow_start_batch: expected a whole number"]),
    number_beyond_64_bits => replaced("max_batch: 2", "max_batch: 99999999999999999999", &["4:94: servers.e.max_batch: 99999999999999999999 is out of range"]),
    negative_number => replaced("max_batch: 2", "max_batch: -2", &["4:94: servers.e.max_batch: expected a whole number from 1 to 65536 (requests), found \"-2\""]),
    fraction => replaced("max_batch: 2", "max_batch: 2.0", &["4:94: servers.e.max_batch: expected a whole number"]),
    quoted_number => replaced("max_batch: 2", "max_batch: '2'", &["4:94: servers.e.max_batch: expected a whole number"]),
    absent_number => replaced("max_batch: 2", "max_batch:", &["4:83: servers.e.max_batch: expected a whole number, found nothing"]),
    route_to_unknown_server => replaced("servers: [s]", "servers: [s, t]", &["8:23: routes.svc.servers: unknown server \"t\""]),
    route_without_servers => replaced("servers: [s]", "servers: []", &["8:8: routes.svc.servers: lists no server"]),
    route_with_repeated_server => replaced("servers: [s]", "servers: [s, s]", &["8:23: routes.svc.servers[1]: s is listed twice"]),
    route_to_unknown_model => replaced("model: m, version", "model: n, version", &["7:17: routes.gen.model: unknown model \"n\""]),
    route_to_unknown_version => replaced("version: v1", "version: v2", &["7:29: routes.gen.version: model m has no version \"v2\""]),
    route_without_version => replaced(", version: v1", "", &["7:10: routes.gen: model and version must be given together"]),
    route_without_model => replaced("model: m, version", "version", &["7:10: routes.gen: model and version must be given together"]),
    model_route_to_service => replaced("servers: [e]", "servers: [e, s]", &["7:46: routes.gen.servers: s is a plain service, but the route names a model"]),
    service_route_to_engine => replaced("servers: [s]", "servers: [e]", &["8:20: routes.svc.servers: e is an engine, but the route names no model"]),
    model_without_versions_beside_a_valid_model => Refusal {
        desks: DESK,
        replace: ("[v1] }", "[v1, v2] }\n  n: { versions: [] }"),
        expected: &["3:6: models.n.versions: lists no valid version"],
    },
    route_to_other_version => replaced("[v1] }\nservers:\n  e: { kind: engine, address: 127.0.0.1:1, zone: z, models: [m@v1]", "[v1, v2] }\nservers:\n  e: { kind: engine, address: 127.0.0.1:1, zone: z, models: [m@v2]", &["7:43: routes.gen.servers: e does not list m@v1"]),
    credential_in_plain_text => replaced("1111111111111111111111111111111111111111111111111111111111111111", "hunter2", &["10:27: customers.c.credential_digest: expected a BLAKE3 digest of 64 hexadecimal digits"]),
    missing_credential => replaced("credential_digest: 1111111111111111111111111111111111111111111111111111111111111111", "share: 1", &["10:6: customers.c: missing key credential_digest"]),
    duplicate_credential => replaced("customers:\n", "customers:\n  b: { credential_digest: 1111111111111111111111111111111111111111111111111111111111111111 }\n", &["11:27: customers.c.credential_digest: b has the same credential"]),
    share_of_zero => replaced("  c: { ", "  c: { share: 0, ", &["10:15: customers.c.share: 0 is out of range"]),
    desk_for_unknown_customer => desks("  d: { customers: [c, x], lookups: svc }\n", &["12:23: desks.d.customers: unknown customer \"x\""]),
    desk_with_customers_of_wrong_type => desks("  d: { customers: c, lookups: svc }\n", &["12:19: desks.d.customers: expected a list, found a scalar"]),
    desk_without_customers => desks("  d: { lookups: svc }\n", &["12:3: desks.d: missing key customers"]),
    desk_without_routes => desks("  d: { customers: [c] }\n", &["12:3: desks.d: offers nothing"]),
    desk_with_only_a_null_route => desks("  d: { customers: [c], lookups: ~ }\n", &["12:3: desks.d: offers nothing"]),
    desk_on_unknown_route => desks("  d: { customers: [c], orders: nowhere }\n", &["12:32: desks.d.orders: unknown route \"nowhere\""]),
    orders_to_engines => desks("  d: { customers: [c], orders: gen }\n", &["12:32: desks.d.orders: route gen leads to engines; orders needs plain services"]),
    generations_to_services => desks("  d: { customers: [c], generations: svc }\n", &["12:37: desks.d.generations: route svc leads to plain services; generations needs engines"]),
    priority_above_nine => desks("  d: { customers: [c], lookups: svc, priority: 10 }\n", &["12:48: desks.d.priority: 10 is out of range; expected 0 to 9"]),
    deadline_of_zero => desks("  d: { customers: [c], lookups: svc, deadline_ms: 0 }\n", &["12:51: desks.d.deadline_ms: 0 is out of range"]),
    unknown_objective => desks("  d: { customers: [c], lookups: svc, objective: speed }\n", &["12:49: desks.d.objective: \"speed\" is not one of least_stall, fewest_preemptions"]),
    unknown_delivery => desks("  d: { customers: [c], lookups: svc, delivery: fax }\n", &["12:48: desks.d.delivery: \"fax\" is not one of stream, whole"]),
    duplicate_desk_name => desks("  d: { customers: [c], lookups: svc }\n  p: { based_on: d, children: { d: {} } }\n", &["13:33: desks.p.children.d: desks.d has the same desk name"]),
    parent_and_leaf_share_a_name => desks("  d: { customers: [c], lookups: svc, children: { d: {} } }\n", &["12:50: desks.d.children.d: desks.d has the same desk name"]),
    bad_desk_name => desks("  'a/b': { customers: [c], lookups: svc }\n", &["12:3: desks.a/b: \"a/b\" is not a valid name"]),
    empty_desk_name => desks("  '': { customers: [c], lookups: svc }\n", &["12:3: desks.: \"\" is not a valid name"]),
    long_desk_name => desks("  aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: { customers: [c], lookups: svc }\n", &["12:3: desks.aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa: name of 65 bytes exceeds the limit of 64 bytes"]),
    no_children => desks("  d: { customers: [c], lookups: svc, children: {} }\n", &["12:48: desks.d.children: lists no desk"]),
    based_on_unknown_desk => desks("  d: { based_on: x }\n", &["12:18: desks.d.based_on: unknown desk \"x\""]),
    based_on_itself => desks("  d: { customers: [c], lookups: svc, based_on: d }\n", &["12:48: desks.d.based_on: inheritance cycle d -> d"]),
    based_on_own_child => desks("  p: { based_on: d, children: { d: {} } }\n", &["12:18: desks.p.based_on: inheritance cycle p -> d -> p"]),
    based_on_each_other => desks("  a: { based_on: b }\n  b: { based_on: a }\n  c: { based_on: a }\n", &["12:18: desks.a.based_on: inheritance cycle a -> b -> a"]),
    two_cycles => desks("  a: { based_on: a }\n  b: { based_on: b }\n", &["12:18: desks.a.based_on", "13:18: desks.b.based_on"]),
    null_name => desks("  d: { customers: [~], lookups: svc }\n", &["12:20: desks.d.customers[0]: expected text, found nothing"]),
    reference_to_a_faulty_node_is_not_reported => Refusal {
        desks: "  d: { customers: [c], lookups: svc, generations: gen }\n",
        replace: ("kv_tokens: 9", "kv_tokens: x"),
        expected: &["4:80: servers.e.kv_tokens: expected a whole number"],
    },
    duplicate_keys_and_wrong_values_are_reported_together => Refusal {
        desks: "  d: { customers: [x], lookups: svc, priority: 1, priority: 2 }\n",
        replace: ("zone: z }", "zone: z, zone: y, state: up }"),
        expected: &[
            "5:54: servers.s.zone: duplicate key",
            "5:70: servers.s.state: ",
            "12:20: desks.d.customers: unknown customer",
            "12:51: desks.d.priority: duplicate key",
        ],
    },
    all_faults_at_once => Refusal {
        desks: "  d: { customers: [x], lookups: gen, priority: a }\n",
        replace: ("zone: z }", "zone: z, state: up }"),
        expected: &[
            "5:61: servers.s.state: ",
            "12:20: desks.d.customers: unknown customer",
            "12:33: desks.d.lookups: route gen leads to engines",
            "12:48: desks.d.priority: expected a whole number",
        ],
    },
}

struct Malformed {
    text: &'static str,
    expected: &'static [&'static str],
}

fn check_malformed(case: Malformed) {
    let found: Vec<_> = faults(case.text).iter().map(ToString::to_string).collect();
    let matches = found.len() == case.expected.len()
        && found.iter().zip(case.expected).all(|(found, expected)| found.starts_with(expected));
    assert!(matches, "found {found:#?}\nexpected {:#?}", case.expected);
}

// Each case guards against YAML that a common loader accepts, but not as the author meant it.
cases! { check_malformed;
    empty_text => Malformed { text: "", expected: &["1:1: document is empty"] },
    only_comments => Malformed { text: "# nothing\n", expected: &["1:1: document is empty"] },
    scalar_document => Malformed { text: "desks", expected: &["1:1: expected a mapping, found a scalar"] },
    list_document => Malformed { text: "- desks", expected: &["1:1: expected a mapping, found a list"] },
    two_documents => Malformed { text: "desks: {}\n---\ndesks: {}\n", expected: &["2:1: only one document is accepted"] },
    duplicate_section => Malformed { text: "desks: {}\nroutes: {}\ndesks: {}\n", expected: &["3:1: desks: duplicate key"] },
    duplicate_key_in_flow => Malformed { text: "desks: { a: { priority: 1, priority: 2 } }\n", expected: &[
        "1:10: desks.a: missing key customers", "1:10: desks.a: offers nothing",
        "1:28: desks.a.priority: duplicate key",
    ] },
    duplicate_key_with_quotes => Malformed { text: "desks: {}\n'desks': {}\n", expected: &["2:1: desks: duplicate key"] },
    anchor_and_alias => Malformed { text: "desks:\n  a: &x { priority: 1 }\n  b: *x\n", expected: &[
        "2:3: desks.a: missing key customers", "2:3: desks.a: offers nothing",
        "2:9: desks.a: anchors are not accepted",
        "3:6: desks.b: expected a mapping, found an alias, which is not accepted",
    ] },
    merge_key => Malformed { text: "desks:\n  a: &x { priority: 1 }\n  b: { <<: *x }\n", expected: &[
        "2:3: desks.a: missing key customers", "2:3: desks.a: offers nothing",
        "2:9: desks.a: anchors are not accepted",
        "3:3: desks.b: missing key customers", "3:3: desks.b: offers nothing",
        "3:8: desks.b.<<: unknown key",
    ] },
    tag => Malformed { text: "desks: !secret { a: 1 }\n", expected: &[
        "1:16: desks: tags are not accepted", "1:21: desks.a: expected a mapping",
    ] },
    alias_in_a_list => Malformed { text: "models: { m: { versions: [&v v1, *v] } }\n", expected: &[
        "1:30: models.m.versions[0]: anchors are not accepted",
        "1:34: models.m.versions[1]: expected text, found an alias",
    ] },
    alias_as_number => Malformed { text: "desks: { a: { priority: &p 1, deadline_ms: *p } }\n", expected: &[
        "1:28: desks.a.priority: anchors are not accepted",
        "1:44: desks.a.deadline_ms: expected a whole number, found an alias",
    ] },
    alias_as_key => Malformed { text: "desks: &d {}\n*d : 1\n", expected: &[
        "1:11: desks: anchors are not accepted", "2:1: a key must be a scalar",
    ] },
    list_as_key => Malformed { text: "? [a]\n: 1\n", expected: &["1:3: a key must be a scalar"] },
    unclosed_flow => Malformed { text: "desks: { a: 1\n", expected: &["2:1: desks"] },
    tab_indentation => Malformed { text: "desks:\n\ta: 1\n", expected: &["2:"] },
    wide_characters_count_as_one_column => Malformed { text: "{ 'ééé': 1, desks: 2 }", expected: &["1:3: ééé: unknown key", "1:20: desks: expected a mapping"] },
}

/// Guards against a stack overflow caused by deeply nested lists, mappings and keys, in flow and
/// block style.
#[test]
fn deep_nesting_is_refused() {
    for open in ["[", "{a: ", "- ", "[{a: "] {
        let text = format!("desks: {}", open.repeat(100_000 / open.len()));
        let faults = faults(&text);
        assert_eq!(faults.len(), 1, "{open:?}");
    }
    let levels = limits::MAX_NESTING_LEVELS - 1;
    let nested = format!("desks: {}{}", "[".repeat(levels), "]".repeat(levels));
    assert!(faults(&nested)[0].message.contains("expected a mapping"));
    let nested = format!("desks: {}{}", "[".repeat(levels + 1), "]".repeat(levels + 1));
    assert!(faults(&nested)[0].message.contains("nested deeper than 32 levels"));
}

/// Guards against exponential memory use: with aliases expanded, each line would be twice as
/// large as the one before.
#[test]
fn alias_expansion_is_refused_without_growth() {
    let mut text = "a0: &a0 [x, x]\n".to_owned();
    for level in 1..64 {
        text += &format!("a{level}: &a{level} [*a{0}, *a{0}]\n", level - 1);
    }
    let faults = faults(&text);
    let anchors = faults.iter().filter(|fault| fault.message.starts_with("anchors are not"));
    let unknown = faults.iter().filter(|fault| fault.message.starts_with("unknown key"));
    assert_eq!((anchors.count(), unknown.count(), faults.len()), (64, 64, 128));
}

/// Guards against parsing a document that is larger than the configuration service stores, and
/// against refusing one of exactly 1 MiB.
#[test]
fn document_size_is_limited() {
    let mut text = "{}\n".to_owned();
    text += &"#".repeat(limits::MAX_DOCUMENT_BYTES - text.len());
    ConfigTree::parse(&text).unwrap();
    text.push('#');
    let faults = faults(&text);
    assert_eq!(faults[0].message, "document of 1048577 bytes exceeds the limit of 1048576 bytes");
}

/// Guards against a list of faults that grows with the document without a limit.
#[test]
fn number_of_reported_faults_is_limited() {
    let text: String = (0..limits::MAX_REPORTED_FAULTS + 5).map(|n| format!("k{n}: 1\n")).collect();
    let faults = faults(&text);
    assert_eq!(faults.len(), limits::MAX_REPORTED_FAULTS + 1);
    assert_eq!(faults.last().unwrap().message, "5 more faults are not listed");
    assert!(faults.is_sorted_by_key(|fault| (fault.line, fault.column)));
}

/// Guards against a stack overflow from recursion along a chain of `based_on` that nearly fills
/// the largest document.
#[test]
fn long_inheritance_chain_is_resolved() {
    let count = 30_000;
    let mut text = VALID.to_owned();
    for n in 0..count {
        text += &format!("  d{n}: {{ based_on: d{} }}\n", n + 1);
    }
    let chain = format!("{text}  d{count}: {{ customers: [c], lookups: svc, priority: 3 }}\n");
    let tree = ConfigTree::parse(&chain).unwrap();
    assert_eq!(tree[tree.desk("d0").unwrap()].priority, 3);
    let cycle = format!("{text}  d{count}: {{ based_on: d0 }}\n");
    let faults = faults(&cycle);
    assert_eq!(faults.len(), 1);
    assert!(faults[0].message.starts_with("inheritance cycle d0 -> d1 -> "));
}
