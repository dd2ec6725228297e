//! Slow start of servers that join a running deployment.

use std::time::{Duration, Instant};

use medlarlanding_bench::site::{ServerMode, SiteCall, SiteParams, TestSite};

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

/// Time after which servers count as joined later than the first ones.
const FIRST_LIST_TIME: Duration = Duration::from_millis(2_500);
/// Time between two requests of the load.
const CALL_INTERVAL: Duration = Duration::from_millis(15);
/// Time between two requests of a burst: 24 slots fill within 100 ms.
const BURST_INTERVAL: Duration = Duration::from_millis(4);

fn start(instances: usize, is_opted_in: bool) -> TestSite {
    let params = SiteParams { instances, plain_servers: 1, engines: 1, grace_s: 8 };
    let mut site = TestSite::start(params).expect("a deployment");
    let version = site.publish_config(|config| {
        if is_opted_in {
            for service in config["services"].as_array_mut().expect("services") {
                service["coldStartS"] = json!(1.0);
            }
        }
    });
    for instance in 0..instances {
        let has_config = || site.metric(instance, "forward_config_version") == Some(version as f64);
        site.wait_until("the configuration", has_config).expect("the configuration");
    }
    site
}

/// Sends requests to the given instances in turn and returns how many were not answered with 200.
fn send_load(
    site: &TestSite,
    instances: &[usize],
    path: &str,
    prefix: &str,
    time: Duration,
) -> usize {
    send_calls(site, instances, path, prefix, time, CALL_INTERVAL)
}

/// Sends requests as `send_load` does, `interval` apart.
fn send_calls(
    site: &TestSite,
    instances: &[usize],
    path: &str,
    prefix: &str,
    time: Duration,
    interval: Duration,
) -> usize {
    let started = Instant::now();
    let mut calls = Vec::new();
    while started.elapsed() < time {
        let number = calls.len();
        let method = if path.starts_with("/lookup") { Method::GET } else { Method::POST };
        let call = SiteCall::new(method, path, &format!("{prefix}-{number}"))
            .header("x-token-count", "100,120");
        let address = site.caller_address(instances[number % instances.len()]);
        calls.push(std::thread::spawn(move || {
            call.send(address).is_ok_and(|answer| answer.status == 200 && answer.is_complete)
        }));
        std::thread::sleep(interval);
    }
    let answers: Vec<bool> = calls.into_iter().map(|call| call.join().expect("a call")).collect();
    answers.into_iter().filter(|is_answered| !is_answered).count()
}

/// Returns the number of runs of a server within a time after its first.
fn runs_within(site: &TestSite, server: &str, time: Duration) -> usize {
    let runs = site.state.runs("");
    let mut at = runs.iter().filter(|run| run.server == server).map(|run| run.at);
    let Some(first) = at.next() else { return 0 };
    1 + at.filter(|at| at.duration_since(first) < time).count()
}

fn pace_lines(site: &TestSite, instances: usize, server: &str) -> String {
    let logs: String = (0..instances).map(|instance| site.log(instance)).collect();
    let is_pace = |line: &&str| line.contains("pace_changed") && line.contains(server);
    logs.lines().filter(is_pace).map(|line| format!("{line}\n")).collect()
}

/// Guards against a burst at an engine that joins a busy deployment, and one that stays limited though it
/// answers like its peers; and against any of that where the configuration does not ask for it.
fn engine_joins(is_opted_in: bool) {
    let mut site = start(2, is_opted_in);
    // Each run takes 0.6 s, so that 67 requests a second need more than one engine.
    site.state.set_generation(30, 20);
    send_load(&site, &[0, 1], "/draft/a", "before", FIRST_LIST_TIME);
    let joined = site.add_server("engines", 1).expect("an engine");
    let burst_time = Duration::from_millis(500);
    send_calls(&site, &[0, 1], "/draft/a", "burst", burst_time, BURST_INTERVAL);
    send_load(&site, &[0, 1], "/draft/a", "after", Duration::from_secs(4));
    let burst = runs_within(&site, &joined, Duration::from_millis(250));
    let lines = pace_lines(&site, 2, &joined);
    eprintln!("burst {burst}\n{lines}");
    if is_opted_in {
        assert!(lines.contains("reason=started"), "{lines}");
        assert!(lines.contains("reason=full"), "{lines}");
        assert!(burst <= 10, "{burst} runs within 250 ms: {lines}");
    } else {
        assert_eq!(lines, "");
    }
    let runs = site.state.runs("").iter().filter(|run| run.server == joined).count();
    assert!(runs >= 50, "the engine got {runs} runs");
}

#[test]
fn engine_starts_slowly() {
    engine_joins(true);
}

#[test]
fn engine_without_the_fields_starts_as_before() {
    engine_joins(false);
}

/// Guards against a coordinator that is replaced in the middle of a ramp, and a successor that refuses
/// runs or ends the ramp unnoticed: callers of the other instances notice nothing.
#[test]
fn coordinator_is_replaced_during_a_ramp() {
    let mut site = start(3, true);
    site.state.set_generation(30, 20);
    send_load(&site, &[0, 1, 2], "/draft/a", "before", FIRST_LIST_TIME);
    let coordinator = (0..3)
        .max_by_key(|instance| site.log(*instance).matches("fleet_load").count())
        .expect("an instance");
    let others: Vec<usize> = (0..3).filter(|instance| *instance != coordinator).collect();
    let joined = site.add_server("engines", 1).expect("an engine");
    send_load(&site, &others, "/draft/a", "ramp", Duration::from_millis(400));
    site.signal(coordinator, Signal::KILL).expect("the coordinator");
    let failed = send_load(&site, &others, "/draft/a", "after", Duration::from_secs(5));
    let lines = pace_lines(&site, 3, &joined);
    assert!(failed <= 10, "{failed} of 333 requests failed: {lines}");
    assert!(lines.contains("reason=started"), "{lines}");
    let runs = site.state.runs("").iter().filter(|run| run.server == joined).count();
    assert!(runs >= 50, "the engine got {runs} runs");
    let ended = ["reason=full", "reason=calm"];
    assert!(ended.iter().any(|reason| lines.contains(reason)), "{lines}");
}

/// Guards against a plain server that joins and stays limited, or gives callers errors, while each of three
/// instances decides alone; and against one that fails requests and gets more of them.
#[test]
fn plain_server_starts_slowly() {
    let mut site = start(3, true);
    send_load(&site, &[0, 1, 2], "/lookup/a", "before", FIRST_LIST_TIME);
    let joined = site.add_server("orders", 1).expect("a server");
    let failed = send_load(&site, &[0, 1, 2], "/lookup/a", "after", Duration::from_secs(5));
    let lines = pace_lines(&site, 3, &joined);
    assert_eq!(failed, 0, "{lines}");
    assert!(lines.contains("reason=started") && lines.contains("decided=divided"), "{lines}");
    assert!(lines.contains("reason=full"), "{lines}");
    site.state.set_mode(&joined, ServerMode::Resets);
    send_load(&site, &[0, 1, 2], "/lookup/a", "failing", Duration::from_secs(1));
    site.state.set_mode(&joined, ServerMode::Healthy);
    let failed = send_load(&site, &[0, 1, 2], "/lookup/a", "healthy", Duration::from_secs(6));
    let lines = pace_lines(&site, 3, &joined);
    assert_eq!(failed, 0, "{lines}");
    assert!(lines.contains("reason=recovered"), "{lines}");
}
