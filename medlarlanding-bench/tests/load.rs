//! Tests of the load generator.

mod process_support;

use std::path::PathBuf;
use std::time::Duration;

use medlarlanding_bench::cluster::ClusterParams;
use medlarlanding_bench::load::{LoadMix, LoadParams, LoadReport, run_load};
use medlarlanding_bench::stand_ins::engine::EngineFaults;

use process_support::{ClusterFixture, TIMEOUT};

fn read_mix(name: &str) -> LoadMix {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("mixes");
    LoadMix::read(&dir.join(format!("{name}.yaml"))).expect("a valid mix")
}

async fn run_mix(fixture: &ClusterFixture, name: &str) -> LoadReport {
    let mix = read_mix(name);
    let params = LoadParams {
        targets: fixture.cluster.targets(),
        services: fixture.cluster.service_addresses(),
        rate: Some(20.0),
        duration: Duration::from_secs(2),
        max_requests: 100,
        seed: 7,
    };
    let run = std::thread::spawn(move || run_load(mix, params));
    let waited = std::time::Instant::now();
    while !run.is_finished() {
        assert!(waited.elapsed() < 3 * TIMEOUT, "the load did not end");
        ntex::time::sleep(Duration::from_millis(20)).await;
    }
    run.join().expect("no panic").expect("a report")
}

/// Guards against mixes that do not parse, and against a load without faults that violates an
/// invariant of the system or leaves requests without a complete response or rejection.
#[ntex::test]
async fn mixes_of_both_deployments_run_without_violations() {
    let fixture = ClusterFixture::start_with_orders(ClusterParams::default()).await;
    for name in ["nile", "consortium"] {
        let report = run_mix(&fixture, name).await;
        assert_eq!(report.violations(), Vec::<String>::new(), "{}", report.markdown());
        assert_eq!(report.unanswered_share(), 0.0, "{}", report.markdown());
        let complete: u64 = report.classes.iter().map(|class| class.complete).sum();
        assert!(complete >= 20, "{}", report.markdown());
        let json = serde_json::to_value(&report).expect("reports are plain data");
        assert_eq!(json["mix"], name);
    }
}

/// Guards against a load generator that does not count generations as lost when the engines forget
/// them, as they do in a crash.
#[ntex::test]
async fn load_reports_forgotten_generations() {
    let fixture = ClusterFixture::start(ClusterParams::default()).await;
    let stop = std::sync::atomic::AtomicBool::new(false);
    let forget = EngineFaults { forget: Some(true), ..EngineFaults::default() };
    let report = std::thread::scope(|scope| {
        let engines = &fixture.cluster.engines;
        scope.spawn(|| {
            while !stop.load(std::sync::atomic::Ordering::Relaxed) {
                std::thread::sleep(Duration::from_millis(100));
                engines.iter().for_each(|engine| engine.set_faults(&forget));
            }
        });
        let params = LoadParams {
            targets: fixture.cluster.targets(),
            services: Vec::new(),
            rate: Some(20.0),
            duration: Duration::from_secs(2),
            max_requests: 100,
            seed: 8,
        };
        let mix = read_mix("consortium");
        let run = scope.spawn(move || run_load(mix, params));
        let report = run.join().expect("no panic").expect("a report");
        stop.store(true, std::sync::atomic::Ordering::Relaxed);
        report
    });
    let review = &report.classes[0];
    let lost = review.rejected.get("generation_lost/ran").copied().unwrap_or(0);
    assert!(lost > 0, "{}", report.markdown());
    assert!(review.token_faults.is_clean(), "{}", report.markdown());
}
