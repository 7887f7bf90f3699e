//! This node's part of the starts and stops that the platform takes from the whole fleet.

use monotonic_clock::Micros;

/// A bucket of acts that fills at this node's part of the platform's rate.
/// Example: `let mut rate = StartRate::new(); rate.set_rate(8.0, now); rate.spend(now)`.
#[derive(Debug)]
pub struct StartRate {
    per_second: f64,
    /// Acts that may be saved up.
    most_saved: f64,
    tokens: f64,
    filled_at: Micros,
    held_until: Micros,
    hold: Micros,
}

/// A node may save up so many acts, at the most: in a large fleet no more than two seconds of its equal part, since
/// half of the acts is dealt out so and all nodes may act at once. Over all nodes that is a second of the whole rate.
const LARGEST_SAVING: f64 = 4.0;
const SAVING_SECONDS: f64 = 2.0;
/// Nothing can be done with less than one act saved.
const SMALLEST_SAVING: f64 = 1.0;
const FIRST_HOLD: Micros = Micros::from_millis(100);
const LONGEST_HOLD: Micros = Micros::from_millis(1_600);

impl StartRate {
    /// One act, and no rate yet: a fleet whose processes all start anew at once begins with no more than
    /// one act each. Example: `StartRate::new().spend(Micros(0))`.
    pub fn new() -> StartRate {
        StartRate {
            per_second: 0.0,
            most_saved: SMALLEST_SAVING,
            tokens: SMALLEST_SAVING,
            filled_at: Micros(0),
            held_until: Micros(0),
            hold: FIRST_HOLD,
        }
    }

    /// Sets the acts a second, of which `equal_share` are what every node has alike.
    /// Example: `rate.set_rate(8.0, 4.0, now)`.
    pub fn set_rate(&mut self, per_second: f64, equal_share: f64, now: Micros) {
        self.fill(now);
        self.per_second = per_second;
        let equal_saving = (equal_share * SAVING_SECONDS).clamp(SMALLEST_SAVING, LARGEST_SAVING);
        self.most_saved = equal_saving.max(per_second / 4.0);
    }

    fn fill(&mut self, now: Micros) {
        let passed_seconds = (now - self.filled_at).0 as f64 / 1e6;
        self.filled_at = now;
        self.tokens = (self.tokens + passed_seconds * self.per_second).min(self.most_saved);
    }

    /// Spends one act if there is one and the platform is not backing us off.
    /// Example: `if rate.spend(now) { start_instance() }`.
    pub fn spend(&mut self, now: Micros) -> bool {
        self.fill(now);
        if now < self.held_until || self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// Spends one act whether or not there is one saved: a report has a time by which it is due, and starts
    /// that use up every act as it comes must not keep it waiting. What was not there is owed, so that the rate
    /// holds all the same. False only while the platform is backing us off.
    /// Example: `if rate.spend_ahead(now) { report() }`.
    pub fn spend_ahead(&mut self, now: Micros) -> bool {
        self.fill(now);
        if now < self.held_until {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    /// The platform answered 429: hold, twice as long each time. Example: `rate.throttled(now)`.
    pub fn throttled(&mut self, now: Micros) {
        if now < self.held_until {
            return;
        }
        self.held_until = now + self.hold;
        self.hold = Micros((self.hold.0 * 2).min(LONGEST_HOLD.0));
    }

    /// The platform took an act. Example: `rate.accepted()`.
    pub fn accepted(&mut self) {
        self.hold = FIRST_HOLD;
    }
}

impl Default for StartRate {
    fn default() -> StartRate {
        StartRate::new()
    }
}

#[cfg(test)]
mod tests;
