//! Runs several order coordinators in one thread over a simulated network.

#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::handles::HandleSigner;
use medlarlanding_core::ids::{
    CustomerId, DeskId, Incarnation, InstanceId, InstanceIdentity, ZoneId,
};
use medlarlanding_core::orders::{
    OrderAnswer, OrderCoordinator, OrderEffect, OrderId, OrderInput, OrderKey, OrderMessage,
    OrderParams, OrderResult, QueryId, check_invariants,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};
use medlarlanding_core::wire::{PeerCodec, PeerFrame, PeerMessage};

pub const CUSTOMER: CustomerId = CustomerId(7);
pub const DESK: DeskId = DeskId(9);

/// A `Run` effect of a node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PermittedRun {
    pub node: usize,
    pub order: OrderId,
    pub key: OrderKey,
    pub fence: u64,
    pub permit_deadline: Timestamp,
}

/// Coordinators with instant, lossless delivery between all nodes that are not isolated.
pub struct Fleet {
    pub now: Timestamp,
    pub params: OrderParams,
    pub nodes: BTreeMap<usize, OrderCoordinator>,
    pub incarnations: BTreeMap<usize, u64>,
    /// Nodes that neither send to nor receive from other nodes.
    pub isolated: Vec<usize>,
    pub runs: Vec<PermittedRun>,
    pub answers: Vec<(usize, OrderId, OrderAnswer)>,
    pub query_answers: Vec<(usize, QueryId, OrderAnswer)>,
    pub minted: Vec<Result<String, medlarlanding_core::ErrorKind>>,
    /// Whether nodes answer pulls without changing their state, as if pulls did not fence them.
    pub forget_pulls: bool,
    codec: Option<PeerCodec>,
    inputs: usize,
    /// Number of messages between different nodes.
    pub messages: usize,
    pub list: Arc<InstanceList>,
}

pub fn instance(node: usize) -> InstanceId {
    InstanceId::from_name(&format!("node-{node}"))
}

pub fn list(version: u64, nodes: &[usize]) -> Arc<InstanceList> {
    let address = "127.0.0.1:1".parse().expect("an address");
    let entries = nodes
        .iter()
        .map(|&node| InstanceEntry {
            id: instance(node),
            name: format!("node-{node}"),
            zone: ZoneId(node as u64 % 3),
            state: InstanceState::Live,
            udp: address,
            tcp: address,
        })
        .collect();
    Arc::new(InstanceList { version: ListVersion(version), entries })
}

pub fn answered(body: &str) -> OrderResult {
    OrderResult::Answered { status: 200, body: body.as_bytes().to_vec() }
}

impl Fleet {
    /// Starts nodes `0..count` under list version 1, without advancing time.
    pub fn new(count: usize, params: OrderParams) -> Self {
        let nodes: Vec<_> = (0..count).collect();
        let mut fleet = Self {
            now: Timestamp::from_millis(1000),
            params,
            nodes: BTreeMap::new(),
            incarnations: BTreeMap::new(),
            isolated: Vec::new(),
            runs: Vec::new(),
            answers: Vec::new(),
            query_answers: Vec::new(),
            minted: Vec::new(),
            forget_pulls: false,
            codec: None,
            inputs: 0,
            messages: 0,
            list: list(1, &nodes),
        };
        for node in nodes {
            fleet.start(node);
        }
        fleet.publish_views();
        fleet
    }

    /// Starts nodes and advances time until the partitions have started empty.
    pub fn after_empty_start(count: usize, params: OrderParams) -> Self {
        let mut fleet = Self::new(count, params);
        fleet.advance(Duration::from_secs(40));
        fleet
    }

    /// Starts nodes and advances time until their partitions are no longer in doubt.
    pub fn without_doubt(count: usize, params: OrderParams) -> Self {
        let mut fleet = Self::after_empty_start(count, params);
        let limit = fleet.params.doubt_limit();
        fleet.now = fleet.now + limit;
        fleet.publish_views();
        fleet.advance(Duration::from_secs(1));
        fleet
    }

    pub fn identity(&self, node: usize) -> InstanceIdentity {
        let started = self.incarnations[&node];
        InstanceIdentity { id: instance(node), incarnation: Incarnation::new(started) }
    }

    /// Starts a new process for a node, without records.
    pub fn start(&mut self, node: usize) {
        let started = 1 + self.incarnations.get(&node).copied().unwrap_or(0);
        self.incarnations.insert(node, started);
        let signer = HandleSigner::new("secret");
        let seed = node as u64 * 100 + started;
        let identity = self.identity(node);
        let coordinator = OrderCoordinator::new(self.params.clone(), identity, signer, seed);
        self.nodes.insert(node, coordinator);
    }

    pub fn live(&self) -> Vec<InstanceIdentity> {
        self.nodes.keys().map(|&node| self.identity(node)).collect()
    }

    /// Passes the list and the live processes to every node that is not isolated.
    pub fn publish_views(&mut self) {
        let nodes: Vec<_> = self.nodes.keys().copied().collect();
        for node in nodes {
            if !self.isolated.contains(&node) {
                self.publish_view(node);
            }
        }
    }

    pub fn publish_view(&mut self, node: usize) {
        let (list, live) = (self.list.clone(), self.live());
        self.input(node, OrderInput::View { list, live, list_age: Duration::ZERO });
    }

    /// Passes an input to a node and delivers all messages that follow from it.
    pub fn input(&mut self, node: usize, input: OrderInput) {
        let mut queue = vec![(node, input)];
        while !queue.is_empty() {
            let (node, input) = queue.remove(0);
            let Some(coordinator) = self.nodes.get_mut(&node) else { continue };
            let mut effects = Vec::new();
            let message =
                matches!(input, OrderInput::Message { message: OrderMessage::Pull(_), .. });
            if message && self.forget_pulls {
                coordinator.clone().handle(self.now, input, &mut effects);
            } else {
                coordinator.handle(self.now, input, &mut effects);
            }
            // The check visits every partition. With more than 64 partitions, it runs only on
            // every 64th input.
            self.inputs += 1;
            if self.params.partitions <= 64 || self.inputs.is_multiple_of(64) {
                check_invariants(coordinator).expect("invariants hold");
            }
            for effect in effects {
                if let Some(next) = self.perform(node, effect) {
                    queue.push(next);
                }
            }
        }
    }

    fn perform(&mut self, node: usize, effect: OrderEffect) -> Option<(usize, OrderInput)> {
        match effect {
            OrderEffect::Send { to, transport, message } => {
                let frame = PeerFrame {
                    from: self.identity(node),
                    to,
                    to_started: Some(u64::MAX),
                    message: PeerMessage::Order(message.clone()),
                };
                let codec = self.codec.get_or_insert_with(|| PeerCodec::new("secret"));
                codec.encode(&frame, transport).expect("the message fits its transport");
                return self.deliver(node, to, message);
            },
            OrderEffect::Run { order, key, fence, permit_deadline } => {
                self.runs.push(PermittedRun { node, order, key, fence, permit_deadline });
            },
            OrderEffect::Answer { order, answer } => self.answers.push((node, order, answer)),
            OrderEffect::QueryAnswer { query, answer } => {
                self.query_answers.push((node, query, answer));
            },
            OrderEffect::Minted { key, .. } => self.minted.push(key),
            OrderEffect::Synchronised { .. } => {},
        }
        None
    }

    fn deliver(
        &mut self,
        node: usize,
        to: InstanceId,
        message: OrderMessage,
    ) -> Option<(usize, OrderInput)> {
        self.messages += 1;
        let target = self.nodes.keys().copied().find(|&other| instance(other) == to)?;
        if self.isolated.contains(&node) || self.isolated.contains(&target) {
            return None;
        }
        Some((target, OrderInput::Message { from: self.identity(node), message }))
    }

    /// Advances time and passes `Tick` to each node whenever its wake-up time is reached.
    pub fn advance(&mut self, duration: Duration) {
        let end = self.now + duration;
        for _ in 0..1_000_000 {
            let next = self
                .nodes
                .iter()
                .filter_map(|(&node, coordinator)| Some((coordinator.next_wakeup()?, node)))
                .min();
            let Some((at, node)) = next.filter(|&(at, _)| at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(at);
            self.input(node, OrderInput::Tick);
        }
        panic!("the nodes request wake-ups without end");
    }

    pub fn submit(&mut self, node: usize, order: u64, key: &str, body: u8) {
        self.submit_checked(node, order, key, body, false);
    }

    pub fn submit_checked(&mut self, node: usize, order: u64, key: &str, body: u8, checks: bool) {
        let deadline = self.now + Duration::from_secs(5);
        self.input(
            node,
            OrderInput::Submit {
                order: OrderId(order),
                customer: CUSTOMER,
                desk: DESK,
                key: key.to_owned(),
                body_digest: [body; 32],
                deadline,
                service_checks_keys: checks,
            },
        );
    }

    /// Sends a permitted order and finishes it.
    pub fn finish(&mut self, node: usize, order: u64, result: OrderResult) {
        self.input(node, OrderInput::Sent { order: OrderId(order) });
        self.input(node, OrderInput::Finished { order: OrderId(order), result });
    }

    pub fn query(&mut self, node: usize, query: u64, key: &str) {
        let deadline = self.now + Duration::from_secs(2);
        self.input(
            node,
            OrderInput::Query {
                query: QueryId(query),
                customer: CUSTOMER,
                desk: DESK,
                key: key.to_owned(),
                deadline,
            },
        );
    }

    pub fn last_answer(&self) -> &OrderAnswer {
        &self.answers.last().expect("an answer").2
    }

    /// Returns the nodes of a key's replica group, highest rank first.
    pub fn group(&self, key: &str) -> Vec<usize> {
        let key = OrderKey::from_text(CUSTOMER, DESK, key);
        let partition = key.partition(self.params.partitions);
        let entries = self.list.entries.iter().map(|entry| (entry.id, entry.zone));
        medlarlanding_core::rendezvous::spread(u64::from(partition.0), entries, 3)
            .into_iter()
            .filter_map(|id| self.nodes.keys().copied().find(|&node| instance(node) == id))
            .collect()
    }

    pub fn syncing(&self) -> usize {
        self.nodes.values().map(OrderCoordinator::syncing).sum()
    }
}
