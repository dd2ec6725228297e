//! Fault soak test: injects random faults around real instance processes and checks the guarantees
//! from the answers of callers and the run records of servers.

mod cold_servers;
mod evacuations;
mod fatal_prompts;
mod restores;

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use self::cold_servers::ColdPeriods;
use self::evacuations::{
    LAYOUT, StoreOutages, change_zone, find_late_requests, latest_request, restore_zones,
};
use self::fatal_prompts::{PromptPlan, SOUND_PART, ServiceGaps, find_late_runs};
use self::restores::{RestorePlan, find_call_flood};
use crate::site::{
    FATAL_PART, LinkMode, ServerMode, SiteAnswer, SiteCall, SiteParams, SiteState, StoreMode,
    TestSite,
};

use anyhow::Context;
use argh::FromArgs;
use hyper::Method;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rustix::process::Signal;

/// Number of concurrent callers.
const CALLERS: usize = 8;
/// Events of a generation.
const EVENTS: u64 = 40;
/// Time between two events of a generation.
const EVENT_INTERVAL_MS: u64 = 15;
/// Time after the last fault within which every instance must serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(15);
/// Time between two faults.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 50..400;
/// Servers of the service without a model.
const PLAIN_SERVERS: usize = 3;
/// Servers with links. A soak with fatal prompts has only those of the service without a model.
const SERVERS: [&str; PLAIN_SERVERS + ENGINES] =
    ["orders-0", "orders-1", "orders-2", "engines-0", "engines-1", "engines-2", "engines-3"];
/// Engines of a soak without fatal prompts.
const ENGINES: usize = 4;
/// Engines of a soak with fatal prompts; more, because some of them are starting again.
const CRASHING_ENGINES: usize = 8;

/// Injects random faults around real instances and checks the guarantees to callers.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "soak", example = "soak --first 1 --seeds 50 --seconds 10")]
pub struct SoakOptions {
    /// first seed
    #[argh(option, default = "1")]
    pub first: u64,
    /// number of seeds
    #[argh(option, default = "10")]
    pub seeds: u64,
    /// seconds of faults for each seed
    #[argh(option, default = "10")]
    pub seconds: u64,
    /// instances
    #[argh(option, default = "3")]
    pub instances: usize,
    /// some generations have a part in their prompts on which engines end
    #[argh(switch)]
    pub fatal_prompts: bool,
}

/// Runs the seeds one after another.
///
/// # Errors
///
/// Fails if any seed finds a violation.
pub fn run(options: SoakOptions) -> anyhow::Result<()> {
    let mut failed_seeds = Vec::new();
    for seed in options.first..options.first + options.seeds {
        let length = Duration::from_secs(options.seconds);
        let params = SoakParams {
            seed,
            length,
            instances: options.instances,
            with_fatal_prompts: options.fatal_prompts,
        };
        let report = run_seed(params).with_context(|| format!("seed {seed}"))?;
        println!(
            "seed {seed}: {} requests, {} served, {} faults, {} engines ended, {} cold times checked, \
             {} evacuations, latest request in an evacuated zone after {} ms, {} restores, {} violations",
            report.requests,
            report.served,
            report.faults,
            report.ended_engines,
            report.cold_times,
            report.evacuations,
            report.latest_request.as_millis(),
            report.restores,
            report.violations.len()
        );
        report.violations.iter().for_each(|violation| println!("  {violation}"));
        if !report.violations.is_empty() {
            failed_seeds.push(seed);
        }
    }
    anyhow::ensure!(
        failed_seeds.is_empty(),
        "guarantees were violated with the seeds {failed_seeds:?}"
    );
    Ok(())
}

/// Parameters of one run.
#[derive(Clone, Copy, Debug)]
pub struct SoakParams {
    /// Seed of faults and requests.
    pub seed: u64,
    /// Time during which faults are injected.
    pub length: Duration,
    /// Number of instances.
    pub instances: usize,
    /// Whether some generations have a part in their prompts on which engines end.
    pub with_fatal_prompts: bool,
}

/// Result of one run.
#[derive(Debug, Default)]
pub struct SoakReport {
    /// Requests sent.
    pub requests: usize,
    /// Requests with a complete answer of status 200.
    pub served: usize,
    /// Faults injected.
    pub faults: usize,
    /// Times that an engine ended on a part of a prompt.
    pub ended_engines: usize,
    /// Cold times of servers in which the requests to them were checked.
    pub cold_times: usize,
    /// Evacuations of zones.
    pub evacuations: usize,
    /// Longest time after which a request reached an evacuated zone.
    pub latest_request: Duration,
    /// Restores of the store from an older copy.
    pub restores: usize,
    /// Violated guarantees.
    pub violations: Vec<String>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Lookup,
    Order,
    Draft,
    FatalDraft,
}

struct CallRecord {
    id: String,
    kind: CallKind,
    /// Instance that was called.
    instance: usize,
    answer: Option<SiteAnswer>,
}

/// Runs one seed.
///
/// # Errors
///
/// Fails if the deployment cannot be started or a fault cannot be injected.
pub fn run_seed(params: SoakParams) -> anyhow::Result<SoakReport> {
    let site_params = SiteParams {
        instances: params.instances,
        plain_servers: PLAIN_SERVERS,
        engines: if params.with_fatal_prompts { 0 } else { ENGINES },
        grace_s: 3,
    };
    let mut site = TestSite::start_in_zones(site_params, LAYOUT)?;
    site.state.set_generation(EVENTS, EVENT_INTERVAL_MS);
    ColdPeriods::publish_config(&mut site);
    let plan = PromptPlan::new(params.seed);
    if params.with_fatal_prompts {
        site.state.set_fatal_part(Some(FATAL_PART));
        for engine in 0..CRASHING_ENGINES {
            site.add_crashing_engine(engine, plan.framing)?;
        }
        wait_for_service(&site, params.instances, plan)?;
    }
    let records = Arc::new(Mutex::new(Vec::new()));
    let is_over = Arc::new(AtomicBool::new(false));
    let number = Arc::new(AtomicU64::new(0));
    let addresses: Vec<_> = (0..params.instances).map(|index| site.caller_address(index)).collect();
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let (records, is_over) = (Arc::clone(&records), Arc::clone(&is_over));
            let (number, addresses) = (Arc::clone(&number), addresses.clone());
            let mut random = SmallRng::seed_from_u64(params.seed * 1_000 + caller as u64);
            std::thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let number = number.fetch_add(1, Ordering::Relaxed);
                    let id = format!("id-{number}");
                    let instance = random.random_range(0..addresses.len());
                    let kind = draw_kind(&mut random, params.with_fatal_prompts);
                    let call = make_call(kind, number, &id, plan);
                    let answer = call_once(&mut random, call, addresses[instance]);
                    let record = CallRecord { id, kind, instance, answer };
                    records.lock().unwrap_or_else(PoisonError::into_inner).push(record);
                }
            })
        })
        .collect();
    let mut random = SmallRng::seed_from_u64(params.seed);
    let mut faults = 0;
    let mut gaps = ServiceGaps::default();
    let mut cold = ColdPeriods::new(params.seed);
    let mut outages = StoreOutages::default();
    let mut restores = RestorePlan::new(params.seed);
    let started = Instant::now();
    while started.elapsed() < params.length {
        let mut periods = FaultPeriods { gaps: &mut gaps, cold: &mut cold, outages: &mut outages };
        inject_fault(&mut site, &mut random, params.instances, &mut periods)?;
        cold.inject(&site, &SERVERS);
        restores.inject(&site, params.instances, &mut outages, &mut cold)?;
        faults += 1;
        std::thread::sleep(Duration::from_millis(random.random_range(FAULT_INTERVAL_MS)));
    }
    restores.finish(&site)?;
    clear_faults(&mut site, params.instances, &mut outages, &mut cold)?;
    let recovery = wait_for_service(&site, params.instances, plan);
    is_over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.join().map_err(|_| anyhow::anyhow!("a caller thread panicked"))?;
    }
    let records = records.lock().unwrap_or_else(PoisonError::into_inner);
    let is_served = |record: &&CallRecord| {
        record.answer.as_ref().is_some_and(|answer| answer.status == 200 && answer.is_complete)
    };
    let (cold_times, overloads) = cold.find_overloads(&site.state, &SERVERS, &gaps);
    let mut report = SoakReport {
        requests: records.len(),
        served: records.iter().filter(is_served).count(),
        faults,
        ended_engines: site.state.crashes().len(),
        cold_times,
        evacuations: site.evacuations().len(),
        latest_request: latest_request(&site),
        restores: restores.count,
        violations: find_violations(&site.state, &records),
    };
    report.violations.extend(overloads);
    report.violations.extend(find_call_flood(&site.state, params.instances, started));
    report.violations.extend(find_late_requests(&site, &outages));
    report.violations.extend(find_late_runs(&site.state, &records, &gaps));
    report.violations.extend(recovery.err().map(|error| format!("{error:#}")));
    Ok(report)
}

fn draw_kind(random: &mut SmallRng, with_fatal_prompts: bool) -> CallKind {
    let mut kinds = vec![CallKind::Lookup, CallKind::Order, CallKind::Draft];
    if with_fatal_prompts {
        kinds.push(CallKind::FatalDraft);
    }
    *kinds.choose(random).expect("a kind")
}

fn make_call(kind: CallKind, number: u64, id: &str, plan: PromptPlan) -> SiteCall {
    let (method, path) = match kind {
        CallKind::Lookup => (Method::GET, "/lookup/a"),
        CallKind::Order => (Method::POST, "/order/a"),
        CallKind::Draft | CallKind::FatalDraft => (Method::POST, "/draft/a"),
    };
    let call = SiteCall::new(method, path, id).header("x-deadline-ms", "4000");
    match kind {
        CallKind::Lookup | CallKind::Order => call,
        CallKind::Draft => plan.with_prompt(call, number, SOUND_PART),
        CallKind::FatalDraft => plan.with_prompt(call, number, FATAL_PART),
    }
}

/// Sends one request. A refused connection counts as no answer; nothing was sent.
fn call_once(random: &mut SmallRng, call: SiteCall, address: SocketAddr) -> Option<SiteAnswer> {
    let call = match random.random_range(0..10) {
        0 => call.disconnect_after(Duration::from_millis(random.random_range(5..400))),
        _ => call,
    };
    call.send(address).ok()
}

/// Periods in which faults excuse what a check would report.
struct FaultPeriods<'a> {
    /// When instances did not serve.
    gaps: &'a mut ServiceGaps,
    /// When servers were cold, and whether news of it could arrive.
    cold: &'a mut ColdPeriods,
    /// When the store did not answer.
    outages: &'a mut StoreOutages,
}

fn inject_fault(
    site: &mut TestSite,
    random: &mut SmallRng,
    instances: usize,
    periods: &mut FaultPeriods<'_>,
) -> anyhow::Result<()> {
    let instance = random.random_range(0..instances);
    let servers = SERVERS;
    // Engines of a soak with fatal prompts have no links; faults concern only the other servers.
    let server = random.random_range(0..site.links().len());
    let started = Instant::now();
    match random.random_range(0..14) {
        0 => {
            site.signal(instance, Signal::KILL)?;
            site.wait_exit(instance)?;
            site.spawn_instance(instance)?;
            periods.gaps.add(instance, started);
        },
        1 => {
            site.signal(instance, Signal::TERM)?;
            site.wait_exit(instance)?;
            site.spawn_instance(instance)?;
            periods.gaps.add(instance, started);
        },
        2 => {
            site.signal(instance, Signal::STOP)?;
            std::thread::sleep(Duration::from_millis(random.random_range(100..1500)));
            site.signal(instance, Signal::CONT)?;
            periods.gaps.add(instance, started);
        },
        3 => {
            periods.outages.set(site, StoreMode::Unavailable);
            periods.cold.note_store(false);
        },
        4 => {
            periods.outages.set(site, StoreMode::Available);
            periods.cold.note_store(true);
        },
        5 => ColdPeriods::publish_config(site),
        6 => site.drain_server(servers[server]),
        7 => site.mark_server_ready(servers[server]),
        8 => {
            let modes = [
                ServerMode::Refuses,
                ServerMode::Fails,
                ServerMode::Resets,
                ServerMode::NoAnswer,
                ServerMode::Truncates,
                ServerMode::WrongRequestId,
                ServerMode::Busy,
            ];
            site.state.set_mode(servers[server], *modes.choose(random).expect("a mode"));
        },
        9 => site.state.set_mode(servers[server], ServerMode::Healthy),
        10 => {
            let modes = [LinkMode::Slow, LinkMode::Silent, LinkMode::OneWay, LinkMode::Reset];
            site.links()[server].set(*modes.choose(random).expect("a mode"));
            periods.cold.note_link(server, false);
        },
        11 => {
            site.links()[server].set(LinkMode::Healthy);
            periods.cold.note_link(server, true);
        },
        12 => change_zone(site, random),
        _ => site.state.discard_history(),
    }
    Ok(())
}

fn clear_faults(
    site: &mut TestSite,
    instances: usize,
    outages: &mut StoreOutages,
    cold: &mut ColdPeriods,
) -> anyhow::Result<()> {
    outages.set(site, StoreMode::Available);
    restore_zones(site);
    site.links().iter().for_each(|link| link.set(LinkMode::Healthy));
    let engines = site.links().len() - PLAIN_SERVERS;
    for (service, count) in [("orders", PLAIN_SERVERS), ("engines", engines)] {
        for index in 0..count {
            let id = format!("{service}-{index}");
            site.state.set_mode(&id, ServerMode::Healthy);
            if site.is_draining(&id) {
                // A server that leaves is ready again only with its next start, which counts anew.
                site.restart_server(&id);
                cold.note_restart(&id, &SERVERS);
            } else {
                site.mark_server_ready(&id);
            }
        }
    }
    for index in 0..instances {
        site.signal(index, Signal::CONT).context("an instance process ended on its own")?;
    }
    Ok(())
}

/// Waits until every instance serves requests to both services.
fn wait_for_service(site: &TestSite, instances: usize, plan: PromptPlan) -> anyhow::Result<()> {
    let started = Instant::now();
    let mut number = 0;
    for index in 0..instances {
        for path in ["/order/a", "/draft/a"] {
            loop {
                number += 1;
                let id = format!("service-{number}");
                let call = SiteCall::new(Method::POST, path, &id);
                let call = plan.with_prompt(call, number, SOUND_PART);
                let answer = call.send(site.caller_address(index));
                if answer.is_ok_and(|answer| answer.status == 200 && answer.is_complete) {
                    break;
                }
                if started.elapsed() > RECOVERY_TIMEOUT {
                    anyhow::bail!(
                        "instance {index} does not serve {path} within {RECOVERY_TIMEOUT:?} without faults"
                    );
                }
                std::thread::sleep(Duration::from_millis(100));
            }
        }
    }
    Ok(())
}

fn find_violations(state: &SiteState, records: &[CallRecord]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut violated = |id: &str, what: &str| violations.push(format!("{id}: {what}"));
    for record in records {
        let id = record.id.as_str();
        let runs = state.runs(id);
        let starts = runs.iter().filter(|run| !run.is_continued).count();
        if record.kind != CallKind::Lookup && starts > 1 {
            violated(id, "ran more than once");
        }
        if runs.iter().any(|run| run.customer.as_deref() != Some("museum")) {
            violated(id, "ran for another customer");
        }
        let Some(answer) = &record.answer else { continue };
        let is_refused = matches!(answer.status, 408 | 421 | 429 | 503);
        if is_refused && record.kind != CallKind::Lookup && !runs.is_empty() {
            violated(id, "was answered as not run but has run");
        }
        if matches!(answer.status, 401 | 403 | 404) {
            violated(id, "was answered with 401, 403 or 404");
        }
        if answer.status != 200 {
            continue;
        }
        if answer.header("x-server-stamp").is_none() {
            violated(id, "was answered with 200 but without the header x-server-stamp");
        }
        match record.kind {
            CallKind::Draft | CallKind::FatalDraft => {
                let ids = answer.event_ids();
                if !ids.iter().copied().eq(1..=ids.len() as u64) {
                    violated(id, &format!("has the events {ids:?}, not consecutive from 1"));
                }
                if answer.is_complete && ids.len() as u64 != EVENTS {
                    violated(id, &format!("is complete with {} events of {EVENTS}", ids.len()));
                }
                let foreign = |line: &str| {
                    line.strip_prefix("data: ")
                        .is_some_and(|data| !data.starts_with(&format!("{id} ")))
                };
                if answer.body.lines().any(foreign) {
                    violated(id, "has events of another generation");
                }
            },
            CallKind::Lookup | CallKind::Order => {
                if answer.is_complete && !answer.body.contains(&format!(" {id} ")) {
                    violated(id, "has the answer of another request");
                }
            },
        }
    }
    for id in state.overlapping_generations() {
        violated(&id, "was run by two servers at the same time");
    }
    violations
}
