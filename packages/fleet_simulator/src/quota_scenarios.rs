//! Allowances under contention: what each group gets, what it gives back, and that a lone start
//! waits for nobody's hunger.

use crate::SimulationSettings;
use crate::scenarios::{Trial, Verdict};
use monotonic_clock::Micros;
use serde_json::json;

/// Every cold start is late, and memory holds nine tenths of a cell for each function.
fn short_of_memory() -> SimulationSettings {
    SimulationSettings {
        busy: 4,
        rare: 100,
        kept_by_cost: Some(Micros::from_millis(300)),
        extra_boot: Micros::from_millis(400),
        workers: (12, 1_140),
        ..SimulationSettings::default()
    }
}

/// Calls a second of the function that is called most.
const SPIKE_PER_SECOND: usize = 160;

/// Functions that nobody calls, kept ready as long as there is room, yield to one that a crowd calls.
pub(crate) fn uncalled_functions_yield(seed: u64) -> Verdict {
    let mut trial = Trial::bootstrapped(short_of_memory(), seed);
    trial.simulation.call_rate = 0.0;
    trial.checks.count_refusals = false;
    // A cell that was filled while its calls were given up on turns some away.
    trial.checks.refused_busy_in_five_seconds = 18;
    let spike = |trial: &mut Trial, seconds: usize| {
        for call in 0..SPIKE_PER_SECOND * seconds {
            trial.simulation.send_call(call % 10, "busy-0", 0);
            trial.simulation.run_for(1.0 / SPIKE_PER_SECOND as f64);
        }
    };
    spike(&mut trial, 8);
    let before = trial.simulation.outcomes;
    spike(&mut trial, 6);
    trial.must_have_served(before, 0.9);
    let uncalled_mb = trial.simulation.platform.memory_of("rare");
    trial.figures.push(("uncalled_mb", uncalled_mb as f64));
    trial.verdict()
}

/// Memory of all workers: a quarter of it is the rare functions' share, three quarters the busy ones'.
const MEMORY_MB: f64 = 8.0 * 2_600.0;

/// Scarce memory, one long call a cell: demand is soon far above what there is.
fn scarce() -> SimulationSettings {
    SimulationSettings {
        workers: (8, 2_600),
        calls_at_once: 1,
        work: Micros::from_millis(800),
        idle_seconds: 4,
        ..SimulationSettings::default()
    }
}

/// A calm start, so that the fleet is founded before anybody is hungry.
fn undisturbed(settings: SimulationSettings, seed: u64) -> Trial {
    let mut trial = Trial::bootstrapped(settings, seed);
    trial.simulation.call_rate = 0.0;
    // Hungry callers are refused; that is what allowances are for.
    trial.checks.count_refusals = false;
    // Cells go on with calls that were given up on; at ten times the load up to 16 were turned away
    // in five seconds, in 3 of 60 runs.
    trial.checks.refused_busy_in_five_seconds = 18;
    trial.simulation.run_for(3.0);
    trial
}

/// Sends calls to all functions whose names begin so, for some seconds.
fn starvation(trial: &mut Trial, prefixes: &[&str], seconds: f64) {
    let functions: Vec<String> = trial.simulation.functions();
    let starving: Vec<&String> =
        functions.iter().filter(|name| prefixes.iter().any(|prefix| name.starts_with(prefix))).collect();
    for step in 0..(seconds * 10.0) as usize {
        for (place, function) in starving.iter().enumerate() {
            let call_count = if function.starts_with("busy") { 4 } else { 2 };
            for call in 0..call_count {
                trial.simulation.send_call((step + place + call) % 10, function, 0);
            }
        }
        trial.simulation.run_for(0.1);
    }
}

fn must_share(trial: &mut Trial, busy_share: f64, rare_share: f64) {
    let (busy, rare) = (
        trial.simulation.platform.memory_of("busy") as f64,
        trial.simulation.platform.memory_of("rare") as f64,
    );
    trial.figures.push(("busy_mb", busy));
    trial.figures.push(("rare_mb", rare));
    // Whole cells, and workers whose last rest fits none: each group within a tenth of everything.
    let slack = MEMORY_MB / 10.0;
    let seen = format!("busy {busy} MB of {busy_share}, rare {rare} MB of {rare_share}");
    trial.must(
        (busy - busy_share).abs() <= slack && (rare - rare_share).abs() <= slack,
        "allowances hold",
        &seen,
    );
}

/// The busy group takes what the rare one does not want, and gives it back when it does.
pub(crate) fn allowances_contended(seed: u64) -> Verdict {
    let mut trial = undisturbed(scarce(), seed);
    // A rare cell that was called before the calm and idles yet takes the room of a whole busy one.
    let is_gone = trial.simulation.run_until(20.0, |simulation| simulation.platform.memory_of("rare") == 0);
    trial.must(is_gone, "no cell is leaked", "a rare cell idles for over 20 s");
    starvation(&mut trial, &["busy"], 12.0);
    must_share(&mut trial, MEMORY_MB, 0.0);
    starvation(&mut trial, &["busy", "rare"], 18.0 + (seed % 5) as f64);
    must_share(&mut trial, MEMORY_MB * 0.75, MEMORY_MB * 0.25);
    starvation(&mut trial, &["rare"], 18.0);
    must_share(&mut trial, 0.0, MEMORY_MB);
    // Nobody calls any more: nothing stays behind.
    trial.simulation.run_for(25.0);
    let left = trial.simulation.platform.memory_of("");
    trial.must(left == 0, "no cell is leaked", &format!("{left} MB are still used"));
    trial.verdict()
}

/// A ceiling holds, also one that comes while cells are there, and while stewards are killed.
pub(crate) fn allowances_moved(seed: u64) -> Verdict {
    let mut trial = undisturbed(SimulationSettings { rare_ceiling_mb: Some(6_000.0), ..scarce() }, seed);
    starvation(&mut trial, &["rare"], 8.0);
    let victim = (seed % 10) as usize;
    trial.simulation.kill_either_way(victim);
    starvation(&mut trial, &["rare"], 8.0);
    trial.simulation.start(victim);
    let partial = json!({
        "allowances": {"rare": {"memory_ceiling_mb": 3_000}},
        "lanes": {"mark-lower": {"function": "busy-0", "path_prefix": "/mark/lower"}},
    });
    trial.simulation.change(3, "lower", None, Some(partial));
    starvation(&mut trial, &["rare", "busy"], 20.0);
    let rare = trial.simulation.platform.memory_of("rare");
    trial.figures.push(("rare_mb", rare as f64));
    let seen = format!("rare functions have {rare} MB under a ceiling of 3000 and one cell each");
    trial.must(rare <= 3_000 + 20 * 128, "allowances hold", &seen);
    trial.verdict()
}

/// A rare function is called once while a group wants far more starts and memory than there is.
pub(crate) fn lone_start_beside_hunger(seed: u64) -> Verdict {
    let mut trial = undisturbed(scarce(), seed);
    starvation(&mut trial, &["busy"], 6.0 + (seed % 4) as f64);
    let lone = format!("rare-{}", seed % 20);
    let began = trial.simulation.now();
    trial.simulation.send_call((seed % 10) as usize, &lone, 0);
    starvation(&mut trial, &["busy"], 5.0);
    let answered = trial.simulation.answered_at(&lone, began);
    let took = answered.map(|at| (at - began) as f64 / 1e6);
    trial.figures.push(("lone_start_seconds", took.unwrap_or(9.0)));
    // The boot, the work of up to 1.2 s, and half a second for the rest.
    let is_in_time = took.is_some_and(|seconds| seconds <= 0.9 + 1.2 + 0.5);
    trial.must(is_in_time, "a lone start waits for nobody", &format!("{lone} took {took:?} s"));
    trial.verdict()
}
