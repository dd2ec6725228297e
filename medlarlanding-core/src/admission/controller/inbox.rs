//! Messages of other instances, as a manager and as an instance with requests.

use std::collections::BTreeSet;

use crate::admission::account::{Verdict, VerdictKind};
use crate::admission::messages::{
    AdmissionMessage, DeclineReason, ReleasedWork, ServerStatus, WorkItem, WorkStage,
    split_for_datagrams,
};
use crate::ids::{InstanceIdentity, ServerId};

use super::{AdmissionController, AdmissionEffect, AskState, OpenStage, PeerSequence, SeenServer};

impl AdmissionController {
    pub(super) fn drain_loopback(&mut self, effects: &mut Vec<AdmissionEffect>) {
        while let Some(message) = self.loopback.pop_front() {
            self.receive(self.own, message, effects);
        }
    }

    pub(super) fn receive(
        &mut self,
        from: InstanceIdentity,
        message: AdmissionMessage,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        self.unreachable.remove(&from.id);
        match message {
            AdmissionMessage::Report { seq, items, polls, complete } => {
                if self.current(from, seq) {
                    self.receive_report(from, seq, &items, &polls, complete, effects);
                }
            },
            AdmissionMessage::Release { seq, items } => {
                if self.current(from, seq) {
                    self.receive_release(from, &items, effects);
                }
            },
            AdmissionMessage::Suspect { seq, server } => {
                if self.current(from, seq)
                    && let Some(account) = self.accounts.get_mut(&server)
                {
                    account.suspect(self.now);
                }
            },
            AdmissionMessage::Grant { heard, number, status } => {
                self.see(from, status);
                self.receive_grant(heard, number, status.server, effects);
            },
            AdmissionMessage::Decline { heard, number, server, reason } => {
                self.receive_decline(heard, number, server, reason, effects);
            },
            AdmissionMessage::Status { seq, servers } => {
                for status in servers {
                    self.see(from, status);
                }
                self.receive_status(seq, effects);
            },
            AdmissionMessage::Counts { seq, counts } => {
                if self.current(from, seq) {
                    self.receive_counts(from, seq, &counts, effects);
                }
            },
            AdmissionMessage::Allot { seq, allotments } => {
                self.receive_allotments(seq, &allotments, effects);
            },
            AdmissionMessage::Lengths { seq, route, bins } => {
                self.lengths.merge(from.id, from.incarnation.started, seq, route, &bins);
            },
        }
    }

    /// Returns whether a message is not later than two leases.
    pub(super) fn current(&mut self, from: InstanceIdentity, seq: u64) -> bool {
        if !self.params.check_sequence {
            return true;
        }
        let (now, lease) = (self.now, self.params.lease);
        let key = (from.id, from.incarnation.started);
        let peer = self.peers.entry(key).or_insert(PeerSequence {
            highest: 0,
            mark: 0,
            marked_at: now,
            floor: 0,
        });
        let elapsed = now.since(peer.marked_at);
        if elapsed >= lease * 2 {
            // Nothing was received for at least one lease.
            (peer.floor, peer.mark, peer.marked_at) = (peer.highest, peer.highest, now);
        } else if elapsed >= lease {
            (peer.floor, peer.mark, peer.marked_at) = (peer.mark, peer.highest, now);
        }
        peer.highest = peer.highest.max(seq);
        seq > peer.floor
    }

    pub(super) fn receive_report(
        &mut self,
        from: InstanceIdentity,
        seq: u64,
        items: &[WorkItem],
        polls: &[ServerId],
        complete: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let mut named = BTreeSet::new();
        let mut declined = Vec::new();
        for item in items {
            let Some(account) = self.accounts.get_mut(&item.server) else {
                if item.stage != WorkStage::Running {
                    declined.push((item.number, item.server));
                }
                continue;
            };
            let mut verdicts = Vec::new();
            account.report(self.now, from, seq, *item, &self.lengths, &mut verdicts);
            self.flush(item.server, verdicts, effects);
            named.insert(item.server);
        }
        named.extend(polls.iter().copied().filter(|server| self.accounts.contains_key(server)));
        if complete {
            for account in self.accounts.values_mut() {
                account.hear(from.id);
            }
        }
        for &server in &named {
            let Some(account) = self.accounts.get_mut(&server) else { continue };
            let mut verdicts = Vec::new();
            account.grant(self.now, &self.lengths, &mut verdicts);
            self.flush(server, verdicts, effects);
        }
        for (number, server) in declined {
            let reason = DeclineReason::NotManager;
            let message = AdmissionMessage::Decline { heard: seq, number, server, reason };
            self.send(from, message, effects);
        }
        let statuses: Vec<_> = named
            .iter()
            .filter_map(|server| self.accounts.get(server))
            .map(|account| account.status(self.now, &self.lengths))
            .collect();
        for servers in split_for_datagrams(&statuses) {
            self.send(from, AdmissionMessage::Status { seq, servers }, effects);
        }
    }

    pub(super) fn receive_release(
        &mut self,
        from: InstanceIdentity,
        items: &[ReleasedWork],
        effects: &mut Vec<AdmissionEffect>,
    ) {
        for item in items {
            let Some(account) = self.accounts.get_mut(&item.server) else { continue };
            account.release(self.now, from, item);
            let mut verdicts = Vec::new();
            account.grant(self.now, &self.lengths, &mut verdicts);
            self.flush(item.server, verdicts, effects);
        }
    }

    /// Sends the decisions of an account.
    pub(super) fn flush(
        &mut self,
        server: ServerId,
        verdicts: Vec<Verdict>,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if verdicts.is_empty() {
            return;
        }
        let Some(account) = self.accounts.get(&server) else { return };
        let status = account.status(self.now, &self.lengths);
        for Verdict { to, number, heard, kind } in verdicts {
            let message = match kind {
                VerdictKind::Grant => AdmissionMessage::Grant { heard, number, status },
                VerdictKind::Decline(reason) => {
                    AdmissionMessage::Decline { heard, number, server, reason }
                },
            };
            self.send(to, message, effects);
        }
    }

    pub(super) fn see(&mut self, from: InstanceIdentity, status: ServerStatus) {
        let server = status.server;
        if self.manager(server).is_some_and(|manager| manager.id == from.id) {
            self.confirmed.insert(server, from);
            self.seen.insert(server, SeenServer { status, at: self.now, sent_load: 0.0 });
        }
    }

    pub(super) fn receive_grant(
        &mut self,
        heard: u64,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let lease = self.params.lease;
        let (mut sent_at, mut asked) = (None, false);
        if let Some(open) = self.open.get_mut(&number) {
            match &mut open.stage {
                OpenStage::Running { server: at, .. } if *at == server => return,
                OpenStage::Asking { asks, .. } => {
                    if let Some(ask) = asks.iter_mut().find(|ask| ask.server == server) {
                        asked = true;
                        sent_at = ask.sent.iter().find(|sent| sent.0 == heard).map(|s| s.1);
                    }
                },
                _ => {},
            }
        }
        if !asked {
            self.release(number, server, 0, effects);
            return;
        }
        // The manager counts the lease from a time not before it received that message.
        let start_by = sent_at.map(|sent| sent + lease).filter(|&by| by > self.now);
        match start_by {
            Some(start_by) => self.start(number, server, false, start_by, effects),
            // Too late: a fresh report makes the manager grant again with a new lease.
            None => self.report_one(number, server, effects),
        }
    }

    pub(super) fn receive_decline(
        &mut self,
        heard: u64,
        number: u64,
        server: ServerId,
        reason: DeclineReason,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Asking { asks, .. } = &mut open.stage else { return };
        let ask = asks.iter_mut().find(|ask| ask.server == server);
        let Some(ask) = ask.filter(|ask| ask.sent.iter().any(|sent| sent.0 == heard)) else {
            return;
        };
        // A receiver that does not see itself as the manager has an older or newer list;
        // until the lists agree it is the same as a manager that cannot be reached.
        ask.state = match reason {
            DeclineReason::NotManager => AskState::Unreachable,
            _ => AskState::Declined(reason),
        };
        self.advance(number, effects);
    }

    pub(super) fn receive_status(&mut self, seq: u64, effects: &mut Vec<AdmissionEffect>) {
        let mut changed = Vec::new();
        for (&number, open) in &mut self.open {
            let OpenStage::Asking { asks, .. } = &mut open.stage else { continue };
            for ask in asks {
                if matches!(ask.state, AskState::Sent | AskState::Unreachable)
                    && ask.sent.iter().any(|sent| sent.0 == seq)
                {
                    ask.state = AskState::Queued;
                    changed.push(number);
                }
            }
        }
        for number in changed {
            self.advance(number, effects);
        }
    }
}
