//! Measures what a fleet costs as it grows: hollow nodes, which are the real protocol without
//! visitors, speak in real frames through memory, at simulated times and real processor time.

mod figures;
mod fit;
mod hollow_fleet;

pub use figures::{Sums, resident_bytes, thread_nanos};
pub use fit::{Fit, fit};
pub use hollow_fleet::{FleetSize, HollowFleet, measure};
