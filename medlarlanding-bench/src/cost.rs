//! CPU time and memory of the core per item, as slopes over several sizes.

use std::fmt::Write;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionInput, AdmissionParams, AdmissionRequest,
    ServerCapacity,
};
use medlarlanding_core::config::{ConfigTree, DeliveryMode, DeskObjective, credential_digest};
use medlarlanding_core::generations::{GenerationSession, SessionInput, SessionParams};
use medlarlanding_core::handles::{HandleSigner, hex_text};
use medlarlanding_core::ids::{
    CustomerId, DeskId, Incarnation, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId,
    ZoneId,
};
use medlarlanding_core::orders::{
    OrderCoordinator, OrderEffect, OrderId, OrderInput, OrderParams, OrderResult,
};
use medlarlanding_core::time::Timestamp;
use medlarlanding_core::views::{InstanceEntry, InstanceList, InstanceState, ListVersion};

use anyhow::Context;
use argh::FromArgs;
use serde::Serialize;

use crate::usage::{resident_bytes, thread_cpu_ns};

/// measures CPU time and memory of the core per request, token, engine, customer and order
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "cost")]
pub struct CostOptions {
    /// file for the results as JSON
    #[argh(option)]
    json: Option<PathBuf>,
}

/// Values of one measure at several sizes.
#[derive(Clone, Debug, Serialize)]
pub struct CostSeries {
    /// Name of the measure.
    pub name: &'static str,
    /// Name of the items that the size counts.
    pub size_of: &'static str,
    /// Unit of the values.
    pub unit: &'static str,
    /// Pairs of size and value, in ascending order of size.
    pub points: Vec<(f64, f64)>,
}

impl CostSeries {
    /// Fits a line by least squares and returns its slope and its value at size 0.
    pub fn line(&self) -> (f64, f64) {
        let count = self.points.len() as f64;
        let mean =
            |value: fn(&(f64, f64)) -> f64| self.points.iter().map(value).sum::<f64>() / count;
        let (mean_size, mean_value) = (mean(|point| point.0), mean(|point| point.1));
        let product: f64 =
            self.points.iter().map(|(size, value)| (size - mean_size) * (value - mean_value)).sum();
        let square: f64 = self.points.iter().map(|(size, _)| (size - mean_size).powi(2)).sum();
        let slope = product / square;
        (slope, mean_value - slope * mean_size)
    }
}

/// Runs the subcommand.
///
/// # Errors
///
/// Fails if the results cannot be written.
pub fn run(options: CostOptions) -> anyhow::Result<()> {
    // The measurements of memory come first, because later ones reuse freed memory, which would
    // hide growth.
    let mut all = measure_customers();
    all.extend(measure_claims());
    all.push(measure_tokens());
    all.push(measure_requests());
    all.push(measure_engines());
    println!("{}", markdown(&all));
    if let Some(path) = &options.json {
        let json = serde_json::to_string_pretty(&all)?;
        std::fs::write(path, json).with_context(|| path.display().to_string())?;
    }
    Ok(())
}

/// Formats the series as a Markdown table.
pub fn markdown(all: &[CostSeries]) -> String {
    let mut text = String::from("| measure | unit | points (size: value) | slope per | slope |\n");
    text.push_str("|---|---|---|---|---|\n");
    for series in all {
        let points: Vec<_> =
            series.points.iter().map(|(size, value)| format!("{size}: {value:.1}")).collect();
        let (slope, _) = series.line();
        let CostSeries { name, unit, size_of, .. } = series;
        let _ =
            writeln!(text, "| {name} | {unit} | {} | {size_of} | {slope:.4} |", points.join(", "));
    }
    text
}

/// Returns the CPU time since `start` in µs.
fn cpu_micros_since(start: u64) -> f64 {
    (thread_cpu_ns() - start) as f64 / 1000.0
}

/// Returns the text of a configuration tree with `count` customers.
fn customer_tree(count: usize) -> String {
    let mut text = String::from("customers:\n");
    for number in 0..count {
        let hex = hex_text(&credential_digest(&format!("credential-{number}")));
        let _ = writeln!(text, "  c{number}: {{ credential_digest: {hex} }}");
    }
    text
}

fn measure_customers() -> Vec<CostSeries> {
    let sizes = [1000, 2000, 4000, 8000];
    let mut time = empty_series("configuration parse", "customer", "µs of CPU");
    let mut memory = empty_series("configuration in memory", "customer", "bytes resident");
    for size in sizes {
        let text = customer_tree(size);
        let before = resident_bytes();
        let start = thread_cpu_ns();
        let tree = ConfigTree::parse(&text).expect("the tree is valid");
        time.points.push((size as f64, cpu_micros_since(start)));
        memory.points.push((size as f64, resident_bytes().saturating_sub(before) as f64));
        // The tree is kept until the end, so that the next size cannot reuse its memory.
        std::mem::forget(tree);
    }
    vec![time, memory]
}

fn measure_tokens() -> CostSeries {
    let mut series = empty_series("generation session", "token", "µs of CPU");
    for size in [1_000_000u64, 2_000_000, 4_000_000, 8_000_000] {
        let start = thread_cpu_ns();
        let mut session = GenerationSession::new(
            request_id(1),
            DeliveryMode::Stream,
            Timestamp::from_millis(u64::MAX / 2000),
            SessionParams::default(),
        );
        let mut effects = Vec::new();
        let now = Timestamp::from_millis(1);
        session.handle(now, SessionInput::Start { server: ServerId(1) }, &mut effects);
        let generation = "g".to_owned();
        let attached =
            SessionInput::Attached { exchange: 1, echo: None, generation, attachment: 1 };
        session.handle(now, attached, &mut effects);
        for seq in 1..=size {
            let token = SessionInput::Token {
                exchange: 1,
                generation: "g".to_owned(),
                attachment: 1,
                seq,
                text: "token ".to_owned(),
            };
            effects.clear();
            session.handle(now + Duration::from_millis(seq), token, &mut effects);
            assert_eq!(effects.len(), 1, "each token is delivered");
        }
        series.points.push((size as f64, cpu_micros_since(start)));
    }
    series
}

fn measure_requests() -> CostSeries {
    let mut series = empty_series("admission of a request", "request", "µs of CPU");
    for size in [10_000u64, 20_000, 40_000, 80_000] {
        let mut controller = controller(24);
        let mut effects = Vec::new();
        let start = thread_cpu_ns();
        for number in 1..=size {
            let now = Timestamp::from_millis(10 + number);
            effects.clear();
            let request = Box::new(admission_request(number, now, 24));
            controller.handle(now, AdmissionInput::Request(request), &mut effects);
            let granted =
                effects.iter().any(|effect| matches!(effect, AdmissionEffect::Granted { .. }));
            assert!(granted, "an idle fleet grants at once");
            let request = request_id(number);
            let finished = AdmissionInput::Finished { request, decoded: 100, natural_end: true };
            controller.handle(now, finished, &mut effects);
        }
        series.points.push((size as f64, cpu_micros_since(start)));
    }
    series
}

fn measure_engines() -> CostSeries {
    let mut series =
        empty_series("admission without requests, per second", "managed engine", "µs of CPU");
    // The kernel accounts CPU time in ticks of 4 ms, so each size is run for a long virtual time.
    const SECONDS: u64 = 3600;
    for size in [25, 50, 100, 200] {
        let mut controller = controller(size);
        let mut effects = Vec::new();
        let start = thread_cpu_ns();
        let end = Timestamp::from_millis(SECONDS * 1000);
        let mut now = Timestamp::from_millis(10);
        while now < end {
            effects.clear();
            controller.handle(now, AdmissionInput::Tick, &mut effects);
            let next = controller.next_wakeup().unwrap_or(end);
            now = next.max(now + Duration::from_millis(1));
        }
        series.points.push((f64::from(size), cpu_micros_since(start) / SECONDS as f64));
    }
    series
}

/// Three order coordinators whose messages are delivered without delay.
struct OrderFleet {
    now: Timestamp,
    coordinators: Vec<OrderCoordinator>,
    identities: Vec<InstanceIdentity>,
}

impl OrderFleet {
    fn new() -> Self {
        let identities: Vec<_> = (0..3)
            .map(|number| InstanceIdentity {
                id: InstanceId::from_name(&format!("entry-{number}")),
                incarnation: Incarnation::new(1),
            })
            .collect();
        let entries = identities.iter().enumerate().map(|(number, identity)| InstanceEntry {
            id: identity.id,
            name: format!("entry-{number}"),
            zone: ZoneId(number as u64),
            state: InstanceState::Live,
            udp: ([127, 0, 0, 1], 1).into(),
            tcp: ([127, 0, 0, 1], 1).into(),
        });
        let list = InstanceList { version: ListVersion(1), entries: entries.collect() };
        let params =
            OrderParams { empty_start_delay: Duration::from_secs(1), ..OrderParams::default() };
        let signer = HandleSigner::new("0123456789abcdef");
        let coordinators = identities
            .iter()
            .map(|&own| OrderCoordinator::new(params.clone(), own, signer.clone(), own.id.0))
            .collect();
        let mut fleet = Self { now: Timestamp::from_millis(1), coordinators, identities };
        let list = Arc::new(list);
        for number in 0..3 {
            let view = OrderInput::View {
                list: list.clone(),
                live: fleet.identities.clone(),
                list_age: Duration::ZERO,
            };
            fleet.input(number, view);
        }
        for _ in 0..100 {
            fleet.advance(Duration::from_millis(200));
        }
        fleet
    }

    fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        for number in 0..3 {
            self.input(number, OrderInput::Tick);
        }
    }

    fn input(&mut self, number: usize, input: OrderInput) {
        let mut inputs = vec![(number, input)];
        while let Some((number, input)) = inputs.pop() {
            let mut effects = Vec::new();
            self.coordinators[number].handle(self.now, input, &mut effects);
            for effect in effects {
                match effect {
                    OrderEffect::Send { to, message, .. } => {
                        let receiver = self.identities.iter().position(|own| own.id == to);
                        let from = self.identities[number];
                        let message = OrderInput::Message { from, message };
                        inputs.push((receiver.expect("a member of the fleet"), message));
                    },
                    OrderEffect::Run { order, .. } => {
                        inputs.push((number, OrderInput::Sent { order }));
                        let result = OrderResult::Answered { status: 200, body: vec![b'x'; 64] };
                        inputs.insert(0, (number, OrderInput::Finished { order, result }));
                    },
                    _ => {},
                }
            }
        }
    }
}

fn measure_claims() -> Vec<CostSeries> {
    let mut time = empty_series("order at 3 replicas", "order", "µs of CPU");
    let mut memory = empty_series("claims at 3 replicas", "order", "bytes resident");
    let mut fleet = OrderFleet::new();
    let (before, start) = (resident_bytes(), thread_cpu_ns());
    let mut number = 0;
    for size in [10_000u64, 20_000, 40_000, 80_000] {
        while number < size {
            number += 1;
            let submit = OrderInput::Submit {
                order: OrderId(number),
                customer: CustomerId(number % 100),
                desk: DeskId(1),
                key: format!("key-{number}"),
                body_digest: [1; 32],
                deadline: fleet.now + Duration::from_secs(10),
                service_checks_keys: true,
            };
            fleet.input(number as usize % 3, submit);
            if number % 100 == 0 {
                fleet.advance(Duration::from_millis(10));
            }
        }
        time.points.push((size as f64, cpu_micros_since(start)));
        memory.points.push((size as f64, resident_bytes().saturating_sub(before) as f64));
    }
    let claims: usize =
        fleet.coordinators.iter().map(|coordinator| coordinator.dump().claims).sum();
    assert_eq!(claims as u64, 3 * number, "every replica stores every claim");
    vec![time, memory]
}

fn empty_series(name: &'static str, size_of: &'static str, unit: &'static str) -> CostSeries {
    CostSeries { name, size_of, unit, points: Vec::new() }
}

fn request_id(number: u64) -> RequestId {
    RequestId { instance: InstanceId::from_name("entry-0"), started: 1, number }
}

fn controller(engines: u32) -> AdmissionController {
    let own =
        InstanceIdentity { id: InstanceId::from_name("entry-0"), incarnation: Incarnation::new(1) };
    let mut controller = AdmissionController::new(AdmissionParams::default(), own, 1);
    let servers = (0..engines)
        .map(|number| ServerCapacity {
            server: ServerId(u64::from(number)),
            kv_tokens: 500_000,
            max_batch: 256,
            accepting: true,
            slow_start: None,
        })
        .collect();
    let mut effects = Vec::new();
    let now = Timestamp::from_millis(1);
    controller.handle(now, AdmissionInput::Live(vec![own]), &mut effects);
    controller.handle(now, AdmissionInput::Servers(servers), &mut effects);
    // Runs the controller for 10 s, so that its warm-up as a new manager, which takes one lease, is
    // over.
    for tick in 0..100 {
        let now = Timestamp::from_millis(1 + tick * 100);
        controller.handle(now, AdmissionInput::Tick, &mut effects);
    }
    controller
}

fn admission_request(number: u64, now: Timestamp, engines: u32) -> AdmissionRequest {
    AdmissionRequest {
        request: request_id(number),
        route: RouteId(1),
        candidates: (0..engines).map(|number| ServerId(u64::from(number))).collect(),
        customer: CustomerId(number % 100),
        share: 1,
        open_limit: 1000,
        prompt_tokens: 200,
        max_tokens: 1000,
        priority: 5,
        objective: DeskObjective::LeastStall,
        deadline: now + Duration::from_secs(60),
        prefix: None,
    }
}
