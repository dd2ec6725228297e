//! Limits of the configuration document and range and default of each number in it.

/// Maximum size of the document: the largest value that the configuration service stores,
/// stated as 1 MB and taken as 1 MiB.
pub const MAX_DOCUMENT_BYTES: usize = 1 << 20;
/// Maximum nesting of mappings and lists. The document itself is level 1, and each level of
/// desks takes two. The limit bounds the recursion of the code that reads the tree.
pub const MAX_NESTING_LEVELS: usize = 32;
/// Maximum length of the name of a desk, server, customer, route, model, version or zone.
/// Names are limited because they appear in URLs, headers and metric labels.
pub const MAX_NAME_BYTES: usize = 64;
/// Maximum number of faults listed for one document; a document of 1 MiB can have 100,000.
pub const MAX_REPORTED_FAULTS: usize = 1000;

/// Range and default of a key whose value is a whole number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NumberRange {
    /// Name of the key. Keys of times end in their unit, such as `_ms`.
    pub key: &'static str,
    /// Unit as shown in fault messages and the documentation.
    pub unit: &'static str,
    /// Smallest accepted value.
    pub min: u64,
    /// Largest accepted value.
    pub max: u64,
    /// Value that applies if the key is neither set nor inherited, or `None` if the key is
    /// required.
    pub default: Option<u64>,
}

/// Capacity of an engine's key-value cache, which holds prompts and decoded tokens.
pub const KV_TOKENS: NumberRange =
    NumberRange { key: "kv_tokens", unit: "tokens", min: 1, max: 1_000_000_000, default: None };
/// Maximum number of requests that an engine decodes in one step.
pub const MAX_BATCH: NumberRange =
    NumberRange { key: "max_batch", unit: "requests", min: 1, max: 65_536, default: None };
/// Number of requests with which an engine starts after it appeared, left the state `leaving` or was
/// suspected.
pub const SLOW_START_BATCH: NumberRange =
    NumberRange { key: "slow_start_batch", unit: "requests", min: 1, max: 65_536, default: None };
/// Weight of a customer in the division of capacity.
pub const SHARE: NumberRange =
    NumberRange { key: "share", unit: "weight", min: 1, max: 10_000, default: Some(1) };
/// Maximum number of open requests of one customer over all instances.
pub const CUSTOMER_OPEN_LIMIT: NumberRange =
    NumberRange { key: "open_limit", unit: "requests", min: 1, max: 1_000_000, default: Some(64) };
/// Priority of a desk's requests; 9 is the most urgent.
pub const PRIORITY: NumberRange =
    NumberRange { key: "priority", unit: "level", min: 0, max: 9, default: Some(5) };
/// Maximum time from receipt of a request to the end of its response.
pub const DEADLINE_MS: NumberRange = NumberRange {
    key: "deadline_ms",
    unit: "milliseconds",
    min: 1,
    max: 86_400_000,
    default: Some(60_000),
};
/// Maximum output of a generation.
pub const MAX_TOKENS: NumberRange =
    NumberRange { key: "max_tokens", unit: "tokens", min: 1, max: 1_000_000, default: Some(4_096) };
/// Maximum number of open requests of one desk over all instances.
pub const DESK_OPEN_LIMIT: NumberRange = NumberRange {
    key: "open_limit",
    unit: "requests",
    min: 1,
    max: 10_000_000,
    default: Some(100_000),
};
