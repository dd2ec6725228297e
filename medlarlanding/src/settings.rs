//! Settings file of one process.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::http::request_body::BodyLimits;
use crate::logging::LogOptions;

use anyhow::{Context, bail};
use log::LevelFilter;
use serde::Deserialize;

/// Shortest accepted cluster secret in bytes.
const SECRET_MIN: usize = 16;
/// Largest settings file in bytes.
const FILE_LIMIT: u64 = 1 << 20;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, as in the published list.
    pub instance: String,
    /// Availability zone.
    pub zone: String,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for operators; must not be reachable by callers.
    pub admin: SocketAddr,
    /// Address for datagrams from peers.
    pub udp: SocketAddr,
    /// Address for connections from peers.
    pub tcp: SocketAddr,
    /// Addresses of the configuration service.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Instances to contact before the published list is known.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// Secret that authenticates peers and handles; at least 16 bytes, equal on all instances.
    pub cluster_secret: String,
    /// Logging.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits of the process.
    #[serde(default)]
    pub limits: LimitSettings,
    /// At-most-once orders.
    #[serde(default)]
    pub orders: OrderSettings,
}

/// An instance to contact at the start.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Name of the instance.
    pub name: String,
    /// Availability zone.
    pub zone: String,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for connections.
    pub tcp: SocketAddr,
}

/// Logging settings.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info` or `debug`; `info` if absent.
    pub level: Option<String>,
    /// File; standard error if absent.
    pub file: Option<String>,
}

/// Limits of the process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Largest request body in bytes.
    pub body_bytes: usize,
    /// Longest time to receive a body in milliseconds.
    pub body_ms: u64,
    /// Longest time to receive the headers in seconds.
    pub header_s: u16,
    /// Requests in progress; past it new requests are refused.
    pub open_requests: usize,
    /// Connections of callers; past it no connection is accepted.
    pub connections: usize,
    /// Time for which a generation is kept after its caller disconnected, in milliseconds.
    pub resume_grace_ms: u64,
    /// Loads per minute that the weight store allows over all instances; equal on all.
    pub weight_loads_per_minute: u32,
    /// Longest time that a drain waits for requests in progress, in milliseconds.
    pub drain_ms: u64,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            body_bytes: 1 << 20,
            body_ms: 10_000,
            header_s: 5,
            open_requests: 4_096,
            connections: 8_192,
            resume_grace_ms: 10_000,
            weight_loads_per_minute: 60,
            // A request in progress ends at its own deadline, which is at most a day.
            drain_ms: 86_400_000,
        }
    }
}

impl LimitSettings {
    /// Gets the limits for request bodies.
    pub fn body(&self) -> BodyLimits {
        BodyLimits { bytes: self.body_bytes, time: Duration::from_millis(self.body_ms) }
    }
}

/// Settings of at-most-once orders; must be equal on all instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderSettings {
    /// Time for which claims and answers are kept, in milliseconds.
    pub retention_ms: u64,
    /// Longest age of a confirmation of the instance list with which replicas still grant
    /// claims, in milliseconds.
    pub list_limit_ms: u64,
    /// Time for which an empty replica searches for earlier memory before it starts a
    /// partition in doubt, in milliseconds.
    pub search_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { retention_ms: 3_600_000, list_limit_ms: 3_600_000, search_ms: 10_000 }
    }
}

impl InstanceSettings {
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, with line and column if it does not parse, or with
    /// the key of a value out of range.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let name = path.display();
        let size = fs::metadata(path).with_context(|| format!("cannot read {name}"))?.len();
        if size > FILE_LIMIT {
            bail!("{name}: larger than {FILE_LIMIT} bytes");
        }
        let text = fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
        Self::parse(&text).map_err(|fault| anyhow::anyhow!("{name}:{fault}"))
    }

    /// Parses and checks the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns `LINE:COLUMN: MESSAGE`, or `KEY: MESSAGE` for a value out of range.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            let place = error.location().map_or_else(
                || "1:1".to_owned(),
                |location| format!("{}:{}", location.line(), location.column()),
            );
            let message = error.without_snippet().to_string();
            format!("{place}: {message}")
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), String> {
        if self.instance.is_empty() || self.zone.is_empty() {
            return Err("instance, zone: must not be empty".to_owned());
        }
        if self.cluster_secret.len() < SECRET_MIN {
            return Err(format!("cluster_secret: needs at least {SECRET_MIN} bytes"));
        }
        if self.limits.open_requests == 0 || self.limits.connections == 0 {
            return Err("limits: open_requests and connections must be positive".to_owned());
        }
        if self.limits.header_s == 0 || self.limits.body_ms == 0 {
            return Err("limits: header_s and body_ms must be positive".to_owned());
        }
        self.log_options()?;
        Ok(())
    }

    /// Gets the options of the logger.
    ///
    /// # Errors
    ///
    /// Fails on an unknown level.
    pub fn log_options(&self) -> Result<LogOptions, String> {
        let level = match self.log.level.as_deref() {
            None | Some("info") => LevelFilter::Info,
            Some("error") => LevelFilter::Error,
            Some("warn") => LevelFilter::Warn,
            Some("debug") => LevelFilter::Debug,
            Some(other) => return Err(format!("log.level: unknown level {other}")),
        };
        Ok(LogOptions { level, file: self.log.file.clone() })
    }
}
