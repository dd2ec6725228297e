//! Decides which instances of the product's own interface are sent entries of the ledger.
//!
//! Load pattern: after an end every instance has something to say about common parts of prompts. If each
//! told all others, messages would grow with the square of the fleet.

use crate::ids::{InstanceId, InstanceIdentity};

use indexmap::IndexSet;

/// Number of instances that pass entries on to all others. With three, two may fail at the same time.
const RELAY_COUNT: usize = 3;

/// Receivers of an instance's entries.
///
/// The live instances with the lowest ids are the relays. The others send entries to them; relays
/// send what is new to all, and everything to instances that join.
#[derive(Debug)]
pub struct LedgerSharing {
    own: InstanceId,
    /// Processes that are known to this one.
    known: IndexSet<InstanceIdentity>,
}

impl LedgerSharing {
    /// Creates the state of an instance that knows no others.
    pub fn new(own: InstanceId) -> Self {
        Self { own, known: IndexSet::new() }
    }

    fn relays(&self, live: &[InstanceIdentity]) -> Vec<InstanceId> {
        let mut ids: Vec<InstanceId> = live.iter().map(|identity| identity.id).collect();
        ids.push(self.own);
        ids.sort_unstable();
        ids.dedup();
        ids.truncate(RELAY_COUNT);
        ids
    }

    /// Returns whether the instance passes entries on.
    pub fn is_relay(&self, live: &[InstanceIdentity], instance: InstanceId) -> bool {
        self.relays(live).contains(&instance)
    }

    /// Returns the instances that are sent new entries. `live` are the other live instances.
    pub fn targets(&self, live: &[InstanceIdentity]) -> Vec<InstanceId> {
        let ids = if self.is_relay(live, self.own) {
            live.iter().map(|identity| identity.id).collect()
        } else {
            self.relays(live)
        };
        ids.into_iter().filter(|id| *id != self.own).collect()
    }

    /// Returns the instances that have joined or restarted since the last call, if this instance is to
    /// send them all entries.
    pub fn take_newcomers(&mut self, live: &[InstanceIdentity]) -> Vec<InstanceId> {
        let earlier = std::mem::replace(&mut self.known, live.iter().copied().collect());
        if !self.is_relay(live, self.own) {
            return Vec::new();
        }
        let newcomers = self.known.iter().filter(|identity| !earlier.contains(*identity));
        newcomers.map(|identity| identity.id).collect()
    }
}
