//! Tests of the acceptance and distribution of versions at one instance.

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

/// Distributor under test, with the effects that it has produced.
struct TestInstance {
    distributor: ConfigDistributor,
    now: Timestamp,
    /// Number of the last call to the platform.
    calls: HashMap<Subject, u32>,
    /// Revision above which the last call waits for a new one.
    after: HashMap<Subject, u64>,
    fetches: Vec<(InstanceId, Subject, u32)>,
    queries: Vec<(InstanceId, u32)>,
    /// Configuration versions that came into effect, in order.
    configs: Vec<u64>,
    /// Configuration versions that were validated, in order.
    validated: Vec<u64>,
    events: Vec<EventKind>,
}

impl TestInstance {
    fn new(peers: u16, params: DistributionParams) -> Self {
        let identity =
            InstanceIdentity { id: peer(0), incarnation: Incarnation::new(1_800_000_000_000) };
        let distributor = ConfigDistributor::new(params, identity, SmallRng::seed_from_u64(1));
        let mut instance = Self {
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
        instance.input(DistributionInput::Peers { known: known.clone(), live: known });
        instance
    }

    fn input(&mut self, input: DistributionInput) {
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
                    self.input(DistributionInput::Validated { version, accepted });
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
            self.input(DistributionInput::Tick);
        }
        self.now = end;
    }

    fn platform_config(&mut self, revision: u64, text: Arc<str>) {
        let call = self.calls[&Subject::Config];
        let answer = PlatformAnswer::Config { revision, text };
        self.input(DistributionInput::Platform { subject: Subject::Config, call, answer });
    }

    fn message(&mut self, from: u16, message: DistributionMessage) {
        self.input(DistributionInput::Message { from: peer(from), message });
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

    /// Answers all pending fetches as the given peer, with a configuration version.
    fn answer_fetches(&mut self, from: u16, version: u64, text: Arc<str>) {
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

    /// Creates an instance with the given configuration version in effect, after all peers have
    /// answered its query.
    fn current(version: u64, params: DistributionParams) -> Self {
        let mut instance = Self::new(3, params);
        instance.platform_config(version, text(version));
        for from in 1..=3 {
            instance.reply_queries(from, 0);
        }
        assert!(instance.distributor.is_current());
        assert_eq!(instance.version(), version);
        instance
    }
}

fn check_platform_rollback((rule, expected): (VersionRule, u64)) {
    let params = DistributionParams { version_rule: rule, ..DistributionParams::default() };
    let mut instance = TestInstance::current(6, params);
    for _ in 0..3 {
        instance.run(Duration::from_millis(600));
        instance.platform_config(3, text(3));
    }
    assert_eq!(instance.version(), expected);
    // The rollback of the platform is logged once.
    let refusals = instance.events.iter().filter(|&&kind| kind == EventKind::ConfigRefused).count();
    assert_eq!(refusals, 1);
}

cases! { check_platform_rollback;
    /// Guards against a rollback of the instance when the platform returns an old version.
    an_older_version_is_not_accepted => (VersionRule::Monotonic, 6),
    /// Checks that the test above detects a rule that accepts lower versions.
    accepting_the_latest_version_reverts => (VersionRule::Latest, 3),
}

/// Guards against two texts with the same version number that are both in effect.
#[test]
fn another_text_of_the_same_version_is_refused_and_reported() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.run(Duration::from_millis(600));
    instance.platform_config(6, "another".into());
    assert_eq!(instance.configs, [6]);
    assert!(instance.events.contains(&EventKind::ConfigRefused));
}

/// Guards against repeated transfers of a rejected text, and against a rejection that affects the
/// version in effect.
#[test]
fn a_rejected_version_is_not_fetched_again() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.announce(1, 9, &text(9));
    instance.answer_fetches(1, 9, text(9));
    assert_eq!((instance.version(), instance.validated.as_slice()), (6, [6, 9].as_slice()));
    instance.announce(2, 9, &text(9));
    instance.run(Duration::from_secs(3));
    instance.platform_config(9, text(9));
    assert!(instance.fetches.is_empty());
    assert_eq!(instance.validated, [6, 9]);
    instance.announce(2, 10, &text(10));
    instance.answer_fetches(2, 10, text(10));
    assert_eq!(instance.version(), 10);
}

/// Guards against a tight loop of calls. The platform returns a rejected version at once to a call
/// that waits for any version above the one in effect.
#[test]
fn calls_wait_for_more_than_a_rejected_version() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.run(Duration::from_millis(600));
    instance.platform_config(9, text(9));
    assert_eq!(instance.after[&Subject::Config], 9);
}

/// Guards against a start with an old version of the platform while a peer has a newer one.
#[test]
fn a_starting_instance_takes_the_highest_version_of_its_peers() {
    let mut instance = TestInstance::new(3, DistributionParams::default());
    instance.platform_config(3, text(3));
    instance.reply_queries(1, 5);
    assert_eq!(instance.version(), 0);
    instance.run(Duration::from_millis(200));
    instance.reply_queries(2, 6);
    instance.run(Duration::from_secs(1));
    instance.answer_fetches(2, 6, text(6));
    assert_eq!(instance.configs, [6]);
    assert!(instance.distributor.is_current());
}

/// Guards against an instance that never becomes ready because no peer answers.
#[test]
fn without_peers_the_platform_is_taken_after_2_s() {
    let mut instance = TestInstance::new(3, DistributionParams::default());
    instance.platform_config(3, text(3));
    instance.run(Duration::from_millis(1900));
    assert!(!instance.distributor.is_current());
    instance.run(Duration::from_millis(200));
    assert_eq!(instance.configs, [3]);
    assert!(instance.distributor.is_current());
}

/// Guards against a start with the first version that is reported after a query without answers,
/// as other peers may have newer ones. All peers must be queried again.
#[test]
fn after_a_query_without_answers_the_first_contact_repeats_it() {
    let mut instance = TestInstance::new(3, DistributionParams::default());
    instance.run(Duration::from_secs(3));
    assert!(!instance.distributor.is_current());
    instance.queries.clear();
    instance.announce(1, 5, &text(5));
    assert!(instance.fetches.is_empty());
    instance.reply_queries(1, 5);
    instance.reply_queries(2, 7);
    instance.reply_queries(3, 5);
    instance.answer_fetches(2, 7, text(7));
    assert_eq!(instance.configs, [7]);
}

/// Guards against a query that ends before answers that have arrived are read. This happens when
/// the process did not run for a time too short to be detected as a pause.
#[test]
fn a_query_that_ends_late_is_repeated() {
    let mut instance = TestInstance::new(3, DistributionParams::default());
    instance.platform_config(3, text(3));
    instance.run(Duration::from_millis(1000));
    instance.now = instance.now + Duration::from_millis(1900);
    instance.input(DistributionInput::Tick);
    assert_eq!(instance.version(), 0);
    instance.run(Duration::from_millis(200));
    instance.reply_queries(1, 6);
    instance.run(Duration::from_millis(1100));
    instance.answer_fetches(1, 6, text(6));
    assert_eq!(instance.configs, [6]);
}

/// Guards against ages that are rounded down at each instance, so that a list looks newer than it
/// is.
#[test]
fn reported_ages_are_rounded_up() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.now = instance.now + Duration::from_micros(1_500_100);
    let status = instance.distributor.versions().status(instance.now);
    assert_eq!(status.config.age_ms, Some(1501));
}

/// Guards against an instance that reports to be ready without a configuration.
#[test]
fn with_neither_peers_nor_platform_the_instance_is_not_ready() {
    let mut instance = TestInstance::new(3, DistributionParams::default());
    for _ in 0..20 {
        instance.run(Duration::from_millis(500));
        for (subject, call) in std::mem::take(&mut instance.calls) {
            let answer = PlatformAnswer::Unreachable { reason: "down".to_owned() };
            instance.input(DistributionInput::Platform { subject, call, answer });
        }
    }
    assert!(!instance.distributor.is_ready() && !instance.distributor.is_current());
    assert!(instance.events.contains(&EventKind::PlatformUnreachable));
}

/// Guards against an instance that continues after a pause with versions that may be outdated.
#[test]
fn a_paused_instance_asks_again() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.now = instance.now + Duration::from_secs(60);
    instance.queries.clear();
    instance.input(DistributionInput::Paused);
    assert!(!instance.distributor.is_current());
    instance.reply_queries(1, 7);
    instance.reply_queries(2, 6);
    instance.reply_queries(3, 6);
    instance.answer_fetches(1, 7, text(7));
    assert!(instance.distributor.is_current());
    assert_eq!(instance.configs, [6, 7]);
}

/// Guards against a fetch that never ends because its source is paused or dead.
#[test]
fn a_fetch_turns_to_another_holder() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    instance.announce(1, 7, &text(7));
    instance.announce(2, 7, &text(7));
    instance.fetches.clear();
    instance.run(Duration::from_millis(750));
    instance.answer_fetches(2, 7, text(7));
    assert_eq!(instance.version(), 7);
    instance.announce(1, 8, &text(8));
    instance.announce(3, 8, &text(8));
    instance.fetches.clear();
    instance.input(DistributionInput::DeliveryFailed { peer: peer(1) });
    instance.answer_fetches(3, 8, text(8));
    assert_eq!(instance.version(), 8);
}

/// Guards against a version that is not fetched before the next heartbeat. The peer that forwarded
/// a heartbeat may not have the reported version yet, but the watcher that sent it has.
#[test]
fn a_fetch_of_an_older_value_turns_to_another_holder() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    let message = DistributionMessage::Heartbeat {
        watcher: peer(2),
        started: 1,
        number: 1,
        config: 8,
        list: 0,
    };
    instance.message(1, message);
    instance.answer_fetches(1, 7, text(7));
    assert_eq!(instance.version(), 7);
    instance.answer_fetches(2, 8, text(8));
    assert_eq!(instance.configs, [6, 7, 8]);
}

/// Guards against a list that looks newer than it is because a message or an answer arrived late.
#[test]
fn ages_are_counted_back_from_the_question() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
    let call = instance.calls[&Subject::List];
    let started = instance.now;
    instance.now = instance.now + Duration::from_millis(1500);
    let answer = PlatformAnswer::List(list(2));
    instance.input(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(instance.distributor.list_age(instance.now), Some(instance.now.since(started)));
    // The age in an unsolicited report is ignored, because the report may have been delayed.
    instance.now = instance.now + Duration::from_secs(30);
    let fresh = SubjectVersion { version: 2, age_ms: Some(0) };
    let versions = VersionStatus { config: SubjectVersion::default(), list: fresh };
    instance.input(DistributionInput::PeerVersions { from: peer(1), versions, probe_sent: None });
    assert_eq!(instance.distributor.list_age(instance.now), Some(instance.now.since(started)));
    let asked = instance.now - Duration::from_secs(2);
    instance.input(DistributionInput::PeerVersions {
        from: peer(1),
        versions,
        probe_sent: Some(asked),
    });
    assert_eq!(instance.distributor.list_age(instance.now), Some(Duration::from_secs(2)));
    // The result of an earlier call does not confirm the list at the time of the pending call.
    instance.run(Duration::from_secs(3));
    let before = instance.distributor.list_age(instance.now);
    let answer = PlatformAnswer::List(list(2));
    instance.input(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(instance.distributor.list_age(instance.now), before);
}

/// Guards against a list in effect in which an id occurs twice.
#[test]
fn a_list_with_a_repeated_id_is_rejected() {
    let mut instance = TestInstance::current(6, DistributionParams::default());
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
    let call = instance.calls[&Subject::List];
    let answer = PlatformAnswer::List(Arc::new(list));
    instance.input(DistributionInput::Platform { subject: Subject::List, call, answer });
    assert_eq!(instance.distributor.versions().list, 0);
}

#[derive(Clone, Debug)]
enum Step {
    Wait(u16),
    Platform(u64),
    PlatformDown,
    Announce(u16, u64),
    Serve(u64),
    Heartbeat(u16, u64),
    Paused,
    Reply(u16, u64),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let version = u64::arbitrary(g) % 12 + 1;
        let from = u16::arbitrary(g) % 3 + 1;
        match u8::arbitrary(g) % 16 {
            0..3 => Self::Wait(u16::arbitrary(g) % 3000),
            3..6 => Self::Platform(version),
            6 => Self::PlatformDown,
            7..9 => Self::Announce(from, version),
            9..12 => Self::Serve(version),
            12 => Self::Heartbeat(from, version),
            13 => Self::Paused,
            _ => Self::Reply(from, version),
        }
    }
}

/// Returns the configuration versions that came into effect and those that were validated.
fn run_steps(steps: &[Step], params: DistributionParams) -> (Vec<u64>, Vec<u64>) {
    let mut instance = TestInstance::new(3, params);
    for (number, step) in steps.iter().enumerate() {
        match *step {
            Step::Wait(millis) => instance.run(Duration::from_millis(millis.into())),
            Step::Platform(version) => {
                if instance.calls.contains_key(&Subject::Config) {
                    instance.platform_config(version, text(version));
                }
            },
            Step::PlatformDown => {
                for (subject, call) in instance.calls.clone() {
                    let answer = PlatformAnswer::Unreachable { reason: "down".to_owned() };
                    instance.input(DistributionInput::Platform { subject, call, answer });
                }
            },
            Step::Announce(from, version) => instance.announce(from, version, &text(version)),
            Step::Serve(version) => {
                for (to, subject, fetch) in std::mem::take(&mut instance.fetches) {
                    if subject == Subject::Config {
                        let from = (1..=3).find(|&from| peer(from) == to).unwrap_or(1);
                        let payload = Payload::Config(text(version));
                        let mark = VersionMark { version, digest: payload.digest() };
                        let body = ValueBody::Full(payload);
                        instance.message(
                            from,
                            DistributionMessage::Value { number: fetch, mark, age_ms: None, body },
                        );
                    }
                }
            },
            Step::Heartbeat(from, version) => {
                let message = DistributionMessage::Heartbeat {
                    watcher: peer(from),
                    started: 1,
                    number: number as u32,
                    config: version,
                    list: 0,
                };
                instance.message(from, message);
            },
            Step::Paused => instance.input(DistributionInput::Paused),
            Step::Reply(from, version) => instance.reply_queries(from, version),
        }
    }
    (instance.configs, instance.validated)
}

/// Returns whether no version occurs twice. A version that is validated twice was also transferred
/// twice.
fn all_distinct(versions: &[u64]) -> bool {
    versions.iter().collect::<HashSet<_>>().len() == versions.len()
}

fn is_increasing(versions: &[u64]) -> bool {
    versions.windows(2).all(|pair| pair[0] < pair[1])
}

fn rounds() -> u64 {
    let factor = std::env::var("MEDLARLANDING_TEST_FACTOR").ok();
    400 * factor.and_then(|factor| factor.parse().ok()).unwrap_or(1)
}

/// Guards against a version in effect that decreases, and against a version that is transferred
/// twice, under random sequences of inputs.
#[test]
fn versions_only_rise_under_random_inputs() {
    fn property(steps: Vec<Step>) -> bool {
        let (configs, validated) = run_steps(&steps, DistributionParams::default());
        is_increasing(&configs) && all_distinct(&validated)
    }
    println!("seed {SEED}, {} rounds", rounds());
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(60, SEED))
        .tests(rounds())
        .quickcheck(property as fn(Vec<Step>) -> bool);
}

/// Checks that the random inputs detect a rule that accepts lower versions.
#[test]
fn random_inputs_find_the_reversal_of_a_weakened_rule() {
    let mut generator = Gen::from_size_and_seed(60, SEED);
    let reversed = (0..400).any(|_| {
        let steps = Vec::<Step>::arbitrary(&mut generator);
        let params = DistributionParams {
            version_rule: VersionRule::Latest,
            ..DistributionParams::default()
        };
        !is_increasing(&run_steps(&steps, params).0)
    });
    assert!(reversed);
}
