//! Stand-in for a model engine over HTTP; runs `EngineModel` in real time.

use std::collections::{HashMap, HashSet, VecDeque};
use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::time::Timestamp;

use argh::FromArgs;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Path, Payload, Query, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand_distr::{Distribution, LogNormal};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

use super::server::{
    ConnectionEpoch, ServerGuard, SilenceFault, StopSwitch, error_response, header, read_json,
    start,
};
use super::tokens::{generation_name, token_text};
use crate::engine_model::{
    EngineInput, EngineModel, EngineOutput, EngineParams, EngineStats, FinishReason, GoneReason,
    LoadReport, Submission,
};

/// Upper limit of the drawn output lengths in tokens.
const LENGTH_LIMIT: f64 = 50_000.0;
/// Largest number of tokens in one chunk of a stream.
const CHUNK_TOKENS: usize = 64;
/// Number of cache events kept for readers.
const CACHE_EVENT_LIMIT: usize = 1024;
/// Stale names of generations are dropped once there are this many names above twice the number
/// of generations that the model knows.
const STALE_NAME_LIMIT: usize = 1024;
/// Part of the prompt that the prefix hash covers, in quarters.
const PREFIX_QUARTERS: u32 = 3;

/// runs a model engine stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "engine")]
pub struct EngineOptions {
    /// address to listen on; port 0 chooses one
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// tokens that fit into memory
    #[argh(option)]
    kv_tokens: Option<u64>,
    /// largest batch
    #[argh(option)]
    max_batch: Option<usize>,
    /// speed relative to the default engine
    #[argh(option, default = "1.0")]
    speed: f64,
    /// seed of lengths and event losses
    #[argh(option, default = "1")]
    seed: u64,
    /// median of the output lengths
    #[argh(option, default = "180.0")]
    length_median: f64,
    /// standard deviation of the logarithm of the output lengths
    #[argh(option, default = "1.2")]
    length_sigma: f64,
    /// refuse commands with a fence lower than one seen before
    #[argh(switch)]
    check_fences: bool,
}

/// Settings of an engine stand-in.
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Capacity and speed.
    pub params: EngineParams,
    /// Seed of lengths and event losses.
    pub seed: u64,
    /// Median of the output lengths. These are log-normal and thus heavy-tailed. A request can set
    /// its length with the header `x-test-tokens` or with `#tokens=N` in its prompt.
    pub length_median: f64,
    /// Standard deviation of the logarithm of the output lengths.
    pub length_sigma: f64,
    /// Whether commands with a fence lower than one seen before are refused.
    pub check_fences: bool,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            params: EngineParams::default(),
            seed: 1,
            length_median: 180.0,
            length_sigma: 1.2,
            check_fences: true,
        }
    }
}

impl EngineSettings {
    /// Makes the engine faster by the factor `speed`.
    #[must_use]
    pub fn with_speed(mut self, speed: f64) -> Self {
        self.params = scale_step_times(&self.params, 1.0 / speed);
        self
    }
}

/// Faults of an engine. A key that is left out of `POST /faults` stays as it is; the number 0
/// switches off a fault with a numeric value.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Stops the process's server as a crash would.
    pub die: Option<bool>,
    /// Stops the process's server, as a crash would, when it gets a prompt that contains this text.
    pub die_on: Option<String>,
    /// The server stops this many milliseconds after it got such a prompt, which it answers meanwhile.
    pub die_after_ms: Option<u64>,
    /// New generations are refused with 503 and not run.
    pub refuse: Option<bool>,
    /// Streams send no more after this many tokens of an attachment but stay open.
    pub stall_after: Option<u32>,
    /// Open connections never send again; new ones work.
    pub silent: Option<bool>,
    /// Factor by which steps take longer.
    pub slow: Option<f64>,
    /// Every nth token of an attachment is sent twice.
    pub repeat_every: Option<u32>,
    /// Every nth token of an attachment is left out.
    pub skip_every: Option<u32>,
    /// A token of another generation is sent after every nth token of an attachment.
    pub cross_every: Option<u32>,
    /// All generations are forgotten and their streams are aborted.
    pub forget: Option<bool>,
    /// Fraction of cache events that are lost.
    pub cache_event_loss: Option<f64>,
}

#[derive(Clone, Copy, Debug)]
enum StreamItem {
    Token(u32),
    Ended {
        tokens: u32,
        finish: FinishReason,
    },
    /// A later attachment took over the generation.
    Superseded,
}

#[derive(Debug)]
struct CacheEvent {
    number: u64,
    prefix: u64,
    stored: bool,
}

#[derive(Debug)]
struct EngineInner {
    model: EngineModel,
    settings: EngineSettings,
    faults: EngineFaults,
    lengths: LogNormal<f64>,
    rng: SmallRng,
    /// Streams of the current attachments, by request number.
    streams: HashMap<u64, UnboundedSender<StreamItem>>,
    names: HashMap<String, u64>,
    next_request: u64,
    /// Number of times that the fault `forget` replaced the model.
    resets: u64,
    cache_events: VecDeque<CacheEvent>,
    fence: u64,
    loaded: HashSet<String>,
    /// Times of the load commands that were performed.
    loads: Vec<Instant>,
    /// The fault `die_on` has stopped the engine.
    has_died: bool,
    /// Generations refused by the fault `refuse`.
    refused: u64,
    stopped: bool,
}

/// Stream of an attachment that the model accepted.
#[derive(Debug)]
struct AttachedStream {
    name: String,
    generation: u64,
    attachment: u32,
    resets: u64,
    items: UnboundedReceiver<StreamItem>,
}

impl EngineInner {
    fn run(&mut self, now: Timestamp, input: EngineInput) -> Vec<EngineOutput> {
        let mut outputs = Vec::new();
        self.model.handle(now, input, &mut outputs);
        for output in &outputs {
            match *output {
                EngineOutput::Started { .. } => {},
                EngineOutput::Token { request, seq, .. } => {
                    if let Some(stream) = self.streams.get(&request) {
                        let _ = stream.send(StreamItem::Token(seq));
                    }
                },
                EngineOutput::Ended { request, tokens, finish, .. } => {
                    if let Some(stream) = self.streams.remove(&request) {
                        let _ = stream.send(StreamItem::Ended { tokens, finish });
                    }
                },
                // Dropping the sender makes the stream abort its connection.
                EngineOutput::Gone { request, reason, .. } => {
                    if let Some(stream) = self.streams.remove(&request)
                        && reason == GoneReason::Superseded
                    {
                        let _ = stream.send(StreamItem::Superseded);
                    }
                },
                EngineOutput::Cache { number, prefix, stored } => {
                    self.cache_events.push_back(CacheEvent { number, prefix, stored });
                    if self.cache_events.len() > CACHE_EVENT_LIMIT {
                        self.cache_events.pop_front();
                    }
                },
            }
        }
        outputs
    }

    /// Handles an input that opens a stream. `name` returns the name of the generation by its id.
    fn open_stream(
        &mut self,
        now: Timestamp,
        request: u64,
        input: EngineInput,
        name: impl FnOnce(u64) -> String,
    ) -> Result<AttachedStream, GoneReason> {
        let (sender, items) = unbounded_channel();
        self.streams.insert(request, sender);
        let outputs = self.run(now, input);
        for output in outputs {
            match output {
                EngineOutput::Started { request: started, generation, attachment }
                    if started == request =>
                {
                    let name = name(generation);
                    self.names.insert(name.clone(), generation);
                    let resets = self.resets;
                    return Ok(AttachedStream { name, generation, attachment, resets, items });
                },
                EngineOutput::Gone { request: gone, reason, .. } if gone == request => {
                    return Err(reason);
                },
                _ => {},
            }
        }
        Err(GoneReason::Unknown)
    }

    fn drop_stale_names(&mut self) {
        let model = &self.model;
        if self.names.len() > 2 * model.dump().known + STALE_NAME_LIMIT {
            self.names.retain(|_, &mut generation| model.decoded(generation).is_some());
        }
    }
}

/// Multiplies the durations that make up a step by `factor`.
fn scale_step_times(params: &EngineParams, factor: f64) -> EngineParams {
    EngineParams {
        step_base: params.step_base.mul_f64(factor),
        step_per_sequence: params.step_per_sequence.mul_f64(factor),
        prefill_per_token: params.prefill_per_token.mul_f64(factor),
        ..params.clone()
    }
}

#[derive(Debug)]
struct EngineState {
    inner: Mutex<EngineInner>,
    /// Notifies the driver thread that the model's next wake-up time may have changed.
    changed: Condvar,
    silence: SilenceFault,
    switch: StopSwitch,
    origin: Instant,
}

impl EngineState {
    fn lock(&self) -> MutexGuard<'_, EngineInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Timestamp {
        Timestamp(self.origin.elapsed().as_micros() as u64)
    }

    fn detach(&self, generation: u64, attachment: u32, resets: u64) {
        let mut inner = self.lock();
        if inner.resets == resets {
            let now = self.now();
            inner.run(now, EngineInput::Detach { generation, attachment });
        }
        drop(inner);
        self.changed.notify_one();
    }

    fn apply_faults(&self, faults: &EngineFaults) -> EngineFaults {
        let mut inner = self.lock();
        let current = &mut inner.faults;
        current.die_after_ms = faults.die_after_ms.or(current.die_after_ms);
        current.die_on = faults.die_on.clone().or(current.die_on.take());
        current.refuse = faults.refuse.or(current.refuse);
        current.stall_after = faults.stall_after.or(current.stall_after);
        current.slow = faults.slow.or(current.slow);
        current.repeat_every = faults.repeat_every.or(current.repeat_every);
        current.skip_every = faults.skip_every.or(current.skip_every);
        current.cross_every = faults.cross_every.or(current.cross_every);
        current.cache_event_loss = faults.cache_event_loss.or(current.cache_event_loss);
        let current = current.clone();
        let factor = current.slow.filter(|&factor| factor > 0.0).unwrap_or(1.0);
        let mut params = scale_step_times(&inner.settings.params, factor);
        if let Some(loss) = current.cache_event_loss {
            params.cache_event_loss = loss;
        }
        inner.model.set_params(params.clone());
        if faults.forget == Some(true) {
            inner.resets += 1;
            let seed = stable_hash(&inner.resets.to_le_bytes()) ^ inner.settings.seed;
            inner.model = EngineModel::new(params, seed);
            inner.streams.clear();
            inner.names.clear();
        }
        drop(inner);
        if faults.silent == Some(true) {
            self.silence.silence_connections();
        }
        if faults.die == Some(true) {
            self.switch.stop();
        }
        self.changed.notify_one();
        current
    }

    /// Returns the time after which the server stops if the fault `die_on` applies to a prompt.
    fn end_delay(&self, prompt: &str) -> Option<Duration> {
        let inner = self.lock();
        let text = inner.faults.die_on.as_deref().filter(|text| !text.is_empty())?;
        let delay = Duration::from_millis(inner.faults.die_after_ms.unwrap_or(0));
        prompt.contains(text).then_some(delay)
    }

    /// Stops the server because of a prompt.
    fn end(&self) {
        self.lock().has_died = true;
        self.switch.stop();
    }

    /// Advances the model in real time until the engine is stopped.
    fn drive(&self) {
        let mut inner = self.lock();
        while !inner.stopped {
            let now = self.now();
            inner.run(now, EngineInput::Tick);
            inner.drop_stale_names();
            let wait = inner.model.next_wakeup().map(|at| at.since(self.now()));
            let wait = wait.unwrap_or(Duration::from_secs(1));
            let waited = self.changed.wait_timeout(inner, wait);
            inner = waited.unwrap_or_else(PoisonError::into_inner).0;
        }
    }
}

/// A running engine stand-in.
#[derive(Debug)]
pub struct EngineHandle {
    server: ServerGuard,
    state: Arc<EngineState>,
    driver: Option<JoinHandle<()>>,
}

impl EngineHandle {
    /// Returns the address that the engine listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Returns the counters of the model.
    pub fn stats(&self) -> EngineStats {
        self.state.lock().model.stats()
    }

    /// Returns the times of the load commands that were performed, oldest first.
    pub fn loads(&self) -> Vec<Instant> {
        self.state.lock().loads.clone()
    }

    /// Returns whether the fault `die_on` has stopped the engine.
    pub fn has_died(&self) -> bool {
        self.state.lock().has_died
    }

    /// Returns the number of generations refused by the fault `refuse`.
    pub fn refused(&self) -> u64 {
        self.state.lock().refused
    }

    /// Returns the current load, without the lag of `GET /v1/load`.
    pub fn load(&self) -> LoadReport {
        self.state.lock().model.load_now()
    }

    /// Sets faults as `POST /faults` does.
    pub fn set_faults(&self, faults: &EngineFaults) {
        self.state.apply_faults(faults);
    }

    /// Stops the engine as a crash would.
    pub fn stop(&mut self) {
        self.server.stop();
        self.state.lock().stopped = true;
        self.state.changed.notify_one();
        if let Some(driver) = self.driver.take() {
            let _ = driver.join();
        }
    }
}

impl Drop for EngineHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Starts an engine.
///
/// # Errors
///
/// Fails if the address cannot be bound or `length_sigma` is not finite.
pub fn start_engine(listen: &str, settings: EngineSettings) -> anyhow::Result<EngineHandle> {
    let lengths = LogNormal::new(settings.length_median.ln(), settings.length_sigma)?;
    let switch = StopSwitch::default();
    let state = Arc::new(EngineState {
        inner: Mutex::new(EngineInner {
            model: EngineModel::new(settings.params.clone(), settings.seed),
            rng: SmallRng::seed_from_u64(settings.seed),
            settings,
            faults: EngineFaults::default(),
            lengths,
            streams: HashMap::new(),
            names: HashMap::new(),
            next_request: 1,
            resets: 0,
            cache_events: VecDeque::new(),
            fence: 0,
            loaded: HashSet::new(),
            loads: Vec::new(),
            has_died: false,
            refused: 0,
            stopped: false,
        }),
        changed: Condvar::new(),
        silence: SilenceFault::default(),
        switch: switch.clone(),
        origin: Instant::now(),
    });
    let shared = Arc::clone(&state);
    let server = start(listen, switch, move |config| routes(config, &shared))?;
    let driven = Arc::clone(&state);
    let driver = std::thread::Builder::new()
        .name(format!("engine {}", server.address()))
        .spawn(move || driven.drive())?;
    Ok(EngineHandle { server, state, driver: Some(driver) })
}

/// Runs the subcommand until the process is ended.
///
/// # Errors
///
/// Fails if the address cannot be bound.
pub fn run(options: EngineOptions) -> anyhow::Result<()> {
    let defaults = EngineParams::default();
    let settings = EngineSettings {
        params: EngineParams {
            kv_tokens: options.kv_tokens.unwrap_or(defaults.kv_tokens),
            max_batch: options.max_batch.unwrap_or(defaults.max_batch),
            ..defaults
        },
        seed: options.seed,
        length_median: options.length_median,
        length_sigma: options.length_sigma,
        check_fences: options.check_fences,
    };
    anyhow::ensure!(options.speed > 0.0, "--speed must be above 0, got {}", options.speed);
    let mut handle = start_engine(&options.listen, settings.with_speed(options.speed))?;
    println!("{}", handle.address());
    handle.server.join();
    Ok(())
}

fn routes(config: &mut ServiceConfig, state: &Arc<EngineState>) {
    config
        .state(Arc::clone(state))
        .route("/v1/generations", web::post().to(start_generation))
        .service(
            web::resource("/v1/generations/{name}")
                .route(web::get().to(resume_generation))
                .route(web::delete().to(cancel_generation)),
        )
        .route("/v1/load", web::get().to(get_load))
        .route("/v1/cache-events", web::get().to(get_cache_events))
        .route("/v1/admin/orders", web::post().to(command))
        .route("/faults", web::post().to(set_faults));
}

type Shared = State<Arc<EngineState>>;

#[derive(Debug, Deserialize)]
struct GenerationBody {
    /// Name of the exchange, returned in the header `x-request`.
    #[serde(default)]
    request: String,
    #[serde(default)]
    prompt: String,
    prompt_tokens: u32,
    max_tokens: u32,
    #[serde(default)]
    priority: u8,
    prefix: Option<String>,
}

async fn start_generation(state: Shared, request: HttpRequest, payload: Payload) -> HttpResponse {
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let body: GenerationBody = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let requested = header(&request, "x-test-tokens").or_else(|| requested_tokens(&body.prompt));
    let requested = requested.and_then(|tokens| tokens.parse().ok());
    let request_name = body.request;
    match state.end_delay(&body.prompt) {
        Some(Duration::ZERO) => {
            state.end();
            // The connection closes with the server.
            return std::future::pending().await;
        },
        Some(delay) => {
            let state = Arc::clone(&state);
            ntex::rt::spawn(async move {
                ntex::time::sleep(delay).await;
                state.end();
            });
        },
        None => {},
    }
    let opened = {
        let mut guard = state.lock();
        let inner = &mut *guard;
        if inner.faults.refuse == Some(true) {
            inner.refused += 1;
            return error_response(
                StatusCode::SERVICE_UNAVAILABLE,
                "the engine refuses generations",
            );
        }
        let drawn = inner.lengths.sample(&mut inner.rng).clamp(1.0, LENGTH_LIMIT) as u32;
        let request = inner.next_request;
        inner.next_request += 1;
        let prefix = body.prefix.as_deref().filter(|prefix| !prefix.is_empty());
        let submission = Submission {
            request,
            prompt_tokens: body.prompt_tokens.max(1),
            prefix: prefix.map(|prefix| stable_hash(prefix.as_bytes())),
            prefix_tokens: body.prompt_tokens / 4 * PREFIX_QUARTERS,
            output_tokens: requested.unwrap_or(drawn),
            max_tokens: body.max_tokens,
            priority: body.priority.min(9),
        };
        let input = EngineInput::Submit(submission);
        let prompt = body.prompt;
        inner.open_stream(state.now(), request, input, |number| generation_name(number, &prompt))
    };
    answer_stream(&state, epoch, opened, &request_name)
}

/// Returns the output length requested with `#tokens=N ` in a prompt. The system under test does
/// not read prompts, so it does not know this length.
fn requested_tokens(prompt: &str) -> Option<&str> {
    let (_, rest) = prompt.split_once("#tokens=")?;
    rest.split_whitespace().next()
}

#[derive(Debug, Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    after: u32,
}

async fn resume_generation(
    state: Shared,
    request: HttpRequest,
    name: Path<String>,
    query: Query<ResumeQuery>,
) -> HttpResponse {
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let request_name = header(&request, "x-request").unwrap_or_default().to_owned();
    let opened = {
        let mut inner = state.lock();
        let Some(&generation) = inner.names.get(name.as_str()) else {
            return error_response(StatusCode::NOT_FOUND, "no such generation");
        };
        let request = inner.next_request;
        inner.next_request += 1;
        let input = EngineInput::Resume { request, generation, after: query.after };
        inner.open_stream(state.now(), request, input, |_| name.clone())
    };
    answer_stream(&state, epoch, opened, &request_name)
}

#[derive(Debug, Deserialize)]
struct CancelQuery {
    attachment: u32,
}

async fn cancel_generation(
    state: Shared,
    request: HttpRequest,
    name: Path<String>,
    query: Query<CancelQuery>,
) -> HttpResponse {
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let mut inner = state.lock();
    let Some(&generation) = inner.names.get(name.as_str()) else {
        return error_response(StatusCode::NOT_FOUND, "no such generation");
    };
    let now = state.now();
    inner.run(now, EngineInput::Cancel { generation, attachment: query.attachment });
    drop(inner);
    state.changed.notify_one();
    HttpResponse::Ok().json(&json!({}))
}

async fn get_load(state: Shared, request: HttpRequest) -> HttpResponse {
    let epoch = state.silence.track(&request);
    state.silence.block_if_silent(epoch).await;
    let report = state.lock().model.load_report(state.now());
    HttpResponse::Ok().json(&report)
}

#[derive(Debug, Deserialize)]
struct CacheQuery {
    #[serde(default)]
    after: u64,
}

async fn get_cache_events(state: Shared, query: Query<CacheQuery>) -> HttpResponse {
    let inner = state.lock();
    let events = inner.cache_events.iter().filter(|event| event.number > query.after);
    let events: Vec<_> = events
        .map(
            |event| json!({"number": event.number, "prefix": event.prefix, "stored": event.stored}),
        )
        .collect();
    HttpResponse::Ok().json(&json!({"events": events}))
}

#[derive(Debug, Deserialize)]
struct CommandBody {
    fence: u64,
    action: String,
    model: String,
    version: String,
}

async fn command(state: Shared, payload: Payload) -> HttpResponse {
    let body: CommandBody = match read_json(payload).await {
        Ok(body) => body,
        Err(answer) => return answer,
    };
    let mut inner = state.lock();
    if inner.settings.check_fences && body.fence < inner.fence {
        return HttpResponse::Conflict().json(
            &json!({"error": "the fence is lower than one seen before", "fence": inner.fence}),
        );
    }
    inner.fence = inner.fence.max(body.fence);
    let version = format!("{}@{}", body.model, body.version);
    match body.action.as_str() {
        "load" => {
            inner.loaded.insert(version);
            inner.loads.push(Instant::now());
        },
        "unload" => {
            inner.loaded.remove(&version);
        },
        action => {
            let message = format!("unknown action {action:?}");
            return error_response(StatusCode::BAD_REQUEST, &message);
        },
    }
    let mut loaded: Vec<&String> = inner.loaded.iter().collect();
    loaded.sort();
    HttpResponse::Ok().json(&json!({"fence": inner.fence, "loaded": loaded}))
}

async fn set_faults(state: Shared, payload: Payload) -> HttpResponse {
    match read_json::<EngineFaults>(payload).await {
        Ok(faults) => HttpResponse::Ok().json(&state.apply_faults(&faults)),
        Err(answer) => answer,
    }
}

fn answer_stream(
    state: &Arc<EngineState>,
    epoch: ConnectionEpoch,
    opened: Result<AttachedStream, GoneReason>,
    request_name: &str,
) -> HttpResponse {
    state.changed.notify_one();
    let attached = match opened {
        Ok(attached) => attached,
        Err(GoneReason::Refused) => {
            return error_response(StatusCode::SERVICE_UNAVAILABLE, "the engine's queue is full");
        },
        Err(_) => return error_response(StatusCode::NOT_FOUND, "no such generation"),
    };
    let mut response = HttpResponse::Ok();
    response
        .content_type("text/event-stream")
        .header("x-generation", attached.name.as_str())
        .header("x-attachment", attached.attachment.to_string())
        .header("x-request", request_name);
    let stream = GenerationStream {
        state: Arc::clone(state),
        epoch,
        attached,
        sent: 0,
        ended: false,
        broken: false,
    };
    let chunks = futures_util::stream::unfold(stream, |mut stream| async move {
        let chunk = stream.next_chunk().await?;
        Some((chunk, stream))
    });
    response.streaming(Box::pin(chunks))
}

/// Response body of one attachment. Detaches from the generation when it is dropped.
struct GenerationStream {
    state: Arc<EngineState>,
    epoch: ConnectionEpoch,
    attached: AttachedStream,
    /// Tokens of this attachment so far, including those that a fault leaves out.
    sent: u32,
    ended: bool,
    broken: bool,
}

impl GenerationStream {
    async fn next_chunk(&mut self) -> Option<std::io::Result<Bytes>> {
        if self.ended || self.broken {
            return None;
        }
        let mut text = String::new();
        while text.is_empty() {
            let Some(item) = self.attached.items.recv().await else {
                self.broken = true;
                return Some(Err(std::io::Error::other("the attachment has ended")));
            };
            let faults = self.state.lock().faults.clone();
            self.write(item, &faults, &mut text).await;
            for _ in 1..CHUNK_TOKENS {
                // `write` never returns once the fault stalls, so the text is sent first.
                if self.stalls(&faults) && !text.is_empty() {
                    break;
                }
                let Ok(item) = self.attached.items.try_recv() else { break };
                self.write(item, &faults, &mut text).await;
            }
        }
        self.state.silence.block_if_silent(self.epoch).await;
        Some(Ok(Bytes::from(text)))
    }

    fn stalls(&self, faults: &EngineFaults) -> bool {
        faults.stall_after.is_some_and(|limit| limit > 0 && self.sent >= limit)
    }

    async fn write(&mut self, item: StreamItem, faults: &EngineFaults, text: &mut String) {
        if self.stalls(faults) {
            std::future::pending::<()>().await;
        }
        match item {
            StreamItem::Token(seq) => {
                self.sent += 1;
                let sent = self.sent;
                let is_due =
                    |every: Option<u32>| every.is_some_and(|n| n > 0 && sent.is_multiple_of(n));
                let name = &self.attached.name;
                if !is_due(faults.skip_every) {
                    write_token(text, name, seq);
                }
                if is_due(faults.repeat_every) {
                    write_token(text, name, seq);
                }
                if is_due(faults.cross_every) {
                    write_token(text, &generation_name(u64::from(seq), "another prompt"), seq + 1);
                }
            },
            StreamItem::Ended { tokens, finish } => {
                let data = json!({
                    "generation": self.attached.name, "tokens": tokens, "finish": finish,
                });
                let _ = write!(text, "event: end\ndata: {data}\n\n");
                self.ended = true;
            },
            StreamItem::Superseded => {
                let data = json!({"generation": self.attached.name});
                let _ = write!(text, "event: superseded\ndata: {data}\n\n");
                self.ended = true;
            },
        }
    }
}

impl Drop for GenerationStream {
    fn drop(&mut self) {
        let AttachedStream { generation, attachment, resets, .. } = self.attached;
        self.state.detach(generation, attachment, resets);
    }
}

fn write_token(text: &mut String, generation: &str, seq: u32) {
    let data = json!({"generation": generation, "text": token_text(generation, seq.into())});
    let _ = write!(text, "event: token\nid: {seq}\ndata: {data}\n\n");
}
