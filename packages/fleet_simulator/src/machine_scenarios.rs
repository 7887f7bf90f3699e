//! Machines that freeze during an action, clocks that drift apart, and the specified full size.

use crate::scenarios::{Trial, Verdict};
use crate::{FreezeIn, SimulationSettings};
use fastrand::Rng;

/// The next node to do so freezes while its start, stop, permit, store or disk sync is on its way.
pub(crate) fn frozen_in_the_act(seed: u64) -> Verdict {
    let mut trial =
        Trial::bootstrapped(SimulationSettings { idle_seconds: 3, ..SimulationSettings::default() }, seed);
    let mut rng = Rng::with_seed(seed ^ 0xf4ee);
    let moments = [FreezeIn::Start, FreezeIn::Stop, FreezeIn::Grant, FreezeIn::Store, FreezeIn::Sync];
    let mut frozen_count = 0;
    for round in 0..6 {
        let moment = moments[rng.usize(..moments.len())];
        trial.simulation.freeze_in = Some((moment, 0.5 + rng.f64() * 5.5));
        // A load spike at one function fills queues and causes starts.
        let busy_function = format!("busy-{}", rng.usize(..4));
        for _ in 0..10 {
            for call in 0..8 {
                trial.simulation.send_call((round + call) % 10, &busy_function, 0);
            }
            trial.simulation.run_for(0.1);
        }
        trial.simulation.send_marked_change(rng.usize(..10), &format!("frozen-{round}"));
        trial.simulation.run_for(1.0 + rng.f64() * 6.0);
        frozen_count += u32::from(trial.simulation.freeze_in.take().is_none());
    }
    trial.figures.push(("frozen", f64::from(frozen_count)));
    trial.require(frozen_count > 0, "the failure came about", "no node was frozen in an act");
    // Until the frozen leader's lease ends, only fallback schedulers serve a load spike: refusals are reported
    // as a figure only.
    trial.checks.count_refusals = false;
    trial.simulation.run_for(6.0);
    trial.require_settled();
    trial.require_accepted(4, "thawed", 6.0);
    trial.verdict()
}

/// Clock rates are off by up to one percent, and leaders are cut off from the disks, so that terms end by the
/// clocks alone.
pub(crate) fn clocks_drift(seed: u64) -> Verdict {
    let mut trial =
        Trial::bootstrapped(SimulationSettings { clock_drift: 0.01, ..SimulationSettings::default() }, seed);
    trial.simulation.call_rate = 300.0;
    let mut rng = Rng::with_seed(seed ^ 0xd41f);
    for _ in 0..5 {
        let victim = 3 + rng.usize(..7);
        trial.simulation.cut(&[victim], &[0, 1, 2]);
        trial.simulation.run_for(4.5 + rng.f64());
        trial.simulation.heal();
        trial.simulation.run_for(0.5 + rng.f64());
    }
    trial.require_settled();
    trial.verdict()
}

/// 8 busy and 150 rare functions, 300 calls/s, twelve workers of one of two memory sizes; a node and a disk
/// node are killed and started again.
pub(crate) fn full_size(seed: u64) -> Verdict {
    let worker_memory = if seed.is_multiple_of(2) { 6_500 } else { 5_300 };
    let settings = SimulationSettings {
        busy: 8,
        rare: 150,
        workers: (12, worker_memory),
        ..SimulationSettings::default()
    };
    let mut trial = Trial::bootstrapped(settings, seed);
    trial.simulation.call_rate = 300.0;
    trial.simulation.run_for(8.0);
    let victims = [(seed % 3) as usize, 3 + (seed % 7) as usize];
    for victim in victims {
        trial.simulation.kill_either_way(victim);
        trial.simulation.run_for(3.0);
    }
    trial.require_accepted(3 + ((seed + 1) % 7) as usize, "one-down", 4.0);
    for victim in victims {
        trial.simulation.start(victim);
    }
    trial.require_settled();
    trial.require_propagated();
    trial.verdict()
}
