//! One request and its answer on a connection of its own.
//!
//! Connections are not reused: an answer that arrives late, extra bytes after an answer, a
//! connection that went silent while idle and a server that closes an idle connection can then
//! never meet another request. The price is one handshake per request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;

/// Time to establish a connection. A packet takes a few milliseconds; one that is lost is sent
/// again only after a second.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Idle time after which the kernel probes a connection, and the pause between probes.
const KEEPALIVE: Duration = Duration::from_secs(1);
/// Probes without an answer after which a connection is dead.
const KEEPALIVE_PROBES: u32 = 2;
/// Unacknowledged bytes end a connection after this time.
const USER_TIMEOUT: Duration = Duration::from_secs(3);

/// Why an exchange failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No connection was established, so nothing was sent.
    NotConnected,
    /// The connection broke after bytes may have been sent.
    Broken,
    /// Time ran out after bytes may have been sent.
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

/// A connection to a server. Closes when it is dropped, also in the middle of an answer.
pub struct Exchange {
    driver: JoinHandle<()>,
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Sets the options that every connection of the process has.
pub fn tune_socket(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE)
        .with_interval(KEEPALIVE)
        .with_retries(KEEPALIVE_PROBES);
    let results = [
        stream.set_nodelay(true),
        socket.set_tcp_keepalive(&keepalive),
        socket.set_tcp_user_timeout(Some(USER_TIMEOUT)),
    ];
    for error in results.into_iter().filter_map(Result::err) {
        log::debug!("socket option was not set: {error}");
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

/// Opens a connection for one request or, where its owner sees to it, several in a row.
///
/// # Errors
///
/// `NotConnected` if no connection is established within `CONNECT_TIMEOUT` or `limit`.
pub async fn open(
    address: SocketAddr,
    limit: Duration,
) -> Result<(RequestSender, Exchange), ExchangeFault> {
    let stream = connect(address, limit).await?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(|_| ExchangeFault::NotConnected)?;
    let exchange = Exchange {
        driver: tokio::task::spawn_local(async move {
            if let Err(error) = connection.await {
                log::debug!("connection to {address} ended: {error}");
            }
        }),
    };
    Ok((sender, exchange))
}

/// Sends a request and waits for the head of its answer, at most for `limit`.
///
/// # Errors
///
/// Fails as `ExchangeFault` tells.
pub async fn send(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<(Response<Incoming>, Exchange), ExchangeFault> {
    let (mut sender, exchange) = open(address, limit).await?;
    match tokio::time::timeout(limit, sender.send_request(request)).await {
        Ok(Ok(response)) => Ok((response, exchange)),
        Ok(Err(_)) => Err(ExchangeFault::Broken),
        Err(_) => Err(ExchangeFault::TimedOut),
    }
}
