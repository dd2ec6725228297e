//! Delivers the tokens of one generation to its caller, each once and in order.
//!
//! The runtime keeps one [`GenerationSession`] per request and performs its effects. The
//! [`StreamCursor`] selects the tokens to deliver, the [`StallDetector`] detects a stream that is
//! silent for too long, and the [`RetryBudget`] of the instance decides whether
//! [`SessionEffect::RequestServer`] may start another generation.

mod budget;
mod cursor;
mod messages;
mod monitor;
mod session;
mod stall;

pub use budget::{BudgetDump, BudgetParams, RetryBudget};
pub use cursor::{CursorDump, CursorVerdict, DropReason, EndVerdict, StreamCursor};
pub use messages::{ExchangeId, FinishReason, LostReason, SessionEffect, SessionInput};
pub use session::{GenerationSession, SessionDump, SessionParams, SessionPhase};
pub use stall::{StallDetector, StallParams};
