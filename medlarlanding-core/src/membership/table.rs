//! The state machine of the membership subsystem.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Serialize;

use super::marks::{ServerMark, ServerMarks};
use super::message::{MemberContact, MembershipMessage, MembershipUpdate};
use super::params::MembershipParams;
use super::pause::PauseDetector;
use super::probe::{OwnProbe, ProbeCycle};
use super::record::{MemberRecord, MemberStatus};
use super::updates::{UpdateQueue, encoded_len};
use crate::distribution::{LocalVersions, VersionStatus};
use crate::events::EventKind;
use crate::ids::{Incarnation, InstanceId, InstanceIdentity, ServerId, ZoneId, stable_hash};
use crate::time::Timestamp;
use crate::views::{InstanceEntry, InstanceList};
use crate::wire::PeerTransport;

/// Bytes of a message without its updates, at most.
const MESSAGE_BASE: usize = 64;

/// Inputs of a [`MembershipTable`].
#[derive(Clone, Debug)]
pub enum MembershipInput {
    /// The time of [`MembershipTable::next_wakeup`] has come.
    Tick,
    /// A message arrived in a frame with a valid tag.
    Message {
        /// Sender of the frame.
        from: InstanceIdentity,
        /// The message.
        message: MembershipMessage,
    },
    /// A frame of another subsystem arrived; passed before the frame is dropped or processed.
    /// Without it, answers to a restarted peer would be addressed to its previous process until
    /// news of the restart spread, and a peer whose wall clock went back would not learn it.
    Heard(InstanceIdentity),
    /// An instance list is in effect.
    List(Arc<InstanceList>),
    /// The versions that this instance reports to its peers.
    Versions(LocalVersions),
    /// A backend server was seen to leave, or to be back.
    MarkServer {
        /// The backend server.
        server: ServerId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// The own process takes no new work.
    Leave,
    /// The own process ends now; peers need not detect its death.
    Depart,
}

/// Effects that the caller of a [`MembershipTable`] performs.
#[derive(Clone, Debug)]
pub enum MembershipEffect {
    /// Send a message. The frame's receiver incarnation must stay open, because a peer that
    /// restarted has to learn what is believed about it.
    Send {
        /// Receiver; [`MembershipTable::contact`] has its addresses.
        to: InstanceId,
        /// Transport.
        transport: PeerTransport,
        /// The message.
        message: MembershipMessage,
    },
    /// The own incarnation changed; later frames carry the new one.
    IdentityChanged(InstanceIdentity),
    /// [`MembershipTable::live`] returns something else than before.
    LiveChanged,
    /// The leaving mark of a backend server changed.
    ServerMarked(ServerMark),
    /// A peer reported its versions.
    PeerVersions {
        /// The peer.
        from: InstanceId,
        /// Its versions.
        versions: VersionStatus,
        /// Time at which the answered probe was sent; `None` if the peer reported unasked.
        /// Only ages in answers can be related to the own clock.
        asked: Option<Timestamp>,
    },
    /// The own process was paused for the given time. Permits and claims are suspended and
    /// views are read again before it acts.
    Paused(Duration),
    /// Write a log event with the fields of its descriptor.
    Event {
        /// The event.
        kind: EventKind,
        /// Values of the fields.
        fields: Vec<String>,
    },
}

/// A member that takes part in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct LiveInstance {
    /// Id and process.
    pub identity: InstanceIdentity,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for datagrams.
    pub udp: SocketAddr,
    /// Address for connections.
    pub tcp: SocketAddr,
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Whether it missed a probe and has not refuted the suspicion yet.
    pub suspected: bool,
}

#[derive(Debug, Default)]
struct Member {
    /// `None` until the first claim; listed members start unheard.
    record: Option<MemberRecord>,
    contact: Option<MemberContact>,
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
}

/// State of a member in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct MemberDump {
    /// The member.
    pub id: InstanceId,
    /// What is known about it.
    pub record: Option<MemberRecord>,
    /// Its addresses.
    pub contact: Option<MemberContact>,
    /// Whether the instance list names it.
    pub listed: bool,
}

/// State of a [`MembershipTable`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct MembershipDump {
    /// The own process.
    pub identity: InstanceIdentity,
    /// Whether the own process is leaving.
    pub leaving: bool,
    /// Other members.
    pub members: Vec<MemberDump>,
    /// Marks of backend servers.
    pub marks: Vec<ServerMark>,
    /// Number of updates that wait to be sent.
    pub waiting_updates: usize,
    /// Digest of members and marks; equal on instances that agree.
    pub digest: u32,
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
    joined: bool,
    next_cycle: Timestamp,
    next_gossip: Timestamp,
    next_reconnect: Timestamp,
    next_join: Timestamp,
    next_sync: Timestamp,
}

fn member_digest(id: InstanceId, record: MemberRecord) -> u32 {
    if !record.is_present() {
        return 0;
    }
    // Refutations are left out: under loss they change too often for two digests to meet.
    let mut bytes = [0u8; 17];
    bytes[..8].copy_from_slice(&id.0.to_le_bytes());
    bytes[8..16].copy_from_slice(&record.incarnation.started.to_le_bytes());
    bytes[16] = record.leaving.into();
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
            digest: member_digest(own.id, record),
            difference: None,
            live_changed: true,
            joined: false,
            next_cycle: Timestamp::default(),
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
                    self.next_gossip = now;
                }
            },
            MembershipInput::Leave => {
                let record = MemberRecord { leaving: true, ..self.own };
                self.set_own(record, effects);
                self.next_gossip = now;
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
        // A contact that the process announced itself is newer than the list, which lags.
        member.contact.get_or_insert(MemberContact {
            zone: entry.zone,
            udp: entry.udp,
            tcp: entry.tcp,
        });
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

    fn receive(
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

    /// Takes a frame as evidence that its sender's process runs.
    fn hear_from(
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

    fn merge(
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

    fn merge_member(
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
        let contact = contact.filter(|_| record.incarnation.same_process(claim.incarnation));
        let unknown_contact = contact.is_some() && self.contact(id) != contact;
        if record != held {
            self.set_member(now, id, record, contact, effects);
        } else if unknown_contact && let Some(member) = self.members.get_mut(&id) {
            member.contact = contact;
            self.live_changed = true;
        }
    }

    /// Stores a changed record and spreads it.
    fn set_member(
        &mut self,
        now: Timestamp,
        id: InstanceId,
        record: MemberRecord,
        contact: Option<MemberContact>,
        effects: &mut Vec<MembershipEffect>,
    ) {
        let timeout = self.suspicion_timeout();
        let member = self.members.entry(id).or_default();
        let before = member.record.replace(record);
        member.contact = contact.or(member.contact);
        member.dead_at = match record.status {
            MemberStatus::Suspect => member.dead_at.or(Some(now + timeout)),
            _ => None,
        };
        member.died = (!record.is_present()).then_some(now);
        let contact = member.contact;
        let member_changed = before.is_none_or(|before| {
            before.is_present() != record.is_present()
                || before.leaving != record.leaving
                || before.incarnation != record.incarnation
        });
        self.live_changed |= member_changed;
        self.digest ^= before.map_or(0, |before| member_digest(id, before));
        self.digest ^= member_digest(id, record);
        self.push_member(id, record, contact);
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

    fn push_member(
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

    fn push_own(&mut self) {
        self.push_member(self.id, self.own, Some(self.own_contact));
    }

    fn set_own(&mut self, record: MemberRecord, effects: &mut Vec<MembershipEffect>) {
        let before = std::mem::replace(&mut self.own, record);
        if before == record {
            return;
        }
        self.digest ^= member_digest(self.id, before) ^ member_digest(self.id, record);
        self.push_own();
        if before.incarnation != record.incarnation {
            effects.push(MembershipEffect::IdentityChanged(self.identity()));
        }
    }

    /// Refutes a claim that the own process is suspect, dead or replaced.
    fn claim_about_self(&mut self, claim: MemberRecord, effects: &mut Vec<MembershipEffect>) {
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

    fn merge_mark(&mut self, mark: ServerMark, effects: &mut Vec<MembershipEffect>) {
        let before = self.marks.get(mark.server).map_or(0, mark_digest);
        if self.marks.merge(mark) {
            self.digest ^= before ^ mark_digest(mark);
            self.updates.push(MembershipUpdate::Server(mark));
            effects.push(MembershipEffect::ServerMarked(mark));
        }
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        self.evict_suspects(now, effects);
        self.run_probe(now, effects);
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

    fn evict_suspects(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
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

    fn run_probe(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        if let Some(probe) = self.probes.own
            && !probe.acked
            && !probe.indirect
            && now >= probe.sent + self.params.ack_timeout
            && now < self.next_cycle
        {
            if let Some(own) = &mut self.probes.own {
                own.indirect = true;
            }
            let helpers = self.choose_present(self.params.indirect_peers, Some(probe.target));
            for helper in helpers {
                let updates = self.take_updates(helper);
                let message = MembershipMessage::PingRequest {
                    probe: probe.number,
                    target: probe.target,
                    updates,
                };
                Self::send_datagram(helper, message, effects);
            }
            if self.params.second_probe {
                self.send_ping(now, probe.target, probe.number, effects);
            }
        }
        if now < self.next_cycle {
            return;
        }
        if let Some(probe) = self.probes.own.take()
            && !probe.acked
            && let Some(record) = self.record(probe.target)
            && record.status == MemberStatus::Alive
        {
            let record = MemberRecord { status: MemberStatus::Suspect, ..record };
            self.set_member(now, probe.target, record, None, effects);
        }
        self.next_cycle = now + self.params.probe_interval;
        let members = &self.members;
        let target = self.probes.next_target(
            &mut self.rng,
            || members.keys().copied().collect(),
            |id| members.get(&id).is_some_and(Member::is_present),
        );
        if let Some(target) = target {
            let number = self.probes.number();
            self.probes.own =
                Some(OwnProbe { target, number, sent: now, acked: false, indirect: false });
            self.send_ping(now, target, number, effects);
        }
    }

    /// Probes a named member that is dead or was never heard, so that both sides of a network
    /// partition find each other again.
    fn probe_absent(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
        let absent: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| {
                (member.listed || member.seed) && member.contact.is_some() && !member.is_present()
            })
            .map(|(&id, _)| id)
            .collect();
        if let Some(&target) = absent.choose(&mut self.rng) {
            let number = self.probes.number();
            self.send_ping(now, target, number, effects);
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

    fn compare(
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
    fn recheck_difference(&mut self, now: Timestamp, effects: &mut Vec<MembershipEffect>) {
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

    fn depart(&mut self, effects: &mut Vec<MembershipEffect>) {
        let record = MemberRecord { leaving: true, status: MemberStatus::Dead, ..self.own };
        let update = MembershipUpdate::Member { id: self.id, record, contact: None };
        for target in self.choose_present(self.params.gossip_fanout * 2, None) {
            let message = MembershipMessage::Gossip { updates: vec![update] };
            Self::send_datagram(target, message, effects);
        }
    }

    fn suspicion_timeout(&self) -> Duration {
        let present = self.members.len() + 1;
        self.params.suspicion_base.mul_f64(((present + 1) as f64).log10().max(1.0))
    }

    fn choose_present(&mut self, count: usize, except: Option<InstanceId>) -> Vec<InstanceId> {
        let present: Vec<_> = self
            .members
            .iter()
            .filter(|&(&id, member)| member.is_present() && Some(id) != except)
            .map(|(&id, _)| id)
            .collect();
        present.choose_multiple(&mut self.rng, count).copied().collect()
    }

    fn full_state(&self) -> Vec<MembershipUpdate> {
        let own = MembershipUpdate::Member {
            id: self.id,
            record: self.own,
            contact: Some(self.own_contact),
        };
        let members = self.members.iter().filter_map(|(&id, member)| {
            Some(MembershipUpdate::Member { id, record: member.record?, contact: member.contact })
        });
        let marks = self.marks.iter().map(MembershipUpdate::Server);
        std::iter::once(own).chain(members).chain(marks).collect()
    }

    /// Takes news for a datagram to `to`. If `to` is not held as alive, the claim about itself
    /// comes first, so that it can refute.
    fn take_updates(&mut self, to: InstanceId) -> Vec<MembershipUpdate> {
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

    fn send_ping(
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

    fn send_ack(
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

    fn send_datagram(
        to: InstanceId,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        effects.push(MembershipEffect::Send { to, transport: PeerTransport::Datagram, message });
    }

    fn send_stream(
        to: InstanceId,
        message: MembershipMessage,
        effects: &mut Vec<MembershipEffect>,
    ) {
        effects.push(MembershipEffect::Send { to, transport: PeerTransport::Stream, message });
    }
}
