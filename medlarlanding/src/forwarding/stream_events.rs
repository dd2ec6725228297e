//! Splits the bytes of an event stream into complete events without changing them.

use bytes::Bytes;
use hyper::HeaderMap;
use hyper::header::CONTENT_TYPE;

/// Most bytes that are buffered for one event; events of the measured installations have at most
/// 2,000 bytes.
const EVENT_LIMIT: usize = 256 << 10;

/// Media type of event streams.
const EVENT_STREAM: &str = "text/event-stream";

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Bytes as the server sent them, including the empty line at the end.
    pub bytes: Bytes,
    /// Value of the `id` field; `None` if the event has none.
    pub id: Option<String>,
}

/// Largest buffer that is kept after the event in it was removed.
const KEPT_CAPACITY: usize = 16 << 10;

/// Buffers the bytes of a stream until an event is complete.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    /// Number of bytes at the front of `buffer` that were removed.
    removed: usize,
    /// Number of bytes at the front of `buffer` that contain no end of a further event; at least
    /// `removed`.
    scanned: usize,
}

/// Returns whether the body of an answer consists of events. One without a type does on routes of
/// generations.
pub fn has_events(headers: &HeaderMap) -> bool {
    headers.get(CONTENT_TYPE).and_then(|value| value.to_str().ok()).is_none_or(|value| {
        let media_type = value.split(';').next().unwrap_or_default();
        media_type.trim().eq_ignore_ascii_case(EVENT_STREAM)
    })
}

impl EventSplitter {
    /// Appends the next bytes of the stream. Returns false if the buffer exceeds the limit for one
    /// event.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        self.compact();
        self.buffer.extend_from_slice(bytes);
        self.buffer.len() <= EVENT_LIMIT
    }

    /// Frees the memory of the events that were removed.
    pub fn compact(&mut self) {
        self.buffer.drain(..self.removed);
        self.scanned -= std::mem::take(&mut self.removed);
        if self.buffer.capacity() > KEPT_CAPACITY && self.buffer.len() <= KEPT_CAPACITY / 2 {
            self.buffer.shrink_to(KEPT_CAPACITY);
        }
    }

    /// Returns the memory of the buffer in bytes.
    pub fn memory(&self) -> usize {
        self.buffer.capacity()
    }

    /// Removes and returns the next complete event. Its bytes are copied, so that they do not keep the
    /// buffer.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = self.find_end()?;
        let bytes = Bytes::copy_from_slice(&self.buffer[self.removed..end]);
        (self.removed, self.scanned) = (end, end);
        let id = bytes.split(|byte| *byte == b'\n').find_map(|line| {
            let value = line.strip_prefix(b"id:")?;
            Some(String::from_utf8_lossy(value).trim().to_owned())
        });
        Some(StreamEvent { bytes, id })
    }

    /// Returns whether the bytes after the last complete event begin another one. Empty lines and complete
    /// comments do not.
    pub fn is_within_event(&self) -> bool {
        self.buffer[self.removed..].split_inclusive(|byte| *byte == b'\n').any(|line| {
            let text = line.strip_suffix(b"\n").map(|it| it.strip_suffix(b"\r").unwrap_or(it));
            text.is_none_or(|text| !text.is_empty() && !text.starts_with(b":"))
        })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn take_rest(&mut self) -> Bytes {
        let Self { buffer, removed, .. } = std::mem::take(self);
        Bytes::from(buffer).slice(removed..)
    }

    fn find_end(&mut self) -> Option<usize> {
        for index in self.scanned.max(self.removed + 1)..self.buffer.len() {
            if self.buffer[index] != b'\n' {
                continue;
            }
            let before = &self.buffer[self.removed..index];
            if before.ends_with(b"\n") || before.ends_with(b"\n\r") {
                return Some(index + 1);
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}
