//! Slow start of the engines that one instance manages.

use std::time::Duration;

use super::controller::ServerCapacity;
use crate::ids::ServerId;
use crate::pacing::{
    AnswerSample, PaceChange, PaceParams, PaceScope, PaceTable, ServerSight, ServerStanding,
};
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Time after an engine appeared for which its answers do not count as those of a peer: it may be in slow
/// start at another manager.
const START_TIME: Duration = Duration::from_secs(10);

/// Slow start of engines.
///
/// The manager of an engine decides on all permits and receives all reports, so it applies the whole
/// limit. Every instance keeps the times since when engines accept requests, because any of them may
/// become the manager.
#[derive(Debug)]
pub(super) struct EnginePaces {
    table: PaceTable<ServerId>,
    /// When each engine that accepts requests appeared, or last began to accept them again.
    accepting_since: IndexMap<ServerId, Timestamp>,
    /// Engines may start slowly; otherwise nothing is measured.
    is_active: bool,
}

impl Default for EnginePaces {
    fn default() -> Self {
        // Starts are not spaced: the requests in flight limit the prompts that wait.
        let table = PaceTable::new(PaceParams::default(), false);
        Self { table, accepting_since: IndexMap::new(), is_active: false }
    }
}

impl EnginePaces {
    /// Replaces the list of engines.
    pub fn set_servers<'a>(
        &mut self,
        now: Timestamp,
        servers: impl Iterator<Item = &'a ServerCapacity> + Clone,
    ) {
        self.is_active = servers.clone().any(|capacity| capacity.slow_start.is_some());
        let accepting = servers.clone().filter(|capacity| capacity.accepting);
        let accepting: Vec<ServerId> = accepting.map(|capacity| capacity.server).collect();
        if !accepting.is_empty() {
            self.table.note_first_list(now);
        }
        self.accepting_since.retain(|server, _| accepting.contains(server));
        for server in accepting {
            self.accepting_since.entry(server).or_insert(now);
        }
        let paced = servers.filter(|capacity| capacity.accepting && capacity.slow_start.is_some());
        let paced: Vec<ServerId> = paced.map(|capacity| capacity.server).collect();
        self.table.retain(|server| paced.contains(&server));
    }

    /// Returns whether any engine may start slowly.
    pub fn is_active(&self) -> bool {
        self.is_active
    }

    /// Applies what the manager of an engine knows of it.
    pub fn observe(
        &mut self,
        now: Timestamp,
        capacity: &ServerCapacity,
        is_suspected: bool,
        permits: u32,
    ) -> Vec<PaceChange> {
        let Some(&seen_at) = self.accepting_since.get(&capacity.server) else { return Vec::new() };
        let Some(start_limit) = capacity.slow_start else { return Vec::new() };
        let standing = if is_suspected { ServerStanding::Avoided } else { ServerStanding::Serving };
        let sight = ServerSight {
            standing,
            slots: capacity.max_batch,
            start_limit: Some(start_limit),
            seen_at,
            scope: PaceScope::Whole,
            in_use: Some(permits),
        };
        self.table.observe(now, capacity.server, sight)
    }

    /// Applies a time that a managed engine took.
    pub fn answered(
        &mut self,
        now: Timestamp,
        server: ServerId,
        sample: &AnswerSample,
    ) -> Option<PaceChange> {
        let judged = self.table.judge(now, server, false, sample);
        self.table.answered(now, server, judged)
    }

    /// Records a time of an engine that another instance manages, for comparison.
    pub fn note_peer(&mut self, now: Timestamp, server: ServerId, sample: &AnswerSample) {
        let since = self.accepting_since.get(&server);
        if since.is_some_and(|since| now.since(*since) >= START_TIME) {
            self.table.judge(now, server, false, sample);
        }
    }

    /// Applies the suspicion of a managed engine.
    pub fn failed(&mut self, now: Timestamp, server: ServerId) -> Option<PaceChange> {
        self.table.failed(now, server)
    }

    /// Returns the largest number of permits of an engine in slow start; `None` without a limit.
    pub fn limit(&self, server: ServerId) -> Option<u32> {
        self.table.limit(server).map(|limit| limit.in_flight)
    }
}
