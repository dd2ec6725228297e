//! Order in which the candidate servers of a request are asked.

use rand::Rng;

use crate::ids::{InstanceId, ServerId};
use crate::rendezvous::weight;

/// A server as one instance sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub server: ServerId,
    /// Planned use, 0 to about 1, including what this instance sent since the last status.
    pub load: f64,
    /// Expected wait in milliseconds.
    pub wait_ms: u32,
}

/// Ranks servers: shortest wait, then least load, equal ones at random.
///
/// The server that ranks first for the prefix moves to the front if its load is within `bound`
/// of the first one's and either it has no queue, or all have one and its wait is within
/// `longest_wait_ms` of the first one's. Every instance computes the same server for
/// a prefix, so the prefix is likely in its cache. Returns whether the prefix decided.
pub fn rank_servers(
    mut views: Vec<ServerView>,
    prefix: Option<u64>,
    bound: f64,
    longest_wait_ms: u32,
    random: &mut impl Rng,
) -> (Vec<ServerView>, bool) {
    // Differences below a hundredth are noise of lagging states; a random order among them
    // keeps the instances from sending to the same server at once.
    let mut keyed: Vec<_> = views
        .drain(..)
        .map(|view| ((view.wait_ms, view.load + random.random_range(0.0..0.01)), view))
        .collect();
    keyed.sort_by(|left, right| left.0.0.cmp(&right.0.0).then(left.0.1.total_cmp(&right.0.1)));
    let mut ranked: Vec<_> = keyed.into_iter().map(|(_, view)| view).collect();
    let Some(prefix) = prefix else { return (ranked, false) };
    let Some(first) = ranked.first().copied() else { return (ranked, false) };
    let home = ranked
        .iter()
        .enumerate()
        .max_by_key(|(_, view)| weight(prefix, InstanceId(view.server.0)))
        .map(|(at, view)| (at, *view));
    match home {
        Some((at, view))
            if (view.wait_ms == 0
                || first.wait_ms > 0 && view.wait_ms - first.wait_ms <= longest_wait_ms)
                && view.load <= first.load + bound =>
        {
            ranked.remove(at);
            ranked.insert(0, view);
            (ranked, true)
        },
        _ => (ranked, false),
    }
}
