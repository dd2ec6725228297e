//! Claims the keys of the callers' orders and reports their outcomes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::coordinator::{OrderEffect, Outbox};
use super::group::{GroupMember, GroupView};
use super::keys::{AttemptId, BodyDigest, OrderId, OrderKey};
use super::messages::{AttemptState, ClaimVerdict, OrderMessage, OrderOutcome};
use super::replica::{ReplicaTable, StepContext};
use super::results::ResultStore;
use crate::errors::{ErrorKind, RunState};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::time::Timestamp;

value_type! {
    /// Result of an order that the runtime was told to run.
    pub enum OrderResult {
        /// The backend server's answer was received completely.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
        },
        /// A byte may have been sent, and no complete answer was received.
        Unknown,
        /// No byte was sent. The kind has the run state `NotRun`.
        NotSent(ErrorKind),
    }
}

value_type! {
    /// Answer to a caller's order or query.
    pub enum OrderAnswer {
        /// The answer of the backend server.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
            /// Whether the answer was produced for an earlier request with the same key.
            stored: bool,
        },
        /// The order was run earlier. Its answer exceeded `OrderParams::answer_limit`, and the
        /// proposer that stored it has not supplied it.
        AnswerLost {
            /// HTTP status of the answer.
            status: u16,
        },
        /// The order was refused.
        Refused(ErrorKind),
    }
}

impl OrderAnswer {
    /// Creates the answer to a request whose key has a recorded outcome.
    pub(super) fn from_outcome(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Answered { status, body } => {
                Self::Answered { status, body, stored: true }
            },
            OrderOutcome::Large { status } => Self::AnswerLost { status },
            OrderOutcome::Unknown => Self::Refused(ErrorKind::OrderUnknown),
        }
    }

    /// Returns whether the order was run, according to the answer.
    pub fn run_state(&self) -> RunState {
        match self {
            Self::Answered { .. } | Self::AnswerLost { .. } => RunState::Ran,
            Self::Refused(kind) => kind.descriptor().run,
        }
    }
}

/// A submitted order.
#[derive(Clone, Debug)]
pub(super) struct NewOrder {
    pub(super) key: OrderKey,
    pub(super) body: BodyDigest,
    /// The epoch in a minted key; `None` for other keys.
    pub(super) epoch: Option<u64>,
    pub(super) deadline: Timestamp,
    pub(super) service_checks_keys: bool,
}

/// An attempt of another order, of this or another proposer, that holds the key at some replica.
#[derive(Clone, Debug)]
struct KeyHolder {
    attempt: AttemptId,
    body: BodyDigest,
    /// HTTP status of its answer, if only its proposer stores the answer.
    large_status: Option<u16>,
}

#[derive(Clone, Debug)]
enum OrderPhase {
    /// Collects grants in one view for the attempt `number`. The claims are sent again at `next`.
    Claiming {
        number: u64,
        view: GroupView,
        verdicts: HashMap<InstanceId, ClaimVerdict>,
        next: Timestamp,
        interval: Duration,
    },
    /// Waits for the outcome of another attempt. Its proposer is asked again at `next`.
    Waiting { holders: Vec<KeyHolder>, next: Timestamp },
    /// Waits before the next attempt.
    Delayed { until: Timestamp },
    /// The attempt `number` holds the key, and the runtime was told to run the order. `answered`:
    /// the caller's deadline passed after the order was sent, and the caller was answered then.
    Permitted { number: u64, sent: bool, answered: bool },
}

#[derive(Clone, Debug)]
struct OpenOrder {
    order: NewOrder,
    /// Latest time to send the first byte.
    permit_deadline: Timestamp,
    phase: OrderPhase,
}

/// Decision that follows from the collected verdicts.
enum ClaimDecision {
    Undecided,
    /// A quorum has granted the claim. `fence` is the list version of the view.
    Granted {
        in_doubt: bool,
        fence: u64,
    },
    /// Other attempts hold the key; their proposers must be asked for the outcome.
    Taken(Vec<KeyHolder>),
    /// Another attempt on the key has this outcome.
    Outcome {
        body: BodyDigest,
        outcome: OrderOutcome,
    },
    Refused(ErrorKind),
}

/// Open orders and results of one process's proposer.
#[derive(Clone, Debug, Default)]
pub(super) struct ProposerTable {
    open: BTreeMap<OrderId, OpenOrder>,
    /// Orders by the number of their current attempt.
    attempts: HashMap<u64, OrderId>,
    last_attempt: u64,
    pub(super) results: ResultStore,
}

impl ProposerTable {
    /// Returns the number of open orders.
    pub(super) fn open(&self) -> usize {
        self.open.len()
    }

    /// Returns the number of orders by phase: claiming, waiting, delayed, permitted.
    pub(super) fn phases(&self) -> [usize; 4] {
        let mut counts = [0; 4];
        for open in self.open.values() {
            counts[match open.phase {
                OrderPhase::Claiming { .. } => 0,
                OrderPhase::Waiting { .. } => 1,
                OrderPhase::Delayed { .. } => 2,
                OrderPhase::Permitted { .. } => 3,
            }] += 1;
        }
        counts
    }

    /// Returns whether `attempts` contains exactly the attempts of the open orders, and none of
    /// them has a result yet.
    pub(super) fn is_consistent(&self) -> bool {
        let running = self.open.iter().filter_map(|(&id, open)| match open.phase {
            OrderPhase::Claiming { number, .. } | OrderPhase::Permitted { number, .. } => {
                Some((number, id))
            },
            _ => None,
        });
        running.clone().count() == self.attempts.len()
            && running.clone().all(|(number, id)| self.attempts.get(&number) == Some(&id))
            && running.clone().all(|(number, _)| self.results.get(number).is_none())
    }

    fn attempt(own: InstanceIdentity, number: u64) -> AttemptId {
        AttemptId { instance: own.id, started: own.incarnation.started, number }
    }

    /// Adds a new order and starts to claim its key.
    pub(super) fn submit(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        order: NewOrder,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        debug_assert!(!self.open.contains_key(&id), "order ids must be unique");
        let permit_deadline = order.deadline.min(context.now + context.params.permit_limit);
        let phase = OrderPhase::Delayed { until: context.now };
        self.open.insert(id, OpenOrder { order, permit_deadline, phase });
        self.start_claim(context, id, replica, outbox);
    }

    fn start_claim(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(view) = replica.view(open.order.key.partition(context.params.partitions)) else {
            self.answer(id, OrderAnswer::Refused(ErrorKind::NotReady), outbox);
            return;
        };
        self.last_attempt += 1;
        self.attempts.insert(self.last_attempt, id);
        open.phase = OrderPhase::Claiming {
            number: self.last_attempt,
            view: view.clone(),
            verdicts: HashMap::new(),
            next: context.now,
            interval: context.params.retry,
        };
        self.send_claims(context, id, outbox);
    }

    /// Sends the claim to the members that have not decided about it.
    fn send_claims(&mut self, context: &StepContext<'_>, id: OrderId, outbox: &mut Outbox<'_>) {
        let Some(OpenOrder { order, phase, .. }) = self.open.get_mut(&id) else { return };
        let OrderPhase::Claiming { number, view, verdicts, next, interval } = phase else { return };
        for member in &view.members {
            if verdicts.get(&member.id).is_none_or(|verdict| *verdict == ClaimVerdict::NotReady) {
                outbox.send(
                    member.id,
                    OrderMessage::Claim {
                        key: order.key,
                        attempt: Self::attempt(context.own, *number),
                        body: order.body,
                        epoch: order.epoch,
                        view: view.clone(),
                    },
                );
            }
        }
        *next = context.now + *interval;
        *interval = (*interval * 2).min(context.params.retry_max);
    }

    /// Withdraws the current attempt, which was not run and never will be.
    fn withdraw(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        outbox: &mut Outbox<'_>,
        replica: &ReplicaTable,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let number = match open.phase {
            OrderPhase::Claiming { number, .. } => number,
            OrderPhase::Permitted { number, sent: false, .. } => number,
            _ => return,
        };
        self.attempts.remove(&number);
        open.phase = OrderPhase::Delayed { until: context.now };
        let key = open.order.key;
        let members =
            replica.view(key.partition(context.params.partitions)).map(|view| &view.members);
        for member in members.into_iter().flatten() {
            let attempt = Self::attempt(context.own, number);
            outbox.send(member.id, OrderMessage::Withdraw { key, attempt });
        }
    }

    fn answer(&mut self, id: OrderId, answer: OrderAnswer, outbox: &mut Outbox<'_>) {
        if let Some(open) = self.open.remove(&id) {
            debug_assert!(
                !matches!(open.phase, OrderPhase::Claiming { .. }),
                "a claim must be withdrawn before its order is answered"
            );
            outbox.effect(OrderEffect::Answer { order: id, answer });
        }
    }

    /// Handles a replica's response to a claim.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_claim_reply(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceIdentity,
        key: OrderKey,
        attempt: AttemptId,
        verdict: ClaimVerdict,
        replica: &mut ReplicaTable,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        if let ClaimVerdict::Stale { view } | ClaimVerdict::Granted { view, .. } = &verdict {
            replica.advance_view(context, key.partition(context.params.partitions), view);
        }
        if !attempt.is_of(context.own) {
            return;
        }
        let Some(&id) = self.attempts.get(&attempt.number) else {
            // A late grant for an abandoned attempt would block the key.
            let abandoned = self.results.get(attempt.number).is_none();
            if abandoned && matches!(verdict, ClaimVerdict::Granted { .. }) {
                outbox.send(from.id, OrderMessage::Withdraw { key, attempt });
            }
            return;
        };
        let Some(OpenOrder { phase: OrderPhase::Claiming { view, verdicts, .. }, .. }) =
            self.open.get_mut(&id)
        else {
            return;
        };
        match &verdict {
            ClaimVerdict::Stale { .. } => return,
            // Only grants in the claim's current view count.
            ClaimVerdict::Granted { view: granted, .. } if granted != view => return,
            _ => {},
        }
        if view.contains(GroupMember::of(from)) {
            verdicts.insert(from.id, verdict);
            self.act_on_verdicts(context, id, replica, rng, outbox);
        }
    }

    fn evaluate_verdicts(context: &StepContext<'_>, open: &OpenOrder) -> ClaimDecision {
        let OrderPhase::Claiming { view, verdicts, .. } = &open.phase else {
            return ClaimDecision::Undecided;
        };
        let quorum = view.quorum();
        let doubt_limit_ms = context.params.doubt_limit().as_millis() as u64;
        let (mut granted, mut in_doubt, mut refused) = (0, true, 0);
        let (mut full, mut other_epoch) = (false, false);
        let mut holders: Vec<KeyHolder> = Vec::new();
        let ordered = view.members.iter().filter_map(|member| verdicts.get(&member.id));
        for verdict in ordered {
            match verdict {
                ClaimVerdict::Granted { doubt_age_ms, .. } => {
                    granted += 1;
                    // One replica that is not in doubt suffices: its records include every earlier
                    // claim.
                    in_doubt &= doubt_age_ms.is_some_and(|age_ms| age_ms < doubt_limit_ms);
                },
                ClaimVerdict::Taken {
                    attempt,
                    body,
                    outcome: Some(OrderOutcome::Large { status }),
                } => {
                    // Only its proposer stores the answer.
                    let holder =
                        KeyHolder { attempt: *attempt, body: *body, large_status: Some(*status) };
                    return ClaimDecision::Taken(vec![holder]);
                },
                ClaimVerdict::Taken { body, outcome: Some(outcome), .. } => {
                    return ClaimDecision::Outcome { body: *body, outcome: outcome.clone() };
                },
                ClaimVerdict::Taken { attempt, body, outcome: None } => {
                    refused += 1;
                    if holders.iter().all(|holder| holder.attempt != *attempt) {
                        holders.push(KeyHolder {
                            attempt: *attempt,
                            body: *body,
                            large_status: None,
                        });
                    }
                },
                ClaimVerdict::OtherEpoch => {
                    refused += 1;
                    other_epoch = true;
                },
                ClaimVerdict::Full => {
                    refused += 1;
                    full = true;
                },
                ClaimVerdict::NotReady | ClaimVerdict::Stale { .. } => {},
            }
        }
        if granted >= quorum {
            ClaimDecision::Granted { in_doubt, fence: view.version.0 }
        } else if view.members.len() - refused >= quorum {
            ClaimDecision::Undecided
        } else if !holders.is_empty() {
            ClaimDecision::Taken(holders)
        } else if other_epoch {
            ClaimDecision::Refused(ErrorKind::OrderInDoubt)
        } else {
            debug_assert!(full);
            ClaimDecision::Refused(ErrorKind::ClaimsFull)
        }
    }

    /// Acts on the verdicts collected so far for a claim.
    fn act_on_verdicts(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Claiming { number, .. } = open.phase else { return };
        match Self::evaluate_verdicts(context, open) {
            ClaimDecision::Undecided => {},
            ClaimDecision::Granted { in_doubt, fence } => {
                let order = &open.order;
                if in_doubt && order.epoch.is_none() && !order.service_checks_keys {
                    self.refuse(context, id, ErrorKind::OrderInDoubt, replica, outbox);
                } else if context.now > open.permit_deadline {
                    self.refuse(context, id, ErrorKind::DeadlineNotRun, replica, outbox);
                } else if !context.suspended {
                    open.phase = OrderPhase::Permitted { number, sent: false, answered: false };
                    outbox.effect(OrderEffect::Run {
                        order: id,
                        key: open.order.key,
                        fence,
                        permit_deadline: open.permit_deadline,
                    });
                }
            },
            ClaimDecision::Outcome { body, outcome } => {
                let reused = body != open.order.body;
                self.withdraw(context, id, outbox, replica);
                let answer = if reused {
                    OrderAnswer::Refused(ErrorKind::KeyReused)
                } else {
                    OrderAnswer::from_outcome(outcome)
                };
                self.answer(id, answer, outbox);
            },
            ClaimDecision::Taken(holders) => {
                self.withdraw(context, id, outbox, replica);
                // The random delay also separates proposers after a split vote.
                let delay = rng.random_range(0..=context.params.split_delay.as_micros() as u64 / 4);
                let next = context.now + Duration::from_micros(delay);
                if let Some(open) = self.open.get_mut(&id) {
                    open.phase = OrderPhase::Waiting { holders, next };
                }
                self.poll_holders(context, id, outbox);
            },
            ClaimDecision::Refused(kind) => self.refuse(context, id, kind, replica, outbox),
        }
    }

    fn refuse(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        kind: ErrorKind,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        self.withdraw(context, id, outbox, replica);
        self.answer(id, OrderAnswer::Refused(kind), outbox);
    }

    /// Asks the proposers of the attempts that hold the key. Answers the order if none of these
    /// proposers is alive.
    fn poll_holders(&mut self, context: &StepContext<'_>, id: OrderId, outbox: &mut Outbox<'_>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Waiting { holders, next } = &mut open.phase else { return };
        let is_alive = |attempt: AttemptId| {
            attempt.is_of(context.own) || context.groups.is_live(attempt.instance, attempt.started)
        };
        let alive: Vec<_> = holders.iter().filter(|holder| is_alive(holder.attempt)).collect();
        if alive.is_empty() {
            let answer = Self::without_outcome(holders, open.order.body, ErrorKind::OrderUnknown);
            self.answer(id, answer, outbox);
            return;
        }
        if context.now >= *next {
            for holder in alive {
                let attempt = holder.attempt;
                outbox
                    .send(attempt.instance, OrderMessage::Status { key: open.order.key, attempt });
            }
            *next = context.now + context.params.status_poll;
        }
    }

    /// Returns the answer to an order whose key is held by other attempts and whose outcome cannot
    /// be learnt.
    fn without_outcome(holders: &[KeyHolder], body: BodyDigest, kind: ErrorKind) -> OrderAnswer {
        if holders.iter().all(|holder| holder.body != body) {
            return OrderAnswer::Refused(ErrorKind::KeyReused);
        }
        match holders.iter().find_map(|holder| holder.large_status) {
            Some(status) => OrderAnswer::AnswerLost { status },
            None => OrderAnswer::Refused(kind),
        }
    }

    /// Returns the state of an attempt.
    pub(super) fn status(&self, context: &StepContext<'_>, attempt: AttemptId) -> AttemptState {
        if !attempt.is_of(context.own) {
            AttemptState::Foreign
        } else if let Some(outcome) = self.results.get(attempt.number) {
            AttemptState::Done(outcome)
        } else if self.attempts.contains_key(&attempt.number) {
            AttemptState::Running
        } else {
            AttemptState::Withdrawn
        }
    }

    /// Handles the state of another attempt, as reported by its proposer.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_status_reply(
        &mut self,
        context: &StepContext<'_>,
        key: OrderKey,
        attempt: AttemptId,
        state: &AttemptState,
        replica: &ReplicaTable,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let waiting: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| open.order.key == key)
            .filter(|(_, open)| {
                matches!(&open.phase, OrderPhase::Waiting { holders, .. }
                    if holders.iter().any(|holder| holder.attempt == attempt))
            })
            .map(|(&id, _)| id)
            .collect();
        if waiting.is_empty() {
            return;
        }
        if *state == AttemptState::Withdrawn {
            let view = replica.view(key.partition(context.params.partitions));
            for member in view.into_iter().flat_map(|view| &view.members) {
                outbox.send(member.id, OrderMessage::Withdraw { key, attempt });
            }
        }
        for id in waiting {
            let Some(open) = self.open.get_mut(&id) else { continue };
            let OrderPhase::Waiting { holders, .. } = &mut open.phase else { continue };
            match state {
                AttemptState::Running | AttemptState::Foreign => {},
                AttemptState::Withdrawn => {
                    holders.retain(|holder| holder.attempt != attempt);
                    if holders.is_empty() {
                        let limit = context.params.split_delay.as_micros() as u64;
                        let delay = Duration::from_micros(rng.random_range(0..=limit));
                        open.phase = OrderPhase::Delayed { until: context.now + delay };
                    }
                },
                AttemptState::Done(outcome) => {
                    let reused = holders
                        .iter()
                        .any(|holder| holder.attempt == attempt && holder.body != open.order.body);
                    let answer = if reused {
                        OrderAnswer::Refused(ErrorKind::KeyReused)
                    } else {
                        OrderAnswer::from_outcome(outcome.clone())
                    };
                    self.answer(id, answer, outbox);
                },
            }
        }
    }

    /// Records that the runtime is about to send the order.
    pub(super) fn sent(&mut self, id: OrderId) {
        if let Some(OpenOrder { phase: OrderPhase::Permitted { sent, .. }, .. }) =
            self.open.get_mut(&id)
        {
            debug_assert!(!*sent, "an order must be sent only once");
            *sent = true;
        }
    }

    /// Handles the result of an order that the runtime was told to run.
    pub(super) fn finished(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        result: OrderResult,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Permitted { number, sent, answered } = &mut open.phase else {
            debug_assert!(false, "only permitted orders can finish");
            return;
        };
        let (number, answered) = (*number, *answered);
        let (outcome, answer) = match result {
            OrderResult::NotSent(kind) => {
                debug_assert_eq!(kind.descriptor().run, RunState::NotRun);
                *sent = false;
                self.withdraw(context, id, outbox, replica);
                if answered {
                    self.open.remove(&id);
                } else {
                    self.answer(id, OrderAnswer::Refused(kind), outbox);
                }
                return;
            },
            OrderResult::Answered { status, body } => (
                OrderOutcome::Answered { status, body: body.clone() },
                OrderAnswer::Answered { status, body, stored: false },
            ),
            OrderResult::Unknown => {
                (OrderOutcome::Unknown, OrderAnswer::Refused(ErrorKind::OrderUnknown))
            },
        };
        let (key, body) = (open.order.key, open.order.body);
        self.attempts.remove(&number);
        self.results.insert(context.now, context.params, number, key, body, outcome);
        if answered {
            self.open.remove(&id);
        } else {
            self.answer(id, answer, outbox);
        }
    }

    /// Moves claims to the current view, repeats messages and enforces deadlines.
    pub(super) fn tick(
        &mut self,
        context: &StepContext<'_>,
        replica: &mut ReplicaTable,
        recheck_claims: bool,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let views_advanced = std::mem::take(&mut replica.views_advanced);
        let ids: Vec<_> = self.open.keys().copied().collect();
        for id in ids {
            self.tick_order(context, id, replica, views_advanced, recheck_claims, rng, outbox);
        }
        let own = Self::attempt(context.own, 0);
        self.results.tick(context.now, context.params, own, replica, outbox);
    }

    #[allow(clippy::too_many_arguments)]
    fn tick_order(
        &mut self,
        context: &StepContext<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        views_advanced: bool,
        recheck_claims: bool,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let permit_passed = context.now >= open.permit_deadline;
        let deadline_passed = context.now >= open.order.deadline;
        match &mut open.phase {
            OrderPhase::Claiming { .. } if permit_passed => {
                self.refuse(context, id, ErrorKind::NoQuorum, replica, outbox);
            },
            OrderPhase::Claiming { view, verdicts, next, interval, .. } => {
                let current = replica.view(open.order.key.partition(context.params.partitions));
                if views_advanced && current.is_some_and(|current| current != view) {
                    if let Some(current) = current {
                        *view = current.clone();
                    }
                    verdicts.clear();
                    *next = context.now;
                    *interval = context.params.retry;
                }
                if context.now >= *next {
                    self.send_claims(context, id, outbox);
                }
                if recheck_claims {
                    self.act_on_verdicts(context, id, replica, rng, outbox);
                }
            },
            OrderPhase::Waiting { holders, .. } if deadline_passed => {
                let kind = ErrorKind::DuplicateInProgress;
                let answer = Self::without_outcome(holders, open.order.body, kind);
                self.answer(id, answer, outbox);
            },
            OrderPhase::Waiting { .. } => self.poll_holders(context, id, outbox),
            OrderPhase::Delayed { .. } if permit_passed => {
                self.refuse(context, id, ErrorKind::DeadlineNotRun, replica, outbox);
            },
            OrderPhase::Delayed { until } => {
                if context.now >= *until {
                    self.start_claim(context, id, replica, outbox);
                }
            },
            OrderPhase::Permitted { sent: true, answered, .. } if deadline_passed && !*answered => {
                *answered = true;
                outbox.effect(OrderEffect::Answer {
                    order: id,
                    answer: OrderAnswer::Refused(ErrorKind::OrderUnknown),
                });
            },
            OrderPhase::Permitted { .. } => {},
        }
    }

    /// Returns when `tick` is due.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let orders = self.open.values().filter_map(|open| match &open.phase {
            OrderPhase::Claiming { next, .. } => Some((*next).min(open.permit_deadline)),
            OrderPhase::Waiting { next, .. } => Some((*next).min(open.order.deadline)),
            OrderPhase::Delayed { until } => Some((*until).min(open.permit_deadline)),
            OrderPhase::Permitted { sent: true, answered: false, .. } => Some(open.order.deadline),
            OrderPhase::Permitted { .. } => None,
        });
        Timestamp::earliest(orders.min(), self.results.next_wakeup())
    }

    /// Returns the number of the last attempt, which is also the number of attempts made.
    pub(super) fn last_attempt(&self) -> u64 {
        self.last_attempt
    }
}
