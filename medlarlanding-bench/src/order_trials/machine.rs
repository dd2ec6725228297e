//! Common interface of the state machines of all designs.

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

/// A design that is to run each order at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TrialDesign {
    /// A claim is granted by a majority of three replicas.
    Majority,
    /// A claim is granted by the owner and the successor of its partition.
    Pair,
    /// A key is bound to the process that issued it, and only that process runs the order.
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

/// A message between processes of the same design.
#[derive(Clone, Debug)]
pub enum TrialMessage {
    /// A message of the majority design.
    Majority(OrderMessage),
    /// A message of the pair design.
    Pair(PairMessage),
    /// A message of the ticket design.
    Ticket(TicketMessage),
}

/// Effects that the simulation performs.
#[derive(Clone, Debug)]
pub enum TrialEffect {
    /// Sends a message.
    Send { to: InstanceId, reliable: bool, message: TrialMessage },
    /// Sends an order to the service.
    Run { order: OrderId, key: OrderKey, permit_deadline: Timestamp },
    /// Answers the caller of an order.
    Answer { order: OrderId, answer: OrderAnswer },
    /// Answers the caller of a query.
    QueryAnswer { query: QueryId, answer: OrderAnswer },
    /// Answers a request for a minted key.
    Minted { query: QueryId, key: Result<String, ErrorKind> },
}

/// The state machine of one process.
#[derive(Clone)]
pub enum TrialMachine {
    /// Of [`TrialDesign::Majority`].
    Majority(Box<OrderCoordinator>),
    /// Of [`TrialDesign::Pair`].
    Pair(Box<PairMachine>),
    /// Of [`TrialDesign::Ticket`].
    Ticket(Box<TicketMachine>),
    /// Of both delegate designs.
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

    /// Handles an input that is not a message.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<TrialEffect>) {
        match self {
            Self::Majority(coordinator) => {
                let mut order_effects = Vec::new();
                coordinator.handle(now, input, &mut order_effects);
                effects.extend(order_effects.into_iter().filter_map(majority_effect));
            },
            Self::Pair(machine) => machine.handle(now, input, effects),
            Self::Ticket(machine) => machine.handle(now, input, effects),
            Self::Delegate(machine) => machine.handle(now, input, effects),
        }
    }

    /// Handles a message.
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

    /// Returns when the machine next needs a `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        match self {
            Self::Majority(coordinator) => coordinator.next_wakeup(),
            Self::Pair(machine) => machine.next_wakeup(),
            Self::Ticket(machine) => machine.next_wakeup(),
            Self::Delegate(machine) => machine.next_wakeup(),
        }
    }

    /// Returns the number of partitions that the process replicates but has not synchronised.
    pub fn syncing(&self) -> usize {
        match self {
            Self::Majority(coordinator) => coordinator.syncing(),
            _ => 0,
        }
    }

    /// Checks the invariants of the majority design.
    ///
    /// # Errors
    ///
    /// Returns a description of the first violation.
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
