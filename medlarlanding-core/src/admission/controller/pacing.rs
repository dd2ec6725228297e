//! Slow start: what this instance learns of engines as their manager and from its own requests.

use std::time::Duration;

use crate::admission::messages::{ReleasedWork, WorkItem, WorkStage};
use crate::ids::{InstanceIdentity, ServerId};
use crate::pacing::{AnswerKind, AnswerPart, AnswerSample, PaceChange};

use super::{AdmissionController, AdmissionEffect, OpenStage};

/// Shortest time over which the pause between tokens is measured; as for reports to managers.
const PAUSE_TIME_MIN: Duration = Duration::from_millis(200);

impl AdmissionController {
    /// Brings the limit of a managed engine up to date before permits are granted.
    pub(super) fn update_pace(&mut self, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        if !self.paces.is_active() {
            return;
        }
        let Some(capacity) = self.servers.get(&server) else { return };
        let Some(account) = self.accounts.get_mut(&server) else { return };
        let is_suspected = account.is_suspected(self.now);
        let permits = account.permit_count();
        let changes = self.paces.observe(self.now, capacity, is_suspected, permits);
        account.set_pace_limit(self.paces.limit(server));
        push_changes(server, changes, effects);
    }

    /// Measures the progress that a report to this manager shows, before the account applies it.
    pub(super) fn note_report(
        &mut self,
        from: InstanceIdentity,
        item: &WorkItem,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if !self.paces.is_active() || item.stage != WorkStage::Running {
            return;
        }
        let Some(account) = self.accounts.get(&item.server) else { return };
        let Some(sample) = account.answer_sample(self.now, from, item) else { return };
        let change = self.paces.answered(self.now, item.server, &sample);
        push_changes(item.server, change, effects);
    }

    /// Measures a request that has ended, before the account applies its release.
    pub(super) fn note_release(
        &mut self,
        from: InstanceIdentity,
        released: &ReleasedWork,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        if !self.paces.is_active() {
            return;
        }
        let Some(account) = self.accounts.get(&released.server) else { return };
        let sample = account.short_answer_sample(self.now, from, released);
        let Some(sample) = sample else { return };
        let change = self.paces.answered(self.now, released.server, &sample);
        push_changes(released.server, change, effects);
    }

    /// Applies the suspicion of a managed engine.
    pub(super) fn note_suspect(&mut self, server: ServerId, effects: &mut Vec<AdmissionEffect>) {
        let change = self.paces.failed(self.now, server);
        push_changes(server, change, effects);
        self.update_pace(server, effects);
    }

    /// Measures the progress of an own request at an engine that another instance manages, with which the
    /// engines managed here are compared.
    pub(super) fn note_own_progress(&mut self, number: u64) {
        let Some(open) = self.open.get_mut(&number).filter(|_| self.paces.is_active()) else {
            return;
        };
        let OpenStage::Running { server, .. } = open.stage else { return };
        let (from, decoded) = *open.pause_from.get_or_insert((self.now, open.decoded));
        let elapsed = self.now.since(from);
        let Some(tokens) = open.decoded.checked_sub(decoded).filter(|tokens| *tokens > 0) else {
            // The request was started again at another engine.
            open.pause_from = Some((self.now, open.decoded));
            return;
        };
        if elapsed < PAUSE_TIME_MIN {
            return;
        }
        open.pause_from = Some((self.now, open.decoded));
        let kind = AnswerKind(open.request.route.0);
        let (part, time) = (AnswerPart::Pause, elapsed / tokens);
        let sample = AnswerSample { kind, part, sent_at: from, time };
        if !self.accounts.contains_key(&server) {
            self.paces.note_peer(self.now, server, &sample);
        }
    }
}

fn push_changes(
    server: ServerId,
    changes: impl IntoIterator<Item = PaceChange>,
    effects: &mut Vec<AdmissionEffect>,
) {
    let changes = changes.into_iter();
    effects.extend(changes.map(|change| AdmissionEffect::PaceChanged { server, change }));
}
