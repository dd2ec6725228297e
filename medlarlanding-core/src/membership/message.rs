//! Messages between the membership subsystems of two instances.

use std::net::SocketAddr;

use super::marks::ServerMark;
use super::record::MemberRecord;
use crate::distribution::VersionStatus;
use crate::ids::{InstanceId, ZoneId};

value_type! { copy
    /// Where a member runs and how it is reached.
    pub struct MemberContact {
        /// Availability zone of the member.
        pub zone: ZoneId,
        /// Address for datagrams.
        pub udp: SocketAddr,
        /// Address for connections.
        pub tcp: SocketAddr,
    }
}

value_type! { copy
    /// One piece of news that travels on other messages.
    pub enum MembershipUpdate {
        /// A claim about a member.
        Member {
            /// The member.
            id: InstanceId,
            /// The claim.
            record: MemberRecord,
            /// Its addresses; only with the first claim of a process and in full states.
            contact: Option<MemberContact>,
        },
        /// A leaving mark of a backend server.
        Server(ServerMark),
    }
}

value_type! {
    /// Messages between the membership subsystems of two instances.
    ///
    /// `versions` and `digest` repair lost announcements: a difference shows that one side
    /// missed something.
    pub enum MembershipMessage {
        /// Asks for an `Ack`.
        Ping {
            /// Number chosen by the sender, returned in the ack.
            probe: u32,
            /// Versions in effect at the sender.
            versions: VersionStatus,
            /// Digest of the sender's members and marks.
            digest: u32,
            /// News.
            updates: Vec<MembershipUpdate>,
        },
        /// Answers a `Ping`.
        Ack {
            /// Number from the ping.
            probe: u32,
            /// Versions in effect at the sender.
            versions: VersionStatus,
            /// Digest of the sender's members and marks.
            digest: u32,
            /// News.
            updates: Vec<MembershipUpdate>,
        },
        /// Asks the receiver to probe `target`.
        PingRequest {
            /// Number chosen by the sender, returned in the relayed ack.
            probe: u32,
            /// The member to probe.
            target: InstanceId,
            /// News.
            updates: Vec<MembershipUpdate>,
        },
        /// Reports that the target of a `PingRequest` answered.
        RelayedAck {
            /// Number from the request.
            probe: u32,
            /// News.
            updates: Vec<MembershipUpdate>,
        },
        /// Carries only news.
        Gossip {
            /// News.
            updates: Vec<MembershipUpdate>,
        },
        /// Carries the sender's full state and asks for the receiver's. Sent on a stream.
        SyncRequest {
            /// All members and marks.
            updates: Vec<MembershipUpdate>,
        },
        /// Answers a `SyncRequest`. Sent on a stream.
        SyncReply {
            /// All members and marks.
            updates: Vec<MembershipUpdate>,
        },
    }
}

impl MembershipMessage {
    /// Returns the news that the message carries.
    pub fn updates(&self) -> &[MembershipUpdate] {
        match self {
            Self::Ping { updates, .. }
            | Self::Ack { updates, .. }
            | Self::PingRequest { updates, .. }
            | Self::RelayedAck { updates, .. }
            | Self::Gossip { updates }
            | Self::SyncRequest { updates }
            | Self::SyncReply { updates } => updates,
        }
    }
}
