//! Limit of the requests in flight at one server that has started or recovered.

use std::time::Duration;

use super::answer_sample::{AnswerPart, JudgedAnswer};
use super::instance_share::InstanceShare;
use super::pace_params::PaceParams;
use crate::time::Timestamp;

/// Reason for the beginning of a ramp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum RampCause {
    /// The server has started.
    Started,
    /// The server was avoided because of failures.
    Recovered,
    /// The availability zone of the server was evacuated and is restored.
    ZoneRestored,
}

/// Reason for a change of a server's pace.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PaceReason {
    /// A ramp begins.
    Began(RampCause),
    /// This instance has become the coordinator and continues the ramp with the requests in use.
    Adopted,
    /// The server is slower than its peers.
    Slow,
    /// A request to the server failed.
    Failed,
    /// The server stays slower than its peers, however few requests it has, and is compared with its own
    /// speed from now on.
    OwnSpeed,
    /// The limit has reached the server's slots.
    Full,
    /// Nothing was held against the server for some time.
    Calm,
}

impl PaceReason {
    /// All reasons, for metrics.
    pub const ALL: [Self; 9] = [
        Self::Began(RampCause::Started),
        Self::Began(RampCause::Recovered),
        Self::Began(RampCause::ZoneRestored),
        Self::Adopted,
        Self::Slow,
        Self::Failed,
        Self::OwnSpeed,
        Self::Full,
        Self::Calm,
    ];

    /// Returns the name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Began(RampCause::Started) => "started",
            Self::Began(RampCause::Recovered) => "recovered",
            Self::Began(RampCause::ZoneRestored) => "zone_restored",
            Self::Adopted => "adopted",
            Self::Slow => "slow",
            Self::Failed => "failed",
            Self::OwnSpeed => "own_speed",
            Self::Full => "full",
            Self::Calm => "calm",
        }
    }
}

/// Change of a server's pace that operators are told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceChange {
    /// Limit of requests in flight over all instances; `None` without a limit.
    pub limit: Option<u32>,
    /// Time relative to the peers in percent that led to the change; 0 if none did.
    pub ratio_percent: u32,
    /// Reason.
    pub reason: PaceReason,
}

/// Who applies the limit of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PaceScope {
    /// One place decides on all requests to the server and receives the answers to all of them.
    Whole,
    /// Each instance decides independently and sees the answers to its own requests only.
    Divided(InstanceShare),
}

impl PaceScope {
    /// Returns the factor on holds: from 0.75 to 1.25 by the rank of the instance, so that instances which
    /// lowered their limits at the same time do not probe the server at the same time.
    fn hold_factor(self) -> f64 {
        match self {
            Self::Whole => 1.0,
            Self::Divided(share) => {
                0.75 + 0.5 * f64::from(share.first_limit() - 1) / f64::from(share.instances())
            },
        }
    }
}

/// Limit that an instance applies to its requests to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PaceLimit {
    /// Requests in flight.
    pub in_flight: u32,
    /// No request is sent before this time.
    pub next_start: Timestamp,
}

/// State of one server: steady, or ramping with a limit of requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServerPace {
    /// `None` while the server is steady.
    ramp: Option<PaceRamp>,
}

/// Smoothed time relative to the peers.
#[derive(Clone, Copy, Debug)]
struct RatioMean {
    /// 1 before the first time.
    ratio: f64,
    /// Number of times.
    count: u32,
}

impl Default for RatioMean {
    fn default() -> Self {
        Self { ratio: 1.0, count: 0 }
    }
}

impl RatioMean {
    fn add(&mut self, params: &PaceParams, ratio: f64) {
        self.ratio = match self.count {
            0 => ratio,
            _ => self.ratio + params.smoothing * (ratio - self.ratio),
        };
        self.count += 1;
    }
}

/// Invariants: `limit` is at least 1 and finite, and `slots` at least 1.
#[derive(Clone, Copy, Debug)]
struct PaceRamp {
    cause: RampCause,
    slots: u32,
    /// Limit of requests in flight over all instances.
    limit: f64,
    /// Times until the answer or its first event since `changed_at`.
    first: RatioMean,
    /// Pauses between events since `changed_at`.
    pause: RatioMean,
    /// When the ramp began or the limit last fell. Answers to requests sent earlier show the effect of
    /// another limit and do not count.
    changed_at: Timestamp,
    /// When the limit last fell, or else when the ramp began.
    faulted_at: Timestamp,
    /// The limit has fallen or would have if it were not the lowest. Only answers as fast as those of
    /// the peers then end the ramp.
    has_fallen: bool,
    /// Limit above which the limit does not rise before `hold_until`.
    hold_limit: f64,
    hold_until: Timestamp,
    /// Length of the next hold.
    hold: Duration,
    /// Slow verdicts since the last answer as fast as those of the peers.
    slow_verdicts: u32,
    first_slow_at: Timestamp,
    /// Time relative to the peers that counts as the server's own speed; at least 1.
    own_ratio: f64,
    /// When an instance that decides independently last doubled its limit.
    stepped_at: Timestamp,
    /// When the last request was started.
    began_at: Option<Timestamp>,
}

impl ServerPace {
    /// Returns whether the server is in slow start.
    pub fn is_ramping(&self) -> bool {
        self.ramp.is_some()
    }

    /// Returns the limit of requests in flight over all instances; `None` while the server is steady.
    pub fn limit(&self) -> Option<u32> {
        self.ramp.as_ref().map(PaceRamp::whole_limit)
    }

    /// Begins a ramp.
    pub fn restarted(
        &mut self,
        now: Timestamp,
        params: &PaceParams,
        cause: RampCause,
        slots: u32,
    ) -> PaceChange {
        let slots = slots.max(1);
        let share = match cause {
            RampCause::Started => params.start_share,
            RampCause::Recovered | RampCause::ZoneRestored => params.return_share,
        };
        let ramp = PaceRamp {
            cause,
            slots,
            limit: (f64::from(slots) * share).max(1.0),
            first: RatioMean::default(),
            pause: RatioMean::default(),
            changed_at: now,
            faulted_at: now,
            has_fallen: false,
            hold_limit: f64::INFINITY,
            hold_until: now,
            hold: params.hold_min,
            slow_verdicts: 0,
            first_slow_at: now,
            own_ratio: 1.0,
            stepped_at: now,
            began_at: None,
        };
        self.ramp = Some(ramp);
        ramp.change(PaceReason::Began(cause))
    }

    /// Continues a ramp as the new coordinator: the limit is at least the number of requests that the
    /// load reports show in use.
    pub fn adopted(&mut self, now: Timestamp, in_use: u32) -> Option<PaceChange> {
        let ramp = self.ramp.as_mut()?;
        ramp.limit = ramp.limit.max(f64::from(in_use));
        // The answers that the last coordinator received are unknown.
        ramp.restart_means(now);
        Some(ramp.change(PaceReason::Adopted))
    }

    /// Records that a request is sent to the server.
    pub fn began(&mut self, now: Timestamp) {
        if let Some(ramp) = &mut self.ramp {
            ramp.began_at = Some(now);
        }
    }

    /// Applies an answer. `in_use` is the number of requests in flight over all instances, if it is
    /// known.
    pub fn answered(
        &mut self,
        now: Timestamp,
        params: &PaceParams,
        scope: PaceScope,
        in_use: Option<u32>,
        answer: JudgedAnswer,
    ) -> Option<PaceChange> {
        let ramp = self.ramp.as_mut()?;
        if answer.sent_at < ramp.changed_at {
            return None;
        }
        if let Some(ratio) = answer.ratio {
            let mean = match answer.part {
                AnswerPart::First => &mut ramp.first,
                AnswerPart::Pause => &mut ramp.pause,
            };
            mean.add(params, ratio / ramp.own_ratio);
        }
        let needed = match scope {
            // With a small limit of long streams, more answers would take too long.
            PaceScope::Whole => params.verdict_answers.min(ramp.whole_limit()),
            // One of many instances sees few answers, and its part of the limit is small.
            PaceScope::Divided(_) => 1,
        };
        if ramp.answers() >= needed && ramp.ratio() > params.slow_ratio {
            return ramp.judge_slow(now, params, scope, in_use);
        }
        if ramp.ratio() > params.near_ratio {
            return None;
        }
        ramp.slow_verdicts = 0;
        if let (AnswerPart::First, PaceScope::Whole) = (answer.part, scope) {
            let step = match ramp.cause {
                // Doubles the limit in the time of one answer.
                RampCause::Started => 1.0,
                RampCause::Recovered | RampCause::ZoneRestored => 2.0,
            };
            ramp.raise(now, ramp.limit + step);
        }
        self.leave_if_full(scope)
    }

    /// Applies a failed or refused request.
    pub fn failed(
        &mut self,
        now: Timestamp,
        params: &PaceParams,
        scope: PaceScope,
        in_use: Option<u32>,
    ) -> Option<PaceChange> {
        let ramp = self.ramp.as_mut()?;
        if now.since(ramp.faulted_at) < params.failure_gap {
            return None;
        }
        ramp.fall(now, params, scope, in_use);
        Some(ramp.change(PaceReason::Failed))
    }

    /// Applies the passage of time.
    pub fn advance(
        &mut self,
        now: Timestamp,
        params: &PaceParams,
        scope: PaceScope,
    ) -> Option<PaceChange> {
        let ramp = self.ramp.as_mut()?;
        if let PaceScope::Divided(share) = scope {
            let full = f64::from(ramp.slots.max(share.instances()));
            while ramp.limit < full && now.since(ramp.stepped_at) >= params.blind_step {
                ramp.stepped_at = ramp.stepped_at + params.blind_step;
                let held = ramp.limit;
                ramp.raise(ramp.stepped_at, held * 2.0);
                if ramp.limit <= held {
                    // The hold has not ended, and steps during it are not made up for.
                    ramp.stepped_at = now;
                }
            }
            ramp.limit = ramp.limit.min(full);
        }
        let is_slow = ramp.has_fallen && (ramp.answers() == 0 || ramp.ratio() > params.near_ratio);
        if is_slow || now < ramp.faulted_at.max(ramp.hold_until) + params.calm_end {
            return None;
        }
        let change = PaceChange { limit: None, ..ramp.change(PaceReason::Calm) };
        self.ramp = None;
        Some(change)
    }

    /// Returns the limit that an instance applies; `None` while the server is steady. `spaces_starts`
    /// is set if the answers are streams: their beginnings follow one another, because a burst of
    /// prompts delays all of them. Answers that come as a whole are spaced by the requests in flight.
    pub fn instance_limit(&self, scope: PaceScope, spaces_starts: bool) -> Option<PaceLimit> {
        let ramp = self.ramp.as_ref()?;
        let in_flight = match scope {
            PaceScope::Whole => ramp.whole_limit(),
            PaceScope::Divided(share) => share.of_limit(ramp.whole_limit()),
        };
        let spacing = if spaces_starts { ramp.start_spacing() } else { Duration::ZERO };
        let next_start = ramp.began_at.map_or(ramp.changed_at, |began_at| began_at + spacing);
        Some(PaceLimit { in_flight, next_start })
    }

    fn leave_if_full(&mut self, scope: PaceScope) -> Option<PaceChange> {
        let ramp = self.ramp.as_ref()?;
        let full = match scope {
            PaceScope::Whole => ramp.slots,
            PaceScope::Divided(share) => ramp.slots.max(share.instances()),
        };
        if ramp.whole_limit() < full {
            return None;
        }
        let change = PaceChange { limit: None, ..ramp.change(PaceReason::Full) };
        self.ramp = None;
        Some(change)
    }
}

impl PaceRamp {
    fn whole_limit(&self) -> u32 {
        self.limit as u32
    }

    /// Returns the time between two starts: twice the limit of starts in a second.
    fn start_spacing(&self) -> Duration {
        Duration::from_secs_f64(1.0 / (2.0 * self.limit))
    }

    fn change(&self, reason: PaceReason) -> PaceChange {
        let ratio_percent =
            if self.answers() == 0 { 0 } else { (self.ratio() * self.own_ratio * 100.0) as u32 };
        PaceChange { limit: Some(self.whole_limit()), ratio_percent, reason }
    }

    /// Returns the number of times since `changed_at` that could be compared.
    fn answers(&self) -> u32 {
        self.first.count + self.pause.count
    }

    /// Returns the smoothed time relative to the peers: of the part in which the server is slower, as
    /// it may begin answers quickly and go on slowly.
    fn ratio(&self) -> f64 {
        match (self.first.count, self.pause.count) {
            (0, _) => self.pause.ratio,
            (_, 0) => self.first.ratio,
            _ => self.first.ratio.max(self.pause.ratio),
        }
    }

    fn restart_means(&mut self, now: Timestamp) {
        self.changed_at = now;
        (self.first, self.pause) = (RatioMean::default(), RatioMean::default());
    }

    /// Raises the limit, during a hold only up to `hold_limit`.
    fn raise(&mut self, now: Timestamp, limit: f64) {
        let highest = if now < self.hold_until { self.hold_limit } else { f64::INFINITY };
        self.limit = self.limit.max(limit.min(highest));
    }

    fn judge_slow(
        &mut self,
        now: Timestamp,
        params: &PaceParams,
        scope: PaceScope,
        in_use: Option<u32>,
    ) -> Option<PaceChange> {
        if self.slow_verdicts == 0 {
            self.first_slow_at = now;
        }
        self.slow_verdicts += 1;
        let own_ratio = self.ratio() * self.own_ratio;
        let is_own_speed = self.slow_verdicts >= params.own_speed_verdicts
            && now.since(self.first_slow_at) >= params.own_speed_after
            && own_ratio <= params.own_speed_max;
        if is_own_speed {
            let change = self.change(PaceReason::OwnSpeed);
            self.own_ratio = own_ratio;
            self.restart_means(now);
            (self.slow_verdicts, self.hold_until, self.hold) = (0, now, params.hold_min);
            return Some(change);
        }
        let before = self.whole_limit();
        let change = self.change(PaceReason::Slow);
        self.fall(now, params, scope, in_use);
        let limit = self.whole_limit();
        (limit < before).then_some(PaceChange { limit: Some(limit), ..change })
    }

    /// Lowers the limit and begins a hold.
    fn fall(&mut self, now: Timestamp, params: &PaceParams, scope: PaceScope, in_use: Option<u32>) {
        let base = match scope {
            PaceScope::Whole => in_use.map_or(self.limit, |in_use| f64::from(in_use.max(1))),
            // Below the limit from which this instance has a part of it.
            PaceScope::Divided(share) if self.limit < f64::from(share.instances()) => {
                f64::from(share.first_limit())
            },
            PaceScope::Divided(_) => self.limit,
        };
        let from = self.limit.min(base);
        if self.whole_limit() > 1 {
            self.hold_limit = (from * params.hold_share).max(1.0);
            self.hold_until = now + self.hold.mul_f64(scope.hold_factor());
            self.hold = (self.hold * params.hold_growth).min(params.hold_max);
        }
        self.limit = (from * params.decrease).max(1.0);
        self.restart_means(now);
        (self.faulted_at, self.stepped_at, self.has_fallen) = (now, now, true);
    }
}
