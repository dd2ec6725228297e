//! Runs property checks with fixed seeds, or with the seed and length that the environment sets.

use quickcheck::{Gen, QuickCheck, Testable};

/// Environment variable that multiplies the number of cases; 1 if unset.
const FACTOR: &str = "MEDLARLANDING_TEST_FACTOR";
/// Environment variable that replaces the fixed seeds with a single seed.
const SEED: &str = "MEDLARLANDING_TEST_SEED";

/// Checks `property` with `cases` random cases for each seed. Panics with the seed and the
/// smallest failing case found.
#[allow(dead_code, reason = "not every test file uses every function")]
pub fn check(name: &str, seeds: &[u64], cases: u64, size: usize, property: impl Testable + Copy) {
    for seed in self::seeds(seeds) {
        let cases = cases * factor();
        println!("{name}: {SEED}={seed}, {cases} cases");
        let generator = Gen::from_size_and_seed(size, seed);
        let mut runner = QuickCheck::new()
            .rng(generator)
            .tests(cases)
            .max_tests(cases * 10)
            .min_tests_passed(cases);
        if let Err(failure) = runner.quicktest(property) {
            panic!("{name}: {SEED}={seed}: {failure:?}");
        }
    }
}

/// Gets the factor by which to multiply the number of cases.
pub fn factor() -> u64 {
    std::env::var(FACTOR).ok().map_or(1, |text| text.parse().expect("a whole number"))
}

/// Gets the seeds to run: those given, or the one that the environment sets.
pub fn seeds(fixed: &[u64]) -> Vec<u64> {
    match std::env::var(SEED) {
        Ok(text) => vec![text.parse().expect("a whole number")],
        Err(_) => fixed.to_vec(),
    }
}
