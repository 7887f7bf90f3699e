//! Which live voter owns which key, and whether this node owns any or reaches a majority of the voters.

use super::DISK_VOTING;
use crate::node::Node;
use control_registers::{CONFIGURATION_KEY, is_leader_key};
use peer_messages::{Address, List, MemberUpdate, Message, NodeId};
use std::collections::BTreeSet;

/// An operator gives a node up after about a second; with a quarter of it spent on the wire enough is
/// left for everything else.
const MAX_TRANSFER_SECONDS: f64 = 0.25;

impl Node {
    /// Live members whose disks vote now.
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

    /// The nodes that own keys: live voters, those in doubt only where there are no others.
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

    /// Whether this voter has a key, or is the one to have it by its own view. Of leader records, which every
    /// node asks for all the time, that is the rendezvous choice: a voter asks the other owners
    /// as every node does, and finds out by itself which of them are silent. Who asks and is not answered in
    /// time goes to another voter, but does not make that one an owner: two that each serve a part of the
    /// askers would take the keys from each other with every question, and the more of it the slower both are.
    pub(super) fn should_own(&self, key: &str) -> bool {
        !is_leader_key(key)
            || self.control.owner.has(key)
            || Node::rendezvous_choice(key, self.owner_candidates().into_iter()) == Some(self.settings.node)
    }

    /// Asks every voter for a direct answer: what relays and other members tell of it proves no way there.
    pub(crate) fn probe_voters(&mut self) {
        let own = self.settings.node;
        let voters: Vec<NodeId> =
            self.voting_members().iter().map(|member| member.node).filter(|voter| *voter != own).collect();
        for voter in voters {
            self.send(voter, Message::Probe { sequence: 0, target: 0, members: List(Vec::new()) });
        }
    }

    /// Whether the given nodes, and this one, hold a majority of the voting disks.
    pub(crate) fn is_majority(&self, responding: &BTreeSet<NodeId>) -> bool {
        let own = self.settings.node;
        let voters = self.voting_members();
        let responding =
            voters.iter().filter(|member| member.node == own || responding.contains(&member.node));
        self.control.set.quorum(&responding.map(|member| member.disk).collect())
    }

    /// The node to ask about a key: the rendezvous choice among live voters, those in doubt last.
    pub(crate) fn key_owner(&self, key: &str) -> Option<NodeId> {
        Node::rendezvous_choice(key, self.owner_candidates().into_iter())
    }

    /// Only a node whose own disk votes and is sound owns keys. One that starts by an old set may own keys
    /// under it for a while: it gets no quorum for them, and hears of the newer set from who refuses it.
    pub(super) fn owns_keys(&mut self) -> bool {
        let voters = self.control.set.all();
        self.control.healthy_disk().is_some_and(|disk| voters.contains(&disk.id))
    }

    /// Keys whose rendezvous choice is another live voter are let go.
    pub(super) fn transfer_keys(&mut self) {
        let voters: Vec<NodeId> = self
            .voting_members()
            .iter()
            .filter(|member| member.state == 0 && member.draining == 0)
            .map(|member| member.node)
            .collect();
        let own = self.settings.node;
        if self.draining_since.is_some() || self.control.copy.is_some() {
            return;
        }
        self.control.owner.retain_keys(|key| {
            Node::rendezvous_choice(key, voters.iter().copied()).is_none_or(|node| node == own)
        });
    }

    /// The peer where an operator had better send a body of so many bytes to, or read the whole
    /// configuration from (`None`): the owner of its key, if this machine's link is too small for that.
    /// A machine with a disk may be that owner itself, and sends nobody on.
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
