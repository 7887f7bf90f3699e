use monotonic_clock::Micros;
use peer_messages::{List, NodeId, TenantCount, Text, UsageWindow};
use std::collections::BTreeMap;

/// What a node tells of its counts: the fields of the message without the wall clock.
/// Example: `Told { since: 0, sequence: 3, clock: unix, windows }`.
#[derive(Clone, Debug)]
pub struct Told {
    /// The number up to which the teller believes its counts to be held.
    pub since: u64,
    /// The number that they are told up to.
    pub sequence: u64,
    /// The fleet's clock as the teller goes by it: its counts are complete up to there.
    pub clock: Micros,
    /// What changed in between.
    pub windows: List<UsageWindow>,
}

#[derive(Debug)]
struct Teller {
    sequence: u64,
    clock: Micros,
    heard_at: Micros,
    windows: BTreeMap<u64, BTreeMap<Text, u32>>,
}

/// The counts of all nodes as they told them, kept also for nodes that are gone.
/// Example: `gathering.take(from, told, now); gathering.counts(7)`.
#[derive(Debug, Default)]
pub struct Gathering {
    tellers: BTreeMap<NodeId, Teller>,
}

impl Gathering {
    /// Takes what a node told, and returns the number up to which its counts are held: zero where some
    /// are missing, so that it tells all of them. Example: `gathering.take(from, told, now) == sequence`.
    pub fn take(&mut self, from: NodeId, told: Told, now: Micros) -> u64 {
        let teller = self.tellers.entry(from).or_insert_with(|| Teller {
            sequence: 0,
            clock: Micros(0),
            heard_at: now,
            windows: BTreeMap::new(),
        });
        teller.heard_at = now;
        if told.since > teller.sequence {
            return 0;
        }
        // One that came late tells nothing new: counts may have fallen since.
        if told.sequence < teller.sequence {
            return teller.sequence;
        }
        teller.sequence = told.sequence;
        // A clock that was ahead before the fleet's was learnt may come back.
        teller.clock = told.clock;
        for UsageWindow { window, counts } in told.windows.0 {
            let held = teller.windows.entry(window).or_default();
            held.extend(counts.0.into_iter().map(|told| (told.tenant, told.count)));
        }
        teller.sequence
    }

    /// The nodes that told counts which are still held, and when each was last heard of.
    /// Example: `gathering.tellers().count()`.
    pub fn tellers(&self) -> impl Iterator<Item = (NodeId, Micros)> {
        let with_counts = self.tellers.iter().filter(|(_, teller)| !teller.windows.is_empty());
        with_counts.map(|(node, teller)| (*node, teller.heard_at))
    }

    /// All that a node told, to be told on for it; `None` where it told nothing that is held.
    /// Example: `gathering.told_by(9)` once node 9 is gone.
    pub fn told_by(&self, node: NodeId) -> Option<Told> {
        let teller = self.tellers.get(&node).filter(|teller| !teller.windows.is_empty())?;
        let windows = teller.windows.iter().map(|(window, counts)| UsageWindow {
            window: *window,
            counts: counts
                .iter()
                .map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count: *count })
                .collect(),
        });
        Some(Told { since: 0, sequence: teller.sequence, clock: teller.clock, windows: windows.collect() })
    }

    /// Whether all of these nodes told their counts up to an instant of the fleet's clock.
    /// Example: `gathering.is_complete(&members, length.end_of(7))`.
    pub fn is_complete(&self, nodes: &[NodeId], unix: Micros) -> bool {
        nodes.iter().all(|node| self.tellers.get(node).is_some_and(|teller| teller.clock >= unix))
    }

    /// A window's counts over all nodes, in order of tenant, without those of zero.
    /// Example: `gathering.counts(7).0.is_empty()` where nobody called.
    pub fn counts(&self, window: u64) -> List<TenantCount> {
        let mut sums: BTreeMap<&Text, u32> = BTreeMap::new();
        for (tenant, count) in self.tellers.values().filter_map(|held| held.windows.get(&window)).flatten() {
            let sum = sums.entry(tenant).or_default();
            *sum = sum.saturating_add(*count);
        }
        let sums = sums.into_iter().filter(|(_, count)| *count > 0);
        sums.map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count }).collect()
    }

    /// Drops windows that are decided, and nodes that told nothing since then.
    /// Example: `gathering.forget(8, now - Micros::from_secs(60))`.
    pub fn forget(&mut self, decided_below: u64, silent_since: Micros) {
        self.tellers.retain(|_, teller| teller.heard_at >= silent_since);
        for teller in self.tellers.values_mut() {
            teller.windows.retain(|window, _| *window >= decided_below);
        }
    }
}
