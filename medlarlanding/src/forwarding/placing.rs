//! Chooses servers: for this instance, and as the coordinator for generations of all instances.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::servers::server_hash;
use super::shared::{ConfigInForce, ForwardState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EngineFault, FaultLog, LatencyClass, LoadReport, PeerTable, PlaceAnswer, PlacePurpose,
    PlaceQuestion, PlaceVerdict, PlacementChoice, PlacementPolicy, PlacementRequest, QueuedRun,
    RemoteLoad, RepeatBudget, RepeatPurpose, RunBacklog, RunKey, RunWeight, ServerKey,
    ServerRecord, ServiceCompetition, WaitingClass,
};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;

/// State of the placement. All but `policy` and `granted` is used only while this instance is the
/// coordinator.
#[derive(Default)]
pub struct PlacementState {
    policy: PlacementPolicy,
    /// Highest number of a grant from the current coordinator; 0 if there is none.
    pub granted: Cell<u64>,
    /// Budgets for the moves of all instances, by service.
    move_budgets: RefCell<IndexMap<Arc<str>, RepeatBudget>>,
    /// Generations of all instances that compete for room, by service.
    competition: RefCell<IndexMap<Arc<str>, ServiceCompetition>>,
    /// Engine faults that all instances reported.
    faults: RefCell<FaultLog>,
}

/// Result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On this server.
    Server(ServerKey),
    /// Not placed: no engine has room for it.
    Full(RunBacklog),
    /// Not placed: no server accepts it, or the budget for moves is used up.
    Nowhere,
    /// Not placed by the coordinator: only cold engines have room for it, and the coordinator's share
    /// of their limits is used up.
    Limited,
}

impl ForwardState {
    /// Chooses a server without asking the coordinator, and without counting the choice in a budget
    /// or queue.
    pub fn place(&self, purpose: PlacePurpose, request: &PlacementRequest<'_>) -> Placement {
        self.update_cold_shares();
        self.update_paces(request.service);
        match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => match self.choose(request) {
                Some(PlacementChoice { servers_with_room: 0, .. }) => {
                    Placement::Full(RunBacklog::default())
                },
                Some(choice) => {
                    self.pace_began(request.service, choice.key);
                    Placement::Server(choice.key)
                },
                None => Placement::Nowhere,
            },
            PlacePurpose::Move | PlacePurpose::MoveAgain => self.choose_destination(request),
        }
    }

    /// Chooses a server as `place` does and counts a new run towards the limit of a cold server. A run
    /// waits if only cold servers are left and their limits are used up.
    pub fn place_alone(&self, purpose: PlacePurpose, request: &PlacementRequest<'_>) -> Placement {
        let placement = self.place(purpose, request);
        match (purpose, placement) {
            (PlacePurpose::Start | PlacePurpose::StartLate, Placement::Server(key)) => {
                self.record_send(key);
                placement
            },
            (PlacePurpose::Start | PlacePurpose::StartLate, Placement::Nowhere)
                if self.limited_count(request.service, request.excluded) > 0 =>
            {
                Placement::Full(RunBacklog::default())
            },
            (_, placement) => placement,
        }
    }

    /// Chooses a cold server for a new run from this instance's own share, after the coordinator's share
    /// was used up. The run waits if there is none.
    pub fn place_cold(&self, purpose: PlacePurpose, request: &PlacementRequest<'_>) -> Placement {
        let mut excluded = self.warm_servers(request.service);
        excluded.extend(request.excluded);
        let cold = PlacementRequest { excluded: &excluded, ..*request };
        match self.place_alone(purpose, &cold) {
            Placement::Server(key) => Placement::Server(key),
            Placement::Full(_) | Placement::Nowhere | Placement::Limited => {
                Placement::Full(RunBacklog::default())
            },
        }
    }

    fn choose(&self, request: &PlacementRequest<'_>) -> Option<PlacementChoice> {
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        let remote = |record: &ServerRecord| remote_load(&peers, now, record);
        let choice = self.placing.policy.choose(now, &directory, request, remote, || self.draw());
        if choice.is_some_and(|choice| choice.servers_with_room > 0) {
            self.note_redirect(request);
        }
        choice
    }

    fn choose_destination(&self, request: &PlacementRequest<'_>) -> Placement {
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        let remote = |record: &ServerRecord| remote_load(&peers, now, record);
        self.placing
            .policy
            .choose_destination(now, &directory, request, remote, || self.draw())
            .map_or(Placement::Nowhere, Placement::Server)
    }

    /// Counts a fault of an engine that any instance reported, and avoids the engine if its faults
    /// have reached the limit. `engine` is the hash of its id. Used while this instance is the
    /// coordinator.
    pub fn record_fault(&self, engine: u64, fault: EngineFault) {
        let now = self.now();
        let period = self.placing.faults.borrow_mut().record(now, engine, fault);
        let Some(key) = self.find_server(engine) else { return };
        if let Some(period) = period {
            let mut directory = self.directory.borrow_mut();
            directory.avoid(key, now + period);
            if let Some(record) = directory.get(key) {
                let reason = format!("reported, avoided for {} ms", period.as_millis());
                event(EventKind::ServerSuspected, &[&record.entry.id, &reason]);
            }
        }
        self.note_pace_failure(key);
    }

    /// Answers a peer's question on which engine to run a generation.
    pub fn answer_question(&self, peer: SocketAddr, question: &PlaceQuestion) -> PlaceAnswer {
        let excluded: Vec<ServerKey> =
            question.excluded.iter().filter_map(|hash| self.find_server(*hash)).collect();
        let config = self.config();
        let policy = config.as_ref().and_then(|it| it.config.service(&question.service));
        let memory = policy.and_then(|policy| policy.engine).map(|engine| engine.memory_tokens);
        let weight = RunWeight { prompt: question.prompt, output: question.output };
        let service: Arc<str> = Arc::from(question.service.as_str());
        let placement = self.place_as_coordinator(
            question.purpose,
            RunKey { instance: peer, run: question.run },
            &service,
            &PlacementRequest {
                service: &question.service,
                memory_tokens: memory,
                weight,
                excluded: &excluded,
                regions: &question.regions,
                zone: &question.zone,
                due: (question.due_ms > 0).then(|| Duration::from_millis(question.due_ms.into())),
                is_urgent: question.priority == 0,
                drain_limit: self.settings.drain_limit,
                reserve: None,
                latency: question.latency,
            },
        );
        // Before the grant is counted, so that the run itself is not contained.
        let queue = match placement {
            Placement::Server(key) if self.compares_speeds() => Some(self.known_queue(key)),
            _ => None,
        };
        let waiting = match question.purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => question.prompt,
            PlacePurpose::Move | PlacePurpose::MoveAgain => 0,
        };
        let (verdict, grant) = match placement {
            Placement::Server(key) => match self.hash_of(key) {
                Some(server) => {
                    let is_ramping = self.is_ramping(&service, key);
                    let mut peers = self.peers.borrow_mut();
                    let grant = peers.grant(self.now(), peer, server, weight, waiting);
                    let verdict = if is_ramping {
                        PlaceVerdict::Ramping(server)
                    } else {
                        PlaceVerdict::Server(server)
                    };
                    (verdict, grant)
                },
                None => (PlaceVerdict::Nowhere, 0),
            },
            Placement::Full(backlog) => (PlaceVerdict::Full(backlog), 0),
            Placement::Nowhere => (PlaceVerdict::Nowhere, 0),
            Placement::Limited => (PlaceVerdict::Limited, 0),
        };
        PlaceAnswer { number: question.number, verdict, grant, queue }
    }

    /// Chooses a server for a generation as the coordinator, which also keeps the budget for moves
    /// and the queue of waiting runs.
    pub fn place_as_coordinator(
        &self,
        purpose: PlacePurpose,
        key: RunKey,
        service: &Arc<str>,
        request: &PlacementRequest<'_>,
    ) -> Placement {
        self.update_cold_shares();
        let (now, params) = (self.now(), self.budget_params());
        self.update_paces(service);
        let placement = match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => {
                self.place_new_run(key, service, request)
            },
            PlacePurpose::Move | PlacePurpose::MoveAgain => {
                self.place_moving_run(key, service, request)
            },
        };
        let Placement::Server(server) = placement else { return placement };
        let mut budgets = self.placing.move_budgets.borrow_mut();
        let budget = budgets.entry(Arc::clone(service)).or_default();
        match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => {
                budget.record_request(now, &params);
                self.record_send(server);
                self.pace_began(service, server);
            },
            PlacePurpose::Move => {
                if !budget.try_repeat(now, &params, RepeatPurpose::Move, 1) {
                    return Placement::Nowhere;
                }
            },
            PlacePurpose::MoveAgain => {},
        }
        placement
    }

    /// Places a new run, unless the room that is left is needed for waiting runs ahead of it.
    fn place_new_run(
        &self,
        key: RunKey,
        service: &Arc<str>,
        request: &PlacementRequest<'_>,
    ) -> Placement {
        let now = self.now();
        let mut services = self.placing.competition.borrow_mut();
        let competition = services.entry(Arc::clone(service)).or_default();
        let reserve = competition.reserve(now, request.latency, request.due);
        let request = &PlacementRequest { reserve, ..*request };
        let choice = self.choose(request);
        let has_room = choice.is_some_and(|choice| choice.servers_with_room > 0);
        if !has_room && self.has_limited_room(request) {
            return Placement::Limited;
        }
        let Some(choice) = choice else {
            let is_limited = self.limited_count(request.service, request.excluded) > 0;
            return match is_limited {
                true => Placement::Full(RunBacklog::default()),
                false => Placement::Nowhere,
            };
        };
        let class = match request.due {
            None => WaitingClass::Late,
            Some(_) if request.is_urgent => WaitingClass::Urgent,
            Some(_) => WaitingClass::InTime,
        };
        let run = QueuedRun { key, class, latency: request.latency, weight: request.weight };
        let is_kept = match request.latency {
            LatencyClass::Tolerant => reserve.is_some(),
            LatencyClass::Critical => competition.kept_room(now).is_some(),
            LatencyClass::Uniform => false,
        };
        let admission = competition.admit(now, run, request.due, choice.servers_with_room);
        let outcome = match (request.latency, &admission) {
            (LatencyClass::Tolerant, Ok(())) => Some("lent"),
            (LatencyClass::Tolerant, Err(_)) => Some("kept"),
            (LatencyClass::Critical, Ok(())) => Some("returned"),
            (LatencyClass::Critical, Err(_)) | (LatencyClass::Uniform, _) => None,
        };
        if let Some(outcome) = outcome.filter(|_| is_kept) {
            self.telemetry.kept_room.with_label_values(&[outcome]).inc();
        }
        match admission {
            Ok(()) => Placement::Server(choice.key),
            Err(backlog) => Placement::Full(backlog),
        }
    }

    /// Chooses the engine that a run moves to. A run without a destination waits before new runs that
    /// can wait too.
    fn place_moving_run(
        &self,
        key: RunKey,
        service: &Arc<str>,
        request: &PlacementRequest<'_>,
    ) -> Placement {
        let now = self.now();
        let mut services = self.placing.competition.borrow_mut();
        let competition = services.entry(Arc::clone(service)).or_default();
        let reserve = competition.move_reserve(now, request.latency);
        let placement = self.choose_destination(&PlacementRequest { reserve, ..*request });
        let is_placed = matches!(placement, Placement::Server(_));
        competition.record_move(now, key, request.latency, is_placed);
        placement
    }

    /// Returns whether a cold engine whose limit is used up has room for a request.
    fn has_limited_room(&self, request: &PlacementRequest<'_>) -> bool {
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        let limited = directory.limited(now, request.service);
        limited.filter(|(key, _)| !request.excluded.contains(key)).any(|(_, record)| {
            self.placing.policy.has_room(request, record, remote_load(&peers, now, record))
        })
    }

    /// Logs and counts the room that this instance keeps as the coordinator.
    pub fn report_kept_room(&self) {
        let now = self.now();
        for (service, competition) in self.placing.competition.borrow().iter() {
            let kept = competition.kept_room(now);
            let engines = kept.map_or(0, |reserve| reserve.engines);
            let gauge = self.telemetry.kept_engines.with_label_values(&[&**service]);
            gauge.set(engines.min(i64::MAX as usize) as i64);
            if let Some(reserve) = kept {
                let (due, waiting) = (reserve.due.as_millis(), competition.waiting_count(now));
                event(
                    EventKind::RoomKept,
                    &[service, &engines, &reserve.weight.prompt, &due, &waiting],
                );
            }
        }
    }

    /// Logs the load of the engines of each service, as far as this instance knows it.
    pub fn log_fleet_load(&self) {
        let Some(ConfigInForce { config, .. }) = self.config() else { return };
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        for (policy, engine) in config.engine_services() {
            let mut engines = 0;
            let mut load = RemoteLoad::default();
            for (_, record) in directory.candidates(&policy.name) {
                engines += 1;
                let remote = remote_load(&peers, now, record);
                load.requests += remote.requests + f64::from(record.open_requests);
                load.tokens += remote.tokens + record.open_tokens as f64;
                load.growth += remote.growth + record.expected_growth as f64;
                load.waiting_tokens += remote.waiting_tokens + record.waiting_tokens as f64;
            }
            event(
                EventKind::FleetLoad,
                &[
                    &policy.name,
                    &engines,
                    &load.requests,
                    &load.tokens,
                    &load.growth,
                    &load.waiting_tokens,
                    &(engines * engine.memory_tokens),
                ],
            );
        }
    }

    /// Returns the load that this instance puts on each server, with its samples of their speeds since
    /// the last report.
    pub fn own_loads(&self) -> Vec<LoadReport> {
        let directory = self.directory.borrow();
        let busy = directory.iter().filter(|(_, record)| record.open_requests > 0);
        let busy = busy.map(|(_, record)| LoadReport {
            server: server_hash(&record.entry.id),
            requests: record.open_requests.min(u32::from(u16::MAX)) as u16,
            tokens: record.open_tokens.min(u64::from(u32::MAX)) as u32,
            waiting_tokens: record.waiting_tokens.min(u64::from(u32::MAX)) as u32,
            growth: record.expected_growth.min(u64::from(u32::MAX)) as u32,
            speed: None,
        });
        let mut loads = busy.collect();
        self.add_speed_reports(&mut loads);
        loads
    }
}

/// Returns the load that peers put on a server.
fn remote_load(peers: &PeerTable, now: Timestamp, record: &ServerRecord) -> RemoteLoad {
    peers.remote_load(now, server_hash(&record.entry.id))
}
