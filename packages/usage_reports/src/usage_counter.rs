use monotonic_clock::Micros;
use peer_messages::{List, TenantCount, UsageWindow};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
struct Count {
    calls: u32,
    /// The counter's sequence number at the last change.
    changed_at: u64,
}

#[derive(Debug)]
struct WindowCounts {
    counts: BTreeMap<Arc<str>, Count>,
    touched_at: Micros,
}

/// The calls counted at one node, by window and tenant, until the window is known to be decided.
/// Example: `usage_counter.add(7, &"acme".into(), now); usage_counter.changed_since(0)`.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, WindowCounts>,
    sequence: u64,
    /// Windows below this one are decided; no more calls are counted for them.
    open_from: u64,
}

impl UsageCounter {
    /// Counts a call that an instance begins; `false` if the window is already decided.
    /// Example: `usage_counter.add(7, &"acme".into(), now)`.
    pub fn add(&mut self, window: u64, tenant: &Arc<str>, now: Micros) -> bool {
        if window < self.open_from {
            return false;
        }
        self.sequence += 1;
        let window_counts = self
            .windows
            .entry(window)
            .or_insert_with(|| WindowCounts { counts: BTreeMap::new(), touched_at: now });
        window_counts.touched_at = now;
        let count = window_counts.counts.entry(tenant.clone()).or_insert(Count { calls: 0, changed_at: 0 });
        *count = Count { calls: count.calls.saturating_add(1), changed_at: self.sequence };
        true
    }

    /// Removes a counted call that did not run. Example: `usage_counter.remove(7, "acme")`.
    pub fn remove(&mut self, window: u64, tenant: &str) {
        let Some(window_counts) = self.windows.get_mut(&window) else { return };
        let Some(count) = window_counts.counts.get_mut(tenant) else { return };
        self.sequence += 1;
        *count = Count { calls: count.calls.saturating_sub(1), changed_at: self.sequence };
    }

    /// The sequence number, incremented by each change.
    /// Example: `usage_counter.sequence() == 0` before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The counts that changed after a sequence number, each as the total of its window so far.
    /// Example: `usage_counter.changed_since(0)` for all.
    pub fn changed_since(&self, since: u64) -> List<UsageWindow> {
        let changed = self.windows.iter().map(|(window, window_counts)| {
            let counts = window_counts.counts.iter().filter(|(_, count)| count.changed_at > since);
            let counts = counts
                .map(|(tenant, count)| TenantCount { tenant: (&**tenant).into(), count: count.calls })
                .collect();
            UsageWindow { window: *window, counts }
        });
        changed.filter(|reported| !reported.counts.0.is_empty()).collect()
    }

    /// Marks the windows below this one as decided and drops their counts.
    /// Example: `usage_counter.set_decided_below(8)`.
    pub fn set_decided_below(&mut self, window: u64) {
        if window > self.open_from {
            self.open_from = window;
            self.windows = self.windows.split_off(&window);
        }
    }

    /// The lowest window that is not known to be decided. Example: `usage_counter.open_from()`.
    pub fn open_from(&self) -> u64 {
        self.open_from
    }

    /// Drops windows without a new call since the given time; they will not be decided any more.
    /// Example: `usage_counter.forget_untouched(now - Micros::from_secs(60))`.
    pub fn forget_untouched(&mut self, since: Micros) {
        self.windows.retain(|_, window_counts| window_counts.touched_at >= since);
    }
}
