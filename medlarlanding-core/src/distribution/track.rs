//! Acceptance of versions of one subject.

use std::collections::VecDeque;

use super::message::{Payload, VersionMark};
use super::params::VersionRule;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Number of rejected versions that are remembered.
const REJECTED_LIMIT: usize = 16;

/// Content of a version on its way to being in effect.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub mark: VersionMark,
    pub payload: Payload,
    /// Peer that sent it; `None` for the platform.
    pub source: Option<InstanceId>,
    /// Latest time at which the platform is known to have published it.
    pub confirmed: Option<Timestamp>,
}

/// What becomes of an offer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Judgement {
    /// It is validated next.
    Candidate,
    /// It waits until the current validation ends.
    Waiting,
    /// It is in effect already.
    Held,
    /// It is below the version in effect, or below one that is being validated.
    Older,
    /// It was rejected before.
    Rejected,
    /// Its version is in effect with another content.
    Conflict,
}

/// Version in effect and versions on their way.
#[derive(Debug, Default)]
pub(super) struct ValueTrack {
    /// Version in effect. Its number only rises under `VersionRule::Rising`.
    held: Option<(VersionMark, Payload)>,
    /// Versions that were in effect before, latest last.
    earlier: VecDeque<(VersionMark, Payload)>,
    confirmed: Option<Timestamp>,
    /// Offer that the caller validates.
    validating: Option<Offer>,
    /// Highest offer that arrived meanwhile.
    waiting: Option<Offer>,
    rejected: VecDeque<VersionMark>,
    /// Number of offers below the version in effect.
    pub older_offers: u64,
    /// Latest version below the one in effect that the platform published.
    pub reported_older: u64,
}

impl ValueTrack {
    pub fn version(&self) -> u64 {
        self.held.as_ref().map_or(0, |(mark, _)| mark.version)
    }

    pub fn held(&self) -> Option<&(VersionMark, Payload)> {
        self.held.as_ref()
    }

    /// Gets a version that is or was in effect.
    pub fn get(&self, mark: VersionMark) -> Option<&Payload> {
        let versions = self.held.iter().chain(&self.earlier);
        versions.into_iter().find(|(held, _)| *held == mark).map(|(_, payload)| payload)
    }

    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    pub fn rejected(&self) -> impl Iterator<Item = VersionMark> + '_ {
        self.rejected.iter().copied()
    }

    /// Returns whether fetching a version can bring anything new.
    pub fn wants(&self, version: u64) -> bool {
        version > self.version()
            && self.validating.as_ref().is_none_or(|offer| version > offer.mark.version)
            && self.waiting.as_ref().is_none_or(|offer| version > offer.mark.version)
            && !self.has_rejected(version)
    }

    pub fn has_rejected(&self, version: u64) -> bool {
        self.rejected.iter().any(|mark| mark.version == version)
    }

    /// Raises the time of confirmation if `version` is in effect. Returns whether it rose.
    pub fn confirm(&mut self, version: u64, at: Timestamp) -> bool {
        let rises = version != 0
            && version == self.version()
            && self.confirmed.is_none_or(|confirmed| at > confirmed);
        if rises {
            self.confirmed = Some(at);
        }
        rises
    }

    /// Judges an offer and keeps it if it is to be validated.
    pub fn offer(&mut self, offer: Offer, rule: VersionRule) -> Judgement {
        let mark = offer.mark;
        let unconditional = rule == VersionRule::Latest && offer.source.is_none();
        if let Some((held, _)) = &self.held {
            if mark == *held {
                return Judgement::Held;
            }
            if mark.version == held.version && !unconditional {
                return Judgement::Conflict;
            }
            if mark.version < held.version && !unconditional {
                self.older_offers += 1;
                return Judgement::Older;
            }
        }
        if self.rejected.contains(&mark) {
            return Judgement::Rejected;
        }
        let Some(validating) = &self.validating else {
            self.validating = Some(offer);
            return Judgement::Candidate;
        };
        let highest = self.waiting.as_ref().unwrap_or(validating).mark.version;
        if mark.version <= highest {
            return Judgement::Older;
        }
        self.waiting = Some(offer);
        Judgement::Waiting
    }

    /// Gets the offer that is being validated.
    pub fn validating(&self) -> Option<&Offer> {
        self.validating.as_ref()
    }

    /// Ends the validation of `version`. Returns the offer if it came into effect.
    ///
    /// Up to `history` versions that were in effect before are kept.
    pub fn decide(&mut self, version: u64, accepted: bool, history: usize) -> Option<Offer> {
        let offer = self.validating.take_if(|offer| offer.mark.version == version)?;
        if accepted {
            self.earlier.extend(self.held.replace((offer.mark, offer.payload.clone())));
            while self.earlier.len() > history {
                self.earlier.pop_front();
            }
            self.confirmed = offer.confirmed;
            return Some(offer);
        }
        self.rejected.push_back(offer.mark);
        if self.rejected.len() > REJECTED_LIMIT {
            self.rejected.pop_front();
        }
        None
    }

    /// Takes the offer that waited for the end of a validation.
    pub fn take_waiting(&mut self) -> Option<Offer> {
        self.waiting.take()
    }
}
