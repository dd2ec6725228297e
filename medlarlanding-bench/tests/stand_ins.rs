//! Tests of the stand-ins over HTTP.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use medlarlanding_bench::client::{
    Call, CallClient, CallFault, CallResponse, EventStream, OpenResponse,
};
use medlarlanding_bench::stand_ins::engine::{EngineFaults, EngineSettings, start_engine};
use medlarlanding_bench::stand_ins::platform::{PlatformFaults, start_platform};
use medlarlanding_bench::stand_ins::service::{ServiceFaults, start_service};
use medlarlanding_bench::stand_ins::tokens::{TokenChecker, TokenFaults};

use hyper::Method;
use serde_json::{Value, json};

const TIMEOUT: Duration = Duration::from_secs(10);
const LISTEN: &str = "127.0.0.1:0";

fn generation(tokens: u32) -> Call {
    let body = json!({
        "request": "r1", "model": "m", "version": "v", "prompt": "an urn", "prompt_tokens": 20,
        "max_tokens": 100_000, "priority": 5, "deadline_ms": 60_000, "prefix": "ab",
    });
    Call::post("/v1/generations", &body).header("x-test-tokens", tokens.to_string())
}

fn fast() -> EngineSettings {
    EngineSettings::default().with_speed(10.0)
}

async fn open(client: &CallClient, address: SocketAddr, call: &Call) -> EventStream {
    match client.open(address, call, TIMEOUT).await {
        Ok(OpenResponse::Stream(stream)) => *stream,
        Ok(OpenResponse::Complete(answer)) => panic!("refused: {answer:?}"),
        Err(fault) => panic!("no stream: {fault:?}"),
    }
}

async fn call(client: &CallClient, address: SocketAddr, call: Call) -> CallResponse {
    client.call(address, &call, TIMEOUT).await.expect("an answer")
}

fn header(stream: &EventStream, name: &str) -> String {
    stream.headers.iter().find(|header| header.0 == name).expect(name).1.clone()
}

/// Reads tokens until the end event, which it returns.
async fn read_tokens(
    stream: &mut EventStream,
    checker: &mut TokenChecker,
) -> Result<Value, String> {
    loop {
        let event = stream.next(TIMEOUT).await?.ok_or("the stream ended without an end event")?;
        let data: Value = serde_json::from_str(&event.data).expect("event data is JSON");
        match event.name.as_str() {
            "token" => {
                let number = event.id.parse().ok();
                checker.take(number, data["text"].as_str().expect("text"));
            },
            "end" => return Ok(data),
            name => panic!("unexpected event {name}"),
        }
    }
}

/// Guards against streams of the stand-in that violate the engine protocol (section 3.2), and
/// against tokens that the checker cannot match to their generation.
#[ntex::test]
async fn engine_streams_and_resumes() {
    let engine = start_engine(LISTEN, fast()).unwrap();
    let client = CallClient::build().await.unwrap();
    let mut stream = open(&client, engine.address(), &generation(60)).await;
    assert_eq!(header(&stream, "x-attachment"), "1");
    let name = header(&stream, "x-generation");
    let mut checker = TokenChecker::new("an urn");
    for _ in 0..10 {
        let event = stream.next(TIMEOUT).await.unwrap().unwrap();
        let data: Value = serde_json::from_str(&event.data).unwrap();
        assert_eq!(data["generation"], name);
        checker.take(event.id.parse().ok(), data["text"].as_str().unwrap());
    }
    drop(stream);
    let resume = Call::new(Method::GET, format!("/v1/generations/{name}?after=10"));
    let mut stream = open(&client, engine.address(), &resume).await;
    assert_eq!(header(&stream, "x-attachment"), "2");
    let end = read_tokens(&mut stream, &mut checker).await.unwrap();
    assert_eq!(end, json!({"generation": name, "tokens": 60, "finish": "stop"}));
    checker.finish(60);
    assert_eq!(checker.last(), 60);
    assert!(checker.faults().is_clean(), "{:?}", checker.faults());

    let resume = Call::new(Method::GET, "/v1/generations/g1-0?after=10");
    assert_eq!(call(&client, engine.address(), resume).await.status, 404);
}

/// Guards against a cancellation that stops the stream of a later attachment, and against one that
/// does not stop its own.
#[ntex::test]
async fn engine_cancels_by_attachment() {
    let engine = start_engine(LISTEN, fast()).unwrap();
    let client = CallClient::build().await.unwrap();
    let mut stream = open(&client, engine.address(), &generation(50_000)).await;
    let name = header(&stream, "x-generation");
    stream.next(TIMEOUT).await.unwrap();
    let resume = Call::new(Method::GET, format!("/v1/generations/{name}?after=0"));
    let mut second = open(&client, engine.address(), &resume).await;
    let cancel =
        |n: u32| Call::new(Method::DELETE, format!("/v1/generations/{name}?attachment={n}"));
    assert_eq!(call(&client, engine.address(), cancel(1)).await.status, 200);
    for _ in 0..20 {
        second.next(TIMEOUT).await.unwrap().expect("the later attachment goes on");
    }
    assert_eq!(call(&client, engine.address(), cancel(2)).await.status, 200);
    let mut checker = TokenChecker::new("an urn");
    assert!(read_tokens(&mut second, &mut checker).await.is_err());
    assert_eq!(engine.load().running, 0);
}

async fn faults_found(faults: EngineFaults) -> TokenFaults {
    let engine = start_engine(LISTEN, fast()).unwrap();
    engine.set_faults(&faults);
    let client = CallClient::build().await.unwrap();
    let mut stream = open(&client, engine.address(), &generation(30)).await;
    let mut checker = TokenChecker::new("an urn");
    let end = read_tokens(&mut stream, &mut checker).await.unwrap();
    checker.finish(end["tokens"].as_u64().unwrap());
    checker.faults()
}

/// Guards against a checker that misses or confuses lost, repeated and mixed-up tokens.
#[ntex::test]
async fn checker_tells_token_faults_apart() {
    let skipped = EngineFaults { skip_every: Some(10), ..EngineFaults::default() };
    let expected = TokenFaults { lost: 3, ..TokenFaults::default() };
    assert_eq!(faults_found(skipped).await, expected);
    let repeated = EngineFaults { repeat_every: Some(10), ..EngineFaults::default() };
    let expected = TokenFaults { repeated: 3, ..TokenFaults::default() };
    assert_eq!(faults_found(repeated).await, expected);
    let crossed = EngineFaults { cross_every: Some(10), ..EngineFaults::default() };
    let expected = TokenFaults { mixed: 3, ..TokenFaults::default() };
    assert_eq!(faults_found(crossed).await, expected);
}

/// Guards against faults without effect: stalled streams, silent connections, forgotten
/// generations, refusals and a crash.
#[ntex::test]
async fn engine_faults_take_effect() {
    let mut engine = start_engine(LISTEN, fast()).unwrap();
    let client = CallClient::build().await.unwrap();
    let brief = Duration::from_millis(700);

    engine.set_faults(&EngineFaults { stall_after: Some(5), ..EngineFaults::default() });
    let mut stream = open(&client, engine.address(), &generation(500)).await;
    for _ in 0..5 {
        stream.next(TIMEOUT).await.unwrap().unwrap();
    }
    assert!(stream.next(brief).await.unwrap_err().contains("no event"));
    let body = json!({"stall_after": 0});
    let answer = call(&client, engine.address(), Call::post("/faults", &body)).await;
    assert_eq!(answer.json()["stall_after"], 0);

    let mut silent = open(&client, engine.address(), &generation(50_000)).await;
    silent.next(TIMEOUT).await.unwrap().unwrap();
    engine.set_faults(&EngineFaults { silent: Some(true), ..EngineFaults::default() });
    let fault = loop {
        // Tokens sent before the fault may still be received.
        match silent.next(brief).await {
            Ok(event) => assert!(event.is_some()),
            Err(fault) => break fault,
        }
    };
    assert!(fault.contains("no event"), "{fault}");

    let mut stream = open(&client, engine.address(), &generation(50_000)).await;
    let name = header(&stream, "x-generation");
    stream.next(TIMEOUT).await.unwrap().unwrap();
    engine.set_faults(&EngineFaults { forget: Some(true), ..EngineFaults::default() });
    let mut checker = TokenChecker::new("an urn");
    assert!(read_tokens(&mut stream, &mut checker).await.is_err());
    let resume = Call::new(Method::GET, format!("/v1/generations/{name}?after=1"));
    assert_eq!(call(&client, engine.address(), resume).await.status, 404);

    engine.set_faults(&EngineFaults { refuse: Some(true), ..EngineFaults::default() });
    assert_eq!(call(&client, engine.address(), generation(5)).await.status, 503);
    engine.set_faults(&EngineFaults { refuse: Some(false), ..EngineFaults::default() });

    let mut stream = open(&client, engine.address(), &generation(50_000)).await;
    stream.next(TIMEOUT).await.unwrap().unwrap();
    let started = Instant::now();
    engine.stop();
    assert!(read_tokens(&mut stream, &mut checker).await.is_err());
    assert!(started.elapsed() < Duration::from_secs(2), "a crash breaks streams at once");
    let refused = client.call(engine.address(), &generation(5), TIMEOUT).await;
    assert!(matches!(refused, Err(CallFault::NotSent(_))), "{refused:?}");
}

/// Guards against an engine that accepts connections after it has stopped: a call that is sent then is
/// broken, not refused.
#[test]
fn stopped_engine_has_closed_its_port() {
    const ROUNDS: usize = 100;
    let mut open = 0;
    for _ in 0..ROUNDS {
        let mut engine = start_engine(LISTEN, fast()).unwrap();
        let address = engine.address();
        // An open connection delays the end of the server's threads.
        let _stream = std::net::TcpStream::connect(address).unwrap();
        engine.stop();
        open += usize::from(std::net::TcpStream::connect(address).is_ok());
    }
    assert_eq!(open, 0, "of {ROUNDS} ports were open after the stop");
}

/// Guards against the fault `die` leaving the port open.
#[ntex::test]
async fn engine_dies_over_http() {
    let engine = start_engine(LISTEN, fast()).unwrap();
    let client = CallClient::build().await.unwrap();
    let die = Call::post("/faults", &json!({"die": true}));
    let _ = client.call(engine.address(), &die, TIMEOUT).await;
    let started = Instant::now();
    while !matches!(
        client.call(engine.address(), &generation(5), TIMEOUT).await,
        Err(CallFault::NotSent(_))
    ) {
        assert!(started.elapsed() < TIMEOUT, "the port stays open");
    }
}

/// Guards against output lengths that are equal in all generations or differ between runs of a seed.
#[ntex::test]
async fn engine_draws_seeded_lengths() {
    let mut runs = Vec::new();
    for _ in 0..2 {
        let settings = EngineSettings { length_median: 8.0, ..fast() };
        let engine = start_engine(LISTEN, settings).unwrap();
        let client = CallClient::build().await.unwrap();
        let mut lengths = Vec::new();
        for _ in 0..6 {
            let mut drawn = generation(1);
            drawn.headers.clear();
            let mut stream = open(&client, engine.address(), &drawn).await;
            let mut checker = TokenChecker::new("an urn");
            let end = read_tokens(&mut stream, &mut checker).await.unwrap();
            lengths.push(end["tokens"].as_u64().unwrap());
        }
        runs.push(lengths);
    }
    assert_eq!(runs[0], runs[1]);
    assert!(runs[0].iter().any(|&length| length != runs[0][0]), "{runs:?}");
}

/// Guards against engines that accept commands with a fence lower than one seen before.
#[ntex::test]
async fn engine_checks_fences() {
    let engine = start_engine(LISTEN, fast()).unwrap();
    let client = CallClient::build().await.unwrap();
    let load = |fence: u64| {
        let body = json!({"fence": fence, "action": "load", "model": "m", "version": "v3"});
        Call::post("/v1/admin/orders", &body)
    };
    let answer = call(&client, engine.address(), load(5)).await;
    assert_eq!(answer.json(), json!({"fence": 5, "loaded": ["m@v3"]}));
    let answer = call(&client, engine.address(), load(4)).await;
    assert_eq!((answer.status, answer.json()["fence"].clone()), (409, json!(5)));
}

fn order(id: &str, fence: u64) -> Call {
    Call::post("/v1/orders", &json!({"reference": id, "item": "urn"}))
        .header("x-order-id", id)
        .header("x-fence", fence.to_string())
}

/// Guards against a service that does not count executions, or whose faults and checks of keys and
/// fences have no effect.
#[ntex::test]
async fn service_counts_executions() {
    let service = start_service(LISTEN, &ServiceFaults::default()).unwrap();
    let address = service.address();
    let client = CallClient::build().await.unwrap();
    assert_eq!(call(&client, address, order("a", 1)).await.json()["execution"], 1);
    assert_eq!(call(&client, address, order("a", 1)).await.json()["execution"], 2);
    let checks = json!({"check_keys": true, "check_fences": true});
    call(&client, address, Call::post("/faults", &checks)).await;
    assert_eq!(call(&client, address, order("b", 7)).await.json()["execution"], 1);
    assert_eq!(call(&client, address, order("b", 7)).await.json()["execution"], 1);
    assert_eq!(call(&client, address, order("c", 6)).await.status, 409);

    service.set_faults(&ServiceFaults { no_answer: Some(true), ..ServiceFaults::default() });
    let lost = client.call(address, &order("d", 7), Duration::from_millis(500)).await;
    assert!(matches!(lost, Err(CallFault::Broken(_))), "{lost:?}");
    let closing = ServiceFaults {
        no_answer: Some(false),
        close_unanswered: Some(true),
        ..ServiceFaults::default()
    };
    service.set_faults(&closing);
    let lost = client.call(address, &order("g", 7), TIMEOUT).await;
    assert!(matches!(lost, Err(CallFault::Broken(_))), "{lost:?}");
    let early = ServiceFaults {
        close_unanswered: Some(false),
        close_early: Some(true),
        ..ServiceFaults::default()
    };
    service.set_faults(&early);
    let lost = client.call(address, &order("e", 7), TIMEOUT).await;
    assert!(matches!(lost, Err(CallFault::Broken(_))), "{lost:?}");
    service.set_faults(&ServiceFaults { refuse: Some(true), ..early });
    assert_eq!(call(&client, address, order("f", 7)).await.status, 503);
    let executions = service.executions();
    let counts: Vec<_> = executions.executions.iter().collect();
    let names = ["a", "b", "d", "g", "e"].map(str::to_owned);
    let expected: Vec<_> = names.iter().zip(&[2, 1, 1, 1, 1]).collect();
    assert_eq!(counts, expected);
    assert_eq!(executions.repetitions, 1);
    assert_eq!(executions.references, executions.executions);
}

/// Guards against watches that miss a change or return early, and against faults of the platform
/// without effect.
#[ntex::test]
async fn platform_watches_and_faults() {
    let platform = start_platform(LISTEN, 2_000).unwrap();
    let address = platform.address();
    let client = CallClient::build().await.unwrap();
    let get = |query: &str| Call::new(Method::GET, format!("/v1/values/tree{query}"));
    assert_eq!(call(&client, address, get("")).await.status, 404);
    assert_eq!(platform.set_value("tree", "one"), 1);
    assert_eq!(
        call(&client, address, get("")).await.json(),
        json!({"revision": 1, "value": "one"})
    );

    let started = Instant::now();
    let answer = call(&client, address, get("?after=1&wait_ms=300")).await;
    assert_eq!(answer.json()["revision"], 1);
    assert!(started.elapsed() >= Duration::from_millis(300));
    let watching = client.clone();
    let watch = ntex::rt::spawn(async move {
        let watch = Call::new(Method::GET, "/v1/values/tree?after=1&wait_ms=8000");
        watching.call(address, &watch, TIMEOUT).await
    });
    let put = Call { body: b"two".to_vec(), ..Call::new(Method::PUT, "/v1/values/tree") };
    assert_eq!(call(&client, address, put).await.json(), json!({"revision": 2}));
    assert_eq!(watch.await.unwrap().unwrap().json(), json!({"revision": 2, "value": "two"}));

    platform.set_faults(&PlatformFaults { stale: Some(true), ..PlatformFaults::default() });
    platform.set_value("tree", "three");
    assert_eq!(call(&client, address, get("")).await.json()["value"], "two");
    let fresh = PlatformFaults { stale: Some(false), back: Some(2), ..PlatformFaults::default() };
    platform.set_faults(&fresh);
    assert_eq!(call(&client, address, get("")).await.json()["value"], "one");
    platform.set_faults(&PlatformFaults { back: Some(0), down: Some(true), ..fresh });
    assert_eq!(call(&client, address, get("")).await.status, 503);
    platform.set_faults(&PlatformFaults { down: Some(false), ..PlatformFaults::default() });
    assert_eq!(call(&client, address, get("")).await.json()["value"], "three");
}

/// Guards against a rate limit that never refuses.
#[ntex::test]
async fn platform_limits_its_rate() {
    let platform = start_platform(LISTEN, 5).unwrap();
    platform.set_value("tree", "one");
    let client = CallClient::build().await.unwrap();
    let mut statuses = Vec::new();
    for _ in 0..12 {
        let get = Call::new(Method::GET, "/v1/values/tree");
        statuses.push(call(&client, platform.address(), get).await.status);
    }
    assert_eq!(statuses[..5], [200; 5]);
    assert!(statuses.contains(&429), "{statuses:?}");
}
