//! Processing of messages from peers, and exchange of full states.

use super::{DigestMismatch, MembershipTable};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::membership::interface::MembershipEffect;
use crate::membership::message::{MembershipMessage, MembershipUpdate};
use crate::membership::record::{MemberRecord, MemberStatus};
use crate::membership::updates::encoded_len;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

/// Maximum encoded size of a message without its updates, in bytes.
const MESSAGE_OVERHEAD: usize = 64;

impl MembershipTable {
    pub(super) fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if from.id == self.id {
            self.refute_record(MemberRecord::alive(from.incarnation), effects);
            return;
        }
        self.observe_sender(now, from, effects);
        let known = self.record(from.id);
        // An instance that can send but not receive suspects every other instance. Once its
        // peers record it as dead, its suspicions are ignored.
        let trusted = known.is_none_or(|known| known.is_present());
        for &update in message.updates() {
            self.merge_update(now, update, trusted, effects);
        }
        match message {
            MembershipMessage::Ping { probe, versions, digest, .. } => {
                self.send_ack(now, from.id, probe, effects);
                self.compare_digest(now, from.id, digest, effects);
                effects.push(MembershipEffect::PeerVersions {
                    from: from.id,
                    versions,
                    probe_sent: None,
                });
            },
            MembershipMessage::Ack { probe, versions, digest, .. } => {
                let mut probe_sent = None;
                if let Some(pending) = &mut self.probes.pending
                    && pending.number == probe
                    && pending.target == from.id
                {
                    pending.acked = true;
                    probe_sent = Some(pending.sent);
                } else if let Some((origin, origin_probe)) = self.probes.take_relay(probe) {
                    let updates = self.take_updates(origin);
                    Self::send_datagram(
                        origin,
                        MembershipMessage::RelayedAck { probe: origin_probe, updates },
                        effects,
                    );
                }
                self.compare_digest(now, from.id, digest, effects);
                effects.push(MembershipEffect::PeerVersions {
                    from: from.id,
                    versions,
                    probe_sent,
                });
            },
            MembershipMessage::PingRequest { probe, target, .. } => {
                if self.contact(target).is_some() {
                    let retention = self.params.probe_interval;
                    let number = self.probes.add_relay(now, from.id, probe, retention);
                    self.send_ping(now, target, number, effects);
                }
            },
            MembershipMessage::RelayedAck { probe, .. } => {
                if let Some(pending) = &mut self.probes.pending
                    && pending.number == probe
                {
                    pending.acked = true;
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
            MembershipMessage::SyncReply { .. } => self.initial_sync_done = true,
        }
    }

    /// Compares the digest of a peer with the local one.
    ///
    /// A mismatch is only noted at first, as updates may still be on their way, and the peer is
    /// pinged again later. If both digests are still the same in the first ping or ack that the
    /// peer then sends, full states are exchanged. While a mismatch is noted, those with other
    /// peers are ignored for three times `sync_delay`.
    pub(super) fn compare_digest(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        digest: u32,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mismatch = DigestMismatch {
            peer,
            local_digest: self.digest,
            peer_digest: digest,
            rechecked: false,
            found: now,
        };
        let expired = |noted: &DigestMismatch| now.since(noted.found) >= self.params.sync_delay * 3;
        match self.mismatch {
            Some(noted) if noted.peer == peer && noted.rechecked => {
                self.mismatch = None;
                if digest != self.digest
                    && (noted.local_digest, noted.peer_digest) == (self.digest, digest)
                {
                    self.next_sync = now + self.params.sync_interval;
                    let updates = self.full_state();
                    Self::send_stream(peer, MembershipMessage::SyncRequest { updates }, effects);
                }
            },
            Some(noted) if !expired(&noted) => {},
            _ => {
                let differs = digest != self.digest && now >= self.next_sync;
                self.mismatch = differs.then_some(mismatch);
            },
        }
    }

    /// Pings the peer with a different digest again after the time that updates take to arrive.
    ///
    /// Equal digests of other peers don't cancel the check: two halves of a fleet can differ for
    /// good while most pairs of instances agree.
    pub(super) fn recheck_mismatch(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        let delay = self.params.sync_delay;
        if let Some(mismatch) = &mut self.mismatch
            && !mismatch.rechecked
            && now >= mismatch.found + delay
        {
            mismatch.rechecked = true;
            let peer = mismatch.peer;
            let number = self.probes.next_number();
            self.send_ping(now, peer, number, effects);
        }
    }

    /// Announces the exit of this process to some present members.
    pub(super) fn depart(&mut self, effects: &mut Vec<MembershipEffect>) {
        let record =
            MemberRecord { leaving: true, status: MemberStatus::Dead, ..self.local_record };
        let update = MembershipUpdate::Member { id: self.id, record, contact: None };
        for target in self.choose_present(self.params.gossip_fanout * 2, None) {
            let message = MembershipMessage::Gossip { updates: vec![update] };
            Self::send_datagram(target, message, effects);
        }
    }

    /// Returns updates with the records of all instances and all marks.
    pub(super) fn full_state(&self) -> Vec<MembershipUpdate> {
        let local = MembershipUpdate::Member {
            id: self.id,
            record: self.local_record,
            contact: Some(self.local_contact),
        };
        let members = self.members.iter().filter_map(|(&id, member)| {
            let contact = member.announced_contact();
            Some(MembershipUpdate::Member { id, record: member.record?, contact })
        });
        let marks = self.marks.iter().map(MembershipUpdate::Server);
        std::iter::once(local).chain(members).chain(marks).collect()
    }

    /// Takes the updates for a datagram to `to`. If `to` is recorded as suspect or dead, this
    /// record comes first, so that the receiver can refute it.
    pub(super) fn take_updates(&mut self, to: InstanceId) -> Vec<MembershipUpdate> {
        let mut room = self.params.message_limit - MESSAGE_OVERHEAD;
        let receiver_update = self
            .record(to)
            .filter(|record| record.status != MemberStatus::Alive)
            .map(|record| MembershipUpdate::Member { id: to, record, contact: None });
        room -= receiver_update.as_ref().map_or(0, encoded_len);
        let doublings = (self.members.len() as f64 + 2.0).log2().ceil() as u32;
        let updates = self.updates.take(room, self.params.retransmit_factor * doublings);
        receiver_update.into_iter().chain(updates).collect()
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
