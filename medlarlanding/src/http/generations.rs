//! Generations: start, resume, cancel, delivery as a stream or whole.

use medlarlanding_core::config::{DeliveryMode, ServerConfig, ServerState};
use medlarlanding_core::handles::ResumeHandle;
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use ntex::util::Bytes;
use ntex::web::types::Payload;
use ntex::web::{HttpRequest, HttpResponse};
use rand::seq::IndexedRandom;
use serde::Deserialize;
use serde_json::json;
use tokio::sync::mpsc;

use crate::backends::engine::{EngineItem, EngineStream, GenerationOrder, OpenFault};

use super::answers::refusal_json;
use super::callers::{CallerContext, CallerRequest, Context};
use super::reading::parse_json;

const ENDPOINT: &str = "generations";

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct GenerationBody {
    prompt: String,
    delivery: Option<DeliveryMode>,
    max_tokens: Option<u32>,
    deadline_ms: Option<u64>,
    priority: Option<u8>,
}

/// Handles `POST /v1/desks/{desk}/generations`.
pub async fn start(request: HttpRequest, payload: Payload, context: Context) -> HttpResponse {
    let accepted = match context.accept(&request) {
        Ok(accepted) => accepted,
        Err(error) => return context.refuse(ENDPOINT, &error, None),
    };
    let id = accepted.id;
    match serve(&context, accepted, payload).await {
        Ok(response) => response,
        Err(error) => context.refuse(ENDPOINT, &error, Some(id)),
    }
}

async fn serve(
    context: &CallerContext,
    accepted: CallerRequest,
    payload: Payload,
) -> Result<HttpResponse> {
    let guard = context.shared.gate.enter()?;
    let body = context.read(payload).await?;
    let body: GenerationBody = parse_json(&body)?;
    let access = &accepted.access;
    let route = access.desk().generations.ok_or(ErrorKind::NotFound)?;
    let model = access.route(route).model.as_ref().ok_or(ErrorKind::Internal)?;
    let servers: Vec<&ServerConfig> =
        access.servers(route).filter(|server| server.state == ServerState::Live).collect();
    let server = *servers.choose(&mut rand::rng()).ok_or(ErrorKind::NoBackend)?;
    let deadline = access.desk().deadline.as_millis() as u64;
    let order = GenerationOrder {
        request: accepted.id.to_string(),
        model: &model.model,
        version: &model.version,
        prompt: &body.prompt,
        prompt_tokens: body.prompt.len() as u64 / 4 + 1,
        max_tokens: u64::from(body.max_tokens.unwrap_or(u32::MAX).min(access.desk().max_tokens)),
        priority: body.priority.unwrap_or(access.desk().priority).min(9),
        deadline_ms: body.deadline_ms.unwrap_or(deadline).min(deadline),
        prefix: format!("{:016x}", stable_hash(body.prompt.as_bytes())),
    };
    let mut stream = EngineStream::start(&context.client, server.address, &order, None)
        .await
        .map_err(|fault| open_error(&fault))?;
    let handle = context.shared.signer.sign_handle(&ResumeHandle {
        customer: access.customer().id,
        desk: access.desk().id,
        server: server.id,
        generation: stream.generation.clone(),
    });
    let delivery = body.delivery.unwrap_or(access.desk().delivery);
    if delivery == DeliveryMode::Whole {
        let mut text = String::new();
        loop {
            match stream.next().await.map_err(|_| ServeError::from(ErrorKind::BackendFailed))? {
                EngineItem::Token { text: piece, .. } => text.push_str(&piece),
                EngineItem::End { tokens, finish, .. } => {
                    return Ok(HttpResponse::Ok().json(&json!({
                        "generation": handle, "text": text, "tokens": tokens, "finish": finish,
                    })));
                },
            }
        }
    }
    let (sender, mut receiver) = mpsc::channel::<Bytes>(16);
    ntex::rt::spawn(async move {
        let _guard = guard;
        loop {
            let event = match stream.next().await {
                Ok(EngineItem::Token { seq, text, .. }) => {
                    format!("event: token\nid: {handle}.{seq}\ndata: {}\n\n", json!({"text": text}))
                },
                Ok(EngineItem::End { tokens, finish, .. }) => {
                    let data = json!({"tokens": tokens, "finish": finish});
                    let _ = sender.send(Bytes::from(format!("event: end\ndata: {data}\n\n"))).await;
                    return;
                },
                Err(_) => {
                    let data = refusal_json(&ErrorKind::GenerationLost.into(), None);
                    let _ =
                        sender.send(Bytes::from(format!("event: error\ndata: {data}\n\n"))).await;
                    return;
                },
            };
            if sender.send(Bytes::from(event)).await.is_err() {
                return;
            }
        }
    })
    .detach();
    let body = futures_util::stream::poll_fn(move |cx| {
        receiver.poll_recv(cx).map(|chunk| chunk.map(Ok::<_, std::io::Error>))
    });
    Ok(HttpResponse::Ok().content_type("text/event-stream").streaming(body))
}

fn open_error(fault: &OpenFault) -> ServeError {
    match fault {
        OpenFault::Exchange(_) | OpenFault::Refused(_) => ErrorKind::BackendFailed.into(),
        OpenFault::Gone => ErrorKind::GenerationLost.into(),
    }
}

/// Handles `GET /v1/desks/{desk}/generations/{handle}`.
pub async fn resume(_request: HttpRequest, _context: Context) -> HttpResponse {
    super::callers::not_found().await
}

/// Handles `DELETE /v1/desks/{desk}/generations/{handle}`.
pub async fn cancel(_request: HttpRequest, context: Context) -> HttpResponse {
    let _ = &context.client;
    super::callers::not_found().await
}
