//! Demonstration on loopback: a mixed load during which one instance is killed.

use std::time::{Duration, Instant};

use anyhow::bail;
use argh::FromArgs;
use rustix::process::Signal;

use crate::client::CallClient;
use crate::cluster::{Cluster, ClusterParams};
use crate::engine_model::EngineParams;
use crate::load::{LoadMix, LoadParams, LoadReport, run_load};
use crate::stand_ins::engine::EngineSettings;

const MIX: &str = include_str!("../mixes/demo.yaml");
/// Time from the death of an instance until it is removed from the published instance list.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Time within which an instance without requests must exit after SIGTERM.
const STOP_TIMEOUT: Duration = Duration::from_secs(10);
/// Largest share of requests that may get neither a complete response nor a rejection.
const MAX_UNANSWERED_SHARE: f64 = 0.01;

/// starts stand-ins and instances, sends a mixed load, kills one instance and prints the results
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoOptions {
    /// seconds for which load is sent, 2 to 25
    #[argh(option, default = "16")]
    seconds: u64,
    /// arrivals per second; the rate of the mix if absent
    #[argh(option)]
    rate: Option<f64>,
    /// seed of the arrivals, prompts and output lengths
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if a process or stand-in cannot be started, the load fails, or an invariant is violated.
pub fn run(options: DemoOptions) -> anyhow::Result<()> {
    let started = Instant::now();
    let duration = Duration::from_secs(options.seconds.clamp(2, 25));
    // The memory of an engine holds about a dozen long sequences, fewer than its batch of 16, so
    // that memory limits the load.
    let engine = EngineSettings {
        params: EngineParams { kv_tokens: 12_000, max_batch: 16, ..EngineParams::default() },
        ..EngineSettings::default()
    };
    let params =
        ClusterParams { engines: vec![engine.with_speed(4.0); 4], ..ClusterParams::default() };
    println!("starting platform, 4 engines, 4 plain services and 3 instances");
    let mut cluster = Cluster::start(params)?;
    let system = ntex::rt::System::new("demo", ntex::rt::DefaultRuntime);
    let (mut cluster, ready) = system.block_on(async move {
        let ready = wait_until_accepting_orders(&mut cluster).await;
        (cluster, ready)
    });
    ready?;
    println!(
        "instances ready after {:.1} s, sending load for {duration:?}",
        started.elapsed().as_secs_f64()
    );
    let load = LoadParams {
        targets: cluster.targets(),
        services: cluster.service_addresses(),
        rate: options.rate,
        duration,
        max_requests: 10_000,
        seed: options.seed,
    };
    let mix = LoadMix::parse(MIX)?;
    let sender = std::thread::spawn(move || run_load(mix, load));
    std::thread::sleep(duration / 2);
    let killed = cluster.instances[1].name.clone();
    println!("killing {killed} after {:?} of load", duration / 2);
    cluster.instances[1].kill();
    std::thread::sleep(LIST_LAG);
    cluster.publish_instances(|name| (name != killed).then_some("live"));
    let report = match sender.join() {
        Ok(report) => report?,
        Err(_) => bail!("the load generator panicked"),
    };
    println!("\n{}", report.markdown());
    print_engines(&cluster);
    let terminated = terminate_instances(&mut cluster);
    let logs = cluster.logs();
    drop(cluster);
    println!("demo ended after {:.1} s", started.elapsed().as_secs_f64());
    let mut violations = violations(&report);
    violations.extend(terminated.err().map(|error| error.to_string()));
    if !violations.is_empty() {
        eprintln!("{logs}");
        bail!("invariants broke: {}", violations.join("; "));
    }
    println!("no invariant broke");
    Ok(())
}

async fn wait_until_accepting_orders(cluster: &mut Cluster) -> anyhow::Result<()> {
    let client = CallClient::build().await?;
    cluster.wait_ready(&client).await?;
    cluster.wait_orders_accepted(&client).await
}

fn violations(report: &LoadReport) -> Vec<String> {
    let mut found = report.violations();
    let share = report.unanswered_share();
    if share > MAX_UNANSWERED_SHARE {
        let reasons: Vec<_> =
            report.classes.iter().flat_map(|class| class.unanswered_reasons.keys()).collect();
        found.push(format!(
            "{:.1}% of requests without complete response or rejection: {reasons:?}",
            share * 100.0
        ));
    }
    found
}

fn print_engines(cluster: &Cluster) {
    println!("| engine | completed | abandoned | tokens | preemptions | stall ms | cache hits |");
    println!("|---|---|---|---|---|---|---|");
    for (index, engine) in cluster.engines.iter().enumerate() {
        let stats = engine.stats();
        println!(
            "| engine-{} | {} | {} | {} | {} | {} | {} |",
            index + 1,
            stats.completed,
            stats.abandoned,
            stats.tokens,
            stats.preemptions,
            stats.stall_micros / 1000,
            stats.cache_hits,
        );
    }
}

fn terminate_instances(cluster: &mut Cluster) -> anyhow::Result<()> {
    let running = cluster.instances.iter().filter(|instance| instance.pid().is_some());
    for instance in running {
        instance.signal(Signal::TERM)?;
    }
    for instance in &mut cluster.instances {
        if instance.pid().is_some() {
            let status = instance.wait(STOP_TIMEOUT)?;
            if !status.success() {
                bail!("{} exited with {status}", instance.name);
            }
        }
    }
    Ok(())
}
