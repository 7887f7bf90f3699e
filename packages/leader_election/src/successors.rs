//! Chooses the successors of a stopping node for the functions that it leads, by the gate of the election.
//!
//! A stopping node knows the leader counts as well as a candidate does. For each function it names a member
//! whose count the gate allows to grow, `own <= (L_cluster + 1) / N`, weighted by capacity. Members with more
//! room are named more often, by weighted rendezvous hashing, so that nodes that stop at the same time do not
//! all name the member with the most room.

use crate::Election;
use monotonic_clock::Micros;
use peer_messages::{NodeId, rendezvous_weight};

/// A member that may be named as a successor.
#[derive(Clone, Debug)]
struct Candidate {
    node: NodeId,
    capacity: u32,
    /// Functions that it may take over until it has its fair share.
    room: f64,
}

/// Names successors for the functions of one node, and counts the functions given to each.
/// Example: `Successors::new(&election, &members, now).pick("proof", 62)`.
#[derive(Clone, Debug)]
pub struct Successors {
    candidates: Vec<Candidate>,
}

/// Weight of a member that has reached its share, as a fraction of its capacity: such members are named only
/// if all have reached theirs.
const FULL_WEIGHT: f64 = 1e-6;

impl Successors {
    /// Collects the members that may be named: those that already lead a function, which shows that they have
    /// caught up, or all members if none does.
    pub fn new(election: &Election, members: &[NodeId], now: Micros) -> Successors {
        let leader_counts = election.leader_counts(members, now);
        let cluster_count: usize = leader_counts.values().sum();
        let others = members.iter().filter(|node| **node != election.own);
        let count_of = |node: &NodeId| leader_counts.get(node).copied().unwrap_or(0);
        let leading: Vec<NodeId> = others.clone().filter(|node| count_of(node) > 0).copied().collect();
        let named = if leading.is_empty() { others.copied().collect() } else { leading };
        let candidates = named.iter().map(|node| Candidate {
            node: *node,
            capacity: election.capacity(*node) as u32,
            room: election.fair_share(*node, &named, cluster_count) - count_of(node) as f64,
        });
        Successors { candidates: candidates.collect() }
    }

    /// Picks the successor of one function that needs a machine of at least this capacity; if no machine has
    /// it, one of the largest is picked.
    pub fn pick(&mut self, function: &str, min_capacity: u32) -> Option<NodeId> {
        let largest = self.candidates.iter().map(|candidate| candidate.capacity).max()?;
        let min_capacity = min_capacity.min(largest);
        let eligible = self.candidates.iter_mut().filter(|candidate| candidate.capacity >= min_capacity);
        let named = eligible.min_by(|left, right| left.score(function).total_cmp(&right.score(function)))?;
        named.room -= 1.0;
        Some(named.node)
    }
}

impl Candidate {
    /// Weighted rendezvous hash: the candidate with the lowest score is named.
    fn score(&self, function: &str) -> f64 {
        let random = (rendezvous_weight(function, self.node) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let weight = self.room.max(f64::from(self.capacity) * FULL_WEIGHT);
        -random.ln() / weight
    }
}

#[cfg(test)]
mod tests;
