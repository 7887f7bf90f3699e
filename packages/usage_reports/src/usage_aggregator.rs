use monotonic_clock::Micros;
use peer_messages::{List, NodeId, TenantCount, Text, UsageWindow};
use std::collections::BTreeMap;

/// What a node tells of its counts: the fields of the message without the wall clock.
/// Example: `UsageDelta { since: 0, sequence: 3, clock: unix, windows }`.
#[derive(Clone, Debug)]
pub struct UsageDelta {
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
struct Reporter {
    sequence: u64,
    clock: Micros,
    received_at: Micros,
    windows: BTreeMap<u64, BTreeMap<Text, u32>>,
}

/// The counts of all nodes as they told them, kept also for nodes that are gone.
/// Example: `usage_aggregator.apply(from, delta, now); usage_aggregator.counts(7)`.
#[derive(Debug, Default)]
pub struct UsageAggregator {
    reporters: BTreeMap<NodeId, Reporter>,
}

impl UsageAggregator {
    /// Takes what a node told, and returns the number up to which its counts are held: zero where some
    /// are missing, so that it tells all of them. Example: `usage_aggregator.apply(from, delta, now) == sequence`.
    pub fn apply(&mut self, from: NodeId, delta: UsageDelta, now: Micros) -> u64 {
        let reporter = self.reporters.entry(from).or_insert_with(|| Reporter {
            sequence: 0,
            clock: Micros(0),
            received_at: now,
            windows: BTreeMap::new(),
        });
        reporter.received_at = now;
        if delta.since > reporter.sequence {
            return 0;
        }
        // One that came late tells nothing new: counts may have fallen since.
        if delta.sequence < reporter.sequence {
            return reporter.sequence;
        }
        reporter.sequence = delta.sequence;
        // A clock that was ahead before the fleet's was learnt may come back.
        reporter.clock = delta.clock;
        for UsageWindow { window, counts } in delta.windows.0 {
            let held = reporter.windows.entry(window).or_default();
            held.extend(counts.0.into_iter().map(|delta| (delta.tenant, delta.count)));
        }
        reporter.sequence
    }

    /// The nodes that told counts which are still held, and when each was last heard of.
    /// Example: `usage_aggregator.reporters().count()`.
    pub fn reporters(&self) -> impl Iterator<Item = (NodeId, Micros)> {
        let with_counts = self.reporters.iter().filter(|(_, reporter)| !reporter.windows.is_empty());
        with_counts.map(|(node, reporter)| (*node, reporter.received_at))
    }

    /// All that a node told, to be told on for it; `None` where it told nothing that is held.
    /// Example: `usage_aggregator.reported_by(9)` once node 9 is gone.
    pub fn reported_by(&self, node: NodeId) -> Option<UsageDelta> {
        let reporter = self.reporters.get(&node).filter(|reporter| !reporter.windows.is_empty())?;
        let windows = reporter.windows.iter().map(|(window, counts)| UsageWindow {
            window: *window,
            counts: counts
                .iter()
                .map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count: *count })
                .collect(),
        });
        Some(UsageDelta {
            since: 0,
            sequence: reporter.sequence,
            clock: reporter.clock,
            windows: windows.collect(),
        })
    }

    /// Whether all of these nodes told their counts up to an instant of the fleet's clock.
    /// Example: `usage_aggregator.is_complete(&members, length.end_of(7))`.
    pub fn is_complete(&self, nodes: &[NodeId], unix: Micros) -> bool {
        nodes.iter().all(|node| self.reporters.get(node).is_some_and(|reporter| reporter.clock >= unix))
    }

    /// A window's counts over all nodes, in order of tenant, without those of zero.
    /// Example: `usage_aggregator.counts(7).0.is_empty()` where nobody called.
    pub fn counts(&self, window: u64) -> List<TenantCount> {
        let mut sums: BTreeMap<&Text, u32> = BTreeMap::new();
        for (tenant, count) in self.reporters.values().filter_map(|held| held.windows.get(&window)).flatten()
        {
            let sum = sums.entry(tenant).or_default();
            *sum = sum.saturating_add(*count);
        }
        let sums = sums.into_iter().filter(|(_, count)| *count > 0);
        sums.map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count }).collect()
    }

    /// Drops windows that are decided, and nodes that told nothing since then.
    /// Example: `usage_aggregator.forget(8, now - Micros::from_secs(60))`.
    pub fn forget(&mut self, decided_below: u64, silent_since: Micros) {
        self.reporters.retain(|_, reporter| reporter.received_at >= silent_since);
        for reporter in self.reporters.values_mut() {
            reporter.windows.retain(|window, _| *window >= decided_below);
        }
    }
}
