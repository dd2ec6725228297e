//! Listeners of the product's own interface: connections of callers and operators.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use super::answers::CallerResponse;
use crate::listener::accept;

use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

/// Largest head of a request in bytes.
const HEAD_LIMIT: usize = 32 << 10;

/// Limits of a listener.
#[derive(Clone, Copy, Debug)]
pub struct ListenerLimits {
    /// Connections at the same time; further ones wait to be accepted.
    pub connections: usize,
    /// Longest time to receive the head of a request, also on an idle connection.
    pub head: Duration,
}

/// A listener that accepts connections until it is stopped.
pub struct HttpListener {
    stop: watch::Sender<bool>,
    open: Rc<Semaphore>,
    connections: usize,
}

impl HttpListener {
    /// Starts to accept connections on the current thread.
    pub fn start<S, F>(listener: TcpListener, limits: ListenerLimits, serve: S) -> Self
    where
        S: Fn(Request<Incoming>) -> F + Clone + 'static,
        F: Future<Output = CallerResponse> + 'static,
    {
        let open = Rc::new(Semaphore::new(limits.connections));
        let (stop, stopping) = watch::channel(false);
        let accepting = accept_all(listener, limits, Rc::clone(&open), stopping, serve);
        tokio::task::spawn_local(accepting);
        Self { stop, open, connections: limits.connections }
    }

    /// Accepts no more connections and closes each when its request in progress is answered,
    /// but waits at most for `timeout`.
    pub async fn stop(self, timeout: Duration) {
        self.stop.send_replace(true);
        let all = u32::try_from(self.connections).unwrap_or(u32::MAX);
        // Connections that are still open after the time limit end with the process.
        let _ = tokio::time::timeout(timeout, self.open.acquire_many(all)).await;
    }
}

async fn accept_all<S, F>(
    listener: TcpListener,
    limits: ListenerLimits,
    open: Rc<Semaphore>,
    mut stopping: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + 'static,
    F: Future<Output = CallerResponse> + 'static,
{
    loop {
        // The permit goes back when its connection ends.
        let Ok(permit) = open.acquire().await else { return };
        permit.forget();
        let (stream, _) = tokio::select! {
            accepted = accept(&listener) => accepted,
            _ = stopping.wait_for(|stopping| *stopping) => {
                open.add_permits(1);
                return;
            },
        };
        let (open, stopping, serve) = (Rc::clone(&open), stopping.clone(), serve.clone());
        tokio::task::spawn_local(async move {
            serve_connection(stream, limits, stopping, serve).await;
            open.add_permits(1);
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
        log::debug!("socket option was not set: {error}");
    }
    let service = service_fn(move |request| {
        let answer = serve(request);
        async move { Ok::<_, Infallible>(answer.await) }
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
        log::debug!("connection ended: {error}");
    }
}
