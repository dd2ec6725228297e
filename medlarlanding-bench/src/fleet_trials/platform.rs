//! Model of the platform that publishes the configuration and the instance list.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use medlarlanding_core::distribution::{PlatformAnswer, Subject};
use medlarlanding_core::views::InstanceList;

/// Calls per second that the platform admits, those pending at the beginning of the second
/// included.
pub const CALL_LIMIT: u64 = 2000;

/// Call that waits for a higher revision.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall {
    /// Index of the calling instance.
    pub node: usize,
    /// Id of the calling process.
    pub process_id: u64,
    /// Value that is read.
    pub subject: Subject,
    /// Number of the call, assigned by the caller.
    pub call: u32,
    /// Revision that the answer must exceed.
    pub after: u64,
    /// Virtual time at which the call is answered without a new revision, µs.
    pub expires_at: u64,
    /// Number of the call, assigned by the platform.
    pub number: u64,
}

/// Number of calls in one virtual second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondLoad {
    /// Calls started.
    pub started: u64,
    /// Calls pending at the beginning of the second.
    pub pending: u64,
    /// Calls refused because of the rate limit.
    pub refused: u64,
}

/// Platform that publishes the configuration and the instance list.
#[derive(Debug)]
pub struct PlatformModel {
    /// Revision and text of the configuration.
    pub config: (u64, Arc<str>),
    /// The instance list.
    pub list: Arc<InstanceList>,
    /// Whether calls fail.
    pub down: bool,
    /// Nodes that can reach the platform; `None` for all.
    pub reachable_by: Option<HashSet<usize>>,
    /// Calls that wait for a higher revision.
    pub pending: Vec<PendingCall>,
    /// Number of calls by virtual second.
    pub load: BTreeMap<u64, SecondLoad>,
    /// Nodes that have read the current configuration revision.
    pub readers: HashSet<usize>,
    /// Time of the last call of `record_published` for each list revision, µs.
    list_last_published: BTreeMap<u64, u64>,
    last_call: u64,
}

impl PlatformModel {
    /// Creates a platform that publishes the given values.
    pub fn new(config: (u64, Arc<str>), list: Arc<InstanceList>) -> Self {
        Self {
            config,
            list,
            down: false,
            reachable_by: None,
            pending: Vec::new(),
            load: BTreeMap::new(),
            readers: HashSet::new(),
            list_last_published: BTreeMap::new(),
            last_call: 0,
        }
    }

    /// Returns the current revision of a subject.
    pub fn revision(&self, subject: Subject) -> u64 {
        match subject {
            Subject::Config => self.config.0,
            Subject::List => self.list.version.0,
        }
    }

    /// Returns the current value of a subject.
    pub fn value(&self, subject: Subject) -> PlatformAnswer {
        match subject {
            Subject::Config => {
                PlatformAnswer::Config { revision: self.config.0, text: self.config.1.clone() }
            },
            Subject::List => PlatformAnswer::List(self.list.clone()),
        }
    }

    /// Returns whether the platform is up and a node can reach it.
    pub fn is_available_to(&self, node: usize) -> bool {
        !self.down && self.reachable_by.as_ref().is_none_or(|nodes| nodes.contains(&node))
    }

    /// Counts a call and returns whether it is within the rate limit.
    pub fn admit(&mut self, now: u64) -> bool {
        let pending = self.pending.len() as u64;
        let second = self
            .load
            .entry(now / 1_000_000)
            .or_insert(SecondLoad { pending, ..SecondLoad::default() });
        second.started += 1;
        let admitted = second.started + second.pending <= CALL_LIMIT;
        second.refused += u64::from(!admitted);
        admitted
    }

    /// Assigns a call number.
    pub fn next_call_number(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// Records that the current list is still published at `now`. Must be called before the list
    /// or the availability of the platform changes.
    pub fn record_published(&mut self, now: u64) {
        if !self.down {
            self.list_last_published.insert(self.list.version.0, now);
        }
    }

    /// Returns the latest virtual time at which a list revision was published, in µs; `None` if it
    /// never was.
    pub fn last_published(&self, revision: u64, now: u64) -> Option<u64> {
        if !self.down && self.list.version.0 == revision {
            return Some(now);
        }
        self.list_last_published.get(&revision).copied()
    }
}
