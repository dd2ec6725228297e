//! Transfer of a newer version from a peer.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::time::Timestamp;

/// A fetch in progress.
#[derive(Debug)]
struct PendingFetch {
    version: u64,
    number: u32,
    source: InstanceId,
    sent: Timestamp,
    /// Other peers that reported the version and have not been asked for it.
    alternatives: Vec<InstanceId>,
}

/// Fetch of one subject, at most one at a time.
#[derive(Debug, Default)]
pub(super) struct FetchState {
    pending: Option<PendingFetch>,
}

impl FetchState {
    /// Records that `peer` has `version`. Returns whether the caller must fetch it from there with
    /// the given number: if no fetch is pending, or only one of a lower version.
    pub fn add_source(
        &mut self,
        now: Timestamp,
        version: u64,
        peer: InstanceId,
        number: u32,
    ) -> bool {
        match &mut self.pending {
            Some(fetch) if version < fetch.version => false,
            Some(fetch) if version == fetch.version => {
                if fetch.source != peer && !fetch.alternatives.contains(&peer) {
                    fetch.alternatives.push(peer);
                }
                false
            },
            _ => {
                let alternatives = Vec::new();
                self.pending =
                    Some(PendingFetch { version, number, source: peer, sent: now, alternatives });
                true
            },
        }
    }

    /// Returns when the fetch with the given number was sent.
    pub fn sent(&self, number: u32) -> Option<Timestamp> {
        let fetch = self.pending.as_ref().filter(|fetch| fetch.number == number)?;
        Some(fetch.sent)
    }

    /// Ends the pending fetch if `version` is at least the fetched one. Returns whether a fetch is
    /// still pending.
    pub fn finish(&mut self, version: u64) -> bool {
        self.pending.take_if(|fetch| fetch.version <= version);
        self.pending.is_some()
    }

    /// Switches to the next peer that reported the version and returns it. Without such a peer,
    /// ends the fetch and returns `None`.
    pub fn next_source(&mut self, now: Timestamp, number: u32) -> Option<InstanceId> {
        let fetch = self.pending.as_mut()?;
        let Some(next) = fetch.alternatives.pop() else {
            self.pending = None;
            return None;
        };
        fetch.source = next;
        fetch.sent = now;
        fetch.number = number;
        Some(next)
    }

    /// Returns whether a fetch of at least `version` is pending.
    pub fn covers(&self, version: u64) -> bool {
        self.pending.as_ref().is_some_and(|fetch| fetch.version >= version)
    }

    /// Returns whether the pending fetch was sent to `peer`.
    pub fn is_from(&self, peer: InstanceId) -> bool {
        self.pending.as_ref().is_some_and(|fetch| fetch.source == peer)
    }

    /// Returns whether the pending fetch has the given number.
    pub fn has_number(&self, number: u32) -> bool {
        self.pending.as_ref().is_some_and(|fetch| fetch.number == number)
    }

    pub fn deadline(&self, timeout: Duration) -> Option<Timestamp> {
        self.pending.as_ref().map(|fetch| fetch.sent + timeout)
    }

    pub fn clear(&mut self) {
        self.pending = None;
    }
}
