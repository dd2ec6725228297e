//! Short fault soak of the forwarding role.

use std::time::Duration;

use medlarlanding_bench::soak::{SoakParams, play};
use medlarlanding_core::cases;

/// Guards against broken promises under faults that overlap: killed, stopped and paused
/// processes, a store that refuses, servers that fail, and links that delay, reset or go silent.
fn promises_hold((seed, instances): (u64, usize)) {
    let length = Duration::from_secs(6);
    let report = play(SoakParams { seed, length, instances }).expect("a soak");
    println!("seed {seed}: {report:?}");
    assert!(report.violations.is_empty(), "seed {seed}: {:?}", report.violations);
    assert!(report.served > 0, "seed {seed}: nothing was served");
}

cases! { promises_hold;
    seed_1 => (1, 3),
    seed_2 => (2, 3),
    seed_3 => (3, 3),
    // Runs were refused for others that had been refused a moment before, for 15 s and longer.
    seed_53001_with_5_instances => (53_001, 5),
}
