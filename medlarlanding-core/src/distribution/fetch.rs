//! Transfer of a newer version from a peer.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::time::Timestamp;

/// A fetch in progress.
#[derive(Debug)]
struct Attempt {
    version: u64,
    number: u32,
    from: InstanceId,
    asked: Timestamp,
    /// Other peers that reported the version, not asked yet.
    others: Vec<InstanceId>,
}

/// At most one fetch per subject, with the peers to ask if it fails.
#[derive(Debug, Default)]
pub(super) struct FetchState {
    attempt: Option<Attempt>,
}

impl FetchState {
    /// Notes that `peer` has `version`. Returns whether it is to be asked now.
    pub fn note(&mut self, now: Timestamp, version: u64, peer: InstanceId, number: u32) -> bool {
        match &mut self.attempt {
            Some(attempt) if version < attempt.version => false,
            Some(attempt) if version == attempt.version => {
                if attempt.from != peer && !attempt.others.contains(&peer) {
                    attempt.others.push(peer);
                }
                false
            },
            _ => {
                let others = Vec::new();
                self.attempt = Some(Attempt { version, number, from: peer, asked: now, others });
                true
            },
        }
    }

    /// Returns when the fetch with the given number was asked.
    pub fn asked(&self, number: u32) -> Option<Timestamp> {
        let attempt = self.attempt.as_ref().filter(|attempt| attempt.number == number)?;
        Some(attempt.asked)
    }

    /// Ends a fetch that `version` satisfies. Returns whether one that it does not satisfy
    /// remains.
    pub fn finish(&mut self, version: u64) -> bool {
        self.attempt.take_if(|attempt| attempt.version <= version);
        self.attempt.is_some()
    }

    /// Turns to the next peer. Returns it, or `None` if there is none; the fetch then ends.
    pub fn next_source(&mut self, now: Timestamp, number: u32) -> Option<InstanceId> {
        let attempt = self.attempt.as_mut()?;
        let Some(next) = attempt.others.pop() else {
            self.attempt = None;
            return None;
        };
        attempt.from = next;
        attempt.asked = now;
        attempt.number = number;
        Some(next)
    }

    /// Returns whether a fetch of at least `version` is in progress.
    pub fn covers(&self, version: u64) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.version >= version)
    }

    /// Returns whether the fetch in progress asks `peer`.
    pub fn asks(&self, peer: InstanceId) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.from == peer)
    }

    /// Returns whether the fetch in progress has the given number.
    pub fn has_number(&self, number: u32) -> bool {
        self.attempt.as_ref().is_some_and(|attempt| attempt.number == number)
    }

    pub fn deadline(&self, timeout: Duration) -> Option<Timestamp> {
        self.attempt.as_ref().map(|attempt| attempt.asked + timeout)
    }

    pub fn clear(&mut self) {
        self.attempt = None;
    }
}
