//! TCP connections between instances, one per frame.
//!
//! A frame is preceded by its length (u32, big endian). The receiver acknowledges it with one byte,
//! so that the sender detects a connection on which no data arrives any more.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::{FrameHandler, OutboundFrame};
use medlarlanding_core::wire::{PeerCodec, PeerTransport, STREAM_FRAME_LIMIT};

use anyhow::{Context, bail};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::timeout;

const LABEL: &str = "tcp";
const ACKNOWLEDGEMENT: u8 = 1;
/// Maximum time to transfer one frame; 1 MiB needs 80 ms at 100 Mbit/s.
const FRAME_TIMEOUT: Duration = Duration::from_secs(2);
/// Number of attempts to send a frame before it is dropped.
const SEND_ATTEMPTS: u32 = 2;
/// Maximum number of open inbound connections; further ones are closed at once.
const INBOUND_LIMIT: usize = 64;
/// Maximum number of open outbound connections; frames beyond it are dropped.
const OUTBOUND_LIMIT: usize = 32;

/// Counts a connection as open until it is dropped.
struct ConnectionGuard(Rc<Cell<usize>>);

impl ConnectionGuard {
    fn open(count: &Rc<Cell<usize>>, limit: usize) -> Option<Self> {
        (count.get() < limit).then(|| {
            count.set(count.get() + 1);
            Self(count.clone())
        })
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Accepts connections and reads one frame from each.
///
/// # Errors
///
/// Fails when the listener fails.
pub async fn listen(
    listener: Rc<TcpListener>,
    codec: PeerCodec,
    handler: Rc<dyn FrameHandler>,
) -> anyhow::Result<()> {
    let open = Rc::new(Cell::new(0));
    loop {
        let (stream, source) = listener.accept().await.context("cannot accept peer connections")?;
        let Some(guard) = ConnectionGuard::open(&open, INBOUND_LIMIT) else {
            handler.record_dropped_frame("too_many_connections", source);
            continue;
        };
        let (codec, handler) = (codec.clone(), handler.clone());
        tokio::task::spawn_local(async move {
            let _guard = guard;
            let read = timeout(FRAME_TIMEOUT, read_frame(stream, &codec, &*handler, source)).await;
            match read {
                Ok(Ok(())) => {},
                Ok(Err(error)) => handler.record_dropped_frame(&format!("{error:#}"), source),
                Err(_) => handler.record_dropped_frame("read_timeout", source),
            }
        });
    }
}

async fn read_frame(
    mut stream: TcpStream,
    codec: &PeerCodec,
    handler: &dyn FrameHandler,
    source: SocketAddr,
) -> anyhow::Result<()> {
    let len = stream.read_u32().await? as usize;
    if len > STREAM_FRAME_LIMIT {
        bail!("too_large");
    }
    let mut bytes = vec![0; len];
    stream.read_exact(&mut bytes).await?;
    handler.count_bytes("received", LABEL, len + 4);
    let frame =
        codec.decode(&bytes, PeerTransport::Stream).map_err(|fault| anyhow::anyhow!("{fault}"))?;
    handler.handle_frame(frame, source);
    stream.write_u8(ACKNOWLEDGEMENT).await?;
    Ok(())
}

/// Sends queued frames until the queue closes.
pub async fn send(
    codec: PeerCodec,
    queue: &mut mpsc::Receiver<OutboundFrame>,
    handler: Rc<dyn FrameHandler>,
) {
    let open = Rc::new(Cell::new(0));
    while let Some(outbound) = queue.recv().await {
        let Some(guard) = ConnectionGuard::open(&open, OUTBOUND_LIMIT) else {
            handler.record_dropped_frame("too_many_connections", outbound.address);
            continue;
        };
        let bytes = match codec.encode(&outbound.frame, PeerTransport::Stream) {
            Ok(bytes) => bytes,
            Err(fault) => {
                handler.record_dropped_frame(&fault.to_string(), outbound.address);
                continue;
            },
        };
        let handler = handler.clone();
        tokio::task::spawn_local(async move {
            let _guard = guard;
            for _ in 0..SEND_ATTEMPTS {
                let sent = timeout(FRAME_TIMEOUT, write_frame(outbound.address, &bytes)).await;
                if matches!(sent, Ok(Ok(()))) {
                    handler.count_bytes("sent", LABEL, bytes.len() + 4);
                    return;
                }
            }
            handler.record_dropped_frame("send_failed", outbound.address);
            handler.report_undelivered(outbound.frame.to);
        });
    }
}

async fn write_frame(address: SocketAddr, bytes: &[u8]) -> anyhow::Result<()> {
    let mut stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    stream.write_u32(bytes.len() as u32).await?;
    stream.write_all(bytes).await?;
    if stream.read_u8().await? != ACKNOWLEDGEMENT {
        bail!("the peer answered with a byte other than the acknowledgement");
    }
    Ok(())
}
