//! Tests of the ledger of runs that the ends of their engines broke off.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::prompts::{
    CrashKey, CrashLedger, LedgerNews, LedgerParams, PartId, PromptParts, PromptVerdict, RunPhase,
};
use medlarlanding_core::time::Timestamp;

use quickcheck::{Gen, QuickCheck};

/// Part that all prompts of a route share.
const FIRST: u64 = 0xf;
/// Another part that sound prompts share.
const SOUND: u64 = 0x50;
/// Part on which engines end.
const FATAL: u64 = 0xfa;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

fn prompt(shared: &[u64], own: u64) -> PromptParts {
    PromptParts::new(shared.iter().chain([&own]).map(|part| PartId(*part)))
}

/// A run that the end of an engine broke off: time, engine, phase and shared parts. Each has a part of
/// its own.
type BrokenRun<'a> = (u64, u64, RunPhase, &'a [u64]);

fn ledger_of(runs: &[BrokenRun<'_>], familiar: &[u64]) -> CrashLedger {
    let mut ledger = CrashLedger::default();
    ledger.record_survival(at(0), at(0), &prompt(familiar, 0x9999));
    for (number, (millis, server, phase, shared)) in runs.iter().enumerate() {
        let key = CrashKey { server: *server, run: number as u64 };
        let parts = prompt(shared, 0x1000 + number as u64);
        ledger.record_crash(at(*millis), key, *phase, parts);
    }
    ledger
}

const BEGINNING: RunPhase = RunPhase::Beginning;
const WRITING: RunPhase = RunPhase::Writing;
const WAITING: RunPhase = RunPhase::Waiting;
const HIDDEN: RunPhase = RunPhase::Hidden;

struct BlameCase<'a> {
    runs: &'a [BrokenRun<'a>],
    familiar: &'a [u64],
    /// Whether a fatal prompt and a sound one are blocked afterwards.
    blocked: (bool, bool),
}

/// Guards against engines that end one after the other on one part of prompts, and against refusing
/// sound prompts that share the other parts, whichever other runs the same ends broke off.
fn blames(case: BlameCase<'_>) {
    let ledger = ledger_of(case.runs, case.familiar);
    let now = at(100_000);
    let fatal = ledger.check(now, &prompt(&[FIRST, FATAL], 0x77)).is_some();
    let sound = ledger.check(now, &prompt(&[FIRST, SOUND], 0x78)).is_some();
    assert_eq!((fatal, sound), case.blocked, "{:?}", ledger.blocked(now));
}

cases! { blames;
    one_end_blocks_nothing => BlameCase {
        runs: &[(100, 1, BEGINNING, &[FIRST, FATAL])], familiar: &[FIRST], blocked: (false, false),
    },
    two_ends_block_nothing => BlameCase {
        runs: &[(100, 1, BEGINNING, &[FIRST, FATAL]), (200, 2, BEGINNING, &[FIRST, FATAL])],
        familiar: &[FIRST], blocked: (false, false),
    },
    three_ends_block_their_part => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (200, 2, BEGINNING, &[FIRST, FATAL]),
            (300, 3, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST, SOUND], blocked: (true, false),
    },
    three_runs_of_one_end_block_nothing => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (100, 1, BEGINNING, &[FIRST, FATAL]),
            (101, 1, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (false, false),
    },
    fatal_runs_that_reach_an_engine_together_count_like_one => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (100, 1, BEGINNING, &[FIRST, FATAL]),
            (200, 2, BEGINNING, &[FIRST, FATAL]), (200, 2, WAITING, &[FIRST, FATAL]),
            (300, 3, BEGINNING, &[FIRST, FATAL]), (300, 3, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (true, false),
    },
    three_ends_of_one_engine_block_their_part => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (2_200, 1, BEGINNING, &[FIRST, FATAL]),
            (4_300, 1, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST, SOUND], blocked: (true, false),
    },
    parts_that_no_run_survived_block_only_together => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (200, 2, BEGINNING, &[FIRST, FATAL]),
            (300, 3, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[], blocked: (true, false),
    },
    whole_answers_count_like_streams => BlameCase {
        runs: &[
            (100, 1, HIDDEN, &[FIRST, FATAL]), (200, 2, HIDDEN, &[FIRST, FATAL]),
            (300, 3, HIDDEN, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (true, false),
    },
    five_ends_with_two_suspects_block_the_common_part => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (100, 1, BEGINNING, &[FIRST, 1]),
            (200, 2, BEGINNING, &[FIRST, FATAL]), (200, 2, BEGINNING, &[FIRST, 2]),
            (300, 3, BEGINNING, &[FIRST, FATAL]), (300, 3, BEGINNING, &[FIRST, 3]),
            (400, 4, BEGINNING, &[FIRST, FATAL]), (400, 4, BEGINNING, &[FIRST, 4]),
            (500, 5, BEGINNING, &[FIRST, FATAL]), (500, 5, BEGINNING, &[FIRST, 5]),
        ],
        familiar: &[FIRST], blocked: (true, false),
    },
    sound_runs_beside_the_fatal_ones_are_not_blocked => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (100, 1, BEGINNING, &[FIRST, SOUND]),
            (200, 2, BEGINNING, &[FIRST, FATAL]), (200, 2, WAITING, &[FIRST, SOUND]),
            (300, 3, BEGINNING, &[FIRST, FATAL]), (300, 3, WRITING, &[FIRST, SOUND]),
            (400, 4, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST, SOUND], blocked: (true, false),
    },
    sound_runs_with_unfamiliar_parts_are_not_blocked => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (100, 1, BEGINNING, &[FIRST, SOUND]),
            (200, 2, BEGINNING, &[FIRST, FATAL]), (200, 2, WAITING, &[FIRST, SOUND]),
            (300, 3, BEGINNING, &[FIRST, FATAL]), (400, 4, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (true, false),
    },
    waiting_and_writing_runs_of_six_ends_block_nothing => BlameCase {
        runs: &[
            (100, 1, WAITING, &[FIRST, FATAL]), (200, 2, WAITING, &[FIRST, FATAL]),
            (300, 3, WAITING, &[FIRST, FATAL]), (400, 4, WRITING, &[FIRST, FATAL]),
            (500, 5, WRITING, &[FIRST, FATAL]), (600, 6, WRITING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (false, false),
    },
    waiting_runs_are_blocked_in_the_end => BlameCase {
        runs: &[
            (100, 1, WAITING, &[FIRST, FATAL]), (200, 2, WAITING, &[FIRST, FATAL]),
            (300, 3, WAITING, &[FIRST, FATAL]), (400, 4, WAITING, &[FIRST, FATAL]),
            (500, 5, WAITING, &[FIRST, FATAL]), (600, 6, WAITING, &[FIRST, FATAL]),
            (700, 7, WAITING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST], blocked: (true, false),
    },
    part_that_was_sound_before_is_blocked => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, FATAL]), (200, 2, BEGINNING, &[FIRST, FATAL]),
            (300, 3, BEGINNING, &[FIRST, FATAL]),
        ],
        familiar: &[FIRST, SOUND, FATAL], blocked: (true, false),
    },
    ends_on_different_parts_block_nothing => BlameCase {
        runs: &[
            (100, 1, BEGINNING, &[FIRST, 1]), (200, 2, BEGINNING, &[FIRST, 2]),
            (300, 3, BEGINNING, &[FIRST, 3]),
        ],
        familiar: &[FIRST], blocked: (false, false),
    },
    /// On gvic-landing two engines that crashed by themselves blocked a first part for 10 min.
    two_ends_for_other_reasons_block_no_first_part => BlameCase {
        runs: &[(9_244, 1, BEGINNING, &[FIRST, 1]), (13_273, 2, BEGINNING, &[FIRST, 2])],
        familiar: &[], blocked: (false, false),
    },
}

/// Guards against a part that stays suspected although runs which began after the end survive it, and
/// against clearing it by runs that began before.
fn survival_clears((begun, is_blocked): (u64, bool)) {
    let runs: &[BrokenRun<'_>] =
        &[(100, 1, BEGINNING, &[FIRST, SOUND]), (120, 2, BEGINNING, &[FIRST, SOUND])];
    let mut ledger = ledger_of(runs, &[FIRST]);
    ledger.record_survival(at(150), at(begun), &prompt(&[FIRST, SOUND], 0x42));
    let key = CrashKey { server: 3, run: 9 };
    ledger.record_crash(at(200), key, BEGINNING, prompt(&[FIRST, SOUND], 0x43));
    assert_eq!(ledger.check(at(300), &prompt(&[FIRST, SOUND], 0x44)).is_some(), is_blocked);
}

cases! { survival_clears;
    run_that_began_after_the_end_clears => (130, false),
    run_that_began_before_the_end_does_not => (90, true),
}

/// Guards against a prompt that ends an engine each time the same caller repeats it.
#[test]
fn repeated_prompt_is_blocked_by_its_own_part() {
    let mut ledger = ledger_of(&[], &[FIRST]);
    for server in 1..=3 {
        let key = CrashKey { server, run: server };
        ledger.record_crash(at(100 * server), key, BEGINNING, prompt(&[FIRST], 0x42));
    }
    assert!(ledger.check(at(400), &prompt(&[FIRST], 0x42)).is_some());
    assert!(ledger.check(at(400), &prompt(&[FIRST], 0x43)).is_none());
}

/// Guards against a part that is blocked for ever, or that ends three engines again after each trial.
#[test]
fn block_ends_and_one_more_end_renews_it() {
    let runs: &[BrokenRun<'_>] = &[
        (100, 1, BEGINNING, &[FIRST, FATAL]),
        (200, 2, BEGINNING, &[FIRST, FATAL]),
        (300, 3, BEGINNING, &[FIRST, FATAL]),
    ];
    let mut ledger = ledger_of(runs, &[FIRST]);
    let hold = LedgerParams::default().block.hold.as_millis() as u64;
    let fatal = prompt(&[FIRST, FATAL], 0x42);
    let remaining = ledger.check(at(1_300), &fatal).expect("a block").remaining;
    assert_eq!(remaining, Duration::from_millis(hold - 1_000));
    assert!(ledger.check(at(300 + hold), &fatal).is_none());
    let key = CrashKey { server: 4, run: 9 };
    ledger.record_crash(at(400 + hold), key, BEGINNING, prompt(&[FIRST, FATAL], 0x43));
    assert!(ledger.check(at(401 + hold), &fatal).is_some());
}

/// Guards against instances that stay of different opinion: whatever order entries arrive in, and
/// however often, all ledgers agree.
#[test]
fn ledgers_agree_whatever_the_order_of_entries() {
    fn agree(entries: Vec<(u8, u8, u8, bool)>) -> bool {
        let mut source = CrashLedger::default();
        let mut all = LedgerNews::default();
        for (number, (server, part, phase, survives)) in entries.iter().enumerate() {
            let now = at(10 * number as u64 + 10);
            let parts = prompt(&[FIRST, u64::from(part % 5)], 0x1000 + number as u64);
            let key = CrashKey { server: u64::from(server % 7), run: number as u64 };
            let phase = [WAITING, WRITING, HIDDEN, BEGINNING][usize::from(phase % 4)];
            let news = if *survives {
                source.record_survival(now, now, &parts)
            } else {
                source.record_crash(now, key, phase, parts)
            };
            all.crashes.extend(news.crashes);
            all.clears.extend(news.clears);
        }
        let now = at(100_000);
        let (mut forward, mut backward) = (CrashLedger::default(), CrashLedger::default());
        for _ in 0..2 {
            for part in all.clone().split() {
                forward.merge(now, part);
            }
            for part in all.clone().split().into_iter().rev() {
                backward.merge(now, part);
            }
        }
        // The ledgers took the entries at different times, from which the block of a familiar part counts.
        let later = at(110_000);
        let is_blocked = |ledger: &CrashLedger| {
            (0..5).map(|part| ledger.check(later, &prompt(&[FIRST, part], 1)).is_some()).collect()
        };
        let blocked: Vec<bool> = is_blocked(&source);
        let fingerprint = source.fingerprint();
        [forward, backward]
            .iter()
            .all(|it| it.fingerprint() == fingerprint && is_blocked(it) == blocked)
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(40, 24))
        .tests(500)
        .quickcheck(agree as fn(Vec<(u8, u8, u8, bool)>) -> bool);
}

/// Guards against datagrams that are too long for the receiver's buffer, and against parts that are lost
/// when the entries of long prompts are split.
fn fits_into_datagrams(parts: u64) {
    let long: Vec<u64> = (1..parts).map(|part| u64::MAX - part).collect();
    let runs: Vec<BrokenRun<'_>> =
        (0..6).map(|run| (run, u64::MAX - run, WRITING, long.as_slice())).collect();
    let ledger = ledger_of(&runs, &long);
    let mut received = CrashLedger::default();
    for message in ledger.snapshot(at(200)).split() {
        let bytes = postcard::to_stdvec(&message).expect("an encoded message");
        assert!(bytes.len() < 3_500, "{} bytes", bytes.len());
        received.merge(at(200), message);
    }
    assert_eq!(received.fingerprint(), ledger.fingerprint());
}

cases! { fits_into_datagrams;
    prompts_without_shared_parts_fit_into_a_datagram => 1,
    prompts_of_40_parts_fit_into_a_datagram => 40,
    prompts_of_4096_parts_fit_into_datagrams => 4_096,
}

/// A prompt with many parts, one of which is fatal.
struct LongPrompt {
    /// Shared parts of each prompt.
    length: u64,
    /// Position of the fatal part among them, from 0.
    position: u64,
    /// Sound runs have survived the other parts.
    is_familiar: bool,
}

/// Guards against a fatal part that is never blocked because of its position in a long prompt (review
/// case 5), and against refusing sound prompts that share all other parts. The ends are reported by
/// three instances.
fn finds_fatal_part(case: LongPrompt) {
    let sound: Vec<u64> = (0..case.length).map(|part| 0x10_0000 + part).collect();
    let mut fatal = sound.clone();
    fatal[case.position as usize] = FATAL;
    let mut ledgers: Vec<CrashLedger> = (0..3).map(|_| CrashLedger::default()).collect();
    if case.is_familiar {
        ledgers[2].record_survival(at(0), at(0), &prompt(&sound, 0x9999));
    }
    for end in 0..3 {
        let key = CrashKey { server: end, run: end };
        let now = at(100 * (end + 1));
        let crash =
            ledgers[end as usize].record_crash(now, key, BEGINNING, prompt(&fatal, 0x1000 + end));
        let mut messages = crash.split();
        while !messages.is_empty() {
            let own = messages.into_iter().flat_map(|message| {
                let merged = ledgers.iter_mut().map(|it| it.merge(now, message.clone()).own);
                merged.flat_map(LedgerNews::split).collect::<Vec<LedgerNews>>()
            });
            messages = own.collect();
        }
    }
    for ledger in &ledgers {
        assert!(ledger.check(at(400), &prompt(&fatal, 0x77)).is_some());
        assert!(ledger.check(at(400), &prompt(&sound, 0x78)).is_none());
    }
}

cases! { finds_fatal_part;
    first_part_of_a_long_prompt_is_blocked => LongPrompt {
        length: 39, position: 0, is_familiar: true,
    },
    part_31_is_blocked => LongPrompt { length: 39, position: 30, is_familiar: true },
    part_32_is_blocked => LongPrompt { length: 39, position: 31, is_familiar: true },
    last_shared_part_of_a_long_prompt_is_blocked => LongPrompt {
        length: 39, position: 38, is_familiar: true,
    },
    part_of_an_unfamiliar_prompt_is_blocked => LongPrompt {
        length: 39, position: 34, is_familiar: false,
    },
    part_in_the_middle_of_a_full_head_is_blocked => LongPrompt {
        length: 4_095, position: 2_000, is_familiar: true,
    },
    last_part_of_a_full_head_is_blocked => LongPrompt {
        length: 4_095, position: 4_094, is_familiar: true,
    },
    last_part_of_an_unfamiliar_full_head_is_blocked => LongPrompt {
        length: 4_095, position: 4_094, is_familiar: false,
    },
}

/// Guards against memory that grows with the length of prompts and the number of runs that ends break
/// off, and against dropping the runs that had just begun for those beside them.
#[test]
fn long_prompts_take_bounded_memory() {
    const LENGTH: u64 = 4_000;
    let params = LedgerParams::default();
    let mut ledger = CrashLedger::new(params);
    for end in 0..6 {
        for run in 0..24 {
            let number = 100 * end + run;
            let mut shared: Vec<u64> =
                (0..LENGTH).map(|part| 0x1000_0000 + number * LENGTH + part).collect();
            let phase = if run == 5 { BEGINNING } else { WAITING };
            if run == 5 {
                shared[3_000] = FATAL;
            }
            let key = CrashKey { server: end, run: number };
            let now = at(1_000 * end + run);
            ledger.record_crash(now, key, phase, prompt(&shared, 0x1000 + number));
            let kept = ledger.snapshot(now).crashes;
            let parts: usize = kept.iter().map(|crash| crash.shared.len()).sum();
            assert!(parts <= params.part_limit, "{parts} parts");
        }
    }
    let kept = ledger.snapshot(at(7_000)).crashes;
    let fatal = kept.iter().filter(|crash| crash.shared.contains(&PartId(FATAL))).count();
    assert_eq!(fatal, 6, "of the runs that had just begun");
}

/// Ends that break off a fatal run beside others. Each end is followed by sound runs.
struct CrowdedEnds {
    ends: u64,
    phase: RunPhase,
    /// Sound runs beside the fatal one, each with a part that few others share.
    beside: u64,
    /// The same sound part is in a run beside the fatal one at each end.
    has_unlucky: bool,
    /// Runs with that part survive between two ends.
    unlucky_survives: bool,
    /// Runs with the part that all prompts share survive between two ends.
    first_survives: bool,
    /// Whether the fatal part, the unlucky one and the one that all share are blocked.
    blocked: (bool, bool, bool),
}

/// Guards against a fatal part that is never blocked because each end has many other suspects, as when
/// engines end before the head of their answer, and against blocking sound parts of the runs beside it.
fn blocks_recurring_part(case: CrowdedEnds) {
    const UNLUCKY: u64 = 0xbad;
    let mut ledger = CrashLedger::default();
    ledger.record_survival(at(0), at(0), &prompt(&[FIRST], 0x9999));
    for end in 0..case.ends {
        let now = 1_000 + 3_500 * end;
        let mut run = 0;
        let mut crash = |phase, shared: &[u64]| {
            run += 1;
            let number = 1_000 * end + run;
            let key = CrashKey { server: end, run: number };
            ledger.record_crash(at(now + run), key, phase, prompt(shared, 0x10_0000 + number));
        };
        crash(case.phase, &[FIRST, FATAL]);
        for beside in 0..case.beside {
            let phase = if beside % 3 == 0 { WAITING } else { BEGINNING };
            crash(phase, &[FIRST, 0x5000 + 100 * end + beside]);
        }
        if case.has_unlucky {
            crash(BEGINNING, &[FIRST, UNLUCKY]);
        }
        let survivor: &[u64] = if case.unlucky_survives { &[FIRST, UNLUCKY] } else { &[FIRST] };
        if case.first_survives {
            ledger.record_survival(at(now + 900), at(now + 500), &prompt(survivor, 0x42));
        }
    }
    let now = at(1_000 + 3_500 * case.ends);
    let is_blocked = |shared: &[u64]| ledger.check(now, &prompt(shared, 0x77)).is_some();
    let blocked =
        (is_blocked(&[FIRST, FATAL]), is_blocked(&[FIRST, UNLUCKY]), is_blocked(&[FIRST, SOUND]));
    assert_eq!(blocked, case.blocked, "{:?}", ledger.blocked(now));
}

cases! { blocks_recurring_part;
    silent_ends_beside_many_runs_block_their_part => CrowdedEnds {
        ends: 4, phase: WAITING, beside: 14, has_unlucky: false, unlucky_survives: false,
        first_survives: true, blocked: (true, false, false),
    },
    ends_beside_many_runs_block_their_part => CrowdedEnds {
        ends: 4, phase: BEGINNING, beside: 40, has_unlucky: false, unlucky_survives: false,
        first_survives: true, blocked: (true, false, false),
    },
    three_ends_beside_many_runs_block_nothing => CrowdedEnds {
        ends: 3, phase: WAITING, beside: 14, has_unlucky: false, unlucky_survives: false,
        first_survives: true, blocked: (false, false, false),
    },
    sound_part_that_is_often_broken_off_is_not_blocked => CrowdedEnds {
        ends: 5, phase: WAITING, beside: 14, has_unlucky: true, unlucky_survives: true,
        first_survives: true, blocked: (true, false, false),
    },
    ends_without_any_survivor_block_nothing => CrowdedEnds {
        ends: 5, phase: WAITING, beside: 14, has_unlucky: true, unlucky_survives: false,
        first_survives: false, blocked: (false, false, false),
    },
    writing_runs_of_many_ends_block_nothing => CrowdedEnds {
        ends: 6, phase: WRITING, beside: 14, has_unlucky: false, unlucky_survives: false,
        first_survives: true, blocked: (false, false, false),
    },
}

/// Six engines that end together, and again as soon as they are back, so that no run can survive an end.
#[derive(Clone, Copy)]
struct LostEngines {
    engines: u64,
    phase: RunPhase,
    /// Sound runs beside the fatal one, each with a part that no other has.
    beside: u64,
    /// Runs survived the part that all prompts share before the ends.
    is_first_familiar: bool,
    /// Another part of the fatal prompt is in sound ones as well.
    has_common: bool,
    /// Another part is in a sound run of each end.
    has_unlucky: bool,
    /// The suspected part is sound: engines end on it only once.
    is_sound: bool,
    /// Whether the suspected part is blocked at some times.
    checks: &'static [(u64, bool)],
}

/// Guards against a fatal part that is never blocked because all engines end on it together and again at
/// once, so that nothing survives beside it, and against blocking a sound part that was in their runs.
fn judges_part_without_survivors(case: LostEngines) {
    const UNLUCKY: u64 = 0xbad;
    const COMMON: u64 = 0xc0;
    let mut ledger = CrashLedger::default();
    if case.is_first_familiar {
        ledger.record_survival(at(0), at(0), &prompt(&[FIRST], 0x9999));
    }
    let common: &[u64] = if case.has_common { &[FIRST, COMMON] } else { &[FIRST] };
    let fatal = [common, &[FATAL]].concat();
    let mut run = 0;
    let mut crash = |ledger: &mut CrashLedger, millis: u64, engine: u64, phase, parts: &[u64]| {
        run += 1;
        let key = CrashKey { server: engine, run };
        ledger.record_crash(at(millis), key, phase, prompt(parts, 0x10_0000 + run));
    };
    let mut checks = case.checks.iter().peekable();
    let begins: &[u64] = if case.is_sound { &[100, u64::MAX] } else { &[100, 2_300, 4_500] };
    for (round, begin) in begins.iter().copied().enumerate() {
        while let Some((millis, is_blocked)) = checks.next_if(|(millis, _)| *millis < begin) {
            let found = ledger.check(at(*millis), &prompt(&fatal, 0x77));
            assert_eq!(found.is_some(), *is_blocked, "after {millis} ms: {found:?}");
            let sound = [common, &[SOUND]].concat();
            assert_eq!(ledger.check(at(*millis), &prompt(&sound, 0x78)), None);
            assert_eq!(ledger.check(at(*millis), &prompt(&[FIRST, UNLUCKY], 0x79)), None);
        }
        if begin == u64::MAX {
            break;
        }
        for number in 0..case.engines {
            let (millis, engine) = (begin + number, 100 * round as u64 + number);
            crash(&mut ledger, millis, engine, case.phase, &fatal);
            for beside in 0..case.beside {
                let phase = if beside % 2 == 0 { WAITING } else { BEGINNING };
                let parts = [common, &[0x5000 + 100 * engine + beside]].concat();
                crash(&mut ledger, millis, engine, phase, &parts);
            }
            if case.has_unlucky {
                crash(&mut ledger, millis, engine, BEGINNING, &[FIRST, UNLUCKY]);
            }
        }
    }
    if case.is_sound {
        let verdict = ledger.admit(at(2_500), &prompt(&fatal, 0x77), true);
        assert!(matches!(verdict, PromptVerdict::Trial(_)), "{verdict:?}");
        ledger.record_survival(at(3_900), at(2_600), &prompt(&fatal, 0x77));
        assert_eq!(ledger.check(at(4_000), &prompt(&fatal, 0x77)), None);
    }
}

const LOST_ENGINES: LostEngines = LostEngines {
    engines: 6,
    phase: BEGINNING,
    beside: 6,
    is_first_familiar: true,
    has_common: false,
    has_unlucky: false,
    is_sound: false,
    checks: &[(200, false), (2_000, false), (2_200, true), (2_400, true)],
};
/// For parts that are not blocked.
const NEVER: &[(u64, bool)] = &[(200, false), (2_200, false), (4_400, false)];

cases! { judges_part_without_survivors;
    part_on_which_all_engines_end_is_blocked_after_a_while => LOST_ENGINES,
    part_on_which_all_engines_end_silently_is_blocked_after_a_while => LostEngines {
        phase: WAITING, beside: 14, ..LOST_ENGINES
    },
    part_on_which_all_engines_end_after_their_answers_is_blocked_after_a_while => LostEngines {
        phase: HIDDEN, beside: 20, ..LOST_ENGINES
    },
    sound_part_in_runs_of_all_engines_is_released_by_a_trial => LostEngines {
        is_sound: true, ..LOST_ENGINES
    },
    sound_part_in_silent_runs_of_all_engines_is_released_by_a_trial => LostEngines {
        phase: WAITING, beside: 14, is_sound: true, ..LOST_ENGINES
    },
    part_beside_a_common_one_is_blocked_with_it => LostEngines {
        has_common: true, ..LOST_ENGINES
    },
    two_parts_that_recur_alike_are_not_blocked => LostEngines {
        phase: WAITING, beside: 14, has_unlucky: true, checks: NEVER, ..LOST_ENGINES
    },
    part_on_which_three_engines_end_is_blocked_when_they_end_again => LostEngines {
        engines: 3, beside: 14, checks: &[(200, false), (2_200, false), (2_400, true)], ..LOST_ENGINES
    },
    writing_runs_of_all_engines_block_nothing => LostEngines {
        phase: WRITING, checks: NEVER, ..LOST_ENGINES
    },
    prompts_without_a_familiar_part_are_not_blocked => LostEngines {
        beside: 40, is_first_familiar: false, checks: NEVER, ..LOST_ENGINES
    },
}

/// Engines that end at some times while each runs prompts with a part that all share, and a run that
/// survives the part. Times are in milliseconds.
struct SharedEnds<'a> {
    /// When engines end.
    ends: &'a [u64],
    phase: RunPhase,
    /// Runs survived the part before.
    is_familiar: bool,
    /// When a run with the part began, and when it had survived it.
    survivor: Option<(u64, u64)>,
    /// Whether the part is blocked at some times.
    checks: &'a [(u64, bool)],
}

/// Guards against a part of all prompts that is blocked because engines end together for another reason
/// (review case 6), one that stays blocked though runs survive it, and a fatal part that is not blocked.
fn judges_shared_part(case: SharedEnds<'_>) {
    let familiar: &[u64] = if case.is_familiar { &[FIRST] } else { &[] };
    let mut ledger = ledger_of(&[], familiar);
    let mut steps: Vec<(u64, Option<u64>)> =
        case.ends.iter().enumerate().map(|(engine, end)| (*end, Some(engine as u64))).collect();
    steps.extend(case.survivor.map(|(_, survived)| (survived, None)));
    steps.sort_unstable();
    let mut checks = case.checks.iter().peekable();
    let check = |ledger: &CrashLedger, (millis, is_blocked): (u64, bool)| {
        let found = ledger.check(at(millis), &prompt(&[FIRST], 0x77));
        assert_eq!(found.is_some(), is_blocked, "after {millis} ms: {found:?}");
    };
    for (millis, engine) in steps {
        while let Some(due) = checks.next_if(|(due, _)| *due < millis) {
            check(&ledger, *due);
        }
        match engine {
            Some(engine) => {
                let key = CrashKey { server: engine, run: engine };
                ledger.record_crash(at(millis), key, case.phase, prompt(&[FIRST], 0x100 + engine));
            },
            None => {
                let (begun, _) = case.survivor.expect("a survivor");
                ledger.record_survival(at(millis), at(begun), &prompt(&[FIRST], 0x99));
            },
        }
    }
    checks.for_each(|due| check(&ledger, *due));
}

cases! { judges_shared_part;
    ends_together_do_not_block_a_part_that_runs_survive => SharedEnds {
        ends: &[100, 101, 103, 110], phase: BEGINNING, is_familiar: true,
        survivor: Some((300, 1_400)),
        checks: &[(200, false), (1_300, false), (2_200, false), (60_000, false)],
    },
    ends_together_of_whole_answers_do_not_block_a_part_that_runs_survive => SharedEnds {
        ends: &[100, 101, 103, 110], phase: HIDDEN, is_familiar: true,
        survivor: Some((300, 1_400)),
        checks: &[(200, false), (1_300, false), (2_200, false), (60_000, false)],
    },
    late_evidence_releases_the_part => SharedEnds {
        ends: &[100, 101, 103, 110], phase: HIDDEN, is_familiar: true,
        survivor: Some((300, 4_000)),
        checks: &[(2_000, false), (2_200, true), (3_900, true), (4_100, false), (60_000, false)],
    },
    run_from_before_the_ends_is_no_evidence => SharedEnds {
        ends: &[100, 101, 103, 110], phase: BEGINNING, is_familiar: true,
        survivor: Some((90, 1_100)),
        checks: &[(200, false), (2_200, true), (60_000, true)],
    },
    familiar_part_that_engines_end_on_in_turn_is_blocked => SharedEnds {
        ends: &[100, 1_600, 3_100], phase: BEGINNING, is_familiar: true, survivor: None,
        checks: &[(3_000, false), (3_200, true), (60_000, true)],
    },
    familiar_part_that_engines_end_on_together_is_blocked_after_a_while => SharedEnds {
        ends: &[100, 150, 200, 250, 300], phase: BEGINNING, is_familiar: true, survivor: None,
        checks: &[(400, false), (2_200, true), (60_000, true)],
    },
    unfamiliar_part_is_blocked_at_once => SharedEnds {
        ends: &[100, 150, 200], phase: BEGINNING, is_familiar: false, survivor: None,
        checks: &[(160, false), (210, true), (60_000, true)],
    },
    unfamiliar_part_that_a_run_survives_is_released => SharedEnds {
        ends: &[100, 101, 103], phase: BEGINNING, is_familiar: false,
        survivor: Some((200, 1_300)),
        checks: &[(210, true), (1_200, true), (1_400, false), (60_000, false)],
    },
    ends_that_runs_survived_between_them_do_not_add_up => SharedEnds {
        ends: &[100, 101, 5_000, 5_001], phase: BEGINNING, is_familiar: true,
        survivor: Some((300, 1_400)),
        checks: &[(2_200, false), (5_100, false), (7_200, false), (60_000, false)],
    },
}

/// Repeatable requests that break off at two of the engines that end together.
struct RepeatedRequests {
    /// How many of them.
    count: u64,
    phase: RunPhase,
    /// Runs survived the part that all prompts share before the ends.
    is_familiar: bool,
    /// Whether the part is blocked at some times.
    checks: &'static [(u64, bool)],
}

/// Guards against a familiar part that is blocked at once because requests that are sent again break off
/// at a second engine, so that each one's own part is in the runs of two ends.
fn judges_shared_part_of_repeated_requests(case: RepeatedRequests) {
    let familiar: &[u64] = if case.is_familiar { &[FIRST] } else { &[] };
    let mut ledger = ledger_of(&[], familiar);
    for engine in 0..4 {
        for repeated in 0..case.count {
            let first = repeated % 4;
            let own = match engine {
                engine if engine == first || engine == (first + 1) % 4 => 0x100 + repeated,
                engine => 0x200 + 4 * repeated + engine,
            };
            let key = CrashKey { server: engine, run: own };
            ledger.record_crash(at(100 + engine), key, case.phase, prompt(&[FIRST], own));
        }
    }
    for (millis, is_blocked) in case.checks {
        let found = ledger.check(at(*millis), &prompt(&[FIRST], 0x77));
        assert_eq!(found.is_some(), *is_blocked, "after {millis} ms: {found:?}");
    }
    ledger.record_survival(at(3_500), at(2_400), &prompt(&[FIRST], 0x78));
    let found = ledger.check(at(3_600), &prompt(&[FIRST], 0x77));
    assert_eq!(found, None, "after a run that survived it");
}

cases! { judges_shared_part_of_repeated_requests;
    one_repeated_request_keeps_its_part_familiar => RepeatedRequests {
        count: 1, phase: HIDDEN, is_familiar: true, checks: &[(200, false), (2_200, true)],
    },
    two_repeated_requests_keep_their_part_familiar => RepeatedRequests {
        count: 2, phase: HIDDEN, is_familiar: true, checks: &[(200, false), (2_200, true)],
    },
    repeated_requests_keep_their_part_familiar => RepeatedRequests {
        count: 8, phase: HIDDEN, is_familiar: true, checks: &[(200, false), (2_200, true)],
    },
    repeated_streams_keep_their_part_familiar => RepeatedRequests {
        count: 8, phase: BEGINNING, is_familiar: true, checks: &[(200, false), (2_200, true)],
    },
    repeated_requests_with_an_unfamiliar_part_block_it => RepeatedRequests {
        count: 8, phase: HIDDEN, is_familiar: false, checks: &[(200, true), (2_200, true)],
    },
}

/// Guards against a fatal part that stays blocked after other parts of its prompts were suspected with it
/// and released, when engines end together besides.
#[test]
fn fatal_part_stays_blocked_beside_ends_for_another_reason() {
    let mut ledger = ledger_of(
        &[
            (100, 1, BEGINNING, &[FIRST, FATAL]),
            (1_600, 2, BEGINNING, &[FIRST, FATAL]),
            (3_100, 3, BEGINNING, &[FIRST, FATAL]),
        ],
        &[FIRST],
    );
    for engine in 10..14 {
        let key = CrashKey { server: engine, run: engine };
        ledger.record_crash(at(20_000 + engine), key, BEGINNING, prompt(&[FIRST], engine));
    }
    ledger.record_survival(at(21_300), at(20_200), &prompt(&[FIRST], 0x99));
    for millis in [20_100, 21_400, 22_500, 60_000] {
        assert!(ledger.check(at(millis), &prompt(&[FIRST, FATAL], 0x77)).is_some());
        assert!(ledger.check(at(millis), &prompt(&[FIRST], 0x78)).is_none());
    }
}

/// Guards against a part that was blocked wrongly and comes free by time alone, because no run with it
/// begins any more.
fn trial_releases_sound_part(is_familiar: bool) {
    let familiar: &[u64] = if is_familiar { &[FIRST] } else { &[] };
    let runs: &[BrokenRun<'_>] =
        &[(100, 1, HIDDEN, &[FIRST]), (101, 2, HIDDEN, &[FIRST]), (102, 3, HIDDEN, &[FIRST])];
    let mut ledger = ledger_of(runs, familiar);
    let sound = prompt(&[FIRST], 0x77);
    let (mut refused, mut tried_at) = (0, None);
    for millis in (2_200..120_000).step_by(500) {
        // Another instance may try.
        assert!(!matches!(ledger.admit(at(millis), &sound, false), PromptVerdict::Trial(_)));
        match ledger.admit(at(millis), &sound, true) {
            PromptVerdict::Trial(_) => tried_at = tried_at.or(Some(millis)),
            PromptVerdict::Refused(_) => refused += 1,
            PromptVerdict::Free => break,
        }
        // A long answer.
        if let Some(tried) = tried_at.filter(|tried| millis >= tried + 5_000) {
            ledger.record_survival(at(millis), at(tried), &sound);
        }
    }
    let tried_at = tried_at.expect("a trial");
    assert!(tried_at < if is_familiar { 3_000 } else { 40_000 }, "tried after {tried_at} ms");
    assert!(refused > 0);
    assert_eq!(ledger.check(at(120_000), &sound), None);
}

cases! { trial_releases_sound_part;
    trial_releases_a_familiar_part => true,
    trial_releases_an_unfamiliar_part => false,
}

/// A fatal part on which engines have ended.
struct FatalTrials {
    /// Engines that ended before requests with the part are refused, and the time between two ends.
    ends: u64,
    gap: u64,
    is_familiar: bool,
}

/// Guards against trials that end one engine after the other: at most three requests with a fatal part may
/// reach engines later than 3 s after the fifth end.
fn trials_of_fatal_part_are_few(case: FatalTrials) {
    let familiar: &[u64] = if case.is_familiar { &[FIRST, FATAL] } else { &[FIRST] };
    let mut ledger = ledger_of(&[], familiar);
    let fatal = prompt(&[FIRST, FATAL], 0x77);
    let mut ends = Vec::new();
    let mut crash = |ledger: &mut CrashLedger, millis: u64| {
        let engine = ends.len() as u64;
        ends.push(millis);
        let key = CrashKey { server: engine, run: engine };
        let parts = prompt(&[FIRST, FATAL], 0x1000 + engine);
        ledger.record_crash(at(millis), key, BEGINNING, parts);
    };
    for end in 0..case.ends {
        crash(&mut ledger, 100 + case.gap * end);
    }
    let begin = 2_200 + case.gap * case.ends;
    for millis in (begin..begin + 590_000).step_by(100) {
        match ledger.admit(at(millis), &fatal, true) {
            PromptVerdict::Trial(_) => crash(&mut ledger, millis + 150),
            PromptVerdict::Refused(_) => {},
            PromptVerdict::Free => panic!("free after {millis} ms"),
        }
    }
    let late = ends.iter().filter(|end| **end > ends[4.min(ends.len() - 1)] + 3_000).count();
    println!("{} ends, {late} of them late", ends.len());
    assert!(late <= 2, "{late} late trials: {ends:?}");
}

cases! { trials_of_fatal_part_are_few;
    trials_of_a_familiar_part_after_ends_in_turn => FatalTrials {
        ends: 3, gap: 1_500, is_familiar: true,
    },
    trials_of_a_familiar_part_after_ends_together => FatalTrials {
        ends: 8, gap: 50, is_familiar: true,
    },
    trials_of_an_unfamiliar_part_after_ends_in_turn => FatalTrials {
        ends: 3, gap: 1_500, is_familiar: false,
    },
    trials_of_an_unfamiliar_part_after_ends_together => FatalTrials {
        ends: 5, gap: 50, is_familiar: false,
    },
}
