//! State that the stand-ins of one installation share.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::watch;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum ServerMode {
    /// Runs requests and answers.
    #[default]
    Sound,
    /// Says that it did not run the request.
    Refuses,
    /// Runs requests and answers with a server error.
    Fails,
    /// Runs requests and closes the connection.
    Resets,
    /// Runs requests and says nothing.
    Mute,
    /// Runs requests and breaks off in the middle of the body.
    Truncates,
    /// Runs requests and answers with the id of another one.
    Foreign,
    /// Answers 503 without saying that the request was not run.
    Busy,
}

/// How the store treats calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreMode {
    /// Answers.
    #[default]
    Up,
    /// Answers 503.
    Refuses,
}

/// One request that a server ran.
#[derive(Clone, Debug)]
pub struct RunRecord {
    /// Id of the request.
    pub request: String,
    /// Server that ran it.
    pub server: String,
    /// Customer that the request named.
    pub customer: Option<String>,
    /// The run went on from the memory of another engine.
    pub is_continued: bool,
    /// Headers that reached the server.
    pub headers: Vec<(String, String)>,
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
    pub store_mode: StoreMode,
    pub store_calls: u64,
    pub modes: BTreeMap<String, ServerMode>,
    /// Runs end by themselves when their last part is to be moved.
    pub ends_on_move: bool,
    /// Servers that report that they leave.
    pub leaving: Vec<String>,
    pub runs: Vec<RunRecord>,
    /// Generations by id: events made so far and whether the run was stopped for a move.
    pub generations: BTreeMap<String, (u64, bool)>,
    /// Servers at work on each generation.
    pub active: BTreeMap<String, Vec<String>>,
    /// Generations on which two servers were at work.
    pub doubled: Vec<String>,
    /// Events of each generation.
    pub events: u64,
    /// Time between events in milliseconds.
    pub pace_ms: u64,
}

/// Shared state of an installation.
#[derive(Debug)]
pub struct SiteState {
    inner: Mutex<SiteInner>,
    pub(super) changes: watch::Sender<u64>,
    /// Set when the installation ends.
    pub(super) stopped: watch::Sender<bool>,
}

impl Default for SiteState {
    fn default() -> Self {
        let inner = SiteInner { revision: 10, events: 20, pace_ms: 20, ..SiteInner::default() };
        Self {
            inner: Mutex::new(inner),
            changes: watch::Sender::new(0),
            stopped: watch::Sender::new(false),
        }
    }
}

impl SiteState {
    pub(super) fn lock(&self) -> MutexGuard<'_, SiteInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn write(&self, key: &str, value: Option<Vec<u8>>) {
        let mut inner = self.lock();
        inner.revision += 1;
        let revision = inner.revision;
        inner.items.insert(key.to_owned(), StoredItem { value, revision });
        drop(inner);
        self.changes.send_modify(|count| *count += 1);
    }

    /// Writes an item.
    pub fn put(&self, key: &str, value: &[u8]) {
        self.write(key, Some(value.to_vec()));
    }

    /// Removes an item.
    pub fn remove(&self, key: &str) {
        self.write(key, None);
    }

    /// Sets how the store treats calls.
    pub fn set_store(&self, mode: StoreMode) {
        self.lock().store_mode = mode;
        self.changes.send_modify(|count| *count += 1);
    }

    /// Calls to the store so far.
    pub fn store_calls(&self) -> u64 {
        self.lock().store_calls
    }

    /// Sets how a server treats requests.
    pub fn set_mode(&self, server: &str, mode: ServerMode) {
        self.lock().modes.insert(server.to_owned(), mode);
    }

    /// Makes a server report that it leaves, without a word to the store.
    pub fn set_leaving(&self, server: &str) {
        self.lock().leaving.push(server.to_owned());
    }

    /// Makes runs end by themselves at the moment at which they are stopped for a move.
    pub fn end_on_move(&self) {
        self.lock().ends_on_move = true;
    }

    /// Sets length and pace of generations.
    pub fn set_generation(&self, events: u64, pace_ms: u64) {
        let mut inner = self.lock();
        (inner.events, inner.pace_ms) = (events, pace_ms);
    }

    /// Events that a generation has made so far.
    pub fn made(&self, request: &str) -> u64 {
        self.lock().generations.get(request).map_or(0, |(made, _)| *made)
    }

    /// Generations on which two servers were at work at the same time.
    pub fn doubled(&self) -> Vec<String> {
        self.lock().doubled.clone()
    }

    /// Runs of a request, or of all requests if `request` is empty.
    pub fn runs(&self, request: &str) -> Vec<RunRecord> {
        let inner = self.lock();
        let fits = |run: &&RunRecord| request.is_empty() || run.request == request;
        inner.runs.iter().filter(fits).cloned().collect()
    }
}
