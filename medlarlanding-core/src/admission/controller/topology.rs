//! Servers, live instances, and the managers that follow from them.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::account::BackendAccount;
use crate::ids::{CustomerId, InstanceIdentity, ServerId, stable_hash};
use crate::rendezvous;
use crate::time::Timestamp;

use super::{AdmissionController, AdmissionEffect, OpenStage, RequestState, ServerCapacity};

impl AdmissionController {
    pub(super) fn set_servers(
        &mut self,
        servers: Vec<ServerCapacity>,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        self.servers = servers.into_iter().map(|server| (server.server, server)).collect();
        self.known_servers.retain(|server, _| self.servers.contains_key(server));
        self.paces.set_servers(self.now, self.servers.values());
        self.rebuild_accounts();
        self.report_all(true, effects);
    }

    pub(super) fn set_live(
        &mut self,
        live: Vec<InstanceIdentity>,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if live == self.live {
            return;
        }
        let old_managers: Vec<_> =
            self.servers.keys().map(|&server| (server, self.manager(server))).collect();
        let old_customer_managers: Vec<_> =
            self.usages.keys().map(|&c| (c, self.customer_manager(c))).collect();
        self.live = live;
        self.live_since = self.now;
        let ids: BTreeSet<_> = self.live.iter().map(|instance| instance.id).collect();
        self.unreachable.retain(|id| ids.contains(id));
        self.rebuild_accounts();
        let own_id = self.own.id;
        let managed_customers: Vec<_> = self.customers.keys().copied().collect();
        for customer in managed_customers {
            if self.customer_manager(customer).is_some_and(|manager| manager.id != own_id) {
                self.customers.remove(&customer);
            }
        }
        for (customer, manager) in old_customer_managers {
            if self.customer_manager(customer) != manager
                && let Some(usage) = self.usages.get_mut(&customer)
            {
                (usage.allotment, usage.sent) = (usage.open_count, None);
            }
        }
        let reassigned: BTreeSet<_> = old_managers
            .into_iter()
            .filter(|&(server, manager)| self.manager(server) != manager)
            .map(|(server, _)| server)
            .collect();
        let now = self.now;
        let mut waiting = Vec::new();
        for (&number, open) in &mut self.open {
            let OpenStage::AwaitingPermit { permit_requests, .. } = &mut open.stage else {
                continue;
            };
            for request in
                permit_requests.iter_mut().filter(|request| reassigned.contains(&request.server))
            {
                (request.state, request.since) = (RequestState::Sent, now);
                request.sent.clear();
                waiting.push(number);
            }
        }
        self.report_all(true, effects);
        for number in waiting {
            self.advance(number, effects);
        }
    }

    /// Creates the accounts of the servers that this instance manages and drops all others.
    pub(super) fn rebuild_accounts(&mut self) {
        let managed: BTreeMap<_, _> = self
            .servers
            .values()
            .filter(|capacity| {
                self.manager(capacity.server).is_some_and(|manager| manager.id == self.own.id)
            })
            .map(|capacity| (capacity.server, *capacity))
            .collect();
        self.accounts.retain(|server, _| managed.contains_key(server));
        for (server, capacity) in managed {
            match self.accounts.get_mut(&server) {
                Some(account) => {
                    account.set_capacity(capacity);
                    account.set_live(&self.live);
                },
                None => {
                    let params = self.params.clone();
                    let account = BackendAccount::new(params, capacity, &self.live, self.now);
                    self.accounts.insert(server, account);
                },
            }
        }
    }

    /// Discards state that other instances may have replaced while this process was paused:
    /// allotments, confirmed managers and completed warm-ups.
    pub(super) fn resume_after_pause(&mut self, now: Timestamp) {
        self.live_since = now;
        for account in self.accounts.values_mut() {
            account.start_warm_up(&self.live, now);
        }
        for quota in self.customers.values_mut() {
            quota.set_warm_up_until(now + self.params.lease);
        }
        for usage in self.usages.values_mut() {
            (usage.allotment, usage.sent) = (usage.open_count, None);
        }
        self.confirmed_managers.clear();
        self.next_report = now;
    }

    /// Returns the manager of a server, or `None` while no instance is live.
    pub(super) fn manager(&self, server: ServerId) -> Option<InstanceIdentity> {
        self.first_live(server.0)
    }

    pub(super) fn customer_manager(&self, customer: CustomerId) -> Option<InstanceIdentity> {
        let mut key = *b"customer........";
        key[8..].copy_from_slice(&customer.0.to_le_bytes());
        self.first_live(stable_hash(&key))
    }

    /// Returns the live instance that rendezvous hashing ranks first for a key.
    pub(super) fn first_live(&self, key: u64) -> Option<InstanceIdentity> {
        let id = rendezvous::first(key, self.live.iter().map(|instance| instance.id))?;
        self.live.iter().copied().find(|instance| instance.id == id)
    }
}
