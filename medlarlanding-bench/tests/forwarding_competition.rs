//! Generations with different objectives that compete for the engines of a running deployment.

use std::time::Duration;

use medlarlanding_bench::site::{SiteCall, SiteParams, TestSite};

use hyper::Method;

/// A third of the 20 s that callers of the deployment wait: callers honour no longer return time.
const HONOURED_S: f64 = 20.0 / 3.0;

/// Starts a deployment with one engine, whose long generations have `goal_ms` beside 1,000 ms of the
/// short ones.
fn start(goal_ms: u32) -> TestSite {
    let params = SiteParams { engines: 1, ..SiteParams::default() };
    let mut site = TestSite::start(params).expect("a deployment");
    let version = site.publish_config(|config| {
        let mut short = config["routes"][2].clone();
        config["routes"][2]["goalMs"] = goal_ms.into();
        short["name"] = "short".into();
        short["prefix"] = "/draft/short/".into();
        config["routes"].as_array_mut().expect("routes").push(short);
    });
    let has_config = || site.metric(0, "forward_config_version") == Some(version as f64);
    site.wait_until("the configuration", has_config).expect("the configuration");
    site
}

/// Fills the engine with long generations and returns the return times in seconds that refused callers
/// were told.
fn overload(site: &TestSite) -> Vec<f64> {
    site.state.set_generation(250, 20);
    let address = site.caller_address(0);
    let callers: Vec<_> = (0..8)
        .map(|run| {
            let call = SiteCall::new(Method::POST, "/draft/a", &format!("long-{run}"))
                .header("x-token-count", "14000,80");
            std::thread::spawn(move || call.send(address).expect("an answer"))
        })
        .collect();
    let answers = callers.into_iter().map(|caller| caller.join().expect("a caller"));
    let refused = answers.filter(|answer| answer.status == 503);
    let delays = refused.map(|answer| answer.header("retry-after").expect("a time").to_owned());
    delays.map(|delay| delay.parse().expect("seconds")).collect()
}

/// Guards against refusals without a reason that an operator can find, and against callers that are told
/// to return later than they honour.
#[test]
fn refused_tolerant_run_is_explained() {
    let site = start(3_000);
    let delays = overload(&site);
    assert!(!delays.is_empty(), "{}", site.log(0));
    assert!(delays.iter().all(|delay| (1.0..HONOURED_S + 0.01).contains(delay)), "{delays:?}");
    let lines = || site.log(0).matches("E650 wait_refused").count();
    site.wait_until("a line for each refusal", || lines() == delays.len()).expect("lines");
    assert!(site.log(0).contains("customer=museum class=tolerant"), "{}", site.log(0));
    let metric = |name| site.metric(0, name);
    let waits = metric("forward_run_wait_seconds_count{class=\"tolerant\",outcome=\"refused\"}");
    assert_eq!(waits, Some(delays.len() as f64));
    let told = metric("forward_return_seconds_count{class=\"tolerant\"}");
    assert_eq!(told, Some(delays.len() as f64));
}

/// Guards against a changed service where all routes have about the same objective: refused callers are
/// told 10 to 15 s as before, and nothing is logged or kept for classes.
#[test]
fn uniform_runs_are_refused_as_before() {
    let site = start(1_500);
    let delays = overload(&site);
    assert!(!delays.is_empty(), "{}", site.log(0));
    assert!(delays.iter().all(|delay| (10.0..=15.0).contains(delay)), "{delays:?}");
    std::thread::sleep(Duration::from_millis(500));
    let log = site.log(0);
    assert!(log.contains("E618 run_refused"), "{log}");
    assert!(!log.contains("E650 ") && !log.contains("E651 "), "{log}");
}
