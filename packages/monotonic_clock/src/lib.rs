//! Times in whole microseconds on a monotonic clock, and tickers with a fixed interval.
//!
//! Nothing is ordered or timed by the wall clock. Only [`wall_clock`] reads it, and only to number usage
//! windows, on which the fleet agrees; a jump of the wall clock has no other effect.

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

    /// The span as a [`Duration`]. Example: `Micros(5).duration() == Duration::from_micros(5)`.
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
    fn add(self, other: Micros) -> Micros {
        Micros(self.0.saturating_add(other.0))
    }
}

/// Subtraction saturates at zero, so that a remaining time never wraps.
impl Sub for Micros {
    type Output = Micros;
    fn sub(self, other: Micros) -> Micros {
        Micros(self.0.saturating_sub(other.0))
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

/// A timer that is due once per interval.
///
/// Example: a ticker of `Micros(10)` is due at once, then not before ten microseconds have passed.
#[derive(Clone, Debug)]
pub struct Ticker {
    interval: Micros,
    due_at: Micros,
}

impl Ticker {
    /// A ticker that is first due at time zero. Example: `Ticker::every(Micros::from_secs(1))`.
    pub fn every(interval: Micros) -> Ticker {
        Ticker { interval, due_at: Micros(0) }
    }

    /// Whether the ticker is due. If so, it is next due one interval from now: intervals missed while the
    /// process was suspended are not made up in a burst. Example: `if ticker.due(now) { send_probe(); }`.
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
