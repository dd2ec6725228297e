//! HTTP client for backend servers and the platform.
//!
//! Every exchange uses a connection of its own. A pooled connection may have gone silent
//! without notice or may still carry the rest of an abandoned answer.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::SharedCfg;
use ntex::client::error::{ClientError, ConnectError};
use ntex::client::{ClientBuilder, ClientRequest, Connector};
use ntex::http::Method;
use ntex::io::IoConfig;
use ntex::time::Millis;

/// Longest time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);

/// How an exchange with a backend server failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ExchangeFault {
    /// No connection was established: no byte of the request left.
    NotSent(String),
    /// The request may have reached the backend server.
    MaybeSent(String),
}

impl ExchangeFault {
    /// Classifies an error of the HTTP client.
    ///
    /// Only errors that can arise before a connection exists count as `NotSent`. The client
    /// also reports a connection that the other end closed after the request was sent as a
    /// connect error, without a cause.
    pub fn from_client(error: &ClientError) -> Self {
        let connecting = match error {
            ClientError::Connect(ConnectError::Disconnected(Some(cause))) => matches!(
                cause.kind(),
                ErrorKind::ConnectionRefused
                    | ErrorKind::HostUnreachable
                    | ErrorKind::NetworkUnreachable
                    | ErrorKind::AddrNotAvailable
                    | ErrorKind::TimedOut
            ),
            ClientError::Connect(ConnectError::Disconnected(None)) => false,
            ClientError::Connect(_) => true,
            _ => false,
        };
        if connecting {
            Self::NotSent(error.to_string())
        } else {
            Self::MaybeSent(error.to_string())
        }
    }

    /// Gets the reason.
    pub fn reason(&self) -> &str {
        match self {
            Self::NotSent(reason) | Self::MaybeSent(reason) => reason,
        }
    }
}

/// Sends each request on a connection of its own.
///
/// Every exchange builds an HTTP client with an empty pool. A shared pool connects to a host
/// for one request at a time, so a host that does not answer would hold up the others, and
/// without a limit on connections it never wakes the requests that wait for their turn.
#[derive(Clone, Debug)]
pub struct ExchangeClient {
    config: SharedCfg,
}

impl Default for ExchangeClient {
    fn default() -> Self {
        let io = IoConfig::new().set_connect_timeout(Millis::from(CONNECT_TIMEOUT));
        Self { config: SharedCfg::new("EXCHANGES").add(io).into() }
    }
}

impl ExchangeClient {
    /// Creates a request. `timeout` limits the time to the headers of its answer.
    pub async fn request(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        timeout: Duration,
    ) -> ClientRequest {
        ClientBuilder::new()
            .connector::<()>(Connector::new().limit(1))
            .disable_redirects()
            .disable_timeout()
            .build(self.config.clone())
            .await
            .expect("a connector without TLS has nothing that can fail")
            .request(method, format!("http://{address}{path}"))
            .address(address)
            .timeout(Millis::from(timeout))
            .force_close()
            .no_decompress()
    }
}
