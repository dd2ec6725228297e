//! Tests of when a started instance is ready.

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{ChangeSource, Readiness, RequiredPart};
use medlarlanding_core::time::Timestamp;

use ChangeSource::{Peer, Store};
use RequiredPart::{Config, Servers};

/// What is received, each with its time in milliseconds after the start, and the times at which the
/// instance is expected not to be ready and to be ready.
struct StartCase {
    received: &'static [(u64, RequiredPart, ChangeSource)],
    is_behind: bool,
    not_ready: &'static [u64],
    ready: &'static [u64],
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Guards against an instance that takes callers without knowing the servers, and against one that
/// uses the state of a peer which was paused although other peers have newer state.
fn becomes_ready(case: StartCase) {
    let mut readiness = Readiness::default();
    let mut received = case.received.iter().copied().peekable();
    let mut checks: Vec<(u64, bool)> = case.not_ready.iter().map(|at| (*at, false)).collect();
    checks.extend(case.ready.iter().map(|at| (*at, true)));
    checks.sort_unstable();
    for (millis, expected) in checks {
        while let Some((time, part, source)) = received.next_if(|(time, ..)| *time <= millis) {
            readiness.record(at(time), part, source);
        }
        assert_eq!(readiness.is_ready(at(millis), case.is_behind), expected, "at {millis} ms");
    }
}

cases! { becomes_ready;
    configuration_alone_is_not_enough => StartCase {
        received: &[(5, Config, Store)], is_behind: false, not_ready: &[0, 5, 5_000], ready: &[],
    },
    store_is_enough => StartCase {
        received: &[(5, Config, Store), (9, Servers, Store)], is_behind: true,
        not_ready: &[0, 5], ready: &[9],
    },
    peers_are_heard_first => StartCase {
        received: &[(5, Config, Peer), (9, Servers, Peer)], is_behind: false,
        not_ready: &[9, 400], ready: &[505],
    },
    peer_behind_others_is_not_enough => StartCase {
        received: &[(5, Config, Peer), (9, Servers, Peer)], is_behind: true,
        not_ready: &[9, 505, 5_000], ready: &[],
    },
    store_confirms_what_a_peer_sent => StartCase {
        received: &[(5, Config, Peer), (6, Servers, Store), (20, Config, Store)], is_behind: true,
        not_ready: &[6], ready: &[20],
    },
    part_from_the_store_stays_confirmed => StartCase {
        received: &[(5, Config, Store), (6, Servers, Store), (20, Config, Peer)], is_behind: true,
        not_ready: &[5], ready: &[20],
    },
}
