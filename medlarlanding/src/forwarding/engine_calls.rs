//! Calls to servers: moving runs, freeing copies, reading reports and health.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::exchange::{self, ExchangeFault};
use medlarlanding_core::forwarding::StopOutcome;
use medlarlanding_platform::engines::{self, RunCopy};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{HeaderMap, Method, Request, StatusCode, Uri};
use tokio::task::JoinHandle;

/// Largest answer to a call, in bytes.
const ANSWER_LIMIT: usize = 64 << 10;
/// Time limit of a move call. The engine processes the copies requested earlier first, and copying
/// an engine's whole memory to another zone takes about 4 s.
pub const MOVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Pause before an engine is asked again to stop a run.
pub const STOP_PAUSE: Duration = Duration::from_millis(60);
/// Longest pause between two such calls after the run has gone on elsewhere.
const STOP_PAUSE_LIMIT: Duration = Duration::from_secs(1);

/// Answer of a server to a call.
pub struct CallAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body. One that its server broke off is no JSON document.
    pub body: Bytes,
}

/// Result of a move call.
pub enum MoveAnswer {
    Copied(RunCopy),
    /// The engine does not know the run.
    NoRun,
    /// The engine refused. If the call stopped the run, the run can continue at the same engine
    /// with the handle.
    Refused(Option<String>),
    /// The engine answered with another status.
    Rejected(StatusCode),
    /// No connection was established, so the call was not sent.
    NotSent,
    /// The call failed or timed out after it may have been sent.
    Failed,
}

impl MoveAnswer {
    /// Returns the name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Copied(_) => "copied",
            Self::NoRun => "no_run",
            Self::Refused(_) => "refused",
            Self::Rejected(StatusCode::CONFLICT) => "conflict",
            Self::Rejected(_) => "rejected",
            Self::NotSent => "not_sent",
            Self::Failed => "failed",
        }
    }

    /// Returns what the answer to a call that was to stop a run shows.
    pub fn stop_outcome(&self) -> StopOutcome {
        match self {
            Self::Copied(_) | Self::Refused(Some(_)) => StopOutcome::Stopped,
            Self::NoRun | Self::NotSent | Self::Rejected(StatusCode::CONFLICT) => {
                StopOutcome::NotStopped
            },
            // An engine that stops a run and has no copy for it states its handle.
            Self::Refused(None) | Self::Rejected(_) | Self::Failed => StopOutcome::Unknown,
        }
    }
}

/// A move call in progress; dropping it cancels the call.
pub struct MoveCall {
    /// The call stops the run and copies its remainder.
    pub is_final: bool,
    source: SocketAddr,
    body: Vec<u8>,
    task: JoinHandle<MoveAnswer>,
}

impl Drop for MoveCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl MoveCall {
    /// Asks the engine `source` to copy the memory of a run to the engine `to` and, if `is_final` is
    /// set, to stop the run.
    pub fn begin(source: SocketAddr, request_id: &str, to: SocketAddr, is_final: bool) -> Self {
        let body = engines::move_body(request_id, to, is_final);
        let task = tokio::task::spawn_local(request_move(source, body.clone()));
        Self { is_final, source, body, task }
    }

    /// Waits for the answer.
    pub async fn answer(&mut self) -> MoveAnswer {
        (&mut self.task).await.unwrap_or(MoveAnswer::Failed)
    }

    /// Lets the call end by itself.
    pub fn detach(mut self) {
        tokio::task::spawn_local(async move { self.answer().await });
    }

    /// Goes on with a call that is to stop a run, so that the engine does not work on it while it goes on
    /// at another one.
    pub fn detach_until_stopped(self) {
        tokio::task::spawn_local(self.stop_run());
    }

    /// Repeats the call until an answer shows that the engine does not work on the run.
    async fn stop_run(mut self) {
        let begun_at = Instant::now();
        let mut pause = STOP_PAUSE;
        loop {
            let answer = self.answer().await;
            let is_stopped = answer.stop_outcome() == StopOutcome::Stopped;
            if is_stopped || matches!(answer, MoveAnswer::NoRun) {
                return;
            }
            if begun_at.elapsed() >= MOVE_TIMEOUT {
                log::warn!("cannot stop a moved run at {}: {}", self.source, answer.name());
                return;
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(STOP_PAUSE_LIMIT);
            self.task = tokio::task::spawn_local(request_move(self.source, self.body.clone()));
        }
    }
}

async fn request_move(source: SocketAddr, body: Vec<u8>) -> MoveAnswer {
    let path = Uri::from_static(engines::MOVE_PATH);
    let CallAnswer { status, body, .. } =
        match call(source, Method::POST, path, body, MOVE_TIMEOUT).await {
            Ok(answer) => answer,
            Err(ExchangeFault::NotConnected) => return MoveAnswer::NotSent,
            Err(ExchangeFault::Broken | ExchangeFault::TimedOut) => return MoveAnswer::Failed,
        };
    match (status, engines::decode_copy(&body)) {
        (StatusCode::OK, Ok(copy)) => MoveAnswer::Copied(copy),
        (StatusCode::NOT_FOUND, _) => MoveAnswer::NoRun,
        (StatusCode::SERVICE_UNAVAILABLE, copy) => {
            MoveAnswer::Refused(copy.ok().map(|copy| copy.handle))
        },
        (status, _) => MoveAnswer::Rejected(status),
    }
}

/// Frees a copy at the source and the destination; otherwise it occupies memory until it expires.
pub async fn release_copy(source: SocketAddr, handle: String) {
    let Ok(path) = engines::release_path(&handle).parse() else {
        log::warn!("cannot free copy {handle} at {source}: the handle is not valid in a path");
        return;
    };
    // A copy that cannot be freed expires by itself.
    if call(source, Method::DELETE, path, Vec::new(), MOVE_TIMEOUT).await.is_err() {
        log::debug!("cannot free copy {handle} at {source}: the call failed");
    }
}

/// Reads the report of an engine.
///
/// # Errors
///
/// Fails if the engine cannot be reached, the connection breaks, the answer exceeds
/// `ANSWER_LIMIT`, or `limit` passes.
pub async fn read_report(
    address: SocketAddr,
    limit: Duration,
) -> Result<CallAnswer, ExchangeFault> {
    call(address, Method::GET, Uri::from_static(engines::REPORT_PATH), Vec::new(), limit).await
}

/// Asks a server for its health, for which it may wait for a slot.
///
/// # Errors
///
/// Fails as `read_report` does, or if the path is invalid.
pub async fn read_health(
    address: SocketAddr,
    path: &str,
    limit: Duration,
) -> Result<CallAnswer, ExchangeFault> {
    let Ok(path) = path.parse() else {
        log::warn!("cannot ask {address} for its health: {path:?} is no path");
        return Err(ExchangeFault::NotConnected);
    };
    call(address, Method::GET, path, Vec::new(), limit).await
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: Uri,
    body: Vec<u8>,
    limit: Duration,
) -> Result<CallAnswer, ExchangeFault> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, host);
    }
    let (response, _exchange) = exchange::send(address, request, limit).await?;
    let (parts, body) = response.into_parts();
    let reading = Limited::new(body, ANSWER_LIMIT).collect();
    match tokio::time::timeout(limit, reading).await {
        Ok(Ok(body)) => {
            let body = body.to_bytes();
            Ok(CallAnswer { status: parts.status, headers: parts.headers, body })
        },
        Ok(Err(_)) => Err(ExchangeFault::Broken),
        Err(_) => Err(ExchangeFault::TimedOut),
    }
}
