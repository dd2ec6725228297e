//! The state machine of the distribution subsystem.

use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use serde::Serialize;

use super::fetch::FetchState;
use super::message::{DistributionMessage, Payload, ValueBody, VersionMark};
use super::params::{DistributionParams, VersionRule};
use super::query::PeerQuery;
use super::track::{Judgement, Offer, ValueTrack};
use super::versions::{LocalVersions, Subject, VersionStatus};
use super::watch::{WatchCall, WatchState};
use super::waves::{WaveLog, watch_key};
use crate::events::EventKind;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::rendezvous;
use crate::time::Timestamp;
use crate::views::InstanceList;
use crate::wire::PeerTransport;

/// Result of one call on the platform.
#[derive(Clone, Debug)]
pub enum PlatformAnswer {
    /// The configuration text at a revision.
    Config {
        /// Revision of the value.
        revision: u64,
        /// The value.
        text: Arc<str>,
    },
    /// The instance list; its version is the revision.
    List(Arc<InstanceList>),
    /// The call failed, was refused for its rate or timed out.
    Unreachable {
        /// Reason for the log.
        reason: String,
    },
}

/// Inputs of a [`ConfigDistributor`].
#[derive(Clone, Debug)]
pub enum DistributionInput {
    /// The time of [`ConfigDistributor::next_wakeup`] has come.
    Tick,
    /// A message arrived in a frame with a valid tag.
    Message {
        /// Sender of the frame.
        from: InstanceId,
        /// The message.
        message: DistributionMessage,
    },
    /// The membership view changed.
    Peers {
        /// Every other instance with a known address.
        known: Vec<InstanceId>,
        /// Those that are live.
        live: Vec<InstanceId>,
    },
    /// A peer reported its versions; see `MembershipEffect::PeerVersions`.
    PeerVersions {
        /// The peer.
        from: InstanceId,
        /// Its versions.
        versions: VersionStatus,
        /// Time at which the answered probe was sent.
        asked: Option<Timestamp>,
    },
    /// Result of the call that an effect `Watch` started.
    Platform {
        /// What was read.
        subject: Subject,
        /// Number from the effect. Results of cancelled calls are ignored.
        call: u32,
        /// The result.
        answer: PlatformAnswer,
    },
    /// Result of an effect `Validate`. If accepted, the version is in effect.
    Verdict {
        /// The version.
        version: u64,
        /// Whether it is in effect.
        accepted: bool,
    },
    /// A message on a stream could not be delivered.
    Unreached {
        /// The receiver.
        peer: InstanceId,
    },
    /// The own process was paused.
    Woke,
}

/// Effects that the caller of a [`ConfigDistributor`] performs.
#[derive(Clone, Debug)]
pub enum DistributionEffect {
    /// Send a message.
    Send {
        /// Receiver.
        to: InstanceId,
        /// Transport.
        transport: PeerTransport,
        /// The message.
        message: DistributionMessage,
    },
    /// Start a call on the platform; its result comes as `DistributionInput::Platform`. At most
    /// one call per subject is pending.
    Watch {
        /// What to read.
        subject: Subject,
        /// Number of the call, returned with its result.
        call: u32,
        /// The call waits for a revision above this one. 0 returns at once.
        after: u64,
        /// Longest wait.
        wait: Duration,
    },
    /// Cancel the pending call.
    StopWatch {
        /// What the call reads.
        subject: Subject,
    },
    /// Validate a configuration text and, if it is valid, put it into effect. The result comes
    /// as `DistributionInput::Verdict`.
    Validate {
        /// The version.
        version: u64,
        /// The text.
        text: Arc<str>,
    },
    /// An instance list is in effect.
    ListInEffect(Arc<InstanceList>),
    /// The versions or their confirmation changed; pass them to the membership table.
    VersionsChanged(LocalVersions),
    /// Whether the held versions are current as far as peers know. False at the start and
    /// after a pause, until peers were asked.
    Current(bool),
    /// Write a log event with the fields of its descriptor.
    Event {
        /// The event.
        kind: EventKind,
        /// Values of the fields.
        fields: Vec<String>,
    },
}

/// Stage of the start or of the resumption after a pause.
#[derive(Debug)]
enum Phase {
    /// Peers are asked which versions they hold.
    Querying(PeerQuery),
    /// The highest reported versions are fetched; 0 if none was reported.
    Fetching { config: u64, list: u64 },
    /// Versions are current as far as peers know.
    Current,
}

/// State of one subject in a dump.
#[derive(Clone, Debug, Serialize)]
pub struct SubjectDump {
    /// The subject.
    pub subject: Subject,
    /// Version in effect, 0 for none.
    pub version: u64,
    /// Age of its confirmation in ms.
    pub age_ms: Option<u64>,
    /// Versions that were rejected lately.
    pub rejected: Vec<u64>,
    /// Number of offers below the version in effect.
    pub older_offers: u64,
    /// Whether a call on the platform is pending.
    pub watching: bool,
    /// Number of calls that failed since the last answer.
    pub failures: u32,
}

/// State of a [`ConfigDistributor`] for operators.
#[derive(Clone, Debug, Serialize)]
pub struct DistributionDump {
    /// Stage: `querying`, `fetching` or `current`.
    pub phase: &'static str,
    /// Whether this instance is among the ranked watchers of its own view.
    pub ranked: bool,
    /// Whether it watches for lack of confirmations.
    pub volunteered: bool,
    /// State per subject.
    pub subjects: Vec<SubjectDump>,
}

#[derive(Debug, Default)]
struct SubjectState {
    track: ValueTrack,
    fetch: FetchState,
    watch: WatchState,
    /// Platform's value that is held back until peers were asked.
    candidate: Option<Offer>,
}

/// Reads, accepts and spreads versions of the configuration and the instance list.
#[derive(Debug)]
pub struct ConfigDistributor {
    params: DistributionParams,
    rng: SmallRng,
    identity: InstanceIdentity,
    config: SubjectState,
    list: SubjectState,
    phase: Option<Phase>,
    known: Vec<InstanceId>,
    live: Vec<InstanceId>,
    ranked: bool,
    volunteered: bool,
    waves: WaveLog,
    last_wave: u32,
    next_wave: Timestamp,
    /// Time at which the instance starts to watch for lack of confirmations.
    volunteer_at: Timestamp,
    last_number: u32,
    reported: LocalVersions,
    reported_current: bool,
}

impl ConfigDistributor {
    /// Creates the distributor of a process that holds nothing yet.
    ///
    /// The first calls of `handle` should be `Peers` with the peers from the settings, then
    /// `Tick`.
    pub fn new(params: DistributionParams, identity: InstanceIdentity, mut rng: SmallRng) -> Self {
        Self {
            params,
            // Answers to an earlier process must not match the numbers of this one.
            last_number: rng.random(),
            rng,
            identity,
            config: SubjectState::default(),
            list: SubjectState::default(),
            phase: None,
            known: Vec::new(),
            live: Vec::new(),
            ranked: false,
            volunteered: false,
            waves: WaveLog::default(),
            last_wave: 0,
            next_wave: Timestamp::default(),
            volunteer_at: Timestamp::default(),
            reported: LocalVersions::default(),
            reported_current: false,
        }
    }

    /// Processes an input and appends the effects that the caller performs.
    pub fn handle(
        &mut self,
        now: Timestamp,
        input: DistributionInput,
        effects: &mut Vec<DistributionEffect>,
    ) {
        match input {
            DistributionInput::Tick => {},
            DistributionInput::Message { from, message } => {
                self.receive(now, from, message, effects);
            },
            DistributionInput::Peers { known, live } => self.take_peers(now, known, live),
            DistributionInput::PeerVersions { from, versions, asked } => {
                self.compare(now, from, &versions, asked, effects);
            },
            DistributionInput::Platform { subject, call, answer } => {
                self.take_answer(now, subject, call, answer, effects);
            },
            DistributionInput::Verdict { version, accepted } => {
                self.decide(now, Subject::Config, version, accepted, effects);
            },
            DistributionInput::Unreached { peer } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.asks(peer) {
                        self.fetch_elsewhere(now, subject, effects);
                    }
                }
            },
            DistributionInput::Woke => {
                self.start_query(now);
                for subject in Subject::ALL {
                    self.subject_mut(subject).fetch.clear();
                }
                self.note_contact(now);
            },
        }
        self.run_timers(now, effects);
        self.report(effects);
    }

    /// Returns when `handle` must be called with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let params = &self.params;
        let mut next = None;
        let mut at = |time: Option<Timestamp>| next = Timestamp::earliest(next, time);
        if let Some(Phase::Querying(query)) = &self.phase {
            at(Some(query.started + params.query_timeout));
            at(query.first_report.map(|first| first + params.query_settle));
            at(Some(query.next_send).filter(|_| !query.asked || !query.open.is_empty()));
        }
        let watching = self.wants_watch();
        for subject in Subject::ALL {
            let state = self.subject(subject);
            at(state.fetch.deadline(params.fetch_timeout));
            if watching {
                let lost = params.watch_wait + params.watch_grace;
                at(Some(
                    state.watch.pending.map_or(state.watch.next_call, |call| call.started + lost),
                ));
            }
        }
        if watching {
            at(Some(self.next_wave));
        } else {
            at(Some(self.volunteer_at));
        }
        next
    }

    /// Returns the versions in effect with the times of their confirmation.
    pub fn versions(&self) -> LocalVersions {
        LocalVersions {
            config: self.config.track.version(),
            config_confirmed: self.config.track.confirmed(),
            list: self.list.track.version(),
            list_confirmed: self.list.track.confirmed(),
        }
    }

    /// Gets the instance list in effect.
    pub fn list(&self) -> Option<&Arc<InstanceList>> {
        match self.list.track.held() {
            Some((_, Payload::List(list))) => Some(list),
            _ => None,
        }
    }

    /// Returns the time since the platform was last known to publish the list in effect, or
    /// `None` if that is not known.
    ///
    /// The true age is never higher: it is bounded by the time at which the answered question
    /// was sent, so delayed messages cannot make a list look fresh.
    pub fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.list.track.confirmed().map(|at| now.since(at))
    }

    /// Returns whether a configuration is in effect.
    pub fn is_ready(&self) -> bool {
        self.config.track.version() > 0
    }

    /// Returns whether peers were asked since the start or the last pause.
    pub fn is_current(&self) -> bool {
        matches!(self.phase, Some(Phase::Current))
    }

    /// Returns the state for operators.
    pub fn dump(&self, now: Timestamp) -> DistributionDump {
        DistributionDump {
            phase: match &self.phase {
                None | Some(Phase::Querying(_)) => "querying",
                Some(Phase::Fetching { .. }) => "fetching",
                Some(Phase::Current) => "current",
            },
            ranked: self.ranked,
            volunteered: self.volunteered,
            subjects: Subject::ALL
                .into_iter()
                .map(|subject| {
                    let state = self.subject(subject);
                    let status = self.versions().status(now).get(subject);
                    SubjectDump {
                        subject,
                        version: status.version,
                        age_ms: status.age_ms,
                        rejected: state.track.rejected().map(|mark| mark.version).collect(),
                        older_offers: state.track.older_offers,
                        watching: state.watch.pending.is_some(),
                        failures: state.watch.failures,
                    }
                })
                .collect(),
        }
    }

    /// Sets the identity after the membership table changed the incarnation.
    pub fn set_identity(&mut self, identity: InstanceIdentity) {
        self.identity = identity;
    }

    fn subject(&self, subject: Subject) -> &SubjectState {
        match subject {
            Subject::Config => &self.config,
            Subject::List => &self.list,
        }
    }

    fn subject_mut(&mut self, subject: Subject) -> &mut SubjectState {
        match subject {
            Subject::Config => &mut self.config,
            Subject::List => &mut self.list,
        }
    }

    fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn take_peers(&mut self, now: Timestamp, known: Vec<InstanceId>, live: Vec<InstanceId>) {
        if let Some(Phase::Querying(query)) = &mut self.phase
            && !query.asked
        {
            query.next_send = now;
        }
        self.known = known;
        self.live = live;
        let own = rendezvous::weight(watch_key(), self.identity.id);
        let above = self.live.iter().filter(|&&id| rendezvous::weight(watch_key(), id) > own);
        self.ranked = above.count() < self.params.watchers;
    }

    fn receive(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        message: DistributionMessage,
        effects: &mut Vec<DistributionEffect>,
    ) {
        match message {
            DistributionMessage::Query { query } => {
                let versions = self.versions();
                let reply = DistributionMessage::QueryReply {
                    query,
                    config: versions.config,
                    list: versions.list,
                };
                Self::send(from, PeerTransport::Datagram, reply, effects);
            },
            DistributionMessage::QueryReply { query: number, config, list } => {
                if let Some(Phase::Querying(query)) = &mut self.phase
                    && query.number == number
                {
                    query.open.swap_remove(&from);
                }
                self.hear_version(now, from, Subject::Config, config, effects);
                self.hear_version(now, from, Subject::List, list, effects);
            },
            DistributionMessage::Announce { subject, mark } => {
                self.check_conflict(subject, mark, Some(from), effects);
                self.hear_version(now, from, subject, mark.version, effects);
            },
            DistributionMessage::Fetch { subject, number } => {
                let state = self.subject(subject);
                let confirmed = state.track.confirmed();
                let reply = match state.track.held() {
                    Some((mark, payload)) => DistributionMessage::Value {
                        number,
                        mark: *mark,
                        age_ms: confirmed.map(|at| now.since(at).as_millis() as u64),
                        body: ValueBody::Full(payload.clone()),
                    },
                    None => DistributionMessage::Missing { number },
                };
                Self::send(from, PeerTransport::Stream, reply, effects);
            },
            DistributionMessage::Value { number, mark, age_ms, body } => {
                let ValueBody::Full(payload) = body;
                self.take_value(now, from, number, mark, age_ms, payload, effects);
            },
            DistributionMessage::Missing { number } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.has_number(number) {
                        self.fetch_elsewhere(now, subject, effects);
                    }
                }
            },
            DistributionMessage::Confirm { watcher, started, wave, config, list } => {
                self.take_wave(now, from, (watcher, started, wave), (config, list), effects);
            },
        }
    }

    #[expect(clippy::too_many_arguments, reason = "one argument per field of the message")]
    fn take_value(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        number: u32,
        mark: VersionMark,
        age_ms: Option<u64>,
        payload: Payload,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let subject = payload.subject();
        let Some((asked, wanted)) = self.subject_mut(subject).fetch.finish(number) else {
            return;
        };
        let confirmed = age_ms.and_then(|age| bounded_time(asked, age));
        if payload.digest() == mark.digest {
            let offer = Offer { mark, payload, source: Some(from), confirmed };
            self.offer(now, subject, offer, effects);
        }
        if mark.version < wanted {
            // The peer reported a version that it does not hold; the next report starts anew.
            self.subject_mut(subject).fetch.clear();
        }
    }

    fn take_wave(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        (watcher, started, wave): (InstanceId, u64, u32),
        (config, list): (u64, u64),
        effects: &mut Vec<DistributionEffect>,
    ) {
        let keep = self.params.wave_interval * 3;
        if watcher == self.identity.id || !self.waves.record(now, watcher, started, wave, keep) {
            return;
        }
        self.note_contact(now);
        // The better ranked of two volunteers remains, so they neither stop each other nor
        // both go on.
        let own = rendezvous::weight(watch_key(), self.identity.id);
        if rendezvous::weight(watch_key(), watcher) > own {
            self.volunteered = false;
        }
        if self.waves.is_ranked(watcher, self.params.watchers) {
            let message = DistributionMessage::Confirm { watcher, started, wave, config, list };
            for peer in self.choose_peers(self.params.wave_fanout, &[from, watcher]) {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            self.hear_version(now, from, subject, version, effects);
            self.hear_version(now, watcher, subject, version, effects);
        }
    }

    fn compare(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        versions: &VersionStatus,
        asked: Option<Timestamp>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        for subject in Subject::ALL {
            let theirs = versions.get(subject);
            if let (Some(asked), Some(age)) = (asked, theirs.age_ms)
                && let Some(at) = bounded_time(asked, age)
            {
                self.subject_mut(subject).track.confirm(theirs.version, at);
            }
            self.hear_version(now, from, subject, theirs.version, effects);
        }
    }

    /// Takes notice that a peer holds a version.
    fn hear_version(
        &mut self,
        now: Timestamp,
        peer: InstanceId,
        subject: Subject,
        version: u64,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some(Phase::Querying(query)) = &mut self.phase {
            match subject {
                Subject::Config => query.report(now, peer, version, 0),
                Subject::List => query.report(now, peer, 0, version),
            }
            return;
        }
        if peer == self.identity.id || !self.subject(subject).track.wants(version) {
            return;
        }
        let number = self.number();
        if self.subject_mut(subject).fetch.note(now, version, peer, number) {
            let message = DistributionMessage::Fetch { subject, number };
            Self::send(peer, PeerTransport::Stream, message, effects);
        }
    }

    fn fetch_elsewhere(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let number = self.number();
        if let Some(peer) = self.subject_mut(subject).fetch.next_source(now, number) {
            let message = DistributionMessage::Fetch { subject, number };
            Self::send(peer, PeerTransport::Stream, message, effects);
        }
    }

    fn check_conflict(
        &mut self,
        subject: Subject,
        mark: VersionMark,
        source: Option<InstanceId>,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some((held, _)) = self.subject(subject).track.held()
            && held.version == mark.version
            && held.digest != mark.digest
        {
            let origin = source.map_or("platform".to_owned(), |peer| peer.to_string());
            effects.push(DistributionEffect::Event {
                kind: EventKind::ConfigRefused,
                fields: vec![
                    mark.version.to_string(),
                    "1".to_owned(),
                    format!("{} has other content at {origin}", subject.as_str()),
                ],
            });
        }
    }

    fn take_answer(
        &mut self,
        now: Timestamp,
        subject: Subject,
        call: u32,
        answer: PlatformAnswer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        // A result that waited while the process was paused belongs to an earlier call; taken
        // for the pending one it would confirm a list that the platform no longer publishes.
        let Some(started) = self.subject(subject).watch.started(call) else {
            return;
        };
        let payload = match answer {
            PlatformAnswer::Unreachable { reason } => {
                self.fail_watch(now, subject, reason, effects);
                return;
            },
            PlatformAnswer::Config { text, .. } if text.len() > self.params.text_limit => {
                let reason = format!("value of {} bytes exceeds the limit", text.len());
                self.fail_watch(now, subject, reason, effects);
                return;
            },
            PlatformAnswer::Config { revision, text } => (revision, Payload::Config(text)),
            PlatformAnswer::List(list) => (list.version.0, Payload::List(list)),
        };
        let (revision, payload) = payload;
        let interval = self.params.call_interval;
        let state = self.subject_mut(subject);
        let failed = state.watch.failures > 0;
        state.watch.answer(now, revision, interval);
        if failed {
            effects.push(DistributionEffect::Event {
                kind: EventKind::PlatformReachable,
                fields: vec![subject.as_str().to_owned()],
            });
        }
        let mark = VersionMark { version: revision, digest: payload.digest() };
        // The call's start bounds the age, because the answer may have been read late.
        let offer = Offer { mark, payload, source: None, confirmed: Some(started) };
        if self.holds_back() {
            self.subject_mut(subject).candidate = Some(offer);
        } else {
            self.offer(now, subject, offer, effects);
        }
    }

    fn fail_watch(
        &mut self,
        now: Timestamp,
        subject: Subject,
        reason: String,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let backoff =
            if self.ranked { self.params.watcher_backoff } else { self.params.other_backoff };
        let interval = self.params.call_interval;
        let spread = self.rng.random_range(0.5..1.0);
        let state = self.subject_mut(subject);
        let first = state.watch.failures == 0;
        state.watch.fail(now, interval, backoff, spread);
        if first {
            effects.push(DistributionEffect::Event {
                kind: EventKind::PlatformUnreachable,
                fields: vec![subject.as_str().to_owned(), reason],
            });
        }
    }

    fn offer(
        &mut self,
        now: Timestamp,
        subject: Subject,
        offer: Offer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let mark = offer.mark;
        let confirmed = offer.confirmed;
        self.check_conflict(subject, mark, offer.source, effects);
        let rule = self.params.version_rule;
        let state = self.subject_mut(subject);
        match state.track.offer(offer, rule) {
            Judgement::Held => {
                if let Some(at) = confirmed {
                    state.track.confirm(mark.version, at);
                }
            },
            Judgement::Candidate => self.validate(now, subject, effects),
            Judgement::Waiting | Judgement::Older | Judgement::Rejected | Judgement::Conflict => {},
        }
    }

    fn validate(
        &mut self,
        now: Timestamp,
        subject: Subject,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let Some(offer) = self.subject(subject).track.validating() else {
            return;
        };
        let version = offer.mark.version;
        match &offer.payload {
            Payload::Config(text) => {
                effects.push(DistributionEffect::Validate { version, text: text.clone() });
            },
            Payload::List(list) => {
                let list = list.clone();
                // Every later decision looks instances up by id, so ids must be unique.
                let mut ids: Vec<_> = list.entries.iter().map(|entry| entry.id).collect();
                ids.sort_unstable();
                let accepted = ids.windows(2).all(|pair| pair[0] != pair[1]);
                if accepted {
                    effects.push(DistributionEffect::ListInEffect(list));
                }
                self.decide(now, subject, version, accepted, effects);
            },
        }
    }

    fn decide(
        &mut self,
        now: Timestamp,
        subject: Subject,
        version: u64,
        accepted: bool,
        effects: &mut Vec<DistributionEffect>,
    ) {
        if let Some(offer) = self.subject_mut(subject).track.decide(version, accepted) {
            self.announce(subject, &offer, effects);
        }
        if let Some(offer) = self.subject_mut(subject).track.take_waiting() {
            self.offer(now, subject, offer, effects);
        }
    }

    fn announce(&mut self, subject: Subject, offer: &Offer, effects: &mut Vec<DistributionEffect>) {
        let version = offer.mark.version.to_string();
        let (kind, fields) = match &offer.payload {
            Payload::Config(_) => {
                let source = offer.source.map_or("platform".to_owned(), |peer| peer.to_string());
                (EventKind::ConfigAccepted, vec![version, source])
            },
            Payload::List(list) => {
                (EventKind::ListAccepted, vec![version, list.entries.len().to_string()])
            },
        };
        effects.push(DistributionEffect::Event { kind, fields });
        let source: Vec<_> = offer.source.into_iter().collect();
        for peer in self.choose_peers(self.params.announce_fanout, &source) {
            let message = DistributionMessage::Announce { subject, mark: offer.mark };
            Self::send(peer, PeerTransport::Datagram, message, effects);
        }
    }

    fn start_query(&mut self, now: Timestamp) {
        let number = self.number();
        self.phase = Some(Phase::Querying(PeerQuery::new(now, number)));
    }

    fn note_contact(&mut self, now: Timestamp) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.volunteer_at =
            now + self.params.contact_limit + self.params.contact_jitter.mul_f64(jitter);
    }

    /// Returns whether values from the platform wait until peers were asked.
    fn holds_back(&self) -> bool {
        match self.phase {
            None | Some(Phase::Querying(_)) => true,
            Some(Phase::Fetching { config, list }) => {
                !self.reached(Subject::Config, config) || !self.reached(Subject::List, list)
            },
            Some(Phase::Current) => false,
        }
    }

    /// Returns whether a version that a peer reported needs no more waiting.
    fn reached(&self, subject: Subject, version: u64) -> bool {
        let track = &self.subject(subject).track;
        version <= track.version() || track.has_rejected(version)
    }

    fn wants_watch(&self) -> bool {
        self.ranked || self.volunteered || !self.is_current()
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if self.phase.is_none() {
            self.start_query(now);
            self.note_contact(now);
        }
        for subject in Subject::ALL {
            let deadline = self.subject(subject).fetch.deadline(self.params.fetch_timeout);
            if deadline.is_some_and(|deadline| now >= deadline) {
                self.fetch_elsewhere(now, subject, effects);
            }
        }
        self.run_query(now, effects);
        self.run_start(now, effects);
        self.run_watch(now, effects);
        self.run_wave(now, effects);
    }

    fn run_query(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Querying(query)) = &mut self.phase else {
            return;
        };
        if now >= query.next_send {
            query.next_send = now + self.params.query_repeat;
            if !query.asked {
                let count = self.params.query_peers;
                let pool = if self.live.is_empty() { &self.known } else { &self.live };
                let chosen = pool.choose_multiple(&mut self.rng, count).copied();
                query.open = chosen.collect();
                query.asked = !query.open.is_empty();
            }
            let message = DistributionMessage::Query { query: query.number };
            for &peer in &query.open {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        let settled = (query.asked && query.open.is_empty())
            || query.first_report.is_some_and(|first| now >= first + self.params.query_settle);
        if !settled && now < query.started + self.params.query_timeout {
            return;
        }
        let best = Subject::ALL.map(|subject| query.best(subject));
        let version = |best: &Option<(u64, _)>| best.as_ref().map_or(0, |&(version, _)| version);
        self.phase = Some(Phase::Fetching { config: version(&best[0]), list: version(&best[1]) });
        for (subject, best) in Subject::ALL.into_iter().zip(best) {
            if let Some((version, holders)) = best {
                for holder in holders {
                    self.hear_version(now, holder, subject, version, effects);
                }
            }
        }
    }

    fn run_start(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        let Some(Phase::Fetching { config, list }) = self.phase else {
            return;
        };
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            let state = self.subject(subject);
            if !self.reached(subject, version)
                && !state.fetch.covers(version)
                && state.track.validating().is_none()
            {
                // Every holder failed to send the version; another may hold it by now.
                self.start_query(now);
                return;
            }
        }
        if self.holds_back() {
            return;
        }
        for subject in Subject::ALL {
            if let Some(offer) = self.subject_mut(subject).candidate.take() {
                self.offer(now, subject, offer, effects);
            }
        }
        if self.is_ready() {
            self.phase = Some(Phase::Current);
            self.note_contact(now);
        }
    }

    fn run_watch(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now >= self.volunteer_at && !self.ranked {
            self.volunteered = true;
        }
        let wanted = self.wants_watch();
        let lost = self.params.watch_wait + self.params.watch_grace;
        for subject in Subject::ALL {
            let pending = self.subject(subject).watch.pending;
            if let Some(call) = pending
                && (!wanted || now >= call.started + lost)
            {
                effects.push(DistributionEffect::StopWatch { subject });
                self.subject_mut(subject).watch.pending = None;
                if wanted {
                    self.fail_watch(now, subject, "no answer".to_owned(), effects);
                }
            }
            let rule = self.params.version_rule;
            let number = self.number();
            let state = self.subject_mut(subject);
            if wanted && state.watch.pending.is_none() && now >= state.watch.next_call {
                state.watch.pending = Some(WatchCall { number, started: now });
                let after = match rule {
                    VersionRule::Rising => state.watch.seen.max(state.track.version()),
                    VersionRule::Latest => 0,
                };
                let wait = self.params.watch_wait;
                effects.push(DistributionEffect::Watch { subject, call: number, after, wait });
            }
        }
    }

    /// Sends the periodic confirmation while the own watch works.
    fn run_wave(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now < self.next_wave || !self.wants_watch() {
            return;
        }
        self.next_wave = now + self.params.wave_interval;
        let limit = self.params.watch_wait + self.params.watch_grace;
        let works =
            Subject::ALL.into_iter().all(|subject| self.subject(subject).watch.works(now, limit));
        if !works || !self.is_current() {
            return;
        }
        self.last_wave = self.last_wave.wrapping_add(1);
        let versions = self.versions();
        let message = DistributionMessage::Confirm {
            watcher: self.identity.id,
            started: self.identity.incarnation.started,
            wave: self.last_wave,
            config: versions.config,
            list: versions.list,
        };
        for peer in self.choose_peers(self.params.wave_fanout, &[]) {
            Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
        }
    }

    fn report(&mut self, effects: &mut Vec<DistributionEffect>) {
        let versions = self.versions();
        if versions != self.reported {
            self.reported = versions;
            effects.push(DistributionEffect::VersionsChanged(versions));
        }
        let current = self.is_current();
        if current != self.reported_current {
            self.reported_current = current;
            effects.push(DistributionEffect::Current(current));
        }
    }

    /// Chooses random peers; live ones, or any known ones while none is live.
    fn choose_peers(&mut self, count: usize, except: &[InstanceId]) -> Vec<InstanceId> {
        let pool = if self.live.is_empty() { &self.known } else { &self.live };
        let chosen = pool.choose_multiple(&mut self.rng, count + except.len());
        chosen.copied().filter(|peer| !except.contains(peer)).take(count).collect()
    }

    fn send(
        to: InstanceId,
        transport: PeerTransport,
        message: DistributionMessage,
        effects: &mut Vec<DistributionEffect>,
    ) {
        effects.push(DistributionEffect::Send { to, transport, message });
    }
}

/// Returns the latest time at which a confirmation with the given age can have happened,
/// counted back from the question; `None` if it lies before the clock's origin.
fn bounded_time(asked: Timestamp, age_ms: u64) -> Option<Timestamp> {
    asked.0.checked_sub(age_ms.checked_mul(1000)?).map(Timestamp)
}
