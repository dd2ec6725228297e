//! Smoke test of the smallest failure drill.

use medlarlanding_bench::drills::{Drill, run_drill};

/// Guards against a cold start that does not end, runs an order twice, answers untruthfully,
/// exceeds the rate of the weight store by more than one load per instance, or leaves
/// processes behind.
#[test]
fn cold_start_breaks_no_invariant() {
    let report = run_drill(Drill::ColdStart, 1).expect("a drill that ends");
    assert_eq!(report.violations, Vec::<String>::new(), "{}", report.markdown());
}
