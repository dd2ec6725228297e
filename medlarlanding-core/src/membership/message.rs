//! Messages between the membership subsystems of two instances.

use std::net::SocketAddr;

use super::marks::ServerMark;
use super::record::MemberRecord;
use crate::distribution::VersionStatus;
use crate::ids::{InstanceId, ZoneId};

value_type! { copy
    /// Zone and addresses of a member.
    pub struct MemberContact {
        /// Availability zone of the member.
        pub zone: ZoneId,
        /// Address for datagrams.
        pub udp: SocketAddr,
        /// Address for TCP connections.
        pub tcp: SocketAddr,
    }
}

value_type! { copy
    /// Change of a member or of a backend server, piggybacked on other messages.
    pub enum MembershipUpdate {
        /// State of a member.
        Member {
            /// Id of the member.
            id: InstanceId,
            /// What the sender has recorded about the member.
            record: MemberRecord,
            /// Zone and addresses; sent only with the first record of a process and in full
            /// states.
            contact: Option<MemberContact>,
        },
        /// Mark of a backend server.
        Server(ServerMark),
    }
}

value_type! {
    /// Messages between the membership subsystems of two instances.
    ///
    /// Pings and acks carry `versions` and `digest` to detect lost updates: if they differ, one
    /// of the two instances has missed some.
    pub enum MembershipMessage {
        /// Requests an `Ack`.
        Ping {
            /// Number chosen by the sender, returned in the ack.
            probe: u32,
            /// Versions in effect at the sender.
            versions: VersionStatus,
            /// Sender's digest of members and marks.
            digest: u32,
            /// Piggybacked updates.
            updates: Vec<MembershipUpdate>,
        },
        /// Answers a `Ping`.
        Ack {
            /// Number in the ping.
            probe: u32,
            /// Versions in effect at the sender.
            versions: VersionStatus,
            /// Sender's digest of members and marks.
            digest: u32,
            /// Piggybacked updates.
            updates: Vec<MembershipUpdate>,
        },
        /// Asks the receiver to probe `target`.
        PingRequest {
            /// Number chosen by the sender, returned in the relayed ack.
            probe: u32,
            /// Member to probe.
            target: InstanceId,
            /// Piggybacked updates.
            updates: Vec<MembershipUpdate>,
        },
        /// Reports that the target of a `PingRequest` answered.
        RelayedAck {
            /// Number in the request.
            probe: u32,
            /// Piggybacked updates.
            updates: Vec<MembershipUpdate>,
        },
        /// Carries only updates.
        Gossip {
            /// Updates that wait to be sent.
            updates: Vec<MembershipUpdate>,
        },
        /// Carries the sender's full state and requests the receiver's. Sent on a stream.
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
    /// Returns the updates that the message carries.
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
