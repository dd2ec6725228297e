//! Open-loop load generator over HTTP.
//!
//! Arrivals, prompts and lengths follow from the seed alone, whatever the answers are.
//! Every answer is checked: tokens against the marks that the engine stand-in writes,
//! orders against the executions that the service stand-ins counted.

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

/// Largest value of a histogram, in microseconds: ten minutes.
const HISTOGRAM_MAX: u64 = 600_000_000;
/// Part of a gap between tokens beyond which a response counts as stalled.
const STALL_LIMIT: Duration = Duration::from_millis(500);
/// Most requests in progress; arrivals beyond it are counted and not sent.
const OPEN_LIMIT: usize = 2_000;
/// Most requests of one run.
const COUNT_LIMIT: u64 = 1_000_000;
/// Longest sending time of one run.
const TIME_LIMIT: Duration = Duration::from_secs(3_600);
/// Attempts to get an answer to one request, on changing instances.
const ATTEMPTS: usize = 20;
/// Pause between two attempts.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(150);
/// Longest distance of a repeated order from the first.
const REPEAT_WITHIN_MS: u64 = 200;
/// Words that prompts are made of.
const WORDS: &[&str] =
    &["urn", "stone", "panel", "frieze", "gilded", "of", "the", "river", "temple", "with", "and"];

/// sends a seeded open-loop load to running instances
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadOptions {
    /// file that describes the mix
    #[argh(option)]
    mix: PathBuf,
    /// address of an instance's listener for callers; can be repeated
    #[argh(option)]
    target: Vec<SocketAddr>,
    /// address of a plain service stand-in whose executions are checked; can be repeated
    #[argh(option)]
    service: Vec<SocketAddr>,
    /// arrivals per second in place of the mix's own rate
    #[argh(option)]
    rate: Option<f64>,
    /// seconds of sending
    #[argh(option, default = "30")]
    seconds: u64,
    /// most requests
    #[argh(option, default = "100000")]
    limit: u64,
    /// seed of arrivals, prompts and lengths
    #[argh(option, default = "1")]
    seed: u64,
    /// file for the report as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// file for the report as Markdown
    #[argh(option)]
    markdown: Option<PathBuf>,
}

/// What callers send: classes of requests by customers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadMix {
    /// Name of the mix.
    pub name: String,
    /// Arrivals per second.
    pub rate: f64,
    /// Classes of requests.
    pub classes: Vec<LoadClass>,
    /// Customers that send them.
    pub customers: Vec<LoadCustomer>,
}

/// Kinds of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RequestKind {
    /// A generation as an event stream.
    Stream,
    /// A generation in one answer.
    Whole,
    /// An idempotent look-up.
    Lookup,
    /// A non-idempotent order.
    Order,
}

/// Where the idempotency keys of orders come from.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum KeySource {
    /// The caller draws them.
    #[default]
    Own,
    /// The system mints them.
    Minted,
}

/// One class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadClass {
    /// Name of the class in reports.
    pub name: String,
    /// Kind of request.
    pub kind: RequestKind,
    /// Desk that takes it.
    pub desk: String,
    /// Share of the arrivals, relative to the other classes.
    pub weight: f64,
    /// Output lengths of generations.
    #[serde(default)]
    pub tokens: LengthMix,
    /// Length of prompts in words.
    #[serde(default = "default_words")]
    pub prompt_words: usize,
    /// Longest time for an answer, or between two events of a stream, in milliseconds.
    pub wait_ms: u64,
    /// Source of idempotency keys.
    #[serde(default)]
    pub keys: KeySource,
    /// Share of orders that are sent again with the same key soon after the first.
    #[serde(default)]
    pub repeat: f64,
}

fn default_words() -> usize {
    40
}

/// Log-normal output lengths, which are heavy-tailed.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LengthMix {
    /// Median in tokens.
    pub median: f64,
    /// Standard deviation of the logarithm.
    pub sigma: f64,
    /// Largest length.
    pub limit: u32,
}

impl Default for LengthMix {
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
    /// Credential in clear.
    pub credential: String,
    /// Share of the arrivals, relative to the other customers.
    pub weight: f64,
}

impl LoadMix {
    /// Parses the text of a mix file.
    ///
    /// # Errors
    ///
    /// Fails if the text does not parse or a number is out of range.
    pub fn parse(text: &str) -> anyhow::Result<Self> {
        let mix: Self =
            serde_saphyr::from_str(text).map_err(|error| anyhow::anyhow!("mix: {error}"))?;
        let positive = |number: f64| number.is_finite() && number > 0.0;
        if mix.classes.is_empty() || mix.customers.is_empty() || !positive(mix.rate) {
            bail!("mix: needs classes, customers and a positive rate");
        }
        let weights = mix.classes.iter().map(|class| class.weight);
        if !weights.chain(mix.customers.iter().map(|customer| customer.weight)).all(positive) {
            bail!("mix: weights must be positive");
        }
        for class in &mix.classes {
            if !positive(class.tokens.median) || !positive(class.tokens.sigma) {
                bail!("mix: {}: lengths need a positive median and sigma", class.name);
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
    /// Arrivals per second in place of the mix's own rate.
    pub rate: Option<f64>,
    /// Time of sending.
    pub duration: Duration,
    /// Most requests.
    pub limit: u64,
    /// Seed of arrivals, prompts and lengths.
    pub seed: u64,
}

/// Quantiles of a histogram in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Quantiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
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

/// Result of one class.
#[derive(Clone, Debug, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub name: String,
    /// Requests sent, repetitions of orders not counted.
    pub sent: u64,
    /// Complete answers.
    pub complete: u64,
    /// Rejections by kind and run state.
    pub rejected: IndexMap<String, u64>,
    /// Requests that got neither a complete answer nor a rejection.
    pub unanswered: u64,
    /// Why, and how often.
    pub unanswered_reasons: IndexMap<String, u64>,
    /// Attempts after the first: new connections after a break.
    pub reconnects: u64,
    /// Streams that went on at another attempt.
    pub resumed: u64,
    /// Tokens received.
    pub tokens: u64,
    /// Faults among them.
    pub token_faults: TokenFaults,
    /// Answers that belong to another request or say something false about the execution.
    pub untruthful: u64,
    /// Time from sending to the first token.
    pub first_token_ms: Quantiles,
    /// Time between two tokens of one response.
    pub token_gap_ms: Quantiles,
    /// Stall time per response: parts of gaps beyond 500 ms.
    pub stall_ms: Quantiles,
    /// Sum of stall times.
    pub stall_total_ms: f64,
    /// Time from sending to the complete answer.
    pub complete_ms: Quantiles,
}

/// Orders checked against the executions that the services counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct OrderReport {
    /// Orders executed, each counted once.
    pub executed: u64,
    /// Orders executed more than once.
    pub executed_again: u64,
    /// Orders that were executed although every answer said that they were not run.
    pub not_run_but_executed: u64,
    /// Orders that were not executed although an answer said that they were.
    pub done_but_not_executed: u64,
    /// Orders with an unknown outcome.
    pub outcome_unknown: u64,
}

/// Result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Name of the mix.
    pub mix: String,
    /// Seed of the run.
    pub seed: u64,
    /// Arrivals per second.
    pub rate: f64,
    /// Seconds from the first arrival to the last answer.
    pub seconds: f64,
    /// Arrivals that were not sent because too many requests were in progress.
    pub not_sent: u64,
    /// Result per class.
    pub classes: Vec<ClassReport>,
    /// Orders against executions.
    pub orders: OrderReport,
}

impl LoadReport {
    /// Gets the broken invariants as text; empty if none broke.
    pub fn violations(&self) -> Vec<String> {
        let mut found = Vec::new();
        for class in &self.classes {
            if !class.token_faults.is_clean() {
                found.push(format!("{}: token faults {:?}", class.name, class.token_faults));
            }
            if class.untruthful > 0 {
                found.push(format!("{}: {} untruthful answers", class.name, class.untruthful));
            }
        }
        let orders = self.orders;
        if orders.executed_again > 0 {
            found.push(format!("{} orders executed more than once", orders.executed_again));
        }
        if orders.not_run_but_executed > 0 {
            found.push(format!("{} orders executed but told not_run", orders.not_run_but_executed));
        }
        if orders.done_but_not_executed > 0 {
            found.push(format!("{} orders told done but not run", orders.done_but_not_executed));
        }
        found
    }

    /// Gets the share of requests without complete answer or rejection, 0 to 1.
    pub fn unanswered_share(&self) -> f64 {
        let sent: u64 = self.classes.iter().map(|class| class.sent).sum();
        let unanswered: u64 = self.classes.iter().map(|class| class.unanswered).sum();
        unanswered as f64 / sent.max(1) as f64
    }

    /// Writes the report as Markdown.
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
            let three = |q: &Quantiles| format!("{:.0}/{:.0}/{:.0}", q.p50, q.p95, q.p99);
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
                three(&class.first_token_ms),
                three(&class.token_gap_ms),
                class.stall_total_ms,
                class.complete_ms.p50,
                class.complete_ms.p99,
            );
        }
        let orders = self.orders;
        let _ = writeln!(
            text,
            "\nOrders: {} executed, {} more than once, {} told not_run but executed, \
             {} told done but not executed, {} with unknown outcome.",
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
/// Fails on a faulty mix or address, and if an invariant broke.
pub fn run(options: LoadOptions) -> anyhow::Result<()> {
    let mix = LoadMix::read(&options.mix)?;
    let params = LoadParams {
        targets: options.target,
        services: options.service,
        rate: options.rate,
        duration: Duration::from_secs(options.seconds),
        limit: options.limit,
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

/// Sends the load from a runtime of its own and returns the report.
///
/// # Errors
///
/// Fails if a target is not a loopback address or a limit is exceeded.
pub fn run_load(mix: LoadMix, params: LoadParams) -> anyhow::Result<LoadReport> {
    let system = ntex::rt::System::new("load", ntex::rt::DefaultRuntime);
    system.block_on(async move { send_load(&mix, &params).await })
}

/// What is recorded about one class.
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
        self.report.first_token_ms = Quantiles::of(&self.first_token);
        self.report.token_gap_ms = Quantiles::of(&self.token_gap);
        self.report.stall_ms = Quantiles::of(&self.stall);
        self.report.complete_ms = Quantiles::of(&self.complete);
        self.report
    }
}

fn record(histogram: &mut Histogram<u64>, duration: Duration) {
    histogram.saturating_record((duration.as_micros() as u64).max(1));
}

/// What callers were told about one order over all its requests.
#[derive(Clone, Copy, Debug, Default)]
struct OrderTold {
    done: bool,
    /// An answer left the outcome open, or no answer came.
    open: bool,
}

/// How one request ended.
enum Outcome {
    Complete,
    Rejected { kind: String, run: String },
    Unanswered(String),
}

struct LoadState {
    client: CallClient,
    targets: Vec<SocketAddr>,
    next_target: RefCell<usize>,
    classes: RefCell<Vec<ClassRecord>>,
    orders: RefCell<HashMap<String, OrderTold>>,
    open: RefCell<usize>,
}

/// One request of the plan.
#[derive(Clone, Debug)]
struct Arrival {
    class: usize,
    spec: Rc<LoadClass>,
    credential: Rc<str>,
    number: u64,
    tokens: u32,
    words: u64,
    repeat_after: Option<Duration>,
}

async fn send_load(mix: &LoadMix, params: &LoadParams) -> anyhow::Result<LoadReport> {
    if params.targets.is_empty() {
        bail!("no target");
    }
    let addresses = params.targets.iter().chain(&params.services);
    if let Some(address) = addresses.into_iter().find(|address| !address.ip().is_loopback()) {
        bail!("{address} is not a loopback address");
    }
    let rate = params.rate.unwrap_or(mix.rate);
    if params.limit > COUNT_LIMIT || params.duration > TIME_LIMIT || rate <= 0.0 {
        bail!("at most {COUNT_LIMIT} requests in {TIME_LIMIT:?}, at a positive rate");
    }
    let state = Rc::new(LoadState {
        client: CallClient::build().await?,
        targets: params.targets.clone(),
        next_target: RefCell::new(0),
        classes: RefCell::new(mix.classes.iter().map(|c| ClassRecord::new(&c.name)).collect()),
        orders: RefCell::new(HashMap::new()),
        open: RefCell::new(0),
    });
    let specs: Vec<Rc<LoadClass>> = mix.classes.iter().cloned().map(Rc::new).collect();
    let mut rng = SmallRng::seed_from_u64(params.seed);
    let gaps = Exp::new(rate)?;
    let started = Instant::now();
    let mut at = Duration::ZERO;
    let mut not_sent = 0;
    for number in 0..params.limit {
        at += Duration::from_secs_f64(gaps.sample(&mut rng));
        if at > params.duration {
            break;
        }
        let arrival = plan(mix, &specs, params.seed, number, &mut rng)?;
        sleep(at.saturating_sub(started.elapsed())).await;
        if *state.open.borrow() >= OPEN_LIMIT {
            not_sent += 1;
            continue;
        }
        *state.open.borrow_mut() += 1;
        let task = Rc::clone(&state);
        ntex::rt::spawn(async move {
            task.perform(arrival).await;
            *task.open.borrow_mut() -= 1;
        })
        .detach();
    }
    // Every request has a limit on each of its waits, so this ends.
    while *state.open.borrow() > 0 {
        sleep(Duration::from_millis(20)).await;
    }
    let seconds = started.elapsed().as_secs_f64();
    let orders = state.check_orders(&params.services).await?;
    let classes = std::mem::take(&mut *state.classes.borrow_mut());
    Ok(LoadReport {
        mix: mix.name.clone(),
        seed: params.seed,
        rate,
        seconds,
        not_sent,
        classes: classes.into_iter().map(ClassRecord::finish).collect(),
        orders,
    })
}

fn plan(
    mix: &LoadMix,
    specs: &[Rc<LoadClass>],
    seed: u64,
    number: u64,
    rng: &mut SmallRng,
) -> anyhow::Result<Arrival> {
    let class = pick(rng, specs.iter().map(|class| class.weight));
    let customer = pick(rng, mix.customers.iter().map(|customer| customer.weight));
    let spec = Rc::clone(&specs[class]);
    let lengths = LogNormal::new(spec.tokens.median.ln(), spec.tokens.sigma)?;
    let tokens = lengths.sample(rng).clamp(1.0, f64::from(spec.tokens.limit)) as u32;
    let repeats = rng.random::<f64>() < spec.repeat;
    let repeat_after = Duration::from_millis(rng.random_range(0..REPEAT_WITHIN_MS));
    Ok(Arrival {
        class,
        spec,
        credential: mix.customers[customer].credential.as_str().into(),
        number: (seed << 32) | number,
        tokens,
        words: rng.random(),
        repeat_after: repeats.then_some(repeat_after),
    })
}

fn pick(rng: &mut SmallRng, weights: impl Iterator<Item = f64> + Clone) -> usize {
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
        format!("/v1/desks/{}/{rest}", self.spec.desk)
    }

    fn wait(&self) -> Duration {
        Duration::from_millis(self.spec.wait_ms)
    }

    /// Writes the prompt. Prompts of one class share their beginning, as callers' prompts do.
    fn prompt(&self) -> String {
        let mut rng = SmallRng::seed_from_u64(self.words);
        let mut text = format!("{}: describe ", self.spec.name);
        for word in 0..self.spec.prompt_words {
            let index = if word * 2 < self.spec.prompt_words {
                word % WORDS.len()
            } else {
                rng.random_range(0..WORDS.len())
            };
            text.push_str(WORDS[index]);
            text.push(' ');
        }
        let _ = write!(text, "#tokens={} number {:x}", self.tokens, self.number);
        text
    }
}

impl LoadState {
    /// Gets the next instance, as a balancer in front of them would.
    fn target(&self) -> SocketAddr {
        let mut next = self.next_target.borrow_mut();
        *next += 1;
        self.targets[*next % self.targets.len()]
    }

    fn with_class<T>(&self, class: usize, change: impl FnOnce(&mut ClassRecord) -> T) -> T {
        change(&mut self.classes.borrow_mut()[class])
    }

    async fn perform(self: &Rc<Self>, arrival: Arrival) {
        self.with_class(arrival.class, |class| class.report.sent += 1);
        let sent = Instant::now();
        let outcome = match arrival.spec.kind {
            RequestKind::Stream => self.stream(&arrival, sent).await,
            RequestKind::Whole => self.whole(&arrival).await,
            RequestKind::Lookup => self.look_up(&arrival).await,
            RequestKind::Order => self.order(&arrival).await,
        };
        self.with_class(arrival.class, |class| match outcome {
            Outcome::Complete => {
                class.report.complete += 1;
                record(&mut class.complete, sent.elapsed());
            },
            Outcome::Rejected { kind, run } => {
                *class.report.rejected.entry(format!("{kind}/{run}")).or_insert(0) += 1;
            },
            Outcome::Unanswered(reason) => {
                class.report.unanswered += 1;
                *class.report.unanswered_reasons.entry(reason).or_insert(0) += 1;
            },
        });
    }

    /// Sends a call until it is answered, on another instance after each break.
    async fn call(&self, arrival: &Arrival, call: &Call) -> Result<CallResponse, String> {
        let mut reason = String::new();
        let started = Instant::now();
        for attempt in 0..ATTEMPTS {
            if attempt > 0 {
                self.with_class(arrival.class, |class| class.report.reconnects += 1);
                sleep(ATTEMPT_PAUSE).await;
            }
            match self.client.call(self.target(), call, arrival.wait()).await {
                Ok(answer) => return Ok(answer),
                Err(CallFault::NotSent(fault) | CallFault::Broken(fault)) => reason = fault,
            }
            if started.elapsed() > arrival.wait() {
                break;
            }
        }
        Err(reason)
    }

    async fn whole(&self, arrival: &Arrival) -> Outcome {
        let prompt = arrival.prompt();
        let body = json!({"prompt": prompt, "delivery": "whole"});
        let call = Call::post(arrival.path("generations"), &body).bearer(&arrival.credential);
        let answer = match self.call(arrival, &call).await {
            Ok(answer) if answer.status == 200 => answer.json(),
            Ok(answer) => return rejection(&answer.json()),
            Err(reason) => return Outcome::Unanswered(reason),
        };
        let mut checker = TokenChecker::new(&prompt);
        checker.take_whole(answer["text"].as_str().unwrap_or_default());
        checker.finish(answer["tokens"].as_u64().unwrap_or_default());
        self.note_tokens(arrival, &checker);
        Outcome::Complete
    }

    async fn look_up(&self, arrival: &Arrival) -> Outcome {
        let query = json!({"item": arrival.number});
        let call = Call::post(arrival.path("lookups"), &json!({"query": query}))
            .bearer(&arrival.credential);
        match self.call(arrival, &call).await {
            Ok(answer) if answer.status == 200 => {
                if answer.json()["query"] != query {
                    self.with_class(arrival.class, |class| class.report.untruthful += 1);
                }
                Outcome::Complete
            },
            Ok(answer) => rejection(&answer.json()),
            Err(reason) => Outcome::Unanswered(reason),
        }
    }

    async fn order(self: &Rc<Self>, arrival: &Arrival) -> Outcome {
        let key = match arrival.spec.keys {
            KeySource::Own => format!("key-{:x}", arrival.number),
            KeySource::Minted => {
                let mint = Call::new(Method::POST, arrival.path("order-keys"));
                match self.call(arrival, &mint.bearer(&arrival.credential)).await {
                    Ok(answer) if answer.status < 300 => match answer.json()["key"].as_str() {
                        Some(key) => key.to_owned(),
                        None => return Outcome::Unanswered("answer without key".to_owned()),
                    },
                    Ok(answer) => return rejection(&answer.json()),
                    Err(reason) => return Outcome::Unanswered(reason),
                }
            },
        };
        let reference = format!("{}-{:x}", arrival.spec.name, arrival.number);
        let body = json!({"reference": reference, "item": "urn"});
        let call = Call::post(arrival.path("orders"), &body)
            .bearer(&arrival.credential)
            .header("idempotency-key", key);
        self.orders.borrow_mut().entry(reference.clone()).or_default();
        if let Some(after) = arrival.repeat_after {
            let state = Rc::clone(self);
            let (arrival, call, reference) = (arrival.clone(), call.clone(), reference.clone());
            *self.open.borrow_mut() += 1;
            ntex::rt::spawn(async move {
                sleep(after).await;
                let result = state.call(&arrival, &call).await;
                state.note_order(&arrival, &reference, result);
                *state.open.borrow_mut() -= 1;
            })
            .detach();
        }
        let result = self.call(arrival, &call).await;
        self.note_order(arrival, &reference, result)
    }

    fn note_order(
        &self,
        arrival: &Arrival,
        reference: &str,
        result: Result<CallResponse, String>,
    ) -> Outcome {
        let mut orders = self.orders.borrow_mut();
        let told = orders.entry(reference.to_owned()).or_default();
        match result {
            Ok(answer) if answer.status == 200 => {
                told.done = true;
                if answer.json()["reference"] != reference {
                    self.with_class(arrival.class, |class| class.report.untruthful += 1);
                }
                Outcome::Complete
            },
            Ok(answer) => {
                let outcome = rejection(&answer.json());
                if !matches!(&outcome, Outcome::Rejected { run, .. } if run == "not_run") {
                    told.open = true;
                }
                outcome
            },
            Err(reason) => {
                told.open = true;
                Outcome::Unanswered(reason)
            },
        }
    }

    async fn stream(&self, arrival: &Arrival, sent: Instant) -> Outcome {
        let prompt = arrival.prompt();
        let body = json!({"prompt": prompt, "delivery": "stream"});
        let first = Call::post(arrival.path("generations"), &body).bearer(&arrival.credential);
        let mut reader = StreamReader::new(&prompt, sent);
        let mut reason = String::new();
        for attempt in 0..ATTEMPTS {
            let mut call = first.clone();
            if let Some(id) = &reader.last_id {
                call = call.header("last-event-id", id.as_str());
            }
            if attempt > 0 {
                self.with_class(arrival.class, |class| class.report.reconnects += 1);
                sleep(ATTEMPT_PAUSE).await;
            }
            let mut stream = match self.client.open(self.target(), &call, arrival.wait()).await {
                Ok(OpenResponse::Stream(stream)) => stream,
                Ok(OpenResponse::Complete(answer)) => {
                    self.note_stream(arrival, &reader);
                    return rejection(&answer.json());
                },
                Err(CallFault::NotSent(fault) | CallFault::Broken(fault)) => {
                    reason = fault;
                    continue;
                },
            };
            if reader.last_id.is_some() {
                self.with_class(arrival.class, |class| class.report.resumed += 1);
            }
            match reader.read(&mut stream, arrival.wait()).await {
                Ok(outcome) => {
                    self.note_stream(arrival, &reader);
                    return outcome;
                },
                Err(fault) => reason = fault,
            }
        }
        self.note_stream(arrival, &reader);
        Outcome::Unanswered(reason)
    }

    fn note_tokens(&self, arrival: &Arrival, checker: &TokenChecker) {
        self.with_class(arrival.class, |class| {
            class.report.tokens += checker.last();
            class.report.token_faults.add(checker.faults());
        });
    }

    fn note_stream(&self, arrival: &Arrival, reader: &StreamReader) {
        self.note_tokens(arrival, &reader.checker);
        self.with_class(arrival.class, |class| {
            if let Some(first) = reader.first_token {
                record(&mut class.first_token, first);
                record(&mut class.stall, reader.stall);
                class.report.stall_total_ms += reader.stall.as_secs_f64() * 1000.0;
            }
            for &gap in &reader.gaps {
                record(&mut class.token_gap, gap);
            }
        });
    }

    async fn check_orders(&self, services: &[SocketAddr]) -> anyhow::Result<OrderReport> {
        let mut executed: HashMap<String, u64> = HashMap::new();
        for &service in services {
            let call = Call::new(Method::GET, "/v1/executions");
            let answer = self.client.call(service, &call, Duration::from_secs(10)).await;
            let answer = answer.map_err(|fault| anyhow::anyhow!("{service}: {fault:?}"))?;
            let executions: Executions = serde_json::from_slice(&answer.body)?;
            for (reference, count) in executions.references {
                *executed.entry(reference).or_insert(0) += count;
            }
        }
        let mut report = OrderReport::default();
        for (reference, told) in &*self.orders.borrow() {
            let count = executed.get(reference).copied().unwrap_or(0);
            report.executed += u64::from(count > 0);
            report.executed_again += u64::from(count > 1);
            report.not_run_but_executed += u64::from(count > 0 && !told.done && !told.open);
            report.outcome_unknown += u64::from(!told.done && told.open);
            if !services.is_empty() {
                report.done_but_not_executed += u64::from(count == 0 && told.done);
            }
        }
        Ok(report)
    }
}

/// Reads one response over one or more connections.
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

    /// Reads until the end, a rejection, or a break, which is the error.
    async fn read(&mut self, stream: &mut EventStream, wait: Duration) -> Result<Outcome, String> {
        if self.last_id.is_none() {
            // Nothing was received, so a repeated request may be another generation.
            self.checker = TokenChecker::new(&self.prompt);
        }
        loop {
            let event = stream.next(wait).await?.ok_or("the stream ended without end")?;
            let data: Value = serde_json::from_str(&event.data).unwrap_or_default();
            match event.name.as_str() {
                "token" => self.take_token(&event.id, &data),
                "end" => {
                    self.checker.finish(data["tokens"].as_u64().unwrap_or_default());
                    return Ok(Outcome::Complete);
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
                self.stall += gap.saturating_sub(STALL_LIMIT);
            },
            None => self.first_token = Some(now - self.sent),
        }
        self.last_token = Some(now);
        let number = id.rsplit('.').next().and_then(|seq| seq.parse().ok());
        self.checker.take(number, data["text"].as_str().unwrap_or_default());
        self.last_id = Some(id.to_owned());
    }
}

/// Reads the JSON of a rejection.
fn rejection(body: &Value) -> Outcome {
    let error = &body["error"];
    match (error["kind"].as_str(), error["run"].as_str()) {
        (Some(kind), Some(run)) => Outcome::Rejected { kind: kind.to_owned(), run: run.to_owned() },
        _ => Outcome::Unanswered("an answer that is no rejection".to_owned()),
    }
}
