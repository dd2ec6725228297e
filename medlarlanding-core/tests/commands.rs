//! Commands to engines: fencing, rate of loads, changes of manager.

use std::time::Duration;

use medlarlanding_core::commands::{
    CommandAction, CommandEffect, CommandInput, CommandParams, CommandResult, EngineController,
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

/// An engine that follows the published interface, with the checks of fencing numbers optional.
#[derive(Clone, Default)]
struct FakeEngine {
    checks_fencing: bool,
    /// Highest fencing number seen.
    fence: u64,
    loaded: IndexSet<ModelVersion>,
    /// Times at which a model version was loaded that was not loaded before.
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
        if self.checks_fencing && fence < self.fence {
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

/// Controllers, one per instance, and the engines that they command, in simulated time.
struct CommandSim {
    now: Timestamp,
    controllers: Vec<EngineController>,
    engines: Vec<FakeEngine>,
}

impl CommandSim {
    fn new(
        controllers: usize,
        engines: usize,
        checks_fencing: bool,
        params: &CommandParams,
    ) -> Self {
        let controller = |number| EngineController::new(params.clone(), instance(number));
        Self {
            now: Timestamp::from_millis(1),
            controllers: (0..controllers).map(controller).collect(),
            engines: vec![FakeEngine { checks_fencing, ..FakeEngine::default() }; engines],
        }
    }

    /// Passes an input to a controller, and the results of its commands until it sends none.
    fn handle(&mut self, controller: usize, input: CommandInput) {
        let mut effects = Vec::new();
        self.controllers[controller].handle(self.now, input, &mut effects);
        while let Some(CommandEffect::Send { server: id, fence, action, model }) = effects.pop() {
            let engine = (0..self.engines.len()).find(|&number| server(number) == id);
            let engine = &mut self.engines[engine.expect("a known engine")];
            let result = engine.perform(self.now, fence, action, &model);
            let finished = CommandInput::Finished { server: id, fence, result };
            self.controllers[controller].handle(self.now, finished, &mut effects);
        }
    }

    /// Sets the live instances and the targets that a controller knows, and marks both as not
    /// stale.
    fn set_view(
        &mut self,
        controller: usize,
        live: &[usize],
        version: u64,
        targets: &[EngineTarget],
    ) {
        self.handle(controller, CommandInput::Live(live.iter().map(|&n| instance(n)).collect()));
        self.handle(controller, CommandInput::Targets { version, engines: targets.to_vec() });
        self.handle(controller, CommandInput::Stale(false));
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + Duration::from_millis(500);
            for controller in 0..self.controllers.len() {
                self.handle(controller, CommandInput::Tick);
            }
        }
    }
}

/// Guards against engines that stay without a model that the configuration names, and
/// against more loads per minute than the weight store allows.
#[test]
fn cold_fleet_loads_within_the_rate() {
    let params = CommandParams { loads_per_minute: 30, ..CommandParams::default() };
    let mut sim = CommandSim::new(6, 12, true, &params);
    let targets: Vec<_> = (0..12).map(|number| target(number, &["v3", "v4"], true)).collect();
    for controller in 0..6 {
        sim.set_view(controller, &[0, 1, 2, 3, 4, 5], 1, &targets);
    }
    sim.run(Duration::from_secs(240));
    let mut loads: Vec<_> = sim.engines.iter().flat_map(|engine| engine.loads.clone()).collect();
    assert_eq!(loads.len(), 24, "each engine loads both versions once");
    loads.sort();
    // A minute may have one extra load per instance, because the first load of each instance is
    // not delayed.
    let most = loads
        .iter()
        .map(|&start| {
            let end = start + Duration::from_secs(60);
            loads.iter().filter(|&&at| start <= at && at < end).count()
        })
        .max();
    assert!(most <= Some(30 + 6), "{most:?} loads within a minute");
}

/// Guards against a manager that still has an old configuration, as after a pause, and unloads a
/// model that a newer configuration needs, or uses higher fencing numbers than the instance that
/// has the newer configuration.
#[test]
fn old_configuration_does_not_override_a_newer_one() {
    let mut sim = CommandSim::new(2, 1, true, &CommandParams::default());
    sim.set_view(0, &[0], 1, &[target(0, &["v3"], true)]);
    sim.set_view(1, &[1], 2, &[target(0, &["v4"], true)]);
    sim.run(Duration::from_secs(30));
    sim.handle(0, CommandInput::Live(vec![instance(0)]));
    sim.run(Duration::from_secs(900));
    let loaded: Vec<_> = sim.engines[0].loaded.iter().cloned().collect();
    assert_eq!(loaded, [model("v4")]);
    assert_eq!(sim.engines[0].fence >> 20, 2);
}

/// Guards against unload commands to engines that ignore fencing numbers, on which an instance
/// with an old configuration could unload a model that a newer one needs.
#[test]
fn engines_without_fencing_are_never_told_to_unload() {
    let mut sim = CommandSim::new(1, 1, false, &CommandParams::default());
    sim.engines[0].loaded.insert(model("v2"));
    sim.set_view(0, &[0], 1, &[target(0, &["v3"], false)]);
    sim.run(Duration::from_secs(900));
    assert!(sim.engines[0].loaded.contains(&model("v2")));
    assert!(sim.engines[0].loaded.contains(&model("v3")));
}

/// Guards against commands sent from a configuration or list of instances that may be stale, as
/// after a pause.
#[test]
fn stale_views_send_nothing() {
    let mut sim = CommandSim::new(1, 1, true, &CommandParams::default());
    let targets = CommandInput::Targets { version: 1, engines: vec![target(0, &["v3"], true)] };
    sim.handle(0, targets);
    sim.run(Duration::from_secs(60));
    assert_eq!(sim.engines[0].fence, 0);
}

/// Guards against an engine that never reaches the newest target state when its manager changes
/// at random, configurations arrive late and engines restart without their models.
#[test]
fn random_changes_end_in_the_newest_target() {
    fn property(seed: u64) -> bool {
        let mut rng = SmallRng::seed_from_u64(seed);
        let refresh = Duration::from_secs(300);
        let params = CommandParams { refresh, ..CommandParams::default() };
        let mut sim = CommandSim::new(3, 4, rng.random(), &params);
        let checks_fencing = sim.engines[0].checks_fencing;
        let versions = ["v1", "v2", "v3", "v4"];
        let targets = |version: u64| -> Vec<_> {
            let named = versions[version as usize % 4];
            (0..4).map(|number| target(number, &[named], checks_fencing)).collect()
        };
        let mut newest = 1;
        for _ in 0..20 {
            newest += rng.random_range(0..2);
            let controller = rng.random_range(0..3);
            let version = rng.random_range(1..=newest);
            let live: Vec<_> = (0..3).filter(|&n| n == controller || rng.random()).collect();
            sim.set_view(controller, &live, version, &targets(version));
            if rng.random_bool(0.2) {
                sim.engines[rng.random_range(0..4)].loaded.clear();
            }
            sim.run(Duration::from_secs(rng.random_range(1..20)));
        }
        for controller in 0..3 {
            sim.set_view(controller, &[0, 1, 2], newest, &targets(newest));
        }
        sim.run(Duration::from_secs(900));
        let wanted = model(versions[newest as usize % 4]);
        sim.engines.iter().all(|engine| {
            engine.loaded.contains(&wanted) && (!checks_fencing || engine.loaded.len() == 1)
        })
    }
    println!("seed {SEED:#x}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(100, SEED))
        .tests(200)
        .quickcheck(property as fn(u64) -> bool);
}
