//! Experiments in virtual time: policies, loads and faults side by side.

use argh::FromArgs;

/// runs an experiment file and writes a report
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "experiment")]
pub struct ExperimentOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: ExperimentOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
