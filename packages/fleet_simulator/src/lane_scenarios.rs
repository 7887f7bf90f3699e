//! Lanes and functions that change under load: calls may go only where a configuration allowed.

use crate::WorldSettings;
use crate::scenarios::{Trial, Verdict};
use fastrand::Rng;
use monotonic_clock::Micros;
use serde_json::{Value, json};

/// A partial change at one function: its lane moved, its lane removed, both removed, or put back.
fn drawn_change(trial: &Trial, dice: &mut Rng, change_id: &str) -> Value {
    let whole = trial.world.document();
    let functions = trial.world.functions();
    // The first function keeps the lanes that mark changes.
    let name = &functions[dice.usize(1..functions.len())];
    let other = &functions[dice.usize(..functions.len())];
    let mut partial = json!({"lanes": {}, "functions": {}});
    match dice.u8(..4) {
        0 => {
            partial["functions"][other] = whole["functions"][other].clone();
            partial["lanes"][name] = json!({"function": other, "path_prefix": format!("/{name}")});
        }
        1 => partial["lanes"][name] = Value::Null,
        2 => {
            // Whatever lane leads to the function goes with it.
            for lane in functions.iter().skip(1) {
                let is_leading = trial.world.lane_of(lane).as_ref() == Some(name);
                if is_leading || lane == name {
                    partial["lanes"][lane] = Value::Null;
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

/// Functions are taken out while their cells run; a node is killed, cut off or neither meanwhile; then they are put
/// back. Their cells are stopped, by one holder under a term of its own, and the functions work again.
pub(crate) fn functions_taken_out(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.world.call_rate = 200.0;
    trial.world.run_for(6.0);
    let names = ["busy-1", "busy-2", "rare-8", "rare-9"];
    let mut partial = json!({"lanes": {}, "functions": {}});
    for name in names {
        partial["lanes"][name] = Value::Null;
        partial["functions"][name] = Value::Null;
    }
    partial["lanes"]["mark-out"] =
        json!({"function": trial.world.functions()[0], "path_prefix": "/mark/out"});
    let victim = (seed % 10) as usize;
    trial.world.change((victim + 1) % 10, "out", None, Some(partial));
    trial.world.run_for(3.0);
    match seed % 3 {
        0 => trial.world.kill(victim),
        1 => trial.world.isolate(victim),
        _ => {}
    }
    trial.world.run_for(12.0);
    trial.world.heal();
    trial.world.start(victim);
    trial.world.run_for(10.0);
    let left: u64 = names.iter().map(|name| trial.world.platform.memory_of(name)).sum();
    trial.must(left == 0, "cells of functions taken out are stopped", &format!("{left} MB still run"));
    put_all_back(&mut trial);
    trial.verdict()
}

fn put_all_back(trial: &mut Trial) {
    // By now every change that was sent has its answer.
    trial.world.run_for(6.5);
    let mut whole = trial.world.document();
    for change_id in trial.world.accepted_marks() {
        whole["lanes"][format!("mark-{change_id}")] =
            json!({"function": trial.world.functions()[0], "path_prefix": format!("/mark/{change_id}")});
    }
    trial.world.change(3, "back", Some(whole), None);
    let is_accepted = trial.world.run_until(6.0, |world| world.is_accepted("back"));
    trial.must(is_accepted, "changes are taken", "putting all back was not accepted");
    trial.must_spread();
    trial.must_settle();
}

/// Cells boot for three seconds, so that calls wait at the steward while their lane is changed.
pub(crate) fn lanes_moved(seed: u64) -> Verdict {
    let settings =
        WorldSettings { extra_boot: Micros::from_millis(2_000), idle_seconds: 2, ..WorldSettings::default() };
    let mut trial = Trial::founded(settings, seed);
    trial.world.call_rate = 40.0;
    let mut dice = Rng::with_seed(seed ^ 0x1a4e);
    for round in 0..16 {
        let change_id = format!("move-{round}");
        let partial = drawn_change(&trial, &mut dice, &change_id);
        let node = dice.usize(..10);
        trial.world.change(node, &change_id, None, Some(partial));
        trial.world.run_for(dice.f64() * 4.0);
        trial.must_spread();
    }
    put_all_back(&mut trial);
    trial.verdict()
}

/// As above, with nodes frozen, isolated or killed while the change is made.
pub(crate) fn lanes_moved_while_nodes_sleep(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.world.call_rate = 200.0;
    let mut dice = Rng::with_seed(seed ^ 0x51ee9);
    for round in 0..10 {
        let change_id = format!("asleep-{round}");
        let victim = dice.usize(..10);
        match dice.u8(..3) {
            0 => trial.world.freeze(victim, 1.5 + dice.f64() * 3.5),
            1 => trial.world.isolate(victim),
            _ => trial.world.kill_either_way(victim),
        }
        trial.world.run_for(dice.f64() * 0.5);
        let partial = drawn_change(&trial, &mut dice, &change_id);
        trial.world.change((victim + 1) % 10, &change_id, None, Some(partial));
        trial.world.run_for(3.0 + dice.f64() * 2.0);
        trial.world.heal();
        trial.world.start(victim);
        trial.world.run_for(1.0 + dice.f64() * 3.0);
    }
    put_all_back(&mut trial);
    trial.verdict()
}
