//! Test doubles for the systems around vanelane: a fake platform with workers and instances, and a load generator
//! in place of the clients. They record their observations in a history that `history_checker` checks.

mod fake_instance;
mod fake_platform;
mod load_generator;

pub use fake_instance::{FakeFunction, Misbehaviour};
pub use fake_platform::{FakePlatform, PlatformSettings};
pub use load_generator::{LoadGenerator, LoadReport, LoadSettings, Target};

use std::time::Instant;

/// The header with the call's id, which clients send and instances read.
pub const CALL_HEADER: &str = "x-call-id";
/// The header by which a client requests a behaviour of the instance: `lose`, `garble`, `cut`, `stall` and others.
pub const BEHAVE_HEADER: &str = "x-stand-in";

/// Microseconds since a shared start time. Example: `micros_since(began)`.
pub fn micros_since(began: Instant) -> u64 {
    began.elapsed().as_micros() as u64
}
