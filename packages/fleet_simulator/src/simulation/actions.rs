//! Performs the actions that nodes return: messages, disk writes, platform operations, responses to calls.

use super::*;

impl Simulation {
    pub(super) fn perform(&mut self, number: usize, action: Action) {
        let incarnation = self.nodes[number].incarnation;
        if let Some((_, seconds)) = self.freeze_in.take_if(|(moment, _)| moment.is(&action)) {
            self.freeze(number, seconds);
        }
        match action {
            Action::Send { address, to, message } => {
                self.count_traffic(number, &message);
                self.send(number, address, to, message);
            }
            Action::WriteDisk { token, records, is_rewrite } => {
                self.disk_groups += 1;
                if let Some(disk) = &mut self.nodes[number].disk {
                    disk.write(token, records, is_rewrite);
                }
                let span = self.rng.u64(500..3_000);
                self.schedule_after(span, SimulationEvent::Synced { node: number, incarnation, token });
            }
            Action::List => {
                if let Some(traffic) = &mut self.traffic {
                    traffic.entry("List").or_default().0 += 1;
                }
                let event = match self.nodes[number].is_isolated {
                    true => Event::ListFailed,
                    false => {
                        let (workers, instances) = self.platform.late_list(self.now);
                        Event::Listed { workers, instances }
                    }
                };
                let network_latency = self.network_latency() * 2;
                self.schedule_after(
                    network_latency,
                    SimulationEvent::NodeEvent { node: number, incarnation, event: Box::new(event) },
                );
            }
            Action::Start { start_id, function, worker, memory_mb, leader_epoch } => {
                let instance = (worker.as_str(), memory_mb);
                self.start_instance(number, incarnation, &start_id, &function, instance, leader_epoch);
            }
            Action::Stop { instance, leader_epoch } => {
                self.stop_instance(number, incarnation, instance, leader_epoch)
            }
            Action::ReportUsage { report, fence } => self.report_usage(number, incarnation, report, fence),
            Action::CallGranted { call, permit } => {
                if permit.granted_by == self.nodes[number].id {
                    self.record_action(number, &permit.function.0, permit.leader_epoch);
                }
                self.call_granted(number, call, permit);
            }
            Action::CallRefused { call, reason, refused_as, .. } => {
                *self.refusals.entry(reason).or_default() += 1;
                self.call_refused(call, refused_as == RefusedAs::NoFunction);
            }
            Action::ConfigurationApplied { generation, configuration, deltas } => {
                let routes = &mut self.nodes[number].routes;
                routes.apply_changes(generation, &configuration, &deltas);
                if !deltas.is_empty() {
                    self.changed_configurations += 1;
                    self.nodes[number].check_changed_configuration(generation, &configuration);
                }
                self.record_routes(generation, &configuration);
                let (node, incarnation) = (format!("node-{number}"), incarnation.to_string());
                self.history(Line::GenerationHeld { at: self.now, node, incarnation, generation });
                self.record_last_order(number, generation, &configuration);
            }
            Action::ChangeCompleted { request, change_id, outcome } => {
                self.order_settled(request, &outcome);
                self.record_outcome(change_id, &outcome);
            }
            Action::DecisionsRead { .. } => {}
            Action::ConfigurationRead { request, response } => {
                if let ConfigurationResponse::Stored(stored) = &response {
                    self.read_settled(request, Some(stored));
                } else {
                    self.read_settled(request, None);
                }
                self.read_answered(number, request, response);
            }
            // Simulated instances make no calls themselves.
            Action::InstanceHosts { .. } => {}
            Action::Ready => self.nodes[number].is_ready = true,
            Action::Drained => self.nodes[number].is_drained = true,
        }
    }

    pub(super) fn record_outcome(&mut self, change: String, outcome: &ChangeOutcome) {
        match outcome {
            ChangeOutcome::Accepted { generation, .. } => {
                self.changes.insert(change.clone(), (self.now, *generation));
                self.history(Line::ChangeAccepted { at: self.now, change, generation: *generation });
            }
            ChangeOutcome::Refused { .. } => self.history(Line::ChangeRefused { at: self.now, change }),
            ChangeOutcome::Unknown { .. } => {}
        }
    }

    pub(super) fn record_ended_instances(&mut self) {
        for instance in std::mem::take(&mut self.platform.ended) {
            self.history(Line::InstanceEnded { at: self.now, instance });
        }
    }

    /// Records changes in the voter set each node knows and in whether it reaches a majority of the voting
    /// disks.
    pub(super) fn record_control_access(&mut self) {
        for number in self.up() {
            let Some(seen) = self.voters(number).cloned() else { continue };
            if seen.generation > 0 && self.nodes[number].voters_seen != seen {
                self.history(Line::VotersSeen {
                    at: self.now,
                    node: format!("node-{number}"),
                    generation: seen.generation,
                    disks: seen.disks.0.clone(),
                    joining: seen.joining.0.clone(),
                });
                self.nodes[number].voters_seen = seen;
            }
        }
        let first = self.up().first().and_then(|number| self.voters(*number));
        let voters = first.map(|set| set.disks.0.clone()).unwrap_or_default();
        for number in self.up() {
            let reached_count = (0..self.nodes.len())
                .filter(|other| {
                    let disk = self.nodes[*other].disk.as_ref();
                    disk.is_some_and(|disk| {
                        voters.contains(&disk.id) && !disk.is_full && disk.stalled_until <= self.now
                    }) && self.reaches(number, *other)
                })
                .count();
            let reached = reached_count * 2 > voters.len();
            if std::mem::replace(&mut self.nodes[number].reaches_control, reached) != reached {
                self.history(Line::ControlReached { at: self.now, node: format!("node-{number}"), reached });
            }
        }
    }

    pub(super) fn reaches(&self, number: usize, other: usize) -> bool {
        let node = &self.nodes[other];
        let is_cut = self.cut_links.contains(&(number, other)) || self.cut_links.contains(&(other, number));
        node.is_up() && node.frozen_until <= self.now && !is_cut
    }

    /// Records the routes that a generation changes, once, when the first node applies it.
    pub(super) fn record_routes(&mut self, generation: u64, configuration: &Configuration) {
        if generation <= self.recorded_routes.0 {
            return;
        }
        let routes: BTreeMap<String, String> = configuration
            .routes
            .values()
            .map(|route| (route.path_prefix.clone(), route.function.clone()))
            .collect();
        let gone = self.recorded_routes.1.keys().filter(|prefix| !routes.contains_key(*prefix));
        let mut changed: Vec<(String, Option<String>)> = gone.map(|prefix| (prefix.clone(), None)).collect();
        let new =
            routes.iter().filter(|(prefix, function)| self.recorded_routes.1.get(*prefix) != Some(function));
        changed.extend(new.map(|(prefix, function)| (prefix.clone(), Some(function.clone()))));
        let quotas = configuration
            .quotas
            .iter()
            .map(|(name, held)| (name.clone(), held.parent.clone(), held.memory_ceiling_mb))
            .collect();
        let functions = configuration
            .functions
            .iter()
            .map(|(name, held)| (name.clone(), held.quota.clone(), held.instance_memory_mb))
            .collect();
        self.history(Line::QuotasHeld { at: self.now, quotas, functions });
        self.history(Line::RoutesChanged { at: self.now, generation, routes: changed });
        self.recorded_routes = (generation, routes);
    }

    pub(super) fn record_action(&mut self, number: usize, function: &str, epoch: u64) {
        if epoch == 0 {
            return;
        }
        // Identified by process: a restarted node counts as another leader.
        let node = format!("node-{number}/{}", self.nodes[number].incarnation);
        self.history(Line::LeaderActed { at: self.now, node, function: function.to_owned(), epoch });
    }

    pub(super) fn send(&mut self, number: usize, address: Address, to_node: NodeId, message: Message) {
        self.messages += 1;
        let to = self.nodes.iter().position(|node| node.address == address);
        if to.is_some_and(|receiver| self.cut_links.contains(&(number, receiver))) {
            return;
        }
        if to.is_some_and(|receiver| self.lost_kinds.contains(&(receiver, message.name()))) {
            return;
        }
        if self.rng.f64() < self.settings.lost_messages {
            return;
        }
        let envelope = Envelope {
            fleet: fleet_id(FLEET),
            from: self.nodes[number].id,
            from_address: self.nodes[number].address,
            to: to_node,
            message,
        };
        let network_latency = self.network_latency();
        let span = match to.filter(|_| self.settings.link_rates.is_some()) {
            Some(receiver) => self.link_span((number, receiver), &envelope, network_latency),
            None => network_latency,
        };
        self.schedule_after(span, SimulationEvent::Arrives { to: address, envelope: Box::new(envelope) });
    }

    pub(super) fn link_rate(&self, number: usize) -> Option<f64> {
        let rates = self.settings.link_rates?;
        Some(if self.nodes[number].disk.is_some() { rates.with_disk } else { rates.others })
    }

    /// Transfer time of a message over the sender's and the receiver's link.
    pub(super) fn link_span(
        &mut self,
        (from, to): (usize, usize),
        envelope: &Envelope,
        network_latency: u64,
    ) -> u64 {
        let bytes = envelope.frame().map_or(0, |frame| frame.len());
        if self.nodes[from].disk.is_none() || self.nodes[to].disk.is_none() {
            self.largest_small_link_message = self.largest_small_link_message.max(bytes);
        }
        self.links.arrival((from, to), bytes, self.now, network_latency) - self.now
    }

    pub(super) fn start_instance(
        &mut self,
        number: usize,
        incarnation: u64,
        start_id: &str,
        function: &str,
        (worker, memory_mb): (&str, u64),
        fence: u64,
    ) {
        if let Some(epoch) = epoch_of(start_id) {
            self.record_action(number, function, epoch);
        }
        let boot = if function.starts_with("busy") { 1_400_000 } else { 900_000 };
        let boot = boot + self.settings.extra_boot.0;
        let result = match self.nodes[number].is_isolated {
            true => StartResult::Unknown,
            false => {
                match self.platform.start(start_id, function, worker, memory_mb, boot, fence, self.now) {
                    SimStart::Started(instance, address) => {
                        self.record_platform_operation(number, function, fence, true);
                        self.record_started_instance(&instance, function, worker, memory_mb, boot);
                        StartResult::Started { instance, address }
                    }
                    SimStart::NoRoom => StartResult::NoRoom,
                    SimStart::Fenced => {
                        self.record_platform_operation(number, function, fence, false);
                        StartResult::NoRoom
                    }
                    SimStart::Throttled => {
                        self.history(Line::OperationThrottled { at: self.now });
                        StartResult::Throttled
                    }
                }
            }
        };
        let event = Event::StartDone { start_id: start_id.to_owned(), result };
        let network_latency = self.network_latency() * 2;
        self.schedule_after(
            network_latency,
            SimulationEvent::NodeEvent { node: number, incarnation, event: Box::new(event) },
        );
    }

    pub(super) fn record_platform_operation(
        &mut self,
        number: usize,
        function: &str,
        fence: u64,
        is_accepted: bool,
    ) {
        let (holder, function) = (format!("node-{number}"), function.to_owned());
        self.history(Line::PlatformOperation { at: self.now, holder, function, fence, is_accepted });
    }

    /// Records a new instance; a repeated start id returns one that is already recorded.
    pub(super) fn record_started_instance(
        &mut self,
        instance: &str,
        function: &str,
        worker: &str,
        memory_mb: u64,
        boot: u64,
    ) {
        if !self.recorded_instances.insert(instance.to_owned()) {
            return;
        }
        self.history(Line::InstanceStarted {
            at: self.now,
            instance: instance.to_owned(),
            function: function.to_owned(),
            worker: worker.to_owned(),
            memory_mb,
            runs_from: self.now + boot,
        });
    }

    pub(super) fn stop_instance(&mut self, number: usize, incarnation: u64, instance: String, fence: u64) {
        let function = self.platform.function_of(&instance);
        let result = match self.nodes[number].is_isolated {
            true => StopResult::Unknown,
            false => match self.platform.stop(&instance, fence, self.now) {
                SimStop::Accepted => {
                    if let Some(function) = function {
                        self.record_platform_operation(number, &function, fence, true);
                    }
                    self.schedule_after(
                        5_000_000,
                        SimulationEvent::InstanceEnds { instance: instance.clone() },
                    );
                    self.history(Line::InstanceStopped { at: self.now, instance: instance.clone() });
                    StopResult::Stopped
                }
                SimStop::Fenced => {
                    self.record_platform_operation(number, &function.unwrap_or_default(), fence, false);
                    StopResult::Unknown
                }
                SimStop::Throttled => {
                    self.history(Line::OperationThrottled { at: self.now });
                    StopResult::Throttled
                }
            },
        };
        let network_latency = self.network_latency() * 2;
        let event = Box::new(Event::StopDone { instance, result });
        self.schedule_after(network_latency, SimulationEvent::NodeEvent { node: number, incarnation, event });
    }
}
