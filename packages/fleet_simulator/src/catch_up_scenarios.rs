//! A disk member that missed hundreds of changes of a big configuration catches up, votes again and
//! leads.

use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::OrderPlan;
use crate::{World, WorldSettings};
use monotonic_clock::Micros;
use serde_json::{Value, json};

/// Changes that the member misses.
const CHANGES: u64 = 300;
/// Routes that are added meanwhile.
const ROUTES: usize = 350;
/// Changes under way at once.
const AT_ONCE: u64 = 8;
/// Within this a member that is back votes and goes by the newest generation.
const CAUGHT_UP_WITHIN_SECONDS: f64 = 12.0;

/// One member is down from the first of 300 changes to the last and is killed again while it catches
/// up; with odd seeds its disk is replaced by an empty one. Then it is made to lead.
pub(crate) fn hundreds_of_changes(seed: u64) -> Verdict {
    let settings = WorldSettings { node_count: 6, busy: 2, rare: 6, ..WorldSettings::default() };
    let mut trial = Trial::founded(settings, seed);
    let owner = trial.world.configuration_owner().unwrap_or(0);
    // The one that leads, or another one.
    let victim = (owner + (seed / 2 % 3) as usize) % 3;
    let is_disk_replaced = seed % 2 == 1;
    trial.checks.count_refusals = false;
    trial.world.call_rate = 20.0;
    match is_disk_replaced {
        true => trial.world.lose_disk(victim),
        false => trial.world.kill_either_way(victim),
    }
    trial.world.run_for(1.0);
    let version = trial.order_hundreds();
    trial.world.start(victim);
    // Killed again at any moment of the first half second.
    trial.world.run_for(0.02 + (seed % 12) as f64 * 0.04);
    trial.world.kill_either_way(victim);
    trial.world.run_for(0.3);
    trial.world.start(victim);
    trial.must_catch_up(victim);
    trial.must_do_without_the_others(victim, version);
    trial.must_settle();
    trial.verdict()
}

/// New routes, each a lane of its own.
fn routes(function: &str) -> Value {
    let mut lanes = json!({});
    for number in 0..ROUTES {
        lanes[format!("route-{number}")] =
            json!({"function": function, "path_prefix": format!("/routes/of/some/length/{number}")});
    }
    lanes
}

impl Trial {
    /// Makes the changes, eight at a time; the last version.
    fn order_hundreds(&mut self) -> u64 {
        let began = self.world.now();
        let function = self.world.functions()[0].clone();
        let mut version = 0;
        while version < CHANGES {
            let names: Vec<String> = (1..=AT_ONCE.min(CHANGES - version))
                .map(|number| format!("many-{}", version + number))
                .collect();
            for name in &names {
                version += 1;
                let mut plan = OrderPlan::new(name.clone(), 3 + (version % 3) as usize, None, version);
                plan.wanted_for = Micros::from_secs(30);
                if version == CHANGES / 2 {
                    plan.lanes = routes(&function);
                }
                self.world.send_order(plan);
            }
            let is_over =
                self.world.run_until(10.0, |world| names.iter().all(|name| world.is_order_over(name)));
            self.must(is_over, "orders are answered clearly", "eight orders were not answered after 10 s");
        }
        self.figures.push(("orders_seconds", (self.world.now() - began) as f64 / 1e6));
        version
    }

    /// The member votes and goes by the newest generation soon.
    fn must_catch_up(&mut self, victim: usize) {
        let began = self.world.now();
        let votes =
            |world: &World| world.is_voting(victim) && world.status(victim).is_some_and(|s| s.is_ready);
        let is_voting = self.world.run_until_closely(CAUGHT_UP_WITHIN_SECONDS, votes);
        self.must(is_voting, "a returned member catches up", "it has no vote");
        self.figures.push(("vote_seconds", (self.world.now() - began) as f64 / 1e6));
        let is_level =
            self.world.run_until_closely(CAUGHT_UP_WITHIN_SECONDS, |world| is_level(world, victim));
        self.must(is_level, "a returned member catches up", "it goes by an older generation");
        self.figures.push(("level_seconds", (self.world.now() - began) as f64 / 1e6));
        let kilobytes = self.world.disk(victim).map_or(0.0, |disk| disk.durable_bytes() as f64 / 1024.0);
        self.figures.push(("its_disk_kb", kilobytes));
        let kilobytes =
            self.world.disk((victim + 1) % 3).map_or(0.0, |disk| disk.durable_bytes() as f64 / 1024.0);
        self.figures.push(("other_disk_kb", kilobytes));
    }

    /// The other members are killed one at a time, so that the member leads unless it is the last in
    /// the order of owners; orders are taken, and it shows them in confirmed reads.
    fn must_do_without_the_others(&mut self, victim: usize, mut version: u64) {
        let mut is_led_once = false;
        for other in (0..3).filter(|number| *number != victim) {
            self.world.kill_either_way(other);
            version += 1;
            let plan = OrderPlan::new(format!("without-{other}"), victim, Some(version - 1), version);
            self.must_take(plan, 8.0);
            self.world.send_read(victim);
            self.world.run_for(1.6);
            is_led_once |= self.world.configuration_owner() == Some(victim);
            self.world.start(other);
            let votes = self.world.run_until(CAUGHT_UP_WITHIN_SECONDS, |world| world.is_voting(other));
            self.must(votes, "a returned member catches up", "a killed member has no vote");
        }
        self.figures.push(("led", f64::from(u8::from(is_led_once))));
    }
}

/// Whether a node goes by the newest generation of any.
fn is_level(world: &World, victim: usize) -> bool {
    let generation = |number: usize| world.status(number).map_or(0, |status| status.generation);
    world.up().into_iter().all(|number| generation(number) <= generation(victim))
}
