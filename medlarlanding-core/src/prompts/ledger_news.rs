//! Entries of the ledger of broken runs that instances send one another.

use super::parts::{PartId, RunPhase};

value_type! { copy
    /// Identifies a run that the end of its engine broke off.
    pub struct CrashKey {
        /// Identifies the engine, and its start where that is known.
        pub server: u64,
        /// Hash of the request's id.
        pub run: u64,
    }
}

value_type! {
    /// Run that the end of its engine broke off.
    pub struct CrashReport {
        /// Identifies the run and the end.
        pub key: CrashKey,
        /// Progress of the run.
        pub phase: RunPhase,
        /// Parts that the run's prompt shares with others, or some of them: the parts of a long prompt
        /// come in several reports.
        pub shared: Vec<PartId>,
        /// The prompt's own part.
        pub own: Option<PartId>,
        /// Milliseconds since the end.
        pub age_ms: u32,
    }
}

value_type! { copy
    /// Why a part is not, or hardly, suspected of an end.
    pub enum ClearReason {
        /// A run survived it before the end was known; the part may have become fatal since.
        Familiar,
        /// A run that began after the end was known survived it.
        Survived,
    }
}

value_type! {
    /// Parts of a broken run that are not suspected.
    pub struct ClearReport {
        /// The broken run.
        pub key: CrashKey,
        /// The parts.
        pub parts: Vec<PartId>,
        /// Why they are not suspected.
        pub reason: ClearReason,
    }
}

value_type! {
    /// Entries of the ledger that instances send one another.
    #[derive(Default)]
    pub struct LedgerNews {
        /// Broken runs.
        pub crashes: Vec<CrashReport>,
        /// Parts that are not suspected.
        pub clears: Vec<ClearReport>,
    }
}

impl LedgerNews {
    /// Most bytes of the entries of one message, so that it fits into a datagram.
    const MESSAGE_BYTES: usize = 2800;
    /// Most bytes of an encoded entry without its shared parts.
    const ENTRY_BYTES: usize = 45;
    /// Most bytes of an encoded part.
    const PART_BYTES: usize = 10;
    /// Most parts in one entry of a message.
    const PARTS_PER_ENTRY: usize = (Self::MESSAGE_BYTES - Self::ENTRY_BYTES) / Self::PART_BYTES;

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clears.is_empty()
    }

    /// Splits the entries into messages that fit into a datagram; the parts of a long prompt are spread
    /// over several. Broken runs come before their clears.
    pub fn split(self) -> Vec<Self> {
        let mut messages = MessageQueue::default();
        for crash in &self.crashes {
            for shared in chunks_of(&crash.shared) {
                let news = messages.open(shared.len());
                news.crashes.push(CrashReport { shared: shared.to_vec(), ..crash.clone() });
            }
        }
        for clear in &self.clears {
            for parts in chunks_of(&clear.parts) {
                let news = messages.open(parts.len());
                news.clears.push(ClearReport { parts: parts.to_vec(), ..clear.clone() });
            }
        }
        messages.all
    }
}

/// Splits the parts of an entry. There is at least one chunk, which may be empty.
fn chunks_of(parts: &[PartId]) -> impl Iterator<Item = &[PartId]> {
    let empty = parts.is_empty().then_some(parts);
    empty.into_iter().chain(parts.chunks(LedgerNews::PARTS_PER_ENTRY))
}

/// Messages that are filled one after the other.
#[derive(Debug, Default)]
struct MessageQueue {
    all: Vec<LedgerNews>,
    /// Bytes in the last message; at most `LedgerNews::MESSAGE_BYTES`.
    bytes: usize,
}

impl MessageQueue {
    /// Returns a message with room for an entry with this number of parts.
    fn open(&mut self, parts: usize) -> &mut LedgerNews {
        let bytes = LedgerNews::ENTRY_BYTES + parts * LedgerNews::PART_BYTES;
        if self.all.is_empty() || self.bytes + bytes > LedgerNews::MESSAGE_BYTES {
            self.all.push(LedgerNews::default());
            self.bytes = 0;
        }
        self.bytes += bytes;
        let last = self.all.len() - 1;
        &mut self.all[last]
    }
}

/// What was new in entries that a ledger merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedNews {
    /// Received entries that were not known.
    pub received: LedgerNews,
    /// What this instance knows about the received runs.
    pub own: LedgerNews,
}

impl MergedNews {
    /// Returns all new entries.
    pub fn into_all(self) -> LedgerNews {
        let Self { received: mut all, own } = self;
        all.crashes.extend(own.crashes);
        all.clears.extend(own.clears);
        all
    }
}
