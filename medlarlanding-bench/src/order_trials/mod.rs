//! Randomised trials of at-most-once orders.
//!
//! Several processes run in virtual time under faults that are drawn from a seed. A fake
//! service counts executions per order. The same plans run against several designs and
//! against deliberately weakened variants of the product's design.

mod delegate;
mod machine;
mod pair;
mod plan;
mod report;
mod service;
mod tamper;
mod ticket;
mod world;

use argh::FromArgs;

pub use machine::{TrialDesign, TrialMachine};
pub use plan::{PlannedOrder, SECOND, TrialFault, TrialPlan, TrialProfile, TrialTime};
pub use report::{TrialReport, refusals, table};
pub use tamper::TrialTamper;
pub use world::run_trial;

/// compares ways of running orders at most once under faults
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "orders")]
pub struct OrderTrialsOptions {
    /// first seed (default 1)
    #[argh(option, default = "1")]
    pub seed: u64,
    /// number of seeds (default 20)
    #[argh(option, default = "20")]
    pub trials: u64,
    /// seconds of virtual time with arrivals and faults per trial (default 60)
    #[argh(option, default = "60")]
    pub seconds: u64,
    /// profile: calm, mild, faulty, short-limits, cold-start or all (default all)
    #[argh(option, default = "String::from(\"all\")")]
    pub profile: String,
    /// design: majority, pair, ticket, delegate-checked, delegate-unchecked or all (default all)
    #[argh(option, default = "String::from(\"all\")")]
    pub design: String,
    /// deliberate fault of the majority design: none, one-grant, no-fence, empty-copies,
    /// same-incarnation, no-doubt or all (default none)
    #[argh(option, default = "String::from(\"none\")")]
    pub tamper: String,
}

/// Runs the trials of one design with consecutive seeds.
pub fn run_trials(
    seeds: std::ops::Range<u64>,
    profile: TrialProfile,
    seconds: u64,
    design: TrialDesign,
    tamper: TrialTamper,
) -> TrialReport {
    let mut total = TrialReport::default();
    for seed in seeds {
        let plan = TrialPlan::draw(seed, profile, seconds * SECOND);
        total.add(&run_trial(&plan, design, tamper));
    }
    total
}

/// Runs the subcommand.
///
/// # Errors
///
/// Unknown names, and violations of the majority design without deliberate faults.
pub fn run(options: OrderTrialsOptions) -> anyhow::Result<()> {
    let profiles = select(&options.profile, &TrialProfile::ALL, TrialProfile::name)?;
    let designs = select(&options.design, &TrialDesign::ALL, TrialDesign::name)?;
    let tampers = select(&options.tamper, &TrialTamper::ALL, TrialTamper::name)?;
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
            for &tamper in &tampers {
                if tamper != TrialTamper::None && design != TrialDesign::Majority {
                    continue;
                }
                let report = run_trials(seeds.clone(), profile, options.seconds, design, tamper);
                let name = match tamper {
                    TrialTamper::None => design.name().to_owned(),
                    tamper => format!("{} with {}", design.name(), tamper.name()),
                };
                if design == TrialDesign::Majority && tamper == TrialTamper::None {
                    violations.extend(report.violations.iter().cloned());
                }
                rows.push((name, report));
            }
        }
        println!("{}", table(&rows));
        println!("{}", refusals(&rows));
    }
    // The first ones name the seeds to look at.
    for violation in violations.iter().take(30) {
        println!("violation: {violation}");
    }
    anyhow::ensure!(violations.is_empty(), "{} violations", violations.len());
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
            anyhow::bail!("{name:?} is not one of {}, all", names.join(", "))
        },
    }
}
