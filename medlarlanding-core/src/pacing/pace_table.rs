//! Paces of the servers of one service, and the peers that they are compared with.

use std::hash::Hash;
use std::time::Duration;

use super::answer_sample::{AnswerPart, AnswerSample, JudgedAnswer, PeerBaseline};
use super::pace_params::PaceParams;
use super::server_pace::{PaceChange, PaceLimit, PaceScope, RampCause, ServerPace};
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Servers that are first seen this long after the first server of their service have started since;
/// those seen before were there when this instance started.
const FIRST_LIST_TIME: Duration = Duration::from_secs(2);
/// A server seen for longer than this is taken for steady by an instance that did not apply its limit
/// until now. Several times as long as a ramp.
const START_AGE: Duration = Duration::from_secs(10);

/// Whether a server gets requests at all.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerStanding {
    /// It does, or will once a pause that it asked for itself ends.
    Serving,
    /// It is avoided because of failures.
    Avoided,
    /// Its availability zone is evacuated.
    Evacuated,
}

/// What this instance knows of a server at one moment.
#[derive(Clone, Copy, Debug)]
pub struct ServerSight {
    /// Whether the server gets requests.
    pub standing: ServerStanding,
    /// Requests that the server runs at the same time.
    pub slots: u32,
    /// Requests with which the server starts; `None` for the usual share of its slots.
    pub start_limit: Option<u32>,
    /// When this instance first saw this start of the server.
    pub seen_at: Timestamp,
    /// Who applies the limit.
    pub scope: PaceScope,
    /// Requests in flight over all instances, if known.
    pub in_use: Option<u32>,
}

#[derive(Debug)]
struct PaceRecord {
    pace: ServerPace,
    sight: ServerSight,
}

/// Paces of the servers of one service. `K` identifies one start of a server.
#[derive(Debug)]
pub struct PaceTable<K> {
    params: PaceParams,
    /// Whether the answers are streams, whose beginnings are spaced.
    is_stream: bool,
    baseline: PeerBaseline,
    /// When the first server of the service was seen.
    first_seen_at: Option<Timestamp>,
    records: IndexMap<K, PaceRecord>,
}

impl<K: Copy + Eq + Hash> PaceTable<K> {
    /// Creates a table without servers.
    pub fn new(params: PaceParams, is_stream: bool) -> Self {
        let (baseline, records) = (PeerBaseline::default(), IndexMap::new());
        Self { params, is_stream, baseline, first_seen_at: None, records }
    }

    /// Records that this instance knew the servers of the service at a time: those seen later than a short
    /// time after it have started since.
    pub fn note_first_list(&mut self, at: Timestamp) {
        let first_seen_at = self.first_seen_at.get_or_insert(at);
        *first_seen_at = at.min(*first_seen_at);
    }

    /// Applies what is known of a server now: begins a ramp if the server has started, or gets requests
    /// again, and applies the passage of time.
    pub fn observe(&mut self, now: Timestamp, key: K, sight: ServerSight) -> Vec<PaceChange> {
        self.note_first_list(sight.seen_at);
        let is_listed = |first: Timestamp| sight.seen_at < first + FIRST_LIST_TIME;
        let has_started =
            !self.first_seen_at.is_some_and(is_listed) && now.since(sight.seen_at) < START_AGE;
        let start_share = sight.start_limit.map_or(self.params.start_share, |limit| {
            f64::from(limit) / f64::from(sight.slots.max(1))
        });
        let params = &PaceParams {
            start_share: start_share.min(1.0),
            return_share: self.params.return_share.max(start_share.min(1.0)),
            ..self.params
        };
        let mut changes = Vec::new();
        match self.records.get_mut(&key) {
            None => {
                let mut pace = ServerPace::default();
                if has_started {
                    let begun =
                        pace.restarted(sight.seen_at, params, RampCause::Started, sight.slots);
                    changes.push(begun);
                    let is_running = sight.in_use.is_some_and(|in_use| in_use > 0);
                    if is_running && sight.scope == PaceScope::Whole {
                        // Another coordinator has placed these requests.
                        changes.extend(pace.adopted(now, sight.in_use.unwrap_or(0)));
                    }
                }
                self.records.insert(key, PaceRecord { pace, sight });
            },
            Some(record) => {
                let before = std::mem::replace(&mut record.sight, sight);
                let cause = match (before.standing, sight.standing) {
                    (ServerStanding::Avoided, ServerStanding::Serving) => {
                        Some(RampCause::Recovered)
                    },
                    (ServerStanding::Evacuated, ServerStanding::Serving) => {
                        Some(RampCause::ZoneRestored)
                    },
                    (_, _) => None,
                };
                if let Some(cause) = cause {
                    changes.push(record.pace.restarted(now, params, cause, sight.slots));
                } else if before.scope != sight.scope && sight.scope == PaceScope::Whole {
                    changes.extend(record.pace.adopted(now, sight.in_use.unwrap_or(0)));
                }
            },
        }
        if let Some(record) = self.records.get_mut(&key)
            && sight.standing == ServerStanding::Serving
        {
            changes.extend(record.pace.advance(now, params, sight.scope));
        }
        changes
    }

    /// Drops the servers for which `is_known` is false.
    pub fn retain(&mut self, is_known: impl Fn(K) -> bool) {
        self.records.retain(|key, _| is_known(*key));
    }

    /// Records that a request is sent to a server.
    pub fn began(&mut self, now: Timestamp, key: K) {
        if let Some(record) = self.records.get_mut(&key) {
            record.pace.began(now);
        }
    }

    /// Compares a time with those of the server's peers. The time of a server that is not in slow start
    /// counts as one of them from now on; `is_ramping` is set if another instance knows that it is.
    pub fn judge(
        &mut self,
        now: Timestamp,
        key: K,
        is_ramping: bool,
        sample: &AnswerSample,
    ) -> JudgedAnswer {
        let judged = self.baseline.judge(now, sample);
        if !is_ramping && !self.is_ramping(key) {
            self.baseline.record(now, sample);
            if sample.part == AnswerPart::First {
                self.baseline.record_outcome(false);
            }
        }
        judged
    }

    /// Applies an answer of a server.
    pub fn answered(&mut self, now: Timestamp, key: K, answer: JudgedAnswer) -> Option<PaceChange> {
        let PaceRecord { pace, sight } = self.records.get_mut(&key)?;
        pace.answered(now, &self.params, sight.scope, sight.in_use, answer)
    }

    /// Applies a failed or refused request to a server. It does not count while requests to the peers
    /// fail as well.
    pub fn failed(&mut self, now: Timestamp, key: K) -> Option<PaceChange> {
        if !self.is_ramping(key) {
            self.baseline.record_outcome(true);
            return None;
        }
        if self.baseline.fails_often() {
            return None;
        }
        let PaceRecord { pace, sight } = self.records.get_mut(&key)?;
        pace.failed(now, &self.params, sight.scope, sight.in_use)
    }

    /// Returns whether a server is known, steady and of this standing, so that observing it again has no
    /// effect.
    pub fn is_settled(&self, key: K, standing: ServerStanding) -> bool {
        self.records
            .get(&key)
            .is_some_and(|record| !record.pace.is_ramping() && record.sight.standing == standing)
    }

    /// Returns whether a server is in slow start.
    pub fn is_ramping(&self, key: K) -> bool {
        self.records.get(&key).is_some_and(|record| record.pace.is_ramping())
    }

    /// Returns the limit that this instance applies to its requests to a server; `None` without one.
    pub fn limit(&self, key: K) -> Option<PaceLimit> {
        let record = self.records.get(&key)?;
        record.pace.instance_limit(record.sight.scope, self.is_stream)
    }

    /// Iterates over the limits over all instances of the servers in slow start.
    pub fn ramping(&self) -> impl Iterator<Item = (K, u32)> + '_ {
        self.records.iter().filter_map(|(key, record)| Some((*key, record.pace.limit()?)))
    }
}
