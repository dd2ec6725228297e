//! Tests of requests that wait for room and then meet an engine that does not answer.

use std::time::Duration;

use medlarlanding_bench::site::{ServerMode, SiteCall, SiteParams, TestSite};

use hyper::Method;

/// Time until the deadline of a request that waits.
const DEADLINE: Duration = Duration::from_millis(4_000);
/// Time after its deadline within which a request must have its final answer.
const ANSWER_LIMIT: Duration = Duration::from_millis(500);

/// Guards against a request that gets the time left when it began to wait once more when it is sent: its
/// answer is late, and its engine works for longer than its caller waits.
#[test]
fn time_spent_waiting_for_room_is_not_given_again() {
    let params = SiteParams { engines: 1, ..SiteParams::default() };
    let mut site = TestSite::start(params).expect("a deployment");
    let version = site.publish_config(|config| {
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.iter_mut().for_each(|route| route["goalMs"] = 6_000.into());
    });
    site.wait_until("a configuration", || site.log(0).contains(&format!("version={version} ")))
        .expect("a line");
    site.state.set_generation(80, 20);
    let address = site.caller_address(0);
    let call = |id: &str, size: &str| {
        SiteCall::new(Method::POST, "/draft/a", id).header("x-token-count", size)
    };
    let running: Vec<_> = (0..2)
        .map(|run| {
            let long = call(&format!("run-{run}"), "14000,80");
            std::thread::spawn(move || long.send(address))
        })
        .collect();
    let are_running = || site.state.runs("run-0").len() + site.state.runs("run-1").len() == 2;
    site.wait_until("two running generations", are_running).expect("runs");
    site.state.set_mode("engines-0", ServerMode::NoAnswer);
    let millis = DEADLINE.as_millis().to_string();
    let waiting = call("waiting", "9000,8").header("x-deadline-ms", &millis);
    let answer = waiting.send(address).expect("an answer");
    running.into_iter().for_each(|caller| drop(caller.join()));
    let runs = site.state.runs("waiting");
    assert_eq!((answer.status, runs.len()), (504, 1), "{answer:?}\n{}", site.log(0));
    let stated = runs[0].headers.iter().find(|(name, _)| name == "x-deadline-ms");
    let stated = stated.and_then(|(_, value)| value.parse().ok()).map(Duration::from_millis);
    let stated = stated.expect("a time limit");
    println!("{stated:?} were stated, the answer came after {:?}", answer.elapsed);
    assert!(stated < DEADLINE - Duration::from_millis(500), "{stated:?} were stated");
    assert!(answer.elapsed < DEADLINE + ANSWER_LIMIT, "answered after {:?}", answer.elapsed);
}
