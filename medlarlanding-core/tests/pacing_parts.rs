//! Tests of the comparison with peers and of the shares of instances in a limit.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::ids::InstanceId;
use medlarlanding_core::pacing::{
    AnswerKind, AnswerPart, AnswerSample, InstanceShare, PeerBaseline,
};
use medlarlanding_core::time::Timestamp;

const KIND: AnswerKind = AnswerKind(7);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Guards against ratios of times that no caller notices, of a few times, or of old ones.
fn compares_with_peers((peers_ms, age_ms, time_ms, expected): (&[u64], u64, u64, Option<f64>)) {
    let mut baseline = PeerBaseline::default();
    let sample = |millis: u64| AnswerSample {
        kind: KIND,
        part: AnswerPart::First,
        sent_at: at(0),
        time: Duration::from_millis(millis),
    };
    for millis in peers_ms {
        baseline.record(at(0), &sample(*millis));
    }
    let judged = baseline.judge(at(age_ms), &sample(time_ms));
    let rounded = judged.ratio.map(|ratio| (ratio * 10.0).round() / 10.0);
    assert_eq!(rounded, expected);
    let other = AnswerSample { kind: AnswerKind(8), ..sample(time_ms) };
    assert_eq!(baseline.judge(at(age_ms), &other).ratio, None, "another kind");
}

cases! { compares_with_peers;
    as_fast_as_the_peers => (&[60, 60, 60, 60, 60], 0, 60, Some(1.0)),
    three_times_as_long => (&[60, 60, 60, 60, 60], 0, 220, Some(3.0)),
    a_few_milliseconds => (&[2, 2, 2, 2, 2], 0, 8, Some(1.3)),
    one_long_time_of_a_peer => (&[60, 60, 60, 60, 9_000], 0, 60, Some(1.0)),
    too_few_times => (&[60, 60, 60, 60], 0, 60, None),
    times_of_the_last_minute => (&[60, 60, 60, 60, 60], 59_000, 60, Some(1.0)),
    older_times => (&[60, 60, 60, 60, 60], 61_000, 60, None),
    time_out_of_all_proportion => (&[60, 60, 60, 60, 60], 0, 3_600_000, Some(16.0)),
}

/// Guards against limits whose parts add up to more than the limit, or to nothing.
fn shares_add_up((count, limit): (u64, u32)) {
    let ids = || (1..=count).map(InstanceId);
    let shares = ids().map(|own| InstanceShare::of_instance(5, own, ids()));
    let parts: Vec<u32> = shares.map(|share| share.of_limit(limit)).collect();
    assert_eq!(parts.iter().sum::<u32>(), limit.max(1));
}

cases! { shares_add_up;
    one_of_one => (1, 1),
    nothing_counts_as_one => (74, 0),
    one_of_74 => (74, 1),
    more_than_instances => (12, 24),
    remainder => (74, 100),
    large_fleet => (350, 24),
}
