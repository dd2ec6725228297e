//! Stand-in for a model engine over HTTP.

use argh::FromArgs;

/// runs a model engine stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "engine")]
pub struct EngineOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: EngineOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
