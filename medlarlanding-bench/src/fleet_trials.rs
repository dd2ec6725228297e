//! Trials of membership and configuration distribution at several fleet sizes.

use argh::FromArgs;

/// measures control cost and propagation time at several fleet sizes
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "fleet")]
pub struct FleetTrialsOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: FleetTrialsOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
