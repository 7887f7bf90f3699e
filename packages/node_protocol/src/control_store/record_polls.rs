//! Polls of the leader records: one group of functions for each owner of their keys, with the change number
//! up to which each owner's changes were received.

use crate::node::Node;
use control_registers::{function_of_leader_key, keys_digest, leader_key};
use peer_messages::{LeaderRecord, List, Message, NodeId, PolledRecord, RenewedRecord, Text};
use std::collections::BTreeMap;

/// The leader records that one owner is polled for, and its last received change number.
#[derive(Debug)]
struct PollGroup {
    owner: NodeId,
    keys_digest: u64,
    functions: Vec<String>,
    change: u64,
}

/// Which owner is polled for which functions; kept while the owners and the configuration stay the same.
#[derive(Debug, Default)]
pub(super) struct PollGroups {
    owners: Vec<NodeId>,
    generation: u64,
    groups: Vec<PollGroup>,
}

impl Node {
    /// Polls the leader records of all functions, by one message to the zone's relay or one to each owner.
    /// The response contains what changed since this node's last poll there.
    pub(crate) fn poll_records(&mut self) {
        if let Some(relay) = self.polled_relay() {
            self.poll_relay(relay);
            return;
        }
        self.group_polls();
        let polls: Vec<(NodeId, u64, u64)> = self
            .control
            .poll_groups
            .groups
            .iter()
            .map(|group| (group.owner, group.keys_digest, group.change))
            .collect();
        for (owner, keys_digest, since) in polls {
            self.control.polls.entry(owner).or_insert(self.now);
            self.send(owner, Message::RecordsPoll { keys_digest, since, keys: List(Vec::new()) });
        }
    }

    /// Groups the functions by owner again when the owners or the configuration have changed.
    fn group_polls(&mut self) {
        let owners = self.owner_candidates();
        let generation = self.configuration.generation();
        let current_groups = &self.control.poll_groups;
        if current_groups.owners == owners && current_groups.generation == generation {
            return;
        }
        let mut functions_by_owner: BTreeMap<NodeId, Vec<String>> = BTreeMap::new();
        for function in self.configuration.current().functions.keys() {
            if let Some(owner) = Node::rendezvous_choice(&leader_key(function), owners.iter().copied()) {
                functions_by_owner.entry(owner).or_default().push(function.clone());
            }
        }
        let mut groups = Vec::new();
        for (owner, functions) in functions_by_owner {
            let keys_digest = keys_digest(&keys_of(&functions));
            let known = self.control.poll_groups.groups.iter();
            let known =
                known.into_iter().find(|group| group.owner == owner && group.keys_digest == keys_digest);
            let change = known.map_or(0, |group| group.change);
            groups.push(PollGroup { owner, keys_digest, functions, change });
        }
        self.control.poll_groups = PollGroups { owners, generation, groups };
    }

    /// Applies the changes that an owner reports; all other records in the poll are unchanged.
    pub(super) fn records_polled(
        &mut self,
        from: NodeId,
        (keys_digest, change): (u64, u64),
        records: Vec<PolledRecord>,
        renewed: &[RenewedRecord],
    ) {
        let now = self.now;
        self.control.polls.remove(&from);
        let election = &mut self.leadership.election;
        let observed = &mut self.control.observed_records;
        for record in records {
            if let Some(function) = function_of_leader_key(&record.key.0) {
                observed.observe(function, record.version, &record.value);
                let leader = LeaderRecord::decode(&record.value);
                election.observe(function, record.version, leader, now);
            }
        }
        let groups = &mut self.control.poll_groups.groups;
        let Some(group) =
            groups.iter_mut().find(|group| group.owner == from && group.keys_digest == keys_digest)
        else {
            return;
        };
        for renewal in renewed {
            if let Some(function) = group.functions.get(usize::from(renewal.index)) {
                election.record_renewal(function, renewal.version, now);
                observed.record_renewal(function, renewal.version);
            }
        }
        let functions = &group.functions;
        let is_polled =
            |function: &str| functions.binary_search_by(|polled| polled.as_str().cmp(function)).is_ok();
        election.record_poll(is_polled, now);
        group.change = group.change.max(change);
    }

    /// The polled node owns no keys: other voters are polled while it is suspected.
    pub(super) fn poll_refused(&mut self, from: NodeId) {
        self.control.polls.remove(&from);
        self.suspect_owner(from);
    }

    /// The owner does not know the keys of a digest: sends them.
    pub(super) fn poll_unknown(&mut self, from: NodeId, keys_digest: u64) {
        self.control.polls.remove(&from);
        let mut groups = self.control.poll_groups.groups.iter();
        let group = groups.find(|group| group.owner == from && group.keys_digest == keys_digest);
        if let Some(group) = group {
            let keys = List(keys_of(&group.functions));
            self.send(from, Message::RecordsPoll { keys_digest, since: 0, keys });
        }
    }
}

pub(super) fn keys_of(functions: &[String]) -> Vec<Text> {
    functions.iter().map(|function| leader_key(function).into()).collect()
}
