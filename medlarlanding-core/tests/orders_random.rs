//! Randomised checks of group views, copies and small fleets with quickcheck.
//!
//! The seeds are fixed and printed. The environment variable `ORDER_CASES=N` sets the number of
//! cases per check.

mod orders_support;

use std::cell::Cell;
use std::collections::BTreeMap;
use std::time::Duration;

use medlarlanding_core::ids::InstanceId;
use medlarlanding_core::orders::{
    CopyResponse, EpochAgreement, GroupMember, GroupView, OrderId, OrderKey, OrderParams,
    OrderResult, SyncedState, choose_base,
};
use medlarlanding_core::views::ListVersion;
use orders_support::{Fleet, answered, list};
use quickcheck::{Arbitrary, Gen};

const SEED: u64 = 20_261_204;

fn cases(default: u64) -> u64 {
    std::env::var("ORDER_CASES").ok().and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn for_each_seed(default: u64, size: usize, check: impl Fn(&mut Gen)) {
    println!("seeds {SEED} to {}", SEED + cases(default) - 1);
    for seed in SEED..SEED + cases(default) {
        println!("seed {seed}");
        check(&mut Gen::from_size_and_seed(size, seed));
    }
}

fn pick(random: &mut Gen, below: u64) -> u64 {
    u64::arbitrary(random) % below
}

fn view(random: &mut Gen) -> GroupView {
    let version = 1 + pick(random, 2);
    let members = (0..3)
        .map(|member| GroupMember {
            id: InstanceId(10 * version + member),
            started: pick(random, 4),
        })
        .collect();
    GroupView { version: ListVersion(version), members }
}

/// Guards against views that decrease: a join below one of its operands would undo a fence.
#[test]
fn join_is_the_least_upper_bound() {
    for_each_seed(300, 16, |random| {
        let (first, second, other) = (view(random), view(random), view(random));
        let join = first.join(&second);
        assert_eq!(join, second.join(&first));
        assert!(join.covers(&first) && join.covers(&second));
        if other.covers(&first) && other.covers(&second) {
            assert!(other.covers(&join));
        }
        assert_eq!(first.join(&first), first);
        assert_eq!(first.covers(&second) && second.covers(&first), first == second);
    });
}

fn member(id: u64) -> GroupMember {
    GroupMember { id: InstanceId(id), started: 1 }
}

fn numbered_view(version: u64, members: &[u64]) -> GroupView {
    let members = members.iter().map(|&id| member(id)).collect();
    GroupView { version: ListVersion(version), members }
}

/// One process in a model of the successive views of one partition. Views are given by version.
#[derive(Clone, Default)]
struct ModelReplica {
    /// Highest known view.
    fence: u64,
    /// Last view in which the replica was synchronised.
    synced: u64,
    /// Views above `synced` for which the replica has sent copies.
    supplied: Vec<u64>,
    claims: Vec<u64>,
}

/// Guards against a base that lacks a granted claim. Views have random members, and replicas read
/// copies and grant claims in random order. A replica that synchronises must have every claim that
/// two members of an earlier view granted.
#[test]
fn copies_contain_every_granted_claim() {
    for_each_seed(400, 64, |random| {
        let views: Vec<GroupView> = (0..6)
            .map(|version| {
                let mut members: Vec<u64> = (1..=6).collect();
                while members.len() > 3 {
                    let at = pick(random, members.len() as u64) as usize;
                    members.remove(at);
                }
                numbered_view(version, &members)
            })
            .collect();
        let mut replicas: BTreeMap<u64, ModelReplica> =
            (1..=6).map(|id| (id, ModelReplica::default())).collect();
        let mut started: BTreeMap<u64, bool> =
            (1..=6).map(|id| (id, views[0].contains(member(id)))).collect();
        let mut reads: BTreeMap<(u64, u64), Vec<CopyResponse>> = BTreeMap::new();
        let mut grants: BTreeMap<(u64, u64), Vec<u64>> = BTreeMap::new();
        let mut granted: Vec<(u64, u64)> = Vec::new();
        let mut next_claim = 1;
        for step in 0..240 {
            let id = 1 + pick(random, 6);
            // Views come into use one after the other; some processes are one view behind or ahead.
            let version = (step / 40 + pick(random, 3)).saturating_sub(1).min(5);
            let target = &views[version as usize];
            match pick(random, 3) {
                // A member of a view reads the copy of another process.
                0 if target.contains(member(id)) => {
                    let provider = 1 + pick(random, 6);
                    let own = replicas.get_mut(&id).expect("a replica");
                    if provider == id || own.fence > version {
                        continue;
                    }
                    own.fence = version;
                    let other = replicas.get_mut(&provider).expect("a replica");
                    if other.fence > version {
                        continue;
                    }
                    other.fence = version;
                    let response = respond(provider, other, started[&provider], &views);
                    let synced_here = started[&provider] && other.synced == version;
                    if !synced_here && !other.supplied.contains(&version) {
                        other.supplied.push(version);
                    }
                    let claims = other.claims.clone();
                    let own = replicas.get_mut(&id).expect("a replica");
                    own.claims.extend(claims);
                    let responses = reads.entry((id, version)).or_default();
                    responses.retain(|known| known.member != response.member);
                    responses.push(response);
                },
                // A member tries to synchronise with the copies that it has read.
                1 if target.contains(member(id)) => {
                    let own = &replicas[&id];
                    let synced = started[&id] && own.synced >= version;
                    if own.fence != version || synced {
                        continue;
                    }
                    let mut responses = reads.get(&(id, version)).cloned().unwrap_or_default();
                    responses.push(respond(id, own, started[&id], &views));
                    if choose_base(target, &responses, Duration::MAX).is_some() {
                        for &(earlier, claim) in &granted {
                            assert!(earlier >= version || own.claims.contains(&claim));
                        }
                        let own = replicas.get_mut(&id).expect("a replica");
                        own.synced = version;
                        own.supplied.retain(|&supplied| supplied > version);
                        started.insert(id, true);
                    }
                },
                // A synchronised member grants a claim. Two grants are a quorum.
                2 => {
                    let own = replicas.get_mut(&id).expect("a replica");
                    if !started[&id] || own.fence != own.synced {
                        continue;
                    }
                    let claim = if pick(random, 3) == 0 {
                        next_claim += 1;
                        next_claim
                    } else {
                        next_claim
                    };
                    own.claims.push(claim);
                    let voters = grants.entry((own.synced, claim)).or_default();
                    if !voters.contains(&id) {
                        voters.push(id);
                    }
                    if voters.len() == 2 {
                        granted.push((own.synced, claim));
                        let (held, claim) = (own.synced, claim);
                        for (other, replica) in &replicas {
                            let later = started[other] && replica.synced > held;
                            assert!(!later || replica.claims.contains(&claim));
                        }
                    }
                },
                _ => {},
            }
        }
    });
}

fn respond(id: u64, replica: &ModelReplica, started: bool, views: &[GroupView]) -> CopyResponse {
    CopyResponse {
        member: member(id),
        synced: started.then(|| SyncedState {
            view: views[replica.synced as usize].clone(),
            epoch: 1,
            agreement: EpochAgreement::Shared,
            doubt_age_ms: None,
            idle_ms: 0,
        }),
        supplied: replica.supplied.iter().map(|&at| views[at as usize].clone()).collect(),
    }
}

/// Guards against running a key twice in small fleets with instant delivery, single isolated
/// nodes, restarts, lists that reach nodes one by one and open orders.
#[test]
fn small_fleets_run_each_key_once() {
    const CASES: u64 = 12;
    let executed = Cell::new(0);
    for_each_seed(CASES, 64, |random| {
        let params = OrderParams { partitions: 3, ..OrderParams::default() };
        let mut fleet = Fleet::without_doubt(5, params);
        let mut bodies: BTreeMap<OrderKey, usize> = BTreeMap::new();
        let mut seen = 0;
        let mut version = 1;
        for order in 1..=150 {
            let node = pick(random, 5) as usize;
            match pick(random, 12) {
                0 => fleet.start(node),
                1 => fleet.isolated = vec![node],
                2 => fleet.isolated.clear(),
                3 => {
                    version += 1;
                    let kept: Vec<_> = (0..5).filter(|&other| other != node).collect();
                    fleet.list = list(version, &kept);
                },
                4..=6 => fleet.publish_view(node),
                7 => fleet.advance(Duration::from_millis(300)),
                _ => {
                    let key = format!("k{}", pick(random, 6));
                    fleet.submit(node, order, &key, 1);
                },
            }
            while seen < fleet.runs.len() {
                let run = fleet.runs[seen].clone();
                seen += 1;
                let count = bodies.entry(run.key).or_default();
                let (node, OrderId(order)) = (run.node, run.order);
                match pick(random, 4) {
                    0 => fleet.finish(node, order, OrderResult::Unknown),
                    1 => {
                        let kind = medlarlanding_core::ErrorKind::NoBackend;
                        fleet.finish(node, order, OrderResult::NotSent(kind));
                        continue;
                    },
                    _ => fleet.finish(node, order, answered("first")),
                }
                *count += 1;
                assert_eq!(*count, 1, "a key must be run only once");
            }
        }
        executed.set(executed.get() + bodies.values().sum::<usize>());
    });
    // The check above proves nothing unless orders were run.
    println!("{} orders were run", executed.get());
    assert!(executed.get() as u64 >= cases(CASES));
}

/// Guards against two members of a view that read each other's records without end: records that
/// were idle for too long must rank as newly in doubt.
#[test]
fn idle_records_rank_below_an_older_doubt() {
    let target = numbered_view(2, &[1, 2, 3]);
    let state = |view: GroupView, epoch, doubt_age_ms, idle_ms| {
        Some(SyncedState { view, epoch, agreement: EpochAgreement::Shared, doubt_age_ms, idle_ms })
    };
    let response = |id, synced| CopyResponse { member: member(id), synced, supplied: Vec::new() };
    let idle = numbered_view(1, &[3, 4, 5]);
    let responses = [
        response(1, state(target.clone(), 7, Some(1000), 0)),
        response(3, state(idle.clone(), 8, None, 60_000)),
        response(4, state(idle, 8, None, 60_000)),
    ];
    let epoch = |limit| choose_base(&target, &responses, limit).map(|base| base.epoch);
    assert_eq!(epoch(Duration::from_secs(30)), Some(7));
    assert_eq!(epoch(Duration::from_secs(90)), Some(8));
}
