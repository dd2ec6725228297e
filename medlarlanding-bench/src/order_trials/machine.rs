//! The state machines under trial behind one interface.

use medlarlanding_core::ErrorKind;
use medlarlanding_core::handles::HandleSigner;
use medlarlanding_core::ids::{InstanceId, InstanceIdentity};
use medlarlanding_core::orders::{
    OrderAnswer, OrderCoordinator, OrderEffect, OrderId, OrderInput, OrderKey, OrderMessage,
    OrderParams, QueryId, check_invariants,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::wire::PeerTransport;

use super::delegate::DelegateMachine;
use super::pair::{PairMachine, PairMessage};
use super::ticket::{TicketMachine, TicketMessage};

/// Ways of running an order at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDesign {
    /// Claims held by a majority of three replicas.
    Majority,
    /// Claims held by an owner and its successor.
    Pair,
    /// Keys bound to the incarnation of the instance that issued them.
    Ticket,
    /// No claims; the service recognises repeated keys.
    DelegateChecked,
    /// No claims, and the service does not recognise repeated keys.
    DelegateUnchecked,
}

impl TrialDesign {
    /// All designs.
    pub const ALL: [Self; 5] =
        [Self::Majority, Self::Pair, Self::Ticket, Self::DelegateChecked, Self::DelegateUnchecked];

    /// Returns the name used on the command line and in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Majority => "majority",
            Self::Pair => "pair",
            Self::Ticket => "ticket",
            Self::DelegateChecked => "delegate-checked",
            Self::DelegateUnchecked => "delegate-unchecked",
        }
    }
}

/// A message of any design.
#[derive(Clone, Debug)]
pub enum TrialMessage {
    /// Of the majority design.
    Majority(OrderMessage),
    /// Of the pair design.
    Pair(PairMessage),
    /// Of the ticket design.
    Ticket(TicketMessage),
}

/// Effects that the trial performs.
#[derive(Clone, Debug)]
pub enum TrialEffect {
    /// Send a message.
    Send { to: InstanceId, reliable: bool, message: TrialMessage },
    /// Send an order to the service.
    Run { order: OrderId, key: OrderKey, permit_deadline: Timestamp },
    /// Answer the caller of an order.
    Answer { order: OrderId, answer: OrderAnswer },
    /// Answer the caller of a query.
    QueryAnswer { query: QueryId, answer: OrderAnswer },
    /// Answer a request for a minted key.
    Minted { query: QueryId, key: Result<String, ErrorKind> },
}

/// The state machine of one process.
#[derive(Clone)]
pub enum TrialMachine {
    /// Claims held by a majority.
    Majority(Box<OrderCoordinator>),
    /// Claims held by a pair.
    Pair(Box<PairMachine>),
    /// Keys bound to an incarnation.
    Ticket(Box<TicketMachine>),
    /// No claims.
    Delegate(Box<DelegateMachine>),
}

impl TrialMachine {
    /// Creates the machine of a new process.
    pub fn new(
        design: TrialDesign,
        params: &OrderParams,
        identity: InstanceIdentity,
        seed: u64,
    ) -> Self {
        match design {
            TrialDesign::Majority => {
                let signer = HandleSigner::new("trial");
                let coordinator = OrderCoordinator::new(params.clone(), identity, signer, seed);
                Self::Majority(Box::new(coordinator))
            },
            TrialDesign::Pair => Self::Pair(Box::new(PairMachine::new(params.clone(), identity))),
            TrialDesign::Ticket => {
                Self::Ticket(Box::new(TicketMachine::new(params.clone(), identity)))
            },
            TrialDesign::DelegateChecked => Self::Delegate(Box::new(DelegateMachine::new(true))),
            TrialDesign::DelegateUnchecked => Self::Delegate(Box::new(DelegateMachine::new(false))),
        }
    }

    /// Passes an input that is not a message.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<TrialEffect>) {
        match self {
            Self::Majority(coordinator) => {
                let mut own = Vec::new();
                coordinator.handle(now, input, &mut own);
                effects.extend(own.into_iter().filter_map(majority_effect));
            },
            Self::Pair(machine) => machine.handle(now, input, effects),
            Self::Ticket(machine) => machine.handle(now, input, effects),
            Self::Delegate(machine) => machine.handle(now, input, effects),
        }
    }

    /// Passes a message.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: TrialMessage,
        effects: &mut Vec<TrialEffect>,
    ) {
        match (self, message) {
            (machine @ Self::Majority(_), TrialMessage::Majority(message)) => {
                machine.handle(now, OrderInput::Message { from, message }, effects);
            },
            (Self::Pair(machine), TrialMessage::Pair(message)) => {
                machine.receive(now, from, message, effects);
            },
            (Self::Ticket(machine), TrialMessage::Ticket(message)) => {
                machine.receive(now, from, message, effects);
            },
            _ => {},
        }
    }

    /// Returns when the machine must be woken.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self {
            Self::Majority(coordinator) => coordinator.next_wakeup(),
            Self::Pair(machine) => machine.next_wakeup(),
            Self::Ticket(machine) => machine.next_wakeup(),
            Self::Delegate(machine) => machine.next_wakeup(),
        }
    }

    /// Returns the number of partitions that the machine has not synchronised.
    pub fn syncing(&self) -> usize {
        match self {
            Self::Majority(coordinator) => coordinator.syncing(),
            _ => 0,
        }
    }

    /// Checks the invariants of the machine.
    ///
    /// # Errors
    ///
    /// Returns the first violation as text.
    pub fn check(&self) -> Result<(), String> {
        match self {
            Self::Majority(coordinator) => check_invariants(coordinator),
            _ => Ok(()),
        }
    }
}

fn majority_effect(effect: OrderEffect) -> Option<TrialEffect> {
    Some(match effect {
        OrderEffect::Send { to, transport, message } => TrialEffect::Send {
            to,
            reliable: transport == PeerTransport::Stream,
            message: TrialMessage::Majority(message),
        },
        OrderEffect::Run { order, key, permit_deadline, .. } => {
            TrialEffect::Run { order, key, permit_deadline }
        },
        OrderEffect::Answer { order, answer } => TrialEffect::Answer { order, answer },
        OrderEffect::QueryAnswer { query, answer } => TrialEffect::QueryAnswer { query, answer },
        OrderEffect::Minted { query, key } => TrialEffect::Minted { query, key },
        OrderEffect::Synchronised { .. } => return None,
    })
}
