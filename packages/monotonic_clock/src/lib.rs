//! Times as whole microseconds on a monotonic clock, and clock events at fixed intervals.
//!
//! Nothing is ordered or timed by a wall clock. [`wall_clock`] alone reads it, and only for the numbers of
//! windows of usage, which the fleet agrees on; a clock that jumps changes nothing.

pub mod wall_clock;

use std::ops::{Add, Sub};
use std::time::{Duration, Instant};

/// A span or an instant in whole microseconds. Example: `Micros::from_millis(2) == Micros(2_000)`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Micros(pub u64);

impl Micros {
    /// A span of milliseconds. Example: `Micros::from_millis(3).0 == 3_000`.
    pub const fn from_millis(millisecond_count: u64) -> Micros {
        Micros(millisecond_count * 1_000)
    }

    /// A span of seconds. Example: `Micros::from_secs(3).0 == 3_000_000`.
    pub const fn from_secs(second_count: u64) -> Micros {
        Micros(second_count * 1_000_000)
    }

    /// The span as a library duration. Example: `Micros(5).duration() == Duration::from_micros(5)`.
    pub const fn duration(self) -> Duration {
        Duration::from_micros(self.0)
    }

    /// Whole milliseconds, rounded down. Example: `Micros(2_900).millis() == 2`.
    pub const fn millis(self) -> u64 {
        self.0 / 1_000
    }
}

impl Add for Micros {
    type Output = Micros;
    fn add(self, added_span: Micros) -> Micros {
        Micros(self.0.saturating_add(added_span.0))
    }
}

/// Subtraction stops at zero: a time left never wraps.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, taken_span: Micros) -> Micros {
        Micros(self.0.saturating_sub(taken_span.0))
    }
}

/// The process's monotonic clock. Example: `MonotonicClock::start().now() >= Micros(0)`.
#[derive(Clone, Copy, Debug)]
pub struct MonotonicClock {
    started_at: Instant,
}

impl MonotonicClock {
    /// Starts counting at zero. Example: `let clock = MonotonicClock::start();`.
    pub fn start() -> MonotonicClock {
        MonotonicClock { started_at: Instant::now() }
    }

    /// Microseconds since the start. Example: `clock.now() <= clock.now()`.
    pub fn now(&self) -> Micros {
        Micros(self.started_at.elapsed().as_micros() as u64)
    }
}

/// A clock event that comes round at an interval.
///
/// Example: one of `Micros(10)` is due at once, then not before ten microseconds passed.
#[derive(Clone, Debug)]
pub struct Ticker {
    interval: Micros,
    due_at: Micros,
}

impl Ticker {
    /// An event first due at time zero. Example: `Ticker::every(Micros::from_secs(1))`.
    pub fn every(interval: Micros) -> Ticker {
        Ticker { interval, due_at: Micros(0) }
    }

    /// Whether the event is due; if so it is set for one interval from now, never to catch up in a
    /// burst after a freeze. Example: `if event.due(now) { send_probe(); }`.
    pub fn due(&mut self, now: Micros) -> bool {
        if now < self.due_at {
            return false;
        }
        self.due_at = now + self.interval;
        true
    }
}

#[cfg(test)]
mod tests;
