//! Messages to and from peers, and exchange of full states.

use super::{DigestDifference, MembershipTable};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::membership::interface::MembershipEffect;
use crate::membership::message::{MembershipMessage, MembershipUpdate};
use crate::membership::record::{MemberRecord, MemberStatus};
use crate::membership::updates::encoded_len;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

/// Bytes of a message without its updates, at most.
const MESSAGE_BASE: usize = 64;

impl MembershipTable {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if from.id == self.id {
            self.claim_about_self(MemberRecord::alive(from.incarnation), effects);
            return;
        }
        self.hear_from(now, from, effects);
        let held = self.record(from.id);
        // An instance that is cut off on one side still sends; its suspicions say nothing.
        let trusted = held.is_none_or(|held| held.is_present());
        for &update in message.updates() {
            self.merge(now, update, trusted, effects);
        }
        match message {
            MembershipMessage::Ping { probe, versions, digest, .. } => {
                self.send_ack(now, from.id, probe, effects);
                self.compare(now, from.id, digest, effects);
                effects.push(MembershipEffect::PeerVersions {
                    from: from.id,
                    versions,
                    asked: None,
                });
            },
            MembershipMessage::Ack { probe, versions, digest, .. } => {
                let mut asked = None;
                if let Some(own) = &mut self.probes.own
                    && own.number == probe
                    && own.target == from.id
                {
                    own.acked = true;
                    asked = Some(own.sent);
                } else if let Some((origin, origin_probe)) = self.probes.take_relay(probe) {
                    let updates = self.take_updates(origin);
                    Self::send_datagram(
                        origin,
                        MembershipMessage::RelayedAck { probe: origin_probe, updates },
                        effects,
                    );
                }
                self.compare(now, from.id, digest, effects);
                effects.push(MembershipEffect::PeerVersions { from: from.id, versions, asked });
            },
            MembershipMessage::PingRequest { probe, target, .. } => {
                if self.contact(target).is_some() {
                    let keep = self.params.probe_interval;
                    let number = self.probes.relay(now, from.id, probe, keep);
                    self.send_ping(now, target, number, effects);
                }
            },
            MembershipMessage::RelayedAck { probe, .. } => {
                if let Some(own) = &mut self.probes.own
                    && own.number == probe
                {
                    own.acked = true;
                }
            },
            MembershipMessage::Gossip { .. } => {},
            MembershipMessage::SyncRequest { .. } => {
                let updates = self.full_state();
                effects.push(MembershipEffect::Send {
                    to: from.id,
                    transport: PeerTransport::Stream,
                    message: MembershipMessage::SyncReply { updates },
                });
            },
            MembershipMessage::SyncReply { .. } => self.joined = true,
        }
    }

    pub(super) fn compare(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        digest: u32,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let found =
            DigestDifference { peer, own: self.digest, theirs: digest, asked: false, at: now };
        let lapsed = |held: &DigestDifference| now.since(held.at) >= self.params.sync_delay * 3;
        match self.difference {
            Some(held) if held.peer == peer && held.asked => {
                self.difference = None;
                if digest != self.digest && (held.own, held.theirs) == (self.digest, digest) {
                    self.next_sync = now + self.params.sync_interval;
                    let updates = self.full_state();
                    Self::send_stream(peer, MembershipMessage::SyncRequest { updates }, effects);
                }
            },
            Some(held) if !lapsed(&held) => {},
            _ => {
                let differs = digest != self.digest && now >= self.next_sync;
                self.difference = differs.then_some(found);
            },
        }
    }

    /// Asks the peer with another digest again once news had the time to arrive.
    ///
    /// Agreement with other peers proves nothing: two halves of a fleet can differ for good
    /// while most pairs of instances agree.
    pub(super) fn recheck_difference(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let delay = self.params.sync_delay;
        if let Some(held) = &mut self.difference
            && !held.asked
            && now >= held.at + delay
        {
            held.asked = true;
            let peer = held.peer;
            let number = self.probes.number();
            self.send_ping(now, peer, number, effects);
        }
    }

    pub(super) fn depart(&mut self, effects: &mut Vec<MembershipEffect>) {
        let record = MemberRecord { leaving: true, status: MemberStatus::Dead, ..self.own };
        let update = MembershipUpdate::Member { id: self.id, record, contact: None };
        for target in self.choose_present(self.params.gossip_fanout * 2, None) {
            let message = MembershipMessage::Gossip { updates: vec![update] };
            Self::send_datagram(target, message, effects);
        }
    }

    pub(super) fn full_state(&self) -> Vec<MembershipUpdate> {
        let own = MembershipUpdate::Member {
            id: self.id,
            record: self.own,
            contact: Some(self.own_contact),
        };
        let members = self.members.iter().filter_map(|(&id, member)| {
            let contact = member.announced_contact();
            Some(MembershipUpdate::Member { id, record: member.record?, contact })
        });
        let marks = self.marks.iter().map(MembershipUpdate::Server);
        std::iter::once(own).chain(members).chain(marks).collect()
    }

    /// Takes news for a datagram to `to`. If `to` is not held as alive, the claim about itself
    /// comes first, so that it can refute.
    pub(super) fn take_updates(&mut self, to: InstanceId) -> Vec<MembershipUpdate> {
        let mut room = self.params.message_limit - MESSAGE_BASE;
        let claim = self
            .record(to)
            .filter(|record| record.status != MemberStatus::Alive)
            .map(|record| MembershipUpdate::Member { id: to, record, contact: None });
        room -= claim.as_ref().map_or(0, encoded_len);
        let doublings = (self.members.len() as f64 + 2.0).log2().ceil() as u32;
        let news = self.updates.take(room, self.params.retransmit_factor * doublings);
        claim.into_iter().chain(news).collect()
    }

    pub(super) fn send_datagram(
        to: InstanceId,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        effects.push(MembershipEffect::Send { to, transport: PeerTransport::Datagram, message });
    }

    pub(super) fn send_stream(
        to: InstanceId,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        effects.push(MembershipEffect::Send { to, transport: PeerTransport::Stream, message });
    }
}
