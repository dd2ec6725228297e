//! Queries for the outcome of an order.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::coordinator::{OrderEffect, Outbox};
use super::keys::{AttemptId, OrderKey, QueryId};
use super::messages::{AttemptState, CopiedAttempt, OrderMessage, OrderOutcome, SyncedState};
use super::proposer::OrderAnswer;
use super::replica::{ReplicaTable, StepScope};
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
    /// Epoch that a minted key names.
    epoch: Option<u64>,
    deadline: Timestamp,
    replies: HashMap<InstanceIdentity, ReadReply>,
    /// Attempts without a known outcome whose proposers are asked.
    holders: Vec<AttemptId>,
    /// Answer if no attempt is left.
    nothing: ErrorKind,
    /// Status of the answer, if only its proposer stores the answer.
    lost: Option<u16>,
    next: Timestamp,
    interval: Duration,
}

impl OpenQuery {
    /// Returns the answer when nobody tells the outcome.
    fn without_outcome(&self, kind: ErrorKind) -> OrderAnswer {
        match self.lost {
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
        scope: &StepScope<'_>,
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
                nothing: ErrorKind::NotFound,
                lost: None,
                next: scope.now,
                interval: scope.params.retry,
            },
        );
    }

    fn answer(&mut self, id: QueryId, answer: OrderAnswer, outbox: &mut Outbox<'_>) {
        if self.open.remove(&id).is_some() {
            outbox.effect(OrderEffect::QueryAnswer { query: id, answer });
        }
    }

    /// Takes a replica's record.
    pub(super) fn on_reply(
        &mut self,
        scope: &StepScope<'_>,
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
                // Only its proposer can repeat the answer.
                query.lost = Some(status);
                query.holders = vec![attempt];
                query.next = scope.now;
                return;
            },
            Some((_, outcome)) => {
                self.answer(id, OrderAnswer::repeat(outcome), outbox);
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
        let doubt_limit_ms = scope.params.doubt_limit().as_millis() as u64;
        let in_doubt =
            counted().all(|state| state.doubt_age_ms.is_some_and(|age_ms| age_ms < doubt_limit_ms));
        // A minted key of the present epoch can only have been used within it.
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
        query.nothing = if in_doubt { ErrorKind::OrderInDoubt } else { ErrorKind::NotFound };
        if holders.is_empty() {
            let kind = query.nothing;
            self.answer(id, OrderAnswer::Refused(kind), outbox);
        } else {
            query.holders = holders;
            query.next = scope.now;
        }
    }

    /// Takes the state of an attempt.
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
                AttemptState::Done(outcome) => OrderAnswer::repeat(outcome.clone()),
                AttemptState::Foreign => OrderAnswer::Refused(ErrorKind::OrderUnknown),
                AttemptState::Withdrawn => {
                    let Some(query) = self.open.get_mut(&id) else { continue };
                    query.holders.retain(|&holder| holder != attempt);
                    if !query.holders.is_empty() {
                        continue;
                    }
                    OrderAnswer::Refused(query.nothing)
                },
            };
            self.answer(id, answer, outbox);
        }
    }

    /// Repeats questions and enforces deadlines.
    pub(super) fn tick(
        &mut self,
        scope: &StepScope<'_>,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let ids: Vec<_> = self.open.keys().copied().collect();
        for id in ids {
            let Some(query) = self.open.get_mut(&id) else { continue };
            let gone = |attempt: &AttemptId| {
                !attempt.is_of(scope.own)
                    && !scope.groups.is_live(attempt.instance, attempt.started)
            };
            if !query.holders.is_empty() && query.holders.iter().all(gone) {
                let answer = query.without_outcome(ErrorKind::OrderUnknown);
                self.answer(id, answer, outbox);
                continue;
            }
            if scope.now >= query.deadline {
                let kind = if query.holders.is_empty() {
                    ErrorKind::NoQuorum
                } else {
                    ErrorKind::DuplicateInProgress
                };
                let answer = query.without_outcome(kind);
                self.answer(id, answer, outbox);
                continue;
            }
            if scope.now < query.next {
                continue;
            }
            query.next = scope.now + query.interval;
            query.interval = (query.interval * 2).min(scope.params.retry_max);
            let key = query.key;
            for &attempt in query.holders.iter().filter(|holder| !gone(holder)) {
                outbox.send(attempt.instance, OrderMessage::Status { key, attempt });
            }
            if query.holders.is_empty() {
                let started = scope.own.incarnation.started;
                let view = replica.view(key.partition(scope.params.partitions));
                for member in view.into_iter().flat_map(|view| &view.members) {
                    outbox.send(member.id, OrderMessage::Read { query: id, started, key });
                }
            }
        }
    }

    /// Returns when the next step is due.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.open.values().map(|query| query.next.min(query.deadline)).min()
    }
}
