//! Forecasts how long a generation waits for room behind others.
//!
//! Load pattern: engines leave with two seconds of notice and are replaced some seconds later, or callers
//! come in a burst. For that time more latency-tolerant runs arrive than are placed. Those that are
//! served first keep arriving, so the number of runs ahead alone says little: a run waits until the
//! placements of some seconds exceed the arrivals that are served before it.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Shortest time over which a rate is computed; the resolution of the clock.
const SPAN_MIN: Duration = Duration::from_millis(1);

/// Parameters of the forecast.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BacklogParams {
    /// Time over which placements and arrivals are counted. Engines come and go every few seconds; a
    /// shorter time would take each dip in capacity for a lasting one.
    pub window: Duration,
    /// Most arrivals and placements that are kept.
    pub capacity: usize,
    /// Shortest time over which rates are computed. Before it has passed there is no forecast: a
    /// coordinator that has just begun has placed nothing yet, although the engines have room.
    pub window_min: Duration,
}

impl Default for BacklogParams {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(4),
            capacity: 4_096,
            window_min: Duration::from_millis(500),
        }
    }
}

/// Recent arrivals and placements of latency-tolerant runs of one service.
#[derive(Clone, Debug, Default)]
pub struct BacklogForecast {
    params: BacklogParams,
    /// Times and value densities of arrivals, oldest first.
    arrivals: VecDeque<(Timestamp, f64)>,
    /// Times of placements, oldest first.
    placements: VecDeque<Timestamp>,
    /// When the first arrival was recorded after a time of `window` without any. An instance that
    /// becomes the coordinator again begins anew.
    begun_at: Option<Timestamp>,
}

impl BacklogForecast {
    /// Records a run that asks for the first time.
    pub fn record_arrival(&mut self, now: Timestamp, value_density: f64) {
        self.evict(now);
        if self.arrivals.is_empty() && self.placements.is_empty() {
            self.begun_at = Some(now);
        }
        self.arrivals.push_back((now, value_density));
    }

    /// Records a run that was placed.
    pub fn record_placement(&mut self, now: Timestamp) {
        self.evict(now);
        self.placements.push_back(now);
    }

    /// Returns the expected time until a run is placed that `ahead` waiting runs are ahead of;
    /// `Duration::MAX` if as many runs arrive that are served before it as are placed, and 0 if there is
    /// no forecast.
    pub fn expected_wait(&self, now: Timestamp, value_density: f64, ahead: usize) -> Duration {
        let observed = self.begun_at.map_or(Duration::ZERO, |begun_at| now.since(begun_at));
        if ahead == 0 || observed < self.params.window_min {
            return Duration::ZERO;
        }
        let span = observed.min(self.params.window);
        // Entries that fill the capacity may cover less than the window.
        let seconds = |oldest: Option<Timestamp>, count: usize| {
            let is_full = count >= self.params.capacity;
            let covered = oldest.filter(|_| is_full).map_or(span, |at| now.since(at).min(span));
            covered.max(SPAN_MIN).as_secs_f64()
        };
        let placement_s = seconds(self.placements.front().copied(), self.placements.len());
        let arrival_s = seconds(self.arrivals.front().map(|(at, _)| *at), self.arrivals.len());
        let is_recent = |at: Timestamp| now.since(at) < self.params.window;
        let placed = self.placements.iter().filter(|at| is_recent(**at)).count();
        let before =
            self.arrivals.iter().filter(|(at, density)| is_recent(*at) && *density > value_density);
        let net_rate = placed as f64 / placement_s - 0.5 * before.count() as f64 / arrival_s;
        if net_rate <= 0.0 {
            return Duration::MAX;
        }
        Duration::try_from_secs_f64(ahead as f64 / net_rate).unwrap_or(Duration::MAX)
    }

    fn evict(&mut self, now: Timestamp) {
        let params = self.params;
        let is_old = |at: Timestamp| now.since(at) >= params.window;
        while self.arrivals.front().is_some_and(|(at, _)| is_old(*at))
            || self.arrivals.len() >= params.capacity
        {
            self.arrivals.pop_front();
        }
        while self.placements.front().is_some_and(|at| is_old(*at))
            || self.placements.len() >= params.capacity
        {
            self.placements.pop_front();
        }
    }
}
