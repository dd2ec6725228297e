//! State that the tasks of one process share; all tasks run on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::telemetry::Telemetry;
use crate::clock::ProcessClock;
use crate::logging::event;
use medlarlanding_core::events::EventKind;
use medlarlanding_core::forwarding::{
    BudgetParams, ChangeSource, DRAIN_FALLBACK_DIVISOR, DirectoryChange, EngineFault, EntryLog,
    FaultLog, ForwardConfig, LoadReport, MoveParams, PeerTable, PlaceAnswer, PlacePurpose,
    PlaceQuestion, PlaceVerdict, PlacementChoice, PlacementPolicy, PlacementRequest, Readiness,
    RemoteLoad, RepeatBudget, RepeatPurpose, RequiredPart, RunKey, RunWeight, ServerDirectory,
    ServerEntry, ServerKey, ServerPhase, ServerRecord, WaitingClass, WaitingRuns,
};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::{
    BlockedPart, CrashKey, CrashLedger, LedgerNews, PartId, PromptParts, RunPhase,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_platform::config::decode_config;
use medlarlanding_platform::headers::{announces_leaving, requested_hold};
use medlarlanding_platform::settings::PlatformSettings;

use hyper::{HeaderMap, StatusCode};
use indexmap::{IndexMap, IndexSet};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{Notify, mpsc, watch};

/// Result of placing a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Placement {
    /// On this server.
    Server(ServerKey),
    /// Not placed: no engine has room for it. The number of waiting runs that are served before
    /// this one, or 0 while it must not be refused for its position.
    Full(u16),
    /// Not placed: no server accepts it, or the budget for moves is used up.
    Nowhere,
}

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
    /// Servers with their load and health.
    pub directory: RefCell<ServerDirectory>,
    /// Peers known to this instance.
    pub peers: RefCell<PeerTable>,
    /// Server entries of the store with the revisions of their changes.
    pub entries: RefCell<EntryLog>,
    /// Parameters of moves.
    pub move_params: MoveParams,
    clock: ProcessClock,
    /// What this process has received since its start.
    readiness: RefCell<Readiness>,
    config: RefCell<Option<ConfigInForce>>,
    /// Budgets for the repeats of this instance, by service.
    budgets: RefCell<IndexMap<Arc<str>, RepeatBudget>>,
    /// Budgets for the moves of all instances, by service; used while this instance is the
    /// coordinator.
    move_budgets: RefCell<IndexMap<Arc<str>, RepeatBudget>>,
    /// Generations of all instances that wait for room, by service; used while this instance is the
    /// coordinator.
    waiting: RefCell<IndexMap<Arc<str>, WaitingRuns>>,
    /// Engine faults that all instances reported; used while this instance is the coordinator.
    faults: RefCell<FaultLog>,
    /// Runs that the ends of engines broke off, as all instances reported them.
    ledger: RefCell<CrashLedger>,
    /// Parts of prompts that were blocked when the ledger last changed.
    blocked_parts: RefCell<IndexSet<PartId>>,
    /// Notified when a part is blocked.
    block_changes: watch::Sender<u64>,
    /// Entries of the ledger that are to be sent to peers.
    ledger_news: mpsc::UnboundedSender<LedgerNews>,
    /// This instance watches the store and its last call was answered.
    pub reaches_store: Cell<bool>,
    /// A fetch from a peer is in progress.
    pub is_fetching: Cell<bool>,
    /// No fetch starts before this time.
    pub fetch_after: Cell<Timestamp>,
    /// Highest number of a grant from the current coordinator; 0 if there is none.
    pub granted: Cell<u64>,
    /// Notifies the task that sends digests of a change that peers should learn without delay.
    pub digest_wanted: Notify,
    /// Notifies the task that probes engines that the store no longer answers.
    pub store_lost: Notify,
    placement: PlacementPolicy,
    random: RefCell<SmallRng>,
    directory_changes: watch::Sender<u64>,
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
        Self {
            settings,
            boot,
            telemetry,
            stop_at: watch::Sender::new(None),
            open_connections: Rc::default(),
            accepted_connections: Cell::new(0),
            body_bytes: Cell::new(0),
            directory: RefCell::default(),
            peers: RefCell::new(peers),
            entries: RefCell::default(),
            move_params: MoveParams::default(),
            clock: ProcessClock::start(),
            readiness: RefCell::default(),
            config: RefCell::default(),
            budgets: RefCell::default(),
            move_budgets: RefCell::default(),
            waiting: RefCell::default(),
            faults: RefCell::default(),
            ledger: RefCell::default(),
            blocked_parts: RefCell::default(),
            block_changes: watch::Sender::new(0),
            ledger_news,
            reaches_store: Cell::new(false),
            is_fetching: Cell::new(false),
            fetch_after: Cell::new(Timestamp::default()),
            granted: Cell::new(0),
            digest_wanted: Notify::new(),
            store_lost: Notify::new(),
            placement: PlacementPolicy::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            directory_changes: watch::Sender::new(0),
        }
    }

    /// Returns the current time.
    pub fn now(&self) -> Timestamp {
        self.clock.now()
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
        let config = match decode_config(text) {
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
        let (version, routes) = (config.version, config.route_count());
        event(EventKind::ForwardConfigAccepted, &[&version, &source.name(), &routes]);
        self.telemetry.config_version.set(version as i64);
        self.digest_wanted.notify_one();
        let in_force = ConfigInForce { config: Rc::new(config), text: Rc::new(text.to_vec()) };
        *self.config.borrow_mut() = Some(in_force);
    }

    /// Applies a change of one server entry. Returns whether the entry differs from the known one.
    pub fn change_server(
        &self,
        change: DirectoryChange,
        changed_at: u64,
        source: ChangeSource,
    ) -> bool {
        let is_current = self.entries.borrow_mut().record(change.clone(), changed_at);
        if !is_current || !self.has_new_content(&change) {
            return false;
        }
        let id = Arc::clone(change.id());
        let written = match &change {
            DirectoryChange::Written(entry) => match entry.phase {
                ServerPhase::Ready => "ready",
                ServerPhase::Draining => "draining",
            },
            DirectoryChange::Removed(_) => "removed",
        };
        let now = self.now();
        let applied = self.directory.borrow_mut().apply(now, change);
        if let Some((key, _)) = applied {
            let directory = self.directory.borrow();
            let service = directory.get(key).map_or("", |record| &record.entry.service);
            event(EventKind::ServerChanged, &[&id, &service, &written, &source.name()]);
        }
        self.directory_changes.send_modify(|count| *count += 1);
        true
    }

    /// Returns whether a change differs from the known entry. Servers also rewrite their entries when
    /// only values changed that are not used here.
    fn has_new_content(&self, change: &DirectoryChange) -> bool {
        let directory = self.directory.borrow();
        match change {
            DirectoryChange::Written(entry) => directory
                .find(&entry.id)
                .is_none_or(|record| record.is_removed || record.entry != *entry),
            DirectoryChange::Removed(id) => {
                directory.find(id).is_some_and(|record| !record.is_removed)
            },
        }
    }

    /// Records that a server reported that it is leaving. Returns false if this was known.
    pub fn mark_leaving(&self, key: ServerKey) -> bool {
        let is_new = self.directory.borrow_mut().mark_leaving(self.now(), key);
        if is_new {
            if let Some(record) = self.directory.borrow().get(key) {
                let (id, service) = (&record.entry.id, &record.entry.service);
                event(EventKind::ServerChanged, &[id, service, &"leaving", &"server"]);
            }
            self.directory_changes.send_modify(|count| *count += 1);
        }
        is_new
    }

    /// Records what a server says of itself in the head of an answer to a request: that it leaves, or
    /// that it wants no requests from this instance for a while. Returns whether it is news that the
    /// server leaves.
    pub fn note_answer(
        &self,
        key: ServerKey,
        request: &str,
        status: StatusCode,
        answer: &HeaderMap,
    ) -> bool {
        if let Some(hold) = requested_hold(status, answer) {
            self.directory.borrow_mut().hold(key, self.now() + hold);
            self.telemetry.server_holds.inc();
            if let Some(record) = self.directory.borrow().get(key) {
                event(EventKind::ServerHold, &[&request, &record.entry.id, &hold.as_millis()]);
            }
        }
        announces_leaving(answer) && self.mark_leaving(key)
    }

    /// Returns the time until a request may be sent to a server that was chosen for it; zero if it may
    /// be sent now, and `Duration::MAX` if the server leaves for too long.
    pub fn send_delay(&self, key: ServerKey, arrived_at: Timestamp) -> Duration {
        let directory = self.directory.borrow();
        let Some(record) = directory.get(key) else { return Duration::MAX };
        let limit = self.settings.drain_limit / DRAIN_FALLBACK_DIVISOR;
        let is_late = record.leaving_since.is_some_and(|since| arrived_at > since + limit);
        if is_late { Duration::MAX } else { record.hold_left(self.now()) }
    }

    /// Adds the servers of a service that want no requests from this instance to those that a request
    /// must not be sent to.
    pub fn with_held(&self, service: &str, excluded: &[ServerKey]) -> Vec<ServerKey> {
        let directory = self.directory.borrow();
        let held = directory.held(self.now(), service).map(|(key, _)| key);
        excluded.iter().copied().chain(held.filter(|key| !excluded.contains(key))).collect()
    }

    /// Returns the time until a server of a service takes requests from this instance again, if all of
    /// them want none.
    pub fn shortest_hold(&self, service: &str) -> Option<Duration> {
        self.directory.borrow().shortest_hold(self.now(), service)
    }

    /// Returns the model engines that are not known to be leaving.
    pub fn engines(&self) -> Vec<(ServerKey, SocketAddr)> {
        let Some(ConfigInForce { config, .. }) = self.config() else { return Vec::new() };
        let directory = self.directory.borrow();
        let policies = config.engine_services();
        policies
            .flat_map(|(policy, _)| directory.candidates(&policy.name))
            .map(|(key, record)| (key, record.entry.address))
            .collect()
    }

    /// Replaces all server entries by a snapshot at a store revision.
    pub fn replace_servers(
        &self,
        revision: u64,
        changes: Vec<DirectoryChange>,
        source: ChangeSource,
    ) {
        let present: IndexSet<Arc<str>> =
            changes.iter().map(|change| Arc::clone(change.id())).collect();
        let known: Vec<Arc<str>> = self.entries.borrow().ids().cloned().collect();
        for id in known.into_iter().filter(|id| !present.contains(id)) {
            self.change_server(DirectoryChange::Removed(id), revision, source);
        }
        for change in changes {
            self.change_server(change, revision, source);
        }
        if self.entries.borrow().revision() == 0 {
            // Peers that start at the same time wait for the list.
            self.digest_wanted.notify_one();
        }
        self.entries.borrow_mut().advance_with_changes(revision);
        self.readiness.borrow_mut().record(self.now(), RequiredPart::Servers, source);
    }

    /// Returns whether callers may be sent to this instance: it knows the configuration and the
    /// servers, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let (now, draw) = (self.now(), self.draw());
        let peers = self.peers.borrow();
        let servers_revision = self.entries.borrow().revision();
        let is_behind = peers.peer_with_newer_config(now, self.config_version(), draw).is_some()
            || peers.peer_with_newer_servers(now, servers_revision, draw).is_some();
        self.stop_time_left().is_none() && self.readiness.borrow_mut().is_ready(now, is_behind)
    }

    /// Chooses a server without asking the coordinator, and without counting the choice in a budget
    /// or queue.
    pub fn place(&self, purpose: PlacePurpose, request: &PlacementRequest<'_>) -> Placement {
        match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => match self.choose(request) {
                Some(PlacementChoice { servers_with_room: 0, .. }) => Placement::Full(0),
                Some(choice) => Placement::Server(choice.key),
                None => Placement::Nowhere,
            },
            PlacePurpose::Move | PlacePurpose::MoveAgain => self.choose_destination(request),
        }
    }

    fn choose(&self, request: &PlacementRequest<'_>) -> Option<PlacementChoice> {
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        let remote = |record: &ServerRecord| remote_load(&peers, now, record);
        self.placement.choose(now, &directory, request, remote, || self.draw())
    }

    fn choose_destination(&self, request: &PlacementRequest<'_>) -> Placement {
        let (now, peers, directory) = (self.now(), self.peers.borrow(), self.directory.borrow());
        let remote = |record: &ServerRecord| remote_load(&peers, now, record);
        self.placement
            .choose_destination(now, &directory, request, remote, || self.draw())
            .map_or(Placement::Nowhere, Placement::Server)
    }

    /// Counts a fault of an engine that any instance reported, and avoids the engine if its faults
    /// have reached the limit. `engine` is the hash of its id. Used while this instance is the
    /// coordinator.
    pub fn record_fault(&self, engine: u64, fault: EngineFault) {
        let now = self.now();
        let Some(period) = self.faults.borrow_mut().record(now, engine, fault) else { return };
        let Some(key) = self.find_server(engine) else { return };
        let mut directory = self.directory.borrow_mut();
        directory.avoid(key, now + period);
        if let Some(record) = directory.get(key) {
            let reason = format!("reported, avoided for {} ms", period.as_millis());
            event(EventKind::ServerSuspected, &[&record.entry.id, &reason]);
        }
    }

    /// Returns the part of a prompt on which engines ended, if requests with it are refused.
    pub fn check_prompt(&self, parts: &PromptParts) -> Option<BlockedPart> {
        self.ledger.borrow().check(self.now(), parts)
    }

    /// Waits until requests with this prompt are refused.
    pub async fn wait_for_block(&self, parts: &PromptParts) {
        let mut changes = self.block_changes.subscribe();
        // The sender lives as long as this state.
        let _ = changes.wait_for(|_| self.check_prompt(parts).is_some()).await;
    }

    /// Records a run that the end of its engine broke off, and tells the peers.
    pub fn record_broken_run(
        &self,
        entry: &ServerEntry,
        request: &str,
        phase: RunPhase,
        parts: &PromptParts,
    ) {
        let (server, run) = (start_hash(entry), stable_hash(request.as_bytes()));
        let key = CrashKey { server, run };
        let news = self.ledger.borrow_mut().record_crash(self.now(), key, phase, parts.clone());
        self.apply_ledger_change(news);
    }

    /// Records that a run which began at `begun_at` survived the parts of its prompt, and tells the
    /// peers if any of them is suspected.
    pub fn record_survival(&self, begun_at: Timestamp, parts: &PromptParts) {
        let news = self.ledger.borrow_mut().record_survival(self.now(), begun_at, parts);
        self.apply_ledger_change(news);
    }

    /// Adds the entries of a peer's ledger. What the coordinator may not know is told to the peers.
    pub fn merge_ledger(&self, source: SocketAddr, received: LedgerNews) {
        let merged = self.ledger.borrow_mut().merge(self.now(), received);
        if !merged.received.is_empty() {
            self.update_blocked_parts();
        }
        let is_from_coordinator = self.peers.borrow().coordinator(self.now()) == Some(source);
        let news = if is_from_coordinator { merged.own } else { merged.into_all() };
        self.apply_ledger_change(news);
    }

    /// Returns all entries of the ledger and its fingerprint.
    pub fn ledger_snapshot(&self) -> (LedgerNews, u64) {
        let ledger = self.ledger.borrow();
        (ledger.snapshot(self.now()), ledger.fingerprint())
    }

    /// Returns the fingerprint of the ledger; `None` if it is empty.
    pub fn ledger_fingerprint(&self) -> Option<u64> {
        let ledger = self.ledger.borrow();
        (!ledger.is_empty()).then(|| ledger.fingerprint())
    }

    fn apply_ledger_change(&self, news: LedgerNews) {
        if news.is_empty() {
            return;
        }
        self.update_blocked_parts();
        // Sending fails only while the process ends.
        let _ = self.ledger_news.send(news);
    }

    /// Logs which parts were blocked or released since the last call.
    pub fn update_blocked_parts(&self) {
        let blocked = self.ledger.borrow().blocked(self.now());
        let current: IndexSet<PartId> = blocked.iter().map(|rule| rule.part).collect();
        let known = self.blocked_parts.replace(current.clone());
        for rule in blocked.iter().filter(|rule| !known.contains(&rule.part)) {
            event(EventKind::PartBlocked, &[&rule.part, &rule.ends, &rule.remaining.as_secs()]);
        }
        for part in known.difference(&current) {
            event(EventKind::PartReleased, &[part]);
        }
        self.telemetry.blocked_parts.set(current.len() as i64);
        if current.difference(&known).next().is_some() {
            self.block_changes.send_modify(|count| *count += 1);
        }
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
                zone: &question.zone,
                due: (question.due_ms > 0).then(|| Duration::from_millis(question.due_ms.into())),
                is_urgent: question.priority == 0,
                drain_limit: self.settings.drain_limit,
            },
        );
        let waiting = match question.purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => question.prompt,
            PlacePurpose::Move | PlacePurpose::MoveAgain => 0,
        };
        let (verdict, grant) = match placement {
            Placement::Server(key) => match self.hash_of(key) {
                Some(server) => {
                    let mut peers = self.peers.borrow_mut();
                    let grant = peers.grant(self.now(), peer, server, weight, waiting);
                    (PlaceVerdict::Server(server), grant)
                },
                None => (PlaceVerdict::Nowhere, 0),
            },
            Placement::Full(ahead) => (PlaceVerdict::Full(ahead), 0),
            Placement::Nowhere => (PlaceVerdict::Nowhere, 0),
        };
        PlaceAnswer { number: question.number, verdict, grant }
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
        let (now, params) = (self.now(), self.budget_params());
        let placement = match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => {
                self.place_new_run(key, service, request)
            },
            PlacePurpose::Move | PlacePurpose::MoveAgain => self.choose_destination(request),
        };
        if !matches!(placement, Placement::Server(_)) {
            return placement;
        }
        let mut budgets = self.move_budgets.borrow_mut();
        let budget = budgets.entry(Arc::clone(service)).or_default();
        match purpose {
            PlacePurpose::Start | PlacePurpose::StartLate => budget.record_request(now, &params),
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
        let Some(choice) = self.choose(request) else { return Placement::Nowhere };
        let class = match request.due {
            None => WaitingClass::Late,
            Some(_) if request.is_urgent => WaitingClass::Urgent,
            Some(_) => WaitingClass::InTime,
        };
        let mut services = self.waiting.borrow_mut();
        let waiting = services.entry(Arc::clone(service)).or_default();
        match waiting.admit(now, key, class, request.weight, choice.servers_with_room) {
            Ok(()) => Placement::Server(choice.key),
            Err(ahead) => Placement::Full(ahead.min(usize::from(u16::MAX)) as u16),
        }
    }

    /// Returns the key of the server whose id has this hash.
    pub fn find_server(&self, hash: u64) -> Option<ServerKey> {
        let directory = self.directory.borrow();
        let found = directory
            .iter()
            .find(|(_, record)| !record.is_removed && server_hash(&record.entry.id) == hash);
        found.map(|(key, _)| key)
    }

    /// Returns the key of the server of whose current start this is the hash.
    pub fn find_start(&self, hash: u64) -> Option<ServerKey> {
        let directory = self.directory.borrow();
        directory.iter().find(|(_, record)| start_hash(&record.entry) == hash).map(|(key, _)| key)
    }

    /// Returns the hash of a server's id, which identifies the server in messages between instances.
    pub fn hash_of(&self, key: ServerKey) -> Option<u64> {
        Some(server_hash(&self.directory.borrow().get(key)?.entry.id))
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

    fn budget_params(&self) -> BudgetParams {
        BudgetParams {
            ratio: self.settings.repeat_ratio,
            window: self.settings.repeat_window,
            slack: self.settings.repeat_slack,
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

    /// Returns the load that this instance puts on each server.
    pub fn own_loads(&self) -> Vec<LoadReport> {
        let directory = self.directory.borrow();
        let busy = directory.iter().filter(|(_, record)| record.open_requests > 0);
        busy.map(|(_, record)| LoadReport {
            server: server_hash(&record.entry.id),
            requests: record.open_requests.min(u32::from(u16::MAX)) as u16,
            tokens: record.open_tokens.min(u64::from(u32::MAX)) as u32,
            waiting_tokens: record.waiting_tokens.min(u64::from(u32::MAX)) as u32,
            growth: record.expected_growth.min(u64::from(u32::MAX)) as u32,
        })
        .collect()
    }
}

/// Counts one connection of a caller until it is dropped.
pub struct ConnectionGuard(Rc<Cell<usize>>);

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// Returns the load that peers put on a server.
fn remote_load(peers: &PeerTable, now: Timestamp, record: &ServerRecord) -> RemoteLoad {
    peers.remote_load(now, server_hash(&record.entry.id))
}

/// Returns the hash of one start of a server, which is the same on all instances.
pub fn start_hash(entry: &ServerEntry) -> u64 {
    stable_hash(format!("{}/{}", entry.id, entry.born_millis).as_bytes())
}

/// Returns the hash of a server's id, which is the same on all instances.
pub fn server_hash(id: &str) -> u64 {
    stable_hash(id.as_bytes())
}
