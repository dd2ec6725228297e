//! Tables of every key of the configuration tree, with types and defaults.

use super::limits::{
    CUSTOMER_OPEN_LIMIT, DEADLINE_MS, DESK_OPEN_LIMIT, KV_TOKENS, MAX_BATCH, MAX_TOKENS,
    NumberRange, PRIORITY, SHARE, SLOW_START_BATCH,
};

/// Type of a key's value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyType {
    /// A mapping from names to nodes.
    Nodes,
    /// A name: letters, digits, `.`, `_` and `-`, beginning with a letter or digit.
    Name,
    /// A list of names.
    Names,
    /// The name of a route, or `null` to offer none.
    RouteName,
    /// A list of `MODEL@VERSION`.
    ModelVersions,
    /// A whole number in a range.
    Number(NumberRange),
    /// `true` or `false`.
    Flag,
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// IP address and port.
    Address,
    /// 64 hexadecimal digits.
    Digest,
}

/// Effect of an absent key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyDefault {
    /// The key is required.
    Required,
    /// Every desk must set the key or inherit it.
    RequiredInherited,
    /// The key is required in servers of this kind and refused in the other kind.
    RequiredFor(&'static str),
    /// This value applies.
    Value(&'static str),
    /// The default of the key's [`NumberRange`] applies.
    RangeDefault,
    /// No value applies; the text describes the effect for the documentation.
    Absent(&'static str),
}

/// Describes one key.
#[derive(Clone, Copy, Debug)]
pub struct KeyDescriptor {
    /// Name of the key.
    pub key: &'static str,
    /// Type of its value.
    pub value: KeyType,
    /// Effect of an absent key.
    pub default: KeyDefault,
    /// Whether desks inherit it.
    pub inherited: bool,
    /// Kind of server that it applies to, or `None` for all nodes of the section.
    pub server_kind: Option<&'static str>,
}

/// Describes the keys of one kind of node.
#[derive(Clone, Copy, Debug)]
pub struct SectionDescriptor {
    /// Path of the section, with `NAME` in place of the name of a node.
    pub section: &'static str,
    /// Keys in the order of the documentation.
    pub keys: &'static [KeyDescriptor],
}

const fn key(key: &'static str, value: KeyType, default: KeyDefault) -> KeyDescriptor {
    KeyDescriptor { key, value, default, inherited: false, server_kind: None }
}

const fn desk_key(key: &'static str, value: KeyType, default: KeyDefault) -> KeyDescriptor {
    KeyDescriptor { key, value, default, inherited: true, server_kind: None }
}

const fn kind_key(
    kind: &'static str,
    key: &'static str,
    value: KeyType,
    default: KeyDefault,
) -> KeyDescriptor {
    KeyDescriptor { key, value, default, inherited: false, server_kind: Some(kind) }
}

const fn number(range: NumberRange) -> KeyType {
    KeyType::Number(range)
}

/// Words accepted for `kind`.
pub const KINDS: &[&str] = &["engine", "service"];
/// Words accepted for `state`.
pub const STATES: &[&str] = &["live", "leaving"];
/// Words accepted for `objective`.
pub const OBJECTIVES: &[&str] = &["least_stall", "fewest_preemptions"];
/// Words accepted for `delivery`.
pub const DELIVERIES: &[&str] = &["stream", "whole"];

use KeyDefault::{Absent, RangeDefault, Required, RequiredFor, RequiredInherited, Value};

/// Keys of the document.
pub const ROOT: SectionDescriptor = SectionDescriptor {
    section: "document",
    keys: &[
        key("models", KeyType::Nodes, Absent("no models")),
        key("servers", KeyType::Nodes, Absent("no servers")),
        key("routes", KeyType::Nodes, Absent("no routes")),
        key("customers", KeyType::Nodes, Absent("no customers")),
        key("desks", KeyType::Nodes, Absent("no desks")),
    ],
};

/// Keys of a model.
pub const MODEL: SectionDescriptor = SectionDescriptor {
    section: "models.NAME",
    keys: &[key("versions", KeyType::Names, Required)],
};

/// Keys of a server.
pub const SERVER: SectionDescriptor = SectionDescriptor {
    section: "servers.NAME",
    keys: &[
        key("kind", KeyType::Choice(KINDS), Required),
        key("address", KeyType::Address, Required),
        key("zone", KeyType::Name, Required),
        key("state", KeyType::Choice(STATES), Value("live")),
        kind_key("engine", "models", KeyType::ModelVersions, RequiredFor("engine")),
        kind_key("engine", "kv_tokens", number(KV_TOKENS), RequiredFor("engine")),
        kind_key("engine", "max_batch", number(MAX_BATCH), RequiredFor("engine")),
        kind_key("engine", "slow_start_batch", number(SLOW_START_BATCH), Absent("no slow start")),
        kind_key("engine", "checks_fencing", KeyType::Flag, Value("false")),
        kind_key("service", "checks_idempotency_keys", KeyType::Flag, Value("false")),
    ],
};

/// Keys of a route.
pub const ROUTE: SectionDescriptor = SectionDescriptor {
    section: "routes.NAME",
    keys: &[
        key("model", KeyType::Name, Absent("the route leads to plain services")),
        key("version", KeyType::Name, Absent("required with model, refused without")),
        key("servers", KeyType::Names, Required),
    ],
};

/// Keys of a customer.
pub const CUSTOMER: SectionDescriptor = SectionDescriptor {
    section: "customers.NAME",
    keys: &[
        key("credential_digest", KeyType::Digest, Required),
        key("share", number(SHARE), RangeDefault),
        key("open_limit", number(CUSTOMER_OPEN_LIMIT), RangeDefault),
    ],
};

/// Keys of a node of the desk tree.
pub const DESK: SectionDescriptor = SectionDescriptor {
    section: "desks.NAME",
    keys: &[
        desk_key("objective", KeyType::Choice(OBJECTIVES), Value("least_stall")),
        desk_key("delivery", KeyType::Choice(DELIVERIES), Value("stream")),
        desk_key("priority", number(PRIORITY), RangeDefault),
        desk_key("deadline_ms", number(DEADLINE_MS), RangeDefault),
        desk_key("max_tokens", number(MAX_TOKENS), RangeDefault),
        desk_key("open_limit", number(DESK_OPEN_LIMIT), RangeDefault),
        desk_key("customers", KeyType::Names, RequiredInherited),
        desk_key("generations", KeyType::RouteName, Absent("no generations")),
        desk_key("lookups", KeyType::RouteName, Absent("no look-ups")),
        desk_key("orders", KeyType::RouteName, Absent("no orders")),
        key("based_on", KeyType::Name, Absent("inherits from the parent")),
        key("children", KeyType::Nodes, Absent("the node is a desk that callers can use")),
    ],
};

/// All sections in the order of the documentation.
pub const SECTIONS: &[SectionDescriptor] = &[ROOT, MODEL, SERVER, ROUTE, CUSTOMER, DESK];
