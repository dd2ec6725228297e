//! HTTP client of the load generator and the tests: whole answers and event streams.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use medlarlanding::backends::connection::{InboundResponse, OutboundCall};
use medlarlanding::backends::events::{EventDecoder, StreamEvent};
use medlarlanding::exchange::ExchangeFault;

use bytes::Bytes;
use hyper::Method;
use tokio::time::timeout;

/// Largest body in bytes that is read: 50,000 tokens of a whole response fit.
const BODY_LIMIT: usize = 4 << 20;

/// A request to one address.
#[derive(Clone, Debug)]
pub struct Call {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// Header names and values.
    pub headers: Vec<(&'static str, String)>,
    /// Body; sent as JSON if it is not empty.
    pub body: Vec<u8>,
}

impl Call {
    /// Creates a request without body.
    pub fn new(method: Method, path: impl Into<String>) -> Self {
        Self { method, path: path.into(), headers: Vec::new(), body: Vec::new() }
    }

    /// Creates a POST with a JSON body.
    pub fn post(path: impl Into<String>, body: &serde_json::Value) -> Self {
        Self { body: body.to_string().into_bytes(), ..Self::new(Method::POST, path) }
    }

    /// Adds a header.
    #[must_use]
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Adds the credential.
    #[must_use]
    pub fn bearer(self, credential: &str) -> Self {
        self.header("authorization", format!("Bearer {credential}"))
    }
}

/// Why a call got no complete answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallFault {
    /// No connection was established.
    NotSent(String),
    /// The connection broke, or the answer was late or malformed.
    Broken(String),
}

/// A complete answer.
#[derive(Clone, Debug)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values, sorted by name.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Bytes,
}

impl Answer {
    /// Gets the body as JSON, or null.
    pub fn json(&self) -> serde_json::Value {
        serde_json::from_slice(&self.body).unwrap_or_default()
    }

    /// Gets a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|header| header.0 == name).map(|header| header.1.as_str())
    }
}

/// Answer to a call that may be a stream.
pub enum Opened {
    /// An event stream.
    Stream(Box<EventStream>),
    /// Anything else, usually a rejection.
    Answer(Answer),
}

/// An open event stream. Dropping it closes the connection.
pub struct EventStream {
    /// Header names and values, sorted by name.
    pub headers: Vec<(String, String)>,
    answer: InboundResponse,
    decoder: EventDecoder,
    events: VecDeque<StreamEvent>,
}

impl EventStream {
    /// Gets the next event, or `None` when the stream ended.
    ///
    /// # Errors
    ///
    /// Fails when the connection breaks or nothing arrives within `wait`.
    pub async fn next(&mut self, wait: Duration) -> Result<Option<StreamEvent>, String> {
        loop {
            if let Some(event) = self.events.pop_front() {
                return Ok(Some(event));
            }
            let chunk = match timeout(wait, self.answer.next_chunk()).await {
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

/// Client for one thread. Every call uses a connection of its own.
#[derive(Clone, Debug)]
pub struct CallClient;

impl CallClient {
    /// Creates a client.
    ///
    /// # Errors
    ///
    /// Fails if the connector cannot be created.
    pub async fn build() -> anyhow::Result<Self> {
        Ok(Self)
    }

    /// Sends a call and reads the whole answer. `wait` limits the time to the headers and
    /// from there to the end of the body.
    ///
    /// # Errors
    ///
    /// Returns why no complete answer was received.
    pub async fn call(
        &self,
        address: SocketAddr,
        call: &Call,
        wait: Duration,
    ) -> Result<Answer, CallFault> {
        let response = self.send(address, call, wait).await?;
        read_answer(response, wait).await
    }

    /// Sends a call whose answer may be a stream. `wait` limits the time to the headers.
    ///
    /// # Errors
    ///
    /// Returns why no answer was received.
    pub async fn open(
        &self,
        address: SocketAddr,
        call: &Call,
        wait: Duration,
    ) -> Result<Opened, CallFault> {
        let response = self.send(address, call, wait).await?;
        let headers = header_list(&response);
        let streams = headers
            .iter()
            .any(|(name, value)| name == "content-type" && value.starts_with("text/event-stream"));
        if !streams {
            return read_answer(response, wait).await.map(Opened::Answer);
        }
        Ok(Opened::Stream(Box::new(EventStream {
            headers,
            answer: response,
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

async fn read_answer(response: InboundResponse, wait: Duration) -> Result<Answer, CallFault> {
    let status = response.status.as_u16();
    let headers = header_list(&response);
    let body = response.collect(BODY_LIMIT, wait).await;
    let body = body.map_err(|fault| CallFault::Broken(fault.name().to_owned()))?;
    Ok(Answer { status, headers, body })
}
