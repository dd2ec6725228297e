//! Stand-in for a plain service over HTTP.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use argh::FromArgs;
use indexmap::IndexMap;
use medlarlanding_core::ids::stable_hash;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::server::{
    ServerGuard, SilenceFault, StopSwitch, delay, header, read_json, refuse, start,
};

/// Most orders that are remembered; more are refused before they are executed.
const ORDER_LIMIT: usize = 1_000_000;

/// runs a plain service stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
pub struct ServiceOptions {
    /// address to listen on; port 0 chooses one
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// recognise repeated orders by their x-order-id
    #[argh(switch)]
    check_keys: bool,
    /// refuse orders whose x-fence is lower than one seen before
    #[argh(switch)]
    check_fences: bool,
}

/// Faults of a plain service. A key that is left out of `POST /faults` stays as it is.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServiceFaults {
    /// Stops the process's server as a crash would.
    pub die: Option<bool>,
    /// Every answer is late by this many milliseconds.
    pub delay_ms: Option<u64>,
    /// Requests are executed and never answered.
    pub no_answer: Option<bool>,
    /// Requests are executed and the connection is closed without any answer.
    pub close_unanswered: Option<bool>,
    /// Requests are refused with 503 before they are executed.
    pub refuse: Option<bool>,
    /// Requests are executed and the connection is closed within the answer.
    pub close_early: Option<bool>,
    /// Open connections go silent; new ones work.
    pub silent: Option<bool>,
    /// Orders with a fence lower than one seen before are refused.
    pub check_fences: Option<bool>,
    /// Repeated orders get the first answer and are not executed again.
    pub check_keys: Option<bool>,
}

/// What a service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions per `x-order-id`.
    pub executions: IndexMap<String, u64>,
    /// Executions per `reference` in the order's body, for load generators that do not
    /// know order ids.
    pub references: IndexMap<String, u64>,
    /// Orders recognised as repetitions and not executed.
    pub repetitions: u64,
    /// Look-ups answered.
    pub lookups: u64,
}

#[derive(Debug, Default)]
struct ServiceWork {
    executed: Executions,
    answers: IndexMap<String, Value>,
    highest_fence: u64,
    faults: ServiceFaults,
}

#[derive(Debug)]
struct ServiceState {
    work: Mutex<ServiceWork>,
    silence: SilenceFault,
    switch: StopSwitch,
}

impl ServiceState {
    fn lock(&self) -> MutexGuard<'_, ServiceWork> {
        self.work.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply(&self, faults: &ServiceFaults) -> ServiceFaults {
        let mut work = self.lock();
        let current = &mut work.faults;
        current.delay_ms = faults.delay_ms.or(current.delay_ms);
        current.no_answer = faults.no_answer.or(current.no_answer);
        current.close_unanswered = faults.close_unanswered.or(current.close_unanswered);
        current.refuse = faults.refuse.or(current.refuse);
        current.close_early = faults.close_early.or(current.close_early);
        current.check_fences = faults.check_fences.or(current.check_fences);
        current.check_keys = faults.check_keys.or(current.check_keys);
        let current = current.clone();
        drop(work);
        if faults.silent == Some(true) {
            self.silence.silence();
        }
        if faults.die == Some(true) {
            self.switch.stop();
        }
        current
    }
}

/// A running plain service stand-in.
#[derive(Debug)]
pub struct ServiceHandle {
    server: ServerGuard,
    state: Arc<ServiceState>,
}

impl ServiceHandle {
    /// Gets the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Gets what was executed so far.
    pub fn executions(&self) -> Executions {
        self.state.lock().executed.clone()
    }

    /// Switches faults as `POST /faults` does.
    pub fn set_faults(&self, faults: &ServiceFaults) {
        self.state.apply(faults);
    }

    /// Stops the server as a crash would.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts a plain service with the given switches.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start_service(listen: &str, faults: &ServiceFaults) -> anyhow::Result<ServiceHandle> {
    let switch = StopSwitch::default();
    let state = Arc::new(ServiceState {
        work: Mutex::new(ServiceWork::default()),
        silence: SilenceFault::default(),
        switch: switch.clone(),
    });
    state.apply(faults);
    let shared = Arc::clone(&state);
    let server = start(listen, switch, move |config| routes(config, &shared))?;
    Ok(ServiceHandle { server, state })
}

/// Runs the subcommand until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn run(options: ServiceOptions) -> anyhow::Result<()> {
    let faults = ServiceFaults {
        check_keys: Some(options.check_keys),
        check_fences: Some(options.check_fences),
        ..ServiceFaults::default()
    };
    let mut handle = start_service(&options.listen, &faults)?;
    println!("{}", handle.address());
    handle.server.join();
    Ok(())
}

fn routes(config: &mut ServiceConfig, state: &Arc<ServiceState>) {
    config
        .state(Arc::clone(state))
        .route("/v1/lookups", web::post().to(look_up))
        .route("/v1/orders", web::post().to(order))
        .route("/v1/executions", web::get().to(get_executions))
        .route("/faults", web::post().to(set_faults));
}

type Shared = State<Arc<ServiceState>>;

/// Answers to an execution as the faults demand.
async fn answer(
    state: &ServiceState,
    request: &HttpRequest,
    faults: &ServiceFaults,
    body: Value,
) -> HttpResponse {
    let age = state.silence.enter(request);
    delay(faults.delay_ms.unwrap_or(0)).await;
    state.silence.pass(age).await;
    if faults.close_unanswered == Some(true)
        && let Some(io) = request.io()
    {
        io.terminate();
    }
    if faults.no_answer == Some(true) || faults.close_unanswered == Some(true) {
        std::future::pending::<()>().await;
    }
    if faults.close_early == Some(true) {
        let text = body.to_string();
        let half = Bytes::copy_from_slice(&text.as_bytes()[..text.len() / 2]);
        let broken = std::io::Error::other("closed by the fault close_early");
        let chunks = futures_util::stream::iter([Ok(half), Err(broken)]);
        return HttpResponse::Ok().content_type("application/json").streaming(chunks);
    }
    HttpResponse::Ok().json(&body)
}

async fn look_up(state: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let age = state.silence.enter(&request);
    state.silence.pass(age).await;
    let body: Value = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let faults = state.lock().faults.clone();
    if faults.refuse == Some(true) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the service refuses requests");
    }
    state.lock().executed.lookups += 1;
    let query = body.get("query").cloned().unwrap_or_default();
    let found = stable_hash(query.to_string().as_bytes()) % 100;
    answer(&state, &request, &faults, json!({"query": query, "in_stock": found})).await
}

async fn order(state: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let age = state.silence.enter(&request);
    state.silence.pass(age).await;
    let Some(id) = header(&request, "x-order-id").map(str::to_owned) else {
        return refuse(StatusCode::BAD_REQUEST, "the header x-order-id is missing");
    };
    let fence = header(&request, "x-fence").and_then(|fence| fence.parse::<u64>().ok());
    let Some(fence) = fence else {
        return refuse(StatusCode::BAD_REQUEST, "the header x-fence is missing or no number");
    };
    let body: Value = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let faults = state.lock().faults.clone();
    if faults.refuse == Some(true) {
        return refuse(StatusCode::SERVICE_UNAVAILABLE, "the service refuses requests");
    }
    // The lock must not be held while the answer waits.
    let executed = execute(&mut state.lock(), &faults, &id, fence, &body);
    match executed {
        Ok(body) => answer(&state, &request, &faults, body).await,
        Err(answer) => answer,
    }
}

fn execute(
    work: &mut ServiceWork,
    faults: &ServiceFaults,
    id: &str,
    fence: u64,
    body: &Value,
) -> Result<Value, HttpResponse> {
    if faults.check_fences == Some(true) && fence < work.highest_fence {
        return Err(refuse(StatusCode::CONFLICT, "the fence is older than one seen before"));
    }
    work.highest_fence = work.highest_fence.max(fence);
    if faults.check_keys == Some(true)
        && let Some(answer) = work.answers.get(id)
    {
        work.executed.repetitions += 1;
        return Ok(answer.clone());
    }
    if work.executed.executions.len() >= ORDER_LIMIT {
        return Err(refuse(StatusCode::SERVICE_UNAVAILABLE, "too many orders to remember"));
    }
    let executed = work.executed.executions.entry(id.to_owned()).or_insert(0);
    *executed += 1;
    let execution = *executed;
    let reference = body.get("reference").and_then(Value::as_str);
    if let Some(reference) = reference {
        *work.executed.references.entry(reference.to_owned()).or_insert(0) += 1;
    }
    let answer = json!({"done": true, "reference": reference, "execution": execution});
    work.answers.entry(id.to_owned()).or_insert_with(|| answer.clone());
    Ok(answer)
}

async fn get_executions(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().executed)
}

async fn set_faults(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<ServiceFaults>(payload).await {
        Ok(faults) => HttpResponse::Ok().json(&state.apply(&faults)),
        Err(answer) => answer,
    }
}
