//! Runs a whole fleet on one machine: ten real nodes in three zones on loopback, a fake platform, a load generator,
//! faults during the load, and the checkers over the recorded history.

mod deployments;
mod fleet;
mod operator;
mod scenarios;

use std::path::PathBuf;
use std::process::ExitCode;

xflags::xflags! {
    /// Runs a fleet of ten nodes on loopback and judges what it did.
    cmd local-fleet {
        /// The vanelane program; beside this one if not given.
        optional --vanelane vanelane: PathBuf
        /// tiszacimke or ledgerwick; tiszacimke if not given.
        optional --deployment deployment: String
        /// Seconds under load; 60 if not given.
        optional --seconds seconds: u64
        /// Calls a second; 300 if not given.
        optional --calls-per-second calls_per_second: f64
        /// What happens midway: quiet, kills, herd, restart-all, rolling, reload, workers, freeze, crowd, replace, misbehave, changes
        /// or soak; kills if not given.
        optional --scenario scenario: String
        /// Seeds the order of calls, and what a soak does; 7 if not given.
        optional --seed seed: u64
        /// How many nodes; 10 if not given, which only a soak may differ from.
        optional --nodes nodes: usize
        /// lease,poll,renewal in milliseconds; the nodes' defaults if not given.
        optional --times times: String
        /// Turns the balance gate off, to measure what it does.
        optional --no-gate
        /// Where logs, data and the history go; a fresh folder under the temporary one if not given.
        optional --folder folder: PathBuf
    }
}

fn main() -> ExitCode {
    let command_line = LocalFleet::from_env_or_exit();
    match scenarios::run(&command_line) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(reason) => {
            eprintln!("local-fleet: {reason}");
            ExitCode::from(2)
        }
    }
}
