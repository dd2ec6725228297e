//! Slow start of the servers of opted-in services: measures answers, applies limits to the directory,
//! and exchanges times with the coordinator.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::peer_link::PeerLink;
use super::servers::{server_hash, start_hash};
use super::shared::ForwardState;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    AnswerOutcome, AnswerReport, RouteRule, ServerAccess, ServerKey, ServerRecord,
};
use medlarlanding_core::ids::{InstanceId, stable_hash};
use medlarlanding_core::pacing::{
    AnswerKind, AnswerPart, AnswerSample, InstanceShare, JudgedAnswer, PaceChange, PaceLimit,
    PaceParams, PaceScope, PaceTable, ServerSight, ServerStanding,
};
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;

/// Time for which the answers of an engine are reported to the coordinator after it said that the engine
/// is in slow start. The pause between events is known within a second of the first one.
const REPORT_TIME: Duration = Duration::from_secs(10);
/// Number of events between which the pause is measured. The buffer for a slow caller holds more, so the
/// caller does not affect it.
const PAUSE_EVENTS: u32 = 12;

/// Fraction of its slots with which an engine starts. The memory of an engine holds long runs for a third
/// of its slots, so that one which is as fast as its peers is never left idle.
const ENGINE_START_SHARE: f64 = 0.5;
/// Fraction of its slots with which an engine returns that was avoided or whose zone is restored.
const ENGINE_RETURN_SHARE: f64 = 0.75;

/// State of slow start.
#[derive(Default)]
pub struct PaceState {
    /// Paces by service. Contains only services whose configuration asks for slow start.
    tables: RefCell<IndexMap<Arc<str>, PaceTable<ServerKey>>>,
    /// Engines that the coordinator has said to be in slow start, with the end of `REPORT_TIME`.
    reported: RefCell<IndexMap<ServerKey, Timestamp>>,
}

impl ForwardState {
    /// Returns whether the servers of a service start slowly.
    fn has_slow_start(&self, service: &str) -> bool {
        let Some(in_force) = self.config() else { return false };
        let policy = in_force.config.service(service);
        policy.is_some_and(|policy| !policy.cold.start.is_zero() || policy.cold.per_second > 0.0)
    }

    fn is_engine_service(&self, service: &str) -> bool {
        let Some(in_force) = self.config() else { return false };
        in_force.config.service(service).is_some_and(|policy| policy.engine.is_some())
    }

    /// Brings the limits of a service up to date before a server is chosen.
    pub fn update_paces(&self, service: &str) {
        if !self.has_slow_start(service) {
            self.drop_paces(service);
            return;
        }
        let now = self.now();
        let mut tables = self.pacing.tables.borrow_mut();
        let is_stream = self.is_engine_service(service);
        let table = tables
            .entry(Arc::from(service))
            .or_insert_with(|| PaceTable::new(pace_params(is_stream), is_stream));
        let mut limits: Vec<(ServerKey, Option<PaceLimit>)> = Vec::new();
        let directory = self.directory.borrow();
        table.retain(|key| directory.get(key).is_some());
        // Includes servers that get no requests now, so that their return is noticed.
        let known = directory
            .iter()
            .filter(|(_, record)| &*record.entry.service == service && record.accepts_work());
        for (key, record) in known {
            let standing = standing(now, record);
            if table.is_settled(key, standing) {
                continue;
            }
            let scope = self.pace_scope(now, record, is_stream);
            let remote = if is_stream && scope == PaceScope::Whole {
                self.remote_requests(now, record)
            } else {
                0
            };
            let sight = ServerSight {
                standing,
                slots: record.entry.slots,
                start_limit: None,
                seen_at: record.seen_at,
                scope,
                in_use: (scope == PaceScope::Whole).then_some(record.open_requests + remote),
            };
            for change in table.observe(now, key, sight) {
                self.log_pace(record, scope, change);
            }
            let limit = table.limit(key).map(|limit| PaceLimit {
                in_flight: limit.in_flight.saturating_sub(remote),
                ..limit
            });
            limits.push((key, limit));
        }
        drop(directory);
        drop(tables);
        let mut directory = self.directory.borrow_mut();
        for (key, limit) in limits {
            directory.set_pace(key, limit);
        }
    }

    /// Forgets the paces of a service whose configuration no longer asks for slow start.
    fn drop_paces(&self, service: &str) {
        let Some(table) = self.pacing.tables.borrow_mut().shift_remove(service) else { return };
        let mut directory = self.directory.borrow_mut();
        for (key, _) in table.ramping() {
            directory.set_pace(key, None);
        }
    }

    /// Returns who applies the limit of a server: the coordinator for engines, and each instance for plain
    /// servers, and for engines while the coordinator does not answer. The only instance receives all
    /// answers.
    fn pace_scope(&self, now: Timestamp, record: &ServerRecord, is_engine: bool) -> PaceScope {
        let peers = self.peers.borrow();
        if is_engine && peers.coordinator(now).is_none() {
            return PaceScope::Whole;
        }
        let others = peers.addresses();
        if others.is_empty() {
            return PaceScope::Whole;
        }
        let id = |address: &SocketAddr| InstanceId(stable_hash(address.to_string().as_bytes()));
        let own = id(&self.settings.peers);
        let server = start_hash(&record.entry);
        PaceScope::Divided(InstanceShare::of_instance(server, own, others.iter().map(id)))
    }

    fn remote_requests(&self, now: Timestamp, record: &ServerRecord) -> u32 {
        let load = self.peers.borrow().remote_load(now, server_hash(&record.entry.id));
        load.requests as u32
    }

    /// Records that a request is sent to a server.
    pub fn pace_began(&self, service: &str, key: ServerKey) {
        if let Some(table) = self.pacing.tables.borrow_mut().get_mut(service) {
            table.began(self.now(), key);
        }
    }

    /// Returns whether a server is in slow start as far as this instance decides.
    pub fn is_ramping(&self, service: &str, key: ServerKey) -> bool {
        self.pacing.tables.borrow().get(service).is_some_and(|table| table.is_ramping(key))
    }

    /// Records that the coordinator wants to know how an engine answers.
    pub fn report_answers_of(&self, key: ServerKey) {
        let now = self.now();
        let mut reported = self.pacing.reported.borrow_mut();
        reported.retain(|_, until| now < *until);
        reported.insert(key, now + REPORT_TIME);
    }

    fn reports_answers(&self, key: ServerKey) -> bool {
        let now = self.now();
        self.pacing.reported.borrow().get(&key).is_some_and(|until| now < *until)
    }

    /// Records how long a server took for a part of an answer.
    pub fn note_answer_time(
        &self,
        link: &PeerLink,
        service: &Arc<str>,
        key: ServerKey,
        sample: &AnswerSample,
    ) {
        if !self.has_slow_start(service) {
            return;
        }
        let (now, reports_answers) = (self.now(), self.reports_answers(key));
        let is_stream = self.is_engine_service(service);
        let judged = {
            let mut tables = self.pacing.tables.borrow_mut();
            let table = tables
                .entry(Arc::clone(service))
                .or_insert_with(|| PaceTable::new(PaceParams::default(), is_stream));
            table.judge(now, key, reports_answers, sample)
        };
        let coordinator = self.peers.borrow().coordinator(now).filter(|_| is_stream);
        if coordinator.is_none() {
            self.apply_answer(service, key, judged);
        } else if reports_answers {
            // 0 stands for an unknown ratio.
            let percent = judged.ratio.map_or(0, |ratio| ((ratio * 100.0) as u16).max(1));
            let outcome = AnswerOutcome::Answered(judged.part, percent);
            self.report_outcome(link, key, sample.sent_at, outcome);
        }
    }

    fn report_outcome(
        &self,
        link: &PeerLink,
        key: ServerKey,
        sent_at: Timestamp,
        outcome: AnswerOutcome,
    ) {
        let Some(server) = self.hash_of(key) else { return };
        let age_ms = self.now().since(sent_at).as_millis().min(u128::from(u32::MAX)) as u32;
        link.report_answer(self, AnswerReport { server, age_ms, outcome });
    }

    fn apply_answer(&self, service: &str, key: ServerKey, answer: JudgedAnswer) {
        let now = self.now();
        let mut tables = self.pacing.tables.borrow_mut();
        let Some(table) = tables.get_mut(service) else { return };
        let change = table.answered(now, key, answer);
        drop(tables);
        self.apply_change(service, key, change);
    }

    /// Applies a report of another instance. Used while this instance is the coordinator.
    pub fn take_answer_report(&self, report: &AnswerReport) {
        let Some(key) = self.find_server(report.server) else { return };
        let Some(service) = self.service_of(key) else { return };
        match report.outcome {
            AnswerOutcome::Answered(part, percent) => {
                let sent_at = self.now() - Duration::from_millis(report.age_ms.into());
                let ratio = (percent > 0).then_some(f64::from(percent) / 100.0);
                self.apply_answer(&service, key, JudgedAnswer { part, sent_at, ratio });
            },
            AnswerOutcome::Refused => self.note_pace_failure(key),
        }
    }

    /// Records that an engine refused a request, here or at the coordinator.
    pub fn note_engine_refusal(&self, link: &PeerLink, key: ServerKey, sent_at: Timestamp) {
        let coordinator = self.peers.borrow().coordinator(self.now());
        if coordinator.is_none() {
            self.note_pace_failure(key);
        } else if self.reports_answers(key) {
            self.report_outcome(link, key, sent_at, AnswerOutcome::Refused);
        }
    }

    /// Records that a request to a server failed, and whether the server is avoided now.
    pub fn note_pace_failure(&self, key: ServerKey) {
        let now = self.now();
        let Some(service) = self.service_of(key) else { return };
        let mut tables = self.pacing.tables.borrow_mut();
        let Some(table) = tables.get_mut(&service) else { return };
        let change = table.failed(now, key);
        drop(tables);
        self.apply_change(&service, key, change);
        self.update_paces(&service);
    }

    fn service_of(&self, key: ServerKey) -> Option<Arc<str>> {
        Some(Arc::clone(&self.directory.borrow().get(key)?.entry.service))
    }

    /// Logs a change and lifts the limit of a server that has left slow start.
    fn apply_change(&self, service: &str, key: ServerKey, change: Option<PaceChange>) {
        let Some(change) = change else { return };
        if let Some(record) = self.directory.borrow().get(key) {
            let scope = self.pace_scope(self.now(), record, self.is_engine_service(service));
            self.log_pace(record, scope, change);
        }
        if change.limit.is_none() {
            self.directory.borrow_mut().set_pace(key, None);
        }
    }

    fn log_pace(&self, record: &ServerRecord, scope: PaceScope, change: PaceChange) {
        let PaceChange { limit, ratio_percent, reason } = change;
        self.telemetry.pace_changes.with_label_values(&[reason.name()]).inc();
        let limit = limit.map_or_else(|| "none".to_owned(), |limit| limit.to_string());
        let decided = match scope {
            PaceScope::Whole => "whole",
            PaceScope::Divided(_) => "divided",
        };
        let ServerRecord { entry, .. } = record;
        event(
            EventKind::PaceChanged,
            &[&entry.id, &entry.service, &limit, &reason.name(), &ratio_percent, &decided],
        );
    }

    /// Sets the gauges of slow start and renders all metrics.
    ///
    /// # Errors
    ///
    /// Fails if a metric cannot be encoded, which is a programming error.
    pub fn render_metrics(&self) -> anyhow::Result<Vec<u8>> {
        let tables = self.pacing.tables.borrow();
        let limits: Vec<u32> =
            tables.values().flat_map(|table| table.ramping().map(|(_, limit)| limit)).collect();
        self.telemetry.ramping_servers.set(limits.len() as i64);
        self.telemetry.ramp_limit.set(limits.into_iter().map(i64::from).sum());
        self.telemetry.render()
    }
}

/// Returns the parameters for the servers of a service.
fn pace_params(is_stream: bool) -> PaceParams {
    if is_stream {
        PaceParams {
            start_share: ENGINE_START_SHARE,
            return_share: ENGINE_RETURN_SHARE,
            ..PaceParams::default()
        }
    } else {
        PaceParams::default()
    }
}

/// Returns whether a server gets requests at all, for slow start.
fn standing(now: Timestamp, record: &ServerRecord) -> ServerStanding {
    match record.access(now) {
        // A pause that the server asked for itself is no fault.
        ServerAccess::Evacuated => ServerStanding::Evacuated,
        ServerAccess::Open
        | ServerAccess::Paced
        | ServerAccess::Avoided
        | ServerAccess::Held
        | ServerAccess::Limited
        | ServerAccess::Leaving
        | ServerAccess::OutsideRegions => {
            if record.is_avoided(now) {
                ServerStanding::Avoided
            } else {
                ServerStanding::Serving
            }
        },
    }
}

/// Returns the kind of the answers of a route.
pub fn answer_kind(rule: &RouteRule) -> AnswerKind {
    AnswerKind(stable_hash(rule.name.as_bytes()))
}

/// Measures the answer of an engine to one request.
pub struct AnswerClock {
    service: Arc<str>,
    key: ServerKey,
    kind: AnswerKind,
    sent_at: Timestamp,
    first_at: Timestamp,
    /// Events counted, up to `PAUSE_EVENTS`.
    events: u32,
}

impl AnswerClock {
    /// Starts to measure when a request is sent. Returns `None` if the servers of its service do not
    /// start slowly.
    pub fn start(state: &ForwardState, key: ServerKey, admitted: &AdmittedRequest) -> Option<Self> {
        let sent_at = state.now();
        state.has_slow_start(&admitted.service).then(|| Self {
            service: Arc::clone(&admitted.service),
            key,
            kind: answer_kind(&admitted.rule),
            sent_at,
            first_at: sent_at,
            events: 0,
        })
    }

    /// Counts an event that has arrived.
    pub fn count_event(&mut self, state: &ForwardState, link: &PeerLink) {
        if self.events >= PAUSE_EVENTS {
            return;
        }
        let now = state.now();
        self.events += 1;
        let (part, sent_at, time) = match self.events {
            1 => {
                self.first_at = now;
                (AnswerPart::First, self.sent_at, now.since(self.sent_at))
            },
            PAUSE_EVENTS => {
                let time = now.since(self.first_at) / (PAUSE_EVENTS - 1);
                (AnswerPart::Pause, self.first_at, time)
            },
            _ => return,
        };
        let kind = self.kind;
        let sample = AnswerSample { kind, part, sent_at, time };
        state.note_answer_time(link, &self.service, self.key, &sample);
    }
}
