//! Applies inputs to the node and performs its effects.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use super::queues::PlatformCommand;
use crate::instance::{ActiveTree, InstanceShared};
use crate::logging::{event, event_fields};
use crate::peers::OutboundFrame;
use crate::settings::{InstanceSettings, OrderSettings};
use medlarlanding_core::admission::{AdmissionEffect, AdmissionInput, ServerCapacity};
use medlarlanding_core::commands::{
    CommandEffect, CommandInput, CommandParams, CommandResult, EngineTarget,
};
use medlarlanding_core::config::{ConfigTree, ServerState};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::{InstanceId, ServerId, ZoneId};
use medlarlanding_core::node::{EntryNode, FrameRejection, NodeEffect, NodeInput, NodeParams};
use medlarlanding_core::orders::OrderParams;
use medlarlanding_core::pacing::PaceChange;
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceState};

/// Maximum sleep of the ticker, which bounds the delay caused by a missed notification.
const SLEEP_LIMIT: Duration = Duration::from_millis(250);

/// Minimum difference between the delays after which two members of a replica group start a
/// partition without the records of earlier orders.
const EMPTY_START_STEP_MIN_MS: u64 = 500;

/// Derives the node's parameters from the settings.
pub fn params(settings: &InstanceSettings) -> NodeParams {
    let OrderSettings { retention_ms, list_limit_ms, search_ms } = settings.orders;
    let step = Duration::from_millis((search_ms / 5).max(EMPTY_START_STEP_MIN_MS));
    let orders = OrderParams {
        retention: Duration::from_millis(retention_ms),
        list_limit: Duration::from_millis(list_limit_ms),
        idle_limit: Duration::from_millis(list_limit_ms / 2),
        empty_start_delay: Duration::from_millis(search_ms),
        empty_start_step: step,
        // Within one step a member must ask the member that started before it. Otherwise both
        // start empty with different epochs, and keys minted in one epoch are refused in the
        // other.
        sync_retry_max: step / 2,
        ..OrderParams::default()
    };
    let loads_per_minute = settings.limits.weight_loads_per_minute;
    let commands = CommandParams { loads_per_minute, ..CommandParams::default() };
    NodeParams { orders, commands, ..NodeParams::default() }
}

/// Builds the instance list entry of this instance.
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

/// Builds the entries of the seeds, which are contacted before an instance list is known.
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
    /// Starts the node and performs its first effects.
    pub fn start_node(&self) {
        self.drive(|node, now, effects| node.start(now, effects));
    }

    /// Applies an input to the node and performs its effects.
    ///
    /// # Errors
    ///
    /// Returns the reason if the input is a frame that the node dropped. Other inputs are never
    /// rejected.
    pub fn apply(&self, input: NodeInput) -> Result<(), FrameRejection> {
        let mut result = Ok(());
        self.drive(|node, now, effects| result = node.handle(now, input, effects));
        result
    }

    /// Performs one step of the node, then its effects and the inputs that follow from them.
    fn drive(&self, step: impl FnOnce(&mut EntryNode, Timestamp, &mut Vec<NodeEffect>)) {
        let mut effects = Vec::new();
        {
            let mut node = self.node();
            step(&mut node, self.clock.now(), &mut effects);
        }
        // An effect can produce further inputs. They are applied one after the other, with the
        // lock released while effects are performed.
        let mut inputs = VecDeque::new();
        loop {
            for effect in effects.drain(..) {
                self.perform(effect, &mut inputs);
            }
            let Some(input) = inputs.pop_front() else { break };
            let mut node = self.node();
            // Only frames can be rejected, and no effect produces a frame.
            let _ = node.handle(self.clock.now(), input, &mut effects);
        }
        self.ticker.notify_one();
    }

    fn perform(&self, effect: NodeEffect, inputs: &mut VecDeque<NodeInput>) {
        match effect {
            NodeEffect::Send { address, transport, frame } => {
                let to = frame.to;
                if !self.queues.push_frame(transport, OutboundFrame { address, frame: *frame }) {
                    self.metrics.dropped_frames.with_label_values(&["queue_full"]).inc();
                    inputs.push_back(NodeInput::DeliveryFailed(to));
                }
            },
            NodeEffect::Watch { subject, call, after, wait } => {
                self.queues.push_platform_command(PlatformCommand::Watch {
                    subject,
                    call,
                    after,
                    wait,
                });
            },
            NodeEffect::CancelWatch(subject) => {
                self.queues.push_platform_command(PlatformCommand::Stop(subject));
            },
            NodeEffect::Validate { version, text } => self.validate_config(version, &text, inputs),
            NodeEffect::Admission(AdmissionEffect::PaceChanged { server, change }) => {
                self.log_pace(server, change);
            },
            NodeEffect::Admission(effect) => {
                if let Some(request) = self.waiters.deliver_permit(effect) {
                    let finished =
                        AdmissionInput::Finished { request, decoded: 0, natural_end: false };
                    inputs.push_back(NodeInput::Admission(finished));
                }
            },
            NodeEffect::Command(command) => {
                if !self.queues.push_engine_command(command.clone()) {
                    let CommandEffect::Send { server, fence, .. } = command;
                    let result = CommandResult::Failed;
                    let finished = CommandInput::Finished { server, fence, result };
                    inputs.push_back(NodeInput::Command(finished));
                }
            },
            NodeEffect::Order(effect) => self.waiters.deliver_order(effect),
            NodeEffect::Event { kind, fields } => event_fields(kind, &fields),
        }
    }

    /// Logs a change of the limit of an engine in slow start. The manager of the engine decides on it
    /// for all instances.
    fn log_pace(&self, server: ServerId, change: PaceChange) {
        let PaceChange { limit, ratio_percent, reason } = change;
        self.metrics.pace_changes.with_label_values(&[reason.name()]).inc();
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        event(
            EventKind::PaceChanged,
            &[&server, &"engine", &limit, &reason.name(), &ratio_percent, &"whole"],
        );
    }

    fn validate_config(&self, version: u64, text: &str, inputs: &mut VecDeque<NodeInput>) {
        let accepted = match ConfigTree::parse(text) {
            Ok(tree) => {
                let capacities = engine_capacities(&tree);
                let targets = engine_targets(&tree);
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

fn engine_capacities(tree: &ConfigTree) -> Vec<ServerCapacity> {
    tree.servers()
        .filter_map(|(_, server)| {
            let engine = server.engine()?;
            Some(ServerCapacity {
                server: server.id,
                kv_tokens: engine.kv_tokens,
                max_batch: engine.max_batch,
                accepting: server.state == ServerState::Live,
                slow_start: engine.slow_start_batch,
            })
        })
        .collect()
}

fn engine_targets(tree: &ConfigTree) -> Vec<EngineTarget> {
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

/// Passes a tick to the node at each of its wake-up times, until the process ends.
///
/// # Errors
///
/// Never fails; the return type is that of supervised children.
pub async fn run_ticker(shared: Arc<InstanceShared>) -> anyhow::Result<()> {
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
                let delay = wakeup.map_or(SLEEP_LIMIT, |at| at.since(now).min(SLEEP_LIMIT));
                let _ = tokio::time::timeout(delay, shared.ticker.notified()).await;
            },
        }
        // Lets the socket tasks run even if the node's next wake-up time has already passed.
        tokio::task::yield_now().await;
    }
}
