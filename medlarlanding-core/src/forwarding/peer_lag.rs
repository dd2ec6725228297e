//! Tells an instance that lacks changes from one that is about to receive them.
//!
//! Load pattern: with 3,000 servers some 150 entries change every second, so a digest nearly always
//! shows a newer revision than the receiver has, although the changes themselves are on their way.
//! An instance that fetched whenever a peer had been ahead for a while would fetch all the time.

use std::time::Duration;

use crate::time::Timestamp;

/// Tracks for how long an instance has lacked the same change. Changes are numbered by `V`.
#[derive(Clone, Copy, Debug, Default)]
pub struct PeerLag<V> {
    /// Since when a peer has been ahead, and the change that it had reached; `None` while no peer is
    /// ahead.
    behind: Option<(Timestamp, V)>,
}

impl<V: Copy + Ord> PeerLag<V> {
    /// Updates the lag from the change that the instance has reached and the newest one among its
    /// peers. Returns for how long the instance has lacked a change that a peer had.
    pub fn update(&mut self, now: Timestamp, own: V, newest: V) -> Duration {
        if newest <= own {
            self.behind = None;
            return Duration::ZERO;
        }
        match self.behind {
            Some((since, lacked)) if own < lacked => now.since(since),
            Some(_) | None => {
                self.behind = Some((now, newest));
                Duration::ZERO
            },
        }
    }

    /// Forgets the lag, for example because a fetch has begun.
    pub fn reset(&mut self) {
        self.behind = None;
    }
}
