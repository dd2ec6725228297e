//! Account of one engine: leases, delayed messages, warm-up, closed servers, queue order.

use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionParams, BackendAccount, DecisionKind, DeclineReason, LengthEstimator, ManagerDecision,
    ReleasedWork, ServerCapacity, WorkItem, WorkStage,
};
use medlarlanding_core::cases;
use medlarlanding_core::config::DeskObjective;
use medlarlanding_core::ids::{
    CustomerId, Incarnation, InstanceId, InstanceIdentity, RouteId, ServerId,
};
use medlarlanding_core::time::Timestamp;

const SERVER: ServerId = ServerId(9);

fn instance(id: u64) -> InstanceIdentity {
    InstanceIdentity { id: InstanceId(id), incarnation: Incarnation::new(1) }
}

fn capacity() -> ServerCapacity {
    ServerCapacity {
        server: SERVER,
        kv_tokens: 10_000,
        max_batch: 4,
        accepting: true,
        slow_start: None,
    }
}

fn item(number: u64, stage: WorkStage) -> WorkItem {
    WorkItem {
        number,
        server: SERVER,
        route: RouteId(1),
        customer: CustomerId(1),
        share: 1,
        prompt_tokens: 100,
        decoded: 0,
        max_tokens: 200,
        priority: 5,
        objective: DeskObjective::FewestPreemptions,
        over_soft_limit: false,
        stage,
    }
}

fn waiting(number: u64) -> WorkItem {
    item(number, WorkStage::Waiting { time_left_ms: 60_000, servers_asked: 1 })
}

fn running(number: u64, decoded: u32) -> WorkItem {
    WorkItem { decoded, ..item(number, WorkStage::Running) }
}

/// Account of an engine with a batch of 4, at which instances 1 and 2 have reported.
struct AccountFixture {
    account: BackendAccount,
    lengths: LengthEstimator,
    now: Timestamp,
}

impl AccountFixture {
    fn new(params: AdmissionParams) -> Self {
        let now = Timestamp::from_millis(1000);
        let mut account = BackendAccount::new(params, capacity(), &[instance(1), instance(2)], now);
        account.mark_reported(InstanceId(1));
        account.mark_reported(InstanceId(2));
        Self { account, lengths: LengthEstimator::new(Duration::from_secs(600)), now }
    }

    fn report(&mut self, from: u64, seq: u64, item: WorkItem) -> Vec<ManagerDecision> {
        let mut decisions = Vec::new();
        let lengths = &self.lengths;
        self.account.report(self.now, instance(from), seq, item, lengths, &mut decisions);
        self.account.grant(self.now, &self.lengths, &mut decisions);
        decisions
    }

    fn release(&mut self, from: u64, seq: u64, number: u64) {
        let released = ReleasedWork { server: SERVER, number, seq, decoded: 10 };
        self.account.release(self.now, instance(from), &released);
    }

    fn wait(&mut self, millis: u64) -> Vec<ManagerDecision> {
        let mut decisions = Vec::new();
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(500));
            self.account.tick(self.now, &self.lengths, &mut decisions);
        }
        decisions
    }

    fn permits(&self) -> usize {
        self.account.dump(self.now, &self.lengths).permits.len()
    }

    fn queued(&self) -> usize {
        self.account.dump(self.now, &self.lengths).queued
    }
}

fn granted(decisions: &[ManagerDecision]) -> Vec<u64> {
    decisions
        .iter()
        .filter(|decision| decision.kind == DecisionKind::Grant)
        .map(|decision| decision.number)
        .collect()
}

/// Guards against permits that stay after their instance stopped reporting. A permit that was
/// only granted lapses after the lease. One that ran keeps its memory charged longer, while the
/// engine may still hold the generation.
#[test]
fn unreported_permits_lapse() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    assert_eq!(granted(&fixture.report(1, 1, waiting(1))), [1]);
    fixture.report(1, 2, running(2, 5));
    fixture.wait(2900);
    assert_eq!(fixture.permits(), 2);
    fixture.wait(600);
    assert_eq!(fixture.permits(), 1, "the permit that never ran lapses after the lease");
    fixture.wait(7000);
    assert_eq!(fixture.permits(), 0, "no memory is charged after detached_hold");
    assert_eq!(fixture.account.dump(fixture.now, &fixture.lengths).lapsed, 2);
}

/// Guards against permits that lapse although their instance reports them.
#[test]
fn reports_renew_leases() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    for seq in 1..60 {
        fixture.report(1, seq, running(1, seq as u32));
        fixture.wait(500);
        assert_eq!(fixture.permits(), 1);
    }
}

/// Guards against a delayed copy of a report that restores the permit of an ended request.
#[test]
fn late_report_does_not_restore_permit() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    fixture.report(1, 1, running(1, 5));
    fixture.release(1, 2, 1);
    assert_eq!(fixture.permits(), 0);
    fixture.report(1, 1, running(1, 5));
    fixture.report(1, 1, waiting(1));
    assert_eq!((fixture.permits(), fixture.queued()), (0, 0));
}

/// Shows that a delayed report restores the permit if sequence numbers are not checked.
#[test]
fn late_report_restores_permit_without_sequence_check() {
    let params = AdmissionParams { check_sequence: false, ..AdmissionParams::default() };
    let mut fixture = AccountFixture::new(params);
    fixture.report(1, 1, running(1, 5));
    fixture.release(1, 2, 1);
    fixture.report(1, 1, running(1, 5));
    assert_eq!(fixture.permits(), 1, "without the check the delayed report must create a permit");
}

/// Guards against a repeated release that ends a later permit of the same request.
#[test]
fn repeated_release_keeps_later_permit() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    fixture.report(1, 1, waiting(1));
    fixture.release(1, 2, 1);
    assert_eq!(granted(&fixture.report(1, 3, waiting(1))), [1]);
    fixture.release(1, 2, 1);
    assert_eq!(fixture.permits(), 1);
}

/// Guards against requests that never start because their grant was lost: the next report must
/// be granted again, not queued.
#[test]
fn next_report_repeats_lost_grant() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    fixture.report(1, 1, waiting(1));
    let decisions = fixture.report(1, 2, waiting(1));
    assert_eq!(granted(&decisions), [1]);
    assert_eq!(decisions[0].acked_seq, 2, "the lease must start at the latest message");
    assert_eq!(fixture.permits(), 1);
}

/// Guards against a new manager that uses the full capacity before it knows the running requests.
#[test]
fn new_manager_limits_permits_during_warm_up() {
    let now = Timestamp::from_millis(1000);
    let live: Vec<_> = (1..=4).map(instance).collect();
    let account = BackendAccount::new(AdmissionParams::default(), capacity(), &live, now);
    let lengths = LengthEstimator::new(Duration::from_secs(600));
    let mut fixture = AccountFixture { account, lengths, now };
    assert!(granted(&fixture.report(1, 1, waiting(1))).is_empty(), "no instance has reported yet");
    fixture.account.mark_reported(InstanceId(1));
    fixture.account.mark_reported(InstanceId(2));
    let mut decisions = Vec::new();
    for number in 2..=4 {
        decisions.extend(fixture.report(1, number, waiting(number)));
    }
    assert_eq!(
        granted(&decisions).len(),
        2,
        "2 of 4 instances have reported, so half of the batch of 4 is used"
    );
    // Waiting requests are reported every 500 ms.
    for seq in 0..7 {
        for number in 1..=4 {
            fixture.report(1, 10 + seq * 4 + number, waiting(number));
        }
        fixture.wait(500);
    }
    assert_eq!(fixture.permits(), 4, "after one lease the whole capacity is used");
}

/// Guards against permits for servers that are leaving or suspected.
fn check_closed(close: fn(&mut AccountFixture)) {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    for number in 1..=5 {
        fixture.report(1, number, waiting(number));
    }
    assert_eq!((fixture.permits(), fixture.queued()), (4, 1));
    close(&mut fixture);
    let declined = ManagerDecision {
        to: instance(1),
        number: 5,
        acked_seq: 5,
        kind: DecisionKind::Decline(DeclineReason::ServerClosed),
    };
    assert_eq!(fixture.wait(500), [declined], "the queued request must be declined");
    let decisions = fixture.report(1, 6, waiting(6));
    assert_eq!(decisions[0].kind, DecisionKind::Decline(DeclineReason::ServerClosed));
    assert_eq!(fixture.permits(), 4, "running requests must keep their permits");
}

cases! { check_closed;
    leaving_server_gives_no_permits => |fixture| {
        fixture.account.set_capacity(ServerCapacity { accepting: false, ..capacity() });
    },
    suspected_server_gives_no_permits => |fixture| fixture.account.suspect(fixture.now),
}

/// Guards against queues that grow without bound and against requests that stay queued although
/// they cannot meet their deadline.
#[test]
fn queue_is_bounded_by_count_and_deadline() {
    let params = AdmissionParams { queue_limit: 3, ..AdmissionParams::default() };
    let mut fixture = AccountFixture::new(params);
    for number in 1..=7 {
        fixture.report(1, number, waiting(number));
    }
    let full = fixture.report(1, 8, waiting(8));
    assert_eq!(full[0].kind, DecisionKind::Decline(DeclineReason::QueueFull));
    // One small request per second finishes, so a deadline in 10 ms cannot be met.
    fixture.release(1, 20, 1);
    fixture.wait(1000);
    fixture.release(1, 21, 2);
    let urgent = item(30, WorkStage::Waiting { time_left_ms: 10, servers_asked: 1 });
    let decisions = fixture.report(2, 30, urgent);
    let decision =
        decisions.iter().find(|decision| decision.number == 30).map(|decision| decision.kind);
    assert_eq!(decision, Some(DecisionKind::Decline(DeclineReason::WaitTooLong)));
}

/// Guards against requests that can never fit into memory and would block the queue.
#[test]
fn too_large_request_is_declined() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    let large = WorkItem { prompt_tokens: 10_000, ..waiting(1) };
    let decisions = fixture.report(1, 1, large);
    assert_eq!(decisions[0].kind, DecisionKind::Decline(DeclineReason::TooLarge));
}

/// Guards against customers that get more than their share, and against requests of high priority
/// that wait behind others.
#[test]
fn queue_follows_priority_and_shares() {
    let mut fixture = AccountFixture::new(AdmissionParams::default());
    for number in 1..=4 {
        fixture.report(1, number, running(number, 5));
    }
    let mut number = 10;
    let mut queue = |fixture: &mut AccountFixture, customer, share, priority, count| {
        for _ in 0..count {
            number += 1;
            let customer = CustomerId(customer);
            let item = WorkItem { customer, share, priority, ..waiting(number) };
            assert!(fixture.report(2, number, item).is_empty());
        }
    };
    queue(&mut fixture, 1, 1, 5, 40);
    queue(&mut fixture, 2, 3, 5, 40);
    queue(&mut fixture, 3, 1, 8, 2);
    let mut order = Vec::new();
    let mut next = 1000;
    for running in 1..=42 {
        next += 1;
        let (from, ended) =
            if running <= 4 { (1, running) } else { (2, order[running as usize - 5]) };
        fixture.release(from, next, ended);
        let mut decisions = Vec::new();
        fixture.account.grant(fixture.now, &fixture.lengths, &mut decisions);
        order.extend(granted(&decisions));
    }
    assert!(
        order[..2].iter().all(|&number| number > 90),
        "requests of priority 8 must come first: {order:?}"
    );
    let second = order[2..].iter().filter(|&&number| (51..=90).contains(&number)).count();
    assert!((27..=33).contains(&second), "3 of 4 shares must get three quarters: {second} of 40");
}
