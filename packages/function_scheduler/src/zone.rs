//! Zones: where a function's calls come from and where its instances run.

use monotonic_clock::Micros;
use peer_messages::stable_hash;
use std::collections::BTreeMap;

/// A zone, identified by a hash that is the same in every process. Unnamed zones are all equal.
/// Example: `Zone::named("hall-a") != Zone::named("hall-b")`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Zone(u64);

impl Zone {
    /// The zone of a name; an empty name is the unnamed zone. Example: `Zone::named("") == Zone::default()`.
    pub fn named(name: &str) -> Zone {
        if name.is_empty() { Zone::default() } else { Zone(stable_hash(name.as_bytes()).max(1)) }
    }

    /// Whether the two zones are known to differ; the unnamed zone is remote from none.
    /// Example: `!Zone::default().is_remote_from(Zone::named("hall-a"))`.
    pub fn is_remote_from(self, other: Zone) -> bool {
        self != other && self != Zone::default() && other != Zone::default()
    }
}

/// The zone of each worker. Example: `worker_zones["w3"]`.
pub type WorkerZones = BTreeMap<String, Zone>;

/// Calls by the zone they come from, weighted towards the last seconds.
/// Example: `calls.record_call(Zone::named("hall-a"), now); calls.shares()`.
#[derive(Debug, Default)]
pub struct ZoneCalls {
    /// Calls of each zone, decaying exponentially with age.
    counts: BTreeMap<Zone, f64>,
    decayed_at: Micros,
}

/// Time constant of the decay.
const DECAY_SECONDS: f64 = 8.0;
/// Counts below this are dropped.
const NEGLIGIBLE_COUNT: f64 = 0.01;

impl ZoneCalls {
    /// Records a call from a zone. Example: `calls.record_call(Zone::named("hall-a"), now)`.
    pub fn record_call(&mut self, zone: Zone, now: Micros) {
        let decay = (-((now - self.decayed_at).0 as f64 / 1e6) / DECAY_SECONDS).exp();
        self.decayed_at = now;
        for count in self.counts.values_mut() {
            *count *= decay;
        }
        *self.counts.entry(zone).or_default() += 1.0;
        self.counts.retain(|_, count| *count > NEGLIGIBLE_COUNT);
    }

    /// The share of all calls that comes from each zone. Example: `calls.shares()[&zone] == 0.25`.
    pub fn shares(&self) -> BTreeMap<Zone, f64> {
        let total: f64 = self.counts.values().sum();
        self.counts.iter().map(|(zone, count)| (*zone, count / total)).collect()
    }

    /// The shares of the named zones, largest first; empty if no call arrived from a named zone.
    /// Example: `calls.largest_shares() == [0.75, 0.25]`.
    pub fn largest_shares(&self) -> Vec<f64> {
        let named = self.shares().into_iter().filter(|(zone, _)| *zone != Zone::default());
        let mut shares: Vec<f64> = named.map(|(_, share)| share).collect();
        shares.sort_by(|left, right| right.total_cmp(left));
        shares
    }

    /// For each zone, how many instances it lacks compared with a distribution in proportion to the calls;
    /// negative where it has too many, which includes all instances of zones without calls.
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
