//! Forwarding role: serves callers of the platform and sends their requests to its servers.
//!
//! A request comes in at `listener`, is checked in `admit`, and is sent by `relay` (plain
//! services) or `generation` (model engines) over a connection of `crate::exchange`.
//! `store_watch`, `peer_link` and `peer_fetch` keep the configuration and the servers current.

mod admit;
mod answer;
mod engine_calls;
mod engine_probe;
mod generation;
mod listener;
mod load_guard;
mod log_output;
mod peer_fetch;
mod peer_link;
mod relay;
mod role;
mod shared;
mod store_client;
mod store_watch;
mod stream_events;
mod telemetry;

pub use role::{RoleOptions, run};
pub use stream_events::{EventSplitter, StreamPiece};
