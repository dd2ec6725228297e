//! Finds parts of prompts on which engines end, and blocks requests that contain them.
//!
//! Load pattern: an engine ends as soon as it begins to write on a certain part of a prompt, together
//! with all its other runs. Requests with the part arrive at any instance, no two alike, and share
//! the customer and the other parts with sound requests, which must go on. Each instance sees only
//! its own runs of an engine, so all instances share one ledger of the runs that an end broke off.
//!
//! An end says nothing about the engine's health or the customer. It counts against the runs that it
//! broke off soon after they had begun, and of their parts against those that no run survives. An end
//! beside many other runs says little of each, but a part that is in the runs of several ends and in none
//! that survives is suspected however many others there are.
//! When all engines end again as soon as they are back, nothing survives to compare with, and such a part
//! is in doubt until a single request is tried.
//!
//! Prompts name as many parts as the limit of a request's head allows, and each may be the fatal one.

use std::time::Duration;

use super::block_rule::{BlockParams, BlockRule, BlockedPart, PromptVerdict};
use super::ledger_news::{ClearReason, ClearReport, CrashKey, CrashReport, LedgerNews, MergedNews};
use super::parts::{PartId, PromptParts, RunPhase};
use super::suspects::{PartSurvival, SuspectRun, next_part, recurring_parts};
use crate::ids::stable_hash;
use crate::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

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
    /// Ends with a suspect run some of whose parts no run survived before, from which a part does not
    /// count as familiar.
    pub unfamiliar_ends_min: usize,
    /// When requests with a suspected part are blocked and tried.
    pub block: BlockParams,
    /// Time for which the record of a broken run is kept.
    pub retention: Duration,
    /// Time for which a part counts as familiar after a run has survived it.
    pub familiarity: Duration,
    /// Longest time between two broken runs of the same end. An engine takes longer to start again.
    pub end_span: Duration,
    /// Ends at which a part is in a broken run, and of which runs with its other parts but none with it
    /// survived, from which it is blocked.
    pub recurrence_limit: usize,
    /// Most records of broken runs; the oldest are dropped.
    pub record_limit: usize,
    /// Most shared parts in all records, each about 32 bytes; enough for 16 prompts that fill a head of
    /// 16 KiB. The records of runs that had just begun are dropped last.
    pub part_limit: usize,
    /// Records that are kept whatever the length of their prompts.
    pub record_minimum: usize,
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
            unfamiliar_ends_min: 2,
            block: BlockParams::default(),
            retention: Duration::from_secs(1800),
            familiarity: Duration::from_secs(300),
            end_span: Duration::from_secs(1),
            recurrence_limit: 4,
            record_limit: 256,
            part_limit: 65_536,
            record_minimum: 8,
            survival_limit: 16_384,
        }
    }
}

/// What is known of a part of a broken run.
#[derive(Clone, Copy, Debug, Default)]
struct PartMarks {
    /// A later run survived the part.
    is_survived: bool,
    /// An earlier run survived the part.
    is_familiar: bool,
}

impl PartMarks {
    fn survival(&self) -> Option<PartSurvival> {
        match (self.is_survived, self.is_familiar) {
            (true, _) => Some(PartSurvival::SinceEnd),
            (false, true) => Some(PartSurvival::BeforeEnd),
            (false, false) => None,
        }
    }
}

#[derive(Debug)]
struct CrashRecord {
    phase: RunPhase,
    /// Parts that the run's prompt shares with others, as far as they have arrived.
    shared: IndexMap<PartId, PartMarks>,
    own: Option<PartId>,
    /// When the engine ended.
    at: Timestamp,
    /// When this instance learned of it.
    learned_at: Timestamp,
}

/// Broken runs that all instances reported, and the blocked parts that follow from them.
#[derive(Debug, Default)]
pub struct CrashLedger {
    params: LedgerParams,
    records: IndexMap<CrashKey, CrashRecord>,
    /// When a run last survived each part; no part belongs to a single request.
    survivals: IndexMap<PartId, Timestamp>,
    /// Derived from `records` at each change, unless `is_stale` is set.
    rules: IndexMap<PartId, BlockRule>,
    /// Entries were absorbed since `rules` was derived.
    is_stale: bool,
    /// When this instance last tried a request with a part; older ones than its rule are dropped at the
    /// next trial.
    trials: IndexMap<PartId, Timestamp>,
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
        let (part, rule) = self.rules_for(now, parts).next()?;
        Some(self.blocked_part(now, part, rule))
    }

    /// Decides on a new request. Only one instance of the fleet at a time may be the one that tries
    /// requests with blocked parts.
    pub fn admit(&mut self, now: Timestamp, parts: &PromptParts, may_try: bool) -> PromptVerdict {
        let Some(blocked) = self.check(now, parts) else { return PromptVerdict::Free };
        let pause = self.params.block.trial_pause;
        let is_due = |(part, rule): (PartId, &BlockRule)| {
            let last = self.trials.get(&part);
            rule.trial_at.is_some_and(|at| at <= now)
                && last.is_none_or(|last| now.since(*last) >= pause)
        };
        if !may_try || !self.rules_for(now, parts).all(is_due) {
            return PromptVerdict::Refused(blocked);
        }
        let tried: Vec<PartId> = self.rules_for(now, parts).map(|(part, _)| part).collect();
        self.trials.retain(|part, _| self.rules.contains_key(part));
        self.trials.extend(tried.into_iter().map(|part| (part, now)));
        PromptVerdict::Trial(blocked)
    }

    /// Returns the rules that block a prompt.
    fn rules_for<'a>(
        &'a self,
        now: Timestamp,
        parts: &'a PromptParts,
    ) -> impl Iterator<Item = (PartId, &'a BlockRule)> {
        // Searched for each common part, of which long prompts have thousands.
        let mut named: Option<IndexSet<PartId>> = None;
        let all = if self.rules.is_empty() { &[] } else { parts.all() };
        all.iter().filter_map(move |part| {
            let rule = self.rules.get(part).filter(|rule| rule.is_in_force(now))?;
            let named = named.get_or_insert_with(|| parts.all().iter().copied().collect());
            let is_blocked = rule.common.iter().all(|common| named.contains(common));
            is_blocked.then_some((*part, rule))
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
        let (shared, own) = (parts.shared().to_vec(), parts.own());
        let crash = CrashReport { key, phase, shared, own, age_ms: 0 };
        self.merge(now, LedgerNews { crashes: vec![crash], clears: Vec::new() }).into_all()
    }

    /// Records that a run which began at `begun_at` survived its parts: its engine has lived for
    /// `SURVIVAL_TIME` since it began to write. Returns what is new.
    pub fn record_survival(
        &mut self,
        now: Timestamp,
        begun_at: Timestamp,
        parts: &PromptParts,
    ) -> LedgerNews {
        self.record_writing(now, parts);
        let mut news = LedgerNews::default();
        for (key, record) in &mut self.records {
            if begun_at <= record.learned_at {
                continue;
            }
            let mut cleared = Vec::new();
            for part in parts.all() {
                let marks = record.shared.get_mut(part).filter(|marks| !marks.is_survived);
                if let Some(marks) = marks {
                    marks.is_survived = true;
                    cleared.push(*part);
                }
            }
            if !cleared.is_empty() {
                let reason = ClearReason::Survived;
                news.clears.push(ClearReport { key: *key, parts: cleared, reason });
            }
        }
        if !news.is_empty() {
            self.derive_rules();
        }
        news
    }

    /// Records that an engine has written on a prompt for longer than a fatal part allows, though not
    /// long enough to clear its parts.
    pub fn record_writing(&mut self, now: Timestamp, parts: &PromptParts) {
        for part in parts.shared() {
            self.survivals.insert(*part, now);
        }
        self.limit_survivals();
    }

    /// Returns whether it matters that a run with this prompt survives it: a part is suspected, or was
    /// not survived lately.
    pub fn wants_evidence(&self, now: Timestamp, parts: &PromptParts) -> bool {
        let is_recent = |at: &Timestamp| now.since(*at) < self.params.familiarity / 2;
        parts.shared().iter().any(|part| {
            let is_suspected = |record: &CrashRecord| {
                record.shared.get(part).is_some_and(|marks| !marks.is_survived)
            };
            !self.survivals.get(part).is_some_and(is_recent)
                || self.records.values().any(is_suspected)
        })
    }

    /// Returns whether an engine, given with the hash of its start, has ended since `from`.
    pub fn has_end_since(&self, from: Timestamp, server: u64) -> bool {
        let has_ended =
            |(key, record): (&CrashKey, &CrashRecord)| key.server == server && record.at >= from;
        self.records.iter().any(has_ended)
    }

    /// Records that an engine ended, without a run. Returns what is new.
    pub fn record_end(&mut self, now: Timestamp, server: u64) -> LedgerNews {
        let key = CrashKey { server, run: 0 };
        self.record_crash(now, key, RunPhase::Waiting, PromptParts::default())
    }

    /// Drops the oldest of too many survivals.
    fn limit_survivals(&mut self) {
        if self.survivals.len() > self.params.survival_limit {
            self.survivals.sort_by(|_, earlier, _, later| earlier.cmp(later));
            self.survivals.drain(..self.params.survival_limit / 2);
        }
    }

    /// Adds entries of a peer and marks the parts that runs of this instance survived earlier.
    pub fn merge(&mut self, now: Timestamp, received: LedgerNews) -> MergedNews {
        let merged = self.absorb(now, received);
        self.refresh();
        merged
    }

    /// Derives the blocked parts again if entries were absorbed since the last time.
    pub fn refresh(&mut self) {
        if std::mem::take(&mut self.is_stale) {
            self.derive_rules();
        }
    }

    /// Adds entries like `merge`, but keeps the blocked parts until `refresh`. Entries of long prompts
    /// arrive in many messages, for each of which all parts would be weighed.
    pub fn absorb(&mut self, now: Timestamp, received: LedgerNews) -> MergedNews {
        self.evict(now);
        let mut news = LedgerNews::default();
        let mut own = LedgerNews::default();
        for crash in received.crashes {
            let age = Duration::from_millis(crash.age_ms.into());
            if age >= self.params.retention {
                continue;
            }
            let is_new = !self.records.contains_key(&crash.key);
            let record = self.records.entry(crash.key).or_insert_with(|| CrashRecord {
                phase: crash.phase,
                shared: IndexMap::new(),
                own: crash.own,
                at: now - age,
                learned_at: now,
            });
            let (mut added, mut familiar) = (Vec::new(), Vec::new());
            for part in crash.shared {
                let indexmap::map::Entry::Vacant(entry) = record.shared.entry(part) else {
                    continue;
                };
                let survived_at = self.survivals.get(&part);
                let is_familiar =
                    survived_at.is_some_and(|at| now.since(*at) < self.params.familiarity);
                entry.insert(PartMarks { is_survived: false, is_familiar });
                added.push(part);
                if is_familiar {
                    familiar.push(part);
                }
            }
            if !familiar.is_empty() {
                let reason = ClearReason::Familiar;
                own.clears.push(ClearReport { key: crash.key, parts: familiar, reason });
            }
            if is_new || !added.is_empty() {
                news.crashes.push(CrashReport { shared: added, ..crash });
            }
        }
        for mut clear in received.clears {
            let Some(record) = self.records.get_mut(&clear.key) else { continue };
            clear.parts.retain(|part| {
                let Some(marks) = record.shared.get_mut(part) else { return false };
                let mark = match clear.reason {
                    ClearReason::Familiar => &mut marks.is_familiar,
                    ClearReason::Survived => &mut marks.is_survived,
                };
                !std::mem::replace(mark, true)
            });
            if !clear.parts.is_empty() {
                news.clears.push(clear);
            }
        }
        self.enforce_limits();
        self.is_stale |= !news.is_empty();
        MergedNews { received: news, own }
    }

    /// Drops records until the limits are kept: the oldest ones, or, if prompts are long, first those of
    /// runs that are not likely to have caused their end.
    fn enforce_limits(&mut self) {
        if self.records.len() > self.params.record_limit {
            self.records.sort_by(|_, earlier, _, later| earlier.at.cmp(&later.at));
            self.records.drain(..self.records.len() - self.params.record_limit);
        }
        let mut parts: usize = self.records.values().map(|record| record.shared.len()).sum();
        if parts <= self.params.part_limit {
            return;
        }
        let is_likely = |record: &CrashRecord| match record.phase {
            RunPhase::Beginning | RunPhase::Hidden => true,
            RunPhase::Waiting | RunPhase::Writing => false,
        };
        self.records.sort_by(|_, one, _, other| {
            is_likely(one).cmp(&is_likely(other)).then(one.at.cmp(&other.at))
        });
        let most = self.records.len().saturating_sub(self.params.record_minimum);
        let mut dropped = 0;
        for record in self.records.values().take(most) {
            if parts <= self.params.part_limit {
                break;
            }
            parts -= record.shared.len();
            dropped += 1;
        }
        self.records.drain(..dropped);
    }

    /// Returns all entries.
    pub fn snapshot(&self, now: Timestamp) -> LedgerNews {
        let mut all = LedgerNews::default();
        for (key, record) in &self.records {
            all.crashes.push(CrashReport {
                key: *key,
                phase: record.phase,
                shared: record.shared.keys().copied().collect(),
                own: record.own,
                age_ms: now.since(record.at).as_millis().min(u32::MAX.into()) as u32,
            });
            for reason in [ClearReason::Familiar, ClearReason::Survived] {
                let parts: Vec<PartId> = record.cleared(reason).collect();
                if !parts.is_empty() {
                    all.clears.push(ClearReport { key: *key, parts, reason });
                }
            }
        }
        all
    }

    /// Returns a number that is equal on instances with the same entries; 0 if there are none.
    pub fn fingerprint(&self) -> u64 {
        let mut sum = 0u64;
        for (key, record) in &self.records {
            let number = key.server.rotate_left(1) ^ key.run;
            // Changes when parts of a long prompt arrive.
            let size = record.shared.len() as u64;
            sum = sum.wrapping_add(mix(number ^ size.rotate_left(32)));
            for (part, marks) in &record.shared {
                if marks.is_familiar {
                    sum = sum.wrapping_add(mix(number.rotate_left(7) ^ part.0));
                }
                if marks.is_survived {
                    sum = sum.wrapping_add(mix(number.rotate_left(8) ^ part.0));
                }
            }
        }
        sum
    }

    /// Returns the blocked parts.
    pub fn blocked(&self, now: Timestamp) -> Vec<BlockedPart> {
        let in_force = self.rules.iter().filter(|(_, rule)| rule.is_in_force(now));
        in_force.map(|(part, rule)| self.blocked_part(now, *part, rule)).collect()
    }

    fn blocked_part(&self, now: Timestamp, part: PartId, rule: &BlockRule) -> BlockedPart {
        BlockedPart {
            part,
            ends: self.ends_with(part),
            remaining: rule.until.since(now),
            is_doubtful: rule.is_doubtful,
        }
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
            end.iter().any(|(_, record)| record.contains(part))
        };
        self.ends().iter().filter(has_part).count()
    }

    fn evict(&mut self, now: Timestamp) {
        let retention = self.params.retention;
        let count = self.records.len();
        self.records.retain(|_, record| now.since(record.at) < retention);
        self.is_stale |= self.records.len() < count;
    }

    /// Derives the blocked parts from the records.
    ///
    /// The part with the most blame is blocked first and explains all ends at which it is suspected;
    /// the other parts are judged by the ends that are left. Of parts with the same blame the one that
    /// fewer broken runs contain is blocked, because a part that many prompts share is in the runs
    /// beside the fatal one too. The same holds for parts that are blocked because they recur.
    fn derive_rules(&mut self) {
        self.is_stale = false;
        let mut own_ends: IndexMap<PartId, usize> = IndexMap::new();
        let all_ends = self.ends();
        for end in &all_ends {
            let own = end.iter().filter_map(|(_, record)| record.own);
            for part in own.collect::<IndexSet<PartId>>() {
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
        let recurring = recurring_parts(&self.params, &ends);
        while let Some((part, is_doubtful)) = next_part(&self.params, &ends, &recurring) {
            let mut with_part = ends.iter().flatten().filter(|run| run.contains(part));
            let mut common: Vec<PartId> =
                with_part.next().into_iter().flat_map(SuspectRun::parts).collect();
            with_part.for_each(|run| common.retain(|part| run.contains(*part)));
            let rule = self.block_rule(part, is_doubtful, common, &ends);
            rules.insert(part, rule);
            ends.retain(|runs| runs.iter().all(|run| !run.contains(part)));
        }
        self.rules = rules;
    }

    /// Creates the rule for a part that is suspected of some of these ends.
    fn block_rule(
        &self,
        part: PartId,
        is_doubtful: bool,
        common: Vec<PartId>,
        ends: &[Vec<SuspectRun>],
    ) -> BlockRule {
        let (mut times, mut unfamiliar_ends) = (Vec::new(), 0);
        for runs in ends {
            let mut with_part = runs.iter().filter(|run| run.contains(part)).peekable();
            let at = with_part.peek().and_then(|run| self.records.get(&run.key)).map(|it| it.at);
            times.extend(at);
            unfamiliar_ends += usize::from(with_part.any(|run| !run.is_familiar_with(part)));
        }
        let is_doubtful = is_doubtful || unfamiliar_ends < self.params.unfamiliar_ends_min;
        BlockRule::new(&self.params.block, common, is_doubtful, times)
    }

    /// Returns the parts of a broken run that are suspected; `None` if there are none.
    fn suspect_run(
        &self,
        key: CrashKey,
        record: &CrashRecord,
        recurs: impl Fn(&PartId) -> bool,
    ) -> Option<SuspectRun> {
        let open = record.shared.iter().filter(|(_, marks)| !marks.is_survived);
        let unfamiliar = open.clone().filter(|(_, marks)| !marks.is_familiar);
        let mut shared: Vec<PartId> = unfamiliar.map(|(part, _)| *part).collect();
        let is_familiar = shared.is_empty();
        if is_familiar {
            shared.extend(open.map(|(part, _)| part));
        }
        let own = record.own.filter(recurs);
        if shared.is_empty() && own.is_none() {
            return None;
        }
        shared.sort_unstable();
        let progress = match record.phase {
            RunPhase::Waiting | RunPhase::Writing => self.params.remote_blame,
            RunPhase::Beginning | RunPhase::Hidden => 1.0,
        };
        let familiar_blame = if is_familiar { self.params.familiar_blame } else { 1.0 };
        let familiar_weight = if is_familiar { self.params.familiar_weight } else { 1.0 };
        let survivals = record.shared.values().filter_map(PartMarks::survival);
        Some(SuspectRun {
            key,
            shared,
            own,
            blame: progress,
            shared_blame: progress * familiar_blame,
            shared_weight: progress * familiar_weight,
            is_familiar,
            survived: survivals.max().filter(|_| record.phase != RunPhase::Writing),
        })
    }
}

/// Mixes the bits of a number, for sums that differ if one summand does.
fn mix(number: u64) -> u64 {
    stable_hash(&number.to_be_bytes())
}

impl CrashRecord {
    fn contains(&self, part: PartId) -> bool {
        self.shared.contains_key(&part) || self.own == Some(part)
    }

    /// Returns the parts that are cleared for a reason.
    fn cleared(&self, reason: ClearReason) -> impl Iterator<Item = PartId> {
        let is_cleared = move |marks: &PartMarks| match reason {
            ClearReason::Familiar => marks.is_familiar,
            ClearReason::Survived => marks.is_survived,
        };
        let cleared = self.shared.iter().filter(move |(_, marks)| is_cleared(marks));
        cleared.map(|(part, _)| *part)
    }
}
