//! The resolved configuration tree, and the validation of all sections but desks.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::ops::Index;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::ids::{CustomerId, DeskId, RouteId, ServerId, ZoneId};

use super::desks::read_desks;
use super::faults::{ConfigFault, FaultList, Position, TreePath};
use super::keys::{CUSTOMER, KINDS, MODEL, ROOT, ROUTE, SERVER, STATES};
use super::limits::{CUSTOMER_OPEN_LIMIT, KV_TOKENS, MAX_BATCH, SHARE, SLOW_START_BATCH};
use super::reader::{Fields, NameRef, NamedNode, read_address, read_digest, read_list, read_text};
use super::resolved::{
    CustomerConfig, CustomerKey, DeskConfig, DeskKey, EngineConfig, ModelConfig, ModelKey,
    ModelVersion, RouteConfig, RouteKey, ServerConfig, ServerKey, ServerKind, ServerState,
    ServiceConfig,
};
use super::yaml::{Node, parse_document};

/// A validated configuration with all inheritance resolved. Immutable.
///
/// `tree[key]` gives the entry of a key, such as the [`DeskConfig`] of a [`DeskKey`]. Keys are
/// indices, valid only in the tree that returned them; stable ids are the same in all trees.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct ConfigTree {
    models: IndexMap<String, ModelConfig>,
    servers: IndexMap<String, ServerConfig>,
    routes: IndexMap<String, RouteConfig>,
    customers: IndexMap<String, CustomerConfig>,
    desks: IndexMap<String, DeskConfig>,
    #[serde(skip)]
    server_ids: HashMap<ServerId, ServerKey>,
    #[serde(skip)]
    route_ids: HashMap<RouteId, RouteKey>,
    #[serde(skip)]
    customer_ids: HashMap<CustomerId, CustomerKey>,
    #[serde(skip)]
    desk_ids: HashMap<DeskId, DeskKey>,
    /// Customers by the digest of their credential.
    #[serde(skip)]
    digests: HashMap<[u8; 32], CustomerKey>,
}

macro_rules! entry_accessors {
    ($map:ident, $get:ident, $entries:ident, $key:ident, $config:ident, $noun:literal) => {
        impl Index<$key> for ConfigTree {
            type Output = $config;

            fn index(&self, key: $key) -> &$config {
                &self.$map[key.0 as usize]
            }
        }

        impl ConfigTree {
            #[doc = concat!("Finds a ", $noun, " by its name.")]
            pub fn $get(&self, name: &str) -> Option<$key> {
                self.$map.get_index_of(name).map(|index| $key(index as u32))
            }

            #[doc = concat!("Iterates over every ", $noun, " in the order of the tree.")]
            pub fn $entries(&self) -> impl ExactSizeIterator<Item = ($key, &$config)> {
                self.$map.values().enumerate().map(|(index, config)| ($key(index as u32), config))
            }
        }
    };
}

entry_accessors!(models, model, models, ModelKey, ModelConfig, "model");
entry_accessors!(servers, server, servers, ServerKey, ServerConfig, "server");
entry_accessors!(routes, route, routes, RouteKey, RouteConfig, "route");
entry_accessors!(customers, customer, customers, CustomerKey, CustomerConfig, "customer");
entry_accessors!(desks, desk, desks, DeskKey, DeskConfig, "desk");

impl ConfigTree {
    /// Parses, validates and resolves a document.
    ///
    /// # Errors
    /// Returns the faults in the order of their position, at least one. If there are more than
    /// [`MAX_REPORTED_FAULTS`](super::limits::MAX_REPORTED_FAULTS), a last entry gives the
    /// number of those left out. A syntax error is reported only with the faults found before
    /// it, which are duplicate keys, anchors and tags.
    pub fn parse(text: &str) -> Result<Self, Vec<ConfigFault>> {
        let mut faults = FaultList::default();
        let mut tree = Self::default();
        if let Some(root) = parse_document(text, &mut faults) {
            tree.read(&root, &mut faults);
        }
        faults.into_result(tree)
    }

    /// Finds a customer by the BLAKE3 digest of its credential.
    pub fn customer_by_digest(&self, digest: &[u8; 32]) -> Option<CustomerKey> {
        self.digests.get(digest).copied()
    }

    /// Finds a server by its stable id.
    pub fn server_by_id(&self, id: ServerId) -> Option<ServerKey> {
        self.server_ids.get(&id).copied()
    }

    /// Finds a route by its stable id.
    pub fn route_by_id(&self, id: RouteId) -> Option<RouteKey> {
        self.route_ids.get(&id).copied()
    }

    /// Finds a customer by its stable id.
    pub fn customer_by_id(&self, id: CustomerId) -> Option<CustomerKey> {
        self.customer_ids.get(&id).copied()
    }

    /// Finds a desk by its stable id.
    pub fn desk_by_id(&self, id: DeskId) -> Option<DeskKey> {
        self.desk_ids.get(&id).copied()
    }

    fn read(&mut self, root: &Node<'_>, faults: &mut FaultList) {
        let Some(fields) = Fields::new(root, TreePath::default(), &ROOT, faults) else { return };
        let mut names = DeclaredNames::default();
        self.read_models(&fields, &mut names, faults);
        self.read_servers(&fields, &mut names, faults);
        self.read_routes(&fields, &mut names, faults);
        self.read_customers(&fields, &mut names, faults);
        for desk in read_desks(self, &fields, &names, faults) {
            let key = DeskKey(self.desks.len() as u32);
            self.desk_ids.insert(desk.id, key);
            self.desks.insert(desk.name.clone(), desk);
        }
    }

    fn read_models<'n>(
        &mut self,
        root: &Fields<'n, '_>,
        names: &mut DeclaredNames<'n>,
        faults: &mut FaultList,
    ) {
        let section = root.path.with_key("models");
        for NamedNode { name, node, .. } in root.nodes("models", faults) {
            names.models.insert(name);
            let path = section.with_key(name);
            let Some(fields) = Fields::new(node, path.clone(), &MODEL, faults) else { continue };
            let Some(listed) = fields.names("versions", faults) else { continue };
            let versions: IndexSet<_> = listed.iter().map(|item| item.name.to_owned()).collect();
            if versions.is_empty() {
                faults.push(fields.position, path.with_key("versions"), "lists no valid version");
                continue;
            }
            let model = ModelConfig { name: name.to_owned(), versions };
            self.models.insert(name.to_owned(), model);
        }
    }

    fn read_servers<'n>(
        &mut self,
        root: &Fields<'n, '_>,
        names: &mut DeclaredNames<'n>,
        faults: &mut FaultList,
    ) {
        let section = root.path.with_key("servers");
        let mut addresses = HashMap::new();
        for NamedNode { name, position, node } in root.nodes("servers", faults) {
            names.servers.insert(name);
            let path = section.with_key(name);
            let Some(fields) = Fields::new(node, path.clone(), &SERVER, faults) else { continue };
            let Some(server) = self.read_server(name, &fields, names, &mut addresses, faults)
            else {
                continue;
            };
            let key = ServerKey(self.servers.len() as u32);
            if self.server_ids.insert(server.id, key).is_some() {
                faults.push(
                    position,
                    &path,
                    "the id derived from this name equals that of another server; rename one",
                );
            }
            self.servers.insert(name.to_owned(), server);
        }
    }

    fn read_server<'n>(
        &self,
        name: &'n str,
        fields: &Fields<'n, '_>,
        names: &DeclaredNames<'n>,
        addresses: &mut HashMap<SocketAddr, &'n str>,
        faults: &mut FaultList,
    ) -> Option<ServerConfig> {
        let address = fields.require("address", faults).and_then(|node| {
            let path = fields.path.with_key("address");
            let address = read_address(node, &path, faults)?;
            // Two entries for one address would count the server's memory twice.
            if let Some(other) = addresses.insert(address, name) {
                faults.push(node.position, path, format!("{other} has the same address"));
            }
            Some(address)
        });
        let zone = fields.name("zone", faults);
        let states = [ServerState::Live, ServerState::Leaving];
        let state = fields.choice("state", STATES, &states, faults).unwrap_or_default();
        fields.require("kind", faults);
        let is_engine = fields.choice("kind", KINDS, &[true, false], faults)?;
        for key in SERVER.keys {
            if let (Some(kind), Some(position)) = (key.server_kind, fields.key_position(key.key))
                && (kind == "engine") != is_engine
            {
                let message = format!("applies to servers of kind {kind} only");
                faults.push(position, fields.path.with_key(key.key), message);
            }
        }
        let kind = if is_engine {
            let models = self.read_model_versions(fields, names, faults);
            let kv_tokens = fields.number_or_default(&KV_TOKENS, faults);
            let max_batch = fields.number_or_default(&MAX_BATCH, faults);
            let slow_start_batch = fields.number(&SLOW_START_BATCH, faults);
            let checks_fencing = fields.flag("checks_fencing", false, faults);
            ServerKind::Engine(EngineConfig {
                models: models?,
                kv_tokens: kv_tokens?,
                max_batch: max_batch? as u32,
                slow_start_batch: slow_start_batch.map(|batch| batch as u32),
                checks_fencing: checks_fencing?,
            })
        } else {
            let checks_idempotency_keys = fields.flag("checks_idempotency_keys", false, faults)?;
            ServerKind::Service(ServiceConfig { checks_idempotency_keys })
        };
        let zone_name = zone?.to_owned();
        Some(ServerConfig {
            id: ServerId::from_name(name),
            name: name.to_owned(),
            address: address?,
            zone: ZoneId::from_name(&zone_name),
            zone_name,
            state,
            kind,
        })
    }

    fn read_model_versions<'n>(
        &self,
        fields: &Fields<'n, '_>,
        names: &DeclaredNames<'n>,
        faults: &mut FaultList,
    ) -> Option<Vec<ModelVersion>> {
        let before = faults.total();
        let node = fields.require("models", faults)?;
        let path = fields.path.with_key("models");
        let listed = read_list(node, &path, faults)?;
        if listed.is_empty() {
            faults.push(node.position, &path, "an engine must list at least one MODEL@VERSION");
        }
        let mut versions: Vec<ModelVersion> = Vec::with_capacity(listed.len());
        for (index, item) in listed.iter().enumerate() {
            let path = path.with_index(index);
            let Some(written) = read_text(item, &path, faults) else { continue };
            let Some((model, version)) = written.split_once('@') else {
                faults.push(item.position, path, format!("{written:?} is not MODEL@VERSION"));
                continue;
            };
            let Some(version) = self.find_version(model, version, names) else {
                faults.push(item.position, path, format!("unknown model version {written:?}"));
                continue;
            };
            if versions.contains(&version) {
                faults.push(item.position, path, format!("{written} is listed twice"));
            } else {
                versions.push(version);
            }
        }
        (faults.total() == before).then_some(versions)
    }

    /// Finds a version of a model. Any version of a model with faults counts as known, because
    /// its list of versions could not be read.
    fn find_version(
        &self,
        model: &str,
        version: &str,
        names: &DeclaredNames<'_>,
    ) -> Option<ModelVersion> {
        let known = match self.models.get(model) {
            Some(config) => config.versions.contains(version),
            None => names.models.contains(model),
        };
        known.then(|| ModelVersion { model: model.to_owned(), version: version.to_owned() })
    }

    fn read_routes<'n>(
        &mut self,
        root: &Fields<'n, '_>,
        names: &mut DeclaredNames<'n>,
        faults: &mut FaultList,
    ) {
        let section = root.path.with_key("routes");
        for NamedNode { name, position, node } in root.nodes("routes", faults) {
            names.routes.insert(name);
            let path = section.with_key(name);
            let before = faults.total();
            let Some(fields) = Fields::new(node, path.clone(), &ROUTE, faults) else { continue };
            let model = self.read_route_model(&fields, names, faults);
            let Some(listed) = fields.names("servers", faults) else { continue };
            if listed.is_empty() && faults.total() == before {
                faults.push(fields.position, path.with_key("servers"), "lists no server");
            }
            let model_known = faults.total() == before;
            let servers = self.resolve_servers(&fields, &listed, names, faults);
            if model_known {
                self.check_route_servers(&fields, model.as_ref(), &servers, faults);
            }
            if faults.total() > before {
                continue;
            }
            let id = RouteId::from_name(name);
            let key = RouteKey(self.routes.len() as u32);
            if self.route_ids.insert(id, key).is_some() {
                faults.push(
                    position,
                    &path,
                    "the id derived from this name equals that of another route; rename one",
                );
            }
            let servers = servers.into_iter().map(|(key, _)| key).collect();
            let route = RouteConfig { id, name: name.to_owned(), model, servers };
            self.routes.insert(name.to_owned(), route);
        }
    }

    fn read_route_model<'n>(
        &self,
        fields: &Fields<'n, '_>,
        names: &DeclaredNames<'n>,
        faults: &mut FaultList,
    ) -> Option<ModelVersion> {
        match (fields.key_position("model"), fields.key_position("version")) {
            (None, None) => None,
            (Some(_), Some(position)) => {
                let (model, version) =
                    (fields.name("model", faults), fields.name("version", faults));
                let (model, version) = (model?, version?);
                let found = self.find_version(model, version, names);
                if found.is_none() && !names.models.contains(model) {
                    let position = fields.get("model")?.position;
                    faults.push(
                        position,
                        fields.path.with_key("model"),
                        format!("unknown model {model:?}"),
                    );
                } else if found.is_none() {
                    let message = format!("model {model} has no version {version:?}");
                    let position = fields.get("version").map_or(position, |node| node.position);
                    faults.push(position, fields.path.with_key("version"), message);
                }
                found
            },
            (Some(position), None) | (None, Some(position)) => {
                faults.push(
                    position,
                    &fields.path,
                    "model and version must be given together or not at all",
                );
                None
            },
        }
    }

    fn resolve_servers<'n>(
        &self,
        fields: &Fields<'n, '_>,
        listed: &[NameRef<'n>],
        names: &DeclaredNames<'n>,
        faults: &mut FaultList,
    ) -> Vec<(ServerKey, Position)> {
        let path = fields.path.with_key("servers");
        let mut servers = Vec::with_capacity(listed.len());
        for item in listed {
            match self.server(item.name) {
                Some(key) => servers.push((key, item.position)),
                None if names.servers.contains(item.name) => {},
                None => {
                    faults.push(item.position, &path, format!("unknown server {:?}", item.name))
                },
            }
        }
        servers
    }

    fn check_route_servers(
        &self,
        fields: &Fields<'_, '_>,
        model: Option<&ModelVersion>,
        servers: &[(ServerKey, Position)],
        faults: &mut FaultList,
    ) {
        let path = fields.path.with_key("servers");
        for &(key, position) in servers {
            let server = &self[key];
            let name = &server.name;
            let message = match (model, &server.kind) {
                (None, ServerKind::Service(_)) => continue,
                (Some(wanted), ServerKind::Engine(engine)) if engine.models.contains(wanted) => {
                    continue;
                },
                (Some(wanted), ServerKind::Engine(_)) => {
                    format!("{name} does not list {}@{}", wanted.model, wanted.version)
                },
                (Some(_), ServerKind::Service(_)) => {
                    format!("{name} is a plain service, but the route names a model")
                },
                (None, ServerKind::Engine(_)) => {
                    format!("{name} is an engine, but the route names no model")
                },
            };
            faults.push(position, &path, message);
        }
    }

    fn read_customers<'n>(
        &mut self,
        root: &Fields<'n, '_>,
        names: &mut DeclaredNames<'n>,
        faults: &mut FaultList,
    ) {
        let section = root.path.with_key("customers");
        let mut digests = HashMap::new();
        for NamedNode { name, position, node } in root.nodes("customers", faults) {
            names.customers.insert(name);
            let path = section.with_key(name);
            let Some(fields) = Fields::new(node, path.clone(), &CUSTOMER, faults) else { continue };
            let digest = fields.require("credential_digest", faults).and_then(|node| {
                let path = path.with_key("credential_digest");
                let digest = read_digest(node, &path, faults)?;
                if let Some(other) = digests.insert(digest, name) {
                    faults.push(node.position, path, format!("{other} has the same credential"));
                }
                Some(digest)
            });
            let share = fields.number_or_default(&SHARE, faults);
            let open_limit = fields.number_or_default(&CUSTOMER_OPEN_LIMIT, faults);
            let (Some(credential_digest), Some(share), Some(open_limit)) =
                (digest, share, open_limit)
            else {
                continue;
            };
            let id = CustomerId::from_name(name);
            let key = CustomerKey(self.customers.len() as u32);
            if self.customer_ids.insert(id, key).is_some() {
                faults.push(
                    position,
                    &path,
                    "the id derived from this name equals that of another customer; rename one",
                );
            }
            self.digests.insert(credential_digest, key);
            let customer = CustomerConfig {
                id,
                name: name.to_owned(),
                credential_digest,
                share: share as u32,
                open_limit: open_limit as u32,
            };
            self.customers.insert(name.to_owned(), customer);
        }
    }
}

/// Names that the document declares, including those of nodes with faults, so that a reference
/// to such a node is not also reported as unknown.
#[derive(Default)]
pub(super) struct DeclaredNames<'n> {
    pub models: IndexSet<&'n str>,
    pub servers: IndexSet<&'n str>,
    pub routes: IndexSet<&'n str>,
    pub customers: IndexSet<&'n str>,
}
