//! Decoder for server-sent events.

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

/// Guards against fields that are mixed up between events, and against comments or unknown
/// fields that are taken for data.
#[test]
fn fields_are_assigned_to_their_event() {
    let text = b": ping\nevent: token\nid: 7\ndata: a\ndata:b\nretry: 5\n\nid: 8\r\ndata\r\n\r\n";
    assert_eq!(decode(&[text]), Ok(vec![event("token", "7", "a\nb"), event("", "8", "")]));
}

/// Guards against an event that is delivered although its end was not received.
#[test]
fn incomplete_event_is_not_delivered() {
    assert_eq!(decode(&[b"data: a\n"]), Ok(vec![]));
}

/// Guards against memory that grows without limit for an endless line.
#[test]
fn endless_line_is_refused() {
    let chunk = vec![b'x'; EVENT_LIMIT];
    assert_eq!(decode(&[b"data: ", &chunk]), Err(EventFault));
}

/// Guards against a result that depends on how the network cut the stream.
#[test]
fn chunk_limits_do_not_matter() {
    fn holds(bytes: Vec<u8>, cut: usize) -> TestResult {
        let text: Vec<u8> =
            bytes.iter().map(|byte| b"ab:\n\r :di"[usize::from(byte % 9)]).collect();
        let (head, tail) = text.split_at(cut % (text.len() + 1));
        TestResult::from_bool(decode(&[&text]) == decode(&[head, tail]))
    }
    let seed = 0x6d65_646c;
    println!("seed {seed}");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(200, seed))
        .tests(2_000)
        .quickcheck(holds as fn(Vec<u8>, usize) -> TestResult);
}
