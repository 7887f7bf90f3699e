//! Operators who name versions: an order is sent again unchanged until it has a definite response, and reads
//! are confirmed. The history records each attempt with its begin and end.

use crate::simulation::{Simulation, SimulationEvent};
use configuration_schema::{
    Change, ChangeOutcome, Configuration, EXPECTED_VERSION, Reason, StoredConfiguration,
};
use history_checker::{Line, OrderResponse, ReadResponse};
use monotonic_clock::Micros;
use node_protocol::Event;
use serde_json::{Value, json};
use std::collections::BTreeMap;

/// The route that each order replaces; its path names the order that was applied last.
const LAST_ORDER_ROUTE: &str = "last-order";
const LAST_ORDER_PREFIX: &str = "/last-order/";
/// The path in the refusal reason for a version that is not higher than the current one.
const VERSION_PATH: &str = "/version";
/// Pause before the next attempt after an indefinite response.
const REPEAT_PAUSE_MICROS: u64 = 100_000;

/// Which node an order is sent to next. Example: `Repeat::OtherNode`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Another node that is up, chosen at random.
    OtherNode,
    /// The same node each time.
    SameNode,
}

/// An order as its operator plans it. Example: `OrderPlan::new("o1", 3, Some(4), 5)`.
#[derive(Clone, Debug)]
pub struct OrderPlan {
    /// The order's name, the same for each attempt.
    pub order: String,
    /// The node of the first attempt.
    pub node: usize,
    /// The version that it builds on, if it names one.
    pub expected_version: Option<u64>,
    /// The version that it creates.
    pub version: u64,
    /// Which node further attempts go to.
    pub repeat: Repeat,
    /// It is sent again after this long without a response.
    pub response_timeout: Micros,
    /// It is abandoned after this long.
    pub abandon_after: Micros,
    /// Routes that it sets besides its own markers.
    pub routes: Value,
    /// Whether the order is valid; an invalid one has to be refused.
    pub is_proper: bool,
}

impl OrderPlan {
    /// A valid order that is sent to another node after one second without a response, for twenty seconds.
    /// Example: `OrderPlan::new("o1", 3, Some(4), 5)`.
    pub fn new(order: impl Into<String>, node: usize, expected_version: Option<u64>, version: u64) -> Self {
        OrderPlan {
            order: order.into(),
            node,
            expected_version,
            version,
            repeat: Repeat::OtherNode,
            response_timeout: Micros::from_secs(1),
            abandon_after: Micros::from_secs(20),
            routes: json!({}),
            is_proper: true,
        }
    }
}

/// An order in progress.
struct SimOrder {
    plan: OrderPlan,
    change: Change,
    gives_up_at: u64,
    attempt_count: u64,
    last_node: usize,
    /// The first definite response that the operator received.
    settled: Option<OrderResponse>,
}

/// An attempt that its node has not responded to yet.
struct OpenAttempt {
    order: String,
    attempt: u64,
    node: usize,
}

/// A read that its node has not responded to yet.
struct OpenRead {
    read: u64,
    node: usize,
}

/// Orders and reads of all operators.
#[derive(Default)]
pub(crate) struct SimOperators {
    orders: BTreeMap<String, SimOrder>,
    /// By request id at the node.
    attempts: BTreeMap<u64, OpenAttempt>,
    reads: BTreeMap<u64, OpenRead>,
    /// Responses to reads, by read number.
    read_responses: BTreeMap<u64, ReadResponse>,
    next_request: u64,
    /// Share of responses to orders that are lost on the way to the operator.
    lost_responses: f64,
}

/// Scheduled events of operators.
pub(crate) enum OperatorEvent {
    /// An order is sent, unless it is settled.
    Sends { order: String },
    /// An attempt reaches its node.
    Arrives { request: u64 },
    /// An attempt has had no response until now.
    ResponseTimeout { order: String, attempt: u64 },
    /// A response reaches the operator.
    ResponseArrives { order: String, attempt: u64, response: OrderResponse },
    /// A read reaches its node.
    ReadArrives { request: u64 },
    /// A read's response reaches the operator.
    ReadResponseArrives { read: u64, response: ReadResponse },
}

impl Simulation {
    /// Sets the share of responses to orders that are lost from now on.
    /// Example: `simulation.lose_responses(0.3)`.
    pub fn lose_responses(&mut self, share: f64) {
        self.operators.lost_responses = share;
    }

    /// Sends an order, repeatedly until it has a definite response.
    /// Example: `simulation.send_order(OrderPlan::new("o1", 3, Some(0), 1))`.
    pub fn send_order(&mut self, plan: OrderPlan) {
        let order = plan.order.clone();
        let sim_order = SimOrder {
            change: self.change_of(&plan),
            gives_up_at: self.now + plan.abandon_after.0,
            attempt_count: 0,
            last_node: plan.node,
            settled: None,
            plan,
        };
        self.operators.orders.insert(order.clone(), sim_order);
        self.send_next_attempt(&order);
    }

    /// The change that nodes receive: it adds the order's marker and names the order as the last one.
    fn change_of(&self, plan: &OrderPlan) -> Change {
        let function = match plan.is_proper {
            true => self.functions()[0].clone(),
            false => "no-such-function".to_owned(),
        };
        let order = &plan.order;
        let mut routes = plan.routes.clone();
        let last_order = format!("{LAST_ORDER_PREFIX}{order}");
        routes[LAST_ORDER_ROUTE] = json!({"function": function, "path_prefix": last_order});
        routes[format!("mark-{order}")] =
            json!({"function": function, "path_prefix": format!("/mark/{order}")});
        Change {
            change_id: order.clone(),
            expected_version: plan.expected_version,
            version: Some(plan.version),
            partial: Some(json!({ "lanes": routes })),
            ..Change::default()
        }
    }

    /// The first definite response that an order's operator received.
    /// Example: `simulation.order_response("o1")`.
    pub fn order_response(&self, order: &str) -> Option<&OrderResponse> {
        self.operators.orders.get(order)?.settled.as_ref()
    }

    /// Whether an order's operator received an acceptance. Example: `simulation.is_order_accepted("o1")`.
    pub fn is_order_accepted(&self, order: &str) -> bool {
        matches!(self.order_response(order), Some(OrderResponse::Accepted { .. }))
    }

    /// Whether an order is over: it has a definite response, or its operator has abandoned it.
    /// Example: `simulation.is_order_over("o1")`.
    pub fn is_order_over(&self, order: &str) -> bool {
        let sim_order = self.operators.orders.get(order);
        sim_order.is_none_or(|sim_order| sim_order.settled.is_some() || self.now >= sim_order.gives_up_at)
    }

    /// Sends a known order once more to a node, whatever its outcome was.
    /// Example: `simulation.repeat_order("o1", 5)`.
    pub fn repeat_order(&mut self, order: &str, node: usize) {
        self.send_attempt(order, node);
    }

    /// Sends a read of the confirmed configuration to a node; returns the read's number.
    /// Example: `let read = simulation.send_read(2);`.
    pub fn send_read(&mut self, node: usize) -> u64 {
        self.operators.next_request += 1;
        let read = self.operators.next_request;
        self.history(Line::ReadSent { at: self.now, read, node: format!("node-{node}") });
        let request = self.next_operator_request();
        self.operators.reads.insert(request, OpenRead { read, node });
        let network_latency = self.network_latency();
        self.schedule_after(
            network_latency,
            SimulationEvent::Operator(OperatorEvent::ReadArrives { request }),
        );
        read
    }

    /// The response to a read. Example: `simulation.read_response(read) == Some(&ReadResponse::NoMajority)`.
    pub fn read_response(&self, read: u64) -> Option<&ReadResponse> {
        self.operators.read_responses.get(&read)
    }

    pub(crate) fn operator_event(&mut self, simulation_event: OperatorEvent) {
        match simulation_event {
            OperatorEvent::Sends { order } => self.send_next_attempt(&order),
            OperatorEvent::Arrives { request } => self.attempt_arrives(request),
            OperatorEvent::ResponseTimeout { order, attempt } => self.order_unanswered(&order, attempt),
            OperatorEvent::ResponseArrives { order, attempt, response } => {
                self.order_answered(&order, attempt, response);
            }
            OperatorEvent::ReadArrives { request } => self.read_arrives(request),
            OperatorEvent::ReadResponseArrives { read, response } => {
                self.history(Line::ReadAnswered { at: self.now, read, response: response.clone() });
                self.operators.read_responses.insert(read, response);
            }
        }
    }

    /// Sends the next attempt of an order that is not over, to the node its plan selects.
    fn send_next_attempt(&mut self, order: &str) {
        if self.is_order_over(order) {
            return;
        }
        let Some(sim_order) = self.operators.orders.get(order) else { return };
        let (last_node, is_first) = (sim_order.last_node, sim_order.attempt_count == 0);
        let node = match sim_order.plan.repeat {
            Repeat::SameNode => last_node,
            Repeat::OtherNode if is_first => last_node,
            Repeat::OtherNode => self.other_node(last_node),
        };
        self.send_attempt(order, node);
    }

    fn other_node(&mut self, last_node: usize) -> usize {
        let others: Vec<usize> = self.up().into_iter().filter(|number| *number != last_node).collect();
        self.rng.choice(others).unwrap_or(last_node)
    }

    fn send_attempt(&mut self, order: &str, node: usize) {
        let Some(sim_order) = self.operators.orders.get_mut(order) else { return };
        let attempt = sim_order.attempt_count;
        sim_order.attempt_count += 1;
        sim_order.last_node = node;
        let response_timeout = sim_order.plan.response_timeout.0;
        let line = Line::OrderSent {
            at: self.now,
            order: order.to_owned(),
            attempt,
            node: format!("node-{node}"),
            expected_version: sim_order.plan.expected_version,
            version: Some(sim_order.plan.version),
            is_proper: sim_order.plan.is_proper,
        };
        self.history(line);
        let request = self.next_operator_request();
        let order = order.to_owned();
        self.operators.attempts.insert(request, OpenAttempt { order: order.clone(), attempt, node });
        let network_latency = self.network_latency();
        self.schedule_after(network_latency, SimulationEvent::Operator(OperatorEvent::Arrives { request }));
        self.schedule_after(
            response_timeout,
            SimulationEvent::Operator(OperatorEvent::ResponseTimeout { order, attempt }),
        );
    }

    fn attempt_arrives(&mut self, request: u64) {
        let Some(open) = self.operators.attempts.get(&request) else { return };
        let node = open.node;
        if !self.serves_operators(node) {
            self.attempt_ends(request, OrderResponse::Lost);
            return;
        }
        let Some(sim_order) = self.operators.orders.get(&open.order) else { return };
        let change = sim_order.change.clone();
        self.deliver_event(node, Event::ChangeRequested { request, change });
    }

    fn serves_operators(&self, node: usize) -> bool {
        self.nodes[node].is_up() && !self.nodes[node].is_isolated
    }

    /// A node reported the outcome of a request; ignored if the request belongs to no order.
    pub(crate) fn order_settled(&mut self, request: u64, outcome: &ChangeOutcome) {
        if !self.operators.attempts.contains_key(&request) {
            return;
        }
        let is_lost = self.operators.lost_responses > 0.0 && self.rng.f64() < self.operators.lost_responses;
        let response = if is_lost { OrderResponse::Lost } else { response_of(outcome) };
        self.attempt_ends(request, response);
    }

    /// Sends a response to the operator; for a lost one the operator waits until its timeout.
    fn attempt_ends(&mut self, request: u64, response: OrderResponse) {
        let Some(OpenAttempt { order, attempt, .. }) = self.operators.attempts.remove(&request) else {
            return;
        };
        let network_latency = self.network_latency();
        let simulation_event = OperatorEvent::ResponseArrives { order, attempt, response };
        self.schedule_after(network_latency, SimulationEvent::Operator(simulation_event));
    }

    fn order_answered(&mut self, order: &str, attempt: u64, response: OrderResponse) {
        let line = Line::OrderAnswered {
            at: self.now,
            order: order.to_owned(),
            attempt,
            response: response.clone(),
        };
        self.history(line);
        let Some(sim_order) = self.operators.orders.get_mut(order) else { return };
        match response {
            OrderResponse::Accepted { .. }
            | OrderResponse::RefusedVersion
            | OrderResponse::RefusedInvalid { .. } => {
                sim_order.settled.get_or_insert(response);
            }
            OrderResponse::Unclear if sim_order.attempt_count == attempt + 1 => {
                let order = order.to_owned();
                self.schedule_after(
                    REPEAT_PAUSE_MICROS,
                    SimulationEvent::Operator(OperatorEvent::Sends { order }),
                );
            }
            OrderResponse::Unclear | OrderResponse::Lost => {}
        }
    }

    /// Sends an order again if the newest attempt has had no response.
    fn order_unanswered(&mut self, order: &str, attempt: u64) {
        let Some(sim_order) = self.operators.orders.get(order) else { return };
        if sim_order.attempt_count == attempt + 1 {
            self.send_next_attempt(order);
        }
    }

    fn read_arrives(&mut self, request: u64) {
        let Some(open) = self.operators.reads.get(&request) else { return };
        let node = open.node;
        match self.serves_operators(node) {
            true => self.deliver_event(node, Event::ConfigurationRequested { request }),
            false => self.read_ends(request, ReadResponse::Lost),
        }
    }

    /// A node responded to a read; ignored if the request belongs to no operator's read.
    pub(crate) fn read_settled(&mut self, request: u64, stored: Option<&[u8]>) {
        let shown = stored.and_then(StoredConfiguration::decode);
        let response = match shown {
            None => ReadResponse::NoMajority,
            Some(stored) => ReadResponse::Confirmed {
                version: stored.version,
                last_order: last_order_of(stored.document["lanes"][LAST_ORDER_ROUTE]["path_prefix"].as_str()),
            },
        };
        self.read_ends(request, response);
    }

    fn read_ends(&mut self, request: u64, response: ReadResponse) {
        let Some(OpenRead { read, .. }) = self.operators.reads.remove(&request) else { return };
        let network_latency = self.network_latency();
        self.schedule_after(
            network_latency,
            SimulationEvent::Operator(OperatorEvent::ReadResponseArrives { read, response }),
        );
    }

    /// A node's process ended: its open requests are lost.
    pub(crate) fn drop_operator_requests(&mut self, node: usize) {
        let attempts = self.operators.attempts.iter().filter(|(_, open)| open.node == node);
        let attempts: Vec<u64> = attempts.map(|(request, _)| *request).collect();
        for request in attempts {
            self.attempt_ends(request, OrderResponse::Lost);
        }
        let reads = self.operators.reads.iter().filter(|(_, open)| open.node == node);
        let reads: Vec<u64> = reads.map(|(request, _)| *request).collect();
        for request in reads {
            self.read_ends(request, ReadResponse::Lost);
        }
    }

    /// Records which order a node's configuration was made by, if operators name versions.
    pub(crate) fn record_last_order(
        &mut self,
        number: usize,
        generation: u64,
        configuration: &Configuration,
    ) {
        let route = configuration.routes.get(LAST_ORDER_ROUTE);
        let Some(last_order) = last_order_of(route.map(|route| route.path_prefix.as_str())) else { return };
        let node = format!("node-{number}");
        self.history(Line::ConfigurationHeld { at: self.now, node, generation, last_order });
    }
}

fn last_order_of(path_prefix: Option<&str>) -> Option<String> {
    Some(path_prefix?.strip_prefix(LAST_ORDER_PREFIX)?.to_owned())
}

fn response_of(outcome: &ChangeOutcome) -> OrderResponse {
    match outcome {
        ChangeOutcome::Accepted { generation, .. } => OrderResponse::Accepted { generation: *generation },
        ChangeOutcome::Unknown { .. } => OrderResponse::Unclear,
        ChangeOutcome::Refused { reasons, .. } if reasons.iter().all(is_version_reason) => {
            OrderResponse::RefusedVersion
        }
        ChangeOutcome::Refused { reasons, .. } => {
            let reported = reasons.iter().map(|reason| format!("{} {}", reason.path, reason.reason));
            OrderResponse::RefusedInvalid { reason: reported.collect::<Vec<_>>().join("; ") }
        }
    }
}

fn is_version_reason(reason: &Reason) -> bool {
    reason.path == EXPECTED_VERSION || reason.path == VERSION_PATH
}
