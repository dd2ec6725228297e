//! Heartbeats that watchers of the platform send to the whole fleet.

use std::time::Duration;

use crate::ids::{InstanceId, stable_hash};
use crate::rendezvous;
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Returns the rendezvous key by which the watchers are ranked.
pub(super) fn watcher_key() -> u64 {
    stable_hash(b"watch")
}

#[derive(Clone, Copy, Debug)]
struct ReceivedHeartbeat {
    started: u64,
    number: u32,
    at: Timestamp,
}

/// Last heartbeat of each watcher.
#[derive(Debug, Default)]
pub(super) struct HeartbeatLog {
    last: IndexMap<InstanceId, ReceivedHeartbeat>,
}

impl HeartbeatLog {
    /// Records a heartbeat and removes those received more than `retention` ago. Returns whether
    /// the heartbeat is newer than the last one of the watcher.
    pub fn record(
        &mut self,
        now: Timestamp,
        watcher: InstanceId,
        started: u64,
        number: u32,
        retention: Duration,
    ) -> bool {
        self.last.retain(|_, heartbeat| now.since(heartbeat.at) < retention);
        if let Some(heartbeat) = self.last.get(&watcher)
            && (heartbeat.started, heartbeat.number) >= (started, number)
        {
            return false;
        }
        self.last.insert(watcher, ReceivedHeartbeat { started, number, at: now });
        true
    }

    /// Returns whether fewer than `count` watchers with a recent heartbeat rank above `watcher`.
    ///
    /// Only heartbeats of these watchers are forwarded, which bounds the traffic when many
    /// instances watch at the same time.
    pub fn is_ranked(&self, watcher: InstanceId, count: usize) -> bool {
        let own = rendezvous::weight(watcher_key(), watcher);
        let above = self
            .last
            .keys()
            .filter(|&&other| rendezvous::weight(watcher_key(), other) > own)
            .count();
        above < count
    }
}
