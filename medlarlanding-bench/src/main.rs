//! Command line of the bench.

#![forbid(unsafe_code)]

use medlarlanding_bench::stand_ins::{engine, platform, service};
use medlarlanding_bench::{cost, demo, drills, experiment, fleet_trials, load, order_trials, soak};

use argh::FromArgs;

/// Stand-ins, load generator and experiments for medlarlanding.
#[derive(FromArgs, Debug)]
struct BenchOptions {
    #[argh(subcommand)]
    command: BenchCommand,
}

#[derive(FromArgs, Debug)]
#[argh(subcommand)]
enum BenchCommand {
    Demo(demo::DemoOptions),
    Drills(drills::DrillsOptions),
    Engine(engine::EngineOptions),
    Service(service::ServiceOptions),
    Platform(platform::PlatformOptions),
    Load(load::LoadOptions),
    Experiment(experiment::ExperimentOptions),
    Cost(cost::CostOptions),
    Orders(order_trials::OrderTrialsOptions),
    Fleet(fleet_trials::FleetTrialsOptions),
    Soak(soak::SoakOptions),
}

fn main() -> anyhow::Result<()> {
    let options: BenchOptions = argh::from_env();
    match options.command {
        BenchCommand::Demo(options) => demo::run(options),
        BenchCommand::Drills(options) => drills::run(options),
        BenchCommand::Engine(options) => engine::run(options),
        BenchCommand::Service(options) => service::run(options),
        BenchCommand::Platform(options) => platform::run(options),
        BenchCommand::Load(options) => load::run(options),
        BenchCommand::Experiment(options) => experiment::run(options),
        BenchCommand::Cost(options) => cost::run(options),
        BenchCommand::Orders(options) => order_trials::run(options),
        BenchCommand::Fleet(options) => fleet_trials::run(options),
        BenchCommand::Soak(options) => soak::run(options),
    }
}
