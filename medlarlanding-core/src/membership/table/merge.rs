//! Merging of records and marks, refutation of suspicions, and suspicion timeouts.

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
    /// Records that the process which sent a frame is running.
    pub(super) fn observe_sender(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let known = self.record(from.id);
        if known.is_none_or(|known| from.incarnation > known.incarnation) {
            let alive = MemberRecord::alive(from.incarnation);
            let record = known.map_or(alive, |known| known.join(alive));
            self.set_member(now, from.id, record, None, effects);
        } else if let Some(record) = known
            && record.incarnation.started > from.incarnation.started
        {
            // The sender was replaced, or restarted after its wall clock was set back. In the
            // second case its frames are dropped until it exceeds the recorded start time, so it
            // is told that time directly; gossip reaches it only by chance.
            let update = MembershipUpdate::Member { id: from.id, record, contact: None };
            let message = MembershipMessage::Gossip { updates: vec![update] };
            Self::send_datagram(from.id, message, effects);
        }
    }

    /// Merges an update. `trusted` is false if the sender is recorded as dead; then only records
    /// of alive members are accepted.
    pub(super) fn merge_update(
        &mut self,
        now: Timestamp,
        update: MembershipUpdate,
        trusted: bool,
        effects: &mut Vec<MembershipEffect>,
    ) {
        match update {
            MembershipUpdate::Server(mark) => self.merge_mark(mark, effects),
            MembershipUpdate::Member { id, record, .. } if id == self.id => {
                self.refute_record(record, effects);
            },
            MembershipUpdate::Member { id, record, contact } => {
                if record.status == MemberStatus::Alive || trusted {
                    self.merge_record(now, id, record, contact, effects);
                }
            },
        }
    }

    pub(super) fn merge_record(
        &mut self,
        now: Timestamp,
        id: InstanceId,
        mut received: MemberRecord,
        contact: Option<MemberContact>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let Some(known) = self.record(id) else {
            if received.is_present() {
                self.set_member(now, id, received, contact, effects);
            }
            return;
        };
        // After a network partition each side reports the members of the other side as dead. A
        // member that is alive here becomes suspect only, so that it has time to refute. A leaving
        // member has announced its exit and is recorded as dead at once.
        if received.status == MemberStatus::Dead
            && known.status == MemberStatus::Alive
            && known.incarnation.same_process(received.incarnation)
            && !received.leaving
        {
            received.status = MemberStatus::Suspect;
        }
        let record = known.join(received);
        // A later process may have other addresses than the earlier one.
        let contact = contact.filter(|_| record.incarnation.same_process(received.incarnation));
        let announced = self.members.get(&id).and_then(Member::announced_contact);
        if record != known || (contact.is_some() && announced.is_none()) {
            self.set_member(now, id, record, contact, effects);
        }
    }

    /// Stores a changed record and queues an update. `contact` is what the process in the record
    /// announced; `None` keeps the known contact.
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
        member.suspicion_end = match record.status {
            MemberStatus::Suspect => member.suspicion_end.or(Some(now + timeout)),
            _ => None,
        };
        member.dead_since = (!record.is_present()).then_some(now);
        let announced = member.announced_contact();
        let member_changed = before.is_none_or(|before| {
            before.is_present() != record.is_present()
                || before.leaving != record.leaving
                || before.incarnation != record.incarnation
        });
        self.live_changed |= member_changed;
        self.queue_member_update(id, record, announced);
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

    pub(super) fn queue_member_update(
        &mut self,
        id: InstanceId,
        record: MemberRecord,
        contact: Option<MemberContact>,
    ) {
        // The contact is sent only with the first record of a process. If that update is lost, the
        // exchange of full states delivers the contact.
        let first = record.status == MemberStatus::Alive && record.incarnation.refutations == 0;
        let contact = contact.filter(|_| first);
        self.updates.push(MembershipUpdate::Member { id, record, contact });
    }

    pub(super) fn queue_local_update(&mut self) {
        self.queue_member_update(self.id, self.local_record, Some(self.local_contact));
    }

    pub(super) fn set_local_record(
        &mut self,
        record: MemberRecord,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let before = std::mem::replace(&mut self.local_record, record);
        if before == record {
            return;
        }
        self.digest ^= member_digest(self.id, before, true) ^ member_digest(self.id, record, true);
        self.queue_local_update();
        if before.incarnation != record.incarnation {
            effects.push(MembershipEffect::IdentityChanged(self.identity()));
        }
    }

    /// Processes a peer's record of this instance. Refutes it if it says that this process is
    /// suspect, dead or replaced.
    pub(super) fn refute_record(
        &mut self,
        received: MemberRecord,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let mut local = self.local_record;
        let reported = received.incarnation;
        if !reported.same_process(local.incarnation) {
            if reported.started < local.incarnation.started {
                return;
            }
            // The wall clock was set back since the previous process started, so the records of
            // that process would take precedence over those of this one.
            local.incarnation = Incarnation::new(reported.started + 1);
        } else if received.status != MemberStatus::Alive
            && reported.refutations >= local.incarnation.refutations
        {
            local.incarnation.refutations = reported.refutations + 1;
        }
        self.set_local_record(local, effects);
    }

    pub(super) fn merge_mark(&mut self, mark: ServerMark, effects: &mut Vec<MembershipEffect>) {
        let before = self.marks.get(mark.server).map_or(0, mark_digest);
        if self.marks.merge(mark) {
            self.digest ^= before ^ mark_digest(mark);
            self.updates.push(MembershipUpdate::Server(mark));
            effects.push(MembershipEffect::ServerMarked(mark));
        }
    }

    /// Records suspects whose suspicion timeout has expired as dead.
    pub(super) fn expire_suspicions(
        &mut self,
        now: Timestamp,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let expired: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.suspicion_end.is_some_and(|end| end <= now))
            .filter_map(|(&id, member)| Some((id, member.record?)))
            .collect();
        for (id, record) in expired {
            let record = MemberRecord { status: MemberStatus::Dead, ..record };
            self.set_member(now, id, record, None, effects);
        }
    }

    pub(super) fn suspicion_timeout(&self) -> Duration {
        let instances = self.members.len() + 1;
        self.params.suspicion_base.mul_f64(((instances + 1) as f64).log10().max(1.0))
    }
}
