//! Answers for refused requests, from the error table.

use crate::answer_body::AnswerBody;
use medlarlanding_core::ServeError;
use medlarlanding_core::ids::RequestId;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

/// Header that carries the id of the request, for `medlarlanding dump --request`.
pub const REQUEST_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Answer to a caller or an operator.
pub type CallerResponse = Response<AnswerBody>;

/// Builds an answer with a content type.
pub fn answer(status: StatusCode, content_type: &'static str, body: AnswerBody) -> CallerResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds an answer that is one JSON document.
pub fn json_answer(status: StatusCode, document: &impl Serialize) -> CallerResponse {
    match serde_json::to_vec(document) {
        Ok(text) => answer(status, "application/json", AnswerBody::whole(text)),
        Err(error) => {
            log::error!("an answer cannot be written as JSON: {error}");
            empty_answer(StatusCode::INTERNAL_SERVER_ERROR)
        },
    }
}

/// Builds an answer without body.
pub fn empty_answer(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

/// Names the request in an answer.
pub fn with_request(mut response: CallerResponse, request: RequestId) -> CallerResponse {
    set_header(&mut response, REQUEST_HEADER, &request.to_string());
    response
}

/// Sets a header whose value is made of visible ASCII characters.
fn set_header(response: &mut CallerResponse, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            response.headers_mut().insert(name, value);
        },
        Err(error) => log::error!("header {name} was left out: {error}"),
    }
}

/// Builds the JSON text of a refusal.
pub fn refusal_json(error: &ServeError, request: Option<RequestId>) -> serde_json::Value {
    let descriptor = error.kind.descriptor();
    json!({
        "error": {
            "kind": descriptor.code,
            "run": descriptor.run.as_str(),
            "message": error.to_string(),
            "request": request.map(|request| request.to_string()),
        }
    })
}

/// Builds the HTTP answer of a refusal.
pub fn refusal(error: &ServeError, request: Option<RequestId>) -> CallerResponse {
    let descriptor = error.kind.descriptor();
    let status =
        StatusCode::from_u16(descriptor.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_answer(status, &refusal_json(error, request));
    if let Some(delay) = descriptor.retry_after {
        set_header(&mut response, RETRY_AFTER, &delay.as_secs().max(1).to_string());
    }
    if let Some(request) = request {
        set_header(&mut response, REQUEST_HEADER, &request.to_string());
    }
    if status == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
