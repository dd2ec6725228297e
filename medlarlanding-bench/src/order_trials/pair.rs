//! Comparison design: each partition has an owner and a successor, which must both grant a claim.
//!
//! After a change of the pair, a member that has the partition's records keeps using them. A new
//! member uses the first copy that a process with records sends.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::ids::{InstanceId, InstanceIdentity};
use medlarlanding_core::orders::{
    AttemptId, OrderAnswer, OrderId, OrderInput, OrderKey, OrderOutcome, OrderParams, OrderResult,
};
use medlarlanding_core::rendezvous;
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceList, ListVersion};

use super::machine::{TrialEffect, TrialMessage};

const PAIR_SIZE: usize = 2;

/// List version, and members with the start times of their processes.
type PairView = (ListVersion, Vec<(InstanceId, u64)>);

/// Records of a partition with the time since their last change.
type PairCopy = Vec<(OrderKey, PairRecord, Duration)>;

/// A recorded claim.
#[derive(Clone, Debug)]
pub struct PairRecord {
    attempt: AttemptId,
    body: [u8; 32],
    outcome: Option<OrderOutcome>,
    /// Time of the last change.
    changed: Timestamp,
}

/// Messages of the pair design.
#[derive(Clone, Debug)]
pub enum PairMessage {
    /// Claims a key.
    Claim { key: OrderKey, attempt: AttemptId, body: [u8; 32], view: PairView },
    /// Response to a claim.
    Reply { key: OrderKey, attempt: AttemptId, verdict: PairVerdict },
    /// Withdraws the claim of an attempt that was not run.
    Withdraw { key: OrderKey, attempt: AttemptId },
    /// Stores the outcome of an attempt.
    Outcome { key: OrderKey, attempt: AttemptId, body: [u8; 32], outcome: OrderOutcome },
    /// Requests copies of partitions.
    Pull { partitions: Vec<u16> },
    /// Carries copies of partitions.
    Copies { copies: Vec<(u16, PairCopy)> },
}

/// Response to a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum PairVerdict {
    /// The claim is recorded. `in_doubt` tells whether the partition may lack earlier claims.
    Granted { in_doubt: bool },
    /// Another attempt has claimed the key.
    Taken { attempt: AttemptId, body: [u8; 32], outcome: Option<OrderOutcome> },
    /// The replica is not synchronised, or has another view than the proposer.
    NotReady,
}

#[derive(Clone, Debug)]
enum PairPhase {
    /// The members are asked for grants.
    Claiming { attempt: u64, view: PairView, verdicts: HashMap<InstanceId, PairVerdict> },
    /// Another attempt has claimed the key and has no outcome yet.
    Waiting { attempt: AttemptId },
    /// All members have granted the claim.
    Permitted { attempt: u64, sent: bool, answered: bool },
}

#[derive(Clone, Debug)]
struct PairOrder {
    key: OrderKey,
    body: [u8; 32],
    deadline: Timestamp,
    permit_deadline: Timestamp,
    /// Time of the next claim or of its next repetition.
    next: Timestamp,
    phase: PairPhase,
}

#[derive(Clone, Debug, Default)]
struct PairPartition {
    view: Option<PairView>,
    /// Whether the process is a member in `view` and has the records.
    synced: bool,
    /// Whether the process was synchronised in some view, so that its records may be used and
    /// copied.
    usable: bool,
    /// Start of the time after which a member without a copy starts empty.
    waiting_since: Timestamp,
    /// Time of the empty start, which brought the partition into doubt.
    doubt_since: Option<Timestamp>,
    records: BTreeMap<OrderKey, PairRecord>,
}

/// State machine of one process: proposer for its callers, owner or successor of partitions.
#[derive(Clone, Debug)]
pub struct PairMachine {
    params: OrderParams,
    identity: InstanceIdentity,
    list: Arc<InstanceList>,
    /// Latest known start time per instance.
    started: BTreeMap<InstanceId, u64>,
    live: BTreeSet<(InstanceId, u64)>,
    partitions: Vec<PairPartition>,
    open: BTreeMap<OrderId, PairOrder>,
    last_attempt: u64,
    next_pull: Option<Timestamp>,
}

impl PairMachine {
    /// Creates the machine of a new process.
    pub fn new(params: OrderParams, identity: InstanceIdentity) -> Self {
        Self {
            partitions: vec![PairPartition::default(); usize::from(params.partitions)],
            params,
            identity,
            list: Arc::default(),
            started: BTreeMap::new(),
            live: BTreeSet::new(),
            open: BTreeMap::new(),
            last_attempt: 0,
            next_pull: None,
        }
    }

    fn own(&self) -> (InstanceId, u64) {
        (self.identity.id, self.identity.incarnation.started)
    }

    fn attempt(&self, number: u64) -> AttemptId {
        let (instance, started) = self.own();
        AttemptId { instance, started, number }
    }

    fn view(&self, partition: u16) -> PairView {
        let entries = self.list.entries.iter().map(|entry| (entry.id, entry.zone));
        let members = rendezvous::spread(u64::from(partition), entries, PAIR_SIZE)
            .into_iter()
            .map(|id| (id, self.started.get(&id).copied().unwrap_or(0)))
            .collect();
        (self.list.version, members)
    }

    /// Handles one input.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<TrialEffect>) {
        match input {
            OrderInput::View { list, live, .. } => self.apply_view(now, list, &live),
            OrderInput::Submit { order, customer, desk, key, body_digest, deadline, .. } => {
                let key = OrderKey::from_text(customer, desk, &key);
                let permit_deadline = deadline.min(now + self.params.permit_limit);
                let phase = self.new_claim(key);
                self.open.insert(
                    order,
                    PairOrder {
                        key,
                        body: body_digest,
                        deadline,
                        permit_deadline,
                        next: now,
                        phase,
                    },
                );
            },
            OrderInput::Sent { order } => {
                if let Some(PairOrder { phase: PairPhase::Permitted { sent, .. }, .. }) =
                    self.open.get_mut(&order)
                {
                    *sent = true;
                }
            },
            OrderInput::Finished { order, result } => self.finished(now, order, result, effects),
            OrderInput::Query { query, .. } => effects.push(TrialEffect::QueryAnswer {
                query,
                answer: OrderAnswer::Refused(ErrorKind::OrderUnknown),
            }),
            OrderInput::Mint { query, .. } => {
                effects.push(TrialEffect::Minted { query, key: Err(ErrorKind::NotReady) });
            },
            _ => {},
        }
        self.tick(now, effects);
    }

    fn apply_view(&mut self, now: Timestamp, list: Arc<InstanceList>, live: &[InstanceIdentity]) {
        if list.version >= self.list.version {
            self.list = list;
        }
        self.live = live.iter().map(|peer| (peer.id, peer.incarnation.started)).collect();
        let own = self.own();
        for (id, started) in self.live.iter().copied().chain([own]) {
            let known = self.started.entry(id).or_default();
            *known = started.max(*known);
        }
        for number in 0..self.partitions.len() as u16 {
            let view = self.view(number);
            let partition = &mut self.partitions[usize::from(number)];
            if partition.view.as_ref() == Some(&view) {
                continue;
            }
            // A member that has records keeps using them.
            let member = view.1.contains(&own);
            let kept = partition.synced || partition.usable;
            partition.usable = kept;
            let was_waiting = partition.view.is_some() && !partition.synced;
            partition.synced = member && kept;
            if !was_waiting {
                partition.waiting_since = now;
            }
            partition.view = Some(view);
            if member && !kept {
                self.next_pull = Some(now);
            }
        }
    }

    fn new_claim(&mut self, key: OrderKey) -> PairPhase {
        self.last_attempt += 1;
        let view = self.view(key.partition(self.params.partitions).0);
        PairPhase::Claiming { attempt: self.last_attempt, view, verdicts: HashMap::new() }
    }

    fn send(
        &mut self,
        now: Timestamp,
        to: InstanceId,
        message: PairMessage,
        effects: &mut Vec<TrialEffect>,
    ) {
        if to == self.identity.id {
            let identity = self.identity;
            self.handle_message(now, identity, message, effects);
        } else {
            let reliable = matches!(message, PairMessage::Copies { .. });
            let message = TrialMessage::Pair(message);
            effects.push(TrialEffect::Send { to, reliable, message });
        }
    }

    /// Handles a message.
    pub fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: PairMessage,
        effects: &mut Vec<TrialEffect>,
    ) {
        self.handle_message(now, from, message, effects);
        self.tick(now, effects);
    }

    fn handle_message(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        message: PairMessage,
        effects: &mut Vec<TrialEffect>,
    ) {
        match message {
            PairMessage::Claim { key, attempt, body, view } => {
                let verdict = self.decide_claim(now, key, attempt, body, &view);
                self.send(now, from.id, PairMessage::Reply { key, attempt, verdict }, effects);
            },
            PairMessage::Reply { key, attempt, verdict } => {
                self.on_reply(now, from, key, attempt, verdict, effects);
            },
            PairMessage::Withdraw { key, attempt } => {
                let records = &mut self.partition_mut(key).records;
                if records
                    .get(&key)
                    .is_some_and(|record| record.attempt == attempt && record.outcome.is_none())
                {
                    records.remove(&key);
                }
            },
            PairMessage::Outcome { key, attempt, body, outcome } => {
                let record = self.partition_mut(key).records.entry(key).or_insert(PairRecord {
                    attempt,
                    body,
                    outcome: None,
                    changed: now,
                });
                if record.attempt == attempt {
                    record.outcome.get_or_insert(outcome);
                    record.changed = now;
                }
            },
            PairMessage::Pull { partitions } => {
                let copies: Vec<_> = partitions
                    .into_iter()
                    .filter_map(|number| {
                        let partition = self.partitions.get(usize::from(number))?;
                        let records = partition
                            .records
                            .iter()
                            .map(|(&key, record)| (key, record.clone(), now.since(record.changed)));
                        let usable = partition.usable || partition.synced;
                        usable.then(|| (number, records.collect()))
                    })
                    .collect();
                if !copies.is_empty() {
                    self.send(now, from.id, PairMessage::Copies { copies }, effects);
                }
            },
            PairMessage::Copies { copies } => {
                for (number, records) in copies {
                    let partition = &mut self.partitions[usize::from(number)];
                    if partition.synced {
                        continue;
                    }
                    for (key, record, age) in records {
                        let changed = now - age;
                        partition.records.entry(key).or_insert(PairRecord { changed, ..record });
                    }
                    partition.synced = true;
                    partition.usable = true;
                }
            },
        }
    }

    fn partition_mut(&mut self, key: OrderKey) -> &mut PairPartition {
        &mut self.partitions[usize::from(key.partition(self.params.partitions).0)]
    }

    fn decide_claim(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        attempt: AttemptId,
        body: [u8; 32],
        view: &PairView,
    ) -> PairVerdict {
        let doubt_limit = self.params.retention + self.params.list_limit;
        let partition = self.partition_mut(key);
        if !partition.synced || partition.view.as_ref() != Some(view) {
            return PairVerdict::NotReady;
        }
        let in_doubt = partition.doubt_since.is_some_and(|since| now.since(since) < doubt_limit);
        match partition.records.get(&key) {
            Some(record) if record.attempt != attempt => PairVerdict::Taken {
                attempt: record.attempt,
                body: record.body,
                outcome: record.outcome.clone(),
            },
            _ => {
                partition.records.entry(key).or_insert(PairRecord {
                    attempt,
                    body,
                    outcome: None,
                    changed: now,
                });
                PairVerdict::Granted { in_doubt }
            },
        }
    }

    fn on_reply(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        key: OrderKey,
        replied: AttemptId,
        verdict: PairVerdict,
        effects: &mut Vec<TrialEffect>,
    ) {
        let own = self.own();
        let current = self.open.iter_mut().find_map(|(&id, open)| match &mut open.phase {
            PairPhase::Claiming { attempt, view, verdicts }
                if (replied.instance, replied.started, replied.number)
                    == (own.0, own.1, *attempt) =>
            {
                Some((id, open.body, open.permit_deadline, view, verdicts))
            },
            _ => None,
        });
        let Some((id, body, permit_deadline, view, verdicts)) = current else { return };
        verdicts.insert(from.id, verdict);
        let taken = verdicts.values().find_map(|verdict| match verdict {
            PairVerdict::Taken { attempt, body, outcome } => {
                Some((*attempt, *body, outcome.clone()))
            },
            _ => None,
        });
        if let Some((attempt, taken_body, outcome)) = taken {
            self.withdraw(now, id, effects);
            let answer = if taken_body != body {
                Some(OrderAnswer::Refused(ErrorKind::KeyReused))
            } else {
                outcome.map(stored_answer)
            };
            match answer {
                Some(answer) => self.answer(id, answer, effects),
                None => {
                    if let Some(open) = self.open.get_mut(&id) {
                        open.phase = PairPhase::Waiting { attempt };
                        open.next = now + Duration::from_millis(200);
                    }
                },
            }
            return;
        }
        let grants: Vec<_> = view
            .1
            .iter()
            .filter_map(|(member, _)| match verdicts.get(member) {
                Some(PairVerdict::Granted { in_doubt }) => Some(*in_doubt),
                _ => None,
            })
            .collect();
        if grants.len() < view.1.len() {
            return;
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        if grants.iter().any(|&in_doubt| in_doubt) {
            self.withdraw(now, id, effects);
            self.answer(id, OrderAnswer::Refused(ErrorKind::OrderInDoubt), effects);
        } else if now <= permit_deadline
            && let PairPhase::Claiming { attempt, .. } = open.phase
        {
            open.phase = PairPhase::Permitted { attempt, sent: false, answered: false };
            effects.push(TrialEffect::Run { order: id, key, permit_deadline });
        }
    }

    /// Withdraws the current claim of an order that was not run.
    fn withdraw(&mut self, now: Timestamp, id: OrderId, effects: &mut Vec<TrialEffect>) {
        let Some(open) = self.open.get(&id) else { return };
        let (PairPhase::Claiming { attempt, .. } | PairPhase::Permitted { attempt, .. }) =
            open.phase
        else {
            return;
        };
        let (key, attempt) = (open.key, self.attempt(attempt));
        for (member, _) in self.view(key.partition(self.params.partitions).0).1 {
            self.send(now, member, PairMessage::Withdraw { key, attempt }, effects);
        }
    }

    fn answer(&mut self, id: OrderId, answer: OrderAnswer, effects: &mut Vec<TrialEffect>) {
        if self.open.remove(&id).is_some() {
            effects.push(TrialEffect::Answer { order: id, answer });
        }
    }

    fn finished(
        &mut self,
        now: Timestamp,
        id: OrderId,
        result: OrderResult,
        effects: &mut Vec<TrialEffect>,
    ) {
        let Some(open) = self.open.get(&id) else { return };
        let PairPhase::Permitted { attempt, answered, .. } = open.phase else { return };
        let (key, body, attempt) = (open.key, open.body, self.attempt(attempt));
        let (answer, outcome) = match result {
            OrderResult::NotSent(kind) => {
                self.withdraw(now, id, effects);
                (OrderAnswer::Refused(kind), None)
            },
            OrderResult::Answered { status, body } => (
                OrderAnswer::Answered { status, body: body.clone(), stored: false },
                Some(OrderOutcome::Answered { status, body }),
            ),
            OrderResult::Unknown => {
                (OrderAnswer::Refused(ErrorKind::OrderUnknown), Some(OrderOutcome::Unknown))
            },
        };
        if answered {
            self.open.remove(&id);
        } else {
            self.answer(id, answer, effects);
        }
        if let Some(outcome) = outcome {
            for (member, _) in self.view(key.partition(self.params.partitions).0).1 {
                let outcome = outcome.clone();
                let message = PairMessage::Outcome { key, attempt, body, outcome };
                self.send(now, member, message, effects);
            }
        }
    }

    fn tick(&mut self, now: Timestamp, effects: &mut Vec<TrialEffect>) {
        let keep = self.params.record_retention();
        for partition in &mut self.partitions {
            partition.records.retain(|_, record| now.since(record.changed) < keep);
        }
        self.tick_sync(now, effects);
        let ids: Vec<_> = self.open.keys().copied().collect();
        for id in ids {
            self.tick_order(now, id, effects);
        }
    }

    /// Requests missing copies, and starts partitions empty that have waited too long for them.
    fn tick_sync(&mut self, now: Timestamp, effects: &mut Vec<TrialEffect>) {
        let Some(next) = self.next_pull else { return };
        let own = self.own();
        let mut missing = Vec::new();
        for (number, partition) in self.partitions.iter_mut().enumerate() {
            let member = partition.view.as_ref().is_some_and(|view| view.1.contains(&own));
            if !member || partition.synced {
                continue;
            }
            if now.since(partition.waiting_since) >= self.params.empty_start_delay {
                partition.synced = true;
                partition.usable = true;
                partition.doubt_since = Some(now);
            } else {
                missing.push(number as u16);
            }
        }
        if missing.is_empty() {
            self.next_pull = None;
        } else if now >= next {
            self.next_pull = Some(now + Duration::from_millis(250));
            let others: Vec<_> = self.live.iter().copied().filter(|&peer| peer != own).collect();
            for (id, _) in others {
                let message = PairMessage::Pull { partitions: missing.clone() };
                self.send(now, id, message, effects);
            }
        }
    }

    fn tick_order(&mut self, now: Timestamp, id: OrderId, effects: &mut Vec<TrialEffect>) {
        let Some(open) = self.open.get_mut(&id) else { return };
        let (permit_passed, deadline_passed) = (now >= open.permit_deadline, now >= open.deadline);
        match &mut open.phase {
            PairPhase::Claiming { .. } if permit_passed => {
                self.withdraw(now, id, effects);
                self.answer(id, OrderAnswer::Refused(ErrorKind::NoQuorum), effects);
            },
            PairPhase::Claiming { .. } if now >= open.next => {
                open.next = now + Duration::from_millis(100);
                let (key, body) = (open.key, open.body);
                let view = self.view(key.partition(self.params.partitions).0);
                let Some(open) = self.open.get_mut(&id) else { return };
                let PairPhase::Claiming { attempt, view: known, verdicts } = &mut open.phase else {
                    return;
                };
                if *known != view {
                    *known = view.clone();
                    verdicts.clear();
                }
                let targets: Vec<_> = view
                    .1
                    .iter()
                    .map(|&(member, _)| member)
                    .filter(|member| {
                        verdicts.get(member).is_none_or(|verdict| *verdict == PairVerdict::NotReady)
                    })
                    .collect();
                let number = *attempt;
                let attempt = self.attempt(number);
                for member in targets {
                    let view = view.clone();
                    let message = PairMessage::Claim { key, attempt, body, view };
                    self.send(now, member, message, effects);
                }
            },
            PairPhase::Waiting { .. } if deadline_passed => {
                let answer = OrderAnswer::Refused(ErrorKind::DuplicateInProgress);
                self.answer(id, answer, effects);
            },
            PairPhase::Waiting { attempt } if now >= open.next => {
                if !self.live.contains(&(attempt.instance, attempt.started)) {
                    self.answer(id, OrderAnswer::Refused(ErrorKind::OrderUnknown), effects);
                    return;
                }
                let (key, next) = (open.key, now);
                let phase = self.new_claim(key);
                if let Some(open) = self.open.get_mut(&id) {
                    open.phase = phase;
                    open.next = next;
                }
            },
            PairPhase::Permitted { sent: true, answered, .. } if deadline_passed && !*answered => {
                *answered = true;
                let answer = OrderAnswer::Refused(ErrorKind::OrderUnknown);
                effects.push(TrialEffect::Answer { order: id, answer });
            },
            _ => {},
        }
    }

    /// Returns when the machine next needs a `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let orders = self.open.values().filter_map(|open| match open.phase {
            PairPhase::Claiming { .. } => Some(open.next.min(open.permit_deadline)),
            PairPhase::Waiting { .. } => Some(open.next.min(open.deadline)),
            PairPhase::Permitted { sent: true, answered: false, .. } => Some(open.deadline),
            PairPhase::Permitted { .. } => None,
        });
        Timestamp::earliest(orders.min(), self.next_pull)
    }
}

fn stored_answer(outcome: OrderOutcome) -> OrderAnswer {
    match outcome {
        OrderOutcome::Answered { status, body } => {
            OrderAnswer::Answered { status, body, stored: true }
        },
        OrderOutcome::Large { status } => OrderAnswer::AnswerLost { status },
        OrderOutcome::Unknown => OrderAnswer::Refused(ErrorKind::OrderUnknown),
    }
}
