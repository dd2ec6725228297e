//! Length distribution, memory forecast, and splitting of messages into datagrams.

use std::time::Duration;

use medlarlanding_core::admission::{
    LengthEstimator, MemoryForecast, MemoryNeed, WorkItem, WorkStage, split_for_datagrams,
};
use medlarlanding_core::config::DeskObjective;
use medlarlanding_core::ids::{CustomerId, InstanceId, RouteId, ServerId};
use medlarlanding_core::wire::DATAGRAM_LIMIT;

use quickcheck::{Gen, QuickCheck};

const ROUTE: RouteId = RouteId(1);

/// Seed of the random cases. The variable `ADMISSION_TESTS` sets the number of cases.
const SEED: u64 = 20_261_204;

fn checker() -> QuickCheck {
    let cases = std::env::var("ADMISSION_TESTS").ok().and_then(|text| text.parse().ok());
    println!("seed {SEED}");
    QuickCheck::new().rng(Gen::from_size_and_seed(200, SEED)).tests(cases.unwrap_or(200))
}

fn estimator(lengths: &[u32]) -> LengthEstimator {
    let mut estimator = LengthEstimator::new(Duration::from_secs(600));
    for &length in lengths {
        estimator.observe(ROUTE, 0, length, true);
    }
    estimator
}

/// Guards against probabilities that rise with the length or lie outside 0 to 1, and against
/// remaining lengths beyond `max_tokens`.
#[test]
fn curves_are_distributions() {
    fn holds(lengths: Vec<u16>, decoded: u16, max_tokens: u16) -> bool {
        let lengths: Vec<_> = lengths.into_iter().map(u32::from).collect();
        let estimator = estimator(&lengths);
        let curve = estimator.curve(ROUTE);
        let mut last = 1.0;
        let monotone = (0..70_000).step_by(97).all(|tokens| {
            let survival = curve.survival(tokens);
            let fits = (0.0..=last + 1e-9).contains(&survival);
            last = survival;
            fits
        });
        let (decoded, max_tokens) = (u32::from(decoded), u32::from(max_tokens));
        let remaining = curve.mean_remaining(decoded, max_tokens);
        monotone && remaining >= 0.0 && remaining <= f64::from(max_tokens.saturating_sub(decoded))
    }
    checker().quickcheck(holds as fn(Vec<u16>, u16, u16) -> bool);
}

/// Guards against an estimate that ignores the tokens already decoded.
#[test]
fn remaining_length_depends_on_progress() {
    // Half of the answers are short and half are long.
    let lengths: Vec<_> = (0..200).map(|at| if at % 2 == 0 { 50 } else { 4000 }).collect();
    let estimator = estimator(&lengths);
    let curve = estimator.curve(ROUTE);
    let new = curve.mean_remaining(0, 8000);
    let old = curve.mean_remaining(500, 8000);
    assert!((1500.0..2800.0).contains(&new), "{new}");
    assert!((3000.0..4500.0).contains(&old), "{old}");
    assert_eq!(curve.mean_remaining(500, 500), 0.0);
}

/// Guards against an estimate biased towards short answers, which end before the long ones.
#[test]
fn generations_in_progress_count() {
    let mut only_ended = LengthEstimator::new(Duration::from_secs(600));
    let mut estimator = LengthEstimator::new(Duration::from_secs(600));
    for _ in 0..50 {
        only_ended.observe(ROUTE, 0, 30, true);
        estimator.observe(ROUTE, 0, 30, true);
        estimator.observe(ROUTE, 0, 2000, false);
    }
    let biased = only_ended.curve(ROUTE).mean_remaining(0, 8000);
    let unbiased = estimator.curve(ROUTE).mean_remaining(0, 8000);
    assert!(biased < 100.0 && unbiased > 800.0, "{biased} {unbiased}");
}

/// Guards against summaries that are added again when they are repeated or arrive late.
#[test]
fn summaries_replace_each_other() {
    let mut other = estimator(&[100; 40]);
    let old = other.summaries().remove(0).1;
    for _ in 0..40 {
        other.observe(ROUTE, 0, 1000, true);
    }
    let new = other.summaries().remove(0).1;
    let peer = InstanceId(2);
    let mut once = estimator(&[]);
    once.replace_summary(peer, 1, 2, ROUTE, &new);
    let mut often = estimator(&[]);
    for (seq, bins) in [(1, &old), (2, &new), (2, &new), (1, &old)] {
        often.replace_summary(peer, 1, seq, ROUTE, bins);
    }
    assert_eq!(once.curve(ROUTE), often.curve(ROUTE));
}

/// Guards against a forecast below the memory already in use or above the sum of all limits.
#[test]
fn forecast_lies_between_prompt_and_largest_need() {
    fn holds(needs: Vec<(u16, u16, u16)>) -> bool {
        let estimator = estimator(&[20, 40, 80, 500, 3000]);
        let curve = estimator.curve(ROUTE);
        let mut forecast = MemoryForecast::default();
        let (mut now, mut largest) = (0.0, 0.0);
        for (prompt, decoded, more) in needs {
            let max_tokens = u32::from(decoded) + u32::from(more) + 1;
            forecast.add(&MemoryNeed {
                prompt_tokens: u32::from(prompt),
                decoded: u32::from(decoded),
                max_tokens,
                curve,
            });
            now += f64::from(prompt) + f64::from(decoded);
            largest += f64::from(prompt) + f64::from(max_tokens);
        }
        let (low, high) = (forecast.peak(0.0, 4096), forecast.peak(2.0, 4096));
        now <= low + 1e-6 && low <= largest + 1e-6 && low <= high + 1e-6
    }
    checker().quickcheck(holds as fn(Vec<(u16, u16, u16)>) -> bool);
}

/// Guards against parts that exceed a datagram, and against lost entries.
#[test]
fn batches_are_split_for_datagrams() {
    fn holds(numbers: Vec<u64>) -> bool {
        let items: Vec<_> = numbers
            .iter()
            .map(|&number| WorkItem {
                number,
                server: ServerId(u64::MAX),
                route: RouteId(number.rotate_left(7)),
                customer: CustomerId(u64::MAX),
                share: u32::MAX,
                prompt_tokens: 9000,
                decoded: number as u32,
                max_tokens: u32::MAX,
                priority: 9,
                objective: DeskObjective::LeastStall,
                over_soft_limit: false,
                stage: WorkStage::Waiting { time_left_ms: u32::MAX, servers_asked: 3 },
            })
            .collect();
        let parts = split_for_datagrams(&items);
        let small = parts.iter().all(|part| {
            postcard::to_stdvec(part).expect("items encode").len() <= DATAGRAM_LIMIT - 100
        });
        small && parts.concat() == items
    }
    checker().quickcheck(holds as fn(Vec<u64>) -> bool);
}
