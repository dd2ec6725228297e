//! Questions to peers at the start of the process and after a pause.

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
    /// Whether peers were chosen; none are known at the very start.
    pub asked: bool,
    /// Peers that have not answered yet.
    pub open: IndexSet<InstanceId>,
    /// Configuration and list version of each peer that reported.
    answers: IndexMap<InstanceId, (u64, u64)>,
    /// Time of the first report of a configuration version.
    pub first_report: Option<Timestamp>,
}

impl PeerQuery {
    pub fn new(at: Timestamp, number: u32) -> Self {
        Self {
            number,
            started: at,
            next_send: at,
            asked: false,
            open: IndexSet::new(),
            answers: IndexMap::new(),
            first_report: None,
        }
    }

    /// Records what a peer holds. Reports that arrive unasked count as well.
    pub fn report(&mut self, now: Timestamp, peer: InstanceId, config: u64, list: u64) {
        let answer = self.answers.entry(peer).or_default();
        answer.0 = answer.0.max(config);
        answer.1 = answer.1.max(list);
        if config > 0 {
            self.first_report.get_or_insert(now);
        }
    }

    /// Returns the highest reported version of a subject and the peers that hold it.
    pub fn best(&self, subject: Subject) -> Option<(u64, Vec<InstanceId>)> {
        let version_of = |answer: &(u64, u64)| match subject {
            Subject::Config => answer.0,
            Subject::List => answer.1,
        };
        let best = self.answers.values().map(version_of).max().filter(|&best| best > 0)?;
        let holders = self
            .answers
            .iter()
            .filter(|(_, answer)| version_of(answer) == best)
            .map(|(&peer, _)| peer)
            .collect();
        Some((best, holders))
    }
}
