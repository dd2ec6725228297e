//! Tests of instances that run as processes, with failures of processes, peers and servers.

mod process_support;

use std::time::{Duration, Instant};

use medlarlanding_bench::client::{Call, OpenResponse};
use medlarlanding_bench::cluster::{
    CUSTOMERS, ClusterParams, SMALL_DESK_LIMIT, TreeChanges, credential,
};
use medlarlanding_bench::stand_ins::engine::EngineFaults;
use medlarlanding_bench::stand_ins::platform::PlatformFaults;
use medlarlanding_bench::stand_ins::service::ServiceFaults;

use hyper::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

use process_support::{
    ClusterFixture, ResponseReader, TIMEOUT, default_credential, generation_call, order_call,
};

/// Guards against a stream that cannot be resumed, or loses or repeats tokens, after its instance
/// was killed.
#[ntex::test]
async fn stream_resumes_on_another_instance_after_sigkill() {
    let mut fixture = ClusterFixture::start(ClusterParams::default()).await;
    let call = generation_call("fitment", 300, "stream");
    let mut stream = fixture.open(0, &call).await;
    let mut reader = ResponseReader::new(300);
    reader.read_until(&mut stream, 20).await;
    fixture.cluster.instances[0].kill();
    let broken = reader.read_to_last_event(&mut stream).await;
    assert!(broken.is_err(), "{broken:?}");
    let resume = call.header("last-event-id", reader.last_id.as_str());
    let mut stream = fixture.open(1, &resume).await;
    reader.read_and_check(&mut stream, 300).await;
}

/// Guards against requests that are closed without an answer when the time of a drain ends: those that
/// wait for an engine have not run, and those at a server may have (as in review case 3).
#[ntex::test]
async fn requests_without_an_answer_are_answered_at_the_end_of_a_drain() {
    let limits = "drain_ms: 2500".to_owned();
    let mut fixture =
        ClusterFixture::start_with_orders(ClusterParams { limits, ..ClusterParams::default() })
            .await;
    let slow = ServiceFaults { delay_ms: Some(30_000), ..ServiceFaults::default() };
    fixture.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&slow));
    let spawn = |call: Call| {
        let (client, target) = (fixture.client.clone(), fixture.target(0));
        ntex::rt::spawn(async move { client.call(target, &call, TIMEOUT).await })
    };
    let ordered = spawn(order_call("releases", "late-key", "late"));
    let generations: Vec<_> =
        (0..200).map(|_| spawn(generation_call("overnight", 4_000, "whole"))).collect();
    let started = Instant::now();
    while execution_count(&fixture, "late") == 0 {
        assert!(started.elapsed() < TIMEOUT, "the order did not reach its service");
        ntex::time::sleep(Duration::from_millis(10)).await;
    }
    // All calls have been read by then.
    ntex::time::sleep(Duration::from_millis(500)).await;
    fixture.cluster.instances[0].signal(Signal::TERM).unwrap();
    let order = ordered.await.unwrap().expect("an answer to the order");
    assert_ne!(order.json()["error"]["run"], "not_run", "{order:?}");
    let (mut waited, mut running) = (0, 0);
    for generation in generations {
        let answer = generation.await.unwrap().expect("an answer to a generation");
        match answer.json()["error"]["run"].as_str() {
            Some("not_run") => waited += 1,
            Some("outcome_unknown") => running += 1,
            // Refused at once, or complete.
            _ => {},
        }
    }
    println!("{waited} waited, {running} ran");
    assert!(waited > 0 && running > 0, "{waited} waited, {running} ran");
    assert!(fixture.cluster.instances[0].wait(TIMEOUT).unwrap().success());
}

/// Guards against a shutdown that interrupts a stream, a whole delivery or an order in progress,
/// that accepts new requests, or that never ends.
#[ntex::test]
async fn sigterm_lets_requests_in_progress_finish() {
    let mut fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    let slow = ServiceFaults { delay_ms: Some(1_500), ..ServiceFaults::default() };
    fixture.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&slow));
    let mut stream = fixture.open(0, &generation_call("fitment", 500, "stream")).await;
    let mut reader = ResponseReader::new(500);
    reader.read_until(&mut stream, 5).await;
    let spawn = |call: Call| {
        let (client, target) = (fixture.client.clone(), fixture.target(0));
        ntex::rt::spawn(async move { client.call(target, &call, TIMEOUT).await })
    };
    let whole = spawn(generation_call("overnight", 400, "whole"));
    let ordered = spawn(order_call("releases", "drained-key", "drained"));
    let started = Instant::now();
    // The whole delivery and the order are in progress once the backend servers have received
    // them.
    while fixture.cluster.engines.iter().map(|engine| engine.stats().submitted).sum::<u64>() < 2
        || execution_count(&fixture, "drained") == 0
    {
        assert!(started.elapsed() < TIMEOUT, "the requests did not reach the backend servers");
        ntex::time::sleep(Duration::from_millis(10)).await;
    }
    fixture.cluster.instances[0].signal(Signal::TERM).unwrap();
    let refused = loop {
        match fixture
            .client
            .call(fixture.target(0), &generation_call("fitment", 5, "whole"), TIMEOUT)
            .await
        {
            Ok(response) if response.status == 200 => assert!(started.elapsed() < TIMEOUT),
            other => break other,
        }
    };
    if let Ok(response) = refused {
        assert_eq!(response.json()["error"]["kind"], "draining");
        assert_eq!(response.json()["error"]["run"], "not_run");
    }
    reader.read_and_check(&mut stream, 500).await;
    assert_eq!(whole.await.unwrap().unwrap().json()["tokens"], 400);
    let response = ordered.await.unwrap().unwrap();
    assert_eq!((response.status, &response.json()["reference"]), (200, &json!("drained")));
    let status = fixture.cluster.instances[0].wait(TIMEOUT).unwrap();
    assert!(status.success(), "{status}");
    assert_eq!(execution_count(&fixture, "drained"), 1);
}

/// Returns how often the services have executed the order with this reference.
fn execution_count(fixture: &ClusterFixture, reference: &str) -> u64 {
    let services = fixture.cluster.portals.iter().chain(&fixture.cluster.ledgers);
    services
        .map(|service| service.executions().references.get(reference).copied().unwrap_or(0))
        .sum()
}

/// Guards against a paused process that makes the other instances fail, that does not serve again
/// after the pause, or that then runs an order that another instance has already run.
#[ntex::test]
async fn paused_instance_continues() {
    let fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    let call = generation_call("review", 600, "stream");
    let mut stream = fixture.open(0, &call).await;
    let mut reader = ResponseReader::new(600);
    reader.read_until(&mut stream, 10).await;
    fixture.cluster.instances[0].signal(Signal::STOP).unwrap();
    // This order is sent to the paused process, which reads it only after SIGCONT.
    let (client, target) = (fixture.client.clone(), fixture.target(0));
    let late = order_call("releases", "paused-key", "paused");
    let late = ntex::rt::spawn(async move { client.call(target, &late, TIMEOUT).await });
    let started = Instant::now();
    let response = fixture.call(1, &order_call("releases", "paused-key", "paused")).await;
    assert_eq!(
        response.status,
        200,
        "an order must run with two of three replicas: {:?}",
        response.json()
    );
    let response = fixture.call(2, &generation_call("fitment", 20, "whole")).await;
    assert_eq!(response.json()["tokens"], 20, "{:?}", response.json());
    // The process detects a pause only if it lasts longer than 2 s.
    ntex::time::sleep(Duration::from_secs(3).saturating_sub(started.elapsed())).await;
    fixture.cluster.instances[0].signal(Signal::CONT).unwrap();

    let late = late.await.unwrap().expect("a response after the pause");
    let run = late.json()["error"]["run"].clone();
    assert!(late.status == 200 || run != Value::Null, "{:?}", late.json());
    assert_eq!(execution_count(&fixture, "paused"), 1);
    let repeated = fixture.cluster.ledgers.iter().map(|ledger| ledger.executions().repetitions);
    assert_eq!(repeated.sum::<u64>(), 0, "the order was sent to the ledgers twice");
    // The stream either continues or breaks; a broken one is resumed on another instance.
    let mut attempts = 0;
    loop {
        match reader.read_to_last_event(&mut stream).await {
            Ok((name, data)) => {
                assert_eq!((name.as_str(), &data["tokens"]), ("end", &json!(600)), "{data}");
                break;
            },
            Err(fault) => {
                attempts += 1;
                assert!(attempts < 5, "{fault}");
                let resume = call.clone().header("last-event-id", reader.last_id.as_str());
                stream = fixture.open(1, &resume).await;
            },
        }
    }
    assert!(reader.checker.faults().is_clean(), "{:?}", reader.checker.faults());
    let started = Instant::now();
    loop {
        let response = fixture.call(0, &generation_call("fitment", 20, "whole")).await;
        if response.status == 200 {
            break;
        }
        assert!(started.elapsed() < TIMEOUT, "{:?}", response.json());
    }
}

/// Guards against a server that still gets new work 5 s after the configuration marks it as
/// leaving.
#[ntex::test]
async fn leaving_server_gets_no_new_work_after_5_s() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let changes = TreeChanges {
        leaving: ["engine-1", "portal-1"].map(str::to_owned).into(),
        ..TreeChanges::default()
    };
    fixture.cluster.publish_tree(&changes);
    let published = Instant::now();
    let work = || {
        let lookup = Call::post("/v1/desks/trade/lookups", &json!({"query": "urn"}));
        (generation_call("fitment", 3, "whole"), lookup.bearer(&default_credential()))
    };
    let counts = || {
        let lookups = fixture.cluster.portals[0].executions().lookups;
        (fixture.cluster.engines[0].stats().submitted, lookups)
    };
    // Requests continue while the change spreads, so that an instance that adopts it only after
    // 5 s fails the checks below.
    while published.elapsed() < Duration::from_secs(5) {
        let (generation, lookup) = work();
        fixture.call(0, &generation).await;
        fixture.call(1, &lookup).await;
    }
    let before = counts();
    let submitted = fixture.cluster.engines[1].stats().submitted;
    for index in 0..30 {
        let (generation, lookup) = work();
        assert_eq!(fixture.call(index % 3, &generation).await.status, 200);
        assert_eq!(fixture.call(index % 3, &lookup).await.status, 200);
    }
    assert_eq!(counts(), before);
    assert_eq!(fixture.cluster.engines[1].stats().submitted, submitted + 30);
}

/// Guards against a configuration that is not in effect at all instances within 4 s, or that
/// reverts when the platform returns an old revision.
#[ntex::test]
async fn changed_configuration_is_in_effect_within_4_s() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let call = generation_call("fitment", 20, "whole");
    for index in 0..3 {
        assert_eq!(fixture.call(index, &call).await.json()["tokens"], 20);
    }
    let changes = TreeChanges { fitment_max_tokens: Some(7), ..TreeChanges::default() };
    fixture.cluster.publish_tree(&changes);
    let published = Instant::now();
    for index in 0..3 {
        loop {
            let sent = published.elapsed();
            let response = fixture.call(index, &call).await.json();
            if response["tokens"] == 7 {
                assert_eq!(response["finish"], "length");
                break;
            }
            assert!(sent < Duration::from_secs(4), "instance {index} still has the old limit");
        }
    }
    fixture
        .cluster
        .platform
        .set_faults(&PlatformFaults { back: Some(1), ..PlatformFaults::default() });
    let reverted = Instant::now();
    let calls = fixture.cluster.platform.calls();
    // A watch call returns after a few seconds at most. Before that, no instance has been offered
    // the old revision.
    while fixture.cluster.platform.calls() < calls + 3
        || reverted.elapsed() < Duration::from_secs(2)
    {
        for index in 0..3 {
            assert_eq!(fixture.call(index, &call).await.json()["tokens"], 7);
        }
        assert!(reverted.elapsed() < TIMEOUT, "the instances no longer call the platform");
    }
}

/// Guards against a stream that hangs when the engine sends nothing more on its connection but
/// keeps it open.
#[ntex::test]
async fn silent_engine_connection_is_replaced() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let mut stream = fixture.open(0, &generation_call("review", 400, "stream")).await;
    let mut reader = ResponseReader::new(400);
    reader.read_until(&mut stream, 10).await;
    let silent = EngineFaults { silent: Some(true), ..EngineFaults::default() };
    fixture.cluster.engines.iter().for_each(|engine| engine.set_faults(&silent));
    reader.read_and_check(&mut stream, 400).await;
}

/// Guards against callers that receive the faulty tokens of an engine: repeated ones, gaps, or
/// tokens of another generation.
#[ntex::test]
async fn faulty_tokens_do_not_reach_the_caller() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let faults = EngineFaults {
        repeat_every: Some(7),
        skip_every: Some(31),
        cross_every: Some(11),
        ..EngineFaults::default()
    };
    fixture.cluster.engines.iter().for_each(|engine| engine.set_faults(&faults));
    let mut stream = fixture.open(0, &generation_call("review", 120, "stream")).await;
    ResponseReader::new(120).read_and_check(&mut stream, 120).await;
}

/// Submits an order to services that execute it but do not answer completely. Checks that its
/// outcome is reported as unknown and that it ran once.
async fn check_lost_answer(fault: ServiceFaults) {
    let fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    // An order that arrives before its partition is synchronised is refused without being run.
    fixture
        .cluster
        .wait_partitions_synchronised(&fixture.client)
        .await
        .expect("synchronised partitions");
    // The configuration says that these services recognise repeated keys, because the system
    // otherwise runs no orders with callers' keys after a cold start. Here they do not, so that
    // every execution is counted.
    let fault = ServiceFaults { check_keys: Some(false), ..fault };
    fixture.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&fault));
    let call = order_call("ledgers-brief", "lost-key", "lost");
    let error = fixture.call(0, &call).await.json()["error"].clone();
    assert_eq!(execution_count(&fixture, "lost"), 1, "{error}");
    let (kind, run) = (json!("order_unknown"), json!("outcome_unknown"));
    assert_eq!((&error["kind"], &error["run"]), (&kind, &run));
    for index in 0..3 {
        let response = fixture.call(index, &call).await;
        assert_eq!(response.json()["error"]["run"], "outcome_unknown", "{:?}", response.json());
    }
    assert_eq!(execution_count(&fixture, "lost"), 1);
}

/// Guards against an order that is repeated, or reported as not run, after a service executed it
/// and sent no response.
#[ntex::test]
async fn unanswered_order_is_unknown_and_runs_once() {
    check_lost_answer(ServiceFaults { no_answer: Some(true), ..ServiceFaults::default() }).await;
}

/// Guards against an order that is repeated, or reported as not run, after a service executed it
/// and closed the connection without a response, which the HTTP client reports like a failure to
/// connect.
#[ntex::test]
async fn order_closed_without_answer_is_unknown_and_runs_once() {
    let fault = ServiceFaults { close_unanswered: Some(true), ..ServiceFaults::default() };
    check_lost_answer(fault).await;
}

/// Guards against an order that is repeated, or reported as not run, after a service executed it
/// and closed the connection in the middle of its response.
#[ntex::test]
async fn order_with_partial_answer_is_unknown_and_runs_once() {
    check_lost_answer(ServiceFaults { close_early: Some(true), ..ServiceFaults::default() }).await;
}

/// Guards against a cluster that refuses keys that it has minted itself, because its replicas
/// started empty with different epochs.
#[ntex::test]
async fn minted_keys_run_after_a_cold_start() {
    let fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    let mut refused = Vec::new();
    for number in 0..40 {
        let index = number % 3;
        let key = fixture.mint(index, "trade").await;
        let call = order_call("trade", &key, &format!("minted-{number}"));
        let response = fixture.call((index + number / 3) % 3, &call).await;
        if response.status != 200 {
            refused.push((number, response.json()["error"]["kind"].clone()));
        }
    }
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against responses that reveal to a customer that another customer's generation or order
/// exists.
#[ntex::test]
async fn foreign_handles_are_answered_like_missing_ones() {
    let fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    let mut stream = fixture.open(0, &generation_call("fitment", 2_000, "stream")).await;
    let mut reader = ResponseReader::new(2_000);
    reader.read_until(&mut stream, 3).await;
    let handle = reader.last_id.split('.').next().expect("handle").to_owned();
    let missing: String = handle.chars().map(|c| if c == 'a' { 'b' } else { 'a' }).collect();
    let placed = fixture.call(0, &order_call("releases", "placed-key", "foreign")).await;
    assert_eq!(placed.status, 200, "{:?}", placed.json());

    let other_customer = credential(CUSTOMERS[1]);
    let start = |id: &str| {
        // No body is sent; early_refusals_reach_the_caller covers refusals of requests with one.
        Call::new(Method::POST, "/v1/desks/fitment/generations")
            .header("last-event-id", format!("{id}.2"))
    };
    let get = |path: String| Call::new(Method::GET, path);
    let generation_path = |id: &str| format!("/v1/desks/fitment/generations/{id}");
    let pairs = [
        (start(&handle), start(&missing)),
        (get(generation_path(&handle)), get(generation_path(&missing))),
        (
            Call::new(Method::DELETE, generation_path(&handle)),
            Call::new(Method::DELETE, generation_path(&missing)),
        ),
        (
            get("/v1/desks/releases/orders/placed-key".to_owned()),
            get("/v1/desks/releases/orders/absent-key".to_owned()),
        ),
    ];
    for (foreign, absent) in pairs {
        let path = foreign.path.clone();
        let mut responses = Vec::new();
        for call in [foreign, absent] {
            let response = fixture.call(1, &call.bearer(&other_customer)).await;
            let mut body = response.json();
            body["error"]["request"] = json!("REQUEST");
            let mut headers = response.headers;
            // The body contains the id of the request, whose number of digits varies.
            let varying = ["date", "content-length", "x-request-id"];
            for header in headers.iter_mut().filter(|header| varying.contains(&&*header.0)) {
                header.1.clear();
            }
            responses.push((response.status, headers, body));
        }
        assert_eq!(responses[0], responses[1], "{path}");
        // After a cold start the replicas cannot tell whether an unknown key was used before, and
        // refuse every such key with order_in_doubt.
        let in_doubt =
            path.contains("/orders/") && responses[0].2["error"]["kind"] == "order_in_doubt";
        assert!(responses[0].0 == 404 || in_doubt, "{path}: {:?}", responses[0]);
    }
    reader.read_until(&mut stream, 50).await;
}

/// Guards against refusals that do not reach the caller because the instance closes the
/// connection before it has read the whole request, which resets the connection.
#[ntex::test]
async fn early_refusals_reach_the_caller() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let mut broken = Vec::new();
    for number in 0..60 {
        // The request is refused for its credential, before the body is read.
        let body = json!({"prompt": "x".repeat(1 + number % 2 * 60_000)});
        let call = Call::post("/v1/desks/fitment/generations", &body).bearer("nobody");
        match fixture.client.call(fixture.target(0), &call, TIMEOUT).await {
            Ok(response) => assert_eq!(response.status, 401),
            Err(fault) => broken.push((number, fault)),
        }
    }
    assert!(broken.is_empty(), "{} of 60: {:?}", broken.len(), broken[0]);
}

/// Guards against a limit of open requests that is not enforced over all instances together, or
/// by which a customer is refused far below the limit.
#[ntex::test]
async fn customer_limit_holds_over_all_instances() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let mut call = generation_call("fitment", 2_000, "stream");
    call.headers[0].1 = format!("Bearer {}", credential("small-desk"));
    let mut streams = Vec::new();
    for index in 0..2 * SMALL_DESK_LIMIT {
        match fixture
            .client
            .open(fixture.target(index % 3), &call, TIMEOUT)
            .await
            .expect("a response")
        {
            OpenResponse::Stream(stream) => streams.push(*stream),
            OpenResponse::Complete(response) => {
                assert_eq!(response.json()["error"]["kind"], "customer_limit");
            },
        }
    }
    // The instances enforce the limit together only approximately: between half of it and one and
    // a half times it are accepted.
    let open = streams.len();
    assert!((SMALL_DESK_LIMIT / 2..=SMALL_DESK_LIMIT * 3 / 2).contains(&open), "{open} streams");
}

/// Guards against a runtime that uses io_uring, which instances must not use.
#[ntex::test]
async fn instances_hold_no_io_uring() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    for (index, instance) in fixture.cluster.instances.iter().enumerate() {
        assert_eq!(fixture.call(index, &generation_call("fitment", 3, "whole")).await.status, 200);
        let dir = format!("/proc/{}/fd", instance.pid().expect("a running process"));
        let links: Vec<String> = std::fs::read_dir(dir)
            .unwrap()
            .filter_map(|entry| std::fs::read_link(entry.ok()?.path()).ok())
            .map(|link| link.display().to_string())
            .collect();
        assert!(links.len() > 5, "{links:?}");
        assert!(!links.iter().any(|link| link.contains("io_uring")), "{links:?}");
    }
}

/// Guards against an instance that starts child processes.
#[ntex::test]
async fn instances_have_no_children() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    for instance in &fixture.cluster.instances {
        let pid = instance.pid().expect("a running process");
        for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap() {
            let children = std::fs::read_to_string(task.unwrap().path().join("children"));
            assert_eq!(children.unwrap_or_default(), "");
        }
    }
}
