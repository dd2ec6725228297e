//! Settings of the membership subsystem.

use std::time::Duration;

use crate::wire::DATAGRAM_LIMIT;

/// Settings of a [`MembershipTable`](super::MembershipTable).
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Time between two probes that one instance starts.
    pub probe_interval: Duration,
    /// Time to wait for an ack before other instances are asked to probe the target.
    pub ack_timeout: Duration,
    /// Number of instances that are asked to probe the target.
    pub indirect_peers: usize,
    /// Whether a second direct ping is sent together with the indirect probes. With 10%
    /// datagram loss, a single round trip fails in 19 of 100 cases.
    pub second_probe: bool,
    /// Suspicion timeout, the time from suspicion to death, in fleets of up to 9 instances. In
    /// larger fleets of n instances it is multiplied by log10(n + 1).
    pub suspicion_base: Duration,
    /// Time between two rounds of gossip messages, which are sent while updates are queued.
    /// Piggybacked on probes alone, an update takes about 6 s to reach 350 instances.
    pub gossip_interval: Duration,
    /// Number of instances that receive each round of gossip messages.
    pub gossip_fanout: usize,
    /// With n instances, each update is sent `retransmit_factor * ceil(log2(n + 1))` times.
    pub retransmit_factor: u32,
    /// Maximum encoded size of a message in a datagram, in bytes. The default leaves 64 bytes
    /// for the frame around the message.
    pub message_limit: usize,
    /// Timer delay above which the process is considered to have been paused.
    pub pause_limit: Duration,
    /// Time between two probes of listed or seed instances that are not live.
    pub reconnect_interval: Duration,
    /// Time after which a peer with a different digest is pinged again. If neither digest has
    /// changed by then, full states are exchanged. Updates reach 350 instances in about half of
    /// this time.
    pub sync_delay: Duration,
    /// Minimum time between two full-state exchanges that this instance starts because of
    /// differing digests.
    pub sync_interval: Duration,
    /// Time for which a dead instance is kept if it is neither listed nor a seed.
    pub dead_retention: Duration,
}

impl Default for MembershipParams {
    fn default() -> Self {
        Self {
            probe_interval: Duration::from_secs(1),
            ack_timeout: Duration::from_millis(300),
            indirect_peers: 3,
            second_probe: true,
            suspicion_base: Duration::from_secs(3),
            gossip_interval: Duration::from_millis(200),
            gossip_fanout: 3,
            retransmit_factor: 3,
            message_limit: DATAGRAM_LIMIT - 64,
            pause_limit: Duration::from_secs(2),
            reconnect_interval: Duration::from_secs(5),
            sync_delay: Duration::from_secs(1),
            sync_interval: Duration::from_secs(5),
            dead_retention: Duration::from_secs(600),
        }
    }
}
