//! Account of one engine: permits, memory forecast and queue, kept by its account manager.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use indexmap::IndexMap;

use crate::config::DeskObjective;
use crate::ids::{InstanceId, InstanceIdentity, ServerId};
use crate::time::Timestamp;

use super::controller::ServerCapacity;
use super::lengths::LengthEstimator;
use super::memory::{MemoryForecast, MemoryNeed};
use super::messages::{DeclineReason, ReleasedWork, ServerStatus, WorkItem, WorkStage};
use super::pace::StepGovernor;
use super::params::AdmissionParams;
use super::queue::{FairQueue, QueuedWork, WorkKey};

/// Time over which the rate of finished work is averaged; long enough to span several drafts.
const DRAIN_WINDOW: Duration = Duration::from_secs(60);
/// Shortest distance of two reports from which a time between tokens is derived.
const PACE_WINDOW: Duration = Duration::from_millis(200);
/// Shortest horizon of the memory forecast in tokens; about one second of decoding.
const SHORTEST_HORIZON: u32 = 32;
/// Priority for which the wait in a status is computed.
const MIDDLE_PRIORITY: u8 = 5;

/// A running or granted request at the account.
#[derive(Clone, Debug)]
struct Permit {
    item: WorkItem,
    /// When it was granted or last reported.
    heard: Timestamp,
    /// Latest message about it.
    seq: u64,
    /// The lease has expired; only the memory stays charged.
    detached: bool,
}

/// A request that ended, kept to recognise late copies of messages about it.
#[derive(Clone, Copy, Debug)]
struct EndedWork {
    seq: u64,
    at: Timestamp,
}

/// Decision of the manager about one waiting request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Verdict {
    /// The instance that asked.
    pub to: InstanceIdentity,
    /// Number of the request.
    pub number: u64,
    /// Latest message about the request that was received.
    pub heard: u64,
    /// The decision.
    pub kind: VerdictKind,
}

/// Kind of a [`Verdict`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VerdictKind {
    /// The request may start.
    Grant,
    /// It may not.
    Decline(DeclineReason),
}

value_type! {
    /// One permit for the dump.
    pub struct PermitDump {
        /// The instance that holds it.
        pub instance: InstanceId,
        /// The request as last reported.
        pub item: WorkItem,
        /// Time since the last report, ms.
        pub silent_ms: u64,
        /// Whether the lease has expired and only the memory is charged.
        pub detached: bool,
    }
}

value_type! {
    /// State of an account for the dump.
    pub struct AccountDump {
        /// The server.
        pub server: ServerId,
        /// Permits.
        pub permits: Vec<PermitDump>,
        /// Number of queued requests.
        pub queued: usize,
        /// Expected peak of the memory in use, tokens.
        pub expected_tokens: u64,
        /// Memory of the server, tokens.
        pub kv_tokens: u64,
        /// Current batch limit of `least_stall`.
        pub batch_limit: usize,
        /// Live instances that have not reported since this instance became the manager.
        pub unheard: usize,
        /// Permits granted or announced so far.
        pub issued: u64,
        /// Permits released so far.
        pub released: u64,
        /// Permits dropped after they lapsed.
        pub lapsed: u64,
    }
}

/// Keeps the permits and the queue of one engine.
#[derive(Clone, Debug)]
pub struct BackendAccount {
    params: AdmissionParams,
    capacity: ServerCapacity,
    /// Invariant: after every tick each permit was heard of within `detached_hold`, and
    /// `issued` is the number of permits plus `released` plus `lapsed`.
    permits: IndexMap<WorkKey, Permit>,
    queue: FairQueue,
    ended: IndexMap<WorkKey, EndedWork>,
    pace: StepGovernor,
    paced_at: Timestamp,
    suspect_until: Option<Timestamp>,
    live: usize,
    unheard: BTreeSet<InstanceId>,
    warm_until: Timestamp,
    /// Tokens of finished work, decayed over `DRAIN_WINDOW`.
    drained: f64,
    drained_at: Timestamp,
    created_at: Timestamp,
    issued: u64,
    released: u64,
    lapsed: u64,
}

impl BackendAccount {
    /// Creates an account that has heard of no instance yet.
    pub fn new(
        params: AdmissionParams,
        capacity: ServerCapacity,
        live: &[InstanceIdentity],
        now: Timestamp,
    ) -> Self {
        let queue = FairQueue::new(params.quantum_tokens);
        let pace = StepGovernor::new(params.target_gap, capacity.max_batch);
        let mut account = Self {
            params,
            capacity,
            permits: IndexMap::new(),
            queue,
            ended: IndexMap::new(),
            pace,
            paced_at: now,
            suspect_until: None,
            live: 0,
            unheard: BTreeSet::new(),
            warm_until: now,
            drained: 0.0,
            drained_at: now,
            created_at: now,
            issued: 0,
            released: 0,
            lapsed: 0,
        };
        account.start_warm_up(live, now);
        account
    }

    /// Treats every instance as unheard, as after a change of the manager or a pause.
    ///
    /// Until all live instances have reported or one lease has passed, only the part of the
    /// capacity that belongs to the instances heard of is used.
    pub fn start_warm_up(&mut self, live: &[InstanceIdentity], now: Timestamp) {
        self.live = live.len();
        self.unheard = live.iter().map(|instance| instance.id).collect();
        self.warm_until = now + self.params.lease;
    }

    /// Takes over a change of the live instances. Those that joined hold no permits.
    pub fn set_live(&mut self, live: &[InstanceIdentity]) {
        self.live = live.len();
        self.unheard.retain(|id| live.iter().any(|instance| instance.id == *id));
    }

    /// Takes over the server's description.
    pub fn set_capacity(&mut self, capacity: ServerCapacity) {
        if capacity.max_batch != self.capacity.max_batch {
            self.pace = StepGovernor::new(self.params.target_gap, capacity.max_batch);
        }
        self.capacity = capacity;
    }

    /// Gives no new permits for a while.
    pub fn suspect(&mut self, now: Timestamp) {
        self.suspect_until = Some(now + self.params.suspect_hold);
    }

    /// Notes that an instance has reported everything it has at this server.
    pub fn hear(&mut self, from: InstanceId) {
        self.unheard.remove(&from);
    }

    /// Takes in one reported request.
    pub fn report(
        &mut self,
        now: Timestamp,
        from: InstanceIdentity,
        seq: u64,
        item: WorkItem,
        lengths: &LengthEstimator,
        verdicts: &mut Vec<Verdict>,
    ) {
        let key = (from.id, from.incarnation.started, item.number);
        if self.ended.get(&key).is_some_and(|ended| self.late(seq, ended.seq)) {
            return;
        }
        match item.stage {
            WorkStage::Running => self.report_running(now, key, seq, item),
            WorkStage::Waiting { patience_ms, .. } => {
                let deadline = now + Duration::from_millis(u64::from(patience_ms));
                self.report_waiting(now, from, seq, item, deadline, lengths, verdicts);
            },
        }
    }

    fn late(&self, seq: u64, known: u64) -> bool {
        self.params.check_sequence && seq <= known
    }

    fn report_running(&mut self, now: Timestamp, key: WorkKey, seq: u64, item: WorkItem) {
        self.queue.remove(key);
        if let Some(permit) = self.permits.get_mut(&key) {
            if self.params.check_sequence && seq <= permit.seq {
                return;
            }
            let elapsed = now.since(permit.heard);
            if elapsed >= PACE_WINDOW && permit.item.decoded > 0 {
                self.pace.observe(item.decoded.saturating_sub(permit.item.decoded), elapsed);
            }
            *permit = Permit { item, heard: now, seq, detached: false };
        } else {
            self.issued += 1;
            self.permits.insert(key, Permit { item, heard: now, seq, detached: false });
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
        verdicts: &mut Vec<Verdict>,
    ) {
        let key = (from.id, from.incarnation.started, item.number);
        let verdict = |kind| Verdict { to: from, number: item.number, heard: seq, kind };
        if let Some(permit) = self.permits.get_mut(&key) {
            if self.params.check_sequence && seq <= permit.seq {
                return;
            }
            // The grant was lost or came too late; the permit's lease starts again.
            if permit.item.stage != WorkStage::Running {
                permit.heard = now;
                permit.seq = seq;
                permit.detached = false;
                verdicts.push(verdict(VerdictKind::Grant));
            }
            return;
        }
        if !self.open(now) {
            self.queue.remove(key);
            verdicts.push(verdict(VerdictKind::Decline(DeclineReason::ServerClosed)));
            return;
        }
        if let Some(work) = self.queue.get_mut(key) {
            if seq > work.seq {
                (work.item, work.heard, work.seq) = (item, now, seq);
                work.deadline = deadline;
            }
            return;
        }
        let curve = lengths.curve(item.route);
        let expected = curve.mean_remaining(0, item.max_tokens);
        let run = self.pace.gap().mul_f64(expected.max(0.0));
        let reason = if f64::from(item.prompt_tokens) >= self.usable() {
            Some(DeclineReason::TooLarge)
        } else if self.queue.len() >= self.params.queue_limit {
            Some(DeclineReason::QueueFull)
        } else if now + self.wait(now, level(item.priority, item.surplus)) + run > deadline {
            Some(DeclineReason::WaitTooLong)
        } else {
            None
        };
        if let Some(reason) = reason {
            verdicts.push(verdict(VerdictKind::Decline(reason)));
            return;
        }
        let cost = item.prompt_tokens.saturating_add(expected as u32);
        let level = level(item.priority, item.surplus);
        let work = QueuedWork { item, cost, since: now, heard: now, seq, level, deadline };
        self.queue.push(key, work);
    }

    /// Takes in the end of a request, whether it waited or ran.
    pub fn release(&mut self, now: Timestamp, from: InstanceIdentity, released: &ReleasedWork) {
        let seq = released.seq;
        let key = (from.id, from.incarnation.started, released.number);
        if self.ended.get(&key).is_some_and(|ended| ended.seq >= seq) {
            return;
        }
        let known = self.permits.get(&key).map(|permit| permit.seq);
        let known = known.or(self.queue.get_mut(key).map(|work| work.seq));
        if known.is_some_and(|known| self.late(seq, known)) {
            return;
        }
        self.ended.insert(key, EndedWork { seq, at: now });
        self.queue.remove(key);
        if let Some(permit) = self.permits.swap_remove(&key) {
            self.released += 1;
            if permit.item.stage == WorkStage::Running || released.decoded > 0 {
                self.note_drained(now, permit.item.prompt_tokens, released.decoded);
            }
        }
    }

    fn note_drained(&mut self, now: Timestamp, prompt_tokens: u32, decoded: u32) {
        self.decay_drained(now);
        self.drained += f64::from(prompt_tokens) + f64::from(decoded);
    }

    fn decay_drained(&mut self, now: Timestamp) {
        let elapsed = now.since(self.drained_at).as_secs_f64();
        self.drained *= (-elapsed / DRAIN_WINDOW.as_secs_f64()).exp();
        self.drained_at = now;
    }

    /// Returns the expected wait of a new request. Zero while no work has finished yet.
    fn wait(&self, now: Timestamp, level: u8) -> Duration {
        let ahead = self.queue.cost_ahead(level);
        let window = now.since(self.created_at).min(DRAIN_WINDOW).as_secs_f64();
        if ahead <= 0.0 || self.drained <= 0.0 || window <= 0.0 {
            return Duration::ZERO;
        }
        Duration::from_secs_f64((ahead * window / self.drained).min(86_400.0))
    }

    /// Expires leases, drops what waits in vain and grants what fits.
    pub fn tick(&mut self, now: Timestamp, lengths: &LengthEstimator, out: &mut Vec<Verdict>) {
        self.expire(now, lengths, out);
        self.decay_drained(now);
        if now.since(self.paced_at) >= self.params.report_interval {
            self.paced_at = now;
            self.pace.adapt(self.permits.len());
        }
        if now >= self.warm_until {
            self.unheard.clear();
        }
        self.grant(now, lengths, out);
        self.check(now);
    }

    fn expire(&mut self, now: Timestamp, lengths: &LengthEstimator, out: &mut Vec<Verdict>) {
        if self.params.expire_leases {
            let (lease, hold) = (self.params.lease, self.params.detached_hold);
            let before = self.permits.len();
            self.permits.retain(|_, permit| {
                let silent = now.since(permit.heard);
                permit.detached |= silent > lease;
                // A granted request that was never reported as running was not started:
                // its instance must not start it after the lease.
                silent <= if permit.item.stage == WorkStage::Running { hold } else { lease }
            });
            self.lapsed += (before - self.permits.len()) as u64;
        }
        // Late copies older than two leases are recognised by the message number alone.
        let keep = self.params.lease * 3;
        self.ended.retain(|_, ended| now.since(ended.at) <= keep);
        let open = self.open(now);
        let gap = self.pace.gap();
        let gone: Vec<_> = self
            .queue
            .iter()
            .filter_map(|(&key, work)| {
                let curve = lengths.curve(work.item.route);
                let run = gap.mul_f64(curve.mean_remaining(0, work.item.max_tokens).max(0.0));
                if now.since(work.heard) > self.params.lease {
                    Some((key, None))
                } else if !open {
                    Some((key, Some(DeclineReason::ServerClosed)))
                } else if now + run > work.deadline {
                    Some((key, Some(DeclineReason::WaitTooLong)))
                } else {
                    None
                }
            })
            .collect();
        for (key, reason) in gone {
            let Some(work) = self.queue.remove(key) else { continue };
            if let Some(reason) = reason {
                out.push(Verdict {
                    to: identity(key),
                    number: key.2,
                    heard: work.seq,
                    kind: VerdictKind::Decline(reason),
                });
            }
        }
    }

    /// Grants queued requests in order while they fit. A request that does not fit is not
    /// passed over, or a large one could wait forever.
    pub fn grant(&mut self, now: Timestamp, lengths: &LengthEstimator, out: &mut Vec<Verdict>) {
        while self.open(now) {
            let Some((key, work)) = self.queue.peek() else { break };
            if !self.fits(&work.item, lengths) {
                break;
            }
            self.queue.take(key);
            self.issued += 1;
            let permit = Permit { item: work.item, heard: now, seq: work.seq, detached: false };
            self.permits.insert(key, permit);
            out.push(Verdict {
                to: identity(key),
                number: key.2,
                heard: work.seq,
                kind: VerdictKind::Grant,
            });
        }
    }

    /// Returns whether new permits are given.
    fn open(&self, now: Timestamp) -> bool {
        self.capacity.accepting && self.suspect_until.is_none_or(|until| now >= until)
    }

    /// Returns the memory that may be planned for, in tokens.
    fn usable(&self) -> f64 {
        self.capacity.kv_tokens as f64 * (1.0 - self.params.memory_margin)
    }

    /// Returns the part of the capacity that belongs to the instances heard of.
    fn heard_part(&self) -> f64 {
        if self.live == 0 {
            return 1.0;
        }
        (self.live - self.unheard.len().min(self.live)) as f64 / self.live as f64
    }

    fn fits(&self, item: &WorkItem, lengths: &LengthEstimator) -> bool {
        let part = self.heard_part();
        let running = self.permits.len();
        if (running + 1) as f64 > f64::from(self.capacity.max_batch) * part {
            return false;
        }
        let least_stall = |item: &WorkItem| item.objective == DeskObjective::LeastStall;
        let paced = least_stall(item) || self.permits.values().any(|p| least_stall(&p.item));
        if paced && running >= self.pace.limit() {
            return false;
        }
        let headroom = if item.surplus { self.headroom() } else { 0.0 };
        let limit = self.usable() * part * (1.0 - headroom);
        if running == 0 {
            return f64::from(item.prompt_tokens) < limit;
        }
        let z = match item.objective {
            DeskObjective::FewestPreemptions => self.params.z_fewest_preemptions,
            DeskObjective::LeastStall => self.params.z_least_stall,
        };
        let mut forecast = self.forecast(lengths);
        forecast.add(&need(item, lengths));
        // Up to the time at which the new request reaches its median length; later growth is
        // met by admitting less then.
        let median = lengths.curve(item.route).median().min(item.max_tokens);
        forecast.peak(z, median.max(SHORTEST_HORIZON)) <= limit
    }

    /// Returns the part of the memory that customers in surplus leave free for the others, so
    /// that those need not wait for a long answer to end.
    ///
    /// It shrinks with the shares of the customers in surplus and is nothing once they are half
    /// of all at this server, or an overload of all customers would leave memory unused.
    fn headroom(&self) -> f64 {
        let queued = self.queue.iter().map(|(_, work)| &work.item);
        let held = self.permits.values().map(|permit| &permit.item);
        let mut shares = BTreeMap::new();
        for item in held.chain(queued) {
            let surplus = shares.entry(item.customer).or_insert((item.share, false));
            surplus.1 |= item.surplus;
        }
        let all: u32 = shares.values().map(|&(share, _)| share).sum();
        let over: u32 = shares.values().filter(|entry| entry.1).map(|&(share, _)| share).sum();
        let part = f64::from(over) / f64::from(all.max(1));
        self.params.surplus_headroom * (1.0 - 2.0 * part).max(0.0)
    }

    fn forecast(&self, lengths: &LengthEstimator) -> MemoryForecast {
        let mut forecast = MemoryForecast::default();
        for permit in self.permits.values() {
            forecast.add(&need(&permit.item, lengths));
        }
        forecast
    }

    /// Returns the state that instances rank servers by.
    pub fn status(&self, now: Timestamp, lengths: &LengthEstimator) -> ServerStatus {
        let memory = self.forecast(lengths).peak(0.0, u32::MAX) / self.usable().max(1.0);
        let batch = self.permits.len() as f64 / f64::from(self.capacity.max_batch.max(1));
        ServerStatus {
            server: self.capacity.server,
            load_permille: (memory.max(batch) * 1000.0) as u32,
            queued: self.queue.len() as u32,
            wait_ms: self.wait(now, level(MIDDLE_PRIORITY, false)).as_millis() as u32,
            open: self.open(now),
        }
    }

    /// Checks that no permit leaks.
    ///
    /// # Panics
    ///
    /// If a permit outlives its lease and hold, or permits were lost or counted twice.
    fn check(&self, now: Timestamp) {
        let longest = self.params.lease.max(self.params.detached_hold);
        for (key, permit) in &self.permits {
            assert!(
                now.since(permit.heard) <= longest,
                "permit {key:?} leaked: silent for {:?}",
                now.since(permit.heard)
            );
            assert!(!self.queue.iter().any(|(queued, _)| queued == key), "{key:?} granted twice");
        }
        assert_eq!(
            self.issued,
            self.permits.len() as u64 + self.released + self.lapsed,
            "permits must be held, released or lapsed"
        );
    }

    /// Returns the state for the dump.
    pub fn dump(&self, now: Timestamp, lengths: &LengthEstimator) -> AccountDump {
        AccountDump {
            server: self.capacity.server,
            permits: self
                .permits
                .iter()
                .map(|(key, permit)| PermitDump {
                    instance: key.0,
                    item: permit.item,
                    silent_ms: now.since(permit.heard).as_millis() as u64,
                    detached: permit.detached,
                })
                .collect(),
            queued: self.queue.len(),
            expected_tokens: self.forecast(lengths).peak(0.0, u32::MAX) as u64,
            kv_tokens: self.capacity.kv_tokens,
            batch_limit: self.pace.limit(),
            unheard: self.unheard.len(),
            issued: self.issued,
            released: self.released,
            lapsed: self.lapsed,
        }
    }
}

fn identity(key: WorkKey) -> InstanceIdentity {
    InstanceIdentity { id: key.0, incarnation: crate::ids::Incarnation::new(key.1) }
}

/// Returns the queue's level: by priority, and within it customers in surplus last.
fn level(priority: u8, surplus: bool) -> u8 {
    priority.saturating_mul(2).saturating_add(u8::from(!surplus))
}

fn need<'a>(item: &WorkItem, lengths: &'a LengthEstimator) -> MemoryNeed<'a> {
    MemoryNeed {
        prompt_tokens: item.prompt_tokens,
        decoded: item.decoded,
        max_tokens: item.max_tokens,
        curve: lengths.curve(item.route),
    }
}
