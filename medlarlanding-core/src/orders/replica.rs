//! Grants claims and synchronises each partition after a change of its view.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::age::AgeReading;
use super::coordinator::{OrderEffect, Outbox};
use super::group::{GroupMember, GroupTable, GroupView};
use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId, QueryId};
use super::messages::{
    ClaimVerdict, EpochAgreement, OrderMessage, OrderOutcome, PartitionCopy, PartitionLineage,
    PartitionPull, SyncedState,
};
use super::params::OrderParams;
use super::store::ClaimStore;
use super::sync::{CopyBase, CopyResponse, SyncProgress, choose_base, lineage_rank};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::time::Timestamp;

/// Most pulls per message. A pull takes about 100 bytes, so a batch is far below the frame limit.
const PULL_BATCH: usize = 1024;

/// The last view in which the replica was synchronised, and the state of its records.
#[derive(Clone, Debug)]
pub(super) struct SyncedView {
    pub(super) view: GroupView,
    pub(super) epoch: u64,
    /// When the records came into doubt; `None` if they never were.
    pub(super) doubt: Option<AgeReading>,
    /// What is known of the other members' epochs. The order of a key minted in an epoch that the
    /// other members give up could never be run.
    pub(super) agreement: EpochAgreement,
    /// When the replica stopped granting in the view; `None` while it is in the view.
    pub(super) stopped: Option<AgeReading>,
}

impl SyncedView {
    fn lineage(&self, partition: PartitionId, now: Timestamp) -> PartitionLineage {
        PartitionLineage {
            partition,
            view: self.view.clone(),
            epoch: self.epoch,
            agreement: self.agreement,
            doubt_age_ms: self.doubt.map(|doubt| doubt.age_ms(now)),
        }
    }

    fn state(&self, now: Timestamp) -> SyncedState {
        SyncedState {
            view: self.view.clone(),
            epoch: self.epoch,
            agreement: self.agreement,
            doubt_age_ms: self.doubt.map(|doubt| doubt.age_ms(now)),
            idle_ms: self.stopped.map_or(0, |stopped| stopped.age_ms(now)),
        }
    }
}

/// State of one partition's replica, without its records.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaPartition {
    /// Highest known view. Never decreases; nothing is granted in a lower one.
    pub(super) view: Option<GroupView>,
    /// The view before the current one; its members may have records.
    previous_view: Option<GroupView>,
    /// Never above `view`.
    pub(super) synced: Option<SyncedView>,
    /// Views above `synced` for which copies were sent.
    pub(super) supplied: Vec<GroupView>,
    /// `Some` exactly while this process is a member of `view` and not synchronised in it.
    pub(super) sync: Option<SyncProgress>,
}

impl ReplicaPartition {
    /// Gets the state of the records, or `None` if the partition is not synchronised in its
    /// current view.
    pub(super) fn current(&self) -> Option<&SyncedView> {
        self.synced.as_ref().filter(|synced| self.view.as_ref() == Some(&synced.view))
    }
}

/// State of the coordinator that proposer, replica and queries share but do not change.
pub(super) struct StepContext<'a> {
    pub(super) now: Timestamp,
    pub(super) own: InstanceIdentity,
    pub(super) params: &'a OrderParams,
    pub(super) groups: &'a GroupTable,
    /// Last confirmation of the list in force.
    pub(super) confirmed: Option<AgeReading>,
    /// Whether the process waits for a new `View` after a pause.
    pub(super) suspended: bool,
}

impl StepContext<'_> {
    /// Returns whether the list was confirmed recently enough to grant claims.
    pub(super) fn may_grant(&self) -> bool {
        !self.suspended
            && self
                .confirmed
                .is_some_and(|confirmed| confirmed.age(self.now) <= self.params.list_limit)
    }

    fn member(&self) -> GroupMember {
        GroupMember::of(self.own)
    }
}

/// Replicas of all partitions in one process.
#[derive(Clone, Debug)]
pub(super) struct ReplicaTable {
    pub(super) partitions: Vec<ReplicaPartition>,
    pub(super) store: ClaimStore,
    /// Partitions whose `sync` is `Some`.
    syncing: BTreeSet<PartitionId>,
    /// Partitions of `syncing` whose due pulls the next `send_pulls` looks for.
    pulls_to_check: BTreeSet<PartitionId>,
    /// Synchronised partitions whose epoch is not `Shared`.
    unshared: BTreeSet<PartitionId>,
    /// When the lineages of `unshared` are sent again.
    repeat_lineages_at: Timestamp,
    /// Lineages to send, by receiver.
    lineages: BTreeMap<InstanceId, Vec<PartitionLineage>>,
    /// Whether a view has advanced since the proposer last moved its claims.
    pub(super) views_advanced: bool,
}

impl ReplicaTable {
    pub(super) fn new(params: &OrderParams) -> Self {
        Self {
            partitions: vec![ReplicaPartition::default(); usize::from(params.partitions.max(1))],
            store: ClaimStore::new(params.partitions, params.record_retention()),
            syncing: BTreeSet::new(),
            pulls_to_check: BTreeSet::new(),
            unshared: BTreeSet::new(),
            repeat_lineages_at: Timestamp::default(),
            lineages: BTreeMap::new(),
            views_advanced: false,
        }
    }

    pub(super) fn partition(&self, partition: PartitionId) -> &ReplicaPartition {
        &self.partitions[usize::from(partition.0)]
    }

    /// Gets the highest known view of a partition.
    pub(super) fn view(&self, partition: PartitionId) -> Option<&GroupView> {
        self.partition(partition).view.as_ref()
    }

    /// Returns all partitions with their numbers.
    pub(super) fn numbered(&self) -> impl Iterator<Item = (PartitionId, &ReplicaPartition)> {
        self.partitions
            .iter()
            .enumerate()
            .map(|(number, partition)| (PartitionId(number as u16), partition))
    }

    /// Returns the number of partitions that are not synchronised yet.
    pub(super) fn syncing(&self) -> usize {
        self.syncing.len()
    }

    /// Advances every partition to the view derived from the list and the known start times.
    pub(super) fn refresh_views(&mut self, context: &StepContext<'_>) {
        for number in 0..self.partitions.len() as u16 {
            if let Some(view) = context.groups.view(PartitionId(number)) {
                self.advance_view(context, PartitionId(number), &view);
            }
        }
    }

    /// Advances a partition to the join of its view and another one. This fences the replica: it
    /// never grants in a lower view again.
    pub(super) fn advance_view(
        &mut self,
        context: &StepContext<'_>,
        number: PartitionId,
        view: &GroupView,
    ) {
        let partition = &mut self.partitions[usize::from(number.0)];
        let joined = match &partition.view {
            Some(own) if own == view => return,
            Some(own) => own.join(view),
            None => view.clone(),
        };
        if partition.view.as_ref() == Some(&joined) {
            return;
        }
        if let Some(synced) = &mut partition.synced {
            // The replica stopped granting now or, if earlier, when its list became too old.
            let list_age = context.confirmed.map_or(Duration::ZERO, |at| at.age(context.now));
            let lapsed = list_age.saturating_sub(context.params.list_limit);
            synced.stopped.get_or_insert(AgeReading::new(lapsed, context.now));
        }
        let member = joined.contains(context.member());
        partition.previous_view = partition.view.replace(joined);
        if member {
            partition.sync.get_or_insert_with(|| SyncProgress::new(context.now)).retarget();
            self.syncing.insert(number);
            self.pulls_to_check.insert(number);
        } else {
            partition.sync = None;
            self.syncing.remove(&number);
        }
        self.views_advanced = true;
    }

    /// Decides about a claim.
    pub(super) fn on_claim(
        &mut self,
        context: &StepContext<'_>,
        key: OrderKey,
        attempt: AttemptId,
        body: BodyDigest,
        epoch: Option<u64>,
        view: &GroupView,
    ) -> ClaimVerdict {
        let number = key.partition(context.params.partitions);
        self.advance_view(context, number, view);
        let partition = self.partition(number);
        if let Some(own) = partition.view.as_ref().filter(|&own| own != view) {
            return ClaimVerdict::Stale { view: own.clone() };
        }
        let record = self.store.get(key);
        let blocking = record.and_then(|record| record.blocking(attempt));
        let taken = blocking.map(|entry| ClaimVerdict::Taken {
            attempt: entry.attempt,
            body: entry.body,
            outcome: entry.outcome.clone(),
        });
        let Some(current) = partition.current().filter(|_| context.may_grant()) else {
            // An outcome is final, so it is reported even while the records are incomplete.
            return match taken {
                Some(ClaimVerdict::Taken { outcome: Some(_), .. }) => taken,
                _ => None,
            }
            .unwrap_or(ClaimVerdict::NotReady);
        };
        if let Some(taken) = taken {
            return taken;
        }
        if epoch.is_some_and(|epoch| epoch != current.epoch) {
            return ClaimVerdict::OtherEpoch;
        }
        let full = self.store.len() >= context.params.claim_limit
            || self.store.bytes() >= context.params.byte_limit;
        if record.is_none() && full {
            return ClaimVerdict::Full;
        }
        let verdict = ClaimVerdict::Granted {
            view: current.view.clone(),
            doubt_age_ms: current.doubt.map(|doubt| doubt.age_ms(context.now)),
        };
        self.store.claim(context.now, key, attempt, body);
        verdict
    }

    /// Removes an attempt that its proposer has withdrawn.
    pub(super) fn on_withdraw(&mut self, now: Timestamp, key: OrderKey, attempt: AttemptId) {
        self.store.withdraw(now, key, attempt);
    }

    /// Stores an outcome, whether or not the claim was granted here.
    pub(super) fn on_outcome(
        &mut self,
        now: Timestamp,
        key: OrderKey,
        attempt: AttemptId,
        body: BodyDigest,
        outcome: OrderOutcome,
    ) {
        self.store.complete(now, key, attempt, body, outcome);
    }

    /// Reads a record for a query.
    pub(super) fn on_read(
        &self,
        context: &StepContext<'_>,
        query: QueryId,
        started: u64,
        key: OrderKey,
    ) -> OrderMessage {
        let partition = self.partition(key.partition(context.params.partitions));
        OrderMessage::ReadReply {
            query,
            started,
            synced: partition
                .current()
                .filter(|_| context.may_grant())
                .map(|current| current.state(context.now)),
            attempts: self.store.get(key).map(|record| record.attempts.clone()).unwrap_or_default(),
        }
    }

    /// Answers pulls with copies, which fences this replica at the requester's views.
    pub(super) fn on_pulls(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceId,
        pulls: Vec<PartitionPull>,
        outbox: &mut Outbox<'_>,
    ) {
        let mut copies = Vec::new();
        let mut size = 0;
        for pull in pulls {
            if usize::from(pull.partition.0) >= self.partitions.len() {
                continue;
            }
            let copy = self.build_copy(context, pull);
            let bytes: usize = copy.records.iter().map(|record| record.attempts.len() * 64).sum();
            let answers = copy.records.iter().flat_map(|record| &record.attempts);
            let answers: usize =
                answers.flat_map(|entry| &entry.outcome).map(OrderOutcome::size).sum();
            if size > 0 && size + bytes + answers > context.params.page_limit {
                outbox.send(from, OrderMessage::Copies(std::mem::take(&mut copies)));
                size = 0;
            }
            size += bytes + answers + 128;
            copies.push(copy);
        }
        if !copies.is_empty() {
            outbox.send(from, OrderMessage::Copies(copies));
        }
    }

    fn build_copy(&mut self, context: &StepContext<'_>, pull: PartitionPull) -> PartitionCopy {
        self.advance_view(context, pull.partition, &pull.target);
        let digest = self.store.digest(pull.partition);
        let partition = &mut self.partitions[usize::from(pull.partition.0)];
        let view = partition.view.clone().unwrap_or_else(|| pull.target.clone());
        let fenced = view == pull.target;
        let (records, more) = if fenced && (pull.after.is_some() || pull.digest != digest) {
            self.store.page(context.now, pull.partition, pull.after, context.params.page_limit)
        } else {
            (Vec::new(), false)
        };
        if fenced && partition.current().is_none() && !partition.supplied.contains(&view) {
            partition.supplied.push(view.clone());
        }
        PartitionCopy {
            partition: pull.partition,
            view,
            fenced,
            synced: partition.synced.as_ref().map(|synced| synced.state(context.now)),
            supplied: partition.supplied.clone(),
            after: pull.after,
            records,
            more,
        }
    }

    /// Handles pages of copies.
    pub(super) fn on_copies(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceIdentity,
        copies: Vec<PartitionCopy>,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        for copy in copies {
            if usize::from(copy.partition.0) < self.partitions.len() {
                self.apply_copy(context, from, copy, rng, outbox);
            }
        }
    }

    fn apply_copy(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceIdentity,
        copy: PartitionCopy,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let number = copy.partition;
        self.advance_view(context, number, &copy.view);
        let partition = &mut self.partitions[usize::from(number.0)];
        if !copy.fenced || partition.view.as_ref() != Some(&copy.view) {
            return;
        }
        let Some(sync) = &mut partition.sync else { return };
        let progress = sync.pulls.get_mut(&from.id);
        let Some(progress) = progress.filter(|progress| progress.after == copy.after) else {
            return;
        };
        let last = copy.records.last().map(|record| record.key);
        let seen = CopyResponse {
            member: GroupMember::of(from),
            synced: copy.synced,
            supplied: copy.supplied,
        };
        // A later page from another process of the instance does not continue the copy.
        let first = match progress.first.take() {
            Some(first) if copy.after.is_some() => first,
            _ => seen.clone(),
        };
        if first.member != seen.member {
            progress.after = None;
            progress.next = context.now;
            self.pulls_to_check.insert(number);
            return;
        }
        for record in copy.records {
            self.store.merge(context.now, record);
        }
        if copy.more && last.is_some() {
            progress.after = last;
            progress.first = Some(first);
            progress.next = context.now;
            self.pulls_to_check.insert(number);
            return;
        }
        progress.after = None;
        sync.responses.insert(first.member, first);
        self.pulls_to_check.insert(number);
        self.try_synchronise(context, number, rng, outbox);
    }

    /// Synchronises the partition if the copies suffice, or if it is time to start empty.
    fn try_synchronise(
        &mut self,
        context: &StepContext<'_>,
        number: PartitionId,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let partition = &self.partitions[usize::from(number.0)];
        let (Some(sync), Some(target)) = (&partition.sync, &partition.view) else { return };
        let mut responses = sync.sorted_responses();
        responses.push(CopyResponse {
            member: context.member(),
            synced: partition.synced.as_ref().map(|synced| synced.state(context.now)),
            supplied: partition.supplied.clone(),
        });
        let params = context.params;
        let waited = context.now.since(sync.started);
        let base = choose_base(target, &responses, params.idle_limit).filter(|base| {
            let doubt_ended = base
                .doubt_age_ms
                .is_none_or(|age_ms| Duration::from_millis(age_ms) >= params.doubt_limit());
            doubt_ended || waited >= params.sync_doubt_delay
        });
        let base = match base {
            Some(base) => base,
            None if context.may_grant() && waited >= self.empty_start_delay(context, target) => {
                CopyBase {
                    view: target.clone(),
                    epoch: rng.random(),
                    agreement: EpochAgreement::Alone,
                    doubt_age_ms: Some(0),
                }
            },
            None => return,
        };
        let doubt_age_ms = base.doubt_age_ms;
        let in_doubt =
            doubt_age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) < params.doubt_limit());
        let has_epoch = |response: &CopyResponse| {
            let state = response.synced.as_ref();
            response.member.id != context.own.id
                && state.is_some_and(|state| state.epoch == base.epoch)
        };
        // A pledge holds in one view only.
        let agreement = if !in_doubt {
            EpochAgreement::Shared
        } else if responses.iter().any(has_epoch) {
            EpochAgreement::Pledged
        } else {
            EpochAgreement::Alone
        };
        for member in target.members.iter().filter(|member| member.id != context.own.id) {
            let differs = responses.iter().any(|response| {
                let state = response.synced.as_ref().filter(|state| state.view == *target);
                response.member == *member && state.is_some_and(|state| state.epoch != base.epoch)
            });
            // While in doubt, another member may have started empty at the same time, unknown to
            // this one.
            if in_doubt || differs {
                self.lineages.entry(member.id).or_default().push(PartitionLineage {
                    partition: number,
                    view: target.clone(),
                    epoch: base.epoch,
                    agreement,
                    doubt_age_ms,
                });
            }
        }
        let view = target.clone();
        outbox.effect(OrderEffect::Synchronised {
            partition: number,
            version: view.version,
            in_doubt,
        });
        let partition = &mut self.partitions[usize::from(number.0)];
        partition.supplied.retain(|supplied| !view.covers(supplied));
        partition.synced = Some(SyncedView {
            view,
            epoch: base.epoch,
            doubt: doubt_age_ms.map(|age_ms| AgeReading::from_millis(age_ms, context.now)),
            agreement,
            stopped: None,
        });
        partition.sync = None;
        self.syncing.remove(&number);
        if agreement == EpochAgreement::Shared {
            self.unshared.remove(&number);
        } else {
            if self.unshared.is_empty() {
                self.repeat_lineages_at = context.now + context.params.sync_retry_max;
            }
            self.unshared.insert(number);
        }
    }

    /// Returns the time for which this process waits before it starts a partition empty.
    fn empty_start_delay(&self, context: &StepContext<'_>, target: &GroupView) -> Duration {
        let ahead = target.members.iter().take_while(|member| member.id != context.own.id);
        let ahead =
            ahead.filter(|member| context.groups.is_live(member.id, member.started)).count();
        context.params.empty_start_delay + context.params.empty_start_step * ahead as u32
    }

    /// Handles the lineage of another member of the same view. If the epochs are equal, the members
    /// agree on it. If they differ, reads copies again if the other lineage ranks higher, and
    /// otherwise sends this replica's lineage back.
    pub(super) fn on_lineage(
        &mut self,
        context: &StepContext<'_>,
        from: InstanceId,
        other: &PartitionLineage,
    ) {
        let number = other.partition;
        let Some(partition) = self.partitions.get_mut(usize::from(number.0)) else { return };
        let Some(current) = partition.current().filter(|current| current.view == other.view) else {
            return;
        };
        let own = current.lineage(number, context.now);
        if own.epoch == other.epoch {
            let agreement = match other.agreement {
                EpochAgreement::Alone => EpochAgreement::Pledged,
                EpochAgreement::Pledged | EpochAgreement::Shared => EpochAgreement::Shared,
            };
            self.agree(context, number, from, other.agreement, agreement);
            return;
        }
        match rank_lineages(&own, other) {
            LineageRank::KeepsOwn => return,
            LineageRank::AnswersWithOwn => {
                self.lineages.entry(from).or_default().push(own);
                return;
            },
            LineageRank::Yields => {},
        }
        partition.synced = None;
        partition.sync = Some(SyncProgress::new(context.now));
        self.syncing.insert(number);
        self.pulls_to_check.insert(number);
    }

    /// Records an agreement with the member `from` and sends the lineages that follow from it.
    /// `known` is the agreement that the member reported.
    fn agree(
        &mut self,
        context: &StepContext<'_>,
        number: PartitionId,
        from: InstanceId,
        known: EpochAgreement,
        agreement: EpochAgreement,
    ) {
        let partition = &mut self.partitions[usize::from(number.0)];
        let Some(synced) = &mut partition.synced else { return };
        let is_newly_shared =
            agreement == EpochAgreement::Shared && synced.agreement < EpochAgreement::Shared;
        synced.agreement = synced.agreement.max(agreement);
        let lineage = synced.lineage(number, context.now);
        if synced.agreement == EpochAgreement::Shared {
            self.unshared.remove(&number);
        }
        // The third member may have another epoch, which it gives up for a shared one only.
        let others = synced.view.members.iter().map(|member| member.id);
        let receivers = others.filter(|id| {
            *id != context.own.id
                && (is_newly_shared || *id == from && known < EpochAgreement::Shared)
        });
        for receiver in receivers {
            self.lineages.entry(receiver).or_default().push(lineage.clone());
        }
    }

    /// Drops expired records, tries to synchronise partitions and lets `send_pulls` check all
    /// partitions that are still not synchronised.
    pub(super) fn tick(
        &mut self,
        context: &StepContext<'_>,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        self.store.expire(context.now);
        for number in self.syncing.clone() {
            self.try_synchronise(context, number, rng, outbox);
        }
        self.pulls_to_check.clone_from(&self.syncing);
        if !self.unshared.is_empty() && context.now >= self.repeat_lineages_at {
            self.repeat_lineages_at = context.now + context.params.sync_retry_max;
            self.repeat_lineages(context);
        }
    }

    /// Sends the lineages on which the members have not agreed again, because a message may be lost.
    fn repeat_lineages(&mut self, context: &StepContext<'_>) {
        let partitions = &self.partitions;
        self.unshared.retain(|number| partitions[usize::from(number.0)].current().is_some());
        for &number in &self.unshared {
            let Some(current) = partitions[usize::from(number.0)].current() else { continue };
            let members = current.view.members.iter();
            for member in members.filter(|member| context.groups.is_live(member.id, member.started))
            {
                if member.id != context.own.id {
                    let lineage = current.lineage(number, context.now);
                    self.lineages.entry(member.id).or_default().push(lineage);
                }
            }
        }
    }

    /// Sends the due pulls and the lineages, batched by receiver.
    pub(super) fn send_pulls(&mut self, context: &StepContext<'_>, outbox: &mut Outbox<'_>) {
        for (to, lineages) in std::mem::take(&mut self.lineages) {
            outbox.send(to, OrderMessage::Lineages(lineages));
        }
        let mut batches: BTreeMap<InstanceId, Vec<PartitionPull>> = BTreeMap::new();
        for number in std::mem::take(&mut self.pulls_to_check) {
            let partition = &mut self.partitions[usize::from(number.0)];
            let (Some(target), Some(sync)) = (&partition.view, &mut partition.sync) else {
                continue;
            };
            let views =
                [partition.previous_view.as_ref(), partition.synced.as_ref().map(|own| &own.view)];
            let reported = sync.responses.values().flat_map(|response| {
                response.supplied.iter().chain(response.synced.iter().map(|state| &state.view))
            });
            let likely: BTreeSet<_> = std::iter::once(target)
                .chain(views.into_iter().flatten())
                .chain(reported)
                .flat_map(|view| view.members.iter().map(|member| member.id))
                .filter(|&id| id != context.own.id)
                .collect();
            sync.add_providers(context.now, likely.iter().copied());
            if context.now.since(sync.started) >= context.params.sync_widen_delay {
                let others = context.groups.instances().filter(|&id| id != context.own.id);
                sync.add_providers(context.now, others);
            }
            let due: Vec<_> = sync
                .pulls
                .iter()
                .filter(|(_, progress)| progress.next <= context.now)
                .map(|(&id, progress)| (id, progress.after))
                .collect();
            for (id, after) in due {
                sync.schedule_next(context.now, id, likely.contains(&id), context.params);
                batches.entry(id).or_default().push(PartitionPull {
                    partition: number,
                    target: target.clone(),
                    digest: self.store.digest(number),
                    after,
                });
            }
        }
        for (to, mut pulls) in batches {
            while pulls.len() > PULL_BATCH {
                let rest = pulls.split_off(PULL_BATCH);
                outbox.send(to, OrderMessage::Pull(std::mem::replace(&mut pulls, rest)));
            }
            outbox.send(to, OrderMessage::Pull(pulls));
        }
    }

    /// Returns when `tick` is due.
    pub(super) fn next_wakeup(&self, context: &StepContext<'_>) -> Option<Timestamp> {
        let syncing = self.syncing.iter().flat_map(|&number| {
            let partition = self.partition(number);
            let sync = partition.sync.as_ref();
            let target = partition.view.as_ref();
            let steps = sync.zip(target).into_iter().flat_map(|(sync, target)| {
                [
                    sync.started + context.params.sync_widen_delay,
                    sync.started + context.params.sync_doubt_delay,
                    sync.started + self.empty_start_delay(context, target),
                ]
            });
            steps.filter(|&step| step > context.now).chain(sync.and_then(SyncProgress::next_pull))
        });
        let repeat = (!self.unshared.is_empty()).then_some(self.repeat_lineages_at);
        Timestamp::earliest(Timestamp::earliest(syncing.min(), repeat), self.store.next_wakeup())
    }
}

/// What a replica does with another member's lineage that has a different epoch.
enum LineageRank {
    /// The replica keeps its epoch and waits for the others to agree.
    KeepsOwn,
    /// The replica keeps its epoch and tells the other member, which gives up its own.
    AnswersWithOwn,
    /// The replica gives up its epoch.
    Yields,
}

/// Compares the lineages of two members of a view whose epochs differ. Records that never were in
/// doubt go first, then what the members have agreed on.
fn rank_lineages(own: &PartitionLineage, other: &PartitionLineage) -> LineageRank {
    let undoubted = |lineage: &PartitionLineage| lineage_rank(lineage.doubt_age_ms);
    if undoubted(own) != undoubted(other) {
        return if undoubted(own) { LineageRank::AnswersWithOwn } else { LineageRank::Yields };
    }
    match (own.agreement, other.agreement) {
        (EpochAgreement::Shared, EpochAgreement::Alone | EpochAgreement::Pledged) => {
            LineageRank::AnswersWithOwn
        },
        (EpochAgreement::Pledged, EpochAgreement::Pledged) => LineageRank::KeepsOwn,
        (EpochAgreement::Pledged, EpochAgreement::Alone) => LineageRank::AnswersWithOwn,
        (EpochAgreement::Alone, EpochAgreement::Pledged)
        | (EpochAgreement::Alone | EpochAgreement::Pledged, EpochAgreement::Shared) => {
            LineageRank::Yields
        },
        // Two undoubted epochs, or two empty starts at the same time.
        (EpochAgreement::Shared, EpochAgreement::Shared)
        | (EpochAgreement::Alone, EpochAgreement::Alone) => {
            if other.epoch < own.epoch {
                LineageRank::AnswersWithOwn
            } else {
                LineageRank::Yields
            }
        },
    }
}
