//! HTTP interface for callers and operators.

pub mod admin;
pub mod caller_path;
pub mod callers;
pub mod generations;
pub mod listener;
pub mod lookups;
pub mod orders;
pub mod request_body;
pub mod responses;
