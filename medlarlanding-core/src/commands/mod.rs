//! Commands that bring model engines to the state that the configuration tree describes.
//!
//! The instance that manages an engine's admission account also sends it commands. A command
//! names a target state, never a relative change, and carries a fencing number that rises with
//! the configuration version.

mod controller;
mod load_limiter;

pub use controller::{
    CommandAction, CommandDump, CommandEffect, CommandInput, CommandParams, CommandResult,
    EngineController, EngineTarget, TargetDump,
};
pub use load_limiter::LoadLimiter;
