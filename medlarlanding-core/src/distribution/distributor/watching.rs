//! Calls on the platform and confirmations by watchers.

use super::ConfigDistributor;
use crate::distribution::heartbeats::watch_key;
use crate::distribution::interface::{DistributionEffect, PlatformAnswer};
use crate::distribution::message::{DistributionMessage, Payload, VersionMark};
use crate::distribution::params::VersionRule;
use crate::distribution::track::Offer;
use crate::distribution::versions::Subject;
use crate::distribution::watch::WatchCall;
use crate::events::EventKind;
use crate::ids::InstanceId;
use crate::rendezvous;
use crate::time::Timestamp;
use crate::wire::PeerTransport;

use rand::Rng;

impl ConfigDistributor {
    pub(super) fn take_answer(
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

    pub(super) fn fail_watch(
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

    pub(super) fn run_watch(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now >= self.fallback_at && !self.ranked {
            self.fallback = true;
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
    pub(super) fn run_heartbeat(&mut self, now: Timestamp, effects: &mut Vec<DistributionEffect>) {
        if now < self.next_heartbeat || !self.wants_watch() {
            return;
        }
        self.next_heartbeat = now + self.params.heartbeat_interval;
        let limit = self.params.watch_wait + self.params.watch_grace;
        let works =
            Subject::ALL.into_iter().all(|subject| self.subject(subject).watch.works(now, limit));
        if !works || !self.is_current() {
            return;
        }
        self.last_heartbeat = self.last_heartbeat.wrapping_add(1);
        let versions = self.versions();
        let message = DistributionMessage::Confirm {
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

    pub(super) fn take_heartbeat(
        &mut self,
        now: Timestamp,
        from: InstanceId,
        (watcher, started, number): (InstanceId, u64, u32),
        (config, list): (u64, u64),
        effects: &mut Vec<DistributionEffect>,
    ) {
        let keep = self.params.heartbeat_interval * 3;
        if watcher == self.identity.id
            || !self.heartbeats.record(now, watcher, started, number, keep)
        {
            return;
        }
        self.note_contact(now);
        // The better ranked of two fallback watchers remains, so they neither stop each other nor
        // both go on.
        let own = rendezvous::weight(watch_key(), self.identity.id);
        if rendezvous::weight(watch_key(), watcher) > own {
            self.fallback = false;
        }
        if self.heartbeats.is_ranked(watcher, self.params.watchers) {
            let message = DistributionMessage::Confirm { watcher, started, number, config, list };
            for peer in self.choose_peers(self.params.heartbeat_fanout, &[from, watcher]) {
                Self::send(peer, PeerTransport::Datagram, message.clone(), effects);
            }
        }
        for (subject, version) in [(Subject::Config, config), (Subject::List, list)] {
            self.hear_version(now, from, subject, version, effects);
            self.hear_version(now, watcher, subject, version, effects);
        }
    }

    pub(super) fn note_contact(&mut self, now: Timestamp) {
        let jitter = self.rng.random_range(0.0..1.0);
        self.fallback_at =
            now + self.params.contact_limit + self.params.contact_jitter.mul_f64(jitter);
    }

    pub(super) fn wants_watch(&self) -> bool {
        self.ranked || self.fallback || !self.is_current()
    }
}
