//! Choice of the server for a request.
//!
//! Load pattern: many instances place short and long requests on few engines. Reports of the
//! engines are stale and shared, so each instance adds up what it and its peers have sent.

use std::time::Duration;

use super::directory::{ServerDirectory, ServerKey, ServerRecord};
use super::peers::RemoteLoad;
use crate::time::Timestamp;

/// What a request will take at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunWeight {
    /// Prompt tokens.
    pub prompt: u32,
    /// Output tokens that are expected.
    pub output: u32,
}

/// Weights of the placement, in units of one whole server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementParams {
    /// Cost of a full batch; a batch of 24 raises a step from 7 to 10 ms.
    pub batch: f64,
    /// Cost of one second of prompts that wait to be read.
    pub prefill: f64,
    /// Cost of another availability zone: its traffic is charged.
    pub foreign_zone: f64,
    /// Random part; keeps instances that see the same load from choosing alike.
    pub jitter: f64,
    /// Part of an engine's memory above which it takes no run that can wait: memory that runs
    /// out in the middle of decoding preempts a run, whose caller then sees a long pause.
    pub fill_limit: f64,
    /// Part of the expected growth that is held back; runs do not all reach their full length
    /// at the same moment.
    pub growth_share: f64,
    /// The same for requests of the most urgent rank, which are short.
    pub urgent_fill_limit: f64,
    /// The same for runs that are late already.
    pub late_fill_limit: f64,
    /// Seconds until the first event at an engine that takes a run that is late already.
    pub late_prefill: f64,
    /// Cost of an engine whose memory is full, rising from `fill_limit`.
    pub full_memory: f64,
    /// How much more often a move goes to an engine in the leaving one's zone: a copy to another
    /// zone takes twice as long on both links.
    pub near_move: f64,
}

impl Default for PlacementParams {
    fn default() -> Self {
        Self {
            batch: 0.5,
            prefill: 0.6,
            foreign_zone: 0.03,
            jitter: 0.06,
            fill_limit: 0.98,
            growth_share: 0.3,
            urgent_fill_limit: 1.0,
            late_fill_limit: 0.85,
            late_prefill: 0.8,
            full_memory: 20.0,
            near_move: 3.0,
        }
    }
}

/// A request to place.
#[derive(Clone, Copy, Debug)]
pub struct PlacementRequest<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Memory of one engine in tokens; `None` for plain services.
    pub memory_tokens: Option<u32>,
    /// What the request will take.
    pub weight: RunWeight,
    /// Servers that must not be chosen.
    pub excluded: &'a [ServerKey],
    /// The caller's availability zone.
    pub zone: &'a str,
    /// Time until the first event is due; `None` for a run that is late already.
    pub due: Option<Duration>,
    /// The request has the most urgent rank.
    pub is_urgent: bool,
}

impl<'a> PlacementRequest<'a> {
    /// Servers that take work and are not excluded.
    fn candidates(
        &self,
        directory: &'a ServerDirectory,
    ) -> impl Iterator<Item = (ServerKey, &'a ServerRecord)> {
        let excluded = self.excluded;
        directory.candidates(self.service).filter(move |(key, _)| !excluded.contains(key))
    }
}

/// Server that was chosen for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlacementChoice {
    /// The server with the least expected load; one with room goes before one without.
    pub key: ServerKey,
    /// Servers that have room for the request. If it is 0, `key` has none.
    pub rooms: usize,
}

/// Prompt tokens that an engine reads in a second while others run: half of what it reads alone
/// on the measured installations.
const PREFILL_TOKENS_PER_SECOND: f64 = 7_000.0;
/// Time in which a busy engine reads one prompt token, the inverse of
/// `PREFILL_TOKENS_PER_SECOND`, rounded.
pub(super) const PROMPT_TOKEN_TIME: Duration = Duration::from_micros(140);

/// Chooses servers.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlacementPolicy {
    /// Weights of the choice.
    pub params: PlacementParams,
}

impl PlacementPolicy {
    /// Chooses the server with the least expected load. `remote` tells what peers sent to a
    /// server and `draw` returns random numbers from 0 to 1.
    ///
    /// Servers with recent failures are used only when there is no other. Returns `None` when
    /// no server of the service takes work.
    pub fn choose(
        &self,
        now: Timestamp,
        directory: &ServerDirectory,
        request: &PlacementRequest<'_>,
        remote: impl Fn(&ServerRecord) -> RemoteLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<PlacementChoice> {
        let mut best: Option<((bool, bool, f64), ServerKey)> = None;
        let mut rooms = 0;
        for (key, record) in request.candidates(directory) {
            let load = remote(record);
            let score = self.score(request, record, load) + draw() * self.params.jitter;
            let has_room = self.has_room(request, record, load);
            rooms += usize::from(has_room && !record.is_avoided(now));
            let rank = (record.is_avoided(now), !has_room, score);
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, key));
            }
        }
        best.map(|((_, is_full, _), key)| {
            let rooms = if is_full { 0 } else { rooms.max(1) };
            PlacementChoice { key, rooms }
        })
    }

    /// Chooses the engine that a run moves to, by a random draw in proportion to the square of
    /// the memory that is left there.
    ///
    /// All instances with runs on a leaving engine choose at the same moment and from the same
    /// reports; the draw spreads them without talk, so that neither the memory nor the link of
    /// one engine has to take all runs. Returns `None` when no engine has room.
    pub fn choose_destination(
        &self,
        now: Timestamp,
        directory: &ServerDirectory,
        request: &PlacementRequest<'_>,
        remote: impl Fn(&ServerRecord) -> RemoteLoad,
        mut draw: impl FnMut() -> f64,
    ) -> Option<ServerKey> {
        let memory = request.memory_tokens?;
        let mut best: Option<(f64, ServerKey)> = None;
        let sound = request.candidates(directory).filter(|(_, record)| !record.is_avoided(now));
        for (key, record) in sound {
            // Expected growth is left out: a copy takes only what the run has, and a run that
            // finds no destination is lost.
            let tokens = record.open_tokens as f64 + remote(record).tokens;
            let fill = (tokens + f64::from(request.weight.prompt)) / f64::from(memory.max(1));
            let room = (1.0 - fill).max(0.0);
            let is_near = &*record.entry.zone == request.zone;
            let weight = room * room * if is_near { self.params.near_move } else { 1.0 };
            if weight <= 0.0 {
                continue;
            }
            let delay = -draw().max(f64::MIN_POSITIVE).ln() / weight;
            if best.is_none_or(|(least, _)| delay < least) {
                best = Some((delay, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Tells whether a server has memory for a run and can begin its answer in time.
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
        let prompts = waiting + f64::from(request.weight.prompt);
        let first_event = prompts / PREFILL_TOKENS_PER_SECOND;
        let running = f64::from(record.entry.slots) - f64::from(record.open_requests);
        let is_in_time = match request.due {
            Some(due) => first_event <= due.as_secs_f64(),
            None => fill <= params.late_fill_limit && first_event <= params.late_prefill,
        };
        let limit = if request.is_urgent { params.urgent_fill_limit } else { params.fill_limit };
        running - remote.requests >= 1.0 && fill <= limit && is_in_time
    }

    /// Part of an engine's memory that is taken once the request runs there.
    fn fill(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
        memory: u32,
    ) -> f64 {
        let growth = record.open_growth as f64 + remote.growth + f64::from(request.weight.output);
        let tokens = record.open_tokens as f64 + remote.tokens + f64::from(request.weight.prompt);
        (tokens + self.params.growth_share * growth) / f64::from(memory.max(1))
    }

    fn score(
        &self,
        request: &PlacementRequest<'_>,
        record: &ServerRecord,
        remote: RemoteLoad,
    ) -> f64 {
        let params = &self.params;
        let running = f64::from(record.open_requests) + remote.requests;
        let mut score = params.batch * running / f64::from(record.entry.slots.max(1));
        if let Some(memory) = request.memory_tokens {
            let fill = self.fill(request, record, remote, memory);
            score += fill;
            let excess = (fill - params.fill_limit).max(0.0);
            score += params.full_memory * excess;
            let waiting = record.waiting_tokens as f64 + remote.waiting_tokens;
            score += params.prefill * waiting / PREFILL_TOKENS_PER_SECOND;
        }
        if &*record.entry.zone != request.zone {
            score += params.foreign_zone;
        }
        score
    }
}
