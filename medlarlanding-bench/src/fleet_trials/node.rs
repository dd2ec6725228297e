//! One simulated process: membership table, configuration distributor and frame encoding.

use std::sync::Arc;

use medlarlanding_core::distribution::{
    ConfigDistributor, DistributionEffect, DistributionInput, DistributionParams, PlatformAnswer,
    Subject,
};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::{InstanceId, ServerId};
use medlarlanding_core::membership::{
    MembershipEffect, MembershipInput, MembershipParams, MembershipTable,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::InstanceEntry;
use medlarlanding_core::wire::{PeerCodec, PeerFrame, PeerMessage, PeerTransport};

use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Settings of both subsystems, and a switch that weakens them for tests.
#[derive(Clone, Debug, Default)]
pub struct NodeParams {
    /// Settings of the membership table.
    pub membership: MembershipParams,
    /// Settings of the distributor.
    pub distribution: DistributionParams,
    /// Weakened variant: the age in an unsolicited version report is counted from the report's
    /// receipt, as if it had been transmitted without delay.
    pub trust_unsolicited_ages: bool,
}

/// Effect of a process on the simulation.
#[derive(Debug)]
pub enum NodeOutput {
    /// Send an encoded frame.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Transport.
        transport: PeerTransport,
        /// Encoded frame.
        bytes: Vec<u8>,
    },
    /// Start a call to the platform that waits for a new revision.
    Watch {
        /// Value to read.
        subject: Subject,
        /// Number of the call.
        call: u32,
        /// Revision that the answer must exceed.
        after: u64,
        /// Maximum wait, µs.
        wait: u64,
    },
    /// Cancel the pending call for a subject.
    CancelWatch(Subject),
    /// A version is in effect.
    InEffect(Subject, u64),
    /// A configuration was validated; false if it was rejected.
    Validated(u64, bool),
    /// Whether the versions in effect are the newest that peers know of.
    CurrentChanged(bool),
    /// The membership table declared an instance dead.
    Evicted(InstanceId),
    /// The leaving mark of a backend server was set or removed.
    ServerMarked(ServerId, bool),
    /// The process detected that it had been paused.
    PauseDetected,
    /// A timer is still due after it ran; a runtime would run it in a tight loop.
    TimerStillDue,
}

/// Simulated process of an instance.
#[derive(Debug)]
pub struct FleetNode {
    /// Membership table.
    pub table: MembershipTable,
    /// Distributor.
    pub distributor: ConfigDistributor,
    params: NodeParams,
}

impl FleetNode {
    /// Creates a process.
    pub fn new(
        params: NodeParams,
        started: u64,
        own: &InstanceEntry,
        seeds: &[InstanceEntry],
        seed: u64,
    ) -> Self {
        let table = MembershipTable::new(
            params.membership.clone(),
            started,
            own,
            seeds,
            SmallRng::seed_from_u64(seed),
        );
        let distributor = ConfigDistributor::new(
            params.distribution.clone(),
            table.identity(),
            SmallRng::seed_from_u64(seed ^ 0x5eed),
        );
        Self { table, distributor, params }
    }

    /// Returns the time at which `tick` is due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        Timestamp::earliest(self.table.next_wakeup(), self.distributor.next_wakeup())
    }

    /// Runs the timers that are due.
    pub fn tick(&mut self, now: Timestamp, codec: &PeerCodec, outputs: &mut Vec<NodeOutput>) {
        if self.table.next_wakeup().is_none_or(|at| at <= now) {
            self.handle_membership(now, MembershipInput::Tick, codec, outputs);
        }
        if self.distributor.next_wakeup().is_none_or(|at| at <= now) {
            self.handle_distribution(now, DistributionInput::Tick, codec, outputs);
        }
        if self.next_wakeup().is_some_and(|at| at <= now) {
            outputs.push(NodeOutput::TimerStillDue);
        }
    }

    /// Handles an encoded frame. The timers that are due run first, so that a pause is detected
    /// before the frame is handled.
    pub fn receive(
        &mut self,
        now: Timestamp,
        bytes: &[u8],
        transport: PeerTransport,
        codec: &PeerCodec,
        outputs: &mut Vec<NodeOutput>,
    ) {
        self.tick(now, codec, outputs);
        let frame = codec.decode(bytes, transport).expect("frames of the simulation decode");
        let own = self.table.identity();
        if frame.to != own.id
            || frame.to_started.is_some_and(|started| started != own.incarnation.started)
        {
            return;
        }
        match frame.message {
            PeerMessage::Membership(message) => {
                let input = MembershipInput::Message { from: frame.from, message };
                self.handle_membership(now, input, codec, outputs);
            },
            PeerMessage::Distribution(message) => {
                self.handle_membership(
                    now,
                    MembershipInput::FrameReceived(frame.from),
                    codec,
                    outputs,
                );
                if !self.table.is_replaced(frame.from) {
                    let input = DistributionInput::Message { from: frame.from.id, message };
                    self.handle_distribution(now, input, codec, outputs);
                }
            },
            _ => {},
        }
    }

    /// Handles the result of a call to the platform.
    pub fn handle_platform_answer(
        &mut self,
        now: Timestamp,
        (subject, call): (Subject, u32),
        answer: PlatformAnswer,
        codec: &PeerCodec,
        outputs: &mut Vec<NodeOutput>,
    ) {
        self.tick(now, codec, outputs);
        let input = DistributionInput::Platform { subject, call, answer };
        self.handle_distribution(now, input, codec, outputs);
    }

    /// Passes an input to the membership table and applies the effects.
    pub fn handle_membership(
        &mut self,
        now: Timestamp,
        input: MembershipInput,
        codec: &PeerCodec,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut effects = Vec::new();
        self.table.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                MembershipEffect::Send { to, transport, message } => {
                    let message = PeerMessage::Membership(message);
                    self.send(to, None, transport, message, codec, outputs);
                },
                MembershipEffect::IdentityChanged(identity) => {
                    self.distributor.set_identity(identity);
                },
                MembershipEffect::LiveChanged => {
                    let known = self.table.peers().collect();
                    let live = self.table.live().map(|live| live.identity.id).collect();
                    let input = DistributionInput::Peers { known, live };
                    self.handle_distribution(now, input, codec, outputs);
                },
                MembershipEffect::ServerMarked(mark) => {
                    outputs.push(NodeOutput::ServerMarked(mark.server, mark.leaving));
                },
                MembershipEffect::PeerVersions { from, versions, probe_sent } => {
                    let probe_sent =
                        probe_sent.or(self.params.trust_unsolicited_ages.then_some(now));
                    let input = DistributionInput::PeerVersions { from, versions, probe_sent };
                    self.handle_distribution(now, input, codec, outputs);
                },
                MembershipEffect::Paused(_) => {
                    outputs.push(NodeOutput::PauseDetected);
                    self.handle_distribution(now, DistributionInput::Paused, codec, outputs);
                },
                MembershipEffect::Event { kind: EventKind::MemberChanged, fields } => {
                    if fields[1] == "dead"
                        && let Ok(id) = u64::from_str_radix(&fields[0], 16)
                    {
                        outputs.push(NodeOutput::Evicted(InstanceId(id)));
                    }
                },
                MembershipEffect::Event { .. } => {},
            }
        }
    }

    /// Passes an input to the distributor and applies the effects.
    pub fn handle_distribution(
        &mut self,
        now: Timestamp,
        input: DistributionInput,
        codec: &PeerCodec,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let mut effects = Vec::new();
        self.distributor.handle(now, input, &mut effects);
        for effect in effects {
            match effect {
                DistributionEffect::Send { to, transport, message } => {
                    let started = self.table.record(to).map(|record| record.incarnation.started);
                    let message = PeerMessage::Distribution(message);
                    self.send(to, started, transport, message, codec, outputs);
                },
                DistributionEffect::Watch { subject, call, after, wait } => {
                    let wait = wait.as_micros() as u64;
                    outputs.push(NodeOutput::Watch { subject, call, after, wait });
                },
                DistributionEffect::CancelWatch { subject } => {
                    outputs.push(NodeOutput::CancelWatch(subject));
                },
                DistributionEffect::Validate { version, text } => {
                    let accepted = !text.starts_with("invalid");
                    outputs.push(NodeOutput::Validated(version, accepted));
                    if accepted {
                        outputs.push(NodeOutput::InEffect(Subject::Config, version));
                    }
                    let input = DistributionInput::Validated { version, accepted };
                    self.handle_distribution(now, input, codec, outputs);
                },
                DistributionEffect::ListInEffect(list) => {
                    outputs.push(NodeOutput::InEffect(Subject::List, list.version.0));
                    let input = MembershipInput::List(Arc::clone(&list));
                    self.handle_membership(now, input, codec, outputs);
                },
                DistributionEffect::VersionsChanged(versions) => {
                    let input = MembershipInput::Versions(versions);
                    self.handle_membership(now, input, codec, outputs);
                },
                DistributionEffect::CurrentChanged(current) => {
                    outputs.push(NodeOutput::CurrentChanged(current));
                },
                DistributionEffect::Event { .. } => {},
            }
        }
    }

    fn send(
        &self,
        to: InstanceId,
        to_started: Option<u64>,
        transport: PeerTransport,
        message: PeerMessage,
        codec: &PeerCodec,
        outputs: &mut Vec<NodeOutput>,
    ) {
        let frame = PeerFrame { from: self.table.identity(), to, to_started, message };
        let bytes = codec.encode(&frame, transport).expect("frames do not exceed the size limit");
        outputs.push(NodeOutput::Send { to, transport, bytes });
    }
}
