//! Runs of prompts on engines: whether the engines survive them.

use std::rc::Rc;
use std::time::Duration;

use super::admit::AdmittedRequest;
use super::peer_link::PeerLink;
use super::server_liveness::prove_liveness;
use super::servers::start_hash;
use super::shared::SharedState;
use medlarlanding_core::forwarding::{ServerEntry, ServerKey, ServerLiveness};
use medlarlanding_core::ids::stable_hash;
use medlarlanding_core::prompts::{FinishedRun, PromptParts, RunPhase, SURVIVAL_TIME};
use medlarlanding_core::time::Timestamp;

/// Time after a run should be settled for which a sign of life of its engine is waited for, before the
/// engine is asked for one.
const SETTLE_MARGIN: Duration = Duration::from_millis(50);

/// How much a run has shown of its prompt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEvidence {
    /// Nothing yet.
    None,
    /// The engine has written for longer than it does on a fatal part.
    Writing,
    /// The engine has survived the prompt.
    Survived,
    /// The request was not run, so it will show nothing.
    NotRun,
}

/// A request with a prompt, and the engine that it was sent to.
#[derive(Clone)]
struct SentRun {
    state: SharedState,
    link: Rc<PeerLink>,
    key: ServerKey,
    entry: ServerEntry,
    /// Hash of the engine's start.
    engine: u64,
    /// Hash of the request's id.
    run: u64,
    parts: PromptParts,
}

/// A request with a prompt at an engine. When it is dropped before the engine has shown that it survives
/// the prompt, the run is kept for a while, in case the engine ends.
pub struct PromptRun {
    sent: SentRun,
    is_stream: bool,
    sent_at: Timestamp,
    /// When the head of a stream arrived, at which the engine began to write.
    begun_at: Option<Timestamp>,
    evidence: RunEvidence,
    is_complete: bool,
}

impl PromptRun {
    /// Begins the run of a request that is sent to an engine now; `None` if it has no prompt.
    /// `is_stream` is set if the head of the answer shows that the engine writes.
    pub fn begin(
        state: &SharedState,
        link: &Rc<PeerLink>,
        admitted: &AdmittedRequest,
        (key, entry): (ServerKey, &ServerEntry),
        is_stream: bool,
    ) -> Option<Self> {
        (!admitted.parts.is_empty()).then(|| Self {
            sent: SentRun {
                state: Rc::clone(state),
                link: Rc::clone(link),
                key,
                entry: entry.clone(),
                engine: start_hash(entry),
                run: stable_hash(admitted.id.as_bytes()),
                parts: admitted.parts.clone(),
            },
            is_stream,
            sent_at: state.now(),
            begun_at: None,
            evidence: RunEvidence::None,
            is_complete: false,
        })
    }

    /// Records that the head of a success arrived.
    pub fn answer_begun(&mut self) {
        self.sent.state.hear_engine(self.sent.engine);
        self.begun_at = Some(self.sent.state.now()).filter(|_| self.is_stream);
    }

    /// Records that a part of the stream arrived.
    pub fn part_arrived(&mut self) {
        self.sent.state.hear_engine(self.sent.engine);
        let now = self.sent.state.now();
        let Some(begun_at) = self.begun_at else { return };
        let writing = now.since(begun_at);
        match self.evidence {
            RunEvidence::None if RunPhase::of_stream(writing) == RunPhase::Writing => {
                self.evidence = RunEvidence::Writing;
                self.sent.state.record_writing(&self.sent.parts);
            },
            RunEvidence::Writing if writing >= SURVIVAL_TIME => {
                self.evidence = RunEvidence::Survived;
                self.sent.state.record_survival(begun_at, &self.sent.parts);
            },
            _ => {},
        }
    }

    /// Records that the answer is a complete success.
    pub fn complete(&mut self) {
        self.is_complete = true;
    }

    /// Ends the run of a request that the engine did not run.
    pub fn discard(run: Option<Self>) {
        if let Some(mut run) = run {
            run.evidence = RunEvidence::NotRun;
        }
    }

    fn finished(&self, now: Timestamp) -> FinishedRun {
        let (phase, begun_at, written_at) = match (self.is_stream, self.begun_at) {
            (true, Some(begun)) => (RunPhase::of_stream(now.since(begun)), begun, begun),
            (true, None) => (RunPhase::Waiting, self.sent_at, now),
            (false, _) => (RunPhase::Hidden, self.sent_at, now),
        };
        let (run, is_complete) = (self.sent.run, self.is_complete);
        FinishedRun {
            run,
            parts: self.sent.parts.clone(),
            phase,
            begun_at,
            written_at,
            is_complete,
        }
    }
}

impl Drop for PromptRun {
    fn drop(&mut self) {
        if matches!(self.evidence, RunEvidence::Survived | RunEvidence::NotRun)
            || !self.sent.state.is_staying(self.sent.key)
        {
            return;
        }
        let run = self.finished(self.sent.state.now());
        let settles_at = run.settles_at();
        if !self.sent.state.finish_run(self.sent.engine, run) {
            return;
        }
        tokio::task::spawn_local(self.sent.clone().settle(settles_at));
    }
}

impl SentRun {
    /// Finds out whether the engine has survived the run, unless other answers show it or it does not
    /// matter.
    async fn settle(self, settles_at: Timestamp) {
        let left = settles_at.since(self.state.now());
        tokio::time::sleep(left + SETTLE_MARGIN).await;
        if !self.state.wants_proof(self.engine, self.run, &self.parts) {
            return;
        }
        match prove_liveness(&self.state, &self.entry).await {
            ServerLiveness::Alive => self.state.hear_engine(self.engine),
            ServerLiveness::Ended if self.state.is_staying(self.key) => {
                self.link.report_end(&self.state, self.key);
            },
            // A server that leaves is expected to end.
            ServerLiveness::Ended | ServerLiveness::Unknown => {},
        }
    }
}
