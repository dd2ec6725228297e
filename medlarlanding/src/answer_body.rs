//! Bodies of answers to callers and operators.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// A stream that was cut: the caller must not take what it got for the whole answer.
#[derive(Clone, Copy, Debug)]
pub struct StreamCut;

impl std::fmt::Display for StreamCut {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("the answer was cut")
    }
}

impl std::error::Error for StreamCut {}

/// Ends the task that makes an answer when nobody waits for the answer any more.
pub struct TaskGuard(pub JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Body of an answer.
pub enum AnswerBody {
    /// All bytes are at hand.
    Whole(Option<Bytes>),
    /// Bytes arrive while the answer is sent; the task that makes them ends with the answer.
    Streamed {
        /// Parts of the body, or the sign that it was cut.
        pieces: mpsc::Receiver<Result<Bytes, StreamCut>>,
        /// The task.
        _task: TaskGuard,
    },
    /// Events of a task that goes on without its caller.
    Events(mpsc::Receiver<Bytes>),
}

impl AnswerBody {
    /// Creates a body whose bytes are at hand.
    pub fn whole(bytes: impl Into<Bytes>) -> Self {
        Self::Whole(Some(bytes.into()))
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = StreamCut;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, StreamCut>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Streamed { pieces, .. } => {
                pieces.poll_recv(context).map(|piece| Some(piece?.map(Frame::data)))
            },
            Self::Events(events) => {
                events.poll_recv(context).map(|event| Some(Ok(Frame::data(event?))))
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            },
            Self::Streamed { .. } | Self::Events(_) => SizeHint::default(),
        }
    }
}
