//! What is measured in a run.

use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Gaps between tokens above this count as stalls. Four times the target of 54 ms, so that no
/// step of an undisturbed engine counts.
pub const STALL_MICROS: u64 = 216_000;
/// Longest time that the histograms tell apart, µs: three hours.
const LONGEST_MICROS: u64 = 10_800_000_000;

/// Creates a histogram of microseconds with three significant digits.
pub fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, LONGEST_MICROS, 3).expect("the bounds are valid")
}

/// Percentiles of a duration in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of values.
    pub count: u64,
    /// Half of the values are at most this.
    pub p50: f64,
    /// 95 in 100 are at most this.
    pub p95: f64,
    /// 99 in 100 are at most this.
    pub p99: f64,
}

impl From<&Histogram<u64>> for Percentiles {
    fn from(histogram: &Histogram<u64>) -> Self {
        let at = |quantile| histogram.value_at_quantile(quantile) as f64 / 1000.0;
        Self { count: histogram.len(), p50: at(0.5), p95: at(0.95), p99: at(0.99) }
    }
}

/// How requests ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndCounts {
    /// Requests that arrived in the window.
    pub arrived: u64,
    /// Complete answers.
    pub complete: u64,
    /// Refused without having run.
    pub rejected: u64,
    /// Of these, because of the customer's limit.
    pub over_limit: u64,
    /// Cut off at the deadline, which the caller is told.
    pub deadline: u64,
    /// Lost after tokens were delivered, which the caller is told.
    pub lost: u64,
    /// Without an end when the run was over.
    pub open: u64,
    /// Answers with a token missing, doubled or out of order.
    pub inaccurate: u64,
}

/// Measures of one class or customer.
#[derive(Clone, Debug)]
pub struct GroupMeasures {
    /// How requests that arrived in the window ended.
    pub ends: EndCounts,
    /// Time to the first token.
    pub first: Histogram<u64>,
    /// Time between tokens.
    pub gaps: Histogram<u64>,
    /// Time from arrival to the complete answer.
    pub whole: Histogram<u64>,
    /// Sum of the gaps above `STALL_MICROS`, µs.
    pub stall_micros: u64,
    /// Complete answers in the window, whenever they arrived.
    pub completed_in_window: u64,
}

impl Default for GroupMeasures {
    fn default() -> Self {
        Self {
            ends: EndCounts::default(),
            first: histogram(),
            gaps: histogram(),
            whole: histogram(),
            stall_micros: 0,
            completed_in_window: 0,
        }
    }
}

impl GroupMeasures {
    /// Counts a gap between two tokens.
    pub fn gap(&mut self, micros: u64) {
        self.gaps.saturating_record(micros.max(1));
        if micros > STALL_MICROS {
            self.stall_micros += micros;
        }
    }

    /// Gets the figures for the results.
    pub fn figures(&self, window_s: f64) -> GroupFigures {
        GroupFigures {
            ends: self.ends,
            complete_per_s: self.completed_in_window as f64 / window_s,
            first_ms: Percentiles::from(&self.first),
            gap_ms: Percentiles::from(&self.gaps),
            whole_ms: Percentiles::from(&self.whole),
            stall_s: self.stall_micros as f64 / 1e6,
        }
    }
}

/// Figures of one class, customer or run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct GroupFigures {
    /// How requests that arrived in the window ended.
    pub ends: EndCounts,
    /// Complete answers per second of the window.
    pub complete_per_s: f64,
    /// Time to the first token.
    pub first_ms: Percentiles,
    /// Time between tokens.
    pub gap_ms: Percentiles,
    /// Time to the complete answer.
    pub whole_ms: Percentiles,
    /// Sum of the gaps above the stall limit.
    pub stall_s: f64,
}

/// Figures of one run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RunFigures {
    /// All requests.
    pub total: GroupFigures,
    /// Per class, in the order of the deployment.
    pub classes: Vec<(String, GroupFigures)>,
    /// Per customer.
    pub customers: Vec<GroupFigures>,
    /// Preemptions in the window.
    pub preemptions: u64,
    /// Tokens computed again in the window because of preemptions.
    pub recomputed_tokens: u64,
    /// Tokens decoded in the window.
    pub tokens: u64,
    /// Part of the submissions whose prefix was cached, since the start.
    pub cache_hit_part: f64,
    /// Mean part of the engines' memory in use in the window.
    pub memory_part: f64,
    /// Mean batch in the window.
    pub batch: f64,
    /// Datagrams between instances per second and instance.
    pub datagrams_per_s: f64,
    /// Complete answers per second in the proportions of the mix: the smallest over the
    /// classes of their rate divided by their part.
    pub mix_complete_per_s: f64,
}
