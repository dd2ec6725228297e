//! Tests of requests that are sent to a second plain server once the first one is late: real processes
//! between the stand-ins of a small deployment.

use std::time::Duration;

use medlarlanding_bench::site::{ServerMode, SiteAnswer, SiteCall, SiteParams, TestSite};
use medlarlanding_core::cases;

use hyper::Method;

/// Requests that show the usual times, and fill the budget for repeats.
const WARM_UP: usize = 30;
/// Milliseconds until the answer of a server in a slow period.
const SLOW_ANSWER: u64 = 900;
/// Requests during the slow period.
const REQUESTS: usize = 20;

/// Starts a deployment with warm servers that compares speeds if `compares` is set.
fn start(compares: bool) -> TestSite {
    start_with(SiteParams::default(), compares)
}

fn start_with(params: SiteParams, compares: bool) -> TestSite {
    let mut site = TestSite::start(params).expect("a deployment");
    let version = site.publish_config(|config| {
        if compares {
            config["routes"][2]["gapGoalMs"] = 180.into();
        }
    });
    let accepted = format!("forward_config_accepted version={version} ");
    let in_force = || (0..params.instances).all(|index| site.log(index).contains(&accepted));
    site.wait_until("the configuration", in_force).expect("a line");
    for number in 0..WARM_UP {
        assert_eq!(send(&site, "/lookup/a", &format!("warm-{number}")).status, 200);
    }
    site
}

fn send(site: &TestSite, path: &str, id: &str) -> SiteAnswer {
    let method = if path.starts_with("/lookup/") { Method::GET } else { Method::POST };
    SiteCall::new(method, path, id).send(site.caller_address(0)).expect("an answer")
}

/// Returns the servers that ran a request, in order.
fn servers(site: &TestSite, id: &str) -> Vec<String> {
    site.state.runs(id).into_iter().map(|run| run.server).collect()
}

fn is_hedged(site: &TestSite, id: &str) -> bool {
    site.log(0).contains(&format!("request_hedged request={id} "))
}

/// Sends requests until one begins at the slow server `orders-0`. Returns its id and its answer.
fn send_to_slow_server(site: &TestSite, path: &str) -> (String, SiteAnswer) {
    for number in 0..200 {
        let id = format!("id-{number}");
        let answer = send(site, path, &id);
        if servers(site, &id).first().is_some_and(|server| server == "orders-0") {
            return (id, answer);
        }
    }
    panic!("no request went to the slow server");
}

/// Guards against a caller that waits for a server in a slow period although another one is idle, against
/// answers that mix those of two servers, and against requests that run more often than the route allows.
#[test]
fn late_request_is_answered_by_the_second_server() {
    let site = start(true);
    site.state.set_delay("orders-0", SLOW_ANSWER);
    let (id, answer) = send_to_slow_server(&site, "/lookup/a");
    assert_eq!((answer.status, answer.is_complete), (200, true));
    assert_eq!(answer.body, format!("GET /lookup/a {id} 0"));
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-orders-1"));
    assert!(answer.elapsed < Duration::from_millis(SLOW_ANSWER), "{:?}", answer.elapsed);
    assert_eq!(servers(&site, &id), ["orders-0", "orders-1"]);
    let lines = [
        format!("request_hedged request={id} route=lookup first=orders-0 second=orders-1 "),
        format!("hedge_ended request={id} winner=second server=orders-1 "),
    ];
    for line in lines {
        site.wait_until("a log line", || site.log(0).contains(&line)).expect("a line");
    }
    let abandoned = format!("request_sent request={id} route=lookup server=orders-0 attempt=1");
    let log = site.log(0);
    assert!(log.lines().any(|it| it.contains(&abandoned) && it.contains("outcome=abandoned")));
    assert_eq!(site.metric(0, "forward_hedges{outcome=\"won\"}"), Some(1.0));
}

/// Guards against a late answer of the second server that replaces or follows that of the first one, or
/// that reaches the next request.
#[test]
fn first_server_may_still_answer_first() {
    let site = start(true);
    site.state.set_delay("orders-0", SLOW_ANSWER);
    site.state.set_delay("orders-1", 2 * SLOW_ANSWER);
    let (id, answer) = send_to_slow_server(&site, "/lookup/a");
    assert!(is_hedged(&site, &id));
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-orders-0"));
    assert_eq!((answer.status, answer.body), (200, format!("GET /lookup/a {id} 0")));
    assert_eq!(servers(&site, &id), ["orders-0", "orders-1"]);
    let ended = format!("hedge_ended request={id} winner=first server=orders-0 ");
    site.wait_until("a log line", || site.log(0).contains(&ended)).expect("a line");
    // The answer of the second server is due meanwhile.
    let answer = send(&site, "/lookup/b", "id-next");
    assert_eq!((answer.status, answer.body.as_str()), (200, "GET /lookup/b id-next 0"));
}

/// What a request does when its first server is late.
struct LateCase {
    path: &'static str,
    compares: bool,
}

/// Guards against an unsafe request that runs twice, and against hedged requests that the configuration
/// does not ask for.
fn is_not_hedged(case: LateCase) {
    let site = start(case.compares);
    site.state.set_delay("orders-0", SLOW_ANSWER);
    let (id, answer) = send_to_slow_server(&site, case.path);
    assert_eq!(answer.status, 200);
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-orders-0"));
    assert_eq!(servers(&site, &id), ["orders-0"]);
    assert!(!site.log(0).contains("request_hedged"));
}

cases! { is_not_hedged;
    unsafe_request => LateCase { path: "/order/a", compares: true },
    safe_request_without_comparison => LateCase { path: "/lookup/a", compares: false },
}

/// Guards against a failure of one of two servers that the caller gets although the other one answers.
fn other_server_answers(mode: ServerMode) {
    let site = start(true);
    // Both are late, so that the request is at both of them when one fails.
    site.state.set_delay("orders-0", 300);
    site.state.set_delay("orders-1", 600);
    site.state.set_mode("orders-0", mode);
    let answer = send(&site, "/lookup/a", "id-1");
    assert!(is_hedged(&site, "id-1"), "{}", site.log(0));
    assert_eq!((answer.status, answer.body.as_str()), (200, "GET /lookup/a id-1 0"));
    assert_eq!(answer.header("x-server-stamp"), Some("stamp-orders-1"));
    assert_eq!(servers(&site, "id-1").len(), 2);
}

cases! { other_server_answers;
    one_fails => ServerMode::Fails,
    one_resets => ServerMode::Resets,
    one_truncates => ServerMode::Truncates,
}

/// Guards against instances that do not know that a server is in a slow period because they have sent it
/// no request.
#[test]
fn all_instances_learn_of_a_slow_server() {
    let params = SiteParams { instances: 3, plain_servers: 3, ..SiteParams::default() };
    let site = start_with(params, true);
    site.state.set_delay("orders-0", SLOW_ANSWER);
    let name = "forward_server_speeds{estimate=\"first_percent\",server=\"orders-0\"}";
    let is_known = || {
        // Requests to the first instance only.
        let id = format!("id-{}", site.state.runs("").len());
        assert_eq!(send(&site, "/lookup/a", &id).status, 200);
        (0..3).all(|index| site.metric(index, name).is_some_and(|percent| percent > 160.0))
    };
    site.wait_until("the speed at all instances", is_known).expect("a speed");
}

/// Guards against a slow service whose load doubles: hedged requests stay within the budget for repeats.
#[test]
fn hedges_stay_in_budget_under_load() {
    const CALLERS: usize = 8;
    const SLACK: usize = 50;
    let site = start(true);
    site.state.set_delay("orders-0", 400);
    site.state.set_delay("orders-1", 400);
    let site = &site;
    std::thread::scope(|scope| {
        for caller in 0..CALLERS {
            scope.spawn(move || {
                for number in 0..REQUESTS {
                    let answer = send(site, "/lookup/a", &format!("id-{caller}-{number}"));
                    assert_eq!(answer.status, 200);
                }
            });
        }
    });
    let runs = site.state.runs("");
    let requests = CALLERS * REQUESTS + WARM_UP;
    let repeats = runs.len() - requests;
    assert!(repeats > 0 && repeats <= requests / 5 + SLACK, "{repeats} of {requests}");
    for run in &runs {
        assert!(servers(site, &run.request).len() <= 2, "{}", run.request);
    }
}
