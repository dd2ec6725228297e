//! Regression tests for faults found by randomised trials.

mod orders_support;

use std::time::Duration;

use medlarlanding_core::ErrorKind;
use medlarlanding_core::handles::HandleSigner;
use medlarlanding_core::ids::{Incarnation, InstanceIdentity};
use medlarlanding_core::orders::{
    OrderAnswer, OrderCoordinator, OrderEffect, OrderInput, OrderMessage, OrderParams, OrderResult,
};
use orders_support::{Fleet, answered, instance, list};

fn params() -> OrderParams {
    OrderParams { partitions: 1, ..OrderParams::default() }
}

fn process(node: usize, started: u64) -> InstanceIdentity {
    InstanceIdentity { id: instance(node), incarnation: Incarnation::new(started) }
}

fn pulls_to(effects: &[OrderEffect], node: usize) -> Vec<OrderMessage> {
    let pulls = effects.iter().filter_map(|effect| match effect {
        OrderEffect::Send { to, message: message @ OrderMessage::Pull(_), .. }
            if *to == instance(node) =>
        {
            Some(message.clone())
        },
        _ => None,
    });
    pulls.collect()
}

/// Guards against taking the refusal of an earlier pull for an empty copy. The replica would then
/// grant claims without knowing those of earlier views.
#[test]
fn refused_pull_is_no_empty_copy() {
    let mut fleet = Fleet::without_doubt(3, params());
    fleet.submit(0, 1, "k", 1);
    fleet.finish(0, 1, answered("first"));
    let list = fleet.list.clone();
    let view = |live| OrderInput::View { list: list.clone(), live, list_age: Duration::ZERO };
    let before = vec![process(0, 1), process(1, 1), process(2, 2)];
    let after = vec![process(0, 1), process(1, 2), process(2, 2)];

    // Node 2 restarts and sends node 0 a pull for the view `before`.
    let signer = HandleSigner::new("secret");
    let mut reader = OrderCoordinator::new(params(), process(2, 2), signer, 1);
    let mut effects = Vec::new();
    reader.handle(fleet.now, view(before), &mut effects);
    let pull = pulls_to(&effects, 0).pop().expect("a pull");

    // Node 0 already knows that node 1 also restarted, and refuses.
    let provider = fleet.nodes.get_mut(&0).expect("node 0");
    let mut effects = Vec::new();
    provider.handle(fleet.now, view(after.clone()), &mut effects);
    effects.clear();
    let input = OrderInput::Message { from: process(2, 2), message: pull };
    provider.handle(fleet.now, input, &mut effects);
    let refusal = effects.iter().find_map(|effect| match effect {
        OrderEffect::Send { message: message @ OrderMessage::Copies(_), .. } => {
            Some(message.clone())
        },
        _ => None,
    });

    // Node 2 learns of the restart before the refusal arrives.
    reader.handle(fleet.now, view(after), &mut Vec::new());
    let input = OrderInput::Message { from: process(0, 1), message: refusal.expect("a refusal") };
    reader.handle(fleet.now, input, &mut Vec::new());
    assert_eq!(reader.dump().partitions[0].copies, 0);
}

/// Guards against running a key again within the retention when the request of its first run
/// arrives late at the backend server.
#[test]
fn claim_is_kept_while_its_request_can_arrive() {
    let mut fleet = Fleet::without_doubt(6, params());
    let group = fleet.group("k");
    let proposer = (0..6).find(|node| !group.contains(node)).expect("a node");
    fleet.submit(proposer, 1, "k", 1);
    fleet.nodes.remove(&proposer);
    fleet.publish_views();
    // The first request may be run until both limits have passed.
    let limits = fleet.params.permit_limit + fleet.params.transit_limit;
    fleet.advance(fleet.params.retention + limits - Duration::from_secs(1));
    fleet.publish_views();
    fleet.submit(group[0], 2, "k", 1);
    assert_eq!(*fleet.last_answer(), OrderAnswer::Refused(ErrorKind::OrderUnknown));
    assert_eq!(fleet.runs.len(), 1);
}

/// Guards against a query that answers `NotFound` while the partition is in doubt. This happened
/// when a request had claimed the key in doubt and then withdrawn its attempt.
#[test]
fn query_in_doubt_stays_in_doubt_after_a_withdrawal() {
    let mut fleet = Fleet::after_empty_start(6, params());
    let group = fleet.group("k");
    fleet.submit_checked(group[0], 1, "k", 1, true);
    assert_eq!(fleet.runs.len(), 1);
    // The withdrawal does not reach the other replicas, so they keep the attempt.
    fleet.isolated = vec![group[1], group[2]];
    fleet.finish(group[0], 1, OrderResult::NotSent(ErrorKind::NoBackend));
    fleet.isolated.clear();
    fleet.query(group[1], 1, "k");
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.query_answers[0].2, OrderAnswer::Refused(ErrorKind::OrderInDoubt));
}

/// Submits one key at a member of the old group that has not received the new list, and at the
/// new group. Returns the number of runs.
fn runs_across_a_list_change(forget_pulls: bool) -> usize {
    let mut fleet = Fleet::without_doubt(6, params());
    fleet.forget_pulls = forget_pulls;
    let group = fleet.group("k");
    let rest: Vec<_> = (0..6).filter(|node| !group.contains(node)).collect();
    fleet.list = list(2, &rest);
    for &node in &rest {
        fleet.publish_view(node);
    }
    fleet.advance(Duration::from_secs(1));
    fleet.submit(group[0], 1, "k", 1);
    fleet.submit(rest[0], 2, "k", 1);
    fleet.advance(Duration::from_secs(1));
    fleet.runs.len()
}

/// Guards against providers of copies that continue to grant in the older view.
#[test]
fn copies_fence_their_providers() {
    assert_eq!(runs_across_a_list_change(false), 1);
    // Without fencing, the same steps run the key twice, so the check above detects its absence.
    assert_eq!(runs_across_a_list_change(true), 2);
}
