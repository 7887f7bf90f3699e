//! Changes of a large configuration whose gossip is delayed: every node that knows of an acknowledged change
//! must apply it in time.

use crate::scenarios::{Trial, Verdict};
use crate::{Simulation, SimulationSettings};
use fastrand::Rng;
use history_checker::Line;
use serde_json::{Value, json};
use std::collections::BTreeMap;

const NODES: usize = 79;
const DISKS: usize = 8;
/// Routes without calls, and the bytes of the annotation of each: a document of 200 KB.
const IDLE_ROUTES: usize = 500;
const IDLE_ROUTE_NOTE_BYTES: usize = 250;
const CHANGES: usize = 6;
/// Every node applies an acknowledged change within this time.
const IN_FORCE_WITHIN_MICROS: u64 = 4_000_000;

/// The bodies of changes never reach the nodes with a non-voting disk by gossip; the digests that announce
/// newer versions do.
pub(crate) fn bodies_of_changes_lost(seed: u64) -> Verdict {
    let mut rng = Rng::with_seed(seed ^ 0xb0d1);
    let settings = SimulationSettings {
        node_count: NODES,
        disks: DISKS,
        busy: 4,
        rare: 8,
        ..SimulationSettings::large_fleet()
    };
    let mut trial = Trial::without_configuration(settings, seed);
    let is_ready = trial.simulation.run_until(20.0, Simulation::is_all_ready);
    trial.require(is_ready, "founding", "the nodes were not ready");
    let document = large_document(&trial.simulation, &mut rng);
    trial.simulation.operator_sends(DISKS + 1, "first", document);
    let is_settled = trial
        .simulation
        .run_until(20.0, |simulation| simulation.is_accepted("first") && simulation.is_settled());
    trial.require(is_settled, "founding", "the first configuration did not reach every node");
    trial.simulation.call_rate = 100.0;
    let voters = trial.simulation.voter_numbers();
    for number in (0..DISKS).filter(|number| !voters.contains(number)) {
        for kind in ["News", "NewsChanges"] {
            trial.simulation.lost_kinds.insert((number, kind));
        }
    }
    for number in 0..CHANGES {
        let node = rng.usize(..NODES);
        trial.simulation.send_marked_change(node, &format!("lost-{number}"));
        trial.simulation.run_for(1.0 + rng.f64() * 4.0);
    }
    trial.simulation.run_for(IN_FORCE_WITHIN_MICROS as f64 / 1e6);
    trial.require_in_force_in_time();
    // Nodes that miss the gossip of instances refuse some calls.
    trial.checks.count_refusals = false;
    trial.verdict()
}

fn large_document(simulation: &Simulation, rng: &mut Rng) -> Value {
    let mut document = simulation.document();
    let functions = simulation.functions();
    for number in 0..IDLE_ROUTES {
        let note: String = (0..IDLE_ROUTE_NOTE_BYTES).map(|_| rng.alphanumeric()).collect();
        document["lanes"][format!("idle-{number}")] = json!({
            "function": functions[number % functions.len()],
            "path_prefix": format!("/idle/{:016x}", rng.u64(..)),
            "annotations": {"note": note},
        });
    }
    document
}

impl Trial {
    /// Every acknowledged change must be in force in time at every node that is up.
    fn require_in_force_in_time(&mut self) {
        let mut held: BTreeMap<String, Vec<(u64, u64)>> = BTreeMap::new();
        let mut accepted = Vec::new();
        for line in self.simulation.lines() {
            match line {
                Line::GenerationHeld { at, node, generation, .. } => {
                    held.entry(node.clone()).or_default().push((*at, *generation));
                }
                Line::ChangeAccepted { at, generation, .. } => accepted.push((*at, *generation)),
                _ => {}
            }
        }
        let now = self.simulation.now();
        let due = accepted.into_iter().filter(|(accepted_at, _)| accepted_at + IN_FORCE_WITHIN_MICROS <= now);
        let due: Vec<(u64, u64)> = due.collect();
        let mut longest = (0, String::new());
        for number in self.simulation.up() {
            let node = format!("node-{number}");
            let taken = held.get(&node).map(Vec::as_slice).unwrap_or_default();
            for (accepted_at, generation) in &due {
                let in_force = taken.iter().find(|(_, taken)| taken >= generation).map_or(now, |(at, _)| *at);
                let span = in_force.saturating_sub(*accepted_at);
                if span > longest.0 {
                    longest = (span, format!("generation {generation} at {node}"));
                }
            }
        }
        self.figures.push(("changes", due.len() as f64));
        self.figures.push(("in_force_seconds_most", longest.0 as f64 / 1e6));
        let seen = format!("{} after {} us", longest.1, longest.0);
        self.require(longest.0 <= IN_FORCE_WITHIN_MICROS, "changes in force in time", &seen);
    }
}
