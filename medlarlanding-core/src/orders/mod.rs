//! At-most-once orders: claims held by a majority of a partition's replica group.
//!
//! [`OrderCoordinator`] is the state machine of one process. It is a proposer for the orders
//! that its callers submit and a replica for the partitions whose group it belongs to.

mod aged;
mod coordinator;
mod dump;
mod group;
mod invariants;
mod keys;
mod messages;
mod minting;
mod params;
mod proposer;
mod queries;
mod replica;
mod results;
mod store;
mod sync;

pub use coordinator::{OrderCoordinator, OrderEffect, OrderInput};
pub use dump::{OrderDump, PartitionDump};
pub use group::{GroupMember, GroupView};
pub use invariants::check_invariants;
pub use keys::{AttemptId, BodyDigest, OrderId, OrderKey, PartitionId, QueryId};
pub use messages::{
    AttemptState, ClaimVerdict, CopiedAttempt, CopiedRecord, OrderMessage, OrderOutcome,
    PartitionCopy, PartitionLineage, PartitionPull, SyncedState,
};
pub use params::OrderParams;
pub use proposer::{OrderAnswer, OrderResult};
pub use sync::{CopyBase, CopyResponse, choose_base};
