//! Calls to backend servers and the platform, each on a connection of its own.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange::{self, Exchange, ExchangeFault};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};

/// A request to one address.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    request: Request<Full<Bytes>>,
}

impl OutboundCall {
    /// Creates a request without body. A path that is not valid becomes `/`.
    pub fn new(method: Method, path: &str) -> Self {
        let uri = path.parse().unwrap_or_else(|error| {
            log::warn!("path {path:?} cannot be requested: {error}");
            Uri::from_static("/")
        });
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        Self { request }
    }

    /// Adds a header. One that cannot be sent is left out and logged.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        match (HeaderName::try_from(name), HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                self.request.headers_mut().insert(name, value);
            },
            _ => log::warn!("header {name} cannot be sent"),
        }
        self
    }

    /// Sets a JSON body.
    #[must_use]
    pub fn json(mut self, body: Vec<u8>) -> Self {
        *self.request.body_mut() = Full::new(Bytes::from(body));
        self.request
            .headers_mut()
            .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        self
    }

    /// Sends the request. `timeout` limits the time to the headers of the answer.
    ///
    /// # Errors
    ///
    /// `NotConnected` only if no connection was established: no byte of the request left.
    pub async fn send(
        mut self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<InboundAnswer, ExchangeFault> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            self.request.headers_mut().insert(HOST, host);
        }
        let (response, exchange) = exchange::send(address, self.request, timeout).await?;
        let (parts, body) = response.into_parts();
        Ok(InboundAnswer { status: parts.status, headers: parts.headers, body, exchange })
    }
}

/// An answer whose body has not been read. Dropping it closes the connection.
pub struct InboundAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    body: Incoming,
    exchange: Exchange,
}

impl InboundAnswer {
    /// Gets a header as text.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Gets the next part of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// `Broken` if the connection ends before the body does.
    pub async fn next_chunk(&mut self) -> Option<Result<Bytes, ExchangeFault>> {
        loop {
            match self.body.frame().await? {
                Ok(frame) => {
                    if let Ok(data) = frame.into_data() {
                        return Some(Ok(data));
                    }
                },
                Err(_) => return Some(Err(ExchangeFault::Broken)),
            }
        }
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// `TimedOut` after `timeout`, `Broken` if the body is longer than `limit` bytes or ends early.
    pub async fn collect(self, limit: usize, timeout: Duration) -> Result<Bytes, ExchangeFault> {
        let Self { body, exchange: _exchange, .. } = self;
        let reading = Limited::new(body, limit).collect();
        match tokio::time::timeout(timeout, reading).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(_)) => Err(ExchangeFault::Broken),
            Err(_) => Err(ExchangeFault::TimedOut),
        }
    }
}
