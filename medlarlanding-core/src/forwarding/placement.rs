//! Chooses the server for a request.
//!
//! Load pattern: many instances place short and long requests on few engines. Load reports of the
//! engines themselves are outdated and the same for all instances, so each instance instead adds up
//! the requests that it and its peers have sent.
//!
//! Engines of one service may differ by a factor of three in speed, for a whole day. A run holds its
//! memory for three times as long on a slow one, and is three times as likely to be cut by the end of
//! its engine. Runs are therefore placed by the time that they would take, where the speed of an engine
//! is known to differ from the median; among alike engines speed has no effect.

use std::cmp::Ordering;
use std::time::Duration;

use super::directory::{ServerDirectory, ServerKey, ServerRecord};
use super::drain::DrainParams;
use super::load::{LatencyClass, RemoteLoad, RunWeight};
use super::regions::RegionLimit;
use super::room_reserve::RoomReserve;
use super::server_access::ServerAccess;
use super::server_speed::SpeedRatios;
use super::speed_samples::TOKENS_PER_EVENT;
use crate::time::Timestamp;

/// Costs and limits of the placement. A cost of 1 equals that of one engine's whole memory.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementParams {
    /// Cost of a full batch: 24 requests in a batch raise the time of a step from 7 to 10 ms.
    pub batch_cost: f64,
    /// Cost for each second of prompts that wait to be processed.
    pub prefill_cost: f64,
    /// Cost of a server in another availability zone, because traffic between zones is charged.
    pub cross_zone_cost: f64,
    /// Largest random addition to the cost, so that instances which see the same load do not all
    /// choose the same server.
    pub jitter: f64,
    /// Fraction of an engine's memory up to which it accepts runs that can wait. An engine whose
    /// memory runs out while it decodes preempts a run, and that caller sees a long pause.
    pub fill_limit: f64,
    /// Fraction of the runs' expected output for which memory is reserved; not all runs reach
    /// their full length at the same time.
    pub growth_share: f64,
    /// `fill_limit` for runs of the most urgent priority, which are short.
    pub urgent_fill_limit: f64,
    /// `fill_limit` for runs whose first event will be late.
    pub late_fill_limit: f64,
    /// Longest time in seconds until the first event at an engine that accepts a run whose first
    /// event will be late.
    pub late_prefill_s: f64,
    /// Cost for each unit of an engine's memory fraction above `fill_limit`.
    pub overfull_cost: f64,
    /// Tokens that each run on the destination of a move may generate until another run ends there.
    pub move_growth: f64,
    /// Time of a step in which an engine generates a token for each of its runs.
    pub step_time: Duration,
    /// Cost for each second by which a run takes longer than on an average engine, because an engine
    /// lasts for 20 s on average.
    pub slow_time_cost: f64,
    /// Cost for each second for which a run holds one engine's whole memory longer than on an average
    /// engine.
    pub slow_hold_cost: f64,
    /// The memory in use at a slow engine counts as more by the ratio of the run's time there to that
    /// on an average engine, raised to this power, when it is compared with a limit. With 1, slow
    /// engines give memory in proportion to their speed, and with more runs than memory fewer begin
    /// in time.
    pub slow_fill_power: f64,
    /// Largest amount by which the cost of a fast engine is below that of an average one; a part of
    /// `jitter`, so that instances which decide at the same time do not all choose one fast engine.
    pub fast_gain: f64,
    /// Factor by which an engine in the same zone as the leaving one is more likely to be the
    /// destination of a move: a copy to another zone occupies both links for twice as long.
    pub same_zone_factor: f64,
}

impl Default for PlacementParams {
    fn default() -> Self {
        Self {
            batch_cost: 0.5,
            prefill_cost: 0.6,
            cross_zone_cost: 0.03,
            jitter: 0.06,
            fill_limit: 0.98,
            growth_share: 0.3,
            urgent_fill_limit: 1.0,
            late_fill_limit: 0.85,
            late_prefill_s: 0.8,
            overfull_cost: 20.0,
            move_growth: 100.0,
            step_time: Duration::from_millis(10),
            slow_time_cost: 0.3,
            slow_hold_cost: 1.0,
            slow_fill_power: 0.5,
            fast_gain: 0.015,
            same_zone_factor: 3.0,
        }
    }
}

impl PlacementParams {
    /// Returns the number of steps in which an engine completes a run.
    fn steps(&self, weight: RunWeight) -> f64 {
        let prompt_time = f64::from(weight.prompt) / PREFILL_TOKENS_PER_SECOND;
        prompt_time / self.step_time.as_secs_f64() + f64::from(weight.output)
    }
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the request is for.
    pub service: &'a str,
    /// Memory of one engine in tokens; `None` for plain services.
    pub memory_tokens: Option<u32>,
    /// Expected size of the request.
    pub weight: RunWeight,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
    /// Regions whose servers may be chosen.
    pub regions: &'a RegionLimit,
    /// Preferred availability zone.
    pub zone: &'a str,
    /// Time until the first event is due; `None` if it will be late.
    pub due: Option<Duration>,
    /// Whether the request has the most urgent priority.
    pub is_urgent: bool,
    /// Time for which a leaving server still runs requests, if there is no other server.
    pub drain_limit: Duration,
    /// How the objective compares with those of other requests to the service.
    pub latency: LatencyClass,
    /// Room that the request must leave for latency-critical ones.
    pub reserve: Option<RoomReserve>,
}

impl<'a> PlacementRequest<'a> {
    /// Iterates over the servers that accept new requests and are not excluded, without the cold ones
    /// for which this instance's share of the rate limit is used up.
    fn candidates(
        &self,
        now: Timestamp,
        directory: &'a ServerDirectory,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let Self { service, excluded, regions, .. } = *self;
        let placeable = directory.placeable(now, service, regions);
        placeable.filter(move |(key, _)| !excluded.contains(key))
    }

    /// Returns the latency-critical request for which a reserve keeps room.
    fn critical(&self, reserve: RoomReserve) -> Self {
        Self {
            weight: reserve.weight,
            due: Some(reserve.due),
            latency: LatencyClass::Critical,
            is_urgent: false,
            reserve: None,
            ..*self
        }
    }

    /// Iterates over the draining servers that may get a new request because no other server of the
    /// service may, without the cold ones for which this instance's share of the rate limit is used up. A
    /// run must be expected to end before the server does.
    fn draining_fallbacks(
        &self,
        now: Timestamp,
        directory: &'a ServerDirectory,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let Self { service, excluded, regions, drain_limit, .. } = *self;
        let duration = match self.memory_tokens {
            Some(_) => DrainParams::default().expected_time(self.weight),
            None => Duration::ZERO,
        };
        let limit = drain_limit / DRAIN_FALLBACK_DIVISOR;
        let is_needed = directory.placeable(now, service, regions).next().is_none();
        directory.iter().filter(move |(key, record)| {
            is_needed
                && &*record.entry.service == service
                && !excluded.contains(key)
                && record.access_for(now, regions) == ServerAccess::Leaving
                && !record.cold().is_used_up(now)
                && record.is_draining_within(now, limit)
                && record.leaving_since.is_some_and(|at| now.since(at) + duration < drain_limit)
        })
    }
}

/// A leaving server is a fallback for the drain limit divided by this: peers and the store may have
/// known for longer that it leaves.
pub const DRAIN_FALLBACK_DIVISOR: u32 = 2;

/// What a request must leave for latency-critical ones.
#[derive(Clone, Copy, Debug)]
enum KeptRoom {
    /// More engines than needed can begin a latency-critical run in time.
    Nothing,
    /// The engines that can begin one are just enough.
    Engines(RoomReserve),
    /// Too few engines can begin one. Room has to accumulate on the others, where each part of it would
    /// be too small for a run.
    All(RoomReserve),
}

impl KeptRoom {
    /// Returns whether a new run may be placed on an engine.
    fn allows(
        self,
        policy: &PlacementPolicy,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        load: RemoteLoad,
    ) -> bool {
        match self {
            Self::Nothing => true,
            Self::Engines(reserve) => !policy.takes_kept_room(request, record, load, reserve),
            Self::All(_) => false,
        }
    }

    /// Returns whether a run that moves off a leaving engine may be placed on an engine. It would be lost
    /// while room accumulates.
    fn allows_move(
        self,
        policy: &PlacementPolicy,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        load: RemoteLoad,
    ) -> bool {
        match self {
            Self::Nothing => true,
            Self::Engines(reserve) | Self::All(reserve) => {
                !policy.takes_kept_room(request, record, load, reserve)
            },
        }
    }
}

/// Server that was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The server with the lowest cost; one with room is preferred to one without.
    pub key: ServerKey,
    /// Number of servers with room for the request; 0 if the chosen one has no room.
    pub servers_with_room: usize,
}

/// Prompt tokens that an engine processes in a second while it also runs other requests: half of
/// its rate without them on the measured installations.
const PREFILL_TOKENS_PER_SECOND: f64 = 7_000.0;
/// Time that a busy engine takes for one prompt token: the inverse of `PREFILL_TOKENS_PER_SECOND`,
/// rounded.
pub(super) const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(140);

/// Seconds that a busy engine takes for one output token: a step takes 7.7 ms, and one that processes a
/// part of a prompt as much again.
const OUTPUT_TOKEN_SECONDS: f64 = 0.011;

/// Times of a run on an engine compared with those on an average one.
#[derive(Clone, Copy, Debug)]
struct RunTimes {
    /// Factor on the time of processing prompts.
    prompt_ratio: f64,
    /// Seconds by which the first event takes longer to generate; 0 on an average engine.
    event_delay: f64,
    /// Time from the start of the run's prompt to its end, as a multiple of that on an average engine;
    /// exactly 1 there.
    total_ratio: f64,
    /// Seconds by which this time is longer; 0 on an average engine, negative on a faster one.
    excess: f64,
}

impl RunTimes {
    fn new(weight: RunWeight, speed: SpeedRatios) -> Self {
        let prompt = f64::from(weight.prompt) / PREFILL_TOKENS_PER_SECOND;
        let output = f64::from(weight.output) * OUTPUT_TOKEN_SECONDS;
        let excess = prompt * (speed.first - 1.0) + output * (speed.token - 1.0);
        let event = TOKENS_PER_EVENT as f64 * OUTPUT_TOKEN_SECONDS;
        Self {
            prompt_ratio: speed.first,
            event_delay: event * (speed.token - 1.0),
            total_ratio: 1.0 + excess / (prompt + output).max(f64::MIN_POSITIVE),
            excess,
        }
    }
}

/// Returns whether a plain server answers sooner than another one by recent evidence, with the requests
/// that this instance has open at both.
fn answers_sooner(directory: &ServerDirectory, key: ServerKey, than: ServerKey) -> bool {
    let expected = |key: ServerKey| {
        let record = directory.get(key)?;
        let open = f64::from(record.open_requests) / f64::from(record.entry.slots.max(1));
        Some((record.speed.first * open.max(1.0), record.speed.is_average()))
    };
    match (expected(key), expected(than)) {
        (Some((_, true)), Some((_, true))) | (None, _) | (_, None) => false,
        (Some((time, _)), Some((other, _))) => time < other,
    }
}

/// Policy that chooses servers for new and for moved requests.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementPolicy {
    /// Costs and limits that the policy applies.
    pub params: PlacementParams,
}

impl PlacementPolicy {
    /// Chooses the server with the lowest cost. `remote` returns the load that peers put on a
    /// server, and `draw` returns random numbers from 0 to 1.
    ///
    /// A server that is avoided after failures is chosen only when there is no other, and one that
    /// begins to leave only when all do. An engine that has reached its limit of slow start has no
    /// room, and a plain server that has is chosen only when there is no other. Of the two plain servers
    /// with the lowest cost, the one that answers sooner by recent evidence is chosen. Returns `None` if
    /// no server of the service accepts new requests.
    pub fn choose(
        &self,
        now: Timestamp,
        directory: &ServerDirectory,
        request: &PlacementRequest<'_>,
        remote: impl Fn(&ServerRecord) -> RemoteLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<PlacementChoice> {
        let mut best: Option<((bool, bool, bool, f64), ServerKey)> = None;
        let mut second = None;
        let mut servers_with_room = 0;
        let draining_fallbacks = request.draining_fallbacks(now, directory);
        let servers: Vec<(ServerKey, &ServerRecord, RemoteLoad)> = request
            .candidates(now, directory)
            .chain(draining_fallbacks)
            .map(|(key, record)| (key, record, remote(record)))
            .collect();
        let kept = self.kept_room(now, request, &servers);
        for (key, record, load) in servers {
            let cost = self.cost(request, record, load) + draw() * self.params.jitter;
            let is_paced = record.is_paced(now);
            let is_engine = request.memory_tokens.is_some();
            let has_room = self.has_room(request, record, load)
                && !(is_paced && is_engine)
                && kept.allows(self, request, record, load);
            servers_with_room += usize::from(has_room && !record.is_avoided(now));
            let rank = (record.is_avoided(now), is_paced && !is_engine, !has_room, cost);
            if best.is_none_or(|(least, _)| rank < least) {
                second = best.replace((rank, key));
            } else if second.is_none_or(|(least, _)| rank < least) {
                second = Some((rank, key));
            }
        }
        if request.memory_tokens.is_none()
            && let (Some((rank, key)), Some((other_rank, other))) = (best, second)
            && (rank.0, rank.1) == (other_rank.0, other_rank.1)
            && answers_sooner(directory, other, key)
        {
            best = second;
        }
        best.map(|((_, _, is_full, _), key)| {
            let servers_with_room = if is_full { 0 } else { servers_with_room.max(1) };
            PlacementChoice { key, servers_with_room }
        })
    }

    /// Chooses the engine that a run moves to, at random with a probability proportional to the
    /// square of the engine's free memory.
    ///
    /// All instances with runs on a leaving engine choose at the same time and from the same load
    /// reports. The random choice spreads the runs without coordination, so that they do not
    /// overload the memory or the link of a single engine. Returns `None` if no engine has room.
    pub fn choose_destination(
        &self,
        now: Timestamp,
        directory: &ServerDirectory,
        request: &PlacementRequest<'_>,
        remote: impl Fn(&ServerRecord) -> RemoteLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerKey> {
        let memory = request.memory_tokens?;
        let mut best: Option<((bool, f64), ServerKey)> = None;
        let healthy: Vec<(ServerKey, &ServerRecord, RemoteLoad)> = request
            .candidates(now, directory)
            .filter(|(_, record)| !record.is_avoided(now))
            .map(|(key, record)| (key, record, remote(record)))
            .collect();
        let kept = self.kept_room(now, request, &healthy);
        for (key, record, load) in healthy {
            // No room is kept on an engine that has reached its limit of slow start.
            if !record.is_paced(now) && !kept.allows_move(self, request, record, load) {
                continue;
            }
            // Expected output does not count here: the copy takes only the tokens that the run
            // has now, and a run without a destination is lost.
            let tokens = record.open_tokens as f64 + load.tokens;
            let fill = (tokens + f64::from(request.weight.prompt)) / f64::from(memory.max(1));
            let margin = match request.latency {
                LatencyClass::Uniform => 0.0,
                LatencyClass::Critical | LatencyClass::Tolerant => {
                    let running = f64::from(record.open_requests) + load.requests + 1.0;
                    running * self.params.move_growth / f64::from(memory.max(1))
                },
            };
            let room = (1.0 - fill - margin).max(0.0);
            let is_same_zone = &*record.entry.zone == request.zone;
            let zone_factor = if is_same_zone { self.params.same_zone_factor } else { 1.0 };
            // What a moved run still generates takes as many times as long, and it may have to move
            // again.
            let slowness = record.speed.token;
            let weight = room * room * zone_factor / (slowness * slowness);
            if weight <= 0.0 {
                continue;
            }
            // The engine with the smallest of these exponential variates is chosen, which has a
            // probability proportional to its weight.
            let variate = -draw().max(f64::MIN_POSITIVE).ln() / weight;
            // An engine in slow start gets a run only if no other has room, but before the run is lost.
            let rank = (record.is_paced(now), variate);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns what a request must leave for latency-critical ones.
    fn kept_room(
        &self,
        now: Timestamp,
        request: &PlacementRequest<'_>,
        servers: &[(ServerKey, &ServerRecord, RemoteLoad)],
    ) -> KeptRoom {
        let Some(reserve) = request.reserve else { return KeptRoom::Nothing };
        let critical = request.critical(reserve);
        let healthy = servers.iter().filter(|(_, record, _)| !record.is_avoided(now));
        // Room on more engines than there are would never accumulate.
        let engines = reserve.engines.min(healthy.clone().count());
        // An engine that has reached its limit of slow start begins no run, however much room it has.
        let begins = healthy.filter(|(_, record, load)| {
            !record.is_paced(now) && self.has_room(&critical, record, *load)
        });
        let count = begins.count();
        match count.cmp(&engines) {
            Ordering::Greater => KeptRoom::Nothing,
            Ordering::Equal => KeptRoom::Engines(reserve),
            Ordering::Less => KeptRoom::All(reserve),
        }
    }

    /// Returns whether an engine that can begin a latency-critical run could not once it has the request.
    fn takes_kept_room(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
        reserve: RoomReserve,
    ) -> bool {
        let critical = request.critical(reserve);
        let RunWeight { prompt, output } = request.weight;
        let after = RemoteLoad {
            requests: remote.requests + 1.0,
            tokens: remote.tokens + f64::from(prompt),
            waiting_tokens: remote.waiting_tokens + f64::from(prompt),
            growth: remote.growth + f64::from(output),
        };
        self.has_room(&critical, record, remote) && !self.has_room(&critical, record, after)
    }

    /// Returns whether a server has memory and a slot for a run and can begin its answer in time.
    /// Servers of plain services always have room.
    pub fn has_room(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
    ) -> bool {
        let Some(memory) = request.memory_tokens else { return true };
        let params = &self.params;
        let times = RunTimes::new(request.weight, record.speed);
        let slow_factor = times.total_ratio.max(1.0).powf(params.slow_fill_power);
        let fill = self.fill(request, record, remote, memory) * slow_factor;
        let waiting = record.waiting_tokens as f64 + remote.waiting_tokens;
        let prompt_tokens = waiting + f64::from(request.weight.prompt);
        let first_event =
            prompt_tokens / PREFILL_TOKENS_PER_SECOND * times.prompt_ratio + times.event_delay;
        let slots = record.speed.run_limit.unwrap_or(u32::MAX).min(record.entry.slots);
        let free_slots = f64::from(slots) - f64::from(record.open_requests);
        let is_in_time = match request.due {
            Some(due) => first_event <= due.as_secs_f64(),
            // A short run hardly displaces others, and its caller still waits for it.
            None if request.latency == LatencyClass::Critical => true,
            None => fill <= params.late_fill_limit && first_event <= params.late_prefill_s,
        };
        let limit = if request.is_urgent { params.urgent_fill_limit } else { params.fill_limit };
        free_slots - remote.requests >= 1.0 && fill <= limit && is_in_time
    }

    /// Returns the fraction of an engine's memory in use once the request runs there, including
    /// the memory reserved for expected output.
    fn fill(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
        memory: u32,
    ) -> f64 {
        let growth =
            record.expected_growth as f64 + remote.growth + f64::from(request.weight.output);
        let mut reserved = self.params.growth_share * growth;
        if request.latency == LatencyClass::Critical {
            // The others grow by a token in each step of the short time that the run takes.
            let running = f64::from(record.open_requests) + remote.requests + 1.0;
            reserved = reserved.min(running * self.params.steps(request.weight));
        }
        let tokens = record.open_tokens as f64 + remote.tokens + f64::from(request.weight.prompt);
        (tokens + reserved) / f64::from(memory.max(1))
    }

    /// Returns the cost of running a request on a server.
    fn cost(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
    ) -> f64 {
        let average = self.cost_at_speed(request, record, remote, SpeedRatios::default());
        if record.speed.is_average() {
            return average;
        }
        let least = average - self.params.fast_gain;
        self.cost_at_speed(request, record, remote, record.speed).max(least)
    }

    /// Returns the cost of running a request on a server if it has a given speed.
    fn cost_at_speed(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
        speed: SpeedRatios,
    ) -> f64 {
        let params = &self.params;
        let running = f64::from(record.open_requests) + remote.requests;
        let mut cost = params.batch_cost * running / f64::from(record.entry.slots.max(1));
        if let Some(memory) = request.memory_tokens {
            let times = RunTimes::new(request.weight, speed);
            cost *= times.total_ratio;
            let fill = self.fill(request, record, remote, memory);
            cost += fill * times.total_ratio.max(1.0);
            let excess = (fill - params.fill_limit).max(0.0);
            cost += params.overfull_cost * excess;
            let waiting = record.waiting_tokens as f64 + remote.waiting_tokens;
            cost += params.prefill_cost * waiting / PREFILL_TOKENS_PER_SECOND * times.prompt_ratio;
            let tokens = f64::from(request.weight.prompt) + f64::from(request.weight.output) / 2.0;
            let held = params.slow_hold_cost * tokens / f64::from(memory.max(1));
            cost += (params.slow_time_cost + held) * times.excess;
        }
        if &*record.entry.zone != request.zone {
            cost += params.cross_zone_cost;
        }
        cost
    }
}
