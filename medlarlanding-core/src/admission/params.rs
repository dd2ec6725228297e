//! Limits and intervals of the admission subsystem.

use std::time::Duration;

/// Limits and intervals of [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionParams {
    /// Time after which a permit lapses unless its instance reports it again. Also the length of
    /// a manager's warm-up.
    pub lease: Duration,
    /// Time for which a running request's memory stays charged after its last report. Engines
    /// keep a generation without attachment for 10 s, so its memory is in use that long.
    pub detached_hold: Duration,
    /// Interval between an instance's reports to a manager.
    pub report_interval: Duration,
    /// Time after which a manager that has not replied is treated as unreachable.
    pub reply_timeout: Duration,
    /// Fraction of a server's capacity, or of a customer's limit, that all instances together
    /// use while they do not reach its manager. Divided equally between the live instances.
    pub local_fraction: f64,
    /// Fraction of the memory that permits may not use; covers tokens decoded since the last
    /// report.
    pub memory_margin: f64,
    /// Standard deviations of the memory forecast kept free for `fewest_preemptions`.
    pub z_fewest_preemptions: f64,
    /// Standard deviations of the memory forecast kept free for `least_stall`.
    pub z_least_stall: f64,
    /// Target of the time between tokens for the batch limit of `least_stall`.
    pub target_gap: Duration,
    /// Largest number of requests queued at one server.
    pub queue_limit: usize,
    /// Soft limit of a customer's open requests as a fraction of its limit. Above it, the
    /// customer's requests are queued after those of the same priority of other customers.
    pub soft_limit_fraction: f64,
    /// Fraction of a server's memory that requests over the soft limit leave free while other
    /// customers use the server.
    pub soft_limit_headroom: f64,
    /// Number of servers in whose queues one request waits at the same time.
    pub queues_per_request: usize,
    /// Tokens that a customer with a share of 1 may use per round of the queue.
    pub quantum_tokens: u32,
    /// Load by which the server that likely caches the prompt's prefix may exceed the best server
    /// and still be preferred, 0 to 1.
    pub affinity_bound: f64,
    /// `affinity_bound` for `least_stall`. Higher, because recomputing a prompt delays the tokens
    /// of other requests.
    pub affinity_bound_least_stall: f64,
    /// Time for which a request of objective `least_stall` waits only at the server that likely
    /// caches its prefix before it requests permits from further managers. Also the extra wait
    /// for which that server is preferred when all servers have queues.
    pub affinity_wait: Duration,
    /// Time for which no permits are granted at a server that was reported unresponsive.
    pub suspect_hold: Duration,
    /// Time before the deadline at which a waiting request is refused, so that the refusal
    /// arrives in time.
    pub answer_margin: Duration,
    /// Half-life of length observations.
    pub length_half_life: Duration,
    /// Interval at which an instance sends its length summaries to the next peer.
    pub summary_interval: Duration,
    /// Number of servers polled for their status per report interval, whether or not this
    /// instance has requests there.
    pub poll_width: usize,
    /// Number of decision records kept for the dump.
    pub record_limit: usize,
    /// Whether leases expire. Only tests turn it off, to show that permits are then never
    /// removed.
    pub expire_leases: bool,
    /// Whether delayed and repeated messages are dropped by their sequence numbers. Only tests
    /// turn it off.
    pub check_sequence: bool,
}

impl Default for AdmissionParams {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            detached_hold: Duration::from_secs(10),
            report_interval: Duration::from_millis(500),
            reply_timeout: Duration::from_millis(150),
            local_fraction: 0.5,
            memory_margin: 0.02,
            z_fewest_preemptions: 2.0,
            z_least_stall: 1.5,
            target_gap: Duration::from_millis(54),
            queue_limit: 1024,
            soft_limit_fraction: 0.5,
            soft_limit_headroom: 0.2,
            queues_per_request: 3,
            quantum_tokens: 512,
            affinity_bound: 0.15,
            affinity_bound_least_stall: 0.3,
            affinity_wait: Duration::from_secs(4),
            suspect_hold: Duration::from_secs(5),
            answer_margin: Duration::from_millis(50),
            length_half_life: Duration::from_secs(600),
            summary_interval: Duration::from_secs(1),
            poll_width: 4,
            record_limit: 256,
            expire_leases: true,
            check_sequence: true,
        }
    }
}
