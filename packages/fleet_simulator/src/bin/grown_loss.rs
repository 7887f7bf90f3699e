//! Behaviour of a large fleet of small machines when most of its processes, or with the argument `disks` all of
//! those with disks, are killed at once and start again after a second. For each second it prints how many
//! functions have no leader, how many calls ran, and the messages a node sends, by kind.

use fleet_simulator::{Processors, Simulation, SimulationSettings};
use std::collections::BTreeMap;

const NODES: usize = 77;
const DISKS: usize = 8;
const SECONDS: usize = 10;
const CALLS_PER_SECOND: f64 = 800.0;

fn main() {
    let settings = SimulationSettings {
        node_count: NODES,
        disks: DISKS,
        processors: Some(Processors { with_disk: 260, others: 62 }),
        ..SimulationSettings::grown_deployment()
    };
    let mut simulation = Simulation::new(settings, 1);
    println!("founded and settled: {}", simulation.bootstrap());
    simulation.call_rate = CALLS_PER_SECOND;
    simulation.run_for(5.0);
    report_second(&mut simulation, "before");
    let only_disk_nodes = std::env::args().any(|argument| argument == "disks");
    let killed = |number: &usize| if only_disk_nodes { *number < DISKS } else { number % 8 < 5 };
    for number in (0..NODES).filter(killed) {
        simulation.kill(number);
    }
    simulation.run_for(1.0);
    for number in (0..NODES).filter(killed) {
        simulation.start(number);
    }
    for number in 0..SECONDS {
        report_second(&mut simulation, &format!("second {number}"));
    }
}

/// Runs one second and prints what happened in it.
fn report_second(simulation: &mut Simulation, name: &str) {
    let outcomes_before = simulation.outcomes;
    simulation.traffic = Some(BTreeMap::new());
    simulation.run_for(1.0);
    let traffic = simulation.traffic.take().unwrap_or_default();
    let statuses: Vec<_> = (0..NODES).filter_map(|number| simulation.status(number)).collect();
    let mean = |value: &dyn Fn(&node_protocol::NodeStatus) -> usize| {
        statuses.iter().map(value).sum::<usize>() as f64 / statuses.len() as f64
    };
    let ended: Vec<u64> = (0..4).map(|index| simulation.outcomes[index] - outcomes_before[index]).collect();
    println!(
        "{name}: unheld {:.0}, ready {:.0} of a hundred, members {:.1}; calls ran, refused, unknown, silent {ended:?}",
        mean(&|status| status.unheld),
        mean(&|status| usize::from(status.is_ready)) * 100.0,
        mean(&|status| status.members.len()),
    );
    let queues: Vec<usize> = (0..NODES).map(|number| simulation.waiting_events(number)).collect();
    let most = queues.iter().max().copied().unwrap_or(0);
    let sum: usize = queues.iter().sum();
    println!("    events that wait: {sum}, most at one node {most}, of disk nodes {:?}", &queues[..DISKS]);
    let mut kinds: Vec<(&str, u64, u64)> =
        traffic.iter().map(|(kind, (count, bytes))| (*kind, *count, *bytes)).collect();
    kinds.sort_by_key(|(_, _, bytes)| std::cmp::Reverse(*bytes));
    let all_bytes: u64 = kinds.iter().map(|(_, _, bytes)| bytes).sum();
    print!("    all {:.1} KB a node;", all_bytes as f64 / 1e3 / NODES as f64);
    for (kind, count, bytes) in kinds.iter().take(6) {
        print!(" {kind} {count} of {:.1} KB;", *bytes as f64 / 1e3 / NODES as f64);
    }
    println!();
}
