//! Library of the medlarlanding binary: the instances that serve callers, and the command line.

#![forbid(unsafe_code)]

pub mod answer_body;
pub mod answer_buffer;
pub mod backends;
pub mod check;
pub mod cli;
pub mod clock;
pub mod commands;
pub mod delivery;
pub mod exchange;
pub mod forwarding;
pub mod gate;
pub mod head_limit;
pub mod http;
pub mod instance;
pub mod listener;
pub mod logging;
pub mod metric_registry;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod runtime;
pub mod serve;
pub mod settings;
pub mod supervisor;
pub mod trace;
