//! Reads the desk tree and resolves inheritance between its nodes.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::DeskId;

use super::faults::{FaultList, Position, TreePath};
use super::keys::{DELIVERIES, DESK, OBJECTIVES};
use super::limits::{DEADLINE_MS, DESK_OPEN_LIMIT, MAX_TOKENS, NumberRange, PRIORITY};
use super::reader::{Fields, NameRef, NamedNode, read_name};
use super::resolved::{CustomerKey, DeliveryMode, DeskConfig, DeskObjective, RouteKey};
use super::tree::{ConfigTree, DeclaredNames};

/// Values of the keys that a desk node sets and, after resolution, of those it inherits.
#[derive(Clone, Default)]
struct DeskOverrides {
    objective: Option<DeskObjective>,
    delivery: Option<DeliveryMode>,
    priority: Option<u64>,
    deadline_ms: Option<u64>,
    max_tokens: Option<u64>,
    open_limit: Option<u64>,
    customers: Option<Arc<IndexSet<CustomerKey>>>,
    /// `None` if the key is absent, and `Some(None)` if it is `null`, which stops inheritance.
    generations: Option<Option<RouteKey>>,
    lookups: Option<Option<RouteKey>>,
    orders: Option<Option<RouteKey>>,
    /// Whether the node, or one it inherits from, has a fault. A missing value may then be a
    /// consequence of that fault, and is not reported.
    faulty: bool,
}

impl DeskOverrides {
    /// Takes each value that is not set from the node that this one inherits from.
    fn inherit_from(&mut self, base: &Self) {
        self.objective = self.objective.or(base.objective);
        self.delivery = self.delivery.or(base.delivery);
        self.priority = self.priority.or(base.priority);
        self.deadline_ms = self.deadline_ms.or(base.deadline_ms);
        self.max_tokens = self.max_tokens.or(base.max_tokens);
        self.open_limit = self.open_limit.or(base.open_limit);
        if self.customers.is_none() {
            self.customers.clone_from(&base.customers);
        }
        self.generations = self.generations.or(base.generations);
        self.lookups = self.lookups.or(base.lookups);
        self.orders = self.orders.or(base.orders);
        self.faulty |= base.faulty;
    }
}

/// A node of the desk tree.
struct DeskNode<'n> {
    name: &'n str,
    position: Position,
    /// Keys from the root of the document to the node.
    tree_path: TreePath,
    /// Names from the root of the desk tree, joined by `/`.
    desk_path: String,
    parent: Option<usize>,
    based_on: Option<NameRef<'n>>,
    /// Whether the node is a desk that callers can use: it has no key `children`.
    leaf: bool,
    overrides: DeskOverrides,
}

/// The error of a key that names no valid route: the name is invalid or unknown, or its route
/// has faults.
struct UnresolvedRoute;

/// Reads all desks in the order of the document. Desks may be missing from the result if a
/// fault was added.
pub(super) fn read_desks<'n>(
    tree: &ConfigTree,
    root: &Fields<'n, '_>,
    names: &DeclaredNames<'n>,
    faults: &mut FaultList,
) -> Vec<DeskConfig> {
    let mut reader = DeskReader { tree, names, nodes: Vec::new(), by_name: HashMap::new() };
    reader.read_nodes(root, "desks", None, faults);
    let DeskReader { mut nodes, by_name, .. } = reader;
    resolve_inheritance(&mut nodes, &by_name, faults);
    let mut ids = HashMap::new();
    let mut desks = Vec::new();
    for node in nodes.iter().filter(|node| node.leaf) {
        let id = DeskId::from_name(node.name);
        if ids.insert(id, node.name).is_some_and(|other| other != node.name) {
            let message = "the id derived from this name equals that of another desk; rename one";
            faults.push(node.position, &node.tree_path, message);
        }
        desks.extend(build_desk(node, id, faults));
    }
    desks
}

struct DeskReader<'r, 'n> {
    tree: &'r ConfigTree,
    names: &'r DeclaredNames<'n>,
    nodes: Vec<DeskNode<'n>>,
    by_name: HashMap<&'n str, usize>,
}

impl<'n> DeskReader<'_, 'n> {
    /// Reads the desk nodes below `key` and, recursively, their children.
    fn read_nodes(
        &mut self,
        fields: &Fields<'n, '_>,
        key: &'static str,
        parent: Option<usize>,
        faults: &mut FaultList,
    ) {
        for NamedNode { name, position, node } in fields.nodes(key, faults) {
            let tree_path = fields.path.with_key(key).with_key(name);
            let Some(fields) = Fields::new(node, tree_path.clone(), &DESK, faults) else {
                continue;
            };
            let index = self.nodes.len();
            if let Some(&other) = self.by_name.get(name) {
                let other = &self.nodes[other].tree_path;
                faults.push(position, &tree_path, format!("{other} has the same desk name"));
            } else {
                self.by_name.insert(name, index);
            }
            let overrides = self.read_overrides(&fields, faults);
            let based_on = self.read_based_on(&fields, faults);
            let desk_path = match parent {
                Some(parent) => format!("{}/{name}", self.nodes[parent].desk_path),
                None => name.to_owned(),
            };
            let children = fields.get("children");
            let leaf = children.is_none();
            let node = DeskNode {
                name,
                position,
                tree_path,
                desk_path,
                parent,
                based_on,
                leaf,
                overrides,
            };
            self.nodes.push(node);
            if let Some(children) = children {
                let total = faults.total();
                let count = self.nodes.len();
                self.read_nodes(&fields, "children", Some(index), faults);
                if self.nodes.len() == count && faults.total() == total {
                    let path = fields.path.with_key("children");
                    faults.push(children.position, path, "lists no desk");
                }
            }
        }
    }

    fn read_overrides(&self, fields: &Fields<'n, '_>, faults: &mut FaultList) -> DeskOverrides {
        let objectives = [DeskObjective::LeastStall, DeskObjective::FewestPreemptions];
        let deliveries = [DeliveryMode::Stream, DeliveryMode::Whole];
        let before = faults.total();
        let mut unresolved = false;
        let mut route = |key, to_engines, faults: &mut FaultList| {
            self.read_route(fields, key, to_engines, faults).unwrap_or_else(|UnresolvedRoute| {
                unresolved = true;
                None
            })
        };
        let generations = route("generations", true, faults);
        let lookups = route("lookups", false, faults);
        let orders = route("orders", false, faults);
        let mut overrides = DeskOverrides {
            objective: fields.choice("objective", OBJECTIVES, &objectives, faults),
            delivery: fields.choice("delivery", DELIVERIES, &deliveries, faults),
            priority: fields.number(&PRIORITY, faults),
            deadline_ms: fields.number(&DEADLINE_MS, faults),
            max_tokens: fields.number(&MAX_TOKENS, faults),
            open_limit: fields.number(&DESK_OPEN_LIMIT, faults),
            customers: self.read_customers(fields, faults),
            generations,
            lookups,
            orders,
            faulty: unresolved,
        };
        overrides.faulty |= faults.total() > before;
        overrides
    }

    fn read_customers(
        &self,
        fields: &Fields<'n, '_>,
        faults: &mut FaultList,
    ) -> Option<Arc<IndexSet<CustomerKey>>> {
        fields.get("customers")?;
        let listed = fields.names("customers", faults)?;
        let path = fields.path.with_key("customers");
        let mut customers = IndexSet::with_capacity(listed.len());
        for item in listed {
            match self.tree.customer(item.name) {
                Some(key) => {
                    customers.insert(key);
                },
                None if self.names.customers.contains(item.name) => {},
                None => {
                    let message = format!("unknown customer {:?}", item.name);
                    faults.push(item.position, &path, message);
                },
            }
        }
        Some(Arc::new(customers))
    }

    /// Reads the name of a route, which must lead to engines if `to_engines` is true and
    /// otherwise to plain services. Returns `None` if the key is absent and `Some(None)` if it is
    /// `null`.
    fn read_route(
        &self,
        fields: &Fields<'n, '_>,
        key: &str,
        to_engines: bool,
        faults: &mut FaultList,
    ) -> Result<Option<Option<RouteKey>>, UnresolvedRoute> {
        let Some(node) = fields.get(key) else { return Ok(None) };
        if node.is_null() {
            return Ok(Some(None));
        }
        let path = fields.path.with_key(key);
        let name = read_name(node, &path, faults).ok_or(UnresolvedRoute)?;
        let Some(route) = self.tree.route(name) else {
            if !self.names.routes.contains(name) {
                faults.push(node.position, path, format!("unknown route {name:?}"));
            }
            return Err(UnresolvedRoute);
        };
        if self.tree[route].model.is_some() != to_engines {
            let (found, wanted) = if to_engines {
                ("plain services", "engines")
            } else {
                ("engines", "plain services")
            };
            let message = format!("route {name} leads to {found}; {key} needs {wanted}");
            faults.push(node.position, path, message);
        }
        Ok(Some(Some(route)))
    }

    fn read_based_on(
        &self,
        fields: &Fields<'n, '_>,
        faults: &mut FaultList,
    ) -> Option<NameRef<'n>> {
        let node = fields.get("based_on")?;
        let name = read_name(node, &fields.path.with_key("based_on"), faults)?;
        Some(NameRef { name, position: node.position })
    }
}

/// Adds the inherited values to every node. A node inherits from its base, which is the node
/// named by `based_on`, or else its parent.
///
/// Follows each chain of bases without recursion, because a document can chain 10,000 nodes.
fn resolve_inheritance(
    nodes: &mut [DeskNode<'_>],
    by_name: &HashMap<&str, usize>,
    faults: &mut FaultList,
) {
    let mut bases = Vec::with_capacity(nodes.len());
    for node in nodes.iter() {
        bases.push(match node.based_on {
            None => node.parent,
            Some(reference) => {
                let base = by_name.get(reference.name).copied();
                if base.is_none() {
                    let message = format!("unknown desk {:?}", reference.name);
                    faults.push(reference.position, node.tree_path.with_key("based_on"), message);
                }
                base
            },
        });
    }
    for (node, base) in nodes.iter_mut().zip(&bases) {
        node.overrides.faulty |= node.based_on.is_some() && base.is_none();
    }
    let mut states = vec![ResolveState::Unvisited; nodes.len()];
    for start in 0..nodes.len() {
        let mut chain = Vec::new();
        let mut next = Some(start);
        while let Some(index) = next.filter(|&index| states[index] == ResolveState::Unvisited) {
            states[index] = ResolveState::InChain;
            chain.push(index);
            next = bases[index];
        }
        if let Some(index) = next.filter(|&index| states[index] == ResolveState::InChain) {
            let begin = chain.iter().position(|&member| member == index).unwrap_or(0);
            report_cycle(nodes, &chain[begin..], faults);
            for &member in &chain[begin..] {
                nodes[member].overrides.faulty = true;
            }
        }
        for &index in chain.iter().rev() {
            if let Some(base) = bases[index].filter(|&base| states[base] == ResolveState::Resolved)
            {
                let base = nodes[base].overrides.clone();
                nodes[index].overrides.inherit_from(&base);
            }
            states[index] = ResolveState::Resolved;
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ResolveState {
    Unvisited,
    /// On the chain that is being followed, so that reaching it again shows a cycle.
    InChain,
    Resolved,
}

/// Maximum number of names that the fault of a cycle lists.
const MAX_CYCLE_NAMES: usize = 8;

fn report_cycle(nodes: &[DeskNode<'_>], cycle: &[usize], faults: &mut FaultList) {
    let mut names: Vec<_> =
        cycle.iter().take(MAX_CYCLE_NAMES).map(|&index| nodes[index].name).collect();
    if cycle.len() > MAX_CYCLE_NAMES {
        names.push("...");
    }
    names.push(nodes[cycle[0]].name);
    // Links from child to parent alone form no cycle, so one member has `based_on`.
    let referring = cycle.iter().map(|&index| &nodes[index]).find(|node| node.based_on.is_some());
    if let Some((node, reference)) = referring.and_then(|node| Some((node, node.based_on?))) {
        let message = format!("inheritance cycle {}", names.join(" -> "));
        faults.push(reference.position, node.tree_path.with_key("based_on"), message);
    }
}

/// Builds a desk from the values of its node and the defaults. Reports a desk without customers
/// or without routes, unless a fault of its node or of one it inherits from explains it.
fn build_desk(node: &DeskNode<'_>, id: DeskId, faults: &mut FaultList) -> Option<DeskConfig> {
    let overrides = &node.overrides;
    let generations = overrides.generations.flatten();
    let lookups = overrides.lookups.flatten();
    let orders = overrides.orders.flatten();
    if !overrides.faulty && overrides.customers.is_none() {
        let message =
            "missing key customers; neither the desk nor a node that it inherits from sets it";
        faults.push(node.position, &node.tree_path, message);
    }
    if !overrides.faulty && generations.or(lookups).or(orders).is_none() {
        let message = "offers nothing; set generations, lookups or orders";
        faults.push(node.position, &node.tree_path, message);
    }
    let number = |value: Option<u64>, range: &NumberRange| value.or(range.default);
    Some(DeskConfig {
        id,
        name: node.name.to_owned(),
        path: node.desk_path.clone(),
        objective: overrides.objective.unwrap_or_default(),
        delivery: overrides.delivery.unwrap_or_default(),
        priority: number(overrides.priority, &PRIORITY)? as u8,
        deadline: Duration::from_millis(number(overrides.deadline_ms, &DEADLINE_MS)?),
        max_tokens: number(overrides.max_tokens, &MAX_TOKENS)? as u32,
        open_limit: number(overrides.open_limit, &DESK_OPEN_LIMIT)? as u32,
        customers: overrides.customers.clone().unwrap_or_default(),
        generations,
        lookups,
        orders,
    })
}
