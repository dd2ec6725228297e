//! Decisions of the forwarding role: routes, servers, placement, repeats and moves.
//!
//! Nothing here performs input or output; the names of the platform's protocol stay in the
//! adapter crate, which decodes into the types of this module.

mod budget;
mod config;
mod directory;
mod drain;
mod entries;
mod messages;
mod moves;
mod patience;
mod peers;
mod placement;
mod suspicion;
mod waiting;

pub use budget::{BudgetParams, RepeatBudget, RepeatPurpose};
pub use config::{
    CustomerRecord, EngineLimits, ForwardConfig, ForwardError, KeyCheck, RequestKind,
    RequestLimits, RouteRule, RouteTarget, ServicePolicy,
};
pub use directory::{
    DirectoryChange, ServerDirectory, ServerEntry, ServerKey, ServerPhase, ServerRecord,
};
pub use drain::DrainParams;
pub use entries::{EntryDelta, EntryLog};
pub use messages::{
    PeerMessage, PlaceAnswer, PlacePurpose, PlaceQuestion, PlaceVerdict, ServerChanges,
};
pub use moves::{MoveParams, MovePlan, MoveStep};
pub use patience::{PatienceParams, PatienceStep, RunPatience};
pub use peers::{LoadReport, PeerDigest, PeerTable, PeerTableParams, RemoteLoad};
pub use placement::{
    PlacementChoice, PlacementParams, PlacementPolicy, PlacementRequest, RunWeight,
};
pub use suspicion::{FaultLog, SuspicionParams};
pub use waiting::{RunTicket, WaitingClass, WaitingParams, WaitingRuns};
