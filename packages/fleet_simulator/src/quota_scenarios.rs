//! Quotas under contention: the share each group gets and gives back; a single start must not wait for another
//! group's excess demand.

use crate::SimulationSettings;
use crate::scenarios::{Trial, Verdict};
use monotonic_clock::Micros;
use serde_json::json;

/// Every cold start misses the target, and memory holds nine tenths of an instance per function.
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

/// Calls per second of the function that is called most.
const SPIKE_CALLS_PER_SECOND: usize = 160;

/// Functions without calls, whose instances are kept while there is room, give way to one with a load spike.
pub(crate) fn uncalled_functions_yield(seed: u64) -> Verdict {
    let mut trial = Trial::bootstrapped(short_of_memory(), seed);
    trial.simulation.call_rate = 0.0;
    trial.checks.count_refusals = false;
    // An instance still busy with calls that timed out refuses some.
    trial.checks.refused_busy_in_five_seconds = 18;
    let spike = |trial: &mut Trial, seconds: usize| {
        for call in 0..SPIKE_CALLS_PER_SECOND * seconds {
            trial.simulation.send_call(call % 10, "busy-0", 0);
            trial.simulation.run_for(1.0 / SPIKE_CALLS_PER_SECOND as f64);
        }
    };
    spike(&mut trial, 8);
    let before = trial.simulation.outcomes;
    spike(&mut trial, 6);
    trial.require_served_share(before, 0.9);
    let uncalled_mb = trial.simulation.platform.memory_of("rare");
    trial.figures.push(("uncalled_mb", uncalled_mb as f64));
    trial.verdict()
}

/// Memory of all workers in MB: the rare functions' share is a quarter, the busy functions' share three
/// quarters.
const MEMORY_MB: f64 = 8.0 * 2_600.0;

/// Scarce memory and one long call per instance: demand soon far exceeds capacity.
fn scarce_memory() -> SimulationSettings {
    SimulationSettings {
        workers: (8, 2_600),
        calls_at_once: 1,
        work: Micros::from_millis(800),
        idle_seconds: 4,
        ..SimulationSettings::default()
    }
}

/// Starts without load, so that the fleet is bootstrapped before demand exceeds capacity.
fn bootstrapped_without_load(settings: SimulationSettings, seed: u64) -> Trial {
    let mut trial = Trial::bootstrapped(settings, seed);
    trial.simulation.call_rate = 0.0;
    // Calls above the quota are refused, as quotas intend.
    trial.checks.count_refusals = false;
    // Instances continue calls that timed out; at ten times the load up to 16 calls were refused as busy in
    // five seconds, in 3 of 60 runs.
    trial.checks.refused_busy_in_five_seconds = 18;
    trial.simulation.run_for(3.0);
    trial
}

/// Sends calls to all functions with these name prefixes for some seconds.
fn send_calls_to_all(trial: &mut Trial, prefixes: &[&str], seconds: f64) {
    let functions: Vec<String> = trial.simulation.functions();
    let called_functions: Vec<&String> =
        functions.iter().filter(|name| prefixes.iter().any(|prefix| name.starts_with(prefix))).collect();
    for step in 0..(seconds * 10.0) as usize {
        for (index, function) in called_functions.iter().enumerate() {
            let call_count = if function.starts_with("busy") { 4 } else { 2 };
            for call in 0..call_count {
                trial.simulation.send_call((step + index + call) % 10, function, 0);
            }
        }
        trial.simulation.run_for(0.1);
    }
}

fn require_memory_shares(trial: &mut Trial, busy_share: f64, rare_share: f64) {
    let (busy, rare) = (
        trial.simulation.platform.memory_of("busy") as f64,
        trial.simulation.platform.memory_of("rare") as f64,
    );
    trial.figures.push(("busy_mb", busy));
    trial.figures.push(("rare_mb", rare));
    // Instances are indivisible and a worker's remaining memory may fit none: each group must be within a tenth
    // of the total.
    let slack = MEMORY_MB / 10.0;
    let seen = format!("busy {busy} MB of {busy_share}, rare {rare} MB of {rare_share}");
    trial.require(
        (busy - busy_share).abs() <= slack && (rare - rare_share).abs() <= slack,
        "allowances hold",
        &seen,
    );
}

/// The busy group uses what the rare one does not need, and gives it back on demand.
pub(crate) fn allowances_contended(seed: u64) -> Verdict {
    let mut trial = bootstrapped_without_load(scarce_memory(), seed);
    // A rare instance that is still idle from the bootstrap would take the room of a whole busy one.
    let is_gone = trial.simulation.run_until(20.0, |simulation| simulation.platform.memory_of("rare") == 0);
    trial.require(is_gone, "no cell is leaked", "a rare cell idles for over 20 s");
    send_calls_to_all(&mut trial, &["busy"], 12.0);
    require_memory_shares(&mut trial, MEMORY_MB, 0.0);
    send_calls_to_all(&mut trial, &["busy", "rare"], 18.0 + (seed % 5) as f64);
    require_memory_shares(&mut trial, MEMORY_MB * 0.75, MEMORY_MB * 0.25);
    send_calls_to_all(&mut trial, &["rare"], 18.0);
    require_memory_shares(&mut trial, 0.0, MEMORY_MB);
    // Without calls no instance may remain.
    trial.simulation.run_for(25.0);
    let left = trial.simulation.platform.memory_of("");
    trial.require(left == 0, "no cell is leaked", &format!("{left} MB are still used"));
    trial.verdict()
}

/// A ceiling holds, also when it is lowered while instances run, and while leaders are killed.
pub(crate) fn allowances_moved(seed: u64) -> Verdict {
    let mut trial = bootstrapped_without_load(
        SimulationSettings { rare_ceiling_mb: Some(6_000.0), ..scarce_memory() },
        seed,
    );
    send_calls_to_all(&mut trial, &["rare"], 8.0);
    let victim = (seed % 10) as usize;
    trial.simulation.kill_either_way(victim);
    send_calls_to_all(&mut trial, &["rare"], 8.0);
    trial.simulation.start(victim);
    let partial = json!({
        "allowances": {"rare": {"memory_ceiling_mb": 3_000}},
        "lanes": {"mark-lower": {"function": "busy-0", "path_prefix": "/mark/lower"}},
    });
    trial.simulation.change(3, "lower", None, Some(partial));
    send_calls_to_all(&mut trial, &["rare", "busy"], 20.0);
    let rare = trial.simulation.platform.memory_of("rare");
    trial.figures.push(("rare_mb", rare as f64));
    let seen = format!("rare functions have {rare} MB under a ceiling of 3000 and one cell each");
    trial.require(rare <= 3_000 + 20 * 128, "allowances hold", &seen);
    trial.verdict()
}

/// A rare function is called once while another group wants far more starts and memory than there is.
pub(crate) fn lone_start_beside_hunger(seed: u64) -> Verdict {
    let mut trial = bootstrapped_without_load(scarce_memory(), seed);
    send_calls_to_all(&mut trial, &["busy"], 6.0 + (seed % 4) as f64);
    let rare_function = format!("rare-{}", seed % 20);
    let began = trial.simulation.now();
    trial.simulation.send_call((seed % 10) as usize, &rare_function, 0);
    send_calls_to_all(&mut trial, &["busy"], 5.0);
    let answered = trial.simulation.answered_at(&rare_function, began);
    let took = answered.map(|at| (at - began) as f64 / 1e6);
    trial.figures.push(("lone_start_seconds", took.unwrap_or(9.0)));
    // The boot, up to 1.2 s of work, and half a second for everything else.
    let is_in_time = took.is_some_and(|seconds| seconds <= 0.9 + 1.2 + 0.5);
    trial.require(is_in_time, "a lone start waits for nobody", &format!("{rare_function} took {took:?} s"));
    trial.verdict()
}
