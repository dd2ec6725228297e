//! Validation of received versions, and announcements of those that come into effect.

use super::ConfigDistributor;
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::{DistributionMessage, Payload, VersionMark};
use crate::distribution::store::{Offer, OfferOutcome};
use crate::distribution::versions::Subject;
use crate::events::EventKind;
use crate::ids::InstanceId;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

impl ConfigDistributor {
    /// Starts the validation of an offer if it may come into effect.
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        subject: Subject,
        offer: Offer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let mark = offer.mark;
        let confirmed = offer.confirmed;
        self.report_conflict(subject, mark, offer.source, effects);
        if offer.source.is_none() {
            self.report_rollback(subject, mark.version, effects);
        }
        let rule = self.params.version_rule;
        let state = self.subject_mut(subject);
        match state.store.offer(offer, rule) {
            OfferOutcome::InEffect => {
                if let Some(at) = confirmed {
                    state.store.confirm(mark.version, at);
                }
            },
            OfferOutcome::Validate => self.validate(now, subject, effects),
            OfferOutcome::Queued
            | OfferOutcome::Older
            | OfferOutcome::Rejected
            | OfferOutcome::Conflict => {},
        }
    }

    /// Logs that the platform published a version below the one in effect, once per version.
    fn report_rollback(
        &mut self,
        subject: Subject,
        version: u64,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let store = &mut self.subject_mut(subject).store;
        let current = store.version();
        if version >= current {
            store.last_rollback = 0;
        } else if version != std::mem::replace(&mut store.last_rollback, version) {
            effects.push(DistributionEffect::Event {
                kind: EventKind::ConfigRefused,
                fields: vec![
                    version.to_string(),
                    "1".to_owned(),
                    format!(
                        "platform published {} version {version}; version {current} is in effect",
                        subject.as_str()
                    ),
                ],
            });
        }
    }

    /// Validates a list, or has the caller validate a configuration.
    pub(super) fn validate(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let Some(offer) = self.subject(subject).store.validating() else {
            return;
        };
        let version = offer.mark.version;
        match &offer.payload {
            Payload::Config(text) => {
                effects.push(DistributionEffect::Validate { version, text: text.clone() });
            },
            Payload::List(list) => {
                let list = list.clone();
                // Instances are looked up by id, so ids must be unique.
                let mut ids: Vec<_> = list.entries.iter().map(|entry| entry.id).collect();
                ids.sort_unstable();
                let accepted = ids.windows(2).all(|pair| pair[0] != pair[1]);
                if accepted {
                    effects.push(DistributionEffect::ListInEffect(list));
                }
                self.finish_validation(now, subject, version, accepted, effects);
            },
        }
    }

    /// Puts a validated version into effect or rejects it, and offers the version that arrived
    /// during the validation.
    pub(super) fn finish_validation(
        &mut self,
        now: Timestamp,
        subject: Subject,
        version: u64,
        accepted: bool,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let history = match subject {
            Subject::Config => self.params.delta_history,
            Subject::List => 0,
        };
        let store = &mut self.subject_mut(subject).store;
        if let Some(offer) = store.finish_validation(version, accepted, history) {
            self.announce(now, subject, &offer, effects);
        }
        if let Some(offer) = self.subject_mut(subject).store.take_queued() {
            self.offer(now, subject, offer, effects);
        }
    }

    /// Logs that an offer came into effect, and announces it to peers.
    pub(super) fn announce(
        &mut self,
        now: Timestamp,
        subject: Subject,
        offer: &Offer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let version = offer.mark.version.to_string();
        let (kind, fields) = match &offer.payload {
            Payload::Config(_) => {
                let source = offer.source.map_or("platform".to_owned(), |peer| peer.to_string());
                (EventKind::ConfigAccepted, vec![version, source])
            },
            Payload::List(list) => {
                (EventKind::ListAccepted, vec![version, list.entries.len().to_string()])
            },
        };
        effects.push(DistributionEffect::Event { kind, fields });
        self.subject_mut(subject).announce_at = Some(now + self.params.announce_repeat);
        self.send_announcements(subject, offer.mark, offer.source, effects);
    }

    /// Announces the versions in effect a second time when `announce_repeat` has passed.
    pub(super) fn run_announcements(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<DistributionEffect>,
    ) {
        for subject in Subject::ALL {
            let state = self.subject_mut(subject);
            if state.announce_at.take_if(|at| *at <= now).is_some()
                && let Some(&(mark, _)) = state.store.in_effect()
            {
                self.send_announcements(subject, mark, None, effects);
            }
        }
    }

    fn send_announcements(
        &mut self,
        subject: Subject,
        mark: VersionMark,
        except: Option<InstanceId>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let except: Vec<_> = except.into_iter().collect();
        for peer in self.choose_peers(self.params.announce_fanout, &except) {
            let message = DistributionMessage::Announce { subject, mark };
            Self::send(peer, PeerTransport::Datagram, message, effects);
        }
    }

    /// Logs that the platform or a peer has other content under the number of the version in
    /// effect.
    pub(super) fn report_conflict(
        &mut self,
        subject: Subject,
        mark: VersionMark,
        source: Option<InstanceId>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some((current, _)) = self.subject(subject).store.in_effect()
            && current.version == mark.version
            && current.digest != mark.digest
        {
            let origin = source.map_or("platform".to_owned(), |peer| peer.to_string());
            effects.push(DistributionEffect::Event {
                kind: EventKind::ConfigRefused,
                fields: vec![
                    mark.version.to_string(),
                    "1".to_owned(),
                    format!(
                        "{} version {} has different content at {origin}",
                        subject.as_str(),
                        mark.version
                    ),
                ],
            });
        }
    }
}
