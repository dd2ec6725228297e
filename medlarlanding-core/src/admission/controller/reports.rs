//! Messages to managers and peers.

use std::collections::{BTreeMap, BTreeSet};

use crate::admission::messages::{
    AdmissionMessage, ReleasedWork, WorkItem, WorkStage, split_for_datagrams,
};
use crate::ids::{InstanceId, InstanceIdentity, ServerId};

use super::{
    AdmissionController, AdmissionEffect, AskState, OpenRequest, OpenStage, RELEASE_REPEATS,
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

    pub(super) fn item(&self, open: &OpenRequest, server: ServerId) -> WorkItem {
        let request = &open.request;
        let stage = match &open.stage {
            OpenStage::Running { .. } => WorkStage::Running,
            OpenStage::Asking { asks, .. } => WorkStage::Waiting {
                patience_ms: request.deadline.since(self.now).as_millis() as u32,
                asks: asks.len().min(usize::from(u8::MAX)) as u8,
            },
            OpenStage::CustomerCheck { .. } => WorkStage::Waiting { patience_ms: 0, asks: 1 },
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
            surplus: self.uses.get(&request.customer).is_some_and(|used| used.surplus),
            stage,
        }
    }

    /// Sends reports and notes their numbers at the requests that wait.
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
            let OpenStage::Asking { asks, .. } = &mut open.stage else { continue };
            let Some(ask) = asks.iter_mut().find(|ask| ask.server == item.server) else { continue };
            if ask.sent.len() >= SENT_LIMIT {
                ask.sent.pop_front();
            }
            ask.sent.push_back((seq, self.now));
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

    /// Reports all work to its managers and asks for the state of further servers: those whose
    /// manager has not replied yet and, unless only `unconfirmed` ones are wanted, some others.
    pub(super) fn report_all(&mut self, unconfirmed: bool, effects: &mut Vec<AdmissionEffect>) {
        let mut groups: BTreeMap<InstanceId, (InstanceIdentity, Vec<WorkItem>, Vec<ServerId>)> =
            BTreeMap::new();
        let managers: BTreeMap<_, _> = self
            .servers
            .keys()
            .filter_map(|&server| Some((server, self.manager(server)?)))
            .collect();
        let mut polls: BTreeSet<_> = managers
            .iter()
            .filter(|(server, manager)| self.confirmed.get(server) != Some(manager))
            .map(|(&server, _)| server)
            .collect();
        if !unconfirmed && !self.servers.is_empty() {
            for _ in 0..self.params.poll_width.min(self.servers.len()) {
                self.poll_at = (self.poll_at + 1) % self.servers.len();
                polls.extend(self.servers.get_index(self.poll_at).map(|(&server, _)| server));
            }
        }
        for open in self.open.values() {
            let servers: Vec<_> = match &open.stage {
                OpenStage::CustomerCheck { .. } => continue,
                OpenStage::Running { server, .. } => vec![*server],
                OpenStage::Asking { asks, .. } => asks
                    .iter()
                    .filter(|ask| !matches!(ask.state, AskState::Declined(_)))
                    .map(|ask| ask.server)
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
            let small =
                item_parts.len() + poll_parts.len() <= 1 || (items.len() <= 8 && polls.len() <= 16);
            if small {
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
        for (_, left) in &mut self.releases {
            *left -= 1;
        }
        self.releases.retain(|&(_, left)| left > 0);
    }

    /// Sends the own length observations to one peer in turn.
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
