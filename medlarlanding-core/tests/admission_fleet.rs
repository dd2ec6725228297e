//! Randomised runs of a fleet of admission controllers under failures.

mod admission_sim;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::time::Duration;

use admission_sim::{FleetOutcome, FleetPlan, FleetSim};
use medlarlanding_core::admission::AdmissionParams;
use medlarlanding_core::cases;
use medlarlanding_core::wire::DATAGRAM_LIMIT;

/// Seeds of the runs in CI; `ADMISSION_SEEDS` sets another number of seeds.
const SEEDS: u64 = 6;

fn seeds() -> u64 {
    std::env::var("ADMISSION_SEEDS").ok().and_then(|text| text.parse().ok()).unwrap_or(SEEDS)
}

/// Runs a plan with every seed and checks what must hold in all of them.
fn check(plan: FleetPlan) -> Vec<FleetOutcome> {
    (1..=seeds())
        .map(|seed| {
            println!("seed {seed}");
            let mut sim = FleetSim::new(plan.clone(), seed);
            let outcome = sim.run();
            println!("{outcome:?}");
            assert_eq!(sim.unanswered().len(), 0, "every request must end: {:?}", sim.unanswered());
            assert_eq!(outcome.open_left, 0, "requests must be forgotten");
            assert_eq!(outcome.left_over, 0, "no permit and no queue entry may be left");
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
    /// Guards against leaks and waits without end on a lossy network.
    survives_loss => FleetPlan { loss: 0.2, ..FleetPlan::default() },
    /// Guards against permits that a repeated or late message brings back.
    survives_repeated_and_late_messages =>
        FleetPlan { doubled: 0.2, late: 0.1, ..FleetPlan::default() },
    /// Guards against permits of dead instances that never lapse.
    survives_deaths => FleetPlan { kills: 2, ..FleetPlan::default() },
    /// Guards against decisions on outdated state after a pause.
    survives_pauses => FleetPlan { pauses: 4, ..FleetPlan::default() },
    /// Guards against combinations of the above.
    survives_everything_together => FleetPlan {
        loss: 0.1,
        doubled: 0.1,
        late: 0.05,
        kills: 2,
        pauses: 4,
        rate: 16.0,
        ..FleetPlan::default()
    },
    /// Guards against a fleet of one instance that waits for peers.
    serves_alone => FleetPlan { instances: 1, ..FleetPlan::default() },
}

/// Guards against grants beyond the batch or the customer limit while nothing fails.
#[test]
fn keeps_limits_without_faults() {
    let plan = FleetPlan { rate: 40.0, open_limit: 20, max_batch: 8, ..FleetPlan::default() };
    for outcome in check(plan) {
        assert!(outcome.largest_batch <= 8, "batch {}", outcome.largest_batch);
        assert!(outcome.largest_open <= 20, "open {}", outcome.largest_open);
        assert!(outcome.refused > 0, "the plan must exceed the limits");
    }
}

/// Guards against new work at a server that is leaving.
#[test]
fn gives_no_permits_at_leaving_server() {
    for seed in 1..=seeds() {
        println!("seed {seed}");
        let mut sim = FleetSim::new(FleetPlan::default(), seed);
        sim.close_server(0, Duration::from_secs(10));
        let outcome = sim.run();
        assert_eq!(outcome.left_over, 0);
        // Grants that were on their way when the configuration changed.
        assert!(outcome.grants_at_closed <= 2, "{} late grants", outcome.grants_at_closed);
    }
}

/// Shows that the check of the accounts finds the leak that lease expiry prevents.
#[test]
fn without_lease_expiry_a_permit_leaks() {
    let params = AdmissionParams { expire_leases: false, ..AdmissionParams::default() };
    let plan = FleetPlan { kills: 2, params, ..FleetPlan::default() };
    let violated = (1..=SEEDS).any(|seed| {
        let run = AssertUnwindSafe(|| FleetSim::new(plan.clone(), seed).run());
        catch_unwind(run).is_err()
    });
    assert!(violated, "the invariant must detect permits that never lapse");
}
