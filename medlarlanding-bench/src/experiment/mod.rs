//! Experiments in virtual time that compare policies under different loads and faults.

pub mod measures;
pub mod plan;
pub mod simulation;
pub mod workload;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use crate::report::{self, ExperimentResults, RunResult};

use anyhow::Context;
use argh::FromArgs;

use measures::RunFigures;
use plan::{Deployment, DeploymentKind, ExperimentPlan, FaultKind, PolicyKind};
use simulation::{RunSettings, Simulation};
use workload::arrivals;

/// runs an experiment file and writes a report
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentOptions {
    /// experiment file, JSON
    #[argh(positional)]
    file: PathBuf,
    /// directory for results, report and plots; default target/experiments
    #[argh(option, default = "PathBuf::from(\"target/experiments\")")]
    out: PathBuf,
    /// number of threads that execute runs; default 4
    #[argh(option, default = "4")]
    threads: usize,
}

/// Combination of settings of one run.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunKey {
    /// Deployment.
    pub deployment: DeploymentKind,
    /// Policy by which requests are distributed.
    pub policy: PolicyKind,
    /// Fault that is injected.
    pub fault: FaultKind,
    /// Offered load as a fraction of the capacity; 0 in the sweep.
    pub load: f64,
    /// Offered requests per second.
    pub rate: f64,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the file cannot be read or the results cannot be written.
pub fn run(options: ExperimentOptions) -> anyhow::Result<()> {
    let text = std::fs::read_to_string(&options.file)
        .with_context(|| format!("cannot read {}", options.file.display()))?;
    let plan: ExperimentPlan = serde_json::from_str(&text)
        .with_context(|| format!("cannot parse {}", options.file.display()))?;
    let results = run_plan(&plan, options.threads);
    report::write(&results, &options.out)
}

/// Runs every combination of an experiment. Unless the plan gives a capacity, a sweep of the
/// baseline policies determines that of each deployment first.
pub fn run_plan(plan: &ExperimentPlan, threads: usize) -> ExperimentResults {
    let mut capacities = BTreeMap::new();
    let mut sweep = Vec::new();
    for &kind in &plan.deployments {
        let capacity = match plan.capacity {
            Some(capacity) => capacity,
            None => {
                let results = run_all(plan, sweep_keys(plan, kind), threads);
                let best = results
                    .iter()
                    .map(|result| result.figures.mix_complete_per_s)
                    .fold(0.0, f64::max);
                sweep.extend(results);
                best
            },
        };
        capacities.insert(kind, capacity);
    }
    let mut keys = Vec::new();
    for &deployment in &plan.deployments {
        for &fault in &plan.faults {
            for &load in &plan.loads {
                for &seed in &plan.seeds {
                    for &policy in &plan.policies {
                        let rate = load * capacities[&deployment];
                        keys.push(RunKey { deployment, policy, fault, load, rate, seed });
                    }
                }
            }
        }
    }
    let runs = run_all(plan, keys, threads);
    ExperimentResults { plan: plan.clone(), capacities, sweep, runs }
}

/// Returns the runs that determine the capacity of a deployment.
fn sweep_keys(plan: &ExperimentPlan, kind: DeploymentKind) -> Vec<RunKey> {
    let servers = Deployment::new(kind).servers as f64;
    let seed = plan.seeds.first().copied().unwrap_or(1);
    let key = |policy, per_server: f64| RunKey {
        deployment: kind,
        policy,
        fault: FaultKind::None,
        load: 0.0,
        rate: per_server * servers,
        seed,
    };
    PolicyKind::BASELINES
        .iter()
        .flat_map(|&policy| plan.sweep.iter().map(move |&rate| key(policy, rate)))
        .collect()
}

/// Runs combinations on several threads and returns the results in the order of the keys.
fn run_all(plan: &ExperimentPlan, keys: Vec<RunKey>, threads: usize) -> Vec<RunResult> {
    let next = AtomicUsize::new(0);
    let results = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..threads.max(1) {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(&key) = keys.get(index) else { break };
                    let figures = run_one(plan, key);
                    results
                        .lock()
                        .expect("no run panics")
                        .push((index, RunResult::new(key, figures)));
                }
            });
        }
    });
    let mut results = results.into_inner().expect("no run panics");
    results.sort_by_key(|&(index, _)| index);
    results.into_iter().map(|(_, result)| result).collect()
}

/// Runs one combination.
pub fn run_one(plan: &ExperimentPlan, key: RunKey) -> RunFigures {
    let deployment = Deployment::new(key.deployment);
    let seconds = plan.warmup_s + plan.window_s;
    let arrivals = arrivals(&deployment, plan.instances, key.fault, key.rate, seconds, key.seed);
    let settings = RunSettings {
        policy: key.policy,
        fault: key.fault,
        instances: plan.instances,
        warmup_s: plan.warmup_s,
        window_s: plan.window_s,
        drain_s: plan.drain_s,
        params: plan.tuning.params(),
        seed: key.seed,
    };
    Simulation::new(&deployment, settings, &arrivals).run()
}
