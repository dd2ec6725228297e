//! Counters and histograms of the forwarding role.

use crate::metric_registry::MetricRegistry;

use prometheus::{Histogram, HistogramVec, IntCounter, IntCounterVec, IntGauge, IntGaugeVec};

/// Bucket bounds in seconds of the time until an answer or its first event; the objectives of the
/// installations lie between 0.1 and 1.8 s.
const ANSWER_BOUNDS: &[f64] = &[0.02, 0.05, 0.1, 0.15, 0.3, 0.6, 1.0, 1.5, 1.8, 2.5, 5.0, 10.0];
/// Bucket bounds in seconds of the pause between events; the target is 0.18 s.
const GAP_BOUNDS: &[f64] = &[0.03, 0.05, 0.08, 0.12, 0.18, 0.3, 0.6, 1.0, 2.0];

/// Bucket bounds in seconds of the wait for room; the longest waits are 3 times an objective.
const WAIT_BOUNDS: &[f64] = &[0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0];
/// Bucket bounds in seconds of the time after which refused callers are told to return.
const RETURN_BOUNDS: &[f64] = &[1.0, 2.0, 3.0, 5.0, 7.5, 10.0, 12.5, 15.0];

/// Metrics of one process.
pub struct Telemetry {
    registry: MetricRegistry,
    /// Finished requests, by kind and outcome.
    pub requests: IntCounterVec,
    /// Repeats of requests to plain services, by reason.
    pub repeats: IntCounterVec,
    /// Requests sent to two plain servers, by outcome: `won` if the second one answered first, `lost` if
    /// the first one did, `failed` if neither succeeded.
    pub hedges: IntCounterVec,
    /// Steps of moves of generations, by outcome.
    pub moves: IntCounterVec,
    /// Failed exchanges with servers, by fault.
    pub faults: IntCounterVec,
    /// Answers to requests with a prompt that broke off, by phase of the run and state of the server.
    pub broken_answers: IntCounterVec,
    /// Answers without a length or chunks that ended with their connection, by verdict and state of
    /// the server.
    pub undelimited_answers: IntCounterVec,
    /// Refusals with which servers asked for no further requests for a while.
    pub server_holds: IntCounter,
    /// Parts of prompts for which requests are refused.
    pub blocked_parts: IntGauge,
    /// Evacuated zones that the settings or a server entry name.
    pub evacuated_zones: IntGauge,
    /// Requests to cold servers with a limit that this instance sent or allowed as the coordinator.
    pub cold_requests: IntCounter,
    /// Requests placed while the limits of some cold servers kept them from those.
    pub cold_redirects: IntCounter,
    /// Requests refused because of the limits of cold servers.
    pub cold_refusals: IntCounter,
    /// Number of the store's history that this instance follows; -1 if the store does not state it.
    pub store_era: IntGauge,
    /// Times that the store came back from an older copy.
    pub store_restores: IntCounter,
    /// News of an earlier history of the store that was dropped, by source.
    pub stale_news: IntCounterVec,
    /// Calls to the store, by outcome.
    pub store_calls: IntCounterVec,
    /// Received datagrams dropped because they could not be decoded or named another sender.
    pub dropped_datagrams: IntCounter,
    /// Bytes of messages between instances, by kind and direction, without the headers of lower
    /// layers. Together they are the control traffic of the instance.
    pub control_bytes: IntCounterVec,
    /// The part of `control_bytes` that is sent to instances of other zones, by kind. Prices depend on
    /// it.
    pub zone_bytes: IntCounterVec,
    /// 1 while this instance is a relay of its availability zone, 0 otherwise.
    pub zone_relay: IntGauge,
    /// Datagrams that the socket did not accept for sending.
    pub unsent_datagrams: IntCounter,
    /// Questions to the coordinator that were not answered in time.
    pub lost_questions: IntCounter,
    /// Requests in progress.
    pub open_requests: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Estimated speed of each server, by name of the estimate, and the age of its last sample.
    pub server_speeds: IntGaugeVec,
    /// Servers in slow start, as far as this instance decides on them.
    pub ramping_servers: IntGauge,
    /// Sum of their limits of requests in flight.
    pub ramp_limit: IntGauge,
    /// Changes of limits of slow start, by reason.
    pub pace_changes: IntCounterVec,
    /// Engines on which the coordinator keeps room for latency-critical runs, by service.
    pub kept_engines: IntGaugeVec,
    /// Decisions of the coordinator while it keeps room, by outcome: `kept` from a latency-tolerant
    /// run that has to wait, `lent` to one that was placed, `returned` to a latency-critical run that
    /// was placed.
    pub kept_room: IntCounterVec,
    /// Time for which generations waited for room, in seconds, by latency class and outcome.
    pub run_wait: HistogramVec,
    /// Time after which callers of refused generations were told to return, in seconds, by latency
    /// class.
    pub return_time: HistogramVec,
    /// Time until an answer or its first event, in seconds.
    pub first_answer: Histogram,
    /// Pause between two events of a stream, in seconds.
    pub event_gap: Histogram,
}

impl Telemetry {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a name is duplicate or malformed, which is a programming error.
    pub fn new() -> anyhow::Result<Self> {
        let registry = MetricRegistry::new("forward")?;
        Ok(Self {
            requests: registry.counters("requests", "Requests.", &["kind", "outcome"])?,
            repeats: registry.counters("repeats", "Sends to a second server.", &["reason"])?,
            hedges: registry.counters("hedges", "Requests sent to two servers.", &["outcome"])?,
            moves: registry.counters("moves", "Moves of generations.", &["outcome"])?,
            faults: registry.counters("faults", "Failed exchanges with servers.", &["fault"])?,
            broken_answers: registry.counters(
                "broken_answers",
                "Answers to prompts that broke off.",
                &["phase", "state"],
            )?,
            undelimited_answers: registry.counters(
                "undelimited_answers",
                "Answers that ended with their connection.",
                &["verdict", "state"],
            )?,
            server_holds: registry
                .counter("server_holds", "Refusals that ask for no further requests.")?,
            blocked_parts: registry
                .gauge("blocked_parts", "Parts of prompts for which requests are refused.")?,
            evacuated_zones: registry
                .gauge("evacuated_zones", "Availability zones whose servers get no requests.")?,
            cold_requests: registry
                .counter("cold_requests", "Requests to cold servers with a rate limit.")?,
            cold_redirects: registry
                .counter("cold_redirects", "Requests kept from cold servers by their limits.")?,
            cold_refusals: registry
                .counter("cold_refusals", "Requests refused because of limits of cold servers.")?,
            store_era: registry.gauge("store_era", "History of the store that is followed.")?,
            store_restores: registry
                .counter("store_restores", "Times that the store came back from a copy.")?,
            stale_news: registry.counters(
                "stale_news",
                "Dropped news of an earlier history of the store.",
                &["source"],
            )?,
            store_calls: registry.counters("store_calls", "Calls to the store.", &["outcome"])?,
            dropped_datagrams: registry
                .counter("dropped_datagrams", "Unreadable datagrams of peers.")?,
            control_bytes: registry.counters(
                "control_bytes",
                "Bytes of messages between instances.",
                &["kind", "direction"],
            )?,
            zone_bytes: registry.counters(
                "zone_bytes",
                "Bytes of messages to instances of other zones.",
                &["kind"],
            )?,
            zone_relay: registry.gauge("zone_relay", "1 for a relay of its zone.")?,
            unsent_datagrams: registry
                .counter("unsent_datagrams", "Datagrams that the socket did not take.")?,
            lost_questions: registry
                .counter("lost_questions", "Questions for a placement without an answer.")?,
            open_requests: registry.gauge("open_requests", "Requests in progress.")?,
            config_version: registry.gauge("config_version", "Configuration in force.")?,
            server_speeds: registry.gauges(
                "server_speeds",
                "Estimated times of servers in percent of the median, and their ages.",
                &["server", "estimate"],
            )?,
            ramping_servers: registry.gauge("ramping_servers", "Servers in slow start.")?,
            ramp_limit: registry
                .gauge("ramp_limit", "Requests in flight allowed to servers in slow start.")?,
            pace_changes: registry.counters(
                "pace_changes",
                "Changes of limits of slow start.",
                &["reason"],
            )?,
            kept_engines: registry.gauges(
                "kept_engines",
                "Engines with room kept for latency-critical generations.",
                &["service"],
            )?,
            kept_room: registry.counters(
                "kept_room",
                "Decisions while room is kept for latency-critical generations.",
                &["outcome"],
            )?,
            run_wait: registry.histograms(
                "run_wait_seconds",
                "Wait of generations for room.",
                &["class", "outcome"],
                WAIT_BOUNDS,
            )?,
            return_time: registry.histograms(
                "return_seconds",
                "Time after which callers of refused generations were told to return.",
                &["class"],
                RETURN_BOUNDS,
            )?,
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

    /// Renders all metrics in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded, which is a programming error.
    pub fn render(&self) -> anyhow::Result<Vec<u8>> {
        self.registry.render()
    }
}
