//! Divides the peers of a large fleet into groups, to which changes are sent through relays.
//!
//! Load pattern: with 300 instances and 3,000 servers, some 150 entries change every second and the
//! instance that reads them from the store would send each change 300 times. It sends them to the
//! relays of about as many groups as a group has members. Relays may fail unnoticed for a second, in
//! which engines with 1.5 s of notice leave, so each group has two.

use std::net::SocketAddr;

use super::peers::PeerTable;
use crate::time::Timestamp;

/// Parameters of the groups.
#[derive(Clone, Copy, Debug)]
pub struct RelayParams {
    /// Number of peers up to which changes are sent to each peer directly.
    pub direct_limit: usize,
    /// Relays of each group.
    pub relay_count: usize,
}

impl Default for RelayParams {
    fn default() -> Self {
        Self { direct_limit: 24, relay_count: 2 }
    }
}

/// Peers that get a change from the same relays.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayGroup {
    /// The strongest live members; empty if the members are sent the change directly.
    pub relays: Vec<SocketAddr>,
    /// All other members, including silent ones.
    pub members: Vec<SocketAddr>,
}

impl RelayParams {
    /// Divides all peers into groups. Peers with neighbouring addresses are usually in the same
    /// availability zone and share a group, so that a change crosses zones once for each group.
    pub fn groups(&self, now: Timestamp, peers: &PeerTable) -> Vec<RelayGroup> {
        let mut addresses = peers.addresses();
        if addresses.len() <= self.direct_limit {
            return vec![RelayGroup { relays: Vec::new(), members: addresses }];
        }
        addresses.sort_unstable();
        let group_count = (addresses.len() as f64).sqrt().ceil() as usize;
        let group_size = addresses.len().div_ceil(group_count);
        addresses.chunks(group_size).map(|group| self.group(now, peers, group)).collect()
    }

    fn group(&self, now: Timestamp, peers: &PeerTable, group: &[SocketAddr]) -> RelayGroup {
        let mut live: Vec<SocketAddr> =
            group.iter().copied().filter(|address| peers.is_live_peer(now, *address)).collect();
        live.sort_by_key(|address| std::cmp::Reverse(peers.peer_strength(*address)));
        live.truncate(self.relay_count);
        let members = group.iter().copied().filter(|address| !live.contains(address)).collect();
        RelayGroup { relays: live, members }
    }
}
