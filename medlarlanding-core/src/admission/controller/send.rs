//! Messages sent to managers and peers: reports, releases, suspicions and length summaries.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::messages::{
    AdmissionMessage, ReleasedWork, WorkItem, WorkStage, split_for_datagrams,
};
use crate::ids::{InstanceId, InstanceIdentity, ServerId};

use super::{
    AdmissionController, AdmissionEffect, OpenRequest, OpenStage, RELEASE_REPEATS, RequestState,
    SENT_LIMIT,
};

impl AdmissionController {
    pub(super) fn suspect(&mut self, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        self.suspects.insert(server, self.now + self.params.suspect_hold);
        if let Some(manager) = self.manager(server) {
            let seq = self.next_seq();
            self.send(manager, AdmissionMessage::Suspect { seq, server }, effects);
        }
    }

    pub(super) fn next_seq(&mut self) -> u64 {
        self.seq += 1;
        self.seq
    }

    pub(super) fn send(
        &mut self,
        to: InstanceIdentity,
        message: AdmissionMessage,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if to.id == self.own.id {
            self.loopback.push_back(message);
        } else {
            effects.push(AdmissionEffect::Send { to, message });
        }
    }

    /// Returns the report entry of an open request at one server.
    pub(super) fn item(&self, open: &OpenRequest, server: ServerId) -> WorkItem {
        let request = &open.request;
        let stage = match &open.stage {
            OpenStage::Running { .. } => WorkStage::Running,
            OpenStage::AwaitingPermit { permit_requests, .. } => WorkStage::Waiting {
                time_left_ms: request.deadline.since(self.now).as_millis() as u32,
                servers_asked: permit_requests.len().min(usize::from(u8::MAX)) as u8,
            },
            OpenStage::CustomerCheck { .. } => {
                WorkStage::Waiting { time_left_ms: 0, servers_asked: 1 }
            },
        };
        WorkItem {
            number: request.request.number,
            server,
            route: request.route,
            customer: request.customer,
            share: request.share,
            prompt_tokens: request.prompt_tokens,
            decoded: open.decoded,
            max_tokens: request.max_tokens,
            priority: request.priority,
            objective: request.objective,
            over_soft_limit: self
                .usages
                .get(&request.customer)
                .is_some_and(|usage| usage.over_soft_limit),
            stage,
        }
    }

    /// Sends one report and records its sequence number at the waiting requests in it.
    pub(super) fn send_report(
        &mut self,
        manager: InstanceIdentity,
        items: Vec<WorkItem>,
        polls: Vec<ServerId>,
        complete: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let seq = self.next_seq();
        for item in items.iter().filter(|item| item.stage != WorkStage::Running) {
            let Some(open) = self.open.get_mut(&item.number) else { continue };
            let OpenStage::AwaitingPermit { permit_requests, .. } = &mut open.stage else {
                continue;
            };
            let Some(request) =
                permit_requests.iter_mut().find(|request| request.server == item.server)
            else {
                continue;
            };
            if request.sent.len() >= SENT_LIMIT {
                request.sent.pop_front();
            }
            request.sent.push_back((seq, self.now));
        }
        self.send(manager, AdmissionMessage::Report { seq, items, polls, complete }, effects);
    }

    pub(super) fn report_one(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(manager) = self.manager(server) else { return };
        let Some(open) = self.open.get(&number) else { return };
        let item = self.item(open, server);
        self.send_report(manager, vec![item], Vec::new(), false, effects);
    }

    /// Reports all requests to the managers of their servers and polls further servers: those
    /// whose present manager has not sent a status yet and, unless `only_unconfirmed`, the next
    /// `poll_width` servers in turn.
    pub(super) fn report_all(
        &mut self,
        only_unconfirmed: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<WorkItem>, Vec<ServerId>)> =
            BTreeMap::new();
        let managers: BTreeMap<_, _> = self
            .servers
            .keys()
            .filter_map(|&server| Some((server, self.manager(server)?)))
            .collect();
        let mut polls: BTreeSet<_> = managers
            .iter()
            .filter(|(server, manager)| self.confirmed_managers.get(server) != Some(manager))
            .map(|(&server, _)| server)
            .collect();
        if !only_unconfirmed && !self.servers.is_empty() {
            for _ in 0..self.params.poll_width.min(self.servers.len()) {
                self.last_polled = (self.last_polled + 1) % self.servers.len();
                polls.extend(self.servers.get_index(self.last_polled).map(|(&server, _)| server));
            }
        }
        for open in self.open.values() {
            let servers: Vec<_> = match &open.stage {
                OpenStage::CustomerCheck { .. } => continue,
                OpenStage::Running { server, .. } => vec![*server],
                OpenStage::AwaitingPermit { permit_requests, .. } => permit_requests
                    .iter()
                    .filter(|request| !matches!(request.state, RequestState::Declined(_)))
                    .map(|request| request.server)
                    .collect(),
            };
            for server in servers {
                let Some(&manager) = managers.get(&server) else { continue };
                let group = groups.entry(manager.id).or_insert((manager, Vec::new(), Vec::new()));
                group.1.push(self.item(open, server));
                polls.remove(&server);
            }
        }
        for server in polls {
            let Some(&manager) = managers.get(&server) else { continue };
            groups.entry(manager.id).or_insert((manager, Vec::new(), Vec::new())).2.push(server);
        }
        for (manager, items, polls) in groups.into_values() {
            let item_parts = split_for_datagrams(&items);
            let poll_parts = split_for_datagrams(&polls);
            let fits_datagram =
                item_parts.len() + poll_parts.len() <= 1 || (items.len() <= 8 && polls.len() <= 16);
            if fits_datagram {
                self.send_report(manager, items, polls, true, effects);
                continue;
            }
            for items in item_parts {
                self.send_report(manager, items, Vec::new(), false, effects);
            }
            for polls in poll_parts {
                self.send_report(manager, Vec::new(), polls, false, effects);
            }
        }
    }

    pub(super) fn release(
        &mut self,
        number: u64,
        server: ServerId,
        decoded: u32,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(manager) = self.manager(server) else { return };
        let seq = self.next_seq();
        let released = ReleasedWork { server, number, seq, decoded };
        self.send(manager, AdmissionMessage::Release { seq, items: vec![released] }, effects);
        if manager.id != self.own.id {
            self.releases.push((released, RELEASE_REPEATS));
        }
    }

    /// Sends recent releases again, because a lost one keeps memory charged at the manager.
    pub(super) fn repeat_releases(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<ReleasedWork>)> =
            BTreeMap::new();
        for &(released, _) in &self.releases {
            let Some(manager) = self.manager(released.server) else { continue };
            groups.entry(manager.id).or_insert((manager, Vec::new())).1.push(released);
        }
        for (manager, items) in groups.into_values() {
            for items in split_for_datagrams(&items) {
                let seq = self.next_seq();
                self.send(manager, AdmissionMessage::Release { seq, items }, effects);
            }
        }
        for (_, repeats) in &mut self.releases {
            *repeats -= 1;
        }
        self.releases.retain(|&(_, repeats)| repeats > 0);
    }

    /// Sends the lengths that this instance observed to the next peer, once per summary interval.
    pub(super) fn share_lengths(&mut self, effects: &mut Vec<AdmissionEffect>) {
        self.lengths.tick(self.now);
        if self.now < self.next_summary {
            return;
        }
        self.next_summary = self.now + self.params.summary_interval;
        let peers: Vec<_> =
            self.live.iter().copied().filter(|peer| peer.id != self.own.id).collect();
        if peers.is_empty() {
            return;
        }
        self.summary_peer = (self.summary_peer + 1) % peers.len();
        let to = peers[self.summary_peer];
        for (route, bins) in self.lengths.summaries() {
            let seq = self.next_seq();
            self.send(to, AdmissionMessage::Lengths { seq, route, bins }, effects);
        }
    }
}
