//! Invariants that every policy must keep under every fault, checked in short experiments.

use medlarlanding_bench::experiment::measures::RunFigures;
use medlarlanding_bench::experiment::plan::{
    Deployment, DeploymentKind, ExperimentPlan, FaultKind, PolicyKind,
};
use medlarlanding_bench::experiment::workload::arrivals;
use medlarlanding_bench::experiment::{RunKey, run_one, run_plan};
use medlarlanding_bench::report;
use medlarlanding_core::cases;

fn small_plan() -> ExperimentPlan {
    ExperimentPlan {
        warmup_s: 10.0,
        window_s: 20.0,
        drain_s: 900.0,
        instances: 3,
        seeds: vec![1],
        ..ExperimentPlan::default()
    }
}

fn run_small(policy: PolicyKind, fault: FaultKind, deployment: DeploymentKind) -> RunFigures {
    let key = RunKey { deployment, policy, fault, load: 0.5, rate: 5.0, seed: 7 };
    run_one(&small_plan(), key)
}

/// Checks that every request ends and that no answer is wrong.
fn check((policy, fault, deployment): (PolicyKind, FaultKind, DeploymentKind)) {
    let figures = run_small(policy, fault, deployment);
    let ends = figures.total.ends;
    println!("{ends:?}");
    assert!(ends.arrived > 50);
    assert_eq!(ends.open, 0, "every request must end");
    assert_eq!(ends.inaccurate, 0, "no answer may be wrong");
    assert_eq!(ends.arrived, ends.complete + ends.rejected + ends.deadline + ends.lost);
    if fault == FaultKind::None {
        assert_eq!(ends.complete, ends.arrived, "at a low load every answer is complete");
    }
}

cases! { check;
    /// Guards against lost requests in the baselines and the admission subsystem.
    round_robin_serves_nile =>
        (PolicyKind::RoundRobin, FaultKind::None, DeploymentKind::Nile),
    least_outstanding_serves_nile =>
        (PolicyKind::LeastOutstanding, FaultKind::None, DeploymentKind::Nile),
    two_choices_serves_consortium =>
        (PolicyKind::TwoChoices, FaultKind::None, DeploymentKind::Consortium),
    admission_serves_nile =>
        (PolicyKind::Admission, FaultKind::None, DeploymentKind::Nile),
    admission_serves_consortium =>
        (PolicyKind::Admission, FaultKind::None, DeploymentKind::Consortium),
    /// Guards against requests that never end after a server was killed and an instance paused.
    admission_ends_requests_under_faults =>
        (PolicyKind::Admission, FaultKind::KillAndPause, DeploymentKind::Nile),
    least_outstanding_ends_requests_under_faults =>
        (PolicyKind::LeastOutstanding, FaultKind::KillAndPause, DeploymentKind::Nile),
}

/// Guards against a reservation baseline that overcommits memory, which would cause preemptions.
#[test]
fn reservation_never_preempts() {
    let figures = run_small(PolicyKind::Reservation, FaultKind::None, DeploymentKind::Nile);
    assert_eq!(figures.preemptions, 0);
    assert!(figures.total.ends.complete > 0);
}

/// Guards against runs that depend on anything but the seed.
#[test]
fn same_seed_gives_same_figures() {
    let run = || run_small(PolicyKind::Admission, FaultKind::None, DeploymentKind::Consortium);
    assert_eq!(run(), run());
}

/// Guards against unpaired runs, which cannot be compared: with the same seed, another rate or a
/// noisy customer must not change the other requests.
#[test]
fn arrivals_are_paired() {
    let deployment = Deployment::new(DeploymentKind::Nile);
    let slow = arrivals(&deployment, 8, FaultKind::None, 5.0, 60.0, 3);
    let fast = arrivals(&deployment, 8, FaultKind::None, 10.0, 60.0, 3);
    assert!(slow.len() > 200 && fast.len() > slow.len());
    for (slow, fast) in slow.iter().zip(&fast) {
        assert_eq!(
            (slow.class, slow.customer, slow.prompt_tokens, slow.output_tokens),
            (fast.class, fast.customer, fast.prompt_tokens, fast.output_tokens)
        );
    }
    let noisy = arrivals(&deployment, 8, FaultKind::NoisyCustomer, 5.0, 60.0, 3);
    assert!(slow.iter().all(|arrival| noisy.contains(arrival)));
    assert!(noisy.len() > slow.len());
}

/// Guards against output lengths without a heavy tail: more than 1% of the drafts must be longer
/// than five times the median.
#[test]
fn output_lengths_are_heavy_tailed() {
    let deployment = Deployment::new(DeploymentKind::Nile);
    let all = arrivals(&deployment, 8, FaultKind::None, 20.0, 300.0, 5);
    let drafts: Vec<_> = all.iter().filter(|arrival| arrival.class == 0).collect();
    let long = drafts.iter().filter(|arrival| arrival.output_tokens > 6000).count();
    assert!(long * 100 > drafts.len(), "{long} of {}", drafts.len());
}

/// Guards against results that cannot be read back, and missing plots.
#[test]
fn writes_results_report_and_plots() {
    let plan = ExperimentPlan {
        deployments: vec![DeploymentKind::Nile],
        policies: vec![PolicyKind::LeastOutstanding, PolicyKind::Admission],
        loads: vec![0.5, 1.0],
        capacity: Some(4.0),
        warmup_s: 2.0,
        window_s: 5.0,
        ..small_plan()
    };
    let results = run_plan(&plan, 2);
    assert_eq!(results.runs.len(), 4);
    let directory = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join("experiment_report");
    report::write(&results, &directory).expect("the report can be written");
    let json = std::fs::read_to_string(directory.join("results.json")).expect("results exist");
    let read: report::ExperimentResults = serde_json::from_str(&json).expect("results parse");
    assert_eq!(read.runs.len(), 4);
    let text = std::fs::read_to_string(directory.join("report.md")).expect("report exists");
    assert!(text.contains("| 1 | admission |"), "{text}");
    let plot = std::fs::read_to_string(directory.join("nile_gap_p99.svg")).expect("plot exists");
    assert!(plot.contains("admission"));
}
