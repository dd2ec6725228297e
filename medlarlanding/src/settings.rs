//! Settings file of one instance.

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::http::request_body::BodyLimits;
use crate::logging::LogOptions;

use anyhow::{Context, bail};
use log::LevelFilter;
use serde::Deserialize;

/// Minimum length of the cluster secret in bytes.
const SECRET_MIN: usize = 16;
/// Maximum size of the settings file in bytes.
const FILE_LIMIT: u64 = 1 << 20;

/// Settings of one instance.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct InstanceSettings {
    /// Name of the instance, as in the published instance list.
    pub instance: String,
    /// Availability zone of the instance.
    pub zone: String,
    /// Address of the listener for callers.
    pub callers: SocketAddr,
    /// Address of the listener for operators; must not be reachable by callers.
    pub admin: SocketAddr,
    /// Address for UDP datagrams from peers.
    pub udp: SocketAddr,
    /// Address for TCP connections from peers.
    pub tcp: SocketAddr,
    /// Addresses of the platform's configuration service, used in turn. Without any, the instance
    /// gets configuration and instance list from its peers.
    #[serde(default)]
    pub platform: Vec<SocketAddr>,
    /// Instances to contact before the published instance list is known.
    #[serde(default)]
    pub seeds: Vec<SeedSettings>,
    /// Secret that authenticates peer frames, resume handles and minted keys. At least 16 bytes;
    /// must be equal on all instances.
    pub cluster_secret: String,
    /// Level and destination of the log.
    #[serde(default)]
    pub log: LogSettings,
    /// Limits on requests, connections and the drain.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Retention and replication of at-most-once orders.
    #[serde(default)]
    pub orders: OrderSettings,
}

/// An instance to contact before the published instance list is known.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SeedSettings {
    /// Name of the seed instance.
    pub name: String,
    /// Availability zone of the seed instance.
    pub zone: String,
    /// Address for UDP datagrams.
    pub udp: SocketAddr,
    /// Address for TCP connections.
    pub tcp: SocketAddr,
}

/// Settings of the log.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LogSettings {
    /// `error`, `warn`, `info` or `debug`; `info` if absent.
    pub level: Option<String>,
    /// File that receives the log; standard error if absent.
    pub file: Option<String>,
}

/// Limits on requests, connections and the drain.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Maximum time to receive a body in milliseconds.
    pub body_ms: u64,
    /// Maximum time to receive the headers in seconds.
    pub header_s: u16,
    /// Maximum number of requests in progress; further ones are refused.
    pub open_requests: usize,
    /// Maximum number of connections of callers; further ones are not accepted.
    pub connections: usize,
    /// Time in milliseconds for which a generation is kept after its caller disconnected, so that
    /// the caller can resume it.
    pub resume_grace_ms: u64,
    /// Model loads per minute that the weight store allows in total over all instances. Must be
    /// equal on all instances.
    pub weight_loads_per_minute: u32,
    /// Maximum time in milliseconds for which a drain waits for requests in progress.
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
            // One day is the longest deadline that a request can have, so a drain does not cut
            // off any request.
            drain_ms: 86_400_000,
        }
    }
}

impl LimitSettings {
    pub fn body(&self) -> BodyLimits {
        BodyLimits { bytes: self.body_bytes, time: Duration::from_millis(self.body_ms) }
    }
}

/// Settings of at-most-once orders; must be equal on all instances.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct OrderSettings {
    /// Time in milliseconds for which claims and answers of orders are kept.
    pub retention_ms: u64,
    /// Age in milliseconds of the last confirmation of the instance list above which a replica
    /// grants no more claims.
    pub list_limit_ms: u64,
    /// Time in milliseconds for which a replica without records asks other instances for the
    /// records of a partition. After that it starts the partition empty and in doubt: keys that may
    /// have been used before are refused.
    pub search_ms: u64,
}

impl Default for OrderSettings {
    fn default() -> Self {
        Self { retention_ms: 3_600_000, list_limit_ms: 3_600_000, search_ms: 10_000 }
    }
}

impl InstanceSettings {
    /// Reads and validates a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is too large. Names line and column if the file does not
    /// parse, and the key if a value is out of range.
    pub fn load(path: &Path) -> anyhow::Result<Self> {
        let name = path.display();
        let size = fs::metadata(path).with_context(|| format!("cannot read {name}"))?.len();
        if size > FILE_LIMIT {
            bail!("{name}: the settings file has {size} bytes; at most {FILE_LIMIT} are allowed");
        }
        let text = fs::read_to_string(path).with_context(|| format!("cannot read {name}"))?;
        Self::parse(&text).map_err(|fault| anyhow::anyhow!("{name}:{fault}"))
    }

    /// Parses and validates the text of a settings file.
    ///
    /// # Errors
    ///
    /// Returns `LINE:COLUMN: MESSAGE`, or `KEY: MESSAGE` for a value out of range.
    pub fn parse(text: &str) -> Result<Self, String> {
        let settings: Self = serde_saphyr::from_str(text).map_err(|error| {
            let position = error.location().map_or_else(
                || "1:1".to_owned(),
                |location| format!("{}:{}", location.line(), location.column()),
            );
            let message = error.without_snippet().to_string();
            format!("{position}: {message}")
        })?;
        settings.validate()?;
        Ok(settings)
    }

    fn validate(&self) -> Result<(), String> {
        if self.instance.is_empty() || self.zone.is_empty() {
            return Err("instance, zone: must not be empty".to_owned());
        }
        if self.cluster_secret.len() < SECRET_MIN {
            return Err(format!(
                "cluster_secret: has {} bytes; at least {SECRET_MIN} are required",
                self.cluster_secret.len()
            ));
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

    /// Builds the options of the logger.
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
            Some(other) => {
                return Err(format!(
                    "log.level: unknown level {other}; must be error, warn, info or debug"
                ));
            },
        };
        Ok(LogOptions { level, file: self.log.file.clone() })
    }
}
