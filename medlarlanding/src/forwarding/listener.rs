//! Listeners for callers, readiness checks of the load balancer, and metrics.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use super::admit;
use super::caller_stream::{CallerActivity, CallerStream};
use super::peer_link::PeerLink;
use super::shared::SharedState;
use crate::answer_body::AnswerBody;
use crate::exchange::tune_socket;
use crate::listener::accept;
use medlarlanding_platform::engines::READINESS_PATH;

use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Time limit for the head of a request, and idle limit of a connection, while no configuration is
/// in force and for the readiness and metrics endpoints.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
/// Time for which idle connections are kept beyond the configured limit, so that a request sent just
/// before the limit is still read.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Interval at which a connection that is to be closed is checked for a request under way.
const IDLE_CHECK_PERIOD: Duration = Duration::from_millis(10);
/// Number of these checks; a request head that does not arrive completely meanwhile is given up.
const IDLE_CHECKS: u32 = 50;
/// Smallest buffer in bytes that the HTTP library accepts.
const HEAD_BUFFER_MIN: usize = 8192;

/// Accepts connections of callers until the process ends.
pub async fn serve_callers(
    listener: TcpListener,
    state: SharedState,
    link: Rc<PeerLink>,
    stop: watch::Receiver<bool>,
) -> anyhow::Result<()> {
    loop {
        let (stream, _) = accept(&listener).await;
        let (state, link) = (Rc::clone(&state), Rc::clone(&link));
        tokio::task::spawn_local(serve_caller(stream, state, link, stop.clone()));
    }
}

async fn serve_caller(
    stream: TcpStream,
    state: SharedState,
    link: Rc<PeerLink>,
    mut stop: watch::Receiver<bool>,
) {
    tune_socket(&stream);
    let _open = state.open_connection();
    let config = state.config();
    let limits = config.as_ref().map(|in_force| in_force.config.limits);
    let idle = limits.map_or(DEFAULT_IDLE, |limits| limits.idle) + IDLE_MARGIN;
    let is_stopping = *stop.borrow();
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(idle).keep_alive(!is_stopping);
    if let Some(limits) = limits {
        builder.max_buf_size(limits.header_bytes.max(HEAD_BUFFER_MIN));
    }
    let service =
        service_fn(move |request| admit::serve(Rc::clone(&state), Rc::clone(&link), request));
    let (stream, activity) = CallerStream::new(stream);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let stopped = async {
        // Waiting fails only when the process ends.
        let _ = stop.wait_for(|stopping| *stopping).await;
        wait_until_idle(&activity).await;
    };
    let result = tokio::select! {
        result = connection.as_mut() => result,
        () = stopped, if !is_stopping => {
            connection.as_mut().graceful_shutdown();
            connection.await
        },
    };
    if let Err(error) = result {
        log::debug!("connection of a caller failed: {error}");
    }
}

/// Waits until no request is under way on a connection: the library closes one on which it has not
/// read a whole head, even if the request has arrived. A request that is served does not delay the
/// close of its connection for long, because its answer says that the connection closes.
async fn wait_until_idle(activity: &CallerActivity) {
    for _ in 0..IDLE_CHECKS {
        if activity.is_idle() {
            return;
        }
        tokio::time::sleep(IDLE_CHECK_PERIOD).await;
    }
}

/// Answers readiness checks.
pub async fn serve_readiness(listener: TcpListener, state: SharedState) -> anyhow::Result<()> {
    serve_endpoint(listener, move |path| {
        if path != READINESS_PATH {
            return (StatusCode::NOT_FOUND, Vec::new());
        }
        let status =
            if state.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        (status, Vec::new())
    })
    .await
}

/// Serves the metrics in the Prometheus text format.
pub async fn serve_metrics(listener: TcpListener, state: SharedState) -> anyhow::Result<()> {
    serve_endpoint(listener, move |path| match (path, state.render_metrics()) {
        ("/metrics", Ok(text)) => (StatusCode::OK, text),
        ("/metrics", Err(error)) => {
            (StatusCode::INTERNAL_SERVER_ERROR, error.to_string().into_bytes())
        },
        _ => (StatusCode::NOT_FOUND, Vec::new()),
    })
    .await
}

async fn serve_endpoint(
    listener: TcpListener,
    answer: impl Fn(&str) -> (StatusCode, Vec<u8>) + Clone + 'static,
) -> anyhow::Result<()> {
    loop {
        let (stream, _) = accept(&listener).await;
        let answer = answer.clone();
        tokio::task::spawn_local(async move {
            tune_socket(&stream);
            let service = service_fn(|request: Request<Incoming>| {
                let (status, body) = answer(request.uri().path());
                let mut response = Response::new(AnswerBody::whole(body));
                *response.status_mut() = status;
                std::future::ready(Ok::<_, Infallible>(response))
            });
            let mut builder = http1::Builder::new();
            builder.timer(TokioTimer::new()).header_read_timeout(DEFAULT_IDLE);
            if let Err(error) = builder.serve_connection(TokioIo::new(stream), service).await {
                log::debug!("connection to the readiness or metrics endpoint failed: {error}");
            }
        });
    }
}
