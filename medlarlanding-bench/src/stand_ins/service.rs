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
    ServerGuard, SilenceFault, StopSwitch, delay, error_response, header, read_json, start,
};

/// Largest number of orders stored; further ones are refused before they are executed.
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
    /// Delay of every answer in milliseconds.
    pub delay_ms: Option<u64>,
    /// Requests are executed and never answered.
    pub no_answer: Option<bool>,
    /// Requests are executed and the connection is closed without any answer.
    pub close_unanswered: Option<bool>,
    /// Requests are refused with 503 before they are executed.
    pub refuse: Option<bool>,
    /// Requests are executed and the connection is closed in the middle of the answer.
    pub close_early: Option<bool>,
    /// Open connections never answer again; new ones work.
    pub silent: Option<bool>,
    /// Orders with a fence lower than one seen before are refused.
    pub check_fences: Option<bool>,
    /// Repeated orders get the first answer and are not executed again.
    pub check_keys: Option<bool>,
}

/// Requests that a service executed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executions {
    /// Executions per `x-order-id`.
    pub executions: IndexMap<String, u64>,
    /// Executions per `reference` in the order's body, for load generators that do not know the
    /// `x-order-id`.
    pub references: IndexMap<String, u64>,
    /// Orders that were recognised as repeated and not executed again.
    pub repetitions: u64,
    /// Look-ups executed.
    pub lookups: u64,
}

#[derive(Debug, Default)]
struct ServiceInner {
    executed: Executions,
    answers: IndexMap<String, Value>,
    highest_fence: u64,
    faults: ServiceFaults,
}

#[derive(Debug)]
struct ServiceState {
    inner: Mutex<ServiceInner>,
    silence: SilenceFault,
    switch: StopSwitch,
}

impl ServiceState {
    fn lock(&self) -> MutexGuard<'_, ServiceInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn apply_faults(&self, faults: &ServiceFaults) -> ServiceFaults {
        let mut inner = self.lock();
        let current = &mut inner.faults;
        current.delay_ms = faults.delay_ms.or(current.delay_ms);
        current.no_answer = faults.no_answer.or(current.no_answer);
        current.close_unanswered = faults.close_unanswered.or(current.close_unanswered);
        current.refuse = faults.refuse.or(current.refuse);
        current.close_early = faults.close_early.or(current.close_early);
        current.check_fences = faults.check_fences.or(current.check_fences);
        current.check_keys = faults.check_keys.or(current.check_keys);
        let current = current.clone();
        drop(inner);
        if faults.silent == Some(true) {
            self.silence.silence_connections();
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
    /// Returns the address that the service listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the requests executed so far.
    pub fn executions(&self) -> Executions {
        self.state.lock().executed.clone()
    }

    /// Sets faults as `POST /faults` does.
    pub fn set_faults(&self, faults: &ServiceFaults) {
        self.state.apply_faults(faults);
    }

    /// Stops the server as a crash would.
    pub fn stop(&mut self) {
        self.server.stop();
    }
}

/// Starts a plain service with the given faults.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn start_service(listen: &str, faults: &ServiceFaults) -> anyhow::Result<ServiceHandle> {
    let switch = StopSwitch::default();
    let state = Arc::new(ServiceState {
        inner: Mutex::new(ServiceInner::default()),
        silence: SilenceFault::default(),
        switch: switch.clone(),
    });
    state.apply_faults(faults);
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

/// Answers an executed request with `body`, subject to the faults.
async fn answer(
    state: &ServiceState,
    request: &HttpRequest,
    faults: &ServiceFaults,
    body: Value,
) -> HttpResponse {
    let epoch = state.silence.track(request);
    delay(faults.delay_ms.unwrap_or(0)).await;
    state.silence.block_if_silent(epoch).await;
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
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let body: Value = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let faults = state.lock().faults.clone();
    if faults.refuse == Some(true) {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the service refuses requests");
    }
    state.lock().executed.lookups += 1;
    let query = body.get("query").cloned().unwrap_or_default();
    let found = stable_hash(query.to_string().as_bytes()) % 100;
    answer(&state, &request, &faults, json!({"query": query, "in_stock": found})).await
}

async fn order(state: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let Some(id) = header(&request, "x-order-id").map(str::to_owned) else {
        return error_response(StatusCode::BAD_REQUEST, "the header x-order-id is missing");
    };
    let fence = header(&request, "x-fence").and_then(|fence| fence.parse::<u64>().ok());
    let Some(fence) = fence else {
        return error_response(
            StatusCode::BAD_REQUEST,
            "the header x-fence is missing or not a number",
        );
    };
    let body: Value = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let faults = state.lock().faults.clone();
    if faults.refuse == Some(true) {
        return error_response(StatusCode::SERVICE_UNAVAILABLE, "the service refuses requests");
    }
    // `answer` may wait for a fault, so the lock is released first.
    let executed = execute(&mut state.lock(), &faults, &id, fence, &body);
    match executed {
        Ok(body) => answer(&state, &request, &faults, body).await,
        Err(answer) => answer,
    }
}

fn execute(
    inner: &mut ServiceInner,
    faults: &ServiceFaults,
    id: &str,
    fence: u64,
    body: &Value,
) -> Result<Value, HttpResponse> {
    if faults.check_fences == Some(true) && fence < inner.highest_fence {
        return Err(error_response(
            StatusCode::CONFLICT,
            "the fence is lower than one seen before",
        ));
    }
    inner.highest_fence = inner.highest_fence.max(fence);
    if faults.check_keys == Some(true)
        && let Some(answer) = inner.answers.get(id)
    {
        inner.executed.repetitions += 1;
        return Ok(answer.clone());
    }
    if inner.executed.executions.len() >= ORDER_LIMIT {
        return Err(error_response(
            StatusCode::SERVICE_UNAVAILABLE,
            &format!("the limit of {ORDER_LIMIT} stored orders is reached"),
        ));
    }
    let executed = inner.executed.executions.entry(id.to_owned()).or_insert(0);
    *executed += 1;
    let execution = *executed;
    let reference = body.get("reference").and_then(Value::as_str);
    if let Some(reference) = reference {
        *inner.executed.references.entry(reference.to_owned()).or_insert(0) += 1;
    }
    let answer = json!({"done": true, "reference": reference, "execution": execution});
    inner.answers.entry(id.to_owned()).or_insert_with(|| answer.clone());
    Ok(answer)
}

async fn get_executions(state: Shared) -> HttpResponse {
    HttpResponse::Ok().json(&state.lock().executed)
}

async fn set_faults(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<ServiceFaults>(payload).await {
        Ok(faults) => HttpResponse::Ok().json(&state.apply_faults(&faults)),
        Err(answer) => answer,
    }
}
