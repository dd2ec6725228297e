//! The state machine of the membership subsystem.

mod claims;
mod exchange;
mod probing;

use std::time::Duration;

use super::interface::{
    LiveInstance, MemberDump, MembershipDump, MembershipEffect, MembershipInput,
};
use super::marks::{ServerMark, ServerMarks};
use super::message::{MemberContact, MembershipMessage};
use super::params::MembershipParams;
use super::pause::PauseDetector;
use super::probe::ProbeCycle;
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

#[derive(Debug, Default)]
struct Member {
    /// `None` until the first claim; listed members start unheard.
    record: Option<MemberRecord>,
    contact: Option<MemberContact>,
    /// Start time of the process that announced `contact`; `None` if it is from the list.
    announced_by: Option<u64>,
    /// Whether settings or the instance list name the member; such members are never forgotten.
    seed: bool,
    listed: bool,
    /// End of the suspicion timeout. Set exactly while the status is `Suspect`.
    dead_at: Option<Timestamp>,
    /// Time of death as seen here.
    died: Option<Timestamp>,
}

impl Member {
    fn is_present(&self) -> bool {
        self.record.is_some_and(MemberRecord::is_present) && self.contact.is_some()
    }

    /// Returns the addresses if the process in the record announced them itself.
    fn announced_contact(&self) -> Option<MemberContact> {
        let started = self.record?.incarnation.started;
        self.contact.filter(|_| self.announced_by == Some(started))
    }

    fn digest(&self, id: InstanceId) -> u32 {
        let announced = self.announced_contact().is_some();
        self.record.map_or(0, |record| member_digest(id, record, announced))
    }
}

/// A peer whose digest differs from the own one.
#[derive(Clone, Copy, Debug)]
struct DigestDifference {
    peer: InstanceId,
    own: u32,
    theirs: u32,
    /// Whether the peer was asked again.
    asked: bool,
    at: Timestamp,
}

/// Keeps the state of every instance and of leaving backend servers.
#[derive(Debug)]
pub struct MembershipTable {
    params: MembershipParams,
    rng: SmallRng,
    id: InstanceId,
    own: MemberRecord,
    own_contact: MemberContact,
    versions: LocalVersions,
    members: IndexMap<InstanceId, Member>,
    marks: ServerMarks,
    updates: UpdateQueue,
    probes: ProbeCycle,
    pause: PauseDetector,
    /// Sum (exclusive or) over present members and marks.
    digest: u32,
    difference: Option<DigestDifference>,
    live_changed: bool,
    /// Whether the timers run.
    started: bool,
    /// Whether a peer sent its full state.
    joined: bool,
    next_cycle: Timestamp,
    last_gossip: Timestamp,
    next_gossip: Timestamp,
    next_reconnect: Timestamp,
    next_join: Timestamp,
    next_sync: Timestamp,
}

fn member_digest(id: InstanceId, record: MemberRecord, announced: bool) -> u32 {
    if !record.is_present() {
        return 0;
    }
    // Refutations are left out: under loss they change too often for two digests to meet.
    // Without the announcement an instance that is in no list would stay out of reach for good.
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
    /// Creates the table of a process that knows the peers in its settings.
    ///
    /// `started` is the start time of the process in milliseconds of its wall clock; `own` is
    /// the instance's own entry. The first call of `handle` must be a `Tick`.
    pub fn new(
        params: MembershipParams,
        started: u64,
        own: &InstanceEntry,
        seeds: &[InstanceEntry],
        rng: SmallRng,
    ) -> Self {
        let record = MemberRecord::alive(Incarnation::new(started));
        let mut table = Self {
            pause: PauseDetector::new(params.pause_limit),
            params,
            rng,
            id: own.id,
            own: record,
            own_contact: MemberContact { zone: own.zone, udp: own.udp, tcp: own.tcp },
            versions: LocalVersions::default(),
            members: IndexMap::new(),
            marks: ServerMarks::default(),
            updates: UpdateQueue::default(),
            probes: ProbeCycle::default(),
            digest: member_digest(own.id, record, true),
            difference: None,
            live_changed: true,
            started: false,
            joined: false,
            next_cycle: Timestamp::default(),
            last_gossip: Timestamp::default(),
            next_gossip: Timestamp::default(),
            next_reconnect: Timestamp::default(),
            next_join: Timestamp::default(),
            next_sync: Timestamp::default(),
        };
        for seed in seeds.iter().filter(|seed| seed.id != own.id) {
            table.add_entry(seed).seed = true;
        }
        table.push_own();
        table
    }

    /// Processes an input and appends the effects that the caller performs.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: MembershipInput,
        effects: &mut Vec<MembershipEffect>,
    ) {
        if let Some(late) = self.pause.check(now) {
            self.resume(now, late, effects);
        }
        match input {
            MembershipInput::Tick => {},
            MembershipInput::Message { from, message } => {
                self.receive(now, from, message, effects);
            },
            MembershipInput::Heard(from) => {
                if from.id != self.id {
                    self.hear_from(now, from, effects);
                }
            },
            MembershipInput::List(list) => self.take_list(&list),
            MembershipInput::Versions(versions) => self.versions = versions,
            MembershipInput::MarkServer { server, leaving } => {
                if let Some(mark) = self.marks.change(server, leaving) {
                    self.merge_mark(mark, effects);
                    self.hasten_gossip();
                }
            },
            MembershipInput::Leave => {
                let record = MemberRecord { leaving: true, ..self.own };
                self.set_own(record, effects);
                self.hasten_gossip();
            },
            MembershipInput::Depart => self.depart(effects),
        }
        self.run_timers(now, effects);
        if std::mem::take(&mut self.live_changed) {
            effects.push(MembershipEffect::LiveChanged);
        }
        self.pause.expect(self.next_wakeup());
    }

    /// Returns when `handle` must be called with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let mut next = self.next_cycle.min(self.next_reconnect);
        if let Some(held) = &self.difference
            && !held.asked
        {
            next = next.min(held.at + self.params.sync_delay);
        }
        if let Some(probe) = self.probes.own
            && !probe.acked
            && !probe.indirect
        {
            next = next.min(probe.sent + self.params.ack_timeout);
        }
        if !self.updates.is_empty() {
            next = next.min(self.next_gossip);
        }
        if !self.joined && !self.members.is_empty() {
            next = next.min(self.next_join);
        }
        let eviction = self.members.values().filter_map(|member| member.dead_at).min();
        Timestamp::earliest(Some(next), eviction)
    }

    /// Returns the own id and incarnation.
    pub fn identity(&self) -> InstanceIdentity {
        InstanceIdentity { id: self.id, incarnation: self.own.incarnation }
    }

    /// Returns the other instances that are alive or suspected.
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

    /// Returns every other instance with a known address, also those that are not live.
    pub fn peers(&self) -> impl Iterator<Item = InstanceId> + '_ {
        self.members.iter().filter(|(_, member)| member.contact.is_some()).map(|(&id, _)| id)
    }

    /// Gets the addresses of an instance.
    pub fn contact(&self, id: InstanceId) -> Option<MemberContact> {
        self.members.get(&id)?.contact
    }

    /// Gets what is known about another instance.
    pub fn record(&self, id: InstanceId) -> Option<MemberRecord> {
        self.members.get(&id)?.record
    }

    /// Returns whether a later process of the same instance is known. Its frames are dropped,
    /// except those of the membership subsystem, through which it learns of the other process.
    pub fn is_replaced(&self, identity: InstanceIdentity) -> bool {
        self.record(identity.id)
            .is_some_and(|held| held.incarnation.started > identity.incarnation.started)
    }

    /// Returns the backend servers that are leaving.
    pub fn leaving_servers(&self) -> impl Iterator<Item = ServerId> + '_ {
        self.marks.iter().filter(|mark| mark.leaving).map(|mark| mark.server)
    }

    /// Returns whether a backend server is leaving.
    pub fn is_server_leaving(&self, server: ServerId) -> bool {
        self.marks.get(server).is_some_and(|mark| mark.leaving)
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> MembershipDump {
        MembershipDump {
            identity: self.identity(),
            leaving: self.own.leaving,
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

    fn add_entry(&mut self, entry: &InstanceEntry) -> &mut Member {
        let member = self.members.entry(entry.id).or_default();
        let contact = MemberContact { zone: entry.zone, udp: entry.udp, tcp: entry.tcp };
        // What a running process announced itself is newer than the list, which lags.
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

    fn take_list(&mut self, list: &InstanceList) {
        for member in self.members.values_mut() {
            member.listed = false;
        }
        let own = self.id;
        for entry in list.entries.iter().filter(|entry| entry.id != own) {
            self.add_entry(entry).listed = true;
        }
        self.members.retain(|_, member| member.record.is_some() || member.listed || member.seed);
    }

    /// Sends own news soon; not at once for each piece, as many servers may leave together.
    fn hasten_gossip(&mut self) {
        let soon = self.last_gossip + self.params.gossip_interval / 10;
        self.next_gossip = self.next_gossip.min(soon);
    }

    fn resume(&mut self, now: Timestamp, late: Duration, effects: &mut Vec<MembershipEffect>) {
        // Answers that arrived during the pause were not read, so neither the probe in progress
        // nor the suspicion timeouts say anything about the peers.
        self.probes.reset();
        for member in self.members.values_mut() {
            member.dead_at = member.dead_at.map(|at| at + late);
        }
        self.difference = None;
        self.next_cycle = now;
        effects.push(MembershipEffect::Paused(late));
        effects.push(MembershipEffect::Event {
            kind: EventKind::PauseDetected,
            fields: vec![late.as_millis().to_string()],
        });
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        if !std::mem::replace(&mut self.started, true) {
            // Instances that start at the same time must not act at the same times ever after.
            self.next_cycle = now + self.params.probe_interval.mul_f64(self.rng.random());
            self.next_reconnect = now + self.params.reconnect_interval.mul_f64(self.rng.random());
        }
        self.run_probe(now, effects);
        self.evict_suspects(now, effects);
        self.recheck_difference(now, effects);
        if now >= self.next_reconnect {
            self.next_reconnect = now + self.params.reconnect_interval;
            self.forget_dead(now);
            self.probe_absent(now, effects);
        }
        if !self.joined && now >= self.next_join && !self.members.is_empty() {
            self.next_join = now + self.params.probe_interval;
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

    fn forget_dead(&mut self, now: Timestamp) {
        let retention = self.params.dead_retention;
        self.members.retain(|_, member| {
            member.listed
                || member.seed
                || member.died.is_none_or(|died| now.since(died) < retention)
        });
    }
}
