//! Settings of the distribution subsystem.

use std::time::Duration;

/// Which offered versions are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Only versions above the one in effect.
    Rising,
    /// Whatever the platform reports last. Reverts when the platform does; only for trials
    /// that show that the check for reversals can fail.
    Latest,
}

/// Settings of a [`ConfigDistributor`](super::ConfigDistributor).
#[derive(Clone, Debug)]
pub struct DistributionParams {
    /// Which versions are accepted.
    pub version_rule: VersionRule,
    /// Number of instances that watch the platform.
    pub watchers: usize,
    /// Longest wait of one call that watches the platform.
    pub watch_wait: Duration,
    /// Time after the longest wait at which a call counts as lost.
    pub watch_grace: Duration,
    /// Least time between two calls on one subject that brought nothing new.
    pub call_interval: Duration,
    /// Longest time between two calls of a ranked watcher while the platform is unreachable.
    pub watcher_backoff: Duration,
    /// Longest time between two calls of any other instance while the platform is unreachable.
    pub other_backoff: Duration,
    /// Time without confirmation from a watcher after which an instance watches itself.
    pub contact_limit: Duration,
    /// Random addition to `contact_limit`, at most. Spreads the calls of many instances.
    pub contact_jitter: Duration,
    /// Time between two confirmations by a watcher.
    pub heartbeat_interval: Duration,
    /// Number of peers to which a confirmation is sent and passed on.
    pub heartbeat_fanout: usize,
    /// Number of peers to which a new version is announced.
    pub announce_fanout: usize,
    /// Time after which a new version is announced once more, to other peers. A single round
    /// misses about e^-4 of the fleet.
    pub announce_repeat: Duration,
    /// Time without the value after which it is fetched from another instance.
    pub fetch_timeout: Duration,
    /// Number of peers that are asked at the start and after a pause. The default asks all:
    /// a version that few instances hold is missed otherwise.
    pub query_peers: usize,
    /// Time after which unanswered queries are repeated.
    pub query_repeat: Duration,
    /// Time to wait for further answers after the first peer reported a version. Leaves room
    /// for six repetitions, so that a single holder is found under 10% loss.
    pub query_settle: Duration,
    /// Time after which the platform's value is taken if no peer reported a version.
    pub query_timeout: Duration,
    /// Delay of the end of a query after which it is repeated. The process was held up too
    /// briefly to count as paused, but answers may wait to be read.
    pub query_late: Duration,
    /// Number of earlier configuration texts that are kept to send differences from them.
    pub delta_history: usize,
    /// Largest configuration text, bytes.
    pub text_limit: usize,
}

impl Default for DistributionParams {
    fn default() -> Self {
        Self {
            version_rule: VersionRule::Rising,
            watchers: 3,
            watch_wait: Duration::from_secs(2),
            watch_grace: Duration::from_secs(1),
            call_interval: Duration::from_millis(500),
            watcher_backoff: Duration::from_secs(1),
            other_backoff: Duration::from_secs(8),
            contact_limit: Duration::from_secs(2),
            contact_jitter: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_fanout: 3,
            announce_fanout: 4,
            announce_repeat: Duration::from_millis(150),
            fetch_timeout: Duration::from_millis(700),
            query_peers: 512,
            query_repeat: Duration::from_millis(150),
            query_settle: Duration::from_secs(1),
            query_timeout: Duration::from_secs(2),
            query_late: Duration::from_millis(300),
            delta_history: 3,
            text_limit: 1 << 20,
        }
    }
}
