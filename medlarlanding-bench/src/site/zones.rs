//! Availability zones of a deployment, their evacuation, and the check of requests that come too late.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use super::crashing_engine::CRASHING_ZONE;
use super::{LinkSwitch, TestSite};

/// Zones with their regions; instances and servers are spread over them in turn.
#[derive(Clone, Copy, Debug)]
pub struct ZoneLayout {
    /// Names of the zones, each with the name of its region.
    pub zones: &'static [(&'static str, &'static str)],
    /// Whether the settings name the regions and the limit of evacuations, and each instance reaches the
    /// store through a link of its own.
    pub is_described: bool,
}

impl Default for ZoneLayout {
    fn default() -> Self {
        Self { zones: &[("z0", "")], is_described: false }
    }
}

impl ZoneLayout {
    /// Returns the zone of the instance or server with this index.
    pub fn zone(&self, index: usize) -> &'static str {
        self.zones[index % self.zones.len()].0
    }

    /// Returns the zone of a server from its id, which ends with its index; ids of crashing engines end with
    /// the index and the number of the start.
    pub fn zone_of(&self, server: &str) -> &'static str {
        let mut parts = server.split('-').skip(1);
        match (parts.next().and_then(|index| index.parse().ok()), parts.next()) {
            (Some(index), None) => self.zone(index),
            _ => CRASHING_ZONE,
        }
    }

    /// Returns the lines of the settings of an instance before the first table.
    pub(super) fn own_settings(&self, index: usize) -> String {
        let (zone, region) = self.zones[index % self.zones.len()];
        let region =
            if self.is_described { format!("region = \"{region}\"\n") } else { String::new() };
        format!("zone = \"{zone}\"\n{region}")
    }

    /// Returns the limit of evacuations in the settings.
    pub(super) fn bounds(&self) -> &'static str {
        if self.is_described {
            "evacuateMs = 5000\nouterBoundMs = 6000\ncontactMs = 4000\n"
        } else {
            ""
        }
    }

    /// Returns the table of the zones in the settings.
    pub(super) fn table(&self) -> String {
        if !self.is_described {
            return String::new();
        }
        let lines = self.zones.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n"));
        format!("[zones]\n{}", lines.collect::<String>())
    }
}

/// Time for which a zone was evacuated.
#[derive(Clone, Debug)]
pub struct EvacuationPeriod {
    /// Name of the zone.
    pub zone: String,
    /// When the store had acknowledged the key.
    pub from: Instant,
    /// When the removal of the key began; `None` while the zone is evacuated.
    pub until: Option<Instant>,
}

/// Periods of evacuation so far.
#[derive(Debug, Default)]
pub(super) struct EvacuationLog(Mutex<Vec<EvacuationPeriod>>);

/// Request that reached a server of an evacuated zone.
#[derive(Clone, Debug)]
pub struct LateRun {
    /// Id of the request.
    pub request: String,
    /// Id of the server.
    pub server: String,
    /// Time since the store had acknowledged the evacuation.
    pub after: Duration,
    /// When the period of evacuation began.
    pub evacuated_at: Instant,
}

impl TestSite {
    /// Evacuates a zone.
    pub fn evacuate(&self, zone: &str) {
        self.state.put(&format!("op/evacuate/{zone}"), b"{}");
        let period = EvacuationPeriod { zone: zone.to_owned(), from: Instant::now(), until: None };
        self.evacuations.0.lock().unwrap_or_else(PoisonError::into_inner).push(period);
    }

    /// Restores a zone.
    pub fn restore(&self, zone: &str) {
        let until = Instant::now();
        let mut periods = self.evacuations.0.lock().unwrap_or_else(PoisonError::into_inner);
        for period in periods.iter_mut().filter(|it| it.zone == zone && it.until.is_none()) {
            period.until = Some(until);
        }
        drop(periods);
        self.state.remove(&format!("op/evacuate/{zone}"));
    }

    /// Returns the periods of evacuation so far.
    pub fn evacuations(&self) -> Vec<EvacuationPeriod> {
        self.evacuations.0.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Returns the requests that reached a server of a zone while it was evacuated.
    pub fn runs_in_evacuated_zones(&self) -> Vec<LateRun> {
        let periods = self.evacuations();
        let mut late = Vec::new();
        for run in self.state.runs("") {
            let zone = self.layout.zone_of(&run.server);
            let period = periods.iter().find(|period| {
                period.zone == zone
                    && period.from < run.at
                    && period.until.is_none_or(|until| run.at < until)
            });
            if let Some(period) = period {
                late.push(LateRun {
                    request: run.request,
                    server: run.server,
                    after: run.at - period.from,
                    evacuated_at: period.from,
                });
            }
        }
        late
    }

    /// Returns the zone of a server of this deployment.
    pub fn zone_of(&self, server: &str) -> &'static str {
        self.layout.zone_of(server)
    }

    /// Returns the links from the instances to the store; empty unless the zones are described.
    pub fn store_links(&self) -> &[LinkSwitch] {
        &self.store_links
    }
}
