//! Idempotent look-ups at plain services.

use std::time::Duration;

use super::answers::{CallerResponse, answer as build_answer, with_request};
use super::callers::{CallerContext, CallerRequest, InboundRequest};
use super::reading::parse_json;
use crate::answer_body::AnswerBody;
use crate::backends::service::{self, ServiceAnswer};
use crate::trace::TraceStep;
use medlarlanding_core::config::ServerState;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::{ErrorKind, Result};

use hyper::StatusCode;
use hyper::body::Incoming;
use rand::seq::SliceRandom;
use serde_json::Value;

const ENDPOINT: &str = "lookups";
/// Share of the remaining time that one attempt may take, so that a silent server leaves
/// time for another.
const ATTEMPT_FRACTION: u32 = 3;

/// Handles `POST /v1/desks/{desk}/lookups`.
pub async fn look_up(context: &CallerContext, request: InboundRequest) -> CallerResponse {
    let (accepted, _, payload) = match context.accept_body(request, ENDPOINT).await {
        Ok(accepted) => accepted,
        Err(refusal) => return refusal,
    };
    match serve(context, &accepted, payload).await {
        Ok(answer) => {
            context.shared.count_result(ENDPOINT, "whole");
            pass_on(&answer, accepted.id)
        },
        Err(error) => context.refuse(ENDPOINT, &error, Some(accepted.id)),
    }
}

/// Builds the caller's answer from a plain service's answer.
pub fn pass_on(answer: &ServiceAnswer, request: RequestId) -> CallerResponse {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let body = AnswerBody::whole(answer.body.clone());
    with_request(build_answer(status, "application/json", body), request)
}

async fn serve(
    context: &CallerContext,
    accepted: &CallerRequest,
    payload: Incoming,
) -> Result<ServiceAnswer> {
    let (_guard, body) = context.enter(payload).await?;
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
        let timeout = remaining / ATTEMPT_FRACTION;
        context.shared.trace(accepted.id, TraceStep::Sent { server: server.name.clone() });
        match service::look_up(server.address, &body, timeout).await {
            Ok(answer) if answer.status < 500 => {
                context.shared.credit_retry_budget();
                return Ok(answer);
            },
            // A look-up changes nothing, so it may run again on another server.
            Ok(_) => last = ErrorKind::BackendFailed,
            Err(fault) => {
                context.shared.suspect_server(server.id, fault.name());
                last = ErrorKind::BackendFailed;
            },
        }
    }
    Err(last.into())
}
