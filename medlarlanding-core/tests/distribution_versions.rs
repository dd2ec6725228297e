//! Guards the acceptance and distribution of versions at one instance.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::distribution::{
    ConfigDistributor, DistributionEffect, DistributionInput, DistributionMessage,
    DistributionParams, Payload, PlatformAnswer, Subject, SubjectVersion, ValueBody, VersionMark,
    VersionRule, VersionStatus,
};
use medlarlanding_core::events::EventKind;
use medlarlanding_core::ids::{Incarnation, InstanceId, InstanceIdentity, ZoneId};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};

use quickcheck::{Arbitrary, Gen, QuickCheck};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SEED: u64 = 20_261_204;

fn peer(number: u16) -> InstanceId {
    InstanceId::from_name(&format!("entry-{number}"))
}

fn text(version: u64) -> Arc<str> {
    // Every fifth version is invalid.
    if version % 5 == 4 { "invalid".into() } else { format!("version {version}").into() }
}

fn list(version: u64) -> Arc<InstanceList> {
    Arc::new(InstanceList { version: ListVersion(version), entries: Vec::new() })
}

struct Bench {
    distributor: ConfigDistributor,
    now: Timestamp,
    /// Pending calls and fetches.
    calls: HashMap<Subject, u32>,
    /// Revision that the latest call is to exceed.
    after: HashMap<Subject, u64>,
    fetches: Vec<(InstanceId, Subject, u32)>,
    queries: Vec<(InstanceId, u32)>,
    /// Versions in effect, in order.
    configs: Vec<u64>,
    validated: Vec<u64>,
    events: Vec<EventKind>,
}

impl Bench {
    fn new(peers: u16, params: DistributionParams) -> Self {
        let identity =
            InstanceIdentity { id: peer(0), incarnation: Incarnation::new(1_800_000_000_000) };
        let distributor = ConfigDistributor::new(params, identity, SmallRng::seed_from_u64(1));
        let mut bench = Self {
            distributor,
            now: Timestamp::from_millis(10_000_000),
            calls: HashMap::new(),
            after: HashMap::new(),
            fetches: Vec::new(),
            queries: Vec::new(),
            configs: Vec::new(),
            validated: Vec::new(),
            events: Vec::new(),
        };
        let known: Vec<_> = (1..=peers).map(peer).collect();
        bench.pass(DistributionInput::Peers { known: known.clone(), live: known });
        bench
    }

    fn pass(&mut self, input: DistributionInput) {
        let mut effects = Vec::new();
        self.distributor.handle(self.now, input, &mut effects);
        for effect in effects {
            match effect {
                DistributionEffect::Watch { subject, call, after, .. } => {
                    self.calls.insert(subject, call);
                    self.after.insert(subject, after);
                },
                DistributionEffect::Validate { version, text } => {
                    let accepted = !text.starts_with("invalid");
                    self.validated.push(version);
                    if accepted {
                        self.configs.push(version);
                    }
                    self.pass(DistributionInput::Verdict { version, accepted });
                },
                DistributionEffect::Send { to, message, .. } => match message {
                    DistributionMessage::Query { query } => self.queries.push((to, query)),
                    DistributionMessage::Fetch { subject, number, .. } => {
                        self.fetches.push((to, subject, number));
                    },
                    _ => {},
                },
                DistributionEffect::Event { kind, .. } => self.events.push(kind),
                _ => {},
            }
        }
    }

    fn run(&mut self, duration: Duration) {
        let end = self.now + duration;
        while let Some(at) = self.distributor.next_wakeup().filter(|&at| at <= end) {
            self.now = self.now.max(at);
            self.pass(DistributionInput::Tick);
        }
        self.now = end;
    }

    fn platform_config(&mut self, revision: u64, text: Arc<str>) {
        let call = self.calls[&Subject::Config];
        let answer = PlatformAnswer::Config { revision, text };
        self.pass(DistributionInput::Platform { subject: Subject::Config, call, answer });
    }

    fn message(&mut self, from: u16, message: DistributionMessage) {
        self.pass(DistributionInput::Message { from: peer(from), message });
    }

    fn announce(&mut self, from: u16, version: u64, text: &str) {
        let digest = Payload::Config(text.into()).digest();
        let mark = VersionMark { version, digest };
        self.message(from, DistributionMessage::Announce { subject: Subject::Config, mark });
    }

    fn reply_queries(&mut self, from: u16, config: u64) {
        for (to, query) in std::mem::take(&mut self.queries) {
            if to == peer(from) {
                self.message(from, DistributionMessage::QueryReply { query, config, list: 0 });
            } else {
                self.queries.push((to, query));
            }
        }
    }

    /// Answers the pending fetches of the configuration by a peer.
    fn serve(&mut self, from: u16, version: u64, text: Arc<str>) {
        let payload = Payload::Config(text);
        let mark = VersionMark { version, digest: payload.digest() };
        for (to, _, number) in std::mem::take(&mut self.fetches) {
            assert_eq!(to, peer(from));
            let body = ValueBody::Full(payload.clone());
            let value = DistributionMessage::Value { number, mark, age_ms: Some(0), body };
            self.message(from, value);
        }
    }

    fn version(&self) -> u64 {
        self.distributor.versions().config
    }

    /// Creates an instance that is current at a version.
    fn current(version: u64, params: DistributionParams) -> Self {
        let mut bench = Self::new(3, params);
        bench.platform_config(version, text(version));
        for from in 1..=3 {
            bench.reply_queries(from, 0);
        }
        assert!(bench.distributor.is_current());
        assert_eq!(bench.version(), version);
        bench
    }
}

fn check_old_platform((rule, expected): (VersionRule, u64)) {
    let params = DistributionParams { version_rule: rule, ..DistributionParams::default() };
    let mut bench = Bench::current(6, params);
    for _ in 0..3 {
        bench.run(Duration::from_millis(600));
        bench.platform_config(3, text(3));
    }
    assert_eq!(bench.version(), expected);
    // The operator is told once that the platform went back.
    let told = bench.events.iter().filter(|&&kind| kind == EventKind::ConfigRefused).count();
    assert_eq!(told, 1);
}

cases! { check_old_platform;
    /// Guards against a reversal when the platform goes back to an old version.
    an_older_version_is_not_accepted => (VersionRule::Rising, 6),
    /// Shows that the check fails if lower versions are accepted.
    accepting_the_latest_version_reverts => (VersionRule::Latest, 3),
}

/// Guards against two texts in effect under one number.
#[test]
fn another_text_of_the_same_version_is_refused_and_reported() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.run(Duration::from_millis(600));
    bench.platform_config(6, "another".into());
    assert_eq!(bench.configs, [6]);
    assert!(bench.events.contains(&EventKind::ConfigRefused));
}

/// Guards against endless transfers of a text that was rejected, and against its rejection
/// ending the version in effect.
#[test]
fn a_rejected_version_is_not_fetched_again() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.announce(1, 9, &text(9));
    bench.serve(1, 9, text(9));
    assert_eq!((bench.version(), bench.validated.as_slice()), (6, [6, 9].as_slice()));
    bench.announce(2, 9, &text(9));
    bench.run(Duration::from_secs(3));
    bench.platform_config(9, text(9));
    assert!(bench.fetches.is_empty());
    assert_eq!(bench.validated, [6, 9]);
    bench.announce(2, 10, &text(10));
    bench.serve(2, 10, text(10));
    assert_eq!(bench.version(), 10);
}

/// Guards against a tight loop of calls: the platform returns a rejected version at once to a
/// call that asks for anything above the version in effect.
#[test]
fn calls_wait_for_more_than_a_rejected_version() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.run(Duration::from_millis(600));
    bench.platform_config(9, text(9));
    assert_eq!(bench.after[&Subject::Config], 9);
}

/// Guards against a start with the platform's old version while a peer holds a newer one.
#[test]
fn a_starting_instance_takes_the_highest_version_of_its_peers() {
    let mut bench = Bench::new(3, DistributionParams::default());
    bench.platform_config(3, text(3));
    bench.reply_queries(1, 5);
    assert_eq!(bench.version(), 0);
    bench.run(Duration::from_millis(200));
    bench.reply_queries(2, 6);
    bench.run(Duration::from_secs(1));
    bench.serve(2, 6, text(6));
    assert_eq!(bench.configs, [6]);
    assert!(bench.distributor.is_current());
}

/// Guards against an instance that never gets ready while no peer responds.
#[test]
fn without_peers_the_platform_is_taken_after_2_s() {
    let mut bench = Bench::new(3, DistributionParams::default());
    bench.platform_config(3, text(3));
    bench.run(Duration::from_millis(1900));
    assert!(!bench.distributor.is_current());
    bench.run(Duration::from_millis(200));
    assert_eq!(bench.configs, [3]);
    assert!(bench.distributor.is_current());
}

/// Guards against a late start with the first version that is heard: all peers are asked again
/// once one of them is reached.
#[test]
fn after_a_query_without_answers_the_first_contact_repeats_it() {
    let mut bench = Bench::new(3, DistributionParams::default());
    bench.run(Duration::from_secs(3));
    assert!(!bench.distributor.is_current());
    bench.queries.clear();
    bench.announce(1, 5, &text(5));
    assert!(bench.fetches.is_empty());
    bench.reply_queries(1, 5);
    bench.reply_queries(2, 7);
    bench.reply_queries(3, 5);
    bench.serve(2, 7, text(7));
    assert_eq!(bench.configs, [7]);
}

/// Guards against the end of a query while answers wait to be read: the process was held up,
/// but too briefly to count as paused.
#[test]
fn a_query_that_ends_late_is_repeated() {
    let mut bench = Bench::new(3, DistributionParams::default());
    bench.platform_config(3, text(3));
    bench.run(Duration::from_millis(1000));
    bench.now = bench.now + Duration::from_millis(1900);
    bench.pass(DistributionInput::Tick);
    assert_eq!(bench.version(), 0);
    bench.run(Duration::from_millis(200));
    bench.reply_queries(1, 6);
    bench.run(Duration::from_millis(1100));
    bench.serve(1, 6, text(6));
    assert_eq!(bench.configs, [6]);
}

/// Guards against an age that is cut off at every hop and so makes a list look fresher.
#[test]
fn reported_ages_are_rounded_up() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.now = bench.now + Duration::from_micros(1_500_100);
    let status = bench.distributor.versions().status(bench.now);
    assert_eq!(status.config.age_ms, Some(1501));
}

/// Guards against readiness without any configuration.
#[test]
fn with_neither_peers_nor_platform_the_instance_is_not_ready() {
    let mut bench = Bench::new(3, DistributionParams::default());
    for _ in 0..20 {
        bench.run(Duration::from_millis(500));
        for (subject, call) in std::mem::take(&mut bench.calls) {
            let answer = PlatformAnswer::Unreachable { reason: "down".to_owned() };
            bench.pass(DistributionInput::Platform { subject, call, answer });
        }
    }
    assert!(!bench.distributor.is_ready() && !bench.distributor.is_current());
    assert!(bench.events.contains(&EventKind::PlatformUnreachable));
}

/// Guards against an instance that acts on what it held before a pause.
#[test]
fn a_paused_instance_asks_again() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.now = bench.now + Duration::from_secs(60);
    bench.queries.clear();
    bench.pass(DistributionInput::Woke);
    assert!(!bench.distributor.is_current());
    bench.reply_queries(1, 7);
    bench.reply_queries(2, 6);
    bench.reply_queries(3, 6);
    bench.serve(1, 7, text(7));
    assert!(bench.distributor.is_current());
    assert_eq!(bench.configs, [6, 7]);
}

/// Guards against a fetch that hangs because its source is paused or dead.
#[test]
fn a_fetch_turns_to_another_holder() {
    let mut bench = Bench::current(6, DistributionParams::default());
    bench.announce(1, 7, &text(7));
    bench.announce(2, 7, &text(7));
    bench.fetches.clear();
    bench.run(Duration::from_millis(750));
    bench.serve(2, 7, text(7));
    assert_eq!(bench.version(), 7);
    bench.announce(1, 8, &text(8));
    bench.announce(3, 8, &text(8));
    bench.fetches.clear();
    bench.pass(DistributionInput::Unreached { peer: peer(1) });
    bench.serve(3, 8, text(8));
    assert_eq!(bench.version(), 8);
}

/// Guards against a wait for the next confirmation when the peer that passed one on does not
/// hold the version yet: the watcher does.
#[test]
fn a_fetch_of_an_older_value_turns_to_another_holder() {
    let mut bench = Bench::current(6, DistributionParams::default());
    let message = DistributionMessage::Confirm {
        watcher: peer(2),
        started: 1,
        number: 1,
        config: 8,
        list: 0,
    };
    bench.message(1, message);
    bench.serve(1, 7, text(7));
    assert_eq!(bench.version(), 7);
    bench.serve(2, 8, text(8));
    assert_eq!(bench.configs, [6, 7, 8]);
}

/// Guards against a list that looks fresh because a message or an answer arrived late.
#[test]
fn ages_are_counted_back_from_the_question() {
    let mut bench = Bench::current(6, DistributionParams::default());
    let call = bench.calls[&Subject::List];
    let started = bench.now;
    bench.now = bench.now + Duration::from_millis(1500);
    let answer = PlatformAnswer::List(list(2));
    bench.pass(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(bench.distributor.list_age(bench.now), Some(bench.now.since(started)));
    // An unasked report has no known age, however fresh it claims to be.
    bench.now = bench.now + Duration::from_secs(30);
    let fresh = SubjectVersion { version: 2, age_ms: Some(0) };
    let versions = VersionStatus { config: SubjectVersion::default(), list: fresh };
    bench.pass(DistributionInput::PeerVersions { from: peer(1), versions, asked: None });
    assert_eq!(bench.distributor.list_age(bench.now), Some(bench.now.since(started)));
    let asked = bench.now - Duration::from_secs(2);
    bench.pass(DistributionInput::PeerVersions { from: peer(1), versions, asked: Some(asked) });
    assert_eq!(bench.distributor.list_age(bench.now), Some(Duration::from_secs(2)));
    // The result of an earlier call says nothing about the time of the pending one.
    bench.run(Duration::from_secs(3));
    let before = bench.distributor.list_age(bench.now);
    let answer = PlatformAnswer::List(list(2));
    bench.pass(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(bench.distributor.list_age(bench.now), before);
}

/// Guards against a list in which an id occurs twice.
#[test]
fn a_list_with_a_repeated_id_is_rejected() {
    let mut bench = Bench::current(6, DistributionParams::default());
    let address = SocketAddr::from(([10, 0, 0, 1], 7000));
    let entry = InstanceEntry {
        id: peer(1),
        name: "entry-1".to_owned(),
        zone: ZoneId::from_name("zone"),
        state: InstanceState::Live,
        udp: address,
        tcp: address,
    };
    let entries = vec![entry.clone(), entry];
    let list = InstanceList { version: ListVersion(2), entries };
    let call = bench.calls[&Subject::List];
    let answer = PlatformAnswer::List(Arc::new(list));
    bench.pass(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(bench.distributor.versions().list, 0);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Platform(u64),
    Down,
    Announce(u16, u64),
    Serve(u64),
    Heartbeat(u16, u64),
    Woke,
    Reply(u16, u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = u64::arbitrary(g) % 12 + 1;
        let from = u16::arbitrary(g) % 3 + 1;
        match u8::arbitrary(g) % 16 {
            0..3 => Self::Wait(u16::arbitrary(g) % 3000),
            3..6 => Self::Platform(version),
            6 => Self::Down,
            7..9 => Self::Announce(from, version),
            9..12 => Self::Serve(version),
            12 => Self::Heartbeat(from, version),
            13 => Self::Woke,
            _ => Self::Reply(from, version),
        }
    }
}

fn play(steps: &[Step], params: DistributionParams) -> (Vec<u64>, Vec<u64>) {
    let mut bench = Bench::new(3, params);
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Wait(millis) => bench.run(Duration::from_millis(millis.into())),
            Step::Platform(version) => {
                if bench.calls.contains_key(&Subject::Config) {
                    bench.platform_config(version, text(version));
                }
            },
            Step::Down => {
                for (subject, call) in bench.calls.clone() {
                    let answer = PlatformAnswer::Unreachable { reason: "down".to_owned() };
                    bench.pass(DistributionInput::Platform { subject, call, answer });
                }
            },
            Step::Announce(from, version) => bench.announce(from, version, &text(version)),
            Step::Serve(version) => {
                for (to, subject, fetch) in std::mem::take(&mut bench.fetches) {
                    if subject == Subject::Config {
                        let from = (1..=3).find(|&from| peer(from) == to).unwrap_or(1);
                        let payload = Payload::Config(text(version));
                        let mark = VersionMark { version, digest: payload.digest() };
                        let body = ValueBody::Full(payload);
                        bench.message(
                            from,
                            DistributionMessage::Value { number: fetch, mark, age_ms: None, body },
                        );
                    }
                }
            },
            Step::Heartbeat(from, version) => {
                let message = DistributionMessage::Confirm {
                    watcher: peer(from),
                    started: 1,
                    number: number as u32,
                    config: version,
                    list: 0,
                };
                bench.message(from, message);
            },
            Step::Woke => bench.pass(DistributionInput::Woke),
            Step::Reply(from, version) => bench.reply_queries(from, version),
        }
    }
    (bench.configs, bench.validated)
}

/// Returns whether no version is validated, hence transferred, twice.
fn distinct(versions: &[u64]) -> bool {
    versions.iter().collect::<HashSet<_>>().len() == versions.len()
}

fn rises(versions: &[u64]) -> bool {
    versions.windows(2).all(|pair| pair[0] < pair[1])
}

fn rounds() -> u64 {
    let factor = std::env::var("MEDLARLANDING_TEST_FACTOR").ok();
    400 * factor.and_then(|factor| factor.parse().ok()).unwrap_or(1)
}

/// Guards against a version that goes back under any order of inputs.
#[test]
fn versions_only_rise_under_random_inputs() {
    fn property(steps: Vec<Step>) -> bool {
        let (configs, validated) = play(&steps, DistributionParams::default());
        rises(&configs) && distinct(&validated)
    }
    println!("seed {SEED}, {} rounds", rounds());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(rounds())
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Shows that the random inputs find a reversal if lower versions are accepted.
#[test]
fn random_inputs_find_the_reversal_of_a_weakened_rule() {
    let mut generator = Gen::from_size_and_seed(60, SEED);
    let reversed = (0..400).any(|_| {
        let steps = Vec::<Step>::arbitrary(&mut generator);
        let params = DistributionParams {
            version_rule: VersionRule::Latest,
            ..DistributionParams::default()
        };
        !rises(&play(&steps, params).0)
    });
    assert!(reversed);
}
