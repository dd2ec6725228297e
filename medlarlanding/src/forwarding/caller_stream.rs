//! Connection of a caller that can tell whether a request is under way on it.

use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

struct StreamState {
    stream: RefCell<TcpStream>,
    /// Bytes were read after the last ones that were written.
    is_unanswered: Cell<bool>,
}

/// Stream that the HTTP library reads and writes.
pub struct CallerStream(Rc<StreamState>);

/// Tells whether the connection of a `CallerStream` is idle.
pub struct CallerActivity(Rc<StreamState>);

impl CallerStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream) -> (Self, CallerActivity) {
        let state = StreamState { stream: RefCell::new(stream), is_unanswered: Cell::new(false) };
        let state = Rc::new(state);
        (Self(Rc::clone(&state)), CallerActivity(state))
    }

    fn poll_with<T>(&self, poll: impl FnOnce(Pin<&mut TcpStream>) -> T) -> T {
        poll(Pin::new(&mut *self.0.stream.borrow_mut()))
    }
}

impl CallerActivity {
    /// Returns whether closing the connection now loses no bytes of a request: none wait in the
    /// socket, and what was read has been answered.
    pub fn is_idle(&self) -> bool {
        let stream = self.0.stream.borrow();
        let mut byte = [MaybeUninit::uninit()];
        let has_input = SockRef::from(&*stream).peek(&mut byte).is_ok_and(|length| length > 0);
        !has_input && !self.0.is_unanswered.get()
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled = buffer.filled().len();
        let result = self.poll_with(|stream| stream.poll_read(context, buffer));
        if buffer.filled().len() > filled {
            self.0.is_unanswered.set(true);
        }
        result
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.0.is_unanswered.set(false);
        self.poll_with(|stream| stream.poll_write(context, bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with(|stream| stream.poll_flush(context))
    }

    fn poll_shutdown(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.poll_with(|stream| stream.poll_shutdown(context))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.0.is_unanswered.set(false);
        self.poll_with(|stream| stream.poll_write_vectored(context, buffers))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.stream.borrow().is_write_vectored()
    }
}
