//! Trials of membership and configuration distribution at several fleet sizes.

mod measure;
mod node;
mod platform;
mod sim;
mod table;

use std::path::PathBuf;

use anyhow::Context;
use argh::FromArgs;

pub use measure::{FleetMeasurement, MeasureOptions, measure};
pub use node::{FleetNode, NodeOutput, NodeParams};
pub use platform::{CALL_LIMIT, PlatformModel, SecondLoad};
pub use sim::{FleetLog, FleetSim, NodeTraffic, SECOND};
pub use table::markdown;

/// measures control cost and propagation time at several fleet sizes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fleet")]
pub struct FleetTrialsOptions {
    /// fleet sizes, separated by commas (default 8,50,150,350)
    #[argh(option, default = "String::from(\"8,50,150,350\")")]
    sizes: String,
    /// seed of the random numbers (default 1)
    #[argh(option, default = "1")]
    seed: u64,
    /// bytes of the configuration text (default 262144)
    #[argh(option, default = "262_144")]
    text_bytes: usize,
    /// file for the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an argument is malformed, a file cannot be written or an invariant is violated.
pub fn run(options: FleetTrialsOptions) -> anyhow::Result<()> {
    let mut measurements = Vec::new();
    for size in options.sizes.split(',') {
        let size = size.trim().parse().with_context(|| format!("fleet size `{size}`"))?;
        let measure_options = MeasureOptions {
            size,
            seed: options.seed,
            text_bytes: options.text_bytes,
            ..MeasureOptions::default()
        };
        let measurement = measure(&measure_options);
        eprintln!("{size} instances: {:.1} s of CPU time", measurement.cpu_s);
        measurements.push(measurement);
    }
    println!("{}", markdown(&measurements));
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&measurements)?;
        std::fs::write(path, json).with_context(|| path.display().to_string())?;
    }
    let violations: Vec<_> = measurements.iter().flat_map(|m| &m.violations).collect();
    anyhow::ensure!(violations.is_empty(), "violated invariants: {violations:#?}");
    Ok(())
}
