//! Simulation of a fleet and its network in virtual time.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::Arc;

use super::node::{FleetNode, NodeOutput, NodeParams};
use super::platform::{PendingCall, PlatformModel};
use medlarlanding_core::distribution::{DistributionInput, PlatformAnswer, Subject};
use medlarlanding_core::ids::{InstanceId, ServerId, ZoneId};
use medlarlanding_core::membership::MembershipInput;
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};
use medlarlanding_core::wire::{PeerCodec, PeerTransport};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Microseconds of a virtual second.
pub const SECOND: u64 = 1_000_000;
/// Datagrams that a socket buffers while its process is paused.
const SOCKET_BUFFER: usize = 256;
/// Bytes per µs that an instance's network interface sends: 1 Gbit/s.
const BYTES_PER_MICRO: u64 = 125;
/// Time after which an attempt to connect to an unreachable peer fails, µs.
const CONNECT_TIMEOUT: u64 = SECOND;

/// Faults of the network.
#[derive(Clone, Debug, Default)]
pub struct NetworkFaults {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
    /// Fraction of datagrams that arrive up to 200 ms late, hence out of order.
    pub reordering: f64,
    /// Directed links that transmit nothing, as pairs of sender and receiver.
    pub blocked: HashSet<(usize, usize)>,
}

/// Bytes that a node sent and received.
#[derive(Clone, Copy, Debug, Default)]
pub struct NodeTraffic {
    /// Encoded bytes sent.
    pub sent: u64,
    /// Encoded bytes received.
    pub received: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// Stream frames sent.
    pub streams: u64,
}

#[derive(Debug)]
enum Event {
    Wake {
        node: usize,
        process_id: u64,
    },
    Deliver {
        node: usize,
        transport: PeerTransport,
        bytes: Arc<[u8]>,
    },
    DeliveryFailed {
        node: usize,
        process_id: u64,
        peer: usize,
    },
    PlatformTimeout {
        number: u64,
    },
    PlatformAnswer {
        node: usize,
        process_id: u64,
        subject: Subject,
        call: u32,
        answer: PlatformAnswer,
    },
}

/// Version that a process must have in effect once it is current, and the other processes, as
/// pairs of node and process id, from which it can learn that version.
type RequiredVersion = (u64, Vec<(usize, u64)>);

/// Host of one instance.
#[derive(Debug)]
struct Host {
    entry: InstanceEntry,
    /// Running process; `None` after a crash and before the first start.
    process: Option<FleetNode>,
    /// Id of the running process. It increases with every start and crash, so that events for an
    /// earlier process are ignored.
    process_id: u64,
    paused: bool,
    /// Events that arrived during the pause.
    backlog: Vec<Event>,
    wake_at: Option<u64>,
    /// Offset of the host's monotonic clock from the virtual time, µs.
    clock_offset: u64,
    /// Time until which the network interface is busy with earlier stream frames.
    busy_until: u64,
    /// Highest version of each subject that was in effect in any process of the instance.
    highest_versions: HashMap<Subject, u64>,
    /// Version of each subject in the running process.
    versions: HashMap<Subject, u64>,
    /// Versions that were validated in the running process.
    validated: HashSet<u64>,
    /// Time at which the running process last began to query its peers: at its start, or when it
    /// detected a pause.
    query_started: u64,
    /// End of the last pause.
    resumed_at: u64,
    /// Versions required of the running process, determined at `query_started`.
    required_versions: HashMap<Subject, RequiredVersion>,
    marks: HashSet<ServerId>,
}

/// Observations of a simulation.
#[derive(Debug, Default)]
pub struct FleetLog {
    /// Time at which each node put a version into effect.
    pub in_effect: HashMap<(Subject, u64), HashMap<usize, u64>>,
    /// Evictions: time, observer, evicted instance, and whether the evicted instance was running.
    pub evictions: Vec<(u64, usize, usize, bool)>,
    /// Time at which each node learned the leaving mark of a server.
    pub marks: HashMap<ServerId, HashMap<usize, u64>>,
    /// Time at which each node that is current became so.
    pub current: HashMap<usize, u64>,
    /// Number of pauses that nodes detected.
    pub pauses: usize,
    /// Violations of invariants.
    pub violations: Vec<String>,
    /// Number of handled events.
    pub events: u64,
}

/// Simulated fleet with its network and platform. Instances are identified by their index, called
/// `node`.
pub struct FleetSim {
    /// Virtual time, µs.
    pub now: u64,
    /// The platform.
    pub platform: PlatformModel,
    /// Observations.
    pub log: FleetLog,
    /// Traffic by node since the last reset.
    pub traffic: Vec<NodeTraffic>,
    faults: NetworkFaults,
    /// Time at which the set of blocked links last changed.
    links_changed: u64,
    params: NodeParams,
    hosts: Vec<Host>,
    index: HashMap<InstanceId, usize>,
    regions: usize,
    /// Number of instances that are seeds and in the instance list.
    listed: usize,
    codec: PeerCodec,
    rng: SmallRng,
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    events: HashMap<u64, Event>,
    last_event: u64,
}

impl FleetSim {
    /// Creates `count` instances that are not started, and a platform that lists them.
    pub fn new(count: usize, params: NodeParams, seed: u64, text: Arc<str>) -> Self {
        // Today's deployments have 3 zones; the fleet expected in two years has 12 zones in 3
        // regions.
        let (zones, regions) = if count > 50 { (12, 3) } else { (3, 1) };
        let mut rng = SmallRng::seed_from_u64(seed);
        let entries: Vec<_> = (0..count)
            .map(|number| {
                let name = format!("entry-{number}");
                let address =
                    IpAddr::V4(Ipv4Addr::new(10, 1, (number / 250) as u8, (number % 250) as u8));
                InstanceEntry {
                    id: InstanceId::from_name(&name),
                    name,
                    zone: ZoneId::from_name(&format!("zone-{}", number % zones)),
                    state: InstanceState::Live,
                    udp: SocketAddr::new(address, 7000),
                    tcp: SocketAddr::new(address, 7001),
                }
            })
            .collect();
        let list = InstanceList { version: ListVersion(1), entries: entries.clone() };
        let index = entries.iter().enumerate().map(|(node, entry)| (entry.id, node)).collect();
        let hosts = entries
            .into_iter()
            .map(|entry| Host {
                entry,
                process: None,
                process_id: 0,
                paused: false,
                backlog: Vec::new(),
                wake_at: None,
                // The monotonic clocks of different hosts differ by up to a day.
                clock_offset: 3_600 * SECOND + rng.random_range(0..86_400 * SECOND),
                busy_until: 0,
                highest_versions: HashMap::new(),
                versions: HashMap::new(),
                validated: HashSet::new(),
                query_started: 0,
                resumed_at: 0,
                required_versions: HashMap::new(),
                marks: HashSet::new(),
            })
            .collect();
        Self {
            now: 0,
            platform: PlatformModel::new((1, text), Arc::new(list)),
            log: FleetLog::default(),
            traffic: vec![NodeTraffic::default(); count],
            faults: NetworkFaults::default(),
            links_changed: 0,
            params,
            hosts,
            index,
            regions,
            listed: count,
            codec: PeerCodec::new("fleet trials"),
            rng,
            queue: BinaryHeap::new(),
            events: HashMap::new(),
            last_event: 0,
        }
    }

    /// Removes all but the first `count` instances from the seeds and the instance list.
    pub fn limit_listed(&mut self, count: usize) {
        self.listed = count;
        let mut list = InstanceList::clone(&self.platform.list);
        list.entries.truncate(count);
        self.platform.list = Arc::new(list);
    }

    /// Returns the number of instances.
    pub fn len(&self) -> usize {
        self.hosts.len()
    }

    /// Returns whether there are no instances.
    pub fn is_empty(&self) -> bool {
        self.hosts.is_empty()
    }

    /// Gets the running process of an instance.
    pub fn process(&self, node: usize) -> Option<&FleetNode> {
        self.hosts[node].process.as_ref()
    }

    /// Returns the id of an instance.
    pub fn id(&self, node: usize) -> InstanceId {
        self.hosts[node].entry.id
    }

    /// Returns whether an instance runs and is not paused.
    pub fn is_running(&self, node: usize) -> bool {
        self.hosts[node].process.is_some() && !self.hosts[node].paused
    }

    /// Returns the nodes that run and are not paused.
    pub fn running(&self) -> Vec<usize> {
        (0..self.len()).filter(|&node| self.is_running(node)).collect()
    }

    /// Changes the loss, duplication and reordering of datagrams.
    pub fn set_faults(&mut self, loss: f64, duplication: f64, reordering: f64) {
        self.faults.loss = loss;
        self.faults.duplication = duplication;
        self.faults.reordering = reordering;
    }

    /// Blocks a directed link.
    pub fn block(&mut self, from: usize, to: usize) {
        self.faults.blocked.insert((from, to));
        self.links_changed = self.now;
    }

    /// Partitions the network: blocks all links between nodes for which `side` differs.
    pub fn partition(&mut self, side: impl Fn(usize) -> bool) {
        for from in 0..self.len() {
            for to in 0..self.len() {
                if side(from) != side(to) {
                    self.faults.blocked.insert((from, to));
                }
            }
        }
        self.links_changed = self.now;
    }

    /// Unblocks all links.
    pub fn unblock_all(&mut self) {
        self.faults.blocked.clear();
        self.links_changed = self.now;
    }

    /// Starts a process whose wall clock is off by `skew_ms`.
    pub fn start(&mut self, node: usize, skew_ms: i64) {
        let started =
            1_800_000_000_000u64.saturating_add(self.now / 1000).saturating_add_signed(skew_ms);
        let listed = self.hosts.iter().take(self.listed);
        let seeds: Vec<_> = listed.map(|host| host.entry.clone()).collect();
        let required_versions = self.required_versions(node);
        let seed = self.rng.random();
        let host = &mut self.hosts[node];
        host.process_id += 1;
        host.paused = false;
        host.backlog.clear();
        host.versions.clear();
        host.validated.clear();
        host.marks.clear();
        host.wake_at = None;
        host.query_started = self.now;
        host.resumed_at = self.now;
        host.required_versions = required_versions;
        host.process =
            Some(FleetNode::new(self.params.clone(), started, &host.entry, &seeds, seed));
        self.log.current.remove(&node);
        self.run_node(node, |process, now, codec, outputs| process.tick(now, codec, outputs));
    }

    /// Returns the version of each subject that a node must have in effect once it is current.
    fn required_versions(&self, node: usize) -> HashMap<Subject, RequiredVersion> {
        let subjects = Subject::ALL.into_iter();
        subjects.map(|subject| (subject, self.required_version(node, subject))).collect()
    }

    /// Returns the highest version that was in effect at a node before, but at most the highest
    /// that is in effect now at another running node to which both directed links work. Also
    /// returns the processes that have this version or a higher one.
    fn required_version(&self, node: usize, subject: Subject) -> RequiredVersion {
        let before = self.hosts[node].highest_versions.get(&subject).copied().unwrap_or(0);
        let connected: Vec<_> = (0..self.len())
            .filter(|&other| {
                other != node
                    && self.is_running(other)
                    && !self.faults.blocked.contains(&(node, other))
                    && !self.faults.blocked.contains(&(other, node))
            })
            .collect();
        let elsewhere = connected.iter().map(|&other| self.version(other, subject)).max();
        let required = before.min(elsewhere.unwrap_or(0));
        let holders = connected
            .into_iter()
            .filter(|&other| self.version(other, subject) >= required)
            .map(|other| (other, self.hosts[other].process_id))
            .collect();
        (required, holders)
    }

    /// Ends a process without an announcement to its peers.
    pub fn crash(&mut self, node: usize) {
        let host = &mut self.hosts[node];
        host.process = None;
        host.process_id += 1;
        host.paused = false;
        host.backlog.clear();
        self.platform.pending.retain(|call| call.node != node);
    }

    /// Pauses a process and buffers its incoming messages.
    pub fn pause(&mut self, node: usize) {
        self.hosts[node].paused = true;
    }

    /// Resumes a paused process. Its overdue timers run at a random position among the buffered
    /// messages.
    pub fn resume(&mut self, node: usize) {
        let now = self.now;
        let host = &mut self.hosts[node];
        host.paused = false;
        host.resumed_at = now;
        let mut backlog = std::mem::take(&mut host.backlog);
        host.wake_at = None;
        let process_id = host.process_id;
        let position = self.rng.random_range(0..=backlog.len());
        backlog.insert(position, Event::Wake { node, process_id });
        for event in backlog {
            self.push(now, event);
        }
    }

    /// Publishes a configuration text under a revision, which may be lower than the current one.
    pub fn publish(&mut self, revision: u64, text: Arc<str>) {
        self.platform.readers.clear();
        self.platform.config = (revision, text);
        self.answer_pending();
    }

    /// Publishes an instance list.
    pub fn publish_list(&mut self, list: InstanceList) {
        self.platform.record_published(self.now);
        self.platform.list = Arc::new(list);
        self.answer_pending();
    }

    /// Takes the platform down or up again. Pending calls fail when it goes down.
    pub fn set_platform_down(&mut self, down: bool) {
        self.platform.record_published(self.now);
        self.platform.down = down;
        if down {
            self.fail_pending();
        }
    }

    /// Makes the platform reachable only by some nodes, or by all if `None`. Pending calls of other
    /// nodes fail.
    pub fn limit_platform(&mut self, nodes: Option<HashSet<usize>>) {
        self.platform.reachable_by = nodes;
        self.fail_pending();
    }

    /// Sets or removes the leaving mark of a backend server at one node.
    pub fn mark_server(&mut self, node: usize, server: ServerId, leaving: bool) {
        self.handle_membership(node, MembershipInput::MarkServer { server, leaving });
    }

    /// Passes an input to the membership table of a node.
    pub fn handle_membership(&mut self, node: usize, input: MembershipInput) {
        self.run_node(node, |process, now, codec, outputs| {
            process.handle_membership(now, input, codec, outputs);
        });
    }

    /// Runs until the given virtual time.
    pub fn run_until(&mut self, until: u64) {
        while let Some(&Reverse((at, number))) = self.queue.peek()
            && at <= until
        {
            self.queue.pop();
            self.now = at;
            if let Some(event) = self.events.remove(&number) {
                self.log.events += 1;
                self.dispatch(event);
            }
        }
        self.now = until;
    }

    /// Runs until `condition` holds, checked every virtual millisecond, or the time limit is
    /// reached. Returns the time at which the condition held.
    pub fn wait_until(
        &mut self,
        limit: u64,
        mut condition: impl FnMut(&Self) -> bool,
    ) -> Option<u64> {
        while self.now < limit {
            if condition(self) {
                return Some(self.now);
            }
            self.run_until((self.now + 1000).min(limit));
        }
        condition(self).then_some(self.now)
    }

    /// Sets the traffic counters to zero.
    pub fn reset_traffic(&mut self) {
        self.traffic.fill(NodeTraffic::default());
    }

    /// Returns, for each running node, the time in s since the instance list in effect is known to
    /// have been published; infinite if unknown.
    pub fn list_ages(&self) -> Vec<f64> {
        let hosts = self.hosts.iter().filter(|host| !host.paused);
        let ages = hosts.filter_map(|host| {
            let now = Timestamp(self.now + host.clock_offset);
            let age = host.process.as_ref()?.distributor.list_age(now);
            Some(age.map_or(f64::INFINITY, |age| age.as_secs_f64()))
        });
        ages.collect()
    }

    /// Returns whether exactly this version of a subject is in effect at every running node.
    pub fn all_in_effect(&self, subject: Subject, version: u64) -> bool {
        self.running().into_iter().all(|node| self.version(node, subject) == version)
    }

    /// Returns the version of a subject in effect at a node, 0 for none.
    pub fn version(&self, node: usize, subject: Subject) -> u64 {
        self.hosts[node].versions.get(&subject).copied().unwrap_or(0)
    }

    /// Returns the running nodes whose membership tables hold `node` as dead or not at all.
    pub fn nodes_without(&self, node: usize) -> impl Iterator<Item = usize> {
        let id = self.id(node);
        self.running().into_iter().filter(move |&other| {
            let record = self.process(other).and_then(|process| process.table.record(id));
            record.is_none_or(|record| !record.is_present())
        })
    }

    /// Returns whether every running node considers exactly the other running nodes live.
    pub fn views_agree(&self) -> bool {
        let running = self.running();
        running.iter().all(|&node| {
            let Some(process) = self.process(node) else { return false };
            let live: HashSet<_> = process.table.live().map(|live| live.identity.id).collect();
            live.len() == running.len() - 1
                && running.iter().all(|&other| other == node || live.contains(&self.id(other)))
        })
    }

    fn push(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.queue.push(Reverse((at, self.last_event)));
        self.events.insert(self.last_event, event);
    }

    fn dispatch(&mut self, event: Event) {
        match event {
            Event::Wake { node, process_id } => {
                let host = &mut self.hosts[node];
                if host.process_id != process_id || host.paused {
                    return;
                }
                host.wake_at = None;
                self.run_node(node, |process, now, codec, outputs| {
                    process.tick(now, codec, outputs)
                });
            },
            Event::Deliver { node, transport, bytes } => {
                let host = &mut self.hosts[node];
                if host.paused {
                    let full = host.backlog.len() >= SOCKET_BUFFER;
                    if !full || transport == PeerTransport::Stream {
                        host.backlog.push(Event::Deliver { node, transport, bytes });
                    }
                    return;
                }
                if host.process.is_none() {
                    return;
                }
                self.traffic[node].received += bytes.len() as u64;
                self.run_node(node, |process, now, codec, outputs| {
                    process.receive(now, &bytes, transport, codec, outputs);
                });
            },
            Event::DeliveryFailed { node, process_id, peer } => {
                let host = &mut self.hosts[node];
                if host.process_id != process_id {
                    return;
                }
                if host.paused {
                    host.backlog.push(Event::DeliveryFailed { node, process_id, peer });
                    return;
                }
                let peer = self.hosts[peer].entry.id;
                self.run_node(node, |process, now, codec, outputs| {
                    process.tick(now, codec, outputs);
                    let input = DistributionInput::DeliveryFailed { peer };
                    process.handle_distribution(now, input, codec, outputs);
                });
            },
            Event::PlatformTimeout { number } => {
                let position = self.platform.pending.iter().position(|call| call.number == number);
                if let Some(position) = position {
                    let call = self.platform.pending.swap_remove(position);
                    self.answer_call(&call);
                }
            },
            Event::PlatformAnswer { node, process_id, subject, call, answer } => {
                let host = &mut self.hosts[node];
                if host.process_id != process_id {
                    return;
                }
                if host.paused {
                    let event = Event::PlatformAnswer { node, process_id, subject, call, answer };
                    host.backlog.push(event);
                    return;
                }
                if let PlatformAnswer::Config { revision, .. } = &answer
                    && *revision == self.platform.config.0
                {
                    self.platform.readers.insert(node);
                }
                self.run_node(node, |process, now, codec, outputs| {
                    process.handle_platform_answer(now, (subject, call), answer, codec, outputs);
                });
            },
        }
    }

    fn run_node(
        &mut self,
        node: usize,
        action: impl FnOnce(&mut FleetNode, Timestamp, &PeerCodec, &mut Vec<NodeOutput>),
    ) {
        let host = &mut self.hosts[node];
        let Some(process) = &mut host.process else {
            return;
        };
        let mut outputs = Vec::new();
        let now = Timestamp(self.now + host.clock_offset);
        action(process, now, &self.codec, &mut outputs);
        for output in outputs {
            self.apply_output(node, output);
        }
        self.check_list_age(node);
        let host = &mut self.hosts[node];
        let next = host.process.as_ref().and_then(FleetNode::next_wakeup);
        if let Some(next) = next {
            let at = next.0.saturating_sub(host.clock_offset).max(self.now + 1);
            if host.wake_at.is_none_or(|wake_at| at < wake_at) {
                host.wake_at = Some(at);
                let process_id = host.process_id;
                self.push(at, Event::Wake { node, process_id });
            }
        }
    }

    fn apply_output(&mut self, node: usize, output: NodeOutput) {
        match output {
            NodeOutput::Send { to, transport, bytes } => {
                if let Some(&to) = self.index.get(&to) {
                    self.transmit(node, to, transport, bytes);
                }
            },
            NodeOutput::Watch { subject, call, after, wait } => {
                self.call_platform(node, (subject, call), after, wait);
            },
            NodeOutput::CancelWatch(subject) => {
                self.platform.pending.retain(|call| call.node != node || call.subject != subject);
            },
            NodeOutput::InEffect(subject, version) => self.record_version(node, subject, version),
            NodeOutput::Validated(version, _) => {
                if !self.hosts[node].validated.insert(version) {
                    self.record_violation(format!("node {node} validated version {version} twice"));
                }
            },
            NodeOutput::CurrentChanged(true) => {
                self.log.current.insert(node, self.now);
                self.check_required_versions(node);
            },
            NodeOutput::CurrentChanged(false) => {
                self.log.current.remove(&node);
            },
            NodeOutput::Evicted(id) => {
                if let Some(&evicted) = self.index.get(&id) {
                    let running = self.is_running(evicted);
                    self.log.evictions.push((self.now, node, evicted, running));
                }
            },
            NodeOutput::ServerMarked(server, leaving) => {
                let now = self.now;
                if leaving {
                    self.hosts[node].marks.insert(server);
                    self.log.marks.entry(server).or_default().entry(node).or_insert(now);
                } else {
                    self.hosts[node].marks.remove(&server);
                }
            },
            NodeOutput::PauseDetected => {
                self.log.pauses += 1;
                // The process queries its peers again, and links may have changed since it started.
                self.hosts[node].required_versions = self.required_versions(node);
                self.hosts[node].query_started = self.now;
            },
            NodeOutput::TimerStillDue => {
                self.record_violation(format!(
                    "node {node} has a timer that is still due after it ran"
                ));
            },
        }
    }

    fn record_version(&mut self, node: usize, subject: Subject, version: u64) {
        let host = &mut self.hosts[node];
        let before = host.versions.insert(subject, version).unwrap_or(0);
        let highest = host.highest_versions.entry(subject).or_default();
        *highest = version.max(*highest);
        let now = self.now;
        let times = self.log.in_effect.entry((subject, version)).or_default();
        times.entry(node).or_insert(now);
        if version <= before {
            self.record_violation(format!(
                "node {node} went from {} version {before} to {version}",
                subject.as_str()
            ));
        }
    }

    /// Checks that a process that became current has the required versions in effect.
    ///
    /// The check is skipped if links have changed since the process began to query its peers, or if
    /// every process that had the version then has crashed or was paused since.
    fn check_required_versions(&mut self, node: usize) {
        if self.links_changed > self.hosts[node].query_started {
            return;
        }
        for subject in Subject::ALL {
            let Some((required, holders)) = self.hosts[node].required_versions.get(&subject) else {
                continue;
            };
            let required = *required;
            let is_available = holders.iter().any(|&(other, process_id)| {
                let host = &self.hosts[other];
                host.process_id == process_id
                    && !host.paused
                    && host.resumed_at <= self.hosts[node].query_started
            });
            let version = self.version(node, subject);
            if is_available && version < required {
                self.record_violation(format!(
                    "node {node} restarted from {} version {required}, but became current with \
                     version {version}",
                    subject.as_str()
                ));
            }
        }
    }

    /// Checks that a node does not assume the list to have been published later than it was.
    fn check_list_age(&mut self, node: usize) {
        let host = &self.hosts[node];
        let Some(process) = &host.process else {
            return;
        };
        let versions = process.distributor.versions();
        let Some(confirmed) = versions.list_confirmed else {
            return;
        };
        let confirmed = confirmed.0.saturating_sub(host.clock_offset);
        let published = self.platform.last_published(versions.list, self.now);
        if published.is_none_or(|published| confirmed > published) {
            self.record_violation(format!(
                "node {node} holds list version {} as confirmed at {confirmed} µs, but it was last \
                 published at {published:?} µs",
                versions.list
            ));
        }
    }

    /// Records the violation of an invariant.
    fn record_violation(&mut self, text: String) {
        let now = self.now;
        self.log.violations.push(format!("{now} µs: {text}"));
    }

    /// Draws the one-way delay between two nodes in µs, by whether they share a zone or a region.
    fn delay(&mut self, from: usize, to: usize) -> u64 {
        let zones = if self.regions > 1 { 12 } else { 3 };
        let (from, to) = (from % zones, to % zones);
        let base = if from == to {
            300
        } else if from % self.regions == to % self.regions {
            1_000
        } else {
            30_000
        };
        base + self.rng.random_range(0..=base / 2)
    }

    fn transmit(&mut self, from: usize, to: usize, transport: PeerTransport, bytes: Vec<u8>) {
        let len = bytes.len() as u64;
        let traffic = &mut self.traffic[from];
        traffic.sent += len;
        let blocked = self.faults.blocked.contains(&(from, to));
        let process_id = self.hosts[from].process_id;
        let bytes: Arc<[u8]> = bytes.into();
        match transport {
            PeerTransport::Datagram => {
                traffic.datagrams += 1;
                if blocked || self.rng.random_bool(self.faults.loss) {
                    return;
                }
                let copies = 1 + u32::from(self.rng.random_bool(self.faults.duplication));
                for _ in 0..copies {
                    let mut delay = self.delay(from, to);
                    if self.rng.random_bool(self.faults.reordering) {
                        delay += self.rng.random_range(0..200_000);
                    }
                    let bytes = Arc::clone(&bytes);
                    self.push(self.now + delay, Event::Deliver { node: to, transport, bytes });
                }
            },
            PeerTransport::Stream => {
                traffic.streams += 1;
                let reverse_blocked = self.faults.blocked.contains(&(to, from));
                if blocked || reverse_blocked {
                    let event = Event::DeliveryFailed { node: from, process_id, peer: to };
                    self.push(self.now + CONNECT_TIMEOUT, event);
                    return;
                }
                let mut delay = self.delay(from, to);
                // Establishing the connection takes one round trip.
                delay += 2 * delay;
                while self.rng.random_bool(self.faults.loss) {
                    // Minimum retransmission timeout of common TCP implementations.
                    delay += 200_000;
                }
                if self.hosts[to].process.is_none() {
                    let event = Event::DeliveryFailed { node: from, process_id, peer: to };
                    self.push(self.now + delay, event);
                    return;
                }
                let host = &mut self.hosts[from];
                host.busy_until = host.busy_until.max(self.now) + len / BYTES_PER_MICRO;
                let at = host.busy_until + delay;
                self.push(at, Event::Deliver { node: to, transport, bytes });
            },
        }
    }

    fn call_platform(
        &mut self,
        node: usize,
        (subject, call): (Subject, u32),
        after: u64,
        wait: u64,
    ) {
        let now = self.now;
        let process_id = self.hosts[node].process_id;
        let within_limit = self.platform.admit(now);
        if !within_limit || !self.platform.is_available_to(node) {
            let reason = if within_limit { "connection refused" } else { "rate limit" };
            let answer = PlatformAnswer::Unreachable { reason: reason.to_owned() };
            let event = Event::PlatformAnswer { node, process_id, subject, call, answer };
            self.push(now + 2_000, event);
            return;
        }
        let number = self.platform.next_call_number();
        let expires_at = now + wait;
        let call = PendingCall { node, process_id, subject, call, after, expires_at, number };
        if self.platform.revision(subject) > after || after == 0 {
            self.answer_call(&call);
        } else {
            self.platform.pending.push(call);
            self.push(expires_at, Event::PlatformTimeout { number });
        }
    }

    fn answer_call(&mut self, call: &PendingCall) {
        let delay = self.rng.random_range(1_000..5_000);
        let PendingCall { node, process_id, subject, call, .. } = *call;
        let answer = self.platform.value(subject);
        self.push(
            self.now + delay,
            Event::PlatformAnswer { node, process_id, subject, call, answer },
        );
    }

    fn answer_pending(&mut self) {
        let pending = std::mem::take(&mut self.platform.pending);
        for call in pending {
            if self.platform.revision(call.subject) > call.after {
                self.answer_call(&call);
            } else {
                self.platform.pending.push(call);
            }
        }
    }

    fn fail_pending(&mut self) {
        let pending = std::mem::take(&mut self.platform.pending);
        for call in pending {
            if self.platform.is_available_to(call.node) {
                self.platform.pending.push(call);
                continue;
            }
            let PendingCall { node, process_id, subject, call, .. } = call;
            let answer = PlatformAnswer::Unreachable { reason: "connection reset".to_owned() };
            let event = Event::PlatformAnswer { node, process_id, subject, call, answer };
            self.push(self.now + 1_000, event);
        }
    }
}
