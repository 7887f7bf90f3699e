//! Which live voter owns which key, and whether this node owns any or reaches a majority of the voters.

use super::DISK_VOTING;
use crate::node::Node;
use control_registers::{CONFIGURATION_KEY, is_leader_key};
use peer_messages::{Address, List, MemberUpdate, Message, NodeId};
use std::collections::BTreeSet;

/// Operators' clients time out after about a second; a transfer of a quarter of that leaves enough time for
/// everything else.
const MAX_TRANSFER_SECONDS: f64 = 0.25;

impl Node {
    /// Live members whose disks are voting.
    pub(super) fn voting_members(&self) -> Vec<MemberUpdate> {
        let voters = self.control.set.all();
        let live = self.members.live().into_iter();
        live.filter(|member| member.disk_state == DISK_VOTING && voters.contains(&member.disk))
            .cloned()
            .collect()
    }

    pub(super) fn node_of_disk(&self, disk: u64) -> Option<NodeId> {
        self.members.live().into_iter().find(|member| member.disk == disk).map(|member| member.node)
    }

    /// The nodes that may own keys: live voters. Suspected or draining ones are included only if there are
    /// no others.
    pub(crate) fn owner_candidates(&self) -> Vec<NodeId> {
        let voters = self.voting_members();
        let is_suspected = |member: &MemberUpdate| {
            member.draining == 1
                || member.state != 0
                || self.control.suspected.get(&member.node).is_some_and(|until| self.now < *until)
        };
        let healthy_nodes: Vec<NodeId> =
            voters.iter().filter(|member| !is_suspected(member)).map(|member| member.node).collect();
        match healthy_nodes.is_empty() {
            true => voters.iter().map(|member| member.node).collect(),
            false => healthy_nodes,
        }
    }

    /// Whether this voter owns a key or should own it by its own view. For leader records, which every node
    /// polls continuously, that is the rendezvous choice: a voter polls the other owners as every node does
    /// and detects silent ones itself. A requester whose request times out tries another voter, but that
    /// does not make this voter an owner: two voters that each served some of the requesters would take the
    /// keys from each other with every request, and load would slow both down further.
    pub(super) fn should_own(&self, key: &str) -> bool {
        !is_leader_key(key)
            || self.control.owner.has(key)
            || Node::rendezvous_choice(key, self.owner_candidates().into_iter()) == Some(self.settings.node)
    }

    /// Probes every voter directly: reports from relays and other members do not prove that this node can
    /// reach it.
    pub(crate) fn probe_voters(&mut self) {
        let own = self.settings.node;
        let voters: Vec<NodeId> =
            self.voting_members().iter().map(|member| member.node).filter(|voter| *voter != own).collect();
        for voter in voters {
            self.send(voter, Message::Probe { sequence: 0, target: 0, members: List(Vec::new()) });
        }
    }

    /// Whether the given nodes and this one hold a majority of the voting disks.
    pub(crate) fn is_majority(&self, responding: &BTreeSet<NodeId>) -> bool {
        let own = self.settings.node;
        let voters = self.voting_members();
        let responding =
            voters.iter().filter(|member| member.node == own || responding.contains(&member.node));
        self.control.set.quorum(&responding.map(|member| member.disk).collect())
    }

    /// The node to send requests for a key to: the rendezvous choice among live voters, suspected ones
    /// last.
    pub(crate) fn key_owner(&self, key: &str) -> Option<NodeId> {
        Node::rendezvous_choice(key, self.owner_candidates().into_iter())
    }

    /// Whether this node may own keys: its own disk must be voting and working. A node that starts with an
    /// old set may own keys under it for a while; it gets no quorum for them, and learns the newer set from
    /// the disks that refuse it.
    pub(super) fn owns_keys(&mut self) -> bool {
        let voters = self.control.set.all();
        self.control.healthy_disk().is_some_and(|disk| voters.contains(&disk.id))
    }

    /// Releases keys whose rendezvous choice is another live voter.
    pub(super) fn transfer_keys(&mut self) {
        let voters: Vec<NodeId> = self
            .voting_members()
            .iter()
            .filter(|member| member.state == 0 && member.draining == 0)
            .map(|member| member.node)
            .collect();
        let own = self.settings.node;
        if self.draining_since.is_some() {
            return;
        }
        self.control.owner.retain_keys(|key| {
            Node::rendezvous_choice(key, voters.iter().copied()).is_none_or(|node| node == own)
        });
    }

    /// The peer that an operator should use instead of this node to send a body of the given size, or to
    /// read the whole configuration (`None`): the owner of its key, if this machine's link is too slow. A
    /// machine with a disk may itself be that owner, and never redirects.
    /// Example: `node.redirect_target(Some(400_000))`.
    pub fn redirect_target(&self, bytes: Option<usize>) -> Option<Address> {
        let link_rate = self.settings.link_rate?;
        let seconds = bytes.unwrap_or_else(|| self.stored_configuration_length()) as f64 / link_rate;
        if seconds <= MAX_TRANSFER_SECONDS || self.control.disk.is_some() {
            return None;
        }
        let owner = self.key_owner(CONFIGURATION_KEY)?;
        self.members.find(owner).map(|member| member.address)
    }
}
