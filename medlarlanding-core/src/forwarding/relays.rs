//! Divides the peers of a large fleet into groups, to which changes are sent through relays.
//!
//! Load pattern: with 300 instances and 3,000 servers, some 150 entries change every second and the
//! instance that reads them from the store would send each change 300 times. It sends them to the
//! relays of about as many groups as a group has members. Relays may fail unnoticed for a second, in
//! which engines with 1.5 s of notice leave, so each group has two.
//!
//! Bytes between availability zones are charged, and neighbouring addresses need not be in the same zone.
//! If zones are known, a group lies within one zone. If a zone needs several groups, only the relays of the
//! first one are sent the change; each of them sends it to one relay of every other group, so that the two
//! copies take paths without a common instance.

use std::net::SocketAddr;

use super::messages::{OnwardGroup, PeerMessage, RelayedMessage, ZoneRelayedMessage};
use super::peers::PeerTable;
use super::zone::ZoneKey;
use crate::time::Timestamp;

use indexmap::IndexMap;

/// Parameters of the groups.
#[derive(Clone, Copy, Debug)]
pub struct RelayParams {
    /// Number of peers up to which changes are sent to each peer directly.
    pub direct_limit: usize,
    /// Relays of each group.
    pub relay_count: usize,
    /// Most members of a group if zones are known, so that a zone of 74 instances in four zones is one
    /// group.
    pub zone_group_size: usize,
    /// Most instances of a zone that are reached through the relays of its first group. A datagram of
    /// 4,096 bytes contains 8 bytes for each, beside up to 2,800 bytes of the message.
    pub zone_limit: usize,
}

impl Default for RelayParams {
    fn default() -> Self {
        Self { direct_limit: 24, relay_count: 2, zone_group_size: 24, zone_limit: 120 }
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

/// Groups of one zone, or one group if zones are not known.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayRoute {
    /// Never empty. If there are several, those after the first are reached through the relays of
    /// the first.
    pub groups: Vec<RelayGroup>,
}

impl RelayParams {
    /// Divides all peers into groups, by zone if zones are known.
    pub fn routes(&self, now: Timestamp, peers: &PeerTable) -> Vec<RelayRoute> {
        let mut addresses = peers.addresses();
        if addresses.len() <= self.direct_limit {
            let group = RelayGroup { relays: Vec::new(), members: addresses };
            return vec![RelayRoute { groups: vec![group] }];
        }
        addresses.sort_unstable();
        let own = peers.own_zone();
        if peers.zones().any(|(_, zone)| zone.is_apart(own)) {
            return self.zone_routes(now, peers, addresses);
        }
        // Peers with neighbouring addresses are usually in the same zone.
        let group_count = (addresses.len() as f64).sqrt().ceil() as usize;
        let group_size = addresses.len().div_ceil(group_count);
        let groups = addresses.chunks(group_size).map(|group| self.group(now, peers, group));
        groups.map(|group| RelayRoute { groups: vec![group] }).collect()
    }

    fn zone_routes(
        &self,
        now: Timestamp,
        peers: &PeerTable,
        addresses: Vec<SocketAddr>,
    ) -> Vec<RelayRoute> {
        let mut zones: IndexMap<ZoneKey, Vec<SocketAddr>> = IndexMap::new();
        for address in addresses {
            zones.entry(peers.zone(address)).or_default().push(address);
        }
        let mut routes = Vec::new();
        for (zone, members) in zones {
            if !zone.is_known() || members.len() > self.zone_limit {
                let groups = members.chunks(self.zone_group_size);
                let groups = groups.map(|group| self.group(now, peers, group));
                routes.extend(groups.map(|group| RelayRoute { groups: vec![group] }));
                continue;
            }
            // The strongest instances of the zone are the relays of the first group.
            let relays = self.relays(now, peers, &members);
            let others: Vec<SocketAddr> =
                members.into_iter().filter(|member| !relays.contains(member)).collect();
            let size = others.len().div_ceil(others.len().div_ceil(self.zone_group_size).max(1));
            let mut chunks = others.chunks(size.max(1));
            let first = chunks.next().unwrap_or_default().to_vec();
            if relays.is_empty() {
                let direct = RelayGroup { relays, members: others };
                routes.push(RelayRoute { groups: vec![direct] });
                continue;
            }
            let mut groups = vec![RelayGroup { relays, members: first }];
            groups.extend(chunks.map(|group| self.group(now, peers, group)));
            routes.push(RelayRoute { groups });
        }
        routes
    }

    fn relays(&self, now: Timestamp, peers: &PeerTable, group: &[SocketAddr]) -> Vec<SocketAddr> {
        let mut live: Vec<SocketAddr> =
            group.iter().copied().filter(|address| peers.is_live_peer(now, *address)).collect();
        live.sort_by_key(|address| std::cmp::Reverse(peers.peer_strength(*address)));
        live.truncate(self.relay_count);
        live
    }

    fn group(&self, now: Timestamp, peers: &PeerTable, group: &[SocketAddr]) -> RelayGroup {
        let relays = self.relays(now, peers, group);
        let members = group.iter().copied().filter(|address| !relays.contains(address)).collect();
        RelayGroup { relays, members }
    }
}

impl RelayRoute {
    /// Returns what is sent to whom so that an encoded message reaches all instances of the route:
    /// `None` stands for the message itself.
    pub fn sends(&self, message: &[u8]) -> Vec<(Vec<SocketAddr>, Option<PeerMessage>)> {
        let Some((first, others)) = self.groups.split_first() else { return Vec::new() };
        if first.relays.is_empty() {
            return vec![(first.members.clone(), None)];
        }
        let targets = first.members.clone();
        if others.is_empty() {
            let relayed = RelayedMessage { targets, message: message.to_vec() };
            return vec![(first.relays.clone(), Some(PeerMessage::Relayed(relayed)))];
        }
        let send = |(index, relay): (usize, &SocketAddr)| {
            let onward = others.iter().map(|group| group.onward(index, first.relays.len()));
            let relayed = ZoneRelayedMessage {
                targets: targets.clone(),
                onward: onward.collect(),
                message: message.to_vec(),
            };
            (vec![*relay], Some(PeerMessage::ZoneRelayed(relayed)))
        };
        first.relays.iter().enumerate().map(send).collect()
    }
}

impl RelayGroup {
    /// Returns the part of this group that is reached through the relay with this index of the first
    /// group, which has `count` relays.
    fn onward(&self, index: usize, count: usize) -> OnwardGroup {
        let relays = match self.relays.len() {
            0 => Vec::new(),
            length if length < count => vec![self.relays[index % length]],
            _ => self.relays.iter().copied().skip(index).step_by(count).collect(),
        };
        // The relays pass on to one another too, because each gets the message from one instance only.
        let others = self.relays.iter().filter(|relay| !relays.contains(relay));
        let members = self.members.iter().chain(others).copied().collect();
        OnwardGroup { relays, members }
    }
}
