//! Speeds of servers: collects samples of this instance and of its peers, and publishes estimates.
//!
//! The coordinator and the instance that would replace it get the samples of all instances with their
//! load reports. Every other instance knows its own samples only, and uses those of engines while the
//! coordinator does not answer. The coordinator tells all instances which plain servers are not of
//! average speed, because each instance chooses plain servers itself and sends few requests to each.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use super::servers::{server_hash, start_hash};
use super::shared::ForwardState;
use super::telemetry::Telemetry;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    EngineQueue, FIRST_EVENT_WEIGHT, ForwardConfig, LoadReport, PlainSpeed, RouteRule,
    SampleSource, ServerEntry, ServerKey, ServerRecord, SpeedChange, SpeedRatios, SpeedSums,
    SpeedTable, SpeedTarget, StreamSample,
};
use medlarlanding_core::time::Timestamp;

use indexmap::{IndexMap, IndexSet};

/// Most servers whose samples one digest contains, so that it fits into a datagram; the others are
/// contained in the next ones. A report takes at most 20 bytes.
const REPORT_LIMIT: usize = 30;
/// Time for which the coordinator's answer describes the work at an engine; the run that the answer is
/// for is sent at once.
const QUEUE_RETENTION: Duration = Duration::from_millis(50);
/// Expected time of an answer from a plain server on a route without an objective. Comparisons of
/// servers do not depend on it.
const DEFAULT_ANSWER_TIME: Duration = Duration::from_millis(300);
/// A server is late when it has not answered for its usual time multiplied by this.
const LATE_FACTOR: f64 = 3.0;
/// Shortest time after which a server is late; a weak machine may be paused for longer than this.
const LATE_MIN: Duration = Duration::from_millis(20);
/// Time for which the speeds that the coordinator told are used; it tells them every 250 ms.
const TOLD_RETENTION: Duration = Duration::from_secs(1);
/// Most servers whose speeds the coordinator tells, so that they fit into a datagram.
const TOLD_LIMIT: usize = 60;
/// Range of the speeds in percent that are taken from a peer.
const TOLD_RANGE: (u16, u16) = (10, 1_000);
/// Shortest time between two updates of the estimates; digests, which cause them, are sent up to 50
/// times a second.
const UPDATE_PERIOD: Duration = Duration::from_millis(200);
/// One in so many updates of the estimates also updates the metrics.
const METRICS_PERIOD: u32 = 4;

/// Speeds of servers as this instance knows them.
#[derive(Default)]
pub struct SpeedState {
    table: RefCell<SpeedTable>,
    /// Keys of the servers in the directory by the hashes of their ids; as of the last update.
    keys: RefCell<IndexMap<u64, ServerKey>>,
    /// Work at the engines that the coordinator chose last, with the time of its answers; none is
    /// older than `QUEUE_RETENTION` at the time of an insertion.
    queues: RefCell<IndexMap<ServerKey, (Timestamp, EngineQueue)>>,
    /// Ratios of plain servers that the coordinator told, with the times at which they arrived.
    told: RefCell<IndexMap<ServerKey, (Timestamp, f64)>>,
    /// Ids of the servers that the metrics name.
    shown: RefCell<IndexSet<String>>,
    updates: Cell<u32>,
    /// When the estimates were last updated.
    updated_at: Cell<Timestamp>,
}

impl ForwardState {
    /// Returns whether servers are compared by speed, which the configuration asks for with a target
    /// for the pauses between events.
    pub fn compares_speeds(&self) -> bool {
        self.config().is_some_and(|it| it.config.compares_speeds())
    }

    /// Returns the work at an engine before a run is sent there: what the coordinator has just told, or
    /// what this instance knows itself.
    pub fn queue_at(&self, key: ServerKey) -> EngineQueue {
        let now = self.now();
        let told = self.speeds.queues.borrow().get(&key).copied();
        match told.filter(|(at, _)| now.since(*at) < QUEUE_RETENTION) {
            Some((_, queue)) => queue,
            None => self.known_queue(key),
        }
    }

    /// Returns the work at an engine as far as this instance knows it.
    pub fn known_queue(&self, key: ServerKey) -> EngineQueue {
        let (peers, directory) = (self.peers.borrow(), self.directory.borrow());
        let Some(record) = directory.get(key) else { return EngineQueue::default() };
        let remote = peers.remote_load(self.now(), server_hash(&record.entry.id));
        let ahead = record.waiting_tokens as f64 + remote.waiting_tokens;
        let running = f64::from(record.open_requests) + remote.requests;
        let ratios = record.speed;
        EngineQueue {
            ahead: ahead as u32,
            running: running as u16,
            token_percent: percent(ratios.token),
            first_percent: percent(ratios.first),
        }
    }

    /// Records what the coordinator told of the work at the engine that it chose.
    pub fn note_queue(&self, key: ServerKey, queue: EngineQueue) {
        let now = self.now();
        let mut queues = self.speeds.queues.borrow_mut();
        queues.retain(|_, (at, _)| now.since(*at) < QUEUE_RETENTION);
        queues.insert(key, (now, queue));
    }

    /// Records samples of the events of a stream.
    pub fn record_stream_sample(&self, key: ServerKey, sample: StreamSample) {
        if sample.is_empty() {
            return;
        }
        self.speeds.table.borrow_mut().record(self.now(), key, SampleSource::Engine, sample);
    }

    /// Records the time of an answer of a plain server; whole answers of engines differ too much in
    /// size. `open` is the number of requests that this
    /// instance had open there, including the answered one.
    pub fn record_answer_time(&self, key: ServerKey, rule: &RouteRule, took: Duration, open: u32) {
        if !self.compares_speeds() {
            return;
        }
        let directory = self.directory.borrow();
        let Some(record) = directory.get(key).filter(|record| !self.is_engine(record)) else {
            return;
        };
        let slots = record.entry.slots.max(1);
        let waiting_factor = (f64::from(open) / f64::from(slots)).max(1.0);
        let expected = expected_answer_time(rule).mul_f64(waiting_factor);
        let mut first = SpeedSums::default();
        first.add(took.as_secs_f64() / expected.as_secs_f64(), FIRST_EVENT_WEIGHT);
        let sample = StreamSample { token: SpeedSums::default(), first };
        self.speeds.table.borrow_mut().record(self.now(), key, SampleSource::PlainServer, sample);
    }

    /// Returns the time after which a plain server is late with an answer; `None` if its usual time is
    /// unknown or servers are not compared.
    pub fn late_after(&self, key: ServerKey, rule: &RouteRule) -> Option<Duration> {
        if !self.compares_speeds() {
            return None;
        }
        let directory = self.directory.borrow();
        let record = directory.get(key).filter(|record| !self.is_engine(record))?;
        let keys: Vec<ServerKey> =
            directory.candidates(&record.entry.service).map(|(key, _)| key).collect();
        let usual = self.speeds.table.borrow().usual_first(self.now(), key, &keys)?;
        let open = f64::from(record.open_requests + 1) / f64::from(record.entry.slots.max(1));
        let factor = usual * open.max(1.0) * LATE_FACTOR;
        Some(expected_answer_time(rule).mul_f64(factor).max(LATE_MIN))
    }

    /// Records the speeds of plain servers that the coordinator told.
    pub fn note_paces(&self, paces: &[PlainSpeed]) {
        if !self.compares_speeds() {
            return;
        }
        let (now, keys, directory) =
            (self.now(), self.speeds.keys.borrow(), self.directory.borrow());
        let mut told = self.speeds.told.borrow_mut();
        for pace in paces {
            let Some(key) = keys.get(&pace.server) else { continue };
            let is_same_start =
                directory.get(*key).is_some_and(|it| start_mark(&it.entry) == pace.start);
            if is_same_start {
                let percent = pace.percent.clamp(TOLD_RANGE.0, TOLD_RANGE.1);
                told.insert(*key, (now, f64::from(percent) / 100.0));
            }
        }
    }

    /// Returns the plain servers that are not of average speed by the samples of all instances, which
    /// this instance has while it is the coordinator.
    pub fn paces(&self) -> Vec<PlainSpeed> {
        let (directory, table) = (self.directory.borrow(), self.speeds.table.borrow());
        let paces = table.iter().filter_map(|(key, ratios)| {
            let record = directory.get(key).filter(|record| !self.is_engine(record))?;
            (ratios.first != 1.0).then(|| PlainSpeed {
                server: server_hash(&record.entry.id),
                start: start_mark(&record.entry),
                percent: percent(ratios.first),
            })
        });
        paces.take(TOLD_LIMIT).collect()
    }

    /// Adds the samples of this instance since the last report to the load that it reports. Servers
    /// without a request are added if there are samples of them.
    pub fn add_speed_reports(&self, loads: &mut Vec<LoadReport>) {
        let mut table = self.speeds.table.borrow_mut();
        let directory = self.directory.borrow();
        let keys: Vec<ServerKey> = table.unreported().take(REPORT_LIMIT).collect();
        for key in keys {
            let Some(record) = directory.get(key) else { continue };
            let report = table.take_report(key, start_mark(&record.entry));
            let server = server_hash(&record.entry.id);
            match loads.iter_mut().find(|load| load.server == server) {
                Some(load) => load.speed = report,
                None => loads.push(LoadReport {
                    server,
                    requests: 0,
                    tokens: 0,
                    waiting_tokens: 0,
                    growth: 0,
                    speed: report,
                }),
            }
        }
    }

    /// Adds the samples that a peer reported. Those of another start of a server are dropped.
    pub fn merge_speed_reports(&self, loads: &[LoadReport]) {
        if !self.compares_speeds() {
            return;
        }
        let (now, keys, directory) =
            (self.now(), self.speeds.keys.borrow(), self.directory.borrow());
        let mut table = self.speeds.table.borrow_mut();
        for load in loads {
            let Some(report) = load.speed else { continue };
            let Some(key) = keys.get(&load.server) else { continue };
            let Some(record) = directory.get(*key) else { continue };
            if start_mark(&record.entry) == report.start {
                let source = match self.is_engine(record) {
                    true => SampleSource::Engine,
                    false => SampleSource::PlainServer,
                };
                table.merge(now, *key, source, &report);
            }
        }
    }

    fn is_engine(&self, record: &ServerRecord) -> bool {
        let is_engine = |config: &ForwardConfig| {
            config.service(&record.entry.service).is_some_and(|policy| policy.engine.is_some())
        };
        self.config().is_some_and(|in_force| is_engine(&in_force.config))
    }

    fn speed_target(&self, service: &str) -> Option<SpeedTarget> {
        let in_force = self.config()?;
        let policy = in_force.config.service(service)?;
        Some(SpeedTarget {
            is_engine: policy.engine.is_some(),
            gap_objective: in_force.config.gap_objective(service),
        })
    }

    /// Updates the estimates and the speeds in the directory, by which requests are placed. Logs those
    /// that changed: of engines at the coordinator, which uses them, and of plain servers here, where
    /// each instance chooses. Returns whether they were updated.
    pub fn update_speeds(&self) -> bool {
        let now = self.now();
        if now.since(self.speeds.updated_at.get()) < UPDATE_PERIOD {
            return false;
        }
        self.speeds.updated_at.set(now);
        let mut table = self.speeds.table.borrow_mut();
        let mut directory = self.directory.borrow_mut();
        if !self.compares_speeds() {
            if !table.is_empty() {
                *table = SpeedTable::default();
                show_speeds(
                    &self.telemetry,
                    &mut self.speeds.shown.borrow_mut(),
                    std::iter::empty(),
                );
                directory.set_speeds(|_, _| SpeedRatios::default());
            }
            return false;
        }
        let entries = directory.iter().filter(|(_, record)| !record.is_removed);
        *self.speeds.keys.borrow_mut() =
            entries.map(|(key, record)| (server_hash(&record.entry.id), key)).collect();
        let changes = table.refresh(now, &directory, |service| self.speed_target(service));
        let mut told = self.speeds.told.borrow_mut();
        told.retain(|_, (at, _)| now.since(*at) < TOLD_RETENTION);
        directory.set_speeds(|key, service| {
            let known = table.ratios(key, service);
            told.get(&key).map_or(known, |(_, first)| SpeedRatios { first: *first, ..known })
        });
        drop(told);
        drop(directory);
        let directory = self.directory.borrow();
        let engines = directory.iter().filter(|(_, record)| self.is_engine(record));
        table.update_prompts(engines.map(|(key, _)| (key, self.known_queue(key).ahead > 0)));
        self.log_speed_changes(&changes);
        self.speeds.updates.set(self.speeds.updates.get().wrapping_add(1));
        if self.speeds.updates.get().is_multiple_of(METRICS_PERIOD) {
            // Servers whose speed only the coordinator knows have the age 0.
            let estimates = directory.iter().filter_map(|(key, record)| {
                let age = table.age(now, key);
                let is_shown = age.is_some() || !record.speed.is_average();
                let id = record.entry.id.to_string();
                (is_shown && !record.is_removed)
                    .then(|| (id, record.speed, age.unwrap_or_default()))
            });
            show_speeds(&self.telemetry, &mut self.speeds.shown.borrow_mut(), estimates);
        }
        true
    }

    fn log_speed_changes(&self, changes: &[SpeedChange]) {
        let is_coordinator = self.peers.borrow().coordinator(self.now()).is_none();
        let directory = self.directory.borrow();
        for change in changes {
            let Some(record) = directory.get(change.key) else { continue };
            let entry = &record.entry;
            if !is_coordinator && self.is_engine(record) {
                continue;
            }
            if change.is_expired {
                event(EventKind::SpeedExpired, &[&entry.id, &change.age.as_millis()]);
                continue;
            }
            let SpeedRatios { token, first, run_limit } = change.ratios;
            event(
                EventKind::ServerSpeed,
                &[
                    &entry.id,
                    &entry.service,
                    &percent(token),
                    &percent(first),
                    &run_limit.unwrap_or(0),
                ],
            );
        }
    }
}

/// Returns the time that an answer of a plain server is compared with.
fn expected_answer_time(rule: &RouteRule) -> Duration {
    if rule.objective.is_zero() { DEFAULT_ANSWER_TIME } else { rule.objective }
}

/// Returns the part of the hash of a server's start that reports contain.
fn start_mark(entry: &ServerEntry) -> u16 {
    start_hash(entry) as u16
}

fn percent(ratio: f64) -> u16 {
    (ratio * 100.0).round().clamp(0.0, f64::from(u16::MAX)) as u16
}

/// Sets the metrics of all estimates and removes those of servers without one.
fn show_speeds(
    telemetry: &Telemetry,
    shown: &mut IndexSet<String>,
    estimates: impl Iterator<Item = (String, SpeedRatios, Duration)>,
) {
    let mut current = IndexSet::new();
    for (id, ratios, age) in estimates {
        let set = |name: &str, value: i64| {
            telemetry.server_speeds.with_label_values(&[&*id, name]).set(value);
        };
        set("token_percent", i64::from(percent(ratios.token)));
        set("first_percent", i64::from(percent(ratios.first)));
        set("age_ms", age.as_millis() as i64);
        current.insert(id);
    }
    for id in shown.iter().filter(|id| !current.contains(*id)) {
        for name in ["token_percent", "first_percent", "age_ms"] {
            // Fails only if the metric does not exist, which is what is wanted.
            let _ = telemetry.server_speeds.remove_label_values(&[&**id, name]);
        }
    }
    *shown = current;
}
