//! Tests of the estimates of server speeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    DirectoryChange, EngineQueue, LoadReport, SampleSource, ServerDirectory, ServerEntry,
    ServerKey, ServerPhase, SpeedRatios, SpeedReport, SpeedSums, SpeedTable, SpeedTarget,
    StreamSample, StreamSampler,
};
use medlarlanding_core::time::Timestamp;

/// Prompt of a long generation in tokens.
const PROMPT: u32 = 3_000;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn entry(index: usize, born_millis: u64) -> ServerEntry {
    ServerEntry {
        id: Arc::from(format!("e{index}")),
        service: Arc::from("llm"),
        address: SocketAddr::from(([10, 2, 0, index as u8], 8000)),
        zone: Arc::from("z0"),
        slots: 24,
        phase: ServerPhase::Ready,
        born_millis,
    }
}

/// Engines of one service with the estimates of one instance.
struct TestFleet {
    directory: ServerDirectory,
    table: SpeedTable,
    keys: Vec<ServerKey>,
    gap_objective: Option<Duration>,
}

impl TestFleet {
    fn new(count: usize) -> Self {
        let mut directory = ServerDirectory::default();
        for index in 0..count {
            directory.apply(at(0), DirectoryChange::Written(entry(index, 1)));
        }
        let keys = directory.iter().map(|(key, _)| key).collect();
        let gap_objective = Some(Duration::from_millis(180));
        Self { directory, table: SpeedTable::default(), keys, gap_objective }
    }

    fn record(&mut self, millis: u64, index: usize, sample: StreamSample) {
        self.table.record(at(millis), self.keys[index], SampleSource::Engine, sample);
    }

    fn refresh(&mut self, millis: u64) {
        let target = SpeedTarget { is_engine: true, gap_objective: self.gap_objective };
        self.table.refresh(at(millis), &self.directory, |_| Some(target));
    }

    fn ratios(&self, index: usize) -> SpeedRatios {
        self.table.ratios(self.keys[index], "llm")
    }

    /// Serves one answer at each engine, with the times that `event_millis` returns for its events.
    fn answer_all(&mut self, start: u64, events: usize, event_millis: impl Fn(usize) -> f64) {
        for index in 0..self.keys.len() {
            let sample = answer(start, events, |_| event_millis(index));
            self.record(start, index, sample);
        }
        self.refresh(start);
    }
}

fn add(total: &mut StreamSample, part: StreamSample) {
    for (sums, added) in [(&mut total.token, part.token), (&mut total.first, part.first)] {
        sums.merge(added);
    }
}

/// Takes the samples of a complete answer whose first event takes the usual time.
fn answer(start: u64, events: usize, event_millis: impl Fn(usize) -> f64) -> StreamSample {
    let mut sampler = StreamSampler::new(at(start), PROMPT, EngineQueue::default());
    let mut total = StreamSample::default();
    let mut now = start as f64 + 240.0;
    for event in 0..events {
        add(&mut total, sampler.record_event(at(now as u64)));
        now += event_millis(event);
    }
    add(&mut total, sampler.finish());
    total
}

/// Time of one event at an engine that is `slowness` times as slow as the common kind.
fn event_time(slowness: f64) -> f64 {
    28.0 * slowness
}

/// Guards against an estimate that is of no use in the life of an engine, of which a sixth is replaced
/// every 3.3 s.
fn few_answers_show_a_slow_engine((answers, events): (u64, usize)) {
    let mut fleet = TestFleet::new(9);
    for number in 0..answers {
        fleet.answer_all(number * 300, events, |index| event_time([1.0, 3.0][index / 8]));
    }
    assert!(fleet.ratios(0).is_average(), "{:?}", fleet.ratios(0));
    let slow = fleet.ratios(8).token;
    assert!((1.25..3.1).contains(&slow), "{slow}");
}

cases! { few_answers_show_a_slow_engine;
    two_short_answers => (2, 2),
    one_answer_of_ten_events => (1, 10),
    one_long_answer => (1, 100),
}

/// Guards against an engine without samples that counts as fast or slow, when the whole service is
/// slower than the common kind.
#[test]
fn engine_without_samples_is_average() {
    let mut fleet = TestFleet::new(9);
    for index in 0..8 {
        fleet.record(0, index, answer(0, 100, |_| event_time(2.0)));
    }
    fleet.refresh(0);
    assert!((0..9).all(|index| fleet.ratios(index).is_average()));
}

/// Guards against choices that differ between alike engines because of their batches or of prompts that
/// are processed between events.
#[test]
fn alike_engines_are_average() {
    let mut fleet = TestFleet::new(12);
    for number in 0..20 {
        for index in 0..12 {
            let sample = answer(number * 200, 60, |event| {
                let prompt =
                    if (event + index + number as usize).is_multiple_of(4) { 1.9 } else { 1.0 };
                event_time(prompt * (1.0 + 0.012 * index as f64))
            });
            fleet.record(number * 200, index, sample);
        }
        fleet.refresh(number * 200);
        for index in 0..12 {
            assert!(fleet.ratios(index).is_average(), "{index}: {:?}", fleet.ratios(index));
        }
    }
}

/// Guards against an engine that counts as slow for a pause or a slow period of 0.6 s, of which its runs
/// notice little.
fn short_slow_period_changes_nothing(slow_event: f64) {
    let mut fleet = TestFleet::new(9);
    for number in 0..30 {
        let start = number * 250;
        for index in 0..9 {
            let is_slow_period = index == 8 && (16..19).contains(&number);
            let millis = if is_slow_period { slow_event } else { event_time(1.0) };
            let events = (250.0 / millis).max(2.0) as usize;
            // Six runs at each engine.
            for _ in 0..6 {
                fleet.record(start, index, answer(start, events, |_| millis));
            }
        }
        fleet.refresh(start);
        assert!(fleet.ratios(8).is_average(), "{number}: {:?}", fleet.ratios(8));
    }
}

cases! { short_slow_period_changes_nothing;
    three_times_slower => event_time(3.0),
    pause => 600.0,
}

/// Guards against an estimate of an earlier start that is applied to the next one, and against late
/// reports of peers that do not know of the restart.
#[test]
fn restart_under_the_same_id_begins_without_samples() {
    let mut fleet = TestFleet::new(9);
    fleet.answer_all(0, 100, |index| event_time([1.0, 3.0][index / 8]));
    assert!(fleet.ratios(8).token > 2.0);
    let change = DirectoryChange::Written(entry(8, 2));
    let (key, _) = fleet.directory.apply(at(500), change).expect("a server");
    assert_ne!(key, fleet.keys[8]);
    fleet.refresh(500);
    assert!(fleet.table.ratios(key, "llm").is_average() && fleet.ratios(8).is_average());
}

/// Guards against a server that stays slow for ever because no request is sent to it, and against one
/// that is forgotten while it is used.
#[test]
fn estimate_expires_without_requests() {
    let mut fleet = TestFleet::new(9);
    fleet.answer_all(0, 100, |index| event_time([1.0, 3.0][index / 8]));
    for second in 1..29 {
        for index in 0..8 {
            fleet.record(second * 1000, index, answer(second * 1000, 100, |_| event_time(1.0)));
        }
    }
    fleet.refresh(9_000);
    assert!(fleet.ratios(8).token > 1.5, "{:?}", fleet.ratios(8));
    fleet.refresh(30_000);
    assert!(fleet.ratios(8).is_average());
}

/// Guards against ratios that alternate between two values, which makes choices alternate.
#[test]
fn ratios_change_in_steps() {
    let mut fleet = TestFleet::new(9);
    let mut changes = 0;
    let mut last = 0.0;
    for number in 0..100 {
        let slowness = if number % 2 == 0 { 1.85 } else { 1.95 };
        fleet.answer_all(number * 250, 40, |index| event_time([1.0, slowness][index / 8]));
        let token = fleet.ratios(8).token;
        changes += usize::from(token != last);
        last = token;
    }
    assert!((1.6..2.1).contains(&last) && changes <= 3, "{last}, {changes} changes");
}

/// Guards against samples of what is not the engine's work.
#[test]
fn moves_and_slow_callers_are_left_out() {
    let mut moved = StreamSampler::disabled();
    assert!((0..50).all(|event| moved.record_event(at(event * 84)).is_empty()));
    assert!(moved.finish().is_empty());
    // The caller reads an event every 300 ms; the engine writes one every 28 ms.
    let mut sampler = StreamSampler::new(at(0), PROMPT, EngineQueue::default());
    let mut total = StreamSample::default();
    for event in 0..50 {
        add(&mut total, sampler.record_event(at(240 + event * 300)));
        sampler.interrupt();
    }
    add(&mut total, sampler.finish());
    assert!(total.token.is_empty() && total.first.weight > 0);
}

/// Guards against a server that counts as fast because it breaks its answers off.
#[test]
fn broken_answers_are_no_samples() {
    let mut sampler = StreamSampler::new(at(0), PROMPT, EngineQueue::default());
    for event in 0..17 {
        assert!(sampler.record_event(at(event)).is_empty(), "event {event}");
    }
}

/// Guards against an instance whose report decides the estimates of all, and against values that a
/// faulty peer sends.
#[test]
fn one_report_has_a_bounded_effect() {
    let mut fleet = TestFleet::new(9);
    fleet.answer_all(0, 100, |_| event_time(1.0));
    let first = SpeedSums { weight: 1, log_sum: i32::MIN };
    let token = SpeedSums { weight: 4, log_sum: i32::MAX };
    let key = fleet.keys[8];
    fleet.table.merge(at(0), key, SampleSource::Engine, &SpeedReport { start: 0, token, first });
    fleet.refresh(0);
    let SpeedRatios { token, first, .. } = fleet.ratios(8);
    assert!(token < 1.5 && first > 0.3, "{token}, {first}");
}

/// Guards against reports that do not fit into a datagram with those of a hundred servers, and against
/// samples that are reported twice.
#[test]
fn reports_are_short_and_sent_once() {
    let mut fleet = TestFleet::new(2);
    fleet.answer_all(0, 100, |_| event_time(3.0));
    let key = fleet.keys[0];
    assert_eq!(fleet.table.unreported().count(), 2);
    let speed = fleet.table.take_report(key, u16::MAX);
    assert!(speed.is_some() && fleet.table.take_report(key, 0).is_none());
    let load = LoadReport {
        server: u64::MAX,
        requests: 24,
        tokens: 26_896,
        waiting_tokens: 9_000,
        growth: 9_000,
        speed,
    };
    let size = |load: &LoadReport| postcard::to_stdvec(load).expect("a report").len();
    let empty = LoadReport { speed: None, ..load };
    assert!(size(&load) <= 40 && size(&load) - size(&empty) <= 12, "{}", size(&load));
}

/// Guards against a slow engine with so many runs that the pauses between their events miss the target.
#[test]
fn gap_objective_limits_the_runs_of_a_slow_engine() {
    let mut fleet = TestFleet::new(9);
    for number in 0..4 {
        fleet.answer_all(number, 100, |index| event_time([1.0, 3.0][index / 8]));
    }
    let limit = fleet.ratios(8).run_limit.expect("a limit");
    assert!((1..=10).contains(&limit), "{limit}");
    assert_eq!(fleet.ratios(0).run_limit, None);
    fleet.gap_objective = None;
    fleet.refresh(10);
    assert_eq!(fleet.ratios(8).run_limit, None);
}
