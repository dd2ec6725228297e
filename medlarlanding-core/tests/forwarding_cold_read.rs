//! Tests of who reads a long list of servers from the store when the whole fleet starts.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::ColdReadParams;

/// Guards against seeds that wait for one another, and against instances that wait without end for
/// seeds that are down. `expected` is the range of the wait in milliseconds.
fn waits((is_seed, level, expected): (bool, u32, std::ops::RangeInclusive<u64>)) {
    let wait = ColdReadParams::default().wait(is_seed, level);
    assert!(expected.contains(&(wait.as_millis() as u64)), "{wait:?}");
}

cases! { waits;
    seed_reads_at_once => (true, 99, 0..=0),
    others_wait_for_two_rounds_of_digests => (false, 0, 500..=1_000),
    lower_ranked_instances_wait_longer => (false, 10, 1_500..=3_000),
    wait_is_bounded => (false, 99, 3_000..=5_000),
}

/// Guards against a fleet whose instances all read the store within a second if the seeds are down.
#[test]
fn fleet_without_seeds_reads_the_store_one_after_another() {
    let waits = (0..300u32).map(|rank| ColdReadParams::default().wait(false, rank / 3));
    let early = waits.filter(|wait| *wait < Duration::from_secs(1)).count();
    assert!(early <= 9, "{early} of 300 instances");
}
