//! Divides the rate limit of a cold server among the instances, without a message per request.
//!
//! Load pattern: a server that has just started, or whose caches were dropped, tolerates some 30
//! requests per second and ends under much more. It becomes cold at any moment, a whole zone at once
//! during a burst, and then dozens of instances choose it within the same 10 ms because it has no load.
//! Each instance therefore has a share of the limit that it derives from the instances it knows. The
//! shares of all instances together stay within the limit also while instances disagree about which of
//! them are live.

use std::collections::VecDeque;
use std::time::Duration;

use crate::time::Timestamp;

/// Period over which requests are counted: one second, plus the time that a request may be under way
/// for longer than an earlier one.
const SHARE_WINDOW: Duration = Duration::from_millis(1100);
/// Part of the limit of an engine that the coordinator allocates, in percent.
const COORDINATED_PERCENT: u64 = 80;
/// Part of the limit for decisions without the coordinator that is used, in percent. The rest covers
/// instances that do not know a few of the others yet and rank themselves too high.
const DIRECT_USE_PERCENT: u64 = 95;
/// Time after its start from which an instance that has heard from no peer has a share.
const FIRST_SHARE_DELAY: Duration = Duration::from_millis(500);
/// The largest number of known instances counts for at least this long, and at most for twice as long.
/// A partition that lasts longer than peers are kept in the table must not raise the shares on both of
/// its sides; a deployment that was made smaller must not use too little of the limit for ever.
const COUNT_MEMORY: Duration = Duration::from_secs(300);
/// Extension of a server's cold time from which it is news. Shorter ones are differences in the time that
/// the entry was under way.
const NEWS_MIN: Duration = Duration::from_millis(250);
/// The limit stays in effect for this long after the server's cold time. Covers extensions up to
/// `NEWS_MIN`, which are not recorded.
const COLD_MARGIN: Duration = Duration::from_millis(300);
/// Longest cold time that is believed; servers are cold for a few seconds.
pub const COLD_TIME_MAX: Duration = Duration::from_secs(600);

/// Tolerances of the platform when it measures the rate of requests to a cold server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ColdLimitParams {
    /// Factor by which the rate may exceed the one that the service states.
    pub overshoot: f64,
    /// Requests per second allowed in addition.
    pub slack: f64,
}

impl Default for ColdLimitParams {
    fn default() -> Self {
        Self { overshoot: 1.5, slack: 5.0 }
    }
}

/// What the configuration of a service states about its cold servers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdPolicy {
    /// Time for which a server is cold after its start.
    pub start: Duration,
    /// Requests per second that a cold server tolerates; 0 for no limit.
    pub per_second: f64,
}

impl ColdPolicy {
    /// Returns how many requests a cold server may get in a second from all instances together; `None`
    /// if the service has no limit.
    pub fn limit(&self, params: &ColdLimitParams) -> Option<u32> {
        (self.per_second > 0.0)
            .then(|| (self.per_second * params.overshoot + params.slack).max(0.0) as u32)
    }
}

value_type! { copy
    /// Remaining cold time of a server, as one instance tells others.
    pub struct ColdReport {
        /// Hash of the server's start.
        pub server: u64,
        /// Milliseconds for which the server stays cold.
        pub remaining_ms: u32,
    }
}

value_type! { copy
    /// What an instance tells its peers for the division of the limits. Sent only while a service has
    /// a limit.
    pub struct FleetNote {
        /// Instances that the sender knows, including itself and silent ones.
        pub instances: u16,
        /// Tag of the instance that the sender takes for the coordinator.
        pub coordinator: u16,
    }
}

/// From whom this instance learned that a server is cold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ColdSource {
    /// The server's entry in the store.
    Store,
    /// A peer.
    Peer,
    /// The server's answer to a health check or a request for its report.
    Server,
    /// The start of the server, whose entry states no valid cold time.
    Start,
}

impl ColdSource {
    /// Returns the name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Server => "server",
            Self::Start => "start",
        }
    }
}

/// Instances as one of them knows them, for the division of the limits.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FleetView {
    /// Hash of the address of this instance.
    pub own: u64,
    /// Hashes of the addresses of the other known instances, including silent ones.
    pub others: Vec<u64>,
    /// Largest number of instances that a live peer knows; 0 if none has told.
    pub told: usize,
    /// Number of live instances that take this one for the coordinator, including itself.
    pub followers: usize,
    /// This instance is the coordinator, as far as it knows.
    pub is_coordinator: bool,
    /// This instance has ever received a digest of a peer.
    pub has_heard: bool,
    /// Time after which a peer counts as silent.
    pub live_timeout: Duration,
}

/// Requests that an instance may send to one cold server within `SHARE_WINDOW`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ColdShare {
    /// For decisions of the instance itself.
    pub direct: u32,
    /// For placements that it makes as the coordinator; 0 for other instances.
    pub coordinated: u32,
}

/// Server whose limit is divided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ColdTarget {
    /// Hash of the server's start.
    pub start: u64,
    /// Requests per second that it may get from all instances together.
    pub limit: u32,
    /// The coordinator places the requests to the server.
    pub is_engine: bool,
}

/// Computes the shares of one instance.
#[derive(Clone, Debug)]
pub struct ShareAllocator {
    started_at: Timestamp,
    /// Last time at which this process was seen to run; a long time since then shows that it was
    /// paused.
    running_at: Timestamp,
    /// Nothing is allocated as the coordinator before this time.
    coordinates_at: Timestamp,
    was_coordinator: bool,
    /// Numbers of followers in the last `live_timeout` and `SHARE_WINDOW` together, with when each was
    /// seen, the oldest first. The smallest one counts: the instance that a new follower followed before
    /// may count it until it takes it for silent, and what it has allocated until then counts for
    /// another `SHARE_WINDOW`.
    followers: VecDeque<(Timestamp, usize)>,
    /// Largest number of instances in the current and in the previous period of `COUNT_MEMORY`.
    counts: [usize; 2],
    period_start: Timestamp,
}

impl ShareAllocator {
    /// Creates the allocator of a process that starts now.
    pub fn new(now: Timestamp) -> Self {
        Self {
            started_at: now,
            running_at: now,
            coordinates_at: now,
            was_coordinator: false,
            followers: VecDeque::new(),
            counts: [0; 2],
            period_start: now,
        }
    }

    /// Records that the process runs. If it was paused for longer than the time after which peers count
    /// as silent, another instance may have become the coordinator and allocated the same share, so this
    /// one allocates nothing for that length of time. Called before each decision and at least at every
    /// digest.
    pub fn note_running(&mut self, now: Timestamp, live_timeout: Duration) {
        if now.since(self.running_at) >= live_timeout {
            self.coordinates_at = now + live_timeout;
        }
        self.running_at = now;
    }

    /// Updates what depends on the other instances. An instance that has just become the coordinator
    /// allocates nothing until the previous one must have noticed that it is cut off.
    pub fn update(&mut self, now: Timestamp, view: &FleetView) {
        self.note_running(now, view.live_timeout);
        if view.is_coordinator && !self.was_coordinator {
            self.coordinates_at = self.coordinates_at.max(now + view.live_timeout);
        }
        self.was_coordinator = view.is_coordinator;
        let memory = view.live_timeout + SHARE_WINDOW;
        while self.followers.front().is_some_and(|(at, _)| now.since(*at) >= memory) {
            self.followers.pop_front();
        }
        self.followers.push_back((now, view.followers));
        if now.since(self.period_start) >= COUNT_MEMORY {
            self.counts = [0, self.counts[0]];
            self.period_start = now;
        }
        self.counts[0] = self.counts[0].max(view.told).max(view.others.len() + 1);
    }

    /// Returns the number of instances among which limits are divided: the largest number that this
    /// instance recently knew or was told.
    pub fn instance_count(&self) -> usize {
        self.counts[0].max(self.counts[1]).max(1)
    }

    /// Returns this instance's share of the limit of one server. `update` was called with the same view.
    pub fn share(&self, now: Timestamp, view: &FleetView, target: ColdTarget) -> ColdShare {
        let limit = u64::from(target.limit);
        let coordinated = if target.is_engine { limit * COORDINATED_PERCENT / 100 } else { 0 };
        let direct = (limit - coordinated) * DIRECT_USE_PERCENT / 100;
        ColdShare {
            direct: self.direct_share(now, view, target.start, direct as usize) as u32,
            coordinated: self.coordinated_share(now, view, coordinated as usize) as u32,
        }
    }

    /// Returns the part of the coordinator's share that this instance may allocate: the part of all
    /// instances that takes it for the coordinator. As each instance follows only one, two that both
    /// take themselves for the coordinator together stay within the share.
    fn coordinated_share(&self, now: Timestamp, view: &FleetView, share: usize) -> usize {
        let is_alone = !view.has_heard && !view.others.is_empty();
        if !view.is_coordinator || is_alone || now < self.coordinates_at {
            return 0;
        }
        let followers = self.followers.iter().map(|(_, followers)| *followers).min();
        share * followers.unwrap_or(0) / self.instance_count()
    }

    /// Returns the number of requests that this instance may send without the coordinator. The requests
    /// are divided evenly, and the rest among those ranked highest by rendezvous hashing.
    fn direct_share(&self, now: Timestamp, view: &FleetView, start: u64, share: usize) -> usize {
        let age = now.since(self.started_at);
        if !view.has_heard && age < FIRST_SHARE_DELAY {
            return 0;
        }
        let (known, count) = (view.others.len() + 1, self.instance_count());
        let own = rendezvous(start, view.own);
        let higher = view.others.iter().filter(|other| rendezvous(start, **other) > own).count();
        // The rank among all instances is estimated from that among the known ones; the lowest one that
        // it may be counts.
        let rank = ((higher + 1) * count).div_ceil(known) - 1;
        let requests = share / count + usize::from(rank < share % count);
        // An instance without peers serves alone, unless its peers have had no time to be heard.
        let is_alone = view.others.is_empty() && age >= view.live_timeout;
        // An earlier process of this instance may have sent requests in the second before the start.
        let is_settled = age >= SHARE_WINDOW;
        let is_informed = (view.has_heard || is_alone) && is_settled && known * 2 >= count;
        if is_informed { requests } else { requests.min(1) }
    }
}

/// Returns the weight of an instance for one start of a server; the highest ones are chosen.
fn rendezvous(start: u64, instance: u64) -> u64 {
    // Finalizer of SplitMix64: both inputs are hashes already and need only be mixed.
    let mut mixed = start ^ instance.rotate_left(32);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Requests of the last `SHARE_WINDOW`.
#[derive(Clone, Debug, Default)]
struct SendWindow {
    /// When each was sent, the oldest first.
    sent: VecDeque<Timestamp>,
}

impl SendWindow {
    fn count(&self, now: Timestamp) -> u32 {
        self.sent.iter().rev().take_while(|at| now.since(**at) < SHARE_WINDOW).count() as u32
    }

    fn record(&mut self, now: Timestamp) {
        while self.sent.front().is_some_and(|at| now.since(*at) >= SHARE_WINDOW) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
    }
}

/// Cold time of one start of a server and the requests that count towards its limit.
#[derive(Clone, Debug, Default)]
pub struct ColdServer {
    /// Until when the server is cold; never moves back, because reports overtake one another.
    until: Option<Timestamp>,
    /// Share of this instance; `None` if the service has no limit. Outdated by at most the interval at
    /// which the owner of the directory updates it.
    share: Option<ColdShare>,
    /// Requests that count towards the share. Those sent before the server became cold count too, as do
    /// those that this instance has allowed peers to send.
    sent: SendWindow,
}

impl ColdServer {
    /// Records that the server stays cold for `remaining`, as a message states that may have been under
    /// way for `lateness`. Returns whether that is news, of which peers have to be told: the server is
    /// cold for longer than the same time counting down explains.
    pub fn extend(&mut self, now: Timestamp, remaining: Duration, lateness: Duration) -> bool {
        let until = now + remaining.min(COLD_TIME_MAX);
        let known = self.until.map_or(now, |until| now.max(until + lateness));
        let is_news = until.since(known) > NEWS_MIN;
        if is_news {
            self.until = Some(until);
        }
        is_news
    }

    /// Returns for how long the server stays cold.
    pub fn remaining(&self, now: Timestamp) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.since(now))
    }

    /// Returns whether a cold time of this start is known.
    pub fn has_stated(&self) -> bool {
        self.until.is_some()
    }

    /// Returns whether the server is cold or may still be; its limit is then in effect if it has one.
    pub fn is_cold(&self, now: Timestamp) -> bool {
        self.until.is_some_and(|until| now < until + COLD_MARGIN)
    }

    /// Sets the share of this instance; `None` if the service has no limit.
    pub fn set_share(&mut self, share: Option<ColdShare>) {
        if share.is_none() {
            self.sent = SendWindow::default();
        }
        self.share = share;
    }

    /// Returns whether the server is cold and this instance's share is used up.
    pub fn is_used_up(&self, now: Timestamp) -> bool {
        let share = self.share.filter(|_| self.is_cold(now));
        share.is_some_and(|share| self.sent.count(now) >= share.direct + share.coordinated)
    }

    /// Returns the number of requests counted within `SHARE_WINDOW`.
    pub fn sent_count(&self, now: Timestamp) -> u32 {
        self.sent.count(now)
    }

    /// Counts a request that is sent, or that a peer is allowed to send. Returns whether the server is
    /// cold and has a limit.
    pub fn record_send(&mut self, now: Timestamp) -> bool {
        if self.share.is_some() {
            self.sent.record(now);
        }
        self.share.is_some() && self.is_cold(now)
    }
}
