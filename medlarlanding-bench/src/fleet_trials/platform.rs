//! Model of the platform's configuration service in virtual time.

use std::collections::{BTreeMap, HashSet};
use std::sync::Arc;

use medlarlanding_core::distribution::{PlatformAnswer, Subject};
use medlarlanding_core::views::InstanceList;

/// Calls per second that the platform answers; further ones are refused.
pub const CALL_LIMIT: u64 = 2000;

/// A call that waits for a higher revision.
#[derive(Clone, Copy, Debug)]
pub struct PendingCall {
    /// Calling node.
    pub node: usize,
    /// Process of the node.
    pub process: u64,
    /// What is read.
    pub subject: Subject,
    /// Number of the call at the caller.
    pub call: u32,
    /// Revision to exceed.
    pub after: u64,
    /// Virtual time at which the call is answered without news, µs.
    pub until: u64,
    /// Number of the call at the platform.
    pub number: u64,
}

/// Counts of one virtual second.
#[derive(Clone, Copy, Debug, Default)]
pub struct SecondLoad {
    /// Calls started.
    pub started: u64,
    /// Calls pending at the beginning of the second.
    pub pending: u64,
    /// Calls refused for their rate.
    pub refused: u64,
}

/// The configuration service.
#[derive(Debug)]
pub struct PlatformModel {
    /// Revision and text of the configuration.
    pub config: (u64, Arc<str>),
    /// The instance list.
    pub list: Arc<InstanceList>,
    /// Whether calls fail.
    pub down: bool,
    /// Nodes that reach the platform, if not all.
    pub reachable_by: Option<HashSet<usize>>,
    /// Calls that wait.
    pub pending: Vec<PendingCall>,
    /// Load by virtual second.
    pub load: BTreeMap<u64, SecondLoad>,
    /// Nodes that were given the current configuration revision.
    pub readers: HashSet<usize>,
    /// Latest virtual time at which each list revision was published.
    list_until: BTreeMap<u64, u64>,
    last_call: u64,
}

impl PlatformModel {
    /// Creates a service that publishes the given values.
    pub fn new(config: (u64, Arc<str>), list: Arc<InstanceList>) -> Self {
        Self {
            config,
            list,
            down: false,
            reachable_by: None,
            pending: Vec::new(),
            load: BTreeMap::new(),
            readers: HashSet::new(),
            list_until: BTreeMap::new(),
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

    /// Returns whether a node's calls are answered.
    pub fn answers(&self, node: usize) -> bool {
        !self.down && self.reachable_by.as_ref().is_none_or(|nodes| nodes.contains(&node))
    }

    /// Counts a call. Returns whether it is within the limit.
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

    /// Returns a new call number.
    pub fn number(&mut self) -> u64 {
        self.last_call += 1;
        self.last_call
    }

    /// Notes that the current list is published at `now`; called before every change.
    pub fn note_published(&mut self, now: u64) {
        if !self.down {
            self.list_until.insert(self.list.version.0, now);
        }
    }

    /// Returns the latest virtual time at which a list revision was published.
    pub fn list_published(&self, revision: u64, now: u64) -> Option<u64> {
        if !self.down && self.list.version.0 == revision {
            return Some(now);
        }
        self.list_until.get(&revision).copied()
    }
}
