//! Routes and functions that change under load: calls may go only where some configuration in force sent them.

use crate::SimulationSettings;
use crate::scenarios::{Trial, Verdict};
use fastrand::Rng;
use monotonic_clock::Micros;
use serde_json::{Value, json};

/// A partial change of one function: its route moved, its route removed, both removed, or both restored.
fn random_change(trial: &Trial, rng: &mut Rng, change_id: &str) -> Value {
    let whole = trial.simulation.document();
    let functions = trial.simulation.functions();
    // The first function keeps the marker routes of changes.
    let name = &functions[rng.usize(1..functions.len())];
    let other = &functions[rng.usize(..functions.len())];
    let mut partial = json!({"lanes": {}, "functions": {}});
    match rng.u8(..4) {
        0 => {
            partial["functions"][other] = whole["functions"][other].clone();
            partial["lanes"][name] = json!({"function": other, "path_prefix": format!("/{name}")});
        }
        1 => partial["lanes"][name] = Value::Null,
        2 => {
            // Every route to the function is removed with it.
            for route in functions.iter().skip(1) {
                let is_leading = trial.simulation.route_of(route).as_ref() == Some(name);
                if is_leading || route == name {
                    partial["lanes"][route] = Value::Null;
                }
            }
            partial["functions"][name] = Value::Null;
        }
        _ => {
            partial["functions"][name] = whole["functions"][name].clone();
            partial["lanes"][name] = whole["lanes"][name].clone();
        }
    }
    partial["lanes"][format!("mark-{change_id}")] =
        json!({"function": functions[0], "path_prefix": format!("/mark/{change_id}")});
    partial
}

/// Functions are removed while their instances run, while a node is killed, cut off or neither; then they are
/// restored. Their instances must be stopped by one holder under its own term, and the functions must work
/// again.
pub(crate) fn functions_taken_out(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.simulation.call_rate = 200.0;
    trial.simulation.run_for(6.0);
    let names = ["busy-1", "busy-2", "rare-8", "rare-9"];
    let mut partial = json!({"lanes": {}, "functions": {}});
    for name in names {
        partial["lanes"][name] = Value::Null;
        partial["functions"][name] = Value::Null;
    }
    partial["lanes"]["mark-out"] =
        json!({"function": trial.simulation.functions()[0], "path_prefix": "/mark/out"});
    let victim = (seed % 10) as usize;
    trial.simulation.change((victim + 1) % 10, "out", None, Some(partial));
    trial.simulation.run_for(3.0);
    match seed % 3 {
        0 => trial.simulation.kill(victim),
        1 => trial.simulation.isolate(victim),
        _ => {}
    }
    trial.simulation.run_for(12.0);
    trial.simulation.heal();
    trial.simulation.start(victim);
    trial.simulation.run_for(10.0);
    let left: u64 = names.iter().map(|name| trial.simulation.platform.memory_of(name)).sum();
    trial.require(left == 0, "cells of functions taken out are stopped", &format!("{left} MB still run"));
    restore_all(&mut trial);
    trial.verdict()
}

fn restore_all(trial: &mut Trial) {
    // Every change that was sent has its response by then.
    trial.simulation.run_for(6.5);
    let mut whole = trial.simulation.document();
    for change_id in trial.simulation.accepted_markers() {
        whole["lanes"][format!("mark-{change_id}")] =
            json!({"function": trial.simulation.functions()[0], "path_prefix": format!("/mark/{change_id}")});
    }
    trial.simulation.change(3, "back", Some(whole), None);
    let is_accepted = trial.simulation.run_until(6.0, |simulation| simulation.is_accepted("back"));
    trial.require(is_accepted, "changes are taken", "putting all back was not accepted");
    trial.require_propagated();
    trial.require_settled();
}

/// Instances boot for three seconds, so that calls wait at the leader while their route changes.
pub(crate) fn lanes_moved(seed: u64) -> Verdict {
    let settings = SimulationSettings {
        extra_boot: Micros::from_millis(2_000),
        idle_seconds: 2,
        ..SimulationSettings::default()
    };
    let mut trial = Trial::bootstrapped(settings, seed);
    trial.simulation.call_rate = 40.0;
    let mut rng = Rng::with_seed(seed ^ 0x1a4e);
    for round in 0..16 {
        let change_id = format!("move-{round}");
        let partial = random_change(&trial, &mut rng, &change_id);
        let node = rng.usize(..10);
        trial.simulation.change(node, &change_id, None, Some(partial));
        trial.simulation.run_for(rng.f64() * 4.0);
        trial.require_propagated();
    }
    restore_all(&mut trial);
    trial.verdict()
}

/// Routes change while nodes are frozen, isolated or killed.
pub(crate) fn lanes_moved_while_nodes_sleep(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.simulation.call_rate = 200.0;
    let mut rng = Rng::with_seed(seed ^ 0x51ee9);
    for round in 0..10 {
        let change_id = format!("asleep-{round}");
        let victim = rng.usize(..10);
        match rng.u8(..3) {
            0 => trial.simulation.freeze(victim, 1.5 + rng.f64() * 3.5),
            1 => trial.simulation.isolate(victim),
            _ => trial.simulation.kill_either_way(victim),
        }
        trial.simulation.run_for(rng.f64() * 0.5);
        let partial = random_change(&trial, &mut rng, &change_id);
        trial.simulation.change((victim + 1) % 10, &change_id, None, Some(partial));
        trial.simulation.run_for(3.0 + rng.f64() * 2.0);
        trial.simulation.heal();
        trial.simulation.start(victim);
        trial.simulation.run_for(1.0 + rng.f64() * 3.0);
    }
    restore_all(&mut trial);
    trial.verdict()
}

/// A route below another route's prefix is added, moved and removed. Calls whose path equals the inner prefix without
/// its last slash belong to the outer route all the time.
pub(crate) fn lane_below_another(seed: u64) -> Verdict {
    const CALLED: [&str; 4] = ["busy-1/part", "busy-1/part/", "busy-1/part/one", "busy-1/parts"];
    let mut trial = Trial::default(seed);
    trial.simulation.call_rate = 40.0;
    let mut rng = Rng::with_seed(seed ^ 0xbe10);
    for round in 0..8 {
        let change_id = format!("below-{round}");
        let inner = match rng.u8(..4) {
            0 => Value::Null,
            _ => json!({"function": rng.choice(["busy-2", "busy-3"]), "path_prefix": "/busy-1/part/"}),
        };
        let mut partial = json!({"lanes": {"below": inner}});
        trial.simulation.put_marker(&mut partial, &change_id);
        trial.simulation.change(rng.usize(..10), &change_id, None, Some(partial));
        for _ in 0..15 {
            for path in CALLED {
                trial.simulation.send_call(rng.usize(..10), path, 0);
            }
            trial.simulation.run_for(0.1);
        }
        trial.require_propagated();
    }
    trial.require_settled();
    trial.verdict()
}
