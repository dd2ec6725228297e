//! The state machine of one process: takes inputs, returns effects.

use std::sync::Arc;
use std::time::Duration;

use postcard::ser_flavors::Size;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::aged::AgedMoment;
use super::group::GroupTable;
use super::keys::{BodyDigest, OrderId, OrderKey, PartitionId, QueryId};
use super::messages::{AttemptState, OrderMessage};
use super::minting;
use super::params::OrderParams;
use super::proposer::{NewOrder, OrderAnswer, OrderResult, ProposerTable};
use super::queries::QueryTable;
use super::replica::{ReplicaTable, StepScope};
use crate::errors::ErrorKind;
use crate::handles::HandleSigner;
use crate::ids::{CustomerId, DeskId, InstanceId, InstanceIdentity};
use crate::time::Timestamp;
use crate::views::{InstanceList, ListVersion};
use crate::wire::{DATAGRAM_LIMIT, PeerTransport};

/// Bytes of a datagram that the frame around an `OrderMessage` may need.
const FRAME_OVERHEAD: usize = 100;

/// Inputs of [`OrderCoordinator::handle`].
#[derive(Clone, Debug)]
pub enum OrderInput {
    /// The instance list and the processes that failure detection holds alive. Also ends the
    /// suspension after `Woke`. Lists of lower versions than the present one are ignored.
    View {
        /// The list in force.
        list: Arc<InstanceList>,
        /// Live processes, with or without this one.
        live: Vec<InstanceIdentity>,
        /// Time since the list was confirmed, by the platform or by way of peers.
        list_age: Duration,
    },
    /// The list in force was confirmed as the latest, `age` ago.
    ListConfirmed {
        /// Time since the platform confirmed the list, as far as known.
        age: Duration,
    },
    /// A caller submits an order. Responded to with exactly one `Answer`.
    Submit {
        /// Number that the runtime gives the order; unique within the process.
        order: OrderId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
        /// The idempotency key.
        key: String,
        /// BLAKE3 digest of the body.
        body_digest: [u8; 32],
        /// When the caller's request must be answered.
        deadline: Timestamp,
        /// Whether the desk's service checks idempotency keys itself.
        service_checks_keys: bool,
    },
    /// The order of a `Run` effect is about to be sent. The runtime checks the permit
    /// deadline, passes this input and only then sends the first byte.
    Sent {
        /// The order.
        order: OrderId,
    },
    /// A `Run` effect is done. Passed exactly once per `Run`, with or without `Sent`.
    Finished {
        /// The order.
        order: OrderId,
        /// What became of it.
        result: OrderResult,
    },
    /// A caller asks for the outcome of an order. Responded to with one `QueryAnswer`.
    Query {
        /// Number that the runtime gives the query; unique within the process.
        query: QueryId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
        /// The idempotency key.
        key: String,
        /// When the caller's request must be answered.
        deadline: Timestamp,
    },
    /// A caller asks for a minted key. Responded to with one `Minted`.
    Mint {
        /// Number that the runtime gives the request; unique within the process.
        query: QueryId,
        /// The customer.
        customer: CustomerId,
        /// The desk.
        desk: DeskId,
    },
    /// A message of another instance.
    Message {
        /// The process that sent it.
        from: InstanceIdentity,
        /// The message.
        message: OrderMessage,
    },
    /// The process was paused. Until the next `View` no claim is granted and no order run.
    Woke,
    /// New orders are refused from now on.
    Drain,
    /// The time that `next_wakeup` returned has come.
    Tick,
}

/// Effects of [`OrderCoordinator::handle`], to be performed in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum OrderEffect {
    /// Send a message. It may be lost, repeated or reordered.
    Send {
        /// The receiver.
        to: InstanceId,
        /// The transport, chosen by size.
        transport: PeerTransport,
        /// The message.
        message: OrderMessage,
    },
    /// Send the order to its plain service once.
    Run {
        /// The order.
        order: OrderId,
        /// The order's stable id, for `x-order-id`.
        key: OrderKey,
        /// List version of the claim's view, for `x-fence`.
        fence: u64,
        /// Latest time of the first byte. Once it has passed, the order must not be sent
        /// and is finished with `NotSent(DeadlineNotRun)`.
        permit_deadline: Timestamp,
    },
    /// Answer the caller of an order.
    Answer {
        /// The order.
        order: OrderId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Answer the caller of a query.
    QueryAnswer {
        /// The query.
        query: QueryId,
        /// The answer.
        answer: OrderAnswer,
    },
    /// Answer a request for a minted key.
    Minted {
        /// The request.
        query: QueryId,
        /// The key or the reason for which there is none.
        key: Result<String, ErrorKind>,
    },
    /// A partition was synchronised in a new view. For logs and metrics only.
    Synchronised {
        /// The partition.
        partition: PartitionId,
        /// List version of the view.
        version: ListVersion,
        /// Whether the partition is in doubt.
        in_doubt: bool,
    },
}

/// Collects effects and keeps messages to the own process apart.
pub(super) struct Outbox<'a> {
    own: InstanceId,
    effects: &'a mut Vec<OrderEffect>,
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

/// Borrows what a step may use, so that the parts of the state can be changed beside it.
macro_rules! scope {
    ($own:ident) => {
        StepScope {
            now: $own.now,
            own: $own.identity,
            params: &$own.params,
            groups: &$own.groups,
            confirmed: $own.confirmed,
            suspended: $own.suspended,
        }
    };
}

/// At-most-once orders of one process.
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
    /// Age of the last confirmation of the list in force.
    pub(super) confirmed: Option<AgedMoment>,
    /// Whether the process waits for fresh views after a pause.
    pub(super) suspended: bool,
    pub(super) draining: bool,
    /// Time of the last input.
    pub(super) now: Timestamp,
}

impl OrderCoordinator {
    /// Creates the state machine of a process that knows nothing yet.
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

    /// Takes one input and appends its effects.
    pub fn handle(&mut self, now: Timestamp, input: OrderInput, effects: &mut Vec<OrderEffect>) {
        self.now = self.now.max(now);
        let mut outbox = Outbox { own: self.identity.id, effects, local: Vec::new() };
        let mut due = self.next_due().is_some_and(|at| at <= self.now);
        let mut reconsider = false;
        match input {
            OrderInput::View { list, live, list_age } => {
                self.take_view(&list, &live, list_age);
                due = true;
                reconsider = true;
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
                let scope = scope!(self);
                self.proposer.finished(&scope, order, result, &self.replica, &mut outbox);
                due = true;
            },
            OrderInput::Query { query, customer, desk, key, deadline } => {
                let (key, epoch) = self.order_key(customer, desk, &key);
                let scope = scope!(self);
                self.queries.start(&scope, query, key, epoch, deadline);
                due = true;
            },
            OrderInput::Mint { query, customer, desk } => {
                let scope = scope!(self);
                let rng = &mut self.rng;
                let key = minting::mint(&scope, &self.replica, &self.signer, customer, desk, rng);
                outbox.effect(OrderEffect::Minted { query, key });
            },
            OrderInput::Message { from, message } => self.receive(from, message, &mut outbox),
            OrderInput::Woke => self.suspended = true,
            OrderInput::Drain => self.draining = true,
            OrderInput::Tick => due = true,
        }
        self.settle(due, reconsider, &mut outbox);
    }

    fn take_view(&mut self, list: &Arc<InstanceList>, live: &[InstanceIdentity], age: Duration) {
        let version = self.groups.version();
        let first = self.confirmed.is_none();
        let list = if first || list.version >= version { list } else { &self.groups.list() };
        let fresh = list.version >= version;
        let own = self.identity;
        let partitions = self.params.partitions;
        let mut changed = self.groups.update(list, live, partitions);
        changed |= self.groups.note_started(own.id, own.incarnation.started);
        self.suspended = false;
        if changed {
            // Uses the confirmation of the list before this one.
            let scope = scope!(self);
            self.replica.refresh_views(&scope);
        }
        if first || list.version > version {
            self.confirmed = Some(AgedMoment::new(age, self.now));
        } else if fresh {
            self.confirm(age);
        }
    }

    fn confirm(&mut self, age: Duration) {
        if let Some(confirmed) = &mut self.confirmed
            && confirmed.age(self.now) > age
        {
            *confirmed = AgedMoment::new(age, self.now);
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
                let scope = scope!(self);
                self.proposer.submit(&scope, id, order, &self.replica, outbox);
            },
        }
    }

    fn receive(&mut self, from: InstanceIdentity, message: OrderMessage, outbox: &mut Outbox<'_>) {
        let scope = scope!(self);
        let (replica, rng) = (&mut self.replica, &mut self.rng);
        match message {
            OrderMessage::Claim { key, attempt, body, epoch, view } => {
                let verdict = replica.on_claim(&scope, key, attempt, body, epoch, &view);
                outbox.send(from.id, OrderMessage::ClaimReply { key, attempt, verdict });
            },
            OrderMessage::ClaimReply { key, attempt, verdict } => {
                let proposer = &mut self.proposer;
                proposer.on_claim_reply(&scope, from, key, attempt, verdict, replica, rng, outbox);
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
                let state = self.proposer.status(&scope, attempt);
                outbox.send(from.id, OrderMessage::StatusReply { key, attempt, state });
            },
            OrderMessage::StatusReply { key, attempt, state } => {
                // Only the proposer itself knows what became of its attempt.
                if attempt.is_of(from) || state == AttemptState::Foreign {
                    let (proposer, queries) = (&mut self.proposer, &mut self.queries);
                    proposer.on_status_reply(&scope, key, attempt, &state, replica, rng, outbox);
                    queries.on_status_reply(key, attempt, &state, outbox);
                }
            },
            OrderMessage::Read { query, started, key } => {
                let reply = replica.on_read(&scope, query, started, key);
                outbox.send(from.id, reply);
            },
            OrderMessage::ReadReply { query, started, synced, attempts } => {
                if started == self.identity.incarnation.started {
                    self.queries.on_reply(&scope, from, query, synced, attempts, outbox);
                }
            },
            OrderMessage::Pull(pulls) => replica.on_pulls(&scope, from.id, pulls, outbox),
            OrderMessage::Copies(copies) => replica.on_copies(&scope, from, copies, rng, outbox),
            OrderMessage::Lineages(lineages) => {
                for lineage in &lineages {
                    replica.on_lineage(&scope, from.id, lineage);
                }
            },
        }
    }

    /// Performs the steps that are due and delivers messages to the own process.
    fn settle(&mut self, mut due: bool, mut reconsider: bool, outbox: &mut Outbox<'_>) {
        loop {
            let scope = scope!(self);
            if due {
                self.replica.tick(&scope, &mut self.rng, outbox);
                self.queries.tick(&scope, &self.replica, outbox);
            }
            if due || reconsider || self.replica.raised {
                let (replica, rng) = (&mut self.replica, &mut self.rng);
                self.proposer.tick(&scope, replica, reconsider, rng, outbox);
            }
            self.replica.send_pulls(&scope, outbox);
            (due, reconsider) = (false, false);
            let local = std::mem::take(&mut outbox.local);
            if local.is_empty() && !self.replica.raised {
                break;
            }
            for message in local {
                self.receive(self.identity, message, outbox);
            }
        }
    }

    fn next_due(&self) -> Option<Timestamp> {
        let scope = scope!(self);
        let replica = self.replica.next_wakeup(&scope);
        let own = Timestamp::earliest(self.proposer.next_wakeup(), self.queries.next_wakeup());
        Timestamp::earliest(replica, own)
    }

    /// Returns when `handle` must be called with `Tick`, unless another input comes first.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        self.next_due()
    }

    /// Returns the number of orders and queries that have not been answered or whose outcome
    /// has not reached its replicas. A draining process can end when this is 0.
    pub fn open_work(&self) -> usize {
        self.proposer.open() + self.proposer.results.undelivered() + self.queries.open()
    }

    /// Returns the number of partitions that this process must still synchronise.
    pub fn syncing(&self) -> usize {
        self.replica.syncing()
    }
}
