//! Tests of which instances are sent entries of the ledger of broken runs.

use medlarlanding_core::ids::{Incarnation, InstanceId, InstanceIdentity};
use medlarlanding_core::prompts::LedgerSharing;

fn identity(id: u64, started: u64) -> InstanceIdentity {
    InstanceIdentity { id: InstanceId(id), incarnation: Incarnation::new(started) }
}

fn others(own: u64, count: u64) -> Vec<InstanceIdentity> {
    (0..count).filter(|id| *id != own).map(|id| identity(id, 1)).collect()
}

/// Guards against messages that grow with the square of the fleet: only three instances tell all others.
#[test]
fn three_instances_pass_entries_on() {
    let count = 350;
    let mut messages = 0;
    for own in 0..count {
        let sharing = LedgerSharing::new(InstanceId(own));
        let targets = sharing.targets(&others(own, count));
        assert_eq!(targets.len(), if own < 3 { 349 } else { 3 });
        messages += targets.len();
    }
    assert_eq!(messages, 3 * 349 + 347 * 3);
}

/// Guards against an instance that restarts and never hears of the parts that the others know.
#[test]
fn restarted_instances_are_told() {
    let mut relay = LedgerSharing::new(InstanceId(0));
    assert_eq!(relay.take_newcomers(&[identity(5, 1)]), vec![InstanceId(5)]);
    assert!(relay.take_newcomers(&[identity(5, 1)]).is_empty());
    assert_eq!(relay.take_newcomers(&[identity(5, 2)]), vec![InstanceId(5)]);
    let mut other = LedgerSharing::new(InstanceId(9));
    let lower: Vec<_> = (0..3).map(|id| identity(id, 1)).collect();
    assert!(other.take_newcomers(&lower).is_empty());
}
