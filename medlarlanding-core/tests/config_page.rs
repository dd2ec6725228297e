//! The documentation page of the configuration matches the tables of keys, and these match the
//! parser.

use std::collections::BTreeMap;
use std::path::PathBuf;

use medlarlanding_core::config::keys::{
    CUSTOMER, DESK, KeyDefault, KeyDescriptor, KeyType, SECTIONS, SERVER, SectionDescriptor,
};
use medlarlanding_core::config::limits::{
    MAX_DOCUMENT_BYTES, MAX_NAME_BYTES, MAX_NESTING_LEVELS, MAX_REPORTED_FAULTS,
};
use medlarlanding_core::config::{ConfigTree, DeskConfig};

fn read(file: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("..").join(file);
    std::fs::read_to_string(&path).unwrap_or_else(|error| panic!("{}: {error}", path.display()))
}

fn type_text(value: KeyType) -> String {
    match value {
        KeyType::Nodes => "mapping of names".to_owned(),
        KeyType::Name => "name".to_owned(),
        KeyType::Names => "list of names".to_owned(),
        KeyType::RouteName => "name of a route, or `null`".to_owned(),
        KeyType::ModelVersions => "list of `MODEL@VERSION`".to_owned(),
        KeyType::Number(range) => format!("number, {} to {}", range.min, range.max),
        KeyType::Flag => "`true` or `false`".to_owned(),
        KeyType::Choice(words) => {
            words.iter().map(|word| format!("`{word}`")).collect::<Vec<_>>().join(" or ")
        },
        KeyType::Address => "IP address and port".to_owned(),
        KeyType::Digest => "64 hexadecimal digits".to_owned(),
    }
}

fn default_text(key: &KeyDescriptor) -> String {
    match (key.default, key.value) {
        (KeyDefault::Required, _) => "required".to_owned(),
        (KeyDefault::RequiredInherited, _) => "required after inheritance".to_owned(),
        (KeyDefault::RequiredFor(kind), _) => format!("required for `{kind}`"),
        (KeyDefault::Value(value), _) => format!("`{value}`"),
        (KeyDefault::RangeDefault, KeyType::Number(range)) => {
            range.default.expect("a default").to_string()
        },
        (KeyDefault::RangeDefault, _) => panic!("{} has no range", key.key),
        (KeyDefault::Absent(text), _) => text.to_owned(),
    }
}

fn columns(line: &str) -> Vec<String> {
    line.trim().trim_matches('|').split('|').map(|column| column.trim().to_owned()).collect()
}

/// Guards against a page whose keys, types, units, defaults or inheritance differ from the
/// tables.
#[test]
fn page_agrees_with_the_key_tables() {
    let page = read("docs/configuration.md");
    let mut documented: BTreeMap<String, Vec<Vec<String>>> = BTreeMap::new();
    let mut section = None;
    for line in page.lines() {
        if line.starts_with('#') {
            section = line.strip_prefix("### `").map(|rest| rest.trim_end_matches('`').to_owned());
        } else if let Some(section) = &section
            && line.starts_with("| `")
        {
            documented.entry(section.clone()).or_default().push(columns(line));
        }
    }
    let sections: Vec<_> = SECTIONS.iter().map(|section| section.section).collect();
    assert_eq!(documented.len(), sections.len(), "{:?}", documented.keys());
    for section in SECTIONS {
        let rows = documented.get(section.section).map_or(&[][..], Vec::as_slice);
        let found: Vec<_> = rows.iter().map(|row| row[..5].to_vec()).collect();
        let expected: Vec<_> = section
            .keys
            .iter()
            .map(|key| {
                let unit = match key.value {
                    KeyType::Number(range) => range.unit,
                    _ => "",
                };
                let inherited = if key.inherited { "yes" } else { "no" };
                let name = format!("`{}`", key.key);
                let (value, default) = (type_text(key.value), default_text(key));
                vec![name, value, unit.to_owned(), default, inherited.to_owned()]
            })
            .collect();
        assert_eq!(found, expected, "{}", section.section);
        assert!(rows.iter().all(|row| row.len() == 6 && !row[5].is_empty()), "{}", section.section);
    }
}

/// Guards against limits on the page that differ from the constants.
#[test]
fn page_agrees_with_the_limits() {
    let page = read("docs/configuration.md");
    for row in [
        format!("| document | {MAX_DOCUMENT_BYTES} bytes |"),
        format!("| nesting | {MAX_NESTING_LEVELS} levels |"),
        format!("| name | {MAX_NAME_BYTES} bytes |"),
        format!("| reported faults | {MAX_REPORTED_FAULTS} |"),
    ] {
        assert!(page.contains(&row), "{row}");
    }
}

/// Guards against YAML excerpts on the page that are no longer in the example files.
#[test]
fn excerpts_are_in_the_examples() {
    let page = read("docs/configuration.md");
    let examples = read("examples/nile.yaml") + &read("examples/consortium.yaml");
    let blocks: Vec<_> = page.split("```yaml\n").skip(1).collect();
    assert!(blocks.len() >= 6);
    for block in blocks {
        let excerpt = block.split("```").next().unwrap();
        assert!(examples.contains(excerpt), "{excerpt}");
    }
}

const SERVERS: &str = "\
models: { m: { versions: [v] } }
servers:
  e: { kind: engine, address: 127.0.0.1:1, zone: z, models: [m@v], kv_tokens: 1, max_batch: 1 }
  s: { kind: service, address: 127.0.0.1:2, zone: z }
routes: { svc: { servers: [s] }, gen: { model: m, version: v, servers: [e] } }
customers: { c: { credential_digest: 1111111111111111111111111111111111111111111111111111111111111111 } }
";

fn desk(keys: &str) -> DeskConfig {
    let text = format!("{SERVERS}desks: {{ d: {{ {keys} }} }}\n");
    let tree = ConfigTree::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
    tree[tree.desk("d").unwrap()].clone()
}

/// Guards against a default in the table that differs from the one that the parser applies. A
/// document that sets a key to its default must give the same tree as one without the key.
#[test]
fn written_defaults_equal_absent_keys() {
    let absent = desk("customers: [c], lookups: svc");
    for (key, value) in written_defaults(&DESK, |_| true) {
        let written = desk(&format!("customers: [c], lookups: svc, {key}: {value}"));
        assert_eq!(written, absent, "{key}");
    }
    let absent = ConfigTree::parse(SERVERS).unwrap();
    let of_kind = |kind| move |key: &KeyDescriptor| key.server_kind.is_none_or(|only| only == kind);
    for (node, defaults) in [
        ("  s: { ", written_defaults(&SERVER, of_kind("service"))),
        ("  e: { ", written_defaults(&SERVER, of_kind("engine"))),
        ("{ c: { ", written_defaults(&CUSTOMER, |_| true)),
    ] {
        assert_eq!(defaults.len(), 2, "{node}");
        for (key, value) in defaults {
            let written = SERVERS.replacen(node, &format!("{node}{key}: {value}, "), 1);
            assert_eq!(ConfigTree::parse(&written).unwrap(), absent, "{key}");
        }
    }
}

/// Gets the keys of a section that have a default, with the default as text.
fn written_defaults(
    section: &SectionDescriptor,
    applies: impl Fn(&KeyDescriptor) -> bool,
) -> Vec<(&'static str, String)> {
    let keys = section.keys.iter().filter(|key| applies(key));
    keys.filter_map(|key| match (key.default, key.value) {
        (KeyDefault::Value(value), _) => Some((key.key, value.to_owned())),
        (KeyDefault::RangeDefault, KeyType::Number(range)) => {
            Some((key.key, range.default.expect("a default").to_string()))
        },
        _ => None,
    })
    .collect()
}

/// Guards against a key that the table marks as inherited but that the parser ignores or does
/// not inherit. A desk that inherits the key must equal a desk that sets it, and differ from a
/// desk without it.
#[test]
fn inherited_keys_reach_the_child() {
    let samples: BTreeMap<_, _> = [
        ("objective", "fewest_preemptions"),
        ("delivery", "whole"),
        ("priority", "9"),
        ("deadline_ms", "17"),
        ("max_tokens", "18"),
        ("open_limit", "19"),
        ("customers", "[c]"),
        ("generations", "gen"),
        ("lookups", "svc"),
        ("orders", "svc"),
    ]
    .into();
    for key in DESK.keys.iter().filter(|key| key.inherited) {
        let sample = samples.get(key.key).unwrap_or_else(|| panic!("no sample for {}", key.key));
        let mut base = BTreeMap::from([("customers", "[]"), ("orders", "svc")]);
        if key.key == "orders" {
            base = BTreeMap::from([("customers", "[]"), ("lookups", "svc")]);
        }
        let write = |keys: &BTreeMap<&str, &str>| {
            keys.iter().map(|(key, value)| format!("{key}: {value}")).collect::<Vec<_>>().join(", ")
        };
        let without = desk(&write(&base));
        base.insert(key.key, sample);
        let own = desk(&write(&base));
        assert_ne!(own, without, "{} has no effect", key.key);
        let text =
            format!("{SERVERS}desks: {{ p: {{ {}, children: {{ d: {{}} }} }} }}\n", write(&base));
        let tree = ConfigTree::parse(&text).unwrap_or_else(|faults| panic!("{faults:?}"));
        let inherited =
            DeskConfig { path: own.path.clone(), ..tree[tree.desk("d").unwrap()].clone() };
        assert_eq!(inherited, own, "{} is not inherited", key.key);
    }
}
