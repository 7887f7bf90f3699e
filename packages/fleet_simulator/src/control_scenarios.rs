//! Disk nodes that are cut off, freeze or return while operators go on sending orders and reads to them.

use crate::operator_clients::OperatorClients;
use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::{OrderPlan, Repeat};
use crate::{Simulation, SimulationSettings};
use fastrand::Rng;
use history_checker::OrderResponse;
use monotonic_clock::Micros;

/// How long a disk node is cut off.
const CUT_SECONDS: f64 = 20.0;
/// Disk nodes of the default fleet.
const DISK_NODES: [usize; 3] = [0, 1, 2];

/// The disk nodes except one.
fn other_disk_nodes(victim: usize) -> Vec<usize> {
    DISK_NODES.into_iter().filter(|number| *number != victim).collect()
}

/// Which links of a disk node a cut affects, and which faults are added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutKind {
    /// All links between it and the other disk nodes, both ways.
    Full,
    /// Its messages to the other disk nodes.
    OneWayOut,
    /// Their messages to it.
    OneWayIn,
    /// All links between it and every other node.
    FromEveryone,
    /// As `Full`; the seeds name only this node, and some other nodes are restarted meanwhile.
    SeedsNameVictimOnly,
    /// As `Full`; this node is restarted meanwhile, and then the other disk nodes one by one.
    DiskNodesRestarted,
}

impl CutKind {
    fn of(seed: u64) -> CutKind {
        let kinds = [
            CutKind::Full,
            CutKind::OneWayOut,
            CutKind::OneWayIn,
            CutKind::FromEveryone,
            CutKind::SeedsNameVictimOnly,
            CutKind::DiskNodesRestarted,
        ];
        kinds[(seed % kinds.len() as u64) as usize]
    }

    fn begin(self, simulation: &mut Simulation, victim: usize) {
        let others = other_disk_nodes(victim);
        match self {
            CutKind::OneWayOut => others.iter().for_each(|other| simulation.cut_one_way(victim, *other)),
            CutKind::OneWayIn => others.iter().for_each(|other| simulation.cut_one_way(*other, victim)),
            CutKind::FromEveryone => {
                let everyone: Vec<usize> = (0..10).filter(|number| *number != victim).collect();
                simulation.cut(&[victim], &everyone);
            }
            CutKind::Full | CutKind::SeedsNameVictimOnly | CutKind::DiskNodesRestarted => {
                simulation.cut(&[victim], &others)
            }
        }
    }
}

/// Kills a node and starts it again half a second later, while the operators work.
fn restart(trial: &mut Trial, operator_clients: &mut OperatorClients, number: usize) {
    trial.simulation.kill_either_way(number);
    operator_clients.work(&mut trial.simulation, 0.5);
    trial.simulation.start(number);
}

/// One disk node is cut off from the other disk nodes for twenty seconds; orders and reads go to it and to
/// others throughout, and reach it as it returns.
pub(crate) fn control_machine_cut_off(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let kind = CutKind::of(seed);
    let victim = (seed / 6 % 3) as usize;
    let mut operator_clients = OperatorClients::new(seed)
        .with_operators(2)
        .with_operator_at(victim)
        .reading_at(&[victim, (victim + 1) % 3, 3 + (seed % 7) as usize]);
    // Nodes that restart without a majority refuse calls; reported as a figure only.
    trial.checks.count_refusals = false;
    operator_clients.work(&mut trial.simulation, 3.0);
    kind.begin(&mut trial.simulation, victim);
    match kind {
        CutKind::SeedsNameVictimOnly => {
            trial.simulation.set_seeds(&[victim]);
            operator_clients.work(&mut trial.simulation, 6.0);
            for number in [4, 7] {
                restart(&mut trial, &mut operator_clients, number);
            }
            operator_clients.work(&mut trial.simulation, CUT_SECONDS - 7.0);
        }
        CutKind::DiskNodesRestarted => {
            operator_clients.work(&mut trial.simulation, 5.0);
            restart(&mut trial, &mut operator_clients, victim);
            operator_clients.work(&mut trial.simulation, 4.0);
            for number in other_disk_nodes(victim) {
                restart(&mut trial, &mut operator_clients, number);
                operator_clients.work(&mut trial.simulation, 4.0);
            }
            operator_clients.work(&mut trial.simulation, CUT_SECONDS - 18.5);
        }
        _ => operator_clients.work(&mut trial.simulation, CUT_SECONDS),
    }
    trial.simulation.heal();
    trial.simulation.set_seeds(&DISK_NODES);
    operator_clients.work(&mut trial.simulation, 3.0);
    operator_clients.close(&mut trial);
    trial.require_settled();
    trial.require_propagated();
    trial.verdict()
}

/// The owner of the configuration's key freezes, or runs at a tenth of its speed, amid orders. Once it resumes,
/// its old writes must have no effect and must not be acknowledged.
pub(crate) fn owner_frozen_amid_orders(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xf0e2);
    let mut operator_clients = OperatorClients::new(seed).with_operators(4).reading_at(&[0, 1, 2]);
    trial.checks.count_refusals = false;
    operator_clients.work(&mut trial.simulation, 2.0);
    for _ in 0..4 {
        let Some(owner) = trial.simulation.configuration_owner() else {
            operator_clients.work(&mut trial.simulation, 1.0);
            continue;
        };
        match rng.bool() {
            true => {
                let seconds = 0.3 + rng.f64() * 6.0;
                trial.simulation.freeze(owner, seconds);
                operator_clients.work(&mut trial.simulation, seconds);
            }
            false => {
                for _ in 0..12 {
                    trial.simulation.freeze(owner, 0.3);
                    operator_clients.work(&mut trial.simulation, 0.33);
                }
            }
        }
        operator_clients.work(&mut trial.simulation, rng.f64() * 2.0);
    }
    operator_clients.close(&mut trial);
    trial.require_settled();
    trial.require_propagated();
    trial.verdict()
}

/// Orders race on one version on both sides of a cut between the disk nodes, often at the owner's side.
pub(crate) fn orders_race_during_a_cut(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xacc);
    trial.checks.count_refusals = false;
    for version in 0..5 {
        let victim = trial.simulation.configuration_owner().filter(|_| rng.bool());
        let victim = victim.unwrap_or(rng.usize(..3));
        let (left, right) = random_partition(victim, &mut rng);
        trial.simulation.cut(&left, &right);
        trial.simulation.run_for(rng.f64() * 1.5);
        let mut names = Vec::new();
        for contender in 0..4 {
            let side = if contender % 2 == 0 { &left } else { &right };
            let node = rng.choice(side.iter().copied()).unwrap_or(victim);
            let name = format!("cut-{version}-{contender}");
            let mut plan = OrderPlan::new(name.clone(), node, Some(version), version + 1);
            plan.abandon_after = Micros::from_secs(40);
            plan.repeat = if rng.bool() { Repeat::SameNode } else { Repeat::OtherNode };
            trial.simulation.send_order(plan);
            names.push(name);
        }
        trial.simulation.run_for(0.5 + rng.f64() * 5.0);
        trial.simulation.heal();
        trial.require_one_accepted(&names);
    }
    trial.require_settled();
    trial.verdict()
}

/// One disk node with a random half of the nodes without disks, and all other nodes.
fn random_partition(victim: usize, rng: &mut Rng) -> (Vec<usize>, Vec<usize>) {
    let mut left = vec![victim];
    left.extend((3..10).filter(|_| rng.bool()));
    let right = (0..10).filter(|number| !left.contains(number)).collect();
    (left, right)
}

impl Trial {
    /// Exactly one of the orders on one version must be accepted; the others must be refused.
    pub(crate) fn require_one_accepted(&mut self, names: &[String]) {
        let is_over = self
            .simulation
            .run_until(8.0, |simulation| names.iter().all(|name| simulation.is_order_over(name)));
        self.require(
            is_over,
            "orders are answered clearly",
            &format!("{names:?} are not answered after 8 s"),
        );
        let accepted: Vec<&String> =
            names.iter().filter(|name| self.simulation.is_order_accepted(name)).collect();
        let seen = format!("of {names:?} these were accepted: {accepted:?}");
        let is_one = accepted.len() == 1;
        self.require(is_one, "one of the orders on a version is taken", &seen);
    }

    /// An order must be accepted within some seconds.
    pub(crate) fn require_order_accepted(&mut self, plan: OrderPlan, seconds: f64) {
        let name = plan.order.clone();
        self.simulation.send_order(plan);
        let is_accepted =
            self.simulation.run_until(seconds, |simulation| simulation.is_order_accepted(&name));
        let seen = format!("{name}: {:?} after {seconds} s", self.simulation.order_response(&name));
        self.require(is_accepted, "orders are answered clearly", &seen);
    }
}

/// Orders arrive at a disk node that was killed, cut off or frozen as it returns, from a tenth of a second
/// before that, and go to it alone until it responds.
pub(crate) fn orders_meet_a_returning_machine(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x3ee7);
    trial.checks.count_refusals = false;
    let mut version = 0;
    for round in 0..4 {
        let victim = rng.usize(..3);
        let outage_seconds = 1.0 + rng.f64() * 7.0;
        let kind = rng.u8(..3);
        match kind {
            0 => trial.simulation.kill_either_way(victim),
            1 => trial.simulation.cut(&[victim], &other_disk_nodes(victim)),
            _ => trial.simulation.freeze(victim, outage_seconds),
        }
        trial.simulation.run_for(outage_seconds / 2.0);
        // Another order is accepted meanwhile, so that the node returns with an older configuration.
        let order_meanwhile = OrderPlan::new(format!("away-{round}"), 5, Some(version), version + 1);
        trial.require_order_accepted(order_meanwhile, 10.0);
        version += 1;
        trial.simulation.run_for(outage_seconds / 2.0 - 0.1);
        let names = trial.send_to_returning_node(round, victim, version, &mut rng);
        trial.simulation.run_for(0.1);
        match kind {
            0 => trial.simulation.start(victim),
            1 => trial.simulation.heal(),
            _ => {}
        }
        trial.require_one_accepted_one_refused(&names);
        version += 1;
    }
    trial.require_settled();
    trial.verdict()
}

impl Trial {
    /// Sends two orders on one version to a node that is not back yet; they are repeated until it responds.
    fn send_to_returning_node(
        &mut self,
        round: usize,
        victim: usize,
        version: u64,
        rng: &mut Rng,
    ) -> Vec<String> {
        let names: Vec<String> = (0..2).map(|number| format!("meet-{round}-{number}")).collect();
        for name in &names {
            let mut plan = OrderPlan::new(name.clone(), victim, Some(version), version + 1);
            plan.repeat = Repeat::SameNode;
            plan.response_timeout = Micros::from_millis(50 + rng.u64(..300));
            plan.abandon_after = Micros::from_secs(40);
            self.simulation.send_order(plan);
        }
        names
    }

    fn require_one_accepted_one_refused(&mut self, names: &[String]) {
        self.require_one_accepted(names);
        let refused = names.iter().filter(|name| {
            matches!(self.simulation.order_response(name), Some(OrderResponse::RefusedVersion))
        });
        let is_one_refused = refused.count() == 1;
        self.require(is_one_refused, "one of the orders on a version is taken", "none was refused");
    }
}

/// Five disks; two of them are cut off together with a few other nodes, and orders go to both sides.
pub(crate) fn two_control_machines_cut_off(seed: u64) -> Verdict {
    let settings = SimulationSettings { disks: 5, bootstrap_disks: 5, ..SimulationSettings::default() };
    let mut trial = Trial::bootstrapped(settings, seed);
    let mut rng = Rng::with_seed(seed ^ 0x25c0);
    trial.checks.count_refusals = false;
    let mut disk_nodes: Vec<usize> = (0..5).collect();
    rng.shuffle(&mut disk_nodes);
    let small: Vec<usize> = disk_nodes[..2].iter().copied().chain([7, 8]).collect();
    let large: Vec<usize> = (0..10).filter(|number| !small.contains(number)).collect();
    let mut operator_clients = OperatorClients::new(seed)
        .with_operators(2)
        .with_operator_at(small[0])
        .with_operator_at(small[2])
        .reading_at(&[small[0], small[1], small[3], large[0]]);
    operator_clients.work(&mut trial.simulation, 2.0);
    trial.simulation.cut(&small, &large);
    operator_clients.work(&mut trial.simulation, CUT_SECONDS / 2.0);
    // A node on the minority side restarts without a majority and must not rely on its own stored state alone.
    restart(&mut trial, &mut operator_clients, small[1]);
    operator_clients.work(&mut trial.simulation, CUT_SECONDS / 2.0);
    trial.simulation.heal();
    operator_clients.work(&mut trial.simulation, 3.0);
    operator_clients.close(&mut trial);
    trial.require_settled();
    trial.require_propagated();
    trial.verdict()
}

/// Orders sent to one isolated node; more than it queues.
const SPIKE_ORDERS: u64 = 300;

/// A disk node is cut off from every other node and receives 300 orders at once: it must accept none before it
/// is back, and accept orders again afterwards.
pub(crate) fn orders_crowd_at_a_cut_off_machine(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xc0ffee);
    trial.checks.count_refusals = false;
    let victim = (seed % 3) as usize;
    CutKind::FromEveryone.begin(&mut trial.simulation, victim);
    trial.simulation.run_for(rng.f64() * 4.0);
    let names: Vec<String> = (1..=SPIKE_ORDERS).map(|version| format!("crowd-{version}")).collect();
    for (number, name) in names.iter().enumerate() {
        let mut plan = OrderPlan::new(name.clone(), victim, None, number as u64 + 1);
        plan.repeat = Repeat::SameNode;
        plan.response_timeout = Micros::from_secs(3);
        plan.abandon_after = Micros::from_secs(4);
        trial.simulation.send_order(plan);
    }
    trial.simulation.run_for(4.0);
    let is_any_taken = names.iter().any(|name| trial.simulation.is_order_accepted(name));
    trial.require(!is_any_taken, "no second state", "a machine took an order by itself");
    trial.simulation.heal();
    trial.require_settled();
    trial.require_order_accepted(OrderPlan::new("after", victim, None, SPIKE_ORDERS + 1), 6.0);
    trial.verdict()
}
