//! Configuration tree: parsing, validation and inheritance.
//!
//! [`ConfigTree::parse`] reads one YAML document and reports all of its faults at once.
//! Parsing takes three steps: `yaml` turns the text into nodes with their positions, `reader`
//! checks the keys and value types of one section, and `tree` and `desks` resolve references
//! and inheritance. `keys` lists every key, `limits` every default and range.

mod desks;
mod faults;
pub mod keys;
pub mod limits;
mod reader;
mod resolved;
mod tree;
mod yaml;

pub use faults::ConfigFault;
pub use resolved::{
    CustomerConfig, CustomerKey, DeliveryMode, DeskConfig, DeskKey, DeskObjective, EngineConfig,
    ModelConfig, ModelKey, ModelVersion, RouteConfig, RouteKey, ServerConfig, ServerKey,
    ServerKind, ServerState, ServiceConfig, credential_digest,
};
pub use tree::ConfigTree;
