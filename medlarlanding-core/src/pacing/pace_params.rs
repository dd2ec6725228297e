//! Limits and intervals of slow start.

use std::time::Duration;

/// Limits and intervals of [`ServerPace`](super::ServerPace).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceParams {
    /// Fraction of its slots with which a server starts: 6 of 24. Cold engines tolerate 30 requests
    /// per second, and 6 prompts of 3,000 tokens keep an engine busy for 1.3 s.
    pub start_share: f64,
    /// Fraction of its slots with which a server returns that was avoided or whose zone is restored. It
    /// is not cold, so callers lose more by an idle server than by a slightly busy one.
    pub return_share: f64,
    /// Time of an answer relative to the peers up to which the limit rises. A full batch makes the
    /// steps of an engine 1.4 times as long.
    pub near_ratio: f64,
    /// Time of an answer relative to the peers above which the limit falls.
    pub slow_ratio: f64,
    /// Weight of a new answer in the smoothed ratio.
    pub smoothing: f64,
    /// Answers after a change of the limit that are needed to lower it, if one place receives the
    /// answers to all requests.
    pub verdict_answers: u32,
    /// Factor by which the limit falls.
    pub decrease: f64,
    /// Fraction of the limit at the last decrease up to which the limit rises during a hold.
    pub hold_share: f64,
    /// Time after the first decrease for which the limit stays below the one at which it fell. Grows by
    /// `hold_growth` with each further decrease up to `hold_max`.
    pub hold_min: Duration,
    /// Factor by which holds grow. With 2, each of 74 independent instances sends a slow server 7
    /// requests in two minutes instead of 4.
    pub hold_growth: u32,
    /// Longest hold. With 64 s, a server that can never take its full load is probed 56 times an hour.
    pub hold_max: Duration,
    /// Shortest time between two decreases for failures, which often come in bursts.
    pub failure_gap: Duration,
    /// Time after which an instance that decides independently doubles its limit unless its own answers
    /// are slow. From 2 to 74 takes 1.5 s.
    pub blind_step: Duration,
    /// Time without a slow or failed answer after which a server leaves the ramp, even if it had too few
    /// requests to reach its slots.
    pub calm_end: Duration,
    /// Slow verdicts in a row after which slowness counts as the server's own speed, because fewer
    /// requests do not make it faster.
    pub own_speed_verdicts: u32,
    /// Shortest time from the first of these verdicts to the last; longer than a server is cold.
    pub own_speed_after: Duration,
    /// Largest ratio that counts as a server's own speed: engines take 5.7 to 21 ms per token.
    pub own_speed_max: f64,
}

impl Default for PaceParams {
    fn default() -> Self {
        Self {
            start_share: 0.25,
            return_share: 0.5,
            near_ratio: 1.5,
            slow_ratio: 2.5,
            smoothing: 0.3,
            verdict_answers: 3,
            decrease: 0.5,
            hold_share: 0.75,
            hold_min: Duration::from_secs(1),
            hold_growth: 4,
            hold_max: Duration::from_secs(64),
            failure_gap: Duration::from_millis(300),
            blind_step: Duration::from_millis(250),
            calm_end: Duration::from_secs(10),
            own_speed_verdicts: 3,
            own_speed_after: Duration::from_secs(3),
            own_speed_max: 4.0,
        }
    }
}
