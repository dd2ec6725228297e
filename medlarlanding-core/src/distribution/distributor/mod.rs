//! The state machine of the distribution subsystem.

mod acceptance;
mod receive;
mod start;
mod watching;

use std::sync::Arc;
use std::time::Duration;

use super::fetch::FetchState;
use super::heartbeats::{HeartbeatLog, watch_key};
use super::interface::{DistributionDump, DistributionEffect, DistributionInput, SubjectDump};
use super::message::{DistributionMessage, Payload};
use super::params::DistributionParams;
use super::query::PeerQuery;
use super::track::{Offer, ValueTrack};
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

#[derive(Debug, Default)]
struct SubjectState {
    track: ValueTrack,
    fetch: FetchState,
    watch: WatchState,
    /// Time of the second announcement of the version in effect.
    announce_at: Option<Timestamp>,
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
    fallback: bool,
    heartbeats: HeartbeatLog,
    last_heartbeat: u32,
    next_heartbeat: Timestamp,
    /// Time at which the instance starts to watch for lack of confirmations.
    fallback_at: Timestamp,
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
            fallback: false,
            heartbeats: HeartbeatLog::default(),
            last_heartbeat: 0,
            next_heartbeat: Timestamp::default(),
            fallback_at: Timestamp::default(),
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
            at(state.announce_at);
            at(state.fetch.deadline(params.fetch_timeout));
            if watching {
                let lost = params.watch_wait + params.watch_grace;
                at(Some(
                    state.watch.pending.map_or(state.watch.next_call, |call| call.started + lost),
                ));
            }
        }
        if watching {
            at(Some(self.next_heartbeat));
        } else {
            at(Some(self.fallback_at));
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

    fn run_timers(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if self.phase.is_none() {
            self.start_query(now);
            self.note_contact(now);
            // Watchers that start at the same time confirm at different times.
            let phase = self.params.heartbeat_interval.mul_f64(self.rng.random());
            self.next_heartbeat = now + phase;
        }
        for subject in Subject::ALL {
            let deadline = self.subject(subject).fetch.deadline(self.params.fetch_timeout);
            if deadline.is_some_and(|deadline| now >= deadline) {
                self.fetch_elsewhere(now, subject, effects);
            }
        }
        self.run_announcements(now, effects);
        self.run_query(now, effects);
        self.run_start(now, effects);
        self.run_watch(now, effects);
        self.run_heartbeat(now, effects);
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
