//! Tests that merging member records doesn't depend on the order in which they arrive.

use medlarlanding_core::ids::Incarnation;
use medlarlanding_core::membership::{MemberRecord, MemberStatus};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

const SEED: u64 = 20_261_204;

#[derive(Clone, Copy, Debug)]
struct ArbitraryRecord(MemberRecord);

impl Arbitrary for ArbitraryRecord {
    fn arbitrary(g: &mut Gen) -> Self {
        // A small range makes equal incarnations frequent.
        let started = u64::from(u8::arbitrary(g) % 3);
        let refutations = u32::from(u8::arbitrary(g) % 3);
        let statuses = [MemberStatus::Alive, MemberStatus::Suspect, MemberStatus::Dead];
        let status = statuses[usize::from(u8::arbitrary(g) % 3)];
        let incarnation = Incarnation { started, refutations };
        Self(MemberRecord { incarnation, status, leaving: bool::arbitrary(g) })
    }
}

fn check(property: fn(ArbitraryRecord, ArbitraryRecord, ArbitraryRecord) -> TestResult) {
    println!("seed {SEED}");
    let generator = Gen::from_size_and_seed(20, SEED);
    QuickCheck::new().rng(generator).tests(2000).quickcheck(property);
}

/// Guards against instances whose views differ for good because records arrived in different
/// orders.
#[test]
fn join_is_independent_of_order() {
    fn property(a: ArbitraryRecord, b: ArbitraryRecord, c: ArbitraryRecord) -> TestResult {
        let (a, b, c) = (a.0, b.0, c.0);
        let commutes = a.join(b) == b.join(a);
        let associates = a.join(b).join(c) == a.join(b.join(c));
        let repeats = a.join(a) == a && a.join(b).join(b) == a.join(b);
        TestResult::from_bool(commutes && associates && repeats)
    }
    check(property);
}

/// Guards against a restarted process that stays dead, and a leaving process that is recorded as
/// taking work again.
#[test]
fn join_keeps_the_later_process_and_its_leaving_flag() {
    fn property(a: ArbitraryRecord, b: ArbitraryRecord, _: ArbitraryRecord) -> TestResult {
        let (a, b) = (a.0, b.0);
        let joined = a.join(b);
        let later = a.incarnation.started.max(b.incarnation.started);
        let leaving =
            [a, b].iter().any(|record| record.incarnation.started == later && record.leaving);
        TestResult::from_bool(joined.incarnation.started == later && joined.leaving == leaving)
    }
    check(property);
}

/// Shows that the order matters if a merge compares only the status: the property is not trivial.
#[test]
fn merge_without_incarnations_depends_on_the_order() {
    fn weak_join(a: MemberRecord, b: MemberRecord) -> MemberRecord {
        if a.status >= b.status { a } else { b }
    }
    let alive = MemberRecord::alive(Incarnation { started: 1, refutations: 0 });
    let refuted = MemberRecord::alive(Incarnation { started: 1, refutations: 1 });
    assert_ne!(weak_join(alive, refuted), weak_join(refuted, alive));
    assert_eq!(alive.join(refuted), refuted.join(alive));
}
