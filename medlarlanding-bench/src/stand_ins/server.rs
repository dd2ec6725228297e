//! HTTP server that all stand-ins run on: one thread, bounded reads, abrupt stop.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex, OnceLock, mpsc};
use std::thread::JoinHandle;
use std::time::Duration;

use anyhow::Context;
use ntex::SharedCfg;
use ntex::http::{HttpServiceConfig, StatusCode};
use ntex::rt::System;
use ntex::time::{Millis, Seconds, timeout};
use ntex::util::{BytesMut, stream_recv};
use ntex::web::types::Payload;
use ntex::web::{App, HttpRequest, HttpResponse, HttpServer, ServiceConfig};
use serde::de::DeserializeOwned;
use serde_json::json;

/// Largest request body in bytes; a configuration value of 1 MiB fits.
const BODY_LIMIT: usize = 2 << 20;
/// Longest time for reading one request body.
const BODY_TIMEOUT: Millis = Millis(5_000);
/// Longest time for reading the headers of one request.
const HEADERS_TIMEOUT: Seconds = Seconds(5);
/// Idle time after which a kept connection is closed.
const KEEP_ALIVE: Seconds = Seconds(30);
/// Most connections at the same time.
const CONNECTION_LIMIT: usize = 8192;
/// Connections remembered for the silent-connection fault.
const KNOWN_CONNECTIONS: usize = 65_536;

/// Stops a server at once: open connections break and the port is closed.
#[derive(Clone, Debug, Default)]
pub struct StopSwitch(Arc<OnceLock<System>>);

impl StopSwitch {
    /// Stops the server as a crash would.
    pub fn stop(&self) {
        if let Some(system) = self.0.get() {
            system.stop();
        }
    }
}

/// A running server. Dropping it stops the server and waits for its thread.
#[derive(Debug)]
pub struct ServerGuard {
    address: SocketAddr,
    switch: StopSwitch,
    thread: Option<JoinHandle<()>>,
}

impl ServerGuard {
    /// Gets the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server as a crash would and waits until its port is closed.
    pub fn stop(&mut self) {
        self.switch.stop();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }

    /// Waits until the server stops by itself.
    pub fn join(&mut self) {
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

impl Drop for ServerGuard {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts a server in threads of its own.
///
/// # Errors
///
/// Fails if the address cannot be bound or the server does not start.
pub fn start<F>(listen: &str, switch: StopSwitch, configure: F) -> anyhow::Result<ServerGuard>
where
    F: Fn(&mut ServiceConfig) + Clone + Send + 'static,
{
    let listener = TcpListener::bind(listen).with_context(|| format!("cannot bind {listen}"))?;
    let address = listener.local_addr()?;
    let (started, wait_started) = mpsc::channel();
    let thread =
        std::thread::Builder::new().name(format!("stand-in {address}")).spawn(move || {
            let system = System::new("stand-in", ntex::rt::DefaultRuntime);
            let result = system.run(move || {
                let config = SharedCfg::new("STAND-IN").add(
                    HttpServiceConfig::new()
                        .set_keepalive_timeout(KEEP_ALIVE)
                        .set_client_timeout(HEADERS_TIMEOUT),
                );
                let server = HttpServer::new(async move || App::new().configure(configure.clone()))
                    .workers(1)
                    .maxconn(CONNECTION_LIMIT)
                    .disable_signals()
                    .config(config)
                    .listen(listener)?
                    .run();
                let _ = started.send(System::current());
                ntex::rt::spawn(async move {
                    let _ = server.await;
                });
                Ok(())
            });
            if let Err(error) = result {
                log::warn!("stand-in {address} stopped: {error}");
            }
        })?;
    let system = wait_started.recv().context("the server did not start")?;
    let _ = switch.0.set(system);
    Ok(ServerGuard { address, switch, thread: Some(thread) })
}

/// Reads a JSON body within the limits of size and time.
///
/// # Errors
///
/// Returns the answer for the sender: 400, 408 or 413.
pub async fn read_json<T: DeserializeOwned>(payload: Payload) -> Result<T, HttpResponse> {
    let body = read_body(payload).await?;
    serde_json::from_slice(&body)
        .map_err(|error| refuse(StatusCode::BAD_REQUEST, &format!("JSON: {error}")))
}

/// Reads a body within the limits of size and time.
///
/// # Errors
///
/// Returns the answer for the sender: 400, 408 or 413.
pub async fn read_body(mut payload: Payload) -> Result<Vec<u8>, HttpResponse> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = stream_recv(&mut payload).await {
            let chunk = chunk.map_err(|error| {
                refuse(StatusCode::BAD_REQUEST, &format!("incomplete body: {error}"))
            })?;
            if body.len() + chunk.len() > BODY_LIMIT {
                return Err(refuse(StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.to_vec())
    };
    timeout(BODY_TIMEOUT, read)
        .await
        .unwrap_or_else(|()| Err(refuse(StatusCode::REQUEST_TIMEOUT, "the body is late")))
}

/// Answers that a request was not executed.
pub fn refuse(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&json!({"error": message}))
}

/// Gets a request header as text.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Fault in which open connections go silent for ever while new ones work.
#[derive(Debug, Default)]
pub struct SilenceFault {
    state: Mutex<SilenceState>,
}

#[derive(Debug, Default)]
struct SilenceState {
    /// Number of times that all open connections went silent.
    epoch: u64,
    /// Epoch in which each connection was first used, by the address of its other end.
    born: HashMap<SocketAddr, u64>,
}

/// A connection as the silence fault sees it.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionAge(u64);

impl SilenceFault {
    /// Makes every connection that was used before silent.
    pub fn silence(&self) {
        self.lock().epoch += 1;
    }

    /// Notes a request on its connection.
    pub fn enter(&self, request: &HttpRequest) -> ConnectionAge {
        let mut state = self.lock();
        let epoch = state.epoch;
        let Some(peer) = request.peer_addr() else { return ConnectionAge(epoch) };
        if state.born.len() >= KNOWN_CONNECTIONS {
            state.born.clear();
        }
        ConnectionAge(*state.born.entry(peer).or_insert(epoch))
    }

    /// Returns whether the connection is silent now.
    pub fn is_silent(&self, age: ConnectionAge) -> bool {
        self.lock().epoch > age.0
    }

    /// Never returns if the connection is silent.
    pub async fn pass(&self, age: ConnectionAge) {
        if self.is_silent(age) {
            std::future::pending::<()>().await;
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, SilenceState> {
        self.state.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }
}

/// Waits for a duration given in milliseconds; returns at once for 0.
pub async fn delay(millis: u64) {
    if millis > 0 {
        ntex::time::sleep(Duration::from_millis(millis)).await;
    }
}
