//! Limits of open requests per customer.

use std::collections::BTreeMap;

use crate::admission::allotment::CustomerAccount;
use crate::admission::messages::{
    AdmissionMessage, CustomerAllotment, CustomerCount, split_for_datagrams,
};
use crate::admission::record::DecisionReason;
use crate::ids::{CustomerId, InstanceId, InstanceIdentity};

use super::{AdmissionController, AdmissionEffect, CustomerUse, OpenRequest, OpenStage};

impl AdmissionController {
    pub(super) fn use_of(&mut self, customer: CustomerId, limit: u32) -> &mut CustomerUse {
        let now = self.now;
        let used = self.uses.entry(customer).or_insert(CustomerUse {
            limit,
            opened: 0,
            allotment: 0,
            valid_until: now,
            sent: None,
            surplus: false,
            active_at: now,
        });
        used.limit = limit;
        used
    }

    /// Returns whether the customer's allotment allows one more request.
    pub(super) fn has_room(&self, customer: CustomerId) -> bool {
        self.uses
            .get(&customer)
            .is_some_and(|used| used.opened < used.allotment && self.now <= used.valid_until)
    }

    /// Counts a request towards its customer's limit and looks for a server.
    pub(super) fn count_open(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.use_of(customer, limit).opened += 1;
        self.start_asking(number, effects);
    }

    pub(super) fn uncount_open(
        &mut self,
        customer: CustomerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let now = self.now;
        if let Some(used) = self.uses.get_mut(&customer) {
            used.opened = used.opened.saturating_sub(1);
            used.active_at = now;
        }
        self.admit_waiting(customer, effects);
    }

    /// Returns the requests of a customer that wait for its allotment.
    pub(super) fn waiting_for_allotment(&self, customer: CustomerId) -> Vec<u64> {
        let waits = |open: &OpenRequest| {
            open.request.customer == customer
                && matches!(open.stage, OpenStage::CustomerCheck { .. })
        };
        self.open.iter().filter(|(_, open)| waits(open)).map(|(&number, _)| number).collect()
    }

    /// Starts requests of a customer that waited for its allotment.
    pub(super) fn admit_waiting(
        &mut self,
        customer: CustomerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for number in self.waiting_for_allotment(customer) {
            if !self.has_room(customer) {
                break;
            }
            self.count_open(number, effects);
        }
    }

    /// Returns what this instance allows a customer whose manager cannot be reached.
    pub(super) fn local_allotment(&self, limit: u32) -> u32 {
        let part = f64::from(limit) * self.params.local_part / self.live.len().max(1) as f64;
        (part as u32).max(1)
    }

    pub(super) fn receive_counts(
        &mut self,
        from: InstanceIdentity,
        seq: u64,
        counts: &[CustomerCount],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let (now, lease, live) = (self.now, self.params.lease, self.live.len());
        let warm_until = self.view_at + lease;
        let part = self.params.surplus_part;
        let mut allotments = Vec::with_capacity(counts.len());
        for count in counts {
            if self.customer_manager(count.customer).is_none_or(|m| m.id != self.own.id) {
                continue;
            }
            let account = self
                .customers
                .entry(count.customer)
                .or_insert_with(|| CustomerAccount::new(count.customer, lease, warm_until));
            allotments.extend(account.count(now, from, seq, count, live, part));
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
            let Some(used) = self.uses.get_mut(&customer) else { continue };
            // Only the reply to the latest count is valid: the manager may have given to
            // others what an older one said.
            let Some((_, sent_at)) = used.sent.filter(|sent| sent.0 == seq) else { continue };
            (used.allotment, used.sent) = (allotment.allotment, None);
            used.surplus = allotment.surplus;
            used.valid_until = sent_at + self.params.lease;
            self.admit_waiting(customer, effects);
            let waiting = self.waiting_for_allotment(customer);
            let (told, later): (Vec<_>, Vec<_>) = waiting.into_iter().partition(|number| {
                self.open.get(number).is_some_and(|open| open.arrived <= sent_at)
            });
            for number in told {
                self.refuse(number, DecisionReason::CustomerLimit, effects);
            }
            if !later.is_empty() {
                self.send_counts(&[customer], effects);
            }
        }
    }

    /// Sends the counts of customers to their managers, unless a reply is outstanding.
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
            let Some(used) = self.uses.get(&customer) else { continue };
            if used.sent.is_some_and(|(_, sent_at)| now.since(sent_at) < timeout) {
                continue;
            }
            let count = CustomerCount { customer, limit: used.limit, open: used.opened, wanted };
            groups.entry(manager.id).or_insert((manager, Vec::new())).1.push(count);
        }
        for (manager, counts) in groups.into_values() {
            for counts in split_for_datagrams(&counts) {
                let seq = self.next_seq();
                for count in &counts {
                    if let Some(used) = self.uses.get_mut(&count.customer) {
                        used.sent = Some((seq, now));
                        used.allotment = used.opened;
                    }
                }
                self.send(manager, AdmissionMessage::Counts { seq, counts }, effects);
            }
        }
    }

    pub(super) fn report_counts(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let (now, lease) = (self.now, self.params.lease);
        self.uses.retain(|_, used| used.opened > 0 || now.since(used.active_at) <= lease);
        let customers: Vec<_> = self.uses.keys().copied().collect();
        self.send_counts(&customers, effects);
    }
}
