//! Messages and reports from peers, and transfers of newer versions.

use super::{ConfigDistributor, Phase, bounded_time};
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::{DistributionMessage, Payload, ValueBody, VersionMark};
use crate::distribution::track::Offer;
use crate::distribution::versions::{Subject, VersionStatus};
use crate::ids::InstanceId;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

impl ConfigDistributor {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        message: DistributionMessage,
        effects: &mut Vec<DistributionEffect>,
    ) {
        match message {
            DistributionMessage::Query { query } => {
                let versions = self.versions();
                let reply = DistributionMessage::QueryReply {
                    query,
                    config: versions.config,
                    list: versions.list,
                };
                Self::send(from, PeerTransport::Datagram, reply, effects);
            },
            DistributionMessage::QueryReply { query: number, config, list } => {
                if let Some(Phase::Querying(query)) = &mut self.phase
                    && query.number == number
                {
                    query.open.swap_remove(&from);
                }
                self.hear_version(now, from, Subject::Config, config, effects);
                self.hear_version(now, from, Subject::List, list, effects);
            },
            DistributionMessage::Announce { subject, mark } => {
                self.check_conflict(subject, mark, Some(from), effects);
                self.hear_version(now, from, subject, mark.version, effects);
            },
            DistributionMessage::Fetch { subject, number } => {
                let state = self.subject(subject);
                let confirmed = state.track.confirmed();
                let reply = match state.track.held() {
                    Some((mark, payload)) => DistributionMessage::Value {
                        number,
                        mark: *mark,
                        age_ms: confirmed.map(|at| now.since(at).as_millis() as u64),
                        body: ValueBody::Full(payload.clone()),
                    },
                    None => DistributionMessage::Missing { number },
                };
                Self::send(from, PeerTransport::Stream, reply, effects);
            },
            DistributionMessage::Value { number, mark, age_ms, body } => {
                let ValueBody::Full(payload) = body;
                self.take_value(now, from, number, mark, age_ms, payload, effects);
            },
            DistributionMessage::Missing { number } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.has_number(number) {
                        self.fetch_elsewhere(now, subject, effects);
                    }
                }
            },
            DistributionMessage::Confirm { watcher, started, wave, config, list } => {
                self.take_wave(now, from, (watcher, started, wave), (config, list), effects);
            },
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one argument per field of the message")]
    pub(super) fn take_value(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        number: u32,
        mark: VersionMark,
        age_ms: Option<u64>,
        payload: Payload,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let subject = payload.subject();
        let Some((asked, wanted)) = self.subject_mut(subject).fetch.finish(number) else {
            return;
        };
        let confirmed = age_ms.and_then(|age| bounded_time(asked, age));
        if payload.digest() == mark.digest {
            let offer = Offer { mark, payload, source: Some(from), confirmed };
            self.offer(now, subject, offer, effects);
        }
        if mark.version < wanted {
            // The peer reported a version that it does not hold; the next report starts anew.
            self.subject_mut(subject).fetch.clear();
        }
    }

    pub(super) fn compare(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        versions: &VersionStatus,
        asked: Option<Timestamp>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        for subject in Subject::ALL {
            let theirs = versions.get(subject);
            if let (Some(asked), Some(age)) = (asked, theirs.age_ms)
                && let Some(at) = bounded_time(asked, age)
            {
                self.subject_mut(subject).track.confirm(theirs.version, at);
            }
            self.hear_version(now, from, subject, theirs.version, effects);
        }
    }

    /// Takes notice that a peer holds a version.
    pub(super) fn hear_version(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        subject: Subject,
        version: u64,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some(Phase::Querying(query)) = &mut self.phase {
            match subject {
                Subject::Config => query.report(now, peer, version, 0),
                Subject::List => query.report(now, peer, 0, version),
            }
            return;
        }
        if peer == self.identity.id || !self.subject(subject).track.wants(version) {
            return;
        }
        let number = self.number();
        if self.subject_mut(subject).fetch.note(now, version, peer, number) {
            let message = DistributionMessage::Fetch { subject, number };
            Self::send(peer, PeerTransport::Stream, message, effects);
        }
    }

    pub(super) fn fetch_elsewhere(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let number = self.number();
        if let Some(peer) = self.subject_mut(subject).fetch.next_source(now, number) {
            let message = DistributionMessage::Fetch { subject, number };
            Self::send(peer, PeerTransport::Stream, message, effects);
        }
    }
}
