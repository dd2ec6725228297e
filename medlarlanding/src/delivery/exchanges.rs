//! HTTP exchanges of one generation request with its engine, each read by its own task.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backends::engine::{
    EngineItem, EngineStream, GenerationRequest, OpenFault, StreamFault,
};
use crate::exchange::ExchangeFault;
use medlarlanding_core::generations::{ExchangeId, FinishReason, LostReason, SessionInput};

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Capacity of the queue from the reader tasks to the session. While it is full, the
/// connections are not read, so that TCP flow control slows the engine down.
const INPUT_QUEUE: usize = 32;

/// Request with which an exchange begins.
pub enum ExchangeStart {
    /// Starts a generation.
    Open(Arc<GenerationRequest>),
    /// Resumes a generation.
    Resume {
        /// Name of the generation on the engine.
        generation: String,
        /// Last token received; the stream continues with the one after it.
        after: u64,
    },
}

/// Open exchanges of a session. Their connections are closed when the set is dropped.
pub struct ExchangeSet {
    readers: IndexMap<u32, JoinHandle<()>>,
    sender: mpsc::Sender<SessionInput>,
}

impl ExchangeSet {
    /// Creates an empty set and the receiver of the inputs that its exchanges produce.
    pub fn new() -> (Self, mpsc::Receiver<SessionInput>) {
        let (sender, receiver) = mpsc::channel(INPUT_QUEUE);
        (Self { readers: IndexMap::new(), sender }, receiver)
    }

    /// Begins an exchange on a new connection.
    pub fn begin(&mut self, id: ExchangeId, address: SocketAddr, start: ExchangeStart) {
        let sender = self.sender.clone();
        let reader = tokio::task::spawn_local(async move {
            let exchange = id.number;
            let reason = match run_exchange(id, address, start, &sender).await {
                Ok(()) => return,
                Err(reason) => reason,
            };
            // Sending fails only after the session has ended.
            let _ = sender.send(SessionInput::Lost { exchange, reason }).await;
        });
        self.readers.insert(id.number, reader);
    }

    /// Aborts an exchange, which closes its connection.
    pub fn close(&mut self, exchange: u32) {
        if let Some(reader) = self.readers.swap_remove(&exchange) {
            reader.abort();
        }
    }
}

impl Drop for ExchangeSet {
    fn drop(&mut self) {
        for (_, reader) in self.readers.drain(..) {
            reader.abort();
        }
    }
}

/// Opens the stream and forwards its items to the session.
///
/// Returns `Ok` after the end event or once the session has ended.
async fn run_exchange(
    id: ExchangeId,
    address: SocketAddr,
    start: ExchangeStart,
    sender: &mpsc::Sender<SessionInput>,
) -> Result<(), LostReason> {
    let exchange = id.number;
    let opened = match start {
        ExchangeStart::Open(request) => EngineStream::start(address, &id, &request).await,
        ExchangeStart::Resume { generation, after } => {
            EngineStream::resume(address, &id, &generation, after).await
        },
    };
    let mut stream = opened.map_err(|fault| lost_reason(&fault))?;
    let attachment = stream.attachment;
    let attached = SessionInput::Attached {
        exchange,
        echo: stream.echo,
        generation: stream.generation.clone(),
        attachment,
    };
    if sender.send(attached).await.is_err() {
        return Ok(());
    }
    loop {
        let item = stream.next().await.map_err(|fault| match fault {
            StreamFault::Closed => LostReason::Closed,
            StreamFault::Superseded => LostReason::Superseded,
            StreamFault::Malformed => LostReason::Malformed,
        })?;
        let (input, last) = match item {
            EngineItem::Token { generation, seq, text } => {
                (SessionInput::Token { exchange, generation, attachment, seq, text }, false)
            },
            EngineItem::End { generation, tokens, finish } => {
                let finish = match finish.as_str() {
                    "length" => FinishReason::Length,
                    _ => FinishReason::Stop,
                };
                (SessionInput::End { exchange, generation, attachment, tokens, finish }, true)
            },
        };
        if sender.send(input).await.is_err() || last {
            return Ok(());
        }
    }
}

fn lost_reason(fault: &OpenFault) -> LostReason {
    match fault {
        OpenFault::Exchange(ExchangeFault::NotConnected) => LostReason::Unreachable,
        OpenFault::Exchange(ExchangeFault::Broken | ExchangeFault::TimedOut) => LostReason::Closed,
        OpenFault::Malformed => LostReason::Malformed,
        OpenFault::Gone => LostReason::NotFound,
        OpenFault::Superseded => LostReason::Superseded,
        OpenFault::Refused(429 | 503) => LostReason::Rejected,
        OpenFault::Refused(_) => LostReason::Malformed,
    }
}
