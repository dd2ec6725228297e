//! Golden files of whole sessions between a caller and an instance.
//!
//! Ids, keys and handles are replaced by names; everything else must be equal. The
//! environment variable `UPDATE_GOLDEN=1` writes the files, whose changes are then reviewed.

mod process_support;

use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::time::{Duration, Instant};

use medlarlanding_bench::client::{Answer, Call, CallClient, EventStream, Opened};
use medlarlanding_bench::cluster::{ClusterParams, SMALL_LIMIT, TreeChanges, credential};
use medlarlanding_bench::stand_ins::engine::EngineFaults;
use medlarlanding_bench::stand_ins::platform::PlatformFaults;
use medlarlanding_bench::stand_ins::service::ServiceFaults;
use medlarlanding_bench::stand_ins::tokens::parse_token;
use medlarlanding_core::ids::RequestId;

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

use process_support::{Bed, WAIT, generation, order, owner, prompt};

/// Headers of answers that are part of a session.
const HEADERS: &[&str] =
    &["content-type", "cache-control", "retry-after", "www-authenticate", "x-request-id"];

/// A session as text.
struct Session {
    file: &'static str,
    client: CallClient,
    text: String,
    names: Vec<(String, &'static str)>,
}

impl Session {
    fn new(bed: &Bed, file: &'static str) -> Self {
        Self { file, client: bed.client.clone(), text: String::new(), names: Vec::new() }
    }

    /// Replaces a value that differs between runs by a name.
    fn name(&mut self, value: &str, name: &'static str) {
        self.names.push((value.to_owned(), name));
    }

    fn line(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
    }

    fn write_call(&mut self, call: &Call) {
        self.line(&format!("> {} {}", call.method, call.path));
        for (name, value) in &call.headers {
            self.line(&format!("> {name}: {value}"));
        }
        let body = String::from_utf8_lossy(&call.body).into_owned();
        if body.len() > 300 {
            self.line(&format!("> ({} bytes)", body.len()));
        } else if !body.is_empty() {
            self.line(&format!("> {body}"));
        }
    }

    fn write_head(&mut self, status: u16, headers: &[(String, String)]) {
        self.line(&format!("< {status}"));
        for (name, value) in headers.iter().filter(|header| HEADERS.contains(&&*header.0)) {
            self.line(&format!("< {name}: {value}"));
        }
    }

    fn write_answer(&mut self, answer: &Answer) {
        self.write_head(answer.status, &answer.headers);
        let body = String::from_utf8_lossy(&answer.body).into_owned();
        self.line(&body);
    }

    /// Sends a call and records the whole answer.
    async fn call(&mut self, address: SocketAddr, call: &Call) -> Answer {
        self.write_call(call);
        let answer = self.client.call(address, call, WAIT).await.expect("an answer");
        self.write_answer(&answer);
        answer
    }

    /// Sends a call that opens a stream and records the head of the answer.
    async fn open(&mut self, address: SocketAddr, call: &Call) -> EventStream {
        self.write_call(call);
        match self.client.open(address, call, WAIT).await.expect("an answer") {
            Opened::Stream(stream) => {
                self.write_head(200, &stream.headers);
                *stream
            },
            Opened::Answer(answer) => panic!("refused: {answer:?}"),
        }
    }

    /// Records events until `count` were recorded or the stream ended. Returns the last id.
    async fn events(&mut self, stream: &mut EventStream, count: usize) -> String {
        let mut last = String::new();
        for _ in 0..count {
            let Some(event) = stream.next(WAIT).await.expect("an event or the end") else {
                self.line("(end of the stream)");
                break;
            };
            if let Some((handle, _)) = event.id.split_once('.') {
                self.name(handle, "HANDLE");
                last.clone_from(&event.id);
            }
            let id = if event.id.is_empty() { String::new() } else { format!(" {}", event.id) };
            self.line(&format!("{}{id} {}", event.name, event.data));
        }
        last
    }

    /// Compares the session with its file.
    fn finish(self) {
        let mut text = self.text;
        for (value, name) in &self.names {
            text = text.replace(value, name);
        }
        let text = normalise(&text);
        let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
        let path = dir.join(format!("{}.txt", self.file));
        if std::env::var_os("UPDATE_GOLDEN").is_some() {
            std::fs::write(&path, &text).expect("a writable golden file");
        }
        let golden = std::fs::read_to_string(&path).unwrap_or_default();
        assert!(golden == text, "{}:\n--- expected\n{golden}\n--- got\n{text}", self.file);
    }
}

/// Replaces request ids and the hashes of generations in tokens.
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

fn get(path: String) -> Call {
    Call::new(Method::GET, path).bearer(&owner())
}

async fn endpoint_sessions(bed: &Bed) {
    let mut session = Session::new(bed, "generation_stream");
    let mut stream = session.open(bed.target(0), &generation("fitment", 6, "stream")).await;
    session.events(&mut stream, 100).await;
    session.finish();

    let mut session = Session::new(bed, "generation_whole");
    let answer = session.call(bed.target(1), &generation("overnight", 6, "whole")).await;
    session.name(answer.json()["generation"].as_str().expect("handle"), "HANDLE");
    session.finish();

    let mut session = Session::new(bed, "generation_resume");
    let call = generation("fitment", 60, "stream");
    let mut stream = session.open(bed.target(0), &call).await;
    let last = session.events(&mut stream, 5).await;
    drop(stream);
    session.line("(the caller disconnects and goes to another instance)");
    let resume = call.header("last-event-id", last.as_str());
    let mut stream = session.open(bed.target(1), &resume).await;
    session.events(&mut stream, 100).await;
    let handle = last.split_once('.').expect("an event id").0;
    let path = format!("/v1/desks/fitment/generations/{handle}");
    session.line("(the caller asks for the last tokens again)");
    let again = get(path).header("last-event-id", format!("{handle}.58"));
    let mut stream = session.open(bed.target(2), &again).await;
    session.events(&mut stream, 100).await;
    session.finish();

    let mut session = Session::new(bed, "generation_cancel");
    let mut stream = session.open(bed.target(0), &generation("fitment", 3_000, "stream")).await;
    let last = session.events(&mut stream, 2).await;
    let handle = last.split_once('.').expect("an event id").0;
    let path = format!("/v1/desks/fitment/generations/{handle}");
    let cancel = Call::new(Method::DELETE, path).bearer(&owner());
    session.call(bed.target(0), &cancel).await;
    let ended = read_last_event(&mut stream).await;
    session.line(&format!("(tokens that were on their way)\n{ended}"));
    session.finish();

    let mut session = Session::new(bed, "lookup");
    let call = Call::post("/v1/desks/trade/lookups", &json!({"query": {"item": "urn"}}));
    session.call(bed.target(0), &call.bearer(&owner())).await;
    session.finish();

    let mut session = Session::new(bed, "order_own_key");
    let call = order("releases", "key-1", "release-1");
    session.call(bed.target(0), &call).await;
    session.line("(the same order at another instance)");
    session.call(bed.target(1), &call).await;
    session.call(bed.target(2), &get("/v1/desks/releases/orders/key-1".to_owned())).await;
    session.finish();

    let mut session = Session::new(bed, "order_key_minted");
    let mint = Call::new(Method::POST, "/v1/desks/trade/order-keys").bearer(&owner());
    let answer = session.call(bed.target(0), &mint).await;
    session.name(answer.json()["key"].as_str().expect("a key"), "MINTED");
    session.finish();
}

/// Reads a stream to its end and returns its last event without the tokens before it.
async fn read_last_event(stream: &mut EventStream) -> String {
    loop {
        let event = stream.next(WAIT).await.expect("an event");
        let event = event.expect("an end or error event before the end of the stream");
        if event.name != "token" {
            return format!("{} {}", event.name, event.data);
        }
    }
}

async fn rejection_sessions(bed: &Bed) {
    let path = "/v1/desks/fitment/generations";
    let single = async |file: &'static str, call: Call| {
        let mut session = Session::new(bed, file);
        session.call(bed.target(0), &call).await;
        session.finish();
    };
    let malformed =
        Call { body: b"{\"prompt\": \"urn\",\n  oops}".to_vec(), ..Call::new(Method::POST, path) };
    single("rejected_bad_request", malformed.bearer(&owner())).await;
    // Refusals that need no body are recorded without one; processes.rs covers them with one.
    let keyless = Call::new(Method::POST, "/v1/desks/trade/orders").bearer(&owner());
    single("rejected_missing_key", keyless).await;
    single("rejected_unauthorized", Call::new(Method::POST, path).bearer("nobody")).await;
    let unknown = Call::new(Method::POST, "/v1/desks/attic/generations").bearer(&owner());
    single("rejected_not_found", unknown).await;
    let large = Call::post(path, &json!({"prompt": "x".repeat(9_000)})).bearer(&owner());
    single("rejected_body_too_large", large).await;
    let brief =
        Call::post(path, &json!({"prompt": prompt(5), "deadline_ms": 1, "delivery": "whole"}));
    single("rejected_overloaded", brief.bearer(&owner())).await;
    single("rejected_deadline_while_running", generation("hurried", 3_000, "whole")).await;
    single("rejected_order_in_doubt", order("trade", "own-key", "doubt")).await;

    let mut session = Session::new(bed, "rejected_read_timeout");
    session.text.push_str(&slow_body(bed.target(0), path));
    session.finish();

    let mut session = Session::new(bed, "rejected_key_reused");
    session.call(bed.target(0), &order("releases", "key-2", "first")).await;
    session.call(bed.target(0), &order("releases", "key-2", "second")).await;
    session.finish();

    let mut session = Session::new(bed, "rejected_customer_limit");
    let mut call = generation("fitment", 2_000, "stream");
    call.headers[0].1 = format!("Bearer {}", credential("small-desk"));
    session.line("(as many streams as the customer may have open)");
    let mut streams = Vec::new();
    let refused = loop {
        match bed.client.open(bed.target(0), &call, WAIT).await.expect("an answer") {
            Opened::Stream(stream) => streams.push(*stream),
            Opened::Answer(answer) => break answer,
        }
        assert!(streams.len() <= 2 * SMALL_LIMIT, "the limit of open requests has no effect");
    };
    session.write_call(&call);
    session.write_answer(&refused);
    drop(streams);
    session.finish();

    let slow = ServiceFaults { delay_ms: Some(4_000), ..ServiceFaults::default() };
    bed.cluster.ledgers.iter().for_each(|ledger| ledger.set_faults(&slow));
    let mut session = Session::new(bed, "rejected_order_unknown");
    let call = order("ledgers-brief", "key-3", "late");
    let (client, target) = (bed.client.clone(), bed.target(1));
    let first = call.clone();
    let first = ntex::rt::spawn(async move { client.call(target, &first, WAIT).await });
    let started = Instant::now();
    while !bed.cluster.ledgers.iter().any(|l| l.executions().references.contains_key("late")) {
        assert!(started.elapsed() < WAIT, "the order does not reach a ledger");
        ntex::time::sleep(Duration::from_millis(10)).await;
    }
    session.line("(an order is being executed by a service that is slower than its deadline)");
    session.call(bed.target(0), &get("/v1/desks/ledgers-brief/orders/key-3".to_owned())).await;
    session.write_call(&call);
    let answer = first.await.expect("a task").expect("an answer");
    session.write_answer(&answer);
    session.line("(the same order at another instance)");
    session.call(bed.target(0), &call).await;
    session.finish();

    let mut session = Session::new(bed, "rejected_generation_lost");
    let mut stream = session.open(bed.target(0), &generation("fitment", 3_000, "stream")).await;
    session.events(&mut stream, 2).await;
    let forget = EngineFaults { forget: Some(true), ..EngineFaults::default() };
    bed.cluster.engines.iter().for_each(|engine| engine.set_faults(&forget));
    let ended = read_last_event(&mut stream).await;
    session.line(&format!("(the engines forget all generations)\n{ended}"));
    session.finish();

    let refuse = EngineFaults { refuse: Some(true), ..EngineFaults::default() };
    bed.cluster.engines.iter().for_each(|engine| engine.set_faults(&refuse));
    single("rejected_backend_failed", generation("fitment", 5, "whole")).await;

    let leaving = ["engine-1", "engine-2"].map(str::to_owned).into();
    bed.cluster.publish_tree(&TreeChanges { leaving, ..TreeChanges::default() });
    let started = Instant::now();
    let call = generation("review", 5, "whole");
    while bed.call(0, &call).await.json()["error"]["kind"] != "no_backend" {
        assert!(started.elapsed() < WAIT, "the servers' leave is not in effect");
    }
    single("rejected_no_backend", call).await;
}

/// Sends half of a body and records the answer.
fn slow_body(address: SocketAddr, path: &str) -> String {
    let head = format!(
        "POST {path} HTTP/1.1\r\nhost: instance\r\nauthorization: Bearer {}\r\n\
         content-type: application/json\r\ncontent-length: 50\r\n\r\n{{\"prompt\":",
        owner()
    );
    let mut socket = TcpStream::connect(address).expect("a connection");
    socket.set_read_timeout(Some(WAIT)).expect("a read timeout");
    socket.write_all(head.as_bytes()).expect("a request");
    let mut text = String::new();
    let mut bytes = [0; 4096];
    while !text.contains("}}") {
        let count = socket.read(&mut bytes).expect("an answer");
        assert!(count > 0, "closed without an answer: {text}");
        text.push_str(&String::from_utf8_lossy(&bytes[..count]));
    }
    let (answer_head, body) = text.split_once("\r\n\r\n").expect("a whole head");
    let status = answer_head.lines().next().expect("a status line");
    let mut headers: Vec<&str> = answer_head
        .lines()
        .filter(|line| HEADERS.iter().any(|name| line.to_lowercase().starts_with(name)))
        .collect();
    headers.sort_unstable();
    format!("> POST {path}\n> (10 of 50 bytes)\n< {status}\n< {}\n{body}\n", headers.join("\n< "))
}

/// Guards against changes of what callers see at any endpoint and in any rejection.
#[ntex::test]
async fn sessions_are_unchanged() {
    let limits = "body_bytes: 4096, body_ms: 700".to_owned();
    let bed = Bed::start_with_orders(ClusterParams { limits, ..ClusterParams::default() }).await;
    endpoint_sessions(&bed).await;
    rejection_sessions(&bed).await;
}

/// Guards against changes of what callers see during a drain and without other instances.
#[ntex::test]
async fn drain_session_is_unchanged() {
    let mut bed = Bed::start_with_orders(ClusterParams::default()).await;
    let mut session = Session::new(&bed, "drain");
    let mut stream = session.open(bed.target(0), &generation("fitment", 800, "stream")).await;
    session.events(&mut stream, 2).await;
    bed.cluster.instances[0].signal(Signal::TERM).unwrap();
    session.line("(SIGTERM)");
    // Without a body, which an instance that drains does not read.
    let call = Call::new(Method::POST, "/v1/desks/fitment/generations").bearer(&owner());
    let started = Instant::now();
    while bed.call(0, &call).await.status == 400 {
        assert!(started.elapsed() < WAIT, "the drain does not start");
    }
    session.call(bed.target(0), &call).await;
    let admin = bed.cluster.instances[0].addresses.admin;
    session.call(admin, &Call::new(Method::GET, "/readyz")).await;
    session.call(admin, &Call::new(Method::GET, "/livez")).await;
    let ended = read_last_event(&mut stream).await;
    session.line(&format!("(the other tokens of the stream)\n{ended}"));
    let status = bed.cluster.instances[0].wait(WAIT).unwrap();
    session.line(&format!("({status})"));
    session.finish();

    let mut session = Session::new(&bed, "rejected_no_quorum");
    bed.cluster.instances[2].kill();
    session.line("(two of three instances are gone)");
    session.call(bed.target(1), &order("ledgers-brief", "key-4", "alone")).await;
    session.finish();

    bed.cluster.instances[1].kill();
    let down = PlatformFaults { down: Some(true), ..PlatformFaults::default() };
    bed.cluster.platform.set_faults(&down);
    bed.cluster.instances[1].start().unwrap();
    let mut session = Session::new(&bed, "rejected_not_ready");
    session.line("(an instance starts without platform and without other instances)");
    let started = Instant::now();
    while bed.client.call(bed.target(1), &call, WAIT).await.is_err() {
        assert!(started.elapsed() < WAIT, "the instance does not listen");
        ntex::time::sleep(Duration::from_millis(25)).await;
    }
    session.call(bed.target(1), &call).await;
    let admin = bed.cluster.instances[1].addresses.admin;
    session.call(admin, &Call::new(Method::GET, "/readyz")).await;
    session.finish();
}
