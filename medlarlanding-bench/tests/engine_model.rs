//! Tests of the model engine in virtual time.

use std::collections::HashMap;
use std::time::Duration;

use medlarlanding_bench::engine_model::{
    EngineInput, EngineModel, EngineOutput, EngineParams, FinishReason, GoneReason, Submission,
};
use medlarlanding_core::time::Timestamp;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

fn submission(request: u64, prompt_tokens: u32, output_tokens: u32) -> Submission {
    Submission {
        request,
        prompt_tokens,
        prefix: None,
        prefix_tokens: 0,
        output_tokens,
        max_tokens: 10_000,
        priority: 5,
    }
}

/// Runs the model until nothing is due any more. Returns the time of the last step or event.
fn run_until_idle(model: &mut EngineModel, outputs: &mut Vec<EngineOutput>) -> Timestamp {
    let mut now = Timestamp::default();
    while let Some(at) = model.next_wakeup() {
        now = at;
        model.handle(now, EngineInput::Tick, outputs);
    }
    now
}

/// Checks that every exchange received each token once and in order. Returns the lengths by request.
fn check_tokens(outputs: &[EngineOutput]) -> HashMap<u64, u32> {
    let mut last = HashMap::new();
    let mut ended = HashMap::new();
    for output in outputs {
        match *output {
            EngineOutput::Token { request, seq, .. } => {
                assert!(!ended.contains_key(&request), "token after the end of {request}");
                let last = last.entry(request).or_insert(0);
                assert_eq!(seq, *last + 1, "tokens of {request} must be consecutive");
                *last = seq;
            },
            EngineOutput::Ended { request, tokens, .. } => {
                assert_eq!(last.get(&request), Some(&tokens), "length of {request}");
                assert!(ended.insert(request, tokens).is_none(), "{request} ended twice");
            },
            _ => {},
        }
    }
    ended
}

/// Guards against lost or repeated tokens when sequences are preempted and recomputed.
#[test]
fn preempted_generations_are_complete() {
    let params = EngineParams { kv_tokens: 2_000, max_batch: 16, ..EngineParams::default() };
    let mut model = EngineModel::new(params, 1);
    let mut outputs = Vec::new();
    for request in 0..40 {
        let input = EngineInput::Submit(submission(request, 100, 300 + request as u32));
        model.handle(Timestamp(request), input, &mut outputs);
    }
    run_until_idle(&mut model, &mut outputs);
    let ended = check_tokens(&outputs);
    let stats = model.stats();
    assert_eq!(ended.len(), 40);
    assert!((0..40).all(|request| ended[&request] == 300 + request as u32));
    assert!(
        stats.preemptions > 0,
        "memory for 5 of 16 full-length sequences must cause preemptions"
    );
    assert!(stats.stall_micros > 0 && stats.recomputed_tokens > 0);
    assert_eq!(stats.tokens, ended.values().map(|&tokens| u64::from(tokens)).sum::<u64>());
    assert_eq!(model.dump().kv_used, 0);
    assert_eq!(model.dump().known, 0, "finished generations are dropped after the keep time");
}

/// Guards against a resumed stream that loses or repeats tokens, and against the cancellation of a
/// later attachment's stream by an earlier attachment.
#[test]
fn resume_continues_at_the_offset() {
    let mut model = EngineModel::new(EngineParams::default(), 2);
    let mut outputs = Vec::new();
    model.handle(Timestamp(0), EngineInput::Submit(submission(1, 50, 200)), &mut outputs);
    let EngineOutput::Started { generation, attachment: 1, .. } = outputs[0] else {
        panic!("not started: {outputs:?}");
    };
    let now = Timestamp::from_millis(1_000);
    model.handle(now, EngineInput::Detach { generation, attachment: 1 }, &mut outputs);
    let seen = outputs.len() as u32 - 1;
    assert!(seen > 20, "tokens before the detach: {seen}");

    let now = Timestamp::from_millis(2_000);
    outputs.clear();
    let resume = EngineInput::Resume { request: 2, generation, after: 10 };
    model.handle(now, resume, &mut outputs);
    let first = outputs[1];
    assert!(matches!(first, EngineOutput::Token { request: 2, attachment: 2, seq: 11, .. }));

    model.handle(now, EngineInput::Cancel { generation, attachment: 1 }, &mut outputs);
    run_until_idle(&mut model, &mut outputs);
    let tokens: Vec<u32> = outputs
        .iter()
        .filter_map(|output| match *output {
            EngineOutput::Token { request: 2, seq, .. } => Some(seq),
            _ => None,
        })
        .collect();
    assert_eq!(tokens, (11..=200).collect::<Vec<_>>());
    assert!(outputs.iter().any(|output| matches!(
        output,
        EngineOutput::Ended { request: 2, tokens: 200, finish: FinishReason::Stop, .. }
    )));
}

/// Guards against memory held for ever by a generation whose caller does not resume it.
#[test]
fn detached_generation_expires() {
    let mut model = EngineModel::new(EngineParams::default(), 3);
    let mut outputs = Vec::new();
    model.handle(Timestamp(0), EngineInput::Submit(submission(1, 50, 9_000)), &mut outputs);
    let EngineOutput::Started { generation, .. } = outputs[0] else { panic!("not started") };
    model.handle(Timestamp(5), EngineInput::Detach { generation, attachment: 1 }, &mut outputs);
    let end = run_until_idle(&mut model, &mut outputs);
    assert!(end.since(Timestamp::default()) < Duration::from_secs(11));
    assert!(matches!(outputs.last(), Some(EngineOutput::Gone { reason: GoneReason::Expired, .. })));
    let resume = EngineInput::Resume { request: 2, generation, after: 0 };
    model.handle(end, resume, &mut outputs);
    assert!(matches!(outputs.last(), Some(EngineOutput::Gone { reason: GoneReason::Unknown, .. })));
    assert_eq!(model.dump().kv_used, 0);
}

/// Guards against an engine that ignores priorities while requests wait for the batch.
#[test]
fn urgent_requests_leave_the_queue_first() {
    let params = EngineParams { max_batch: 1, ..EngineParams::default() };
    let mut model = EngineModel::new(params, 4);
    let mut outputs = Vec::new();
    for (request, priority) in [(1, 5), (2, 1), (3, 9)] {
        let submission = Submission { priority, ..submission(request, 10, 5) };
        model.handle(Timestamp(request), EngineInput::Submit(submission), &mut outputs);
    }
    run_until_idle(&mut model, &mut outputs);
    let order: Vec<u64> = outputs
        .iter()
        .filter_map(|output| match *output {
            EngineOutput::Ended { request, .. } => Some(request),
            _ => None,
        })
        .collect();
    assert_eq!(order, [1, 3, 2]);
}

/// Guards against load reports that show the current load or never change.
#[test]
fn load_reports_lag() {
    let mut model = EngineModel::new(EngineParams::default(), 5);
    let mut outputs = Vec::new();
    let start = Timestamp::from_millis(10_000);
    model.handle(start, EngineInput::Submit(submission(1, 100, 400)), &mut outputs);
    assert_eq!(model.load_report(start).running, 0);
    let later = Timestamp::from_millis(13_000);
    model.handle(later, EngineInput::Tick, &mut outputs);
    let report = model.load_report(later);
    assert_eq!(report.running, 1);
    assert!((1_000..1_600).contains(&report.age_ms), "age {}", report.age_ms);
    assert!(report.kv_used < model.load_now().kv_used);
}

/// Guards against cache events without losses or without delay, which would hide faults of a router
/// that relies on them.
#[test]
fn cache_events_come_late_and_with_gaps() {
    let params = EngineParams {
        prefix_cache_tokens: 1_000,
        cache_event_loss: 0.3,
        ..EngineParams::default()
    };
    let mut model = EngineModel::new(params, 6);
    let mut outputs = Vec::new();
    for request in 0..100 {
        let submission = Submission {
            prefix: Some(request % 20),
            prefix_tokens: 100,
            ..submission(request, 150, 10)
        };
        let now = Timestamp::from_millis(request * 500);
        model.handle(now, EngineInput::Submit(submission), &mut outputs);
        assert!(request > 0 || !outputs.iter().any(|o| matches!(o, EngineOutput::Cache { .. })));
    }
    run_until_idle(&mut model, &mut outputs);
    let numbers: Vec<u64> = outputs
        .iter()
        .filter_map(|output| match *output {
            EngineOutput::Cache { number, .. } => Some(number),
            _ => None,
        })
        .collect();
    let highest = *numbers.last().expect("events were published");
    assert!(numbers.is_sorted());
    let share = numbers.len() as f64 / highest as f64;
    assert!((0.55..0.85).contains(&share), "share of events that arrived: {share}");
}

/// Guards against lost or repeated tokens and unfinished generations under random inputs. The model
/// asserts on every call that its memory in use equals the memory held.
#[test]
fn random_inputs_keep_the_invariants() {
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);
        let params = EngineParams {
            kv_tokens: rng.random_range(500..3_000),
            max_batch: rng.random_range(2..20),
            ..EngineParams::default()
        };
        let mut model = EngineModel::new(params, seed);
        let mut outputs = Vec::new();
        let mut now = Timestamp::default();
        let mut known: Vec<(u64, u32)> = Vec::new();
        for request in 0..300u64 {
            now = now + Duration::from_millis(rng.random_range(0..200));
            let before = outputs.len();
            let pick = known.get(rng.random_range(0..known.len().max(1))).copied();
            let input = match (rng.random_range(0..10), pick) {
                (0, Some((generation, attachment))) => {
                    EngineInput::Cancel { generation, attachment }
                },
                (1, Some((generation, attachment))) => {
                    EngineInput::Detach { generation, attachment }
                },
                (2, Some((generation, _))) => {
                    let after = rng.random_range(0..=model.decoded(generation).unwrap_or(0));
                    EngineInput::Resume { request, generation, after }
                },
                _ => EngineInput::Submit(Submission {
                    priority: rng.random_range(0..10),
                    ..submission(request, rng.random_range(1..600), rng.random_range(1..400))
                }),
            };
            model.handle(now, input, &mut outputs);
            for output in &outputs[before..] {
                if let EngineOutput::Started { generation, attachment, .. } = *output {
                    known.retain(|entry| entry.0 != generation);
                    known.push((generation, attachment));
                }
            }
        }
        run_until_idle(&mut model, &mut outputs);
        let mut last: HashMap<u64, u32> = HashMap::new();
        for output in &outputs {
            if let EngineOutput::Token { request, seq, .. } = *output {
                let previous = last.insert(request, seq);
                assert!(previous.is_none_or(|previous| seq == previous + 1), "seed {seed}");
            }
        }
        let stats = model.stats();
        assert_eq!(stats.submitted, stats.completed + stats.abandoned, "seed {seed}");
        assert_eq!(model.dump().known, 0, "seed {seed}");
    }
}

/// Guards against a model too slow for discrete-event simulation: 20,000 requests within 30 s.
#[test]
fn many_requests_run_in_bounded_time() {
    let started = std::time::Instant::now();
    let mut model = EngineModel::new(EngineParams::default(), 7);
    let mut outputs = Vec::new();
    for request in 0..20_000u64 {
        let now = Timestamp::from_millis(request * 100);
        model.handle(now, EngineInput::Submit(submission(request, 500, 150)), &mut outputs);
        outputs.clear();
    }
    run_until_idle(&mut model, &mut outputs);
    assert_eq!(model.stats().completed, 20_000);
    let elapsed = started.elapsed();
    println!("20,000 requests, {} tokens in {elapsed:?}", model.stats().tokens);
    assert!(elapsed < Duration::from_secs(30), "{elapsed:?}");
}
