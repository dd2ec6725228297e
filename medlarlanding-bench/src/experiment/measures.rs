//! Measurements of a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Time between two tokens above which it counts as a stall, µs. Four times the target of 54 ms,
/// so that no regular step of an engine counts.
pub const STALL_MICROS: u64 = 216_000;
/// Maximum time that the histograms resolve, µs: three hours.
const HISTOGRAM_MAX_MICROS: u64 = 10_800_000_000;

/// Creates a histogram of microseconds with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, HISTOGRAM_MAX_MICROS, 3).expect("the bounds are valid")
}

/// Percentiles of a duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// Outcomes of the requests that arrived in the window.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndCounts {
    /// Requests that arrived.
    pub arrived: u64,
    /// Requests with a complete answer.
    pub complete: u64,
    /// Requests rejected without having run.
    pub rejected: u64,
    /// Those of the rejected requests that exceeded the customer's limit.
    pub over_limit: u64,
    /// Running requests that ended at the deadline, which the caller is told.
    pub deadline: u64,
    /// Requests that failed after they had been sent to a server, which the caller is told.
    pub lost: u64,
    /// Requests that had not ended when the run was over.
    pub open: u64,
    /// Missing, repeated or reordered tokens, and complete answers of the wrong length.
    pub inaccurate: u64,
}

/// Measurements of one class, of one customer or of all requests.
#[derive(Clone, Debug)]
pub struct GroupMeasures {
    /// Outcomes of the requests that arrived in the window.
    pub ends: EndCounts,
    /// Time from the arrival to the first token, µs.
    pub first_token: Histogram<u64>,
    /// Time between two tokens, µs.
    pub token_gap: Histogram<u64>,
    /// Time from the arrival to the complete answer, µs.
    pub completion: Histogram<u64>,
    /// Sum of the times between two tokens above `STALL_MICROS`, µs.
    pub stall_micros: u64,
    /// Answers completed in the window, including those of requests that arrived before it.
    pub completed_in_window: u64,
}

impl Default for GroupMeasures {
    fn default() -> Self {
        Self {
            ends: EndCounts::default(),
            first_token: histogram(),
            token_gap: histogram(),
            completion: histogram(),
            stall_micros: 0,
            completed_in_window: 0,
        }
    }
}

impl GroupMeasures {
    /// Records the time between two tokens.
    pub fn record_token_gap(&mut self, micros: u64) {
        self.token_gap.saturating_record(micros.max(1));
        if micros > STALL_MICROS {
            self.stall_micros += micros;
        }
    }

    /// Returns the figures for the results.
    pub fn figures(&self, window_s: f64) -> GroupFigures {
        GroupFigures {
            ends: self.ends,
            complete_per_s: self.completed_in_window as f64 / window_s,
            first_ms: Percentiles::from(&self.first_token),
            gap_ms: Percentiles::from(&self.token_gap),
            whole_ms: Percentiles::from(&self.completion),
            stall_s: self.stall_micros as f64 / 1e6,
        }
    }
}

/// Figures of one class, customer or run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupFigures {
    /// Outcomes of the requests that arrived in the window.
    pub ends: EndCounts,
    /// Answers completed per second of the window.
    pub complete_per_s: f64,
    /// Time from the arrival to the first token.
    pub first_ms: Percentiles,
    /// Time between two tokens.
    pub gap_ms: Percentiles,
    /// Time from the arrival to the complete answer.
    pub whole_ms: Percentiles,
    /// Sum of the times between two tokens above `STALL_MICROS`.
    pub stall_s: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFigures {
    /// All requests.
    pub total: GroupFigures,
    /// Requests of each class, in the order of the deployment.
    pub classes: Vec<(String, GroupFigures)>,
    /// Requests of each customer, in the order of the deployment.
    pub customers: Vec<GroupFigures>,
    /// Preemptions in the window.
    pub preemptions: u64,
    /// Tokens recomputed in the window because of preemptions.
    pub recomputed_tokens: u64,
    /// Tokens decoded in the window.
    pub tokens: u64,
    /// Fraction of the submissions whose prefix was cached, counted from the start of the run.
    #[serde(rename = "cache_hit_part")]
    pub cache_hit_fraction: f64,
    /// Mean fraction of the engines' memory in use in the window.
    #[serde(rename = "memory_part")]
    pub memory_fraction: f64,
    /// Mean batch size of an engine in the window.
    pub batch: f64,
    /// Datagrams sent between instances per second and instance.
    pub datagrams_per_s: f64,
    /// Complete answers per second in the proportions of the mix: the minimum over the classes of
    /// the completion rate divided by the class's fraction of the arrivals.
    pub mix_complete_per_s: f64,
}
