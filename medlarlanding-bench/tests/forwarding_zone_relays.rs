//! Changes in a deployment of several availability zones, with real processes.

use std::time::{Duration, Instant};

use medlarlanding_bench::site::{SiteParams, TestSite, ZoneLayout};

use rustix::process::Signal;
use serde_json::json;

/// Enough that changes of servers go through relays.
const INSTANCES: usize = 28;
const ZONE_NAMES: &[(&str, &str)] = &[("z0", ""), ("z1", ""), ("z2", ""), ("z3", "")];
const ZONES: usize = ZONE_NAMES.len();
/// Relays of each zone.
const RELAYS: usize = 2;
/// Longest time from the store's confirmation of a configuration to its effect on every instance.
const CONFIG_LIMIT: Duration = Duration::from_secs(2);
/// Longest time in which a change of a server reaches all instances.
const NOTICE_LIMIT: Duration = Duration::from_millis(500);
/// Customers of a configuration; they make a text of about 60 KB.
const CUSTOMERS: usize = 900;
/// Time after which the plans of former hubs have expired.
const PLAN_LIFETIME: Duration = Duration::from_millis(3_500);
/// Interval between two checks of all instances.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);

fn start() -> TestSite {
    let params =
        SiteParams { instances: INSTANCES, plain_servers: 1, engines: 0, ..SiteParams::default() };
    let layout = ZoneLayout { zones: ZONE_NAMES, is_described: false };
    let site = TestSite::start_in_zones(params, layout).expect("a deployment");
    wait_for_relays(&site);
    // Instances that start take themselves for hubs, and plans of such hubs expire.
    std::thread::sleep(PLAN_LIFETIME);
    wait_for_relays(&site);
    site
}

/// Waits until each zone has two relays; a zone that contains all three hubs has none.
fn wait_for_relays(site: &TestSite) {
    let has_relays = || {
        let counts = (0..ZONES).map(|zone| relays(site, zone).len());
        let without = counts.filter(|count| *count != RELAYS).collect::<Vec<usize>>();
        without.is_empty() || without == [0]
    };
    site.wait_until("two relays in each zone", has_relays).expect("relays");
}

fn relays(site: &TestSite, zone: usize) -> Vec<usize> {
    let is_relay = |index: &usize| site.metric(*index, "forward_zone_relay ") == Some(1.0);
    (0..INSTANCES).filter(|index| index % ZONES == zone).filter(is_relay).collect()
}

/// Publishes a configuration with many customers. Returns its version and the length of its text.
fn publish(site: &mut TestSite) -> (u64, usize) {
    let mut length = 0;
    let version = site.publish_config(|config| {
        let customer = |number: usize| {
            json!({"name": format!("customer-{number}"), "priority": 1,
                "apiKeys": [format!("key-of-customer-{number}")]})
        };
        let customers = config["tenants"].as_array_mut().expect("customers");
        customers.extend((0..CUSTOMERS).map(customer));
        length = config.to_string().len();
    });
    (version, length)
}

/// Waits until a version is in force at all instances but `paused`. Returns the time it took.
fn wait_in_force(site: &TestSite, version: u64, paused: &[usize]) -> Duration {
    let started = Instant::now();
    let mut lacking: Vec<usize> = (0..INSTANCES).filter(|index| !paused.contains(index)).collect();
    site.wait_until("the version in force", || {
        let has =
            |index: usize| site.metric(index, "forward_config_version ") == Some(version as f64);
        lacking.retain(|index| !has(*index));
        std::thread::sleep(CHECK_INTERVAL);
        lacking.is_empty()
    })
    .expect("a version in force");
    started.elapsed()
}

fn bytes_across(site: &TestSite) -> f64 {
    let bytes = |index| site.metric(index, "forward_zone_bytes{kind=\"fetch\"}").unwrap_or(0.0);
    (0..INSTANCES).map(bytes).sum()
}

/// Returns the bytes that instances have sent in answer to fetches.
fn fetched_bytes(site: &TestSite) -> f64 {
    let name = "forward_control_bytes{direction=\"sent\",kind=\"fetch\"}";
    (0..INSTANCES).map(|index| site.metric(index, name).unwrap_or(0.0)).sum()
}

/// Guards against configurations whose whole text crosses a zone boundary once for each instance, and against
/// whole texts that are fetched although only their version changed.
#[test]
fn configuration_crosses_a_border_once_for_each_relay() {
    let mut site = start();
    let before = bytes_across(&site);
    let (version, length) = publish(&mut site);
    let taken = wait_in_force(&site, version, &[]);
    let texts = (bytes_across(&site) - before) / length as f64;
    println!("{texts:.1} texts of {length} bytes crossed a border, in force after {taken:?}");
    assert!(texts <= (ZONES * RELAYS) as f64 + 0.5, "{texts} texts");
    assert!(taken <= CONFIG_LIMIT, "{taken:?}");

    // The next version differs in its number only.
    let (before, before_all) = (bytes_across(&site), fetched_bytes(&site));
    let (version, length) = publish(&mut site);
    wait_in_force(&site, version, &[]);
    let texts = (bytes_across(&site) - before) / length as f64;
    let all = (fetched_bytes(&site) - before_all) / length as f64;
    println!("{texts:.3} texts crossed a border and {all:.3} were fetched for the next version");
    assert!(all <= 0.5, "{all} texts");
}

/// Guards against members that wait for relays which are paused: a configuration has to be in force in time
/// on all others, and on the relays after the pause.
#[test]
fn configuration_is_in_force_while_relays_are_paused() {
    let mut site = start();
    for count in 1..=RELAYS {
        let mut relays = (0..ZONES).map(|zone| relays(&site, zone));
        let relays = relays.find(|relays| !relays.is_empty()).expect("a zone with relays");
        let paused: Vec<usize> = relays.into_iter().take(count).collect();
        assert_eq!(paused.len(), count);
        paused.iter().for_each(|index| site.signal(*index, Signal::STOP).expect("a pause"));
        let (version, _) = publish(&mut site);
        let taken = wait_in_force(&site, version, &paused);
        println!("{count} paused: in force after {taken:?}");
        assert!(taken <= CONFIG_LIMIT, "{taken:?} with {count} relays paused");
        paused.iter().for_each(|index| site.signal(*index, Signal::CONT).expect("a process"));
        wait_in_force(&site, version, &[]);
        wait_for_relays(&site);
    }
}

/// Guards against instances that keep a version for ever because a difference does not fit their text: the store
/// may hold another text of a version than the one in force.
#[test]
fn difference_that_does_not_fit_is_replaced_by_the_text() {
    // There are three hubs, which read the store.
    const RESTARTED: usize = 6;
    let mut site = start();
    let mut text = json!({});
    let version = site.publish_config(|config| text = config.clone());
    wait_in_force(&site, version, &[]);
    text["tenants"][0]["priority"] = json!(2);
    site.state.put("op/config", text.to_string().as_bytes());
    for index in INSTANCES - RESTARTED..INSTANCES {
        site.signal(index, Signal::KILL).expect("a process");
        site.wait_exit(index).expect("an end");
        site.spawn_instance(index).expect("a process");
        site.wait_until("a ready instance", || site.is_ready(index)).expect("readiness");
    }
    let version = site.publish_config(|_| {});
    wait_in_force(&site, version, &[]);
    let refused = (0..INSTANCES)
        .filter(|index| site.log(*index).contains("difference of the configuration from peer"))
        .count();
    println!("{refused} instances were sent a difference that does not fit");
    assert!(refused >= RESTARTED - 3, "{refused} instances");
}

/// Guards against a leaving server that some instances of a zone learn of late because one of the two relays
/// of their zone hangs.
#[test]
fn change_of_a_server_reaches_all_while_relays_are_paused() {
    let site = start();
    // The instances have the same strength, so the relays are those with the lowest addresses.
    let paused: Vec<usize> = (ZONES..2 * ZONES).collect();
    paused.iter().for_each(|index| site.signal(*index, Signal::STOP).expect("a pause"));
    let started = Instant::now();
    site.drain_server("orders-0");
    let mut lacking: Vec<usize> = (0..INSTANCES).filter(|index| !paused.contains(index)).collect();
    site.wait_until("a leaving server", || {
        let is_line = |line: &str| {
            line.contains("server_changed server=orders-0") && line.contains("state=draining")
        };
        lacking.retain(|index| !site.log(*index).lines().any(is_line));
        lacking.is_empty()
    })
    .expect("a leaving server");
    let taken = started.elapsed();
    let relayed = |index| {
        let name = "forward_control_bytes{direction=\"sent\",kind=\"passed_on\"}";
        site.metric(index, name).unwrap_or(0.0)
    };
    let relaying = (0..INSTANCES).filter(|index| !paused.contains(index) && relayed(*index) > 0.0);
    println!("known everywhere after {taken:?}, passed on by {:?}", relaying.collect::<Vec<_>>());
    paused.iter().for_each(|index| site.signal(*index, Signal::CONT).expect("a process"));
    assert!(taken <= NOTICE_LIMIT, "{taken:?}");
}
