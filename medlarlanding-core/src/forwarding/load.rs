//! Sizes of requests and the load that instances put on servers.

use super::speed_samples::SpeedReport;

value_type! { copy
    /// How the objective of a generation compares with those of the others that its engines run.
    #[derive(Default)]
    pub enum LatencyClass {
        /// The objectives of the service's routes are about the same.
        #[default]
        Uniform,
        /// The objective is among the shortest of the service; other routes can wait much longer.
        Critical,
        /// The objective leaves much more time than the shortest of the service.
        Tolerant,
    }
}

impl LatencyClass {
    /// Returns the name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Uniform => "uniform",
            Self::Critical => "critical",
            Self::Tolerant => "tolerant",
        }
    }
}

/// Number of tokens that a request is expected to need at a server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RunWeight {
    /// Prompt tokens.
    pub prompt: u32,
    /// Expected output tokens.
    pub output: u32,
}

value_type! { copy
    /// Load that one instance puts on one server.
    pub struct LoadReport {
        /// Hash of the server's id.
        pub server: u64,
        /// Requests in progress.
        pub requests: u16,
        /// Tokens that these requests occupy in the server's memory.
        pub tokens: u32,
        /// Prompt tokens of requests whose answer has not begun.
        pub waiting_tokens: u32,
        /// Tokens that the requests are expected to generate until they end.
        pub growth: u32,
        /// Samples of the server's speed since the last report; `None` without any.
        pub speed: Option<SpeedReport>,
    }
}

/// Load that all live peers together put on one server.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RemoteLoad {
    /// Requests in progress.
    pub requests: f64,
    /// Tokens that these requests occupy in the server's memory.
    pub tokens: f64,
    /// Prompt tokens that wait to be processed.
    pub waiting_tokens: f64,
    /// Tokens that the requests are expected to generate until they end.
    pub growth: f64,
}
