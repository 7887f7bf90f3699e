//! Machines that fail around an acknowledgement: what was acknowledged stays, and everyone who is left
//! serves by it soon.

use crate::World;
use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::OrderPlan;
use fastrand::Rng;
use history_checker::OrderAnswer;
use monotonic_clock::Micros;

/// Within this every node serves by what was acknowledged.
const SERVE_WITHIN_SECONDS: f64 = 3.0;
/// From the acknowledgement to the end of the node that gave it.
const ACKNOWLEDGED_TO_KILL_SECONDS: f64 = 0.004;
/// Longest wait for an acknowledgement on a sound fleet.
const ACKNOWLEDGE_WITHIN_SECONDS: f64 = 6.0;

impl Trial {
    /// Sends an order and lets time pass until its operator has it accepted, to the millisecond; the
    /// generation.
    fn acknowledge(&mut self, plan: OrderPlan) -> Option<u64> {
        let name = plan.order.clone();
        self.world.send_order(plan);
        let is_accepted =
            self.world.run_until_closely(ACKNOWLEDGE_WITHIN_SECONDS, |world| world.is_order_accepted(&name));
        let seen = format!("{name}: {:?}", self.world.order_answer(&name));
        self.must(is_accepted, "a proper order is taken", &seen);
        match self.world.order_answer(&name) {
            Some(OrderAnswer::Accepted { generation }) => Some(*generation),
            _ => None,
        }
    }

    /// Every node that is up goes by this generation, or a newer one, within three seconds.
    fn must_serve(&mut self, generation: u64) {
        let began = self.world.now();
        let serves = |world: &World| behind(world, generation).is_empty();
        let is_served = self.world.run_until_closely(SERVE_WITHIN_SECONDS, serves);
        let seen = format!("generation {generation} is not at {:?}", behind(&self.world, generation));
        self.must(is_served, "everyone serves what was acknowledged within 3 s", &seen);
        self.figures.push(("serve_seconds", (self.world.now() - began) as f64 / 1e6));
    }
}

/// Nodes that are up and go by an older generation.
fn behind(world: &World, generation: u64) -> Vec<usize> {
    let is_behind =
        |number: &usize| world.status(*number).is_some_and(|status| status.generation < generation);
    world.up().into_iter().filter(is_behind).collect()
}

/// The node that writes the configuration is killed four milliseconds after it acknowledged a change:
/// the others go by that change within three seconds.
pub(crate) fn acknowledging_node_killed(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    trial.checks.refusals_fixed = 20;
    for version in 0..4 {
        let Some(owner) = trial.world.configuration_owner() else { break };
        let plan = OrderPlan::new(format!("acknowledged-{version}"), owner, Some(version), version + 1);
        let Some(generation) = trial.acknowledge(plan) else { break };
        trial.world.run_for(ACKNOWLEDGED_TO_KILL_SECONDS);
        trial.world.kill_either_way(owner);
        trial.must_serve(generation);
        trial.world.start(owner);
        trial.must_settle();
    }
    trial.verdict()
}

/// A disk node, or the node that was asked, is killed 5 to 400 milliseconds after an order was sent,
/// acknowledged or not; the order is sent again until it is answered.
pub(crate) fn killed_around_the_acknowledgement(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut dice = Rng::with_seed(seed ^ 0xaf7e);
    trial.checks.refusals_fixed = 20;
    for version in 0..6 {
        let asked = dice.usize(..10);
        let name = format!("around-{version}");
        let mut plan = OrderPlan::new(name.clone(), asked, Some(version), version + 1);
        plan.wanted_for = Micros::from_secs(40);
        trial.world.send_order(plan);
        trial.world.run_for(0.005 + dice.f64() * dice.f64() * 0.395);
        let victim = match dice.u8(..3) {
            0 => asked,
            1 => dice.usize(..3),
            _ => trial.world.configuration_owner().unwrap_or(asked),
        };
        trial.world.kill_either_way(victim);
        let is_accepted = trial.world.run_until_closely(10.0, |world| world.is_order_accepted(&name));
        let seen = format!("{name}: {:?}", trial.world.order_answer(&name));
        trial.must(is_accepted, "a proper order is taken", &seen);
        if let Some(OrderAnswer::Accepted { generation }) = trial.world.order_answer(&name).cloned() {
            trial.must_serve(generation);
        }
        trial.world.start(victim);
        trial.must_settle();
    }
    trial.verdict()
}

/// All machines with disks lose their power at once right after an acknowledgement, and are back one to
/// three seconds later: nothing acknowledged is gone, and everyone goes by it three seconds after that.
pub(crate) fn all_disks_lose_power_after_acknowledging(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut dice = Rng::with_seed(seed ^ 0x90f7);
    // A handful for each of four herds.
    trial.checks.refusals_fixed = 20;
    for version in 0..4 {
        let plan = OrderPlan::new(format!("power-{version}"), dice.usize(..10), Some(version), version + 1);
        let Some(generation) = trial.acknowledge(plan) else { break };
        trial.world.run_for(dice.f64() * 0.01);
        for number in 0..3 {
            trial.world.lose_power(number);
        }
        trial.world.run_for(1.0 + dice.f64() * 2.0);
        for number in 0..3 {
            trial.world.start(number);
        }
        trial.must_serve(generation);
        let is_confirmed = trial.reads_at_least(version + 1);
        trial.must(is_confirmed, "no acknowledged change lost", "a confirmed read shows an older version");
        trial.must_settle();
    }
    trial.verdict()
}

impl Trial {
    /// A confirmed read at any node shows this version or a newer one.
    fn reads_at_least(&mut self, version: u64) -> bool {
        let read = self.world.send_read(5);
        self.world.run_until(3.0, |world| world.read_answer(read).is_some());
        match self.world.read_answer(read) {
            Some(history_checker::ReadAnswer::Confirmed { version: shown, .. }) => *shown >= version,
            _ => true,
        }
    }
}
