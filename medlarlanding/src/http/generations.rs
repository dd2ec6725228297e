//! Handlers that start, resume and cancel generations.

use std::sync::Arc;
use std::time::Duration;

use super::callers::{CallerContext, CallerRequest, InboundRequest};
use super::request_body::parse_json;
use super::responses::{CallerResponse, build_response, json_response, with_request_id};
use crate::answer_body::{AnswerBody, StreamPiece};
use crate::backends::engine::{self, GenerationRequest};
use crate::delivery::permit::RequestPermit;
use crate::delivery::sink::{CallerSink, EVENT_QUEUE, WholeResponse};
use crate::delivery::task::{DeliveryPlan, DeliveryTask};
use crate::gate::RequestGuard;
use medlarlanding_core::admission::{AdmissionRequest, AdoptedWork};
use medlarlanding_core::config::{DeliveryMode, RouteKey};
use medlarlanding_core::generations::{GenerationSession, SessionInput, SessionParams};
use medlarlanding_core::handles::ResumeHandle;
use medlarlanding_core::ids::{RequestId, stable_hash};
use medlarlanding_core::prompts::{PartId, PromptParts, PromptVerdict};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use hyper::body::Incoming;
use hyper::header::{CACHE_CONTROL, HeaderValue};
use hyper::{HeaderMap, StatusCode};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

const ENDPOINT: &str = "generations";
/// Number of leading characters of a prompt that are hashed as its cacheable prefix.
const PREFIX_CHARS: usize = 256;
/// Bytes per token, for estimating the length of a prompt before it is tokenised.
const BYTES_PER_TOKEN: usize = 4;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationBody {
    prompt: String,
    delivery: Option<DeliveryMode>,
    max_tokens: Option<u32>,
    deadline_ms: Option<u64>,
    priority: Option<u8>,
}

/// Point at which the stream of a running generation is resumed.
struct ResumePoint {
    handle: ResumeHandle,
    /// Last token that the caller has; 0 for none.
    after: u64,
}

/// Handles `POST /v1/desks/{desk}/generations`: starts a generation, or resumes the one that the
/// header `Last-Event-ID` names.
pub async fn start(context: &CallerContext, request: InboundRequest) -> CallerResponse {
    let (accepted, headers, payload) = match context.authenticate_with_body(request, ENDPOINT).await
    {
        Ok(accepted) => accepted,
        Err(refusal) => return refusal,
    };
    let id = accepted.id;
    let served = match last_event_id(&headers) {
        Some(text) => {
            context.discard(payload).await;
            let handle = text.rsplit_once('.').map_or(text, |(handle, _)| handle);
            resume_stream(context, accepted, handle, Some(text)).await
        },
        None => start_new(context, accepted, payload).await,
    };
    served.unwrap_or_else(|error| context.refuse_uncounted(&error, id))
}

/// Handles `GET /v1/desks/{desk}/generations/{handle}`.
pub async fn resume(
    context: &CallerContext,
    request: InboundRequest,
    handle: &str,
) -> CallerResponse {
    let accepted = match context.authenticate(&request.headers, &request.desk, ENDPOINT) {
        Ok(accepted) => accepted,
        Err(error) => return context.refuse(ENDPOINT, &error, None),
    };
    let id = accepted.id;
    let last_event = last_event_id(&request.headers);
    let served = resume_stream(context, accepted, handle, last_event).await;
    served.unwrap_or_else(|error| context.refuse_uncounted(&error, id))
}

/// Handles `DELETE /v1/desks/{desk}/generations/{handle}`.
pub async fn cancel(
    context: &CallerContext,
    request: InboundRequest,
    handle: &str,
) -> CallerResponse {
    let accepted = match context.authenticate(&request.headers, &request.desk, ENDPOINT) {
        Ok(accepted) => accepted,
        Err(error) => return context.refuse(ENDPOINT, &error, None),
    };
    let handle = match verify_handle(context, &accepted, handle) {
        Ok(handle) => handle,
        Err(error) => return context.refuse(ENDPOINT, &error, Some(accepted.id)),
    };
    let address = context.shared.server_address(handle.server);
    let cancelled = match address {
        Some(address) => {
            let generation = &handle.generation;
            engine::cancel(address, generation, engine::ANY_ATTACHMENT).await
        },
        None => Ok(()),
    };
    match cancelled {
        Ok(()) => {
            context.shared.count_result(ENDPOINT, "cancelled");
            json_response(StatusCode::OK, &json!({"cancelled": true}))
        },
        Err(_) => {
            let error = ServeError::from(ErrorKind::BackendFailed);
            context.refuse(ENDPOINT, &error, Some(accepted.id))
        },
    }
}

fn last_event_id(headers: &HeaderMap) -> Option<&str> {
    headers.get("last-event-id").and_then(|value| value.to_str().ok())
}

/// Verifies a handle's signature and that it belongs to the customer and the desk.
fn verify_handle(
    context: &CallerContext,
    accepted: &CallerRequest,
    text: &str,
) -> Result<ResumeHandle> {
    let access = &accepted.access;
    context
        .shared
        .signer
        .open_handle(text)
        .filter(|handle| handle.customer == access.customer().id)
        .filter(|handle| handle.desk == access.desk().id)
        .ok_or_else(|| ErrorKind::NotFound.into())
}

async fn start_new(
    context: &CallerContext,
    accepted: CallerRequest,
    payload: Incoming,
) -> Result<CallerResponse> {
    let reading = async {
        let (guard, body) = context.admit(payload).await?;
        let body: GenerationBody = parse_json(&body)?;
        let route = accepted.access.desk().generations.ok_or(ErrorKind::NotFound)?;
        let parts = prompt_parts(&accepted, &body.prompt);
        let is_trial = match context.shared.admit_prompt(accepted.id, &parts) {
            PromptVerdict::Free => false,
            PromptVerdict::Trial(_) => true,
            PromptVerdict::Refused(blocked) => return Err(blocked.error_kind().into()),
        };
        Ok((guard, body, route, parts, is_trial))
    };
    let (guard, body, route, parts, is_trial) =
        reading.await.inspect_err(|error| context.count_refusal(ENDPOINT, error, accepted.id))?;
    let delivery = body.delivery.unwrap_or(accepted.access.desk().delivery);
    let request = admission_request(context, &accepted, route, &body);
    let generation = generation_request(&accepted, route, &body, &request, context);
    let session = session(context, &accepted, delivery, request.deadline);
    let permit = RequestPermit::request(context.shared.clone(), request);
    let plan = DeliveryPlan { is_trial, ..plan(&accepted, Some(Arc::new(generation)), 0, parts) };
    deliver(context, plan, session, permit, guard, delivery, None).await
}

async fn resume_stream(
    context: &CallerContext,
    accepted: CallerRequest,
    handle: &str,
    last_event: Option<&str>,
) -> Result<CallerResponse> {
    let point = resume_point(context, &accepted, handle, last_event);
    let admitted = point.and_then(|point| Ok((point, context.shared.gate.admit()?)));
    let (point, guard) =
        admitted.inspect_err(|error| context.count_refusal(ENDPOINT, error, accepted.id))?;
    let route = accepted.access.desk().generations.ok_or(ErrorKind::NotFound)?;
    let body = GenerationBody {
        prompt: String::new(),
        delivery: Some(DeliveryMode::Stream),
        max_tokens: None,
        deadline_ms: None,
        priority: None,
    };
    let request = admission_request(context, &accepted, route, &body);
    let session = session(context, &accepted, DeliveryMode::Stream, request.deadline);
    let server = point.handle.server;
    let decoded = u32::try_from(point.after).unwrap_or(u32::MAX);
    let work = AdoptedWork { request, server, decoded };
    let permit = RequestPermit::adopt(context.shared.clone(), work);
    let plan = plan(&accepted, None, point.after, PromptParts::default());
    let adopt =
        SessionInput::Adopt { server, generation: point.handle.generation, after: point.after };
    deliver(context, plan, session, permit, guard, DeliveryMode::Stream, Some(adopt)).await
}

fn resume_point(
    context: &CallerContext,
    accepted: &CallerRequest,
    handle: &str,
    last_event: Option<&str>,
) -> Result<ResumePoint> {
    let verified = verify_handle(context, accepted, handle)?;
    let after = match last_event {
        None => 0,
        Some(text) => {
            let (named, seq) = text.rsplit_once('.').ok_or(ErrorKind::BadRequest)?;
            if named != handle {
                return Err(ErrorKind::NotFound.into());
            }
            seq.parse().map_err(|_| ErrorKind::BadRequest)?
        },
    };
    Ok(ResumePoint { handle: verified, after })
}

fn plan(
    accepted: &CallerRequest,
    generation: Option<Arc<GenerationRequest>>,
    after: u64,
    parts: PromptParts,
) -> DeliveryPlan {
    DeliveryPlan {
        request: accepted.id,
        customer: accepted.access.customer().id,
        desk: accepted.access.desk().id,
        generation,
        after,
        parts,
        is_trial: false,
    }
}

fn session(
    context: &CallerContext,
    accepted: &CallerRequest,
    delivery: DeliveryMode,
    deadline: Timestamp,
) -> GenerationSession {
    let grace = Duration::from_millis(context.shared.settings.limits.resume_grace_ms);
    // A whole delivery cannot be resumed, so it is not kept after its caller disconnects.
    let caller_grace = match delivery {
        DeliveryMode::Stream => grace,
        DeliveryMode::Whole => Duration::ZERO,
    };
    let params = SessionParams { caller_grace, ..SessionParams::default() };
    GenerationSession::new(accepted.id, delivery, deadline, params)
}

fn admission_request(
    context: &CallerContext,
    accepted: &CallerRequest,
    route: RouteKey,
    body: &GenerationBody,
) -> AdmissionRequest {
    let access = &accepted.access;
    let (desk, customer) = (access.desk(), access.customer());
    let deadline =
        body.deadline_ms.map_or(desk.deadline, |ms| desk.deadline.min(Duration::from_millis(ms)));
    AdmissionRequest {
        request: accepted.id,
        route: access.route(route).id,
        candidates: access.servers(route).map(|server| server.id).collect(),
        customer: customer.id,
        share: customer.share,
        open_limit: customer.open_limit,
        prompt_tokens: u32::try_from(body.prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
        max_tokens: body.max_tokens.map_or(desk.max_tokens, |wanted| wanted.min(desk.max_tokens)),
        priority: body.priority.map_or(desk.priority, |wanted| wanted.min(desk.priority)),
        objective: desk.objective,
        deadline: context.shared.clock.now() + deadline,
        prefix: Some(prefix_hash(accepted, &body.prompt)),
    }
}

/// Splits a prompt into parts of `PREFIX_CHARS` characters, which other prompts of the customer may
/// share, and the prompt as a whole.
fn prompt_parts(accepted: &CallerRequest, prompt: &str) -> PromptParts {
    let customer = accepted.access.customer().id.0.to_le_bytes();
    let part = |text: &str| {
        let mut bytes = customer.to_vec();
        bytes.extend_from_slice(text.as_bytes());
        PartId(stable_hash(&bytes))
    };
    let mut parts = Vec::new();
    let mut rest = prompt;
    while let Some((end, _)) = rest.char_indices().nth(PREFIX_CHARS) {
        let (beginning, others) = rest.split_at(end);
        parts.push(part(beginning));
        rest = others;
    }
    parts.push(part(prompt));
    PromptParts::new(parts)
}

/// Hashes the prompt's prefix together with the customer id. Customers thus share no cache
/// entries, so the time to the first token does not reveal the prompts of another customer.
fn prefix_hash(accepted: &CallerRequest, prompt: &str) -> u64 {
    let end = prompt.char_indices().nth(PREFIX_CHARS).map_or(prompt.len(), |(at, _)| at);
    let mut bytes = accepted.access.customer().id.0.to_le_bytes().to_vec();
    bytes.extend_from_slice(&prompt.as_bytes()[..end]);
    stable_hash(&bytes)
}

fn generation_request(
    accepted: &CallerRequest,
    route: RouteKey,
    body: &GenerationBody,
    request: &AdmissionRequest,
    context: &CallerContext,
) -> GenerationRequest {
    let model = accepted.access.route(route).model.as_ref();
    GenerationRequest {
        model: model.map(|model| model.model.clone()).unwrap_or_default(),
        version: model.map(|model| model.version.clone()).unwrap_or_default(),
        prompt: body.prompt.clone(),
        prompt_tokens: u64::from(request.prompt_tokens),
        max_tokens: u64::from(request.max_tokens),
        priority: request.priority,
        deadline_ms: request.deadline.since(context.shared.clock.now()).as_millis() as u64,
        prefix: format!("{:016x}", request.prefix.unwrap_or_default()),
    }
}

async fn deliver(
    context: &CallerContext,
    plan: DeliveryPlan,
    session: GenerationSession,
    permit: RequestPermit,
    guard: RequestGuard,
    delivery: DeliveryMode,
    initial: Option<SessionInput>,
) -> Result<CallerResponse> {
    let shared = context.shared.clone();
    let request = plan.request;
    let spawn = |sink| {
        let task = DeliveryTask::new(shared, plan, session, permit, sink, guard);
        tokio::task::spawn_local(task.run(initial));
    };
    match delivery {
        DeliveryMode::Whole => {
            let (sender, receiver) = oneshot::channel();
            spawn(CallerSink::Whole(Some(sender)));
            let whole = receiver.await.map_err(|_| ErrorKind::Internal)??;
            Ok(whole_response(&whole, request))
        },
        DeliveryMode::Stream => {
            let (head, status) = oneshot::channel();
            let (events, receiver) = mpsc::channel(EVENT_QUEUE);
            spawn(CallerSink::Stream { head: Some(head), events });
            status.await.map_err(|_| ErrorKind::Internal)??;
            Ok(stream_response(receiver, request))
        },
    }
}

fn whole_response(whole: &WholeResponse, request: RequestId) -> CallerResponse {
    let document = json!({
        "generation": whole.handle,
        "text": whole.text,
        "tokens": whole.tokens,
        "finish": whole.finish.as_str(),
    });
    with_request_id(json_response(StatusCode::OK, &document), request)
}

fn stream_response(pieces: mpsc::Receiver<StreamPiece>, request: RequestId) -> CallerResponse {
    let body = AnswerBody::Streamed { pieces, _task: None };
    let mut response =
        with_request_id(build_response(StatusCode::OK, "text/event-stream", body), request);
    response.headers_mut().insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}
