//! HTTP server of all stand-ins, with one worker, limits on reads and a stop that acts like a crash.

use std::collections::HashMap;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, OnceLock, mpsc};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

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

/// Largest request body in bytes; leaves room for a configuration value of 1 MiB.
const BODY_LIMIT: usize = 2 << 20;
/// Time limit for receiving one request body.
const BODY_TIMEOUT: Millis = Millis(5_000);
/// Time limit for receiving the headers of one request.
const HEADERS_TIMEOUT: Seconds = Seconds(5);
/// Idle time after which a keep-alive connection is closed.
const KEEP_ALIVE: Seconds = Seconds(30);
/// Largest number of concurrent connections.
const CONNECTION_LIMIT: usize = 8192;
/// Time limit for the port of a stopped server to close.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Interval at which the port of a stopped server is checked.
const CLOSE_CHECK_PERIOD: Duration = Duration::from_millis(1);
/// Largest number of connections that `SilenceFault` keeps track of.
const TRACKED_CONNECTIONS: usize = 65_536;

/// Stops a server at once: aborts open connections and closes the port.
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
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops the server as a crash would and waits until its port is closed.
    pub fn stop(&mut self) {
        self.switch.stop();
        let Some(thread) = self.thread.take() else { return };
        let _ = thread.join();
        // A further thread accepts connections and closes the port a little later.
        let started = Instant::now();
        while started.elapsed() < CLOSE_TIMEOUT
            && TcpStream::connect_timeout(&self.address, CLOSE_TIMEOUT).is_ok()
        {
            std::thread::sleep(CLOSE_CHECK_PERIOD);
        }
    }

    /// Waits until the server is stopped by its `StopSwitch`.
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

/// Starts a server on its own threads.
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

/// Reads a JSON body of at most `BODY_LIMIT` within `BODY_TIMEOUT`.
///
/// # Errors
///
/// Returns the answer for the sender: 400, 408 or 413.
pub async fn read_json<T: DeserializeOwned>(payload: Payload) -> Result<T, HttpResponse> {
    let body = read_body(payload).await?;
    serde_json::from_slice(&body)
        .map_err(|error| error_response(StatusCode::BAD_REQUEST, &format!("invalid JSON: {error}")))
}

/// Reads a body of at most `BODY_LIMIT` within `BODY_TIMEOUT`.
///
/// # Errors
///
/// Returns the answer for the sender: 400, 408 or 413.
pub async fn read_body(mut payload: Payload) -> Result<Vec<u8>, HttpResponse> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = stream_recv(&mut payload).await {
            let chunk = chunk.map_err(|error| {
                error_response(StatusCode::BAD_REQUEST, &format!("incomplete body: {error}"))
            })?;
            if body.len() + chunk.len() > BODY_LIMIT {
                return Err(error_response(
                    StatusCode::PAYLOAD_TOO_LARGE,
                    &format!("the body exceeds {BODY_LIMIT} bytes"),
                ));
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.to_vec())
    };
    timeout(BODY_TIMEOUT, read).await.unwrap_or_else(|()| {
        Err(error_response(
            StatusCode::REQUEST_TIMEOUT,
            &format!("the body was not received within {} ms", BODY_TIMEOUT.0),
        ))
    })
}

/// Returns the answer to a request that is not executed.
pub fn error_response(status: StatusCode, message: &str) -> HttpResponse {
    HttpResponse::build(status).json(&json!({"error": message}))
}

/// Returns a request header as text.
pub fn header<'a>(request: &'a HttpRequest, name: &str) -> Option<&'a str> {
    request.headers().get(name)?.to_str().ok()
}

/// Fault in which open connections never answer again while new ones work.
#[derive(Debug, Default)]
pub struct SilenceFault {
    state: Mutex<SilenceState>,
}

#[derive(Debug, Default)]
struct SilenceState {
    /// Number of times that the fault was switched on.
    epoch: u64,
    /// Epoch in which each connection was first used, by the peer's address.
    first_epochs: HashMap<SocketAddr, u64>,
}

/// Epoch in which a connection was first used.
#[derive(Clone, Copy, Debug)]
pub struct ConnectionEpoch(u64);

impl SilenceFault {
    /// Silences every connection that was used before.
    pub fn silence_connections(&self) {
        self.lock().epoch += 1;
    }

    /// Returns the epoch of a request's connection, which is the current one if it is new.
    pub fn track(&self, request: &HttpRequest) -> ConnectionEpoch {
        let mut state = self.lock();
        let epoch = state.epoch;
        let Some(peer) = request.peer_addr() else { return ConnectionEpoch(epoch) };
        if state.first_epochs.len() >= TRACKED_CONNECTIONS {
            state.first_epochs.clear();
        }
        ConnectionEpoch(*state.first_epochs.entry(peer).or_insert(epoch))
    }

    /// Returns whether a connection is silent.
    pub fn is_silent(&self, epoch: ConnectionEpoch) -> bool {
        self.lock().epoch > epoch.0
    }

    /// Returns at once, or never if the connection is silent.
    pub async fn block_if_silent(&self, epoch: ConnectionEpoch) {
        if self.is_silent(epoch) {
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
