//! Regions of availability zones, and the regions to which requests are restricted.

use std::sync::Arc;

use crate::ids::stable_hash;

use indexmap::IndexMap;

value_type! { copy
    /// Key of a region: the hash of its name, which is the same on all instances.
    pub struct RegionKey(u64);
}

impl RegionKey {
    /// Returns the key of the region with this name.
    pub fn of_name(name: &str) -> Self {
        Self(stable_hash(name.as_bytes()))
    }
}

value_type! {
    /// Regions whose servers may get a request.
    #[derive(Default)]
    pub enum RegionLimit {
        /// Servers of all regions, and those whose region is unknown.
        #[default]
        Any,
        /// Servers of these regions only; none if the list is empty.
        Only(Vec<RegionKey>),
    }
}

impl RegionLimit {
    /// Restricts requests to the regions with these names.
    pub fn only<'a>(names: impl IntoIterator<Item = &'a str>) -> Self {
        let mut keys: Vec<RegionKey> = names.into_iter().map(RegionKey::of_name).collect();
        keys.sort_unstable();
        keys.dedup();
        Self::Only(keys)
    }

    /// Returns the limit of a request to which both limits apply.
    pub fn intersect(&self, other: &Self) -> Self {
        match (self, other) {
            (Self::Any, limit) | (limit, Self::Any) => limit.clone(),
            (Self::Only(keys), Self::Only(others)) => {
                Self::Only(keys.iter().filter(|key| others.contains(key)).copied().collect())
            },
        }
    }

    /// Returns whether servers of a region may get the request; `None` is the region of a zone that
    /// the settings do not name.
    pub fn allows(&self, region: Option<RegionKey>) -> bool {
        match self {
            Self::Any => true,
            Self::Only(keys) => region.is_some_and(|region| keys.contains(&region)),
        }
    }
}

/// Region of each availability zone, from the settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ZoneRegions {
    regions: IndexMap<Arc<str>, RegionKey>,
}

impl ZoneRegions {
    /// Creates the map from the names of zones and their regions. Of two entries for a zone, the
    /// later one counts.
    pub fn new<'a>(zones: impl IntoIterator<Item = (&'a str, &'a str)>) -> Self {
        let regions = zones.into_iter().map(|(zone, name)| (zone.into(), RegionKey::of_name(name)));
        Self { regions: regions.collect() }
    }

    /// Returns the region of a zone; `None` if it is unknown.
    pub fn region_of(&self, zone: &str) -> Option<RegionKey> {
        self.regions.get(zone).copied()
    }
}
