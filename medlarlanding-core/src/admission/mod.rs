//! Admission and routing of generations: permits, memory accounts, fairness, queues.
//!
//! Every model engine has one account manager, the live instance that ranks first for the
//! engine's id. Instances ask it for permits and report their work to it; see section 8 of the
//! design page.

mod account;
mod allotment;
mod controller;
mod lengths;
mod memory;
mod messages;
mod pace;
mod params;
mod queue;
mod record;
mod routing;

pub use account::{AccountDump, BackendAccount, PermitDump, Verdict, VerdictKind};
pub use allotment::{CustomerAccount, CustomerAccountDump};
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
pub use pace::StepGovernor;
pub use params::AdmissionParams;
pub use queue::{FairQueue, QueuedWork};
pub use record::{CandidateView, DecisionReason, DecisionRecord};
pub use routing::{ServerView, rank_servers};
