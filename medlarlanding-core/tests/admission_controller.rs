//! One admission controller: local share, delayed grants, refusals, decision records, adoption.

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

/// Finds a server whose manager is the given one of instances 1 and 2.
fn server_of(manager: InstanceId) -> ServerId {
    let managed =
        |&id: &u64| rendezvous::first(id, [InstanceId(1), InstanceId(2)]) == Some(manager);
    ServerId((1..1000).find(managed).expect("some server belongs to each instance"))
}

/// Controller of instance 1 of two. Instance 2 only sends the messages that a test delivers.
struct ControllerFixture {
    controller: AdmissionController,
    server: ServerId,
    now: Timestamp,
    effects: Vec<AdmissionEffect>,
}

impl ControllerFixture {
    fn new(manager: u64) -> Self {
        let params = AdmissionParams::default();
        let server = server_of(InstanceId(manager));
        let mut fixture = Self {
            controller: AdmissionController::new(params, instance(1), 5),
            server,
            now: Timestamp::from_millis(1000),
            effects: Vec::new(),
        };
        fixture.input(AdmissionInput::Live(vec![instance(1), instance(2)]));
        fixture.servers(true);
        // The tests do not depend on the customer's manager. Its warm-up ends after one lease of
        // 3 s.
        fixture.wait(4000);
        fixture.effects.clear();
        fixture
    }

    fn servers(&mut self, accepting: bool) {
        let server = self.server;
        let capacity = ServerCapacity {
            server,
            kv_tokens: 100_000,
            max_batch: 8,
            accepting,
            slow_start: None,
        };
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

    /// Returns the sequence numbers of the reports that requested a permit from instance 2.
    fn permit_requests(&self, number: u64) -> Vec<u64> {
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
        ServerStatus { server, load_permille: 100, queued: 1, wait_ms: 50, accepting: true }
    }

    fn deliver(&mut self, message: AdmissionMessage) {
        self.input(AdmissionInput::Message { from: instance(2), message });
    }

    fn reason(&self) -> DecisionReason {
        self.controller.dump().decisions.last().expect("a decision is recorded").reason
    }
}

/// Guards against requests that wait for a manager that cannot be reached, and against a local
/// share that is too large: one of two instances may use a quarter of the batch of 8.
#[test]
fn local_share_is_used_without_manager() {
    let mut fixture = ControllerFixture::new(2);
    for number in 1..=5 {
        fixture.request(number, 60_000);
    }
    fixture.wait(1000);
    let granted =
        fixture.effects.iter().filter(|e| matches!(e, AdmissionEffect::Granted { .. })).count();
    assert_eq!(granted, 2);
    assert_eq!(fixture.reason(), DecisionReason::LocalShare);
    assert_eq!(fixture.controller.dump().unreachable, [InstanceId(2)]);
}

/// Guards against waiting longer than the reply time-out of 150 ms for an unreachable manager.
/// The time-out applies twice: to the customer's limit and to the permit.
#[test]
fn unreachable_manager_delays_by_reply_timeout() {
    let mut fixture = ControllerFixture::new(2);
    fixture.request(1, 60_000);
    fixture.wait(301);
    assert!(fixture.granted().is_some());
}

/// Guards against a start after the end of the manager's lease: the latest time to start follows
/// from the report that the grant acknowledges, not from the arrival of the grant.
#[test]
fn start_time_follows_acknowledged_report() {
    let mut fixture = ControllerFixture::new(2);
    // Makes the manager reachable; its server has a queue.
    let status = fixture.status();
    fixture.deliver(AdmissionMessage::Status { seq: 0, servers: vec![status] });
    fixture.request(1, 60_000);
    fixture.wait(160);
    let seq = *fixture.permit_requests(1).first().expect("the manager gets a request");
    let asked_at = fixture.now;
    fixture.deliver(AdmissionMessage::Status { seq, servers: vec![status] });
    fixture.wait(2000);
    assert_eq!(fixture.granted(), None, "a queued request must wait");
    fixture.deliver(AdmissionMessage::Grant { acked_seq: seq, number: 1, status });
    let (_, start_by) = fixture.granted().expect("the grant arrives within the lease");
    assert!(start_by <= asked_at + Duration::from_secs(3));
}

/// Guards against an instance that starts a request on a grant from before its pause.
#[test]
fn permit_is_requested_again_after_late_grant() {
    let mut fixture = ControllerFixture::new(2);
    let status = fixture.status();
    fixture.deliver(AdmissionMessage::Status { seq: 0, servers: vec![status] });
    fixture.request(1, 60_000);
    fixture.wait(160);
    let seq = *fixture.permit_requests(1).first().expect("the manager gets a request");
    fixture.deliver(AdmissionMessage::Status { seq, servers: vec![status] });
    fixture.now = fixture.now + Duration::from_secs(8);
    fixture.effects.clear();
    fixture.deliver(AdmissionMessage::Grant { acked_seq: seq, number: 1, status });
    assert_eq!(fixture.granted(), None);
    let new_seq = *fixture.permit_requests(1).last().expect("the manager gets a second request");
    fixture.deliver(AdmissionMessage::Grant { acked_seq: new_seq, number: 1, status });
    assert!(fixture.granted().is_some());
}

/// Guards against permits that no instance uses: a grant for an unknown request is released.
#[test]
fn unknown_grant_is_released() {
    let mut fixture = ControllerFixture::new(2);
    let status = fixture.status();
    fixture.deliver(AdmissionMessage::Grant { acked_seq: 1, number: 99, status });
    let released = fixture.effects.iter().any(|effect| {
        matches!(effect, AdmissionEffect::Send { message: AdmissionMessage::Release { items, .. }, .. }
            if items[0].number == 99)
    });
    assert!(released);
}

/// Guards against refusals after the deadline and against refusals of the wrong kind.
fn check_refusal((prepare, deadline_ms, kind): (fn(&mut ControllerFixture), u64, ErrorKind)) {
    let mut fixture = ControllerFixture::new(2);
    prepare(&mut fixture);
    fixture.effects.clear();
    fixture.request(1000, deadline_ms);
    fixture.wait(deadline_ms.saturating_sub(1));
    assert_eq!(fixture.refused(), Some(kind));
    assert_eq!(
        fixture.controller.dump().open.iter().filter(|o| o.record.request.number == 1000).count(),
        0
    );
}

fn close_server(fixture: &mut ControllerFixture) {
    fixture.servers(false);
}

fn suspect_server(fixture: &mut ControllerFixture) {
    fixture.input(AdmissionInput::ServerSuspect(fixture.server));
}

fn fill_local_share(fixture: &mut ControllerFixture) {
    for number in 1..=2 {
        fixture.request(number, 60_000);
    }
    fixture.wait(1000);
}

cases! { check_refusal;
    leaving_server_is_no_candidate => (close_server, 60_000, ErrorKind::NoBackend),
    suspected_server_is_no_candidate => (suspect_server, 4000, ErrorKind::NoBackend),
    full_local_share_is_refused_before_deadline => (fill_local_share, 2000, ErrorKind::Overloaded),
}

/// Guards against a single instance that waits for others before it grants a permit, and against
/// a dump that does not explain the decision.
#[test]
fn single_instance_grants_permit_at_once() {
    let mut fixture = ControllerFixture::new(1);
    fixture.input(AdmissionInput::Live(vec![instance(1)]));
    fixture.wait(4000);
    fixture.effects.clear();
    let request = fixture.request(1, 60_000);
    assert_eq!(fixture.granted().map(|granted| granted.0), Some(fixture.server));
    let dump = fixture.controller.dump();
    let record = dump.decisions.last().expect("a decision is recorded");
    assert_eq!((record.request, record.chosen), (request, Some(fixture.server)));
    assert_eq!(record.asked, [fixture.server]);
    assert_eq!(record.candidates.len(), 1);
    assert_eq!(dump.accounts[0].permits.len(), 1);
    postcard::to_stdvec(&dump.decisions).expect("the dump serialises");
    fixture.input(AdmissionInput::Finished { request, decoded: 20, natural_end: true });
    assert_eq!(fixture.controller.dump().accounts[0].permits.len(), 0);
    assert_eq!(fixture.controller.open_requests(), 0);
}

/// Guards against a retry at the server that just failed.
#[test]
fn retry_avoids_failed_server() {
    let mut fixture = ControllerFixture::new(1);
    fixture.input(AdmissionInput::Live(vec![instance(1)]));
    fixture.wait(4000);
    let request = fixture.request(1, 60_000);
    fixture.effects.clear();
    fixture.input(AdmissionInput::Retry { request });
    assert_eq!(fixture.refused(), Some(ErrorKind::NoBackend));
}

/// Guards against decisions that name another server of the same manager. A report with requests
/// at two servers must get each grant for its own server, also when the grants are repeated.
#[test]
fn decisions_of_one_report_name_their_servers() {
    let mut fixture = ControllerFixture::new(1);
    let managed =
        |&id: &u64| rendezvous::first(id, [InstanceId(1), InstanceId(2)]) == Some(InstanceId(1));
    let servers: Vec<_> = (1..1000).filter(managed).take(2).map(ServerId).collect();
    let capacity = |&server: &ServerId| ServerCapacity {
        server,
        kv_tokens: 100_000,
        max_batch: 8,
        accepting: true,
        slow_start: None,
    };
    fixture.input(AdmissionInput::Servers(servers.iter().map(capacity).collect()));
    fixture.wait(4000);
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
            over_soft_limit: false,
            stage: WorkStage::Waiting { time_left_ms: 60_000, servers_asked: 1 },
        };
        let items = servers.iter().enumerate().map(item).collect();
        fixture.effects.clear();
        fixture.deliver(AdmissionMessage::Report { seq, items, polls: Vec::new(), complete: true });
        let mut granted: Vec<_> = fixture
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

/// Guards against generations that run without a permit after the caller reconnected to another
/// instance: the adopted generation must be charged to the account and released when it ends.
#[test]
fn adopted_generation_is_charged() {
    let mut fixture = ControllerFixture::new(1);
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
            deadline: fixture.now + Duration::from_secs(60),
            prefix: None,
        },
        server: fixture.server,
        decoded: 30,
    };
    fixture.input(AdmissionInput::Adopt(Box::new(adopted)));
    fixture.wait(5000);
    let dump = fixture.controller.dump();
    assert_eq!(dump.accounts[0].permits[0].item.decoded, 30);
    assert_eq!(dump.decisions.last().map(|record| record.reason), Some(DecisionReason::Adopted));
    fixture.input(AdmissionInput::Finished { request, decoded: 60, natural_end: true });
    assert!(fixture.controller.dump().accounts[0].permits.is_empty());
}
