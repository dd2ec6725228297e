//! Permit of one request: requests it from admission and releases it at the end.

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

/// Minimum interval between progress reports to admission.
const PROGRESS_INTERVAL: Duration = Duration::from_millis(200);

/// Result of waiting for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitOutcome {
    /// The request may start now.
    Start(ServerId),
    /// The request was refused.
    Refused(ErrorKind),
}

/// Permit of a request, granted or still awaited. Dropping it releases the permit or cancels
/// the wait.
pub struct RequestPermit {
    shared: Arc<InstanceShared>,
    request: RequestId,
    waiting: Option<oneshot::Receiver<PermitDecision>>,
    /// Whether admission still holds an entry for the request.
    open: bool,
    decoded: u32,
    natural_end: bool,
    last_report: Timestamp,
}

impl RequestPermit {
    /// Requests a permit.
    pub fn request(shared: Arc<InstanceShared>, request: AdmissionRequest) -> Self {
        let id = request.request;
        let waiting = shared.waiters.await_permit(id);
        let permit = Self::open(shared, id, Some(waiting));
        permit.apply(AdmissionInput::Request(Box::new(request)));
        permit
    }

    /// Registers a generation that is already running on an engine; needs no decision.
    pub fn adopt(shared: Arc<InstanceShared>, work: AdoptedWork) -> Self {
        let permit = Self::open(shared, work.request.request, None);
        permit.apply(AdmissionInput::Adopt(Box::new(work)));
        permit
    }

    fn open(
        shared: Arc<InstanceShared>,
        request: RequestId,
        waiting: Option<oneshot::Receiver<PermitDecision>>,
    ) -> Self {
        let last_report = shared.clock.now();
        Self { shared, request, waiting, open: true, decoded: 0, natural_end: false, last_report }
    }

    fn apply(&self, input: AdmissionInput) {
        let _ = self.shared.apply(NodeInput::Admission(input));
    }

    /// Returns whether a decision is pending.
    pub fn is_waiting(&self) -> bool {
        self.waiting.is_some()
    }

    /// Waits for the decision. Never completes if no decision is pending.
    pub async fn decided(&mut self) -> PermitOutcome {
        loop {
            let Some(waiting) = &mut self.waiting else { std::future::pending().await };
            let decision = waiting.await;
            self.waiting = None;
            match decision {
                Ok(PermitDecision::Granted { server, start_by }) => {
                    // If the process was paused after the grant, the permit may have expired; an
                    // expired permit must not be used.
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

    /// Requests another server because the granted one did not start the request.
    pub fn retry(&mut self) {
        self.decoded = 0;
        self.waiting = Some(self.shared.waiters.await_permit(self.request));
        self.apply(AdmissionInput::Retry { request: self.request });
    }

    /// Records the number of decoded tokens and reports it to admission, at most once per
    /// `PROGRESS_INTERVAL`.
    pub fn progress(&mut self, decoded: u64) {
        self.decoded = u32::try_from(decoded).unwrap_or(u32::MAX);
        let now = self.shared.clock.now();
        if now.since(self.last_report) >= PROGRESS_INTERVAL {
            self.last_report = now;
            let progress =
                AdmissionInput::Progress { request: self.request, decoded: self.decoded };
            self.apply(progress);
        }
    }

    /// Releases the permit of a generation that has ended. `natural_end` is true if the engine
    /// completed it, false if it failed or was abandoned.
    pub fn release(&mut self, natural_end: bool) {
        self.natural_end = natural_end;
        self.finish();
    }

    fn finish(&mut self) {
        self.shared.waiters.forget_permit(self.request);
        if std::mem::take(&mut self.open) {
            self.apply(AdmissionInput::Finished {
                request: self.request,
                decoded: self.decoded,
                natural_end: self.natural_end,
            });
        }
    }
}

impl Drop for RequestPermit {
    fn drop(&mut self) {
        self.finish();
    }
}
