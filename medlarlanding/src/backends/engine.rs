//! Client of model engines: starts, resumes and cancels generations, and loads models.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::connection::{InboundResponse, OutboundCall};
use super::events::{EventDecoder, StreamEvent};
use crate::exchange::ExchangeFault;
use medlarlanding_core::commands::{CommandAction, CommandResult};
use medlarlanding_core::config::ModelVersion;
use medlarlanding_core::generations::ExchangeId;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Timeout from sending the request to receiving the headers of a generation's stream. An
/// engine sends the headers when it accepts the generation, before prefill.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Timeout of a command. An engine may read the weights of a model before it responds.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(25);
/// Maximum size of the response to a command in bytes.
const COMMAND_RESPONSE_LIMIT: usize = 64 << 10;
/// Attachment number above any that an engine assigns. A cancellation with it applies to every
/// attachment.
pub const ANY_ATTACHMENT: u64 = u32::MAX as u64;
/// Timeout of a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Parameters of a generation, sent to the engine.
#[derive(Clone, Debug, Serialize)]
pub struct GenerationRequest {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Prompt text.
    pub prompt: String,
    /// Length of the prompt in tokens, estimated by the instance that received the request.
    pub prompt_tokens: u64,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Priority from 0 to 9; 9 is the most urgent.
    pub priority: u8,
    /// Time left until the deadline, in milliseconds.
    pub deadline_ms: u64,
    /// Hash of the prompt's prefix, the key of the engine's prefix cache.
    pub prefix: String,
}

/// Event of a generation's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineItem {
    /// A token.
    Token {
        /// Generation the token belongs to.
        generation: String,
        /// Position of the token in the generation, from 1.
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

/// Why a stream could not be opened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OpenFault {
    /// No response was received.
    Exchange(ExchangeFault),
    /// The engine does not know the generation.
    Gone,
    /// The generation has a later attachment.
    Superseded,
    /// The response headers do not name a generation and an attachment.
    Malformed,
    /// The engine refused with this status and started nothing.
    Refused(u16),
}

/// Why a stream ended before its generation was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection was closed or broke.
    Closed,
    /// The engine ended the stream because the generation has a later attachment.
    Superseded,
    /// An event is too large or cannot be parsed.
    Malformed,
}

#[derive(Serialize)]
struct StartBody<'a> {
    /// Exchange id, unique across all processes and their restarts.
    request: String,
    #[serde(flatten)]
    generation: &'a GenerationRequest,
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

/// Event stream of one attachment to a generation. Dropping it closes the connection.
///
/// Each connection that starts or resumes a generation is an attachment; the engine ends the
/// stream of an earlier attachment when a later one arrives.
pub struct EngineStream {
    /// Generation named in the response headers.
    pub generation: String,
    /// Exchange id echoed in the response headers, if the engine echoes it.
    pub echo: Option<ExchangeId>,
    /// Number of this attachment; a later attachment has a higher number.
    pub attachment: u64,
    response: InboundResponse,
    decoder: EventDecoder,
    events: VecDeque<StreamEvent>,
}

impl EngineStream {
    /// Starts a generation.
    ///
    /// # Errors
    ///
    /// Returns why the stream could not be opened.
    pub async fn start(
        address: SocketAddr,
        id: &ExchangeId,
        request: &GenerationRequest,
    ) -> Result<Self, OpenFault> {
        let body = json_body(&StartBody { request: id.to_string(), generation: request });
        let start = OutboundCall::new(Method::POST, "/v1/generations").json(body);
        Self::open(start.send(address, HEADERS_TIMEOUT).await)
    }

    /// Resumes a generation after token `after`.
    ///
    /// # Errors
    ///
    /// Returns why the stream could not be opened: `Gone` if the engine does not know the
    /// generation.
    pub async fn resume(
        address: SocketAddr,
        id: &ExchangeId,
        generation: &str,
        after: u64,
    ) -> Result<Self, OpenFault> {
        let path = format!("/v1/generations/{generation}?after={after}");
        let resume = OutboundCall::new(Method::GET, &path).header("x-request", &id.to_string());
        Self::open(resume.send(address, HEADERS_TIMEOUT).await)
    }

    fn open(response: Result<InboundResponse, ExchangeFault>) -> Result<Self, OpenFault> {
        let response = response.map_err(OpenFault::Exchange)?;
        match response.status.as_u16() {
            200 => {},
            404 | 410 => return Err(OpenFault::Gone),
            409 => return Err(OpenFault::Superseded),
            status => return Err(OpenFault::Refused(status)),
        }
        let generation =
            response.header_text("x-generation").ok_or(OpenFault::Malformed)?.to_owned();
        let attachment = response.header_text("x-attachment").and_then(|value| value.parse().ok());
        Ok(Self {
            echo: response.header_text("x-request").and_then(ExchangeId::parse),
            generation,
            attachment: attachment.ok_or(OpenFault::Malformed)?,
            response,
            decoder: EventDecoder::default(),
            events: VecDeque::new(),
        })
    }

    /// Reads the next event, ignoring those of unknown types.
    ///
    /// # Errors
    ///
    /// Fails if the connection is closed or breaks, if the generation has a later attachment, or
    /// if an event is too large or cannot be parsed.
    pub async fn next(&mut self) -> Result<EngineItem, StreamFault> {
        loop {
            while let Some(event) = self.events.pop_front() {
                if let Some(item) = parse_event(&event)? {
                    return Ok(item);
                }
            }
            let Some(Ok(chunk)) = self.response.next_chunk().await else {
                return Err(StreamFault::Closed);
            };
            let mut events = Vec::new();
            self.decoder.push(&chunk, &mut events).map_err(|_| StreamFault::Malformed)?;
            self.events.extend(events);
        }
    }
}

fn parse_event(event: &StreamEvent) -> Result<Option<EngineItem>, StreamFault> {
    match event.name.as_str() {
        "token" => {
            let seq = event.id.parse().map_err(|_| StreamFault::Malformed)?;
            let data: TokenData = parse_data(event)?;
            Ok(Some(EngineItem::Token { generation: data.generation, seq, text: data.text }))
        },
        "end" => {
            let data: EndData = parse_data(event)?;
            Ok(Some(EngineItem::End {
                generation: data.generation,
                tokens: data.tokens,
                finish: data.finish,
            }))
        },
        "superseded" => Err(StreamFault::Superseded),
        _ => Ok(None),
    }
}

fn parse_data<T: DeserializeOwned>(event: &StreamEvent) -> Result<T, StreamFault> {
    serde_json::from_str(&event.data).map_err(|_| StreamFault::Malformed)
}

/// Cancels a generation unless it has an attachment later than `attachment`.
///
/// # Errors
///
/// Returns why no response was received. The engine also drops a generation that stays without
/// an attachment, so a failed cancellation need not be repeated.
pub async fn cancel(
    address: SocketAddr,
    generation: &str,
    attachment: u64,
) -> Result<(), ExchangeFault> {
    let path = format!("/v1/generations/{generation}?attachment={attachment}");
    OutboundCall::new(Method::DELETE, &path).send(address, CANCEL_TIMEOUT).await.map(drop)
}

/// Serializes a request body of this module. This cannot fail for structs without maps.
fn json_body(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a struct without maps serializes to JSON")
}

#[derive(Serialize)]
struct CommandBody<'a> {
    fence: u64,
    action: &'static str,
    model: &'a str,
    version: &'a str,
}

#[derive(Deserialize)]
struct CommandResponse {
    fence: u64,
    /// Loaded model versions as `MODEL@VERSION`; absent in a refusal.
    #[serde(default)]
    loaded: Vec<String>,
}

/// Sends a command with its fencing number.
pub async fn command(
    address: SocketAddr,
    fence: u64,
    action: CommandAction,
    model: &ModelVersion,
) -> CommandResult {
    let body = CommandBody {
        fence,
        action: action.as_str(),
        model: &model.model,
        version: &model.version,
    };
    let command = OutboundCall::new(Method::POST, "/v1/admin/orders").json(json_body(&body));
    let Ok(response) = command.send(address, COMMAND_TIMEOUT).await else {
        return CommandResult::Failed;
    };
    let status = response.status.as_u16();
    let Ok(body) = response.collect(COMMAND_RESPONSE_LIMIT, COMMAND_TIMEOUT).await else {
        return CommandResult::Failed;
    };
    let Ok(response) = serde_json::from_slice::<CommandResponse>(&body) else {
        return CommandResult::Failed;
    };
    match status {
        200 => CommandResult::Done {
            loaded: response
                .loaded
                .iter()
                .filter_map(|name| {
                    let (model, version) = name.split_once('@')?;
                    Some(ModelVersion { model: model.to_owned(), version: version.to_owned() })
                })
                .collect(),
        },
        409 => CommandResult::Fenced { seen: response.fence },
        _ => CommandResult::Failed,
    }
}
