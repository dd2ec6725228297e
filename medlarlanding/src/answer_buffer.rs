//! Memory of answers whose callers read more slowly than their servers write.
//!
//! Load pattern: servers in trouble write bytes without end, with or without ends of events, while
//! callers read at a few Mbit/s. Each answer holds little, and all of them together no more than a share
//! of the process's memory; answers of the usual size need none of that share.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use tokio::sync::Notify;

/// Bytes that an answer may hold without a part of the common memory. Events of the measured
/// installations have at most 2,000 bytes.
const FREE_BYTES: u64 = 32 << 10;
/// Bytes that wait to be written to a caller before the answer is read on.
const WAITING_LIMIT: u64 = 64 << 10;
/// All answers together may hold the process's memory divided by this, besides their free bytes.
const MEMORY_DIVISOR: u64 = 8;

/// Memory that the answers of a process share.
#[derive(Debug)]
pub struct AnswerMemory {
    /// Bytes that answers have reserved; at most `limit`, but for pieces that were pending before.
    reserved: Mutex<u64>,
    limit: u64,
}

impl AnswerMemory {
    /// Creates the memory of a process that may occupy `memory_bytes`.
    pub fn new(memory_bytes: u64) -> Arc<Self> {
        Arc::new(Self { reserved: Mutex::default(), limit: memory_bytes / MEMORY_DIVISOR })
    }

    /// Changes a reservation. Returns false, with the reservation changed nevertheless, if the limit is
    /// exceeded.
    fn change(&self, from: u64, to: u64) -> bool {
        let mut reserved = self.reserved.lock().unwrap_or_else(PoisonError::into_inner);
        *reserved = *reserved - from + to;
        to <= from || *reserved <= self.limit
    }
}

/// Bytes of one answer.
#[derive(Debug, Default)]
struct HeldBytes {
    /// Pieces that are not yet written to the caller.
    waiting: u64,
    /// The incomplete event.
    pending: u64,
    /// What of the sum exceeds `FREE_BYTES`; reserved in the common memory.
    reserved: u64,
}

#[derive(Debug)]
struct BufferState {
    memory: Arc<AnswerMemory>,
    bytes: Mutex<HeldBytes>,
    /// Notified when a piece has been written.
    written: Notify,
}

impl BufferState {
    fn lock(&self) -> MutexGuard<'_, HeldBytes> {
        self.bytes.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adapts the reservation. Returns whether the common memory suffices.
    fn reserve(&self, bytes: &mut HeldBytes) -> bool {
        let needed = (bytes.waiting + bytes.pending).saturating_sub(FREE_BYTES);
        let from = std::mem::replace(&mut bytes.reserved, needed);
        from == needed || self.memory.change(from, needed)
    }
}

impl Drop for BufferState {
    fn drop(&mut self) {
        let reserved = self.lock().reserved;
        self.memory.change(reserved, 0);
    }
}

/// Counts the bytes of one answer from their arrival until they are written to the caller.
#[derive(Clone, Debug)]
pub struct AnswerBuffer(Arc<BufferState>);

impl AnswerBuffer {
    /// Creates the buffer of an answer.
    pub fn new(memory: &Arc<AnswerMemory>) -> Self {
        Self(Arc::new(BufferState {
            memory: Arc::clone(memory),
            bytes: Mutex::default(),
            written: Notify::new(),
        }))
    }

    /// Records the size of the incomplete event. Returns false if it is too large for the memory that is
    /// left: the answer must be given up.
    pub fn set_pending(&self, pending: usize) -> bool {
        let mut bytes = self.0.lock();
        bytes.pending = pending as u64;
        self.0.reserve(&mut bytes)
    }

    /// Returns whether the next piece has to wait until the caller has read earlier ones.
    pub fn is_full(&self, length: usize) -> bool {
        let waiting = self.0.lock().waiting;
        waiting > 0 && waiting + length as u64 > WAITING_LIMIT
    }

    /// Waits until there is room and copies a piece, which counts until it is dropped.
    pub async fn hold(&self, piece: &[u8]) -> Bytes {
        while self.is_full(piece.len()) {
            self.0.written.notified().await;
        }
        let mut bytes = self.0.lock();
        bytes.waiting += piece.len() as u64;
        // The piece was pending before, or is a small part of a body.
        self.0.reserve(&mut bytes);
        drop(bytes);
        Bytes::from_owner(HeldPiece { bytes: piece.into(), buffer: Arc::clone(&self.0) })
    }
}

/// A piece that is not yet written to the caller.
struct HeldPiece {
    bytes: Box<[u8]>,
    buffer: Arc<BufferState>,
}

impl AsRef<[u8]> for HeldPiece {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for HeldPiece {
    fn drop(&mut self) {
        let mut bytes = self.buffer.lock();
        bytes.waiting -= self.bytes.len() as u64;
        self.buffer.reserve(&mut bytes);
        drop(bytes);
        self.buffer.written.notify_one();
    }
}
