//! Zones as they matter to a function: where its calls come from, and where its cells stand.

use monotonic_clock::Micros;
use peer_messages::stable_hash;
use std::collections::BTreeMap;

/// A zone by a number that is the same in every process. Zones that are not named are one.
/// Example: `Zone::named("hall-a") != Zone::named("hall-b")`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(u64);

impl Zone {
    /// The zone of a name; an empty one names none. Example: `Zone::named("") == Zone::default()`.
    pub fn named(name: &str) -> Zone {
        if name.is_empty() { Zone::default() } else { Zone(stable_hash(name.as_bytes()).max(1)) }
    }

    /// Whether something between the two crosses a border, as far as is known.
    /// Example: `!Zone::default().is_remote_from(Zone::named("hall-a"))`.
    pub fn is_remote_from(self, other: Zone) -> bool {
        self != other && self != Zone::default() && other != Zone::default()
    }
}

/// The zone of each worker. Example: `worker_zones["w3"]`.
pub type WorkerZones = BTreeMap<String, Zone>;

/// Calls a second by the zone that they come from, over the last seconds.
/// Example: `calls.record_call(Zone::named("hall-a"), now); calls.shares()`.
#[derive(Debug, Default)]
pub struct ZoneCalls {
    /// Calls of each zone, each counting less the longer ago it came.
    counts: BTreeMap<Zone, f64>,
    decayed_at: Micros,
}

/// A call counts for about so many seconds.
const SPAN: f64 = 8.0;
/// Less than this is nothing.
const NEGLIGIBLE: f64 = 0.01;

impl ZoneCalls {
    /// A call came from a zone. Example: `calls.record_call(Zone::named("hall-a"), now)`.
    pub fn record_call(&mut self, zone: Zone, now: Micros) {
        let kept = (-((now - self.decayed_at).0 as f64 / 1e6) / SPAN).exp();
        self.decayed_at = now;
        for count in self.counts.values_mut() {
            *count *= kept;
        }
        *self.counts.entry(zone).or_default() += 1.0;
        self.counts.retain(|_, count| *count > NEGLIGIBLE);
    }

    /// The share of all calls that comes from each zone. Example: `calls.shares()[&zone] == 0.25`.
    pub fn shares(&self) -> BTreeMap<Zone, f64> {
        let total: f64 = self.counts.values().sum();
        self.counts.iter().map(|(zone, count)| (*zone, count / total)).collect()
    }

    /// The shares alone, the largest first; none while all calls come from places without a zone.
    /// Example: `calls.largest_shares() == [0.75, 0.25]`.
    pub fn largest_shares(&self) -> Vec<f64> {
        let named = self.shares().into_iter().filter(|(zone, _)| *zone != Zone::default());
        let mut shares: Vec<f64> = named.map(|(_, share)| share).collect();
        shares.sort_by(|left, right| right.total_cmp(left));
        shares
    }

    /// How many more cells each zone that calls come from should have, if all cells stood where the calls
    /// come from; less than zero where it has too many. Zones without calls have all their cells too many.
    /// Example: `calls.missing(&instances_by_zone)[&zone] > 0.0`.
    pub fn missing(&self, instances: &BTreeMap<Zone, usize>) -> BTreeMap<Zone, f64> {
        let total = instances.values().sum::<usize>() as f64;
        let mut missing: BTreeMap<Zone, f64> =
            instances.iter().map(|(zone, count)| (*zone, -(*count as f64))).collect();
        for (zone, share) in self.shares() {
            *missing.entry(zone).or_default() += share * total;
        }
        missing
    }
}

#[cfg(test)]
mod tests;
