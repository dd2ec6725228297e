//! Estimates how fast each server is, from its answers alone.
//!
//! Load pattern: engines of one service differ by up to a factor of four in the time for a token, for
//! a whole day, while plain servers turn slow for a few seconds. A sixth of the engines is replaced
//! every 3.3 s, so an estimate must be of use after one or two answers, and one of an earlier start
//! must not be applied to the next. All servers also slow down together under load, so a server is
//! compared with the median of its service.
//!
//! Memory: 200 bytes for each server that has answered in the last `SpeedParams::expiry`.

use std::sync::Arc;
use std::time::Duration;

use super::directory::{ServerDirectory, ServerKey};
use super::speed_samples::{SpeedReport, SpeedSums, StreamSample, TOKENS_PER_EVENT, step_millis};
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Parameters of the estimates. Times are those of one kind of service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedParams {
    /// Time after which a sample counts for 1/e of a new one.
    pub memory: Duration,
    /// Time without a sample after which the server counts as average again, so that it is tried.
    pub expiry: Duration,
    /// Weight, in events, of the assumption that a server without samples is average. The events of a
    /// generation count for 1 each, from the second on, its first one and an answer for 2.
    pub prior_weight: f64,
    /// An engine counts as average while its time for a token differs from the median by less than
    /// this factor. Because of batches and prompts, one of 24 alike engines differed by more than 1.45
    /// in 2 % of the updates of 18 replays, most of them near capacity.
    pub token_band: f64,
    /// Same for the time until the first event or the answer, which also depends on load that no
    /// instance knows of.
    pub first_band: f64,
    /// A server that did not count as average does again once its estimate is nearer to the median
    /// than its band by this factor.
    pub return_factor: f64,
    /// The estimate in use is replaced by one that differs by this factor.
    pub change_band: f64,
}

impl SpeedParams {
    /// Returns the parameters for engines, whose speeds last and whose slow periods, of 0.6 s, do not
    /// matter to a run.
    pub fn engines() -> Self {
        Self {
            memory: Duration::from_secs(10),
            expiry: Duration::from_secs(30),
            prior_weight: 3.0,
            token_band: 1.45,
            first_band: 1.6,
            return_factor: 1.1,
            change_band: 1.1,
        }
    }

    /// Returns the parameters for plain servers, of which the last few answers matter.
    pub fn plain_servers() -> Self {
        Self {
            memory: Duration::from_secs(2),
            expiry: Duration::from_secs(6),
            prior_weight: 1.0,
            token_band: 1.6,
            first_band: 1.6,
            return_factor: 1.1,
            change_band: 1.1,
        }
    }

    /// Returns the ratio to use instead of `current`, given the estimate.
    fn ratio_in_use(&self, band: f64, current: f64, estimate: f64) -> f64 {
        let band = if current == 1.0 { band } else { band / self.return_factor };
        if estimate.ln().abs() < band.ln() {
            1.0
        } else if (estimate / current).ln().abs() < self.change_band.ln() {
            current
        } else {
            estimate
        }
    }
}

/// Time after which a sample of the usual answer time of a plain server counts for 1/e; longer than its
/// slow periods.
const USUAL_MEMORY: Duration = Duration::from_secs(30);
/// Time without a sample after which the usual answer time of a plain server is forgotten.
const USUAL_EXPIRY: Duration = Duration::from_secs(60);
/// Weight of samples, in events, from which the usual answer time of a service is known: that of three
/// answers.
const USUAL_WEIGHT_MIN: f64 = 5.0;

/// Weight in events from which a server counts for the median of its service: that of one short answer
/// a few seconds ago.
const MEDIAN_WEIGHT_MIN: f64 = 0.5;

/// Factor on the time of a step of an engine that processes a part of a prompt as well.
const PROMPT_STEP_FACTOR: f64 = 2.0;

/// Weight of the current state in the share of time in which prompts wait at an engine. Of 0.2 to 1, 0.5
/// makes alike engines differ least in the replay of loaded fleets.
const PROMPT_SHARE_WEIGHT: f64 = 0.5;

/// How fast a server is compared with the median of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedRatios {
    /// Time for each output token, relative to the median; 1 for an average server.
    pub token: f64,
    /// Time until the first event, or the answer of a plain server, relative to the median at the same
    /// load; 1 for an average server.
    pub first: f64,
    /// Most runs with which the engine keeps the service's target for pauses between events; `None`
    /// without a target or for an average engine.
    pub run_limit: Option<u32>,
}

impl Default for SpeedRatios {
    fn default() -> Self {
        Self { token: 1.0, first: 1.0, run_limit: None }
    }
}

impl SpeedRatios {
    /// Returns whether the server counts as average in all respects.
    pub fn is_average(&self) -> bool {
        *self == Self::default()
    }
}

/// Mean of logarithms in which older samples count less.
#[derive(Clone, Copy, Debug, Default)]
struct DecayedMean {
    weight: f64,
    sum: f64,
    /// Time up to which both have decayed.
    decayed_to: Timestamp,
}

impl DecayedMean {
    /// Adds samples whose expected times are to be multiplied by `e` to the power of `expected_log`.
    fn add(&mut self, now: Timestamp, sums: SpeedSums, memory: Duration, expected_log: f64) {
        if sums.is_empty() {
            return;
        }
        let weight = f64::from(sums.weight);
        let factor = self.decay(now, memory);
        self.weight = self.weight * factor + weight;
        self.sum = self.sum * factor + sums.log_total() - weight * expected_log;
        self.decayed_to = self.decayed_to.max(now);
    }

    fn decay(&self, now: Timestamp, memory: Duration) -> f64 {
        (-now.since(self.decayed_to).as_secs_f64() / memory.as_secs_f64()).exp()
    }

    /// Returns the mean and its weight now; `None` without samples.
    fn mean(&self, now: Timestamp, memory: Duration) -> Option<(f64, f64)> {
        (self.weight > 0.0).then(|| (self.sum / self.weight, self.weight * self.decay(now, memory)))
    }

    /// Returns the ratio to the service's median, drawn towards 1 by the prior weight.
    fn ratio(&self, now: Timestamp, params: &SpeedParams, median: Option<f64>) -> f64 {
        let (Some((mean, weight)), Some(median)) = (self.mean(now, params.memory), median) else {
            return 1.0;
        };
        ((mean - median) * weight / (weight + params.prior_weight)).exp()
    }
}

/// Speed of one start of a server.
#[derive(Clone, Copy, Debug, Default)]
struct ServerSpeed {
    /// Time for each output token; without samples for plain servers.
    token: DecayedMean,
    /// Time until the first event or the answer.
    first: DecayedMean,
    /// Same samples as `first`, with a longer memory.
    usual: DecayedMean,
    /// Samples of this instance that were not reported yet.
    pending: StreamSample,
    /// When the last sample was taken; moves forward only.
    sampled_at: Timestamp,
    /// Ratios in use; they change only by more than a band, so that choices do not alternate.
    ratios: SpeedRatios,
}

/// What the estimates depend on besides samples, for the servers of one service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedTarget {
    /// The service's servers are engines.
    pub is_engine: bool,
    /// Longest pause between events that callers accept; `None` without a target.
    pub gap_objective: Option<Duration>,
}

impl SpeedTarget {
    fn params(&self) -> SpeedParams {
        if self.is_engine { SpeedParams::engines() } else { SpeedParams::plain_servers() }
    }
}

/// Where a sample comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SampleSource {
    /// An engine.
    Engine,
    /// A server of a plain service.
    PlainServer,
}

/// A change of the ratios in use.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SpeedChange {
    /// Server that changed.
    pub key: ServerKey,
    /// Ratios in use now.
    pub ratios: SpeedRatios,
    /// Time since the last sample.
    pub age: Duration,
    /// The estimate expired.
    pub is_expired: bool,
}

/// Speeds of all servers that have answered recently. A server that restarts has a new key and so
/// begins without samples.
#[derive(Debug, Default)]
pub struct SpeedTable {
    servers: IndexMap<ServerKey, ServerSpeed>,
    /// Mean ratios in use of the engines of each service that has any, as of the last refresh.
    means: IndexMap<Arc<str>, SpeedRatios>,
    /// Share of recent time, from 0 to 1, in which prompts waited at each engine, so that its steps took
    /// longer.
    prompt_shares: IndexMap<ServerKey, f64>,
}

impl SpeedTable {
    /// Records at which engines prompts wait now. Called every 250 ms with all engines; others are
    /// forgotten.
    pub fn update_prompts(&mut self, engines: impl IntoIterator<Item = (ServerKey, bool)>) {
        let earlier = std::mem::take(&mut self.prompt_shares);
        let share = |(key, has_prompts): (ServerKey, bool)| {
            let before = earlier.get(&key).copied().unwrap_or(0.0);
            let current = f64::from(u8::from(has_prompts));
            (key, before + PROMPT_SHARE_WEIGHT * (current - before))
        };
        self.prompt_shares = engines.into_iter().map(share).collect();
    }

    /// Adds samples that this instance took; they are contained in the next report.
    pub fn record(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        source: SampleSource,
        sample: StreamSample,
    ) {
        if sample.is_empty() {
            return;
        }
        self.add(now, key, source, sample);
        let pending = &mut self.servers[&key].pending;
        pending.token.merge(sample.token);
        pending.first.merge(sample.first);
    }

    /// Adds samples that a peer reported.
    pub fn merge(
        &mut self,
        now: Timestamp,
        key: ServerKey,
        source: SampleSource,
        report: &SpeedReport,
    ) {
        let sample = StreamSample { token: report.token, first: report.first };
        if !sample.is_empty() {
            self.add(now, key, source, sample);
        }
    }

    fn add(&mut self, now: Timestamp, key: ServerKey, source: SampleSource, sample: StreamSample) {
        let (memory, token_log) = match source {
            SampleSource::Engine => {
                let prompt_share = self.prompt_shares.get(&key).copied().unwrap_or(0.0);
                let factor = 1.0 + (PROMPT_STEP_FACTOR - 1.0) * prompt_share;
                (SpeedParams::engines().memory, factor.ln())
            },
            SampleSource::PlainServer => (SpeedParams::plain_servers().memory, 0.0),
        };
        let speed = self.servers.entry(key).or_default();
        speed.sampled_at = speed.sampled_at.max(now);
        speed.token.add(now, sample.token, memory, token_log);
        speed.first.add(now, sample.first, memory, 0.0);
        speed.usual.add(now, sample.first, USUAL_MEMORY, 0.0);
    }

    /// Returns whether there are no samples of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Returns the servers with samples that were not reported yet.
    pub fn unreported(&self) -> impl Iterator<Item = ServerKey> {
        let pending = self.servers.iter().filter(|(_, speed)| !speed.pending.is_empty());
        pending.map(|(key, _)| *key)
    }

    /// Removes and returns the samples of a server that were not reported yet; `None` without any.
    pub fn take_report(&mut self, key: ServerKey, start: u16) -> Option<SpeedReport> {
        let pending = std::mem::take(&mut self.servers.get_mut(&key)?.pending);
        (!pending.is_empty()).then_some(SpeedReport {
            start,
            token: pending.token,
            first: pending.first,
        })
    }

    /// Returns the ratios in use. An engine without samples has the mean ratios of its service, so that
    /// short runs show its speed before long ones are placed there; among alike engines these are 1.
    pub fn ratios(&self, key: ServerKey, service: &str) -> SpeedRatios {
        let mean = self.means.get(service).copied().unwrap_or_default();
        match self.servers.get(&key) {
            Some(speed) if speed.token.weight > 0.0 => speed.ratios,
            Some(speed) => SpeedRatios { token: mean.token, ..speed.ratios },
            None => mean,
        }
    }

    /// Iterates over all servers with their ratios in use.
    pub fn iter(&self) -> impl Iterator<Item = (ServerKey, SpeedRatios)> {
        self.servers.iter().map(|(key, speed)| (*key, speed.ratios))
    }

    /// Returns the time since the last sample of a server; `None` without samples.
    pub fn age(&self, now: Timestamp, key: ServerKey) -> Option<Duration> {
        self.servers.get(&key).map(|speed| now.since(speed.sampled_at))
    }

    /// Returns the usual time of a plain server relative to the expected one, or without samples of it
    /// the median of the servers `keys` of its service. `None` with too few samples of the service.
    pub fn usual_first(&self, now: Timestamp, key: ServerKey, keys: &[ServerKey]) -> Option<f64> {
        let usual = |key: &ServerKey| self.servers.get(key)?.usual.mean(now, USUAL_MEMORY);
        let known: Vec<(f64, f64)> = keys.iter().filter_map(usual).collect();
        if known.iter().map(|(_, weight)| weight).sum::<f64>() < USUAL_WEIGHT_MIN {
            return None;
        }
        let mut means: Vec<f64> = known.into_iter().map(|(mean, _)| mean).collect();
        means.sort_by(f64::total_cmp);
        let median = means[(means.len() - 1) / 2];
        Some(usual(&key).map_or(median, |(mean, _)| mean).exp())
    }

    /// Compares the servers of each service with one another and updates the ratios in use. Forgets
    /// removed servers and expired estimates. `target` returns `None` for a service whose servers
    /// are not to be compared. Returns the changes.
    pub fn refresh(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        target: impl Fn(&str) -> Option<SpeedTarget>,
    ) -> Vec<SpeedChange> {
        let mut changes = Vec::new();
        let mut services: IndexMap<&Arc<str>, Vec<ServerKey>> = IndexMap::new();
        self.servers.retain(|key, speed| {
            let Some(record) = directory.get(*key).filter(|record| !record.is_removed) else {
                return false;
            };
            let Some(target) = target(&record.entry.service) else { return false };
            let age = now.since(speed.sampled_at);
            if age >= target.params().expiry {
                let ratios = SpeedRatios::default();
                let has_samples = speed.token.weight + speed.first.weight > 0.0;
                if has_samples {
                    changes.push(SpeedChange { key: *key, ratios, age, is_expired: true });
                }
                (speed.token, speed.first) = (DecayedMean::default(), DecayedMean::default());
                speed.ratios = ratios;
                return !target.is_engine && age < USUAL_EXPIRY;
            }
            services.entry(&record.entry.service).or_default().push(*key);
            true
        });
        self.means.clear();
        for (service, keys) in services {
            let Some(target) = target(service) else { continue };
            let params = target.params();
            let token_median = self.median(now, &keys, &params, |speed| &speed.token);
            let first_median = self.median(now, &keys, &params, |speed| &speed.first);
            for &key in &keys {
                let speed = &mut self.servers[&key];
                let token = speed.token.ratio(now, &params, token_median);
                let first = speed.first.ratio(now, &params, first_median);
                let token = params.ratio_in_use(params.token_band, speed.ratios.token, token);
                let run_limit = token_median
                    .filter(|_| token > 1.0)
                    .and_then(|median| run_limit(target.gap_objective?, median.exp() * token));
                let first = params.ratio_in_use(params.first_band, speed.ratios.first, first);
                let ratios = SpeedRatios { token, first, run_limit };
                if (ratios.token, ratios.first) != (speed.ratios.token, speed.ratios.first) {
                    let age = now.since(speed.sampled_at);
                    changes.push(SpeedChange { key, ratios, age, is_expired: false });
                }
                speed.ratios = ratios;
            }
            if target.is_engine {
                self.means.insert(Arc::clone(service), self.mean(&keys));
            }
        }
        changes
    }

    fn mean(&self, keys: &[ServerKey]) -> SpeedRatios {
        let sampled = keys.iter().map(|key| &self.servers[key]);
        let sampled = sampled.filter(|speed| speed.token.weight > 0.0);
        let (mut token, mut first, mut count) = (0.0, 0.0, 0.0);
        for speed in sampled {
            token += speed.ratios.token;
            first += speed.ratios.first;
            count += 1.0;
        }
        if count == 0.0 {
            return SpeedRatios::default();
        }
        SpeedRatios { token: token / count, first: first / count, run_limit: None }
    }

    /// Returns the median of the logarithms over servers with samples; of an even number, the faster
    /// of the two in the middle. `None` with fewer than two such servers.
    fn median(
        &self,
        now: Timestamp,
        keys: &[ServerKey],
        params: &SpeedParams,
        mean: impl Fn(&ServerSpeed) -> &DecayedMean,
    ) -> Option<f64> {
        let known = keys.iter().filter_map(|key| mean(&self.servers[key]).mean(now, params.memory));
        let mut means: Vec<f64> = known
            .filter(|(_, weight)| *weight >= MEDIAN_WEIGHT_MIN)
            .map(|(mean, _)| mean)
            .collect();
        means.sort_by(f64::total_cmp);
        (means.len() >= 2).then(|| means[(means.len() - 1) / 2])
    }
}

/// Returns the most runs with which an engine keeps a target for pauses, at least one. `slowness` is its
/// time for a token relative to the common kind.
fn run_limit(objective: Duration, slowness: f64) -> Option<u32> {
    let event = |running| step_millis(running) * TOKENS_PER_EVENT as f64 * PROMPT_STEP_FACTOR;
    let longest = objective.as_secs_f64() * 1e3 / slowness.max(f64::MIN_POSITIVE);
    let further = (longest - event(1)) / (event(2) - event(1));
    (further < f64::from(u16::MAX)).then(|| 1 + further.max(0.0) as u32)
}
