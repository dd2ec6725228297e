//! One generation, delivered once and in order.
//!
//! The runtime keeps one [`GenerationSession`] per request and performs its effects. The
//! [`StreamCursor`] decides which token is delivered, the [`StallDetector`] when a stream is
//! silent for too long, and the instance's [`RetryBudget`] whether a new generation may be
//! asked for after [`SessionEffect::RequestServer`].

mod budget;
mod cursor;
mod ledger;
mod messages;
mod session;
mod stall;

pub use budget::{BudgetDump, BudgetParams, RetryBudget};
pub use cursor::{CursorDump, CursorVerdict, DropReason, EndVerdict, StreamCursor};
pub use messages::{ExchangeId, FinishReason, LostReason, SessionEffect, SessionInput};
pub use session::{GenerationSession, SessionDump, SessionParams, SessionPhase};
pub use stall::{StallDetector, StallParams};
