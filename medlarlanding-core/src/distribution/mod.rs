//! Distribution of the configuration and of the instance list.
//!
//! [`ConfigDistributor`] decides who reads the configuration service, accepts versions that
//! only rise, and spreads them between instances. The texts are opaque to it.

mod delta;
mod distributor;
mod fetch;
mod heartbeats;
mod interface;
mod message;
mod params;
mod query;
mod track;
mod versions;
mod watch;

pub use delta::TextDelta;
pub use distributor::ConfigDistributor;
pub use interface::{
    DistributionDump, DistributionEffect, DistributionInput, PlatformAnswer, SubjectDump,
};
pub use message::{DistributionMessage, Payload, ValueBody, VersionMark};
pub use params::{DistributionParams, VersionRule};
pub use versions::{LocalVersions, Subject, SubjectVersion, VersionStatus};
