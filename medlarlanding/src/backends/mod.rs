//! HTTP clients of backend servers.

pub mod connection;
pub mod engine;
pub mod events;
pub mod service;
