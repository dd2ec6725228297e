//! Configuration tree: parsing, validation and inheritance.
//!
//! [`ConfigTree::parse`] reads one YAML document and reports all of its faults at once.
//! Reading takes three steps: `source` turns the text into located nodes, `reader` checks
//! the keys and types of one section, and `tree` and `desks` resolve references and
//! inheritance. `keys` lists every key, `limits` every default and range.

mod desks;
mod faults;
pub mod keys;
pub mod limits;
mod reader;
mod resolved;
mod source;
mod tree;

pub use faults::ConfigFault;
pub use resolved::{
    CustomerConfig, CustomerKey, DeliveryMode, DeskConfig, DeskKey, DeskObjective, EngineConfig,
    ModelConfig, ModelKey, ModelVersion, RouteConfig, RouteKey, ServerConfig, ServerKey,
    ServerKind, ServerState, ServiceConfig, credential_digest,
};
pub use tree::ConfigTree;
