//! Requests that wait for a decision of the node.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::admission::AdmissionEffect;
use medlarlanding_core::ids::{RequestId, ServerId};
use medlarlanding_core::orders::{OrderAnswer, OrderEffect, OrderId, OrderKey, QueryId};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

/// Decision on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may start at `server` until `start_by`.
    Granted {
        /// The engine.
        server: ServerId,
        /// Latest time of the start.
        start_by: Timestamp,
    },
    /// The request was refused.
    Refused {
        /// Kind of the answer.
        kind: ErrorKind,
        /// Time after which a retry can help, if known.
        retry_after: Option<Duration>,
    },
}

/// Signal to the task of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderSignal {
    /// Send the order once, before the deadline.
    Run {
        /// Stable id for the plain service.
        key: OrderKey,
        /// Fencing number for the plain service.
        fence: u64,
        /// Latest time of the first byte.
        permit_deadline: Timestamp,
    },
    /// Answer the caller.
    Answer(OrderAnswer),
}

/// Result of a query or of minting a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// What became of the order.
    Outcome(OrderAnswer),
    /// The minted key, or why there is none.
    Minted(Result<String, ErrorKind>),
}

/// Tasks that wait, by the number that the node knows them by.
#[derive(Default)]
pub struct WaiterTable {
    permits: Mutex<IndexMap<RequestId, oneshot::Sender<PermitDecision>>>,
    orders: Mutex<IndexMap<OrderId, mpsc::UnboundedSender<OrderSignal>>>,
    queries: Mutex<IndexMap<QueryId, oneshot::Sender<QueryResult>>>,
}

/// The tables stay consistent when a thread panics between two operations on them.
fn locked<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WaiterTable {
    /// Registers a request that waits for a permit.
    pub fn await_permit(&self, request: RequestId) -> oneshot::Receiver<PermitDecision> {
        let (sender, receiver) = oneshot::channel();
        locked(&self.permits).insert(request, sender);
        receiver
    }

    /// Drops a request that no longer waits for a permit.
    pub fn forget_permit(&self, request: RequestId) {
        locked(&self.permits).swap_remove(&request);
    }

    /// Registers an order. The entry is dropped with its answer.
    pub fn await_order(&self, order: OrderId) -> mpsc::UnboundedReceiver<OrderSignal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        locked(&self.orders).insert(order, sender);
        receiver
    }

    /// Registers a query or a request for a minted key.
    pub fn await_query(&self, query: QueryId) -> oneshot::Receiver<QueryResult> {
        let (sender, receiver) = oneshot::channel();
        locked(&self.queries).insert(query, sender);
        receiver
    }

    /// Passes a decision of admission to its request. Returns a granted request whose task is
    /// gone; its permit must be released.
    pub fn settle_permit(&self, effect: AdmissionEffect) -> Option<RequestId> {
        let (request, decision) = match effect {
            AdmissionEffect::Granted { request, server, start_by } => {
                (request, PermitDecision::Granted { server, start_by })
            },
            AdmissionEffect::Refused { request, kind, retry_after } => {
                (request, PermitDecision::Refused { kind, retry_after })
            },
            AdmissionEffect::Send { .. } => return None,
        };
        let sender = locked(&self.permits).swap_remove(&request);
        let undelivered = sender.is_none_or(|sender| sender.send(decision).is_err());
        (undelivered && matches!(decision, PermitDecision::Granted { .. })).then_some(request)
    }

    /// Passes an effect of orders to its task.
    pub fn settle_order(&self, effect: OrderEffect) {
        match effect {
            OrderEffect::Run { order, key, fence, permit_deadline } => {
                if let Some(sender) = locked(&self.orders).get(&order) {
                    let _ = sender.send(OrderSignal::Run { key, fence, permit_deadline });
                }
            },
            OrderEffect::Answer { order, answer } => {
                if let Some(sender) = locked(&self.orders).swap_remove(&order) {
                    let _ = sender.send(OrderSignal::Answer(answer));
                }
            },
            OrderEffect::QueryAnswer { query, answer } => {
                self.settle_query(query, QueryResult::Outcome(answer));
            },
            OrderEffect::Minted { query, key } => {
                self.settle_query(query, QueryResult::Minted(key));
            },
            OrderEffect::Send { .. } | OrderEffect::Synchronised { .. } => {},
        }
    }

    fn settle_query(&self, query: QueryId, result: QueryResult) {
        if let Some(sender) = locked(&self.queries).swap_remove(&query) {
            // A caller that disconnected no longer waits for the result.
            let _ = sender.send(result);
        }
    }
}
