//! Inputs, effects and views of the membership table.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::marks::ServerMark;
use super::message::{MemberContact, MembershipMessage};
use super::record::MemberRecord;
use crate::distribution::{LocalVersions, VersionStatus};
use crate::events::EventKind;
use crate::ids::{InstanceId, InstanceIdentity, ServerId, ZoneId};
use crate::time::Timestamp;
use crate::views::InstanceList;
use crate::wire::PeerTransport;

use serde::Serialize;

/// Inputs of a [`MembershipTable`](super::MembershipTable).
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// The time of [`next_wakeup`](super::MembershipTable::next_wakeup) has come.
    Tick,
    /// A message arrived in a frame with a valid tag.
    Message {
        /// Sender of the frame.
        from: InstanceIdentity,
        /// The message.
        message: MembershipMessage,
    },
    /// A frame of another subsystem arrived; passed before the frame is dropped or processed.
    /// Without it, answers to a restarted peer would be addressed to its previous process until
    /// news of the restart spread, and a peer whose wall clock went back would not learn it.
    Heard(InstanceIdentity),
    /// An instance list is in effect.
    List(Arc<InstanceList>),
    /// The versions that this instance reports to its peers.
    Versions(LocalVersions),
    /// A backend server was seen to leave, or to be back.
    MarkServer {
        /// The backend server.
        server: ServerId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The own process takes no new work.
    Leave,
    /// The own process ends now; peers need not detect its death.
    Depart,
}

/// Effects that the caller of a [`MembershipTable`](super::MembershipTable) performs.
#[derive(Clone, Debug)]
pub enum MembershipEffect {
    /// Send a message. The frame's receiver incarnation must stay open, because a peer that
    /// restarted has to learn what is believed about it.
    Send {
        /// Receiver; [`contact`](super::MembershipTable::contact) has its addresses.
        to: InstanceId,
        /// Transport.
        transport: PeerTransport,
        /// The message.
        message: MembershipMessage,
    },
    /// The own incarnation changed; later frames carry the new one.
    IdentityChanged(InstanceIdentity),
    /// [`live`](super::MembershipTable::live) returns something else than before.
    LiveChanged,
    /// The leaving mark of a backend server changed.
    ServerMarked(ServerMark),
    /// A peer reported its versions.
    PeerVersions {
        /// The peer.
        from: InstanceId,
        /// Its versions.
        versions: VersionStatus,
        /// Time at which the answered probe was sent; `None` if the peer reported unasked.
        /// Only ages in answers can be related to the own clock.
        asked: Option<Timestamp>,
    },
    /// The own process was paused for the given time. Permits and claims are suspended and
    /// views are read again before it acts.
    Paused(Duration),
    /// Write a log event with the fields of its descriptor.
    Event {
        /// The event.
        kind: EventKind,
        /// Values of the fields.
        fields: Vec<String>,
    },
}

/// A member that takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LiveInstance {
    /// Id and process.
    pub identity: InstanceIdentity,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for connections.
    pub tcp: SocketAddr,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it missed a probe and has not refuted the suspicion yet.
    pub suspected: bool,
}

/// State of a member in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The member.
    pub id: InstanceId,
    /// What is known about it.
    pub record: Option<MemberRecord>,
    /// Its addresses.
    pub contact: Option<MemberContact>,
    /// Whether the instance list names it.
    pub listed: bool,
}

/// State of a [`MembershipTable`](super::MembershipTable) for operators.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// The own process.
    pub identity: InstanceIdentity,
    /// Whether the own process is leaving.
    pub leaving: bool,
    /// Other members.
    pub members: Vec<MemberDump>,
    /// Marks of backend servers.
    pub marks: Vec<ServerMark>,
    /// Number of updates that wait to be sent.
    pub waiting_updates: usize,
    /// Digest of members and marks; equal on instances that agree.
    pub digest: u32,
}
