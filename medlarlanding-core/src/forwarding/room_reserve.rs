//! Keeps room on engines for latency-critical runs while others compete for it.
//!
//! Load pattern: long latency-tolerant runs fill the memory of all engines, and short urgent ones keep
//! arriving. Room appears only as long runs end, some twenty times a second over all engines, and a
//! latency-critical run that has to wait for it misses its objective. Latency-tolerant runs may
//! therefore take room only while enough engines can still begin a latency-critical run of usual size
//! in time.

use std::time::Duration;

use super::load::RunWeight;
use crate::time::Timestamp;

/// Parameters of the reserve.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ReserveParams {
    /// Time in which room that a latency-critical run has taken is replaced by the end of another run.
    /// Room for the latency-critical runs of this time is kept.
    pub refill_time: Duration,
    /// Fewest engines with room for a latency-critical run that are kept while any arrive.
    pub engines_min: usize,
    /// Time over which the rate of arrivals is measured, and after which it has fallen to a third once
    /// none arrive.
    pub rate_window: Duration,
    /// Rate of arrivals per second below which no room is kept.
    pub rate_min: f64,
    /// Weight of a new run in the running means of sizes.
    pub mean_weight: f64,
    /// Number of mean deviations above the mean size for which room is kept.
    pub size_margin: f64,
    /// A run leaves room for urgent ones while its first event is due after at least their time until
    /// the first event times this. A run that has less time could not make up for the wait.
    pub yield_factor: f64,
}

impl Default for ReserveParams {
    fn default() -> Self {
        Self {
            refill_time: Duration::from_millis(200),
            engines_min: 2,
            rate_window: Duration::from_secs(2),
            rate_min: 0.5,
            mean_weight: 0.02,
            size_margin: 2.0,
            yield_factor: 1.5,
        }
    }
}

/// Room that latency-tolerant runs must leave.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RoomReserve {
    /// Size of the latency-critical run for which the room is kept.
    pub weight: RunWeight,
    /// Time until the first event of a latency-critical run is due.
    pub due: Duration,
    /// Engines that must be able to begin such a run in time.
    pub engines: usize,
}

/// Recent arrivals of latency-critical runs of one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct CriticalDemand {
    params: ReserveParams,
    /// Arrivals, each of which fades with `rate_window`.
    arrivals: f64,
    /// When `arrivals` was last updated.
    updated_at: Timestamp,
    mean_prompt: f64,
    /// Running mean of the absolute deviation from `mean_prompt`.
    prompt_deviation: f64,
    mean_output: f64,
    /// Running mean of the time until the first event was due at the arrival.
    mean_due_s: f64,
}

impl CriticalDemand {
    /// Records the arrival of a latency-critical run whose first event is due after `due`.
    pub fn record(&mut self, now: Timestamp, weight: RunWeight, due: Duration) {
        self.arrivals = self.arrivals_at(now) + 1.0;
        self.updated_at = now;
        let (prompt, output) = (f64::from(weight.prompt), f64::from(weight.output));
        if self.mean_prompt == 0.0 {
            (self.mean_prompt, self.mean_output) = (prompt, output);
            self.mean_due_s = due.as_secs_f64();
            return;
        }
        let share = self.params.mean_weight;
        self.prompt_deviation +=
            share * ((prompt - self.mean_prompt).abs() - self.prompt_deviation);
        self.mean_prompt += share * (prompt - self.mean_prompt);
        self.mean_output += share * (output - self.mean_output);
        self.mean_due_s += share * (due.as_secs_f64() - self.mean_due_s);
    }

    /// Returns the arrivals per second.
    pub fn rate(&self, now: Timestamp) -> f64 {
        self.arrivals_at(now) / self.params.rate_window.as_secs_f64()
    }

    /// Returns the room that a latency-tolerant run must leave whose first event is due after `due`;
    /// `None` while no latency-critical runs arrive, or if the run cannot wait much longer than they can.
    pub fn reserve(&self, now: Timestamp, due: Duration) -> Option<RoomReserve> {
        let rate = self.rate(now);
        let can_wait = due.as_secs_f64() >= self.mean_due_s * self.params.yield_factor;
        if rate < self.params.rate_min || !can_wait {
            return None;
        }
        let needed = (rate * self.params.refill_time.as_secs_f64()).ceil() as usize;
        let prompt = self.mean_prompt + self.params.size_margin * self.prompt_deviation;
        Some(RoomReserve {
            weight: RunWeight { prompt: prompt as u32, output: self.mean_output as u32 },
            due: Duration::from_secs_f64(self.mean_due_s),
            engines: needed.max(self.params.engines_min),
        })
    }

    fn arrivals_at(&self, now: Timestamp) -> f64 {
        let elapsed = now.since(self.updated_at).as_secs_f64();
        self.arrivals * (-elapsed / self.params.rate_window.as_secs_f64()).exp()
    }
}
