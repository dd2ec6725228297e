//! Servers that say in their answers that they leave, or that they want no requests for a while.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use medlarlanding_bench::site::{
    BodyDelimiter, EndMode, EndingServer, INTERVAL_HEADER, PARTS_HEADER, SiteAnswer, SiteCall,
    SiteParams, TestSite,
};
use medlarlanding_core::cases;

use hyper::Method;
use serde_json::json;

const INSTANCES: usize = 5;
/// Time after its notice for which a server may still get requests: `drainMs`, which the settings of the
/// instances leave at its default.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Requests that an instance may send to a server between `HOLD_GRACE` after it was told to pause and
/// the end of the pause.
const HELD_LIMIT: usize = 2;
/// Time after a refusal within which requests may still be under way.
const HOLD_GRACE: Duration = Duration::from_millis(500);
/// Pause of a caller between two requests. All callers together begin fewer runs within a digest interval
/// than two engines have slots: until then the coordinator counts each as running.
const CALL_PAUSE: Duration = Duration::from_millis(60);
/// Time for which callers send requests.
const CALL_TIME: Duration = Duration::from_secs(6);

/// A kind of request.
#[derive(Clone, Copy)]
struct KindCase {
    route: &'static str,
    kind: &'static str,
    is_engine: bool,
}

const STREAM: KindCase = KindCase { route: "draft", kind: "stream", is_engine: true };
const ASSESS: KindCase = KindCase { route: "assess", kind: "safe", is_engine: true };
const LOOK_UP: KindCase = KindCase { route: "lookup", kind: "safe", is_engine: false };
const ORDER: KindCase = KindCase { route: "order", kind: "unsafe", is_engine: false };

/// One answered request: the instance it was sent to, when, and the answer.
struct CallRecord {
    instance: usize,
    request: String,
    sent_at: Instant,
    answered_at: Instant,
    answer: SiteAnswer,
}

/// Starts instances before servers of one service, which answer all requests of one route.
fn start(case: KindCase, servers: usize) -> (TestSite, Vec<EndingServer>) {
    let params = SiteParams { instances: INSTANCES, plain_servers: 0, engines: 0, grace_s: 8 };
    let mut site = TestSite::start(params).expect("a deployment");
    let specs = vec![(BodyDelimiter::Length, EndMode::Lives); servers];
    let servers = site.add_ending_servers(&specs).expect("servers");
    let version = site.publish_config(|config| {
        config["routes"] = json!([{"name": case.route, "host": "desk.example",
            "prefix": format!("/{}/", case.route), "routeType": case.kind, "timeoutMs": 20_000,
            "goalMs": 1_000, "priority": 1, "service": "all", "maxAttempts": 2, "public": false}]);
        let engine = json!({"slots": 24, "kvCapacity": 30_000, "kvBytes": 1, "linkMbps": 1_000,
            "moves": true});
        config["services"] = match case.is_engine {
            true => json!([{"name": "all", "maxConnections": 100, "engine": engine}]),
            false => json!([{"name": "all", "maxConnections": 100}]),
        };
    });
    servers.iter().for_each(|server| site.register_ending_server(server, "all", "ready"));
    servers.iter().for_each(EndingServer::release);
    for instance in 0..INSTANCES {
        let accepted = format!("forward_config_accepted version={version} ");
        let is_known = || {
            let log = site.log(instance);
            log.contains(&accepted)
                && log.matches("service=all state=ready").count() >= servers.len()
        };
        site.wait_until("configuration and servers", is_known).expect("an instance");
    }
    (site, servers)
}

fn call(case: KindCase, request: &str) -> SiteCall {
    SiteCall::new(Method::POST, &format!("/{}/a", case.route), request)
        .header("x-deadline-ms", "6000")
        .header("x-token-count", "300,8")
        .header("x-length-hint", "8")
}

/// Sends requests to all instances, several at a time, for `CALL_TIME`. Runs `change` after a second.
fn send_calls(site: &TestSite, case: KindCase, change: impl FnOnce()) -> Vec<CallRecord> {
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..INSTANCES * 2)
        .map(|caller| {
            let instance = caller % INSTANCES;
            let address: SocketAddr = site.caller_address(instance);
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let mut records = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    let request = format!("{instance}-{caller}-{}", records.len());
                    let sent_at = Instant::now();
                    let answer = call(case, &request).send(address).expect("an answer");
                    let answered_at = Instant::now();
                    records.push(CallRecord { instance, request, sent_at, answered_at, answer });
                    std::thread::sleep(CALL_PAUSE);
                }
                records
            })
        })
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    change();
    std::thread::sleep(CALL_TIME);
    is_over.store(true, Ordering::Relaxed);
    callers.into_iter().flat_map(|caller| caller.join().expect("a caller")).collect()
}

/// Returns the instance that a request was sent to.
fn instance_of(request: &str) -> usize {
    request.split('-').next().and_then(|text| text.parse().ok()).expect("an instance")
}

/// Fails if a request reached a server that its caller sent later than `DRAIN_LIMIT` after the
/// instance had passed on the notice that the server leaves.
fn check_leaving(servers: &[EndingServer], records: &[CallRecord]) {
    let mut late = 0;
    for server in servers {
        let arrivals = server.arrivals();
        for instance in 0..INSTANCES {
            let stamp = format!("stamp-{}", server.id());
            let told_at = records
                .iter()
                .filter(|record| record.instance == instance)
                .filter(|record| record.answer.header("server-leaving") == Some("1"))
                .filter(|record| record.answer.header("x-server-stamp") == Some(&*stamp))
                .map(|record| record.answered_at)
                .min();
            let Some(told_at) = told_at else { continue };
            let is_late = |record: &&CallRecord| {
                record.instance == instance
                    && record.sent_at > told_at + DRAIN_LIMIT
                    && arrivals.iter().any(|(request, _)| *request == record.request)
            };
            late += records.iter().filter(is_late).count();
        }
    }
    assert_eq!(late, 0, "requests reached leaving servers too late");
}

/// Returns the log lines of a request.
fn lines(site: &TestSite, record: &CallRecord) -> String {
    let log = site.log(record.instance);
    let field = format!("request={} ", record.request);
    log.lines()
        .filter(|line| line.contains(&field))
        .fold(String::new(), |all, line| all + "\n" + line)
}

/// Guards against requests to a server that has said itself that it leaves, although its entry goes on
/// calling it ready or is written again late.
fn leaving_server_gets_no_late_requests(case: KindCase) {
    let (site, servers) = start(case, 3);
    let records = send_calls(&site, case, || {
        servers[0].say_leaving();
        // Its entry is lost for a moment and written again as it was before its notice.
        std::thread::sleep(Duration::from_millis(500));
        site.state.remove(&format!("servers/{}", servers[0].id()));
        std::thread::sleep(Duration::from_millis(500));
        site.register_ending_server(&servers[0], "all", "ready");
    });
    check_leaving(&servers, &records);
    let told = records.iter().filter(|it| it.answer.header("server-leaving").is_some()).count();
    assert!(told > 0, "the notice was not passed on");
    let failed: Vec<_> = records.iter().filter(|record| record.answer.status != 200).collect();
    println!("{} requests, {told} told, {} failed", records.len(), failed.len());
    let described: Vec<String> = failed
        .iter()
        .map(|it| {
            format!("{}: {} {}{}", it.request, it.answer.status, it.answer.body, lines(&site, it))
        })
        .collect();
    assert!(
        failed.is_empty(),
        "requests failed although servers were left:\n{}",
        described.join("\n")
    );
}

cases! { leaving_server_gets_no_late_requests;
    leaving_engine_gets_no_late_streams => STREAM,
    leaving_engine_gets_no_late_requests => ASSESS,
    leaving_server_gets_no_late_look_ups => LOOK_UP,
    leaving_server_gets_no_late_orders => ORDER,
}

/// Guards against a service that is refused at once when all its servers say that they leave, against
/// late requests to them, and against callers that wait for a server in vain.
fn service_whose_servers_all_leave_is_not_starved(case: KindCase) {
    let (site, servers) = start(case, 3);
    let mut changed_at = None;
    let records = send_calls(&site, case, || {
        servers.iter().for_each(EndingServer::say_leaving);
        changed_at = Some(Instant::now());
    });
    let changed_at = changed_at.expect("a change");
    check_leaving(&servers, &records);
    let at_first = changed_at..changed_at + DRAIN_LIMIT / 3;
    let served = |record: &&CallRecord| record.answer.status == 200;
    let first: Vec<_> = records.iter().filter(|it| at_first.contains(&it.sent_at)).collect();
    let first_served = first.iter().copied().filter(served).count();
    let later = |record: &&CallRecord| record.sent_at > changed_at + DRAIN_LIMIT * 2;
    let longest = records.iter().filter(later).map(|record| record.answer.elapsed).max();
    println!("{first_served} of {} served at first, longest refusal {longest:?}", first.len());
    assert!(first_served * 10 >= first.len() * 9, "the service was starved");
    for record in records.iter().filter(later) {
        assert_eq!(record.answer.status, 503);
        assert!(record.answer.header("retry-after").is_some());
        assert!(record.answer.elapsed < Duration::from_millis(500), "{:?}", record.answer.elapsed);
    }
}

cases! { service_whose_servers_all_leave_is_not_starved;
    streams_are_served_while_all_engines_leave => STREAM,
    look_ups_are_served_while_all_servers_leave => LOOK_UP,
    orders_are_served_while_all_servers_leave => ORDER,
}

/// Fails if too many requests of an instance reached a server within a pause for which it had asked the
/// instance; it has refused all requests since `changed_at`.
fn check_pauses(servers: &[EndingServer], hold: Duration, changed_at: Instant) {
    for server in servers {
        let refused = server.arrivals().into_iter().filter(|(_, at)| *at >= changed_at);
        let refused: Vec<_> = refused.collect();
        assert!(!refused.is_empty(), "no request was refused");
        for instance in 0..INSTANCES {
            let own = refused.iter().filter(|(request, _)| instance_of(request) == instance);
            let own: Vec<Instant> = own.map(|(_, at)| *at).collect();
            for refused_at in &own {
                let pause = *refused_at + HOLD_GRACE..*refused_at + hold;
                let count = own.iter().filter(|at| pause.contains(at)).count();
                assert!(count <= HELD_LIMIT, "{count} requests of instance {instance} in a pause");
            }
        }
    }
}

/// Guards against requests to servers that have asked for a pause, against refusals while another
/// server takes requests, and against callers that wait in vain or are not told when to come back.
fn paused_servers_get_no_requests((case, paused): (KindCase, usize)) {
    const HOLD: Duration = Duration::from_secs(2);
    let (site, servers) = start(case, 3);
    let mut changed_at = None;
    let records = send_calls(&site, case, || {
        servers[..paused].iter().for_each(|server| server.set_hold(HOLD));
        changed_at = Some(Instant::now());
    });
    let changed_at = changed_at.expect("a change");
    let held: Vec<_> = servers[..paused].to_vec();
    for server in &held {
        let before = server.arrivals().iter().filter(|(_, at)| *at < changed_at).count();
        println!("{}: {} arrivals, {before} before", server.id(), server.arrivals().len());
    }
    check_pauses(&held, HOLD, changed_at);
    let later: Vec<_> = records.iter().filter(|record| record.sent_at > changed_at).collect();
    for record in &later {
        match paused == servers.len() {
            false => assert_eq!(record.answer.status, 200, "refused although a server was left"),
            true => assert!(record.answer.status == 503 || record.answer.status == 200),
        }
        if record.answer.status == 503 {
            let delay = record.answer.header("retry-after").and_then(|it| it.parse::<f64>().ok());
            let delay = delay.expect("a delay");
            assert!(delay <= HOLD.as_secs_f64() * 1.5 + 0.1, "{delay} s");
            assert!(record.answer.elapsed < Duration::from_millis(500));
        }
    }
    // Once the servers take requests again, they get some.
    servers.iter().for_each(|server| server.set_hold(Duration::ZERO));
    let serves = || {
        let probe = call(case, "0-9-probe").send(site.caller_address(0));
        probe.is_ok_and(|answer| answer.status == 200)
    };
    site.wait_until("service after the pause", serves).expect("service");
}

cases! { paused_servers_get_no_requests;
    paused_engine_gets_no_streams => (STREAM, 1),
    paused_engines_get_no_requests => (ASSESS, 2),
    paused_server_gets_no_look_ups => (LOOK_UP, 1),
    paused_servers_get_no_orders => (ORDER, 2),
    streams_are_refused_at_once_while_all_engines_pause => (STREAM, 3),
    orders_are_refused_at_once_while_all_servers_pause => (ORDER, 3),
}

/// Guards against runs that move to an engine which leaves or has asked for a pause, and against runs
/// that are lost for it although another engine takes them.
#[test]
fn moved_runs_avoid_engines_that_leave_or_pause() {
    const RUNS: usize = 12;
    let (site, servers) = start(STREAM, 5);
    let [source, leaving, paused, ..] = &servers[..] else { panic!("five servers") };
    // All runs begin at the source; the others refuse or leave only afterwards.
    for server in &servers[1..] {
        site.state.remove(&format!("servers/{}", server.id()));
    }
    let is_gone = |instance| site.log(instance).matches("state=removed").count() >= 4;
    site.wait_until("one engine", || (0..INSTANCES).all(is_gone)).expect("removals");
    let callers: Vec<_> = (0..RUNS)
        .map(|run| {
            let instance = run % INSTANCES;
            let address = site.caller_address(instance);
            let call = call(STREAM, &format!("{instance}-run-{run}"))
                .header("x-deadline-ms", "15000")
                .header(PARTS_HEADER, "120")
                .header(INTERVAL_HEADER, "40");
            std::thread::spawn(move || call.send(address).expect("an answer"))
        })
        .collect();
    site.wait_until("all runs", || source.arrivals().len() == RUNS).expect("runs");
    for server in &servers[1..] {
        site.register_ending_server(server, "all", "ready");
    }
    let count = 2 * servers.len() - 1;
    let is_back = |instance| site.log(instance).matches("service=all state=ready").count() >= count;
    site.wait_until("all engines", || (0..INSTANCES).all(is_back)).expect("entries");
    // Each instance hears from both engines.
    source.set_hold(Duration::from_secs(30));
    leaving.say_leaving();
    paused.set_hold(Duration::from_secs(30));
    for number in 0..60 {
        let instance = number % INSTANCES;
        let sent = call(STREAM, &format!("{instance}-probe-{number}"));
        sent.send(site.caller_address(instance)).expect("an answer");
    }
    std::thread::sleep(DRAIN_LIMIT);
    site.register_ending_server(source, "all", "draining");
    let answers: Vec<_> =
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect();
    let moved = |server: &EndingServer| {
        let arrivals = server.arrivals();
        arrivals.iter().filter(|(request, _)| request.contains("-run-")).count()
    };
    assert_eq!((moved(leaving), moved(paused)), (0, 0), "runs moved to engines that refuse them");
    let whole = answers.iter().filter(|it| it.is_complete && it.event_ids().len() == 120).count();
    assert_eq!(whole, RUNS, "runs were lost");
}
