//! Plan of one trial: its orders and faults, drawn from a seed before the trial starts.
//!
//! For the same seed, profile and length, every design gets the same plan.

use std::time::Duration;

use medlarlanding_core::orders::OrderParams;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

/// Virtual time since the start of the trial, or a duration, in microseconds.
pub type TrialTime = u64;

/// One second of virtual time.
pub const SECOND: TrialTime = 1_000_000;

/// A fault, its end, or a change of the instance list.
#[derive(Clone, Debug)]
pub enum TrialFault {
    /// The process of a node ends and loses its state.
    Crash { node: usize },
    /// A node starts a new process, if it has none.
    Start { node: usize },
    /// The process of a node is paused and then continues with its state. `clock_stops` tells
    /// whether its clock stands still meanwhile, as when a virtual machine is suspended.
    Pause { node: usize, length: TrialTime, clock_stops: bool },
    /// The network splits: nodes on different sides cannot reach each other.
    Split { sides: Vec<u8> },
    /// All nodes reach each other again.
    Heal,
    /// This share of datagrams is lost from now on.
    Loss { share: f64 },
    /// The platform publishes the next instance list, with these nodes.
    List { nodes: Vec<usize> },
    /// From now on, a node reads the list with this probability at each refresh, which is about
    /// once per second.
    FetchProbability { node: usize, probability: f64 },
    /// The platform goes down, so that no node can read the list, or is up again.
    PlatformDown { down: bool },
}

/// An order with one idempotency key.
#[derive(Clone, Debug)]
pub struct PlannedOrder {
    /// Time of the first submission.
    pub at: TrialTime,
    /// Node that receives it.
    pub node: usize,
    /// Whether the caller requests a minted key.
    pub minted: bool,
    /// Whether the service checks idempotency keys for this order.
    pub service_checks_keys: bool,
    /// Further submissions with the same key: delay after the first submission, node, and whether
    /// the body differs.
    pub repeats: Vec<(TrialTime, usize, bool)>,
    /// Queries for the outcome: delay after the first submission, and node.
    pub queries: Vec<(TrialTime, usize)>,
}

/// Orders and faults of one trial.
#[derive(Clone, Debug)]
pub struct TrialPlan {
    /// Seed of the plan; the simulation derives its own seed from it.
    pub seed: u64,
    /// Number of nodes, listed or not.
    pub nodes: usize,
    /// Nodes of the first instance list.
    pub listed: Vec<usize>,
    /// Limits and intervals of the order subsystem.
    pub params: OrderParams,
    /// Time before the first order and the first fault.
    pub warm_up: TrialTime,
    /// Time at which arrivals and faults end; a pause may last longer.
    pub end: TrialTime,
    /// Orders by time of their first submission.
    pub orders: Vec<PlannedOrder>,
    /// Faults by time.
    pub faults: Vec<(TrialTime, TrialFault)>,
}

/// Kind of trial: its faults and the limits of the order subsystem.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialProfile {
    /// No planned faults, with the limits of the product.
    Calm,
    /// A planned fault about every 15 s, with the limits of the product.
    Mild,
    /// Planned faults every few seconds, with the limits of the product.
    Faulty,
    /// Planned faults every few seconds, with short limits, so that the retention, the doubt,
    /// the idle limit and the list limit run out within the trial.
    ShortLimits,
    /// As `ShortLimits`, with a warm-up of 2 s, so that orders arrive while the partitions are in
    /// doubt after their empty start.
    ColdStart,
}

impl TrialProfile {
    /// All profiles.
    pub const ALL: [Self; 5] =
        [Self::Calm, Self::Mild, Self::Faulty, Self::ShortLimits, Self::ColdStart];

    /// Returns the name used on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Calm => "calm",
            Self::Mild => "mild",
            Self::Faulty => "faulty",
            Self::ShortLimits => "short-limits",
            Self::ColdStart => "cold-start",
        }
    }

    fn params(self) -> OrderParams {
        let base = OrderParams { partitions: 12, ..OrderParams::default() };
        match self {
            Self::Calm | Self::Mild | Self::Faulty => base,
            Self::ShortLimits | Self::ColdStart => OrderParams {
                retention: Duration::from_secs(20),
                list_limit: Duration::from_secs(10),
                idle_limit: Duration::from_secs(5),
                permit_limit: Duration::from_secs(3),
                // An order arrives up to 6 s after it was sent, and a pause that stops the
                // clock extends a permit by up to 4 s.
                transit_limit: Duration::from_secs(11),
                empty_start_delay: Duration::from_secs(3),
                empty_start_step: Duration::from_secs(3),
                ..base
            },
        }
    }
}

impl TrialPlan {
    /// Draws a plan of the given length.
    pub fn draw(seed: u64, profile: TrialProfile, length: TrialTime) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let nodes = 9;
        let listed: Vec<_> = (0..rng.random_range(4..=7)).collect();
        let params = profile.params();
        let warm_up = match profile {
            TrialProfile::ColdStart => 2 * SECOND,
            // The doubt after the empty start ends during the warm-up.
            _ => params.doubt_limit().as_micros() as TrialTime + 60 * SECOND,
        };
        let end = warm_up + length;
        let orders = draw_orders(&mut rng, nodes, warm_up, end);
        let faults = match profile {
            TrialProfile::Calm => Vec::new(),
            TrialProfile::Mild => draw_faults(&mut rng, nodes, &listed, warm_up, end, 15 * SECOND),
            _ => {
                let interval = *[SECOND / 2, 2 * SECOND, 6 * SECOND]
                    .choose(&mut rng)
                    .expect("the list is not empty");
                draw_faults(&mut rng, nodes, &listed, warm_up, end, interval)
            },
        };
        Self { seed, nodes, listed, params, warm_up, end, orders, faults }
    }
}

fn draw_orders(
    rng: &mut SmallRng,
    nodes: usize,
    start: TrialTime,
    end: TrialTime,
) -> Vec<PlannedOrder> {
    let mut orders = Vec::new();
    let mut at = start;
    loop {
        at += rng.random_range(1000..=250_000);
        if at >= end {
            return orders;
        }
        let mut repeats = Vec::new();
        if rng.random_bool(0.3) {
            for _ in 0..rng.random_range(1..=2) {
                repeats.push((rng.random_range(0..=4000), rng.random_range(0..nodes), false));
            }
        }
        if rng.random_bool(0.4) {
            for _ in 0..rng.random_range(1..=3) {
                let delay = rng.random_range(SECOND / 2..=30 * SECOND);
                repeats.push((delay, rng.random_range(0..nodes), rng.random_bool(0.05)));
            }
        }
        let mut queries = Vec::new();
        if rng.random_bool(0.3) {
            let delay = rng.random_range(0..=20 * SECOND);
            queries.push((delay, rng.random_range(0..nodes)));
        }
        orders.push(PlannedOrder {
            at,
            node: rng.random_range(0..nodes),
            minted: rng.random_bool(0.3),
            service_checks_keys: rng.random_bool(0.1),
            repeats,
            queries,
        });
    }
}

fn draw_faults(
    rng: &mut SmallRng,
    nodes: usize,
    listed: &[usize],
    start: TrialTime,
    end: TrialTime,
    interval: TrialTime,
) -> Vec<(TrialTime, TrialFault)> {
    let mut faults = Vec::new();
    let mut listed = listed.to_vec();
    let mut at = start;
    loop {
        at += rng.random_range(interval / 4..=interval * 2);
        if at >= end {
            break;
        }
        let node = rng.random_range(0..nodes);
        match rng.random_range(0..100) {
            0..25 => {
                let down = rng.random_range(SECOND / 10..=8 * SECOND);
                faults.push((at, TrialFault::Crash { node }));
                faults.push((at + down, TrialFault::Start { node }));
            },
            25..40 => {
                let clock_stops = rng.random_bool(0.2);
                let limit = if clock_stops { 4 } else { 12 };
                let length = rng.random_range(SECOND / 20..=limit * SECOND);
                faults.push((at, TrialFault::Pause { node, length, clock_stops }));
            },
            40..52 => {
                let sides = (0..nodes).map(|_| u8::from(rng.random_bool(0.4))).collect();
                faults.push((at, TrialFault::Split { sides }));
                let length = rng.random_range(SECOND / 2..=20 * SECOND);
                faults.push((at + length, TrialFault::Heal));
            },
            52..60 => {
                let share = rng.random_range(0.05..0.5);
                faults.push((at, TrialFault::Loss { share }));
                let length = rng.random_range(SECOND..=10 * SECOND);
                faults.push((at + length, TrialFault::Loss { share: 0.01 }));
            },
            60..80 => {
                // In a third of the cases, two to four lists are published within 0.6 s.
                let count = if rng.random_bool(0.33) { rng.random_range(2..=4) } else { 1 };
                for step in 0..count {
                    change_list(rng, nodes, &mut listed);
                    let at = at + step * rng.random_range(0..=SECOND / 5);
                    faults.push((at, TrialFault::List { nodes: listed.clone() }));
                }
            },
            80..90 => {
                faults.push((at, TrialFault::FetchProbability { node, probability: 0.03 }));
                let length = rng.random_range(3 * SECOND..=40 * SECOND);
                faults.push((at + length, TrialFault::FetchProbability { node, probability: 0.7 }));
            },
            90..95 => {
                faults.push((at, TrialFault::PlatformDown { down: true }));
                let length = rng.random_range(2 * SECOND..=25 * SECOND);
                faults.push((at + length, TrialFault::PlatformDown { down: false }));
            },
            95..98 => {
                // Two or three nodes crash at the same time.
                for _ in 0..rng.random_range(2..=3) {
                    let node = rng.random_range(0..nodes);
                    faults.push((at, TrialFault::Crash { node }));
                    faults.push((
                        at + rng.random_range(SECOND..=9 * SECOND),
                        TrialFault::Start { node },
                    ));
                }
            },
            _ => {
                // In three of ten cases, all nodes crash at the same time.
                if rng.random_bool(0.3) {
                    for node in 0..nodes {
                        faults.push((at, TrialFault::Crash { node }));
                        let down = rng.random_range(0..=3 * SECOND);
                        faults.push((at + down, TrialFault::Start { node }));
                    }
                }
            },
        }
    }
    // All faults but pauses end with the arrivals, so that open orders are decided.
    faults.push((end, TrialFault::Heal));
    faults.push((end, TrialFault::Loss { share: 0.0 }));
    faults.push((end, TrialFault::PlatformDown { down: false }));
    for node in 0..nodes {
        faults.push((end, TrialFault::Start { node }));
        faults.push((end, TrialFault::FetchProbability { node, probability: 0.9 }));
    }
    faults.sort_by_key(|&(at, _)| at);
    faults
}

fn change_list(rng: &mut SmallRng, nodes: usize, listed: &mut Vec<usize>) {
    let unlisted: Vec<_> = (0..nodes).filter(|node| !listed.contains(node)).collect();
    let add = listed.len() <= 3 || (rng.random_bool(0.5) && !unlisted.is_empty());
    if rng.random_bool(0.1) {
        // Half of the nodes are removed from the list, and up to three others are added.
        let keep = listed.len() / 2;
        listed.truncate(keep.max(1));
        listed.extend(unlisted.iter().take(3));
    } else if add {
        if let Some(&node) = unlisted.choose(rng) {
            listed.push(node);
        }
    } else {
        let at = rng.random_range(0..listed.len());
        listed.remove(at);
    }
}
