//! State of an account for operators.

use crate::admission::lengths::LengthEstimator;
use crate::admission::messages::WorkItem;
use crate::ids::{InstanceId, ServerId};
use crate::time::Timestamp;

use super::BackendAccount;

value_type! {
    /// One permit in the dump.
    pub struct PermitDump {
        /// Holder of the permit.
        pub instance: InstanceId,
        /// The request as last reported.
        pub item: WorkItem,
        /// Time since the last report, or since the grant if no report came later, ms.
        #[serde(rename = "silent_ms")]
        pub since_report_ms: u64,
        /// Whether the lease has expired and the permit only keeps the memory charged.
        pub detached: bool,
    }
}

value_type! {
    /// State of a [`BackendAccount`] in the dump.
    pub struct AccountDump {
        /// The engine's id.
        pub server: ServerId,
        /// Permits that are held.
        pub permits: Vec<PermitDump>,
        /// Number of queued requests.
        pub queued: usize,
        /// Expected peak of the memory that the held permits use, tokens.
        pub expected_tokens: u64,
        /// Memory of the engine, tokens.
        pub kv_tokens: u64,
        /// Current batch limit, applied if the new request or a running one has the objective
        /// `least_stall`.
        pub batch_limit: usize,
        /// Largest number of permits while the engine is in slow start.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub pace_limit: Option<u32>,
        /// Number of live instances that have not sent a complete report during the warm-up.
        #[serde(rename = "unheard")]
        pub unreported: usize,
        /// Permits counted so far: granted here, or first learned of from a report of a running
        /// request.
        pub issued: u64,
        /// Permits that ended with a release.
        pub released: u64,
        /// Permits that ended because no report renewed them in time.
        pub lapsed: u64,
    }
}

impl BackendAccount {
    /// Returns the state for the dump, with the permits in no particular order.
    pub fn dump(&self, now: Timestamp, lengths: &LengthEstimator) -> AccountDump {
        AccountDump {
            server: self.capacity.server,
            permits: self
                .permits
                .iter()
                .map(|(key, permit)| PermitDump {
                    instance: key.0,
                    item: permit.item,
                    since_report_ms: now.since(permit.reported_at).as_millis() as u64,
                    detached: permit.detached,
                })
                .collect(),
            queued: self.queue.len(),
            expected_tokens: self.forecast(lengths).peak(0.0, u32::MAX) as u64,
            kv_tokens: self.capacity.kv_tokens,
            batch_limit: self.batch_limiter.limit(),
            pace_limit: self.pace_limit,
            unreported: self.unreported.len(),
            issued: self.issued,
            released: self.released,
            lapsed: self.lapsed,
        }
    }
}
