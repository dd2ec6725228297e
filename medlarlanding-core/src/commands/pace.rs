//! Share of the weight store's rate that one instance may use.

use std::time::Duration;

use crate::time::Timestamp;

/// Spaces loads so that all instances together stay within the weight store's rate.
///
/// Each live instance uses an equal part of the rate. While two instances disagree on the
/// number of live ones, the sum is off by the same ratio.
#[derive(Clone, Debug)]
pub struct LoadPace {
    /// Time between two loads of the whole fleet.
    fleet_interval: Duration,
    /// Number of instances that share the rate; at least 1.
    sharers: u32,
    last: Option<Timestamp>,
}

impl LoadPace {
    /// Creates a pace of `loads_per_minute` over the fleet; 0 counts as 1.
    pub fn new(loads_per_minute: u32) -> Self {
        let fleet_interval = Duration::from_secs(60) / loads_per_minute.max(1);
        Self { fleet_interval, sharers: 1, last: None }
    }

    /// Sets the number of live instances.
    pub fn share(&mut self, instances: usize) {
        self.sharers = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    }

    /// Returns the earliest time of the next load, or `None` if it may start at once.
    pub fn next(&self) -> Option<Timestamp> {
        self.last.map(|last| last + self.fleet_interval.saturating_mul(self.sharers))
    }

    /// Takes a load at `now`. Returns whether the pace allows it.
    pub fn try_take(&mut self, now: Timestamp) -> bool {
        let allowed = self.next().is_none_or(|next| next <= now);
        if allowed {
            self.last = Some(now);
        }
        allowed
    }
}
