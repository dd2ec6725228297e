//! Answers queries for the outcome of an order.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::coordinator::{OrderEffect, Outbox};
use super::keys::{AttemptId, OrderKey, QueryId};
use super::messages::{AttemptState, CopiedAttempt, OrderMessage, OrderOutcome, SyncedState};
use super::proposer::OrderAnswer;
use super::replica::{ReplicaTable, StepContext};
use crate::errors::ErrorKind;
use crate::ids::InstanceIdentity;
use crate::time::Timestamp;

#[derive(Clone, Debug)]
struct ReadReply {
    synced: Option<SyncedState>,
    attempts: Vec<CopiedAttempt>,
}

#[derive(Clone, Debug)]
struct OpenQuery {
    key: OrderKey,
    /// The epoch in a minted key; `None` for other keys.
    epoch: Option<u64>,
    deadline: Timestamp,
    replies: HashMap<InstanceIdentity, ReadReply>,
    /// Recorded attempts whose proposers are asked for the outcome.
    holders: Vec<AttemptId>,
    /// Error to answer with if all recorded attempts turn out to be withdrawn.
    no_attempt_error: ErrorKind,
    /// HTTP status of the answer, if only its proposer stores the answer.
    large_status: Option<u16>,
    next: Timestamp,
    interval: Duration,
}

impl OpenQuery {
    /// Returns the answer to a query whose outcome cannot be learnt.
    fn without_outcome(&self, kind: ErrorKind) -> OrderAnswer {
        match self.large_status {
            Some(status) => OrderAnswer::AnswerLost { status },
            None => OrderAnswer::Refused(kind),
        }
    }
}

/// The open queries of one process.
#[derive(Clone, Debug, Default)]
pub(super) struct QueryTable {
    open: BTreeMap<QueryId, OpenQuery>,
}

impl QueryTable {
    /// Returns the number of open queries.
    pub(super) fn open(&self) -> usize {
        self.open.len()
    }

    /// Starts a query.
    pub(super) fn start(
        &mut self,
        context: &StepContext<'_>,
        id: QueryId,
        key: OrderKey,
        epoch: Option<u64>,
        deadline: Timestamp,
    ) {
        self.open.insert(
            id,
            OpenQuery {
                key,
                epoch,
                deadline,
                replies: HashMap::new(),
                holders: Vec::new(),
                no_attempt_error: ErrorKind::NotFound,
                large_status: None,
                next: context.now,
                interval: context.params.retry,
            },
        );
    }

    fn answer(&mut self, id: QueryId, answer: OrderAnswer, outbox: &mut Outbox<'_>) {
        if self.open.remove(&id).is_some() {
            outbox.effect(OrderEffect::QueryAnswer { query: id, answer });
        }
    }

    /// Handles a replica's response to a read.
    pub(super) fn on_reply(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceIdentity,
        id: QueryId,
        synced: Option<SyncedState>,
        attempts: Vec<CopiedAttempt>,
        outbox: &mut Outbox<'_>,
    ) {
        let Some(query) = self.open.get_mut(&id).filter(|query| query.holders.is_empty()) else {
            return;
        };
        let known = attempts.iter().find_map(|entry| Some((entry.attempt, entry.outcome.clone()?)));
        query.replies.insert(from, ReadReply { synced, attempts });
        match known {
            Some((attempt, OrderOutcome::Large { status })) => {
                // Only its proposer stores the answer.
                query.large_status = Some(status);
                query.holders = vec![attempt];
                query.next = context.now;
                return;
            },
            Some((_, outcome)) => {
                self.answer(id, OrderAnswer::from_outcome(outcome), outbox);
                return;
            },
            None => {},
        }
        let synced = || query.replies.values().filter_map(|reply| reply.synced.as_ref());
        let Some(view) = synced()
            .map(|state| &state.view)
            .find(|&view| synced().filter(|state| state.view == *view).count() >= view.quorum())
        else {
            return;
        };
        let counted = || synced().filter(|state| state.view == *view);
        let doubt_limit_ms = context.params.doubt_limit().as_millis() as u64;
        let in_doubt =
            counted().all(|state| state.doubt_age_ms.is_some_and(|age_ms| age_ms < doubt_limit_ms));
        // A key minted in the current epoch cannot have been used before it.
        let in_doubt = match query.epoch {
            Some(epoch) => counted().all(|state| state.epoch != epoch),
            None => in_doubt,
        };
        let mut holders: Vec<_> = query
            .replies
            .values()
            .flat_map(|reply| reply.attempts.iter().map(|entry| entry.attempt))
            .collect();
        holders.sort_unstable();
        holders.dedup();
        query.no_attempt_error =
            if in_doubt { ErrorKind::OrderInDoubt } else { ErrorKind::NotFound };
        if holders.is_empty() {
            let kind = query.no_attempt_error;
            self.answer(id, OrderAnswer::Refused(kind), outbox);
        } else {
            query.holders = holders;
            query.next = context.now;
        }
    }

    /// Handles the state of an attempt, as reported by its proposer.
    pub(super) fn on_status_reply(
        &mut self,
        key: OrderKey,
        attempt: AttemptId,
        state: &AttemptState,
        outbox: &mut Outbox<'_>,
    ) {
        let asking: Vec<_> = self
            .open
            .iter()
            .filter(|(_, query)| query.key == key && query.holders.contains(&attempt))
            .map(|(&id, _)| id)
            .collect();
        for id in asking {
            let answer = match state {
                AttemptState::Running => OrderAnswer::Refused(ErrorKind::DuplicateInProgress),
                AttemptState::Done(outcome) => OrderAnswer::from_outcome(outcome.clone()),
                AttemptState::Foreign => OrderAnswer::Refused(ErrorKind::OrderUnknown),
                AttemptState::Withdrawn => {
                    let Some(query) = self.open.get_mut(&id) else { continue };
                    query.holders.retain(|&holder| holder != attempt);
                    if !query.holders.is_empty() {
                        continue;
                    }
                    OrderAnswer::Refused(query.no_attempt_error)
                },
            };
            self.answer(id, answer, outbox);
        }
    }

    /// Repeats reads and status requests and enforces deadlines.
    pub(super) fn tick(
        &mut self,
        context: &StepContext<'_>,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let ids: Vec<_> = self.open.keys().copied().collect();
        for id in ids {
            let Some(query) = self.open.get_mut(&id) else { continue };
            let gone = |attempt: &AttemptId| {
                !attempt.is_of(context.own)
                    && !context.groups.is_live(attempt.instance, attempt.started)
            };
            if !query.holders.is_empty() && query.holders.iter().all(gone) {
                let answer = query.without_outcome(ErrorKind::OrderUnknown);
                self.answer(id, answer, outbox);
                continue;
            }
            if context.now >= query.deadline {
                let kind = if query.holders.is_empty() {
                    ErrorKind::NoQuorum
                } else {
                    ErrorKind::DuplicateInProgress
                };
                let answer = query.without_outcome(kind);
                self.answer(id, answer, outbox);
                continue;
            }
            if context.now < query.next {
                continue;
            }
            query.next = context.now + query.interval;
            query.interval = (query.interval * 2).min(context.params.retry_max);
            let key = query.key;
            for &attempt in query.holders.iter().filter(|holder| !gone(holder)) {
                outbox.send(attempt.instance, OrderMessage::Status { key, attempt });
            }
            if query.holders.is_empty() {
                let started = context.own.incarnation.started;
                let view = replica.view(key.partition(context.params.partitions));
                for member in view.into_iter().flat_map(|view| &view.members) {
                    outbox.send(member.id, OrderMessage::Read { query: id, started, key });
                }
            }
        }
    }

    /// Returns when `tick` is due.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.open.values().map(|query| query.next.min(query.deadline)).min()
    }
}
