//! Answers for refused requests, from the error table.

use medlarlanding_core::ServeError;
use medlarlanding_core::ids::RequestId;

use ntex::http::StatusCode;
use ntex::web::HttpResponse;
use serde_json::json;

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
pub fn refusal(error: &ServeError, request: Option<RequestId>) -> HttpResponse {
    let descriptor = error.kind.descriptor();
    let status =
        StatusCode::from_u16(descriptor.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = HttpResponse::build(status);
    if let Some(delay) = descriptor.retry_after {
        response.header("retry-after", delay.as_secs().max(1).to_string());
    }
    if descriptor.status == 401 {
        response.header("www-authenticate", "Bearer");
    }
    response.json(&refusal_json(error, request))
}
