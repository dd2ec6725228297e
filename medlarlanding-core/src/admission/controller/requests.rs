//! Way of a request from its arrival to a permit or a refusal.

use std::collections::VecDeque;
use std::time::Duration;

use crate::admission::memory::{MemoryForecast, MemoryNeed};
use crate::admission::messages::DeclineReason;
use crate::admission::record::{CandidateView, DecisionReason, DecisionRecord};
use crate::admission::routing::{ServerView, rank_servers};
use crate::config::DeskObjective;
use crate::errors::ErrorKind;
use crate::ids::{RequestId, ServerId};
use crate::time::Timestamp;

use super::{
    AdmissionController, AdmissionEffect, AdmissionRequest, AdoptedWork, AskState, OpenRequest,
    OpenStage, PermitAsk,
};

impl AdmissionController {
    pub(super) fn accept(&mut self, request: AdmissionRequest, effects: &mut Vec<AdmissionEffect>) {
        let number = request.request.number;
        if self.open.contains_key(&number) {
            return;
        }
        let record = DecisionRecord {
            request: request.request,
            candidates: Vec::new(),
            asked: Vec::new(),
            chosen: None,
            reason: DecisionReason::Pending,
            waited_ms: 0,
        };
        let until = self.now + self.params.reply_timeout;
        let customer = request.customer;
        let limit = request.open_limit;
        let open = OpenRequest {
            request,
            arrived: self.now,
            decoded: 0,
            stage: OpenStage::CustomerCheck { until },
            failed: Vec::new(),
            record,
            due: None,
        };
        let hopeless = self.now + self.params.answer_margin >= open.request.deadline;
        self.open.insert(number, open);
        if hopeless {
            // No manager could reply in time; asking one would only delay the refusal.
            self.refuse(number, DecisionReason::Overloaded, effects);
            return;
        }
        self.set_due(number, Some(until));
        self.use_of(customer, limit).active_at = self.now;
        if self.has_room(customer) {
            self.count_open(number, effects);
        } else {
            self.send_counts(&[customer], effects);
        }
    }

    pub(super) fn adopt(&mut self, adopted: AdoptedWork, effects: &mut Vec<AdmissionEffect>) {
        let AdoptedWork { request, server, decoded } = adopted;
        let number = request.request.number;
        let record = DecisionRecord {
            request: request.request,
            candidates: Vec::new(),
            asked: Vec::new(),
            chosen: Some(server),
            reason: DecisionReason::Adopted,
            waited_ms: 0,
        };
        self.keep_record(record.clone());
        let open = OpenRequest {
            request,
            arrived: self.now,
            decoded,
            stage: OpenStage::Running { server, local: false },
            failed: Vec::new(),
            record,
            due: None,
        };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.open.insert(number, open);
        self.use_of(customer, limit).opened += 1;
        self.report_one(number, server, effects);
    }

    pub(super) fn progress(&mut self, request: RequestId, decoded: u32) {
        let Some(open) = self.open.get_mut(&request.number) else { return };
        if open.request.request != request || decoded <= open.decoded {
            return;
        }
        self.lengths.observe(open.request.route, open.decoded, decoded, false);
        open.decoded = decoded;
    }

    pub(super) fn retry(&mut self, request: RequestId, effects: &mut Vec<AdmissionEffect>) {
        let number = request.number;
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Running { server, .. } = open.stage else { return };
        open.failed.push(server);
        open.decoded = 0;
        self.release(number, server, 0, effects);
        self.start_asking(number, effects);
    }

    pub(super) fn finish(
        &mut self,
        request: RequestId,
        decoded: u32,
        whole: bool,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let number = request.number;
        if self.open.get(&number).is_none_or(|open| open.request.request != request) {
            return;
        }
        self.set_due(number, None);
        let Some(open) = self.open.remove(&number) else { return };
        match &open.stage {
            OpenStage::CustomerCheck { .. } => {},
            OpenStage::Asking { asks, .. } => {
                for ask in asks {
                    self.release(number, ask.server, 0, effects);
                }
            },
            OpenStage::Running { server, .. } => {
                let decoded = decoded.max(open.decoded);
                self.lengths.observe(open.request.route, open.decoded, decoded, whole);
                self.release(number, *server, decoded, effects);
            },
        }
        if !matches!(open.stage, OpenStage::CustomerCheck { .. }) {
            self.uncount_open(open.request.customer, effects);
        }
    }

    pub(super) fn start_asking(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let now = self.now;
        let views: Vec<_> = open
            .request
            .candidates
            .iter()
            .filter(|server| self.usable(**server, &open.failed))
            .map(|&server| {
                let seen = self.seen.get(&server);
                ServerView {
                    server,
                    load: seen.map_or(0.0, |seen| {
                        f64::from(seen.status.load_permille) / 1000.0 + seen.sent_load
                    }),
                    // A server without a reachable manager only has this instance's small
                    // share, so it comes last.
                    wait_ms: match self.manager(server) {
                        Some(manager) if !self.unreachable.contains(&manager.id) => seen
                            .map_or(0, |seen| {
                                seen.status.wait_ms.max(u32::from(seen.status.queued > 0))
                            }),
                        _ => u32::MAX,
                    },
                }
            })
            .collect();
        let prefix = open.request.prefix;
        let (bound, longest_wait_ms) = match open.request.objective {
            DeskObjective::FewestPreemptions => (self.params.affinity_bound, 0),
            DeskObjective::LeastStall => (
                self.params.affinity_bound_least_stall,
                self.params.affinity_wait.as_millis() as u32,
            ),
        };
        let (ranked, by_prefix) =
            rank_servers(views, prefix, bound, longest_wait_ms, &mut self.random);
        let Some(open) = self.open.get_mut(&number) else { return };
        open.record.candidates = ranked
            .iter()
            .map(|view| CandidateView {
                server: view.server,
                load_permille: (view.load * 1000.0) as u32,
                wait_ms: view.wait_ms,
            })
            .collect();
        open.record.waited_ms = now.since(open.arrived).as_millis() as u64;
        let ranked = ranked.iter().map(|view| view.server).collect();
        open.stage = OpenStage::Asking { ranked, asks: Vec::new(), by_prefix };
        self.advance(number, effects);
    }

    /// Returns whether a server can be asked for.
    pub(super) fn usable(&self, server: ServerId, failed: &[ServerId]) -> bool {
        self.servers.get(&server).is_some_and(|capacity| capacity.accepting)
            && self.suspects.get(&server).is_none_or(|&until| self.now >= until)
            && !failed.contains(&server)
            && self.seen.get(&server).is_none_or(|seen| {
                seen.status.open || self.now.since(seen.at) > self.params.suspect_hold
            })
    }

    /// Moves a waiting request on: notes late replies, asks further managers, refuses.
    pub(super) fn advance(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&number) else { return };
        let deadline = open.request.deadline - self.params.answer_margin;
        let arrived = open.arrived;
        let OpenStage::Asking { ranked, asks, by_prefix } = &mut open.stage else { return };
        let affine = *by_prefix
            && open.request.objective == DeskObjective::LeastStall
            && asks.len() == 1
            && asks[0].state == AskState::Queued
            && now < arrived + self.params.affinity_wait;
        if now >= deadline {
            self.refuse(number, DecisionReason::DeadlineReached, effects);
            return;
        }
        for ask in asks.iter_mut() {
            if ask.state == AskState::Sent && now.since(ask.since) >= self.params.reply_timeout {
                ask.state = AskState::Unreachable;
            }
        }
        let lost: Vec<_> = asks
            .iter()
            .filter(|ask| ask.state == AskState::Unreachable)
            .map(|ask| ask.server)
            .collect();
        let pending = asks.iter().any(|ask| ask.state == AskState::Sent);
        let waiting = asks.iter().filter(|ask| ask.state == AskState::Queued).count();
        let known: Vec<_> = asks.iter().map(|ask| ask.server).collect();
        let next = ranked.iter().copied().find(|server| !known.contains(server));
        for server in lost {
            if let Some(manager) = self.manager(server)
                && manager.id != self.own.id
            {
                self.unreachable.insert(manager.id);
            }
            if self.admit_locally(number, server, effects) {
                return;
            }
        }
        if !pending && !affine && waiting < self.params.ask_width {
            match next {
                Some(server) => {
                    self.ask(number, server, effects);
                    return;
                },
                None if waiting == 0 => {
                    self.refuse_if_declined(number, effects);
                },
                None => {},
            }
        }
        self.update_due(number);
    }

    pub(super) fn refuse_if_declined(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::Asking { asks, .. } = &open.stage else { return };
        if asks.iter().any(|ask| !matches!(ask.state, AskState::Declined(_))) {
            return;
        }
        let full = asks.iter().any(|ask| {
            matches!(
                ask.state,
                AskState::Declined(
                    DeclineReason::QueueFull | DeclineReason::WaitTooLong | DeclineReason::TooLarge
                )
            )
        });
        let reason = if full { DecisionReason::Overloaded } else { DecisionReason::NoServer };
        self.refuse(number, reason, effects);
    }

    pub(super) fn update_due(&mut self, number: u64) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::Asking { asks, by_prefix, .. } = &open.stage else { return };
        let widen = open.arrived + self.params.affinity_wait;
        let widen = (*by_prefix
            && open.request.objective == DeskObjective::LeastStall
            && asks.len() == 1
            && widen > self.now)
            .then_some(widen);
        let reply = asks
            .iter()
            .filter(|ask| ask.state == AskState::Sent)
            .map(|ask| ask.since + self.params.reply_timeout)
            .min();
        let deadline = open.request.deadline - self.params.answer_margin;
        let due = Timestamp::earliest(Timestamp::earliest(reply, widen), Some(deadline));
        self.set_due(number, due);
    }

    pub(super) fn ask(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let now = self.now;
        let reachable = self.manager(server).is_some_and(|m| !self.unreachable.contains(&m.id));
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Asking { asks, .. } = &mut open.stage else { return };
        open.record.asked.push(server);
        // A manager that is known not to reply is asked all the same, but not waited for.
        let state = if reachable { AskState::Sent } else { AskState::Unreachable };
        asks.push(PermitAsk { server, state, since: now, sent: VecDeque::new() });
        let need = f64::from(open.request.prompt_tokens)
            + self.lengths.curve(open.request.route).mean_remaining(0, open.request.max_tokens);
        if let (Some(seen), Some(capacity)) =
            (self.seen.get_mut(&server), self.servers.get(&server))
        {
            seen.sent_load += need / capacity.kv_tokens.max(1) as f64;
        }
        self.update_due(number);
        self.report_one(number, server, effects);
        if !reachable {
            self.advance(number, effects);
        }
    }

    /// Admits a request to a server whose manager cannot be reached, within this instance's
    /// conservative share. Returns whether it was admitted.
    pub(super) fn admit_locally(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) -> bool {
        let Some(capacity) = self.servers.get(&server).copied() else { return false };
        if !self.usable(server, &[]) {
            return false;
        }
        let part = self.params.local_part / self.live.len().max(1) as f64;
        let Some(open) = self.open.get(&number) else { return false };
        let mut forecast = MemoryForecast::default();
        let mut running = 1;
        forecast.add(&self.need(open));
        for other in self.open.values() {
            if matches!(other.stage, OpenStage::Running { server: at, .. } if at == server) {
                forecast.add(&self.need(other));
                running += 1;
            }
        }
        let batch = (f64::from(capacity.max_batch) * part).max(1.0);
        if f64::from(running) > batch
            || forecast.peak(0.0, u32::MAX) > capacity.kv_tokens as f64 * part
        {
            return false;
        }
        let start_by = self.now + self.params.lease;
        self.start(number, server, true, start_by, effects);
        true
    }

    pub(super) fn need(&self, open: &OpenRequest) -> MemoryNeed<'_> {
        MemoryNeed {
            prompt_tokens: open.request.prompt_tokens,
            decoded: open.decoded,
            max_tokens: open.request.max_tokens,
            curve: self.lengths.curve(open.request.route),
        }
    }

    /// Puts a request on a server and withdraws it from the other managers.
    pub(super) fn start(
        &mut self,
        number: u64,
        server: ServerId,
        local: bool,
        start_by: Timestamp,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let Some(open) = self.open.get_mut(&number) else { return };
        let stage = std::mem::replace(&mut open.stage, OpenStage::Running { server, local });
        let OpenStage::Asking { ranked, asks, by_prefix } = stage else { return };
        open.record.chosen = Some(server);
        open.record.waited_ms = self.now.since(open.arrived).as_millis() as u64;
        open.record.reason = if local {
            DecisionReason::LocalShare
        } else if asks.len() > 1 || asks.iter().any(|ask| ask.state == AskState::Queued) {
            DecisionReason::FirstRoom
        } else if by_prefix && ranked.first() == Some(&server) {
            DecisionReason::PrefixAffinity
        } else {
            DecisionReason::LeastLoaded
        };
        let (record, request) = (open.record.clone(), open.request.request);
        self.keep_record(record);
        self.set_due(number, None);
        for ask in asks.iter().filter(|ask| ask.server != server) {
            self.release(number, ask.server, 0, effects);
        }
        if local {
            self.report_one(number, server, effects);
        }
        effects.push(AdmissionEffect::Granted { request, server, start_by });
    }

    pub(super) fn refuse(
        &mut self,
        number: u64,
        reason: DecisionReason,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        self.set_due(number, None);
        let Some(mut open) = self.open.remove(&number) else { return };
        let mut retry_after = None;
        if let OpenStage::Asking { asks, .. } = &open.stage {
            for ask in asks {
                self.release(number, ask.server, 0, effects);
            }
            let shortest = asks.iter().filter_map(|ask| self.seen.get(&ask.server));
            retry_after = shortest
                .map(|seen| seen.status.wait_ms)
                .min()
                .filter(|&wait| wait > 1000)
                .map(|wait| Duration::from_millis(u64::from(wait)));
        }
        open.record.reason = reason;
        open.record.waited_ms = self.now.since(open.arrived).as_millis() as u64;
        let kind = match reason {
            DecisionReason::CustomerLimit => ErrorKind::CustomerLimit,
            DecisionReason::NoServer => ErrorKind::NoBackend,
            _ => ErrorKind::Overloaded,
        };
        self.keep_record(open.record);
        let request = open.request.request;
        effects.push(AdmissionEffect::Refused { request, kind, retry_after });
        if !matches!(open.stage, OpenStage::CustomerCheck { .. }) {
            self.uncount_open(open.request.customer, effects);
        }
    }

    pub(super) fn keep_record(&mut self, record: DecisionRecord) {
        if self.decisions.len() >= self.params.record_limit {
            self.decisions.pop_front();
        }
        self.decisions.push_back(record);
    }

    pub(super) fn set_due(&mut self, number: u64, due: Option<Timestamp>) {
        let Some(open) = self.open.get_mut(&number) else { return };
        if let Some(before) = open.due.take() {
            self.timers.remove(&(before, number));
        }
        open.due = due;
        if let Some(due) = due {
            self.timers.insert((due, number));
        }
    }

    /// Tries the own share again for requests whose manager cannot be reached.
    pub(super) fn retry_local(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let waiting: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| match &open.stage {
                OpenStage::Asking { asks, .. } => {
                    asks.iter().any(|ask| ask.state == AskState::Unreachable)
                },
                _ => false,
            })
            .map(|(&number, _)| number)
            .collect();
        for number in waiting {
            self.advance(number, effects);
        }
    }
}
