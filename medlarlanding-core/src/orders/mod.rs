//! At-most-once orders: claims held by a majority of a partition's replica group.
//!
//! [`OrderCoordinator`] is the state machine of one process. It is a proposer for the orders
//! that its callers submit and a replica for the partitions whose group it belongs to.
//!
//! If too few replicas can supply the records of a partition, the partition starts empty. It then
//! begins a new *epoch*, numbered at random, and is *in doubt* for [`OrderParams::doubt_limit`]:
//! its records may lack keys that were claimed earlier. While a partition is in doubt, an order is
//! only run if its key was minted in this epoch or its backend server checks idempotency keys. A
//! partition whose records were out of use for longer than [`OrderParams::idle_limit`] is also in
//! doubt, but keeps its epoch.

mod age;
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
    AttemptState, ClaimVerdict, CopiedAttempt, CopiedRecord, EpochAgreement, OrderMessage,
    OrderOutcome, PartitionCopy, PartitionLineage, PartitionPull, SyncedState,
};
pub use params::OrderParams;
pub use proposer::{OrderAnswer, OrderResult};
pub use sync::{CopyBase, CopyResponse, choose_base};
