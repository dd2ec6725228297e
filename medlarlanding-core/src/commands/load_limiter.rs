//! Limits the rate at which one instance has engines load model weights.

use std::time::Duration;

use crate::time::Timestamp;

/// Delays loads so that all instances together stay within the rate that the store of model
/// weights allows.
///
/// Each live instance uses an equal part of the rate. While instances disagree on the number of
/// live instances, the total rate differs from the limit in the same ratio.
#[derive(Clone, Debug)]
pub struct LoadLimiter {
    /// Minimum time between two loads over all instances.
    interval: Duration,
    /// Number of live instances, which share the rate; at least 1.
    instances: u32,
    last: Option<Timestamp>,
}

impl LoadLimiter {
    /// Creates a limiter for `loads_per_minute` over all instances; 0 counts as 1.
    pub fn new(loads_per_minute: u32) -> Self {
        let interval = Duration::from_secs(60) / loads_per_minute.max(1);
        Self { interval, instances: 1, last: None }
    }

    /// Sets the number of live instances.
    pub fn set_instances(&mut self, instances: usize) {
        self.instances = u32::try_from(instances).unwrap_or(u32::MAX).max(1);
    }

    /// Returns the earliest time of the next load, or `None` if there was no load before.
    pub fn next_allowed(&self) -> Option<Timestamp> {
        self.last.map(|last| last + self.interval.saturating_mul(self.instances))
    }

    /// Returns whether a load may start at `now`, and if so records it.
    pub fn try_acquire(&mut self, now: Timestamp) -> bool {
        let allowed = self.next_allowed().is_none_or(|next| next <= now);
        if allowed {
            self.last = Some(now);
        }
        allowed
    }
}
