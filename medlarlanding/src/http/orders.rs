//! Handlers that submit and query non-idempotent orders and mint order keys.

use std::sync::Arc;
use std::time::Duration;

use super::callers::{CallerContext, CallerRequest, InboundRequest};
use super::lookups::forward_response;
use super::request_body::parse_json;
use super::responses::{CallerResponse, json_response, with_request_id};
use crate::backends::service::{self, ServiceResponse};
use crate::exchange::ExchangeFault;
use crate::gate::RequestGuard;
use crate::instance::{DeskAccess, InstanceShared};
use crate::logging::event;
use crate::runtime::waiters::{OrderSignal, QueryResult};
use crate::trace::TraceStep;
use medlarlanding_core::config::{ServerConfig, ServerState};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::RequestId;
use medlarlanding_core::node::NodeInput;
use medlarlanding_core::orders::{
    OrderAnswer, OrderId, OrderInput, OrderKey, OrderResult, QueryId,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::{ErrorKind, Result, ServeError};

use hyper::body::Incoming;
use hyper::{HeaderMap, StatusCode};
use rand::seq::SliceRandom;
use serde_json::{Value, json};
use tokio::sync::oneshot;

const ENDPOINT: &str = "orders";
const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key in bytes. A minted key has about 100.
const KEY_LIMIT: usize = 512;
/// Timeout of a query or of minting a key.
const QUERY_TIMEOUT: Duration = Duration::from_secs(3);

/// Handles `POST /v1/desks/{desk}/orders`.
pub async fn submit(context: &CallerContext, request: InboundRequest) -> CallerResponse {
    let (accepted, headers, payload) = match context.authenticate_with_body(request, ENDPOINT).await
    {
        Ok(accepted) => accepted,
        Err(refusal) => return refusal,
    };
    let answer = match start_order(context, &accepted, &headers, payload).await {
        // The task continues if the caller disconnects, because the order may have been sent.
        Ok(answer) => answer.await.unwrap_or(OrderAnswer::Refused(ErrorKind::Internal)),
        Err(error) => return context.refuse(ENDPOINT, &error, Some(accepted.id)),
    };
    respond(context, &answer, accepted.id)
}

/// Handles `GET /v1/desks/{desk}/orders/{key}`.
pub async fn query(
    context: &CallerContext,
    request: InboundRequest,
    key: String,
) -> CallerResponse {
    let accepted = match context.authenticate(&request.headers, &request.desk, ENDPOINT) {
        Ok(accepted) => accepted,
        Err(error) => return context.refuse(ENDPOINT, &error, None),
    };
    let deadline = context.shared.clock.now() + QUERY_TIMEOUT;
    let (customer, desk) = (accepted.access.customer().id, accepted.access.desk().id);
    let result = query_node(&context.shared, |query| OrderInput::Query {
        query,
        customer,
        desk,
        key,
        deadline,
    })
    .await;
    match result {
        Some(QueryResult::Outcome(answer)) => respond(context, &answer, accepted.id),
        _ => context.refuse(ENDPOINT, &ErrorKind::NoQuorum.into(), Some(accepted.id)),
    }
}

/// Handles `POST /v1/desks/{desk}/order-keys`.
pub async fn mint(context: &CallerContext, request: InboundRequest) -> CallerResponse {
    let (accepted, _, payload) = match context.authenticate_with_body(request, ENDPOINT).await {
        Ok(accepted) => accepted,
        Err(refusal) => return refusal,
    };
    // The body is ignored, but must be read before the connection can be reused.
    let _guard = match context.admit(payload).await {
        Ok((guard, _)) => guard,
        Err(error) => return context.refuse(ENDPOINT, &error, Some(accepted.id)),
    };
    let (customer, desk) = (accepted.access.customer().id, accepted.access.desk().id);
    let result =
        query_node(&context.shared, |query| OrderInput::Mint { query, customer, desk }).await;
    match result {
        Some(QueryResult::Minted(Ok(key))) => {
            with_request_id(json_response(StatusCode::OK, &json!({ "key": key })), accepted.id)
        },
        Some(QueryResult::Minted(Err(kind))) => {
            context.refuse(ENDPOINT, &kind.into(), Some(accepted.id))
        },
        _ => context.refuse(ENDPOINT, &ErrorKind::NoQuorum.into(), Some(accepted.id)),
    }
}

/// Sends a query to the node and waits for its result.
async fn query_node(
    shared: &Arc<InstanceShared>,
    input: impl FnOnce(QueryId) -> OrderInput,
) -> Option<QueryResult> {
    let query = QueryId(shared.next_number());
    let result = shared.waiters.await_query(query);
    let _ = shared.apply(NodeInput::Order(input(query)));
    // The node responds to a query within `QUERY_TIMEOUT`; the rest is a margin for the delivery
    // of the result.
    tokio::time::timeout(QUERY_TIMEOUT * 2, result).await.ok()?.ok()
}

/// Checks an order and spawns its task. Returns the receiver of the task's answer.
async fn start_order(
    context: &CallerContext,
    accepted: &CallerRequest,
    headers: &HeaderMap,
    payload: Incoming,
) -> Result<oneshot::Receiver<OrderAnswer>> {
    let (guard, body) = context.admit(payload).await?;
    let key = idempotency_key(headers)?;
    parse_json::<Value>(&body)?;
    let access = accepted.access.clone();
    let route = access.desk().orders.ok_or(ErrorKind::NotFound)?;
    let service_checks_keys = access
        .servers(route)
        .all(|server| server.service().is_some_and(|service| service.checks_idempotency_keys));
    let deadline = context.shared.clock.now() + access.desk().deadline;
    let order = OrderId(context.shared.next_number());
    let submit = OrderInput::Submit {
        order,
        customer: access.customer().id,
        desk: access.desk().id,
        key,
        body_digest: *blake3::hash(&body).as_bytes(),
        deadline,
        service_checks_keys,
    };
    let (sender, receiver) = oneshot::channel();
    let task = OrderTask {
        shared: context.shared.clone(),
        request: accepted.id,
        order,
        access,
        body,
        deadline,
        _guard: guard,
    };
    tokio::task::spawn_local(async move {
        let answer = task.run(submit).await;
        let _ = sender.send(answer);
    });
    Ok(receiver)
}

fn idempotency_key(headers: &HeaderMap) -> Result<String> {
    let key = headers.get(KEY_HEADER).ok_or(ErrorKind::MissingKey)?;
    let key = key.to_str().unwrap_or_default();
    if key.is_empty() || key.len() > KEY_LIMIT || !key.bytes().all(|byte| byte.is_ascii_graphic()) {
        let detail = format!("{KEY_HEADER}: 1 to {KEY_LIMIT} visible ASCII characters");
        return Err(ServeError::with_detail(ErrorKind::BadRequest, detail));
    }
    Ok(key.to_owned())
}

fn respond(context: &CallerContext, answer: &OrderAnswer, request: RequestId) -> CallerResponse {
    let outcome = match answer {
        OrderAnswer::Answered { stored: false, .. } => "ran",
        OrderAnswer::Answered { .. } | OrderAnswer::AnswerLost { .. } => "stored",
        OrderAnswer::Refused(ErrorKind::OrderUnknown) => "unknown",
        OrderAnswer::Refused(_) => "refused",
    };
    context.shared.metrics.orders.with_label_values(&[outcome]).inc();
    match answer {
        OrderAnswer::Answered { status, body, .. } => {
            context.shared.count_result(ENDPOINT, "whole");
            forward_response(&ServiceResponse { status: *status, body: body.clone() }, request)
        },
        OrderAnswer::AnswerLost { status } => {
            context.shared.count_result(ENDPOINT, "whole");
            let document = json!({"run": "ran", "status": status, "answer": null});
            json_response(StatusCode::OK, &document)
        },
        OrderAnswer::Refused(kind) => context.refuse(ENDPOINT, &(*kind).into(), Some(request)),
    }
}

/// Task that runs one order until its answer is known.
struct OrderTask {
    shared: Arc<InstanceShared>,
    request: RequestId,
    order: OrderId,
    access: DeskAccess,
    body: Vec<u8>,
    deadline: Timestamp,
    _guard: RequestGuard,
}

impl OrderTask {
    async fn run(self, submit: OrderInput) -> OrderAnswer {
        let mut signals = self.shared.waiters.await_order(self.order);
        let _ = self.shared.apply(NodeInput::Order(submit));
        while let Some(signal) = signals.recv().await {
            match signal {
                OrderSignal::Run { key, fence, permit_deadline } => {
                    self.shared.trace(self.request, TraceStep::Claimed { fence });
                    let result = self.send(key, fence, permit_deadline).await;
                    let finished = OrderInput::Finished { order: self.order, result };
                    let _ = self.shared.apply(NodeInput::Order(finished));
                },
                OrderSignal::Answer(answer) => return answer,
            }
        }
        OrderAnswer::Refused(ErrorKind::Internal)
    }

    /// Sends the order to the first server that accepts a connection. Once a connection is
    /// established no other server is tried, because part of the order may have been sent.
    async fn send(&self, key: OrderKey, fence: u64, permit_deadline: Timestamp) -> OrderResult {
        let mut sent = false;
        for server in self.servers() {
            let now = self.shared.clock.now();
            if now >= permit_deadline || now >= self.deadline {
                return OrderResult::NotSent(ErrorKind::DeadlineNotRun);
            }
            if !std::mem::replace(&mut sent, true) {
                let _ = self.shared.apply(NodeInput::Order(OrderInput::Sent { order: self.order }));
            }
            let step = TraceStep::Sent { server: server.name.clone() };
            self.shared.trace(self.request, step);
            event(EventKind::OrderSent, &[&self.request, &server.name, &key]);
            let timeout = self.deadline.since(now);
            let key = key.to_string();
            let exchange =
                service::send_order(server.address, &key, fence, &self.body, timeout).await;
            match exchange {
                Ok(ServiceResponse { status, body }) => {
                    return OrderResult::Answered { status, body };
                },
                Err(fault @ ExchangeFault::NotConnected) => {
                    event(EventKind::ServerSuspected, &[&server.name, &fault.name()]);
                },
                Err(fault @ (ExchangeFault::Broken | ExchangeFault::TimedOut)) => {
                    let reason = fault.name();
                    event(EventKind::OrderUnknown, &[&self.request, &server.name, &reason]);
                    return OrderResult::Unknown;
                },
            }
        }
        OrderResult::NotSent(ErrorKind::NoBackend)
    }

    fn servers(&self) -> Vec<&ServerConfig> {
        let Some(route) = self.access.desk().orders else { return Vec::new() };
        let mut servers: Vec<_> = self
            .access
            .servers(route)
            .filter(|server| server.state == ServerState::Live)
            .filter(|server| !self.shared.server_leaving(server.id))
            .collect();
        servers.shuffle(&mut rand::rng());
        servers
    }
}
