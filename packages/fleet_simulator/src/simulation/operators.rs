//! Operators' changes and reads, and the marker routes by which the checkers recognise applied changes.

use super::*;

impl Simulation {
    /// Sends a change to a node; the history records its outcome under the change id.
    /// Example: `simulation.change(3, "a", Some(document), None)`.
    pub fn change(&mut self, number: usize, change_id: &str, whole: Option<Value>, partial: Option<Value>) {
        let request = self.next_operator_request();
        let change = Change { change_id: change_id.to_owned(), whole, partial, ..Change::default() };
        self.deliver_event(number, Event::ChangeRequested { request, change });
    }

    pub(crate) fn next_operator_request(&mut self) -> u64 {
        self.next_request += 1;
        self.next_request
    }

    /// Sends the fleet's first configuration and waits until it is in force.
    /// Example: `assert!(simulation.bootstrap())`.
    pub fn bootstrap(&mut self) -> bool {
        let is_ready = self.run_until(20.0, |simulation| {
            simulation.up().iter().all(|number| simulation.nodes[*number].is_ready)
        });
        let document = self.document();
        self.change(4 % self.nodes.len(), "first", Some(document), None);
        is_ready
            && self.run_until(20.0, |simulation| simulation.is_settled() && simulation.is_accepted("first"))
    }

    pub(super) fn count_traffic(&mut self, number: usize, message: &Message) {
        let Some(traffic) = &mut self.traffic else { return };
        let from_address = self.nodes[number].address;
        let envelope = Envelope { fleet: 1, from: 1, from_address, to: 1, message: message.clone() };
        let (count, bytes) = traffic.entry(message.name()).or_default();
        *count += 1;
        *bytes += envelope.frame().map_or(0, |frame| frame.len() as u64);
    }

    /// An operator reads the configuration at a node or at the node it redirects to.
    /// Example: `let read = simulation.operator_reads(40); simulation.run_until(1.0, |simulation| simulation.is_read(read))`.
    pub fn operator_reads(&mut self, number: usize) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        self.operator_calls(number, OperatorCall { request, redirects: 0, change: None });
        request
    }

    /// Whether the whole response to an operator's read has arrived. Example: `simulation.is_read(read)`.
    pub fn is_read(&self, read: u64) -> bool {
        self.reads_ended.contains(&read)
    }

    /// An operator sends a whole document to a node or to the node it redirects to.
    /// Example: `simulation.operator_sends(40, "all", document)`.
    pub fn operator_sends(&mut self, number: usize, change_id: &str, whole: Value) {
        self.next_request += 1;
        let change = Some((change_id.to_owned(), whole));
        self.operator_calls(number, OperatorCall { request: self.next_request, redirects: 0, change });
    }

    /// Follows a redirect before any body is sent; the body of an accepted request takes time on the node's
    /// link.
    pub(super) fn operator_calls(&mut self, number: usize, call: OperatorCall) {
        let bytes = call.change.as_ref().map(|(_, whole)| whole.to_string().len());
        let redirect_target = self.nodes[number].node.as_ref().and_then(|node| node.redirect_target(bytes));
        let target = redirect_target.filter(|_| call.redirects < REDIRECT_LIMIT);
        let next = target.and_then(|target| self.nodes.iter().position(|node| node.address == target));
        if let Some(next) = next {
            let network_latency = self.network_latency() * 2;
            let call = OperatorCall { redirects: call.redirects + 1, ..call };
            self.schedule_after(network_latency, SimulationEvent::OperatorCalls { node: next, call });
            return;
        }
        let (incarnation, request) = (self.nodes[number].incarnation, call.request);
        let event = match call.change {
            None => Event::ConfigurationRequested { request },
            Some((change_id, whole)) => {
                let change = Change { change_id, whole: Some(whole), ..Change::default() };
                Event::ChangeRequested { request, change }
            }
        };
        let received_at = self.links.received(number, bytes.unwrap_or(0), self.now);
        let span = received_at - self.now;
        self.schedule_after(
            span,
            SimulationEvent::NodeEvent { node: number, incarnation, event: Box::new(event) },
        );
    }

    /// Sends the response over the node's link; its size is counted uncompressed.
    pub(super) fn read_answered(&mut self, number: usize, request: u64, response: ConfigurationResponse) {
        match response {
            ConfigurationResponse::Stored(stored) => {
                let sent_at = self.links.sent(number, stored.len(), self.now);
                self.schedule_after(sent_at - self.now, SimulationEvent::OperatorReadEnds { request });
            }
            ConfigurationResponse::NewerOnPeer(target) => {
                let next = self.nodes.iter().position(|node| node.address == target);
                let Some(node) = next else { return };
                let network_latency = self.network_latency() * 2;
                let call = OperatorCall { request, redirects: REDIRECT_LIMIT, change: None };
                self.schedule_after(network_latency, SimulationEvent::OperatorCalls { node, call });
            }
            ConfigurationResponse::Unconfirmed => {}
        }
    }

    /// Whether all nodes that are up are ready for calls.
    /// Example: `simulation.run_until(20.0, Simulation::is_all_ready)`.
    pub fn is_all_ready(&self) -> bool {
        self.up().iter().all(|number| self.nodes[*number].is_ready)
    }

    /// Whether all nodes that are up hold the same generation.
    /// Example: `simulation.run_until(4.0, Simulation::is_one_generation)`.
    pub fn is_one_generation(&self) -> bool {
        let held: BTreeSet<u64> =
            self.up().iter().filter_map(|up| self.status(*up)).map(|status| status.generation).collect();
        held.len() <= 1
    }

    /// Sends a small change that adds a marker route to the document.
    /// Example: `simulation.send_marked_change(2, "m1")`.
    pub fn send_marked_change(&mut self, number: usize, change_id: &str) {
        let mut partial = json!({"lanes": {}});
        self.put_marker(&mut partial, change_id);
        self.change(number, change_id, None, Some(partial));
    }

    /// Adds a change's marker route to a document. Example: `simulation.put_marker(&mut document, "m1")`.
    pub fn put_marker(&self, document: &mut Value, change_id: &str) {
        let function = self.functions()[0].clone();
        document["lanes"][format!("mark-{change_id}")] =
            json!({"function": function, "path_prefix": format!("/mark/{change_id}")});
    }

    /// The function that the route of a name leads to in the newest generation held by any node.
    /// Example: `simulation.route_of("busy-0") == Some("busy-0".to_owned())`.
    pub fn route_of(&self, name: &str) -> Option<String> {
        self.recorded_routes.1.get(&format!("/{name}")).cloned()
    }

    /// The acknowledged changes that added a marker route.
    /// Example: `simulation.accepted_markers().contains(&"m1".to_owned())`.
    pub fn accepted_markers(&self) -> Vec<String> {
        self.changes.keys().filter(|change| *change != "first").cloned().collect()
    }

    /// Whether a change was acknowledged. Example: `simulation.is_accepted("m1")`.
    pub fn is_accepted(&self, change_id: &str) -> bool {
        self.changes.contains_key(change_id)
    }

    /// Records in the history which markers are in force at each node that is up, for the checkers.
    /// Example: call it before `check_all`.
    pub fn record_changes_in_force(&mut self) {
        for number in self.up() {
            let sim_node = &self.nodes[number];
            let Some(node) = &sim_node.node else { continue };
            let configuration = node.current_configuration();
            let mut changes: Vec<String> = configuration
                .routes
                .keys()
                .filter_map(|route| route.strip_prefix("mark-"))
                .map(str::to_owned)
                .collect();
            let generation = node.status(sim_node.local_time(self.now)).generation;
            if !configuration.routes.is_empty() {
                changes.extend(["first".to_owned(), "back".to_owned()]);
            }
            let (at, node) = (self.now, format!("node-{number}"));
            self.history(Line::ChangesInForce { at, node, generation, changes });
        }
    }
}
