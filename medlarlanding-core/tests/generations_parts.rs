//! Unit tests of the parts of a session: cursor, stall detector, retry budget, exchange id.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::generations::{
    BudgetParams, CursorVerdict, DropReason, EndVerdict, ExchangeId, RetryBudget, StallDetector,
    StallParams, StreamCursor,
};
use medlarlanding_core::ids::{InstanceId, RequestId};
use medlarlanding_core::time::Timestamp;

/// A call of a cursor with its expected result.
enum Step {
    Attach(&'static str, u64, Result<(), DropReason>),
    Token(&'static str, u64, u64, CursorVerdict),
    End(&'static str, u64, u64, EndVerdict),
    Rewind(u64),
}

use CursorVerdict::{Deliver, Drop, Gap};
use Step::{Attach, End, Rewind, Token};

fn check_cursor(steps: &[Step]) {
    let mut cursor = StreamCursor::default();
    for (index, step) in steps.iter().enumerate() {
        match *step {
            Attach(generation, attachment, expected) => {
                assert_eq!(cursor.attach(generation, attachment), expected, "step {index}");
            },
            Token(generation, attachment, seq, expected) => {
                assert_eq!(cursor.accept(generation, attachment, seq), expected, "step {index}");
            },
            End(generation, attachment, tokens, expected) => {
                let verdict = cursor.accept_end(generation, attachment, tokens);
                assert_eq!(verdict, expected, "step {index}");
            },
            Rewind(after) => cursor.rewind(after),
        }
    }
}

// Each case guards against a token that is accepted twice, out of order, or from another
// generation or attachment.
cases! { check_cursor;
    tokens_in_order => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), Token("g", 1, 2, Deliver),
        End("g", 1, 2, EndVerdict::Complete),
    ],
    repeated_token => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver),
        Token("g", 1, 1, Drop(DropReason::Repeated)), Token("g", 1, 2, Deliver),
    ],
    token_zero => &[Attach("g", 1, Ok(())), Token("g", 1, 0, Drop(DropReason::Repeated))],
    missing_token => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), Token("g", 1, 3, Gap { after: 1 }),
        Attach("g", 2, Ok(())), Token("g", 2, 2, Deliver), Token("g", 2, 3, Deliver),
    ],
    last_sequence_number => &[Attach("g", 1, Ok(())), Token("g", 1, u64::MAX, Gap { after: 0 })],
    before_any_attachment => &[Token("g", 1, 1, Drop(DropReason::NotAttached))],
    other_generation => &[
        Attach("g", 1, Ok(())), Token("h", 1, 1, Drop(DropReason::OtherGeneration)),
        Attach("h", 2, Err(DropReason::OtherGeneration)), Token("g", 1, 1, Deliver),
        End("h", 1, 1, EndVerdict::Drop(DropReason::OtherGeneration)),
    ],
    older_attachment => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), Attach("g", 3, Ok(())),
        Token("g", 1, 2, Drop(DropReason::OldAttachment)), Token("g", 3, 2, Deliver),
        Attach("g", 2, Err(DropReason::OldAttachment)),
        Attach("g", 3, Err(DropReason::OldAttachment)),
        End("g", 1, 2, EndVerdict::Drop(DropReason::OldAttachment)),
    ],
    attachment_without_headers => &[
        Attach("g", 1, Ok(())), Token("g", 2, 1, Drop(DropReason::UnknownAttachment)),
    ],
    end_before_the_last_token => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), End("g", 1, 2, EndVerdict::Gap { after: 1 }),
    ],
    end_counts_too_few => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), End("g", 1, 0, EndVerdict::TooShort),
    ],
    empty_generation => &[Attach("g", 1, Ok(())), End("g", 1, 0, EndVerdict::Complete)],
    rewound_for_a_reconnected_caller => &[
        Attach("g", 1, Ok(())), Token("g", 1, 1, Deliver), Token("g", 1, 2, Deliver), Rewind(1),
        Attach("g", 2, Ok(())), Token("g", 2, 2, Deliver),
    ],
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

struct TimeoutCase {
    /// Arrival times of the tokens in ms; the detector is armed at 0.
    tokens: &'static [u64],
    /// Expected timeout after the last token.
    timeout_ms: u64,
}

fn check_timeout(case: TimeoutCase) {
    let mut detector = StallDetector::new(StallParams::default());
    detector.arm(at(0));
    case.tokens.iter().for_each(|&millis| detector.record_token(at(millis)));
    assert_eq!(detector.timeout(), Duration::from_millis(case.timeout_ms));
    let last = case.tokens.last().copied().unwrap_or(0);
    assert_eq!(detector.expires_at(), Some(at(last + case.timeout_ms)));
    assert!(!detector.take_expiry(at(last + case.timeout_ms - 1)));
    assert!(detector.take_expiry(at(last + case.timeout_ms)));
    assert_eq!(detector.expires_at(), None, "an expiry is reported once");
}

// Each case guards against a timeout that a healthy stream with these gaps would exceed, or
// that is longer than specified.
cases! { check_timeout;
    longest_timeout_before_the_first_gap => TimeoutCase { tokens: &[], timeout_ms: 10_000 },
    time_to_first_token_is_not_a_gap => TimeoutCase { tokens: &[9000], timeout_ms: 10_000 },
    shortest_timeout_for_fast_streams => TimeoutCase { tokens: &[100, 120, 140], timeout_ms: 500 },
    eight_gaps => TimeoutCase { tokens: &[100, 300], timeout_ms: 1_600 },
    smoothed_gaps => TimeoutCase { tokens: &[0, 200, 1000], timeout_ms: 8 * (200 * 7 + 800) / 8 },
    longest_timeout_for_slow_streams => TimeoutCase { tokens: &[0, 5000], timeout_ms: 10_000 },
}

/// Guards against a resume every 500 ms while an engine keeps a request preempted, and against
/// a timeout that stays long after tokens arrive again.
#[test]
fn timeout_doubles_until_a_token_arrives() {
    let mut detector = StallDetector::new(StallParams::default());
    detector.arm(at(0));
    (1..=10).for_each(|n| detector.record_token(at(n * 20)));
    let mut now = 200;
    for expected in [500, 1000, 2000, 4000, 8000, 10_000, 10_000] {
        assert_eq!(detector.timeout(), Duration::from_millis(expected));
        now += expected;
        assert!(detector.take_expiry(at(now)));
        detector.arm(at(now));
    }
    detector.record_token(at(now + 50));
    assert_eq!(detector.timeout(), Duration::from_millis(500));
}

/// Guards against a stall reported for a stream that the runtime has stopped reading.
#[test]
fn disarmed_detector_never_expires() {
    let mut detector = StallDetector::new(StallParams::default());
    detector.arm(at(0));
    detector.disarm();
    assert!(!detector.take_expiry(at(1_000_000)));
}

/// Guards against retries in excess of a tenth of the successes, or of the ceiling.
#[test]
fn retries_are_limited_by_successes() {
    let mut budget = RetryBudget::new(BudgetParams::default());
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 10);
    (0..9).for_each(|_| budget.record_success());
    assert!(!budget.try_spend());
    budget.record_success();
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
    (0..10_000).for_each(|_| budget.record_success());
    assert_eq!(budget.available(), 20);
    assert_eq!((0..100).filter(|_| budget.try_spend()).count(), 20);
    assert_eq!((budget.dump().spent, budget.dump().refused), (31, 172));
}

/// Guards against an exchange id that is not parsed back from the text sent to the engine.
#[test]
fn exchange_ids_are_parsed_back() {
    let request = RequestId { instance: InstanceId(7), started: 1_700_000_000_000, number: 9 };
    let exchange = ExchangeId { request, number: 3 };
    assert_eq!(ExchangeId::parse(&exchange.to_string()), Some(exchange));
    for text in ["", ".", "1-2-3", "1-2-3.", "1-2-3.-1", "1-2.3", "1-2-3.4.5"] {
        assert_eq!(ExchangeId::parse(text), None, "{text}");
    }
}
