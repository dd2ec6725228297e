//! Randomised trials of at-most-once orders.
//!
//! Each trial simulates several processes in virtual time, with faults drawn from a seed, and
//! a fake service that counts the executions of each order. The same plans run against several
//! designs and against variants of the product's design with an injected defect.

mod defect;
mod delegate;
mod machine;
mod pair;
mod plan;
mod report;
mod service;
mod simulation;
mod ticket;

use argh::FromArgs;

pub use defect::TrialDefect;
pub use machine::{TrialDesign, TrialMachine};
pub use plan::{PlannedOrder, SECOND, TrialFault, TrialPlan, TrialProfile, TrialTime};
pub use report::{TrialReport, refusals, table};
pub use simulation::run_trial;

/// compares designs that run orders at most once, under injected faults
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "orders")]
pub struct OrderTrialsOptions {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds (default 20)
    #[argh(option, default = "20")]
    pub trials: u64,
    /// seconds of virtual time per trial in which orders arrive and faults occur (default 60)
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// profile: calm, mild, faulty, short-limits, cold-start or all (default all)
    #[argh(option, default = "String::from(\"all\")")]
    pub profile: String,
    /// design: majority, pair, ticket, delegate-checked, delegate-unchecked or all (default all)
    #[argh(option, default = "String::from(\"all\")")]
    pub design: String,
    /// defect injected into the majority design: none, one-grant, no-fence, empty-copies,
    /// same-incarnation, no-doubt or all (default none)
    #[argh(option, default = "String::from(\"none\")")]
    pub tamper: String,
}

/// Runs one trial of a design per seed and returns the sum of their reports.
pub fn run_trials(
    seeds: std::ops::Range<u64>,
    profile: TrialProfile,
    seconds: u64,
    design: TrialDesign,
    defect: TrialDefect,
) -> TrialReport {
    let mut total = TrialReport::default();
    for seed in seeds {
        let plan = TrialPlan::draw(seed, profile, seconds * SECOND);
        total.add(&run_trial(&plan, design, defect));
    }
    total
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if an option has an unknown name, or if the majority design without a defect has
/// violations.
pub fn run(options: OrderTrialsOptions) -> anyhow::Result<()> {
    let profiles = select(&options.profile, &TrialProfile::ALL, TrialProfile::name)?;
    let designs = select(&options.design, &TrialDesign::ALL, TrialDesign::name)?;
    let defects = select(&options.tamper, &TrialDefect::ALL, TrialDefect::name)?;
    let seeds = options.seed..options.seed + options.trials;
    let mut violations = Vec::new();
    for profile in profiles {
        println!(
            "profile {}, seeds {} to {}, {} s each\n",
            profile.name(),
            seeds.start,
            seeds.end - 1,
            options.seconds
        );
        let mut rows = Vec::new();
        for &design in &designs {
            for &defect in &defects {
                if defect != TrialDefect::None && design != TrialDesign::Majority {
                    continue;
                }
                let report = run_trials(seeds.clone(), profile, options.seconds, design, defect);
                let name = match defect {
                    TrialDefect::None => design.name().to_owned(),
                    defect => format!("{} with {}", design.name(), defect.name()),
                };
                if design == TrialDesign::Majority && defect == TrialDefect::None {
                    violations.extend(report.violations.iter().cloned());
                }
                rows.push((name, report));
            }
        }
        println!("{}", table(&rows));
        println!("{}", refusals(&rows));
    }
    // Each violation names its seed; 30 are enough to choose a trial to repeat.
    for violation in violations.iter().take(30) {
        println!("violation: {violation}");
    }
    anyhow::ensure!(
        violations.is_empty(),
        "{} violations in the majority design",
        violations.len()
    );
    Ok(())
}

fn select<T: Copy>(
    name: &str,
    all: &[T],
    name_of: fn(T) -> &'static str,
) -> anyhow::Result<Vec<T>> {
    if name == "all" {
        return Ok(all.to_vec());
    }
    match all.iter().find(|&&value| name_of(value) == name) {
        Some(&value) => Ok(vec![value]),
        None => {
            let names: Vec<_> = all.iter().map(|&value| name_of(value)).collect();
            anyhow::bail!("unknown name {name:?}; expected one of: {}, all", names.join(", "))
        },
    }
}
