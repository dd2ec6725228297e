//! Checks a caller's request against the configuration and reads its body before it is forwarded.

use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer::{AnswerResult, CallerAnswer, ErrorAnswer};
use super::peer_link::PeerLink;
use super::shared::{ConfigInForce, ForwardState, SharedState};
use super::{generation, relay};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    AnswerTerms, DrainParams, EngineLimits, KeyCheck, LatencyClass, RegionLimit, RequestKind,
    RouteRule, RunWeight, can_finish,
};
use medlarlanding_core::prompts::{BLOCK_TIME, BlockedPart, PromptParts, PromptVerdict};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::CallerHeaders;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, Uri, Version};

/// All request bodies together may occupy the process's memory divided by this.
const BODY_MEMORY_DIVISOR: u64 = 4;
/// Shortest retry delay sent to callers while no configuration is in force. The store is read
/// immediately after a start and answers in milliseconds.
const RETRY_NOT_CONFIGURED: Duration = Duration::from_millis(300);
/// Longest retry delay sent to callers while no configuration is in force. Most of them still get an
/// answer within their deadlines after it.
const RETRY_NOT_CONFIGURED_MAX: Duration = Duration::from_millis(1500);
/// Retry delay sent if no server accepts requests. A new server is known here as soon as it
/// registers.
const RETRY_NO_SERVER: Duration = Duration::from_millis(500);
/// Retry delay sent if all servers refused the request, or if this process lacks memory for its
/// body; short enough for the objectives of generations, 1.5 to 1.8 s.
const RETRY_FULL: Duration = Duration::from_millis(250);
/// Retry delay sent if a generation found no room. Bursts last 3 to 10 s on the measured
/// installations, and a generation that is refused again is lost.
const RETRY_OVERLOADED: Duration = Duration::from_secs(10);
/// Retry delay sent if a part of the prompt may be sound, which runs in progress and trials show within
/// seconds.
const RETRY_SUSPECT: Duration = Duration::from_millis(1500);
/// Time until the deadline for a caller that does not state one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(60);

/// A request that passed the checks and may be sent to a server.
pub struct AdmittedRequest {
    /// Id of this attempt of the caller.
    pub id: String,
    /// Method of the caller's request.
    pub method: Method,
    /// Path and query of the caller's request.
    pub uri: Uri,
    /// Headers of the caller's request.
    pub headers: HeaderMap,
    /// Complete body of the caller's request.
    pub body: Bytes,
    /// Route of the request.
    pub rule: Arc<RouteRule>,
    /// Service chosen among the targets of the route.
    pub service: Arc<str>,
    /// Capacity of the service's engines; `None` for plain services.
    pub engine: Option<EngineLimits>,
    /// Name of the customer; `None` for an anonymous request.
    pub customer: Option<Arc<str>>,
    /// Regions whose servers may get the request.
    pub regions: RegionLimit,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// How the objective compares with those of other requests to the service.
    pub latency: LatencyClass,
    /// Size of the generation.
    pub weight: RunWeight,
    /// Parts of the prompt; empty for requests that no engine runs.
    pub parts: PromptParts,
    /// The request shows whether engines survive a part that is blocked.
    is_trial: bool,
    /// When the request's head was read.
    pub arrived_at: Timestamp,
    /// When the caller stops waiting or the route's timeout passes, whichever is earlier.
    pub deadline: Timestamp,
    /// Version of the configuration that the request was checked against.
    pub config_version: u64,
    /// Time within which a sound server answers the request completely.
    longest_time: Duration,
    _memory: BodyMemory,
}

impl AdmittedRequest {
    /// Returns the time until the deadline; zero once it has passed.
    pub fn time_left(&self, now: Timestamp) -> Duration {
        self.deadline.since(now)
    }

    /// Returns why the request may not be sent to a server because of its prompt, if so.
    pub fn prompt_error(&self, state: &ForwardState) -> Option<ErrorAnswer> {
        let blocked = state.check_prompt(&self.parts).filter(|_| !self.is_trial)?;
        Some(prompt_error(&blocked))
    }

    /// Waits until a server that has the request must not go on with its prompt.
    pub async fn wait_for_block(&self, state: &ForwardState) {
        if self.is_trial {
            return std::future::pending().await;
        }
        state.wait_for_block(&self.parts).await;
    }

    /// Returns whether a server that is sent the request now answers before this process ends.
    pub fn fits_stop(&self, state: &ForwardState) -> bool {
        fits_stop(state, self.longest_time, self.time_left(state.now()))
    }
}

/// Returns the refusal of a request with a blocked part.
fn prompt_error(blocked: &BlockedPart) -> ErrorAnswer {
    match blocked.is_doubtful {
        true => ErrorAnswer::SuspectPrompt,
        false => ErrorAnswer::FatalPrompt,
    }
}

/// Returns whether an answer that may take `longest` is complete before this process ends, or its caller
/// gives up until then, in `time_left`.
fn fits_stop(state: &ForwardState, longest: Duration, time_left: Duration) -> bool {
    state.stop_time_left().is_none_or(|stop_left| can_finish(longest, time_left, stop_left))
}

/// Counts the bytes of one request body in `body_bytes` until it is dropped.
struct BodyMemory {
    state: SharedState,
    /// Capacity of the body's buffer.
    bytes: u64,
}

impl BodyMemory {
    /// Grows the buffer of the body. Both buffers are counted while the bytes are copied.
    ///
    /// # Errors
    ///
    /// `OutOfMemory` if all bodies together would occupy more than they may.
    fn reserve(&mut self, buffer: &mut Vec<u8>, capacity: usize) -> Result<(), ErrorAnswer> {
        let others = self.state.body_bytes.get() - self.bytes;
        let most = self.state.settings.memory_bytes / BODY_MEMORY_DIVISOR;
        if others + self.bytes + capacity as u64 > most {
            return Err(ErrorAnswer::OutOfMemory);
        }
        buffer.reserve_exact(capacity - buffer.len());
        self.bytes = buffer.capacity() as u64;
        self.state.body_bytes.set(others + self.bytes);
        Ok(())
    }
}

impl Drop for BodyMemory {
    fn drop(&mut self) {
        let held: &Cell<u64> = &self.state.body_bytes;
        held.set(held.get() - self.bytes);
    }
}

/// Counts a request in progress until it is dropped.
struct OpenRequest(SharedState);

impl Drop for OpenRequest {
    fn drop(&mut self) {
        self.0.telemetry.open_requests.dec();
    }
}

/// Returns the delay after which the caller should retry; `None` for errors that a retry does not
/// resolve and for requests that may have run. An admitted request that all servers want none of for a
/// while comes back after the shortest of these periods.
pub fn retry_after(
    error: ErrorAnswer,
    state: &ForwardState,
    admitted: Option<&AdmittedRequest>,
) -> Option<Duration> {
    let hold = admitted.and_then(|it| state.shortest_hold(&it.service, &it.regions));
    let hold = hold.unwrap_or_default();
    let delay = match error {
        // A store that has not answered for a while is likely to be away for about as long again, and a
        // caller that is refused a second time is lost.
        ErrorAnswer::NotConfigured => {
            state.uptime().clamp(RETRY_NOT_CONFIGURED, RETRY_NOT_CONFIGURED_MAX)
        },
        ErrorAnswer::NoServer => hold.max(RETRY_NO_SERVER),
        ErrorAnswer::ServersFull => hold.max(RETRY_FULL),
        ErrorAnswer::OutOfMemory => RETRY_FULL,
        ErrorAnswer::Overloaded => RETRY_OVERLOADED,
        ErrorAnswer::FatalPrompt => BLOCK_TIME,
        ErrorAnswer::SuspectPrompt => RETRY_SUSPECT,
        ErrorAnswer::Stopping | ErrorAnswer::LateUnsent => Duration::ZERO,
        ErrorAnswer::NoRoute
        | ErrorAnswer::UnknownKey
        | ErrorAnswer::BodyTooLarge
        | ErrorAnswer::Malformed
        | ErrorAnswer::OldVersion
        | ErrorAnswer::LateSent
        | ErrorAnswer::AnswerLost => return None,
    };
    Some(spread_delay(delay, state))
}

/// Adds a random part of up to half a delay, which spreads the retries of callers refused at once.
fn spread_delay(delay: Duration, state: &ForwardState) -> Duration {
    delay.mul_f64(1.0 + state.draw() / 2.0)
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
            RequestKind::Safe | RequestKind::Unsafe => relay::serve(&state, link, admitted).await,
            RequestKind::Stream => generation::serve(&state, link, admitted).await,
        },
        Err(error) => refuse(&state, &id, error),
    };
    if state.stop_time_left().is_some() {
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    Ok(answer)
}

fn refuse(state: &SharedState, id: &str, error: ErrorAnswer) -> CallerAnswer {
    let version = state.config_version();
    event(EventKind::ForwardRefused, &[&id, &error.code(), &version]);
    state.telemetry.requests.with_label_values(&["unadmitted", error.code()]).inc();
    error.to_answer(id, retry_after(error, state, None))
}

async fn admit(
    state: &SharedState,
    request: Request<Incoming>,
    caller: CallerHeaders,
    arrived_at: Timestamp,
) -> Result<AdmittedRequest, ErrorAnswer> {
    if request.version() < Version::HTTP_11 {
        return Err(ErrorAnswer::OldVersion);
    }
    let ConfigInForce { config, .. } = state.config().ok_or(ErrorAnswer::NotConfigured)?;
    let host = request.headers().get(HOST).and_then(|host| host.to_str().ok());
    let host = host.or_else(|| request.uri().host()).ok_or(ErrorAnswer::Malformed)?;
    let rule = config.route(host, request.uri().path()).ok_or(ErrorAnswer::NoRoute)?;
    let customer = match config.check_key(rule, caller.key.as_deref()) {
        KeyCheck::Anonymous => None,
        KeyCheck::Customer(record) => Some(record),
        KeyCheck::Unknown => return Err(ErrorAnswer::UnknownKey),
    };
    let rule = Arc::clone(rule);
    let customer_regions = customer.as_ref().map(|record| &record.regions);
    let regions = rule.regions.intersect(customer_regions.unwrap_or(&RegionLimit::Any));
    let is_trial = match state.admit_prompt(&caller.request_id, &caller.parts) {
        PromptVerdict::Free => false,
        PromptVerdict::Trial(_) => true,
        PromptVerdict::Refused(blocked) => return Err(prompt_error(&blocked)),
    };
    let service = Arc::clone(rule.target(state.draw()));
    let engine = config.service(&service).and_then(|policy| policy.engine);
    let wait = caller.time_left.unwrap_or(DEFAULT_DEADLINE).min(rule.timeout);
    let deadline = arrived_at + wait;
    // A generation without a limit may take any time.
    let output = caller.output_limit.unwrap_or(u32::MAX);
    let longest = engine.map(|_| RunWeight { output, ..caller.weight });
    let observed = state.longest_answer(&rule, &service);
    let longest_time =
        DrainParams::default().longest_time(AnswerTerms::of(&rule), longest, observed);
    if !fits_stop(state, longest_time, wait) {
        return Err(ErrorAnswer::Stopping);
    }
    let limit = config.limits.body_bytes;
    let (parts, body) = request.into_parts();
    if body.size_hint().lower() > limit {
        return Err(ErrorAnswer::BodyTooLarge);
    }
    let (body, memory) = tokio::select! {
        biased;
        read = read_body(state, body, limit, wait) => read?,
        () = state.stop_within(longest_time.min(wait)) => return Err(ErrorAnswer::Stopping),
    };
    let uri = parts.uri.path_and_query().map_or("/", |path| path.as_str());
    Ok(AdmittedRequest {
        id: caller.request_id,
        method: parts.method,
        uri: uri.parse().map_err(|_| ErrorAnswer::Malformed)?,
        headers: parts.headers,
        body,
        latency: config.latency_class(&rule, &service),
        service,
        engine,
        regions,
        priority: customer.as_ref().and_then(|record| record.priority).unwrap_or(rule.priority),
        customer: customer.map(|record| record.name),
        weight: caller.weight,
        parts: caller.parts,
        is_trial,
        arrived_at,
        deadline,
        config_version: config.version,
        longest_time,
        rule,
        _memory: memory,
    })
}

/// Reads the body of a request. Chunks are copied, because each of them, however small, keeps the buffer
/// that it was read into.
async fn read_body(
    state: &SharedState,
    mut body: Incoming,
    limit: u64,
    wait: Duration,
) -> Result<(Bytes, BodyMemory), ErrorAnswer> {
    let mut memory = BodyMemory { state: Rc::clone(state), bytes: 0 };
    let mut collected = Vec::new();
    let stated = body.size_hint().exact().unwrap_or(0);
    memory.reserve(&mut collected, stated as usize)?;
    let reading = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| ErrorAnswer::Malformed)?.into_data() else { continue };
            let length = collected.len() + data.len();
            if length as u64 > limit {
                return Err(ErrorAnswer::BodyTooLarge);
            }
            if length > collected.capacity() {
                let doubled = (2 * collected.capacity()).min(limit as usize);
                memory.reserve(&mut collected, length.max(doubled))?;
            }
            collected.extend_from_slice(&data);
        }
        Ok(())
    };
    tokio::time::timeout(wait, reading).await.unwrap_or(Err(ErrorAnswer::LateUnsent))?;
    Ok((Bytes::from(collected), memory))
}
