//! Processing of received messages, both as a manager and as an instance with requests.

use std::collections::BTreeSet;

use crate::admission::account::{DecisionKind, ManagerDecision};
use crate::admission::messages::{
    AdmissionMessage, DeclineReason, ReleasedWork, ServerStatus, WorkItem, WorkStage,
    split_for_datagrams,
};
use crate::ids::{InstanceIdentity, ServerId};

use super::{
    AdmissionController, AdmissionEffect, KnownServer, OpenStage, PeerSequence, RequestState,
};

impl AdmissionController {
    /// Processes the messages that this instance sent to itself as a manager.
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
                if self.is_recent(from, seq) {
                    self.receive_report(from, seq, &items, &polls, complete, effects);
                }
            },
            AdmissionMessage::Release { seq, items } => {
                if self.is_recent(from, seq) {
                    self.receive_release(from, &items, effects);
                }
            },
            AdmissionMessage::Suspect { seq, server } => {
                if self.is_recent(from, seq)
                    && let Some(account) = self.accounts.get_mut(&server)
                {
                    account.suspect(self.now);
                    self.note_suspect(server, effects);
                }
            },
            AdmissionMessage::Grant { acked_seq, number, status } => {
                self.record_status(from, status);
                self.receive_grant(acked_seq, number, status.server, effects);
            },
            AdmissionMessage::Decline { acked_seq, number, server, reason } => {
                self.receive_decline(acked_seq, number, server, reason, effects);
            },
            AdmissionMessage::Status { seq, servers } => {
                for status in servers {
                    self.record_status(from, status);
                }
                self.receive_status(seq, effects);
            },
            AdmissionMessage::Counts { seq, counts } => {
                if self.is_recent(from, seq) {
                    self.receive_counts(from, seq, &counts, effects);
                }
            },
            AdmissionMessage::Allot { seq, allotments } => {
                self.receive_allotments(seq, &allotments, effects);
            },
            AdmissionMessage::Lengths { seq, route, bins } => {
                self.lengths.replace_summary(from.id, from.incarnation.started, seq, route, &bins);
            },
        }
    }

    /// Records the sequence number of a message and returns whether to process the message. A
    /// message that arrives less than one lease after a later one is accepted; one that arrives
    /// two leases or more after it is not.
    pub(super) fn is_recent(&mut self, from: InstanceIdentity, seq: u64) -> bool {
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
            // No message was received for at least one lease.
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
        let mut servers = BTreeSet::new();
        let mut declined = Vec::new();
        for item in items {
            self.note_report(from, item, effects);
            let Some(account) = self.accounts.get_mut(&item.server) else {
                if item.stage != WorkStage::Running {
                    declined.push((item.number, item.server));
                }
                continue;
            };
            let mut decisions = Vec::new();
            account.report(self.now, from, seq, *item, &self.lengths, &mut decisions);
            self.send_decisions(item.server, decisions, effects);
            servers.insert(item.server);
        }
        servers.extend(polls.iter().copied().filter(|server| self.accounts.contains_key(server)));
        if complete {
            for account in self.accounts.values_mut() {
                account.mark_reported(from.id);
            }
        }
        for &server in &servers {
            self.update_pace(server, effects);
            let Some(account) = self.accounts.get_mut(&server) else { continue };
            let mut decisions = Vec::new();
            account.grant(self.now, &self.lengths, &mut decisions);
            self.send_decisions(server, decisions, effects);
        }
        for (number, server) in declined {
            let reason = DeclineReason::NotManager;
            let message = AdmissionMessage::Decline { acked_seq: seq, number, server, reason };
            self.send(from, message, effects);
        }
        let statuses: Vec<_> = servers
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
            self.note_release(from, item, effects);
            let Some(account) = self.accounts.get_mut(&item.server) else { continue };
            account.release(self.now, from, item);
            self.update_pace(item.server, effects);
            let Some(account) = self.accounts.get_mut(&item.server) else { continue };
            let mut decisions = Vec::new();
            account.grant(self.now, &self.lengths, &mut decisions);
            self.send_decisions(item.server, decisions, effects);
        }
    }

    /// Sends the decisions of an account to the instances, each grant with the server's status.
    pub(super) fn send_decisions(
        &mut self,
        server: ServerId,
        decisions: Vec<ManagerDecision>,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if decisions.is_empty() {
            return;
        }
        let Some(account) = self.accounts.get(&server) else { return };
        let status = account.status(self.now, &self.lengths);
        for ManagerDecision { to, number, acked_seq, kind } in decisions {
            let message = match kind {
                DecisionKind::Grant => AdmissionMessage::Grant { acked_seq, number, status },
                DecisionKind::Decline(reason) => {
                    AdmissionMessage::Decline { acked_seq, number, server, reason }
                },
            };
            self.send(to, message, effects);
        }
    }

    /// Records a status, unless the sender is not the server's manager in this instance's view.
    pub(super) fn record_status(&mut self, from: InstanceIdentity, status: ServerStatus) {
        let server = status.server;
        if self.manager(server).is_some_and(|manager| manager.id == from.id) {
            self.confirmed_managers.insert(server, from);
            self.known_servers
                .insert(server, KnownServer { status, received_at: self.now, requested_load: 0.0 });
        }
    }

    pub(super) fn receive_grant(
        &mut self,
        acked_seq: u64,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let lease = self.params.lease;
        let (mut sent_at, mut requested) = (None, false);
        if let Some(open) = self.open.get_mut(&number) {
            match &mut open.stage {
                OpenStage::Running { server: at, .. } if *at == server => return,
                OpenStage::AwaitingPermit { permit_requests, .. } => {
                    if let Some(request) =
                        permit_requests.iter_mut().find(|request| request.server == server)
                    {
                        requested = true;
                        sent_at = request.sent.iter().find(|sent| sent.0 == acked_seq).map(|s| s.1);
                    }
                },
                _ => {},
            }
        }
        if !requested {
            self.release(number, server, 0, effects);
            return;
        }
        // The manager's lease starts when it receives that message or later, so it lasts at
        // least one lease after the message was sent.
        let start_by = sent_at.map(|sent| sent + lease).filter(|&by| by > self.now);
        match start_by {
            Some(start_by) => self.start(number, server, false, start_by, effects),
            // The grant arrived too late. A new report makes the manager grant again with a new
            // lease.
            None => self.report_one(number, server, effects),
        }
    }

    pub(super) fn receive_decline(
        &mut self,
        acked_seq: u64,
        number: u64,
        server: ServerId,
        reason: DeclineReason,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::AwaitingPermit { permit_requests, .. } = &mut open.stage else { return };
        let request = permit_requests.iter_mut().find(|request| request.server == server);
        let Some(request) =
            request.filter(|request| request.sent.iter().any(|sent| sent.0 == acked_seq))
        else {
            return;
        };
        // A receiver that does not regard itself as the manager has a different list of live
        // instances. Until the lists agree it is treated like an unreachable manager.
        request.state = match reason {
            DeclineReason::NotManager => RequestState::Unreachable,
            _ => RequestState::Declined(reason),
        };
        self.advance(number, effects);
    }

    pub(super) fn receive_status(&mut self, seq: u64, effects: &mut Vec<AdmissionEffect>) {
        let mut changed = Vec::new();
        for (&number, open) in &mut self.open {
            let OpenStage::AwaitingPermit { permit_requests, .. } = &mut open.stage else {
                continue;
            };
            for request in permit_requests {
                if matches!(request.state, RequestState::Sent | RequestState::Unreachable)
                    && request.sent.iter().any(|sent| sent.0 == seq)
                {
                    request.state = RequestState::Queued;
                    changed.push(number);
                }
            }
        }
        for number in changed {
            self.advance(number, effects);
        }
    }
}
