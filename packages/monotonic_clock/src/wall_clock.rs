//! The machine's wall clock: it may jump, by seconds, in either direction.

use crate::Micros;
use std::time::{SystemTime, UNIX_EPOCH};

/// Microseconds since the start of 1970 as this machine's wall clock has it, zero before that.
/// Example: `wall_clock::unix_now() > Micros(0)`.
pub fn unix_now() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(Micros(0), |span| Micros(span.as_micros() as u64))
}
