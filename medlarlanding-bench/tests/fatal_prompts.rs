//! Prompts of the product's own interface on which engines end.

mod process_support;

use std::time::Duration;

use medlarlanding_bench::client::{Call, CallResponse};
use medlarlanding_bench::cluster::ClusterParams;
use medlarlanding_bench::stand_ins::engine::{EngineFaults, EngineSettings};

use serde_json::json;

use process_support::{ClusterFixture, TIMEOUT, default_credential, prompt};

/// Text in prompts on which engines end.
const FATAL_TEXT: &str = "#fatal";
const ENGINES: usize = 9;
/// Number of prompts with the text, each at another instance than the one before.
const PROMPTS: usize = 8;
/// Time from a fatal prompt to the end of an engine that has answered it with one token.
const SHORT_DELAY: Duration = Duration::from_millis(400);
/// Ends of engines after which prompts that share the text must be known.
const CRASH_LIMIT: usize = 5;

/// Returns a prompt that begins with a long text shared with others, and ends with `own`.
fn long_prompt(beginning: &str, own: usize) -> String {
    format!("{beginning} {} {} item {own}", "common terms of the desk ".repeat(20), prompt(20))
}

fn call(beginning: &str, own: usize, delivery: &str) -> Call {
    let body = json!({"prompt": long_prompt(beginning, own), "delivery": delivery});
    Call::post("/v1/desks/fitment/generations", &body).bearer(&default_credential())
}

async fn send(fixture: &ClusterFixture, instance: usize, call: &Call) -> Option<CallResponse> {
    // An answer that breaks off is expected when an engine ends.
    fixture.client.call(fixture.target(instance), call, TIMEOUT).await.ok()
}

/// Guards against prompts that end one engine after the other: with restarts on further engines, with
/// new requests at any instance, and after an instance has restarted.
///
/// Prompts begin with `beginning`. Those that begin like the fatal ones prefer the same engines, and a
/// restarted instance does not know which of them have ended, so such a request may take some `tries`.
/// Engines end `end_delay` after they got a fatal prompt, which they answer meanwhile.
async fn check_ended_engines(delivery: &str, beginning: &str, tries: usize, end_delay: Duration) {
    let engines = vec![EngineSettings::default(); ENGINES];
    let params = ClusterParams { engines, ..ClusterParams::default() };
    let mut fixture = ClusterFixture::start(params).await;
    let faults = EngineFaults {
        die_on: Some(FATAL_TEXT.to_owned()),
        die_after_ms: Some(end_delay.as_millis() as u64),
        ..EngineFaults::default()
    };
    fixture.cluster.engines.iter().for_each(|engine| engine.set_faults(&faults));
    let length = if end_delay.is_zero() { "" } else { " #tokens=1 " };
    let fatal_beginning = format!("{beginning}{FATAL_TEXT}{length}");
    let sound = send(&fixture, 0, &call(beginning, 1, delivery)).await.expect("an answer");
    assert_eq!(sound.status, 200);
    let ended = |fixture: &ClusterFixture| {
        fixture.cluster.engines.iter().filter(|engine| engine.has_died()).count()
    };
    let instances = fixture.cluster.instances.len();
    for number in 0..PROMPTS {
        let fatal = call(&fatal_beginning, number, delivery);
        send(&fixture, number % instances, &fatal).await;
        // Instances hear of an end within the time that a configuration takes. The end of an engine that
        // has completed its answer is noticed a second later.
        let notice = if end_delay.is_zero() { Duration::ZERO } else { Duration::from_secs(1) };
        ntex::time::sleep(Duration::from_millis(300) + end_delay + notice).await;
    }
    let count = ended(&fixture);
    assert!(count <= CRASH_LIMIT, "{count} of {ENGINES} engines ended");
    fixture.cluster.instances[0].kill();
    fixture.cluster.instances[0].start().expect("a start");
    let client = fixture.client.clone();
    fixture.cluster.wait_ready(&client).await.expect("readiness");
    ntex::time::sleep(Duration::from_secs(3)).await;
    send(&fixture, 0, &call(&fatal_beginning, 100, delivery)).await;
    assert_eq!(ended(&fixture), count, "the restarted instance ended an engine");
    for instance in 0..instances {
        let mut answers = Vec::new();
        for _ in 0..tries {
            let sound = call(beginning, 200 + instance, delivery);
            let answer = send(&fixture, instance, &sound).await.expect("an answer");
            let is_served = answer.status == 200;
            answers.push(answer);
            if is_served {
                break;
            }
        }
        let last = answers.last().map(|answer| answer.status);
        assert_eq!(last, Some(200), "a sound prompt was refused: {answers:?}");
    }
}

#[ntex::test]
async fn fatal_prompts_of_whole_answers_end_few_engines() {
    check_ended_engines("whole", "", 1, Duration::ZERO).await;
}

#[ntex::test]
async fn fatal_prompts_of_streams_end_few_engines() {
    check_ended_engines("stream", "", 1, Duration::ZERO).await;
}

/// Guards against short answers that count as survived although their engines end right after them, as in
/// review case 8.
#[ntex::test]
async fn fatal_prompts_of_short_whole_answers_end_few_engines() {
    check_ended_engines("whole", "", 3, SHORT_DELAY).await;
}

#[ntex::test]
async fn fatal_prompts_of_short_streams_end_few_engines() {
    check_ended_engines("stream", "", 3, SHORT_DELAY).await;
}

/// Guards against a fatal text that is never found because it stands behind the first 8,192 characters,
/// as in review case 5.
#[ntex::test]
async fn fatal_text_far_into_a_prompt_ends_few_engines() {
    let beginning: String = (0..1_100).map(|word| format!("{word:07} ")).collect();
    check_ended_engines("stream", &beginning, 3, Duration::ZERO).await;
}
