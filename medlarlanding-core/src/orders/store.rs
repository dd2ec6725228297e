//! Records of claimed keys.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId};
use super::messages::{CopiedAttempt, CopiedRecord, OrderOutcome};
use crate::ids::stable_hash;
use crate::time::Timestamp;

/// Bytes that one recorded attempt occupies, including the indexes but not its answer.
const ATTEMPT_BYTES: usize = 160;

/// The attempts known for one key.
///
/// There can be several attempts if copies were merged after a split vote. At most one of them
/// was run.
#[derive(Clone, Debug)]
pub(super) struct ClaimRecord {
    pub(super) attempts: Vec<CopiedAttempt>,
    /// Time of the last change; the record expires `ClaimStore::retention` later.
    changed: Timestamp,
}

impl ClaimRecord {
    fn new(now: Timestamp) -> Self {
        Self { attempts: Vec::new(), changed: now }
    }

    /// Gets the other attempt that prevents a grant to `attempt`, preferably one with an outcome.
    pub(super) fn blocking(&self, attempt: AttemptId) -> Option<&CopiedAttempt> {
        let others = || self.attempts.iter().filter(|entry| entry.attempt != attempt);
        others().find(|entry| entry.outcome.is_some()).or_else(|| others().next())
    }

    fn size(&self) -> usize {
        let answers = self.attempts.iter().flat_map(|entry| &entry.outcome);
        self.attempts.len() * ATTEMPT_BYTES + answers.map(OrderOutcome::size).sum::<usize>()
    }

    /// Hashes what two copies of the record must have in common. Ages may differ and are left out.
    fn digest(&self, key: OrderKey) -> u64 {
        self.attempts.iter().fold(0, |digest, entry| {
            let mut bytes = [0; 41];
            bytes[..16].copy_from_slice(&key.0);
            bytes[16..24].copy_from_slice(&entry.attempt.instance.0.to_le_bytes());
            bytes[24..32].copy_from_slice(&entry.attempt.started.to_le_bytes());
            bytes[32..40].copy_from_slice(&entry.attempt.number.to_le_bytes());
            bytes[40] = u8::from(entry.outcome.is_some());
            digest ^ stable_hash(&bytes)
        })
    }
}

#[derive(Clone, Debug, Default)]
struct PartitionRecords {
    records: BTreeMap<OrderKey, ClaimRecord>,
    /// XOR over the digests of all records.
    digest: u64,
}

/// Records of all partitions in one process.
#[derive(Clone, Debug)]
pub(super) struct ClaimStore {
    /// Time for which a record is kept after its last change.
    retention: Duration,
    partitions: Vec<PartitionRecords>,
    /// Every recorded key with the time of its record's last change.
    expiry: BTreeSet<(Timestamp, OrderKey)>,
    bytes: usize,
}

impl ClaimStore {
    pub(super) fn new(partitions: u16, retention: Duration) -> Self {
        let partitions = vec![PartitionRecords::default(); usize::from(partitions.max(1))];
        Self { retention, partitions, expiry: BTreeSet::new(), bytes: 0 }
    }

    /// Returns the number of recorded keys.
    pub(super) fn len(&self) -> usize {
        self.expiry.len()
    }

    /// Returns the approximate size of the records in bytes.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of recorded keys of a partition.
    pub(super) fn partition_len(&self, partition: PartitionId) -> usize {
        self.partitions[usize::from(partition.0)].records.len()
    }

    /// Returns the digest of a partition's records.
    pub(super) fn digest(&self, partition: PartitionId) -> u64 {
        self.partitions[usize::from(partition.0)].digest
    }

    fn locate(&self, key: OrderKey) -> usize {
        usize::from(key.partition(self.partitions.len() as u16).0)
    }

    /// Gets the record of a key.
    pub(super) fn get(&self, key: OrderKey) -> Option<&ClaimRecord> {
        self.partitions[self.locate(key)].records.get(&key)
    }

    /// Changes or creates a record and updates digest, byte count and expiry. A record without
    /// attempts is removed. `renew` restarts the retention.
    fn update(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        renew: bool,
        change: impl FnOnce(&mut ClaimRecord),
    ) {
        let at = self.locate(key);
        let partition = &mut self.partitions[at];
        let mut record = match partition.records.remove(&key) {
            Some(record) => {
                partition.digest ^= record.digest(key);
                self.bytes -= record.size();
                self.expiry.remove(&(record.changed, key));
                record
            },
            None => ClaimRecord::new(now),
        };
        change(&mut record);
        if renew {
            record.changed = now;
        }
        if !record.attempts.is_empty() {
            partition.digest ^= record.digest(key);
            self.bytes += record.size();
            self.expiry.insert((record.changed, key));
            partition.records.insert(key, record);
        }
    }

    /// Records an attempt, unless it is already recorded.
    pub(super) fn claim(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        attempt: AttemptId,
        body: BodyDigest,
    ) {
        let known = self
            .get(key)
            .is_some_and(|record| record.attempts.iter().any(|entry| entry.attempt == attempt));
        if !known {
            self.update(now, key, true, |record| {
                record.attempts.push(CopiedAttempt { attempt, body, outcome: None });
            });
        }
    }

    /// Removes an attempt that was not run. An attempt with an outcome is kept.
    pub(super) fn withdraw(&mut self, now: Timestamp, key: OrderKey, attempt: AttemptId) {
        if self.get(key).is_some() {
            self.update(now, key, false, |record| {
                record.attempts.retain(|entry| entry.attempt != attempt || entry.outcome.is_some());
            });
        }
    }

    /// Records the outcome of an attempt, unless it already has one.
    pub(super) fn complete(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        attempt: AttemptId,
        body: BodyDigest,
        outcome: OrderOutcome,
    ) {
        self.claim(now, key, attempt, body);
        self.update(now, key, true, |record| {
            if let Some(entry) = record.attempts.iter_mut().find(|entry| entry.attempt == attempt) {
                entry.outcome.get_or_insert(outcome);
            }
        });
    }

    /// Merges a copied record. Recorded outcomes are kept; the later time of change applies.
    pub(super) fn merge(&mut self, now: Timestamp, copied: CopiedRecord) {
        let age = Duration::from_millis(copied.age_ms);
        if age >= self.retention {
            return;
        }
        let changed = now - age;
        let is_new = self.get(copied.key).is_none();
        self.update(now, copied.key, false, |record| {
            record.changed = if is_new { changed } else { record.changed.max(changed) };
            for other in copied.attempts {
                match record.attempts.iter_mut().find(|entry| entry.attempt == other.attempt) {
                    Some(entry) => {
                        if let Some(outcome) = other.outcome {
                            entry.outcome.get_or_insert(outcome);
                        }
                    },
                    None => record.attempts.push(other),
                }
            }
        });
    }

    /// Copies the records of a partition with keys above `after`, up to `limit` bytes but at least
    /// one. Returns the records and whether more follow.
    pub(super) fn page(
        &self,
        now: Timestamp,
        partition: PartitionId,
        after: Option<OrderKey>,
        limit: usize,
    ) -> (Vec<CopiedRecord>, bool) {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let partition = &self.partitions[usize::from(partition.0)];
        let mut records = Vec::new();
        let mut size = 0;
        for (&key, record) in partition.records.range((lower, Bound::Unbounded)) {
            if size > 0 && size + record.size() > limit {
                return (records, true);
            }
            size += record.size();
            records.push(CopiedRecord {
                key,
                age_ms: now.since(record.changed).as_millis() as u64,
                attempts: record.attempts.clone(),
            });
        }
        (records, false)
    }

    /// Removes the records whose retention has passed.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some(&(changed, key)) = self.expiry.first() {
            if now.since(changed) < self.retention {
                break;
            }
            self.update(now, key, false, |record| record.attempts.clear());
        }
    }

    /// Returns when the next record expires.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.expiry.first().map(|&(changed, _)| changed + self.retention)
    }

    /// Returns whether digests, byte count and expiry match the records.
    pub(super) fn is_consistent(&self) -> bool {
        let records = || self.partitions.iter().flat_map(|partition| &partition.records);
        let digests = self.partitions.iter().all(|partition| {
            partition.digest
                == partition
                    .records
                    .iter()
                    .fold(0, |digest, (&key, record)| digest ^ record.digest(key))
        });
        digests
            && records().map(|(_, record)| record.size()).sum::<usize>() == self.bytes
            && records().count() == self.expiry.len()
            && records().all(|(&key, record)| self.expiry.contains(&(record.changed, key)))
    }
}
