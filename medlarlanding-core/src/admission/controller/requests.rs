//! Steps of a request from its arrival to a permit or a refusal, and its end.

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
    AdmissionController, AdmissionEffect, AdmissionRequest, AdoptedWork, OpenRequest, OpenStage,
    PermitRequest, RequestState,
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
            pause_from: None,
        };
        let expires_before_reply = self.now + self.params.answer_margin >= open.request.deadline;
        self.open.insert(number, open);
        if expires_before_reply {
            // No manager could reply in time, so a permit request would only delay the refusal.
            self.refuse(number, DecisionReason::Overloaded, effects);
            return;
        }
        self.set_due(number, Some(until));
        self.usage_of(customer, limit).last_active = self.now;
        if self.has_room(customer) {
            self.count_and_request(number, effects);
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
            pause_from: None,
        };
        let (customer, limit) = (open.request.customer, open.request.open_limit);
        self.open.insert(number, open);
        self.usage_of(customer, limit).open_count += 1;
        self.report_one(number, server, effects);
    }

    pub(super) fn progress(&mut self, request: RequestId, decoded: u32) {
        let Some(open) = self.open.get_mut(&request.number) else { return };
        if open.request.request != request || decoded <= open.decoded {
            return;
        }
        self.lengths.observe(open.request.route, open.decoded, decoded, false);
        open.decoded = decoded;
        self.note_own_progress(request.number);
    }

    pub(super) fn retry(&mut self, request: RequestId, effects: &mut Vec<AdmissionEffect>) {
        let number = request.number;
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::Running { server, .. } = open.stage else { return };
        open.failed.push(server);
        open.decoded = 0;
        self.release(number, server, 0, effects);
        self.rank_and_request(number, effects);
    }

    pub(super) fn finish(
        &mut self,
        request: RequestId,
        decoded: u32,
        natural_end: bool,
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
            OpenStage::AwaitingPermit { permit_requests, .. } => {
                for request in permit_requests {
                    self.release(number, request.server, 0, effects);
                }
            },
            OpenStage::Running { server, .. } => {
                let decoded = decoded.max(open.decoded);
                self.lengths.observe(open.request.route, open.decoded, decoded, natural_end);
                self.release(number, *server, decoded, effects);
            },
        }
        if !matches!(open.stage, OpenStage::CustomerCheck { .. }) {
            self.uncount_request(open.request.customer, effects);
        }
    }

    /// Ranks the candidates of a request and requests a permit for the best one.
    pub(super) fn rank_and_request(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let now = self.now;
        let views: Vec<_> = open
            .request
            .candidates
            .iter()
            .filter(|server| self.is_eligible(**server, &open.failed))
            .map(|&server| {
                let known = self.known_servers.get(&server);
                ServerView {
                    server,
                    load: known.map_or(0.0, |known| {
                        f64::from(known.status.load_permille) / 1000.0 + known.requested_load
                    }),
                    // At a server whose manager cannot be reached, only the small local share
                    // can be used, so it ranks last.
                    wait_ms: match self.manager(server) {
                        Some(manager) if !self.unreachable.contains(&manager.id) => known
                            .map_or(0, |known| {
                                known.status.wait_ms.max(u32::from(known.status.queued > 0))
                            }),
                        _ => u32::MAX,
                    },
                }
            })
            .collect();
        let prefix = open.request.prefix;
        let (load_bound, extra_wait_ms) = match open.request.objective {
            DeskObjective::FewestPreemptions => (self.params.affinity_bound, 0),
            DeskObjective::LeastStall => (
                self.params.affinity_bound_least_stall,
                self.params.affinity_wait.as_millis() as u32,
            ),
        };
        let (ranked, by_prefix) =
            rank_servers(views, prefix, load_bound, extra_wait_ms, &mut self.random);
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
        open.stage = OpenStage::AwaitingPermit { ranked, permit_requests: Vec::new(), by_prefix };
        self.advance(number, effects);
    }

    /// Returns whether a permit for a server may be requested: the server is not leaving, not
    /// suspected, not among `failed`, and its manager's latest status does not rule out permits or
    /// is older than `suspect_hold`.
    pub(super) fn is_eligible(&self, server: ServerId, failed: &[ServerId]) -> bool {
        self.servers.get(&server).is_some_and(|capacity| capacity.accepting)
            && self.suspects.get(&server).is_none_or(|&until| self.now >= until)
            && !failed.contains(&server)
            && self.known_servers.get(&server).is_none_or(|known| {
                known.status.accepting
                    || self.now.since(known.received_at) > self.params.suspect_hold
            })
    }

    /// Takes the next step for a request that waits for a permit: marks managers that did not
    /// reply, uses the local share, requests a permit from a further manager or refuses.
    pub(super) fn advance(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let now = self.now;
        let Some(open) = self.open.get_mut(&number) else { return };
        let deadline = open.request.deadline - self.params.answer_margin;
        let arrived = open.arrived;
        let OpenStage::AwaitingPermit { ranked, permit_requests, by_prefix } = &mut open.stage
        else {
            return;
        };
        let waits_for_prefix = *by_prefix
            && open.request.objective == DeskObjective::LeastStall
            && permit_requests.len() == 1
            && permit_requests[0].state == RequestState::Queued
            && now < arrived + self.params.affinity_wait;
        if now >= deadline {
            self.refuse(number, DecisionReason::DeadlineReached, effects);
            return;
        }
        for request in permit_requests.iter_mut() {
            if request.state == RequestState::Sent
                && now.since(request.since) >= self.params.reply_timeout
            {
                request.state = RequestState::Unreachable;
            }
        }
        let unreachable: Vec<_> = permit_requests
            .iter()
            .filter(|request| request.state == RequestState::Unreachable)
            .map(|request| request.server)
            .collect();
        let pending = permit_requests.iter().any(|request| request.state == RequestState::Sent);
        let waiting =
            permit_requests.iter().filter(|request| request.state == RequestState::Queued).count();
        let requested: Vec<_> = permit_requests.iter().map(|request| request.server).collect();
        let next = ranked.iter().copied().find(|server| !requested.contains(server));
        for server in unreachable {
            if let Some(manager) = self.manager(server)
                && manager.id != self.own.id
            {
                self.unreachable.insert(manager.id);
            }
            if self.admit_locally(number, server, effects) {
                return;
            }
        }
        if !pending && !waits_for_prefix && waiting < self.params.queues_per_request {
            match next {
                Some(server) => {
                    self.request_permit(number, server, effects);
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

    /// Refuses a request once all managers have declined it.
    pub(super) fn refuse_if_declined(&mut self, number: u64, effects: &mut Vec<AdmissionEffect>) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::AwaitingPermit { permit_requests, .. } = &open.stage else { return };
        if permit_requests.iter().any(|request| !matches!(request.state, RequestState::Declined(_)))
        {
            return;
        }
        let overloaded = permit_requests.iter().any(|request| {
            matches!(
                request.state,
                RequestState::Declined(
                    DeclineReason::QueueFull | DeclineReason::WaitTooLong | DeclineReason::TooLarge
                )
            )
        });
        let reason = if overloaded { DecisionReason::Overloaded } else { DecisionReason::NoServer };
        self.refuse(number, reason, effects);
    }

    /// Sets the timer of a request that waits for a permit to its next time-out or deadline.
    pub(super) fn update_due(&mut self, number: u64) {
        let Some(open) = self.open.get(&number) else { return };
        let OpenStage::AwaitingPermit { permit_requests, by_prefix, .. } = &open.stage else {
            return;
        };
        let affinity_end = open.arrived + self.params.affinity_wait;
        let affinity_end = (*by_prefix
            && open.request.objective == DeskObjective::LeastStall
            && permit_requests.len() == 1
            && affinity_end > self.now)
            .then_some(affinity_end);
        let reply = permit_requests
            .iter()
            .filter(|request| request.state == RequestState::Sent)
            .map(|request| request.since + self.params.reply_timeout)
            .min();
        let deadline = open.request.deadline - self.params.answer_margin;
        let due = Timestamp::earliest(Timestamp::earliest(reply, affinity_end), Some(deadline));
        self.set_due(number, due);
    }

    pub(super) fn request_permit(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) {
        let now = self.now;
        let reachable = self.manager(server).is_some_and(|m| !self.unreachable.contains(&m.id));
        let Some(open) = self.open.get_mut(&number) else { return };
        let OpenStage::AwaitingPermit { permit_requests, .. } = &mut open.stage else { return };
        open.record.asked.push(server);
        // A manager that did not reply before still gets the permit request, but its reply is
        // not waited for.
        let state = if reachable { RequestState::Sent } else { RequestState::Unreachable };
        permit_requests.push(PermitRequest { server, state, since: now, sent: VecDeque::new() });
        let need = f64::from(open.request.prompt_tokens)
            + self.lengths.curve(open.request.route).mean_remaining(0, open.request.max_tokens);
        if let (Some(known), Some(capacity)) =
            (self.known_servers.get_mut(&server), self.servers.get(&server))
        {
            known.requested_load += need / capacity.kv_tokens.max(1) as f64;
        }
        self.update_due(number);
        self.report_one(number, server, effects);
        if !reachable {
            self.advance(number, effects);
        }
    }

    /// Admits a request to a server whose manager cannot be reached, if it fits into this
    /// instance's local share of the capacity. Returns whether it was admitted.
    pub(super) fn admit_locally(
        &mut self,
        number: u64,
        server: ServerId,
        effects: &mut Vec<AdmissionEffect>,
    ) -> bool {
        let Some(capacity) = self.servers.get(&server).copied() else { return false };
        if !self.is_eligible(server, &[]) {
            return false;
        }
        let fraction = self.params.local_fraction / self.live.len().max(1) as f64;
        let Some(open) = self.open.get(&number) else { return false };
        let mut forecast = MemoryForecast::default();
        let mut running = 1;
        forecast.add(&self.memory_need(open));
        for other in self.open.values() {
            if matches!(other.stage, OpenStage::Running { server: at, .. } if at == server) {
                forecast.add(&self.memory_need(other));
                running += 1;
            }
        }
        let batch = (f64::from(capacity.max_batch) * fraction).max(1.0);
        if f64::from(running) > batch
            || forecast.peak(0.0, u32::MAX) > capacity.kv_tokens as f64 * fraction
        {
            return false;
        }
        let start_by = self.now + self.params.lease;
        self.start(number, server, true, start_by, effects);
        true
    }

    pub(super) fn memory_need(&self, open: &OpenRequest) -> MemoryNeed<'_> {
        MemoryNeed {
            prompt_tokens: open.request.prompt_tokens,
            decoded: open.decoded,
            max_tokens: open.request.max_tokens,
            curve: self.lengths.curve(open.request.route),
        }
    }

    /// Marks a request as running at a server and withdraws its other permit requests.
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
        let OpenStage::AwaitingPermit { ranked, permit_requests, by_prefix } = stage else {
            return;
        };
        open.record.chosen = Some(server);
        open.record.waited_ms = self.now.since(open.arrived).as_millis() as u64;
        open.record.reason = if local {
            DecisionReason::LocalShare
        } else if permit_requests.len() > 1
            || permit_requests.iter().any(|request| request.state == RequestState::Queued)
        {
            DecisionReason::FirstAvailable
        } else if by_prefix && ranked.first() == Some(&server) {
            DecisionReason::PrefixAffinity
        } else {
            DecisionReason::LeastLoaded
        };
        let (record, request) = (open.record.clone(), open.request.request);
        self.keep_record(record);
        self.set_due(number, None);
        for request in permit_requests.iter().filter(|request| request.server != server) {
            self.release(number, request.server, 0, effects);
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
        if let OpenStage::AwaitingPermit { permit_requests, .. } = &open.stage {
            for request in permit_requests {
                self.release(number, request.server, 0, effects);
            }
            let requested = permit_requests
                .iter()
                .filter_map(|request| self.known_servers.get(&request.server));
            retry_after = requested
                .map(|known| known.status.wait_ms)
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
            self.uncount_request(open.request.customer, effects);
        }
    }

    /// Adds a decision record, in place of the oldest one if the limit is reached.
    pub(super) fn keep_record(&mut self, record: DecisionRecord) {
        if self.decisions.len() >= self.params.record_limit {
            self.decisions.pop_front();
        }
        self.decisions.push_back(record);
    }

    /// Replaces the timer of a request; `None` removes it.
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

    /// Tries the local share again for requests at servers whose manager cannot be reached.
    pub(super) fn retry_local(&mut self, effects: &mut Vec<AdmissionEffect>) {
        let waiting: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| match &open.stage {
                OpenStage::AwaitingPermit { permit_requests, .. } => {
                    permit_requests.iter().any(|request| request.state == RequestState::Unreachable)
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
