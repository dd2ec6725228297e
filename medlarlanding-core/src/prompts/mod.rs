//! Prompts on which engines end: their parts, and the ledger of broken runs that blocks some of them.

mod block_rule;
mod crash_ledger;
mod finished_runs;
mod ledger_news;
mod parts;
mod sharing;
mod suspects;

pub use block_rule::{BLOCK_TIME, BlockParams, BlockedPart, PromptVerdict};
pub use crash_ledger::{CrashLedger, LedgerParams};
pub use finished_runs::{FinishedRun, FinishedRuns};
pub use ledger_news::{ClearReason, ClearReport, CrashKey, CrashReport, LedgerNews, MergedNews};
pub use parts::{PartId, PromptParts, RunPhase, SURVIVAL_TIME};
pub use sharing::LedgerSharing;

use crate::time::Timestamp;

/// What a run showed about its prompt.
#[derive(Clone, Debug)]
pub enum PromptInput {
    /// The end of its engine broke the run off.
    Broken {
        /// Identifies the run and the engine.
        key: CrashKey,
        /// Progress of the run.
        phase: RunPhase,
        /// Parts of its prompt.
        parts: PromptParts,
    },
    /// The run survived its prompt.
    Survived {
        /// When the run began.
        begun_at: Timestamp,
        /// Parts of its prompt.
        parts: PromptParts,
    },
}
