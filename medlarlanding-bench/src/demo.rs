//! Demonstration of the whole path on loopback.

use std::time::{Duration, Instant};

use anyhow::bail;
use argh::FromArgs;
use rustix::process::Signal;

use crate::client::CallClient;
use crate::cluster::{Cluster, ClusterParams};
use crate::engine_model::EngineParams;
use crate::load::{LoadMix, LoadParams, LoadReport, drive};
use crate::stand_ins::engine::EngineSettings;

const MIX: &str = include_str!("../mixes/demo.yaml");
/// Lag between the end of an instance and its absence from the published list.
const LIST_LAG: Duration = Duration::from_secs(3);
/// Longest time from SIGTERM to the end of an instance without requests.
const STOP_LIMIT: Duration = Duration::from_secs(10);
/// Largest share of requests that may end without complete answer or rejection.
const UNANSWERED_LIMIT: f64 = 0.01;

/// starts stand-ins and instances, sends a mixed load and prints what was measured
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoOptions {
    /// seconds of sending, at most 25
    #[argh(option, default = "16")]
    seconds: u64,
    /// arrivals per second in place of the mix's own rate
    #[argh(option)]
    rate: Option<f64>,
    /// seed of arrivals, prompts and lengths
    #[argh(option, default = "1")]
    seed: u64,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if something cannot be started or an invariant broke.
pub fn run(options: DemoOptions) -> anyhow::Result<()> {
    let started = Instant::now();
    let duration = Duration::from_secs(options.seconds.clamp(2, 25));
    // Memory for about a dozen long sequences per engine, so that memory is the limit.
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
        let ready = wait_cluster(&mut cluster).await;
        (cluster, ready)
    });
    ready?;
    println!("ready after {:.1} s, sending for {duration:?}", started.elapsed().as_secs_f64());
    let load = LoadParams {
        targets: cluster.targets(),
        services: cluster.services(),
        rate: options.rate,
        duration,
        limit: 10_000,
        seed: options.seed,
    };
    let mix = LoadMix::parse(MIX)?;
    let sender = std::thread::spawn(move || drive(mix, load));
    std::thread::sleep(duration / 2);
    let victim = cluster.instances[1].name.clone();
    println!("killing {victim} after {:?}", duration / 2);
    cluster.instances[1].kill();
    std::thread::sleep(LIST_LAG);
    cluster.publish_instances(|name| (name != victim).then_some("live"));
    let report = match sender.join() {
        Ok(report) => report?,
        Err(_) => bail!("the load generator panicked"),
    };
    println!("\n{}", report.markdown());
    print_engines(&cluster);
    let stopped = stop_instances(&mut cluster);
    let logs = cluster.logs();
    drop(cluster);
    println!("ended after {:.1} s", started.elapsed().as_secs_f64());
    let mut violations = violations(&report);
    violations.extend(stopped.err().map(|error| error.to_string()));
    if !violations.is_empty() {
        eprintln!("{logs}");
        bail!("broken: {}", violations.join("; "));
    }
    println!("no invariant broke");
    Ok(())
}

async fn wait_cluster(cluster: &mut Cluster) -> anyhow::Result<()> {
    let client = CallClient::build().await?;
    cluster.wait_ready(&client).await?;
    cluster.wait_orders(&client).await
}

fn violations(report: &LoadReport) -> Vec<String> {
    let mut found = report.violations();
    let share = report.unanswered_share();
    if share > UNANSWERED_LIMIT {
        let reasons: Vec<_> =
            report.classes.iter().flat_map(|class| class.unanswered_reasons.keys()).collect();
        found.push(format!("{:.1}% without accurate answer: {reasons:?}", share * 100.0));
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

fn stop_instances(cluster: &mut Cluster) -> anyhow::Result<()> {
    let running = cluster.instances.iter().filter(|instance| instance.pid().is_some());
    for instance in running {
        instance.signal(Signal::TERM)?;
    }
    for instance in &mut cluster.instances {
        if instance.pid().is_some() {
            let status = instance.wait(STOP_LIMIT)?;
            if !status.success() {
                bail!("{} ended with {status}", instance.name);
            }
        }
    }
    Ok(())
}
