//! Whether an answer that ended is complete.

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    BodyDelimiter, EndVerdict, ProcessIdentity, RunStop, ServerLiveness, StopOutcome,
};

use EndVerdict::{Complete, CutEvent, RunStopped, ServerEnded, Unproven};

/// Guards against an answer that looks complete without proof that its server lived on, and against
/// questions to servers whose answers prove their end themselves.
fn judges_end(case: (BodyDelimiter, bool, ServerLiveness, bool, EndVerdict)) {
    let (delimiter, is_within_event, liveness, is_asked, expected) = case;
    let unasked = EndVerdict::without_proof(delimiter, is_within_event, RunStop::NotStopped);
    assert_eq!(unasked.is_none(), is_asked);
    assert_eq!(unasked.unwrap_or_else(|| EndVerdict::with_proof(liveness)), expected);
}

cases! { judges_end;
    declared_end_is_complete => (
        BodyDelimiter::Declared, false, ServerLiveness::Ended, false, Complete,
    ),
    declared_end_within_an_event_is_broken_off => (
        BodyDelimiter::Declared, true, ServerLiveness::Alive, false, CutEvent,
    ),
    connection_end_within_an_event_is_broken_off => (
        BodyDelimiter::Connection, true, ServerLiveness::Alive, false, CutEvent,
    ),
    connection_end_of_a_living_server_is_complete => (
        BodyDelimiter::Connection, false, ServerLiveness::Alive, true, Complete,
    ),
    connection_end_of_an_ended_server_is_broken_off => (
        BodyDelimiter::Connection, false, ServerLiveness::Ended, true, ServerEnded,
    ),
    connection_end_of_a_silent_server_is_unproven => (
        BodyDelimiter::Connection, false, ServerLiveness::Unknown, true, Unproven,
    ),
}

/// Guards against a stream without a declared end that looks complete because its engine lives on after
/// it has stopped the run, and against distrust of a declared end.
fn judges_end_after_calls(case: (BodyDelimiter, &[StopOutcome], Option<EndVerdict>)) {
    let (delimiter, outcomes, expected) = case;
    let run_stop = outcomes.iter().fold(RunStop::default(), |stop, outcome| stop.after(*outcome));
    assert_eq!(EndVerdict::without_proof(delimiter, false, run_stop), expected);
}

cases! { judges_end_after_calls;
    end_without_calls_needs_proof => (BodyDelimiter::Connection, &[], None),
    end_after_a_call_that_stopped_nothing_needs_proof => (
        BodyDelimiter::Connection, &[StopOutcome::NotStopped, StopOutcome::NotStopped], None,
    ),
    end_after_a_lost_answer_is_broken_off => (
        BodyDelimiter::Connection, &[StopOutcome::Unknown], Some(RunStopped),
    ),
    end_after_a_stop_is_broken_off => (
        BodyDelimiter::Connection, &[StopOutcome::Stopped], Some(RunStopped),
    ),
    later_calls_do_not_prove_that_a_lost_one_stopped_nothing => (
        BodyDelimiter::Connection,
        &[StopOutcome::NotStopped, StopOutcome::Unknown, StopOutcome::NotStopped],
        Some(RunStopped),
    ),
    declared_end_after_a_lost_answer_is_complete => (
        BodyDelimiter::Declared, &[StopOutcome::Unknown], Some(Complete),
    ),
    declared_end_after_a_stop_is_complete => (
        BodyDelimiter::Declared, &[StopOutcome::Stopped], Some(Complete),
    ),
}

/// Guards against taking another process at the address for the one that wrote the answer.
fn tells_processes_apart(case: ((u64, &'static str), (u64, &'static str), ServerLiveness)) {
    let (expected, found, liveness) = case;
    let identity = |(born, id): (u64, &'static str)| ProcessIdentity {
        born_millis: (born > 0).then_some(born),
        id: (!id.is_empty()).then_some(id),
    };
    assert_eq!(ServerLiveness::of_process(identity(expected), identity(found)), liveness);
}

cases! { tells_processes_apart;
    same_start_is_alive => ((5, "a"), (5, "a"), ServerLiveness::Alive),
    same_start_without_an_id_is_alive => ((5, "a"), (5, ""), ServerLiveness::Alive),
    later_start_with_the_same_id_has_ended => ((5, "a"), (6, "a"), ServerLiveness::Ended),
    another_id_has_ended => ((5, "a"), (0, "b"), ServerLiveness::Ended),
    same_id_without_a_start_is_alive => ((5, "a"), (0, "a"), ServerLiveness::Alive),
    unknown_start_with_the_same_id_is_alive => ((0, "a"), (5, "a"), ServerLiveness::Alive),
    answer_without_a_name_is_unknown => ((5, "a"), (0, ""), ServerLiveness::Unknown),
    start_that_cannot_be_compared_is_unknown => ((0, "a"), (5, ""), ServerLiveness::Unknown),
}
