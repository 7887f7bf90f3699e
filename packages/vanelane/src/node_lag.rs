//! How far a node is behind what comes to it: the worst of the last seconds, by where it waited.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

/// A worst value is told for one to two of these.
const WINDOW: Duration = Duration::from_secs(5);

/// The longest of spans noted lately. One thread notes, any may read.
/// Example: `longest.note(Duration::from_millis(3)); longest.value() == Duration::from_millis(3)`.
#[derive(Debug)]
pub struct RecentMaximum {
    began_at: Instant,
    /// The number of the window that `in_window` is of.
    window: AtomicU64,
    in_window: AtomicU64,
    in_window_before: AtomicU64,
}

impl RecentMaximum {
    fn starting(began_at: Instant) -> RecentMaximum {
        RecentMaximum {
            began_at,
            window: AtomicU64::new(0),
            in_window: AtomicU64::new(0),
            in_window_before: AtomicU64::new(0),
        }
    }

    fn window_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.began_at).as_secs() / WINDOW.as_secs()
    }

    /// Something waited for so long until now. Example: `longest.note(waited)`.
    pub fn note(&self, span: Duration) {
        self.note_at(span, Instant::now());
    }

    fn note_at(&self, span: Duration, now: Instant) {
        let (window, noted_window) = (self.window_at(now), self.window.load(Ordering::Relaxed));
        if window != noted_window {
            let before = if window == noted_window + 1 { self.in_window.load(Ordering::Relaxed) } else { 0 };
            self.in_window_before.store(before, Ordering::Relaxed);
            self.in_window.store(0, Ordering::Relaxed);
            self.window.store(window, Ordering::Relaxed);
        }
        self.in_window.fetch_max(span.as_micros() as u64, Ordering::Relaxed);
    }

    /// The longest span of the last five to ten seconds. Example: `longest.value() < Duration::from_secs(1)`.
    pub fn value(&self) -> Duration {
        self.value_at(Instant::now())
    }

    fn value_at(&self, now: Instant) -> Duration {
        let window = self.window_at(now);
        let noted_window = self.window.load(Ordering::Relaxed);
        let (current, before) =
            (self.in_window.load(Ordering::Relaxed), self.in_window_before.load(Ordering::Relaxed));
        Duration::from_micros(match window.saturating_sub(noted_window) {
            0 => current.max(before),
            1 => current,
            _ => 0,
        })
    }
}

/// Where a node can be behind. Example: `lag.bulk_inbox.note(waited)`.
#[derive(Debug)]
pub struct NodeLag {
    /// How late clock events ran: everything that is ready on the node's thread, the bytes and ends of clients'
    /// connections among it, waits about as long.
    pub ticker: RecentMaximum,
    /// From the reading of a message that somebody waits for to its handling.
    pub urgent_inbox: RecentMaximum,
    /// The same of news, lists and polls.
    pub bulk_inbox: RecentMaximum,
    /// From the making of a message that somebody waits for to its writing.
    pub urgent_links: RecentMaximum,
    /// The same of news, lists and polls.
    pub bulk_links: RecentMaximum,
}

impl NodeLag {
    /// Nothing noted yet. Example: `NodeLag::starting(Instant::now()).all().len() == 5`.
    pub fn starting(now: Instant) -> NodeLag {
        let starting = || RecentMaximum::starting(now);
        NodeLag {
            ticker: starting(),
            urgent_inbox: starting(),
            bulk_inbox: starting(),
            urgent_links: starting(),
            bulk_links: starting(),
        }
    }

    /// All of them by name. Example: `lag.all()[0].0 == "monotonic_clock"`.
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
