//! Cost of the control plane on this node: messages and bytes by kind, and processor time by category,
//! written to one log line every few seconds.

use node_protocol::NodeCounts;
use serde_json::json;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Interval between two log lines.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Counts of one kind of message.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct MessageCost {
    pub sent: u64,
    pub sent_bytes: u64,
    /// Part of `sent_bytes`: sent to another zone.
    pub remote_bytes: u64,
    pub received: u64,
    /// Total time between reading and handling, over the received messages.
    pub waited: Duration,
    /// Messages dropped unhandled because they had waited for longer than they are valid.
    pub stale: u64,
}

/// Counts since the last log line. Example: `costs.record_sent("Probe", 90, true)`.
#[derive(Debug)]
pub struct ControlCosts {
    started_at: Instant,
    messages: BTreeMap<&'static str, MessageCost>,
    /// Time spent in the protocol, by category of event.
    spent: BTreeMap<&'static str, Duration>,
}

impl ControlCosts {
    /// Nothing counted yet. Example: `ControlCosts::new(Instant::now())`.
    pub fn new(now: Instant) -> ControlCosts {
        ControlCosts { started_at: now, messages: BTreeMap::new(), spent: BTreeMap::new() }
    }

    /// Counts a frame of so many bytes that was passed to a link; `is_local` means a link within the zone.
    /// Example: `costs.record_sent("Probe", 90, true)`.
    pub fn record_sent(&mut self, kind: &'static str, bytes: usize, is_local: bool) {
        let cost = self.messages.entry(kind).or_default();
        cost.sent += 1;
        cost.sent_bytes += bytes as u64;
        cost.remote_bytes += if is_local { 0 } else { bytes as u64 };
    }

    /// Counts a message that was handled after this wait. Example: `costs.record_received("Probe", waited)`.
    pub fn record_received(&mut self, kind: &'static str, waited: Duration) {
        let cost = self.messages.entry(kind).or_default();
        cost.received += 1;
        cost.waited += waited;
    }

    /// Counts a message that was dropped unhandled. Example: `costs.record_stale("RecordsPoll")`.
    pub fn record_stale(&mut self, kind: &'static str) {
        self.messages.entry(kind).or_default().stale += 1;
    }

    /// Adds time spent on an event. Example: `costs.record_time("tick", started_at.elapsed())`.
    pub fn record_time(&mut self, category: &'static str, time: Duration) {
        *self.spent.entry(category).or_default() += time;
    }

    /// The log line, if one is due; the counts are then reset. Rates are per second.
    /// Example: `if let Some(line) = costs.due_line(Instant::now(), node.counts()) { log::info!("{line}") }`.
    pub fn due_line(&mut self, now: Instant, counts: &NodeCounts) -> Option<String> {
        let span = now.saturating_duration_since(self.started_at);
        if span < REPORT_INTERVAL {
            return None;
        }
        let seconds = span.as_secs_f64();
        let rate = |count: u64| (count as f64 / seconds * 10.0).round() / 10.0;
        let messages: BTreeMap<&str, serde_json::Value> = self
            .messages
            .iter()
            .map(|(kind, cost)| {
                let mean_wait = cost.waited.as_secs_f64() * 1e3 / cost.received.max(1) as f64;
                let line = json!({
                    "sent": rate(cost.sent), "bytes": rate(cost.sent_bytes), "far": rate(cost.remote_bytes),
                    "heard": rate(cost.received),
                    "waited_ms": mean_wait.round(), "stale": rate(cost.stale),
                });
                (*kind, line)
            })
            .collect();
        let spent: BTreeMap<&str, f64> = self
            .spent
            .iter()
            .map(|(category, time)| (*category, (time.as_secs_f64() * 1e4 / seconds).round() / 10.0))
            .collect();
        let bytes: u64 = self.messages.values().map(|cost| cost.sent_bytes).sum();
        let remote_bytes: u64 = self.messages.values().map(|cost| cost.remote_bytes).sum();
        let line = json!({
            "kind": "control_costs", "seconds": seconds, "bytes_a_second": rate(bytes),
            "far_bytes_a_second": rate(remote_bytes),
            "tickets": {"granted": counts.permits_granted, "for_another_zone": counts.remote_permits},
            "millis_a_second": spent, "messages_a_second": messages,
        });
        *self = ControlCosts::new(now);
        Some(line.to_string())
    }
}

#[cfg(test)]
mod tests;
