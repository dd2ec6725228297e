//! Engines that many instances see fail.
//!
//! Load pattern: an engine resets or ignores what it is sent while its entry and its health
//! probe say that it is sound. A fleet of 88 instances sends each engine two requests a second,
//! so that one instance sees a second fault only when many callers have lost their answers.
//! Instances therefore report faults to the one that places generations, which counts them.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

use indexmap::IndexMap;

/// Figures of the suspicion.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionParams {
    /// Faults are counted over this time: a sound engine starts about four runs in it.
    pub window: Duration,
    /// Faults within the window after which an engine is avoided; after it was avoided one
    /// fault shows that it is still bad.
    pub limit: usize,
    /// Time for which an engine is avoided at first; doubles up to `avoid_max`.
    pub avoid_min: Duration,
    /// Longest time for which an engine is avoided before runs try it again; servers that go
    /// down and up by turns are down for 1 to 2 s.
    pub avoid_max: Duration,
    /// An engine without faults for this long starts anew at `avoid_min`.
    pub forget: Duration,
}

impl Default for SuspicionParams {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            limit: 3,
            avoid_min: Duration::from_secs(1),
            avoid_max: Duration::from_secs(2),
            forget: Duration::from_secs(10),
        }
    }
}

#[derive(Debug, Default)]
struct FaultRecord {
    /// Faults within the window since the engine was last avoided, oldest first.
    faults: VecDeque<Timestamp>,
    /// How often the engine was avoided in a row.
    avoided: u32,
    /// Faults before this time belong to runs that were sent before the engine was avoided.
    avoid_until: Timestamp,
    /// Last fault.
    last: Timestamp,
}

/// Faults of engines, reported by all instances.
#[derive(Debug, Default)]
pub struct FaultLog {
    params: SuspicionParams,
    engines: IndexMap<u64, FaultRecord>,
}

impl FaultLog {
    /// Counts a fault of the engine with this hash of its id. Returns for how long to avoid the
    /// engine if there were too many.
    pub fn record(&mut self, now: Timestamp, engine: u64) -> Option<Duration> {
        let params = self.params;
        self.engines.retain(|_, record| now.since(record.last) < params.forget);
        let record = self.engines.entry(engine).or_default();
        record.last = now;
        if now < record.avoid_until {
            return None;
        }
        record.faults.push_back(now);
        while record.faults.front().is_some_and(|at| now.since(*at) >= params.window) {
            record.faults.pop_front();
        }
        let limit = if record.avoided == 0 { params.limit } else { 1 };
        if record.faults.len() < limit {
            return None;
        }
        record.faults.clear();
        let doublings = record.avoided.min(16);
        record.avoided += 1;
        let period = params.avoid_min.saturating_mul(1 << doublings).min(params.avoid_max);
        record.avoid_until = now + period;
        Some(period)
    }
}
