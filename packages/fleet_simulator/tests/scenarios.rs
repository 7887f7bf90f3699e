//! The specified failures as seeded scenarios; the checkers examine each history afterwards.

use fleet_simulator::{Simulation, SimulationSettings, scenarios};
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

#[test]
fn the_same_seed_gives_the_same_history() {
    let history = |seed| {
        let mut simulation = Simulation::new(SimulationSettings::default(), seed);
        assert!(simulation.bootstrap());
        simulation.call_rate = 100.0;
        simulation.run_for(3.0);
        simulation.kill(5);
        simulation.run_for(5.0);
        simulation
            .lines()
            .iter()
            .map(|line| serde_json::to_string(line).expect("a history line serializes to JSON"))
            .collect::<Vec<_>>()
    };
    assert!(history(1) == history(1));
    assert!(history(1) != history(2));
}

/// Declares a test for each scenario with its seeds.
macro_rules! scenario_tests {
    ($($name:ident: $seeds:expr;)*) => {
        $(#[test]
        fn $name() {
            for seed in $seeds {
                let verdict = scenarios::run(stringify!($name), seed).expect("a registered scenario");
                assert_eq!(verdict.violations, [], "seed {seed}");
                assert!(verdict.outcomes[0] > 100, "seed {seed}: {:?}", verdict.outcomes);
            }
        })*

        #[test]
        fn every_scenario_is_tested() {
            let tested = [$(stringify!($name)),*];
            assert_eq!(tested, *scenarios::NAMES);
        }
    };
}

scenario_tests! {
    quiet: 1..=20;
    kills: 1..=20;
    disk_node_killed: 1..=20;
    all_disk_nodes_killed: 1..=20;
    everything_killed: 1..=20;
    power_lost_after_acknowledging: 1..=20;
    disk_lost: 1..=20;
    disk_full: 1..=20;
    disk_stalled: 1..=20;
    machine_replaced: 1..=20;
    seeds_swapped: 1..=20;
    blank_majority: 1..=20;
    core_cut_in_two: 1..=20;
    disks_cut_off: 1..=20;
    node_isolated: 1..=20;
    one_way_loss: 1..=20;
    lossy_network: 1..=20;
    frozen_past_the_lease: 1..=20;
    rare_functions_wake: 1..=20;
    // 91026: instances started one after the other while the queue of calls filled up.
    busy_function_jumps: (1..=20).chain([91_026]);
    answers_lost: 1..=20;
    // 80001: a new leader granted its full share while the previous leader's share was still in use.
    answers_lost_often: (1..=20).chain([80_001]);
    workers_crash_and_drain: 1..=20;
    list_late_by_seconds: 1..=20;
    operators_race: 1..=20;
    storm_of_changes: 1..=20;
    changes_by_item: 1..=6;
    large_configuration: 1..=20;
    // 399: an owner that had just started refused a change based on a version that preceded its first read.
    restarts_amid_changes: (1..=20).chain([399]);
    rolling_stops: 1..=20;
    stops_together: 1..=20;
    second_failure_in_recovery: 1..=20;
    // 91026: a node that restarted on one side of a cut took a peer's older generation for the newest.
    chaos: (1..=20).chain([91_026]);
    cut_in_a_crowd: 1..=20;
    // 33, 43: calls that waited for a boot were dispatched to a function that their route no longer named.
    lanes_moved: (1..=20).chain([33, 43]);
    // 28: a node that had been isolated used its routes before it received newer ones.
    lanes_moved_while_nodes_sleep: (1..=20).chain([28]);
    // 1: calls to a path that equals a prefix without its last slash went to that prefix's function.
    lane_below_another: 1..=20;
    // 1: two nodes stopped instances of one removed function, both under fence 0.
    functions_taken_out: 1..=20;
    disk_full_and_room_again: 1..=20;
    two_disks_full: 1..=20;
    two_disks_stalled: 1..=20;
    allowances_contended: 1..=20;
    allowances_moved: 1..=20;
    lone_start_beside_hunger: 1..=20;
    // 115: one contended key delayed the whole change for 45 s.
    // 18: two owners of the voter set's key each stored a different set under one generation.
    vote_change_with_owner_lost: (1..=20).chain([22, 55, 115]);
    frozen_in_the_act: 1..=20;
    clocks_drift: 1..=20;
    full_size: 1..=4;
    disks_wiped_in_turn: 1..=20;
    two_of_five_wiped: 1..=20;
    wiped_amid_a_vote_change: 1..=20;
    lowest_seeds_without_disk: 1..=20;
    control_machine_cut_off: 1..=20;
    two_control_machines_cut_off: 1..=20;
    owner_frozen_amid_orders: 1..=20;
    orders_race_during_a_cut: 1..=20;
    orders_meet_a_returning_machine: 1..=20;
    orders_crowd_at_a_cut_off_machine: 1..=20;
    eight_orders_at_once: 1..=20;
    orders_race_on_one_version: 1..=20;
    lost_answers_repeated: 1..=20;
    acknowledging_node_killed: 1..=20;
    killed_around_the_acknowledgement: 1..=20;
    all_disks_lose_power_after_acknowledging: 1..=20;
    hundreds_of_changes: 1..=20;
    grown_links: 1..=2;
    busy_function_on_small_machines: 1..=20;
    // 1: a term moved to another node and back within a lease, and both acted: holders A, B, A.
    busy_term_there_and_back: 1..=10;
    grown_herd_killed: 1..=1;
    uncalled_functions_yield: 1..=10;
    disks_damaged: 1..=20;
    usage_quiet: 1..=10;
    usage_collector_killed: 1..=10;
    usage_disk_nodes_killed: 1..=10;
    usage_disks_wiped: 1..=10;
    usage_cut: 1..=10;
    usage_clocks_stepped: 1..=10;
    usage_platform_down: 1..=10;
    usage_collector_frozen: 1..=10;
    usage_answers_lost: 1..=10;
    bodies_of_changes_lost: 1..=4;
    // 1: two owners took keys from each other and the vote of a lost disk never moved, until a majority was lost.
    votes_move_between_losses: 1..=2;
    // 1: an owner that waited for slow disks took itself for silent, and another one took its keys.
    slow_disks_leave_the_owner: 1..=20;
    // The loss of a zone took a majority of the voters, and with it the acknowledged configuration.
    zones_lost_in_turn: 1..=20;
    // A fleet whose seeds all lack a disk was never founded and served nothing.
    all_seeds_without_disk: 1..=20;
    seeds_without_disk_restart_in_the_first_start: 1..=20;
    // Without the seeds' record a proposing seed that restarts founds a second state.
    proposing_seed_killed_at_the_bootstrap: 1..=20;
    // 48, 109, 150, 224, 288: two seeds proposed different disks, and nothing was ever founded.
    seeds_without_disk_learn_of_disks_late: (1..=20).chain([48, 109, 150, 224, 288]);
}

/// Source files below `packages/*/src` and `platform/src` that contain one of these words, by their paths from
/// the workspace root.
fn files_containing(words: &[&str]) -> BTreeSet<String> {
    fn search(folder: &Path, words: &[&str], found: &mut BTreeSet<PathBuf>) {
        for entry in std::fs::read_dir(folder).expect("a readable source folder").flatten() {
            let path = entry.path();
            if path.is_dir() {
                search(&path, words, found);
                continue;
            }
            let text = std::fs::read_to_string(&path).unwrap_or_default();
            if words.iter().any(|word| text.contains(word)) {
                found.insert(path);
            }
        }
    }
    let root = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the workspace root exists");
    let mut found = BTreeSet::new();
    for package in std::fs::read_dir(root.join("packages")).expect("a readable packages folder").flatten() {
        search(&package.path().join("src"), words, &mut found);
    }
    search(&root.join("platform/src"), words, &mut found);
    let shown = |path: &PathBuf| {
        path.strip_prefix(&root).expect("a path below the workspace root").display().to_string()
    };
    found.iter().map(shown).collect()
}

fn paths<const COUNT: usize>(expected: [&str; COUNT]) -> BTreeSet<String> {
    expected.map(str::to_owned).into()
}

/// Guards against wall-clock jumps affecting anything but usage reports: only one file reads the wall clock,
/// besides the call traces, whose times are for display. The reading goes one way, from the runtime through an
/// event to usage reporting.
#[test]
fn only_usage_reporting_depends_on_the_wall_clock() {
    let readers =
        files_containing(&[concat!("System", "Time"), concat!("Utc", "::now"), concat!("UNIX", "_EPOCH")]);
    assert_eq!(
        readers,
        paths(["packages/call_traces/src/lib.rs", "packages/monotonic_clock/src/wall_clock.rs"])
    );
    let requesters = files_containing(&[concat!("unix", "_now")]);
    let runtime = "packages/vanelane/src/protocol_runtime.rs";
    assert_eq!(requesters, paths(["packages/monotonic_clock/src/wall_clock.rs", runtime]));
    let reporters = files_containing(&[concat!("Wall", "Clock")]);
    let (node, events) = ("packages/node_protocol/src/node.rs", "packages/node_protocol/src/lib.rs");
    assert_eq!(reporters, paths([node, events, "packages/fleet_simulator/src/sim_usage.rs", runtime]));
    let receivers = files_containing(&[concat!("wall_clock", "_read")]);
    let usage_module = "packages/node_protocol/src/usage_reporting.rs";
    assert_eq!(receivers, paths([node, usage_module]), "the node passes the reading to usage reporting only");
    let clocks = files_containing(&[concat!("Fleet", "Clock")]);
    let clock_files = ["packages/usage_reports/src/fleet_clock.rs", "packages/usage_reports/src/lib.rs"];
    assert_eq!(
        clocks,
        paths([usage_module, clock_files[0], clock_files[1], "packages/usage_reports/src/tests.rs"])
    );
    // Only window numbers leave that module: no other part of the node accesses its clock.
    let clock_users = files_containing(&[concat!(".usage", ".clock"), concat!("usage", ".clock")]);
    assert_eq!(clock_users, paths([usage_module]));
}
