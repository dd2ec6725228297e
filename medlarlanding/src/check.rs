//! The subcommand `check`.

use std::ffi::OsStr;
use std::fs;
use std::path::Path;
use std::process::ExitCode;

use crate::cli::CheckOptions;
use crate::settings::InstanceSettings;
use medlarlanding_core::config::ConfigTree;
use medlarlanding_core::forwarding::{ConfigParts, FindingSeverity, check_config, compare_configs};
use medlarlanding_platform::config::decode_parts;
use medlarlanding_platform::config_report::{
    ChangeText, FindingText, LineIndex, describe_change, describe_finding,
};
use medlarlanding_platform::settings::PlatformSettings;

use anyhow::{Context, bail, ensure};
use serde::Serialize;

/// Result of a check, as the exit status states it. Of several files the highest counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CheckStatus {
    /// Nothing was found.
    Clean = 0,
    /// Warnings in a configuration of the platform, or faults in a tree or settings.
    Faulty = 1,
    /// Errors in a configuration of the platform.
    Invalid = 2,
    /// A check could not be made.
    Unchecked = 3,
}

impl CheckStatus {
    fn of_severity(severity: FindingSeverity) -> Self {
        match severity {
            FindingSeverity::Warning => Self::Faulty,
            FindingSeverity::Error => Self::Invalid,
        }
    }

    fn exit_code(self) -> ExitCode {
        ExitCode::from(self as u8)
    }
}

/// What the check of one file found.
#[derive(Debug, Serialize)]
struct FileReport {
    /// Name of the file.
    file: String,
    /// Faults of a tree or settings, as text.
    faults: Vec<String>,
    /// Findings in a configuration of the platform.
    findings: Vec<FindingText>,
    /// Differences from the version in effect; `None` if they were not asked for or cannot be told.
    changes: Option<Vec<ChangeText>>,
    #[serde(skip)]
    status: CheckStatus,
}

/// Checks settings and configuration files and prints all faults. The exit status is 3 if a check
/// of a configuration of the platform could not be made.
///
/// # Errors
///
/// Fails if a settings file or tree cannot be read.
pub fn check(options: &CheckOptions) -> anyhow::Result<ExitCode> {
    let current = match read_current(options) {
        Ok(current) => current,
        Err(error) => {
            eprintln!("medlarlanding: {error:#}");
            return Ok(CheckStatus::Unchecked.exit_code());
        },
    };
    let mut status = CheckStatus::Clean;
    let mut reports = Vec::new();
    for file in &options.files {
        let report = if is_config(file) {
            check_config_file(file, current.as_ref())
        } else {
            check_other_file(file)?
        };
        status = status.max(report.status);
        if options.json {
            reports.push(report);
        } else {
            print_report(&report);
        }
    }
    if options.json {
        println!("{}", serde_json::to_string_pretty(&reports)?);
    }
    Ok(status.exit_code())
}

fn is_config(file: &Path) -> bool {
    file.extension().and_then(OsStr::to_str) == Some("json")
}

/// Reads the version in effect, if one is given.
fn read_current(options: &CheckOptions) -> anyhow::Result<Option<ConfigParts>> {
    if options.files.is_empty() {
        bail!("check needs at least one file");
    }
    let Some(file) = &options.current else { return Ok(None) };
    let is_single = matches!(&*options.files, [file] if is_config(file));
    ensure!(is_single, "--current needs one .json file to compare");
    let name = file.display();
    let text = fs::read(file).with_context(|| format!("cannot read {name}"))?;
    decode_parts(&text).map(Some).with_context(|| format!("cannot compare with {name}"))
}

fn check_config_file(file: &Path, current: Option<&ConfigParts>) -> FileReport {
    let mut report = FileReport {
        file: file.display().to_string(),
        faults: Vec::new(),
        findings: Vec::new(),
        changes: None,
        status: CheckStatus::Clean,
    };
    let text = match fs::read(file) {
        Ok(text) => text,
        Err(error) => {
            report.faults.push(format!(" cannot read the file: {error}"));
            report.status = CheckStatus::Unchecked;
            return report;
        },
    };
    match decode_parts(&text) {
        Ok(parts) => {
            // Only lines are looked up in the text, and replaced characters leave them as they are.
            let text = String::from_utf8_lossy(&text);
            let lines = LineIndex::new(&text);
            for finding in check_config(&parts, current) {
                let status = CheckStatus::of_severity(finding.problem.severity());
                report.status = report.status.max(status);
                report.findings.push(describe_finding(&finding, &lines));
            }
            report.changes = current.map(|current| {
                compare_configs(&parts, current).iter().map(describe_change).collect()
            });
        },
        Err(fault) => {
            report.findings.push(FindingText::from(&fault));
            report.status = CheckStatus::Invalid;
        },
    }
    report
}

/// Checks a settings file or a configuration tree of the own interface.
fn check_other_file(file: &Path) -> anyhow::Result<FileReport> {
    let name = file.display();
    let text = fs::read_to_string(file).with_context(|| format!("cannot read {name}"))?;
    let faults: Vec<String> = match file.extension().and_then(OsStr::to_str) {
        Some("toml") => {
            let error = PlatformSettings::parse(&text).err();
            error.map(|error| format!(" {error:#}")).into_iter().collect()
        },
        _ if text.lines().any(|line| line.starts_with("instance:")) => {
            InstanceSettings::parse(&text).err().into_iter().collect()
        },
        _ => {
            let faults = ConfigTree::parse(&text).err().unwrap_or_default();
            faults.iter().map(ToString::to_string).collect()
        },
    };
    let status = if faults.is_empty() { CheckStatus::Clean } else { CheckStatus::Faulty };
    Ok(FileReport { file: name.to_string(), faults, findings: Vec::new(), changes: None, status })
}

fn print_report(report: &FileReport) {
    let name = &report.file;
    for fault in &report.faults {
        println!("{name}:{fault}");
    }
    for FindingText { severity, line, path, message } in &report.findings {
        let line = line.map_or_else(String::new, |line| format!("{line}:"));
        println!("{name}:{line} {severity}: {path}: {message}");
    }
    for ChangeText { part, name: part_name, change } in report.changes.iter().flatten() {
        let space = if part_name.is_empty() { "" } else { " " };
        println!("{name}: {part}{space}{part_name}: {change}");
    }
    if report.status == CheckStatus::Clean {
        println!("{name}: ok");
    }
}
