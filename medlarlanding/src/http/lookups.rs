//! Handler of idempotent look-ups, which are sent to backend services.

use std::time::Duration;

use super::callers::{CallerContext, CallerRequest, InboundRequest};
use super::request_body::parse_json;
use super::responses::{CallerResponse, build_response, with_request_id};
use crate::answer_body::AnswerBody;
use crate::backends::service::{self, ServiceResponse};
use crate::trace::TraceStep;
use medlarlanding_core::config::ServerState;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::{ErrorKind, Result};

use hyper::StatusCode;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use serde_json::Value;

const ENDPOINT: &str = "lookups";
/// The timeout of one attempt is the remaining time divided by this number, so that time is left
/// for another server if one does not respond.
const ATTEMPT_DIVISOR: u32 = 3;

/// Handles `POST /v1/desks/{desk}/lookups`.
pub async fn look_up(context: &CallerContext, request: InboundRequest) -> CallerResponse {
    let (accepted, _, payload) = match context.authenticate_with_body(request, ENDPOINT).await {
        Ok(accepted) => accepted,
        Err(refusal) => return refusal,
    };
    match serve(context, &accepted, payload).await {
        Ok(response) => {
            context.shared.count_result(ENDPOINT, "whole");
            forward_response(&response, accepted.id)
        },
        Err(error) => context.refuse(ENDPOINT, &error, Some(accepted.id)),
    }
}

/// Builds the response to the caller from the response of a backend service.
pub fn forward_response(response: &ServiceResponse, request: RequestId) -> CallerResponse {
    let status = StatusCode::from_u16(response.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = AnswerBody::whole(response.body.clone());
    with_request_id(build_response(status, "application/json", body), request)
}

async fn serve(
    context: &CallerContext,
    accepted: &CallerRequest,
    payload: Incoming,
) -> Result<ServiceResponse> {
    let (_guard, body) = context.admit(payload).await?;
    parse_json::<Value>(&body)?;
    let access = &accepted.access;
    let route = access.desk().lookups.ok_or(ErrorKind::NotFound)?;
    let mut servers: Vec<_> = access
        .servers(route)
        .filter(|server| server.state == ServerState::Live)
        .filter(|server| !context.shared.server_leaving(server.id))
        .collect();
    servers.shuffle(&mut rand::rng());
    let deadline = context.shared.clock.now() + access.desk().deadline;
    let mut last = ErrorKind::NoBackend;
    for (attempt, server) in servers.iter().enumerate() {
        if attempt > 0 && !context.shared.spend_retry() {
            break;
        }
        let remaining = deadline.since(context.shared.clock.now());
        if remaining < Duration::from_millis(1) {
            return Err(ErrorKind::DeadlineNotRun.into());
        }
        let timeout = remaining / ATTEMPT_DIVISOR;
        context.shared.trace(accepted.id, TraceStep::Sent { server: server.name.clone() });
        match service::look_up(server.address, &body, timeout).await {
            Ok(response) if response.status < 500 => {
                context.shared.credit_retry_budget();
                return Ok(response);
            },
            // A look-up is idempotent, so it may run again on another server.
            Ok(_) => last = ErrorKind::BackendFailed,
            Err(fault) => {
                context.shared.suspect_server(server.id, fault.name());
                last = ErrorKind::BackendFailed;
            },
        }
    }
    Err(last.into())
}
