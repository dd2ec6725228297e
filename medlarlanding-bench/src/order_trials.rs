//! Randomised trials of at-most-once orders.

use argh::FromArgs;

/// compares ways of running orders at most once under faults
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "orders")]
pub struct OrderTrialsOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: OrderTrialsOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
