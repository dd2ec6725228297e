//! Answers of servers that end, restart or fall silent in the middle of them, with each way to delimit a
//! body, whatever was known of the server before.

mod answer_support;

use std::time::{Duration, Instant};

use self::answer_support::{
    INSTANCES, KindCase, call, is_whole, publish_services, start_site, wait_for_entries,
};
use medlarlanding_bench::site::{
    BodyDelimiter, EndMode, EndingServer, INTERVAL_HEADER, SiteParams, TestSite,
};
use medlarlanding_core::cases;

/// Longest time from the end of an answer at its server to its end at the caller.
const END_LIMIT: Duration = Duration::from_millis(500);
/// Time until the deadline of a request to a server that falls silent.
const SILENT_DEADLINE: Duration = Duration::from_secs(4);
/// Connections that a server may get for an answer without a declared end: the request, and two to
/// learn whether the server still runs.
const CONNECTION_LIMIT: usize = 3;

/// What was said of a server before its answers ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum PriorStatus {
    Ready,
    /// Its entry says that it drains.
    Draining,
    /// Its entry was removed.
    Removed,
    /// Its answers say that it leaves.
    Announced,
}

const STATUSES: [PriorStatus; 4] =
    [PriorStatus::Ready, PriorStatus::Draining, PriorStatus::Removed, PriorStatus::Announced];

/// Waits until all instances know that a server of a service is ready.
fn wait_for_server(site: &TestSite, server: &EndingServer, service: &str) {
    let text = format!("server={} service={service} state=ready", server.id());
    let is_known = |instance| site.log(instance).contains(&text);
    site.wait_until("a server", || (0..INSTANCES).all(is_known)).expect("an entry");
}

/// Guards against an answer that its server broke off and that looks complete to the caller, as in
/// incident inc2, and against a sound answer that is lost, delayed or costs connections because its
/// end is checked.
fn ends_truthfully(case: KindCase) {
    let mut site = start_site();
    let mut specs = Vec::new();
    for delimiter in BodyDelimiter::ALL {
        for end_mode in EndMode::ALL {
            specs.extend(STATUSES.map(|status| (delimiter, end_mode, status)));
        }
    }
    let servers: Vec<_> =
        specs.iter().map(|&(delimiter, end_mode, _)| (delimiter, end_mode)).collect();
    let servers = site.add_ending_servers(&servers).expect("servers");
    let services: Vec<String> = servers.iter().map(|server| server.id().to_owned()).collect();
    publish_services(&mut site, &services, case, false);
    wait_for_entries(&site, INSTANCES, "ready", servers.len());
    let calls: Vec<_> = servers
        .iter()
        .zip(&specs)
        .enumerate()
        .map(|(number, (server, (_, end_mode, status)))| {
            if *status == PriorStatus::Announced {
                server.say_leaving();
            }
            let mut call = call(case, server.id(), number);
            if *end_mode == EndMode::FallsSilent {
                call = call.header("x-deadline-ms", &SILENT_DEADLINE.as_millis().to_string());
            }
            let address = site.caller_address(number % INSTANCES);
            let server = server.clone();
            std::thread::spawn(move || {
                let answer = call.send(address).expect("an answer");
                (answer, Instant::now(), server.connections())
            })
        })
        .collect();
    let are_paused = || servers.iter().all(|server| server.paused() > 0);
    site.wait_until("the middle of all answers", are_paused).expect("answers");
    let (mut draining, mut removed) = (0, 0);
    for (server, (_, _, status)) in servers.iter().zip(&specs) {
        match status {
            PriorStatus::Ready | PriorStatus::Announced => {},
            PriorStatus::Draining => {
                site.register_ending_server(server, server.id(), "draining");
                draining += 1;
            },
            PriorStatus::Removed => {
                site.state.remove(&format!("servers/{}", server.id()));
                removed += 1;
            },
        }
    }
    wait_for_entries(&site, INSTANCES, "draining", draining);
    wait_for_entries(&site, INSTANCES, "removed", removed);
    servers.iter().for_each(EndingServer::release);

    let mut faults = Vec::new();
    let (mut ambiguous_lost, mut ambiguous) = (0, 0);
    let mut longest = Duration::ZERO;
    for ((caller, server), spec) in calls.into_iter().zip(&servers).zip(&specs) {
        let (answer, received_at, connections) = caller.join().expect("a caller");
        let (delimiter, end_mode, _) = *spec;
        let whole = is_whole(case, &answer);
        let described = format!(
            "{spec:?}: status {}, complete {}, {} bytes",
            answer.status,
            answer.is_complete,
            answer.body.len()
        );
        if end_mode.breaks_answers() && answer.status == 200 && answer.is_complete {
            faults.push(format!("broken off and complete: {described}"));
        }
        if !end_mode.breaks_answers()
            && (end_mode == EndMode::Lives || delimiter.is_declared())
            && !whole
        {
            faults.push(format!("sound and lost: {described}"));
        }
        if end_mode == EndMode::EndsAfterAnswers && !delimiter.is_declared() {
            ambiguous += 1;
            ambiguous_lost += usize::from(!whole);
        }
        let delay = server.ended_at().map_or(Duration::ZERO, |at| received_at.duration_since(at));
        if end_mode == EndMode::FallsSilent {
            // Nothing ends such an answer but its deadline.
            if answer.elapsed > SILENT_DEADLINE + END_LIMIT {
                faults.push(format!("ended after {:?}: {described}", answer.elapsed));
            }
            continue;
        }
        longest = longest.max(delay);
        if delay > END_LIMIT {
            faults.push(format!("ended {delay:?} later: {described}"));
        }
        let allowed = if delimiter.is_declared() { 1 } else { CONNECTION_LIMIT };
        if end_mode == EndMode::Lives && connections > allowed {
            faults.push(format!("{connections} connections: {described}"));
        }
        // A second after a short answer its engine may be asked whether it has survived the prompt.
        let allowed_later = allowed + if case.has_prompt { CONNECTION_LIMIT - 1 } else { 0 };
        if end_mode == EndMode::Lives && server.connections() > allowed_later {
            faults.push(format!("{} connections in the end: {described}", server.connections()));
        }
    }
    println!(
        "longest end {longest:?}; {ambiguous_lost} of {ambiguous} sound answers without a declared end \
         lost whose server ended in the same moment"
    );
    assert!(faults.is_empty(), "{} faults:\n{}", faults.len(), faults.join("\n"));
}

cases! { ends_truthfully;
    streams_with_a_prompt_end_truthfully => KindCase {
        route: "draft", kind: "stream", is_engine: true, has_prompt: true, parts: 6, part_bytes: 16,
    },
    streams_without_a_prompt_end_truthfully => KindCase {
        route: "draft", kind: "stream", is_engine: true, has_prompt: false, parts: 300,
        part_bytes: 16,
    },
    repeatable_answers_to_a_prompt_end_truthfully => KindCase {
        route: "assess", kind: "safe", is_engine: true, has_prompt: true, parts: 6, part_bytes: 16,
    },
    unrepeatable_answers_to_a_prompt_end_truthfully => KindCase {
        route: "note", kind: "unsafe", is_engine: true, has_prompt: true, parts: 6, part_bytes: 16,
    },
    repeatable_answers_end_truthfully => KindCase {
        route: "lookup", kind: "safe", is_engine: false, has_prompt: false, parts: 6, part_bytes: 16,
    },
    unrepeatable_answers_end_truthfully => KindCase {
        route: "order", kind: "unsafe", is_engine: false, has_prompt: false, parts: 6,
        part_bytes: 16,
    },
    long_answers_end_truthfully => KindCase {
        route: "order", kind: "unsafe", is_engine: false, has_prompt: false, parts: 12,
        part_bytes: 20_000,
    },
    long_answers_to_a_prompt_end_truthfully => KindCase {
        route: "note", kind: "unsafe", is_engine: true, has_prompt: true, parts: 12,
        part_bytes: 20_000,
    },
}

/// Guards against server entries that an instance never learns: changes that the store lists in another
/// order than that of their revisions were sent to peers in several datagrams, of which the peers
/// dropped those after the one with the highest revision.
#[test]
fn servers_registered_at_once_are_known_to_all_instances() {
    const SERVERS: usize = 140;
    // Only some of the instances read the store; the others learn of changes from them.
    const ALL_INSTANCES: usize = 6;
    let params = SiteParams { instances: ALL_INSTANCES, plain_servers: 0, engines: 0, grace_s: 8 };
    let site = TestSite::start(params).expect("a deployment");
    let specs = [(BodyDelimiter::Length, EndMode::Lives); SERVERS];
    site.add_ending_servers(&specs).expect("servers");
    wait_for_entries(&site, ALL_INSTANCES, "ready", SERVERS);
}

/// Guards against a repeatable request whose broken answer reaches the caller although another server
/// would have completed it.
#[test]
fn broken_answer_is_replaced_by_that_of_another_server() {
    let case = KindCase {
        route: "lookup",
        kind: "safe",
        is_engine: false,
        has_prompt: false,
        parts: 6,
        part_bytes: 16,
    };
    let mut site = start_site();
    let end_modes = EndMode::ALL.into_iter().filter(|end_mode| end_mode.breaks_answers());
    let specs: Vec<_> = end_modes
        .flat_map(|end_mode| [end_mode, end_mode, end_mode, end_mode])
        .flat_map(|end_mode| {
            [(BodyDelimiter::Connection, end_mode), (BodyDelimiter::Connection, EndMode::Lives)]
        })
        .collect();
    let servers = site.add_ending_servers(&specs).expect("servers");
    let services: Vec<String> = (0..servers.len() / 2).map(|pair| format!("pair-{pair}")).collect();
    for (pair, service) in servers.chunks(2).zip(&services) {
        pair.iter().for_each(|server| site.register_ending_server(server, service, "ready"));
        pair.iter().for_each(EndingServer::release);
    }
    publish_services(&mut site, &services, case, false);
    for (pair, service) in servers.chunks(2).zip(&services) {
        pair.iter().for_each(|server| wait_for_server(&site, server, service));
    }
    let mut repeated = 0;
    for (number, (pair, service)) in servers.chunks(2).zip(&services).enumerate() {
        let answer = call(case, service, number).send(site.caller_address(number % INSTANCES));
        let answer = answer.expect("an answer");
        assert!(is_whole(case, &answer), "{:?}: {answer:?}", specs[number * 2]);
        repeated += usize::from(pair[0].ended_at().is_some());
    }
    println!("{repeated} of {} requests were repeated", services.len());
    assert!(repeated > 0, "no request was repeated");
}

/// A generation that moves between two engines, and what the caller must receive.
struct MoveCase {
    source: EndMode,
    destination: EndMode,
    /// The run completes on its own when the move stops it.
    completes_on_move: bool,
    is_whole: bool,
}

/// Guards against a moved run whose stream has no declared end: it looks complete when its engine
/// ends, or is lost although it was complete.
fn moves_truthfully(expected: MoveCase) {
    const EVENTS: usize = 60;
    let case = KindCase {
        route: "draft",
        kind: "stream",
        is_engine: true,
        has_prompt: true,
        parts: EVENTS,
        part_bytes: 16,
    };
    let mut site = start_site();
    let delimiters = [BodyDelimiter::Connection, BodyDelimiter::OldConnection];
    let specs: Vec<_> = delimiters
        .into_iter()
        .flat_map(|delimiter| [(delimiter, expected.source), (delimiter, expected.destination)])
        .collect();
    let servers = site.add_ending_servers(&specs).expect("servers");
    let services: Vec<String> = (0..servers.len() / 2).map(|pair| format!("pair-{pair}")).collect();
    publish_services(&mut site, &services, case, true);
    let mut callers = Vec::new();
    for (number, (pair, service)) in servers.chunks(2).zip(&services).enumerate() {
        site.register_ending_server(&pair[0], service, "ready");
        site.state.remove(&format!("servers/{}", pair[1].id()));
        wait_for_server(&site, &pair[0], service);
        if expected.completes_on_move {
            pair.iter().for_each(EndingServer::complete_on_move);
        }
        pair[1].release();
        let call = call(case, service, number).header(INTERVAL_HEADER, "30");
        let address = site.caller_address(number % INSTANCES);
        callers.push(std::thread::spawn(move || call.send(address).expect("an answer")));
        let request = format!("id-{number}");
        site.wait_until("the run", || !site.state.runs(&request).is_empty()).expect("a run");
        site.register_ending_server(&pair[1], service, "ready");
        wait_for_server(&site, &pair[1], service);
        site.register_ending_server(&pair[0], service, "draining");
    }
    for (number, caller) in callers.into_iter().enumerate() {
        let answer = caller.join().expect("a caller");
        let ids = answer.event_ids();
        let expected_ids: Vec<u64> = (1..=ids.len() as u64).collect();
        assert_eq!(ids, expected_ids, "pieces are missing or come twice");
        let is_moved = site.state.runs(&format!("id-{number}")).iter().any(|run| run.is_continued);
        assert!(is_moved || expected.completes_on_move, "the run was not moved");
        assert_eq!(
            (answer.status, answer.is_complete),
            (200, expected.is_whole),
            "{} events\n{}",
            ids.len(),
            site.log(number % INSTANCES)
        );
        assert!(!expected.is_whole || expected.completes_on_move || ids.len() == EVENTS);
    }
}

cases! { moves_truthfully;
    moved_stream_is_whole => MoveCase {
        source: EndMode::Lives, destination: EndMode::Lives, completes_on_move: false,
        is_whole: true,
    },
    moved_stream_of_an_engine_that_ends_is_broken_off => MoveCase {
        source: EndMode::Lives, destination: EndMode::Ends, completes_on_move: false,
        is_whole: false,
    },
    moved_stream_of_an_engine_that_freezes_is_broken_off => MoveCase {
        source: EndMode::Lives, destination: EndMode::Freezes, completes_on_move: false,
        is_whole: false,
    },
    moved_stream_of_an_engine_that_restarts_is_broken_off => MoveCase {
        source: EndMode::Lives, destination: EndMode::Restarts, completes_on_move: false,
        is_whole: false,
    },
    stream_that_completes_during_its_move_is_whole => MoveCase {
        source: EndMode::Lives, destination: EndMode::Lives, completes_on_move: true,
        is_whole: true,
    },
    stream_whose_engine_ends_during_its_move_is_continued => MoveCase {
        source: EndMode::Ends, destination: EndMode::Lives, completes_on_move: false,
        is_whole: true,
    },
}
