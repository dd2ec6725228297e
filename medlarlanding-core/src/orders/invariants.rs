//! Checks of what must hold in one process after every input.

use super::coordinator::OrderCoordinator;
use super::group::GroupMember;

/// Checks the invariants of one process's order subsystem. Visits every record, so it is meant
/// for tests and trials.
///
/// # Errors
///
/// Returns the first violation as text.
pub fn check_invariants(coordinator: &OrderCoordinator) -> Result<(), String> {
    let own = GroupMember::of(coordinator.identity);
    let replica = &coordinator.replica;
    for (number, partition) in replica.numbered() {
        let number = number.0;
        let member = partition.view.as_ref().is_some_and(|view| view.contains(own));
        if let Some(synced) = &partition.synced {
            let below = partition.view.as_ref().is_some_and(|view| synced.view <= *view);
            if !below {
                return Err(format!("partition {number}: synchronised above its own view"));
            }
            if !synced.view.contains(own) {
                return Err(format!("partition {number}: synchronised without being a member"));
            }
            if partition.current().is_none() != synced.stopped.is_some() {
                return Err(format!("partition {number}: stop time does not match the view"));
            }
            if partition.supplied.iter().any(|supplied| *supplied <= synced.view) {
                return Err(format!("partition {number}: keeps views below the synchronised one"));
            }
        }
        if partition.sync.is_some() != (member && partition.current().is_none()) {
            return Err(format!("partition {number}: reads copies without need, or does not"));
        }
    }
    if !replica.store.is_consistent() {
        return Err("totals of the claim store do not match its records".to_owned());
    }
    if !coordinator.proposer.is_consistent() {
        return Err("open attempts do not match the open orders".to_owned());
    }
    Ok(())
}
