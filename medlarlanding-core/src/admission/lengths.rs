//! Length distribution of a route's answers, estimated from observed generations.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{InstanceId, RouteId};
use crate::time::Timestamp;

use super::messages::LengthBin;

/// Number of bins; the last one starts at 114,688 tokens.
const BINS: usize = 56;
/// Weight of the prior in each bin, in generations. One generation, so that observations soon
/// outweigh it.
const PRIOR_WEIGHT: f64 = 1.0;
/// Prior probability that an answer which reaches a bin ends in it. Low, so that long answers
/// are expected of a route without observations.
const PRIOR_HAZARD: f64 = 0.05;
/// Units per generation of the counts in messages, so that decayed counts keep their fractions.
const COUNT_SCALE: f64 = 16.0;

/// Returns the bin of a length: four bins of 4 tokens below 16 tokens, then four equal bins per
/// power of two.
fn bin_of(tokens: u32) -> usize {
    if tokens < 16 {
        return tokens as usize / 4;
    }
    let octave = tokens.ilog2() as usize;
    let quarter = (tokens >> (octave - 2)) as usize & 3;
    (4 + (octave - 4) * 4 + quarter).min(BINS - 1)
}

/// Returns the smallest length of a bin, in tokens.
fn bin_start(bin: usize) -> u32 {
    if bin < 4 {
        return bin as u32 * 4;
    }
    let octave = 4 + (bin - 4) / 4;
    let quarter = (bin - 4) as u32 % 4;
    (4 + quarter) << (octave - 2)
}

/// Probability that an answer is longer than a given number of tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct LengthCurve {
    /// Probability of reaching each bin's start: the first is 1, none is negative, and none is
    /// above the one before it.
    survival: Vec<f64>,
}

impl LengthCurve {
    fn from_counts(passed: &[f64], ended: &[f64]) -> Self {
        let mut survival = Vec::with_capacity(BINS + 1);
        let mut probability = 1.0;
        survival.push(probability);
        for (passed, ended) in passed.iter().zip(ended) {
            let ended = ended.max(0.0);
            let hazard =
                (ended + PRIOR_WEIGHT * PRIOR_HAZARD) / (passed.max(0.0) + ended + PRIOR_WEIGHT);
            probability *= 1.0 - hazard.clamp(0.0, 1.0);
            survival.push(probability);
        }
        Self { survival }
    }

    /// Returns the probability that an answer is longer than `tokens`, interpolated linearly
    /// within a bin.
    pub fn survival(&self, tokens: u32) -> f64 {
        let bin = bin_of(tokens);
        let start = f64::from(bin_start(bin));
        let width = f64::from(bin_start(bin + 1)) - start;
        let part = ((f64::from(tokens) - start) / width).clamp(0.0, 1.0);
        self.survival[bin] + (self.survival[bin + 1] - self.survival[bin]) * part
    }

    /// Returns the probability that an answer which has `decoded` tokens is still running after
    /// `more` tokens. Zero if that reaches `max_tokens`, unless `more` is zero.
    pub fn continuation_probability(&self, decoded: u32, more: u32, max_tokens: u32) -> f64 {
        let reached = decoded.saturating_add(more);
        if more > 0 && reached >= max_tokens {
            return 0.0;
        }
        let now = self.survival(decoded);
        if now <= 1e-12 { 1.0 } else { (self.survival(reached) / now).clamp(0.0, 1.0) }
    }

    /// Returns the expected number of tokens after the first `decoded`, for an answer of at most
    /// `max_tokens` in total.
    pub fn mean_remaining(&self, decoded: u32, max_tokens: u32) -> f64 {
        let now = self.survival(decoded);
        if now <= 1e-12 || decoded >= max_tokens {
            return 0.0;
        }
        let mut sum = 0.0;
        let mut at = decoded;
        let mut bin = bin_of(decoded);
        while at < max_tokens && bin < BINS {
            let end = bin_start(bin + 1).min(max_tokens);
            if end > at {
                let middle = (self.survival(at) + self.survival(end.saturating_sub(1))) / 2.0;
                sum += middle * f64::from(end - at);
                at = end;
            }
            bin += 1;
        }
        sum / now
    }

    /// Returns the length that half of the answers exceed, rounded up to the start of a bin.
    pub fn median(&self) -> u32 {
        let bin = self.survival.iter().position(|&probability| probability < 0.5).unwrap_or(BINS);
        bin_start(bin.min(BINS))
    }
}

/// Counts per bin of one route.
#[derive(Clone, Debug)]
struct LengthCounts {
    passed: Vec<f64>,
    ended: Vec<f64>,
}

impl LengthCounts {
    fn new() -> Self {
        Self { passed: vec![0.0; BINS], ended: vec![0.0; BINS] }
    }

    fn add(&mut self, other: &Self, factor: f64) {
        for (count, added) in self.passed.iter_mut().zip(&other.passed) {
            *count += added * factor;
        }
        for (count, added) in self.ended.iter_mut().zip(&other.ended) {
            *count += added * factor;
        }
    }
}

/// Observations of one route: those of this instance and the latest summary of each peer.
#[derive(Clone, Debug)]
struct RouteLengths {
    own: LengthCounts,
    /// Start of the peer's process, sequence number and counts of its latest summary.
    peers: BTreeMap<InstanceId, (u64, u64, LengthCounts)>,
    /// Sum of `own` and `peers`, stored so that it is not computed at each observation.
    sum: LengthCounts,
    curve: LengthCurve,
}

impl RouteLengths {
    fn new() -> Self {
        let counts = LengthCounts::new();
        let curve = LengthCurve::from_counts(&counts.passed, &counts.ended);
        Self { own: counts.clone(), peers: BTreeMap::new(), sum: counts, curve }
    }

    fn rebuild(&mut self) {
        let mut sum = self.own.clone();
        for (_, _, counts) in self.peers.values() {
            sum.add(counts, 1.0);
        }
        self.sum = sum;
        self.curve = LengthCurve::from_counts(&self.sum.passed, &self.sum.ended);
    }
}

value_type! {
    /// Length distribution of one route in the dump.
    pub struct RouteLengthsDump {
        /// The route.
        pub route: RouteId,
        /// Generations that ended by themselves at any instance, after decay.
        pub ended: u64,
        /// Number of peers whose summary is included.
        pub peers: usize,
        /// Mean length of a new answer, tokens.
        pub mean: u64,
        /// Length that half of the answers exceed, tokens.
        pub median: u32,
    }
}

/// Estimates the length distribution of each route.
///
/// Counts for each bin the generations that ended in it and those that decoded past it.
/// Generations that still run or were cancelled count as passed in the bins that they completed.
/// Otherwise the estimate would be biased towards short answers, which end first.
#[derive(Clone, Debug)]
pub struct LengthEstimator {
    half_life: Duration,
    routes: BTreeMap<RouteId, RouteLengths>,
    empty: LengthCurve,
    decayed_at: Timestamp,
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    pub fn new(half_life: Duration) -> Self {
        let zeros = vec![0.0; BINS];
        Self {
            half_life,
            routes: BTreeMap::new(),
            empty: LengthCurve::from_counts(&zeros, &zeros),
            decayed_at: Timestamp::default(),
        }
    }

    /// Returns the distribution of a route, or the prior for a route without observations.
    pub fn curve(&self, route: RouteId) -> &LengthCurve {
        self.routes.get(&route).map_or(&self.empty, |lengths| &lengths.curve)
    }

    /// Records that a generation advanced from `from` to `decoded` tokens and, if `ended`, that
    /// the model ended it there.
    pub fn observe(&mut self, route: RouteId, from: u32, decoded: u32, ended: bool) {
        let lengths = self.routes.entry(route).or_insert_with(RouteLengths::new);
        let (first, last) = (bin_of(from), bin_of(decoded));
        if first == last && !ended {
            return;
        }
        for bin in first..last {
            lengths.own.passed[bin] += 1.0;
            lengths.sum.passed[bin] += 1.0;
        }
        if ended {
            lengths.own.ended[last] += 1.0;
            lengths.sum.ended[last] += 1.0;
        }
        lengths.curve = LengthCurve::from_counts(&lengths.sum.passed, &lengths.sum.ended);
    }

    /// Decays the counts of this instance. The peers decay theirs before they send them.
    pub fn tick(&mut self, now: Timestamp) {
        let elapsed = now.since(self.decayed_at);
        // Decay in steps of a hundredth of the half-life keeps the cost negligible.
        if elapsed < self.half_life / 100 {
            return;
        }
        self.decayed_at = now;
        let factor = 0.5f64.powf(elapsed.as_secs_f64() / self.half_life.as_secs_f64());
        for lengths in self.routes.values_mut() {
            let own = lengths.own.clone();
            lengths.own.add(&own, factor - 1.0);
            lengths.rebuild();
        }
    }

    /// Returns the observations of this instance for each route, to be sent to a peer.
    pub fn summaries(&self) -> Vec<(RouteId, Vec<LengthBin>)> {
        let scale = |count: f64| (count * COUNT_SCALE).round() as u32;
        self.routes
            .iter()
            .map(|(&route, lengths)| {
                let bins = (0..BINS)
                    .map(|bin| LengthBin {
                        bin: bin as u8,
                        passed: scale(lengths.own.passed[bin]),
                        ended: scale(lengths.own.ended[bin]),
                    })
                    .filter(|bin| bin.passed > 0 || bin.ended > 0)
                    .collect();
                (route, bins)
            })
            .collect()
    }

    /// Replaces the summary of a peer, unless it has the same age as the known one or is older.
    /// `started` is the start of the peer's process.
    pub fn replace_summary(
        &mut self,
        peer: InstanceId,
        started: u64,
        seq: u64,
        route: RouteId,
        bins: &[LengthBin],
    ) {
        let lengths = self.routes.entry(route).or_insert_with(RouteLengths::new);
        if lengths.peers.get(&peer).is_some_and(|known| (known.0, known.1) >= (started, seq)) {
            return;
        }
        let mut counts = LengthCounts::new();
        for bin in bins.iter().filter(|bin| (bin.bin as usize) < BINS) {
            counts.passed[bin.bin as usize] = f64::from(bin.passed) / COUNT_SCALE;
            counts.ended[bin.bin as usize] = f64::from(bin.ended) / COUNT_SCALE;
        }
        lengths.peers.insert(peer, (started, seq, counts));
        lengths.rebuild();
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> Vec<RouteLengthsDump> {
        self.routes
            .iter()
            .map(|(&route, lengths)| RouteLengthsDump {
                route,
                ended: lengths.sum.ended.iter().sum::<f64>().round() as u64,
                peers: lengths.peers.len(),
                mean: lengths.curve.mean_remaining(0, u32::MAX).round() as u64,
                median: lengths.curve.median(),
            })
            .collect()
    }
}
