//! Inputs and effects of a session.

use std::fmt;

use crate::ErrorKind;
use crate::ids::{RequestId, ServerId};

value_type! { copy
    /// Names one exchange with a backend server: one HTTP request and its response.
    ///
    /// Sent as the `request` of a generation, so that an engine that echoes it lets the
    /// session recognise a response that was swapped with that of another request.
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
        /// It reached the longest output.
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
    /// Why an exchange ended without the end of its stream.
    #[serde(rename_all = "snake_case")]
    pub enum LostReason {
        /// No connection could be made.
        Unreachable,
        /// The connection was closed or reset.
        Closed,
        /// The engine answered that it takes no work now (HTTP 429 or 503); it started nothing.
        Rejected,
        /// The engine does not know the generation (HTTP 404).
        NotFound,
        /// The engine ended the stream because a later attachment exists.
        Superseded,
        /// The response could not be parsed or exceeded a limit.
        Malformed,
        /// Nothing arrived in time. Set by the session.
        Silent,
        /// The response belongs to another request. Set by the session.
        Misdelivered,
        /// Tokens were missing. Set by the session.
        Gap,
    }
}

/// What happens to a session. `exchange` is the number in the effect that began it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SessionInput {
    /// A server was chosen and its permit obtained; answers `RequestServer` or begins.
    Start {
        /// The engine to use.
        server: ServerId,
    },
    /// Begins with a generation that exists already, from a resume handle. Comes instead of
    /// `Start`, with a permit that is released like one.
    Adopt {
        /// The engine that runs the generation.
        server: ServerId,
        /// Its name on the engine.
        generation: String,
        /// The last token that the caller has; 0 for none.
        after: u64,
    },
    /// No server or retry is available; answers `RequestServer` or ends the session before
    /// `Start`.
    Refused(ErrorKind),
    /// The headers of an engine's response arrived.
    Attached {
        /// Number of the exchange.
        exchange: u32,
        /// The exchange that the engine names, if it echoes it.
        echo: Option<ExchangeId>,
        /// Name of the generation.
        generation: String,
        /// Number of the attachment.
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
    /// An exchange ended without the end of its stream.
    Lost {
        /// Number of the exchange.
        exchange: u32,
        /// Why.
        reason: LostReason,
    },
    /// The runtime stopped reading from the engine because the caller reads slowly.
    ReadPaused,
    /// The runtime reads from the engine again.
    ReadContinued,
    /// A connection of the caller was closed. Ignored unless it is the latest, because the
    /// closing of an old connection is often noticed after the caller is back.
    CallerGone {
        /// Number of the caller's connection; the first one has number 1.
        connection: u32,
    },
    /// The caller continues on a new connection, which replaces the one before.
    CallerBack {
        /// Number of the new connection; higher than those before.
        connection: u32,
        /// The last token that the caller has; 0 for none.
        after: u64,
    },
    /// The caller cancels the generation.
    CallerCancelled,
    /// Time passed.
    Tick,
}

/// What the runtime does for a session, in this order.
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
        /// The last token that is not needed again; 0 for none.
        after: u64,
    },
    /// Drops an exchange; its connection is not reused.
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
        /// The whole text for whole delivery; `None` for streamed delivery.
        text: Option<String>,
    },
    /// Ends the response with an error. No effect for the caller follows.
    Fail(ErrorKind),
    /// Cancels a generation unless a later attachment exists. Sent on a best-effort basis.
    Cancel {
        /// The engine.
        server: ServerId,
        /// Name of the generation on the engine.
        generation: String,
        /// The latest attachment that the session knows.
        attachment: u64,
    },
    /// Reports that a server failed on two connections, or before it answered.
    Suspect {
        /// The server.
        server: ServerId,
        /// What the last connection met.
        reason: LostReason,
    },
    /// Asks for a new generation on another server: spends a retry of the budget, then asks
    /// admission. Answered by `Start` or `Refused`.
    RequestServer {
        /// Servers that failed this request.
        avoid: Vec<ServerId>,
    },
    /// Releases the permit of a server. Once for each `Start` and `Adopt`.
    ReleasePermit {
        /// The server.
        server: ServerId,
    },
}
