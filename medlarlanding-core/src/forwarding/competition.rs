//! Admits the generations of all instances that compete for the engines of one service.
//!
//! Load pattern: engines are full for most of the day. Long generations that can wait for seconds and
//! short ones that cannot ask for the same room, and the runs of leaving engines ask for room too. Held
//! by the coordinator; a new coordinator begins without it, and waiting runs ask again within 50 ms.

use std::time::Duration;

use super::backlog::BacklogForecast;
use super::load::LatencyClass;
use super::messages::RunBacklog;
use super::room_reserve::{CriticalDemand, RoomReserve};
use super::waiting::{QueuedRun, RunKey, WaitingClass, WaitingRuns};
use crate::time::Timestamp;

/// Generations that compete for the engines of one service.
#[derive(Debug, Default)]
pub struct ServiceCompetition {
    /// Generations that wait for room.
    waiting: WaitingRuns,
    /// Arrivals of latency-critical generations.
    critical: CriticalDemand,
    /// Arrivals and placements of latency-tolerant generations.
    backlog: BacklogForecast,
}

impl ServiceCompetition {
    /// Returns the room that a new run must leave for latency-critical ones. `due` is the time until its
    /// first event is due; `None` if it will be late.
    pub fn reserve(
        &self,
        now: Timestamp,
        latency: LatencyClass,
        due: Option<Duration>,
    ) -> Option<RoomReserve> {
        match latency {
            LatencyClass::Tolerant => self.critical.reserve(now, due?),
            LatencyClass::Uniform | LatencyClass::Critical => None,
        }
    }

    /// Returns the room that a run which moves off a leaving engine must leave.
    pub fn move_reserve(&self, now: Timestamp, latency: LatencyClass) -> Option<RoomReserve> {
        self.reserve(now, latency, Some(Duration::MAX))
    }

    /// Returns the room that is kept for latency-critical runs; `None` while few arrive.
    pub fn kept_room(&self, now: Timestamp) -> Option<RoomReserve> {
        self.critical.reserve(now, Duration::MAX)
    }

    /// Returns the number of runs that wait.
    pub fn waiting_count(&self, now: Timestamp) -> usize {
        self.waiting.count(now)
    }

    /// Admits a run that asks for room, if the room is not needed for waiting runs ahead of it.
    ///
    /// # Errors
    ///
    /// Returns what the run waits for.
    pub fn admit(
        &mut self,
        now: Timestamp,
        run: QueuedRun,
        due: Option<Duration>,
        servers_with_room: usize,
    ) -> std::result::Result<(), RunBacklog> {
        if !self.waiting.contains(run.key) {
            self.record_arrival(now, run, due);
        }
        match self.waiting.admit(now, run, servers_with_room) {
            Ok(()) => {
                if run.latency == LatencyClass::Tolerant {
                    self.backlog.record_placement(now);
                }
                Ok(())
            },
            Err(ahead) => Err(self.backlog_of(now, run, ahead)),
        }
    }

    /// Records whether a run that moves off a leaving engine has found a destination. Without one it
    /// waits ahead of new runs that can wait too.
    pub fn record_move(
        &mut self,
        now: Timestamp,
        key: RunKey,
        latency: LatencyClass,
        is_placed: bool,
    ) {
        if is_placed {
            self.waiting.remove(key);
        } else if latency != LatencyClass::Uniform {
            self.waiting.enqueue(now, key, WaitingClass::Moving, 0.0);
        }
    }

    fn record_arrival(&mut self, now: Timestamp, run: QueuedRun, due: Option<Duration>) {
        match (run.latency, due) {
            (LatencyClass::Critical, Some(due)) => self.critical.record(now, run.weight, due),
            (LatencyClass::Tolerant, Some(_)) => {
                let density = self.waiting.value_density(run.weight);
                self.backlog.record_arrival(now, density);
            },
            (LatencyClass::Critical | LatencyClass::Tolerant, None)
            | (LatencyClass::Uniform, _) => {},
        }
    }

    /// Returns what a run waits for that `ahead` runs are ahead of.
    fn backlog_of(&self, now: Timestamp, run: QueuedRun, ahead: usize) -> RunBacklog {
        let wait = match run.latency {
            LatencyClass::Tolerant => {
                let density = self.waiting.value_density(run.weight);
                self.backlog.expected_wait(now, density, ahead)
            },
            LatencyClass::Uniform | LatencyClass::Critical => Duration::ZERO,
        };
        RunBacklog {
            ahead: ahead.min(usize::from(u16::MAX)) as u16,
            wait_ms: wait.as_millis().min(u32::MAX.into()) as u32,
        }
    }
}
