//! Detects failing engines from the faults that all instances see.
//!
//! Load pattern: an engine resets or ignores requests while its entry and its health probe show no
//! fault. A fleet of 88 instances sends each engine two requests a second in total, so a single
//! instance sees its second fault only after many callers have lost their answers. Instances
//! therefore report faults to the coordinator, which counts them for the whole fleet.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

use indexmap::IndexMap;

/// Parameters of the detection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SuspicionParams {
    /// Period over which faults are counted; a healthy engine starts about four runs in it.
    pub window: Duration,
    /// Faults within the window after which an engine is first avoided. Afterwards a single fault
    /// shows that it still fails, and it is avoided again.
    pub fault_limit: usize,
    /// First period for which an engine is avoided; doubles with each further one up to
    /// `avoid_max`.
    pub avoid_min: Duration,
    /// Longest period for which an engine is avoided before runs try it again; servers that
    /// alternate between up and down are down for 1 to 2 s.
    pub avoid_max: Duration,
    /// Period for which an engine that has ended is avoided: its entry expires after 3.6 s.
    pub avoid_ended: Duration,
    /// Period without faults after which an engine's history is dropped, so that `fault_limit` and
    /// `avoid_min` apply again.
    pub retention: Duration,
}

impl Default for SuspicionParams {
    fn default() -> Self {
        Self {
            window: Duration::from_secs(2),
            fault_limit: 3,
            avoid_min: Duration::from_secs(1),
            avoid_max: Duration::from_secs(2),
            avoid_ended: Duration::from_secs(4),
            retention: Duration::from_secs(10),
        }
    }
}

/// Fault of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineFault {
    /// A request failed. Several of them make an engine suspect.
    Failed,
    /// A moved run was not admitted although the engine has its memory. Engines admit such runs
    /// before all others, so one that does not admits none.
    Unresponsive,
    /// Nothing listens at the engine's address. Its next start has another record.
    Ended,
}

#[derive(Debug, Default)]
struct FaultRecord {
    /// Faults within the window since the engine was last avoided, oldest first.
    faults: VecDeque<Timestamp>,
    /// Number of periods for which the engine was avoided.
    avoided_count: u32,
    /// End of the last period. Faults before it are from runs sent before the engine was avoided
    /// and do not count.
    avoid_until: Timestamp,
    /// When the last fault was reported.
    last_fault_at: Timestamp,
}

/// Faults of engines that all instances reported.
#[derive(Debug, Default)]
pub struct FaultLog {
    params: SuspicionParams,
    engines: IndexMap<u64, FaultRecord>,
}

impl FaultLog {
    /// Counts a fault of the engine whose id has the hash `engine`. Returns how long to avoid the
    /// engine if its faults have reached the limit.
    pub fn record(&mut self, now: Timestamp, engine: u64, fault: EngineFault) -> Option<Duration> {
        let params = self.params;
        self.engines.retain(|_, record| now.since(record.last_fault_at) < params.retention);
        let record = self.engines.entry(engine).or_default();
        record.last_fault_at = now;
        let limit = match fault {
            EngineFault::Ended => {
                // Each instance that notices the end reports it.
                let is_known = now + params.avoid_ended / 2 < record.avoid_until;
                record.avoid_until = record.avoid_until.max(now + params.avoid_ended);
                return (!is_known).then_some(params.avoid_ended);
            },
            EngineFault::Failed if record.avoided_count == 0 => params.fault_limit,
            EngineFault::Failed | EngineFault::Unresponsive => 1,
        };
        if now < record.avoid_until {
            return None;
        }
        record.faults.push_back(now);
        while record.faults.front().is_some_and(|at| now.since(*at) >= params.window) {
            record.faults.pop_front();
        }
        if record.faults.len() < limit {
            return None;
        }
        record.faults.clear();
        let doublings = record.avoided_count.min(16);
        record.avoided_count += 1;
        let period = params.avoid_min.saturating_mul(1 << doublings).min(params.avoid_max);
        record.avoid_until = now + period;
        Some(period)
    }
}
