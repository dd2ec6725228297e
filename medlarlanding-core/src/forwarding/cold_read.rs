//! Decides who calls the store when the whole fleet starts.
//!
//! Load pattern: all 300 instances start at the same moment with 3,000 servers in the store. If each
//! read all of the seven pages, 1.4 MB, the store's link would be busy for seconds, calls would time
//! out, and their repeats would come on top. The seeds read the list, and the others get it from
//! them in its compact form, 65 bytes a server. Likewise, an instance that knows no peers yet takes
//! itself for a hub; if all of them watched the store until they had heard of one another, 95 instances
//! would make 330 calls.

use std::time::Duration;

/// Parameters of the decision.
#[derive(Clone, Copy, Debug)]
pub struct ColdReadParams {
    /// How long an instance that is no seed waits for its peers: for two rounds of digests, and for
    /// a seed that reads the pages meanwhile.
    pub peer_wait: Duration,
    /// Addition for each standby level, so that not all instances read the store if the seeds fail.
    pub wait_per_level: Duration,
    /// How long an instance that is no seed lets pass after its start before it watches the store, so
    /// that it knows its peers.
    pub watch_delay: Duration,
    /// Longest wait; the store may be reachable for this instance only.
    pub wait_max: Duration,
}

impl Default for ColdReadParams {
    fn default() -> Self {
        Self {
            peer_wait: Duration::from_millis(700),
            wait_per_level: Duration::from_millis(150),
            watch_delay: Duration::from_millis(700),
            wait_max: Duration::from_secs(4),
        }
    }
}

impl ColdReadParams {
    /// Returns how long after its start an instance begins to watch the store, if it is a hub.
    pub fn first_watch(&self, is_seed: bool) -> Duration {
        if is_seed { Duration::ZERO } else { self.watch_delay }
    }

    /// Returns how long an instance that knows no servers waits for its peers before it reads the
    /// remaining pages of the list. A list of one page is always read.
    pub fn wait(&self, is_seed: bool, standby_level: u32) -> Duration {
        if is_seed {
            return Duration::ZERO;
        }
        (self.peer_wait + self.wait_per_level * standby_level).min(self.wait_max)
    }
}
