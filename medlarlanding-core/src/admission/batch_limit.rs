//! Limit of an engine's batch size, adapted to keep the time between tokens at its target.

use std::time::Duration;

/// Weight of a new observation in the exponentially smoothed time between tokens.
const SMOOTHING: f64 = 0.2;

/// Adapts an engine's batch limit to the observed time between tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct BatchLimiter {
    target_us: f64,
    /// Smoothed time between tokens in microseconds; 0 before the first observation.
    gap_us: f64,
    /// Current limit, 1 to `max_batch`; rounded down where it is applied.
    limit: f64,
    max_batch: f64,
}

impl BatchLimiter {
    /// Creates a limiter that starts at `max_batch`.
    pub fn new(target: Duration, max_batch: u32) -> Self {
        let max_batch = f64::from(max_batch.max(1));
        Self { target_us: target.as_micros() as f64, gap_us: 0.0, limit: max_batch, max_batch }
    }

    /// Records that one request decoded `tokens` between two reports `elapsed` apart.
    pub fn observe(&mut self, tokens: u32, elapsed: Duration) {
        if tokens == 0 {
            return;
        }
        let gap = elapsed.as_micros() as f64 / f64::from(tokens);
        self.gap_us =
            if self.gap_us == 0.0 { gap } else { self.gap_us + SMOOTHING * (gap - self.gap_us) };
    }

    /// Lowers the limit if the time between tokens exceeds the target. Raises it by 1 if the
    /// time is below 90 % of the target and `batch` requests leave less than two places free.
    /// Called once per report interval.
    pub fn adapt(&mut self, batch: usize) {
        let batch = batch as f64;
        if self.gap_us > self.target_us {
            self.limit = (self.limit.min(batch) * self.target_us / self.gap_us).max(1.0);
        } else if self.gap_us < 0.9 * self.target_us && batch + 1.0 >= self.limit {
            self.limit = (self.limit + 1.0).min(self.max_batch);
        }
    }

    /// Returns the largest batch allowed now.
    pub fn limit(&self) -> usize {
        self.limit as usize
    }

    /// Returns the smoothed time between tokens, or zero before the first observation.
    pub fn gap(&self) -> Duration {
        Duration::from_micros(self.gap_us as u64)
    }
}
