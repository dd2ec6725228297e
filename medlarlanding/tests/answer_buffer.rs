//! Tests of the memory of answers whose callers read slowly.

use std::time::Duration;

use medlarlanding::answer_buffer::{AnswerBuffer, AnswerMemory};

use bytes::Bytes;

const MEMORY: u64 = 8 << 20;

async fn try_hold(buffer: &AnswerBuffer, length: usize) -> Option<Bytes> {
    let piece = vec![b'x'; length];
    tokio::time::timeout(Duration::from_millis(20), buffer.hold(&piece)).await.ok()
}

/// Guards against an answer that holds any number of bytes for a caller that reads slowly, and against one
/// whose next piece is never taken.
#[tokio::test]
async fn pieces_wait_until_earlier_ones_are_written() {
    let buffer = AnswerBuffer::new(&AnswerMemory::new(MEMORY));
    let mut pieces = Vec::new();
    while let Some(piece) = try_hold(&buffer, 10_000).await {
        pieces.push(piece);
        assert!(pieces.len() < 100, "the answer takes any number of pieces");
    }
    let count = pieces.len();
    assert!(count >= 4, "{count} pieces");
    let waiting = tokio::spawn({
        let buffer = buffer.clone();
        async move { buffer.hold(&[b'y'; 10_000]).await }
    });
    tokio::task::yield_now().await;
    pieces.pop();
    let piece = waiting.await.expect("the piece");
    assert_eq!(&piece[..3], b"yyy");
}

/// Guards against an event that is larger than the usual limit and never forwarded.
#[tokio::test]
async fn large_piece_is_held_alone() {
    let buffer = AnswerBuffer::new(&AnswerMemory::new(MEMORY));
    let large = try_hold(&buffer, 250_000).await.expect("the piece");
    assert_eq!(large.len(), 250_000);
    assert!(try_hold(&buffer, 10).await.is_none());
    drop(large);
    assert!(try_hold(&buffer, 10).await.is_some());
}

/// Guards against memory that grows with the number of answers, and against giving up answers of the usual
/// size because others have used the memory up.
#[tokio::test]
async fn large_events_share_the_memory() {
    let memory = AnswerMemory::new(MEMORY);
    let buffers: Vec<AnswerBuffer> = (0..100).map(|_| AnswerBuffer::new(&memory)).collect();
    let accepted = buffers.iter().filter(|buffer| buffer.set_pending(256 << 10)).count();
    assert!((3..=5).contains(&accepted), "{accepted} of 256 KB within 1 MB");
    let small = AnswerBuffer::new(&memory);
    assert!(small.set_pending(16 << 10));
    let piece = try_hold(&small, 2_000).await.expect("the piece");
    drop((piece, small));
    drop(buffers);
    let again = AnswerBuffer::new(&memory);
    assert!(again.set_pending(256 << 10), "the memory is not given back");
}
