//! Demonstration of the whole path on loopback.

use argh::FromArgs;

/// starts stand-ins and instances, sends a mixed load and prints what was measured
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "demo")]
pub struct DemoOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: DemoOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
