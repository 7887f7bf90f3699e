//! Short soaks: overlapping planned stops, reloads and changes while clients reuse their connections until each
//! process is gone. Long soaks are run by hand; see `docs/measurements.md`.

use std::path::{Path, PathBuf};
use std::process::Command;

/// Builds the program under test; it lies beside this package's own. A test run of the whole workspace has built it
/// already.
fn vanelane_beside(local_fleet: &Path) -> PathBuf {
    let built =
        Command::new(env!("CARGO")).args(["build", "--locked", "--offline", "-p", "vanelane"]).status();
    assert!(built.expect("cannot run cargo").success());
    local_fleet.with_file_name("vanelane")
}

fn soak(seed: u64, nodes: u64, seconds: u64) {
    let local_fleet = Path::new(env!("CARGO_BIN_EXE_local_fleet"));
    let folder = std::env::temp_dir().join(format!("vanelane-soak-{seed}-{}", std::process::id()));
    let output = Command::new(local_fleet)
        .arg("--vanelane")
        .arg(vanelane_beside(local_fleet))
        .args(["--scenario", "soak"])
        .args(["--seed", &seed.to_string()])
        .args(["--nodes", &nodes.to_string()])
        .args(["--seconds", &seconds.to_string()])
        .arg("--folder")
        .arg(&folder)
        .output()
        .expect("cannot run local_fleet");
    let page = String::from_utf8_lossy(&output.stdout);
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "seed {seed}, kept in {}: {page}{errors}", folder.display());
    let report: serde_json::Value =
        serde_json::from_str(&page).expect("the output of local_fleet is no JSON report");
    let note = |name: &str| report["notes"][name].as_u64().unwrap_or(0);
    assert!(note("stops") > 10 && note("reloads") > 10 && note("changes") > 10, "{page}");
    assert_eq!(note("stops_that_left_calls"), 0, "seed {seed}, kept in {}: {page}", folder.display());
    assert_eq!(report["callers"]["no_answer"], 0, "{page}");
    assert!(note("bursts") > 1 && note("bursts_no_answer") == 0, "{page}");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn overlapping_planned_stops_leave_no_request_without_a_response() {
    soak(1, 10, 25);
    soak(2, 20, 25);
}
