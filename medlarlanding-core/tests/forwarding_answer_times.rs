//! Tests of the times that answers of a route took.

use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{AnswerTimes, AnswerTimesParams};
use medlarlanding_core::time::Timestamp;

const PARAMS: AnswerTimesParams =
    AnswerTimesParams { period: Duration::from_secs(60), answers_min: 5 };

fn at(seconds: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + 1_000 * seconds)
}

/// Answers of one route: when each ended, what it took in milliseconds, and whether it was complete.
struct TimesCase {
    answers: &'static [(u64, u64, bool)],
    asked_at: u64,
    longest: Option<u64>,
}

/// Guards against a length that is taken from too few answers, from those of long ago, or without those
/// that were broken off.
fn tells_longest(case: TimesCase) {
    let mut times = AnswerTimes::new(PARAMS);
    let (route, service) = (Arc::from("route"), Arc::from("service"));
    for (seconds, millis, is_complete) in case.answers {
        let elapsed = Duration::from_millis(*millis);
        times.record(at(*seconds), &route, &service, elapsed, *is_complete);
    }
    let longest = times.longest(at(case.asked_at), &route, &service);
    assert_eq!(longest, case.longest.map(Duration::from_millis));
    assert_eq!(times.longest(at(case.asked_at), &route, &Arc::from("other")), None);
}

cases! { tells_longest;
    no_answer_tells_nothing => TimesCase { answers: &[], asked_at: 0, longest: None },
    few_answers_tell_nothing => TimesCase {
        answers: &[(0, 10, true), (1, 20, true), (2, 30, true), (3, 40, true)],
        asked_at: 4, longest: None,
    },
    enough_answers_tell_the_longest => TimesCase {
        answers: &[(0, 10, true), (1, 20, true), (2, 90, true), (3, 40, true), (4, 50, true)],
        asked_at: 5, longest: Some(90),
    },
    broken_answers_count_as_longer_but_not_as_answers => TimesCase {
        answers: &[
            (0, 10, true), (1, 20, true), (2, 900, false), (3, 40, true), (4, 50, true),
        ],
        asked_at: 5, longest: None,
    },
    long_broken_answer_is_told => TimesCase {
        answers: &[
            (0, 10, true), (1, 20, true), (2, 900, false), (3, 40, true), (4, 50, true),
            (5, 60, true),
        ],
        asked_at: 6, longest: Some(900),
    },
    answers_of_the_last_period_count => TimesCase {
        answers: &[(0, 90, true), (1, 20, true), (2, 30, true), (70, 40, true), (71, 50, true)],
        asked_at: 72, longest: Some(90),
    },
    answers_of_long_ago_do_not_count => TimesCase {
        answers: &[
            (0, 900, true), (1, 20, true), (2, 30, true), (70, 40, true), (71, 50, true),
            (140, 60, true), (141, 70, true), (142, 80, true),
        ],
        asked_at: 143, longest: Some(80),
    },
    route_without_recent_answers_tells_nothing => TimesCase {
        answers: &[(0, 10, true), (1, 20, true), (2, 90, true), (3, 40, true), (4, 50, true)],
        asked_at: 300, longest: None,
    },
}
