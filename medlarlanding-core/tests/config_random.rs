//! Randomised checks of the configuration tree: documents with random edits and random desk
//! trees.

mod random_runs;

use medlarlanding_core::config::{ConfigTree, limits};

const VALID: &str = "\
models:
  m: { versions: [v1] }
servers:
  e: { kind: engine, address: 127.0.0.1:1, zone: z, models: [m@v1], kv_tokens: 9, max_batch: 2 }
  s: { kind: service, address: '127.0.0.1:2', zone: z }
routes:
  gen: { model: m, version: v1, servers: [e] }
  svc: { servers: [s] }
customers:
  c: { credential_digest: 1111111111111111111111111111111111111111111111111111111111111111 }
desks:
  p:
    customers: [c]
    children:
      d: { lookups: svc, orders: svc, priority: 3 }
      g: { based_on: d, generations: gen }
";

/// Texts that the random edits insert, chosen as likely to confuse the YAML parser or the code
/// that reads its nodes.
const INSERTED_TEXTS: &[&str] = &[
    "\n",
    "  ",
    "\t",
    ":",
    ": ",
    "- ",
    "? ",
    "&a ",
    "*a",
    "!!int ",
    "|",
    ">",
    "'",
    "\"",
    "{",
    "}",
    "[",
    "]",
    ",",
    "#",
    "---\n",
    "...\n",
    "%YAML 9\n",
    "<<",
    "~",
    "\u{0}",
    "\u{feff}",
    "\u{2028}",
    "é",
    "based_on",
    "g",
    "9",
    "\r",
];

/// Guards against a panic, an endless loop or a fault with a position outside the document when
/// a document is invalid. A panic or an endless loop would stop every instance that watches the
/// configuration service.
#[test]
fn randomly_edited_documents_are_refused_or_read() {
    fn property(edits: Vec<(u16, u8, u8)>) -> bool {
        let mut characters: Vec<char> = VALID.chars().collect();
        for (at, length, inserted) in edits {
            let start = usize::from(at) % (characters.len() + 1);
            let end = (start + usize::from(length % 8)).min(characters.len());
            let inserted = INSERTED_TEXTS[usize::from(inserted) % INSERTED_TEXTS.len()];
            characters.splice(start..end, inserted.chars());
        }
        let text: String = characters.into_iter().collect();
        let lines =
            text.chars().filter(|&character| character == '\n' || character == '\r').count();
        match ConfigTree::parse(&text) {
            Ok(tree) => ConfigTree::parse(&text).unwrap() == tree,
            Err(faults) => {
                !faults.is_empty()
                    && faults.len() <= limits::MAX_REPORTED_FAULTS + 1
                    && faults.is_sorted_by_key(|fault| (fault.line, fault.column))
                    && faults.iter().all(|fault| (1..=lines + 2).contains(&fault.line))
                    && faults.iter().all(|fault| fault.column >= 1)
            },
        }
    }
    random_runs::check(
        "edited documents",
        &[1, 2],
        700,
        6,
        property as fn(Vec<(u16, u8, u8)>) -> bool,
    );
}

/// Random numbers of one node, which select its parent, its `based_on`, its priority and its
/// route for generations.
type NodeChoice = (u8, u8, u8, u8);

fn parent(index: usize, choice: NodeChoice) -> Option<usize> {
    (index > 0 && !choice.0.is_multiple_of(3)).then(|| usize::from(choice.0 / 3) % index)
}

fn based_on(count: usize, choice: NodeChoice) -> Option<usize> {
    choice.1.is_multiple_of(5).then(|| usize::from(choice.1 / 5) % count)
}

fn own_priority(choice: NodeChoice) -> Option<u8> {
    choice.2.is_multiple_of(2).then_some(choice.2 / 2 % 10)
}

/// Returns whether the node names a route for generations (`Some(true)`) or sets the key to
/// `null` (`Some(false)`); `None` if the key is absent.
fn own_generations(choice: NodeChoice) -> Option<bool> {
    match choice.3 % 4 {
        0 => Some(true),
        1 => Some(false),
        _ => None,
    }
}

fn write_node(text: &mut String, nodes: &[NodeChoice], index: usize, indent: usize) {
    let pad = " ".repeat(indent);
    *text += &format!("{pad}n{index}:\n{pad}  customers: []\n{pad}  lookups: svc\n");
    if let Some(base) = based_on(nodes.len(), nodes[index]) {
        *text += &format!("{pad}  based_on: n{base}\n");
    }
    if let Some(priority) = own_priority(nodes[index]) {
        *text += &format!("{pad}  priority: {priority}\n");
    }
    if let Some(offered) = own_generations(nodes[index]) {
        *text += &format!("{pad}  generations: {}\n", if offered { "gen" } else { "null" });
    }
    let children: Vec<_> =
        (0..nodes.len()).filter(|&child| parent(child, nodes[child]) == Some(index)).collect();
    if !children.is_empty() {
        *text += &format!("{pad}  children:\n");
        children.iter().for_each(|&child| write_node(text, nodes, child, indent + 4));
    }
}

/// Resolves the priority of one node and whether it offers generations, as the reference that
/// the parser is compared with. Returns `None` if the inheritance has a cycle.
fn resolve_reference(nodes: &[NodeChoice], start: usize) -> Option<(u8, bool)> {
    let (mut priority, mut offered) = (None, None);
    let mut next = Some(start);
    for _ in 0..=nodes.len() {
        let Some(index) = next else {
            return Some((priority.unwrap_or(5), offered.unwrap_or(false)));
        };
        priority = priority.or(own_priority(nodes[index]));
        offered = offered.or(own_generations(nodes[index]));
        next = based_on(nodes.len(), nodes[index]).or(parent(index, nodes[index]));
    }
    None
}

/// Guards against inherited values that depend on the order of the nodes, against undetected
/// cycles and against reports of cycles that do not exist.
#[test]
fn random_desk_trees_match_the_reference() {
    fn property(nodes: Vec<NodeChoice>) -> bool {
        let sections = &VALID[..VALID.find("desks:").unwrap()];
        let mut text = format!("{sections}desks:\n");
        for index in (0..nodes.len()).filter(|&index| parent(index, nodes[index]).is_none()) {
            write_node(&mut text, &nodes, index, 2);
        }
        if nodes.is_empty() {
            text += "  {}\n";
        }
        let results: Vec<_> =
            (0..nodes.len()).map(|index| resolve_reference(&nodes, index)).collect();
        match ConfigTree::parse(&text) {
            Err(faults) => {
                results.contains(&None)
                    && faults.iter().all(|fault| fault.message.starts_with("inheritance cycle"))
            },
            Ok(tree) => results.iter().enumerate().all(|(index, result)| {
                let leaf = (0..nodes.len()).all(|child| parent(child, nodes[child]) != Some(index));
                match tree.desk(&format!("n{index}")) {
                    Some(key) => {
                        let found = (tree[key].priority, tree[key].generations.is_some());
                        leaf && *result == Some(found)
                    },
                    None => !leaf && result.is_some(),
                }
            }),
        }
    }
    random_runs::check("desk trees", &[3, 4], 400, 12, property as fn(Vec<NodeChoice>) -> bool);
}
