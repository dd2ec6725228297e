//! Prompts on which engines end: their parts, and the ledger of broken runs that blocks some of them.

mod crash_ledger;
mod parts;

pub use crash_ledger::{
    BlockedPart, ClearReason, ClearReport, CrashKey, CrashLedger, CrashReport, LedgerNews,
    LedgerParams, MergedNews,
};
pub use parts::{PartId, PromptParts, RunPhase};
