//! State shared by the stand-ins of one deployment.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use super::restore::StoreCopies;

use tokio::sync::watch;

/// Fault mode of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Runs requests and answers them.
    #[default]
    Healthy,
    /// Runs no requests and answers 503 with the header that says so.
    Refuses,
    /// Runs requests and answers 500.
    Fails,
    /// Runs requests and closes the connection without an answer body.
    Resets,
    /// Runs requests and never answers.
    NoAnswer,
    /// Runs requests and closes the connection in the middle of the body.
    Truncates,
    /// Runs requests and answers with another request's id.
    WrongRequestId,
    /// Runs requests and answers 503 without the header that says that a request was not run.
    Busy,
}

/// Fault mode of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers calls.
    #[default]
    Available,
    /// Answers every call with 503.
    Unavailable,
    /// Answers calls for server entries with 503 and all others as usual.
    RefusesServers,
    /// Answers nothing, also on connections that are opened.
    Away,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Id of the request.
    pub request: String,
    /// Server that ran the request.
    pub server: String,
    /// Customer named in the request's headers.
    pub customer: Option<String>,
    /// Whether the run resumed from memory copied from another engine.
    pub is_continued: bool,
    /// Headers as received by the server.
    pub headers: Vec<(String, String)>,
    /// When the request reached the server.
    pub at: Instant,
}

/// End of a crashing engine.
#[derive(Clone, Debug)]
pub struct ServerCrash {
    /// When the engine ended.
    pub at: Instant,
    /// Id of the request on which it ended.
    pub request: String,
    /// Id of the engine.
    pub server: String,
}

/// An item of the store.
#[derive(Clone, Debug)]
pub(super) struct StoredItem {
    pub value: Option<Vec<u8>>,
    pub revision: u64,
}

#[derive(Debug, Default)]
pub(super) struct SiteInner {
    pub revision: u64,
    pub items: BTreeMap<String, StoredItem>,
    /// Revision up to which the store has discarded its history.
    pub discarded: u64,
    pub store_mode: StoreMode,
    /// Number of the store's history.
    pub era: u64,
    /// The store does not state `era`.
    pub hides_era: bool,
    pub copies: StoreCopies,
    pub store_calls: u64,
    pub further_server_pages: u64,
    pub watches: u64,
    pub modes: BTreeMap<String, ServerMode>,
    /// Whether runs complete on their own at the moment of the final copy of a move.
    pub ends_on_move: bool,
    /// Servers whose report says that they are leaving.
    pub leaving: Vec<String>,
    pub runs: Vec<RunRecord>,
    /// When runs were stopped for a move, by request.
    pub stops: BTreeMap<String, Instant>,
    /// Part of prompts on which crashing engines end.
    pub fatal_part: Option<String>,
    /// Ends of crashing engines.
    pub crashes: Vec<ServerCrash>,
    /// Calls to crashing engines to move a run.
    pub move_calls: u64,
    /// Generations by id: events produced so far and whether the run was stopped for a move.
    pub generations: BTreeMap<String, (u64, bool)>,
    /// Servers that run each generation now.
    pub active: BTreeMap<String, Vec<String>>,
    /// Generations that two servers ran at the same time.
    pub overlapping: Vec<String>,
    /// Number of events of each generation.
    pub events: u64,
    /// Time between events in milliseconds.
    pub event_interval_ms: u64,
    /// Milliseconds between the events of a server, or before its whole answers, in place of the
    /// usual ones.
    pub delays: BTreeMap<String, u64>,
}

/// State shared by the stand-ins and the test.
#[derive(Debug)]
pub struct SiteState {
    inner: Mutex<SiteInner>,
    pub(super) changes: watch::Sender<u64>,
    /// Indexes of the crashing engines that ended together last.
    pub(super) ended_together: watch::Sender<Vec<usize>>,
    /// Set when the deployment is dropped.
    pub(super) stopped: watch::Sender<bool>,
}

impl Default for SiteState {
    fn default() -> Self {
        let inner = SiteInner {
            revision: 10,
            era: 4,
            events: 20,
            event_interval_ms: 20,
            ..SiteInner::default()
        };
        Self {
            inner: Mutex::new(inner),
            changes: watch::Sender::new(0),
            ended_together: watch::Sender::new(Vec::new()),
            stopped: watch::Sender::new(false),
        }
    }
}

impl SiteState {
    pub(super) fn lock(&self) -> MutexGuard<'_, SiteInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut inner = self.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.items.insert(key.to_owned(), StoredItem { value, revision });
        inner.keep_copy();
        drop(inner);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Writes an item to the store.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.write(key, Some(value.to_vec()));
    }

    /// Returns the value of an item of the store.
    pub fn value(&self, key: &str) -> Option<Vec<u8>> {
        self.lock().items.get(key).and_then(|stored| stored.value.clone())
    }

    /// Removes an item from the store.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Discards the history of the store: watches that begin at an earlier revision are refused, and
    /// removed items are forgotten.
    pub fn discard_history(&self) {
        let mut inner = self.lock();
        inner.revision += 1;
        inner.discarded = inner.revision;
        inner.items.retain(|_, stored| stored.value.is_some());
        inner.keep_copy();
        drop(inner);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Sets the fault mode of the store.
    pub fn set_store(&self, mode: StoreMode) {
        self.lock().store_mode = mode;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns the number of calls to the store so far.
    pub fn store_calls(&self) -> u64 {
        self.lock().store_calls
    }

    /// Returns the number of watches begun so far.
    pub fn watches(&self) -> u64 {
        self.lock().watches
    }

    /// Returns the number of pages of server entries read so far, without first pages.
    pub fn further_server_pages(&self) -> u64 {
        self.lock().further_server_pages
    }

    /// Sets the fault mode of a server.
    pub fn set_mode(&self, server: &str, mode: ServerMode) {
        self.lock().modes.insert(server.to_owned(), mode);
    }

    /// Makes a server report that it is leaving; its entry in the store stays unchanged.
    pub fn set_leaving(&self, server: &str) {
        self.lock().leaving.push(server.to_owned());
    }

    /// Makes runs complete on their own at the moment at which a move stops them.
    pub fn end_on_move(&self) {
        self.lock().ends_on_move = true;
    }

    /// Sets the number of events of each generation and the time between them.
    pub fn set_generation(&self, events: u64, event_interval_ms: u64) {
        let mut inner = self.lock();
        (inner.events, inner.event_interval_ms) = (events, event_interval_ms);
    }

    /// Sets the milliseconds between the events of one server, or before its whole answers.
    pub fn set_delay(&self, server: &str, millis: u64) {
        self.lock().delays.insert(server.to_owned(), millis);
    }

    /// Returns the number of events that a generation has produced so far.
    pub fn events_made(&self, request: &str) -> u64 {
        self.lock().generations.get(request).map_or(0, |(events_made, _)| *events_made)
    }

    /// Returns the generations that two servers ran at the same time.
    pub fn overlapping_generations(&self) -> Vec<String> {
        self.lock().overlapping.clone()
    }

    /// Sets the part of prompts on which crashing engines end.
    pub fn set_fatal_part(&self, part: Option<&str>) {
        self.lock().fatal_part = part.map(str::to_owned);
    }

    /// Ends crashing engines, given with their indexes, at the same moment and for no request.
    pub fn end_engines(&self, indexes: &[usize]) {
        self.ended_together.send_replace(indexes.to_vec());
    }

    /// Returns the ends of crashing engines on the fatal part so far, in order.
    pub fn crashes(&self) -> Vec<ServerCrash> {
        self.lock().crashes.clone()
    }

    /// Returns the number of calls to crashing engines to move a run.
    pub fn move_calls(&self) -> u64 {
        self.lock().move_calls
    }

    /// Returns the runs of a request, or of all requests if `request` is empty.
    pub fn runs(&self, request: &str) -> Vec<RunRecord> {
        let inner = self.lock();
        let fits = |run: &&RunRecord| request.is_empty() || run.request == request;
        inner.runs.iter().filter(fits).cloned().collect()
    }
}
