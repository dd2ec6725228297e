//! Randomised trials of at-most-once orders in virtual time.
//!
//! `ORDER_TRIALS=N` runs N seeds per profile instead of the few that fit a CI run.

use medlarlanding_bench::order_trials::{TrialDesign, TrialProfile, TrialTamper, run_trials};

const FIRST_SEED: u64 = 1;

fn trials(default: u64) -> u64 {
    std::env::var("ORDER_TRIALS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn holds(profile: TrialProfile, default: u64) {
    let seeds = FIRST_SEED..FIRST_SEED + trials(default);
    println!("profile {}, seeds {seeds:?}", profile.name());
    let report = run_trials(seeds, profile, 30, TrialDesign::Majority, TrialTamper::None);
    assert!(report.executed > 0);
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against double executions and false answers without faults.
#[test]
fn calm_trials_hold() {
    holds(TrialProfile::Calm, 1);
}

/// Guards against double executions and false answers under faults.
#[test]
fn faulty_trials_hold() {
    holds(TrialProfile::Faulty, 2);
}

/// Guards against faults at the ends of retention, doubt, idle memory and list age.
#[test]
fn short_limit_trials_hold() {
    holds(TrialProfile::ShortLimits, 2);
}

/// Guards against double executions after a start without any memory.
#[test]
fn cold_start_trials_hold() {
    holds(TrialProfile::ColdStart, 2);
}

/// Guards against a harness that cannot detect a double execution.
#[test]
fn weakened_protocol_is_detected() {
    for tamper in [TrialTamper::OneGrant, TrialTamper::EmptyCopies] {
        let seeds = FIRST_SEED..FIRST_SEED + 2;
        println!("{}, seeds {seeds:?}", tamper.name());
        let report = run_trials(seeds, TrialProfile::Faulty, 30, TrialDesign::Majority, tamper);
        assert!(report.double_executions > 0, "{} goes undetected", tamper.name());
    }
}
