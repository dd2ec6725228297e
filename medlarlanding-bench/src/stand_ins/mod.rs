//! Stand-ins for the outside systems that medlarlanding talks to.

pub mod engine;
pub mod platform;
pub mod service;
