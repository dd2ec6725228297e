//! Highest-random-weight (rendezvous) ranking of instances.

use crate::ids::{InstanceId, ZoneId, stable_hash};

/// Returns the weight of an instance for a key. The instance with the highest weight ranks first.
pub fn weight(key: u64, instance: InstanceId) -> u64 {
    let mut bytes = [0u8; 16];
    bytes[..8].copy_from_slice(&key.to_le_bytes());
    bytes[8..].copy_from_slice(&instance.0.to_le_bytes());
    stable_hash(&bytes)
}

/// Gets the instance that ranks first for a key, or `None` for an empty list.
pub fn first(key: u64, instances: impl IntoIterator<Item = InstanceId>) -> Option<InstanceId> {
    instances.into_iter().max_by_key(|&instance| (weight(key, instance), instance))
}

/// Ranks instances for a key and returns `count` of them, or all if there are fewer.
///
/// The first-ranked instance of each availability zone is chosen before any second instance of a
/// zone.
pub fn spread(
    key: u64,
    instances: impl IntoIterator<Item = (InstanceId, ZoneId)>,
    count: usize,
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = instances.into_iter().collect();
    ranked.sort_by_key(|&(instance, _)| std::cmp::Reverse((weight(key, instance), instance)));
    ranked.dedup_by_key(|&mut (instance, _)| instance);
    let mut zones = Vec::with_capacity(count);
    let mut chosen = Vec::with_capacity(count);
    let mut others = Vec::new();
    for (instance, zone) in ranked {
        if zones.contains(&zone) {
            others.push(instance);
        } else {
            zones.push(zone);
            chosen.push(instance);
        }
    }
    chosen.extend(others);
    chosen.truncate(count);
    chosen
}
