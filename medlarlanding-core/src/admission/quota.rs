//! Division of a customer's limit of open requests between the instances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{CustomerId, InstanceId, InstanceIdentity};
use crate::time::Timestamp;

use super::messages::{CustomerAllotment, CustomerCount};

/// Number of requests that one instance may have open, and the count it last reported.
#[derive(Clone, Copy, Debug)]
struct InstanceAllotment {
    /// Start of the instance's process, in the terms of `Incarnation::started`.
    started: u64,
    seq: u64,
    allotment: u32,
    open: u32,
    reported_at: Timestamp,
}

value_type! {
    /// State of a [`CustomerQuota`] in the dump.
    pub struct CustomerQuotaDump {
        /// The customer.
        pub customer: CustomerId,
        /// Limit of open requests over all instances.
        pub limit: u32,
        /// Number of requests that each instance may have open.
        pub allotments: Vec<(InstanceId, u32)>,
    }
}

/// Divides a customer's limit of open requests between the instances, at the customer's manager.
///
/// Invariant: an instance is allotted more than it has open only as far as the limit leaves room
/// beside all other allotments. So the sum of the allotments exceeds the limit only by requests
/// that instances opened without this manager, for example while they could not reach it.
#[derive(Clone, Debug)]
pub struct CustomerQuota {
    customer: CustomerId,
    limit: u32,
    lease: Duration,
    warm_up_until: Timestamp,
    instances: BTreeMap<InstanceId, InstanceAllotment>,
}

impl CustomerQuota {
    /// Creates a quota without allotments. Before `warm_up_until` instances may hold allotments
    /// of an earlier manager.
    pub fn new(customer: CustomerId, lease: Duration, warm_up_until: Timestamp) -> Self {
        Self { customer, limit: 0, lease, warm_up_until, instances: BTreeMap::new() }
    }

    /// Moves the end of the warm-up. Needed after a pause of the process, in which another
    /// instance may have become the manager.
    pub fn set_warm_up_until(&mut self, warm_up_until: Timestamp) {
        self.warm_up_until = warm_up_until;
    }

    /// Records an instance's count and returns its allotment, or `None` if the same or a later count
    /// of that instance was already processed.
    ///
    /// During the warm-up an instance is allotted at most an equal share of the limit, or what it
    /// has open if that is more. The customer is over its soft limit while it has more than
    /// `soft_limit_fraction` of its limit open.
    pub fn count(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        seq: u64,
        count: &CustomerCount,
        live: usize,
        soft_limit_fraction: f64,
    ) -> Option<CustomerAllotment> {
        let (from, started) = (from.id, from.incarnation.started);
        let known = self.instances.get(&from);
        if known.is_some_and(|known| (known.started, known.seq) >= (started, seq)) {
            return None;
        }
        self.limit = count.limit;
        let others: u32 = self
            .instances
            .iter()
            .filter(|&(&id, _)| id != from)
            .fold(0, |sum, (_, other)| sum.saturating_add(other.allotment));
        let spare = count.limit.saturating_sub(others).saturating_sub(count.open);
        let equal_share = spare.div_ceil(live.max(1) as u32);
        let extra = if now < self.warm_up_until {
            (count.limit / live.max(1) as u32).saturating_sub(count.open).min(spare)
        } else {
            equal_share.max(count.wanted).min(spare)
        };
        let allotment = count.open.saturating_add(extra);
        assert!(
            allotment <= count.open.max(count.limit.saturating_sub(others)),
            "an allotment must not exceed the limit left by the other instances"
        );
        let open = count.open;
        let entry = InstanceAllotment { started, seq, allotment, open, reported_at: now };
        self.instances.insert(from, entry);
        let open: u32 = self.instances.values().map(|instance| instance.open).sum();
        let over_soft_limit = f64::from(open) > f64::from(count.limit) * soft_limit_fraction;
        Some(CustomerAllotment { customer: self.customer, allotment, over_soft_limit })
    }

    /// Removes the allotments of instances that have not reported for one lease. Returns whether
    /// any remain.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let lease = self.lease;
        self.instances.retain(|_, instance| now.since(instance.reported_at) <= lease);
        !self.instances.is_empty()
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> CustomerQuotaDump {
        CustomerQuotaDump {
            customer: self.customer,
            limit: self.limit,
            allotments: self.instances.iter().map(|(&id, entry)| (id, entry.allotment)).collect(),
        }
    }
}
