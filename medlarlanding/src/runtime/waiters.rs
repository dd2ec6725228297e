//! Channels on which the tasks of requests receive the node's decisions.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::admission::AdmissionEffect;
use medlarlanding_core::ids::{RequestId, ServerId};
use medlarlanding_core::orders::{OrderAnswer, OrderEffect, OrderId, OrderKey, QueryId};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;
use tokio::sync::{mpsc, oneshot};

/// Decision of admission on a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PermitDecision {
    /// The request may be started on `server` until `start_by`.
    Granted {
        /// Engine for which the permit holds.
        server: ServerId,
        /// Latest time at which the request may be started.
        start_by: Timestamp,
    },
    /// The request was refused.
    Refused {
        /// Kind of the error to answer with.
        kind: ErrorKind,
        /// Time after which a retry may succeed, if known.
        retry_after: Option<Duration>,
    },
}

/// Message of the node to the task of an order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderSignal {
    /// Send the order once, before `permit_deadline`.
    Run {
        /// Key of the order, sent to the plain service as the order's id.
        key: OrderKey,
        /// Fencing number, sent to the plain service with the order.
        fence: u64,
        /// Time by which the first byte must be sent.
        permit_deadline: Timestamp,
    },
    /// Answer the caller; the last message.
    Answer(OrderAnswer),
}

/// Result of a query about an order, or of a request for a minted key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QueryResult {
    /// Outcome of the order.
    Outcome(OrderAnswer),
    /// The minted key, or the kind of the error to answer with.
    Minted(Result<String, ErrorKind>),
}

/// Senders to the waiting tasks, by the id that the node uses for each.
#[derive(Default)]
pub struct WaiterTable {
    permits: Mutex<IndexMap<RequestId, oneshot::Sender<PermitDecision>>>,
    orders: Mutex<IndexMap<OrderId, mpsc::UnboundedSender<OrderSignal>>>,
    queries: Mutex<IndexMap<QueryId, oneshot::Sender<QueryResult>>>,
}

/// Locks a table. A poisoned lock is used as well: each operation on a table is complete in itself,
/// so a panic leaves the table consistent.
fn lock_table<T>(table: &Mutex<T>) -> MutexGuard<'_, T> {
    table.lock().unwrap_or_else(PoisonError::into_inner)
}

impl WaiterTable {
    /// Registers a request for a permit. Returns the channel on which the decision arrives.
    pub fn await_permit(&self, request: RequestId) -> oneshot::Receiver<PermitDecision> {
        let (sender, receiver) = oneshot::channel();
        lock_table(&self.permits).insert(request, sender);
        receiver
    }

    /// Removes the entry of a request that no longer waits for a permit.
    pub fn forget_permit(&self, request: RequestId) {
        lock_table(&self.permits).swap_remove(&request);
    }

    /// Registers an order. Returns the channel on which its signals arrive. The entry is removed
    /// when the answer is delivered.
    pub fn await_order(&self, order: OrderId) -> mpsc::UnboundedReceiver<OrderSignal> {
        let (sender, receiver) = mpsc::unbounded_channel();
        lock_table(&self.orders).insert(order, sender);
        receiver
    }

    /// Registers a query or a request for a minted key. Returns the channel on which the result
    /// arrives.
    pub fn await_query(&self, query: QueryId) -> oneshot::Receiver<QueryResult> {
        let (sender, receiver) = oneshot::channel();
        lock_table(&self.queries).insert(query, sender);
        receiver
    }

    /// Delivers a decision of admission to the waiting request. Returns the request if a permit was
    /// granted but its task has ended: the caller must then release the permit.
    pub fn deliver_permit(&self, effect: AdmissionEffect) -> Option<RequestId> {
        let (request, decision) = match effect {
            AdmissionEffect::Granted { request, server, start_by } => {
                (request, PermitDecision::Granted { server, start_by })
            },
            AdmissionEffect::Refused { request, kind, retry_after } => {
                (request, PermitDecision::Refused { kind, retry_after })
            },
            AdmissionEffect::Send { .. } | AdmissionEffect::PaceChanged { .. } => return None,
        };
        let sender = lock_table(&self.permits).swap_remove(&request);
        let undelivered = sender.is_none_or(|sender| sender.send(decision).is_err());
        (undelivered && matches!(decision, PermitDecision::Granted { .. })).then_some(request)
    }

    /// Delivers an effect of orders to the waiting task.
    pub fn deliver_order(&self, effect: OrderEffect) {
        match effect {
            OrderEffect::Run { order, key, fence, permit_deadline } => {
                if let Some(sender) = lock_table(&self.orders).get(&order) {
                    let _ = sender.send(OrderSignal::Run { key, fence, permit_deadline });
                }
            },
            OrderEffect::Answer { order, answer } => {
                if let Some(sender) = lock_table(&self.orders).swap_remove(&order) {
                    let _ = sender.send(OrderSignal::Answer(answer));
                }
            },
            OrderEffect::QueryAnswer { query, answer } => {
                self.deliver_query(query, QueryResult::Outcome(answer));
            },
            OrderEffect::Minted { query, key } => {
                self.deliver_query(query, QueryResult::Minted(key));
            },
            OrderEffect::Send { .. } | OrderEffect::Synchronised { .. } => {},
        }
    }

    fn deliver_query(&self, query: QueryId, result: QueryResult) {
        if let Some(sender) = lock_table(&self.queries).swap_remove(&query) {
            // Sending fails if the caller has disconnected; the result is not needed then.
            let _ = sender.send(result);
        }
    }
}
