//! State machine of one instance, composed of its subsystems.

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
use crate::prompts::{
    BlockedPart, CrashLedger, LedgerNews, LedgerSharing, PartId, PromptInput, PromptParts,
    PromptVerdict,
};
use crate::time::Timestamp;
use crate::views::InstanceEntry;
use crate::wire::{PeerFrame, PeerMessage, PeerTransport};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

/// Age to assume for a list if it is unknown when the platform last published it. It exceeds any
/// limit on the age.
const UNCONFIRMED_AGE: Duration = Duration::from_secs(u32::MAX as u64);

/// Parameters of all subsystems.
#[derive(Clone, Debug, Default)]
pub struct NodeParams {
    /// Failure detection and dissemination of leaving servers.
    pub membership: MembershipParams,
    /// Distribution of the configuration and the instance list.
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
    /// A frame with a valid authentication tag arrived.
    Frame(Box<PeerFrame>),
    /// Result of a call that `NodeEffect::Watch` started.
    Platform {
        /// Value that was read.
        subject: Subject,
        /// Number from the effect.
        call: u32,
        /// Result of the call.
        answer: PlatformAnswer,
    },
    /// The validation that `NodeEffect::Validate` started ended.
    Validated {
        /// Configuration version.
        version: u64,
        /// Whether the text is valid and now in effect.
        accepted: bool,
    },
    /// A frame could not be delivered to the given instance.
    DeliveryFailed(InstanceId),
    /// Model engines of the configuration in effect.
    Engines {
        /// Configuration version.
        version: u64,
        /// Capacities of the engines, for admission.
        capacities: Vec<ServerCapacity>,
        /// Models that the engines must load, for commands.
        targets: Vec<EngineTarget>,
    },
    /// Input of the subsystem for commands to engines.
    Command(CommandInput),
    /// A backend server started to leave or is available again.
    MarkServer {
        /// Backend server whose state changed.
        server: ServerId,
        /// Whether the server must be sent no new work.
        leaving: bool,
    },
    /// Input of the admission subsystem.
    Admission(AdmissionInput),
    /// Input of the orders subsystem.
    Order(OrderInput),
    /// What a run showed about its prompt.
    Prompt(PromptInput),
    /// This process takes no new work from now on, but keeps running.
    Leave,
    /// This process exits now.
    Depart,
    /// The time returned by [`EntryNode::next_wakeup`] was reached.
    Tick,
}

/// Effects that the runtime performs.
#[derive(Clone, Debug)]
pub enum NodeEffect {
    /// Send a frame to `address`.
    Send {
        /// Address of the receiver for this transport.
        address: SocketAddr,
        /// Datagram, or stream on a TCP connection.
        transport: PeerTransport,
        /// Frame, to be encoded for the transport.
        frame: Box<PeerFrame>,
    },
    /// Start a call to the platform that waits for a new revision; its result is passed as
    /// `NodeInput::Platform`. At most one call per subject is pending.
    Watch {
        /// Value to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// The call waits for a revision above this one; with 0 it returns at once.
        after: u64,
        /// Maximum wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    CancelWatch(Subject),
    /// Validate a configuration text and, if it is valid, put it into effect. The result is
    /// passed as `NodeInput::Validated`.
    Validate {
        /// Configuration version.
        version: u64,
        /// Configuration text.
        text: Arc<str>,
    },
    /// Effect of the admission subsystem. Never `AdmissionEffect::Send`, which becomes
    /// `NodeEffect::Send`.
    Admission(AdmissionEffect),
    /// Send a command to an engine.
    Command(CommandEffect),
    /// Effect of the orders subsystem. Never `OrderEffect::Send`, which becomes
    /// `NodeEffect::Send`.
    Order(OrderEffect),
    /// Write a log event.
    Event {
        /// Kind of the event; its descriptor names the fields.
        kind: EventKind,
        /// Values of the fields, in the order of the descriptor.
        fields: Vec<String>,
    },
}

/// Reason for which a received frame is dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameRejection {
    /// The frame is addressed to another instance.
    OtherInstance,
    /// The frame is addressed to another process of this instance.
    OtherProcess,
    /// A later process of the sending instance is known.
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
    /// Failure detection and leaving servers.
    pub membership: MembershipDump,
    /// Distribution of the configuration and the instance list.
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
    ledger: CrashLedger,
    ledger_sharing: LedgerSharing,
    /// Parts of prompts that were blocked when the ledger last changed.
    blocked_parts: Vec<PartId>,
    capacities: Vec<ServerCapacity>,
    /// Set by `Depart`. The node then ignores all inputs: if it answered a probe, its peers would
    /// consider it alive again.
    departed: bool,
    /// Whether the instance list may be outdated. True at the start and after a pause, until peers
    /// were queried; the orders subsystem is then given no new view.
    stale_views: bool,
}

impl EntryNode {
    /// Creates the node of a new process. `start` must be called before `handle`.
    ///
    /// `started` is the start time of the process in milliseconds of its wall clock, `own`
    /// describes this instance, `seeds` are the instances named in its settings, and `seed`
    /// initialises its random numbers.
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
        let ledger_sharing = LedgerSharing::new(own.id);
        Self {
            own,
            identity,
            membership,
            distributor,
            orders,
            admission,
            engine_controller,
            ledger: CrashLedger::default(),
            ledger_sharing,
            blocked_parts: Vec::new(),
            capacities: Vec::new(),
            departed: false,
            stale_views: true,
        }
    }

    /// Starts the subsystems. Must be called once, before `handle`.
    pub fn start(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        self.refresh_peers(now, effects);
        self.handle_distribution(now, DistributionInput::Tick, effects);
        self.handle_membership(now, MembershipInput::Tick, effects);
        self.handle_admission(now, AdmissionInput::Tick, effects);
    }

    /// Processes an input and appends the effects that the runtime must perform.
    ///
    /// # Errors
    ///
    /// Returns why a frame was dropped. Other inputs cause no errors.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: NodeInput,
        effects: &mut Vec<NodeEffect>,
    ) -> Result<(), FrameRejection> {
        if self.departed {
            return Ok(());
        }
        // A pause of the process must be detected before any other input is processed. The timer
        // of the membership subsystem suffices for that, as it expires at least once a second.
        // Checking the timers of all subsystems would cost more than the input itself.
        if self.membership.next_wakeup().is_some_and(|at| at <= now) {
            self.tick(now, effects);
        }
        match input {
            NodeInput::Frame(frame) => self.receive(now, *frame, effects)?,
            NodeInput::Platform { subject, call, answer } => {
                let input = DistributionInput::Platform { subject, call, answer };
                self.handle_distribution(now, input, effects);
            },
            NodeInput::Validated { version, accepted } => {
                self.handle_distribution(
                    now,
                    DistributionInput::Validated { version, accepted },
                    effects,
                );
            },
            NodeInput::DeliveryFailed(peer) => {
                self.handle_distribution(now, DistributionInput::DeliveryFailed { peer }, effects);
            },
            NodeInput::Engines { version, capacities, targets } => {
                self.capacities = capacities;
                self.refresh_engines(now, effects);
                let input = CommandInput::Targets { version, engines: targets };
                self.handle_commands(now, input, effects);
            },
            NodeInput::Command(input) => self.handle_commands(now, input, effects),
            NodeInput::MarkServer { server, leaving } => {
                self.handle_membership(
                    now,
                    MembershipInput::MarkServer { server, leaving },
                    effects,
                );
            },
            NodeInput::Admission(input) => self.handle_admission(now, input, effects),
            NodeInput::Order(input) => self.handle_orders(now, input, effects),
            NodeInput::Prompt(input) => self.handle_prompt(now, input, effects),
            NodeInput::Leave => {
                self.handle_membership(now, MembershipInput::Leave, effects);
                self.handle_orders(now, OrderInput::Drain, effects);
            },
            NodeInput::Depart => {
                self.handle_membership(now, MembershipInput::Depart, effects);
                self.departed = true;
            },
            NodeInput::Tick => self.tick(now, effects),
        }
        Ok(())
    }

    /// Returns the time at which `handle` must be called with `Tick` at the latest; `None` after
    /// `Depart`.
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

    /// Returns the state of all subsystems for operators.
    pub fn dump(&self, now: Timestamp) -> NodeDump {
        NodeDump {
            membership: self.membership.dump(),
            distribution: self.distributor.dump(now),
            orders: self.orders.dump(),
            admission: self.admission.dump(),
            commands: self.engine_controller.dump(),
        }
    }

    /// Returns whether a configuration is in effect and is the newest that peers know of.
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
            self.handle_membership(now, MembershipInput::FrameReceived(from), effects);
            if self.membership.is_replaced(from) {
                return Err(FrameRejection::ReplacedSender);
            }
        }
        match frame.message {
            PeerMessage::Membership(message) => {
                self.handle_membership(now, MembershipInput::Message { from, message }, effects);
            },
            PeerMessage::Distribution(message) => {
                let from = from.id;
                self.handle_distribution(
                    now,
                    DistributionInput::Message { from, message },
                    effects,
                );
            },
            PeerMessage::Order(message) => {
                self.handle_orders(now, OrderInput::Message { from, message }, effects);
            },
            PeerMessage::Admission(message) => {
                self.handle_admission(now, AdmissionInput::Message { from, message }, effects);
            },
            PeerMessage::Prompts(news) => self.merge_ledger(now, from.id, news, effects),
        }
        Ok(())
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let due = |wakeup: Option<Timestamp>| wakeup.is_some_and(|at| at <= now);
        // Membership comes first: it detects a pause of the process before the other subsystems
        // act on state from before the pause.
        if due(self.membership.next_wakeup()) {
            self.handle_membership(now, MembershipInput::Tick, effects);
        }
        if due(self.distributor.next_wakeup()) {
            self.handle_distribution(now, DistributionInput::Tick, effects);
        }
        if due(self.orders.next_wakeup()) {
            self.handle_orders(now, OrderInput::Tick, effects);
        }
        if due(self.admission.next_wakeup()) {
            self.handle_admission(now, AdmissionInput::Tick, effects);
        }
        if due(self.engine_controller.next_wakeup()) {
            self.handle_commands(now, CommandInput::Tick, effects);
        }
    }

    fn handle_membership(
        &mut self,
        now: Timestamp,
        input: MembershipInput,
        effects: &mut Vec<NodeEffect>,
    ) {
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
                MembershipEffect::PeerVersions { from, versions, probe_sent } => {
                    let input = DistributionInput::PeerVersions { from, versions, probe_sent };
                    self.handle_distribution(now, input, effects);
                },
                MembershipEffect::Paused(_) => {
                    self.stale_views = true;
                    self.handle_commands(now, CommandInput::Stale(true), effects);
                    self.handle_orders(now, OrderInput::Paused, effects);
                    self.handle_distribution(now, DistributionInput::Paused, effects);
                },
                MembershipEffect::Event { kind, fields } => {
                    effects.push(NodeEffect::Event { kind, fields });
                },
            }
        }
    }

    fn handle_distribution(
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
                DistributionEffect::CancelWatch { subject } => {
                    effects.push(NodeEffect::CancelWatch(subject));
                },
                DistributionEffect::Validate { version, text } => {
                    effects.push(NodeEffect::Validate { version, text });
                },
                DistributionEffect::ListInEffect(list) => {
                    self.handle_membership(now, MembershipInput::List(list), effects);
                    self.refresh_order_view(now, effects);
                },
                DistributionEffect::VersionsChanged(versions) => {
                    self.handle_membership(now, MembershipInput::Versions(versions), effects);
                    if let Some(age) = self.distributor.list_age(now) {
                        self.handle_orders(now, OrderInput::ListConfirmed { age }, effects);
                    }
                },
                DistributionEffect::CurrentChanged(current) => {
                    self.stale_views = !current;
                    self.handle_commands(now, CommandInput::Stale(!current), effects);
                    self.refresh_order_view(now, effects);
                },
                DistributionEffect::Event { kind, fields } => {
                    effects.push(NodeEffect::Event { kind, fields });
                },
            }
        }
    }

    fn handle_orders(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<NodeEffect>) {
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

    fn handle_admission(
        &mut self,
        now: Timestamp,
        input: AdmissionInput,
        effects: &mut Vec<NodeEffect>,
    ) {
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

    fn handle_commands(
        &mut self,
        now: Timestamp,
        input: CommandInput,
        effects: &mut Vec<NodeEffect>,
    ) {
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
        // Messages to an instance without known addresses are dropped, as if they were lost on the
        // network.
        let Some(contact) = self.membership.contact(to) else { return };
        let address = match transport {
            PeerTransport::Datagram => contact.udp,
            PeerTransport::Stream => contact.tcp,
        };
        let frame = Box::new(PeerFrame { from: self.identity, to, to_started, message });
        effects.push(NodeEffect::Send { address, transport, frame });
    }

    /// Returns the part of a prompt on which engines ended, if requests with it are refused.
    pub fn check_prompt(&self, now: Timestamp, parts: &PromptParts) -> Option<BlockedPart> {
        self.ledger.check(now, parts)
    }

    /// Decides on a new request with a prompt. Only the live instance with the lowest id tries requests
    /// with a blocked part.
    pub fn admit_prompt(&mut self, now: Timestamp, parts: &PromptParts) -> PromptVerdict {
        let may_try = self.live_identities().iter().all(|other| self.own.id < other.id);
        self.ledger.admit(now, parts, may_try)
    }

    /// Returns whether it matters that a run with a prompt survives it.
    pub fn wants_evidence(&self, now: Timestamp, parts: &PromptParts) -> bool {
        self.ledger.wants_evidence(now, parts)
    }

    /// Returns the number of blocked parts of prompts.
    pub fn blocked_part_count(&self, now: Timestamp) -> usize {
        self.ledger.blocked(now).len()
    }

    fn handle_prompt(&mut self, now: Timestamp, input: PromptInput, effects: &mut Vec<NodeEffect>) {
        let news = match input {
            PromptInput::Broken { key, phase, parts } => {
                self.ledger.record_crash(now, key, phase, parts)
            },
            PromptInput::Survived { begun_at, parts } => {
                self.ledger.record_survival(now, begun_at, &parts)
            },
        };
        self.share_ledger(now, news, effects);
    }

    fn merge_ledger(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        received: LedgerNews,
        effects: &mut Vec<NodeEffect>,
    ) {
        let merged = self.ledger.merge(now, received);
        let live = self.live_identities();
        let is_from_relay = self.ledger_sharing.is_relay(&live, from);
        // A relay has told all others.
        let news = if is_from_relay && !self.ledger_sharing.is_relay(&live, self.own.id) {
            self.log_blocked_parts(now, effects);
            merged.own
        } else {
            merged.into_all()
        };
        self.share_ledger(now, news, effects);
    }

    fn live_identities(&self) -> Vec<InstanceIdentity> {
        let live = self.membership.live().map(|member| member.identity);
        live.filter(|identity| identity.id != self.own.id).collect()
    }

    fn share_ledger(&mut self, now: Timestamp, news: LedgerNews, effects: &mut Vec<NodeEffect>) {
        if news.is_empty() {
            return;
        }
        self.log_blocked_parts(now, effects);
        let live = self.live_identities();
        for target in self.ledger_sharing.targets(&live) {
            self.send_ledger(target, news.clone(), effects);
        }
    }

    fn send_ledger(&self, to: InstanceId, news: LedgerNews, effects: &mut Vec<NodeEffect>) {
        for part in news.split() {
            let message = PeerMessage::Prompts(part);
            self.send(to, None, PeerTransport::Stream, message, effects);
        }
    }

    fn log_blocked_parts(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let blocked = self.ledger.blocked(now);
        for rule in blocked.iter().filter(|rule| !self.blocked_parts.contains(&rule.part)) {
            effects.push(NodeEffect::Event {
                kind: EventKind::PartBlocked,
                fields: vec![
                    rule.part.to_string(),
                    rule.ends.to_string(),
                    rule.remaining.as_secs().to_string(),
                ],
            });
        }
        let current: Vec<PartId> = blocked.iter().map(|rule| rule.part).collect();
        for part in self.blocked_parts.iter().filter(|part| !current.contains(part)) {
            let fields = vec![part.to_string()];
            effects.push(NodeEffect::Event { kind: EventKind::PartReleased, fields });
        }
        self.blocked_parts = current;
    }

    fn refresh_peers(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        let known = self.membership.peers().collect();
        let live = self.membership.live().map(|member| member.identity.id).collect();
        self.handle_distribution(now, DistributionInput::Peers { known, live }, effects);
        // A leaving instance hands its accounts over while it still answers, so others exclude it.
        // It includes itself, so that it can use its local share until it exits.
        let managers: Vec<_> = self
            .membership
            .live()
            .filter(|member| !member.leaving)
            .map(|member| member.identity)
            .chain([self.identity])
            .collect();
        let ids = managers.iter().map(|manager| manager.id).collect();
        self.handle_commands(now, CommandInput::Live(ids), effects);
        self.handle_admission(now, AdmissionInput::Live(managers), effects);
        self.refresh_order_view(now, effects);
        let others = self.live_identities();
        for newcomer in self.ledger_sharing.take_newcomers(&others) {
            self.send_ledger(newcomer, self.ledger.snapshot(now), effects);
        }
    }

    fn refresh_order_view(&mut self, now: Timestamp, effects: &mut Vec<NodeEffect>) {
        if self.stale_views {
            return;
        }
        let Some(list) = self.distributor.list().cloned() else { return };
        let live = self.membership.live().map(|member| member.identity).collect();
        let list_age = self.distributor.list_age(now).unwrap_or(UNCONFIRMED_AGE);
        self.handle_orders(now, OrderInput::View { list, live, list_age }, effects);
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
        self.handle_admission(now, AdmissionInput::Servers(engines), effects);
    }
}
