//! HTTP listeners: callers and operators.

pub mod admin;
pub mod answers;
pub mod callers;
pub mod generations;
pub mod listener;
pub mod lookups;
pub mod orders;
pub mod reading;
pub mod routes;
