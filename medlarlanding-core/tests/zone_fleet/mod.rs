//! Instances in several zones that exchange digests, plans and configurations in virtual time.

#![allow(dead_code, reason = "each test uses a part")]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use medlarlanding_core::forwarding::{
    ConfigFetch, ConfigStep, FetchEnd, LoadReport, PeerDigest, PeerMessage, PeerTable,
    PeerTableParams, RelayParams, StoreEra, ZoneDuties, ZoneDuty, ZoneKey, ZonePlanner,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Step of the virtual time; datagrams arrive in the next step.
const STEP_MS: u64 = 5;
/// Time of one fetch: 40 KB on a link of 10 Mbit/s, and the calls.
const FETCH_MS: u64 = 40;
/// Fetches that an instance serves at the same time.
const SERVING_LIMIT: usize = 6;
/// Time limit of an answer of a peer in the own zone, and of any other.
const NEAR_TIMEOUT_MS: u64 = 400;
const FETCH_TIMEOUT_MS: u64 = 2_000;

pub fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 7200))
}

fn number(address: SocketAddr) -> u16 {
    match address {
        SocketAddr::V4(address) => {
            let octets = address.ip().octets();
            u16::from_be_bytes([octets[2], octets[3]])
        },
        SocketAddr::V6(_) => unreachable!("the fleet uses IPv4"),
    }
}

/// Returns the load of an instance with requests at twelve servers.
fn loads(number: u16) -> Vec<LoadReport> {
    let load = |index: u64| LoadReport {
        server: u64::MAX / 3 - index - u64::from(number),
        requests: 2,
        tokens: 6_000,
        waiting_tokens: 300,
        growth: 800,
        speed: None,
    };
    (0..12).map(load).collect()
}

/// Size of a fleet. Neighbouring addresses are in different zones.
#[derive(Clone, Copy, Debug)]
pub struct FleetParams {
    pub count: u16,
    pub zones: u16,
    /// The digests carry the zones.
    pub is_zoned: bool,
}

/// Fault of an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InstanceFault {
    /// Refuses connections.
    Dead,
    /// Accepts connections and does nothing.
    Hung,
}

#[derive(Clone, Copy, Debug)]
struct RunningFetch {
    peer: u16,
    ends_at: u64,
    end: FetchEnd,
    version: u64,
}

struct TestInstance {
    table: PeerTable,
    duties: ZoneDuties,
    planner: ZonePlanner,
    fetch: ConfigFetch,
    strength: u16,
    version: u64,
    sequence: u64,
    next_digest: u64,
    /// The next check for a newer configuration.
    next_check: u64,
    /// When the instance acts on news, if it has been notified.
    wake_at: Option<u64>,
    running: Option<RunningFetch>,
    fetch_after: u64,
    fault: Option<InstanceFault>,
}

/// How one change was passed on.
#[derive(Debug, Default)]
pub struct Delivery {
    /// Copies that each instance received.
    pub received: BTreeMap<u16, usize>,
    /// Datagrams that each instance sent.
    pub sent: BTreeMap<u16, usize>,
    /// Datagrams to another zone.
    pub crossings: usize,
}

/// Fleet in virtual time.
pub struct ZoneFleet {
    params: FleetParams,
    instances: Vec<TestInstance>,
    now: u64,
    random: SmallRng,
    /// Datagrams that arrive in the next step: sender, receiver, message.
    under_way: Vec<(u16, u16, PeerMessage)>,
    cut: Option<u16>,
    /// Pairs of sender and receiver whose digests are lost.
    blocked: BTreeSet<(u16, u16)>,
    /// The newest version in the store, and the zone that does not reach it.
    stored: (u64, Option<u16>),
    /// Configurations that were fetched from another zone.
    pub fetched_across: usize,
    /// Bytes of datagrams to other zones, by kind.
    pub bytes_across: BTreeMap<&'static str, usize>,
    /// Datagrams to other zones, by kind.
    pub sent_across: BTreeMap<&'static str, usize>,
}

impl ZoneFleet {
    pub fn new(params: FleetParams) -> Self {
        let seeds: Vec<SocketAddr> = (0..params.count.min(3)).map(address).collect();
        let instances = (0..params.count).map(|number| {
            // As on deployment A, one in nine machines is strong.
            let strength = if number % 9 == 4 { 200 } else { 10 };
            let table = PeerTableParams::default();
            let zone = match params.is_zoned {
                true => ZoneKey::of(&format!("zone-{}", number % params.zones)),
                false => ZoneKey::UNKNOWN,
            };
            TestInstance {
                table: PeerTable::new(table, address(number), strength, seeds.clone())
                    .in_zone(zone),
                duties: ZoneDuties::default(),
                planner: ZonePlanner::default(),
                fetch: ConfigFetch::default(),
                strength,
                version: 1,
                sequence: 0,
                next_digest: u64::from(number) * 7 % 250,
                next_check: u64::from(number) * 11 % 250,
                wake_at: None,
                running: None,
                fetch_after: 0,
                fault: None,
            }
        });
        Self {
            params,
            instances: instances.collect(),
            now: 0,
            random: SmallRng::seed_from_u64(3),
            under_way: Vec::new(),
            cut: None,
            blocked: BTreeSet::new(),
            stored: (1, None),
            fetched_across: 0,
            bytes_across: BTreeMap::new(),
            sent_across: BTreeMap::new(),
        }
    }

    fn at(&self) -> Timestamp {
        Timestamp::from_millis(1_000_000 + self.now)
    }

    fn zone(&self, number: u16) -> u16 {
        number % self.params.zones
    }

    pub fn members(&self, zone: u16) -> Vec<u16> {
        (0..self.params.count).filter(|number| self.zone(*number) == zone).collect()
    }

    pub fn hubs_in(&self, zone: u16) -> Vec<u16> {
        let is_hub = |number: &u16| {
            let instance = &self.instances[usize::from(*number)];
            instance.fault.is_none() && instance.table.is_hub(self.at())
        };
        self.members(zone).into_iter().filter(is_hub).collect()
    }

    /// Returns the relays of a zone, the strongest first.
    pub fn relays(&self, zone: u16) -> Vec<u16> {
        let is_relay = |number: &u16| self.duty(*number) == ZoneDuty::Relay;
        let mut relays: Vec<u16> = self.members(zone).into_iter().filter(is_relay).collect();
        relays
            .sort_by_key(|number| std::cmp::Reverse(self.instances[usize::from(*number)].strength));
        relays
    }

    /// Returns the coordinators of all instances without a fault; one if they agree.
    pub fn coordinators(&self) -> Vec<u16> {
        let live = (0..self.params.count)
            .filter(|number| self.instances[usize::from(*number)].fault.is_none());
        let coordinator = |own: u16| {
            let table = &self.instances[usize::from(own)].table;
            table.coordinator(self.at()).map_or(own, number)
        };
        let distinct: BTreeSet<u16> = live.map(coordinator).collect();
        distinct.into_iter().collect()
    }

    /// Returns the coordinator, on which all instances must agree.
    pub fn coordinator(&self) -> u16 {
        let coordinators = self.coordinators();
        assert_eq!(coordinators.len(), 1, "{coordinators:?}");
        coordinators[0]
    }

    /// Sends a change from an instance through the relays. The instances in `hung` do nothing, although
    /// no other instance knows it yet.
    pub fn deliver(&self, sender: u16, hung: &[u16]) -> Delivery {
        let change = postcard::to_stdvec(&PeerMessage::Leaving(vec![1])).expect("a datagram");
        let table = &self.instances[usize::from(sender)].table;
        let mut delivery = Delivery::default();
        let mut under_way = Vec::new();
        for route in RelayParams::default().routes(self.at(), table) {
            for (targets, message) in route.sends(&change) {
                under_way.push((sender, targets, message));
            }
        }
        while let Some((from, targets, message)) = under_way.pop() {
            for target in targets {
                let to = number(target);
                delivery.sent.entry(from).and_modify(|count| *count += 1).or_insert(1);
                delivery.crossings += usize::from(self.zone(from) != self.zone(to));
                if hung.contains(&to) {
                    continue;
                }
                *delivery.received.entry(to).or_default() += 1;
                match message.clone() {
                    Some(PeerMessage::Relayed(relayed)) => {
                        assert_eq!(relayed.message, change);
                        under_way.push((to, relayed.targets, None));
                    },
                    Some(PeerMessage::ZoneRelayed(relayed)) => {
                        assert_eq!(relayed.message, change);
                        under_way.extend(
                            relayed
                                .sends()
                                .into_iter()
                                .map(|(targets, message)| (to, targets, message)),
                        );
                    },
                    Some(other) => unreachable!("{other:?}"),
                    None => {},
                }
            }
        }
        delivery
    }

    pub fn duty(&self, number: u16) -> ZoneDuty {
        let instance = &self.instances[usize::from(number)];
        instance.duties.duty(self.at(), instance.table.digest_interval())
    }

    pub fn version(&self, number: u16) -> u64 {
        self.instances[usize::from(number)].version
    }

    /// Returns the instances without a fault that lack a version.
    pub fn lacking(&self, version: u64) -> Vec<u16> {
        let lacks = |number: &u16| {
            let instance = &self.instances[usize::from(*number)];
            instance.fault.is_none() && instance.version < version
        };
        (0..self.params.count).filter(lacks).collect()
    }

    pub fn fail(&mut self, number: u16, fault: InstanceFault) {
        let instance = &mut self.instances[usize::from(number)];
        instance.fault = Some(fault);
        instance.running = None;
    }

    pub fn recover(&mut self, number: u16) {
        self.instances[usize::from(number)].fault = None;
    }

    /// Cuts a zone off from all others, or ends the cut.
    pub fn cut_off(&mut self, zone: Option<u16>) {
        self.cut = zone;
    }

    pub fn block(&mut self, pairs: BTreeSet<(u16, u16)>) {
        self.blocked = pairs;
    }

    /// Writes a version to the store, where the watching instances see it.
    pub fn publish(&mut self, version: u64) {
        self.stored = (version, None);
    }

    /// Writes a version to the store, which a zone does not reach.
    pub fn publish_outside(&mut self, version: u64, zone: u16) {
        self.stored = (version, Some(zone));
    }

    pub fn run(&mut self, millis: u64) {
        self.run_until(millis, |_| false);
    }

    /// Runs until a condition holds. Returns the time it took, or `None` if it did not hold in time.
    pub fn run_until(&mut self, millis: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        let started = self.now;
        while self.now < started + millis {
            if holds(self) {
                return Some(self.now - started);
            }
            self.step();
        }
        None
    }

    fn is_cut(&self, from: u16, to: u16) -> bool {
        let (from, to) = (self.zone(from), self.zone(to));
        from != to && self.cut.is_some_and(|zone| zone == from || zone == to)
    }

    fn send(&mut self, from: u16, targets: &[SocketAddr], message: &PeerMessage) {
        let is_hub = self.instances[usize::from(from)].table.is_hub(self.at());
        let kind = match message {
            PeerMessage::Digest(_) | PeerMessage::ZoneDigest(_) if is_hub => "digest of a hub",
            PeerMessage::Digest(_) => "digest",
            other => other.kind(),
        };
        let length = postcard::to_stdvec(message).expect("a datagram").len();
        for target in targets {
            let target = number(*target);
            if self.zone(from) != self.zone(target) {
                *self.bytes_across.entry(kind).or_default() += length;
                *self.sent_across.entry(kind).or_default() += 1;
            }
            if !self.is_cut(from, target) {
                self.under_way.push((from, target, message.clone()));
            }
        }
    }

    fn step(&mut self) {
        self.now += STEP_MS;
        for (from, to, message) in std::mem::take(&mut self.under_way) {
            if self.instances[usize::from(to)].fault.is_none() {
                self.receive(from, to, message);
            }
        }
        for number in 0..self.params.count {
            if self.instances[usize::from(number)].fault.is_some() {
                continue;
            }
            self.read_store(number);
            self.end_fetch(number);
            if self.now >= self.instances[usize::from(number)].next_digest {
                self.send_digest(number);
            }
            let instance = &self.instances[usize::from(number)];
            let is_woken = instance.wake_at.is_some_and(|at| self.now >= at);
            if is_woken || self.now >= instance.next_check {
                self.check(number);
            }
        }
    }

    fn read_store(&mut self, number: u16) {
        let now = self.at();
        let (version, without) = self.stored;
        let is_reaching = without != Some(self.zone(number));
        let instance = &mut self.instances[usize::from(number)];
        if instance.version < version && is_reaching && instance.table.watches_store(now) {
            instance.version = version;
            instance.next_digest = self.now;
        }
    }

    fn receive(&mut self, from: u16, to: u16, message: PeerMessage) {
        let now = self.at();
        let duty = self.duty(to);
        let draw: f64 = self.random.random();
        let instance = &mut self.instances[usize::from(to)];
        match message {
            PeerMessage::Digest(_) if self.blocked.contains(&(from, to)) => {},
            PeerMessage::Digest(digest) => {
                let is_newer = digest.config_version > instance.version;
                instance.table.receive(now, digest);
                if is_newer && duty != ZoneDuty::Unassigned {
                    let delay = instance.fetch.start_delay(&instance.table, duty, draw);
                    let at = self.now + delay.as_millis() as u64;
                    instance.wake_at.get_or_insert(at);
                }
            },
            PeerMessage::ZoneDigest(digest) => {
                let interval = instance.table.digest_interval();
                let receivers =
                    instance.duties.receivers(now, interval, address(to), digest.sender);
                self.send(to, &receivers, &PeerMessage::PassedDigest(digest.clone()));
                self.receive(from, to, PeerMessage::Digest(digest));
            },
            PeerMessage::PassedDigest(digest) => {
                let sender = number(digest.sender);
                self.receive(sender, to, PeerMessage::Digest(digest));
            },
            PeerMessage::ZonePlan(plan) => {
                let interval = instance.table.digest_interval();
                let plan = instance.duties.receive(now, interval, address(to), address(from), plan);
                let members = instance.duties.members(now, interval).to_vec();
                if let Some(plan) = plan {
                    self.send(to, &members, &PeerMessage::ZonePlan(plan));
                }
            },
            other => unreachable!("{other:?}"),
        }
    }

    fn send_digest(&mut self, number: u16) {
        let now = self.at();
        let is_reaching = self.stored.1 != Some(self.zone(number));
        let instance = &mut self.instances[usize::from(number)];
        instance.sequence += 1;
        let sequence = instance.sequence;
        let interval = instance.table.digest_interval();
        instance.next_digest = self.now + interval.as_millis() as u64;
        let targets = instance.table.targets(now, sequence);
        let mut digest = PeerDigest {
            sender: address(number),
            boot: 1_700_000_000_000,
            sequence,
            strength: instance.strength,
            reaches_store: is_reaching && instance.table.watches_store(now),
            config_version: instance.version,
            servers_revision: 9,
            era: StoreEra::UNSTATED,
            evacuations: 0,
            fleet: None,
            peers: instance.table.sample(now, sequence),
            granted: 0,
            loads: Vec::new(),
            zone: instance.table.own_zone(),
        };
        let plans = instance.planner.due(now, sequence, &instance.table);
        let route = instance.planner.route(sequence, instance.version, &targets);
        let is_relay = instance.duties.duty(now, interval) == ZoneDuty::Relay;
        let members = match is_relay && instance.duties.announces(sequence, instance.version) {
            true => instance.duties.members(now, interval).to_vec(),
            false => Vec::new(),
        };
        let select = |with_loads: bool| -> Vec<SocketAddr> {
            let selected = route.direct.iter().filter(|(_, gets_loads)| *gets_loads == with_loads);
            selected.map(|(address, _)| *address).collect()
        };
        for plan in plans {
            let relays = plan.relays.clone();
            self.send(number, &relays, &PeerMessage::ZonePlan(plan));
        }
        self.send(number, &select(false), &PeerMessage::Digest(digest.clone()));
        self.send(number, &route.relays, &PeerMessage::ZoneDigest(digest.clone()));
        self.send(number, &members, &PeerMessage::Digest(digest.clone()));
        digest.loads = loads(number);
        self.send(number, &select(true), &PeerMessage::Digest(digest));
    }

    fn check(&mut self, number: u16) {
        let now = self.at();
        let duty = self.duty(number);
        let draw: f64 = self.random.random();
        let instance = &mut self.instances[usize::from(number)];
        let step = instance.fetch.step(now, &instance.table, duty, instance.version, draw);
        let interval = instance.table.digest_interval();
        let is_idle = instance.running.is_none() && self.now >= instance.fetch_after;
        let pause = match step {
            ConfigStep::Wait(wait) => wait.min(interval).max(Duration::from_millis(20)),
            ConfigStep::UpToDate | ConfigStep::Fetch(_) => interval,
        };
        instance.next_check = self.now + pause.as_millis() as u64;
        instance.wake_at = instance.wake_at.filter(|at| *at > self.now);
        if let (ConfigStep::Fetch(peer), true) = (step, is_idle) {
            self.begin_fetch(number, self::number(peer));
        }
    }

    fn begin_fetch(&mut self, number: u16, peer: u16) {
        let is_near = self.zone(number) == self.zone(peer) && self.duty(number) == ZoneDuty::Member;
        let timeout = if is_near { NEAR_TIMEOUT_MS } else { FETCH_TIMEOUT_MS };
        let is_serving = |it: &&TestInstance| it.running.is_some_and(|fetch| fetch.peer == peer);
        let serving = self.instances.iter().filter(is_serving).count();
        let (duration, end) = match self.instances[usize::from(peer)].fault {
            _ if self.is_cut(number, peer) => (timeout, FetchEnd::Failed),
            Some(InstanceFault::Hung) => (timeout, FetchEnd::Failed),
            Some(InstanceFault::Dead) => (STEP_MS, FetchEnd::Failed),
            None if serving >= SERVING_LIMIT => (STEP_MS, FetchEnd::Refused),
            None => (FETCH_MS, FetchEnd::Answered),
        };
        let is_across = self.zone(number) != self.zone(peer);
        self.fetched_across += usize::from(is_across && end == FetchEnd::Answered);
        let version = self.version(peer);
        let fetch = RunningFetch { peer, ends_at: self.now + duration, end, version };
        self.instances[usize::from(number)].running = Some(fetch);
    }

    fn end_fetch(&mut self, number: u16) {
        let draw: f64 = self.random.random();
        let duty = self.duty(number);
        let instance = &mut self.instances[usize::from(number)];
        let Some(fetch) = instance.running.filter(|fetch| fetch.ends_at <= self.now) else {
            return;
        };
        instance.running = None;
        instance.fetch.record_end(address(fetch.peer), fetch.end);
        if fetch.end == FetchEnd::Answered {
            instance.version = instance.version.max(fetch.version);
            instance.next_digest = self.now;
            return;
        }
        let pause = instance.fetch.retry_pause(duty, fetch.end).as_millis() as f64 * (0.5 + draw);
        instance.fetch_after = self.now + pause as u64;
        if duty != ZoneDuty::Unassigned {
            let delay = instance.fetch.start_delay(&instance.table, duty, draw);
            instance.wake_at = Some(instance.fetch_after + delay.as_millis() as u64);
        }
    }
}
