//! How far places are from a process.

use crate::settings::{Settings, ZoneRegion, region_of};

/// How far a place is; nearer ones come first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// In the same zone.
    SameZone,
    /// In another zone of the same region.
    SameRegion,
    /// In another region, or where that is not known.
    Beyond,
}

/// Where a process stands among the zones and regions of its system.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Locality {
    zone: String,
    zones: Vec<ZoneRegion>,
}

impl Locality {
    /// A process in a zone, of zones that are known with their regions.
    pub fn new(zone: impl Into<String>, zones: Vec<ZoneRegion>) -> Self {
        Self { zone: zone.into(), zones }
    }

    /// How far a zone is. Zones that are named with no region count as one region together.
    pub fn distance_to(&self, zone: &str) -> Distance {
        if zone == self.zone {
            Distance::SameZone
        } else if region_of(&self.zones, zone) == region_of(&self.zones, &self.zone) {
            Distance::SameRegion
        } else {
            Distance::Beyond
        }
    }
}

impl Settings {
    /// Where the process stands.
    pub fn locality(&self) -> Locality {
        Locality::new(self.zone.clone(), self.zones.clone())
    }
}
