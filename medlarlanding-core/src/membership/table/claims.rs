//! Claims about members and marks: merging, refutation and eviction.

use std::time::Duration;

use super::{Member, MembershipTable, mark_digest, member_digest};
use crate::events::EventKind;
use crate::ids::{Incarnation, InstanceId, InstanceIdentity};
use crate::membership::interface::MembershipEffect;
use crate::membership::marks::ServerMark;
use crate::membership::message::{MemberContact, MembershipMessage, MembershipUpdate};
use crate::membership::record::{MemberRecord, MemberStatus};
use crate::time::Timestamp;

impl MembershipTable {
    /// Takes a frame as evidence that its sender's process runs.
    pub(super) fn hear_from(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let held = self.record(from.id);
        if held.is_none_or(|held| from.incarnation > held.incarnation) {
            let alive = MemberRecord::alive(from.incarnation);
            let record = held.map_or(alive, |held| held.join(alive));
            self.set_member(now, from.id, record, None, effects);
        } else if let Some(record) = held
            && record.incarnation.started > from.incarnation.started
        {
            // A process whose wall clock went back learns the start time that it must exceed.
            // Its frames are dropped until then, so it must not depend on chance for this.
            let claim = MembershipUpdate::Member { id: from.id, record, contact: None };
            let message = MembershipMessage::Gossip { updates: vec![claim] };
            Self::send_datagram(from.id, message, effects);
        }
    }

    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        update: MembershipUpdate,
        trusted: bool,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match update {
            MembershipUpdate::Server(mark) => self.merge_mark(mark, effects),
            MembershipUpdate::Member { id, record, .. } if id == self.id => {
                self.claim_about_self(record, effects);
            },
            MembershipUpdate::Member { id, record, contact } => {
                if record.status == MemberStatus::Alive || trusted {
                    self.merge_member(now, id, record, contact, effects);
                }
            },
        }
    }

    pub(super) fn merge_member(
        &mut self,
        now: Timestamp,
        id: InstanceId,
        mut claim: MemberRecord,
        contact: Option<MemberContact>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(held) = self.record(id) else {
            if claim.is_present() {
                self.set_member(now, id, claim, contact, effects);
            }
            return;
        };
        // After a network partition each side claims that the other is dead. The member gets
        // the chance to refute before it is evicted here as well.
        if claim.status == MemberStatus::Dead
            && held.status == MemberStatus::Alive
            && held.incarnation.same_process(claim.incarnation)
            && !claim.leaving
        {
            claim.status = MemberStatus::Suspect;
        }
        let record = held.join(claim);
        // Addresses of an earlier process say nothing about the later one.
        let contact = contact.filter(|_| record.incarnation.same_process(claim.incarnation));
        let announced = self.members.get(&id).and_then(Member::announced_contact);
        if record != held || (contact.is_some() && announced.is_none()) {
            self.set_member(now, id, record, contact, effects);
        }
    }

    /// Stores a changed record and spreads it. `contact` is what its process announced.
    pub(super) fn set_member(
        &mut self,
        now: Timestamp,
        id: InstanceId,
        record: MemberRecord,
        contact: Option<MemberContact>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let timeout = self.suspicion_timeout();
        let member = self.members.entry(id).or_default();
        self.digest ^= member.digest(id);
        let before = member.record.replace(record);
        if let Some(contact) = contact {
            self.live_changed |= member.contact != Some(contact);
            member.contact = Some(contact);
            member.announced_by = Some(record.incarnation.started);
        }
        self.digest ^= member.digest(id);
        member.dead_at = match record.status {
            MemberStatus::Suspect => member.dead_at.or(Some(now + timeout)),
            _ => None,
        };
        member.died = (!record.is_present()).then_some(now);
        let announced = member.announced_contact();
        let member_changed = before.is_none_or(|before| {
            before.is_present() != record.is_present()
                || before.leaving != record.leaving
                || before.incarnation != record.incarnation
        });
        self.live_changed |= member_changed;
        self.push_member(id, record, announced);
        if before.is_none_or(|before| {
            (before.status, before.leaving, before.incarnation.started)
                != (record.status, record.leaving, record.incarnation.started)
        }) {
            let state = match record.status {
                MemberStatus::Dead => "dead",
                MemberStatus::Suspect => "suspect",
                MemberStatus::Alive if record.leaving => "leaving",
                MemberStatus::Alive => "alive",
            };
            effects.push(MembershipEffect::Event {
                kind: EventKind::MemberChanged,
                fields: vec![id.to_string(), state.to_owned()],
            });
        }
    }

    pub(super) fn push_member(
        &mut self,
        id: InstanceId,
        record: MemberRecord,
        contact: Option<MemberContact>,
    ) {
        // Addresses travel with the first claim of a process only; full states repair losses.
        let first = record.status == MemberStatus::Alive && record.incarnation.refutations == 0;
        let contact = contact.filter(|_| first);
        self.updates.push(MembershipUpdate::Member { id, record, contact });
    }

    pub(super) fn push_own(&mut self) {
        self.push_member(self.id, self.own, Some(self.own_contact));
    }

    pub(super) fn set_own(&mut self, record: MemberRecord, effects: &mut Vec<MembershipEffect>) {
        let before = std::mem::replace(&mut self.own, record);
        if before == record {
            return;
        }
        self.digest ^= member_digest(self.id, before, true) ^ member_digest(self.id, record, true);
        self.push_own();
        if before.incarnation != record.incarnation {
            effects.push(MembershipEffect::IdentityChanged(self.identity()));
        }
    }

    /// Refutes a claim that the own process is suspect, dead or replaced.
    pub(super) fn claim_about_self(
        &mut self,
        claim: MemberRecord,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mut own = self.own;
        let theirs = claim.incarnation;
        if !theirs.same_process(own.incarnation) {
            if theirs.started < own.incarnation.started {
                return;
            }
            // The wall clock went back since the previous process, whose claims would win.
            own.incarnation = Incarnation::new(theirs.started + 1);
        } else if claim.status != MemberStatus::Alive
            && theirs.refutations >= own.incarnation.refutations
        {
            own.incarnation.refutations = theirs.refutations + 1;
        }
        self.set_own(own, effects);
    }

    pub(super) fn merge_mark(&mut self, mark: ServerMark, effects: &mut Vec<MembershipEffect>) {
        let before = self.marks.get(mark.server).map_or(0, mark_digest);
        if self.marks.merge(mark) {
            self.digest ^= before ^ mark_digest(mark);
            self.updates.push(MembershipUpdate::Server(mark));
            effects.push(MembershipEffect::ServerMarked(mark));
        }
    }

    pub(super) fn evict_suspects(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        let due: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.dead_at.is_some_and(|at| at <= now))
            .filter_map(|(&id, member)| Some((id, member.record?)))
            .collect();
        for (id, record) in due {
            let record = MemberRecord { status: MemberStatus::Dead, ..record };
            self.set_member(now, id, record, None, effects);
        }
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        let present = self.members.len() + 1;
        self.params.suspicion_base.mul_f64(((present + 1) as f64).log10().max(1.0))
    }
}
