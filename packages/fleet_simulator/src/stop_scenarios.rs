//! Overlapping planned stops: the functions that a stopping node leads must move without calls waiting for an
//! election.

use crate::SimulationSettings;
use crate::scenarios::{Trial, Verdict};
use history_checker::Line;

const NODES: usize = 10;
const DISKS: usize = 3;
/// Calls per second; nine in ten go to four functions.
const CALL_RATE: f64 = 300.0;
/// Instances respond within about 60 ms; a later response has waited for something else.
const LATE_MICROS: u64 = 300_000;
/// Largest share of late calls amid the stops.
const LATE_SHARE: f64 = 0.01;

/// Two nodes are stopped together, and the next two as soon as those are back, six times.
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
    trial.require_late_share_below(began_at, LATE_SHARE);
    trial.require_settled();
    trial.verdict()
}

impl Trial {
    /// At most this share of the calls that ended since then may be late.
    fn require_late_share_below(&mut self, since: u64, limit: f64) {
        let ended = self.simulation.lines().iter().filter_map(|line| match line {
            Line::CallEnded { at, latency, .. } if *at >= since => Some(*latency),
            _ => None,
        });
        let latencies: Vec<u64> = ended.collect();
        let late = latencies.iter().filter(|latency| **latency > LATE_MICROS).count();
        let share = late as f64 / latencies.len().max(1) as f64;
        self.figures.push(("late_share", share));
        let seen = format!("{late} of {} calls were late", latencies.len());
        self.require(share <= limit, "stops cost no time", &seen);
    }
}
