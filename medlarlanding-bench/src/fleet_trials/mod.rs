//! Simulated trials of membership and configuration distribution at several fleet sizes.

mod measure;
mod node;
mod platform;
mod sim;
mod stress;
mod table;
mod variants;

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

pub use measure::{FleetMeasurement, MeasureOptions, config_text, measure};
pub use node::{FleetNode, NodeOutput, NodeParams};
pub use platform::{CALL_LIMIT, PlatformModel, SecondLoad};
pub use sim::{FleetLog, FleetSim, NodeTraffic, SECOND};
pub use stress::{StressOptions, StressReport, stress};
pub use table::markdown;
pub use variants::variants;

/// measures the cost of membership and distribution and their propagation times
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fleet")]
pub struct FleetTrialsOptions {
    /// fleet sizes, separated by commas (default 8,50,150,350)
    #[argh(option, default = "String::from(\"8,50,150,350\")")]
    sizes: String,
    /// seed of the random number generator (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// bytes of the configuration text (default 262144)
    #[argh(option, default = "262_144")]
    text_bytes: usize,
    /// earlier configuration texts kept to compute deltas (default 3; 0 sends full texts only)
    #[argh(option, default = "3")]
    delta_history: usize,
    /// peers queried at the start and after a pause (default 512)
    #[argh(option, default = "512")]
    query_peers: usize,
    /// virtual seconds of the network partition (default 60)
    #[argh(option, default = "60")]
    partition_s: u64,
    /// compare all variants of the settings at each size
    #[argh(switch)]
    variants: bool,
    /// file for the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
    /// run this many rounds of random faults instead of the measurements, with consecutive seeds
    #[argh(option)]
    stress: Option<u64>,
    /// random actions per round of random faults (default 60)
    #[argh(option, default = "60")]
    steps: usize,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an argument is malformed, a file cannot be written or an invariant is violated.
pub fn run(options: FleetTrialsOptions) -> anyhow::Result<()> {
    if let Some(rounds) = options.stress {
        anyhow::ensure!(rounds > 0, "the number of rounds must be positive");
        return run_stress(&options, rounds);
    }
    let mut measurements = Vec::new();
    for size in options.sizes.split(',') {
        let size = size.trim().parse().with_context(|| format!("fleet size `{size}`"))?;
        // The first variant has the default settings.
        let selected = variants().take(if options.variants { usize::MAX } else { 1 });
        for (name, mut node) in selected {
            let mut label = String::new();
            if options.variants {
                name.clone_into(&mut label);
            } else {
                node.distribution.delta_history = options.delta_history;
                node.distribution.query_peers = options.query_peers;
            }
            let measure_options = MeasureOptions {
                label,
                size,
                seed: options.seed,
                text_bytes: options.text_bytes,
                partition_s: options.partition_s,
                node,
                ..MeasureOptions::default()
            };
            let measurement = measure(&measure_options);
            eprintln!("{}: {:.1} s of CPU time", measurement.label, measurement.cpu_s);
            measurements.push(measurement);
        }
    }
    println!("{}", markdown(&measurements));
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&measurements)?;
        std::fs::write(path, json).with_context(|| path.display().to_string())?;
    }
    // Weakened variants are expected to violate invariants.
    let violations: Vec<_> = measurements.iter().flat_map(|m| &m.violations).collect();
    anyhow::ensure!(
        violations.is_empty() || options.variants,
        "{} violations of invariants, starting with: {:#?}",
        violations.len(),
        &violations[..violations.len().min(5)]
    );
    Ok(())
}

fn run_stress(options: &FleetTrialsOptions, rounds: u64) -> anyhow::Result<()> {
    let mut failed = 0u64;
    for size in options.sizes.split(',') {
        let size = size.trim().parse().with_context(|| format!("fleet size `{size}`"))?;
        let (mut change_times, mut agreement_times) = (Vec::new(), Vec::new());
        let (mut events, mut restarts, mut pauses) = (0, 0, 0);
        for seed in options.seed..options.seed + rounds {
            let mut stress_options =
                StressOptions { size, seed, steps: options.steps, ..StressOptions::default() };
            stress_options.node.distribution.query_peers = options.query_peers;
            let report = stress(&stress_options);
            if !report.violations.is_empty() {
                failed += 1;
                println!("{}", serde_json::to_string_pretty(&report)?);
            }
            change_times.push((report.change_s.unwrap_or(f64::INFINITY), seed));
            agreement_times.push((report.settled_s.unwrap_or(f64::INFINITY), seed));
            events += report.events;
            restarts += report.restarts;
            pauses += report.pauses;
        }
        println!(
            "{size} instances, {rounds} rounds from seed {}: {events} events, {restarts} restarts, \
             {pauses} pauses; from the end of the faults until the configuration was in effect \
             everywhere: {}; until versions, views and marks agreed: {}",
            options.seed,
            format_times(change_times),
            format_times(agreement_times)
        );
    }
    anyhow::ensure!(failed == 0, "invariants were violated in {failed} rounds");
    Ok(())
}

/// Formats the median, the 99th percentile and the maximum of times, the latter with its seed.
fn format_times(mut times: Vec<(f64, u64)>) -> String {
    times.sort_by(|left, right| left.0.total_cmp(&right.0));
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    let (maximum, seed) = quantile(1.0);
    format!(
        "median {:.2} s, p99 {:.2} s, maximum {maximum:.2} s (seed {seed})",
        quantile(0.5).0,
        quantile(0.99).0
    )
}
