//! The machine's wall clock, which may jump by seconds in either direction.

use crate::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the Unix epoch by this machine's wall clock, zero before the epoch.
/// Example: `wall_clock::unix_now() > Micros(0)`.
pub fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(Micros(0), |span| Micros(span.as_micros() as u64))
}
