//! Builders of HTTP responses, including those to refused requests.

use crate::answer_body::AnswerBody;
use medlarlanding_core::ServeError;
use medlarlanding_core::ids::RequestId;

use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER, WWW_AUTHENTICATE};
use hyper::{Response, StatusCode};
use serde::Serialize;
use serde_json::json;

/// Header with the request id, which `medlarlanding dump --request` takes.
pub const REQUEST_ID_HEADER: HeaderName = HeaderName::from_static("x-request-id");

/// Response to a caller or an operator.
pub type CallerResponse = Response<AnswerBody>;

/// Builds a response with a content type.
pub fn build_response(
    status: StatusCode,
    content_type: &'static str,
    body: AnswerBody,
) -> CallerResponse {
    let mut response = Response::new(body);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Builds a response of one JSON document.
pub fn json_response(status: StatusCode, document: &impl Serialize) -> CallerResponse {
    match serde_json::to_vec(document) {
        Ok(text) => build_response(status, "application/json", AnswerBody::whole(text)),
        Err(error) => {
            log::error!("cannot serialize a response with status {status} as JSON: {error}");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        },
    }
}

/// Builds a response without a body.
pub fn empty_response(status: StatusCode) -> CallerResponse {
    let mut response = Response::new(AnswerBody::Whole(None));
    *response.status_mut() = status;
    response
}

/// Adds the request id to a response.
pub fn with_request_id(mut response: CallerResponse, request: RequestId) -> CallerResponse {
    set_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
    response
}

/// Sets a header. A value that is not visible ASCII is logged and omitted.
fn set_header(response: &mut CallerResponse, name: HeaderName, value: &str) {
    match HeaderValue::from_str(value) {
        Ok(value) => {
            response.headers_mut().insert(name, value);
        },
        Err(error) => log::error!("response header {name}: {value:?} omitted: {error}"),
    }
}

/// Builds the JSON body of the response to a refused request.
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

/// Builds the response to a refused request, as the error table describes it.
pub fn refusal_response(error: &ServeError, request: Option<RequestId>) -> CallerResponse {
    let descriptor = error.kind.descriptor();
    let status =
        StatusCode::from_u16(descriptor.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = json_response(status, &refusal_json(error, request));
    if let Some(delay) = descriptor.retry_after {
        set_header(&mut response, RETRY_AFTER, &delay.as_secs().max(1).to_string());
    }
    if let Some(request) = request {
        set_header(&mut response, REQUEST_ID_HEADER, &request.to_string());
    }
    if status == StatusCode::UNAUTHORIZED {
        response.headers_mut().insert(WWW_AUTHENTICATE, HeaderValue::from_static("Bearer"));
    }
    response
}
