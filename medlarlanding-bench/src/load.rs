//! Open-loop load generator over HTTP.
//!
//! Arrivals, prompts and output lengths depend on the seed alone, not on the responses. Every
//! response is checked: the text of a token names its prompt, generation and position, and orders
//! are compared with the executions that the service stand-ins counted.

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::{Context, bail};
use argh::FromArgs;
use hdrhistogram::Histogram;
use hyper::Method;
use indexmap::IndexMap;
use ntex::time::sleep;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, Exp, LogNormal};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::client::{Call, CallClient, CallFault, CallResponse, EventStream, OpenResponse};
use crate::stand_ins::service::Executions;
use crate::stand_ins::tokens::{TokenChecker, TokenFaults};

/// Largest value of a histogram, in microseconds: ten minutes. Longer durations are recorded as
/// this value.
const HISTOGRAM_MAX: u64 = 600_000_000;
/// Longest time between two tokens that is not a stall. The time beyond it is stall time.
const STALL_THRESHOLD: Duration = Duration::from_millis(500);
/// Maximum number of requests in progress. Arrivals beyond it are counted but not sent.
const MAX_OPEN_REQUESTS: usize = 2_000;
/// Maximum number of requests of one run.
const MAX_REQUESTS: u64 = 1_000_000;
/// Maximum time for which one run sends requests.
const MAX_DURATION: Duration = Duration::from_secs(3_600);
/// Maximum number of attempts to complete one request, each at the next instance in turn.
const MAX_ATTEMPTS: usize = 20;
/// Pause between two attempts of a request.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);
/// Upper bound of the time from an order to its repetition, in milliseconds.
const MAX_REPEAT_DELAY_MS: u64 = 200;
/// Words of which prompts consist.
const PROMPT_WORDS: &[&str] =
    &["urn", "stone", "panel", "frieze", "gilded", "of", "the", "river", "temple", "with", "and"];

/// sends an open-loop load, reproducible by its seed, to running instances
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadOptions {
    /// file that describes the mix of requests
    #[argh(option)]
    mix: PathBuf,
    /// address at which an instance accepts callers; can be repeated
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// address of a plain service stand-in whose executions are checked; can be repeated
    #[argh(option)]
    service: Vec<SocketAddr>,
    /// arrivals per second; the rate of the mix if absent
    #[argh(option)]
    rate: Option<f64>,
    /// seconds for which requests are sent
    #[argh(option, default = "30")]
    seconds: u64,
    /// maximum number of requests
    #[argh(option, default = "100000")]
    limit: u64,
    /// seed of the arrivals, prompts and output lengths
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the report as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// file for the report as Markdown
    #[argh(option)]
    markdown: Option<PathBuf>,
}

/// Mix of requests: their rate, their classes and the customers that send them.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// Name of the mix.
    pub name: String,
    /// Arrivals per second.
    pub rate: f64,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Customers that send requests.
    pub customers: Vec<LoadCustomer>,
}

/// Kind of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// Generation delivered as an event stream.
    Stream,
    /// Generation delivered in one response.
    Whole,
    /// Idempotent look-up.
    Lookup,
    /// Order, which is not idempotent.
    Order,
}

/// Origin of the idempotency keys of orders.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// The caller chooses the key itself.
    #[default]
    Own,
    /// The caller first asks the system to mint a key.
    Minted,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Name of the class in reports.
    pub name: String,
    /// Kind of the requests.
    pub kind: RequestKind,
    /// Desk to which the requests are sent.
    pub desk: String,
    /// Share of the arrivals, relative to the other classes.
    pub weight: f64,
    /// Distribution of the output lengths of generations.
    #[serde(default)]
    pub tokens: LengthDistribution,
    /// Length of prompts in words.
    #[serde(default = "default_prompt_words")]
    pub prompt_words: usize,
    /// Time limit for a response, and for the time between two events of a stream, in
    /// milliseconds.
    pub wait_ms: u64,
    /// Origin of idempotency keys.
    #[serde(default)]
    pub keys: KeySource,
    /// Share of orders that are sent a second time with the same key, at most 200 ms later.
    #[serde(default)]
    pub repeat: f64,
}

fn default_prompt_words() -> usize {
    40
}

/// Log-normal distribution of output lengths, which is heavy-tailed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthDistribution {
    /// Median in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest length in tokens; longer samples are reduced to it.
    pub limit: u32,
}

impl Default for LengthDistribution {
    fn default() -> Self {
        Self { median: 100.0, sigma: 1.0, limit: 2_000 }
    }
}

/// A customer that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadCustomer {
    /// Name in reports.
    pub name: String,
    /// Credential in plain text.
    pub credential: String,
    /// Share of the arrivals, relative to the other customers.
    pub weight: f64,
}

impl LoadMix {
    /// Parses the YAML text of a mix file.
    ///
    /// # Errors
    ///
    /// Fails if the text is malformed, there is no class or customer, or a rate, weight, median or
    /// sigma is not positive.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mix: Self =
            serde_saphyr::from_str(text).map_err(|error| anyhow::anyhow!("mix: {error}"))?;
        let positive = |number: f64| number.is_finite() && number > 0.0;
        if mix.classes.is_empty() || mix.customers.is_empty() || !positive(mix.rate) {
            bail!(
                "mix: classes, customers and a positive rate are needed; got {} classes, {} customers \
                 and rate {}",
                mix.classes.len(),
                mix.customers.len(),
                mix.rate
            );
        }
        let weights = mix.classes.iter().map(|class| class.weight);
        if !weights.chain(mix.customers.iter().map(|customer| customer.weight)).all(positive) {
            bail!("mix: every weight of a class or customer must be positive");
        }
        for class in &mix.classes {
            if !positive(class.tokens.median) || !positive(class.tokens.sigma) {
                bail!("mix: class {}: tokens need a positive median and sigma", class.name);
            }
        }
        Ok(mix)
    }

    /// Reads a mix file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or does not parse.
    pub fn read(path: &Path) -> anyhow::Result<Self> {
        let name = path.display();
        let text = std::fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
        Self::parse(&text).with_context(|| format!("{name}"))
    }
}

/// Parameters of one run.
#[derive(Clone, Debug)]
pub struct LoadParams {
    /// Addresses of the instances.
    pub targets: Vec<SocketAddr>,
    /// Addresses of the plain services whose executions are checked at the end.
    pub services: Vec<SocketAddr>,
    /// Arrivals per second; the rate of the mix if absent.
    pub rate: Option<f64>,
    /// Time for which requests are sent.
    pub duration: Duration,
    /// Maximum number of requests.
    pub max_requests: u64,
    /// Seed of the arrivals, prompts and output lengths.
    pub seed: u64,
}

/// Quantiles of a histogram in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Quantiles {
    fn from_histogram(histogram: &Histogram<u64>) -> Self {
        let millis = |micros: u64| micros as f64 / 1000.0;
        Self {
            count: histogram.len(),
            p50: millis(histogram.value_at_quantile(0.5)),
            p95: millis(histogram.value_at_quantile(0.95)),
            p99: millis(histogram.value_at_quantile(0.99)),
            max: millis(histogram.max()),
        }
    }
}

/// Results of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Requests sent, without retries and repetitions of orders.
    pub sent: u64,
    /// Requests with a complete response.
    pub complete: u64,
    /// Number of rejections by kind and run state, as `kind/run`.
    pub rejected: IndexMap<String, u64>,
    /// Requests that got neither a complete response nor a rejection.
    pub unanswered: u64,
    /// Number of unanswered requests by reason.
    pub unanswered_reasons: IndexMap<String, u64>,
    /// Further attempts after a connection failed or broke.
    pub reconnects: u64,
    /// Attempts that resumed a stream after its first token.
    pub resumed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Lost, repeated and mixed tokens.
    pub token_faults: TokenFaults,
    /// Complete responses that belong to another request.
    pub untruthful: u64,
    /// Time from the first attempt to the first token.
    pub first_token_ms: Quantiles,
    /// Time between two tokens of one response.
    pub token_gap_ms: Quantiles,
    /// Stall time per stream: the sum of the times by which gaps between tokens exceed 500 ms.
    pub stall_ms: Quantiles,
    /// Sum of the stall times of all streams.
    pub stall_total_ms: f64,
    /// Time from the first attempt to the complete response.
    pub complete_ms: Quantiles,
}

/// Comparison of the outcomes reported to callers with the executions that the services counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderReport {
    /// Orders executed at least once.
    pub executed: u64,
    /// Orders executed more than once.
    pub executed_again: u64,
    /// Orders that were executed although every response said that they were not run.
    pub not_run_but_executed: u64,
    /// Orders that were not executed although a response said that they were.
    pub done_but_not_executed: u64,
    /// Orders whose outcome the responses left unknown.
    pub outcome_unknown: u64,
}

/// Results of one run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Name of the mix.
    pub mix: String,
    /// Seed of the run.
    pub seed: u64,
    /// Arrivals per second.
    pub rate: f64,
    /// Seconds from the start of the run to the end of its last request.
    pub seconds: f64,
    /// Arrivals that were not sent because too many requests were in progress.
    pub not_sent: u64,
    /// Results of each class.
    pub classes: Vec<ClassReport>,
    /// Reported outcomes of orders compared with executions.
    pub orders: OrderReport,
}

impl LoadReport {
    /// Returns a description of each violated invariant.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for class in &self.classes {
            if !class.token_faults.is_clean() {
                found.push(format!("{}: token faults {:?}", class.name, class.token_faults));
            }
            if class.untruthful > 0 {
                found.push(format!(
                    "{}: {} responses to another request",
                    class.name, class.untruthful
                ));
            }
        }
        let orders = self.orders;
        if orders.executed_again > 0 {
            found.push(format!("{} orders executed more than once", orders.executed_again));
        }
        if orders.not_run_but_executed > 0 {
            found.push(format!(
                "{} orders executed but reported as not_run",
                orders.not_run_but_executed
            ));
        }
        if orders.done_but_not_executed > 0 {
            found.push(format!(
                "{} orders reported as executed but not executed",
                orders.done_but_not_executed
            ));
        }
        found
    }

    /// Returns the share of requests with neither a complete response nor a rejection, 0 to 1.
    pub fn unanswered_share(&self) -> f64 {
        let sent: u64 = self.classes.iter().map(|class| class.sent).sum();
        let unanswered: u64 = self.classes.iter().map(|class| class.unanswered).sum();
        unanswered as f64 / sent.max(1) as f64
    }

    /// Returns the report as Markdown.
    pub fn markdown(&self) -> String {
        let mut text = format!(
            "# Load {}\n\nseed {}, {} arrivals/s, {:.1} s\n\n",
            self.mix, self.seed, self.rate, self.seconds
        );
        text.push_str(
            "| class | sent | complete | rejected | unanswered | reconnects | resumed | tokens \
             | lost/repeated/mixed | untruthful | first token p50/p95/p99 ms \
             | between tokens p50/p95/p99 ms | stall total ms | complete p50/p99 ms |\n\
             |---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n",
        );
        for class in &self.classes {
            let counts = |counts: &IndexMap<String, u64>| {
                let list: Vec<_> =
                    counts.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
                if list.is_empty() { "0".to_owned() } else { list.join(", ") }
            };
            let quantile_text = |q: &Quantiles| format!("{:.0}/{:.0}/{:.0}", q.p50, q.p95, q.p99);
            let _ = writeln!(
                text,
                "| {} | {} | {} | {} | {} | {} | {} | {} | {}/{}/{} | {} | {} | {} | {:.0} | {:.0}/{:.0} |",
                class.name,
                class.sent,
                class.complete,
                counts(&class.rejected),
                class.unanswered,
                class.reconnects,
                class.resumed,
                class.tokens,
                class.token_faults.lost,
                class.token_faults.repeated,
                class.token_faults.mixed,
                class.untruthful,
                quantile_text(&class.first_token_ms),
                quantile_text(&class.token_gap_ms),
                class.stall_total_ms,
                class.complete_ms.p50,
                class.complete_ms.p99,
            );
        }
        let orders = self.orders;
        let _ = writeln!(
            text,
            "\nOrders: {} executed, {} more than once, {} reported as not_run but executed, \
             {} reported as executed but not executed, {} with unknown outcome.",
            orders.executed,
            orders.executed_again,
            orders.not_run_but_executed,
            orders.done_but_not_executed,
            orders.outcome_unknown,
        );
        text
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the mix or an address is invalid, the run fails, or an invariant is violated.
pub fn run(options: LoadOptions) -> anyhow::Result<()> {
    let mix = LoadMix::read(&options.mix)?;
    let params = LoadParams {
        targets: options.target,
        services: options.service,
        rate: options.rate,
        duration: Duration::from_secs(options.seconds),
        max_requests: options.limit,
        seed: options.seed,
    };
    let report = run_load(mix, params)?;
    println!("{}", report.markdown());
    if let Some(file) = &options.json {
        std::fs::write(file, serde_json::to_string_pretty(&report)?)?;
    }
    if let Some(file) = &options.markdown {
        std::fs::write(file, report.markdown())?;
    }
    let violations = report.violations();
    if !violations.is_empty() {
        bail!("invariants broke: {}", violations.join("; "));
    }
    Ok(())
}

/// Sends the load from a separate runtime on the current thread and returns the report.
///
/// # Errors
///
/// Fails if there is no target, an address is not a loopback address, a limit is exceeded, or the
/// executions cannot be fetched from the services.
pub fn run_load(mix: LoadMix, params: LoadParams) -> anyhow::Result<LoadReport> {
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    system.block_on(async move { send_load(&mix, &params).await })
}

/// Counts and durations recorded for one class.
struct ClassRecord {
    report: ClassReport,
    first_token: Histogram<u64>,
    token_gap: Histogram<u64>,
    stall: Histogram<u64>,
    complete: Histogram<u64>,
}

impl ClassRecord {
    fn new(name: &str) -> Self {
        let histogram = || {
            let mut histogram =
                Histogram::new_with_bounds(1, HISTOGRAM_MAX, 3).expect("the bounds are valid");
            histogram.auto(false);
            histogram
        };
        Self {
            report: ClassReport {
                name: name.to_owned(),
                sent: 0,
                complete: 0,
                rejected: IndexMap::new(),
                unanswered: 0,
                unanswered_reasons: IndexMap::new(),
                reconnects: 0,
                resumed: 0,
                tokens: 0,
                token_faults: TokenFaults::default(),
                untruthful: 0,
                first_token_ms: Quantiles::default(),
                token_gap_ms: Quantiles::default(),
                stall_ms: Quantiles::default(),
                stall_total_ms: 0.0,
                complete_ms: Quantiles::default(),
            },
            first_token: histogram(),
            token_gap: histogram(),
            stall: histogram(),
            complete: histogram(),
        }
    }

    fn finish(mut self) -> ClassReport {
        self.report.first_token_ms = Quantiles::from_histogram(&self.first_token);
        self.report.token_gap_ms = Quantiles::from_histogram(&self.token_gap);
        self.report.stall_ms = Quantiles::from_histogram(&self.stall);
        self.report.complete_ms = Quantiles::from_histogram(&self.complete);
        self.report
    }
}

fn record_duration(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record((duration.as_micros() as u64).max(1));
}

/// Outcome of an order according to the responses to all its requests.
#[derive(Clone, Copy, Debug, Default)]
struct ReportedOutcome {
    /// A response said that the order was executed.
    executed: bool,
    /// A response left the outcome unknown, or a request got no response.
    unknown: bool,
}

/// How a request ended.
enum RequestOutcome {
    Complete,
    Rejected {
        kind: String,
        run: String,
    },
    /// Neither a complete response nor a rejection, with the reason.
    Unanswered(String),
}

/// State shared by the tasks that send requests.
struct LoadState {
    client: CallClient,
    targets: Vec<SocketAddr>,
    next_target: RefCell<usize>,
    classes: RefCell<Vec<ClassRecord>>,
    /// Reported outcomes of orders by reference.
    orders: RefCell<HashMap<String, ReportedOutcome>>,
    open_requests: RefCell<usize>,
}

/// A request drawn from the mix.
#[derive(Clone, Debug)]
struct Arrival {
    class_index: usize,
    class: Rc<LoadClass>,
    credential: Rc<str>,
    /// Number of the request: the seed of the run in the upper 32 bits, then its index.
    number: u64,
    tokens: u32,
    prompt_seed: u64,
    /// Time from the order to its repetition, `None` if it is not repeated.
    repeat_after: Option<Duration>,
}

async fn send_load(mix: &LoadMix, params: &LoadParams) -> anyhow::Result<LoadReport> {
    if params.targets.is_empty() {
        bail!("at least one target address is needed");
    }
    let addresses = params.targets.iter().chain(&params.services);
    if let Some(address) = addresses.into_iter().find(|address| !address.ip().is_loopback()) {
        bail!("{address} is not a loopback address");
    }
    let rate = params.rate.unwrap_or(mix.rate);
    if params.max_requests > MAX_REQUESTS || params.duration > MAX_DURATION || rate <= 0.0 {
        bail!(
            "{} requests in {:?} at {rate}/s: at most {MAX_REQUESTS} requests in {MAX_DURATION:?} \
             at a positive rate are allowed",
            params.max_requests,
            params.duration
        );
    }
    let state = Rc::new(LoadState {
        client: CallClient::build().await?,
        targets: params.targets.clone(),
        next_target: RefCell::new(0),
        classes: RefCell::new(mix.classes.iter().map(|c| ClassRecord::new(&c.name)).collect()),
        orders: RefCell::new(HashMap::new()),
        open_requests: RefCell::new(0),
    });
    let classes: Vec<Rc<LoadClass>> = mix.classes.iter().cloned().map(Rc::new).collect();
    let mut rng = SmallRng::seed_from_u64(params.seed);
    let gaps = Exp::new(rate)?;
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut not_sent = 0;
    for number in 0..params.max_requests {
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        if at > params.duration {
            break;
        }
        let arrival = draw_arrival(mix, &classes, params.seed, number, &mut rng)?;
        sleep(at.saturating_sub(started.elapsed())).await;
        if *state.open_requests.borrow() >= MAX_OPEN_REQUESTS {
            not_sent += 1;
            continue;
        }
        *state.open_requests.borrow_mut() += 1;
        let task = Rc::clone(&state);
        ntex::rt::spawn(async move {
            task.send_request(arrival).await;
            *task.open_requests.borrow_mut() -= 1;
        })
        .detach();
    }
    // This loop ends because each request makes a limited number of attempts and limits each of
    // their waits.
    while *state.open_requests.borrow() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let orders = state.compare_orders(&params.services).await?;
    let records = std::mem::take(&mut *state.classes.borrow_mut());
    Ok(LoadReport {
        mix: mix.name.clone(),
        seed: params.seed,
        rate,
        seconds,
        not_sent,
        classes: records.into_iter().map(ClassRecord::finish).collect(),
        orders,
    })
}

/// Draws the class, customer and contents of a request.
fn draw_arrival(
    mix: &LoadMix,
    classes: &[Rc<LoadClass>],
    seed: u64,
    number: u64,
    rng: &mut SmallRng,
) -> anyhow::Result<Arrival> {
    let class_index = draw_index(rng, classes.iter().map(|class| class.weight));
    let customer = draw_index(rng, mix.customers.iter().map(|customer| customer.weight));
    let class = Rc::clone(&classes[class_index]);
    let lengths = LogNormal::new(class.tokens.median.ln(), class.tokens.sigma)?;
    let tokens = lengths.sample(rng).clamp(1.0, f64::from(class.tokens.limit)) as u32;
    let repeats = rng.random::<f64>() < class.repeat;
    let repeat_after = Duration::from_millis(rng.random_range(0..MAX_REPEAT_DELAY_MS));
    Ok(Arrival {
        class_index,
        class,
        credential: mix.customers[customer].credential.as_str().into(),
        number: (seed << 32) | number,
        tokens,
        prompt_seed: rng.random(),
        repeat_after: repeats.then_some(repeat_after),
    })
}

/// Draws an index with a probability proportional to its weight.
fn draw_index(rng: &mut SmallRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let mut point = rng.random::<f64>() * weights.clone().sum::<f64>();
    for (index, weight) in weights.clone().enumerate() {
        if point < weight {
            return index;
        }
        point -= weight;
    }
    weights.count() - 1
}

impl Arrival {
    fn path(&self, rest: &str) -> String {
        format!("/v1/desks/{}/{rest}", self.class.desk)
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(self.class.wait_ms)
    }

    /// Returns the prompt. The first half of its words is the same for all prompts of a class,
    /// because callers' prompts share their beginnings as well.
    fn prompt(&self) -> String {
        let mut rng = SmallRng::seed_from_u64(self.prompt_seed);
        let mut text = format!("{}: describe ", self.class.name);
        for word in 0..self.class.prompt_words {
            let index = if word * 2 < self.class.prompt_words {
                word % PROMPT_WORDS.len()
            } else {
                rng.random_range(0..PROMPT_WORDS.len())
            };
            text.push_str(PROMPT_WORDS[index]);
            text.push(' ');
        }
        let _ = write!(text, "#tokens={} number {:x}", self.tokens, self.number);
        text
    }
}

impl LoadState {
    /// Returns the instances in turn, like a load balancer in front of them.
    fn choose_target(&self) -> SocketAddr {
        let mut next = self.next_target.borrow_mut();
        *next += 1;
        self.targets[*next % self.targets.len()]
    }

    fn update_class<T>(&self, index: usize, change: impl FnOnce(&mut ClassRecord) -> T) -> T {
        change(&mut self.classes.borrow_mut()[index])
    }

    /// Sends a request and records its outcome.
    async fn send_request(self: &Rc<Self>, arrival: Arrival) {
        self.update_class(arrival.class_index, |class| class.report.sent += 1);
        let sent = Instant::now();
        let outcome = match arrival.class.kind {
            RequestKind::Stream => self.stream(&arrival, sent).await,
            RequestKind::Whole => self.whole(&arrival).await,
            RequestKind::Lookup => self.look_up(&arrival).await,
            RequestKind::Order => self.order(&arrival).await,
        };
        self.update_class(arrival.class_index, |class| match outcome {
            RequestOutcome::Complete => {
                class.report.complete += 1;
                record_duration(&mut class.complete, sent.elapsed());
            },
            RequestOutcome::Rejected { kind, run } => {
                *class.report.rejected.entry(format!("{kind}/{run}")).or_insert(0) += 1;
            },
            RequestOutcome::Unanswered(reason) => {
                class.report.unanswered += 1;
                *class.report.unanswered_reasons.entry(reason).or_insert(0) += 1;
            },
        });
    }

    /// Sends a call until it gets a response, after each failure to the next instance. Returns the
    /// reason of the last failure.
    async fn call(&self, arrival: &Arrival, call: &Call) -> Result<CallResponse, String> {
        let mut reason = String::new();
        let started = Instant::now();
        for attempt in 0..MAX_ATTEMPTS {
            if attempt > 0 {
                self.update_class(arrival.class_index, |class| class.report.reconnects += 1);
                sleep(ATTEMPT_PAUSE).await;
            }
            match self.client.call(self.choose_target(), call, arrival.wait()).await {
                Ok(response) => return Ok(response),
                Err(CallFault::NotSent(fault) | CallFault::Broken(fault)) => reason = fault,
            }
            if started.elapsed() > arrival.wait() {
                break;
            }
        }
        Err(reason)
    }

    async fn whole(&self, arrival: &Arrival) -> RequestOutcome {
        let prompt = arrival.prompt();
        let body = json!({"prompt": prompt, "delivery": "whole"});
        let call = Call::post(arrival.path("generations"), &body).bearer(&arrival.credential);
        let response = match self.call(arrival, &call).await {
            Ok(response) if response.status == 200 => response.json(),
            Ok(response) => return rejection(&response.json()),
            Err(reason) => return RequestOutcome::Unanswered(reason),
        };
        let mut checker = TokenChecker::new(&prompt);
        checker.take_whole(response["text"].as_str().unwrap_or_default());
        checker.finish(response["tokens"].as_u64().unwrap_or_default());
        self.record_tokens(arrival, &checker);
        RequestOutcome::Complete
    }

    async fn look_up(&self, arrival: &Arrival) -> RequestOutcome {
        let query = json!({"item": arrival.number});
        let call = Call::post(arrival.path("lookups"), &json!({"query": query}))
            .bearer(&arrival.credential);
        match self.call(arrival, &call).await {
            Ok(response) if response.status == 200 => {
                if response.json()["query"] != query {
                    self.update_class(arrival.class_index, |class| class.report.untruthful += 1);
                }
                RequestOutcome::Complete
            },
            Ok(response) => rejection(&response.json()),
            Err(reason) => RequestOutcome::Unanswered(reason),
        }
    }

    async fn order(self: &Rc<Self>, arrival: &Arrival) -> RequestOutcome {
        let key = match arrival.class.keys {
            KeySource::Own => format!("key-{:x}", arrival.number),
            KeySource::Minted => {
                let mint = Call::new(Method::POST, arrival.path("order-keys"));
                match self.call(arrival, &mint.bearer(&arrival.credential)).await {
                    Ok(response) if response.status < 300 => {
                        match response.json()["key"].as_str() {
                            Some(key) => key.to_owned(),
                            None => {
                                return RequestOutcome::Unanswered("answer without key".to_owned());
                            },
                        }
                    },
                    Ok(response) => return rejection(&response.json()),
                    Err(reason) => return RequestOutcome::Unanswered(reason),
                }
            },
        };
        let reference = format!("{}-{:x}", arrival.class.name, arrival.number);
        let body = json!({"reference": reference, "item": "urn"});
        let call = Call::post(arrival.path("orders"), &body)
            .bearer(&arrival.credential)
            .header("idempotency-key", key);
        self.orders.borrow_mut().entry(reference.clone()).or_default();
        if let Some(after) = arrival.repeat_after {
            let state = Rc::clone(self);
            let (arrival, call, reference) = (arrival.clone(), call.clone(), reference.clone());
            *self.open_requests.borrow_mut() += 1;
            ntex::rt::spawn(async move {
                sleep(after).await;
                let result = state.call(&arrival, &call).await;
                state.record_order(&arrival, &reference, result);
                *state.open_requests.borrow_mut() -= 1;
            })
            .detach();
        }
        let result = self.call(arrival, &call).await;
        self.record_order(arrival, &reference, result)
    }

    fn record_order(
        &self,
        arrival: &Arrival,
        reference: &str,
        result: Result<CallResponse, String>,
    ) -> RequestOutcome {
        let mut orders = self.orders.borrow_mut();
        let reported = orders.entry(reference.to_owned()).or_default();
        match result {
            Ok(response) if response.status == 200 => {
                reported.executed = true;
                if response.json()["reference"] != reference {
                    self.update_class(arrival.class_index, |class| class.report.untruthful += 1);
                }
                RequestOutcome::Complete
            },
            Ok(response) => {
                let outcome = rejection(&response.json());
                if !matches!(&outcome, RequestOutcome::Rejected { run, .. } if run == "not_run") {
                    reported.unknown = true;
                }
                outcome
            },
            Err(reason) => {
                reported.unknown = true;
                RequestOutcome::Unanswered(reason)
            },
        }
    }

    async fn stream(&self, arrival: &Arrival, sent: Instant) -> RequestOutcome {
        let prompt = arrival.prompt();
        let body = json!({"prompt": prompt, "delivery": "stream"});
        let first = Call::post(arrival.path("generations"), &body).bearer(&arrival.credential);
        let mut reader = StreamReader::new(&prompt, sent);
        let mut reason = String::new();
        for attempt in 0..MAX_ATTEMPTS {
            let mut call = first.clone();
            if let Some(id) = &reader.last_id {
                call = call.header("last-event-id", id.as_str());
            }
            if attempt > 0 {
                self.update_class(arrival.class_index, |class| class.report.reconnects += 1);
                sleep(ATTEMPT_PAUSE).await;
            }
            let mut stream =
                match self.client.open(self.choose_target(), &call, arrival.wait()).await {
                    Ok(OpenResponse::Stream(stream)) => stream,
                    Ok(OpenResponse::Complete(response)) => {
                        self.record_stream(arrival, &reader);
                        return rejection(&response.json());
                    },
                    Err(CallFault::NotSent(fault) | CallFault::Broken(fault)) => {
                        reason = fault;
                        continue;
                    },
                };
            if reader.last_id.is_some() {
                self.update_class(arrival.class_index, |class| class.report.resumed += 1);
            }
            match reader.read(&mut stream, arrival.wait()).await {
                Ok(outcome) => {
                    self.record_stream(arrival, &reader);
                    return outcome;
                },
                Err(fault) => reason = fault,
            }
        }
        self.record_stream(arrival, &reader);
        RequestOutcome::Unanswered(reason)
    }

    fn record_tokens(&self, arrival: &Arrival, checker: &TokenChecker) {
        self.update_class(arrival.class_index, |class| {
            class.report.tokens += checker.last();
            class.report.token_faults.add(checker.faults());
        });
    }

    fn record_stream(&self, arrival: &Arrival, reader: &StreamReader) {
        self.record_tokens(arrival, &reader.checker);
        self.update_class(arrival.class_index, |class| {
            if let Some(first) = reader.first_token {
                record_duration(&mut class.first_token, first);
                record_duration(&mut class.stall, reader.stall);
                class.report.stall_total_ms += reader.stall.as_secs_f64() * 1000.0;
            }
            for &gap in &reader.gaps {
                record_duration(&mut class.token_gap, gap);
            }
        });
    }

    /// Compares the reported outcomes with the executions that the services counted.
    async fn compare_orders(&self, services: &[SocketAddr]) -> anyhow::Result<OrderReport> {
        let mut executed: HashMap<String, u64> = HashMap::new();
        for &service in services {
            let call = Call::new(Method::GET, "/v1/executions");
            let response = self.client.call(service, &call, Duration::from_secs(10)).await;
            let response = response.map_err(|fault| anyhow::anyhow!("{service}: {fault:?}"))?;
            let executions: Executions = serde_json::from_slice(&response.body)?;
            for (reference, count) in executions.references {
                *executed.entry(reference).or_insert(0) += count;
            }
        }
        let mut report = OrderReport::default();
        for (reference, reported) in &*self.orders.borrow() {
            let count = executed.get(reference).copied().unwrap_or(0);
            report.executed += u64::from(count > 0);
            report.executed_again += u64::from(count > 1);
            report.not_run_but_executed +=
                u64::from(count > 0 && !reported.executed && !reported.unknown);
            report.outcome_unknown += u64::from(!reported.executed && reported.unknown);
            if !services.is_empty() {
                report.done_but_not_executed += u64::from(count == 0 && reported.executed);
            }
        }
        Ok(report)
    }
}

/// Reads and checks the stream of one request over one or more connections.
struct StreamReader {
    checker: TokenChecker,
    prompt: String,
    sent: Instant,
    last_id: Option<String>,
    last_token: Option<Instant>,
    first_token: Option<Duration>,
    gaps: Vec<Duration>,
    stall: Duration,
}

impl StreamReader {
    fn new(prompt: &str, sent: Instant) -> Self {
        Self {
            checker: TokenChecker::new(prompt),
            prompt: prompt.to_owned(),
            sent,
            last_id: None,
            last_token: None,
            first_token: None,
            gaps: Vec::new(),
            stall: Duration::ZERO,
        }
    }

    /// Reads to the end event or a rejection. Returns an error if the stream breaks before.
    async fn read(
        &mut self,
        stream: &mut EventStream,
        wait: Duration,
    ) -> Result<RequestOutcome, String> {
        if self.last_id.is_none() {
            // No token was received. The request was sent again without an event id to resume
            // after, so the tokens may belong to a new generation.
            self.checker = TokenChecker::new(&self.prompt);
        }
        loop {
            let event = stream.next(wait).await?.ok_or("the stream ended without end")?;
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.name.as_str() {
                "token" => self.take_token(&event.id, &data),
                "end" => {
                    self.checker.finish(data["tokens"].as_u64().unwrap_or_default());
                    return Ok(RequestOutcome::Complete);
                },
                "error" => return Ok(rejection(&data)),
                _ => {},
            }
        }
    }

    fn take_token(&mut self, id: &str, data: &Value) {
        let now = Instant::now();
        match self.last_token {
            Some(last) => {
                let gap = now - last;
                self.gaps.push(gap);
                self.stall += gap.saturating_sub(STALL_THRESHOLD);
            },
            None => self.first_token = Some(now - self.sent),
        }
        self.last_token = Some(now);
        let number = id.rsplit('.').next().and_then(|seq| seq.parse().ok());
        self.checker.take(number, data["text"].as_str().unwrap_or_default());
        self.last_id = Some(id.to_owned());
    }
}

/// Returns the outcome for the body of a response or event that reports an error.
fn rejection(body: &Value) -> RequestOutcome {
    let error = &body["error"];
    match (error["kind"].as_str(), error["run"].as_str()) {
        (Some(kind), Some(run)) => {
            RequestOutcome::Rejected { kind: kind.to_owned(), run: run.to_owned() }
        },
        _ => RequestOutcome::Unanswered("an answer that is no rejection".to_owned()),
    }
}
