//! HTTP/1 listener that limits its connections and shuts down gracefully.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use super::responses::CallerResponse;
use crate::listener::accept;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Maximum size of a request's head in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Maximum number of open connections; further ones wait to be accepted.
    pub connections: usize,
    /// Time within which the head of a request must be received; also the idle timeout of a
    /// connection.
    pub head: Duration,
}

/// Accepts and serves connections until it is stopped.
pub struct HttpListener {
    stop: watch::Sender<bool>,
    slots: Rc<Semaphore>,
    connections: usize,
}

impl HttpListener {
    /// Starts accepting connections on the current thread.
    pub fn start<S, F>(listener: TcpListener, limits: ListenerLimits, serve: S) -> Self
    where
        S: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = CallerResponse> + 'static,
    {
        let slots = Rc::new(Semaphore::new(limits.connections));
        let (stop, stopping) = watch::channel(false);
        let accepting = accept_all(listener, limits, Rc::clone(&slots), stopping, serve);
        tokio::task::spawn_local(accepting);
        Self { stop, slots, connections: limits.connections }
    }

    /// Stops accepting connections and waits, at most for `timeout`, until the open ones are
    /// closed. Each is closed after the response to its current request.
    pub async fn stop(self, timeout: Duration) {
        self.stop.send_replace(true);
        let all = u32::try_from(self.connections).unwrap_or(u32::MAX);
        // Connections still open after the timeout are closed when the process exits.
        let _ = tokio::time::timeout(timeout, self.slots.acquire_many(all)).await;
    }
}

async fn accept_all<S, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    slots: Rc<Semaphore>,
    mut stopping: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = CallerResponse> + 'static,
{
    loop {
        // The permit is added back when the connection closes.
        let Ok(permit) = slots.acquire().await else { return };
        permit.forget();
        let (stream, _) = tokio::select! {
            accepted = accept(&listener) => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => {
                slots.add_permits(1);
                return;
            },
        };
        let (slots, stopping, serve) = (Rc::clone(&slots), stopping.clone(), serve.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, limits, stopping, serve).await;
            slots.add_permits(1);
        });
    }
}

async fn serve_connection<S, F>(
    stream: TcpStream,
    limits: ListenerLimits,
    mut stopping: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F,
    F: Future<Output = CallerResponse>,
{
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!("cannot set TCP_NODELAY on a client connection: {error}");
    }
    let service = service_fn(move |request| {
        let response = serve(request);
        async move { Ok::<_, Infallible>(response.await) }
    });
    let mut builder = http1::Builder::new();
    builder.timer(TokioTimer::new()).header_read_timeout(limits.head).max_buf_size(HEAD_LIMIT);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let result = tokio::select! {
        result = connection.as_mut() => result,
        _ = stopping.wait_for(|stopping| *stopping) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        },
    };
    if let Err(error) = result {
        log::debug!("client connection failed: {error}");
    }
}
