//! Planned stops that overlap: what a node leads goes on elsewhere without a call that waits for an election.

use crate::SimulationSettings;
use crate::scenarios::{Trial, Verdict};
use history_checker::Line;

const NODES: usize = 10;
const DISKS: usize = 3;
/// Calls a second, three in four for four functions.
const CALL_RATE: f64 = 300.0;
/// Cells answer within some 60 ms; an answer after this has waited for something else.
const LATE_MICROS: u64 = 300_000;
/// Of the calls made amid stops, at the most these are late.
const LATE_SHARE: f64 = 0.01;

/// Two nodes are stopped together, and the next two while those are hardly back, six times.
pub(crate) fn stops_together(seed: u64) -> Verdict {
    let mut trial = Trial::bootstrapped(SimulationSettings::default(), seed);
    trial.simulation.call_rate = CALL_RATE;
    trial.simulation.run_for(4.0);
    let began_at = trial.simulation.now();
    for round in 0..6 {
        let first = DISKS + (seed as usize + 2 * round) % (NODES - DISKS);
        let second = DISKS + (seed as usize + 2 * round + 1) % (NODES - DISKS);
        trial.simulation.stop_planned(first);
        trial.simulation.stop_planned(second);
        trial.simulation.run_for(0.5);
        trial.simulation.start(first);
        trial.simulation.start(second);
        trial.simulation.run_for(0.7);
    }
    trial.must_have_been_quick(began_at, LATE_SHARE);
    trial.must_settle();
    trial.verdict()
}

impl Trial {
    /// Of the calls that ended since then, at most this share was answered late.
    fn must_have_been_quick(&mut self, since: u64, most: f64) {
        let ended = self.simulation.lines().iter().filter_map(|line| match line {
            Line::CallEnded { at, latency, .. } if *at >= since => Some(*latency),
            _ => None,
        });
        let latencies: Vec<u64> = ended.collect();
        let late = latencies.iter().filter(|latency| **latency > LATE_MICROS).count();
        let share = late as f64 / latencies.len().max(1) as f64;
        self.figures.push(("late_share", share));
        let seen = format!("{late} of {} calls were late", latencies.len());
        self.must(share <= most, "stops cost no time", &seen);
    }
}
