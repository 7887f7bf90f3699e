//! Measures a fleet at several sizes, each in a process of its own, and prints tables and slopes.

use scale_run::{FleetSize, fit, measure};
use serde_json::Value;
use std::process::{Command, ExitCode, Stdio};
use std::time::Duration;

xflags::xflags! {
    /// Measures what a fleet of hollow nodes costs as it grows.
    cmd scale-run {
        /// Every sweep over its sizes, with tables and slopes.
        default cmd table {
            /// Small sizes that take seconds.
            optional --quick
            /// One sweep only: nodes, sockets, functions, changes, cells or calls.
            optional --sweep sweep: String
            /// Runs of each size, with other seeds; 3 if not given.
            optional --repeats repeats: u64
            /// The most wall seconds of one run; 120 if not given.
            optional --wall-seconds wall_seconds: u64
        }
        /// One size, as one JSON line.
        cmd one {
            /// Hollow nodes; 10 if not given.
            optional --nodes nodes: usize
            /// Functions; 100 if not given.
            optional --functions functions: usize
            /// Cells that run from the start; none if not given.
            optional --cells cells: usize
            /// Calls a second; none if not given.
            optional --calls calls: f64
            /// Changes of configuration that come at once; 1 if not given.
            optional --changes changes: usize
            /// The seed; 1 if not given.
            optional --seed seed: u64
            /// The most wall seconds; 120 if not given.
            optional --wall-seconds wall_seconds: u64
            /// Simulated seconds of the steady state; 10 if not given.
            optional --steady-seconds steady_seconds: u64
            /// Passes each frame through a TCP connection on loopback.
            optional --sockets
            /// Kills a tenth of the nodes at the end and starts them again.
            optional --kill-tenth
        }
    }
}

struct Sweep {
    name: &'static str,
    /// The flag that its sizes are given to.
    flag: &'static str,
    sizes: &'static [u64],
    quick_sizes: &'static [u64],
    others: &'static [&'static str],
    quick_others: &'static [&'static str],
    columns: &'static [&'static str],
}

const SWEEPS: &[Sweep] = &[
    Sweep {
        name: "nodes",
        flag: "--nodes",
        sizes: &[10, 30, 60, 100, 200, 300],
        quick_sizes: &[4, 6, 8, 10],
        others: &["--functions", "100", "--kill-tenth"],
        quick_others: &["--functions", "20", "--kill-tenth"],
        columns: &[
            "members_seen_least",
            "all_see_all_s",
            "first_configuration_s",
            "all_held_s",
            "change_everywhere_s",
            "tenth_back_s",
            "messages_per_node_s",
            "kb_per_node_s",
            "plain_core_ms_s",
            "plain_sent_kb_s",
            "disk_core_ms_s",
            "disk_sent_kb_s",
            "disk_written_kb_s",
            "disk_groups_s",
            "resident_mb",
        ],
    },
    Sweep {
        name: "sockets",
        flag: "--nodes",
        sizes: &[10, 30, 60, 100],
        quick_sizes: &[4, 6, 8, 10],
        others: &["--functions", "100", "--sockets"],
        quick_others: &["--functions", "20", "--sockets"],
        columns: &[
            "messages_per_node_s",
            "plain_core_ms_s",
            "plain_socket_core_ms_s",
            "disk_core_ms_s",
            "disk_socket_core_ms_s",
        ],
    },
    Sweep {
        name: "functions",
        flag: "--functions",
        sizes: &[100, 300, 1_000, 3_000],
        quick_sizes: &[10, 20, 40, 80],
        others: &["--nodes", "10"],
        quick_others: &["--nodes", "5"],
        columns: &[
            "document_bytes",
            "first_configuration_s",
            "all_held_s",
            "change_everywhere_s",
            "change_kb_per_node",
            "change_core_ms_per_node",
            "kb_per_node_s",
            "plain_core_ms_s",
            "plain_sent_kb_s",
            "disk_core_ms_s",
            "disk_sent_kb_s",
            "disk_written_kb_s",
            "disk_groups_s",
            "resident_mb",
        ],
    },
    Sweep {
        name: "changes",
        flag: "--changes",
        sizes: &[1, 4, 16, 64, 128],
        quick_sizes: &[1, 2, 4, 8],
        others: &["--nodes", "30", "--functions", "300"],
        quick_others: &["--nodes", "5", "--functions", "20"],
        columns: &["change_everywhere_s", "change_kb_per_node", "change_core_ms_per_node"],
    },
    Sweep {
        name: "cells",
        flag: "--cells",
        sizes: &[300, 1_000, 3_000, 10_000],
        quick_sizes: &[20, 40, 80, 160],
        others: &["--nodes", "10", "--functions", "100"],
        quick_others: &["--nodes", "5", "--functions", "20"],
        columns: &[
            "list_bytes",
            "plain_core_ms_s",
            "plain_list_core_ms_s",
            "kb_per_node_s",
            "disk_core_ms_s",
            "resident_mb",
        ],
    },
    Sweep {
        name: "calls",
        flag: "--calls",
        sizes: &[50, 100, 200, 400, 800],
        quick_sizes: &[20, 40, 80, 160],
        others: &["--nodes", "10", "--functions", "50"],
        quick_others: &["--nodes", "5", "--functions", "20"],
        columns: &[
            "plain_core_ms_s",
            "kb_per_node_s",
            "messages_per_node_s",
            "cold_wait_median_ms",
            "cold_wait_p99_ms",
            "warm_wait_median_ms",
            "warm_wait_p99_ms",
            "refused",
        ],
    },
];

fn main() -> ExitCode {
    match ScaleRun::from_env_or_exit().subcommand {
        ScaleRunCmd::One(one) => {
            let figures = measure(FleetSize {
                nodes: one.nodes.unwrap_or(10).max(1),
                functions: one.functions.unwrap_or(100).max(1),
                cells: one.cells.unwrap_or(0),
                calls: one.calls.unwrap_or(0.0),
                changes: one.changes.unwrap_or(1),
                seed: one.seed.unwrap_or(1),
                kill_tenth: one.kill_tenth,
                sockets: one.sockets,
                wall: Duration::from_secs(one.wall_seconds.unwrap_or(120)),
                steady_seconds: one.steady_seconds.unwrap_or(10).max(1),
            });
            println!("{figures}");
            ExitCode::SUCCESS
        }
        ScaleRunCmd::Table(table) => tell_tables(&table),
    }
}

fn tell_tables(table: &Table) -> ExitCode {
    let known: Vec<&str> = SWEEPS.iter().map(|sweep| sweep.name).collect();
    if let Some(wanted) = &table.sweep
        && !known.contains(&wanted.as_str())
    {
        eprintln!("no sweep {wanted}; there are {}", known.join(", "));
        return ExitCode::from(2);
    }
    let repeats = table.repeats.unwrap_or(if table.quick { 1 } else { 3 }).max(1);
    for sweep in SWEEPS.iter().filter(|sweep| table.sweep.as_ref().is_none_or(|name| name == sweep.name)) {
        let sizes = if table.quick { sweep.quick_sizes } else { sweep.sizes };
        let mut points: Vec<(u64, Vec<Value>)> = Vec::new();
        for size in sizes {
            let mut runs = Vec::new();
            for seed in 1..=repeats {
                match run_one(sweep, *size, seed, table) {
                    Ok(figures) => runs.push(figures),
                    Err(failure) => {
                        eprintln!("{} {size} seed {seed}: {failure}", sweep.name);
                        return ExitCode::FAILURE;
                    }
                }
            }
            points.push((*size, runs));
        }
        tell_sweep(sweep, if table.quick { sweep.quick_others } else { sweep.others }, &points);
    }
    ExitCode::SUCCESS
}

/// One size in a process of its own, so that its memory is its own.
fn run_one(sweep: &Sweep, size: u64, seed: u64, table: &Table) -> Result<Value, String> {
    let own_program = std::env::current_exe().map_err(|failure| failure.to_string())?;
    let wall_seconds = table.wall_seconds.unwrap_or(if table.quick { 20 } else { 120 });
    let mut command = Command::new(own_program);
    command.arg("one").args(if table.quick { sweep.quick_others } else { sweep.others });
    command.args([sweep.flag, &size.to_string()]);
    command.args(["--seed".into(), seed.to_string(), "--wall-seconds".into(), wall_seconds.to_string()]);
    if table.quick {
        command.args(["--steady-seconds", "2"]);
    }
    let output = command.stderr(Stdio::inherit()).output().map_err(|failure| failure.to_string())?;
    if !output.status.success() {
        return Err(format!("ended with {}", output.status));
    }
    serde_json::from_slice(&output.stdout).map_err(|failure| failure.to_string())
}

/// The median of the runs, with the least and the most where they differ.
fn tell_sweep(sweep: &Sweep, others: &[&str], points: &[(u64, Vec<Value>)]) {
    println!("sweep {}: {}", sweep.name, others.join(" "));
    let sizes: Vec<String> = points.iter().map(|(size, _)| size.to_string()).collect();
    println!("| figure | {} | base | slope | residual | power |", sizes.join(" | "));
    println!("| --- |{}", " --- |".repeat(points.len() + 4));
    for column in sweep.columns {
        let mut line = format!("| {column} |");
        let mut measured = Vec::new();
        for (size, runs) in points {
            let mut values: Vec<f64> = runs.iter().filter_map(|run| run[*column].as_f64()).collect();
            values.sort_by(f64::total_cmp);
            let (Some(least), Some(most)) = (values.first(), values.last()) else {
                line.push_str(" - |");
                continue;
            };
            let median = values[values.len() / 2];
            measured.push((*size as f64, median));
            match values.len() == runs.len() && most - least <= 0.001 * most.abs() {
                true => line.push_str(&format!(" {} |", short(median))),
                false => {
                    line.push_str(&format!(" {} ({} to {}) |", short(median), short(*least), short(*most)))
                }
            }
        }
        match fit(&measured) {
            Some(found) => line.push_str(&format!(
                " {} | {} | {:.0}% | {:.2} |",
                short(found.base),
                short(found.slope),
                found.residual * 100.0,
                found.power
            )),
            None => line.push_str(" - | - | - | - |"),
        }
        println!("{line}");
    }
    for (size, runs) in points {
        let Some(run) = runs.first() else { continue };
        for part in ["fleet_by_name_s", "plain_core_ms_by_event_s", "disk_core_ms_by_event_s"] {
            if !run[part].is_null() {
                println!("{} {size} {part} {}", sweep.name, run[part]);
            }
        }
    }
    println!();
}

fn short(value: f64) -> String {
    match value.abs() {
        0.0 => "0".to_owned(),
        size if size >= 100.0 => format!("{value:.0}"),
        size if size >= 1.0 => format!("{value:.2}"),
        _ => format!("{value:.2e}"),
    }
}
