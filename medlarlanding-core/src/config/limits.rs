//! Limits and defaults of the configuration tree. Units are part of the names.

/// Largest document in bytes; the configuration service stores values up to 1 MB.
pub const DOCUMENT_BYTES: usize = 1 << 20;
/// Deepest nesting of collections. The document itself is level 1, and each level of
/// desks takes two; the limit bounds the recursion of the readers.
pub const NESTING_LEVELS: usize = 32;
/// Longest name of a desk, server, customer, route, model, version or zone in bytes.
/// Names appear in URLs, headers and metric labels.
pub const NAME_BYTES: usize = 64;
/// Most faults reported for one document; a document of 1 MiB can have 100,000.
pub const REPORTED_FAULTS: usize = 1000;

/// Range and default of a key whose value is a whole number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Name of the key, which ends in the unit where the number has one.
    pub key: &'static str,
    /// Unit for people.
    pub unit: &'static str,
    /// Smallest accepted value.
    pub min: u64,
    /// Largest accepted value.
    pub max: u64,
    /// Value that applies when neither the node nor what it inherits from sets the key,
    /// or `None` if the key is required.
    pub default: Option<u64>,
}

/// Memory of an engine for prompts and decoded tokens.
pub const KV_TOKENS: NumberRange =
    NumberRange { key: "kv_tokens", unit: "tokens", min: 1, max: 1_000_000_000, default: None };
/// Requests that an engine decodes in one step.
pub const MAX_BATCH: NumberRange =
    NumberRange { key: "max_batch", unit: "requests", min: 1, max: 65_536, default: None };
/// Weight of a customer in the division of capacity.
pub const SHARE: NumberRange =
    NumberRange { key: "share", unit: "weight", min: 1, max: 10_000, default: Some(1) };
/// Open requests of one customer over all instances.
pub const CUSTOMER_OPEN_LIMIT: NumberRange =
    NumberRange { key: "open_limit", unit: "requests", min: 1, max: 1_000_000, default: Some(64) };
/// Priority of a desk's requests; 9 is the most urgent.
pub const PRIORITY: NumberRange =
    NumberRange { key: "priority", unit: "level", min: 0, max: 9, default: Some(5) };
/// Time from receipt of a request to its last token.
pub const DEADLINE_MS: NumberRange = NumberRange {
    key: "deadline_ms",
    unit: "milliseconds",
    min: 1,
    max: 86_400_000,
    default: Some(60_000),
};
/// Longest output of a generation.
pub const MAX_TOKENS: NumberRange =
    NumberRange { key: "max_tokens", unit: "tokens", min: 1, max: 1_000_000, default: Some(4_096) };
/// Open requests of one desk over all instances.
pub const DESK_OPEN_LIMIT: NumberRange = NumberRange {
    key: "open_limit",
    unit: "requests",
    min: 1,
    max: 10_000_000,
    default: Some(100_000),
};
