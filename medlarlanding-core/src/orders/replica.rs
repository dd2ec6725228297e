//! The replica of a process: views, grants, copies and doubt of each partition.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

use super::aged::AgedMoment;
use super::coordinator::{OrderEffect, Outbox};
use super::group::{GroupMember, GroupTable, GroupView};
use super::keys::{AttemptId, BodyDigest, OrderKey, PartitionId, QueryId};
use super::messages::{
    ClaimVerdict, OrderMessage, OrderOutcome, PartitionCopy, PartitionLineage, PartitionPull,
    SyncedState,
};
use super::params::OrderParams;
use super::store::ClaimStore;
use super::sync::{CopyBase, CopyResponse, SyncProgress, choose_base, lineage_rank};
use crate::ids::{InstanceId, InstanceIdentity};
use crate::time::Timestamp;

/// Pulls per message: about 100 bytes each, far below the limit of a frame.
const PULL_BATCH: usize = 1024;

/// The last view in which the replica was synchronised.
#[derive(Clone, Debug)]
pub(super) struct SyncedView {
    pub(super) view: GroupView,
    pub(super) epoch: u64,
    pub(super) doubt: Option<AgedMoment>,
    /// Whether another member is known to hold the same epoch, or the memory is not in doubt.
    /// A key minted in an epoch that the other members give up could never run.
    pub(super) shared: bool,
    /// When the replica stopped granting in the view, if it has moved on.
    pub(super) stopped: Option<AgedMoment>,
}

impl SyncedView {
    fn state(&self, now: Timestamp) -> SyncedState {
        SyncedState {
            view: self.view.clone(),
            epoch: self.epoch,
            doubt_age_ms: self.doubt.map(|doubt| doubt.age_ms(now)),
            idle_ms: self.stopped.map_or(0, |stopped| stopped.age_ms(now)),
        }
    }
}

/// What a replica knows about one partition apart from its records.
#[derive(Clone, Debug, Default)]
pub(super) struct ReplicaPartition {
    /// Highest view known. Only rises; nothing is granted in a lower one.
    pub(super) view: Option<GroupView>,
    /// The view before the present one, whose members may hold the memory.
    prior: Option<GroupView>,
    /// Never above `view`.
    pub(super) synced: Option<SyncedView>,
    /// Views above `synced` for which copies were given.
    pub(super) supplied: Vec<GroupView>,
    /// Present exactly while this process is a member of `view` and not synchronised in it.
    pub(super) sync: Option<SyncProgress>,
}

impl ReplicaPartition {
    /// Gets the state of a partition that is synchronised in its present view.
    pub(super) fn current(&self) -> Option<&SyncedView> {
        self.synced.as_ref().filter(|synced| self.view.as_ref() == Some(&synced.view))
    }
}

/// What a step of the state machine may use beside its own state.
pub(super) struct StepScope<'a> {
    pub(super) now: Timestamp,
    pub(super) own: InstanceIdentity,
    pub(super) params: &'a OrderParams,
    pub(super) groups: &'a GroupTable,
    /// Age of the list's last confirmation.
    pub(super) confirmed: Option<AgedMoment>,
    /// Whether the process waits for fresh views after a pause.
    pub(super) suspended: bool,
}

impl StepScope<'_> {
    /// Returns whether the list is fresh enough to grant claims.
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

/// The replica of one process.
#[derive(Clone, Debug)]
pub(super) struct ReplicaTable {
    pub(super) partitions: Vec<ReplicaPartition>,
    pub(super) store: ClaimStore,
    /// Partitions with a `sync`.
    syncing: BTreeSet<PartitionId>,
    /// Partitions of `syncing` in which a question may be due before the next wake-up.
    unasked: BTreeSet<PartitionId>,
    /// Lineages to tell, per peer.
    lineages: BTreeMap<InstanceId, Vec<PartitionLineage>>,
    /// Whether a view rose since the proposer looked.
    pub(super) raised: bool,
}

impl ReplicaTable {
    pub(super) fn new(params: &OrderParams) -> Self {
        Self {
            partitions: vec![ReplicaPartition::default(); usize::from(params.partitions.max(1))],
            store: ClaimStore::new(params.partitions, params.keep()),
            syncing: BTreeSet::new(),
            unasked: BTreeSet::new(),
            lineages: BTreeMap::new(),
            raised: false,
        }
    }

    pub(super) fn partition(&self, partition: PartitionId) -> &ReplicaPartition {
        &self.partitions[usize::from(partition.0)]
    }

    /// Gets the highest view known of a partition.
    pub(super) fn view(&self, partition: PartitionId) -> Option<&GroupView> {
        self.partition(partition).view.as_ref()
    }

    /// Gets all partitions with their numbers.
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

    /// Moves every partition up to the view that the list and the incarnations give.
    pub(super) fn refresh_views(&mut self, scope: &StepScope<'_>) {
        for number in 0..self.partitions.len() as u16 {
            if let Some(view) = scope.groups.view(PartitionId(number)) {
                self.raise(scope, PartitionId(number), &view);
            }
        }
    }

    /// Moves a partition up to the join of its view and another one. This fences the replica:
    /// it grants in no lower view again.
    pub(super) fn raise(&mut self, scope: &StepScope<'_>, number: PartitionId, view: &GroupView) {
        let partition = &mut self.partitions[usize::from(number.0)];
        let raised = match &partition.view {
            Some(own) if own == view => return,
            Some(own) => own.join(view),
            None => view.clone(),
        };
        if partition.view.as_ref() == Some(&raised) {
            return;
        }
        if let Some(synced) = &mut partition.synced {
            // Grants ended at the latest when the list became too old.
            let list_age = scope.confirmed.map_or(Duration::ZERO, |at| at.age(scope.now));
            let lapsed = list_age.saturating_sub(scope.params.list_limit);
            synced.stopped.get_or_insert(AgedMoment::new(lapsed, scope.now));
        }
        let member = raised.contains(scope.member());
        partition.prior = partition.view.replace(raised);
        if member {
            partition.sync.get_or_insert_with(|| SyncProgress::new(scope.now)).retarget();
            self.syncing.insert(number);
            self.unasked.insert(number);
        } else {
            partition.sync = None;
            self.syncing.remove(&number);
        }
        self.raised = true;
    }

    /// Decides about a claim.
    pub(super) fn on_claim(
        &mut self,
        scope: &StepScope<'_>,
        key: OrderKey,
        attempt: AttemptId,
        body: BodyDigest,
        epoch: Option<u64>,
        view: &GroupView,
    ) -> ClaimVerdict {
        let number = key.partition(scope.params.partitions);
        self.raise(scope, number, view);
        let partition = self.partition(number);
        if let Some(own) = partition.view.as_ref().filter(|&own| own != view) {
            return ClaimVerdict::Stale { view: own.clone() };
        }
        let record = self.store.get(key);
        let foreign = record.and_then(|record| record.leading(attempt));
        let taken = foreign.map(|entry| ClaimVerdict::Taken {
            attempt: entry.attempt,
            body: entry.body,
            outcome: entry.outcome.clone(),
        });
        let Some(current) = partition.current().filter(|_| scope.may_grant()) else {
            // An outcome is final, so it can be told even while the memory is incomplete.
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
        let full = self.store.len() >= scope.params.claim_limit
            || self.store.bytes() >= scope.params.byte_limit;
        if record.is_none() && full {
            return ClaimVerdict::Full;
        }
        let verdict = ClaimVerdict::Granted {
            view: current.view.clone(),
            doubt_age_ms: current.doubt.map(|doubt| doubt.age_ms(scope.now)),
        };
        self.store.claim(scope.now, key, attempt, body);
        verdict
    }

    /// Removes an attempt that its proposer has given up.
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
        scope: &StepScope<'_>,
        query: QueryId,
        started: u64,
        key: OrderKey,
    ) -> OrderMessage {
        let partition = self.partition(key.partition(scope.params.partitions));
        OrderMessage::ReadReply {
            query,
            started,
            synced: partition
                .current()
                .filter(|_| scope.may_grant())
                .map(|current| current.state(scope.now)),
            attempts: self.store.get(key).map(|record| record.attempts.clone()).unwrap_or_default(),
        }
    }

    /// Gives copies, which fences this replica at the requester's views.
    pub(super) fn on_pulls(
        &mut self,
        scope: &StepScope<'_>,
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
            let copy = self.supply(scope, pull);
            let bytes: usize = copy.records.iter().map(|record| record.attempts.len() * 64).sum();
            let answers = copy.records.iter().flat_map(|record| &record.attempts);
            let answers: usize =
                answers.flat_map(|entry| &entry.outcome).map(OrderOutcome::size).sum();
            if size > 0 && size + bytes + answers > scope.params.page_limit {
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

    fn supply(&mut self, scope: &StepScope<'_>, pull: PartitionPull) -> PartitionCopy {
        self.raise(scope, pull.partition, &pull.target);
        let digest = self.store.digest(pull.partition);
        let partition = &mut self.partitions[usize::from(pull.partition.0)];
        let view = partition.view.clone().unwrap_or_else(|| pull.target.clone());
        let fenced = view == pull.target;
        let (records, more) = if fenced && (pull.after.is_some() || pull.digest != digest) {
            self.store.page(scope.now, pull.partition, pull.after, scope.params.page_limit)
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
            synced: partition.synced.as_ref().map(|synced| synced.state(scope.now)),
            supplied: partition.supplied.clone(),
            after: pull.after,
            records,
            more,
        }
    }

    /// Takes in pages of copies.
    pub(super) fn on_copies(
        &mut self,
        scope: &StepScope<'_>,
        from: InstanceIdentity,
        copies: Vec<PartitionCopy>,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        for copy in copies {
            if usize::from(copy.partition.0) < self.partitions.len() {
                self.take_copy(scope, from, copy, rng, outbox);
            }
        }
    }

    fn take_copy(
        &mut self,
        scope: &StepScope<'_>,
        from: InstanceIdentity,
        copy: PartitionCopy,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let number = copy.partition;
        self.raise(scope, number, &copy.view);
        let partition = &mut self.partitions[usize::from(number.0)];
        if !copy.fenced || partition.view.as_ref() != Some(&copy.view) {
            return;
        }
        let Some(sync) = &mut partition.sync else { return };
        let Some(ask) = sync.asks.get_mut(&from.id).filter(|ask| ask.after == copy.after) else {
            return;
        };
        let last = copy.records.last().map(|record| record.key);
        let seen = CopyResponse {
            member: GroupMember::of(from),
            synced: copy.synced,
            supplied: copy.supplied,
        };
        // A page of another process does not continue the first page's copy.
        let first = match ask.first.take() {
            Some(first) if copy.after.is_some() => first,
            _ => seen.clone(),
        };
        if first.member != seen.member {
            ask.after = None;
            ask.next = scope.now;
            self.unasked.insert(number);
            return;
        }
        for record in copy.records {
            self.store.merge(scope.now, record);
        }
        if copy.more && last.is_some() {
            ask.after = last;
            ask.first = Some(first);
            ask.next = scope.now;
            self.unasked.insert(number);
            return;
        }
        ask.after = None;
        sync.responses.insert(first.member, first);
        self.unasked.insert(number);
        self.try_establish(scope, number, rng, outbox);
    }

    /// Synchronises the partition if the copies suffice.
    fn try_establish(
        &mut self,
        scope: &StepScope<'_>,
        number: PartitionId,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        let partition = &self.partitions[usize::from(number.0)];
        let (Some(sync), Some(target)) = (&partition.sync, &partition.view) else { return };
        let mut responses = sync.sorted_responses();
        responses.push(CopyResponse {
            member: scope.member(),
            synced: partition.synced.as_ref().map(|synced| synced.state(scope.now)),
            supplied: partition.supplied.clone(),
        });
        let params = scope.params;
        let waited = scope.now.since(sync.started);
        let base = choose_base(target, &responses, params.idle_limit).filter(|base| {
            let settled = base
                .doubt_age_ms
                .is_none_or(|age_ms| Duration::from_millis(age_ms) >= params.doubt_limit());
            settled || waited >= params.sync_settle
        });
        let base = match base {
            Some(base) => base,
            None if scope.may_grant() && waited >= self.empty_start(scope, target) => {
                CopyBase { view: target.clone(), epoch: rng.random(), doubt_age_ms: Some(0) }
            },
            None => return,
        };
        let doubt_age_ms = base.doubt_age_ms;
        let in_doubt =
            doubt_age_ms.is_some_and(|age_ms| Duration::from_millis(age_ms) < params.doubt_limit());
        for member in target.members.iter().filter(|member| member.id != scope.own.id) {
            let differs = responses.iter().any(|response| {
                let state = response.synced.as_ref().filter(|state| state.view == *target);
                response.member == *member && state.is_some_and(|state| state.epoch != base.epoch)
            });
            // Members can start empty at the same time without knowing of each other.
            if in_doubt || differs {
                self.lineages.entry(member.id).or_default().push(PartitionLineage {
                    partition: number,
                    view: target.clone(),
                    epoch: base.epoch,
                    doubt_age_ms,
                });
            }
        }
        let holds_epoch = |response: &CopyResponse| {
            let state = response.synced.as_ref();
            response.member.id != scope.own.id
                && state.is_some_and(|state| state.epoch == base.epoch)
        };
        let shared = !in_doubt || responses.iter().any(holds_epoch);
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
            doubt: doubt_age_ms.map(|age_ms| AgedMoment::from_millis(age_ms, scope.now)),
            shared,
            stopped: None,
        });
        partition.sync = None;
        self.syncing.remove(&number);
    }

    /// Returns how long this process waits before it starts a partition empty.
    fn empty_start(&self, scope: &StepScope<'_>, target: &GroupView) -> Duration {
        let ahead = target.members.iter().take_while(|member| member.id != scope.own.id);
        let ahead = ahead.filter(|member| scope.groups.is_live(member.id, member.started)).count();
        scope.params.empty_start + scope.params.empty_start_step * ahead as u32
    }

    /// Compares the memory of another member of the same view with the own one if they descend
    /// from different empty starts. Reads again if the other is better; otherwise tells the
    /// sender the own lineage.
    pub(super) fn on_lineage(
        &mut self,
        scope: &StepScope<'_>,
        from: InstanceId,
        other: &PartitionLineage,
    ) {
        let number = other.partition;
        let Some(partition) = self.partitions.get_mut(usize::from(number.0)) else { return };
        let Some(current) = partition.current().filter(|current| current.view == other.view) else {
            return;
        };
        let own = PartitionLineage {
            partition: number,
            view: current.view.clone(),
            epoch: current.epoch,
            doubt_age_ms: current.doubt.map(|doubt| doubt.age_ms(scope.now)),
        };
        let rank = |lineage: &PartitionLineage| (lineage_rank(lineage.doubt_age_ms), lineage.epoch);
        if own.epoch == other.epoch {
            if let Some(synced) = &mut partition.synced {
                synced.shared = true;
            }
            return;
        }
        if rank(other) < rank(&own) {
            self.lineages.entry(from).or_default().push(own);
            return;
        }
        partition.synced = None;
        partition.sync = Some(SyncProgress::new(scope.now));
        self.syncing.insert(number);
        self.unasked.insert(number);
    }

    /// Drops expired records, asks for missing copies and starts partitions that have waited
    /// long enough.
    pub(super) fn tick(
        &mut self,
        scope: &StepScope<'_>,
        rng: &mut SmallRng,
        outbox: &mut Outbox<'_>,
    ) {
        self.store.expire(scope.now);
        for number in self.syncing.clone() {
            self.try_establish(scope, number, rng, outbox);
        }
        self.unasked.clone_from(&self.syncing);
    }

    /// Sends the questions that are due and the lineages to tell, batched per peer.
    pub(super) fn send_pulls(&mut self, scope: &StepScope<'_>, outbox: &mut Outbox<'_>) {
        for (to, lineages) in std::mem::take(&mut self.lineages) {
            outbox.send(to, OrderMessage::Lineages(lineages));
        }
        let mut batches: BTreeMap<InstanceId, Vec<PartitionPull>> = BTreeMap::new();
        for number in std::mem::take(&mut self.unasked) {
            let partition = &mut self.partitions[usize::from(number.0)];
            let (Some(target), Some(sync)) = (&partition.view, &mut partition.sync) else {
                continue;
            };
            let views = [partition.prior.as_ref(), partition.synced.as_ref().map(|own| &own.view)];
            let told = sync.responses.values().flat_map(|response| {
                response.supplied.iter().chain(response.synced.iter().map(|state| &state.view))
            });
            let likely: BTreeSet<_> = std::iter::once(target)
                .chain(views.into_iter().flatten())
                .chain(told)
                .flat_map(|view| view.members.iter().map(|member| member.id))
                .filter(|&id| id != scope.own.id)
                .collect();
            sync.want(scope.now, likely.iter().copied());
            if scope.now.since(sync.started) >= scope.params.sync_widen {
                let others = scope.groups.instances().filter(|&id| id != scope.own.id);
                sync.want(scope.now, others);
            }
            let due: Vec<_> = sync
                .asks
                .iter()
                .filter(|(_, ask)| ask.next <= scope.now)
                .map(|(&id, ask)| (id, ask.after))
                .collect();
            for (id, after) in due {
                sync.asked(scope.now, id, likely.contains(&id), scope.params);
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

    /// Returns when the replica must be woken.
    pub(super) fn next_wakeup(&self, scope: &StepScope<'_>) -> Option<Timestamp> {
        let syncing = self.syncing.iter().flat_map(|&number| {
            let partition = self.partition(number);
            let sync = partition.sync.as_ref();
            let target = partition.view.as_ref();
            let steps = sync.zip(target).into_iter().flat_map(|(sync, target)| {
                [
                    sync.started + scope.params.sync_widen,
                    sync.started + scope.params.sync_settle,
                    sync.started + self.empty_start(scope, target),
                ]
            });
            steps.filter(|&step| step > scope.now).chain(sync.and_then(SyncProgress::next_ask))
        });
        Timestamp::earliest(syncing.min(), self.store.next_wakeup())
    }
}
