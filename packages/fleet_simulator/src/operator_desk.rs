//! Operators at work: each makes one order after another on the version that it knows of, and reads
//! the configuration after a refusal; others read at chosen nodes all the while.

use crate::World;
use crate::scenarios::Trial;
use crate::sim_operators::{OrderPlan, Repeat};
use fastrand::Rng;
use history_checker::ReadAnswer;

/// Between two looks of the operators at what was answered.
const LOOK_SECONDS: f64 = 0.05;
/// Between two orders of one operator.
const ORDER_PAUSE: u64 = 300_000;
/// Between two reads at each watched node.
const READ_PAUSE: u64 = 400_000;
/// Within this every order is answered clearly once all machines are back.
const CLEAR_WITHIN_SECONDS: f64 = 8.0;

/// One operator.
struct Operator {
    name: String,
    /// The one node that it sends to, and goes on sending to; any node if none.
    only_node: Option<usize>,
    known_version: u64,
    order_count: u64,
    /// The order that is not answered clearly yet, with its version.
    current: Option<(String, u64)>,
    reading: Option<u64>,
    next_at: u64,
}

impl Operator {
    fn look(&mut self, world: &mut World, dice: &mut Rng, is_closing: bool) {
        if let Some(read) = self.reading {
            match world.read_answer(read) {
                None => return,
                Some(ReadAnswer::Confirmed { version, .. }) => {
                    self.known_version = *version;
                    self.reading = None;
                }
                Some(ReadAnswer::NoMajority | ReadAnswer::Lost) => {
                    self.read(world, dice);
                    return;
                }
            }
        }
        if let Some((order, version)) = &self.current {
            if !world.is_order_over(order) {
                return;
            }
            let is_accepted = world.is_order_accepted(order);
            if is_accepted {
                self.known_version = *version;
            }
            self.current = None;
            self.next_at = world.now() + dice.u64(0..ORDER_PAUSE * 2);
            if !is_accepted {
                self.read(world, dice);
                return;
            }
        }
        if !is_closing && world.now() >= self.next_at {
            self.order(world, dice);
        }
    }

    fn node(&self, world: &World, dice: &mut Rng) -> usize {
        let drawn = || dice.choice(world.up()).unwrap_or(0);
        self.only_node.unwrap_or_else(drawn)
    }

    fn read(&mut self, world: &mut World, dice: &mut Rng) {
        // A version is learnt anywhere, also by who orders at one node.
        let node = dice.choice(world.up()).unwrap_or(0);
        self.reading = Some(world.send_read(node));
    }

    fn order(&mut self, world: &mut World, dice: &mut Rng) {
        self.order_count += 1;
        let order = format!("{}-{}", self.name, self.order_count);
        let version = self.known_version + 1;
        let node = self.node(world, dice);
        let mut plan = OrderPlan::new(order.clone(), node, Some(self.known_version), version);
        plan.wanted_for = monotonic_clock::Micros::from_secs(60);
        if self.only_node.is_some() {
            plan.repeat = Repeat::SameNode;
        }
        world.send_order(plan);
        self.current = Some((order, version));
    }
}

/// All operators of a trial. Example: `Desk::new(seed).with_operators(2).reading_at(&[0, 4])`.
pub(crate) struct Desk {
    operators: Vec<Operator>,
    read_at: Vec<usize>,
    next_read_at: u64,
    dice: Rng,
}

impl Desk {
    pub fn new(seed: u64) -> Desk {
        let dice = Rng::with_seed(seed ^ 0x0de5);
        Desk { operators: Vec::new(), read_at: Vec::new(), next_read_at: 0, dice }
    }

    /// Operators who send to any node, the next time to another.
    pub fn with_operators(mut self, count: usize) -> Desk {
        for _ in 0..count {
            self.add(None);
        }
        self
    }

    /// An operator who sends to one node again and again.
    pub fn with_operator_at(mut self, node: usize) -> Desk {
        self.add(Some(node));
        self
    }

    /// Nodes that are asked for the configuration all the while.
    pub fn reading_at(mut self, nodes: &[usize]) -> Desk {
        self.read_at = nodes.to_vec();
        self
    }

    fn add(&mut self, only_node: Option<usize>) {
        let name = format!("operator{}", self.operators.len());
        self.operators.push(Operator {
            name,
            only_node,
            known_version: 0,
            order_count: 0,
            current: None,
            reading: None,
            next_at: 0,
        });
    }

    /// Lets the operators work for some seconds. Example: `desk.work(&mut trial.world, 20.0)`.
    pub fn work(&mut self, world: &mut World, seconds: f64) {
        let end = world.now() + (seconds * 1e6) as u64;
        while world.now() < end {
            self.look(world, false);
            let left = (end - world.now()) as f64 / 1e6;
            world.run_for(left.min(LOOK_SECONDS));
        }
    }

    fn look(&mut self, world: &mut World, is_closing: bool) {
        for operator in &mut self.operators {
            operator.look(world, &mut self.dice, is_closing);
        }
        if world.now() < self.next_read_at || is_closing {
            return;
        }
        self.next_read_at = world.now() + READ_PAUSE;
        for node in &self.read_at {
            world.send_read(*node);
        }
    }

    fn is_idle(&self) -> bool {
        self.operators.iter().all(|operator| operator.current.is_none() && operator.reading.is_none())
    }

    /// No new orders are made; all machines are back, and what is open must be answered clearly soon.
    pub fn close(&mut self, trial: &mut Trial) {
        let end = trial.world.now() + (CLEAR_WITHIN_SECONDS * 1e6) as u64;
        while !self.is_idle() && trial.world.now() < end {
            self.look(&mut trial.world, true);
            trial.world.run_for(LOOK_SECONDS);
        }
        let open: Vec<&String> =
            self.operators.iter().filter_map(|operator| Some(&operator.current.as_ref()?.0)).collect();
        let seen = format!("{open:?} had no clear answer {CLEAR_WITHIN_SECONDS} s after all were back");
        trial.must(open.is_empty(), "orders are answered clearly", &seen);
        trial
            .figures
            .push(("orders", self.operators.iter().map(|operator| operator.order_count as f64).sum()));
    }
}
