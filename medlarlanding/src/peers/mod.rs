//! Transport of frames between instances, over UDP datagrams and TCP connections.

pub mod tcp;
pub mod udp;

use std::net::SocketAddr;

use medlarlanding_core::ids::InstanceId;
use medlarlanding_core::wire::PeerFrame;

/// A frame to be sent to a peer.
#[derive(Clone, Debug)]
pub struct OutboundFrame {
    /// Address of the peer for the frame's transport.
    pub address: SocketAddr,
    /// Frame to send.
    pub frame: PeerFrame,
}

/// Receives verified frames, traffic counts and failures; implemented by the runtime.
pub trait FrameHandler: 'static {
    /// Handles a frame from `source` whose authentication tag is valid.
    fn handle_frame(&self, frame: PeerFrame, source: SocketAddr);

    /// Counts bytes that were sent or received; `direction` and `transport` are metric labels.
    fn count_bytes(&self, direction: &'static str, transport: &'static str, bytes: usize);

    /// Counts and logs a frame that was dropped.
    fn record_dropped_frame(&self, reason: &str, source: SocketAddr);

    /// Reports that a frame could not be delivered to `peer` over a TCP connection.
    fn report_undelivered(&self, peer: InstanceId);
}
