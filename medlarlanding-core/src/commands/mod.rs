//! Commands that bring model engines to the state that the configuration tree describes.
//!
//! The account manager of an engine commands it. Commands name a target state, never a
//! relative change, and carry a fencing number that rises with the configuration version.

mod commander;
mod pace;

pub use commander::{
    CommandAction, CommandEffect, CommandInput, CommandParams, CommandResult, CommanderDump,
    EngineCommander, EngineTarget, TargetDump,
};
pub use pace::LoadPace;
