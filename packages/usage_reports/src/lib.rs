//! Reports of usage: how many calls of each tenant cells began, by windows of true time.
//!
//! All parts are pure. [`UsageCounter`] counts at one node; [`UsageAggregator`] folds what nodes tell together at the
//! collector; [`FleetClock`] is the time that windows are told apart by; [`UsageRegister`] is the replicated
//! value that says which counts were chosen for a window, and who sends them under which fence.

mod fleet_clock;
mod usage_aggregator;
mod usage_counter;
mod usage_register;

pub use fleet_clock::FleetClock;
pub use usage_aggregator::{UsageAggregator, UsageDelta};
pub use usage_counter::UsageCounter;
pub use usage_register::{REPORTS_KEPT, UsageRegister};

use monotonic_clock::Micros;

/// The length of the windows. Example: `WindowLength(Micros::from_secs(5)).number_at(Micros(0)) == 0`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WindowLength(pub Micros);

impl WindowLength {
    /// The window that an instant since the start of 1970 is in.
    /// Example: `length.number_at(Micros::from_secs(11)) == 2` for windows of five seconds.
    pub fn number_at(self, unix: Micros) -> u64 {
        unix.0 / self.0.0.max(1)
    }

    /// When a window ends. Example: `length.end_of(2) == Micros::from_secs(15)` for windows of five seconds.
    pub fn end_of(self, window: u64) -> Micros {
        Micros(self.0.0.saturating_mul(window.saturating_add(1)))
    }
}

#[cfg(test)]
mod tests;
