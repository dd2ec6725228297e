//! Times of answers, compared with those of a server's peers.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

use indexmap::IndexMap;

/// Times kept for each kind of answer; a median of 32 changes little with single long prompts.
const TIMES_KEPT: usize = 32;
/// Fewest times from which a median is formed.
const TIMES_MIN: usize = 5;
/// Time after which a time no longer counts; load changes within minutes.
const TIME_RETENTION: Duration = Duration::from_secs(60);
/// Most kinds of answers that are kept for one service: the routes of the measured installations
/// number at most 12.
const KINDS_KEPT: usize = 64;
/// Outcomes of requests kept to compare failures.
const OUTCOMES_KEPT: usize = 64;
/// Share of the peers' requests that fail above which a failure says nothing against a server: one in
/// ten fails for a reason that all have in common.
const FAILURE_SHARE: f64 = 0.1;
/// Fewest failures of the peers that count as a share: one or two happen anywhere.
const FAILURES_MIN: usize = 3;
/// Added to both times of a comparison, so that differences which no caller notices do not count: the
/// targets for an answer are 300 ms and more, and 180 ms for a pause.
const NOISE_FLOOR: Duration = Duration::from_millis(20);
/// Largest ratio that one answer contributes, so that a single one does not decide for long. Above the
/// ratio at which a server of half its peers' speed or less is slow for its own speed.
const RATIO_MAX: f64 = 16.0;

value_type! { copy
    /// Kind of requests whose answers take similar times, such as those of one route.
    pub struct AnswerKind(pub u64);
}

value_type! { copy
    /// Part of an answer that a time describes.
    pub enum AnswerPart {
        /// Time until the whole answer, or until the first event of a stream.
        First,
        /// Mean pause between the events of a stream.
        Pause,
    }
}

/// Time that one server took for a part of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerSample {
    /// Kind of the request.
    pub kind: AnswerKind,
    /// Part of the answer.
    pub part: AnswerPart,
    /// When the request was sent, or the measured pauses began.
    pub sent_at: Timestamp,
    /// The time.
    pub time: Duration,
}

/// Part of an answer that was compared with those of the server's peers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JudgedAnswer {
    /// Part of the answer.
    pub part: AnswerPart,
    /// When the request was sent, or the measured pauses began.
    pub sent_at: Timestamp,
    /// Time relative to that of the peers; `None` if no peer has answered such requests recently.
    pub ratio: Option<f64>,
}

/// Recent times of answers of the servers of one service that are not in slow start.
#[derive(Clone, Debug, Default)]
pub struct PeerBaseline {
    /// Invariant: at most `KINDS_KEPT` entries, each with at most `TIMES_KEPT` times, oldest first.
    times: IndexMap<(AnswerKind, AnswerPart), VecDeque<(Timestamp, Duration)>>,
    /// Whether each of the last requests failed, oldest first; at most `OUTCOMES_KEPT`.
    outcomes: VecDeque<bool>,
}

impl PeerBaseline {
    /// Records a time of a server that is not in slow start.
    pub fn record(&mut self, now: Timestamp, sample: &AnswerSample) {
        let key = (sample.kind, sample.part);
        if !self.times.contains_key(&key) && self.times.len() >= KINDS_KEPT {
            self.times.shift_remove_index(0);
        }
        let times = self.times.entry(key).or_default();
        if times.len() >= TIMES_KEPT {
            times.pop_front();
        }
        times.push_back((now, sample.time));
    }

    /// Records the outcome of a request to a server that is not in slow start.
    pub fn record_outcome(&mut self, has_failed: bool) {
        if self.outcomes.len() >= OUTCOMES_KEPT {
            self.outcomes.pop_front();
        }
        self.outcomes.push_back(has_failed);
    }

    /// Returns whether so many requests to the peers fail that one more says nothing against a server.
    pub fn fails_often(&self) -> bool {
        let failed = self.outcomes.iter().filter(|has_failed| **has_failed).count();
        failed >= FAILURES_MIN && failed as f64 > FAILURE_SHARE * self.outcomes.len() as f64
    }

    /// Returns the median of the recent times; `None` if there are too few.
    pub fn median(&self, now: Timestamp, kind: AnswerKind, part: AnswerPart) -> Option<Duration> {
        let times = self.times.get(&(kind, part))?.iter();
        let recent = times.filter(|(at, _)| now.since(*at) < TIME_RETENTION);
        let mut sorted: Vec<Duration> = recent.map(|(_, time)| *time).collect();
        if sorted.len() < TIMES_MIN {
            return None;
        }
        sorted.sort_unstable();
        Some(sorted[sorted.len() / 2])
    }

    /// Compares a time with those of the peers.
    pub fn judge(&self, now: Timestamp, sample: &AnswerSample) -> JudgedAnswer {
        let AnswerSample { kind, part, sent_at, time } = *sample;
        let floor = NOISE_FLOOR.as_secs_f64();
        let ratio = self.median(now, kind, part).map(|median| {
            ((time.as_secs_f64() + floor) / (median.as_secs_f64() + floor)).min(RATIO_MAX)
        });
        JudgedAnswer { part, sent_at, ratio }
    }
}
