//! A node with a disk that missed hundreds of changes of a large configuration catches up, votes again and
//! leads.

use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::OrderPlan;
use crate::{Simulation, SimulationSettings};
use monotonic_clock::Micros;
use serde_json::{Value, json};

/// Changes that the node misses.
const CHANGES: u64 = 300;
/// Routes that are added meanwhile.
const ROUTES: usize = 350;
/// Changes in progress at once.
const CONCURRENT_CHANGES: u64 = 8;
/// A returned node votes and has the newest generation within this time.
const CAUGHT_UP_WITHIN_SECONDS: f64 = 12.0;

/// One node is down during 300 changes and is killed again while it catches up; with odd seeds its disk is
/// replaced by an empty one. Then the other voters are killed in turn, so that it has to lead.
pub(crate) fn hundreds_of_changes(seed: u64) -> Verdict {
    let settings = SimulationSettings { node_count: 6, busy: 2, rare: 6, ..SimulationSettings::default() };
    let mut trial = Trial::bootstrapped(settings, seed);
    let owner = trial.simulation.configuration_owner().unwrap_or(0);
    // The owner of the configuration's key or another voter, by the seed.
    let victim = (owner + (seed / 2 % 3) as usize) % 3;
    let is_disk_replaced = seed % 2 == 1;
    trial.checks.count_refusals = false;
    trial.simulation.call_rate = 20.0;
    match is_disk_replaced {
        true => trial.simulation.lose_disk(victim),
        false => trial.simulation.kill_either_way(victim),
    }
    trial.simulation.run_for(1.0);
    let version = trial.send_changes();
    trial.simulation.start(victim);
    // Killed again at some moment of the first half second.
    trial.simulation.run_for(0.02 + (seed % 12) as f64 * 0.04);
    trial.simulation.kill_either_way(victim);
    trial.simulation.run_for(0.3);
    trial.simulation.start(victim);
    trial.require_caught_up(victim);
    trial.require_leading_without_others(victim, version);
    trial.require_settled();
    trial.verdict()
}

/// New routes, each under its own name.
fn routes(function: &str) -> Value {
    let mut routes = json!({});
    for number in 0..ROUTES {
        routes[format!("route-{number}")] =
            json!({"function": function, "path_prefix": format!("/routes/of/some/length/{number}")});
    }
    routes
}

impl Trial {
    /// Sends the changes, eight at a time; returns the last version.
    fn send_changes(&mut self) -> u64 {
        let began = self.simulation.now();
        let function = self.simulation.functions()[0].clone();
        let mut version = 0;
        while version < CHANGES {
            let names: Vec<String> = (1..=CONCURRENT_CHANGES.min(CHANGES - version))
                .map(|number| format!("many-{}", version + number))
                .collect();
            for name in &names {
                version += 1;
                let mut plan = OrderPlan::new(name.clone(), 3 + (version % 3) as usize, None, version);
                plan.abandon_after = Micros::from_secs(30);
                if version == CHANGES / 2 {
                    plan.routes = routes(&function);
                }
                self.simulation.send_order(plan);
            }
            let is_over = self
                .simulation
                .run_until(10.0, |simulation| names.iter().all(|name| simulation.is_order_over(name)));
            self.require(is_over, "orders are answered clearly", "eight orders were not answered after 10 s");
        }
        self.figures.push(("orders_seconds", (self.simulation.now() - began) as f64 / 1e6));
        version
    }

    /// The node must vote and have the newest generation soon.
    fn require_caught_up(&mut self, victim: usize) {
        let began = self.simulation.now();
        let votes = |simulation: &Simulation| {
            simulation.is_voting(victim) && simulation.status(victim).is_some_and(|s| s.is_ready)
        };
        let is_voting = self.simulation.run_until_closely(CAUGHT_UP_WITHIN_SECONDS, votes);
        self.require(is_voting, "a returned member catches up", "it has no vote");
        self.figures.push(("vote_seconds", (self.simulation.now() - began) as f64 / 1e6));
        let has_newest_generation =
            self.simulation.run_until_closely(CAUGHT_UP_WITHIN_SECONDS, |simulation| {
                has_newest_generation(simulation, victim)
            });
        self.require(has_newest_generation, "a returned member catches up", "it goes by an older generation");
        self.figures.push(("level_seconds", (self.simulation.now() - began) as f64 / 1e6));
        let kilobytes = self.simulation.disk(victim).map_or(0.0, |disk| disk.durable_bytes() as f64 / 1024.0);
        self.figures.push(("its_disk_kb", kilobytes));
        let kilobytes =
            self.simulation.disk((victim + 1) % 3).map_or(0.0, |disk| disk.durable_bytes() as f64 / 1024.0);
        self.figures.push(("other_disk_kb", kilobytes));
    }

    /// The other voters are killed one at a time, so that the node leads unless it is the last in the order of
    /// owners; orders must be accepted, and a confirmed read is sent to it each time.
    fn require_leading_without_others(&mut self, victim: usize, mut version: u64) {
        let mut has_led = false;
        for other in (0..3).filter(|number| *number != victim) {
            self.simulation.kill_either_way(other);
            version += 1;
            let plan = OrderPlan::new(format!("without-{other}"), victim, Some(version - 1), version);
            self.require_order_accepted(plan, 8.0);
            self.simulation.send_read(victim);
            self.simulation.run_for(1.6);
            has_led |= self.simulation.configuration_owner() == Some(victim);
            self.simulation.start(other);
            let votes =
                self.simulation.run_until(CAUGHT_UP_WITHIN_SECONDS, |simulation| simulation.is_voting(other));
            self.require(votes, "a returned member catches up", "a killed member has no vote");
        }
        self.figures.push(("led", f64::from(u8::from(has_led))));
    }
}

/// Whether no other node has a newer generation.
fn has_newest_generation(simulation: &Simulation, victim: usize) -> bool {
    let generation = |number: usize| simulation.status(number).map_or(0, |status| status.generation);
    simulation.up().into_iter().all(|number| generation(number) <= generation(victim))
}
