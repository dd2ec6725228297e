//! Server entries as they lie in the store, with the revisions of their changes, for peers.

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
        /// Ids with the entry as the server wrote it, or none for a removed one.
        pub entries: Vec<(String, Option<Vec<u8>>)>,
    }
}

#[derive(Clone, Debug)]
struct LoggedEntry {
    /// The entry as the server wrote it; `None` for a removed one.
    value: Option<Vec<u8>>,
    /// Revision of the change, or a later one.
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
    entries: IndexMap<String, LoggedEntry>,
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

    /// Gets an entry that is present.
    pub fn value(&self, id: &str) -> Option<&Vec<u8>> {
        self.entries.get(id)?.value.as_ref()
    }

    /// Ids of the entries that are present.
    pub fn ids(&self) -> impl Iterator<Item = &String> {
        self.entries.iter().filter(|(_, entry)| entry.value.is_some()).map(|(id, _)| id)
    }

    /// Writes or removes an entry.
    pub fn set(&mut self, id: &str, value: Option<Vec<u8>>, changed_at: u64) {
        let is_removed = value.is_none();
        self.entries.insert(id.to_owned(), LoggedEntry { value, changed_at });
        if is_removed {
            self.forget_removed();
        }
    }

    /// Replaces the value of an entry that is present by one that says nothing new, which peers
    /// need not be told.
    pub fn refresh(&mut self, id: &str, value: Vec<u8>) {
        if let Some(entry) = self.entries.get_mut(id)
            && entry.value.is_some()
        {
            entry.value = Some(value);
        }
    }

    fn forget_removed(&mut self) {
        let removed = self.entries.values().filter(|entry| entry.value.is_none());
        let mut times: Vec<u64> = removed.map(|entry| entry.changed_at).collect();
        if times.len() <= REMOVED_LIMIT {
            return;
        }
        times.sort_unstable();
        let limit = times[times.len() / 2];
        self.entries.retain(|_, entry| entry.value.is_some() || entry.changed_at > limit);
        self.floor = self.floor.max(limit);
    }

    /// Gets what a peer lacks that knows all changes up to `known`; none if it lacks nothing.
    pub fn since(&self, known: u64) -> Option<EntryDelta> {
        if known >= self.revision {
            return None;
        }
        let is_whole = known < self.floor;
        let fits = |entry: &LoggedEntry| {
            if is_whole { entry.value.is_some() } else { entry.changed_at > known }
        };
        let entries = self.entries.iter().filter(|(_, entry)| fits(entry));
        let entries = entries.map(|(id, entry)| (id.clone(), entry.value.clone())).collect();
        Some(EntryDelta { revision: self.revision, is_whole, entries })
    }
}
