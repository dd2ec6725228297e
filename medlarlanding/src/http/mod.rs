//! HTTP listeners: callers and operators.

pub mod answers;
pub mod reading;
