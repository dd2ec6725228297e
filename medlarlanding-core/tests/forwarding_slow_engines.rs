//! Replays of fleets whose engines differ in speed: where runs are placed, and what becomes of them.

mod engine_fleet;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, LatencyClass, PlacementParams, PlacementPolicy, PlacementRequest, RegionLimit,
    RemoteLoad, RunWeight, ServerDirectory, ServerEntry, ServerKey, ServerPhase, SpeedRatios,
};
use medlarlanding_core::time::Timestamp;

use engine_fleet::{EngineFleet, FleetParams, FleetResult};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Engines of deployment B that are not slow, and slow ones.
const USUAL_ENGINES: usize = 32;
const SLOW_ENGINES: usize = 16;
const SEEDS: [u64; 3] = [0, 3, 4];

/// Returns the milliseconds for a token at the engines of deployment B, the slow ones last.
fn token_times() -> Vec<f64> {
    let spread = |count: usize, least: f64, most: f64| {
        (0..count).map(move |index| least + (most - least) * index as f64 / (count - 1) as f64)
    };
    spread(USUAL_ENGINES, 5.7, 7.9).chain(spread(SLOW_ENGINES, 17.0, 21.0)).collect()
}

fn params(arrivals: (f64, f64)) -> FleetParams {
    FleetParams {
        token_ms: token_times(),
        arrivals,
        duration_ms: 60_000,
        uses_speeds: true,
        has_reclaims: true,
        placement: PlacementParams::default(),
        seed: 3,
    }
}

fn total(sums: &[f64]) -> f64 {
    sums.iter().sum()
}

/// Arrivals of long and of urgent generations in a second, and whether engines are replaced.
struct LoadCase {
    arrivals: (f64, f64),
    has_reclaims: bool,
}

/// Sums over the seeds of one variant.
#[derive(Default)]
struct LoadSums {
    token_seconds: Vec<f64>,
    long_output: Vec<f64>,
    long_answers: Vec<f64>,
    complete: usize,
    cut: usize,
}

fn simulate(params: &FleetParams) -> LoadSums {
    let mut sums = LoadSums::default();
    let add = |total: &mut Vec<f64>, part: Vec<f64>| {
        total.resize(part.len(), 0.0);
        total.iter_mut().zip(part).for_each(|(total, part)| *total += part);
    };
    for seed in SEEDS {
        let result = EngineFleet::simulate(FleetParams { seed, ..params.clone() });
        add(&mut sums.token_seconds, result.token_seconds);
        add(&mut sums.long_output, result.long_output);
        add(&mut sums.long_answers, result.long_answers);
        sums.complete += result.complete;
        sums.cut += result.cut;
    }
    sums
}

/// Guards against slow engines that hold runs for longer than their speed earns, against long answers
/// there, and against gains of some answers that cost others.
fn slow_engines_get_what_their_speed_earns(case: LoadCase) {
    let LoadCase { arrivals, has_reclaims } = case;
    let params = FleetParams { has_reclaims, ..params(arrivals) };
    let speeds: Vec<f64> = params.token_ms.iter().map(|millis| 1.0 / millis).collect();
    let earned = FleetResult::share(&speeds, USUAL_ENGINES);
    let blind = simulate(&FleetParams { uses_speeds: false, ..params.clone() });
    let aware = simulate(&params);
    let held = FleetResult::share(&aware.token_seconds, USUAL_ENGINES);
    let blind_held = FleetResult::share(&blind.token_seconds, USUAL_ENGINES);
    assert!(held <= earned && blind_held > 1.5 * earned, "{held}, {blind_held} of {earned}");
    let output = FleetResult::share(&aware.long_output, USUAL_ENGINES);
    let blind_output = FleetResult::share(&blind.long_output, USUAL_ENGINES);
    assert!(output < 0.6 * blind_output, "{output}, {blind_output}");
    let mean = |range: std::ops::Range<usize>| {
        total(&aware.long_output[range.clone()]) / total(&aware.long_answers[range])
    };
    let slow = mean(USUAL_ENGINES..USUAL_ENGINES + SLOW_ENGINES);
    let usual = mean(0..USUAL_ENGINES);
    assert!(slow < 0.7 * usual, "mean output {slow}, {usual}");
    assert!(aware.complete * 200 >= blind.complete * 199, "{} {}", aware.complete, blind.complete);
    assert!(aware.cut < blind.cut, "{} {} runs cut", aware.cut, blind.cut);
}

cases! { slow_engines_get_what_their_speed_earns;
    half_the_load => LoadCase { arrivals: (14.0, 10.0), has_reclaims: true },
    usual_load => LoadCase { arrivals: (22.0, 15.0), has_reclaims: true },
    usual_load_on_engines_that_stay => LoadCase { arrivals: (22.0, 15.0), has_reclaims: false },
    high_load => LoadCase { arrivals: (30.0, 20.0), has_reclaims: true },
    more_load_than_memory => LoadCase { arrivals: (40.0, 20.0), has_reclaims: true },
}

/// Guards against other choices than before where all engines are alike: the same seeds with and without
/// estimates give the same choices.
#[test]
fn alike_engines_are_chosen_as_before() {
    let token_ms = (0..24).map(|index| 6.5 + 1.0 * f64::from(index) / 23.0).collect();
    let params = FleetParams { token_ms, ..params((16.0, 10.0)) };
    let without = EngineFleet::simulate(FleetParams { uses_speeds: false, ..params.clone() });
    let with = EngineFleet::simulate(params);
    assert!(with.choices.len() > 1_000);
    assert_eq!(with.choices, without.choices);
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn engines(count: usize) -> (ServerDirectory, Vec<ServerKey>) {
    let mut directory = ServerDirectory::default();
    for index in 0..count {
        let entry = ServerEntry {
            id: Arc::from(format!("e{index}")),
            service: Arc::from("llm"),
            address: SocketAddr::from(([10, 2, 0, index as u8], 8000)),
            zone: Arc::from("z0"),
            slots: 24,
            phase: ServerPhase::Ready,
            born_millis: 1,
        };
        directory.apply(at(0), DirectoryChange::Written(entry));
    }
    let keys = directory.iter().map(|(key, _)| key).collect();
    (directory, keys)
}

fn request(weight: RunWeight, due_ms: u64) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "llm",
        memory_tokens: Some(26_896),
        weight,
        excluded: &[],
        zone: "z0",
        due: Some(Duration::from_millis(due_ms)),
        is_urgent: false,
        drain_limit: Duration::ZERO,
        reserve: None,
        latency: LatencyClass::Uniform,
        regions: &RegionLimit::Any,
    }
}

const LONG: RunWeight = RunWeight { prompt: 3_000, output: 744 };
const SHORT: RunWeight = RunWeight { prompt: 2_200, output: 8 };

/// Guards against instances that all send their runs to the one fast engine at the same time, and against
/// instances that all leave it out.
#[test]
fn many_instances_do_not_all_choose_the_fast_engine() {
    let (mut directory, keys) = engines(48);
    let fast = SpeedRatios { token: 0.4, first: 0.4, run_limit: None };
    directory.set_speeds(|key, _| if key == keys[5] { fast } else { SpeedRatios::default() });
    let policy = PlacementPolicy::default();
    let mut random = SmallRng::seed_from_u64(4);
    let mut counts: BTreeMap<ServerKey, usize> = BTreeMap::new();
    for _ in 0..62 {
        let load = |_: &_| RemoteLoad::default();
        let choice =
            policy.choose(at(0), &directory, &request(LONG, 1_500), load, || random.random());
        *counts.entry(choice.expect("an engine").key).or_default() += 1;
    }
    let fast_count = counts.get(&keys[5]).copied().unwrap_or_default();
    assert!((2..25).contains(&fast_count), "{fast_count} of 62");
}

/// What a slow engine has, and whether it has room for a run.
struct RoomCase {
    speed: SpeedRatios,
    open_requests: usize,
    open_tokens: u64,
    weight: RunWeight,
    due_ms: u64,
    has_room: bool,
}

/// Guards against runs whose first event or whose pauses miss their targets because their engine is slow,
/// and against a slow engine whose memory long runs fill for three times as long.
fn slow_engine_has_room(case: RoomCase) {
    let (mut directory, keys) = engines(1);
    for _ in 0..case.open_requests {
        directory.begin_request(keys[0], case.open_tokens / case.open_requests as u64);
    }
    directory.set_speeds(|_, _| case.speed);
    let load = |_: &_| RemoteLoad::default();
    let choice = PlacementPolicy::default()
        .choose(at(0), &directory, &request(case.weight, case.due_ms), load, || 0.0)
        .expect("an engine");
    assert_eq!(choice.servers_with_room > 0, case.has_room);
}

const SLOW: SpeedRatios = SpeedRatios { token: 3.0, first: 1.0, run_limit: None };

cases! { slow_engine_has_room;
    for_a_short_answer => RoomCase {
        speed: SLOW, open_requests: 5, open_tokens: 16_000, weight: SHORT, due_ms: 1_500,
        has_room: true,
    },
    not_for_a_long_answer_with_as_many_runs => RoomCase {
        speed: SLOW, open_requests: 5, open_tokens: 16_000, weight: LONG, due_ms: 1_500,
        has_room: false,
    },
    for_a_long_answer_with_fewer_runs => RoomCase {
        speed: SLOW, open_requests: 2, open_tokens: 6_000, weight: LONG, due_ms: 1_500,
        has_room: true,
    },
    not_beyond_the_limit_for_pauses => RoomCase {
        speed: SpeedRatios { run_limit: Some(5), ..SLOW }, open_requests: 5, open_tokens: 500,
        weight: SHORT, due_ms: 1_500, has_room: false,
    },
    up_to_the_limit_for_pauses => RoomCase {
        speed: SpeedRatios { run_limit: Some(5), ..SLOW }, open_requests: 4, open_tokens: 500,
        weight: SHORT, due_ms: 1_500, has_room: true,
    },
    not_if_prompts_take_too_long => RoomCase {
        speed: SpeedRatios { first: 4.0, ..SLOW }, open_requests: 1, open_tokens: 500,
        weight: SHORT, due_ms: 1_200, has_room: false,
    },
    if_prompts_take_as_long_as_usual => RoomCase {
        speed: SLOW, open_requests: 1, open_tokens: 500, weight: SHORT, due_ms: 1_200,
        has_room: true,
    },
}
