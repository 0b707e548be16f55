//! How far places are from a process.

use ruddervalve_configuration::{Distance, Locality, ZoneRegion};

fn known(zone: &str, region: &str) -> ZoneRegion {
    ZoneRegion { zone: zone.to_owned(), region: region.to_owned() }
}

#[test]
fn zones_are_near_by_zone_then_by_region() {
    let zones = vec![known("a", "north"), known("b", "north"), known("c", "south")];
    let locality = Locality::new("a", zones);
    let distances = ["a", "b", "c"].map(|zone| locality.distance_to(zone));
    assert_eq!(distances, [Distance::SameZone, Distance::SameRegion, Distance::Beyond]);
}

#[test]
fn without_regions_all_zones_are_one_region() {
    let locality = Locality::new("a", Vec::new());
    let distances = ["a", "b"].map(|zone| locality.distance_to(zone));
    assert_eq!(distances, [Distance::SameZone, Distance::SameRegion]);
}

#[test]
fn a_zone_in_no_region_is_far_from_those_in_one() {
    let locality = Locality::new("a", vec![known("a", "north")]);
    assert_eq!(locality.distance_to("unknown"), Distance::Beyond);
    let locality = Locality::new("unknown", vec![known("a", "north")]);
    assert_eq!(locality.distance_to("a"), Distance::Beyond);
    assert_eq!(locality.distance_to("unknown"), Distance::SameZone);
    assert_eq!(locality.distance_to("also-unknown"), Distance::SameRegion);
}
