//! Limits and intervals of the order subsystem.

use std::time::Duration;

/// Parameters of an [`OrderCoordinator`](super::OrderCoordinator). All instances of a deployment
/// use the same values.
#[derive(Clone, Debug)]
pub struct OrderParams {
    /// Number of partitions of the keys.
    pub partitions: u16,
    /// Minimum time for which claims and answers are kept; see [`Self::record_retention`].
    pub retention: Duration,
    /// Age of the list's last confirmation above which a replica stops granting claims.
    pub list_limit: Duration,
    /// Time since a replica last granted claims above which a group that starts from its records
    /// is in doubt again. After that time, another group that started empty may no longer be in
    /// doubt.
    pub idle_limit: Duration,
    /// Longest time from the receipt of an order until it is sent to its backend server.
    pub permit_limit: Duration,
    /// Longest time from the first byte of an order until it arrives at the backend server. It
    /// can arrive even if the sending process has ended in between.
    pub transit_limit: Duration,
    /// First interval between repetitions of an unanswered claim, outcome or read.
    pub retry: Duration,
    /// Longest interval between these repetitions.
    pub retry_max: Duration,
    /// Time for which an outcome is repeated to replicas that do not acknowledge it.
    pub outcome_limit: Duration,
    /// Interval between status requests to the proposer of another attempt.
    pub status_poll: Duration,
    /// Longest random delay before a proposer retries after a split vote.
    pub split_delay: Duration,
    /// First interval between repetitions of a pull.
    pub sync_retry: Duration,
    /// Longest interval between repetitions of a pull to a likely holder of records.
    pub sync_retry_max: Duration,
    /// Time after which a replica that lacks copies sends pulls to every listed instance.
    pub sync_widen_delay: Duration,
    /// Time for which a replica waits for better copies before it starts from records in doubt.
    pub sync_doubt_delay: Duration,
    /// Time without copies from a sufficient majority after which a partition starts empty.
    pub empty_start_delay: Duration,
    /// Added to `empty_start_delay` for each live member of higher rank, so that the members of a
    /// group do not all start a new epoch at the same time.
    pub empty_start_step: Duration,
    /// Number of recorded keys from which claims of new keys are refused.
    pub claim_limit: usize,
    /// Bytes of records, including answers, from which claims of new keys are refused.
    pub byte_limit: usize,
    /// Largest answer in bytes that the replicas store.
    pub answer_limit: usize,
    /// Most bytes of larger answers that a proposer stores for its own orders.
    pub large_answer_limit: usize,
    /// Approximate largest size in bytes of one page of copied records.
    pub page_limit: usize,
    /// Most nonces tried to mint one key.
    pub mint_tries: u32,
}

impl Default for OrderParams {
    fn default() -> Self {
        Self {
            partitions: 1024,
            retention: Duration::from_secs(3600),
            list_limit: Duration::from_secs(3600),
            idle_limit: Duration::from_secs(1800),
            permit_limit: Duration::from_secs(10),
            transit_limit: Duration::from_secs(60),
            retry: Duration::from_millis(100),
            retry_max: Duration::from_millis(800),
            outcome_limit: Duration::from_secs(10),
            status_poll: Duration::from_millis(200),
            split_delay: Duration::from_millis(100),
            sync_retry: Duration::from_millis(250),
            sync_retry_max: Duration::from_secs(2),
            sync_widen_delay: Duration::from_secs(1),
            sync_doubt_delay: Duration::from_secs(1),
            empty_start_delay: Duration::from_secs(10),
            empty_start_step: Duration::from_secs(2),
            claim_limit: 200_000,
            byte_limit: 64 << 20,
            answer_limit: 16 << 10,
            large_answer_limit: 16 << 20,
            page_limit: 256 << 10,
            mint_tries: 20_000,
        }
    }
}

impl OrderParams {
    /// Returns the time for which a record is kept after its last change.
    ///
    /// The order may be run up to `permit_limit + transit_limit` after its claim was recorded.
    /// Without this margin, a key was run again within `retention` when its first request
    /// arrived 5 s late.
    pub fn record_retention(&self) -> Duration {
        self.retention + self.permit_limit + self.transit_limit
    }

    /// Returns the time for which a partition is in doubt after an empty start.
    ///
    /// The limit covers two cases. First, the group that was active before the empty start may
    /// grant claims for another `list_limit`, and each of them blocks its key for
    /// `record_retention`. Second, another group may start from the old records without being in
    /// doubt, at most `idle_limit` after those grants ended. The empty-started group then grants
    /// for at most another `list_limit`, until its list is too old, and may send an order
    /// `permit_limit` later.
    pub fn doubt_limit(&self) -> Duration {
        let reopened = 2 * self.list_limit + self.idle_limit + self.permit_limit;
        (self.record_retention() + self.list_limit).max(reopened)
    }
}
