//! Permit of one request: asks admission and releases what it was granted.

use std::sync::Arc;
use std::time::Duration;

use crate::instance::InstanceShared;
use crate::runtime::waiters::PermitDecision;
use medlarlanding_core::ErrorKind;
use medlarlanding_core::admission::{AdmissionInput, AdmissionRequest, AdoptedWork};
use medlarlanding_core::ids::{RequestId, ServerId};
use medlarlanding_core::node::NodeInput;
use medlarlanding_core::time::Timestamp;

use tokio::sync::oneshot;

/// Shortest time between two reports of progress to admission.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Result of waiting for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request may start now.
    Start(ServerId),
    /// The request was refused.
    Refused(ErrorKind),
}

/// Permit of a request. Dropping it releases the permit or gives up the wait.
pub struct RequestPermit {
    shared: Arc<InstanceShared>,
    request: RequestId,
    waiting: Option<oneshot::Receiver<PermitDecision>>,
    /// Whether admission knows the request.
    open: bool,
    decoded: u32,
    whole: bool,
    reported: Timestamp,
}

impl RequestPermit {
    /// Asks for a permit.
    pub fn ask(shared: Arc<InstanceShared>, request: AdmissionRequest) -> Self {
        let id = request.request;
        let waiting = shared.waiters.await_permit(id);
        let permit = Self::open(shared, id, Some(waiting));
        permit.input(AdmissionInput::Request(Box::new(request)));
        permit
    }

    /// Takes over a generation that runs already.
    pub fn adopt(shared: Arc<InstanceShared>, work: AdoptedWork) -> Self {
        let permit = Self::open(shared, work.request.request, None);
        permit.input(AdmissionInput::Adopt(Box::new(work)));
        permit
    }

    fn open(
        shared: Arc<InstanceShared>,
        request: RequestId,
        waiting: Option<oneshot::Receiver<PermitDecision>>,
    ) -> Self {
        let reported = shared.clock.now();
        Self { shared, request, waiting, open: true, decoded: 0, whole: false, reported }
    }

    fn input(&self, input: AdmissionInput) {
        let _ = self.shared.apply(NodeInput::Admission(input));
    }

    /// Returns whether a decision is awaited.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Waits for the decision; pending for ever if none is awaited.
    pub async fn decided(&mut self) -> PermitOutcome {
        loop {
            let Some(waiting) = &mut self.waiting else { std::future::pending().await };
            let decision = waiting.await;
            self.waiting = None;
            match decision {
                Ok(PermitDecision::Granted { server, start_by }) => {
                    // A process that was paused since must not use a permit that has lapsed.
                    if self.shared.clock.now() <= start_by {
                        return PermitOutcome::Start(server);
                    }
                    self.retry();
                },
                Ok(PermitDecision::Refused { kind, .. }) => {
                    self.open = false;
                    return PermitOutcome::Refused(kind);
                },
                Err(_) => return PermitOutcome::Refused(ErrorKind::Internal),
            }
        }
    }

    /// Asks for another server after the granted one did not start the request.
    pub fn retry(&mut self) {
        self.decoded = 0;
        self.waiting = Some(self.shared.waiters.await_permit(self.request));
        self.input(AdmissionInput::Retry { request: self.request });
    }

    /// Reports decoded tokens, at most once per interval.
    pub fn progress(&mut self, decoded: u64) {
        self.decoded = u32::try_from(decoded).unwrap_or(u32::MAX);
        let now = self.shared.clock.now();
        if now.since(self.reported) >= PROGRESS_INTERVAL {
            self.reported = now;
            let progress =
                AdmissionInput::Progress { request: self.request, decoded: self.decoded };
            self.input(progress);
        }
    }

    /// Releases the permit of a generation that ended. `whole` tells whether the model ended
    /// it by itself.
    pub fn release(&mut self, whole: bool) {
        self.whole = whole;
        self.finish();
    }

    fn finish(&mut self) {
        self.shared.waiters.forget_permit(self.request);
        if std::mem::take(&mut self.open) {
            self.input(AdmissionInput::Finished {
                request: self.request,
                decoded: self.decoded,
                natural_end: self.whole,
            });
        }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.finish();
    }
}
