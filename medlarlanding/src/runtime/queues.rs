//! Queues from the node to the supervised children that perform its effects.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use crate::instance::InstanceShared;
use crate::logging::event;
use crate::peers::{FrameHandler, OutboundFrame, tcp, udp};
use crate::supervisor::ChildSupervisor;
use medlarlanding_core::commands::CommandEffect;
use medlarlanding_core::distribution::Subject;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::InstanceId;
use medlarlanding_core::node::NodeInput;
use medlarlanding_core::wire::{PeerCodec, PeerFrame, PeerTransport};

use anyhow::Context;
use tokio::net::TcpListener;
use tokio::sync::{Mutex, mpsc};

/// Maximum number of queued datagrams. Further ones are dropped, which the node handles like a loss
/// in the network.
const DATAGRAM_QUEUE: usize = 4096;
/// Maximum number of queued frames that are sent over TCP; further ones are dropped.
const STREAM_QUEUE: usize = 1024;

/// Starts or cancels a call to the platform.
#[derive(Clone, Copy, Debug)]
pub enum PlatformCommand {
    /// Start a call that reads a subject, in place of the pending call for it.
    Watch {
        /// The configuration or the instance list.
        subject: Subject,
        /// Number of the call, passed back to the node with its result.
        call: u32,
        /// Revision that the answer must exceed. With 0 the platform answers at once.
        after: u64,
        /// Maximum time that the platform may wait for such a revision.
        wait: Duration,
    },
    /// Cancel the pending call for a subject.
    Stop(Subject),
}

/// A queue read by a supervised child. The queued items survive a restart of the child.
pub struct ChildQueue<T> {
    sender: mpsc::Sender<T>,
    receiver: Mutex<mpsc::Receiver<T>>,
}

impl<T> ChildQueue<T> {
    fn new(limit: usize) -> Self {
        let (sender, receiver) = mpsc::channel(limit);
        Self { sender, receiver: Mutex::new(receiver) }
    }

    /// Locks the receiver; the child that reads the queue keeps the lock until it ends.
    pub async fn receiver(&self) -> tokio::sync::MutexGuard<'_, mpsc::Receiver<T>> {
        self.receiver.lock().await
    }
}

/// Queues for the effects of one instance's node.
pub struct EffectQueues {
    datagrams: ChildQueue<OutboundFrame>,
    streams: ChildQueue<OutboundFrame>,
    /// Calls to the platform.
    pub platform: ChildQueue<PlatformCommand>,
    /// Commands to engines.
    pub commands: ChildQueue<CommandEffect>,
}

impl Default for EffectQueues {
    fn default() -> Self {
        Self {
            datagrams: ChildQueue::new(DATAGRAM_QUEUE),
            streams: ChildQueue::new(STREAM_QUEUE),
            platform: ChildQueue::new(64),
            commands: ChildQueue::new(256),
        }
    }
}

impl EffectQueues {
    /// Queues a frame for a peer. Returns `false` if the queue is full.
    pub fn push_frame(&self, transport: PeerTransport, outbound: OutboundFrame) -> bool {
        let queue = match transport {
            PeerTransport::Datagram => &self.datagrams,
            PeerTransport::Stream => &self.streams,
        };
        queue.sender.try_send(outbound).is_ok()
    }

    /// Queues a command to an engine. Returns `false` if the queue is full.
    pub fn push_engine_command(&self, command: CommandEffect) -> bool {
        self.commands.sender.try_send(command).is_ok()
    }

    /// Queues a call to the platform. Returns `false` if the queue is full.
    pub fn push_platform_command(&self, command: PlatformCommand) -> bool {
        self.platform.sender.try_send(command).is_ok()
    }
}

/// Passes received frames to the node, and counts traffic in the metrics of the instance.
struct NodeFrameHandler(Arc<InstanceShared>);

impl FrameHandler for NodeFrameHandler {
    fn handle_frame(&self, frame: PeerFrame, source: SocketAddr) {
        if let Err(rejection) = self.0.apply(NodeInput::Frame(Box::new(frame))) {
            self.record_dropped_frame(rejection.as_str(), source);
        }
    }

    fn count_bytes(&self, direction: &'static str, transport: &'static str, bytes: usize) {
        self.0.metrics.peer_bytes.with_label_values(&[direction, transport]).inc_by(bytes as u64);
    }

    fn record_dropped_frame(&self, reason: &str, source: SocketAddr) {
        self.0.metrics.dropped_frames.with_label_values(&[reason]).inc();
        event(EventKind::FrameDropped, &[&reason, &source]);
    }

    fn report_undelivered(&self, peer: InstanceId) {
        let _ = self.0.apply(NodeInput::DeliveryFailed(peer));
    }
}

/// Binds the peer sockets and starts the supervised children that send and receive frames.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start_peer_children(
    shared: &Arc<InstanceShared>,
    supervisor: &ChildSupervisor,
) -> anyhow::Result<()> {
    let codec = PeerCodec::new(&shared.settings.cluster_secret);
    let handler: Rc<dyn FrameHandler> = Rc::new(NodeFrameHandler(shared.clone()));
    let socket = udp::bind(shared.settings.udp).await?;
    let address = shared.settings.tcp;
    let listener = TcpListener::bind(address)
        .await
        .with_context(|| format!("cannot bind the peer listener to {address} (TCP)"))?;
    let listener = Rc::new(listener);

    let parts = (socket.clone(), codec.clone(), handler.clone());
    supervisor.spawn("udp_receive", move || {
        let (socket, codec, handler) = parts.clone();
        Box::pin(udp::receive(socket, codec, handler))
    });
    let parts = (socket, codec.clone(), handler.clone(), shared.clone());
    supervisor.spawn("udp_send", move || {
        let (socket, codec, handler, shared) = parts.clone();
        Box::pin(async move {
            let mut queue = shared.queues.datagrams.receiver().await;
            udp::send(socket, codec, &mut queue, handler).await;
            Ok(())
        })
    });
    let parts = (listener, codec.clone(), handler.clone());
    supervisor.spawn("tcp_listen", move || {
        let (listener, codec, handler) = parts.clone();
        Box::pin(tcp::listen(listener, codec, handler))
    });
    let parts = (codec, handler, shared.clone());
    supervisor.spawn("tcp_send", move || {
        let (codec, handler, shared) = parts.clone();
        Box::pin(async move {
            let mut queue = shared.queues.streams.receiver().await;
            tcp::send(codec, &mut queue, handler).await;
            Ok(())
        })
    });
    Ok(())
}
