//! Links between instances: datagrams and connections.

pub mod tcp;
pub mod udp;

use std::net::SocketAddr;

use medlarlanding_core::ids::InstanceId;
use medlarlanding_core::wire::PeerFrame;

/// A frame on its way to a peer.
#[derive(Clone, Debug)]
pub struct OutboundFrame {
    /// Address of the peer for the frame's transport.
    pub address: SocketAddr,
    /// The frame.
    pub frame: PeerFrame,
}

/// Receives frames and counts traffic; implemented by the runtime.
pub trait FrameHandler: 'static {
    /// Handles a verified frame from `source`.
    fn handle_frame(&self, frame: PeerFrame, source: SocketAddr);

    /// Counts bytes that were sent or received.
    fn count_bytes(&self, direction: &'static str, transport: &'static str, bytes: usize);

    /// Counts and logs a frame that was dropped.
    fn drop_frame(&self, reason: &str, source: SocketAddr);

    /// Reports that a frame could not be delivered over a connection.
    fn report_unreached(&self, peer: InstanceId);
}
