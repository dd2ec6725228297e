//! Entry point of the binary.

#![forbid(unsafe_code)]

use std::process::ExitCode;

use medlarlanding::check;
use medlarlanding::cli::{Command, CommandLine};
use medlarlanding::commands;

fn main() -> ExitCode {
    let line: CommandLine = argh::from_env();
    let result = match line.command {
        Command::Serve(options) => commands::serve(&options),
        Command::Forward(options) => commands::forward(&options),
        Command::Check(options) => check::check(&options),
        Command::Dump(options) => commands::dump(&options),
        Command::Credential(_) => commands::credential(),
        Command::Version(_) => commands::version(),
    };
    result.unwrap_or_else(|error| {
        eprintln!("medlarlanding: {error:#}");
        ExitCode::FAILURE
    })
}
