//! Settings of the membership subsystem.

use std::time::Duration;

use crate::wire::DATAGRAM_LIMIT;

/// Settings of a [`MembershipTable`](super::MembershipTable).
#[derive(Clone, Debug)]
pub struct MembershipParams {
    /// Time between two probes by one instance.
    pub probe_interval: Duration,
    /// Time without an ack after which other instances are asked to probe.
    pub ack_timeout: Duration,
    /// Number of instances asked to probe on behalf of this one.
    pub indirect_peers: usize,
    /// Whether the target is also probed directly a second time. With 10% loss a single
    /// round trip fails in 19 of 100 cases.
    pub second_probe: bool,
    /// Time from suspicion to death in fleets of up to 9 instances; larger fleets multiply it
    /// by log10(n + 1).
    pub suspicion_base: Duration,
    /// Time between two rounds of datagrams that carry only updates. They are sent while
    /// updates wait; probes alone take about 6 s to reach 350 instances.
    pub gossip_interval: Duration,
    /// Number of instances that a round of updates goes to.
    pub gossip_fanout: usize,
    /// Each update is sent this many times log2(n + 1).
    pub retransmit_factor: u32,
    /// Largest encoded message in a datagram, bytes. Leaves 64 bytes for the envelope.
    pub message_limit: usize,
    /// Delay of its own timer after which the process counts as paused.
    pub pause_limit: Duration,
    /// Time between two probes of instances that are listed but not live.
    pub reconnect_interval: Duration,
    /// Time after which a peer with another digest is asked again; if neither digest changed,
    /// full states are exchanged. News reaches 350 instances in about half of it.
    pub sync_delay: Duration,
    /// Least time between two exchanges of full states that this instance starts.
    pub sync_interval: Duration,
    /// Time for which a dead instance outside the list is remembered.
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
