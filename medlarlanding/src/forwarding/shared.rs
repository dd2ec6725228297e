//! State that the tasks of one process share; all tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::answer_lengths::AnswerLengths;
use super::cold_limit::ColdLimitState;
use super::evacuations::{EvacuationState, zone_regions};
use super::ledger::LedgerState;
use super::peer_cut::PeerCut;
use super::placing::PlacementState;
use super::server_pace::PaceState;
use super::speeds::SpeedState;
use super::store_history::StoreState;
use super::telemetry::Telemetry;
use super::zone_link::ZoneState;
use crate::answer_buffer::AnswerMemory;
use crate::clock::ProcessClock;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    BudgetParams, ChangeSource, ForwardConfig, MoveParams, PeerTable, Readiness, RepeatBudget,
    RepeatPurpose, RequiredPart, RetentionParams, ServerDirectory,
};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::LedgerNews;
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::config::decode_config;
use medlarlanding_platform::settings::PlatformSettings;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc, watch};

/// Configuration in force, with its text, which peers fetch.
#[derive(Clone)]
pub struct ConfigInForce {
    /// The decoded configuration.
    pub config: Rc<ForwardConfig>,
    /// The text from which `config` was decoded.
    pub text: Rc<Vec<u8>>,
}

/// State of one process of the forwarding role.
pub struct ForwardState {
    /// Settings of the process.
    pub settings: PlatformSettings,
    /// Start time of the process in Unix milliseconds; identifies the process to peers.
    pub boot: u64,
    /// Counters and histograms.
    pub telemetry: Telemetry,
    /// When requests that still have no answer are answered because the process ends; `None` until it
    /// is told to stop.
    stop_at: watch::Sender<Option<Timestamp>>,
    /// Open connections of callers. While the process stops, each closes after its last answer has
    /// been written.
    open_connections: Rc<Cell<usize>>,
    /// Connections of callers accepted so far.
    accepted_connections: Cell<u64>,
    /// Bytes of the buffers of request bodies that are read or held.
    pub body_bytes: Cell<u64>,
    /// Times that answers of plain services took.
    pub(super) answer_lengths: AnswerLengths,
    /// Memory of answers that callers read slowly.
    pub answer_memory: Arc<AnswerMemory>,
    /// Servers with their load and health.
    pub directory: RefCell<ServerDirectory>,
    /// Peers known to this instance.
    pub peers: RefCell<PeerTable>,
    /// What is known of the store, all of one history.
    pub(super) store: StoreState,
    /// Parameters of moves.
    pub move_params: MoveParams,
    clock: ProcessClock,
    /// What this process has received since its start.
    pub(super) readiness: RefCell<Readiness>,
    config: RefCell<Option<ConfigInForce>>,
    /// Budgets for the repeats of this instance, by service.
    budgets: RefCell<IndexMap<Arc<str>, RepeatBudget>>,
    /// Peers that this instance is cut off from in a drill.
    pub peer_cut: PeerCut,
    /// Limits for cold servers.
    pub cold: ColdLimitState,
    /// State of the placement.
    pub placing: PlacementState,
    /// Slow start of servers.
    pub pacing: PaceState,
    /// Runs that the ends of engines broke off.
    pub ledger: LedgerState,
    /// Evacuated zones.
    pub(super) evacuation: EvacuationState,
    /// State of the distribution within the availability zone.
    pub zone: ZoneState,
    /// Speeds of servers.
    pub(super) speeds: SpeedState,
    /// This instance watches the store and its last call was answered.
    pub reaches_store: Cell<bool>,
    /// A fetch from a peer is in progress.
    pub is_fetching: Cell<bool>,
    /// No fetch starts before this time.
    pub fetch_after: Cell<Timestamp>,
    /// Notifies the task that sends digests of a change that peers should learn without delay.
    pub digest_wanted: Notify,
    /// Notifies the task that probes engines that the store no longer answers.
    pub store_lost: Notify,
    random: RefCell<SmallRng>,
    pub(super) directory_changes: watch::Sender<u64>,
}

/// Shared handle to the state.
pub type SharedState = Rc<ForwardState>;

impl ForwardState {
    /// Creates the state of a process that has no configuration and knows no servers.
    pub fn new(
        settings: PlatformSettings,
        boot: u64,
        telemetry: Telemetry,
        peers: PeerTable,
        ledger_news: mpsc::UnboundedSender<LedgerNews>,
    ) -> Self {
        let seed = stable_hash(settings.instance.as_bytes()) ^ boot;
        let clock = ProcessClock::start();
        let mut directory = ServerDirectory::default();
        directory.set_zone_regions(zone_regions(&settings));
        let answer_memory = AnswerMemory::new(settings.memory_bytes);
        let state = Self {
            answer_memory,
            store: StoreState::new(RetentionParams::for_reports(settings.report_interval)),
            settings,
            boot,
            telemetry,
            stop_at: watch::Sender::new(None),
            open_connections: Rc::default(),
            accepted_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            answer_lengths: AnswerLengths::default(),
            directory: RefCell::new(directory),
            peers: RefCell::new(peers),
            move_params: MoveParams::default(),
            peer_cut: PeerCut::default(),
            cold: ColdLimitState::new(clock.now()),
            readiness: RefCell::default(),
            config: RefCell::default(),
            budgets: RefCell::default(),
            placing: PlacementState::default(),
            pacing: PaceState::default(),
            ledger: LedgerState::new(ledger_news),
            evacuation: EvacuationState::new(clock.now()),
            clock,
            zone: ZoneState::default(),
            speeds: SpeedState::default(),
            reaches_store: Cell::new(false),
            is_fetching: Cell::new(false),
            fetch_after: Cell::new(Timestamp::default()),
            digest_wanted: Notify::new(),
            store_lost: Notify::new(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            directory_changes: watch::Sender::new(0),
        };
        state.apply_cold_settings(&state.settings);
        state
    }

    /// Cuts the process off from peers, for a drill.
    pub fn with_cut(self, peer_cut: PeerCut) -> Self {
        Self { peer_cut, ..self }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
    }

    /// Returns the time since the start of the process.
    pub fn uptime(&self) -> Duration {
        self.clock.uptime()
    }

    /// Records that the process was told to stop and answers after `left` what has no answer yet.
    pub fn begin_stop(&self, left: Duration) {
        self.stop_at.send_replace(Some(self.now() + left));
    }

    /// Returns the time until requests without an answer are answered because the process ends; `None`
    /// if it was not told to stop.
    pub fn stop_time_left(&self) -> Option<Duration> {
        self.stop_at.borrow().map(|at| at.since(self.now()))
    }

    /// Waits until the process was told to stop and `stop_time_left` is less than `needed`.
    pub async fn stop_within(&self, needed: Duration) {
        let mut stop_at = self.stop_at.subscribe();
        // The sender lives as long as this state.
        let _ = stop_at.wait_for(Option::is_some).await;
        let left = self.stop_time_left().unwrap_or_default();
        tokio::time::sleep(left.saturating_sub(needed)).await;
    }

    /// Counts a connection of a caller until the guard is dropped.
    pub fn open_connection(&self) -> ConnectionGuard {
        self.open_connections.set(self.open_connections.get() + 1);
        self.accepted_connections.set(self.accepted_connections.get() + 1);
        ConnectionGuard(Rc::clone(&self.open_connections))
    }

    /// Returns the number of open connections of callers.
    pub fn connection_count(&self) -> usize {
        self.open_connections.get()
    }

    /// Returns the number of connections of callers accepted so far.
    pub fn accepted_count(&self) -> u64 {
        self.accepted_connections.get()
    }

    /// Returns the configuration in force.
    pub fn config(&self) -> Option<ConfigInForce> {
        self.config.borrow().clone()
    }

    /// Returns the version of the configuration in force; 0 for none.
    pub fn config_version(&self) -> u64 {
        self.config.borrow().as_ref().map_or(0, |in_force| in_force.config.version)
    }

    /// Returns a random number from 0 (inclusive) to 1 (exclusive).
    pub fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Returns a channel that is notified when the entry of a server changes or a server starts to
    /// leave.
    pub fn directory_changes(&self) -> watch::Receiver<u64> {
        self.directory_changes.subscribe()
    }

    /// Decodes a configuration and puts it in force if its version is higher than that of the one in
    /// force. Logs a configuration that cannot be decoded.
    pub fn offer_config(&self, text: &[u8], source: ChangeSource) {
        let mut config = match decode_config(text) {
            Ok(config) => config,
            Err(error) => {
                let version = self.config_version();
                event(EventKind::ForwardConfigRefused, &[&version, &source.name(), &error]);
                return;
            },
        };
        self.readiness.borrow_mut().record(self.now(), RequiredPart::Config, source);
        if config.version <= self.config_version() {
            return;
        }
        let last = self.config();
        for invalid in config.keep_last(last.as_ref().map(|last| &*last.config)) {
            log::warn!(
                "configuration {}, service {}: {}; the last valid value stays in effect",
                config.version,
                invalid.service,
                invalid.reason
            );
        }
        let (version, routes) = (config.version, config.route_count());
        event(EventKind::ForwardConfigAccepted, &[&version, &source.name(), &routes]);
        self.telemetry.config_version.set(version as i64);
        self.digest_wanted.notify_one();
        let in_force = ConfigInForce { config: Rc::new(config), text: Rc::new(text.to_vec()) };
        if let Some(replaced) = self.config.borrow_mut().replace(in_force) {
            let text = Rc::unwrap_or_clone(replaced.text);
            self.zone.config_history.borrow_mut().push(replaced.config.version, text);
        }
    }

    /// Returns whether callers may be sent to this instance: it knows the configuration and the
    /// servers, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let (now, draw) = (self.now(), self.draw());
        let peers = self.peers.borrow();
        let known = self.store.view().entries_position();
        let is_behind = peers.newest_config_version(now) > self.config_version()
            || peers.peer_with_newer_servers(now, known, draw).is_some()
            || self.lacks_evacuations(now);
        self.stop_time_left().is_none() && self.readiness.borrow_mut().is_ready(now, is_behind)
    }

    /// Counts a request to a service, on which the budget for repeats depends.
    pub fn record_request(&self, service: &Arc<str>) {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Arc::clone(service)).or_default();
        budget.record_request(self.now(), &self.budget_params());
    }

    /// Counts one repeat and returns true if the budget of the service allows it.
    pub fn try_repeat(&self, service: &Arc<str>, purpose: RepeatPurpose) -> bool {
        let instances = self.peers.borrow().instance_count();
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(Arc::clone(service)).or_default();
        budget.try_repeat(self.now(), &self.budget_params(), purpose, instances)
    }

    pub(super) fn budget_params(&self) -> BudgetParams {
        BudgetParams {
            ratio: self.settings.repeat_ratio,
            window: self.settings.repeat_window,
            slack: self.settings.repeat_slack,
        }
    }
}

/// Counts one connection of a caller until it is dropped.
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}
