use super::*;

fn tolerance(machines: usize, zones: usize, regions: usize, zone_regions: &[(&str, &str)]) -> LossTolerance {
    let zone_regions =
        zone_regions.iter().map(|(zone, region)| ((*zone).to_owned(), (*region).to_owned())).collect();
    LossTolerance { machines, zones, regions, zone_regions }
}

/// The disks 1, 2, 3 and so on in these zones.
fn disks_in(zones: &[&str]) -> Vec<PlacedDisk> {
    let numbered = (1..).zip(zones);
    numbered.map(|(disk, zone)| PlacedDisk { disk, zone: (*zone).to_owned() }).collect()
}

fn selected(tolerance: &LossTolerance, zones: &[&str], count: usize) -> Vec<u64> {
    tolerance.spread(&disks_in(zones), count).into_iter().map(|placed| placed.disk).collect()
}

const THREE_ZONES: [(&str, &str); 3] = [("a", "r"), ("b", "r"), ("c", "r")];

/// Guards against a voter set founded on fewer disks than the loss of a zone or region takes.
#[test]
fn voter_count_covers_machines_zones_and_regions() {
    assert_eq!(tolerance(0, 0, 0, &THREE_ZONES).voter_count(), 1);
    assert_eq!(tolerance(2, 0, 0, &[]).voter_count(), 5);
    assert_eq!(tolerance(0, 1, 0, &THREE_ZONES).voter_count(), 3);
    assert_eq!(tolerance(2, 1, 0, &THREE_ZONES).voter_count(), 5);
    let three_regions = [("a", "r"), ("b", "r"), ("c", "s"), ("d", "s"), ("e", "t"), ("f", "t")];
    assert_eq!(tolerance(0, 0, 1, &three_regions).voter_count(), 3);
    // Seven voters in five zones: two zones may hold four of them.
    let five_zones = ["a", "b", "c", "d", "e"].map(|zone| (zone, "r"));
    assert_eq!(tolerance(3, 2, 0, &five_zones).voter_count(), 9);
    // One of two zones always holds half of the voters or more.
    assert_eq!(tolerance(1, 1, 0, &THREE_ZONES[..2]).voter_count(), 3);
}

#[test]
fn disks_are_spread_over_the_zones_and_regions_that_may_be_lost() {
    let zones = ["a", "a", "b", "a", "c"];
    assert_eq!(selected(&tolerance(1, 0, 0, &[]), &zones, 3), [1, 2, 3]);
    assert_eq!(selected(&tolerance(1, 1, 0, &[]), &zones, 3), [1, 3, 5]);
    let regions = [("a", "r"), ("b", "r"), ("c", "s"), ("d", "t")];
    assert_eq!(selected(&tolerance(0, 0, 1, &regions), &["a", "b", "c", "d"], 3), [1, 3, 4]);
    // Only a spread over the zones tolerates the loss of two of them, although one region has but one.
    let uneven = [("a", "r"), ("b", "s"), ("c", "s"), ("d", "s"), ("e", "s")];
    let one_each = selected(&tolerance(0, 2, 0, &uneven), &["a", "a", "b", "c", "d", "e"], 5);
    assert_eq!(one_each, [1, 3, 4, 5, 6]);
}

#[test]
fn a_loss_is_tolerated_while_a_majority_remains() {
    let one_zone = tolerance(0, 1, 0, &THREE_ZONES);
    assert!(one_zone.is_tolerated_by(&disks_in(&["a", "b", "c"])));
    assert!(!one_zone.is_tolerated_by(&disks_in(&["a", "b", "b"])));
    assert!(!one_zone.is_tolerated_by(&disks_in(&["a"])));
    let one_region = tolerance(0, 0, 1, &[("a", "r"), ("b", "r"), ("c", "s")]);
    assert!(!one_region.is_tolerated_by(&disks_in(&["a", "b", "c"])));
    assert!(tolerance(1, 0, 0, &[]).is_tolerated_by(&disks_in(&["a", "a", "a"])));
}
