//! Counters and histograms of the forwarding role.

use crate::metric_registry::MetricRegistry;

use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge};

/// Upper bounds in seconds of the time to an answer or its first event; the installations'
/// objectives lie between 0.1 and 1.8 s.
const ANSWER_BOUNDS: &[f64] = &[0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 1.8, 2.5, 5.0, 10.0];
/// Upper bounds in seconds of the pause between events; 0.18 s is wanted.
const GAP_BOUNDS: &[f64] = &[0.03, 0.05, 0.08, 0.12, 0.18, 0.3, 0.6, 1.0, 2.0];

/// Metrics of one process.
pub struct Telemetry {
    registry: MetricRegistry,
    /// Requests by kind and outcome.
    pub requests: IntCounterVec,
    /// Sends to a second server, by reason.
    pub repeats: IntCounterVec,
    /// Moves of generations by outcome.
    pub moves: IntCounterVec,
    /// Failures of exchanges with servers, by fault.
    pub faults: IntCounterVec,
    /// Calls to the store by outcome.
    pub store_calls: IntCounterVec,
    /// Datagrams dropped because they could not be read.
    pub dropped_datagrams: IntCounter,
    /// Datagrams that the socket did not take.
    pub unsent_datagrams: IntCounter,
    /// Questions to the instance that places generations that got no answer.
    pub lost_questions: IntCounter,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Time to an answer or its first event in seconds.
    pub first_answer: Histogram,
    /// Pause between events of a stream in seconds.
    pub event_gap: Histogram,
}

impl Telemetry {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails on a duplicate or malformed name, which is a defect.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricRegistry::new("forward")?;
        Ok(Self {
            requests: registry.counters("requests", "Requests.", &["kind", "outcome"])?,
            repeats: registry.counters("repeats", "Sends to a second server.", &["reason"])?,
            moves: registry.counters("moves", "Moves of generations.", &["outcome"])?,
            faults: registry.counters("faults", "Failed exchanges with servers.", &["fault"])?,
            store_calls: registry.counters("store_calls", "Calls to the store.", &["outcome"])?,
            dropped_datagrams: registry
                .counter("dropped_datagrams", "Unreadable datagrams of peers.")?,
            unsent_datagrams: registry
                .counter("unsent_datagrams", "Datagrams that the socket did not take.")?,
            lost_questions: registry
                .counter("lost_questions", "Questions for a placement without an answer.")?,
            open_requests: registry.gauge("open_requests", "Requests in progress.")?,
            config_version: registry.gauge("config_version", "Configuration in force.")?,
            first_answer: registry.histogram(
                "first_answer_seconds",
                "Time to an answer or its first event.",
                ANSWER_BOUNDS,
            )?,
            event_gap: registry.histogram(
                "event_gap_seconds",
                "Pause between events of a stream.",
                GAP_BOUNDS,
            )?,
            registry,
        })
    }

    /// Renders the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded, which is a defect.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.registry.render()
    }
}
