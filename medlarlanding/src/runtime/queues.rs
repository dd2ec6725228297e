//! Queues between the node and the tasks that perform its effects.

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

/// Datagrams that wait to be sent; past it they are dropped like lost ones.
const DATAGRAM_QUEUE: usize = 4096;
/// Frames that wait for a connection.
const STREAM_QUEUE: usize = 1024;

/// A call on the platform that the node wants.
#[derive(Clone, Copy, Debug)]
pub enum PlatformCommand {
    /// Start a call.
    Watch {
        /// What to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// Wait for a revision above this one; 0 returns at once.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    Stop(Subject),
}

/// A queue whose receiver survives the restart of the child that reads it.
pub struct ChildQueue<T> {
    sender: mpsc::Sender<T>,
    receiver: Mutex<mpsc::Receiver<T>>,
}

impl<T> ChildQueue<T> {
    fn new(limit: usize) -> Self {
        let (sender, receiver) = mpsc::channel(limit);
        Self { sender, receiver: Mutex::new(receiver) }
    }

    /// Locks the receiver for the child that reads it.
    pub async fn receiver(&self) -> tokio::sync::MutexGuard<'_, mpsc::Receiver<T>> {
        self.receiver.lock().await
    }
}

/// Queues of an instance.
pub struct NodeLinks {
    datagrams: ChildQueue<OutboundFrame>,
    streams: ChildQueue<OutboundFrame>,
    /// Calls on the platform.
    pub platform: ChildQueue<PlatformCommand>,
    /// Commands to engines.
    pub commands: ChildQueue<CommandEffect>,
}

impl Default for NodeLinks {
    fn default() -> Self {
        Self {
            datagrams: ChildQueue::new(DATAGRAM_QUEUE),
            streams: ChildQueue::new(STREAM_QUEUE),
            platform: ChildQueue::new(64),
            commands: ChildQueue::new(256),
        }
    }
}

impl NodeLinks {
    /// Queues a frame. Returns whether there was room.
    pub fn send(&self, transport: PeerTransport, outbound: OutboundFrame) -> bool {
        let queue = match transport {
            PeerTransport::Datagram => &self.datagrams,
            PeerTransport::Stream => &self.streams,
        };
        queue.sender.try_send(outbound).is_ok()
    }

    /// Queues a command to an engine. Returns whether there was room.
    pub fn command_engine(&self, command: CommandEffect) -> bool {
        self.commands.sender.try_send(command).is_ok()
    }

    /// Queues a call on the platform.
    pub fn command(&self, command: PlatformCommand) -> bool {
        self.platform.sender.try_send(command).is_ok()
    }
}

/// Passes frames of peers to the node.
struct NodeFrameHandler(Arc<InstanceShared>);

impl FrameHandler for NodeFrameHandler {
    fn handle_frame(&self, frame: PeerFrame, source: SocketAddr) {
        if let Err(rejection) = self.0.apply(NodeInput::Frame(Box::new(frame))) {
            self.drop_frame(rejection.as_str(), source);
        }
    }

    fn count_bytes(&self, direction: &'static str, transport: &'static str, bytes: usize) {
        self.0.metrics.peer_bytes.with_label_values(&[direction, transport]).inc_by(bytes as u64);
    }

    fn drop_frame(&self, reason: &str, source: SocketAddr) {
        self.0.metrics.dropped_frames.with_label_values(&[reason]).inc();
        event(EventKind::FrameDropped, &[&reason, &source]);
    }

    fn report_unreached(&self, peer: InstanceId) {
        let _ = self.0.apply(NodeInput::Unreached(peer));
    }
}

/// Binds the peer sockets and starts the children that serve them.
///
/// # Errors
///
/// Fails if an address cannot be bound.
pub async fn start(
    shared: &Arc<InstanceShared>,
    supervisor: &ChildSupervisor,
) -> anyhow::Result<()> {
    let codec = PeerCodec::new(&shared.settings.cluster_secret);
    let handler: Rc<dyn FrameHandler> = Rc::new(NodeFrameHandler(shared.clone()));
    let socket = udp::bind(shared.settings.udp).await?;
    let address = shared.settings.tcp;
    let listener =
        TcpListener::bind(address).await.with_context(|| format!("bind tcp {address}"))?;
    let listener = Rc::new(listener);

    let child = (socket.clone(), codec.clone(), handler.clone());
    supervisor.spawn("udp_receive", move || {
        let (socket, codec, handler) = child.clone();
        Box::pin(udp::receive(socket, codec, handler))
    });
    let child = (socket, codec.clone(), handler.clone(), shared.clone());
    supervisor.spawn("udp_send", move || {
        let (socket, codec, handler, shared) = child.clone();
        Box::pin(async move {
            let mut queue = shared.links.datagrams.receiver().await;
            udp::send(socket, codec, &mut queue, handler).await;
            Ok(())
        })
    });
    let child = (listener, codec.clone(), handler.clone());
    supervisor.spawn("tcp_listen", move || {
        let (listener, codec, handler) = child.clone();
        Box::pin(tcp::listen(listener, codec, handler))
    });
    let child = (codec, handler, shared.clone());
    supervisor.spawn("tcp_send", move || {
        let (codec, handler, shared) = child.clone();
        Box::pin(async move {
            let mut queue = shared.links.streams.receiver().await;
            tcp::send(codec, &mut queue, handler).await;
            Ok(())
        })
    });
    Ok(())
}
