//! Stand-ins for what vanelane meets: the platform with its workers and cells, and the callers.
//! They write what they saw into a history that `history_checker` judges.

mod fake_instance;
mod fake_platform;
mod load_generator;

pub use fake_instance::{FakeFunction, Misbehaviour};
pub use fake_platform::{FakePlatform, PlatformSettings};
pub use load_generator::{LoadGenerator, LoadReport, LoadSettings, Target};

use std::time::Instant;

/// The header by which callers name their call to cells.
pub const CALL_HEADER: &str = "x-call-id";
/// The header by which a test tells a cell how to behave: `lose`, `garble`, `cut`, `stall`.
pub const BEHAVE_HEADER: &str = "x-stand-in";

/// Microseconds since a shared beginning. Example: `micros_since(began)`.
pub fn micros_since(began: Instant) -> u64 {
    began.elapsed().as_micros() as u64
}
