//! Inputs of a session and the effects that it requests.

use std::fmt;

use crate::ErrorKind;
use crate::ids::{RequestId, ServerId};

value_type! { copy
    /// Identifies one exchange with a backend server: one HTTP request and its response.
    ///
    /// Sent to the engine as the `request` of a generation. If the engine echoes it, the session
    /// detects a response that belongs to another request.
    pub struct ExchangeId {
        /// The caller's request.
        pub request: RequestId,
        /// Number of the exchange within the request, from 1.
        pub number: u32,
    }
}

impl fmt::Display for ExchangeId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.request, self.number)
    }
}

impl ExchangeId {
    /// Parses the form that `Display` writes.
    pub fn parse(text: &str) -> Option<Self> {
        let (request, number) = text.split_once('.')?;
        Some(Self { request: RequestId::parse(request)?, number: number.parse().ok()? })
    }
}

value_type! { copy
    /// Why an engine ended a generation.
    #[serde(rename_all = "snake_case")]
    pub enum FinishReason {
        /// The model ended it.
        Stop,
        /// The output reached its maximum length.
        Length,
    }
}

impl FinishReason {
    /// Gets the name used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stop => "stop",
            Self::Length => "length",
        }
    }
}

value_type! { copy
    /// Why an exchange ended before the end of its stream.
    #[serde(rename_all = "snake_case")]
    pub enum LostReason {
        /// No connection could be made.
        Unreachable,
        /// The connection was closed or reset.
        Closed,
        /// The engine accepts no work at present (HTTP 429 or 503); it started nothing.
        Rejected,
        /// The engine does not know the generation (HTTP 404).
        NotFound,
        /// The engine ended the stream because a later attachment exists.
        Superseded,
        /// The response could not be parsed or exceeded a limit.
        Malformed,
        /// Nothing arrived before the timeout. Set by the session.
        Silent,
        /// The response belongs to another request. Set by the session.
        Misdelivered,
        /// Tokens were missing. Set by the session.
        Gap,
    }
}

/// Input of a session. `exchange` is the number from the effect that began the exchange.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// Gives the session a server and its permit: the first input, or the answer to
    /// `RequestServer`.
    Start {
        /// The engine to use.
        server: ServerId,
    },
    /// Continues an existing generation that a resume handle names. Replaces `Start` as the
    /// first input; its permit is released in the same way.
    Adopt {
        /// The engine that runs the generation.
        server: ServerId,
        /// Its name on the engine.
        generation: String,
        /// The last token that the caller has; 0 for none.
        after: u64,
    },
    /// No server or retry is available: the first input, or the answer to `RequestServer`.
    Refused(ErrorKind),
    /// The headers of an engine's response arrived.
    Attached {
        /// Number of the exchange.
        exchange: u32,
        /// The exchange id in the response, or `None` if the engine echoes none.
        echo: Option<ExchangeId>,
        /// Name of the generation on the engine.
        generation: String,
        /// Number that the engine gave to this attachment; increases with each attachment of the
        /// generation.
        attachment: u64,
    },
    /// A token arrived.
    Token {
        /// Number of the exchange.
        exchange: u32,
        /// The generation that the event names.
        generation: String,
        /// The attachment from the headers of the exchange.
        attachment: u64,
        /// Sequence number, from 1.
        seq: u64,
        /// Text of the token.
        text: String,
    },
    /// The end of the stream arrived.
    End {
        /// Number of the exchange.
        exchange: u32,
        /// The generation that the event names.
        generation: String,
        /// The attachment from the headers of the exchange.
        attachment: u64,
        /// Number of tokens of the generation.
        tokens: u64,
        /// Why the engine ended it.
        finish: FinishReason,
    },
    /// An exchange ended before the end of its stream.
    Lost {
        /// Number of the exchange.
        exchange: u32,
        /// Why it ended.
        reason: LostReason,
    },
    /// The runtime stopped reading from the engine because the caller reads slowly.
    ReadPaused,
    /// The runtime reads from the engine again after `ReadPaused`.
    ReadContinued,
    /// A connection of the caller was closed. Ignored unless it is the latest one, because the
    /// end of an old connection is often noticed only after the caller has reconnected.
    CallerDisconnected {
        /// Number of the caller's connection, from 1.
        connection: u32,
    },
    /// The caller continues on a new connection, which replaces the previous one.
    CallerReconnected {
        /// Number of the new connection; ignored unless higher than all previous ones.
        connection: u32,
        /// The last token that the caller has; 0 for none.
        after: u64,
    },
    /// The caller cancels the generation.
    CallerCancelled,
    /// A time returned by `next_wakeup` has passed.
    Tick,
}

/// Action that the runtime performs for a session, in the order of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionEffect {
    /// Starts a generation on a new exchange.
    Open {
        /// Number of the exchange.
        exchange: u32,
        /// The engine.
        server: ServerId,
    },
    /// Resumes the generation on a new exchange, on a connection of its own.
    Resume {
        /// Number of the exchange.
        exchange: u32,
        /// The engine.
        server: ServerId,
        /// Name of the generation on the engine.
        generation: String,
        /// The engine sends the tokens after this one; 0 for all.
        after: u64,
    },
    /// Ends an exchange; its connection is closed and not reused.
    Close {
        /// Number of the exchange.
        exchange: u32,
    },
    /// Sends a token to the caller. Only for streamed delivery.
    Deliver {
        /// Sequence number.
        seq: u64,
        /// Text of the token.
        text: String,
    },
    /// Ends the response successfully. No effect for the caller follows.
    Complete {
        /// Number of tokens.
        tokens: u64,
        /// Why the engine ended the generation.
        finish: FinishReason,
        /// The complete text for whole delivery; `None` for streamed delivery.
        text: Option<String>,
    },
    /// Ends the response with an error. No effect for the caller follows.
    Fail(ErrorKind),
    /// Cancels a generation unless it has a later attachment. Sent on a best-effort basis.
    Cancel {
        /// The engine.
        server: ServerId,
        /// Name of the generation on the engine.
        generation: String,
        /// The latest attachment that the session knows.
        attachment: u64,
    },
    /// Reports that a server failed on two connections, or before it sent headers.
    Suspect {
        /// The server.
        server: ServerId,
        /// How the last connection failed.
        reason: LostReason,
    },
    /// Requests another server for a new generation: takes a retry from the budget, then asks
    /// admission for a server. Answered by `Start` or `Refused`.
    RequestServer {
        /// Servers that failed this request.
        avoid: Vec<ServerId>,
    },
    /// Releases the permit of a server, once for each `Start` and `Adopt`.
    ReleasePermit {
        /// The server.
        server: ServerId,
    },
}
