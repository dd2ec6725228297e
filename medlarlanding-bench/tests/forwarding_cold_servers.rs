//! Cold servers before 12 real processes: the requests that reach them in any second, while the coordinator
//! is killed and while half of the processes are cut off from the others.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use medlarlanding_bench::site::{
    BodyDelimiter, EndMode, EndingServer, HEALTH_PATH, SiteCall, SiteParams, TestSite,
};
use medlarlanding_core::cases;

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

const INSTANCES: usize = 12;
/// Callers, the same number at each instance.
const CALLERS: usize = 36;
/// Requests that a cold server may get in a second: 30 x 1.5 + 5.
const LIMIT: usize = 50;
/// Interval at which a server rewrites its entry.
const ENTRY_PERIOD: Duration = Duration::from_millis(500);
/// Time until all instances know that a server is cold.
const NEWS_TIME: Duration = Duration::from_millis(500);
/// Part of the limit that must be used while work waits. The bound of 0.8 is checked without a network in
/// `core:forwarding_cold_share`; here the callers of a busy machine leave gaps.
const USE_MIN: f64 = 0.75;
/// The same while other engines have room, so that the instances leave their own shares unused: a little
/// less than the coordinator's part with one instance of 12 dead.
const USE_MIN_WITH_OTHERS: f64 = 0.5;

/// The tests run one at a time: each needs the processor time of a dozen processes.
static TURN: Mutex<()> = Mutex::new(());

#[derive(Clone, Copy, PartialEq, Eq)]
enum Fault {
    Nothing,
    /// The coordinator is killed.
    CoordinatorKilled,
    /// All other engines leave before, so that runs wait for the cold one.
    OthersLeave,
    /// Half of the instances are cut off from the others, and later not any more.
    Halves,
}

#[derive(Clone, Copy)]
struct ColdCase {
    /// Path of the requests and id of the server that turns cold. There are others.
    path: &'static str,
    server: &'static str,
    /// Pause of a caller between two requests. All callers together begin fewer runs within a digest
    /// interval than two engines have slots: until then the coordinator counts each as running.
    pause: Duration,
    fault: Fault,
}

const PLAIN: ColdCase = ColdCase {
    path: "/order/a",
    server: "orders-0",
    pause: Duration::from_millis(15),
    fault: Fault::Nothing,
};
const ENGINE: ColdCase = ColdCase {
    path: "/draft/a",
    server: "engines-0",
    pause: Duration::from_millis(180),
    fault: Fault::Nothing,
};

/// Starts a deployment whose services limit the requests to cold servers if `per_second` is not 0.
fn start(per_second: u32) -> TestSite {
    let params = SiteParams { instances: INSTANCES, plain_servers: 2, engines: 3, grace_s: 8 };
    let mut site = TestSite::start(params).expect("a deployment");
    site.state.set_generation(2, 5);
    let version = site.publish_config(|config| {
        for service in config["services"].as_array_mut().expect("services") {
            service["coldStartS"] = 1.0.into();
            service["coldPerS"] = per_second.into();
        }
    });
    for instance in 0..INSTANCES {
        let accepted = format!("forward_config_accepted version={version} ");
        site.wait_until("the configuration", || site.log(instance).contains(&accepted))
            .expect("a configuration");
    }
    // All instances hear of one another.
    std::thread::sleep(Duration::from_secs(3));
    site
}

/// Sends requests to all instances while `act` runs. Returns the numbers of served and other answers.
fn send_calls(site: &TestSite, case: ColdCase, act: impl FnOnce()) -> (usize, usize) {
    let is_over = Arc::new(AtomicBool::new(false));
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let address = site.caller_address(caller % INSTANCES);
            let is_over = Arc::clone(&is_over);
            std::thread::spawn(move || {
                let (mut served, mut others, mut number) = (0, 0, 0);
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let call =
                        SiteCall::new(Method::POST, case.path, &format!("c-{caller}-{number}"));
                    let call = call.header("x-token-count", "100,8");
                    // Calls to a killed process fail.
                    match call.send(address) {
                        Ok(answer) if answer.status == 200 => served += 1,
                        Ok(_) => others += 1,
                        Err(_) => {},
                    }
                    std::thread::sleep(case.pause);
                }
                (served, others)
            })
        })
        .collect();
    act();
    is_over.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .map(|caller| caller.join().expect("a caller"))
        .fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1))
}

/// Keeps a server cold for `period`: its entry is written again and again while the time counts down.
fn keep_cold(site: &TestSite, server: &str, period: Duration) {
    let end = Instant::now() + period;
    while Instant::now() < end {
        site.mark_server_cold(server, end - Instant::now());
        std::thread::sleep(ENTRY_PERIOD);
    }
    site.mark_server_cold(server, Duration::ZERO);
}

/// Returns the largest number of requests within a second that reached a server from `from` to `to`, and
/// the part of the limit that was used.
fn measure(site: &TestSite, server: &str, from: Instant, to: Instant) -> (usize, f64) {
    let runs = site.state.runs("");
    let mut arrivals: Vec<Instant> =
        runs.iter().filter(|run| run.server == server).map(|run| run.at).collect();
    arrivals.retain(|at| (from..to).contains(at));
    arrivals.sort_unstable();
    (peak(&arrivals), arrivals.len() as f64 / (to - from).as_secs_f64() / LIMIT as f64)
}

/// Returns the largest number of arrivals within a second.
fn peak(arrivals: &[Instant]) -> usize {
    let within = |first: &Instant| {
        let second = *first..*first + Duration::from_secs(1);
        arrivals.iter().filter(|at| second.contains(*at)).count()
    };
    arrivals.iter().map(within).max().unwrap_or(0)
}

/// Returns the instance that logged the load of the engines last, which only the coordinator does.
fn coordinator(site: &TestSite) -> usize {
    let loads = |index: &usize| site.log(*index).matches("fleet_load").count();
    let before: Vec<usize> = (0..INSTANCES).map(|index| loads(&index)).collect();
    std::thread::sleep(Duration::from_millis(2_500));
    (0..INSTANCES).max_by_key(|index| loads(index) - before[*index]).expect("an instance")
}

/// Guards against a cold server that gets more requests than it tolerates because each instance counts
/// only its own, because a coordinator and its successor both allocate, or because both halves of a
/// partition do.
fn cold_server_is_not_overloaded(case: ColdCase) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = start(30);
    let keeper = coordinator(&site);
    let length = match case.fault {
        Fault::Nothing | Fault::OthersLeave => Duration::from_secs(4),
        Fault::CoordinatorKilled | Fault::Halves => Duration::from_secs(11),
    };
    if case.fault == Fault::OthersLeave {
        site.state.remove("servers/engines-1");
        site.state.remove("servers/engines-2");
        std::thread::sleep(NEWS_TIME);
    }
    let mut begun_at = Instant::now();
    let (served, others) = send_calls(&site, case, || {
        std::thread::sleep(Duration::from_secs(1));
        begun_at = Instant::now();
        std::thread::scope(|scope| {
            scope.spawn(|| keep_cold(&site, case.server, length));
            std::thread::sleep(Duration::from_secs(2));
            match case.fault {
                Fault::Nothing | Fault::OthersLeave => {},
                Fault::CoordinatorKilled => {
                    site.signal(keeper, Signal::KILL).expect("a process");
                },
                Fault::Halves => {
                    let all: Vec<usize> = (0..INSTANCES).collect();
                    let (first, second) = all.split_at(INSTANCES / 2);
                    site.cut_groups([first, second]).expect("a cut");
                    std::thread::sleep(Duration::from_secs(5));
                    site.heal_cuts().expect("no cut");
                },
            }
        });
        std::thread::sleep(Duration::from_millis(1_500));
    });
    let end = begun_at + length;
    let (peak, _) = measure(&site, case.server, begun_at + NEWS_TIME, end);
    let (peak_at_first, used) =
        measure(&site, case.server, begun_at, begun_at + Duration::from_secs(2));
    let (_, used_at_last) = measure(&site, case.server, end - Duration::from_millis(2_200), end);
    let (after, _) = measure(&site, case.server, end + NEWS_TIME, end + Duration::from_secs(2));
    let reports: Vec<usize> =
        (0..INSTANCES).map(|index| site.log(index).matches("server_cold server").count()).collect();
    println!(
        "{served} served, {others} others; {peak} requests within a second, {peak_at_first} at first; \
         used {used:.2}, at last {used_at_last:.2}; {after} within a second afterwards; \
         reports of cold servers: {reports:?}"
    );
    assert!(peak <= LIMIT, "{peak} requests within a second");
    // Plain servers are chosen by each instance; the callers of engines send too little to tell the end of
    // the limit.
    let is_told = case.path == PLAIN.path;
    let waits = is_told || case.fault == Fault::OthersLeave;
    let use_min = if waits { USE_MIN } else { USE_MIN_WITH_OTHERS };
    assert!(used_at_last >= use_min, "used {used_at_last:.2} of the limit");
    assert!(!is_told || after > LIMIT, "the limit is in effect after the cold time: {after}");
    let may_refuse = case.fault == Fault::OthersLeave;
    assert!(
        may_refuse || others * 20 <= served,
        "{others} requests were not served, {served} were"
    );
    // A time that counts down is no news.
    assert!(reports.iter().all(|count| (1..=2).contains(count)), "{reports:?}");
}

cases! { cold_server_is_not_overloaded;
    cold_plain_server => PLAIN,
    cold_engine => ENGINE,
    only_engine_is_cold => ColdCase { fault: Fault::OthersLeave, ..ENGINE },
    cold_engine_when_the_coordinator_is_killed =>
        ColdCase { fault: Fault::CoordinatorKilled, ..ENGINE },
    cold_plain_server_in_a_partition => ColdCase { fault: Fault::Halves, ..PLAIN },
    cold_engine_in_a_partition => ColdCase { fault: Fault::Halves, ..ENGINE },
}

/// Guards against messages about cold servers in a deployment whose services have no limit, and against a
/// limit there.
#[test]
fn deployment_without_limits_tells_nobody() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = start(0);
    let sent = || -> f64 {
        let metric = "forward_control_bytes{direction=\"sent\",kind=\"servers\"} ";
        let relayed = "forward_control_bytes{direction=\"sent\",kind=\"relayed\"} ";
        let of = |index, name| site.metric(index, name).unwrap_or(0.0);
        (0..INSTANCES).map(|index| of(index, metric) + of(index, relayed)).sum()
    };
    // Changes of entries are sent.
    site.drain_server("orders-1");
    let is_known = || (0..INSTANCES).all(|index| site.log(index).contains("state=draining"));
    site.wait_until("a draining server", is_known).expect("a change");
    let (before, begun_at) = (sent(), Instant::now());
    let (served, others) = send_calls(&site, PLAIN, || {
        keep_cold(&site, PLAIN.server, Duration::from_secs(3));
    });
    let (peak, _) = measure(&site, PLAIN.server, begun_at, begun_at + Duration::from_secs(3));
    println!("{served} served, {others} others, {peak} requests within a second");
    assert!(before > 0.0, "no changes were sent at all");
    assert_eq!(sent(), before, "changes were sent");
    assert!(peak > LIMIT, "{peak} requests within a second");
    for index in 0..INSTANCES {
        assert!(
            !site.log(index).contains("server_cold "),
            "instance {index} reports a cold server"
        );
    }
}

/// Guards against moved runs that all resume at cold engines at once, and against ones that are lost because
/// the share of their instance is used up.
#[test]
fn moved_runs_count_towards_the_limit() {
    /// Requests per second that a cold engine may get: 2 x 1.5 + 5.
    const RUN_LIMIT: usize = 8;
    /// Runs that move.
    const RUNS: usize = 20;
    /// Events of each run.
    const EVENTS: u64 = 150;
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let site = start(2);
    site.state.set_generation(EVENTS, 30);
    // At first there is only one engine.
    for id in ["engines-1", "engines-2"] {
        site.drain_server(id);
    }
    let is_known =
        || (0..INSTANCES).all(|index| site.log(index).matches("state=draining").count() >= 2);
    site.wait_until("draining engines", is_known).expect("a change");
    let callers: Vec<_> = (0..RUNS)
        .map(|number| {
            let address = site.caller_address(number % INSTANCES);
            std::thread::sleep(Duration::from_millis(40));
            std::thread::spawn(move || {
                let call = SiteCall::new(Method::POST, "/draft/a", &format!("m-{number}"));
                call.header("x-token-count", "100,600").send(address).expect("an answer")
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(800));
    let cold_at = Instant::now();
    let cold_time = Duration::from_secs(8);
    for id in ["engines-1", "engines-2"] {
        site.mark_server_cold(id, cold_time);
    }
    std::thread::sleep(Duration::from_millis(400));
    site.drain_server("engines-0");
    let answers: Vec<_> =
        callers.into_iter().map(|caller| caller.join().expect("a caller")).collect();
    let runs = site.state.runs("");
    let resumed = runs.iter().filter(|run| run.is_continued).count();
    let peaks =
        ["engines-1", "engines-2"].map(|id| measure(&site, id, cold_at, cold_at + cold_time).0);
    let complete = answers
        .iter()
        .filter(|answer| answer.status == 200 && answer.event_ids().into_iter().eq(1..=EVENTS));
    let complete = complete.count();
    println!("{complete} of {RUNS} complete, {resumed} resumed, peaks {peaks:?} of {RUN_LIMIT}");
    assert!(resumed >= RUNS / 2, "{resumed} runs moved");
    assert!(peaks.iter().all(|peak| *peak <= RUN_LIMIT), "{peaks:?} requests within a second");
    assert_eq!(complete, RUNS, "runs were lost");
    assert!(site.state.overlapping_generations().is_empty(), "a run went on at two engines");
}

/// Guards against a cold time that only the answers to health checks state and that stays with the instance
/// that asked.
#[test]
fn cold_time_of_a_health_check_reaches_all_instances() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = start(30);
    // The end of an answer without a length is checked by asking the server for its health.
    let specs = [(BodyDelimiter::Connection, EndMode::Lives); 2];
    let servers = site.add_ending_servers(&specs).expect("servers");
    servers.iter().for_each(EndingServer::release);
    let version = site.publish_config(|config| {
        config["services"] = json!([{"name": "orders", "maxConnections": 100, "coldPerS": 30,
            "healthPath": HEALTH_PATH}, {"name": "engines", "maxConnections": 100}]);
    });
    for id in ["orders-0", "orders-1"] {
        site.state.remove(&format!("servers/{id}"));
    }
    servers.iter().for_each(|server| site.register_ending_server(server, "orders", "ready"));
    for instance in 0..INSTANCES {
        let accepted = format!("forward_config_accepted version={version} ");
        let is_known = || {
            let log = site.log(instance);
            log.contains(&accepted) && log.matches("service=orders state=ready").count() >= 4
        };
        site.wait_until("configuration and servers", is_known).expect("an instance");
    }
    let cold_time = Duration::from_secs(4);
    let mut begun_at = Instant::now();
    let (served, others) = send_calls(&site, PLAIN, || {
        std::thread::sleep(Duration::from_millis(500));
        begun_at = Instant::now();
        servers[0].say_cold(cold_time);
        std::thread::sleep(Duration::from_millis(100));
        servers[0].say_cold(Duration::ZERO);
        std::thread::sleep(cold_time);
    });
    let arrivals = servers[0].arrivals().into_iter().map(|(_, at)| at);
    let (from, to) = (begun_at + NEWS_TIME, begun_at + cold_time - NEWS_TIME);
    let arrivals: Vec<Instant> = arrivals.filter(|at| (from..to).contains(at)).collect();
    let peak = peak(&arrivals);
    let sources = |source: &str| -> usize {
        let source = format!("source={source}");
        let is_report = |line: &&str| line.contains("server_cold ") && line.contains(&source);
        (0..INSTANCES).map(|index| site.log(index).lines().filter(is_report).count()).sum()
    };
    let (own, peers) = (sources("server"), sources("peer"));
    println!("{served} served, {others} others, peak {peak}, {own} own reports, {peers} of peers");
    assert!(peak > 0 && peak <= LIMIT, "{peak} requests within a second");
    assert!(own >= 1 && own + peers >= INSTANCES, "{own} own reports, {peers} of peers");
}

/// Guards against a configuration that is refused, or a limit that is lost, because of a value that is no
/// number.
#[test]
fn invalid_limits_leave_the_last_ones_in_effect() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = start(30);
    let mut version = 0;
    for _ in 0..2 {
        version = site.publish_text(|text| {
            text.replace(
                "\"maxConnections\"",
                "\"coldStartS\":-1,\"coldPerS\":1e400,\"maxConnections\"",
            )
        });
    }
    let accepted = format!("forward_config_accepted version={version} ");
    site.wait_until("the configuration", || site.log(0).contains(&accepted)).expect("an instance");
    for index in 0..INSTANCES {
        let change =
            |text: String| text.replace("graceS", "coldOvershoot = 1e400\ncoldSlack = -5\ngraceS");
        site.change_settings(index, change).expect("settings");
    }
    // They are read every two seconds.
    std::thread::sleep(Duration::from_secs(5));
    let begun_at = Instant::now();
    let (served, others) = send_calls(&site, PLAIN, || {
        keep_cold(&site, PLAIN.server, Duration::from_secs(3));
    });
    let end = begun_at + Duration::from_secs(3);
    let (peak, used) = measure(&site, PLAIN.server, begun_at + NEWS_TIME, end);
    println!("{served} served, {others} others, {peak} requests within a second, used {used:.2}");
    assert!(peak <= LIMIT && peak > 20, "{peak} requests within a second");
    assert_eq!(others, 0, "requests were refused");
    let log = site.log(0);
    for setting in ["coldOvershoot", "coldSlack"] {
        let line = format!("settings_refused reason=\"{setting}: ");
        assert_eq!(log.matches(&line).count(), 1, "{setting} is reported once: {log}");
    }
    let lines = log.matches("1e400 is not a number from 0 to 1000000").count();
    assert!((2..=4).contains(&lines), "one line for each service and version, not {lines}");
}
