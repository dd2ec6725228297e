//! Tests of the groups through which changes reach a large fleet.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    PeerDigest, PeerTable, PeerTableParams, RelayGroup, RelayParams, StoreEra, ZoneKey,
};
use medlarlanding_core::time::Timestamp;

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(1_000_000 + millis)
}

/// Returns the address of an instance; 50 share a zone.
fn address(number: u16) -> SocketAddr {
    SocketAddr::from(([10, (number / 50) as u8, 0, (number % 50) as u8], 7200))
}

/// Returns the table of instance 0 in a fleet. The instances in `silent` have sent no digest.
fn table(count: u16, silent: &[u16]) -> PeerTable {
    let seeds = vec![address(1)];
    let mut table = PeerTable::new(PeerTableParams::default(), address(0), 100, seeds);
    for number in 1..count {
        let digest = PeerDigest {
            sender: address(number),
            boot: 1,
            sequence: 1,
            strength: 100 + number % 7,
            reaches_store: true,
            config_version: 1,
            servers_revision: 1,
            era: StoreEra::UNSTATED,
            evacuations: 0,
            peers: silent.iter().map(|number| address(*number)).collect(),
            granted: 0,
            loads: Vec::new(),
            fleet: None,
            zone: ZoneKey::UNKNOWN,
        };
        if !silent.contains(&number) {
            table.receive(at(0), digest);
        }
    }
    table
}

/// Guards against peers that get no change or get it from several groups, and against an instance
/// that sends each change to the whole fleet.
fn reaches_every_peer_once((count, silent, sends): (u16, &[u16], usize)) {
    let table = table(count, silent);
    let routes = RelayParams::default().routes(at(10), &table);
    assert!(routes.iter().all(|route| route.groups.len() == 1), "zones are not known");
    let groups: Vec<RelayGroup> = routes.into_iter().flat_map(|route| route.groups).collect();
    let reached: Vec<SocketAddr> = groups
        .iter()
        .flat_map(|group| group.relays.iter().chain(&group.members))
        .copied()
        .collect();
    let distinct: BTreeSet<SocketAddr> = reached.iter().copied().collect();
    assert_eq!(reached.len(), distinct.len());
    assert_eq!(distinct, (1..count).map(address).collect());
    let direct = |relays: usize, members: usize| if relays == 0 { members } else { relays };
    let sent: usize =
        groups.iter().map(|group| direct(group.relays.len(), group.members.len())).sum();
    assert!(sent <= sends, "{sent} datagrams for one change");
    for group in groups.iter().filter(|group| !group.relays.is_empty()) {
        assert!(group.relays.iter().all(|relay| table.is_live_peer(at(10), *relay)));
        let weakest = group.relays.iter().map(|relay| table.peer_strength(*relay)).min();
        let live = group.members.iter().filter(|member| table.is_live_peer(at(10), **member));
        let strongest = live.map(|member| table.peer_strength(*member)).max();
        assert!(group.relays.len() < 2 || strongest <= weakest);
    }
}

cases! { reaches_every_peer_once;
    small_fleet_is_sent_each_change_directly => (8, &[], 7),
    fleet_of_95 => (95, &[], 20),
    fleet_of_350 => (350, &[], 38),
    silent_instances_are_no_relays => (95, &[3, 7, 50, 51, 52, 53, 54, 55, 56, 57, 58, 59], 40),
    group_without_a_live_member_is_sent_it_directly =>
        (30, &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12], 24),
}
