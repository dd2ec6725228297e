//! Replica groups and their views.

use std::cmp::Ordering;
use std::collections::HashMap;
use std::sync::Arc;

use super::keys::PartitionId;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::rendezvous;
use crate::views::{InstanceList, ListVersion};

/// Number of replicas of a partition; fewer if the list has fewer instances.
pub(super) const GROUP_SIZE: usize = 3;

value_type! { copy
    /// A member of a replica group: one process of an instance.
    pub struct GroupMember {
        /// The instance.
        pub id: InstanceId,
        /// Start time of the process in ms of its wall clock; 0 while no process is known.
        pub started: u64,
    }
}

impl GroupMember {
    /// Creates the member for a process.
    pub fn of(identity: InstanceIdentity) -> Self {
        Self { id: identity.id, started: identity.incarnation.started }
    }
}

value_type! {
    /// The members of a partition's replica group under one list version.
    ///
    /// Views are partially ordered: by list version, then componentwise by the members' start
    /// times.
    #[derive(Hash)]
    pub struct GroupView {
        /// Version of the list that the group was derived from.
        pub version: ListVersion,
        /// Members, highest rank first.
        pub members: Vec<GroupMember>,
    }
}

impl PartialOrd for GroupView {
    /// Compares two views. Views of one list version can be incomparable.
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        if self.version != other.version {
            return Some(self.version.cmp(&other.version));
        }
        if !self.same_instances(other) {
            return None;
        }
        let mut order = Ordering::Equal;
        for (own, other) in self.members.iter().zip(&other.members) {
            match (order, own.started.cmp(&other.started)) {
                (_, Ordering::Equal) => {},
                (Ordering::Equal, step) => order = step,
                (order, step) if order == step => {},
                _ => return None,
            }
        }
        Some(order)
    }
}

impl GroupView {
    fn same_instances(&self, other: &Self) -> bool {
        self.members.len() == other.members.len()
            && self.members.iter().zip(&other.members).all(|(own, other)| own.id == other.id)
    }

    /// Returns whether the view is equal to the other one or above it.
    pub fn covers(&self, other: &Self) -> bool {
        other <= self
    }

    /// Returns whether the process is a member.
    pub fn contains(&self, member: GroupMember) -> bool {
        member.started != 0 && self.members.contains(&member)
    }

    /// Returns the number of members whose process is known.
    pub fn known(&self) -> usize {
        self.members.iter().filter(|member| member.started != 0).count()
    }

    /// Returns the number of grants that a claim needs.
    pub fn quorum(&self) -> usize {
        self.members.len() / 2 + 1
    }

    /// Returns the number of members that must be read to learn everything this view granted.
    ///
    /// A view with fewer known processes than a majority never granted anything, but its known
    /// members may have records of earlier views.
    pub fn read_quorum(&self) -> usize {
        self.quorum().min(self.known())
    }

    /// Returns the least upper bound of two views.
    ///
    /// Views of the same version have different instances only through a defect of the platform;
    /// the result is then `self`.
    pub fn join(&self, other: &Self) -> Self {
        match self.version.cmp(&other.version) {
            Ordering::Less => other.clone(),
            Ordering::Greater => self.clone(),
            Ordering::Equal if !self.same_instances(other) => self.clone(),
            Ordering::Equal => {
                let members = self.members.iter().zip(&other.members);
                Self {
                    version: self.version,
                    members: members
                        .map(|(own, other)| GroupMember {
                            id: own.id,
                            started: own.started.max(other.started),
                        })
                        .collect(),
                }
            },
        }
    }
}

/// Derives group views from the instance list and the known incarnations.
#[derive(Clone, Debug, Default)]
pub(super) struct GroupTable {
    list: Arc<InstanceList>,
    /// Ranked members per partition under `list`.
    ranks: Vec<Vec<InstanceId>>,
    /// Highest start time seen per instance.
    started: HashMap<InstanceId, u64>,
    /// Start times of the processes that failure detection considers alive.
    live: HashMap<InstanceId, u64>,
}

impl GroupTable {
    /// Applies a list of the same or a higher version and the live processes. Returns whether any
    /// group view may have changed.
    pub(super) fn update(
        &mut self,
        list: &Arc<InstanceList>,
        live: &[InstanceIdentity],
        partitions: u16,
    ) -> bool {
        let mut changed = false;
        if self.ranks.is_empty() || list.version > self.list.version {
            self.ranks = (0..partitions)
                .map(|partition| {
                    let entries = list.entries.iter().map(|entry| (entry.id, entry.zone));
                    rendezvous::spread(u64::from(partition), entries, GROUP_SIZE)
                })
                .collect();
            self.list = list.clone();
            changed = true;
        }
        self.live = live.iter().map(|peer| (peer.id, peer.incarnation.started)).collect();
        for peer in live {
            changed |= self.record_start(peer.id, peer.incarnation.started);
        }
        changed
    }

    /// Records a start time. Returns whether it is higher than all earlier ones.
    pub(super) fn record_start(&mut self, id: InstanceId, started: u64) -> bool {
        let known = self.started.entry(id).or_default();
        let higher = started > *known;
        *known = started.max(*known);
        higher
    }

    /// Gets the view of a partition, or `None` before the first list.
    pub(super) fn view(&self, partition: PartitionId) -> Option<GroupView> {
        let ranked =
            self.ranks.get(usize::from(partition.0)).filter(|ranked| !ranked.is_empty())?;
        let members = ranked
            .iter()
            .map(|&id| GroupMember { id, started: self.started.get(&id).copied().unwrap_or(0) })
            .collect();
        Some(GroupView { version: self.list.version, members })
    }

    /// Returns whether failure detection considers the instance's process with this start time
    /// alive.
    pub(super) fn is_live(&self, id: InstanceId, started: u64) -> bool {
        self.live.get(&id) == Some(&started)
    }

    /// Gets the instances of the list.
    pub(super) fn instances(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.list.entries.iter().map(|entry| entry.id)
    }

    pub(super) fn list(&self) -> Arc<InstanceList> {
        self.list.clone()
    }

    pub(super) fn version(&self) -> ListVersion {
        self.list.version
    }
}
