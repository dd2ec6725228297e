//! Messages and reports from peers, and transfers of newer versions.

use super::{ConfigDistributor, Phase, bounded_time};
use crate::distribution::delta::TextDelta;
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::{DistributionMessage, Payload, ValueBody, VersionMark};
use crate::distribution::track::Offer;
use crate::distribution::versions::{Subject, VersionStatus, age_ms};
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
            DistributionMessage::Fetch { subject, number, base } => {
                let reply = self.value_reply(now, subject, number, base);
                Self::send(from, PeerTransport::Stream, reply, effects);
            },
            DistributionMessage::Value { number, mark, age_ms, body } => {
                self.take_value(now, from, (number, mark, age_ms), body, effects);
            },
            DistributionMessage::Missing { number } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.has_number(number) {
                        self.fetch_elsewhere(now, subject, effects);
                    }
                }
            },
            DistributionMessage::Confirm { watcher, started, number, config, list } => {
                self.take_heartbeat(now, from, (watcher, started, number), (config, list), effects);
            },
        }
    }

    /// Creates the answer to a fetch: the difference from `base` if that is known here.
    fn value_reply(
        &self,
        now: Timestamp,
        subject: Subject,
        number: u32,
        base: Option<VersionMark>,
    ) -> DistributionMessage {
        let track = &self.subject(subject).track;
        let Some((mark, payload)) = track.held() else {
            return DistributionMessage::Missing { number };
        };
        let known = base.and_then(|base| Some((base, track.get(base)?)));
        let body = match (known, payload) {
            (Some((base, Payload::Config(base_text))), Payload::Config(text)) => {
                ValueBody::Delta { base, delta: TextDelta::between(base_text, text) }
            },
            _ => ValueBody::Full(payload.clone()),
        };
        let age_ms = track.confirmed().map(|at| age_ms(now, at));
        DistributionMessage::Value { number, mark: *mark, age_ms, body }
    }

    pub(super) fn take_value(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        (number, mark, age_ms): (u32, VersionMark, Option<u64>),
        body: ValueBody,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let subject = match &body {
            ValueBody::Full(payload) => payload.subject(),
            ValueBody::Delta { .. } => Subject::Config,
        };
        let state = self.subject_mut(subject);
        let Some(asked) = state.fetch.asked(number) else {
            return;
        };
        let payload = match body {
            ValueBody::Full(payload) => Some(payload),
            ValueBody::Delta { base, delta } => match state.track.get(base) {
                Some(Payload::Config(text)) => {
                    delta.apply(text).map(|text| Payload::Config(text.into()))
                },
                _ => None,
            },
        };
        // A value that doesn't match its digest, or that is older than what the peer passed on, is
        // fetched from the next holder.
        let payload = payload.filter(|payload| payload.digest() == mark.digest);
        let version = payload.as_ref().map_or(0, |_| mark.version);
        if state.fetch.finish(version) {
            self.fetch_elsewhere(now, subject, effects);
        }
        if let Some(payload) = payload {
            let confirmed = age_ms.and_then(|age| bounded_time(asked, age));
            let offer = Offer { mark, payload, source: Some(from), confirmed };
            self.offer(now, subject, offer, effects);
        }
    }

    fn send_fetch(
        &self,
        to: InstanceId,
        subject: Subject,
        number: u32,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let base = self.subject(subject).track.held().map(|&(mark, _)| mark);
        let message = DistributionMessage::Fetch { subject, number, base };
        Self::send(to, PeerTransport::Stream, message, effects);
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
        if matches!(self.phase, Some(Phase::Fetching { config: 0, list: 0 }))
            && !self.is_ready()
            && version > 0
        {
            // The query ended without a report. The first peer that is heard afterwards may hold
            // an older version than others, so all are asked again.
            self.start_query(now);
        }
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
            self.send_fetch(peer, subject, number, effects);
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
            self.send_fetch(peer, subject, number, effects);
        }
    }
}
