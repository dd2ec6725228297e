//! Failure drills with real processes: retry storm, cold start, loss of an availability zone.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use medlarlanding_core::generations::BudgetParams;
use medlarlanding_core::ids::{CustomerId, DeskId};
use medlarlanding_core::orders::{OrderKey, OrderParams};

use anyhow::{Context, bail};
use argh::FromArgs;
use futures_util::future::{join, join_all};
use hyper::Method;
use ntex::time::{sleep, timeout};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rustix::process::Signal;
use serde_json::json;

use crate::client::{Call, CallClient, CallFault, CallResponse};
use crate::cluster::{CUSTOMERS, Cluster, ClusterParams, credential};
use crate::load::{LoadMix, LoadParams, LoadReport, run_load};
use crate::stand_ins::engine::{EngineFaults, EngineSettings};
use crate::stand_ins::service::ServiceFaults;
use crate::stand_ins::tokens::TokenChecker;

const ZONE_MIX: &str = include_str!("../mixes/zone.yaml");
/// Time limit of one drill after the start of its cluster.
const DRILL_TIMEOUT: Duration = Duration::from_secs(36);
/// Interval at which states are polled and counters are sampled.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Time limit of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(8);
/// Time limit for the whole response to a request of the retry storm or to an order that a drill
/// submits itself.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(4);
/// Time from the death of an instance until it is removed from the published instance list.
const LIST_LAG: Duration = Duration::from_secs(3);

/// Time for which the engines refuse all requests.
const STORM_DURATION: Duration = Duration::from_secs(5);
/// Number of callers in the retry storm. Each sends one request at a time.
const STORM_CALLERS: usize = 24;
/// Maximum number of requests in the retry storm.
const MAX_STORM_REQUESTS: u64 = 200_000;
/// Number of tokens of each generation in the retry storm.
const STORM_TOKENS: u32 = 20;
/// Length of the window over which throughput is measured after the storm.
const THROUGHPUT_WINDOW: Duration = Duration::from_millis(500);
/// Share of the throughput before the storm at which the system counts as recovered.
const RECOVERED_SHARE: f64 = 0.8;

/// Weight loads per minute in the cold start: one per 0.5 s, so that the loads of all 12 engines
/// fit into the drill.
const LOADS_PER_MINUTE: u32 = 120;
/// Number of orders with minted keys that are submitted after the cold start.
const MINTED_ORDERS: usize = 60;

/// Availability zone whose instances and engines are killed.
const LOST_ZONE: &str = "cairo-c";
/// Number of probe orders that are submitted at the same time.
const PROBE_ROUND_SIZE: usize = 64;
/// Pause between two rounds of probe orders.
const PROBE_PAUSE: Duration = Duration::from_millis(100);
/// Maximum number of probe orders per partition.
const PROBE_SWEEPS: usize = 12;

/// runs failure drills with real processes on loopback and prints the measured figures
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "drills")]
pub struct DrillsOptions {
    /// drill to run: retry-storm, cold-start or zone-loss; all in turn if absent
    #[argh(option)]
    only: Option<String>,
    /// seed of arrivals, prompts, output lengths and the sequence of probe orders
    #[argh(option, default = "1")]
    seed: u64,
}

/// Kind of a failure drill.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drill {
    /// All engines refuse requests for 5 s while callers send again without a pause.
    RetryStorm,
    /// All instances start at the same time without any state.
    ColdStart,
    /// The instances and engines of one of three availability zones are killed at the same time.
    ZoneLoss,
}

impl Drill {
    /// All drills, in the order in which they run.
    pub const ALL: [Self; 3] = [Self::RetryStorm, Self::ColdStart, Self::ZoneLoss];

    /// Returns the name on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::RetryStorm => "retry-storm",
            Self::ColdStart => "cold-start",
            Self::ZoneLoss => "zone-loss",
        }
    }

    fn cluster(self) -> ClusterParams {
        let engines = |count: usize| vec![EngineSettings::default().with_speed(4.0); count];
        match self {
            Self::RetryStorm => ClusterParams { engines: engines(4), ..ClusterParams::default() },
            Self::ColdStart => ClusterParams {
                instances: 6,
                engines: engines(12),
                limits: format!("weight_loads_per_minute: {LOADS_PER_MINUTE}"),
                ..ClusterParams::default()
            },
            // The two services of each kind lie in the other two zones, so none is lost.
            Self::ZoneLoss => {
                ClusterParams { instances: 6, engines: engines(6), ..ClusterParams::default() }
            },
        }
    }
}

/// Results of one drill.
#[derive(Clone, Debug, Default)]
pub struct DrillReport {
    /// Names and values of the figures.
    pub figures: Vec<(&'static str, String)>,
    /// Descriptions of the violated invariants.
    pub violations: Vec<String>,
}

impl DrillReport {
    fn add(&mut self, name: &'static str, value: impl ToString) {
        self.figures.push((name, value.to_string()));
    }

    fn require(&mut self, holds: bool, violation: impl FnOnce() -> String) {
        if !holds {
            self.violations.push(violation());
        }
    }

    /// Returns the figures as a Markdown table.
    pub fn markdown(&self) -> String {
        let mut text = String::from("| figure | value |\n|---|---|\n");
        for (name, value) in &self.figures {
            let _ = writeln!(text, "| {name} | {value} |");
        }
        text
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if `--only` names no drill, a drill cannot be completed, or an invariant is violated.
pub fn run(options: DrillsOptions) -> anyhow::Result<()> {
    let chosen: Vec<_> = Drill::ALL
        .into_iter()
        .filter(|drill| options.only.as_ref().is_none_or(|only| only == drill.name()))
        .collect();
    if chosen.is_empty() {
        bail!("--only takes retry-storm, cold-start or zone-loss");
    }
    let mut broken = Vec::new();
    for drill in chosen {
        println!("## {}, seed {}\n", drill.name(), options.seed);
        let report = run_drill(drill, options.seed)?;
        println!("{}", report.markdown());
        broken.extend(report.violations.iter().map(|text| format!("{}: {text}", drill.name())));
    }
    if !broken.is_empty() {
        bail!("invariants broke: {}", broken.join("; "));
    }
    println!("no invariant broke");
    Ok(())
}

/// Runs one drill on a cluster of its own.
///
/// # Errors
///
/// Fails if the cluster does not start, a call that the drill depends on fails, or the drill
/// exceeds its time limit.
pub fn run_drill(drill: Drill, seed: u64) -> anyhow::Result<DrillReport> {
    let drill_started = Instant::now();
    let mut cluster = Cluster::start(drill.cluster())?;
    let started = Instant::now();
    let processes: Vec<_> =
        cluster.instances.iter().filter_map(|instance| instance.pid()).collect();
    let system = ntex::rt::System::new("drill", ntex::rt::DefaultRuntime);
    // The cluster is returned even after an error, so that dropping it kills the processes.
    let (cluster, report) = system.block_on(async move {
        let work = async {
            let client = CallClient::build().await?;
            match drill {
                Drill::RetryStorm => retry_storm(&mut cluster, &client, seed).await,
                Drill::ColdStart => cold_start(&cluster, &client, started).await,
                Drill::ZoneLoss => zone_loss(&mut cluster, &client, seed).await,
            }
        };
        let report = timeout(DRILL_TIMEOUT, work).await;
        (cluster, report)
    });
    let logs = match &report {
        Ok(Ok(report)) if report.violations.is_empty() => String::new(),
        _ => cluster.logs(),
    };
    drop(cluster);
    if !logs.is_empty() {
        eprintln!("{logs}");
    }
    let Ok(report) = report else {
        bail!("drill {} exceeded its time limit of {DRILL_TIMEOUT:?}", drill.name())
    };
    let mut report = report.with_context(|| drill.name())?;
    let left = processes.iter().filter(|pid| Path::new(&format!("/proc/{pid}")).exists()).count();
    report.require(left == 0, || format!("{left} instance processes are still running"));
    report.add("duration of the drill", seconds(drill_started.elapsed()));
    Ok(report)
}

fn seconds(duration: Duration) -> String {
    format!("{:.2} s", duration.as_secs_f64())
}

/// Returns counts as text, or `none` if there are none.
fn count_list(counts: &BTreeMap<String, u64>) -> String {
    let texts: Vec<_> = counts.iter().map(|(kind, count)| format!("{kind} {count}")).collect();
    if texts.is_empty() { "none".to_owned() } else { texts.join(", ") }
}

/// Sends a call and abandons it after `RESPONSE_TIMEOUT`.
///
/// The time limits of the client did not end every call: callers of the retry storm waited beyond
/// them until the drill reached its own limit.
async fn call_with_timeout(
    client: &CallClient,
    target: SocketAddr,
    call: &Call,
) -> Result<CallResponse, CallFault> {
    timeout(RESPONSE_TIMEOUT, client.call(target, call, CALL_TIMEOUT)).await.unwrap_or_else(|()| {
        Err(CallFault::Broken(format!("no answer within {RESPONSE_TIMEOUT:?}")))
    })
}

/// Returns the kind and run state of a rejection.
fn rejection(response: &CallResponse) -> Option<(String, String)> {
    let body = response.json();
    let error = &body["error"];
    Some((error["kind"].as_str()?.to_owned(), error["run"].as_str()?.to_owned()))
}

// --- Retry storm

/// Requests of all callers in the retry storm, and what they received.
#[derive(Default)]
struct StormRecord {
    requests: u64,
    completions: Vec<Instant>,
    /// Time of the last complete response of each caller.
    last_complete: Vec<Option<Instant>>,
    rejections: BTreeMap<String, u64>,
    /// Rejections whose run state is not `not_run`.
    may_have_run: u64,
    unanswered: BTreeMap<String, u64>,
    token_faults: u64,
    /// Requests sent while the engines refused.
    storm_requests: u64,
}

/// Metrics of one instance.
#[derive(Clone, Copy, Debug, Default)]
struct InstanceCounters {
    retries: u64,
    /// Requests with a complete response, which earn retries.
    whole: u64,
}

/// Reads the metrics of every instance.
async fn counters(cluster: &Cluster, client: &CallClient) -> anyhow::Result<Vec<InstanceCounters>> {
    let mut all = Vec::new();
    for instance in &cluster.instances {
        let call = Call::new(Method::GET, "/metrics");
        let response = client.call(instance.addresses.admin, &call, CALL_TIMEOUT).await;
        let response = response.map_err(|fault| anyhow::anyhow!("{}: {fault:?}", instance.name))?;
        let text = String::from_utf8_lossy(&response.body).into_owned();
        let value = |prefix: &str, part: &str| -> u64 {
            text.lines()
                .filter(|line| line.starts_with(prefix) && line.contains(part))
                .filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok())
                .sum::<f64>() as u64
        };
        if !text.contains("medlarlanding_retries_total") {
            bail!("the metrics of {} contain no medlarlanding_retries_total", instance.name);
        }
        all.push(InstanceCounters {
            retries: value("medlarlanding_retries_total", ""),
            whole: value("medlarlanding_requests_total", "result=\"whole\""),
        });
    }
    Ok(all)
}

/// State that the callers of the retry storm share.
struct StormState {
    client: CallClient,
    targets: Vec<SocketAddr>,
    seed: u64,
    record: RefCell<StormRecord>,
    refusing: Cell<bool>,
    ended: Cell<bool>,
}

/// Sends requests one after another until the drill ends.
async fn storm_caller(number: usize, state: Rc<StormState>) {
    let StormState { client, targets, seed, record, refusing, ended } = &*state;
    let mut sent = 0_u64;
    while !ended.get() && record.borrow().requests < MAX_STORM_REQUESTS {
        let prompt = format!("caller {number} seed {seed} request {sent} #tokens={STORM_TOKENS} x");
        let target = targets[(number + sent as usize) % targets.len()];
        sent += 1;
        record.borrow_mut().requests += 1;
        record.borrow_mut().storm_requests += u64::from(refusing.get());
        let body = json!({"prompt": prompt, "delivery": "whole"});
        let call = Call::post("/v1/desks/drafts/generations", &body)
            .bearer(&credential(CUSTOMERS[number % 4]));
        let result = call_with_timeout(client, target, &call).await;
        let mut record = record.borrow_mut();
        match result {
            Ok(response) if response.status == 200 => {
                let response = response.json();
                let mut checker = TokenChecker::new(&prompt);
                checker.take_whole(response["text"].as_str().unwrap_or_default());
                checker.finish(response["tokens"].as_u64().unwrap_or_default());
                let whole = checker.last() == u64::from(STORM_TOKENS);
                record.token_faults += u64::from(!whole || !checker.faults().is_clean());
                let now = Instant::now();
                record.completions.push(now);
                record.last_complete[number] = Some(now);
            },
            Ok(response) => match rejection(&response) {
                Some((kind, run)) => {
                    record.may_have_run += u64::from(run != "not_run");
                    *record.rejections.entry(format!("{kind}/{run}")).or_insert(0) += 1;
                },
                None => {
                    let reason = format!("status {} without an error", response.status);
                    *record.unanswered.entry(reason).or_insert(0) += 1;
                },
            },
            Err(CallFault::NotSent(reason) | CallFault::Broken(reason)) => {
                *record.unanswered.entry(reason).or_insert(0) += 1;
            },
        }
    }
}

/// Returns the completions per second within a window.
fn throughput(completions: &[Instant], from: Instant, window: Duration) -> f64 {
    let count = completions.iter().filter(|&&at| at >= from && at < from + window).count();
    count as f64 / window.as_secs_f64()
}

async fn retry_storm(
    cluster: &mut Cluster,
    client: &CallClient,
    seed: u64,
) -> anyhow::Result<DrillReport> {
    cluster.wait_ready(client).await?;
    let cluster = &*cluster;
    let state = Rc::new(StormState {
        client: client.clone(),
        targets: cluster.targets(),
        seed,
        record: RefCell::new(StormRecord {
            last_complete: vec![None; STORM_CALLERS],
            ..StormRecord::default()
        }),
        refusing: Cell::new(false),
        ended: Cell::new(false),
    });
    let callers = join_all(
        (0..STORM_CALLERS).map(|number| ntex::rt::spawn(storm_caller(number, Rc::clone(&state)))),
    );
    let refuse = |on: bool| {
        state.refusing.set(on);
        let faults = EngineFaults { refuse: Some(on), ..EngineFaults::default() };
        cluster.engines.iter().for_each(|engine| engine.set_faults(&faults));
    };
    let run_phases = async {
        // In the first second, connections are opened and estimates adapt to the load.
        sleep(Duration::from_secs(1)).await;
        let baseline_start = Instant::now();
        sleep(Duration::from_secs(3)).await;
        let before = counters(cluster, client).await;
        let storm_start = Instant::now();
        refuse(true);
        sleep(STORM_DURATION).await;
        let after = counters(cluster, client).await;
        let storm_end = Instant::now();
        refuse(false);
        sleep(Duration::from_secs(8)).await;
        state.ended.set(true);
        (baseline_start, storm_start, storm_end, before, after)
    };
    let (_, (baseline_start, storm_start, storm_end, before, after)) =
        join(callers, run_phases).await;
    let (before, after, final_counters) = (before?, after?, counters(cluster, client).await?);
    let record = state.record.take();

    let mut report = DrillReport::default();
    let baseline = throughput(&record.completions, baseline_start, storm_start - baseline_start);
    let end = storm_end + Duration::from_secs(8);
    let mut at = storm_end;
    let mut recovery_time = None;
    while at + THROUGHPUT_WINDOW <= end {
        if throughput(&record.completions, at, THROUGHPUT_WINDOW) >= RECOVERED_SHARE * baseline {
            recovery_time = Some(at + THROUGHPUT_WINDOW - storm_end);
            break;
        }
        at += POLL_INTERVAL;
    }
    let first = record.completions.iter().filter(|&&at| at > storm_end).min();
    let served_callers = (0..STORM_CALLERS)
        .map(|caller| record.last_complete[caller].is_some_and(|at| at > storm_end));
    let served = served_callers.filter(|&served| served).count();
    let refused: u64 = cluster.engines.iter().map(|engine| engine.refused()).sum();
    let submitted: u64 = cluster.engines.iter().map(|engine| engine.stats().submitted).sum();
    let complete = record.completions.len() as u64;
    report.add("callers, instances, engines", format!("{STORM_CALLERS}, 3, 4"));
    report.add("requests of callers", record.requests);
    report.add("requests sent while the engines refused", record.storm_requests);
    report.add("complete answers", complete);
    report.add("rejections", count_list(&record.rejections));
    // Requests with neither a complete response nor a rejection.
    report.add("neither", count_list(&record.unanswered));
    let params = BudgetParams::default();
    let mut storm_retries = 0;
    for (index, counters) in final_counters.iter().enumerate() {
        let earned = counters.whole / u64::from(params.successes_per_retry);
        let limit = u64::from(params.initial) + earned;
        report.require(counters.retries <= limit, || {
            format!("instance {index} retried {} times of {limit} allowed", counters.retries)
        });
        let spent = after[index].retries - before[index].retries;
        let earned = (after[index].whole - before[index].whole)
            .div_ceil(u64::from(params.successes_per_retry));
        let limit = u64::from(params.ceiling) + earned;
        report.require(spent <= limit, || {
            format!("instance {index} retried {spent} times in the storm, {limit} allowed")
        });
        storm_retries += spent;
    }
    report.add(
        "retries per instance in the storm (ceiling 20 plus a tenth of the successes in it)",
        join_counts(
            after.iter().zip(&before).map(|(after, before)| after.retries - before.retries),
        ),
    );
    report.add(
        "retries per instance in the whole drill / allowed",
        final_counters
            .iter()
            .map(|counters| {
                let earned = counters.whole / u64::from(params.successes_per_retry);
                format!("{} / {}", counters.retries, u64::from(params.initial) + earned)
            })
            .collect::<Vec<_>>()
            .join(", "),
    );
    report.add("refusals by engines", refused);
    let amplification = refused as f64 / record.storm_requests.max(1) as f64;
    report.add("refusals by engines per request in the storm", format!("{amplification:.3}"));
    report.add("completions/s before the refusals", format!("{baseline:.0}"));
    report.add(
        "first complete answer after the end of the refusals",
        match first {
            Some(&at) => seconds(at - storm_end),
            None => "none".to_owned(),
        },
    );
    report.add(
        "time from the end of the refusals until a window of 0.5 s had 80% of that rate",
        recovery_time.map_or_else(|| "not reached".to_owned(), seconds),
    );
    report.add(
        "callers with a complete answer after the end of the refusals",
        format!("{served} of {STORM_CALLERS}"),
    );
    report.add("generations that engines started", submitted);
    report.add("answers with wrong tokens", record.token_faults);
    let unanswered: u64 = record.unanswered.values().sum();
    let accounted_for = complete
        + record.may_have_run
        + unanswered
        + final_counters.iter().map(|c| c.retries).sum::<u64>();
    report.require(submitted <= accounted_for, || {
        format!(
            "engines started {submitted} generations, but the responses account for at most \
             {accounted_for}"
        )
    });
    // A request is sent to an engine once, and once more for each retry. Each caller may have one
    // request open when the engines begin to refuse.
    report.require(refused <= record.storm_requests + STORM_CALLERS as u64 + storm_retries, || {
        format!("engines refused {refused} times for {} requests", record.storm_requests)
    });
    report.require(record.token_faults == 0, || {
        format!("{} responses with wrong tokens", record.token_faults)
    });
    report.require(recovery_time.is_some(), || {
        "throughput did not recover within 8 s of the end of the refusals".to_owned()
    });
    report.require(record.requests < MAX_STORM_REQUESTS, || {
        format!("the load ended early at its limit of {MAX_STORM_REQUESTS} requests")
    });
    Ok(report)
}

fn join_counts(counts: impl Iterator<Item = u64>) -> String {
    counts.map(|count| count.to_string()).collect::<Vec<_>>().join(", ")
}

// --- Orders submitted by the drills themselves

/// An order that a drill submitted, with its outcome as reported to the caller.
#[derive(Clone, Debug)]
struct SubmittedOrder {
    reference: String,
    /// Kind and run state of the rejection, `None` if the response was complete. Without a
    /// response, the reason and `no answer`.
    refused: Option<(String, String)>,
    sent: Instant,
    answered: Instant,
}

/// Submits an order and waits for its outcome.
async fn submit(
    client: &CallClient,
    target: SocketAddr,
    desk: &str,
    key: &str,
    reference: String,
) -> SubmittedOrder {
    let call = Call::post(format!("/v1/desks/{desk}/orders"), &json!({"reference": reference}))
        .bearer(&credential(CUSTOMERS[0]))
        .header("idempotency-key", key);
    let sent = Instant::now();
    let refused = match call_with_timeout(client, target, &call).await {
        Ok(response) if response.status == 200 => None,
        Ok(response) => {
            Some(rejection(&response).unwrap_or(("no rejection".to_owned(), String::new())))
        },
        Err(CallFault::NotSent(reason) | CallFault::Broken(reason)) => {
            Some((reason, "no answer".to_owned()))
        },
    };
    SubmittedOrder { reference, refused, sent, answered: Instant::now() }
}

/// Counts the orders that were not completed by kind and run state.
fn refusals<'a>(orders: impl IntoIterator<Item = &'a SubmittedOrder>) -> BTreeMap<String, u64> {
    let mut counts = BTreeMap::new();
    for (kind, run) in orders.into_iter().filter_map(|order| order.refused.as_ref()) {
        *counts.entry(format!("{kind}/{run}")).or_insert(0) += 1;
    }
    counts
}

/// Compares the reported outcomes of orders with the executions that the services counted.
fn check_order_executions(cluster: &Cluster, orders: &[SubmittedOrder], report: &mut DrillReport) {
    let mut executed: HashMap<String, u64> = HashMap::new();
    for service in cluster.portals.iter().chain(&cluster.ledgers) {
        for (reference, count) in service.executions().references {
            *executed.entry(reference).or_insert(0) += count;
        }
    }
    let (mut executed_again, mut untruthful) = (0, 0);
    for order in orders {
        let count = executed.get(&order.reference).copied().unwrap_or(0);
        executed_again += u64::from(count > 1);
        untruthful += u64::from(match &order.refused {
            None => count == 0,
            Some((_, run)) => run == "not_run" && count > 0,
        });
    }
    report.add("orders of the drill executed more than once", executed_again);
    report.add("orders of the drill with a false outcome reported", untruthful);
    report.require(executed_again == 0, || {
        format!("{executed_again} orders of the drill executed more than once")
    });
    report.require(untruthful == 0, || {
        format!("{untruthful} orders of the drill with a false outcome reported")
    });
}

// --- Cold start

/// Waits until an instance reports that it is ready. Returns the time since `started`.
async fn measure_ready_time(admin: SocketAddr, client: CallClient, started: Instant) -> Duration {
    let call = Call::new(Method::GET, "/readyz");
    loop {
        let response = client.call(admin, &call, CALL_TIMEOUT).await;
        if response.is_ok_and(|response| response.status == 200) {
            return started.elapsed();
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Lets an instance mint an order key. Returns `None` if it does not.
async fn mint(client: &CallClient, target: SocketAddr) -> Option<String> {
    let call = Call::new(Method::POST, "/v1/desks/trade/order-keys");
    let call = call.bearer(&credential(CUSTOMERS[0]));
    let response = client.call(target, &call, CALL_TIMEOUT).await.ok()?;
    response.json()["key"].as_str().map(str::to_owned)
}

/// Submits orders with minted keys to one instance until one of them runs. Returns the time since
/// `started`.
async fn measure_first_order(
    index: usize,
    target: SocketAddr,
    client: CallClient,
    started: Instant,
    orders: Rc<RefCell<Vec<SubmittedOrder>>>,
) -> Duration {
    for number in 0.. {
        if let Some(key) = mint(&client, target).await {
            let reference = format!("first-{index}-{number}");
            let order = submit(&client, target, "trade", &key, reference).await;
            let ran = order.refused.is_none();
            orders.borrow_mut().push(order);
            if ran {
                break;
            }
        }
        sleep(2 * POLL_INTERVAL).await;
    }
    started.elapsed()
}

async fn cold_start(
    cluster: &Cluster,
    client: &CallClient,
    started: Instant,
) -> anyhow::Result<DrillReport> {
    let engines = cluster.engines.len();
    let orders = Rc::new(RefCell::new(Vec::new()));
    let done = Cell::new(false);
    let sampler = async {
        let mut samples = vec![(started, 0)];
        while !done.get() {
            samples.push((Instant::now(), cluster.platform.calls()));
            sleep(POLL_INTERVAL).await;
        }
        samples
    };
    let work = async {
        let ready = join_all(cluster.instances.iter().map(|instance| {
            ntex::rt::spawn(measure_ready_time(instance.addresses.admin, client.clone(), started))
        }));
        let targets = cluster.targets();
        let minted = join_all(targets.iter().enumerate().map(|(index, &target)| {
            let orders = Rc::clone(&orders);
            ntex::rt::spawn(measure_first_order(index, target, client.clone(), started, orders))
        }));
        let (ready, minted) = join(ready, minted).await;
        let ready: Vec<_> = ready.into_iter().flatten().collect();
        let minted: Vec<_> = minted.into_iter().flatten().collect();
        let mut later = Vec::new();
        for number in 0..MINTED_ORDERS {
            let at = number % targets.len();
            if let Some(key) = mint(client, targets[at]).await {
                // Five of six orders go to another instance than the one that minted the key.
                let target = targets[(at + number / targets.len()) % targets.len()];
                let reference = format!("later-{number}");
                later.push(submit(client, target, "trade", &key, reference).await);
            }
        }
        while cluster.engines.iter().any(|engine| engine.loads().is_empty()) {
            sleep(POLL_INTERVAL).await;
        }
        // Every engine is loaded; this leaves time for superfluous further loads to be counted.
        sleep(Duration::from_secs(2)).await;
        done.set(true);
        (ready, minted, later)
    };
    let (samples, (ready, minted, later)) = join(sampler, work).await;

    let mut report = DrillReport::default();
    report.add("instances, engines", format!("{}, {engines}", cluster.instances.len()));
    report.add("first instance ready", seconds(ready.iter().min().copied().unwrap_or_default()));
    report.add("all instances ready", seconds(ready.iter().max().copied().unwrap_or_default()));
    let busiest = samples.iter().map(|&(at, calls)| {
        let second = samples.iter().take_while(|sample| sample.0 <= at + Duration::from_secs(1));
        second.last().map_or(0, |sample| sample.1) - calls
    });
    report.add("platform calls in the busiest second", busiest.max().unwrap_or(0));
    report.add("platform calls in all", cluster.platform.calls());
    report.add(
        "first order with a minted key ran, first / last instance",
        format!(
            "{} / {}",
            seconds(minted.iter().min().copied().unwrap_or_default()),
            seconds(minted.iter().max().copied().unwrap_or_default())
        ),
    );
    report.add("order refusals before these", count_list(&refusals(&*orders.borrow())));
    let ran = later.iter().filter(|order| order.refused.is_none()).count();
    report.add("later orders with minted keys: executed", format!("{ran} of {}", later.len()));
    report.add("later orders with minted keys: refused", count_list(&refusals(&later)));

    let mut loads: Vec<_> = cluster.engines.iter().flat_map(|engine| engine.loads()).collect();
    loads.sort();
    check_load_rate(&loads, started, cluster.instances.len(), &mut report);
    let repeated = loads.len() - engines;
    report.add("loads of engines that were already loaded", repeated);
    orders.borrow_mut().extend(later);
    check_order_executions(cluster, &orders.borrow(), &mut report);
    Ok(report)
}

/// Checks that the load commands keep the rate of the weight store.
fn check_load_rate(
    loads: &[Instant],
    started: Instant,
    instances: usize,
    report: &mut DrillReport,
) {
    let interval = Duration::from_secs(60) / LOADS_PER_MINUTE;
    let times: Vec<_> = loads.iter().map(|&at| at.saturating_duration_since(started)).collect();
    let gaps = times.windows(2).map(|pair| pair[1] - pair[0]);
    // For each window between two loads, the number of loads beyond what the rate allows in it.
    let excess = (0..times.len()).flat_map(|first| {
        let times = &times;
        (first..times.len()).map(move |last| {
            let span = times[last] - times[first];
            (last - first) as f64 - span.as_secs_f64() / interval.as_secs_f64()
        })
    });
    let excess = excess.fold(0.0, f64::max);
    let second = Duration::from_secs(1);
    let busiest = times
        .iter()
        .map(|&from| times.iter().filter(|&&at| at >= from && at < from + second).count());
    report.add("load commands", times.len());
    report.add(
        "load commands at",
        times.iter().map(|&at| seconds(at)).collect::<Vec<_>>().join(", "),
    );
    report.add("interval of the weight store's rate", seconds(interval));
    report.add("shortest time between two loads", seconds(gaps.min().unwrap_or_default()));
    report.add("loads in the busiest second (rate allows 2)", busiest.max().unwrap_or(0));
    report.add("most loads ahead of the rate in any window", format!("{excess:.1}"));
    // Each instance limits the rate of its own share of the loads, so the first loads of all
    // instances may coincide.
    report.require(excess <= instances as f64, || {
        format!("{excess:.1} loads ahead of the rate with {instances} instances")
    });
}

// --- Loss of a zone

/// Chooses the partitions and keys of the probe orders. The keys form sweeps with one key of every
/// partition each, so that the probes cover every replica group.
fn probe_keys(seed: u64) -> Vec<(usize, String)> {
    let (customer, desk) = (CustomerId::from_name(CUSTOMERS[0]), DeskId::from_name("releases"));
    let partitions = OrderParams::default().partitions;
    let mut sweeps = vec![Vec::new(); PROBE_SWEEPS];
    let mut found = vec![0; usize::from(partitions)];
    for number in 0_u64.. {
        if sweeps.iter().all(|sweep| sweep.len() == found.len()) {
            break;
        }
        let key = format!("probe-{seed}-{number}");
        let partition = OrderKey::from_text(customer, desk, &key).partition(partitions);
        let partition = usize::from(partition.0);
        if let Some(sweep) = sweeps.get_mut(found[partition]) {
            sweep.push((partition, key));
            found[partition] += 1;
        }
    }
    let mut rng = SmallRng::seed_from_u64(seed);
    sweeps.iter_mut().for_each(|sweep| sweep.shuffle(&mut rng));
    sweeps.concat()
}

/// Submits probe orders in rounds to the surviving instances until the drill ends. Returns them
/// with their partitions.
async fn send_probes(
    targets: &[SocketAddr],
    client: &CallClient,
    keys: &[(usize, String)],
    ended: &Cell<bool>,
) -> Vec<(usize, SubmittedOrder)> {
    let mut probes = Vec::new();
    for round in keys.chunks(PROBE_ROUND_SIZE) {
        if ended.get() {
            break;
        }
        let orders = round.iter().enumerate().map(|(index, (partition, key))| {
            let (client, partition, key) = (client.clone(), *partition, key.clone());
            let target = targets[index % targets.len()];
            ntex::rt::spawn(async move {
                let reference = format!("own-{key}");
                (partition, submit(&client, target, "releases", &key, reference).await)
            })
        });
        probes.extend(join_all(orders).await.into_iter().flatten());
        sleep(PROBE_PAUSE).await;
    }
    probes
}

async fn zone_loss(
    cluster: &mut Cluster,
    client: &CallClient,
    seed: u64,
) -> anyhow::Result<DrillReport> {
    cluster.wait_ready(client).await?;
    cluster.wait_orders_accepted(client).await?;
    // The configuration says that the ledgers recognise repeated orders, because the system
    // otherwise runs no orders with callers' keys after a cold start. Here they do not, so that
    // every execution is counted.
    let faults = ServiceFaults { check_keys: Some(false), ..ServiceFaults::default() };
    cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&faults));
    let load = LoadParams {
        targets: cluster.targets(),
        services: cluster.service_addresses(),
        rate: None,
        duration: Duration::from_secs(10),
        max_requests: 5_000,
        seed,
    };
    let mix = LoadMix::parse(ZONE_MIX)?;
    let sender = std::thread::spawn(move || run_load(mix, load));
    let survivors: Vec<_> = cluster
        .instances
        .iter()
        .filter(|instance| instance.zone != LOST_ZONE)
        .map(|instance| instance.addresses.callers)
        .collect();
    let keys = probe_keys(seed);
    let ended = Cell::new(false);
    let probes = async {
        sleep(Duration::from_secs(4)).await;
        send_probes(&survivors, client, &keys, &ended).await
    };
    let run_phases = async {
        sleep(Duration::from_secs(4)).await;
        let killed_at = Instant::now();
        let kill = kill_zone(cluster);
        let kill_time = killed_at.elapsed();
        sleep(LIST_LAG.saturating_sub(kill_time)).await;
        let zones: HashMap<_, _> = cluster
            .instances
            .iter()
            .map(|instance| (instance.name.clone(), instance.zone.clone()))
            .collect();
        cluster.publish_instances(|name| (zones[name] != LOST_ZONE).then_some("live"));
        while !sender.is_finished() {
            sleep(POLL_INTERVAL).await;
        }
        ended.set(true);
        kill.map(|()| (killed_at, kill_time))
    };
    let (probes, phases) = join(probes, run_phases).await;
    let (killed_at, kill_time) = phases?;
    let load = match sender.join() {
        Ok(load) => load?,
        Err(_) => bail!("the load generator panicked"),
    };
    let mut report = DrillReport::default();
    report.add("instances, engines, zones", "6, 6, 3; 2 instances and 2 engines lost");
    report.add("time to kill these", seconds(kill_time));
    report_load(&load, &mut report);
    report_probes(&probes, killed_at, &mut report);
    let orders: Vec<_> = probes.into_iter().map(|(_, order)| order).collect();
    check_order_executions(cluster, &orders, &mut report);
    Ok(report)
}

/// Kills the instances and stops the engines of the lost zone.
fn kill_zone(cluster: &mut Cluster) -> anyhow::Result<()> {
    let is_lost = |zone: &str| zone == LOST_ZONE;
    // All instances get the signal before any exit is awaited, so that they die together.
    for instance in cluster.instances.iter().filter(|instance| is_lost(&instance.zone)) {
        instance.signal(Signal::KILL)?;
    }
    // Engines are assigned to the three zones in turn, as instances are; the lost zone is the
    // third.
    let stop = EngineFaults { die: Some(true), ..EngineFaults::default() };
    let engines = cluster.engines.iter_mut().skip(2).step_by(3);
    for engine in engines {
        engine.set_faults(&stop);
    }
    for instance in cluster.instances.iter_mut().filter(|instance| is_lost(&instance.zone)) {
        instance.kill();
    }
    Ok(())
}

/// Adds the results of the load generator to the report.
fn report_load(load: &LoadReport, report: &mut DrillReport) {
    let sum = |count: fn(&crate::load::ClassReport) -> u64| -> u64 {
        load.classes.iter().map(count).sum()
    };
    let sent = sum(|class| class.sent);
    let complete = sum(|class| class.complete);
    let unanswered = sum(|class| class.unanswered);
    let rejected = sum(|class| class.rejected.values().sum());
    let untruthful = sum(|class| class.untruthful);
    let share = |count: u64| format!("{count} ({:.2}%)", 100.0 * count as f64 / sent.max(1) as f64);
    let mut rejections = BTreeMap::new();
    let mut reasons = BTreeMap::new();
    for class in &load.classes {
        for (kind, count) in &class.rejected {
            *rejections.entry(format!("{} {kind}", class.name)).or_insert(0) += count;
        }
        for (reason, count) in &class.unanswered_reasons {
            *reasons.entry(format!("{} {reason}", class.name)).or_insert(0) += count;
        }
    }
    let orders = load.orders;
    let false_orders = orders.not_run_but_executed + orders.done_but_not_executed;
    report.add("requests", sent);
    report.add("requests with a complete answer", share(complete));
    report.add("requests with a rejection", share(rejected));
    report.add("requests with neither", share(unanswered));
    report.add("rejections", count_list(&rejections));
    report.add("reasons of requests with neither", count_list(&reasons));
    report.add("streams resumed", sum(|class| class.resumed));
    report.add("orders executed", orders.executed);
    report.add("orders executed more than once", orders.executed_again);
    report.add("untruthful answers", untruthful + false_orders);
    report.violations.extend(load.violations());
    report.require(load.not_sent == 0, || format!("{} requests were not sent", load.not_sent));
}

/// Adds the results of the probe orders to the report and checks that every partition accepts
/// orders in the end.
fn report_probes(probes: &[(usize, SubmittedOrder)], killed_at: Instant, report: &mut DrillReport) {
    let refused: Vec<_> = probes
        .iter()
        .filter(|(_, order)| order.refused.is_some())
        .map(|(_, order)| order)
        .collect();
    let last_sent = refused.iter().map(|order| order.sent).max();
    let last_refusal = last_sent.unwrap_or(killed_at);
    let accepting: BTreeSet<_> = probes
        .iter()
        .filter(|(_, order)| order.sent > last_refusal && order.refused.is_none())
        .map(|(partition, _)| partition)
        .collect();
    let slowest = probes.iter().map(|(_, order)| order.answered - order.sent).max();
    report.add("probe orders over all partitions", probes.len());
    report.add("probe orders refused", count_list(&refusals(refused.iter().copied())));
    report.add(
        "time from the loss until the last refused probe order was sent",
        last_sent.map_or_else(
            || "none".to_owned(),
            |at| seconds(at.saturating_duration_since(killed_at)),
        ),
    );
    report
        .add("partitions with an accepted probe order after the last refused one", accepting.len());
    report.add("slowest response to a probe order", seconds(slowest.unwrap_or_default()));
    let partitions = usize::from(OrderParams::default().partitions);
    report.require(accepting.len() >= partitions, || {
        format!(
            "only {} of {partitions} partitions accepted a probe order after the last refused one",
            accepting.len()
        )
    });
}
