//! Slow start of an engine of the product's own interface that returns to a running cluster.

mod process_support;

use std::time::{Duration, Instant};

use medlarlanding_bench::client::{Call, OpenResponse};
use medlarlanding_bench::cluster::{ClusterParams, TreeChanges};

use hyper::Method;
use process_support::{ClusterFixture, ResponseReader, TIMEOUT, generation_call};

/// Generations that callers keep open; more than one engine takes.
const OPEN_CALLS: usize = 60;
/// Tokens of each generation.
const TOKENS: u32 = 200;
/// Time after which a ramp without faults ends in any case; a shorter one shows that answers ended it.
const RAMP_TIMEOUT: Duration = Duration::from_secs(9);

/// Returns the sum of a metric over all instances.
async fn metric(fixture: &ClusterFixture, name: &str) -> f64 {
    let mut sum = 0.0;
    for instance in &fixture.cluster.instances {
        let call = Call::new(Method::GET, "/metrics");
        let answer = fixture.client.call(instance.addresses.admin, &call, TIMEOUT).await;
        let text = String::from_utf8_lossy(&answer.expect("the metrics").body).into_owned();
        let values = text.lines().filter_map(|line| line.strip_prefix(name));
        sum += values.filter_map(|value| value.trim().parse::<f64>().ok()).sum::<f64>();
    }
    sum
}

/// Publishes the tree, with the key `slow_start_batch` in all engines if `is_slow` is set.
fn publish(fixture: &ClusterFixture, leaving: &[&str], is_slow: bool) {
    let leaving = leaving.iter().map(|name| (*name).to_owned()).collect();
    let tree = fixture.cluster.tree(&TreeChanges { leaving, ..TreeChanges::default() });
    let tree =
        if is_slow { tree.replace("max_batch:", "slow_start_batch: 32, max_batch:") } else { tree };
    fixture.cluster.platform.set_value("tree", &tree);
}

/// Opens streams at all instances at the same time and checks that each is complete.
async fn send_calls(fixture: &ClusterFixture) {
    let calls = (0..OPEN_CALLS).map(|number| {
        let (client, target) = (fixture.client.clone(), fixture.target(number % 3));
        ntex::rt::spawn(async move {
            let call = generation_call("fitment", TOKENS, "stream");
            match client.open(target, &call, TIMEOUT * 3).await.expect("an answer") {
                OpenResponse::Stream(mut stream) => {
                    let mut reader = ResponseReader::new(TOKENS);
                    reader.read_and_check(&mut stream, u64::from(TOKENS)).await;
                },
                OpenResponse::Complete(answer) => panic!("refused: {answer:?}"),
            }
        })
    });
    for call in calls.collect::<Vec<_>>() {
        call.await.expect("a complete stream");
    }
}

/// Guards against an engine that returns with its whole batch at once where the tree asks for slow start,
/// and against slow start where it does not; in both cases every caller gets its complete answer.
async fn returns_to_cluster(is_slow: bool) {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    publish(&fixture, &["engine-1"], is_slow);
    ntex::time::sleep(Duration::from_millis(2_500)).await;
    publish(&fixture, &[], is_slow);
    let changes = |reason| format!("medlarlanding_pace_changes_total{{reason=\"{reason}\"}}");
    let started_at = Instant::now();
    loop {
        send_calls(&fixture).await;
        let started = metric(&fixture, &changes("started")).await;
        let full = metric(&fixture, &changes("full")).await;
        if !is_slow {
            assert_eq!((started, full), (0.0, 0.0));
            return;
        }
        assert_eq!(started, 1.0);
        if full == 1.0 {
            return;
        }
        assert!(started_at.elapsed() < RAMP_TIMEOUT, "{}", fixture.cluster.logs());
    }
}

#[ntex::test]
async fn engine_with_the_key_starts_slowly() {
    returns_to_cluster(true).await;
}

#[ntex::test]
async fn engine_without_the_key_is_not_limited() {
    returns_to_cluster(false).await;
}
