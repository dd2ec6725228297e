//! Delivery of generations: the task of one request and its connections.

pub mod exchanges;
pub mod permit;
pub mod sink;
pub mod task;
