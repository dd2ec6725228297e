//! Tests of instances as processes under failures.

mod process_support;

use std::time::{Duration, Instant};

use medlarlanding_bench::client::{Call, Opened};
use medlarlanding_bench::cluster::{
    CUSTOMERS, ClusterParams, SMALL_LIMIT, TreeChanges, credential,
};
use medlarlanding_bench::stand_ins::engine::EngineFaults;
use medlarlanding_bench::stand_ins::platform::PlatformFaults;
use medlarlanding_bench::stand_ins::service::ServiceFaults;

use hyper::Method;
use rustix::process::Signal;
use serde_json::{Value, json};

use process_support::{Bed, Reading, WAIT, generation, order, owner};

/// Guards against a stream that is lost, or loses or repeats tokens, when its instance dies.
#[ntex::test]
async fn stream_resumes_on_another_instance_after_sigkill() {
    let mut bed = Bed::start(ClusterParams::default()).await;
    let call = generation("fitment", 300, "stream");
    let mut stream = bed.open(0, &call).await;
    let mut reading = Reading::new(300);
    reading.read_until(&mut stream, 20).await;
    bed.cluster.instances[0].kill();
    let broken = reading.read_out(&mut stream).await;
    assert!(broken.is_err(), "{broken:?}");
    let resume = call.header("last-event-id", reading.last_id.as_str());
    let mut stream = bed.open(1, &resume).await;
    reading.read_whole(&mut stream, 300).await;
}

/// Guards against a shutdown that interrupts a stream, a whole delivery or an order, or
/// that never ends, or that takes new requests.
#[ntex::test]
async fn sigterm_lets_requests_in_progress_finish() {
    let mut bed = Bed::start_with_orders(ClusterParams::default()).await;
    let slow = ServiceFaults { delay_ms: Some(1_500), ..ServiceFaults::default() };
    bed.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&slow));
    let mut stream = bed.open(0, &generation("fitment", 500, "stream")).await;
    let mut reading = Reading::new(500);
    reading.read_until(&mut stream, 5).await;
    let spawn = |call: Call| {
        let (client, target) = (bed.client.clone(), bed.target(0));
        ntex::rt::spawn(async move { client.call(target, &call, WAIT).await })
    };
    let whole = spawn(generation("overnight", 400, "whole"));
    let ordered = spawn(order("releases", "drained-key", "drained"));
    let started = Instant::now();
    // Both requests are in progress once the backend servers have them.
    while bed.cluster.engines.iter().map(|engine| engine.stats().submitted).sum::<u64>() < 2
        || executed(&bed, "drained") == 0
    {
        assert!(started.elapsed() < WAIT, "the requests do not reach the backend servers");
        ntex::time::sleep(Duration::from_millis(10)).await;
    }
    bed.cluster.instances[0].signal(Signal::TERM).unwrap();
    let refused = loop {
        match bed.client.call(bed.target(0), &generation("fitment", 5, "whole"), WAIT).await {
            Ok(answer) if answer.status == 200 => assert!(started.elapsed() < WAIT),
            other => break other,
        }
    };
    if let Ok(answer) = refused {
        assert_eq!(answer.json()["error"]["kind"], "draining");
        assert_eq!(answer.json()["error"]["run"], "not_run");
    }
    reading.read_whole(&mut stream, 500).await;
    assert_eq!(whole.await.unwrap().unwrap().json()["tokens"], 400);
    let answer = ordered.await.unwrap().unwrap();
    assert_eq!((answer.status, &answer.json()["reference"]), (200, &json!("drained")));
    let status = bed.cluster.instances[0].wait(WAIT).unwrap();
    assert!(status.success(), "{status}");
    assert_eq!(executed(&bed, "drained"), 1);
}

fn executed(bed: &Bed, reference: &str) -> u64 {
    let services = bed.cluster.portals.iter().chain(&bed.cluster.ledgers);
    services
        .map(|service| service.executions().references.get(reference).copied().unwrap_or(0))
        .sum()
}

/// Guards against a paused process that takes the others down, that is lost for good, or
/// that runs an order again when it resumes late.
#[ntex::test]
async fn paused_instance_continues() {
    let bed = Bed::start_with_orders(ClusterParams::default()).await;
    let call = generation("review", 600, "stream");
    let mut stream = bed.open(0, &call).await;
    let mut reading = Reading::new(600);
    reading.read_until(&mut stream, 10).await;
    bed.cluster.instances[0].signal(Signal::STOP).unwrap();
    // Sent to the paused process, which reads it after it resumes.
    let (client, target) = (bed.client.clone(), bed.target(0));
    let late = order("releases", "paused-key", "paused");
    let late = ntex::rt::spawn(async move { client.call(target, &late, WAIT).await });
    let started = Instant::now();
    let answer = bed.call(1, &order("releases", "paused-key", "paused")).await;
    assert_eq!(answer.status, 200, "two of three replicas suffice: {:?}", answer.json());
    let answer = bed.call(2, &generation("fitment", 20, "whole")).await;
    assert_eq!(answer.json()["tokens"], 20, "{:?}", answer.json());
    // A pause must exceed 2 s for the process to notice it as one.
    ntex::time::sleep(Duration::from_secs(3).saturating_sub(started.elapsed())).await;
    bed.cluster.instances[0].signal(Signal::CONT).unwrap();

    let late = late.await.unwrap().expect("an answer after the pause");
    let run = late.json()["error"]["run"].clone();
    assert!(late.status == 200 || run != Value::Null, "{:?}", late.json());
    assert_eq!(executed(&bed, "paused"), 1);
    let repeated = bed.cluster.ledgers.iter().map(|ledger| ledger.executions().repetitions);
    assert_eq!(repeated.sum::<u64>(), 0, "the order was sent to the ledgers twice");
    // The stream goes on, or breaks and is resumed.
    let mut attempts = 0;
    loop {
        match reading.read_out(&mut stream).await {
            Ok((name, data)) => {
                assert_eq!((name.as_str(), &data["tokens"]), ("end", &json!(600)), "{data}");
                break;
            },
            Err(fault) => {
                attempts += 1;
                assert!(attempts < 5, "{fault}");
                let resume = call.clone().header("last-event-id", reading.last_id.as_str());
                stream = bed.open(1, &resume).await;
            },
        }
    }
    assert!(reading.checker.faults().is_clean(), "{:?}", reading.checker.faults());
    let started = Instant::now();
    loop {
        let answer = bed.call(0, &generation("fitment", 20, "whole")).await;
        if answer.status == 200 {
            break;
        }
        assert!(started.elapsed() < WAIT, "{:?}", answer.json());
    }
}

/// Guards against new work for a server that is marked leaving, 5 s after the mark.
#[ntex::test]
async fn leaving_server_gets_no_new_work_after_5_s() {
    let bed = Bed::start(ClusterParams::default()).await;
    let changes = TreeChanges {
        leaving: ["engine-1", "portal-1"].map(str::to_owned).into(),
        ..TreeChanges::default()
    };
    bed.cluster.publish_tree(&changes);
    let published = Instant::now();
    let work = || {
        let lookup = Call::post("/v1/desks/trade/lookups", &json!({"query": "urn"}));
        (generation("fitment", 3, "whole"), lookup.bearer(&owner()))
    };
    let counts = || {
        let lookups = bed.cluster.portals[0].executions().lookups;
        (bed.cluster.engines[0].stats().submitted, lookups)
    };
    // Load goes on throughout, so that a late view would show.
    while published.elapsed() < Duration::from_secs(5) {
        let (generation, lookup) = work();
        bed.call(0, &generation).await;
        bed.call(1, &lookup).await;
    }
    let before = counts();
    let submitted = bed.cluster.engines[1].stats().submitted;
    for index in 0..30 {
        let (generation, lookup) = work();
        assert_eq!(bed.call(index % 3, &generation).await.status, 200);
        assert_eq!(bed.call(index % 3, &lookup).await.status, 200);
    }
    assert_eq!(counts(), before);
    assert_eq!(bed.cluster.engines[1].stats().submitted, submitted + 30);
}

/// Guards against a configuration that is not in effect everywhere within 4 s, or that
/// reverts when the configuration service answers an old revision.
#[ntex::test]
async fn changed_configuration_is_in_effect_within_4_s() {
    let bed = Bed::start(ClusterParams::default()).await;
    let call = generation("fitment", 20, "whole");
    for index in 0..3 {
        assert_eq!(bed.call(index, &call).await.json()["tokens"], 20);
    }
    let changes = TreeChanges { fitment_max_tokens: Some(7), ..TreeChanges::default() };
    bed.cluster.publish_tree(&changes);
    let published = Instant::now();
    for index in 0..3 {
        loop {
            let sent = published.elapsed();
            let answer = bed.call(index, &call).await.json();
            if answer["tokens"] == 7 {
                assert_eq!(answer["finish"], "length");
                break;
            }
            assert!(sent < Duration::from_secs(4), "instance {index} still has the old limit");
        }
    }
    bed.cluster.platform.set_faults(&PlatformFaults { back: Some(1), ..PlatformFaults::default() });
    let reverted = Instant::now();
    let calls = bed.cluster.platform.calls();
    // Watches return after some seconds at most; until then nothing old has been offered.
    while bed.cluster.platform.calls() < calls + 3 || reverted.elapsed() < Duration::from_secs(2) {
        for index in 0..3 {
            assert_eq!(bed.call(index, &call).await.json()["tokens"], 7);
        }
        assert!(reverted.elapsed() < WAIT, "the platform is not read any more");
    }
}

/// Guards against a stream that hangs when its connection to the engine goes silent.
#[ntex::test]
async fn silent_engine_connection_is_replaced() {
    let bed = Bed::start(ClusterParams::default()).await;
    let mut stream = bed.open(0, &generation("review", 400, "stream")).await;
    let mut reading = Reading::new(400);
    reading.read_until(&mut stream, 10).await;
    let silent = EngineFaults { silent: Some(true), ..EngineFaults::default() };
    bed.cluster.engines.iter().for_each(|engine| engine.set_faults(&silent));
    reading.read_whole(&mut stream, 400).await;
}

/// Guards against engine faults that reach the caller: tokens sent twice, left out, or of
/// another generation.
#[ntex::test]
async fn faulty_tokens_do_not_reach_the_caller() {
    let bed = Bed::start(ClusterParams::default()).await;
    let faults = EngineFaults {
        repeat_every: Some(7),
        skip_every: Some(31),
        cross_every: Some(11),
        ..EngineFaults::default()
    };
    bed.cluster.engines.iter().for_each(|engine| engine.set_faults(&faults));
    let mut stream = bed.open(0, &generation("review", 120, "stream")).await;
    Reading::new(120).read_whole(&mut stream, 120).await;
}

/// Submits an order to services with a fault after the execution and checks that its
/// outcome is reported as unknown and that it ran once.
async fn check_lost_answer(fault: ServiceFaults) {
    let bed = Bed::start_with_orders(ClusterParams::default()).await;
    // The desk's services are said to recognise repeated keys, so that keys of callers run
    // after a cold start; here they do not, so that every execution is counted.
    let fault = ServiceFaults { check_keys: Some(false), ..fault };
    bed.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&fault));
    let call = order("ledgers-brief", "lost-key", "lost");
    let error = bed.call(0, &call).await.json()["error"].clone();
    assert_eq!(executed(&bed, "lost"), 1, "{error}");
    let (kind, run) = (json!("order_unknown"), json!("outcome_unknown"));
    assert_eq!((&error["kind"], &error["run"]), (&kind, &run));
    for index in 0..3 {
        let answer = bed.call(index, &call).await;
        assert_eq!(answer.json()["error"]["run"], "outcome_unknown", "{:?}", answer.json());
    }
    assert_eq!(executed(&bed, "lost"), 1);
}

/// Guards against an order that is repeated, or reported as not run, after a service
/// executed it and stays silent.
#[ntex::test]
async fn unanswered_order_is_unknown_and_runs_once() {
    check_lost_answer(ServiceFaults { no_answer: Some(true), ..ServiceFaults::default() }).await;
}

/// Guards against an order that is repeated, or reported as not run, after a service
/// executed it and closed the connection: the HTTP client reports that like a failed connect.
#[ntex::test]
async fn order_closed_without_answer_is_unknown_and_runs_once() {
    let fault = ServiceFaults { close_unanswered: Some(true), ..ServiceFaults::default() };
    check_lost_answer(fault).await;
}

/// Guards against an order that is repeated, or reported as not run, after a service
/// executed it and closed the connection within its answer.
#[ntex::test]
async fn order_with_partial_answer_is_unknown_and_runs_once() {
    check_lost_answer(ServiceFaults { close_early: Some(true), ..ServiceFaults::default() }).await;
}

/// Guards against minted keys that a cluster refuses although it minted them, because its
/// replicas started empty with different epochs.
#[ntex::test]
async fn minted_keys_run_after_a_cold_start() {
    let bed = Bed::start_with_orders(ClusterParams::default()).await;
    let mut refused = Vec::new();
    for number in 0..40 {
        let index = number % 3;
        let key = bed.mint(index, "trade").await;
        let call = order("trade", &key, &format!("minted-{number}"));
        let answer = bed.call((index + number / 3) % 3, &call).await;
        if answer.status != 200 {
            refused.push((number, answer.json()["error"]["kind"].clone()));
        }
    }
    assert!(refused.is_empty(), "{refused:?}");
}

/// Guards against answers from which a customer learns that another customer's generation
/// or order exists.
#[ntex::test]
async fn foreign_handles_are_answered_like_missing_ones() {
    let bed = Bed::start_with_orders(ClusterParams::default()).await;
    let mut stream = bed.open(0, &generation("fitment", 2_000, "stream")).await;
    let mut reading = Reading::new(2_000);
    reading.read_until(&mut stream, 3).await;
    let handle = reading.last_id.split('.').next().expect("handle").to_owned();
    let missing: String = handle.chars().map(|c| if c == 'a' { 'b' } else { 'a' }).collect();
    let placed = bed.call(0, &order("releases", "placed-key", "foreign")).await;
    assert_eq!(placed.status, 200, "{:?}", placed.json());

    let stranger = credential(CUSTOMERS[1]);
    let start = |id: &str| {
        // Without a body; early_refusals_reach_the_caller covers refusals with one.
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
        let mut answers = Vec::new();
        for call in [foreign, absent] {
            let answer = bed.call(1, &call.bearer(&stranger)).await;
            let mut body = answer.json();
            body["error"]["request"] = json!("REQUEST");
            let mut headers = answer.headers;
            // The length differs with the number of digits in the request's own id.
            let varying = ["date", "content-length", "x-request-id"];
            for header in headers.iter_mut().filter(|header| varying.contains(&&*header.0)) {
                header.1.clear();
            }
            answers.push((answer.status, headers, body));
        }
        assert_eq!(answers[0], answers[1], "{path}");
        // While the memory of orders is in doubt, every key that is not known is answered so.
        let in_doubt =
            path.contains("/orders/") && answers[0].2["error"]["kind"] == "order_in_doubt";
        assert!(answers[0].0 == 404 || in_doubt, "{path}: {:?}", answers[0]);
    }
    reading.read_until(&mut stream, 50).await;
}

/// Guards against refusals that do not reach the caller because the instance closes the
/// connection with a part of the request unread, which resets it.
#[ntex::test]
async fn early_refusals_reach_the_caller() {
    let bed = Bed::start(ClusterParams::default()).await;
    let mut broken = Vec::new();
    for number in 0..60 {
        // Refused by its credential, before the body is needed.
        let body = json!({"prompt": "x".repeat(1 + number % 2 * 60_000)});
        let call = Call::post("/v1/desks/fitment/generations", &body).bearer("nobody");
        match bed.client.call(bed.target(0), &call, WAIT).await {
            Ok(answer) => assert_eq!(answer.status, 401),
            Err(fault) => broken.push((number, fault)),
        }
    }
    assert!(broken.is_empty(), "{} of 60: {:?}", broken.len(), broken[0]);
}

/// Guards against a limit of open requests that has no effect over all instances, or that
/// refuses a customer far below it.
#[ntex::test]
async fn customer_limit_holds_over_all_instances() {
    let bed = Bed::start(ClusterParams::default()).await;
    let mut call = generation("fitment", 2_000, "stream");
    call.headers[0].1 = format!("Bearer {}", credential("small-desk"));
    let mut streams = Vec::new();
    for index in 0..2 * SMALL_LIMIT {
        match bed.client.open(bed.target(index % 3), &call, WAIT).await.expect("an answer") {
            Opened::Stream(stream) => streams.push(*stream),
            Opened::Answer(answer) => {
                assert_eq!(answer.json()["error"]["kind"], "customer_limit");
            },
        }
    }
    // The limit holds over all instances within an error, which leaves half of it at least.
    let open = streams.len();
    assert!((SMALL_LIMIT / 2..=SMALL_LIMIT * 3 / 2).contains(&open), "{open} streams");
}

/// Guards against a runtime that uses io_uring, which the system must not.
#[ntex::test]
async fn instances_hold_no_io_uring() {
    let bed = Bed::start(ClusterParams::default()).await;
    for (index, instance) in bed.cluster.instances.iter().enumerate() {
        assert_eq!(bed.call(index, &generation("fitment", 3, "whole")).await.status, 200);
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

/// Guards against a process that starts others.
#[ntex::test]
async fn instances_have_no_children() {
    let bed = Bed::start(ClusterParams::default()).await;
    for instance in &bed.cluster.instances {
        let pid = instance.pid().expect("a running process");
        for task in std::fs::read_dir(format!("/proc/{pid}/task")).unwrap() {
            let children = std::fs::read_to_string(task.unwrap().path().join("children"));
            assert_eq!(children.unwrap_or_default(), "");
        }
    }
}
