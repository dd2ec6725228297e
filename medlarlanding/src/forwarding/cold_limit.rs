//! Limits the rate of requests to cold servers: keeps the shares of this instance up to date and records
//! who is cold. `medlarlanding_core::forwarding::cold_share` decides.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use super::servers::start_hash;
use super::shared::{ConfigInForce, ForwardState};
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    ColdLimitParams, ColdReport, ColdSource, ColdTarget, FleetNote, PlacementRequest, ServerKey,
    ServerRecord, ShareAllocator,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::headers::stated_cold_time;
use medlarlanding_platform::settings::PlatformSettings;

use hyper::HeaderMap;
use indexmap::IndexSet;

/// Interval at which shares are computed while requests are placed.
const SHARE_PERIOD: Duration = Duration::from_millis(50);
/// Invalid values of which it is remembered that they were logged.
const LOGGED_LIMIT: usize = 1_000;

/// State of the limits for cold servers.
pub struct ColdLimitState {
    params: Cell<ColdLimitParams>,
    allocator: RefCell<ShareAllocator>,
    /// When shares are computed next.
    share_at: Cell<Timestamp>,
    /// A service of the configuration in effect has a limit. Otherwise no server has a share, and peers
    /// are told nothing.
    is_active: Cell<bool>,
    /// What servers said themselves, until peers are told with the next digest.
    reports: RefCell<Vec<ColdReport>>,
    /// Invalid settings and starts of servers with an invalid cold time that were logged.
    logged: RefCell<IndexSet<String>>,
}

impl ColdLimitState {
    /// Creates the state of a process that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            params: Cell::default(),
            allocator: RefCell::new(ShareAllocator::new(now)),
            share_at: Cell::default(),
            is_active: Cell::default(),
            reports: RefCell::default(),
            logged: RefCell::default(),
        }
    }

    /// Returns whether a value has not been logged since it was last valid.
    fn is_first(&self, value: String) -> bool {
        let mut logged = self.logged.borrow_mut();
        if logged.len() >= LOGGED_LIMIT {
            logged.clear();
        }
        logged.insert(value)
    }
}

impl ForwardState {
    /// Applies the settings for cold servers. An invalid value is logged once, and the last valid one
    /// stays in effect.
    pub fn apply_cold_settings(&self, settings: &PlatformSettings) {
        let (mut params, default) = (self.cold.params.get(), ColdLimitParams::default());
        let values = [
            (&settings.cold_overshoot, &mut params.overshoot, default.overshoot),
            (&settings.cold_slack, &mut params.slack, default.slack),
        ];
        for (stated, param, default) in values {
            match stated {
                Ok(value) => *param = value.unwrap_or(default),
                Err(reason) => {
                    let reason = format!("{reason}; {param} stays in effect");
                    if self.cold.is_first(reason.clone()) {
                        event(EventKind::SettingsRefused, &[&reason]);
                    }
                },
            }
        }
        self.cold.params.set(params);
    }

    /// Returns what peers are told for the division of the limits; `None` while no service has one.
    pub fn fleet_note(&self) -> Option<FleetNote> {
        let is_active = self.cold.is_active.get();
        is_active.then(|| self.peers.borrow().fleet_note(self.now()))
    }

    /// Returns the number of requests per second that a cold server of a service may get; `None` if
    /// there is no limit.
    fn cold_limit(&self, service: &str) -> Option<u32> {
        let ConfigInForce { config, .. } = self.config()?;
        config.service(service)?.cold.limit(&self.cold.params.get())
    }

    /// Updates this instance's shares of the limits. Called before each decision, and with each digest.
    pub fn update_cold_shares(&self) {
        let config = self.config();
        let is_active = config.as_ref().is_some_and(|it| it.config.has_cold_limits());
        if !is_active && !self.cold.is_active.get() {
            return;
        }
        self.cold.is_active.set(is_active);
        let Some(ConfigInForce { config, .. }) = config.filter(|_| is_active) else {
            self.directory.borrow_mut().set_cold_shares(|_| None);
            return;
        };
        let (now, peers) = (self.now(), self.peers.borrow());
        let mut allocator = self.cold.allocator.borrow_mut();
        allocator.note_running(now, peers.live_timeout());
        if now < self.cold.share_at.get() {
            return;
        }
        self.cold.share_at.set(now + SHARE_PERIOD);
        let view = peers.fleet_view(now);
        allocator.update(now, &view);
        let params = self.cold.params.get();
        self.directory.borrow_mut().set_cold_shares(|record| {
            let policy = config.service(&record.entry.service)?;
            let limit = policy.cold.limit(&params)?;
            if !record.cold().is_cold(now) {
                return Some(Default::default());
            }
            let start = start_hash(&record.entry);
            let target = ColdTarget { start, limit, is_engine: policy.engine.is_some() };
            Some(allocator.share(now, &view, target))
        });
    }

    /// Counts a request to a server that is sent, or that a peer is allowed to send.
    pub fn record_send(&self, key: ServerKey) {
        if self.directory.borrow_mut().record_send(self.now(), key) {
            self.telemetry.cold_requests.inc();
        }
    }

    /// Counts a request to a server unless this instance's share of its limit is used up. Returns whether
    /// the request may be sent.
    pub fn try_record_send(&self, key: ServerKey) -> bool {
        self.update_cold_shares();
        let is_limited = self
            .directory
            .borrow()
            .get(key)
            .is_some_and(|record| record.cold().is_used_up(self.now()));
        if !is_limited {
            self.record_send(key);
        }
        !is_limited
    }

    /// Returns the number of servers that a request cannot be sent to because of their limits.
    pub fn limited_count(&self, service: &str, excluded: &[ServerKey]) -> usize {
        let directory = self.directory.borrow();
        let limited = directory.limited(self.now(), service);
        limited.filter(|(key, _)| !excluded.contains(key)).count()
    }

    /// Counts a request that was placed while it could not be sent to some cold servers.
    pub fn note_redirect(&self, request: &PlacementRequest<'_>) {
        if self.cold.is_active.get() && self.limited_count(request.service, request.excluded) > 0 {
            self.telemetry.cold_redirects.inc();
        }
    }

    /// Returns the servers of a service that are not cold.
    pub fn warm_servers(&self, service: &str) -> Vec<ServerKey> {
        let (now, directory) = (self.now(), self.directory.borrow());
        let warm = directory.candidates(service).filter(|(_, record)| !record.cold().is_cold(now));
        warm.map(|(key, _)| key).collect()
    }

    /// Logs that a request is refused although there are servers that are not leaving: they are cold and
    /// this instance's shares are used up.
    pub fn log_cold_refusal(&self, request: &str, service: &str, excluded: &[ServerKey]) {
        let count = self.limited_count(service, excluded);
        if count > 0 {
            self.telemetry.cold_refusals.inc();
            event(EventKind::ColdLimitRefused, &[&request, &service, &count]);
        }
    }

    /// Records the cold time that the entry of a server states, which may have been written up to
    /// `lateness` ago. Returns whether peers have to be told.
    pub fn note_cold_entry(
        &self,
        id: &str,
        stated: &Result<Duration, String>,
        lateness: Duration,
    ) -> bool {
        let directory = self.directory.borrow();
        let Some((key, record)) = directory.find_key(id) else { return false };
        let label = format!("{id}/{}", record.entry.born_millis);
        let (remaining, source) = match stated {
            Ok(remaining) => {
                self.cold.logged.borrow_mut().swap_remove(&label);
                (*remaining, ColdSource::Store)
            },
            Err(reason) => {
                if self.cold.is_first(label) {
                    log::warn!(
                        "cold time of server {id}: {reason}; the last valid one stays in effect"
                    );
                }
                if record.cold().has_stated() {
                    return false;
                }
                // The entry of this start has stated none yet.
                (self.start_left(record), ColdSource::Start)
            },
        };
        drop(directory);
        self.extend_cold(key, remaining, lateness, source)
    }

    /// Returns the rest of the time for which a server is cold after it was first seen.
    fn start_left(&self, record: &ServerRecord) -> Duration {
        let config = self.config();
        let policy = config.as_ref().and_then(|it| it.config.service(&record.entry.service));
        let start = policy.map_or(Duration::ZERO, |policy| policy.cold.start);
        start.saturating_sub(self.now().since(record.seen_at))
    }

    /// Records the cold time that a server states in an answer about itself.
    pub fn note_cold_answer(&self, key: ServerKey, answer: &HeaderMap) {
        let remaining = match stated_cold_time(answer) {
            Ok(Some(remaining)) => remaining,
            Ok(None) => return,
            Err(reason) => {
                let directory = self.directory.borrow();
                let id = directory.get(key).map_or("", |record| &record.entry.id);
                if self.cold.is_first(format!("{id} {reason}")) {
                    event(EventKind::ReportRefused, &[&id, &reason]);
                }
                return;
            },
        };
        if self.extend_cold(key, remaining, Duration::ZERO, ColdSource::Server) {
            let report = self.directory.borrow().get(key).map(|record| self.cold_report(record));
            self.cold.reports.borrow_mut().extend(report);
            self.digest_wanted.notify_one();
        }
    }

    /// Takes what servers said themselves since the last call.
    pub fn take_cold_reports(&self) -> Vec<ColdReport> {
        std::mem::take(&mut self.cold.reports.borrow_mut())
    }

    /// Applies what a peer knows of cold servers. `changed_at` is the store revision of the changes that
    /// the reports came with. Returns the reports that were news.
    pub fn apply_cold_reports(
        &self,
        reports: &[ColdReport],
        changed_at: Option<u64>,
    ) -> Vec<ColdReport> {
        if reports.is_empty() {
            return Vec::new();
        }
        // A whole zone may turn cold at once; the hashes are computed once for all reports.
        let starts = self.start_keys();
        let mut news = Vec::new();
        for report in reports {
            let Some(&key) = starts.get(&report.server) else { continue };
            let remaining = Duration::from_millis(report.remaining_ms.into());
            if !self.extend_cold(key, remaining, Duration::ZERO, ColdSource::Peer) {
                continue;
            }
            news.push(*report);
            if let (Some(changed_at), Some(record)) = (changed_at, self.directory.borrow().get(key))
            {
                // A later change of the entry has been recorded if this is refused.
                let _ = self.store.view_mut().entries_mut().touch(&record.entry.id, changed_at);
            }
        }
        news
    }

    /// Returns the remaining cold times of all servers with a limit.
    pub fn cold_reports(&self) -> Vec<ColdReport> {
        let directory = self.directory.borrow();
        let records = directory.iter().map(|(_, record)| record);
        records.filter(|record| self.is_reported(record)).map(|it| self.cold_report(it)).collect()
    }

    /// Returns the remaining cold time of a server; `None` if it is not cold or has no limit.
    pub fn cold_report_of(&self, id: &str) -> Option<ColdReport> {
        let directory = self.directory.borrow();
        let record = directory.find(id).filter(|record| self.is_reported(record))?;
        Some(self.cold_report(record))
    }

    fn is_reported(&self, record: &ServerRecord) -> bool {
        !record.cold().remaining(self.now()).is_zero()
            && self.cold_limit(&record.entry.service).is_some()
    }

    fn cold_report(&self, record: &ServerRecord) -> ColdReport {
        let remaining = record.cold().remaining(self.now());
        let remaining_ms = remaining.as_millis().min(u32::MAX.into()) as u32;
        ColdReport { server: start_hash(&record.entry), remaining_ms }
    }

    /// Records that a server stays cold. Returns whether peers have to be told, which is never the case
    /// for services without a limit.
    fn extend_cold(
        &self,
        key: ServerKey,
        remaining: Duration,
        lateness: Duration,
        source: ColdSource,
    ) -> bool {
        let now = self.now();
        let is_news = self.directory.borrow_mut().extend_cold(now, key, remaining, lateness);
        let directory = self.directory.borrow();
        let Some(record) = directory.get(key).filter(|_| is_news) else { return false };
        if self.cold_limit(&record.entry.service).is_none() {
            return false;
        }
        self.cold.share_at.set(Timestamp::default());
        let id = &record.entry.id;
        event(EventKind::ServerCold, &[id, &remaining.as_millis(), &source.name()]);
        true
    }
}
