//! Messages and version reports from peers, and fetches of newer versions.

use super::{ConfigDistributor, Phase, confirmation_time};
use crate::distribution::delta::TextDelta;
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::{DistributionMessage, Payload, ValueBody, VersionMark};
use crate::distribution::store::Offer;
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
                    query.unanswered.swap_remove(&from);
                }
                self.handle_peer_version(now, from, Subject::Config, config, effects);
                self.handle_peer_version(now, from, Subject::List, list, effects);
            },
            DistributionMessage::Announce { subject, mark } => {
                self.report_conflict(subject, mark, Some(from), effects);
                self.handle_peer_version(now, from, subject, mark.version, effects);
            },
            DistributionMessage::Fetch { subject, number, base } => {
                let reply = self.value_reply(now, subject, number, base);
                Self::send(from, PeerTransport::Stream, reply, effects);
            },
            DistributionMessage::Value { number, mark, age_ms, body } => {
                self.handle_value(now, from, (number, mark, age_ms), body, effects);
            },
            DistributionMessage::Missing { number } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.has_number(number) {
                        self.fetch_from_next(now, subject, effects);
                    }
                }
            },
            DistributionMessage::Heartbeat { watcher, started, number, config, list } => {
                self.handle_heartbeat(
                    now,
                    from,
                    (watcher, started, number),
                    (config, list),
                    effects,
                );
            },
        }
    }

    /// Creates the answer to a fetch. Contains only the difference from `base` if that is a known
    /// configuration version.
    fn value_reply(
        &self,
        now: Timestamp,
        subject: Subject,
        number: u32,
        base: Option<VersionMark>,
    ) -> DistributionMessage {
        let store = &self.subject(subject).store;
        let Some((mark, payload)) = store.in_effect() else {
            return DistributionMessage::Missing { number };
        };
        let known = base.and_then(|base| Some((base, store.get(base)?)));
        let body = match (known, payload) {
            (Some((base, Payload::Config(base_text))), Payload::Config(text)) => {
                ValueBody::Delta { base, delta: TextDelta::between(base_text, text) }
            },
            _ => ValueBody::Full(payload.clone()),
        };
        let age_ms = store.confirmed().map(|at| age_ms(now, at));
        DistributionMessage::Value { number, mark: *mark, age_ms, body }
    }

    pub(super) fn handle_value(
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
        let Some(sent) = state.fetch.sent(number) else {
            return;
        };
        let payload = match body {
            ValueBody::Full(payload) => Some(payload),
            ValueBody::Delta { base, delta } => match state.store.get(base) {
                Some(Payload::Config(text)) => {
                    delta.apply(text).map(|text| Payload::Config(text.into()))
                },
                _ => None,
            },
        };
        // If the content doesn't match its digest, or the version is below the one that was
        // reported, the reported version is fetched from the next peer.
        let payload = payload.filter(|payload| payload.digest() == mark.digest);
        let version = payload.as_ref().map_or(0, |_| mark.version);
        if state.fetch.finish(version) {
            self.fetch_from_next(now, subject, effects);
        }
        if let Some(payload) = payload {
            let confirmed = age_ms.and_then(|age| confirmation_time(sent, age));
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
        let base = self.subject(subject).store.in_effect().map(|&(mark, _)| mark);
        let message = DistributionMessage::Fetch { subject, number, base };
        Self::send(to, PeerTransport::Stream, message, effects);
    }

    pub(super) fn handle_peer_versions(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        versions: &VersionStatus,
        probe_sent: Option<Timestamp>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        for subject in Subject::ALL {
            let reported = versions.get(subject);
            if let (Some(sent), Some(age)) = (probe_sent, reported.age_ms)
                && let Some(at) = confirmation_time(sent, age)
            {
                self.subject_mut(subject).store.confirm(reported.version, at);
            }
            self.handle_peer_version(now, from, subject, reported.version, effects);
        }
    }

    /// Processes the information that a version is in effect at a peer: records it while a query is
    /// in progress, otherwise fetches the version if it is newer.
    pub(super) fn handle_peer_version(
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
            // The query ended without any report. Other peers may have a newer version than the
            // first one that reports afterwards, so all are queried again.
            self.start_query(now);
        }
        if let Some(Phase::Querying(query)) = &mut self.phase {
            match subject {
                Subject::Config => query.record(now, peer, version, 0),
                Subject::List => query.record(now, peer, 0, version),
            }
            return;
        }
        if peer == self.identity.id || !self.subject(subject).store.should_fetch(version) {
            return;
        }
        let number = self.next_number();
        if self.subject_mut(subject).fetch.add_source(now, version, peer, number) {
            self.send_fetch(peer, subject, number, effects);
        }
    }

    /// Sends the pending fetch to the next peer that reported the version, or ends it if there is
    /// none.
    pub(super) fn fetch_from_next(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let number = self.next_number();
        if let Some(peer) = self.subject_mut(subject).fetch.next_source(now, number) {
            self.send_fetch(peer, subject, number, effects);
        }
    }
}
