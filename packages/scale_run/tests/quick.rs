//! The small sizes give a whole table, with figures that were measured.

use serde_json::Value;
use std::process::Command;

fn run(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_scale_run")).args(arguments).output().expect("it runs");
    assert!(output.status.success(), "{}", String::from_utf8_lossy(&output.stderr));
    String::from_utf8(output.stdout).expect("text")
}

#[test]
fn a_small_fleet_is_measured_through_all_phases() {
    let line = run(&["one", "--nodes", "5", "--functions", "12", "--steady-seconds", "2", "--kill-tenth"]);
    let figures: Value = serde_json::from_str(&line).expect("one JSON line");
    assert_eq!(figures["members_seen_least"], 5);
    for figure in [
        "all_see_all_s",
        "first_configuration_s",
        "all_held_s",
        "change_everywhere_s",
        "tenth_back_s",
        "messages_per_node_s",
        "kb_per_node_s",
        "plain_core_ms_s",
        "disk_core_ms_s",
        "disk_written_kb_s",
        "resident_mb",
    ] {
        assert!(figures[figure].as_f64().is_some_and(|value| value > 0.0), "{figure}: {figures}");
    }
}

#[test]
fn calls_of_hollow_fronts_get_tickets() {
    let line = run(&["one", "--nodes", "4", "--functions", "5", "--calls", "40", "--steady-seconds", "2"]);
    let figures: Value = serde_json::from_str(&line).expect("one JSON line");
    assert!(figures["fleet_by_name_s"]["TicketGranted"][0].as_f64().is_some_and(|rate| rate > 10.0));
    assert!(figures["cold_wait_median_ms"].as_f64().is_some_and(|wait| wait > 0.0), "{figures}");
}

#[test]
fn the_quick_table_has_every_sweep_with_four_sizes_and_a_slope() {
    let tables = run(&["--quick"]);
    for sweep in ["nodes", "sockets", "functions", "changes", "cells", "calls"] {
        assert!(tables.contains(&format!("sweep {sweep}:")), "{tables}");
    }
    let line = tables.lines().find(|line| line.starts_with("| plain_core_ms_s |")).expect("a figure's line");
    assert_eq!(line.split('|').count(), 2 + 1 + 4 + 4, "{line}");
    assert!(!line.contains(" - "), "{line}");
}
