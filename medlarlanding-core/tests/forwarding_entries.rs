//! Log of server entries: what a peer lacks.

mod random_runs;

use std::collections::BTreeMap;

use medlarlanding_core::forwarding::{EntryDelta, EntryLog};

fn apply(known: &mut BTreeMap<String, Vec<u8>>, delta: EntryDelta) {
    if delta.is_whole {
        known.clear();
    }
    for (id, value) in delta.entries {
        match value {
            Some(value) => known.insert(id, value),
            None => known.remove(&id),
        };
    }
}

/// Guards against peers that end with other entries than the store after any sequence of changes
/// and fetches, and against changes that are sent again.
fn peers_follow(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut log = EntryLog::default();
    let (mut store, mut peer) = (BTreeMap::new(), BTreeMap::new());
    let mut peer_revision = 0;
    for (step, (id, value, fetches)) in steps.into_iter().enumerate() {
        let revision = step as u64 + 10;
        let id = format!("s{}", id % 8);
        if value % 3 == 0 {
            store.remove(&id);
            log.set(&id, None, revision);
        } else {
            store.insert(id.clone(), vec![value]);
            log.set(&id, Some(vec![value]), revision);
        }
        log.advance(revision);
        if fetches {
            let Some(delta) = log.since(peer_revision) else { return false };
            peer_revision = delta.revision;
            apply(&mut peer, delta);
            if peer != store || log.since(peer_revision).is_some() {
                return false;
            }
        }
    }
    true
}

#[test]
fn peers_follow_the_store() {
    let property = peers_follow as fn(Vec<(u8, u8, bool)>) -> bool;
    random_runs::check("entries", &[1, 2], 300, 60, property);
}

/// Guards against whole snapshots for peers that lack one change: 3,000 entries take 750 KB.
#[test]
fn peer_that_lacks_one_change_gets_one() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| log.set(&format!("s{index}"), Some(vec![1]), 10));
    log.advance(10);
    log.set("s7", None, 11);
    log.advance(11);
    let delta = log.since(10).expect("a change");
    assert_eq!(delta.entries, [("s7".to_owned(), None)]);
    assert!(!delta.is_whole);
    assert!(log.since(0).is_some_and(|delta| delta.is_whole && delta.entries.len() == 2_999));
}

/// Guards against heartbeats that are sent as changes: 3,000 servers write 2,500 a second.
#[test]
fn heartbeats_are_no_changes_for_peers() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| log.set(&format!("s{index}"), Some(vec![1]), 10));
    log.advance_news(10);
    for index in 0..3_000u64 {
        log.refresh(&format!("s{index}"), vec![2]);
        log.advance(11 + index);
    }
    log.set("s7", None, 4_000);
    log.advance_news(4_000);
    let delta = log.since(10).expect("a change");
    assert_eq!(delta.entries, [("s7".to_owned(), None)]);
    assert_eq!(log.value("s8"), Some(&vec![2]));
    log.refresh("unknown", vec![1]);
    assert_eq!(log.value("unknown"), None);
}

/// Guards against removed entries that are remembered for ever, and against peers that keep
/// them because they were forgotten.
#[test]
fn forgotten_removals_lead_to_whole_snapshots() {
    let mut log = EntryLog::default();
    log.advance(10);
    for index in 0..10_000u64 {
        log.set(&format!("s{index}"), None, 11 + index);
        log.advance(11 + index);
    }
    let behind = log.since(11).expect("changes");
    assert!(behind.is_whole && behind.entries.is_empty());
    let close = log.since(10_000).expect("changes");
    assert!(!close.is_whole && close.entries.len() == 10);
}
