//! Account of one customer: divides its limit of open requests between the instances.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{CustomerId, InstanceId, InstanceIdentity};
use crate::time::Timestamp;

use super::messages::{CustomerAllotment, CustomerCount};

#[derive(Clone, Copy, Debug)]
struct InstanceAllotment {
    started: u64,
    seq: u64,
    allotment: u32,
    open: u32,
    heard: Timestamp,
}

value_type! {
    /// State of a customer's account for the dump.
    pub struct CustomerAccountDump {
        /// The customer.
        pub customer: CustomerId,
        /// Limit over the fleet.
        pub limit: u32,
        /// Allotment of each instance.
        pub allotments: Vec<(InstanceId, u32)>,
    }
}

/// Divides a customer's limit between the instances.
///
/// Invariant: an allotment only exceeds what the instance has open by what the limit leaves
/// after all other allotments. So the sum exceeds the limit only by requests that were opened
/// without this manager.
#[derive(Clone, Debug)]
pub struct CustomerAccount {
    customer: CustomerId,
    limit: u32,
    lease: Duration,
    warm_until: Timestamp,
    instances: BTreeMap<InstanceId, InstanceAllotment>,
}

impl CustomerAccount {
    /// Creates an account. Before `warm_until` other instances may hold allotments of an
    /// earlier manager.
    pub fn new(customer: CustomerId, lease: Duration, warm_until: Timestamp) -> Self {
        Self { customer, limit: 0, lease, warm_until, instances: BTreeMap::new() }
    }

    /// Puts off the end of the warm-up, as after a pause of this process.
    pub fn set_warm_until(&mut self, warm_until: Timestamp) {
        self.warm_until = warm_until;
    }

    /// Takes in an instance's count and returns its allotment, or `None` for a late message.
    ///
    /// The customer is in surplus while it has more than `surplus_part` of its limit open.
    ///
    /// During the warm-up an instance gets only its part of the limit.
    pub fn count(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        seq: u64,
        count: &CustomerCount,
        live: usize,
        surplus_part: f64,
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
        let part = spare.div_ceil(live.max(1) as u32);
        let extra = if now < self.warm_until {
            (count.limit / live.max(1) as u32).saturating_sub(count.open).min(spare)
        } else {
            part.max(count.wanted).min(spare)
        };
        let allotment = count.open.saturating_add(extra);
        assert!(
            allotment <= count.open.max(count.limit.saturating_sub(others)),
            "allotments must stay within the limit"
        );
        let open = count.open;
        let entry = InstanceAllotment { started, seq, allotment, open, heard: now };
        self.instances.insert(from, entry);
        let open: u32 = self.instances.values().map(|instance| instance.open).sum();
        let surplus = f64::from(open) > f64::from(count.limit) * surplus_part;
        Some(CustomerAllotment { customer: self.customer, allotment, surplus })
    }

    /// Drops the allotments of instances that no longer report. Returns whether any remain.
    pub fn tick(&mut self, now: Timestamp) -> bool {
        let lease = self.lease;
        self.instances.retain(|_, instance| now.since(instance.heard) <= lease);
        !self.instances.is_empty()
    }

    /// Returns the state for the dump.
    pub fn dump(&self) -> CustomerAccountDump {
        CustomerAccountDump {
            customer: self.customer,
            limit: self.limit,
            allotments: self.instances.iter().map(|(&id, entry)| (id, entry.allotment)).collect(),
        }
    }
}
