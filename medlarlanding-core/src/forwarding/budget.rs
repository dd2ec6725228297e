//! Budget for sending requests to a second server, shared by all instances without talk.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Width of one count in the sliding window.
const BUCKET: Duration = Duration::from_millis(500);

/// Figures of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetParams {
    /// Repeats allowed per request, from the platform's settings.
    pub ratio: f64,
    /// Window over which the platform counts.
    pub window: Duration,
    /// Repeats allowed in a window beside the ratio, over all instances.
    pub slack: f64,
}

/// What a repeat is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPurpose {
    /// A failed request to a plain service is sent once more.
    Retry,
    /// A generation that an engine refused is sent to another one.
    Restart,
    /// A running generation goes on at another engine; without it the generation is lost.
    Move,
}

impl RepeatPurpose {
    /// Part of the allowance that may be used; engines share theirs between restarts and moves.
    /// The rest is kept for requests that the platform counts in another window than this
    /// instance does.
    fn margin(self) -> f64 {
        match self {
            Self::Retry => 0.85,
            Self::Restart => 0.3,
            Self::Move => 0.55,
        }
    }
}

impl Default for BudgetParams {
    fn default() -> Self {
        Self { ratio: 0.2, window: Duration::from_secs(10), slack: 0.0 }
    }
}

#[derive(Clone, Copy, Debug)]
struct BudgetBucket {
    start: Timestamp,
    requests: u32,
    repeats: u32,
}

/// Counts requests and repeats of one service at one instance.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    /// Counts in rising order of time; none is older than one window and one bucket.
    buckets: VecDeque<BudgetBucket>,
}

impl RepeatBudget {
    /// Counts a request's first send.
    pub fn record_request(&mut self, now: Timestamp, params: &BudgetParams) {
        self.bucket(now, params).requests += 1;
    }

    /// Takes one repeat out of the budget if the share of this instance allows it.
    ///
    /// `instances` is the number of live instances, which divide the slack evenly.
    pub fn try_repeat(
        &mut self,
        now: Timestamp,
        params: &BudgetParams,
        purpose: RepeatPurpose,
        instances: usize,
    ) -> bool {
        self.bucket(now, params);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = params.slack / instances.max(1) as f64;
        let allowed = purpose.margin() * (params.ratio * f64::from(requests) + share);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.bucket(now, params).repeats += 1;
        true
    }

    fn bucket(&mut self, now: Timestamp, params: &BudgetParams) -> &mut BudgetBucket {
        let horizon = params.window + BUCKET;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > horizon) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= BUCKET) {
            self.buckets.push_back(BudgetBucket { start: now, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
