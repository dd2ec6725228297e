//! Decides what stays in effect after the store came back from an older copy.
//!
//! Load pattern: an operator restores the store from a copy some seconds old while servers register,
//! restart and leave, and zones are evacuated. The copy does not show what happened since. Servers and
//! operator write it again within about two seconds. Until then an instance keeps to what it knew: a
//! server that the copy lacks still answers, one that has left must not get requests again because the
//! copy still lists it, and an evacuated zone stays evacuated.

use std::sync::Arc;
use std::time::Duration;

use super::directory::{ServerDirectory, ServerEntry, ServerPhase, ServerRecord};
use crate::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct RetentionParams {
    /// Time within which living servers and the operator write again what the store lost, which the
    /// platform states as about two seconds. What is still missing after it is gone.
    pub rewrite_time: Duration,
    /// Time within which the store drops the entry of a server that no longer reports: three reports,
    /// each 1.2 s after the last unless the settings say otherwise, and a margin.
    pub lapse_time: Duration,
}

impl RetentionParams {
    /// Reports of a server that the store misses before it drops the entry.
    const LAPSE_REPORTS: u32 = 3;
    /// Addition to the time of these reports, in which the removal arrives here.
    const LAPSE_MARGIN: Duration = Duration::from_secs(1);

    /// Returns the parameters for servers that report once each `report_interval`.
    pub fn for_reports(report_interval: Duration) -> Self {
        let lapse_time = report_interval * Self::LAPSE_REPORTS + Self::LAPSE_MARGIN;
        Self { lapse_time, ..Self::default() }
    }
}

impl Default for RetentionParams {
    fn default() -> Self {
        Self { rewrite_time: Duration::from_millis(2500), lapse_time: Duration::from_millis(4600) }
    }
}

/// How long what is known of a server goes before the copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HoldTime {
    /// The copy applies at once.
    Nothing,
    /// Until the entry is written in the new history, or this time has passed.
    Limited(Duration),
    /// Until the entry is written in the new history.
    UntilWritten,
}

/// How a listed entry relates to the start of a server that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StartOrder {
    Earlier,
    Same,
    Later,
    /// One of the entries does not state its start, and they name different addresses or services.
    Unknown,
}

impl StartOrder {
    fn of(known: &ServerEntry, listed: &ServerEntry) -> Self {
        let is_same_place = known.address == listed.address && known.service == listed.service;
        match (known.born_millis, listed.born_millis) {
            (0, _) | (_, 0) if is_same_place => Self::Same,
            (0, _) | (_, 0) => Self::Unknown,
            (known, listed) if listed > known => Self::Later,
            (known, listed) if listed < known => Self::Earlier,
            _ if is_same_place => Self::Same,
            _ => Self::Unknown,
        }
    }
}

/// Servers on which the first list of a history disagrees with what was known before it.
#[derive(Clone, Debug, Default)]
pub struct EntryRetention {
    params: RetentionParams,
    /// Servers whose listed entries do not apply yet, and until when; `None` until they are written.
    held: IndexMap<Arc<str>, Option<Timestamp>>,
}

impl EntryRetention {
    /// Creates a record without servers.
    pub fn new(params: RetentionParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Forgets all servers, because a later history has begun. Its first list decides anew.
    pub fn clear(&mut self) {
        self.held.clear();
    }

    /// Returns the number of held servers.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Returns whether no server is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }

    /// Compares the first list of a history with the servers that are known.
    pub fn review(
        &mut self,
        now: Timestamp,
        directory: &ServerDirectory,
        listed: &IndexMap<Arc<str>, ServerEntry>,
    ) {
        self.held.clear();
        for known in directory.latest() {
            let id = &known.entry.id;
            match self.hold_time(known, listed.get(id)) {
                HoldTime::Nothing => continue,
                HoldTime::Limited(time) => self.held.insert(Arc::clone(id), Some(now + time)),
                HoldTime::UntilWritten => self.held.insert(Arc::clone(id), None),
            };
        }
    }

    /// Releases the held servers with which a further list of the same history agrees.
    pub fn recheck(
        &mut self,
        directory: &ServerDirectory,
        listed: &IndexMap<Arc<str>, ServerEntry>,
    ) {
        let mut held = std::mem::take(&mut self.held);
        held.retain(|id, _| {
            let known = directory.find(id);
            known.is_some_and(|it| self.hold_time(it, listed.get(id)) != HoldTime::Nothing)
        });
        self.held = held;
    }

    fn hold_time(&self, known: &ServerRecord, listed: Option<&ServerEntry>) -> HoldTime {
        let Some(listed) = listed else {
            return match known.is_removed {
                true => HoldTime::Nothing,
                false => HoldTime::Limited(self.params.rewrite_time),
            };
        };
        let is_leaving = known.entry.phase == ServerPhase::Draining;
        let is_listed_ready = listed.phase == ServerPhase::Ready;
        match StartOrder::of(&known.entry, listed) {
            StartOrder::Later => HoldTime::Nothing,
            // A server that leaves does not become ready again before its next start.
            StartOrder::Same if is_leaving && is_listed_ready && listed.born_millis != 0 => {
                HoldTime::UntilWritten
            },
            StartOrder::Same if is_leaving && is_listed_ready => {
                HoldTime::Limited(self.params.lapse_time)
            },
            _ if known.is_removed => HoldTime::Limited(self.params.lapse_time),
            StartOrder::Same => HoldTime::Nothing,
            StartOrder::Earlier | StartOrder::Unknown => {
                HoldTime::Limited(self.params.rewrite_time)
            },
        }
    }

    /// Returns whether the listed entry of a server does not apply yet.
    pub fn holds(&self, id: &str) -> bool {
        self.held.contains_key(id)
    }

    /// Records that the entry of a server was written or removed in the history of the list.
    pub fn release(&mut self, id: &str) {
        self.held.swap_remove(id);
    }

    /// Takes the servers whose time has passed at a time up to which all entries are known.
    pub fn take_due(&mut self, heard_until: Timestamp) -> Vec<Arc<str>> {
        let is_due = |until: &Option<Timestamp>| until.is_some_and(|until| heard_until >= until);
        let due: Vec<Arc<str>> = self
            .held
            .iter()
            .filter(|(_, until)| is_due(until))
            .map(|(id, _)| Arc::clone(id))
            .collect();
        self.held.retain(|_, until| !is_due(until));
        due
    }
}

/// Returns whether an entry is of an earlier start of a server than the one that is known.
pub fn is_earlier_start(known: &ServerEntry, listed: &ServerEntry) -> bool {
    StartOrder::of(known, listed) == StartOrder::Earlier
}

/// Zones that were evacuated in an earlier history and of which the present one says nothing yet.
#[derive(Clone, Debug, Default)]
pub struct ZoneRetention {
    params: RetentionParams,
    zones: IndexSet<Arc<str>>,
    /// Until when the zones stay evacuated; `None` until the items of the present history were read.
    until: Option<Timestamp>,
}

impl ZoneRetention {
    /// Creates a record without zones.
    pub fn new(params: RetentionParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Keeps zones evacuated, because a later history has begun.
    pub fn keep(&mut self, zones: impl IntoIterator<Item = Arc<str>>) {
        self.zones.extend(zones);
        self.until = None;
    }

    /// Iterates over the zones.
    pub fn zones(&self) -> impl Iterator<Item = &Arc<str>> {
        self.zones.iter()
    }

    /// Records that the present history says whether a zone is evacuated.
    pub fn release(&mut self, zone: &str) {
        self.zones.shift_remove(zone);
    }

    /// Records that all items of the present history are known. The operator writes again what they lack.
    pub fn begin(&mut self, now: Timestamp) {
        if !self.zones.is_empty() {
            self.until.get_or_insert(now + self.params.rewrite_time);
        }
    }

    /// Forgets the zones once their time has passed at a time up to which everything is known.
    pub fn expire(&mut self, heard_until: Timestamp) {
        if self.until.is_some_and(|until| heard_until >= until) {
            self.zones.clear();
            self.until = None;
        }
    }
}
