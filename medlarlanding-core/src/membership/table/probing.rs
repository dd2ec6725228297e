//! Probes of present members, and of seeds and listed members that are not present.

use super::{Member, MembershipTable};
use crate::ids::InstanceId;
use crate::membership::interface::MembershipEffect;
use crate::membership::message::MembershipMessage;
use crate::membership::probe::PendingProbe;
use crate::membership::record::{MemberRecord, MemberStatus};
use crate::time::Timestamp;

use rand::seq::IndexedRandom;

impl MembershipTable {
    /// Sends the indirect probes when the ack timeout has passed. At the end of the probe interval,
    /// suspects a target that did not answer, and probes the next one.
    pub(super) fn run_probe(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        if let Some(probe) = self.probes.pending
            && !probe.acked
            && !probe.indirect_sent
            && now >= probe.sent + self.params.ack_timeout
            && now < self.next_probe
        {
            if let Some(pending) = &mut self.probes.pending {
                pending.indirect_sent = true;
            }
            let relays = self.choose_present(self.params.indirect_peers, Some(probe.target));
            for relay in relays {
                let updates = self.take_updates(relay);
                let message = MembershipMessage::PingRequest {
                    probe: probe.number,
                    target: probe.target,
                    updates,
                };
                Self::send_datagram(relay, message, effects);
            }
            if self.params.second_probe {
                self.send_ping(now, probe.target, probe.number, effects);
            }
        }
        if now < self.next_probe {
            return;
        }
        if let Some(probe) = self.probes.pending.take()
            && !probe.acked
            && let Some(record) = self.record(probe.target)
            && record.status == MemberStatus::Alive
        {
            let record = MemberRecord { status: MemberStatus::Suspect, ..record };
            self.set_member(now, probe.target, record, None, effects);
        }
        self.next_probe = now + self.params.probe_interval;
        let members = &self.members;
        let target = self.probes.next_target(
            &mut self.rng,
            || members.keys().copied().collect(),
            |id| members.get(&id).is_some_and(Member::is_present),
        );
        if let Some(target) = target {
            let number = self.probes.next_number();
            self.probes.pending = Some(PendingProbe {
                target,
                number,
                sent: now,
                acked: false,
                indirect_sent: false,
            });
            self.send_ping(now, target, number, effects);
        }
    }

    /// Probes a random seed or listed member that is dead or has no record yet, so that both sides
    /// of a network partition find each other again.
    pub(super) fn probe_absent(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        let absent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                (member.listed || member.seed) && member.contact.is_some() && !member.is_present()
            })
            .map(|(&id, _)| id)
            .collect();
        if let Some(&target) = absent.choose(&mut self.rng) {
            let number = self.probes.next_number();
            self.send_ping(now, target, number, effects);
        }
    }

    pub(super) fn send_ping(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        probe: u32,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let updates = self.take_updates(to);
        let versions = self.versions.status(now);
        let message = MembershipMessage::Ping { probe, versions, digest: self.digest, updates };
        Self::send_datagram(to, message, effects);
    }

    pub(super) fn send_ack(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        probe: u32,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let updates = self.take_updates(to);
        let versions = self.versions.status(now);
        let message = MembershipMessage::Ack { probe, versions, digest: self.digest, updates };
        Self::send_datagram(to, message, effects);
    }

    /// Returns up to `count` random present members other than `except`.
    pub(super) fn choose_present(
        &mut self,
        count: usize,
        except: Option<InstanceId>,
    ) -> Vec<InstanceId> {
        let present: Vec<_> = self
            .members
            .iter()
            .filter(|&(&id, member)| member.is_present() && Some(id) != except)
            .map(|(&id, _)| id)
            .collect();
        present.choose_multiple(&mut self.rng, count).copied().collect()
    }
}
