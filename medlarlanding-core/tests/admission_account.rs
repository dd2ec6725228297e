//! Account of one engine: leases, late messages, warm-up, closed servers, queue order.

use std::time::Duration;

use medlarlanding_core::admission::{
    AdmissionParams, BackendAccount, DeclineReason, LengthEstimator, ReleasedWork, ServerCapacity,
    Verdict, VerdictKind, WorkItem, WorkStage,
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
    ServerCapacity { server: SERVER, kv_tokens: 10_000, max_batch: 4, accepting: true }
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
        surplus: false,
        stage,
    }
}

fn waiting(number: u64) -> WorkItem {
    item(number, WorkStage::Waiting { patience_ms: 60_000, asks: 1 })
}

fn running(number: u64, decoded: u32) -> WorkItem {
    WorkItem { decoded, ..item(number, WorkStage::Running) }
}

/// An account whose instances 1 and 2 have reported.
struct Bench {
    account: BackendAccount,
    lengths: LengthEstimator,
    now: Timestamp,
}

impl Bench {
    fn new(params: AdmissionParams) -> Self {
        let now = Timestamp::from_millis(1000);
        let mut account = BackendAccount::new(params, capacity(), &[instance(1), instance(2)], now);
        account.hear(InstanceId(1));
        account.hear(InstanceId(2));
        Self { account, lengths: LengthEstimator::new(Duration::from_secs(600)), now }
    }

    fn report(&mut self, from: u64, seq: u64, item: WorkItem) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let lengths = &self.lengths;
        self.account.report(self.now, instance(from), seq, item, lengths, &mut verdicts);
        self.account.grant(self.now, &self.lengths, &mut verdicts);
        verdicts
    }

    fn release(&mut self, from: u64, seq: u64, number: u64) {
        let released = ReleasedWork { server: SERVER, number, seq, decoded: 10 };
        self.account.release(self.now, instance(from), &released);
    }

    fn wait(&mut self, millis: u64) -> Vec<Verdict> {
        let mut verdicts = Vec::new();
        let end = self.now + Duration::from_millis(millis);
        while self.now < end {
            self.now = end.min(self.now + Duration::from_millis(500));
            self.account.tick(self.now, &self.lengths, &mut verdicts);
        }
        verdicts
    }

    fn permits(&self) -> usize {
        self.account.dump(self.now, &self.lengths).permits.len()
    }

    fn queued(&self) -> usize {
        self.account.dump(self.now, &self.lengths).queued
    }
}

fn granted(verdicts: &[Verdict]) -> Vec<u64> {
    verdicts.iter().filter(|v| v.kind == VerdictKind::Grant).map(|v| v.number).collect()
}

/// Guards against permits of instances that went silent: a granted one lapses after the lease,
/// one that ran keeps its memory charged while the engine may still hold the generation.
#[test]
fn silent_permits_lapse() {
    let mut bench = Bench::new(AdmissionParams::default());
    assert_eq!(granted(&bench.report(1, 1, waiting(1))), [1]);
    bench.report(1, 2, running(2, 5));
    bench.wait(2900);
    assert_eq!(bench.permits(), 2);
    bench.wait(600);
    assert_eq!(bench.permits(), 1, "the permit that never ran lapses after the lease");
    bench.wait(7000);
    assert_eq!(bench.permits(), 0, "no memory is charged after the hold");
    assert_eq!(bench.account.dump(bench.now, &bench.lengths).lapsed, 2);
}

/// Guards against leases that end although the instance reports.
#[test]
fn reports_renew_leases() {
    let mut bench = Bench::new(AdmissionParams::default());
    for seq in 1..60 {
        bench.report(1, seq, running(1, seq as u32));
        bench.wait(500);
        assert_eq!(bench.permits(), 1);
    }
}

/// Guards against a late copy of a report that brings an ended request back.
#[test]
fn late_report_does_not_bring_permit_back() {
    let mut bench = Bench::new(AdmissionParams::default());
    bench.report(1, 1, running(1, 5));
    bench.release(1, 2, 1);
    assert_eq!(bench.permits(), 0);
    bench.report(1, 1, running(1, 5));
    bench.report(1, 1, waiting(1));
    assert_eq!((bench.permits(), bench.queued()), (0, 0));
}

/// Shows that the message numbers are what prevents it.
#[test]
fn without_message_numbers_late_report_brings_permit_back() {
    let params = AdmissionParams { check_sequence: false, ..AdmissionParams::default() };
    let mut bench = Bench::new(params);
    bench.report(1, 1, running(1, 5));
    bench.release(1, 2, 1);
    bench.report(1, 1, running(1, 5));
    assert_eq!(bench.permits(), 1, "the weakened variant must violate the rule");
}

/// Guards against a repeated release that ends a later permit of the same request.
#[test]
fn repeated_release_spares_later_permit() {
    let mut bench = Bench::new(AdmissionParams::default());
    bench.report(1, 1, waiting(1));
    bench.release(1, 2, 1);
    assert_eq!(granted(&bench.report(1, 3, waiting(1))), [1]);
    bench.release(1, 2, 1);
    assert_eq!(bench.permits(), 1);
}

/// Guards against a lost grant: the next report must be granted again, not queued.
#[test]
fn repeats_lost_grant_with_fresh_number() {
    let mut bench = Bench::new(AdmissionParams::default());
    bench.report(1, 1, waiting(1));
    let verdicts = bench.report(1, 2, waiting(1));
    assert_eq!(granted(&verdicts), [1]);
    assert_eq!(verdicts[0].heard, 2, "the lease counts from the latest message");
    assert_eq!(bench.permits(), 1);
}

/// Guards against a new manager that uses the full capacity before it knows what runs.
#[test]
fn new_manager_is_conservative() {
    let now = Timestamp::from_millis(1000);
    let live: Vec<_> = (1..=4).map(instance).collect();
    let account = BackendAccount::new(AdmissionParams::default(), capacity(), &live, now);
    let lengths = LengthEstimator::new(Duration::from_secs(600));
    let mut bench = Bench { account, lengths, now };
    assert!(granted(&bench.report(1, 1, waiting(1))).is_empty(), "nobody was heard of");
    bench.account.hear(InstanceId(1));
    bench.account.hear(InstanceId(2));
    let mut verdicts = Vec::new();
    for number in 2..=4 {
        verdicts.extend(bench.report(1, number, waiting(number)));
    }
    assert_eq!(granted(&verdicts).len(), 2, "half of the batch of 4 for half of the instances");
    // Waiting requests are reported each half second.
    for seq in 0..7 {
        for number in 1..=4 {
            bench.report(1, 10 + seq * 4 + number, waiting(number));
        }
        bench.wait(500);
    }
    assert_eq!(bench.permits(), 4, "after one lease the whole capacity is used");
}

/// Guards against new work at servers that are leaving or suspected.
fn check_closed(close: fn(&mut Bench)) {
    let mut bench = Bench::new(AdmissionParams::default());
    for number in 1..=5 {
        bench.report(1, number, waiting(number));
    }
    assert_eq!((bench.permits(), bench.queued()), (4, 1));
    close(&mut bench);
    let declined = Verdict {
        to: instance(1),
        number: 5,
        heard: 5,
        kind: VerdictKind::Decline(DeclineReason::ServerClosed),
    };
    assert_eq!(bench.wait(500), [declined], "queued requests are told");
    let verdicts = bench.report(1, 6, waiting(6));
    assert_eq!(verdicts[0].kind, VerdictKind::Decline(DeclineReason::ServerClosed));
    assert_eq!(bench.permits(), 4, "running work stays");
}

cases! { check_closed;
    leaving_server_gives_no_permits => |bench| {
        bench.account.set_capacity(ServerCapacity { accepting: false, ..capacity() });
    },
    suspected_server_gives_no_permits => |bench| bench.account.suspect(bench.now),
}

/// Guards against queues that grow without bound and waits that end after the deadline.
#[test]
fn queue_is_bounded_by_count_and_deadline() {
    let params = AdmissionParams { queue_limit: 3, ..AdmissionParams::default() };
    let mut bench = Bench::new(params);
    for number in 1..=7 {
        bench.report(1, number, waiting(number));
    }
    let full = bench.report(1, 8, waiting(8));
    assert_eq!(full[0].kind, VerdictKind::Decline(DeclineReason::QueueFull));
    // One small request per second is finished, so a short deadline cannot be met.
    bench.release(1, 20, 1);
    bench.wait(1000);
    bench.release(1, 21, 2);
    let hasty = item(30, WorkStage::Waiting { patience_ms: 10, asks: 1 });
    let verdicts = bench.report(2, 30, hasty);
    let verdict = verdicts.iter().find(|verdict| verdict.number == 30).map(|v| v.kind);
    assert_eq!(verdict, Some(VerdictKind::Decline(DeclineReason::WaitTooLong)));
}

/// Guards against requests that can never fit and would block the queue.
#[test]
fn too_large_request_is_declined() {
    let mut bench = Bench::new(AdmissionParams::default());
    let large = WorkItem { prompt_tokens: 10_000, ..waiting(1) };
    let verdicts = bench.report(1, 1, large);
    assert_eq!(verdicts[0].kind, VerdictKind::Decline(DeclineReason::TooLarge));
}

/// Guards against customers that get more than their share and against urgent requests that
/// wait behind others.
#[test]
fn queue_follows_priority_and_shares() {
    let mut bench = Bench::new(AdmissionParams::default());
    for number in 1..=4 {
        bench.report(1, number, running(number, 5));
    }
    let mut number = 10;
    let mut queue = |bench: &mut Bench, customer, share, priority, count| {
        for _ in 0..count {
            number += 1;
            let customer = CustomerId(customer);
            let item = WorkItem { customer, share, priority, ..waiting(number) };
            assert!(bench.report(2, number, item).is_empty());
        }
    };
    queue(&mut bench, 1, 1, 5, 40);
    queue(&mut bench, 2, 3, 5, 40);
    queue(&mut bench, 3, 1, 8, 2);
    let mut order = Vec::new();
    let mut next = 1000;
    for running in 1..=42 {
        next += 1;
        let (from, ended) =
            if running <= 4 { (1, running) } else { (2, order[running as usize - 5]) };
        bench.release(from, next, ended);
        let mut verdicts = Vec::new();
        bench.account.grant(bench.now, &bench.lengths, &mut verdicts);
        order.extend(granted(&verdicts));
    }
    assert!(order[..2].iter().all(|&number| number > 90), "urgent ones first: {order:?}");
    let second = order[2..].iter().filter(|&&number| (51..=90).contains(&number)).count();
    assert!((27..=33).contains(&second), "share 3 of 4 must get three quarters: {second} of 40");
}
