//! Outcomes of the proposer's own attempts and their delivery to the replicas.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::coordinator::Outbox;
use super::keys::{AttemptId, BodyDigest, OrderKey};
use super::messages::{OrderMessage, OrderOutcome};
use super::params::OrderParams;
use super::replica::ReplicaTable;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// Largest answer body in bytes that is sent in a message.
const MESSAGE_ANSWER_LIMIT: usize = 1 << 20;

/// Delivery of one outcome to the replicas of its partition.
#[derive(Clone, Debug)]
struct OutcomeDelivery {
    key: OrderKey,
    body: BodyDigest,
    acknowledged: Vec<InstanceId>,
    until: Timestamp,
    next: Timestamp,
    interval: Duration,
}

impl OutcomeDelivery {
    /// Returns the replicas of the current view that have not acknowledged the outcome.
    fn missing(&self, params: &OrderParams, replica: &ReplicaTable) -> Vec<InstanceId> {
        let view = replica.view(self.key.partition(params.partitions));
        let members = view.into_iter().flat_map(|view| &view.members).map(|member| member.id);
        members.filter(|id| !self.acknowledged.contains(id)).collect()
    }
}

#[derive(Clone, Debug)]
struct OwnResult {
    outcome: OrderOutcome,
}

/// Outcomes of this process's own attempts.
#[derive(Clone, Debug, Default)]
pub(super) struct ResultStore {
    /// By attempt number.
    results: BTreeMap<u64, OwnResult>,
    /// Expiry times with their attempt numbers, earliest first.
    expiry: VecDeque<(Timestamp, u64)>,
    /// Attempt numbers and sizes in bytes of the answers that only this process stores, oldest
    /// first.
    large: VecDeque<(u64, usize)>,
    large_bytes: usize,
    deliveries: BTreeMap<u64, OutcomeDelivery>,
}

impl ResultStore {
    /// Records the outcome of an attempt and starts its delivery.
    pub(super) fn insert(
        &mut self,
        now: Timestamp,
        params: &OrderParams,
        number: u64,
        key: OrderKey,
        body: BodyDigest,
        outcome: OrderOutcome,
    ) {
        if outcome.size() > params.answer_limit {
            self.large_bytes += outcome.size();
            self.large.push_back((number, outcome.size()));
        }
        self.results.insert(number, OwnResult { outcome });
        // The replicas keep the outcome for `record_retention` from its arrival, which is at most
        // `outcome_limit` from now. While they keep it, the result must stay here: an attempt
        // without one is reported as withdrawn.
        self.expiry.push_back((now + params.record_retention() + 2 * params.outcome_limit, number));
        while self.large_bytes > params.large_answer_limit {
            let Some((oldest, size)) = self.large.pop_front() else { break };
            self.large_bytes -= size;
            if let Some(result) = self.results.get_mut(&oldest) {
                result.outcome = drop_large_body(&result.outcome, 0);
            }
        }
        self.deliveries.insert(
            number,
            OutcomeDelivery {
                key,
                body,
                acknowledged: Vec::new(),
                until: now + params.outcome_limit,
                next: now,
                interval: params.retry,
            },
        );
    }

    /// Gets the outcome of an attempt, without its body if that does not fit a message.
    pub(super) fn get(&self, number: u64) -> Option<OrderOutcome> {
        self.results
            .get(&number)
            .map(|result| drop_large_body(&result.outcome, MESSAGE_ANSWER_LIMIT))
    }

    /// Records that a replica stored an outcome. The delivery ends when all replicas have.
    pub(super) fn acknowledge(
        &mut self,
        params: &OrderParams,
        number: u64,
        from: InstanceId,
        replica: &ReplicaTable,
    ) {
        let Some(delivery) = self.deliveries.get_mut(&number) else { return };
        if !delivery.acknowledged.contains(&from) {
            delivery.acknowledged.push(from);
        }
        if delivery.missing(params, replica).is_empty() {
            self.deliveries.remove(&number);
        }
    }

    /// Sends due outcomes to the replicas of the current view and drops expired results.
    pub(super) fn tick(
        &mut self,
        now: Timestamp,
        params: &OrderParams,
        own: AttemptId,
        replica: &ReplicaTable,
        outbox: &mut Outbox<'_>,
    ) {
        let results = &self.results;
        self.deliveries.retain(|&number, delivery| {
            let missing = delivery.missing(params, replica);
            if missing.is_empty() || now >= delivery.until {
                return false;
            }
            if now >= delivery.next {
                let Some(result) = results.get(&number) else { return false };
                for to in missing {
                    outbox.send(
                        to,
                        OrderMessage::Outcome {
                            key: delivery.key,
                            attempt: AttemptId { number, ..own },
                            body: delivery.body,
                            outcome: drop_large_body(&result.outcome, params.answer_limit),
                        },
                    );
                }
                delivery.next = now + delivery.interval;
                delivery.interval = (delivery.interval * 2).min(params.retry_max);
            }
            true
        });
        while let Some(&(at, number)) = self.expiry.front() {
            if now < at {
                break;
            }
            self.expiry.pop_front();
            self.results.remove(&number);
            if let Some(position) = self.large.iter().position(|&(large, _)| large == number)
                && let Some((_, size)) = self.large.remove(position)
            {
                self.large_bytes -= size;
            }
        }
    }

    /// Returns the number of outcomes that some replica has not acknowledged.
    pub(super) fn undelivered(&self) -> usize {
        self.deliveries.len()
    }

    /// Returns when `tick` is due.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        let delivery = self.deliveries.values().map(|delivery| delivery.next.min(delivery.until));
        Timestamp::earliest(delivery.min(), self.expiry.front().map(|&(at, _)| at))
    }
}

/// Copies an outcome. A body of more than `limit` bytes is left out.
fn drop_large_body(outcome: &OrderOutcome, limit: usize) -> OrderOutcome {
    match outcome {
        OrderOutcome::Answered { status, body } if body.len() > limit => {
            OrderOutcome::Large { status: *status }
        },
        outcome => outcome.clone(),
    }
}
