//! HTTP requests to backend servers and the platform, each on a new connection.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange::{self, BodyFraming, Exchange, ExchangeFault};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderName, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};

/// An HTTP request that has not been sent.
#[derive(Clone, Debug)]
pub struct OutboundCall {
    request: Request<Full<Bytes>>,
}

impl OutboundCall {
    /// Creates a request without a body. An invalid path is logged and replaced by `/`.
    pub fn new(method: Method, path: &str) -> Self {
        let uri = path.parse().unwrap_or_else(|error| {
            log::warn!("invalid request path {path:?}, requesting / instead: {error}");
            Uri::from_static("/")
        });
        let mut request = Request::new(Full::default());
        *request.method_mut() = method;
        *request.uri_mut() = uri;
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        Self { request }
    }

    /// Adds a header. A header with an invalid name or value is logged and omitted.
    #[must_use]
    pub fn header(mut self, name: &str, value: &str) -> Self {
        match (HeaderName::try_from(name), HeaderValue::from_str(value)) {
            (Ok(name), Ok(value)) => {
                self.request.headers_mut().insert(name, value);
            },
            _ => log::warn!("request header {name:?} omitted: its name or value is invalid"),
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

    /// Sends the request. `timeout` limits the time until the response headers are received.
    ///
    /// # Errors
    ///
    /// `NotConnected` only if no connection was established, so that no byte was sent.
    pub async fn send(
        mut self,
        address: SocketAddr,
        timeout: Duration,
    ) -> Result<InboundResponse, ExchangeFault> {
        if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
            self.request.headers_mut().insert(HOST, host);
        }
        let (response, exchange) = exchange::send(address, self.request, timeout).await?;
        let framing = BodyFraming::of_response(&response);
        let (parts, body) = response.into_parts();
        Ok(InboundResponse {
            status: parts.status,
            headers: parts.headers,
            framing,
            body,
            exchange,
        })
    }
}

/// A response whose body has not been read. Dropping it closes the connection.
pub struct InboundResponse {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// How the end of the body is marked.
    pub framing: BodyFraming,
    body: Incoming,
    exchange: Exchange,
}

impl InboundResponse {
    /// Gets a header as text; `None` if it is absent or not visible ASCII.
    pub fn header_text(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Reads the next chunk of the body; `None` at its end.
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
