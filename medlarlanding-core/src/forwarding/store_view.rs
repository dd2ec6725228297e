//! What an instance knows of the platform's store, all of one history.
//!
//! Everything that is compared by store revision belongs to a `StoreView`, which alone decides whether
//! news is of its history: a watch, a page, a datagram and a fetched list first go through `observe`.

use std::cmp::Ordering;
use std::sync::Arc;

use super::directory::{DirectoryChange, ServerDirectory, ServerEntry};
use super::entries::{EntryDelta, EntryLog};
use super::evacuation::{EvacuationTable, ZoneChange, ZoneEntry, ZoneEntryState, ZoneState};
use super::retention::{EntryRetention, RetentionParams, ZoneRetention, is_earlier_start};
use super::store_position::{StoreEra, StorePosition};
use crate::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

/// How the history that news belongs to relates to the one that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HistoryOrder {
    /// The store has left it. The news does not apply.
    Earlier,
    /// They are the same.
    Current,
    /// It begins with this news. All revisions known before are void.
    Later,
}

/// Result of recording a complete list of server entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedChanges {
    /// Changes that apply to the directory.
    pub changes: Vec<DirectoryChange>,
    /// The list is the first one of its history.
    pub is_first: bool,
    /// Servers whose listed entries do not apply yet.
    pub retained: usize,
}

/// Entries, evacuated zones and revisions of one history of the store.
#[derive(Clone, Debug, Default)]
pub struct StoreView {
    /// History to which `entries` and `evacuations` belong.
    era: StoreEra,
    entries: EntryLog,
    evacuations: EvacuationTable,
    /// Servers whose listed entries do not apply yet.
    retained_entries: EntryRetention,
    /// Zones of earlier histories that stay evacuated.
    retained_zones: ZoneRetention,
    /// Latest time at which everything that the store held is known; the default before that is the case
    /// in this history.
    heard_until: Timestamp,
}

impl StoreView {
    /// Creates a view of a store of which nothing is known.
    pub fn new(params: RetentionParams) -> Self {
        Self {
            retained_entries: EntryRetention::new(params),
            retained_zones: ZoneRetention::new(params),
            ..Self::default()
        }
    }

    /// Returns the history that is known.
    pub fn era(&self) -> StoreEra {
        self.era
    }

    /// Compares the history that news belongs to with the known one, which it replaces if it is later.
    /// News that does not state its history is of the known one.
    pub fn observe(&mut self, era: StoreEra) -> HistoryOrder {
        match era.or(self.era).cmp(&self.era) {
            Ordering::Less => HistoryOrder::Earlier,
            Ordering::Equal => HistoryOrder::Current,
            Ordering::Greater => {
                self.era = era;
                self.entries = EntryLog::default();
                self.retained_entries.clear();
                let table = std::mem::take(&mut self.evacuations);
                self.retained_zones.keep(table.evacuated().cloned());
                self.heard_until = Timestamp::default();
                HistoryOrder::Later
            },
        }
    }

    /// Records that everything is known that the store holds at a time, because it answered a watch. What
    /// is retained is given up only by such times: an instance that hears nothing does not learn what is
    /// written again.
    pub fn note_heard(&mut self, now: Timestamp) {
        if self.entries.revision() > 0 {
            self.heard_until = self.heard_until.max(now);
        }
    }

    /// Records that an instance which watches the store knows of changes up to a position.
    pub fn note_peer(&mut self, now: Timestamp, changed: StorePosition) {
        if changed.era == self.era && changed.revision <= self.entries.revision() {
            self.note_heard(now);
        }
    }

    /// Returns the log of server entries.
    pub fn entries(&self) -> &EntryLog {
        &self.entries
    }

    /// Returns the log of server entries for changes of the known history.
    pub fn entries_mut(&mut self) -> &mut EntryLog {
        &mut self.entries
    }

    /// Returns the position up to which all changes of server entries are recorded.
    pub fn entries_position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.entries.revision() }
    }

    /// Returns the position at which any server entry last changed.
    pub fn changed_position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.entries.changed_revision() }
    }

    /// Returns the entries that a peer lacks which knows them up to a position; `None` if it lacks none,
    /// or knows a later history.
    pub fn entries_after(&self, known: StorePosition) -> Option<EntryDelta> {
        match known.era.cmp(&self.era) {
            Ordering::Less => self.entries.delta_since(0),
            Ordering::Equal => self.entries.delta_since(known.revision),
            Ordering::Greater => None,
        }
    }

    /// Returns whether changes of server entries continue what is recorded. Older ones are known already;
    /// after a gap, or before the first list, the entries have to be fetched.
    pub fn accepts_changes(&self, after: u64, revision: u64) -> bool {
        let known = self.entries.revision();
        known > 0 && after <= known && revision > known
    }

    /// Records a change of a server entry that was written after the last list. Returns `None` if a later
    /// one is known, and otherwise whether the entry differs from the recorded one.
    pub fn record_change(&mut self, change: &DirectoryChange, changed_at: u64) -> Option<bool> {
        let is_news = self.entries.differs(change);
        let is_current = self.entries.record(change.clone(), changed_at);
        is_current.then(|| {
            self.retained_entries.release(change.id());
            is_news
        })
    }

    /// Records the complete list of server entries at a revision. Returns the changes that apply.
    ///
    /// The first list of a history is compared with the servers that are known: it may have been written
    /// before what is known of some of them, which are retained as they are.
    pub fn record_list(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        list: Vec<DirectoryChange>,
        revision: u64,
    ) -> ListedChanges {
        let entry = |change: &DirectoryChange| match change {
            DirectoryChange::Written(entry) => Some((Arc::clone(&entry.id), entry.clone())),
            DirectoryChange::Removed(_) => None,
        };
        let listed: IndexMap<Arc<str>, ServerEntry> = list.iter().filter_map(entry).collect();
        let is_first = self.entries.revision() == 0;
        match is_first {
            true => self.retained_entries.review(now, directory, &listed),
            false => self.retained_entries.recheck(directory, &listed),
        }
        let missing = self.entries.ids().filter(|id| !listed.contains_key(*id));
        let removals: Vec<_> = missing.cloned().map(DirectoryChange::Removed).collect();
        let mut changes: Vec<DirectoryChange> = removals.into_iter().chain(list).collect();
        changes.retain(|change| {
            self.entries.record(change.clone(), revision)
                && !self.retained_entries.holds(change.id())
        });
        self.entries.advance_with_changes(revision);
        ListedChanges { changes, is_first, retained: self.retained_entries.len() }
    }

    /// Takes the changes of the listed entries that apply from now on.
    pub fn take_due_entries(&mut self, directory: &ServerDirectory) -> Vec<DirectoryChange> {
        let due = self.retained_entries.take_due(self.heard_until);
        let changes = due.into_iter().map(|id| match self.entries.change(&id) {
            // The start that the entry names has ended.
            Some(DirectoryChange::Written(entry))
                if directory.find(&id).is_some_and(|it| is_earlier_start(&it.entry, &entry)) =>
            {
                DirectoryChange::Removed(id)
            },
            Some(change) => change,
            None => DirectoryChange::Removed(id),
        });
        changes.collect()
    }

    /// Returns the table of evacuated zones, which peers are sent.
    pub fn evacuations(&self) -> &EvacuationTable {
        &self.evacuations
    }

    /// Returns the names of the evacuated zones, including those of earlier histories of which the known
    /// one says nothing yet.
    pub fn evacuated(&self) -> IndexSet<Arc<str>> {
        self.evacuations.evacuated().chain(self.retained_zones.zones()).cloned().collect()
    }

    /// Applies the complete list of items that the store returned at `revision`. Returns the zones that
    /// were evacuated or restored by it.
    pub fn read_zones(
        &mut self,
        now: Timestamp,
        entries: &[ZoneEntry],
        revision: u64,
    ) -> Vec<ZoneChange> {
        self.change_zones(now, |table| table.read_snapshot(entries, revision))
    }

    /// Applies the items that changed after the revision `after` and up to `revision`. Returns the zones
    /// that were evacuated or restored by them.
    pub fn change_listed_zones(
        &mut self,
        now: Timestamp,
        entries: &[ZoneEntry],
        after: u64,
        revision: u64,
    ) -> Vec<ZoneChange> {
        let before = self.evacuated();
        let restored = entries.iter().filter(|entry| entry.state == ZoneEntryState::Restored);
        restored.for_each(|entry| self.retained_zones.release(&entry.zone));
        let changes = self.evacuations.read_changes(entries, after, revision);
        self.finish_zones(now, &before, &changes)
    }

    /// Merges the table of a peer, which is of the known history. Returns the zones that were evacuated or
    /// restored by it.
    pub fn merge_zones(&mut self, now: Timestamp, table: &EvacuationTable) -> Vec<ZoneChange> {
        self.change_zones(now, |own| own.merge(table))
    }

    /// Returns the zones of earlier histories that are no longer evacuated because their time has passed.
    pub fn expire_zones(&mut self, now: Timestamp) -> Vec<ZoneChange> {
        let before = self.evacuated();
        self.retained_zones.expire(self.heard_until);
        self.finish_zones(now, &before, &[])
    }

    fn change_zones(
        &mut self,
        now: Timestamp,
        change: impl FnOnce(&mut EvacuationTable) -> Vec<ZoneChange>,
    ) -> Vec<ZoneChange> {
        let before = self.evacuated();
        let changes = change(&mut self.evacuations);
        self.finish_zones(now, &before, &changes)
    }

    /// Returns the zones whose evacuation differs from `before`. `changes` are those of the table.
    fn finish_zones(
        &mut self,
        now: Timestamp,
        before: &IndexSet<Arc<str>>,
        changes: &[ZoneChange],
    ) -> Vec<ZoneChange> {
        let listed: Vec<Arc<str>> = self.evacuations.evacuated().cloned().collect();
        listed.iter().for_each(|zone| self.retained_zones.release(zone));
        if self.evacuations.complete() > 0 {
            self.retained_zones.begin(now);
        }
        let after = self.evacuated();
        let revision = self.evacuations.complete();
        let change = |zone: &Arc<str>| {
            let known = changes.iter().find(|change| change.zone == *zone);
            let is_evacuated = after.contains(zone);
            let state = known.map_or(ZoneState { revision, is_evacuated }, |change| change.state);
            ZoneChange { zone: Arc::clone(zone), state }
        };
        before.symmetric_difference(&after).map(change).collect()
    }
}
