//! Connections of one request to its engine, one reader task each.

use std::net::SocketAddr;
use std::sync::Arc;

use crate::backends::engine::{EngineItem, EngineStream, GenerationOrder, OpenFault, StreamFault};
use crate::exchange::ExchangeFault;
use medlarlanding_core::generations::{ExchangeId, FinishReason, LostReason, SessionInput};

use indexmap::IndexMap;
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Items that a reader may be ahead of its session; beyond it the connection is not read.
const READ_AHEAD: usize = 32;

/// How an exchange begins.
pub enum ExchangeStart {
    /// Starts a generation.
    Open(Arc<GenerationOrder>),
    /// Resumes a generation.
    Resume {
        /// Its name on the engine.
        generation: String,
        /// The last token that is not needed again.
        after: u64,
    },
}

/// Open exchanges of a session. Dropping it closes their connections.
pub struct ExchangeSet {
    readers: IndexMap<u32, JoinHandle<()>>,
    sender: mpsc::Sender<SessionInput>,
}

impl ExchangeSet {
    /// Creates an empty set and the queue of what its exchanges receive.
    pub fn new() -> (Self, mpsc::Receiver<SessionInput>) {
        let (sender, receiver) = mpsc::channel(READ_AHEAD);
        (Self { readers: IndexMap::new(), sender }, receiver)
    }

    /// Begins an exchange on a connection of its own.
    pub fn begin(&mut self, id: ExchangeId, address: SocketAddr, start: ExchangeStart) {
        let sender = self.sender.clone();
        let reader = tokio::task::spawn_local(async move {
            let exchange = id.number;
            let reason = match read(id, address, start, &sender).await {
                Ok(()) => return,
                Err(reason) => reason,
            };
            // A session that has ended no longer takes inputs.
            let _ = sender.send(SessionInput::Lost { exchange, reason }).await;
        });
        self.readers.insert(id.number, reader);
    }

    /// Closes an exchange; its connection is not used again.
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

async fn read(
    id: ExchangeId,
    address: SocketAddr,
    start: ExchangeStart,
    sender: &mpsc::Sender<SessionInput>,
) -> Result<(), LostReason> {
    let exchange = id.number;
    let opened = match start {
        ExchangeStart::Open(order) => EngineStream::start(address, &id, &order).await,
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
