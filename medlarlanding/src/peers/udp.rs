//! UDP datagrams between instances.

use std::net::SocketAddr;
use std::rc::Rc;

use super::{FrameHandler, OutboundFrame};
use medlarlanding_core::wire::{DATAGRAM_LIMIT, PeerCodec, PeerTransport};

use anyhow::Context;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

const LABEL: &str = "udp";

/// Binds the UDP socket.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub async fn bind(address: SocketAddr) -> anyhow::Result<Rc<UdpSocket>> {
    let socket = UdpSocket::bind(address)
        .await
        .with_context(|| format!("cannot bind the peer socket to {address} (UDP)"))?;
    Ok(Rc::new(socket))
}

/// Receives datagrams until the socket fails.
///
/// # Errors
///
/// Fails when the socket cannot be read.
pub async fn receive(
    socket: Rc<UdpSocket>,
    codec: PeerCodec,
    handler: Rc<dyn FrameHandler>,
) -> anyhow::Result<()> {
    // One byte above the limit, so that a datagram that exceeds it is rejected by its length
    // instead of being truncated to the limit.
    let mut buffer = [0u8; DATAGRAM_LIMIT + 1];
    loop {
        let (len, source) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            // A peer answered an earlier datagram with ICMP "port unreachable". The socket is
            // still usable.
            Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => continue,
            Err(error) => return Err(error).context("cannot receive peer datagrams"),
        };
        handler.count_bytes("received", LABEL, len);
        match codec.decode(&buffer[..len], PeerTransport::Datagram) {
            Ok(frame) => handler.handle_frame(frame, source),
            Err(fault) => handler.record_dropped_frame(&fault.to_string(), source),
        }
    }
}

/// Sends queued datagrams until the queue closes. A datagram that cannot be sent is dropped without
/// a retry.
pub async fn send(
    socket: Rc<UdpSocket>,
    codec: PeerCodec,
    queue: &mut mpsc::Receiver<OutboundFrame>,
    handler: Rc<dyn FrameHandler>,
) {
    while let Some(outbound) = queue.recv().await {
        match codec.encode(&outbound.frame, PeerTransport::Datagram) {
            Ok(bytes) => {
                handler.count_bytes("sent", LABEL, bytes.len());
                if let Err(error) = socket.send_to(&bytes, outbound.address).await {
                    handler.record_dropped_frame(&error.kind().to_string(), outbound.address);
                }
            },
            Err(fault) => handler.record_dropped_frame(&fault.to_string(), outbound.address),
        }
    }
}
