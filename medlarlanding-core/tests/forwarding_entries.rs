//! Tests of the log of server entries: which changes a peer gets.

mod random_runs;

use std::collections::BTreeMap;
use std::sync::Arc;

use medlarlanding_core::forwarding::{
    DirectoryChange, EntryDelta, EntryLog, ServerEntry, ServerPhase,
};

/// Returns an entry; tests change `slots` to change its content.
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
    if delta.is_snapshot {
        known.clear();
    }
    for change in delta.changes {
        match change {
            DirectoryChange::Written(entry) => known.insert(Arc::clone(&entry.id), entry),
            DirectoryChange::Removed(id) => known.remove(&id),
        };
    }
}

/// Guards against peers whose entries differ from the store's after a fetch, for any sequence of
/// changes and fetches, and against changes that are sent twice.
fn peers_follow(steps: Vec<(u8, u8, bool)>) -> bool {
    let mut log = EntryLog::default();
    let (mut store, mut peer) = (BTreeMap::new(), BTreeMap::new());
    let mut peer_revision = 0;
    for (step, (id, value, fetches)) in steps.into_iter().enumerate() {
        let revision = step as u64 + 10;
        let id = format!("s{}", id % 8);
        if value % 3 == 0 {
            store.remove(&*id);
            log.record(removed(&id), revision);
        } else {
            store.insert(Arc::from(&*id), entry(&id, value.into()));
            log.record(written(&id, value.into()), revision);
        }
        log.advance(revision);
        if fetches {
            let Some(delta) = log.delta_since(peer_revision) else { return false };
            peer_revision = delta.revision;
            apply(&mut peer, delta);
            if peer != store || log.delta_since(peer_revision).is_some() {
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

/// Guards against a snapshot for a peer that lacks one change: 3,000 entries take 750 KB.
#[test]
fn peer_that_lacks_one_change_gets_one() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| assert!(log.record(written(&format!("s{index}"), 1), 10)));
    log.advance(10);
    log.record(removed("s7"), 11);
    log.advance(11);
    let delta = log.delta_since(10).expect("a change");
    assert_eq!(delta.changes, [removed("s7")]);
    assert!(!delta.is_snapshot);
    assert!(
        log.delta_since(0).is_some_and(|delta| delta.is_snapshot && delta.changes.len() == 2_999)
    );
}

/// Guards against heartbeats, which rewrite the same entry, being sent to peers as changes: 3,000
/// servers write 2,500 of them a second.
#[test]
fn heartbeats_are_not_sent_to_peers() {
    let mut log = EntryLog::default();
    (0..3_000).for_each(|index| assert!(log.record(written(&format!("s{index}"), 1), 10)));
    log.advance_with_changes(10);
    for index in 0..3_000u64 {
        log.record(written(&format!("s{index}"), 1), 11 + index);
        log.advance(11 + index);
    }
    log.record(removed("s7"), 4_000);
    log.advance_with_changes(4_000);
    let delta = log.delta_since(10).expect("a change");
    assert_eq!(delta.changes, [removed("s7")]);
    log.record(written("s8", 2), 4_001);
    log.advance_with_changes(4_001);
    assert_eq!(log.delta_since(4_000).expect("a change").changes, [written("s8", 2)]);
    assert_eq!(log.change("s8"), Some(written("s8", 2)));
    assert_eq!(log.change("unknown"), None);
}

/// Guards against removals that are kept for ever, and against peers that keep a removed entry
/// because its removal was dropped from the log.
#[test]
fn dropped_removals_lead_to_a_snapshot() {
    let mut log = EntryLog::default();
    log.advance(10);
    for index in 0..10_000u64 {
        log.record(removed(&format!("s{index}")), 11 + index);
        log.advance(11 + index);
    }
    let behind = log.delta_since(11).expect("changes");
    assert!(behind.is_snapshot && behind.changes.is_empty());
    let close = log.delta_since(10_000).expect("changes");
    assert!(!close.is_snapshot && close.changes.len() == 10);
}

/// Guards against snapshots too large to be sent in a fleet with 3,000 servers: a link of
/// 10 Mbit/s carries 250 KB in 0.2 s.
#[test]
fn snapshot_is_small() {
    let mut log = EntryLog::default();
    (0..3_000)
        .for_each(|index| assert!(log.record(written(&format!("i-9c41d07{index:04}"), 24), 10)));
    log.advance_with_changes(10);
    let delta = log.delta_since(0).expect("all entries");
    let bytes = postcard::to_stdvec(&delta).expect("a message");
    assert!(delta.is_snapshot && bytes.len() < 250_000, "{} bytes", bytes.len());
}

/// Guards against an older entry that replaces a newer one: an answer of the store that was under way when
/// a peer told of the next change made an instance send requests to a server which was draining.
#[test]
fn late_change_does_not_replace_a_newer_one() {
    let mut log = EntryLog::default();
    assert!(log.record(written("a", 1), 10));
    assert!(log.record(written("a", 2), 12));
    assert!(!log.record(written("a", 1), 11), "a late change");
    assert!(!log.record(removed("a"), 11), "a late removal");
    assert_eq!(log.change("a"), Some(written("a", 2)));
    // The entry is written again unchanged; what lies between is late as well.
    assert!(log.record(written("a", 2), 15));
    assert!(!log.record(written("a", 3), 14));
    assert_eq!(log.delta_since(0).map(|delta| delta.changes), None, "no revision is complete yet");
    assert!(log.record(removed("a"), 16));
    assert!(!log.record(written("a", 2), 15), "a late change of a removed entry");
    assert_eq!(log.change("a"), Some(removed("a")));
}

/// Guards against a server that is cold again of which peers are not told because the content of its entry
/// is the same, and against an older reading of an entry that counts as news.
#[test]
fn touched_entry_is_sent_again() {
    let mut log = EntryLog::default();
    log.advance(10);
    assert!(log.record(written("a", 1), 11) && log.record(written("b", 1), 11));
    log.advance_with_changes(11);
    assert_eq!(log.delta_since(11), None);
    // Rewritten without a change: only the revision up to which its content is known moves.
    assert!(!log.confirms("a", 14));
    assert!(log.record(written("a", 1), 14));
    assert!(log.confirms("a", 14) && !log.confirms("b", 14) && !log.confirms("c", 1));
    assert!(!log.touch("a", 13), "a later reading is known");
    assert!(!log.touch("c", 15), "it is unknown");
    log.advance_with_changes(14);
    assert_eq!(log.delta_since(11).expect("a delta").changes, []);
    assert!(log.touch("a", 14));
    assert_eq!(log.delta_since(11).expect("a delta").changes, [written("a", 1)]);
}
