//! Decisions of the forwarding role: routes, servers, placement, repeats and moves.
//!
//! This module performs no input or output. The adapter crate `medlarlanding-platform` keeps the
//! names of the platform's protocol to itself and decodes into the types defined here.

mod answer_end;
mod budget;
mod cold_read;
mod config;
mod directory;
mod drain;
mod entries;
mod load;
mod messages;
mod moves;
mod peer_lag;
mod peers;
mod placement;
mod readiness;
mod relays;
mod suspicion;
mod wait_limit;
mod waiting;

pub use answer_end::{BodyDelimiter, EndVerdict, ProcessIdentity, ServerLiveness};
pub use budget::{BudgetParams, RepeatBudget, RepeatPurpose};
pub use cold_read::ColdReadParams;
pub use config::{
    CustomerRecord, EngineLimits, ForwardConfig, ForwardConfigError, KeyCheck, RequestKind,
    RequestLimits, RouteRule, RouteTarget, ServicePolicy,
};
pub use directory::{
    DirectoryChange, ServerAccess, ServerDirectory, ServerEntry, ServerKey, ServerPhase,
    ServerRecord,
};
pub use drain::{DrainParams, can_finish};
pub use entries::{EntryDelta, EntryLog};
pub use load::{LoadReport, RemoteLoad, RunWeight};
pub use messages::{
    AnswerOutcome, AnswerReport, LedgerSync, PeerMessage, PlaceAnswer, PlacePurpose, PlaceQuestion,
    PlaceVerdict, RelayedMessage, ServerChanges,
};
pub use moves::{MoveParams, MovePlan, MoveStep, RunStop, StopOutcome};
pub use peer_lag::PeerLag;
pub use peers::{PeerDigest, PeerTable, PeerTableParams};
pub use placement::{
    DRAIN_FALLBACK_DIVISOR, PlacementChoice, PlacementParams, PlacementPolicy, PlacementRequest,
};
pub use readiness::{ChangeSource, Readiness, ReadinessParams, RequiredPart};
pub use relays::{RelayGroup, RelayParams};
pub use suspicion::{EngineFault, FaultLog, SuspicionParams};
pub use wait_limit::{WaitDecision, WaitLimit, WaitLimitParams};
pub use waiting::{RunKey, WaitingClass, WaitingParams, WaitingRuns};
