//! Failure detection and dissemination of member states and leaving servers.
//!
//! [`MembershipTable`] probes peers directly and through others, spreads what it learns on the
//! datagrams that it sends anyway, and detects that its own process was paused.

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
