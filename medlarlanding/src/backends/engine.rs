//! Client of model engines: start, resume and cancel generations.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use ntex::client::{Client, ClientResponse};
use ntex::http::{Method, Payload};
use ntex::util::stream_recv;
use serde::{Deserialize, Serialize};

use super::connection::{ExchangeFault, request};
use super::events::{EventDecoder, StreamEvent};

/// Longest time from the request to the headers of a generation's stream.
///
/// An engine sends the headers when it accepts the generation, before prefill.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Request that starts a generation.
#[derive(Clone, Debug, Serialize)]
pub struct GenerationOrder<'a> {
    /// Request id; unique over all processes.
    pub request: String,
    /// Model name.
    pub model: &'a str,
    /// Model version.
    pub version: &'a str,
    /// Prompt text.
    pub prompt: &'a str,
    /// Length of the prompt in tokens, as estimated by the entry instance.
    pub prompt_tokens: u64,
    /// Largest number of tokens to generate.
    pub max_tokens: u64,
    /// Priority, 0 to 9, 9 most urgent.
    pub priority: u8,
    /// Remaining time in milliseconds.
    pub deadline_ms: u64,
    /// Hash of the prompt's prefix for the engine's cache.
    pub prefix: String,
}

/// Item of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineItem {
    /// A token.
    Token {
        /// Generation the token belongs to.
        generation: String,
        /// Number within the generation, from 1.
        seq: u64,
        /// Text of the token.
        text: String,
    },
    /// The generation is complete.
    End {
        /// Generation that ended.
        generation: String,
        /// Number of tokens generated.
        tokens: u64,
        /// Why it ended.
        finish: String,
    },
}

/// How opening a stream failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFault {
    /// The exchange failed.
    Exchange(ExchangeFault),
    /// The engine does not know the generation.
    Gone,
    /// The engine refused with this status, before it started anything.
    Refused(u16),
}

#[derive(Deserialize)]
struct TokenData {
    generation: String,
    text: String,
}

#[derive(Deserialize)]
struct EndData {
    generation: String,
    tokens: u64,
    finish: String,
}

/// Stream of one attachment to a generation. Dropping it closes the connection.
pub struct EngineStream {
    /// Generation that the engine named in its headers.
    pub generation: String,
    /// Number of this attachment; a later attachment has a higher number.
    pub attachment: u64,
    payload: Payload,
    decoder: EventDecoder,
    events: VecDeque<StreamEvent>,
}

impl EngineStream {
    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed.
    pub async fn start(
        client: &Client,
        address: SocketAddr,
        order: &GenerationOrder<'_>,
        test_tokens: Option<&str>,
    ) -> Result<Self, OpenFault> {
        let mut start = request(client, Method::POST, address, "/v1/generations", HEADERS_TIMEOUT);
        if let Some(tokens) = test_tokens {
            start = start.header("x-test-tokens", tokens);
        }
        Self::open(start.send_json(order).await)
    }

    /// Resumes a generation after token `after`.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed; `Gone` if the engine does not know the generation.
    pub async fn resume(
        client: &Client,
        address: SocketAddr,
        generation: &str,
        after: u64,
    ) -> Result<Self, OpenFault> {
        let path = format!("/v1/generations/{generation}?after={after}");
        let resume = request(client, Method::GET, address, &path, HEADERS_TIMEOUT);
        Self::open(resume.send().await)
    }

    fn open(
        answer: Result<ClientResponse, ntex::client::error::ClientError>,
    ) -> Result<Self, OpenFault> {
        let answer =
            answer.map_err(|error| OpenFault::Exchange(ExchangeFault::from_client(&error)))?;
        match answer.status().as_u16() {
            200 => {},
            404 | 410 => return Err(OpenFault::Gone),
            status => return Err(OpenFault::Refused(status)),
        }
        let text = |name: &str| {
            answer.headers().get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
        };
        let missing =
            || OpenFault::Exchange(ExchangeFault::MaybeSent("answer without ids".to_owned()));
        let generation = text("x-generation").ok_or_else(missing)?;
        let attachment =
            text("x-attachment").and_then(|value| value.parse().ok()).ok_or_else(missing)?;
        Ok(Self {
            generation,
            attachment,
            payload: answer.take_payload(),
            decoder: EventDecoder::default(),
            events: VecDeque::new(),
        })
    }

    /// Gets the next item.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends, breaks, or carries something that does not parse.
    pub async fn next(&mut self) -> Result<EngineItem, String> {
        loop {
            while let Some(event) = self.events.pop_front() {
                if let Some(item) = parse_event(&event)? {
                    return Ok(item);
                }
            }
            let chunk = match stream_recv(&mut self.payload).await {
                Some(Ok(chunk)) => chunk,
                Some(Err(error)) => return Err(error.to_string()),
                None => return Err("the connection ended".to_owned()),
            };
            let mut events = Vec::new();
            self.decoder
                .push(&chunk, &mut events)
                .map_err(|_| "an event is too large or not UTF-8".to_owned())?;
            self.events.extend(events);
        }
    }
}

fn parse_event(event: &StreamEvent) -> Result<Option<EngineItem>, String> {
    match event.name.as_str() {
        "token" => {
            let seq = event.id.parse().map_err(|_| "token without number".to_owned())?;
            let data: TokenData = serde_json::from_str(&event.data)
                .map_err(|error| format!("token data: {error}"))?;
            Ok(Some(EngineItem::Token { generation: data.generation, seq, text: data.text }))
        },
        "end" => {
            let data: EndData =
                serde_json::from_str(&event.data).map_err(|error| format!("end data: {error}"))?;
            Ok(Some(EngineItem::End {
                generation: data.generation,
                tokens: data.tokens,
                finish: data.finish,
            }))
        },
        _ => Ok(None),
    }
}

/// Cancels a generation unless a later attachment exists.
///
/// # Errors
///
/// Returns why the exchange failed. The engine drops unattached generations by itself.
pub async fn cancel(
    client: &Client,
    address: SocketAddr,
    generation: &str,
    attachment: u64,
) -> Result<(), String> {
    let path = format!("/v1/generations/{generation}?attachment={attachment}");
    request(client, Method::DELETE, address, &path, CANCEL_TIMEOUT)
        .send()
        .await
        .map(drop)
        .map_err(|error| error.to_string())
}
