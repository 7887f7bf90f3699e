//! Control machines that are cut off, stand still or return, while operators go on ordering and
//! reading at them all the while.

use crate::operator_clients::OperatorClients;
use crate::scenarios::{Trial, Verdict};
use crate::sim_operators::{OrderPlan, Repeat};
use crate::{Simulation, SimulationSettings};
use fastrand::Rng;
use history_checker::OrderResponse;
use monotonic_clock::Micros;

/// How long a control machine is cut off.
const CUT_SECONDS: f64 = 20.0;
/// Disk machines of the default fleet.
const DISK_NODES: [usize; 3] = [0, 1, 2];

/// The disk nodes but one.
fn other_disk_nodes(victim: usize) -> Vec<usize> {
    DISK_NODES.into_iter().filter(|number| *number != victim).collect()
}

/// What the cut of a control machine loses, and what happens besides.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutKind {
    /// All between it and the other disk nodes, both ways.
    Full,
    /// What it sends to the other disk nodes.
    OneWayOut,
    /// What they send to it.
    OneWayIn,
    /// All between it and every other node.
    FromEveryone,
    /// Full; the seeds name only it, and some other nodes are restarted meanwhile.
    SeedsNameIt,
    /// Full; it is restarted meanwhile, and then the other disk nodes one by one.
    BothRestarted,
}

impl CutKind {
    fn of(seed: u64) -> CutKind {
        let kinds = [
            CutKind::Full,
            CutKind::OneWayOut,
            CutKind::OneWayIn,
            CutKind::FromEveryone,
            CutKind::SeedsNameIt,
            CutKind::BothRestarted,
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
            CutKind::Full | CutKind::SeedsNameIt | CutKind::BothRestarted => {
                simulation.cut(&[victim], &others)
            }
        }
    }
}

/// A node is killed and started again half a second later, while the operators work.
fn restart(trial: &mut Trial, operator_clients: &mut OperatorClients, number: usize) {
    trial.simulation.kill_either_way(number);
    operator_clients.work(&mut trial.simulation, 0.5);
    trial.simulation.start(number);
}

/// One disk node is cut off from the other disk nodes for twenty seconds; orders and reads go to it and
/// to others all the while, and meet it at its return.
pub(crate) fn control_machine_cut_off(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let kind = CutKind::of(seed);
    let victim = (seed / 6 % 3) as usize;
    let mut operator_clients = OperatorClients::new(seed)
        .with_operators(2)
        .with_operator_at(victim)
        .reading_at(&[victim, (victim + 1) % 3, 3 + (seed % 7) as usize]);
    // Nodes that restart without hearing a majority refuse what they get: told as a figure.
    trial.checks.count_refusals = false;
    operator_clients.work(&mut trial.simulation, 3.0);
    kind.begin(&mut trial.simulation, victim);
    match kind {
        CutKind::SeedsNameIt => {
            trial.simulation.set_seeds(&[victim]);
            operator_clients.work(&mut trial.simulation, 6.0);
            for number in [4, 7] {
                restart(&mut trial, &mut operator_clients, number);
            }
            operator_clients.work(&mut trial.simulation, CUT_SECONDS - 7.0);
        }
        CutKind::BothRestarted => {
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
    trial.must_settle();
    trial.must_propagate();
    trial.verdict()
}

/// Whoever owns the configuration's key stands still, or runs at a tenth of its pace, amid orders: once
/// it wakes its old writes take no effect, and nobody is told that they did.
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
    trial.must_settle();
    trial.must_propagate();
    trial.verdict()
}

/// Orders race on one version at both sides of a cut between the disk nodes, at the owner's above all.
pub(crate) fn orders_race_during_a_cut(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xacc);
    trial.checks.count_refusals = false;
    for version in 0..5 {
        let victim = trial.simulation.configuration_owner().filter(|_| rng.bool());
        let victim = victim.unwrap_or(rng.usize(..3));
        let (left, right) = sides_of_a_cut(victim, &mut rng);
        trial.simulation.cut(&left, &right);
        trial.simulation.run_for(rng.f64() * 1.5);
        let mut names = Vec::new();
        for racer in 0..4 {
            let side = if racer % 2 == 0 { &left } else { &right };
            let node = rng.choice(side.iter().copied()).unwrap_or(victim);
            let name = format!("cut-{version}-{racer}");
            let mut plan = OrderPlan::new(name.clone(), node, Some(version), version + 1);
            plan.wanted_for = Micros::from_secs(40);
            plan.repeat = if rng.bool() { Repeat::SameNode } else { Repeat::OtherNode };
            trial.simulation.send_order(plan);
            names.push(name);
        }
        trial.simulation.run_for(0.5 + rng.f64() * 5.0);
        trial.simulation.heal();
        trial.must_have_one_winner(&names);
    }
    trial.must_settle();
    trial.verdict()
}

/// A disk node with one half of the others, and the rest.
fn sides_of_a_cut(victim: usize, rng: &mut Rng) -> (Vec<usize>, Vec<usize>) {
    let mut left = vec![victim];
    left.extend((3..10).filter(|_| rng.bool()));
    let right = (0..10).filter(|number| !left.contains(number)).collect();
    (left, right)
}

impl Trial {
    /// Of orders on one version exactly one is accepted in the end, and the others are refused.
    pub(crate) fn must_have_one_winner(&mut self, names: &[String]) {
        let is_over = self
            .simulation
            .run_until(8.0, |simulation| names.iter().all(|name| simulation.is_order_over(name)));
        self.must(is_over, "orders are answered clearly", &format!("{names:?} are not answered after 8 s"));
        let accepted: Vec<&String> =
            names.iter().filter(|name| self.simulation.is_order_accepted(name)).collect();
        let seen = format!("of {names:?} these were accepted: {accepted:?}");
        let is_one = accepted.len() == 1;
        self.must(is_one, "one of the orders on a version is taken", &seen);
    }

    /// An order is accepted within some seconds.
    pub(crate) fn must_take(&mut self, plan: OrderPlan, seconds: f64) {
        let name = plan.order.clone();
        self.simulation.send_order(plan);
        let is_accepted =
            self.simulation.run_until(seconds, |simulation| simulation.is_order_accepted(&name));
        let seen = format!("{name}: {:?} after {seconds} s", self.simulation.order_response(&name));
        self.must(is_accepted, "orders are answered clearly", &seen);
    }
}

/// Orders meet a disk machine that was killed, cut off or frozen at its return, from a tenth of a second
/// before it on, and are sent to it alone until it answers.
pub(crate) fn orders_meet_a_returning_machine(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0x3ee7);
    trial.checks.count_refusals = false;
    let mut version = 0;
    for round in 0..4 {
        let victim = rng.usize(..3);
        let away = 1.0 + rng.f64() * 7.0;
        let kind = rng.u8(..3);
        match kind {
            0 => trial.simulation.kill_either_way(victim),
            1 => trial.simulation.cut(&[victim], &other_disk_nodes(victim)),
            _ => trial.simulation.freeze(victim, away),
        }
        trial.simulation.run_for(away / 2.0);
        // Others order meanwhile, so that it returns with an older configuration.
        let meanwhile = OrderPlan::new(format!("away-{round}"), 5, Some(version), version + 1);
        trial.must_take(meanwhile, 10.0);
        version += 1;
        trial.simulation.run_for(away / 2.0 - 0.1);
        let meeting = trial.meet(round, victim, version, &mut rng);
        trial.simulation.run_for(0.1);
        match kind {
            0 => trial.simulation.start(victim),
            1 => trial.simulation.heal(),
            _ => {}
        }
        trial.must_be_met(&meeting);
        version += 1;
    }
    trial.must_settle();
    trial.verdict()
}

impl Trial {
    /// Two orders on one version go to a node that is not back yet, and go on until it answers.
    fn meet(&mut self, round: usize, victim: usize, version: u64, rng: &mut Rng) -> Vec<String> {
        let names: Vec<String> = (0..2).map(|number| format!("meet-{round}-{number}")).collect();
        for name in &names {
            let mut plan = OrderPlan::new(name.clone(), victim, Some(version), version + 1);
            plan.repeat = Repeat::SameNode;
            plan.silence = Micros::from_millis(50 + rng.u64(..300));
            plan.wanted_for = Micros::from_secs(40);
            self.simulation.send_order(plan);
        }
        names
    }

    fn must_be_met(&mut self, names: &[String]) {
        self.must_have_one_winner(names);
        let refused = names.iter().filter(|name| {
            matches!(self.simulation.order_response(name), Some(OrderResponse::RefusedVersion))
        });
        let is_one_refused = refused.count() == 1;
        self.must(is_one_refused, "one of the orders on a version is taken", "none was refused");
    }
}

/// Five disks, two of them cut off with a third of the nodes; orders go to both sides.
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
    // One on the small side restarts without a majority and must not go by what it remembers alone.
    restart(&mut trial, &mut operator_clients, small[1]);
    operator_clients.work(&mut trial.simulation, CUT_SECONDS / 2.0);
    trial.simulation.heal();
    operator_clients.work(&mut trial.simulation, 3.0);
    operator_clients.close(&mut trial);
    trial.must_settle();
    trial.must_propagate();
    trial.verdict()
}

/// Orders that meet one machine which no colleague reaches; more than it keeps waiting.
const SPIKE: u64 = 300;

/// A disk machine is cut off from everyone, and 300 orders come to it at once: none of them is refused
/// for that, and none is taken before it is back.
pub(crate) fn orders_crowd_at_a_cut_off_machine(seed: u64) -> Verdict {
    let mut trial = Trial::default(seed);
    let mut rng = Rng::with_seed(seed ^ 0xc0ffee);
    trial.checks.count_refusals = false;
    let victim = (seed % 3) as usize;
    CutKind::FromEveryone.begin(&mut trial.simulation, victim);
    trial.simulation.run_for(rng.f64() * 4.0);
    let names: Vec<String> = (1..=SPIKE).map(|version| format!("crowd-{version}")).collect();
    for (number, name) in names.iter().enumerate() {
        let mut plan = OrderPlan::new(name.clone(), victim, None, number as u64 + 1);
        plan.repeat = Repeat::SameNode;
        plan.silence = Micros::from_secs(3);
        plan.wanted_for = Micros::from_secs(4);
        trial.simulation.send_order(plan);
    }
    trial.simulation.run_for(4.0);
    let is_any_taken = names.iter().any(|name| trial.simulation.is_order_accepted(name));
    trial.must(!is_any_taken, "no second state", "a machine took an order by itself");
    trial.simulation.heal();
    trial.must_settle();
    trial.must_take(OrderPlan::new("after", victim, None, SPIKE + 1), 6.0);
    trial.verdict()
}
