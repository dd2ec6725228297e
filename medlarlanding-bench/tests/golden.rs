//! Tests that compare sessions between callers and instances with golden files.
//!
//! Ids, keys and handles, which differ between runs, are replaced by placeholders; everything else
//! must be equal. With the environment variable `UPDATE_GOLDEN=1` the tests write the files; review
//! their changes before committing them.

mod process_support;

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use medlarlanding_bench::client::{Call, CallClient, CallResponse, EventStream, OpenResponse};
use medlarlanding_bench::cluster::{ClusterParams, SMALL_DESK_LIMIT, TreeChanges, credential};
use medlarlanding_bench::stand_ins::engine::EngineFaults;
use medlarlanding_bench::stand_ins::platform::PlatformFaults;
use medlarlanding_bench::stand_ins::service::ServiceFaults;
use medlarlanding_bench::stand_ins::tokens::parse_token;
use medlarlanding_core::ids::RequestId;

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

use process_support::{
    ClusterFixture, TIMEOUT, default_credential, generation_call, order_call, prompt,
};

/// Response headers that are recorded in a session.
const HEADERS: &[&str] =
    &["content-type", "cache-control", "retry-after", "www-authenticate", "x-request-id"];

/// Recorded calls and responses, compared with the golden file `file`.
struct Session {
    file: &'static str,
    client: CallClient,
    text: String,
    placeholders: Vec<(String, &'static str)>,
}

impl Session {
    fn new(fixture: &ClusterFixture, file: &'static str) -> Self {
        Self { file, client: fixture.client.clone(), text: String::new(), placeholders: Vec::new() }
    }

    /// Registers the placeholder of a value that differs between runs.
    fn add_placeholder(&mut self, value: &str, placeholder: &'static str) {
        self.placeholders.push((value.to_owned(), placeholder));
    }

    fn write_line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn write_call(&mut self, call: &Call) {
        self.write_line(&format!("> {} {}", call.method, call.path));
        for (name, value) in &call.headers {
            self.write_line(&format!("> {name}: {value}"));
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if body.len() > 300 {
            self.write_line(&format!("> ({} bytes)", body.len()));
        } else if !body.is_empty() {
            self.write_line(&format!("> {body}"));
        }
    }

    fn write_head(&mut self, status: u16, headers: &[(String, String)]) {
        self.write_line(&format!("< {status}"));
        for (name, value) in headers.iter().filter(|header| HEADERS.contains(&&*header.0)) {
            self.write_line(&format!("< {name}: {value}"));
        }
    }

    fn write_response(&mut self, response: &CallResponse) {
        self.write_head(response.status, &response.headers);
        let body = String::from_utf8_lossy(&response.body).into_owned();
        self.write_line(&body);
    }

    /// Sends a call, records it and the whole response.
    async fn call(&mut self, address: SocketAddr, call: &Call) -> CallResponse {
        self.write_call(call);
        let response = self.client.call(address, call, TIMEOUT).await.expect("a response");
        self.write_response(&response);
        response
    }

    /// Sends a call that opens a stream, records it and the head of the response.
    async fn open(&mut self, address: SocketAddr, call: &Call) -> EventStream {
        self.write_call(call);
        match self.client.open(address, call, TIMEOUT).await.expect("a response") {
            OpenResponse::Stream(stream) => {
                self.write_head(200, &stream.headers);
                *stream
            },
            OpenResponse::Complete(response) => panic!("refused: {response:?}"),
        }
    }

    /// Records events until `count` are recorded or the stream has ended. Returns the last id.
    async fn record_events(&mut self, stream: &mut EventStream, count: usize) -> String {
        let mut last = String::new();
        for _ in 0..count {
            let Some(event) = stream.next(TIMEOUT).await.expect("an event or the end") else {
                self.write_line("(end of the stream)");
                break;
            };
            if let Some((handle, _)) = event.id.split_once('.') {
                self.add_placeholder(handle, "HANDLE");
                last.clone_from(&event.id);
            }
            let id = if event.id.is_empty() { String::new() } else { format!(" {}", event.id) };
            self.write_line(&format!("{}{id} {}", event.name, event.data));
        }
        last
    }

    /// Compares the session with its golden file, which is first written if `UPDATE_GOLDEN` is set.
    fn check(self) {
        let mut text = self.text;
        for (value, placeholder) in &self.placeholders {
            text = text.replace(value, placeholder);
        }
        let text = normalise(&text);
        let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let path = dir.join(format!("{}.txt", self.file));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &text).expect("a writable golden file");
        }
        let golden = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(golden == text, "{}:\n--- expected\n{golden}\n--- actual\n{text}", self.file);
    }
}

/// Replaces request ids, and the hash of the generation in each token, by placeholders.
fn normalise(text: &str) -> String {
    let mut normal = String::new();
    let mut word = String::new();
    for character in text.chars().chain(['\n']) {
        if character.is_ascii_alphanumeric() || "-.".contains(character) {
            word.push(character);
            continue;
        }
        if RequestId::parse(&word).is_some_and(|id| id.started > 0) {
            normal.push_str("REQUEST");
        } else if let Some(mark) = parse_token(&word) {
            normal.push_str(&format!("{:x}.GENERATION.{}", mark.prompt, mark.seq));
        } else {
            normal.push_str(&word);
        }
        word.clear();
        normal.push(character);
    }
    normal.pop();
    normal
}

fn get_call(path: String) -> Call {
    Call::new(Method::GET, path).bearer(&default_credential())
}

async fn check_endpoint_sessions(fixture: &ClusterFixture) {
    let mut session = Session::new(fixture, "generation_stream");
    let mut stream =
        session.open(fixture.target(0), &generation_call("fitment", 6, "stream")).await;
    session.record_events(&mut stream, 100).await;
    session.check();

    let mut session = Session::new(fixture, "generation_whole");
    let response = session.call(fixture.target(1), &generation_call("overnight", 6, "whole")).await;
    session.add_placeholder(response.json()["generation"].as_str().expect("handle"), "HANDLE");
    session.check();

    let mut session = Session::new(fixture, "generation_resume");
    let call = generation_call("fitment", 60, "stream");
    let mut stream = session.open(fixture.target(0), &call).await;
    let last = session.record_events(&mut stream, 5).await;
    drop(stream);
    session.write_line("(the caller disconnects and goes to another instance)");
    let resume = call.header("last-event-id", last.as_str());
    let mut stream = session.open(fixture.target(1), &resume).await;
    session.record_events(&mut stream, 100).await;
    let handle = last.split_once('.').expect("an event id").0;
    let path = format!("/v1/desks/fitment/generations/{handle}");
    session.write_line("(the caller asks for the last tokens again)");
    let again = get_call(path).header("last-event-id", format!("{handle}.58"));
    let mut stream = session.open(fixture.target(2), &again).await;
    session.record_events(&mut stream, 100).await;
    session.check();

    let mut session = Session::new(fixture, "generation_cancel");
    let mut stream =
        session.open(fixture.target(0), &generation_call("fitment", 3_000, "stream")).await;
    let last = session.record_events(&mut stream, 2).await;
    let handle = last.split_once('.').expect("an event id").0;
    let path = format!("/v1/desks/fitment/generations/{handle}");
    let cancel = Call::new(Method::DELETE, path).bearer(&default_credential());
    session.call(fixture.target(0), &cancel).await;
    let ended = read_last_event(&mut stream).await;
    session.write_line(&format!("(tokens that were on their way)\n{ended}"));
    session.check();

    let mut session = Session::new(fixture, "lookup");
    let call = Call::post("/v1/desks/trade/lookups", &json!({"query": {"item": "urn"}}));
    session.call(fixture.target(0), &call.bearer(&default_credential())).await;
    session.check();

    let mut session = Session::new(fixture, "order_own_key");
    let call = order_call("releases", "key-1", "release-1");
    session.call(fixture.target(0), &call).await;
    session.write_line("(the same order at another instance)");
    session.call(fixture.target(1), &call).await;
    session.call(fixture.target(2), &get_call("/v1/desks/releases/orders/key-1".to_owned())).await;
    session.check();

    let mut session = Session::new(fixture, "order_key_minted");
    let mint = Call::new(Method::POST, "/v1/desks/trade/order-keys").bearer(&default_credential());
    let response = session.call(fixture.target(0), &mint).await;
    session.add_placeholder(response.json()["key"].as_str().expect("a key"), "MINTED");
    session.check();
}

/// Skips the remaining tokens of a stream and returns its end or error event.
async fn read_last_event(stream: &mut EventStream) -> String {
    loop {
        let event = stream.next(TIMEOUT).await.expect("an event");
        let event = event.expect("an end or error event before the end of the stream");
        if event.name != "token" {
            return format!("{} {}", event.name, event.data);
        }
    }
}

async fn check_rejection_sessions(fixture: &ClusterFixture) {
    let path = "/v1/desks/fitment/generations";
    let check_call = async |file: &'static str, call: Call| {
        let mut session = Session::new(fixture, file);
        session.call(fixture.target(0), &call).await;
        session.check();
    };
    let malformed =
        Call { body: b"{\"prompt\": \"urn\",\n  oops}".to_vec(), ..Call::new(Method::POST, path) };
    check_call("rejected_bad_request", malformed.bearer(&default_credential())).await;
    // Requests that are refused before their body is read are sent without one here.
    // early_refusals_reach_the_caller in processes.rs covers such requests with a body.
    let keyless = Call::new(Method::POST, "/v1/desks/trade/orders").bearer(&default_credential());
    check_call("rejected_missing_key", keyless).await;
    check_call("rejected_unauthorized", Call::new(Method::POST, path).bearer("nobody")).await;
    let unknown =
        Call::new(Method::POST, "/v1/desks/attic/generations").bearer(&default_credential());
    check_call("rejected_not_found", unknown).await;
    let large =
        Call::post(path, &json!({"prompt": "x".repeat(9_000)})).bearer(&default_credential());
    check_call("rejected_body_too_large", large).await;
    let brief =
        Call::post(path, &json!({"prompt": prompt(5), "deadline_ms": 1, "delivery": "whole"}));
    check_call("rejected_overloaded", brief.bearer(&default_credential())).await;
    check_call("rejected_deadline_while_running", generation_call("hurried", 3_000, "whole")).await;
    check_call("rejected_order_in_doubt", order_call("trade", "own-key", "doubt")).await;

    let mut session = Session::new(fixture, "rejected_read_timeout");
    session.text.push_str(&send_partial_body(fixture.target(0), path));
    session.check();

    let mut session = Session::new(fixture, "rejected_key_reused");
    session.call(fixture.target(0), &order_call("releases", "key-2", "first")).await;
    session.call(fixture.target(0), &order_call("releases", "key-2", "second")).await;
    session.check();

    let mut session = Session::new(fixture, "rejected_customer_limit");
    let mut call = generation_call("fitment", 2_000, "stream");
    call.headers[0].1 = format!("Bearer {}", credential("small-desk"));
    session.write_line("(as many streams as the customer may have open)");
    let mut streams = Vec::new();
    let refused = loop {
        match fixture.client.open(fixture.target(0), &call, TIMEOUT).await.expect("a response") {
            OpenResponse::Stream(stream) => streams.push(*stream),
            OpenResponse::Complete(response) => break response,
        }
        assert!(streams.len() <= 2 * SMALL_DESK_LIMIT, "the limit of open requests has no effect");
    };
    session.write_call(&call);
    session.write_response(&refused);
    drop(streams);
    session.check();

    let slow = ServiceFaults { delay_ms: Some(4_000), ..ServiceFaults::default() };
    fixture.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&slow));
    let mut session = Session::new(fixture, "rejected_order_unknown");
    let call = order_call("ledgers-brief", "key-3", "late");
    let (client, target) = (fixture.client.clone(), fixture.target(1));
    let first = call.clone();
    let first = ntex::rt::spawn(async move { client.call(target, &first, TIMEOUT).await });
    let started = Instant::now();
    while !fixture
        .cluster
        .ledgers
        .iter()
        .any(|ledger| ledger.executions().references.contains_key("late"))
    {
        assert!(started.elapsed() < TIMEOUT, "the order did not reach a ledger");
        ntex::time::sleep(Duration::from_millis(10)).await;
    }
    session
        .write_line("(an order is being executed by a service that is slower than its deadline)");
    session
        .call(fixture.target(0), &get_call("/v1/desks/ledgers-brief/orders/key-3".to_owned()))
        .await;
    session.write_call(&call);
    let response = first.await.expect("a task").expect("a response");
    session.write_response(&response);
    session.write_line("(the same order at another instance)");
    session.call(fixture.target(0), &call).await;
    session.check();

    let mut session = Session::new(fixture, "rejected_generation_lost");
    let mut stream =
        session.open(fixture.target(0), &generation_call("fitment", 3_000, "stream")).await;
    session.record_events(&mut stream, 2).await;
    let forget = EngineFaults { forget: Some(true), ..EngineFaults::default() };
    fixture.cluster.engines.iter().for_each(|engine| engine.set_faults(&forget));
    let ended = read_last_event(&mut stream).await;
    session.write_line(&format!("(the engines forget all generations)\n{ended}"));
    session.check();

    let refuse = EngineFaults { refuse: Some(true), ..EngineFaults::default() };
    fixture.cluster.engines.iter().for_each(|engine| engine.set_faults(&refuse));
    check_call("rejected_backend_failed", generation_call("fitment", 5, "whole")).await;

    let leaving = ["engine-1", "engine-2"].map(str::to_owned).into();
    fixture.cluster.publish_tree(&TreeChanges { leaving, ..TreeChanges::default() });
    let started = Instant::now();
    let call = generation_call("review", 5, "whole");
    while fixture.call(0, &call).await.json()["error"]["kind"] != "no_backend" {
        assert!(
            started.elapsed() < TIMEOUT,
            "the change that marks the engines as leaving is not in effect"
        );
    }
    check_call("rejected_no_backend", call).await;
}

/// Sends 10 of the 50 bytes of a body and returns the session as text.
fn send_partial_body(address: SocketAddr, path: &str) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: instance\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: 50\r\n\r\n{{\"prompt\":",
        default_credential()
    );
    let mut socket = TcpStream::connect(address).expect("a connection");
    socket.set_read_timeout(Some(TIMEOUT)).expect("a read timeout");
    socket.write_all(head.as_bytes()).expect("a request");
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while !text.contains("}}") {
        let count = socket.read(&mut bytes).expect("a response");
        assert!(count > 0, "connection closed before the whole response arrived: {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let (response_head, body) = text.split_once("\r\n\r\n").expect("a complete response head");
    let status = response_head.lines().next().expect("a status line");
    let mut headers: Vec<&str> = response_head
        .lines()
        .filter(|line| HEADERS.iter().any(|name| line.to_lowercase().starts_with(name)))
        .collect();
    headers.sort_unstable();
    format!("> POST {path}\n> (10 of 50 bytes)\n< {status}\n< {}\n{body}\n", headers.join("\n< "))
}

/// Guards against unintended changes of the responses of any endpoint and of any rejection.
#[ntex::test]
async fn sessions_are_unchanged() {
    let limits = "body_bytes: 4096, body_ms: 700".to_owned();
    let fixture =
        ClusterFixture::start_with_orders(ClusterParams { limits, ..ClusterParams::default() })
            .await;
    check_endpoint_sessions(&fixture).await;
    check_rejection_sessions(&fixture).await;
}

/// Guards against unintended changes of the responses during a drain and without other instances.
#[ntex::test]
async fn drain_session_is_unchanged() {
    let mut fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    let mut session = Session::new(&fixture, "drain");
    let mut stream =
        session.open(fixture.target(0), &generation_call("fitment", 800, "stream")).await;
    session.record_events(&mut stream, 2).await;
    fixture.cluster.instances[0].signal(Signal::TERM).unwrap();
    session.write_line("(SIGTERM)");
    // No body is sent, because a draining instance does not read it.
    let call =
        Call::new(Method::POST, "/v1/desks/fitment/generations").bearer(&default_credential());
    let started = Instant::now();
    while fixture.call(0, &call).await.status == 400 {
        assert!(started.elapsed() < TIMEOUT, "the drain did not start");
    }
    session.call(fixture.target(0), &call).await;
    let admin = fixture.cluster.instances[0].addresses.admin;
    session.call(admin, &Call::new(Method::GET, "/readyz")).await;
    session.call(admin, &Call::new(Method::GET, "/livez")).await;
    let ended = read_last_event(&mut stream).await;
    session.write_line(&format!("(the other tokens of the stream)\n{ended}"));
    let status = fixture.cluster.instances[0].wait(TIMEOUT).unwrap();
    session.write_line(&format!("({status})"));
    session.check();

    let mut session = Session::new(&fixture, "rejected_no_quorum");
    fixture.cluster.instances[2].kill();
    session.write_line("(two of three instances are gone)");
    session.call(fixture.target(1), &order_call("ledgers-brief", "key-4", "alone")).await;
    session.check();

    fixture.cluster.instances[1].kill();
    let down = PlatformFaults { down: Some(true), ..PlatformFaults::default() };
    fixture.cluster.platform.set_faults(&down);
    fixture.cluster.instances[1].start().unwrap();
    let mut session = Session::new(&fixture, "rejected_not_ready");
    session.write_line("(an instance starts without platform and without other instances)");
    let started = Instant::now();
    while fixture.client.call(fixture.target(1), &call, TIMEOUT).await.is_err() {
        assert!(started.elapsed() < TIMEOUT, "the instance does not accept connections");
        ntex::time::sleep(Duration::from_millis(25)).await;
    }
    session.call(fixture.target(1), &call).await;
    let admin = fixture.cluster.instances[1].addresses.admin;
    session.call(admin, &Call::new(Method::GET, "/readyz")).await;
    session.check();
}
