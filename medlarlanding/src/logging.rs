//! Logger of the process and formatting of numbered events.

use std::fmt::{Display, Write};
use std::path::Path;

use crate::clock::wall_millis;
use medlarlanding_core::events::{EventKind, EventLevel};

use anyhow::Context;
use log::{Level, LevelFilter};

/// `log` target of all numbered events.
pub const EVENT_TARGET: &str = "medlarlanding";

/// Options of the logger.
#[derive(Clone, Debug)]
pub struct LogOptions {
    /// Least severe level of numbered events that is written; all else is written from warnings up.
    pub level: LevelFilter,
    /// File that receives the log; standard error if absent.
    pub file: Option<String>,
}

impl Default for LogOptions {
    fn default() -> Self {
        Self { level: LevelFilter::Info, file: None }
    }
}

/// Installs the logger of the process.
///
/// # Errors
///
/// Fails if the file cannot be opened or a logger is installed already.
pub fn install(options: &LogOptions, instance: &str) -> anyhow::Result<()> {
    let dispatch = line_dispatch(options.level, instance);
    let dispatch = match &options.file {
        Some(file) => dispatch.chain(
            fern::log_file(Path::new(file))
                .with_context(|| format!("cannot open the log file {file}"))?,
        ),
        None => dispatch.chain(std::io::stderr()),
    };
    dispatch.apply().context("cannot install the logger")
}

/// Installs a logger that writes to `writer`, numbered events from level `info` up.
///
/// # Errors
///
/// Fails if a logger is installed already.
pub fn install_writer(
    writer: Box<dyn std::io::Write + Send>,
    instance: &str,
) -> anyhow::Result<()> {
    let dispatch = line_dispatch(LogOptions::default().level, instance).chain(writer);
    dispatch.apply().context("cannot install the logger")
}

fn line_dispatch(level: LevelFilter, instance: &str) -> fern::Dispatch {
    let instance = instance.to_owned();
    fern::Dispatch::new()
        .format(move |out, message, record| {
            out.finish(format_args!("{} {} {instance} {message}", wall_millis(), record.level()))
        })
        .level(LevelFilter::Warn)
        .level_for(EVENT_TARGET, level)
}

/// Logs a numbered event. `values` must be in the order of the fields in its descriptor.
pub fn event(kind: EventKind, values: &[&dyn Display]) {
    write_event(kind, values.iter().copied());
}

/// Logs a numbered event that the node reported.
pub fn event_fields(kind: EventKind, fields: &[String]) {
    write_event(kind, fields.iter().map(|field| field as &dyn Display));
}

fn write_event<'a>(kind: EventKind, values: impl ExactSizeIterator<Item = &'a dyn Display>) {
    let descriptor = kind.descriptor();
    debug_assert_eq!(descriptor.fields.len(), values.len(), "fields of {}", descriptor.name);
    let level = match descriptor.level {
        EventLevel::Error => Level::Error,
        EventLevel::Warn => Level::Warn,
        EventLevel::Info => Level::Info,
        EventLevel::Debug => Level::Debug,
    };
    if !log::log_enabled!(target: EVENT_TARGET, level) {
        return;
    }
    let mut line = format!("E{:03} {}", descriptor.number, descriptor.name);
    for (field, value) in descriptor.fields.iter().zip(values) {
        let text = value.to_string();
        if text.is_empty() || text.contains(|c: char| c.is_whitespace() || c == '"' || c == '=') {
            let _ = write!(line, " {field}={text:?}");
        } else {
            let _ = write!(line, " {field}={text}");
        }
    }
    log::log!(target: EVENT_TARGET, level, "{line}");
}
