//! Machines that fail around an acknowledgement: acknowledged changes must persist, and the remaining nodes
//! must apply them soon.

use crate::Simulation;
use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::OrderPlan;
use fastrand::Rng;
use history_checker::OrderResponse;
use monotonic_clock::Micros;

/// Every node applies an acknowledged change within this time.
const SERVE_WITHIN_SECONDS: f64 = 3.0;
/// Time from the acknowledgement to the kill of the node that sent it.
const ACKNOWLEDGED_TO_KILL_SECONDS: f64 = 0.004;
/// Longest wait for an acknowledgement in a healthy fleet.
const ACKNOWLEDGE_WITHIN_SECONDS: f64 = 6.0;

impl Trial {
    /// Sends an order and runs until its operator has received the acceptance, to the millisecond; returns the
    /// generation.
    fn send_until_accepted(&mut self, plan: OrderPlan) -> Option<u64> {
        let name = plan.order.clone();
        self.simulation.send_order(plan);
        let is_accepted = self
            .simulation
            .run_until_closely(ACKNOWLEDGE_WITHIN_SECONDS, |simulation| simulation.is_order_accepted(&name));
        let seen = format!("{name}: {:?}", self.simulation.order_response(&name));
        self.require(is_accepted, "a proper order is taken", &seen);
        match self.simulation.order_response(&name) {
            Some(OrderResponse::Accepted { generation }) => Some(*generation),
            _ => None,
        }
    }

    /// Every node that is up must have applied this generation, or a newer one, within three seconds.
    fn require_applied(&mut self, generation: u64) {
        let began = self.simulation.now();
        let serves = |simulation: &Simulation| nodes_behind(simulation, generation).is_empty();
        let is_served = self.simulation.run_until_closely(SERVE_WITHIN_SECONDS, serves);
        let seen =
            format!("generation {generation} is not at {:?}", nodes_behind(&self.simulation, generation));
        self.require(is_served, "everyone serves what was acknowledged within 3 s", &seen);
        self.figures.push(("serve_seconds", (self.simulation.now() - began) as f64 / 1e6));
    }
}

/// Nodes that are up and have an older generation.
fn nodes_behind(simulation: &Simulation, generation: u64) -> Vec<usize> {
    let is_behind =
        |number: &usize| simulation.status(*number).is_some_and(|status| status.generation < generation);
    simulation.up().into_iter().filter(is_behind).collect()
}

/// The owner of the configuration's key is killed four milliseconds after it acknowledged a change; the others
/// must apply that change within three seconds.
pub(crate) fn acknowledging_node_killed(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.checks.refusals_fixed = 20;
    for version in 0..4 {
        let Some(owner) = trial.simulation.configuration_owner() else { break };
        let plan = OrderPlan::new(format!("acknowledged-{version}"), owner, Some(version), version + 1);
        let Some(generation) = trial.send_until_accepted(plan) else { break };
        trial.simulation.run_for(ACKNOWLEDGED_TO_KILL_SECONDS);
        trial.simulation.kill_either_way(owner);
        trial.require_applied(generation);
        trial.simulation.start(owner);
        trial.require_settled();
    }
    trial.verdict()
}

/// A disk node, the configuration's owner or the node that received an order is killed 5 to 400 milliseconds
/// after the order was sent, acknowledged or not; the order is sent again until it has a response.
pub(crate) fn killed_around_the_acknowledgement(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xaf7e);
    trial.checks.refusals_fixed = 20;
    for version in 0..6 {
        let requested = rng.usize(..10);
        let name = format!("around-{version}");
        let mut plan = OrderPlan::new(name.clone(), requested, Some(version), version + 1);
        plan.abandon_after = Micros::from_secs(40);
        trial.simulation.send_order(plan);
        trial.simulation.run_for(0.005 + rng.f64() * rng.f64() * 0.395);
        let victim = match rng.u8(..3) {
            0 => requested,
            1 => rng.usize(..3),
            _ => trial.simulation.configuration_owner().unwrap_or(requested),
        };
        trial.simulation.kill_either_way(victim);
        let is_accepted =
            trial.simulation.run_until_closely(10.0, |simulation| simulation.is_order_accepted(&name));
        let seen = format!("{name}: {:?}", trial.simulation.order_response(&name));
        trial.require(is_accepted, "a proper order is taken", &seen);
        if let Some(OrderResponse::Accepted { generation }) = trial.simulation.order_response(&name).cloned()
        {
            trial.require_applied(generation);
        }
        trial.simulation.start(victim);
        trial.require_settled();
    }
    trial.verdict()
}

/// All machines with disks lose power at once right after an acknowledgement and are back one to three seconds
/// later. No acknowledged change may be lost, and every node must have applied it three seconds after that.
pub(crate) fn all_disks_lose_power_after_acknowledging(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x90f7);
    // A few refusals for each of four load spikes.
    trial.checks.refusals_fixed = 20;
    for version in 0..4 {
        let plan = OrderPlan::new(format!("power-{version}"), rng.usize(..10), Some(version), version + 1);
        let Some(generation) = trial.send_until_accepted(plan) else { break };
        trial.simulation.run_for(rng.f64() * 0.01);
        for number in 0..3 {
            trial.simulation.lose_power(number);
        }
        trial.simulation.run_for(1.0 + rng.f64() * 2.0);
        for number in 0..3 {
            trial.simulation.start(number);
        }
        trial.require_applied(generation);
        let is_confirmed = trial.reads_at_least(version + 1);
        trial.require(is_confirmed, "no acknowledged change lost", "a confirmed read shows an older version");
        trial.require_settled();
    }
    trial.verdict()
}

impl Trial {
    /// Whether a confirmed read shows this version or a newer one.
    fn reads_at_least(&mut self, version: u64) -> bool {
        let read = self.simulation.send_read(5);
        self.simulation.run_until(3.0, |simulation| simulation.read_response(read).is_some());
        match self.simulation.read_response(read) {
            Some(history_checker::ReadResponse::Confirmed { version: shown, .. }) => *shown >= version,
            _ => true,
        }
    }
}
