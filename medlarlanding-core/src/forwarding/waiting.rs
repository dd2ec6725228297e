//! Order in which generations that wait for room on an engine are served.
//!
//! Load pattern: for seconds on end more generations arrive than the engines' memory can hold.
//! Every run that is placed then displaces another one, so that room goes first to the runs
//! whose answers are worth most for the memory and the time that they take. Runs whose first
//! event is late already come last: their callers gain little, and they take as much.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use super::placement::{PROMPT_TOKEN_TIME, RunWeight};
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Figures of the order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingParams {
    /// A run that has not asked for this long has left or was served elsewhere; waiting runs
    /// ask every 40 ms and a datagram may be lost.
    pub fresh: Duration,
    /// Part of an answer's worth that does not depend on its size, from the users' rating of
    /// answers.
    pub fixed_worth: f64,
    /// Weight of one output token in the size of a generation against one prompt token, from the
    /// same rating.
    pub output_weight: f64,
    /// Weight of a caller's estimate of the output against the usual output, on a logarithmic
    /// scale. Estimates are right at the median and often off by a factor of three, about as
    /// much as lengths themselves differ.
    pub estimate_weight: f64,
    /// Time for one output token on an engine that spends a third of its time on prompts: a step
    /// of 7.7 ms, and as much again for a part of a prompt.
    pub token_time: Duration,
    /// Time for one prompt token on a busy engine.
    pub prompt_time: Duration,
    /// Weight of one more run in the running means of sizes, which follow the last 50 runs or so:
    /// about a second of arrivals on the measured installations.
    pub mean_weight: f64,
}

impl Default for WaitingParams {
    fn default() -> Self {
        Self {
            fresh: Duration::from_millis(120),
            fixed_worth: 0.3,
            output_weight: 10.0,
            estimate_weight: 0.45,
            token_time: Duration::from_millis(11),
            prompt_time: PROMPT_TOKEN_TIME,
            mean_weight: 0.02,
        }
    }
}

/// A waiting run among all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunTicket {
    /// Instance that has the caller.
    pub instance: SocketAddr,
    /// Hash of the request's id.
    pub run: u64,
}

/// Class of a waiting run; an earlier one goes before all runs of a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitingClass {
    /// The most urgent rank, whose first event can still be in time.
    Urgent,
    /// The first event can still be in time.
    InTime,
    /// The first event is late already.
    Late,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRun {
    class: WaitingClass,
    density: f64,
    /// First question without room; earlier runs of the same worth go first.
    first_at: Timestamp,
    /// Last question; never before `first_at`.
    asked_at: Timestamp,
}

/// Runs that wait for room at the instance that places generations.
#[derive(Debug, Default)]
pub struct WaitingRuns {
    params: WaitingParams,
    runs: IndexMap<RunTicket, WaitingRun>,
    /// Running mean of the sizes of runs; 0 before the first.
    mean_size: f64,
    /// Running mean of the logarithms of estimated outputs.
    mean_log_output: f64,
}

impl WaitingRuns {
    /// Learns the size of a new run, for the comparison with later ones.
    pub fn learn(&mut self, weight: RunWeight) {
        let log_output = f64::from(weight.output.max(1)).ln();
        if self.mean_size == 0.0 {
            self.mean_log_output = log_output;
            self.mean_size = self.size(weight, f64::from(weight.output));
            return;
        }
        let share = self.params.mean_weight;
        self.mean_log_output += share * (log_output - self.mean_log_output);
        let size = self.size(weight, self.expected_output(weight));
        self.mean_size += share * (size - self.mean_size);
    }

    /// Gets how much an answer is worth for the engine memory and time that it takes, in units
    /// of an answer of mean size for each million tokens held for a second.
    pub fn density(&self, weight: RunWeight) -> f64 {
        let params = &self.params;
        let output = self.expected_output(weight);
        let relative_size = self.size(weight, output) / self.mean_size.max(1.0);
        let worth = params.fixed_worth + (1.0 - params.fixed_worth) * relative_size;
        let prompt = f64::from(weight.prompt);
        let seconds =
            output * params.token_time.as_secs_f64() + prompt * params.prompt_time.as_secs_f64();
        let memory = (prompt + output / 2.0).max(1.0);
        1e6 * worth / (seconds.max(1e-3) * memory)
    }

    /// Decides whether a run gets room while `rooms` engines have room for it.
    ///
    /// # Errors
    ///
    /// The run waits. The number is how many runs go before it, or 0 while any engine has room:
    /// some of those before it may have been refused or left a moment ago, and a run must not be
    /// refused for them.
    pub fn admit(
        &mut self,
        now: Timestamp,
        ticket: RunTicket,
        class: WaitingClass,
        weight: RunWeight,
        rooms: usize,
    ) -> Result<(), usize> {
        let density = self.density(weight);
        let ahead = self.count_better(now, ticket, class, density);
        if rooms > ahead {
            self.leave(ticket);
            self.learn(weight);
            return Ok(());
        }
        self.wait(now, ticket, class, density);
        Err(if rooms > 0 { 0 } else { ahead })
    }

    /// Number of waiting runs that are served before a run; the run itself is left out.
    pub fn count_better(
        &self,
        now: Timestamp,
        ticket: RunTicket,
        class: WaitingClass,
        density: f64,
    ) -> usize {
        let first_at = self.runs.get(&ticket).map_or(now, |run| run.first_at);
        let is_better = |run: &WaitingRun| {
            let order = run.class.cmp(&class).then(density.total_cmp(&run.density));
            order.then(run.first_at.cmp(&first_at)) == Ordering::Less
        };
        let fresh = self.runs.iter().filter(|(other, run)| {
            **other != ticket && now.since(run.asked_at) < self.params.fresh
        });
        fresh.filter(|(_, run)| is_better(run)).count()
    }

    /// Records that a run asked and found no room.
    pub fn wait(&mut self, now: Timestamp, ticket: RunTicket, class: WaitingClass, density: f64) {
        let fresh = self.params.fresh;
        self.runs.retain(|_, run| now.since(run.asked_at) < fresh);
        let run = WaitingRun { class, density, first_at: now, asked_at: now };
        let waiting = self.runs.entry(ticket).or_insert(run);
        *waiting = WaitingRun { first_at: waiting.first_at, ..run };
    }

    /// Records that a run was served.
    pub fn leave(&mut self, ticket: RunTicket) {
        self.runs.swap_remove(&ticket);
    }

    /// Number of runs that wait.
    pub fn count(&self, now: Timestamp) -> usize {
        self.runs.values().filter(|run| now.since(run.asked_at) < self.params.fresh).count()
    }

    fn size(&self, weight: RunWeight, output: f64) -> f64 {
        f64::from(weight.prompt) + self.params.output_weight * output
    }

    /// Expected output: the caller's estimate, drawn towards the usual output.
    fn expected_output(&self, weight: RunWeight) -> f64 {
        let estimate = f64::from(weight.output.max(1)).ln();
        let share = self.params.estimate_weight;
        (share * estimate + (1.0 - share) * self.mean_log_output).exp()
    }
}
