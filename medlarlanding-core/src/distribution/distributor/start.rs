//! Queries and fetches from peers at the start and after a pause.

use super::{ConfigDistributor, Phase};
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::DistributionMessage;
use crate::distribution::query::PeerQuery;
use crate::distribution::versions::Subject;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

use rand::seq::IndexedRandom;

impl ConfigDistributor {
    /// Starts a query of peers, with the first messages sent at the given time.
    pub(super) fn start_query(&mut self, at: Timestamp) {
        let number = self.next_number();
        self.phase = Some(Phase::Querying(PeerQuery::new(at, number)));
    }

    /// Returns whether versions read from the platform are not accepted yet, because peers may have
    /// newer ones.
    pub(super) fn defers_platform(&self) -> bool {
        match self.phase {
            None | Some(Phase::Querying(_)) => true,
            Some(Phase::Fetching { config, list }) => {
                !self.is_resolved(Subject::Config, config) || !self.is_resolved(Subject::List, list)
            },
            Some(Phase::Current) => false,
        }
    }

    /// Returns whether a version need not be fetched: it was rejected, or it or a higher version is
    /// in effect.
    pub(super) fn is_resolved(&self, subject: Subject, version: u64) -> bool {
        let store = &self.subject(subject).store;
        version <= store.version() || store.has_rejected(version)
    }

    pub(super) fn run_query(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Querying(query)) = &mut self.phase else {
            return;
        };
        if now >= query.next_send {
            query.next_send = now + self.params.query_repeat;
            if !query.peers_chosen {
                let count = self.params.query_peers;
                let pool = if self.live.is_empty() { &self.known } else { &self.live };
                let chosen = pool.choose_multiple(&mut self.rng, count).copied();
                query.unanswered = chosen.collect();
                query.peers_chosen = !query.unanswered.is_empty();
            }
            let message = DistributionMessage::Query { query: query.number };
            for &peer in &query.unanswered {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        let timeout = query.started + self.params.query_timeout;
        let settled = query.first_report.map(|first| first + self.params.query_settle);
        let end = Timestamp::earliest(settled, Some(timeout)).unwrap_or(timeout);
        if !query.peers_chosen || !query.unanswered.is_empty() {
            if now < end {
                return;
            }
            // A process that did not run for some time may have answers that it has not read yet.
            if now.since(end) > self.params.query_overrun {
                self.start_query(now + self.params.query_repeat);
                return;
            }
        }
        let highest = Subject::ALL.map(|subject| query.highest(subject));
        let version =
            |report: &Option<(u64, _)>| report.as_ref().map_or(0, |&(version, _)| version);
        self.phase =
            Some(Phase::Fetching { config: version(&highest[0]), list: version(&highest[1]) });
        for (subject, report) in Subject::ALL.into_iter().zip(highest) {
            if let Some((version, sources)) = report {
                for source in sources {
                    self.handle_peer_version(now, source, subject, version, effects);
                }
            }
        }
    }

    /// Ends the fetching phase when the reported versions are in effect or rejected, and then
    /// offers the versions that were read from the platform.
    pub(super) fn run_fetching(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Fetching { config, list }) = self.phase else {
            return;
        };
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            let state = self.subject(subject);
            if !self.is_resolved(subject, version)
                && !state.fetch.covers(version)
                && state.store.validating().is_none()
            {
                // No peer that reported the version sent it; by now others may have it.
                self.start_query(now + self.params.query_repeat);
                return;
            }
        }
        if self.defers_platform() {
            return;
        }
        for subject in Subject::ALL {
            if let Some(offer) = self.subject_mut(subject).deferred.take() {
                self.offer(now, subject, offer, effects);
            }
        }
        if self.is_ready() {
            self.phase = Some(Phase::Current);
            self.postpone_fallback(now);
        }
    }
}
