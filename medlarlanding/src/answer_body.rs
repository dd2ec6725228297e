//! Bodies of responses to callers and operators.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::sync::mpsc;
use tokio::task::JoinHandle;

/// Error that ends an incomplete body, so that the caller does not mistake the received part for
/// the complete response.
#[derive(Clone, Copy, Debug)]
pub struct StreamCut;

impl std::fmt::Display for StreamCut {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("response body truncated")
    }
}

impl std::error::Error for StreamCut {}

/// Aborts the task that produces a response body when dropped.
pub struct TaskGuard(pub JoinHandle<()>);

impl Drop for TaskGuard {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Part of a streamed body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamPiece {
    /// The next bytes.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// Body of a response.
pub enum AnswerBody {
    /// The complete body; `None` if it is empty or has been sent.
    Whole(Option<Bytes>),
    /// Chunks that a task produces while the response is sent.
    Streamed {
        /// Parts of the body. It is incomplete if the channel closes before `StreamPiece::End`.
        pieces: mpsc::Receiver<StreamPiece>,
        /// Task that is aborted when the body is dropped, for example because the caller
        /// disconnected; `None` if the task continues then.
        _task: Option<TaskGuard>,
    },
}

impl AnswerBody {
    /// Creates a body from all its bytes.
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
            Self::Streamed { pieces, .. } => pieces.poll_recv(context).map(|piece| match piece {
                Some(StreamPiece::Data(bytes)) => Some(Ok(Frame::data(bytes))),
                Some(StreamPiece::End) => None,
                None => Some(Err(StreamCut)),
            }),
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
            Self::Streamed { .. } => SizeHint::default(),
        }
    }
}
