//! Query of the versions in effect at peers, at the start of the process and after a pause.

use super::versions::Subject;
use crate::ids::InstanceId;
use crate::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

/// A query in progress.
#[derive(Debug)]
pub(super) struct PeerQuery {
    pub number: u32,
    pub started: Timestamp,
    pub next_send: Timestamp,
    /// Whether peers to query were chosen. False as long as no peers are known.
    pub peers_chosen: bool,
    /// Queried peers that have not answered yet.
    pub unanswered: IndexSet<InstanceId>,
    /// Configuration and list version of each peer that reported.
    reports: IndexMap<InstanceId, (u64, u64)>,
    /// Time of the first report of a configuration version.
    pub first_report: Option<Timestamp>,
}

impl PeerQuery {
    pub fn new(at: Timestamp, number: u32) -> Self {
        Self {
            number,
            started: at,
            next_send: at,
            peers_chosen: false,
            unanswered: IndexSet::new(),
            reports: IndexMap::new(),
            first_report: None,
        }
    }

    /// Records versions that a peer reported, in its answer or in any other message. 0 means that
    /// nothing was reported about a subject.
    pub fn record(&mut self, now: Timestamp, peer: InstanceId, config: u64, list: u64) {
        let report = self.reports.entry(peer).or_default();
        report.0 = report.0.max(config);
        report.1 = report.1.max(list);
        if config > 0 {
            self.first_report.get_or_insert(now);
        }
    }

    /// Returns the highest reported version of a subject and the peers that reported it.
    pub fn highest(&self, subject: Subject) -> Option<(u64, Vec<InstanceId>)> {
        let version_of = |report: &(u64, u64)| match subject {
            Subject::Config => report.0,
            Subject::List => report.1,
        };
        let highest = self.reports.values().map(version_of).max().filter(|&max| max > 0)?;
        let sources = self
            .reports
            .iter()
            .filter(|(_, report)| version_of(report) == highest)
            .map(|(&peer, _)| peer)
            .collect();
        Some((highest, sources))
    }
}
