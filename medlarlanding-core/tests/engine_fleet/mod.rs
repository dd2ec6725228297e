//! Simulates a fleet of engines of different speeds, without a network: the load of deployment B of
//! `docs/uneven-load.md`, one instance that places all runs, and engines that come and go.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::forwarding::{
    DirectoryChange, EngineQueue, LatencyClass, PlacementParams, PlacementPolicy, PlacementRequest,
    RegionLimit, RemoteLoad, RunWeight, SampleSource, ServerDirectory, ServerEntry, ServerKey,
    ServerPhase, SpeedTable, SpeedTarget, StreamSampler, TOKENS_PER_EVENT,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Memory of one engine in tokens.
const MEMORY: u32 = 26_896;
/// Requests that an engine runs at the same time.
const SLOTS: u32 = 24;
/// Step of the simulation in milliseconds.
const STEP_MS: u64 = 20;
/// Milliseconds for a token at an engine of the common kind with one run.
pub const COMMON_TOKEN_MS: f64 = 7.0;
/// Milliseconds that each further run adds.
const BATCH_MS: f64 = 0.12;
/// Prompt tokens that an engine of the common kind processes in a millisecond.
const PROMPT_RATE: f64 = 14.0;
/// Interval at which a sixth of the engines is taken away.
const RECLAIM_MS: u64 = 3_300;
/// Time from the notice to the end of an engine.
const NOTICE_MS: u64 = 1_750;
/// Time from the end of an engine to the start of the next one in its place.
const ABSENCE_MS: u64 = 2_250;
/// Interval at which a waiting run asks again.
const ASK_MS: u64 = 40;
/// Waiting runs are refused after this multiple of their objective.
const WAIT_FACTOR: u64 = 3;
/// Longest output of a generation in tokens.
const OUTPUT_LIMIT: f64 = 4_000.0;
/// Mean output of a long generation in tokens, and standard deviation of its logarithm.
const OUTPUT_MEAN: f64 = 744.0;
const OUTPUT_DEVIATION: f64 = 1.95;
/// Standard deviation of the logarithm of callers' estimates relative to the output.
const ESTIMATE_DEVIATION: f64 = 1.0;
/// Deadline of a long generation.
const DEADLINE_MS: u64 = 39_000;

/// Kind of a generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunKind {
    Long,
    Urgent,
}

impl RunKind {
    fn objective_ms(self) -> u64 {
        match self {
            Self::Long => 1_800,
            Self::Urgent => 1_500,
        }
    }
}

/// Load and variant of a simulation.
#[derive(Clone, Debug)]
pub struct FleetParams {
    /// Time for a token at each engine, in milliseconds.
    pub token_ms: Vec<f64>,
    /// Arrivals in a second, of long and of urgent generations.
    pub arrivals: (f64, f64),
    /// Simulated time in milliseconds.
    pub duration_ms: u64,
    /// Placement knows the speeds that the samples show.
    pub uses_speeds: bool,
    /// Engines are taken away and replaced.
    pub has_reclaims: bool,
    /// Costs and limits of the placement.
    pub placement: PlacementParams,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Results by engine place, and of the whole fleet.
#[derive(Clone, Debug, Default)]
pub struct FleetResult {
    /// Tokens held, times seconds, at each place.
    pub token_seconds: Vec<f64>,
    /// Same, of runs that were moved there.
    pub moved_token_seconds: Vec<f64>,
    /// Output tokens of complete long answers that began at each place.
    pub long_output: Vec<f64>,
    /// Complete long answers that began at each place.
    pub long_answers: Vec<f64>,
    /// Complete generations.
    pub complete: usize,
    /// Complete long generations whose first event was in time.
    pub long_in_time: usize,
    /// Complete urgent generations whose first event was in time.
    pub urgent_in_time: usize,
    /// Generations that were cut by the end of an engine or by the deadline.
    pub cut: usize,
    /// Generations that found no room.
    pub refused: usize,
    /// Runs that lost their memory because an engine had no more.
    pub preempted: usize,
    /// Engines that were chosen, in order.
    pub choices: Vec<Option<ServerKey>>,
}

impl FleetResult {
    /// Returns the share of the places from `first` on in a sum by place.
    pub fn share(sums: &[f64], first: usize) -> f64 {
        sums[first..].iter().sum::<f64>() / sums.iter().sum::<f64>().max(f64::MIN_POSITIVE)
    }
}

struct TestRun {
    kind: RunKind,
    arrived_ms: u64,
    ask_ms: u64,
    weight: RunWeight,
    /// Tokens to generate.
    output: f64,
    generated: f64,
    prompt_left: f64,
    /// Place of the first engine.
    place: usize,
    is_moved: bool,
    first_event_ms: Option<u64>,
    events: u64,
    sampler: StreamSampler,
}

impl TestRun {
    fn tokens(&self) -> u64 {
        u64::from(self.weight.prompt) + self.generated as u64
    }

    fn growth(&self) -> u64 {
        (f64::from(self.weight.output) - self.generated).max(self.generated / 4.0) as u64
    }
}

struct TestEngine {
    key: ServerKey,
    /// When the engine gives notice and when it ends.
    notice_ms: Option<u64>,
    runs: Vec<TestRun>,
    /// Preempted runs, which begin again once there is memory.
    preempted: Vec<TestRun>,
}

/// A fleet of engines with the runs that wait for them.
pub struct EngineFleet {
    params: FleetParams,
    /// Random numbers of the load, the same in all variants.
    load_random: SmallRng,
    /// Random numbers of the placement.
    random: SmallRng,
    directory: ServerDirectory,
    table: SpeedTable,
    policy: PlacementPolicy,
    /// Engines by place; `None` until the next one starts at the given time.
    places: Vec<Result<TestEngine, u64>>,
    waiting: Vec<TestRun>,
    starts: u64,
    result: FleetResult,
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

impl EngineFleet {
    /// Runs a simulation.
    pub fn simulate(params: FleetParams) -> FleetResult {
        let count = params.token_ms.len();
        let zeros = vec![0.0; count];
        let mut fleet = Self {
            load_random: SmallRng::seed_from_u64(params.seed),
            random: SmallRng::seed_from_u64(params.seed + 1_000),
            directory: ServerDirectory::default(),
            table: SpeedTable::default(),
            policy: PlacementPolicy { params: params.placement },
            places: (0..count).map(|_| Err(0)).collect(),
            waiting: Vec::new(),
            starts: 0,
            result: FleetResult {
                token_seconds: zeros.clone(),
                moved_token_seconds: zeros.clone(),
                long_output: zeros.clone(),
                long_answers: zeros,
                ..FleetResult::default()
            },
            params,
        };
        for now in (0..fleet.params.duration_ms).step_by(STEP_MS as usize) {
            fleet.step(now);
        }
        fleet.result
    }

    fn step(&mut self, now: u64) {
        self.change_engines(now);
        if now.is_multiple_of(250) || now % 250 < STEP_MS {
            self.update_speeds(now);
        }
        self.add_arrivals(now);
        for run in std::mem::take(&mut self.waiting) {
            self.place(now, run);
        }
        for place in 0..self.places.len() {
            self.run_engine(now, place);
        }
    }

    fn change_engines(&mut self, now: u64) {
        for place in 0..self.places.len() {
            let start_at = match &self.places[place] {
                Err(at) => *at,
                Ok(engine) => {
                    if engine.notice_ms.is_some_and(|notice| now >= notice + NOTICE_MS) {
                        self.end_engine(now, place);
                    }
                    continue;
                },
            };
            if now >= start_at {
                let key = self.start_engine(now, place);
                self.places[place] = Ok(TestEngine {
                    key,
                    notice_ms: None,
                    runs: Vec::new(),
                    preempted: Vec::new(),
                });
            }
        }
        let reclaims = self.params.has_reclaims && now > 0 && now % RECLAIM_MS < STEP_MS;
        for _ in 0..if reclaims { self.places.len() / 6 } else { 0 } {
            let place = self.load_random.random_range(0..self.places.len());
            if let Ok(engine) = &mut self.places[place]
                && engine.notice_ms.is_none()
            {
                engine.notice_ms = Some(now);
                self.directory.mark_leaving(at(now), engine.key);
            }
        }
    }

    fn start_engine(&mut self, now: u64, place: usize) -> ServerKey {
        self.starts += 1;
        let entry = ServerEntry {
            id: Arc::from(format!("e{}", self.starts)),
            service: Arc::from("llm"),
            address: SocketAddr::from(([10, 2, 0, place as u8], 8000)),
            zone: Arc::from("z0"),
            slots: SLOTS,
            phase: ServerPhase::Ready,
            born_millis: self.starts,
        };
        let (key, _) =
            self.directory.apply(at(now), DirectoryChange::Written(entry)).expect("a server");
        key
    }

    /// Moves the runs of an engine that ends to others. Runs whose prompt is not processed, or without
    /// a destination, are cut.
    fn end_engine(&mut self, now: u64, place: usize) {
        let Ok(engine) = std::mem::replace(&mut self.places[place], Err(now + ABSENCE_MS)) else {
            return;
        };
        let id = self.directory.get(engine.key).map(|record| Arc::clone(&record.entry.id));
        self.result.cut += engine.preempted.len();
        for mut run in engine.runs {
            self.release(engine.key, &run);
            let weight = RunWeight { prompt: run.tokens() as u32, output: run.growth() as u32 };
            let chosen = if run.prompt_left > 0.0 { None } else { self.destination(now, weight) };
            let target = chosen
                .and_then(|key| self.places.iter_mut().flatten().find(|engine| engine.key == key));
            match target {
                Some(target) => {
                    run.sampler = StreamSampler::disabled();
                    run.is_moved = true;
                    Self::occupy(&mut self.directory, target.key, &run);
                    target.runs.push(run);
                },
                None => self.result.cut += 1,
            }
        }
        if let Some(id) = id {
            self.directory.apply(at(now), DirectoryChange::Removed(id));
        }
    }

    fn destination(&mut self, now: u64, weight: RunWeight) -> Option<ServerKey> {
        let request = request(weight, None, RunKind::Long);
        let random = &mut self.random;
        self.policy.choose_destination(
            at(now),
            &self.directory,
            &request,
            |_| RemoteLoad::default(),
            || random.random(),
        )
    }

    fn occupy(directory: &mut ServerDirectory, key: ServerKey, run: &TestRun) {
        directory.begin_request(key, run.tokens());
        directory.adjust_growth(key, run.growth(), 0);
        directory.adjust_waiting(key, run.prompt_left as u64, 0);
    }

    fn release(&mut self, key: ServerKey, run: &TestRun) {
        self.directory.finish_request(key, run.tokens());
        self.directory.adjust_growth(key, 0, run.growth());
        self.directory.adjust_waiting(key, 0, run.prompt_left as u64);
    }

    fn update_speeds(&mut self, now: u64) {
        let has_prompts = |run: &TestRun| run.prompt_left > 0.0;
        let engines = self.places.iter().flatten();
        self.table.update_prompts(
            engines.map(|engine| (engine.key, engine.runs.iter().any(has_prompts))),
        );
        let target =
            SpeedTarget { is_engine: true, gap_objective: Some(Duration::from_millis(180)) };
        self.table.refresh(at(now), &self.directory, |_| Some(target));
        if self.params.uses_speeds {
            let table = &self.table;
            self.directory.set_speeds(|key, service| table.ratios(key, service));
        }
    }

    fn normal(&mut self) -> f64 {
        // Box-Muller transform.
        let (first, second): (f64, f64) = (self.load_random.random(), self.load_random.random());
        (-2.0 * first.max(1e-12).ln()).sqrt() * (std::f64::consts::TAU * second).cos()
    }

    fn add_arrivals(&mut self, now: u64) {
        let (long, urgent) = self.params.arrivals;
        for (kind, rate) in [(RunKind::Long, long), (RunKind::Urgent, urgent)] {
            let mut left = rate * STEP_MS as f64 / 1e3;
            while left > 0.0 {
                if self.load_random.random::<f64>() < left.min(1.0) {
                    let run = self.new_run(now, kind);
                    self.waiting.push(run);
                }
                left -= 1.0;
            }
        }
    }

    fn new_run(&mut self, now: u64, kind: RunKind) -> TestRun {
        let (prompt, output, estimate) = match kind {
            RunKind::Long => {
                let center = OUTPUT_MEAN.ln() - OUTPUT_DEVIATION * OUTPUT_DEVIATION / 2.0;
                let output = (center + OUTPUT_DEVIATION * self.normal()).exp();
                let output = output.clamp(8.0, OUTPUT_LIMIT);
                let estimate = output * (ESTIMATE_DEVIATION * self.normal()).exp();
                (3_000, output, estimate.clamp(8.0, OUTPUT_LIMIT))
            },
            RunKind::Urgent => (2_200, 8.0, 8.0),
        };
        TestRun {
            kind,
            arrived_ms: now,
            ask_ms: now,
            weight: RunWeight { prompt, output: estimate as u32 },
            output,
            generated: 0.0,
            prompt_left: f64::from(prompt),
            place: 0,
            is_moved: false,
            first_event_ms: None,
            events: 0,
            sampler: StreamSampler::disabled(),
        }
    }

    fn place(&mut self, now: u64, mut run: TestRun) {
        if now < run.ask_ms {
            self.waiting.push(run);
            return;
        }
        let objective = run.kind.objective_ms();
        let waited = now - run.arrived_ms;
        if waited > objective * WAIT_FACTOR {
            self.result.refused += 1;
            return;
        }
        let due = (objective * 85 / 100).checked_sub(waited).filter(|due| *due > 300);
        let request = request(run.weight, due.map(Duration::from_millis), run.kind);
        let random = &mut self.random;
        let choice = self.policy.choose(
            at(now),
            &self.directory,
            &request,
            |_| RemoteLoad::default(),
            || random.random(),
        );
        let key = choice.filter(|choice| choice.servers_with_room > 0).map(|choice| choice.key);
        self.result.choices.push(key);
        let found = key.and_then(|key| {
            let is_chosen = |place: &Result<TestEngine, u64>| {
                place.as_ref().is_ok_and(|engine| engine.key == key)
            };
            self.places.iter().position(is_chosen)
        });
        let Some(place) = found else {
            run.ask_ms = now + ASK_MS;
            self.waiting.push(run);
            return;
        };
        let Ok(engine) = &mut self.places[place] else { return };
        let ahead: f64 = engine.runs.iter().map(|run| run.prompt_left).sum();
        let running = engine.runs.len() as u16;
        let queue = EngineQueue { ahead: ahead as u32, running, ..EngineQueue::default() };
        run.sampler = StreamSampler::new(at(now), run.weight.prompt, queue);
        run.place = place;
        Self::occupy(&mut self.directory, engine.key, &run);
        engine.runs.push(run);
    }

    fn run_engine(&mut self, now: u64, place: usize) {
        let Ok(engine) = &mut self.places[place] else { return };
        let slowness = self.params.token_ms[place] / COMMON_TOKEN_MS;
        let step = slowness * (COMMON_TOKEN_MS + BATCH_MS * (engine.runs.len() as f64 - 1.0));
        let has_prompts = engine.runs.iter().any(|run| run.prompt_left > 0.0);
        let decodes = engine.runs.iter().any(|run| run.prompt_left <= 0.0);
        // Prompts share the steps with the runs that generate.
        let factor = if has_prompts && decodes { 0.5 } else { 1.0 };
        let mut prompt_tokens = PROMPT_RATE / slowness * factor * STEP_MS as f64;
        let tokens = STEP_MS as f64 / step * factor;
        let key = engine.key;
        let mut ended = Vec::new();
        for (index, run) in engine.runs.iter_mut().enumerate() {
            let (growth, held) = (run.growth(), run.tokens());
            if run.prompt_left > 0.0 {
                let before = run.prompt_left as u64;
                let processed = prompt_tokens.min(run.prompt_left);
                prompt_tokens -= processed;
                run.prompt_left -= processed;
                self.directory.adjust_waiting(key, run.prompt_left as u64, before);
            } else {
                run.generated = (run.generated + tokens).min(run.output);
                let events = (run.generated / TOKENS_PER_EVENT as f64) as u64;
                for _ in run.events..events {
                    let sample = run.sampler.record_event(at(now));
                    self.table.record(at(now), key, SampleSource::Engine, sample);
                    run.first_event_ms.get_or_insert(now);
                }
                run.events = events;
            }
            self.directory.add_tokens(key, run.tokens() - held);
            self.directory.adjust_growth(key, run.growth(), growth);
            let held = run.tokens() as f64 * STEP_MS as f64 / 1e3;
            let sums = if run.is_moved {
                &mut self.result.moved_token_seconds
            } else {
                &mut self.result.token_seconds
            };
            sums[place] += held;
            let is_late = now > run.arrived_ms + DEADLINE_MS;
            if run.generated >= run.output || is_late {
                ended.push(index);
            }
        }
        let mut finished = Vec::new();
        for index in ended.into_iter().rev() {
            finished.push(engine.runs.swap_remove(index));
        }
        let held: u64 = engine.runs.iter().map(TestRun::tokens).sum();
        if held > u64::from(MEMORY)
            && let Some(mut run) = engine.runs.pop()
        {
            // The run that came last begins again with its prompt once there is memory.
            self.result.preempted += 1;
            self.directory.finish_request(key, run.tokens());
            self.directory.adjust_growth(key, 0, run.growth());
            self.directory.adjust_waiting(key, 0, run.prompt_left as u64);
            run.sampler = StreamSampler::disabled();
            run.prompt_left = run.tokens() as f64;
            engine.preempted.push(run);
        } else if let Some(run) = engine.preempted.last()
            && held + run.tokens() < u64::from(MEMORY) * 9 / 10
            && let Some(run) = engine.preempted.pop()
        {
            Self::occupy(&mut self.directory, key, &run);
            engine.runs.push(run);
        }
        for run in finished {
            self.finish(now, key, run);
        }
    }

    fn finish(&mut self, now: u64, key: ServerKey, mut run: TestRun) {
        self.release(key, &run);
        if run.generated < run.output {
            self.result.cut += 1;
            return;
        }
        let sample = run.sampler.finish();
        self.table.record(at(now), key, SampleSource::Engine, sample);
        self.result.complete += 1;
        let limit = run.arrived_ms + run.kind.objective_ms();
        let is_in_time = run.first_event_ms.is_some_and(|first| first <= limit);
        match run.kind {
            RunKind::Long => {
                self.result.long_in_time += usize::from(is_in_time);
                self.result.long_output[run.place] += run.output;
                self.result.long_answers[run.place] += 1.0;
            },
            RunKind::Urgent => self.result.urgent_in_time += usize::from(is_in_time),
        }
    }
}

fn request(weight: RunWeight, due: Option<Duration>, kind: RunKind) -> PlacementRequest<'static> {
    PlacementRequest {
        service: "llm",
        memory_tokens: Some(MEMORY),
        weight,
        excluded: &[],
        zone: "z0",
        due,
        is_urgent: kind == RunKind::Urgent,
        drain_limit: Duration::from_millis(1_500),
        reserve: None,
        latency: LatencyClass::Uniform,
        regions: &RegionLimit::Any,
    }
}
