//! State machines of the medlarlanding serving system, without I/O.
//!
//! The current time, random number generators, received messages and published lists are passed
//! in as arguments. Messages to send, answers and wake-up times are returned. Nothing in this
//! crate uses a clock, a socket, a thread or an environment variable.

#![forbid(unsafe_code)]
#![warn(missing_docs)]

#[macro_use]
mod derives;

pub mod admission;
pub mod commands;
pub mod config;
pub mod distribution;
pub mod errors;
pub mod events;
pub mod forwarding;
pub mod generations;
pub mod handles;
pub mod ids;
pub mod membership;
pub mod node;
pub mod orders;
pub mod pacing;
pub mod prompts;
pub mod rendezvous;
pub mod time;
pub mod views;
pub mod wire;

pub use errors::{ErrorKind, Result, ServeError};
