//! Client of model engines: start, resume and cancel generations.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use super::connection::{InboundAnswer, OutboundCall};
use super::events::{EventDecoder, StreamEvent};
use crate::exchange::ExchangeFault;
use medlarlanding_core::commands::{CommandAction, CommandResult};
use medlarlanding_core::config::ModelVersion;
use medlarlanding_core::generations::ExchangeId;

use hyper::Method;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

/// Longest time from the request to the headers of a generation's stream.
///
/// An engine sends the headers when it accepts the generation, before prefill.
const HEADERS_TIMEOUT: Duration = Duration::from_secs(5);
/// Longest time for a command; a load may read its weights first.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(25);
/// Largest answer to a command in bytes.
const COMMAND_ANSWER_LIMIT: usize = 64 << 10;
/// Attachment number above any that an engine gives; cancels whatever is attached.
pub const ANY_ATTACHMENT: u64 = u32::MAX as u64;
/// Longest time for a cancellation.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(3);

/// Request that starts a generation.
#[derive(Clone, Debug, Serialize)]
pub struct GenerationOrder {
    /// Model name.
    pub model: String,
    /// Model version.
    pub version: String,
    /// Prompt text.
    pub prompt: String,
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
    /// The stream belongs to a later attachment.
    Superseded,
    /// The answer does not name a generation and an attachment.
    Malformed,
    /// The engine refused with this status, before it started anything.
    Refused(u16),
}

/// How a stream ended without the end of its generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StreamFault {
    /// The connection ended or broke.
    Closed,
    /// The engine gave the generation to a later attachment.
    Superseded,
    /// An event is too large or does not parse.
    Malformed,
}

#[derive(Serialize)]
struct NamedOrder<'a> {
    /// Exchange id; unique over all processes.
    request: String,
    #[serde(flatten)]
    order: &'a GenerationOrder,
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
    /// Exchange that the engine names, if it does.
    pub echo: Option<ExchangeId>,
    /// Number of this attachment; a later attachment has a higher number.
    pub attachment: u64,
    answer: InboundAnswer,
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
        address: SocketAddr,
        id: &ExchangeId,
        order: &GenerationOrder,
    ) -> Result<Self, OpenFault> {
        let body = json_body(&NamedOrder { request: id.to_string(), order });
        let start = OutboundCall::new(Method::POST, "/v1/generations").json(body);
        Self::open(start.send(address, HEADERS_TIMEOUT).await)
    }

    /// Resumes a generation after token `after`.
    ///
    /// # Errors
    ///
    /// Returns how the exchange failed; `Gone` if the engine does not know the generation.
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

    fn open(answer: Result<InboundAnswer, ExchangeFault>) -> Result<Self, OpenFault> {
        let answer = answer.map_err(OpenFault::Exchange)?;
        match answer.status.as_u16() {
            200 => {},
            404 | 410 => return Err(OpenFault::Gone),
            409 => return Err(OpenFault::Superseded),
            status => return Err(OpenFault::Refused(status)),
        }
        let generation = answer.text("x-generation").ok_or(OpenFault::Malformed)?.to_owned();
        let attachment = answer.text("x-attachment").and_then(|value| value.parse().ok());
        Ok(Self {
            echo: answer.text("x-request").and_then(ExchangeId::parse),
            generation,
            attachment: attachment.ok_or(OpenFault::Malformed)?,
            answer,
            decoder: EventDecoder::default(),
            events: VecDeque::new(),
        })
    }

    /// Gets the next item.
    ///
    /// # Errors
    ///
    /// Fails when the connection ends, breaks, or carries something that does not parse.
    pub async fn next(&mut self) -> Result<EngineItem, StreamFault> {
        loop {
            while let Some(event) = self.events.pop_front() {
                if let Some(item) = parse_event(&event)? {
                    return Ok(item);
                }
            }
            let Some(Ok(chunk)) = self.answer.next_chunk().await else {
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

/// Cancels a generation unless an attachment later than `attachment` exists.
///
/// # Errors
///
/// Returns why the exchange failed. The engine drops unattached generations by itself.
pub async fn cancel(
    address: SocketAddr,
    generation: &str,
    attachment: u64,
) -> Result<(), ExchangeFault> {
    let path = format!("/v1/generations/{generation}?attachment={attachment}");
    OutboundCall::new(Method::DELETE, &path).send(address, CANCEL_TIMEOUT).await.map(drop)
}

/// Writes a body of this module's own types, whose serialization cannot fail.
fn json_body(value: &impl Serialize) -> Vec<u8> {
    serde_json::to_vec(value).expect("a structure without maps is JSON")
}

#[derive(Serialize)]
struct CommandBody<'a> {
    fence: u64,
    action: &'static str,
    model: &'a str,
    version: &'a str,
}

#[derive(Deserialize)]
struct CommandAnswer {
    fence: u64,
    /// Model versions as `MODEL@VERSION`; absent in a refusal.
    #[serde(default)]
    loaded: Vec<String>,
}

/// Sends a command with a fencing number.
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
    let Ok(answer) = command.send(address, COMMAND_TIMEOUT).await else {
        return CommandResult::Failed;
    };
    let status = answer.status.as_u16();
    let Ok(body) = answer.collect(COMMAND_ANSWER_LIMIT, COMMAND_TIMEOUT).await else {
        return CommandResult::Failed;
    };
    let Ok(answer) = serde_json::from_slice::<CommandAnswer>(&body) else {
        return CommandResult::Failed;
    };
    match status {
        200 => CommandResult::Done {
            loaded: answer
                .loaded
                .iter()
                .filter_map(|name| {
                    let (model, version) = name.split_once('@')?;
                    Some(ModelVersion { model: model.to_owned(), version: version.to_owned() })
                })
                .collect(),
        },
        409 => CommandResult::Fenced { seen: answer.fence },
        _ => CommandResult::Failed,
    }
}
