//! Faults of machines: starts, kills, freezes, network cuts, lost disks.

use super::*;

impl Simulation {
    /// Starts a new process of a node that is down. Example: `simulation.start(3)` after `simulation.kill(3)`.
    pub fn start(&mut self, number: usize) {
        if self.nodes[number].is_up() {
            return;
        }
        let id = node_id(self.nodes[number].address, self.rng.u64(1..));
        let settings = NodeSettings {
            node: id,
            address: self.nodes[number].address,
            zone: self.nodes[number].zone.clone(),
            seeds: self.seeds.clone(),
            bootstrap_disks: self.settings.bootstrap_disks,
            tolerance: LossTolerance { zones: self.settings.tolerated_zones, ..LossTolerance::default() },
            costs: function_scheduler::CostModel::default(),
            may_bootstrap: true,
            is_first_start: self.now < self.settings.first_start_ends.0,
            list_every: Micros::from_millis(900),
            lists_per_second: 1_000.0,
            replace_disk_after: self.settings.replace_disk_after,
            operations_per_second: 80.0,
            link_rate: self.link_rate(number),
            retry_limits: RetryLimits::default(),
            processor_millis: self.processor_millis(number),
            election: self.settings.election.clone(),
            probes: ProbeSettings::default(),
            usage: self.settings.usage.as_ref().map(|usage| usage.settings_of(number)),
            switched_off: self.settings.switched_off.clone(),
            random_seed: self.rng.u64(..),
        };
        let now = self.now;
        let node = &mut self.nodes[number];
        node.incarnation += 1;
        node.processor.clear();
        node.id = id;
        node.started_at = now;
        node.is_ready = false;
        node.routes = RouteTable::default();
        node.is_draining = false;
        node.is_drained = false;
        node.frozen_until = 0;
        let is_damaged = node.disk.as_ref().is_some_and(|disk| disk.is_damaged);
        let opened = node.disk.as_mut().filter(|disk| !disk.is_damaged).map(|disk| (disk.id, disk.open()));
        let is_unsynced = opened.as_ref().is_some_and(|(_, (_, is_unsynced))| *is_unsynced);
        let disk = opened.map(|(id, (registers, _))| (id, registers));
        node.node = Some(Node::new(settings, disk, Micros(0)));
        let incarnation = node.incarnation;
        let drift = self.settings.clock_drift;
        if drift > 0.0 {
            self.nodes[number].clock_rate = 1.0 - drift + self.rng.f64() * 2.0 * drift;
        }
        if is_damaged {
            self.deliver_event(
                number,
                Event::DiskUnusable { reason: "synced records are damaged".to_owned() },
            );
        }
        if is_unsynced {
            self.deliver_event(number, Event::DiskUnsynced);
        }
        let first_tick = self.rng.u64(..20_000);
        self.schedule_after(first_tick, SimulationEvent::Tick { node: number, incarnation });
    }

    /// Kills a node's process without notice; its files stay as they are. Example: `simulation.kill(0)`.
    pub fn kill(&mut self, number: usize) {
        self.end_process(number, false);
    }

    /// Ends a node's process by a power loss: only a prefix of the disk's unsynced writes is kept.
    /// Example: `simulation.lose_power(0)`.
    pub fn lose_power(&mut self, number: usize) {
        self.end_process(number, false);
        if let Some(disk) = &mut self.nodes[number].disk {
            disk.lose_power(&mut self.disk_rng);
        }
    }

    /// Ends a node by a power loss or a kill, chosen at random. Example: `simulation.kill_either_way(0)`.
    pub fn kill_either_way(&mut self, number: usize) {
        match self.disk_rng.bool() {
            true => self.lose_power(number),
            false => self.kill(number),
        }
    }

    pub(super) fn end_process(&mut self, number: usize, is_planned: bool) {
        if !self.nodes[number].is_up() {
            return;
        }
        self.drop_calls_of(number, is_planned);
        self.drop_operator_requests(number);
        let node = &mut self.nodes[number];
        node.node = None;
        node.incarnation += 1;
        if let Some(disk) = &mut node.disk {
            disk.end_process();
        }
    }

    /// Freezes a node; its messages and events are delivered when it resumes.
    /// Example: `simulation.freeze(4, 8.0)`.
    pub fn freeze(&mut self, number: usize, seconds: f64) {
        let until = self.now + (seconds * 1e6) as u64;
        self.nodes[number].frozen_until = until;
        self.history(Line::NodeFrozen { at: self.now, node: format!("node-{number}"), until });
    }

    /// Stops a node as planned: its process ends once drained, after at most six seconds.
    /// Example: `simulation.stop_planned(2)`.
    pub fn stop_planned(&mut self, number: usize) {
        self.nodes[number].is_draining = true;
        self.deliver_event(number, Event::Drain);
        let incarnation = self.nodes[number].incarnation;
        let deadline = self.now + 6_000_000;
        while self.now < deadline {
            self.run_for(0.05);
            let is_done = self.nodes[number].is_drained && self.open_calls_of(number) == 0;
            if is_done || self.nodes[number].incarnation != incarnation {
                break;
            }
        }
        self.end_process(number, true);
    }

    /// Cuts all links between two groups of nodes, in both directions.
    /// Example: `simulation.cut(&[0, 1], &[2, 3])`.
    pub fn cut(&mut self, left: &[usize], right: &[usize]) {
        for left_node in left {
            for right_node in right {
                self.cut_links.insert((*left_node, *right_node));
                self.cut_links.insert((*right_node, *left_node));
            }
        }
    }

    /// Cuts one link in one direction. Example: `simulation.cut_one_way(3, 4)`.
    pub fn cut_one_way(&mut self, from: usize, to: usize) {
        self.cut_links.insert((from, to));
    }

    /// Isolates a node from peers, platform, instances and callers. Example: `simulation.isolate(5)`.
    pub fn isolate(&mut self, number: usize) {
        let others: Vec<usize> = (0..self.nodes.len()).filter(|other| *other != number).collect();
        self.cut(&[number], &others);
        self.nodes[number].is_isolated = true;
    }

    /// Removes every cut and isolation. Example: `simulation.heal()`.
    pub fn heal(&mut self) {
        self.cut_links.clear();
        for node in &mut self.nodes {
            node.is_isolated = false;
        }
    }

    /// The node's disk, if it has one. Example: `simulation.disk(0).unwrap().is_full = true`.
    pub fn disk(&mut self, number: usize) -> Option<&mut SimDisk> {
        self.nodes[number].disk.as_mut()
    }

    /// Kills the node and replaces its disk with an empty one. Example: `simulation.lose_disk(1)`.
    pub fn lose_disk(&mut self, number: usize) {
        self.kill(number);
        let fresh_id = self.rng.u64(1..);
        self.nodes[number].disk = Some(SimDisk::blank(fresh_id));
    }

    /// Replaces the machine with an empty one at a new address. Example: `simulation.replace_machine(1)`.
    pub fn replace_machine(&mut self, number: usize) {
        self.lose_disk(number);
        let fresh_number = 100 + number + self.rng.usize(..100) * 100;
        self.nodes[number].address = address_of(fresh_number);
    }

    /// Sets the seeds of nodes that start from now on; running nodes receive them by a reload.
    /// Example: `simulation.set_seeds(&[4, 5, 6])`.
    pub fn set_seeds(&mut self, numbers: &[usize]) {
        self.seeds = numbers.iter().map(|number| self.nodes[*number].address).collect();
        for number in 0..self.nodes.len() {
            let seeds = self.seeds.clone();
            if self.nodes[number].is_up() {
                self.deliver_event(number, Event::SeedsChanged { seeds });
            }
        }
    }
}
