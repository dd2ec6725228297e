//! Stand-ins for the external systems that medlarlanding talks to.

pub mod engine;
pub mod platform;
pub mod server;
pub mod service;
pub mod tokens;
