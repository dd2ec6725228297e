//! HTTP client of the load generator and the tests, for whole responses and event streams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use medlarlanding::backends::connection::{InboundResponse, OutboundCall};
use medlarlanding::backends::events::{EventDecoder, StreamEvent};
use medlarlanding::exchange::ExchangeFault;

use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

/// Largest response body that is read, in bytes. A whole generation of 50,000 tokens fits.
const BODY_LIMIT: usize = 4 << 20;

/// A request to one address.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Request body, sent as JSON unless it is empty.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a request without a body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a POST request with a JSON body.
    pub fn post(path: impl Into<String>, body: &serde_json::Value) -> Self {
        Self { body: body.to_string().into_bytes(), ..Self::new(Method::POST, path) }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds the credential as a bearer token.
    #[must_use]
    pub fn bearer(self, credential: &str) -> Self {
        self.header("authorization", format!("Bearer {credential}"))
    }
}

/// Why a call received no complete response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection was established.
    NotSent(String),
    /// The connection broke, or the response was late, too large or malformed.
    Broken(String),
}

/// A complete HTTP response.
#[derive(Clone, Debug)]
pub struct CallResponse {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, sorted by name.
    pub headers: Vec<(String, String)>,
    /// Response body.
    pub body: Bytes,
}

impl CallResponse {
    /// Returns the body as JSON, or null if it is not valid JSON.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }
}

/// Response to a call that may open an event stream.
pub enum OpenResponse {
    /// An event stream.
    Stream(Box<EventStream>),
    /// A response of any other content type, usually a rejection.
    Complete(CallResponse),
}

/// An open event stream. Dropping it closes the connection.
pub struct EventStream {
    /// Header names and values, sorted by name.
    pub headers: Vec<(String, String)>,
    response: InboundResponse,
    decoder: EventDecoder,
    events: VecDeque<StreamEvent>,
}

impl EventStream {
    /// Returns the next event, or `None` at the end of the stream.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks, no data arrives within `wait`, or an event is malformed.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<StreamEvent>, String> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            let chunk = match timeout(wait, self.response.next_chunk()).await {
                Ok(Some(Ok(chunk))) => chunk,
                Ok(Some(Err(fault))) => return Err(fault.name().to_owned()),
                Ok(None) => return Ok(None),
                Err(_) => return Err(format!("no event within {wait:?}")),
            };
            let mut events = Vec::new();
            let pushed = self.decoder.push(&chunk, &mut events);
            pushed.map_err(|_| "an event is too large or not UTF-8".to_owned())?;
            self.events.extend(events);
        }
    }
}

/// HTTP client that opens a new connection for each call.
#[derive(Clone, Debug)]
pub struct CallClient;

impl CallClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Returns no error: a client holds no resources.
    pub async fn build() -> anyhow::Result<Self> {
        Ok(Self)
    }

    /// Sends a call and reads the whole response. `wait` limits the time until the headers
    /// arrive and, separately, the time from there to the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why no complete response was received.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        wait: Duration,
    ) -> Result<CallResponse, CallFault> {
        let response = self.send(address, call, wait).await?;
        read_response(response, wait).await
    }

    /// Sends a call whose response may be an event stream. `wait` limits the time until the
    /// headers arrive and, for other responses, the time from there to the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why no response was received.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: &Call,
        wait: Duration,
    ) -> Result<OpenResponse, CallFault> {
        let response = self.send(address, call, wait).await?;
        let headers = header_list(&response);
        let is_stream = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with("text/event-stream"));
        if !is_stream {
            return read_response(response, wait).await.map(OpenResponse::Complete);
        }
        Ok(OpenResponse::Stream(Box::new(EventStream {
            headers,
            response,
            decoder: EventDecoder::default(),
            events: VecDeque::new(),
        })))
    }

    async fn send(
        &self,
        address: SocketAddr,
        call: &Call,
        wait: Duration,
    ) -> Result<InboundResponse, CallFault> {
        let mut outbound = OutboundCall::new(call.method.clone(), &call.path);
        if !call.body.is_empty() {
            outbound = outbound.json(call.body.clone());
        }
        for (name, value) in &call.headers {
            outbound = outbound.header(name, value);
        }
        outbound.send(address, wait).await.map_err(|fault| match fault {
            ExchangeFault::NotConnected => CallFault::NotSent(fault.name().to_owned()),
            ExchangeFault::Broken | ExchangeFault::TimedOut => {
                CallFault::Broken(fault.name().to_owned())
            },
        })
    }
}

fn header_list(response: &InboundResponse) -> Vec<(String, String)> {
    let headers = response.headers.iter();
    let mut list: Vec<_> = headers
        .map(|(name, value)| {
            (name.as_str().to_owned(), value.to_str().unwrap_or_default().to_owned())
        })
        .collect();
    list.sort();
    list
}

async fn read_response(
    response: InboundResponse,
    wait: Duration,
) -> Result<CallResponse, CallFault> {
    let status = response.status.as_u16();
    let headers = header_list(&response);
    let body = response.collect(BODY_LIMIT, wait).await;
    let body = body.map_err(|fault| CallFault::Broken(fault.name().to_owned()))?;
    Ok(CallResponse { status, headers, body })
}
