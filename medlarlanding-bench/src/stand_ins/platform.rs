//! Stand-in for the configuration service and the instance list.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use argh::FromArgs;
use ntex::http::StatusCode;
use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::watch;

use super::server::{
    ServerGuard, SilenceFault, StopSwitch, delay, read_body, read_json, refuse, start,
};

/// Longest wait of one watch.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Largest value in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Earlier revisions kept for the fault that goes back.
const HISTORY: usize = 64;
/// Name under which the instance list is kept; not a legal value name.
const INSTANCES: &str = "/instances";

/// runs a configuration service stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {
    /// address to listen on; port 0 chooses one
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// value to publish, as name=file; can be repeated
    #[argh(option)]
    value: Vec<String>,
    /// file with the JSON array of published instances
    #[argh(option)]
    instances: Option<String>,
    /// calls per second that are answered; more get 429
    #[argh(option, default = "2000")]
    rate: u32,
}

/// One entry of the published instance list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PublishedInstance {
    /// Name, unique within the list.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// `live` or `leaving`.
    pub state: String,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for connections between instances.
    pub tcp: SocketAddr,
}

/// Faults of the platform. A key that is left out of `POST /faults` stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Stops the process's server as a crash would.
    pub die: Option<bool>,
    /// Every call is answered with 503.
    pub down: Option<bool>,
    /// Answers stay at the revisions of the moment at which this was switched on.
    pub stale: Option<bool>,
    /// Answers are this many revisions old.
    pub back: Option<usize>,
    /// Every answer is late by this many milliseconds.
    pub slow_ms: Option<u64>,
    /// Open connections go silent; new ones work.
    pub silent: Option<bool>,
}

#[derive(Clone, Debug)]
struct Revision {
    revision: u64,
    value: Arc<str>,
}

#[derive(Debug, Default)]
struct Values {
    /// Revisions of each value, oldest first.
    history: HashMap<String, Vec<Revision>>,
    /// Last revision; one counter for all values.
    revision: u64,
    /// Value of `revision` from which answers are stale.
    frozen: Option<u64>,
    faults: PlatformFaults,
    /// Calls that may still be answered in the current second.
    allowance: f64,
    refilled: Option<Instant>,
    calls: u64,
}

impl Values {
    /// Gets the revision of a value that readers see.
    fn visible(&self, name: &str) -> Option<Revision> {
        let history = self.history.get(name)?;
        let limit = self.frozen.unwrap_or(u64::MAX);
        let end = history.partition_point(|entry| entry.revision <= limit);
        let back = self.faults.back.unwrap_or(0).min(end.saturating_sub(1));
        history[..end].iter().rev().nth(back).cloned()
    }
}

/// State of the platform, shared between its server and the process that runs it.
#[derive(Debug)]
pub struct PlatformState {
    values: Mutex<Values>,
    changed: watch::Sender<u64>,
    silence: SilenceFault,
    switch: StopSwitch,
    rate: u32,
}

impl PlatformState {
    fn lock(&self) -> MutexGuard<'_, Values> {
        self.values.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn publish(&self, name: &str, value: &str) -> u64 {
        let mut values = self.lock();
        values.revision += 1;
        let revision = values.revision;
        let history = values.history.entry(name.to_owned()).or_default();
        history.push(Revision { revision, value: value.into() });
        if history.len() > HISTORY {
            history.remove(0);
        }
        drop(values);
        self.changed.send_modify(|changes| *changes += 1);
        revision
    }

    fn apply(&self, faults: &PlatformFaults) -> PlatformFaults {
        let mut values = self.lock();
        if let Some(stale) = faults.stale {
            values.frozen = stale.then_some(values.revision);
        }
        let current = &mut values.faults;
        current.down = faults.down.or(current.down);
        current.stale = faults.stale.or(current.stale);
        current.back = faults.back.or(current.back);
        current.slow_ms = faults.slow_ms.or(current.slow_ms);
        let current = current.clone();
        drop(values);
        if faults.silent == Some(true) {
            self.silence.silence();
        }
        if faults.die == Some(true) {
            self.switch.stop();
        }
        self.changed.send_modify(|changes| *changes += 1);
        current
    }

    /// Takes one call from the rate limit.
    fn admit(&self) -> Result<(), HttpResponse> {
        let mut values = self.lock();
        if values.faults.down == Some(true) {
            return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "the service is down"));
        }
        values.calls += 1;
        let now = Instant::now();
        let rate = f64::from(self.rate);
        let elapsed = values.refilled.map_or(1.0, |at| (now - at).as_secs_f64());
        values.refilled = Some(now);
        values.allowance = (values.allowance + elapsed * rate).min(rate);
        if values.allowance < 1.0 {
            return Err(refuse(StatusCode::TOO_MANY_REQUESTS, "too many calls"));
        }
        values.allowance -= 1.0;
        Ok(())
    }
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct PlatformHandle {
    server: ServerGuard,
    state: Arc<PlatformState>,
}

impl PlatformHandle {
    /// Gets the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value and returns its revision.
    pub fn set_value(&self, name: &str, value: &str) -> u64 {
        self.state.publish(name, value)
    }

    /// Publishes the instance list and returns its revision.
    pub fn set_instances(&self, instances: &[PublishedInstance]) -> u64 {
        let text = serde_json::to_string(instances).expect("instance lists are plain data");
        self.state.publish(INSTANCES, &text)
    }

    /// Switches faults as `POST /faults` does.
    pub fn set_faults(&self, faults: &PlatformFaults) {
        self.state.apply(faults);
    }

    /// Gets the number of calls since the start.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Stops the server as a crash would.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts a platform that answers at most `rate` calls per second.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start_platform(listen: &str, rate: u32) -> anyhow::Result<PlatformHandle> {
    let switch = StopSwitch::default();
    let state = Arc::new(PlatformState {
        values: Mutex::new(Values::default()),
        changed: watch::Sender::new(0),
        silence: SilenceFault::default(),
        switch: switch.clone(),
        rate,
    });
    let shared = Arc::clone(&state);
    let server = start(listen, switch, move |config| routes(config, &shared))?;
    Ok(PlatformHandle { server, state })
}

/// Runs the subcommand until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be bound or a file cannot be read.
pub fn run(options: PlatformOptions) -> anyhow::Result<()> {
    let mut handle = start_platform(&options.listen, options.rate)?;
    for value in &options.value {
        let Some((name, file)) = value.split_once('=') else {
            anyhow::bail!("--value needs the form name=file");
        };
        handle.set_value(name, &std::fs::read_to_string(file)?);
    }
    if let Some(file) = &options.instances {
        let text = std::fs::read_to_string(file)?;
        handle.set_instances(&serde_json::from_str::<Vec<_>>(&text)?);
    }
    println!("{}", handle.address());
    handle.server.join();
    Ok(())
}

fn routes(config: &mut ServiceConfig, state: &Arc<PlatformState>) {
    config
        .state(Arc::clone(state))
        .service(
            web::resource("/v1/values/{name}")
                .route(web::get().to(get_value))
                .route(web::put().to(put_value)),
        )
        .service(
            web::resource("/v1/instances")
                .route(web::get().to(get_instances))
                .route(web::put().to(put_instances)),
        )
        .route("/faults", web::post().to(set_faults));
}

type Shared = State<Arc<PlatformState>>;

#[derive(Debug, Default, Deserialize)]
struct WatchQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

/// Waits until the value's visible revision differs from the one that the reader knows.
async fn read(
    state: &PlatformState,
    request: &HttpRequest,
    name: &str,
    query: &WatchQuery,
) -> Result<Revision, HttpResponse> {
    let age = state.silence.enter(request);
    state.admit()?;
    let slow = state.lock().faults.slow_ms.unwrap_or(0);
    delay(slow).await;
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0)).min(WAIT_LIMIT);
    let mut changed = state.changed.subscribe();
    let newer = async {
        loop {
            changed.borrow_and_update();
            if state.lock().faults.down == Some(true) {
                return;
            }
            let visible = state.visible(name);
            if visible.is_some_and(|entry| query.after.is_none_or(|after| entry.revision > after)) {
                return;
            }
            if changed.changed().await.is_err() {
                return;
            }
        }
    };
    let _ = ntex::time::timeout(wait, newer).await;
    state.silence.pass(age).await;
    if state.lock().faults.down == Some(true) {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "the service is down"));
    }
    state.visible(name).ok_or_else(|| refuse(StatusCode::NOT_FOUND, "no such value"))
}

impl PlatformState {
    fn visible(&self, name: &str) -> Option<Revision> {
        self.lock().visible(name)
    }
}

async fn get_value(
    state: Shared,
    request: HttpRequest,
    name: Path<String>,
    query: Query<WatchQuery>,
) -> HttpResponse {
    match read(&state, &request, &name, &query).await {
        Ok(entry) => {
            HttpResponse::Ok().json(&json!({"revision": entry.revision, "value": &*entry.value}))
        },
        Err(answer) => answer,
    }
}

async fn get_instances(
    state: Shared,
    request: HttpRequest,
    query: Query<WatchQuery>,
) -> HttpResponse {
    match read(&state, &request, INSTANCES, &query).await {
        Ok(entry) => {
            let instances: serde_json::Value =
                serde_json::from_str(&entry.value).unwrap_or_default();
            HttpResponse::Ok().json(&json!({"revision": entry.revision, "instances": instances}))
        },
        Err(answer) => answer,
    }
}

async fn put_value(state: Shared, name: Path<String>, payload: Payload) -> HttpResponse {
    let body = match read_body(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    if body.len() > VALUE_LIMIT {
        return refuse(StatusCode::PAYLOAD_TOO_LARGE, "the value exceeds 1 MiB");
    }
    match String::from_utf8(body) {
        Ok(value) => {
            let revision = state.publish(&name, &value);
            HttpResponse::Ok().json(&json!({"revision": revision}))
        },
        Err(_) => refuse(StatusCode::BAD_REQUEST, "the value is not UTF-8"),
    }
}

async fn put_instances(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<Vec<PublishedInstance>>(payload).await {
        Ok(instances) => {
            let text = serde_json::to_string(&instances).expect("instance lists are plain data");
            let revision = state.publish(INSTANCES, &text);
            HttpResponse::Ok().json(&json!({"revision": revision}))
        },
        Err(answer) => answer,
    }
}

async fn set_faults(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<PlatformFaults>(payload).await {
        Ok(faults) => HttpResponse::Ok().json(&state.apply(&faults)),
        Err(answer) => answer,
    }
}
