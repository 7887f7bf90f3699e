use monotonic_clock::Micros;
use peer_messages::{List, NodeId, TenantCount, Text, UsageWindow};
use std::collections::BTreeMap;

/// A node's usage update: the fields of the message without the wall clock.
/// Example: `UsageDelta { since: 0, sequence: 3, clock: unix, windows }`.
#[derive(Clone, Debug)]
pub struct UsageDelta {
    /// The counter's sequence number up to which the reporter believes its counts to be held by the
    /// collector.
    pub since: u64,
    /// The sequence number up to which this update reports them.
    pub sequence: u64,
    /// The reporter's fleet clock: its counts are complete up to this time.
    pub clock: Micros,
    /// The counts that changed between the two sequence numbers.
    pub windows: List<UsageWindow>,
}

#[derive(Debug)]
struct Reporter {
    sequence: u64,
    clock: Micros,
    received_at: Micros,
    windows: BTreeMap<u64, BTreeMap<Text, u32>>,
}

/// The counts of all nodes as last reported, kept also for nodes that are gone.
/// Example: `usage_aggregator.apply(from, delta, now); usage_aggregator.counts(7)`.
#[derive(Debug, Default)]
pub struct UsageAggregator {
    reporters: BTreeMap<NodeId, Reporter>,
}

impl UsageAggregator {
    /// Applies a node's update and returns the sequence number up to which its counts are held. Zero means
    /// that some are missing and the node has to report all of them.
    /// Example: `usage_aggregator.apply(from, delta, now) == sequence`.
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
        // Reordered: an older update must not overwrite newer counts, which may also have decreased.
        if delta.sequence < reporter.sequence {
            return reporter.sequence;
        }
        reporter.sequence = delta.sequence;
        // May decrease: the reporter's clock may have been ahead before it received the fleet's.
        reporter.clock = delta.clock;
        for UsageWindow { window, counts } in delta.windows.0 {
            let window_counts = reporter.windows.entry(window).or_default();
            window_counts
                .extend(counts.0.into_iter().map(|tenant_count| (tenant_count.tenant, tenant_count.count)));
        }
        reporter.sequence
    }

    /// The nodes that reported counts which are still held, and when each last sent an update.
    /// Example: `usage_aggregator.reporters().count()`.
    pub fn reporters(&self) -> impl Iterator<Item = (NodeId, Micros)> {
        let with_counts = self.reporters.iter().filter(|(_, reporter)| !reporter.windows.is_empty());
        with_counts.map(|(node, reporter)| (*node, reporter.received_at))
    }

    /// All counts held for a node, to be forwarded on its behalf; `None` if none are held.
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

    /// Whether all of these nodes reported their counts up to an instant of the fleet's clock.
    /// Example: `usage_aggregator.is_complete(&members, length.end_of(7))`.
    pub fn is_complete(&self, nodes: &[NodeId], unix: Micros) -> bool {
        nodes.iter().all(|node| self.reporters.get(node).is_some_and(|reporter| reporter.clock >= unix))
    }

    /// A window's counts summed over all nodes, ordered by tenant, without zero counts.
    /// Example: `usage_aggregator.counts(7).0.is_empty()` where nobody called.
    pub fn counts(&self, window: u64) -> List<TenantCount> {
        let mut sums: BTreeMap<&Text, u32> = BTreeMap::new();
        for (tenant, count) in
            self.reporters.values().filter_map(|reporter| reporter.windows.get(&window)).flatten()
        {
            let sum = sums.entry(tenant).or_default();
            *sum = sum.saturating_add(*count);
        }
        let sums = sums.into_iter().filter(|(_, count)| *count > 0);
        sums.map(|(tenant, count)| TenantCount { tenant: tenant.clone(), count }).collect()
    }

    /// Drops decided windows, and nodes that sent no update since `silent_since`.
    /// Example: `usage_aggregator.forget(8, now - Micros::from_secs(60))`.
    pub fn forget(&mut self, decided_below: u64, silent_since: Micros) {
        self.reporters.retain(|_, reporter| reporter.received_at >= silent_since);
        for reporter in self.reporters.values_mut() {
            reporter.windows.retain(|window, _| *window >= decided_below);
        }
    }
}
