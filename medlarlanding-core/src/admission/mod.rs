//! Admission and routing of generations: permits, memory forecasts, fair queues, customer limits.
//!
//! Each model engine has one manager, the live instance that rendezvous hashing ranks first for
//! the engine's id. Instances request permits from it and report their requests to it at
//! intervals; a permit that is not reported lapses after a lease. See section 8 of the design
//! page.

mod account;
mod batch_limit;
mod controller;
mod engine_pace;
mod lengths;
mod memory;
mod messages;
mod params;
mod queue;
mod quota;
mod record;
mod routing;

pub use account::{AccountDump, BackendAccount, DecisionKind, ManagerDecision, PermitDump};
pub use batch_limit::BatchLimiter;
pub use controller::{
    AdmissionController, AdmissionDump, AdmissionEffect, AdmissionInput, AdmissionRequest,
    AdoptedWork, OpenDump, ServerCapacity,
};
pub use lengths::{LengthCurve, LengthEstimator, RouteLengthsDump};
pub use memory::{MemoryForecast, MemoryNeed};
pub use messages::{
    AdmissionMessage, CustomerAllotment, CustomerCount, DeclineReason, LengthBin, ReleasedWork,
    ServerStatus, WorkItem, WorkStage, split_for_datagrams,
};
pub use params::AdmissionParams;
pub use queue::{FairQueue, QueuedWork};
pub use quota::{CustomerQuota, CustomerQuotaDump};
pub use record::{CandidateView, DecisionReason, DecisionRecord};
pub use routing::{ServerView, rank_servers};
