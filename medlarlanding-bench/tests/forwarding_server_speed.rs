//! Tests of the comparison of servers by speed: real processes between the stand-ins of a small
//! deployment.

use medlarlanding_bench::site::{SiteCall, SiteParams, TestSite};

use hyper::Method;
use rustix::process::Signal;

/// Time between events at the slow engine in milliseconds; the others take 20 ms.
const SLOW_INTERVAL: u64 = 90;
/// Generations that run at the same time.
const PARALLEL_RUNS: usize = 6;

fn start(params: SiteParams, gap_objective: Option<u32>) -> TestSite {
    let mut site = TestSite::start(params).expect("a deployment");
    let version = site.publish_config(|config| {
        if let Some(millis) = gap_objective {
            config["routes"][2]["gapGoalMs"] = millis.into();
        }
    });
    for index in 0..params.instances {
        let accepted = format!("forward_config_accepted version={version} ");
        let in_force = || site.log(index).contains(&accepted);
        site.wait_until("the configuration", in_force).expect("a configuration");
    }
    site
}

/// Runs generations in parallel, spread over instances, and returns their answers' statuses.
fn generate(site: &TestSite, round: usize, instances: &[usize]) -> Vec<u16> {
    std::thread::scope(|scope| {
        let threads: Vec<_> = (0..PARALLEL_RUNS)
            .map(|number| {
                scope.spawn(move || {
                    let id = format!("run-{round}-{number}");
                    let call = SiteCall::new(Method::POST, "/draft/a", &id);
                    let address = site.caller_address(instances[number % instances.len()]);
                    call.send(address).expect("an answer").status
                })
            })
            .collect();
        threads.into_iter().map(|thread| thread.join().expect("an answer")).collect()
    })
}

fn logs(site: &TestSite, instances: usize) -> String {
    (0..instances).map(|index| site.log(index)).collect()
}

/// Runs generations until the log of an instance names the slow engine. Returns the instance and the
/// number of rounds.
fn find_slow_engine(site: &TestSite) -> (usize, usize) {
    let is_found = |line: &str| {
        let percent = line.split("token_percent=").nth(1).and_then(|it| it.split(' ').next());
        line.contains("server_speed server=engines-2 ")
            && percent.is_some_and(|it| it.parse::<u32>().is_ok_and(|it| it > 130))
    };
    for round in 0..6 {
        if let Some(index) = (0..3).find(|index| site.log(*index).lines().any(is_found)) {
            return (index, round);
        }
        assert_eq!(generate(site, round, &[0, 1, 2]), [200; PARALLEL_RUNS]);
    }
    panic!("the slow engine was not found");
}

/// Returns how many of the generations of a round began at the slow engine.
fn runs_at_slow_engine(site: &TestSite, round: usize) -> usize {
    let prefix = format!("run-{round}-");
    let runs = site.state.runs("");
    runs.iter().filter(|run| run.request.starts_with(&prefix) && run.server == "engines-2").count()
}

/// Guards against estimates that the instance which places generations does not get from the others,
/// and against a slow engine that nobody can find in logs and metrics.
#[test]
fn slow_engine_is_found_and_shown() {
    let params = SiteParams { instances: 3, engines: 3, ..SiteParams::default() };
    let site = start(params, Some(180));
    site.state.set_delay("engines-2", SLOW_INTERVAL);
    let (_, rounds) = find_slow_engine(&site);
    let log = logs(&site, 3);
    assert!(!log.contains("server_speed server=engines-0 "), "{log}");
    assert!(log.contains("engine_chosen request=run-0-0 server=engines-"), "{log}");
    let name = "forward_server_speeds{estimate=\"token_percent\",server=\"engines-2\"}";
    let is_shown = || (0..3).any(|index| site.metric(index, name).is_some_and(|it| it > 130.0));
    site.wait_until("the metric", is_shown).expect("a metric");
    // Two of six runs would begin there if it counted as average.
    assert_eq!(generate(&site, rounds, &[0, 1, 2]), [200; PARALLEL_RUNS]);
    assert!(runs_at_slow_engine(&site, rounds) <= 1, "{:?}", site.state.runs(""));
}

/// Guards against estimates that are lost with the instance which places generations.
#[test]
fn next_coordinator_knows_the_slow_engine() {
    let params = SiteParams { instances: 3, engines: 3, ..SiteParams::default() };
    let site = start(params, Some(180));
    site.state.set_delay("engines-2", SLOW_INTERVAL);
    let (coordinator, rounds) = find_slow_engine(&site);
    site.signal(coordinator, Signal::KILL).expect("a signal");
    let others: Vec<usize> = (0..3).filter(|index| *index != coordinator).collect();
    assert_eq!(generate(&site, rounds, &others), [200; PARALLEL_RUNS]);
    assert_eq!(generate(&site, rounds + 1, &others), [200; PARALLEL_RUNS]);
    let slow = runs_at_slow_engine(&site, rounds) + runs_at_slow_engine(&site, rounds + 1);
    assert!(slow <= 2, "{:?}", site.state.runs(""));
}

/// Guards against a deployment whose configuration does not ask for the comparison and that is served
/// in another way than before.
#[test]
fn nothing_is_compared_without_a_gap_objective() {
    let params = SiteParams { instances: 2, engines: 3, ..SiteParams::default() };
    let site = start(params, None);
    site.state.set_delay("engines-2", SLOW_INTERVAL);
    for round in 0..2 {
        assert_eq!(generate(&site, round, &[0, 1]), [200; PARALLEL_RUNS]);
    }
    let log = logs(&site, 2);
    assert!(!log.contains("server_speed") && !log.contains("engine_chosen"), "{log}");
}
