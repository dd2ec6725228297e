//! Tests of the forwarding role: real processes between the stand-ins of a small deployment.

use std::time::{Duration, Instant};

use medlarlanding_bench::site::{
    RunRecord, ServerMode, SiteAnswer, SiteCall, SiteParams, StoreMode, TestSite,
};
use medlarlanding_core::cases;

use hyper::Method;
use rustix::process::Signal;

/// Longest time from the store's confirmation of a change to its effect on every instance.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);

fn start(params: SiteParams) -> TestSite {
    TestSite::start(params).expect("a deployment")
}

fn call(path: &str, id: &str) -> SiteCall {
    let method = if path.starts_with("/lookup/") { Method::GET } else { Method::POST };
    SiteCall::new(method, path, id)
}

fn send(site: &TestSite, call: &SiteCall) -> SiteAnswer {
    call.send(site.caller_address(0)).expect("an answer")
}

/// Guards against modified requests and answers, and against forwarding callers' values of headers
/// that only the system may set.
#[test]
fn plain_request_and_answer_pass_unchanged() {
    let site = start(SiteParams::default());
    let request = call("/order/a/b?c=d", "id-1")
        .body(b"12345".to_vec())
        .header("x-tenant", "forged")
        .header("x-hold", "forged");
    let answer = send(&site, &request);
    assert_eq!((answer.status, answer.body.as_str()), (200, "POST /order/a/b id-1 5"));
    assert!(answer.header("x-server-stamp").is_some_and(|stamp| stamp.starts_with("stamp-orders")));
    let runs = site.state.runs("id-1");
    let RunRecord { customer, headers, .. } = &runs[0];
    assert_eq!((runs.len(), customer.as_deref()), (1, Some("museum")));
    assert!(headers.iter().all(|(name, _)| name != "authorization" && name != "x-hold"));
    let is_logged = || site.log(0).contains("request_finished request=id-1");
    site.wait_until("the log line of the request", is_logged).expect("a line");
}

/// Guards against invalid requests that are forwarded or refused with the wrong status.
fn is_refused((path, key, body, status): (&str, &str, usize, u16)) {
    let site = start(SiteParams::default());
    let request = call(path, "id-1").header("authorization", key).body(vec![b'x'; body]);
    let answer = send(&site, &request);
    assert_eq!(answer.status, status);
    assert!(site.state.runs("").is_empty());
}

cases! { is_refused;
    unknown_key => ("/order/a", "Token other", 0, 401),
    other_scheme => ("/order/a", "Basic key-1", 0, 401),
    unknown_route => ("/nothing/a", "Token key-1", 0, 404),
    body_over_the_limit => ("/order/a", "Token key-1", 100_001, 413),
}

/// A kind of request, the fault of one server, and the expected outcome.
struct FaultCase {
    path: &'static str,
    mode: ServerMode,
    status: u16,
    /// Expected runs at the faulty server and at the healthy one.
    runs: (usize, usize),
}

/// Guards against unsafe requests that run twice, "not run" answers to requests that ran, and safe
/// requests that fail although another server is healthy.
fn survives_fault(case: FaultCase) {
    let site = start(SiteParams { plain_servers: 2, ..SiteParams::default() });
    // Sends requests until one is tried on the faulty server first.
    site.state.set_mode("orders-0", case.mode);
    for number in 0..200 {
        let id = format!("id-{number}");
        let answer = send(&site, &call(case.path, &id).header("x-deadline-ms", "1500"));
        let runs = site.state.runs(&id);
        let at = |server: &str| runs.iter().filter(|run| run.server == server).count();
        let (faulty, healthy) = (at("orders-0"), at("orders-1"));
        assert!(answer.status != 503 || faulty + healthy == 0, "{id}: {runs:?}");
        let finished = format!("request_finished request={id} ");
        site.wait_until("the log lines of the request", || site.log(0).contains(&finished))
            .expect("lines");
        let log = site.log(0);
        let mut lines = log.lines().filter(|line| line.contains(&format!("request={id} ")));
        let reached_faulty = lines.any(|line| line.contains("server=orders-0 attempt=1"));
        if reached_faulty {
            assert_eq!((answer.status, (faulty, healthy)), (case.status, case.runs), "{id}");
            return;
        }
    }
    panic!("no request went to the faulty server");
}

cases! { survives_fault;
    refused_order_goes_to_another_server => FaultCase {
        path: "/order/a", mode: ServerMode::Refuses, status: 200, runs: (0, 1),
    },
    failed_order_is_passed_on => FaultCase {
        path: "/order/a", mode: ServerMode::Fails, status: 500, runs: (1, 0),
    },
    order_without_answer_is_unknown => FaultCase {
        path: "/order/a", mode: ServerMode::Resets, status: 502, runs: (1, 0),
    },
    truncated_order_is_unknown => FaultCase {
        path: "/order/a", mode: ServerMode::Truncates, status: 502, runs: (1, 0),
    },
    unanswered_order_times_out_at_its_deadline => FaultCase {
        path: "/order/a", mode: ServerMode::NoAnswer, status: 504, runs: (1, 0),
    },
    answer_to_another_request_is_not_passed_on => FaultCase {
        path: "/order/a", mode: ServerMode::WrongRequestId, status: 502, runs: (1, 0),
    },
    unproved_refusal_is_unknown => FaultCase {
        path: "/order/a", mode: ServerMode::Busy, status: 502, runs: (1, 0),
    },
    failed_lookup_goes_to_another_server => FaultCase {
        path: "/lookup/a", mode: ServerMode::Fails, status: 200, runs: (1, 1),
    },
    truncated_lookup_goes_to_another_server => FaultCase {
        path: "/lookup/a", mode: ServerMode::Truncates, status: 200, runs: (1, 1),
    },
    reset_lookup_goes_to_another_server => FaultCase {
        path: "/lookup/a", mode: ServerMode::Resets, status: 200, runs: (1, 1),
    },
}

/// Guards against events that are lost, repeated or out of order when a generation moves, and
/// against two engines that run it at the same time.
fn generation_moves(give_notice: fn(&TestSite, &str)) {
    let site = start(SiteParams { engines: 3, instances: 2, ..SiteParams::default() });
    site.state.set_generation(150, 20);
    let address = site.caller_address(0);
    let caller = std::thread::spawn(move || call("/draft/a", "id-1").send(address));
    let began = || site.log(0).contains("request_sent request=id-1");
    site.wait_until("a running generation", began).expect("a run");
    let first = site.state.runs("id-1")[0].server.clone();
    give_notice(&site, &first);
    let answer = caller.join().expect("a caller").expect("an answer");
    assert!(answer.is_complete, "{}", site.log(0));
    assert_eq!(answer.event_ids(), (1..=150).collect::<Vec<u64>>());
    let runs = site.state.runs("id-1");
    assert_eq!(runs.len(), 2, "{}", site.log(0));
    assert!(runs[1].is_continued && runs[1].server != first);
    assert!(site.state.overlapping_generations().is_empty());
}

cases! { generation_moves;
    generation_moves_off_a_draining_engine => |site, server| site.drain_server(server),
    generation_moves_off_a_removed_engine => |site, server| {
        site.state.remove(&format!("servers/{server}"));
    },
    // Failed in gvic-landing-grown scale-1: 39 streams broke while the store was down.
    generation_moves_while_the_store_is_down => |site, server| {
        site.state.set_store(StoreMode::Unavailable);
        site.state.set_leaving(server);
    },
}

/// Guards against further runs that are moved to an engine which accepts copies but admits no run.
#[test]
fn engine_that_does_not_admit_a_moved_run_is_suspected() {
    let site = start(SiteParams { engines: 2, ..SiteParams::default() });
    site.state.set_generation(400, 20);
    let address = site.caller_address(0);
    let caller = std::thread::spawn(move || call("/draft/a", "id-1").send(address));
    let began = || site.log(0).contains("request_sent request=id-1");
    site.wait_until("a running generation", began).expect("a run");
    let first = site.state.runs("id-1")[0].server.clone();
    let other = if first == "engines-0" { "engines-1" } else { "engines-0" };
    site.state.set_mode(other, ServerMode::NoAnswer);
    site.drain_server(&first);
    let suspected = format!("server_suspected server={other} ");
    site.wait_until("the suspicion", || site.log(0).contains(&suspected)).expect("a line");
    // The run is lost; its caller must not take it for complete.
    let answer = caller.join().expect("a caller").expect("an answer");
    assert!(!answer.is_complete);
}

/// Guards against resuming a complete generation on another engine. The generation ends on its own
/// at the moment at which the move stops it.
#[test]
fn generation_that_ends_during_its_move_is_whole() {
    let site = start(SiteParams { engines: 3, ..SiteParams::default() });
    site.state.set_generation(150, 20);
    site.state.end_on_move();
    let address = site.caller_address(0);
    let caller = std::thread::spawn(move || call("/draft/a", "id-1").send(address));
    let began = || site.log(0).contains("request_sent request=id-1");
    site.wait_until("a running generation", began).expect("a run");
    site.drain_server(&site.state.runs("id-1")[0].server);
    let answer = caller.join().expect("a caller").expect("an answer");
    assert!(answer.is_complete, "{}", site.log(0));
    assert!(answer.event_ids().len() < 150);
    assert_eq!(site.state.runs("id-1").len(), 1);
}

/// Guards against a stopping process that exits before its answers are written. With gvic-landing
/// mix, seed 1009911055453, 19 streams were cut 2.5 s after SIGTERM.
#[test]
fn stopping_instance_finishes_its_streams() {
    let mut site = start(SiteParams { grace_s: 12, ..SiteParams::default() });
    site.state.set_generation(220, 20);
    let address = site.caller_address(0);
    let caller = std::thread::spawn(move || call("/draft/a", "id-1").send(address));
    site.wait_until("a running generation", || !site.state.runs("id-1").is_empty()).expect("a run");
    site.signal(0, Signal::TERM).expect("a signal");
    site.wait_until("a failing readiness probe", || !site.is_ready(0)).expect("not ready");
    let answer = caller.join().expect("a caller").expect("an answer");
    assert!(answer.is_complete, "{}", site.log(0));
    assert_eq!(answer.event_ids().len(), 220);
    assert!(site.wait_exit(0).expect("an exit").success());
}

/// Guards against a stopping instance that closes new connections without an answer, or accepts
/// generations that cannot finish in time. On the day of the failure above, 206 connections were
/// closed and one stream was cut at the end. With nfc-cast mix, seed 730846400502, a generation was
/// accepted 4.1 s after SIGTERM because its caller had estimated it too short.
#[test]
fn stopping_instance_answers_new_connections() {
    let mut site = start(SiteParams { grace_s: 6, ..SiteParams::default() });
    site.signal(0, Signal::TERM).expect("a signal");
    site.wait_until("a failing readiness probe", || !site.is_ready(0)).expect("not ready");
    let order = send(&site, &call("/order/a", "id-1"));
    assert_eq!((order.status, order.header("connection")), (200, Some("close")));
    let long = call("/draft/a", "id-2").header("x-token-count", "3000,2000");
    for long in [long.clone(), long.header("x-length-hint", "10")] {
        let refused = send(&site, &long);
        assert_eq!(refused.status, 503);
        assert!(refused.header("retry-after").is_some() && site.state.runs("id-2").is_empty());
    }
    assert!(site.wait_exit(0).expect("an exit").success());
}

/// Guards against an engine that goes on with a generation whose caller has disconnected.
#[test]
fn caller_that_leaves_frees_the_engine() {
    let site = start(SiteParams::default());
    site.state.set_generation(100_000, 20);
    let leaving = call("/draft/a", "id-1").disconnect_after(Duration::from_millis(300));
    let answer = send(&site, &leaving);
    assert!(!answer.is_complete);
    let is_logged = || site.log(0).contains("outcome=caller_gone");
    site.wait_until("the end of the run", is_logged).expect("an end");
    let made = || site.state.events_made("id-1");
    let settled = made();
    std::thread::sleep(Duration::from_millis(300));
    assert!(
        made() <= settled + 1,
        "the engine goes on: {settled} events at the disconnect, {} events 300 ms later",
        made()
    );
}

/// Guards against configurations that take effect late, and against reverting to an older one.
#[test]
fn configuration_is_in_force_in_time_and_never_reverts() {
    let mut site = start(SiteParams { instances: 5, ..SiteParams::default() });
    site.publish_config(|config| {
        config["tenants"][0]["apiKeys"] = serde_json::json!(["key-2"]);
    });
    std::thread::sleep(CONFIG_LIMIT);
    for index in 0..5 {
        let old = call("/order/a", "id-1").send(site.caller_address(index)).expect("an answer");
        assert_eq!(old.status, 401, "instance {index}");
        let new = call("/order/a", "id-2").header("authorization", "Token key-2");
        let new = new.send(site.caller_address(index)).expect("an answer");
        assert_eq!(new.status, 200, "instance {index}");
    }
    let older = br#"{"version":1,"routes":[],"services":[],"limits":{"maxHeaderBytes":1,"maxBodyBytes":1,"idleTimeoutMs":1}}"#;
    site.state.put("op/config", older);
    site.state.put("op/config", b"unreadable");
    let refused = || {
        site.log(0).contains("forward_config_refused")
            || site.log(1).contains("forward_config_refused")
    };
    site.wait_until("the refusal of an unreadable configuration", || {
        (0..5).any(|index| site.log(index).contains("forward_config_refused")) || refused()
    })
    .expect("a log line");
    let after = call("/order/a", "id-3").header("authorization", "Token key-2");
    assert_eq!(send(&site, &after).status, 200);
}

/// Guards against every instance watching the store. Five instances without requests must make
/// fewer calls than if each watched both the configuration and the servers.
#[test]
fn only_hubs_watch_the_store() {
    let site = start(SiteParams { instances: 5, ..SiteParams::default() });
    // The exchange of digests determines the hubs.
    std::thread::sleep(Duration::from_secs(3));
    let before = site.state.store_calls();
    for round in 0..5 {
        site.state.put("servers/unreadable", format!("{{{round}").as_bytes());
        std::thread::sleep(Duration::from_millis(1000));
    }
    let calls = site.state.store_calls() - before;
    // The first hub reads the servers at least every 0.4 s; two others follow the changes.
    assert!(calls <= 45, "{calls} calls in 5 s");
}

/// Guards against an instance that answers 404 or 401 because it starts while the store is down,
/// and against one that does not learn the configuration from its peers.
#[test]
fn restarted_instance_learns_from_peers_while_the_store_is_down() {
    let mut site = start(SiteParams { instances: 3, ..SiteParams::default() });
    site.state.set_store(StoreMode::Unavailable);
    site.signal(2, Signal::KILL).expect("a signal");
    site.wait_exit(2).expect("an exit");
    site.spawn_instance(2).expect("a process");
    let started = Instant::now();
    site.wait_until("a ready instance", || {
        if let Ok(answer) = call("/order/a", "early").send(site.caller_address(2)) {
            assert!(matches!(answer.status, 200 | 503), "{}", answer.status);
        }
        site.is_ready(2)
    })
    .expect("ready");
    assert!(started.elapsed() < Duration::from_secs(10));
    let answer = call("/order/a", "id-1").send(site.caller_address(2)).expect("an answer");
    assert_eq!(answer.status, 200, "{}", site.log(2));
}

/// Guards against an instance that is ready with a configuration but without the list of servers: it
/// refuses every request although servers are there.
#[test]
fn instance_is_not_ready_before_it_knows_the_servers() {
    let mut site = start(SiteParams::default());
    site.state.set_store(StoreMode::RefusesServers);
    site.signal(0, Signal::KILL).expect("a signal");
    site.wait_exit(0).expect("an exit");
    site.spawn_instance(0).expect("a process");
    let configurations = || site.log(0).matches("forward_config_accepted").count();
    site.wait_until("the configuration of the new process", || configurations() == 2)
        .expect("a line");
    assert!(!site.is_ready(0), "{}", site.log(0));
    site.state.set_store(StoreMode::Available);
    site.wait_until("a ready instance", || site.is_ready(0)).expect("ready");
    let answer = send(&site, &call("/order/a", "id-1"));
    assert_eq!(answer.status, 200, "{}", site.log(0));
}

/// Guards against an engine in use again after a restart: it has reported that it is leaving, which
/// the store that is down cannot show.
#[test]
fn restarted_instances_do_not_use_a_server_that_is_leaving() {
    let mut site = start(SiteParams { instances: 3, ..SiteParams::default() });
    site.state.set_store(StoreMode::Unavailable);
    site.state.set_leaving("engines-0");
    let notices = |site: &TestSite, index| site.log(index).matches("state=leaving").count();
    site.wait_until("the notice at all instances", || (0..3).all(|it| notices(&site, it) == 1))
        .expect("notices");
    for restarted in 0..3 {
        site.signal(restarted, Signal::KILL).expect("a signal");
        site.wait_exit(restarted).expect("an exit");
        site.spawn_instance(restarted).expect("a process");
        site.wait_until("a ready instance", || site.is_ready(restarted)).expect("ready");
        // Without it, the instance would not move a run off the engine.
        site.wait_until("the notice at the new process", || notices(&site, restarted) == 2)
            .expect("a notice");
        for number in 0..6 {
            let id = format!("id-{restarted}-{number}");
            let draft = call("/draft/a", &id).send(site.caller_address(restarted));
            assert_eq!(draft.expect("an answer").status, 200);
            assert_eq!(site.state.runs(&id)[0].server, "engines-1", "{}", site.log(restarted));
        }
    }
}

/// Guards against control traffic that cannot be told from forwarded traffic.
#[test]
fn control_traffic_is_counted_by_kind() {
    let site = start(SiteParams { instances: 3, ..SiteParams::default() });
    let counted = |index, kind: &str, direction: &str| {
        let labels = format!("{{direction=\"{direction}\",kind=\"{kind}\"}}");
        let name = format!("forward_control_bytes{labels}");
        site.metric(index, &name).unwrap_or(0.0)
    };
    for direction in ["sent", "received"] {
        site.wait_until("digests", || (0..3).all(|it| counted(it, "digest", direction) > 0.0))
            .expect("counted digests");
    }
    let before: f64 = (0..3).map(|index| counted(index, "servers", "received")).sum();
    site.drain_server("orders-0");
    let received = || (0..3).map(|index| counted(index, "servers", "received")).sum::<f64>();
    site.wait_until("a counted change", || received() > before).expect("a counted change");
}

/// Guards against a store that is overloaded when a whole fleet starts: only the three seeds read
/// the list of servers beyond its first page, the others get it from them, and only hubs watch.
#[test]
fn fleet_that_starts_at_once_reads_the_list_of_servers_from_its_seeds() {
    const INSTANCES: usize = 8;
    const SERVERS: usize = 12;
    /// Pages of three entries without the first, read by three seeds.
    const PAGES: u64 = 3 * 3;
    /// Two parts watched by three hubs, and again after the first wait.
    const WATCHES: u64 = 3 * 2 * 2;
    let params =
        SiteParams { instances: INSTANCES, plain_servers: SERVERS, engines: 0, grace_s: 8 };
    let mut site = start(params);
    for index in 0..INSTANCES {
        site.signal(index, Signal::KILL).expect("a signal");
        site.wait_exit(index).expect("an exit");
    }
    let before = (site.state.further_server_pages(), site.state.watches());
    for index in 0..INSTANCES {
        site.spawn_instance(index).expect("a process");
    }
    for index in 0..INSTANCES {
        site.wait_until("a ready instance", || site.is_ready(index)).expect("ready");
        let answer = call("/order/a", &format!("id-{index}")).send(site.caller_address(index));
        assert_eq!(answer.expect("an answer").status, 200, "{}", site.log(index));
    }
    let read = site.state.further_server_pages() - before.0;
    assert!(read <= PAGES, "{read} pages were read from the store");
    let watches = site.state.watches() - before.1;
    assert!(watches <= WATCHES, "{watches} watches were begun");
}

/// Guards against requests sent to a removed server by instances that do not watch the store.
#[test]
fn leaving_server_gets_no_requests() {
    let site = start(SiteParams { instances: 5, ..SiteParams::default() });
    site.state.remove("servers/orders-0");
    std::thread::sleep(CONFIG_LIMIT);
    for index in 0..5 {
        for number in 0..10 {
            let id = format!("id-{index}-{number}");
            let answer = call("/order/a", &id).send(site.caller_address(index)).expect("an answer");
            assert_eq!(answer.status, 200);
            assert_eq!(site.state.runs(&id)[0].server, "orders-1");
        }
    }
}

/// Guards against callers kept waiting although many others go first, against refusals of runs that
/// were sent to an engine, and against callers told to retry while the same burst lasts.
#[test]
fn generations_behind_many_others_are_refused_at_once() {
    let mut site = start(SiteParams { engines: 1, ..SiteParams::default() });
    let version = site.publish_config(|config| config["routes"][2]["goalMs"] = 3_000.into());
    let accepted = format!("version={version} ");
    site.wait_until("a configuration", || site.log(0).contains(&accepted)).expect("a line");
    site.state.set_generation(400, 20);
    let address = site.caller_address(0);
    let large = |id: String| call("/draft/a", &id).header("x-token-count", "14000,80");
    let running: Vec<_> = (0..2)
        .map(|run| std::thread::spawn(move || large(format!("run-{run}")).send(address)))
        .collect();
    let are_running = || site.state.runs("run-0").len() + site.state.runs("run-1").len() == 2;
    site.wait_until("two running generations", are_running).expect("runs");
    let started = Instant::now();
    let waiting: Vec<_> = (0..24)
        .map(|run| {
            std::thread::spawn(move || {
                let id = format!("wait-{run}");
                let answer =
                    large(id.clone()).disconnect_after(Duration::from_secs(2)).send(address);
                (id, answer, started.elapsed())
            })
        })
        .collect();
    let mut refused = 0;
    for caller in waiting {
        let (id, answer, elapsed) = caller.join().expect("a caller");
        let Ok(answer) = answer else { continue };
        if answer.status != 503 {
            continue;
        }
        assert!(site.state.runs(&id).is_empty(), "{id} has run");
        let line = format!("run_refused request={id} ");
        site.wait_until("the reason of the refusal", || site.log(0).contains(&line))
            .expect("a line");
        let log = site.log(0);
        let reason = log.lines().find(|entry| entry.contains(&line)).expect("a reason");
        if reason.contains("reason=waited") {
            continue;
        }
        refused += 1;
        assert!(elapsed < Duration::from_secs(1), "{id} was held for {elapsed:?}");
        let delay = answer.header("retry-after").and_then(|value| value.parse::<f64>().ok());
        assert!(delay.is_some_and(|delay| delay >= 10.0), "{delay:?}");
    }
    assert!(refused >= 12, "{refused} of 24 were refused at once: {}", site.log(0));
    for caller in running {
        assert!(caller.join().expect("a caller").expect("an answer").is_complete);
    }
}

/// Guards against generations that wait behind those of another service.
#[test]
fn full_service_does_not_hold_up_another() {
    let mut site = start(SiteParams { engines: 1, ..SiteParams::default() });
    site.add_server("scribes", 20).expect("a server");
    let version = site.publish_config(|config| {
        config["routes"][2]["goalMs"] = 3_000.into();
        let mut route = config["routes"][2].clone();
        route["name"] = "other".into();
        route["prefix"] = "/draft/other/".into();
        route["service"] = "scribes".into();
        config["routes"].as_array_mut().expect("routes").push(route);
        let mut service = config["services"][1].clone();
        service["name"] = "scribes".into();
        config["services"].as_array_mut().expect("services").push(service);
    });
    let accepted = format!("version={version} ");
    site.wait_until("a configuration", || site.log(0).contains(&accepted)).expect("a line");
    site.state.set_generation(200, 20);
    let address = site.caller_address(0);
    let large = |id: String| call("/draft/a", &id).header("x-token-count", "14000,80");
    let full: Vec<_> = (0..6)
        .map(|run| std::thread::spawn(move || large(format!("run-{run}")).send(address)))
        .collect();
    let are_running =
        || (0..6).filter(|run| !site.state.runs(&format!("run-{run}")).is_empty()).count();
    site.wait_until("two running generations", || are_running() == 2).expect("runs");
    // Has a lower value per engine time than the waiting generations: if both services shared one
    // queue, all of those would go first.
    let other = call("/draft/other/a", "other").header("x-token-count", "5000,20000");
    let answer = send(&site, &other);
    assert!(answer.status == 200 && answer.is_complete, "{}", site.log(0));
    assert_eq!(site.state.runs("other")[0].server, "scribes-20");
    for caller in full {
        // These may be served or refused.
        let _ = caller.join().expect("a caller");
    }
}

/// Guards against a wait although the service has no servers.
#[test]
fn request_without_servers_is_refused_at_once() {
    let site = start(SiteParams { plain_servers: 1, ..SiteParams::default() });
    site.state.remove("servers/orders-0");
    site.wait_until("a removed server", || site.log(0).contains("state=removed")).expect("a line");
    let started = Instant::now();
    let answer = send(&site, &call("/order/a", "id-1"));
    assert_eq!(answer.status, 503);
    assert!(answer.header("retry-after").is_some());
    assert!(started.elapsed() < Duration::from_secs(1));
}
