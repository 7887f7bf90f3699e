//! Bootstrap of the first voter set where no seed has a disk. Nothing of such a seed outlasts its process, so the
//! lowest seed proposes the set to the other seeds, and asks a disk to store it only once every seed has recorded
//! it. A process that takes the place of the lowest seed asks the other seeds first, and continues what they
//! recorded. A seed that restarted after the fleet's first start has forgotten what it may have recorded, so it
//! does not claim that there was nothing.

use crate::node::Node;
use peer_messages::{List, Message, NodeId};
use std::collections::{BTreeMap, BTreeSet};

/// A seed's view of the proposed first voter set.
#[derive(Debug, Default)]
pub(super) struct BootstrapProposal {
    /// The disks of the proposal that this process recorded, never replaced; empty before.
    recorded: Vec<u64>,
    /// What the processes of the other seeds recorded, by their last responses; empty for nothing.
    responses: BTreeMap<NodeId, Vec<u64>>,
}

/// What the proposing seed does next.
#[derive(Debug, PartialEq, Eq)]
enum NextStep {
    /// Ask the seeds that have not responded yet what they recorded.
    Ask(Vec<NodeId>),
    /// No seed has recorded a proposal: choose the disks.
    Choose,
    /// Let these seeds record the proposal.
    Propose(Vec<NodeId>),
    /// Every seed has recorded the proposal: ask its disks to store it.
    Store,
    /// Different proposals are recorded: this process cannot tell which of them a disk may hold.
    Conflict,
}

impl BootstrapProposal {
    /// The next step for the other seeds' current processes. Adopts a proposal that one of them recorded.
    fn next_step(&mut self, other_seeds: &[NodeId]) -> NextStep {
        self.responses.retain(|node, _| other_seeds.contains(node));
        let recorded_elsewhere: BTreeSet<&Vec<u64>> =
            self.responses.values().filter(|disks| !disks.is_empty()).collect();
        if self.recorded.is_empty() {
            let silent: Vec<NodeId> =
                other_seeds.iter().copied().filter(|node| !self.responses.contains_key(node)).collect();
            if !silent.is_empty() {
                return NextStep::Ask(silent);
            }
            match recorded_elsewhere.first() {
                None => return NextStep::Choose,
                Some(disks) => self.recorded = (*disks).clone(),
            }
        }
        if self.responses.values().any(|disks| !disks.is_empty() && *disks != self.recorded) {
            return NextStep::Conflict;
        }
        let lacking: Vec<NodeId> = other_seeds
            .iter()
            .copied()
            .filter(|node| self.responses.get(node) != Some(&self.recorded))
            .collect();
        if lacking.is_empty() { NextStep::Store } else { NextStep::Propose(lacking) }
    }
}

impl Node {
    /// Takes the next step of the bootstrap by a proposal; called at intervals, on the lowest seed only.
    pub(super) fn try_bootstrap_by_proposal(&mut self) {
        let other_seeds = self.other_seed_nodes();
        match self.control.bootstrap_proposal.next_step(&other_seeds) {
            NextStep::Ask(seeds) => self.send_proposal(&seeds),
            NextStep::Choose => {
                if let Some(disks) = self.choose_bootstrap_disks(None) {
                    self.control.bootstrap_proposal.recorded = disks;
                    self.send_proposal(&other_seeds);
                }
            }
            NextStep::Propose(seeds) => self.send_proposal(&seeds),
            NextStep::Store => {
                let disks = self.control.bootstrap_proposal.recorded.clone();
                self.finish_bootstrap(&disks);
            }
            NextStep::Conflict => {
                self.report_waiting_bootstrap("the seeds recorded different founding disks")
            }
        }
    }

    /// The live processes at the other seeds' addresses.
    fn other_seed_nodes(&self) -> Vec<NodeId> {
        let peers = self.members.peers();
        peers
            .filter(|member| self.settings.seeds.contains(&member.address))
            .map(|member| member.node)
            .collect()
    }

    fn send_proposal(&mut self, seeds: &[NodeId]) {
        let disks = self.control.bootstrap_proposal.recorded.clone();
        for seed in seeds {
            self.send(*seed, Message::BootstrapProposal { disks: List(disks.clone()) });
        }
    }

    /// Records the first proposal that arrives, and tells the sender which one is recorded.
    pub(super) fn bootstrap_proposed(&mut self, from: NodeId, disks: &[u64]) {
        let proposal = &mut self.control.bootstrap_proposal;
        if proposal.recorded.is_empty() {
            proposal.recorded = disks.to_vec();
        }
        let recorded = proposal.recorded.clone();
        if !recorded.is_empty() || self.settings.is_first_start {
            self.send(from, Message::BootstrapRecorded { disks: List(recorded) });
        }
    }

    /// Stores another seed's response; only the processes at the seeds' addresses count.
    pub(super) fn bootstrap_recorded(&mut self, from: NodeId, disks: Vec<u64>) {
        if self.other_seed_nodes().contains(&from) {
            self.control.bootstrap_proposal.responses.insert(from, disks);
        }
    }
}

#[cfg(test)]
mod tests;
