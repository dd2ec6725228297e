//! Comparison design: no claims; only the service can recognise repeated keys.

use std::collections::BTreeMap;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::orders::{OrderAnswer, OrderId, OrderInput, OrderKey, OrderResult};
use medlarlanding_core::time::Timestamp;

use super::machine::TrialEffect;

/// Most times that an order is sent while its answer is missing.
const MAX_SENDS: u32 = 3;

#[derive(Clone, Debug)]
struct DelegatedOrder {
    key: OrderKey,
    deadline: Timestamp,
    sends: u32,
    answered: bool,
}

/// State machine of one process, which sends every order immediately.
#[derive(Clone, Debug)]
pub struct DelegateMachine {
    /// Whether an order without an answer is sent again.
    repeats: bool,
    open: BTreeMap<OrderId, DelegatedOrder>,
}

impl DelegateMachine {
    /// Creates the machine of a new process. `checks_keys` tells whether the services recognise
    /// repeated keys.
    pub fn new(checks_keys: bool) -> Self {
        Self { repeats: checks_keys, open: BTreeMap::new() }
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<TrialEffect>) {
        match input {
            OrderInput::Submit { order, customer, desk, key, deadline, .. } => {
                let key = OrderKey::from_text(customer, desk, &key);
                let open = DelegatedOrder { key, deadline, sends: 1, answered: false };
                self.open.insert(order, open);
                effects.push(TrialEffect::Run { order, key, permit_deadline: deadline });
            },
            OrderInput::Finished { order, result } => self.finished(now, order, result, effects),
            OrderInput::Query { query, .. } => effects.push(TrialEffect::QueryAnswer {
                query,
                answer: OrderAnswer::Refused(ErrorKind::OrderUnknown),
            }),
            OrderInput::Mint { query, .. } => {
                effects.push(TrialEffect::Minted { query, key: Err(ErrorKind::NotReady) });
            },
            OrderInput::Tick => {
                for (&order, open) in &mut self.open {
                    if now >= open.deadline && !open.answered {
                        open.answered = true;
                        let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                        effects.push(TrialEffect::Answer { order, answer });
                    }
                }
            },
            _ => {},
        }
    }

    fn finished(
        &mut self,
        now: Timestamp,
        order: OrderId,
        result: OrderResult,
        effects: &mut Vec<TrialEffect>,
    ) {
        let Some(open) = self.open.get_mut(&order) else { return };
        let answer = match result {
            OrderResult::Answered { status, body } => {
                OrderAnswer::Answered { status, body, stored: false }
            },
            OrderResult::NotSent(kind) if open.sends == 1 => OrderAnswer::Refused(kind),
            _ if self.repeats && open.sends < MAX_SENDS && now < open.deadline => {
                open.sends += 1;
                let (key, permit_deadline) = (open.key, open.deadline);
                effects.push(TrialEffect::Run { order, key, permit_deadline });
                return;
            },
            _ => OrderAnswer::Refused(ErrorKind::OrderUnknown),
        };
        if !open.answered {
            effects.push(TrialEffect::Answer { order, answer });
        }
        self.open.remove(&order);
    }

    /// Returns when the machine next needs a `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.open.values().filter(|open| !open.answered).map(|open| open.deadline).min()
    }
}
