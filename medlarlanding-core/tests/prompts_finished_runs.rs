//! Tests of the runs whose answers ended before their engines had survived the prompts.

use medlarlanding_core::cases;
use medlarlanding_core::prompts::{FinishedRun, FinishedRuns, PartId, PromptParts, RunPhase};
use medlarlanding_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

const ENGINE: u64 = 7;

/// A run whose engine began to write at some time, and whose answer ended at another.
#[derive(Clone, Copy)]
struct RunTimes {
    run: u64,
    written: u64,
    ended: u64,
    is_complete: bool,
}

fn add(runs: &mut FinishedRuns, times: RunTimes) {
    let run = FinishedRun {
        run: times.run,
        parts: PromptParts::new([PartId(1), PartId(100 + times.run)]),
        phase: RunPhase::Beginning,
        begun_at: at(times.written),
        written_at: at(times.written),
        is_complete: times.is_complete,
    };
    runs.add(at(times.ended), ENGINE, run);
}

/// What is known of finished runs. Times are in milliseconds.
struct FinishedCase<'a> {
    runs: &'a [RunTimes],
    /// Signs of life of the engine, with the runs that it has survived then.
    signs: &'a [(u64, &'a [u64])],
    /// Runs that are suspected if the engine ends afterwards.
    suspects: &'a [u64],
}

/// Guards against an answer that counts as survived at its last byte although its engine ends right after
/// it (review case 8), and against suspecting runs that the engine has outlived.
fn settles_runs(case: FinishedCase<'_>) {
    let mut runs = FinishedRuns::default();
    case.runs.iter().for_each(|times| add(&mut runs, *times));
    for (millis, survived) in case.signs {
        let found: Vec<u64> =
            runs.hear(at(*millis), ENGINE).into_iter().map(|run| run.run).collect();
        assert_eq!(found, *survived, "after {millis} ms");
    }
    assert!(runs.end(ENGINE + 1).is_empty());
    let suspects: Vec<u64> = runs.end(ENGINE).into_iter().map(|run| run.run).collect();
    assert_eq!(suspects, case.suspects);
    assert!(runs.end(ENGINE).is_empty());
}

const SHORT_RUN: RunTimes = RunTimes { run: 1, written: 100, ended: 130, is_complete: true };

cases! { settles_runs;
    short_answer_is_suspected_when_its_engine_ends => FinishedCase {
        runs: &[SHORT_RUN], signs: &[], suspects: &[1],
    },
    short_answer_is_suspected_although_others_go_on_beside_it => FinishedCase {
        runs: &[SHORT_RUN], signs: &[(150, &[]), (180, &[]), (200, &[])], suspects: &[1],
    },
    engine_that_writes_on_has_not_ended_on_the_run => FinishedCase {
        runs: &[SHORT_RUN], signs: &[(150, &[]), (500, &[])], suspects: &[],
    },
    engine_that_lives_a_second_later_has_survived_the_run => FinishedCase {
        runs: &[SHORT_RUN], signs: &[(500, &[]), (1_099, &[]), (1_100, &[1])], suspects: &[],
    },
    run_of_a_caller_that_left_is_suspected => FinishedCase {
        runs: &[RunTimes { is_complete: false, ..SHORT_RUN }], signs: &[], suspects: &[1],
    },
    run_of_a_caller_that_left_shows_nothing => FinishedCase {
        runs: &[RunTimes { is_complete: false, ..SHORT_RUN }], signs: &[(2_000, &[])],
        suspects: &[],
    },
    later_answer_is_a_sign_of_life => FinishedCase {
        runs: &[SHORT_RUN, RunTimes { run: 2, written: 700, ended: 720, is_complete: true }],
        signs: &[], suspects: &[2],
    },
    silent_engine_may_have_ended_at_once => FinishedCase {
        runs: &[SHORT_RUN, RunTimes { run: 2, written: 250, ended: 270, is_complete: true }],
        signs: &[], suspects: &[1, 2],
    },
}

/// Guards against runs that are kept for ever, or suspected of an end long after them.
#[test]
fn old_runs_are_dropped() {
    let mut runs = FinishedRuns::default();
    for run in 0..1_000 {
        add(&mut runs, RunTimes { run, written: 100 + run, ended: 130 + run, is_complete: true });
    }
    assert!(runs.end(ENGINE).len() <= 64);
    add(&mut runs, SHORT_RUN);
    assert!(runs.is_open(ENGINE, 1));
    let mut other = SHORT_RUN;
    (other.run, other.written, other.ended) = (2, 9_000, 9_030);
    add(&mut runs, other);
    assert!(!runs.is_open(ENGINE, 1) && runs.is_open(ENGINE, 2));
}
