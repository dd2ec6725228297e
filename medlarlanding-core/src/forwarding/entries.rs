//! Log of server entries with the revisions of their changes, which tells what a peer lacks.
//!
//! All revisions are of one history of the store; `StoreView` begins a new log with each history.

use std::sync::Arc;

use super::directory::{DirectoryChange, ServerEntry};

use indexmap::IndexMap;

/// Most removals that the log keeps. Beyond it the older half is dropped, and peers that lack one
/// of those get a snapshot.
const REMOVED_LIMIT: usize = 2_000;

value_type! {
    /// Entries that a peer lacks.
    pub struct EntryDelta {
        /// Store revision that the receiver has reached once it has applied the changes.
        pub revision: u64,
        /// The changes contain all entries; the receiver removes any other entry that it has.
        #[serde(rename = "is_whole")]
        pub is_snapshot: bool,
        /// Entries that were written or removed.
        pub changes: Vec<DirectoryChange>,
    }
}

#[derive(Clone, Debug)]
struct LoggedEntry {
    /// The entry; `None` if it was removed.
    entry: Option<ServerEntry>,
    /// Store revision at which the entry last changed, or a later one.
    changed_at: u64,
    /// Latest store revision at which the entry is known to have had this content; never below
    /// `changed_at`.
    confirmed_at: u64,
}

/// Server entries with the store revisions at which they last changed.
#[derive(Clone, Debug, Default)]
pub struct EntryLog {
    /// Store revision up to which all changes are recorded; 0 before the store was first read.
    revision: u64,
    /// Store revision at which any entry last changed; never above `revision`.
    changed_revision: u64,
    /// Removals at or before this store revision may be missing.
    history_start: u64,
    entries: IndexMap<Arc<str>, LoggedEntry>,
}

impl EntryLog {
    /// Returns the store revision up to which all changes are recorded; 0 before the store was
    /// first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Notes that all changes up to a store revision are recorded.
    pub fn advance(&mut self, revision: u64) {
        if self.revision == 0 {
            self.history_start = revision;
        }
        self.revision = self.revision.max(revision);
    }

    /// Notes that all changes up to a store revision are recorded and that entries changed.
    pub fn advance_with_changes(&mut self, revision: u64) {
        self.advance(revision);
        self.changed_revision = self.changed_revision.max(revision);
    }

    /// Returns the store revision at which any entry last changed. A peer that has reached it
    /// lacks nothing.
    pub fn changed_revision(&self) -> u64 {
        self.changed_revision
    }

    /// Returns the last change of the entry with this id.
    pub fn change(&self, id: &str) -> Option<DirectoryChange> {
        let (id, logged) = self.entries.get_key_value(id)?;
        Some(logged.as_change(id))
    }

    /// Iterates over the ids of the entries that have not been removed.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.iter().filter(|(_, logged)| logged.entry.is_some()).map(|(id, _)| id)
    }

    /// Records a change, unless the entry already has the same content: it then keeps its revision,
    /// because servers rewrite their entries about every second and peers need not be told.
    ///
    /// Returns false for a change that is older than the entry, which then stays as it is: answers of
    /// the store and messages of peers overtake one another.
    pub fn record(&mut self, change: DirectoryChange, changed_at: u64) -> bool {
        let id = Arc::clone(change.id());
        let entry = match change {
            DirectoryChange::Written(entry) => Some(entry),
            DirectoryChange::Removed(_) => None,
        };
        let is_removed = entry.is_none();
        if let Some(logged) = self.entries.get_mut(&id) {
            if changed_at < logged.confirmed_at {
                return logged.entry == entry;
            }
            logged.confirmed_at = changed_at;
            if logged.entry == entry {
                return true;
            }
        }
        self.entries.insert(id, LoggedEntry { entry, changed_at, confirmed_at: changed_at });
        if is_removed {
            self.evict_removed();
        }
        true
    }

    /// Returns whether a change differs from what is recorded. The removal of an unknown entry does not.
    pub fn differs(&self, change: &DirectoryChange) -> bool {
        let logged = self.entries.get(change.id()).and_then(|logged| logged.entry.as_ref());
        match change {
            DirectoryChange::Written(entry) => logged != Some(entry),
            DirectoryChange::Removed(_) => logged.is_some(),
        }
    }

    /// Returns whether the content of an entry at a store revision is known already.
    pub fn confirms(&self, id: &str, revision: u64) -> bool {
        self.entries.get(id).is_some_and(|logged| revision <= logged.confirmed_at)
    }

    /// Records that peers have to be told of an entry again although its content has not changed.
    /// Returns false if a later change of the entry is known.
    pub fn touch(&mut self, id: &str, changed_at: u64) -> bool {
        let Some(logged) = self.entries.get_mut(id) else { return false };
        if changed_at < logged.confirmed_at {
            return false;
        }
        (logged.changed_at, logged.confirmed_at) = (changed_at, changed_at);
        true
    }

    fn evict_removed(&mut self) {
        let removed = self.entries.values().filter(|logged| logged.entry.is_none());
        let mut revisions: Vec<u64> = removed.map(|logged| logged.changed_at).collect();
        if revisions.len() <= REMOVED_LIMIT {
            return;
        }
        revisions.sort_unstable();
        let limit = revisions[revisions.len() / 2];
        self.entries.retain(|_, logged| logged.entry.is_some() || logged.changed_at > limit);
        self.history_start = self.history_start.max(limit);
    }

    /// Returns the changes after the store revision `known`, or a snapshot if the log no longer
    /// has them all. Returns `None` if there are none.
    pub fn delta_since(&self, known: u64) -> Option<EntryDelta> {
        if known >= self.revision {
            return None;
        }
        let is_snapshot = known < self.history_start;
        let is_lacking = |logged: &LoggedEntry| {
            if is_snapshot { logged.entry.is_some() } else { logged.changed_at > known }
        };
        let lacking = self.entries.iter().filter(|(_, logged)| is_lacking(logged));
        let changes = lacking.map(|(id, logged)| logged.as_change(id)).collect();
        Some(EntryDelta { revision: self.revision, is_snapshot, changes })
    }
}

impl LoggedEntry {
    fn as_change(&self, id: &Arc<str>) -> DirectoryChange {
        match &self.entry {
            Some(entry) => DirectoryChange::Written(entry.clone()),
            None => DirectoryChange::Removed(Arc::clone(id)),
        }
    }
}
