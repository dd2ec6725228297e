//! State machine that handles the orders of one process: inputs in, effects out.

use std::sync::Arc;
use std::time::Duration;

use postcard::ser_flavors::Size;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::age::AgeReading;
use super::group::GroupTable;
use super::keys::{BodyDigest, OrderId, OrderKey, PartitionId, QueryId};
use super::messages::{AttemptState, OrderMessage};
use super::minting;
use super::params::OrderParams;
use super::proposer::{NewOrder, OrderAnswer, OrderResult, ProposerTable};
use super::queries::QueryTable;
use super::replica::{ReplicaTable, StepContext};
use crate::errors::ErrorKind;
use crate::handles::HandleSigner;
use crate::ids::{CustomerId, DeskId, InstanceId, InstanceIdentity};
use crate::time::Timestamp;
use crate::views::{InstanceList, ListVersion};
use crate::wire::{DATAGRAM_LIMIT, PeerTransport};

/// Upper bound in bytes for the frame around an `OrderMessage`.
const FRAME_OVERHEAD: usize = 100;

/// Inputs of [`OrderCoordinator::handle`].
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// The instance list and the processes that failure detection considers alive. Ends the
    /// suspension after `Paused`. A list of a lower version than the current one is ignored.
    View {
        /// The list in force.
        list: Arc<InstanceList>,
        /// Live processes; may include this one.
        live: Vec<InstanceIdentity>,
        /// Time since the platform confirmed the list, directly or through peers.
        list_age: Duration,
    },
    /// The list in force was confirmed as the latest.
    ListConfirmed {
        /// Best known time since the platform confirmed the list.
        age: Duration,
    },
    /// A caller submits an order. Answered by exactly one `Answer`.
    Submit {
        /// Number assigned by the runtime; unique within the process.
        order: OrderId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
        /// The idempotency key.
        key: String,
        /// BLAKE3 digest of the body.
        body_digest: [u8; 32],
        /// Time by which the caller must be answered.
        deadline: Timestamp,
        /// Whether the desk's backend server checks idempotency keys itself.
        service_checks_keys: bool,
    },
    /// The order of a `Run` effect is about to be sent. The runtime checks the permit
    /// deadline, passes this input and then sends the first byte.
    Sent {
        /// The order.
        order: OrderId,
    },
    /// A `Run` effect is completed. Passed exactly once per `Run`, with or without `Sent`.
    Finished {
        /// The order.
        order: OrderId,
        /// Its result.
        result: OrderResult,
    },
    /// A caller asks for the outcome of an order. Answered by exactly one `QueryAnswer`.
    Query {
        /// Number assigned by the runtime; unique within the process.
        query: QueryId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
        /// The idempotency key.
        key: String,
        /// Time by which the caller must be answered.
        deadline: Timestamp,
    },
    /// A caller asks for a minted key. Answered by exactly one `Minted`.
    Mint {
        /// Number assigned by the runtime; unique within the process.
        query: QueryId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
    },
    /// A message from another instance.
    Message {
        /// The process that sent it.
        from: InstanceIdentity,
        /// The message.
        message: OrderMessage,
    },
    /// The process was paused, so its views may be outdated. Until the next `View`, no claim is
    /// granted and no order is run.
    Paused,
    /// The process is about to end. New orders are refused from now on.
    Drain,
    /// The time returned by `next_wakeup` has been reached.
    Tick,
}

/// Effects of [`OrderCoordinator::handle`], which the runtime performs in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// Sends a message, which may be lost, repeated or reordered.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The transport: datagrams for messages that fit one, streams for larger ones.
        transport: PeerTransport,
        /// The message.
        message: OrderMessage,
    },
    /// Sends the order to its backend server once.
    Run {
        /// The order.
        order: OrderId,
        /// The order's stable id, for `x-order-id`.
        key: OrderKey,
        /// List version of the claim's view, for `x-fence`.
        fence: u64,
        /// Latest time to send the first byte. After it, the order must not be sent and is
        /// finished with `NotSent(DeadlineNotRun)`.
        permit_deadline: Timestamp,
    },
    /// Answers the caller of an order.
    Answer {
        /// The order.
        order: OrderId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Answers the caller of a query.
    QueryAnswer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Answers a request for a minted key.
    Minted {
        /// The request.
        query: QueryId,
        /// The key, or why none was minted.
        key: Result<String, ErrorKind>,
    },
    /// Reports that a partition was synchronised in a new view. For logs and metrics only.
    Synchronised {
        /// The partition.
        partition: PartitionId,
        /// List version of the view.
        version: ListVersion,
        /// Whether the partition is in doubt.
        in_doubt: bool,
    },
}

/// Collects the effects of one input.
pub(super) struct Outbox<'a> {
    own: InstanceId,
    effects: &'a mut Vec<OrderEffect>,
    /// Messages from this process to itself, which are delivered without the network.
    local: Vec<OrderMessage>,
}

impl Outbox<'_> {
    pub(super) fn send(&mut self, to: InstanceId, message: OrderMessage) {
        if to == self.own {
            self.local.push(message);
            return;
        }
        let transport = transport_for(&message);
        self.effects.push(OrderEffect::Send { to, transport, message });
    }

    pub(super) fn effect(&mut self, effect: OrderEffect) {
        self.effects.push(effect);
    }
}

fn transport_for(message: &OrderMessage) -> PeerTransport {
    match postcard::serialize_with_flavor(message, Size::default()) {
        Ok(size) if size + FRAME_OVERHEAD <= DATAGRAM_LIMIT => PeerTransport::Datagram,
        _ => PeerTransport::Stream,
    }
}

/// Creates the [`StepContext`] of a coordinator. A macro, unlike a method, borrows single fields,
/// so the other fields can be changed while the context is in use.
macro_rules! context {
    ($own:ident) => {
        StepContext {
            now: $own.now,
            own: $own.identity,
            params: &$own.params,
            groups: &$own.groups,
            confirmed: $own.confirmed,
            suspended: $own.suspended,
        }
    };
}

/// Handles the at-most-once orders of one process, as proposer and as replica.
#[derive(Clone)]
pub struct OrderCoordinator {
    pub(super) params: OrderParams,
    pub(super) identity: InstanceIdentity,
    signer: HandleSigner,
    rng: SmallRng,
    pub(super) groups: GroupTable,
    pub(super) replica: ReplicaTable,
    pub(super) proposer: ProposerTable,
    pub(super) queries: QueryTable,
    /// Last confirmation of the list in force.
    pub(super) confirmed: Option<AgeReading>,
    /// Whether the process waits for a new `View` after a pause.
    pub(super) suspended: bool,
    pub(super) draining: bool,
    /// Time of the last input.
    pub(super) now: Timestamp,
}

impl OrderCoordinator {
    /// Creates the coordinator of a process that has no instance list yet.
    pub fn new(
        params: OrderParams,
        identity: InstanceIdentity,
        signer: HandleSigner,
        seed: u64,
    ) -> Self {
        Self {
            replica: ReplicaTable::new(&params),
            params,
            identity,
            signer,
            rng: SmallRng::seed_from_u64(seed),
            groups: GroupTable::default(),
            proposer: ProposerTable::default(),
            queries: QueryTable::default(),
            confirmed: None,
            suspended: false,
            draining: false,
            now: Timestamp::default(),
        }
    }

    /// Handles one input and appends its effects.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<OrderEffect>) {
        self.now = self.now.max(now);
        let mut outbox = Outbox { own: self.identity.id, effects, local: Vec::new() };
        let mut due = self.next_due().is_some_and(|at| at <= self.now);
        let mut recheck_claims = false;
        match input {
            OrderInput::View { list, live, list_age } => {
                self.apply_view(&list, &live, list_age);
                due = true;
                recheck_claims = true;
            },
            OrderInput::ListConfirmed { age } => self.confirm(age),
            OrderInput::Submit {
                order,
                customer,
                desk,
                key,
                body_digest,
                deadline,
                service_checks_keys,
            } => {
                let (key, epoch) = self.order_key(customer, desk, &key);
                let body = BodyDigest::from(body_digest);
                let new = NewOrder { key, body, epoch, deadline, service_checks_keys };
                self.submit(order, new, &mut outbox);
            },
            OrderInput::Sent { order } => self.proposer.sent(order),
            OrderInput::Finished { order, result } => {
                let context = context!(self);
                self.proposer.finished(&context, order, result, &self.replica, &mut outbox);
                due = true;
            },
            OrderInput::Query { query, customer, desk, key, deadline } => {
                let (key, epoch) = self.order_key(customer, desk, &key);
                let context = context!(self);
                self.queries.start(&context, query, key, epoch, deadline);
                due = true;
            },
            OrderInput::Mint { query, customer, desk } => {
                let context = context!(self);
                let rng = &mut self.rng;
                let key = minting::mint(&context, &self.replica, &self.signer, customer, desk, rng);
                outbox.effect(OrderEffect::Minted { query, key });
            },
            OrderInput::Message { from, message } => self.receive(from, message, &mut outbox),
            OrderInput::Paused => self.suspended = true,
            OrderInput::Drain => self.draining = true,
            OrderInput::Tick => due = true,
        }
        self.run_due_steps(due, recheck_claims, &mut outbox);
    }

    fn apply_view(&mut self, list: &Arc<InstanceList>, live: &[InstanceIdentity], age: Duration) {
        let version = self.groups.version();
        let first = self.confirmed.is_none();
        let list = if first || list.version >= version { list } else { &self.groups.list() };
        let fresh = list.version >= version;
        let own = self.identity;
        let partitions = self.params.partitions;
        let mut changed = self.groups.update(list, live, partitions);
        changed |= self.groups.record_start(own.id, own.incarnation.started);
        self.suspended = false;
        if changed {
            // `confirmed` still belongs to the previous list here. It tells how long the replica
            // granted claims in its previous view.
            let context = context!(self);
            self.replica.refresh_views(&context);
        }
        if first || list.version > version {
            self.confirmed = Some(AgeReading::new(age, self.now));
        } else if fresh {
            self.confirm(age);
        }
    }

    fn confirm(&mut self, age: Duration) {
        if let Some(confirmed) = &mut self.confirmed
            && confirmed.age(self.now) > age
        {
            *confirmed = AgeReading::new(age, self.now);
        }
    }

    fn order_key(&self, customer: CustomerId, desk: DeskId, text: &str) -> (OrderKey, Option<u64>) {
        match self.signer.open_key(text) {
            Some(key) if key.customer == customer && key.desk == desk => {
                (OrderKey::from_minted(&key), Some(key.epoch))
            },
            _ => (OrderKey::from_text(customer, desk, text), None),
        }
    }

    fn submit(&mut self, id: OrderId, order: NewOrder, outbox: &mut Outbox<'_>) {
        let refusal = if self.draining {
            Some(ErrorKind::Draining)
        } else if self.now >= order.deadline {
            Some(ErrorKind::DeadlineNotRun)
        } else {
            None
        };
        match refusal {
            Some(kind) => {
                outbox.effect(OrderEffect::Answer { order: id, answer: OrderAnswer::Refused(kind) })
            },
            None => {
                let context = context!(self);
                self.proposer.submit(&context, id, order, &self.replica, outbox);
            },
        }
    }

    fn receive(&mut self, from: InstanceIdentity, message: OrderMessage, outbox: &mut Outbox<'_>) {
        let context = context!(self);
        let (replica, rng) = (&mut self.replica, &mut self.rng);
        match message {
            OrderMessage::Claim { key, attempt, body, epoch, view } => {
                let verdict = replica.on_claim(&context, key, attempt, body, epoch, &view);
                outbox.send(from.id, OrderMessage::ClaimReply { key, attempt, verdict });
            },
            OrderMessage::ClaimReply { key, attempt, verdict } => {
                let proposer = &mut self.proposer;
                proposer
                    .on_claim_reply(&context, from, key, attempt, verdict, replica, rng, outbox);
            },
            OrderMessage::Withdraw { key, attempt } => {
                replica.on_withdraw(self.now, key, attempt);
            },
            OrderMessage::Outcome { key, attempt, body, outcome } => {
                replica.on_outcome(self.now, key, attempt, body, outcome);
                outbox.send(from.id, OrderMessage::OutcomeAck { attempt });
            },
            OrderMessage::OutcomeAck { attempt } => {
                if attempt.is_of(self.identity) {
                    let results = &mut self.proposer.results;
                    results.acknowledge(&self.params, attempt.number, from.id, replica);
                }
            },
            OrderMessage::Status { key, attempt } => {
                let state = self.proposer.status(&context, attempt);
                outbox.send(from.id, OrderMessage::StatusReply { key, attempt, state });
            },
            OrderMessage::StatusReply { key, attempt, state } => {
                // Only the proposer itself knows the state of its attempt.
                if attempt.is_of(from) || state == AttemptState::Foreign {
                    let (proposer, queries) = (&mut self.proposer, &mut self.queries);
                    proposer.on_status_reply(&context, key, attempt, &state, replica, rng, outbox);
                    queries.on_status_reply(key, attempt, &state, outbox);
                }
            },
            OrderMessage::Read { query, started, key } => {
                let reply = replica.on_read(&context, query, started, key);
                outbox.send(from.id, reply);
            },
            OrderMessage::ReadReply { query, started, synced, attempts } => {
                if started == self.identity.incarnation.started {
                    self.queries.on_reply(&context, from, query, synced, attempts, outbox);
                }
            },
            OrderMessage::Pull(pulls) => replica.on_pulls(&context, from.id, pulls, outbox),
            OrderMessage::Copies(copies) => replica.on_copies(&context, from, copies, rng, outbox),
            OrderMessage::Lineages(lineages) => {
                for lineage in &lineages {
                    replica.on_lineage(&context, from.id, lineage);
                }
            },
        }
    }

    /// Runs the steps that are due and delivers the process's messages to itself, until no
    /// message is left. `recheck_claims` evaluates all open claims again.
    fn run_due_steps(&mut self, mut due: bool, mut recheck_claims: bool, outbox: &mut Outbox<'_>) {
        loop {
            let context = context!(self);
            if due {
                self.replica.tick(&context, &mut self.rng, outbox);
                self.queries.tick(&context, &self.replica, outbox);
            }
            if due || recheck_claims || self.replica.views_advanced {
                let (replica, rng) = (&mut self.replica, &mut self.rng);
                self.proposer.tick(&context, replica, recheck_claims, rng, outbox);
            }
            self.replica.send_pulls(&context, outbox);
            (due, recheck_claims) = (false, false);
            let local = std::mem::take(&mut outbox.local);
            if local.is_empty() && !self.replica.views_advanced {
                break;
            }
            for message in local {
                self.receive(self.identity, message, outbox);
            }
        }
    }

    fn next_due(&self) -> Option<Timestamp> {
        let context = context!(self);
        let replica = self.replica.next_wakeup(&context);
        let own = Timestamp::earliest(self.proposer.next_wakeup(), self.queries.next_wakeup());
        Timestamp::earliest(replica, own)
    }

    /// Returns when `handle` must be called with `Tick`, unless another input arrives earlier.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.next_due()
    }

    /// Returns the number of open orders, open queries and outcomes that some replica has not
    /// acknowledged. A draining process can end when this is 0.
    pub fn open_work(&self) -> usize {
        self.proposer.open() + self.proposer.results.undelivered() + self.queries.open()
    }

    /// Returns the number of partitions that this process has yet to synchronise.
    pub fn syncing(&self) -> usize {
        self.replica.syncing()
    }
}
