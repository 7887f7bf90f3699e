//! Processing delays of a node: the maximum of the last seconds, by the place of the wait.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A maximum is reported for one to two windows.
const WINDOW: Duration = Duration::from_secs(5);

/// The longest recently recorded span. One thread writes, any thread may read.
/// Example: `longest.record(Duration::from_millis(3)); longest.value() == Duration::from_millis(3)`.
#[derive(Debug)]
pub struct RecentMaximum {
    started_at: Instant,
    /// The index of the window that `window_maximum` belongs to.
    window: AtomicU64,
    window_maximum: AtomicU64,
    previous_window_maximum: AtomicU64,
}

impl RecentMaximum {
    fn new(started_at: Instant) -> RecentMaximum {
        RecentMaximum {
            started_at,
            window: AtomicU64::new(0),
            window_maximum: AtomicU64::new(0),
            previous_window_maximum: AtomicU64::new(0),
        }
    }

    fn window_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started_at).as_secs() / WINDOW.as_secs()
    }

    /// Records a wait that ended now. Example: `longest.record(waited)`.
    pub fn record(&self, span: Duration) {
        self.record_at(span, Instant::now());
    }

    fn record_at(&self, span: Duration, now: Instant) {
        let (window, recorded_window) = (self.window_at(now), self.window.load(Ordering::Relaxed));
        if window != recorded_window {
            let before =
                if window == recorded_window + 1 { self.window_maximum.load(Ordering::Relaxed) } else { 0 };
            self.previous_window_maximum.store(before, Ordering::Relaxed);
            self.window_maximum.store(0, Ordering::Relaxed);
            self.window.store(window, Ordering::Relaxed);
        }
        self.window_maximum.fetch_max(span.as_micros() as u64, Ordering::Relaxed);
    }

    /// The longest span of the last five to ten seconds. Example: `longest.value() < Duration::from_secs(1)`.
    pub fn value(&self) -> Duration {
        self.value_at(Instant::now())
    }

    fn value_at(&self, now: Instant) -> Duration {
        let window = self.window_at(now);
        let recorded_window = self.window.load(Ordering::Relaxed);
        let (current, before) = (
            self.window_maximum.load(Ordering::Relaxed),
            self.previous_window_maximum.load(Ordering::Relaxed),
        );
        Duration::from_micros(match window.saturating_sub(recorded_window) {
            0 => current.max(before),
            1 => current,
            _ => 0,
        })
    }
}

/// The delays that a node measures. Example: `lag.bulk_inbox.record(waited)`.
#[derive(Debug)]
pub struct NodeLag {
    /// How late the ticker ran. Everything else that is ready on the node's thread, client sockets included,
    /// waits about as long.
    pub ticker: RecentMaximum,
    /// From reading an urgent message to handling it.
    pub urgent_inbox: RecentMaximum,
    /// The same for bulk messages: gossip, lists and polls.
    pub bulk_inbox: RecentMaximum,
    /// From creating an urgent message to writing it to its connection.
    pub urgent_links: RecentMaximum,
    /// The same for bulk messages.
    pub bulk_links: RecentMaximum,
}

impl NodeLag {
    /// No delays recorded yet. Example: `NodeLag::new(Instant::now()).all().len() == 5`.
    pub fn new(now: Instant) -> NodeLag {
        let maximum = || RecentMaximum::new(now);
        NodeLag {
            ticker: maximum(),
            urgent_inbox: maximum(),
            bulk_inbox: maximum(),
            urgent_links: maximum(),
            bulk_links: maximum(),
        }
    }

    /// All delays by their metric label. Example: `lag.all()[0].0 == "clock_events"`.
    pub fn all(&self) -> Vec<(&'static str, Duration)> {
        vec![
            ("clock_events", self.ticker.value()),
            ("urgent_inbox", self.urgent_inbox.value()),
            ("bulk_inbox", self.bulk_inbox.value()),
            ("urgent_links", self.urgent_links.value()),
            ("bulk_links", self.bulk_links.value()),
        ]
    }
}

#[cfg(test)]
mod tests;
