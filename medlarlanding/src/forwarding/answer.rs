//! Answers to callers and their bodies.

use std::convert::Infallible;
use std::time::Duration;

use crate::answer_body::AnswerBody;
use medlarlanding_platform::headers;

use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Response, StatusCode};

/// Answer to a caller.
pub type CallerAnswer = Response<AnswerBody>;
/// Result of a service function; faults are answers too.
pub type AnswerResult = Result<CallerAnswer, Infallible>;

/// Why this system answers a request itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OwnAnswer {
    /// No configuration is in force yet.
    NotConfigured,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The body exceeds the limit.
    BodyTooLarge,
    /// The request cannot be read.
    Malformed,
    /// No server can take the request; it has not run and never will.
    NoServer,
    /// Every server that was asked refused; it has not run and never will.
    ServersFull,
    /// Engines are full and other runs go first; it has not run and never will.
    Overloaded,
    /// The process stops before the request could finish; it has not run and never will.
    Stopping,
    /// The process holds too many request bodies; it has not run and never will.
    OutOfMemory,
    /// The time ran out before the request was sent; it has not run and never will.
    LateUnsent,
    /// The time ran out after the request was sent; it may have run.
    LateSent,
    /// The server's answer was lost or unusable; the request may have run.
    AnswerLost,
}

impl OwnAnswer {
    /// Status of the answer.
    pub fn status(self) -> StatusCode {
        match self {
            Self::NotConfigured
            | Self::NoServer
            | Self::ServersFull
            | Self::Overloaded
            | Self::Stopping
            | Self::OutOfMemory
            | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::UnknownKey => StatusCode::UNAUTHORIZED,
            Self::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::Malformed => StatusCode::BAD_REQUEST,
            Self::LateSent => StatusCode::GATEWAY_TIMEOUT,
            Self::AnswerLost => StatusCode::BAD_GATEWAY,
        }
    }

    /// Name in logs, metrics and the body of the answer.
    pub fn code(self) -> &'static str {
        match self {
            Self::NotConfigured => "not_configured",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::BodyTooLarge => "body_too_large",
            Self::Malformed => "malformed",
            Self::NoServer => "no_server",
            Self::ServersFull => "servers_full",
            Self::Overloaded => "overloaded",
            Self::Stopping => "stopping",
            Self::OutOfMemory => "out_of_memory",
            Self::LateUnsent => "late_unsent",
            Self::LateSent => "late_sent",
            Self::AnswerLost => "answer_lost",
        }
    }

    /// Makes the answer. `retry_after` is sent with refusals of requests that have not run.
    pub fn answer(self, request_id: &str, retry_after: Option<Duration>) -> CallerAnswer {
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

/// Makes an answer from a server's status, headers and body.
pub fn pass_on(status: StatusCode, server: &HeaderMap, body: AnswerBody) -> CallerAnswer {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    *response.headers_mut() = headers::answer_headers(server);
    response
}
