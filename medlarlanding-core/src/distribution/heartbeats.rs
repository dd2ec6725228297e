//! Confirmations that watchers send to the whole fleet.

use std::time::Duration;

use crate::ids::{InstanceId, stable_hash};
use crate::rendezvous;
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Returns the rendezvous key of the watcher role.
pub(super) fn watch_key() -> u64 {
    stable_hash(b"watch")
}

#[derive(Clone, Copy, Debug)]
struct Heard {
    started: u64,
    number: u32,
    at: Timestamp,
}

/// Last confirmation of each watcher.
#[derive(Debug, Default)]
pub(super) struct HeartbeatLog {
    heard: IndexMap<InstanceId, Heard>,
}

impl HeartbeatLog {
    /// Records a confirmation. Returns whether it is new.
    pub fn record(
        &mut self,
        now: Timestamp,
        watcher: InstanceId,
        started: u64,
        number: u32,
        keep: Duration,
    ) -> bool {
        self.heard.retain(|_, heard| now.since(heard.at) < keep);
        if let Some(heard) = self.heard.get(&watcher)
            && (heard.started, heard.number) >= (started, number)
        {
            return false;
        }
        self.heard.insert(watcher, Heard { started, number, at: now });
        true
    }

    /// Returns whether a watcher is among the `count` best ranked ones that were heard lately.
    /// Others' confirmations are not passed on, which bounds the traffic when many instances
    /// watch at the same time.
    pub fn is_ranked(&self, watcher: InstanceId, count: usize) -> bool {
        let own = rendezvous::weight(watch_key(), watcher);
        let above = self
            .heard
            .keys()
            .filter(|&&other| rendezvous::weight(watch_key(), other) > own)
            .count();
        above < count
    }
}
