//! Operator clients: each sends one order after another based on the version it knows, and reads the
//! configuration after a refusal. Further reads go to chosen nodes throughout.

use crate::Simulation;
use crate::scenarios::Trial;
use crate::sim_operators::{OrderPlan, Repeat};
use fastrand::Rng;
use history_checker::ReadResponse;

/// Interval at which operators check for responses.
const CHECK_SECONDS: f64 = 0.05;
/// Mean pause between two orders of one operator.
const ORDER_PAUSE_MICROS: u64 = 300_000;
/// Interval between two reads at each watched node.
const READ_PAUSE_MICROS: u64 = 400_000;
/// Every order has a definite response within this time once all machines are back.
const CLEAR_WITHIN_SECONDS: f64 = 8.0;

/// One operator.
struct Operator {
    name: String,
    /// The only node that it sends orders to; `None` for a random node each time.
    only_node: Option<usize>,
    known_version: u64,
    order_count: u64,
    /// The order without a definite response yet, with its version.
    current: Option<(String, u64)>,
    reading: Option<u64>,
    next_at: u64,
}

impl Operator {
    fn poll(&mut self, simulation: &mut Simulation, rng: &mut Rng, is_closing: bool) {
        if let Some(read) = self.reading {
            match simulation.read_response(read) {
                None => return,
                Some(ReadResponse::Confirmed { version, .. }) => {
                    self.known_version = *version;
                    self.reading = None;
                }
                Some(ReadResponse::NoMajority | ReadResponse::Lost) => {
                    self.read(simulation, rng);
                    return;
                }
            }
        }
        if let Some((order, version)) = &self.current {
            if !simulation.is_order_over(order) {
                return;
            }
            let is_accepted = simulation.is_order_accepted(order);
            if is_accepted {
                self.known_version = *version;
            }
            self.current = None;
            self.next_at = simulation.now() + rng.u64(0..ORDER_PAUSE_MICROS * 2);
            if !is_accepted {
                self.read(simulation, rng);
                return;
            }
        }
        if !is_closing && simulation.now() >= self.next_at {
            self.order(simulation, rng);
        }
    }

    fn node(&self, simulation: &Simulation, rng: &mut Rng) -> usize {
        let random = || rng.choice(simulation.up()).unwrap_or(0);
        self.only_node.unwrap_or_else(random)
    }

    fn read(&mut self, simulation: &mut Simulation, rng: &mut Rng) {
        // Reads go to any node, also for an operator that sends its orders to one node.
        let node = rng.choice(simulation.up()).unwrap_or(0);
        self.reading = Some(simulation.send_read(node));
    }

    fn order(&mut self, simulation: &mut Simulation, rng: &mut Rng) {
        self.order_count += 1;
        let order = format!("{}-{}", self.name, self.order_count);
        let version = self.known_version + 1;
        let node = self.node(simulation, rng);
        let mut plan = OrderPlan::new(order.clone(), node, Some(self.known_version), version);
        plan.abandon_after = monotonic_clock::Micros::from_secs(60);
        if self.only_node.is_some() {
            plan.repeat = Repeat::SameNode;
        }
        simulation.send_order(plan);
        self.current = Some((order, version));
    }
}

/// All operator clients of a trial.
/// Example: `OperatorClients::new(seed).with_operators(2).reading_at(&[0, 4])`.
pub(crate) struct OperatorClients {
    operators: Vec<Operator>,
    read_at: Vec<usize>,
    next_read_at: u64,
    rng: Rng,
}

impl OperatorClients {
    pub fn new(seed: u64) -> OperatorClients {
        let rng = Rng::with_seed(seed ^ 0x0de5);
        OperatorClients { operators: Vec::new(), read_at: Vec::new(), next_read_at: 0, rng }
    }

    /// Adds operators that send each order to a random node and repeat it at others.
    pub fn with_operators(mut self, count: usize) -> OperatorClients {
        for _ in 0..count {
            self.add(None);
        }
        self
    }

    /// Adds an operator that sends all its orders to one node.
    pub fn with_operator_at(mut self, node: usize) -> OperatorClients {
        self.add(Some(node));
        self
    }

    /// Sets the nodes whose configuration is read throughout.
    pub fn reading_at(mut self, nodes: &[usize]) -> OperatorClients {
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

    /// Runs the operators for some seconds. Example: `operator_clients.work(&mut trial.simulation, 20.0)`.
    pub fn work(&mut self, simulation: &mut Simulation, seconds: f64) {
        let end = simulation.now() + (seconds * 1e6) as u64;
        while simulation.now() < end {
            self.poll(simulation, false);
            let left = (end - simulation.now()) as f64 / 1e6;
            simulation.run_for(left.min(CHECK_SECONDS));
        }
    }

    fn poll(&mut self, simulation: &mut Simulation, is_closing: bool) {
        for operator in &mut self.operators {
            operator.poll(simulation, &mut self.rng, is_closing);
        }
        if simulation.now() < self.next_read_at || is_closing {
            return;
        }
        self.next_read_at = simulation.now() + READ_PAUSE_MICROS;
        for node in &self.read_at {
            simulation.send_read(*node);
        }
    }

    fn is_idle(&self) -> bool {
        self.operators.iter().all(|operator| operator.current.is_none() && operator.reading.is_none())
    }

    /// Sends no new orders and requires a definite response to each open one soon; all machines are back by
    /// now.
    pub fn close(&mut self, trial: &mut Trial) {
        let end = trial.simulation.now() + (CLEAR_WITHIN_SECONDS * 1e6) as u64;
        while !self.is_idle() && trial.simulation.now() < end {
            self.poll(&mut trial.simulation, true);
            trial.simulation.run_for(CHECK_SECONDS);
        }
        let open: Vec<&String> =
            self.operators.iter().filter_map(|operator| Some(&operator.current.as_ref()?.0)).collect();
        let seen = format!("{open:?} had no clear answer {CLEAR_WITHIN_SECONDS} s after all were back");
        trial.require(open.is_empty(), "orders are answered clearly", &seen);
        trial
            .figures
            .push(("orders", self.operators.iter().map(|operator| operator.order_count as f64).sum()));
    }
}
