//! Evacuations of zones during a soak, and the check of requests that reach an evacuated zone too late.

use std::time::{Duration, Instant};

use crate::site::{LateRun, StoreMode, TestSite, ZoneLayout};

use rand::Rng;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;

/// Zones of the deployment.
pub(super) const LAYOUT: ZoneLayout = ZoneLayout {
    zones: &[("giza", "north"), ("regina", "south"), ("luxor", "north")],
    is_described: true,
};

/// Time after the acknowledgement of an evacuation after which no request may reach the zone, while the
/// store answers: `evacuateMs`.
const EVACUATION_LIMIT: Duration = Duration::from_secs(5);
/// Addition if the store was unavailable: `outerBoundMs`.
const UNSTABLE_ADDITION: Duration = Duration::from_secs(6);
/// Chance that an evacuated zone is restored when a fault concerns it. Low, so that most evacuations last
/// longer than the limit.
const RESTORE_CHANCE: f64 = 0.15;

/// Periods in which the store was unavailable.
#[derive(Debug, Default)]
pub(super) struct StoreOutages {
    periods: Vec<(Instant, Option<Instant>)>,
}

impl StoreOutages {
    /// Sets the mode of the store and records it.
    pub(super) fn set(&mut self, site: &TestSite, mode: StoreMode) {
        let now = Instant::now();
        match (mode, self.periods.last_mut()) {
            (StoreMode::Available, Some((_, until))) => {
                // The store answers again only after the mode is set.
                site.state.set_store(mode);
                until.get_or_insert_with(Instant::now);
                return;
            },
            (StoreMode::Available, None) | (_, Some((_, None))) => {},
            (_, Some((_, Some(_))) | None) => self.periods.push((now, None)),
        }
        site.state.set_store(mode);
    }

    /// Records that the store is away while `action` runs, after which it answers.
    pub(super) fn during<T>(&mut self, action: impl FnOnce() -> T) -> T {
        if self.periods.last().is_none_or(|(_, until)| until.is_some()) {
            self.periods.push((Instant::now(), None));
        }
        let result = action();
        if let Some((_, until)) = self.periods.last_mut() {
            until.get_or_insert_with(Instant::now);
        }
        result
    }

    /// Returns the time after which no request may reach a zone that was evacuated at the given time;
    /// `None` if the store is still unavailable. No instance can learn of the evacuation before the end
    /// of an outage, and one that begins within the limit makes the store unstable.
    fn evacuation_deadline(&self, evacuated_at: Instant) -> Option<Instant> {
        let mut deadline = evacuated_at + EVACUATION_LIMIT;
        for (start, end) in &self.periods {
            if *start < deadline && end.is_none_or(|end| end > evacuated_at) {
                let unstable = evacuated_at + EVACUATION_LIMIT + UNSTABLE_ADDITION;
                deadline = unstable.max((*end)? + EVACUATION_LIMIT);
            }
        }
        Some(deadline)
    }
}

/// Evacuates a zone, or restores one that is evacuated.
pub(super) fn change_zone(site: &TestSite, random: &mut SmallRng) {
    let (zone, _) = *LAYOUT.zones.choose(random).expect("a zone");
    let is_evacuated = site.evacuations().iter().any(|it| it.zone == zone && it.until.is_none());
    match is_evacuated {
        false => site.evacuate(zone),
        true if random.random_bool(RESTORE_CHANCE) => site.restore(zone),
        true => {},
    }
}

/// Restores all zones.
pub(super) fn restore_zones(site: &TestSite) {
    for (zone, _) in LAYOUT.zones {
        site.restore(zone);
    }
}

/// Returns the requests that reached an evacuated zone later than they may, described.
pub(super) fn find_late_requests(site: &TestSite, outages: &StoreOutages) -> Vec<String> {
    let is_late = |run: &&LateRun| {
        let deadline = outages.evacuation_deadline(run.evacuated_at);
        deadline.is_some_and(|deadline| run.evacuated_at + run.after > deadline)
    };
    let runs = site.runs_in_evacuated_zones();
    let late = runs.iter().filter(is_late);
    late.map(|run| {
        format!(
            "{}: reached {} {:?} after its zone was evacuated",
            run.request, run.server, run.after
        )
    })
    .collect()
}

/// Returns the longest time after which a request reached an evacuated zone.
pub(super) fn latest_request(site: &TestSite) -> Duration {
    let runs = site.runs_in_evacuated_zones();
    runs.iter().map(|run| run.after).max().unwrap_or_default()
}
