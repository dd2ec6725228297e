//! Error kinds that callers can receive, and the table that maps each kind to its answer.

use std::fmt;
use std::time::Duration;

use crate::prompts::BLOCK_TIME;

/// Result of an operation that can fail with an error for the caller.
pub type Result<T, E = ServeError> = std::result::Result<T, E>;

value_type! { copy
    /// What is known about the execution of a request that was answered with an error.
    #[serde(rename_all = "snake_case")]
    pub enum RunState {
        /// The request was not run and will not be.
        NotRun,
        /// Whether the request was run is unknown.
        OutcomeUnknown,
        /// The request was run completely or in part.
        Ran,
    }
}

impl RunState {
    /// Gets the name used in answers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Ran => "ran",
        }
    }
}

/// Row of the error table: how one kind of error is answered.
#[derive(Clone, Copy, Debug)]
pub struct ErrorDescriptor {
    /// Kind that the row describes.
    pub kind: ErrorKind,
    /// Stable name in answers, metrics and logs.
    pub code: &'static str,
    /// HTTP status of the answer.
    pub status: u16,
    /// What the answer says about the execution of the request.
    pub run: RunState,
    /// Delay after which a retry may succeed, or `None` if a retry cannot succeed.
    pub retry_after: Option<Duration>,
    /// Human-readable description, written to the caller.
    pub message: &'static str,
}

macro_rules! error_table {
    ($( $(#[$meta:meta])* $kind:ident = $code:literal, $status:literal, $run:ident, $retry:expr, $message:literal; )*) => {
        value_type! { copy
            /// Kinds of errors with which a caller can be answered.
            pub enum ErrorKind {
                $( $(#[$meta])* $kind, )*
            }
        }

        /// One row per error kind, in the order of the enum.
        pub static ERROR_TABLE: &[ErrorDescriptor] = &[
            $( ErrorDescriptor {
                kind: ErrorKind::$kind,
                code: $code,
                status: $status,
                run: RunState::$run,
                retry_after: $retry,
                message: $message,
            }, )*
        ];
    };
}

const SOON: Option<Duration> = Some(Duration::from_secs(1));
const LATER: Option<Duration> = Some(Duration::from_secs(5));
const UNBLOCKED: Option<Duration> = Some(BLOCK_TIME);

error_table! {
    /// The request is malformed.
    BadRequest = "bad_request", 400, NotRun, None, "the request is malformed";
    /// An order has no `Idempotency-Key` header.
    MissingKey = "missing_idempotency_key", 400, NotRun, None, "orders need the header Idempotency-Key";
    /// The credential is missing or unknown.
    Unauthorized = "unauthorized", 401, NotRun, None, "the credential is missing or unknown";
    /// The desk, generation or order does not exist for this customer.
    NotFound = "not_found", 404, NotRun, None, "no such resource";
    /// The request was not received completely within the time limit.
    ReadTimeout = "read_timeout", 408, NotRun, SOON, "the request was not received in time";
    /// The idempotency key was used before with a different body.
    KeyReused = "key_reused", 409, NotRun, None, "the idempotency key belongs to another request body";
    /// An earlier request with the same key is still running.
    DuplicateInProgress = "duplicate_in_progress", 409, OutcomeUnknown, SOON, "an earlier request with this key is in progress";
    /// The body exceeds the size limit.
    BodyTooLarge = "body_too_large", 413, NotRun, None, "the body exceeds the size limit";
    /// The customer has reached its limit of open requests.
    CustomerLimit = "customer_limit", 429, NotRun, SOON, "the customer has reached its limit of open requests";
    /// The request cannot be served before its deadline.
    Overloaded = "overloaded", 503, NotRun, LATER, "the request cannot be served before its deadline";
    /// The instance is shutting down and takes no new requests.
    Draining = "draining", 503, NotRun, SOON, "the instance takes no new requests";
    /// No configuration is in force yet.
    NotReady = "not_ready", 503, NotRun, SOON, "no configuration is in force yet";
    /// No backend server can take the request.
    NoBackend = "no_backend", 503, NotRun, SOON, "no backend server can take the request";
    /// Engines ended when they ran prompts that share a part with this one.
    FatalPrompt = "fatal_prompt", 503, NotRun, UNBLOCKED, "engines ended on a part of the prompt";
    /// The same, but runs survived all of these parts before.
    SuspectPrompt = "suspect_prompt", 503, NotRun, SOON, "engines ended on a part of the prompt, which may have another reason";
    /// Too few replicas of the order's partition could be reached.
    NoQuorum = "no_quorum", 503, NotRun, SOON, "too few replicas can be reached to accept the order";
    /// The store of order claims is full.
    ClaimsFull = "claims_full", 503, NotRun, LATER, "the store of order claims is full";
    /// The records of earlier orders are incomplete, so an order with this key may have been run.
    OrderInDoubt = "order_in_doubt", 503, OutcomeUnknown, LATER, "the key may have been used before the system's memory begins";
    /// The order may have reached the backend server, but no answer was received.
    OrderUnknown = "order_unknown", 504, OutcomeUnknown, None, "the order may have been run; its answer was not received";
    /// The deadline passed before the request was started.
    DeadlineNotRun = "deadline_before_start", 504, NotRun, SOON, "the deadline passed before the request was started";
    /// The deadline passed while the request was running.
    DeadlineRan = "deadline_while_running", 504, Ran, None, "the deadline passed while the request was running";
    /// The generation was lost after tokens were delivered.
    GenerationLost = "generation_lost", 502, Ran, None, "the generation was lost and cannot be resumed";
    /// The backend server failed, nothing was delivered, and the retry budget is used up.
    BackendFailed = "backend_failed", 502, OutcomeUnknown, SOON, "the backend server failed";
    /// The request was cancelled by its caller.
    Cancelled = "cancelled", 499, Ran, None, "the request was cancelled";
    /// Defect in this system.
    Internal = "internal", 500, OutcomeUnknown, None, "internal error";
}

impl ErrorKind {
    /// Gets the row of the error table.
    pub fn descriptor(self) -> &'static ErrorDescriptor {
        &ERROR_TABLE[self as usize]
    }
}

/// An error for the caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServeError {
    /// Kind of the error, which determines the answer.
    pub kind: ErrorKind,
    /// Further text for the caller. Must not contain data of another customer.
    pub detail: Option<String>,
}

impl ServeError {
    /// Creates an error with a detail.
    pub fn with_detail(kind: ErrorKind, detail: impl Into<String>) -> Self {
        Self { kind, detail: Some(detail.into()) }
    }
}

impl From<ErrorKind> for ServeError {
    fn from(kind: ErrorKind) -> Self {
        Self { kind, detail: None }
    }
}

impl fmt::Display for ServeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.kind.descriptor().message)?;
        match &self.detail {
            Some(detail) => write!(f, ": {detail}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ServeError {}
