//! This node's share of the fleet-wide rate of starts and stops that the platform accepts.

use monotonic_clock::Micros;

/// A token bucket for platform operations, filled at this node's share of the platform's rate.
/// Example: `let mut rate = StartRate::new(); rate.set_rate(8.0, now); rate.spend(now)`.
#[derive(Debug)]
pub struct StartRate {
    per_second: f64,
    /// The bucket's capacity in operations.
    capacity: f64,
    tokens: f64,
    filled_at: Micros,
    throttled_until: Micros,
    backoff: Micros,
}

/// Largest burst, and its length in seconds of the node's equal share. Half of the rate is divided equally
/// and all nodes may act at once: two seconds of it over all nodes are one second of the whole rate.
const MAX_CAPACITY: f64 = 4.0;
const CAPACITY_SECONDS: f64 = 2.0;
/// An operation needs a whole token.
const MIN_CAPACITY: f64 = 1.0;
const FIRST_BACKOFF: Micros = Micros::from_millis(100);
const MAX_BACKOFF: Micros = Micros::from_millis(1_600);

impl StartRate {
    /// Starts with one token and no rate, so that a fleet whose processes all restart at once begins with at
    /// most one operation each.
    /// Example: `StartRate::new().spend(Micros(0))`.
    pub fn new() -> StartRate {
        StartRate {
            per_second: 0.0,
            capacity: MIN_CAPACITY,
            tokens: MIN_CAPACITY,
            filled_at: Micros(0),
            throttled_until: Micros(0),
            backoff: FIRST_BACKOFF,
        }
    }

    /// Sets the operations per second; `equal_share` is the part of them that every node has alike.
    /// Example: `rate.set_rate(8.0, 4.0, now)`.
    pub fn set_rate(&mut self, per_second: f64, equal_share: f64, now: Micros) {
        self.fill(now);
        self.per_second = per_second;
        let equal_capacity = (equal_share * CAPACITY_SECONDS).clamp(MIN_CAPACITY, MAX_CAPACITY);
        self.capacity = equal_capacity.max(per_second / 4.0);
    }

    fn fill(&mut self, now: Micros) {
        let passed_seconds = (now - self.filled_at).0 as f64 / 1e6;
        self.filled_at = now;
        self.tokens = (self.tokens + passed_seconds * self.per_second).min(self.capacity);
    }

    /// Spends one token if there is one and the platform is not throttling this node.
    /// Example: `if rate.spend(now) { start_instance() }`.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.fill(now);
        if now < self.throttled_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends one token even if there is none, as a debt that later refills pay off, so the rate holds on
    /// average. For usage reports, which have a deadline and must not wait behind starts that use up every
    /// token. Returns `false` only while the platform is throttling this node.
    /// Example: `if rate.spend_ahead(now) { report() }`.
    pub fn spend_ahead(&mut self, now: Micros) -> bool {
        self.fill(now);
        if now < self.throttled_until {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Backs off after a 429 response, twice as long each time. Example: `rate.record_throttled(now)`.
    pub fn record_throttled(&mut self, now: Micros) {
        if now < self.throttled_until {
            return;
        }
        self.throttled_until = now + self.backoff;
        self.backoff = Micros((self.backoff.0 * 2).min(MAX_BACKOFF.0));
    }

    /// Resets the back-off after the platform accepted an operation. Example: `rate.record_accepted()`.
    pub fn record_accepted(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }
}

impl Default for StartRate {
    fn default() -> StartRate {
        StartRate::new()
    }
}

#[cfg(test)]
mod tests;
