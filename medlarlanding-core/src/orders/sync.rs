//! Synchronisation of a replica's records after a change of view.
//!
//! A view is *established* once one of its members is synchronised in it. To establish a view, a
//! read quorum of the previous established view must be fenced. The established views of one
//! epoch therefore form a chain, and a read quorum of one of them reports its successors.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use indexmap::IndexMap;

use super::group::{GroupMember, GroupView};
use super::keys::OrderKey;
use super::messages::{EpochAgreement, SyncedState};
use super::params::OrderParams;
use crate::ids::InstanceId;
use crate::time::Timestamp;

/// A complete copy from one process, fenced at the requester's target view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyResponse {
    /// The provider.
    pub member: GroupMember,
    /// The provider's last synchronised view.
    pub synced: Option<SyncedState>,
    /// Views above `synced` for which the provider has sent copies.
    pub supplied: Vec<GroupView>,
}

/// Origin of the records with which a replica starts in a view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyBase {
    /// The established view from which the records descend.
    pub view: GroupView,
    /// Epoch of the records.
    pub epoch: u64,
    /// What the provider knows of the other members' epochs.
    pub agreement: EpochAgreement,
    /// Time in ms since the records came into doubt, or `None` if they never were.
    pub doubt_age_ms: Option<u64>,
}

/// Returns the best base for which the responses suffice, or `None` if there is none.
///
/// The merged records of the responses then include every claim that was granted in a view below
/// `target` that descends from the base.
///
/// Records that were out of use for longer than `idle_limit` are in doubt again and are ranked
/// as such. If they were ranked by their earlier doubt, a replica would choose them again each
/// time another member of the view reported better records.
pub fn choose_base(
    target: &GroupView,
    responses: &[CopyResponse],
    idle_limit: Duration,
) -> Option<CopyBase> {
    let states = || responses.iter().filter_map(|response| response.synced.as_ref());
    states()
        .filter(|state| is_readable(&state.view, target, responses))
        .map(|state| {
            let idle_ms = states()
                .filter(|other| other.view == state.view)
                .map(|other| other.idle_ms)
                .min()
                .unwrap_or_default();
            let idle = state.view != *target && Duration::from_millis(idle_ms) > idle_limit;
            CopyBase {
                view: state.view.clone(),
                epoch: state.epoch,
                agreement: state.agreement,
                doubt_age_ms: if idle { Some(0) } else { state.doubt_age_ms },
            }
        })
        .max_by_key(|base| {
            let is_undoubted = lineage_rank(base.doubt_age_ms);
            (is_undoubted, base.view.version, base.agreement, base.epoch)
        })
}

/// Returns the rank of records: those that never were in doubt rank above all others.
///
/// Among records in doubt, callers of this function prefer an epoch on which members have agreed,
/// because keys may have been minted in it.
///
/// Ages are not compared, because they differ by the time in transit: two members with nearly
/// equal ages each considered their own records the older and exchanged lineages without end.
pub(super) fn lineage_rank(doubt_age_ms: Option<u64>) -> bool {
    doubt_age_ms.is_none()
}

/// Returns whether the responses cover the established view `base` and every view between it
/// and the target that may have granted claims.
fn is_readable(base: &GroupView, target: &GroupView, responses: &[CopyResponse]) -> bool {
    if base == target {
        // The responder that is synchronised in the target has read all lower views.
        return true;
    }
    let has_read_quorum = |view: &GroupView| {
        responses.iter().filter(|response| view.contains(response.member)).count()
            >= view.read_quorum()
    };
    base < target
        && has_read_quorum(base)
        && responses
            .iter()
            .flat_map(|response| {
                response.supplied.iter().chain(response.synced.iter().map(|state| &state.view))
            })
            .filter(|&view| view != target && !base.covers(view))
            .all(|view| has_read_quorum(view) || cannot_be_established(view, base, responses))
}

/// Returns whether `view` can no longer be established from `base`, because too many members of
/// `base` were fenced without having sent a copy for `view`.
fn cannot_be_established(view: &GroupView, base: &GroupView, responses: &[CopyResponse]) -> bool {
    let fenced = responses.iter().filter(|response| {
        base.contains(response.member)
            && !response.supplied.contains(view)
            && response.synced.as_ref().is_none_or(|state| state.view <= *base)
    });
    let established = responses
        .iter()
        .any(|response| response.synced.as_ref().is_some_and(|state| state.view == *view));
    !established && fenced.count() > base.known().saturating_sub(base.read_quorum())
}

/// Progress of reading one instance's copy.
#[derive(Clone, Debug)]
pub(super) struct PullProgress {
    /// When the next pull is due.
    pub(super) next: Timestamp,
    interval_ms: u64,
    /// Last key of the page received last, or `None` to start with the first page.
    pub(super) after: Option<OrderKey>,
    /// The provider's state when it sent the first page. Records that it adds while later pages
    /// are read can be missing from the copy, so its later state must not be used.
    pub(super) first: Option<CopyResponse>,
}

/// Progress of synchronising one partition in its current view.
#[derive(Clone, Debug)]
pub(super) struct SyncProgress {
    /// When the partition stopped being synchronised.
    pub(super) started: Timestamp,
    pub(super) pulls: IndexMap<InstanceId, PullProgress>,
    /// Complete copies, by provider.
    pub(super) responses: HashMap<GroupMember, CopyResponse>,
}

impl SyncProgress {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { started: now, pulls: IndexMap::new(), responses: HashMap::new() }
    }

    /// Drops what was read for an earlier view. `started` is kept.
    pub(super) fn retarget(&mut self) {
        self.pulls.clear();
        self.responses.clear();
    }

    /// Adds instances from which to read copies, unless they are already included.
    pub(super) fn add_providers(
        &mut self,
        now: Timestamp,
        instances: impl Iterator<Item = InstanceId>,
    ) {
        for instance in instances {
            self.pulls.entry(instance).or_insert(PullProgress {
                next: now,
                interval_ms: 0,
                after: None,
                first: None,
            });
        }
    }

    /// Schedules the next pull to an instance. The longest interval is 16 times longer for
    /// instances that are not likely to have records, because there can be hundreds of them.
    pub(super) fn schedule_next(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        likely: bool,
        params: &OrderParams,
    ) {
        if let Some(progress) = self.pulls.get_mut(&instance) {
            let first = params.sync_retry.as_millis() as u64;
            let ceiling = params.sync_retry_max.as_millis() as u64 * if likely { 1 } else { 16 };
            progress.interval_ms = (progress.interval_ms * 2).clamp(first, ceiling);
            progress.next = now + Duration::from_millis(progress.interval_ms);
        }
    }

    /// Returns when the next pull is due.
    pub(super) fn next_pull(&self) -> Option<Timestamp> {
        self.pulls.values().map(|progress| progress.next).min()
    }

    /// Gets the responses in a fixed order.
    pub(super) fn sorted_responses(&self) -> Vec<CopyResponse> {
        let mut responses: Vec<_> = self.responses.values().cloned().collect();
        responses.sort_by_key(|response| Reverse(response.member));
        responses
    }
}
