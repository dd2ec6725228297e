//! Options of the command line. The doc comments are the help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

/// Serving system for generations of unknown length on heavily loaded model engines.
///
/// Example: medlarlanding serve --settings instance.yaml
#[derive(FromArgs, Debug)]
pub struct CommandLine {
    #[argh(subcommand)]
    pub command: Command,
}

/// Subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeOptions),
    Forward(ForwardOptions),
    Check(CheckOptions),
    Dump(DumpOptions),
    Credential(CredentialOptions),
    Version(VersionOptions),
}

/// runs an entry instance until SIGTERM
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "serve",
    example = "medlarlanding serve --settings /etc/medlarlanding/instance.yaml"
)]
pub struct ServeOptions {
    /// settings file of the instance
    #[argh(option)]
    pub settings: PathBuf,
}

/// serves callers of the Nile Fossil platform until SIGTERM
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "forward",
    example = "medlarlanding forward --metrics-port 9464",
    note = "The platform names the settings file in an environment variable."
)]
pub struct ForwardOptions {
    /// port for metrics on the instance's own address; metrics are not served by default
    #[argh(option, default = "0")]
    pub metrics_port: u16,
    /// for drills: file with addresses of peers whose messages are dropped while they are in it
    #[argh(option)]
    pub drill_cut: Option<PathBuf>,
}

/// checks settings files and configurations; exit status 1 on a fault in settings or a tree. A configuration of the platform: 1 on warnings only, 2 on errors, 3 if it could not be checked
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "check",
    example = "medlarlanding check instance.yaml tree.yaml",
    example = "medlarlanding check --current effective.json new.json",
    note = "A .toml file is checked as the platform's settings, a .json file as the platform's configuration, a file with the key `instance` as settings, any other as a tree."
)]
pub struct CheckOptions {
    /// the platform's configuration in effect; prints what the checked one changes
    #[argh(option)]
    pub current: Option<PathBuf>,
    /// print the findings as JSON
    #[argh(switch)]
    pub json: bool,
    /// files to check
    #[argh(positional)]
    pub files: Vec<PathBuf>,
}

/// prints the state of a running instance as JSON
#[derive(FromArgs, Debug)]
#[argh(
    subcommand,
    name = "dump",
    example = "medlarlanding dump --admin 127.0.0.1:7001",
    example = "medlarlanding dump --admin 127.0.0.1:7001 --request 00ab-18f-2a"
)]
pub struct DumpOptions {
    /// address of the instance's listener for operators
    #[argh(option)]
    pub admin: SocketAddr,
    /// print only the steps of this request, as a time line, and the decisions of admission on it
    #[argh(option)]
    pub request: Option<String>,
}

/// prints a new credential and its digest for the configuration tree
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "credential", example = "medlarlanding credential")]
pub struct CredentialOptions {}

/// prints the version
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "version", example = "medlarlanding version")]
pub struct VersionOptions {}
