//! Commands to engines: fencing, pace of loads, changes of manager.

use std::time::Duration;

use medlarlanding_core::commands::{
    CommandAction, CommandEffect, CommandInput, CommandParams, CommandResult, EngineCommander,
    EngineTarget,
};
use medlarlanding_core::config::ModelVersion;
use medlarlanding_core::ids::{InstanceId, ServerId};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexSet;
use quickcheck::{Gen, QuickCheck};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const SEED: u64 = 0x636d_6473;

fn instance(number: usize) -> InstanceId {
    InstanceId::from_name(&format!("entry-{number}"))
}

fn server(number: usize) -> ServerId {
    ServerId::from_name(&format!("gpu-{number}"))
}

fn model(version: &str) -> ModelVersion {
    ModelVersion { model: "fossil-writer".to_owned(), version: version.to_owned() }
}

fn target(number: usize, versions: &[&str], checks_fencing: bool) -> EngineTarget {
    let models = versions.iter().map(|version| model(version)).collect();
    EngineTarget { server: server(number), models, checks_fencing }
}

/// An engine that follows the published interface.
#[derive(Clone, Default)]
struct FakeEngine {
    checks: bool,
    fence: u64,
    loaded: IndexSet<ModelVersion>,
    loads: Vec<Timestamp>,
}

impl FakeEngine {
    fn perform(
        &mut self,
        now: Timestamp,
        fence: u64,
        action: CommandAction,
        model: &ModelVersion,
    ) -> CommandResult {
        if self.checks && fence < self.fence {
            return CommandResult::Fenced { seen: self.fence };
        }
        self.fence = self.fence.max(fence);
        match action {
            CommandAction::Load => {
                if self.loaded.insert(model.clone()) {
                    self.loads.push(now);
                }
            },
            CommandAction::Unload => {
                self.loaded.swap_remove(model);
            },
        }
        CommandResult::Done { loaded: self.loaded.iter().cloned().collect() }
    }
}

struct CommandTrial {
    now: Timestamp,
    commanders: Vec<EngineCommander>,
    engines: Vec<FakeEngine>,
}

impl CommandTrial {
    fn new(commanders: usize, engines: usize, checks: bool, params: &CommandParams) -> Self {
        let commander = |number| EngineCommander::new(params.clone(), instance(number));
        Self {
            now: Timestamp::from_millis(1),
            commanders: (0..commanders).map(commander).collect(),
            engines: vec![FakeEngine { checks, ..FakeEngine::default() }; engines],
        }
    }

    fn input(&mut self, commander: usize, input: CommandInput) {
        let mut effects = Vec::new();
        self.commanders[commander].handle(self.now, input, &mut effects);
        while let Some(CommandEffect::Send { server: id, fence, action, model }) = effects.pop() {
            let engine = (0..self.engines.len()).find(|&number| server(number) == id);
            let engine = &mut self.engines[engine.expect("a known engine")];
            let result = engine.perform(self.now, fence, action, &model);
            let finished = CommandInput::Finished { server: id, fence, result };
            self.commanders[commander].handle(self.now, finished, &mut effects);
        }
    }

    fn view(&mut self, commander: usize, live: &[usize], version: u64, targets: &[EngineTarget]) {
        self.input(commander, CommandInput::Live(live.iter().map(|&n| instance(n)).collect()));
        self.input(commander, CommandInput::Targets { version, engines: targets.to_vec() });
        self.input(commander, CommandInput::Stale(false));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(500);
            for commander in 0..self.commanders.len() {
                self.input(commander, CommandInput::Tick);
            }
        }
    }
}

/// Guards against engines that stay without a model that the configuration names, and
/// against more loads per minute than the weight store allows.
#[test]
fn cold_fleet_loads_within_the_rate() {
    let params = CommandParams { loads_per_minute: 30, ..CommandParams::default() };
    let mut trial = CommandTrial::new(6, 12, true, &params);
    let targets: Vec<_> = (0..12).map(|number| target(number, &["v3", "v4"], true)).collect();
    for commander in 0..6 {
        trial.view(commander, &[0, 1, 2, 3, 4, 5], 1, &targets);
    }
    trial.run(Duration::from_secs(240));
    let mut loads: Vec<_> = trial.engines.iter().flat_map(|engine| engine.loads.clone()).collect();
    assert_eq!(loads.len(), 24, "each engine loads both versions once");
    loads.sort();
    // A window may hold one extra load per instance, because each starts with one at once.
    let most = loads
        .iter()
        .map(|&start| {
            let end = start + Duration::from_secs(60);
            loads.iter().filter(|&&at| start <= at && at < end).count()
        })
        .max();
    assert!(most <= Some(30 + 6), "{most:?} loads within a minute");
}

/// Guards against a paused manager that removes what a newer configuration needs, or that
/// outbids the instance that has it.
#[test]
fn old_configuration_does_not_win() {
    let mut trial = CommandTrial::new(2, 1, true, &CommandParams::default());
    trial.view(0, &[0], 1, &[target(0, &["v3"], true)]);
    trial.view(1, &[1], 2, &[target(0, &["v4"], true)]);
    trial.run(Duration::from_secs(30));
    trial.input(0, CommandInput::Live(vec![instance(0)]));
    trial.run(Duration::from_secs(900));
    let loaded: Vec<_> = trial.engines[0].loaded.iter().cloned().collect();
    assert_eq!(loaded, [model("v4")]);
    assert_eq!(trial.engines[0].fence >> 20, 2);
}

/// Guards against commands that could harm on engines that ignore fencing numbers.
#[test]
fn engines_without_fencing_are_never_told_to_unload() {
    let mut trial = CommandTrial::new(1, 1, false, &CommandParams::default());
    trial.engines[0].loaded.insert(model("v2"));
    trial.view(0, &[0], 1, &[target(0, &["v3"], false)]);
    trial.run(Duration::from_secs(900));
    assert!(trial.engines[0].loaded.contains(&model("v2")));
    assert!(trial.engines[0].loaded.contains(&model("v3")));
}

/// Guards against commands from views that may be stale, as after a pause.
#[test]
fn stale_views_send_nothing() {
    let mut trial = CommandTrial::new(1, 1, true, &CommandParams::default());
    let targets = CommandInput::Targets { version: 1, engines: vec![target(0, &["v3"], true)] };
    trial.input(0, targets);
    trial.run(Duration::from_secs(60));
    assert_eq!(trial.engines[0].fence, 0);
}

/// Guards against an engine that never reaches the newest target when managers change at
/// random, configurations arrive late and engines restart without their models.
#[test]
fn random_changes_end_in_the_newest_target() {
    fn holds(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let refresh = Duration::from_secs(300);
        let params = CommandParams { refresh, ..CommandParams::default() };
        let mut trial = CommandTrial::new(3, 4, rng.random(), &params);
        let checks = trial.engines[0].checks;
        let versions = ["v1", "v2", "v3", "v4"];
        let targets = |version: u64| -> Vec<_> {
            let named = versions[version as usize % 4];
            (0..4).map(|number| target(number, &[named], checks)).collect()
        };
        let mut newest = 1;
        for _ in 0..20 {
            newest += rng.random_range(0..2);
            let commander = rng.random_range(0..3);
            let version = rng.random_range(1..=newest);
            let live: Vec<_> = (0..3).filter(|&n| n == commander || rng.random()).collect();
            trial.view(commander, &live, version, &targets(version));
            if rng.random_bool(0.2) {
                trial.engines[rng.random_range(0..4)].loaded.clear();
            }
            trial.run(Duration::from_secs(rng.random_range(1..20)));
        }
        for commander in 0..3 {
            trial.view(commander, &[0, 1, 2], newest, &targets(newest));
        }
        trial.run(Duration::from_secs(900));
        let wanted = model(versions[newest as usize % 4]);
        trial
            .engines
            .iter()
            .all(|engine| engine.loaded.contains(&wanted) && (!checks || engine.loaded.len() == 1))
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(200)
        .quickcheck(holds as fn(u64) -> bool);
}
