//! Table of the evacuated availability zones, merged by store revision.
//!
//! All revisions are of one history of the store; `StoreView` begins a new table with each history.
//!
//! Load pattern: an operator evacuates a zone because it is failing, at the moment at which the store
//! answers late or refuses some instances, peers restart and datagrams are lost. Every instance must
//! nevertheless send its requests elsewhere within seconds, and no late reading or message may bring
//! the zone back. When the zone is restored, all instances must use it again.

use std::sync::Arc;

use crate::ids::stable_hash;

use indexmap::IndexMap;

value_type! { copy
    /// Last known change of a zone.
    pub struct ZoneState {
        /// Store revision of the change.
        pub revision: u64,
        /// The zone was evacuated with the change, or else restored.
        pub is_evacuated: bool,
    }
}

value_type! { copy
    /// What the store says of a zone.
    pub enum ZoneEntryState {
        /// The zone is evacuated.
        Evacuated,
        /// The key of the zone was removed.
        Restored,
        /// The value cannot be decoded, so the last valid one stays in effect.
        Unreadable,
    }
}

value_type! {
    /// Item of the store that concerns a zone.
    pub struct ZoneEntry {
        /// Name of the zone.
        pub zone: Arc<str>,
        /// Store revision at which the item last changed.
        pub revision: u64,
        /// What the item says.
        pub state: ZoneEntryState,
    }
}

value_type! {
    /// A zone that was evacuated or restored.
    pub struct ZoneChange {
        /// Name of the zone.
        pub zone: Arc<str>,
        /// The state of the zone after the change.
        pub state: ZoneState,
    }
}

value_type! {
    /// Evacuated zones as of a store revision. Merging tables is commutative and idempotent, so it does
    /// not matter in which order and how often tables arrive.
    #[derive(Default)]
    pub struct EvacuationTable {
        /// Zones by name. A zone that is not listed was not evacuated at the revision `complete`, so
        /// restored zones are listed only while `complete` is lower than their revision.
        zones: IndexMap<Arc<str>, ZoneState>,
        /// Store revision up to which all changes are known; 0 if that is unknown.
        complete: u64,
    }
}

impl EvacuationTable {
    /// Returns the store revision up to which all changes are known; 0 if that is unknown.
    pub fn complete(&self) -> u64 {
        self.complete
    }

    /// Iterates over the names of the evacuated zones.
    pub fn evacuated(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter().filter(|(_, state)| state.is_evacuated).map(|(zone, _)| zone)
    }

    /// Returns whether a zone is evacuated.
    pub fn is_evacuated(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.is_evacuated)
    }

    /// Returns a number that is the same for tables with the same evacuated zones; 0 if there are none.
    ///
    /// The number does not cover `complete`, which differs between instances at most times.
    pub fn fingerprint(&self) -> u64 {
        let evacuated = self.zones.iter().filter(|(_, state)| state.is_evacuated);
        // The sum does not depend on the order of the zones.
        evacuated.fold(0, |sum: u64, (zone, state)| {
            sum.wrapping_add(stable_hash(format!("{}/{zone}", state.revision).as_bytes()))
        })
    }

    /// Applies the complete list of items that the store returned at `revision`. Returns the zones that
    /// were evacuated or restored by it.
    pub fn read_snapshot(&mut self, entries: &[ZoneEntry], revision: u64) -> Vec<ZoneChange> {
        let is_readable = entries.iter().all(|entry| entry.state != ZoneEntryState::Unreadable);
        let mut table = Self::of_entries(entries);
        if is_readable {
            table.complete = revision;
        } else {
            // Nothing is known of an unreadable zone, so the table is not complete and lists the zones
            // of which the snapshot shows that they are restored.
            for (zone, state) in &self.zones {
                let is_listed = entries.iter().any(|entry| entry.zone == *zone);
                if !is_listed && state.is_evacuated && state.revision <= revision {
                    let restored = ZoneState { revision, is_evacuated: false };
                    table.zones.insert(Arc::clone(zone), restored);
                }
            }
        }
        self.merge(&table)
    }

    /// Applies the items that changed after the revision `after` and up to `revision`. Returns the zones
    /// that were evacuated or restored by them.
    pub fn read_changes(
        &mut self,
        entries: &[ZoneEntry],
        after: u64,
        revision: u64,
    ) -> Vec<ZoneChange> {
        let is_readable = entries.iter().all(|entry| entry.state != ZoneEntryState::Unreadable);
        let has_gap = self.complete < after;
        let changes = self.merge(&Self::of_entries(entries));
        if is_readable && !has_gap {
            self.complete = self.complete.max(revision);
            self.drop_restored();
        }
        changes
    }

    /// Merges the table of a peer. Returns the zones that were evacuated or restored by it.
    pub fn merge(&mut self, other: &Self) -> Vec<ZoneChange> {
        let mut merged = self.zones.clone();
        for (zone, state) in &other.zones {
            if other.rank(zone) > self.rank(zone) {
                merged.insert(Arc::clone(zone), *state);
            }
        }
        for (zone, state) in &mut merged {
            if !other.zones.contains_key(zone) && other.rank(zone) > self.rank(zone) {
                *state = ZoneState { revision: other.complete, is_evacuated: false };
            }
        }
        let previous = std::mem::replace(&mut self.zones, merged);
        self.complete = self.complete.max(other.complete);
        let was_evacuated =
            |zone| previous.get(zone).is_some_and(|state: &ZoneState| state.is_evacuated);
        let changed =
            self.zones.iter().filter(|(zone, state)| was_evacuated(*zone) != state.is_evacuated);
        let changes =
            changed.map(|(zone, state)| ZoneChange { zone: Arc::clone(zone), state: *state });
        let changes = changes.collect();
        self.drop_restored();
        changes
    }

    /// Returns the rank of what this table says of a zone: the revision up to which it is known to hold,
    /// then whether the zone is evacuated, so that of equally recent statements the cautious one counts.
    fn rank(&self, zone: &str) -> (u64, bool, u64) {
        match self.zones.get(zone) {
            Some(state) => (state.revision.max(self.complete), state.is_evacuated, state.revision),
            None => (self.complete, false, 0),
        }
    }

    fn of_entries(entries: &[ZoneEntry]) -> Self {
        let mut zones: IndexMap<Arc<str>, ZoneState> = IndexMap::new();
        for entry in entries {
            let is_evacuated = match entry.state {
                ZoneEntryState::Evacuated => true,
                ZoneEntryState::Restored => false,
                ZoneEntryState::Unreadable => continue,
            };
            let state = ZoneState { revision: entry.revision, is_evacuated };
            let known = zones.entry(Arc::clone(&entry.zone)).or_insert(state);
            if known.revision < state.revision {
                *known = state;
            }
        }
        Self { zones, complete: 0 }
    }

    fn drop_restored(&mut self) {
        let complete = self.complete;
        self.zones.retain(|_, state| state.is_evacuated || state.revision > complete);
    }
}
