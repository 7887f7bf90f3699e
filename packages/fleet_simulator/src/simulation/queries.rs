//! Queries for scenarios: which nodes are up, which disks vote, which node owns a key, how calls ended.

use super::*;

impl Simulation {
    /// Numbers of the nodes that are up. Example: `simulation.up().len() == 10`.
    pub fn up(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|number| self.nodes[*number].is_up()).collect()
    }

    /// The voter set that a node has in force.
    pub(super) fn voters(&self, number: usize) -> Option<&VoterSet> {
        Some(self.nodes[number].node.as_ref()?.voters())
    }

    /// A node's status. Example: `simulation.status(0).unwrap().generation`.
    pub fn status(&self, number: usize) -> Option<NodeStatus> {
        let sim_node = &self.nodes[number];
        let node = sim_node.node.as_ref()?;
        Some(node.status(sim_node.local_time(self.now)))
    }

    /// Whether every node that is up counts the node's disk as a voter with a usable disk.
    /// Example: `simulation.run_until(40.0, |simulation| simulation.is_voting(1))`.
    pub fn is_voting(&self, number: usize) -> bool {
        let Some(disk) = self.nodes[number].disk.as_ref().map(|disk| disk.id) else { return false };
        let statuses: Vec<NodeStatus> = self.up().iter().filter_map(|up| self.status(*up)).collect();
        statuses.iter().all(|status| {
            status.voters.contains(&disk)
                && status.members.iter().any(|member| member.disk == disk && member.disk_state == 2)
        })
    }

    /// Whether every node that is up is ready, has all others that are up as members and holds the newest
    /// generation, and every function has a leader.
    /// Example: `simulation.run_until(12.0, Simulation::is_settled)`.
    pub fn is_settled(&self) -> bool {
        let up = self.up();
        let statuses: Vec<NodeStatus> = up.iter().filter_map(|number| self.status(*number)).collect();
        let newest = statuses.iter().map(|status| status.generation).max().unwrap_or(0);
        statuses.iter().all(|status| {
            status.is_ready
                && status.unheld == 0
                && status.generation == newest
                && status.members.len() == up.len()
        })
    }

    /// When the first call sent to a name's path from a given time on received its response.
    /// Example: `simulation.answered_at("rare-3", began)`.
    pub fn answered_at(&self, name: &str, from: u64) -> Option<u64> {
        let path = format!("/{name}");
        let sent = self.lines.iter().find_map(|line| match line {
            Line::CallSent { at, call, path: called, .. } if *at >= from && *called == path => Some(call),
            _ => None,
        })?;
        self.lines.iter().find_map(|line| match line {
            Line::CallEnded { at, call, outcome: Outcome::Ran, .. } if call == sent => Some(*at),
            _ => None,
        })
    }

    /// Whether all nodes that are up have the same voter set, with no change in progress and all its disks up.
    /// Example: `simulation.run_until(40.0, Simulation::has_whole_set)`.
    pub fn has_whole_set(&self) -> bool {
        let sets: Vec<&VoterSet> = self.up().into_iter().filter_map(|number| self.voters(number)).collect();
        let Some(first) = sets.first() else { return false };
        let up_disks: Vec<u64> = self
            .up()
            .iter()
            .filter_map(|number| self.nodes[*number].disk.as_ref())
            .map(|disk| disk.id)
            .collect();
        first.joining.0.is_empty()
            && first.disks.0.iter().all(|disk| up_disks.contains(disk))
            && sets.iter().all(|set| set.generation == first.generation)
    }

    /// Whether any node has a change of the voter set in progress.
    /// Example: `simulation.run_until(4.0, Simulation::is_set_changing)`.
    pub fn is_set_changing(&self) -> bool {
        let mut sets = self.up().into_iter().filter_map(|number| self.voters(number));
        sets.any(|set| !set.joining.0.is_empty())
    }

    /// The node whose disk a change of the voter set is adding.
    /// Example: `simulation.lose_disk(simulation.joining_number().unwrap())`.
    pub fn joining_number(&self) -> Option<usize> {
        let sets = self.up().into_iter().filter_map(|number| self.voters(number));
        let joint = sets.filter(|set| !set.joining.0.is_empty()).max_by_key(|set| set.generation)?;
        let disk = joint.joining.0.iter().find(|disk| !joint.disks.0.contains(disk))?;
        let holds_disk =
            |number: &usize| self.nodes[*number].disk.as_ref().is_some_and(|own| own.id == *disk);
        (0..self.nodes.len()).find(holds_disk)
    }

    /// Numbers of the nodes whose disks vote, according to the first node that is up.
    /// Example: `simulation.lose_disk(simulation.voter_numbers()[0])`.
    pub fn voter_numbers(&self) -> Vec<usize> {
        let first = self.up().first().and_then(|number| self.voters(*number));
        first.map(|set| self.numbers_of(set)).unwrap_or_default()
    }

    /// Numbers of the nodes that have the disks of a voter set.
    fn numbers_of(&self, set: &VoterSet) -> Vec<usize> {
        let is_voter = |number: &usize| {
            self.nodes[*number].disk.as_ref().is_some_and(|disk| set.disks.0.contains(&disk.id))
        };
        (0..self.nodes.len()).filter(is_voter).collect()
    }

    /// The different voter sets by which the nodes that are up go, as the numbers of the voters' nodes.
    /// Example: `simulation.known_voter_sets().len() <= 1` before the first change of the set.
    pub fn known_voter_sets(&self) -> BTreeSet<Vec<usize>> {
        let known_sets = self.up().into_iter().filter_map(|number| self.voters(number));
        known_sets.filter(|set| set.generation > 0).map(|set| self.numbers_of(set)).collect()
    }

    /// The node that owns the voter set's key, according to the first node that is up.
    /// Example: `simulation.kill(simulation.voters_owner().unwrap())`.
    pub fn voters_owner(&self) -> Option<usize> {
        self.owner_of(control_registers::DISKS_KEY)
    }

    /// The node that owns the configuration's key, according to the first node that is up.
    /// Example: `simulation.freeze(simulation.configuration_owner().unwrap(), 5.0)`.
    pub fn configuration_owner(&self) -> Option<usize> {
        self.owner_of(control_registers::CONFIGURATION_KEY)
    }

    /// Whether this node takes itself for the owner of the configuration's key.
    /// Example: `simulation.is_own_configuration_owner(0)`.
    pub fn is_own_configuration_owner(&self, number: usize) -> bool {
        self.owner_seen_by(number, control_registers::CONFIGURATION_KEY) == Some(self.nodes[number].id)
    }

    fn owner_seen_by(&self, number: usize, key: &str) -> Option<NodeId> {
        self.nodes[number].node.as_ref()?.owner_of(key)
    }

    pub(super) fn owner_of(&self, key: &str) -> Option<usize> {
        let number = *self.up().first()?;
        let owner = self.owner_seen_by(number, key)?;
        self.up().into_iter().find(|other| self.nodes[*other].id == owner)
    }

    /// Sends a probe call to every function at every ready node, one function every 20 ms; returns the calls.
    /// Example: `let probes = simulation.send_probes(); simulation.run_for(4.5);`.
    pub fn send_probes(&mut self) -> Vec<u64> {
        let open: Vec<usize> = self.up().into_iter().filter(|number| self.nodes[*number].is_ready).collect();
        let routes: Vec<String> =
            self.functions().into_iter().filter(|name| self.route_of(name).is_some()).collect();
        let mut probes = Vec::new();
        for function in routes {
            for number in &open {
                self.send_call(*number, &function, 0);
                probes.push(self.next_call);
            }
            self.run_for(0.02);
        }
        probes
    }

    /// The path and node of each of these calls that has not run.
    /// Example: `simulation.unanswered(&probes).is_empty()`.
    pub fn unanswered(&self, calls: &[u64]) -> Vec<String> {
        let ran: BTreeSet<&str> = self
            .lines
            .iter()
            .filter_map(|line| match line {
                Line::CallEnded { call, outcome: Outcome::Ran, .. } => Some(call.as_str()),
                _ => None,
            })
            .collect();
        let open: Vec<String> =
            calls.iter().map(u64::to_string).filter(|call| !ran.contains(call.as_str())).collect();
        self.lines
            .iter()
            .filter_map(|line| match line {
                Line::CallSent { call, path, node, .. } if open.contains(call) => {
                    Some(format!("{path} at {node}"))
                }
                _ => None,
            })
            .collect()
    }

    /// Numbers of functions led, by node, for the nodes that are up. Example: `simulation.leader_counts()`.
    pub fn leader_counts(&self) -> Vec<usize> {
        self.up().iter().filter_map(|number| self.status(*number)).map(|status| status.held.len()).collect()
    }
}
