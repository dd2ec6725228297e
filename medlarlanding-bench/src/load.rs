//! Open-loop load generator over HTTP.

use argh::FromArgs;

/// sends a seeded open-loop load to running instances
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: LoadOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
