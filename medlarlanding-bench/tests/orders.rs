//! Randomised trials of at-most-once orders in virtual time.
//!
//! The environment variable `ORDER_TRIALS=N` sets the number of seeds per profile. The default
//! is small enough for CI.

use medlarlanding_core::cases;

use medlarlanding_bench::order_trials::{TrialDefect, TrialDesign, TrialProfile, run_trials};

const FIRST_SEED: u64 = 1;

fn trial_count(default: u64) -> u64 {
    std::env::var("ORDER_TRIALS").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn assert_no_violations(profile: TrialProfile, default: u64) {
    let seeds = FIRST_SEED..FIRST_SEED + trial_count(default);
    println!("profile {}, seeds {seeds:?}", profile.name());
    let report = run_trials(seeds, profile, 30, TrialDesign::Majority, TrialDefect::None);
    assert!(report.executed > 0);
    assert_eq!(report.violations, Vec::<String>::new());
}

/// Guards against double executions and false answers without faults.
#[test]
fn calm_trials_hold() {
    assert_no_violations(TrialProfile::Calm, 1);
}

/// Guards against double executions and false answers under faults.
#[test]
fn faulty_trials_hold() {
    assert_no_violations(TrialProfile::Faulty, 2);
}

/// Guards against violations when the retention, the doubt, the idle limit or the list limit
/// runs out.
#[test]
fn short_limit_trials_hold() {
    assert_no_violations(TrialProfile::ShortLimits, 2);
}

/// Guards against double executions after all partitions have started empty.
#[test]
fn cold_start_trials_hold() {
    assert_no_violations(TrialProfile::ColdStart, 2);
}

/// Runs seeds until an injected defect causes a double execution.
fn assert_detected(defect: TrialDefect) {
    // The rarest of these defects causes a double execution in about one seed of eight.
    let detected = (FIRST_SEED..FIRST_SEED + 60).find(|&seed| {
        let seeds = seed..seed + 1;
        let report = run_trials(seeds, TrialProfile::Faulty, 20, TrialDesign::Majority, defect);
        report.double_executions > 0
    });
    println!("{}: first detected with seed {detected:?}", defect.name());
    assert!(detected.is_some(), "defect {} was not detected in 60 seeds", defect.name());
}

// Each case guards against trials that cannot detect a double execution. `TrialDefect::NoFence`
// is not among them: it is detected in one seed of twenty, and the test
// `copies_fence_their_providers` of the core crate covers the fence.
cases! { assert_detected;
    one_grant_is_detected => TrialDefect::OneGrant,
    empty_copies_are_detected => TrialDefect::EmptyCopies,
    reused_incarnation_is_detected => TrialDefect::SameIncarnation,
    missing_doubt_is_detected => TrialDefect::NoDoubt,
}

/// Guards against a comparison in which a design without claims looks as safe as one with claims.
#[test]
fn delegation_without_checks_runs_orders_twice() {
    let (design, defect) = (TrialDesign::DelegateUnchecked, TrialDefect::None);
    let seeds = FIRST_SEED..FIRST_SEED + 1;
    let report = run_trials(seeds, TrialProfile::Calm, 20, design, defect);
    assert!(report.double_executions > 0);
}
