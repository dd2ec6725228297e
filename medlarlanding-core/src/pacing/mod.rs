//! Slow start of servers that start or recover, found from how they answer.
//!
//! Load pattern: a server that has just started looks idle, so every instance prefers it, and its
//! first requests arrive in one burst while it is still slow. A fixed delay leaves a fast server idle
//! instead. The number of requests in flight therefore rises while answers are as fast as those of the
//! server's peers, and falls when they are not. `docs/design/slow-start.md` compares the alternatives.

mod answer_sample;
mod instance_share;
mod pace_params;
mod pace_table;
mod server_pace;

pub use answer_sample::{AnswerKind, AnswerPart, AnswerSample, JudgedAnswer, PeerBaseline};
pub use instance_share::InstanceShare;
pub use pace_params::PaceParams;
pub use pace_table::{PaceTable, ServerSight, ServerStanding};
pub use server_pace::{PaceChange, PaceLimit, PaceReason, PaceScope, RampCause, ServerPace};
