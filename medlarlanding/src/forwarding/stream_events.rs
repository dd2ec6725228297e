//! Splits the bytes of an event stream into whole events without changing them.

use bytes::{Bytes, BytesMut};

/// Largest event in bytes; events of the measured installations have at most 2,000.
const PIECE_LIMIT: usize = 256 << 10;

/// A whole event with its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamPiece {
    /// The bytes as the server sent them, including the empty line at the end.
    pub bytes: Bytes,
    /// Value of the `id` field.
    pub id: Option<String>,
}

/// Collects bytes until events are whole.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    /// Bytes at the front of `buffer` that hold no end of an event.
    scanned: usize,
}

impl EventSplitter {
    /// Takes the next bytes. Returns false if an event exceeds the limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= PIECE_LIMIT
    }

    /// Takes the next whole event.
    pub fn next_piece(&mut self) -> Option<StreamPiece> {
        let end = self.find_end()?;
        let bytes = self.buffer.split_to(end).freeze();
        self.scanned = 0;
        let id = bytes.split(|byte| *byte == b'\n').find_map(|line| {
            let value = line.strip_prefix(b"id:")?;
            Some(String::from_utf8_lossy(value).trim().to_owned())
        });
        Some(StreamPiece { bytes, id })
    }

    /// Takes the bytes after the last whole event.
    pub fn take_rest(&mut self) -> Bytes {
        self.scanned = 0;
        self.buffer.split().freeze()
    }

    fn find_end(&mut self) -> Option<usize> {
        for index in self.scanned.max(1)..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let before = &self.buffer[..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}
