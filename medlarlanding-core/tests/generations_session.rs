//! Sessions as scripts of inputs, each with the exact effects that it must have.

use medlarlanding_core::ErrorKind;
use medlarlanding_core::cases;
use medlarlanding_core::config::DeliveryMode;
use medlarlanding_core::generations::{
    ExchangeId, FinishReason, GenerationSession, LostReason, SessionEffect, SessionInput,
    SessionParams, SessionPhase,
};
use medlarlanding_core::ids::{InstanceId, RequestId, ServerId};
use medlarlanding_core::time::Timestamp;

use DeliveryMode::{Stream, Whole};

const A: ServerId = ServerId(0xa);
const B: ServerId = ServerId(0xb);
const C: ServerId = ServerId(0xc);
const REQUEST: RequestId = RequestId { instance: InstanceId(1), started: 2, number: 3 };
const DEADLINE_MS: u64 = 60_000;

/// Time in ms, input, expected effects.
type Step = (u64, SessionInput, Vec<SessionEffect>);

fn start(server: ServerId) -> SessionInput {
    SessionInput::Start { server }
}

fn attached(exchange: u32, generation: &str, attachment: u64) -> SessionInput {
    let echo = Some(ExchangeId { request: REQUEST, number: exchange });
    SessionInput::Attached { exchange, echo, generation: generation.to_owned(), attachment }
}

fn token(exchange: u32, generation: &str, attachment: u64, seq: u64) -> SessionInput {
    let text = format!("{generation}{seq} ");
    SessionInput::Token { exchange, generation: generation.to_owned(), attachment, seq, text }
}

fn end(exchange: u32, generation: &str, attachment: u64, tokens: u64) -> SessionInput {
    let finish = FinishReason::Stop;
    SessionInput::End { exchange, generation: generation.to_owned(), attachment, tokens, finish }
}

fn lost(exchange: u32, reason: LostReason) -> SessionInput {
    SessionInput::Lost { exchange, reason }
}

fn open(exchange: u32, server: ServerId) -> SessionEffect {
    SessionEffect::Open { exchange, server }
}

fn resume(exchange: u32, server: ServerId, generation: &str, after: u64) -> SessionEffect {
    SessionEffect::Resume { exchange, server, generation: generation.to_owned(), after }
}

fn close(exchange: u32) -> SessionEffect {
    SessionEffect::Close { exchange }
}

fn deliver(generation: &str, seq: u64) -> SessionEffect {
    SessionEffect::Deliver { seq, text: format!("{generation}{seq} ") }
}

fn complete(tokens: u64, text: Option<&str>) -> SessionEffect {
    let text = text.map(ToOwned::to_owned);
    SessionEffect::Complete { tokens, finish: FinishReason::Stop, text }
}

fn cancel(server: ServerId, generation: &str, attachment: u64) -> SessionEffect {
    SessionEffect::Cancel { server, generation: generation.to_owned(), attachment }
}

fn suspect(server: ServerId, reason: LostReason) -> SessionEffect {
    SessionEffect::Suspect { server, reason }
}

fn release(server: ServerId) -> SessionEffect {
    SessionEffect::ReleasePermit { server }
}

fn request(avoid: &[ServerId]) -> SessionEffect {
    SessionEffect::RequestServer { avoid: avoid.to_vec() }
}

fn fail(kind: ErrorKind) -> SessionEffect {
    SessionEffect::Fail(kind)
}

fn tick() -> SessionInput {
    SessionInput::Tick
}

/// Steps of a session on server `A` that attaches to generation `g` and receives `tokens`
/// tokens, 20 ms apart.
fn running(tokens: u64, streamed: bool) -> Vec<Step> {
    let mut steps = vec![(0, start(A), vec![open(1, A)]), (10, attached(1, "g", 1), vec![])];
    for seq in 1..=tokens {
        let effects = if streamed { vec![deliver("g", seq)] } else { vec![] };
        steps.push((20 * seq, token(1, "g", 1, seq), effects));
    }
    steps
}

fn check((delivery, scripts): (DeliveryMode, Vec<Vec<Step>>)) {
    let deadline = Timestamp::from_millis(DEADLINE_MS);
    let mut session = GenerationSession::new(REQUEST, delivery, deadline, SessionParams::default());
    let mut effects = Vec::new();
    for (index, (millis, input, expected)) in scripts.into_iter().flatten().enumerate() {
        let now = Timestamp::from_millis(millis);
        if input == SessionInput::Tick {
            assert!(
                session.next_wakeup().is_some_and(|at| at <= now),
                "step {index}: no Tick is due at {millis} ms"
            );
        }
        let step = format!("step {index} at {millis} ms: {input:?}");
        session.handle(now, input, &mut effects);
        assert_eq!(effects, expected, "{step}");
        effects.clear();
    }
}

// Each case guards against one way to corrupt the response, or to leave a generation, exchange
// or permit behind.
cases! { check;
    /// A streamed response without faults.
    streamed_response => (Stream, vec![running(2, true), vec![
        (60, end(1, "g", 1, 2), vec![release(A), complete(2, None)]),
    ]]),
    whole_response => (Whole, vec![running(2, false), vec![
        (60, end(1, "g", 1, 2), vec![release(A), complete(2, Some("g1 g2 "))]),
    ]]),
    empty_response => (Whole, vec![running(0, false), vec![
        (60, end(1, "g", 1, 0), vec![release(A), complete(0, Some(""))]),
    ]]),
    /// A silent stream is resumed on a second connection while the first one stays open.
    stall_resumes_on_a_second_connection => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (610, attached(2, "g", 2), vec![close(1)]),
        (620, token(1, "g", 1, 6), vec![]),
        (630, token(2, "g", 2, 6), vec![deliver("g", 6)]),
        (640, end(2, "g", 2, 6), vec![release(A), complete(6, None)]),
    ]]),
    first_connection_continues_during_the_resume => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (605, token(1, "g", 1, 6), vec![deliver("g", 6)]),
        (610, attached(2, "g", 2), vec![close(1)]),
        (620, token(2, "g", 2, 6), vec![]),
        (630, token(2, "g", 2, 7), vec![deliver("g", 7)]),
    ]]),
    /// The engine ends the first stream because of the session's own second attachment.
    own_resume_supersedes_the_first_connection => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (605, lost(1, LostReason::Superseded), vec![]),
        (610, attached(2, "g", 2), vec![]),
        (620, token(2, "g", 2, 6), vec![deliver("g", 6)]),
    ]]),
    failed_resume_is_ignored_when_the_stream_continues => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (605, token(1, "g", 1, 6), vec![deliver("g", 6)]),
        (610, lost(2, LostReason::Closed), vec![]),
        (620, token(1, "g", 1, 7), vec![deliver("g", 7)]),
    ]]),
    /// The server is suspected only after the second connection failed as well. Resumes go on
    /// until the engine would have dropped the generation.
    silent_engine_is_suspected_after_the_second_connection => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (2600, tick(), vec![close(2), suspect(A, LostReason::Silent)]),
        (2850, tick(), vec![resume(3, A, "g", 5)]),
        (4850, tick(), vec![close(3)]),
        (5350, tick(), vec![resume(4, A, "g", 5)]),
        (5360, attached(4, "g", 4), vec![close(1)]),
        (5370, token(4, "g", 4, 6), vec![deliver("g", 6)]),
    ]]),
    generation_is_lost_after_the_window => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (2600, tick(), vec![close(2), suspect(A, LostReason::Silent)]),
        (2850, tick(), vec![resume(3, A, "g", 5)]),
        (4850, tick(), vec![close(3)]),
        (5350, tick(), vec![resume(4, A, "g", 5)]),
        (7350, tick(), vec![close(4)]),
        (8350, tick(), vec![resume(5, A, "g", 5)]),
        (10350, tick(), vec![close(5)]),
        (12350, tick(), vec![resume(6, A, "g", 5)]),
        (14350, tick(), vec![close(6), close(1), cancel(A, "g", 1), release(A), fail(ErrorKind::GenerationLost)]),
    ]]),
    closed_connection_is_resumed_at_once => (Stream, vec![running(5, true), vec![
        (110, lost(1, LostReason::Closed), vec![resume(2, A, "g", 5)]),
        (120, attached(2, "g", 2), vec![]),
        (130, token(2, "g", 2, 6), vec![deliver("g", 6)]),
    ]]),
    generation_unknown_to_the_engine_is_lost => (Stream, vec![running(5, true), vec![
        (110, lost(1, LostReason::Closed), vec![resume(2, A, "g", 5)]),
        (120, lost(2, LostReason::NotFound), vec![cancel(A, "g", 1), release(A), fail(ErrorKind::GenerationLost)]),
    ]]),
    missing_token_is_fetched => (Stream, vec![running(2, true), vec![
        (70, token(1, "g", 1, 4), vec![close(1), resume(2, A, "g", 2)]),
        (71, token(1, "g", 1, 5), vec![]),
        (80, attached(2, "g", 2), vec![]),
        (90, token(2, "g", 2, 3), vec![deliver("g", 3)]),
    ]]),
    end_before_the_last_token_is_resumed => (Stream, vec![running(2, true), vec![
        (70, end(1, "g", 1, 3), vec![close(1), resume(2, A, "g", 2)]),
    ]]),
    end_that_counts_too_few_is_resumed => (Stream, vec![running(2, true), vec![
        (70, end(1, "g", 1, 1), vec![close(1), resume(2, A, "g", 2)]),
    ]]),
    tokens_repeated_or_of_another_generation_are_dropped => (Stream, vec![running(2, true), vec![
        (50, token(1, "g", 1, 2), vec![]),
        (51, token(1, "h", 1, 3), vec![]),
        (52, end(1, "h", 1, 2), vec![]),
        (53, token(9, "g", 1, 3), vec![]),
        (54, token(1, "g", 1, 3), vec![deliver("g", 3)]),
    ]]),
    /// The response of another request arrives on the session's connection.
    swapped_response_to_an_open => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, SessionInput::Attached {
            exchange: 1,
            echo: Some(ExchangeId { request: RequestId { number: 4, ..REQUEST }, number: 1 }),
            generation: "h".to_owned(),
            attachment: 1,
        }, vec![close(1), suspect(A, LostReason::Misdelivered), release(A), request(&[A])]),
        (20, token(1, "h", 1, 1), vec![]),
    ]]),
    swapped_response_to_a_resume => (Stream, vec![running(1, true), vec![
        (50, lost(1, LostReason::Closed), vec![resume(2, A, "g", 1)]),
        (60, attached(2, "h", 2), vec![close(2), suspect(A, LostReason::Misdelivered)]),
        (310, tick(), vec![resume(3, A, "g", 1)]),
        (320, attached(3, "g", 3), vec![]),
    ]]),
    attachment_that_is_not_later => (Stream, vec![running(1, true), vec![
        (50, lost(1, LostReason::Closed), vec![resume(2, A, "g", 1)]),
        (60, attached(2, "g", 1), vec![close(2), suspect(A, LostReason::Misdelivered)]),
    ]]),
    /// Before the first delivered token, a new generation is started on another engine.
    failure_before_the_first_token => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, lost(1, LostReason::Unreachable), vec![suspect(A, LostReason::Unreachable), release(A), request(&[A])]),
        (20, start(B), vec![open(2, B)]),
        (30, attached(2, "h", 1), vec![]),
        (40, token(2, "h", 1, 1), vec![deliver("h", 1)]),
    ]]),
    engine_that_rejects_work_is_not_suspected => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, lost(1, LostReason::Rejected), vec![release(A), request(&[A])]),
    ]]),
    silence_before_the_first_token => (Stream, vec![running(0, true), vec![
        (10_010, tick(), vec![resume(2, A, "g", 0)]),
        (12_010, tick(), vec![close(2), suspect(A, LostReason::Silent), close(1), cancel(A, "g", 1), release(A), request(&[A])]),
        (12_020, start(B), vec![open(3, B)]),
    ]]),
    /// The engine has preempted the request but answers, so the generation is not replaced.
    answered_resume_without_a_token_keeps_the_generation => (Stream, vec![running(0, true), vec![
        (10_010, tick(), vec![resume(2, A, "g", 0)]),
        (10_020, attached(2, "g", 2), vec![close(1)]),
        (20_020, tick(), vec![resume(3, A, "g", 0)]),
        (20_030, attached(3, "g", 3), vec![close(2)]),
        (25_000, token(3, "g", 3, 1), vec![deliver("g", 1)]),
    ]]),
    retries_are_limited => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, lost(1, LostReason::Rejected), vec![release(A), request(&[A])]),
        (20, start(B), vec![open(2, B)]),
        (30, lost(2, LostReason::Rejected), vec![release(B), request(&[A, B])]),
        (40, start(C), vec![open(3, C)]),
        (50, lost(3, LostReason::Rejected), vec![release(C), fail(ErrorKind::BackendFailed)]),
    ]]),
    /// A refusal after an attempt must not claim that the request was not run.
    refused_retry => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, lost(1, LostReason::Closed), vec![suspect(A, LostReason::Closed), release(A), request(&[A])]),
        (20, SessionInput::Refused(ErrorKind::Overloaded), vec![fail(ErrorKind::BackendFailed)]),
    ]]),
    refused_at_first => (Stream, vec![vec![
        (0, SessionInput::Refused(ErrorKind::Overloaded), vec![fail(ErrorKind::Overloaded)]),
    ]]),
    /// Whole delivery can start another generation although tokens had arrived.
    whole_delivery_restarts => (Whole, vec![running(5, false), vec![
        (110, lost(1, LostReason::Closed), vec![resume(2, A, "g", 5)]),
        (120, lost(2, LostReason::NotFound), vec![cancel(A, "g", 1), release(A), request(&[A])]),
        (130, start(B), vec![open(3, B)]),
        (140, attached(3, "h", 1), vec![]),
        (145, token(1, "g", 1, 6), vec![]),
        (150, token(3, "h", 1, 1), vec![]),
        (160, end(3, "h", 1, 1), vec![release(B), complete(1, Some("h1 "))]),
    ]]),
    whole_delivery_resumes_first => (Whole, vec![running(2, false), vec![
        (110, lost(1, LostReason::Closed), vec![resume(2, A, "g", 2)]),
        (120, attached(2, "g", 2), vec![]),
        (130, token(2, "g", 2, 3), vec![]),
        (140, end(2, "g", 2, 3), vec![release(A), complete(3, Some("g1 g2 g3 "))]),
    ]]),
    deadline_before_the_start => (Stream, vec![vec![
        (60_000, tick(), vec![fail(ErrorKind::DeadlineNotRun)]),
        (60_001, start(A), vec![release(A)]),
    ]]),
    permit_after_the_deadline => (Stream, vec![vec![
        (60_000, start(A), vec![release(A), fail(ErrorKind::DeadlineNotRun)]),
    ]]),
    deadline_before_any_answer => (Stream, vec![vec![
        (55_000, start(A), vec![open(1, A)]),
        (60_000, tick(), vec![close(1), release(A), fail(ErrorKind::BackendFailed)]),
    ]]),
    deadline_while_running => (Stream, vec![running(1, true), vec![
        (60_000, tick(), vec![close(1), cancel(A, "g", 1), release(A), fail(ErrorKind::DeadlineRan)]),
        (60_010, token(1, "g", 1, 2), vec![]),
        (60_020, stray_input(), vec![]),
    ]]),
    cancelled_by_the_caller => (Stream, vec![running(1, true), vec![
        (50, SessionInput::CallerCancelled, vec![close(1), cancel(A, "g", 1), release(A), fail(ErrorKind::Cancelled)]),
    ]]),
    /// Headers that arrive after the end of the response name a generation that still runs.
    late_generation_is_cancelled => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, SessionInput::CallerCancelled, vec![close(1), release(A), fail(ErrorKind::Cancelled)]),
        (20, attached(1, "g", 1), vec![cancel(A, "g", 1)]),
    ]]),
    late_generation_of_a_replaced_engine_is_cancelled => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10_000, tick(), vec![close(1), suspect(A, LostReason::Silent), release(A), request(&[A])]),
        (10_010, start(B), vec![open(2, B)]),
        (10_020, attached(2, "g", 1), vec![]),
        (10_030, attached(1, "g", 1), vec![cancel(A, "g", 1)]),
        (10_040, token(1, "g", 1, 1), vec![]),
    ]]),
    late_headers_without_echo_are_ignored => (Stream, vec![vec![
        (0, start(A), vec![open(1, A)]),
        (10, SessionInput::CallerCancelled, vec![close(1), release(A), fail(ErrorKind::Cancelled)]),
        (20, SessionInput::Attached { exchange: 1, echo: None, generation: "g".to_owned(), attachment: 1 }, vec![]),
    ]]),
    late_attachment_after_a_cancel => (Stream, vec![running(5, true), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (605, SessionInput::CallerCancelled, vec![close(1), close(2), cancel(A, "g", 1), release(A), fail(ErrorKind::Cancelled)]),
        (610, attached(2, "g", 2), vec![cancel(A, "g", 2)]),
    ]]),
    /// The generation is cancelled when the caller does not reconnect in time.
    caller_disconnected_beyond_the_grace_period => (Stream, vec![running(1, true), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, token(1, "g", 1, 2), vec![]),
        (10_100, tick(), vec![close(1), cancel(A, "g", 1), release(A), fail(ErrorKind::Cancelled)]),
    ]]),
    caller_reconnects_within_the_grace_period => (Stream, vec![running(3, true), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, token(1, "g", 1, 4), vec![]),
        (200, SessionInput::CallerReconnected { connection: 2, after: 2 }, vec![close(1), resume(2, A, "g", 2)]),
        (210, attached(2, "g", 2), vec![]),
        (220, token(2, "g", 2, 3), vec![deliver("g", 3)]),
        (230, token(2, "g", 2, 4), vec![deliver("g", 4)]),
    ]]),
    caller_reconnects_before_its_old_connection_closes => (Stream, vec![running(3, true), vec![
        (200, SessionInput::CallerReconnected { connection: 2, after: 3 }, vec![close(1), resume(2, A, "g", 3)]),
        (210, attached(2, "g", 2), vec![]),
        (220, token(2, "g", 2, 4), vec![deliver("g", 4)]),
    ]]),
    /// The end of the old connection is noticed late and must not affect the new connection.
    old_connection_closes_after_the_caller_reconnects => (Stream, vec![running(3, true), vec![
        (200, SessionInput::CallerReconnected { connection: 2, after: 3 }, vec![close(1), resume(2, A, "g", 3)]),
        (205, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (206, SessionInput::CallerReconnected { connection: 2, after: 1 }, vec![]),
        (210, attached(2, "g", 2), vec![]),
        (220, token(2, "g", 2, 4), vec![deliver("g", 4)]),
    ]]),
    /// The engine finishes while the caller is disconnected: the permit is released at once and
    /// the missing tokens can still be fetched.
    end_while_the_caller_is_disconnected => (Stream, vec![running(3, true), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, end(1, "g", 1, 4), vec![release(A)]),
        (200, SessionInput::CallerReconnected { connection: 2, after: 3 }, vec![resume(2, A, "g", 3)]),
        (210, attached(2, "g", 2), vec![]),
        (220, token(2, "g", 2, 4), vec![deliver("g", 4)]),
        (230, end(2, "g", 2, 4), vec![complete(4, None)]),
    ]]),
    grace_period_expires_after_the_end => (Stream, vec![running(3, true), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, end(1, "g", 1, 4), vec![release(A)]),
        (10_100, tick(), vec![fail(ErrorKind::Cancelled)]),
    ]]),
    /// Another instance may have attached, so a lost connection is not resumed without a caller.
    connection_lost_while_the_caller_is_disconnected => (Stream, vec![running(3, true), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, lost(1, LostReason::Superseded), vec![]),
        (10_100, tick(), vec![cancel(A, "g", 1), release(A), fail(ErrorKind::Cancelled)]),
    ]]),
    whole_delivery_continues_without_its_caller => (Whole, vec![running(1, false), vec![
        (100, SessionInput::CallerDisconnected { connection: 1 }, vec![]),
        (110, token(1, "g", 1, 2), vec![]),
        (120, SessionInput::CallerReconnected { connection: 2, after: 0 }, vec![]),
        (130, end(1, "g", 1, 2), vec![release(A), complete(2, Some("g1 g2 "))]),
    ]]),
    /// A generation from a resume handle is resumed, never started again.
    adopted_generation => (Stream, vec![vec![
        (0, SessionInput::Adopt { server: A, generation: "g".to_owned(), after: 7 }, vec![resume(1, A, "g", 7)]),
        (10, attached(1, "g", 4), vec![]),
        (20, token(1, "g", 4, 7), vec![]),
        (30, token(1, "g", 4, 8), vec![deliver("g", 8)]),
        (40, end(1, "g", 4, 8), vec![release(A), complete(8, None)]),
    ]]),
    adopted_generation_unknown_to_the_engine => (Stream, vec![vec![
        (0, SessionInput::Adopt { server: A, generation: "g".to_owned(), after: 0 }, vec![resume(1, A, "g", 0)]),
        (10, lost(1, LostReason::NotFound), vec![cancel(A, "g", 0), release(A), fail(ErrorKind::GenerationLost)]),
    ]]),
    adopted_whole_response_needs_every_token => (Whole, vec![vec![
        (0, SessionInput::Adopt { server: A, generation: "g".to_owned(), after: 2 }, vec![resume(1, A, "g", 0)]),
        (10, attached(1, "g", 2), vec![]),
        (20, token(1, "g", 2, 1), vec![]),
        (30, end(1, "g", 2, 1), vec![release(A), complete(1, Some("g1 "))]),
    ]]),
    /// The caller reconnected at another instance, so the response ends without a cancel.
    superseded_by_another_instance => (Stream, vec![running(3, true), vec![
        (100, lost(1, LostReason::Superseded), vec![release(A), fail(ErrorKind::Cancelled)]),
    ]]),
    /// A late resume by the previous session does not end the session that adopted the
    /// generation.
    adopted_session_resumes_when_superseded => (Stream, vec![vec![
        (0, SessionInput::Adopt { server: A, generation: "g".to_owned(), after: 1 }, vec![resume(1, A, "g", 1)]),
        (10, attached(1, "g", 2), vec![]),
        (20, lost(1, LostReason::Superseded), vec![resume(2, A, "g", 1)]),
        (30, attached(2, "g", 4), vec![]),
        (40, token(2, "g", 4, 2), vec![deliver("g", 2)]),
        (50, lost(2, LostReason::Superseded), vec![resume(3, A, "g", 2)]),
        (60, attached(3, "g", 6), vec![]),
        (70, lost(3, LostReason::Superseded), vec![]),
        (320, tick(), vec![resume(4, A, "g", 2)]),
    ]]),
    /// An attachment number higher than the session's own resumes allow reveals another
    /// instance.
    starting_session_ends_when_superseded => (Stream, vec![running(3, true), vec![
        (100, lost(1, LostReason::Closed), vec![resume(2, A, "g", 3)]),
        (110, attached(2, "g", 3), vec![close(2), release(A), fail(ErrorKind::Cancelled)]),
    ]]),
    /// The later attachment may be a resume that ended before its headers, both before and after
    /// a restart.
    own_lost_resume_supersedes_the_stream => (Whole, vec![running(5, false), vec![
        (600, tick(), vec![resume(2, A, "g", 5)]),
        (610, lost(2, LostReason::Closed), vec![suspect(A, LostReason::Closed)]),
        (615, lost(1, LostReason::Superseded), vec![]),
        (860, tick(), vec![resume(3, A, "g", 5)]),
        (870, lost(3, LostReason::NotFound), vec![cancel(A, "g", 1), release(A), request(&[A])]),
        (880, start(B), vec![open(4, B)]),
        (890, attached(4, "h", 1), vec![]),
        (900, token(4, "h", 1, 1), vec![]),
        (910, token(4, "h", 1, 2), vec![]),
        (1410, tick(), vec![resume(5, B, "h", 2)]),
        (1420, lost(5, LostReason::Closed), vec![suspect(B, LostReason::Closed)]),
        (1425, lost(4, LostReason::Superseded), vec![]),
        (1670, tick(), vec![resume(6, B, "h", 2)]),
        (1680, attached(6, "h", 3), vec![]),
        (1690, end(6, "h", 3, 2), vec![release(B), complete(2, Some("h1 h2 "))]),
    ]]),
    /// The silence while the runtime does not read for a slow caller is not a stall.
    slow_caller_is_not_a_stall => (Stream, vec![running(5, true), vec![
        (150, SessionInput::ReadPaused, vec![]),
        (5000, stray_input(), vec![]),
        (5100, SessionInput::ReadContinued, vec![]),
        (5110, token(1, "g", 1, 6), vec![deliver("g", 6)]),
        (5610, tick(), vec![resume(2, A, "g", 6)]),
    ]]),
}

/// An input without effect, for steps at which no `Tick` is due.
fn stray_input() -> SessionInput {
    SessionInput::Lost { exchange: u32::MAX, reason: LostReason::Closed }
}

/// Guards against endless resumes when each of them attaches but none brings a token.
#[test]
fn resumes_without_a_token_are_limited() {
    let deadline = Timestamp::from_millis(10 * DEADLINE_MS);
    let mut session = GenerationSession::new(REQUEST, Stream, deadline, SessionParams::default());
    let (mut effects, mut now, mut attachment) = (Vec::new(), 0, 0);
    let mut resumes = 0;
    session.handle(Timestamp(0), start(A), &mut effects);
    while session.phase() != SessionPhase::Finished {
        let Some(effect) = effects.pop() else {
            now = session.next_wakeup().unwrap().as_millis();
            session.handle(Timestamp::from_millis(now), tick(), &mut effects);
            continue;
        };
        if let SessionEffect::Open { exchange, .. } | SessionEffect::Resume { exchange, .. } =
            effect
        {
            attachment += 1;
            resumes += 1;
            let at = Timestamp::from_millis(now);
            session.handle(at, attached(exchange, "g", attachment), &mut effects);
            if attachment == 1 {
                session.handle(at, token(exchange, "g", 1, 1), &mut effects);
            }
            session.handle(at, lost(exchange, LostReason::Closed), &mut effects);
        }
    }
    assert_eq!(resumes, 17, "the open and 16 resumes");
    assert_eq!(effects.last(), Some(&fail(ErrorKind::GenerationLost)));
    assert!(now < 30_000, "resumes went on for {now} ms");
}

/// Guards against two sessions that supersede each other until the deadline.
#[test]
fn adopted_session_ends_when_superseded_repeatedly() {
    let deadline = Timestamp::from_millis(10 * DEADLINE_MS);
    let mut session = GenerationSession::new(REQUEST, Stream, deadline, SessionParams::default());
    let mut effects = Vec::new();
    let adopt = SessionInput::Adopt { server: A, generation: "g".to_owned(), after: 0 };
    session.handle(Timestamp(0), adopt, &mut effects);
    let mut rounds = 0;
    while session.phase() != SessionPhase::Finished {
        rounds += 1;
        let at = Timestamp::from_millis(10 * rounds);
        let exchange = u32::try_from(rounds).unwrap();
        session.handle(at, attached(exchange, "g", 2 * rounds), &mut effects);
        session.handle(at, token(exchange, "g", 2 * rounds, rounds), &mut effects);
        session.handle(at, lost(exchange, LostReason::Superseded), &mut effects);
    }
    assert_eq!(rounds, 17);
    assert_eq!(effects.last(), Some(&fail(ErrorKind::Cancelled)));
    assert!(!effects.iter().any(|effect| matches!(effect, SessionEffect::Cancel { .. })));
}

/// Guards against a second permit that would never be released.
#[test]
#[should_panic(expected = "a second permit arrives while one is held")]
fn second_permit_panics() {
    let steps = vec![(0, start(A), vec![open(1, A)]), (1, start(B), vec![])];
    check((Stream, vec![steps]));
}
