//! Synchronisation of a replica's memory after a change of view.
//!
//! A view is *established* when one of its members was synchronised in it. Every established
//! view fenced a read majority of the established view before it, so the established views of
//! one epoch form a chain, and a read majority of one of them names its successors.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use indexmap::IndexMap;

use super::group::{GroupMember, GroupView};
use super::keys::OrderKey;
use super::messages::SyncedState;
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
    /// Views above it for which the provider gave copies.
    pub supplied: Vec<GroupView>,
}

/// The memory that a replica starts a view with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CopyBase {
    /// The established view that the memory descends from.
    pub view: GroupView,
    /// Epoch of the memory.
    pub epoch: u64,
    /// Age of its doubt in ms, or `None` if it never was in doubt.
    pub doubt_age_ms: Option<u64>,
}

/// Returns the best memory that the responses are sufficient for, or `None` if there is none.
///
/// The merged records of the responses then hold every claim granted in a view below `target`
/// that descends from the base.
///
/// A memory that was out of use for longer than `idle_limit` is in doubt again. It is ranked by
/// that doubt, because a replica that preferred it for its earlier age would read it again
/// whenever another member of the view told of a better memory.
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
                doubt_age_ms: if idle { Some(0) } else { state.doubt_age_ms },
            }
        })
        .max_by_key(|base| (lineage_rank(base.doubt_age_ms), base.view.version, base.epoch))
}

/// Ranks a memory that never was in doubt above others.
///
/// Ages are left out: they differ by the time in transit, so that two members with nearly equal
/// ages each held their own memory for the older one and told each other without end.
pub(super) fn lineage_rank(doubt_age_ms: Option<u64>) -> bool {
    doubt_age_ms.is_none()
}

/// Returns whether the responses cover the established view `base` and every view between it
/// and the target that may have granted claims.
fn is_readable(base: &GroupView, target: &GroupView, responses: &[CopyResponse]) -> bool {
    if base == target {
        // The responder read everything below the target itself.
        return true;
    }
    let readers = |view: &GroupView| {
        responses.iter().filter(|response| view.contains(response.member)).count()
            >= view.read_quorum()
    };
    base < target
        && readers(base)
        && responses
            .iter()
            .flat_map(|response| {
                response.supplied.iter().chain(response.synced.iter().map(|state| &state.view))
            })
            .filter(|&view| view != target && !base.covers(view))
            .all(|view| readers(view) || cannot_be_established(view, base, responses))
}

/// Returns whether so many members of `base` were fenced without giving a copy for `view` that
/// it can no longer be established from `base`.
fn cannot_be_established(view: &GroupView, base: &GroupView, responses: &[CopyResponse]) -> bool {
    let refusing = responses.iter().filter(|response| {
        base.contains(response.member)
            && !response.supplied.contains(view)
            && response.synced.as_ref().is_none_or(|state| state.view <= *base)
    });
    let claimed = responses
        .iter()
        .any(|response| response.synced.as_ref().is_some_and(|state| state.view == *view));
    !claimed && refusing.count() > base.known().saturating_sub(base.read_quorum())
}

/// Progress of asking one instance.
#[derive(Clone, Debug)]
pub(super) struct CopyAsk {
    pub(super) next: Timestamp,
    interval_ms: u64,
    /// Last key of the page received last.
    pub(super) after: Option<OrderKey>,
    /// The provider's state when it sent the first page. Records that it gains while later
    /// pages are read can be missing in the copy, so its later state must not be used.
    pub(super) first: Option<CopyResponse>,
}

/// Progress of one partition towards its target view.
#[derive(Clone, Debug)]
pub(super) struct SyncProgress {
    /// Since when the partition has not been synchronised.
    pub(super) started: Timestamp,
    pub(super) asks: IndexMap<InstanceId, CopyAsk>,
    pub(super) responses: HashMap<GroupMember, CopyResponse>,
}

impl SyncProgress {
    pub(super) fn new(now: Timestamp) -> Self {
        Self { started: now, asks: IndexMap::new(), responses: HashMap::new() }
    }

    /// Drops what was read for another target. The time of the start stays.
    pub(super) fn retarget(&mut self) {
        self.asks.clear();
        self.responses.clear();
    }

    /// Adds instances to ask, if they are not asked yet.
    pub(super) fn want(&mut self, now: Timestamp, instances: impl Iterator<Item = InstanceId>) {
        for instance in instances {
            self.asks.entry(instance).or_insert(CopyAsk {
                next: now,
                interval_ms: 0,
                after: None,
                first: None,
            });
        }
    }

    /// Schedules the next question to an instance. Instances that are no likely holder of
    /// the memory are asked at growing intervals without the usual ceiling, because there
    /// can be hundreds of them.
    pub(super) fn asked(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        likely: bool,
        params: &OrderParams,
    ) {
        if let Some(ask) = self.asks.get_mut(&instance) {
            let first = params.sync_retry.as_millis() as u64;
            let ceiling = params.sync_retry_max.as_millis() as u64 * if likely { 1 } else { 16 };
            ask.interval_ms = (ask.interval_ms * 2).clamp(first, ceiling);
            ask.next = now + Duration::from_millis(ask.interval_ms);
        }
    }

    /// Returns when the next question is due.
    pub(super) fn next_ask(&self) -> Option<Timestamp> {
        self.asks.values().map(|ask| ask.next).min()
    }

    /// Gets the responses in a fixed order.
    pub(super) fn sorted_responses(&self) -> Vec<CopyResponse> {
        let mut responses: Vec<_> = self.responses.values().cloned().collect();
        responses.sort_by_key(|response| Reverse(response.member));
        responses
    }
}
