//! Entry instance of the medlarlanding serving system.

#![forbid(unsafe_code)]

pub mod backends;
pub mod clock;
pub mod http;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod platform;
pub mod supervisor;
