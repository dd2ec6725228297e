//! Calls to the platform and heartbeats of watchers.

use super::ConfigDistributor;
use crate::distribution::heartbeats::watcher_key;
use crate::distribution::interface::{DistributionEffect, PlatformAnswer};
use crate::distribution::message::{DistributionMessage, Payload, VersionMark};
use crate::distribution::params::VersionRule;
use crate::distribution::store::Offer;
use crate::distribution::versions::Subject;
use crate::distribution::watch::WatchCall;
use crate::events::EventKind;
use crate::ids::InstanceId;
use crate::rendezvous;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

use rand::Rng;

impl ConfigDistributor {
    pub(super) fn handle_platform_answer(
        &mut self,
        now: Timestamp,
        subject: Subject,
        call: u32,
        answer: PlatformAnswer,
        effects: &mut Vec<DistributionEffect>,
    ) {
        // The result of an earlier call may be read late, after a pause of the process. Treated as
        // that of the pending call, it would confirm a list that the platform no longer publishes.
        let Some(started) = self.subject(subject).watch.started(call) else {
            return;
        };
        let payload = match answer {
            PlatformAnswer::Unreachable { reason } => {
                self.fail_watch(now, subject, reason, effects);
                return;
            },
            PlatformAnswer::Config { text, .. } if text.len() > self.params.text_limit => {
                let reason = format!(
                    "configuration of {} bytes exceeds the limit of {} bytes",
                    text.len(),
                    self.params.text_limit
                );
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
        // The answer may have been read late, so the time of confirmation is the start of the call.
        let offer = Offer { mark, payload, source: None, confirmed: Some(started) };
        if self.defers_platform() {
            self.subject_mut(subject).deferred = Some(offer);
        } else {
            self.offer(now, subject, offer, effects);
        }
    }

    pub(super) fn fail_watch(
        &mut self,
        now: Timestamp,
        subject: Subject,
        reason: String,
        effects: &mut Vec<DistributionEffect>,
    ) {
        let max_delay =
            if self.ranked { self.params.watcher_backoff } else { self.params.other_backoff };
        let interval = self.params.call_interval;
        let jitter = self.rng.random_range(0.5..1.0);
        let state = self.subject_mut(subject);
        let first = state.watch.failures == 0;
        state.watch.fail(now, interval, max_delay, jitter);
        if first {
            effects.push(DistributionEffect::Event {
                kind: EventKind::PlatformUnreachable,
                fields: vec![subject.as_str().to_owned(), reason],
            });
        }
    }

    /// Cancels calls that are overdue or no longer needed, and starts the next call on each
    /// subject.
    pub(super) fn run_watch(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now >= self.fallback_at && !self.ranked {
            self.fallback = true;
        }
        let wanted = self.should_watch();
        let timeout = self.params.watch_wait + self.params.watch_grace;
        for subject in Subject::ALL {
            let pending = self.subject(subject).watch.pending;
            if let Some(call) = pending
                && (!wanted || now >= call.started + timeout)
            {
                effects.push(DistributionEffect::CancelWatch { subject });
                self.subject_mut(subject).watch.pending = None;
                if wanted {
                    self.fail_watch(now, subject, format!("no answer within {timeout:?}"), effects);
                }
            }
            let rule = self.params.version_rule;
            let number = self.next_number();
            let state = self.subject_mut(subject);
            if wanted && state.watch.pending.is_none() && now >= state.watch.next_call {
                state.watch.pending = Some(WatchCall { number, started: now });
                let after = match rule {
                    VersionRule::Monotonic => state.watch.seen.max(state.store.version()),
                    VersionRule::Latest => 0,
                };
                let wait = self.params.watch_wait;
                effects.push(DistributionEffect::Watch { subject, call: number, after, wait });
            }
        }
    }

    /// Sends the periodic heartbeat if this instance reads the platform successfully.
    pub(super) fn run_heartbeat(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now < self.next_heartbeat || !self.should_watch() {
            return;
        }
        self.next_heartbeat = now + self.params.heartbeat_interval;
        let limit = self.params.watch_wait + self.params.watch_grace;
        let healthy = Subject::ALL
            .into_iter()
            .all(|subject| self.subject(subject).watch.is_healthy(now, limit));
        if !healthy || !self.is_current() {
            return;
        }
        self.last_heartbeat = self.last_heartbeat.wrapping_add(1);
        let versions = self.versions();
        let message = DistributionMessage::Heartbeat {
            watcher: self.identity.id,
            started: self.identity.incarnation.started,
            number: self.last_heartbeat,
            config: versions.config,
            list: versions.list,
        };
        for peer in self.choose_peers(self.params.heartbeat_fanout, &[]) {
            Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
        }
    }

    /// Processes a heartbeat: a new one is forwarded if its watcher ranks high enough, and newer
    /// versions that it reports are fetched.
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        (watcher, started, number): (InstanceId, u64, u32),
        (config, list): (u64, u64),
        effects: &mut Vec<DistributionEffect>,
    ) {
        let retention = self.params.heartbeat_interval * 3;
        if watcher == self.identity.id
            || !self.heartbeats.record(now, watcher, started, number, retention)
        {
            return;
        }
        self.postpone_fallback(now);
        // Of two fallback watchers only the lower-ranked one stops. Otherwise each would stop the
        // other, or both would continue.
        let own = rendezvous::weight(watcher_key(), self.identity.id);
        if rendezvous::weight(watcher_key(), watcher) > own {
            self.fallback = false;
        }
        if self.heartbeats.is_ranked(watcher, self.params.watchers) {
            let message = DistributionMessage::Heartbeat { watcher, started, number, config, list };
            for peer in self.choose_peers(self.params.heartbeat_fanout, &[from, watcher]) {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            self.handle_peer_version(now, from, subject, version, effects);
            self.handle_peer_version(now, watcher, subject, version, effects);
        }
    }

    /// Restarts the timeout after which this instance watches the platform itself.
    pub(super) fn postpone_fallback(&mut self, now: Timestamp) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.fallback_at =
            now + self.params.heartbeat_timeout + self.params.heartbeat_jitter.mul_f64(jitter);
    }

    pub(super) fn should_watch(&self) -> bool {
        self.ranked || self.fallback || !self.is_current()
    }
}
