//! Datagrams between instances: digests, changes of server entries and placement questions.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use super::peer_fetch::fetch_if_behind;
use super::placing::Placement;
use super::servers::start_hash;
use super::shared::{ForwardState, SharedState};
use medlarlanding_core::forwarding::{
    AnswerReport, ChangeSource, DirectoryChange, EngineFault, LedgerSync, PeerDigest, PeerLag,
    PeerMessage, PlaceAnswer, PlacePurpose, PlaceQuestion, PlaceVerdict, PlacementRequest,
    RelayGroup, RelayParams, RelayedMessage, RepeatPurpose, RunKey, ServerChanges, ServerKey,
    SuspicionParams,
};
use medlarlanding_core::prompts::LedgerNews;

use indexmap::IndexMap;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, oneshot};

/// Largest datagram in bytes. A load report takes at most 30 bytes, so those of 100 busy servers
/// fit.
const DATAGRAM_LIMIT: usize = 4096;
/// Time limit for the answer to a question; a packet takes about a millisecond each way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(30);
/// Most bytes of changes in one datagram.
const CHANGES_LIMIT: usize = 1100;
/// Most servers that a question excludes, so that it fits into a datagram. The answer may name another
/// excluded one, which the asking instance replaces.
const EXCLUDED_LIMIT: usize = 200;
/// Size in bytes of an encoded entry without its strings.
const ENTRY_LENGTH: usize = 32;
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

    fn send(&self, state: &ForwardState, message: &PeerMessage, targets: &[SocketAddr]) {
        if let Some(bytes) = encode(message) {
            self.send_bytes(state, message.kind(), &bytes, targets);
        }
    }

    /// Sends a message to the relays of each group, which pass it on to the members.
    fn send_to_groups(&self, state: &ForwardState, message: &PeerMessage, groups: &[RelayGroup]) {
        let Some(bytes) = encode(message) else { return };
        for group in groups {
            if group.relays.is_empty() {
                self.send_bytes(state, message.kind(), &bytes, &group.members);
                continue;
            }
            let relayed = RelayedMessage { targets: group.members.clone(), message: bytes.clone() };
            self.send(state, &PeerMessage::Relayed(relayed), &group.relays);
        }
    }

    /// Passes a message on. Returns the message if it may be relayed.
    fn relay(&self, state: &ForwardState, relayed: &RelayedMessage) -> Option<PeerMessage> {
        let message =
            postcard::from_bytes(&relayed.message).ok().filter(PeerMessage::may_be_relayed);
        match message {
            Some(_) => self.send_bytes(state, "passed_on", &relayed.message, &relayed.targets),
            None => state.telemetry.dropped_datagrams.inc(),
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
        for target in targets {
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
        let groups = relay_groups(state);
        let mut pending = ServerChanges { after, revision: after, changes: Vec::new() };
        let mut size = 0;
        for (id, changed_at) in changed {
            let Some(change) = state.entries.borrow().change(&id) else { continue };
            let length = match &change {
                DirectoryChange::Written(entry) => {
                    ENTRY_LENGTH + id.len() + entry.service.len() + entry.zone.len()
                },
                DirectoryChange::Removed(_) => ENTRY_LENGTH + id.len(),
            };
            if size > 0 && size + length > CHANGES_LIMIT {
                let after = pending.revision;
                let next = ServerChanges { after, revision: after, changes: Vec::new() };
                let full = std::mem::replace(&mut pending, next);
                self.send_to_groups(state, &PeerMessage::Servers(full), &groups);
                size = 0;
            }
            size += length;
            pending.revision = pending.revision.max(changed_at);
            pending.changes.push(change);
        }
        pending.revision = pending.revision.max(revision);
        self.send_to_groups(state, &PeerMessage::Servers(pending), &groups);
    }

    /// Reports that a server said itself that it is leaving: to the coordinator, which tells all peers.
    pub fn report_leaving(&self, state: &ForwardState, key: ServerKey) {
        let Some(server) = state.directory.borrow().get(key).map(|it| start_hash(&it.entry)) else {
            return;
        };
        match state.peers.borrow().coordinator(state.now()) {
            Some(coordinator) => {
                self.send(state, &PeerMessage::Leaving(vec![server]), &[coordinator]);
            },
            None => self.send_leaving(state, vec![server]),
        }
    }

    /// Reports to all peers which servers are leaving. `servers` are the hashes of their starts.
    pub fn send_leaving(&self, state: &ForwardState, servers: Vec<u64>) {
        self.send_to_groups(state, &PeerMessage::Leaving(servers), &relay_groups(state));
    }

    /// Avoids an engine that has ended, here and at the coordinator.
    pub fn report_end(&self, state: &ForwardState, key: ServerKey) {
        let until = state.now() + SuspicionParams::default().avoid_ended;
        state.directory.borrow_mut().avoid(key, until);
        self.report_fault(state, key, EngineFault::Ended);
    }

    /// Reports a fault of an engine to the coordinator.
    pub fn report_fault(&self, state: &ForwardState, key: ServerKey, fault: EngineFault) {
        let Some(engine) = state.hash_of(key) else { return };
        let coordinator = state.peers.borrow().coordinator(state.now());
        match coordinator {
            Some(coordinator) => {
                let message = match fault {
                    EngineFault::Failed => PeerMessage::Fault(engine),
                    EngineFault::Unresponsive => PeerMessage::Unresponsive(engine),
                    EngineFault::Ended => PeerMessage::Ended(engine),
                };
                self.send(state, &message, &[coordinator]);
            },
            None => state.record_fault(engine, fault),
        }
    }

    /// Reports to the coordinator how an engine in slow start answers.
    pub fn report_answer(&self, state: &ForwardState, report: AnswerReport) {
        match state.peers.borrow().coordinator(state.now()) {
            Some(coordinator) => {
                self.send(state, &PeerMessage::Answered(report), &[coordinator]);
            },
            None => state.take_answer_report(&report),
        }
    }

    /// Sends new entries of the ledger to the coordinator, or as the coordinator to all peers.
    fn send_ledger_news(&self, state: &ForwardState, news: LedgerNews) {
        let coordinator = state.peers.borrow().coordinator(state.now());
        for part in news.split() {
            let message = PeerMessage::LedgerNews(part);
            match coordinator {
                Some(coordinator) => self.send(state, &message, &[coordinator]),
                None => self.send_to_groups(state, &message, &relay_groups(state)),
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
            return state.place_as_coordinator(purpose, key, service, request);
        };
        let number = self.next_question.get();
        self.next_question.set(number + 1);
        let (sender, answer) = oneshot::channel();
        self.questions.borrow_mut().insert(number, sender);
        let question = PlaceQuestion {
            number,
            run,
            purpose,
            service: request.service.to_owned(),
            prompt: request.weight.prompt,
            output: request.weight.output,
            due_ms: request.due.map_or(0, |due| due.as_millis().min(u32::MAX.into()) as u32),
            priority: u8::from(!request.is_urgent),
            excluded: request
                .excluded
                .iter()
                .filter_map(|key| state.hash_of(*key))
                .take(EXCLUDED_LIMIT)
                .collect(),
            zone: request.zone.to_owned(),
        };
        self.send(state, &PeerMessage::Question(question), &[coordinator]);
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
                                    && state.send_delay(key, state.now()).is_zero() =>
                            {
                                if let PlaceVerdict::Ramping(_) = answer.verdict {
                                    state.report_answers_of(key);
                                }
                                Placement::Server(key)
                            },
                            // This instance and the coordinator know different servers at the moment.
                            Some(_) | None => state.place(purpose, request),
                        }
                    },
                    PlaceVerdict::Full(ahead) => Placement::Full(ahead),
                    PlaceVerdict::Nowhere => match purpose {
                        PlacePurpose::Start | PlacePurpose::StartLate => {
                            state.place(purpose, request)
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
                if may_move { state.place(purpose, request) } else { Placement::Nowhere }
            },
        }
    }
}

fn encode(message: &PeerMessage) -> Option<Vec<u8>> {
    postcard::to_stdvec(message)
        .inspect_err(|error| log::warn!("cannot encode a datagram: {error}"))
        .ok()
}

fn relay_groups(state: &ForwardState) -> Vec<RelayGroup> {
    RelayParams::default().groups(state.now(), &state.peers.borrow())
}

/// Sends digests periodically, and without delay after `digest_wanted` is notified.
pub async fn send_digests(link: Rc<PeerLink>, state: SharedState) -> anyhow::Result<()> {
    let mut sequence = 0u64;
    let mut lag = PeerLag::default();
    let mut coordinator = None;
    let mut logged_at = state.now();
    loop {
        sequence += 1;
        let now = state.now();
        let current = state.peers.borrow().coordinator(now);
        if current != coordinator {
            // Each coordinator numbers its own grants.
            state.placing.granted.set(0);
            coordinator = current;
        }
        send_digest(&link, &state, sequence);
        if current.is_none() && now.since(logged_at) >= LOAD_PERIOD {
            logged_at = now;
            state.log_fleet_load();
        }
        fetch_if_behind(&state, &mut lag);
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
        servers_revision: state.entries.borrow().changed_revision(),
        peers: state.peers.borrow().sample(now, sequence),
        granted: state.placing.granted.get(),
        loads: Vec::new(),
    };
    let addresses = |with_loads: bool| -> Vec<SocketAddr> {
        let selected = targets.iter().filter(|(_, gets_loads)| *gets_loads == with_loads);
        selected.map(|(address, _)| *address).collect()
    };
    link.send(state, &PeerMessage::Digest(digest.clone()), &addresses(false));
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
        match postcard::from_bytes::<PeerMessage>(&buffer[..length]) {
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

fn handle_message(link: &PeerLink, state: &SharedState, source: SocketAddr, message: PeerMessage) {
    match message {
        PeerMessage::Digest(digest) if digest.sender != source => {
            state.telemetry.dropped_datagrams.inc();
        },
        PeerMessage::Digest(digest) => {
            let has_started = state.peers.borrow().boot(source) != Some(digest.boot);
            state.peers.borrow_mut().receive(state.now(), digest);
            if has_started && state.ledger_fingerprint().is_some() {
                // The sender takes requests as soon as it knows the servers.
                link.send_ledger(state, source, false);
            }
            if state.entries.borrow().revision() == 0 {
                // The sender may have the list of servers, which is then fetched without delay.
                state.digest_wanted.notify_one();
            }
        },
        PeerMessage::Servers(changes) => {
            let known = state.entries.borrow().revision();
            // Older changes are known already. After a gap, the peers' digests cause a fetch.
            if changes.after > known || changes.revision <= known || known == 0 {
                return;
            }
            for change in changes.changes {
                state.change_server(change, changes.revision, ChangeSource::Peer);
            }
            state.entries.borrow_mut().advance_with_changes(changes.revision);
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
        PeerMessage::Question(question) => {
            let answer = state.answer_question(source, &question);
            link.send(state, &PeerMessage::Answer(answer), &[source]);
        },
        PeerMessage::Relayed(relayed) => {
            if let Some(message) = link.relay(state, &relayed) {
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
