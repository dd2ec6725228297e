//! Test bench: stand-ins for outside systems, load generator, failure drills, experiments and
//! demo.

#![forbid(unsafe_code)]

pub mod client;
pub mod cluster;
pub mod cost;
pub mod demo;
pub mod drills;
pub mod engine_model;
pub mod experiment;
pub mod fleet_trials;
pub mod load;
pub mod order_trials;
pub mod report;
pub mod site;
pub mod soak;
pub mod stand_ins;
pub mod usage;
