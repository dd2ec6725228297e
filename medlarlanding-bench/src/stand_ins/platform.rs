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
    ServerGuard, SilenceFault, StopSwitch, delay, error_response, read_body, read_json, start,
};

/// Longest wait of one watch request.
const WAIT_LIMIT: Duration = Duration::from_secs(60);
/// Largest value in bytes.
const VALUE_LIMIT: usize = 1 << 20;
/// Number of revisions kept per value, for the fault `back`.
const HISTORY_LIMIT: usize = 64;
/// Name under which the instance list is stored; not valid as the name of a value.
const INSTANCE_LIST: &str = "/instances";

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
    /// UDP address for datagrams between instances.
    pub udp: SocketAddr,
    /// TCP address for connections between instances.
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
    /// Answers stay at the revisions that were current when this fault was switched on.
    pub stale: Option<bool>,
    /// Answers are this many revisions old.
    pub back: Option<usize>,
    /// Delay of every answer in milliseconds.
    pub slow_ms: Option<u64>,
    /// Open connections never answer again; new ones work.
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
    /// Latest revision, counted over all values.
    revision: u64,
    /// Highest visible revision while the fault `stale` is on.
    stale_revision: Option<u64>,
    faults: PlatformFaults,
    /// Calls that may be answered now; refilled at the rate limit, up to one second's worth.
    allowance: f64,
    refilled_at: Option<Instant>,
    calls: u64,
}

impl Values {
    /// Returns the revision of a value that is visible to readers under the faults.
    fn visible(&self, name: &str) -> Option<Revision> {
        let history = self.history.get(name)?;
        let limit = self.stale_revision.unwrap_or(u64::MAX);
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
        if history.len() > HISTORY_LIMIT {
            history.remove(0);
        }
        drop(values);
        self.changed.send_modify(|changes| *changes += 1);
        revision
    }

    fn apply_faults(&self, faults: &PlatformFaults) -> PlatformFaults {
        let mut values = self.lock();
        if let Some(stale) = faults.stale {
            values.stale_revision = stale.then_some(values.revision);
        }
        let current = &mut values.faults;
        current.down = faults.down.or(current.down);
        current.stale = faults.stale.or(current.stale);
        current.back = faults.back.or(current.back);
        current.slow_ms = faults.slow_ms.or(current.slow_ms);
        let current = current.clone();
        drop(values);
        if faults.silent == Some(true) {
            self.silence.silence_connections();
        }
        if faults.die == Some(true) {
            self.switch.stop();
        }
        self.changed.send_modify(|changes| *changes += 1);
        current
    }

    /// Admits one call, or refuses it if the service is down or the rate limit is reached.
    fn admit(&self) -> Result<(), HttpResponse> {
        let mut values = self.lock();
        if values.faults.down == Some(true) {
            return Err(error_response(StatusCode::SERVICE_UNAVAILABLE, "the service is down"));
        }
        values.calls += 1;
        let now = Instant::now();
        let rate = f64::from(self.rate);
        let elapsed = values.refilled_at.map_or(1.0, |at| (now - at).as_secs_f64());
        values.refilled_at = Some(now);
        values.allowance = (values.allowance + elapsed * rate).min(rate);
        if values.allowance < 1.0 {
            return Err(error_response(
                StatusCode::TOO_MANY_REQUESTS,
                &format!("more than {} calls per second", self.rate),
            ));
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
    /// Returns the address that the platform listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Publishes a value and returns its revision.
    pub fn set_value(&self, name: &str, value: &str) -> u64 {
        self.state.publish(name, value)
    }

    /// Publishes the instance list and returns its revision.
    pub fn set_instances(&self, instances: &[PublishedInstance]) -> u64 {
        let text = serde_json::to_string(instances).expect("an instance list can be serialised");
        self.state.publish(INSTANCE_LIST, &text)
    }

    /// Sets faults as `POST /faults` does.
    pub fn set_faults(&self, faults: &PlatformFaults) {
        self.state.apply_faults(faults);
    }

    /// Returns the number of calls since the start.
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

/// Returns the visible revision of a value. Waits for one newer than `after`, up to `wait_ms`.
async fn read(
    state: &PlatformState,
    request: &HttpRequest,
    name: &str,
    query: &WatchQuery,
) -> Result<Revision, HttpResponse> {
    let epoch = state.silence.track(request);
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
    state.silence.block_if_silent(epoch).await;
    if state.lock().faults.down == Some(true) {
        return Err(error_response(StatusCode::SERVICE_UNAVAILABLE, "the service is down"));
    }
    state.visible(name).ok_or_else(|| error_response(StatusCode::NOT_FOUND, "no such value"))
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
    match read(&state, &request, INSTANCE_LIST, &query).await {
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
        return error_response(StatusCode::PAYLOAD_TOO_LARGE, "the value exceeds 1 MiB");
    }
    match String::from_utf8(body) {
        Ok(value) => {
            let revision = state.publish(&name, &value);
            HttpResponse::Ok().json(&json!({"revision": revision}))
        },
        Err(_) => error_response(StatusCode::BAD_REQUEST, "the value is not UTF-8"),
    }
}

async fn put_instances(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<Vec<PublishedInstance>>(payload).await {
        Ok(instances) => {
            let text =
                serde_json::to_string(&instances).expect("an instance list can be serialised");
            let revision = state.publish(INSTANCE_LIST, &text);
            HttpResponse::Ok().json(&json!({"revision": revision}))
        },
        Err(answer) => answer,
    }
}

async fn set_faults(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<PlatformFaults>(payload).await {
        Ok(faults) => HttpResponse::Ok().json(&state.apply_faults(&faults)),
        Err(answer) => answer,
    }
}
