//! Serves operators: metrics, dumps and the probes of liveness and readiness.

use super::responses::{CallerResponse, build_response, empty_response, json_response};
use crate::answer_body::AnswerBody;
use crate::instance::InstanceShared;

use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};

const METRICS_TYPE: &str = "text/plain; version=0.0.4";

/// Serves one request.
pub fn serve(shared: &InstanceShared, request: &Request<Incoming>) -> CallerResponse {
    let is_read = request.method() == Method::GET;
    match request.uri().path() {
        "/metrics" | "/dump" | "/livez" | "/readyz" if !is_read => {
            empty_response(StatusCode::METHOD_NOT_ALLOWED)
        },
        "/metrics" => metrics(shared),
        "/dump" => {
            let query = request.uri().query().unwrap_or_default();
            json_response(StatusCode::OK, &shared.dump(query.strip_prefix("request=")))
        },
        "/livez" => text(StatusCode::OK, "live\n"),
        "/readyz" => ready(shared),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn text(status: StatusCode, body: impl Into<String>) -> CallerResponse {
    let mut response = CallerResponse::new(AnswerBody::whole(body.into()));
    *response.status_mut() = status;
    response
}

fn metrics(shared: &InstanceShared) -> CallerResponse {
    match shared.metrics.render() {
        Ok(rendered) => build_response(StatusCode::OK, METRICS_TYPE, AnswerBody::whole(rendered)),
        Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn ready(shared: &InstanceShared) -> CallerResponse {
    if shared.gate.draining() {
        text(StatusCode::SERVICE_UNAVAILABLE, "draining\n")
    } else if !shared.is_ready() {
        text(StatusCode::SERVICE_UNAVAILABLE, "no current configuration in effect\n")
    } else {
        text(StatusCode::OK, "ready\n")
    }
}
