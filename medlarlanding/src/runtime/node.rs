//! Applies inputs to the node and performs its effects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::links::PlatformCommand;
use crate::instance::{ActiveTree, InstanceShared};
use crate::logging::{event, event_fields};
use crate::peers::OutboundFrame;
use crate::settings::{InstanceSettings, OrderSettings};
use medlarlanding_core::admission::{AdmissionInput, ServerCapacity};
use medlarlanding_core::commands::{
    CommandEffect, CommandInput, CommandParams, CommandResult, EngineTarget,
};
use medlarlanding_core::config::{ConfigTree, ServerState};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::{InstanceId, ZoneId};
use medlarlanding_core::node::{EntryNode, FrameRejection, NodeEffect, NodeInput, NodeParams};
use medlarlanding_core::orders::OrderParams;
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceState};

/// Longest sleep of the ticker; bounds the effect of a missed wake-up.
const TICK_LIMIT: Duration = Duration::from_millis(250);

/// Shortest step between the empty starts of two members of a replica group.
const EMPTY_START_STEP_MIN_MS: u64 = 500;

/// Builds the node's parameters from the settings.
pub fn params(settings: &InstanceSettings) -> NodeParams {
    let OrderSettings { retention_ms, list_limit_ms, search_ms } = settings.orders;
    let step = Duration::from_millis((search_ms / 5).max(EMPTY_START_STEP_MIN_MS));
    let orders = OrderParams {
        retention: Duration::from_millis(retention_ms),
        list_limit: Duration::from_millis(list_limit_ms),
        idle_limit: Duration::from_millis(list_limit_ms / 2),
        empty_start_delay: Duration::from_millis(search_ms),
        empty_start_step: step,
        // A member must ask the one before it at least once per step, or both start empty
        // with epochs of their own and minted keys are refused.
        sync_retry_max: step / 2,
        ..OrderParams::default()
    };
    let loads_per_minute = settings.limits.weight_loads_per_minute;
    let commands = CommandParams { loads_per_minute, ..CommandParams::default() };
    NodeParams { orders, commands, ..NodeParams::default() }
}

/// Builds the entry of this instance.
pub fn own_entry(settings: &InstanceSettings) -> InstanceEntry {
    InstanceEntry {
        id: InstanceId::from_name(&settings.instance),
        name: settings.instance.clone(),
        zone: ZoneId::from_name(&settings.zone),
        state: InstanceState::Live,
        udp: settings.udp,
        tcp: settings.tcp,
    }
}

/// Builds the entries of the instances to contact at the start.
pub fn seed_entries(settings: &InstanceSettings) -> Vec<InstanceEntry> {
    settings
        .seeds
        .iter()
        .map(|seed| InstanceEntry {
            id: InstanceId::from_name(&seed.name),
            name: seed.name.clone(),
            zone: ZoneId::from_name(&seed.zone),
            state: InstanceState::Live,
            udp: seed.udp,
            tcp: seed.tcp,
        })
        .collect()
}

impl InstanceShared {
    /// Starts the node.
    pub fn start_node(&self) {
        self.drive(|node, now, effects| node.start(now, effects));
    }

    /// Applies an input to the node and performs its effects.
    ///
    /// # Errors
    ///
    /// Returns why a frame was dropped; other inputs are never rejected.
    pub fn apply(&self, input: NodeInput) -> Result<(), FrameRejection> {
        let mut result = Ok(());
        self.drive(|node, now, effects| result = node.handle(now, input, effects));
        result
    }

    fn drive(&self, step: impl FnOnce(&mut EntryNode, Timestamp, &mut Vec<NodeEffect>)) {
        let mut effects = Vec::new();
        {
            let mut node = self.node();
            step(&mut node, self.clock.now(), &mut effects);
        }
        // Inputs that follow from effects are applied in turn, without the lock between them.
        let mut inputs = VecDeque::new();
        loop {
            for effect in effects.drain(..) {
                self.perform(effect, &mut inputs);
            }
            let Some(input) = inputs.pop_front() else { break };
            let mut node = self.node();
            // Only frames are rejected, and no frame follows from an effect.
            let _ = node.handle(self.clock.now(), input, &mut effects);
        }
        self.ticker.notify_one();
    }

    fn perform(&self, effect: NodeEffect, inputs: &mut VecDeque<NodeInput>) {
        match effect {
            NodeEffect::Send { address, transport, frame } => {
                let to = frame.to;
                if !self.links.send(transport, OutboundFrame { address, frame: *frame }) {
                    self.metrics.dropped_frames.with_label_values(&["queue_full"]).inc();
                    inputs.push_back(NodeInput::DeliveryFailed(to));
                }
            },
            NodeEffect::Watch { subject, call, after, wait } => {
                self.links.command(PlatformCommand::Watch { subject, call, after, wait });
            },
            NodeEffect::CancelWatch(subject) => {
                self.links.command(PlatformCommand::Stop(subject));
            },
            NodeEffect::Validate { version, text } => self.validate(version, &text, inputs),
            NodeEffect::Admission(effect) => {
                if let Some(request) = self.waiters.settle_permit(effect) {
                    let finished =
                        AdmissionInput::Finished { request, decoded: 0, natural_end: false };
                    inputs.push_back(NodeInput::Admission(finished));
                }
            },
            NodeEffect::Command(command) => {
                if !self.links.command_engine(command.clone()) {
                    let CommandEffect::Send { server, fence, .. } = command;
                    let result = CommandResult::Failed;
                    let finished = CommandInput::Finished { server, fence, result };
                    inputs.push_back(NodeInput::Command(finished));
                }
            },
            NodeEffect::Order(effect) => self.waiters.settle_order(effect),
            NodeEffect::Event { kind, fields } => event_fields(kind, &fields),
        }
    }

    fn validate(&self, version: u64, text: &str, inputs: &mut VecDeque<NodeInput>) {
        let accepted = match ConfigTree::parse(text) {
            Ok(tree) => {
                let (capacities, targets) = (capacities(&tree), targets(&tree));
                inputs.push_back(NodeInput::Engines { version, capacities, targets });
                self.activate(ActiveTree { version, tree });
                true
            },
            Err(faults) => {
                let first = faults.first().map(ToString::to_string).unwrap_or_default();
                event(EventKind::ConfigRefused, &[&version, &faults.len(), &first]);
                false
            },
        };
        inputs.push_back(NodeInput::Validated { version, accepted });
    }
}

fn capacities(tree: &ConfigTree) -> Vec<ServerCapacity> {
    tree.servers()
        .filter_map(|(_, server)| {
            let engine = server.engine()?;
            Some(ServerCapacity {
                server: server.id,
                kv_tokens: engine.kv_tokens,
                max_batch: engine.max_batch,
                accepting: server.state == ServerState::Live,
            })
        })
        .collect()
}

fn targets(tree: &ConfigTree) -> Vec<EngineTarget> {
    tree.servers()
        .filter_map(|(_, server)| {
            let engine = server.engine()?;
            Some(EngineTarget {
                server: server.id,
                models: engine.models.clone(),
                checks_fencing: engine.checks_fencing,
            })
        })
        .collect()
}

/// Calls the node at its wake-up times until the process ends.
///
/// # Errors
///
/// Never fails; the signature is that of a supervisor's child.
pub async fn tick(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
    loop {
        let (now, wakeup) = {
            let node = shared.node();
            (shared.clock.now(), node.next_wakeup())
        };
        match wakeup {
            Some(at) if at <= now => {
                let _ = shared.apply(NodeInput::Tick);
                shared.refresh_gauges();
            },
            wakeup => {
                let delay = wakeup.map_or(TICK_LIMIT, |at| at.since(now).min(TICK_LIMIT));
                let _ = tokio::time::timeout(delay, shared.ticker.notified()).await;
            },
        }
        // A node that is due again at once must not keep the sockets' tasks from running.
        tokio::task::yield_now().await;
    }
}
