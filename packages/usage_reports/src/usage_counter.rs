use monotonic_clock::Micros;
use peer_messages::{List, TenantCount, UsageWindow};
use std::collections::BTreeMap;
use std::sync::Arc;

#[derive(Clone, Copy, Debug)]
struct Count {
    calls: u32,
    /// The tally's number when it last changed.
    changed_at: u64,
}

#[derive(Debug)]
struct WindowCounts {
    counts: BTreeMap<Arc<str>, Count>,
    touched_at: Micros,
}

/// What one node counts, by window and tenant, until the window is known to be decided.
/// Example: `usage_counter.add(7, &"acme".into(), now); usage_counter.changed_since(0)`.
#[derive(Debug, Default)]
pub struct UsageCounter {
    windows: BTreeMap<u64, WindowCounts>,
    sequence: u64,
    /// Windows below are decided: nothing is counted for them any more.
    open_from: u64,
}

impl UsageCounter {
    /// Counts a call that a cell begins; `false` if the window is decided already.
    /// Example: `usage_counter.add(7, &"acme".into(), now)`.
    pub fn add(&mut self, window: u64, tenant: &Arc<str>, now: Micros) -> bool {
        if window < self.open_from {
            return false;
        }
        self.sequence += 1;
        let held = self
            .windows
            .entry(window)
            .or_insert_with(|| WindowCounts { counts: BTreeMap::new(), touched_at: now });
        held.touched_at = now;
        let count = held.counts.entry(tenant.clone()).or_insert(Count { calls: 0, changed_at: 0 });
        *count = Count { calls: count.calls.saturating_add(1), changed_at: self.sequence };
        true
    }

    /// Takes a call back that did not run after all. Example: `usage_counter.remove(7, "acme")`.
    pub fn remove(&mut self, window: u64, tenant: &str) {
        let Some(held) = self.windows.get_mut(&window) else { return };
        let Some(count) = held.counts.get_mut(tenant) else { return };
        self.sequence += 1;
        *count = Count { calls: count.calls.saturating_sub(1), changed_at: self.sequence };
    }

    /// Rises with each change. Example: `usage_counter.sequence() == 0` before the first.
    pub fn sequence(&self) -> u64 {
        self.sequence
    }

    /// The counts that changed since a number of the tally, each the whole of its window so far.
    /// Example: `usage_counter.changed_since(0)` for all.
    pub fn changed_since(&self, since: u64) -> List<UsageWindow> {
        let changed = self.windows.iter().map(|(window, held)| {
            let counts = held.counts.iter().filter(|(_, count)| count.changed_at > since);
            let counts = counts
                .map(|(tenant, count)| TenantCount { tenant: (&**tenant).into(), count: count.calls })
                .collect();
            UsageWindow { window: *window, counts }
        });
        changed.filter(|reported| !reported.counts.0.is_empty()).collect()
    }

    /// Windows below this one are decided. Example: `usage_counter.decided_below(8)`.
    pub fn decided_below(&mut self, window: u64) {
        if window > self.open_from {
            self.open_from = window;
            self.windows = self.windows.split_off(&window);
        }
    }

    /// The lowest window that is not known to be decided. Example: `usage_counter.open_from()`.
    pub fn open_from(&self) -> u64 {
        self.open_from
    }

    /// Drops windows that nothing was counted in since then: nobody decides them.
    /// Example: `usage_counter.forget_untouched(now - Micros::from_secs(60))`.
    pub fn forget_untouched(&mut self, since: Micros) {
        self.windows.retain(|_, held| held.touched_at >= since);
    }
}
