//! Valid configuration trees: inheritance, defaults and look-ups.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::config::{
    ConfigTree, DeliveryMode, DeskConfig, DeskObjective, ServerState, credential_digest,
};
use medlarlanding_core::ids::{CustomerId, DeskId, RouteId, ServerId, ZoneId};

/// Sections that precede the desks of each case.
const BASE: &str = "\
models:
  fossil-writer: { versions: [v3, '4.10'] }
servers:
  cairo-gpu-1: { kind: engine, address: 10.1.0.11:9000, zone: cairo-a, models: [fossil-writer@v3, fossil-writer@4.10], kv_tokens: 65536, max_batch: 32, checks_fencing: true }
  portal-1: { kind: service, address: '[::1]:9100', zone: cairo-a, state: leaving }
routes:
  catalogue: { model: fossil-writer, version: v3, servers: [cairo-gpu-1] }
  drafts: { model: fossil-writer, version: 4.10, servers: [cairo-gpu-1] }
  stock: { servers: [portal-1] }
customers:
  cairo-museum: { credential_digest: 1111111111111111111111111111111111111111111111111111111111111111, share: 4, open_limit: 7 }
  delta-school: { credential_digest: 2222222222222222222222222222222222222222222222222222222222222222 }
";

fn parse(desks: &str) -> ConfigTree {
    ConfigTree::parse(&format!("{BASE}{desks}")).unwrap_or_else(|faults| {
        panic!("{}", faults.iter().map(|fault| format!("{fault}\n")).collect::<String>())
    })
}

fn desk<'t>(tree: &'t ConfigTree, name: &str) -> &'t DeskConfig {
    &tree[tree.desk(name).expect("the case declares the desk")]
}

const DESIGN_EXAMPLE: &str = "\
desks:
  nile:
    objective: fewest_preemptions
    deadline_ms: 60000
    customers: [cairo-museum]
    children:
      overnight: { generations: catalogue, delivery: whole, priority: 2, deadline_ms: 3600000, max_tokens: 32768 }
      fitment: { generations: catalogue, delivery: stream, priority: 7 }
      trade: { lookups: stock, orders: stock }
";

/// Guards against values that are lost or replaced between the text and the resolved tree.
#[test]
fn design_example_is_resolved() {
    let tree = parse(DESIGN_EXAMPLE);
    let museum = tree.customer("cairo-museum").unwrap();
    let overnight = desk(&tree, "overnight");
    assert_eq!(overnight.id, DeskId::from_name("overnight"));
    assert_eq!(overnight.path, "nile/overnight");
    assert_eq!(overnight.objective, DeskObjective::FewestPreemptions);
    assert_eq!(overnight.delivery, DeliveryMode::Whole);
    assert_eq!(overnight.priority, 2);
    assert_eq!(overnight.deadline, Duration::from_secs(3600));
    assert_eq!(overnight.max_tokens, 32768);
    assert_eq!(overnight.open_limit, 100_000);
    assert!(overnight.admits(museum));
    assert!(!overnight.admits(tree.customer("delta-school").unwrap()));
    assert_eq!(overnight.generations, tree.route("catalogue"));
    assert_eq!((overnight.lookups, overnight.orders), (None, None));
    let trade = desk(&tree, "trade");
    assert_eq!((trade.generations, trade.lookups), (None, tree.route("stock")));
    assert_eq!(trade.orders, tree.route("stock"));
    assert_eq!(trade.deadline, Duration::from_secs(60));
    assert!(tree.desk("nile").is_none(), "a parent is not a desk that callers can use");
    assert_eq!(tree.desks().len(), 3);
}

/// Guards against look-ups by name, id and digest that find different entries.
#[test]
fn entries_are_found_by_name_id_and_digest() {
    let tree = parse(DESIGN_EXAMPLE);
    let museum = tree.customer("cairo-museum").unwrap();
    assert_eq!(tree.customer_by_digest(&[0x11; 32]), Some(museum));
    assert_eq!(tree.customer_by_digest(&[0x33; 32]), None);
    assert_eq!(tree.customer_by_id(CustomerId::from_name("cairo-museum")), Some(museum));
    assert_eq!((tree[museum].share, tree[museum].open_limit), (4, 7));
    let school = tree.customer("delta-school").unwrap();
    assert_eq!((tree[school].share, tree[school].open_limit), (1, 64));
    let engine = tree.server("cairo-gpu-1").unwrap();
    assert_eq!(tree.server_by_id(ServerId::from_name("cairo-gpu-1")), Some(engine));
    assert_eq!(tree[engine].address, "10.1.0.11:9000".parse().unwrap());
    assert_eq!(tree[engine].zone, ZoneId::from_name("cairo-a"));
    assert_eq!(tree[engine].state, ServerState::Live);
    let kind = tree[engine].engine().unwrap();
    assert_eq!((kind.kv_tokens, kind.max_batch, kind.checks_fencing), (65536, 32, true));
    let portal = tree.server("portal-1").unwrap();
    assert_eq!(tree[portal].state, ServerState::Leaving);
    assert!(!tree[portal].service().unwrap().checks_idempotency_keys);
    assert!(tree[portal].engine().is_none());
    let drafts = tree.route("drafts").unwrap();
    assert_eq!(tree.route_by_id(RouteId::from_name("drafts")), Some(drafts));
    assert_eq!(tree[drafts].servers, [engine]);
    assert_eq!(tree[drafts].model.as_ref().unwrap().version, "4.10");
    assert_eq!(tree.desk_by_id(DeskId::from_name("trade")), tree.desk("trade"));
    assert_eq!(tree.servers().len(), 2);
}

/// Guards against a digest that differs from what the `credential` command prints.
#[test]
fn credential_digest_is_blake3() {
    let hex: String = credential_digest("abc").iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!(hex, "6437b3ac38465133ffb63b75273a8db548c558465d79db03fd359c6cd5bd9d85");
}

struct Inheritance {
    desks: &'static str,
    /// Name, priority, path and whether the desk offers generations.
    expected: &'static [(&'static str, u8, &'static str, bool)],
}

fn check_inheritance(case: Inheritance) {
    let tree = parse(case.desks);
    for &(name, priority, path, generations) in case.expected {
        let desk = desk(&tree, name);
        let found = (desk.priority, desk.path.as_str(), desk.generations.is_some());
        assert_eq!(found, (priority, path, generations), "{name}");
    }
    assert_eq!(tree.desks().len(), case.expected.len());
}

// Each case guards against a value that is inherited from the wrong node.
cases! { check_inheritance;
    default_without_parent => Inheritance {
        desks: "desks:\n  a: { customers: [], lookups: stock }\n",
        expected: &[("a", 5, "a", false)],
    },
    nearest_ancestor_is_used => Inheritance {
        desks: "desks:\n  p: { priority: 1, customers: [], generations: drafts, children: { q: { priority: 2, children: { a: {}, b: { priority: 3 } } }, c: {} } }\n",
        expected: &[("a", 2, "p/q/a", true), ("b", 3, "p/q/b", true), ("c", 1, "p/c", true)],
    },
    based_on_replaces_the_parent => Inheritance {
        desks: "desks:\n  p: { priority: 1, customers: [], generations: drafts, children: { a: { based_on: x } } }\n  x: { priority: 8, customers: [], lookups: stock }\n",
        expected: &[("a", 8, "p/a", false), ("x", 8, "x", false)],
    },
    based_on_may_name_a_later_chain => Inheritance {
        desks: "desks:\n  a: { based_on: b }\n  b: { based_on: c, generations: drafts }\n  c: { priority: 9, customers: [], lookups: stock }\n",
        expected: &[("a", 9, "a", true), ("b", 9, "b", true), ("c", 9, "c", false)],
    },
    based_on_a_sibling_keeps_its_parent => Inheritance {
        desks: "desks:\n  p: { priority: 1, customers: [], generations: drafts, children: { a: { priority: 4 }, b: { based_on: a } } }\n",
        expected: &[("a", 4, "p/a", true), ("b", 4, "p/b", true)],
    },
    null_ends_the_inheritance_of_a_route => Inheritance {
        desks: "desks:\n  p: { customers: [], generations: drafts, children: { a: { generations: null, lookups: stock } } }\n",
        expected: &[("a", 5, "p/a", false)],
    },
    priority_limits_are_accepted => Inheritance {
        desks: "desks:\n  a: { customers: [], lookups: stock, priority: 0 }\n  b: { based_on: a, priority: 9 }\n",
        expected: &[("a", 0, "a", false), ("b", 9, "b", false)],
    },
}

/// Guards against refusing a document without sections, with which a new deployment starts.
/// Every desk is then unknown.
#[test]
fn empty_mapping_is_an_empty_tree() {
    let tree = ConfigTree::parse("{}").unwrap();
    assert_eq!((tree.desks().len(), tree.servers().len()), (0, 0));
}

/// Guards against documents that are read differently if they have a byte order mark or Windows
/// line endings.
#[test]
fn byte_order_mark_and_crlf_are_accepted() {
    let text = format!("\u{feff}{BASE}{DESIGN_EXAMPLE}").replace('\n', "\r\n");
    assert_eq!(ConfigTree::parse(&text).unwrap(), parse(DESIGN_EXAMPLE));
}

/// Guards against one copy of the customer list per desk; a deployment has 29,000 customers and
/// hundreds of desks.
#[test]
fn desks_that_inherit_a_list_share_it() {
    let tree = parse(DESIGN_EXAMPLE);
    let (overnight, trade) = (desk(&tree, "overnight"), desk(&tree, "trade"));
    assert!(std::sync::Arc::ptr_eq(&overnight.customers, &trade.customers));
}
