//! Records of claimed keys, with limits and retention.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::Duration;

use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId};
use super::messages::{CopiedAttempt, CopiedRecord, OrderOutcome};
use crate::ids::stable_hash;
use crate::time::Timestamp;

/// Bytes that one recorded attempt occupies beside its answer, including the indexes.
const ATTEMPT_BYTES: usize = 160;

/// The attempts known for one key.
///
/// More than one attempt is recorded when copies are merged after a split vote. At most one
/// of them was run.
#[derive(Clone, Debug)]
pub(super) struct ClaimRecord {
    pub(super) attempts: Vec<CopiedAttempt>,
    /// Time of the last change; the record is dropped `keep` later.
    changed: Timestamp,
}

impl ClaimRecord {
    fn new(now: Timestamp) -> Self {
        Self { attempts: Vec::new(), changed: now }
    }

    /// Gets the attempt that decides about other attempts: one with an outcome, else the first.
    pub(super) fn leading(&self, except: AttemptId) -> Option<&CopiedAttempt> {
        let foreign = || self.attempts.iter().filter(|entry| entry.attempt != except);
        foreign().find(|entry| entry.outcome.is_some()).or_else(|| foreign().next())
    }

    fn size(&self) -> usize {
        let answers = self.attempts.iter().flat_map(|entry| &entry.outcome);
        self.attempts.len() * ATTEMPT_BYTES + answers.map(OrderOutcome::size).sum::<usize>()
    }

    /// Hashes what must be equal in two copies. Ages are left out.
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
struct PartitionMemory {
    records: BTreeMap<OrderKey, ClaimRecord>,
    /// XOR over the digests of all records.
    digest: u64,
}

/// Records of all partitions of one process.
#[derive(Clone, Debug)]
pub(super) struct ClaimStore {
    keep: Duration,
    partitions: Vec<PartitionMemory>,
    expiry: BTreeSet<(Timestamp, OrderKey)>,
    bytes: usize,
}

impl ClaimStore {
    pub(super) fn new(partitions: u16, keep: Duration) -> Self {
        let partitions = vec![PartitionMemory::default(); usize::from(partitions.max(1))];
        Self { keep, partitions, expiry: BTreeSet::new(), bytes: 0 }
    }

    /// Returns the number of recorded keys.
    pub(super) fn len(&self) -> usize {
        self.expiry.len()
    }

    /// Returns the bytes that the records occupy.
    pub(super) fn bytes(&self) -> usize {
        self.bytes
    }

    /// Returns the number of recorded keys of a partition.
    pub(super) fn partition_len(&self, partition: PartitionId) -> usize {
        self.partitions[usize::from(partition.0)].records.len()
    }

    /// Returns the digest over a partition's records.
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

    /// Changes a record and keeps digest, byte count and expiry in step. A record that is
    /// left without attempts is dropped. `renew` restarts its retention.
    fn update(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        renew: bool,
        change: impl FnOnce(&mut ClaimRecord),
    ) {
        let at = self.locate(key);
        let memory = &mut self.partitions[at];
        let mut record = match memory.records.remove(&key) {
            Some(record) => {
                memory.digest ^= record.digest(key);
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
            memory.digest ^= record.digest(key);
            self.bytes += record.size();
            self.expiry.insert((record.changed, key));
            memory.records.insert(key, record);
        }
    }

    /// Records an attempt. Recording it twice changes nothing.
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

    /// Removes an attempt that was never run. An attempt with an outcome stays.
    pub(super) fn withdraw(&mut self, now: Timestamp, key: OrderKey, attempt: AttemptId) {
        if self.get(key).is_some() {
            self.update(now, key, false, |record| {
                record.attempts.retain(|entry| entry.attempt != attempt || entry.outcome.is_some());
            });
        }
    }

    /// Records an attempt's outcome. The first outcome stays.
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

    /// Adds a copied record. What is known already stays; the younger age wins.
    pub(super) fn merge(&mut self, now: Timestamp, copied: CopiedRecord) {
        let age = Duration::from_millis(copied.age_ms);
        if age >= self.keep {
            return;
        }
        let changed = now - age;
        let fresh = self.get(copied.key).is_none();
        self.update(now, copied.key, false, |record| {
            record.changed = if fresh { changed } else { record.changed.max(changed) };
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

    /// Copies the records of a partition with keys above `after`, up to about `limit` bytes.
    /// Returns the records and whether more follow.
    pub(super) fn page(
        &self,
        now: Timestamp,
        partition: PartitionId,
        after: Option<OrderKey>,
        limit: usize,
    ) -> (Vec<CopiedRecord>, bool) {
        let lower = after.map_or(Bound::Unbounded, Bound::Excluded);
        let memory = &self.partitions[usize::from(partition.0)];
        let mut records = Vec::new();
        let mut size = 0;
        for (&key, record) in memory.records.range((lower, Bound::Unbounded)) {
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

    /// Drops the records whose retention has passed.
    pub(super) fn expire(&mut self, now: Timestamp) {
        while let Some(&(changed, key)) = self.expiry.first() {
            if now.since(changed) < self.keep {
                break;
            }
            self.update(now, key, false, |record| record.attempts.clear());
        }
    }

    /// Returns when the next record expires.
    pub(super) fn next_wakeup(&self) -> Option<Timestamp> {
        self.expiry.first().map(|&(changed, _)| changed + self.keep)
    }

    /// Returns whether the running totals match the records.
    pub(super) fn is_consistent(&self) -> bool {
        let records = || self.partitions.iter().flat_map(|memory| &memory.records);
        let digests = self.partitions.iter().all(|memory| {
            memory.digest
                == memory
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
