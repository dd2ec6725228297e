//! Smoke test that runs one of the failure drills.

use medlarlanding_bench::drills::{Drill, run_drill};

/// Guards against a cold start that does not end, runs an order twice, reports a false outcome,
/// exceeds the rate of the weight store by more than one load per instance, or leaves processes
/// running.
#[test]
fn cold_start_breaks_no_invariant() {
    let report = run_drill(Drill::ColdStart, 1).expect("a report of the drill");
    assert_eq!(report.violations, Vec::<String>::new(), "{}", report.markdown());
}
