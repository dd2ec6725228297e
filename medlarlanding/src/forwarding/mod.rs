//! Forwarding role: accepts requests of the platform's callers and forwards them to its servers.
//!
//! `listener` accepts connections, `admit` checks each request, and `relay` (plain services) or
//! `generation` (model engines) sends it to a server over a connection of `crate::exchange`.
//! `store_watch`, `peer_link` and `peer_fetch` keep the configuration and the server directory up
//! to date, and `evacuations` the evacuated zones.

mod admit;
mod answer;
mod answer_end;
mod answer_lengths;
mod caller_stream;
mod cold_limit;
mod engine_calls;
mod engine_probe;
mod evacuations;
mod generation;
mod hedging;
mod ledger;
mod listener;
mod load_guard;
mod log_output;
mod peer_cut;
mod peer_fetch;
mod peer_link;
mod placing;
mod prompt_runs;
mod relay;
mod request_record;
mod role;
mod server_liveness;
mod server_pace;
mod server_reports;
mod servers;
mod shared;
mod speeds;
mod store_client;
mod store_history;
mod store_watch;
mod stream_events;
mod telemetry;
mod zone_link;

pub use role::{RoleOptions, run};
pub use stream_events::{EventSplitter, StreamEvent};
