//! Sends commands to the engines that this instance manages.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::config::ModelVersion;
use crate::ids::{InstanceId, ServerId};
use crate::rendezvous;
use crate::time::Timestamp;

use super::load_limiter::LoadLimiter;

/// Number of low bits of a fencing number that count commands. The bits above hold the
/// configuration version.
const FENCE_COUNTER_BITS: u32 = 20;

/// Parameters of an [`EngineController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandParams {
    /// Loads per minute over all instances that the store of model weights allows.
    pub loads_per_minute: u32,
    /// Delay before the next command to an engine after a command that failed or that the engine
    /// rejected because of its fencing number.
    pub retry: Duration,
    /// Time after which a command without a result counts as failed.
    pub timeout: Duration,
    /// Time after which the report of an engine in its target state expires. After the same time
    /// again the engine is sent a load command, to find engines that restarted without their
    /// models. The command counts as a load, because the engine may need one. At one command per
    /// engine every 30 minutes, 600 engines would use a third of the default rate.
    pub refresh: Duration,
}

impl Default for CommandParams {
    fn default() -> Self {
        Self {
            loads_per_minute: 60,
            retry: Duration::from_secs(5),
            timeout: Duration::from_secs(30),
            refresh: Duration::from_secs(1800),
        }
    }
}

value_type! {
    /// Target state of one engine according to the configuration.
    pub struct EngineTarget {
        /// The engine.
        pub server: ServerId,
        /// Model versions that it must have loaded.
        pub models: Vec<ModelVersion>,
        /// Whether it rejects commands with a lower fencing number than it has seen.
        pub checks_fencing: bool,
    }
}

value_type! { copy
    /// Action of a command.
    pub enum CommandAction {
        /// Load the model version, or do nothing if it is loaded.
        Load,
        /// Unload the model version. Sent only to engines that check fencing numbers, because
        /// otherwise an instance with an old configuration could unload a version that a newer
        /// configuration needs.
        Unload,
    }
}

impl CommandAction {
    /// Gets the name used in the engine's interface.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Load => "load",
            Self::Unload => "unload",
        }
    }
}

/// Result of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandResult {
    /// The engine performed the command.
    Done {
        /// Model versions that the engine has loaded now.
        loaded: Vec<ModelVersion>,
    },
    /// The engine rejected the command because it has seen a higher fencing number.
    Fenced {
        /// The highest number it has seen.
        seen: u64,
    },
    /// The engine did not answer or answered with an error.
    Failed,
}

/// Inputs of an [`EngineController`].
#[derive(Clone, Debug)]
pub enum CommandInput {
    /// Target states from the configuration in effect.
    Targets {
        /// Configuration version. Input with an older version is ignored.
        version: u64,
        /// All engines; replaces the earlier list.
        engines: Vec<EngineTarget>,
    },
    /// Live instances, including this one.
    Live(Vec<InstanceId>),
    /// Whether the configuration or the list of instances may be stale, as after a pause of the
    /// process. No command is sent while it is.
    Stale(bool),
    /// Result of the command with this fencing number.
    Finished {
        /// The engine.
        server: ServerId,
        /// Fencing number of the command.
        fence: u64,
        /// The result.
        result: CommandResult,
    },
    /// The time returned by [`EngineController::next_wakeup`] has come.
    Tick,
}

/// Effects of an [`EngineController`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandEffect {
    /// Send a command; its result comes as `CommandInput::Finished`.
    Send {
        /// The engine.
        server: ServerId,
        /// Fencing number.
        fence: u64,
        /// The action.
        action: CommandAction,
        /// Model version to load or unload.
        model: ModelVersion,
    },
}

/// An engine that this instance manages.
#[derive(Clone, Debug)]
struct EngineState {
    target: EngineTarget,
    /// Model versions that the engine last reported; `None` until the first report after this
    /// instance became its manager, and again from the start of a refresh until its report.
    loaded: Option<IndexSet<ModelVersion>>,
    /// Fencing number and timeout of the command that awaits its result; at most one per engine.
    pending: Option<(u64, Timestamp)>,
    /// Earliest time of the next command.
    not_before: Timestamp,
}

impl EngineState {
    /// Gets the next command towards the target state, or `None` in the target state. Without a
    /// report it is a load of the first model version, whose result is a report.
    fn next_command(&self) -> Option<(CommandAction, ModelVersion)> {
        let Some(loaded) = &self.loaded else {
            let first = self.target.models.first()?;
            return Some((CommandAction::Load, first.clone()));
        };
        if let Some(missing) = self.target.models.iter().find(|model| !loaded.contains(*model)) {
            return Some((CommandAction::Load, missing.clone()));
        }
        if !self.target.checks_fencing {
            return None;
        }
        let unneeded = loaded.iter().find(|model| !self.target.models.contains(*model))?;
        Some((CommandAction::Unload, unneeded.clone()))
    }
}

value_type! {
    /// State of one engine for operators.
    pub struct TargetDump {
        /// The engine.
        pub server: ServerId,
        /// Model versions that it last reported; `None` if a report is awaited.
        pub loaded: Option<Vec<ModelVersion>>,
        /// Whether it is in its target state.
        pub settled: bool,
        /// Whether a command awaits its result.
        pub pending: bool,
    }
}

/// State of an [`EngineController`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct CommandDump {
    /// Last fencing number used.
    pub fence: u64,
    /// Whether no commands are sent because the configuration or the list of instances may be
    /// stale.
    pub stale: bool,
    /// Engines that this instance manages.
    pub engines: Vec<TargetDump>,
}

/// Sends the commands that bring the engines managed by this instance to their target state.
///
/// Rendezvous hashing over the live instances selects the manager of each engine.
#[derive(Clone, Debug)]
pub struct EngineController {
    params: CommandParams,
    own: InstanceId,
    version: u64,
    /// Last fencing number used. It only rises, and its upper bits are the configuration version.
    fence: u64,
    stale: bool,
    live: Vec<InstanceId>,
    targets: Vec<EngineTarget>,
    engines: IndexMap<ServerId, EngineState>,
    load_limiter: LoadLimiter,
}

impl EngineController {
    /// Creates a controller without engines. It sends nothing until the first `Stale(false)`.
    pub fn new(params: CommandParams, own: InstanceId) -> Self {
        Self {
            load_limiter: LoadLimiter::new(params.loads_per_minute),
            params,
            own,
            version: 0,
            fence: 0,
            stale: true,
            live: vec![own],
            targets: Vec::new(),
            engines: IndexMap::new(),
        }
    }

    /// Processes an input and appends the commands to send.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: CommandInput,
        effects: &mut Vec<CommandEffect>,
    ) {
        match input {
            CommandInput::Targets { version, engines } => {
                if version < self.version {
                    return;
                }
                self.version = version;
                self.fence = self.fence.max(version << FENCE_COUNTER_BITS);
                self.targets = engines;
                self.update_engines(now);
            },
            CommandInput::Live(live) => {
                self.load_limiter.set_instances(live.len());
                self.live = live;
                self.update_engines(now);
            },
            CommandInput::Stale(stale) => self.stale = stale,
            CommandInput::Finished { server, fence, result } => {
                self.apply_result(now, server, fence, result);
            },
            CommandInput::Tick => {},
        }
        self.send_commands(now, effects);
    }

    /// Returns when to call `handle` with `Tick`, or `None` if no command can become due.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        if self.stale {
            return None;
        }
        self.engines
            .values()
            .map(|engine| match engine.pending {
                Some((_, expires)) => expires,
                None if self.next_is_load(engine) => {
                    engine.not_before.max(self.load_limiter.next_allowed().unwrap_or_default())
                },
                None => engine.not_before,
            })
            .min()
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> CommandDump {
        let engines = self.engines.iter().map(|(&server, engine)| TargetDump {
            server,
            loaded: engine.loaded.as_ref().map(|loaded| loaded.iter().cloned().collect()),
            settled: engine.next_command().is_none(),
            pending: engine.pending.is_some(),
        });
        CommandDump { fence: self.fence, stale: self.stale, engines: engines.collect() }
    }

    /// Updates the engines that this instance manages, adds those it became the manager of and
    /// drops the others.
    fn update_engines(&mut self, now: Timestamp) {
        let mut engines = IndexMap::new();
        for target in &self.targets {
            let manager = rendezvous::first(target.server.0, self.live.iter().copied());
            if manager != Some(self.own) {
                continue;
            }
            let mut engine = self.engines.swap_remove(&target.server).unwrap_or(EngineState {
                target: target.clone(),
                loaded: None,
                pending: None,
                not_before: now,
            });
            if engine.target != *target {
                engine.target = target.clone();
                engine.not_before = now;
            }
            engines.insert(target.server, engine);
        }
        self.engines = engines;
    }

    /// Returns whether the next command is a load, which the load limiter may delay.
    fn next_is_load(&self, engine: &EngineState) -> bool {
        matches!(engine.next_command(), Some((CommandAction::Load, _)))
    }

    fn send_commands(&mut self, now: Timestamp, effects: &mut Vec<CommandEffect>) {
        for (&server, engine) in &mut self.engines {
            if engine.pending.is_some_and(|(_, expires)| expires <= now) {
                engine.pending = None;
                engine.not_before = now + self.params.retry;
            }
            if self.stale || engine.pending.is_some() || engine.not_before > now {
                continue;
            }
            let Some((action, model)) = engine.next_command() else {
                // Forgets the report, so that the next command, after another `refresh`, is a load
                // that requests a new one.
                engine.loaded = None;
                engine.not_before = now + self.params.refresh;
                continue;
            };
            if action == CommandAction::Load && !self.load_limiter.try_acquire(now) {
                continue;
            }
            self.fence += 1;
            engine.pending = Some((self.fence, now + self.params.timeout));
            effects.push(CommandEffect::Send { server, fence: self.fence, action, model });
        }
    }

    fn apply_result(
        &mut self,
        now: Timestamp,
        server: ServerId,
        fence: u64,
        result: CommandResult,
    ) {
        let Some(engine) = self.engines.get_mut(&server) else { return };
        if engine.pending.is_none_or(|(pending, _)| pending != fence) {
            return;
        }
        engine.pending = None;
        match result {
            CommandResult::Done { loaded } => {
                engine.loaded = Some(loaded.into_iter().collect());
                let settled = engine.next_command().is_none();
                engine.not_before = if settled { now + self.params.refresh } else { now };
            },
            CommandResult::Fenced { seen } => {
                engine.not_before = now + self.params.retry;
                // A number from a newer configuration is never exceeded. An instance that has
                // that configuration commands the engine, and this one waits until it has it too.
                if seen >> FENCE_COUNTER_BITS == self.version {
                    self.fence = self.fence.max(seen);
                }
            },
            CommandResult::Failed => engine.not_before = now + self.params.retry,
        }
    }
}
