//! Priority queue of the generations that wait for room on an engine.
//!
//! Load pattern: for several seconds more generations arrive than the engines' memory can hold, so
//! each run that is placed displaces another one. Runs are therefore served in descending order of
//! the value of their answers relative to the memory and time that they occupy. Runs whose first
//! event will be late come last: they occupy as much, but their callers gain little.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use super::load::{LatencyClass, RunWeight};
use super::placement::PROMPT_TOKEN_TIME;
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Parameters of the queue.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingParams {
    /// A run that has not asked for this long is dropped: its caller has left or it was served
    /// elsewhere. Waiting runs ask every 40 ms, and a datagram may be lost.
    pub ask_timeout: Duration,
    /// Fraction of an answer's value that does not depend on its size, from the users' rating of
    /// answers.
    pub fixed_value: f64,
    /// Number of prompt tokens that one output token counts as in the size of a generation, from
    /// the same rating.
    pub output_weight: f64,
    /// Weight from 0 to 1 of the caller's estimated output against the mean output, on a
    /// logarithmic scale. Estimates are right at the median, but often off by a factor of three,
    /// which is about as much as the lengths themselves vary.
    pub estimate_weight: f64,
    /// Time for one output token on an engine that spends a third of its time on prompts: a step
    /// takes 7.7 ms, and a step that processes a part of a prompt takes as much again.
    pub token_time: Duration,
    /// Time that a busy engine takes for one prompt token.
    pub prompt_time: Duration,
    /// Weight of a new run in the running means of sizes, which cover about the last 50 runs, or
    /// one second of arrivals on the measured installations.
    pub mean_weight: f64,
}

impl Default for WaitingParams {
    fn default() -> Self {
        Self {
            ask_timeout: Duration::from_millis(120),
            fixed_value: 0.3,
            output_weight: 10.0,
            estimate_weight: 0.45,
            token_time: Duration::from_millis(11),
            prompt_time: PROMPT_TOKEN_TIME,
            mean_weight: 0.02,
        }
    }
}

/// Key of a waiting run, unique over all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RunKey {
    /// Instance that the caller is connected to.
    pub instance: SocketAddr,
    /// Hash of the request's id.
    pub run: u64,
}

/// Class of a waiting run. All runs of one class are served before those of the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum WaitingClass {
    /// A run that moves off a leaving engine. It has used engines for longer than any new run, and is
    /// lost if it finds no room before its engine ends.
    Moving,
    /// The run has the most urgent priority, and its first event can still be in time.
    Urgent,
    /// The first event can still be in time.
    InTime,
    /// The first event will be late.
    Late,
}

/// A run that asks for room.
#[derive(Clone, Copy, Debug)]
pub struct QueuedRun {
    /// Key of the run.
    pub key: RunKey,
    /// Class of the run at the moment.
    pub class: WaitingClass,
    /// How the objective compares with those of other runs of the service.
    pub latency: LatencyClass,
    /// Expected size.
    pub weight: RunWeight,
}

#[derive(Clone, Copy, Debug)]
struct WaitingRun {
    class: WaitingClass,
    value_density: f64,
    /// When the run first asked and found no room; orders runs with the same value density.
    first_asked_at: Timestamp,
    /// When the run last asked; never before `first_asked_at`.
    asked_at: Timestamp,
}

/// Queue of the runs that wait for room, held by the coordinator.
#[derive(Debug, Default)]
pub struct WaitingRuns {
    params: WaitingParams,
    runs: IndexMap<RunKey, WaitingRun>,
    /// Running mean of the sizes of runs; 0 before the first run.
    mean_size: f64,
    /// Running mean of the logarithms of estimated outputs in tokens.
    mean_log_output: f64,
}

impl WaitingRuns {
    /// Adds a new run to the running means that later runs are compared with.
    pub fn record_size(&mut self, weight: RunWeight) {
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

    /// Returns the value of an answer divided by the engine memory and time that it occupies. The
    /// unit is the value of an answer of mean size for each million token-seconds of memory.
    pub fn value_density(&self, weight: RunWeight) -> f64 {
        let params = &self.params;
        let output = self.expected_output(weight);
        let relative_size = self.size(weight, output) / self.mean_size.max(1.0);
        let value = params.fixed_value + (1.0 - params.fixed_value) * relative_size;
        let prompt = f64::from(weight.prompt);
        let seconds =
            output * params.token_time.as_secs_f64() + prompt * params.prompt_time.as_secs_f64();
        let memory = (prompt + output / 2.0).max(1.0);
        1e6 * value / (seconds.max(1e-3) * memory)
    }

    /// Removes a run from the queue if it may be placed now, or else queues it. It may be placed if
    /// fewer runs are ahead of it than `servers_with_room`.
    ///
    /// # Errors
    ///
    /// Returns the number of runs ahead of it if the run has to wait. For runs that are not
    /// latency-tolerant it returns 0 while any engine has room: runs ahead of it may just have been
    /// refused or have left, and no run may be refused because of those.
    pub fn admit(
        &mut self,
        now: Timestamp,
        run: QueuedRun,
        servers_with_room: usize,
    ) -> Result<(), usize> {
        let QueuedRun { key, class, latency, weight } = run;
        let value_density = self.value_density(weight);
        let mut ahead = self.count_ahead(now, key, class, value_density);
        if latency == LatencyClass::Critical {
            // A short run ends long before a moving one would need its room.
            ahead -= self.count_moving(now, key);
        }
        if servers_with_room > ahead {
            self.remove(key);
            self.record_size(weight);
            return Ok(());
        }
        self.enqueue(now, key, class, value_density);
        Err(if servers_with_room > 0 && latency != LatencyClass::Tolerant { 0 } else { ahead })
    }

    /// Returns the number of waiting runs that move off leaving engines, without the run itself: a
    /// caller may have sent the id of a moving run again.
    fn count_moving(&self, now: Timestamp, key: RunKey) -> usize {
        let is_moving = |(other, run): &(&RunKey, &WaitingRun)| {
            **other != key
                && run.class == WaitingClass::Moving
                && now.since(run.asked_at) < self.params.ask_timeout
        };
        self.runs.iter().filter(is_moving).count()
    }

    /// Returns the number of waiting runs that are served before a run, without the run itself.
    pub fn count_ahead(
        &self,
        now: Timestamp,
        key: RunKey,
        class: WaitingClass,
        value_density: f64,
    ) -> usize {
        let first_asked_at = self.runs.get(&key).map_or(now, |run| run.first_asked_at);
        let is_ahead = |run: &WaitingRun| {
            let order = run.class.cmp(&class).then(value_density.total_cmp(&run.value_density));
            order.then(run.first_asked_at.cmp(&first_asked_at)) == Ordering::Less
        };
        let present = self.runs.iter().filter(|(other, run)| {
            **other != key && now.since(run.asked_at) < self.params.ask_timeout
        });
        present.filter(|(_, run)| is_ahead(run)).count()
    }

    /// Queues a run that asked and found no room. A run that is queued already keeps its position
    /// among those with the same value density.
    pub fn enqueue(
        &mut self,
        now: Timestamp,
        key: RunKey,
        class: WaitingClass,
        value_density: f64,
    ) {
        let timeout = self.params.ask_timeout;
        self.runs.retain(|_, run| now.since(run.asked_at) < timeout);
        let run = WaitingRun { class, value_density, first_asked_at: now, asked_at: now };
        let waiting = self.runs.entry(key).or_insert(run);
        *waiting = WaitingRun { first_asked_at: waiting.first_asked_at, ..run };
    }

    /// Returns whether a run has asked before and still waits.
    pub fn contains(&self, key: RunKey) -> bool {
        self.runs.contains_key(&key)
    }

    /// Removes a run that was placed.
    pub fn remove(&mut self, key: RunKey) {
        self.runs.swap_remove(&key);
    }

    /// Returns the number of runs that wait.
    pub fn count(&self, now: Timestamp) -> usize {
        self.runs.values().filter(|run| now.since(run.asked_at) < self.params.ask_timeout).count()
    }

    /// Returns the size of a run in prompt tokens; output tokens count `output_weight` times.
    fn size(&self, weight: RunWeight, output: f64) -> f64 {
        f64::from(weight.prompt) + self.params.output_weight * output
    }

    /// Returns the expected output in tokens: a weighted geometric mean of the caller's estimate
    /// and the running mean.
    fn expected_output(&self, weight: RunWeight) -> f64 {
        let estimate = f64::from(weight.output.max(1)).ln();
        let share = self.params.estimate_weight;
        (share * estimate + (1.0 - share) * self.mean_log_output).exp()
    }
}
