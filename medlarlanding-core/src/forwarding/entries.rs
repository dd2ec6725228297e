//! Entries of servers with the revisions of their changes, for peers.

use std::sync::Arc;

use super::directory::{DirectoryChange, ServerEntry};

use indexmap::IndexMap;

/// Removed entries that are remembered; beyond it peers that are further behind get all entries.
const REMOVED_LIMIT: usize = 2_000;

value_type! {
    /// Entries that a peer lacks.
    pub struct EntryDelta {
        /// Revision of the store that the receiver knows afterwards.
        pub revision: u64,
        /// The entries are all there are; others that the receiver knows were removed.
        pub is_whole: bool,
        /// Entries that were written or removed.
        pub changes: Vec<DirectoryChange>,
    }
}

#[derive(Clone, Debug)]
struct LoggedEntry {
    /// The entry; `None` for a removed one.
    entry: Option<ServerEntry>,
    /// Revision of the last change that said anything new, or a later one.
    changed_at: u64,
}

/// Entries with the revisions of their changes.
#[derive(Debug, Default)]
pub struct EntryLog {
    /// Revision up to which changes are contained; 0 before the first reading.
    revision: u64,
    /// Revision of the last change that said anything new; never above `revision`.
    news: u64,
    /// Changes at or before this revision may be missing among the removed entries.
    floor: u64,
    entries: IndexMap<Arc<str>, LoggedEntry>,
}

impl EntryLog {
    /// Revision up to which changes are contained; 0 before the first reading.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records that all changes up to a revision are contained.
    pub fn advance(&mut self, revision: u64) {
        if self.revision == 0 {
            self.floor = revision;
        }
        self.revision = self.revision.max(revision);
    }

    /// Records that all changes up to a revision are contained and that some were news.
    pub fn advance_news(&mut self, revision: u64) {
        self.advance(revision);
        self.news = self.news.max(revision);
    }

    /// Revision of the last change that said anything new. Peers that know it lack nothing.
    pub fn news(&self) -> u64 {
        self.news
    }

    /// Gets the last change of an entry.
    pub fn change(&self, id: &str) -> Option<DirectoryChange> {
        let (id, logged) = self.entries.get_key_value(id)?;
        Some(logged.as_change(id))
    }

    /// Ids of the entries that are present.
    pub fn ids(&self) -> impl Iterator<Item = &Arc<str>> {
        self.entries.iter().filter(|(_, logged)| logged.entry.is_some()).map(|(id, _)| id)
    }

    /// Records a change. One that says nothing new keeps its revision: servers write their
    /// entries every second or so, and peers need not be told.
    pub fn set(&mut self, change: DirectoryChange, changed_at: u64) {
        let id = Arc::clone(change.id());
        let entry = match change {
            DirectoryChange::Written(entry) => Some(entry),
            DirectoryChange::Removed(_) => None,
        };
        let is_removed = entry.is_none();
        if self.entries.get(&id).is_some_and(|logged| logged.entry == entry) {
            return;
        }
        self.entries.insert(id, LoggedEntry { entry, changed_at });
        if is_removed {
            self.forget_removed();
        }
    }

    fn forget_removed(&mut self) {
        let removed = self.entries.values().filter(|logged| logged.entry.is_none());
        let mut times: Vec<u64> = removed.map(|logged| logged.changed_at).collect();
        if times.len() <= REMOVED_LIMIT {
            return;
        }
        times.sort_unstable();
        let limit = times[times.len() / 2];
        self.entries.retain(|_, logged| logged.entry.is_some() || logged.changed_at > limit);
        self.floor = self.floor.max(limit);
    }

    /// Gets what a peer lacks that knows all changes up to `known`; none if it lacks nothing.
    pub fn since(&self, known: u64) -> Option<EntryDelta> {
        if known >= self.revision {
            return None;
        }
        let is_whole = known < self.floor;
        let fits = |logged: &LoggedEntry| {
            if is_whole { logged.entry.is_some() } else { logged.changed_at > known }
        };
        let lacking = self.entries.iter().filter(|(_, logged)| fits(logged));
        let changes = lacking.map(|(id, logged)| logged.as_change(id)).collect();
        Some(EntryDelta { revision: self.revision, is_whole, changes })
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
