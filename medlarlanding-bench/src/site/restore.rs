//! Restores of the store from an older copy of itself.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::state::{SiteInner, SiteState, StoreMode, StoredItem};

/// Age up to which copies are kept.
const COPY_RETENTION: Duration = Duration::from_secs(30);

/// What becomes of connections that were open before a restore.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum OldChannels {
    /// They return nothing further.
    #[default]
    Silent,
    /// They answer from the store as it was before, with the number of its history.
    Stale,
}

/// State of the store at a time.
#[derive(Clone, Debug)]
pub(super) struct StoreCopy {
    made_at: Instant,
    pub era: u64,
    pub revision: u64,
    discarded: u64,
    pub items: BTreeMap<String, StoredItem>,
}

/// Copies of the store, and what became of connections opened before the last restore.
#[derive(Debug, Default)]
pub(super) struct StoreCopies {
    copies: Vec<StoreCopy>,
    /// Counts the times at which the store went away or came back. A connection belongs to one.
    pub period: u64,
    /// The store before the last restore, if its connections still answer.
    stale: Option<Arc<StoreCopy>>,
}

/// How the store serves a connection.
pub(super) enum ChannelState {
    /// It answers.
    Open,
    /// It returns nothing further.
    Silent,
    /// It answers from the store as it was.
    Stale(Arc<StoreCopy>),
}

/// Changes that a restore has lost.
#[derive(Clone, Debug)]
pub struct LostWrites {
    /// Keys with their last values; `None` for removed ones.
    writes: Vec<(String, Option<Vec<u8>>)>,
    era: u64,
    revision: u64,
}

impl LostWrites {
    /// Returns whether a key was written in the lost span.
    pub fn contains(&self, key: &str) -> bool {
        self.writes.iter().any(|(lost, _)| lost == key)
    }

    /// Adds what an earlier restore lost and nobody has written again.
    pub fn include(&mut self, earlier: Self) {
        let missing = earlier.writes.into_iter().filter(|(key, _)| !self.contains(key));
        let missing: Vec<_> = missing.collect();
        self.writes.extend(missing);
    }
}

impl SiteInner {
    fn copy(&self) -> StoreCopy {
        StoreCopy {
            made_at: Instant::now(),
            era: self.era,
            revision: self.revision,
            discarded: self.discarded,
            items: self.items.clone(),
        }
    }

    /// Keeps a copy of the store after a change.
    pub(super) fn keep_copy(&mut self) {
        let copy = self.copy();
        let copies = &mut self.copies.copies;
        copies.push(copy);
        let is_old = |copy: &StoreCopy| copy.made_at.elapsed() > COPY_RETENTION;
        // The last of the old ones is the state at the age that is kept.
        let old = copies.iter().take_while(|copy| is_old(copy)).count();
        copies.drain(..old.saturating_sub(1));
    }

    /// Returns how a connection that was opened in the given period is served.
    pub(super) fn channel(&self, period: u64) -> ChannelState {
        match &self.copies.stale {
            _ if period == self.copies.period && self.store_mode != StoreMode::Away => {
                ChannelState::Open
            },
            Some(stale) if period + 2 == self.copies.period => {
                ChannelState::Stale(Arc::clone(stale))
            },
            Some(_) | None => ChannelState::Silent,
        }
    }
}

impl SiteState {
    /// Makes the store go away, without an answer to anything, and come back after `away` from a copy
    /// that was made `age` before. Returns what is lost, which nobody writes again.
    pub fn restore_copy(&self, age: Duration, away: Duration, channels: OldChannels) -> LostWrites {
        let mut inner = self.lock();
        inner.store_mode = StoreMode::Away;
        inner.copies.period += 1;
        let before = inner.copy();
        drop(inner);
        self.changes.send_modify(|count| *count += 1);
        std::thread::sleep(away);
        let mut inner = self.lock();
        let is_older = |copy: &&StoreCopy| before.made_at.duration_since(copy.made_at) >= age;
        let copies = &inner.copies.copies;
        let copy = copies.iter().rev().find(is_older).or(copies.first()).unwrap_or(&before).clone();
        // What is written while the store is away is not acknowledged, so it is not lost either.
        let lost = LostWrites {
            writes: inner
                .items
                .iter()
                .filter(|(_, stored)| stored.revision > copy.revision)
                .map(|(key, stored)| (key.clone(), stored.value.clone()))
                .collect(),
            era: before.era + 1,
            revision: copy.revision,
        };
        inner.copies.copies.retain(|it| it.made_at <= copy.made_at);
        inner.copies.stale = (channels == OldChannels::Stale).then(|| Arc::new(before));
        (inner.items, inner.revision, inner.discarded) =
            (copy.items, copy.revision, copy.discarded);
        inner.era += 1;
        inner.copies.period += 1;
        inner.store_mode = StoreMode::Available;
        drop(inner);
        self.changes.send_modify(|count| *count += 1);
        lost
    }

    /// Writes again what a restore has lost, except for keys written since and if the store was restored
    /// again.
    pub fn write_again(&self, lost: &LostWrites) {
        for (key, value) in &lost.writes {
            let inner = self.lock();
            let stored = inner.items.get(key);
            let is_written = stored.is_some_and(|stored| stored.revision > lost.revision);
            if inner.era != lost.era {
                return;
            }
            drop(inner);
            if !is_written {
                self.write(key, value.clone());
            }
        }
    }

    /// Raises the revision without a change of a key that instances read.
    pub fn advance_revision(&self, count: u64) {
        (0..count).for_each(|_| self.put("misc/other", b"{}"));
    }

    /// Returns the store's revision.
    pub fn revision(&self) -> u64 {
        self.lock().revision
    }

    /// Sets whether the store states the number of its history.
    pub fn state_era(&self, is_stated: bool) {
        self.lock().hides_era = !is_stated;
    }
}
