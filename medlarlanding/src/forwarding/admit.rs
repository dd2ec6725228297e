//! Checks a caller's request against the configuration before it is sent anywhere.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer::{AnswerResult, CallerAnswer, OwnAnswer};
use super::peer_link::PeerLink;
use super::shared::{ConfigInForce, ForwardState, SharedState};
use super::{generation, relay};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    DrainParams, EngineLimits, KeyCheck, RequestKind, RouteRule, RunWeight,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::CallerHeaders;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri};

/// Part of the process's memory that request bodies may take.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// When a caller comes back that was refused because no configuration is in force: the store
/// is asked at once after a start and answers in milliseconds.
const RETRY_NOT_CONFIGURED: Duration = Duration::from_millis(300);
/// When a caller comes back that was refused because no server takes work: a new server is known
/// here as soon as it registers.
const RETRY_NO_SERVER: Duration = Duration::from_millis(500);
/// When a caller comes back that all servers refused: early enough for the objectives of
/// generations, 1.5 to 1.8 s.
const RETRY_FULL: Duration = Duration::from_millis(250);
/// When a caller comes back whose generation found no room: bursts last 3 to 10 s on the
/// measured installations, and a generation that is refused again is lost.
const RETRY_OVERLOADED: Duration = Duration::from_secs(10);
/// Deadline of a caller that states none.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request that may be sent to a server.
pub struct AdmittedRequest {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Method of the caller.
    pub method: Method,
    /// Path and query of the caller.
    pub uri: Uri,
    /// Headers of the caller.
    pub headers: HeaderMap,
    /// Whole body of the caller.
    pub body: Bytes,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Service chosen among those of the route.
    pub service: Arc<str>,
    /// Limits of the service's engines; `None` for plain services.
    pub engine: Option<EngineLimits>,
    /// Name of the customer.
    pub customer: Option<Arc<str>>,
    /// Rank, 0 first.
    pub priority: u8,
    /// Size of the generation.
    pub weight: RunWeight,
    /// When the request's head was read.
    pub arrived_at: Timestamp,
    /// When the caller or the route stops waiting.
    pub deadline: Timestamp,
    /// Version of the configuration that admitted the request.
    pub config_version: u64,
    _memory: BodyMemory,
}

impl AdmittedRequest {
    /// Time until the deadline.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }
}

/// Bytes of a body that are held; given back when dropped.
struct BodyMemory {
    state: SharedState,
    bytes: u64,
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let held: &Cell<u64> = &self.state.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// Counts a request in progress.
struct OpenRequest(SharedState);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.telemetry.open_requests.dec();
    }
}

/// Time after which a caller that got this refusal comes back.
pub fn retry_after(answer: OwnAnswer, state: &ForwardState) -> Option<Duration> {
    let delay = match answer {
        OwnAnswer::NotConfigured => RETRY_NOT_CONFIGURED,
        OwnAnswer::NoServer => RETRY_NO_SERVER,
        OwnAnswer::ServersFull | OwnAnswer::OutOfMemory => RETRY_FULL,
        OwnAnswer::Overloaded => RETRY_OVERLOADED,
        OwnAnswer::Stopping | OwnAnswer::LateUnsent => Duration::ZERO,
        OwnAnswer::NoRoute
        | OwnAnswer::UnknownKey
        | OwnAnswer::BodyTooLarge
        | OwnAnswer::Malformed
        | OwnAnswer::LateSent
        | OwnAnswer::AnswerLost => return None,
    };
    // Callers that were refused together come back spread over half of the time.
    Some(delay.mul_f64(1.0 + state.draw() / 2.0))
}

/// Serves one request of a caller.
pub async fn serve(
    state: SharedState,
    link: Rc<PeerLink>,
    request: Request<Incoming>,
) -> AnswerResult {
    state.telemetry.open_requests.inc();
    let _open = OpenRequest(Rc::clone(&state));
    let arrived_at = state.now();
    let caller = CallerHeaders::read(request.headers());
    let id = caller.request_id.clone();
    let mut answer = match admit(&state, request, caller, arrived_at).await {
        Ok(admitted) => match admitted.rule.kind {
            RequestKind::Safe | RequestKind::Unsafe => relay::serve(&state, admitted).await,
            RequestKind::Stream => generation::serve(&state, link, admitted).await,
        },
        Err(refusal) => refuse(&state, &id, refusal),
    };
    if state.stop_time_left().is_some() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

fn refuse(state: &SharedState, id: &str, refusal: OwnAnswer) -> CallerAnswer {
    let version = state.config_version();
    event(EventKind::ForwardRefused, &[&id, &refusal.code(), &version]);
    state.telemetry.requests.with_label_values(&["unadmitted", refusal.code()]).inc();
    refusal.answer(id, retry_after(refusal, state))
}

async fn admit(
    state: &SharedState,
    request: Request<Incoming>,
    caller: CallerHeaders,
    arrived_at: Timestamp,
) -> Result<AdmittedRequest, OwnAnswer> {
    let ConfigInForce { config, .. } = state.config().ok_or(OwnAnswer::NotConfigured)?;
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).ok_or(OwnAnswer::Malformed)?;
    let rule = config.route(host, request.uri().path()).ok_or(OwnAnswer::NoRoute)?;
    let customer = match config.check_key(rule, caller.key.as_deref()) {
        KeyCheck::Anonymous => None,
        KeyCheck::Customer(record) => Some(record),
        KeyCheck::Unknown => return Err(OwnAnswer::UnknownKey),
    };
    let rule = Arc::clone(rule);
    if let Some(left) = state.stop_time_left() {
        let drain = DrainParams::default();
        if !drain.can_finish(rule.kind, caller.weight, rule.objective, left) {
            return Err(OwnAnswer::Stopping);
        }
    }
    let service = Arc::clone(rule.target(state.draw()));
    let engine = config.service(&service).and_then(|policy| policy.engine);
    let limit = config.limits.body_bytes;
    let (parts, body) = request.into_parts();
    if body.size_hint().lower() > limit {
        return Err(OwnAnswer::BodyTooLarge);
    }
    let wait = caller.time_left.unwrap_or(DEFAULT_DEADLINE).min(rule.timeout);
    let deadline = arrived_at + wait;
    let (body, memory) = read_body(state, body, limit, wait).await?;
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(AdmittedRequest {
        id: caller.request_id,
        method: parts.method,
        uri: uri.parse().map_err(|_| OwnAnswer::Malformed)?,
        headers: parts.headers,
        body,
        service,
        engine,
        priority: customer.as_ref().and_then(|record| record.priority).unwrap_or(rule.priority),
        customer: customer.map(|record| record.name),
        weight: caller.weight,
        arrived_at,
        deadline,
        config_version: config.version,
        rule,
        _memory: memory,
    })
}

async fn read_body(
    state: &SharedState,
    body: Incoming,
    limit: u64,
    wait: Duration,
) -> Result<(Bytes, BodyMemory), OwnAnswer> {
    let expected = body.size_hint().upper().unwrap_or(limit).min(limit);
    if state.body_bytes.get() + expected > state.settings.memory_bytes / BODY_MEMORY_DIVISOR {
        return Err(OwnAnswer::OutOfMemory);
    }
    state.body_bytes.set(state.body_bytes.get() + expected);
    let mut memory = BodyMemory { state: Rc::clone(state), bytes: expected };
    let reading = Limited::new(body, limit as usize).collect();
    let collected = match tokio::time::timeout(wait, reading).await {
        Ok(Ok(collected)) => collected.to_bytes(),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            return Err(OwnAnswer::BodyTooLarge);
        },
        Ok(Err(_)) => return Err(OwnAnswer::Malformed),
        Err(_) => return Err(OwnAnswer::LateUnsent),
    };
    let unused = memory.bytes.saturating_sub(collected.len() as u64);
    memory.bytes -= unused;
    state.body_bytes.set(state.body_bytes.get() - unused);
    Ok((collected, memory))
}
