//! Limits the bytes that are read until the head of a response is complete.

use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Most bytes of a response's head and of the interim responses before it. Reads may include the
/// beginning of the body.
pub const HEAD_LIMIT: usize = 64 << 10;

/// Shared handle that arms and lifts the limit of one connection.
#[derive(Clone, Debug, Default)]
pub struct HeadLimit {
    /// Bytes that may still be read; `None` while a body is read.
    left: Rc<Cell<Option<usize>>>,
}

impl HeadLimit {
    /// Starts to count the bytes of a head.
    pub fn arm(&self) {
        self.left.set(Some(HEAD_LIMIT));
    }

    /// Stops counting: the head is complete.
    pub fn lift(&self) {
        self.left.set(None);
    }

    /// Returns whether reading stopped at the limit.
    pub fn is_exceeded(&self) -> bool {
        self.left.get() == Some(0)
    }
}

/// TCP stream whose reads fail once a head exceeds `HEAD_LIMIT`.
pub struct LimitedStream {
    stream: TcpStream,
    limit: HeadLimit,
}

impl LimitedStream {
    /// Wraps a stream. Nothing is limited before `limit` is armed.
    pub fn new(stream: TcpStream, limit: HeadLimit) -> Self {
        Self { stream, limit }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.limit.is_exceeded() {
            let reason = format!("head of the response exceeds {HEAD_LIMIT} bytes");
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let filled = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        let read = buffer.filled().len() - filled;
        self.limit.left.set(self.limit.left.get().map(|left| left.saturating_sub(read)));
        result
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, buffers)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
