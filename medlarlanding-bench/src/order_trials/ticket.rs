//! Comparison design: a caller first requests a ticket, and only the process that issued the
//! ticket runs the order. The process keeps its records in memory, so they are lost when it ends.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::ids::{CustomerId, DeskId, Incarnation, InstanceId, InstanceIdentity};
use medlarlanding_core::orders::{
    OrderAnswer, OrderId, OrderInput, OrderKey, OrderParams, OrderResult,
};
use medlarlanding_core::time::Timestamp;

use super::machine::{TrialEffect, TrialMessage};

/// Base of the ids for orders that other processes forwarded, above the ids of all other orders.
const PEER_ORDER_BASE: u64 = 1 << 40;

/// Messages of the ticket design.
#[derive(Clone, Debug)]
pub enum TicketMessage {
    /// Asks the issuer of the ticket to run an order or to repeat its answer.
    Forward {
        issuer: InstanceIdentity,
        order: OrderId,
        key: OrderKey,
        body: [u8; 32],
        /// Time until the caller's deadline.
        remaining: Duration,
    },
    /// The issuer's answer.
    Answer { order: OrderId, answer: OrderAnswer },
}

#[derive(Clone, Debug)]
enum TicketRecord {
    Running { body: [u8; 32] },
    Done { body: [u8; 32], answer: OrderAnswer },
}

#[derive(Clone, Debug)]
struct ForwardedOrder {
    issuer: InstanceIdentity,
    key: OrderKey,
    body: [u8; 32],
    deadline: Timestamp,
    /// Time of the next send.
    next: Timestamp,
}

/// Receiver of an answer: a caller of this process, or another process.
#[derive(Clone, Debug)]
enum TicketWaiter {
    Caller { order: OrderId, deadline: Timestamp },
    Peer { to: InstanceId, order: OrderId },
}

/// State machine of one process, which issues tickets and runs the orders that use them.
#[derive(Clone, Debug)]
pub struct TicketMachine {
    params: OrderParams,
    identity: InstanceIdentity,
    /// Number of tickets issued so far.
    issued: u64,
    /// Last id given to an order that another process forwarded.
    last_peer_order: u64,
    live: Vec<InstanceIdentity>,
    records: HashMap<OrderKey, TicketRecord>,
    running: BTreeMap<OrderId, OrderKey>,
    waiters: BTreeMap<OrderKey, Vec<TicketWaiter>>,
    /// Orders of this process's callers that were forwarded to the issuer of their ticket.
    forwarded: BTreeMap<OrderId, ForwardedOrder>,
}

impl TicketMachine {
    /// Creates the machine of a new process.
    pub fn new(params: OrderParams, identity: InstanceIdentity) -> Self {
        Self {
            params,
            identity,
            issued: 0,
            last_peer_order: PEER_ORDER_BASE,
            live: Vec::new(),
            records: HashMap::new(),
            running: BTreeMap::new(),
            waiters: BTreeMap::new(),
            forwarded: BTreeMap::new(),
        }
    }

    fn issue_ticket(&mut self) -> String {
        self.issued += 1;
        let Self { identity, issued, .. } = self;
        format!("t-{:x}-{:x}-{issued:x}", identity.id.0, identity.incarnation.started)
    }

    fn issuer(ticket: &str) -> Option<InstanceIdentity> {
        let mut parts = ticket.strip_prefix("t-")?.split('-');
        let mut number = || u64::from_str_radix(parts.next()?, 16).ok();
        let (id, started) = (InstanceId(number()?), number()?);
        Some(InstanceIdentity { id, incarnation: Incarnation::new(started) })
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<TrialEffect>) {
        match input {
            OrderInput::View { live, .. } => self.live = live,
            OrderInput::Mint { query, .. } => {
                let key = Ok(self.issue_ticket());
                effects.push(TrialEffect::Minted { query, key });
            },
            OrderInput::Submit { order, customer, desk, key, body_digest, deadline, .. } => {
                self.submit(now, order, (customer, desk, &key), body_digest, deadline, effects);
            },
            OrderInput::Finished { order, result } => self.finished(order, result, effects),
            OrderInput::Query { query, .. } => effects.push(TrialEffect::QueryAnswer {
                query,
                answer: OrderAnswer::Refused(ErrorKind::OrderUnknown),
            }),
            _ => {},
        }
        self.tick(now, effects);
    }

    fn submit(
        &mut self,
        now: Timestamp,
        order: OrderId,
        (customer, desk, ticket): (CustomerId, DeskId, &str),
        body: [u8; 32],
        deadline: Timestamp,
        effects: &mut Vec<TrialEffect>,
    ) {
        let key = OrderKey::from_text(customer, desk, ticket);
        match Self::issuer(ticket) {
            None => effects.push(TrialEffect::Answer {
                order,
                answer: OrderAnswer::Refused(ErrorKind::BadRequest),
            }),
            Some(issuer) if issuer == self.identity => {
                let waiter = TicketWaiter::Caller { order, deadline };
                let permit_deadline = deadline.min(now + self.params.permit_limit);
                self.run(key, body, permit_deadline, Some(order), waiter, effects);
            },
            Some(issuer) => {
                self.forwarded
                    .insert(order, ForwardedOrder { issuer, key, body, deadline, next: now });
            },
        }
    }

    /// Runs an order, or answers `waiter` from the record of its ticket. `order` is the id of
    /// the order, or `None` if another process forwarded it.
    fn run(
        &mut self,
        key: OrderKey,
        body: [u8; 32],
        permit_deadline: Timestamp,
        order: Option<OrderId>,
        waiter: TicketWaiter,
        effects: &mut Vec<TrialEffect>,
    ) {
        let (TicketRecord::Running { body: known, .. } | TicketRecord::Done { body: known, .. }) =
            match self.records.get(&key) {
                Some(record) => record,
                None => {
                    let order = order.unwrap_or_else(|| {
                        self.last_peer_order += 1;
                        OrderId(self.last_peer_order)
                    });
                    self.running.insert(order, key);
                    self.waiters.entry(key).or_default().push(waiter);
                    self.records.insert(key, TicketRecord::Running { body });
                    effects.push(TrialEffect::Run { order, key, permit_deadline });
                    return;
                },
            };
        if *known != body {
            Self::send_answer(&waiter, OrderAnswer::Refused(ErrorKind::KeyReused), effects);
            return;
        }
        match &self.records[&key] {
            TicketRecord::Done { answer, .. } => {
                Self::send_answer(&waiter, answer.clone(), effects);
            },
            TicketRecord::Running { .. } => {
                let waiters = self.waiters.entry(key).or_default();
                let repeated = waiters.iter().any(|known| match (known, &waiter) {
                    (
                        TicketWaiter::Peer { to: known, order: first },
                        TicketWaiter::Peer { to, order },
                    ) => known == to && first == order,
                    _ => false,
                });
                if !repeated {
                    waiters.push(waiter);
                }
            },
        }
    }

    fn send_answer(waiter: &TicketWaiter, answer: OrderAnswer, effects: &mut Vec<TrialEffect>) {
        match *waiter {
            TicketWaiter::Caller { order, .. } => {
                effects.push(TrialEffect::Answer { order, answer });
            },
            TicketWaiter::Peer { to, order } => effects.push(TrialEffect::Send {
                to,
                reliable: false,
                message: TrialMessage::Ticket(TicketMessage::Answer { order, answer }),
            }),
        }
    }

    fn finished(&mut self, order: OrderId, result: OrderResult, effects: &mut Vec<TrialEffect>) {
        let Some(key) = self.running.remove(&order) else { return };
        let waiters = self.waiters.remove(&key).unwrap_or_default();
        let Some(TicketRecord::Running { body, .. }) = self.records.remove(&key) else { return };
        let (first, stored) = match result {
            OrderResult::Answered { status, body } => (
                OrderAnswer::Answered { status, body: body.clone(), stored: false },
                Some(OrderAnswer::Answered { status, body, stored: true }),
            ),
            OrderResult::Unknown => {
                let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                (answer.clone(), Some(answer))
            },
            OrderResult::NotSent(kind) => (OrderAnswer::Refused(kind), None),
        };
        if let Some(answer) = stored {
            self.records.insert(key, TicketRecord::Done { body, answer });
        }
        for waiter in waiters {
            Self::send_answer(&waiter, first.clone(), effects);
        }
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: TicketMessage,
        effects: &mut Vec<TrialEffect>,
    ) {
        match message {
            TicketMessage::Forward { issuer, order, .. } if issuer != self.identity => {
                // The ticket was issued by another process of this instance.
                let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                Self::send_answer(&TicketWaiter::Peer { to: from.id, order }, answer, effects);
            },
            TicketMessage::Forward { order, key, body, remaining, .. } => {
                let waiter = TicketWaiter::Peer { to: from.id, order };
                let permit_deadline = now + remaining.min(self.params.permit_limit);
                self.run(key, body, permit_deadline, None, waiter, effects);
            },
            TicketMessage::Answer { order, answer } => {
                if self.forwarded.remove(&order).is_some() {
                    effects.push(TrialEffect::Answer { order, answer });
                }
            },
        }
        self.tick(now, effects);
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<TrialEffect>) {
        let live = &self.live;
        self.forwarded.retain(|&order, open| {
            let issuer_ended = !live.contains(&open.issuer);
            if issuer_ended || now >= open.deadline {
                let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                effects.push(TrialEffect::Answer { order, answer });
                return false;
            }
            if now >= open.next {
                open.next = now + Duration::from_millis(100);
                let remaining = open.deadline.since(now);
                let (issuer, key, body) = (open.issuer, open.key, open.body);
                let message = TicketMessage::Forward { issuer, order, key, body, remaining };
                effects.push(TrialEffect::Send {
                    to: open.issuer.id,
                    reliable: false,
                    message: TrialMessage::Ticket(message),
                });
            }
            true
        });
        for waiters in self.waiters.values_mut() {
            waiters.retain(|waiter| match *waiter {
                TicketWaiter::Caller { order, deadline } if now >= deadline => {
                    let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                    effects.push(TrialEffect::Answer { order, answer });
                    false
                },
                _ => true,
            });
        }
    }

    /// Returns when the machine next needs a `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let forwarded = self.forwarded.values().map(|open| open.next.min(open.deadline)).min();
        let callers = self.waiters.values().flatten().filter_map(|waiter| match waiter {
            TicketWaiter::Caller { deadline, .. } => Some(*deadline),
            TicketWaiter::Peer { .. } => None,
        });
        Timestamp::earliest(forwarded, callers.min())
    }
}
