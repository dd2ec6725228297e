//! Version of one subject that is in effect, earlier versions, and versions to be validated.

use std::collections::VecDeque;

use super::message::{Payload, VersionMark};
use super::params::VersionRule;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Maximum number of rejected versions that are kept.
const REJECTED_LIMIT: usize = 16;

/// Version received from the platform or from a peer that may come into effect.
#[derive(Clone, Debug)]
pub(super) struct Offer {
    pub mark: VersionMark,
    pub payload: Payload,
    /// Peer that sent the version; `None` for the platform.
    pub source: Option<InstanceId>,
    /// Latest time at which the platform is known to have published the version; `None` if
    /// unknown.
    pub confirmed: Option<Timestamp>,
}

/// Result of checking an [`Offer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OfferOutcome {
    /// The caller must validate it now.
    Validate,
    /// It is offered again after the current validation.
    Queued,
    /// It is already in effect.
    InEffect,
    /// It is below the version in effect, or not above one that is validated or queued.
    Older,
    /// It failed validation before.
    Rejected,
    /// A version with the same number but different content is in effect.
    Conflict,
}

/// State of all versions of one subject.
#[derive(Debug, Default)]
pub(super) struct VersionStore {
    /// Version in effect. Its number never decreases under `VersionRule::Monotonic`.
    in_effect: Option<(VersionMark, Payload)>,
    /// Versions that were in effect before, in order, newest last.
    earlier: VecDeque<(VersionMark, Payload)>,
    /// Latest time at which the platform is known to have published the version in effect.
    confirmed: Option<Timestamp>,
    /// Offer that the caller is validating.
    validating: Option<Offer>,
    /// Highest offer that arrived during the validation.
    queued: Option<Offer>,
    rejected: VecDeque<VersionMark>,
    /// Number of offers below the version in effect.
    pub older_offers: u64,
    /// Last version below the one in effect that was read from the platform; 0 if the platform has
    /// caught up since.
    pub last_rollback: u64,
}

impl VersionStore {
    pub fn version(&self) -> u64 {
        self.in_effect.as_ref().map_or(0, |(mark, _)| mark.version)
    }

    pub fn in_effect(&self) -> Option<&(VersionMark, Payload)> {
        self.in_effect.as_ref()
    }

    /// Gets the content of the version in effect or of an earlier one that is kept.
    pub fn get(&self, mark: VersionMark) -> Option<&Payload> {
        let versions = self.in_effect.iter().chain(&self.earlier);
        versions.into_iter().find(|(kept, _)| *kept == mark).map(|(_, payload)| payload)
    }

    pub fn confirmed(&self) -> Option<Timestamp> {
        self.confirmed
    }

    pub fn rejected(&self) -> impl Iterator<Item = VersionMark> + '_ {
        self.rejected.iter().copied()
    }

    /// Returns whether a version that a peer reported must be fetched: it was not rejected and is
    /// above those in effect, validated and queued.
    pub fn should_fetch(&self, version: u64) -> bool {
        version > self.version()
            && self.validating.as_ref().is_none_or(|offer| version > offer.mark.version)
            && self.queued.as_ref().is_none_or(|offer| version > offer.mark.version)
            && !self.has_rejected(version)
    }

    pub fn has_rejected(&self, version: u64) -> bool {
        self.rejected.iter().any(|mark| mark.version == version)
    }

    /// Moves the time of confirmation forward to `at` if `version` is in effect. Returns whether
    /// it changed.
    pub fn confirm(&mut self, version: u64, at: Timestamp) -> bool {
        let is_newer = version != 0
            && version == self.version()
            && self.confirmed.is_none_or(|confirmed| at > confirmed);
        if is_newer {
            self.confirmed = Some(at);
        }
        is_newer
    }

    /// Checks an offer and keeps it if it must be validated, now or later.
    pub fn offer(&mut self, offer: Offer, rule: VersionRule) -> OfferOutcome {
        let mark = offer.mark;
        let accept_any = rule == VersionRule::Latest && offer.source.is_none();
        if let Some((current, _)) = &self.in_effect {
            if mark == *current {
                return OfferOutcome::InEffect;
            }
            if mark.version == current.version && !accept_any {
                return OfferOutcome::Conflict;
            }
            if mark.version < current.version && !accept_any {
                self.older_offers += 1;
                return OfferOutcome::Older;
            }
        }
        if self.rejected.contains(&mark) {
            return OfferOutcome::Rejected;
        }
        let Some(validating) = &self.validating else {
            self.validating = Some(offer);
            return OfferOutcome::Validate;
        };
        let highest = self.queued.as_ref().unwrap_or(validating).mark.version;
        if mark.version <= highest {
            return OfferOutcome::Older;
        }
        self.queued = Some(offer);
        OfferOutcome::Queued
    }

    /// Gets the offer that is being validated.
    pub fn validating(&self) -> Option<&Offer> {
        self.validating.as_ref()
    }

    /// Ends the validation of `version` and keeps up to `history` earlier versions. Returns the
    /// offer if it came into effect.
    pub fn finish_validation(
        &mut self,
        version: u64,
        accepted: bool,
        history: usize,
    ) -> Option<Offer> {
        let offer = self.validating.take_if(|offer| offer.mark.version == version)?;
        if accepted {
            self.earlier.extend(self.in_effect.replace((offer.mark, offer.payload.clone())));
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

    /// Takes the offer that arrived during the last validation.
    pub fn take_queued(&mut self) -> Option<Offer> {
        self.queued.take()
    }
}
