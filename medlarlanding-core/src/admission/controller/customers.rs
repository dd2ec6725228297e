//! Limits of open requests per customer: the use at this instance, and the quotas it manages.

use std::collections::BTreeMap;

use crate::admission::messages::{
    AdmissionMessage, CustomerAllotment, CustomerCount, split_for_datagrams,
};
use crate::admission::quota::CustomerQuota;
use crate::admission::record::DecisionReason;
use crate::ids::{CustomerId, InstanceId, InstanceIdentity};

use super::{AdmissionController, AdmissionEffect, CustomerUsage, OpenRequest, OpenStage};

impl AdmissionController {
    /// Returns the customer's usage at this instance, created if there is none, with its limit
    /// updated.
    pub(super) fn usage_of(&mut self, customer: CustomerId, limit: u32) -> &mut CustomerUsage {
        let now = self.now;
        let usage = self.usages.entry(customer).or_insert(CustomerUsage {
            limit,
            open_count: 0,
            allotment: 0,
            valid_until: now,
            sent: None,
            over_soft_limit: false,
            last_active: now,
        });
        usage.limit = limit;
        usage
    }

    /// Returns whether the customer's allotment allows one more request.
    pub(super) fn has_room(&self, customer: CustomerId) -> bool {
        self.usages.get(&customer).is_some_and(|usage| {
            usage.open_count < usage.allotment && self.now <= usage.valid_until
        })
    }

    /// Counts a request towards its customer's limit and requests a permit for it.
    pub(super) fn count_and_request(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.usage_of(customer, limit).open_count += 1;
        self.rank_and_request(number, effects);
    }

    /// Removes a request from its customer's count and starts requests that waited for it.
    pub(super) fn uncount_request(
        &mut self,
        customer: CustomerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let now = self.now;
        if let Some(usage) = self.usages.get_mut(&customer) {
            usage.open_count = usage.open_count.saturating_sub(1);
            usage.last_active = now;
        }
        self.admit_waiting(customer, effects);
    }

    /// Returns the requests of a customer that wait for a larger allotment, oldest first.
    pub(super) fn waiting_for_allotment(&self, customer: CustomerId) -> Vec<u64> {
        let waits = |open: &OpenRequest| {
            open.request.customer == customer
                && matches!(open.stage, OpenStage::CustomerCheck { .. })
        };
        self.open.iter().filter(|(_, open)| waits(open)).map(|(&number, _)| number).collect()
    }

    /// Requests permits for waiting requests of a customer while its allotment has room.
    pub(super) fn admit_waiting(
        &mut self,
        customer: CustomerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for number in self.waiting_for_allotment(customer) {
            if !self.has_room(customer) {
                break;
            }
            self.count_and_request(number, effects);
        }
    }

    /// Returns the number of requests that a customer may have open at this instance while the
    /// customer's manager cannot be reached.
    pub(super) fn local_allotment(&self, limit: u32) -> u32 {
        let share = f64::from(limit) * self.params.local_fraction / self.live.len().max(1) as f64;
        (share as u32).max(1)
    }

    pub(super) fn receive_counts(
        &mut self,
        from: InstanceIdentity,
        seq: u64,
        counts: &[CustomerCount],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let (now, lease, live) = (self.now, self.params.lease, self.live.len());
        let warm_up_until = self.live_since + lease;
        let soft_limit_fraction = self.params.soft_limit_fraction;
        let mut allotments = Vec::with_capacity(counts.len());
        for count in counts {
            if self.customer_manager(count.customer).is_none_or(|m| m.id != self.own.id) {
                continue;
            }
            let quota = self
                .customers
                .entry(count.customer)
                .or_insert_with(|| CustomerQuota::new(count.customer, lease, warm_up_until));
            allotments.extend(quota.count(now, from, seq, count, live, soft_limit_fraction));
        }
        if !allotments.is_empty() {
            self.send(from, AdmissionMessage::Allot { seq, allotments }, effects);
        }
    }

    pub(super) fn receive_allotments(
        &mut self,
        seq: u64,
        allotments: &[CustomerAllotment],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for allotment in allotments {
            let customer = allotment.customer;
            let Some(usage) = self.usages.get_mut(&customer) else { continue };
            // Only the reply to the latest count is valid. After an older reply the manager may
            // have allotted the same requests to another instance.
            let Some((_, sent_at)) = usage.sent.filter(|sent| sent.0 == seq) else { continue };
            (usage.allotment, usage.sent) = (allotment.allotment, None);
            usage.over_soft_limit = allotment.over_soft_limit;
            usage.valid_until = sent_at + self.params.lease;
            self.admit_waiting(customer, effects);
            let waiting = self.waiting_for_allotment(customer);
            // The reply already accounts for the requests that arrived before the count was
            // sent, so those that still wait exceed the limit.
            let (counted, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|number| {
                self.open.get(number).is_some_and(|open| open.arrived <= sent_at)
            });
            for number in counted {
                self.refuse(number, DecisionReason::CustomerLimit, effects);
            }
            if !later.is_empty() {
                self.send_counts(&[customer], effects);
            }
        }
    }

    /// Sends the counts of customers to their managers, except counts for which a reply is still
    /// expected.
    pub(super) fn send_counts(
        &mut self,
        customers: &[CustomerId],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let (now, timeout) = (self.now, self.params.reply_timeout);
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<CustomerCount>)> =
            BTreeMap::new();
        for &customer in customers {
            let Some(manager) = self.customer_manager(customer) else { continue };
            let wanted = self.waiting_for_allotment(customer).len() as u32;
            let Some(usage) = self.usages.get(&customer) else { continue };
            if usage.sent.is_some_and(|(_, sent_at)| now.since(sent_at) < timeout) {
                continue;
            }
            let count =
                CustomerCount { customer, limit: usage.limit, open: usage.open_count, wanted };
            groups.entry(manager.id).or_insert((manager, Vec::new())).1.push(count);
        }
        for (manager, counts) in groups.into_values() {
            for counts in split_for_datagrams(&counts) {
                let seq = self.next_seq();
                for count in &counts {
                    if let Some(usage) = self.usages.get_mut(&count.customer) {
                        usage.sent = Some((seq, now));
                        usage.allotment = usage.open_count;
                    }
                }
                self.send(manager, AdmissionMessage::Counts { seq, counts }, effects);
            }
        }
    }

    /// Sends the counts of all customers, and first removes those without requests during the
    /// last lease.
    pub(super) fn report_counts(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let (now, lease) = (self.now, self.params.lease);
        self.usages
            .retain(|_, usage| usage.open_count > 0 || now.since(usage.last_active) <= lease);
        let customers: Vec<_> = self.usages.keys().copied().collect();
        self.send_counts(&customers, effects);
    }
}
