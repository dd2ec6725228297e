//! Commands engines that this instance manages.

use std::time::Duration;

use indexmap::{IndexMap, IndexSet};
use serde::Serialize;

use crate::config::ModelVersion;
use crate::ids::{InstanceId, ServerId};
use crate::rendezvous;
use crate::time::Timestamp;

use super::pace::LoadPace;

/// Bits of a fencing number below the configuration version.
const FENCE_COUNTER_BITS: u32 = 20;

/// Parameters of an [`EngineCommander`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CommandParams {
    /// Loads per minute that the weight store allows over the whole fleet.
    pub loads_per_minute: u32,
    /// Pause after a command that failed.
    pub retry: Duration,
    /// Time after which a command without a result counts as failed.
    pub timeout: Duration,
    /// Interval at which an engine in its target state is commanded again, which finds
    /// engines that restarted without their models. Such a command counts as a load, because
    /// it may be one; 600 engines every 30 minutes take a third of the default rate.
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
    /// The state that the configuration describes for one engine.
    pub struct EngineTarget {
        /// The engine.
        pub server: ServerId,
        /// Model versions that it must hold.
        pub models: Vec<ModelVersion>,
        /// Whether it rejects commands with an old fencing number.
        pub checks_fencing: bool,
    }
}

value_type! { copy
    /// What a command asks for.
    pub enum CommandAction {
        /// Hold the model version.
        Load,
        /// Release the model version. Only for engines that check fencing numbers: an
        /// instance with an old configuration could otherwise remove what a newer one needs.
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
    /// The engine performed it and holds these model versions.
    Done {
        /// Model versions that the engine holds.
        loaded: Vec<ModelVersion>,
    },
    /// The engine has seen a higher fencing number.
    Fenced {
        /// The highest number it has seen.
        seen: u64,
    },
    /// No result, or an error.
    Failed,
}

/// Inputs of an [`EngineCommander`].
#[derive(Clone, Debug)]
pub enum CommandInput {
    /// Engines of the configuration in effect.
    Targets {
        /// Configuration version.
        version: u64,
        /// Engines. Replaces the earlier list.
        engines: Vec<EngineTarget>,
    },
    /// Live instances, including this one.
    Live(Vec<InstanceId>),
    /// Views may be stale: no command is sent until they are fresh.
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
    /// Time passed.
    Tick,
}

/// Effects of an [`EngineCommander`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommandEffect {
    /// Send a command; its result comes as `CommandInput::Finished`.
    Send {
        /// The engine.
        server: ServerId,
        /// Fencing number.
        fence: u64,
        /// What to do.
        action: CommandAction,
        /// With which model version.
        model: ModelVersion,
    },
}

#[derive(Clone, Debug)]
struct EngineState {
    target: EngineTarget,
    /// Model versions that the engine reported in the present tenure; `None` before the
    /// first report.
    loaded: Option<IndexSet<ModelVersion>>,
    /// Fencing number and expiry of the command under way; at most one per engine.
    pending: Option<(u64, Timestamp)>,
    /// Earliest time of the next command.
    next: Timestamp,
}

impl EngineState {
    /// Gets the command that brings the engine nearer to its target.
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
        let surplus = loaded.iter().find(|model| !self.target.models.contains(*model))?;
        Some((CommandAction::Unload, surplus.clone()))
    }
}

value_type! {
    /// State of one engine for operators.
    pub struct TargetDump {
        /// The engine.
        pub server: ServerId,
        /// Model versions that it reported; `None` before the first report.
        pub loaded: Option<Vec<ModelVersion>>,
        /// Whether it is in its target state.
        pub settled: bool,
        /// Whether a command is under way.
        pub pending: bool,
    }
}

/// State of an [`EngineCommander`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct CommanderDump {
    /// Highest fencing number used.
    pub fence: u64,
    /// Whether commands are withheld because views may be stale.
    pub stale: bool,
    /// Engines that this instance manages.
    pub engines: Vec<TargetDump>,
}

/// Brings the engines that this instance manages to their target state.
#[derive(Clone, Debug)]
pub struct EngineCommander {
    params: CommandParams,
    own: InstanceId,
    version: u64,
    /// Last fencing number used. Only rises, and its upper part is the version.
    fence: u64,
    stale: bool,
    live: Vec<InstanceId>,
    targets: Vec<EngineTarget>,
    engines: IndexMap<ServerId, EngineState>,
    pace: LoadPace,
}

impl EngineCommander {
    /// Creates the commander of an instance that knows no engines.
    pub fn new(params: CommandParams, own: InstanceId) -> Self {
        Self {
            pace: LoadPace::new(params.loads_per_minute),
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
                self.assign(now);
            },
            CommandInput::Live(live) => {
                self.pace.share(live.len());
                self.live = live;
                self.assign(now);
            },
            CommandInput::Stale(stale) => self.stale = stale,
            CommandInput::Finished { server, fence, result } => {
                self.finish(now, server, fence, result);
            },
            CommandInput::Tick => {},
        }
        self.command(now, effects);
    }

    /// Returns when to call `handle` with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        if self.stale {
            return None;
        }
        self.engines
            .values()
            .map(|engine| match engine.pending {
                Some((_, expires)) => expires,
                None if self.pace_applies(engine) => {
                    engine.next.max(self.pace.next().unwrap_or_default())
                },
                None => engine.next,
            })
            .min()
    }

    /// Returns the state for operators.
    pub fn dump(&self) -> CommanderDump {
        let engines = self.engines.iter().map(|(&server, engine)| TargetDump {
            server,
            loaded: engine.loaded.as_ref().map(|loaded| loaded.iter().cloned().collect()),
            settled: engine.next_command().is_none(),
            pending: engine.pending.is_some(),
        });
        CommanderDump { fence: self.fence, stale: self.stale, engines: engines.collect() }
    }

    /// Takes over the engines that this instance ranks first for, and drops the others.
    fn assign(&mut self, now: Timestamp) {
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
                next: now,
            });
            if engine.target != *target {
                engine.target = target.clone();
                engine.next = now;
            }
            engines.insert(target.server, engine);
        }
        self.engines = engines;
    }

    fn pace_applies(&self, engine: &EngineState) -> bool {
        matches!(engine.next_command(), Some((CommandAction::Load, _)))
    }

    fn command(&mut self, now: Timestamp, effects: &mut Vec<CommandEffect>) {
        for (&server, engine) in &mut self.engines {
            if engine.pending.is_some_and(|(_, expires)| expires <= now) {
                engine.pending = None;
                engine.next = now + self.params.retry;
            }
            if self.stale || engine.pending.is_some() || engine.next > now {
                continue;
            }
            let Some((action, model)) = engine.next_command() else {
                // The next command reports again what the engine holds.
                engine.loaded = None;
                engine.next = now + self.params.refresh;
                continue;
            };
            if action == CommandAction::Load && !self.pace.try_take(now) {
                continue;
            }
            self.fence += 1;
            engine.pending = Some((self.fence, now + self.params.timeout));
            effects.push(CommandEffect::Send { server, fence: self.fence, action, model });
        }
    }

    fn finish(&mut self, now: Timestamp, server: ServerId, fence: u64, result: CommandResult) {
        let Some(engine) = self.engines.get_mut(&server) else { return };
        if engine.pending.is_none_or(|(pending, _)| pending != fence) {
            return;
        }
        engine.pending = None;
        match result {
            CommandResult::Done { loaded } => {
                engine.loaded = Some(loaded.into_iter().collect());
                let settled = engine.next_command().is_none();
                engine.next = if settled { now + self.params.refresh } else { now };
            },
            CommandResult::Fenced { seen } => {
                engine.next = now + self.params.retry;
                // A number of a newer configuration is not outbid: the instance that has it
                // commands this engine, and this one waits for that configuration.
                if seen >> FENCE_COUNTER_BITS == self.version {
                    self.fence = self.fence.max(seen);
                }
            },
            CommandResult::Failed => engine.next = now + self.params.retry,
        }
    }
}
