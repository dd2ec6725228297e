//! Answers to callers and their bodies.

use std::convert::Infallible;
use std::time::Duration;

use crate::answer_body::AnswerBody;
use medlarlanding_platform::headers;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;
/// Result of an HTTP service function, which never fails: errors are sent as answers too.
pub type AnswerResult = Result<CallerAnswer, Infallible>;

/// Error with which this instance answers a request itself, without a server's answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ErrorAnswer {
    /// No configuration is in force yet; the request has not run and never will.
    NotConfigured,
    /// No route matches the host and path.
    NoRoute,
    /// The customer key is missing or unknown.
    UnknownKey,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The request is invalid or its body could not be read.
    Malformed,
    /// The request uses HTTP/1.0, in which a caller cannot tell a cut stream from a complete one.
    OldVersion,
    /// No server accepts requests; the request has not run and never will.
    NoServer,
    /// Every server that was tried refused or could not be reached, or the budget for repeats is
    /// used up; the request has not run and never will.
    ServersFull,
    /// No engine had room, because other runs are served first or the wait became too long; the
    /// request has not run and never will.
    Overloaded,
    /// Engines ended when they wrote on a part of the prompt; the request has not run and never will.
    FatalPrompt,
    /// Engines ended when they wrote on a part of the prompt that runs survived before; the request has
    /// not run and never will.
    SuspectPrompt,
    /// The process would stop before the request finishes; it has not run and never will.
    Stopping,
    /// The process holds too many bytes of request bodies; the request has not run and never will.
    OutOfMemory,
    /// The deadline passed before the request was sent; it has not run and never will.
    LateUnsent,
    /// The deadline passed after the request was sent; it may have run.
    LateSent,
    /// The server's answer was lost or cannot be used; the request may have run.
    AnswerLost,
}

impl ErrorAnswer {
    /// Returns the status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured
            | Self::NoServer
            | Self::ServersFull
            | Self::Overloaded
            | Self::FatalPrompt
            | Self::SuspectPrompt
            | Self::Stopping
            | Self::OutOfMemory
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::OldVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::LateSent => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Returns the name used in logs, metrics and the body of the answer.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::Malformed => "malformed",
            Self::OldVersion => "old_version",
            Self::NoServer => "no_server",
            Self::ServersFull => "servers_full",
            Self::Overloaded => "overloaded",
            Self::FatalPrompt => "fatal_prompt",
            Self::SuspectPrompt => "suspect_prompt",
            Self::Stopping => "stopping",
            Self::OutOfMemory => "out_of_memory",
            Self::LateUnsent => "late_unsent",
            Self::LateSent => "late_sent",
            Self::AnswerLost => "answer_lost",
        }
    }

    /// Builds the answer. `retry_after` is sent only with status 503, that of requests which have
    /// not run but could run later.
    pub fn to_answer(self, request_id: &str, retry_after: Option<Duration>) -> CallerAnswer {
        let status = self.status();
        let body = format!("{{\"error\":\"{}\"}}\n", self.code());
        let mut response = Response::new(AnswerBody::whole(body));
        *response.status_mut() = status;
        let answer_headers = response.headers_mut();
        answer_headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        headers::echo_request_id(answer_headers, request_id);
        if let Some(delay) = retry_after.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE) {
            let text = format!("{:.2}", delay.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&text) {
                answer_headers.insert(RETRY_AFTER, value);
            }
        }
        response
    }
}

/// Builds the answer to the caller from a server's status, headers and body.
pub fn forward_answer(status: StatusCode, server: &HeaderMap, body: AnswerBody) -> CallerAnswer {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers::answer_headers(server);
    response
}
