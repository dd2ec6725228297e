//! One admission controller: local share, late grants, refusals, records, restarts of views.

use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionController, AdmissionEffect, AdmissionInput, AdmissionMessage, AdmissionParams,
    AdmissionRequest, AdoptedWork, DecisionReason, ServerCapacity, ServerStatus, WorkItem,
    WorkStage,
};
use medlarlanding_core::cases;
use medlarlanding_core::config::DeskObjective;
use medlarlanding_core::errors::ErrorKind;
use medlarlanding_core::ids::{
    CustomerId, Incarnation, InstanceId, InstanceIdentity, RequestId, RouteId, ServerId,
};
use medlarlanding_core::rendezvous;
use medlarlanding_core::time::Timestamp;

const OWN: InstanceId = InstanceId(1);

fn instance(id: u64) -> InstanceIdentity {
    InstanceIdentity { id: InstanceId(id), incarnation: Incarnation::new(7) }
}

/// Finds a server whose account manager is the given one of instances 1 and 2.
fn server_of(manager: InstanceId) -> ServerId {
    let managed =
        |&id: &u64| rendezvous::first(id, [InstanceId(1), InstanceId(2)]) == Some(manager);
    ServerId((1..1000).find(managed).expect("some server belongs to each instance"))
}

/// Instance 1 of two, with one server that instance `manager` manages.
struct Bench {
    controller: AdmissionController,
    server: ServerId,
    now: Timestamp,
    effects: Vec<AdmissionEffect>,
}

impl Bench {
    fn new(manager: u64) -> Self {
        let params = AdmissionParams::default();
        let server = server_of(InstanceId(manager));
        let mut bench = Self {
            controller: AdmissionController::new(params, instance(1), 5),
            server,
            now: Timestamp::from_millis(1000),
            effects: Vec::new(),
        };
        bench.input(AdmissionInput::Live(vec![instance(1), instance(2)]));
        bench.servers(true);
        // The customer's manager is another matter; its silence ends after one lease.
        bench.wait(4000);
        bench.effects.clear();
        bench
    }

    fn servers(&mut self, accepting: bool) {
        let server = self.server;
        let capacity = ServerCapacity { server, kv_tokens: 100_000, max_batch: 8, accepting };
        self.input(AdmissionInput::Servers(vec![capacity]));
    }

    fn input(&mut self, input: AdmissionInput) {
        self.controller.handle(self.now, input, &mut self.effects);
    }

    fn wait(&mut self, millis: u64) {
        let end = self.now + Duration::from_millis(millis);
        while let Some(next) = self.controller.next_wakeup().filter(|&next| next <= end) {
            self.now = self.now.max(next);
            self.input(AdmissionInput::Tick);
        }
        self.now = end;
    }

    fn request(&mut self, number: u64, deadline_ms: u64) -> RequestId {
        let request = RequestId { instance: OWN, started: 7, number };
        let deadline = self.now + Duration::from_millis(deadline_ms);
        self.input(AdmissionInput::Request(Box::new(AdmissionRequest {
            request,
            route: RouteId(1),
            candidates: vec![self.server],
            customer: CustomerId(1),
            share: 1,
            open_limit: 100,
            prompt_tokens: 50,
            max_tokens: 100,
            priority: 5,
            objective: DeskObjective::LeastStall,
            deadline,
            prefix: None,
        })));
        request
    }

    /// Gets the numbers of the messages that asked instance 2 for a permit.
    fn asked(&self, number: u64) -> Vec<u64> {
        let waits = |effect: &AdmissionEffect| match effect {
            AdmissionEffect::Send {
                message: AdmissionMessage::Report { seq, items, .. }, ..
            } => items
                .iter()
                .any(|item| item.number == number && item.stage != WorkStage::Running)
                .then_some(*seq),
            _ => None,
        };
        self.effects.iter().filter_map(waits).collect()
    }

    fn granted(&self) -> Option<(ServerId, Timestamp)> {
        self.effects.iter().find_map(|effect| match effect {
            AdmissionEffect::Granted { server, start_by, .. } => Some((*server, *start_by)),
            _ => None,
        })
    }

    fn refused(&self) -> Option<ErrorKind> {
        self.effects.iter().find_map(|effect| match effect {
            AdmissionEffect::Refused { kind, .. } => Some(*kind),
            _ => None,
        })
    }

    fn status(&self) -> ServerStatus {
        let server = self.server;
        ServerStatus { server, load_permille: 100, queued: 1, wait_ms: 50, open: true }
    }

    fn deliver(&mut self, message: AdmissionMessage) {
        self.input(AdmissionInput::Message { from: instance(2), message });
    }

    fn reason(&self) -> DecisionReason {
        self.controller.dump().decisions.last().expect("a decision is recorded").reason
    }
}

/// Guards against requests that wait for a manager that cannot be reached, and against a local
/// share that is not conservative: a quarter of the batch of 8 for one of two instances.
#[test]
fn unreachable_manager_leaves_local_share() {
    let mut bench = Bench::new(2);
    for number in 1..=5 {
        bench.request(number, 60_000);
    }
    bench.wait(1000);
    let granted =
        bench.effects.iter().filter(|e| matches!(e, AdmissionEffect::Granted { .. })).count();
    assert_eq!(granted, 2);
    assert_eq!(bench.reason(), DecisionReason::LocalShare);
    assert_eq!(bench.controller.dump().unreachable, [InstanceId(2)]);
}

/// Guards against a wait for the manager that is longer than the stated 150 ms twice: once for
/// the customer's limit and once for the permit.
#[test]
fn unreachable_manager_delays_by_reply_timeout() {
    let mut bench = Bench::new(2);
    bench.request(1, 60_000);
    bench.wait(301);
    assert!(bench.granted().is_some());
}

/// Guards against a start after the lease that the manager counts: the time to start is bound
/// to the message that the manager had heard, not to the grant's arrival.
#[test]
fn grant_is_bound_to_message_it_names() {
    let mut bench = Bench::new(2);
    // A reachable manager with a queue.
    let status = bench.status();
    bench.deliver(AdmissionMessage::Status { seq: 0, servers: vec![status] });
    bench.request(1, 60_000);
    bench.wait(160);
    let seq = *bench.asked(1).first().expect("the manager is asked");
    let asked_at = bench.now;
    bench.deliver(AdmissionMessage::Status { seq, servers: vec![status] });
    bench.wait(2000);
    assert_eq!(bench.granted(), None, "queued requests wait");
    bench.deliver(AdmissionMessage::Grant { heard: seq, number: 1, status });
    let (_, start_by) = bench.granted().expect("the grant is in time");
    assert!(start_by <= asked_at + Duration::from_secs(3));
}

/// Guards against an instance that acts on a grant from before its pause.
#[test]
fn late_grant_is_asked_for_again() {
    let mut bench = Bench::new(2);
    let status = bench.status();
    bench.deliver(AdmissionMessage::Status { seq: 0, servers: vec![status] });
    bench.request(1, 60_000);
    bench.wait(160);
    let seq = *bench.asked(1).first().expect("the manager is asked");
    bench.deliver(AdmissionMessage::Status { seq, servers: vec![status] });
    bench.now = bench.now + Duration::from_secs(8);
    bench.effects.clear();
    bench.deliver(AdmissionMessage::Grant { heard: seq, number: 1, status });
    assert_eq!(bench.granted(), None);
    let fresh = *bench.asked(1).last().expect("the manager is asked again");
    bench.deliver(AdmissionMessage::Grant { heard: fresh, number: 1, status });
    assert!(bench.granted().is_some());
}

/// Guards against permits that nobody holds: a grant for an unknown request is given back.
#[test]
fn unwanted_grant_is_released() {
    let mut bench = Bench::new(2);
    let status = bench.status();
    bench.deliver(AdmissionMessage::Grant { heard: 1, number: 99, status });
    let released = bench.effects.iter().any(|effect| {
        matches!(effect, AdmissionEffect::Send { message: AdmissionMessage::Release { items, .. }, .. }
            if items[0].number == 99)
    });
    assert!(released);
}

/// Guards against refusals after the deadline and wrong kinds of refusals.
fn check_refusal((prepare, deadline_ms, kind): (fn(&mut Bench), u64, ErrorKind)) {
    let mut bench = Bench::new(2);
    prepare(&mut bench);
    bench.effects.clear();
    bench.request(1000, deadline_ms);
    bench.wait(deadline_ms.saturating_sub(1));
    assert_eq!(bench.refused(), Some(kind));
    assert_eq!(
        bench.controller.dump().open.iter().filter(|o| o.record.request.number == 1000).count(),
        0
    );
}

fn leave_server(bench: &mut Bench) {
    bench.servers(false);
}

fn suspect_server(bench: &mut Bench) {
    bench.input(AdmissionInput::ServerSuspect(bench.server));
}

fn fill_local_share(bench: &mut Bench) {
    for number in 1..=2 {
        bench.request(number, 60_000);
    }
    bench.wait(1000);
}

cases! { check_refusal;
    leaving_server_is_no_candidate => (leave_server, 60_000, ErrorKind::NoBackend),
    suspected_server_is_no_candidate => (suspect_server, 4000, ErrorKind::NoBackend),
    full_local_share_is_refused_before_deadline => (fill_local_share, 2000, ErrorKind::Overloaded),
}

/// Guards against accounts of a single instance that wait for others, and against a decision
/// that the dump does not explain.
#[test]
fn own_account_grants_without_messages() {
    let mut bench = Bench::new(1);
    bench.input(AdmissionInput::Live(vec![instance(1)]));
    bench.wait(4000);
    bench.effects.clear();
    let request = bench.request(1, 60_000);
    assert_eq!(bench.granted().map(|granted| granted.0), Some(bench.server));
    let dump = bench.controller.dump();
    let record = dump.decisions.last().expect("a decision is recorded");
    assert_eq!((record.request, record.chosen), (request, Some(bench.server)));
    assert_eq!(record.asked, [bench.server]);
    assert_eq!(record.candidates.len(), 1);
    assert_eq!(dump.accounts[0].permits.len(), 1);
    postcard::to_stdvec(&dump.decisions).expect("the dump serialises");
    bench.input(AdmissionInput::Finished { request, decoded: 20, whole: true });
    assert_eq!(bench.controller.dump().accounts[0].permits.len(), 0);
    assert_eq!(bench.controller.open_requests(), 0);
}

/// Guards against a retry that asks for the server that just failed.
#[test]
fn retry_avoids_failed_server() {
    let mut bench = Bench::new(1);
    bench.input(AdmissionInput::Live(vec![instance(1)]));
    bench.wait(4000);
    let request = bench.request(1, 60_000);
    bench.effects.clear();
    bench.input(AdmissionInput::Retry { request });
    assert_eq!(bench.refused(), Some(ErrorKind::NoBackend));
}

/// Guards against verdicts that name another server of the same manager: a report with work at
/// two servers must get each grant for its own server, also when grants are repeated.
#[test]
fn verdicts_of_one_report_name_their_servers() {
    let mut bench = Bench::new(1);
    let managed =
        |&id: &u64| rendezvous::first(id, [InstanceId(1), InstanceId(2)]) == Some(InstanceId(1));
    let servers: Vec<_> = (1..1000).filter(managed).take(2).map(ServerId).collect();
    let capacity = |&server: &ServerId| ServerCapacity {
        server,
        kv_tokens: 100_000,
        max_batch: 8,
        accepting: true,
    };
    bench.input(AdmissionInput::Servers(servers.iter().map(capacity).collect()));
    bench.wait(4000);
    for seq in [1, 2] {
        let item = |(at, &server): (usize, &ServerId)| WorkItem {
            number: at as u64 + 1,
            server,
            route: RouteId(1),
            customer: CustomerId(1),
            share: 1,
            prompt_tokens: 50,
            decoded: 0,
            max_tokens: 100,
            priority: 5,
            objective: DeskObjective::LeastStall,
            surplus: false,
            stage: WorkStage::Waiting { patience_ms: 60_000, asks: 1 },
        };
        let items = servers.iter().enumerate().map(item).collect();
        bench.effects.clear();
        bench.deliver(AdmissionMessage::Report { seq, items, polls: Vec::new(), complete: true });
        let mut granted: Vec<_> = bench
            .effects
            .iter()
            .filter_map(|effect| match effect {
                AdmissionEffect::Send {
                    message: AdmissionMessage::Grant { number, status, .. },
                    ..
                } => Some((*number, status.server)),
                _ => None,
            })
            .collect();
        granted.sort_unstable();
        assert_eq!(granted, [(1, servers[0]), (2, servers[1])], "report {seq}");
    }
}

/// Guards against generations that run without a permit after a caller reconnected at another
/// instance: the adopted work must be charged to the account and released at its end.
#[test]
fn adopted_generation_is_charged() {
    let mut bench = Bench::new(1);
    let request = RequestId { instance: OWN, started: 7, number: 3 };
    let adopted = AdoptedWork {
        request: AdmissionRequest {
            request,
            route: RouteId(1),
            candidates: Vec::new(),
            customer: CustomerId(1),
            share: 1,
            open_limit: 1,
            prompt_tokens: 50,
            max_tokens: 100,
            priority: 5,
            objective: DeskObjective::LeastStall,
            deadline: bench.now + Duration::from_secs(60),
            prefix: None,
        },
        server: bench.server,
        decoded: 30,
    };
    bench.input(AdmissionInput::Adopt(Box::new(adopted)));
    bench.wait(5000);
    let dump = bench.controller.dump();
    assert_eq!(dump.accounts[0].permits[0].item.decoded, 30);
    assert_eq!(dump.decisions.last().map(|record| record.reason), Some(DecisionReason::Adopted));
    bench.input(AdmissionInput::Finished { request, decoded: 60, whole: true });
    assert!(bench.controller.dump().accounts[0].permits.is_empty());
}
