//! Answers of backend services on the product's own interface that end with their connection.

use std::time::Duration;

use medlarlanding::backends::service;
use medlarlanding::exchange::ExchangeFault;
use medlarlanding_core::cases;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Guards against an answer that a service broke off and that is passed on, or stored as the answer to an
/// order, as if it were complete: without a length or chunks it ends as a complete one does.
fn judges_answer(case: (&'static str, &'static str, Option<&'static str>)) {
    let (fields, body, expected) = case;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let server = tokio::task::spawn_local(async move {
            for _ in 0..2 {
                let (mut stream, _) = listener.accept().await.expect("a connection");
                let mut request = [0; 4096];
                let length = stream.read(&mut request).await.expect("a request");
                assert!(length > 0);
                let answer = format!("HTTP/1.1 200 OK\r\n{fields}\r\n{body}");
                stream.write_all(answer.as_bytes()).await.expect("an answer");
                stream.shutdown().await.expect("an end");
            }
        });
        let look_up = service::look_up(address, b"{}", TIMEOUT).await;
        let order = service::send_order(address, "key", 1, b"{}", TIMEOUT).await;
        for answer in [look_up, order] {
            match (answer, expected) {
                (Ok(answer), Some(expected)) => assert_eq!(answer.body, expected.as_bytes()),
                (Err(fault), None) => assert_eq!(fault, ExchangeFault::Broken),
                (answer, expected) => panic!("{answer:?} where {expected:?} is expected"),
            }
        }
        server.await.expect("a server");
    });
}

const LENGTH: &str = "Content-Length: 9\r\n";
const CHUNKS: &str = "Transfer-Encoding: chunked\r\n";
const CODING: &str = "Transfer-Encoding: identity\r\n";

cases! { judges_answer;
    answer_with_a_length_is_passed_on => (LENGTH, "not json!", Some("not json!")),
    answer_in_chunks_is_passed_on => (CHUNKS, "2\r\n12\r\n0\r\n\r\n", Some("12")),
    answer_cut_in_chunks_is_broken_off => (CHUNKS, "2\r\n12\r\n", None),
    document_that_ends_with_its_connection_is_passed_on => ("", r#"{"a": [1]}"#, Some(r#"{"a": [1]}"#)),
    cut_document_is_broken_off => ("", r#"{"a": [1]"#, None),
    cut_document_with_another_coding_is_broken_off => (CODING, r#"{"a": [1]"#, None),
    number_that_may_go_on_is_broken_off => ("", "12", None),
    empty_answer_is_broken_off => ("", "", None),
    text_that_is_no_document_is_broken_off => ("", "stored", None),
}

/// Guards against an answer whose server stopped in the middle of its head, and which is passed on as a
/// success with an empty or short body.
#[test]
fn answers_with_a_cut_head_are_broken_off() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let runtime = runtime.expect("a runtime");
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        for fields in [LENGTH, CHUNKS, CODING, ""] {
            let head = format!("HTTP/1.1 200 OK\r\nX-Other: 1\r\n{fields}\r\n");
            for cut in 0..head.len() - 3 {
                let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
                let address = listener.local_addr().expect("an address");
                let beginning = head[..cut].to_owned();
                tokio::task::spawn_local(async move {
                    let (mut stream, _) = listener.accept().await.expect("a connection");
                    let mut request = [0; 4096];
                    assert!(stream.read(&mut request).await.expect("a request") > 0);
                    stream.write_all(beginning.as_bytes()).await.expect("a beginning");
                    stream.shutdown().await.expect("an end");
                });
                let order = service::send_order(address, "key", 1, b"{}", TIMEOUT).await;
                assert!(matches!(order, Err(ExchangeFault::Broken)), "{:?}", &head[..cut]);
            }
        }
    });
}
