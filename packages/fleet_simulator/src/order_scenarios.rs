//! Orders that are in progress at once, race on one version, or are sent again after a lost response.

use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::OrderPlan;
use fastrand::Rng;
use monotonic_clock::Micros;

/// Orders in progress at once.
const CONCURRENT_ORDERS: u64 = 8;

/// Index of the order, of eight, that may be invalid.
const INVALID_ORDER_INDEX: usize = 3;

/// Eight orders at once with rising versions, or all on one version, ten times; in some rounds a node is killed
/// and started again.
pub(crate) fn eight_orders_at_once(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x8a71);
    let mut version = 0;
    for round in 0..10 {
        let is_race = rng.bool();
        let names: Vec<String> =
            (0..CONCURRENT_ORDERS).map(|number| format!("eight-{round}-{number}")).collect();
        for (number, name) in names.iter().enumerate() {
            let (expected, next) = match is_race {
                true => (Some(version), version + 1),
                false => (None, version + 1 + number as u64),
            };
            let mut plan = OrderPlan::new(name.clone(), rng.usize(..10), expected, next);
            // One order in the middle is invalid in some rounds.
            plan.is_proper = is_race || number != INVALID_ORDER_INDEX || rng.bool();
            trial.simulation.send_order(plan);
        }
        trial.simulation.run_for(rng.f64() * 0.02);
        let victim = (round % 3 == 2).then(|| rng.usize(..10));
        if let Some(victim) = victim {
            trial.simulation.kill_either_way(victim);
        }
        let is_over = trial
            .simulation
            .run_until(10.0, |simulation| names.iter().all(|name| simulation.is_order_over(name)));
        trial.require(is_over, "orders are answered clearly", "eight orders were not answered after 10 s");
        match is_race {
            true => trial.require_one_accepted(&names),
            false => {
                let is_highest_taken = trial.simulation.is_order_accepted(&names[names.len() - 1]);
                trial.require(is_highest_taken, "proper orders are taken", "the highest version was refused");
            }
        }
        version += if is_race { 1 } else { CONCURRENT_ORDERS };
        if let Some(victim) = victim {
            trial.simulation.start(victim);
            trial.require_settled();
        }
    }
    trial.require_settled();
    trial.verdict()
}

/// Two operators always send orders on the same version within a few milliseconds, at one node or two; some
/// disks lose power and some responses are lost.
pub(crate) fn orders_race_on_one_version(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x2ace);
    trial.checks.refusals_fixed = 20;
    for version in 0..25 {
        trial.simulation.lose_responses(if rng.u8(..3) == 0 { 0.3 } else { 0.0 });
        let names = [format!("race-{version}-a"), format!("race-{version}-b")];
        for name in &names {
            let mut plan = OrderPlan::new(name.clone(), rng.usize(..10), Some(version), version + 1);
            plan.abandon_after = Micros::from_secs(40);
            trial.simulation.send_order(plan);
            trial.simulation.run_for(rng.f64() * 0.004);
        }
        if version % 8 == 7 {
            let victim = trial.simulation.configuration_owner().unwrap_or(rng.usize(..3));
            trial.simulation.kill_either_way(victim);
            trial.require_one_accepted(&names);
            trial.simulation.start(victim);
            trial.require_settled();
            continue;
        }
        trial.require_one_accepted(&names);
    }
    trial.require_settled();
    trial.verdict()
}

/// What happens between the first attempt of an order and the next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Interruption {
    Nothing,
    /// The owner of the configuration's key is killed and is back two seconds later.
    OwnerKilled,
    /// Every node is killed and started again.
    AllRestarted,
    /// The order is sent again after a few milliseconds, before the first attempt is settled.
    SentAtOnce,
}

/// Half of all responses are lost, and orders are sent again to other nodes: across a change of the owner, a
/// restart of all nodes, and before the first attempt is settled. Older orders are sent again as well.
pub(crate) fn lost_answers_repeated(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x105e);
    trial.checks.count_refusals = false;
    trial.simulation.lose_responses(0.5);
    let kinds = [
        Interruption::Nothing,
        Interruption::OwnerKilled,
        Interruption::AllRestarted,
        Interruption::SentAtOnce,
    ];
    for version in 0..12 {
        let interruption = kinds[(seed as usize + version as usize) % kinds.len()];
        let name = format!("lost-{version}");
        let mut plan = OrderPlan::new(name.clone(), rng.usize(..10), Some(version), version + 1);
        plan.abandon_after = Micros::from_secs(60);
        if interruption == Interruption::SentAtOnce {
            plan.response_timeout = Micros::from_millis(1 + rng.u64(..12));
        }
        trial.simulation.send_order(plan);
        trial.simulation.run_for(0.001 + rng.f64() * 0.03);
        trial.interrupt(interruption);
        let is_accepted = trial.simulation.run_until(20.0, |simulation| simulation.is_order_accepted(&name));
        let seen = format!("{name} ({interruption:?}): {:?}", trial.simulation.order_response(&name));
        trial.require(is_accepted, "a proper order is taken", &seen);
        // Older orders are sent again.
        for _ in 0..2 {
            let older = format!("lost-{}", rng.u64(..=version));
            let node = rng.usize(..10);
            trial.simulation.repeat_order(&older, node);
        }
        trial.simulation.run_for(1.6);
    }
    trial.require_settled();
    trial.verdict()
}

impl Trial {
    fn interrupt(&mut self, interruption: Interruption) {
        match interruption {
            Interruption::Nothing | Interruption::SentAtOnce => {}
            Interruption::OwnerKilled => {
                let Some(owner) = self.simulation.configuration_owner() else { return };
                self.simulation.kill_either_way(owner);
                self.simulation.run_for(2.0);
                self.simulation.start(owner);
            }
            Interruption::AllRestarted => {
                for number in 0..10 {
                    self.simulation.kill_either_way(number);
                }
                self.simulation.run_for(0.5);
                for number in 0..10 {
                    self.simulation.start(number);
                }
            }
        }
    }
}
