//! Counts requests in progress, refuses new ones past the limit and while draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use medlarlanding_core::{ErrorKind, Result};

use prometheus::IntGauge;
use tokio::sync::Notify;

/// Admits requests into the process.
pub struct RequestGate {
    /// Requests in progress; equals the number of guards that exist.
    open: AtomicUsize,
    draining: AtomicBool,
    limit: usize,
    gauge: IntGauge,
    emptied: Notify,
}

impl RequestGate {
    /// Creates a gate for at most `limit` requests.
    pub fn new(limit: usize, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            open: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            limit,
            gauge,
            emptied: Notify::new(),
        })
    }

    /// Admits a request until the guard is dropped.
    ///
    /// # Errors
    ///
    /// `Draining` or `Overloaded`.
    pub fn enter(self: &Arc<Self>) -> Result<OpenGuard> {
        // Counted before the flag is read, so that `drained` cannot miss a request that was
        // admitted at the moment the drain started.
        let guard = self.continue_request();
        if self.draining.load(Ordering::SeqCst) {
            return Err(ErrorKind::Draining.into());
        }
        if self.open.load(Ordering::SeqCst) > self.limit {
            return Err(ErrorKind::Overloaded.into());
        }
        Ok(guard)
    }

    /// Counts work that belongs to a request already accepted; never refused.
    pub fn continue_request(self: &Arc<Self>) -> OpenGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        self.gauge.inc();
        OpenGuard { gate: self.clone() }
    }

    /// Refuses new requests from now on. Returns the number of requests in progress.
    pub fn start_drain(&self) -> usize {
        self.draining.store(true, Ordering::SeqCst);
        self.open.load(Ordering::SeqCst)
    }

    /// Returns whether the process drains.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::SeqCst)
    }

    /// Gets the number of requests in progress.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::SeqCst)
    }

    /// Waits until no request is in progress.
    pub async fn drained(&self) {
        loop {
            let emptied = self.emptied.notified();
            if self.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            emptied.await;
        }
    }
}

/// Keeps a request counted as in progress.
pub struct OpenGuard {
    gate: Arc<RequestGate>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.gate.gauge.dec();
        if self.gate.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.emptied.notify_waiters();
        }
    }
}
