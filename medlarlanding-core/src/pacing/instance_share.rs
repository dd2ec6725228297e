//! Share of one instance in a limit that many instances apply independently.

use crate::ids::{InstanceId, stable_hash};
use crate::rendezvous;

/// Share of this instance in the limits of one server.
///
/// The shares of instances that know the same instances add up to the limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InstanceShare {
    /// Number of instances; at least 1.
    instances: u32,
    /// Number of instances that rendezvous hashing ranks before this one for the server.
    rank: u32,
}

impl InstanceShare {
    /// Returns the share of the only instance.
    pub fn whole() -> Self {
        Self { instances: 1, rank: 0 }
    }

    /// Ranks `own` among `others` for the server start with the hash `server`.
    pub fn of_instance(
        server: u64,
        own: InstanceId,
        others: impl IntoIterator<Item = InstanceId>,
    ) -> Self {
        let key = stable_hash(&server.to_le_bytes());
        let place = |instance| (rendezvous::weight(key, instance), instance);
        let own_place = place(own);
        let mut share = Self::whole();
        for other in others.into_iter().filter(|other| *other != own) {
            share.instances += 1;
            share.rank += u32::from(place(other) > own_place);
        }
        share
    }

    /// Returns the number of instances.
    pub fn instances(self) -> u32 {
        self.instances
    }

    /// Returns this instance's part of a limit: whole numbers that add up to the limit, with at least
    /// one for the instances that rank first.
    pub fn of_limit(self, limit: u32) -> u32 {
        let limit = limit.max(1);
        limit / self.instances + u32::from(self.rank < limit % self.instances)
    }

    /// Returns the smallest limit of which this instance has a part.
    pub fn first_limit(self) -> u32 {
        self.rank + 1
    }
}
