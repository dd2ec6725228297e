//! Runs the node: performs its effects, and passes it frames, results of calls and timer ticks.

pub mod commands;
pub mod node;
pub mod platform;
pub mod queues;
pub mod waiters;
