//! HTTP client that opens a new connection for each request.
//!
//! Connections are not reused, at the cost of one handshake per request. Reuse would expose a
//! request to the late response or the surplus bytes of an earlier one, to a connection that
//! died unnoticed while idle, and to a server that closes an idle connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use crate::head_limit::{HEAD_LIMIT, HeadLimit, LimitedStream};

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Timeout of establishing a connection. A handshake takes a few milliseconds; a lost packet is
/// retransmitted only after 1 s.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the kernel probes a connection, and the interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 2;
/// Time after which the kernel closes a connection whose sent bytes are not acknowledged.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Time within which a process that ends has closed its listener too.
const LISTENER_CLOSE_TIME: Duration = Duration::from_millis(100);

/// Receive buffer of a socket in bytes, which counts towards the memory of the machine while the caller
/// of an answer reads slowly. The kernel doubles it.
const RECEIVE_BUFFER: usize = 64 << 10;
/// Largest read buffer of a connection in bytes. 200 connections with full buffers fit into the
/// memory of the smallest machine, 88 MB.
const READ_BUFFER_LIMIT: usize = HEAD_LIMIT;

/// Highest number that is the status of an HTTP response (RFC 9110, section 15).
const STATUS_MAX: u16 = 599;

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// The time limit was reached after bytes may have been sent.
    TimedOut,
}

impl ExchangeFault {
    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::Broken => "broken",
            Self::TimedOut => "timed_out",
        }
    }
}

/// Sends requests on a connection.
pub type RequestSender = http1::SendRequest<Full<Bytes>>;

/// Owner of a connection to a server. Dropping it closes the connection, even in the middle of a
/// response.
pub struct Exchange {
    driver: JoinHandle<()>,
    head_limit: HeadLimit,
}

impl Exchange {
    /// Sends a request on the connection and waits for the head of its response.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks or the head exceeds `HEAD_LIMIT`.
    pub async fn request(
        &self,
        sender: &mut RequestSender,
        request: Request<Full<Bytes>>,
    ) -> hyper::Result<Response<Incoming>> {
        self.head_limit.arm();
        let response = sender.send_request(request).await?;
        self.head_limit.lift();
        Ok(response)
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Disables Nagle's algorithm and sets the timeouts of keepalive probes and of unacknowledged
/// data.
pub fn tune_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("cannot set a socket option: {error}");
    }
}

/// Connects to an address.
///
/// # Errors
///
/// Fails if no connection is established within `CONNECT_TIMEOUT` or `limit`.
pub async fn connect(address: SocketAddr, limit: Duration) -> Result<TcpStream, ExchangeFault> {
    let limit = limit.min(CONNECT_TIMEOUT);
    match tokio::time::timeout(limit, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => {
            tune_socket(&stream);
            Ok(stream)
        },
        Ok(Err(_)) | Err(_) => Err(ExchangeFault::NotConnected),
    }
}

/// What an attempt to connect shows of an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListenerState {
    /// A process accepts connections.
    Listening,
    /// The host refuses connections: nothing listens.
    Absent,
    /// The host did not answer, which a network fault can cause as well.
    Unknown,
}

/// Finds out whether a process listens at an address.
pub async fn probe_listener(address: SocketAddr) -> ListenerState {
    match tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(_)) => ListenerState::Listening,
        Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => ListenerState::Absent,
        Ok(Err(_)) | Err(_) => ListenerState::Unknown,
    }
}

/// Finds out whether a process still listens at an address after one of its connections broke. A
/// process that ends may close its connections before its listener.
pub async fn probe_listener_again(address: SocketAddr) -> ListenerState {
    let state = probe_listener(address).await;
    if state != ListenerState::Listening {
        return state;
    }
    tokio::time::sleep(LISTENER_CLOSE_TIME).await;
    probe_listener(address).await
}

/// Opens an HTTP connection for one request, or for several in sequence if the caller of this
/// function manages its reuse.
///
/// # Errors
///
/// `NotConnected` if no connection is established within `CONNECT_TIMEOUT` or `limit`.
pub async fn open(
    address: SocketAddr,
    limit: Duration,
) -> Result<(RequestSender, Exchange), ExchangeFault> {
    let stream = connect(address, limit).await?;
    if let Err(error) = SockRef::from(&stream).set_recv_buffer_size(RECEIVE_BUFFER) {
        log::debug!("cannot set the receive buffer of a socket: {error}");
    }
    let head_limit = HeadLimit::default();
    let stream = LimitedStream::new(stream, head_limit.clone());
    let handshake =
        http1::Builder::new().max_buf_size(READ_BUFFER_LIMIT).handshake(TokioIo::new(stream));
    let (sender, connection) = handshake.await.map_err(|_| ExchangeFault::NotConnected)?;
    let exchange = Exchange {
        head_limit,
        driver: tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} failed: {error}");
            }
        }),
    };
    Ok((sender, exchange))
}

/// Sends a request on a new connection and waits for the head of its response, at most for
/// `limit`.
///
/// # Errors
///
/// Returns why no response was received.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<(Response<Incoming>, Exchange), ExchangeFault> {
    let sent = send_checked(address, request, limit, async || true).await?;
    sent.ok_or(ExchangeFault::NotConnected)
}

/// Sends a request like `send`, unless `may_send` refuses it once the connection is open. Returns `None`
/// if it does; nothing was sent then.
///
/// # Errors
///
/// Returns why no response was received.
pub async fn send_checked(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
    may_send: impl AsyncFnOnce() -> bool,
) -> Result<Option<(Response<Incoming>, Exchange)>, ExchangeFault> {
    let (mut sender, exchange) = open(address, limit).await?;
    if !may_send().await {
        return Ok(None);
    }
    match tokio::time::timeout(limit, exchange.request(&mut sender, request)).await {
        // The HTTP library takes only numbers below 100 for no status.
        Ok(Ok(response)) if response.status().as_u16() > STATUS_MAX => {
            log::debug!("no answer from {address}: status {}", response.status());
            Err(ExchangeFault::Broken)
        },
        Ok(Ok(response)) => Ok(Some((response, exchange))),
        Ok(Err(error)) => {
            log::debug!("no usable head of a response from {address}: {error}");
            Err(ExchangeFault::Broken)
        },
        Err(_) => Err(ExchangeFault::TimedOut),
    }
}

/// How the end of a response's body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyFraming {
    /// By a length or by chunks, or there is no body. A truncated body is an error.
    Delimited,
    /// By the end of the connection, although the headers state a transfer coding.
    UnchunkedCoding,
    /// By the end of the connection.
    Closed,
}

impl BodyFraming {
    /// Returns the framing of a response whose body has not been read.
    pub fn of_response(response: &Response<Incoming>) -> Self {
        let headers = response.headers();
        // The final coding decides (RFC 9112, section 6.3).
        let coding = headers.get_all(TRANSFER_ENCODING).iter().next_back();
        let is_chunked = coding.and_then(|value| value.to_str().ok()).is_some_and(|value| {
            let last = value.rsplit(',').next().unwrap_or_default();
            last.trim().eq_ignore_ascii_case("chunked")
        });
        match coding {
            _ if response.body().is_end_stream() => Self::Delimited,
            Some(_) if is_chunked => Self::Delimited,
            Some(_) => Self::UnchunkedCoding,
            None if headers.contains_key(CONTENT_LENGTH) => Self::Delimited,
            None => Self::Closed,
        }
    }

    /// Name in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Delimited => "delimited",
            Self::UnchunkedCoding => "unchunked_coding",
            Self::Closed => "closed",
        }
    }
}
