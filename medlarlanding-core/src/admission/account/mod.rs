//! Account of one engine, kept by the engine's manager: permits, memory forecast and queue.

mod dump;
mod slow_start;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use indexmap::IndexMap;

use crate::config::DeskObjective;
use crate::ids::{InstanceId, InstanceIdentity};
use crate::time::Timestamp;

use crate::admission::batch_limit::BatchLimiter;
use crate::admission::controller::ServerCapacity;
use crate::admission::lengths::LengthEstimator;
use crate::admission::memory::{MemoryForecast, MemoryNeed};
use crate::admission::messages::{DeclineReason, ReleasedWork, ServerStatus, WorkItem, WorkStage};
use crate::admission::params::AdmissionParams;
use crate::admission::queue::{FairQueue, QueuedWork, WorkKey};

pub use dump::{AccountDump, PermitDump};

/// Time over which the engine's throughput is averaged; long enough to span several long
/// generations.
const THROUGHPUT_WINDOW: Duration = Duration::from_secs(60);
/// Shortest interval between two reports of a request from which the time between tokens is
/// computed.
const MIN_GAP_SAMPLE: Duration = Duration::from_millis(200);
/// Shortest horizon of the memory forecast in decoding steps; about one second of decoding.
const MIN_HORIZON: u32 = 32;
/// Priority for which [`ServerStatus::wait_ms`] is computed.
const STATUS_PRIORITY: u8 = 5;

/// The right of one request to start or run on the engine.
#[derive(Clone, Debug)]
struct Permit {
    item: WorkItem,
    /// Time of the grant, or of the first report to this manager.
    granted_at: Timestamp,
    /// Time of the last report, or of the grant if no report came later.
    reported_at: Timestamp,
    /// Sequence number of the latest message about the request.
    seq: u64,
    /// Whether the lease has expired and the permit only keeps the memory charged.
    detached: bool,
}

/// A request that ended, kept so that delayed copies of messages about it are ignored.
#[derive(Clone, Copy, Debug)]
struct EndedWork {
    seq: u64,
    at: Timestamp,
}

/// A manager's decision about one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ManagerDecision {
    /// The instance that the request belongs to.
    pub to: InstanceIdentity,
    /// Number of the request within that instance's process.
    pub number: u64,
    /// Sequence number of the latest message about the request that was received.
    pub acked_seq: u64,
    /// Whether the request may start.
    pub kind: DecisionKind,
}

/// Outcome of a [`ManagerDecision`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DecisionKind {
    /// The request may start.
    Grant,
    /// The request gets no permit from this manager.
    Decline(DeclineReason),
}

/// Grants the permits of one engine and queues the requests that wait for one.
#[derive(Clone, Debug)]
pub struct BackendAccount {
    params: AdmissionParams,
    capacity: ServerCapacity,
    /// Invariant: after every tick each permit was reported or granted within `detached_hold`,
    /// and `issued` equals the number of permits plus `released` plus `lapsed`.
    permits: IndexMap<WorkKey, Permit>,
    queue: FairQueue,
    ended: IndexMap<WorkKey, EndedWork>,
    batch_limiter: BatchLimiter,
    adapted_at: Timestamp,
    suspect_until: Option<Timestamp>,
    /// Largest number of permits while the engine is in slow start; `None` otherwise.
    pace_limit: Option<u32>,
    /// Number of live instances.
    live: usize,
    /// Live instances whose permits may not all be known yet.
    unreported: BTreeSet<InstanceId>,
    warm_up_until: Timestamp,
    /// Prompt and output tokens of finished requests, with exponential decay over
    /// `THROUGHPUT_WINDOW`.
    finished_tokens: f64,
    finished_decayed_at: Timestamp,
    created_at: Timestamp,
    issued: u64,
    released: u64,
    lapsed: u64,
}

impl BackendAccount {
    /// Creates an account in warm-up: no instance has reported yet.
    pub fn new(
        params: AdmissionParams,
        capacity: ServerCapacity,
        live: &[InstanceIdentity],
        now: Timestamp,
    ) -> Self {
        let queue = FairQueue::new(params.quantum_tokens);
        let batch_limiter = BatchLimiter::new(params.target_gap, capacity.max_batch);
        let mut account = Self {
            params,
            capacity,
            permits: IndexMap::new(),
            queue,
            ended: IndexMap::new(),
            batch_limiter,
            adapted_at: now,
            suspect_until: None,
            pace_limit: None,
            live: 0,
            unreported: BTreeSet::new(),
            warm_up_until: now,
            finished_tokens: 0.0,
            finished_decayed_at: now,
            created_at: now,
            issued: 0,
            released: 0,
            lapsed: 0,
        };
        account.start_warm_up(live, now);
        account
    }

    /// Starts the warm-up, during which instances may hold permits that this manager does not
    /// know of. Needed after a change of the manager and after a pause of the process.
    ///
    /// The warm-up ends when every live instance has reported or one lease has passed. Until
    /// then the fraction of the capacity in use is at most the fraction of the live instances
    /// that have reported.
    pub fn start_warm_up(&mut self, live: &[InstanceIdentity], now: Timestamp) {
        self.live = live.len();
        self.unreported = live.iter().map(|instance| instance.id).collect();
        self.warm_up_until = now + self.params.lease;
    }

    /// Replaces the live instances. Instances that joined hold no permits, so they need not
    /// report before the warm-up ends.
    pub fn set_live(&mut self, live: &[InstanceIdentity]) {
        self.live = live.len();
        self.unreported.retain(|id| live.iter().any(|instance| instance.id == *id));
    }

    /// Replaces the engine's description. A new `max_batch` also resets the batch limit.
    pub fn set_capacity(&mut self, capacity: ServerCapacity) {
        if capacity.max_batch != self.capacity.max_batch {
            self.batch_limiter = BatchLimiter::new(self.params.target_gap, capacity.max_batch);
        }
        self.capacity = capacity;
    }

    /// Grants no permits for `suspect_hold`, because the engine does not respond.
    pub fn suspect(&mut self, now: Timestamp) {
        self.suspect_until = Some(now + self.params.suspect_hold);
    }

    /// Records that an instance has reported all its requests at this engine.
    pub fn mark_reported(&mut self, from: InstanceId) {
        self.unreported.remove(&from);
    }

    /// Processes one reported request: renews its permit, queues it or declines it. The caller
    /// calls [`Self::grant`] afterwards.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        seq: u64,
        item: WorkItem,
        lengths: &LengthEstimator,
        decisions: &mut Vec<ManagerDecision>,
    ) {
        let key = (from.id, from.incarnation.started, item.number);
        if self.ended.get(&key).is_some_and(|ended| self.is_stale(seq, ended.seq)) {
            return;
        }
        match item.stage {
            WorkStage::Running => self.report_running(now, key, seq, item),
            WorkStage::Waiting { time_left_ms, .. } => {
                let deadline = now + Duration::from_millis(u64::from(time_left_ms));
                self.report_waiting(now, from, seq, item, deadline, lengths, decisions);
            },
        }
    }

    fn is_stale(&self, seq: u64, known: u64) -> bool {
        self.params.check_sequence && seq <= known
    }

    fn report_running(&mut self, now: Timestamp, key: WorkKey, seq: u64, item: WorkItem) {
        self.queue.remove(key);
        if let Some(permit) = self.permits.get_mut(&key) {
            if self.params.check_sequence && seq <= permit.seq {
                return;
            }
            let elapsed = now.since(permit.reported_at);
            if elapsed >= MIN_GAP_SAMPLE && permit.item.decoded > 0 {
                self.batch_limiter
                    .observe(item.decoded.saturating_sub(permit.item.decoded), elapsed);
            }
            let granted_at = permit.granted_at;
            *permit = Permit { item, granted_at, reported_at: now, seq, detached: false };
        } else {
            self.issued += 1;
            let granted_at = now;
            let permit = Permit { item, granted_at, reported_at: now, seq, detached: false };
            self.permits.insert(key, permit);
        }
    }

    #[allow(clippy::too_many_arguments)]
    fn report_waiting(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        seq: u64,
        item: WorkItem,
        deadline: Timestamp,
        lengths: &LengthEstimator,
        decisions: &mut Vec<ManagerDecision>,
    ) {
        let key = (from.id, from.incarnation.started, item.number);
        let decision =
            |kind| ManagerDecision { to: from, number: item.number, acked_seq: seq, kind };
        if let Some(permit) = self.permits.get_mut(&key) {
            if self.params.check_sequence && seq <= permit.seq {
                return;
            }
            // The earlier grant was lost or arrived too late: grant again with a new lease.
            if permit.item.stage != WorkStage::Running {
                permit.reported_at = now;
                permit.seq = seq;
                permit.detached = false;
                decisions.push(decision(DecisionKind::Grant));
            }
            return;
        }
        if !self.accepts_work(now) {
            self.queue.remove(key);
            decisions.push(decision(DecisionKind::Decline(DeclineReason::ServerClosed)));
            return;
        }
        if let Some(work) = self.queue.get_mut(key) {
            if seq > work.seq {
                (work.item, work.reported_at, work.seq) = (item, now, seq);
                work.deadline = deadline;
            }
            return;
        }
        let curve = lengths.curve(item.route);
        let expected = curve.mean_remaining(0, item.max_tokens);
        let run = self.batch_limiter.gap().mul_f64(expected.max(0.0));
        let reason = if f64::from(item.prompt_tokens) >= self.usable_tokens() {
            Some(DeclineReason::TooLarge)
        } else if self.queue.len() >= self.params.queue_limit {
            Some(DeclineReason::QueueFull)
        } else if now
            + self.expected_wait(now, queue_level(item.priority, item.over_soft_limit))
            + run
            > deadline
        {
            Some(DeclineReason::WaitTooLong)
        } else {
            None
        };
        if let Some(reason) = reason {
            decisions.push(decision(DecisionKind::Decline(reason)));
            return;
        }
        let cost = item.prompt_tokens.saturating_add(expected as u32);
        let level = queue_level(item.priority, item.over_soft_limit);
        let work =
            QueuedWork { item, cost, queued_at: now, reported_at: now, seq, level, deadline };
        self.queue.push(key, work);
    }

    /// Removes a request that ended, whether it waited or ran.
    pub fn release(&mut self, now: Timestamp, from: InstanceIdentity, released: &ReleasedWork) {
        let seq = released.seq;
        let key = (from.id, from.incarnation.started, released.number);
        if self.ended.get(&key).is_some_and(|ended| ended.seq >= seq) {
            return;
        }
        let known = self.permits.get(&key).map(|permit| permit.seq);
        let known = known.or(self.queue.get_mut(key).map(|work| work.seq));
        if known.is_some_and(|known| self.is_stale(seq, known)) {
            return;
        }
        self.ended.insert(key, EndedWork { seq, at: now });
        self.queue.remove(key);
        if let Some(permit) = self.permits.swap_remove(&key) {
            self.released += 1;
            if permit.item.stage == WorkStage::Running || released.decoded > 0 {
                self.record_finished(now, permit.item.prompt_tokens, released.decoded);
            }
        }
    }

    fn record_finished(&mut self, now: Timestamp, prompt_tokens: u32, decoded: u32) {
        self.decay_finished(now);
        self.finished_tokens += f64::from(prompt_tokens) + f64::from(decoded);
    }

    fn decay_finished(&mut self, now: Timestamp) {
        let elapsed = now.since(self.finished_decayed_at).as_secs_f64();
        self.finished_tokens *= (-elapsed / THROUGHPUT_WINDOW.as_secs_f64()).exp();
        self.finished_decayed_at = now;
    }

    /// Returns the expected wait of a new request at a queue level; zero while no request has
    /// finished yet.
    fn expected_wait(&self, now: Timestamp, level: u8) -> Duration {
        let ahead = self.queue.cost_ahead(level);
        let window = now.since(self.created_at).min(THROUGHPUT_WINDOW).as_secs_f64();
        if ahead <= 0.0 || self.finished_tokens <= 0.0 || window <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((ahead * window / self.finished_tokens).min(86_400.0))
    }

    /// Expires leases, removes queued requests that can no longer be served and grants permits.
    pub fn tick(
        &mut self,
        now: Timestamp,
        lengths: &LengthEstimator,
        out: &mut Vec<ManagerDecision>,
    ) {
        self.expire(now, lengths, out);
        self.decay_finished(now);
        if now.since(self.adapted_at) >= self.params.report_interval {
            self.adapted_at = now;
            self.batch_limiter.adapt(self.permits.len());
        }
        if now >= self.warm_up_until {
            self.unreported.clear();
        }
        self.grant(now, lengths, out);
        self.check_invariants(now);
    }

    fn expire(
        &mut self,
        now: Timestamp,
        lengths: &LengthEstimator,
        out: &mut Vec<ManagerDecision>,
    ) {
        if self.params.expire_leases {
            let (lease, hold) = (self.params.lease, self.params.detached_hold);
            let before = self.permits.len();
            self.permits.retain(|_, permit| {
                let since_report = now.since(permit.reported_at);
                permit.detached |= since_report > lease;
                // A granted request that was never reported as running was not started, and its
                // instance must not start it after the lease, so no memory stays charged for it.
                since_report <= if permit.item.stage == WorkStage::Running { hold } else { lease }
            });
            self.lapsed += (before - self.permits.len()) as u64;
        }
        // Messages delayed by more than two leases are dropped by their sequence number before
        // they reach the account.
        let keep = self.params.lease * 3;
        self.ended.retain(|_, ended| now.since(ended.at) <= keep);
        let accepting = self.accepts_work(now);
        let gap = self.batch_limiter.gap();
        let expired: Vec<_> = self
            .queue
            .iter()
            .filter_map(|(&key, work)| {
                let curve = lengths.curve(work.item.route);
                let run = gap.mul_f64(curve.mean_remaining(0, work.item.max_tokens).max(0.0));
                if now.since(work.reported_at) > self.params.lease {
                    Some((key, None))
                } else if !accepting {
                    Some((key, Some(DeclineReason::ServerClosed)))
                } else if now + run > work.deadline {
                    Some((key, Some(DeclineReason::WaitTooLong)))
                } else {
                    None
                }
            })
            .collect();
        for (key, reason) in expired {
            let Some(work) = self.queue.remove(key) else { continue };
            if let Some(reason) = reason {
                out.push(ManagerDecision {
                    to: identity(key),
                    number: key.2,
                    acked_seq: work.seq,
                    kind: DecisionKind::Decline(reason),
                });
            }
        }
    }

    /// Grants permits in queue order until a request does not fit. Smaller requests behind it
    /// also wait, because otherwise a large one could wait forever.
    pub fn grant(
        &mut self,
        now: Timestamp,
        lengths: &LengthEstimator,
        out: &mut Vec<ManagerDecision>,
    ) {
        while self.accepts_work(now) {
            let Some((key, work)) = self.queue.peek() else { break };
            if !self.fits(&work.item, lengths) {
                break;
            }
            self.queue.take(key);
            self.issued += 1;
            let permit = Permit {
                item: work.item,
                granted_at: now,
                reported_at: now,
                seq: work.seq,
                detached: false,
            };
            self.permits.insert(key, permit);
            out.push(ManagerDecision {
                to: identity(key),
                number: key.2,
                acked_seq: work.seq,
                kind: DecisionKind::Grant,
            });
        }
    }

    /// Returns whether new permits are granted: the engine is neither leaving nor suspected.
    fn accepts_work(&self, now: Timestamp) -> bool {
        self.capacity.accepting && self.suspect_until.is_none_or(|until| now >= until)
    }

    /// Returns the memory that permits may use, in tokens.
    fn usable_tokens(&self) -> f64 {
        self.capacity.kv_tokens as f64 * (1.0 - self.params.memory_margin)
    }

    /// Returns the fraction of the live instances that have reported, 0 to 1.
    fn reported_fraction(&self) -> f64 {
        if self.live == 0 {
            return 1.0;
        }
        (self.live - self.unreported.len().min(self.live)) as f64 / self.live as f64
    }

    fn fits(&self, item: &WorkItem, lengths: &LengthEstimator) -> bool {
        let fraction = self.reported_fraction();
        let running = self.permits.len();
        if (running + 1) as f64 > f64::from(self.capacity.max_batch) * fraction {
            return false;
        }
        if self.pace_limit.is_some_and(|limit| running >= limit as usize) {
            return false;
        }
        let least_stall = |item: &WorkItem| item.objective == DeskObjective::LeastStall;
        let limits_stalls =
            least_stall(item) || self.permits.values().any(|p| least_stall(&p.item));
        if limits_stalls && running >= self.batch_limiter.limit() {
            return false;
        }
        let headroom = if item.over_soft_limit { self.headroom() } else { 0.0 };
        let limit = self.usable_tokens() * fraction * (1.0 - headroom);
        if running == 0 {
            return f64::from(item.prompt_tokens) < limit;
        }
        let z = match item.objective {
            DeskObjective::FewestPreemptions => self.params.z_fewest_preemptions,
            DeskObjective::LeastStall => self.params.z_least_stall,
        };
        let mut forecast = self.forecast(lengths);
        forecast.add(&memory_need(item, lengths));
        // The forecast covers the time until the new request reaches its median length. Memory
        // growth after that is met by admitting fewer requests at that time.
        let median = lengths.curve(item.route).median().min(item.max_tokens);
        forecast.peak(z, median.max(MIN_HORIZON)) <= limit
    }

    /// Returns the fraction of the memory that customers over their soft limit leave free, so
    /// that the requests of other customers need not wait for a long generation to end.
    ///
    /// The fraction falls as the shares of the customers over their soft limit grow and is zero
    /// once those are half of all shares at this engine. Otherwise memory would stay unused
    /// while all customers are overloaded.
    fn headroom(&self) -> f64 {
        let queued = self.queue.iter().map(|(_, work)| &work.item);
        let held = self.permits.values().map(|permit| &permit.item);
        let mut shares = BTreeMap::new();
        for item in held.chain(queued) {
            let entry = shares.entry(item.customer).or_insert((item.share, false));
            entry.1 |= item.over_soft_limit;
        }
        let all: u32 = shares.values().map(|&(share, _)| share).sum();
        let over: u32 = shares.values().filter(|entry| entry.1).map(|&(share, _)| share).sum();
        let fraction = f64::from(over) / f64::from(all.max(1));
        self.params.soft_limit_headroom * (1.0 - 2.0 * fraction).max(0.0)
    }

    fn forecast(&self, lengths: &LengthEstimator) -> MemoryForecast {
        let mut forecast = MemoryForecast::default();
        for permit in self.permits.values() {
            forecast.add(&memory_need(&permit.item, lengths));
        }
        forecast
    }

    /// Returns the load and expected wait by which instances rank servers.
    pub fn status(&self, now: Timestamp, lengths: &LengthEstimator) -> ServerStatus {
        let memory = self.forecast(lengths).peak(0.0, u32::MAX) / self.usable_tokens().max(1.0);
        let places = self.capacity.max_batch.min(self.pace_limit.unwrap_or(u32::MAX)).max(1);
        let batch = self.permits.len() as f64 / f64::from(places);
        ServerStatus {
            server: self.capacity.server,
            load_permille: (memory.max(batch) * 1000.0) as u32,
            queued: self.queue.len() as u32,
            wait_ms: self.expected_wait(now, queue_level(STATUS_PRIORITY, false)).as_millis()
                as u32,
            accepting: self.accepts_work(now),
        }
    }

    /// Checks the invariants of the permits.
    ///
    /// # Panics
    ///
    /// If a permit was not reported within the lease and hold, a request both has a permit and
    /// is queued, or the counts of permits do not add up.
    fn check_invariants(&self, now: Timestamp) {
        let longest = self.params.lease.max(self.params.detached_hold);
        for (key, permit) in &self.permits {
            assert!(
                now.since(permit.reported_at) <= longest,
                "permit {key:?} was not removed: last reported {:?} ago",
                now.since(permit.reported_at)
            );
            assert!(
                !self.queue.iter().any(|(queued, _)| queued == key),
                "request {key:?} has a permit and is queued"
            );
        }
        assert_eq!(
            self.issued,
            self.permits.len() as u64 + self.released + self.lapsed,
            "issued permits must be held, released or lapsed"
        );
    }
}

fn identity(key: WorkKey) -> InstanceIdentity {
    InstanceIdentity { id: key.0, incarnation: crate::ids::Incarnation::new(key.1) }
}

/// Returns the queue's level, higher served first: by priority, and within a priority customers
/// over their soft limit last.
fn queue_level(priority: u8, over_soft_limit: bool) -> u8 {
    priority.saturating_mul(2).saturating_add(u8::from(!over_soft_limit))
}

fn memory_need<'a>(item: &WorkItem, lengths: &'a LengthEstimator) -> MemoryNeed<'a> {
    MemoryNeed {
        prompt_tokens: item.prompt_tokens,
        decoded: item.decoded,
        max_tokens: item.max_tokens,
        curve: lengths.curve(item.route),
    }
}
