//! Runs whose answers ended before their engines showed that they survive the prompts.
//!
//! Load pattern: an engine ends about 0.1 s after it has begun to write on a fatal part. An answer of a
//! few tokens is complete by then, and a caller may have left. Such a run is not among those that the end
//! of the engine breaks off, and its complete answer shows nothing yet.

use std::time::Duration;

use super::parts::{PromptParts, RunPhase, SURVIVAL_TIME};
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Time for which a run is kept without a sign of life of its engine. The entry of an engine that
/// ended is gone after about 4 s.
const RETENTION: Duration = Duration::from_secs(5);
/// Most runs that are kept for one engine; the oldest are dropped.
const RUN_LIMIT: usize = 64;

/// A run whose answer has ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FinishedRun {
    /// Hash of the request's id.
    pub run: u64,
    /// Parts of its prompt.
    pub parts: PromptParts,
    /// Progress of the run when its answer ended.
    pub phase: RunPhase,
    /// When the head of its stream arrived, or else when the request was sent: nothing of the answer was
    /// written before.
    pub begun_at: Timestamp,
    /// When its engine had begun to write at the latest.
    pub written_at: Timestamp,
    /// The answer is a complete success, so that the engine has written all of it.
    pub is_complete: bool,
}

impl FinishedRun {
    /// Returns when the engine will have survived the prompt.
    pub fn settles_at(&self) -> Timestamp {
        self.written_at + SURVIVAL_TIME
    }
}

/// Finished runs of one engine; there is at least one.
#[derive(Debug, Default)]
struct EngineRuns {
    /// When the engine last gave a sign of life.
    heard_at: Timestamp,
    /// In the order in which their answers ended.
    runs: Vec<FinishedRun>,
}

/// Finished runs that are not settled, by the hashes of their engines' starts.
#[derive(Debug, Default)]
pub struct FinishedRuns {
    engines: IndexMap<u64, EngineRuns>,
}

impl FinishedRuns {
    /// Adds a run of an engine whose answer ended at `now`.
    pub fn add(&mut self, now: Timestamp, engine: u64, run: FinishedRun) {
        self.engines.retain(|_, it| {
            it.runs.retain(|run| now.since(run.written_at) < RETENTION);
            !it.runs.is_empty()
        });
        let runs = self.engines.entry(engine).or_default();
        runs.heard_at = runs.heard_at.max(if run.is_complete { now } else { run.written_at });
        runs.runs.push(run);
        if runs.runs.len() > RUN_LIMIT {
            runs.runs.remove(0);
        }
    }

    /// Records a sign of life of an engine. Returns the complete runs that it has survived thereby.
    pub fn hear(&mut self, now: Timestamp, engine: u64) -> Vec<FinishedRun> {
        let Some(runs) = self.engines.get_mut(&engine) else { return Vec::new() };
        runs.heard_at = runs.heard_at.max(now);
        if runs.runs.iter().all(|run| run.settles_at() > now) {
            return Vec::new();
        }
        let all = std::mem::take(&mut runs.runs);
        let (settled, open) = all.into_iter().partition(|run| run.settles_at() <= now);
        runs.runs = open;
        if runs.runs.is_empty() {
            self.engines.swap_remove(&engine);
        }
        let mut survivors: Vec<FinishedRun> = settled;
        survivors.retain(|run| run.is_complete);
        survivors
    }

    /// Returns whether a run of an engine is not settled.
    pub fn is_open(&self, engine: u64, run: u64) -> bool {
        self.engines.get(&engine).is_some_and(|it| it.runs.iter().any(|open| open.run == run))
    }

    /// Removes the runs of an engine that has ended. Returns those on which it may have ended: it had
    /// not given a sign of life for long after it began to write on them.
    pub fn end(&mut self, engine: u64) -> Vec<FinishedRun> {
        let Some(EngineRuns { heard_at, mut runs }) = self.engines.swap_remove(&engine) else {
            return Vec::new();
        };
        runs.retain(|run| run.written_at + RunPhase::BEGINNING >= heard_at);
        runs
    }
}
