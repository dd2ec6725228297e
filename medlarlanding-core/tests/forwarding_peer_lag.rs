//! Tests of when an instance fetches server entries that its peers have.

use std::time::Duration;

use medlarlanding_core::cases;
use medlarlanding_core::forwarding::PeerLag;
use medlarlanding_core::time::Timestamp;

/// Lag at which an instance fetches.
const FETCH_AFTER: Duration = Duration::from_millis(300);
/// Interval at which digests arrive and the lag is checked.
const CHECK_INTERVAL_MS: u64 = 50;

/// Changes with rising revisions, one every `interval_ms`, each arriving `delay_ms` after a peer has it.
/// The change with the revision `lost` and those after it never arrive.
struct ChangeStream {
    interval_ms: u64,
    delay_ms: u64,
    lost: Option<u64>,
    /// Whether a fetch is expected within 3 s.
    fetches: bool,
}

/// Guards against instances of a busy fleet that fetch all the time, and against one that does not
/// notice a lost change while further ones are announced.
fn fetches_what_is_lost(stream: ChangeStream) {
    let mut lag = PeerLag::default();
    let mut longest = Duration::ZERO;
    for millis in (0..3_000).step_by(CHECK_INTERVAL_MS as usize) {
        let newest = 100 + millis / stream.interval_ms;
        let arrived = 100 + millis.saturating_sub(stream.delay_ms) / stream.interval_ms;
        let own = stream.lost.map_or(arrived, |lost| arrived.min(lost - 1));
        longest = longest.max(lag.update(Timestamp::from_millis(millis), own, newest));
    }
    assert_eq!(longest >= FETCH_AFTER, stream.fetches, "{longest:?}");
}

cases! { fetches_what_is_lost;
    many_changes_on_their_way =>
        ChangeStream { interval_ms: 7, delay_ms: 120, lost: None, fetches: false },
    few_changes => ChangeStream { interval_ms: 900, delay_ms: 120, lost: None, fetches: false },
    lost_change_among_many =>
        ChangeStream { interval_ms: 7, delay_ms: 120, lost: Some(180), fetches: true },
    last_change_lost =>
        ChangeStream { interval_ms: 2_000, delay_ms: 10, lost: Some(101), fetches: true },
    changes_that_arrive_too_late =>
        ChangeStream { interval_ms: 50, delay_ms: 800, lost: None, fetches: true },
}
