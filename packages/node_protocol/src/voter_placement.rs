//! Placement of the voters over zones and regions, so that a majority of them remains after the losses that the
//! deployment states.

use std::collections::BTreeMap;

/// The largest voter set that a bootstrap may create.
pub const MOST_VOTERS: usize = 9;

/// What may be lost at one time without losing the control state: machines with disks, or zones, or regions.
/// Example: `LossTolerance { zones: 1, ..LossTolerance::default() }`.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LossTolerance {
    /// Number of machines with disks.
    pub machines: usize,
    /// Number of zones.
    pub zones: usize,
    /// Number of regions.
    pub regions: usize,
    /// The region of each zone; a zone that is not listed is a region of its own.
    pub zone_regions: BTreeMap<String, String>,
}

/// A disk, and the zone of its machine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct PlacedDisk {
    pub disk: u64,
    pub zone: String,
}

/// What a selection balances first.
#[derive(Clone, Copy)]
enum Balance {
    ZonesFirst,
    RegionsFirst,
}

impl LossTolerance {
    /// The smallest number of voters that tolerates these losses if every listed zone has enough disks. If the
    /// zones are too few for any number, that for as many machines.
    /// Example: `LossTolerance { machines: 1, ..LossTolerance::default() }.voter_count() == 3`.
    pub fn voter_count(&self) -> usize {
        let fewest = 2 * self.machines.max(self.zones).max(self.regions) + 1;
        let placed = |zone: &String| PlacedDisk { disk: 0, zone: zone.clone() };
        let disks: Vec<PlacedDisk> =
            self.zone_regions.keys().flat_map(|zone| vec![placed(zone); MOST_VOTERS]).collect();
        (fewest..=MOST_VOTERS)
            .step_by(2)
            .find(|count| self.is_tolerated_by(&self.spread(&disks, *count)))
            .unwrap_or(fewest)
    }

    /// Whether a majority of these voters remains after the loss of any such zones or regions.
    pub(crate) fn is_tolerated_by(&self, voters: &[PlacedDisk]) -> bool {
        let zones = voters.iter().map(|voter| voter.zone.as_str());
        let regions = voters.iter().map(|voter| self.region_of(&voter.zone));
        leaves_majority(zones, self.zones) && leaves_majority(regions, self.regions)
    }

    /// Selects up to `count` of the disks, spread so that the losses are tolerated if any selection of that size
    /// tolerates them. Earlier disks are preferred; without zones or regions to lose, the first ones are taken.
    pub(crate) fn spread(&self, disks: &[PlacedDisk], count: usize) -> Vec<PlacedDisk> {
        let by_zones = self.select(disks, count, Balance::ZonesFirst);
        if self.is_tolerated_by(&by_zones) {
            return by_zones;
        }
        let by_regions = self.select(disks, count, Balance::RegionsFirst);
        if self.is_tolerated_by(&by_regions) { by_regions } else { by_zones }
    }

    /// The disk of those available that best joins these voters; the earliest one without zones or regions to
    /// lose.
    pub(crate) fn best_addition(&self, voters: &[PlacedDisk], available: &[PlacedDisk]) -> Option<u64> {
        self.next(voters, available, Balance::ZonesFirst).map(|position| available[position].disk)
    }

    fn select(&self, disks: &[PlacedDisk], count: usize, balance: Balance) -> Vec<PlacedDisk> {
        let mut available = disks.to_vec();
        let mut selected = Vec::new();
        while selected.len() < count
            && let Some(position) = self.next(&selected, &available, balance)
        {
            selected.push(available.remove(position));
        }
        selected
    }

    /// The position of the disk whose zone and region have the fewest selected disks.
    fn next(&self, selected: &[PlacedDisk], available: &[PlacedDisk], balance: Balance) -> Option<usize> {
        let crowding = |disk: &PlacedDisk| {
            let in_zone = selected.iter().filter(|other| other.zone == disk.zone).count();
            let region = self.region_of(&disk.zone);
            let in_region = selected.iter().filter(|other| self.region_of(&other.zone) == region).count();
            let in_zone = if self.zones > 0 { in_zone } else { 0 };
            let in_region = if self.regions > 0 { in_region } else { 0 };
            match balance {
                Balance::ZonesFirst => (in_zone, in_region),
                Balance::RegionsFirst => (in_region, in_zone),
            }
        };
        // Of equals, `min_by_key` returns the first.
        (0..available.len()).min_by_key(|position| crowding(&available[*position]))
    }

    fn region_of<'a>(&'a self, zone: &'a str) -> &'a str {
        self.zone_regions.get(zone).map_or(zone, String::as_str)
    }
}

/// Whether a majority of the voters, given by their places, remains after the loss of the `lost` places with
/// the most voters.
fn leaves_majority<'a>(places: impl Iterator<Item = &'a str>, lost: usize) -> bool {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for place in places {
        *counts.entry(place).or_default() += 1;
    }
    let mut counts: Vec<usize> = counts.into_values().collect();
    counts.sort_unstable_by(|left, right| right.cmp(left));
    let total: usize = counts.iter().sum();
    let remaining: usize = counts.iter().skip(lost).sum();
    remaining * 2 > total
}

#[cfg(test)]
mod tests;
