//! Usage reports: how many calls of each tenant the instances began, counted in windows of wall-clock time.
//!
//! This package does no I/O. [`UsageCounter`] counts at one node; [`UsageAggregator`] merges the counts of
//! all nodes at the collector; [`FleetClock`] is the agreed time that assigns calls to windows;
//! [`UsageRegister`] is the replicated value that holds the counts chosen for each window, and the holder and
//! fence under which they are sent.

mod fleet_clock;
mod usage_aggregator;
mod usage_counter;
mod usage_register;

pub use fleet_clock::FleetClock;
pub use usage_aggregator::{UsageAggregator, UsageDelta};
pub use usage_counter::UsageCounter;
pub use usage_register::{REPORTS_KEPT, UsageRegister};

use monotonic_clock::Micros;

/// The length of the usage windows. Example: `WindowLength(Micros::from_secs(5)).number_at(Micros(0)) == 0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLength(pub Micros);

impl WindowLength {
    /// The number of the window that contains an instant, given as time since the Unix epoch.
    /// Example: `length.number_at(Micros::from_secs(11)) == 2` for windows of five seconds.
    pub fn number_at(self, unix: Micros) -> u64 {
        unix.0 / self.0.0.max(1)
    }

    /// The end of a window, as time since the Unix epoch.
    /// Example: `length.end_of(2) == Micros::from_secs(15)` for windows of five seconds.
    pub fn end_of(self, window: u64) -> Micros {
        Micros(self.0.0.saturating_mul(window.saturating_add(1)))
    }
}

#[cfg(test)]
mod tests;
