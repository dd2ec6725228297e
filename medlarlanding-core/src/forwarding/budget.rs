//! Budget for sending requests to a second server; instances keep to it without communicating.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Period over which one bucket of the sliding window counts.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);

/// Parameters of the budget.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetParams {
    /// Repeats allowed for each request, from the platform's settings.
    pub ratio: f64,
    /// Length of the window over which the platform counts requests and repeats.
    pub window: Duration,
    /// Repeats allowed in each window in addition to `ratio`, summed over all instances.
    pub slack: f64,
}

/// Why a request is sent to another server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatPurpose {
    /// A request to a plain service failed.
    Retry,
    /// A request to a plain service is late at its first server.
    Hedge,
    /// An engine refused a generation.
    Restart,
    /// A running generation continues on another engine; without the repeat it is lost.
    Move,
}

impl RepeatPurpose {
    /// Returns the fraction of the allowance that repeats for this purpose may use. Restarts and
    /// moves are budgeted separately and divide the allowance of an engine service. Hedges leave a
    /// part of that of a plain service for retries, without which requests fail.
    ///
    /// The remainder is a margin for requests that the platform counts in a different window
    /// than this instance does.
    fn allowance_fraction(self) -> f64 {
        match self {
            Self::Retry => 0.85,
            Self::Hedge => 0.6,
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

/// Counts the requests and repeats of one service that one instance accounts for.
#[derive(Debug, Default)]
pub struct RepeatBudget {
    /// Buckets, oldest first; none started longer ago than one window and one bucket width.
    buckets: VecDeque<BudgetBucket>,
}

impl RepeatBudget {
    /// Counts a request when it is first sent.
    pub fn record_request(&mut self, now: Timestamp, params: &BudgetParams) {
        self.current_bucket(now, params).requests += 1;
    }

    /// Counts one repeat and returns true if this instance's share of the budget allows it.
    ///
    /// `instances` is the number of instances that divide the slack evenly.
    pub fn try_repeat(
        &mut self,
        now: Timestamp,
        params: &BudgetParams,
        purpose: RepeatPurpose,
        instances: usize,
    ) -> bool {
        self.current_bucket(now, params);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let repeats: u32 = self.buckets.iter().map(|bucket| bucket.repeats).sum();
        let share = params.slack / instances.max(1) as f64;
        let allowed = purpose.allowance_fraction() * (params.ratio * f64::from(requests) + share);
        if f64::from(repeats) + 1.0 > allowed {
            return false;
        }
        self.current_bucket(now, params).repeats += 1;
        true
    }

    /// Removes expired buckets and returns the bucket for `now`.
    fn current_bucket(&mut self, now: Timestamp, params: &BudgetParams) -> &mut BudgetBucket {
        let retention = params.window + BUCKET_WIDTH;
        while self.buckets.front().is_some_and(|bucket| now.since(bucket.start) > retention) {
            self.buckets.pop_front();
        }
        if self.buckets.back().is_none_or(|bucket| now.since(bucket.start) >= BUCKET_WIDTH) {
            self.buckets.push_back(BudgetBucket { start: now, requests: 0, repeats: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
