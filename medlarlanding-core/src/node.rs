//! Connects the subsystems of one instance.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::admission::{
    AdmissionController, AdmissionDump, AdmissionEffect, AdmissionInput, AdmissionParams,
    ServerCapacity,
};
use crate::commands::{
    CommandDump, CommandEffect, CommandInput, CommandParams, EngineController, EngineTarget,
};
use crate::distribution::{
    ConfigDistributor, DistributionDump, DistributionEffect, DistributionInput, DistributionParams,
    PlatformAnswer, Subject,
};
use crate::events::EventKind;
use crate::handles::HandleSigner;
use crate::ids::{Incarnation, InstanceId, InstanceIdentity, ServerId};
use crate::membership::{
    MembershipDump, MembershipEffect, MembershipInput, MembershipParams, MembershipTable,
};
use crate::orders::{OrderCoordinator, OrderDump, OrderEffect, OrderInput, OrderParams};
use crate::time::Timestamp;
use crate::views::InstanceEntry;
use crate::wire::{PeerFrame, PeerMessage, PeerTransport};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Age of a list whose confirmation is not known; above any limit on the age.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// Parameters of all subsystems.
#[derive(Clone, Debug, Default)]
pub struct NodeParams {
    /// Failure detection and dissemination.
    pub membership: MembershipParams,
    /// Configuration and instance list.
    pub distribution: DistributionParams,
    /// At-most-once orders.
    pub orders: OrderParams,
    /// Admission and routing.
    pub admission: AdmissionParams,
    /// Commands to engines.
    pub commands: CommandParams,
}

/// Inputs of an [`EntryNode`].
#[derive(Clone, Debug)]
pub enum NodeInput {
    /// A frame with a valid tag arrived.
    Frame(Box<PeerFrame>),
    /// Result of a call that `NodeEffect::Watch` started.
    Platform {
        /// What was read.
        subject: Subject,
        /// Number of the call.
        call: u32,
        /// The result.
        answer: PlatformAnswer,
    },
    /// Result of `NodeEffect::Validate`. If accepted, the version is in effect.
    Verdict {
        /// The version.
        version: u64,
        /// Whether it is in effect.
        accepted: bool,
    },
    /// A frame could not be delivered over a connection.
    Unreached(InstanceId),
    /// Model engines of the configuration in effect.
    Engines {
        /// Configuration version.
        version: u64,
        /// Capacities, for admission.
        capacities: Vec<ServerCapacity>,
        /// Target states.
        targets: Vec<EngineTarget>,
    },
    /// Input for commands to engines.
    Command(CommandInput),
    /// A backend server was seen to leave, or to be back.
    MarkServer {
        /// The backend server.
        server: ServerId,
        /// Whether it is leaving.
        leaving: bool,
    },
    /// Input for admission.
    Admission(AdmissionInput),
    /// Input for orders.
    Order(OrderInput),
    /// The process takes no new work.
    Leave,
    /// The process ends now.
    Depart,
    /// The time of [`EntryNode::next_wakeup`] has come.
    Tick,
}

/// Effects that the runtime performs.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Send a frame to `address`.
    Send {
        /// Address for the transport.
        address: SocketAddr,
        /// The transport.
        transport: PeerTransport,
        /// The frame.
        frame: Box<PeerFrame>,
    },
    /// Start a call on the platform; at most one per subject is pending.
    Watch {
        /// What to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// Wait for a revision above this one; 0 returns at once.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    StopWatch(Subject),
    /// Validate a configuration text and put it into effect if it is valid.
    Validate {
        /// The version.
        version: u64,
        /// The text.
        text: Arc<str>,
    },
    /// Effect of admission, never `Send`.
    Admission(AdmissionEffect),
    /// Send a command to an engine.
    Command(CommandEffect),
    /// Effect of orders, never `Send`.
    Order(OrderEffect),
    /// Write a log event with the fields of its descriptor.
    Event {
        /// The event.
        kind: EventKind,
        /// Values of the fields.
        fields: Vec<String>,
    },
}

/// Reason for which a frame is not handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRejection {
    /// The frame is for another instance.
    OtherInstance,
    /// The frame is for an earlier process of this instance.
    OtherProcess,
    /// A later process of the sender is known.
    ReplacedSender,
}

impl FrameRejection {
    /// Gets the name used in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherInstance => "other_instance",
            Self::OtherProcess => "other_process",
            Self::ReplacedSender => "replaced_sender",
        }
    }
}

/// State of an [`EntryNode`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct NodeDump {
    /// Failure detection.
    pub membership: MembershipDump,
    /// Configuration and instance list.
    pub distribution: DistributionDump,
    /// At-most-once orders.
    pub orders: OrderDump,
    /// Admission and routing.
    pub admission: AdmissionDump,
    /// Commands to engines.
    pub commands: CommandDump,
}

/// State machine of one instance.
pub struct EntryNode {
    own: InstanceEntry,
    identity: InstanceIdentity,
    membership: MembershipTable,
    distributor: ConfigDistributor,
    orders: OrderCoordinator,
    admission: AdmissionController,
    engine_controller: EngineController,
    capacities: Vec<ServerCapacity>,
    /// Set by `Depart`: the node is silent from then on, because a probe that it answered
    /// would tell its peers that it is alive after all.
    departed: bool,
    /// Whether orders wait for fresh views: at the start and after a pause, until peers were
    /// asked for the instance list.
    stale_views: bool,
}

impl EntryNode {
    /// Creates the node of a process that started at `started`, in ms of its wall clock.
    pub fn new(
        params: NodeParams,
        own: InstanceEntry,
        seeds: &[InstanceEntry],
        started: u64,
        signer: HandleSigner,
        seed: u64,
    ) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let identity = InstanceIdentity { id: own.id, incarnation: Incarnation::new(started) };
        let membership = MembershipTable::new(
            params.membership,
            started,
            &own,
            seeds,
            SmallRng::seed_from_u64(rng.random()),
        );
        let distributor = ConfigDistributor::new(
            params.distribution,
            identity,
            SmallRng::seed_from_u64(rng.random()),
        );
        let orders = OrderCoordinator::new(params.orders, identity, signer, rng.random());
        let admission = AdmissionController::new(params.admission, identity, rng.random());
        let engine_controller = EngineController::new(params.commands, own.id);
        Self {
            own,
            identity,
            membership,
            distributor,
            orders,
            admission,
            engine_controller,
            capacities: Vec::new(),
            departed: false,
            stale_views: true,
        }
    }

    /// Starts the subsystems. Must be the first call.
    pub fn start(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        self.refresh_peers(now, effects);
        self.distribute(now, DistributionInput::Tick, effects);
        self.detect(now, MembershipInput::Tick, effects);
        self.admit(now, AdmissionInput::Tick, effects);
    }

    /// Processes an input and appends the effects that the runtime performs.
    ///
    /// # Errors
    ///
    /// Returns why a frame was dropped; other inputs are never rejected.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: NodeInput,
        effects: &mut Vec<NodeEffect>,
    ) -> Result<(), FrameRejection> {
        if self.departed {
            return Ok(());
        }
        // A process that was paused must notice it before it acts on any other input. Failure
        // detection wakes at least once a second, so a pause shows in its timer alone; asking
        // every subsystem here would cost more than the input itself.
        if self.membership.next_wakeup().is_some_and(|at| at <= now) {
            self.tick(now, effects);
        }
        match input {
            NodeInput::Frame(frame) => self.receive(now, *frame, effects)?,
            NodeInput::Platform { subject, call, answer } => {
                let input = DistributionInput::Platform { subject, call, answer };
                self.distribute(now, input, effects);
            },
            NodeInput::Verdict { version, accepted } => {
                self.distribute(now, DistributionInput::Verdict { version, accepted }, effects);
            },
            NodeInput::Unreached(peer) => {
                self.distribute(now, DistributionInput::Unreached { peer }, effects);
            },
            NodeInput::Engines { version, capacities, targets } => {
                self.capacities = capacities;
                self.refresh_engines(now, effects);
                let input = CommandInput::Targets { version, engines: targets };
                self.command(now, input, effects);
            },
            NodeInput::Command(input) => self.command(now, input, effects),
            NodeInput::MarkServer { server, leaving } => {
                self.detect(now, MembershipInput::MarkServer { server, leaving }, effects);
            },
            NodeInput::Admission(input) => self.admit(now, input, effects),
            NodeInput::Order(input) => self.order(now, input, effects),
            NodeInput::Leave => {
                self.detect(now, MembershipInput::Leave, effects);
                self.order(now, OrderInput::Drain, effects);
            },
            NodeInput::Depart => {
                self.detect(now, MembershipInput::Depart, effects);
                self.departed = true;
            },
            NodeInput::Tick => self.tick(now, effects),
        }
        Ok(())
    }

    /// Returns when to call `handle` with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        if self.departed {
            return None;
        }
        [
            self.membership.next_wakeup(),
            self.distributor.next_wakeup(),
            self.orders.next_wakeup(),
            self.admission.next_wakeup(),
            self.engine_controller.next_wakeup(),
        ]
        .into_iter()
        .fold(None, Timestamp::earliest)
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Timestamp) -> NodeDump {
        NodeDump {
            membership: self.membership.dump(),
            distribution: self.distributor.dump(now),
            orders: self.orders.dump(),
            admission: self.admission.dump(),
            commands: self.engine_controller.dump(),
        }
    }

    /// Returns whether a configuration is in effect and peers were asked for a newer one.
    pub fn is_ready(&self) -> bool {
        self.distributor.is_ready() && self.distributor.is_current()
    }

    /// Returns the number of live instances, including this one.
    pub fn live_count(&self) -> usize {
        1 + self.membership.live().count()
    }

    /// Returns the version of the instance list in effect, 0 for none.
    pub fn list_version(&self) -> u64 {
        self.distributor.list().map_or(0, |list| list.version.0)
    }

    /// Returns whether a backend server is marked as leaving.
    pub fn is_server_leaving(&self, server: ServerId) -> bool {
        self.membership.is_server_leaving(server)
    }

    /// Returns the number of orders and queries that a drain must wait for.
    pub fn open_orders(&self) -> usize {
        self.orders.open_work()
    }

    fn receive(
        &mut self,
        now: Timestamp,
        frame: PeerFrame,
        effects: &mut Vec<NodeEffect>,
    ) -> Result<(), FrameRejection> {
        if frame.to != self.own.id {
            return Err(FrameRejection::OtherInstance);
        }
        if frame.to_started.is_some_and(|started| started != self.identity.incarnation.started) {
            return Err(FrameRejection::OtherProcess);
        }
        let from = frame.from;
        if !matches!(frame.message, PeerMessage::Membership(_)) {
            self.detect(now, MembershipInput::FrameReceived(from), effects);
            if self.membership.is_replaced(from) {
                return Err(FrameRejection::ReplacedSender);
            }
        }
        match frame.message {
            PeerMessage::Membership(message) => {
                self.detect(now, MembershipInput::Message { from, message }, effects);
            },
            PeerMessage::Distribution(message) => {
                let from = from.id;
                self.distribute(now, DistributionInput::Message { from, message }, effects);
            },
            PeerMessage::Order(message) => {
                self.order(now, OrderInput::Message { from, message }, effects);
            },
            PeerMessage::Admission(message) => {
                self.admit(now, AdmissionInput::Message { from, message }, effects);
            },
        }
        Ok(())
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let due = |wakeup: Option<Timestamp>| wakeup.is_some_and(|at| at <= now);
        // Membership first: it notices that the process was paused, before any other
        // subsystem acts on what was true before the pause.
        if due(self.membership.next_wakeup()) {
            self.detect(now, MembershipInput::Tick, effects);
        }
        if due(self.distributor.next_wakeup()) {
            self.distribute(now, DistributionInput::Tick, effects);
        }
        if due(self.orders.next_wakeup()) {
            self.order(now, OrderInput::Tick, effects);
        }
        if due(self.admission.next_wakeup()) {
            self.admit(now, AdmissionInput::Tick, effects);
        }
        if due(self.engine_controller.next_wakeup()) {
            self.command(now, CommandInput::Tick, effects);
        }
    }

    fn detect(&mut self, now: Timestamp, input: MembershipInput, effects: &mut Vec<NodeEffect>) {
        let mut results = Vec::new();
        self.membership.handle(now, input, &mut results);
        for result in results {
            match result {
                MembershipEffect::Send { to, transport, message } => {
                    self.send(to, None, transport, PeerMessage::Membership(message), effects);
                },
                MembershipEffect::IdentityChanged(identity) => {
                    self.identity = identity;
                    self.distributor.set_identity(identity);
                },
                MembershipEffect::LiveChanged => self.refresh_peers(now, effects),
                MembershipEffect::ServerMarked(_) => {
                    self.refresh_engines(now, effects);
                },
                MembershipEffect::PeerVersions { from, versions, probe_sent: asked } => {
                    let input = DistributionInput::PeerVersions { from, versions, asked };
                    self.distribute(now, input, effects);
                },
                MembershipEffect::Paused(_) => {
                    self.stale_views = true;
                    self.command(now, CommandInput::Stale(true), effects);
                    self.order(now, OrderInput::Paused, effects);
                    self.distribute(now, DistributionInput::Woke, effects);
                },
                MembershipEffect::Event { kind, fields } => {
                    effects.push(NodeEffect::Event { kind, fields });
                },
            }
        }
    }

    fn distribute(
        &mut self,
        now: Timestamp,
        input: DistributionInput,
        effects: &mut Vec<NodeEffect>,
    ) {
        let mut results = Vec::new();
        self.distributor.handle(now, input, &mut results);
        for result in results {
            match result {
                DistributionEffect::Send { to, transport, message } => {
                    self.send(to, None, transport, PeerMessage::Distribution(message), effects);
                },
                DistributionEffect::Watch { subject, call, after, wait } => {
                    effects.push(NodeEffect::Watch { subject, call, after, wait });
                },
                DistributionEffect::StopWatch { subject } => {
                    effects.push(NodeEffect::StopWatch(subject));
                },
                DistributionEffect::Validate { version, text } => {
                    effects.push(NodeEffect::Validate { version, text });
                },
                DistributionEffect::ListInEffect(list) => {
                    self.detect(now, MembershipInput::List(list), effects);
                    self.refresh_order_view(now, effects);
                },
                DistributionEffect::VersionsChanged(versions) => {
                    self.detect(now, MembershipInput::Versions(versions), effects);
                    if let Some(age) = self.distributor.list_age(now) {
                        self.order(now, OrderInput::ListConfirmed { age }, effects);
                    }
                },
                DistributionEffect::Current(current) => {
                    self.stale_views = !current;
                    self.command(now, CommandInput::Stale(!current), effects);
                    self.refresh_order_view(now, effects);
                },
                DistributionEffect::Event { kind, fields } => {
                    effects.push(NodeEffect::Event { kind, fields });
                },
            }
        }
    }

    fn order(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<NodeEffect>) {
        let mut results = Vec::new();
        self.orders.handle(now, input, &mut results);
        for result in results {
            match result {
                OrderEffect::Send { to, transport, message } => {
                    self.send(to, None, transport, PeerMessage::Order(message), effects);
                },
                other => effects.push(NodeEffect::Order(other)),
            }
        }
    }

    fn admit(&mut self, now: Timestamp, input: AdmissionInput, effects: &mut Vec<NodeEffect>) {
        let mut results = Vec::new();
        self.admission.handle(now, input, &mut results);
        for result in results {
            match result {
                AdmissionEffect::Send { to, message } => {
                    let started = Some(to.incarnation.started);
                    let message = PeerMessage::Admission(message);
                    self.send(to.id, started, PeerTransport::Datagram, message, effects);
                },
                other => effects.push(NodeEffect::Admission(other)),
            }
        }
    }

    fn command(&mut self, now: Timestamp, input: CommandInput, effects: &mut Vec<NodeEffect>) {
        let mut results = Vec::new();
        self.engine_controller.handle(now, input, &mut results);
        effects.extend(results.into_iter().map(NodeEffect::Command));
    }

    fn send(
        &self,
        to: InstanceId,
        to_started: Option<u64>,
        transport: PeerTransport,
        message: PeerMessage,
        effects: &mut Vec<NodeEffect>,
    ) {
        // An instance without known addresses is treated like one whose messages are lost.
        let Some(contact) = self.membership.contact(to) else { return };
        let address = match transport {
            PeerTransport::Datagram => contact.udp,
            PeerTransport::Stream => contact.tcp,
        };
        let frame = Box::new(PeerFrame { from: self.identity, to, to_started, message });
        effects.push(NodeEffect::Send { address, transport, frame });
    }

    fn refresh_peers(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let known = self.membership.peers().collect();
        let live = self.membership.live().map(|member| member.identity.id).collect();
        self.distribute(now, DistributionInput::Peers { known, live }, effects);
        // A leaving instance hands its accounts over while it still responds; it stays in its
        // own view so that it can use its local share until it ends.
        let managers: Vec<_> = self
            .membership
            .live()
            .filter(|member| !member.leaving)
            .map(|member| member.identity)
            .chain([self.identity])
            .collect();
        let ids = managers.iter().map(|manager| manager.id).collect();
        self.command(now, CommandInput::Live(ids), effects);
        self.admit(now, AdmissionInput::Live(managers), effects);
        self.refresh_order_view(now, effects);
    }

    fn refresh_order_view(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        if self.stale_views {
            return;
        }
        let Some(list) = self.distributor.list().cloned() else { return };
        let live = self.membership.live().map(|member| member.identity).collect();
        let list_age = self.distributor.list_age(now).unwrap_or(UNCONFIRMED_AGE);
        self.order(now, OrderInput::View { list, live, list_age }, effects);
    }

    fn refresh_engines(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let engines = self
            .capacities
            .iter()
            .map(|&engine| ServerCapacity {
                accepting: engine.accepting && !self.membership.is_server_leaving(engine.server),
                ..engine
            })
            .collect();
        self.admit(now, AdmissionInput::Servers(engines), effects);
    }
}
