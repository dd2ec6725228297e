//! Tests of a store that goes away for a moment and comes back from an older copy, with real instances.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use medlarlanding_bench::site::{
    API_KEY, LinkMode, OldChannels, SiteCall, SiteParams, TestSite, ZoneLayout,
};
use medlarlanding_core::cases;

use hyper::Method;
use rustix::process::Signal;
use serde_json::json;

/// Key that is withdrawn.
const OLD_KEY: &str = "key-2";
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(400);
/// Time within which what is written after a restore is in force, as at any other moment.
const WRITE_LIMIT: Duration = Duration::from_secs(4);
/// Time after which a leaving server gets no requests, from the settings.
const DRAIN_LIMIT: Duration = Duration::from_secs(2);
/// Pause of a caller between two requests.
const CALL_PAUSE: Duration = Duration::from_millis(20);
/// Calls to the store of an instance that watches it: two watches, each repeated at least every 0.4 s.
const CALLS_PER_SECOND: u64 = 10;

const ZONES: ZoneLayout = ZoneLayout {
    zones: &[("giza", "north"), ("regina", "south"), ("luxor", "north")],
    is_described: true,
};

fn start(instances: usize, layout: ZoneLayout) -> TestSite {
    let params = SiteParams { instances, plain_servers: 2, engines: 1, grace_s: 8 };
    TestSite::start_in_zones(params, layout).expect("a deployment")
}

/// Callers that send look-ups to each instance until they are told to stop.
struct CallerCrowd {
    is_over: Arc<AtomicBool>,
    callers: Vec<JoinHandle<Vec<String>>>,
}

impl CallerCrowd {
    fn start(site: &TestSite, instances: std::ops::Range<usize>) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let callers = instances.map(|instance| {
            let (address, is_over) = (site.caller_address(instance), Arc::clone(&is_over));
            std::thread::spawn(move || {
                let mut failures = Vec::new();
                let mut number = 0;
                while !is_over.load(Ordering::Relaxed) {
                    number += 1;
                    let id = format!("lookup-{instance}-{number}");
                    let call = SiteCall::new(Method::GET, "/lookup/a", &id);
                    match call.header("x-deadline-ms", "3000").send(address) {
                        Ok(answer) if answer.status == 200 && answer.is_complete => {},
                        other => failures.push(format!("{id}: {other:?}")),
                    }
                    std::thread::sleep(CALL_PAUSE);
                }
                failures
            })
        });
        Self { callers: callers.collect(), is_over }
    }

    /// Ends the callers. Fails unless all their requests were served.
    fn finish(self, site: &TestSite) {
        self.is_over.store(true, Ordering::Relaxed);
        let failures: Vec<_> =
            self.callers.into_iter().flat_map(|it| it.join().expect("a caller")).collect();
        assert!(failures.is_empty(), "{failures:?}\n{}", site.log(0));
    }
}

/// Returns when look-ups of an instance reached a server, from a time on.
fn arrivals(site: &TestSite, instance: usize, server: &str, from: Instant) -> Vec<Duration> {
    let prefix = format!("lookup-{instance}-");
    let is_meant = |run: &medlarlanding_bench::site::RunRecord| {
        run.server == server && run.request.starts_with(&prefix) && run.at > from
    };
    site.state.runs("").iter().filter(|run| is_meant(run)).map(|run| run.at - from).collect()
}

fn publish_keys(site: &mut TestSite, keys: &[&str]) -> u64 {
    site.publish_config(|config| config["tenants"][0]["apiKeys"] = json!(keys))
}

fn status_with(site: &TestSite, instance: usize, key: &str) -> u16 {
    let call = SiteCall::new(Method::GET, "/lookup/a", "key")
        .header("authorization", &format!("Token {key}"));
    call.send(site.caller_address(instance)).map_or(0, |answer| answer.status)
}

/// Waits until all instances answer requests with the old key with a status. Returns the time it took.
fn wait_for_status(site: &TestSite, instances: usize, status: u16) -> Duration {
    let started = Instant::now();
    for instance in 0..instances {
        let is_answered = || status_with(site, instance, OLD_KEY) == status;
        site.wait_until("a configuration", is_answered).expect("the status");
    }
    started.elapsed()
}

/// Fails if three instances have called the store more often than usual since `from`, when it had counted
/// `before` calls.
fn check_calls(site: &TestSite, before: u64, from: Instant) {
    let (calls, seconds) = (site.state.store_calls() - before, from.elapsed().as_secs() + 1);
    let most = 3 * CALLS_PER_SECOND * seconds + 30;
    assert!(calls < most, "{calls} calls to the store in {seconds} s");
}

/// How the revision of a write after a restore compares with the last one before.
#[derive(Clone, Copy, Debug)]
enum RevisionOrder {
    Below,
    Equal,
    Above,
}

#[derive(Clone, Copy, Debug)]
struct KeyCase {
    channels: OldChannels,
    order: RevisionOrder,
    /// When the operator writes the lost configurations again, after the return of the store.
    written_again: Option<Duration>,
    /// The store is restored a second time before that.
    twice: bool,
}

/// Guards against a key that stays in use after it was withdrawn because the watch of the configuration went
/// on from a revision of a history that the store had left (review case 12).
fn withdrawn_key_is_refused(case: KeyCase) {
    let mut site = start(3, ZoneLayout::default());
    publish_keys(&mut site, &[API_KEY, OLD_KEY]);
    wait_for_status(&site, 3, 200);
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    for _ in 0..2 {
        let version = publish_keys(&mut site, &[API_KEY, OLD_KEY]);
        let accepted = format!("version={version} ");
        let is_accepted = || (0..3).all(|index| site.log(index).contains(&accepted));
        site.wait_until("a configuration", is_accepted).expect("a line");
    }
    let known = site.state.revision();
    let crowd = CallerCrowd::start(&site, 0..3);
    // All instances watch from the last revision by then.
    std::thread::sleep(Duration::from_secs(2));
    let age = marked.elapsed();
    let mut lost = site.state.restore_copy(age, AWAY, case.channels);
    assert!(lost.contains("op/config"));
    if case.twice {
        lost = site.state.restore_copy(marked.elapsed(), AWAY, case.channels);
    }
    let calls = site.state.store_calls();
    let returned = Instant::now();
    if let Some(delay) = case.written_again {
        std::thread::sleep(delay);
        site.state.write_again(&lost);
    }
    let next = match case.order {
        RevisionOrder::Below => 0,
        RevisionOrder::Equal => known,
        RevisionOrder::Above => known + 5,
    };
    site.state.advance_revision(next.saturating_sub(site.state.revision() + 1));
    publish_keys(&mut site, &[API_KEY]);
    let took = wait_for_status(&site, 3, 401);
    assert!(took < WRITE_LIMIT, "{took:?}\n{}", site.log(0));
    std::thread::sleep(Duration::from_secs(1));
    (0..3).for_each(|index| assert_eq!(status_with(&site, index, OLD_KEY), 401));
    check_calls(&site, calls, returned);
    crowd.finish(&site);
}

const KEY_CASE: KeyCase = KeyCase {
    channels: OldChannels::Silent,
    order: RevisionOrder::Equal,
    written_again: Some(Duration::from_millis(50)),
    twice: false,
};

cases! { withdrawn_key_is_refused;
    key_withdrawn_at_the_known_revision => KEY_CASE,
    key_withdrawn_below_the_known_revision => KeyCase {
        order: RevisionOrder::Below, written_again: None, ..KEY_CASE
    },
    key_withdrawn_above_the_known_revision => KeyCase { order: RevisionOrder::Above, ..KEY_CASE },
    key_withdrawn_while_old_channels_answer => KeyCase {
        channels: OldChannels::Stale, ..KEY_CASE
    },
    key_withdrawn_after_two_restores => KeyCase { twice: true, ..KEY_CASE },
    key_withdrawn_after_lost_versions_came_back_late => KeyCase {
        written_again: Some(Duration::from_secs(2)), order: RevisionOrder::Above, ..KEY_CASE
    },
}

/// Change of a server that the restore loses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LostChange {
    /// A server registers.
    Registered,
    /// A server restarts under the id that it had.
    Restarted,
    /// A server reports that it leaves.
    Draining,
    /// The entry of a server that leaves is removed.
    Removed,
    /// A server was in use all the time; its entry changed.
    Rewritten,
}

#[derive(Clone, Copy, Debug)]
struct ServerCase {
    lost: LostChange,
    channels: OldChannels,
    order: RevisionOrder,
    /// When the server writes its entry again, after the return of the store, or its entry lapses.
    written_again: Option<Duration>,
}

/// Guards against a server whose leaving is taken for old news after a restore (review case 13), or undone
/// by it, and against a sound server that is given up because the copy lacks it.
fn servers_are_used_while_they_stay(case: ServerCase) {
    let mut site = start(3, ZoneLayout::default());
    let server = match case.lost {
        LostChange::Registered => "orders-2",
        _ => "orders-1",
    };
    let crowd = CallerCrowd::start(&site, 0..3);
    std::thread::sleep(Duration::from_millis(300));
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    // Whether the server leaves before the store does.
    let mut left_at = None;
    match case.lost {
        LostChange::Registered => drop(site.add_server("orders", 2).expect("a server")),
        LostChange::Restarted => site.restart_server(server),
        LostChange::Rewritten => site.mark_server_cold(server, Duration::from_millis(200)),
        LostChange::Draining => {
            site.drain_server(server);
            left_at = Some(Instant::now());
        },
        LostChange::Removed => {
            site.remove_server(server);
            left_at = Some(Instant::now());
        },
    }
    std::thread::sleep(Duration::from_millis(1_500));
    // The revision goes well above that of the entry.
    site.state.advance_revision(20);
    let known = site.state.revision();
    let lost = site.state.restore_copy(marked.elapsed(), AWAY, case.channels);
    assert!(lost.contains(&format!("servers/{server}")));
    let (returned, calls) = (Instant::now(), site.state.store_calls());
    if let Some(delay) = case.written_again {
        std::thread::sleep(delay);
        site.state.write_again(&lost);
    }
    if case.written_again.is_some() && left_at.is_none() {
        std::thread::sleep(Duration::from_millis(1_500));
        for instance in 0..3 {
            let arrivals = arrivals(&site, instance, server, returned);
            let mut gap = Duration::ZERO;
            let mut last = Duration::ZERO;
            for arrival in arrivals.iter().copied().chain([returned.elapsed()]) {
                gap = gap.max(arrival.saturating_sub(last));
                last = arrival;
            }
            assert!(
                gap < Duration::from_millis(700),
                "{server} got nothing for {gap:?}\n{}",
                site.log(instance)
            );
        }
        let next = match case.order {
            RevisionOrder::Below => 0,
            RevisionOrder::Equal => known,
            RevisionOrder::Above => known + 5,
        };
        site.state.advance_revision(next.saturating_sub(site.state.revision() + 1));
        site.drain_server(server);
        left_at = Some(Instant::now());
    }
    // A server that is never heard of again is gone after its time.
    let limit = left_at.unwrap_or(returned + Duration::from_secs(5)) + DRAIN_LIMIT;
    std::thread::sleep((limit + Duration::from_millis(1_500)).duration_since(Instant::now()));
    for instance in 0..3 {
        let late = arrivals(&site, instance, server, limit);
        assert!(
            late.is_empty(),
            "{server} got {} late requests\n{}",
            late.len(),
            site.log(instance)
        );
    }
    check_calls(&site, calls, returned);
    crowd.finish(&site);
}

const SERVER_CASE: ServerCase = ServerCase {
    lost: LostChange::Registered,
    channels: OldChannels::Silent,
    order: RevisionOrder::Below,
    written_again: Some(Duration::from_millis(1_200)),
};

cases! { servers_are_used_while_they_stay;
    server_registered_in_the_lost_span => SERVER_CASE,
    server_registered_in_the_lost_span_leaves_at_the_known_revision => ServerCase {
        order: RevisionOrder::Equal, ..SERVER_CASE
    },
    server_registered_in_the_lost_span_leaves_above_the_known_revision => ServerCase {
        order: RevisionOrder::Above, ..SERVER_CASE
    },
    server_registered_in_the_lost_span_is_gone => ServerCase { written_again: None, ..SERVER_CASE },
    server_registered_while_old_channels_answer => ServerCase {
        channels: OldChannels::Stale, ..SERVER_CASE
    },
    server_restarted_in_the_lost_span => ServerCase { lost: LostChange::Restarted, ..SERVER_CASE },
    server_rewritten_in_the_lost_span => ServerCase { lost: LostChange::Rewritten, ..SERVER_CASE },
    server_drained_in_the_lost_span => ServerCase { lost: LostChange::Draining, ..SERVER_CASE },
    server_drained_in_the_lost_span_says_so_late => ServerCase {
        lost: LostChange::Draining, written_again: Some(Duration::from_secs(4)), ..SERVER_CASE
    },
    server_removed_in_the_lost_span => ServerCase {
        lost: LostChange::Removed, written_again: Some(Duration::from_secs(3)), ..SERVER_CASE
    },
    server_removed_while_old_channels_answer => ServerCase {
        lost: LostChange::Removed, channels: OldChannels::Stale, ..SERVER_CASE
    },
}

/// What happens to the last instance while the store is away and just after it is back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum InstanceTrouble {
    Starts,
    Paused,
    /// It does not reach the store; the others do.
    CutFromStore,
    /// It does not reach the others; all reach the store.
    CutFromPeers,
    /// All start at the same time.
    AllStart,
}

/// Guards against instances that differ after a restore, because one of them missed it or tells others of
/// the history before.
fn instances_agree_after_a_restore(trouble: InstanceTrouble) {
    const INSTANCES: usize = 4;
    const LAST: usize = INSTANCES - 1;
    let mut site = start(INSTANCES, ZONES);
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    publish_keys(&mut site, &[API_KEY, OLD_KEY]);
    site.add_server("orders", 2).expect("a server");
    site.drain_server("orders-1");
    let drained = Instant::now();
    wait_for_status(&site, INSTANCES, 200);
    std::thread::sleep(Duration::from_millis(1_500));
    match trouble {
        InstanceTrouble::Starts => site.signal(LAST, Signal::KILL).expect("a signal"),
        InstanceTrouble::AllStart => {
            (0..INSTANCES).for_each(|index| site.signal(index, Signal::KILL).expect("a signal"));
        },
        InstanceTrouble::Paused => site.signal(LAST, Signal::STOP).expect("a signal"),
        InstanceTrouble::CutFromStore => site.store_links()[LAST].set(LinkMode::Silent),
        InstanceTrouble::CutFromPeers => {
            site.cut_groups([&[0, 1, 2], &[LAST]]).expect("a cut");
        },
    }
    let lost = site.state.restore_copy(marked.elapsed(), AWAY, OldChannels::Silent);
    let started = match trouble {
        InstanceTrouble::Starts => LAST..INSTANCES,
        InstanceTrouble::AllStart => 0..INSTANCES,
        _ => 0..0,
    };
    for index in started.clone() {
        site.wait_exit(index).expect("an exit");
        site.spawn_instance(index).expect("a process");
    }
    std::thread::sleep(Duration::from_millis(1_000));
    site.state.write_again(&lost);
    std::thread::sleep(Duration::from_millis(1_000));
    match trouble {
        InstanceTrouble::Paused => site.signal(LAST, Signal::CONT).expect("a signal"),
        // The news of the other instances is enough.
        InstanceTrouble::CutFromStore => {},
        InstanceTrouble::CutFromPeers => site.heal_cuts().expect("no cut"),
        InstanceTrouble::Starts | InstanceTrouble::AllStart => {},
    }
    for index in 0..INSTANCES {
        site.wait_until("a ready instance", || site.is_ready(index)).expect("ready");
    }
    let crowd = CallerCrowd::start(&site, 0..INSTANCES);
    std::thread::sleep(Duration::from_millis(500));
    publish_keys(&mut site, &[API_KEY]);
    site.drain_server("orders-0");
    let written = Instant::now();
    let took = wait_for_status(&site, INSTANCES, 401);
    assert!(took < WRITE_LIMIT, "{took:?}\n{}", site.log(LAST));
    std::thread::sleep((written + WRITE_LIMIT).saturating_duration_since(Instant::now()));
    let settled = Instant::now();
    std::thread::sleep(Duration::from_secs(1));
    for instance in 0..INSTANCES {
        for server in ["orders-0", "orders-1"] {
            let late = arrivals(&site, instance, server, settled);
            assert!(late.is_empty(), "{server}: {late:?}\n{}", site.log(instance));
        }
        let used = arrivals(&site, instance, "orders-2", settled);
        assert!(!used.is_empty(), "orders-2 is not used by {instance}\n{}", site.log(instance));
        // Those that knew of its leaving never use it again.
        if !started.contains(&instance) {
            let late = arrivals(&site, instance, "orders-1", drained + DRAIN_LIMIT);
            assert!(late.is_empty(), "orders-1: {late:?}\n{}", site.log(instance));
        }
    }
    crowd.finish(&site);
}

cases! { instances_agree_after_a_restore;
    instance_starts_during_a_restore => InstanceTrouble::Starts,
    all_instances_start_during_a_restore => InstanceTrouble::AllStart,
    instance_is_paused_during_a_restore => InstanceTrouble::Paused,
    instance_is_cut_from_the_store_during_a_restore => InstanceTrouble::CutFromStore,
    instance_is_cut_from_its_peers_during_a_restore => InstanceTrouble::CutFromPeers,
}

/// Guards against a restore after which every instance of a larger fleet reads the store, and against those
/// that do not read it and never learn of what is written again.
#[test]
fn only_hubs_read_the_store_after_a_restore() {
    const INSTANCES: usize = 12;
    /// Hubs, parts of the store, and pages of a part.
    const READS: u64 = 3 * 2 * 2;
    let mut site = start(INSTANCES, ZoneLayout::default());
    publish_keys(&mut site, &[API_KEY, OLD_KEY]);
    wait_for_status(&site, INSTANCES, 200);
    std::thread::sleep(Duration::from_secs(2));
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    site.add_server("orders", 2).expect("a server");
    std::thread::sleep(Duration::from_secs(1));
    let crowd = CallerCrowd::start(&site, 0..INSTANCES);
    let reads = |site: &TestSite| site.state.store_calls() - site.state.watches();
    let before = reads(&site);
    let lost = site.state.restore_copy(marked.elapsed(), AWAY, OldChannels::Silent);
    std::thread::sleep(Duration::from_millis(1_200));
    site.state.write_again(&lost);
    std::thread::sleep(Duration::from_millis(800));
    publish_keys(&mut site, &[API_KEY]);
    site.drain_server("orders-2");
    let limit = Instant::now() + DRAIN_LIMIT;
    let took = wait_for_status(&site, INSTANCES, 401);
    assert!(took < WRITE_LIMIT, "{took:?}");
    std::thread::sleep((limit + Duration::from_secs(1)).saturating_duration_since(Instant::now()));
    for instance in 0..INSTANCES {
        let late = arrivals(&site, instance, "orders-2", limit);
        assert!(late.is_empty(), "orders-2: {late:?}\n{}", site.log(instance));
        let restored = "store_restored known=4 ";
        assert!(site.log(instance).contains(restored), "{}", site.log(instance));
        assert_eq!(site.metric(instance, "forward_store_era"), Some(5.0));
        assert_eq!(site.metric(instance, "forward_store_restores"), Some(1.0));
    }
    let read = reads(&site) - before;
    assert!(read <= READS, "{read} reads, {READS} are enough");
    crowd.finish(&site);
}

/// Guards against an evacuated zone that gets requests because the copy does not show its evacuation.
#[test]
fn evacuated_zone_stays_so_through_a_restore() {
    let site = start(3, ZONES);
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    site.evacuate("giza");
    let limit = Instant::now() + Duration::from_secs(2);
    std::thread::sleep(Duration::from_secs(2));
    let crowd = CallerCrowd::start(&site, 0..3);
    std::thread::sleep(Duration::from_millis(300));
    let lost = site.state.restore_copy(marked.elapsed(), AWAY, OldChannels::Silent);
    assert!(lost.contains("op/evacuate/giza"));
    std::thread::sleep(Duration::from_millis(1_800));
    site.state.write_again(&lost);
    std::thread::sleep(Duration::from_secs(4));
    let late: Vec<_> = site
        .runs_in_evacuated_zones()
        .into_iter()
        .filter(|run| run.evacuated_at + run.after > limit)
        .collect();
    assert!(late.is_empty(), "{late:?}\n{}", site.log(0));
    site.restore("giza");
    let restored = Instant::now();
    let is_used = || !arrivals(&site, 0, "orders-0", restored).is_empty();
    site.wait_until("requests in the restored zone", is_used).expect("a request");
    crowd.finish(&site);
}

/// Guards against an evacuation that nobody writes again and that lasts for ever.
#[test]
fn evacuation_that_is_lost_for_good_ends() {
    let site = start(2, ZONES);
    let marked = Instant::now();
    std::thread::sleep(Duration::from_millis(100));
    site.evacuate("giza");
    std::thread::sleep(Duration::from_secs(2));
    site.state.restore_copy(marked.elapsed(), AWAY, OldChannels::Silent);
    let crowd = CallerCrowd::start(&site, 0..2);
    let returned = Instant::now();
    let is_used = || (0..2).all(|index| !arrivals(&site, index, "orders-0", returned).is_empty());
    site.wait_until("requests in the zone", is_used).expect("a request");
    crowd.finish(&site);
}

/// Guards against instances that do not follow a store of an older platform, which states no history.
#[test]
fn store_without_a_stated_history_is_followed() {
    let mut site = start(1, ZoneLayout::default());
    site.state.state_era(false);
    site.signal(0, Signal::KILL).expect("a signal");
    site.wait_exit(0).expect("an exit");
    site.spawn_instance(0).expect("a process");
    site.wait_until("a ready instance", || site.is_ready(0)).expect("ready");
    publish_keys(&mut site, &[API_KEY, OLD_KEY]);
    wait_for_status(&site, 1, 200);
    // From now on it states it, which voids the revisions known before.
    site.state.state_era(true);
    publish_keys(&mut site, &[API_KEY]);
    let took = wait_for_status(&site, 1, 401);
    assert!(took < WRITE_LIMIT, "{took:?}\n{}", site.log(0));
}
