//! Limits and intervals of the order subsystem.

use std::time::Duration;

/// Limits and intervals. All instances of a deployment use the same values.
#[derive(Clone, Debug)]
pub struct OrderParams {
    /// Number of key ranges.
    pub partitions: u16,
    /// How long claims and answers are kept.
    pub retention: Duration,
    /// Age of the list's confirmation above which a replica stops granting.
    pub list_limit: Duration,
    /// How long a replica's memory may have been out of use before a group that starts from
    /// it is in doubt again. Beyond it, another group may have ended its own doubt.
    pub idle_limit: Duration,
    /// Longest time from the receipt of an order to the send to its plain service.
    pub permit_limit: Duration,
    /// Longest time from the first byte of an order to its arrival at the plain service. A
    /// process can end in between, and the order still arrives.
    pub transit_limit: Duration,
    /// First interval between repetitions of an unanswered claim, outcome or read.
    pub retry: Duration,
    /// Longest interval between repetitions.
    pub retry_max: Duration,
    /// How long an outcome is repeated to replicas that do not acknowledge it.
    pub outcome_limit: Duration,
    /// Interval between questions to the proposer of an earlier attempt.
    pub status_poll: Duration,
    /// Longest random delay before a proposer retries after a split vote.
    pub split_delay: Duration,
    /// First interval between repetitions of a request for copies.
    pub sync_retry: Duration,
    /// Longest interval between repetitions of a request for copies.
    pub sync_retry_max: Duration,
    /// Time after which a replica that lacks copies asks every listed instance.
    pub sync_widen: Duration,
    /// Time that a replica waits for a better copy before it takes one in doubt.
    pub sync_settle: Duration,
    /// Time without a readable majority after which a partition starts empty, in doubt.
    pub empty_start: Duration,
    /// Added to `empty_start` per rank in the group, so that the members of a group
    /// do not all draw an epoch at the same moment.
    pub empty_start_step: Duration,
    /// Most claims that are kept before new ones are refused.
    pub claim_limit: usize,
    /// Most bytes of claims and answers that are kept before new claims are refused.
    pub byte_limit: usize,
    /// Largest answer in bytes that the replicas store.
    pub answer_limit: usize,
    /// Most bytes of larger answers that a proposer keeps for its own orders.
    pub large_answer_limit: usize,
    /// Largest size in bytes of one page of copied records.
    pub page_limit: usize,
    /// Most nonces that are tried to mint one key.
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
            sync_widen: Duration::from_secs(1),
            sync_settle: Duration::from_secs(1),
            empty_start: Duration::from_secs(10),
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
    /// Returns how long a record is kept after its last change.
    ///
    /// The order may be run up to `permit_limit` and `transit_limit` after its claim was
    /// recorded. Without this margin a key was run again within the retention when its first
    /// request arrived 5 s late.
    pub fn keep(&self) -> Duration {
        self.retention + self.permit_limit + self.transit_limit
    }

    /// Returns the age at which a doubt ends.
    ///
    /// A group that was active before the empty start may grant for `list_limit` longer,
    /// and its claims count for `keep`. A group that starts from its memory without a
    /// doubt does so within `idle_limit`, and then the empty-started group's list is refused
    /// after another `list_limit`.
    pub fn doubt_limit(&self) -> Duration {
        let reopened = 2 * self.list_limit + self.idle_limit + self.permit_limit;
        (self.keep() + self.list_limit).max(reopened)
    }
}
