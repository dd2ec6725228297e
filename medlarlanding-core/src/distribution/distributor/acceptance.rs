//! Offers of versions on their way to being in effect.

use super::ConfigDistributor;
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::{DistributionMessage, Payload, VersionMark};
use crate::distribution::track::{Judgement, Offer};
use crate::distribution::versions::Subject;
use crate::events::EventKind;
use crate::ids::InstanceId;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

impl ConfigDistributor {
    pub(super) fn offer(
        &mut self,
        now: Timestamp,
        subject: Subject,
        offer: Offer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let mark = offer.mark;
        let confirmed = offer.confirmed;
        self.check_conflict(subject, mark, offer.source, effects);
        if offer.source.is_none() {
            self.check_platform(subject, mark.version, effects);
        }
        let rule = self.params.version_rule;
        let state = self.subject_mut(subject);
        match state.track.offer(offer, rule) {
            Judgement::Held => {
                if let Some(at) = confirmed {
                    state.track.confirm(mark.version, at);
                }
            },
            Judgement::Candidate => self.validate(now, subject, effects),
            Judgement::Waiting | Judgement::Older | Judgement::Rejected | Judgement::Conflict => {},
        }
    }

    /// Reports a platform that went back, once per version.
    fn check_platform(
        &mut self,
        subject: Subject,
        version: u64,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let track = &mut self.subject_mut(subject).track;
        let held = track.version();
        if version >= held {
            track.reported_older = 0;
        } else if version != std::mem::replace(&mut track.reported_older, version) {
            effects.push(DistributionEffect::Event {
                kind: EventKind::ConfigRefused,
                fields: vec![
                    version.to_string(),
                    "1".to_owned(),
                    format!("platform is behind {} version {held}", subject.as_str()),
                ],
            });
        }
    }

    pub(super) fn validate(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let Some(offer) = self.subject(subject).track.validating() else {
            return;
        };
        let version = offer.mark.version;
        match &offer.payload {
            Payload::Config(text) => {
                effects.push(DistributionEffect::Validate { version, text: text.clone() });
            },
            Payload::List(list) => {
                let list = list.clone();
                // Every later decision looks instances up by id, so ids must be unique.
                let mut ids: Vec<_> = list.entries.iter().map(|entry| entry.id).collect();
                ids.sort_unstable();
                let accepted = ids.windows(2).all(|pair| pair[0] != pair[1]);
                if accepted {
                    effects.push(DistributionEffect::ListInEffect(list));
                }
                self.decide(now, subject, version, accepted, effects);
            },
        }
    }

    pub(super) fn decide(
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
        let track = &mut self.subject_mut(subject).track;
        if let Some(offer) = track.decide(version, accepted, history) {
            self.announce(now, subject, &offer, effects);
        }
        if let Some(offer) = self.subject_mut(subject).track.take_waiting() {
            self.offer(now, subject, offer, effects);
        }
    }

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

    /// Announces the version in effect once more when its time has come.
    pub(super) fn run_announcements(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<DistributionEffect>,
    ) {
        for subject in Subject::ALL {
            let state = self.subject_mut(subject);
            if state.announce_at.take_if(|at| *at <= now).is_some()
                && let Some(&(mark, _)) = state.track.held()
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

    pub(super) fn check_conflict(
        &mut self,
        subject: Subject,
        mark: VersionMark,
        source: Option<InstanceId>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some((held, _)) = self.subject(subject).track.held()
            && held.version == mark.version
            && held.digest != mark.digest
        {
            let origin = source.map_or("platform".to_owned(), |peer| peer.to_string());
            effects.push(DistributionEffect::Event {
                kind: EventKind::ConfigRefused,
                fields: vec![
                    mark.version.to_string(),
                    "1".to_owned(),
                    format!("{} has other content at {origin}", subject.as_str()),
                ],
            });
        }
    }
}
