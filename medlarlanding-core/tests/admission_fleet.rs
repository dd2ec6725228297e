//! Randomised runs of a fleet of admission controllers under failures.

mod admission_sim;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use admission_sim::{FleetOutcome, FleetPlan, FleetSim};
use medlarlanding_core::admission::AdmissionParams;
use medlarlanding_core::cases;
use medlarlanding_core::wire::DATAGRAM_LIMIT;

/// Number of seeds per plan, counted from 1; the variable `ADMISSION_SEEDS` overrides it.
const SEEDS: u64 = 6;

fn seeds() -> u64 {
    std::env::var("ADMISSION_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Runs a plan with each seed and checks the conditions common to all plans.
fn check(plan: FleetPlan) -> Vec<FleetOutcome> {
    (1..=seeds())
        .map(|seed| {
            println!("seed {seed}");
            let mut sim = FleetSim::new(plan.clone(), seed);
            let outcome = sim.run();
            println!("{outcome:?}");
            assert_eq!(sim.unanswered().len(), 0, "every request must end: {:?}", sim.unanswered());
            assert_eq!(outcome.open_left, 0, "no open request may be left");
            assert_eq!(outcome.permits_left, 0, "no permit and no queue entry may be left");
            assert!(outcome.largest_datagram <= DATAGRAM_LIMIT, "datagrams must fit");
            if plan.pauses == 0 {
                assert_eq!(outcome.late_refusals, 0, "refusals must come before the deadline");
            }
            assert!(outcome.completed > 0);
            outcome
        })
        .collect()
}

cases! { check;
    /// Guards against permits that are never removed and requests that wait forever when messages
    /// are lost.
    survives_loss => FleetPlan { loss: 0.2, ..FleetPlan::default() },
    /// Guards against permits that a repeated or delayed message restores.
    survives_repeated_and_late_messages =>
        FleetPlan { doubled: 0.2, late: 0.1, ..FleetPlan::default() },
    /// Guards against permits of dead instances that never lapse.
    survives_deaths => FleetPlan { kills: 2, ..FleetPlan::default() },
    /// Guards against decisions based on outdated state after a pause.
    survives_pauses => FleetPlan { pauses: 4, ..FleetPlan::default() },
    /// Guards against failures that only combined faults cause.
    survives_combined_faults => FleetPlan {
        loss: 0.1,
        doubled: 0.1,
        late: 0.05,
        kills: 2,
        pauses: 4,
        rate: 16.0,
        ..FleetPlan::default()
    },
    /// Guards against a single instance that waits for peers.
    single_instance_serves => FleetPlan { instances: 1, ..FleetPlan::default() },
}

/// Guards against grants beyond the largest batch or the customer limit in runs without faults.
#[test]
fn keeps_limits_without_faults() {
    let plan = FleetPlan { rate: 40.0, open_limit: 20, max_batch: 8, ..FleetPlan::default() };
    for outcome in check(plan) {
        assert!(outcome.largest_batch <= 8, "batch {}", outcome.largest_batch);
        assert!(outcome.largest_open <= 20, "open {}", outcome.largest_open);
        assert!(outcome.refused > 0, "the plan must exceed the limits");
    }
}

/// Guards against permits for a server that is leaving.
#[test]
fn gives_no_permits_at_leaving_server() {
    for seed in 1..=seeds() {
        println!("seed {seed}");
        let mut sim = FleetSim::new(FleetPlan::default(), seed);
        sim.close_server(0, Duration::from_secs(10));
        let outcome = sim.run();
        assert_eq!(outcome.permits_left, 0);
        // Grants that were already in transit when the configuration changed are allowed.
        assert!(outcome.grants_at_closed <= 2, "{} late grants", outcome.grants_at_closed);
    }
}

/// Shows that the accounts' invariant check detects permits that are never removed because
/// leases do not expire.
#[test]
fn unexpired_permits_are_detected() {
    let params = AdmissionParams { expire_leases: false, ..AdmissionParams::default() };
    let plan = FleetPlan { kills: 2, params, ..FleetPlan::default() };
    let violated = (1..=SEEDS).any(|seed| {
        let run = AssertUnwindSafe(|| FleetSim::new(plan.clone(), seed).run());
        catch_unwind(run).is_err()
    });
    assert!(violated, "the invariant must detect permits that never lapse");
}
