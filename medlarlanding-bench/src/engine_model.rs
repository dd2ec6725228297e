//! Model engine with continuous batching, as a state machine in virtual time.
//!
//! In each scheduler step, sequences whose prompt is computed decode one token, and new sequences
//! compute a chunk of their prompt. The memory of a decoding sequence grows by one token per step.
//! If memory runs out, a sequence is preempted and later recomputed from its prompt and the tokens
//! decoded so far.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap, VecDeque};
use std::time::Duration;

use medlarlanding_core::time::Timestamp;

use indexmap::IndexMap;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

/// Capacity and speed of one engine.
///
/// The defaults are close to one current accelerator that serves a mid-size model: 18 ms per step
/// plus 0.2 ms per sequence gives 31 ms between tokens with a full batch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct EngineParams {
    /// Memory capacity in tokens, shared by all running sequences.
    pub kv_tokens: u64,
    /// Largest number of sequences in the batch.
    pub max_batch: usize,
    /// Largest number of requests that wait for the batch; further ones are refused.
    pub max_waiting: usize,
    /// Base duration of a step.
    pub step_base: Duration,
    /// Added to a step for each decoding sequence.
    pub step_per_sequence: Duration,
    /// Added to a step for each prompt token that it computes.
    pub prefill_per_token: Duration,
    /// Largest number of prompt tokens computed in one step; bounds the delay of decoding sequences.
    pub prefill_chunk: u32,
    /// Capacity of the prefix cache in tokens.
    pub prefix_cache_tokens: u64,
    /// Age of a load report when it becomes visible.
    pub report_lag: Duration,
    /// Interval between load reports.
    pub report_interval: Duration,
    /// Time from a change of the cache to its event.
    pub cache_event_delay: Duration,
    /// Fraction of cache events that are lost, 0 to 1. Their numbers are skipped.
    pub cache_event_loss: f64,
    /// How long a generation without an attachment is kept.
    pub detached_keep: Duration,
}

impl Default for EngineParams {
    fn default() -> Self {
        Self {
            kv_tokens: 131_072,
            max_batch: 64,
            max_waiting: 4096,
            step_base: Duration::from_millis(18),
            step_per_sequence: Duration::from_micros(200),
            prefill_per_token: Duration::from_micros(50),
            prefill_chunk: 512,
            prefix_cache_tokens: 65_536,
            report_lag: Duration::from_millis(1000),
            report_interval: Duration::from_millis(500),
            cache_event_delay: Duration::from_millis(300),
            cache_event_loss: 0.02,
            detached_keep: Duration::from_secs(10),
        }
    }
}

/// A new generation.
#[derive(Clone, Debug)]
pub struct Submission {
    /// Number of the exchange, chosen by the submitter and repeated in its outputs.
    pub request: u64,
    /// Length of the prompt in tokens.
    pub prompt_tokens: u32,
    /// Hash of the prompt's cacheable prefix.
    pub prefix: Option<u64>,
    /// Length of the prefix in tokens.
    pub prefix_tokens: u32,
    /// Number of tokens after which the model stops. Not known to the system under test.
    pub output_tokens: u32,
    /// Limit of output tokens set by the submitter.
    pub max_tokens: u32,
    /// Priority from 0 to 9; 9 is the most urgent.
    pub priority: u8,
}

/// Input of an engine.
#[derive(Clone, Debug)]
pub enum EngineInput {
    /// Starts a generation.
    Submit(Submission),
    /// Attaches `request` to a generation and sends its tokens after number `after` again.
    Resume { request: u64, generation: u64, after: u32 },
    /// Closes the stream of an attachment. The generation continues, and expires unless it is
    /// resumed within `detached_keep`.
    Detach { generation: u64, attachment: u32 },
    /// Cancels a generation unless an attachment later than `attachment` exists.
    Cancel { generation: u64, attachment: u32 },
    /// Performs only what has become due.
    Tick,
}

/// Why a generation is complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model produced its last token.
    Stop,
    /// The token limit was reached or the engine's whole memory was used up.
    Length,
}

/// Why an exchange ended without a complete generation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GoneReason {
    /// The generation does not exist or no longer exists.
    Unknown,
    /// The engine's queue is full or the prompt does not fit into memory. Nothing was run.
    Refused,
    /// A later attachment took over the generation.
    Superseded,
    /// The generation was cancelled.
    Cancelled,
    /// The generation was without an attachment for too long.
    Expired,
}

/// Output of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EngineOutput {
    /// The exchange was accepted; the generation may still wait for the batch.
    Started { request: u64, generation: u64, attachment: u32 },
    /// One token; `seq` starts at 1.
    Token { request: u64, generation: u64, attachment: u32, seq: u32 },
    /// The generation is complete; all its tokens were output before.
    Ended { request: u64, generation: u64, attachment: u32, tokens: u32, finish: FinishReason },
    /// The exchange ends without a complete generation.
    Gone { request: u64, generation: Option<u64>, reason: GoneReason },
    /// A delayed cache event; a gap between numbers means that events were lost.
    Cache { number: u64, prefix: u64, stored: bool },
}

/// Load of an engine at the time `age_ms` ago.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Memory in use, in tokens.
    pub kv_used: u64,
    /// Memory capacity, in tokens.
    pub kv_total: u64,
    /// Sequences in the batch.
    pub running: usize,
    /// Requests that wait for the batch, including preempted ones.
    pub waiting: usize,
    /// Preemptions since the engine started.
    pub preemptions: u64,
    /// Age of the report in milliseconds.
    pub age_ms: u64,
}

/// Counters since the engine started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct EngineStats {
    /// Accepted submissions.
    pub submitted: u64,
    /// Refused submissions.
    pub refused: u64,
    /// Complete generations.
    pub completed: u64,
    /// Cancelled or expired generations.
    pub abandoned: u64,
    /// Decoded tokens, each counted once.
    pub tokens: u64,
    /// Preemptions; one generation can be preempted more than once.
    pub preemptions: u64,
    /// Tokens recomputed after preemptions.
    pub recomputed_tokens: u64,
    /// Sum of the times from the last token before a preemption to the next token, in µs.
    pub stall_micros: u64,
    /// Longest of these times, in µs.
    pub longest_stall_micros: u64,
    /// Submissions whose prefix was in the cache when their prompt was computed.
    pub cache_hits: u64,
    /// Time spent in steps, in µs.
    pub busy_micros: u64,
}

/// State of an engine for diagnosis.
#[derive(Clone, Debug, Serialize)]
pub struct EngineDump {
    /// Memory in use, in tokens.
    pub kv_used: u64,
    /// Generations in the batch.
    pub running: Vec<u64>,
    /// Number of generations that wait for the batch.
    pub waiting: usize,
    /// Number of known generations, including finished ones.
    pub known: usize,
    /// Counters.
    pub stats: EngineStats,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Waiting,
    Running,
    Finished(FinishReason),
}

#[derive(Clone, Debug)]
struct Generation {
    id: u64,
    request: u64,
    attachment: u32,
    attached: bool,
    /// Last token sent to the current attachment, or the offset at which it resumed.
    delivered: u32,
    prompt_tokens: u32,
    prefix: Option<u64>,
    prefix_tokens: u32,
    /// Number of tokens at which the generation ends.
    length: u32,
    finish: FinishReason,
    priority: u8,
    phase: Phase,
    decoded: u32,
    /// Memory held, in tokens; 0 unless running.
    held: u64,
    /// Tokens still to be computed before decoding can continue.
    prefill_left: u32,
    /// Sequence number of the entry into the queue or the batch.
    order: u64,
    /// Time of the last token before a preemption; `None` once the next token is decoded.
    preempted_at: Option<Timestamp>,
    last_token_at: Timestamp,
}

/// A model engine with continuous batching in virtual time.
///
/// `handle` first performs every step that ends at or before `now`, so late calls do not change the
/// token rate.
#[derive(Debug)]
pub struct EngineModel {
    params: EngineParams,
    rng: SmallRng,
    slots: Vec<Option<Generation>>,
    free_slots: Vec<usize>,
    /// Slot of each known generation.
    by_id: HashMap<u64, usize>,
    /// Slots in the batch.
    running: Vec<usize>,
    /// Waiting slots: most urgent first, then preempted ones before new ones, then by `order`.
    waiting: BTreeSet<(Reverse<u8>, bool, u64, usize)>,
    /// Sum of `held` over all running generations.
    kv_used: u64,
    step_end: Option<Timestamp>,
    next_id: u64,
    next_order: u64,
    /// Expiry time, id and closed attachment of detached generations; an entry is outdated if the
    /// generation was resumed or removed since.
    expiries: VecDeque<(Timestamp, u64, u32)>,
    /// Cached prefixes with their length, least recently used first.
    cache: IndexMap<u64, u32>,
    cache_used: u64,
    cache_events: VecDeque<(Timestamp, u64, u64, bool)>,
    next_event: u64,
    /// Load at earlier times, oldest first.
    snapshots: VecDeque<(Timestamp, LoadReport)>,
    changed_at: Timestamp,
    stats: EngineStats,
}

impl EngineModel {
    /// Creates an idle engine. Engines with different seeds use different generation ids.
    pub fn new(params: EngineParams, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let next_id = (u64::from(rng.random::<u32>()) << 32) | 1;
        let mut model = Self {
            params,
            rng,
            slots: Vec::new(),
            free_slots: Vec::new(),
            by_id: HashMap::new(),
            running: Vec::new(),
            waiting: BTreeSet::new(),
            kv_used: 0,
            step_end: None,
            next_id,
            next_order: 0,
            expiries: VecDeque::new(),
            cache: IndexMap::new(),
            cache_used: 0,
            cache_events: VecDeque::new(),
            next_event: 1,
            snapshots: VecDeque::new(),
            changed_at: Timestamp::default(),
            stats: EngineStats::default(),
        };
        model.snapshots.push_back((Timestamp::default(), model.load_now()));
        model
    }

    /// Returns the parameters.
    pub fn params(&self) -> &EngineParams {
        &self.params
    }

    /// Replaces the parameters that concern speed, lag and loss from the next step on.
    ///
    /// Generations in progress stay, so `kv_tokens` must not shrink below their memory.
    pub fn set_params(&mut self, params: EngineParams) {
        self.params = params;
    }

    /// Returns the counters.
    pub fn stats(&self) -> EngineStats {
        self.stats
    }

    /// Returns the current load, without the lag of load reports.
    pub fn load_now(&self) -> LoadReport {
        LoadReport {
            kv_used: self.kv_used,
            kv_total: self.params.kv_tokens,
            running: self.running.len(),
            waiting: self.waiting.len(),
            preemptions: self.stats.preemptions,
            age_ms: 0,
        }
    }

    /// Returns the load report that is visible at `now`.
    pub fn load_report(&mut self, now: Timestamp) -> LoadReport {
        self.take_snapshot(now);
        let visible = now - self.params.report_lag;
        while self.snapshots.len() > 1 && self.snapshots[1].0 <= visible {
            self.snapshots.pop_front();
        }
        let (at, mut report) = self.snapshots[0];
        report.age_ms = now.since(at).as_millis() as u64;
        report
    }

    /// Returns the number of tokens that a known generation has decoded so far.
    pub fn decoded(&self, generation: u64) -> Option<u32> {
        let slot = *self.by_id.get(&generation)?;
        self.slots[slot].as_ref().map(|generation| generation.decoded)
    }

    /// Returns the time at which `handle` should be called with `Tick`.
    pub fn next_wakeup(&self) -> Option<Timestamp> {
        let expiry = self.expiries.front().map(|entry| entry.0);
        let event = self.cache_events.front().map(|entry| entry.0);
        Timestamp::earliest(self.step_end, Timestamp::earliest(expiry, event))
    }

    /// Returns the state for diagnosis.
    pub fn dump(&self) -> EngineDump {
        EngineDump {
            kv_used: self.kv_used,
            running: self.running.iter().map(|&slot| self.generation(slot).id).collect(),
            waiting: self.waiting.len(),
            known: self.by_id.len(),
            stats: self.stats,
        }
    }

    /// Advances the engine to `now`, then performs `input`.
    pub fn handle(&mut self, now: Timestamp, input: EngineInput, outputs: &mut Vec<EngineOutput>) {
        self.advance(now, outputs);
        match input {
            EngineInput::Submit(submission) => self.submit(now, submission, outputs),
            EngineInput::Resume { request, generation, after } => {
                self.resume(now, request, generation, after, outputs);
            },
            EngineInput::Detach { generation, attachment } => {
                self.detach(now, generation, attachment);
            },
            EngineInput::Cancel { generation, attachment } => {
                self.cancel(generation, attachment, outputs);
            },
            EngineInput::Tick => {},
        }
        if self.step_end.is_none() {
            self.plan_step(now, outputs);
        }
        self.changed_at = now;
        debug_assert_eq!(
            self.kv_used,
            self.running.iter().map(|&slot| self.generation(slot).held).sum::<u64>(),
            "memory in use must equal the memory held by running generations"
        );
        debug_assert!(self.kv_used <= self.params.kv_tokens);
    }

    fn advance(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        while let Some(end) = self.step_end.filter(|&end| end <= now) {
            self.process_due(end, outputs);
            self.finish_step(end, outputs);
            self.take_snapshot(end);
            self.plan_step(end, outputs);
        }
        self.process_due(now, outputs);
        self.take_snapshot(now);
    }

    /// Emits due cache events and removes generations that were detached for too long.
    fn process_due(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        while let Some(&(due, number, prefix, stored)) = self.cache_events.front()
            && due <= now
        {
            self.cache_events.pop_front();
            outputs.push(EngineOutput::Cache { number, prefix, stored });
        }
        while let Some(&(due, id, attachment)) = self.expiries.front()
            && due <= now
        {
            self.expiries.pop_front();
            let Some(&slot) = self.by_id.get(&id) else { continue };
            let generation = self.generation(slot);
            if generation.attached || generation.attachment != attachment {
                continue;
            }
            let request = generation.request;
            if !matches!(generation.phase, Phase::Finished(_)) {
                self.stats.abandoned += 1;
                let reason = GoneReason::Expired;
                outputs.push(EngineOutput::Gone { request, generation: Some(id), reason });
            }
            self.remove(slot);
        }
    }

    fn submit(&mut self, now: Timestamp, submission: Submission, outputs: &mut Vec<EngineOutput>) {
        let fits = u64::from(submission.prompt_tokens) < self.params.kv_tokens;
        if !fits || self.waiting.len() >= self.params.max_waiting {
            self.stats.refused += 1;
            let (request, reason) = (submission.request, GoneReason::Refused);
            outputs.push(EngineOutput::Gone { request, generation: None, reason });
            return;
        }
        self.stats.submitted += 1;
        let id = self.next_id;
        self.next_id += 1;
        let output_tokens = submission.output_tokens.max(1);
        let length = output_tokens.min(submission.max_tokens.max(1));
        let generation = Generation {
            id,
            request: submission.request,
            attachment: 1,
            attached: true,
            delivered: 0,
            prompt_tokens: submission.prompt_tokens,
            prefix: submission.prefix,
            prefix_tokens: submission.prefix_tokens.min(submission.prompt_tokens),
            length,
            finish: if output_tokens > length { FinishReason::Length } else { FinishReason::Stop },
            priority: submission.priority,
            phase: Phase::Waiting,
            decoded: 0,
            held: 0,
            prefill_left: 0,
            order: 0,
            preempted_at: None,
            last_token_at: now,
        };
        let slot = match self.free_slots.pop() {
            Some(slot) => {
                self.slots[slot] = Some(generation);
                slot
            },
            None => {
                self.slots.push(Some(generation));
                self.slots.len() - 1
            },
        };
        self.by_id.insert(id, slot);
        self.enqueue(slot);
        outputs.push(EngineOutput::Started {
            request: submission.request,
            generation: id,
            attachment: 1,
        });
    }

    fn resume(
        &mut self,
        now: Timestamp,
        request: u64,
        id: u64,
        after: u32,
        outputs: &mut Vec<EngineOutput>,
    ) {
        let Some(&slot) = self.by_id.get(&id) else {
            let reason = GoneReason::Unknown;
            outputs.push(EngineOutput::Gone { request, generation: Some(id), reason });
            return;
        };
        let generation = self.generation_mut(slot);
        if generation.attached {
            let (request, reason) = (generation.request, GoneReason::Superseded);
            outputs.push(EngineOutput::Gone { request, generation: Some(id), reason });
        }
        generation.request = request;
        generation.attachment += 1;
        generation.attached = true;
        generation.delivered = after;
        let attachment = generation.attachment;
        outputs.push(EngineOutput::Started { request, generation: id, attachment });
        for seq in after.saturating_add(1)..=generation.decoded {
            generation.delivered = seq;
            outputs.push(EngineOutput::Token { request, generation: id, attachment, seq });
        }
        if let Phase::Finished(finish) = generation.phase {
            let tokens = generation.decoded;
            outputs.push(EngineOutput::Ended {
                request,
                generation: id,
                attachment,
                tokens,
                finish,
            });
            self.detach(now, id, attachment);
        }
    }

    fn detach(&mut self, now: Timestamp, id: u64, attachment: u32) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let due = now + self.params.detached_keep;
        let generation = self.generation_mut(slot);
        if generation.attached && generation.attachment == attachment {
            generation.attached = false;
            self.expiries.push_back((due, id, attachment));
        }
    }

    fn cancel(&mut self, id: u64, attachment: u32, outputs: &mut Vec<EngineOutput>) {
        let Some(&slot) = self.by_id.get(&id) else { return };
        let generation = self.generation(slot);
        if generation.attachment > attachment {
            return;
        }
        if !matches!(generation.phase, Phase::Finished(_)) {
            let (request, reason) = (generation.request, GoneReason::Cancelled);
            outputs.push(EngineOutput::Gone { request, generation: Some(id), reason });
            self.stats.abandoned += 1;
        }
        self.remove(slot);
    }

    /// Adds one token to every decoding sequence of the step.
    fn finish_step(&mut self, at: Timestamp, outputs: &mut Vec<EngineOutput>) {
        self.step_end = None;
        let mut finished = Vec::new();
        for position in 0..self.running.len() {
            let slot = self.running[position];
            let generation = self.slots[slot].as_mut().expect("running slots are in use");
            if generation.prefill_left > 0 {
                continue;
            }
            generation.decoded += 1;
            self.stats.tokens += 1;
            if let Some(preempted_at) = generation.preempted_at.take() {
                let stall = at.since(preempted_at).as_micros() as u64;
                self.stats.stall_micros += stall;
                self.stats.longest_stall_micros = self.stats.longest_stall_micros.max(stall);
            }
            generation.last_token_at = at;
            if generation.attached && generation.decoded > generation.delivered {
                generation.delivered = generation.decoded;
                outputs.push(EngineOutput::Token {
                    request: generation.request,
                    generation: generation.id,
                    attachment: generation.attachment,
                    seq: generation.decoded,
                });
            }
            if generation.decoded >= generation.length {
                finished.push(slot);
            }
        }
        for slot in finished {
            let finish = self.generation(slot).finish;
            self.finish(at, slot, finish, outputs);
        }
    }

    /// Plans the next step: allocates memory for running sequences first, then admits waiting ones.
    fn plan_step(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) {
        let preempted = self.allocate_next_tokens(now, outputs);
        if !preempted {
            self.admit();
        }
        if self.running.is_empty() {
            return;
        }
        let mut budget = self.params.prefill_chunk;
        let mut decoding = 0u32;
        let mut computed_prefixes = Vec::new();
        for &slot in &self.running {
            let generation = self.slots[slot].as_mut().expect("running slots are in use");
            if generation.prefill_left == 0 {
                decoding += 1;
            } else if budget > 0 {
                let chunk = generation.prefill_left.min(budget);
                generation.prefill_left -= chunk;
                budget -= chunk;
                if generation.prefill_left == 0
                    && let Some(prefix) = generation.prefix
                {
                    computed_prefixes.push((prefix, generation.prefix_tokens));
                }
            }
        }
        for (prefix, tokens) in computed_prefixes {
            self.store_prefix(now, prefix, tokens);
        }
        let prefilled = self.params.prefill_chunk - budget;
        let duration = self.params.step_base
            + self.params.step_per_sequence * decoding
            + self.params.prefill_per_token * prefilled;
        // Steps of zero length would stop virtual time.
        let duration = duration.max(Duration::from_micros(1));
        self.stats.busy_micros += duration.as_micros() as u64;
        self.step_end = Some(now + duration);
    }

    /// Allocates memory for the next token of each decoding sequence, preempting sequences until it
    /// fits. Returns whether any was preempted.
    fn allocate_next_tokens(&mut self, now: Timestamp, outputs: &mut Vec<EngineOutput>) -> bool {
        let mut preempted = false;
        loop {
            let decoding =
                self.running.iter().filter(|&&slot| self.generation(slot).needs_memory());
            if self.kv_used + decoding.count() as u64 <= self.params.kv_tokens {
                break;
            }
            let victim = self.running.iter().copied().min_by_key(|&slot| {
                let generation = self.generation(slot);
                (generation.priority, Reverse(generation.order))
            });
            let Some(victim) = victim else { break };
            if self.running.len() == 1 {
                // The only running sequence fills the memory, so it can never continue.
                self.finish(now, victim, FinishReason::Length, outputs);
                break;
            }
            self.preempt(victim);
            preempted = true;
        }
        for &slot in &self.running {
            let generation = self.slots[slot].as_mut().expect("running slots are in use");
            if generation.needs_memory() {
                generation.held += 1;
                self.kv_used += 1;
            }
        }
        preempted
    }

    fn preempt(&mut self, slot: usize) {
        self.remove_from_batch(slot);
        let generation = self.generation_mut(slot);
        generation.phase = Phase::Waiting;
        if generation.preempted_at.is_none() && generation.decoded > 0 {
            generation.preempted_at = Some(generation.last_token_at);
        }
        self.stats.preemptions += 1;
        self.enqueue(slot);
    }

    /// Moves waiting generations into the batch while there is room in the batch and in memory.
    fn admit(&mut self) {
        // 1 % stays free so that a new sequence does not cause a preemption at once.
        let watermark = self.params.kv_tokens / 100;
        while self.running.len() < self.params.max_batch {
            let Some(&entry) = self.waiting.first() else { break };
            let slot = entry.3;
            let generation = self.generation(slot);
            let needed = u64::from(generation.prompt_tokens) + u64::from(generation.decoded) + 1;
            let reserve = if self.running.is_empty() { 0 } else { watermark };
            if self.kv_used + needed + reserve > self.params.kv_tokens {
                break;
            }
            let (prefix, prefix_tokens) = (generation.prefix, generation.prefix_tokens);
            self.waiting.remove(&entry);
            self.next_order += 1;
            let order = self.next_order;
            let cached = prefix.is_some_and(|prefix| self.touch_prefix(prefix));
            if cached {
                self.stats.cache_hits += 1;
            }
            let generation = self.slots[slot].as_mut().expect("waiting slots are in use");
            let context = generation.prompt_tokens + generation.decoded;
            let cached_tokens = if cached { prefix_tokens } else { 0 };
            // The last context token is always computed, since it produces the next token.
            generation.prefill_left = context.saturating_sub(cached_tokens).max(1);
            if generation.decoded > 0 {
                self.stats.recomputed_tokens += u64::from(generation.prefill_left);
            }
            generation.phase = Phase::Running;
            generation.held = needed;
            generation.order = order;
            self.kv_used += needed;
            self.running.push(slot);
        }
    }

    fn finish(
        &mut self,
        now: Timestamp,
        slot: usize,
        finish: FinishReason,
        outputs: &mut Vec<EngineOutput>,
    ) {
        self.remove_from_batch(slot);
        self.stats.completed += 1;
        let generation = self.generation_mut(slot);
        generation.phase = Phase::Finished(finish);
        let (id, attachment) = (generation.id, generation.attachment);
        if generation.attached {
            outputs.push(EngineOutput::Ended {
                request: generation.request,
                generation: id,
                attachment,
                tokens: generation.decoded,
                finish,
            });
            self.detach(now, id, attachment);
        }
    }

    fn remove_from_batch(&mut self, slot: usize) {
        self.running.retain(|&other| other != slot);
        let held = std::mem::take(&mut self.generation_mut(slot).held);
        self.kv_used -= held;
    }

    fn enqueue(&mut self, slot: usize) {
        self.next_order += 1;
        let order = self.next_order;
        let generation = self.generation_mut(slot);
        generation.order = order;
        let is_new = generation.decoded == 0;
        let entry = (Reverse(generation.priority), is_new, order, slot);
        self.waiting.insert(entry);
    }

    fn remove(&mut self, slot: usize) {
        let generation = self.generation(slot);
        match generation.phase {
            Phase::Running => self.remove_from_batch(slot),
            Phase::Waiting => {
                let is_new = generation.decoded == 0;
                let entry = (Reverse(generation.priority), is_new, generation.order, slot);
                let removed = self.waiting.remove(&entry);
                debug_assert!(removed, "waiting generations are in the queue");
            },
            Phase::Finished(_) => {},
        }
        if let Some(generation) = self.slots[slot].take() {
            self.by_id.remove(&generation.id);
            self.free_slots.push(slot);
        }
    }

    /// Marks a prefix as most recently used. Returns whether it was in the cache.
    fn touch_prefix(&mut self, prefix: u64) -> bool {
        match self.cache.shift_remove(&prefix) {
            Some(tokens) => {
                self.cache.insert(prefix, tokens);
                true
            },
            None => false,
        }
    }

    fn store_prefix(&mut self, now: Timestamp, prefix: u64, tokens: u32) {
        if u64::from(tokens) > self.params.prefix_cache_tokens || self.touch_prefix(prefix) {
            return;
        }
        self.cache.insert(prefix, tokens);
        self.cache_used += u64::from(tokens);
        self.queue_event(now, prefix, true);
        while self.cache_used > self.params.prefix_cache_tokens {
            let Some((evicted, tokens)) = self.cache.shift_remove_index(0) else { break };
            self.cache_used -= u64::from(tokens);
            self.queue_event(now, evicted, false);
        }
    }

    fn queue_event(&mut self, now: Timestamp, prefix: u64, stored: bool) {
        let number = self.next_event;
        self.next_event += 1;
        if self.rng.random::<f64>() >= self.params.cache_event_loss {
            let due = now + self.params.cache_event_delay;
            self.cache_events.push_back((due, number, prefix, stored));
        }
    }

    fn take_snapshot(&mut self, now: Timestamp) {
        let last = self.snapshots.back().map_or(Timestamp::default(), |entry| entry.0);
        if now.since(last) < self.params.report_interval {
            return;
        }
        // The load has been constant since the last change, so the snapshot is dated back to the end
        // of the report interval or to the change, whichever is later.
        let at = (last + self.params.report_interval).max(self.changed_at).min(now);
        self.snapshots.push_back((at, self.load_now()));
        let visible = now - self.params.report_lag;
        while self.snapshots.len() > 1 && self.snapshots[1].0 <= visible {
            self.snapshots.pop_front();
        }
    }

    fn generation(&self, slot: usize) -> &Generation {
        self.slots[slot].as_ref().expect("slots in use hold a generation")
    }

    fn generation_mut(&mut self, slot: usize) -> &mut Generation {
        self.slots[slot].as_mut().expect("slots in use hold a generation")
    }
}

impl Generation {
    /// Returns whether the sequence decodes in the next step and holds no memory for that token yet.
    fn needs_memory(&self) -> bool {
        self.prefill_left == 0 && self.held < u64::from(self.prompt_tokens + self.decoded + 1)
    }
}
