//! Finds parts of prompts on which engines end, and blocks requests that contain them.
//!
//! Load pattern: an engine ends as soon as it begins to write on a certain part of a prompt, together
//! with all its other runs. Requests with the part arrive at any instance, no two alike, and share
//! the customer and the other parts with sound requests, which must go on. Each instance sees only
//! its own runs of an engine, so all instances share one ledger of the runs that an end broke off.
//!
//! An end says nothing about the engine's health or the customer. It counts against the runs that it
//! broke off soon after they had begun, and of their parts against those that no run survives.

use std::time::Duration;

use super::parts::{PartId, PromptParts, RunPhase};
use crate::ids::stable_hash;
use crate::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

/// Time since the last end for which a part stays blocked.
pub const BLOCK_TIME: Duration = Duration::from_secs(600);

/// Parameters of the ledger.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerParams {
    /// Blame from which a part is blocked. An end whose only suspect had just begun gives it a blame of
    /// 1, so that three such ends are enough. With two, ends for other reasons block parts that few
    /// requests share.
    pub blame_limit: f64,
    /// Blame of a run that had not begun, or that had been writing for a while; that of a run which
    /// had just begun is 1.
    pub remote_blame: f64,
    /// Factor of the blame of a run all of whose parts were survived before.
    pub familiar_blame: f64,
    /// Weight of such a run beside others that the same end broke off.
    pub familiar_weight: f64,
    /// Time since the last end for which a part stays blocked. Afterwards one more end blocks it
    /// again, as long as the earlier ones are retained.
    pub hold: Duration,
    /// Time for which the record of a broken run is kept.
    pub retention: Duration,
    /// Time for which a part counts as familiar after a run has survived it.
    pub familiarity: Duration,
    /// Longest time between two broken runs of the same end. An engine takes longer to start again.
    pub end_span: Duration,
    /// Most records of broken runs; the oldest are dropped.
    pub record_limit: usize,
    /// Most parts whose survival is remembered; the oldest are dropped.
    pub survival_limit: usize,
}

impl Default for LedgerParams {
    fn default() -> Self {
        Self {
            blame_limit: 2.5,
            remote_blame: 0.4,
            familiar_blame: 0.85,
            familiar_weight: 0.25,
            hold: BLOCK_TIME,
            retention: Duration::from_secs(1800),
            familiarity: Duration::from_secs(300),
            end_span: Duration::from_secs(1),
            record_limit: 128,
            survival_limit: 4096,
        }
    }
}

value_type! { copy
    /// Identifies a run that the end of its engine broke off.
    pub struct CrashKey {
        /// Identifies the engine, and its start where that is known.
        pub server: u64,
        /// Hash of the request's id.
        pub run: u64,
    }
}

value_type! {
    /// Run that the end of its engine broke off.
    pub struct CrashReport {
        /// Identifies the run and the end.
        pub key: CrashKey,
        /// Progress of the run.
        pub phase: RunPhase,
        /// Parts of the run's prompt.
        pub parts: PromptParts,
        /// Milliseconds since the end.
        pub age_ms: u32,
    }
}

value_type! { copy
    /// Why a part is not, or hardly, suspected of an end.
    pub enum ClearReason {
        /// A run survived it before the end was known; the part may have become fatal since.
        Familiar,
        /// A run that began after the end was known survived it.
        Survived,
    }
}

value_type! { copy
    /// A part of a broken run that is not suspected.
    pub struct ClearReport {
        /// The broken run.
        pub key: CrashKey,
        /// The part.
        pub part: PartId,
        /// Why it is not suspected.
        pub reason: ClearReason,
    }
}

value_type! {
    /// Entries of the ledger that instances send one another.
    #[derive(Default)]
    pub struct LedgerNews {
        /// Broken runs.
        pub crashes: Vec<CrashReport>,
        /// Parts that are not suspected.
        pub clears: Vec<ClearReport>,
    }
}

impl LedgerNews {
    /// Most broken runs in one message, so that the longest prompts fit into a datagram.
    const CRASHES_PER_MESSAGE: usize = 8;
    /// Most cleared parts in one message.
    const CLEARS_PER_MESSAGE: usize = 64;

    /// Returns whether there are no entries.
    pub fn is_empty(&self) -> bool {
        self.crashes.is_empty() && self.clears.is_empty()
    }

    /// Splits the entries into messages that fit into a datagram. Broken runs come before their
    /// clears.
    pub fn split(self) -> Vec<Self> {
        let crashes = self.crashes.chunks(Self::CRASHES_PER_MESSAGE);
        let clears = self.clears.chunks(Self::CLEARS_PER_MESSAGE);
        let crashes = crashes.map(|some| Self { crashes: some.to_vec(), clears: Vec::new() });
        let clears = clears.map(|some| Self { crashes: Vec::new(), clears: some.to_vec() });
        crashes.chain(clears).collect()
    }
}

/// What was new in entries that a ledger merged.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergedNews {
    /// Received entries that were not known.
    pub received: LedgerNews,
    /// What this instance knows about the received runs.
    pub own: LedgerNews,
}

impl MergedNews {
    /// Returns all new entries.
    pub fn into_all(self) -> LedgerNews {
        let Self { received: mut all, own } = self;
        all.crashes.extend(own.crashes);
        all.clears.extend(own.clears);
        all
    }
}

#[derive(Debug)]
struct CrashRecord {
    phase: RunPhase,
    parts: PromptParts,
    /// When the engine ended.
    at: Timestamp,
    /// When this instance learned of it.
    learned_at: Timestamp,
    /// Parts that a later run survived.
    survived: IndexSet<PartId>,
    /// Parts that an earlier run survived.
    familiar: IndexSet<PartId>,
}

/// Suspected parts of one broken run.
#[derive(Debug)]
struct SuspectRun {
    key: CrashKey,
    /// Never empty.
    parts: Vec<PartId>,
    /// Blame of the parts if the end has no other suspect.
    blame: f64,
    /// Weight among the suspects of the end.
    weight: f64,
}

/// Requests that are blocked because of a part.
#[derive(Clone, Debug, PartialEq, Eq)]
struct BlockRule {
    /// Parts that all suspect runs with the part have in common; a request must contain all of them
    /// to be blocked. Always includes the part itself.
    common: Vec<PartId>,
    until: Timestamp,
}

/// Part of prompts for which requests are blocked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BlockedPart {
    /// The part.
    pub part: PartId,
    /// Ends with a broken run whose prompt contains the part.
    pub ends: usize,
    /// Time until requests with it are tried again.
    pub remaining: Duration,
}

/// Broken runs that all instances reported, and the blocked parts that follow from them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    params: LedgerParams,
    records: IndexMap<CrashKey, CrashRecord>,
    /// When a run last survived each part; no part belongs to a single request.
    survivals: IndexMap<PartId, Timestamp>,
    /// Derived from `records` at each change.
    rules: IndexMap<PartId, BlockRule>,
}

impl CrashLedger {
    /// Creates an empty ledger.
    pub fn new(params: LedgerParams) -> Self {
        Self { params, ..Self::default() }
    }

    /// Returns whether no broken run is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the part for which a request is blocked, if any.
    pub fn check(&self, now: Timestamp, parts: &PromptParts) -> Option<BlockedPart> {
        parts.all().iter().find_map(|part| {
            let rule = self.rules.get(part).filter(|rule| now < rule.until)?;
            let is_blocked = rule.common.iter().all(|common| parts.contains(*common));
            is_blocked.then(|| self.blocked_part(now, *part, rule))
        })
    }

    /// Records a run of this instance that the end of its engine broke off. Returns what is new.
    pub fn record_crash(
        &mut self,
        now: Timestamp,
        key: CrashKey,
        phase: RunPhase,
        parts: PromptParts,
    ) -> LedgerNews {
        let crash = CrashReport { key, phase, parts, age_ms: 0 };
        self.merge(now, LedgerNews { crashes: vec![crash], clears: Vec::new() }).into_all()
    }

    /// Records that a run which began at `begun_at` survived its parts: its answer is complete, or the
    /// engine has written for `SURVIVAL_TIME`. Returns what is new.
    pub fn record_survival(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        parts: &PromptParts,
    ) -> LedgerNews {
        for part in parts.shared() {
            self.survivals.insert(*part, now);
        }
        if self.survivals.len() > self.params.survival_limit {
            self.survivals.sort_by(|_, earlier, _, later| earlier.cmp(later));
            self.survivals.drain(..self.params.survival_limit / 2);
        }
        let mut news = LedgerNews::default();
        for (key, record) in &mut self.records {
            if begun_at <= record.learned_at {
                continue;
            }
            for part in record.parts.all().iter().filter(|part| parts.contains(**part)) {
                if record.survived.insert(*part) {
                    let reason = ClearReason::Survived;
                    news.clears.push(ClearReport { key: *key, part: *part, reason });
                }
            }
        }
        if !news.is_empty() {
            self.derive_rules(now);
        }
        news
    }

    /// Adds entries of a peer and marks the parts that runs of this instance survived earlier.
    pub fn merge(&mut self, now: Timestamp, received: LedgerNews) -> MergedNews {
        self.evict(now);
        let mut news = LedgerNews::default();
        let mut own = LedgerNews::default();
        for crash in received.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            if age >= self.params.retention || self.records.contains_key(&crash.key) {
                continue;
            }
            let survived_at = |part: &PartId| self.survivals.get(part);
            let is_familiar = |part: &&PartId| {
                survived_at(part).is_some_and(|at| now.since(*at) < self.params.familiarity)
            };
            let familiar: IndexSet<PartId> =
                crash.parts.shared().iter().filter(is_familiar).copied().collect();
            let clears = familiar.iter().map(|part| ClearReport {
                key: crash.key,
                part: *part,
                reason: ClearReason::Familiar,
            });
            own.clears.extend(clears);
            self.records.insert(
                crash.key,
                CrashRecord {
                    phase: crash.phase,
                    parts: crash.parts.clone(),
                    at: now - age,
                    learned_at: now,
                    survived: IndexSet::new(),
                    familiar,
                },
            );
            news.crashes.push(crash);
        }
        for clear in received.clears {
            let Some(record) = self.records.get_mut(&clear.key) else { continue };
            if !record.parts.contains(clear.part) {
                continue;
            }
            let is_new = match clear.reason {
                ClearReason::Familiar => record.familiar.insert(clear.part),
                ClearReason::Survived => record.survived.insert(clear.part),
            };
            if is_new {
                news.clears.push(clear);
            }
        }
        if self.records.len() > self.params.record_limit {
            self.records.sort_by(|_, earlier, _, later| earlier.at.cmp(&later.at));
            self.records.drain(..self.records.len() - self.params.record_limit);
        }
        if !news.is_empty() {
            self.derive_rules(now);
        }
        MergedNews { received: news, own }
    }

    /// Returns all entries.
    pub fn snapshot(&self, now: Timestamp) -> LedgerNews {
        let mut all = LedgerNews::default();
        for (key, record) in &self.records {
            all.crashes.push(CrashReport {
                key: *key,
                phase: record.phase,
                parts: record.parts.clone(),
                age_ms: now.since(record.at).as_millis().min(u32::MAX.into()) as u32,
            });
            let clears = record.clears();
            all.clears.extend(clears.map(|(part, reason)| ClearReport { key: *key, part, reason }));
        }
        all
    }

    /// Returns a number that is equal on instances with the same entries; 0 if there are none.
    pub fn fingerprint(&self) -> u64 {
        let mut sum = 0u64;
        for (key, record) in &self.records {
            let number = key.server.rotate_left(1) ^ key.run;
            sum = sum.wrapping_add(stable_hash(&number.to_be_bytes()));
            for (part, reason) in record.clears() {
                let clear = number.rotate_left(7 + reason as u32) ^ part.0;
                sum = sum.wrapping_add(stable_hash(&clear.to_be_bytes()));
            }
        }
        sum
    }

    /// Returns the blocked parts.
    pub fn blocked(&self, now: Timestamp) -> Vec<BlockedPart> {
        let in_force = self.rules.iter().filter(|(_, rule)| now < rule.until);
        in_force.map(|(part, rule)| self.blocked_part(now, *part, rule)).collect()
    }

    fn blocked_part(&self, now: Timestamp, part: PartId, rule: &BlockRule) -> BlockedPart {
        BlockedPart { part, ends: self.ends_with(part), remaining: rule.until.since(now) }
    }

    /// Groups the broken runs by the end that broke them off: those of one server at about the same
    /// time.
    fn ends(&self) -> Vec<Vec<(CrashKey, &CrashRecord)>> {
        let mut runs: Vec<(CrashKey, &CrashRecord)> =
            self.records.iter().map(|(key, record)| (*key, record)).collect();
        runs.sort_by_key(|(key, record)| (key.server, record.at, key.run));
        let mut ends: Vec<Vec<(CrashKey, &CrashRecord)>> = Vec::new();
        for (key, record) in runs {
            let is_same = |(last_key, last): &(CrashKey, &CrashRecord)| {
                last_key.server == key.server && record.at.since(last.at) <= self.params.end_span
            };
            match ends.last_mut() {
                Some(end) if end.last().is_some_and(is_same) => end.push((key, record)),
                _ => ends.push(vec![(key, record)]),
            }
        }
        ends
    }

    fn ends_with(&self, part: PartId) -> usize {
        let has_part = |end: &&Vec<(CrashKey, &CrashRecord)>| {
            end.iter().any(|(_, record)| record.parts.contains(part))
        };
        self.ends().iter().filter(has_part).count()
    }

    fn evict(&mut self, now: Timestamp) {
        let retention = self.params.retention;
        let count = self.records.len();
        self.records.retain(|_, record| now.since(record.at) < retention);
        if self.records.len() < count {
            self.derive_rules(now);
        }
    }

    /// Derives the blocked parts from the records.
    ///
    /// The part with the most blame is blocked first and explains all ends at which it is suspected;
    /// the other parts are judged by the ends that are left. Of parts with the same blame the one that
    /// fewer broken runs contain is blocked, because a part that many prompts share is in the runs
    /// beside the fatal one too.
    fn derive_rules(&mut self, now: Timestamp) {
        let mut own_ends: IndexMap<PartId, usize> = IndexMap::new();
        let all_ends = self.ends();
        for end in &all_ends {
            let own = end.iter().filter_map(|(_, record)| record.parts.all().last());
            for part in own.copied().collect::<IndexSet<PartId>>() {
                *own_ends.entry(part).or_default() += 1;
            }
        }
        let recurs = |part: &PartId| own_ends.get(part).is_some_and(|ends| *ends > 1);
        let suspects = all_ends.iter().map(|end| {
            let runs =
                end.iter().filter_map(|(key, record)| self.suspect_run(*key, record, recurs));
            runs.collect::<Vec<SuspectRun>>()
        });
        let mut ends: Vec<Vec<SuspectRun>> = suspects.filter(|runs| !runs.is_empty()).collect();
        let mut rules = IndexMap::new();
        while let Some(part) = self.most_blamed(&ends) {
            let with_part = || ends.iter().flatten().filter(|run| run.parts.contains(&part));
            let mut common: Option<Vec<PartId>> = None;
            for run in with_part() {
                common = Some(match common {
                    Some(common) => {
                        common.into_iter().filter(|part| run.parts.contains(part)).collect()
                    },
                    None => run.parts.clone(),
                });
            }
            let last =
                with_part().filter_map(|run| self.records.get(&run.key)).map(|it| it.at).max();
            let until = last.unwrap_or(now) + self.params.hold;
            rules.insert(part, BlockRule { common: common.unwrap_or_default(), until });
            ends.retain(|runs| runs.iter().all(|run| !run.parts.contains(&part)));
        }
        self.rules = rules;
    }

    /// Returns the parts of a broken run that are suspected; `None` if there are none.
    fn suspect_run(
        &self,
        key: CrashKey,
        record: &CrashRecord,
        recurs: impl Fn(&PartId) -> bool,
    ) -> Option<SuspectRun> {
        let open = record.parts.shared().iter().filter(|part| !record.survived.contains(*part));
        let unfamiliar: Vec<PartId> =
            open.clone().filter(|part| !record.familiar.contains(*part)).copied().collect();
        let is_familiar = unfamiliar.is_empty();
        let mut parts = if is_familiar { open.copied().collect() } else { unfamiliar };
        // The request's own part is suspected only if a further engine ended on it.
        let own = record.parts.all().last().filter(|own| recurs(own));
        parts.extend(own);
        if parts.is_empty() {
            return None;
        }
        let progress = match record.phase {
            RunPhase::Waiting | RunPhase::Writing => self.params.remote_blame,
            RunPhase::Beginning | RunPhase::Hidden => 1.0,
        };
        let is_familiar = is_familiar && own.is_none();
        let familiar_blame = if is_familiar { self.params.familiar_blame } else { 1.0 };
        let familiar_weight = if is_familiar { self.params.familiar_weight } else { 1.0 };
        Some(SuspectRun {
            key,
            parts,
            blame: progress * familiar_blame,
            weight: progress * familiar_weight,
        })
    }

    /// Returns the part to block next; `None` if no blame reaches the limit.
    fn most_blamed(&self, ends: &[Vec<SuspectRun>]) -> Option<PartId> {
        let mut blames: IndexMap<PartId, (f64, usize)> = IndexMap::new();
        for runs in ends {
            // Runs with the same suspected parts are one suspect, which fatal requests that reach an
            // engine together would otherwise weaken.
            let mut suspects: IndexMap<&[PartId], (f64, f64)> = IndexMap::new();
            for run in runs {
                let (blame, weight) = suspects.entry(&run.parts).or_default();
                *blame = blame.max(run.blame);
                *weight = weight.max(run.weight);
            }
            let total: f64 = suspects.values().map(|(_, weight)| weight).sum();
            let mut of_end: IndexMap<PartId, f64> = IndexMap::new();
            for (parts, (blame, weight)) in suspects {
                for part in parts {
                    let highest = of_end.entry(*part).or_default();
                    *highest = highest.max(blame * weight / total);
                }
            }
            for part in runs.iter().flat_map(|run| &run.parts) {
                blames.entry(*part).or_default().1 += 1;
            }
            for (part, blame) in of_end {
                blames.entry(part).or_default().0 += blame;
            }
        }
        let reached =
            blames.into_iter().filter(|(_, (blame, _))| *blame >= self.params.blame_limit);
        let highest =
            reached.max_by(|(part, (blame, runs)), (other, (other_blame, other_runs))| {
                // The last comparison makes all instances choose the same part.
                blame.total_cmp(other_blame).then(other_runs.cmp(runs)).then(part.cmp(other))
            });
        highest.map(|(part, _)| part)
    }
}

impl CrashRecord {
    fn clears(&self) -> impl Iterator<Item = (PartId, ClearReason)> {
        let familiar = self.familiar.iter().map(|part| (*part, ClearReason::Familiar));
        familiar.chain(self.survived.iter().map(|part| (*part, ClearReason::Survived)))
    }
}
