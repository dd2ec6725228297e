//! Delivery of generations: the task of one request, its engine connections and its permit.

pub mod exchanges;
pub mod permit;
pub mod sink;
pub mod task;
