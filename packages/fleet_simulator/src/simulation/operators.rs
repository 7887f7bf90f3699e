//! Operators' changes and reads, and the lanes that mark them.

use super::*;

impl Simulation {
    /// Sends a change to a node; its outcome goes into the history under the change's id.
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

    /// Sends the whole document to found the fleet's configuration, and waits until it stands.
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

    /// An operator reads the configuration at a node, or where that one sends it on to.
    /// Example: `let read = simulation.operator_reads(40); simulation.run_until(1.0, |simulation| simulation.is_read(read))`.
    pub fn operator_reads(&mut self, number: usize) -> u64 {
        self.next_request += 1;
        let request = self.next_request;
        self.operator_calls(number, OperatorCall { request, hops: 0, change: None });
        request
    }

    /// Whether an operator's read was answered in full. Example: `simulation.is_read(read)`.
    pub fn is_read(&self, read: u64) -> bool {
        self.reads_ended.contains(&read)
    }

    /// An operator sends a whole document to a node, or where that one sends it on to.
    /// Example: `simulation.operator_sends(40, "all", document)`.
    pub fn operator_sends(&mut self, number: usize, change_id: &str, whole: Value) {
        self.next_request += 1;
        let change = Some((change_id.to_owned(), whole));
        self.operator_calls(number, OperatorCall { request: self.next_request, hops: 0, change });
    }

    /// A caller that is sent on stops sending; a body that is taken comes over the node's link.
    pub(super) fn operator_calls(&mut self, number: usize, call: OperatorCall) {
        let bytes = call.change.as_ref().map(|(_, whole)| whole.to_string().len());
        let redirect_target = self.nodes[number].node.as_ref().and_then(|node| node.redirect_target(bytes));
        let place = redirect_target.filter(|_| call.hops < REDIRECTS);
        let next = place.and_then(|place| self.nodes.iter().position(|node| node.address == place));
        if let Some(next) = next {
            let travel = self.travel() * 2;
            let call = OperatorCall { hops: call.hops + 1, ..call };
            self.after(travel, SimulationEvent::OperatorCalls { node: next, call });
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
        self.after(span, SimulationEvent::NodeEvent { node: number, incarnation, event: Box::new(event) });
    }

    /// The answer leaves over the node's link, unpacked.
    pub(super) fn read_answered(&mut self, number: usize, request: u64, response: ConfigurationResponse) {
        match response {
            ConfigurationResponse::Stored(stored) => {
                let sent_at = self.links.sent(number, stored.len(), self.now);
                self.after(sent_at - self.now, SimulationEvent::OperatorReadEnds { request });
            }
            ConfigurationResponse::Elsewhere(place) => {
                let next = self.nodes.iter().position(|node| node.address == place);
                let Some(node) = next else { return };
                let travel = self.travel() * 2;
                let call = OperatorCall { request, hops: REDIRECTS, change: None };
                self.after(travel, SimulationEvent::OperatorCalls { node, call });
            }
            ConfigurationResponse::Unconfirmed => {}
        }
    }

    /// Whether all nodes that are up take calls. Example: `simulation.run_until(20.0, Simulation::is_all_ready)`.
    pub fn is_all_ready(&self) -> bool {
        self.up().iter().all(|number| self.nodes[*number].is_ready)
    }

    /// Whether all nodes that are up hold one generation.
    /// Example: `simulation.run_until(4.0, Simulation::is_one_generation)`.
    pub fn is_one_generation(&self) -> bool {
        let held: BTreeSet<u64> =
            self.up().iter().filter_map(|up| self.status(*up)).map(|status| status.generation).collect();
        held.len() <= 1
    }

    /// A small change that leaves its mark in the document. Example: `simulation.marker(2, "m1")`.
    pub fn send_marked_change(&mut self, number: usize, change_id: &str) {
        let mut partial = json!({"lanes": {}});
        self.put_marker(&mut partial, change_id);
        self.change(number, change_id, None, Some(partial));
    }

    /// Puts a change's mark into a document. Example: `simulation.put_marker(&mut document, "m1")`.
    pub fn put_marker(&self, document: &mut Value, change_id: &str) {
        let function = self.functions()[0].clone();
        document["lanes"][format!("mark-{change_id}")] =
            json!({"function": function, "path_prefix": format!("/mark/{change_id}")});
    }

    /// The function that a name's lane leads to in the newest generation that any node holds.
    /// Example: `simulation.route_of("busy-0") == Some("busy-0".to_owned())`.
    pub fn route_of(&self, name: &str) -> Option<String> {
        self.recorded_routes.1.get(&format!("/{name}")).cloned()
    }

    /// The acknowledged changes that left a mark. Example: `simulation.accepted_markers().contains("m1")`.
    pub fn accepted_markers(&self) -> Vec<String> {
        self.changes.keys().filter(|change| *change != "first").cloned().collect()
    }

    /// Whether a change was acknowledged. Example: `simulation.is_accepted("m1")`.
    pub fn is_accepted(&self, change_id: &str) -> bool {
        self.changes.contains_key(change_id)
    }

    /// Notes in the history which marks stand at each node that is up, for the checkers.
    /// Example: call it before `check_all`.
    pub fn note_standing_changes(&mut self) {
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

    // The machinery.
}
