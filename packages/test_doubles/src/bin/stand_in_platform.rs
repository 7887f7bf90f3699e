//! Runs a fake platform to try vanelane with: workers, instances that respond, a delayed list, a rate limit.

use history_checker::History;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::{Duration, Instant};
use test_doubles::{FakeFunction, FakePlatform, PlatformSettings};

xflags::xflags! {
    /// A stand-in of the platform on loopback.
    cmd stand-in-platform {
        /// Where to listen; 127.0.0.1:9000 if not given.
        optional --listen listen: SocketAddr
        /// A JSON file: function name to {"boot_millis", "calls_at_once", "work_millis"}.
        required functions: PathBuf
    }
}

fn main() -> ExitCode {
    let command_line = StandInPlatform::from_env_or_exit();
    let text = match std::fs::read_to_string(&command_line.functions) {
        Ok(text) => text,
        Err(failure) => {
            eprintln!("{}: {failure}", command_line.functions.display());
            return ExitCode::from(2);
        }
    };
    let functions: BTreeMap<String, FakeFunction> = match serde_json::from_str(&text) {
        Ok(functions) => functions,
        Err(failure) => {
            eprintln!("{}: {failure}", command_line.functions.display());
            return ExitCode::from(2);
        }
    };
    let settings = PlatformSettings {
        workers: 12,
        worker_memory_mb: 6_500,
        operations_per_second: 80.0,
        list_late: Duration::from_secs(1),
        functions,
        drain_within: Duration::from_secs(5),
    };
    let listen = command_line.listen.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 9_000)));
    match FakePlatform::start(listen, settings, Arc::new(History::default()), Instant::now()) {
        Ok(platform) => {
            println!("the platform stand-in listens at {}", platform.address());
            loop {
                std::thread::park();
            }
        }
        Err(failure) => {
            eprintln!("{listen}: {failure}");
            ExitCode::FAILURE
        }
    }
}
