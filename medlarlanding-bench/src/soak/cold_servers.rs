//! Servers that turn cold during a soak, and the check of how many requests reach them within a second.

use std::time::{Duration, Instant};

use super::fatal_prompts::ServiceGaps;
use crate::site::{SiteState, TestSite};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Requests per second that services state for cold servers.
const COLD_RATE: u32 = 1;
/// Requests that a cold server may get within a second: `COLD_RATE` x 1.5 + 5.
const COLD_LIMIT: usize = 6;
/// Time for which a server turns cold, in milliseconds.
const COLD_MS: std::ops::Range<u64> = 800..3_000;
/// Time until all running instances know that a server is cold while the store is available.
const NEWS_TIME: Duration = Duration::from_millis(800);
/// Time for which the store must have been available, so that it is watched again: the pause after failed
/// calls is at most 0.8 s.
const STORE_TIME: Duration = Duration::from_millis(1500);
/// Time for which a link must have been healthy, so that it holds back no requests.
const LINK_TIME: Duration = Duration::from_secs(4);

/// Time in which a server is cold.
#[derive(Debug)]
struct ColdPeriod {
    server: usize,
    from: Instant,
    until: Instant,
}

/// Times in which servers are cold, and the faults that excuse requests to them.
#[derive(Debug)]
pub(super) struct ColdPeriods {
    random: SmallRng,
    periods: Vec<ColdPeriod>,
    /// Changes of the store, with whether it is available afterwards.
    store: Vec<(Instant, bool)>,
    /// Changes of the links to servers, with whether they are healthy afterwards.
    links: Vec<(usize, Instant, bool)>,
}

impl ColdPeriods {
    /// Creates the history of a soak in which no server is cold. The draws do not change those of other
    /// faults.
    pub(super) fn new(seed: u64) -> Self {
        Self {
            random: SmallRng::seed_from_u64(seed ^ 0xc01d),
            periods: Vec::new(),
            store: Vec::new(),
            links: Vec::new(),
        }
    }

    /// Publishes a configuration in which services limit the requests to cold servers.
    pub(super) fn publish_config(site: &mut TestSite) {
        site.publish_config(|config| {
            for service in config["services"].as_array_mut().into_iter().flatten() {
                service["coldStartS"] = 1.0.into();
                service["coldPerS"] = COLD_RATE.into();
            }
        });
    }

    /// Records a change of the store.
    pub(super) fn note_store(&mut self, is_available: bool) {
        self.store.push((Instant::now(), is_available));
    }

    /// Records a change of the link to a server.
    pub(super) fn note_link(&mut self, server: usize, is_healthy: bool) {
        self.links.push((server, Instant::now(), is_healthy));
    }

    /// Ends the cold times of a server that has restarted.
    pub(super) fn note_restart(&mut self, id: &str, servers: &[&str]) {
        let now = Instant::now();
        for period in self.periods.iter_mut().filter(|period| servers[period.server] == id) {
            period.until = period.until.min(now);
        }
    }

    /// Makes a server cold, one with a healthy link if there is any.
    pub(super) fn inject(&mut self, site: &TestSite, servers: &[&str]) {
        let is_healthy = |server: &usize| {
            let mut changes = self.links.iter().rev().filter(|(changed, ..)| changed == server);
            changes.next().is_none_or(|(_, _, is_healthy)| *is_healthy)
        };
        let mut candidates: Vec<usize> = (0..site.links().len()).filter(is_healthy).collect();
        if candidates.is_empty() {
            candidates = (0..site.links().len()).collect();
        }
        let server = candidates[self.random.random_range(0..candidates.len())];
        let drawn = Duration::from_millis(self.random.random_range(COLD_MS));
        let from = Instant::now();
        // A cold time does not end early because the server turns cold again.
        let earlier = self.periods.iter().filter(|period| period.server == server);
        let left = earlier.map(|period| period.until.saturating_duration_since(from)).max();
        let remaining = drawn.max(left.unwrap_or_default());
        site.mark_server_cold(servers[server], remaining);
        self.periods.push(ColdPeriod { server, from, until: from + remaining });
    }

    /// Returns whether no fault kept the instances from learning of a cold time, or kept requests back.
    fn is_known(&self, period: &ColdPeriod, gaps: &ServiceGaps) -> bool {
        let is_store_up = !is_faulty(
            self.store.iter().copied(),
            period.from.checked_sub(STORE_TIME),
            period.from + NEWS_TIME,
        );
        let links = self.links.iter().filter(|(server, ..)| *server == period.server);
        let is_link_up = !is_faulty(
            links.map(|(_, at, is_healthy)| (*at, *is_healthy)),
            period.from.checked_sub(LINK_TIME),
            period.until,
        );
        is_store_up && is_link_up && !gaps.overlap(period.from, period.from + NEWS_TIME)
    }

    /// Finds cold servers that got more requests within a second than they tolerate. Returns the number of
    /// cold times that were checked too.
    pub(super) fn find_overloads(
        &self,
        state: &SiteState,
        servers: &[&str],
        gaps: &ServiceGaps,
    ) -> (usize, Vec<String>) {
        let runs = state.runs("");
        let known = self.periods.iter().filter(|period| self.is_known(period, gaps));
        let mut violations = Vec::new();
        for period in known.clone() {
            let server = servers[period.server];
            let span = period.from + NEWS_TIME..period.until;
            let arrivals: Vec<Instant> = runs
                .iter()
                .filter(|run| run.server == server && span.contains(&run.at))
                .map(|run| run.at)
                .collect();
            let within = |first: &Instant| {
                let second = *first..*first + Duration::from_secs(1);
                arrivals.iter().filter(|at| second.contains(*at)).count()
            };
            let peak = arrivals.iter().map(within).max().unwrap_or(0);
            if peak > COLD_LIMIT {
                violations.push(format!("{server} got {peak} requests in a second while cold"));
            }
        }
        (known.count(), violations)
    }
}

/// Returns whether something is faulty at any time from `from` to `until`, according to its changes.
fn is_faulty(
    changes: impl Iterator<Item = (Instant, bool)>,
    from: Option<Instant>,
    until: Instant,
) -> bool {
    let mut is_healthy = true;
    let mut was_faulty = false;
    for (at, healthy_after) in changes.take_while(|(at, _)| *at < until) {
        if from.is_none_or(|from| at >= from) {
            was_faulty |= !is_healthy || !healthy_after;
        }
        is_healthy = healthy_after;
    }
    was_faulty || !is_healthy
}
