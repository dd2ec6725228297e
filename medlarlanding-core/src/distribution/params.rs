//! Settings of the distribution subsystem.

use std::time::Duration;

/// Rule by which versions received from the platform and from peers are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionRule {
    /// Only versions above the one in effect.
    Monotonic,
    /// Also whatever the platform published last, so that a platform that returns to an old
    /// version rolls back the instances. Only for tests, which check that they detect this.
    Latest,
}

/// Settings of a [`ConfigDistributor`](super::ConfigDistributor).
#[derive(Clone, Debug)]
pub struct DistributionParams {
    /// Rule by which versions are accepted.
    pub version_rule: VersionRule,
    /// Number of instances that watch the platform on behalf of the fleet.
    pub watchers: usize,
    /// Time for which the platform may hold a call open to wait for a new revision.
    pub watch_wait: Duration,
    /// Time beyond `watch_wait` after which a call without an answer is cancelled.
    pub watch_grace: Duration,
    /// Minimum time from the start of a call that returned nothing new to the next call on the
    /// same subject. Also the first delay after a failed call, doubled with each further failure.
    pub call_interval: Duration,
    /// Maximum delay after a failed call of an instance that ranks among the `watchers`.
    pub watcher_backoff: Duration,
    /// Maximum delay after a failed call of any other instance.
    pub other_backoff: Duration,
    /// Time without a heartbeat of a watcher after which an instance watches the platform itself.
    pub heartbeat_timeout: Duration,
    /// Maximum random addition to `heartbeat_timeout`. It keeps many instances from calling the
    /// platform at the same time.
    pub heartbeat_jitter: Duration,
    /// Time between two heartbeats of a watcher.
    pub heartbeat_interval: Duration,
    /// Number of peers to which a heartbeat is sent, and to which each receiver forwards it.
    pub heartbeat_fanout: usize,
    /// Number of peers to which a new version is announced.
    pub announce_fanout: usize,
    /// Time after which a new version is announced a second time, to newly chosen peers. A single
    /// round misses about e^-4 of the fleet.
    pub announce_repeat: Duration,
    /// Time to wait for the answer to a fetch before another instance is asked.
    pub fetch_timeout: Duration,
    /// Number of peers that are queried at the start and after a pause. The default covers the
    /// whole fleet; with fewer, a version that only a few instances have could be missed.
    pub query_peers: usize,
    /// Time after which queries are sent again to the peers that have not answered.
    pub query_repeat: Duration,
    /// Time to wait for further answers after the first peer reported a configuration version.
    /// The default allows six repetitions, so that with 10% datagram loss a version is found even
    /// if only one peer has it.
    pub query_settle: Duration,
    /// Time after which the versions read from the platform are accepted if no peer reported any.
    pub query_timeout: Duration,
    /// A query is repeated if its end is processed late by more than this time. The process then
    /// did not run for a time too short to be detected as a pause, and may have answers that it has
    /// not read yet.
    pub query_overrun: Duration,
    /// Number of earlier configuration texts that are kept, so that peers with one of them are
    /// sent only the difference.
    pub delta_history: usize,
    /// Maximum size of a configuration text in bytes.
    pub text_limit: usize,
}

impl Default for DistributionParams {
    fn default() -> Self {
        Self {
            version_rule: VersionRule::Monotonic,
            watchers: 3,
            watch_wait: Duration::from_secs(2),
            watch_grace: Duration::from_secs(1),
            call_interval: Duration::from_millis(500),
            watcher_backoff: Duration::from_secs(1),
            other_backoff: Duration::from_secs(8),
            heartbeat_timeout: Duration::from_secs(2),
            heartbeat_jitter: Duration::from_secs(2),
            heartbeat_interval: Duration::from_secs(1),
            heartbeat_fanout: 3,
            announce_fanout: 4,
            announce_repeat: Duration::from_millis(150),
            fetch_timeout: Duration::from_millis(700),
            query_peers: 512,
            query_repeat: Duration::from_millis(150),
            query_settle: Duration::from_secs(1),
            query_timeout: Duration::from_secs(2),
            query_overrun: Duration::from_millis(300),
            delta_history: 3,
            text_limit: 1 << 20,
        }
    }
}
