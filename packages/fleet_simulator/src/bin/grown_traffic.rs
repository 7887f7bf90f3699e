//! Measures the messages per second between the nodes of a large fleet, by kind.

use fleet_simulator::{Simulation, SimulationSettings};
use std::collections::BTreeMap;
use std::time::Instant;

const NODES: usize = 77;
const SECONDS: f64 = 5.0;

fn main() {
    let settings = SimulationSettings {
        node_count: NODES,
        disks: 8,
        busy: 30,
        rare: 1_000,
        workers: (40, 6_332),
        ..SimulationSettings::default()
    };
    let mut simulation = Simulation::new(settings, 1);
    let begun = Instant::now();
    println!(
        "founded and settled: {} after {:.1} s of this machine",
        simulation.bootstrap(),
        begun.elapsed().as_secs_f64()
    );
    for calls_per_second in [0.0, 300.0, 800.0] {
        simulation.call_rate = calls_per_second;
        simulation.run_for(3.0);
        simulation.traffic = Some(BTreeMap::new());
        let begun = Instant::now();
        simulation.run_for(SECONDS);
        let traffic = simulation.traffic.take().unwrap_or_default();
        let spent = begun.elapsed().as_secs_f64() / SECONDS / NODES as f64;
        println!("{calls_per_second} calls a second; {spent:.4} s of this machine a node and second");
        println!("{:<18}{:>14}{:>14}", "a node and second", "messages", "bytes");
        let rate = |count: u64| count as f64 / SECONDS / NODES as f64;
        for (name, (count, bytes)) in &traffic {
            println!("{name:<18}{:>14.2}{:>14.0}", rate(*count), rate(*bytes));
        }
        let all_bytes: u64 = traffic.values().map(|(_, bytes)| bytes).sum();
        println!("{:<18}{:>14}{:>14.0}", "all", "", rate(all_bytes));
    }
}
