//! Calls to engines beside the requests of callers: moves, freed copies, reports.

use std::net::SocketAddr;
use std::time::Duration;

use crate::exchange::{self, ExchangeFault};
use medlarlanding_platform::engines::{self, RunCopy};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use tokio::task::JoinHandle;

/// Longest answer to a call in bytes.
const ANSWER_LIMIT: usize = 256 << 10;
/// A call for a move waits for the copies before it; an engine's whole memory takes about 4 s
/// to another zone.
pub const MOVE_TIMEOUT: Duration = Duration::from_secs(5);

/// How a call for a move ended.
pub enum MoveAnswer {
    Copied(RunCopy),
    /// The engine has no such run.
    NoRun,
    /// The engine refused; a run that was stopped can go on with the handle.
    Refused(Option<String>),
    /// The engine answered with another status.
    Rejected(StatusCode),
    /// No usable answer.
    Failed,
}

impl MoveAnswer {
    /// Name in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Copied(_) => "copied",
            Self::NoRun => "no_run",
            Self::Refused(_) => "refused",
            Self::Rejected(StatusCode::CONFLICT) => "conflict",
            Self::Rejected(_) => "rejected",
            Self::Failed => "failed",
        }
    }
}

/// A call for a move that is in progress; it is given up when this is dropped.
pub struct MoveCall {
    /// The call stops the run.
    pub is_last: bool,
    task: JoinHandle<MoveAnswer>,
}

impl Drop for MoveCall {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl MoveCall {
    /// Asks an engine to copy the memory of a run to another one, and to stop it if `is_last`.
    pub fn begin(source: SocketAddr, request_id: &str, to: SocketAddr, is_last: bool) -> Self {
        let body = engines::move_body(request_id, to, is_last);
        Self { is_last, task: tokio::task::spawn_local(move_run(source, body)) }
    }

    /// Waits for the answer.
    pub async fn answer(&mut self) -> MoveAnswer {
        (&mut self.task).await.unwrap_or(MoveAnswer::Failed)
    }
}

async fn move_run(source: SocketAddr, body: Vec<u8>) -> MoveAnswer {
    let path = Uri::from_static(engines::MOVE_PATH);
    let Ok((status, body)) = call(source, Method::POST, path, body, MOVE_TIMEOUT).await else {
        return MoveAnswer::Failed;
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

/// Frees a copy at both ends, so that it does not take memory until it lapses.
pub async fn release_copy(source: SocketAddr, handle: String) {
    let Ok(path) = engines::release_path(&handle).parse() else {
        log::warn!("handle {handle} of a copy fits in no path");
        return;
    };
    // A copy that cannot be freed lapses by itself.
    if call(source, Method::DELETE, path, Vec::new(), MOVE_TIMEOUT).await.is_err() {
        log::debug!("copy {handle} at {source} was not freed");
    }
}

/// Reads the report of an engine.
///
/// # Errors
///
/// Fails as `ExchangeFault` tells.
pub async fn read_report(
    address: SocketAddr,
    limit: Duration,
) -> Result<(StatusCode, Bytes), ExchangeFault> {
    call(address, Method::GET, Uri::from_static(engines::REPORT_PATH), Vec::new(), limit).await
}

async fn call(
    address: SocketAddr,
    method: Method,
    path: Uri,
    body: Vec<u8>,
    limit: Duration,
) -> Result<(StatusCode, Bytes), ExchangeFault> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path;
    let headers = request.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, host);
    }
    let (response, _exchange) = exchange::send(address, request, limit).await?;
    let status = response.status();
    let reading = Limited::new(response.into_body(), ANSWER_LIMIT).collect();
    match tokio::time::timeout(limit, reading).await {
        Ok(Ok(body)) => Ok((status, body.to_bytes())),
        Ok(Err(_)) => Err(ExchangeFault::Broken),
        Err(_) => Err(ExchangeFault::TimedOut),
    }
}
