//! Datagrams between instances: digests, changes of server entries and placement questions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::placing::Placement;
use super::servers::start_hash;
use super::shared::{ForwardState, SharedState};
use super::zone_link::send_zone_messages;
use medlarlanding_core::forwarding::{
    ChangeSource, ColdQuestion, DirectoryChange, EngineFault, LedgerSync, PeerDigest, PeerMessage,
    PlaceAnswer, PlacePurpose, PlaceQuestion, PlaceVerdict, PlacementRequest, RelayParams,
    RelayRoute, RelayedMessage, RepeatPurpose, RunBacklog, RunKey, ServerChanges, ServerKey,
    ZoneDuty, ZoneRelayedMessage,
};
use medlarlanding_core::prompts::LedgerNews;
use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

/// Largest datagram in bytes. A load report takes at most 30 bytes, so those of 100 busy servers
/// fit.
const DATAGRAM_LIMIT: usize = 4096;
/// Time limit for the answer to a question; a packet takes about a millisecond each way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Age of an answer after which it does not allow a request to a cold server.
const LATE_ANSWER: Duration = Duration::from_millis(60);
/// Most bytes of changes in one datagram.
const CHANGES_LIMIT: usize = 1100;
/// Most servers that a question excludes, so that it fits into a datagram. The answer may name another
/// excluded one, which the asking instance replaces.
const EXCLUDED_LIMIT: usize = 200;
/// Size in bytes of an encoded entry without its strings.
const ENTRY_LENGTH: usize = 32;
/// Size in bytes of an encoded cold time.
const COLD_LENGTH: usize = 15;
/// Pause before the coordinator is asked again for a share of a cold server.
const COLD_PAUSE: Duration = Duration::from_millis(40);
/// Interval at which the coordinator logs the load of the fleet.
const LOAD_PERIOD: Duration = Duration::from_secs(1);
/// One in so many digests is followed by the fingerprint of the ledger.
const LEDGER_STATE_PERIOD: u64 = 2;
/// Shortest pause between two digests when changes cause them.
const DIGEST_PAUSE: Duration = Duration::from_millis(20);

/// Socket for datagrams, and the questions that wait for an answer.
pub struct PeerLink {
    socket: UdpSocket,
    questions: RefCell<IndexMap<u64, oneshot::Sender<PlaceAnswer>>>,
    next_question: Cell<u64>,
}

impl PeerLink {
    /// Creates the link on a bound socket.
    pub fn new(socket: UdpSocket) -> Self {
        Self { socket, questions: RefCell::default(), next_question: Cell::new(1) }
    }

    pub(super) fn send(&self, state: &ForwardState, message: &PeerMessage, targets: &[SocketAddr]) {
        if let Some(bytes) = encode(message) {
            self.send_bytes(state, message.kind(), &bytes, targets);
        }
    }

    /// Sends a message to the relays of each group, which pass it on to the members.
    pub(super) fn send_to_groups(
        &self,
        state: &ForwardState,
        message: &PeerMessage,
        routes: &[RelayRoute],
    ) {
        let Some(bytes) = encode(message) else { return };
        for (targets, relayed) in routes.iter().flat_map(|route| route.sends(&bytes)) {
            match relayed {
                Some(relayed) => self.send(state, &relayed, &targets),
                None => self.send_bytes(state, message.kind(), &bytes, &targets),
            }
        }
    }

    /// Passes a message on. Returns the message if it may be relayed.
    fn relay(&self, state: &ForwardState, relayed: ZoneRelayedMessage) -> Option<PeerMessage> {
        let bytes = relayed.message.clone();
        let message = PeerMessage::decode(&bytes).ok().filter(PeerMessage::may_be_relayed);
        if message.is_none() {
            state.telemetry.dropped_datagrams.inc();
            return None;
        }
        for (targets, relayed) in relayed.sends() {
            match relayed {
                Some(relayed) => self.send(state, &relayed, &targets),
                None => self.send_bytes(state, "passed_on", &bytes, &targets),
            }
        }
        message
    }

    fn send_bytes(
        &self,
        state: &ForwardState,
        kind: &'static str,
        bytes: &[u8],
        targets: &[SocketAddr],
    ) {
        let sent = bytes.len() * targets.len();
        state.telemetry.control_bytes.with_label_values(&[kind, "sent"]).inc_by(sent as u64);
        state.count_zone_bytes(kind, bytes.len(), targets);
        for target in targets.iter().filter(|target| !state.peer_cut.drops(target)) {
            // An unsent datagram has the same effect as a lost one; later digests make up for it.
            if self.socket.try_send_to(bytes, *target).is_err() {
                state.telemetry.unsent_datagrams.inc();
            }
        }
    }

    /// Sends changed server entries, given with the revisions of their changes, to all peers.
    ///
    /// The first datagram begins at the revision `after`, and each further one at the revision where
    /// the last one ends, so that a receiver notices a lost one.
    pub fn send_changes(
        &self,
        state: &ForwardState,
        after: u64,
        revision: u64,
        changed: Vec<(Arc<str>, u64)>,
    ) {
        let routes = relay_routes(state);
        let era = state.store.era();
        let empty =
            |after| ServerChanges { after, revision: after, changes: vec![], cold: vec![], era };
        let mut pending = empty(after);
        let mut size = 0;
        for (id, changed_at) in changed {
            let Some(change) = state.store.view().entries().change(&id) else { continue };
            let length = match &change {
                DirectoryChange::Written(entry) => {
                    ENTRY_LENGTH + id.len() + entry.service.len() + entry.zone.len()
                },
                DirectoryChange::Removed(_) => ENTRY_LENGTH + id.len(),
            };
            if size > 0 && size + length > CHANGES_LIMIT {
                let next = empty(pending.revision);
                let full = std::mem::replace(&mut pending, next);
                self.send_to_groups(state, &PeerMessage::Servers(full), &routes);
                size = 0;
            }
            let cold = state.cold_report_of(&id);
            size += length + if cold.is_some() { COLD_LENGTH } else { 0 };
            pending.cold.extend(cold);
            pending.revision = pending.revision.max(changed_at);
            pending.changes.push(change);
        }
        pending.revision = pending.revision.max(revision);
        self.send_to_groups(state, &PeerMessage::Servers(pending), &routes);
    }

    /// Waits until a run may be resumed at a server, which takes time only if the server is cold, and
    /// counts the request. Returns the time waited; `None` if the server may not get the request within
    /// `limit`.
    pub async fn await_cold_share(
        &self,
        state: &ForwardState,
        key: ServerKey,
        limit: Duration,
    ) -> Option<Duration> {
        if state.try_record_send(key) {
            return Some(Duration::ZERO);
        }
        let started = state.now();
        loop {
            if self.ask_cold_share(state, key).await || state.try_record_send(key) {
                return Some(state.now().since(started));
            }
            if state.now().since(started) + COLD_PAUSE >= limit {
                return None;
            }
            tokio::time::sleep(COLD_PAUSE).await;
        }
    }

    /// Asks the coordinator to count a request to a cold server towards its own share.
    async fn ask_cold_share(&self, state: &ForwardState, key: ServerKey) -> bool {
        let coordinator = state.peers.borrow().coordinator(state.now());
        let server = state.directory.borrow().get(key).map(|record| start_hash(&record.entry));
        let (Some(coordinator), Some(server)) = (coordinator, server) else { return false };
        let (number, answer) = self.expect_answer();
        let question = PeerMessage::ColdQuestion(ColdQuestion { number, server });
        self.send(state, &question, &[coordinator]);
        let asked_at = state.now();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.questions.borrow_mut().swap_remove(&number);
        // A process that was paused meanwhile takes an answer that is too old.
        let is_late = state.now().since(asked_at) > LATE_ANSWER;
        matches!(answer, Ok(Ok(answer)) if answer.verdict == PlaceVerdict::Server(server))
            && !is_late
    }

    /// Returns the number of a new question and the channel on which its answer arrives.
    fn expect_answer(&self) -> (u64, oneshot::Receiver<PlaceAnswer>) {
        let number = self.next_question.get();
        self.next_question.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.questions.borrow_mut().insert(number, sender);
        (number, answer)
    }

    /// Sends new entries of the ledger to the coordinator, or as the coordinator to all peers.
    fn send_ledger_news(&self, state: &ForwardState, news: LedgerNews) {
        let coordinator = state.peers.borrow().coordinator(state.now());
        for part in news.split() {
            let message = PeerMessage::LedgerNews(part);
            match coordinator {
                Some(coordinator) => self.send(state, &message, &[coordinator]),
                None => self.send_to_groups(state, &message, &relay_routes(state)),
            }
        }
    }

    /// Sends all entries of the ledger to a peer whose ledger differs. If `is_question` is set, the peer
    /// sends its own in turn.
    fn send_ledger(&self, state: &ForwardState, peer: SocketAddr, is_question: bool) {
        let (entries, fingerprint) = state.ledger_snapshot();
        let mut parts = entries.split();
        if is_question && parts.is_empty() {
            parts.push(LedgerNews::default());
        }
        let last = parts.len().saturating_sub(1);
        for (index, news) in parts.into_iter().enumerate() {
            let answer_unless = (is_question && index == last).then_some(fingerprint);
            let sync = LedgerSync { news, answer_unless };
            self.send(state, &PeerMessage::LedgerSync(sync), &[peer]);
        }
    }

    /// Chooses a server for a generation by asking the coordinator. Chooses it locally if this
    /// instance is the coordinator, or if the coordinator does not answer.
    pub async fn place(
        &self,
        state: &SharedState,
        purpose: PlacePurpose,
        run: u64,
        service: &Arc<str>,
        request: &PlacementRequest<'_>,
    ) -> Placement {
        let coordinator = state.peers.borrow().coordinator(state.now());
        let Some(coordinator) = coordinator else {
            let key = RunKey { instance: state.settings.peers, run };
            return match state.place_as_coordinator(purpose, key, service, request) {
                // The share of the coordinator includes its own.
                Placement::Limited => Placement::Full(RunBacklog::default()),
                placement => placement,
            };
        };
        let (number, answer) = self.expect_answer();
        let question = PlaceQuestion {
            number,
            run,
            purpose,
            service: request.service.to_owned(),
            prompt: request.weight.prompt,
            output: request.weight.output,
            due_ms: request.due.map_or(0, |due| due.as_millis().min(u32::MAX.into()) as u32),
            priority: u8::from(!request.is_urgent),
            latency: request.latency,
            excluded: request
                .excluded
                .iter()
                .filter_map(|key| state.hash_of(*key))
                .take(EXCLUDED_LIMIT)
                .collect(),
            zone: request.zone.to_owned(),
            regions: request.regions.clone(),
        };
        self.send(state, &PeerMessage::Question(question), &[coordinator]);
        let asked_at = state.now();
        let answer = tokio::time::timeout(ANSWER_TIMEOUT, answer).await;
        self.questions.borrow_mut().swap_remove(&number);
        match answer {
            Ok(Ok(answer)) => {
                state.placing.granted.set(state.placing.granted.get().max(answer.grant));
                match answer.verdict {
                    PlaceVerdict::Server(hash) | PlaceVerdict::Ramping(hash) => {
                        match state.find_server(hash) {
                            Some(key)
                                if !request.excluded.contains(&key)
                                    && state
                                        .send_delay(key, state.now(), request.regions)
                                        .is_zero()
                                    && !is_outdated(state, key, asked_at) =>
                            {
                                if let Some(queue) = answer.queue {
                                    state.note_queue(key, queue);
                                }
                                if let PlaceVerdict::Ramping(_) = answer.verdict {
                                    state.report_answers_of(key);
                                }
                                Placement::Server(key)
                            },
                            // This instance and the coordinator know different servers at the moment.
                            Some(_) | None => state.place_alone(purpose, request),
                        }
                    },
                    PlaceVerdict::Full(backlog) => Placement::Full(backlog),
                    PlaceVerdict::Limited => state.place_cold(purpose, request),
                    PlaceVerdict::Nowhere => match purpose {
                        PlacePurpose::Start | PlacePurpose::StartLate => {
                            state.place_alone(purpose, request)
                        },
                        // The coordinator found no engine with room, or the budget for moves is
                        // used up.
                        PlacePurpose::Move | PlacePurpose::MoveAgain => Placement::Nowhere,
                    },
                }
            },
            Ok(Err(_)) | Err(_) => {
                state.telemetry.lost_questions.inc();
                let may_move =
                    purpose != PlacePurpose::Move || state.try_repeat(service, RepeatPurpose::Move);
                if may_move { state.place_alone(purpose, request) } else { Placement::Nowhere }
            },
        }
    }
}

/// Returns whether a server is cold and the coordinator's answer that names it is so old that the request
/// would count towards another second. That happens only to a process that was paused.
fn is_outdated(state: &ForwardState, key: ServerKey, asked_at: Timestamp) -> bool {
    let (now, directory) = (state.now(), state.directory.borrow());
    now.since(asked_at) > LATE_ANSWER
        && directory.get(key).is_some_and(|record| record.cold().is_cold(now))
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_stdvec(message)
        .inspect_err(|error| log::warn!("cannot encode a datagram: {error}"))
        .ok()
}

pub(super) fn relay_routes(state: &ForwardState) -> Vec<RelayRoute> {
    RelayParams::default().routes(state.now(), &state.peers.borrow())
}

/// Sends digests periodically, and without delay after `digest_wanted` is notified.
pub async fn send_digests(link: Rc<PeerLink>, state: SharedState) -> anyhow::Result<()> {
    let mut sequence = 0u64;
    let mut coordinator = None;
    let mut logged_at = state.now();
    loop {
        sequence += 1;
        let now = state.now();
        let current = state.peers.borrow().coordinator(now);
        if current != coordinator {
            // Each coordinator numbers its own grants.
            state.placing.granted.set(0);
            // Only the coordinator keeps room; a value from before would stay.
            state.telemetry.kept_engines.reset();
            coordinator = current;
        }
        state.peer_cut.update();
        state.settle_retained();
        state.update_cold_shares();
        link.send_cold_reports(&state, state.take_cold_reports());
        if state.update_speeds() && current.is_none() {
            link.send_paces(&state);
        }
        send_digest(&link, &state, sequence);
        if current.is_none() && now.since(logged_at) >= LOAD_PERIOD {
            logged_at = now;
            state.log_fleet_load();
            state.report_kept_room();
        }
        let wanted = async {
            tokio::time::sleep(DIGEST_PAUSE).await;
            state.digest_wanted.notified().await;
        };
        // The next digest is sent after a timeout too.
        let interval = state.peers.borrow().digest_interval();
        let _ = tokio::time::timeout(interval, wanted).await;
    }
}

/// Tells peers the fingerprint of the ledger, so that those with another one exchange entries.
fn send_ledger_state(link: &PeerLink, state: &SharedState, targets: &[(SocketAddr, bool)]) {
    state.update_blocked_parts();
    if let Some(fingerprint) = state.ledger_fingerprint() {
        let targets: Vec<SocketAddr> = targets.iter().map(|(address, _)| *address).collect();
        link.send(state, &PeerMessage::LedgerState(fingerprint), &targets);
    }
}

/// Sends new entries of the ledger to peers until the process ends.
pub async fn send_ledger_news(
    link: Rc<PeerLink>,
    state: SharedState,
    mut news: mpsc::UnboundedReceiver<LedgerNews>,
) -> anyhow::Result<()> {
    while let Some(news) = news.recv().await {
        link.send_ledger_news(&state, news);
    }
    Ok(())
}

fn send_digest(link: &PeerLink, state: &SharedState, sequence: u64) {
    let now = state.now();
    let targets = state.peers.borrow_mut().targets(now, sequence);
    let mut digest = PeerDigest {
        sender: state.settings.peers,
        boot: state.boot,
        sequence,
        strength: state.peers.borrow().strength(),
        reaches_store: state.reaches_store.get(),
        config_version: state.config_version(),
        servers_revision: state.store.view().changed_position().revision,
        evacuations: state.evacuation_fingerprint(),
        peers: state.peers.borrow().sample(now, sequence),
        granted: state.placing.granted.get(),
        loads: Vec::new(),
        fleet: state.fleet_note(),
        zone: state.peers.borrow().own_zone(),
        era: state.store.era(),
    };
    send_zone_messages(link, state, &digest);
    let route = state.zone.planner.borrow_mut().route(sequence, digest.config_version, &targets);
    let addresses = |with_loads: bool| -> Vec<SocketAddr> {
        let selected = route.direct.iter().filter(|(_, gets_loads)| *gets_loads == with_loads);
        selected.map(|(address, _)| *address).collect()
    };
    link.send(state, &PeerMessage::Digest(digest.clone()), &addresses(false));
    link.send(state, &PeerMessage::ZoneDigest(digest.clone()), &route.relays);
    digest.loads = state.own_loads();
    link.send(state, &PeerMessage::Digest(digest), &addresses(true));
    if sequence.is_multiple_of(LEDGER_STATE_PERIOD) {
        send_ledger_state(link, state, &targets);
    }
}

/// Receives and handles datagrams of peers until the process ends.
pub async fn read_datagrams(link: Rc<PeerLink>, state: SharedState) -> anyhow::Result<()> {
    let mut buffer = vec![0; DATAGRAM_LIMIT];
    loop {
        // The socket reports errors for datagrams sent earlier to a peer that does not listen; they
        // need no handling.
        let Ok((length, source)) = link.socket.recv_from(&mut buffer).await else { continue };
        if state.peer_cut.drops(&source) {
            continue;
        }
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => {
                let received = &state.telemetry.control_bytes;
                let labels = [message.kind(), "received"];
                received.with_label_values(&labels).inc_by(length as u64);
                handle_message(&link, &state, source, message);
            },
            Err(_) => state.telemetry.dropped_datagrams.inc(),
        }
    }
}

fn receive_digest(link: &PeerLink, state: &SharedState, mut digest: PeerDigest) {
    let sender = digest.sender;
    state.observe_digest(&mut digest);
    let has_started = state.peers.borrow().boot(sender) != Some(digest.boot);
    let has_newer_config = digest.config_version > state.config_version();
    let evacuations = digest.evacuations;
    let loads = digest.loads.clone();
    if state.peers.borrow_mut().receive(state.now(), digest) {
        link.compare_evacuations(state, sender, evacuations);
        state.merge_speed_reports(&loads);
    }
    if has_started && state.ledger_fingerprint().is_some() {
        // The sender takes requests as soon as it knows the servers.
        link.send_ledger(state, sender, false);
    }
    if !state.store.view().entries_position().is_known() {
        // The sender may have the list of servers, which is then fetched without delay.
        if state.directory.borrow().latest().next().is_none() {
            state.digest_wanted.notify_one();
        }
        state.zone.fetch_wanted.notify_one();
    } else if has_newer_config && state.zone_duty() != ZoneDuty::Unassigned {
        state.zone.fetch_wanted.notify_one();
    }
}

fn handle_message(link: &PeerLink, state: &SharedState, source: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::Digest(digest) | PeerMessage::ZoneDigest(digest)
            if digest.sender != source =>
        {
            state.telemetry.dropped_datagrams.inc();
        },
        PeerMessage::Digest(digest) => receive_digest(link, state, digest),
        PeerMessage::ZoneDigest(digest) => {
            let receivers = state.digest_receivers(source);
            link.send(state, &PeerMessage::PassedDigest(digest.clone()), &receivers);
            receive_digest(link, state, digest);
        },
        PeerMessage::PassedDigest(digest) => {
            let peers = state.peers.borrow();
            let is_foreign = peers.zone(source).is_apart(peers.own_zone());
            drop(peers);
            if is_foreign {
                // Relays pass on within their zone only.
                state.telemetry.dropped_datagrams.inc();
            } else {
                receive_digest(link, state, digest);
            }
        },
        PeerMessage::ZonePlan(plan) => state.receive_plan(link, source, plan),
        PeerMessage::Servers(changes) => {
            if !state.observe_history(changes.era, ChangeSource::Peer) {
                return;
            }
            // After a gap, the peers' digests cause a fetch.
            if !state.store.view().accepts_changes(changes.after, changes.revision) {
                return;
            }
            for change in changes.changes {
                state.change_server(change, changes.revision, ChangeSource::Peer);
            }
            state.apply_cold_reports(&changes.cold, Some(changes.revision));
            state.store.view_mut().entries_mut().advance_with_changes(changes.revision);
        },
        PeerMessage::Leaving(servers) => {
            let is_news =
                |hash: &u64| state.find_start(*hash).is_some_and(|key| state.mark_leaving(key));
            let news: Vec<u64> = servers.into_iter().filter(is_news).collect();
            let is_coordinator = state.peers.borrow().coordinator(state.now()).is_none();
            if is_coordinator && !news.is_empty() {
                link.send_leaving(state, news);
            }
        },
        PeerMessage::Fault(engine) => state.record_fault(engine, EngineFault::Failed),
        PeerMessage::Ended(engine) => state.record_fault(engine, EngineFault::Ended),
        PeerMessage::Answered(report) => state.take_answer_report(&report),
        PeerMessage::Unresponsive(engine) => state.record_fault(engine, EngineFault::Unresponsive),
        PeerMessage::LedgerNews(news) => state.merge_ledger(source, news),
        PeerMessage::LedgerState(fingerprint) => {
            if state.ledger_fingerprint() != Some(fingerprint) {
                link.send_ledger(state, source, true);
            }
        },
        PeerMessage::LedgerSync(sync) => {
            state.merge_ledger(source, sync.news);
            let is_answer_due = sync
                .answer_unless
                .is_some_and(|fingerprint| state.ledger_fingerprint().unwrap_or(0) != fingerprint);
            if is_answer_due {
                link.send_ledger(state, source, false);
            }
        },
        PeerMessage::Evacuations(sync) => link.receive_evacuations(state, source, &sync),
        PeerMessage::Speeds(paces) => state.note_paces(&paces),
        PeerMessage::Question(question) => {
            let answer = state.answer_question(source, &question);
            link.send(state, &PeerMessage::Answer(answer), &[source]);
        },
        PeerMessage::Cold(reports) => {
            let news = state.apply_cold_reports(&reports, None);
            if state.peers.borrow().coordinator(state.now()).is_none() {
                link.send_cold_reports(state, news);
            }
        },
        PeerMessage::ColdQuestion(question) => {
            let key = state.find_start(question.server);
            let verdict = match key.filter(|key| state.try_record_send(*key)) {
                Some(_) => PlaceVerdict::Server(question.server),
                None => PlaceVerdict::Limited,
            };
            let answer = PlaceAnswer { number: question.number, verdict, grant: 0, queue: None };
            link.send(state, &PeerMessage::Answer(answer), &[source]);
        },
        PeerMessage::Relayed(relayed) => {
            let RelayedMessage { targets, message } = relayed;
            let relayed = ZoneRelayedMessage { targets, onward: Vec::new(), message };
            if let Some(message) = link.relay(state, relayed) {
                handle_message(link, state, source, message);
            }
        },
        PeerMessage::ZoneRelayed(relayed) => {
            if let Some(message) = link.relay(state, relayed) {
                handle_message(link, state, source, message);
            }
        },
        PeerMessage::Answer(answer) => {
            let waiting = link.questions.borrow_mut().swap_remove(&answer.number);
            // The question of a late answer is no longer present; its grant expires.
            let _ = waiting.map(|waiting| waiting.send(answer));
        },
    }
}
