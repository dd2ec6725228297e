//! Tests of the decoder of server-sent events.

use medlarlanding::backends::events::{EVENT_LIMIT, EventDecoder, EventFault, StreamEvent};

use quickcheck::{Gen, QuickCheck, TestResult};

fn decode(chunks: &[&[u8]]) -> Result<Vec<StreamEvent>, EventFault> {
    let mut decoder = EventDecoder::default();
    let mut events = Vec::new();
    for chunk in chunks {
        decoder.push(chunk, &mut events)?;
    }
    Ok(events)
}

fn event(name: &str, id: &str, data: &str) -> StreamEvent {
    StreamEvent { name: name.to_owned(), id: id.to_owned(), data: data.to_owned() }
}

/// Guards against a field that ends up in another event, and against comments or unknown fields
/// that are read as data.
#[test]
fn fields_are_assigned_to_their_event() {
    let text = b": ping\nevent: token\nid: 7\ndata: a\ndata:b\nretry: 5\n\nid: 8\r\ndata\r\n\r\n";
    assert_eq!(decode(&[text]), Ok(vec![event("token", "7", "a\nb"), event("", "8", "")]));
}

/// Guards against the delivery of an event whose terminating blank line was not received.
#[test]
fn incomplete_event_is_not_delivered() {
    assert_eq!(decode(&[b"data: a\n"]), Ok(vec![]));
}

/// Guards against unbounded memory use when the server sends a line that never ends.
#[test]
fn endless_line_is_refused() {
    let chunk = vec![b'x'; EVENT_LIMIT];
    assert_eq!(decode(&[b"data: ", &chunk]), Err(EventFault));
}

/// Guards against a result that depends on where the stream is split into chunks.
#[test]
fn chunk_boundaries_do_not_change_events() {
    fn decodes_alike(bytes: Vec<u8>, split: usize) -> TestResult {
        let text: Vec<u8> =
            bytes.iter().map(|byte| b"ab:\n\r :di"[usize::from(byte % 9)]).collect();
        let (head, tail) = text.split_at(split % (text.len() + 1));
        TestResult::from_bool(decode(&[&text]) == decode(&[head, tail]))
    }
    let seed = 0x6d65_646c;
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(2_000)
        .quickcheck(decodes_alike as fn(Vec<u8>, usize) -> TestResult);
}
