//! Log of server entries: what a peer lacks.

mod random_runs;

use std::collections::BTreeMap;
use std::sync::Arc;

use medlarlanding_core::forwarding::{
    DirectoryChange, EntryDelta, EntryLog, ServerEntry, ServerPhase,
};

/// An entry whose slots tell its contents apart.
fn entry(id: &str, slots: u32) -> ServerEntry {
    ServerEntry {
        id: Arc::from(id),
        service: Arc::from("scribe"),
        address: "10.1.0.7:8000".parse().expect("an address"),
        zone: Arc::from("cairo-giza"),
        slots,
        phase: ServerPhase::Ready,
        born_millis: 1_791_857_717_231,
    }
}

fn written(id: &str, slots: u32) -> DirectoryChange {
    DirectoryChange::Written(entry(id, slots))
}

fn removed(id: &str) -> DirectoryChange {
    DirectoryChange::Removed(Arc::from(id))
}

fn apply(known: &mut BTreeMap<Arc<str>, ServerEntry>, delta: EntryDelta) {
    if delta.is_whole {
        known.clear();
    }
    for change in delta.changes {
        match change {
            DirectoryChange::Written(entry) => known.insert(Arc::clone(&entry.id), entry),
            DirectoryChange::Removed(id) => known.remove(&id),
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
            store.remove(&*id);
            log.set(removed(&id), revision);
        } else {
            store.insert(Arc::from(&*id), entry(&id, value.into()));
            log.set(written(&id, value.into()), revision);
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
    (0..3_000).for_each(|index| log.set(written(&format!("s{index}"), 1), 10));
    log.advance(10);
    log.set(removed("s7"), 11);
    log.advance(11);
    let delta = log.since(10).expect("a change");
    assert_eq!(delta.changes, [removed("s7")]);
    assert!(!delta.is_whole);
    assert!(log.since(0).is_some_and(|delta| delta.is_whole && delta.changes.len() == 2_999));
}

/// Guards against heartbeats that are sent as changes: 3,000 servers write 2,500 a second.
#[test]
fn heartbeats_are_no_changes_for_peers() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| log.set(written(&format!("s{index}"), 1), 10));
    log.advance_news(10);
    for index in 0..3_000u64 {
        log.set(written(&format!("s{index}"), 1), 11 + index);
        log.advance(11 + index);
    }
    log.set(removed("s7"), 4_000);
    log.advance_news(4_000);
    let delta = log.since(10).expect("a change");
    assert_eq!(delta.changes, [removed("s7")]);
    log.set(written("s8", 2), 4_001);
    log.advance_news(4_001);
    assert_eq!(log.since(4_000).expect("a change").changes, [written("s8", 2)]);
    assert_eq!(log.change("s8"), Some(written("s8", 2)));
    assert_eq!(log.change("unknown"), None);
}

/// Guards against removed entries that are remembered for ever, and against peers that keep
/// them because they were forgotten.
#[test]
fn forgotten_removals_lead_to_whole_snapshots() {
    let mut log = EntryLog::default();
    log.advance(10);
    for index in 0..10_000u64 {
        log.set(removed(&format!("s{index}")), 11 + index);
        log.advance(11 + index);
    }
    let behind = log.since(11).expect("changes");
    assert!(behind.is_whole && behind.changes.is_empty());
    let close = log.since(10_000).expect("changes");
    assert!(!close.is_whole && close.changes.len() == 10);
}

/// Guards against entries that take so much room that a fleet with 3,000 servers cannot pass
/// them on: a link of 10 Mbit/s carries 250 KB in 0.2 s.
#[test]
fn whole_snapshot_is_small() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| log.set(written(&format!("i-9c41d07{index:04}"), 24), 10));
    log.advance_news(10);
    let delta = log.since(0).expect("all entries");
    let bytes = postcard::to_stdvec(&delta).expect("a message");
    assert!(delta.is_whole && bytes.len() < 250_000, "{} bytes", bytes.len());
}
