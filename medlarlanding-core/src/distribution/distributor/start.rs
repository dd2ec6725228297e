//! Questions to peers at the start and after a pause.

use super::{ConfigDistributor, Phase};
use crate::distribution::interface::DistributionEffect;
use crate::distribution::message::DistributionMessage;
use crate::distribution::query::PeerQuery;
use crate::distribution::versions::Subject;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

use rand::seq::IndexedRandom;

impl ConfigDistributor {
    /// Starts to ask peers at the given time.
    pub(super) fn start_query(&mut self, at: Timestamp) {
        let number = self.number();
        self.phase = Some(Phase::Querying(PeerQuery::new(at, number)));
    }

    /// Returns whether values from the platform wait until peers were asked.
    pub(super) fn holds_back(&self) -> bool {
        match self.phase {
            None | Some(Phase::Querying(_)) => true,
            Some(Phase::Fetching { config, list }) => {
                !self.reached(Subject::Config, config) || !self.reached(Subject::List, list)
            },
            Some(Phase::Current) => false,
        }
    }

    /// Returns whether a version that a peer reported needs no more waiting.
    pub(super) fn reached(&self, subject: Subject, version: u64) -> bool {
        let track = &self.subject(subject).track;
        version <= track.version() || track.has_rejected(version)
    }

    pub(super) fn run_query(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Querying(query)) = &mut self.phase else {
            return;
        };
        if now >= query.next_send {
            query.next_send = now + self.params.query_repeat;
            if !query.asked {
                let count = self.params.query_peers;
                let pool = if self.live.is_empty() { &self.known } else { &self.live };
                let chosen = pool.choose_multiple(&mut self.rng, count).copied();
                query.open = chosen.collect();
                query.asked = !query.open.is_empty();
            }
            let message = DistributionMessage::Query { query: query.number };
            for &peer in &query.open {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        let timeout = query.started + self.params.query_timeout;
        let settled = query.first_report.map(|first| first + self.params.query_settle);
        let end = Timestamp::earliest(settled, Some(timeout)).unwrap_or(timeout);
        if !query.asked || !query.open.is_empty() {
            if now < end {
                return;
            }
            // A process that was held up may have answers waiting to be read.
            if now.since(end) > self.params.query_late {
                self.start_query(now + self.params.query_repeat);
                return;
            }
        }
        let best = Subject::ALL.map(|subject| query.best(subject));
        let version = |best: &Option<(u64, _)>| best.as_ref().map_or(0, |&(version, _)| version);
        self.phase = Some(Phase::Fetching { config: version(&best[0]), list: version(&best[1]) });
        for (subject, best) in Subject::ALL.into_iter().zip(best) {
            if let Some((version, holders)) = best {
                for holder in holders {
                    self.hear_version(now, holder, subject, version, effects);
                }
            }
        }
    }

    pub(super) fn run_start(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Fetching { config, list }) = self.phase else {
            return;
        };
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            let state = self.subject(subject);
            if !self.reached(subject, version)
                && !state.fetch.covers(version)
                && state.track.validating().is_none()
            {
                // Every holder failed to send the version; another may hold it by now.
                self.start_query(now + self.params.query_repeat);
                return;
            }
        }
        if self.holds_back() {
            return;
        }
        for subject in Subject::ALL {
            if let Some(offer) = self.subject_mut(subject).candidate.take() {
                self.offer(now, subject, offer, effects);
            }
        }
        if self.is_ready() {
            self.phase = Some(Phase::Current);
            self.note_contact(now);
        }
    }
}
