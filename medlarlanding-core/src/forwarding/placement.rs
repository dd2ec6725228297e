//! Chooses the server for a request.
//!
//! Load pattern: many instances place short and long requests on few engines. Load reports of the
//! engines themselves are outdated and the same for all instances, so each instance instead adds up
//! the requests that it and its peers have sent.

use std::time::Duration;

use super::directory::{ServerDirectory, ServerKey, ServerRecord};
use super::drain::DrainParams;
use super::load::{RemoteLoad, RunWeight};
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
            same_zone_factor: 3.0,
        }
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
    /// Preferred availability zone.
    pub zone: &'a str,
    /// Time until the first event is due; `None` if it will be late.
    pub due: Option<Duration>,
    /// Whether the request has the most urgent priority.
    pub is_urgent: bool,
    /// Time for which a leaving server still runs requests, if there is no other server.
    pub drain_limit: Duration,
}

impl<'a> PlacementRequest<'a> {
    /// Iterates over the servers that accept new requests and are not excluded.
    fn candidates(
        &self,
        directory: &'a ServerDirectory,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let excluded = self.excluded;
        directory.candidates(self.service).filter(move |(key, _)| !excluded.contains(key))
    }

    /// Iterates over the draining servers that may get a new request because no other server of the
    /// service exists. A run must be expected to end before the server does.
    fn draining_fallbacks(
        &self,
        now: Timestamp,
        directory: &'a ServerDirectory,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let Self { service, excluded, drain_limit, .. } = *self;
        let duration = match self.memory_tokens {
            Some(_) => DrainParams::default().expected_time(self.weight),
            None => Duration::ZERO,
        };
        let limit = drain_limit / DRAIN_FALLBACK_DIVISOR;
        let is_needed = directory.candidates(service).next().is_none();
        directory.iter().filter(move |(key, record)| {
            is_needed
                && &*record.entry.service == service
                && !excluded.contains(key)
                && record.is_draining_within(now, limit)
                && record.leaving_since.is_some_and(|at| now.since(at) + duration < drain_limit)
        })
    }
}

/// A leaving server is a fallback for the drain limit divided by this: peers and the store may have
/// known for longer that it leaves.
pub const DRAIN_FALLBACK_DIVISOR: u32 = 2;

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
    /// room, and a plain server that has is chosen only when there is no other. Returns `None` if no server of the service accepts new
    /// requests.
    pub fn choose(
        &self,
        now: Timestamp,
        directory: &ServerDirectory,
        request: &PlacementRequest<'_>,
        remote: impl Fn(&ServerRecord) -> RemoteLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<PlacementChoice> {
        let mut best: Option<((bool, bool, bool, f64), ServerKey)> = None;
        let mut servers_with_room = 0;
        let draining_fallbacks = request.draining_fallbacks(now, directory);
        for (key, record) in request.candidates(directory).chain(draining_fallbacks) {
            let load = remote(record);
            let cost = self.cost(request, record, load) + draw() * self.params.jitter;
            let is_paced = record.is_paced(now);
            let is_engine = request.memory_tokens.is_some();
            let has_room = self.has_room(request, record, load) && !(is_paced && is_engine);
            servers_with_room += usize::from(has_room && !record.is_avoided(now));
            let rank = (record.is_avoided(now), is_paced && !is_engine, !has_room, cost);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
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
        let healthy = request.candidates(directory).filter(|(_, record)| !record.is_avoided(now));
        for (key, record) in healthy {
            // Expected output does not count here: the copy takes only the tokens that the run
            // has now, and a run without a destination is lost.
            let tokens = record.open_tokens as f64 + remote(record).tokens;
            let fill = (tokens + f64::from(request.weight.prompt)) / f64::from(memory.max(1));
            let room = (1.0 - fill).max(0.0);
            let is_same_zone = &*record.entry.zone == request.zone;
            let zone_factor = if is_same_zone { self.params.same_zone_factor } else { 1.0 };
            let weight = room * room * zone_factor;
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

    /// Returns whether a server has memory and a slot for a run and can begin its answer in time.
    /// Servers of plain services always have room.
    fn has_room(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
    ) -> bool {
        let Some(memory) = request.memory_tokens else { return true };
        let params = &self.params;
        let fill = self.fill(request, record, remote, memory);
        let waiting = record.waiting_tokens as f64 + remote.waiting_tokens;
        let prompt_tokens = waiting + f64::from(request.weight.prompt);
        let first_event = prompt_tokens / PREFILL_TOKENS_PER_SECOND;
        let free_slots = f64::from(record.entry.slots) - f64::from(record.open_requests);
        let is_in_time = match request.due {
            Some(due) => first_event <= due.as_secs_f64(),
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
        let tokens = record.open_tokens as f64 + remote.tokens + f64::from(request.weight.prompt);
        (tokens + self.params.growth_share * growth) / f64::from(memory.max(1))
    }

    /// Returns the cost of running a request on a server.
    fn cost(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
    ) -> f64 {
        let params = &self.params;
        let running = f64::from(record.open_requests) + remote.requests;
        let mut cost = params.batch_cost * running / f64::from(record.entry.slots.max(1));
        if let Some(memory) = request.memory_tokens {
            let fill = self.fill(request, record, remote, memory);
            cost += fill;
            let excess = (fill - params.fill_limit).max(0.0);
            cost += params.overfull_cost * excess;
            let waiting = record.waiting_tokens as f64 + remote.waiting_tokens;
            cost += params.prefill_cost * waiting / PREFILL_TOKENS_PER_SECOND;
        }
        if &*record.entry.zone != request.zone {
            cost += params.cross_zone_cost;
        }
        cost
    }
}
