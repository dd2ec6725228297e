//! Distribution of the configuration and of the instance list.
//!
//! [`ConfigDistributor`] decides which instances read the platform, accepts only versions above
//! the one in effect, and transfers them between instances. It does not parse the configuration.

mod delta;
mod distributor;
mod fetch;
mod heartbeats;
mod interface;
mod message;
mod params;
mod query;
mod store;
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
