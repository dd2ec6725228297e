//! Prometheus metrics of an instance.

use crate::metric_registry::MetricRegistry;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Upper bounds of the buckets in seconds for the time to the first token; the target is 1.4 s.
const FIRST_TOKEN_BOUNDS: &[f64] = &[0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.4, 2.0, 4.0, 8.0, 16.0, 60.0];
/// Upper bounds of the buckets in seconds for the time between tokens; the target is 54 ms.
const TOKEN_GAP_BOUNDS: &[f64] =
    &[0.01, 0.02, 0.03, 0.04, 0.054, 0.08, 0.12, 0.25, 0.5, 1.0, 5.0, 30.0];

/// Metrics of one instance.
pub struct MetricSet {
    registry: MetricRegistry,
    /// Requests by endpoint and result (`whole`, `refused`, `cancelled`).
    pub requests: IntCounterVec,
    /// Refusals by error kind.
    pub refusals: IntCounterVec,
    /// Tokens delivered to callers.
    pub tokens: IntCounter,
    /// Tokens from engines that were dropped because they were repeated or belonged to
    /// another generation or attachment.
    pub dropped_tokens: IntCounter,
    /// Generations resumed on a new connection.
    pub resumes: IntCounter,
    /// Generations started again before the first delivered token, and repeated look-ups.
    pub retries: IntCounter,
    /// Generations lost after the first delivered token.
    pub lost: IntCounter,
    /// Orders by outcome (`ran`, `stored`, `unknown`, `refused`).
    pub orders: IntCounterVec,
    /// Bytes exchanged with peers, by direction and transport.
    pub peer_bytes: IntCounterVec,
    /// Peer frames dropped, by reason.
    pub dropped_frames: IntCounterVec,
    /// Changes of limits of slow start, by reason.
    pub pace_changes: IntCounterVec,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Configuration version in effect.
    pub config_version: IntGauge,
    /// Version of the instance list in effect.
    pub list_version: IntGauge,
    /// Parts of prompts for which requests are refused.
    pub blocked_parts: IntGauge,
    /// Live instances known, including this one.
    pub live_instances: IntGauge,
    /// 1 while the process drains.
    pub draining: IntGauge,
    /// Time from request to first delivered token in seconds.
    pub first_token: Histogram,
    /// Time between delivered tokens in seconds.
    pub token_gap: Histogram,
}

impl MetricSet {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricRegistry::new("medlarlanding")?;
        Ok(Self {
            requests: registry.counters(
                "requests_total",
                "Requests by endpoint and result.",
                &["endpoint", "result"],
            )?,
            refusals: registry.counters("refusals_total", "Refusals by error kind.", &["kind"])?,
            tokens: registry.counter("tokens_total", "Tokens delivered to callers.")?,
            dropped_tokens: registry.counter(
                "dropped_tokens_total",
                "Repeated or foreign tokens from engines that were dropped.",
            )?,
            resumes: registry
                .counter("resumes_total", "Generations resumed on a new connection.")?,
            retries: registry.counter("retries_total", "Generations and look-ups tried again.")?,
            lost: registry
                .counter("generations_lost_total", "Generations lost after the first token.")?,
            orders: registry.counters("orders_total", "Orders by outcome.", &["outcome"])?,
            peer_bytes: registry.counters(
                "peer_bytes_total",
                "Bytes exchanged with peers.",
                &["direction", "transport"],
            )?,
            dropped_frames: registry.counters(
                "dropped_frames_total",
                "Peer frames dropped by reason.",
                &["reason"],
            )?,
            pace_changes: registry.counters(
                "pace_changes_total",
                "Changes of limits of slow start by reason.",
                &["reason"],
            )?,
            open_requests: registry.gauge("open_requests", "Requests in progress.")?,
            config_version: registry.gauge("config_version", "Configuration version in effect.")?,
            list_version: registry.gauge("list_version", "Instance list version in effect.")?,
            blocked_parts: registry
                .gauge("blocked_parts", "Parts of prompts for which requests are refused.")?,
            live_instances: registry.gauge("live_instances", "Live instances known.")?,
            draining: registry.gauge("draining", "1 while the process drains.")?,
            first_token: registry.histogram(
                "first_token_seconds",
                "Time from request to first token.",
                FIRST_TOKEN_BOUNDS,
            )?,
            token_gap: registry.histogram(
                "token_gap_seconds",
                "Time between delivered tokens.",
                TOKEN_GAP_BOUNDS,
            )?,
            registry,
        })
    }

    /// Writes all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.registry.render()
    }
}
