//! Recent steps of requests, kept in a bounded ring for operators.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use medlarlanding_core::ids::RequestId;

use serde::Serialize;

/// Steps that are kept; about 4 MB.
const RING_LIMIT: usize = 16_384;

/// What happened to a request.
#[derive(Clone, Debug, Serialize)]
#[serde(tag = "step", rename_all = "snake_case")]
pub enum TraceStep {
    /// The request was authenticated.
    Accepted {
        /// Endpoint of the request.
        endpoint: &'static str,
        /// Name of the desk.
        desk: String,
        /// Configuration version under which it is served.
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
        /// Last token that is not needed again.
        after: u64,
    },
    /// The first token was delivered.
    FirstToken,
    /// The caller disconnected.
    CallerGone,
    /// A server failed an exchange.
    ServerFailed {
        /// Name of the server.
        server: String,
        /// What the connection met.
        reason: String,
    },
    /// Another server was asked for.
    Retried,
    /// The order was claimed and may be sent.
    Claimed {
        /// Fencing number of the claim.
        fence: u64,
    },
    /// The order or look-up was sent.
    Sent {
        /// Name of the plain service.
        server: String,
    },
    /// The answer is complete.
    Completed {
        /// Tokens of a generation.
        tokens: u64,
    },
    /// The request was refused or its answer ended with an error.
    Refused {
        /// Kind of the error.
        kind: &'static str,
    },
}

/// A step with its request and time.
#[derive(Clone, Debug, Serialize)]
pub struct TraceEntry {
    /// The request, in the form that answers and logs use.
    pub request: String,
    /// Milliseconds since the start of the process.
    pub at_ms: u64,
    /// What happened.
    #[serde(flatten)]
    pub step: TraceStep,
}

/// Ring of recent steps; the oldest is dropped for a new one.
#[derive(Default)]
pub struct TraceRing {
    entries: Mutex<VecDeque<(RequestId, Duration, TraceStep)>>,
}

impl TraceRing {
    /// Records a step with the time since the start of the process.
    pub fn record(&self, request: RequestId, uptime: Duration, step: TraceStep) {
        let mut entries = self.entries.lock().unwrap_or_else(PoisonError::into_inner);
        if entries.len() == RING_LIMIT {
            entries.pop_front();
        }
        entries.push_back((request, uptime, step));
    }

    /// Gets the steps of one request, oldest first.
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

    /// Gets the number of steps that are kept.
    pub fn len(&self) -> usize {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner).len()
    }

    /// Returns whether no step is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
