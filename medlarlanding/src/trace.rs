//! Recent steps of requests, kept in a bounded ring buffer for operators.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use medlarlanding_core::ids::RequestId;

use serde::Serialize;

/// Maximum number of steps in the ring buffer, which then needs about 4 MB.
const RING_LIMIT: usize = 16_384;

/// Step in the handling of a request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum TraceStep {
    /// The request was authenticated and its customer may use the desk.
    Accepted {
        /// Kind of the request: a generation, look-up or order.
        endpoint: &'static str,
        /// Name of the desk.
        desk: String,
        /// Configuration version under which the request is served.
        version: u64,
    },
    /// Admission granted a permit.
    PermitGranted {
        /// Name of the engine.
        server: String,
    },
    /// A generation was started on an engine.
    Opened {
        /// Number of the exchange.
        exchange: u32,
        /// Name of the engine.
        server: String,
    },
    /// A generation was resumed on a new connection.
    Resumed {
        /// Number of the exchange.
        exchange: u32,
        /// Name of the engine.
        server: String,
        /// Number of the last token already received; the engine continues after it.
        after: u64,
    },
    /// The first token was delivered.
    FirstToken,
    /// The caller disconnected.
    CallerGone,
    /// An exchange with a server failed.
    ServerFailed {
        /// Name of the server.
        server: String,
        /// Fault of the exchange.
        reason: String,
    },
    /// A new permit was requested, to start the generation again.
    Retried,
    /// The replicas granted the claim of the order, so that it may be sent.
    Claimed {
        /// Fencing number of the claim.
        fence: u64,
    },
    /// The order or look-up was sent to a plain service.
    Sent {
        /// Name of the plain service.
        server: String,
    },
    /// The answer was delivered completely.
    Completed {
        /// Number of tokens of the generation.
        tokens: u64,
    },
    /// The request was refused or its answer ended with an error.
    Refused {
        /// Code of the error kind.
        kind: &'static str,
    },
}

/// A step with its request and time, as it is written to dumps.
#[derive(Clone, Debug, Serialize)]
pub struct TraceEntry {
    /// Id of the request, formatted as in answers and logs.
    pub request: String,
    /// Milliseconds since the start of the process.
    pub at_ms: u64,
    /// Recorded step.
    #[serde(flatten)]
    pub step: TraceStep,
}

/// Ring buffer of recent steps; a new step replaces the oldest one when the buffer is full.
#[derive(Default)]
pub struct TraceRing {
    entries: Mutex<VecDeque<(RequestId, Duration, TraceStep)>>,
}

impl TraceRing {
    /// Records a step; `uptime` is the time since the start of the process.
    pub fn record(&self, request: RequestId, uptime: Duration, step: TraceStep) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == RING_LIMIT {
            entries.pop_front();
        }
        entries.push_back((request, uptime, step));
    }

    /// Gets the recorded steps of one request, oldest first.
    pub fn steps_of(&self, request: &str) -> Vec<TraceEntry> {
        let Some(wanted) = RequestId::parse(request) else { return Vec::new() };
        let entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries
            .iter()
            .filter(|(request, ..)| *request == wanted)
            .map(|(request, at, step)| TraceEntry {
                request: request.to_string(),
                at_ms: at.as_millis() as u64,
                step: step.clone(),
            })
            .collect()
    }

    /// Gets the number of recorded steps.
    pub fn len(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether no step is recorded.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
