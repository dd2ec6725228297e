//! Requests after an engine has ended without notice, while its entry still says that it is ready.

use std::time::{Duration, Instant};

use medlarlanding_bench::site::{AnswerFraming, SiteCall, SiteParams, TestSite};

use hyper::Method;

/// Part of prompts on which engines end.
const FATAL_PART: &str = "fa7a1";
const INSTANCES: usize = 2;
const ENGINES: usize = 4;
/// Requests that may be under way to an engine while the instances learn of its end.
const UNDER_WAY_LIMIT: usize = 2;

fn call(request: &str, parts: &str) -> SiteCall {
    SiteCall::new(Method::POST, "/draft/a", request).header("x-prefix-hash", parts)
}

/// Guards against new requests that go to an engine which has ended: it has no load, so it is chosen
/// first. In incident inc1 20 drafts were refused for it while other engines were free.
#[test]
fn requests_do_not_go_to_an_ended_engine() {
    let params = SiteParams { instances: INSTANCES, plain_servers: 1, engines: 0, grace_s: 8 };
    let site = TestSite::start(params).expect("a deployment");
    site.state.set_generation(10, 20);
    for engine in 0..ENGINES {
        site.add_crashing_engine(engine, AnswerFraming::Delimited).expect("an engine");
    }
    for instance in 0..INSTANCES {
        let probe = || call("probe", "f1:300,1:100").send(site.caller_address(instance));
        let serves = || probe().is_ok_and(|answer| answer.status == 200);
        site.wait_until("an instance that serves prompts", serves).expect("service");
    }
    site.state.set_fatal_part(Some(FATAL_PART));
    let fatal = call("fatal", &format!("f1:300,{FATAL_PART}:300,2:100"));
    // An answer that breaks off is expected.
    let _ = fatal.send(site.caller_address(0));
    let ended = site.state.crashes();
    assert_eq!(ended.len(), 1);
    let started = Instant::now();
    let mut number = 0;
    while started.elapsed() < Duration::from_millis(1500) {
        number += 1;
        let sound = call(&format!("sound-{number}"), &format!("f1:300,{number:x}:100"));
        let address = site.caller_address(number % INSTANCES);
        std::thread::spawn(move || sound.send(address));
        std::thread::sleep(Duration::from_millis(10));
    }
    std::thread::sleep(Duration::from_secs(2));
    let logs: String = (0..INSTANCES).map(|instance| site.log(instance)).collect();
    let to_ended = format!("server={} ", ended[0].server);
    let is_sent = |line: &&str| {
        line.contains("request_sent")
            && line.contains(&to_ended)
            && line.contains("outcome=not_connected")
    };
    let sent = logs.lines().filter(is_sent).count();
    assert!(sent <= UNDER_WAY_LIMIT, "{sent} requests were sent to the ended engine");
    let refused = logs.lines().filter(|line| line.contains("servers_full")).count();
    assert_eq!(refused, 0, "requests were refused although engines were free");
}
