//! Requests with a part in their prompts that ends every engine which begins to write on it, beside
//! sound requests of the same customer with the same other parts.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use medlarlanding_bench::site::{
    AnswerFraming, CONTACT, CRASH_LIMIT, FATAL_PART, LATE_LIMIT, ServerMode, SiteAnswer, SiteCall,
    SiteParams, TestSite,
};
use medlarlanding_core::cases;

use hyper::Method;
use rustix::process::Signal;

/// Parts that sound prompts and fatal ones share.
const FIRST_PART: &str = "f1";
const INSTANCES: usize = 4;
const ENGINES: usize = 6;
/// Time during which fatal requests are sent; longer than twice `CONTACT` after the last end.
const FATAL_TIME: Duration = Duration::from_secs(12);
/// Time before and after it during which only sound requests are sent.
const SOUND_TIME: Duration = Duration::from_secs(3);
/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(80);

/// One request and its answer; none if no answer came.
struct CallRecord {
    is_fatal: bool,
    sent_at: Instant,
    request: String,
    answer: Option<SiteAnswer>,
}

/// Callers that send requests from threads of their own.
struct CallerGroup {
    records: Arc<Mutex<Vec<CallRecord>>>,
    is_over: Arc<AtomicBool>,
    threads: Vec<std::thread::JoinHandle<()>>,
}

static NEXT_REQUEST: AtomicU64 = AtomicU64::new(1);

/// Prompts of a deployment.
#[derive(Clone, Copy)]
struct PromptShape {
    /// Parts that a prompt shares with others.
    length: usize,
    /// Position of the fatal part among them, and of the sound one in its place.
    position: usize,
    /// The sound part is in no other prompt.
    is_rare: bool,
    /// Callers that send sound requests.
    sound_callers: usize,
    /// Time after the head of an answer at which callers of fatal requests leave.
    leaves_after: Option<Duration>,
}

const SHORT: PromptShape =
    PromptShape { length: 2, position: 1, is_rare: false, sound_callers: 4, leaves_after: None };

impl PromptShape {
    fn parts(self, is_fatal: bool, own: u64) -> Vec<String> {
        let mut parts: Vec<String> = (0..self.length).map(|part| format!("c{part:x}")).collect();
        parts[0] = FIRST_PART.to_owned();
        parts[self.position] = match is_fatal {
            true => FATAL_PART.to_owned(),
            false if self.is_rare => format!("d{own:x}"),
            false => "b2".to_owned(),
        };
        parts
    }
}

fn call<S: AsRef<str>>(path: &str, request: &str, parts: &[S], own: u64) -> SiteCall {
    let shared: Vec<String> = parts.iter().map(|part| format!("{}:300", part.as_ref())).collect();
    SiteCall::new(Method::POST, path, request)
        .header("x-deadline-ms", "3000")
        .header("x-prefix-hash", &format!("{},{own:x}:100", shared.join(",")))
}

impl CallerGroup {
    fn start(
        count: usize,
        path: &'static str,
        shape: PromptShape,
        is_fatal: bool,
        targets: &[SocketAddr],
    ) -> Self {
        let leaves_after = shape.leaves_after.filter(|_| is_fatal);
        let shape_call = move |id: &str, own| {
            let call = call(path, id, &shape.parts(is_fatal, own), 0x1000_0000 + own);
            leaves_after.into_iter().fold(call, SiteCall::disconnect_after)
        };
        Self::start_with(count, shape_call, is_fatal, CALL_PAUSE, targets)
    }

    /// Starts callers whose requests `call` returns for their ids and numbers.
    fn start_with(
        count: usize,
        call: impl Fn(&str, u64) -> SiteCall + Copy + Send + 'static,
        is_fatal: bool,
        pause: Duration,
        targets: &[SocketAddr],
    ) -> Self {
        let mut group =
            Self { records: Arc::default(), is_over: Arc::default(), threads: Vec::new() };
        for caller in 0..count {
            let (records, is_over) = (Arc::clone(&group.records), Arc::clone(&group.is_over));
            let targets = targets.to_vec();
            group.threads.push(std::thread::spawn(move || {
                for target in targets.iter().cycle().skip(caller) {
                    if is_over.load(Ordering::Relaxed) {
                        return;
                    }
                    let own = NEXT_REQUEST.fetch_add(1, Ordering::Relaxed);
                    let request = format!("id-{own}");
                    let sent_at = Instant::now();
                    let answer = call(&request, own).send(*target).ok();
                    records.lock().unwrap_or_else(PoisonError::into_inner).push(CallRecord {
                        is_fatal,
                        sent_at,
                        request,
                        answer,
                    });
                    std::thread::sleep(pause);
                }
            }));
        }
        group
    }

    fn stop(self) -> Vec<CallRecord> {
        self.is_over.store(true, Ordering::Relaxed);
        for thread in self.threads {
            thread.join().expect("a caller");
        }
        std::mem::take(&mut *self.records.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Returns whether the answer began; one that broke off later counts too.
fn is_begun(record: &CallRecord) -> bool {
    record.answer.as_ref().is_some_and(|answer| answer.status == 200)
}

/// Returns the share of requests sent from `begin` to `end` that `holds` accepts.
fn share(
    records: &[CallRecord],
    begin: Instant,
    end: Instant,
    holds: fn(&CallRecord) -> bool,
) -> f64 {
    let sent: Vec<_> =
        records.iter().filter(|record| (begin..end).contains(&record.sent_at)).collect();
    assert!(sent.len() >= 20, "only {} requests", sent.len());
    sent.iter().filter(|record| holds(record)).count() as f64 / sent.len() as f64
}

fn start_site(framing: AnswerFraming) -> TestSite {
    let params = SiteParams { instances: INSTANCES, plain_servers: 1, engines: 0, grace_s: 8 };
    let site = TestSite::start(params).expect("a deployment");
    site.state.set_generation(5, 15);
    for engine in 0..ENGINES {
        site.add_crashing_engine(engine, framing).expect("an engine");
    }
    for instance in 0..INSTANCES {
        let serves = || {
            let probe = call("/draft/a", "probe", &[FIRST_PART], 1);
            probe.send(site.caller_address(instance)).is_ok_and(|answer| answer.status == 200)
        };
        site.wait_until("an instance that serves prompts", serves).expect("service");
    }
    site
}

/// Returns the log lines of all instances on broken answers, blocked parts and starts.
fn ledger_lines(site: &TestSite) -> String {
    let logs: String = (0..INSTANCES).map(|instance| site.log(instance)).collect();
    let events = [" E100 ", " E620 ", " E621 ", " E622 "];
    let mut lines: Vec<&str> =
        logs.lines().filter(|line| events.iter().any(|event| line.contains(event))).collect();
    lines.sort_unstable();
    lines.join("\n")
}

/// Fails if fatal requests reached engines too often.
fn check_fatal_runs(site: &TestSite) {
    let crashes = site.state.crashes();
    println!("{} engines ended", crashes.len());
    let Some(fifth) = crashes.get(CRASH_LIMIT - 1) else { return };
    let runs = site.state.runs("");
    let is_late = |run: &&medlarlanding_bench::site::RunRecord| {
        let is_fatal = run.headers.iter().any(|(_, value)| value.contains(FATAL_PART));
        is_fatal && run.at > fifth.at + CONTACT
    };
    let late = runs.iter().filter(is_late).count();
    assert!(
        late <= LATE_LIMIT,
        "{late} fatal requests reached engines later than {CONTACT:?} after the fifth end; {} ended\n{}",
        crashes.len(),
        ledger_lines(site)
    );
}

/// Guards against requests that end one engine after the other although they share a part of their
/// prompts, and against refusing the sound requests beside them.
fn contains_fatal_part((framing, path, shape): (AnswerFraming, &'static str, PromptShape)) {
    let site = start_site(framing);
    let targets: Vec<SocketAddr> = (0..INSTANCES).map(|it| site.caller_address(it)).collect();
    site.state.set_fatal_part(Some(FATAL_PART));
    let started = Instant::now();
    let sound = CallerGroup::start(shape.sound_callers, "/draft/a", shape, false, &targets);
    std::thread::sleep(SOUND_TIME);
    let fatal_from = Instant::now();
    let fatal = CallerGroup::start(6, path, shape, true, &targets);
    std::thread::sleep(FATAL_TIME);
    let mut fatal_records = fatal.stop();
    let fatal_until = Instant::now();
    std::thread::sleep(SOUND_TIME);
    let sound_records = sound.stop();
    let ended = Instant::now();

    check_fatal_runs(&site);
    let crashes = site.state.crashes();
    let last = crashes.get(CRASH_LIMIT - 1).or(crashes.last()).expect("an engine that ended");
    assert!(last.at + 2 * CONTACT + Duration::from_secs(2) < fatal_until, "too late to compare");
    let usual = share(&sound_records, started, fatal_from, is_begun);
    let beside = share(&sound_records, last.at + 2 * CONTACT, fatal_until, is_begun);
    assert!(beside >= usual / 2.0, "{beside} of the sound requests began, {usual} before");
    let after = share(&sound_records, fatal_until, ended, is_begun);
    assert!(after >= usual / 2.0, "{after} of the sound requests began afterwards, {usual} before");
    println!("sound requests that began: {usual} before, {beside} beside, {after} afterwards");

    fatal_records.extend(sound_records);
    for record in &fatal_records {
        let Some(answer) = &record.answer else { continue };
        let runs = site.state.runs(&record.request);
        assert!(
            answer.status != 503 || runs.is_empty() || path == "/assess/a",
            "{} was refused as not run and has run",
            record.request
        );
        let is_whole = answer.is_complete && answer.status == 200;
        let may_be_whole = !record.is_fatal || framing.completes_answers();
        assert!(may_be_whole || !is_whole, "{} looks complete", record.request);
    }
}

cases! { contains_fatal_part;
    fatal_part_in_streams_ends_few_engines => (AnswerFraming::Delimited, "/draft/a", SHORT),
    fatal_part_in_unframed_streams_ends_few_engines => (
        AnswerFraming::CutWithinEvent, "/draft/a", SHORT,
    ),
    fatal_part_in_streams_cut_after_an_event_ends_few_engines => (
        AnswerFraming::CutAfterEvent, "/draft/a", SHORT,
    ),
    fatal_part_in_repeatable_requests_ends_few_engines => (
        AnswerFraming::Delimited, "/assess/a", SHORT,
    ),
    fatal_part_in_unframed_answers_ends_few_engines => (
        AnswerFraming::CutAfterEvent, "/assess/a", SHORT,
    ),
    fatal_part_in_unrepeatable_requests_ends_few_engines => (
        AnswerFraming::Delimited, "/note/a", SHORT,
    ),
    // Parts behind the 31st were ignored (review case 5).
    fatal_part_35_of_40_ends_few_engines => (
        AnswerFraming::Delimited, "/draft/a", PromptShape { length: 39, position: 34, ..SHORT },
    ),
    fatal_part_35_of_40_in_whole_answers_ends_few_engines => (
        AnswerFraming::CutAfterEvent, "/assess/a", PromptShape { length: 39, position: 34, ..SHORT },
    ),
    // Fills the head of a request.
    fatal_part_1650_of_1700_ends_few_engines => (
        AnswerFraming::Delimited, "/draft/a",
        PromptShape { length: 1_700, position: 1_650, ..SHORT },
    ),
    // Each end breaks off many runs, and none of them has begun to write.
    silent_ends_beside_rare_parts_end_few_engines => (
        AnswerFraming::NoHead, "/draft/a",
        PromptShape { is_rare: true, sound_callers: 48, ..SHORT },
    ),
    silent_ends_end_few_engines => (AnswerFraming::NoHead, "/draft/a", SHORT),
    // Answers that are complete before the engine ends counted as survived (review case 8).
    short_streams_end_few_engines => (AnswerFraming::WholeBeforeEnd, "/draft/a", SHORT),
    short_unframed_streams_end_few_engines => (
        AnswerFraming::WholeUnframedBeforeEnd, "/draft/a", SHORT,
    ),
    short_repeatable_answers_end_few_engines => (
        AnswerFraming::WholeBeforeEnd, "/assess/a", SHORT,
    ),
    short_unrepeatable_answers_end_few_engines => (
        AnswerFraming::WholeUnframedBeforeEnd, "/note/a", SHORT,
    ),
    short_streams_beside_rare_parts_end_few_engines => (
        AnswerFraming::WholeBeforeEnd, "/draft/a",
        PromptShape { is_rare: true, sound_callers: 24, ..SHORT },
    ),
    // The run of a caller that has left is not among those that the end breaks off.
    streams_of_callers_that_leave_end_few_engines => (
        AnswerFraming::Delimited, "/draft/a",
        PromptShape { leaves_after: Some(Duration::from_millis(5)), ..SHORT },
    ),
}

/// Guards against a fatal part whose answers are complete before their engines end, when nothing else runs
/// at these engines that the end could break off (review case 8).
fn idle_engines_end_rarely((framing, path): (AnswerFraming, &'static str)) {
    let site = start_site(framing);
    let targets: Vec<SocketAddr> = (0..INSTANCES).map(|it| site.caller_address(it)).collect();
    site.state.set_fatal_part(Some(FATAL_PART));
    let fatal = move |id: &str, own| call(path, id, &SHORT.parts(true, own), 0x1000_0000 + own);
    let pause = Duration::from_millis(700);
    let fatal = CallerGroup::start_with(1, fatal, true, pause, &targets);
    std::thread::sleep(FATAL_TIME * 2);
    let sent = fatal.stop().len();
    let crashes = site.state.crashes().len();
    println!("{sent} requests, {crashes} engines ended");
    assert!(sent > 20 && crashes >= 3, "{sent} requests, {crashes} engines ended");
    check_fatal_runs(&site);
}

cases! { idle_engines_end_rarely;
    idle_engines_end_rarely_on_short_streams => (AnswerFraming::WholeBeforeEnd, "/draft/a"),
    idle_engines_end_rarely_on_short_unframed_streams => (
        AnswerFraming::WholeUnframedBeforeEnd, "/draft/a",
    ),
    idle_engines_end_rarely_on_short_answers => (AnswerFraming::WholeBeforeEnd, "/assess/a"),
}

/// Guards against an instance that forgets a fatal part when it restarts.
#[test]
fn restarted_instances_know_the_fatal_part() {
    let mut site = start_site(AnswerFraming::Delimited);
    let targets: Vec<SocketAddr> = (0..INSTANCES).map(|it| site.caller_address(it)).collect();
    site.state.set_fatal_part(Some(FATAL_PART));
    let fatal = CallerGroup::start(4, "/draft/a", SHORT, true, &targets);
    std::thread::sleep(Duration::from_secs(6));
    for instance in 0..INSTANCES {
        site.signal(instance, Signal::KILL).expect("a process");
        site.wait_exit(instance).expect("an end");
        site.spawn_instance(instance).expect("a start");
        site.wait_until("a ready instance", || site.is_ready(instance)).expect("readiness");
        std::thread::sleep(CONTACT / 2);
    }
    std::thread::sleep(CONTACT);
    drop(fatal.stop());
    check_fatal_runs(&site);
}

/// Guards against a run whose prompt has become known as fatal and which is copied to another engine
/// or continued there.
#[test]
fn runs_with_a_fatal_part_are_not_moved() {
    let site = start_site(AnswerFraming::Delimited);
    site.state.set_generation(600, 30);
    let address = site.caller_address(0);
    let mut callers = Vec::new();
    for number in 0..ENGINES as u64 {
        let request = format!("long-{number}");
        let long = call("/draft/a", &request, &[FIRST_PART, FATAL_PART], number)
            .header("x-deadline-ms", "30000");
        callers.push(std::thread::spawn(move || long.send(address)));
        site.wait_until("the run", || !site.state.runs(&request).is_empty()).expect("a run");
    }
    // A run that has written for a while shows that its parts were not fatal until then.
    std::thread::sleep(Duration::from_secs(2));
    site.state.set_fatal_part(Some(FATAL_PART));
    for number in 0..20 {
        if site.state.crashes().len() >= ENGINES / 2 {
            break;
        }
        let fatal = call("/draft/a", &format!("fatal-{number}"), &[FIRST_PART, FATAL_PART], number);
        // An answer that breaks off is expected.
        let _ = fatal.send(site.caller_address(number as usize % INSTANCES));
    }
    let crashed: Vec<String> = site.state.crashes().into_iter().map(|it| it.server).collect();
    assert!(crashed.len() >= 2, "too few engines ended");
    let runs = site.state.runs("");
    let left: Vec<_> = runs
        .iter()
        .filter(|run| run.request.starts_with("long") && !crashed.contains(&run.server))
        .collect();
    assert!(!left.is_empty(), "no run is left to move");
    // Instances learn of the ends within this time.
    std::thread::sleep(CONTACT);
    left.iter().for_each(|run| site.drain_crashing_engine(&run.server).expect("an engine"));
    std::thread::sleep(Duration::from_secs(4));
    assert_eq!(site.state.move_calls(), 0, "runs were copied");
    assert!(site.state.runs("").iter().all(|run| !run.is_continued), "a run was continued");
    drop(site);
    callers.into_iter().for_each(|caller| drop(caller.join().expect("a caller")));
}

/// Guards against an instance that exceeds its memory because of prompts that fill the heads of many
/// requests at the same time.
#[test]
fn prompts_that_fill_heads_take_bounded_memory() {
    const REQUESTS: u64 = 200;
    /// Memory limit of the smallest machines.
    const MEMORY_LIMIT: u64 = 110 << 20;
    let params = SiteParams { plain_servers: 1, engines: 2, ..SiteParams::default() };
    let site = TestSite::start(params).expect("a deployment");
    ["engines-0", "engines-1"].iter().for_each(|it| site.state.set_mode(it, ServerMode::NoAnswer));
    let address = site.caller_address(0);
    let callers: Vec<_> = (0..REQUESTS)
        .map(|number| {
            // Each names other parts.
            let parts: Vec<String> = (0..3_000)
                .map(|part| format!("{:x}", 0x1000 + (number * 3_000 + part) % 0xf000))
                .collect();
            let call = SiteCall::new(Method::POST, "/note/a", &format!("id-{number}"))
                .header("x-prefix-hash", &parts.join(","))
                .header("x-token-count", "100,8")
                .header("x-deadline-ms", "2500");
            std::thread::spawn(move || call.send(address).expect("an answer").status)
        })
        .collect();
    for caller in callers {
        let status = caller.join().expect("a caller");
        assert!(matches!(status, 503 | 504), "status {status}");
    }
    assert!(site.state.runs("").len() > 50, "{} requests were sent", site.state.runs("").len());
    let peak = site.peak_memory(0);
    println!("{} KiB at the peak", peak >> 10);
    assert!(peak < MEMORY_LIMIT, "{peak} bytes");
}

/// Engines that end together while sound requests begin at all of them.
#[derive(Clone, Copy)]
struct TogetherCase {
    path: &'static str,
    framing: AnswerFraming,
    /// Shared parts of the sound prompts: those of all prompts, and one that few share.
    has_rare_part: bool,
    /// Requests with a fatal part come all the time.
    has_fatal: bool,
    /// Events of a stream, and the time between them in milliseconds.
    events: (u64, u64),
    callers: usize,
    pause: Duration,
    /// Engines that end together.
    engines: usize,
    /// Times at which they do.
    ends: u32,
}

/// Guards against a part of sound prompts that is blocked because engines end together for a reason of
/// their own while each has just begun a run with it (review case 6), and against a fatal part that comes
/// free with it.
fn engines_that_end_together_block_no_sound_part(case: TogetherCase) {
    /// Time from an end until the engines are back and instances have heard of it.
    const SETTLE_TIME: Duration = Duration::from_secs(5);
    const CALM_TIME: Duration = Duration::from_secs(6);
    /// Time before the first end in which a request may still wait for its answer to begin.
    const BEGIN_TIME: Duration = Duration::from_millis(500);
    let site = start_site(case.framing);
    site.state.set_generation(case.events.0, case.events.1);
    let targets: Vec<SocketAddr> = (0..INSTANCES).map(|it| site.caller_address(it)).collect();
    let started = Instant::now();
    let sound_call = move |id: &str, own: u64| {
        let rare = case.has_rare_part.then(|| format!("e{:x}", own / 40));
        let parts: Vec<String> = [FIRST_PART.to_owned()].into_iter().chain(rare).collect();
        call(case.path, id, &parts, 0x1000_0000 + own)
    };
    let sound = CallerGroup::start_with(case.callers, sound_call, false, case.pause, &targets);
    std::thread::sleep(SOUND_TIME);
    let calm_until = Instant::now();
    std::thread::sleep(BEGIN_TIME);
    let fatal = case.has_fatal.then(|| {
        site.state.set_fatal_part(Some(FATAL_PART));
        let fatal = CallerGroup::start(1, case.path, SHORT, true, &targets);
        std::thread::sleep(CONTACT * 2 + SOUND_TIME);
        fatal
    });
    let mut ended_at = Instant::now();
    for round in 0..case.ends as usize {
        ended_at = Instant::now();
        let ended: Vec<usize> =
            (0..case.engines).map(|engine| (engine + round) % ENGINES).collect();
        site.state.end_engines(&ended);
        std::thread::sleep(SETTLE_TIME);
    }
    std::thread::sleep(CALM_TIME);
    let until = Instant::now();
    if let Some(fatal) = fatal {
        drop(fatal.stop());
    }
    let records = sound.stop();
    check_fatal_runs(&site);
    let usual = share(&records, started, calm_until, is_begun);
    let settled = share(&records, ended_at + SETTLE_TIME, until, is_begun);
    let blocked = |line: &&str| line.contains(" E621 ") && !line.contains(FATAL_PART);
    let lines = ledger_lines(&site);
    let blocks = lines.lines().filter(blocked).count();
    println!("{usual} began before, {settled} after; sound parts were blocked {blocks} times");
    assert!(usual > 0.9, "{usual} began before\n{lines}");
    assert!(settled >= usual * 0.9, "{settled} began afterwards, {usual} before\n{lines}");
    let refused = |record: &&CallRecord| {
        record.answer.as_ref().is_some_and(|it| it.status == 503 && it.body.contains("prompt"))
    };
    let refused = records.iter().filter(refused).count();
    println!("{refused} of {} sound requests were refused for their prompts", records.len());
    assert!(refused * 20 <= records.len(), "{refused} of {}\n{lines}", records.len());
}

const TOGETHER: TogetherCase = TogetherCase {
    path: "/draft/a",
    framing: AnswerFraming::Delimited,
    has_rare_part: false,
    has_fatal: false,
    events: (8, 20),
    callers: 24,
    pause: CALL_PAUSE,
    engines: 4,
    ends: 1,
};

cases! { engines_that_end_together_block_no_sound_part;
    engines_end_together_beside_streams => TOGETHER,
    engines_end_together_beside_long_streams => TogetherCase { events: (60, 30), ..TOGETHER },
    engines_end_together_beside_unframed_streams => TogetherCase {
        framing: AnswerFraming::CutAfterEvent, ..TOGETHER
    },
    engines_end_together_beside_whole_answers => TogetherCase { path: "/note/a", ..TOGETHER },
    engines_end_together_beside_repeatable_answers => TogetherCase {
        path: "/assess/a", framing: AnswerFraming::CutAfterEvent, ..TOGETHER
    },
    engines_end_together_beside_a_fatal_part => TogetherCase { has_fatal: true, ..TOGETHER },
    engines_end_together_beside_prompts_that_few_share => TogetherCase {
        has_rare_part: true, ..TOGETHER
    },
    all_engines_end_together_beside_prompts_that_few_share => TogetherCase {
        has_rare_part: true, engines: ENGINES, ..TOGETHER
    },
    all_engines_end_together_beside_silent_answers_that_few_share => TogetherCase {
        path: "/note/a", has_rare_part: true, engines: ENGINES, ends: 2, ..TOGETHER
    },
    engines_end_together_beside_few_requests => TogetherCase {
        callers: 3, pause: Duration::from_millis(150), ..TOGETHER
    },
    engines_end_together_again => TogetherCase { ends: 3, ..TOGETHER },
}
