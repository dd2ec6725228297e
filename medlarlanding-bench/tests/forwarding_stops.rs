//! Tests of planned stops under load.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use medlarlanding_bench::site::{SiteParams, TestSite};

use rustix::process::Signal;

/// Connections of each kind.
const CONNECTIONS: usize = 12;
/// Time from SIGTERM until a stopping instance closes idle connections.
const IDLE_CLOSE: Duration = Duration::from_millis(2_500);

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("a connection");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time limit");
    stream
}

fn write_order(stream: &mut TcpStream, id: &str) {
    let request = format!(
        "POST /order/a HTTP/1.1\r\nHost: desk.example\r\nX-Request-Id: {id}\r\n\
         Authorization: Token key-1\r\nX-Deadline-Ms: 4000\r\nContent-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("a request");
}

/// Reads one answer with a length. Returns its first line and its body, or what was received.
fn read_answer(stream: &mut TcpStream) -> Result<(String, String), String> {
    let mut received = Vec::new();
    let mut buffer = [0; 1024];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            if length.is_some_and(|length| body.len() >= length) {
                return Ok((head.lines().next().unwrap_or_default().to_owned(), body.to_owned()));
            }
        }
        match stream.read(&mut buffer) {
            Ok(length @ 1..) => received.extend_from_slice(&buffer[..length]),
            end => return Err(format!("{end:?} after {text:?}")),
        }
    }
}

/// Guards against requests that are cut off because they arrive while a stopping instance closes its
/// idle connections or ends. The instance is paused over that moment, so that the requests lie in
/// the kernel's buffers and queues when it continues.
#[test]
fn requests_at_the_end_of_a_stop_are_answered() {
    let mut site = TestSite::start(SiteParams::default()).expect("a deployment");
    let address = site.caller_address(0);
    let mut kept: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    for (number, stream) in kept.iter_mut().enumerate() {
        write_order(stream, &format!("first-{number}"));
        let (status, _) = read_answer(stream).expect("an answer");
        assert_eq!(status, "HTTP/1.1 200 OK");
    }
    site.signal(0, Signal::TERM).expect("a signal");
    site.wait_until("a failing readiness probe", || !site.is_ready(0)).expect("not ready");
    std::thread::sleep(IDLE_CLOSE - Duration::from_millis(500));
    site.signal(0, Signal::STOP).expect("a signal");
    let mut new: Vec<TcpStream> = (0..CONNECTIONS).map(|_| connect(address)).collect();
    for (number, stream) in kept.iter_mut().chain(&mut new).enumerate() {
        write_order(stream, &format!("late-{number}"));
    }
    std::thread::sleep(Duration::from_millis(800));
    site.signal(0, Signal::CONT).expect("a signal");
    let answers: Vec<_> = kept.iter_mut().chain(&mut new).map(read_answer).collect();
    for (number, answer) in answers.iter().enumerate() {
        let runs = site.state.runs(&format!("late-{number}")).len();
        match answer {
            Ok((status, _)) if status.contains("200") => assert_eq!(runs, 1),
            Ok((status, _)) if status.contains("503") => assert_eq!(runs, 0),
            other => panic!("request {number} of {}: {other:?}", answers.len()),
        }
    }
    assert!(site.wait_exit(0).expect("an exit").success());
}
