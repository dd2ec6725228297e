//! The proposer of a process: claims keys for its callers' orders and reports outcomes.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::coordinator::{OrderEffect, Outbox};
use super::group::{GroupMember, GroupView};
use super::keys::{AttemptId, BodyDigest, OrderId, OrderKey};
use super::messages::{AttemptState, ClaimVerdict, OrderMessage, OrderOutcome};
use super::replica::{ReplicaTable, StepScope};
use super::results::ResultStore;
use crate::errors::{ErrorKind, RunState};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::time::Timestamp;

value_type! {
    /// What became of an order that the runtime was told to run.
    pub enum OrderResult {
        /// The service answered completely.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
        },
        /// A byte may have been sent and no complete answer was received.
        Unknown,
        /// No byte was sent, for a reason that is answered with `not_run`.
        NotSent(ErrorKind),
    }
}

value_type! {
    /// Answer to a caller's order or query.
    pub enum OrderAnswer {
        /// The service's answer.
        Answered {
            /// HTTP status of the answer.
            status: u16,
            /// Body of the answer.
            body: Vec<u8>,
            /// Whether the answer belongs to an earlier request with the key.
            stored: bool,
        },
        /// The order was run earlier; its answer exceeded the limit for stored answers and
        /// its proposer is gone.
        AnswerLost {
            /// HTTP status of the answer.
            status: u16,
        },
        /// The order was refused.
        Refused(ErrorKind),
    }
}

impl OrderAnswer {
    /// Creates the answer that repeats a recorded outcome.
    pub(super) fn repeat(outcome: OrderOutcome) -> Self {
        match outcome {
            OrderOutcome::Answered { status, body } => {
                Self::Answered { status, body, stored: true }
            },
            OrderOutcome::Large { status } => Self::AnswerLost { status },
            OrderOutcome::Unknown => Self::Refused(ErrorKind::OrderUnknown),
        }
    }

    /// Returns what the answer says about the execution of this request.
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
    /// Epoch that a minted key names.
    pub(super) epoch: Option<u64>,
    pub(super) deadline: Timestamp,
    pub(super) service_checks_keys: bool,
}

/// An earlier attempt on the key by this or another proposer.
#[derive(Clone, Debug)]
struct KeyHolder {
    attempt: AttemptId,
    body: BodyDigest,
    /// Status of its answer, if only its proposer stores the answer.
    lost: Option<u16>,
}

#[derive(Clone, Debug)]
enum OrderPhase {
    /// Collects grants in one view.
    Claiming {
        number: u64,
        view: GroupView,
        verdicts: HashMap<InstanceId, ClaimVerdict>,
        next: Timestamp,
        interval: Duration,
    },
    /// Waits for the outcome of an earlier attempt.
    Waiting { holders: Vec<KeyHolder>, next: Timestamp },
    /// Waits before another attempt.
    Delayed { until: Timestamp },
    /// Holds the claim; the runtime was told to run the order.
    Permitted { number: u64, sent: bool, answered: bool },
}

#[derive(Clone, Debug)]
struct OpenOrder {
    order: NewOrder,
    /// Latest time of the send.
    permit_deadline: Timestamp,
    phase: OrderPhase,
}

/// What the collected verdicts allow.
enum ClaimStep {
    Undecided,
    /// `fence` is the list version of the view.
    Granted {
        in_doubt: bool,
        fence: u64,
    },
    Taken(Vec<KeyHolder>),
    Outcome {
        body: BodyDigest,
        outcome: OrderOutcome,
    },
    Refused(ErrorKind),
}

/// The proposer of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct ProposerTable {
    open: BTreeMap<OrderId, OpenOrder>,
    /// Orders by the number of their present attempt.
    attempts: HashMap<u64, OrderId>,
    last_attempt: u64,
    pub(super) results: ResultStore,
}

impl ProposerTable {
    /// Returns the number of orders that are claimed, awaited or run.
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

    /// Returns whether every open attempt is indexed, and no other.
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

    /// Takes a new order and starts to claim its key.
    pub(super) fn submit(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        order: NewOrder,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        debug_assert!(!self.open.contains_key(&id), "order ids are unique");
        let permit_deadline = order.deadline.min(scope.now + scope.params.permit_limit);
        let phase = OrderPhase::Delayed { until: scope.now };
        self.open.insert(id, OpenOrder { order, permit_deadline, phase });
        self.start_claim(scope, id, replica, outbox);
    }

    fn start_claim(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let Some(view) = replica.view(open.order.key.partition(scope.params.partitions)) else {
            self.answer(id, OrderAnswer::Refused(ErrorKind::NotReady), outbox);
            return;
        };
        self.last_attempt += 1;
        self.attempts.insert(self.last_attempt, id);
        open.phase = OrderPhase::Claiming {
            number: self.last_attempt,
            view: view.clone(),
            verdicts: HashMap::new(),
            next: scope.now,
            interval: scope.params.retry,
        };
        self.send_claims(scope, id, outbox);
    }

    /// Sends the claim to the members that have not decided about it.
    fn send_claims(&mut self, scope: &StepScope<'_>, id: OrderId, outbox: &mut Outbox<'_>) {
        let Some(OpenOrder { order, phase, .. }) = self.open.get_mut(&id) else { return };
        let OrderPhase::Claiming { number, view, verdicts, next, interval } = phase else { return };
        for member in &view.members {
            if verdicts.get(&member.id).is_none_or(|verdict| *verdict == ClaimVerdict::NotReady) {
                outbox.send(
                    member.id,
                    OrderMessage::Claim {
                        key: order.key,
                        attempt: Self::attempt(scope.own, *number),
                        body: order.body,
                        epoch: order.epoch,
                        view: view.clone(),
                    },
                );
            }
        }
        *next = scope.now + *interval;
        *interval = (*interval * 2).min(scope.params.retry_max);
    }

    /// Gives up the present attempt, which was not run and never will be.
    fn withdraw(
        &mut self,
        scope: &StepScope<'_>,
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
        open.phase = OrderPhase::Delayed { until: scope.now };
        let key = open.order.key;
        let members =
            replica.view(key.partition(scope.params.partitions)).map(|view| &view.members);
        for member in members.into_iter().flatten() {
            let attempt = Self::attempt(scope.own, number);
            outbox.send(member.id, OrderMessage::Withdraw { key, attempt });
        }
    }

    fn answer(&mut self, id: OrderId, answer: OrderAnswer, outbox: &mut Outbox<'_>) {
        if let Some(open) = self.open.remove(&id) {
            debug_assert!(
                !matches!(open.phase, OrderPhase::Claiming { .. }),
                "a claim is withdrawn before its order is answered"
            );
            outbox.effect(OrderEffect::Answer { order: id, answer });
        }
    }

    /// Takes a replica's response to a claim.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_claim_reply(
        &mut self,
        scope: &StepScope<'_>,
        from: InstanceIdentity,
        key: OrderKey,
        attempt: AttemptId,
        verdict: ClaimVerdict,
        replica: &mut ReplicaTable,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        if let ClaimVerdict::Stale { view } | ClaimVerdict::Granted { view, .. } = &verdict {
            replica.raise(scope, key.partition(scope.params.partitions), view);
        }
        if !attempt.is_of(scope.own) {
            return;
        }
        let Some(&id) = self.attempts.get(&attempt.number) else {
            // A late grant to an attempt that was given up would block the key.
            let given_up = self.results.get(attempt.number).is_none();
            if given_up && matches!(verdict, ClaimVerdict::Granted { .. }) {
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
            // Grants count only in the view that the claim names.
            ClaimVerdict::Granted { view: granted, .. } if granted != view => return,
            _ => {},
        }
        if view.contains(GroupMember::of(from)) {
            verdicts.insert(from.id, verdict);
            self.consider(scope, id, replica, rng, outbox);
        }
    }

    fn claim_step(scope: &StepScope<'_>, open: &OpenOrder) -> ClaimStep {
        let OrderPhase::Claiming { view, verdicts, .. } = &open.phase else {
            return ClaimStep::Undecided;
        };
        let quorum = view.quorum();
        let doubt_limit_ms = scope.params.doubt_limit().as_millis() as u64;
        let (mut granted, mut in_doubt, mut refused) = (0, true, 0);
        let (mut full, mut other_epoch) = (false, false);
        let mut holders: Vec<KeyHolder> = Vec::new();
        let ordered = view.members.iter().filter_map(|member| verdicts.get(&member.id));
        for verdict in ordered {
            match verdict {
                ClaimVerdict::Granted { doubt_age_ms, .. } => {
                    granted += 1;
                    // A replica without doubt knows every claim that was ever granted.
                    in_doubt &= doubt_age_ms.is_some_and(|age_ms| age_ms < doubt_limit_ms);
                },
                ClaimVerdict::Taken {
                    attempt,
                    body,
                    outcome: Some(OrderOutcome::Large { status }),
                } => {
                    // Only its proposer can repeat the answer.
                    let holder = KeyHolder { attempt: *attempt, body: *body, lost: Some(*status) };
                    return ClaimStep::Taken(vec![holder]);
                },
                ClaimVerdict::Taken { body, outcome: Some(outcome), .. } => {
                    return ClaimStep::Outcome { body: *body, outcome: outcome.clone() };
                },
                ClaimVerdict::Taken { attempt, body, outcome: None } => {
                    refused += 1;
                    if holders.iter().all(|holder| holder.attempt != *attempt) {
                        holders.push(KeyHolder { attempt: *attempt, body: *body, lost: None });
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
            ClaimStep::Granted { in_doubt, fence: view.version.0 }
        } else if view.members.len() - refused >= quorum {
            ClaimStep::Undecided
        } else if !holders.is_empty() {
            ClaimStep::Taken(holders)
        } else if other_epoch {
            ClaimStep::Refused(ErrorKind::OrderInDoubt)
        } else {
            debug_assert!(full);
            ClaimStep::Refused(ErrorKind::ClaimsFull)
        }
    }

    /// Acts on the verdicts collected so far.
    fn consider(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Claiming { number, .. } = open.phase else { return };
        match Self::claim_step(scope, open) {
            ClaimStep::Undecided => {},
            ClaimStep::Granted { in_doubt, fence } => {
                let order = &open.order;
                if in_doubt && order.epoch.is_none() && !order.service_checks_keys {
                    self.refuse(scope, id, ErrorKind::OrderInDoubt, replica, outbox);
                } else if scope.now > open.permit_deadline {
                    self.refuse(scope, id, ErrorKind::DeadlineNotRun, replica, outbox);
                } else if !scope.suspended {
                    open.phase = OrderPhase::Permitted { number, sent: false, answered: false };
                    outbox.effect(OrderEffect::Run {
                        order: id,
                        key: open.order.key,
                        fence,
                        permit_deadline: open.permit_deadline,
                    });
                }
            },
            ClaimStep::Outcome { body, outcome } => {
                let reused = body != open.order.body;
                self.withdraw(scope, id, outbox, replica);
                let answer = if reused {
                    OrderAnswer::Refused(ErrorKind::KeyReused)
                } else {
                    OrderAnswer::repeat(outcome)
                };
                self.answer(id, answer, outbox);
            },
            ClaimStep::Taken(holders) => {
                self.withdraw(scope, id, outbox, replica);
                // The random delay also separates proposers that split the vote.
                let delay = rng.random_range(0..=scope.params.split_delay.as_micros() as u64 / 4);
                let next = scope.now + Duration::from_micros(delay);
                if let Some(open) = self.open.get_mut(&id) {
                    open.phase = OrderPhase::Waiting { holders, next };
                }
                self.poll_holders(scope, id, outbox);
            },
            ClaimStep::Refused(kind) => self.refuse(scope, id, kind, replica, outbox),
        }
    }

    fn refuse(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        kind: ErrorKind,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        self.withdraw(scope, id, outbox, replica);
        self.answer(id, OrderAnswer::Refused(kind), outbox);
    }

    /// Asks the proposers of earlier attempts, or answers if all of them are gone.
    fn poll_holders(&mut self, scope: &StepScope<'_>, id: OrderId, outbox: &mut Outbox<'_>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Waiting { holders, next } = &mut open.phase else { return };
        let is_alive = |attempt: AttemptId| {
            attempt.is_of(scope.own) || scope.groups.is_live(attempt.instance, attempt.started)
        };
        let alive: Vec<_> = holders.iter().filter(|holder| is_alive(holder.attempt)).collect();
        if alive.is_empty() {
            let answer = Self::without_outcome(holders, open.order.body, ErrorKind::OrderUnknown);
            self.answer(id, answer, outbox);
            return;
        }
        if scope.now >= *next {
            for holder in alive {
                let attempt = holder.attempt;
                outbox
                    .send(attempt.instance, OrderMessage::Status { key: open.order.key, attempt });
            }
            *next = scope.now + scope.params.status_poll;
        }
    }

    /// Returns the answer to an order whose key is taken when nobody tells the outcome.
    fn without_outcome(holders: &[KeyHolder], body: BodyDigest, kind: ErrorKind) -> OrderAnswer {
        if holders.iter().all(|holder| holder.body != body) {
            return OrderAnswer::Refused(ErrorKind::KeyReused);
        }
        match holders.iter().find_map(|holder| holder.lost) {
            Some(status) => OrderAnswer::AnswerLost { status },
            None => OrderAnswer::Refused(kind),
        }
    }

    /// Tells what became of one of this process's attempts.
    pub(super) fn status(&self, scope: &StepScope<'_>, attempt: AttemptId) -> AttemptState {
        if !attempt.is_of(scope.own) {
            AttemptState::Foreign
        } else if let Some(outcome) = self.results.get(attempt.number) {
            AttemptState::Done(outcome)
        } else if self.attempts.contains_key(&attempt.number) {
            AttemptState::Running
        } else {
            AttemptState::Withdrawn
        }
    }

    /// Takes the state of an earlier attempt.
    #[allow(clippy::too_many_arguments)]
    pub(super) fn on_status_reply(
        &mut self,
        scope: &StepScope<'_>,
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
            let view = replica.view(key.partition(scope.params.partitions));
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
                        let limit = scope.params.split_delay.as_micros() as u64;
                        let delay = Duration::from_micros(rng.random_range(0..=limit));
                        open.phase = OrderPhase::Delayed { until: scope.now + delay };
                    }
                },
                AttemptState::Done(outcome) => {
                    let reused = holders
                        .iter()
                        .any(|holder| holder.attempt == attempt && holder.body != open.order.body);
                    let answer = if reused {
                        OrderAnswer::Refused(ErrorKind::KeyReused)
                    } else {
                        OrderAnswer::repeat(outcome.clone())
                    };
                    self.answer(id, answer, outbox);
                },
            }
        }
    }

    /// Notes that the runtime is about to send the order.
    pub(super) fn sent(&mut self, id: OrderId) {
        if let Some(OpenOrder { phase: OrderPhase::Permitted { sent, .. }, .. }) =
            self.open.get_mut(&id)
        {
            debug_assert!(!*sent, "an order is sent once");
            *sent = true;
        }
    }

    /// Takes the result of an order that was run, or was not sent after all.
    pub(super) fn finished(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        result: OrderResult,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let OrderPhase::Permitted { number, sent, answered } = &mut open.phase else {
            debug_assert!(false, "only permitted orders finish");
            return;
        };
        let (number, answered) = (*number, *answered);
        let (outcome, answer) = match result {
            OrderResult::NotSent(kind) => {
                debug_assert_eq!(kind.descriptor().run, RunState::NotRun);
                *sent = false;
                self.withdraw(scope, id, outbox, replica);
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
        self.results.insert(scope.now, scope.params, number, key, body, outcome);
        if answered {
            self.open.remove(&id);
        } else {
            self.answer(id, answer, outbox);
        }
    }

    /// Moves claims to the present view, repeats messages and enforces deadlines.
    pub(super) fn tick(
        &mut self,
        scope: &StepScope<'_>,
        replica: &mut ReplicaTable,
        reconsider: bool,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let raised = std::mem::take(&mut replica.raised);
        let ids: Vec<_> = self.open.keys().copied().collect();
        for id in ids {
            self.step(scope, id, replica, raised, reconsider, rng, outbox);
        }
        let own = Self::attempt(scope.own, 0);
        self.results.tick(scope.now, scope.params, own, replica, outbox);
    }

    #[allow(clippy::too_many_arguments)]
    fn step(
        &mut self,
        scope: &StepScope<'_>,
        id: OrderId,
        replica: &ReplicaTable,
        raised: bool,
        reconsider: bool,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let permit_passed = scope.now >= open.permit_deadline;
        let deadline_passed = scope.now >= open.order.deadline;
        match &mut open.phase {
            OrderPhase::Claiming { .. } if permit_passed => {
                self.refuse(scope, id, ErrorKind::NoQuorum, replica, outbox);
            },
            OrderPhase::Claiming { view, verdicts, next, interval, .. } => {
                let current = replica.view(open.order.key.partition(scope.params.partitions));
                if raised && current.is_some_and(|current| current != view) {
                    if let Some(current) = current {
                        *view = current.clone();
                    }
                    verdicts.clear();
                    *next = scope.now;
                    *interval = scope.params.retry;
                }
                if scope.now >= *next {
                    self.send_claims(scope, id, outbox);
                }
                if reconsider {
                    self.consider(scope, id, replica, rng, outbox);
                }
            },
            OrderPhase::Waiting { holders, .. } if deadline_passed => {
                let kind = ErrorKind::DuplicateInProgress;
                let answer = Self::without_outcome(holders, open.order.body, kind);
                self.answer(id, answer, outbox);
            },
            OrderPhase::Waiting { .. } => self.poll_holders(scope, id, outbox),
            OrderPhase::Delayed { .. } if permit_passed => {
                self.refuse(scope, id, ErrorKind::DeadlineNotRun, replica, outbox);
            },
            OrderPhase::Delayed { until } => {
                if scope.now >= *until {
                    self.start_claim(scope, id, replica, outbox);
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

    /// Returns when the next step is due.
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

    /// Returns the number of proposer attempts made.
    pub(super) fn last_attempt(&self) -> u64 {
        self.last_attempt
    }
}
