//! Limits and intervals of the admission subsystem.

use std::time::Duration;

/// Limits and intervals of [`AdmissionController`](super::AdmissionController).
#[derive(Clone, Debug, PartialEq)]
pub struct AdmissionParams {
    /// Time after which a permit lapses unless its instance reports it again.
    pub lease: Duration,
    /// Time for which a permit's memory stays charged after its last report. Engines keep a
    /// generation without attachment for 10 s, so its memory is in use that long.
    pub detached_hold: Duration,
    /// Interval between an instance's reports to a manager.
    pub report_interval: Duration,
    /// Time after which a manager that has not replied counts as unreachable.
    pub reply_timeout: Duration,
    /// Part of a server's capacity that all instances together use without its manager.
    pub local_part: f64,
    /// Part of the memory that is never planned for; covers tokens decoded since the last report.
    pub memory_margin: f64,
    /// Standard deviations kept free under `fewest_preemptions`.
    pub z_fewest_preemptions: f64,
    /// Standard deviations kept free under `least_stall`.
    pub z_least_stall: f64,
    /// Time between tokens that the batch limit of `least_stall` aims at.
    pub target_gap: Duration,
    /// Largest number of requests queued at one server.
    pub queue_limit: usize,
    /// Part of its limit above which a customer's requests come after those of others.
    pub surplus_part: f64,
    /// Part of the memory that such requests leave free while others use the server.
    pub surplus_headroom: f64,
    /// Number of managers a request waits at concurrently.
    pub ask_width: usize,
    /// Tokens that a customer's share of 1 earns per round of the queue.
    pub quantum_tokens: u32,
    /// Load above the least loaded server up to which the prefix's server is preferred, 0 to 1.
    pub affinity_bound: f64,
    /// The same under `least_stall`, where a prompt computed again delays the tokens of others.
    pub affinity_bound_least_stall: f64,
    /// Time for which a request under `least_stall` waits only at the server that holds its
    /// prefix before it asks further managers, if all servers have queues.
    pub affinity_wait: Duration,
    /// Time for which a suspected server gets no new permits.
    pub suspect_hold: Duration,
    /// Time before the deadline at which a waiting request is refused.
    pub answer_margin: Duration,
    /// Half-life of the observed length distribution.
    pub length_half_life: Duration,
    /// Interval between length summaries to one peer.
    pub summary_interval: Duration,
    /// Number of servers asked for their status per report interval without work there.
    pub poll_width: usize,
    /// Number of decision records kept.
    pub record_limit: usize,
    /// Whether leases expire. Only tests switch it off, to show that a permit then leaks.
    pub expire_leases: bool,
    /// Whether late messages are recognised. Only tests switch it off.
    pub check_sequence: bool,
}

impl Default for AdmissionParams {
    fn default() -> Self {
        Self {
            lease: Duration::from_secs(3),
            detached_hold: Duration::from_secs(10),
            report_interval: Duration::from_millis(500),
            reply_timeout: Duration::from_millis(150),
            local_part: 0.5,
            memory_margin: 0.02,
            z_fewest_preemptions: 2.0,
            z_least_stall: 1.5,
            target_gap: Duration::from_millis(54),
            queue_limit: 1024,
            surplus_part: 0.5,
            surplus_headroom: 0.2,
            ask_width: 3,
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
