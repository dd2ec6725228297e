//! Stand-in for a plain service over HTTP.

use argh::FromArgs;

/// runs a plain service stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "service")]
pub struct ServiceOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: ServiceOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
