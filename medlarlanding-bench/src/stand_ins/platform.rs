//! Stand-in for the configuration service and the instance list.

use argh::FromArgs;

/// runs a configuration service stand-in
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformOptions {}

/// Runs the subcommand.
///
/// # Errors
///
/// Not implemented yet.
pub fn run(_options: PlatformOptions) -> anyhow::Result<()> {
    anyhow::bail!("not implemented yet")
}
