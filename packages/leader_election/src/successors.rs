//! Who takes over what a node leads when it stops: the gate, asked by the one who goes.
//!
//! A node that stops knows the tally as well as a candidate does. It names for each function a member whose
//! count the gate would let grow, `own <= (L_cluster + 1) / N`, weighed by machine. Members with more room are
//! named more often, by weighted rendezvous, so that several nodes that stop together do not all name the
//! emptiest one.

use crate::Election;
use monotonic_clock::Micros;
use peer_messages::{NodeId, rendezvous_weight};

/// A member that may be named.
#[derive(Clone, Debug)]
struct Candidate {
    node: NodeId,
    capacity: u32,
    /// Functions that it may take until it has its share.
    room: f64,
}

/// Names successors for the functions of one node, and counts those that it named.
/// Example: `Successors::new(&election, &members, now).name("proof", 62)`.
#[derive(Clone, Debug)]
pub struct Successors {
    candidates: Vec<Candidate>,
}

/// A member at its share is named where all are, by so little of its capacity.
const FULL_ROOM: f64 = 1e-6;

impl Successors {
    /// The members that may be named: those that lead something already, which shows that they have caught
    /// up; all of them, where none does.
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

    /// Names the successor of one function, which wants a machine of at least this capacity; the largest ones
    /// are named where none has it.
    pub fn name(&mut self, function: &str, least_capacity: u32) -> Option<NodeId> {
        let largest = self.candidates.iter().map(|candidate| candidate.capacity).max()?;
        let least_capacity = least_capacity.min(largest);
        let able = self.candidates.iter_mut().filter(|candidate| candidate.capacity >= least_capacity);
        let named = able.min_by(|left, right| left.place(function).total_cmp(&right.place(function)))?;
        named.room -= 1.0;
        Some(named.node)
    }
}

impl Candidate {
    /// Weighted rendezvous: the least is named.
    fn place(&self, function: &str) -> f64 {
        let random = (rendezvous_weight(function, self.node) as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let weight = self.room.max(f64::from(self.capacity) * FULL_ROOM);
        -random.ln() / weight
    }
}

#[cfg(test)]
mod tests;
