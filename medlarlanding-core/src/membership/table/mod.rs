//! State machine of the membership subsystem.

mod exchange;
mod merge;
mod probing;

use std::time::Duration;

use super::interface::{
    LiveInstance, MemberDump, MembershipDump, MembershipEffect, MembershipInput,
};
use super::marks::{ServerMark, ServerMarks};
use super::message::{MemberContact, MembershipMessage};
use super::params::MembershipParams;
use super::pause::PauseDetector;
use super::probe::ProbeSchedule;
use super::record::{MemberRecord, MemberStatus};
use super::updates::UpdateQueue;
use crate::distribution::LocalVersions;
use crate::events::EventKind;
use crate::ids::{Incarnation, InstanceId, InstanceIdentity, ServerId, stable_hash};
use crate::time::Timestamp;
use crate::views::{InstanceEntry, InstanceList};

use indexmap::IndexMap;
use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// State of another instance.
#[derive(Debug, Default)]
struct Member {
    /// Newest record; `None` until a frame from the member or an update about it arrives.
    record: Option<MemberRecord>,
    contact: Option<MemberContact>,
    /// Start time of the process that announced `contact`; `None` if the contact is from the
    /// settings or the instance list.
    announced_by: Option<u64>,
    /// Whether the settings name the member. Seeds and listed members are never removed.
    seed: bool,
    /// Whether the instance list in effect contains the member.
    listed: bool,
    /// End of the suspicion timeout. Set exactly while the status is `Suspect`.
    suspicion_end: Option<Timestamp>,
    /// Time at which this instance recorded the member as dead.
    dead_since: Option<Timestamp>,
}

impl Member {
    fn is_present(&self) -> bool {
        self.record.is_some_and(MemberRecord::is_present) && self.contact.is_some()
    }

    /// Returns the contact if the process in the record announced it itself.
    fn announced_contact(&self) -> Option<MemberContact> {
        let started = self.record?.incarnation.started;
        self.contact.filter(|_| self.announced_by == Some(started))
    }

    fn digest(&self, id: InstanceId) -> u32 {
        let announced = self.announced_contact().is_some();
        self.record.map_or(0, |record| member_digest(id, record, announced))
    }
}

/// Difference between the digest of a peer and the local one.
#[derive(Clone, Copy, Debug)]
struct DigestMismatch {
    peer: InstanceId,
    local_digest: u32,
    peer_digest: u32,
    /// Whether the peer was pinged again.
    rechecked: bool,
    found: Timestamp,
}

/// State of all known instances and the marks of backend servers.
#[derive(Debug)]
pub struct MembershipTable {
    params: MembershipParams,
    rng: SmallRng,
    id: InstanceId,
    local_record: MemberRecord,
    local_contact: MemberContact,
    versions: LocalVersions,
    members: IndexMap<InstanceId, Member>,
    marks: ServerMarks,
    updates: UpdateQueue,
    probes: ProbeSchedule,
    pause_detector: PauseDetector,
    /// Exclusive or of the digests of this instance, all present members and all marks.
    digest: u32,
    /// Mismatch that waits to be rechecked; at most one at a time.
    mismatch: Option<DigestMismatch>,
    /// Whether `LiveChanged` is due at the end of the current call.
    live_changed: bool,
    timers_started: bool,
    /// Whether a peer has answered with its full state since the process started.
    initial_sync_done: bool,
    next_probe: Timestamp,
    last_gossip: Timestamp,
    next_gossip: Timestamp,
    next_reconnect: Timestamp,
    next_initial_sync: Timestamp,
    /// Time before which no new digest mismatch is noted.
    next_sync: Timestamp,
}

fn member_digest(id: InstanceId, record: MemberRecord, announced: bool) -> u32 {
    if !record.is_present() {
        return 0;
    }
    // Refutations are left out: with datagram loss they change so often that two instances would
    // hardly ever have equal digests. `announced` is included so that a missed contact causes a
    // mismatch; otherwise an instance that is in no list could stay unreachable for good.
    let mut bytes = [0u8; 18];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.started.to_le_bytes());
    bytes[16] = record.leaving.into();
    bytes[17] = announced.into();
    stable_hash(&bytes) as u32
}

fn mark_digest(mark: ServerMark) -> u32 {
    let mut bytes = [0u8; 13];
    bytes[..8].copy_from_slice(&mark.server.0.to_le_bytes());
    bytes[8..12].copy_from_slice(&mark.revision.to_le_bytes());
    bytes[12] = mark.leaving.into();
    stable_hash(&bytes) as u32
}

impl MembershipTable {
    /// Creates the table of a new process. The first input to `handle` must be a `Tick`.
    ///
    /// `started` is the start time of the process in milliseconds of its wall clock, `own`
    /// describes this instance, and `seeds` are the instances named in its settings.
    pub fn new(
        params: MembershipParams,
        started: u64,
        own: &InstanceEntry,
        seeds: &[InstanceEntry],
        rng: SmallRng,
    ) -> Self {
        let record = MemberRecord::alive(Incarnation::new(started));
        let mut table = Self {
            pause_detector: PauseDetector::new(params.pause_limit),
            params,
            rng,
            id: own.id,
            local_record: record,
            local_contact: MemberContact { zone: own.zone, udp: own.udp, tcp: own.tcp },
            versions: LocalVersions::default(),
            members: IndexMap::new(),
            marks: ServerMarks::default(),
            updates: UpdateQueue::default(),
            probes: ProbeSchedule::default(),
            digest: member_digest(own.id, record, true),
            mismatch: None,
            live_changed: true,
            timers_started: false,
            initial_sync_done: false,
            next_probe: Timestamp::default(),
            last_gossip: Timestamp::default(),
            next_gossip: Timestamp::default(),
            next_reconnect: Timestamp::default(),
            next_initial_sync: Timestamp::default(),
            next_sync: Timestamp::default(),
        };
        for seed in seeds.iter().filter(|seed| seed.id != own.id) {
            table.add_entry(seed).seed = true;
        }
        table.queue_local_update();
        table
    }

    /// Processes an input and appends the effects that the caller must perform.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: MembershipInput,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if let Some(pause) = self.pause_detector.check(now) {
            self.handle_pause(now, pause, effects);
        }
        match input {
            MembershipInput::Tick => {},
            MembershipInput::Message { from, message } => {
                self.receive(now, from, message, effects);
            },
            MembershipInput::FrameReceived(from) => {
                if from.id != self.id {
                    self.observe_sender(now, from, effects);
                }
            },
            MembershipInput::List(list) => self.apply_list(&list),
            MembershipInput::Versions(versions) => self.versions = versions,
            MembershipInput::MarkServer { server, leaving } => {
                if let Some(mark) = self.marks.next_mark(server, leaving) {
                    self.merge_mark(mark, effects);
                    self.schedule_early_gossip();
                }
            },
            MembershipInput::Leave => {
                let record = MemberRecord { leaving: true, ..self.local_record };
                self.set_local_record(record, effects);
                self.schedule_early_gossip();
            },
            MembershipInput::Depart => self.depart(effects),
        }
        self.run_timers(now, effects);
        if std::mem::take(&mut self.live_changed) {
            effects.push(MembershipEffect::LiveChanged);
        }
        self.pause_detector.set_due(self.next_wakeup());
    }

    /// Returns the time at which `handle` must be called with `Tick` at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let mut next = self.next_probe.min(self.next_reconnect);
        if let Some(mismatch) = &self.mismatch
            && !mismatch.rechecked
        {
            next = next.min(mismatch.found + self.params.sync_delay);
        }
        if let Some(probe) = self.probes.pending
            && !probe.acked
            && !probe.indirect_sent
        {
            next = next.min(probe.sent + self.params.ack_timeout);
        }
        if !self.updates.is_empty() {
            next = next.min(self.next_gossip);
        }
        if !self.initial_sync_done && !self.members.is_empty() {
            next = next.min(self.next_initial_sync);
        }
        let suspicion_end = self.members.values().filter_map(|member| member.suspicion_end).min();
        Timestamp::earliest(Some(next), suspicion_end)
    }

    /// Returns the id and incarnation of this process.
    pub fn identity(&self) -> InstanceIdentity {
        InstanceIdentity { id: self.id, incarnation: self.local_record.incarnation }
    }

    /// Returns the other instances that are alive or suspected and whose addresses are known.
    pub fn live(&self) -> impl Iterator<Item = LiveInstance> + '_ {
        self.members.iter().filter_map(|(&id, member)| {
            let record = member.record.filter(|record| record.is_present())?;
            let contact = member.contact?;
            Some(LiveInstance {
                identity: InstanceIdentity { id, incarnation: record.incarnation },
                zone: contact.zone,
                udp: contact.udp,
                tcp: contact.tcp,
                leaving: record.leaving,
                suspected: record.status == MemberStatus::Suspect,
            })
        })
    }

    /// Returns all other instances with known addresses, also those that are not live.
    pub fn peers(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members.iter().filter(|(_, member)| member.contact.is_some()).map(|(&id, _)| id)
    }

    /// Gets the zone and addresses of another instance.
    pub fn contact(&self, id: InstanceId) -> Option<MemberContact> {
        self.members.get(&id)?.contact
    }

    /// Gets the newest record of another instance. Returns `None` if nothing was received from or
    /// about it.
    pub fn record(&self, id: InstanceId) -> Option<MemberRecord> {
        self.members.get(&id)?.record
    }

    /// Returns whether a later process of the same instance is known. Callers drop the frames of a
    /// replaced process, except those of the membership subsystem, through which it learns of the
    /// later process.
    pub fn is_replaced(&self, identity: InstanceIdentity) -> bool {
        self.record(identity.id)
            .is_some_and(|known| known.incarnation.started > identity.incarnation.started)
    }

    /// Returns the backend servers that are marked as leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.marks.iter().filter(|mark| mark.leaving).map(|mark| mark.server)
    }

    /// Returns whether a backend server is marked as leaving.
    pub fn is_server_leaving(&self, server: ServerId) -> bool {
        self.marks.get(server).is_some_and(|mark| mark.leaving)
    }

    /// Returns the state of the table for operators.
    pub fn dump(&self) -> MembershipDump {
        MembershipDump {
            identity: self.identity(),
            leaving: self.local_record.leaving,
            members: self
                .members
                .iter()
                .map(|(&id, member)| MemberDump {
                    id,
                    record: member.record,
                    contact: member.contact,
                    listed: member.listed,
                })
                .collect(),
            marks: self.marks.iter().collect(),
            waiting_updates: self.updates.len(),
            digest: self.digest,
        }
    }

    /// Adds the member of a list entry if it is unknown, and updates its contact.
    fn add_entry(&mut self, entry: &InstanceEntry) -> &mut Member {
        let member = self.members.entry(entry.id).or_default();
        let contact = MemberContact { zone: entry.zone, udp: entry.udp, tcp: entry.tcp };
        // The list lags behind, so the contact that a running process announced is newer.
        if member.contact != Some(contact)
            && (member.announced_by.is_none() || !member.is_present())
        {
            self.digest ^= member.digest(entry.id);
            member.contact = Some(contact);
            member.announced_by = None;
            self.digest ^= member.digest(entry.id);
            self.live_changed = true;
        }
        member
    }

    fn apply_list(&mut self, list: &InstanceList) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let local = self.id;
        for entry in list.entries.iter().filter(|entry| entry.id != local) {
            self.add_entry(entry).listed = true;
        }
        self.members.retain(|_, member| member.record.is_some() || member.listed || member.seed);
    }

    /// Moves the next round of gossip forward to a tenth of the interval after the last one.
    ///
    /// It is not sent at once, because many servers may leave at the same time and each would
    /// cause a round.
    fn schedule_early_gossip(&mut self) {
        let early = self.last_gossip + self.params.gossip_interval / 10;
        self.next_gossip = self.next_gossip.min(early);
    }

    /// Drops the probes in progress and extends the suspicion timeouts by the pause.
    fn handle_pause(
        &mut self,
        now: Timestamp,
        pause: Duration,
        effects: &mut Vec<MembershipEffect>,
    ) {
        // Answers that arrived during the pause were not read, so a missing ack or refutation
        // doesn't show that the peer has failed.
        self.probes.reset();
        for member in self.members.values_mut() {
            member.suspicion_end = member.suspicion_end.map(|end| end + pause);
        }
        self.mismatch = None;
        self.next_probe = now;
        effects.push(MembershipEffect::Paused(pause));
        effects.push(MembershipEffect::Event {
            kind: EventKind::PauseDetected,
            fields: vec![pause.as_millis().to_string()],
        });
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        if !std::mem::replace(&mut self.timers_started, true) {
            // The random offset keeps instances that start together from sending all their
            // probes at the same times.
            self.next_probe = now + self.params.probe_interval.mul_f64(self.rng.random());
            self.next_reconnect = now + self.params.reconnect_interval.mul_f64(self.rng.random());
        }
        self.run_probe(now, effects);
        self.expire_suspicions(now, effects);
        self.recheck_mismatch(now, effects);
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.params.reconnect_interval;
            self.remove_dead(now);
            self.probe_absent(now, effects);
        }
        if !self.initial_sync_done && now >= self.next_initial_sync && !self.members.is_empty() {
            self.next_initial_sync = now + self.params.probe_interval;
            let peers: Vec<_> = self.peers().collect();
            for &peer in peers.choose_multiple(&mut self.rng, 3) {
                let updates = self.full_state();
                Self::send_stream(peer, MembershipMessage::SyncRequest { updates }, effects);
            }
        }
        if now >= self.next_gossip && !self.updates.is_empty() {
            self.last_gossip = now;
            self.next_gossip = now + self.params.gossip_interval;
            let targets = self.choose_present(self.params.gossip_fanout, None);
            for target in targets {
                let updates = self.take_updates(target);
                if !updates.is_empty() {
                    Self::send_datagram(target, MembershipMessage::Gossip { updates }, effects);
                }
            }
        }
    }

    /// Removes members that have been dead for the retention time, except seeds and listed ones.
    fn remove_dead(&mut self, now: Timestamp) {
        let retention = self.params.dead_retention;
        self.members.retain(|_, member| {
            member.listed
                || member.seed
                || member.dead_since.is_none_or(|since| now.since(since) < retention)
        });
    }
}
