//! The state machine of the distribution subsystem.

mod acceptance;
mod receive;
mod start;
mod watching;

use std::sync::Arc;
use std::time::Duration;

use super::fetch::FetchState;
use super::heartbeats::{HeartbeatLog, watcher_key};
use super::interface::{DistributionDump, DistributionEffect, DistributionInput, SubjectDump};
use super::message::{DistributionMessage, Payload};
use super::params::DistributionParams;
use super::query::PeerQuery;
use super::store::{Offer, VersionStore};
use super::versions::{LocalVersions, Subject};
use super::watch::WatchState;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::rendezvous;
use crate::time::Timestamp;
use crate::views::InstanceList;
use crate::wire::PeerTransport;

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Progress of the start, or of bringing the versions up to date after a pause.
#[derive(Debug)]
enum Phase {
    /// Peers are queried for their versions in effect.
    Querying(PeerQuery),
    /// The highest versions that peers reported are fetched; 0 if none was reported.
    Fetching { config: u64, list: u64 },
    /// The versions in effect are the newest that peers know of.
    Current,
}

#[derive(Debug, Default)]
struct SubjectState {
    store: VersionStore,
    fetch: FetchState,
    watch: WatchState,
    /// Time at which to announce the version in effect a second time.
    announce_at: Option<Timestamp>,
    /// Version read from the platform that is offered after the versions of peers were fetched.
    deferred: Option<Offer>,
}

/// Reads versions of the configuration and of the instance list, decides which are accepted, and
/// distributes them to peers.
#[derive(Debug)]
pub struct ConfigDistributor {
    params: DistributionParams,
    rng: SmallRng,
    identity: InstanceIdentity,
    config: SubjectState,
    list: SubjectState,
    /// `None` before the first call to `handle`.
    phase: Option<Phase>,
    known: Vec<InstanceId>,
    live: Vec<InstanceId>,
    /// Whether this instance is among the `watchers` live instances that rank highest.
    ranked: bool,
    /// Whether this instance watches the platform because it received no heartbeats.
    fallback: bool,
    heartbeats: HeartbeatLog,
    last_heartbeat: u32,
    next_heartbeat: Timestamp,
    /// Time at which `fallback` is set if no heartbeat is received before.
    fallback_at: Timestamp,
    /// Last number of a query, a fetch or a call to the platform.
    last_number: u32,
    /// Versions in the last `VersionsChanged`.
    last_versions: LocalVersions,
    /// Value in the last `CurrentChanged`.
    last_current: bool,
}

impl ConfigDistributor {
    /// Creates the distributor of a new process, with no versions in effect.
    ///
    /// The first inputs to `handle` should be `Peers` with the peers from the settings, then
    /// `Tick`.
    pub fn new(params: DistributionParams, identity: InstanceIdentity, mut rng: SmallRng) -> Self {
        Self {
            params,
            // Starts at a random number, so that this process ignores answers to an earlier one.
            last_number: rng.random(),
            rng,
            identity,
            config: SubjectState::default(),
            list: SubjectState::default(),
            phase: None,
            known: Vec::new(),
            live: Vec::new(),
            ranked: false,
            fallback: false,
            heartbeats: HeartbeatLog::default(),
            last_heartbeat: 0,
            next_heartbeat: Timestamp::default(),
            fallback_at: Timestamp::default(),
            last_versions: LocalVersions::default(),
            last_current: false,
        }
    }

    /// Processes an input and appends the effects that the caller must perform.
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
            DistributionInput::Peers { known, live } => self.update_peers(now, known, live),
            DistributionInput::PeerVersions { from, versions, probe_sent } => {
                self.handle_peer_versions(now, from, &versions, probe_sent, effects);
            },
            DistributionInput::Platform { subject, call, answer } => {
                self.handle_platform_answer(now, subject, call, answer, effects);
            },
            DistributionInput::Validated { version, accepted } => {
                self.finish_validation(now, Subject::Config, version, accepted, effects);
            },
            DistributionInput::DeliveryFailed { peer } => {
                for subject in Subject::ALL {
                    if self.subject(subject).fetch.is_from(peer) {
                        self.fetch_from_next(now, subject, effects);
                    }
                }
            },
            DistributionInput::Paused => {
                self.start_query(now);
                for subject in Subject::ALL {
                    self.subject_mut(subject).fetch.clear();
                }
                self.postpone_fallback(now);
            },
        }
        self.run_timers(now, effects);
        self.emit_changes(effects);
    }

    /// Returns the time at which `handle` must be called with `Tick` at the latest.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let params = &self.params;
        let mut next = None;
        let mut include = |time: Option<Timestamp>| next = Timestamp::earliest(next, time);
        if let Some(Phase::Querying(query)) = &self.phase {
            include(Some(query.started + params.query_timeout));
            include(query.first_report.map(|first| first + params.query_settle));
            include(
                Some(query.next_send)
                    .filter(|_| !query.peers_chosen || !query.unanswered.is_empty()),
            );
        }
        let watching = self.should_watch();
        for subject in Subject::ALL {
            let state = self.subject(subject);
            include(state.announce_at);
            include(state.fetch.deadline(params.fetch_timeout));
            if watching {
                let timeout = params.watch_wait + params.watch_grace;
                include(Some(
                    state
                        .watch
                        .pending
                        .map_or(state.watch.next_call, |call| call.started + timeout),
                ));
            }
        }
        if watching {
            include(Some(self.next_heartbeat));
        } else {
            include(Some(self.fallback_at));
        }
        next
    }

    /// Returns the versions in effect and the times at which they were last confirmed.
    pub fn versions(&self) -> LocalVersions {
        LocalVersions {
            config: self.config.store.version(),
            config_confirmed: self.config.store.confirmed(),
            list: self.list.store.version(),
            list_confirmed: self.list.store.confirmed(),
        }
    }

    /// Gets the instance list in effect.
    pub fn list(&self) -> Option<&Arc<InstanceList>> {
        match self.list.store.in_effect() {
            Some((_, Payload::List(list))) => Some(list),
            _ => None,
        }
    }

    /// Returns the time since the platform was last known to publish the list in effect, or
    /// `None` if that is unknown.
    ///
    /// Ages in answers are counted back from the time at which the request was sent. So the
    /// returned age is never too low, however late an answer arrives.
    pub fn list_age(&self, now: Timestamp) -> Option<Duration> {
        self.list.store.confirmed().map(|at| now.since(at))
    }

    /// Returns whether a configuration is in effect.
    pub fn is_ready(&self) -> bool {
        self.config.store.version() > 0
    }

    /// Returns whether peers were queried, and the versions that they reported were fetched, since
    /// the start or the last pause.
    pub fn is_current(&self) -> bool {
        matches!(self.phase, Some(Phase::Current))
    }

    /// Returns the state of the distributor for operators.
    pub fn dump(&self, now: Timestamp) -> DistributionDump {
        DistributionDump {
            phase: match &self.phase {
                None | Some(Phase::Querying(_)) => "querying",
                Some(Phase::Fetching { .. }) => "fetching",
                Some(Phase::Current) => "current",
            },
            ranked: self.ranked,
            fallback: self.fallback,
            subjects: Subject::ALL
                .into_iter()
                .map(|subject| {
                    let state = self.subject(subject);
                    let status = self.versions().status(now).get(subject);
                    SubjectDump {
                        subject,
                        version: status.version,
                        age_ms: status.age_ms,
                        rejected: state.store.rejected().map(|mark| mark.version).collect(),
                        older_offers: state.store.older_offers,
                        watching: state.watch.pending.is_some(),
                        failures: state.watch.failures,
                    }
                })
                .collect(),
        }
    }

    /// Sets the identity of this process after its incarnation changed.
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

    fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    fn update_peers(&mut self, now: Timestamp, known: Vec<InstanceId>, live: Vec<InstanceId>) {
        if let Some(Phase::Querying(query)) = &mut self.phase
            && !query.peers_chosen
        {
            query.next_send = now;
        }
        self.known = known;
        self.live = live;
        let own = rendezvous::weight(watcher_key(), self.identity.id);
        let above = self.live.iter().filter(|&&id| rendezvous::weight(watcher_key(), id) > own);
        self.ranked = above.count() < self.params.watchers;
    }

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if self.phase.is_none() {
            self.start_query(now);
            self.postpone_fallback(now);
            // The random offset keeps watchers that start together from sending their heartbeats
            // at the same times.
            let offset = self.params.heartbeat_interval.mul_f64(self.rng.random());
            self.next_heartbeat = now + offset;
        }
        for subject in Subject::ALL {
            let deadline = self.subject(subject).fetch.deadline(self.params.fetch_timeout);
            if deadline.is_some_and(|deadline| now >= deadline) {
                self.fetch_from_next(now, subject, effects);
            }
        }
        self.run_announcements(now, effects);
        self.run_query(now, effects);
        self.run_fetching(now, effects);
        self.run_watch(now, effects);
        self.run_heartbeat(now, effects);
    }

    fn emit_changes(&mut self, effects: &mut Vec<DistributionEffect>) {
        let versions = self.versions();
        if versions != self.last_versions {
            self.last_versions = versions;
            effects.push(DistributionEffect::VersionsChanged(versions));
        }
        let current = self.is_current();
        if current != self.last_current {
            self.last_current = current;
            effects.push(DistributionEffect::CurrentChanged(current));
        }
    }

    /// Returns up to `count` random live peers, or known peers if none is live, without those in
    /// `except`.
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

/// Returns the earliest time at which a version can have been confirmed if the answer to a request
/// sent at `sent` reports that its confirmation is `age_ms` old. Returns `None` if that time is
/// before the origin of the local clock.
fn confirmation_time(sent: Timestamp, age_ms: u64) -> Option<Timestamp> {
    sent.0.checked_sub(age_ms.checked_mul(1000)?).map(Timestamp)
}
