//! Gossip-based membership of the instances and dissemination of leaving backend servers.
//!
//! [`MembershipTable`] probes peers directly and through other instances, piggybacks membership
//! updates on its datagrams, and detects pauses of its own process.

mod interface;
mod marks;
mod message;
mod params;
mod pause;
mod probe;
mod record;
mod table;
mod updates;

pub use interface::{LiveInstance, MemberDump, MembershipDump, MembershipEffect, MembershipInput};
pub use marks::ServerMark;
pub use message::{MemberContact, MembershipMessage, MembershipUpdate};
pub use params::MembershipParams;
pub use record::{MemberRecord, MemberStatus};
pub use table::MembershipTable;
