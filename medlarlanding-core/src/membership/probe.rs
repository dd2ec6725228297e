//! Order in which peers are probed, the probe in progress, and probes on behalf of others.

use std::time::Duration;

use crate::ids::InstanceId;
use crate::time::Timestamp;

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Probe of the current probe interval.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingProbe {
    pub target: InstanceId,
    pub number: u32,
    pub sent: Timestamp,
    pub acked: bool,
    /// Whether other instances were already asked to probe the target.
    pub indirect_sent: bool,
}

/// Probe on behalf of another instance.
#[derive(Clone, Copy, Debug)]
struct Relay {
    number: u32,
    /// Instance that requested the probe.
    origin: InstanceId,
    /// Number of the probe at the origin.
    origin_probe: u32,
    expires: Timestamp,
}

/// Round-robin over a shuffled order of the peers.
///
/// Every peer is probed once per round, so each of n instances probes a dead peer within n probe
/// intervals; with random choice there would be no such bound.
#[derive(Debug, Default)]
pub(super) struct ProbeSchedule {
    order: Vec<InstanceId>,
    last_number: u32,
    /// Probe of the current probe interval; `None` if there was no peer to probe.
    pub pending: Option<PendingProbe>,
    relays: Vec<Relay>,
}

impl ProbeSchedule {
    /// Takes the next peer for which `eligible` returns true. Starts a new round with `peers`
    /// when every peer of the current one was taken.
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

    pub fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Records a probe on behalf of `origin` for the duration of `retention`. Returns the number
    /// for the ping.
    pub fn add_relay(
        &mut self,
        now: Timestamp,
        origin: InstanceId,
        origin_probe: u32,
        retention: Duration,
    ) -> u32 {
        self.relays.retain(|relay| relay.expires > now);
        let number = self.next_number();
        self.relays.push(Relay { number, origin, origin_probe, expires: now + retention });
        number
    }

    /// Removes the relayed probe with the given number. Returns its origin and the number of the
    /// probe there.
    pub fn take_relay(&mut self, number: u32) -> Option<(InstanceId, u32)> {
        let position = self.relays.iter().position(|relay| relay.number == number)?;
        let relay = self.relays.swap_remove(position);
        Some((relay.origin, relay.origin_probe))
    }

    /// Drops all probes in progress.
    pub fn reset(&mut self) {
        self.pending = None;
        self.relays.clear();
    }
}
