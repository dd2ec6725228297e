//! Reads the desk tree and resolves its inheritance.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexSet;

use crate::ids::DeskId;

use super::faults::{FaultList, Position, TreePath};
use super::keys::{DELIVERIES, DESK, OBJECTIVES};
use super::limits::{DEADLINE_MS, DESK_OPEN_LIMIT, MAX_TOKENS, NumberRange, PRIORITY};
use super::reader::{Fields, NameRef, NamedNode, name};
use super::resolved::{CustomerKey, DeliveryMode, DeskConfig, DeskObjective, RouteKey};
use super::tree::{ConfigTree, DeclaredNames};

/// Keys that a desk node sets itself, or after resolution also those it inherits.
#[derive(Clone, Default)]
struct DeskOverrides {
    objective: Option<DeskObjective>,
    delivery: Option<DeliveryMode>,
    priority: Option<u64>,
    deadline_ms: Option<u64>,
    max_tokens: Option<u64>,
    open_limit: Option<u64>,
    customers: Option<Arc<IndexSet<CustomerKey>>>,
    /// `Some(None)` for a route key set to `null`, which ends the inheritance.
    generations: Option<Option<RouteKey>>,
    lookups: Option<Option<RouteKey>>,
    orders: Option<Option<RouteKey>>,
    /// Set when the node or one it inherits from has a fault of its own; then what seems to
    /// be missing may only be unreadable.
    faulty: bool,
}

impl DeskOverrides {
    fn inherit(&mut self, source: &Self) {
        self.objective = self.objective.or(source.objective);
        self.delivery = self.delivery.or(source.delivery);
        self.priority = self.priority.or(source.priority);
        self.deadline_ms = self.deadline_ms.or(source.deadline_ms);
        self.max_tokens = self.max_tokens.or(source.max_tokens);
        self.open_limit = self.open_limit.or(source.open_limit);
        if self.customers.is_none() {
            self.customers.clone_from(&source.customers);
        }
        self.generations = self.generations.or(source.generations);
        self.lookups = self.lookups.or(source.lookups);
        self.orders = self.orders.or(source.orders);
        self.faulty |= source.faulty;
    }
}

/// A node of the desk tree.
struct DeskNode<'n> {
    name: &'n str,
    position: Position,
    /// Place in the document.
    tree_path: TreePath,
    /// Names from the root of the desk tree, joined by `/`.
    desk_path: String,
    parent: Option<usize>,
    based_on: Option<NameRef<'n>>,
    leaf: bool,
    overrides: DeskOverrides,
}

/// A route key whose route is unknown or has faults of its own.
struct UnreadableRoute;

/// Reads all desks. The result holds the leaves in the order of the document; it is complete
/// if no fault was added.
pub(super) fn read_desks<'n>(
    tree: &ConfigTree,
    root: &Fields<'n, '_>,
    names: &DeclaredNames<'n>,
    faults: &mut FaultList,
) -> Vec<DeskConfig> {
    let mut reader = DeskReader { tree, names, nodes: Vec::new(), by_name: HashMap::new() };
    reader.read_level(root, "desks", None, faults);
    let DeskReader { mut nodes, by_name, .. } = reader;
    resolve(&mut nodes, &by_name, faults);
    let mut ids = HashMap::new();
    let mut desks = Vec::new();
    for node in nodes.iter().filter(|node| node.leaf) {
        let id = DeskId::from_name(node.name);
        if ids.insert(id, node.name).is_some_and(|other| other != node.name) {
            let message = "the name's id equals that of another desk; rename it";
            faults.push(node.position, &node.tree_path, message);
        }
        desks.extend(finish(node, id, faults));
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
    fn read_level(
        &mut self,
        fields: &Fields<'n, '_>,
        key: &'static str,
        parent: Option<usize>,
        faults: &mut FaultList,
    ) {
        for NamedNode { name, position, node } in fields.nodes(key, faults) {
            let tree_path = fields.path.key(key).key(name);
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
            let based_on = self.read_source(&fields, faults);
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
                self.read_level(&fields, "children", Some(index), faults);
                if self.nodes.len() == count && faults.total() == total {
                    let path = fields.path.key("children");
                    faults.push(children.position, path, "lists no desk");
                }
            }
        }
    }

    fn read_overrides(&self, fields: &Fields<'n, '_>, faults: &mut FaultList) -> DeskOverrides {
        let objectives = [DeskObjective::LeastStall, DeskObjective::FewestPreemptions];
        let deliveries = [DeliveryMode::Stream, DeliveryMode::Whole];
        let before = faults.total();
        let mut unreadable = false;
        let mut route = |key, engines, faults: &mut FaultList| {
            self.read_route(fields, key, engines, faults).unwrap_or_else(|UnreadableRoute| {
                unreadable = true;
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
            faulty: unreadable,
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
        let path = fields.path.key("customers");
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

    /// Reads the name of a route to engines (`engines`) or to plain services.
    fn read_route(
        &self,
        fields: &Fields<'n, '_>,
        key: &str,
        engines: bool,
        faults: &mut FaultList,
    ) -> Result<Option<Option<RouteKey>>, UnreadableRoute> {
        let Some(node) = fields.get(key) else { return Ok(None) };
        if node.is_null() {
            return Ok(Some(None));
        }
        let path = fields.path.key(key);
        let name = name(node, &path, faults).ok_or(UnreadableRoute)?;
        let Some(route) = self.tree.route(name) else {
            if !self.names.routes.contains(name) {
                faults.push(node.position, path, format!("unknown route {name:?}"));
            }
            return Err(UnreadableRoute);
        };
        if self.tree[route].model.is_some() != engines {
            let (found, wanted) =
                if engines { ("plain services", "engines") } else { ("engines", "plain services") };
            let message = format!("route {name} leads to {found}; {key} needs {wanted}");
            faults.push(node.position, path, message);
        }
        Ok(Some(Some(route)))
    }

    fn read_source(&self, fields: &Fields<'n, '_>, faults: &mut FaultList) -> Option<NameRef<'n>> {
        let node = fields.get("based_on")?;
        let name = name(node, &fields.path.key("based_on"), faults)?;
        Some(NameRef { name, position: node.position })
    }
}

/// Resolves every node from its source, which is `based_on` or else the parent.
///
/// Follows each chain without recursion, because a document can chain 10,000 nodes.
fn resolve(nodes: &mut [DeskNode<'_>], by_name: &HashMap<&str, usize>, faults: &mut FaultList) {
    let mut sources = Vec::with_capacity(nodes.len());
    for node in nodes.iter() {
        sources.push(match node.based_on {
            None => node.parent,
            Some(reference) => {
                let source = by_name.get(reference.name).copied();
                if source.is_none() {
                    let message = format!("unknown desk {:?}", reference.name);
                    faults.push(reference.position, node.tree_path.key("based_on"), message);
                }
                source
            },
        });
    }
    for (node, source) in nodes.iter_mut().zip(&sources) {
        node.overrides.faulty |= node.based_on.is_some() && source.is_none();
    }
    let mut states = vec![ResolveState::New; nodes.len()];
    for start in 0..nodes.len() {
        let mut chain = Vec::new();
        let mut next = Some(start);
        while let Some(index) = next.filter(|&index| states[index] == ResolveState::New) {
            states[index] = ResolveState::Open;
            chain.push(index);
            next = sources[index];
        }
        if let Some(index) = next.filter(|&index| states[index] == ResolveState::Open) {
            let begin = chain.iter().position(|&member| member == index).unwrap_or(0);
            report_cycle(nodes, &chain[begin..], faults);
            for &member in &chain[begin..] {
                nodes[member].overrides.faulty = true;
            }
        }
        for &index in chain.iter().rev() {
            if let Some(source) =
                sources[index].filter(|&source| states[source] == ResolveState::Done)
            {
                let source = nodes[source].overrides.clone();
                nodes[index].overrides.inherit(&source);
            }
            states[index] = ResolveState::Done;
        }
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum ResolveState {
    New,
    /// On the chain that is being followed.
    Open,
    Done,
}

/// Most names of a cycle that its fault lists.
const CYCLE_NAMES: usize = 8;

fn report_cycle(nodes: &[DeskNode<'_>], cycle: &[usize], faults: &mut FaultList) {
    let mut names: Vec<_> =
        cycle.iter().take(CYCLE_NAMES).map(|&index| nodes[index].name).collect();
    if cycle.len() > CYCLE_NAMES {
        names.push("...");
    }
    names.push(nodes[cycle[0]].name);
    // Parents alone form no cycle, so one member has `based_on`.
    let referring = cycle.iter().map(|&index| &nodes[index]).find(|node| node.based_on.is_some());
    if let Some((node, reference)) = referring.and_then(|node| Some((node, node.based_on?))) {
        let message = format!("inheritance cycle {}", names.join(" -> "));
        faults.push(reference.position, node.tree_path.key("based_on"), message);
    }
}

/// Fills in the defaults. Reports a desk that nobody could use, unless a fault explains it.
fn finish(node: &DeskNode<'_>, id: DeskId, faults: &mut FaultList) -> Option<DeskConfig> {
    let set = &node.overrides;
    let generations = set.generations.flatten();
    let lookups = set.lookups.flatten();
    let orders = set.orders.flatten();
    if !set.faulty && set.customers.is_none() {
        let message = "missing key customers, which no node that it inherits from sets either";
        faults.push(node.position, &node.tree_path, message);
    }
    if !set.faulty && generations.or(lookups).or(orders).is_none() {
        let message = "offers nothing; set generations, lookups or orders";
        faults.push(node.position, &node.tree_path, message);
    }
    let number = |value: Option<u64>, range: &NumberRange| value.or(range.default);
    Some(DeskConfig {
        id,
        name: node.name.to_owned(),
        path: node.desk_path.clone(),
        objective: set.objective.unwrap_or_default(),
        delivery: set.delivery.unwrap_or_default(),
        priority: number(set.priority, &PRIORITY)? as u8,
        deadline: Duration::from_millis(number(set.deadline_ms, &DEADLINE_MS)?),
        max_tokens: number(set.max_tokens, &MAX_TOKENS)? as u32,
        open_limit: number(set.open_limit, &DESK_OPEN_LIMIT)? as u32,
        customers: set.customers.clone().unwrap_or_default(),
        generations,
        lookups,
        orders,
    })
}
