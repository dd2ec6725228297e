//! Runs that are stopped for a move: whatever becomes of the call that stops them, their streams do not
//! look complete before they are, and no two engines work on them.

mod answer_support;

use std::time::Duration;

use self::answer_support::{
    INSTANCES, KindCase, call, is_whole, publish_services, start_site, wait_for_entries,
};
use medlarlanding_bench::site::{
    BodyDelimiter, EndMode, EndingServer, INTERVAL_HEADER, MoveScript, ResumeMode, SiteAnswer,
    SiteCall, StopFault, StreamClose, TestSite,
};
use medlarlanding_core::cases;

/// Events of each run.
const EVENTS: usize = 100;
/// Time between two events in milliseconds.
const EVENT_INTERVAL_MS: &str = "30";
/// Longest time for which an engine may work on a run that goes on elsewhere.
const OVERLAP_LIMIT: Duration = Duration::from_millis(400);

const DRAFT: KindCase = KindCase {
    route: "draft",
    kind: "stream",
    is_engine: true,
    has_prompt: true,
    parts: EVENTS,
    part_bytes: 16,
};

/// One run, the engine that it leaves and the one that it may move to.
struct MovedRun {
    delimiter: BodyDelimiter,
    script: MoveScript,
    source: EndingServer,
    answer: SiteAnswer,
    request: String,
}

/// Starts a run for each delimiter and script and makes all their engines leave at the same time.
fn move_runs(site: &mut TestSite, specs: Vec<(BodyDelimiter, MoveScript)>) -> Vec<MovedRun> {
    let shape = |call: SiteCall| call.header(INTERVAL_HEADER, EVENT_INTERVAL_MS);
    move_runs_of(site, specs, DRAFT, Duration::ZERO, shape)
}

/// The same for runs of a kind whose engines leave a while after the last run has begun. Callers send what
/// `shape` makes of the usual call.
fn move_runs_of(
    site: &mut TestSite,
    specs: Vec<(BodyDelimiter, MoveScript)>,
    kind: KindCase,
    leave_after: Duration,
    shape: impl Fn(SiteCall) -> SiteCall,
) -> Vec<MovedRun> {
    let servers: Vec<_> =
        specs.iter().flat_map(|(delimiter, _)| [(*delimiter, EndMode::Lives); 2]).collect();
    let servers = site.add_ending_servers(&servers).expect("servers");
    let services: Vec<String> = (0..specs.len()).map(|pair| format!("pair-{pair}")).collect();
    publish_services(site, &services, kind, true);
    // Nothing was registered as draining before.
    wait_for_entries(site, INSTANCES, "ready", servers.len());
    for ((pair, service), (_, script)) in servers.chunks(2).zip(&services).zip(&specs) {
        pair.iter().for_each(|server| server.set_move_script(*script));
        site.register_ending_server(&pair[0], service, "ready");
        site.state.remove(&format!("servers/{}", pair[1].id()));
    }
    wait_for_entries(site, INSTANCES, "removed", specs.len());
    wait_for_entries(site, INSTANCES, "ready", servers.len() + specs.len());
    let mut callers = Vec::new();
    for (number, service) in services.iter().enumerate() {
        let call = shape(call(kind, service, number));
        let address = site.caller_address(number % INSTANCES);
        callers.push(std::thread::spawn(move || call.send(address).expect("an answer")));
    }
    site.wait_until("the runs", || site.state.runs("").len() == specs.len()).expect("runs");
    std::thread::sleep(leave_after);
    for (pair, service) in servers.chunks(2).zip(&services) {
        site.register_ending_server(&pair[1], service, "ready");
    }
    wait_for_entries(site, INSTANCES, "ready", servers.len() + 2 * specs.len());
    for (pair, service) in servers.chunks(2).zip(&services) {
        site.register_ending_server(&pair[0], service, "draining");
    }
    let moved = callers.into_iter().zip(servers.chunks(2)).zip(specs).enumerate();
    moved
        .map(|(number, ((caller, pair), (delimiter, script)))| MovedRun {
            delimiter,
            script,
            source: pair[0].clone(),
            answer: caller.join().expect("a caller"),
            request: format!("id-{number}"),
        })
        .collect()
}

/// Fails with the log lines of the runs on which something is wrong.
fn check(site: &TestSite, runs: &[MovedRun], judge: impl Fn(&MovedRun) -> Option<&'static str>) {
    let mut faults = Vec::new();
    for (number, run) in runs.iter().enumerate() {
        let Some(fault) = judge(run) else { continue };
        let log = site.log(number % INSTANCES);
        let name = format!("request={} ", run.request);
        let lines: Vec<&str> = log.lines().filter(|line| line.contains(&name)).collect();
        faults.push(format!(
            "{fault}: {:?} {:?}, {} events, complete: {}\n{}",
            run.delimiter,
            run.script,
            run.answer.event_ids().len(),
            run.answer.is_complete,
            lines.join("\n")
        ));
    }
    assert!(faults.is_empty(), "{} of {} runs:\n{}", faults.len(), runs.len(), faults.join("\n"));
}

fn has_gaps(answer: &SiteAnswer) -> bool {
    let ids = answer.event_ids();
    ids != (1..=ids.len() as u64).collect::<Vec<u64>>()
}

/// Guards against a stream that its engine ended because it was told to, and that looks complete after
/// the answer to that call was lost or said nothing (review case 2), and against a sound stream that is
/// lost although the run can go on.
fn stops_truthfully(stop_fault: StopFault) {
    let mut specs = Vec::new();
    for delimiter in BodyDelimiter::ALL {
        for resume_mode in ResumeMode::ALL {
            for stream_close in [StreamClose::Closed, StreamClose::Reset] {
                let script =
                    MoveScript { stop_fault, resume_mode, stream_close, ..MoveScript::default() };
                // The memory has arrived when the call is answered.
                let is_late = resume_mode == ResumeMode::AcceptsLate
                    && (matches!(stop_fault, StopFault::None | StopFault::NotFoundLate)
                        || !stop_fault.ends_run());
                // An answer shorter than its length is broken off.
                let is_short = stop_fault == StopFault::CompletesUnanswered
                    && delimiter == BodyDelimiter::Length;
                // Such an answer to the only call proves that the run had completed before.
                let is_proof = stop_fault == StopFault::NotFoundLate
                    && stream_close == StreamClose::Closed
                    && !delimiter.is_declared();
                if !is_late && !is_short && !is_proof {
                    specs.push((delimiter, script));
                }
            }
        }
    }
    let mut site = start_site();
    let runs = move_runs(&mut site, specs);
    let completes = stop_fault == StopFault::CompletesUnanswered;
    let lost = runs.iter().filter(|run| !run.answer.is_complete).count();
    println!("{lost} of {} streams were told as broken off", runs.len());
    check(&site, &runs, |run| {
        let can_go_on = run.script.resume_mode != ResumeMode::Refuses;
        match run.answer.is_complete {
            _ if run.answer.status != 200 || has_gaps(&run.answer) => Some("wrong pieces"),
            true if !is_whole(DRAFT, &run.answer) && !completes => Some("broken off and complete"),
            false if can_go_on => Some("lost although the run can go on"),
            false if completes && run.delimiter.is_declared() => Some("sound and lost"),
            true | false => None,
        }
    });
}

cases! { stops_truthfully;
    answered_stop_is_told_truthfully => StopFault::None,
    stop_whose_answer_is_lost_is_told_truthfully => StopFault::AnswerLost,
    stop_whose_answer_is_lost_late_is_told_truthfully => StopFault::AnswerLostLate,
    lost_stop_is_told_truthfully => StopFault::CallLost,
    stop_without_a_handle_is_told_truthfully => StopFault::HandleMissing,
    refusal_without_a_handle_is_told_truthfully => StopFault::RefusedWithoutHandle,
    failed_stop_is_told_truthfully => StopFault::Fails,
    stop_of_a_broken_stream_is_told_truthfully => StopFault::NotFoundLate,
    stop_beside_another_call_is_told_truthfully => StopFault::Conflict,
    completion_during_a_lost_stop_is_told_truthfully => StopFault::CompletesUnanswered,
}

/// Guards against a run that goes on at another engine while the one before, whose stream broke off
/// during the copy, still works on it, also if the call that is to stop it fails once.
fn run_whose_stream_breaks_off_is_stopped(stop_fault: StopFault) {
    let breaks = |stream_close| MoveScript {
        stop_fault,
        stream_close,
        breaks_in_copy: true,
        ..MoveScript::default()
    };
    let mut specs = Vec::new();
    for delimiter in BodyDelimiter::ALL {
        specs.push((delimiter, breaks(StreamClose::Reset)));
        // The close of a connection that alone marks the end cannot be told from a complete answer.
        if delimiter.is_declared() {
            specs.push((delimiter, breaks(StreamClose::Closed)));
        }
    }
    let mut site = start_site();
    let runs = move_runs(&mut site, specs);
    check(&site, &runs, |run| {
        let all = site.state.runs(&run.request);
        let continued = all.iter().find(|record| record.is_continued);
        let overlaps = continued.is_some_and(|record| {
            run.source.worked_until().is_none_or(|until| until > record.at + OVERLAP_LIMIT)
        });
        match (overlaps, is_whole(DRAFT, &run.answer)) {
            (true, _) => Some("two engines worked on the run"),
            (false, false) => Some("lost although the run can go on"),
            (false, true) if has_gaps(&run.answer) => Some("wrong pieces"),
            (false, true) => None,
        }
    });
}

cases! { run_whose_stream_breaks_off_is_stopped;
    run_whose_stream_breaks_off_is_stopped_before_it_goes_on => StopFault::None,
    run_whose_stream_breaks_off_is_stopped_after_a_lost_call => StopFault::CallLost,
    run_whose_stream_breaks_off_is_stopped_beside_another_call => StopFault::Conflict,
    run_whose_stream_breaks_off_is_stopped_by_a_call_without_an_answer => StopFault::AnswerLost,
    run_whose_stream_breaks_off_is_stopped_by_a_failed_call => StopFault::Fails,
}

/// A caller that pauses again and again, and the time in which its run is stopped.
struct PausingCaller {
    /// Bytes that the caller reads between two pauses, and the length of a pause.
    bytes: usize,
    pause: Duration,
    stop_time: Duration,
}

/// Guards against an event that a caller misses because it took nothing while the remaining events of a
/// stopped run were forwarded, and that counted as forwarded when the run went on elsewhere.
fn pausing_callers_miss_no_event(case: PausingCaller) {
    const LONG_EVENTS: KindCase = KindCase { parts: 600, part_bytes: 16_000, ..DRAFT };
    /// What is under way to a caller that pauses has filled all buffers after this time.
    const FILL_TIME: Duration = Duration::from_secs(1);
    let script = MoveScript { stop_time: case.stop_time, ..MoveScript::default() };
    let specs: Vec<_> = BodyDelimiter::ALL.into_iter().map(|it| (it, script)).collect();
    let mut site = start_site();
    let runs = move_runs_of(&mut site, specs, LONG_EVENTS, FILL_TIME, |call| {
        let call = call.header(INTERVAL_HEADER, "1").header("x-deadline-ms", "30000");
        call.read_in_bursts(case.bytes, case.pause)
    });
    let moved = runs
        .iter()
        .filter(|run| site.state.runs(&run.request).iter().any(|record| record.is_continued));
    println!("{} of {} runs went on elsewhere", moved.count(), runs.len());
    check(&site, &runs, |run| match is_whole(LONG_EVENTS, &run.answer) {
        _ if has_gaps(&run.answer) => Some("wrong pieces"),
        false => Some("lost although the run can go on"),
        true => None,
    });
}

cases! { pausing_callers_miss_no_event;
    callers_with_short_pauses_miss_no_event => PausingCaller {
        bytes: 750_000, pause: Duration::from_millis(700), stop_time: Duration::ZERO,
    },
    callers_with_long_pauses_miss_no_event => PausingCaller {
        bytes: 1_500_000, pause: Duration::from_millis(1_500), stop_time: Duration::ZERO,
    },
    callers_that_pause_while_the_stop_takes_long_miss_no_event => PausingCaller {
        bytes: 750_000, pause: Duration::from_millis(900), stop_time: Duration::from_millis(300),
    },
    callers_that_do_not_pause_for_long_miss_no_event => PausingCaller {
        bytes: 750_000, pause: Duration::from_millis(100), stop_time: Duration::ZERO,
    },
}
