//! Queue of one server: strict priority order, with deficit round robin between the customers of
//! one priority, weighted by their shares.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};

use indexmap::IndexMap;

use crate::ids::{CustomerId, InstanceId};
use crate::time::Timestamp;

use super::messages::WorkItem;

/// Key of a request at a manager: the instance, the start of its process and the request's
/// number within the process.
pub(crate) type WorkKey = (InstanceId, u64, u64);

/// A request that waits for a permit.
#[derive(Clone, Debug)]
pub struct QueuedWork {
    /// The request as last reported.
    pub item: WorkItem,
    /// Prompt plus expected output, tokens. Not updated while the request waits.
    pub cost: u32,
    /// Time at which it was queued.
    pub queued_at: Timestamp,
    /// Time of the last report.
    pub reported_at: Timestamp,
    /// Sequence number of the latest message about it.
    pub seq: u64,
    /// Level of the queue, higher served first: by priority, and within a priority customers
    /// over their soft limit last.
    pub level: u8,
    /// Caller's deadline on the manager's clock.
    pub deadline: Timestamp,
}

/// Queued requests of one customer at one level, oldest first.
#[derive(Clone, Debug, Default)]
struct CustomerFlow {
    share: u32,
    /// Tokens that the customer may still use before its next quantum.
    deficit: u64,
    keys: VecDeque<WorkKey>,
}

#[derive(Clone, Debug, Default)]
struct PriorityLevel {
    /// Customers with queued requests in round-robin order; the front one is served next.
    round: VecDeque<CustomerId>,
    flows: IndexMap<CustomerId, CustomerFlow>,
}

/// Holds the requests that wait for one server.
#[derive(Clone, Debug)]
pub struct FairQueue {
    quantum: u32,
    levels: BTreeMap<Reverse<u8>, PriorityLevel>,
    /// Every queued request. Each key is in exactly one flow.
    work: IndexMap<WorkKey, QueuedWork>,
}

impl FairQueue {
    /// Creates an empty queue in which a customer gains `quantum` tokens times its share per
    /// round.
    pub fn new(quantum: u32) -> Self {
        Self { quantum: quantum.max(1), levels: BTreeMap::new(), work: IndexMap::new() }
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.work.len()
    }

    /// Returns whether nothing is queued.
    pub fn is_empty(&self) -> bool {
        self.work.is_empty()
    }

    pub(crate) fn get_mut(&mut self, key: WorkKey) -> Option<&mut QueuedWork> {
        self.work.get_mut(&key)
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&WorkKey, &QueuedWork)> {
        self.work.iter()
    }

    /// Returns the expected tokens queued at `level` or above. The cost of a request that waits
    /// at several servers is divided by their number, because only one of them will run it.
    pub(crate) fn cost_ahead(&self, level: u8) -> f64 {
        self.work
            .values()
            .filter(|work| work.level >= level)
            .map(|work| match work.item.stage {
                super::WorkStage::Waiting { servers_asked, .. } => {
                    f64::from(work.cost) / f64::from(servers_asked.max(1))
                },
                super::WorkStage::Running => f64::from(work.cost),
            })
            .sum()
    }

    pub(crate) fn push(&mut self, key: WorkKey, work: QueuedWork) {
        let customer = work.item.customer;
        let level = self.levels.entry(Reverse(work.level)).or_default();
        let flow = level.flows.entry(customer).or_default();
        flow.share = work.item.share.max(1);
        if flow.keys.is_empty() {
            flow.deficit = 0;
            level.round.push_back(customer);
        }
        flow.keys.push_back(key);
        self.work.insert(key, work);
    }

    pub(crate) fn remove(&mut self, key: WorkKey) -> Option<QueuedWork> {
        let work = self.work.swap_remove(&key)?;
        let priority = Reverse(work.level);
        let customer = work.item.customer;
        if let Some(level) = self.levels.get_mut(&priority) {
            if let Some(flow) = level.flows.get_mut(&customer) {
                flow.keys.retain(|&other| other != key);
                if flow.keys.is_empty() {
                    level.flows.swap_remove(&customer);
                    level.round.retain(|&other| other != customer);
                }
            }
            if level.flows.is_empty() {
                self.levels.remove(&priority);
            }
        }
        Some(work)
    }

    /// Returns the request to serve next. Repeated calls return the same one until it is taken
    /// or removed, unless a request of a higher level is added.
    pub(crate) fn peek(&mut self) -> Option<(WorkKey, QueuedWork)> {
        let level = self.levels.values_mut().next()?;
        loop {
            let customer = *level.round.front()?;
            let flow = level.flows.get_mut(&customer)?;
            let key = *flow.keys.front()?;
            let work = self.work.get(&key)?;
            if flow.deficit >= u64::from(work.cost) {
                return Some((key, work.clone()));
            }
            flow.deficit += u64::from(flow.share) * u64::from(self.quantum);
            level.round.rotate_left(1);
        }
    }

    /// Removes the request that `peek` returned and deducts its cost from the customer's deficit.
    pub(crate) fn take(&mut self, key: WorkKey) -> Option<QueuedWork> {
        let work = self.work.get(&key)?;
        let (priority, customer, cost) = (work.level, work.item.customer, work.cost);
        if let Some(flow) =
            self.levels.get_mut(&Reverse(priority)).and_then(|level| level.flows.get_mut(&customer))
        {
            flow.deficit = flow.deficit.saturating_sub(u64::from(cost));
        }
        self.remove(key)
    }
}
