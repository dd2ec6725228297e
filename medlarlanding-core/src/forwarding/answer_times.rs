//! Learns how long the answers of a route take, for requests whose length nobody states.
//!
//! Load pattern: an instance that stops still gets requests on open and on new connections. The size of
//! a generation is stated in its head; that of an answer of a plain service is not, and may take
//! milliseconds or minutes. Only earlier answers show whether it ends before the instance does.

use std::sync::Arc;
use std::time::Duration;

use crate::time::Timestamp;

use indexmap::IndexMap;

/// Parameters of the observation.
#[derive(Clone, Copy, Debug)]
pub struct AnswerTimesParams {
    /// Length of one of the two periods from which the longest time is taken.
    pub period: Duration,
    /// Complete answers in both periods from which the longest time is told.
    pub answers_min: u32,
}

impl Default for AnswerTimesParams {
    fn default() -> Self {
        Self { period: Duration::from_secs(60), answers_min: 50 }
    }
}

/// Answers that ended within one period.
#[derive(Clone, Copy, Debug, Default)]
struct AnswerPeriod {
    complete: u32,
    longest: Duration,
}

/// Answers of one route and service.
#[derive(Clone, Copy, Debug, Default)]
struct RouteAnswers {
    current: AnswerPeriod,
    /// The period before `current`.
    last: AnswerPeriod,
    /// When `current` began.
    begun_at: Timestamp,
}

impl RouteAnswers {
    /// Begins a new period if the current one has passed.
    fn advance(&mut self, now: Timestamp, period: Duration) {
        let elapsed = now.since(self.begun_at);
        if elapsed < period {
            return;
        }
        self.last = if elapsed < period * 2 { self.current } else { AnswerPeriod::default() };
        self.current = AnswerPeriod::default();
        self.begun_at = now;
    }
}

/// Times that answers took, by route and service.
#[derive(Debug, Default)]
pub struct AnswerTimes {
    params: AnswerTimesParams,
    /// Only routes with an answer in the last two periods.
    routes: IndexMap<(Arc<str>, Arc<str>), RouteAnswers>,
}

impl AnswerTimes {
    /// Creates a record without answers.
    pub fn new(params: AnswerTimesParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Records an answer that ended `elapsed` after its request arrived. One that was broken off would
    /// have taken at least that long.
    pub fn record(
        &mut self,
        now: Timestamp,
        route: &Arc<str>,
        service: &Arc<str>,
        elapsed: Duration,
        is_complete: bool,
    ) {
        let period = self.params.period;
        self.routes.retain(|_, answers| now.since(answers.begun_at) < period * 2);
        let key = (Arc::clone(route), Arc::clone(service));
        let fresh = RouteAnswers { begun_at: now, ..RouteAnswers::default() };
        let answers = self.routes.entry(key).or_insert(fresh);
        answers.advance(now, period);
        answers.current.complete += u32::from(is_complete);
        answers.current.longest = answers.current.longest.max(elapsed);
    }

    /// Returns the longest time that an answer of a route took lately; `None` if too few are known.
    pub fn longest(
        &self,
        now: Timestamp,
        route: &Arc<str>,
        service: &Arc<str>,
    ) -> Option<Duration> {
        let key = (Arc::clone(route), Arc::clone(service));
        let mut answers = *self.routes.get(&key)?;
        answers.advance(now, self.params.period);
        let complete = answers.current.complete + answers.last.complete;
        let longest = answers.current.longest.max(answers.last.longest);
        (complete >= self.params.answers_min).then_some(longest)
    }
}
