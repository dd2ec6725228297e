//! Counts requests in progress and refuses new ones above a limit or while draining.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use medlarlanding_core::{ErrorKind, Result};

use prometheus::IntGauge;
use tokio::sync::{Notify, watch};

/// How far a drain has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Requests in progress finish, or there is no drain.
    Finishing,
    /// The time limit has passed: requests that have not started are refused.
    RefusingWaiting,
    /// All requests that still have no answer get one, before the process ends.
    AnsweringAll,
}

/// Admits requests to the process.
pub struct RequestGate {
    /// Requests in progress; equals the number of guards that exist.
    open: AtomicUsize,
    draining: AtomicBool,
    limit: usize,
    gauge: IntGauge,
    /// Notified when the last request in progress ends.
    idle: Notify,
    stage: watch::Sender<DrainStage>,
}

impl RequestGate {
    /// Creates a gate for at most `limit` requests at a time; `gauge` follows their number.
    pub fn new(limit: usize, gauge: IntGauge) -> Arc<Self> {
        Arc::new(Self {
            open: AtomicUsize::new(0),
            draining: AtomicBool::new(false),
            limit,
            gauge,
            idle: Notify::new(),
            stage: watch::Sender::new(DrainStage::Finishing),
        })
    }

    /// Admits a request, which counts as in progress until the guard is dropped.
    ///
    /// # Errors
    ///
    /// `Draining` while draining, `Overloaded` above the limit.
    pub fn admit(self: &Arc<Self>) -> Result<RequestGuard> {
        // The request is counted before the flag is read, so that `drained` cannot miss a request
        // that was admitted just as the drain started.
        let guard = self.count_request();
        if self.draining.load(Ordering::SeqCst) {
            return Err(ErrorKind::Draining.into());
        }
        if self.open.load(Ordering::SeqCst) > self.limit {
            return Err(ErrorKind::Overloaded.into());
        }
        Ok(guard)
    }

    /// Counts a request as in progress without checking the limit or the drain.
    pub fn count_request(self: &Arc<Self>) -> RequestGuard {
        self.open.fetch_add(1, Ordering::SeqCst);
        self.gauge.inc();
        RequestGuard { gate: self.clone() }
    }

    /// Refuses new requests from now on. Returns the number of requests in progress.
    pub fn start_drain(&self) -> usize {
        self.draining.store(true, Ordering::SeqCst);
        self.open.load(Ordering::SeqCst)
    }

    /// Ends the wait for requests in progress.
    pub fn end_drain(&self, stage: DrainStage) {
        self.stage.send_replace(stage);
    }

    /// Waits until a drain has come to a stage.
    pub async fn drain_stage(&self, stage: DrainStage) {
        // The sender lives as long as this gate.
        let _ = self.stage.subscribe().wait_for(|current| *current >= stage).await;
    }

    /// Returns whether the process is draining.
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
            let idle = self.idle.notified();
            if self.open.load(Ordering::SeqCst) == 0 {
                return;
            }
            idle.await;
        }
    }
}

/// Counts a request as in progress until dropped.
pub struct RequestGuard {
    gate: Arc<RequestGate>,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.gate.gauge.dec();
        if self.gate.open.fetch_sub(1, Ordering::SeqCst) == 1 {
            self.gate.idle.notify_waiters();
        }
    }
}
