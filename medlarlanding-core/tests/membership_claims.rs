//! Guards the merging of claims against dependence on the order in which they arrive.

use medlarlanding_core::ids::Incarnation;
use medlarlanding_core::membership::{MemberRecord, MemberStatus};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261_204;

#[derive(Clone, Copy, Debug)]
struct Claim(MemberRecord);

impl Arbitrary for Claim {
    fn arbitrary(g: &mut Gen) -> Self {
        // Few distinct values, so that equal incarnations are common.
        let started = u64::from(u8::arbitrary(g) % 3);
        let refutations = u32::from(u8::arbitrary(g) % 3);
        let statuses = [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead];
        let status = statuses[usize::from(u8::arbitrary(g) % 3)];
        let incarnation = Incarnation { started, refutations };
        Self(MemberRecord { incarnation, status, leaving: bool::arbitrary(g) })
    }
}

fn check(property: fn(Claim, Claim, Claim) -> TestResult) {
    println!("seed {SEED}");
    let generator = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new().rng(generator).tests(2000).quickcheck(property);
}

/// Guards against views that differ for good after claims arrived in different orders.
#[test]
fn join_is_independent_of_order() {
    fn property(a: Claim, b: Claim, c: Claim) -> TestResult {
        let (a, b, c) = (a.0, b.0, c.0);
        let commutes = a.join(b) == b.join(a);
        let associates = a.join(b).join(c) == a.join(b.join(c));
        let repeats = a.join(a) == a && a.join(b).join(b) == a.join(b);
        TestResult::from_bool(commutes && associates && repeats)
    }
    check(property);
}

/// Guards against a restarted process that stays dead, and a leaving one that takes work again.
#[test]
fn join_keeps_the_later_process_and_the_leaving_mark() {
    fn property(a: Claim, b: Claim, _: Claim) -> TestResult {
        let (a, b) = (a.0, b.0);
        let joined = a.join(b);
        let later = a.incarnation.started.max(b.incarnation.started);
        let leaving =
            [a, b].iter().any(|claim| claim.incarnation.started == later && claim.leaving);
        TestResult::from_bool(joined.incarnation.started == later && joined.leaving == leaving)
    }
    check(property);
}

/// Guards the property itself: a merge that only compares the status depends on the order.
#[test]
fn merge_without_incarnations_fails_the_check() {
    fn weak_join(a: MemberRecord, b: MemberRecord) -> MemberRecord {
        if a.status >= b.status { a } else { b }
    }
    let alive = MemberRecord::alive(Incarnation { started: 1, refutations: 0 });
    let refuted = MemberRecord::alive(Incarnation { started: 1, refutations: 1 });
    assert_ne!(weak_join(alive, refuted), weak_join(refuted, alive));
    assert_eq!(alive.join(refuted), refuted.join(alive));
}
