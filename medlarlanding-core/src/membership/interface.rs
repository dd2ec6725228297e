//! Inputs, effects and dumps of the membership table.

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
    /// The time returned by [`next_wakeup`](super::MembershipTable::next_wakeup) was reached.
    Tick,
    /// A message arrived in a frame with a valid authentication tag.
    Message {
        /// Sender of the frame.
        from: InstanceIdentity,
        /// Content of the frame.
        message: MembershipMessage,
    },
    /// A frame of another subsystem arrived from this sender. Must be passed before the frame is
    /// dropped or processed.
    ///
    /// Without it, answers to a restarted peer would be addressed to its previous process until
    /// gossip reports the restart, and a restarted peer whose wall clock was set back would not
    /// learn the start time that it must exceed.
    FrameReceived(InstanceIdentity),
    /// A new instance list is in effect.
    List(Arc<InstanceList>),
    /// The configuration and list versions to report to peers changed.
    Versions(LocalVersions),
    /// A backend server started to leave or is available again.
    MarkServer {
        /// Backend server whose state changed.
        server: ServerId,
        /// Whether the server must be sent no new work.
        leaving: bool,
    },
    /// This process takes no new work from now on, but keeps running.
    Leave,
    /// This process exits now. Peers are notified, so that they need not detect it by probes.
    Depart,
}

/// Effects that the caller of a [`MembershipTable`](super::MembershipTable) performs.
#[derive(Clone, Debug)]
pub enum MembershipEffect {
    /// Send a message. The frame must not name the receiver's incarnation: a restarted peer
    /// would drop it, but has to learn what its peers record about it.
    Send {
        /// Receiver; [`contact`](super::MembershipTable::contact) returns its addresses.
        to: InstanceId,
        /// Datagram, or stream for full states.
        transport: PeerTransport,
        /// Content of the frame.
        message: MembershipMessage,
    },
    /// The incarnation of this process changed; later frames must carry the new one.
    IdentityChanged(InstanceIdentity),
    /// The result of [`live`](super::MembershipTable::live) changed.
    LiveChanged,
    /// The mark of a backend server changed.
    ServerMarked(ServerMark),
    /// A peer reported its configuration and list versions.
    PeerVersions {
        /// The reporting peer.
        from: InstanceId,
        /// Versions in effect at the peer.
        versions: VersionStatus,
        /// Time at which the probe that this report answers was sent; `None` if the report came
        /// unsolicited. Only ages in answers can be converted to times of the local clock.
        probe_sent: Option<Timestamp>,
    },
    /// This process was paused for the given time. Permits and order claims must be suspended,
    /// and views read again, before the process acts.
    Paused(Duration),
    /// Write a log event.
    Event {
        /// Kind of the event; its descriptor names the fields.
        kind: EventKind,
        /// Values of the fields, in the order of the descriptor.
        fields: Vec<String>,
    },
}

/// Another instance that is alive or suspected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LiveInstance {
    /// Instance and the incarnation of its process.
    pub identity: InstanceIdentity,
    /// Availability zone of the instance.
    pub zone: ZoneId,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for TCP connections.
    pub tcp: SocketAddr,
    /// Whether the instance takes no new work.
    pub leaving: bool,
    /// Whether the instance missed a probe and has not yet refuted the suspicion.
    pub suspected: bool,
}

/// State of one other instance in a [`MembershipDump`].
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// Id of the instance.
    pub id: InstanceId,
    /// Newest record; `None` if nothing was received from or about the instance.
    pub record: Option<MemberRecord>,
    /// Zone and addresses; `None` if unknown.
    pub contact: Option<MemberContact>,
    /// Whether the instance list in effect contains the instance.
    pub listed: bool,
}

/// State of a [`MembershipTable`](super::MembershipTable) for operators.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// Identity of this process.
    pub identity: InstanceIdentity,
    /// Whether this process takes no new work.
    pub leaving: bool,
    /// Other instances.
    pub members: Vec<MemberDump>,
    /// Marks of backend servers, also of those that are no longer leaving.
    pub marks: Vec<ServerMark>,
    /// Number of updates in the queue for piggybacking.
    pub waiting_updates: usize,
    /// Digest of members and marks; equal on instances with the same view.
    pub digest: u32,
}
