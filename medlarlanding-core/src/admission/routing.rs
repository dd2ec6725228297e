//! Order in which an instance requests permits for the candidate servers of a request.

use rand::Rng;

use crate::ids::{InstanceId, ServerId};
use crate::rendezvous::weight;

/// Load and expected wait of a server as one instance knows them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Fraction of the capacity in use, 0 to about 1, with the requests that this instance sent
    /// since the last status.
    pub load: f64,
    /// Expected wait in milliseconds; 0 if no queue is known of, `u32::MAX` if the server's
    /// manager cannot be reached.
    pub wait_ms: u32,
}

/// Ranks servers by shortest wait, then by least load, with near ties in random order. Also
/// returns whether the prefix decided which server comes first.
///
/// Rendezvous hashing assigns one of the candidates to each prefix. All instances compute the
/// same one, so its cache likely holds the prefix. That server moves to the front if its load
/// exceeds that of the best server by at most `load_bound` and it either has no queue, or all
/// servers have one and its wait is at most `extra_wait_ms` longer than the shortest.
pub fn rank_servers(
    mut views: Vec<ServerView>,
    prefix: Option<u64>,
    load_bound: f64,
    extra_wait_ms: u32,
    random: &mut impl Rng,
) -> (Vec<ServerView>, bool) {
    // The reported loads are slightly out of date, so differences below 0.01 mean nothing. A
    // random order among such servers keeps the instances from all choosing the same one.
    let mut keyed: Vec<_> = views
        .drain(..)
        .map(|view| ((view.wait_ms, view.load + random.random_range(0.0..0.01)), view))
        .collect();
    keyed.sort_by(|left, right| left.0.0.cmp(&right.0.0).then(left.0.1.total_cmp(&right.0.1)));
    let mut ranked: Vec<_> = keyed.into_iter().map(|(_, view)| view).collect();
    let Some(prefix) = prefix else { return (ranked, false) };
    let Some(first) = ranked.first().copied() else { return (ranked, false) };
    let preferred = ranked
        .iter()
        .enumerate()
        .max_by_key(|(_, view)| weight(prefix, InstanceId(view.server.0)))
        .map(|(at, view)| (at, *view));
    match preferred {
        Some((at, view))
            if (view.wait_ms == 0
                || first.wait_ms > 0 && view.wait_ms - first.wait_ms <= extra_wait_ms)
                && view.load <= first.load + load_bound =>
        {
            ranked.remove(at);
            ranked.insert(0, view);
            (ranked, true)
        },
        _ => (ranked, false),
    }
}
