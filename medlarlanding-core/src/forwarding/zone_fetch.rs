//! Decides from which peer an instance fetches a newer configuration.
//!
//! Load pattern: a configuration of tens of KB changes every few seconds, and each of 74 to 300 instances
//! fetches the whole text. If each fetched from a random peer, three quarters of the texts would cross a zone
//! boundary. The two relays of a zone fetch across it at once; the members fetch from a peer of
//! their zone, and across the border only if no peer of the zone has had the configuration for a bounded time
//! or a fetch within the zone has failed.

use std::net::SocketAddr;
use std::time::Duration;

use super::peer_lag::PeerLag;
use super::peers::PeerTable;
use super::zone::ZoneKey;
use super::zone_plan::ZoneDuty;
use crate::time::Timestamp;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct ConfigFetchParams {
    /// How long a member waits for its relays; grows with the digest interval of a large fleet. A
    /// configuration must be in force 2 s after its confirmation, and a fetch across the border of a text
    /// of 1 MB takes 0.8 s of it on the slowest link.
    pub relay_wait: Duration,
    /// Longest wait for the relays in a large fleet.
    pub relay_wait_max: Duration,
    /// Members begin their fetch after a random time up to this, because a peer serves six fetches
    /// at the same time; grows like `relay_wait`.
    pub spread: Duration,
    /// Mean pause after a failed fetch; the actual one is random, from 0.5 to 1.5 times this.
    pub retry: Duration,
    /// Mean pause after a peer has refused a fetch because it serves others.
    pub refused_retry: Duration,
    /// Digest interval for which these times hold.
    pub interval: Duration,
}

impl Default for ConfigFetchParams {
    fn default() -> Self {
        Self {
            relay_wait: Duration::from_millis(700),
            relay_wait_max: Duration::from_millis(1000),
            spread: Duration::from_millis(100),
            retry: Duration::from_millis(200),
            refused_retry: Duration::from_millis(100),
            interval: Duration::from_millis(250),
        }
    }
}

/// What an instance does about a newer configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigStep {
    /// No live peer has a newer one.
    UpToDate,
    /// Waits for the relays of the zone, for this time at most.
    Wait(Duration),
    /// Fetches it from this peer.
    Fetch(SocketAddr),
}

/// How a fetch from a peer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FetchEnd {
    /// The peer answered.
    Answered,
    /// The peer closed the connection because it serves others.
    Refused,
    /// The peer did not accept the connection, or did not answer in time.
    Failed,
}

/// Tracks for how long an instance has lacked a configuration, and the peer that failed to send it.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConfigFetch {
    params: ConfigFetchParams,
    lag: PeerLag<u64>,
    /// Peer at which the last fetch failed; it is asked again only if no other has the
    /// configuration.
    failed: Option<SocketAddr>,
}

impl ConfigFetch {
    /// Returns what to do while `version` is in force. `draw` is a random number from 0 to 1.
    pub fn step(
        &mut self,
        now: Timestamp,
        peers: &PeerTable,
        duty: ZoneDuty,
        version: u64,
        draw: f64,
    ) -> ConfigStep {
        let waited = self.lag.update(now, version, peers.newest_config_version(now));
        let mut holders = peers.config_holders(now, version);
        if holders.is_empty() {
            self.failed = None;
            return ConfigStep::UpToDate;
        }
        if let Some(failed) = self.failed
            && holders.len() > 1
        {
            holders.retain(|(address, _)| *address != failed);
        }
        let own = peers.own_zone();
        let is_near = |zone: ZoneKey| own.is_known() && zone == own;
        let (near, far): (Vec<_>, Vec<_>) = holders.into_iter().partition(|it| is_near(it.1));
        let wait = self.relay_wait(peers).saturating_sub(waited);
        let prefers_far = match self.failed {
            Some(failed) => is_near(peers.zone(failed)),
            None => duty == ZoneDuty::Member && wait.is_zero(),
        };
        let from = match duty {
            _ if prefers_far && !far.is_empty() => far,
            _ if !near.is_empty() => near,
            // An instance that starts serves nobody until it has a configuration.
            ZoneDuty::Member if !wait.is_zero() && self.failed.is_none() && version > 0 => {
                return ConfigStep::Wait(wait);
            },
            ZoneDuty::Unassigned | ZoneDuty::Relay | ZoneDuty::Member => far,
        };
        let selected = from.get((draw * from.len() as f64) as usize);
        selected.map_or(ConfigStep::UpToDate, |peer| ConfigStep::Fetch(peer.0))
    }

    fn relay_wait(&self, peers: &PeerTable) -> Duration {
        self.params.relay_wait.mul_f64(self.size_factor(peers)).min(self.params.relay_wait_max)
    }

    fn size_factor(&self, peers: &PeerTable) -> f64 {
        peers.digest_interval().as_secs_f64() / self.params.interval.as_secs_f64()
    }

    /// Returns how long an instance that has just heard of a newer configuration waits before it acts.
    pub fn start_delay(&self, peers: &PeerTable, duty: ZoneDuty, draw: f64) -> Duration {
        match duty {
            ZoneDuty::Unassigned | ZoneDuty::Relay => Duration::ZERO,
            ZoneDuty::Member => self.params.spread.mul_f64(self.size_factor(peers) * draw),
        }
    }

    /// Returns the mean pause after a fetch that ended without an answer.
    pub fn retry_pause(&self, duty: ZoneDuty, end: FetchEnd) -> Duration {
        match (duty, end) {
            (ZoneDuty::Member, FetchEnd::Refused) => self.params.refused_retry,
            (ZoneDuty::Unassigned | ZoneDuty::Relay | ZoneDuty::Member, _) => self.params.retry,
        }
    }

    /// Records how a fetch ended.
    pub fn record_end(&mut self, peer: SocketAddr, end: FetchEnd) {
        match end {
            FetchEnd::Answered => self.failed = None,
            FetchEnd::Refused => {},
            FetchEnd::Failed => self.failed = Some(peer),
        }
    }
}
