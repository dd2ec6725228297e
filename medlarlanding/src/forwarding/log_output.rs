//! Non-blocking log output: a bounded buffer that a separate thread writes to standard output.

use std::io::{self, Write};
use std::sync::{Arc, Condvar, Mutex, PoisonError};

/// Most bytes that wait for standard output; further lines are dropped and counted. The buffer
/// holds about 600 lines of 200 bytes and is limited by the memory of the smallest machine.
const BUFFER_LIMIT: usize = 128 << 10;

#[derive(Default)]
struct PendingLines {
    bytes: Vec<u8>,
    dropped: u64,
}

#[derive(Default)]
struct LineQueue {
    pending: Mutex<PendingLines>,
    filled: Condvar,
}

/// Writer that the logger writes lines to. A line is written out after the next flush.
#[derive(Clone)]
pub struct LogWriter {
    queue: Arc<LineQueue>,
}

impl LogWriter {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    ///
    /// Fails if no thread can be started.
    pub fn start() -> io::Result<Self> {
        let queue = Arc::new(LineQueue::default());
        let reader = Arc::clone(&queue);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || write_lines(&reader))?;
        Ok(Self { queue })
    }
}

fn write_lines(queue: &LineQueue) {
    let mut output = io::stdout();
    loop {
        let lines = {
            let pending = queue.pending.lock().unwrap_or_else(PoisonError::into_inner);
            let mut pending = queue
                .filled
                .wait_while(pending, |pending| pending.bytes.is_empty())
                .unwrap_or_else(PoisonError::into_inner);
            std::mem::take(&mut *pending)
        };
        let mut bytes = lines.bytes;
        if lines.dropped > 0 {
            bytes.extend_from_slice(format!("log lines dropped={}\n", lines.dropped).as_bytes());
        }
        // If standard output cannot be written, there is nowhere to report it.
        let _ = output.write_all(&bytes).and_then(|()| output.flush());
    }
}

impl Write for LogWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut pending = self.queue.pending.lock().unwrap_or_else(PoisonError::into_inner);
        if pending.bytes.len() + line.len() > BUFFER_LIMIT {
            pending.dropped += 1;
        } else {
            pending.bytes.extend_from_slice(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.queue.filled.notify_one();
        Ok(())
    }
}
