//! Replay of a fleet in several availability zones: how often updates cross a zone boundary, and how soon
//! they reach all instances when relays fail.

mod zone_fleet;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::{
    PeerDigest, PeerMessage, PeerTable, PeerTableParams, StoreEra, ZoneDuty, ZoneKey,
    ZonePlanParams,
};
use medlarlanding_core::time::Timestamp;

use zone_fleet::{FleetParams, InstanceFault, ZoneFleet, address};

/// Time in which a fleet has learned its hubs and zones.
const SETTLE_MS: u64 = 15_000;
/// The same for a fleet of 300 instances, whose digests are rarer.
const LARGE_SETTLE_MS: u64 = 45_000;

fn fleet(count: u16, zones: u16, is_zoned: bool) -> ZoneFleet {
    let mut fleet = ZoneFleet::new(FleetParams { count, zones, is_zoned });
    fleet.run(if count > 100 { LARGE_SETTLE_MS } else { SETTLE_MS });
    fleet
}

struct ConfigCase {
    count: u16,
    zones: u16,
    is_zoned: bool,
    /// Most texts that cross a zone boundary for one change.
    crossings: usize,
    /// Time after which the change is in force everywhere.
    limit_ms: u64,
}

/// Guards against a configuration whose text crosses zone boundaries once for each instance, and against
/// one that takes effect late because instances wait for one another.
fn config_crosses_once_per_relay(case: ConfigCase) {
    let mut fleet = fleet(case.count, case.zones, case.is_zoned);
    fleet.publish(7);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    let taken = taken.unwrap_or_else(|| panic!("lacking: {:?}", fleet.lacking(7)));
    println!("{} instances: {} crossings, {taken} ms", case.count, fleet.fetched_across);
    assert!(fleet.fetched_across <= case.crossings, "{} crossings", fleet.fetched_across);
    assert!(taken <= case.limit_ms, "{taken} ms");
}

cases! { config_crosses_once_per_relay;
    four_zones_of_74 =>
        ConfigCase { count: 74, zones: 4, is_zoned: true, crossings: 8, limit_ms: 500 },
    four_zones_of_30 =>
        ConfigCase { count: 30, zones: 4, is_zoned: true, crossings: 8, limit_ms: 400 },
    three_zones_of_95 =>
        ConfigCase { count: 95, zones: 3, is_zoned: true, crossings: 6, limit_ms: 600 },
    four_zones_of_300 =>
        ConfigCase { count: 300, zones: 4, is_zoned: true, crossings: 8, limit_ms: 2_000 },
    twelve_zones_of_300 =>
        ConfigCase { count: 300, zones: 12, is_zoned: true, crossings: 24, limit_ms: 2_000 },
    three_zones_of_9 =>
        ConfigCase { count: 9, zones: 3, is_zoned: true, crossings: 6, limit_ms: 800 },
    two_instances_in_each_zone =>
        ConfigCase { count: 8, zones: 4, is_zoned: true, crossings: 8, limit_ms: 800 },
    unknown_zones_fetch_from_anywhere =>
        ConfigCase { count: 74, zones: 4, is_zoned: false, crossings: 71, limit_ms: 1_500 },
    unknown_zones_of_300 =>
        ConfigCase { count: 300, zones: 4, is_zoned: false, crossings: 297, limit_ms: 2_500 },
    one_zone =>
        ConfigCase { count: 74, zones: 1, is_zoned: true, crossings: 0, limit_ms: 1_500 },
}

struct FaultCase {
    fault: InstanceFault,
    /// Number of the relays of each zone that fail.
    relays: usize,
    limit_ms: u64,
}

/// Guards against a zone that gets a configuration late, or not at all, because its relays failed
/// a moment before the change and the hubs do not know it yet.
fn config_is_in_force_although_relays_fail(case: FaultCase) {
    let mut fleet = fleet(74, 6, true);
    let zones: Vec<u16> = (0..6).filter(|zone| fleet.hubs_in(*zone).is_empty()).collect();
    assert!(zones.len() >= 3, "{zones:?} have no hub");
    for zone in zones {
        let relays = fleet.relays(zone);
        assert_eq!(relays.len(), 2);
        relays.iter().take(case.relays).for_each(|relay| fleet.fail(*relay, case.fault));
    }
    fleet.publish(7);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    let taken = taken.unwrap_or_else(|| panic!("lacking: {:?}", fleet.lacking(7)));
    println!("{taken} ms, {} crossings", fleet.fetched_across);
    assert!(taken <= case.limit_ms, "{taken} ms");
}

cases! { config_is_in_force_although_relays_fail;
    one_relay_of_each_zone_is_dead =>
        FaultCase { fault: InstanceFault::Dead, relays: 1, limit_ms: 900 },
    one_relay_of_each_zone_hangs =>
        FaultCase { fault: InstanceFault::Hung, relays: 1, limit_ms: 900 },
    both_relays_are_dead => FaultCase { fault: InstanceFault::Dead, relays: 2, limit_ms: 1_500 },
    both_relays_hang => FaultCase { fault: InstanceFault::Hung, relays: 2, limit_ms: 1_500 },
}

/// Guards against members that wait for a relay which announced a configuration and hung before it served
/// any of them.
#[test]
fn config_is_in_force_although_relays_hang_after_the_announcement() {
    let mut fleet = fleet(74, 4, true);
    let zone = (0..4).find(|zone| fleet.hubs_in(*zone).is_empty()).expect("a zone without a hub");
    let relays = fleet.relays(zone);
    fleet.publish(7);
    let has = |fleet: &ZoneFleet| relays.iter().all(|relay| fleet.version(*relay) == 7);
    fleet.run_until(1_000, has).expect("relays fetch at once");
    // The announcements are under way.
    fleet.run(10);
    relays.iter().for_each(|relay| fleet.fail(*relay, InstanceFault::Hung));
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    let taken = taken.unwrap_or_else(|| panic!("lacking: {:?}", fleet.lacking(7)));
    assert!(taken <= 1_500, "{taken} ms");
}

/// Guards against a zone that relies on relays of hubs which it no longer hears: it has to elect hubs of
/// its own, which read the store, and must not send across the border.
#[test]
fn zone_that_is_cut_off_serves_itself() {
    let mut fleet = fleet(74, 4, true);
    let zone = (0..4).find(|zone| fleet.hubs_in(*zone).is_empty()).expect("a zone without a hub");
    fleet.cut_off(Some(zone));
    fleet.run(3_000);
    assert!(!fleet.hubs_in(zone).is_empty(), "the zone has hubs of its own");
    fleet.publish(7);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    assert!(taken.is_some_and(|taken| taken <= 1_500), "{taken:?} ms");
    fleet.cut_off(None);
    fleet.run(3_000);
    assert!(fleet.hubs_in(zone).is_empty(), "the hubs of the fleet take over again");
    fleet.fetched_across = 0;
    fleet.publish(8);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(8).is_empty());
    assert!(taken.is_some_and(|taken| taken <= 1_000), "{taken:?} ms");
    assert!(fleet.fetched_across <= 8, "{} crossings", fleet.fetched_across);
}

/// Guards against changes that a cut-off zone never gets after the cut, because its members wait for
/// relays that were replaced meanwhile.
#[test]
fn zone_that_was_cut_off_without_the_store_catches_up() {
    let mut fleet = fleet(74, 4, true);
    let zone = (0..4).find(|zone| fleet.hubs_in(*zone).is_empty()).expect("a zone without a hub");
    fleet.cut_off(Some(zone));
    fleet.publish_outside(7, zone);
    fleet.run(4_000);
    assert_eq!(fleet.lacking(7).len(), fleet.members(zone).len());
    fleet.cut_off(None);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    assert!(taken.is_some_and(|taken| taken <= 1_500), "{taken:?} ms");
}

/// Guards against hubs that name different relays, for example because one of them hears less: each zone
/// then has at most the relays of both, and a change is in force as soon as otherwise.
#[test]
fn hubs_that_disagree_only_add_crossings() {
    let mut fleet = fleet(74, 4, true);
    let hubs: Vec<u16> = (0..4).flat_map(|zone| fleet.hubs_in(zone)).collect();
    // The second hub does not hear the first relays of all zones.
    let relays: Vec<u16> = (0..4).filter_map(|zone| fleet.relays(zone).first().copied()).collect();
    fleet.block(relays.iter().map(|relay| (*relay, hubs[1])).collect());
    fleet.run(4_000);
    fleet.publish(7);
    let taken = fleet.run_until(5_000, |fleet| fleet.lacking(7).is_empty());
    assert!(taken.is_some_and(|taken| taken <= 1_000), "{taken:?} ms");
    assert!(fleet.fetched_across <= 16, "{} crossings", fleet.fetched_across);
}

/// Guards against a relay that keeps its part for ever after the hubs have replaced it, or that is
/// not replaced within a second and a half.
#[test]
fn dead_relay_is_replaced() {
    let mut fleet = fleet(74, 4, true);
    let zone = (0..4).find(|zone| fleet.hubs_in(*zone).is_empty()).expect("a zone without a hub");
    let relays = fleet.relays(zone);
    fleet.fail(relays[0], InstanceFault::Dead);
    let replaced = |fleet: &ZoneFleet| {
        let live = fleet.members(zone).into_iter().filter(|member| *member != relays[0]);
        live.filter(|member| fleet.duty(*member) == ZoneDuty::Relay).count() == 2
    };
    fleet.run_until(1_700, replaced).expect("another relay");
    fleet.recover(relays[0]);
    let restored = |fleet: &ZoneFleet| {
        let relaying = fleet.members(zone).into_iter();
        let relaying = relaying.filter(|member| fleet.duty(*member) == ZoneDuty::Relay);
        relaying.collect::<std::collections::BTreeSet<u16>>() == relays.iter().copied().collect()
    };
    fleet.run_until(6_000, restored).expect("the first relays again");
}

struct ChangeCase {
    count: u16,
    zones: u16,
    is_zoned: bool,
    /// Most datagrams that cross a zone boundary for one change.
    crossings: usize,
    /// Most datagrams that one instance sends for one change.
    sends: usize,
}

/// Guards against changes that cross zone boundaries once for each group or instance, against an instance
/// that sends most of the copies, and against instances that miss a change while any other one hangs.
fn change_crosses_once_per_relay(case: ChangeCase) {
    let fleet = fleet(case.count, case.zones, case.is_zoned);
    let sender = fleet.coordinator();
    let delivery = fleet.deliver(sender, &[]);
    let most = delivery.sent.values().copied().max().unwrap_or(0);
    let own = delivery.sent.get(&sender);
    println!("{}: {} crossings, {most} and {own:?} sent", case.count, delivery.crossings);
    assert!(delivery.crossings <= case.crossings, "{} crossings", delivery.crossings);
    assert!(most <= case.sends, "{:?}", delivery.sent);
    assert!(delivery.received.values().all(|copies| *copies <= 2), "{:?}", delivery.received);
    for hung in (0..case.count).filter(|number| *number != sender) {
        let received = fleet.deliver(sender, &[hung]).received;
        let missing = (0..case.count).filter(|number| ![sender, hung].contains(number));
        let missing: Vec<u16> = missing.filter(|number| !received.contains_key(number)).collect();
        assert!(missing.is_empty(), "{missing:?} while {hung} hangs");
    }
}

cases! { change_crosses_once_per_relay;
    change_of_74 =>
        ChangeCase { count: 74, zones: 4, is_zoned: true, crossings: 6, sends: 17 },
    change_of_95 =>
        ChangeCase { count: 95, zones: 3, is_zoned: true, crossings: 4, sends: 20 },
    change_of_300 =>
        ChangeCase { count: 300, zones: 4, is_zoned: true, crossings: 6, sends: 28 },
    change_of_300_in_twelve_zones =>
        ChangeCase { count: 300, zones: 12, is_zoned: true, crossings: 22, sends: 24 },
    change_of_74_in_one_zone =>
        ChangeCase { count: 74, zones: 1, is_zoned: true, crossings: 0, sends: 18 },
    change_of_74_in_unknown_zones =>
        ChangeCase { count: 74, zones: 4, is_zoned: false, crossings: 120, sends: 18 },
    change_of_300_in_unknown_zones =>
        ChangeCase { count: 300, zones: 4, is_zoned: false, crossings: 460, sends: 36 },
}

/// Guards against an upgrade in which instances of the versions before are not heard: their digests end
/// before the history of the store, or before the zone.
#[test]
fn digests_of_the_version_before_are_decoded() {
    let digest = PeerDigest {
        sender: address(1),
        boot: 5,
        sequence: 6,
        strength: 100,
        reaches_store: true,
        config_version: 3,
        servers_revision: 9,
        era: StoreEra::UNSTATED,
        evacuations: 0,
        fleet: None,
        peers: vec![address(3)],
        granted: 8,
        loads: Vec::new(),
        zone: ZoneKey::of("regina"),
    };
    let full = postcard::to_stdvec(&PeerMessage::Digest(digest.clone())).expect("a datagram");
    let decoded = PeerMessage::decode(&full);
    assert_eq!(decoded, Ok(PeerMessage::Digest(digest.clone())));
    let added = postcard::to_stdvec(&(digest.zone, digest.era)).expect("the last fields");
    let without_era = PeerMessage::decode(&full[..full.len() - 1]);
    assert_eq!(without_era, Ok(PeerMessage::Digest(digest.clone())));
    let shortened = PeerMessage::decode(&full[..full.len() - added.len()]);
    let unzoned = PeerDigest { zone: ZoneKey::UNKNOWN, ..digest };
    assert_eq!(shortened, Ok(PeerMessage::Digest(unzoned)));
    assert!(PeerMessage::decode(&[2]).is_err(), "other messages are decoded strictly");
}

/// Guards against plans that do not fit into a datagram.
fn plans_of_a_zone((members, plans): (u16, usize)) {
    let mut table = PeerTable::new(PeerTableParams::default(), address(0), 500, Vec::new())
        .in_zone(ZoneKey::of("regina"));
    for number in 1..=members {
        let digest = PeerDigest {
            sender: address(number),
            boot: 5,
            sequence: 6,
            strength: 100,
            reaches_store: true,
            config_version: 3,
            servers_revision: 9,
            era: StoreEra::UNSTATED,
            evacuations: 0,
            fleet: None,
            peers: Vec::new(),
            granted: 0,
            loads: Vec::new(),
            zone: ZoneKey::of("other"),
        };
        assert!(table.receive(Timestamp::from_millis(1), digest));
    }
    let made = ZonePlanParams::default().plans(Timestamp::from_millis(2), &table);
    assert_eq!(made.len(), plans);
    for plan in made {
        let length = postcard::to_stdvec(&PeerMessage::ZonePlan(plan)).expect("a datagram").len();
        assert!(length <= 4_096, "{length} bytes");
    }
}

cases! { plans_of_a_zone;
    zone_of_two_relays_has_no_plan => (2, 0),
    zone_of_three_has_a_plan => (3, 1),
    largest_zone_with_a_plan => (182, 1),
    zone_that_is_too_large => (183, 0),
}

/// Guards against a fleet of one zone, or without zones, that gets plans.
#[test]
fn single_zone_has_no_relays() {
    for (zones, is_zoned) in [(1, true), (4, false)] {
        let mut fleet = fleet(20, zones, is_zoned);
        fleet.run(2_000);
        assert!((0..20).all(|number| fleet.duty(number) == ZoneDuty::Unassigned));
    }
    assert_eq!(ZoneKey::of(""), ZoneKey::UNKNOWN);
}

struct DigestCase {
    count: u16,
    is_zoned: bool,
    /// Most digests that one hub sends to other zones in four intervals.
    crossings: usize,
}

/// Guards against digests of hubs that cross a zone boundary once for each instance.
fn digests_of_hubs_cross_once_per_zone(case: DigestCase) {
    const INTERVALS: u64 = 16;
    let mut fleet = fleet(case.count, 4, case.is_zoned);
    fleet.sent_across.clear();
    fleet.run(250 * INTERVALS);
    let sent = fleet.sent_across["digest of a hub"];
    println!("{} instances: {sent} digests, {:?}", case.count, fleet.bytes_across);
    let rounds = INTERVALS as usize / 4;
    assert!(sent <= 3 * case.crossings * (rounds + 1), "{sent} digests");
}

cases! { digests_of_hubs_cross_once_per_zone;
    // Three through relays, and one to each of three quarters of the instances.
    digests_of_74 => DigestCase { count: 74, is_zoned: true, crossings: 3 * 3 + 56 },
    digests_of_30 => DigestCase { count: 30, is_zoned: true, crossings: 3 * 3 + 23 },
    digests_of_74_in_unknown_zones =>
        DigestCase { count: 74, is_zoned: false, crossings: 4 * 56 },
}

/// Guards against members that take the hubs for silent, and themselves for hubs, because the digests come
/// through relays that hang.
fn hubs_stay_live_while_relays_hang(hung: usize) {
    let mut fleet = fleet(74, 6, true);
    let hubs =
        |fleet: &ZoneFleet| -> Vec<u16> { (0..6).flat_map(|zone| fleet.hubs_in(zone)).collect() };
    let known = hubs(&fleet);
    for zone in (0..6).filter(|zone| fleet.hubs_in(*zone).is_empty()).collect::<Vec<u16>>() {
        let relays = fleet.relays(zone);
        relays.iter().take(hung).for_each(|relay| fleet.fail(*relay, InstanceFault::Hung));
    }
    let changed = fleet.run_until(5_000, |fleet| hubs(fleet) != known);
    assert_eq!(changed, None, "{known:?} became {:?}", hubs(&fleet));
}

cases! { hubs_stay_live_while_relays_hang;
    hubs_stay_live_while_one_relay_of_each_zone_hangs => 1,
    hubs_stay_live_while_both_relays_of_each_zone_hang => 2,
}

/// Guards against a hub whose death is noticed later because its digests come through relays: peers count as
/// silent after 1.1 s, also without zones.
fn dead_coordinator_is_replaced_in_time(is_zoned: bool) {
    let mut fleet = fleet(74, 4, is_zoned);
    let dead = fleet.coordinator();
    fleet.fail(dead, InstanceFault::Dead);
    let is_replaced =
        |fleet: &ZoneFleet| fleet.coordinators().len() == 1 && fleet.coordinators() != [dead];
    let taken = fleet.run_until(3_000, is_replaced).expect("one coordinator");
    println!("replaced after {taken} ms");
    assert!(taken <= 1_150, "{taken} ms");
}

cases! { dead_coordinator_is_replaced_in_time;
    dead_coordinator_of_zones_is_replaced => true,
    dead_coordinator_of_unknown_zones_is_replaced => false,
}

/// Guards against a zone that was cut off for so long that the others forgot its instances, and is not
/// found again because most digests of hubs go through relays.
#[test]
fn zone_is_found_again_after_a_long_cut() {
    let mut fleet = fleet(74, 4, true);
    let coordinator = fleet.coordinator();
    let zone = (0..4).find(|zone| fleet.hubs_in(*zone).is_empty()).expect("a zone without a hub");
    fleet.cut_off(Some(zone));
    fleet.run(60_000);
    assert_eq!(fleet.coordinators().len(), 2);
    fleet.cut_off(None);
    let is_whole = |fleet: &ZoneFleet| fleet.coordinators() == [coordinator];
    let taken = fleet.run_until(10_000, is_whole).expect("one fleet");
    println!("whole after {taken} ms");
    assert!(taken <= 3_000, "{taken} ms");
}
