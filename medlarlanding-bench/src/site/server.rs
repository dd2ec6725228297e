//! Stand-ins for the platform's servers: plain services, and model engines whose runs can be moved.

use std::convert::Infallible;
use std::net::TcpListener;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use super::state::{RunRecord, ServerMode, SiteState};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{HeaderMap, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, watch};

/// Delay of the 404 answer for an unknown run.
const NOT_FOUND_DELAY: Duration = Duration::from_millis(300);

/// Response body that can be aborted before its end.
pub(super) enum StandInBody {
    Complete(Full<Bytes>),
    Streamed { chunks: mpsc::Receiver<Result<Bytes, BodyAborted>>, length: Option<u64> },
}

/// Error with which the server aborts a body.
#[derive(Debug)]
pub(super) struct BodyAborted;

impl std::fmt::Display for BodyAborted {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("body aborted by the server")
    }
}

impl std::error::Error for BodyAborted {}

impl Body for StandInBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        match self.get_mut() {
            Self::Complete(body) => Pin::new(body)
                .poll_frame(context)
                .map(|frame| frame.map(|it| it.map_err(|never| match never {}))),
            Self::Streamed { chunks, .. } => {
                chunks.poll_recv(context).map(|chunk| Some(chunk?.map(Frame::data)))
            },
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(body) => body.size_hint(),
            Self::Streamed { length: Some(length), .. } => SizeHint::with_exact(*length),
            Self::Streamed { length: None, .. } => SizeHint::default(),
        }
    }
}

/// Accepts connections on its own thread until the deployment is dropped, and serves each in a task of
/// that thread.
pub(super) fn accept_connections<F, R>(
    listener: TcpListener,
    mut stopped: watch::Receiver<bool>,
    serve: F,
) -> anyhow::Result<()>
where
    F: Fn(TcpStream) -> R + Send + 'static,
    R: Future<Output = ()> + 'static,
{
    listener.set_nonblocking(true)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    std::thread::spawn(move || {
        tokio::task::LocalSet::new().block_on(&runtime, async move {
            let Ok(listener) = tokio::net::TcpListener::from_std(listener) else { return };
            loop {
                let accepted = tokio::select! {
                    accepted = listener.accept() => accepted,
                    _ = stopped.wait_for(|stopped| *stopped) => return,
                };
                let Ok((stream, _)) = accepted else { return };
                tokio::task::spawn_local(serve(stream));
            }
        });
    });
    Ok(())
}

/// Serves HTTP connections on its own thread until the deployment is dropped.
pub(super) fn serve_connections<F, R, B>(
    listener: TcpListener,
    stopped: watch::Receiver<bool>,
    service: F,
) -> anyhow::Result<()>
where
    F: Fn(Request<Incoming>) -> R + Clone + Send + 'static,
    R: Future<Output = Result<Response<B>, Infallible>> + 'static,
    B: Body<Data = Bytes> + 'static,
    B::Error: std::error::Error + Send + Sync,
{
    accept_connections(listener, stopped, move |stream| {
        let service = service.clone();
        async move {
            let service = service_fn(&service);
            let serving = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
            // Serving fails when a caller disconnects, which is expected.
            let _ = serving.await;
        }
    })
}

/// Starts a server on its own thread.
pub(super) fn start(
    listener: TcpListener,
    id: String,
    state: Arc<SiteState>,
) -> anyhow::Result<()> {
    let id: Arc<str> = Arc::from(id);
    let stopped = state.stopped.subscribe();
    serve_connections(listener, stopped, move |request| {
        answer(Arc::clone(&state), Arc::clone(&id), request)
    })
}

fn header_text(headers: &HeaderMap, name: &str) -> Option<String> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::to_owned)
}

fn complete_response(
    status: u16,
    fields: &[(&'static str, &str)],
    body: String,
) -> Response<StandInBody> {
    let mut response = Response::new(StandInBody::Complete(Full::new(Bytes::from(body))));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::OK);
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(*name, value);
        }
    }
    response
}

async fn answer(
    state: Arc<SiteState>,
    id: Arc<str>,
    request: Request<Incoming>,
) -> Result<Response<StandInBody>, Infallible> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    let path = parts.uri.path().to_owned();
    if path == "/-/kv-move" {
        let answer = move_run(&state, &body);
        if answer.status() == StatusCode::NOT_FOUND {
            // The instance must see the end of the run's stream before this answer.
            tokio::time::sleep(NOT_FOUND_DELAY).await;
        }
        return Ok(answer);
    }
    if path.starts_with("/-/") {
        let is_leaving = state.lock().leaving.iter().any(|server| **server == *id);
        let report = if is_leaving {
            json!({"state": "leaving", "leaves_ms": 1500.0})
        } else {
            json!({"state": "ready"})
        };
        return Ok(complete_response(200, &[], report.to_string()));
    }
    let request = header_text(&parts.headers, "x-request-id").unwrap_or_default();
    if header_text(&parts.headers, "x-expect-instance").as_deref() != Some(&*id) {
        return Ok(complete_response(421, &[], String::new()));
    }
    let mode = state.lock().modes.get(&*id).copied().unwrap_or_default();
    if mode == ServerMode::Refuses {
        let fields = [("x-request-id", request.as_str()), ("x-not-executed", "1")];
        return Ok(complete_response(503, &fields, String::new()));
    }
    let kv_from = header_text(&parts.headers, "kv-from");
    state.lock().runs.push(RunRecord {
        request: request.clone(),
        server: id.to_string(),
        customer: header_text(&parts.headers, "x-tenant"),
        is_continued: kv_from.is_some(),
        at: Instant::now(),
        headers: parts
            .headers
            .iter()
            .map(|(name, value)| {
                (name.to_string(), String::from_utf8_lossy(value.as_bytes()).into())
            })
            .collect(),
    });
    let delay = state.lock().delays.get(&*id).copied().unwrap_or(0);
    if !path.starts_with("/draft/") && delay > 0 {
        tokio::time::sleep(Duration::from_millis(delay)).await;
    }
    let stamp = format!("stamp-{id}");
    let fields = [("x-request-id", request.as_str()), ("x-server-stamp", stamp.as_str())];
    Ok(match mode {
        ServerMode::Healthy if path.starts_with("/draft/") => {
            let after = header_text(&parts.headers, "last-event-id").filter(|_| kv_from.is_some());
            let after = after.and_then(|text| text.parse().ok()).unwrap_or(0);
            stream_events(&state, &id, &request, after, &stamp)
        },
        ServerMode::Healthy | ServerMode::Refuses => complete_response(
            200,
            &fields,
            format!("{} {path} {request} {}", parts.method, body.len()),
        ),
        ServerMode::Fails => complete_response(500, &fields, "failed".to_owned()),
        ServerMode::Busy => complete_response(503, &fields, "busy".to_owned()),
        ServerMode::WrongRequestId => complete_response(
            200,
            &[("x-request-id", "another"), ("x-server-stamp", "s")],
            "x".to_owned(),
        ),
        ServerMode::NoAnswer => std::future::pending().await,
        ServerMode::Resets | ServerMode::Truncates => {
            let (sender, chunks) = mpsc::channel(2);
            if mode == ServerMode::Truncates {
                let _ = sender.try_send(Ok(Bytes::from_static(b"beginning")));
            }
            let _ = sender.try_send(Err(BodyAborted));
            let mut response = Response::new(StandInBody::Streamed { chunks, length: Some(100) });
            for (name, value) in fields {
                if let Ok(value) = value.parse() {
                    response.headers_mut().insert(name, value);
                }
            }
            response
        },
    })
}

fn move_run(state: &SiteState, body: &[u8]) -> Response<StandInBody> {
    let call: Value = serde_json::from_slice(body).unwrap_or_default();
    let request = call["id"].as_str().unwrap_or_default().to_owned();
    let is_last = call["last"].as_bool().unwrap_or(false);
    let mut inner = state.lock();
    let ends_on_move = inner.ends_on_move;
    let Some((events_made, is_stopped)) = inner.generations.get_mut(&request) else {
        return complete_response(404, &[], String::new());
    };
    *is_stopped = *is_stopped || is_last;
    if is_last && ends_on_move {
        return complete_response(404, &[], String::new());
    }
    complete_response(
        200,
        &[],
        json!({"handle": format!("h-{request}"), "created": *events_made}).to_string(),
    )
}

/// Entry of a server in the list of those that run a generation; removed on drop.
struct ActiveRun {
    state: Arc<SiteState>,
    request: String,
    server: String,
}

impl Drop for ActiveRun {
    fn drop(&mut self) {
        let mut inner = self.state.lock();
        if let Some(active) = inner.active.get_mut(&self.request) {
            active.retain(|server| *server != self.server);
        }
    }
}

/// Streams the events of a generation. The body of a run that was stopped for a move is aborted.
fn stream_events(
    state: &Arc<SiteState>,
    server: &Arc<str>,
    request: &str,
    after: u64,
    stamp: &str,
) -> Response<StandInBody> {
    let (sender, chunks) = mpsc::channel(1);
    let (shared, id) = (Arc::clone(state), request.to_owned());
    let (events, interval) = {
        let mut inner = state.lock();
        inner.generations.insert(request.to_owned(), (after, false));
        let active = inner.active.entry(request.to_owned()).or_default();
        active.push(server.to_string());
        if active.len() > 1 {
            inner.overlapping.push(request.to_owned());
        }
        let interval = inner.delays.get(&**server).copied().unwrap_or(inner.event_interval_ms);
        (inner.events, Duration::from_millis(interval))
    };
    let active_run =
        ActiveRun { state: Arc::clone(state), request: id.clone(), server: server.to_string() };
    tokio::task::spawn_local(async move {
        let _active_run = active_run;
        for number in after + 1..=events {
            tokio::time::sleep(interval).await;
            let is_stopped = {
                let mut inner = shared.lock();
                let run = inner.generations.entry(id.clone()).or_default();
                if !run.1 {
                    run.0 = number;
                }
                run.1
            };
            if is_stopped && shared.lock().ends_on_move {
                return;
            }
            if is_stopped {
                let _ = sender.send(Err(BodyAborted)).await;
                return;
            }
            let event = format!("id: {number}\ndata: {id} {number}\n\n");
            if sender.send(Ok(Bytes::from(event))).await.is_err() {
                return;
            }
        }
        shared.lock().generations.remove(&id);
    });
    let mut response = Response::new(StandInBody::Streamed { chunks, length: None });
    let fields = [
        ("x-request-id", request),
        ("x-server-stamp", stamp),
        ("content-type", "text/event-stream"),
    ];
    for (name, value) in fields {
        if let Ok(value) = value.parse() {
            response.headers_mut().insert(name, value);
        }
    }
    response
}
