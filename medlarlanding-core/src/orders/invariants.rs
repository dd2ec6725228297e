//! Invariants that hold in one process after every input.

use super::coordinator::OrderCoordinator;
use super::group::GroupMember;

/// Checks the invariants of one process's order subsystem. Visits every record, so it is only
/// meant for tests and trials.
///
/// # Errors
///
/// Returns a description of the first violation.
pub fn check_invariants(coordinator: &OrderCoordinator) -> Result<(), String> {
    let own = GroupMember::of(coordinator.identity);
    let replica = &coordinator.replica;
    for (number, partition) in replica.numbered() {
        let number = number.0;
        let member = partition.view.as_ref().is_some_and(|view| view.contains(own));
        if let Some(synced) = &partition.synced {
            let below = partition.view.as_ref().is_some_and(|view| synced.view <= *view);
            if !below {
                return Err(format!("partition {number}: its synchronised view is above its view"));
            }
            if !synced.view.contains(own) {
                return Err(format!(
                    "partition {number}: synchronised in a view without this process"
                ));
            }
            if partition.current().is_none() != synced.stopped.is_some() {
                return Err(format!(
                    "partition {number}: stop time present or absent contrary to the view"
                ));
            }
            if partition.supplied.iter().any(|supplied| *supplied <= synced.view) {
                return Err(format!(
                    "partition {number}: a supplied view is not above the synchronised view"
                ));
            }
        }
        if partition.sync.is_some() != (member && partition.current().is_none()) {
            return Err(format!(
                "partition {number}: reads copies when synchronised or does not read them when not"
            ));
        }
    }
    if !replica.store.is_consistent() {
        return Err(
            "byte count, digest or expiry index of the claim store does not match its records"
                .to_owned(),
        );
    }
    if !coordinator.proposer.is_consistent() {
        return Err("attempt index does not match the open orders".to_owned());
    }
    Ok(())
}
