//! Drives the node: performs its effects and feeds it frames, answers and time.

pub mod links;
pub mod node;
pub mod platform;
pub mod waiters;
