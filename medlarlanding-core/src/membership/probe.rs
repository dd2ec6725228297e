//! Order of probes, the probe in progress and probes on behalf of others.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::time::Timestamp;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// The probe that the instance runs in the current cycle.
#[derive(Clone, Copy, Debug)]
pub(super) struct OwnProbe {
    pub target: InstanceId,
    pub number: u32,
    pub sent: Timestamp,
    pub acked: bool,
    /// Whether others were already asked to probe.
    pub indirect: bool,
}

/// A probe on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct Relay {
    number: u32,
    origin: InstanceId,
    origin_probe: u32,
    until: Timestamp,
}

/// Round-robin over a shuffled order of the peers.
///
/// Every peer is probed once per round, so a dead peer is probed by each instance within
/// n cycles, not only with a probability.
#[derive(Debug, Default)]
pub(super) struct ProbeCycle {
    order: Vec<InstanceId>,
    last_number: u32,
    /// Probe of the current cycle.
    pub own: Option<OwnProbe>,
    relays: Vec<Relay>,
}

impl ProbeCycle {
    /// Takes the next peer for which `eligible` holds; starts a new round from `peers` when the
    /// current one is used up.
    pub fn next_target(
        &mut self,
        rng: &mut SmallRng,
        peers: impl Fn() -> Vec<InstanceId>,
        eligible: impl Fn(InstanceId) -> bool,
    ) -> Option<InstanceId> {
        for _ in 0..2 {
            while let Some(peer) = self.order.pop() {
                if eligible(peer) {
                    return Some(peer);
                }
            }
            self.order = peers();
            self.order.shuffle(rng);
        }
        None
    }

    /// Returns a new probe number.
    pub fn number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Records a probe on behalf of `origin`. Returns the number for the ping.
    pub fn relay(
        &mut self,
        now: Timestamp,
        origin: InstanceId,
        origin_probe: u32,
        keep: Duration,
    ) -> u32 {
        self.relays.retain(|relay| relay.until > now);
        let number = self.number();
        self.relays.push(Relay { number, origin, origin_probe, until: now + keep });
        number
    }

    /// Takes the origin of a relayed probe that was answered, with the origin's number.
    pub fn take_relay(&mut self, number: u32) -> Option<(InstanceId, u32)> {
        let position = self.relays.iter().position(|relay| relay.number == number)?;
        let relay = self.relays.swap_remove(position);
        Some((relay.origin, relay.origin_probe))
    }

    /// Drops the probes in progress.
    pub fn reset(&mut self) {
        self.own = None;
        self.relays.clear();
    }
}
