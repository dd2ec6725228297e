//! Tests of the forwarding role against malformed and hostile requests, written as raw bytes.

use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use medlarlanding_bench::site::{SiteParams, TestSite};
use medlarlanding_core::cases;

const HEADERS: &str = "Host: desk.example\r\nX-Request-Id: id-1\r\n\
                       Authorization: Token key-1\r\nX-Deadline-Ms: 3000\r\n";
/// Time within which each request must be answered or its connection closed: the configured limit for
/// a head, 3 s, the library's idle limit, and a busy machine.
const END_LIMIT: Duration = Duration::from_secs(18);

/// Pause after which no further answer is expected on a connection that stays open.
const ANSWER_PAUSE: Duration = Duration::from_millis(700);

/// Bytes of a caller, with `{H}` for valid headers.
struct InputCase {
    request: String,
    /// Accepted statuses of the answer. 0 stands for a close without an answer; the caller then ends its
    /// request early.
    statuses: &'static [u16],
    /// Requests that servers may run.
    runs: usize,
}

/// Sends a request and reads the answer, up to the end of the connection or a pause. Closes the sending
/// side first if `ends`.
fn exchange(site: &TestSite, request: &str, ends: bool) -> String {
    let mut stream = TcpStream::connect(site.caller_address(0)).expect("a connection");
    stream.set_read_timeout(Some(END_LIMIT)).expect("a time limit");
    // Writing fails if the instance has closed the connection early, which is allowed.
    let _ = stream.write_all(request.replace("{H}", HEADERS).as_bytes());
    if ends {
        let _ = stream.shutdown(Shutdown::Write);
    }
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    // A reset after the answer is allowed too.
    while let Ok(length @ 1..) = stream.read(&mut buffer) {
        received.extend_from_slice(&buffer[..length]);
        stream.set_read_timeout(Some(ANSWER_PAUSE)).expect("a time limit");
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Guards against requests that are smuggled inside others or run although they are malformed, and
/// against malformed input that ends the instance.
fn is_handled(case: InputCase) {
    let site = TestSite::start(SiteParams::default()).expect("a deployment");
    let started = Instant::now();
    let ends = case.statuses.contains(&0);
    let answer = exchange(&site, &case.request, ends);
    let status = answer.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0);
    assert!(case.statuses.contains(&status), "status {status}: {answer:?}");
    assert!(started.elapsed() < END_LIMIT, "no end after {:?}", started.elapsed());
    let runs = site.state.runs("");
    assert_eq!(runs.len(), case.runs, "{runs:?}");
    assert!(runs.iter().all(|run| run.request.starts_with("id-")), "{runs:?}");
    let after = exchange(&site, "GET /lookup/a HTTP/1.1\r\n{H}Connection: close\r\n\r\n", false);
    assert!(after.starts_with("HTTP/1.1 200 "), "{after:?}");
}

fn post(rest: &str) -> String {
    format!("POST /order/a HTTP/1.1\r\n{{H}}{rest}")
}

const SMUGGLED: &str = "POST /order/b HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: smuggled\r\n\
                        Authorization: Token key-1\r\nContent-Length: 0\r\n\r\n";

cases! { is_handled;
    two_lengths => InputCase {
        request: post(&format!("Content-Length: 5\r\nContent-Length: 0\r\n\r\n12345{SMUGGLED}")),
        statuses: &[400], runs: 0,
    },
    list_of_different_lengths => InputCase {
        request: post(&format!("Content-Length: 0, 5\r\n\r\n12345{SMUGGLED}")),
        statuses: &[400], runs: 0,
    },
    signed_length => InputCase {
        request: post("Content-Length: +5\r\n\r\n12345"), statuses: &[400], runs: 0,
    },
    unknown_transfer_coding => InputCase {
        request: post(&format!("Transfer-Encoding: chunked, other\r\n\r\n0\r\n\r\n{SMUGGLED}")),
        statuses: &[400], runs: 0,
    },
    space_before_the_colon => InputCase {
        request: post(&format!("Content-Length : 5\r\n\r\n12345{SMUGGLED}")),
        statuses: &[400], runs: 0,
    },
    folded_header => InputCase {
        request: post(&format!("X-A: b\r\n Content-Length: 5\r\n\r\n{SMUGGLED}")),
        statuses: &[400], runs: 0,
    },
    bare_carriage_return => InputCase {
        request: post("X-A: b\rContent-Length: 5\r\n\r\n"), statuses: &[400], runs: 0,
    },
    missing_host => InputCase {
        request: "POST /order/a HTTP/1.1\r\nX-Request-Id: id-1\r\nContent-Length: 0\r\n\r\n".into(),
        statuses: &[400, 404], runs: 0,
    },
    chunk_size_is_no_number => InputCase {
        request: post("Transfer-Encoding: chunked\r\n\r\nxyz\r\n12345\r\n0\r\n\r\n"),
        statuses: &[400], runs: 0,
    },
    chunk_size_overflows => InputCase {
        request: post("Transfer-Encoding: chunked\r\n\r\nfffffffffffffffff\r\n12345\r\n"),
        statuses: &[400], runs: 0,
    },
    body_ends_early => InputCase {
        request: post("Content-Length: 50\r\n\r\n12345"), statuses: &[400, 0], runs: 0,
    },
    chunked_body_ends_early => InputCase {
        request: post("Transfer-Encoding: chunked\r\n\r\n5\r\n123"), statuses: &[400, 0], runs: 0,
    },
    head_ends_early => InputCase {
        request: "POST /order/a HTTP/1.1\r\nHost: desk".into(), statuses: &[400, 0], runs: 0,
    },
    not_http => InputCase {
        request: "\u{16}\u{3}\u{1}hello\r\n\r\n".into(), statuses: &[400], runs: 0,
    },
    second_http_version => InputCase {
        request: "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".into(), statuses: &[400, 0, 505], runs: 0,
    },
    head_over_the_limit => InputCase {
        request: post(&format!("X-Fill: {}\r\nContent-Length: 0\r\n\r\n", "x".repeat(40_000))),
        statuses: &[431], runs: 0,
    },
    body_over_the_limit => InputCase {
        request: post(&format!("Content-Length: 100001\r\n\r\n{}", "x".repeat(100_001))),
        statuses: &[413], runs: 0,
    },
    chunked_body_over_the_limit => InputCase {
        request: post(&format!(
            "Transfer-Encoding: chunked\r\n\r\n186a1\r\n{}\r\n0\r\n\r\n", "x".repeat(100_001)
        )),
        statuses: &[413], runs: 0,
    },
    connect_method => InputCase {
        request: "CONNECT desk.example:80 HTTP/1.1\r\n{H}\r\n".into(),
        statuses: &[400, 404, 405, 501], runs: 0,
    },
    upgrade_is_ignored => InputCase {
        request: post("Connection: upgrade, close\r\nUpgrade: other\r\nContent-Length: 0\r\n\r\n"),
        statuses: &[200], runs: 1,
    },
    absolute_target => InputCase {
        request: "POST http://desk.example/order/a HTTP/1.1\r\n{H}Content-Length: 0\r\n\r\n".into(),
        statuses: &[200], runs: 1,
    },
    pipelined_requests => InputCase {
        request: post("Content-Length: 5\r\n\r\n12345")
            + &post("Content-Length: 0\r\n\r\n").replace("{H}", &HEADERS.replace("id-1", "id-2")),
        statuses: &[200], runs: 2,
    },
    length_beside_chunks => InputCase {
        request: post(&format!(
            "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n{SMUGGLED}"
        )),
        statuses: &[200, 400], runs: 1,
    },
}

/// Starts a deployment that accepts bodies of 4 MiB.
fn start_with_large_bodies() -> TestSite {
    let mut site = TestSite::start(SiteParams::default()).expect("a deployment");
    let version = site.publish_config(|config| {
        config["limits"]["maxBodyBytes"] = (4 << 20).into();
        let routes = config["routes"].as_array_mut().expect("routes");
        routes.iter_mut().for_each(|route| route["timeoutMs"] = 30_000.into());
    });
    let accepted = format!("version={version} ");
    site.wait_until("a configuration", || site.log(0).contains(&accepted)).expect("a line");
    site
}

fn chunked_order(id: &str, chunk: &str, count: usize) -> String {
    let body = format!("{:x}\r\n{chunk}\r\n", chunk.len()).repeat(count);
    format!(
        "POST /order/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Token key-1\r\nX-Deadline-Ms: 30000\r\nTransfer-Encoding: chunked\r\n\r\n\
         {body}0\r\n\r\n"
    )
}

/// Guards against a body in small chunks that takes many times the memory of its bytes, by which the
/// process is killed together with all its requests (review case 4).
#[test]
fn bodies_in_small_chunks_take_bounded_memory() {
    /// Memory that all bodies together may occupy: a quarter of that of the smallest machines.
    const BODY_LIMIT: u64 = (110 << 20) / 4;
    let site = start_with_large_bodies();
    let before = site.peak_memory(0);
    for (number, (chunk, count)) in [("x", 1_500_000), ("xyz", 500_000)].into_iter().enumerate() {
        let id = format!("id-{number}");
        let answer = exchange(&site, &chunked_order(&id, chunk, count), false);
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer}");
        let length = (chunk.len() * count).to_string();
        assert!(answer.contains(&length), "the body was changed: {answer}");
    }
    let taken = site.peak_memory(0) - before;
    println!("{} KiB taken", taken >> 10);
    assert!(taken < BODY_LIMIT, "{taken} bytes taken");
}

/// Guards against refusing requests with short bodies in chunks because each counts with the longest body
/// that is allowed, and against accepting more than the memory holds.
#[test]
fn bodies_in_chunks_count_with_their_size() {
    let site = start_with_large_bodies();
    let address = site.caller_address(0);
    let open = |id: &str, kilobytes: usize| {
        let mut stream = TcpStream::connect(address).expect("a connection");
        stream.set_read_timeout(Some(END_LIMIT)).expect("a time limit");
        let request = chunked_order(id, &"x".repeat(1024), kilobytes);
        let (beginning, _) = request.split_at(request.len() - 5);
        // Writing fails if the request was refused.
        let _ = stream.write_all(beginning.as_bytes());
        stream
    };
    let read_status = |mut stream: TcpStream| {
        let mut answer = [0; 12];
        // Fails if the request was refused before its end was written.
        let _ = stream.write_all(b"0\r\n\r\n");
        stream.read_exact(&mut answer).expect("an answer");
        String::from_utf8_lossy(&answer[9..]).into_owned()
    };
    // All bodies are incomplete at the same time.
    let short: Vec<TcpStream> = (0..60).map(|number| open(&format!("short-{number}"), 4)).collect();
    std::thread::sleep(Duration::from_millis(300));
    assert!(short.into_iter().map(read_status).all(|status| status == "200"));
    let long: Vec<TcpStream> =
        (0..20).map(|number| open(&format!("long-{number}"), 4_000)).collect();
    std::thread::sleep(Duration::from_millis(300));
    let statuses: Vec<String> = long.into_iter().map(read_status).collect();
    let count = |expected: &str| statuses.iter().filter(|status| **status == expected).count();
    assert_eq!(count("200") + count("503"), statuses.len(), "{statuses:?}");
    assert!(count("200") >= 3 && count("503") >= 1, "{statuses:?}");
}
